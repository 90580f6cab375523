/*
 * Traces: a span for each hop of a request, in a ring of bounded size.
 * Contexts travel as W3C traceparent values.
 */
#ifndef TRACE_H
#define TRACE_H

#include "base.h"

#define TRACE_NAME_MAX 24
#define TRACE_NODE_MAX 24
#define TRACE_NOTE_MAX 40
#define TRACE_HEADER_LEN 55 /* of a traceparent value */

/* Which request and which span a piece of work belongs to. */
struct trace_context {
	uint64_t high; /* trace id; both halves 0: none */
	uint64_t low;
	uint64_t span; /* the span that new ones are children of */
	bool sampled;
};

struct span {
	uint64_t high;
	uint64_t low;
	uint64_t id;
	uint64_t parent; /* 0: the first span here */
	int64_t start_us; /* since the epoch */
	int64_t duration_us;
	char name[TRACE_NAME_MAX];
	char node[TRACE_NODE_MAX];
	char note[TRACE_NOTE_MAX]; /* outcome or reason */
};

struct tracer;

/* Keeps the newest capacity spans; permille of new traces are sampled. */
struct tracer *tracer_new(const char *node, size_t capacity, int permille);
void tracer_free(struct tracer *t);

/*
 * Opens a context: below a traceparent value if one is given and well
 * formed, of a new trace otherwise.
 */
struct trace_context tracer_open(struct tracer *t, const char *traceparent);

/* Parses a traceparent value; false if it is malformed. */
bool trace_parse(const char *text, struct trace_context *ctx);
/* Writes a traceparent value; "" for no context. */
void
trace_format(const struct trace_context *ctx, char out[TRACE_HEADER_LEN + 1]);

/*
 * Starts a span below ctx, which then stands for the span itself: what is
 * done under it becomes its children. Returns the parent for tracer_end().
 */
uint64_t tracer_start(struct trace_context *ctx);

/*
 * Records a span that began at start_us (monotonic) and ends now. Spans of
 * traces that are not sampled are kept only if keep is set.
 */
void
tracer_end(struct tracer *t, const struct trace_context *ctx, uint64_t parent,
    const char *name, int64_t start_us, const char *note, bool keep);

/* Adds a span that another process recorded. */
void tracer_add(struct tracer *t, const struct span *span);

/* Calls fn for each span recorded here since the last call, oldest first. */
void tracer_drain(
    struct tracer *t, void (*fn)(void *arg, const struct span *), void *arg);

/* Calls fn for each kept span of a trace, oldest first. */
void tracer_each(struct tracer *t, uint64_t high, uint64_t low,
    void (*fn)(void *arg, const struct span *), void *arg);

#endif
