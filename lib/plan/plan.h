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
	int64_t weight; /* the larger goes first, see cost_weight() */
	bool aged; /* was passed over for so long that it goes first */
};

/* A job that ends later than this many objectives is of no use any more. */
#define PLAN_LATE_FACTOR 3

enum plan_tier plan_tier(const struct plan_pending *step, int64_t now_ms);
/* The time until the step's latest start; below 0 if that has passed. */
int64_t plan_spare_ms(const struct plan_pending *step, int64_t now_ms);

/*
 * The order in which steps get capacity; below 0 if a goes first. The load that
 * it answers: full workers, large jobs with time to spare, and small ones that
 * have just missed their objective, often because one of their tasks took
 * several times as long as expected. Those are late by less, the sooner they go
 * on, at little cost to the others.
 *
 * Long-running tasks go first: their objective has passed when one has to be
 * restarted, so under load they would otherwise wait behind all other work.
 * Aged steps follow, then those that can still be of use, by weight. Steps that
 * can't be of use any more go by latest start, before best-effort work.
 */
int plan_compare(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms);
/* Orders by tier, then by latest start, priority and order of acceptance. */
int plan_compare_latest_start(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms);

/*
 * Statistics that correct the declared run times of one kind of task. How
 * inaccurate callers' declarations are differs by kind. Actual run times and
 * the declarations' relative errors are modelled as log-normal.
 */
struct plan_estimate {
	/* Limits the effect of the few tasks that take several times as long
	 * as the rest. */
	bool robust;
	uint32_t samples;
	double log_mean; /* of the logarithm of the run time in ms */
	double log_variance;
	double error_mean; /* of log(actual / declared) */
	double error_variance;
	double residual_variance; /* of log(actual / estimated) */
};

/* Logarithms of run times in ms and their mean absolute deviations, as far as
 * they are known from an earlier leader. */
struct plan_history {
	uint32_t samples;
	double log_mean;
	double log_deviation;
	double error_mean;
	double error_deviation;
};

/* Starts an estimate from a history. */
void
plan_estimate_init(struct plan_estimate *e, const struct plan_history *history);
/* Adds the run time of an ended task. */
void plan_estimate_update(
    struct plan_estimate *e, int64_t declared_ms, int64_t actual_ms);
/* The expected run time of a task; declared_ms is 0 if none was declared. */
int64_t plan_estimate_ms(const struct plan_estimate *e, int64_t declared_ms);
#define PLAN_QUANTILE_HIGH 0.9 /* for when a task has ended for certain */
/* The run time that a fraction of the tasks doesn't exceed; for a quantile of
 * 0.5 as plan_estimate_ms(). */
int64_t plan_estimate_quantile_ms(
    const struct plan_estimate *e, int64_t declared_ms, double quantile);

/* A worker that tasks can be placed on. */
struct plan_worker {
	uint32_t worker; /* id */
	uint32_t rack; /* 0: none */
	struct resources free;
	struct resources capacity;
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
 * Records a run that ended by itself, not by a stop. weight: how much a failure
 * counts.
 */
void plan_failure_update(struct plan_failure_record *r, bool succeeded,
    double weight, int64_t now_ms);
/* The weight of a failure of work that has failed on so many other workers: the
 * more these are, the likelier the work is at fault. */
double plan_failure_weight(uint32_t other_workers);
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
	/*
	 * For placement by expected end, where the learnt speeds of workers
	 * are in effect.
	 */
	int64_t runtime_ms; /* of a task on a fast worker; 0: not by end */
	int64_t runtime_high_ms; /* that most of them don't exceed there */
	int64_t spare_ms; /* that a task may take longer and be on time */
	double slow_from; /* slowdown from which on a worker is slow */
	bool fast_scarce; /* little of the fast workers is free */
	bool fast_suffice; /* the fast workers have capacity for all tasks */
};

/*
 * Says whether the request gets only workers on which it ends on time: a gang
 * that would be late on slow workers but not on fast ones waits for these until
 * its latest start there. plan_fit_count() is 0 for other workers meanwhile.
 */
bool plan_waits_for_fast(const struct plan_request *request);
/*
 * Sorts workers by the preference of plan_place() for their speed, those of
 * equal speed as before; does nothing if placement is not by expected end.
 */
void plan_sort_by_speed(struct plan_worker **workers, guint count,
    const struct plan_request *request);

