/* lib/dispatch with stub workers: leases, lost orders, ended runs. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };
static const struct flow_run second_run = { JOB, 0, 0, 0, 2 };

static const struct flow_task *
first_task(struct leader *l)
{
	return flow_task(l->flow, &first_run, NULL);
}

/* A worker crashes. Its run restarts on another worker once its lease has
 * expired, not before; unanswered polls must not extend the lease. */
static void
test_lease_expiry(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int64_t lease_until_ms;

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	AWAIT(l, a->lease_until_ms > 0);
	lease_until_ms = a->lease_until_ms;
	stub_worker_crash(a);
	leader_heartbeat(l, b, false);
	AWAIT(l, stub_worker_runs(b, &second_run));
	g_assert_cmpint(mono_ms(), >, lease_until_ms);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A start order that gets no answer is resent; the run starts once. */
static void
test_lost_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->hold_starts = 1;
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	g_assert_cmpint(a->starts, ==, 2);
	g_assert_cmpint(stub_worker_execute_held(a), ==, 0);
	stub_worker_end(a, &first_run, AGENT_DONE);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* A start order gets no answer, the resent one is refused. The first one may
 * still take effect, so the next run starts only after a stop was accepted. */
static void
test_refused_after_lost_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->hold_starts = 1;
	a->refuse_starts = 1;
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts == 2);
	AWAIT(l, a->stops > 0 || first_task(l)->last_run > 1);
	g_assert_cmpint(a->stops, >, 0);
	g_assert_cmpuint(a->held_starts->len, ==, 0);
	AWAIT(l, stub_worker_runs(a, &second_run));
	stub_worker_free(a);
	leader_free(l);
}

/* Ended runs are acknowledged to the worker only once they are committed. */
static void
test_ends_acked_after_commit(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	AWAIT(l, a->poll != NULL);
	l->no_quorum = true;
	stub_worker_end(a, &first_run, AGENT_DONE);
	leader_run_for(l, 300);
	g_assert_cmpuint(a->max_acked, ==, 0);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	l->no_quorum = false;
	AWAIT(l, a->max_acked == 1);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* While leadership is not confirmed no lease is renewed: polls stop. */
static void
test_leadership_unconfirmed(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	int polls;

	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	l->no_quorum = true;
	leader_run_for(l, 800);
	polls = a->polls;
	leader_run_for(l, 1500);
	g_assert_cmpint(a->polls, ==, polls);
	stub_worker_free(a);
	leader_free(l);
}

#define MANY_TASKS 60
#define CANCEL_MS 3000 /* from the acknowledgement to the last start */

/* Guards against start orders that wait behind others without an answer, and go
 * out seconds after their job was cancelled. */
static void
test_queued_starts_cancelled(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	int starts;

	a->capacity.millicpus = MANY_TASKS * 100;
	a->hold_starts = 10 * MANY_TASKS;
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, MANY_TASKS, 100);
	AWAIT(l, a->held_starts->len > 0);
	leader_request(l, REQUEST_CANCEL, JOB_PATH, NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	leader_run_for(l, CANCEL_MS);
	starts = a->starts;
	leader_run_for(l, CANCEL_MS);
	g_assert_cmpint(a->starts, ==, starts);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against a leader that stops for good because one worker, of another
 * cell, knows a higher fence (review/6). That worker is not called again. */
static void
test_foreign_fence(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int calls;

	b->fence = 1000;
	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, false);
	AWAIT(l, b->polls + b->greetings > 0);
	leader_run_for(l, 100);
	calls = b->polls + b->greetings;
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->running->len == 1);
	leader_heartbeat(l, b, false);
	leader_run_for(l, 2000);
	leader_submit(l, "/renders/0000000000000077", 1, 1000);
	AWAIT(l, a->running->len == 2);
	g_assert_cmpint(b->polls + b->greetings, ==, calls);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A leader that was suspended (incident inc-17b3) has had no answer from any
 * worker for longer than a lease. While its leadership is not confirmed it ends
 * no runs and removes no workers. */
static void
test_suspended_leader(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	uint64_t proposed;

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	AWAIT(l, a->lease_until_ms > 0);
	l->unconfirmed = true;
	leader_run_for(l, 500);
	stub_worker_crash(a);
	proposed = l->proposed;
	leader_run_for(l, 7000);
	g_assert_cmpint(mono_ms(), >, a->lease_until_ms);
	g_assert_cmpint(first_task(l)->state, ==, FLOW_ASSIGNED);
	/* The records of old jobs are still removed, every 5 s. */
	g_assert_cmpuint(l->proposed - proposed, <=, 2);
	l->unconfirmed = false;
	AWAIT(l, first_task(l)->state == FLOW_PENDING);
	stub_worker_free(a);
	leader_free(l);
}

/* A new leader finds the running runs, doesn't start them again, and handles
 * the ends that its predecessor did not acknowledge. */
static void
test_takeover(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 2, 1000);
	AWAIT(l, a->running->len == 2);
	dispatch_resign(l->dispatch);
	stub_worker_end(a, &first_run, AGENT_DONE);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, a->fence == 2 && a->max_acked == 1);
	g_assert_cmpint(a->starts, ==, 2);
	stub_worker_end(a, &(struct flow_run){ JOB, 0, 0, 1, 1 }, AGENT_DONE);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* Has two fast workers and a slow one, which is the tightest fit for a task,
 * run a job of 24 tasks. */
