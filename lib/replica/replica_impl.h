/* Shared by replica.c, bootstrap.c and members.c. */
#ifndef REPLICA_IMPL_H
#define REPLICA_IMPL_H

#include "logs.h"
#include "mailbox.h"
#include "replica.h"

struct replica {
	struct event_base *base;
	char *name;
	uint64_t snapshot_entries;
	int64_t output_interval_ms;
	int64_t tick_ms;
	GPtrArray *initial_members; /* char *; NULL: automatic membership */
	int disk_losses; /* as configured; less than 0: not known */
	const struct replica_ops *ops;
	void *arg;
	struct wal *wal;
	struct wal_image image;
	struct wal_identity identity;
	struct mailbox *mailbox;
	struct raft *raft; /* NULL: has no identity or not started yet */
	uint64_t cell_id; /* 0: not known yet */
	uint64_t applied; /* index of the last applied entry */
	uint64_t applied_term;
	struct raft_members applied_members; /* membership at applied */
	uint64_t snapshot_index;
	uint64_t last_batch_seq;
	GQueue pending_batches; /* struct pending_batch, by seq */
	struct event *tick_timer;
	struct event *output_event; /* see replica_schedule_output() */
	bool output_scheduled;
	int64_t scheduled_ms; /* when the last output pass was scheduled */
	/* Token bucket in milliseconds: fills with the time that passes; each
	 * output pass without delay takes output_interval_ms. */
	int64_t tokens_ms;
	bool wait_logged; /* the wait for a cell without a leader was logged */
	bool has_cell_entry; /* the log has the entry with the cell id */
	int64_t opened_ms;
	uint64_t cell_id_term; /* term in which the cell id was proposed */
	/* Term in which the owner may act as the leader; 0: it must not. */
	uint64_t owner_term;
	bool failed; /* storage failed: must not lead or acknowledge */
	/* uint64_t id of an absent member to int64_t time in ms */
	GHashTable *absent_since;
};

/* replica.c */
/*
 * Schedules an output pass, which stores and sends what Raft has and applies
 * committed entries. Under load, passes are output_interval_ms apart.
 */
void replica_schedule_output(struct replica *r);
/*
 * Reports the identity of this replica to the owner. formed is set once the
 * log has the entry with the cell id, also before that entry is committed.
 */
void replica_report_identity(struct replica *r);
/* Called on the file thread: the batch is synced or has failed. */
void replica_wal_done(void *arg, uint64_t seq, const GError *err);

/* bootstrap.c */
#define INITIAL_MEMBER_NONCE 1 /* nonce in the id of an initial member */

/*
 * A replica id has the hash of the replica's name in the upper 32 bits and a
 * nonce in the lower ones. A replica that lost its disk gets a new id, and
 * the common upper half identifies the member it replaces.
 */
uint64_t replica_make_id(const char *name, uint32_t nonce);
bool replica_id_has_name(uint64_t id, const char *name);
/* Starts Raft with the state read from disk. */
void replica_start_raft(struct replica *r);
/*
 * Called on each tick while the replica has no identity. Joins the cell of a
 * connected replica under a new id. Bootstraps a cell if no connected replica
 * belongs to one and a majority of the initial members is connected.
 */
void replica_bootstrap_or_join(struct replica *r);

/* members.c */
/*
 * Replaces members that lost their disk. With automatic membership, also
 * adds connected replicas and removes absent members. One change at a time.
 */
void replica_update_members(struct replica *r);
/* Returns the name of a connected replica, or NULL. */
const char *replica_peer_name(const struct replica *r, uint64_t replica_id);

#endif
