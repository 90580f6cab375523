/*
 * Exclusion of workers that fail the runs they start. lib/health compares jobs
 * and workers over minutes, by which time tasks of about a second have used up
 * all their attempts.
 */
#include <math.h>

#include "plan.h"

/* Time constant of the decay: one failure leads to probing for some 3 s. */
#define DECAY_MS 6000
/* Exceeded by one failure, until a success or the decay lowers it. */
#define PROBE_SCORE 0.6
/* Exceeded by two failures with no success between them. */
#define EXCLUDE_SCORE 1.8
/* Reached by failed probes one after the other. A worker that fails many runs
 * at once is probed no longer than that, under 10 s after its last failure. */
#define SCORE_MAX 3
/* The back-off doubles with each failed probe. Its limit keeps a step from
 * waiting 3 s while a worker has free resources. */
#define BACKOFF_MIN_MS 1000
#define BACKOFF_MAX_MS 2500

static double
decayed_score(const struct plan_failure_record *r, int64_t now_ms)
{
	return r->score * exp(-(double)(now_ms - r->updated_ms) / DECAY_MS);
}

void
plan_failure_update(struct plan_failure_record *r, bool succeeded,
    double weight, int64_t now_ms)
{
	r->score = decayed_score(r, now_ms);
	r->updated_ms = now_ms;
	if (succeeded) {
		r->score /= 2;
		if (r->score < PROBE_SCORE)
			r->backoff_ms = 0;
		return;
	}
	if (weight <= 0)
		return;
	r->score = MIN(r->score + weight, SCORE_MAX);
	if (r->score < EXCLUDE_SCORE || now_ms < r->excluded_until_ms)
		return;
	r->backoff_ms =
	    CLAMP(2 * r->backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
	r->excluded_until_ms = now_ms + r->backoff_ms;
}

double
plan_failure_weight(uint32_t other_workers)
{
	return 1.0 / (1 + other_workers);
}

enum plan_failure_state
plan_failure_state(const struct plan_failure_record *r, int64_t now_ms)
{
	if (now_ms < r->excluded_until_ms)
		return PLAN_EXCLUDED;
	return decayed_score(r, now_ms) < PROBE_SCORE ? PLAN_HEALTHY
						      : PLAN_PROBING;
}
