/* lib/share: caps, shares of the workers, and rates. */
#include "share_replay.h"

/* A task that needs a resource without a limit, or none of a limited one, is
 * not held back by that. */
static void
test_no_limit(void)
{
	struct resources cap = { .memory = 100 };
	struct resources used = { 1 << 20, 100, 7 };

	g_assert_true(share_fits_cap(&used, &cap));
	g_assert_cmpuint(share_tasks_within_cap(&used, &cap,
			     &(struct resources){ 9000, 0, 1 }, 12, true),
	    ==, 12);
	g_assert_cmpuint(share_tasks_within_cap(&used, &cap,
			     &(struct resources){ 0, 1, 0 }, 12, false),
	    ==, 0);
}

/* Each resource limits the tasks; a gang that doesn't fit as a whole doesn't
 * start in part. */
static void
test_tasks_within_cap(void)
{
	struct resources cap = { 4000, 1000, 2 };
	struct resources used = { 1000, 100, 0 };
	struct resources each = { 500, 300, 0 };

	g_assert_cmpuint(
	    share_tasks_within_cap(&used, &cap, &each, 9, false), ==, 3);
	g_assert_cmpuint(
	    share_tasks_within_cap(&used, &cap, &each, 3, true), ==, 3);
	g_assert_cmpuint(
	    share_tasks_within_cap(&used, &cap, &each, 4, true), ==, 0);
	each.accelerators = 1;
	g_assert_cmpuint(
	    share_tasks_within_cap(&used, &cap, &each, 9, false), ==, 2);
}

/* A cap that was lowered below the use in one resource allows no start, not
 * even of a task that needs nothing of that resource. */
static void
test_above_cap(void)
{
	struct resources cap = { 4000, 1000, 0 };
	struct resources used = { 1000, 1001, 0 };

	g_assert_false(share_fits_cap(&used, &cap));
	g_assert_cmpuint(share_tasks_within_cap(&used, &cap,
			     &(struct resources){ 1, 0, 0 }, 1, false),
	    ==, 0);
	used.memory = 1000;
	g_assert_cmpuint(share_tasks_within_cap(&used, &cap,
			     &(struct resources){ 1, 0, 0 }, 1, false),
	    ==, 1);
}

/* The need of a whole gang may exceed what an integer can hold: it must not
 * wrap around and seem to fit. */
static void
test_overflow(void)
{
	struct resources cap = { 0, INT64_MAX, 0 };
	struct resources each = { 0, INT64_MAX / 2, 0 };

	g_assert_false(share_can_ever_fit(&cap, &each, 10000, true));
	g_assert_true(share_can_ever_fit(&cap, &each, 10000, false));
	g_assert_true(share_can_ever_fit(&cap, &each, 2, true));
}

static const struct replay_conf full = { .seed = 1,
	.millicpus = 200000,
	.usual = 0.9,
	.rush = 1,
	.duration_ms = 120000,
	.shares = true };

/*
 * The load that shares are for: one organisation at nine times its usual rate,
 * twenty of unequal size, all workers full. The others are served as on a day
 * without the rush; with the order of lib/plan alone a quarter of their jobs
 * was late. Without the turns between the first and the last, three in a
 * hundred were.
 */
static void
test_rush(void)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		struct replay_conf conf = full;
		struct replay_result usual;
		struct replay_result rush;

		conf.seed = seed;
		usual = replay_run(&conf);
		conf.rush = 9;
		rush = replay_run(&conf);
		g_assert_cmpfloat(replay_in_time(&rush, 1), >=,
		    replay_in_time(&usual, 1) - 0.02);
		g_assert_cmpfloat(rush.idle_share, ==, 0);
		conf.shares = false;
		rush = replay_run(&conf);
		g_assert_cmpfloat(replay_in_time(&rush, 1), <,
		    replay_in_time(&usual, 1) - 0.1);
	}
}

/* With admission by weight, most of the rush is refused and hardly anything of
 * the others, whose random arrivals have the rate of their weight; they are
 * served as without the rush. */
static void
test_rush_refused(void)
{
	struct replay_conf conf = full;
	struct replay_result usual;
	struct replay_result rush;
	uint32_t sent = 0;
	uint32_t refused = 0;

	conf.admission = true;
	usual = replay_run(&conf);
	conf.rush = 9;
	rush = replay_run(&conf);
	for (int i = 1; i < REPLAY_ORGANISATIONS; i++) {
		sent += rush.sent[i];
		refused += rush.refused[i];
	}
	g_assert_cmpfloat(refused, <, 0.02 * sent);
	g_assert_cmpfloat(rush.refused[0], >, 0.4 * rush.sent[0]);
	g_assert_cmpfloat(
	    replay_in_time(&rush, 1), >=, replay_in_time(&usual, 1) - 0.02);
}

/* Whatever the load: no cap is exceeded, capacity that is free and allowed is
 * used, and all work ends, so that nobody starves. */
