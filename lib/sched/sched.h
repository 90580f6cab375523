/*
 * Placement decisions: tables of workers, teams and waiting jobs in, lists of
 * placements out. No I/O, no clock of its own, no knowledge of the log.
 *
 * Urgent work and deadlines go before others while the team is within its
 * quota, not counting batch work of its own that could be stopped. A team
 * without a quota is entitled to its weight's part of all workers; a quota
 * that is 0 for one resource does not limit that one. Handles of racks and
 * data centres are used as indices. Job ids are not 0.
 *
 * The leader mirrors the agreed state into a struct sched; a placement that
 * sched_round() returns is reserved at once and later confirmed by nothing:
 * the caller releases it with sched_end() when the attempt ends or when the
 * log refuses it.
 */
#ifndef SCHED_H
#define SCHED_H

#include "base.h"
#include "config.h"

/* Workers that may take no new work, and why. */
enum sched_worker_flag {
	SCHED_SUSPECT = 1 << 0, /* silent */
	SCHED_DRAINING = 1 << 1, /* leaving */
	SCHED_SET_ASIDE = 1 << 2 /* fails what it starts */
};

struct sched_worker {
	uint32_t id; /* the caller's handle; small, used as an index */
	struct resources capacity;
	int64_t slots; /* tasks at the same time */
	uint32_t rack; /* small handles */
	uint32_t data_center;
	unsigned flags; /* enum sched_worker_flag */
};

struct sched_job {
	uint64_t id;
	uint32_t team;
	enum kind kind;
	bool urgent;
	bool idempotent;
	enum spread spread;
	struct resources resources; /* of one task: what will be granted */
	int64_t runtime_ms; /* estimate; 0: not known */
	int64_t deadline_ms; /* caller's clock; 0: none */
	int64_t submitted_ms;
	uint64_t data_centers; /* bit i: data centre handle i; 0: any */
	uint64_t name_hash; /* of team and job name */
};

/* One decision: task of a job goes to a worker. */
struct sched_placement {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
};

/* A running task to take room from. */
enum sched_preempt_how {
	SCHED_THROTTLE, /* first; its room counts as used until it ends */
	SCHED_CHECKPOINT_STOP /* the room is still needed */
};
struct sched_preemption {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
	enum sched_preempt_how how;
	uint64_t for_job;
};

/* What one round decided. */
struct sched_round {
	GArray *placements; /* struct sched_placement; a gang's are adjacent */
	GArray *preemptions; /* struct sched_preemption */
	GArray *resumes; /* struct sched_placement: throttled, and the room
			    came from elsewhere */
};

/* Why a job waits. */
enum sched_reason {
	SCHED_WAIT_TURN, /* not looked at yet, or behind others */
	SCHED_WAIT_ROOM, /* fits a worker, but none has room now */
	SCHED_WAIT_GANG, /* room for some of the tasks only */
	SCHED_WAIT_QUOTA, /* the team is over its share and others wait */
	SCHED_WAIT_RESERVED, /* a gang's reservation holds the room */
	SCHED_NEVER_FITS, /* larger than any known worker */
	SCHED_NO_WORKER, /* no worker is known in the allowed places */
	SCHED_REASON_COUNT
};

struct sched_why {
	enum sched_reason reason;
	const char *resource; /* the one that does not fit; or NULL */
	struct resources largest; /* the largest that would fit, now or ever */
};

/* What a worker has for a task. */
struct sched_room {
	struct resources free;
	int64_t slots;
};

/* Which workers a policy looks at for a task. */
enum sched_scan {
	SCHED_SCAN_INDEX, /* some tight ones from the index */
	SCHED_SCAN_ALL, /* every worker, by id */
	SCHED_SCAN_FIRST, /* by id, up to the first that fits */
	SCHED_SCAN_NEXT /* as FIRST, from where the last scan ended */
};

