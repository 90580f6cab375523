/* lib/dispatch with workers that crash under a task and return. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

/* The first of DEADLY_MAX deadly jobs. */
#define DEADLY G_GUINT64_CONSTANT(0xdead0)
#define DEADLY_PATH "/renders/00000000000dead0"
#define DEADLY_MAX 4
#define TASKS_MAX 5 /* of a deadly job */
#define WORKERS_MAX 12
#define HEARTBEAT_MS 100
#define FLEET_LIMIT_MS 90000 /* only a fault takes that long */
/* By then the lease of a lost worker has expired. */
#define LEASE_LIMIT_MS 7000
/* Three under which a worker crashes, and two more. */
#define DEADLY_STARTS_MAX 5

/* Workers that send heartbeats and return after a crash. */
struct fleet {
	struct leader *l;
	struct stub_worker *worker[WORKERS_MAX];
	int count;
	int64_t heartbeat_ms;
	int innocents; /* jobs submitted by submit_innocent() */
	uint64_t term;
};

static int deadly_starts[DEADLY_MAX][TASKS_MAX]; /* by job and task */

static bool
is_of_deadly_job(const struct flow_run *id)
{
	return id->job >= DEADLY && id->job < DEADLY + DEADLY_MAX;
}

static bool
is_deadly(const struct flow_run *id)
{
	if (!is_of_deadly_job(id))
		return false;
	deadly_starts[id->job - DEADLY][id->index]++;
	return true;
}

/* Only one member of the gang is deadly. */
static bool
is_deadly_member(const struct flow_run *id)
{
	return id->index == 1 && is_deadly(id);
}

static void
fleet_heartbeats(struct fleet *f)
{
	f->heartbeat_ms = mono_ms();
	for (int i = 0; i < f->count; i++)
		if (f->worker[i]->server != NULL && !f->worker[i]->unresponsive)
			leader_send(f->l, REQUEST_WORKER, "",
			    leader_worker(f->worker[i], false));
}

static struct fleet
fleet_new(int count, int64_t down_ms)
{
	struct fleet f = { .l = leader_new(), .count = count, .term = 1 };

	memset(deadly_starts, 0, sizeof(deadly_starts));
	for (int i = 0; i < count; i++) {
		char *name = g_strdup_printf("w%d", i);

		f.worker[i] = stub_worker_new(f.l->base, name);
		f.worker[i]->is_deadly = is_deadly;
		f.worker[i]->never_ends = is_of_deadly_job;
		f.worker[i]->run_ms = 300;
		f.worker[i]->down_ms = down_ms;
		g_free(name);
	}
	fleet_heartbeats(&f);
	AWAIT(f.l, f.worker[count - 1]->polls > 0);
	return f;
}

static void
fleet_free(struct fleet *f)
{
	for (int i = 0; i < f->count; i++)
		stub_worker_free(f->worker[i]);
	leader_free(f->l);
}

static void
fleet_step(struct fleet *f)
{
	bool restarted = false;

	leader_run(f->l);
	for (int i = 0; i < f->count; i++)
		restarted |= stub_worker_tick(f->worker[i]);
	if (restarted || mono_ms() - f->heartbeat_ms >= HEARTBEAT_MS)
		fleet_heartbeats(f);
}

#define FLEET_AWAIT(f, condition)                             \
	do {                                                  \
		int64_t limit = mono_ms() + FLEET_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			fleet_step(f);                        \
		}                                             \
	} while (0)

static void
fleet_run_for(struct fleet *f, int64_t ms)
{
	int64_t until = mono_ms() + ms;

	while (mono_ms() < until)
		fleet_step(f);
}

static int
crashes(const struct fleet *f)
{
	int n = 0;

	for (int i = 0; i < f->count; i++)
		n += f->worker[i]->crashes;
	return n;
}

