/* Rates: jobs that an organisation sends, against its weight per second. */
#include <math.h>

#include "share.h"

/* Organisations whose jobs arrive at random at the rate of their weight: in the
 * replay of share_test 1 in 100 of their jobs were refused or late with a burst
 * of 5 s, 1 in 300 with 10 s. */
#define BURST_S 10.0
/* An organisation of a small weight can send one job at a time. */
#define BURST_MIN 1.0
/* The longest delay that is asked for: load changes within some seconds. */
#define RETRY_MAX_MS 15000
/* Time constant of the average rate, which is only reported. */
#define RATE_MS 5000.0

static double
burst(double weight)
{
	return MAX(weight * BURST_S, BURST_MIN);
}

static void
refill(struct share_bucket *b, double weight, int64_t now_ms)
{
	if (!b->started) {
		b->tokens = burst(weight);
		b->started = true;
	} else if (now_ms > b->updated_ms) {
		double age_ms = (double)(now_ms - b->updated_ms);

		b->tokens += weight * age_ms / 1000;
		b->rate *= exp(-age_ms / RATE_MS);
	}
	b->tokens = MIN(b->tokens, burst(weight));
	b->updated_ms = now_ms;
}

bool
share_bucket_take(struct share_bucket *b, double weight, int64_t now_ms)
{
	bool within;

	refill(b, weight, now_ms);
	within = b->tokens >= 1;
	b->tokens = MAX(b->tokens - 1, 0);
	b->rate += 1000 / RATE_MS;
	return within;
}

int64_t
share_bucket_retry_ms(struct share_bucket *b, double weight, int64_t now_ms)
{
	int64_t latest = now_ms + RETRY_MAX_MS;
	double each_ms = weight > 0 ? 1000 / weight : RETRY_MAX_MS;
	double wait_ms;
	int64_t next;

	refill(b, weight, now_ms);
	wait_ms = MIN(each_ms * (1 - MIN(b->tokens, 1)), RETRY_MAX_MS);
	next = now_ms + (int64_t)wait_ms;
	if (b->promised_ms + (int64_t)MIN(each_ms, RETRY_MAX_MS) > next)
		next = b->promised_ms + (int64_t)MIN(each_ms, RETRY_MAX_MS);
	b->promised_ms = MIN(next, latest);
	return MAX(b->promised_ms - now_ms, 1);
}

bool
share_bucket_full(const struct share_bucket *b, double weight, int64_t now_ms)
{
	struct share_bucket copy = *b;

	refill(&copy, weight, now_ms);
	return copy.tokens >= burst(weight);
}
