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
	g_assert_cmpint(
	    plan_compare_latest_start(&urgent, &relaxed, 1200), <, 0);
	g_assert_cmpint(plan_compare_latest_start(&relaxed, &late, 1200), <, 0);
	g_assert_cmpint(plan_compare_latest_start(&late, &overdue, 1200), <, 0);
	g_assert_cmpint(plan_compare_latest_start(&overdue, &late, 1200), >, 0);
}

/* Guards against an order in which work that can't be of use any more takes
 * room from work that can, a job that needs much room goes before one that
 * needs little and costs as much when late, or a job that has just become late
 * waits behind all that can be in time. */
static void
test_order_by_cost(void)
{
	struct plan_pending small = { .objective_ms = 4000,
		.remaining_ms = 1000,
		.weight = 30000,
		.serial = 3 };
	struct plan_pending large = { .objective_ms = 4000,
		.remaining_ms = 1000,
		.weight = 200,
		.serial = 0 };
	struct plan_pending late = {
		.objective_ms = 1500, .remaining_ms = 1000, .weight = 7000
	};
	struct plan_pending overdue = {
		.objective_ms = 500, .remaining_ms = 1000, .weight = 90000
	};
	struct plan_pending service = { .long_running = true };

	g_assert_cmpint(plan_tier(&late, 1200), ==, PLAN_LATE);
	g_assert_cmpint(plan_compare(&small, &large, 1200), <, 0);
	g_assert_cmpint(plan_compare(&large, &small, 1200), >, 0);
	g_assert_cmpint(plan_compare(&small, &late, 1200), <, 0);
	g_assert_cmpint(plan_compare(&late, &large, 1200), <, 0);
	g_assert_cmpint(plan_compare(&large, &overdue, 1200), <, 0);
	g_assert_cmpint(plan_compare(&late, &overdue, 1200), <, 0);
	g_assert_cmpint(plan_compare(&service, &small, 1200), <, 0);
}

/* Guards against work that is passed over for ever. */
static void
test_order_aged(void)
{
	struct plan_pending urgent = {
		.objective_ms = 4000, .remaining_ms = 1000, .weight = 30000
	};
	struct plan_pending aged = { .accepted_ms = -100000,
		.objective_ms = 500,
		.remaining_ms = 1000,
		.weight = 1,
		.aged = true };
	struct plan_pending service = { .long_running = true };

	g_assert_cmpint(plan_compare(&aged, &urgent, 1200), <, 0);
	g_assert_cmpint(plan_compare(&service, &aged, 1200), <, 0);
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

/* The 3 in 100 tasks that take seven times as long widened the estimate, so
 * that work seemed late that was not. */
static void
test_robust(void)
{
	struct plan_estimate plain = { 0 };
	struct plan_estimate robust = { .robust = true };
	struct rng rng = { 11 };

	for (int i = 0; i < 2000; i++) {
		double declared = 2000 * exp(0.5 * normal(&rng));
		double actual = declared * exp(0.2 * normal(&rng));

		if (rng_below(&rng, 100) < 3)
			actual *= 7;
		plan_estimate_update(
		    &plain, (int64_t)declared, (int64_t)actual);
		plan_estimate_update(
		    &robust, (int64_t)declared, (int64_t)actual);
	}
	g_test_message("plain %.3f robust %.3f", plain.residual_variance,
	    robust.residual_variance);
	g_assert_cmpfloat(
	    robust.residual_variance, <, plain.residual_variance * 0.7);
	/* The true one is exp(1.28 * 0.2) times the median. */
	g_assert_cmpint(
	    plan_estimate_quantile_ms(&robust, 2000, PLAN_QUANTILE_HIGH), <,
	    2000 * 3 / 2);
	g_assert_cmpint(
	    plan_estimate_quantile_ms(&robust, 2000, PLAN_QUANTILE_HIGH), >,
	    2000 * 23 / 20);
	/* It still follows a lasting change. */
	for (int i = 0; i < 200; i++)
		plan_estimate_update(&robust, 2000, 6000);
	g_assert_cmpint(plan_estimate_ms(&robust, 2000), >, 5000);
}

/* A quantile that is off would make work seem late that is not, or have runs
 * awaited that don't end. */
static void
test_quantiles(void)
{
	struct plan_estimate e = { 0 };
	struct rng rng = { 7 };
	guint below_high = 0;
	guint below_median = 0;

	g_assert_cmpint(
	    plan_estimate_quantile_ms(&e, 1000, PLAN_QUANTILE_HIGH), >, 1200);
	for (int i = 0; i < 4000; i++) {
		double declared = 6200 * exp(0.5 * normal(&rng));
		double actual = declared * exp(0.9 * normal(&rng));

		if (i >= 1000) {
			below_high +=
			    actual < (double)plan_estimate_quantile_ms(&e,
					 (int64_t)declared, PLAN_QUANTILE_HIGH);
			below_median +=
			    actual < (double)plan_estimate_quantile_ms(
					 &e, (int64_t)declared, 0.5);
		}
		plan_estimate_update(&e, (int64_t)declared, (int64_t)actual);
	}
	g_assert_cmpfloat_with_epsilon(below_high / 3000.0, 0.9, 0.07);
	g_assert_cmpfloat_with_epsilon(below_median / 3000.0, 0.5, 0.07);
	g_assert_cmpint(plan_estimate_quantile_ms(&e, 800, 0.5) / 10, ==,
	    plan_estimate_ms(&e, 800) / 10);
}

static struct plan_candidate
candidate(uint32_t fits, enum plan_permit permit)
{
	return (struct plan_candidate){ .fits = fits, .permit = permit };
}

/* The only process, idle: nothing is split or held in reserve. */
static const struct plan_query_limits one_process = {
	.processes = 1, .idle = 1, .allowed_fraction = 0.4
};
static const struct plan_query_limits one_process_partial = {
	.processes = 1, .idle = 1, .allowed_fraction = 0.4, .partial = true
};

static uint32_t
count_named(const struct plan_candidate *candidates, guint count, uint32_t call)
{
	uint32_t named = 0;

	for (guint i = 0; i < count; i++)
		named += call == 0 ? candidates[i].call != 0
				   : candidates[i].call == call;
	return named;
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
	    plan_select_queries(mixed, 5, &five, &one_process), ==, 1);
	g_assert_cmpuint(count_named(mixed, 5, 0), ==, 2);
	g_assert_true(mixed[2].call == 1 && mixed[3].call == 1);
	/* With any answer, fewer than five tasks could start. */
	g_assert_cmpuint(
	    plan_select_queries(few, 3, &five, &one_process), ==, 0);
	g_assert_cmpuint(count_named(few, 3, 0), ==, 0);
	g_assert_cmpuint(
	    plan_select_queries(few, 3, &five, &one_process_partial), ==, 1);
	g_assert_cmpuint(count_named(few, 3, 0), ==, 1);
	g_assert_cmpuint(
	    plan_select_queries(none, 2, &five, &one_process_partial), ==, 0);
}

