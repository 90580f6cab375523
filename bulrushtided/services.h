/* Forwards service calls of this entry (POST /v1/services/NAME/call). */
#ifndef SERVICES_H
#define SERVICES_H

#include "node.h"

struct services *services_new(struct node *node);
/* Refuses the calls first. */
void services_free(struct services *s);
/* Answers all calls, and later ones at once. */
void services_refuse(struct services *s);

/* Adds, changes or removes a target. */
void services_update_target(struct services *s, const struct target_push *push);
/* Removes the targets that are not in the list. */
void
services_retain_targets(struct services *s, const struct targets_push *push);
/*
 * Sets the divisor of this entry's share in the connections and slots of each
 * worker; 0: no share.
 */
void services_set_divisor(struct services *s, uint64_t divisor);

/* Takes ownership of a caller's request and answers it. */
void services_call(struct services *s, struct http_request *req);

/* Returns the number of calls not answered yet. */
guint services_open_calls(const struct services *s);

#endif
