/* Shares of the workers: what an organisation uses against its entitlement. */
#include <math.h>

#include "share.h"

static double
fraction(int64_t part, int64_t whole)
{
	return whole > 0 ? (double)part / (double)whole : 0;
}

double
share_dominant(const struct resources *part, const struct resources *whole)
{
	double share = fraction(part->millicpus, whole->millicpus);

	share = MAX(share, fraction(part->memory, whole->memory));
	return MAX(share, fraction(part->accelerators, whole->accelerators));
}

bool
share_over_due(const struct resources *used, const struct resources *whole,
    double entitlement)
{
	return share_dominant(used, whole) >= entitlement;
}

/* How many tasks until the use of one resource reaches the entitlement. */
static double
tasks_until(int64_t used, int64_t whole, int64_t each, double entitlement)
{
	if (each <= 0)
		return UINT32_MAX;
	return ceil(
	    (entitlement * (double)whole - (double)used) / (double)each);
}

uint32_t
share_tasks_due(const struct resources *used, const struct resources *whole,
    double entitlement, uint32_t turn, const struct resources *per_task,
    uint32_t count, bool gang)
{
	double n = count;

	if (turn >= SHARE_TURNS - 1)
		return count;
	entitlement *= (double)(1U << turn);
	if (share_over_due(used, whole, entitlement))
		return 0;
	if (gang)
		return count;
	if (whole->millicpus > 0)
		n = MIN(n,
		    tasks_until(used->millicpus, whole->millicpus,
			per_task->millicpus, entitlement));
	if (whole->memory > 0)
		n = MIN(n,
		    tasks_until(used->memory, whole->memory, per_task->memory,
			entitlement));
	if (whole->accelerators > 0)
		n = MIN(n,
		    tasks_until(used->accelerators, whole->accelerators,
			per_task->accelerators, entitlement));
	return (uint32_t)MAX(n, 1);
}

bool
share_may_preempt(const struct share_side *urgent,
    const struct share_side *victim, bool victim_has_time)
{
	if (urgent->organisation == victim->organisation)
		return victim_has_time;
	if (urgent->within)
		return victim_has_time || !victim->within;
	return victim_has_time && !victim->within;
}
