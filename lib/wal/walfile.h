/*
 * The folder's files: names, whole-file replacement and the table of file
 * functions, which tests replace to make writes and syncs fail.
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
	uint64_t segment_bytes; /* a new segment begins past this size */
};

/* A segment that is on disk, oldest first in struct wal's list. */
struct segment {
	uint64_t seq;
	uint64_t max_index; /* highest entry in it; 0: none */
};

struct wal {
	struct wal_conf conf;
	char *dir;
	int dir_fd;
	int lock_fd;
	int marker_fd;
	int fd; /* the newest segment; -1: none yet */
	uint64_t offset; /* its length */
	GArray *segments; /* struct segment */
	GArray *runs; /* struct run: terms of the entries in the log */
	struct raft_hard_state hard;
	uint64_t snap_index;
	uint64_t snap_term;
	uint64_t last; /* index of the last entry or of the snapshot */
	bool dir_dirty; /* a new segment's name is not synced */
	GError *failed; /* the first failure; nothing is written after it */
	GThread *thread;
	GAsyncQueue *queue; /* struct job */
	wal_done_fn *done;
	void *done_arg;
	GMutex stats_lock;
	struct wal_stats stats;
};

/* As wal_open(), with other file functions or segment size. */
struct wal *wal_open_conf(const char *dir, const struct wal_conf *conf,
    struct wal_image *image, GError **err);

/* The system's own functions. */
extern const struct file_ops file_ops_system;

char *segment_path(const struct wal *w, uint64_t seq);

/* Sets err from errno: WHAT PATH: reason. */
void file_error(GError **err, const char *what, const char *path);

/* Reads a file whole. Returns NULL without err if there is none. */
GBytes *file_read(const char *path, GError **err);

/* Writes all bytes at the offset. */
bool file_write(struct wal *w, int fd, const char *path, const uint8_t *data,
    size_t len, uint64_t offset, GError **err);

/* Replaces a file of the folder: temporary, fsync, rename, fsync folder. */
bool file_replace(
    struct wal *w, const char *name, const GByteArray *content, GError **err);

bool dir_sync(struct wal *w, GError **err);

/* Begins the next segment with the present state in its header. */
bool segment_begin(struct wal *w, bool clear, GError **err);

/* Syncs the newest segment and its name, then moves the marker. */
bool segment_sync(struct wal *w, GError **err);

/* Removes the oldest segments that hold nothing after the snapshot. */
bool segment_prune(struct wal *w, GError **err);

/* Notes a run of entries: it replaces those from its first index on. */
void runs_add(struct wal *w, const struct run *run);

/* Says whether the log has an entry at the index with that term. */
bool runs_match(const struct wal *w, uint64_t index, uint64_t term);

/* Reads the folder's state into image and w, repairing a torn tail. */
bool wal_recover(struct wal *w, struct wal_image *image, GError **err);

#endif