void
run_uneven(struct leader *l, struct stub_worker *workers[3])
{
	static const char *const names[] = { "a", "b", "slow" };
	const struct flow_job *job;

	for (int i = 0; i < 3; i++) {
		workers[i] = stub_worker_new(l->base, names[i]);
		workers[i]->run_ms = 100;
	}
	workers[2]->run_ms = 400;
	workers[2]->capacity.millicpus /= 2;
	for (int i = 0; i < 3; i++)
		leader_heartbeat(l, workers[i], false);
	leader_submit(l, JOB_PATH, 24, 1000);
	job = flow_job(l->flow, JOB);
	while (job->state != FLOW_COMPLETED) {
		leader_run(l);
		for (int i = 0; i < 3; i++)
			(void)stub_worker_tick(workers[i]);
	}
	for (int i = 0; i < 3; i++)
		workers[i]->run_ms = 0;
}

/* Replaces the leader by a replica that was restored from a snapshot and has
 * it place one task. Returns the index of the worker that gets it. */
static int
takeover_and_place(struct leader *l, struct stub_worker *workers[3])
{
	GBytes *snapshot = flow_snapshot(l->flow);
	int chosen = -1;

	dispatch_resign(l->dispatch);
	g_assert_true(flow_restore(l->flow, snapshot, NULL));
	g_bytes_unref(snapshot);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, workers[0]->fence == 2 && workers[2]->fence == 2);
	leader_submit(l, "/renders/00000000000000a1", 1, 1000);
	while (chosen < 0) {
		leader_run(l);
		for (int i = 0; i < 3; i++)
			if (workers[i]->running->len > 0)
				chosen = i;
	}
	return chosen;
}

/* What a leader learns of the speed of workers was lost with it, and the next
 * one used a slow worker for urgent work. */
static void
test_takeover_speeds(void)
{
	static const double settings[] = { 1.5, 0 };

	for (int s = 0; s < 2; s++) {
		struct leader *l = leader_new_uneven(settings[s]);
		struct stub_worker *workers[3];
		int chosen;

		run_uneven(l, workers);
		chosen = takeover_and_place(l, workers);
		if (settings[s] > 0)
			g_assert_cmpint(chosen, <, 2);
		else
			g_assert_cmpint(chosen, ==, 2); /* as before */
		for (int i = 0; i < 3; i++)
			stub_worker_free(workers[i]);
		leader_free(l);
	}
}

/* A new leader orders a run whose start its predecessor committed but for which
 * no order reached the worker. */
static void
test_takeover_before_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->hold_starts = 1000;
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts > 0);
	dispatch_resign(l->dispatch);
	a->hold_starts = 0;
	g_array_set_size(a->held_starts, 0);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, stub_worker_runs(a, &first_run));
	stub_worker_free(a);
	leader_free(l);
}

