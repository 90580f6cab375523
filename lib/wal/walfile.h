/*
 * Internal state of the wal and operations on its files. Tests replace the
 * table of system calls to make writes and syncs fail.
 */
#ifndef WALFILE_H
#define WALFILE_H

#include <sys/types.h>

#include "walformat.h"

#define WAL_SEGMENT_BYTES (4 << 20)

/* The system calls that change files. */
struct file_ops {
	ssize_t (*pwrite)(int fd, const void *buf, size_t len, off_t offset);
	int (*fdatasync)(int fd);
	int (*fsync)(int fd);
	int (*rename)(const char *from, const char *to);
};

struct wal_conf {
	const struct file_ops *ops;
	uint64_t segment_bytes; /* size at which a new segment is started */
};

/* A segment file on disk. */
struct segment {
	uint64_t seq;
	uint64_t max_index; /* highest entry index in it; 0: none */
};

struct wal {
	struct wal_conf conf;
	char *dir;
	int dir_fd;
	int lock_fd;
	int marker_fd; /* file "synced", holds a struct synced_marker */
	int fd; /* newest segment; -1: none yet */
	uint64_t offset; /* length of the newest segment */
	GArray *segments; /* struct segment, oldest first */
	GArray *term_ranges; /* struct term_range of the entries in the log */
	struct raft_hard_state hard_state;
	uint64_t snap_index;
	uint64_t snap_term;
	uint64_t last_index; /* of the last entry, or of the snapshot */
	bool dir_dirty; /* name of a new segment is not synced */
	GError *error; /* first failure; nothing is written after it */
	GThread *thread;
	GAsyncQueue *queue; /* struct write_job */
	wal_done_fn *done;
	void *done_arg;
	GMutex stats_lock;
	struct wal_stats stats;
};

/* wal_open() with other system calls or another segment size. */
struct wal *wal_open_conf(const char *dir, const struct wal_conf *conf,
    struct wal_image *image, GError **err);

/* The functions of the C library. */
extern const struct file_ops file_ops_system;

char *segment_path(const struct wal *w, uint64_t seq);

/* Sets err to ERR_IO with "wal: WHAT PATH: " and the text of errno. */
void file_error(GError **err, const char *what, const char *path);

/* Reads a whole file. Returns NULL without err if it does not exist. */
GBytes *file_read(const char *path, GError **err);

/* Writes all bytes at the offset; path is for the error message. */
bool file_write(struct wal *w, int fd, const char *path, const uint8_t *data,
    size_t len, uint64_t offset, GError **err);

/*
 * Atomically replaces a file in the directory: writes and syncs a temporary
 * file, renames it and syncs the directory.
 */
bool file_replace(
    struct wal *w, const char *name, const GByteArray *content, GError **err);

bool dir_sync(struct wal *w, GError **err);

/*
 * Creates the next segment, with the current state in its header.
 * discard_earlier drops all entries in the log up to here.
 */
bool segment_create(struct wal *w, bool discard_earlier, GError **err);

/* Syncs the newest segment and its name, then writes the marker. */
bool segment_sync(struct wal *w, GError **err);

/* Removes the oldest segments that have no entries after the snapshot. */
bool segment_prune(struct wal *w, GError **err);

/* Adds entries to the log's term ranges, replacing all from range->first on. */
void term_ranges_add(struct wal *w, const struct term_range *range);

/* Reports whether the log has an entry with this index and term. */
bool term_ranges_match(const struct wal *w, uint64_t index, uint64_t term);

/* Reads the directory into image and w, and truncates a torn tail. */
bool wal_recover(struct wal *w, struct wal_image *image, GError **err);

#endif
