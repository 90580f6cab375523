/*
 * One process of a cell whose members discover each other through seed
 * addresses. It has links to the other processes, a replica if it has a
 * disk, the dispatcher while this replica leads, and a gate that forwards
 * requests to the leading process.
 */
#ifndef CELLNODE_H
#define CELLNODE_H

#include "gate.h"

struct cellnode;

struct cellnode_conf {
	char *name;
	char *peer_address; /* that other processes of the cell connect to */
	char *listen_address; /* to listen on instead; NULL: peer_address */
	GPtrArray *seeds; /* char *: peer addresses of a few processes */
	char *data_dir; /* of the replica; NULL: no disk, no replica */
	bool first_start; /* whole system starts with empty disks */
	char *policy_address; /* of the policy service; NULL: none */
	uint64_t snapshot_entries; /* applied between snapshots */
	int disk_losses; /* see struct replica_conf */
	int64_t grace_ms; /* of a graceful stop; the owner enforces it */
	struct dispatch_conf dispatch; /* base, flow, registry: ignored */
};

struct cellnode *cellnode_new(struct event_base *base,
    const struct cellnode_conf *conf, struct registry *registry, GError **err);
/* Answers the pending requests, so their owner has to outlive the node. */
void cellnode_free(struct cellnode *n);

/* Replaces the seeds at run time. */
void cellnode_set_seeds(struct cellnode *n, GPtrArray *seeds);

/* Starts the graceful stop: not ready any more, transfers leadership. */
void cellnode_drain(struct cellnode *n);
/* Answers all pending requests as if they had timed out, and later ones at
 * once. */
void cellnode_refuse_requests(struct cellnode *n);

/* Reports whether callers may be sent here: not draining, leader reachable. */
bool cellnode_ready(struct cellnode *n);
/* The peer address of the process that leads, NULL if none is known or if it
 * is this one; valid until control returns to the event loop. */
const char *cellnode_leader_address(struct cellnode *n);

/*
 * Forwards a request to the leader, and again to each new leader, until it is
 * answered or timeout_ms has passed. The answer is then REQUEST_UNAVAILABLE if
 * no leader can have received the request, else REQUEST_UNKNOWN. Copies the
 * request.
 */
void cellnode_request(struct cellnode *n, const struct request *req,
    int64_t timeout_ms, gate_answer_fn *fn, void *arg);

#endif
