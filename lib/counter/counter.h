/*
 * Counters of one process, rendered as the plain text that monitoring tools
 * read. A counter is created once and kept by its owner; the event loop is
 * the only thread that uses them.
 */
#ifndef COUNTER_H
#define COUNTER_H

#include "base.h"

enum counter_type { COUNTER_TOTAL, COUNTER_GAUGE };

struct counter {
	const char *name;
	const char *help;
	const char *labels; /* 'kind="batch"' or "" */
	enum counter_type type;
	int64_t value;
	double scale; /* what one unit of value is in the rendered unit */
};

#define TIMER_BUCKETS 16

/* Times in milliseconds, counted in buckets that double from 1 ms. */
struct timer {
	const char *name;
	const char *help;
	const char *labels;
	int64_t bucket[TIMER_BUCKETS + 1]; /* the last one is unbounded */
	int64_t sum_ms;
	int64_t count;
};

struct registry;

struct registry *registry_new(void);
void registry_free(struct registry *r);

/* Adds a counter or timer; name, help and labels must outlive it. */
struct counter *counter_new(struct registry *r, enum counter_type type,
    const char *name, const char *labels, const char *help);
struct timer *timer_new(
    struct registry *r, const char *name, const char *labels, const char *help);

void timer_add(struct timer *t, int64_t ms);
/* Returns the upper bound in ms of the bucket that holds the quantile. */
int64_t timer_quantile(const struct timer *t, double quantile);

/* Renders all, sorted by name as added; the caller frees the text. */
char *registry_render(const struct registry *r);

#endif
