/*
 * The replicated state machine of a cell: configuration, entries, workers,
 * jobs, tasks, attempts and idempotency keys. Commands are applied in log
 * order and give the same state and result on every replica: the library uses
 * no clock, randomness or I/O. Time comes from the timestamp that the leader
 * puts into each command.
 */
#ifndef CELL_H
#define CELL_H

#include "base.h"
#include "config.h"

#define CELL_NAME_MAX 127 /* bytes of a name or address */
#define CELL_KEY_MAX 200 /* bytes of an Idempotency-Key */
#define CELL_TASKS_MAX 10000 /* tasks in one job */
#define CELL_PAYLOAD_MAX (64 * 1024) /* bytes of a payload */
#define CELL_RESULT_MAX (64 * 1024) /* bytes of one task's result */
#define CELL_DIGEST_LEN 16 /* bytes of a request body's digest */

enum cell_task_state {
	TASK_PENDING, /* waiting for a worker */
	TASK_ASSIGNED, /* an attempt was started or may have been */
	TASK_STOPPING, /* assigned, with its stop requested */
	TASK_DONE,
	TASK_FAILED,
	TASK_CANCELLED, /* cancelled before any attempt ran */
	TASK_STOPPED, /* stopped for good; an attempt ran or may have run */
	TASK_NOT_RUN, /* ended by the scheduler; no attempt ever ran */
	TASK_UNKNOWN /* may have run; the result can't be determined */
};

enum cell_job_state {
	JOB_ACTIVE, /* some task is pending, assigned or stopping */
	JOB_ENDED
};

enum cell_worker_state {
	WORKER_UP,
	WORKER_DRAINING, /* leaving: gets no new tasks */
	WORKER_LOST /* its lease has certainly expired; it has no attempts */
};

/* Ways in which an attempt ends. */
enum cell_end {
	END_DONE,
	END_FAILED,
	END_NOT_STARTED, /* the worker refused the start: it never ran */
	END_STOPPED, /* stopped on request (cancel, preemption) */
	END_LOST /* its worker was lost; set inside the cell only */
};

/* An entry node: serves HTTP requests and has sessions with workers. */
struct cell_entry {
	uint32_t id;
	char *name;
	char *address; /* IP:PORT of its HTTP listener */
	char *region;
	char *data_center;
	uint64_t incarnation; /* random id of the running process */
};

struct cell_worker {
	uint32_t id;
	char *name;
	char *address;
	char *rack;
	char *data_center;
	uint64_t incarnation;
	struct resources capacity;
	int64_t slots; /* most concurrent tasks */
	int64_t connections; /* most concurrent connections for calls */
	enum cell_worker_state state;
	bool set_aside; /* excluded from new tasks after failures */
	uint32_t home; /* id of the entry it has a session with; 0: none */
	/* Epoch of that session. Orders of older epochs are invalid. */
	uint64_t epoch;
	struct resources used; /* by assigned and stopping tasks */
	int64_t running; /* number of assigned and stopping tasks */
};

struct cell_task {
	enum cell_task_state state;
	uint32_t attempt; /* number of the last one, from 1; 0: none yet */
	uint32_t failures; /* failed attempts; a service's stable run resets
			      it */
	uint32_t worker; /* while assigned or stopping; else 0 */
	bool ran; /* an ended attempt ran or may have run */
	bool lost; /* an attempt was lost with its worker */
	uint32_t crash_score; /* of the workers that crashed under it */
	GBytes *result; /* complete result, or NULL */
	int64_t started_ms; /* cell time of the last assignment */
	int64_t lease_ms; /* lease length of the last attempt */
	int64_t ended_ms;
};

/* A job as its caller specifies it. The struct owns its strings. */
struct cell_spec {
	char *team;
	char *name;
	enum kind kind;
	uint32_t tasks;
	struct resources resources; /* of each task */
	int64_t runtime_ms; /* expected; 0: unknown */
	bool urgent;
	int64_t deadline_ms; /* from acceptance; 0: none */
	bool idempotent;
	enum spread spread;
	GPtrArray *data_centers; /* char *; NULL or empty: any */
	GBytes *payload; /* JSON text; may be NULL */
};

