#include "cell_help.h"
#include "codec.h"

#define BASE                                                   \
	"teams:\n  desk: {weight: 1}\n  press: {weight: 1}\n"  \
	"services:\n  stock:\n    team: desk\n    tasks: %d\n" \
	"    resources: {millicpus: %d, memory: 1GiB}\n"

struct cell_result
do_cmd(struct cell *c, struct cell_cmd *cmd)
{
	GBytes *bytes = cell_cmd_encode(cmd);
	struct cell_result res;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	cell_apply(c, data, len, &res, &err);
	g_assert_no_error(err);
	cell_check(c, &err);
	g_assert_no_error(err);
	g_bytes_unref(bytes);
	return res;
}

struct cell_result
do_config(
    struct cell *c, uint64_t version, const char *author, const char *base)
{
	struct cell_cmd cmd = { .type = CMD_CONFIG };

	cmd.u.config.version = version;
	cmd.u.config.author = (char *)author;
	cmd.u.config.base = (char *)base;
	return do_cmd(c, &cmd);
}

uint32_t
do_entry(struct cell *c, const char *name)
{
	struct cell_cmd cmd = { .type = CMD_ENTRY,
		.u.entry = { .name = (char *)name,
		    .address = "10.0.0.1:80",
		    .region = "cascadia",
		    .data_center = "salem",
		    .incarnation = 1 } };

	do_cmd(c, &cmd);
	return cell_entry_named(c, name)->id;
}

uint32_t
do_worker(struct cell *c, const char *name, uint64_t incarnation, uint32_t home,
    int64_t cores)
{
	struct cell_cmd cmd = { .type = CMD_WORKER,
		.u.announce.worker = { .name = (char *)name,
		    .address = "10.0.1.1:90",
		    .rack = "r1",
		    .data_center = "salem",
		    .incarnation = incarnation,
		    .capacity = { cores * 1000, cores * GIB, 0 },
		    .slots = 8,
		    .connections = 64,
		    .home = home } };

	return do_cmd(c, &cmd).worker;
}

struct cell_result
do_state(struct cell *c, uint32_t worker, enum cell_worker_state state)
{
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE,
		.u.worker_state = { .worker = worker, .state = state } };

	return do_cmd(c, &cmd);
}

struct cell_cmd
submit_cmd(const char *key, const char *body, enum kind kind, uint32_t tasks,
    bool idempotent)
{
	struct cell_cmd cmd = { .type = CMD_SUBMIT };
	uint64_t digest = hash64(body, strlen(body));

	cmd.u.submit.key = (char *)key;
	memcpy(cmd.u.submit.digest, &digest, sizeof(digest));
	cmd.u.submit.spec = (struct cell_spec){ .team = "desk",
		.name = (char *)body,
		.kind = kind,
		.tasks = tasks,
		.resources = { 1000, GIB, 0 },
		.idempotent = idempotent };
	return cmd;
}

uint64_t
do_submit(struct cell *c, enum kind kind, uint32_t tasks, bool idempotent)
{
	struct cell_cmd cmd = submit_cmd(NULL, "run", kind, tasks, idempotent);

	return do_cmd(c, &cmd).job;
}

uint64_t
do_start(struct cell *c, uint64_t job, uint32_t count, uint32_t worker)
{
	struct cell_cmd cmd = { .type = CMD_START };
	struct cell_result res;
	uint64_t started;

	cmd.u.start.all_or_none = cell_job(c, job)->spec.kind == KIND_GANG;
	cmd.u.start.starts =
	    g_array_new(FALSE, TRUE, sizeof(struct cell_start));
	for (uint32_t i = 0; i < count; i++) {
		struct cell_start s = { job, i, worker };

		g_array_append_val(cmd.u.start.starts, s);
	}
	res = do_cmd(c, &cmd);
	g_array_unref(cmd.u.start.starts);
	started = res.count;
	cell_result_clear(&res);
	return started;
}

void
do_end(struct cell *c, uint64_t job, uint32_t task, enum cell_end how)
{
	const struct cell_task *t = &cell_job(c, job)->task[task];
	struct cell_cmd cmd = { .type = CMD_END };

	cmd.u.end.job = job;
	cmd.u.end.task = task;
	cmd.u.end.attempt = t->attempt;
	cmd.u.end.worker = t->worker;
	cmd.u.end.how = how;
	cmd.u.end.result = g_bytes_new_static("42", 2);
	do_cmd(c, &cmd);
	g_bytes_unref(cmd.u.end.result);
}

struct cell_result
do_cancel(struct cell *c, uint64_t job)
{
	struct cell_cmd cmd = { .type = CMD_CANCEL, .u.cancel.job = job };

	return do_cmd(c, &cmd);
}

static void
do_expire(struct cell *c, uint64_t job)
{
	struct cell_cmd cmd = { .type = CMD_EXPIRE, .u.expire = job };

	do_cmd(c, &cmd);
}

/* Applies a command that must be refused with the given reason. */
static void
assert_refused(struct cell *c, struct cell_cmd *cmd, const char *reason)
{
	struct cell_result r = do_cmd(c, cmd);

	g_assert_cmpstr(r.reason, ==, reason);
	g_assert_nonnull(r.message);
	cell_result_clear(&r);
}

static enum cell_task_state
state(const struct cell *c, uint64_t job, uint32_t task)
{
	return cell_job(c, job)->task[task].state;
}

