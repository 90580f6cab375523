/* lib/dispatch with several policy processes: queries for one step at a time,
 * their failures, and answers that come late. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

#define WORKERS 24 /* more than a short query names */
#define PROCESSES 4
#define VALID_MS 20000 /* of permits; no test takes so long */
#define UNHURRIED_MS 10000 /* run time of a gang with as much to spare */
#define GANG 0x77
#define GANG_PATH "/allowed/0000000000000077"

/* A leader with idle policy processes and workers with room for one member of a
 * gang each. */
struct cell {
	struct leader *leader;
	struct stub_worker *workers[WORKERS];
};

static void
connect_processes(struct cell *c)
{
	for (uint64_t i = 1; i <= PROCESSES; i++)
		dispatch_process_changed(c->leader->dispatch, i, true);
}

static struct cell
cell_without_processes(void)
{
	struct cell c = { .leader = leader_new() };

	c.leader->policy_connected = true;
	for (guint i = 0; i < WORKERS; i++) {
		char *name = g_strdup_printf("w%u", i);

		c.workers[i] = stub_worker_new(c.leader->base, name);
		leader_heartbeat(c.leader, c.workers[i], false);
		g_free(name);
	}
	for (guint i = 0; i < WORKERS; i++)
		AWAIT(c.leader, c.workers[i]->polls > 1);
	return c;
}

static struct cell
cell_new(void)
{
	struct cell c = cell_without_processes();

	connect_processes(&c);
	return c;
}

static void
cell_free(struct cell *c)
{
	for (guint i = 0; i < WORKERS; i++)
		stub_worker_free(c->workers[i]);
	leader_free(c->leader);
}

static guint
count_runs(const struct cell *c)
{
	guint runs = 0;

	for (guint i = 0; i < WORKERS; i++)
		runs += c->workers[i]->running->len;
	return runs;
}

/* Makes all runs report progress of 100%, so that none is stopped as stuck. */
static void
complete_progress(const struct cell *c)
{
	for (guint i = 0; i < WORKERS; i++)
		stub_worker_complete_progress(c->workers[i]);
}

static struct stub_call *
call_at(const struct cell *c, guint index)
{
	return c->leader->calls->pdata[index];
}

static const struct flow_step gang_step = { .count = 8,
	.resources = { 4000, 1 << 20, 0 },
	.runtime_ms = 60000,
	.gang = true };

/* Submits a gang that the workers of one call suffice for, and waits until it
 * is queried for by two processes. */
static void
submit_gang(struct cell *c)
{
	leader_submit_step(c->leader, GANG_PATH, gang_step);
	AWAIT(c->leader, c->leader->calls->len == 2);
}

/* A gang is queried for by several processes at once, about different workers,
 * and starts as soon as enough of them are allowed. Guards against gangs that
 * wait for one long call after another. */
static void
test_split(void)
{
	struct cell c = cell_new();
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);

	submit_gang(&c);
	leader_run_for(c.leader, 100);
	g_assert_cmpuint(c.leader->calls->len, ==, 2);
	g_assert_cmpuint(call_at(&c, 0)->process, !=, call_at(&c, 1)->process);
	for (guint i = 0; i < 2; i++)
		for (char **w = call_at(&c, i)->workers; *w != NULL; w++)
			g_assert_true(g_hash_table_add(named, *w));
	g_assert_cmpuint(g_hash_table_size(named), ==, WORKERS);
	g_hash_table_unref(named);
	leader_allow(c.leader, call_at(&c, 1), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 8);
	/* The other answer is of no use any more, and does no harm. */
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	leader_run_for(c.leader, 100);
	g_assert_cmpuint(count_runs(&c), ==, 8);
	cell_free(&c);
}

/* One query of a gang fails: the gang starts with the answer to the other.
 * Guards against a failure that discards the other queries of the step. */
static void
test_query_fails(void)
{
	struct cell c = cell_new();

	submit_gang(&c);
	leader_fail_call(c.leader, call_at(&c, 0));
	leader_run_for(c.leader, 20);
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 8);
	cell_free(&c);
}

static bool
is_named_in(const struct stub_call *call, const char *worker)
{
	return g_strv_contains((const char *const *)call->workers, worker);
}

/* A process disconnects: another one asks about the workers of its query, while
 * the other query goes on. Guards against workers that stay marked as asked
 * about, and against a gang that waits for an answer that never comes. */
