/*
 * Internal tables of the scheduler: workers and their index, teams, jobs,
 * shapes and reservations.
 *
 * A shape is the group of all waiting jobs that are equal for placement. A hold
 * is the part of a reservation on one worker.
 */
#ifndef TABLE_H
#define TABLE_H

#include "sched.h"

#define INDEX_STEPS 32 /* of available millicpus, and of memory */
/* Without and with accelerators. */
#define INDEX_BUCKETS (2 * INDEX_STEPS * INDEX_STEPS)
#define NO_BUCKET UINT32_MAX
#define AVOID_MAX 4 /* failed workers that are recorded for a job */
/* If more workers than this have changed, all shapes are tried again. */
#define CHANGED_MAX 256

/* An attempt that uses capacity of a worker. */
struct run {
	struct job *job;
	uint32_t task;
	uint32_t worker;
	struct resources resources;
	struct team *team;
	int64_t started_ms;
	/* started_ms less the run time that preemption cost its job before;
	 * now less this is the cost of stopping the run. */
	int64_t effective_start_ms;
	bool service; /* does not end by itself */
	bool throttled;
	bool stopping;
	struct hold *hold; /* it is preempted for this one; or NULL */
	GSequenceIter *iter; /* in sched.preemptible; or NULL */
};

/* Capacity of one worker that is reserved for tasks of a job. */
struct hold {
	struct reservation *reservation;
	struct worker *worker;
	uint32_t tasks;
	int64_t preempt_start_ms;
	bool stops_ordered; /* sent to the throttled runs */
};

/* Capacity reserved for a whole gang, or for single tasks of a job. */
struct reservation {
	struct job *job;
	GPtrArray *holds; /* struct hold, owned */
	int64_t start_ms; /* when all capacity should be free; estimate */
	bool preempt; /* batch work is preempted for it */
	bool no_backfill; /* no task may backfill the held capacity */
	bool recheck; /* capacity of one of its workers has grown */
};

struct worker {
	struct sched_worker spec;
	struct resources free; /* capacity less runs */
	struct resources avail; /* free less all holds */
	/* free less the holds of preempting reservations */
	struct resources backfill;
	int64_t free_slots;
	int64_t avail_slots;
	int64_t backfill_slots;
	struct resources service_used; /* by runs of services */
	int64_t service_slots;
	uint32_t bucket; /* of the index; or NO_BUCKET */
	uint32_t bucket_pos; /* position in the bucket */
	uint32_t no_backfill_holds; /* of reservations with no_backfill */
	bool dirty; /* in sched.dirty */
	bool overcommitted; /* its runs exceed the capacity */
	GPtrArray *runs; /* struct run, owned */
	GPtrArray *holds; /* struct hold, not owned */
};

/* Workers of equal capacity and slots in one data centre. */
struct worker_class {
	struct resources capacity;
	int64_t slots;
	uint32_t data_center;
	uint32_t count;
};

struct team {
	uint32_t id;
	int64_t weight;
	struct resources quota; /* 0: this resource is not limited */
	struct resources used;
	struct resources preemptible; /* part of used */
};

/* Waiting tasks first to first + count - 1. */
struct range {
	uint32_t first;
	uint32_t count;
};

/* Failures and preemptions of a job's tasks. */
struct history {
	uint64_t job;
	uint32_t avoid[AVOID_MAX]; /* ring of workers that tasks failed on */
	uint32_t avoid_count; /* ever added, including overwritten ones */
	int64_t lost_ms; /* run time lost to preemption */
};

struct job {
	struct sched_job spec;
	struct shape *shape; /* while tasks wait */
	GSequenceIter *iter; /* in the shape's queue */
	GArray *ranges; /* struct range */
	uint32_t waiting;
	uint32_t running;
	GArray *workers; /* uint32_t, one per running task; if it spreads */
	struct history *history; /* or NULL */
	struct reservation *reservation; /* or NULL */
	int64_t reserved_ms; /* time of its first reservation; 0: none */
};

enum shape_state {
	SHAPE_READY, /* to be tried in the next round */
	SHAPE_BLOCKED, /* no free capacity was found */
	SHAPE_INFEASIBLE, /* the known workers could not hold it if empty */
	SHAPE_STATES
};

/* The properties that placement depends on. Compared bytewise. */
struct shape_key {
	struct resources resources;
	uint64_t data_centers;
	uint32_t team;
	uint32_t gang_tasks; /* number of waiting tasks; 0 if not a gang */
	uint32_t kind;
	uint32_t spread;
	uint32_t urgent;
	uint32_t pad; /* 0 */
};