/* A leader is lost after it committed the cancelling of a job; its stop orders
 * did not arrive. The next leader sends them: the task of a service would
 * otherwise run on for ever. */
static void
test_takeover_after_cancel(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 2,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 1,
		.long_running = true });
	AWAIT(l, a->running->len == 2);
	a->unresponsive = true;
	leader_request(l, REQUEST_CANCEL, JOB_PATH, NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	dispatch_resign(l->dispatch);
	leader_run_for(l, 100);
	g_assert_cmpint(a->stops, ==, 0);
	a->unresponsive = false;
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, a->running->len == 0);
	AWAIT(l, flow_job(l->flow, JOB)->occurrences == NULL);
	stub_worker_free(a);
	leader_free(l);
}

/* A worker reports a run that is not assigned to it, as it was never ordered or
 * counts as ended: it is stopped. */
static void
test_unassigned_run(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_run r = { .id = { 0x99, 0, 0, 0, 3 } };

	g_array_append_val(a->running, r);
	leader_heartbeat(l, a, false);
	AWAIT(l, a->running->len == 0);
	stub_worker_free(a);
	leader_free(l);
}

/* The runs of a cancelled job are stopped. */
static void
test_cancel(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 2, 1000);
	AWAIT(l, a->running->len == 2);
	leader_request(l, REQUEST_CANCEL, JOB_PATH, NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	AWAIT(l, a->running->len == 0);
	AWAIT(l, flow_job(l->flow, JOB)->occurrences == NULL);
	stub_worker_free(a);
	leader_free(l);
}

/* A worker gets no more tasks than fit; a draining worker gets none. */
static void
test_capacity(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");

	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, true);
	leader_submit(l, JOB_PATH, 6, 1000);
	AWAIT(l, a->running->len == 4);
	leader_run_for(l, 400);
	g_assert_cmpuint(a->running->len, ==, 4);
	g_assert_cmpuint(b->running->len, ==, 0);
	stub_worker_end(a, &first_run, AGENT_DONE);
	AWAIT(l, a->running->len == 4);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* The start of one gang member is refused. The other members are stopped at
 * once rather than when they time out, and the whole gang starts again. */
static void
test_gang_refused(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");

	leader_heartbeat(l, a, false);
	leader_heartbeat(l, b, false);
	a->refuse_starts = 1;
	leader_submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 2,
		.resources = { 3000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.gang = true,
		.long_running = true /* no progress is expected */ });
	AWAIT(l,
	    a->running->len == 1 && b->running->len == 1 &&
		first_task(l)->last_run > 1);
	g_assert_cmpint(b->stops, ==, 1);
	g_assert_cmpuint(
	    g_array_index(a->running, struct stub_run, 0).id.number, ==,
	    g_array_index(b->running, struct stub_run, 0).id.number);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A worker fails every run as soon as it starts. As its resources are free
 * again at once, it must not use up the attempts of the waiting tasks. */
static void
test_failing_worker(void)
{
	struct leader *l = leader_new();
	struct stub_worker *bad = stub_worker_new(l->base, "bad");
	struct stub_worker *good = stub_worker_new(l->base, "good");
	const struct flow_job *job;

	leader_heartbeat(l, bad, false);
	leader_heartbeat(l, good, false);
	bad->fail_runs = 1000;
	leader_submit(l, JOB_PATH, 8, 1000);
	job = flow_job(l->flow, JOB);
	while (job->state != FLOW_COMPLETED) {
		g_assert_cmpint(job->state, !=, FLOW_FAILED);
		AWAIT(l, good->running->len > 0 || flow_job_ended(job));
		while (good->running->len > 0) {
			struct flow_run id =
			    g_array_index(good->running, struct stub_run, 0).id;

			stub_worker_end(good, &id, AGENT_DONE);
		}
	}
	stub_worker_free(bad);
	stub_worker_free(good);
	leader_free(l);
}

/* A job whose start is committed but not accepted by a worker still counts as
 * waiting. */
static void
test_count_not_started(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->hold_starts = 2;
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts > 0);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	leader_request(l, REQUEST_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "1");
	AWAIT(l, stub_worker_runs(a, &first_run));
	leader_run_for(l, 100);
	leader_request(l, REQUEST_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "0");
	stub_worker_free(a);
	leader_free(l);
}

