#include "health.h"

struct bed {
	struct health *h;
	GArray *changes;
};

static void
bed_init(struct bed *b)
{
	b->h = health_new(&health_defaults);
	b->changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
}

static void
bed_clear(struct bed *b)
{
	health_free(b->h);
	g_array_unref(b->changes);
}

static void
ended(struct bed *b, uint32_t worker, uint64_t job, bool ok)
{
	health_attempt_ended(b->h, worker, job, ok, 0, b->changes);
}

/* Jobs 1 to count do well on a worker. */
static void
prove(struct bed *b, uint32_t worker, uint64_t count)
{
	for (uint64_t job = 1; job <= count; job++)
		ended(b, worker, job, true);
}

static void
test_worker_fails_all(void)
{
	struct bed b;

	bed_init(&b);
	prove(&b, 1, 3);
	ended(&b, 2, 1, false);
	ended(&b, 2, 2, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	ended(&b, 2, 1, false); /* the same job again tells nothing new */
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	ended(&b, 2, 3, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
	g_assert_cmpuint(b.changes->len, ==, 1);
	bed_clear(&b);
}

/* New jobs fail on one worker, then do well elsewhere: it was the worker. */
static void
test_proven_later(void)
{
	struct bed b;

	bed_init(&b);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&b, 2, job, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	prove(&b, 1, 3);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
	bed_clear(&b);
}

/* A worker that takes and fails all work, so that nothing runs elsewhere. */
static void
test_fails_all_it_gets(void)
{
	struct bed b;

	bed_init(&b);
	for (uint64_t job = 1; job <= 6; job++) {
		g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
		ended(&b, 2, job, false);
	}
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
	bed_clear(&b);
}

/* A bad job fails on a whole rack of new workers, many times. */
static void
test_bad_job(void)
{
	struct bed b;

	bed_init(&b);
	for (unsigned i = 0; i < 60; i++)
		ended(&b, i % 6, 99, false);
	g_assert_true(health_bad_job(b.h, 99));
	g_assert_cmpuint(b.changes->len, ==, 0);
	ended(&b, 1, 99, true); /* mended */
	g_assert_false(health_bad_job(b.h, 99));
	bed_clear(&b);
}

/* Many bad jobs at once on a rack of new workers. */
static void
test_bad_jobs(void)
{
	struct bed b;

	bed_init(&b);
	for (uint64_t job = 1; job <= 20; job++) {
		for (uint32_t worker = 0; worker < 6; worker++)
			ended(&b, worker, job, false);
	}
	for (uint32_t worker = 0; worker < 6; worker++)
		g_assert_cmpint(health_state(b.h, worker), ==, HEALTH_GOOD);
	bed_clear(&b);
}

/* Set aside for jobs that then fail elsewhere too: it comes back. */
static void
test_evidence_goes(void)
{
	struct bed b;

	bed_init(&b);
	for (uint64_t job = 1; job <= 6; job++)
		ended(&b, 2, job, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
	for (uint32_t worker = 3; worker <= 5; worker++)
		ended(&b, worker, 1, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	bed_clear(&b);
}

static void
test_success_clears(void)
{
	struct bed b;

	bed_init(&b);
	prove(&b, 1, 3);
	for (unsigned i = 0; i < 10; i++) {
		ended(&b, 2, 1, false);
		ended(&b, 2, 2, false);
		ended(&b, 2, 7, true);
	}
	g_assert_cmpuint(b.changes->len, ==, 0);
	ended(&b, 2, 1, false);
	ended(&b, 2, 2, false);
	ended(&b, 2, 3, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
	ended(&b, 2, 8, true); /* what ran on it still */
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	bed_clear(&b);
}

static void
test_probe(void)
{
	struct bed b;
	int64_t wait = health_defaults.probe_ms;
	int64_t now = 0;

	bed_init(&b);
	prove(&b, 1, 3);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&b, 2, job, false);
	for (unsigned i = 0; i < 3; i++, wait *= 2) {
		health_tick(b.h, now + wait - 1, b.changes);
		g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_SET_ASIDE);
		now += wait;
		health_tick(b.h, now, b.changes);
		g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_PROBING);
		if (i < 2)
			health_attempt_ended(b.h, 2, 1, false, now, b.changes);
	}
	ended(&b, 2, 1, true);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_PROBING);
	ended(&b, 2, 2, true);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	health_remove_worker(b.h, 2);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_GOOD);
	bed_clear(&b);
}

/* A probe that meets a bad job is neither passed nor failed. */
static void
test_probe_bad_job(void)
{
	struct bed b;

	bed_init(&b);
	for (uint32_t worker = 10; worker < 13; worker++)
		ended(&b, worker, 99, false);
	prove(&b, 1, 3);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&b, 2, job, false);
	health_tick(b.h, health_defaults.probe_ms, b.changes);
	ended(&b, 2, 99, false);
	g_assert_cmpint(health_state(b.h, 2), ==, HEALTH_PROBING);
	bed_clear(&b);
}

static void
test_bounded(void)
{
	struct bed b;

	bed_init(&b);
	for (uint64_t job = 1; job <= 20000; job++)
		ended(&b, (uint32_t)(job % 50), job, job % 2 == 0);
	g_assert_false(health_bad_job(b.h, 1));
	bed_clear(&b);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/health/worker-fails-all", test_worker_fails_all);
	g_test_add_func("/health/proven-later", test_proven_later);
	g_test_add_func("/health/fails-all-it-gets", test_fails_all_it_gets);
	g_test_add_func("/health/bad-job", test_bad_job);
	g_test_add_func("/health/bad-jobs", test_bad_jobs);
	g_test_add_func("/health/evidence-goes", test_evidence_goes);
	g_test_add_func("/health/success-clears", test_success_clears);
	g_test_add_func("/health/probe", test_probe);
	g_test_add_func("/health/probe-bad-job", test_probe_bad_job);
	g_test_add_func("/health/bounded", test_bounded);
	return g_test_run();
}
