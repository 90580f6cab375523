#include <errno.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "walfile.h"

#define RECORD_BYTES 20
#define SMALL_SEGMENT 256

/* A temporary directory with an open wal, and the results of its batches. */
struct fixture {
	char *dir;
	struct wal *w;
	struct wal_image image;
	GAsyncQueue *results; /* struct batch_result */
};

struct batch_result {
	uint64_t seq;
	bool failed;
};

/* The expected log state after a sequence of batches. */
struct model {
	struct raft_hard_state hard_state;
	uint64_t snap_index;
	uint64_t last;
	uint64_t term[64]; /* of entry i; 0: none */
};

/* One batch of the scripted workload. */
struct step {
	uint64_t first; /* entries first to last, of this term; 0: none */
	uint64_t last;
	uint64_t term;
	uint64_t snap; /* snapshot up to this index; 0: none */
	uint64_t snap_term;
};

/* Operations and syncs that still succeed, see fail_after(); -1: all. */
static int ops_left;
static int ops_called;
static int fsyncs_left;

static bool
op_succeeds(void)
{
	ops_called++;
	if (ops_left == 0) {
		errno = ENOSPC;
		return false;
	}
	ops_left--;
	return true;
}

static ssize_t
fake_pwrite(int fd, const void *buf, size_t len, off_t offset)
{
	if (op_succeeds())
		return pwrite(fd, buf, len, offset);
	(void)!pwrite(fd, buf, len / 2, offset);
	errno = ENOSPC;
	return -1;
}

static int
fake_fsync(int fd)
{
	if (fsyncs_left == 0 || !op_succeeds()) {
		errno = EIO;
		return -1;
	}
	fsyncs_left--;
	return 0;
}

static int
fake_rename(const char *from, const char *to)
{
	if (!op_succeeds())
		return -1;
	return rename(from, to);
}

static const struct file_ops fake_ops = {
	.pwrite = fake_pwrite,
	.fdatasync = fake_fsync,
	.fsync = fake_fsync,
	.rename = fake_rename,
};

/* Lets that many file operations and syncs succeed, then fails all. */
static void
fail_after(int ops, int fsyncs)
{
	ops_left = ops;
	fsyncs_left = fsyncs;
}

static void
on_done(void *arg, uint64_t seq, const GError *err)
{
	struct batch_result *r = g_new(struct batch_result, 1);

	*r = (struct batch_result){ seq, err != NULL };
	g_async_queue_push(arg, r);
}

static bool
fixture_open(struct fixture *f, uint64_t segment_bytes, GError **err)
{
	struct wal_conf conf = { &fake_ops, segment_bytes };

	f->w = wal_open_conf(f->dir, &conf, &f->image, err);
	if (f->w != NULL)
		wal_start(f->w, on_done, f->results);
	return f->w != NULL;
}

static void
fixture_init(struct fixture *f, uint64_t segment_bytes)
{
	GError *err = NULL;

	memset(f, 0, sizeof(*f));
	fail_after(-1, -1);
	f->dir = g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL);
	f->results = g_async_queue_new_full(g_free);
	fixture_open(f, segment_bytes, &err);
	g_assert_no_error(err);
}

static void
fixture_close(struct fixture *f)
{
	if (f->w != NULL)
		wal_close(f->w);
	f->w = NULL;
	wal_image_clear(&f->image);
}

static void
fixture_reopen(struct fixture *f, uint64_t segment_bytes)
{
	GError *err = NULL;

	fixture_close(f);
	fail_after(-1, -1);
	fixture_open(f, segment_bytes, &err);
	g_assert_no_error(err);
}

