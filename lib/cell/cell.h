/*
 * The agreed state of a cell: configuration, entries, workers, jobs, tasks,
 * attempts and idempotency keys. Commands are applied in log order and give
 * the same state and result on every replica: no clock, no randomness, no
 * I/O inside. Time is what the leader stamped into the command.
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
	TASK_PENDING, /* waits for a worker */
	TASK_ASSIGNED, /* an attempt is started or may be */
	TASK_STOPPING, /* assigned, and a stop is ordered */
	TASK_DONE,
	TASK_FAILED,
	TASK_CANCELLED, /* given up before any attempt could start */
	TASK_STOPPED, /* cancelled, and an attempt ran or may have run */
	TASK_NOT_RUN, /* given up by the system, no attempt ever started */
	TASK_UNKNOWN /* may have run; no certain result can be had */
};

enum cell_job_state {
	JOB_ACTIVE, /* some task is pending or assigned */
	JOB_ENDED
};

enum cell_worker_state {
	WORKER_UP,
	WORKER_DRAINING, /* leaving: no new work */
	WORKER_LOST /* its lease has certainly run out; holds nothing */
};

/* How an attempt ended. */
enum cell_end {
	END_DONE,
	END_FAILED,
	END_NOT_STARTED, /* refused by the worker: it never ran */
	END_STOPPED, /* stopped on our order (cancel, preemption) */
	END_LOST /* gone with its worker; used inside the cell only */
};

struct cell_entry {
	uint32_t id;
	char *name;
	char *address; /* IP:PORT of its HTTP listener */
	char *region;
	char *data_center;
	uint64_t incarnation; /* drawn anew at each process start */
};

struct cell_worker {
	uint32_t id;
	char *name;
	char *address;
	char *rack;
	char *data_center;
	uint64_t incarnation;
	struct resources capacity;
	int64_t slots; /* tasks at the same time */
	int64_t connections; /* for calls */
	enum cell_worker_state state;
	bool set_aside;
	uint32_t home; /* entry id; 0: none */
	uint64_t epoch; /* of the session between home and worker */
	struct resources used; /* by assigned and stopping attempts */
	int64_t running; /* their number */
};

struct cell_task {
	enum cell_task_state state;
	uint32_t attempt; /* the last one; from 1; 0: none yet */
	uint32_t failures; /* of a service: since it last ran for long */
	uint32_t worker; /* of the assigned attempt; else 0 */
	bool ran; /* an ended attempt ran or may have run */
	bool lost; /* an attempt's end was never learnt */
	GBytes *result; /* whole, or NULL */
	int64_t started_ms; /* cell time of the last assignment */
	int64_t lease_ms; /* that the last attempt was started under */
	int64_t ended_ms;
};

/* What a caller declares. Strings are owned. */
struct cell_spec {
	char *team;
	char *name;
	enum kind kind;
	uint32_t tasks;
	struct resources resources; /* of each task */
	int64_t runtime_ms; /* 0: not known */
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
	bool from_config; /* a service that the configuration declares */
	bool regroup; /* a gang whose attempts are being stopped; its pending
			 tasks may not start until all attempts have ended */
	uint32_t want; /* a service's tasks from this index on are given up;
			  else spec.tasks */
	uint32_t open; /* tasks not ended */
	int64_t submitted_ms;
	int64_t ended_ms;
	struct cell_task *task; /* spec.tasks of them */
};

/* One start: the task's next attempt on a worker. */
struct cell_start {
	uint64_t job;
	uint32_t task;
	uint32_t worker;
};

enum cell_cmd_type {
	CMD_CONFIG,
	CMD_ENTRY, /* an entry joins or changes */
	CMD_ENTRY_GONE, /* left or dead: its workers have no home */
	CMD_WORKER, /* announce; also a change of home */
	CMD_WORKER_STATE, /* draining, lost, set aside */
	CMD_SUBMIT,
	CMD_START,
	CMD_END,
	CMD_CANCEL,
	CMD_EXPIRE, /* gives up what a job has not started */
	CMD_PREEMPT, /* orders a stop of an idempotent batch attempt */
	CMD_TYPE_COUNT
};

struct cell_overlay {
	char *site;
	char *text;
};