/* Says whether a deadly job was given up; it must not be started too often. */
static bool
is_given_up(const struct fleet *f, int job)
{
	for (int i = 0; i < TASKS_MAX; i++)
		g_assert_cmpint(deadly_starts[job][i], <=, DEADLY_STARTS_MAX);
	return flow_job(f->l->flow, DEADLY + (uint64_t)job)->state ==
	    FLOW_FAILED;
}

static uint64_t
innocent_id(int i)
{
	return 0x1000 + (uint64_t)i;
}

static void
submit_innocent(struct fleet *f)
{
	char *path = g_strdup_printf(
	    "/renders/%016" G_GINT64_MODIFIER "x", innocent_id(f->innocents++));

	leader_submit(f->l, path, 1, 1000);
	g_free(path);
}

/* Awaits the end of all innocent jobs; none may have failed. */
static void
await_innocents(struct fleet *f)
{
	for (int i = 0; i < f->innocents; i++) {
		const struct flow_job *job =
		    flow_job(f->l->flow, innocent_id(i));

		FLEET_AWAIT(f, flow_job_ended(job));
		g_assert_cmpint(job->state, ==, FLOW_COMPLETED);
	}
}

/* Awaits that the first deadly job is given up, while innocent ones come. */
static void
await_given_up(struct fleet *f)
{
	int64_t limit = mono_ms() + FLEET_LIMIT_MS;

	while (!is_given_up(f, 0)) {
		g_assert_cmpint(mono_ms(), <, limit);
		submit_innocent(f);
		fleet_run_for(f, 50);
	}
}

/* A task crashes every worker that starts it, among tasks that don't. It was
 * started again without end. */
static void
test_deadly_task(void)
{
	struct fleet f = fleet_new(4, 400);

	for (int i = 0; i < 8; i++)
		submit_innocent(&f);
	leader_submit(f.l, DEADLY_PATH, 1, 1000);
	await_given_up(&f);
	g_assert_cmpint(crashes(&f), >=, 2);
	await_innocents(&f);
	fleet_free(&f);
}

/* The task crashes its worker some time after its start. */
static void
test_deadly_task_late(void)
{
	struct fleet f = fleet_new(4, 400);

	for (int i = 0; i < f.count; i++)
		f.worker[i]->deadly_after_ms = 2000;
	leader_submit_step(f.l, DEADLY_PATH,
	    (struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.best_effort = true /* no progress is expected */ });
	await_given_up(&f);
	await_innocents(&f);
	fleet_free(&f);
}

/* The same when the workers stay down for longer than a lease. */
static void
test_deadly_task_long_outage(void)
{
	struct fleet f = fleet_new(6, 9000);

	leader_submit(f.l, DEADLY_PATH, 1, 1000);
	await_given_up(&f);
	await_innocents(&f);
	fleet_free(&f);
}

/* The count of crashes outlives the leader, which is replaced after each. */
static void
test_deadly_task_takeover(void)
{
	struct fleet f = fleet_new(4, 400);
	int seen = 0;

	leader_submit(f.l, DEADLY_PATH, 1, 1000);
	while (!is_given_up(&f, 0)) {
		fleet_step(&f);
		if (crashes(&f) == seen)
			continue;
		seen = crashes(&f);
		dispatch_resign(f.l->dispatch);
		fleet_run_for(&f, 100);
		dispatch_lead(f.l->dispatch, ++f.term);
	}
	fleet_free(&f);
}

/* One member of a gang crashes its workers. */
static void
test_deadly_gang(void)
{
	struct fleet f = fleet_new(4, 400);

	for (int i = 0; i < f.count; i++)
		f.worker[i]->is_deadly = is_deadly_member;
	leader_submit_step(f.l, DEADLY_PATH,
	    (struct flow_step){ .count = 3,
		.resources = { 2000, 1 << 20, 0 },
		.runtime_ms = 1000,
		.gang = true });
	await_given_up(&f);
	await_innocents(&f);
	fleet_free(&f);
}

