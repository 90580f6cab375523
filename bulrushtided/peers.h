/*
 * The connections of a replica to other processes: the listener, one link to
 * each other replica and the links of the sessions with this process.
 */
#ifndef PEERS_H
#define PEERS_H

#include "node.h"
#include "replica.h"

struct peers_ops {
	/* A Raft message from the replica with id from. */
	void (*raft)(void *arg, uint64_t from, const void *data, size_t len);
	/* A frame of the session of the process called name. */
	void (*frame)(void *arg, struct link *l, const char *name, int type,
	    const void *data, size_t len);
	/* The link of a session has been closed. */
	void (*down)(void *arg, struct link *l);
};

struct peers *peers_new(
    struct node *node, const struct peers_ops *ops, void *arg, GError **err);
void peers_free(struct peers *p);

/* Sets the identity of this replica and sends it to all connected ones. formed:
 * whether its log has the entry with the cell id. */
void peers_set_identity(
    struct peers *p, uint64_t replica_id, uint64_t cell_id, bool formed);

/* Sends a Raft message; dropped if the replica is not connected. */
void peers_send_raft(struct peers *p, uint64_t to, GBytes *message);

/* Calls fn for each connected replica. */
void peers_each(struct peers *p,
    void (*fn)(void *arg, const struct peer_info *peer), void *arg);

/* Returns the name of a connected replica, or NULL. */
const char *peers_name(const struct peers *p, uint64_t replica_id);

#endif
