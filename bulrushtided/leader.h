/*
 * What only the leader does: sessions of all processes, requests, placement,
 * orders to workers through their homes, leases and recovery.
 */
#ifndef LEADER_H
#define LEADER_H

#include "cell.h"
#include "node.h"

struct leader *leader_new(struct node *node);
void leader_free(struct leader *l);

/* From the replica (struct replica_ops). */
void leader_applied(void *arg, uint64_t index, struct cell_result *result);
void leader_advanced(void *arg);
void leader_read_done(void *arg, uint64_t context, bool ok);

/* From the peers: frames and ends of session links. */
void leader_frame(void *arg, struct link *l, const char *name, int type,
    const void *data, size_t len);
void leader_link_down(void *arg, struct link *l);

#endif
