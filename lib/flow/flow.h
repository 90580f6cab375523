/*
 * The agreed state of jobs that are made of steps: queues, workers, jobs,
 * runs and checkpoints. Commands are applied in log order and give the same
 * state on every replica: no clock, no randomness, no I/O inside. Time is
 * what the leader stamped into the command.
 */
#ifndef FLOW_H
#define FLOW_H

#include "base.h"

#define FLOW_TASKS_MAX 10000 /* tasks in one step */
#define FLOW_STEPS_MAX 100 /* steps in one job */
#define FLOW_TEXT_MAX 4096 /* bytes of a name, address or checkpoint */
#define FLOW_PAYLOAD_MAX (64 * 1024) /* bytes of a payload */

/* What a caller declares of one step. Strings are owned; NULL: none. */
struct flow_step {
	uint32_t count; /* tasks */
	struct resources need; /* of each task */
	int64_t runtime_ms; /* the caller's estimate; 0: none */
	GArray *after; /* uint32_t: steps that must be done first */
	bool gang; /* all tasks run together or none */
	bool colocated; /* slower when spread over racks */
	bool checkpoints;
	bool duplicates; /* copies may run side by side */
	bool lasting; /* runs until cancelled */
	bool filler; /* takes only what others leave */
	char *label; /* the worker must have it */
	char *data_rack; /* slower on other racks */
	char *image; /* tasks of one image behave alike */
	uint32_t per_worker; /* most tasks on one worker; 0: any */
	uint32_t may_miss; /* lasting tasks we may take away at a time */
	int64_t tail_ms; /* latency bound of a lasting task; 0: none */
};

struct flow_spec {
	char *payload;
	GPtrArray *steps; /* struct flow_step */
	uint32_t times; /* 0: once, at once */
	int64_t first_ms; /* wall time of occurrence 0 */
	int64_t every_ms;
};

/* A queue as the configuration has it. Reference-counted. */
struct flow_queue {
	int refs;
	char *name;
	char *host;
	char *prefix; /* of the path */
	char *pool; /* the workers that run its tasks */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts; /* failed runs after which a task is given up */
	double slack; /* objective: slack x chain of work + target_ms */
	int64_t target_ms;
	bool advised; /* a policy service names the allowed workers */
	double advice_ms; /* what a call to it takes */
	double advice_worker_ms; /* and for each worker named in it */
	int64_t ticket_ms; /* how long its permits hold */
};

struct flow_config {
	uint64_t version; /* 0: none yet */
	GBytes *document; /* as the operator sent it */
	GPtrArray *queues; /* struct flow_queue */
	GPtrArray *pools; /* struct flow_pool */
};

/* Workers of one kind, and how their operator wants them used. */
struct flow_pool {
	char *name;
	char *health_path;
	bool guarded; /* its workers refuse what does not fit */
	bool standby; /* its VMs are off until moved elsewhere */
};

struct flow_worker {
	uint32_t id; /* handle in the state, from 1 */
	char *name;
	char *address;
	int64_t born_ms; /* wall time of this life's start */
	char *pool;
	char *data_center;
	char *rack;
	char *vm; /* the VM that this life runs on; "" when not told */
	GPtrArray *labels; /* char * */
	struct resources capacity;
	bool draining; /* leaves soon: no new work */
};

enum flow_task_state {
	FLOW_PENDING, /* waits for a worker */
	FLOW_HELD, /* a run is assigned: it runs, or may run */
	FLOW_DONE
};

struct flow_task {
	enum flow_task_state state;
	uint32_t run; /* the last one's number; 0: none yet */
	uint32_t failures; /* runs that ended as failed */
	uint32_t worker; /* of the assigned run; else 0 */
	int64_t held_ms; /* when that run was assigned */
	char *saved; /* checkpoint; NULL: none */
};

