/* Tests of step order, placement, preemption, queries and estimates. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "plan.h"

#define GIB (INT64_C(1) << 30)

static struct plan_worker
worker_with(uint32_t worker, int64_t cores, uint32_t rack)
{
	return (struct plan_worker){ .worker = worker,
		.free = { cores * 1000, 128 * GIB, 0 },
		.capacity = { 64000, 128 * GIB, 0 },
		.rack = rack,
		.slowdown = 1,
		.task_limit = UINT32_MAX };
}

static struct plan_request
request_of(uint32_t count, int64_t cores, bool gang)
{
	return (struct plan_request){ .count = count,
		.per_task = { cores * 1000, GIB, 0 },
		.gang = gang,
		.far_factor = 1 };
}

/* On-time steps go first, by latest start time; then late, then overdue. */
static void
test_order(void)
{
	struct plan_pending urgent = { .accepted_ms = 1000,
		.objective_ms = 1750,
		.remaining_ms = 1000,
		.serial = 3 };
	struct plan_pending relaxed = { .accepted_ms = 0,
		.objective_ms = 16000,
		.remaining_ms = 3400,
		.serial = 1 };
	struct plan_pending late = { .accepted_ms = 0,
		.objective_ms = 1500,
		.remaining_ms = 1000,
		.serial = 0 };
	struct plan_pending overdue = { .accepted_ms = 0,
		.objective_ms = 500,
		.remaining_ms = 1000,
		.serial = 2 };

	g_assert_cmpint(plan_tier(&urgent, 1200), ==, PLAN_ON_TIME);
	g_assert_cmpint(plan_tier(&late, 1200), ==, PLAN_LATE);
	g_assert_cmpint(plan_tier(&overdue, 1200), ==, PLAN_OVERDUE);
	g_assert_cmpint(plan_compare(&urgent, &relaxed, 1200), <, 0);
	g_assert_cmpint(plan_compare(&relaxed, &late, 1200), <, 0);
	g_assert_cmpint(plan_compare(&late, &overdue, 1200), <, 0);
	g_assert_cmpint(plan_compare(&overdue, &late, 1200), >, 0);
}

/* Guards against an order by cost in which late work takes room from work that
 * can be in time, or a job that needs much room goes before one that needs
 * little and costs as much when late. */
static void
test_order_by_cost(void)
{
	int (*compare)(const struct plan_pending *, const struct plan_pending *,
	    int64_t) = plan_orders[PLAN_ORDER_COST].compare;
	struct plan_pending small = { .objective_ms = 4000,
		.remaining_ms = 1000,
		.weight = 30000,
		.serial = 3 };
	struct plan_pending large = { .objective_ms = 4000,
		.remaining_ms = 1000,
		.weight = 200,
		.serial = 0 };
	struct plan_pending late = {
		.objective_ms = 1500, .remaining_ms = 1000, .weight = 90000
	};
	struct plan_pending overdue = {
		.objective_ms = 500, .remaining_ms = 1000, .weight = 90000
	};
	struct plan_pending service = { .long_running = true };

	g_assert_cmpint(compare(&small, &large, 1200), <, 0);
	g_assert_cmpint(compare(&large, &small, 1200), >, 0);
	g_assert_cmpint(compare(&large, &late, 1200), <, 0);
	g_assert_cmpint(compare(&late, &overdue, 1200), <, 0);
	g_assert_cmpint(compare(&service, &small, 1200), <, 0);
}

/* Guards against work that is passed over for ever. */
static void
test_order_aged(void)
{
	int (*compare)(const struct plan_pending *, const struct plan_pending *,
	    int64_t) = plan_orders[PLAN_ORDER_COST].compare;
	struct plan_pending urgent = {
		.objective_ms = 4000, .remaining_ms = 1000, .weight = 30000
	};
	struct plan_pending aged = { .accepted_ms = -100000,
		.objective_ms = 500,
		.remaining_ms = 1000,
		.weight = 1,
		.aged = true };
	struct plan_pending service = { .long_running = true };

	g_assert_cmpint(compare(&aged, &urgent, 1200), <, 0);
	g_assert_cmpint(compare(&service, &aged, 1200), <, 0);
}

