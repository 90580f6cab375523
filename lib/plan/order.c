/* Orders of steps that wait, to choose from. */
#include "plan.h"

enum rank {
	RANK_LONG_RUNNING,
	RANK_AGED,
	RANK_ON_TIME,
	RANK_LATE,
	RANK_OVERDUE,
	RANK_BEST_EFFORT
};

static enum rank
rank_of(const struct plan_pending *step, int64_t now_ms)
{
	static const enum rank ranks[] = {
		[PLAN_LONG_RUNNING] = RANK_LONG_RUNNING,
		[PLAN_ON_TIME] = RANK_ON_TIME,
		[PLAN_LATE] = RANK_LATE,
		[PLAN_OVERDUE] = RANK_OVERDUE,
		[PLAN_BEST_EFFORT] = RANK_BEST_EFFORT,
	};
	enum rank rank = ranks[plan_tier(step, now_ms)];

	return step->aged ? MIN(rank, RANK_AGED) : rank;
}

static int
compare_by_cost(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms)
{
	enum rank ra = rank_of(a, now_ms);
	enum rank rb = rank_of(b, now_ms);

	if (ra != rb)
		return ra < rb ? -1 : 1;
	if (a->weight != b->weight)
		return a->weight > b->weight ? -1 : 1;
	return plan_compare(a, b, now_ms);
}

const struct plan_order plan_orders[PLAN_ORDER_COUNT] = {
	[PLAN_ORDER_LATEST_START] = { "latest-start", plan_compare },
	[PLAN_ORDER_COST] = { "cost", compare_by_cost },
};
