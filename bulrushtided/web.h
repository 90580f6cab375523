/* The HTTP interface of a process (docs/INTERFACE.md). */
#ifndef WEB_H
#define WEB_H

#include "node.h"

struct web *web_new(struct node *node, GError **err);
void web_free(struct web *w);

/* Makes all later answers say "Connection: close", so that callers connect to
 * another entry. */
void web_drain(struct web *w);
/* Stops accepting connections. */
void web_stop(struct web *w);
/* Returns the number of requests not answered yet. */
int web_pending(const struct web *w);

#endif