/* A query for single tasks covers some spare capacity, but not all workers; it
 * is one call however many processes are idle, and none follows before it is
 * answered. Guards against a short urgent step that occupies the processes. */
static void
test_query_single(void)
{
	struct plan_request two = request_of(2, 6, false);
	struct plan_query_limits limits = { .processes = 43,
		.idle = 43,
		.allowed_fraction = 0.4,
		.may_use_reserve = true };
	struct plan_candidate all[40];

	for (guint i = 0; i < 40; i++)
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 1);
	g_assert_cmpuint(count_named(all, 40, 0), >=, 10);
	g_assert_cmpuint(count_named(all, 40, 0), <, 20);
	/* The reserve is for such queries, if they are brief. */
	limits.idle = 1;
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 1);
	limits.saturated = true;
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 1);
	limits.may_use_reserve = false;
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 0);
	limits.idle = plan_query_reserve(43) + 1;
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 1);
	limits.saturated = false;
	limits.may_use_reserve = true;
	limits.idle = 42;
	limits.in_flight = 1;
	g_assert_cmpuint(plan_select_queries(all, 40, &two, &limits), ==, 0);
}

#define RESTART_PROCESSES 12
#define RESTART_STEPS 64
#define LONG_QUERY_MS 500
#define BRIEF_QUERY_MS 30
#define URGENT_WAIT_MS 250 /* the time that callers grant besides the run */

/* A step that waits for one answer. */
struct restart_step {
	int64_t ready_ms;
	int64_t asked_ms; /* -1: not yet */
	bool brief;
};

/* Asks for the steps that are ready, the urgent ones first, as far as processes
 * are idle. */
static void
ask_for_steps(struct restart_step *steps, int64_t *busy_until, int64_t now)
{
	struct plan_request two = request_of(2, 6, false);
	struct plan_candidate all[10];

	for (int i = 0; i < RESTART_STEPS; i++) {
		struct restart_step *s = &steps[i];
		struct plan_query_limits limits = { .processes =
							RESTART_PROCESSES,
			.allowed_fraction = 0.4,
			.may_use_reserve = s->brief };
		int idle = 0;

		for (int k = 0; k < RESTART_PROCESSES; k++) {
			limits.idle += busy_until[k] <= now;
			if (busy_until[k] <= now)
				idle = k;
		}
		limits.saturated = limits.idle * 2 <= limits.processes;
		for (int k = 0; k < 10; k++)
			all[k] = candidate(1, PLAN_PERMIT_UNKNOWN);
		if (s->asked_ms >= 0 || s->ready_ms > now ||
		    plan_select_queries(all, 10, &two, &limits) == 0)
			continue;
		s->asked_ms = now;
		busy_until[idle] =
		    now + (s->brief ? BRIEF_QUERY_MS : LONG_QUERY_MS);
	}
}

/*
 * After a restart 32 batches need permits by long queries at once, and an
 * urgent step by a brief one every 20 ms. Guards against long queries that take
 * all processes, so that urgent steps wait for half a second, and against a
 * reserve that leaves the batches behind.
 */
static void
test_queries_after_restart(void)
{
	struct restart_step steps[RESTART_STEPS];
	int64_t busy_until[RESTART_PROCESSES] = { 0 };
	int64_t last_ms = 0;

	for (int i = 0; i < RESTART_STEPS; i++)
		steps[i] = (struct restart_step){ .brief = i % 2 == 0,
			.ready_ms = i % 2 == 0 ? i * 10 : 0,
			.asked_ms = -1 };
	for (int64_t now = 0; now < 10000; now += 10)
		ask_for_steps(steps, busy_until, now);
	for (int i = 0; i < RESTART_STEPS; i++) {
		g_assert_cmpint(steps[i].asked_ms, >=, 0);
		if (steps[i].brief)
			g_assert_cmpint(steps[i].asked_ms - steps[i].ready_ms,
			    <=, URGENT_WAIT_MS);
		last_ms = MAX(last_ms, steps[i].asked_ms);
	}
	/* Three quarters of the processes are left to the long queries. */
	g_assert_cmpint(last_ms, <=,
	    RESTART_STEPS / 2 * LONG_QUERY_MS / (RESTART_PROCESSES * 3 / 4));
}

/* The queries of a gang are split over idle processes, but not over the
 * reserve. Guards against calls that take long because each names many workers,
 * and against gangs that leave no process to short urgent steps. */
static void
test_query_split(void)
{
	struct plan_request twenty = request_of(20, 6, true);
	struct plan_query_limits limits = {
		.processes = 43, .idle = 43, .allowed_fraction = 0.35
	};
	struct plan_candidate all[350];
	uint32_t reserve = plan_query_reserve(43);

	g_assert_cmpuint(reserve, >, 1);
	for (guint i = 0; i < 350; i++)
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
	g_assert_cmpuint(plan_select_queries(all, 350, &twenty, &limits), ==,
	    PLAN_QUERIES_MAX);
	/* More than one call can name, and as many in each. */
	g_assert_cmpuint(count_named(all, 350, 0), >, PLAN_CALL_WORKERS_MAX);
	g_assert_cmpuint(count_named(all, 350, 1), <, 40);
	g_assert_cmpuint(count_named(all, 350, PLAN_QUERIES_MAX), >, 30);
	limits.idle = reserve + 2;
	g_assert_cmpuint(
	    plan_select_queries(all, 350, &twenty, &limits), ==, 2);
	limits.idle = reserve;
	g_assert_cmpuint(
	    plan_select_queries(all, 350, &twenty, &limits), ==, 0);
	g_assert_cmpuint(count_named(all, 350, 0), ==, 0);
	/* Not for ever, if the other processes never get idle. */
	limits.passed_over = true;
	g_assert_cmpuint(
	    plan_select_queries(all, 350, &twenty, &limits), ==, 1);
	g_assert_cmpuint(count_named(all, 350, 0), ==, PLAN_CALL_WORKERS_MAX);
}

