/* Tests of the admission of jobs under overload. */
#include "admit.h"

#define GIB (INT64_C(1) << 30)
#define ROUND_MS 50
#define JOB_WORK 100000 /* of the jobs that wait */

/* 10 workers of 64 cores, with runs that end within the next two seconds. */
static struct admit_load
load_at(int64_t now_ms, int64_t used_permille)
{
	int64_t used = 640 * used_permille;
	struct admit_load l = { .now_ms = now_ms,
		.capacity = { 640000, 2560 * GIB, 0 },
		.used = { used, 2560 * GIB * used_permille / 2000, 0 } };
	struct resources run = { used / 8, GIB, 0 };

	for (int64_t t = 0; t < 8; t++)
		admit_load_add_run(&l, &run, t * ADMIT_BUCKET_MS);
	return l;
}

static struct admit_request
request_of(uint64_t id, int64_t now_ms, int64_t work)
{
	return (struct admit_request){ .id = id,
		.now_ms = now_ms,
		.job = { .priority = 1,
		    .entitled_permille = COST_ENTITLED_FULL,
		    .objective_ms = 4000,
		    .remaining_ms = 1000,
		    .work = work } };
}

/* Lets a load last for a time; jobs of so much work together wait. */
static int64_t
run_load(struct admit *a, int64_t from_ms, int64_t for_ms,
    int64_t used_permille, int64_t work)
{
	for (int64_t t = from_ms; t < from_ms + for_ms; t += ROUND_MS) {
		struct admit_load load = load_at(t, used_permille);
		struct cost_job job = request_of(1, t, JOB_WORK).job;

		job.first_ms = t;
		for (int64_t i = 0; i < work; i += JOB_WORK)
			admit_load_add(&load, &job, 1000);
		admit_update(a, &load);
	}
	return from_ms + for_ms;
}

/* Guards against refusals while workers have room, or just after they have
 * become full: a burst may pass. */
static void
test_room(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 690, 100000000);
	struct admit_request r = request_of(7, now, 100000);

	g_assert_true(admit_decide(a, &r).accept);
	now = run_load(a, now, 200, 1000, 100000000);
	r = request_of(8, now, 100000);
	g_assert_true(admit_decide(a, &r).accept);
	now = run_load(a, now, 2000, 1000, 100000000);
	r = request_of(9, now, 100000);
	g_assert_false(admit_decide(a, &r).accept);
	/* And room again: nothing waits any more. */
	now = run_load(a, now, 1000, 900, 0);
	r = request_of(10, now, 100000);
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

/* Guards against refusals of work that would be in time although the workers
 * are full: the queue ahead of it is short. */
static void
test_short_queue(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 100000);
	struct admit_request r = request_of(7, now, 10000);
	struct admit_decision out = admit_decide(a, &r);

	g_assert_true(admit_saturated(a));
	g_assert_true(out.accept);
	g_assert_cmpint(out.ahead_ms, <, 1000);
	admit_free(a);
}

/* Guards against a caller that returns at the announced time and finds that
 * later ones were served before it, and against one that returns for ever. */
static void
test_return(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_request first = request_of(7, now, 100000);
	struct admit_decision out = admit_decide(a, &first);
	int64_t back = now + out.retry_ms;

	g_assert_false(out.accept);
	g_assert_cmpint(out.attempt, ==, 1);
	/* The objective counts from the first attempt. */
	g_assert_cmpint(out.retry_ms, <=, 3 * 4000 - 1000);
	now = run_load(a, now, out.retry_ms, 950, 100000);
	first.now_ms = back;
	out = admit_decide(a, &first);
	g_assert_true(out.accept);
	g_assert_cmpint(out.attempt, ==, 2);
	g_assert_cmpuint(admit_refused_count(a), ==, 0);
	admit_free(a);
}

/* Guards against callers that all return at the same time, and against a
 * delay that differs when the same decision is made twice. */
static void
test_spread(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	int64_t least = INT64_MAX;
	int64_t most = 0;

	for (uint64_t id = 1; id <= 50; id++) {
		struct admit_request r = request_of(id, now, 1000000);
		struct admit_decision out = admit_decide(a, &r);

		g_assert_false(out.accept);
		least = MIN(least, out.retry_ms);
		most = MAX(most, out.retry_ms);
	}
	g_assert_cmpint(most - least, >, 500);
	admit_free(a);
}

/* Guards against short urgent work that is refused together with large work
 * although it needs hardly any room. */
static void
test_small_first(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 8000000);
	struct admit_request large = request_of(7, now, 1800000);
	struct admit_request small = request_of(8, now, 3000);

	g_assert_false(admit_decide(a, &large).accept);
	small.job.priority = 0;
	g_assert_true(admit_decide(a, &small).accept);
	admit_free(a);
}

/* Guards against a job that is accepted because little waits before it,
 * although no run ends in its time. */
static void
test_long_runs(void)
{
	struct admit *a = admit_new();
	int64_t now = 1000;
	struct admit_request r;
	struct admit_decision out;

	for (; now < 6000; now += ROUND_MS) {
		struct resources run = { 640000, GIB, 0 };
		struct cost_job job = request_of(1, now, 1000).job;
		struct admit_load load = { .now_ms = now,
			.capacity = { 640000, 2560 * GIB, 0 },
			.used = run };

		job.first_ms = now;
		admit_load_add(&load, &job, 1000);
		admit_load_add_run(&load, &run, 60000);
		admit_update(a, &load);
	}
	r = request_of(7, now, 1000);
	out = admit_decide(a, &r);
	g_assert_false(out.accept);
	g_assert_cmpint(out.ahead_ms, >, 10000);
	admit_free(a);
}

/* Guards against refusals of what no load of the next seconds concerns. */
static void
test_exempt(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_request r = request_of(7, now, 1000000);

	r.exempt = true;
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

/* Guards against a table that grows with the number of refused callers. */
static void
test_bounded(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 200000000);

	for (uint64_t id = 1; id <= 2 * ADMIT_REFUSED_MAX; id++) {
		struct admit_request r = request_of(id, now, 10 * JOB_WORK);

		g_assert_false(admit_decide(a, &r).accept);
	}
	g_assert_cmpuint(admit_refused_count(a), ==, ADMIT_REFUSED_MAX);
	(void)run_load(a, now + 200000, 100, 500, 0);
	g_assert_cmpuint(admit_refused_count(a), ==, 0);
	admit_free(a);
}

/* Guards against quotients without workers. */
static void
test_no_workers(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_load none = { .now_ms = now };
	struct admit_request r = request_of(7, now, 1000000);

	admit_update(a, &none);
	(void)admit_decide(a, &r);
	none.now_ms = now + 1000;
	admit_update(a, &none);
	r = request_of(8, now + 1000, 1000000);
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/room", test_room);
	g_test_add_func("/admit/short-queue", test_short_queue);
	g_test_add_func("/admit/return", test_return);
	g_test_add_func("/admit/spread", test_spread);
	g_test_add_func("/admit/small-first", test_small_first);
	g_test_add_func("/admit/long-runs", test_long_runs);
	g_test_add_func("/admit/exempt", test_exempt);
	g_test_add_func("/admit/bounded", test_bounded);
	g_test_add_func("/admit/no-workers", test_no_workers);
	return g_test_run();
}