/* A cell with one worker of 8 cores and 8 slots. */
static struct cell *
small_cell(uint32_t *worker)
{
	struct cell *c = cell_new();

	*worker = do_worker(c, "w1", 1, do_entry(c, "e1"), 8);
	return c;
}

static void
test_config_versions(void)
{
	struct cell *c = cell_new();
	char *one = g_strdup_printf(BASE, 2, 500);
	char *two = g_strdup_printf(BASE, 3, 500);
	struct cell_result r = do_config(c, 1, "ann", one);

	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	r = do_config(c, 1, "bo", two);
	g_assert_cmpint(r.outcome, ==, OUT_CONFLICT);
	g_assert_cmpstr(r.author, ==, "ann");
	g_assert_cmpstr(r.digest, ==, cell_config_digest(c));
	cell_result_clear(&r);
	r = do_config(c, 3, "bo", two);
	g_assert_cmpstr(r.reason, ==, "version-not-next");
	g_assert_cmpuint(r.version, ==, 1);
	cell_result_clear(&r);
	r = do_config(c, 2, "bo", "services: [");
	g_assert_cmpint(r.outcome, ==, OUT_INVALID);
	g_assert_nonnull(r.message);
	cell_result_clear(&r);
	r = do_config(c, 2, "bo", two);
	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	/* The first change, sent again, gets the same answer again. */
	r = do_config(c, 1, "ann", one);
	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	g_assert_cmpuint(r.version, ==, 1);
	g_assert_cmpuint(cell_config_version(c), ==, 2);
	g_assert_cmpstr(cell_config_author(c), ==, "bo");
	cell_result_clear(&r);
	g_free(one);
	g_free(two);
	cell_free(c);
}

static void
set_config(struct cell *c, int tasks, int millicpus)
{
	char *text = g_strdup_printf(BASE, tasks, millicpus);
	struct cell_result r =
	    do_config(c, cell_config_version(c) + 1, "ann", text);

	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	g_free(text);
}

static void
test_service_resize(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct cell_result r;

	set_config(c, 3, 500);
	g_assert_true(cell_job(c, 1)->from_config);
	g_assert_cmpstr(cell_job(c, 1)->spec.name, ==, "stock");
	g_assert_cmpuint(do_start(c, 1, 3, w), ==, 3);
	set_config(c, 1, 500);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_ASSIGNED);
	g_assert_cmpint(state(c, 1, 2), ==, TASK_STOPPING);
	do_end(c, 1, 2, END_STOPPED);
	set_config(c, 5, 500);
	g_assert_cmpint(state(c, 1, 1), ==, TASK_STOPPING);
	g_assert_cmpint(state(c, 1, 2), ==, TASK_PENDING);
	g_assert_cmpint(state(c, 1, 4), ==, TASK_PENDING);
	do_end(c, 1, 1, END_STOPPED);
	g_assert_cmpint(state(c, 1, 1), ==, TASK_PENDING);
	/* A declared service's task starts again even after END_DONE. */
	do_end(c, 1, 0, END_DONE);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_PENDING);
	g_assert_cmpuint(do_start(c, 1, 1, w), ==, 1);
	r = do_cancel(c, 1);
	g_assert_cmpstr(r.reason, ==, "declared-service");
	cell_result_clear(&r);
	r = do_config(c, cell_config_version(c) + 1, "ann", "teams: {}\n");
	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	do_end(c, 1, 0, END_STOPPED);
	g_assert_cmpint(cell_job(c, 1)->outcome, ==, OUT_CANCELLED);
	cell_free(c);
}

static void
test_service_replace(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);

	set_config(c, 2, 500);
	do_start(c, 1, 2, w);
	set_config(c, 2, 600);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_ASSIGNED);
	g_assert_cmpuint(do_start(c, 2, 1, w), ==, 1);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_ASSIGNED);
	g_assert_cmpint(state(c, 1, 1), ==, TASK_STOPPING);
	/* A second change while the first rolling update is in progress. */
	set_config(c, 2, 700);
	g_assert_cmpint(state(c, 2, 1), ==, TASK_CANCELLED);
	do_start(c, 3, 1, w);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_STOPPING);
	g_assert_cmpint(state(c, 2, 0), ==, TASK_ASSIGNED);
	do_start(c, 3, 2, w);
	g_assert_cmpint(state(c, 2, 0), ==, TASK_STOPPING);
	do_end(c, 1, 0, END_STOPPED);
	do_end(c, 1, 1, END_LOST);
	g_assert_cmpint(cell_job(c, 1)->state, ==, JOB_ENDED);
	g_assert_cmpint(cell_job(c, 3)->state, ==, JOB_ACTIVE);
	cell_free(c);
}

/*
 * Consecutive ends of a declared service's task count as failures. A long run
 * resets the count, so that occasional restarts are not taken for a crash loop.
 */
static void
test_service_failures(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct cell_cmd later = { .type = CMD_EXPIRE, .at_ms = 3600 * 1000 };

	set_config(c, 1, 500);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_cmpuint(cell_job(c, 1)->task[0].failures, ==, i);
		g_assert_cmpuint(do_start(c, 1, 1, w), ==, 1);
		do_end(c, 1, 0, i % 2 ? END_DONE : END_FAILED);
	}
	do_start(c, 1, 1, w);
	do_cmd(c, &later);
	do_end(c, 1, 0, END_FAILED);
	g_assert_cmpuint(cell_job(c, 1)->task[0].failures, ==, 1);
	cell_free(c);
}

/*
 * The second of three versions of a service is removed by retention while the
 * first still runs: an assigned task of the third must stop the first.
 */
