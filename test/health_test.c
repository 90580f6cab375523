#include "health.h"

struct fixture {
	struct health *h;
	GArray *changes;
};

static void
fixture_init(struct fixture *f)
{
	f->h = health_new(&health_defaults);
	f->changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
}

static void
fixture_clear(struct fixture *f)
{
	health_free(f->h);
	g_array_unref(f->changes);
}

static void
ended(struct fixture *f, uint32_t worker, uint64_t job, bool ok)
{
	health_attempt_ended(f->h, worker, job, ok, 0, f->changes);
}

/* Jobs 1 to count succeed on a worker. */
static void
succeed(struct fixture *f, uint32_t worker, uint64_t count)
{
	for (uint64_t job = 1; job <= count; job++)
		ended(f, worker, job, true);
}

static void
test_worker_fails_all(void)
{
	struct fixture f;

	fixture_init(&f);
	succeed(&f, 1, 3);
	ended(&f, 2, 1, false);
	ended(&f, 2, 2, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	ended(&f, 2, 1, false); /* a job counts only once */
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	ended(&f, 2, 3, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
	g_assert_cmpuint(f.changes->len, ==, 1);
	fixture_clear(&f);
}

/* New jobs fail on one worker and then succeed elsewhere: the worker is at
 * fault. */
static void
test_succeeds_later(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&f, 2, job, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	succeed(&f, 1, 3);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
	fixture_clear(&f);
}

/* A worker gets and fails all work, so that there is no comparison with
 * others. */
static void
test_no_comparison(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint64_t job = 1; job <= 6; job++) {
		g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
		ended(&f, 2, job, false);
	}
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
	fixture_clear(&f);
}

/* A bad job fails many times on each of six new workers. */
static void
test_bad_job(void)
{
	struct fixture f;

	fixture_init(&f);
	for (unsigned i = 0; i < 60; i++)
		ended(&f, i % 6, 99, false);
	g_assert_true(health_bad_job(f.h, 99));
	g_assert_cmpuint(f.changes->len, ==, 0);
	ended(&f, 1, 99, true); /* fixed */
	g_assert_false(health_bad_job(f.h, 99));
	fixture_clear(&f);
}

/* Many bad jobs fail on the same six new workers. */
static void
test_bad_jobs(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint64_t job = 1; job <= 20; job++) {
		for (uint32_t worker = 0; worker < 6; worker++)
			ended(&f, worker, job, false);
	}
	for (uint32_t worker = 0; worker < 6; worker++)
		g_assert_cmpint(health_state(f.h, worker), ==, HEALTH_GOOD);
	fixture_clear(&f);
}

/* A worker that was set aside returns when a job that failed on it fails on
 * other workers too. */
static void
test_fails_elsewhere_later(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint64_t job = 1; job <= 6; job++)
		ended(&f, 2, job, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
	for (uint32_t worker = 3; worker <= 5; worker++)
		ended(&f, worker, 1, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	fixture_clear(&f);
}

static void
test_success_clears(void)
{
	struct fixture f;

	fixture_init(&f);
	succeed(&f, 1, 3);
	for (unsigned i = 0; i < 10; i++) {
		ended(&f, 2, 1, false);
		ended(&f, 2, 2, false);
		ended(&f, 2, 7, true);
	}
	g_assert_cmpuint(f.changes->len, ==, 0);
	ended(&f, 2, 1, false);
	ended(&f, 2, 2, false);
	ended(&f, 2, 3, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
	ended(&f, 2, 8, true); /* an attempt started before */
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	fixture_clear(&f);
}

static void
test_probe(void)
{
	struct fixture f;
	int64_t wait = health_defaults.probe_ms;
	int64_t now = 0;

	fixture_init(&f);
	succeed(&f, 1, 3);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&f, 2, job, false);
	for (unsigned i = 0; i < 3; i++, wait *= 2) {
		health_tick(f.h, now + wait - 1, f.changes);
		g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_SET_ASIDE);
		now += wait;
		health_tick(f.h, now, f.changes);
		g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_PROBING);
		if (i < 2)
			health_attempt_ended(f.h, 2, 1, false, now, f.changes);
	}
	ended(&f, 2, 1, true);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_PROBING);
	ended(&f, 2, 2, true);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	health_remove_worker(f.h, 2);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_GOOD);
	fixture_clear(&f);
}

/* A probe with a bad job neither passes nor fails. */
static void
test_probe_bad_job(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint32_t worker = 10; worker < 13; worker++)
		ended(&f, worker, 99, false);
	succeed(&f, 1, 3);
	for (uint64_t job = 1; job <= 3; job++)
		ended(&f, 2, job, false);
	health_tick(f.h, health_defaults.probe_ms, f.changes);
	ended(&f, 2, 99, false);
	g_assert_cmpint(health_state(f.h, 2), ==, HEALTH_PROBING);
	fixture_clear(&f);
}

static void
test_bounded(void)
{
	struct fixture f;

	fixture_init(&f);
	for (uint64_t job = 1; job <= 20000; job++)
		ended(&f, (uint32_t)(job % 50), job, job % 2 == 0);
	g_assert_false(health_bad_job(f.h, 1));
	fixture_clear(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/health/worker-fails-all", test_worker_fails_all);
	g_test_add_func("/health/succeeds-later", test_succeeds_later);
	g_test_add_func("/health/no-comparison", test_no_comparison);
	g_test_add_func("/health/bad-job", test_bad_job);
	g_test_add_func("/health/bad-jobs", test_bad_jobs);
	g_test_add_func(
	    "/health/fails-elsewhere-later", test_fails_elsewhere_later);
	g_test_add_func("/health/success-clears", test_success_clears);
	g_test_add_func("/health/probe", test_probe);
	g_test_add_func("/health/probe-bad-job", test_probe_bad_job);
	g_test_add_func("/health/bounded", test_bounded);
	return g_test_run();
}
