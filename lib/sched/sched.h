/*
 * Placement decisions: takes tables of workers, teams and waiting jobs and
 * returns lists of placements and preemptions. Does no I/O, reads no clock and
 * does not depend on the log.
 *
 * Urgent jobs and jobs near their deadline are placed before others while
 * their team is within its quota; for urgent jobs the team's own preemptible
 * batch tasks are not counted. A team without a quota is entitled to its
 * weight's share of all workers. A quota of 0 for one resource does not limit
 * that resource. Rack and data centre handles are used as array indices. Job
 * ids are not 0.
 *
 * The leader mirrors the replicated state into a struct sched. A placement
 * that sched_decide() returns reserves its capacity at once and needs no
 * confirmation; the caller releases it with sched_run_end() when the attempt
 * ends or when the log rejects the placement.
 */
#ifndef SCHED_H
#define SCHED_H

#include "base.h"
#include "config.h"

/* Reasons why a worker gets no new tasks. */
enum sched_worker_flag {
	SCHED_SUSPECT = 1 << 0, /* no recent contact */
	SCHED_DRAINING = 1 << 1, /* leaving the cluster */
	SCHED_SET_ASIDE = 1 << 2 /* too many failed tasks */
};

struct sched_worker {
	uint32_t id; /* caller's handle; small, used as an array index */
	struct resources capacity;
	int64_t slots; /* maximum of concurrent tasks */
	uint32_t rack; /* handle */
	uint32_t data_center; /* handle */
	unsigned flags; /* enum sched_worker_flag */
};

struct sched_job {
	uint64_t id;
	uint32_t team;
	enum kind kind;
	bool urgent;
	bool idempotent; /* batch tasks: may be preempted if not urgent */
	enum spread spread;
	struct resources resources; /* granted to each task */
	int64_t runtime_ms; /* estimate; 0: unknown */
	int64_t deadline_ms; /* by the caller's clock; 0: none */
	int64_t submitted_ms;
	uint64_t data_centers; /* bit i allows data centre i; 0: any */
	uint64_t name_hash; /* hash of team and job name */
};

/* A task of a job is to start on a worker. */
struct sched_placement {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
};

enum sched_preempt_action {
	SCHED_THROTTLE, /* first step; its capacity stays in use */
	SCHED_CHECKPOINT_STOP /* if the capacity is still needed */
};

/* A running task to throttle or stop in favour of for_job. */
struct sched_preemption {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
	enum sched_preempt_action action;
	uint64_t for_job;
};

/* The decisions of one scheduling round. */
struct sched_round {
	GArray *placements; /* struct sched_placement; those of a gang are
			       adjacent */
	GArray *preemptions; /* struct sched_preemption */
	GArray *resumes; /* struct sched_placement: throttled tasks that need
			    not be stopped any more */
};

/* Reasons why a job waits. */
enum sched_reason {
	SCHED_WAIT_TURN, /* not tried yet, or behind other jobs */
	SCHED_WAIT_ROOM, /* no worker has enough free capacity now */
	SCHED_WAIT_GANG, /* free capacity for part of the gang only */
	SCHED_WAIT_QUOTA, /* team over its quota while others wait */
	SCHED_WAIT_RESERVED, /* the capacity is reserved for another job */
	SCHED_NEVER_FITS, /* larger than the known workers can hold */
	SCHED_NO_WORKER, /* no known worker in the allowed data centres */
	SCHED_REASON_COUNT
};

struct sched_wait_reason {
	enum sched_reason reason;
	const char *resource; /* first one that does not fit; or NULL */
	/* Of the best matching worker: free now, or, if the task never fits,
	 * in total. */
	struct resources largest;
};

/* What is available on a worker for new tasks. */
struct sched_available {
	struct resources resources;
	int64_t slots;
};

/* Which workers a policy scores for a task. */
enum sched_scan {
	SCHED_SCAN_INDEX, /* a limited number, tightest fits first */
	SCHED_SCAN_ALL, /* all workers, by id */
	SCHED_SCAN_FIRST, /* the first that fits, by id */
	SCHED_SCAN_NEXT /* as FIRST, but continues after the last placement */
};

