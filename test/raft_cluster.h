/*
 * Simulated cluster of Raft replicas with simulated disks and network. The
 * safety properties of Raft are checked after every step.
 */
#ifndef RAFT_CLUSTER_H
#define RAFT_CLUSTER_H

#include "core.h"

#define NODES 5

/* Stable storage of one replica. */
struct disk {
	struct raft_hard_state hard_state;
	struct raft_snapshot *snapshot;
	GPtrArray *entries; /* struct raft_entry after the snapshot */
};

/* One output that is written to the disk but not synced. */
struct batch {
	struct raft_output out;
	bool compaction; /* only a snapshot taken by the replica itself */
};

/* A VM with one replica. After a disk loss the replica has a new ID. */
struct node {
	uint64_t id;
	uint64_t incarnation; /* number of starts */
	struct raft *r; /* NULL: down */
	bool paused;
	bool initial_member;
	struct disk disk;
	GQueue unsynced; /* struct batch, oldest first */
	struct raft_hard_state hard_state; /* in the last output */
	uint64_t applied;
	uint64_t applied_hash; /* over all applied entries */
};

/* An entry that some replica has applied. */
struct committed_entry {
	uint64_t term;
	uint64_t applied_hash;
	uint64_t commit_term; /* term of the replica that first applied it */
};

/* A membership change that a leader has appended. */
struct membership_proposal {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
};

struct cluster {
	uint64_t seed;
	uint64_t step;
	struct rng rng;
	struct node node[NODES];
	struct raft_members initial_members;
	bool blocked[NODES][NODES]; /* from, to */
	GQueue network; /* GBytes, encoded messages, oldest first */
	uint64_t next_id;
	uint64_t next_value;
	GArray *committed; /* struct committed_entry, from index 1 on */
	GArray *proposed_members; /* struct membership_proposal */
	GHashTable *entries; /* set of struct content */
	GHashTable *leaders; /* term to struct term_leader */
	GArray *read_index_min; /* commit index when read i + 1 started */
	uint64_t reads;
	uint64_t snapshots_installed;
	uint64_t membership_changes;
	uint64_t disks_lost;
};

struct cluster *cluster_new(uint64_t seed, int initial_members);
void cluster_free(struct cluster *c);

/* Aborts the test and prints the seed and step. */
void cluster_fail(const struct cluster *c, const char *what)
    __attribute__((noreturn));

struct node *cluster_node(struct cluster *c, uint64_t id);
/* Returns the leader with the highest term, or NULL. */
struct node *cluster_leader(struct cluster *c);

/*
 * Takes the output of a replica, checks it, applies the committed entries,
 * sends what needs no sync and queues the rest.
 */
void node_take_output(struct cluster *c, struct node *n);
/*
 * Syncs the oldest batch and sends the messages that waited for it. Returns
 * false if there is none.
 */
bool node_sync(struct cluster *c, struct node *n);
/* Stops a replica. Some of its unsynced batches may be on disk afterwards. */
void node_crash(struct cluster *c, struct node *n);
void node_start(struct cluster *c, struct node *n);
/* Clears the disk and starts a new replica with a new ID. */
void node_lose_disk(struct cluster *c, struct node *n);
void node_compact(struct cluster *c, struct node *n, uint64_t trailing);
/*
 * Delivers the first message from position first on that can be delivered, and
 * drops the undeliverable ones before it. Messages to paused nodes stay queued.
 */
bool cluster_deliver(struct cluster *c, guint first, bool duplicate);
bool cluster_read(struct cluster *c, struct node *n);
/* Returns whether the entry with this index and term was applied. */
bool cluster_committed(const struct cluster *c, uint64_t index, uint64_t term);
uint64_t cluster_propose(struct cluster *c, struct node *n);

/* Delivers messages and syncs disks until there is nothing left to do. */
void cluster_quiesce(struct cluster *c);
/* Advances all clocks tick by tick and delivers everything after each. */
void cluster_ticks(struct cluster *c, int ticks);
/* Elects this node, in a cluster without faults. */
void cluster_elect(struct cluster *c, struct node *n);

/* Runs random steps with faults, then requires progress without faults. */
void cluster_run_schedule(struct cluster *c, int steps);

#endif
