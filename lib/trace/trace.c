#include <stdio.h>
#include <string.h>

#include "trace.h"

#define PERMILLE 1000
#define VERSION_INVALID 0xff /* of a traceparent value */
#define FLAG_SAMPLED 0x01

struct tracer {
	char node[TRACE_NODE_MAX];
	int permille;
	struct rng rng;
	struct span *ring;
	size_t capacity;
	uint64_t next; /* sequence number of the next span */
	uint64_t drained; /* sequence number of the next span to drain */
};

struct tracer *
tracer_new(const char *node, size_t capacity, int permille)
{
	struct tracer *t = g_new0(struct tracer, 1);

	g_strlcpy(t->node, node, sizeof(t->node));
	t->permille = permille;
	t->rng.state = random_id();
	t->capacity = capacity;
	t->ring = g_new0(struct span, capacity);
	return t;
}

void
tracer_free(struct tracer *t)
{
	if (t == NULL)
		return;
	g_free(t->ring);
	g_free(t);
}

/* Parses exactly n lower-case hex digits. */
static bool
parse_hex(const char *text, int n, uint64_t *value)
{
	*value = 0;
	for (int i = 0; i < n; i++) {
		char c = text[i];

		if (!g_ascii_isxdigit(c) || g_ascii_isupper(c))
			return false;
		*value = *value << 4 | (uint64_t)g_ascii_xdigit_value(c);
	}
	return true;
}

bool
trace_parse(const char *text, struct trace_context *ctx)
{
	uint64_t version;
	uint64_t flags;

	*ctx = (struct trace_context){ 0 };
	if (text == NULL || strlen(text) < TRACE_HEADER_LEN || text[2] != '-' ||
	    text[35] != '-' || text[52] != '-')
		return false;
	if (!parse_hex(text, 2, &version) || version == VERSION_INVALID ||
	    (version == 0 && strlen(text) != TRACE_HEADER_LEN))
		return false;
	if (!parse_hex(text + 3, 16, &ctx->high) ||
	    !parse_hex(text + 19, 16, &ctx->low) ||
	    !parse_hex(text + 36, 16, &ctx->span) ||
	    !parse_hex(text + 53, 2, &flags) ||
	    (ctx->high == 0 && ctx->low == 0) || ctx->span == 0) {
		*ctx = (struct trace_context){ 0 };
		return false;
	}
	ctx->sampled = flags & FLAG_SAMPLED;
	return true;
}

void
trace_format(const struct trace_context *ctx, char out[TRACE_HEADER_LEN + 1])
{
	out[0] = '\0';
	if (ctx->high == 0 && ctx->low == 0)
		return;
	g_snprintf(out, TRACE_HEADER_LEN + 1,
	    "00-%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER
	    "x-%016" G_GINT64_MODIFIER "x-%02x",
	    ctx->high, ctx->low, ctx->span, ctx->sampled ? 1u : 0u);
}

struct trace_context
tracer_make_context(struct tracer *t, const char *traceparent)
{
	struct trace_context ctx;

	if (trace_parse(traceparent, &ctx))
		return ctx;
	ctx.high = rng_next(&t->rng);
	ctx.low = rng_next(&t->rng) | 1;
	ctx.sampled = (int)rng_below(&t->rng, PERMILLE) < t->permille;
	return ctx;
}

uint64_t
tracer_start_span(struct trace_context *ctx)
{
	uint64_t parent = ctx->span;
	struct rng rng = { parent ^ ctx->low ^ (uint64_t)mono_us() };

	ctx->span = rng_next(&rng) | 1;
	return parent;
}

void
tracer_end_span(struct tracer *t, const struct trace_context *ctx,
    uint64_t parent, const char *name, int64_t start_us, const char *note,
    bool keep)
{
	struct span *s;
	int64_t duration = mono_us() - start_us;

	if ((ctx->high == 0 && ctx->low == 0) || (!ctx->sampled && !keep))
		return;
	s = &t->ring[t->next++ % t->capacity];
	*s = (struct span){ .high = ctx->high,
		.low = ctx->low,
		.id = ctx->span,
		.parent = parent,
		.start_us = g_get_real_time() - duration,
		.duration_us = duration };
	g_strlcpy(s->name, name, sizeof(s->name));
	g_strlcpy(s->node, t->node, sizeof(s->node));
	g_strlcpy(s->note, note == NULL ? "" : note, sizeof(s->note));
}

void
tracer_add(struct tracer *t, const struct span *span)
{
	t->ring[t->next++ % t->capacity] = *span;
}

/* Returns the sequence number of the oldest span in the ring buffer. */
static uint64_t
oldest(const struct tracer *t)
{
	return t->next > t->capacity ? t->next - t->capacity : 0;
}

void
tracer_drain(
    struct tracer *t, void (*fn)(void *arg, const struct span *), void *arg)
{
	t->drained = MAX(t->drained, oldest(t));
	while (t->drained < t->next)
		fn(arg, &t->ring[t->drained++ % t->capacity]);
}

void
tracer_each_span(struct tracer *t, uint64_t high, uint64_t low,
    void (*fn)(void *arg, const struct span *), void *arg)
{
	for (uint64_t i = oldest(t); i < t->next; i++) {
		const struct span *s = &t->ring[i % t->capacity];

		if (s->high == high && s->low == low)
			fn(arg, s);
	}
}
