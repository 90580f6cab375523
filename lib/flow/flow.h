/*
 * Replicated state machine of jobs made of steps: configuration, workers,
 * jobs, runs and checkpoints. Commands are applied in log order and must give
 * the same state on every replica, so the library reads no clock, uses no
 * random numbers and does no I/O. Time is the time stamp that the leader
 * writes into each command, called cell time here.
 */
#ifndef FLOW_H
#define FLOW_H

#include "base.h"
#include "speed.h"

#define FLOW_TASKS_MAX 10000 /* tasks in one step */
#define FLOW_STEPS_MAX 100 /* steps in one job */
/* Bytes of a name, address, path prefix or key of a configuration or worker. */
#define FLOW_NAME_MAX 1024
#define FLOW_TEXT_MAX 4096 /* bytes of a name or label */
#define FLOW_CHECKPOINT_MAX 4096 /* bytes of a checkpoint; longer: not kept */
/* Ends in one command: with their checkpoints they fit into a frame, which has
 * 8 MiB at most. */
#define FLOW_ENDS_MAX 1000
/* Figures of a configuration; larger ones count as these. */
#define FLOW_SLACK_MAX 1000.0
#define FLOW_PERMIT_MS_MAX ((double)(INT64_C(1) << 40))
#define FLOW_WEIGHT_MAX 1e9
#define FLOW_PAYLOAD_MAX (64 * 1024) /* bytes of a payload */
/*
 * A task's job is given up once the weights of the workers that crashed under
 * it add up to this: after three that crashed when it had just started. Those
 * that another task seems to have crashed don't count, but with them five
 * crashes are the limit.
 */
#define FLOW_CRASH_WEIGHT_MAX 6
#define FLOW_CRASH_WEIGHT_AT_START 2
#define FLOW_CRASH_WEIGHT_LATER 1
#define FLOW_CRASHES_MAX 5
#define FLOW_DOCUMENT_MAX (4 * 1024 * 1024) /* bytes of a configuration */

/* A step as declared by the caller. Strings are owned; NULL: not set. */
struct flow_step {
	uint32_t count; /* number of tasks */
	struct resources resources; /* per task */
	int64_t runtime_ms; /* the caller's estimate per task; 0: none */
	GArray *after; /* uint32_t: steps that this one depends on */
	bool gang; /* all tasks run at the same time or none */
	bool colocated; /* slower when spread over several racks */
	bool checkpointing; /* a stopped task resumes from its checkpoint */
	bool allow_duplicates; /* a task may run several times at once */
	bool long_running; /* runs until cancelled */
	bool best_effort; /* uses only capacity that no other step needs */
	char *label; /* that a worker must have */
	char *data_rack; /* holds the input data; slower elsewhere */
	char *image; /* tasks of the same image behave alike */
	uint32_t max_per_worker; /* tasks on one worker; 0: no limit */
	uint32_t max_unavailable; /* long-running tasks stopped at a time */
	int64_t target_latency_ms; /* of a long-running task; 0: none */
};

struct flow_spec {
	char *payload; /* passed to every run */
	GPtrArray *steps; /* struct flow_step */
	uint32_t repeat_count; /* occurrences; 0: one, due when accepted */
	int64_t start_at_ms; /* wall time at which occurrence 0 is due */
	int64_t interval_ms; /* between occurrences */
};

/* A queue of the configuration. Reference-counted. */
struct flow_queue {
	int refs;
	char *name;
	char *host;
	char *prefix; /* of the request path */
	char *pool; /* of the workers that run its tasks */
	uint32_t priority; /* 0: the most urgent */
	uint32_t max_failures; /* of one task before its job fails; 0: as 1 */
	/*
	 * A job's target latency is target_ms + slack_factor x the run time
	 * of its longest chain of dependent steps.
	 */
	double slack_factor;
	int64_t target_ms;
	bool needs_permit; /* a policy service selects allowed workers */
	double permit_call_ms; /* estimated duration of a call to it */
	double permit_worker_ms; /* added per worker named in the call */
	int64_t permit_valid_ms; /* if the policy service does not say */
	bool public; /* calls need no key */
};

