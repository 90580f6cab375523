/* Tests of learnt speeds. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "speed.h"

#define WORKERS 30

/* Run time multipliers of the workers of a cell. */
static const double multipliers[] = { 0.7, 0.7, 1.7 };

/* Approximates a normal deviate by the sum of twelve uniform ones. */
static double
normal(struct rng *rng)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += (double)rng_below(rng, 1000000) / 1e6;
	return sum;
}

static double
multiplier_of(guint worker)
{
	return multipliers[worker % G_N_ELEMENTS(multipliers)];
}

static const char *
address_of(guint worker)
{
	static char text[32];

	snprintf(text, sizeof(text), "127.0.0.%u:1", worker);
	return text;
}

/* A task of a simulated step. */
struct sample {
	guint worker;
	int64_t ran_ms;
};

static int
by_run_time(const void *a, const void *b)
{
	const struct sample *x = a;
	const struct sample *y = b;

	return x->ran_ms < y->ran_ms ? -1 : x->ran_ms > y->ran_ms;
}

/*
 * Ends all tasks of a step that started at the same time on random workers, in
 * the order of their run times. Their work differs by 20%, 3 in 100 take seven
 * times as long and the declared run time is off by e^0.9.
 */
static void
run_step(struct speed_table *t, struct rng *rng, guint tasks, int64_t now)
{
	struct sample all[64];
	struct speed_peers peers = { 0 };
	double work_ms = 2000 * exp(0.5 * normal(rng));
	int64_t declared_ms = (int64_t)(work_ms * exp(0.9 * normal(rng)));

	for (guint i = 0; i < tasks; i++) {
		double ms = work_ms * exp(0.2 * normal(rng));

		all[i].worker = (guint)rng_below(rng, WORKERS);
		if (rng_below(rng, 100) < 3)
			ms *= 7;
		all[i].ran_ms = (int64_t)(ms * multiplier_of(all[i].worker));
	}
	qsort(all, tasks, sizeof(all[0]), by_run_time);
	for (guint i = 0; i < tasks; i++) {
		struct speed_run run = { .address = address_of(all[i].worker),
			.queue = "renders",
			.declared_ms = declared_ms,
			.ran_ms = all[i].ran_ms,
			.at_ms = now };

		speed_update(t, &run, &peers);
	}
}

static void
run_steps(struct speed_table *t, struct rng *rng, guint count, guint tasks)
{
	for (guint i = 0; i < count; i++)
		run_step(t, rng, tasks, i);
}

/* Returns the largest factor by which the learnt multiplier of a worker
 * relative to the others is off. */
static double
largest_error(const struct speed_table *t)
{
	double mean = 0;
	double worst = 0;

	for (guint w = 0; w < WORKERS; w++)
		mean += log2(multiplier_of(w)) / WORKERS;
	for (guint w = 0; w < WORKERS; w++) {
		double learnt =
		    (double)speed_of(t, address_of(w)).slowdown / SPEED_ONE;

		worst =
		    MAX(worst, fabs(learnt - (log2(multiplier_of(w)) - mean)));
	}
	return exp2(worst);
}

static double
spread_of(const struct speed_table *t)
{
	int64_t slowdowns[WORKERS];
	struct speed_spread spread;

	for (guint w = 0; w < WORKERS; w++)
		slowdowns[w] = speed_of(t, address_of(w)).slowdown;
	spread = speed_spread(slowdowns, WORKERS);
	return exp2((double)(spread.slow - spread.fast) / SPEED_ONE);
}

/* An integer logarithm that is off would shift all speeds. */
static void
test_log2(void)
{
	for (int64_t v = 1; v < INT64_C(1) << 50; v = v * 9 / 7 + 1)
		g_assert_cmpfloat_with_epsilon(
		    (double)speed_log2(v) / SPEED_ONE, log2((double)v), 0.0001);
	g_assert_cmpint(speed_log2(0), ==, 0);
	g_assert_cmpint(speed_log2(-5), ==, 0);
}

