#include "calls.h"

#define RETRY_TOKENS 100 /* hundredths of a retry */

void
calls_budget_earn(struct calls_budget *b, const struct calls_policy *policy)
{
	b->tokens = MIN(b->tokens + policy->retry_percent,
	    policy->retry_burst * RETRY_TOKENS);
}

bool
calls_budget_spend(struct calls_budget *b, const struct calls_policy *policy)
{
	if (!policy->bound_retries)
		return true;
	if (b->tokens < RETRY_TOKENS)
		return false;
	b->tokens -= RETRY_TOKENS;
	return true;
}

int64_t
calls_hop_timeout_ms(int64_t deadline_ms, int64_t now_ms, int64_t one_way_ms)
{
	return MAX(deadline_ms - now_ms - 2 * one_way_ms, 0);
}
