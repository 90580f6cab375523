#include "calls.h"

#define SEED 3

/* Service 0 with n targets, one per worker. Ids start at 1; each has 2 slots,
 * and this entry may hold 2 connections to each worker. */
static struct calls *
calls_of(const struct calls_policy *policy, uint32_t n)
{
	struct calls *c = calls_new(policy, SEED);

	for (uint32_t i = 0; i < n; i++) {
		struct calls_target t = { i + 1, 0, i, 2 };

		calls_worker_set(c, i, 2);
		calls_target_set(c, &t);
	}
	return c;
}

static struct calls_decision
begin(struct calls *c, bool idempotent, int64_t now_ms, int64_t deadline_ms)
{
	struct calls_request r = { .idempotent = idempotent,
		.deadline_ms = deadline_ms };

	return calls_begin(c, &r, now_ms);
}

static void
test_bounds(void)
{
	struct calls *c = calls_of(&calls_default_policy, 2);
	struct calls_decision decision = { 0 };
	uint32_t first;

	calls_worker_set(c, 1, 1);
	first = begin(c, false, 0, 1000).call;
	for (int i = 0; i < 2; i++)
		g_assert_cmpint(
		    begin(c, false, 0, 1000).action, ==, CALLS_SEND);
	/* Two slots on worker 0, one connection to worker 1. */
	g_assert_cmpint(calls_open_count(c, 0), ==, 2);
	g_assert_cmpint(calls_open_count(c, 1), ==, 1);
	g_assert_cmpint(begin(c, false, 0, 1000).action, ==, CALLS_WAIT);
	g_assert_false(calls_next(c, 1, &decision));
	decision = calls_try_ended(c, first, CALLS_END_ANSWERED, 5);
	g_assert_cmpint(decision.reason, ==, CALLS_OK);
	g_assert_true(calls_next(c, 5, &decision));
	g_assert_cmpint(decision.action, ==, CALLS_SEND);
	g_assert_false(calls_next(c, 5, &decision));
	calls_free(c);
}

static void
test_less_loaded(void)
{
	struct calls *c = calls_of(&calls_default_policy, 2);
	struct calls_target wide = { 1, 0, 0, 20 };
	uint64_t first;

	calls_worker_set(c, 0, 20);
	calls_target_set(c, &wide);
	first = begin(c, false, 0, 1000).target;
	g_assert_cmpuint(begin(c, false, 0, 1000).target, !=, first);
	/* One call in two slots is a higher load than up to nine in twenty. */
	for (int i = 0; i < 8; i++)
		g_assert_cmpuint(begin(c, false, 0, 1000).target, ==, 1);
	calls_free(c);
}

static void
test_refusals(void)
{
	struct calls_policy p = calls_default_policy;
	struct calls *c;
	struct calls_decision decision;

	p.queue_max = 1;
	c = calls_of(&p, 0);
	decision = begin(c, true, 0, 1000);
	g_assert_cmpint(decision.action, ==, CALLS_REFUSE);
	g_assert_cmpint(decision.reason, ==, CALLS_NO_TARGET);
	calls_free(c);
	c = calls_of(&p, 1);
	g_assert_cmpint(begin(c, true, 1000, 1000).reason, ==, CALLS_TOO_LATE);
	/* Brings the mean time of an answer to 200 ms. */
	for (int i = 0; i < 100; i++)
		calls_try_ended(
		    c, begin(c, true, 0, 1000).call, CALLS_END_ANSWERED, 200);
	begin(c, true, 0, 1000);
	begin(c, true, 0, 1000);
	g_assert_cmpint(calls_expected_wait_ms(c, 0), >, 80);
	g_assert_cmpint(begin(c, true, 0, 250).action, ==, CALLS_WAIT);
	decision = begin(c, true, 0, 250);
	g_assert_cmpint(decision.action, ==, CALLS_REFUSE);
	g_assert_cmpint(decision.reason, ==, CALLS_TOO_LATE);
	g_assert_cmpint(decision.retry_after_ms, >, 0);
	g_assert_cmpint(begin(c, true, 0, 9000).reason, ==, CALLS_QUEUE_FULL);
	/* A call that would miss its deadline by now is refused, not sent. */
	g_assert_true(calls_next(c, 100, &decision));
	g_assert_cmpint(decision.action, ==, CALLS_REFUSE);
	g_assert_cmpint(calls_waiting(c, 0), ==, 0);
	calls_free(c);
}

/* After slow answers, faster ones must bring the estimate down again: the
 * estimate must not refuse every later call. */
