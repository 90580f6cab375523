/*
 * The Raft consensus algorithm as a deterministic state machine without
 * sockets, files, threads or a clock. The caller passes in messages, clock
 * ticks and proposals; raft_take_output() returns the records to store, the
 * messages to send and the committed entries.
 *
 * Implements pre-vote, check-quorum, ReadIndex reads, learners, leadership
 * transfer, single-server membership changes and snapshots sent in chunks.
 *
 * A leader that a quorum has acknowledged stays the only one for
 * election_ticks: followers don't help to elect another one within that time,
 * nor do replicas that restart, unless all voters agree.
 */
#ifndef RAFT_H
#define RAFT_H

#include "base.h"

/* Not a valid member ID: no vote was cast, or the leader is not known. */
#define RAFT_NONE 0

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRECANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

enum raft_entry_type {
	RAFT_NOOP, /* appended by each new leader */
	RAFT_DATA, /* a command for the state machine */
	RAFT_MEMBERS /* a complete membership, encoded */
};

/* One log entry. Reference counted; references may be held by any thread. */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_type type;
	GBytes *data; /* never NULL; empty for RAFT_NOOP */
	int refs;
};

/* A replica in the membership. A learner receives the log but has no vote. */
struct raft_member {
	uint64_t id;
	bool learner;
};

/* A membership, as stored in RAFT_MEMBERS entries and in snapshots. */
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
	RAFT_MSG_APPEND, /* also the heartbeat, if it has no entries */
	RAFT_MSG_APPEND_REPLY,
	RAFT_MSG_SNAPSHOT, /* one chunk of a snapshot */
	RAFT_MSG_SNAPSHOT_REPLY,
	RAFT_MSG_TIMEOUT_NOW, /* leadership transfer: start an election now */
	RAFT_MSG_COUNT
};

/*
 * One message between replicas. Fields that a message type does not use are 0.
 */
struct raft_msg {
	enum raft_msg_type type;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	/*
	 * Requests: the sender's last entry (votes), the entry before entries
	 * (appends) or the last entry of the snapshot. Append replies: the last
	 * stored entry that agrees with the leader's log, or the index of the
	 * rejected request. Snapshot replies: the index of the request.
	 */
	uint64_t index;
	uint64_t log_term; /* of the entry at index; in rejections: at hint */
	/* Commit index of the leader. SNAPSHOT_REPLY: last stored index. */
	uint64_t commit;
	uint64_t context; /* heartbeat round, echoed in replies; for reads */
	/*
	 * Append rejection: last index at which the logs may agree.
	 * SNAPSHOT_REPLY: offset of the next chunk to send.
	 */
	uint64_t hint;
	bool reject;
	/* Vote request: due to TIMEOUT_NOW, so valid despite a live leader. */
	bool leader_transfer;
	/*
	 * Pre-vote reply: the sender may have acknowledged a leader just before
	 * its restart, so that the grant counts only if all voters grant. Vote
	 * request: all voters have granted the pre-vote.
	 */
	bool unanimous;
	GPtrArray *entries; /* struct raft_entry; NULL if there are none */
	/* RAFT_MSG_SNAPSHOT only. Offset and total are in bytes. */
	uint64_t offset;
	uint64_t total;
	GBytes *chunk;
	struct raft_members members;
};

/* A snapshot of the state machine after the entry at index was applied. */
struct raft_snapshot {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
	GBytes *data;
};

/* Must be synced before any message that depends on it is sent. */
struct raft_hard_state {
	uint64_t term;
	uint64_t vote;
};

/* Parameters of a replica and its state from disk. Times are in ticks. */
struct raft_conf {
	uint64_t id;
	int election_ticks; /* minimum timeout; randomised to below 2x */
	int heartbeat_ticks;
	size_t append_bytes_max; /* of entries per message, but at least one */
	size_t inflight_max; /* unanswered appends per replica */
	size_t chunk_bytes; /* of a snapshot per message */
	uint64_t seed; /* for the random election timeout */
	/* State loaded from disk; zero and NULL for a new replica. */
	struct raft_hard_state hard_state;
	const struct raft_snapshot *snapshot; /* or NULL */
	GPtrArray *entries; /* struct raft_entry after the snapshot */
	/* Initial membership, used if there is no snapshot. */
	struct raft_members members;
};