/*
 * Chooses a worker for each task: the tightest fit, weighed against how fast
 * the worker is, so that large free amounts stay available for large tasks. If
 * placement is by expected end, tasks that would be late on slow workers prefer
 * fast ones, others prefer slow ones while fast ones are scarce, and a gang,
 * which ends with its slowest member, gets workers of similar speed, the
 * fastest that hold it. Subtracts the placed tasks from the workers' free
 * resources. Sets pick to indexes into workers and returns how many tasks were
 * placed; all or 0 for a gang.
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

/* A worker that queries to the policy service may name. */
struct plan_candidate {
	uint32_t fits; /* tasks of the step that fit there */
	enum plan_permit permit;
	bool in_flight; /* a query that names it is not answered yet */
	uint32_t call; /* result: the call that names it, from 1; 0: none */
};

/* What limits the queries of a step. */
struct plan_query_limits {
	uint32_t processes; /* that can query the policy service */
	uint32_t idle; /* of these, how many could send a query now */
	uint32_t in_flight; /* queries of the step without an answer yet */
	double allowed_fraction; /* of workers with unknown permit */
	bool partial; /* query also if the answers can't suffice for a gang */
	bool ahead; /* the answers are not needed yet: leave more idle */
	bool may_use_reserve; /* its queries are brief, or no others are */
	/* Most processes are busy: the policy service is the bottleneck, and
	 * several calls take more of its time than one. */
	bool saturated;
	/* The step has waited for processes so long that it may use one of the
	 * reserve for a long query. */
	bool passed_over;
};

/* Queries of one step that may be in flight at a time. */
#define PLAN_QUERIES_MAX 4
/* Limit of the policy service for one call. */
#define PLAN_CALL_WORKERS_MAX 100
/* Queries for up to so many workers are short: they are one call, as calls for
 * fewer workers would hardly end sooner. A step's only query in flight may use
 * the reserve if it is short, brief and needed now. */
#define PLAN_SHORT_QUERY_WORKERS 20

/* How many processes are kept idle for brief queries. */
uint32_t plan_query_reserve(uint32_t processes);
/* How many queries ahead leave idle. */
uint32_t plan_query_ahead_reserve(uint32_t processes);

/*
 * A query that takes so long is brief: a start takes as long besides. The load
 * that this answers: many steps need permits at once, as after a restart, and
 * long queries for work with time to spare take all processes for half a
 * second, while urgent steps wait whose queries would take 30 ms.
 */
#define PLAN_BRIEF_QUERY_MS 100

/*
 * Selects the workers that queries to the policy service name now, and splits
 * them over calls that are sent at the same time. The load that this addresses:
 * gangs of 20 tasks on 350 workers of which a third are allowed, with calls of
 * 0.6 s + 8 ms for each worker, so that calls one after another take seconds;
 * among them short urgent steps, which need one small call at once.
 *
 * Workers known to be allowed are named first, then unknown ones in order,
 * until enough capacity is allowed or likely to be. For a gang, workers with a
 * valid permit count towards it: they need no query, and the gang's members
 * can start as soon as the query is answered. If they did not count, a gang
 * whose permits expire at different times would not query for any. Workers in
 * flight count as expected. A gang that could not be placed with the answers is
 * not queried for unless partial is set. A step that is not a gang has one
 * selection in flight at a time.
 *
 * Returns the number of calls to send; 0: send none.
 */
uint32_t plan_select_queries(struct plan_candidate *candidates, guint count,
    const struct plan_request *request, const struct plan_query_limits *limits);

/* How many of the workers asked about were allowed, by queue. */
struct plan_allowed {
	double asked;
	double allowed;
};

/* Adds the answers about workers that were not asked about before. */
void
plan_allowed_update(struct plan_allowed *a, uint32_t asked, uint32_t allowed);
/* The expected fraction of workers with unknown permit that are allowed. */
double plan_allowed_fraction(const struct plan_allowed *a);

/* Returns how many of the requested tasks fit on a worker. */
uint32_t plan_fit_count(
    const struct plan_worker *worker, const struct plan_request *request);

/* Why plan_fit_count() is 0 for a worker. */
enum plan_obstacle {
	PLAN_FITS,
	PLAN_NO_RESOURCES,
	PLAN_TOO_SLOW, /* the request waits for fast workers */
	PLAN_TASK_LIMIT,
	PLAN_MAX_PER_WORKER
};
/* The request is for at least one task. */
enum plan_obstacle plan_obstacle(
    const struct plan_worker *worker, const struct plan_request *request);

#endif
