/*
 * The cost of decisions under overload: with 10,000 waiting steps, 540 workers
 * and a full table of refused jobs, the time to record the load of a round, to
 * sort the steps, and to decide on a job. Exits with 1 if the 99th percentile
 * of the load and a decision together is above 5 ms.
 */
#include <stdio.h>
#include <time.h>

#include "admit.h"
#include "plan.h"

#define STEPS 10000
#define WORKERS 540
#define RUNS_PER_WORKER 9
#define ROUNDS 400
#define LIMIT_US 5000
#define GIB (INT64_C(1) << 30)

static struct cost_job jobs[STEPS];

/* Processor time, so that other processes don't count. */
static int64_t
cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int64_t
percentile(GArray *us, int percent)
{
	g_array_sort(us, by_value);
	return g_array_index(
	    us, int64_t, MIN(us->len * percent / 100, us->len - 1));
}

static int
print(const char *what, GArray *us)
{
	int64_t p99 = percentile(us, 99);

	printf("%-20s p50 %6" G_GINT64_FORMAT " us  p99 %6" G_GINT64_FORMAT
	       " us\n",
	    what, percentile(us, 50), p99);
	return p99 > LIMIT_US;
}

static void
make_jobs(struct rng *rng)
{
	for (int i = 0; i < STEPS; i++)
		jobs[i] = (struct cost_job){ .priority =
						 (uint32_t)rng_below(rng, 3),
			.entitled_permille = COST_ENTITLED_FULL,
			.first_ms = (int64_t)rng_below(rng, 60000),
			.objective_ms = 1000 + (int64_t)rng_below(rng, 30000),
			.remaining_ms = 500 + (int64_t)rng_below(rng, 6000),
			.work = 1000 + (int64_t)rng_below(rng, 2000000) };
}

static void
record_load(struct admit *a, int64_t now_ms)
{
	struct admit_load load = { .now_ms = now_ms };
	struct resources worker = { 64000, 256 * GIB, 0 };
	struct resources run = { 6900, 4 * GIB, 0 };

	for (int i = 0; i < WORKERS; i++)
		resources_add(&load.capacity, &worker, 1);
	for (int i = 0; i < WORKERS * RUNS_PER_WORKER; i++) {
		resources_add(&load.used, &run, 1);
		admit_load_add_run(&load, &run, i % 2200);
	}
	for (int i = 0; i < STEPS; i++)
		admit_load_add(&load, &jobs[i], jobs[i].remaining_ms);
	admit_update(a, &load);
}

static gint
by_order(gconstpointer a, gconstpointer b, gpointer arg)
{
	const int64_t *now_ms = arg;

	return plan_compare(a, b, *now_ms);
}

static int64_t
sort_steps(int64_t now_ms)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(struct plan_pending));
	int64_t start = cpu_us();

	for (int i = 0; i < STEPS; i++) {
		struct plan_pending p = { .accepted_ms = jobs[i].first_ms,
			.objective_ms = jobs[i].objective_ms,
			.remaining_ms = jobs[i].remaining_ms,
			.weight = cost_weight(&jobs[i], now_ms),
			.serial = (uint64_t)i };

		g_array_append_val(steps, p);
	}
	g_array_sort_with_data(steps, by_order, &now_ms);
	g_array_unref(steps);
	return cpu_us() - start;
}

static int64_t
decide(struct admit *a, uint64_t id, int64_t now_ms, uint32_t *refused)
{
	struct admit_request r = {
		.id = id, .now_ms = now_ms, .job = jobs[id % STEPS]
	};
	int64_t start = cpu_us();

	*refused += !admit_decide(a, &r).accept;
	return cpu_us() - start;
}

int
main(void)
{
	struct rng rng = { .state = 1 };
	struct admit *a = admit_new();
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *sorts = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *decisions = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *both = g_array_new(FALSE, FALSE, sizeof(int64_t));
	uint32_t refused = 0;
	uint64_t id = 1;
	int failed;

	make_jobs(&rng);
	for (int64_t now = 60000; now < 60000 + ROUNDS * 50; now += 50) {
		int64_t start = cpu_us();
		int64_t us;

		record_load(a, now);
		us = cpu_us() - start;
		g_array_append_val(loads, us);
		for (int i = 0; i < 20; i++) {
			int64_t one = decide(a, id++, now, &refused);
			int64_t sum = us + one;

			g_array_append_val(decisions, one);
			g_array_append_val(both, sum);
		}
		us = sort_steps(now);
		g_array_append_val(sorts, us);
	}
	printf("%d steps, %d workers, %u of %" G_GUINT64_FORMAT
	       " jobs refused, %u remembered\n",
	    STEPS, WORKERS, refused, id - 1, admit_refused_count(a));
	(void)print("load of a round", loads);
	(void)print("order of the steps", sorts);
	g_array_unref(sorts);
	(void)print("decision", decisions);
	failed = print("load and decision", both);
	g_array_unref(loads);
	g_array_unref(decisions);
	g_array_unref(both);
	admit_free(a);
	return failed;
}