/* One command. Only the part that type names is used. */
struct cell_cmd {
	enum cell_cmd_type type;
	int64_t at_ms; /* cell time: never less than the last command's */
	union {
		struct {
			uint64_t version;
			char *author;
			char *base;
			GArray *overlays; /* struct cell_overlay */
		} config;
		struct cell_entry entry; /* id is not used */
		uint32_t entry_gone; /* entry id */
		struct {
			struct cell_worker worker; /* by name; id, epoch,
						      state and use not used */
			bool fresh; /* a new epoch even if nothing changed */
		} announce;
		struct {
			uint32_t worker;
			uint64_t epoch; /* must be the one in force, or 0 */
			enum cell_worker_state state;
			bool set_aside;
		} worker_state;
		struct {
			char *key; /* Idempotency-Key */
			uint8_t digest[CELL_DIGEST_LEN]; /* of the body */
			struct cell_spec spec;
		} submit;
		struct {
			bool all_or_none; /* a gang: one start refused refuses
					     all */
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
			uint64_t job; /* 0: by team and prefix */
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

/* What applying gave; strings are static or owned by the result. */
struct cell_result {
	enum outcome outcome; /* OUT_ACCEPTED, OUT_CONFLICT, OUT_INVALID,
				 OUT_NOT_RUN */
	const char *reason; /* stable word; NULL when accepted */
	char *message; /* a sentence; may be NULL */
	uint64_t job; /* submit: also of the first request of its key */
	uint32_t worker; /* announce */
	uint64_t count; /* starts or cancellations that took effect */
	uint64_t version; /* config: the winner's */
	char *author; /* config: the winner's */
	char *digest; /* config: the winner's */
};

/*
 * Told of each effect while a command is applied; all pointers may be NULL.
 * They must not change the cell.
 */
struct cell_watch {
	void (*config)(void *arg);
	void (*entry)(void *arg, uint32_t entry, bool gone);
	/* Added, changed, new epoch, new state. */
	void (*worker)(void *arg, uint32_t worker);
	/* Tasks first..first+count-1 wait for a worker (again). */
	void (*pending)(void *arg, const struct cell_job *job, uint32_t first,
	    uint32_t count);
	/* No task of the job waits any longer; those that still do are told
	 * again by pending. */
	void (*withdrawn)(void *arg, const struct cell_job *job);
	/* An attempt was assigned: order the start. */
	void (*assigned)(void *arg, const struct cell_job *job, uint32_t task);
	/* A start was refused by the cell; its reserved room is free. */
	void (*refused)(void *arg, const struct cell_start *start);
	/* An assigned attempt must stop: order it. */
	void (*stop)(void *arg, const struct cell_job *job, uint32_t task);
	/* An attempt has ended; worker held it; its room is free. */
	void (*ended)(void *arg, const struct cell_job *job, uint32_t task,
	    uint32_t attempt, uint32_t worker, enum cell_end how);
	/* The job has ended: outcome and results are final. */
	void (*job)(void *arg, const struct cell_job *job);
	/* The job's record is about to be dropped (retention). */
	void (*forgotten)(void *arg, uint64_t job);
};

struct cell;

struct cell *cell_new(void);
void cell_free(struct cell *c);
void cell_set_watch(struct cell *c, const struct cell_watch *w, void *arg);

/* Applies one encoded command. ERR_CORRUPT if it can't be decoded. */
bool cell_apply(struct cell *c, const void *data, size_t len,
    struct cell_result *result, GError **err);
void cell_result_clear(struct cell_result *result);

GBytes *cell_cmd_encode(const struct cell_cmd *cmd);
bool cell_cmd_decode(
    const void *data, size_t len, struct cell_cmd *cmd, GError **err);
void cell_cmd_clear(struct cell_cmd *cmd); /* frees what decode made */

/* The whole state, and back. Equal states give equal bytes. */
GBytes *cell_snapshot(const struct cell *c);
bool cell_restore(struct cell *c, GBytes *data, GError **err);

/* Checks all invariants of the tables; false with a sentence if one breaks. */
bool cell_check(const struct cell *c, GError **err);

/* Reading. Handles are small; ids of entries and workers start at 1. */
int64_t cell_time_ms(const struct cell *c); /* of the last command */
uint64_t cell_config_version(const struct cell *c); /* 0: none yet */
const char *cell_config_digest(const struct cell *c);
const char *cell_config_author(const struct cell *c);
const char *cell_config_base(const struct cell *c);
const GArray *cell_config_overlays(const struct cell *c);
struct config *cell_config(const struct cell *c); /* no new reference */
const struct cell_entry *cell_entry(const struct cell *c, uint32_t id);
const struct cell_entry *cell_entry_named(const struct cell *c, const char *s);
const struct cell_worker *cell_worker(const struct cell *c, uint32_t id);
const struct cell_worker *
cell_worker_named(const struct cell *c, const char *name);
const struct cell_job *cell_job(const struct cell *c, uint64_t id);

/* Calls fn for each in id order; fn returns false to stop. */
void cell_each_entry(const struct cell *c,
    bool (*fn)(void *, const struct cell_entry *), void *arg);
void cell_each_worker(const struct cell *c,
    bool (*fn)(void *, const struct cell_worker *), void *arg);
void cell_each_job(const struct cell *c,
    bool (*fn)(void *, const struct cell_job *), void *arg);
/* The attempts a worker holds, in (job, task) order. */
void cell_each_attempt(const struct cell *c, uint32_t worker,
    bool (*fn)(void *, const struct cell_job *, uint32_t task), void *arg);

uint64_t cell_pending_jobs(const struct cell *c);
const char *cell_task_state_name(enum cell_task_state state);

void cell_spec_clear(struct cell_spec *spec);
void cell_spec_copy(struct cell_spec *to, const struct cell_spec *from);

#endif
