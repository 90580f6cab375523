/*
 * A member of a replicated cell: runs Raft and the write-ahead log on the
 * event loop and applies committed commands to the owner's state machine.
 * Bootstraps a new cell or joins an existing one.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include <event2/event.h>

#include "raft.h"
#include "wal.h"

struct replica;

/* A connected replica, as it describes itself. */
struct peer_info {
	const char *name;
	uint64_t replica_id; /* 0: not assigned yet */
	uint64_t cell_id; /* 0: not known yet */
	bool formed; /* its log has the entry with the cell id */
};

typedef void replica_peer_fn(void *arg, const struct peer_info *peer);

struct replica_conf {
	struct event_base *base;
	const char *name;
	const char *data_dir;
	uint64_t snapshot_entries; /* entries applied between snapshots */
	/* Interval of output passes (write, sync and send what Raft has) under
	 * load. A longer one costs less CPU time, a shorter one lowers the
	 * commit latency. */
	int64_t output_interval_ms;
	/* Raft tick; elections start after 10 to 20 ticks without a leader. */
	int64_t tick_ms;
	/* Names of the replicas that bootstrap a cell together (char *). NULL:
	 * automatic membership. The owner calls replica_bootstrap() on one
	 * replica, and every other connected replica becomes a member. */
	GPtrArray *initial_members;
	/* Number of replicas whose disks may be lost during one period of
	 * failures. Automatic membership keeps enough voters for that. Less
	 * than 0: not known, voters are only replaced. */
	int disk_losses;
};

/* Callbacks to the owner, on the event loop. */
struct replica_ops {
	/* Applies the committed command at this log index. */
	bool (*apply)(void *arg, uint64_t index, const void *data, size_t len,
	    GError **err);
	/*
	 * Another replica leads since. Called before the first entry or
	 * snapshot of a later leader is applied: what this replica has proposed
	 * and not seen applied by then may never be, and other commands may be
	 * applied at its log indices.
	 */
	void (*deposed)(void *arg);
	/* Returns the whole state of the state machine. */
	GBytes *(*snapshot)(void *arg);
	/* Replaces the state by one that snapshot() returned. */
	bool (*restore)(void *arg, GBytes *state, GError **err);
	/* Called after each output pass, in which commands may have been
	 * applied and the role may have changed. */
	void (*updated)(void *arg);
	/* Result of replica_read_index(): if ok, the read can be answered from
	 * the applied state. */
	void (*read_done)(void *arg, uint64_t context, bool ok);
	/* Sends a Raft message; dropped if the replica is not connected. */
	void (*send)(void *arg, uint64_t to, GBytes *message);
	/* Identity of this replica, for the owner to send to its peers. */
	void (*identity_changed)(
	    void *arg, uint64_t replica_id, uint64_t cell_id, bool formed);
	/* Calls fn for each connected replica. */
	void (*each_peer)(void *arg, replica_peer_fn *fn, void *fn_arg);
	/* Writing to disk failed: the owner must acknowledge nothing more. */
	void (*storage_failed)(void *arg);
};

/* Opens the data directory; arg is passed to the callbacks. */
struct replica *replica_new(const struct replica_conf *conf,
    const struct replica_ops *ops, void *arg, GError **err);
void replica_free(struct replica *r);

/* Processes an encoded Raft message; from is the id of its sender. */
void
replica_receive(struct replica *r, uint64_t from, const void *data, size_t len);

/* Reports the identity through identity_changed(), then starts to run. */
void replica_start(struct replica *r);

/*
 * Creates a cell with this replica as its only member; others are added
 * later. Must be called on exactly one replica, with an empty disk, when the
 * whole system starts for the first time. Returns false if the replica
 * already has an identity or the disk failed.
 */
bool replica_bootstrap(struct replica *r);

/*
 * Reports whether this replica leads a cell and has committed an entry of its
 * own term, and with it all entries of earlier terms.
 */
bool replica_leads(const struct replica *r);
uint64_t replica_term(const struct replica *r);
/* Number of voting members; 0 before this replica belongs to a cell. */
int replica_voter_count(const struct replica *r);
/* Reports whether the voters can lose as many disks as they have to tolerate.
 */
bool replica_has_enough_voters(const struct replica *r);
/* Name of the leader; "" if it is not known or not connected. */
const char *replica_leader_name(const struct replica *r);

/* Proposes a command. Returns its log index; 0: this replica does not lead. */
uint64_t replica_propose(struct replica *r, GBytes *command);

/*
 * Asks a quorum to confirm that this replica still leads; read_done() gets
 * the result. Returns false if it does not lead.
 */
bool replica_read_index(struct replica *r, uint64_t context);

/*
 * Adds a connected replica to the membership, or removes a member. Returns
 * NULL, or the reason for a refusal as text for the operator.
 */
const char *replica_add_member(struct replica *r, const char *name);
const char *replica_remove_member(struct replica *r, const char *name);

/*
 * Transfers leadership to the connected voter that has stored the most
 * entries. Returns false if this replica does not lead or there is none.
 */
bool replica_transfer_leadership(struct replica *r);

/*
 * Returns role, term, log indexes and members as JSON members without the
 * enclosing braces; free with g_free().
 */
char *replica_status(const struct replica *r);

struct wal_stats replica_wal_stats(const struct replica *r);

#endif
