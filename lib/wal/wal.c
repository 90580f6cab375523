#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "walfile.h"

#define GROUP_BYTES (1 << 20) /* a larger group takes no more jobs */
#define DIR_MODE 0700

/*
 * A batch queued for the file thread. The sender encodes the records, so that
 * the two threads share no entries.
 */
struct write_job {
	bool quit;
	uint64_t seq; /* of the batch */
	GByteArray *records;
	GArray *ranges; /* struct term_range */
	bool has_hard_state;
	struct raft_hard_state hard_state;
	struct raft_snapshot *snapshot;
};

static struct write_job *
job_new(const struct wal_batch *batch)
{
	struct write_job *job = g_new0(struct write_job, 1);
	const struct raft_entry *prev = NULL;

	job->records = g_byte_array_new();
	job->ranges = g_array_new(FALSE, FALSE, sizeof(struct term_range));
	if (batch == NULL)
		return job;
	job->seq = batch->seq;
	if (batch->hard_state != NULL) {
		job->has_hard_state = true;
		job->hard_state = *batch->hard_state;
		put_hard_state(job->records, batch->hard_state);
	}
	for (guint i = 0; batch->entries != NULL && i < batch->entries->len;
	     i++) {
		const struct raft_entry *e = batch->entries->pdata[i];
		struct term_range range = { e->index, e->index, e->term };

		put_entry(job->records, e, prev);
		g_array_append_val(job->ranges, range);
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
job_free(struct write_job *job)
{
	g_byte_array_unref(job->records);
	g_array_unref(job->ranges);
	if (job->snapshot != NULL) {
		g_bytes_unref(job->snapshot->data);
		g_free(job->snapshot);
	}
	g_free(job);
}

/* Opens the directory and locks it. */
static bool
open_dir(struct wal *w, GError **err)
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
	w->term_ranges = g_array_new(FALSE, FALSE, sizeof(struct term_range));
	w->queue = g_async_queue_new();
	g_mutex_init(&w->stats_lock);
	if (open_dir(w, err) && wal_recover(w, image, err))
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

/* Stores a snapshot and starts a segment whose header refers to it. */
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
	return segment_create(
		   w, !term_ranges_match(w, s->index, s->term), err) &&
	    segment_sync(w, err) && segment_prune(w, err);
}

/* Writes the records of a group of jobs as one frame. */
static bool
write_frame(struct wal *w, const GByteArray *records, GError **err)
{
	GByteArray *b;
	uint64_t seq;
	char *path;
	bool ok;

	if (w->fd < 0 || w->offset >= w->conf.segment_bytes) {
		if (!segment_create(w, false, err))
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

/* Updates hard state and term ranges in memory with the written jobs. */
static void
update_state(struct wal *w, const GPtrArray *jobs)
{
	struct segment *s =
	    &g_array_index(w->segments, struct segment, w->segments->len - 1);

	for (guint i = 0; i < jobs->len; i++) {
		const struct write_job *job = jobs->pdata[i];

		if (job->has_hard_state)
			w->hard_state = job->hard_state;
		for (guint k = 0; k < job->ranges->len; k++) {
			const struct term_range *range =
			    &g_array_index(job->ranges, struct term_range, k);

			term_ranges_add(w, range);
			s->max_index = MAX(s->max_index, range->last);
		}
	}
}

/* Stores a group of jobs with one sync of the segment for their records. */
static bool
store_group(struct wal *w, const GPtrArray *jobs, GError **err)
{
	const struct write_job *first = jobs->pdata[0];
	GByteArray *records = g_byte_array_new();
	bool ok = true;

	if (first->snapshot != NULL)
		ok = store_snapshot(w, first->snapshot, err);
	for (guint i = 0; i < jobs->len; i++) {
		const struct write_job *job = jobs->pdata[i];

		g_byte_array_append(
		    records, job->records->data, job->records->len);
	}
	if (ok && records->len > 0) {
		ok = write_frame(w, records, err);
		if (ok)
			update_state(w, jobs);
		ok = ok && segment_sync(w, err);
	}
	g_byte_array_unref(records);
	return ok;
}

/*
 * Moves the next job and those that can share its sync from the queue to
 * jobs. A job with a snapshot can only be the first of a group. A job that
 * was popped but has to wait for the next group is returned in *next.
 */
static void
dequeue_group(struct wal *w, GPtrArray *jobs, struct write_job **next)
{
	struct write_job *job =
	    *next != NULL ? *next : g_async_queue_pop(w->queue);
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
complete_group(struct wal *w, const GPtrArray *jobs)
{
	g_mutex_lock(&w->stats_lock);
	w->stats.batches += jobs->len;
	g_mutex_unlock(&w->stats_lock);
	for (guint i = 0; i < jobs->len; i++) {
		const struct write_job *job = jobs->pdata[i];

		w->done(w->done_arg, job->seq, w->error);
	}
}

/* The file thread. After the first failure all jobs fail with its error. */
static void *
file_thread(void *arg)
{
	struct wal *w = arg;
	struct write_job *next = NULL;
	GPtrArray *jobs =
	    g_ptr_array_new_with_free_func((GDestroyNotify)job_free);

	for (;;) {
		dequeue_group(w, jobs, &next);
		if (((struct write_job *)jobs->pdata[0])->quit)
			break;
		if (w->error == NULL)
			(void)store_group(w, jobs, &w->error);
		complete_group(w, jobs);
		g_ptr_array_set_size(jobs, 0);
	}
	g_ptr_array_unref(jobs);
	return NULL;
}

void
wal_start(struct wal *w, wal_done_fn *done, void *arg)
{
	sigset_t before;

	g_assert(w->thread == NULL);
	w->done = done;
	w->done_arg = arg;
	/* Signals are left to the thread that waits for this one at the end. */
	hold_signals(&before);
	w->thread = g_thread_new("wal", file_thread, w);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
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
		struct write_job *quit = job_new(NULL);

		quit->quit = true;
		g_async_queue_push(w->queue, quit);
		g_thread_join(w->thread);
		if (w->error == NULL)
			(void)w->conf.ops->fdatasync(w->marker_fd);
	}
	close_fd(w->fd);
	close_fd(w->marker_fd);
	close_fd(w->dir_fd);
	close_fd(w->lock_fd);
	g_array_unref(w->segments);
	g_array_unref(w->term_ranges);
	g_async_queue_unref(w->queue);
	g_mutex_clear(&w->stats_lock);
	g_clear_error(&w->error);
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