struct shape {
	struct shape_key key;
	struct team *team;
	GSequence *age_queue; /* struct job without deadline, by age */
	GSequence *deadline_queue; /* struct job with deadline, by deadline */
	struct job *age_head; /* first of the queue; or NULL */
	struct job *deadline_head; /* the same */
	uint64_t tasks; /* waiting */
	enum shape_state state;
	guint pos; /* in sched.shapes[state] */
	uint64_t woken_round; /* in this round only changed workers may fit */
	int64_t placed_ms; /* time of the last placement */
	int64_t reserve_retry_ms; /* no new reservation before this time */
	int64_t gang_retry_ms; /* gangs: no new search before this time */
	int64_t preempt_retry_ms; /* no new preemption before this time */
	bool stale; /* gangs: capacity has grown since the last search */
};

/* Workers by available millicpus, memory and accelerators. */
struct index {
	GPtrArray *buckets[INDEX_BUCKETS]; /* struct worker */
	/* By accelerators and millicpu step; bit m: memory step m is in use. */
	uint32_t occupied[2][INDEX_STEPS];
	/* Largest millicpus and largest memory of any worker so far. */
	struct resources largest;
};

struct sched {
	const struct sched_policy *policy;
	GPtrArray *workers; /* struct worker or NULL, by id */
	GArray *classes; /* struct worker_class */
	struct index index;
	GPtrArray *dirty; /* struct worker: free capacity has grown */
	GPtrArray *changed; /* dirty workers that the current round handles */
	bool stale; /* some shape is stale */
	bool classes_changed;
	struct resources total; /* capacity */
	GHashTable *teams; /* struct team by id */
	int64_t weight_sum; /* of all teams */
	GHashTable *jobs; /* struct job by id */
	GHashTable *history; /* struct history by job id */
	GQueue history_order; /* struct history, oldest first */
	GHashTable *shapes_by_key; /* struct shape by key */
	GPtrArray *shapes[SHAPE_STATES];
	size_t waiting; /* number of tasks */
	GPtrArray *reservations;
	GPtrArray *throttled; /* struct run, until it is resumed or ends */
	GSequence *preemptible; /* struct run by effective_start_ms */
	uint64_t round; /* number of the current round */
	unsigned round_preempt_holds; /* preempting holds made in this round */
	int64_t now_ms;
	uint64_t starving; /* the only job that may reserve; 0: any */
	int64_t next_check_ms; /* time of the next check of blocked shapes */
	uint32_t cursor; /* where scans that rotate start */
	GArray *rack_tasks; /* uint32_t scratch for spreading */
	GArray *data_center_tasks;
};

/* index.c */
void index_init(struct index *ix);
void index_clear(struct index *ix);
void index_insert(struct index *ix, struct worker *w);
void index_remove(struct index *ix, struct worker *w);

/*
 * Calls fn for workers that may have need available, tightest fits first. fn
 * returns the number of candidates found so far; the walk ends at enough.
 */
typedef unsigned index_visit(void *arg, struct worker *w);
void index_walk(const struct index *ix, const struct resources *need,
    unsigned enough, index_visit *fn, void *arg);

/* worker.c */
struct worker *sched_worker_get(const struct sched *s, uint32_t id);
bool worker_usable(const struct worker *w);
bool worker_allowed(const struct worker *w, uint64_t data_centers);
/* Recomputes the available capacity after a change. If grown is set, shapes and
 * reservations that lack capacity are tried again. */
void worker_update_available(struct sched *s, struct worker *w, bool grown);
struct run *
worker_find_run(const struct worker *w, uint64_t job, uint32_t task);
/* Records an attempt on a worker and reserves its capacity. */
struct run *run_start(struct sched *s, struct job *job, uint32_t task,
    struct worker *w, int64_t started_ms);
/* How often need fits into have; at most max. */
uint32_t resources_fit_count(
    const struct resources *have, const struct resources *need, uint32_t max);
/* How many tasks all known workers could hold if they were empty. Stops
 * counting at max. */
uint64_t workers_max_tasks(
    const struct sched *s, const struct shape_key *key, uint64_t max);

/* fair.c */
struct team *team_get(struct sched *s, uint32_t id);
/* Whether a team would be within its quota with more added to its use. */
bool team_within_quota(
    const struct sched *s, const struct team *t, const struct resources *more);
/* The same, not counting the team's preemptible runs, which could be stopped
 * for its urgent work. */
