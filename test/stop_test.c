/* Tests of the steps of a graceful stop. */
#include "stop.h"

#define SERVE_MS 1000
#define GRACE_MS 10000

/* An idle process ends before callers know that it stops, or without having
 * checked once more after it has stopped listening. */
static void
test_idle_ends_early(void)
{
	struct stop s = stop_begin(SERVE_MS, GRACE_MS, 500);

	g_assert_cmpint(stop_next(&s, 0, false, 1499), ==, STOP_SERVE);
	g_assert_cmpint(stop_next(&s, 0, false, 1500), ==, STOP_LISTENING);
	g_assert_cmpint(stop_next(&s, 0, false, 1550), ==, STOP_END);
}

/* A process that owes an answer or is needed ends. */
static void
test_ends_while_busy(void)
{
	struct stop s = stop_begin(SERVE_MS, GRACE_MS, 0);

	g_assert_cmpint(stop_next(&s, 1, false, 2000), ==, STOP_SERVE);
	g_assert_cmpint(stop_next(&s, 0, true, 2000), ==, STOP_SERVE);
	g_assert_cmpint(stop_next(&s, 0, false, 2000), ==, STOP_LISTENING);
	/* A request on an open connection. */
	g_assert_cmpint(stop_next(&s, 1, false, 2050), ==, STOP_LISTENING);
	g_assert_cmpint(stop_next(&s, 0, false, 2100), ==, STOP_END);
}

/* A process ends without having refused what it can't answer, or with refusals
 * that have not left yet. */
static void
test_ends_without_refusal(void)
{
	struct stop s = stop_begin(SERVE_MS, GRACE_MS, 0);

	g_assert_cmpint(stop_next(&s, 3, true, 7999), ==, STOP_SERVE);
	g_assert_cmpint(stop_next(&s, 3, true, 8000), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 1, true, 8050), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 0, true, 8100), ==, STOP_END);
}

/* A caller that doesn't read its answer holds the process up until it is
 * killed. */
static void
test_held_up_by_caller(void)
{
	struct stop s = stop_begin(SERVE_MS, GRACE_MS, 0);

	g_assert_cmpint(stop_next(&s, 1, false, 8000), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 1, false, 8999), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 1, false, 9000), ==, STOP_END);
}

/* A grace period shorter than the time to serve is exceeded. */
static void
test_short_grace(void)
{
	struct stop s = stop_begin(SERVE_MS, SERVE_MS, 0);

	g_assert_cmpint(stop_next(&s, 0, false, 799), ==, STOP_SERVE);
	g_assert_cmpint(stop_next(&s, 0, false, 800), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 0, false, 850), ==, STOP_END);
}

/* A process that was suspended serves on for longer than its grace period. */
static void
test_late_check(void)
{
	struct stop s = stop_begin(SERVE_MS, GRACE_MS, 0);

	g_assert_cmpint(stop_next(&s, 1, false, 60000), ==, STOP_REFUSE);
	g_assert_cmpint(stop_next(&s, 1, false, 60001), ==, STOP_END);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/idle-ends-early", test_idle_ends_early);
	g_test_add_func("/stop/ends-while-busy", test_ends_while_busy);
	g_test_add_func(
	    "/stop/ends-without-refusal", test_ends_without_refusal);
	g_test_add_func("/stop/held-up-by-caller", test_held_up_by_caller);
	g_test_add_func("/stop/short-grace", test_short_grace);
	g_test_add_func("/stop/late-check", test_late_check);
	return g_test_run();
}
