/* lib/dispatch with the setting overload=yield: jobs are refused when they
 * can't end in time. */
#include "dispatch_test.h"
#include "stubleader.h"

#define FILL_PATH "/renders/00000000000000f1"
#define BACKLOG 0xb1
#define BACKLOG_PATH "/renders/00000000000000b1"
/* After so long on full workers jobs may be refused. */
#define FULL_MS 800

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };

static struct stub_worker *
add_worker(struct leader *l)
{
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	AWAIT(l, a->polls > 1);
	return a;
}

/* Else runs are moved, as they make no progress. */
static void
complete_progress(const struct stub_worker *a)
{
	for (guint i = 0; i < a->running->len; i++)
		g_array_index(a->running, struct stub_run, i).percent = 100;
}

/* Runs that end in a minute take all 4 cores. */
static void
fill(struct leader *l, const struct stub_worker *a)
{
	leader_submit(l, FILL_PATH, 4, 1000);
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
}

/* Submits a job of half a second, with an objective of two seconds. */
static void
submit_short(struct leader *l, const char *path)
{
	leader_request(l, REQUEST_SUBMIT, path,
	    leader_spec((struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 500 }));
}

/* Submits jobs until the workers have been full for so long that one is
 * refused. */
static void
await_refusal(struct leader *l)
{
	int64_t limit = mono_ms() + AWAIT_LIMIT_MS;
	static int id = 0x1000;

	do {
		char *path = g_strdup_printf("/renders/%016x", id++);

		g_assert_cmpint(mono_ms(), <, limit);
		leader_run_for(l, 100);
		submit_short(l, path);
		g_free(path);
	} while (l->last_result != REQUEST_REFUSED);
}

/* Fills the workers for so long that jobs are refused. */
static void
saturate(struct leader *l, const struct stub_worker *a)
{
	fill(l, a);
	leader_submit(l, BACKLOG_PATH, 10, 1000);
	await_refusal(l);
}

static void
cancel(struct leader *l, const char *path)
{
	leader_request(l, REQUEST_CANCEL, path, NULL);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

static void
finish(struct leader *l, struct stub_worker *a)
{
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against work that is accepted although it can't be of use any more
 * when it ends, and against a refused job that runs all the same. Once there
 * is room it is accepted and runs. */
static void
test_refused(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	saturate(l, a);
	submit_short(l, JOB_PATH);
	g_assert_cmpuint(l->last_result, ==, REQUEST_REFUSED);
	g_assert_cmpint(l->last_retry_ms, >, 0);
	g_assert_cmpint(l->last_retry_ms, <, 6000);
	g_assert_null(flow_job(l->flow, JOB));
	cancel(l, FILL_PATH);
	cancel(l, BACKLOG_PATH);
	a->run_ms = 50; /* for the jobs accepted before */
	for (int64_t until = mono_ms() + 1000; mono_ms() < until;) {
		(void)stub_worker_tick(a);
		leader_run(l);
	}
	g_assert_cmpuint(a->running->len, ==, 0);
	a->run_ms = 0;
	g_assert_null(flow_job(l->flow, JOB));
	submit_short(l, JOB_PATH);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	AWAIT(l, stub_worker_runs(a, &first_run));
	finish(l, a);
}

/* Guards against refusals without the setting. */
static void
test_off(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l);

	fill(l, a);
	leader_submit(l, BACKLOG_PATH, 10, 1000);
	leader_run_for(l, FULL_MS);
	submit_short(l, JOB_PATH);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	finish(l, a);
}

/* Guards against refusals while a worker has room, or when it has just become
 * full, and whatever waits for a reason other than room. */
static void
test_room(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	leader_submit(l, FILL_PATH, 2, 1000);
	/* Waits for a whole worker. */
	leader_submit(l, BACKLOG_PATH, 1, 4000);
	leader_run_for(l, FULL_MS);
	for (int i = 0; i < 10; i++) {
		char *path = g_strdup_printf("/renders/%016x", 0x100 + i);

		submit_short(l, path);
		g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
		g_free(path);
	}
	finish(l, a);
}

/* Guards against an accepted job that is dropped because its result comes too
 * late to be of use. */
static void
test_overdue(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	fill(l, a);
	submit_short(l, JOB_PATH);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	leader_run_for(l, 6500);
	g_assert_cmpuint(a->running->len, ==, 4);
	cancel(l, FILL_PATH);
	AWAIT(l, stub_worker_runs(a, &first_run));
	stub_worker_end(a, &first_run, AGENT_DONE);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	finish(l, a);
}

/* Guards against the answer "has not run" for a job whose first request is
 * being committed: its sender has sent it again. */
static void
test_proposed(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	fill(l, a);
	leader_submit(l, BACKLOG_PATH, 10, 1000);
	l->hold_commands = true;
	leader_send(l, REQUEST_SUBMIT, JOB_PATH,
	    leader_spec((struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 500 }));
	leader_run_for(l, FULL_MS);
	l->last_result = REQUEST_OP_COUNT;
	l->awaited = l->requests + 1;
	leader_send(l, REQUEST_SUBMIT, JOB_PATH,
	    leader_spec((struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 500 }));
	g_assert_cmpuint(l->last_result, ==, REQUEST_OP_COUNT);
	leader_release_commands(l);
	AWAIT(l, l->last_result == REQUEST_DONE);
	g_assert_nonnull(flow_job(l->flow, JOB));
	/* A job that is not known is refused at this load. */
	submit_short(l, "/renders/0000000000000055");
	g_assert_cmpuint(l->last_result, ==, REQUEST_REFUSED);
	finish(l, a);
}

/* Guards against a new leader that refuses a job which its predecessor has
 * accepted, or that refuses before it has seen the load. */
static void
test_takeover(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	fill(l, a);
	submit_short(l, JOB_PATH);
	leader_submit(l, BACKLOG_PATH, 10, 1000);
	await_refusal(l);
	submit_short(l, "/renders/0000000000000055");
	g_assert_cmpuint(l->last_result, ==, REQUEST_REFUSED);
	dispatch_resign(l->dispatch);
	dispatch_lead(l->dispatch, 2);
	leader_run_for(l, 50);
	submit_short(l, JOB_PATH);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	submit_short(l, "/renders/0000000000000055");
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	await_refusal(l);
	submit_short(l, "/renders/0000000000000055");
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	finish(l, a);
}

/* Guards against a refusal of a job that waits for a larger worker: no load of
 * the present ones says when that comes. */
static void
test_never_fits(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	saturate(l, a);
	leader_submit(l, JOB_PATH, 1, 9000);
	finish(l, a);
}

/* Four runs that can resume from a checkpoint take all cores. */
static void
fill_resumable(struct leader *l, struct stub_worker *a)
{
	leader_submit_step(l, FILL_PATH,
	    (struct flow_step){ .count = 4,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.checkpointing = true });
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
}

/* Submits a gang of two that takes three of four cores, and returns whether its
 * first member runs within a time. */
static bool
run_gang(struct leader *l, struct stub_worker *a, uint64_t job, int64_t ms)
{
	struct flow_run member = { job, 0, 0, 0, 1 };
	int64_t until = mono_ms() + ms;
	char *path =
	    g_strdup_printf("/renders/%016" G_GINT64_MODIFIER "x", job);

	leader_submit_step(l, path,
	    (struct flow_step){ .count = 2,
		.resources = { 1500, 1 << 20, 0 },
		.runtime_ms = 1500,
		.gang = true });
	g_free(path);
	while (!stub_worker_runs(a, &member) && mono_ms() < until) {
		leader_run(l);
		complete_progress(a);
	}
	return stub_worker_runs(a, &member);
}

/* Ends the two members of a gang after their declared run time, and lets the
 * runs resume. */
static void
end_gang(struct leader *l, struct stub_worker *a, uint64_t job)
{
	struct flow_run member = { job, 0, 0, 0, 1 };
	int64_t until = mono_ms() + 1500;

	AWAIT(l, a->running->len == 3);
	while (mono_ms() < until) {
		leader_run(l);
		complete_progress(a);
	}
	stub_worker_end(a, &member, AGENT_DONE);
	member.index = 1;
	stub_worker_end(a, &member, AGENT_DONE);
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
}

/* Guards against runs that are stopped again and again, each time with work
 * that is repeated: the third gang finds too few that were not stopped twice.
 */
static void
test_stops(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);
	int stops;

	fill_resumable(l, a);
	g_assert_true(run_gang(l, a, 0x71, AWAIT_LIMIT_MS));
	end_gang(l, a, 0x71);
	g_assert_true(run_gang(l, a, 0x72, AWAIT_LIMIT_MS));
	end_gang(l, a, 0x72);
	stops = a->stops;
	g_assert_cmpint(stops, >=, 6);
	g_assert_false(run_gang(l, a, 0x73, 2000));
	g_assert_cmpint(a->stops, ==, stops);
	finish(l, a);
}