static void
test_estimate_recovers(void)
{
	struct calls *c = calls_of(&calls_default_policy, 1);

	for (int i = 0; i < 100; i++)
		calls_try_ended(
		    c, begin(c, true, 0, 1000).call, CALLS_END_ANSWERED, 5000);
	for (int i = 0; i < 100; i++) {
		struct calls_decision decision = begin(c, true, 0, 1000);

		g_assert_cmpint(decision.action, ==, CALLS_SEND);
		calls_try_ended(c, decision.call, CALLS_END_ANSWERED, 10);
	}
	g_assert_cmpint(calls_expected_wait_ms(c, 0), <, 50);
	calls_free(c);
}

static void
test_retries(void)
{
	struct calls_policy p = calls_default_policy;
	struct calls *c;
	struct calls_decision decision;
	uint64_t first;

	p.retry_percent = 50;
	p.retry_burst = 1;
	c = calls_of(&p, 3);
	begin(c, true, 0, 1000);
	decision = begin(c, true, 0, 1000);
	first = decision.target;
	decision = calls_try_ended(c, decision.call, CALLS_END_UNKNOWN, 1);
	g_assert_cmpint(decision.action, ==, CALLS_SEND);
	g_assert_cmpuint(decision.target, !=, first);
	decision = calls_try_ended(c, decision.call, CALLS_END_UNKNOWN, 2);
	g_assert_cmpint(decision.action, ==, CALLS_GIVE_UP);
	g_assert_cmpint(decision.reason, ==, CALLS_NO_BUDGET);
	decision = begin(c, false, 2, 1000);
	decision = calls_try_ended(c, decision.call, CALLS_END_FAILED, 3);
	g_assert_cmpint(decision.action, ==, CALLS_GIVE_UP);
	g_assert_cmpint(decision.reason, ==, CALLS_NOT_IDEMPOTENT);
	/* A call that reached no target is retried, or refused as not run. */
	begin(c, true, 3, 1000);
	decision = begin(c, false, 3, 1000);
	decision = calls_try_ended(c, decision.call, CALLS_END_NOT_SENT, 4);
	g_assert_cmpint(decision.action, ==, CALLS_SEND);
	decision = calls_try_ended(c, decision.call, CALLS_END_NOT_SENT, 5);
	g_assert_cmpint(decision.action, ==, CALLS_REFUSE);
	calls_free(c);
}

/* Sends calls until one goes to the target and fails it; the others succeed. */
static void
fail_target(struct calls *c, uint64_t target, int64_t now_ms)
{
	for (int i = 0; i < 1000; i++) {
		struct calls_decision decision =
		    begin(c, false, now_ms, now_ms + 1000);

		if (decision.target == target) {
			calls_try_ended(
			    c, decision.call, CALLS_END_UNKNOWN, now_ms);
			return;
		}
		calls_try_ended(c, decision.call, CALLS_END_ANSWERED, now_ms);
	}
	g_assert_not_reached();
}

static void
assert_not_target_1(struct calls *c, int64_t now_ms)
{
	struct calls_decision decision = begin(c, false, now_ms, now_ms + 1000);

	g_assert_cmpuint(decision.target, !=, 1);
	calls_try_ended(c, decision.call, CALLS_END_ANSWERED, now_ms);
}

static void
test_ejection(void)
{
	struct calls *c = calls_of(&calls_default_policy, 3);
	struct calls_decision decision;

	for (int i = 0; i < 5; i++) {
		g_assert_false(calls_ejected(c, 1));
		fail_target(c, 1, 0);
	}
	g_assert_true(calls_ejected(c, 1));
	for (int i = 0; i < 100; i++)
		assert_not_target_1(c, 100);
	/* After the back-off one probe is sent, and no second one while it is
	 * in flight. */
	decision = begin(c, false, 600, 2000);
	g_assert_cmpuint(decision.target, ==, 1);
	assert_not_target_1(c, 600);
	calls_try_ended(c, decision.call, CALLS_END_UNKNOWN, 600);
	assert_not_target_1(c, 1000);
	decision = begin(c, false, 1700, 3000);
	g_assert_cmpuint(decision.target, ==, 1);
	calls_try_ended(c, decision.call, CALLS_END_ANSWERED, 1701);
	g_assert_false(calls_ejected(c, 1));
	/* At most half of the targets are ejected. */
	for (int i = 0; i < 5; i++)
		fail_target(c, 2, 1800);
	g_assert_true(calls_ejected(c, 2));
	for (int i = 0; i < 9; i++)
		fail_target(c, 3, 1800);
	g_assert_false(calls_ejected(c, 3));
	calls_free(c);
}

