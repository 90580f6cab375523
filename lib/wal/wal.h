/*
 * A replica's files: identity, vote, log segments and snapshot under one data
 * folder. wal_open() reads them back; afterwards one thread owns the files
 * and takes batches by message, many appends to one fsync.
 */
#ifndef WAL_H
#define WAL_H

#include "raft.h"

struct wal;

/* What a folder says of its owner, synced before it is acted on. */
struct wal_identity {
	uint64_t node; /* this disk's replica id; 0: not yet decided */
	uint64_t cell; /* the cell it belongs to; 0: none yet */
	char name[64]; /* the replica's name in the settings */
};

/* What wal_open() found. Owned by the caller; free with wal_image_clear(). */
struct wal_image {
	struct wal_identity identity;
	struct raft_hard_state hard;
	struct raft_snapshot *snapshot; /* NULL: none */
	GPtrArray *entries; /* struct raft_entry after the snapshot */
	uint64_t
	    truncated; /* bytes of a torn, never acknowledged tail cut off */
};

/* One unit of work for the file thread; all parts are optional. */
struct wal_batch {
	const struct raft_hard_state *hard;
	GPtrArray *entries; /* struct raft_entry */
	const struct raft_snapshot *snapshot; /* replaces the log up to it */
	uint64_t ticket; /* comes back in done() */
};

struct wal_stats {
	uint64_t batches;
	uint64_t fsyncs;
	uint64_t bytes;
};

/*
 * Called on the file thread when a batch is synced, or failed (err set; the
 * wal then refuses all further batches). Must only pass a message on.
 */
typedef void wal_done_fn(void *arg, uint64_t ticket, const GError *err);

/*
 * Opens or makes the folder. ERR_CORRUPT if an acknowledged record does not
 * pass its check, naming file and offset; ERR_IO otherwise. The folder is
 * locked against a second process.
 */
struct wal *wal_open(const char *dir, struct wal_image *image, GError **err);

/* Stores and syncs the identity; before wal_start() only. */
bool wal_set_identity(
    struct wal *w, const struct wal_identity *identity, GError **err);

/* Starts the file thread. */
void wal_start(struct wal *w, wal_done_fn *done, void *arg);

/* Hands a batch to the file thread; it takes its own references. */
void wal_write(struct wal *w, const struct wal_batch *batch);

struct wal_stats wal_stats(struct wal *w);

/* Waits for what was handed over, then closes. */
void wal_close(struct wal *w);

void wal_image_clear(struct wal_image *image);

#endif