static void
remove_tree(const char *dir)
{
	GDir *d = g_dir_open(dir, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		char *path = g_build_filename(dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_clear_pointer(&d, g_dir_close);
	g_rmdir(dir);
}

static void
fixture_free(struct fixture *f)
{
	fixture_close(f);
	remove_tree(f->dir);
	g_async_queue_unref(f->results);
	g_free(f->dir);
}

static GPtrArray *
make_entries(uint64_t first, uint64_t last, uint64_t term)
{
	GPtrArray *list =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);

	for (uint64_t i = first; i <= last; i++) {
		uint64_t words[3] = { i, term, i ^ term };
		GBytes *data = g_bytes_new(words, RECORD_BYTES);

		g_ptr_array_add(list, raft_entry_new(i, term, RAFT_DATA, data));
		g_bytes_unref(data);
	}
	return list;
}

/* Writes one batch without waiting for its result. */
static void
submit_step(struct fixture *f, const struct step *s, uint64_t seq)
{
	struct raft_hard_state hard_state = { s->term, seq };
	struct raft_snapshot snap = { s->snap, s->snap_term, { 0 }, NULL };
	struct wal_batch batch = { &hard_state, NULL, NULL, seq };

	snap.members.count = 1;
	snap.members.member[0].id = 7;
	snap.data = g_bytes_new(&seq, sizeof(seq));
	if (s->first != 0)
		batch.entries = make_entries(s->first, s->last, s->term);
	if (s->snap != 0)
		batch.snapshot = &snap;
	wal_write(f->w, &batch);
	if (batch.entries != NULL)
		g_ptr_array_unref(batch.entries);
	g_bytes_unref(snap.data);
}

/* Waits for the next result, which must be of this batch; true: synced. */
static bool
wait_result(struct fixture *f, uint64_t seq)
{
	struct batch_result *r = g_async_queue_pop(f->results);
	bool ok = !r->failed;

	g_assert_cmpuint(r->seq, ==, seq);
	g_free(r);
	return ok;
}

static bool
run_step(struct fixture *f, const struct step *s, uint64_t seq)
{
	submit_step(f, s, seq);
	return wait_result(f, seq);
}

static bool
write_entries(struct fixture *f, uint64_t first, uint64_t last, uint64_t term)
{
	struct step s = { first, last, term, 0, 0 };

	return run_step(f, &s, first);
}

static void
model_step(struct model *m, const struct step *s, uint64_t seq)
{
	m->hard_state = (struct raft_hard_state){ s->term, seq };
	if (s->snap > m->snap_index) {
		if (s->snap > m->last || m->term[s->snap] != s->snap_term)
			m->last = s->snap;
		m->snap_index = s->snap;
	}
	for (uint64_t i = s->first; i != 0 && i <= s->last; i++) {
		m->term[i] = s->term;
		m->last = i;
	}
}

static bool
model_matches(const struct model *m, const struct wal_image *image)
{
	uint64_t snap = image->snapshot != NULL ? image->snapshot->index : 0;

	if (snap != m->snap_index ||
	    image->hard_state.term != m->hard_state.term ||
	    image->hard_state.vote != m->hard_state.vote ||
	    image->entries->len != m->last - snap)
		return false;
	for (guint i = 0; i < image->entries->len; i++) {
		const struct raft_entry *e = image->entries->pdata[i];
		uint64_t words[3] = { e->index, e->term, e->index ^ e->term };

		if (e->index != snap + 1 + i || e->term != m->term[e->index] ||
		    memcmp(g_bytes_get_data(e->data, NULL), words,
			RECORD_BYTES) != 0)
			return false;
	}
	return true;
}

static void
assert_log(
    const struct fixture *f, uint64_t first, uint64_t last, uint64_t term)
{
	const GPtrArray *list = f->image.entries;

	g_assert_cmpuint(list->len, ==, last + 1 - first);
	for (guint i = 0; i < list->len; i++) {
		const struct raft_entry *e = list->pdata[i];

		g_assert_cmpuint(e->index, ==, first + i);
		g_assert_cmpuint(e->term, ==, term);
	}
}

static char *
file_path(const struct fixture *f, const char *name)
{
	return g_build_filename(f->dir, name, NULL);
}

static GBytes *
read_file(const struct fixture *f, const char *name)
{
	GError *err = NULL;
	char *path = file_path(f, name);
	GBytes *bytes = file_read(path, &err);

	g_assert_no_error(err);
	g_free(path);
	return bytes;
}

static void
write_file(
    const struct fixture *f, const char *name, const void *data, size_t len)
{
	char *path = file_path(f, name);
	FILE *file = fopen(path, "w");

	g_assert_nonnull(file);
	g_assert_cmpuint(fwrite(data, 1, len, file), ==, len);
	fclose(file);
	g_free(path);
}

static void
remove_file(const struct fixture *f, const char *name)
{
	char *path = file_path(f, name);

	g_assert_cmpint(g_unlink(path), ==, 0);
	g_free(path);
}

/* Opening must fail with this code and a message that contains the word. */
static void
assert_refused(struct fixture *f, int code, const char *word)
{
	GError *err = NULL;

	g_assert_false(fixture_open(f, WAL_SEGMENT_BYTES, &err));
	g_assert_error(err, BT_ERROR, code);
	g_assert_nonnull(strstr(err->message, word));
	g_error_free(err);
}

static const char segment1[] = "log-0000000000000001";
static const char segment2[] = "log-0000000000000002";

static void
test_reopen(void)
{
	struct fixture f;
	struct wal_identity id = { 11, 12, "r1" };
	GError *err = NULL;

	fixture_init(&f, SMALL_SEGMENT);
	fixture_close(&f);
	f.w = wal_open(f.dir, &f.image, &err);
	g_assert_no_error(err);
	g_assert_cmpuint(f.image.identity.replica_id, ==, 0);
	g_assert_true(wal_set_identity(f.w, &id, &err));
	wal_start(f.w, on_done, f.results);
	for (uint64_t i = 1; i <= 40; i += 4)
		g_assert_true(write_entries(&f, i, i + 3, 5));
	fixture_reopen(&f, SMALL_SEGMENT);
	g_assert_cmpuint(f.image.identity.replica_id, ==, 11);
	g_assert_cmpuint(f.image.identity.cell_id, ==, 12);
	g_assert_cmpstr(f.image.identity.name, ==, "r1");
	g_assert_cmpuint(f.image.hard_state.term, ==, 5);
	g_assert_cmpuint(f.image.hard_state.vote, ==, 37);
	assert_log(&f, 1, 40, 5);
	for (uint64_t i = 41; i <= 60; i += 2)
		g_assert_true(write_entries(&f, i, i + 1, 5));
	fixture_reopen(&f, SMALL_SEGMENT);
	assert_log(&f, 1, 60, 5);
	g_assert_cmpuint(f.image.truncated_bytes, ==, 0);
	fixture_free(&f);
}

static void
test_replace_suffix(void)
{
	struct fixture f;

	fixture_init(&f, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 30; i += 3)
		g_assert_true(write_entries(&f, i, i + 2, 1));
	g_assert_true(write_entries(&f, 5, 6, 2));
	fixture_reopen(&f, SMALL_SEGMENT);
	g_assert_cmpuint(f.image.entries->len, ==, 6);
	g_assert_true(write_entries(&f, 1, 3, 3));
	fixture_reopen(&f, SMALL_SEGMENT);
	assert_log(&f, 1, 3, 3);
	fixture_free(&f);
}

/*
 * Writes entries 1 to 2, 3 to 4 and 5 to 6 in three frames. Returns the whole
 * segment, and marker and segment size as they were before the last frame.
 */
static void
three_frames(struct fixture *f, GBytes **whole, GBytes **marker, size_t *before)
{
	GBytes *two;

	fixture_init(f, WAL_SEGMENT_BYTES);
	g_assert_true(write_entries(f, 1, 2, 1));
	g_assert_true(write_entries(f, 3, 4, 1));
	two = read_file(f, segment1);
	*marker = read_file(f, "synced");
	*before = g_bytes_get_size(two);
	g_bytes_unref(two);
	g_assert_true(write_entries(f, 5, 6, 1));
	fixture_close(f);
	*whole = read_file(f, segment1);
}

static void
test_torn_tail(void)
{
	struct fixture f;
	GBytes *whole;
	GBytes *marker;
	size_t before;
	size_t len;

	three_frames(&f, &whole, &marker, &before);
	const uint8_t *data = g_bytes_get_data(whole, &len);

	for (size_t cut = before; cut < 2 * len - before; cut++) {
		uint8_t *torn = g_memdup2(data, len);
		size_t size = MIN(cut, len);

		/* Each length of the last frame first, then the whole frame
		 * with one byte changed. */
		if (cut >= len) {
			torn[before + cut - len] ^= 0x40;
			size = len;
		}
		write_file(&f, segment1, torn, size);
		write_file(&f, "synced", g_bytes_get_data(marker, NULL),
		    g_bytes_get_size(marker));
		fixture_reopen(&f, WAL_SEGMENT_BYTES);
		assert_log(&f, 1, 4, 1);
		g_assert_cmpuint(f.image.truncated_bytes, ==, size - before);
		g_assert_true(write_entries(&f, 5, 9, 2));
		fixture_reopen(&f, WAL_SEGMENT_BYTES);
		g_assert_cmpuint(f.image.entries->len, ==, 9);
		fixture_close(&f);
		g_free(torn);
	}
	g_bytes_unref(whole);
	g_bytes_unref(marker);
	fixture_free(&f);
}

static void
test_bit_flips(void)
{
	struct fixture f;
	GBytes *whole;
	GBytes *marker;
	GBytes *full_marker;
	size_t before;
	size_t len;

	three_frames(&f, &whole, &marker, &before);
	full_marker = read_file(&f, "synced");
	const uint8_t *data = g_bytes_get_data(whole, &len);

	for (size_t at = 0; at < len; at++) {
		uint8_t *bad = g_memdup2(data, len);

		bad[at] ^= (uint8_t)(1 << (at % 8));
		write_file(&f, segment1, bad, len);
		write_file(&f, "synced", g_bytes_get_data(full_marker, NULL),
		    g_bytes_get_size(full_marker));
		assert_refused(&f, ERR_CORRUPT, "log-0000000000000001: offset");
		/* Without the marker, later valid frames prove that the
		 * bytes before them were synced. */
		write_file(&f, segment1, bad, len);
		write_file(&f, "synced", "", 0);
		if (at < before)
			assert_refused(&f, ERR_CORRUPT, "offset");
		g_free(bad);
	}
	/* Acknowledged bytes at the end are missing. */
	for (size_t cut = 0; cut < len; cut++) {
		write_file(&f, segment1, data, cut);
		write_file(&f, "synced", g_bytes_get_data(full_marker, NULL),
		    g_bytes_get_size(full_marker));
		assert_refused(&f, ERR_CORRUPT, "log-0000000000000001: offset");
	}
	g_bytes_unref(whole);
	g_bytes_unref(marker);
	g_bytes_unref(full_marker);
	fixture_free(&f);
}

static void
test_missing_files(void)
{
	struct fixture f;
	GBytes *log;
	GBytes *identity;

	fixture_init(&f, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 40; i += 4)
		g_assert_true(write_entries(&f, i, i + 3, 5));
	fixture_close(&f);
	log = read_file(&f, segment2);
	remove_file(&f, segment2);
	assert_refused(&f, ERR_CORRUPT, segment2);
	write_file(
	    &f, segment2, g_bytes_get_data(log, NULL), g_bytes_get_size(log));
	identity = read_file(&f, "identity");
	remove_file(&f, "identity");
	assert_refused(&f, ERR_CORRUPT, "identity");
	write_file(&f, "identity", "junk", 4);
	assert_refused(&f, ERR_CORRUPT, "identity");
	write_file(&f, "identity", g_bytes_get_data(identity, NULL),
	    g_bytes_get_size(identity));
	remove_file(&f, segment1);
	assert_refused(&f, ERR_CORRUPT, segment2);
	g_bytes_unref(log);
	g_bytes_unref(identity);
	fixture_free(&f);
}

static void
test_lock(void)
{
	struct fixture f;
	struct wal_image image;
	int status;
	pid_t pid;

	fixture_init(&f, WAL_SEGMENT_BYTES);
	pid = fork();
	if (pid == 0)
		_exit(wal_open(f.dir, &image, NULL) == NULL ? 9 : 0);
	g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	g_assert_cmpint(WEXITSTATUS(status), ==, 9);
	fixture_reopen(&f, WAL_SEGMENT_BYTES);
	fixture_free(&f);
}

/* After a failure all batches fail and no file is written any more. */
static void
check_failure_is_permanent(int ops, int fsyncs)
{
	struct fixture f;
	int ops_before;

	fixture_init(&f, WAL_SEGMENT_BYTES);
	g_assert_true(write_entries(&f, 1, 2, 1));
	fail_after(ops, fsyncs);
	g_assert_false(write_entries(&f, 3, 4, 1));
	fail_after(-1, -1);
	ops_before = ops_called;
	g_assert_false(write_entries(&f, 5, 6, 1));
	g_assert_cmpint(ops_called, ==, ops_before);
	fixture_reopen(&f, WAL_SEGMENT_BYTES);
	g_assert_cmpuint(f.image.entries->len, >=, 2);
	g_assert_cmpuint(f.image.entries->len, <=, 4);
	fixture_free(&f);
}

static void
test_fsync_failure(void)
{
	check_failure_is_permanent(-1, 0);
}

static void
test_disk_full(void)
{
	check_failure_is_permanent(0, -1);
}

static void
test_snapshot(void)
{
	struct fixture f;
	struct step within = { 0, 0, 1, 20, 1 };
	struct step past_end = { 0, 0, 3, 50, 3 };
	struct step other_term = { 0, 0, 4, 55, 4 };

	fixture_init(&f, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 30; i += 3)
		g_assert_true(write_entries(&f, i, i + 2, 1));
	g_assert_true(run_step(&f, &within, 100));
	fixture_reopen(&f, SMALL_SEGMENT);
	g_assert_cmpuint(f.image.snapshot->index, ==, 20);
	g_assert_cmpuint(f.image.snapshot->members.member[0].id, ==, 7);
	assert_log(&f, 21, 30, 1);
	char *path = file_path(&f, segment1);

	g_assert_false(g_file_test(path, G_FILE_TEST_EXISTS));
	g_free(path);
	/* A snapshot past the end of the log, and one that covers entries of
	 * another term. */
	g_assert_true(run_step(&f, &past_end, 101));
	g_assert_true(write_entries(&f, 51, 60, 3));
	fixture_reopen(&f, SMALL_SEGMENT);
	assert_log(&f, 51, 60, 3);
	g_assert_true(run_step(&f, &other_term, 102));
	fixture_reopen(&f, SMALL_SEGMENT);
	g_assert_cmpuint(f.image.snapshot->index, ==, 55);
	g_assert_cmpuint(f.image.entries->len, ==, 0);
	g_assert_cmpuint(f.image.hard_state.vote, ==, 102);
	g_assert_true(write_entries(&f, 56, 57, 4));
	fixture_close(&f);
	remove_file(&f, "snapshot");
	assert_refused(&f, ERR_CORRUPT, "log-");
	fixture_free(&f);
}

static void
test_identity_interrupted(void)
{
	struct wal_identity one = { 1, 2, "one" };
	struct wal_identity two = { 3, 4, "two" };
	struct fixture f = { .dir =
				 g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL),
		.results = g_async_queue_new_full(g_free) };
	struct wal_conf conf = { &fake_ops, WAL_SEGMENT_BYTES };

	/* The replacement takes effect with the third operation, the rename,
	 * after write and sync. */
	for (int ops = 0; ops < 3; ops++) {
		fail_after(-1, -1);
		f.w = wal_open_conf(f.dir, &conf, &f.image, NULL);
		g_assert_true(wal_set_identity(f.w, &one, NULL));
		fail_after(ops, -1);
		g_assert_false(wal_set_identity(f.w, &two, NULL));
		fixture_reopen(&f, WAL_SEGMENT_BYTES);
		g_assert_cmpstr(f.image.identity.name, ==, "one");
		fixture_close(&f);
	}
	fixture_free(&f);
}

