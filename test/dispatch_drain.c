/* lib/dispatch with workers that drain while they have runs. */
#include "dispatch_test.h"
#include "stubleader.h"

/* Less than the 1.5 s after which a run without progress is moved. */
#define DRAIN_MS 1400

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };
static const struct flow_run second_run = { JOB, 0, 0, 0, 2 };
static const struct flow_run other_run = { 0x77, 0, 0, 0, 1 };

/* Starts a task with checkpoints and one without on a worker. */
static struct stub_worker *
add_busy_worker(struct leader *l)
{
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_step step = { .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.checkpointing = true };

	leader_heartbeat(l, a, false);
	leader_submit_step(l, JOB_PATH, step);
	step.checkpointing = false;
	leader_submit_step(l, "/renders/0000000000000077", step);
	AWAIT(l,
	    stub_worker_runs(a, &first_run) && stub_worker_runs(a, &other_run));
	return a;
}

/*
 * A run that ends just as its worker leaves is not known to have ended, and its
 * task runs twice. One that resumes elsewhere is stopped before the worker may
 * leave; one that doesn't may still end in time.
 */
static void
test_evacuates(void)
{
	struct leader *l = leader_new_draining(DRAIN_MS);
	struct stub_worker *a = add_busy_worker(l);
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int64_t draining_ms = mono_ms();

	leader_heartbeat(l, b, false);
	leader_heartbeat(l, a, true);
	AWAIT(l, stub_worker_runs(b, &second_run));
	g_assert_cmpint(mono_ms() - draining_ms, >, DRAIN_MS / 3);
	g_assert_cmpint(a->stops, ==, 1);
	g_assert_true(stub_worker_runs(a, &other_run));
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Without the setting nothing is stopped: a run would lose its turn although
 * its worker may stay. */
static void
test_unknown(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_busy_worker(l);

	leader_heartbeat(l, a, true);
	leader_run_for(l, DRAIN_MS);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against a deregistration that is delivered late, and takes the next
 * incarnation of the worker out of use for good. */
static void
test_old_deregistration(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	leader_request(l, REQUEST_WORKER_LEFT, "a", NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	leader_submit(l, JOB_PATH, 1, 1000);
	leader_run_for(l, 300);
	g_assert_cmpint(a->starts, ==, 0);
	leader_heartbeat(l, a, false);
	AWAIT(l, stub_worker_runs(a, &first_run));
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against new work for a worker that has drained and left, and whose
 * earlier heartbeat comes late, also after a change of leader. */
static void
test_left_for_good(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");

	leader_heartbeat(l, a, false);
	leader_heartbeat(l, a, true);
	AWAIT(l, a->polls > 1);
	leader_request(l, REQUEST_WORKER_LEFT, "a", NULL);
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	leader_run_for(l, 300);
	dispatch_resign(l->dispatch);
	dispatch_lead(l->dispatch, 2);
	leader_heartbeat(l, a, false);
	leader_run_for(l, 300);
	leader_heartbeat(l, b, false);
	AWAIT(l, stub_worker_runs(b, &first_run));
	g_assert_cmpint(a->starts, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

void
drain_tests_add(void)
{
	g_test_add_func("/dispatch/drain-evacuates", test_evacuates);
	g_test_add_func("/dispatch/drain-unknown", test_unknown);
	g_test_add_func(
	    "/dispatch/drain-old-deregistration", test_old_deregistration);
	g_test_add_func("/dispatch/drain-left-for-good", test_left_for_good);
}