static void
test_removed(void)
{
	struct calls *c = calls_of(&calls_default_policy, 1);
	struct calls_decision decision = begin(c, true, 0, 1000);
	struct calls_decision other = begin(c, true, 0, 1000);

	begin(c, true, 0, 1000);
	calls_target_remove(c, 1);
	g_assert_true(calls_next(c, 1, &other));
	g_assert_cmpint(other.action, ==, CALLS_REFUSE);
	calls_try_ended(c, decision.call, CALLS_END_ANSWERED, 2);
	g_assert_cmpint(calls_open_count(c, 0), ==, 1);
	g_assert_cmpint(begin(c, true, 2, 1000).reason, ==, CALLS_NO_TARGET);
	calls_free(c);
}

static int64_t
sum_of_larger(const int64_t *a, const int64_t *b, size_t n)
{
	int64_t sum = 0;

	for (size_t i = 0; i < n; i++)
		sum += MAX(a[i], b[i]);
	return sum;
}

static void
test_shares(void)
{
	struct rng rng = { SEED };
	int64_t held[12] = { 0 };

	for (int round = 0; round < 5000; round++) {
		int64_t demand[12], share[12];
		size_t n = G_N_ELEMENTS(held);

		for (size_t i = 0; i < n; i++)
			demand[i] = (int64_t)rng_below(&rng, 100);
		calls_compute_shares(64, demand, held, n, share);
		g_assert_cmpint(sum_of_larger(share, held, n), <=, 64);
		/* Raises take effect at once; some entries confirm a lower
		 * share late. */
		for (size_t i = 0; i < n; i++) {
			g_assert_cmpint(share[i], >=, 0);
			if (share[i] > held[i] || rng_below(&rng, 2))
				held[i] = share[i];
		}
	}
}

static void
test_shares_by_demand(void)
{
	int64_t demand[] = { 0, 30, 10, 0 };
	int64_t held[] = { 0, 0, 0, 0 };
	int64_t share[4];

	calls_compute_shares(64, demand, held, 4, share);
	g_assert_cmpint(share[0], >=, 1);
	g_assert_cmpint(share[1], >=, 2 * share[2]);
	g_assert_cmpint(share[0] + share[1] + share[2] + share[3], ==, 64);
	calls_compute_shares(3, demand, held, 4, share);
	g_assert_cmpint(share[0] + share[1] + share[2] + share[3], ==, 3);
}

static void
test_hop_timeout(void)
{
	g_assert_cmpint(calls_hop_timeout_ms(1000, 400, 3), ==, 594);
	g_assert_cmpint(calls_hop_timeout_ms(1000, 996, 3), ==, 0);
}

/* Random calls: limits hold and each call ends exactly once. */
static void
test_random(void)
{
	struct calls *c = calls_of(&calls_default_policy, 6);
	struct rng rng = { SEED };
	GArray *open = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	int64_t begun = 0;
	int64_t ended = 0;

	for (int64_t now = 0; now < 20000 || open->len > 0; now++) {
		struct calls_decision decision;

		if (now < 20000) {
			struct calls_request r = { 0, now % 3, now % 2,
				now + 20 };

			decision = calls_begin(c, &r, now);
			begun++;
			ended += decision.action == CALLS_REFUSE;
			if (decision.action == CALLS_SEND)
				g_array_append_val(open, decision.call);
		}
		if (open->len > 0 && rng_below(&rng, 3) > 0) {
			guint i = (guint)rng_below(&rng, open->len);
			uint32_t call = g_array_index(open, uint32_t, i);

			g_array_remove_index_fast(open, i);
			decision = calls_try_ended(
			    c, call, rng_below(&rng, 6) % 4, now);
			ended += decision.action == CALLS_GIVE_UP ||
			    decision.action == CALLS_REFUSE;
			if (decision.action == CALLS_SEND)
				g_array_append_val(open, decision.call);
		}
		while (calls_next(c, now, &decision)) {
			ended += decision.action == CALLS_REFUSE ||
			    decision.action == CALLS_GIVE_UP;
			if (decision.action == CALLS_SEND)
				g_array_append_val(open, decision.call);
		}
		for (uint32_t w = 0; w < 6; w++)
			g_assert_cmpint(calls_open_count(c, w), <=, 2);
	}
	g_assert_cmpint(begun, ==, ended);
	g_array_unref(open);
	calls_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/calls/bounds", test_bounds);
	g_test_add_func("/calls/less-loaded", test_less_loaded);
	g_test_add_func("/calls/refusals", test_refusals);
	g_test_add_func("/calls/estimate-recovers", test_estimate_recovers);
	g_test_add_func("/calls/retries", test_retries);
	g_test_add_func("/calls/ejection", test_ejection);
	g_test_add_func("/calls/removed", test_removed);
	g_test_add_func("/calls/shares", test_shares);
	g_test_add_func("/calls/shares-by-demand", test_shares_by_demand);
	g_test_add_func("/calls/hop-timeout", test_hop_timeout);
	g_test_add_func("/calls/random", test_random);
	return g_test_run();
}