/* A step of one occurrence. */
struct flow_stage {
	struct flow_task *task;
	uint32_t count;
	uint32_t pending;
	uint32_t held;
	uint32_t done;
	uint32_t failed_run; /* of a gang: the last run that counts as failed */
};

struct flow_round {
	uint32_t number; /* of the occurrence */
	int64_t due_ms; /* cell time from which it may run */
	uint32_t open; /* stages not done */
	uint32_t held; /* tasks held in all stages */
	struct flow_stage *stage; /* one a step */
};

enum flow_job_state {
	FLOW_QUEUED, /* nothing has started yet */
	FLOW_RUNNING,
	FLOW_COMPLETED,
	FLOW_FAILED,
	FLOW_CANCELLED
};

struct flow_job {
	uint64_t id;
	enum flow_job_state state;
	struct flow_queue *queue; /* as it was when the job was accepted */
	struct flow_spec spec; /* steps are NULL once nothing is held */
	GPtrArray *rounds; /* struct flow_round, not done yet */
	uint32_t opened; /* occurrences made so far */
	uint32_t closed; /* occurrences done */
	uint32_t held; /* tasks held in all rounds */
	int64_t accepted_ms; /* cell time */
	int64_t ended_ms;
};

/* Names one run of one task. */
struct flow_run {
	uint64_t job;
	uint32_t round;
	uint32_t step;
	uint32_t index;
	uint32_t run;
};

struct flow_start {
	struct flow_run of;
	uint32_t worker;
};

enum flow_end_how {
	FLOW_END_DONE,
	FLOW_END_FAILED, /* by the task's fault or the worker's */
	FLOW_END_STOPPED, /* on our order, or ended with its worker */
	FLOW_END_REFUSED, /* the worker did not take it: it never ran */
	FLOW_END_COUNT
};

struct flow_end {
	struct flow_run of;
	enum flow_end_how how;
	char *saved; /* checkpoint; NULL: as before */
};

enum flow_cmd_type {
	FLOW_CMD_CONFIG,
	FLOW_CMD_WORKER, /* a worker is new or has changed */
	FLOW_CMD_WORKER_GONE,
	FLOW_CMD_SUBMIT,
	FLOW_CMD_START,
	FLOW_CMD_END,
	FLOW_CMD_CANCEL,
	FLOW_CMD_ROUND, /* a job's next occurrence is due */
	FLOW_CMD_FORGET, /* drops the records of jobs that ended long ago */
	FLOW_CMD_COUNT
};

/* One command; only the part that type names is used. */
struct flow_cmd {
	enum flow_cmd_type type;
	int64_t at_ms; /* cell time: wall time, never less than before */
	union {
		struct flow_config config;
		struct flow_worker worker; /* id 0: a new one */
		uint32_t gone; /* worker */
		struct {
			uint64_t job;
			char *queue; /* name */
			struct flow_spec spec;
		} submit;
		GArray *starts; /* struct flow_start */
		GArray *ends; /* struct flow_end */
		uint64_t cancel; /* job */
		uint64_t round; /* job */
		int64_t forget_ms; /* jobs that ended before this */
	} u;
};

enum flow_outcome {
	FLOW_ACCEPTED,
	FLOW_KNOWN, /* the same was accepted before */
	FLOW_OLD, /* a configuration that is not newer */
	FLOW_MISSING /* no such job or queue */
};

/* Told of effects while a command is applied; all pointers may be NULL. */
struct flow_watch {
	void (*config)(void *arg);
	void (*worker)(void *arg, uint32_t worker);
	/* Tasks wait for a worker, or a job has ended. */
	void (*changed)(void *arg, const struct flow_job *job);
	/* A run was assigned: order its start. */
	void (*started)(
	    void *arg, const struct flow_job *job, const struct flow_start *s);
	/* A run has ended and its room is free. */
	void (*ended)(void *arg, const struct flow_job *job,
	    const struct flow_start *s, enum flow_end_how how);
	/* A held run must stop: its job was cancelled or has failed. */
	void (*stop)(
	    void *arg, const struct flow_job *job, const struct flow_start *s);
};

