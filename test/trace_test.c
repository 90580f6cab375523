#include <string.h>

#include "trace.h"

static const char traceparent[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

static void
test_parse(void)
{
	struct trace_context ctx;
	char out[TRACE_HEADER_LEN + 1];

	g_assert_true(trace_parse(traceparent, &ctx));
	g_assert_true(ctx.sampled);
	trace_format(&ctx, out);
	g_assert_cmpstr(out, ==, traceparent);
	g_assert_false(trace_parse(NULL, &ctx));
	g_assert_false(trace_parse("", &ctx));
	g_assert_false(trace_parse(
	    "00-00000000000000000000000000000000-b7ad6b7169203331-01", &ctx));
	g_assert_false(trace_parse(
	    "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", &ctx));
	g_assert_false(trace_parse(
	    "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", &ctx));
	trace_format(&ctx, out);
	g_assert_cmpstr(out, ==, "");
}

static void
count(void *arg, const struct span *s)
{
	int *n = arg;

	(*n)++;
}

/*
 * A new span is a child of the one in the traceparent value. The ring buffer
 * of four keeps the newest spans only, and draining returns each once.
 */
static void
test_spans(void)
{
	struct tracer *t = tracer_new("n1", 4, 1000);
	struct trace_context ctx = tracer_make_context(t, traceparent);
	uint64_t trace = ctx.high;
	uint64_t parent = tracer_start_span(&ctx);
	int n = 0;

	g_assert_cmpuint(parent, ==, 0xb7ad6b7169203331);
	g_assert_cmpuint(ctx.span, !=, parent);
	tracer_end_span(t, &ctx, parent, "entry", mono_us(), "done", false);
	tracer_each_span(t, trace, ctx.low, count, &n);
	g_assert_cmpint(n, ==, 1);
	for (int i = 0; i < 10; i++)
		tracer_end_span(t, &ctx, parent, "entry", mono_us(), "", false);
	n = 0;
	tracer_each_span(t, trace, ctx.low, count, &n);
	g_assert_cmpint(n, ==, 4);
	n = 0;
	tracer_drain(t, count, &n);
	g_assert_cmpint(n, ==, 4);
	n = 0;
	tracer_drain(t, count, &n);
	g_assert_cmpint(n, ==, 0);
	tracer_free(t);
}

/* A span of a trace that is not sampled is recorded only if keep is true. */
static void
test_sampling(void)
{
	struct tracer *t = tracer_new("n1", 4, 0);
	struct trace_context ctx = tracer_make_context(t, "malformed");
	int n = 0;

	g_assert_false(ctx.sampled);
	tracer_end_span(t, &ctx, 0, "entry", mono_us(), "", false);
	tracer_drain(t, count, &n);
	g_assert_cmpint(n, ==, 0);
	tracer_end_span(t, &ctx, 0, "entry", mono_us(), "not-run", true);
	tracer_drain(t, count, &n);
	g_assert_cmpint(n, ==, 1);
	tracer_free(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/trace/parse", test_parse);
	g_test_add_func("/trace/spans", test_spans);
	g_test_add_func("/trace/sampling", test_sampling);
	return g_test_run();
}