static const struct step script[] = { { 1, 4, 1, 0, 0 }, { 5, 8, 1, 0, 0 },
	{ 9, 12, 1, 0, 0 }, { 7, 9, 2, 0, 0 }, { 10, 16, 2, 0, 0 },
	{ 0, 0, 2, 8, 2 }, { 17, 19, 2, 0, 0 }, { 15, 18, 3, 0, 0 },
	{ 0, 0, 4, 30, 4 }, { 31, 36, 4, 0, 0 }, { 37, 40, 4, 0, 0 },
	{ 0, 0, 5, 33, 5 }, { 34, 37, 5, 0, 0 }, { 36, 41, 6, 38, 6 },
	{ 42, 44, 6, 0, 0 }, { 45, 48, 6, 44, 6 }, { 47, 47, 7, 0, 0 } };

/*
 * Runs the steps from the given one until one fails. Returns the index of the
 * failed step, or the number of steps.
 */
static size_t
run_script(struct fixture *f, size_t from)
{
	for (size_t i = from; i < G_N_ELEMENTS(script); i++) {
		if (!run_step(f, &script[i], i))
			return i;
	}
	return G_N_ELEMENTS(script);
}

/*
 * Crashes at each file operation in turn; an interrupted write stores half of
 * its bytes. The log read back must have the acknowledged steps, with or
 * without the interrupted one. The rest of the script must then lead to the
 * same final state.
 */