/* Small tasks go where they fit tightest; large free amounts stay. */
static void
test_tightest_fit(void)
{
	struct plan_worker a = worker_with(1, 64, 1);
	struct plan_worker b = worker_with(2, 8, 1);
	struct plan_worker *workers[] = { &a, &b };
	struct plan_request request = request_of(2, 4, false);
	uint32_t pick[2];

	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 2);
	g_assert_cmpuint(pick[0], ==, 1);
	g_assert_cmpuint(pick[1], ==, 1);
	g_assert_cmpint(b.free.millicpus, ==, 0);
	g_assert_cmpint(a.free.millicpus, ==, 64000);
}

static void
test_gang(void)
{
	struct plan_worker a = worker_with(1, 40, 1);
	struct plan_worker b = worker_with(2, 20, 2);
	struct plan_worker *workers[] = { &a, &b };
	struct plan_request request = request_of(4, 18, true);
	uint32_t pick[4];

	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 0);
	g_assert_cmpint(a.free.millicpus, ==, 40000);
	g_assert_cmpint(b.free.millicpus, ==, 20000);
	request.count = 3;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 3);
}

/* A colocated gang is placed on one rack if one has enough free. */
static void
test_colocated(void)
{
	struct plan_worker a = worker_with(1, 20, 1);
	struct plan_worker b = worker_with(2, 40, 2);
	struct plan_worker c = worker_with(3, 20, 1);
	struct plan_worker *workers[] = { &a, &b, &c };
	struct plan_request request = request_of(2, 18, true);
	uint32_t pick[3];

	request.colocated = true;
	g_assert_cmpuint(plan_place(workers, 3, &request, pick), ==, 2);
	g_assert_cmpuint(workers[pick[0]]->rack, ==, workers[pick[1]]->rack);
	a = worker_with(1, 20, 1);
	b = worker_with(2, 20, 2);
	c = worker_with(3, 20, 3);
	request.count = 3;
	g_assert_cmpuint(plan_place(workers, 3, &request, pick), ==, 3);
}

static void
test_constraints(void)
{
	struct plan_worker a = worker_with(1, 64, 1);
	struct plan_worker b = worker_with(2, 64, 2);
	struct plan_worker *workers[] = { &a, &b };
	struct plan_request request = request_of(3, 1, false);
	uint32_t pick[3];

	request.max_per_worker = 1;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 2);
	g_assert_cmpuint(pick[0], !=, pick[1]);
	a = worker_with(1, 64, 1);
	b = worker_with(2, 60, 2);
	request = request_of(1, 1, false);
	request.data_rack = 1;
	request.far_factor = 2;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 0);
}

/* A gang preempts small, less urgent tasks: as few as possible, and none for
 * what is free already. */
static void
test_preempt(void)
{
	struct plan_worker a = worker_with(1, 10, 1);
	struct plan_worker b = worker_with(2, 2, 2);
	struct plan_preemption preemptions[2] = { { .worker = &a },
		{ .worker = &b } };
	struct plan_request request = request_of(2, 18, true);
	guint chosen = 0;

	for (int p = 0; p < 2; p++) {
		preemptions[p].victims =
		    g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
		for (int i = 0; i < 6; i++) {
			struct plan_victim v = { .resources = {
						     4000, GIB, 0 } };

			g_array_append_val(preemptions[p].victims, v);
		}
	}
	g_assert_cmpuint(plan_preempt(preemptions, 2, &request), ==, 2);
	g_assert_cmpuint(preemptions[0].tasks + preemptions[1].tasks, ==, 2);
	for (int p = 0; p < 2; p++)
		for (guint i = 0; i < preemptions[p].victims->len; i++)
			chosen += g_array_index(
			    preemptions[p].victims, struct plan_victim, i)
				      .chosen;
	/* 10 + 8 cores on one worker, 2 + 16 on the other: six victims. */
	g_assert_cmpuint(chosen, <=, 6);
	request.count = 9;
	g_assert_cmpuint(plan_preempt(preemptions, 2, &request), <, 9);
	g_array_unref(preemptions[0].victims);
	g_array_unref(preemptions[1].victims);
}

/* A task of a service that was accepted long ago goes before all other work
 * when it has to be restarted. */
