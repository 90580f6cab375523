/*
 * Tables behind sched.h, shared by the parts of this library: workers with
 * their index, teams, jobs, shapes and reservations.
 */
#ifndef TABLE_H
#define TABLE_H

#include "sched.h"

#define GRID 32 /* steps of free millicpus, and of free memory */
#define CELLS (2 * GRID * GRID) /* without and with accelerators */
#define NO_CELL UINT32_MAX
#define AVOID_MAX 4 /* workers that a job failed on */
#define DIRTY_MAX 256 /* workers; with more, all shapes are tried again */

/* An attempt that holds room on a worker. */
struct run {
	struct job *job;
	uint32_t task;
	uint32_t worker;
	struct resources resources;
	struct team *team;
	int64_t started_ms;
	int64_t worth_ms; /* the start, less what its job lost to stops */
	bool fixed; /* a service's: does not end by itself */
	bool throttled;
	bool stopping;
	struct hold *hold; /* the need it makes room for; or NULL */
	GSequenceIter *iter; /* in sched.preemptible; or NULL */
};

/* Room on one worker that is kept for the tasks of a reservation. */
struct hold {
	struct reservation *reservation;
	struct worker *worker;
	uint32_t tasks;
	int64_t since_ms;
	bool stops_ordered;
};

/* Room kept for a job: for a whole gang, or task by task. */
struct reservation {
	struct job *job;
	GPtrArray *holds; /* struct hold, owned */
	int64_t start_ms; /* estimate of when the room is free */
	bool preempt; /* room is taken from batch work */
	bool strict; /* takes no backfill */
	bool check; /* a worker of it has changed */
};

struct worker {
	struct sched_worker spec;
	struct resources free; /* capacity less runs */
	struct resources avail; /* free less all holds */
	struct resources spare; /* free less preemption holds */
	int64_t free_slots;
	int64_t avail_slots;
	int64_t spare_slots;
	struct resources fixed; /* used by services, which do not end */
	int64_t fixed_slots;
	uint32_t cell; /* in the index, or NO_CELL */
	uint32_t cell_pos;
	uint32_t strict_holds;
	bool dirty; /* in sched.dirty */
	bool over; /* mirrored work exceeds the capacity */
	GPtrArray *runs; /* struct run, owned */
	GPtrArray *holds; /* struct hold, not owned */
};

/* Workers of equal capacity in one data centre. */
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
	struct resources soft; /* part that room can be taken from */
};

/* Waiting tasks first to first + count - 1. */
struct range {
	uint32_t first;
	uint32_t count;
};

/* What went wrong with a job's tasks. */
struct history {
	uint64_t job;
	uint32_t avoid[AVOID_MAX]; /* workers that tasks failed on */
	uint32_t avoided; /* also those that made room */
	int64_t lost_ms; /* run time of its tasks that were stopped */
};

struct job {
	struct sched_job spec;
	struct shape *shape; /* while tasks wait */
	GSequenceIter *iter; /* in the shape's queue */
	GArray *ranges; /* struct range */
	uint32_t waiting;
	uint32_t running;
	GArray *workers; /* uint32_t, one a running task; if it spreads */
	struct history *history; /* or NULL */
	struct reservation *reservation; /* or NULL */
	int64_t reserved_ms; /* when it was first reserved for; 0: never */
};

enum shape_state { SHAPE_READY, SHAPE_BLOCKED, SHAPE_ASIDE, SHAPE_STATES };

/* What makes waiting tasks equal to a decision. */
struct shape_key {
	struct resources resources;
	uint64_t data_centers;
	uint32_t team;
	uint32_t gang_tasks; /* waiting tasks of a gang; else 0 */
	uint32_t kind;
	uint32_t spread;
	uint32_t urgent;
	uint32_t pad; /* 0 */
};

struct shape {
	struct shape_key key;
	struct team *team;
	GSequence *plain; /* struct job by age */
	GSequence *dated; /* struct job by deadline */
	struct job *plain_head; /* first of each; or NULL */
	struct job *dated_head;
	uint64_t tasks; /* waiting */
	enum shape_state state;
	guint pos; /* in sched.shapes[state] */
	uint64_t woken; /* round; only changed workers can have room */
	int64_t placed_ms; /* last time it got room */
	int64_t reserve_ms; /* no new reservation before */
	int64_t retry_ms; /* gangs: no new search before */
	int64_t preempt_ms; /* no new search for victims before */
	bool stale; /* gangs: room has changed since the last search */
};

/* Workers by free millicpus, memory and accelerators. */
struct index {
	GPtrArray *cells[CELLS]; /* struct worker */
	uint32_t occupied[2][GRID]; /* bit m: cell of memory step m */
	struct resources most; /* of any worker */
};

struct sched {
	const struct sched_policy *policy;
	GPtrArray *workers; /* struct worker or NULL, by id */
	GArray *classes; /* struct worker_class */
	struct index index;
	GPtrArray *dirty; /* struct worker: room has grown */
	GPtrArray *changed; /* those of them that this round looks at */
	bool stale; /* some shape is */
	bool classes_changed;
	struct resources total; /* capacity */
	GHashTable *teams; /* struct team by id */
	int64_t weights; /* sum */
	GHashTable *jobs; /* struct job by id */
	GHashTable *history; /* struct history by job id */
	GQueue history_order; /* struct history, oldest first */
	GHashTable *by_key; /* struct shape by key */
	GPtrArray *shapes[SHAPE_STATES];
	size_t waiting; /* tasks */
	GPtrArray *reservations;
	GPtrArray *throttled; /* struct run: no stop or resume ordered yet */
	GSequence *preemptible; /* struct run by worth_ms */
	uint64_t round;
	unsigned round_needs; /* that this round makes room for */
	int64_t now_ms;
	uint64_t starving; /* job that reserves before all others; 0: none */
	int64_t sweep_ms; /* when to look for starving shapes again */
	uint32_t cursor; /* of scans that rotate */
	GArray *rack_tasks; /* uint32_t scratch for spreading */
	GArray *center_tasks;
};