/* A firm that shares the cell with others. */
struct flow_organisation {
	char *name;
	double weight; /* relative share when all is full; jobs per second */
	struct resources cap; /* of what it has running; 0: no limit */
	GPtrArray *keys; /* char *: any of them identifies its calls */
};

struct flow_config {
	uint64_t version; /* 0: no configuration yet */
	GBytes *document; /* unchanged, as the operator sent it */
	GPtrArray *queues; /* struct flow_queue */
	GPtrArray *pools; /* struct flow_pool */
	/* struct flow_organisation; NULL: calls need no key. */
	GPtrArray *organisations;
};

/* Workers of one kind, and the operator's settings for them. */
struct flow_pool {
	char *name;
	char *health_path;
	bool enforces_capacity; /* its workers refuse runs that do not fit */
	bool standby; /* its VMs are off until moved elsewhere */
};

struct flow_worker {
	uint32_t id; /* one per incarnation, assigned from 1 */
	char *name;
	char *address;
	int64_t started_ms; /* wall time; identifies the incarnation */
	char *pool;
	char *data_center;
	char *rack;
	char *vm; /* that this incarnation runs on; "": unknown */
	GPtrArray *labels; /* char * */
	struct resources capacity;
	bool draining; /* is about to leave: gets no new runs */
	int64_t seq; /* of the heartbeat that this comes from; 0: unknown */
};

enum flow_task_state {
	FLOW_PENDING, /* waits for a worker or for other steps */
	FLOW_ASSIGNED, /* its last run is on a worker, or may be */
	FLOW_DONE
};

struct flow_task {
	enum flow_task_state state;
	uint32_t last_run; /* number of the last run; 0: none yet */
	uint32_t failures; /* failed runs; a gang counts in its task 0 */
	/* Workers that crashed under it; its job may have been the cause ... */
	uint32_t crashes;
	uint32_t crash_weight; /* of these */
	/* ... or another job that ran there was given up as the cause. */
	uint32_t explained_crashes;
	/* Runs lost with workers that may have crashed: not known yet. */
	uint32_t lost_runs;
	uint32_t worker; /* of the assigned run; 0: none */
	int64_t assigned_ms; /* cell time when the last run was assigned */
	char *checkpoint; /* NULL: none */
};

/* State of one step in one occurrence. */
struct flow_step_state {
	struct flow_task *tasks;
	uint32_t count; /* of tasks; pending, assigned and done add up to it */
	uint32_t pending;
	uint32_t assigned;
	uint32_t done;
	uint32_t last_failed_run; /* counts a gang's failed run only once */
	struct speed_peers
	    peers; /* of the tasks done while speeds are learnt */
};

/* One execution of all steps of a job. */
struct flow_occurrence {
	uint32_t number; /* from 0 */
	int64_t due_ms; /* earliest start, cell time */
	uint32_t unfinished_steps;
	uint32_t assigned; /* tasks in all steps */
	struct flow_step_state *steps; /* one for each step of the spec */
};

enum flow_job_state {
	FLOW_QUEUED, /* no run has been assigned yet */
	FLOW_RUNNING,
	FLOW_COMPLETED,
	FLOW_FAILED,
	FLOW_CANCELLED
};

struct flow_job {
	uint64_t id;
	enum flow_job_state state;
	struct flow_queue *queue; /* as it was when the job was accepted */
	char *organisation; /* that submitted it; NULL: not known */
	struct flow_spec spec; /* cleared when ended and no run is left */
	GPtrArray *occurrences; /* unfinished; NULL once spec is cleared */
	uint32_t occurrences_created;
	uint32_t occurrences_done;
	uint32_t assigned; /* tasks in all occurrences */
	int64_t accepted_ms; /* cell time */
	int64_t ended_ms; /* cell time; 0: not ended */
};

/* Identifies one run of one task. */
struct flow_run {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index; /* of the task in its step */
	uint32_t number; /* of the run, rising for each task, from 1 */
};

/* The assignment of a run to a worker. */
struct flow_start {
	struct flow_run id;
	uint32_t worker;
};

enum flow_end_outcome {
	FLOW_END_DONE,
	FLOW_END_FAILED, /* through a fault of the task or the worker */
	FLOW_END_STOPPED, /* by a stop order */
	FLOW_END_REFUSED, /* by the worker: the run never started */
	FLOW_END_LOST_AT_START, /* with its worker, when it had just started */
	FLOW_END_LOST_LATER, /* with its worker */
	FLOW_END_COUNT
};

