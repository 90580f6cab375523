#include "cost.h"

/* The value of a late but useful result, in permille of that of one in time. */
#define LATE_PERMILLE 250

/* A job that has so much time to spare counts half as much as one that has
 * none: about a run time of the work that it competes with. */
#define SPARE_HALF_MS 2000

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
cost_of_waiting(const struct cost_job *job, int64_t now_ms)
{
	int64_t slack_ms = MAX(job->objective_ms - job->remaining_ms, 1);
	int64_t spare_ms =
	    CLAMP(job->first_ms + slack_ms - now_ms, 0, slack_ms);
	int64_t late =
	    cost_of_delay(job, job->first_ms + job->objective_ms + 1);

	return late * (slack_ms - spare_ms) / slack_ms;
}

int64_t
cost_of_stop(
    const struct cost_job *job, int64_t now_ms, const struct cost_stop *stop)
{
	int64_t later_ms = now_ms + stop->restart_ms + stop->lost_ms;
	int64_t delay = cost_of_delay(job, later_ms + job->remaining_ms) -
	    cost_of_delay(job, now_ms + job->remaining_ms);
	int64_t waiting =
	    cost_of_waiting(job, later_ms) - cost_of_waiting(job, now_ms);

	return MAX(delay, waiting) +
	    stop->lost_work * stop->price / COST_WORK_UNIT;
}

/* How much of a loss is at stake while it takes so long until it can't be
 * avoided any more. */
static int64_t
at_stake(int64_t loss, int64_t spare_ms)
{
	return spare_ms < 0 ? 0
			    : loss * SPARE_HALF_MS / (SPARE_HALF_MS + spare_ms);
}

int64_t
cost_weight(const struct cost_job *job, int64_t now_ms)
{
	int64_t value = cost_per_work(job, cost_value(job));
	int64_t late_value = value * LATE_PERMILLE / 1000;
	int64_t spare_ms =
	    job->first_ms + job->objective_ms - job->remaining_ms - now_ms;
	int64_t useful_ms =
	    spare_ms + (COST_USEFUL_OBJECTIVES - 1) * job->objective_ms;

	return at_stake(value - late_value, spare_ms) +
	    at_stake(late_value, useful_ms);
}

int64_t
cost_per_work(const struct cost_job *job, int64_t cost)
{
	return cost * COST_WORK_UNIT / MAX(job->work, 1);
}