/* A way to choose; the policy in use and the baselines are such tables. */
struct sched_policy {
	const char *name;
	/* Higher is better. */
	double (*score[KIND_COUNT])(const struct sched_worker *w,
	    const struct sched_room *room, const struct sched_job *job);
	bool fair; /* teams by weighted dominant share; else by age */
	bool reserve; /* gangs reserve, others backfill */
	bool preempt; /* urgent work may take room from batch */
	enum sched_scan scan;
	double share_step; /* shares this close are equal; 0: exact,
				INFINITY: shares give no order */
	bool large_first; /* of equal shares: the larger task, not the older */
	int64_t throttle_ms; /* before a throttled task is stopped */
	int64_t fair_ms; /* wait before being within quota goes first */
	int64_t starved_ms; /* wait for room before it is reserved */
	int64_t gang_ms; /* the same for a gang */
	int64_t strict_ms; /* a reservation takes backfill until then */
	int64_t reclaim_ms; /* wait before borrowed room is reclaimed */
};

extern const struct sched_policy sched_waiting; /* favours waiting time */
extern const struct sched_policy sched_packing; /* favours packing */
extern const struct sched_policy sched_first_fit; /* baseline */
extern const struct sched_policy sched_best_fit; /* baseline */
extern const struct sched_policy sched_round_robin; /* baseline, FIFO */

struct sched;

struct sched *sched_new(const struct sched_policy *policy);
void sched_free(struct sched *s);
void sched_set_policy(struct sched *s, const struct sched_policy *policy);

/* Adds a worker or changes one that is known (by id). */
void sched_worker_set(struct sched *s, const struct sched_worker *w);
/* Forgets a worker; its tasks must have ended. */
void sched_worker_remove(struct sched *s, uint32_t id);

void sched_team_set(struct sched *s, uint32_t team, int64_t weight,
    const struct resources *quota);

/* Adds count waiting tasks, numbers first on, of a job. Tasks come back the
 * same way after a lost attempt. A gang's tasks are placed all or none. */
void sched_job_add(struct sched *s, const struct sched_job *job, uint32_t first,
    uint32_t count);
/* A task of the job failed on a worker: others go first for the next tries.
 * Kept by job id, for the last few workers of the last thousand such jobs. */
void sched_job_avoid(struct sched *s, uint64_t job, uint32_t worker);
/* Forgets the job's waiting tasks (cancelled, ended). */
void sched_job_remove(struct sched *s, uint64_t job);

/* Mirrors an attempt that runs already (new leader); reserves its room. */
void sched_running(struct sched *s, const struct sched_job *job, uint32_t task,
    uint32_t worker, int64_t started_ms);
/* An attempt ended or was refused: its room is free again. */
void sched_end(struct sched *s, uint64_t job, uint32_t task, uint32_t worker);

/*
 * Decides until nothing more fits or limit placements are made; a gang is
 * placed whole beyond it. While tasks wait it is to be called each 50 ms or so
 * without changes too: throttled tasks are stopped by time.
 */
void sched_decide(
    struct sched *s, int64_t now_ms, size_t limit, struct sched_round *out);
/* When to decide again at the latest if nothing changes; -1: not needed. */
int64_t sched_next_ms(const struct sched *s);
void sched_round_init(struct sched_round *round);
void sched_round_clear(struct sched_round *round);

/* Says why a job waits; false if it has no waiting tasks. */
bool sched_why(struct sched *s, uint64_t job, struct sched_why *why);
const char *sched_reason_name(enum sched_reason reason);

size_t sched_waiting_tasks(const struct sched *s);
/* Reserved amounts on a worker, for checks and reports. */
bool
sched_worker_used(const struct sched *s, uint32_t id, struct resources *used);
/* A team's dominant share of all capacity, 0 to 1. */
double sched_team_share(const struct sched *s, uint32_t team);

/* Aborts if a worker is over capacity or slots, or a table disagrees with
 * another. For tests. */
void sched_check(const struct sched *s);

#endif