/* Fills a worker with four runs that can resume from a checkpoint. */
static void
fill_worker(struct leader *l, const struct stub_worker *w, int64_t runtime_ms)
{
	leader_submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 4,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = runtime_ms,
		.checkpointing = true });
	AWAIT(l, w->running->len == 4);
}

/* Submits a gang of two that together take three of a worker's four cores. */
static void
submit_gang(struct leader *l, const char *path, int64_t runtime_ms)
{
	leader_submit_step(l, path,
	    (struct flow_step){ .count = 2,
		.resources = { 1500, 1 << 20, 0 },
		.runtime_ms = runtime_ms,
		.gang = true });
}

/* Runs with time to spare are preempted for a gang that has none, and resume
 * when resources are free again. */
static void
test_preemption(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_run member = { 0x77, 0, 0, 0, 1 };

	leader_heartbeat(l, a, false);
	fill_worker(l, a, 60000);
	submit_gang(l, "/renders/0000000000000077", 1500);
	AWAIT(l, stub_worker_runs(a, &member));
	g_assert_cmpint(a->stops, ==, 3);
	g_assert_cmpuint(a->running->len, ==, 3);
	stub_worker_end(a, &member, AGENT_DONE);
	member.index = 1;
	stub_worker_end(a, &member, AGENT_DONE);
	AWAIT(l, a->running->len == 4);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	stub_worker_free(a);
	leader_free(l);
}

#define SERVICE 0x5e1f5e1f5e1f5e1f
#define SERVICE_PATH "/renders/5e1f5e1f5e1f5e1f"
/* A long-running task has to be at work again within this time. */
#define SERVICE_RESTART_MS 6000
/* After this time its job's objective has passed. */
#define SERVICE_OVERDUE_MS 1100
#define LEASE_SHORTEST_MS 3000 /* what is left of one between two polls */
#define UNPAUSED_TRIES 3

static const struct flow_run service_first = { SERVICE, 0, 0, 0, 1 };
static const struct flow_run service_second = { SERVICE, 0, 0, 0, 2 };

/* Starts a long-running task of 3 of a worker's 4 cores, long enough ago that
 * its objective has passed. */
static void
start_service(struct leader *l, const struct stub_worker *w)
{
	leader_submit_step(l, SERVICE_PATH,
	    (struct flow_step){ .count = 1,
		.resources = { 3000, 1 << 20, 0 },
		.runtime_ms = 1,
		.long_running = true });
	AWAIT(l, stub_worker_runs(w, &service_first));
	leader_run_for(l, SERVICE_OVERDUE_MS);
}

/* A long-running task fails while more urgent work waits for its resources: it
 * gets them first. */