static void
test_crash_at_each_operation(void)
{
	size_t acked = 0;

	for (int ops = 0; acked < G_N_ELEMENTS(script); ops++) {
		struct fixture f;
		struct model m = { 0 };

		fixture_init(&f, SMALL_SEGMENT);
		fail_after(ops, -1);
		acked = run_script(&f, 0);
		fixture_reopen(&f, SMALL_SEGMENT);
		for (size_t i = 0; i < acked; i++)
			model_step(&m, &script[i], i);
		if (acked > 0 && acked < G_N_ELEMENTS(script) &&
		    script[acked].snap != 0 && !model_matches(&m, &f.image)) {
			/* Only the snapshot of the step may have been
			 * stored. */
			struct step part = script[acked];
			struct raft_hard_state hard_state = m.hard_state;

			part.first = part.last = 0;
			model_step(&m, &part, acked);
			m.hard_state = hard_state;
		}
		if (acked < G_N_ELEMENTS(script) &&
		    !model_matches(&m, &f.image))
			model_step(&m, &script[acked], acked);
		g_assert_true(model_matches(&m, &f.image));
		g_assert_cmpuint(
		    run_script(&f, acked), ==, G_N_ELEMENTS(script));
		fixture_reopen(&f, SMALL_SEGMENT);
		for (size_t i = acked; i < G_N_ELEMENTS(script); i++)
			model_step(&m, &script[i], i);
		g_assert_true(model_matches(&m, &f.image));
		fixture_free(&f);
	}
}