static void
test_service_replace_removed(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct cell_cmd later = { .type = CMD_EXPIRE, .at_ms = 7200 * 1000 };

	set_config(c, 1, 500);
	do_start(c, 1, 1, w);
	set_config(c, 1, 600);
	set_config(c, 1, 700);
	g_assert_cmpint(cell_job(c, 2)->state, ==, JOB_ENDED);
	do_cmd(c, &later);
	g_assert_null(cell_job(c, 2));
	do_start(c, 3, 1, w);
	g_assert_cmpint(state(c, 1, 0), ==, TASK_STOPPING);
	cell_free(c);
}

static void
test_announce(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint32_t other = do_entry(c, "e2");
	uint64_t job = do_submit(c, KIND_BATCH, 1, true);
	uint64_t epoch = cell_worker(c, w)->epoch;
	struct cell_cmd removed = { .type = CMD_ENTRY_REMOVED,
		.u.entry_removed = 1 };

	do_start(c, job, 1, w);
	do_worker(c, "w1", 1, 1, 8);
	g_assert_cmpuint(cell_worker(c, w)->epoch, ==, epoch);
	/* Capacity below use: running tasks stay, new ones are refused. */
	do_worker(c, "w1", 1, 1, 0);
	g_assert_cmpuint(cell_worker(c, w)->epoch, ==, epoch);
	g_assert_cmpint(cell_worker(c, w)->running, ==, 1);
	do_worker(c, "w1", 1, other, 8);
	g_assert_cmpuint(cell_worker(c, w)->epoch, >, epoch);
	g_assert_cmpint(state(c, job, 0), ==, TASK_ASSIGNED);
	do_state(c, w, WORKER_DRAINING);
	do_worker(c, "w1", 1, other, 8);
	g_assert_cmpint(cell_worker(c, w)->state, ==, WORKER_DRAINING);
	g_assert_cmpuint(
	    do_start(c, do_submit(c, KIND_BATCH, 1, true), 1, w), ==, 0);
	epoch = cell_worker(c, w)->epoch;
	do_worker(c, "w1", 2, other, 8);
	g_assert_cmpint(cell_worker(c, w)->state, ==, WORKER_UP);
	g_assert_cmpuint(cell_worker(c, w)->epoch, >, epoch);
	g_assert_cmpint(state(c, job, 0), ==, TASK_PENDING);
	g_assert_cmpuint(cell_job(c, job)->task[0].failures, ==, 0);
	do_cmd(c, &removed);
	g_assert_cmpuint(cell_worker(c, w)->home, ==, other);
	g_assert_null(cell_entry(c, 1));
	removed.u.entry_removed = other;
	do_cmd(c, &removed);
	g_assert_cmpuint(cell_worker(c, w)->home, ==, 0);
	cell_free(c);
}

static void
test_worker_lost(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t again = do_submit(c, KIND_BATCH, 1, true);
	uint64_t once = do_submit(c, KIND_BATCH, 2, false);
	uint64_t epoch = cell_worker(c, w)->epoch;
	struct cell_result r;
	struct cell_cmd old = { .type = CMD_WORKER_STATE,
		.u.worker_state = {
		    .worker = w, .epoch = epoch + 1, .state = WORKER_LOST } };

	do_start(c, again, 1, w);
	do_start(c, once, 1, w);
	assert_refused(c, &old, "old-epoch");
	do_state(c, w, WORKER_LOST);
	g_assert_cmpint(state(c, again, 0), ==, TASK_PENDING);
	g_assert_cmpint(state(c, once, 0), ==, TASK_UNKNOWN);
	g_assert_cmpint(state(c, once, 1), ==, TASK_PENDING);
	g_assert_cmpint(cell_worker(c, w)->running, ==, 0);
	r = do_state(c, w, WORKER_UP);
	g_assert_cmpint(r.outcome, ==, OUT_CONFLICT);
	cell_result_clear(&r);
	g_assert_cmpuint(do_start(c, again, 1, w), ==, 0);
	do_worker(c, "w1", 1, 1, 8);
	g_assert_cmpuint(cell_worker(c, w)->epoch, >, epoch);
	g_assert_cmpuint(do_start(c, again, 1, w), ==, 1);
	cell_free(c);
}

/*
 * An announcement of a worker's earlier process, delivered late, is refused,
 * also after a snapshot: the attempts of the running process are not lost.
 */
static void
test_late_announcement(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t job = do_submit(c, KIND_BATCH, 1, true);
	struct cell_cmd late = { .type = CMD_WORKER };
	GBytes *state_bytes;
	struct cell *restored;
	GError *err = NULL;

	do_worker(c, "w1", 2, 1, 8);
	do_worker(c, "w1", 3, 1, 8);
	do_start(c, job, 1, w);
	late.u.announce.worker = *cell_worker(c, w);
	late.u.announce.worker.incarnation = 1;
	late.u.announce.new_epoch = true;
	assert_refused(c, &late, "earlier-incarnation");
	state_bytes = cell_snapshot(c);
	restored = cell_new();
	g_assert_true(cell_restore(restored, state_bytes, &err));
	g_assert_no_error(err);
	late.u.announce.worker.incarnation = 2;
	assert_refused(restored, &late, "earlier-incarnation");
	g_assert_cmpint(state(restored, job, 0), ==, TASK_ASSIGNED);
	g_bytes_unref(state_bytes);
	cell_free(restored);
	cell_free(c);
}

