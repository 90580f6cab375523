/* The policies in use and the baselines, as tables of scores. */
#include <math.h>

#include "table.h"

#define TIGHTNESS 0.5 /* weight of the dominant resource against stranding */

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
	double slots;
};

static struct left
left_after(const struct sched_worker *w, const struct sched_room *room,
    const struct resources *need)
{
	const struct resources *cap = &w->capacity;
	const struct resources *free = &room->free;

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

/* Millicpus or memory that lack the other, or a slot, to go with them. */
static double
stranded(double cpu, double memory, double slots)
{
	return MAX(cpu, memory) - MIN(MIN(cpu, memory), slots);
}

/* What a task without accelerators costs on a worker that has free ones. */
static double
accelerators_left(const struct left *left, const struct resources *need)
{
	return need->accelerators == 0 && left->accelerators > 0
	    ? 1 + left->accelerators
	    : 0;
}

static double
tight(const struct sched_worker *w, const struct sched_room *room,
    const struct sched_job *job)
{
	struct left left = left_after(w, room, &job->resources);
	double before =
	    stranded(part(room->free.millicpus, w->capacity.millicpus),
		part(room->free.memory, w->capacity.memory),
		part(room->slots, w->slots));
	double after = stranded(left.cpu, left.memory, left.slots);
	double idle = accelerators_left(&left, &job->resources);

	return -TIGHTNESS * dominant_left(w, &left, &job->resources) -
	    (after - before) - idle;
}

/*
 * The emptiest worker. Services stay for long: packed together they would
 * strand the rest of their worker for as long, while beside batch work that
 * comes and goes their worker is filled.
 */
static double
loose(const struct sched_worker *w, const struct sched_room *room,
    const struct sched_job *job)
{
	struct left left = left_after(w, room, &job->resources);

	return MIN(left.cpu, left.memory) -
	    stranded(left.cpu, left.memory, left.slots) -
	    accelerators_left(&left, &job->resources);
}

static double
any(const struct sched_worker *w, const struct sched_room *room,
    const struct sched_job *job)
{
	return 0;
}

/* The usual best fit: least left over all resources. */
static double
least_left(const struct sched_worker *w, const struct sched_room *room,
    const struct sched_job *job)
{
	struct left left = left_after(w, room, &job->resources);

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
	.share_step = 1,
	.throttle_ms = 100,
	.starved_ms = 5000,
	.gang_ms = 0,
	.strict_ms = 3000,
	.reclaim_ms = 5000,
};

const struct sched_policy sched_packing = {
	.name = "packing",
	.score = { [KIND_SERVICE] = loose,
	    [KIND_BATCH] = tight,
	    [KIND_GANG] = tight },
	.fair = true,
	.reserve = true,
	.preempt = true,
	.scan = SCHED_SCAN_INDEX,
	.share_step = INFINITY,
	.large_first = true,
	.fair_ms = 10000,
	.throttle_ms = 300,
	.starved_ms = 30000,
	.gang_ms = 10000,
	.strict_ms = 5000,
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
