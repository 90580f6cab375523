/* Caps: limits of what an organisation has running. */
#include "share.h"

static bool
within(int64_t amount, int64_t limit)
{
	return limit == 0 || amount <= limit;
}

bool
share_fits_cap(const struct resources *used, const struct resources *cap)
{
	return within(used->millicpus, cap->millicpus) &&
	    within(used->memory, cap->memory) &&
	    within(used->accelerators, cap->accelerators);
}

/* How many tasks fit under the limit of one resource. Divides, as the product
 * of a task's need and their number may overflow. */
static int64_t
tasks_within(int64_t used, int64_t limit, int64_t each)
{
	if (limit == 0)
		return UINT32_MAX;
	if (used > limit)
		return 0;
	return each <= 0 ? UINT32_MAX : (limit - used) / each;
}

uint32_t
share_tasks_within_cap(const struct resources *used,
    const struct resources *cap, const struct resources *per_task,
    uint32_t count, bool gang)
{
	int64_t n = count;

	n = MIN(n,
	    tasks_within(used->millicpus, cap->millicpus, per_task->millicpus));
	n = MIN(n, tasks_within(used->memory, cap->memory, per_task->memory));
	n = MIN(n,
	    tasks_within(
		used->accelerators, cap->accelerators, per_task->accelerators));
	return gang && n < count ? 0 : (uint32_t)n;
}

bool
share_can_ever_fit(const struct resources *cap,
    const struct resources *per_task, uint32_t count, bool gang)
{
	struct resources none = { 0 };

	return share_tasks_within_cap(
		   &none, cap, per_task, gang ? count : 1, gang) > 0;
}
