/*
 * The cost to a caller of delaying, refusing or stopping its job. Placement
 * order, admission and preemption compare these costs. Reads no clock and does
 * no I/O; integers only. Times are on one clock of the caller of this library.
 */
#ifndef COST_H
#define COST_H

#include "base.h"

/* The loss of a job of priority 0 whose result is of no use. */
#define COST_UNIT INT64_C(1000000)
/* A result later than this many objectives is of no use. */
#define COST_USEFUL_OBJECTIVES 3
/* Calls about one job until its caller gives up: the first and its retries. */
#define COST_ATTEMPTS_MAX 4
#define COST_ENTITLED_FULL 1000

/* What a caller states about a job, and what is left of it. */
struct cost_job {
	uint32_t priority; /* 0 is the most urgent */
	/* Permille of the value that counts: COST_ENTITLED_FULL within the
	 * entitlement of the job's organisation, less beyond it. */
	uint32_t entitled_permille;
	int64_t first_ms; /* of the caller's first attempt */
	int64_t objective_ms; /* from then to the job's end */
	int64_t remaining_ms; /* run time until its end, if nothing waits */
	int64_t work; /* core-ms that it still needs, see cost_work() */
};

/* The consequences of stopping runs of a job. */
struct cost_stop {
	int64_t restart_ms; /* until they run again */
	int64_t lost_ms; /* run time since the checkpoint, the longest */
	int64_t lost_work; /* the same in core-ms, of all of them */
	/* Value of capacity: cost per COST_WORK_UNIT of the work that waits. */
	int64_t price;
};

/* Work that costs are related to: one core for one second. */
#define COST_WORK_UNIT 1000

/*
 * The work of tasks in core-ms by their dominant resource: memory and
 * accelerators count as the cores that go with them if all were shared out in
 * proportion. all: what the workers have together.
 */
int64_t cost_work(const struct resources *per_task, int64_t count,
    int64_t runtime_ms, const struct resources *all);

/* What a result in time is worth to the caller. */
int64_t cost_value(const struct cost_job *job);

/* The loss if the job ends at a time. */
int64_t cost_of_delay(const struct cost_job *job, int64_t end_ms);

/*
 * The loss if the job is turned away now and, once the caller returns, ends at
 * end_ms. attempts_left: calls that the caller still makes; 0: none.
 */
int64_t cost_of_refusal(
    const struct cost_job *job, uint32_t attempts_left, int64_t end_ms);

/*
 * The expected loss if the job goes on waiting for room at a time: rises from 0
 * to the loss of being late as the time to spare is used up.
 */
int64_t cost_of_waiting(const struct cost_job *job, int64_t now_ms);

/*
 * The loss if runs of the job are stopped now: the time to spare that it uses
 * up, valued like that of a job that waits, and the work that is repeated.
 */
int64_t cost_of_stop(
    const struct cost_job *job, int64_t now_ms, const struct cost_stop *stop);

/*
 * How far the job goes before others that can be of use like it: the value per
 * work that it loses if it has to wait, less as long as there is time to spare.
 * Being late costs most of its value, being too late to be of use the rest, so
 * work that has just missed its objective still goes before work with much time
 * and little value for its size. 0: it can't be of use any more.
 */
int64_t cost_weight(const struct cost_job *job, int64_t now_ms);

/* A cost per COST_WORK_UNIT of the work that the job needs. */
int64_t cost_per_work(const struct cost_job *job, int64_t cost);

#endif
