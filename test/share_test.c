/* lib/share: caps. */
#include "share.h"

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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/share/no-limit", test_no_limit);
	g_test_add_func("/share/tasks-within-cap", test_tasks_within_cap);
	g_test_add_func("/share/above-cap", test_above_cap);
	g_test_add_func("/share/overflow", test_overflow);
	return g_test_run();
}