/* Queries ahead leave the reserve idle, however short they are, and name no
 * worker if enough are known to be allowed. Guards against speculation that
 * delays work that is ready. */
static void
test_query_ahead(void)
{
	struct plan_request two = request_of(2, 6, true);
	struct plan_query_limits limits = { .processes = 43,
		.idle = plan_query_ahead_reserve(43),
		.allowed_fraction = 0.4,
		.partial = true,
		.ahead = true };
	struct plan_candidate all[20];

	for (guint i = 0; i < 20; i++)
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
	g_assert_cmpuint(plan_select_queries(all, 20, &two, &limits), ==, 0);
	g_assert_cmpuint(limits.idle, >, plan_query_reserve(43));
	limits.idle++;
	g_assert_cmpuint(plan_select_queries(all, 20, &two, &limits), ==, 1);
	for (guint i = 0; i < 5; i++)
		all[i] = candidate(1, PLAN_PERMIT_VALID);
	g_assert_cmpuint(plan_select_queries(all, 20, &two, &limits), ==, 0);
	two.gang = limits.partial = false;
	g_assert_cmpuint(plan_select_queries(all, 20, &two, &limits), ==, 0);
}

/* What is in flight counts as expected: a gang asks about more workers only if
 * that doesn't suffice. Guards against queries that repeat each other. */
static void
test_query_in_flight(void)
{
	struct plan_request four = request_of(4, 6, true);
	struct plan_query_limits limits = { .processes = 43,
		.idle = 40,
		.in_flight = 3,
		.allowed_fraction = 0.4 };
	struct plan_candidate all[30];

	for (guint i = 0; i < 30; i++) {
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
		all[i].in_flight = i < 14;
	}
	g_assert_cmpuint(plan_select_queries(all, 30, &four, &limits), ==, 0);
	for (guint i = 0; i < 10; i++)
		all[i] = candidate(1, PLAN_PERMIT_DENIED);
	g_assert_cmpuint(plan_select_queries(all, 30, &four, &limits), ==, 1);
	for (guint i = 0; i < 14; i++)
		g_assert_cmpuint(all[i].call, ==, 0);
	limits.in_flight = PLAN_QUERIES_MAX;
	g_assert_cmpuint(plan_select_queries(all, 30, &four, &limits), ==, 0);
}

/* Checks a selection against the limits of the policy service and the step. */
static void
check_selection(const struct plan_candidate *candidates, guint count,
    const struct plan_query_limits *limits, uint32_t calls)
{
	uint32_t named = count_named(candidates, count, 0);

	g_assert_cmpuint(calls, <=, limits->idle);
	g_assert_cmpuint(calls + limits->in_flight, <=,
	    MAX(PLAN_QUERIES_MAX, limits->in_flight));
	for (uint32_t call = 1; call <= calls; call++) {
		uint32_t in_call = count_named(candidates, count, call);

		g_assert_cmpuint(in_call, >, 0);
		g_assert_cmpuint(in_call, <=, PLAN_CALL_WORKERS_MAX);
	}
	for (guint i = 0; i < count; i++) {
		const struct plan_candidate *c = &candidates[i];

		g_assert_cmpuint(c->call, <=, calls);
		if (c->call != 0)
			g_assert_true(!c->in_flight && c->fits > 0 &&
			    c->permit != PLAN_PERMIT_VALID &&
			    c->permit != PLAN_PERMIT_DENIED);
	}
	g_assert_cmpuint(
	    (named + PLAN_CALL_WORKERS_MAX - 1) / PLAN_CALL_WORKERS_MAX, <=,
	    calls);
	if (calls == 1 && limits->in_flight == 0 && !limits->ahead &&
	    (named <= PLAN_SHORT_QUERY_WORKERS || limits->passed_over))
		return;
	if (calls > 0)
		g_assert_cmpuint(limits->idle - calls, >=,
		    limits->ahead ? plan_query_ahead_reserve(limits->processes)
				  : plan_query_reserve(limits->processes));
}

/* Random steps: no call names more than 100 workers, none names one that is in
 * flight, and long queries leave the reserve idle. Guards against answers of
 * the policy service that refuse a whole call. */
static void
test_query_limits(void)
{
	struct rng rng = { 11 };
	struct plan_candidate all[600];

	for (int round = 0; round < 4000; round++) {
		guint count = (guint)rng_below(&rng, G_N_ELEMENTS(all) + 1);
		struct plan_request request =
		    request_of((uint32_t)rng_below(&rng, 60) + 1, 2,
			rng_below(&rng, 2) == 0);
		struct plan_query_limits limits = {
			.processes = (uint32_t)rng_below(&rng, 50),
			.in_flight =
			    (uint32_t)rng_below(&rng, PLAN_QUERIES_MAX + 2),
			.allowed_fraction = (double)rng_below(&rng, 100) / 100,
			.partial = rng_below(&rng, 4) == 0,
			.ahead = rng_below(&rng, 4) == 0,
			.passed_over = rng_below(&rng, 4) == 0
		};

		limits.idle = (uint32_t)rng_below(&rng, limits.processes + 1);
		for (guint i = 0; i < count; i++) {
			all[i] = candidate((uint32_t)rng_below(&rng, 3),
			    (enum plan_permit)rng_below(
				&rng, PLAN_PERMIT_DENIED + 1));
			all[i].in_flight =
			    limits.in_flight > 0 && rng_below(&rng, 8) == 0;
		}
		check_selection(all, count, &limits,
		    plan_select_queries(all, count, &request, &limits));
	}
}

