/*
 * Metrics of a process: counters, gauges and histograms of durations, rendered
 * in the Prometheus text format. The code that updates a metric creates it
 * once and keeps the pointer; the registry owns the memory. Not thread-safe:
 * only the event loop uses metrics.
 */
#ifndef COUNTER_H
#define COUNTER_H

#include "base.h"

enum counter_type { COUNTER_TOTAL, COUNTER_GAUGE };

/* A counter or a gauge; the owner sets value. */
struct counter {
	const char *name;
	const char *help;
	const char *labels; /* as 'kind="batch"', or "" */
	enum counter_type type;
	int64_t value;
	double scale; /* rendered as value * scale */
};

#define TIMER_BUCKETS 16 /* up to 2^15 ms */

/*
 * A histogram of durations in ms, rendered in seconds. Bucket i counts those
 * above 2^(i-1) ms up to 2^i ms, bucket 0 those up to 1 ms.
 */
struct timer {
	const char *name;
	const char *help;
	const char *labels;
	int64_t bucket[TIMER_BUCKETS + 1]; /* the last has no upper limit */
	int64_t sum_ms;
	int64_t count;
};

struct registry;

struct registry *registry_new(void);
void registry_free(struct registry *r);

/*
 * Add a metric that lives as long as the registry: a counter or gauge at 0
 * with scale 1, or an empty latency histogram. name, labels and help are not
 * copied.
 */
struct counter *counter_new(struct registry *r, enum counter_type type,
    const char *name, const char *labels, const char *help);
struct timer *timer_new(
    struct registry *r, const char *name, const char *labels, const char *help);

/* Adds a duration to the histogram. */
void timer_add(struct timer *t, int64_t ms);
/*
 * Returns the upper limit in ms of the bucket that holds the quantile, for
 * the last bucket 2^TIMER_BUCKETS. quantile is at least 0 and below 1. Returns
 * 0 if nothing was counted.
 */
int64_t timer_quantile(const struct timer *t, double quantile);

/*
 * Renders all metrics in the order in which they were added, counters and
 * gauges first; the caller frees the text. Counters of one name with different
 * labels follow each other under one header; histograms do if they were added
 * one after another.
 */
char *registry_render(const struct registry *r);

#endif
