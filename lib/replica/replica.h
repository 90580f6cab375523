/*
 * A replica: the consensus core and its files, driving a state machine of
 * the owner on the event loop. Forms a fresh cell or joins one.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include <event2/event.h>

#include "raft.h"
#include "wal.h"

struct replica;

/* What a connected replica says of itself. */
struct peer_info {
	const char *name;
	uint64_t replica_id; /* replica id; 0: none yet */
	uint64_t cell_id; /* 0: not known yet */
	bool formed; /* its log tells of a cell */
};

typedef void replica_peer_fn(void *arg, const struct peer_info *peer);

struct replica_conf {
	struct event_base *base;
	const char *name;
	const char *data_dir;
	uint64_t snapshot_entries; /* applied from one snapshot to the next */
	/* Between rounds of storing and sending under load: a longer gap costs
	 * less processor time, a shorter one commits sooner. */
	int64_t output_interval_ms;
	/* An election starts after 10 to 20 ticks without a leader. */
	int64_t tick_ms;
	/* Names of the replicas that found a cell together (char *), or NULL:
	 * the owner calls replica_bootstrap() on one of them, and every
	 * other connected replica is added to the membership. */
	GPtrArray *initial_members;
};

struct replica_ops {
	/* Applies a committed command at a log position. */
	bool (*apply)(void *arg, uint64_t index, const void *data, size_t len,
	    GError **err);
	/* The state machine's whole state, and back. */
	GBytes *(*snapshot)(void *arg);
	bool (*restore)(void *arg, GBytes *state, GError **err);
	/* After a batch of applied commands, and when the role may differ. */
	void (*updated)(void *arg);
	/* A read asked for with replica_read_index() can be answered (or not).
	 */
	void (*read_done)(void *arg, uint64_t context, bool ok);
	/* Sends a Raft message; dropped when the replica isn't connected. */
	void (*send)(void *arg, uint64_t to, GBytes *message);
	/* Who this replica is, to be told to its peers. */
	void (*identity_changed)(
	    void *arg, uint64_t node, uint64_t cell, bool formed);
	/* Calls fn for each connected replica. */
	void (*each_peer)(void *arg, replica_peer_fn *fn, void *fn_arg);
	/* The files can't be written: nothing may be acknowledged any more. */
	void (*storage_failed)(void *arg);
};

/* Opens the data folder; arg goes to the operations. */
struct replica *replica_new(const struct replica_conf *conf,
    const struct replica_ops *ops, void *arg, GError **err);
void replica_free(struct replica *r);

/* A message from the replica with that id. */
void
replica_receive(struct replica *r, uint64_t from, const void *data, size_t len);

/* Starts taking part; tells the identity first. */
void replica_start(struct replica *r);

/*
 * Founds a cell of this replica alone, the others are then added. Only for an
 * empty disk, on exactly one replica of a system that starts for the first
 * time. False if the replica has an identity already.
 */
bool replica_bootstrap(struct replica *r);

/* Says whether this replica leads and has applied all that came before. */
bool replica_leads(const struct replica *r);
uint64_t replica_term(const struct replica *r);
/* Members with a vote; 0 before it belongs to a cell. */
int replica_voter_count(const struct replica *r);
/* The leader's name if it is known and connected; "" otherwise. */
const char *replica_leader_name(const struct replica *r);

/* Proposes an encoded command; 0 if this replica does not lead. */
uint64_t replica_propose(struct replica *r, GBytes *command);

/* Asks for a confirmation that this replica still leads. */
bool replica_read_index(struct replica *r, uint64_t context);

/*
 * Adds a connected replica to the membership, or removes one. Returns NULL,
 * or why it can't be done as a sentence.
 */
const char *replica_add_member(struct replica *r, const char *name);
const char *replica_remove_member(struct replica *r, const char *name);

/* Hands leadership to another voter if this one leads. */
bool replica_transfer_leadership(struct replica *r);

/* A report line: role, term, indexes, members, as a JSON object's body. */
char *replica_status(const struct replica *r);

struct wal_stats replica_wal_stats(const struct replica *r);

#endif
