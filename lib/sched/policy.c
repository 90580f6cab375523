/* The policies in use and the baselines, as tables of scores. */
#include <math.h>

#include "table.h"

static double
part(int64_t amount, int64_t whole)
{
	return whole > 0 ? (double)amount / (double)whole : 0;
}

/* What is left of a worker after the task, as parts of its capacity. */
struct left {
	double cpu;
	double memory;
	double accelerators;
};

static struct left
left_after(const struct sched_worker *w, const struct resources *free,
    const struct resources *need)
{
	const struct resources *cap = &w->capacity;

	return (struct left){
		.cpu = part(free->millicpus - need->millicpus, cap->millicpus),
		.memory = part(free->memory - need->memory, cap->memory),
		.accelerators = part(
		    free->accelerators - need->accelerators, cap->accelerators),
	};
}

/* What is left of the resource that the task needs most of. */
static double
dominant_left(const struct sched_worker *w, const struct left *left,
    const struct resources *need)
{
	const struct resources *cap = &w->capacity;
	double cpu = part(need->millicpus, cap->millicpus);
	double memory = part(need->memory, cap->memory);
	double acc = part(need->accelerators, cap->accelerators);

	if (acc > cpu && acc > memory)
		return left->accelerators;
	return cpu >= memory ? left->cpu : left->memory;
}

/* Millicpus without memory to go with them, or the other way round. */
static double
stranded(double cpu, double memory)
{
	return fabs(cpu - memory);
}

static double
tight(const struct sched_worker *w, const struct resources *free,
    const struct sched_job *job)
{
	struct left left = left_after(w, free, &job->resources);
	double before = stranded(part(free->millicpus, w->capacity.millicpus),
	    part(free->memory, w->capacity.memory));
	double after = stranded(left.cpu, left.memory);
	double idle = left.accelerators * (job->resources.accelerators == 0);

	return -dominant_left(w, &left, &job->resources) - (after - before) -
	    idle;
}

/* The emptiest worker: services then share no worker that they needn't. */
static double
loose(const struct sched_worker *w, const struct resources *free,
    const struct sched_job *job)
{
	struct left left = left_after(w, free, &job->resources);

	return MIN(left.cpu, left.memory) - stranded(left.cpu, left.memory) -
	    left.accelerators * (job->resources.accelerators == 0);
}

static double
any(const struct sched_worker *w, const struct resources *free,
    const struct sched_job *job)
{
	return 0;
}

/* The usual best fit: least left over all resources. */
static double
least_left(const struct sched_worker *w, const struct resources *free,
    const struct sched_job *job)
{
	struct left left = left_after(w, free, &job->resources);

	return -(left.cpu + left.memory + left.accelerators);
}

const struct sched_policy sched_waiting = {
	.name = "waiting",
	.score = { [KIND_SERVICE] = loose,
	    [KIND_BATCH] = tight,
	    [KIND_GANG] = tight },
	.fair = true,
	.reserve = true,
	.preempt = true,
	.scan = SCHED_SCAN_INDEX,
	.throttle_ms = 100,
	.starved_ms = 5000,
	.strict_ms = 10000,
	.reclaim_ms = 5000,
};

const struct sched_policy sched_packing = {
	.name = "packing",
	.score = { [KIND_SERVICE] = tight,
	    [KIND_BATCH] = tight,
	    [KIND_GANG] = tight },
	.fair = true,
	.reserve = true,
	.preempt = true,
	.scan = SCHED_SCAN_INDEX,
	.throttle_ms = 300,
	.starved_ms = 30000,
	.strict_ms = 60000,
	.reclaim_ms = 30000,
};

const struct sched_policy sched_first_fit = {
	.name = "first-fit",
	.score = { any, any, any },
	.scan = SCHED_SCAN_FIRST,
};

const struct sched_policy sched_best_fit = {
	.name = "best-fit",
	.score = { least_left, least_left, least_left },
	.scan = SCHED_SCAN_ALL,
};

const struct sched_policy sched_round_robin = {
	.name = "round-robin",
	.score = { any, any, any },
	.scan = SCHED_SCAN_NEXT,
};
