/*
 * JSON bodies of the HTTP interface (docs/INTERFACE.md): parses and checks
 * request bodies and formats reply bodies from the replicated state. The
 * library does no I/O.
 *
 * On an invalid body the parsers return false with ERR_INVALID. The message
 * gives each faulty key, what was found and what is allowed. Unknown keys are
 * faults, except in bodies from workers, where they are ignored.
 *
 * The functions that return char * return JSON text that the caller frees.
 */
#ifndef API_H
#define API_H

#include "cell.h"

/* A running attempt in a worker's announcement or heartbeat. */
struct api_attempt {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	int64_t millicpus; /* in use; -1: not reported */
	int64_t memory; /* bytes in use; -1: not reported */
};

/*
 * The end of an attempt, from a heartbeat or POST /v1/tasks/ID/ATTEMPT/end. In
 * a heartbeat, worker and epoch are not set. api_parse_end() does not set job,
 * task and attempt: in the POST they are in the path.
 */
struct api_end {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	char *worker;
	uint64_t epoch;
	enum cell_end how; /* END_DONE, END_FAILED or END_STOPPED */
	GBytes *result; /* JSON text; NULL when absent */
};

/* POST /v1/workers. A heartbeat needs only name and incarnation. */
struct api_worker {
	struct cell_worker worker; /* only name to connections are set */
	bool complete; /* has all keys of an announcement */
	uint64_t epoch; /* the worker's current one; 0: none yet */
	bool has_running; /* has the key "running" */
	GArray *running; /* struct api_attempt */
	GArray *ended; /* struct api_end */
};

/* PUT /v1/config. */
struct api_config {
	uint64_t version;
	char *author; /* "author" key or ""; shown with the configuration */
	char *base;
	GArray *overlays; /* struct cell_overlay, sorted by site */
};

/* POST /v1/jobs/cancel. */
struct api_cancel {
	char *team;
	char *name_prefix;
};

/* POST /v1/replicas: {"action": "add"|"remove", "name", "address"}. */
struct api_replica {
	bool add;
	char *name;
};

bool api_parse_job(
    const void *body, size_t len, struct cell_spec *spec, GError **err);
bool api_parse_worker(
    const void *body, size_t len, struct api_worker *w, GError **err);
void api_worker_clear(struct api_worker *w);
bool
api_parse_end(const void *body, size_t len, struct api_end *end, GError **err);
void api_end_clear(struct api_end *end);
bool api_parse_config(
    const void *body, size_t len, struct api_config *config, GError **err);
void api_config_clear(struct api_config *config);
bool api_parse_cancel(
    const void *body, size_t len, struct api_cancel *cancel, GError **err);
void api_cancel_clear(struct api_cancel *cancel);

bool api_parse_replica(
    const void *body, size_t len, struct api_replica *change, GError **err);
void api_replica_clear(struct api_replica *change);

/* Task ids of the interface: "JOB.TASK", decimal. */
bool api_parse_task_id(const char *id, uint64_t *job, uint32_t *task);
/* The whole text must be a decimal number without sign. */
bool api_parse_u64(const char *text, uint64_t *value);

/*
 * {"outcome":..., "reason":..., "message":...}. If reason is NULL, the last two
 * keys are left out; if message is NULL, the message is the reason.
 */
char *api_reply(enum outcome outcome, const char *reason, const char *message);

/*
 * GET /v1/jobs/ID: outcome, job, team, name, kind, state, tasks (state,
 * attempt, worker of each), reason while pending, and once ended results:
 * [{task, attempt, status, result}]. waiting_reason is NULL if the job does not
 * wait; waiting_message NULL selects the default text of the reason.
 */
char *api_job(const struct cell *c, const struct cell_job *job,
    const char *waiting_reason, const char *waiting_message);

/* GET /v1/workers, /v1/teams and /v1/config. */
char *api_workers(const struct cell *c);
char *api_teams(const struct cell *c);
char *api_config(const struct cell *c);

/* The body of POST /tasks to a worker. Of spec it uses name, resources and
 * payload. */
char *api_start_order(const struct cell_spec *spec, uint64_t job, uint32_t task,
    uint32_t attempt, uint64_t epoch, int64_t lease_ms);

#endif