static struct cell *
copy_cell(struct cell *c)
{
	struct cell *copy = cell_new();
	GBytes *bytes = cell_snapshot(c);
	GError *err = NULL;

	g_assert_true(cell_restore(copy, bytes, &err));
	g_assert_no_error(err);
	g_bytes_unref(bytes);
	cell_free(c);
	return copy;
}

static void
advance(struct cell *c)
{
	struct cell_cmd later = { .type = CMD_EXPIRE,
		.at_ms = cell_time_ms(c) + 1000 };

	do_cmd(c, &later);
}

/* A task that crashes the workers that start it is given up after three; the
 * count survives a snapshot. A task that was there already when it started,
 * each time, goes on. */
static void
test_crash_limit(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint32_t home = cell_entry_named(c, "e1")->id;
	uint64_t deadly = do_submit(c, KIND_BATCH, 1, true);
	uint64_t innocent = do_submit(c, KIND_BATCH, 1, true);

	for (uint64_t i = 2; i <= 4; i++) {
		g_assert_cmpuint(do_start(c, innocent, 1, w), ==, 1);
		advance(c);
		g_assert_cmpuint(do_start(c, deadly, 1, w), ==, 1);
		/* The second time its lease expires first. */
		if (i == 3)
			do_state(c, w, WORKER_LOST);
		c = copy_cell(c);
		(void)do_worker(c, "w1", i, home, 8);
	}
	g_assert_cmpint(state(c, deadly, 0), ==, TASK_FAILED);
	g_assert_cmpint(state(c, innocent, 0), ==, TASK_PENDING);
	cell_free(c);
}

#define WORKERS_AT 9 /* in a snapshot ... */
#define JOBS_AT 10
#define WORKER_FIELDS_OLD 16 /* ... of a build without crash scores */
#define TASK_FIELDS 11 /* of a task, now; one of them is the score */
#define SCORE_AT 6

static void
put_old_worker(msgpack_packer *pk, const msgpack_object *o)
{
	msgpack_pack_array(pk, WORKER_FIELDS_OLD);
	for (int i = 0; i < WORKER_FIELDS_OLD; i++)
		msgpack_pack_object(pk, o->via.array.ptr[i]);
}

/* The last field of a job is the list of all fields of its tasks. */
static void
put_old_job(msgpack_packer *pk, const msgpack_object *o)
{
	uint32_t last = o->via.array.size - 1;
	const msgpack_object_array *tasks = &o->via.array.ptr[last].via.array;

	msgpack_pack_array(pk, last + 1);
	for (uint32_t i = 0; i < last; i++)
		msgpack_pack_object(pk, o->via.array.ptr[i]);
	msgpack_pack_array(pk, tasks->size / TASK_FIELDS * (TASK_FIELDS - 1));
	for (uint32_t i = 0; i < tasks->size; i++)
		if (i % TASK_FIELDS != SCORE_AT)
			msgpack_pack_object(pk, tasks->ptr[i]);
}

static void
put_old_list(msgpack_packer *pk, const msgpack_object *list,
    void (*put)(msgpack_packer *pk, const msgpack_object *o))
{
	msgpack_pack_array(pk, list->via.array.size);
	for (uint32_t i = 0; i < list->via.array.size; i++)
		put(pk, &list->via.array.ptr[i]);
}

/* Rewrites a snapshot as the last build without crash scores wrote it. */
static GBytes *
old_snapshot(const struct cell *c)
{
	GBytes *bytes = cell_snapshot(c);
	msgpack_unpacked u;
	msgpack_sbuffer buf;
	msgpack_packer pk;
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	msgpack_unpacked_init(&u);
	g_assert_cmpint(msgpack_unpack_next(&u, data, len, NULL), ==,
	    MSGPACK_UNPACK_SUCCESS);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, u.data.via.array.size);
	for (uint32_t i = 0; i < u.data.via.array.size; i++) {
		const msgpack_object *o = &u.data.via.array.ptr[i];

		if (i == WORKERS_AT)
			put_old_list(&pk, o, put_old_worker);
		else if (i == JOBS_AT)
			put_old_list(&pk, o, put_old_job);
		else
			msgpack_pack_object(&pk, *o);
	}
	msgpack_unpacked_destroy(&u);
	g_bytes_unref(bytes);
	return codec_take_buffer(&buf);
}

/* Snapshots of the last build without crash scores are read. */
static void
test_earlier_snapshot(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t job = do_submit(c, KIND_BATCH, 3, true);
	struct cell *copy = cell_new();
	GBytes *old;
	GBytes *first;
	GBytes *second;
	GError *err = NULL;

	g_assert_cmpuint(do_start(c, job, 2, w), ==, 2);
	old = old_snapshot(c);
	g_assert_true(cell_restore(copy, old, &err));
	g_assert_no_error(err);
	first = cell_snapshot(c);
	second = cell_snapshot(copy);
	g_assert_true(g_bytes_equal(first, second));
	g_bytes_unref(old);
	g_bytes_unref(first);
	g_bytes_unref(second);
	cell_free(copy);
	cell_free(c);
}

/* A worker that was lost and is back without a restart has not crashed. */
static void
test_silent_worker(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint32_t home = cell_entry_named(c, "e1")->id;
	uint64_t job = do_submit(c, KIND_BATCH, 1, true);

	for (int i = 0; i < 12; i++) {
		g_assert_cmpuint(do_start(c, job, 1, w), ==, 1);
		do_state(c, w, WORKER_LOST);
		(void)do_worker(c, "w1", 1, home, 8);
		g_assert_cmpint(state(c, job, 0), ==, TASK_PENDING);
	}
	cell_free(c);
}