/* Makes all that was submitted so much older. */
static void
advance(struct leader *l, int64_t ms)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_PRUNE,
		.at_ms = g_get_real_time() / 1000 + ms };
	GBytes *bytes = flow_cmd_encode(&cmd);
	enum flow_apply_result result;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	g_assert_true(flow_apply(l->flow, data, len, &result, NULL));
	g_bytes_unref(bytes);
}

/* Guards against an overdue job that never runs because an older one fits on no
 * worker: the older one was the one that goes first, for ever. */
static void
test_aged_turns(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l);

	/* Less than four cores: nothing is refused. */
	leader_submit(l, FILL_PATH, 3, 1000);
	leader_submit_step(l, "/renders/0000000000000099",
	    (struct flow_step){ .count = 1,
		.resources = { 9000, 1 << 20, 0 },
		.runtime_ms = 500 });
	leader_submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 1,
		.resources = { 2000, 1 << 20, 0 },
		.runtime_ms = 500 });
	/* Can be in time, so it goes before overdue work. */
	leader_submit(l, BACKLOG_PATH, 40, 2000);
	AWAIT(l, a->running->len == 3);
	advance(l, 45000);
	leader_run_for(l, 6000);
	cancel(l, FILL_PATH);
	AWAIT(l,
	    flow_job(l->flow, JOB)->assigned +
		    flow_job(l->flow, BACKLOG)->assigned ==
		2);
	g_assert_cmpuint(flow_job(l->flow, JOB)->assigned, ==, 1);
	finish(l, a);
}

void
overload_tests_add(void)
{
	g_test_add_func("/dispatch/overload-stops", test_stops);
	g_test_add_func("/dispatch/overload-refused", test_refused);
	g_test_add_func("/dispatch/overload-off", test_off);
	g_test_add_func("/dispatch/overload-room", test_room);
	g_test_add_func("/dispatch/overload-overdue", test_overdue);
	g_test_add_func("/dispatch/overload-proposed", test_proposed);
	g_test_add_func("/dispatch/overload-takeover", test_takeover);
	g_test_add_func("/dispatch/overload-never-fits", test_never_fits);
	g_test_add_func("/dispatch/overload-aged-turns", test_aged_turns);
}
