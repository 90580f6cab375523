/*
 * Several Raft cores with modelled disks and a modelled network, and checks
 * of Raft's safety properties after every step.
 */
#ifndef RAFT_CLUSTER_H
#define RAFT_CLUSTER_H

#include "core.h"

#define SLOTS 5

/* Stable storage of one replica. */
struct disk {
	struct raft_hard hard;
	struct raft_snapshot *snapshot;
	GPtrArray *entries; /* struct raft_entry after the snapshot */
};

/* One take on its way to the disk. */
struct batch {
	struct raft_out out;
	bool local; /* a snapshot of the replica's own */
};

/* A VM with one replica; after a disk loss, one with another id. */
struct node {
	uint64_t id;
	uint64_t life; /* counts restarts */
	struct raft *r; /* NULL: down */
	bool paused;
	bool founder;
	struct disk disk;
	GQueue unsynced; /* struct batch, oldest first */
	struct raft_hard hard; /* last seen */
	uint64_t applied;
	uint64_t chain; /* hash over all that was applied */
};

/* What is known to be committed at an index. */
struct fact {
	uint64_t term;
	uint64_t chain;
	uint64_t commit_term; /* of the leader that committed it */
};

/* A membership change that a leader took in. */
struct proposal {
	uint64_t index;
	uint64_t term;
	struct raft_members members;
};

struct cluster {
	uint64_t seed;
	uint64_t step;
	struct rng rng;
	struct node node[SLOTS];
	struct raft_members founders;
	bool cut[SLOTS][SLOTS]; /* from, to */
	GQueue wire; /* GBytes, oldest first */
	uint64_t next_id;
	uint64_t next_value;
	GArray *facts; /* struct fact, from index 1 */
	GArray *proposed; /* struct proposal */
	GHashTable *entries; /* (index, term) to what it must hold */
	GHashTable *leaders; /* term to its leader's id and life */
	GArray *floors; /* commit known when read context i + 1 was asked */
	uint64_t reads;
	uint64_t installs;
	uint64_t changes;
	uint64_t lost; /* disks */
};

struct cluster *cluster_new(uint64_t seed, int founders);
void cluster_free(struct cluster *c);

/* Stops the test, naming the seed and step. */
void cluster_broken(const struct cluster *c, const char *what)
    __attribute__((noreturn));

struct node *cluster_node(struct cluster *c, uint64_t id);
struct node *cluster_leader(struct cluster *c); /* highest term; or NULL */

/* Takes from the core, checks, sends early and queues the rest. */
void node_take(struct cluster *c, struct node *n);
/* Syncs the oldest batch and sends its late messages; false: none. */
bool node_sync(struct cluster *c, struct node *n);
/* Stops a replica; some unsynced batches may have reached the disk. */
void node_crash(struct cluster *c, struct node *n);
void node_start(struct cluster *c, struct node *n);
/* The disk is gone: a new replica with a new id starts in its place. */
void node_lose(struct cluster *c, struct node *n);
void node_compact(struct cluster *c, struct node *n, uint64_t keep);
/* Delivers the first message from position first on that can be delivered. */
bool cluster_deliver(struct cluster *c, guint first, bool duplicate);
bool cluster_read(struct cluster *c, struct node *n);
/* Says whether the entry of this index and term is committed. */
bool cluster_committed(const struct cluster *c, uint64_t index, uint64_t term);
uint64_t cluster_propose(struct cluster *c, struct node *n);

/* Runs without faults: ticks, then delivers and syncs until all is quiet. */
void cluster_settle(struct cluster *c);
void cluster_ticks(struct cluster *c, int ticks);
/* Makes this node lead, with everything healed. */
void cluster_elect(struct cluster *c, struct node *n);

/* Runs one schedule of faults, then requires progress without them. */
void cluster_schedule(struct cluster *c, int steps);

#endif
