/*
 * The leading replica's work: sessions of all processes, their requests,
 * placement, orders to workers through their home entries, leases and recovery
 * of lost tasks. Every replica has a struct leader; it is active only while
 * the replica leads.
 */
#ifndef LEADER_H
#define LEADER_H

#include "cell.h"
#include "node.h"

struct leader *leader_new(struct node *node);
void leader_free(struct leader *l);

/* For the callbacks of the replica (struct replica_ops). */
void leader_applied(void *arg, uint64_t index, struct cell_result *result);
void leader_deposed(struct leader *l);
void leader_replica_updated(void *arg);
void leader_read_done(void *arg, uint64_t context, bool ok);

/* Callbacks of the peers: a frame on a session link, and its end. */
void leader_handle_frame(void *arg, struct link *l, const char *name, int type,
    const void *data, size_t len);
void leader_link_down(void *arg, struct link *l);

#endif