/* A gang with a task that crashes its workers ends as a whole. */
static void
test_crash_limit_gang(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint32_t home = cell_entry_named(c, "e1")->id;
	uint64_t job = do_submit(c, KIND_GANG, 2, true);

	for (uint64_t i = 2; i <= 4; i++) {
		g_assert_cmpuint(do_start(c, job, 2, w), ==, 2);
		(void)do_worker(c, "w1", i, home, 8);
	}
	g_assert_cmpint(cell_job(c, job)->state, ==, JOB_ENDED);
	g_assert_cmpint(cell_job(c, job)->outcome, ==, OUT_FAILED);
	cell_free(c);
}

/*
 * A restarted entry or a new session gives the worker a new epoch, so that
 * orders of the old process or session are invalid.
 */
static void
test_epoch_renewed(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t job = do_submit(c, KIND_BATCH, 1, false);
	uint64_t epoch = cell_worker(c, w)->epoch;
	const struct cell_entry *e = cell_entry(c, cell_worker(c, w)->home);
	struct cell_cmd entry = { .type = CMD_ENTRY };
	struct cell_cmd announce = { .type = CMD_WORKER };
	struct cell_result r;

	do_start(c, job, 1, w);
	entry.u.entry = *e;
	entry.u.entry.incarnation = e->incarnation + 1;
	r = do_cmd(c, &entry);
	cell_result_clear(&r);
	g_assert_cmpuint(cell_worker(c, w)->epoch, >, epoch);
	epoch = cell_worker(c, w)->epoch;
	announce.u.announce.worker = *cell_worker(c, w);
	announce.u.announce.new_epoch = true;
	r = do_cmd(c, &announce);
	cell_result_clear(&r);
	g_assert_cmpuint(cell_worker(c, w)->epoch, >, epoch);
	/* The attempt continues: only old orders are invalid. */
	g_assert_cmpint(state(c, job, 0), ==, TASK_ASSIGNED);
	cell_free(c);
}

/* A service's task can be preempted only when its worker is draining. */
static void
test_preempt_service(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t job = do_submit(c, KIND_SERVICE, 1, false);
	struct cell_result r;

	do_start(c, job, 1, w);
	for (int i = 0; i < 2; i++) {
		struct cell_cmd cmd = { .type = CMD_PREEMPT };

		cmd.u.preempt.job = job;
		cmd.u.preempt.attempt = 1;
		if (i == 0) {
			assert_refused(c, &cmd, "not-preemptible");
			r = do_state(c, w, WORKER_DRAINING);
		} else {
			r = do_cmd(c, &cmd);
		}
		g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
		cell_result_clear(&r);
	}
	g_assert_cmpint(state(c, job, 0), ==, TASK_STOPPING);
	do_end(c, job, 0, END_STOPPED);
	g_assert_cmpint(state(c, job, 0), ==, TASK_PENDING);
	cell_free(c);
}

static void
test_ends(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t j = do_submit(c, KIND_BATCH, 2, true);
	uint64_t once = do_submit(c, KIND_BATCH, 1, false);
	struct cell_cmd end_cmd = { .type = CMD_END };

	/* The first attempt and the three retries of the default policy. */
	for (int i = 0; i < 4; i++) {
		g_assert_cmpint(state(c, j, 0), ==, TASK_PENDING);
		do_start(c, j, 1, w);
		do_end(c, j, 0, END_FAILED);
	}
	g_assert_cmpint(state(c, j, 0), ==, TASK_FAILED);
	do_start(c, j, 2, w);
	end_cmd.u.end.job = j;
	end_cmd.u.end.task = 1;
	end_cmd.u.end.attempt = 2;
	end_cmd.u.end.worker = w;
	end_cmd.u.end.how = END_FAILED;
	g_assert_cmpint(do_cmd(c, &end_cmd).outcome, ==, OUT_ACCEPTED);
	g_assert_cmpint(state(c, j, 1), ==, TASK_ASSIGNED);
	do_end(c, j, 1, END_DONE);
	g_assert_cmpuint(
	    g_bytes_get_size(cell_job(c, j)->task[1].result), ==, 2);
	end_cmd.u.end.job = once;
	end_cmd.u.end.task = 0;
	end_cmd.u.end.attempt = 1;
	do_start(c, once, 1, w);
	end_cmd.u.end.worker = w + 1;
	g_assert_cmpint(do_cmd(c, &end_cmd).outcome, ==, OUT_ACCEPTED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_ASSIGNED);
	end_cmd.u.end.job = j;
	end_cmd.u.end.task = 1;
	end_cmd.u.end.worker = w;
	g_assert_cmpint(do_cmd(c, &end_cmd).outcome, ==, OUT_ACCEPTED);
	g_assert_cmpint(state(c, j, 1), ==, TASK_DONE);
	g_assert_cmpint(cell_job(c, j)->outcome, ==, OUT_FAILED);
	do_end(c, once, 0, END_NOT_STARTED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_PENDING);
	do_start(c, once, 1, w);
	g_assert_cmpuint(cell_job(c, once)->task[0].attempt, ==, 2);
	do_end(c, once, 0, END_FAILED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_FAILED);
	cell_free(c);
}

static void
count_refused(void *arg, const struct cell_start *start)
{
	++*(int *)arg;
}

