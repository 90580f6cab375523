/* lib/dispatch with workers that restart under their names. */
#include "dispatch_test.h"
#include "stubleader.h"

#define LEASE_MAX_MS 6000 /* as in the settings of the leader */
#define DOWN_MS 300
#define STOP_MS 300
#define ORDERS 5 /* more than there are connections for orders */

/* Returns a worker that obeys its lease, and is in contact. */
static struct stub_worker *
add_worker(struct leader *l, const char *name, int64_t millicpus)
{
	struct stub_worker *w = stub_worker_new(l->base, name);

	w->lease_max_ms = LEASE_MAX_MS;
	w->stop_ms = STOP_MS;
	w->capacity.millicpus = millicpus;
	leader_heartbeat(l, w, false);
	AWAIT(l, w->polls > 1);
	return w;
}

/* Runs the loop; no task may run on both workers. */
static void
step(struct leader *l, struct stub_worker *a, struct stub_worker *b)
{
	leader_run(l);
	(void)stub_worker_tick(a);
	(void)stub_worker_tick(b);
	for (guint i = 0; i < a->running->len; i++)
		g_assert_false(stub_worker_has_task(
		    b, &g_array_index(a->running, struct stub_run, i).id));
}

#define STEP_UNTIL(l, a, b, condition)                        \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			step(l, a, b);                        \
		}                                             \
	} while (0)

/*
 * Guards against a lease of the earlier incarnation that the later one takes
 * for its own: it outlasts what the leader has granted, and a run goes on after
 * it was started again elsewhere.
 */
static void
test_lease(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);

	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	stub_worker_crash(a);
	leader_run_for(l, DOWN_MS);
	stub_worker_restart_under_name(a);
	AWAIT(l, a->polls + a->greetings > 0);
	leader_heartbeat(l, a, false);
	STEP_UNTIL(l, a, b, a->running->len == 1);
	leader_run_for(l, DOWN_MS);
	a->unresponsive = true;
	leader_set_millicpus(l, b, 4000);
	STEP_UNTIL(l, a, b, b->running->len == 1);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against orders of the earlier incarnation, queued or without an
 * answer, that the later one carries out. */
static void
test_orders(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 8000);
	struct stub_worker *b = add_worker(l, "b", 500);
	int64_t until;

	a->hold_starts = ORDERS;
	leader_submit(l, JOB_PATH, ORDERS, 1000);
	AWAIT(l, a->held_starts->len > 0);
	stub_worker_crash(a);
	a->hold_starts = 0;
	stub_worker_restart_under_name(a);
	leader_run_for(l, DOWN_MS);
	g_assert_cmpint(a->starts, ==, 0);
	leader_heartbeat(l, a, false);
	leader_set_millicpus(l, b, 8000);
	until = mono_ms() + 2 * STOP_MS;
	while (mono_ms() < until)
		step(l, a, b);
	STEP_UNTIL(l, a, b, a->running->len + b->running->len == ORDERS);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a later incarnation that forgets its ends because those of the
 * earlier one are acknowledged to it: ends are numbered from 1 again. */
static void
test_acknowledgement(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 8000);
	struct stub_worker *b = add_worker(l, "b", 500);

	a->run_ms = 1;
	leader_submit(l, JOB_PATH, ORDERS, 1000);
	STEP_UNTIL(l, a, b, a->max_acked == ORDERS);
	stub_worker_crash(a);
	leader_run_for(l, DOWN_MS);
	stub_worker_restart_under_name(a);
	AWAIT(l, a->polls + a->greetings > 0);
	g_assert_cmpuint(a->max_acked, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Has worker a hold the start order of a job's task, crash and return under its
 * name. Then only worker b has room. */
static void
hold_start_and_restart(
    struct leader *l, struct stub_worker *a, struct stub_worker *b)
{
	a->carried = true;
	a->hold_starts = 1;
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->held_starts->len == 1);
	stub_worker_crash(a);
	a->hold_starts = 0;
	stub_worker_restart_under_name(a);
	a->capacity.millicpus = 500;
	stub_worker_take_longest_lease(a);
	b->capacity.millicpus = 4000;
}

/* Guards against a start order for the earlier incarnation that reaches the
 * later one after the task was started again elsewhere. */
