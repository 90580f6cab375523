/*
 * The inside of the Raft core, shared by its source files only.
 */
#ifndef RAFT_CORE_H
#define RAFT_CORE_H

#include "raft.h"

/* A batch handed out for storage that raft_stored() has not named yet. */
struct write {
	uint64_t index; /* of its last entry */
	uint64_t term; /* of its last entry */
	uint64_t hard_term; /* the hard state's, synced with it */
	uint64_t valid; /* entries after this were replaced meanwhile */
};

/* The entries after base in memory, and how far they are on disk. */
struct log {
	GPtrArray *entries;
	uint64_t base;
	uint64_t base_term;
	uint64_t taken; /* handed out for storage up to here */
	uint64_t stored; /* known synced up to here */
	GArray *writes; /* struct write, oldest first */
};

/* A membership and the log index from which it is in force. */
struct change {
	uint64_t index;
	struct raft_members members;
};

/* A snapshot shared by the core and the transfers that send it. */
struct snap {
	struct raft_snapshot s;
	int refs;
};

enum peer_state {
	PEER_PROBE, /* looks for the last entry in common */
	PEER_REPLICATE, /* streams entries ahead of the replies */
	PEER_SNAPSHOT /* is sent a snapshot */
};

/* What the leader knows of one member; its own has only id and learner. */
struct peer {
	uint64_t id;
	enum peer_state state;
	bool learner;
	bool beat; /* owes it a heartbeat */
	uint64_t match; /* highest index known stored there */
	uint64_t next; /* next index to send */
	uint64_t round; /* last heartbeat round it answered */
	uint64_t heard; /* tick of its last reply */
	uint64_t *window; /* last indexes of unanswered appends, a ring */
	size_t window_first;
	size_t window_count;
	struct snap *snap; /* being sent; or NULL */
	uint64_t offset; /* of the next chunk */
	uint64_t chunk_at; /* tick of the last chunk; 0: send at once */
};

/* The snapshot that a follower is receiving. */
struct incoming {
	uint64_t from;
	uint64_t term; /* of the sending leader */
	uint64_t index;
	uint64_t log_term;
	uint64_t total;
	struct raft_members members;
	GByteArray *data; /* NULL: none */
};

/* A read that waits for a quorum to answer a heartbeat round. */
struct read {
	uint64_t context;
	uint64_t round;
};

/* Votes of the running election. */
struct tally {
	int count;
	uint64_t id[RAFT_MEMBERS_MAX];
	bool granted[RAFT_MEMBERS_MAX];
};

struct raft {
	uint64_t id;
	int election_ticks;
	int heartbeat_ticks;
	size_t append_max;
	size_t inflight_max;
	size_t chunk_bytes;
	struct rng rng;

	enum raft_role role;
	bool disabled;
	bool ack_due; /* follower: a reply waits for storage */
	bool read_wanted; /* leader: the next take starts a round */
	uint64_t term;
	uint64_t vote;
	uint64_t leader;
	struct raft_hard handed_hard; /* last given by raft_take() */
	uint64_t synced_term; /* highest term known synced; 0: see install */

	struct log log;
	uint64_t commit;
	uint64_t handed; /* committed entries given by raft_take() */
	struct snap *snapshot; /* latest; NULL: none */
	GArray *changes; /* struct change, the last one is in force */

	uint64_t now; /* ticks */
	int elapsed; /* since the leader was heard or the campaign began */
	int timeout; /* this time's election timeout */
	struct tally tally;

	/* Follower. */
	uint64_t verified; /* log agrees with this term's leader up to here */
	uint64_t ack_round; /* round to confirm with the next stored reply */
	struct incoming incoming;

	/* Leader. */
	struct peer peers[RAFT_MEMBERS_MAX];
	int peer_count;
	int beat_elapsed;
	uint64_t term_start; /* index of its first entry */
	uint64_t round;
	GArray *reads; /* struct read, oldest first */
	uint64_t transfer; /* member to lead next; RAFT_NONE: no transfer */
	uint64_t transfer_at; /* tick of its start */

	/* For the next raft_take(). */
	GPtrArray *early;
	GPtrArray *late;
	GArray *reads_done;
	GArray *reads_failed;
	struct snap *installed;
};