static void
test_long_running_first(void)
{
	struct plan_pending service = { .accepted_ms = 0,
		.objective_ms = 500,
		.remaining_ms = 100,
		.long_running = true,
		.serial = 9 };
	struct plan_pending urgent = { .accepted_ms = 60000,
		.objective_ms = 1750,
		.remaining_ms = 1000,
		.serial = 1 };
	struct plan_pending overdue = { .accepted_ms = 0,
		.objective_ms = 500,
		.remaining_ms = 1000,
		.serial = 2 };

	g_assert_cmpint(plan_compare(&service, &urgent, 60200), <, 0);
	g_assert_cmpint(plan_compare(&service, &overdue, 60200), <, 0);
	g_assert_cmpint(plan_compare(&urgent, &service, 60200), >, 0);
}

/* A run that ends soon is awaited before one that can resume is stopped, and
 * that is stopped before one whose work would be lost. */
static void
test_preempt_least_loss(void)
{
	struct plan_worker a = worker_with(1, 0, 1);
	struct plan_preemption preemption = { .worker = &a };
	struct plan_request request = request_of(1, 8, false);
	struct plan_victim victims[] = {
		{ .resources = { 4000, GIB, 0 }, .lost_ms = 3000 },
		{ .resources = { 4000, GIB, 0 } },
		{ .resources = { 4000, GIB, 0 },
		    .lost_ms = 900,
		    .ends_soon = true },
	};

	preemption.victims =
	    g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
	g_array_append_vals(preemption.victims, victims, G_N_ELEMENTS(victims));
	g_assert_cmpuint(plan_preempt(&preemption, 1, &request), ==, 1);
	for (guint i = 0; i < preemption.victims->len; i++) {
		const struct plan_victim *v =
		    &g_array_index(preemption.victims, struct plan_victim, i);

		g_assert_cmpint(v->chosen, ==, v->lost_ms < 3000);
	}
	/* Two tasks don't fit; what does is reported. */
	request.count = 2;
	g_assert_cmpuint(plan_preempt(&preemption, 1, &request), ==, 0);
	g_array_unref(preemption.victims);
}

/* Approximates a normal deviate by the sum of twelve uniform ones. */
static double
normal(struct rng *rng)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += (double)rng_below(rng, 1000000) / 1e6;
	return sum;
}

/* Inaccurate declared run times get a low weight, accurate ones a high one. */
static void
test_estimate(void)
{
	struct plan_estimate inaccurate = { 0 };
	struct plan_estimate accurate = { 0 };
	struct rng rng = { 5 };

	g_assert_cmpint(plan_estimate_ms(&inaccurate, 700), ==, 700);
	for (int i = 0; i < 400; i++) {
		double actual = 6200 * exp(0.5 * normal(&rng));

		plan_estimate_update(&inaccurate,
		    (int64_t)(actual * exp(0.9 * normal(&rng))),
		    (int64_t)actual);
		plan_estimate_update(&accurate,
		    (int64_t)(actual * exp(0.1 * normal(&rng))),
		    (int64_t)actual);
	}
	g_assert_cmpint(plan_estimate_ms(&inaccurate, 600), >, 2500);
	g_assert_cmpint(plan_estimate_ms(&accurate, 600), <, 900);
	g_assert_cmpint(plan_estimate_ms(&accurate, 0), >, 4000);
	g_assert_cmpint(plan_estimate_ms(&accurate, 0), <, 9000);
}

static struct plan_candidate
candidate(uint32_t fits, enum plan_permit permit)
{
	return (struct plan_candidate){ .fits = fits, .permit = permit };
}

/* A gang whose permits expire at different times: valid ones count, and those
 * that expire before the answer are queried again. */
static void
test_query_gang(void)
{
	struct plan_request five = request_of(5, 27, true);
	struct plan_candidate mixed[] = { candidate(2, PLAN_PERMIT_VALID),
		candidate(2, PLAN_PERMIT_DENIED),
		candidate(2, PLAN_PERMIT_EXPIRING),
		candidate(1, PLAN_PERMIT_EXPIRING),
		candidate(0, PLAN_PERMIT_EXPIRING) };
	struct plan_candidate few[] = { candidate(2, PLAN_PERMIT_VALID),
		candidate(2, PLAN_PERMIT_DENIED),
		candidate(2, PLAN_PERMIT_UNKNOWN) };
	struct plan_candidate none[] = { candidate(2, PLAN_PERMIT_VALID),
		candidate(9, PLAN_PERMIT_DENIED) };

	g_assert_cmpuint(
	    plan_select_query_workers(mixed, 5, &five, false), ==, 2);
	g_assert_true(mixed[2].selected && mixed[3].selected);
	g_assert_false(
	    mixed[0].selected || mixed[1].selected || mixed[4].selected);
	/* With any answer, fewer than five tasks could start. */
	g_assert_cmpuint(
	    plan_select_query_workers(few, 3, &five, false), ==, 0);
	few[2].selected = false;
	g_assert_cmpuint(plan_select_query_workers(few, 3, &five, true), ==, 1);
	g_assert_cmpuint(
	    plan_select_query_workers(none, 2, &five, true), ==, 0);
}