/*
 * Fails if one of the long tasks decides the speed of its worker, or if speeds
 * are learnt too late to be of use: 10 samples per worker must do.
 */
static void
test_converges(void)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		struct speed_table *t = speed_new();
		struct rng rng = { seed };

		run_steps(t, &rng, WORKERS * 10 / 20, 20);
		g_test_message("steps: spread %.2f error %.2f", spread_of(t),
		    largest_error(t));
		g_assert_cmpfloat(spread_of(t), >, 1.9);
		g_assert_cmpfloat(spread_of(t), <, 3);
		/* Much later it is no worse. */
		run_steps(t, &rng, 1000, 20);
		g_test_message("later: spread %.2f error %.2f", spread_of(t),
		    largest_error(t));
		g_assert_cmpfloat(spread_of(t), >, 1.9);
		g_assert_cmpfloat(spread_of(t), <, 3);
		g_assert_cmpfloat(largest_error(t), <, 1.5);
		speed_free(t);
	}
}

/* Jobs of one task have no peers: fails if these teach nothing, or if the
 * error of the declared run times makes equal workers seem uneven. */
static void
test_single_tasks(void)
{
	struct speed_table *t = speed_new();
	struct rng rng = { 1 };

	run_steps(t, &rng, WORKERS * 100, 1);
	g_test_message(
	    "spread %.2f error %.2f", spread_of(t), largest_error(t));
	g_assert_cmpfloat(spread_of(t), >, 1.75);
	g_assert_cmpfloat(spread_of(t), <, 3.2);
	speed_free(t);
}

/* Where all workers are equally fast, chance must not make speeds take effect.
 */
static void
test_even(void)
{
	struct speed_table *t = speed_new();
	struct rng rng = { 3 };

	for (guint round = 0; round < 60; round++) {
		for (guint w = 0; w < WORKERS; w++) {
			struct speed_peers peers = { 0 };
			double work_ms = 2000 * exp(0.5 * normal(&rng));

			for (guint i = 0; i < 1 + round % 3; i++) {
				struct speed_run run = { .queue = "renders",
					.address =
					    address_of((w + i) % WORKERS),
					.declared_ms = (int64_t)(work_ms *
					    exp(0.9 * normal(&rng))),
					.ran_ms = (int64_t)(work_ms *
					    exp(0.2 * normal(&rng))) };

				if (rng_below(&rng, 100) < 3)
					run.ran_ms *= 7;
				speed_update(t, &run, &peers);
			}
		}
		g_assert_cmpfloat(spread_of(t), <, 1.75);
	}
	g_test_message("spread %.2f", spread_of(t));
	speed_free(t);
}

static GBytes *
encode(const struct speed_table *t)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, SPEED_FIELDS);
	speed_put(&pk, t);
	return codec_take_buffer(&buf);
}

static struct speed_table *
decode(GBytes *bytes)
{
	struct speed_table *t = speed_new();
	msgpack_unpacked u;
	struct reader r;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	g_assert_true(codec_open(&u, data, len, &r));
	speed_get(&r, t);
	g_assert_true(codec_done(&r));
	codec_close(&u);
	return t;
}

/* A replica that was restored from a snapshot half-way must learn the same from
 * then on, or the replicas' states differ. */
static void
test_snapshot(void)
{
	struct speed_table *t = speed_new();
	struct rng rng = { 9 };
	struct rng same;
	struct speed_table *copy;
	GBytes *bytes;
	GBytes *again;

	run_steps(t, &rng, 50, 20);
	bytes = encode(t);
	copy = decode(bytes);
	g_bytes_unref(bytes);
	same = rng;
	run_steps(t, &rng, 50, 20);
	run_steps(copy, &same, 50, 20);
	bytes = encode(t);
	again = encode(copy);
	g_assert_true(g_bytes_equal(bytes, again));
	g_bytes_unref(bytes);
	g_bytes_unref(again);
	speed_free(t);
	speed_free(copy);
}

