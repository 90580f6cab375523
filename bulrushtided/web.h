/* The external HTTP interface (docs/INTERFACE.md) of one process. */
#ifndef WEB_H
#define WEB_H

#include "node.h"

struct web *web_new(struct node *node, GError **err);
void web_free(struct web *w);

/* Asks callers to close kept connections; they go to another entry next. */
void web_drain(struct web *w);
/* Takes no new connection. */
void web_stop(struct web *w);
/* Requests that are not answered yet. */
int web_pending(const struct web *w);

#endif