/* A query for single tasks covers some spare capacity, but not all workers. */
static void
test_query_single(void)
{
	struct plan_request two = request_of(2, 6, false);
	struct plan_candidate all[40];
	uint32_t selected;

	for (guint i = 0; i < 40; i++)
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
	selected = plan_select_query_workers(all, 40, &two, false);
	g_assert_cmpuint(selected, >=, 10);
	g_assert_cmpuint(selected, <, 20);
}

/* A worker is probed after one failure and excluded after the second; a
 * success or time ends the probing. */
static void
test_failing_worker(void)
{
	struct plan_failure_record record = { 0 };
	struct plan_worker worker = worker_with(1, 60, 0);
	struct plan_request request = request_of(9, 10, false);

	g_assert_cmpint(plan_failure_state(&record, 0), ==, PLAN_HEALTHY);
	plan_failure_update(&record, false, false, 1000);
	g_assert_cmpint(plan_failure_state(&record, 1000), ==, PLAN_PROBING);
	g_assert_cmpint(
	    plan_failure_state(&record, 1000 + 10000), ==, PLAN_HEALTHY);
	plan_failure_update(&record, true, false, 1100);
	g_assert_cmpint(plan_failure_state(&record, 1100), ==, PLAN_HEALTHY);
	plan_failure_update(&record, false, false, 1200);
	plan_failure_update(&record, false, false, 1300);
	g_assert_cmpint(plan_failure_state(&record, 1300), ==, PLAN_EXCLUDED);
	/* The back-off grows with each failed probe, up to its limit. */
	for (int i = 0; i < 9; i++)
		plan_failure_update(
		    &record, false, false, record.excluded_until_ms);
	g_assert_cmpint(record.backoff_ms, >, 1000);
	g_assert_cmpint(record.backoff_ms, <, 3000);
	g_assert_cmpint(plan_failure_state(&record, record.excluded_until_ms),
	    ==, PLAN_PROBING);
	/* A probed worker takes one task, whatever is free. */
	worker.task_limit = 1;
	g_assert_cmpuint(plan_fit_count(&worker, &request), ==, 1);
	worker.task_limit = UINT32_MAX;
	g_assert_cmpuint(plan_fit_count(&worker, &request), ==, 6);
}

/* A failure of a task that failed before counts less: it may be the task. */
static void
test_failing_job(void)
{
	struct plan_failure_record record = { 0 };

	plan_failure_update(&record, false, false, 1000);
	plan_failure_update(&record, false, true, 1000);
	g_assert_cmpint(plan_failure_state(&record, 1000), ==, PLAN_PROBING);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plan/order", test_order);
	g_test_add_func("/plan/order-by-cost", test_order_by_cost);
	g_test_add_func("/plan/order-aged", test_order_aged);
	g_test_add_func("/plan/tightest-fit", test_tightest_fit);
	g_test_add_func("/plan/gang", test_gang);
	g_test_add_func("/plan/colocated", test_colocated);
	g_test_add_func("/plan/constraints", test_constraints);
	g_test_add_func("/plan/preempt", test_preempt);
	g_test_add_func("/plan/long-running-first", test_long_running_first);
	g_test_add_func("/plan/preempt-least-loss", test_preempt_least_loss);
	g_test_add_func("/plan/query-gang", test_query_gang);
	g_test_add_func("/plan/query-single", test_query_single);
	g_test_add_func("/plan/failing-worker", test_failing_worker);
	g_test_add_func("/plan/failing-job", test_failing_job);
	g_test_add_func("/plan/estimate", test_estimate);
	return g_test_run();
}