/* The fraction follows the answers, from a first estimate. */
static void
test_allowed_fraction(void)
{
	struct plan_allowed allowed = { 0 };

	g_assert_cmpfloat(plan_allowed_fraction(&allowed), >, 0.3);
	g_assert_cmpfloat(plan_allowed_fraction(&allowed), <, 0.5);
	for (int i = 0; i < 200; i++)
		plan_allowed_update(&allowed, 30, 27);
	g_assert_cmpfloat(plan_allowed_fraction(&allowed), >, 0.85);
	for (int i = 0; i < 200; i++)
		plan_allowed_update(&allowed, 30, 3);
	g_assert_cmpfloat(plan_allowed_fraction(&allowed), <, 0.2);
	plan_allowed_update(&allowed, 100000, 0);
	g_assert_cmpfloat(plan_allowed_fraction(&allowed), >, 0);
}

/* The measured deployment, as test_query_replay() replays it. */
#define REPLAY_WORKERS 350
#define REPLAY_PROCESSES 43
#define REPLAY_GANG 20
#define REPLAY_ALLOWED_PERCENT 35
#define REPLAY_CALL_MS 559
#define REPLAY_WORKER_US 8060
#define REPLAY_PERMIT_MS 2200 /* 2.5 s less PERMIT_MARGIN_MS */
#define REPLAY_RENEW_MS 951 /* a call about 30 workers and a round */
#define REPLAY_TICK_MS 50
#define REPLAY_FREE_PERCENT 30 /* workers with room for a member */
#define REPLAY_CHANGE_PERCENT 3 /* of the workers are drawn again each tick */
#define REPLAY_LIMIT_MS 60000

/* Policy processes, which make one call at a time each. */
struct replay_pool {
	uint32_t processes;
	int64_t busy_until_ms[REPLAY_PROCESSES];
};

static uint32_t
pool_idle(const struct replay_pool *pool, int64_t now)
{
	uint32_t idle = 0;

	for (uint32_t i = 0; i < pool->processes; i++)
		idle += pool->busy_until_ms[i] <= now;
	return idle;
}

static void
pool_take(struct replay_pool *pool, int64_t now, int64_t until)
{
	uint32_t i = 0;

	while (pool->busy_until_ms[i] > now)
		i++;
	g_assert_cmpuint(i, <, pool->processes);
	pool->busy_until_ms[i] = until;
}

/* A gang that waits for permits. */
struct replay {
	struct rng rng;
	int64_t since_ms;
	struct plan_candidate workers[REPLAY_WORKERS];
	bool allowed[REPLAY_WORKERS];
	int64_t valid_until_ms[REPLAY_WORKERS];
	uint32_t named_by[REPLAY_WORKERS]; /* slot of its call + 1; 0: none */
	int64_t answer_ms[PLAN_QUERIES_MAX]; /* 0: no call in this slot */
	uint32_t calls;
};

static void
replay_answers(struct replay *r, int64_t now)
{
	for (uint32_t slot = 0; slot < PLAN_QUERIES_MAX; slot++) {
		if (r->answer_ms[slot] == 0 || r->answer_ms[slot] > now)
			continue;
		for (guint i = 0; i < REPLAY_WORKERS; i++) {
			struct plan_candidate *c = &r->workers[i];

			if (r->named_by[i] != slot + 1)
				continue;
			r->named_by[i] = 0;
			c->in_flight = false;
			if (r->allowed[i])
				r->valid_until_ms[i] =
				    r->answer_ms[slot] + REPLAY_PERMIT_MS;
			else
				c->permit = PLAN_PERMIT_DENIED;
		}
		r->answer_ms[slot] = 0;
	}
}

static uint32_t
replay_in_flight(const struct replay *r)
{
	uint32_t in_flight = 0;

	for (uint32_t slot = 0; slot < PLAN_QUERIES_MAX; slot++)
		in_flight += r->answer_ms[slot] != 0;
	return in_flight;
}

static void
replay_send(
    struct replay *r, struct replay_pool *pool, uint32_t call, int64_t now)
{
	uint32_t slot = 0;
	uint32_t named = 0;

	while (r->answer_ms[slot] != 0)
		slot++;
	for (guint i = 0; i < REPLAY_WORKERS; i++) {
		if (r->workers[i].call != call)
			continue;
		r->named_by[i] = slot + 1;
		r->workers[i].in_flight = true;
		named++;
	}
	r->answer_ms[slot] =
	    now + REPLAY_CALL_MS + named * REPLAY_WORKER_US / 1000;
	pool_take(pool, now, r->answer_ms[slot]);
	r->calls++;
}

/* Other work starts and ends; permits expire. Returns how many members could
 * start now. */
static uint32_t
replay_tick(struct replay *r, int64_t now)
{
	uint32_t startable = 0;

	for (guint i = 0; i < REPLAY_WORKERS; i++) {
		struct plan_candidate *c = &r->workers[i];

		if (now == r->since_ms ||
		    rng_below(&r->rng, 100) < REPLAY_CHANGE_PERCENT)
			c->fits = rng_below(&r->rng, 100) < REPLAY_FREE_PERCENT;
		if (r->valid_until_ms[i] > 0)
			c->permit = r->valid_until_ms[i] > now + REPLAY_RENEW_MS
			    ? PLAN_PERMIT_VALID
			    : PLAN_PERMIT_EXPIRING;
		startable += r->valid_until_ms[i] > now ? c->fits : 0;
	}
	return startable;
}

static struct replay *
replay_new(uint64_t seed, int64_t now)
{
	struct replay *r = g_new0(struct replay, 1);

	r->rng = (struct rng){ seed };
	r->since_ms = now;
	for (guint i = 0; i < REPLAY_WORKERS; i++)
		r->allowed[i] =
		    rng_below(&r->rng, 100) < REPLAY_ALLOWED_PERCENT;
	return r;
}

/* Returns whether all members have permits now; if not, sends what is
 * useful. */
