/*
 * Internal declarations of the Raft library.
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "raft.h"

/* A batch of entries passed to storage and not yet reported as synced. */
struct log_write {
	uint64_t index; /* of its last entry */
	uint64_t term; /* of its last entry */
	uint64_t hard_term; /* term of the hard state stored with it */
	/* Last index whose entry has not been replaced in memory since the
	 * batch was passed to storage. */
	uint64_t last_valid;
};

/* The log in memory, from the entry after base, and its storage progress. */
struct log {
	GPtrArray *entries;
	uint64_t base;
	uint64_t base_term;
	uint64_t submitted; /* last index passed to storage */
	uint64_t stored; /* last index known to be synced */
	GArray *writes; /* struct log_write, oldest first */
};

/* A membership and the log index from which it applies. */
struct membership {
	uint64_t index;
	struct raft_members members;
};

/* A reference-counted snapshot, shared with the peers it is being sent to. */
struct shared_snapshot {
	struct raft_snapshot snapshot;
	int refs;
};

enum peer_state {
	PEER_PROBE, /* searching for the last entry that both logs share */
	PEER_REPLICATE, /* entries are sent without waiting for replies */
	PEER_SNAPSHOT /* a snapshot is being sent */
};

/* Replication progress of a member; only id and learner for the leader. */
struct peer {
	uint64_t id;
	enum peer_state state;
	bool learner;
	bool heartbeat_due;
	uint64_t match; /* highest index known to be stored there */
	uint64_t next; /* next index to send */
	uint64_t acked_round; /* last heartbeat round that it replied to */
	uint64_t last_reply; /* tick of its last reply */
	/* Ring buffer of the last index of each unanswered append. */
	uint64_t *inflight;
	size_t inflight_first;
	size_t inflight_count;
	struct shared_snapshot *snap; /* snapshot being sent; or NULL */
	uint64_t offset; /* of the next chunk */
	uint64_t
	    chunk_sent; /* tick; 0: the chunk at offset is still to be sent */
};

/* A snapshot of which a follower has received only a part. */
struct incoming_snapshot {
	uint64_t from;
	uint64_t term; /* of the sending leader */
	uint64_t index;
	uint64_t log_term;
	uint64_t total;
	struct raft_members members;
	GByteArray *data; /* received so far; NULL: no transfer */
};

/* A read that waits until a quorum has replied to heartbeat_round. */
struct pending_read {
	uint64_t context;
	uint64_t heartbeat_round;
};

/* Votes received in the current election or pre-vote. */
struct tally {
	int count;
	uint64_t id[RAFT_MEMBERS_MAX];
	bool granted[RAFT_MEMBERS_MAX];
	bool unanimous[RAFT_MEMBERS_MAX]; /* counts only with all others */
};

struct raft {
	uint64_t id;
	int election_ticks;
	int heartbeat_ticks;
	size_t append_bytes_max;
	size_t inflight_max;
	size_t chunk_bytes;
	struct rng rng;

	enum raft_role role;
	bool leadership_disabled;
	bool ack_pending; /* follower: reply after the next sync */
	bool read_round_due; /* leader: start a heartbeat round for a read */
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	struct raft_hard_state prev_hard_state; /* in the last output */
	/* Highest term known to be synced; 0: a snapshot is not synced yet. */
	uint64_t synced_term;

	struct log log;
	uint64_t commit;
	uint64_t delivered; /* last committed index that was in an output */
	struct shared_snapshot *snapshot; /* latest; NULL: none */
	GArray *memberships; /* struct membership; the last is current */

	uint64_t now; /* ticks */
	/* Ticks since the last message from the leader or the last campaign. */
	int election_elapsed;
	int election_timeout; /* ticks; randomised anew for each election */
	bool restarted; /* with state from the disk */
	int early_campaigns; /* left, until a leader is heard */
	struct tally tally;

	/* Follower. */
	uint64_t verified; /* log agrees with the current leader up to here */
	uint64_t ack_round; /* heartbeat round for the reply after a sync */
	struct incoming_snapshot incoming;

	/* Leader. */
	struct peer peers[RAFT_MEMBERS_MAX];
	int peer_count;
	int heartbeat_elapsed; /* ticks */
	uint64_t term_first_index; /* index of its NOOP entry of this term */
	uint64_t heartbeat_round;
	GArray *pending_reads; /* struct pending_read, oldest first */
	uint64_t transfer_to; /* next leader; RAFT_NONE: no transfer */
	uint64_t transfer_start; /* tick */

	/* Output for the next raft_take_output(). */
	GPtrArray *messages;
	GPtrArray *messages_after_sync;
	GArray *reads_confirmed;
	GArray *reads_failed;
	struct shared_snapshot *installed; /* received snapshot; or NULL */
};