/* Awaits that all deadly jobs are given up, while innocent ones come. */
static void
await_all_given_up(struct fleet *f)
{
	int64_t limit = mono_ms() + FLEET_LIMIT_MS;
	int given_up = 0;

	while (given_up < DEADLY_MAX) {
		g_assert_cmpint(mono_ms(), <, limit);
		for (int i = 0; i < 4; i++)
			submit_innocent(f);
		fleet_run_for(f, 50);
		given_up = 0;
		for (int i = 0; i < DEADLY_MAX; i++)
			given_up += is_given_up(f, i);
	}
}

/* Gangs of which every member is deadly: each of their runs crashes several
 * workers at once, with what runs beside them. */
static void
test_deadly_gangs(void)
{
	struct fleet f = fleet_new(WORKERS_MAX, 400);

	for (int i = 0; i < DEADLY_MAX; i++) {
		char *path = g_strdup_printf(
		    "/renders/%016" G_GINT64_MODIFIER "x", DEADLY + (guint64)i);

		leader_submit_step(f.l, path,
		    (struct flow_step){ .count = TASKS_MAX,
			.resources = { 1500, 1 << 20, 0 },
			.runtime_ms = 1000,
			.gang = true });
		g_free(path);
	}
	await_all_given_up(&f);
	await_innocents(&f);
	fleet_free(&f);
}

/* Several deadly jobs at once on workers that innocent ones fill: each of them
 * is given up, and no innocent one. */
static void
test_deadly_crowd(void)
{
	struct fleet f = fleet_new(6, 400);

	for (int i = 0; i < DEADLY_MAX; i++) {
		char *path = g_strdup_printf(
		    "/renders/%016" G_GINT64_MODIFIER "x", DEADLY + (guint64)i);

		leader_submit(f.l, path, 1, 1000);
		g_free(path);
	}
	await_all_given_up(&f);
	await_innocents(&f);
	fleet_free(&f);
}

/* A worker that is silent for longer than a lease, again and again, has not
 * crashed: what it ran is restarted, and never given up. */
static void
test_silent_worker_no_crash(void)
{
	struct fleet f = fleet_new(1, 0);
	struct stub_worker *w = f.worker[0];

	w->run_ms = 0;
	leader_submit(f.l, JOB_PATH, 1, 1000);
	for (uint32_t i = 1; i <= 4; i++) {
		FLEET_AWAIT(&f, w->running->len == 1);
		w->unresponsive = true;
		fleet_run_for(&f, LEASE_LIMIT_MS);
		g_array_set_size(w->running, 0); /* its leases have expired */
		w->unresponsive = false;
	}
	FLEET_AWAIT(&f, w->running->len == 1);
	w->run_ms = 1;
	FLEET_AWAIT(&f, flow_job(f.l->flow, JOB)->state == FLOW_COMPLETED);
	fleet_free(&f);
}

/* A run is placed on a worker that has just crashed. Its order can't be sent,
 * so it starts elsewhere without waiting for the lease of that worker, and is
 * no suspect. */
