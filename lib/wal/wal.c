#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "walfile.h"

#define GROUP_BYTES (1 << 20) /* merging stops past this many bytes */
#define DIR_MODE 0700

/*
 * A batch on its way to the file thread. Records are encoded by the sender,
 * so that the two threads share no entries.
 */
struct job {
	bool quit;
	uint64_t ticket;
	GByteArray *records;
	GArray *runs; /* struct run */
	bool has_hard;
	struct raft_hard_state hard;
	struct raft_snapshot *snapshot;
};

static struct job *
job_new(const struct wal_batch *batch)
{
	struct job *job = g_new0(struct job, 1);
	const struct raft_entry *prev = NULL;

	job->records = g_byte_array_new();
	job->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	if (batch == NULL)
		return job;
	job->ticket = batch->ticket;
	if (batch->hard != NULL) {
		job->has_hard = true;
		job->hard = *batch->hard;
		put_hard(job->records, batch->hard);
	}
	for (guint i = 0; batch->entries != NULL && i < batch->entries->len;
	     i++) {
		const struct raft_entry *e = batch->entries->pdata[i];
		struct run run = { e->index, e->index, e->term };

		put_entry(job->records, e, prev);
		g_array_append_val(job->runs, run);
		prev = e;
	}
	if (batch->snapshot != NULL) {
		job->snapshot = g_new(struct raft_snapshot, 1);
		*job->snapshot = *batch->snapshot;
		g_bytes_ref(job->snapshot->data);
	}
	return job;
}

static void
job_free(struct job *job)
{
	g_byte_array_unref(job->records);
	g_array_unref(job->runs);
	if (job->snapshot != NULL) {
		g_bytes_unref(job->snapshot->data);
		g_free(job->snapshot);
	}
	g_free(job);
}

/* Opens the folder and takes its lock. */
static bool
open_folder(struct wal *w, GError **err)
{
	char *lock;

	if (g_mkdir_with_parents(w->dir, DIR_MODE) != 0) {
		file_error(err, "create", w->dir);
		return false;
	}
	w->dir_fd = open(w->dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (w->dir_fd < 0) {
		file_error(err, "open", w->dir);
		return false;
	}
	lock = g_strdup_printf("%s/lock", w->dir);
	w->lock_fd = open(lock, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (w->lock_fd < 0 || flock(w->lock_fd, LOCK_EX | LOCK_NB) != 0) {
		file_error(err, "lock", lock);
		g_free(lock);
		return false;
	}
	g_free(lock);
	return true;
}

struct wal *
wal_open_conf(const char *dir, const struct wal_conf *conf,
    struct wal_image *image, GError **err)
{
	struct wal *w = g_new0(struct wal, 1);

	memset(image, 0, sizeof(*image));
	w->conf = *conf;
	w->dir = g_strdup(dir);
	w->dir_fd = w->lock_fd = w->marker_fd = w->fd = -1;
	w->segments = g_array_new(FALSE, FALSE, sizeof(struct segment));
	w->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
	w->queue = g_async_queue_new();
	g_mutex_init(&w->stats_lock);
	if (open_folder(w, err) && wal_recover(w, image, err))
		return w;
	wal_image_clear(image);
	wal_close(w);
	return NULL;
}

struct wal *
wal_open(const char *dir, struct wal_image *image, GError **err)
{
	struct wal_conf conf = { &file_ops_system, WAL_SEGMENT_BYTES };

	return wal_open_conf(dir, &conf, image, err);
}

bool
wal_set_identity(
    struct wal *w, const struct wal_identity *identity, GError **err)
{
	GByteArray *b;
	bool ok;

	g_assert(w->thread == NULL);
	b = encode_identity(identity);
	ok = file_replace(w, "identity", b, err);
	g_byte_array_unref(b);
	return ok;
}

/* Stores a snapshot and begins a segment that knows of it. */
static bool
store_snapshot(struct wal *w, const struct raft_snapshot *s, GError **err)
{
	GByteArray *b;
	bool ok;

	if (s->index <= w->snap_index)
		return true;
	b = encode_snapshot(s);
	ok = file_replace(w, "snapshot", b, err);
	g_byte_array_unref(b);
	if (!ok)
		return false;
	w->snap_index = s->index;
	w->snap_term = s->term;
	return segment_begin(w, !runs_match(w, s->index, s->term), err) &&
	    segment_sync(w, err) && segment_prune(w, err);
}

/* Writes one frame with the records of the whole group. */
static bool
write_frame(struct wal *w, const GByteArray *records, GError **err)
{
	GByteArray *b;
	uint64_t seq;
	char *path;
	bool ok;

	if (w->fd < 0 || w->offset >= w->conf.segment_bytes) {
		if (!segment_begin(w, false, err))
			return false;
	}
	b = g_byte_array_sized_new(records->len + FRAME_HEADER_BYTES);
	seq = g_array_index(w->segments, struct segment, w->segments->len - 1)
		  .seq;
	put_frame_header(b, seq, w->offset, records->data, records->len);
	g_byte_array_append(b, records->data, records->len);
	path = segment_path(w, seq);
	ok = file_write(w, w->fd, path, b->data, b->len, w->offset, err);
	w->offset += b->len;
	g_mutex_lock(&w->stats_lock);
	w->stats.bytes += b->len;
	g_mutex_unlock(&w->stats_lock);
	g_free(path);
	g_byte_array_unref(b);
	return ok;
}

/* Takes the jobs' term, vote and entries into the state in memory. */
static void
note_group(struct wal *w, const GPtrArray *jobs)
{
	struct segment *s =
	    &g_array_index(w->segments, struct segment, w->segments->len - 1);

	for (guint i = 0; i < jobs->len; i++) {
		const struct job *job = jobs->pdata[i];

		if (job->has_hard)
			w->hard = job->hard;
		for (guint k = 0; k < job->runs->len; k++) {
			const struct run *run =
			    &g_array_index(job->runs, struct run, k);

			runs_add(w, run);
			s->max_index = MAX(s->max_index, run->last);
		}
	}
}

/* Stores what a group of jobs brings with one sync of the segment. */
static bool
store_group(struct wal *w, const GPtrArray *jobs, GError **err)
{
	const struct job *first = jobs->pdata[0];
	GByteArray *records = g_byte_array_new();
	bool ok = true;

	if (first->snapshot != NULL)
		ok = store_snapshot(w, first->snapshot, err);
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *job = jobs->pdata[i];

		g_byte_array_append(
		    records, job->records->data, job->records->len);
	}
	if (ok && records->len > 0) {
		ok = write_frame(w, records, err);
		if (ok)
			note_group(w, jobs);
		ok = ok && segment_sync(w, err);
	}
	g_byte_array_unref(records);
	return ok;
}

/*
 * Takes the next job and those that can share its sync. A snapshot begins a
 * group of its own; the job that could not be taken is left in *next.
 */
static void
take_group(struct wal *w, GPtrArray *jobs, struct job **next)
{
	struct job *job = *next != NULL ? *next : g_async_queue_pop(w->queue);
	size_t bytes = 0;

	*next = NULL;
	while (job != NULL) {
		if (jobs->len > 0 && (job->quit || job->snapshot != NULL)) {
			*next = job;
			return;
		}
		g_ptr_array_add(jobs, job);
		bytes += job->records->len;
		if (job->quit || bytes > GROUP_BYTES)
			return;
		job = g_async_queue_try_pop(w->queue);
	}
}

static void
answer_group(struct wal *w, const GPtrArray *jobs)
{
	g_mutex_lock(&w->stats_lock);
	w->stats.batches += jobs->len;
	g_mutex_unlock(&w->stats_lock);
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *job = jobs->pdata[i];

		w->done(w->done_arg, job->ticket, w->failed);
	}
}

