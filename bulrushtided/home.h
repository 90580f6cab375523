/*
 * The workers that are homed at this entry: their heartbeats, leases and the
 * orders sent to them.
 */
#ifndef HOME_H
#define HOME_H

#include "api.h"
#include "node.h"

struct home *home_new(struct node *node);
void home_free(struct home *h);

/* From the leader. */
void home_worker(struct home *h, const struct worker_push *push);
void home_shape(struct home *h, const struct shape_push *push);
void home_order(struct home *h, const struct order *order);

/*
 * Takes a heartbeat. Returns the reply's body if the worker is homed here
 * and its lease is renewed; NULL if it has to be announced to the leader.
 */
char *home_heartbeat(struct home *h, const struct api_worker *w);

/* Workers homed here. */
guint home_count(const struct home *h);

#endif