/* Blocks the file thread in the first done() until lock is released. */
struct blocker {
	GMutex lock;
	GAsyncQueue *results;
};

static void
blocking_done(void *arg, uint64_t seq, const GError *err)
{
	struct blocker *blocker = arg;

	on_done(blocker->results, seq, err);
	g_mutex_lock(&blocker->lock);
	g_mutex_unlock(&blocker->lock);
}

static void
test_group_sync(void)
{
	struct fixture f = { .dir =
				 g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL),
		.results = g_async_queue_new_full(g_free) };
	struct blocker blocker = { .results = f.results };
	struct wal_stats before;
	struct wal_stats after;
	struct step s = { 1, 1, 1, 0, 0 };

	g_mutex_init(&blocker.lock);
	f.w = wal_open(f.dir, &f.image, NULL);
	wal_start(f.w, blocking_done, &blocker);
	g_mutex_lock(&blocker.lock);
	submit_step(&f, &s, 1);
	g_assert_true(wait_result(&f, 1));
	before = wal_stats(f.w);
	for (s.first = s.last = 2; s.first <= 101; s.first = ++s.last)
		submit_step(&f, &s, s.first);
	g_mutex_unlock(&blocker.lock);
	for (uint64_t i = 2; i <= 101; i++)
		g_assert_true(wait_result(&f, i));
	after = wal_stats(f.w);
	g_assert_cmpuint(after.batches - before.batches, ==, 100);
	g_assert_cmpuint(after.fsyncs - before.fsyncs, ==, 1);
	g_assert_cmpuint((after.bytes - before.bytes) / 100, <, 30);
	fixture_reopen(&f, WAL_SEGMENT_BYTES);
	assert_log(&f, 1, 101, 1);
	/* A single record of 20 bytes takes less than 50 bytes in the file. */
	before = wal_stats(f.w);
	g_assert_true(write_entries(&f, 102, 102, 1));
	g_assert_cmpuint(wal_stats(f.w).bytes - before.bytes, <, 50);
	g_mutex_clear(&blocker.lock);
	fixture_free(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wal/reopen", test_reopen);
	g_test_add_func("/wal/replace-suffix", test_replace_suffix);
	g_test_add_func("/wal/torn-tail", test_torn_tail);
	g_test_add_func("/wal/bit-flips", test_bit_flips);
	g_test_add_func("/wal/missing-files", test_missing_files);
	g_test_add_func("/wal/lock", test_lock);
	g_test_add_func("/wal/fsync-failure", test_fsync_failure);
	g_test_add_func("/wal/disk-full", test_disk_full);
	g_test_add_func("/wal/snapshot", test_snapshot);
	g_test_add_func("/wal/identity-interrupted", test_identity_interrupted);
	g_test_add_func(
	    "/wal/crash-at-each-operation", test_crash_at_each_operation);
	g_test_add_func("/wal/group-sync", test_group_sync);
	return g_test_run();
}
