/*
 * Seeded random commands. After each one the invariants must hold and a copy
 * of the task states built from the callbacks must equal the cell's. A second
 * cell, restored from a snapshot and given the later commands, must have the
 * same snapshot bytes.
 */
#include "cell_help.h"

#define COMMANDS 3000
#define TASKS_MAX 4

/* Task states as the callbacks report them. */
struct mirror {
	GHashTable *pending; /* "JOB.TASK" */
	GHashTable *assigned;
	GHashTable *ran; /* of non-idempotent tasks */
};

struct run {
	struct cell *c;
	struct cell *second;
	struct mirror m;
	struct rng rng;
	int64_t now;
};

static char *
task_key(uint64_t job, uint32_t task)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT ".%u", job, task);
}

static void
on_pending(
    void *arg, const struct cell_job *job, uint32_t first, uint32_t count)
{
	struct run *r = arg;

	for (uint32_t i = first; i < first + count; i++)
		g_assert_true(
		    g_hash_table_add(r->m.pending, task_key(job->id, i)));
}

static gboolean
key_has_prefix(gpointer key, gpointer value, gpointer data)
{
	return g_str_has_prefix(key, data);
}

static void
on_withdrawn(void *arg, const struct cell_job *job)
{
	struct run *r = arg;
	char *prefix = g_strdup_printf("%" G_GUINT64_FORMAT ".", job->id);

	g_hash_table_foreach_remove(r->m.pending, key_has_prefix, prefix);
	g_free(prefix);
}

static void
on_assigned(void *arg, const struct cell_job *job, uint32_t task)
{
	struct run *r = arg;
	char *key = task_key(job->id, task);

	g_assert_true(g_hash_table_remove(r->m.pending, key));
	g_assert_false(g_hash_table_contains(r->m.ran, key));
	g_assert_true(g_hash_table_add(r->m.assigned, key));
}

static void
on_ended(void *arg, const struct cell_job *job, uint32_t task, uint32_t attempt,
    uint32_t worker, enum cell_end how)
{
	struct run *r = arg;
	char *key = task_key(job->id, task);

	g_assert_true(g_hash_table_remove(r->m.assigned, key));
	if (how == END_NOT_STARTED || job->spec.idempotent ||
	    job->spec.kind == KIND_SERVICE)
		g_free(key);
	else
		g_assert_true(g_hash_table_add(r->m.ran, key));
}

static const struct cell_watch mirror_watch = {
	.pending = on_pending,
	.withdrawn = on_withdrawn,
	.assigned = on_assigned,
	.attempt_ended = on_ended,
};

/* Counts the cell's tasks and finds each in the mirror. */
struct compare {
	struct mirror *m;
	guint pending;
	guint assigned;
};

static bool
compare_job(void *arg, const struct cell_job *job)
{
	struct compare *cmp = arg;

	for (uint32_t i = 0; i < job->spec.tasks; i++) {
		enum cell_task_state s = job->task[i].state;
		char *key = task_key(job->id, i);

		/* A stopping gang is reported once its attempts have ended. */
		if (s == TASK_PENDING && !job->gang_stopping) {
			cmp->pending++;
			g_assert_true(
			    g_hash_table_contains(cmp->m->pending, key));
		}
		if (s == TASK_ASSIGNED || s == TASK_STOPPING) {
			cmp->assigned++;
			g_assert_true(
			    g_hash_table_contains(cmp->m->assigned, key));
		}
		g_free(key);
	}
	return true;
}

static void
compare_mirror(struct run *r)
{
	struct compare cmp = { .m = &r->m };

	cell_each_job(r->c, compare_job, &cmp);
	g_assert_cmpuint(cmp.pending, ==, g_hash_table_size(r->m.pending));
	g_assert_cmpuint(cmp.assigned, ==, g_hash_table_size(r->m.assigned));
}

static void
assert_same(struct cell *a, struct cell *b)
{
	GBytes *x = cell_snapshot(a);
	GBytes *y = cell_snapshot(b);

	g_assert_true(g_bytes_equal(x, y));
	g_bytes_unref(x);
	g_bytes_unref(y);
}

static bool
collect_job(void *arg, const struct cell_job *job)
{
	GArray *jobs = arg;

	g_array_append_val(jobs, job->id);
	return true;
}

