/*
 * Tables and functions shared by the files of the cell library.
 */
#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include <string.h>

#include "cell.h"
#include "codec.h"

#define CONFIG_HISTORY_MAX 512 /* versions kept to detect resent changes */
#define MS_PER_S 1000
/* Earlier incarnations of a worker that are known, so as to refuse late
 * announcements. */
#define EARLIER_INCARNATIONS_MAX 8

/* A worker and its assigned and stopping attempts. */
struct worker {
	struct cell_worker pub;
	bool over_capacity; /* its last announcement has less capacity than its
			       attempts use; cleared once they fit */
	GArray *attempts; /* struct attempt_ref, sorted */
	/* Attempts that were lost with its lease: it may have crashed. */
	GArray *lost; /* struct attempt_ref */
	GArray *earlier; /* uint64_t: earlier incarnations, oldest first */
};

/* The task of an attempt. */
struct attempt_ref {
	uint64_t job;
	uint32_t task;
};

struct job {
	struct cell_job pub;
	uint32_t pending; /* tasks in TASK_PENDING */
	uint32_t running; /* tasks in TASK_ASSIGNED or TASK_STOPPING */
	bool expired; /* CMD_EXPIRE was applied: no task starts again */
	uint64_t replaces; /* job of the service's previous version, or 0 */
};

/* An idempotency key; kept until its retention after the job's end. */
struct idempotency_key {
	char *team;
	char *key;
	uint8_t digest[CELL_DIGEST_LEN];
	uint64_t job;
	int64_t ended_ms; /* end of the job; -1: active */
};

/* An accepted configuration. */
struct version {
	uint64_t version;
	char *digest;
	char *author;
};

struct cell {
	struct cell_watch watch; /* no member is NULL */
	void *watch_arg;
	int64_t time_ms;
	uint64_t last_epoch;
	uint64_t last_job;

	uint64_t config_version;
	char *base;
	GArray *overlays; /* struct cell_overlay */
	struct config *config;
	GArray *history; /* struct version; the last is the current one */

	GPtrArray *entries; /* struct cell_entry by id - 1; NULL: removed */
	GPtrArray *workers; /* struct worker by id - 1 */
	GHashTable *worker_names; /* name to struct worker */
	GTree *jobs; /* id to struct job */
	GHashTable *keys; /* set of struct idempotency_key, by team and key */
	GHashTable *job_keys; /* job id to struct idempotency_key */
	GQueue ended_jobs; /* struct job by end time */
	GQueue ended_keys; /* struct idempotency_key by end time */
	uint64_t pending_jobs; /* jobs with a pending task */
};

typedef void
apply_fn(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res);

apply_fn apply_config, apply_entry, apply_entry_removed, apply_worker,
    apply_worker_state, apply_submit, apply_start, apply_end, apply_cancel,
    apply_expire, apply_preempt;

/* Sets a result other than OUT_ACCEPTED; takes ownership of message. */
void result_refuse(struct cell_result *res, enum outcome outcome,
    const char *reason, char *message);

/* cell.c */
struct worker *find_worker(const struct cell *c, uint32_t id);
struct job *find_job(const struct cell *c, uint64_t id);
struct cell_entry *find_entry(const struct cell *c, uint32_t id);
void add_worker(struct cell *c, struct worker *w);
void add_job(struct cell *c, struct job *j);
void add_idempotency_key(struct cell *c, struct idempotency_key *k);
void idempotency_key_free(struct idempotency_key *k);
void job_free(struct job *j);
void entry_free(struct cell_entry *e);
struct cell_overlay *overlay_add(GArray *overlays);
GArray *overlays_new(void);
GArray *overlays_copy(const GArray *from);
void worker_clear(struct cell_worker *w);
struct worker *worker_new(void);

/* tasks.c */
/* Returns whether the state is TASK_ASSIGNED or TASK_STOPPING. */
bool task_is_running(enum cell_task_state state);
/* The only way to change a task's state: updates all counts. */
void set_task_state(
    struct cell *c, struct job *j, uint32_t i, enum cell_task_state state);
/* Add an attempt to its worker, with its resources, or remove it. */
void worker_add_attempt(struct worker *w, const struct job *j, uint32_t task);
void
worker_remove_attempt(struct worker *w, const struct job *j, uint32_t task);
/* Ends the attempt of an assigned or stopping task. */
void end_attempt(struct cell *c, struct job *j, uint32_t i, enum cell_end how,
    GBytes *result);
/* Ends all attempts of a worker with END_LOST. */
void end_lost_attempts(struct cell *c, struct worker *w);
/* Adds to the crash scores of the tasks that a worker ran when it crashed. */
void count_crash(struct cell *c, struct worker *w);
/* Requests the stop of an assigned task; no effect in other states. */
void stop_task(struct cell *c, struct job *j, uint32_t i);

/* jobs.c */
struct job *job_new(struct cell *c, const struct cell_spec *spec);
/* Ends the pending tasks from index first on, each in state(task). */
void withdraw_pending(struct cell *c, struct job *j, uint32_t first,
    enum cell_task_state (*state)(const struct cell_task *t));
/* Final states of a task without an attempt that is cancelled or expires. */
enum cell_task_state state_when_cancelled(const struct cell_task *t);
enum cell_task_state state_when_expired(const struct cell_task *t);
/* Cancels a job; false if it has ended or was cancelled before. */
bool cancel_job(struct cell *c, struct job *j);
/* Ends the job if all its tasks have ended. */
void maybe_end_job(struct cell *c, struct job *j);
/* Removes ended jobs and keys whose retention has passed. */
void apply_retention(struct cell *c);

/* configure.c */
/* Returns NULL and sets faults if the texts are invalid. */
struct config *parse_config_texts(
    const char *base, const GArray *overlays, char **faults, char **digest);
/*
 * Stops tasks of a service's previous versions after a task of its new job j
 * was assigned.
 */
void advance_rolling_update(struct cell *c, struct job *j);

/* spec.c */
void spec_put(msgpack_packer *pk, const struct cell_spec *s);
void spec_get(struct reader *r, struct cell_spec *s);
bool
spec_equal_except_tasks(const struct cell_spec *a, const struct cell_spec *b);

/* command.c */
void overlays_put(msgpack_packer *pk, const GArray *overlays);
GArray *overlays_get(struct reader *r);
void entry_put(msgpack_packer *pk, const struct cell_entry *e);
void entry_get(struct reader *r, struct cell_entry *e);
void worker_put(msgpack_packer *pk, const struct cell_worker *w);
void worker_get(struct reader *r, struct cell_worker *w);

#endif