/* A placement policy. */
struct sched_policy {
	const char *name;
	/* Score of a worker for a task of the job; the highest wins. */
	double (*score[KIND_COUNT])(const struct sched_worker *w,
	    const struct sched_available *avail, const struct sched_job *job);
	bool fair; /* order by priority, then by the team's weighted dominant
		      share, and spread tasks; else order by age only */
	bool reserve; /* reserve for gangs and starving jobs, with backfill */
	bool preempt; /* allow preemption of batch work */
	enum sched_scan scan;
	double share_step; /* shares are rounded down to a multiple; 0: exact,
			      INFINITY: shares are ignored */
	bool large_first; /* at equal shares larger tasks go before older */
	int64_t throttle_ms; /* from throttling a task to stopping it */
	/* Waiting times of a job until these take effect: */
	int64_t quota_after_ms; /* priority over teams above their quota */
	int64_t reserve_after_ms; /* a reservation, if no task was placed */
	int64_t gang_reserve_after_ms; /* the same for a gang */
	int64_t no_backfill_after_ms; /* since its first reservation */
	int64_t reclaim_after_ms; /* preemption of teams over their quota */
};

extern const struct sched_policy sched_policy_waiting; /* favours short waits */
extern const struct sched_policy sched_policy_packing; /* favours utilisation */
extern const struct sched_policy sched_policy_first_fit; /* baseline */
extern const struct sched_policy sched_policy_best_fit; /* baseline */
extern const struct sched_policy sched_policy_round_robin; /* baseline, FIFO */

struct sched;

struct sched *sched_new(const struct sched_policy *policy);
void sched_free(struct sched *s);
/* Changes the policy and drops all reservations. */
void sched_set_policy(struct sched *s, const struct sched_policy *policy);

/* Adds a worker, or updates the one with the same id. */
void sched_worker_set(struct sched *s, const struct sched_worker *w);
/* Removes a worker and ends the attempts that are still on it. */
void sched_worker_remove(struct sched *s, uint32_t id);

/* Sets a team's weight, at least 1, and its quota. */
void sched_team_set(struct sched *s, uint32_t team, int64_t weight,
    const struct resources *quota);

/*
 * Adds the tasks first to first + count - 1 of a job to the waiting ones, also
 * to retry tasks whose attempt was lost. The waiting tasks of a gang are placed
 * all at once or not at all.
 */
void sched_job_add(struct sched *s, const struct sched_job *job, uint32_t first,
    uint32_t count);
/*
 * Records that a task of the job failed on a worker; its next tasks prefer
 * other workers. Keeps the last 4 workers of a job, for the last 4096 jobs,
 * also while no task of the job waits or runs.
 */
void sched_job_avoid(struct sched *s, uint64_t job, uint32_t worker);
/* Removes the job's waiting tasks, after it was cancelled or has ended. */
void sched_job_remove(struct sched *s, uint64_t job);

/* Records an attempt that already runs (used by a new leader) and reserves
 * its capacity. */
void sched_run_restore(struct sched *s, const struct sched_job *job,
    uint32_t task, uint32_t worker, int64_t started_ms);
/* Frees an attempt's capacity after it ended or was rejected. */
void
sched_run_end(struct sched *s, uint64_t job, uint32_t task, uint32_t worker);

/*
 * Runs one scheduling round: places tasks until nothing more fits or limit
 * placements are made; a gang is placed whole even beyond the limit. Call it
 * about every 50 ms while tasks wait, also without changes, since throttled
 * tasks are stopped after a time. out is overwritten.
 */
void sched_decide(
    struct sched *s, int64_t now_ms, size_t limit, struct sched_round *out);
/* Latest time for the next round if nothing changes; -1: none needed. */
int64_t sched_next_ms(const struct sched *s);
void sched_round_init(struct sched_round *round);
void sched_round_clear(struct sched_round *round);

/* Reports why a job waits; false if it has no waiting tasks. */
bool sched_wait_reason(
    struct sched *s, uint64_t job, struct sched_wait_reason *info);
/* The name of a reason as clients see it. */
const char *sched_reason_name(enum sched_reason reason);

size_t sched_waiting_tasks(const struct sched *s);
/* The capacity in use on a worker; false if the worker is unknown. */
bool
sched_worker_used(const struct sched *s, uint32_t id, struct resources *used);
/* A team's dominant share of the total capacity, 0 to 1. */
double sched_team_share(const struct sched *s, uint32_t team);

/* Aborts if a worker exceeds its capacity or slots or the tables are
 * inconsistent. For tests. */
void sched_check(const struct sched *s);

#endif