bool team_within_quota_nonpreemptible(
    const struct sched *s, const struct team *t, const struct resources *more);
/* Use relative to what the team is entitled to; 1: all of it. */
double team_usage_ratio(const struct sched *s, const struct team *t);

/* job.c */
struct job *job_get(const struct sched *s, uint64_t id);
struct job *job_ensure(struct sched *s, const struct sched_job *spec);
void sched_job_free(void *job);
/* Removes the next task from the waiting ones and returns its number. */
uint32_t job_take_task(struct sched *s, struct job *job);
/* Frees a job that has no waiting or running tasks. */
void job_free_if_idle(struct sched *s, struct job *job);
/* Record the worker of a started or ended task of a job that is to be spread.
 */
void job_add_worker(struct job *job, uint32_t worker);
void job_remove_worker(struct job *job, uint32_t worker);
bool job_spreads(const struct job *job);
/* Whether, with a task on w, all tasks and holds of a job that is to be spread
 * would be in one rack or data centre. False for its first task. */
bool job_in_one_domain(
    const struct sched *s, const struct job *job, const struct worker *w);

/* history.c */
struct history *history_ensure(struct sched *s, uint64_t job);
bool history_avoids(const struct history *h, uint32_t worker);

/* shape.c */
void shape_add_job(struct sched *s, struct job *job);
void shape_remove_job(struct sched *s, struct job *job);
void
shape_set_state(struct sched *s, struct shape *shape, enum shape_state state);
void shape_wake(struct sched *s, struct shape *shape); /* makes it ready */
void shape_free(void *shape);
guint shape_hash(const void *key);
gboolean shape_equal(const void *a, const void *b);
struct job *shape_head(const struct shape *shape, int64_t now_ms);
bool job_deadline_near(const struct job *job, int64_t now_ms);
bool shape_feasible(const struct sched *s, const struct shape *shape);

/* place.c */
/*
 * Chooses a worker for the next task of a job; NULL if it fits on none.
 * urgent is true only if the job is urgent and its team within its quota.
 */
struct worker *
place_find(struct sched *s, struct shape *shape, struct job *job, bool urgent);
/* A worker with a hold for the job whose capacity is available now; or NULL. */
struct worker *place_find_held(const struct job *job);
void place_commit(struct sched *s, struct job *job, struct worker *w,
    struct sched_round *out);

/* gang.c */
/* Places all waiting tasks of a gang; false if they do not all fit. */
bool gang_place(struct sched *s, struct job *job, struct sched_round *out);

/* reserve.c */
/* Reserves capacity for a gang, or for one task of another job. */
bool reserve_job(struct sched *s, struct job *job);
/* Adds a hold to the job's reservation, or to a new preempting one. */
struct hold *reserve_add_hold(
    struct sched *s, struct job *job, struct worker *w, uint32_t tasks);
void reserve_drop(struct sched *s, struct reservation *r);
void hold_drop(struct sched *s, struct hold *hold);
uint32_t reserved_tasks(const struct job *job);
/* Drops all holds on a worker that can't be used any more. */
void reserve_drop_worker(struct sched *s, struct worker *w);
/* Ends backfill on reservations of jobs that first reserved
 * no_backfill_after_ms ago. */
void reserve_end_backfill(struct sched *s);
int64_t run_end_estimate(const struct run *run, int64_t now_ms);
/* Whether a task may backfill capacity that is held on a worker. */
bool backfill_allowed(const struct sched *s, const struct worker *w,
    const struct job *job, bool urgent);
/* What is available on a worker to the job whose hold own is. */
void worker_available_to_hold(const struct worker *w, const struct hold *own,
    struct resources *avail, int64_t *slots);

/* preempt.c */
/* Starts a preemption for one more task, or for a gang; false if not possible.
 * If reclaim is set, only runs of teams over their quota are preempted. */
bool preempt_for(
    struct sched *s, struct job *job, bool reclaim, struct sched_round *out);
/* Whether this round may start no more preemptions. */
bool preempt_limit_reached(const struct sched *s);
/* Stops runs that were throttled for throttle_ms; drops holds whose runs do not
 * end in time. */
void preempt_escalate(struct sched *s, struct sched_round *out);
/* Clears run.hold of the runs that are preempted for a hold. */
void preempt_release_runs(struct sched *s, const struct hold *hold);
/* Resumes throttled runs that no hold needs any more. */
void preempt_resume_runs(struct sched *s, struct sched_round *out);
bool run_preemptible(const struct run *run);

#endif
