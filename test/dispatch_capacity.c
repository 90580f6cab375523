/* lib/dispatch with workers whose capacity shrinks and grows, or that restart,
 * while starts are under way. */
#include "dispatch_test.h"
#include "stubleader.h"

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };

static struct stub_worker *
add_worker(struct leader *l)
{
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	return a;
}

/* Lets the leader place a job while a change of the worker is committed but
 * not applied yet. */
static void
place_before(struct leader *l, const struct stub_worker *a)
{
	uint64_t proposed;

	l->hold_commands = true;
	leader_send(l, REQUEST_SUBMIT, JOB_PATH,
	    leader_spec((struct flow_step){
		.count = 1, .resources = { 1000, 1 << 20, 0 } }));
	leader_send(l, REQUEST_WORKER, "", leader_worker(a, false));
	leader_apply(l);
	proposed = l->proposed;
	AWAIT(l, l->proposed > proposed);
	leader_release_commands(l);
}

/* A worker's capacity shrinks between the decision to start a run there and the
 * order: the order isn't sent. */
static void
test_capacity_shrinks_before_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	a->capacity.millicpus = 500;
	place_before(l, a);
	leader_run_for(l, 400);
	g_assert_cmpint(a->starts, ==, 0);
	leader_set_millicpus(l, a, 4000);
	AWAIT(l, a->running->len == 1);
	stub_worker_free(a);
	leader_free(l);
}

/* Orders a run, for which the worker gives no answer, and lets it shrink. */
static void
shrink_under_order(struct leader *l, struct stub_worker *a)
{
	a->hold_starts = 1000;
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts > 0);
	leader_set_millicpus(l, a, 500);
}

/* The run doesn't start before the worker has grown again. */
static void
check_start_withheld(struct leader *l, struct stub_worker *a)
{
	leader_run_for(l, 1500);
	g_assert_cmpuint(a->running->len, ==, 0);
	leader_set_millicpus(l, a, 4000);
	AWAIT(l, a->running->len == 1);
	stub_worker_free(a);
	leader_free(l);
}

/* It shrinks while an order waits for an answer: it isn't sent again. */
static void
test_capacity_shrinks_before_resend(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	shrink_under_order(l, a);
	a->hold_starts = 0;
	check_start_withheld(l, a);
}

/* It shrinks around a change of leader: the new one doesn't send the order for
 * a start that its predecessor committed. */
static void
test_capacity_shrinks_takeover(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	shrink_under_order(l, a);
	dispatch_resign(l->dispatch);
	a->hold_starts = 0;
	dispatch_lead(l->dispatch, 2);
	check_start_withheld(l, a);
}

/* A heartbeat that was sent before the worker shrank reaches the next leader
 * after that: it is not applied. */
static void
test_late_heartbeat_takeover(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);
	struct request late = { .op = REQUEST_WORKER,
		.host = (char *)"",
		.path = (char *)"",
		.seq = (int64_t)l->requests,
		.body = leader_worker(a, false) };

	leader_set_millicpus(l, a, 500);
	dispatch_resign(l->dispatch);
	dispatch_lead(l->dispatch, 2);
	leader_run_for(l, 50);
	dispatch_handle_request(l->dispatch, 0, &late);
	leader_run_for(l, 50);
	g_assert_cmpint(
	    flow_worker_named(l->flow, "a")->capacity.millicpus, ==, 500);
	leader_set_millicpus(l, a, 4000);
	g_assert_cmpint(
	    flow_worker_named(l->flow, "a")->capacity.millicpus, ==, 4000);
	g_bytes_unref(late.body);
	stub_worker_free(a);
	leader_free(l);
}

/* What runs on a worker that shrinks runs on; nothing more is started there
 * until there is room again. */
static void
test_capacity_shrinks_below_use(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	leader_submit(l, JOB_PATH, 6, 1000);
	AWAIT(l, a->running->len == 4);
	leader_set_millicpus(l, a, 2000);
	stub_worker_end(a, &first_run, AGENT_DONE);
	leader_run_for(l, 400);
	g_assert_cmpuint(a->running->len, ==, 3);
	g_assert_cmpint(a->stops, ==, 0);
	leader_set_millicpus(l, a, 4000);
	AWAIT(l, a->running->len == 4);
	stub_worker_free(a);
	leader_free(l);
}

/* Best-effort tasks take no cores from the capacity of a worker, whatever they
 * ask for, and leave its cores to others. */
static void
test_best_effort_cores(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	leader_submit_step(l, "/renders/0000000000000077",
	    (struct flow_step){ .count = 2,
		.resources = { 9000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.best_effort = true });
	AWAIT(l, a->running->len == 2);
	leader_submit(l, JOB_PATH, 4, 1000);
	AWAIT(l, a->running->len == 6);
	stub_worker_free(a);
	leader_free(l);
}

static void
restart_under_name(struct stub_worker *w)
{
	stub_worker_crash(w);
	stub_worker_restart_under_name(w);
}

/* A worker restarts under its name between the decision to start a run there
 * and the order: the order isn't sent to the new incarnation, which would run
 * the task although the run counts as ended. */
static void
test_restart_before_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	restart_under_name(a);
	place_before(l, a);
	AWAIT(l, a->running->len == 1);
	g_assert_cmpuint(
	    g_array_index(a->running, struct stub_run, 0).id.number, ==, 2);
	g_assert_cmpint(a->starts, ==, 1);
	stub_worker_free(a);
	leader_free(l);
}

/* A worker restarts under its name before an order for the earlier incarnation
 * is sent. The new one doesn't get it, and the task starts once. */
static void
test_restart_under_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int64_t until;

	leader_set_millicpus(l, b, 500);
	AWAIT(l, b->polls > 1);
	restart_under_name(a);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->greetings > 0);
	leader_run_for(l, 500);
	g_assert_cmpint(a->starts, ==, 0);
	leader_set_millicpus(l, b, 4000);
	leader_heartbeat(l, a, false);
	until = mono_ms() + 2000;
	while (mono_ms() < until) {
		g_assert_cmpuint(a->running->len + b->running->len, <=, 1);
		leader_run(l);
	}
	g_assert_cmpuint(a->running->len + b->running->len, ==, 1);
	g_assert_cmpint(a->starts + b->starts, ==, 1);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

void
capacity_tests_add(void)
{
	g_test_add_func("/dispatch/capacity-shrinks-before-order",
	    test_capacity_shrinks_before_order);
	g_test_add_func("/dispatch/capacity-shrinks-before-resend",
	    test_capacity_shrinks_before_resend);
	g_test_add_func("/dispatch/capacity-shrinks-takeover",
	    test_capacity_shrinks_takeover);
	g_test_add_func(
	    "/dispatch/capacity-late-heartbeat", test_late_heartbeat_takeover);
	g_test_add_func("/dispatch/capacity-shrinks-below-use",
	    test_capacity_shrinks_below_use);
	g_test_add_func("/dispatch/best-effort-cores", test_best_effort_cores);
	g_test_add_func(
	    "/dispatch/restart-before-order", test_restart_before_order);
	g_test_add_func(
	    "/dispatch/restart-under-order", test_restart_under_order);
}