/* log.c */
void log_init(struct log *l, uint64_t base, uint64_t base_term);
void log_clear(struct log *l);
uint64_t log_last(const struct log *l);
/* Gives the term at index; false if it is compacted or past the end. */
bool log_term(const struct log *l, uint64_t index, uint64_t *term);
uint64_t log_last_term(const struct log *l);
/* Returns the entry, no new reference; NULL as for log_term(). */
struct raft_entry *log_at(const struct log *l, uint64_t index);
/* Appends the next entry; takes its own reference. */
void log_append(struct log *l, struct raft_entry *e);
/* Drops all entries from index on. */
void log_truncate(struct log *l, uint64_t index);
/* Drops everything and starts anew after a snapshot. */
void log_reset(struct log *l, uint64_t base, uint64_t base_term);
/* Drops entries up to index from memory. */
void log_compact(struct log *l, uint64_t index);
/*
 * Hands out what was not handed out yet and notes it as a write; also one
 * without entries if a snapshot goes with it.
 */
GPtrArray *log_take(struct log *l, uint64_t hard_term, bool snapshot);
/* Takes in raft_stored(); returns the hard term synced with it, or 0. */
uint64_t log_stored(struct log *l, uint64_t index, uint64_t term);

/* members.c */
const struct raft_members *members_now(const struct raft *r);
uint64_t members_index(const struct raft *r);
bool members_has(const struct raft_members *m, uint64_t id, bool *learner);
bool members_voter(const struct raft_members *m, uint64_t id);
int members_quorum(const struct raft_members *m);
void
members_set(struct raft *r, uint64_t index, const struct raft_members *members);
/* Takes back memberships of dropped entries from index on. */
void members_rollback(struct raft *r, uint64_t index);
/* Forgets memberships that index's one has replaced. */
void members_prune(struct raft *r, uint64_t index);

/* election.c */
void become_follower(struct raft *r, uint64_t term, uint64_t leader);
void campaign(struct raft *r, bool pre, bool forced);
void on_prevote(struct raft *r, const struct raft_msg *m);
void on_vote(struct raft *r, const struct raft_msg *m);
void on_vote_reply(struct raft *r, const struct raft_msg *m);
void on_timeout_now(struct raft *r, const struct raft_msg *m);
void election_tick(struct raft *r);
/* Says whether a vote must be refused because a leader is alive. */
bool leader_alive(const struct raft *r);

/* replicate.c */
void append_local(struct raft *r, enum raft_entry_type type, GBytes *data);
void leader_start(struct raft *r);
void leader_stop(struct raft *r);
void leader_tick(struct raft *r);
void leader_flush(struct raft *r);
struct peer *peer_find(struct raft *r, uint64_t id);
/* Brings the peers in line with the membership. */
void peers_update(struct raft *r);
void peer_stream(struct peer *p);
void commit_by_count(struct raft *r);
void commit_to(struct raft *r, uint64_t index);
void transfer_check(struct raft *r, const struct peer *p);
void on_append(struct raft *r, const struct raft_msg *m);
void on_append_reply(struct raft *r, const struct raft_msg *m);
/* Sends the reply that waited for storage. */
void ack_stored(struct raft *r);

/* snapshot.c */
struct snap *snap_new(const struct raft_snapshot *s);
struct snap *snap_ref(struct snap *s);
void snap_unref(struct snap *s);
struct raft_snapshot *snapshot_copy(const struct raft_snapshot *s);
void incoming_clear(struct raft *r);
/* Starts a transfer, or goes on; returns whether a message was sent. */
bool peer_send_chunk(struct raft *r, struct peer *p);
void on_snapshot(struct raft *r, const struct raft_msg *m);
void on_snapshot_reply(struct raft *r, const struct raft_msg *m);

/* raft.c */
/* Makes a message of the current term to a member. */
struct raft_msg *
msg_to(const struct raft *r, enum raft_msg_type type, uint64_t to);
/* Queues it, early if nothing it rests on is still to be synced. */
void msg_send(struct raft *r, struct raft_msg *m);
void msg_send_late(struct raft *r, struct raft_msg *m);

#endif
