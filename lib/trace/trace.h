/*
 * Distributed tracing: a span for each hop of a request, kept in a ring
 * buffer. Contexts are propagated as W3C traceparent header values.
 */
#ifndef TRACE_H
#define TRACE_H

#include "base.h"

/* Sizes of the texts of a span, with the final NUL; longer ones are cut. */
#define TRACE_NAME_MAX 24
#define TRACE_NODE_MAX 24
#define TRACE_NOTE_MAX 40

#define TRACE_HEADER_LEN 55 /* characters of a traceparent value */

/* The trace and the span that an operation belongs to. */
struct trace_context {
	uint64_t high; /* upper half of the trace id; both halves 0: no trace */
	uint64_t low;
	uint64_t span; /* id of the current span, parent of new ones; or 0 */
	bool sampled;
};

struct span {
	uint64_t high; /* trace id */
	uint64_t low;
	uint64_t id;
	uint64_t parent; /* 0: root span */
	int64_t start_us; /* since the Unix epoch */
	int64_t duration_us;
	char name[TRACE_NAME_MAX];
	char node[TRACE_NODE_MAX];
	char note[TRACE_NOTE_MAX]; /* outcome or reason */
};

struct tracer;

/*
 * Returns a tracer that keeps the newest capacity spans, records node in its
 * spans and samples permille thousandths of the new traces.
 */
struct tracer *tracer_new(const char *node, size_t capacity, int permille);
void tracer_free(struct tracer *t);

/*
 * Returns the context of a traceparent value, or that of a new trace if the
 * value is NULL or malformed.
 */
struct trace_context
tracer_make_context(struct tracer *t, const char *traceparent);

/* Parses a traceparent value; false if it is NULL or malformed. */
bool trace_parse(const char *text, struct trace_context *ctx);
/* Formats a traceparent value; "" if ctx has no trace. */
void
trace_format(const struct trace_context *ctx, char out[TRACE_HEADER_LEN + 1]);

/*
 * Starts a child of the current span and makes it the current span of ctx.
 * Returns the id of the previous one, the parent argument of tracer_end_span().
 */
uint64_t tracer_start_span(struct trace_context *ctx);

/*
 * Records the current span of ctx, which started at start_us (monotonic) and
 * ends now. A span of a trace that is not sampled is recorded only if keep
 * is true. note may be NULL.
 */
void tracer_end_span(struct tracer *t, const struct trace_context *ctx,
    uint64_t parent, const char *name, int64_t start_us, const char *note,
    bool keep);

/* Stores a span that another process recorded. */
void tracer_add(struct tracer *t, const struct span *span);

/*
 * Calls fn for each span stored since the last call, oldest first, except
 * those that were overwritten in the meantime.
 */
void tracer_drain(
    struct tracer *t, void (*fn)(void *arg, const struct span *), void *arg);

/* Calls fn for each span in the ring buffer of the trace with the id high, low;
 * oldest first. */
void tracer_each_span(struct tracer *t, uint64_t high, uint64_t low,
    void (*fn)(void *arg, const struct span *), void *arg);

#endif