static bool
replay_step(struct replay *r, struct replay_pool *pool, int64_t now)
{
	struct plan_request request = request_of(REPLAY_GANG, 6, true);
	struct plan_query_limits limits = { .processes = pool->processes,
		.allowed_fraction = REPLAY_ALLOWED_PERCENT / 100.0 };
	uint32_t send;

	replay_answers(r, now);
	if (replay_tick(r, now) >= REPLAY_GANG)
		return true;
	limits.in_flight = replay_in_flight(r);
	limits.idle = pool_idle(pool, now);
	send =
	    plan_select_queries(r->workers, REPLAY_WORKERS, &request, &limits);
	check_selection(r->workers, REPLAY_WORKERS, &limits, send);
	for (uint32_t call = 1; call <= send; call++)
		replay_send(r, pool, call, now);
	return false;
}

/* Returns how long a gang waits until all members have permits at a time. */
static int64_t
replay_gang(uint32_t processes, uint64_t seed, uint32_t *calls)
{
	struct replay_pool pool = { .processes = processes };
	struct replay *r = replay_new(seed, 0);
	int64_t now = 0;

	while (now < REPLAY_LIMIT_MS && !replay_step(r, &pool, now))
		now += REPLAY_TICK_MS;
	*calls = r->calls;
	g_free(r);
	return now;
}

#define REPLAY_GANGS 101

static gint
by_value(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Sorts the waits of many gangs into waits_ms. */
static void
replay_gangs(uint32_t processes, int64_t waits_ms[REPLAY_GANGS])
{
	uint32_t sum = 0;

	for (guint i = 0; i < REPLAY_GANGS; i++) {
		uint32_t calls;

		waits_ms[i] = replay_gang(processes, i + 1, &calls);
		sum += calls;
	}
	qsort(waits_ms, REPLAY_GANGS, sizeof(*waits_ms), by_value);
	g_test_message("%u processes: median %" G_GINT64_FORMAT
		       " ms, p90 %" G_GINT64_FORMAT " ms, %.1f calls",
	    processes, waits_ms[REPLAY_GANGS / 2],
	    waits_ms[REPLAY_GANGS * 9 / 10], (double)sum / REPLAY_GANGS);
}

/* Gangs on the measured deployment get their permits in fewer than two thirds
 * of the time if several calls are sent at a time. Guards against gangs that
 * wait for one long call after another. */
static void
test_query_replay(void)
{
	int64_t one[REPLAY_GANGS];
	int64_t several[REPLAY_GANGS];

	replay_gangs(1, one);
	replay_gangs(REPLAY_PROCESSES, several);
	g_assert_cmpint(
	    several[REPLAY_GANGS / 2] * 3, <, one[REPLAY_GANGS / 2] * 2);
	g_assert_cmpint(several[REPLAY_GANGS * 9 / 10] * 3, <,
	    one[REPLAY_GANGS * 9 / 10] * 2);
}

#define MIX_MS 120000
#define MIX_GANG_PERCENT 5 /* of ticks at which a burst of gangs arrives */
#define MIX_BURST 4 /* gangs that arrive together */
#define MIX_SHORT_PERCENT 40 /* of ticks at which a short step arrives */
#define MIX_SHORT_MS 640 /* a call about 10 workers */
#define MIX_GANGS_MAX 64

/* Bursts of gangs among short urgent steps, which go first in each round. */
struct mix {
	struct rng rng;
	struct replay_pool pool;
	struct replay *gangs[MIX_GANGS_MAX];
	guint gang_count;
	GArray *gang_waits; /* int64_t */
	GQueue shorts; /* int64_t: arrival */
	GArray *short_waits; /* int64_t */
};

static void
mix_shorts(struct mix *m, int64_t now)
{
	if (rng_below(&m->rng, 100) < MIX_SHORT_PERCENT)
		g_queue_push_tail(&m->shorts, g_memdup2(&now, sizeof(now)));
	while (!g_queue_is_empty(&m->shorts) && pool_idle(&m->pool, now) > 0) {
		int64_t *since = g_queue_pop_head(&m->shorts);
		int64_t wait = now - *since;

		g_array_append_val(m->short_waits, wait);
		pool_take(&m->pool, now, now + MIX_SHORT_MS);
		g_free(since);
	}
}

static void
mix_gangs(struct mix *m, int64_t now)
{
	bool burst = rng_below(&m->rng, 100) < MIX_GANG_PERCENT;

	for (int i = 0; burst && i < MIX_BURST && m->gang_count < MIX_GANGS_MAX;
	     i++)
		m->gangs[m->gang_count++] =
		    replay_new(rng_below(&m->rng, 1 << 30), now);
	for (guint i = 0; i < m->gang_count;) {
		int64_t wait = now - m->gangs[i]->since_ms;

		if (!replay_step(m->gangs[i], &m->pool, now)) {
			i++;
			continue;
		}
		g_array_append_val(m->gang_waits, wait);
		g_free(m->gangs[i]);
		m->gangs[i] = m->gangs[--m->gang_count];
	}
}

static int64_t
percentile(GArray *values, guint percent)
{
	g_array_sort(values, by_value);
	return g_array_index(values, int64_t, values->len * percent / 100);
}

/* Short steps among bursts of gangs get a process at once. Guards against
 * gangs that occupy all processes with several calls each. */
static void
test_query_mix(void)
{
	struct mix m = { .rng = { 3 },
		.pool = { .processes = REPLAY_PROCESSES },
		.gang_waits = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.short_waits = g_array_new(FALSE, FALSE, sizeof(int64_t)) };

	g_queue_init(&m.shorts);
	for (int64_t now = 0; now < MIX_MS; now += REPLAY_TICK_MS) {
		mix_shorts(&m, now);
		mix_gangs(&m, now);
	}
	g_test_message("%u gangs: median %" G_GINT64_FORMAT
		       " ms, p90 %" G_GINT64_FORMAT
		       " ms; %u short steps wait p99 %" G_GINT64_FORMAT " ms",
	    m.gang_waits->len, percentile(m.gang_waits, 50),
	    percentile(m.gang_waits, 90), m.short_waits->len,
	    percentile(m.short_waits, 99));
	g_assert_cmpint(percentile(m.short_waits, 99), ==, 0);
	g_assert_cmpint(percentile(m.gang_waits, 90), <, 2000);
	while (m.gang_count > 0)
		g_free(m.gangs[--m.gang_count]);
	g_queue_clear_full(&m.shorts, g_free);
	g_array_unref(m.gang_waits);
	g_array_unref(m.short_waits);
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
	plan_failure_update(&record, false, 1, 1000);
	g_assert_cmpint(plan_failure_state(&record, 1000), ==, PLAN_PROBING);
	g_assert_cmpint(
	    plan_failure_state(&record, 1000 + 10000), ==, PLAN_HEALTHY);
	plan_failure_update(&record, true, 0, 1100);
	g_assert_cmpint(plan_failure_state(&record, 1100), ==, PLAN_HEALTHY);
	plan_failure_update(&record, false, 1, 1200);
	plan_failure_update(&record, false, 1, 1300);
	g_assert_cmpint(plan_failure_state(&record, 1300), ==, PLAN_EXCLUDED);
	/* The back-off grows with each failed probe, up to its limit. */
	for (int i = 0; i < 9; i++)
		plan_failure_update(
		    &record, false, 1, record.excluded_until_ms);
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

/* Guards against a worker that is probed for half a minute, and gets no gang
 * for that time, as it has failed many runs at once. */
static void
test_failing_many_at_once(void)
{
	struct plan_failure_record record = { 0 };

	for (int i = 0; i < 100; i++)
		plan_failure_update(&record, false, 1, 1000);
	g_assert_cmpint(plan_failure_state(&record, 1000), ==, PLAN_EXCLUDED);
	g_assert_cmpint(plan_failure_state(&record, 4000), ==, PLAN_PROBING);
	g_assert_cmpint(plan_failure_state(&record, 11000), ==, PLAN_HEALTHY);
}

/* A failure of a task that failed before counts less: it may be the task. */
static void
test_failing_job(void)
{
	struct plan_failure_record record = { 0 };

	plan_failure_update(&record, false, 1, 1000);
	plan_failure_update(&record, false, plan_failure_weight(1), 1000);
	g_assert_cmpint(plan_failure_state(&record, 1000), ==, PLAN_PROBING);
}

/* A request placed by expected end, with slow workers from 1.5 on. */
static struct plan_request
request_by_end(
    uint32_t count, int64_t cores, bool gang, int64_t runtime_ms, int64_t spare)
{
	struct plan_request request = request_of(count, cores, gang);

	request.runtime_ms = runtime_ms;
	request.runtime_high_ms = runtime_ms * 3 / 2;
	request.spare_ms = spare;
	request.slow_from = 1.5;
	request.fast_suffice = true;
	return request;
}

/* Short urgent work ran on slow workers, where it was late, as these were the
 * tightest fit; it has to get a fast one whatever that leaves free. */
static void
test_tight_goes_fast(void)
{
	struct plan_worker fast = worker_with(1, 64, 1);
	struct plan_worker slow = worker_with(2, 4, 1);
	struct plan_worker *workers[] = { &slow, &fast };
	struct plan_request request = request_by_end(1, 4, false, 350, 250);
	uint32_t pick[1];

	slow.slowdown = 2.4;
	request.fast_scarce = true;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 1);
	plan_sort_by_speed(workers, 2, &request);
	g_assert_true(workers[0] == &fast);
	/* With no fast one free it does not wait. */
	fast.free.millicpus = 0;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
}

/* Work with time to spare must not use up the fast workers that urgent work
 * is about to need; while there are enough of them it uses them. */
static void
test_slack_goes_slow(void)
{
	struct plan_worker fast = worker_with(1, 8, 1);
	struct plan_worker slow = worker_with(2, 8, 1);
	struct plan_worker *workers[] = { &fast, &slow };
	struct plan_request request = request_by_end(1, 4, false, 2000, 7000);
	uint32_t pick[1];

	slow.slowdown = 2.4;
	request.fast_scarce = true;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 1);
	request.fast_scarce = false;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 0);
	/* Late anyway: the fast one is left to work that is not. */
	request.spare_ms = -1;
	request.fast_scarce = true;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 1);
}

