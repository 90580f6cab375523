#include <string.h>

#include "counter.h"

static void
test_render(void)
{
	struct registry *r = registry_new();
	struct counter *a =
	    counter_new(r, COUNTER_TOTAL, "starts_total", "kind=\"a\"", "x");
	struct counter *b =
	    counter_new(r, COUNTER_TOTAL, "starts_total", "kind=\"b\"", "x");
	char *text;

	a->value = 3;
	b->value = 4;
	text = registry_render(r);
	g_assert_nonnull(strstr(text, "starts_total{kind=\"a\"} 3\n"));
	g_assert_nonnull(strstr(text, "starts_total{kind=\"b\"} 4\n"));
	/* Both series of the name share one header. */
	g_assert_null(strstr(strstr(text, "# TYPE") + 1, "# TYPE"));
	g_free(text);
	registry_free(r);
}

static void
test_timer(void)
{
	struct registry *r = registry_new();
	struct timer *t = timer_new(r, "wait_seconds", "", "x");
	char *text;

	for (int i = 0; i < 99; i++)
		timer_add(t, 3);
	timer_add(t, INT64_C(1) << 40);
	g_assert_cmpint(timer_quantile(t, 0.5), ==, 4);
	g_assert_cmpint(t->count, ==, 100);
	text = registry_render(r);
	g_assert_nonnull(
	    strstr(text, "wait_seconds_bucket{le=\"0.004\"} 99\n"));
	g_assert_nonnull(
	    strstr(text, "wait_seconds_bucket{le=\"+Inf\"} 100\n"));
	g_free(text);
	registry_free(r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/counter/render", test_render);
	g_test_add_func("/counter/timer", test_timer);
	return g_test_run();
}
