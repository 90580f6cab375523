/*
 * Placement decisions: the order in which pending steps are served, the
 * workers that take their tasks, preemption, and the estimates that these
 * depend on. Reads no clock and does no I/O.
 */
#ifndef PLAN_H
#define PLAN_H

#include "base.h"

/* Urgency class of a pending step, from its job's latency objective. */
enum plan_tier {
	PLAN_LONG_RUNNING, /* has to run until it is cancelled */
	PLAN_ON_TIME, /* can still end within the objective */
	PLAN_LATE, /* can end within PLAN_LATE_FACTOR times the objective */
	PLAN_OVERDUE, /* will end too late to be of use, but has to be run */
	PLAN_BEST_EFFORT /* uses only resources that nothing else needs */
};

/* A step of a job that is ready to start. */
struct plan_pending {
	int64_t accepted_ms;
	int64_t objective_ms; /* from acceptance to the job's end */
	int64_t remaining_ms; /* estimated run time until the job's end */
	uint32_t priority; /* 0 is the most urgent */
	bool best_effort;
	bool long_running;
	uint64_t serial; /* order of acceptance, the last tie-breaker */
	/* Only for PLAN_ORDER_COST: */
	int64_t weight; /* the larger goes first in its tier, see lib/cost */
	bool aged; /* was passed over for so long that it goes first */
};

/* A job that ends later than this many objectives is of no use any more. */
#define PLAN_LATE_FACTOR 3

enum plan_tier plan_tier(const struct plan_pending *step, int64_t now_ms);

/*
 * Orders by tier, then by latest start time; below 0 if a goes first. Work
 * that can't be on time any more goes after work that can, so that bursts of
 * small urgent jobs are not delayed by large gangs. Long-running tasks go
 * first: their objective has passed when one has to be restarted, so under
 * load they would otherwise wait behind all other work.
 */
int plan_compare(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms);

/*
 * Orders to choose from. PLAN_ORDER_COST has the tiers of plan_compare(), with
 * aged steps after the long-running ones; within a tier the larger weight goes
 * first.
 */
enum plan_order_kind {
	PLAN_ORDER_LATEST_START, /* plan_compare() */
	PLAN_ORDER_COST,
	PLAN_ORDER_COUNT
};

struct plan_order {
	const char *name;
	int (*compare)(const struct plan_pending *a,
	    const struct plan_pending *b, int64_t now_ms);
};

extern const struct plan_order plan_orders[PLAN_ORDER_COUNT];

/*
 * Statistics that correct the declared run times of one kind of task. How
 * inaccurate callers' declarations are differs by kind. Actual run times and
 * the declarations' relative errors are modelled as log-normal.
 */
struct plan_estimate {
	uint32_t samples;
	double log_mean; /* of the logarithm of the run time in ms */
	double log_variance;
	double error_mean; /* of log(actual / declared) */
	double error_variance;
};

/* Adds the run time of an ended task. */
void plan_estimate_update(
    struct plan_estimate *e, int64_t declared_ms, int64_t actual_ms);
/* The expected run time of a task; declared_ms is 0 if none was declared. */
int64_t plan_estimate_ms(const struct plan_estimate *e, int64_t declared_ms);

/* A worker that tasks can be placed on. */
struct plan_worker {
	uint32_t worker; /* id */
	struct resources free;
	struct resources capacity;
	uint32_t rack; /* 0: none */
	double slowdown; /* run time multiplier of this worker; 1: normal */
	uint32_t step_tasks; /* tasks of the step that are there already */
	uint32_t task_limit; /* most tasks to add now, whatever is free */
};

/* Whether a worker may get tasks, judged by its recent failures. */
enum plan_failure_state {
	PLAN_HEALTHY,
	PLAN_PROBING, /* gets one task at a time until one succeeds */
	PLAN_EXCLUDED /* gets none until its back-off ends */
};

/*
 * The recent failures of a worker. Guards against workers that report healthy
 * but fail all or much of what they start: as runs there end at once, the
 * worker is free again at once and attracts most pending tasks, which then use
 * up their attempts on it.
 */
struct plan_failure_record {
	double score; /* decays with time and is halved by each success */
	int64_t updated_ms; /* time that score is valid for */
	int64_t backoff_ms; /* length of the last exclusion */
	int64_t excluded_until_ms;
};

/*
 * Records a run that ended by itself, not by a stop. failed_before: the task
 * has failed earlier, so that the task and not the worker may be at fault.
 */
void plan_failure_update(struct plan_failure_record *r, bool succeeded,
    bool failed_before, int64_t now_ms);
enum plan_failure_state
plan_failure_state(const struct plan_failure_record *r, int64_t now_ms);

/* Tasks of a step to place. */
struct plan_request {
	uint32_t count;
	struct resources per_task;
	bool gang; /* all or none */
	bool colocated; /* on one rack if possible */
	uint32_t data_rack; /* rack that holds the input data; 0: none */
	double far_factor; /* run time multiplier on other racks */
	uint32_t max_per_worker; /* 0: no limit */
};

/*
 * Chooses a worker for each task: the tightest fit, weighed against how fast
 * the worker is, so that large free amounts stay available for large tasks.
 * Subtracts the placed tasks from the workers' free resources. Sets pick to
 * indexes into workers and returns how many tasks were placed; all or 0 for a
 * gang.
 */
uint32_t plan_place(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t *pick);

/* A run whose resources a more urgent step can get. */
struct plan_victim {
	void *run; /* opaque to this library */
	struct resources resources; /* freed when it ends */
	int64_t lost_ms; /* run time lost by stopping it; 0: it can resume */
	bool ends_soon; /* needs no stop: its end is awaited */
	bool chosen;
};

/* A worker with the runs on it that may be preempted. */
struct plan_preemption {
	struct plan_worker *worker;
	GArray *victims; /* struct plan_victim */
	uint32_t tasks; /* result: how many tasks to start there */
};

/*
 * Chooses runs to stop or to await so that the request fits, with as few
 * millicpus stopped as possible. Without preemption a gang that waits among
 * small, less urgent tasks starves: no worker ever has enough free for its
 * members. Sets chosen and tasks; returns how many of the requested tasks fit
 * then.
 */
uint32_t plan_preempt(struct plan_preemption *preemptions, guint count,
    const struct plan_request *request);

/* What is known about the policy service's permit for a step on a worker. */
enum plan_permit {
	PLAN_PERMIT_UNKNOWN, /* not queried yet */
	PLAN_PERMIT_EXPIRING, /* allowed; expires before a query is answered */
	PLAN_PERMIT_VALID, /* allowed, also once a query is answered */
	PLAN_PERMIT_DENIED
};

/* A worker that a query to the policy service may include. */
struct plan_candidate {
	uint32_t fits; /* tasks of the step that fit there */
	enum plan_permit permit;
	bool selected; /* result: include it in the query */
};

/*
 * Selects the workers that a query to the policy service includes, in order,
 * until enough capacity is allowed or likely to be. For a gang, workers with a
 * valid permit count towards it: they need no query, and the gang's members
 * can start as soon as the query is answered. If they did not count, a gang
 * whose permits expire at different times would not query for any. A gang that
 * could not be placed with the answer is not queried for unless partial is
 * set. Returns how many workers were selected; 0: don't send a query.
 */
uint32_t plan_select_query_workers(struct plan_candidate *candidates,
    guint count, const struct plan_request *request, bool partial);

/* Returns how many of the requested tasks fit on a worker. */
uint32_t plan_fit_count(
    const struct plan_worker *worker, const struct plan_request *request);

#endif
