/* The order of steps that wait. */
#include "plan.h"

enum rank {
	RANK_LONG_RUNNING,
	RANK_AGED,
	RANK_USEFUL,
	RANK_OVERDUE,
	RANK_BEST_EFFORT
};

static enum rank
rank_of(const struct plan_pending *step, int64_t now_ms)
{
	static const enum rank ranks[] = {
		[PLAN_LONG_RUNNING] = RANK_LONG_RUNNING,
		[PLAN_ON_TIME] = RANK_USEFUL,
		[PLAN_LATE] = RANK_USEFUL,
		[PLAN_OVERDUE] = RANK_OVERDUE,
		[PLAN_BEST_EFFORT] = RANK_BEST_EFFORT,
	};
	enum rank rank = ranks[plan_tier(step, now_ms)];

	return step->aged ? MIN(rank, RANK_AGED) : rank;
}

int
plan_compare(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms)
{
	enum rank ra = rank_of(a, now_ms);
	enum rank rb = rank_of(b, now_ms);

	if (ra != rb)
		return ra < rb ? -1 : 1;
	if (a->weight != b->weight)
		return a->weight > b->weight ? -1 : 1;
	return plan_compare_latest_start(a, b, now_ms);
}