struct flow_end {
	struct flow_run id;
	enum flow_end_outcome outcome;
	char *checkpoint; /* NULL or "": the task keeps its last one */
};

enum flow_cmd_type {
	FLOW_CMD_CONFIG,
	FLOW_CMD_WORKER, /* adds or updates a worker */
	FLOW_CMD_WORKER_REMOVED,
	FLOW_CMD_SUBMIT,
	FLOW_CMD_START,
	FLOW_CMD_END,
	FLOW_CMD_CANCEL,
	FLOW_CMD_OCCURRENCE, /* creates a job's next occurrence */
	FLOW_CMD_PRUNE, /* removes records of jobs that ended long ago */
	FLOW_CMD_WORKER_BACK, /* a lost worker has answered: it didn't crash */
	FLOW_CMD_COUNT
};

/* A command of the log; type selects the member of u. */
struct flow_cmd {
	enum flow_cmd_type type;
	int64_t at_ms; /* cell time: the leader's wall time, never falling */
	union {
		struct flow_config config;
		struct flow_worker worker; /* id is ignored */
		uint32_t worker_id; /* of the worker removed, or back */
		struct {
			uint64_t job;
			char *queue; /* its name */
			char *organisation; /* its name; NULL: none */
			struct flow_spec spec;
		} submit;
		GArray *starts; /* struct flow_start */
		GArray *ends; /* struct flow_end */
		uint64_t cancel; /* job id */
		uint64_t occurrence_job; /* id of the job */
		int64_t prune_before_ms; /* removes jobs that ended earlier */
	} u;
	/* FLOW_CMD_END: the speeds of the workers are learnt from the runs. The
	 * leader's setting; in the command so that all replicas agree. */
	bool learn_speeds;
	/* u.config as flow_config_encode() returns it, if it is known: spares
	 * flow_cmd_encode() to compress it again. Not owned; else NULL. */
	GBytes *encoded_config;
};

/* Effect of a command on the state. */
enum flow_apply_result {
	FLOW_ACCEPTED,
	FLOW_DUPLICATE, /* job already submitted, or already ended */
	FLOW_STALE, /* configuration version not above the current one */
	FLOW_NOT_FOUND /* no such job, queue, worker or occurrence */
};

/*
 * Callbacks that report the effects of a command while it is applied. Any of
 * them may be NULL.
 */
struct flow_watch {
	void (*config_changed)(void *arg);
	void (*worker_changed)(void *arg, uint32_t worker);
	/* The job may have new pending tasks, or has ended. */
	void (*job_changed)(void *arg, const struct flow_job *job);
	/* A run was assigned to a worker, which must be ordered to start. */
	void (*run_assigned)(
	    void *arg, const struct flow_job *job, const struct flow_start *s);
	/* A run has ended and its resources are free. */
	void (*run_ended)(void *arg, const struct flow_job *job,
	    const struct flow_start *s, enum flow_end_outcome outcome);
	/* A worker has crashed under a run of a task. */
	void (*run_crashed)(void *arg, const struct flow_run *run,
	    const struct flow_task *task);
	/* An assigned run must stop: its job was cancelled or has failed. */
	void (*run_stopping)(
	    void *arg, const struct flow_job *job, const struct flow_start *s);
};

struct flow;

struct flow *flow_new(void);
void flow_free(struct flow *f);
/* Resets to the state that flow_new() gives; callbacks stay. */
void flow_clear(struct flow *f);
/* Copies the callbacks; NULL: none. arg is passed to each of them. */
void flow_set_watch(struct flow *f, const struct flow_watch *w, void *arg);

/* Applies an encoded command. ERR_CORRUPT if it is malformed. */
bool flow_apply(struct flow *f, const void *data, size_t len,
    enum flow_apply_result *result, GError **err);

GBytes *flow_cmd_encode(const struct flow_cmd *cmd);
bool flow_cmd_decode(
    const void *data, size_t len, struct flow_cmd *cmd, GError **err);