static void
test_start_limits(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct cell_watch watch = { .start_refused = count_refused };
	int refused = 0;
	uint64_t j = do_submit(c, KIND_BATCH, 20, true);
	uint64_t g = do_submit(c, KIND_GANG, 3, true);
	struct cell_cmd state_cmd = { .type = CMD_WORKER_STATE,
		.u.worker_state = { .worker = w, .set_aside = true } };

	cell_set_watch(c, &watch, &refused);
	g_assert_cmpuint(do_start(c, j, 6, w), ==, 6);
	/* Two cores are free. */
	g_assert_cmpuint(do_start(c, g, 3, w), ==, 0);
	g_assert_cmpint(refused, ==, 3);
	g_assert_cmpuint(cell_job(c, g)->task[0].attempt, ==, 0);
	g_assert_cmpuint(do_start(c, j, 10, w), ==, 2);
	g_assert_cmpint(refused, ==, 11);
	for (uint32_t i = 0; i < 4; i++)
		do_end(c, j, i, END_DONE);
	/* A gang starts only with all of its tasks. */
	g_assert_cmpuint(do_start(c, g, 2, w), ==, 0);
	do_cmd(c, &state_cmd);
	g_assert_cmpuint(do_start(c, g, 3, w), ==, 0);
	state_cmd.u.worker_state.set_aside = false;
	do_cmd(c, &state_cmd);
	g_assert_cmpuint(do_start(c, g, 3, w), ==, 3);
	/* Eight slots on 64 cores. */
	w = do_worker(c, "w2", 1, 1, 64);
	g_assert_cmpuint(
	    do_start(c, do_submit(c, KIND_BATCH, 9, true), 9, w), ==, 8);
	cell_free(c);
}

static void
test_gang(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t g = do_submit(c, KIND_GANG, 3, true);
	uint64_t once = do_submit(c, KIND_GANG, 2, false);

	do_start(c, g, 3, w);
	do_end(c, g, 2, END_DONE);
	do_end(c, g, 0, END_LOST);
	g_assert_cmpint(state(c, g, 1), ==, TASK_STOPPING);
	g_assert_true(cell_job(c, g)->gang_stopping);
	g_assert_cmpuint(do_start(c, g, 1, w), ==, 0);
	do_end(c, g, 1, END_STOPPED);
	for (uint32_t i = 0; i < 3; i++)
		g_assert_cmpint(state(c, g, i), ==, TASK_PENDING);
	/* The worker refused all starts: nothing ran, all tasks are pending. */
	do_start(c, once, 2, w);
	do_end(c, once, 0, END_NOT_STARTED);
	do_end(c, once, 1, END_NOT_STARTED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_PENDING);
	do_start(c, once, 2, w);
	do_end(c, once, 0, END_LOST);
	do_end(c, once, 1, END_STOPPED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_UNKNOWN);
	g_assert_cmpint(state(c, once, 1), ==, TASK_STOPPED);
	g_assert_cmpint(cell_job(c, once)->outcome, ==, OUT_UNKNOWN);
	cell_free(c);
}

static void
test_gang_refused_in_part(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t once = do_submit(c, KIND_GANG, 2, false);

	do_start(c, once, 2, w);
	do_end(c, once, 0, END_NOT_STARTED);
	do_end(c, once, 1, END_STOPPED);
	g_assert_cmpint(state(c, once, 0), ==, TASK_NOT_RUN);
	g_assert_cmpint(state(c, once, 1), ==, TASK_STOPPED);
	g_assert_cmpint(cell_job(c, once)->outcome, ==, OUT_FAILED);
	cell_free(c);
}

static void
test_cancel(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t j = do_submit(c, KIND_BATCH, 4, false);
	struct cell_cmd by_prefix = { .type = CMD_CANCEL };
	struct cell_cmd unknown = { .type = CMD_CANCEL };

	do_start(c, j, 3, w);
	g_assert_cmpuint(do_cancel(c, j).count, ==, 1);
	g_assert_cmpint(state(c, j, 3), ==, TASK_CANCELLED);
	g_assert_cmpint(state(c, j, 0), ==, TASK_STOPPING);
	do_end(c, j, 0, END_STOPPED);
	do_end(c, j, 1, END_DONE);
	do_end(c, j, 2, END_NOT_STARTED);
	g_assert_cmpint(state(c, j, 0), ==, TASK_STOPPED);
	g_assert_cmpint(state(c, j, 1), ==, TASK_DONE);
	g_assert_cmpint(state(c, j, 2), ==, TASK_CANCELLED);
	g_assert_cmpint(cell_job(c, j)->outcome, ==, OUT_CANCELLED);
	g_assert_cmpuint(do_cancel(c, j).count, ==, 0);
	unknown.u.cancel.job = 999;
	assert_refused(c, &unknown, "unknown-job");
	do_submit(c, KIND_BATCH, 1, true);
	do_submit(c, KIND_GANG, 2, true);
	by_prefix.u.cancel.team = "press";
	by_prefix.u.cancel.prefix = "ru";
	g_assert_cmpuint(do_cmd(c, &by_prefix).count, ==, 0);
	by_prefix.u.cancel.team = "desk";
	g_assert_cmpuint(do_cmd(c, &by_prefix).count, ==, 2);
	g_assert_cmpuint(cell_pending_jobs(c), ==, 0);
	cell_free(c);
}

