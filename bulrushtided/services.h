/* Calls to services through this entry (POST /v1/services/NAME/call). */
#ifndef SERVICES_H
#define SERVICES_H

#include "node.h"

struct services *services_new(struct node *node);
void services_free(struct services *s);

/* From the leader. */
void services_target(struct services *s, const struct target_push *push);
/* Drops the targets that are not in the list. */
void services_sync(struct services *s, const struct targets_push *push);
void services_division(struct services *s, uint64_t division);

/* Takes a caller's request over and answers it. */
void services_call(struct services *s, struct http_request *req);

/* Calls that are not answered yet. */
guint services_open(const struct services *s);

#endif