/* Returns a random job, active with a higher chance; 0 if there is none. */
static uint64_t
random_job(struct run *r)
{
	GArray *jobs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t id = 0;

	cell_each_job(r->c, collect_job, jobs);
	for (int i = 0; i < 4 && jobs->len > 0; i++) {
		id = g_array_index(
		    jobs, uint64_t, rng_below(&r->rng, jobs->len));
		if (cell_job(r->c, id)->state == JOB_ACTIVE)
			break;
	}
	g_array_unref(jobs);
	return id;
}

static void
run_cmd(struct run *r, struct cell_cmd *cmd)
{
	struct cell_result a, b;

	r->now += (int64_t)rng_below(&r->rng, 20000);
	cmd->at_ms = r->now;
	a = do_cmd(r->c, cmd);
	b = do_cmd(r->second, cmd);
	g_assert_cmpint(a.outcome, ==, b.outcome);
	g_assert_cmpuint(a.job, ==, b.job);
	g_assert_cmpuint(a.count, ==, b.count);
	cell_result_clear(&a);
	cell_result_clear(&b);
}

static void
random_config(struct run *r)
{
	char *base = g_strdup_printf(
	    "policy: {job_retention_s: 600, key_retention_s: 1200}\n"
	    "teams: {desk: {weight: 1}}\n%s"
	    "  web: {team: desk, tasks: %d, resources: {millicpus: %d, "
	    "memory: 1GiB}}\n",
	    rng_below(&r->rng, 2)
		? "services:\n"
		: "services:\n  old: {team: desk, tasks: 2, resources: "
		  "{millicpus: 100, memory: 1GiB}}\n",
	    1 + (int)rng_below(&r->rng, 4),
	    100 * (1 + (int)rng_below(&r->rng, 2)));
	struct cell_cmd cmd = { .type = CMD_CONFIG };

	cmd.u.config.version =
	    cell_config_version(r->c) + rng_below(&r->rng, 3);
	cmd.u.config.author = "ann";
	cmd.u.config.base = base;
	run_cmd(r, &cmd);
	g_free(base);
}

static void
random_entry(struct run *r)
{
	static char *const names[] = { "e1", "e2", "e3" };
	struct cell_cmd cmd = { .type = CMD_ENTRY,
		.u.entry = { .name = names[rng_below(&r->rng, 3)],
		    .address = "10.0.0.1:80",
		    .region = "cascadia",
		    .data_center = "salem",
		    .incarnation = rng_below(&r->rng, 3) } };
	struct cell_cmd removed = { .type = CMD_ENTRY_REMOVED,
		.u.entry_removed = (uint32_t)rng_below(&r->rng, 6) };

	run_cmd(r, rng_below(&r->rng, 3) ? &cmd : &removed);
}

static void
random_worker(struct run *r)
{
	static char *const names[] = { "w1", "w2", "w3", "w4" };
	int64_t cores = rng_below(&r->rng, 10) ? 4 : 2;
	size_t name = rng_below(&r->rng, G_N_ELEMENTS(names));
	struct cell_cmd cmd = { .type = CMD_WORKER,
		.u.announce.worker = { .name = names[name],
		    .address = "10.0.1.1:90",
		    .rack = "r1",
		    .data_center = "salem",
		    .incarnation = rng_below(&r->rng, 8) / 7,
		    .capacity = { cores * 1000, 64 * GIB, 0 },
		    .slots = name < 2 ? 3 : 6,
		    .connections = 64,
		    .home = (uint32_t)rng_below(&r->rng, 4) } };

	run_cmd(r, &cmd);
}

static void
random_worker_state(struct run *r)
{
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };

	cmd.u.worker_state.worker = 1 + (uint32_t)rng_below(&r->rng, 4);
	cmd.u.worker_state.state = rng_below(&r->rng, WORKER_LOST + 1);
	cmd.u.worker_state.set_aside = rng_below(&r->rng, 6) == 0;
	run_cmd(r, &cmd);
}

static void
random_submit(struct run *r)
{
	char *key = g_strdup_printf("k%d", (int)rng_below(&r->rng, 400));
	struct cell_cmd cmd = submit_cmd(rng_below(&r->rng, 5) ? key : NULL,
	    rng_below(&r->rng, 5) ? "run" : "print", rng_below(&r->rng, 3),
	    1 + (uint32_t)rng_below(&r->rng, TASKS_MAX),
	    rng_below(&r->rng, 2) == 0);

	run_cmd(r, &cmd);
	g_free(key);
}

