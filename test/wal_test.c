#include <errno.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "walfile.h"

#define RECORD_BYTES 20
#define SMALL_SEGMENT 256

/* A folder with an open wal whose done() calls are collected. */
struct bench {
	char *dir;
	struct wal *w;
	struct wal_image image;
	GAsyncQueue *replies; /* struct reply */
};

struct reply {
	uint64_t ticket;
	bool failed;
};

/* The log state that a sequence of batches should leave. */
struct model {
	struct raft_hard hard;
	uint64_t snap_index;
	uint64_t last;
	uint64_t term[64]; /* of entry i; 0: none */
};

/* One step of the scripted workload. */
struct step {
	uint64_t first; /* entries first..last of this term; 0: none */
	uint64_t last;
	uint64_t term;
	uint64_t snap; /* snapshot up to this index; 0: none */
	uint64_t snap_term;
};

/* Counts down to the file operation that fails; see fail_at(). */
static int ops_left;
static int ops_seen;
static int fsyncs_left;

static bool
op_allowed(void)
{
	ops_seen++;
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
	if (op_allowed())
		return pwrite(fd, buf, len, offset);
	(void)!pwrite(fd, buf, len / 2, offset);
	errno = ENOSPC;
	return -1;
}

static int
fake_fsync(int fd)
{
	if (fsyncs_left == 0 || !op_allowed()) {
		errno = EIO;
		return -1;
	}
	fsyncs_left--;
	return 0;
}

static int
fake_rename(const char *from, const char *to)
{
	if (!op_allowed())
		return -1;
	return rename(from, to);
}

static const struct file_ops fake_ops = {
	.pwrite = fake_pwrite,
	.fdatasync = fake_fsync,
	.fsync = fake_fsync,
	.rename = fake_rename,
};

/* Lets that many operations and syncs pass, then fails all. */
static void
fail_at(int ops, int fsyncs)
{
	ops_left = ops;
	fsyncs_left = fsyncs;
}

static void
on_done(void *arg, uint64_t ticket, const GError *err)
{
	struct reply *r = g_new(struct reply, 1);

	*r = (struct reply){ ticket, err != NULL };
	g_async_queue_push(arg, r);
}

static bool
bench_open(struct bench *b, uint64_t segment_bytes, GError **err)
{
	struct wal_conf conf = { &fake_ops, segment_bytes };

	b->w = wal_open_conf(b->dir, &conf, &b->image, err);
	if (b->w != NULL)
		wal_start(b->w, on_done, b->replies);
	return b->w != NULL;
}

static void
bench_init(struct bench *b, uint64_t segment_bytes)
{
	GError *err = NULL;

	memset(b, 0, sizeof(*b));
	fail_at(-1, -1);
	b->dir = g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL);
	b->replies = g_async_queue_new_full(g_free);
	bench_open(b, segment_bytes, &err);
	g_assert_no_error(err);
}

static void
bench_close(struct bench *b)
{
	if (b->w != NULL)
		wal_close(b->w);
	b->w = NULL;
	wal_image_clear(&b->image);
}