static void
test_service_failed(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	int64_t failed_ms;

	leader_heartbeat(l, a, false);
	start_service(l, a);
	leader_submit(l, JOB_PATH, 30, 1000);
	AWAIT(l, a->running->len == 2);
	failed_ms = mono_ms();
	stub_worker_end(a, &service_first, AGENT_FAILED);
	AWAIT(l, stub_worker_runs(a, &service_second));
	g_assert_cmpint(mono_ms() - failed_ms, <, SERVICE_RESTART_MS);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/* The workers answer polls only while this process runs: after a pause of the
 * length of a lease none of them counts as alive. */
static bool
leases_ran_out(const struct leader *l)
{
	return l->stalled_ms >= LEASE_SHORTEST_MS;
}

/* Says whether the process ran throughout, so that worker b kept its lease. */
static bool
lose_service_worker(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int64_t lease_until_ms;
	bool held;

	leader_heartbeat(l, a, false);
	start_service(l, a);
	leader_heartbeat(l, b, false);
	leader_submit(l, JOB_PATH, 30, 1000);
	AWAIT(l, b->running->len == 4 || leases_ran_out(l));
	stub_worker_complete_progress(b);
	lease_until_ms = a->lease_until_ms;
	stub_worker_crash(a);
	AWAIT(l, stub_worker_runs(b, &service_second) || leases_ran_out(l));
	held = !leases_ran_out(l);
	if (held) {
		g_assert_cmpint(
		    mono_ms() - lease_until_ms, <, SERVICE_RESTART_MS);
		g_assert_cmpint(b->stops, ==, 3);
	}
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
	return held;
}

/* The worker of a long-running task crashes while the other worker is full of
 * runs that have no checkpoint and won't end soon: some of them are stopped. */
static void
test_service_worker_lost(void)
{
	int tries = 1;

	while (!lose_service_worker()) {
		g_test_message("the process was paused for a whole lease");
		g_assert_cmpint(tries++, <, UNPAUSED_TRIES);
	}
}

/* A long-running task whose worker has left gets the next resources that short
 * tasks free, although others of them wait and each of those would fit first.
 * None is stopped. */
static void
test_service_awaits_short_tasks(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	uint32_t ended = 0;

	leader_heartbeat(l, a, false);
	start_service(l, a);
	leader_heartbeat(l, b, false);
	leader_heartbeat(l, a, true);
	leader_submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 100,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 400 });
	AWAIT(l, b->running->len == 4);
	stub_worker_end(a, &service_first, AGENT_FAILED);
	while (!stub_worker_runs(b, &service_second)) {
		struct flow_run id;

		g_assert_cmpuint(ended, <, 20);
		leader_run_for(l, 100);
		if (b->running->len == 0)
			continue;
		id = g_array_index(b->running, struct stub_run, 0).id;
		if (id.job == JOB) {
			stub_worker_end(b, &id, AGENT_DONE);
			ended++;
		}
	}
	g_assert_cmpint(b->stops, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A new leader restarts a long-running task that failed while no replica led,
 * on a worker that is full. */
static void
test_service_takeover(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	start_service(l, a);
	leader_submit(l, JOB_PATH, 30, 1000);
	AWAIT(l, a->running->len == 2);
	dispatch_resign(l->dispatch);
	stub_worker_end(a, &service_first, AGENT_FAILED);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, stub_worker_runs(a, &service_second));
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/*
 * Steps that nothing can be preempted for wait before a gang that runs can be
 * preempted for. Each round considers only the first few; the gang must get its
 * turn all the same.
 */
static void
test_preemption_turns(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_run member = { 0x77, 0, 0, 0, 1 };
	int64_t submitted_ms;

	leader_heartbeat(l, a, false);
	fill_worker(l, a, 200000);
	stub_worker_complete_progress(a);
	for (int i = 0; i < 20; i++) {
		char *path = g_strdup_printf("/renders/%016x", 0x100 + i);

		/* No worker is that large. Its latest start is early. */
		leader_submit_step(l, path,
		    (struct flow_step){ .count = 1,
			.resources = { 9000, 1 << 20, 0 },
			.runtime_ms = 30000 });
		g_free(path);
	}
	submit_gang(l, "/renders/0000000000000077", 60000);
	submitted_ms = mono_ms();
	AWAIT(l, stub_worker_runs(a, &member));
	/* The others are on time, and so come first, for 30 s. */
	g_assert_cmpint(mono_ms() - submitted_ms, <, 10000);
	stub_worker_free(a);
	leader_free(l);
}

/* No worker has room for a gang whose queue needs permits. The policy service
 * is queried all the same, so that runs can be preempted on allowed workers. */
static void
test_gang_queried_without_room(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	dispatch_process_changed(l->dispatch, 1, true);
	leader_heartbeat(l, a, false);
	fill_worker(l, a, 200000);
	stub_worker_complete_progress(a);
	submit_gang(l, "/allowed/0000000000000077", 60000);
	AWAIT(l, l->queries > 0);
	stub_worker_free(a);
	leader_free(l);
}

/*
 * A late heartbeat of an earlier incarnation, which may have had another name
 * at the same address, has no effect as long as a later one is known.
 */
static void
test_earlier_incarnation(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_worker old = { .name = (char *)"a",
		.address = a->address,
		.pool = (char *)"desk",
		.started_ms = a->started_ms - 1000,
		.capacity = { 64000, 1 << 30, 0 } };

	leader_heartbeat(l, a, false);
	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&old));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	g_assert_cmpint(
	    flow_worker_named(l->flow, "a")->started_ms, ==, a->started_ms);
	old.name = (char *)"b";
	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&old));
	g_assert_null(flow_worker_named(l->flow, "b"));
	old.address = (char *)"127.0.0.1:9";
	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&old));
	g_assert_nonnull(flow_worker_named(l->flow, "b"));
	/* The later one moves; its record at the old address is removed. */
	old.name = (char *)"a";
	old.started_ms = a->started_ms + 1000;
	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&old));
	old.name = (char *)"c";
	old.address = a->address;
	old.started_ms = a->started_ms - 1000;
	AWAIT(l,
	    (leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&old)),
		flow_worker_named(l->flow, "c") != NULL));
	stub_worker_free(a);
	leader_free(l);
}

