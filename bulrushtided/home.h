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

/*
 * Handle messages of the leader: a worker's home or epoch has changed; the
 * common part of a job's start orders; an order for an attempt.
 */
void home_update_worker(struct home *h, const struct worker_push *push);
void
home_update_template(struct home *h, const struct start_template_push *push);
void home_handle_order(struct home *h, const struct order *order);

/*
 * Handles a heartbeat. Returns the body of the reply if this entry is the
 * worker's home and has renewed its lease; NULL if the worker has to be
 * announced to the leader.
 */
char *home_heartbeat(struct home *h, const struct api_worker *heartbeat);

/* Returns the number of workers whose home is this entry. */
guint home_worker_count(const struct home *h);

#endif