/* One slow member makes a gang late, although fast workers hold all of it. */
static void
test_gang_of_like_speed(void)
{
	struct plan_worker w[] = { worker_with(1, 18, 1), worker_with(2, 64, 1),
		worker_with(3, 36, 2), worker_with(4, 36, 2) };
	struct plan_worker *workers[] = { &w[0], &w[1], &w[2], &w[3] };
	struct plan_request request = request_by_end(4, 18, true, 2900, 9000);
	uint32_t pick[4];

	w[0].slowdown = 2.4;
	w[1].slowdown = 2.3;
	w[3].slowdown = 1.1;
	g_assert_cmpuint(plan_place(workers, 4, &request, pick), ==, 4);
	for (int i = 0; i < 4; i++)
		g_assert_cmpuint(pick[i], >=, 2);
	/* Two more fit only with the slow ones: it has time and starts. */
	request.count = 2;
	request.spare_ms = 1000000;
	g_assert_cmpuint(plan_place(workers, 4, &request, pick), ==, 2);
	/* The members on fast workers would only wait for the others. */
	w[0] = worker_with(1, 18, 1);
	w[1] = worker_with(2, 64, 1);
	w[0].slowdown = w[1].slowdown = 2.4;
	w[2].free = w[2].capacity;
	request.fast_scarce = true;
	g_assert_cmpuint(plan_place(workers, 4, &request, pick), ==, 2);
	g_assert_cmpuint(pick[0], <, 2);
	g_assert_cmpuint(pick[1], <, 2);
}

/* A gang that would be late on slow workers waits for fast ones, but not
 * longer than it can be on time there, and not if they never hold it: it would
 * otherwise not start at all. */
static void
test_gang_waits_for_fast(void)
{
	struct plan_worker fast = worker_with(1, 18, 1);
	struct plan_worker slow = worker_with(2, 64, 1);
	struct plan_worker *workers[] = { &fast, &slow };
	struct plan_request request = request_by_end(2, 18, true, 2900, 2900);
	uint32_t pick[2];

	slow.slowdown = 2.4;
	g_assert_true(plan_waits_for_fast(&request));
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 0);
	g_assert_cmpuint(plan_fit_count(&slow, &request), ==, 0);
	request.fast_suffice = false;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 2);
	slow.free.millicpus = 64000;
	fast.free.millicpus = 18000;
	request.fast_suffice = true;
	request.spare_ms = 1000;
	g_assert_false(plan_waits_for_fast(&request));
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 2);
}