/* Workers come and go under new addresses: the table must not grow without
 * bound, and keeps what was used last. */
static void
test_bound(void)
{
	struct speed_table *t = speed_new();
	char address[32];

	for (guint i = 0; i < SPEED_WORKERS_MAX + 500; i++) {
		struct speed_peers peers = { .sum = speed_log2(1000),
			.count = 5 };
		struct speed_run run = { .address = address,
			.queue = "renders",
			.ran_ms = 2000,
			.at_ms = i };

		snprintf(address, sizeof(address), "a%u", i);
		speed_update(t, &run, &peers);
		run.address = "kept";
		speed_update(t, &run, &peers);
	}
	g_assert_cmpuint(speed_of(t, "kept").samples, >, 4000);
	g_assert_cmpuint(speed_of(t, "a0").samples, ==, 0);
	g_assert_cmpuint(speed_of(t, "a500").samples, ==, 0);
	g_assert_cmpuint(speed_of(t, "a501").samples, ==, 1);
	g_assert_cmpuint(speed_of(t, address).samples, ==, 1);
	speed_prune(t, SPEED_WORKERS_MAX + 499);
	g_assert_cmpuint(speed_of(t, "a501").samples, ==, 0);
	g_assert_cmpuint(speed_of(t, address).samples, ==, 1);
	g_assert_false(speed_is_empty(t));
	speed_prune(t, SPEED_WORKERS_MAX + 500);
	g_assert_true(speed_is_empty(t));
	speed_free(t);
}

/* A worker that becomes slow, or is replaced at its address, is known within
 * some dozen samples. */
static void
test_adapts(void)
{
	struct speed_table *t = speed_new();
	struct speed_run run = { .address = "b", .queue = "renders" };
	int64_t before;

	for (int i = 0; i < 424; i++) {
		struct speed_peers peers = { .sum = 9 * speed_log2(1000),
			.count = 9 };

		run.address = "a";
		run.ran_ms = 1000;
		speed_update(t, &run, &peers);
		run.address = "b";
		run.ran_ms = i < 400 ? 1000 : 2000;
		speed_update(t, &run, &peers);
	}
	before = speed_of(t, "b").slowdown - speed_of(t, "a").slowdown;
	g_assert_cmpint(before, >, SPEED_ONE * 3 / 4);
	speed_free(t);
}

/* The run times of a queue are taken from a worker of normal speed: fails if
 * the speeds of the workers enter into them. */
static void
test_work(void)
{
	struct speed_table *t = speed_new();
	struct rng rng = { 4 };
	struct speed_work work;

	g_assert_cmpuint(speed_work_of(t, "renders").samples, ==, 0);
	run_steps(t, &rng, 400, 20);
	work = speed_work_of(t, "renders");
	g_test_message("work %.2f +-%.2f error %.2f +-%.2f",
	    (double)work.mean / SPEED_ONE, (double)work.deviation / SPEED_ONE,
	    (double)work.error_mean / SPEED_ONE,
	    (double)work.error_deviation / SPEED_ONE);
	g_assert_cmpuint(work.samples, ==, 8000);
	g_assert_cmpfloat_with_epsilon(
	    (double)work.mean / SPEED_ONE, log2(2000), 1);
	speed_free(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/speed/log2", test_log2);
	g_test_add_func("/speed/converges", test_converges);
	g_test_add_func("/speed/single-tasks", test_single_tasks);
	g_test_add_func("/speed/even", test_even);
	g_test_add_func("/speed/snapshot", test_snapshot);
	g_test_add_func("/speed/bound", test_bound);
	g_test_add_func("/speed/adapts", test_adapts);
	g_test_add_func("/speed/work", test_work);
	return g_test_run();
}
