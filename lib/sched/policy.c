/* The placement policies in use and the baselines, with their scores. */
#include <math.h>

#include "table.h"

/* Weight in a score of what is left of the task's dominant resource; that of
 * stranded capacity is 1. */
#define TIGHTNESS_WEIGHT 0.5

static double
fraction(int64_t amount, int64_t whole)
{
	return whole > 0 ? (double)amount / (double)whole : 0;
}

/* What the task leaves free on a worker, as fractions of the capacity. */
struct left {
	double cpu;
	double memory;
	double accelerators;
	double slots;
};

static struct left
left_after(const struct sched_worker *w, const struct sched_available *avail,
    const struct resources *need)
{
	const struct resources *cap = &w->capacity;
	const struct resources *free = &avail->resources;

	return (struct left){
		.cpu =
		    fraction(free->millicpus - need->millicpus, cap->millicpus),
		.memory = fraction(free->memory - need->memory, cap->memory),
		.accelerators = fraction(
		    free->accelerators - need->accelerators, cap->accelerators),
	};
}

/* What is left of the task's dominant resource. */
static double
dominant_left(const struct sched_worker *w, const struct left *left,
    const struct resources *need)
{
	const struct resources *cap = &w->capacity;
	double cpu = fraction(need->millicpus, cap->millicpus);
	double memory = fraction(need->memory, cap->memory);
	double acc = fraction(need->accelerators, cap->accelerators);

	if (acc > cpu && acc > memory)
		return left->accelerators;
	return cpu >= memory ? left->cpu : left->memory;
}

/* Stranded capacity: millicpus or memory that no task can use for lack of the
 * other or of a slot. */
static double
stranded(double cpu, double memory, double slots)
{
	return MAX(cpu, memory) - MIN(MIN(cpu, memory), slots);
}

/* Penalty for a task without accelerators on a worker that has free ones. */
static double
accelerator_penalty(const struct left *left, const struct resources *need)
{
	return need->accelerators == 0 && left->accelerators > 0
	    ? 1 + left->accelerators
	    : 0;
}

static double
score_tight(const struct sched_worker *w, const struct sched_available *avail,
    const struct sched_job *job)
{
	struct left left = left_after(w, avail, &job->resources);
	double before = stranded(
	    fraction(avail->resources.millicpus, w->capacity.millicpus),
	    fraction(avail->resources.memory, w->capacity.memory),
	    fraction(avail->slots, w->slots));
	double after = stranded(left.cpu, left.memory, left.slots);
	double penalty = accelerator_penalty(&left, &job->resources);

	return -TIGHTNESS_WEIGHT * dominant_left(w, &left, &job->resources) -
	    (after - before) - penalty;
}

/*
 * Prefers the emptiest worker. Services run for long: packed together they
 * would strand the rest of their worker for as long, whereas a service beside
 * short batch tasks leaves capacity that these can fill.
 */
static double
score_loose(const struct sched_worker *w, const struct sched_available *avail,
    const struct sched_job *job)
{
	struct left left = left_after(w, avail, &job->resources);

	return MIN(left.cpu, left.memory) -
	    stranded(left.cpu, left.memory, left.slots) -
	    accelerator_penalty(&left, &job->resources);
}

static double
score_equal(const struct sched_worker *w, const struct sched_available *avail,
    const struct sched_job *job)
{
	return 0;
}

/* Best fit: least capacity left over, summed over the resources. */
static double
score_best_fit(const struct sched_worker *w,
    const struct sched_available *avail, const struct sched_job *job)
{
	struct left left = left_after(w, avail, &job->resources);

	return -(left.cpu + left.memory + left.accelerators);
}

const struct sched_policy sched_policy_waiting = {
	.name = "waiting",
	.score = { [KIND_SERVICE] = score_loose,
	    [KIND_BATCH] = score_tight,
	    [KIND_GANG] = score_tight },
	.fair = true,
	.reserve = true,
	.preempt = true,
	.scan = SCHED_SCAN_INDEX,
	.share_step = 1,
	.throttle_ms = 100,
	.reserve_after_ms = 5000,
	.gang_reserve_after_ms = 0,
	.no_backfill_after_ms = 3000,
	.reclaim_after_ms = 5000,
};

const struct sched_policy sched_policy_packing = {
	.name = "packing",
	.score = { [KIND_SERVICE] = score_loose,
	    [KIND_BATCH] = score_tight,
	    [KIND_GANG] = score_tight },
	.fair = true,
	.reserve = true,
	.preempt = true,
	.scan = SCHED_SCAN_INDEX,
	.share_step = INFINITY,
	.large_first = true,
	.quota_after_ms = 10000,
	.throttle_ms = 300,
	.reserve_after_ms = 30000,
	.gang_reserve_after_ms = 10000,
	.no_backfill_after_ms = 5000,
	.reclaim_after_ms = 30000,
};

const struct sched_policy sched_policy_first_fit = {
	.name = "first-fit",
	.score = { score_equal, score_equal, score_equal },
	.scan = SCHED_SCAN_FIRST,
};

const struct sched_policy sched_policy_best_fit = {
	.name = "best-fit",
	.score = { score_best_fit, score_best_fit, score_best_fit },
	.scan = SCHED_SCAN_ALL,
};

const struct sched_policy sched_policy_round_robin = {
	.name = "round-robin",
	.score = { score_equal, score_equal, score_equal },
	.scan = SCHED_SCAN_NEXT,
};