struct cell_job {
	uint64_t id;
	struct cell_spec spec;
	enum cell_job_state state;
	enum outcome outcome; /* once ended */
	bool cancelled;
	bool from_config; /* a service declared in the configuration */
	bool gang_stopping; /* all attempts of the gang are being stopped; no
			       task starts until they have ended */
	uint32_t desired_tasks; /* tasks from this index on are to end; below
				   spec.tasks only for a reduced service */
	uint32_t active_tasks; /* pending, assigned or stopping */
	int64_t submitted_ms;
	int64_t ended_ms;
	struct cell_task *task; /* array with spec.tasks elements */
};

/* Starts the next attempt of a task on a worker. */
struct cell_start {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
};

enum cell_cmd_type {
	CMD_CONFIG,
	CMD_ENTRY, /* adds or updates an entry */
	CMD_ENTRY_REMOVED, /* an entry left or failed; clears workers' home */
	CMD_WORKER, /* adds or updates a worker, also its home */
	CMD_WORKER_STATE, /* draining, lost, set aside */
	CMD_SUBMIT,
	CMD_START,
	CMD_END,
	CMD_CANCEL,
	CMD_EXPIRE, /* ends the pending tasks of a job */
	CMD_PREEMPT, /* stops an attempt that may run again later */
	CMD_TYPE_COUNT
};

struct cell_overlay {
	char *site;
	char *text;
};

/* One command; type selects the member of u. */
struct cell_cmd {
	enum cell_cmd_type type;
	int64_t at_ms; /* leader's timestamp; cell time never decreases */
	union {
		struct {
			uint64_t version;
			char *author;
			char *base;
			GArray *overlays; /* struct cell_overlay */
		} config;
		struct cell_entry entry; /* id is ignored */
		uint32_t entry_removed; /* entry id */
		struct {
			struct cell_worker worker; /* found by name; id, epoch,
						      state, used and running
						      are ignored */
			bool new_epoch; /* even if nothing else changed */
		} announce;
		struct {
			uint32_t worker;
			uint64_t epoch; /* must be the current one; 0: any */
			enum cell_worker_state state;
			bool set_aside;
		} worker_state;
		struct {
			char *key; /* Idempotency-Key */
			uint8_t digest[CELL_DIGEST_LEN]; /* of the request
							    body */
			struct cell_spec spec;
		} submit;
		struct {
			bool all_or_none; /* for gangs: if one start is refused,
					     all are */
			GArray *starts; /* struct cell_start */
		} start;
		struct {
			uint64_t job;
			uint32_t task;
			uint32_t attempt;
			uint32_t worker;
			enum cell_end how;
			GBytes *result; /* or NULL */
		} end;
		struct {
			uint64_t job; /* 0: select by team and prefix */
			char *team;
			char *prefix; /* of the job's name */
		} cancel;
		uint64_t expire; /* job */
		struct {
			uint64_t job;
			uint32_t task;
			uint32_t attempt;
		} preempt;
	} u;
};

/* The result of a command; reason is static, the other strings are owned. */
struct cell_result {
	enum outcome outcome; /* OUT_ACCEPTED, OUT_CONFLICT, OUT_INVALID,
				 OUT_NOT_RUN */
	const char *reason; /* machine-readable word; NULL when accepted */
	char *message; /* human-readable; may be NULL */
	uint64_t job; /* submit: for a repeated key the first request's job */
	uint32_t worker; /* announce */
	uint64_t count; /* tasks, attempts or jobs that the command changed */
	/* Config: of the accepted change with this version, else of the
	 * current configuration. */
	uint64_t version;
	char *author;
	char *digest;
};

/*
 * Callbacks that report each effect while a command is applied. Any pointer
 * may be NULL. A callback must not change the cell.
 */
