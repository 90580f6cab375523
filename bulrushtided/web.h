/* The external HTTP interface (docs/INTERFACE.md) of one process. */
#ifndef WEB_H
#define WEB_H

#include "node.h"

struct web *web_new(struct node *node, GError **err);
void web_free(struct web *w);

/* Stops taking connections; returns the number of unanswered requests. */
void web_stop(struct web *w);
int web_pending(const struct web *w);

#endif