/* A simulated cell: workers of three speeds, and a wave of gangs, short urgent
 * jobs and wide jobs with time to spare. */
#define SIM_WORKERS 350
#define SIM_CORES 8
#define SIM_TICK_MS 20
#define SIM_MS 60000

enum sim_class { SIM_SHORT, SIM_GANG, SIM_WIDE, SIM_CLASSES };

static const struct {
	uint32_t tasks;
	int64_t cores;
	double work_ms;
	double slack;
	double target_ms;
	double per_s; /* arrivals */
} sim_classes[SIM_CLASSES] = {
	[SIM_SHORT] = { 1, 1, 500, 1.5, 300, 100 },
	[SIM_GANG] = { 20, 4, 4200, 2.2, 1000, 1.5 },
	[SIM_WIDE] = { 6, 1, 3000, 4, 500, 60 },
};

struct sim_job {
	enum sim_class class;
	int64_t accepted_ms;
	double work_ms; /* of its tasks, on average */
	int64_t estimate_ms; /* of that */
	uint32_t waiting; /* tasks */
	uint32_t running;
	int64_t end_ms; /* of the last task so far */
};

struct sim_run {
	guint worker;
	struct sim_job *job;
	int64_t end_ms;
};

struct sim {
	struct rng rng;
	bool by_end;
	double speed[SIM_WORKERS]; /* run time multiplier */
	struct plan_worker worker[SIM_WORKERS];
	struct plan_worker *workers[SIM_WORKERS];
	GPtrArray *jobs; /* struct sim_job */
	GPtrArray *waiting; /* of these */
	GArray *runs; /* struct sim_run */
	int64_t now;
};

static void
sim_arrivals(struct sim *s)
{
	double wave = 1 + 0.55 * sin(2 * G_PI * (double)s->now / 30000);

	for (int c = 0; c < SIM_CLASSES; c++) {
		double expected =
		    sim_classes[c].per_s * wave * SIM_TICK_MS / 1000;

		while (expected > 0) {
			struct sim_job *job;
			bool comes = (double)rng_below(&s->rng, 1000000) / 1e6 <
			    expected;

			expected -= 1;
			if (!comes)
				continue;
			job = g_new0(struct sim_job, 1);
			job->class = (enum sim_class)c;
			job->accepted_ms = s->now;
			job->work_ms =
			    sim_classes[c].work_ms * exp(0.3 * normal(&s->rng));
			job->estimate_ms = (int64_t)(job->work_ms *
			    exp(0.3 * normal(&s->rng)));
			job->waiting = sim_classes[c].tasks;
			g_ptr_array_add(s->jobs, job);
			g_ptr_array_add(s->waiting, job);
		}
	}
}

static struct plan_pending
sim_urgency(const struct sim *s, const struct sim_job *job)
{
	double fast = s->by_end ? 0.7 : 1;

	return (struct plan_pending){ .accepted_ms = job->accepted_ms,
		.objective_ms = (int64_t)(sim_classes[job->class].slack *
			(double)job->estimate_ms +
		    sim_classes[job->class].target_ms),
		.remaining_ms = (int64_t)(fast * (double)job->estimate_ms) };
}

static gint
sim_by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct sim *s = arg;
	struct plan_pending x = sim_urgency(s, *(struct sim_job *const *)a);
	struct plan_pending y = sim_urgency(s, *(struct sim_job *const *)b);

	return plan_compare_latest_start(&x, &y, s->now);
}

static bool
sim_fast_scarce(const struct sim *s)
{
	int64_t free = 0;
	int64_t all = 0;

	for (guint i = 0; i < SIM_WORKERS; i++)
		if (s->speed[i] < 1) {
			free += s->worker[i].free.millicpus;
			all += s->worker[i].capacity.millicpus;
		}
	return (double)free < 0.3 * (double)all;
}

static void
sim_start(struct sim *s, struct sim_job *job, const uint32_t *pick, uint32_t n)
{
	double longest = 0;

	for (uint32_t i = 0; i < n; i++) {
		double ms = job->work_ms * exp(0.15 * normal(&s->rng)) *
		    s->speed[pick[i]];
		struct sim_run run = { .worker = pick[i], .job = job };

		if (rng_below(&s->rng, 100) < 3 && job->class != SIM_GANG)
			ms *= 7;
		longest = MAX(longest, ms);
		run.end_ms = s->now + (int64_t)ms;
		g_array_append_val(s->runs, run);
	}
	for (uint32_t i = 0; job->class == SIM_GANG && i < n; i++)
		g_array_index(s->runs, struct sim_run, s->runs->len - 1 - i)
		    .end_ms = s->now + (int64_t)longest;
	job->waiting -= n;
	job->running += n;
}

static void
sim_place(struct sim *s, struct sim_job *job)
{
	struct plan_request request = request_of(job->waiting,
	    sim_classes[job->class].cores, job->class == SIM_GANG);
	struct plan_pending urgency = sim_urgency(s, job);
	uint32_t pick[64];

	if (s->by_end) {
		request.runtime_ms = urgency.remaining_ms;
		request.runtime_high_ms = urgency.remaining_ms * 8 / 5;
		request.spare_ms = plan_spare_ms(&urgency, s->now);
		request.slow_from = 1.5;
		request.fast_scarce = sim_fast_scarce(s);
		request.fast_suffice = true;
	}
	sim_start(
	    s, job, pick, plan_place(s->workers, SIM_WORKERS, &request, pick));
}

static void
sim_end_runs(struct sim *s)
{
	for (guint i = s->runs->len; i > 0; i--) {
		struct sim_run *r =
		    &g_array_index(s->runs, struct sim_run, i - 1);
		struct resources each = {
			sim_classes[r->job->class].cores * 1000, GIB, 0
		};

		if (r->end_ms > s->now)
			continue;
		resources_add(&s->worker[r->worker].free, &each, 1);
		r->job->running--;
		r->job->end_ms = MAX(r->job->end_ms, r->end_ms);
		g_array_remove_index_fast(s->runs, i - 1);
	}
}

