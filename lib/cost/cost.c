#include "cost.h"

/* The value of a late but useful result, in permille of that of one in time.
 * A quarter: late work is served after all work that can be in time. */
#define LATE_PERMILLE 250

int64_t
cost_work(const struct resources *per_task, int64_t count, int64_t runtime_ms,
    const struct resources *all)
{
	int64_t millicpus = per_task->millicpus;

	if (all->memory > 0)
		millicpus = MAX(millicpus,
		    (int64_t)((double)per_task->memory / (double)all->memory *
			(double)all->millicpus));
	if (all->accelerators > 0)
		millicpus = MAX(millicpus,
		    per_task->accelerators * all->millicpus /
			all->accelerators);
	return millicpus * count * MAX(runtime_ms, 1) / 1000;
}

/*
 * Each step of priority halves the value: the configuration states an order of
 * queues only. The size of a job doesn't change its value, as a caller loses
 * one result whatever work it takes.
 */
int64_t
cost_value(const struct cost_job *job)
{
	return (COST_UNIT >> MIN(job->priority, 10)) *
	    MIN(job->entitled_permille, COST_ENTITLED_FULL) /
	    COST_ENTITLED_FULL;
}

int64_t
cost_of_delay(const struct cost_job *job, int64_t end_ms)
{
	int64_t took_ms = end_ms - job->first_ms;
	int64_t value = cost_value(job);
	int64_t useful_ms = job->objective_ms * COST_USEFUL_OBJECTIVES;

	if (took_ms <= job->objective_ms)
		return 0;
	if (took_ms > useful_ms)
		return value;
	return value - value * LATE_PERMILLE / 1000;
}

/* Half of the callers that return are assumed to be turned away again. */
int64_t
cost_of_refusal(
    const struct cost_job *job, uint32_t attempts_left, int64_t end_ms)
{
	int64_t value = cost_value(job);
	int64_t delay = cost_of_delay(job, end_ms);

	return delay + ((value - delay) >> MIN(attempts_left, 10));
}

int64_t
cost_of_stop(
    const struct cost_job *job, int64_t end_ms, const struct cost_stop *stop)
{
	int64_t later_ms = end_ms + stop->restart_ms + stop->lost_ms;

	return cost_of_delay(job, later_ms) - cost_of_delay(job, end_ms) +
	    stop->lost_work * stop->price / COST_WORK_UNIT;
}

int64_t
cost_per_work(const struct cost_job *job, int64_t cost)
{
	return cost * COST_WORK_UNIT / MAX(job->work, 1);
}