/* The file thread. After the first failure every job gets its error. */
static void *
file_thread(void *arg)
{
	struct wal *w = arg;
	struct job *next = NULL;
	GPtrArray *jobs =
	    g_ptr_array_new_with_free_func((GDestroyNotify)job_free);

	for (;;) {
		take_group(w, jobs, &next);
		if (((struct job *)jobs->pdata[0])->quit)
			break;
		if (w->failed == NULL)
			(void)store_group(w, jobs, &w->failed);
		answer_group(w, jobs);
		g_ptr_array_set_size(jobs, 0);
	}
	g_ptr_array_unref(jobs);
	return NULL;
}

void
wal_start(struct wal *w, wal_done_fn *done, void *arg)
{
	g_assert(w->thread == NULL);
	w->done = done;
	w->done_arg = arg;
	w->thread = g_thread_new("wal", file_thread, w);
}

void
wal_write(struct wal *w, const struct wal_batch *batch)
{
	g_assert(w->thread != NULL);
	g_async_queue_push(w->queue, job_new(batch));
}

struct wal_stats
wal_stats(struct wal *w)
{
	struct wal_stats stats;

	g_mutex_lock(&w->stats_lock);
	stats = w->stats;
	g_mutex_unlock(&w->stats_lock);
	return stats;
}

static void
close_fd(int fd)
{
	if (fd >= 0)
		close(fd);
}

void
wal_close(struct wal *w)
{
	if (w->thread != NULL) {
		struct job *quit = job_new(NULL);

		quit->quit = true;
		g_async_queue_push(w->queue, quit);
		g_thread_join(w->thread);
		if (w->failed == NULL)
			(void)w->conf.ops->fdatasync(w->marker_fd);
	}
	close_fd(w->fd);
	close_fd(w->marker_fd);
	close_fd(w->dir_fd);
	close_fd(w->lock_fd);
	g_array_unref(w->segments);
	g_array_unref(w->runs);
	g_async_queue_unref(w->queue);
	g_mutex_clear(&w->stats_lock);
	g_clear_error(&w->failed);
	g_free(w->dir);
	g_free(w);
}

void
wal_image_clear(struct wal_image *image)
{
	if (image->snapshot != NULL)
		raft_snapshot_free(image->snapshot);
	if (image->entries != NULL)
		g_ptr_array_unref(image->entries);
	memset(image, 0, sizeof(*image));
}
