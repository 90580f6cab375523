/*
 * Doubt about workers that fail what they start. lib/health weighs jobs
 * against workers over minutes; tasks of a second are used up by then.
 */
#include <math.h>

#include "plan.h"

#define FADE_MS 6000 /* a lone failure is forgotten after some seconds */
#define ELSEWHERE 0.5 /* counts so much: the task may be to blame */
#define DOUBTED 0.6 /* one failure, until it is done or has faded */
#define SHUNNED 1.8 /* two failures with no success between them */
#define SHUN_MS 1000 /* doubles while the worker fails its trials ... */
#define SHUN_MOST_MS 2500 /* ... so far: nothing waits 3 s beside room */

static double
failures_now(const struct plan_doubt *d, int64_t now_ms)
{
	return d->failures * exp(-(double)(now_ms - d->at_ms) / FADE_MS);
}

void
plan_doubt_ended(
    struct plan_doubt *d, bool done, bool elsewhere, int64_t now_ms)
{
	d->failures = failures_now(d, now_ms);
	d->at_ms = now_ms;
	if (done) {
		d->failures /= 2;
		if (d->failures < DOUBTED)
			d->wait_ms = 0;
		return;
	}
	d->failures += elsewhere ? ELSEWHERE : 1;
	if (d->failures < SHUNNED || now_ms < d->until_ms)
		return;
	d->wait_ms = CLAMP(2 * d->wait_ms, SHUN_MS, SHUN_MOST_MS);
	d->until_ms = now_ms + d->wait_ms;
}

enum plan_trust
plan_trust(const struct plan_doubt *d, int64_t now_ms)
{
	if (now_ms < d->until_ms)
		return PLAN_SHUNNED;
	return failures_now(d, now_ms) < DOUBTED ? PLAN_TRUSTED : PLAN_ON_TRIAL;
}