static void
test_process_lost(void)
{
	struct cell c = cell_new();
	uint64_t lost;

	submit_gang(&c);
	lost = call_at(&c, 0)->process;
	dispatch_process_changed(c.leader->dispatch, lost, false);
	AWAIT(c.leader, c.leader->calls->len == 3);
	g_assert_cmpuint(call_at(&c, 2)->process, !=, lost);
	g_assert_cmpuint(call_at(&c, 2)->process, !=, call_at(&c, 1)->process);
	for (char **w = call_at(&c, 2)->workers; *w != NULL; w++) {
		g_assert_true(is_named_in(call_at(&c, 0), *w));
		g_assert_false(is_named_in(call_at(&c, 1), *w));
	}
	/* An answer of the lost process is ignored. */
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	leader_run_for(c.leader, 100);
	g_assert_cmpuint(count_runs(&c), ==, 0);
	leader_allow(c.leader, call_at(&c, 1), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 8);
	cell_free(&c);
}

/* Answers that come after the job was cancelled are ignored, and the processes
 * are idle again. Guards against the use of state that has gone with the job,
 * and against processes that stay occupied. */
static void
test_late_answers(void)
{
	struct cell c = cell_new();

	submit_gang(&c);
	leader_request(c.leader, REQUEST_CANCEL, GANG_PATH, NULL);
	while (c.leader->calls->len > 0)
		leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	leader_run_for(c.leader, 100);
	g_assert_cmpuint(count_runs(&c), ==, 0);
	for (guint i = 0; i < PROCESSES; i++) {
		char *path = g_strdup_printf("/allowed/%016x", 0x100 + i);

		leader_submit_step(c.leader, path,
		    (struct flow_step){ .count = 1,
			.resources = { 1000, 1 << 20, 0 },
			.runtime_ms = 60000 });
		g_free(path);
	}
	AWAIT(c.leader, c.leader->calls->len == PROCESSES);
	cell_free(&c);
}

/* The next leader starts without permits and queries anew; an answer to a query
 * of the last one is ignored. Guards against a permit that is recorded for
 * another step than it was asked for. */
static void
test_takeover(void)
{
	struct cell c = cell_new();

	submit_gang(&c);
	dispatch_resign(c.leader->dispatch);
	dispatch_lead(c.leader->dispatch, 2);
	AWAIT(c.leader, c.leader->calls->len == 4);
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	leader_run_for(c.leader, 100);
	g_assert_cmpuint(count_runs(&c), ==, 0);
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 8);
	cell_free(&c);
}

/* A step of one task gets one small query, however many processes are idle, and
 * no other before the answer. Guards against short urgent jobs that occupy the
 * processes. */
static void
test_single(void)
{
	struct cell c = cell_new();

	leader_submit_step(c.leader, GANG_PATH,
	    (struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000 });
	AWAIT(c.leader, c.leader->calls->len == 1);
	leader_run_for(c.leader, 200);
	g_assert_cmpint(c.leader->queries, ==, 1);
	g_assert_cmpuint(g_strv_length(call_at(&c, 0)->workers), <, 10);
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 1);
	g_assert_cmpint(c.leader->queries, ==, 1);
	cell_free(&c);
}

/* The worker that runs a task. */
static struct stub_worker *
worker_of(const struct cell *c, const struct flow_run *id)
{
	for (guint i = 0; i < WORKERS; i++)
		if (stub_worker_runs(c->workers[i], id))
			return c->workers[i];
	return NULL;
}

static const struct flow_run first_step_run = { GANG, 0, 0, 0, 1 };

/* Starts a job with a gang that depends on a single task, which is expected to
 * run for so long. Returns the worker of that task. */
static struct stub_worker *
start_chain(struct cell *c, int64_t runtime_ms)
{
	leader_request(c->leader, REQUEST_SUBMIT, GANG_PATH,
	    leader_spec_chain((struct flow_step){ .count = 1,
				  .resources = { 1000, 1 << 20, 0 },
				  .runtime_ms = runtime_ms },
		gang_step));
	AWAIT(c->leader, c->leader->calls->len == 1);
	leader_allow(c->leader, call_at(c, 0), VALID_MS);
	AWAIT(c->leader, worker_of(c, &first_step_run) != NULL);
	complete_progress(c);
	return worker_of(c, &first_step_run);
}

/* A gang is queried for shortly before the step that it depends on ends, also
 * about the worker that this will free, and starts without another query.
 * Guards against a query that delays each step of a job after the first. */
static void
test_ahead(void)
{
	struct cell c = cell_new();
	struct stub_worker *w = start_chain(&c, 3000);
	bool named = false;
	int queries;

	leader_run_for(c.leader, 300);
	g_assert_cmpuint(c.leader->calls->len, ==, 0);
	AWAIT(c.leader, c.leader->calls->len == 2);
	g_assert_true(stub_worker_runs(w, &first_step_run));
	g_assert_cmpuint(call_at(&c, 0)->step, ==, 1);
	for (guint i = 0; i < 2; i++)
		named |= is_named_in(call_at(&c, i), w->name);
	g_assert_true(named);
	while (c.leader->calls->len > 0)
		leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	queries = c.leader->queries;
	stub_worker_end(w, &first_step_run, AGENT_DONE);
	AWAIT(c.leader, count_runs(&c) == 8);
	g_assert_cmpint(c.leader->queries, ==, queries);
	cell_free(&c);
}