static void
test_expire(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t unstarted = do_submit(c, KIND_BATCH, 2, true);
	uint64_t tried = do_submit(c, KIND_BATCH, 3, true);

	do_expire(c, unstarted);
	g_assert_cmpint(cell_job(c, unstarted)->outcome, ==, OUT_NOT_RUN);
	do_start(c, tried, 3, w);
	do_end(c, tried, 0, END_FAILED);
	do_end(c, tried, 1, END_LOST);
	do_expire(c, tried);
	g_assert_cmpint(state(c, tried, 0), ==, TASK_FAILED);
	g_assert_cmpint(state(c, tried, 1), ==, TASK_UNKNOWN);
	g_assert_cmpint(state(c, tried, 2), ==, TASK_ASSIGNED);
	/* A start refused after the expiry is not repeated either. */
	do_end(c, tried, 2, END_NOT_STARTED);
	g_assert_cmpint(state(c, tried, 2), ==, TASK_NOT_RUN);
	g_assert_cmpint(cell_job(c, tried)->outcome, ==, OUT_UNKNOWN);
	cell_free(c);
}

static void
test_preempt(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	uint64_t j = do_submit(c, KIND_BATCH, 1, true);
	uint64_t once = do_submit(c, KIND_BATCH, 1, false);
	struct cell_cmd cmd = { .type = CMD_PREEMPT,
		.u.preempt = { .job = j, .attempt = 1 } };

	assert_refused(c, &cmd, "not-assigned");
	do_start(c, j, 1, w);
	do_start(c, once, 1, w);
	g_assert_cmpuint(do_cmd(c, &cmd).count, ==, 1);
	do_end(c, j, 0, END_STOPPED);
	g_assert_cmpint(state(c, j, 0), ==, TASK_PENDING);
	cmd.u.preempt.job = once;
	assert_refused(c, &cmd, "not-preemptible");
	cell_free(c);
}

static void
test_keys(void)
{
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct cell_cmd cmd = submit_cmd("k", "a", KIND_BATCH, 1, false);
	struct cell_cmd other = submit_cmd("k", "b", KIND_BATCH, 1, false);
	struct cell_result r = do_cmd(c, &cmd);
	uint64_t job = r.job;

	g_assert_cmpuint(do_cmd(c, &cmd).job, ==, job);
	r = do_cmd(c, &other);
	g_assert_cmpstr(r.reason, ==, "key-in-use");
	g_assert_cmpuint(r.job, ==, job);
	cell_result_clear(&r);
	other.u.submit.spec.team = "press";
	g_assert_cmpuint(do_cmd(c, &other).job, !=, job);
	do_cancel(c, job);
	/* By default a job is removed an hour after its end, a key after a day.
	 */
	cmd.at_ms = 7200 * 1000;
	g_assert_cmpuint(do_cmd(c, &cmd).job, ==, job);
	g_assert_null(cell_job(c, job));
	cmd.at_ms = 100 * 3600 * 1000;
	g_assert_cmpuint(do_cmd(c, &cmd).job, !=, job);
	/* Cell time never decreases. */
	cmd.at_ms = -5;
	do_cmd(c, &cmd);
	g_assert_cmpint(cell_time_ms(c), ==, 100 * 3600 * 1000);
	cell_free(c);
}

static void
test_admission(void)
{
	struct cell *c = cell_new();
	struct cell_cmd cmd = submit_cmd("k", "a", KIND_BATCH, 1, false);
	struct cell_result r = do_config(c, 1, "ann",
	    "policy: {pending_max: 1}\nteams: {desk: {weight: 1}}\n");

	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	cmd.u.submit.spec.team = "nobody";
	assert_refused(c, &cmd, "unknown-team");
	cmd.u.submit.spec.team = "desk";
	g_assert_cmpint(do_cmd(c, &cmd).outcome, ==, OUT_ACCEPTED);
	cmd.u.submit.key = "k2";
	r = do_cmd(c, &cmd);
	g_assert_cmpint(r.outcome, ==, OUT_NOT_RUN);
	g_assert_cmpstr(r.reason, ==, "queue-full");
	cell_result_clear(&r);
	/* A request refused with queue-full may be repeated with its key. */
	do_cancel(c, 1);
	g_assert_cmpint(do_cmd(c, &cmd).outcome, ==, OUT_ACCEPTED);
	cell_free(c);
}

/*
 * Applies truncated and corrupted forms of a command. Truncated ones must
 * fail; corrupted ones may be applied but must not break the cell.
 */
static void
try_damaged(struct cell *c, const struct cell_cmd *cmd, struct rng *rng)
{
	GBytes *bytes = cell_cmd_encode(cmd);
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	uint8_t *copy = g_memdup2(data, len);
	struct cell_result res;

	for (gsize n = 0; n < len; n++)
		g_assert_false(cell_apply(c, copy, n, &res, NULL));
	for (int i = 0; i < 2000; i++) {
		gsize at = rng_below(rng, len);
		GError *err = NULL;

		copy[at] = (uint8_t)rng_next(rng);
		if (!cell_apply(c, copy, len, &res, &err))
			g_assert_error(err, BT_ERROR, ERR_CORRUPT);
		g_clear_error(&err);
		cell_result_clear(&res);
		copy[at] = data[at];
	}
	g_assert_true(cell_check(c, NULL));
	g_free(copy);
	g_bytes_unref(bytes);
}

