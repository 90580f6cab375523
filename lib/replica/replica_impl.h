/* Shared by the files of a replica: replica.c, founding.c and members.c. */
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
	GPtrArray *initial_members; /* char *, or NULL */
	const struct replica_ops *ops;
	void *arg;
	struct wal *wal;
	struct wal_image image;
	struct wal_identity identity;
	struct mailbox *mailbox;
	struct raft *raft; /* NULL: not formed or joined yet */
	uint64_t cell_id;
	uint64_t applied;
	uint64_t applied_term;
	struct raft_members applied_members;
	uint64_t snapshot_index;
	uint64_t last_batch_seq;
	GQueue pending_batches; /* struct ticket, in order */
	struct event *tick_timer;
	struct event *output_event;
	bool output_scheduled;
	int64_t scheduled_ms;
	int64_t tokens_ms; /* rounds at once, in gap_ms each */
	bool wait_logged; /* for a cell that is formed and has no leader yet */
	bool has_cell_entry; /* the log holds a cell's first record */
	int64_t opened_ms;
	bool cell_id_proposed; /* the form record is proposed */
	bool failed; /* storage failed: leads and acknowledges nothing */
	GHashTable
	    *absent_since; /* member id to when it was seen last, in ms */
};

/* replica.c */
/* Asks for a round of storing and sending. */
void replica_schedule_output(struct replica *r);
/* Says who this replica is; formed as soon as its log tells of a cell. */
void replica_report_identity(struct replica *r);
/* From the file thread: a batch is synced or has failed. */
void replica_wal_done(void *arg, uint64_t ticket, const GError *err);

/* founding.c */
#define INITIAL_MEMBER_NONCE 1 /* the lower half of a founder's id */

/*
 * A replica id carries its name's hash in the upper half, so that a disk
 * that comes back empty is known to replace the old one of that name.
 */
uint64_t replica_make_id(const char *name, uint32_t nonce);
bool replica_id_has_name(uint64_t id, const char *name);
/* Starts the consensus core from what the disk holds. */
void replica_start_raft(struct replica *r);
/*
 * An empty replica joins the cell that it hears of under a new identity. It
 * founds one when no replica has heard of a cell and a majority is there.
 */
void replica_bootstrap_or_join(struct replica *r);

/* members.c */
/* Replaces members that lost their disk, one change at a time. */
void replica_update_members(struct replica *r);
/* The name of a connected replica, or NULL. */
const char *replica_peer_name(const struct replica *r, uint64_t node);

#endif
