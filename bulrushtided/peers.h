/*
 * Connections between processes: the listener, one link to each replica, and
 * the links of processes that keep a session with this one.
 */
#ifndef PEERS_H
#define PEERS_H

#include "node.h"
#include "replica.h"

struct peers_ops {
	/* A Raft message from the replica with that id. */
	void (*raft)(void *arg, uint64_t from, const void *data, size_t len);
	/* A frame of a session. */
	void (*frame)(void *arg, struct link *l, const char *name, int type,
	    const void *data, size_t len);
	/* A session's link has ended. */
	void (*down)(void *arg, struct link *l);
};

struct peers *peers_new(
    struct node *node, const struct peers_ops *ops, void *arg, GError **err);
void peers_free(struct peers *p);

/* Sets what this replica says in its hello; says it again to all. */
void peers_identify(struct peers *p, uint64_t node, uint64_t cell, bool formed);

/* Sends a Raft message; dropped when the replica is not connected. */
void peers_send_raft(struct peers *p, uint64_t to, GBytes *message);

/* Calls fn for each replica that is connected. */
void peers_each(struct peers *p,
    void (*fn)(void *arg, const struct peer_info *peer), void *arg);

/* Returns the name of a connected replica, or NULL. */
const char *peers_name(const struct peers *p, uint64_t node);

#endif
