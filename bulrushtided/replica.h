/*
 * A replica: the consensus core, its files and the agreed state, driven by
 * the event loop. Forms a fresh cell or joins one.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include "cell.h"
#include "node.h"
#include "raft.h"

struct replica_ops {
	/* A command was applied at a log position. */
	void (*applied)(void *arg, uint64_t index, struct cell_result *result);
	/* After a batch of applied commands, and when the role may differ. */
	void (*advanced)(void *arg);
	/* A read asked for with replica_read() can be answered (or not). */
	void (*read)(void *arg, uint64_t context, bool ok);
};

/* Opens the data folder and starts the file thread. */
struct replica *replica_new(
    struct node *node, const struct replica_ops *ops, void *arg, GError **err);
void replica_free(struct replica *r);

/* Wiring to peers.c. */
void
replica_message(struct replica *r, uint64_t from, const void *data, size_t len);

/* Tells the replica's identity to the peers once they are there. */
void replica_start(struct replica *r);

struct cell *replica_cell(const struct replica *r);

/* Says whether this replica leads and has applied all that came before. */
bool replica_leads(const struct replica *r);
uint64_t replica_term(const struct replica *r);
/* The leader's name if it is known and connected; "" otherwise. */
const char *replica_leader_name(const struct replica *r);

/* Proposes an encoded cell command; 0 if this replica does not lead. */
uint64_t replica_propose(struct replica *r, GBytes *command);

/* Asks for a confirmation that this replica still leads. */
bool replica_read(struct replica *r, uint64_t context);

/*
 * Adds a connected replica to the membership, or removes one. Returns NULL,
 * or why it can't be done as a sentence.
 */
const char *replica_add(struct replica *r, const char *name);
const char *replica_remove(struct replica *r, const char *name);

/* Hands leadership to another voter if this one leads. */
bool replica_hand_over(struct replica *r);

/* A report line: role, term, indexes, members, as a JSON object's body. */
char *replica_status(const struct replica *r);

#endif