/* Frees what flow_cmd_decode() allocated. */
void flow_cmd_clear(struct flow_cmd *cmd);

/* Encodes the whole state. */
GBytes *flow_snapshot(const struct flow *f);
/* Replaces the state; it is incomplete after ERR_CORRUPT. */
bool flow_restore(struct flow *f, GBytes *data, GError **err);

/* Checks that the counts match the tasks; ERR_INVALID if one is wrong. */
bool flow_check(const struct flow *f, GError **err);

/* Cell time of the last applied command. */
int64_t flow_time_ms(const struct flow *f);
const struct flow_config *flow_config(const struct flow *f);
/* The speeds learnt from runs, by the addresses of workers. */
const struct speed_table *flow_speeds(const struct flow *f);
/*
 * Finds the queue of a host with the longest matching path prefix and sets
 * *rest to the path after that prefix. Returns NULL if no queue matches.
 */
const struct flow_queue *flow_route(const struct flow *f, const char *host,
    const char *path, const char **rest);
const struct flow_worker *flow_worker(const struct flow *f, uint32_t id);
/* Returns an organisation of the configuration; NULL if there is none of that
 * name or name is NULL. */
const struct flow_organisation *
flow_organisation(const struct flow *f, const char *name);
/* Returns the organisation that holds a key, or NULL. */
const struct flow_organisation *
flow_organisation_of_key(const struct flow *f, const char *key);
/* Says whether runs were lost with this incarnation of a worker, and it isn't
 * known whether it has crashed. */
bool flow_worker_in_doubt(const struct flow *f, uint32_t worker);
/* Returns the newest incarnation of that name, or NULL. */
const struct flow_worker *
flow_worker_named(const struct flow *f, const char *name);
void flow_each_worker(const struct flow *f,
    void (*fn)(void *arg, const struct flow_worker *), void *arg);
const struct flow_job *flow_job(const struct flow *f, uint64_t id);
/* Jobs that have not ended, oldest first; fn must not apply commands. */
void flow_each_active_job(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *), void *arg);
/* Every assigned run, in no particular order; fn must not apply commands. */
void flow_each_assigned(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg);
/* Number of a queue's jobs in state FLOW_QUEUED. */
uint32_t flow_queued_count(const struct flow *f, const char *queue);

/* Returns an unfinished occurrence, or NULL. */
const struct flow_occurrence *
flow_occurrence(const struct flow_job *job, uint32_t number);
/* How many workers may have crashed because of a task. */
static inline uint32_t
flow_task_suspicion(const struct flow_task *task)
{
	return task->crashes + task->lost_runs;
}
/* Says whether so many workers have crashed under a task, or may have, that
 * its job is given up once that is known. */
static inline bool
flow_task_may_be_given_up(const struct flow_task *task)
{
	return task->crash_weight +
		task->lost_runs * FLOW_CRASH_WEIGHT_AT_START >=
	    FLOW_CRASH_WEIGHT_MAX ||
	    flow_task_suspicion(task) + task->explained_crashes >=
	    FLOW_CRASHES_MAX;
}
/* Returns the task of a run, or NULL. *job, if not NULL, gets its job. */
const struct flow_task *flow_task(const struct flow *f,
    const struct flow_run *run, const struct flow_job **job);
/* Reports whether all steps that a step depends on are done. */
bool flow_step_ready(const struct flow_job *job,
    const struct flow_occurrence *occ, uint32_t step);
static inline const struct flow_step *
flow_job_step(const struct flow_job *job, uint32_t step)
{
	return job->spec.steps->pdata[step];
}
/* Reports whether a job has ended; it may still have runs to stop. */
static inline bool
flow_job_ended(const struct flow_job *job)
{
	return job->state >= FLOW_COMPLETED;
}
/* Name of a job state as shown to callers, such as "queued". */
const char *flow_state_name(enum flow_job_state state);

/* Copies and encodings of single structures, for frames between processes. */
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
/* Creates an empty configuration with its lists. */
void flow_config_init(struct flow_config *c);
struct flow_step *flow_step_new(void);
void flow_step_free(void *arg);
void flow_pool_free(void *arg);
struct flow_organisation *flow_organisation_new(void);
void flow_organisation_free(void *arg);

#endif
