/*
 * The workers whose home is this entry: their heartbeats, their session leases
 * and the orders sent to them.
 */
#ifndef HOME_H
#define HOME_H

#include "api.h"
#include "node.h"

struct home *home_new(struct node *node);
void home_free(struct home *h);

/* Adds or removes a worker or starts its session with a new epoch. */
void home_update_worker(struct home *h, const struct worker_push *push);
/* Sets or removes the common part of a job's start orders. */
void
home_update_template(struct home *h, const struct start_template_push *push);
/* Handles an order of the leader; start and stop are retried. */
void home_handle_order(struct home *h, const struct order *order);

/*
 * Handles a heartbeat. Returns the body of the reply if this entry is the
 * worker's home and has renewed its lease; NULL if the worker has to be
 * announced to the leader.
 */
char *home_handle_heartbeat(struct home *h, const struct api_worker *heartbeat);

/* Returns the number of workers whose home is this entry. */
guint home_worker_count(const struct home *h);

#endif
