/*
 * Admission: whether a job is accepted or turned away at once with a time to
 * return, from a snapshot of the load. Reads no clock and does no I/O. The
 * state is kept by the leader only, see docs/design/overload.md.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "cost.h"

/* Work is counted by its weight (cost_weight()), two classes for each doubling,
 * and runs by the time until they end, in steps of ADMIT_BUCKET_MS. */
#define ADMIT_CLASSES 64
#define ADMIT_BUCKETS 80
#define ADMIT_BUCKET_MS 250
#define ADMIT_REFUSED_MAX 4096 /* refused jobs that are remembered */

/* Work of one class. */
struct admit_amount {
	double work; /* core-ms */
	double cost; /* if all of it is of no use */
	double spare; /* core-ms times the ms until it has to start */
};

/* The load as a placement round sees it. */
struct admit_load {
	int64_t now_ms;
	struct resources capacity; /* of the workers that may get work */
	struct resources used;
	/* Cores that runs leave, by the time left until they end. */
	double freed[ADMIT_BUCKETS];
	struct admit_amount waiting[ADMIT_CLASSES]; /* can be in time */
	struct admit_amount late; /* waits too, but can't be in time */
	double waiting_cores; /* of all tasks that wait */
};

/* Adds the waiting tasks of a job, each of which takes task_ms, to a load. */
void admit_load_add(
    struct admit_load *load, const struct cost_job *job, int64_t task_ms);
/* Adds a run that takes a worker's resources for so long. */
void admit_load_add_run(struct admit_load *load,
    const struct resources *resources, int64_t remaining_ms);

/* A job to decide on. */
struct admit_request {
	uint64_t id;
	int64_t now_ms;
	struct cost_job job; /* first_ms is set by the decision */
	bool exempt; /* never refused: long-running, or fits no worker */
};

struct admit_decision {
	bool accept;
	int64_t retry_ms; /* if refused: when to return */
	/* The inputs of the decision, for the log. */
	uint32_t attempt; /* of the caller, from 1 */
	int64_t ahead_ms; /* wait for the work that goes before it */
	int64_t spare_ms; /* longest wait with which it is of use */
	int64_t accept_cost;
	int64_t refuse_cost;
};

struct admit;

struct admit *admit_new(void);
void admit_free(struct admit *a);

/* Replaces the load; to be called at least once a second. */
void admit_update(struct admit *a, const struct admit_load *load);

/* Decides without recording anything. */
struct admit_decision
admit_ask(const struct admit *a, const struct admit_request *request);
/* Decides and records the decision. */
struct admit_decision
admit_decide(struct admit *a, const struct admit_request *request);

/* The estimated use of the workers, in permille of the fuller resource. */
int64_t admit_used_permille(const struct admit *a);
/* Whether the workers have been full for so long that jobs may be refused. */
bool admit_saturated(const struct admit *a);
/* The number of refused jobs that are remembered. */
uint32_t admit_refused_count(const struct admit *a);
/* What the workers have together. */
struct resources admit_capacity(const struct admit *a);

#endif
