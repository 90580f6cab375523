/*
 * The Raft consensus core: a pure state machine. Messages, clock ticks and
 * proposals go in; records to store, messages to send and committed entries
 * come out through raft_take(). It has no sockets, files, threads or clock.
 *
 * Published algorithm with pre-vote, check-quorum, read-index, learners,
 * one-at-a-time membership change and snapshots sent in chunks.
 */
#ifndef RAFT_H
#define RAFT_H

#include "base.h"

/* No member; also "nobody" as a vote or leader. */
#define RAFT_NONE 0

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRECANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

enum raft_entry_type {
	RAFT_NOOP, /* a new leader's first entry */
	RAFT_DATA, /* a command for the state machine */
	RAFT_MEMBERS /* a whole new membership */
};

/* One log entry, shared by reference count. */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_type type;
	GBytes *data; /* never NULL; empty for RAFT_NOOP */
	int refs;
};

/* A replica in the membership. A learner gets the log but has no vote. */
struct raft_member {
	uint64_t id;
	bool learner;
};

/* Membership, as a RAFT_MEMBERS entry and snapshots carry it. */
#define RAFT_MEMBERS_MAX 16
struct raft_members {
	int count;
	struct raft_member member[RAFT_MEMBERS_MAX];
};

enum raft_msg_type {
	RAFT_MSG_PREVOTE,
	RAFT_MSG_PREVOTE_REPLY,
	RAFT_MSG_VOTE,
	RAFT_MSG_VOTE_REPLY,
	RAFT_MSG_APPEND, /* also the heartbeat when it has no entries */
	RAFT_MSG_APPEND_REPLY,
	RAFT_MSG_SNAPSHOT, /* one chunk */
	RAFT_MSG_SNAPSHOT_REPLY,
	RAFT_MSG_TIMEOUT_NOW, /* leadership hand-over */
	RAFT_MSG_COUNT
};

/* One message between replicas; unused fields are 0. */
struct raft_msg {
	enum raft_msg_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t index; /* log position it speaks of */
	uint64_t log_term; /* term of the entry at index */
	uint64_t commit;
	uint64_t context; /* heartbeat round, for reads and check-quorum */
	uint64_t hint; /* in a rejection: where the sender's log ends */
	bool reject;
	bool forced; /* a vote asked for by TIMEOUT_NOW */
	GPtrArray *entries; /* struct raft_entry; NULL when there are none */
	/* RAFT_MSG_SNAPSHOT: a part of the snapshot up to index. */
	uint64_t offset;
	uint64_t total;
	GBytes *chunk;
	struct raft_members members;
};

/* A state machine snapshot and the log position it stands for. */
struct raft_snapshot {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
	GBytes *data;
};

/* The part of the state that must be synced before any message. */
struct raft_hard {
	uint64_t term;
	uint64_t vote;
};

struct raft_conf {
	uint64_t id;
	int election_ticks; /* least; the real one is up to twice that */
	int heartbeat_ticks;
	size_t append_max; /* bytes of entries in one message */
	size_t inflight_max; /* unanswered append messages to one replica */
	size_t chunk_bytes; /* of a snapshot in one message */
	uint64_t seed; /* for election jitter */
	/* What the disk holds; all zero and NULL in a new replica. */
	struct raft_hard hard;
	const struct raft_snapshot *snapshot; /* NULL: none */
	GPtrArray
	    *entries; /* struct raft_entry after the snapshot; NULL: none */
	/* Founding membership, used when there is no snapshot. */
	struct raft_members members;
};

/*
 * What one raft_take() gives. The caller, in this order: sends early; stores
 * snapshot, then hard and entries (an entry at an index that the log already
 * has replaces it and all after it), syncs, calls raft_stored(); then sends
 * late. Late messages wait for the sync of this and all earlier takes, also
 * when this one has nothing to store. Committed entries may be applied at
 * any time, in order. The arrays are never NULL.
 */