struct cell_watch {
	void (*config_changed)(void *arg);
	void (*entry_changed)(void *arg, uint32_t entry, bool removed);
	/* The worker was added or got new data, a new epoch or a new state. */
	void (*worker_changed)(void *arg, uint32_t worker);
	/* Tasks first to first + count - 1 became pending. */
	void (*pending)(void *arg, const struct cell_job *job, uint32_t first,
	    uint32_t count);
	/* The job's pending tasks are withdrawn. Those that stay pending are
	 * reported again by pending() after this call. */
	void (*withdrawn)(void *arg, const struct cell_job *job);
	/* An attempt was assigned: its start must be sent to the worker. */
	void (*assigned)(void *arg, const struct cell_job *job, uint32_t task);
	/* The cell refused a start: resources reserved for it are free. */
	void (*start_refused)(void *arg, const struct cell_start *start);
	/* An attempt must stop: the stop must be sent to the worker. */
	void (*stopping)(void *arg, const struct cell_job *job, uint32_t task);
	/* An attempt has ended: its resources on the worker are free. */
	void (*attempt_ended)(void *arg, const struct cell_job *job,
	    uint32_t task, uint32_t attempt, uint32_t worker,
	    enum cell_end how);
	/* The job has ended: its outcome and results are final. */
	void (*job_ended)(void *arg, const struct cell_job *job);
	/* The job's record is about to be removed: retention has passed. */
	void (*job_removed)(void *arg, uint64_t job);
};

struct cell;

struct cell *cell_new(void);
void cell_free(struct cell *c);
void cell_set_watch(struct cell *c, const struct cell_watch *w, void *arg);

/* Applies one encoded command. Fails with ERR_CORRUPT if it is malformed. */
bool cell_apply(struct cell *c, const void *data, size_t len,
    struct cell_result *result, GError **err);
void cell_result_clear(struct cell_result *result);

GBytes *cell_cmd_encode(const struct cell_cmd *cmd);
/* Fails with ERR_CORRUPT; cmd is then empty. */
bool cell_cmd_decode(
    const void *data, size_t len, struct cell_cmd *cmd, GError **err);
/* Frees the contents of a decoded command. */
void cell_cmd_clear(struct cell_cmd *cmd);

/* Serialises the whole state. Equal states give equal bytes. */
GBytes *cell_snapshot(const struct cell *c);
/*
 * Replaces the state with a snapshot's; callbacks stay and are not called.
 * Fails with ERR_CORRUPT and leaves the state unchanged.
 */
bool cell_restore(struct cell *c, GBytes *data, GError **err);

/* Checks the invariants of the state; ERR_CORRUPT names the first violation. */
bool cell_check(const struct cell *c, GError **err);

/*
 * Read access. Ids of entries and workers are small integers from 1. Look-ups
 * return NULL if there is no such object.
 */
int64_t cell_time_ms(const struct cell *c); /* latest command timestamp */
uint64_t cell_config_version(const struct cell *c); /* 0: none yet */
const char *cell_config_digest(const struct cell *c);
const char *cell_config_author(const struct cell *c);
const char *cell_config_base(const struct cell *c);
const GArray *cell_config_overlays(const struct cell *c);
struct config *cell_config(const struct cell *c); /* borrowed reference */
const struct cell_entry *cell_entry(const struct cell *c, uint32_t id);
const struct cell_entry *cell_entry_named(const struct cell *c, const char *s);
const struct cell_worker *cell_worker(const struct cell *c, uint32_t id);
const struct cell_worker *
cell_worker_named(const struct cell *c, const char *name);
const struct cell_job *cell_job(const struct cell *c, uint64_t id);

/* Calls fn for each object in id order until fn returns false. */
void cell_each_entry(const struct cell *c,
    bool (*fn)(void *, const struct cell_entry *), void *arg);
void cell_each_worker(const struct cell *c,
    bool (*fn)(void *, const struct cell_worker *), void *arg);
void cell_each_job(const struct cell *c,
    bool (*fn)(void *, const struct cell_job *), void *arg);
/* Calls fn for each assigned or stopping task of a worker, by (job, task). */
void cell_each_attempt(const struct cell *c, uint32_t worker,
    bool (*fn)(void *, const struct cell_job *, uint32_t task), void *arg);

uint64_t cell_pending_jobs(const struct cell *c); /* with a pending task */
const char *cell_task_state_name(enum cell_task_state state);

void cell_spec_clear(struct cell_spec *spec);
void cell_spec_copy(struct cell_spec *to, const struct cell_spec *from);

#endif