/* index.c */
void index_init(struct index *ix);
void index_clear(struct index *ix);
void index_put(struct index *ix, struct worker *w);
void index_drop(struct index *ix, struct worker *w);

/*
 * Calls fn for workers that may hold need, tight ones first; fn returns the
 * number of candidates found so far, and the walk ends at enough.
 */
typedef unsigned index_visit(void *arg, struct worker *w);
void index_walk(const struct index *ix, const struct resources *need,
    unsigned enough, index_visit *fn, void *arg);

/* worker.c */
struct worker *sched_worker_get(const struct sched *s, uint32_t id);
bool worker_usable(const struct worker *w);
bool worker_allowed(const struct worker *w, uint64_t data_centers);
/* Recounts what is available after a change; grown: shapes may fit again. */
void worker_refresh(struct sched *s, struct worker *w, bool grown);
struct run *worker_run(const struct worker *w, uint64_t job, uint32_t task);
/* Takes room on a worker for an attempt. */
struct run *run_start(struct sched *s, struct job *job, uint32_t task,
    struct worker *w, int64_t started_ms);
/* How many tasks of equal need the amounts hold; at most max. */
uint32_t resources_count(
    const struct resources *have, const struct resources *need, uint32_t max);
/* How many tasks all known workers could hold if they were empty. */
uint64_t workers_ever_hold(
    const struct sched *s, const struct shape_key *key, uint64_t max);

/* fair.c */
struct team *team_get(struct sched *s, uint32_t id);
/* Whether a team is within its quota with so much more. */
bool team_within(
    const struct sched *s, const struct team *t, const struct resources *more);
/* The same without what could be stopped for its urgent work. */
bool team_within_fixed(
    const struct sched *s, const struct team *t, const struct resources *more);
/* The largest part that an amount takes of a whole, over its resources. */
double
dominant_part(const struct resources *part, const struct resources *whole);
/* Use against what the team is entitled to; 1: all of it. */
double team_ratio(const struct sched *s, const struct team *t);

/* job.c */
struct job *job_get(const struct sched *s, uint64_t id);
struct job *job_ensure(struct sched *s, const struct sched_job *spec);
void sched_job_free(void *job);
uint32_t job_take(struct sched *s, struct job *job); /* next waiting task */
void job_release(struct sched *s, struct job *job); /* frees it if unused */
void job_started(struct job *job, uint32_t worker);
void job_ended(struct job *job, uint32_t worker);
bool job_spreads(const struct job *job);
/* Whether w would bring all tasks of a job that spreads into one domain. */
bool job_gathers(
    const struct sched *s, const struct job *job, const struct worker *w);

/* history.c */
struct history *history_ensure(struct sched *s, uint64_t job);
bool history_avoids(const struct history *h, uint32_t worker);

/* shape.c */
void shape_insert(struct sched *s, struct job *job);
void shape_remove(struct sched *s, struct job *job);
void
shape_set_state(struct sched *s, struct shape *shape, enum shape_state state);
void shape_wake(struct sched *s, struct shape *shape); /* to search anew */
void shape_free(void *shape);
guint shape_hash(const void *key);
gboolean shape_equal(const void *a, const void *b);
struct job *shape_head(const struct shape *shape, int64_t now_ms);
bool job_pressed(const struct job *job, int64_t now_ms);
bool shape_ever_fits(const struct sched *s, const struct shape *shape);

/* place.c */
/* The worker for the next task of a job; NULL if none has room. */
struct worker *place_find(
    struct sched *s, struct shape *shape, struct job *job, bool first_class);
/* The worker that holds room for the job, once the room is there. */
struct worker *place_held(const struct job *job);
void place_commit(struct sched *s, struct job *job, struct worker *w,
    struct sched_round *out);

/* gang.c */
bool gang_place(struct sched *s, struct job *job, struct sched_round *out);

/* reserve.c */
/* Reserves for a gang, or for one task of another job. */
bool reserve_make(struct sched *s, struct job *job);
struct hold *reserve_hold(
    struct sched *s, struct job *job, struct worker *w, uint32_t tasks);
void reserve_drop(struct sched *s, struct reservation *r);
void hold_drop(struct sched *s, struct hold *hold);
uint32_t reserved_tasks(const struct job *job);
/* Drops the holds of a worker that can't be used any more. */
void reserve_forget_worker(struct sched *s, struct worker *w);
/* Makes reservations strict once they are old. */
void reserve_age(struct sched *s);
int64_t run_end_estimate(const struct run *run, int64_t now_ms);
/* Whether a task may use room that is held on a worker for a gang. */
bool backfill_allowed(const struct sched *s, const struct worker *w,
    const struct job *job, bool first_class);
void hold_room(const struct worker *w, const struct hold *own,
    struct resources *room, int64_t *slots);

/* preempt.c */
/* Orders room to be made for one more task; false if none can be. */
bool preempt_for(
    struct sched *s, struct job *job, bool reclaim, struct sched_round *out);
/* Whether more needs have to wait for the next round. */
bool preempt_spread(const struct sched *s);
/* Stops what was throttled long enough; gives up on what never ends. */
void preempt_escalate(struct sched *s, struct sched_round *out);
/* Frees a hold's throttled runs of it. */
void preempt_forget(struct sched *s, const struct hold *hold);
/* Lifts the throttle of runs that no hold needs any more. */
void preempt_resume(struct sched *s, struct sched_round *out);
bool run_preemptible(const struct run *run);

#endif
