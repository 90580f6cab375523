/*
 * One process of a cell whose members find each other through seeds: links
 * to the others, a replica where there is a disk, dispatch while it leads,
 * and a gate that passes asks on to the process that leads.
 */
#ifndef CELLNODE_H
#define CELLNODE_H

#include "gate.h"

struct cellnode;

struct cellnode_conf {
	char *name;
	char *peer_address; /* where other processes of the cell connect */
	char *listen_address; /* what that leads to; NULL: it is the same */
	GPtrArray *seeds; /* char *: such addresses of a few others */
	char *data_dir; /* NULL: no disk, no replica */
	bool first_start; /* of the whole system, with empty disks */
	char *policy_address; /* the policy service; NULL: none */
	uint64_t snapshot_entries;
	int64_t grace_ms; /* a graceful stop may take so long */
	struct dispatch_conf dispatch; /* base, flow and registry are set */
};

struct cellnode *cellnode_new(struct event_base *base,
    const struct cellnode_conf *conf, struct registry *registry, GError **err);
void cellnode_free(struct cellnode *n);

/* Takes over seeds that were changed while running. */
void cellnode_set_seeds(struct cellnode *n, GPtrArray *seeds);

/* Starts the graceful stop; cellnode_stopped() is true once it is over. */
void cellnode_drain(struct cellnode *n);

/* Says whether callers may be sent here: a leader is in reach. */
bool cellnode_ready(struct cellnode *n);
/* Asks that are not answered yet. */
guint cellnode_pending(const struct cellnode *n);

/*
 * Passes an ask on to the leader, and again to the next one when the leader
 * changes, until it is answered or the time is over: ASK_UNAVAILABLE if no
 * leader can have got it, else ASK_UNCLEAR. The ask's parts are copied.
 */
void cellnode_request(struct cellnode *n, const struct ask *ask,
    int64_t timeout_ms, gate_answer_fn *fn, void *arg);

#endif