/* A step that runs much longer than expected: its successor is queried for only
 * a few times. Guards against processes that renew permits nobody can use. */
static void
test_ahead_overdue(void)
{
	struct cell c = cell_new();
	int64_t until;

	(void)start_chain(&c, 100);
	until = mono_ms() + 3000;
	while (mono_ms() < until) {
		while (c.leader->calls->len > 0)
			leader_allow(c.leader, call_at(&c, 0), 350);
		leader_run(c.leader);
	}
	/* One for the first step, two calls each time for the second. */
	g_assert_cmpint(c.leader->queries, >=, 3);
	g_assert_cmpint(c.leader->queries, <=, 5);
	cell_free(&c);
}

/* A gang that finds no room and can't be on time any more: meanwhile it is
 * learned which workers are allowed, and once there is room only these are
 * asked about, although all permits have expired. Guards against gangs that
 * begin to ask when they could start, about workers that are denied. */
static void
test_learn(void)
{
	struct cell c = cell_without_processes();
	char **allowed;

	leader_submit(c.leader, JOB_PATH, 18, 4000);
	AWAIT(c.leader, count_runs(&c) == 18);
	complete_progress(&c);
	leader_submit_step(c.leader, GANG_PATH,
	    (struct flow_step){
		.count = 8, .resources = { 4000, 1 << 20, 0 }, .gang = true });
	leader_run_for(c.leader, 2500);
	connect_processes(&c);
	AWAIT(c.leader, c.leader->calls->len == 2);
	allowed = g_strdupv(call_at(&c, 0)->workers);
	leader_allow(c.leader, call_at(&c, 0), 1);
	leader_deny(c.leader, call_at(&c, 0));
	leader_run_for(c.leader, 300);
	g_assert_cmpuint(c.leader->calls->len, ==, 0);
	for (uint32_t i = 0; i < 18; i++) {
		struct flow_run id = { JOB, 0, 0, i, 1 };

		stub_worker_end(worker_of(&c, &id), &id, AGENT_DONE);
	}
	AWAIT(c.leader, c.leader->calls->len == 1);
	for (char **w = call_at(&c, 0)->workers; *w != NULL; w++)
		g_assert_true(
		    g_strv_contains((const char *const *)allowed, *w));
	leader_allow(c.leader, call_at(&c, 0), VALID_MS);
	AWAIT(c.leader, count_runs(&c) == 8);
	g_strfreev(allowed);
	cell_free(&c);
}

/* A gang that would be late on slow workers is denied the fast ones. Guards
 * against a gang that waits for them, beside workers that are free, until its
 * latest start has passed. */
static void
test_fast_denied(void)
{
	struct leader *l = leader_new_uneven(1.75);
	struct stub_worker *workers[3];
	struct stub_worker *slow;
	int64_t denied_ms;

	run_uneven(l, workers);
	leader_run_for(l, 700); /* until the speeds are in effect */
	slow = workers[2];
	l->policy_connected = true;
	dispatch_process_changed(l->dispatch, 1, true);
	leader_submit_step(l, GANG_PATH,
	    (struct flow_step){ .count = 2,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = UNHURRIED_MS,
		.gang = true });
	AWAIT(l, l->calls->len == 1);
	leader_deny(l, l->calls->pdata[0]);
	denied_ms = mono_ms();
	AWAIT(l, l->calls->len == 1);
	g_assert_cmpint(mono_ms() - denied_ms, <, UNHURRIED_MS / 2);
	leader_allow(l, l->calls->pdata[0], VALID_MS);
	AWAIT(l, slow->running->len == 2);
	for (int i = 0; i < 3; i++)
		stub_worker_free(workers[i]);
	leader_free(l);
}

void
policy_tests_add(void)
{
	g_test_add_func("/dispatch/policy-split", test_split);
	g_test_add_func("/dispatch/policy-query-fails", test_query_fails);
	g_test_add_func("/dispatch/policy-process-lost", test_process_lost);
	g_test_add_func("/dispatch/policy-late-answers", test_late_answers);
	g_test_add_func("/dispatch/policy-takeover", test_takeover);
	g_test_add_func("/dispatch/policy-single", test_single);
	g_test_add_func("/dispatch/policy-ahead", test_ahead);
	g_test_add_func("/dispatch/policy-ahead-overdue", test_ahead_overdue);
	g_test_add_func("/dispatch/policy-learn", test_learn);
	g_test_add_func("/dispatch/policy-fast-denied", test_fast_denied);
}