/* A state request sent just after the last run has ended is answered with the
 * final state. */
static void
test_state_delayed(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	leader_request(l, REQUEST_STATE, JOB_PATH, NULL);
	g_assert_cmpstr(l->last_text, ==, "running");
	AWAIT(l, a->poll != NULL);
	stub_worker_end(a, &first_run, AGENT_DONE);
	leader_request(l, REQUEST_STATE, JOB_PATH, NULL);
	g_assert_cmpstr(l->last_text, ==, "completed");
	leader_request(l, REQUEST_STATE, "/renders/00000000000000ff", NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_NO_JOB);
	leader_request(l, REQUEST_STATE, "/nowhere/00000000000000ff", NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_NO_QUEUE);
	leader_request(l, REQUEST_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "0");
	stub_worker_free(a);
	leader_free(l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The injected faults are logged as warnings. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/dispatch/lease-expiry", test_lease_expiry);
	g_test_add_func("/dispatch/lost-order", test_lost_order);
	g_test_add_func("/dispatch/refused-after-lost-order",
	    test_refused_after_lost_order);
	g_test_add_func(
	    "/dispatch/ends-acked-after-commit", test_ends_acked_after_commit);
	g_test_add_func(
	    "/dispatch/leadership-unconfirmed", test_leadership_unconfirmed);
	g_test_add_func("/dispatch/foreign-fence", test_foreign_fence);
	g_test_add_func(
	    "/dispatch/queued-starts-cancelled", test_queued_starts_cancelled);
	g_test_add_func("/dispatch/suspended-leader", test_suspended_leader);
	g_test_add_func("/dispatch/takeover", test_takeover);
	g_test_add_func("/dispatch/takeover-speeds", test_takeover_speeds);
	g_test_add_func(
	    "/dispatch/takeover-before-order", test_takeover_before_order);
	g_test_add_func(
	    "/dispatch/takeover-after-cancel", test_takeover_after_cancel);
	g_test_add_func("/dispatch/unassigned-run", test_unassigned_run);
	g_test_add_func("/dispatch/cancel", test_cancel);
	g_test_add_func("/dispatch/capacity", test_capacity);
	g_test_add_func("/dispatch/gang-refused", test_gang_refused);
	g_test_add_func("/dispatch/failing-worker", test_failing_worker);
	g_test_add_func("/dispatch/count-not-started", test_count_not_started);
	g_test_add_func("/dispatch/preemption", test_preemption);
	g_test_add_func("/dispatch/preemption-turns", test_preemption_turns);
	g_test_add_func("/dispatch/gang-queried-without-room",
	    test_gang_queried_without_room);
	g_test_add_func("/dispatch/service-failed", test_service_failed);
	g_test_add_func(
	    "/dispatch/service-worker-lost", test_service_worker_lost);
	g_test_add_func("/dispatch/service-awaits-short-tasks",
	    test_service_awaits_short_tasks);
	g_test_add_func("/dispatch/service-takeover", test_service_takeover);
	g_test_add_func(
	    "/dispatch/earlier-incarnation", test_earlier_incarnation);
	g_test_add_func("/dispatch/state-delayed", test_state_delayed);
	crash_tests_add();
	capacity_tests_add();
	key_tests_add();
	organisation_tests_add();
	policy_tests_add();
	overload_tests_add();
	drain_tests_add();
	explain_tests_add();
	report_tests_add();
	restart_tests_add();
	retry_tests_add();
	return g_test_run();
}