static void
test_random_load(void)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		struct rng rng = { seed };
		struct replay_conf conf = { .seed = seed,
			.millicpus = (int64_t)(1 + rng_below(&rng, 60)) * 1000,
			.usual = 0.1 + (double)rng_below(&rng, 15) / 10,
			.rush = (double)rng_below(&rng, 20),
			.duration_ms = 10000,
			.shares = true,
			.admission = rng_below(&rng, 2) == 0 };
		struct replay_result r;

		conf.cap.millicpus = rng_below(&rng, 2) == 0
		    ? 0
		    : (int64_t)(1000 + rng_below(&rng, 9000));
		r = replay_run(&conf);
		g_assert_false(r.cap_exceeded);
		g_assert_cmpfloat(r.idle_share, ==, 0);
		g_assert_cmpuint(r.unfinished, ==, 0);
	}
}

/* An organisation gets tasks up to its entitlement in the first turn, at least
 * one however small that is; one without weight gets only what is left. */
static void
test_tasks_due(void)
{
	struct resources whole = { 10000, 1000, 0 };
	struct resources each = { 1000, 10, 1 };
	struct resources used = { 0 };

	g_assert_cmpuint(
	    share_tasks_due(&used, &whole, 0.35, 0, &each, 9, false), ==, 4);
	g_assert_cmpuint(
	    share_tasks_due(&used, &whole, 0.001, 0, &each, 9, false), ==, 1);
	g_assert_cmpuint(
	    share_tasks_due(&used, &whole, 0.35, 0, &each, 9, true), ==, 9);
	g_assert_cmpuint(
	    share_tasks_due(&used, &whole, 0, 2, &each, 9, false), ==, 0);
	used.memory = 350;
	g_assert_true(share_over_due(&used, &whole, 0.35));
	g_assert_cmpuint(
	    share_tasks_due(&used, &whole, 0.35, 0, &each, 9, true), ==, 0);
	g_assert_cmpuint(share_tasks_due(&used, &whole, 0.35, SHARE_TURNS - 1,
			     &each, 9, false),
	    ==, 9);
}

/* Runs are stopped to give an organisation its entitlement, not to take it from
 * one. */
static void
test_may_preempt(void)
{
	int one;
	int two;
	struct share_side within = { &one, true };
	struct share_side above = { &two, false };
	struct share_side also_within = { &two, true };

	g_assert_true(share_may_preempt(&within, &above, false));
	g_assert_true(share_may_preempt(&within, &also_within, true));
	g_assert_false(share_may_preempt(&within, &also_within, false));
	g_assert_false(share_may_preempt(&above, &within, true));
	g_assert_false(share_may_preempt(&above, &above, false));
	g_assert_true(share_may_preempt(&above, &above, true));
}

/* A burst is allowed, then the rate of the weight. The delays that callers are
 * told don't make them all come back at once, and are bounded. */
static void
test_bucket(void)
{
	struct share_bucket b = { 0 };
	int64_t last = 0;
	int within = 0;

	for (int i = 0; i < 100; i++)
		within += share_bucket_take(&b, 2, 1000);
	g_assert_cmpint(within, ==, 20);
	g_assert_false(share_bucket_full(&b, 2, 1000));
	for (int i = 0; i < 10; i++) {
		int64_t retry_ms = share_bucket_retry_ms(&b, 2, 1000);

		g_assert_cmpint(retry_ms, ==, last + 500);
		last = retry_ms;
	}
	for (int i = 0; i < 100; i++)
		g_assert_cmpint(share_bucket_retry_ms(&b, 2, 1000), <=, 15000);
	g_assert_true(share_bucket_take(&b, 2, 1500));
	g_assert_false(share_bucket_take(&b, 2, 1500));
	/* The time of another leader may be behind. */
	g_assert_false(share_bucket_take(&b, 2, 900));
	g_assert_true(share_bucket_full(&b, 2, 20000));
}

/* The rate that log lines report is that at which jobs are sent, refused ones
 * included. */
static void
test_bucket_rate(void)
{
	struct share_bucket b = { 0 };

	for (int64_t now_ms = 0; now_ms < 60000; now_ms += 100)
		(void)share_bucket_take(&b, 1, now_ms);
	g_assert_cmpfloat(b.rate, >, 9.5);
	g_assert_cmpfloat(b.rate, <, 10.5);
}

/* A weight of 0 gives no rate; the delay stays finite. */
static void
test_bucket_without_weight(void)
{
	struct share_bucket b = { 0 };

	g_assert_true(share_bucket_take(&b, 0, 0));
	g_assert_false(share_bucket_take(&b, 0, 1000000));
	g_assert_cmpint(share_bucket_retry_ms(&b, 0, 1000000), ==, 15000);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/share/no-limit", test_no_limit);
	g_test_add_func("/share/tasks-within-cap", test_tasks_within_cap);
	g_test_add_func("/share/above-cap", test_above_cap);
	g_test_add_func("/share/overflow", test_overflow);
	g_test_add_func("/share/tasks-due", test_tasks_due);
	g_test_add_func("/share/may-preempt", test_may_preempt);
	g_test_add_func("/share/bucket", test_bucket);
	g_test_add_func("/share/bucket-rate", test_bucket_rate);
	g_test_add_func(
	    "/share/bucket-without-weight", test_bucket_without_weight);
	g_test_add_func("/share/rush", test_rush);
	g_test_add_func("/share/rush-refused", test_rush_refused);
	g_test_add_func("/share/random-load", test_random_load);
	return g_test_run();
}