/* log.c */
void log_init(struct log *l, uint64_t base, uint64_t base_term);
void log_clear(struct log *l);
uint64_t log_last_index(const struct log *l);
/* Returns false if index is compacted or past the end. */
bool log_term(const struct log *l, uint64_t index, uint64_t *term);
uint64_t log_last_term(const struct log *l);
/*
 * Returns the entry without adding a reference, or NULL if it is compacted or
 * past the end.
 */
struct raft_entry *log_entry(const struct log *l, uint64_t index);
/* Appends the entry with the next index and adds a reference to it. */
void log_append(struct log *l, struct raft_entry *e);
/* Drops the entries from index on. */
void log_truncate(struct log *l, uint64_t index);
/* Replaces the log by an empty one that starts after a snapshot. */
void log_reset(struct log *l, uint64_t base, uint64_t base_term);
/* Drops the entries up to and including index from memory. */
void log_compact(struct log *l, uint64_t index);
/*
 * Returns the entries that were not passed to storage yet and records them as a
 * write. A write without entries is recorded if there is a snapshot to store.
 */
GPtrArray *log_submit(struct log *l, uint64_t hard_term, bool snapshot);
/*
 * Marks a write as synced. Returns the term of the hard state synced with it,
 * or 0 if the write is not known.
 */
uint64_t log_mark_stored(struct log *l, uint64_t index, uint64_t term);

/* members.c */
const struct raft_members *members_current(const struct raft *r);
uint64_t members_current_index(const struct raft *r);
bool members_has(const struct raft_members *m, uint64_t id, bool *learner);
bool members_is_voter(const struct raft_members *m, uint64_t id);
int members_voters(const struct raft_members *m);
int members_quorum(const struct raft_members *m);
void
members_set(struct raft *r, uint64_t index, const struct raft_members *members);
/* Removes the memberships of log entries from index on. */
void members_rollback(struct raft *r, uint64_t index);
/* Removes the memberships that were already replaced at index. */
void members_prune(struct raft *r, uint64_t index);

/* election.c */
void become_follower(struct raft *r, uint64_t term, uint64_t leader);
enum campaign {
	CAMPAIGN_PREVOTE,
	CAMPAIGN_VOTE,
	CAMPAIGN_UNANIMOUS, /* all voters have granted the pre-vote */
	CAMPAIGN_TRANSFER, /* ordered by the leader */
};

void campaign(struct raft *r, enum campaign kind);
/*
 * Returns whether a vote request is to be ignored, as the replica follows a
 * leader or may have acknowledged one just before its restart.
 */
bool ignores_vote(const struct raft *r, const struct raft_msg *m);
void on_prevote(struct raft *r, const struct raft_msg *m);
void on_vote(struct raft *r, const struct raft_msg *m);
void on_vote_reply(struct raft *r, const struct raft_msg *m);
void on_timeout_now(struct raft *r, const struct raft_msg *m);
void election_tick(struct raft *r);
/*
 * Returns whether this replica leads or received a message from the leader
 * within the minimum election timeout. It then ignores requests for votes.
 */
bool leader_alive(const struct raft *r);

/* replicate.c */
void leader_append(struct raft *r, enum raft_entry_type type, GBytes *data);
void leader_start(struct raft *r);
void leader_stop(struct raft *r);
void leader_tick(struct raft *r);
void leader_send(struct raft *r);
struct peer *peer_find(struct raft *r, uint64_t id);
/* Adds and removes peers to match the current membership. */
void peers_update(struct raft *r);
void peer_start_replicate(struct peer *p);
/* Commits what a quorum has stored, on the leader. */
void advance_commit(struct raft *r);
void commit_to(struct raft *r, uint64_t index);
/* Sends TIMEOUT_NOW if p is the transfer target and has the whole log. */
void try_transfer(struct raft *r, const struct peer *p);
void on_append(struct raft *r, const struct raft_msg *m);
void on_append_reply(struct raft *r, const struct raft_msg *m);
/* Acknowledges the synced entries if the leader waits for them. */
void send_pending_ack(struct raft *r);

/* snapshot.c */
struct shared_snapshot *shared_snapshot_new(const struct raft_snapshot *s);
struct shared_snapshot *shared_snapshot_ref(struct shared_snapshot *s);
void shared_snapshot_unref(struct shared_snapshot *s);
struct raft_snapshot *snapshot_copy(const struct raft_snapshot *s);
void incoming_snapshot_clear(struct raft *r);
/*
 * Starts or continues to send a snapshot. Returns whether a message was sent.
 */
bool peer_send_chunk(struct raft *r, struct peer *p);
void on_snapshot(struct raft *r, const struct raft_msg *m);
void on_snapshot_reply(struct raft *r, const struct raft_msg *m);

/* raft.c */
/* Creates a message in the current term. */
struct raft_msg *
msg_new(const struct raft *r, enum raft_msg_type type, uint64_t to);
/* Queues a message. It waits for a sync only if the current term is not synced.
 */
void msg_send(struct raft *r, struct raft_msg *m);
void msg_send_after_sync(struct raft *r, struct raft_msg *m);

#endif