static void
test_unreachable_worker(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	struct flow_run second = { JOB, 0, 0, 0, 2 };

	leader_heartbeat(l, a, false);
	AWAIT(l, a->lease_until_ms > 0);
	leader_submit(l, "/renders/0000000000000077", 1, 1000);
	AWAIT(l, a->running->len == 1);
	stub_worker_crash(a);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_RUNNING);
	leader_heartbeat(l, b, false);
	AWAIT(l, stub_worker_runs(b, &second));
	g_assert_cmpint(mono_ms(), <, a->lease_until_ms);
	stub_worker_restart(a);
	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 0);
	g_assert_cmpuint(
	    flow_task_suspicion(flow_task(l->flow, &second, NULL)), ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A step that could start may have nothing running for this time. */
#define START_LIMIT_MS 3000

/* Says whether so many workers have crashed under the tasks of the first deadly
 * job and all of its tasks run. */
static bool
is_running_after(const struct fleet *f, uint32_t crashed)
{
	uint32_t sum = 0;

	for (int i = 0; i < f->count; i++) {
		struct flow_run id = { DEADLY, 0, 0, (uint32_t)i, 0 };
		const struct flow_task *task = flow_task(f->l->flow, &id, NULL);

		if (task == NULL || f->worker[i]->running->len != 1)
			return false;
		sum += flow_task_suspicion(task);
	}
	return sum == crashed;
}

/* Has each worker run a long-running task under which two workers have crashed,
 * so that each of these runs is isolated. */
static void
isolate_all(struct fleet *f)
{
	for (int i = 0; i < f->count; i++)
		f->worker[i]->is_deadly = NULL;
	leader_submit_step(f->l, DEADLY_PATH,
	    (struct flow_step){ .count = (uint32_t)f->count,
		.resources = { 500, 1 << 20, 0 },
		.max_per_worker = 1,
		.long_running = true });
	for (int i = 0; i < 2 * f->count; i++) {
		FLEET_AWAIT(f, is_running_after(f, (uint32_t)i));
		stub_worker_crash(f->worker[i % f->count]);
	}
	FLEET_AWAIT(f, is_running_after(f, 2 * (uint32_t)f->count));
	fleet_run_for(f, 2 * HEARTBEAT_MS);
}

/* Guards against isolated runs that keep jobs from all workers for as long as
 * they are isolated (review/8): they keep a quarter, the one whose run has
 * started last. */
static void
test_isolation_bounded(void)
{
	struct fleet f = fleet_new(4, 200);
	int64_t submitted_ms;

	isolate_all(&f);
	for (int i = 0; i < f.count; i++)
		f.worker[i]->starts = 0;
	submitted_ms = mono_ms();
	for (int i = 0; i < 6; i++)
		submit_innocent(&f);
	await_innocents(&f);
	g_assert_cmpint(mono_ms() - submitted_ms, <, START_LIMIT_MS);
	g_assert_cmpint(f.worker[f.count - 1]->starts, ==, 0);
	fleet_free(&f);
}

/* Guards against a gang that needs every worker and waits for as long as one of
 * them has an isolated run. */
static void
test_isolation_gang(void)
{
	struct fleet f = fleet_new(4, 200);
	const struct flow_job *job;
	int64_t submitted_ms;

	isolate_all(&f);
	submitted_ms = mono_ms();
	leader_submit_step(f.l, JOB_PATH,
	    (struct flow_step){ .count = 4,
		.resources = { 3000, 1 << 20, 0 },
		.runtime_ms = 300,
		.gang = true });
	job = flow_job(f.l->flow, JOB);
	FLEET_AWAIT(&f, job->state != FLOW_QUEUED);
	g_assert_cmpint(mono_ms() - submitted_ms, <, START_LIMIT_MS);
	FLEET_AWAIT(&f, flow_job_ended(job));
	g_assert_cmpint(job->state, ==, FLOW_COMPLETED);
	fleet_free(&f);
}

void
crash_tests_add(void)
{
	g_test_add_func("/dispatch/deadly-task", test_deadly_task);
	g_test_add_func("/dispatch/deadly-task-late", test_deadly_task_late);
	g_test_add_func(
	    "/dispatch/deadly-task-long-outage", test_deadly_task_long_outage);
	g_test_add_func(
	    "/dispatch/deadly-task-takeover", test_deadly_task_takeover);
	g_test_add_func("/dispatch/deadly-gang", test_deadly_gang);
	g_test_add_func("/dispatch/deadly-gangs", test_deadly_gangs);
	g_test_add_func("/dispatch/deadly-crowd", test_deadly_crowd);
	g_test_add_func("/dispatch/isolation-bounded", test_isolation_bounded);
	g_test_add_func("/dispatch/isolation-gang", test_isolation_gang);
	g_test_add_func(
	    "/dispatch/unreachable-worker", test_unreachable_worker);
	g_test_add_func(
	    "/dispatch/silent-worker-no-crash", test_silent_worker_no_crash);
}