static void
sim_tick(struct sim *s)
{
	sim_end_runs(s);
	if (s->now < SIM_MS)
		sim_arrivals(s);
	g_ptr_array_sort_with_data(s->waiting, sim_by_urgency, s);
	for (guint i = 0; i < s->waiting->len; i++)
		sim_place(s, s->waiting->pdata[i]);
	for (guint i = s->waiting->len; i > 0; i--)
		if (((struct sim_job *)s->waiting->pdata[i - 1])->waiting == 0)
			g_ptr_array_remove_index_fast(s->waiting, i - 1);
	s->now += SIM_TICK_MS;
}

/* Sets the share of the jobs of each class that end within their objectives,
 * which count from the work that was really done. */
static void
sim_shares(const struct sim *s, double share[SIM_CLASSES])
{
	guint in_time[SIM_CLASSES] = { 0 };
	guint all[SIM_CLASSES] = { 0 };

	for (guint i = 0; i < s->jobs->len; i++) {
		const struct sim_job *job = s->jobs->pdata[i];
		double objective =
		    sim_classes[job->class].slack * job->work_ms +
		    sim_classes[job->class].target_ms;

		all[job->class]++;
		in_time[job->class] +=
		    (double)(job->end_ms - job->accepted_ms) <= objective;
	}
	for (int c = 0; c < SIM_CLASSES; c++)
		share[c] = (double)in_time[c] / all[c];
}

static void
simulate(bool by_end, uint64_t seed, double share[SIM_CLASSES])
{
	static const double speeds[] = { 0.7, 0.7, 1.7 };
	struct sim *s = g_new0(struct sim, 1);

	s->rng.state = seed;
	s->by_end = by_end;
	s->jobs = g_ptr_array_new_with_free_func(g_free);
	s->waiting = g_ptr_array_new();
	s->runs = g_array_new(FALSE, FALSE, sizeof(struct sim_run));
	for (guint i = 0; i < SIM_WORKERS; i++) {
		s->worker[i] = worker_with(i, SIM_CORES, 1 + i % 3);
		s->worker[i].capacity.millicpus = SIM_CORES * 1000;
		s->workers[i] = &s->worker[i];
		s->speed[i] = speeds[i % 3];
		if (by_end)
			s->worker[i].slowdown =
			    s->speed[i] / 0.7 * exp(0.1 * normal(&s->rng));
		s->worker[i].slowdown = MAX(s->worker[i].slowdown, 1);
	}
	while (s->now < SIM_MS || s->waiting->len > 0 || s->runs->len > 0)
		sim_tick(s);
	sim_shares(s, share);
	g_ptr_array_unref(s->jobs);
	g_ptr_array_unref(s->waiting);
	g_array_unref(s->runs);
	g_free(s);
}

/* Guards against a search for the fastest workers that hold a gang which never
 * ends, as a worker has an undefined speed: a leader hung with far-factor=nan.
 */
static void
test_gang_undefined_speed(void)
{
	struct plan_worker a = worker_with(1, 64, 1);
	struct plan_worker b = worker_with(2, 64, 2);
	struct plan_worker *workers[] = { &a, &b };
	struct plan_request request = request_of(2, 40, true);
	uint32_t pick[2];

	request.runtime_ms = request.runtime_high_ms = 1000;
	request.slow_from = 1.5;
	b.slowdown = NAN;
	g_assert_cmpuint(plan_place(workers, 2, &request, pick), ==, 0);
	g_assert_cmpint(a.free.millicpus, ==, 64000);
}

/* With learnt speeds no class of work may do worse than without them; short
 * urgent jobs and gangs were late for the slow workers they ran on. */
static void
test_replay_uneven(void)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		double without[SIM_CLASSES];
		double with[SIM_CLASSES];

		simulate(false, seed, without);
		simulate(true, seed, with);
		g_test_message("without: short %.3f gang %.3f wide %.3f",
		    without[SIM_SHORT], without[SIM_GANG], without[SIM_WIDE]);
		g_test_message("with: short %.3f gang %.3f wide %.3f",
		    with[SIM_SHORT], with[SIM_GANG], with[SIM_WIDE]);
		g_assert_cmpfloat(with[SIM_SHORT], >, without[SIM_SHORT]);
		g_assert_cmpfloat(with[SIM_SHORT], >, 0.955);
		g_assert_cmpfloat(with[SIM_GANG], >, without[SIM_GANG] + 0.1);
		g_assert_cmpfloat(with[SIM_GANG], >, 0.95);
		/* At best 0.97^6: one long task makes such a job late. */
		g_assert_cmpfloat(with[SIM_WIDE], >, without[SIM_WIDE] - 0.02);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plan/order", test_order);
	g_test_add_func("/plan/quantiles", test_quantiles);
	g_test_add_func("/plan/robust", test_robust);
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
	g_test_add_func("/plan/query-split", test_query_split);
	g_test_add_func(
	    "/plan/queries-after-restart", test_queries_after_restart);
	g_test_add_func("/plan/query-ahead", test_query_ahead);
	g_test_add_func("/plan/query-in-flight", test_query_in_flight);
	g_test_add_func("/plan/query-limits", test_query_limits);
	g_test_add_func("/plan/query-replay", test_query_replay);
	g_test_add_func("/plan/query-mix", test_query_mix);
	g_test_add_func("/plan/allowed-fraction", test_allowed_fraction);
	g_test_add_func("/plan/failing-worker", test_failing_worker);
	g_test_add_func(
	    "/plan/failing-many-at-once", test_failing_many_at_once);
	g_test_add_func("/plan/failing-job", test_failing_job);
	g_test_add_func("/plan/estimate", test_estimate);
	g_test_add_func("/plan/tight-goes-fast", test_tight_goes_fast);
	g_test_add_func("/plan/slack-goes-slow", test_slack_goes_slow);
	g_test_add_func("/plan/gang-of-like-speed", test_gang_of_like_speed);
	g_test_add_func("/plan/gang-waits-for-fast", test_gang_waits_for_fast);
	g_test_add_func(
	    "/plan/gang-undefined-speed", test_gang_undefined_speed);
	g_test_add_func("/plan/replay-uneven", test_replay_uneven);
	return g_test_run();
}