static void
test_damaged(void)
{
	static const uint8_t huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0 };
	uint32_t w;
	struct cell *c = small_cell(&w);
	struct rng rng = { 11 };
	struct cell_cmd submit = submit_cmd("k", "a", KIND_BATCH, 3, false);
	struct cell_cmd config = { .type = CMD_CONFIG,
		.u.config = { 1, "ann", "teams: {}\n", NULL } };
	struct cell_cmd start = { .type = CMD_START };
	struct cell_start one = { 1, 0, w };
	struct cell_result res;
	GBytes *snapshot;
	gsize len;
	const uint8_t *data;

	g_assert_false(cell_apply(c, huge, sizeof(huge), &res, NULL));
	start.u.start.starts = g_array_new(FALSE, TRUE, sizeof(one));
	g_array_append_val(start.u.start.starts, one);
	try_damaged(c, &submit, &rng);
	try_damaged(c, &config, &rng);
	try_damaged(c, &start, &rng);
	g_array_unref(start.u.start.starts);
	snapshot = cell_snapshot(c);
	data = g_bytes_get_data(snapshot, &len);
	for (int i = 0; i < 300; i++) {
		uint8_t *copy = g_memdup2(data, len);
		GBytes *damaged;

		copy[rng_below(&rng, len)] = (uint8_t)rng_next(&rng);
		damaged =
		    g_bytes_new_take(copy, i % 2 ? len : rng_below(&rng, len));
		cell_restore(c, damaged, NULL);
		g_assert_true(cell_check(c, NULL));
		g_bytes_unref(damaged);
	}
	g_bytes_unref(snapshot);
	cell_free(c);
}

static void
assert_round_trip(const struct cell_cmd *cmd)
{
	GBytes *bytes = cell_cmd_encode(cmd);
	GBytes *again;
	struct cell_cmd out;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	cell_cmd_decode(data, len, &out, &err);
	g_assert_no_error(err);
	again = cell_cmd_encode(&out);
	g_assert_true(g_bytes_equal(bytes, again));
	cell_cmd_clear(&out);
	g_bytes_unref(again);
	g_bytes_unref(bytes);
}

static void
test_empty_strings(void)
{
	struct cell_cmd config = { .type = CMD_CONFIG,
		.u.config = { 1, "", "", NULL } };
	struct cell_cmd cancel = { .type = CMD_CANCEL,
		.u.cancel = { 0, "", "" } };
	struct cell_cmd end = { .type = CMD_END };
	struct cell_cmd submit = submit_cmd("", "", KIND_BATCH, 1, false);
	struct cell_overlay overlay = { "salem", "" };
	struct cell *c = cell_new();
	struct cell *other = cell_new();
	struct cell_result r;
	GBytes *snapshot;
	GError *err = NULL;

	config.u.config.overlays =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_overlay));
	g_array_append_val(config.u.config.overlays, overlay);
	end.u.end.result = g_bytes_new_static("", 0);
	assert_round_trip(&config);
	assert_round_trip(&cancel);
	assert_round_trip(&end);
	assert_round_trip(&submit);
	r = do_cmd(c, &config);
	g_assert_cmpint(r.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&r);
	snapshot = cell_snapshot(c);
	cell_restore(other, snapshot, &err);
	g_assert_no_error(err);
	g_assert_cmpuint(cell_config_version(other), ==, 1);
	g_bytes_unref(snapshot);
	g_bytes_unref(end.u.end.result);
	g_array_unref(config.u.config.overlays);
	cell_free(c);
	cell_free(other);
}

/* Limits the log bytes of a start with ids as large as at the target load. */
static void
test_start_is_small(void)
{
	struct cell_cmd cmd = { .type = CMD_START, .at_ms = 400000000000 };
	struct cell_start s = { 3000000, 9999, 430 };
	GBytes *bytes;

	cmd.u.start.starts = g_array_new(FALSE, TRUE, sizeof(s));
	for (int i = 0; i < 10; i++)
		g_array_append_val(cmd.u.start.starts, s);
	bytes = cell_cmd_encode(&cmd);
	g_assert_cmpuint(g_bytes_get_size(bytes), <=, 15 + 10 * 11);
	g_bytes_unref(bytes);
	g_array_unref(cmd.u.start.starts);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/config-versions", test_config_versions);
	g_test_add_func("/cell/service-resize", test_service_resize);
	g_test_add_func("/cell/service-replace", test_service_replace);
	g_test_add_func(
	    "/cell/service-replace-removed", test_service_replace_removed);
	g_test_add_func("/cell/service-failures", test_service_failures);
	g_test_add_func("/cell/announce", test_announce);
	g_test_add_func("/cell/epoch-renewed", test_epoch_renewed);
	g_test_add_func("/cell/preempt-service", test_preempt_service);
	g_test_add_func("/cell/worker-lost", test_worker_lost);
	g_test_add_func("/cell/crash-limit", test_crash_limit);
	g_test_add_func("/cell/crash-limit-gang", test_crash_limit_gang);
	g_test_add_func("/cell/silent-worker", test_silent_worker);
	g_test_add_func("/cell/earlier-snapshot", test_earlier_snapshot);
	g_test_add_func("/cell/late-announcement", test_late_announcement);
	g_test_add_func("/cell/ends", test_ends);
	g_test_add_func("/cell/start-limits", test_start_limits);
	g_test_add_func("/cell/gang", test_gang);
	g_test_add_func("/cell/gang-part", test_gang_refused_in_part);
	g_test_add_func("/cell/cancel", test_cancel);
	g_test_add_func("/cell/expire", test_expire);
	g_test_add_func("/cell/preempt", test_preempt);
	g_test_add_func("/cell/keys", test_keys);
	g_test_add_func("/cell/admission", test_admission);
	g_test_add_func("/cell/damaged", test_damaged);
	g_test_add_func("/cell/empty-strings", test_empty_strings);
	g_test_add_func("/cell/start-is-small", test_start_is_small);
	add_random_tests();
	return g_test_run();
}
