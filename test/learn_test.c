#include "learn.h"

#define GIB (1LL << 30)

static const struct resources declared = { 4000, 8 * GIB, 1 };
static const struct learn_bounds bounds = { 25, 200 };

/* Reports a use of percent of the declared resources. */
static void
report(struct learn *l, uint64_t name, uint64_t attempt, int64_t percent)
{
	struct learn_report r = {
		.name_hash = name,
		.attempt = attempt,
		.declared = declared,
		.granted = { 8000, 16 * GIB, 1 },
		.used = { 40 * percent, 8 * GIB * percent / 100, 1 },
		.ran_ms = 5000,
	};

	learn_record_usage(l, &r);
}

static int64_t
cpu_grant(const struct learn *l, uint64_t name)
{
	return learn_estimate_grant(l, name, &declared, &bounds).millicpus;
}

static void
test_few_samples(void)
{
	struct learn *l = learn_new(10);

	g_assert_cmpint(cpu_grant(l, 1), ==, 4000);
	for (unsigned i = 0; i < 29; i++)
		report(l, 1, i, 40);
	g_assert_cmpint(cpu_grant(l, 1), ==, 4000); /* too few reports */
	report(l, 1, 29, 40);
	g_assert_cmpint(cpu_grant(l, 1), <, 2000);
	for (unsigned i = 0; i < 500; i++)
		report(l, 2, 7, 40);
	g_assert_cmpint(cpu_grant(l, 2), ==, 4000); /* one attempt only */
	learn_free(l);
}

static void
test_bounds(void)
{
	struct learn *l = learn_new(10);
	struct resources r;

	for (unsigned i = 0; i < 100; i++)
		report(l, 1, i, 1);
	r = learn_estimate_grant(l, 1, &declared, &bounds);
	g_assert_cmpint(r.millicpus, ==, 1000);
	g_assert_cmpint(r.memory, ==, 2 * GIB);
	g_assert_cmpint(r.accelerators, ==, 1);
	report(l, 2, 1, 190); /* one report is enough for a raise */
	g_assert_cmpint(cpu_grant(l, 2), >, 7000);
	report(l, 3, 1, 900);
	g_assert_cmpint(cpu_grant(l, 3), ==, 8000);
	learn_free(l);
}

/* The grant follows a high quantile of the use, not the typical use. */
static void
test_high_quantile(void)
{
	struct learn *l = learn_new(10);

	for (unsigned i = 0; i < 400; i++)
		report(l, 1, i, i % 10 == 0 ? 90 : 30);
	g_assert_cmpint(cpu_grant(l, 1), >=, 3600);
	g_assert_cmpint(
	    learn_estimate_grant(l, 1, &declared, &bounds).memory, >=, 7 * GIB);
	learn_free(l);
}

/* Reports during startup are ignored; a task that uses its whole grant gets
 * more. */
static void
test_startup_and_cap(void)
{
	struct learn *l = learn_new(10);
	struct learn_report r = {
		.name_hash = 1,
		.declared = declared,
		.granted = declared,
		.used = { 100, GIB, 1 },
		.ran_ms = 200,
	};

	for (r.attempt = 0; r.attempt < 100; r.attempt++)
		learn_record_usage(l, &r);
	g_assert_cmpuint(learn_kind_count(l), ==, 0);
	r.ran_ms = 5000;
	r.used.millicpus = 4000;
	learn_record_usage(l, &r);
	g_assert_cmpint(cpu_grant(l, 1), >=, 5000);
	learn_free(l);
}

/* Old samples age out. */
static void
test_aging(void)
{
	struct learn *l = learn_new(10);

	for (unsigned i = 0; i < 1000; i++)
		report(l, 1, i, 90);
	for (unsigned i = 0; i < 8000; i++)
		report(l, 1, i, 30);
	g_assert_cmpint(cpu_grant(l, 1), <, 1600);
	learn_free(l);
}

static void
test_runtime(void)
{
	struct learn *l = learn_new(10);

	g_assert_cmpint(learn_runtime_ms(l, 1, 777), ==, 777);
	learn_record_runtime(l, 1, 1000);
	learn_record_runtime(l, 1, 1000);
	g_assert_cmpint(learn_runtime_ms(l, 1, 777), ==, 777);
	for (unsigned i = 0; i < 100; i++)
		learn_record_runtime(l, 1, i % 5 == 0 ? 10000 : 1000);
	g_assert_cmpint(learn_runtime_ms(l, 1, 777), >=, 10000);
	g_assert_cmpint(learn_runtime_ms(l, 1, 777), <=, 14000);
	learn_free(l);
}

static void
test_bounded(void)
{
	struct learn *l = learn_new(100);

	for (uint64_t name = 1; name <= 1000; name++) {
		report(l, name, 1, 190);
		report(l, 1, name, 190);
	}
	g_assert_cmpuint(learn_kind_count(l), ==, 100);
	g_assert_cmpint(cpu_grant(l, 1), >, 4000); /* reported throughout */
	g_assert_cmpint(cpu_grant(l, 2), ==, 4000); /* evicted */
	learn_free(l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/learn/few-samples", test_few_samples);
	g_test_add_func("/learn/bounds", test_bounds);
	g_test_add_func("/learn/high-quantile", test_high_quantile);
	g_test_add_func("/learn/startup-and-cap", test_startup_and_cap);
	g_test_add_func("/learn/aging", test_aging);
	g_test_add_func("/learn/runtime", test_runtime);
	g_test_add_func("/learn/bounded", test_bounded);
	return g_test_run();
}