/*
 * The result of one raft_take_output(). The caller must, in this order:
 * - send messages;
 * - store snapshot, then hard_state and entries, sync them and call
 *   raft_stored(). A snapshot replaces the stored entries up to its index, and
 *   the later ones too unless the stored entry at its index has its term. An
 *   entry at an index that is already stored replaces that and all after it;
 * - send messages_after_sync. They wait for the sync of this and all earlier
 *   outputs, also if this one has nothing to store.
 * Committed entries may be applied at any time, in order. The arrays are never
 * NULL.
 */
struct raft_output {
	bool hard_state_changed;
	struct raft_hard_state hard_state;
	GPtrArray *entries; /* struct raft_entry to store */
	GPtrArray *messages; /* struct raft_msg */
	GPtrArray *messages_after_sync; /* struct raft_msg */
	GPtrArray *committed; /* struct raft_entry to apply */
	struct raft_snapshot *snapshot; /* to store and restore from; or NULL */
	/*
	 * uint64_t contexts of confirmed reads. The read may be answered once
	 * the entry at read_index is applied.
	 */
	GArray *reads_confirmed;
	uint64_t read_index;
	GArray *reads_failed; /* uint64_t contexts; leadership was lost */
};

/* The consensus state of one replica. */
struct raft;

struct raft *raft_new(const struct raft_conf *conf);
void raft_free(struct raft *r);

/* Handles one message; r takes references to its entries and chunk. */
void raft_step(struct raft *r, const struct raft_msg *m);

/* Advances the clock by one tick. */
void raft_tick(struct raft *r);

/*
 * Appends a command on the leader. Returns its index, or 0 if this replica
 * is not the leader or is transferring leadership.
 */
uint64_t raft_propose(struct raft *r, GBytes *data);

/*
 * Proposes to make member id a learner or a voter, or to remove it. A new
 * member must be added as a learner first. Returns the index of the entry, or 0
 * if this replica is not the leader, has not committed an entry of its term or
 * is transferring leadership; if the last change is not committed; if the
 * learner to promote is too far behind; or if the change has no effect, exceeds
 * RAFT_MEMBERS_MAX or leaves no voter.
 */
uint64_t
raft_propose_member(struct raft *r, uint64_t id, bool learner, bool remove);

/*
 * Starts a linearizable read: confirms with a quorum that this replica is still
 * the leader. The context is returned in reads_confirmed or reads_failed.
 * Returns false if this replica is not the leader.
 */
bool raft_read_index(struct raft *r, uint64_t context);

/*
 * Starts a transfer of leadership to a voter, which is abandoned after an
 * election timeout. Returns false if this replica is not the leader or there is
 * no such voter.
 */
bool raft_transfer_leadership(struct raft *r, uint64_t to);

/* Starts a pre-vote without waiting for the election timeout. */
void raft_campaign(struct raft *r);

/* Steps down at once and never campaigns again, for the lifetime of r. */
void raft_disable_leadership(struct raft *r);

/* Returns all output since the last call. */
void raft_take_output(struct raft *r, struct raft_output *out);
void raft_output_clear(struct raft_output *out);
bool raft_output_empty(const struct raft_output *out);

/*
 * Reports that the output whose last entry has this index and term is synced.
 * Must be called once, in order, for each output with entries; for an output
 * with only a snapshot, with the snapshot's index and term.
 */
void raft_stored(struct raft *r, uint64_t index, uint64_t term);

/*
 * Compacts the log to a snapshot of the applied state. Entries up to its index
 * are dropped from memory, except the last trailing ones, which are kept for
 * slow followers. The term and members are taken from the log, not from
 * snapshot. A snapshot that is not newer than the last one has no effect.
 */
void raft_compact(
    struct raft *r, const struct raft_snapshot *snapshot, uint64_t trailing);

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_leader(const struct raft *r); /* RAFT_NONE: not known */
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_first_index(const struct raft *r);
uint64_t raft_commit_index(const struct raft *r);
/*
 * Returns whether this replica is the leader and has committed an entry of its
 * own term.
 */
bool raft_own_term_committed(const struct raft *r);
/* Returns the current membership: the last in the log, committed or not. */
const struct raft_members *raft_members(const struct raft *r);
/*
 * Returns the membership as of an index that is not compacted. A snapshot up
 * to that index must contain it.
 */
void raft_members_at(
    const struct raft *r, uint64_t index, struct raft_members *members);
/*
 * On the leader, returns the last index known to be stored by member id; on
 * other replicas, 0.
 */
uint64_t raft_match_index(const struct raft *r, uint64_t id);

/* Messages and memberships are encoded as msgpack. */
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