static void
bench_reopen(struct bench *b, uint64_t segment_bytes)
{
	GError *err = NULL;

	bench_close(b);
	fail_at(-1, -1);
	bench_open(b, segment_bytes, &err);
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
bench_free(struct bench *b)
{
	bench_close(b);
	remove_tree(b->dir);
	g_async_queue_unref(b->replies);
	g_free(b->dir);
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

/* Sends one step's batch without waiting. */
static void
send_step(struct bench *b, const struct step *s, uint64_t ticket)
{
	struct raft_hard hard = { s->term, ticket };
	struct raft_snapshot snap = { s->snap, s->snap_term, { 0 }, NULL };
	struct wal_batch batch = { &hard, NULL, NULL, ticket };

	snap.members.count = 1;
	snap.members.member[0].id = 7;
	snap.data = g_bytes_new(&ticket, sizeof(ticket));
	if (s->first != 0)
		batch.entries = make_entries(s->first, s->last, s->term);
	if (s->snap != 0)
		batch.snapshot = &snap;
	wal_write(b->w, &batch);
	if (batch.entries != NULL)
		g_ptr_array_unref(batch.entries);
	g_bytes_unref(snap.data);
}

/* Waits for the next reply; says whether it was a success. */
static bool
await_reply(struct bench *b, uint64_t ticket)
{
	struct reply *r = g_async_queue_pop(b->replies);
	bool ok = !r->failed;

	g_assert_cmpuint(r->ticket, ==, ticket);
	g_free(r);
	return ok;
}

static bool
do_step(struct bench *b, const struct step *s, uint64_t ticket)
{
	send_step(b, s, ticket);
	return await_reply(b, ticket);
}

static bool
put(struct bench *b, uint64_t first, uint64_t last, uint64_t term)
{
	struct step s = { first, last, term, 0, 0 };

	return do_step(b, &s, first);
}

static void
model_step(struct model *m, const struct step *s, uint64_t ticket)
{
	m->hard = (struct raft_hard){ s->term, ticket };
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

	if (snap != m->snap_index || image->hard_state.term != m->hard.term ||
	    image->hard_state.vote != m->hard.vote ||
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
assert_log(const struct bench *b, uint64_t first, uint64_t last, uint64_t term)
{
	const GPtrArray *list = b->image.entries;

	g_assert_cmpuint(list->len, ==, last + 1 - first);
	for (guint i = 0; i < list->len; i++) {
		const struct raft_entry *e = list->pdata[i];

		g_assert_cmpuint(e->index, ==, first + i);
		g_assert_cmpuint(e->term, ==, term);
	}
}

static char *
file_in(const struct bench *b, const char *name)
{
	return g_build_filename(b->dir, name, NULL);
}

/* Reads (content NULL) or writes a file of the folder. */
static GBytes *
load(const struct bench *b, const char *name)
{
	GError *err = NULL;
	char *path = file_in(b, name);
	GBytes *bytes = file_read(path, &err);

	g_assert_no_error(err);
	g_free(path);
	return bytes;
}

static void
store(const struct bench *b, const char *name, const void *data, size_t len)
{
	char *path = file_in(b, name);
	FILE *f = fopen(path, "w");

	g_assert_nonnull(f);
	g_assert_cmpuint(fwrite(data, 1, len, f), ==, len);
	fclose(f);
	g_free(path);
}

static void
discard(const struct bench *b, const char *name)
{
	char *path = file_in(b, name);

	g_assert_cmpint(g_unlink(path), ==, 0);
	g_free(path);
}

/* Opening must be refused with the code and a text that has the word. */
static void
assert_refused(struct bench *b, int code, const char *word)
{
	GError *err = NULL;

	g_assert_false(bench_open(b, WAL_SEGMENT_BYTES, &err));
	g_assert_error(err, BT_ERROR, code);
	g_assert_nonnull(strstr(err->message, word));
	g_error_free(err);
}

static const char segment1[] = "log-0000000000000001";
static const char segment2[] = "log-0000000000000002";

static void
test_reopen(void)
{
	struct bench b;
	struct wal_identity id = { 11, 12, "r1" };
	GError *err = NULL;

	bench_init(&b, SMALL_SEGMENT);
	bench_close(&b);
	b.w = wal_open(b.dir, &b.image, &err);
	g_assert_no_error(err);
	g_assert_cmpuint(b.image.identity.replica_id, ==, 0);
	g_assert_true(wal_set_identity(b.w, &id, &err));
	wal_start(b.w, on_done, b.replies);
	for (uint64_t i = 1; i <= 40; i += 4)
		g_assert_true(put(&b, i, i + 3, 5));
	bench_reopen(&b, SMALL_SEGMENT);
	g_assert_cmpuint(b.image.identity.replica_id, ==, 11);
	g_assert_cmpuint(b.image.identity.cell_id, ==, 12);
	g_assert_cmpstr(b.image.identity.name, ==, "r1");
	g_assert_cmpuint(b.image.hard_state.term, ==, 5);
	g_assert_cmpuint(b.image.hard_state.vote, ==, 37);
	assert_log(&b, 1, 40, 5);
	for (uint64_t i = 41; i <= 60; i += 2)
		g_assert_true(put(&b, i, i + 1, 5));
	bench_reopen(&b, SMALL_SEGMENT);
	assert_log(&b, 1, 60, 5);
	g_assert_cmpuint(b.image.truncated_bytes, ==, 0);
	bench_free(&b);
}

static void
test_suffix(void)
{
	struct bench b;

	bench_init(&b, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 30; i += 3)
		g_assert_true(put(&b, i, i + 2, 1));
	g_assert_true(put(&b, 5, 6, 2));
	bench_reopen(&b, SMALL_SEGMENT);
	g_assert_cmpuint(b.image.entries->len, ==, 6);
	g_assert_true(put(&b, 1, 3, 3));
	bench_reopen(&b, SMALL_SEGMENT);
	assert_log(&b, 1, 3, 3);
	bench_free(&b);
}

/* Entries 1..2, 3..4, 5..6 in three frames; sizes before the last. */
static void
three_frames(struct bench *b, GBytes **whole, GBytes **marker, size_t *before)
{
	GBytes *two;

	bench_init(b, WAL_SEGMENT_BYTES);
	g_assert_true(put(b, 1, 2, 1));
	g_assert_true(put(b, 3, 4, 1));
	two = load(b, segment1);
	*marker = load(b, "synced");
	*before = g_bytes_get_size(two);
	g_bytes_unref(two);
	g_assert_true(put(b, 5, 6, 1));
	bench_close(b);
	*whole = load(b, segment1);
}

static void
test_torn_tail(void)
{
	struct bench b;
	GBytes *whole;
	GBytes *marker;
	size_t before;
	size_t len;

	three_frames(&b, &whole, &marker, &before);
	const uint8_t *data = g_bytes_get_data(whole, &len);

	for (size_t cut = before; cut < 2 * len - before; cut++) {
		uint8_t *torn = g_memdup2(data, len);
		size_t size = MIN(cut, len);

		/* First each length, then the whole with one byte changed. */
		if (cut >= len) {
			torn[before + cut - len] ^= 0x40;
			size = len;
		}
		store(&b, segment1, torn, size);
		store(&b, "synced", g_bytes_get_data(marker, NULL),
		    g_bytes_get_size(marker));
		bench_reopen(&b, WAL_SEGMENT_BYTES);
		assert_log(&b, 1, 4, 1);
		g_assert_cmpuint(b.image.truncated_bytes, ==, size - before);
		g_assert_true(put(&b, 5, 9, 2));
		bench_reopen(&b, WAL_SEGMENT_BYTES);
		g_assert_cmpuint(b.image.entries->len, ==, 9);
		bench_close(&b);
		g_free(torn);
	}
	g_bytes_unref(whole);
	g_bytes_unref(marker);
	bench_free(&b);
}

static void
test_bit_flips(void)
{
	struct bench b;
	GBytes *whole;
	GBytes *marker;
	GBytes *exact;
	size_t before;
	size_t len;

	three_frames(&b, &whole, &marker, &before);
	exact = load(&b, "synced");
	const uint8_t *data = g_bytes_get_data(whole, &len);

	for (size_t at = 0; at < len; at++) {
		uint8_t *bad = g_memdup2(data, len);

		bad[at] ^= (uint8_t)(1 << (at % 8));
		store(&b, segment1, bad, len);
		store(&b, "synced", g_bytes_get_data(exact, NULL),
		    g_bytes_get_size(exact));
		assert_refused(&b, ERR_CORRUPT, "log-0000000000000001: offset");
		/* Without the marker the later frames still tell. */
		store(&b, segment1, bad, len);
		store(&b, "synced", "", 0);
		if (at < before)
			assert_refused(&b, ERR_CORRUPT, "offset");
		g_free(bad);
	}
	/* Acknowledged bytes that are gone. */
	for (size_t cut = 0; cut < len; cut++) {
		store(&b, segment1, data, cut);
		store(&b, "synced", g_bytes_get_data(exact, NULL),
		    g_bytes_get_size(exact));
		assert_refused(&b, ERR_CORRUPT, "log-0000000000000001: offset");
	}
	g_bytes_unref(whole);
	g_bytes_unref(marker);
	g_bytes_unref(exact);
	bench_free(&b);
}

static void
test_missing_files(void)
{
	struct bench b;
	GBytes *log;
	GBytes *identity;

	bench_init(&b, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 40; i += 4)
		g_assert_true(put(&b, i, i + 3, 5));
	bench_close(&b);
	log = load(&b, segment2);
	discard(&b, segment2);
	assert_refused(&b, ERR_CORRUPT, segment2);
	store(&b, segment2, g_bytes_get_data(log, NULL), g_bytes_get_size(log));
	identity = load(&b, "identity");
	discard(&b, "identity");
	assert_refused(&b, ERR_CORRUPT, "identity");
	store(&b, "identity", "junk", 4);
	assert_refused(&b, ERR_CORRUPT, "identity");
	store(&b, "identity", g_bytes_get_data(identity, NULL),
	    g_bytes_get_size(identity));
	discard(&b, segment1);
	assert_refused(&b, ERR_CORRUPT, segment2);
	g_bytes_unref(log);
	g_bytes_unref(identity);
	bench_free(&b);
}

static void
test_lock(void)
{
	struct bench b;
	struct wal_image image;
	int status;
	pid_t pid;

	bench_init(&b, WAL_SEGMENT_BYTES);
	pid = fork();
	if (pid == 0)
		_exit(wal_open(b.dir, &image, NULL) == NULL ? 9 : 0);
	g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	g_assert_cmpint(WEXITSTATUS(status), ==, 9);
	bench_reopen(&b, WAL_SEGMENT_BYTES);
	bench_free(&b);
}

/* After a failure everything is refused and no file is touched again. */
static void
failure_stays(int ops, int fsyncs)
{
	struct bench b;
	int seen;

	bench_init(&b, WAL_SEGMENT_BYTES);
	g_assert_true(put(&b, 1, 2, 1));
	fail_at(ops, fsyncs);
	g_assert_false(put(&b, 3, 4, 1));
	fail_at(-1, -1);
	seen = ops_seen;
	g_assert_false(put(&b, 5, 6, 1));
	g_assert_cmpint(ops_seen, ==, seen);
	bench_reopen(&b, WAL_SEGMENT_BYTES);
	g_assert_cmpuint(b.image.entries->len, >=, 2);
	g_assert_cmpuint(b.image.entries->len, <=, 4);
	bench_free(&b);
}

static void
test_fsync_fails(void)
{
	failure_stays(-1, 0);
}

static void
test_disk_full(void)
{
	failure_stays(0, -1);
}

static void
test_snapshot(void)
{
	struct bench b;
	struct step keep = { 0, 0, 1, 20, 1 };
	struct step ahead = { 0, 0, 3, 50, 3 };
	struct step differs = { 0, 0, 4, 55, 4 };

	bench_init(&b, SMALL_SEGMENT);
	for (uint64_t i = 1; i <= 30; i += 3)
		g_assert_true(put(&b, i, i + 2, 1));
	g_assert_true(do_step(&b, &keep, 100));
	bench_reopen(&b, SMALL_SEGMENT);
	g_assert_cmpuint(b.image.snapshot->index, ==, 20);
	g_assert_cmpuint(b.image.snapshot->members.member[0].id, ==, 7);
	assert_log(&b, 21, 30, 1);
	char *path = file_in(&b, segment1);

	g_assert_false(g_file_test(path, G_FILE_TEST_EXISTS));
	g_free(path);
	/* Past the log's end, and over entries of another term. */
	g_assert_true(do_step(&b, &ahead, 101));
	g_assert_true(put(&b, 51, 60, 3));
	bench_reopen(&b, SMALL_SEGMENT);
	assert_log(&b, 51, 60, 3);
	g_assert_true(do_step(&b, &differs, 102));
	bench_reopen(&b, SMALL_SEGMENT);
	g_assert_cmpuint(b.image.snapshot->index, ==, 55);
	g_assert_cmpuint(b.image.entries->len, ==, 0);
	g_assert_cmpuint(b.image.hard_state.vote, ==, 102);
	g_assert_true(put(&b, 56, 57, 4));
	bench_close(&b);
	discard(&b, "snapshot");
	assert_refused(&b, ERR_CORRUPT, "log-");
	bench_free(&b);
}

static void
test_identity_interrupted(void)
{
	struct wal_identity one = { 1, 2, "one" };
	struct wal_identity two = { 3, 4, "two" };
	struct bench b = { .dir =
			       g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL),
		.replies = g_async_queue_new_full(g_free) };
	struct wal_conf conf = { &fake_ops, WAL_SEGMENT_BYTES };

	/* Three operations before the new name counts: write, sync, rename. */
	for (int ops = 0; ops < 3; ops++) {
		fail_at(-1, -1);
		b.w = wal_open_conf(b.dir, &conf, &b.image, NULL);
		g_assert_true(wal_set_identity(b.w, &one, NULL));
		fail_at(ops, -1);
		g_assert_false(wal_set_identity(b.w, &two, NULL));
		bench_reopen(&b, WAL_SEGMENT_BYTES);
		g_assert_cmpstr(b.image.identity.name, ==, "one");
		bench_close(&b);
	}
	bench_free(&b);
}

static const struct step script[] = { { 1, 4, 1, 0, 0 }, { 5, 8, 1, 0, 0 },
	{ 9, 12, 1, 0, 0 }, { 7, 9, 2, 0, 0 }, { 10, 16, 2, 0, 0 },
	{ 0, 0, 2, 8, 2 }, { 17, 19, 2, 0, 0 }, { 15, 18, 3, 0, 0 },
	{ 0, 0, 4, 30, 4 }, { 31, 36, 4, 0, 0 }, { 37, 40, 4, 0, 0 },
	{ 0, 0, 5, 33, 5 }, { 34, 37, 5, 0, 0 }, { 36, 41, 6, 38, 6 },
	{ 42, 44, 6, 0, 0 }, { 45, 48, 6, 44, 6 }, { 47, 47, 7, 0, 0 } };

/* Runs steps from the given one until one fails; returns how many passed. */
static size_t
run_script(struct bench *b, size_t from)
{
	for (size_t i = from; i < G_N_ELEMENTS(script); i++) {
		if (!do_step(b, &script[i], i))
			return i;
	}
	return G_N_ELEMENTS(script);
}

/*
 * Stops at each file operation in turn, half of a write being done. What is
 * read back must be the acknowledged steps, or those and the one cut short.
 * The rest of the script must then run to the same end.
 */
static void
test_crash_at_each_operation(void)
{
	size_t acked = 0;

	for (int ops = 0; acked < G_N_ELEMENTS(script); ops++) {
		struct bench b;
		struct model m = { 0 };

		bench_init(&b, SMALL_SEGMENT);
		fail_at(ops, -1);
		acked = run_script(&b, 0);
		bench_reopen(&b, SMALL_SEGMENT);
		for (size_t i = 0; i < acked; i++)
			model_step(&m, &script[i], i);
		if (acked > 0 && acked < G_N_ELEMENTS(script) &&
		    script[acked].snap != 0 && !model_matches(&m, &b.image)) {
			/* The snapshot alone may have been stored. */
			struct step part = script[acked];
			struct raft_hard hard = m.hard;

			part.first = part.last = 0;
			model_step(&m, &part, acked);
			m.hard = hard;
		}
		if (acked < G_N_ELEMENTS(script) &&
		    !model_matches(&m, &b.image))
			model_step(&m, &script[acked], acked);
		g_assert_true(model_matches(&m, &b.image));
		g_assert_cmpuint(
		    run_script(&b, acked), ==, G_N_ELEMENTS(script));
		bench_reopen(&b, SMALL_SEGMENT);
		for (size_t i = acked; i < G_N_ELEMENTS(script); i++)
			model_step(&m, &script[i], i);
		g_assert_true(model_matches(&m, &b.image));
		bench_free(&b);
	}
}

/* Holds the file thread in the first done() until the gate opens. */
struct gate {
	GMutex lock;
	GAsyncQueue *replies;
};

static void
gated_done(void *arg, uint64_t ticket, const GError *err)
{
	struct gate *g = arg;

	on_done(g->replies, ticket, err);
	g_mutex_lock(&g->lock);
	g_mutex_unlock(&g->lock);
}

static void
test_merging(void)
{
	struct bench b = { .dir =
			       g_dir_make_tmp("bulrushtide-wal-XXXXXX", NULL),
		.replies = g_async_queue_new_full(g_free) };
	struct gate g = { .replies = b.replies };
	struct wal_stats before;
	struct wal_stats after;
	struct step s = { 1, 1, 1, 0, 0 };

	g_mutex_init(&g.lock);
	b.w = wal_open(b.dir, &b.image, NULL);
	wal_start(b.w, gated_done, &g);
	g_mutex_lock(&g.lock);
	send_step(&b, &s, 1);
	g_assert_true(await_reply(&b, 1));
	before = wal_stats(b.w);
	for (s.first = s.last = 2; s.first <= 101; s.first = ++s.last)
		send_step(&b, &s, s.first);
	g_mutex_unlock(&g.lock);
	for (uint64_t i = 2; i <= 101; i++)
		g_assert_true(await_reply(&b, i));
	after = wal_stats(b.w);
	g_assert_cmpuint(after.batches - before.batches, ==, 100);
	g_assert_cmpuint(after.fsyncs - before.fsyncs, ==, 1);
	g_assert_cmpuint((after.bytes - before.bytes) / 100, <, 30);
	bench_reopen(&b, WAL_SEGMENT_BYTES);
	assert_log(&b, 1, 101, 1);
	/* Alone in its frame a record of 20 bytes costs less than 50. */
	before = wal_stats(b.w);
	g_assert_true(put(&b, 102, 102, 1));
	g_assert_cmpuint(wal_stats(b.w).bytes - before.bytes, <, 50);
	g_mutex_clear(&g.lock);
	bench_free(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wal/reopen", test_reopen);
	g_test_add_func("/wal/suffix", test_suffix);
	g_test_add_func("/wal/torn-tail", test_torn_tail);
	g_test_add_func("/wal/bit-flips", test_bit_flips);
	g_test_add_func("/wal/missing-files", test_missing_files);
	g_test_add_func("/wal/lock", test_lock);
	g_test_add_func("/wal/fsync-fails", test_fsync_fails);
	g_test_add_func("/wal/disk-full", test_disk_full);
	g_test_add_func("/wal/snapshot", test_snapshot);
	g_test_add_func("/wal/identity-interrupted", test_identity_interrupted);
	g_test_add_func("/wal/crash", test_crash_at_each_operation);
	g_test_add_func("/wal/merging", test_merging);
	return g_test_run();
}