static void
random_start(struct run *r)
{
	uint64_t id = random_job(r);
	const struct cell_job *job = cell_job(r->c, id);
	struct cell_cmd cmd = { .type = CMD_START };

	cmd.u.start.starts =
	    g_array_new(FALSE, TRUE, sizeof(struct cell_start));
	cmd.u.start.all_or_none = rng_below(&r->rng, 2) == 0;
	for (uint32_t i = 0; job != NULL && i < job->spec.tasks; i++) {
		struct cell_start s = { id, i,
			1 + (uint32_t)rng_below(&r->rng, 4) };

		if (rng_below(&r->rng, 12) > 0)
			g_array_append_val(cmd.u.start.starts, s);
	}
	run_cmd(r, &cmd);
	g_array_unref(cmd.u.start.starts);
}

static void
random_end(struct run *r)
{
	uint64_t id = random_job(r);
	const struct cell_job *job = cell_job(r->c, id);
	struct cell_cmd cmd = { .type = CMD_END };

	if (job == NULL)
		return;
	cmd.u.end.job = id;
	cmd.u.end.task = (uint32_t)rng_below(&r->rng, job->spec.tasks);
	cmd.u.end.attempt =
	    job->task[cmd.u.end.task].attempt - (rng_below(&r->rng, 8) == 0);
	cmd.u.end.worker = job->task[cmd.u.end.task].worker;
	cmd.u.end.how = rng_below(&r->rng, END_LOST + 1);
	cmd.u.end.result = g_bytes_new_static("true", 4);
	run_cmd(r, &cmd);
	g_bytes_unref(cmd.u.end.result);
}

static void
random_cancel(struct run *r)
{
	struct cell_cmd cmd = { .type = CMD_CANCEL,
		.u.cancel.job = random_job(r) };
	struct cell_cmd by_prefix = { .type = CMD_CANCEL };

	by_prefix.u.cancel.team = "desk";
	by_prefix.u.cancel.prefix = "pri";
	run_cmd(r,
	    rng_below(&r->rng, 4) && cmd.u.cancel.job != 0 ? &cmd : &by_prefix);
}

static void
random_expire(struct run *r)
{
	struct cell_cmd cmd = { .type = CMD_EXPIRE, .u.expire = random_job(r) };

	run_cmd(r, &cmd);
}

static void
random_preempt(struct run *r)
{
	struct cell_cmd cmd = { .type = CMD_PREEMPT };

	cmd.u.preempt.job = random_job(r);
	cmd.u.preempt.attempt = 1 + (uint32_t)rng_below(&r->rng, 2);
	run_cmd(r, &cmd);
}

/* Share of each command type in percent. */
static const struct {
	int share;
	void (*run)(struct run *r);
} mix[] = {
	{ 28, random_start },
	{ 28, random_end },
	{ 15, random_submit },
	{ 9, random_worker },
	{ 5, random_worker_state },
	{ 4, random_cancel },
	{ 3, random_config },
	{ 3, random_entry },
	{ 3, random_expire },
	{ 2, random_preempt },
};

static void
random_command(struct run *r)
{
	int pick = (int)rng_below(&r->rng, 100);
	size_t i = 0;

	while (pick >= mix[i].share)
		pick -= mix[i++].share;
	mix[i].run(r);
}

/* Replaces the second cell by one restored from a snapshot of the first. */
static void
restart_second(struct run *r)
{
	GBytes *snapshot = cell_snapshot(r->c);
	GError *err = NULL;

	cell_free(r->second);
	r->second = cell_new();
	cell_restore(r->second, snapshot, &err);
	g_assert_no_error(err);
	g_bytes_unref(snapshot);
}

static GHashTable *
key_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
test_random(gconstpointer seed)
{
	struct run r = { .c = cell_new(),
		.second = cell_new(),
		.rng = { GPOINTER_TO_UINT(seed) } };

	r.m = (struct mirror){ key_set(), key_set(), key_set() };
	cell_set_watch(r.c, &mirror_watch, &r);
	for (int i = 0; i < COMMANDS; i++) {
		random_command(&r);
		compare_mirror(&r);
		if (rng_below(&r.rng, 50) == 0) {
			assert_same(r.c, r.second);
			restart_second(&r);
		}
	}
	assert_same(r.c, r.second);
	g_hash_table_unref(r.m.pending);
	g_hash_table_unref(r.m.assigned);
	g_hash_table_unref(r.m.ran);
	cell_free(r.c);
	cell_free(r.second);
}

void
add_random_tests(void)
{
	for (guint seed = 1; seed <= 6; seed++) {
		char *path = g_strdup_printf("/cell/random/%u", seed);

		g_test_add_data_func(path, GUINT_TO_POINTER(seed), test_random);
		g_free(path);
	}
}