struct raft_out {
	bool hard_changed;
	struct raft_hard hard;
	GPtrArray *entries; /* struct raft_entry to store */
	GPtrArray *early; /* struct raft_msg, may be sent at once */
	GPtrArray *late; /* struct raft_msg, after the sync */
	GPtrArray *committed; /* struct raft_entry to apply */
	struct raft_snapshot *snapshot; /* to store and restore from; or NULL.
					   Stored entries after it are void
					   unless the one at its index has its
					   term */
	GArray *reads; /* uint64_t contexts of raft_read() now confirmed:
			  answer once applied reaches read_index */
	uint64_t read_index;
	GArray *reads_failed; /* contexts that no longer can be confirmed */
};

struct raft; /* one replica's consensus state */

struct raft *raft_new(const struct raft_conf *conf);
void raft_free(struct raft *r);

/* Takes in one message; r keeps references to its entries and chunk. */
void raft_step(struct raft *r, const struct raft_msg *m);

/* One step of the clock. */
void raft_tick(struct raft *r);

/*
 * Appends a command on the leader. Returns its index, or 0 if this replica
 * does not lead (or hands leadership over).
 */
uint64_t raft_propose(struct raft *r, GBytes *data);

/*
 * Proposes adding, promoting or removing one member: id as voter or learner,
 * or removal. Returns the index or 0: not leader, a change is in flight, the
 * leader has not committed in its term, or a learner too far behind is asked
 * to be voter.
 */
uint64_t
raft_propose_member(struct raft *r, uint64_t id, bool learner, bool remove);

/*
 * Asks for a confirmation that this replica still leads. The context comes
 * back in reads or reads_failed. Returns false if it does not lead.
 */
bool raft_read(struct raft *r, uint64_t context);

/* Hands leadership to a voter; false if not leader or no such voter. */
bool raft_transfer(struct raft *r, uint64_t to);

/* Makes a follower campaign without waiting for its election timeout. */
void raft_campaign(struct raft *r);

/* Steps down at once and takes no leadership until raft_new() again. */
void raft_disable(struct raft *r);

/* Takes everything that has come up since the last call. */
void raft_take(struct raft *r, struct raft_out *out);
void raft_out_clear(struct raft_out *out);
bool raft_out_empty(const struct raft_out *out);

/*
 * Says that a take is synced whose last entry has this index and term. Called
 * once for each take that had entries, in their order; after one that had
 * only a snapshot, with the snapshot's index and term.
 */
void raft_stored(struct raft *r, uint64_t index, uint64_t term);

/*
 * Gives the core a snapshot of the applied state; entries up to its index,
 * less keep of them for followers that lag, are dropped from memory. The core
 * takes term and members from its own log (raft_members_at()). A snapshot
 * older than the last one has no effect.
 */
void raft_compact(
    struct raft *r, const struct raft_snapshot *snapshot, uint64_t keep);

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_leader(const struct raft *r); /* RAFT_NONE: not known */
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_first_index(const struct raft *r);
uint64_t raft_commit(const struct raft *r);
/* Says whether this leader has committed an entry of its own term. */
bool raft_settled(const struct raft *r);
const struct raft_members *raft_members(const struct raft *r);
/*
 * Gives the membership in force at an index that is not compacted, as a
 * snapshot up to it must carry it.
 */
void raft_members_at(
    const struct raft *r, uint64_t index, struct raft_members *members);
/* On a leader: highest index known stored at member id; 0 elsewhere. */
uint64_t raft_match(const struct raft *r, uint64_t id);

/* Records: raft entries and messages for disks and sockets (msgpack). */
struct raft_entry *raft_entry_new(
    uint64_t index, uint64_t term, enum raft_entry_type type, GBytes *data);
struct raft_entry *raft_entry_ref(struct raft_entry *e);
void raft_entry_unref(struct raft_entry *e);
struct raft_msg *raft_msg_new(enum raft_msg_type type);
void raft_msg_free(struct raft_msg *m);
GBytes *raft_msg_encode(const struct raft_msg *m);
struct raft_msg *raft_msg_decode(const void *data, size_t len, GError **err);
void raft_snapshot_free(struct raft_snapshot *s);
GBytes *raft_members_encode(const struct raft_members *m);
bool raft_members_decode(const void *data, size_t len, struct raft_members *m);

#endif