struct flow;

struct flow *flow_new(void);
void flow_free(struct flow *f);
/* Forgets everything, as in a new one. */
void flow_clear(struct flow *f);
void flow_set_watch(struct flow *f, const struct flow_watch *w, void *arg);

/* Applies one encoded command. ERR_CORRUPT if it can't be decoded. */
bool flow_apply(struct flow *f, const void *data, size_t len,
    enum flow_outcome *outcome, GError **err);

GBytes *flow_cmd_encode(const struct flow_cmd *cmd);
bool flow_cmd_decode(
    const void *data, size_t len, struct flow_cmd *cmd, GError **err);
void flow_cmd_clear(struct flow_cmd *cmd); /* frees what decode made */

/* The whole state, and back. */
GBytes *flow_snapshot(const struct flow *f);
bool flow_restore(struct flow *f, GBytes *data, GError **err);

/* Checks the counts of all tables; false with a sentence if one is off. */
bool flow_check(const struct flow *f, GError **err);

/* Reading. */
int64_t flow_time_ms(const struct flow *f); /* of the last command */
const struct flow_config *flow_config(const struct flow *f);
/* Finds the queue of a host and the longest prefix; rest is what follows. */
const struct flow_queue *flow_route(const struct flow *f, const char *host,
    const char *path, const char **rest);
const struct flow_worker *flow_worker(const struct flow *f, uint32_t id);
const struct flow_worker *
flow_worker_named(const struct flow *f, const char *name);
void flow_each_worker(const struct flow *f,
    void (*fn)(void *arg, const struct flow_worker *), void *arg);
const struct flow_job *flow_job(const struct flow *f, uint64_t id);
/* Jobs that are not over, in the order of acceptance; fn may not apply. */
void flow_each_open(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *), void *arg);
/* Every held run, in no set order. */
void flow_each_held(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg);
/* Jobs of a queue for which nothing has started. */
uint32_t flow_waiting(const struct flow *f, const char *queue);

const struct flow_round *
flow_round(const struct flow_job *job, uint32_t number);
const struct flow_task *flow_task(const struct flow *f,
    const struct flow_run *run, const struct flow_job **job);
/* Says whether all steps that a step waits for are done. */
bool flow_ready(
    const struct flow_job *job, const struct flow_round *round, uint32_t step);
static inline const struct flow_step *
flow_step_of(const struct flow_job *job, uint32_t step)
{
	return job->spec.steps->pdata[step];
}
/* Says whether a job is over: it only may have runs to be stopped. */
static inline bool
flow_over(const struct flow_job *job)
{
	return job->state >= FLOW_COMPLETED;
}
const char *flow_state_name(enum flow_job_state state);

/* Copies and encodings of the parts, for frames between processes. */
void flow_spec_clear(struct flow_spec *spec);
GBytes *flow_spec_encode(const struct flow_spec *spec);
bool flow_spec_decode(const void *data, size_t len, struct flow_spec *spec);
void flow_worker_clear(struct flow_worker *w);
void flow_worker_copy(struct flow_worker *to, const struct flow_worker *from);
GBytes *flow_worker_encode(const struct flow_worker *w);
bool flow_worker_decode(const void *data, size_t len, struct flow_worker *w);
void flow_config_clear(struct flow_config *c);
GBytes *flow_config_encode(const struct flow_config *c);
bool flow_config_decode(const void *data, size_t len, struct flow_config *c);
struct flow_queue *flow_queue_new(void);
void flow_queue_unref(struct flow_queue *q);
/* Makes the lists of an empty configuration. */
void flow_config_init(struct flow_config *c);
struct flow_step *flow_step_new(void);
void flow_step_free(void *arg);
void flow_pool_free(void *arg);

#endif
