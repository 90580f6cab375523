/*
 * Write-ahead log of a replica: stores identity, Raft hard state, log entries
 * and snapshot in one directory. wal_open() reads them back; after
 * wal_start() one thread writes the files and syncs many batches with a
 * single fdatasync.
 */
#ifndef WAL_H
#define WAL_H

#include "raft.h"

struct wal;

/* The replica that the directory belongs to. Synced before the replica uses
 * the ids. */
struct wal_identity {
	uint64_t replica_id; /* 0: not assigned yet */
	uint64_t cell_id; /* cell that the replica joined; 0: none, or the
			     replica bootstrapped the cell */
	char name[64]; /* configured name of the replica */
};

/* State read by wal_open(). Free with wal_image_clear(). */
struct wal_image {
	struct wal_identity identity;
	struct raft_hard_state hard_state;
	struct raft_snapshot *snapshot; /* NULL: none */
	GPtrArray *entries; /* struct raft_entry after the snapshot */
	uint64_t truncated_bytes; /* torn tail removed; never acknowledged */
};

/* Data to store together; every member but seq is optional. */
struct wal_batch {
	const struct raft_hard_state *hard_state;
	GPtrArray *entries; /* struct raft_entry */
	/* Replaces the log up to the index of the snapshot. */
	const struct raft_snapshot *snapshot;
	uint64_t seq; /* passed to wal_done_fn */
};

struct wal_stats {
	uint64_t batches;
	uint64_t fsyncs;
	uint64_t bytes;
};

/*
 * Called on the file thread when the batch is synced or has failed. After a
 * failure (err is set) the wal rejects all further batches. Must not block
 * or call the wal; it should only post a message to another thread.
 */
typedef void wal_done_fn(void *arg, uint64_t seq, const GError *err);

/*
 * Opens the directory, creating it if missing, and locks it against other
 * processes. Fails with ERR_CORRUPT, naming file and offset, if an
 * acknowledged record is damaged or missing, and with ERR_IO otherwise.
 */
struct wal *wal_open(const char *dir, struct wal_image *image, GError **err);

/* Stores and syncs the identity; only before wal_start(). */
bool wal_set_identity(
    struct wal *w, const struct wal_identity *identity, GError **err);

/* Starts the file thread. */
void wal_start(struct wal *w, wal_done_fn *done, void *arg);

/* Queues a batch for the file thread. The batch is copied or referenced. */
void wal_write(struct wal *w, const struct wal_batch *batch);

struct wal_stats wal_stats(struct wal *w);

/* Waits until all queued batches are written, then closes the files. */
void wal_close(struct wal *w);

void wal_image_clear(struct wal_image *image);

#endif