static void
test_carried_start(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);

	hold_start_and_restart(l, a, b);
	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, false);
	STEP_UNTIL(l, a, b, b->running->len == 1);
	(void)stub_worker_execute_held(a);
	step(l, a, b);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a task that is started again elsewhere while its run, which a
 * start order for the earlier incarnation has started at the later one, is
 * still being stopped there. */
static void
test_carried_start_runs(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);

	hold_start_and_restart(l, a, b);
	g_assert_cmpint(stub_worker_execute_held(a), ==, 1);
	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, false);
	STEP_UNTIL(l, a, b, b->running->len == 1);
	step(l, a, b);
	g_assert_cmpint(a->stops, >, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a task that is done at the later incarnation, by a start order
 * for the earlier one, and runs again. */
static void
test_carried_start_done(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);

	hold_start_and_restart(l, a, b);
	g_assert_cmpint(stub_worker_execute_held(a), ==, 1);
	stub_worker_end(
	    a, &g_array_index(a->running, struct stub_run, 0).id, AGENT_DONE);
	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, false);
	STEP_UNTIL(l, a, b, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	g_assert_cmpint(b->starts, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* removed: the record of the earlier incarnation is removed before the later
 * one sends a heartbeat. */
static void
carry_lease(bool removed)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);

	stub_worker_crash(a);
	leader_run_for(l, DOWN_MS);
	stub_worker_restart_under_name(a);
	if (removed)
		AWAIT(l, flow_worker_named(l->flow, "a") == NULL);
	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	leader_run_for(l, DOWN_MS);
	stub_worker_take_longest_lease(a);
	a->unresponsive = true;
	leader_set_millicpus(l, b, 4000);
	STEP_UNTIL(l, a, b, b->running->len == 1);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a lease of the earlier incarnation that reaches the later one
 * over a connection that seemed to lead to the earlier: it outlasts what the
 * leader has granted. */
static void
test_carried_lease(void)
{
	carry_lease(false);
	carry_lease(true);
}

/* Guards against an order that the later incarnation answers in place of the
 * earlier, and that is taken for accepted there: the run goes on when its task
 * is started again. */
static void
test_carried_answer(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);
	int64_t heartbeat_ms;

	leader_run_for(l, 2000); /* clocks of both incarnations differ */
	leader_submit(l, "/renders/0000000000000077", 1, 1000);
	AWAIT(l, a->running->len == 1);
	stub_worker_replace(a);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	leader_set_millicpus(l, b, 4000);
	a->capacity.millicpus = 500;
	heartbeat_ms = mono_ms() + 2000; /* after the next poll is answered */
	STEP_UNTIL(l, a, b, mono_ms() >= heartbeat_ms);
	leader_heartbeat(l, a, false);
	STEP_UNTIL(l, a, b, b->running->len == 2);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against acknowledgements that every poll repeats: carried over, they
 * have the later incarnation forget ends that nobody knows. */
static void
test_acknowledged_once(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 8000);
	struct stub_worker *b = add_worker(l, "b", 500);
	int polls;

	a->run_ms = 1;
	leader_submit(l, JOB_PATH, ORDERS, 1000);
	STEP_UNTIL(l, a, b, a->max_acked == ORDERS);
	polls = a->polls;
	STEP_UNTIL(l, a, b, a->polls > polls + 1);
	g_assert_cmpuint(a->poll_acked, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a heartbeat that gives the address of another worker: what
 * runs there was started elsewhere, too. */
static void
test_claimed_address(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);
	struct flow_worker claim = { .name = (char *)"x",
		.address = a->address,
		.pool = (char *)"desk",
		.started_ms = a->started_ms + 1000,
		.capacity = a->capacity };
	int64_t until;

	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	stub_worker_complete_progress(a);
	leader_set_millicpus(l, b, 4000);
	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&claim));
	until = mono_ms() + LEASE_MAX_MS;
	while (mono_ms() < until)
		step(l, a, b);
	g_assert_cmpuint(a->running->len, ==, 1);
	g_assert_cmpint(b->starts, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

static void
count_incarnation(void *arg, const struct flow_worker *w)
{
	guint *count = arg;

	(*count)++;
}

/* Guards against a heartbeat of the earlier incarnation that comes while the
 * first one of the later is being committed: the worker then has two records,
 * and gets work for both. */
static void
test_late_heartbeat(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	GBytes *late = leader_worker(a, true);
	guint records = 0;
	int64_t until;

	stub_worker_crash(a);
	leader_run_for(l, 10);
	stub_worker_restart_under_name(a);
	l->hold_commands = true;
	leader_send(l, REQUEST_WORKER, "", leader_worker(a, false));
	leader_send(l, REQUEST_WORKER, "", late);
	leader_release_commands(l);
	leader_heartbeat(l, a, false);
	g_assert_cmpint(
	    flow_worker_named(l->flow, "a")->started_ms, ==, a->started_ms);
	leader_submit(l, JOB_PATH, ORDERS, 1000);
	until = mono_ms() + DOWN_MS;
	while (mono_ms() < until) {
		leader_run(l);
		g_assert_cmpuint(a->running->len, <, ORDERS);
	}
	AWAIT(l, a->running->len == ORDERS - 1);
	flow_each_worker(l->flow, count_incarnation, &records);
	g_assert_cmpuint(records, ==, 1);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against a late heartbeat that undoes the draining of a worker whose
 * first heartbeats are being committed. */
static void
test_late_ready(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct request late = { .op = REQUEST_WORKER,
		.host = (char *)"",
		.path = (char *)"",
		.body = leader_worker(a, false) };

	leader_run_for(l, 50);
	l->hold_commands = true;
	leader_send(l, REQUEST_WORKER, "", leader_worker(a, true));
	dispatch_handle_request(l->dispatch, 0, &late);
	leader_release_commands(l);
	g_assert_true(flow_worker_named(l->flow, "a")->draining);
	g_bytes_unref(late.body);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against a worker that is taken for another incarnation because its
 * list doesn't say when it has started. */
static void
test_unknown_start(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);
	struct stub_worker *b = add_worker(l, "b", 500);
	int64_t until;

	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	stub_worker_complete_progress(a);
	leader_set_millicpus(l, b, 4000);
	a->started_ms = 0;
	until = mono_ms() + 5 * DOWN_MS;
	while (mono_ms() < until)
		step(l, a, b);
	g_assert_cmpint(b->starts, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a permit that is asked for the earlier incarnation and used at
 * the later one, where it isn't valid. */
static void
test_permit(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a", 4000);

	l->policy_connected = true;
	dispatch_process_changed(l->dispatch, 1, true);
	leader_submit(l, "/allowed/0000000000000077", 1, 1000);
	AWAIT(l, l->calls->len == 1);
	stub_worker_crash(a);
	leader_run_for(l, 10);
	stub_worker_restart_under_name(a);
	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	leader_allow(l, l->calls->pdata[0], AWAIT_LIMIT_MS);
	AWAIT(l, l->calls->len == 1);
	g_assert_cmpint(a->starts, ==, 0);
	leader_allow(l, l->calls->pdata[0], AWAIT_LIMIT_MS);
	AWAIT(l, a->running->len == 1);
	stub_worker_free(a);
	leader_free(l);
}

void
restart_tests_add(void)
{
	g_test_add_func("/dispatch/restart-lease", test_lease);
	g_test_add_func("/dispatch/restart-orders", test_orders);
	g_test_add_func(
	    "/dispatch/restart-acknowledgement", test_acknowledgement);
	g_test_add_func(
	    "/dispatch/restart-late-heartbeat", test_late_heartbeat);
	g_test_add_func("/dispatch/restart-permit", test_permit);
	g_test_add_func("/dispatch/carried-start", test_carried_start);
	g_test_add_func(
	    "/dispatch/carried-start-runs", test_carried_start_runs);
	g_test_add_func(
	    "/dispatch/carried-start-done", test_carried_start_done);
	g_test_add_func("/dispatch/carried-lease", test_carried_lease);
	g_test_add_func("/dispatch/carried-answer", test_carried_answer);
	g_test_add_func("/dispatch/acknowledged-once", test_acknowledged_once);
	g_test_add_func("/dispatch/claimed-address", test_claimed_address);
	g_test_add_func("/dispatch/late-ready", test_late_ready);
	g_test_add_func("/dispatch/unknown-start", test_unknown_start);
}
