/*
 * Tables and functions that the files of the cell library share.
 */
#ifndef CELL_INTERNAL_H
#define CELL_INTERNAL_H

#include <string.h>

#include "cell.h"
#include "codec.h"

#define CONFIG_HISTORY_MAX 512 /* versions whose digest is remembered */
#define MS_PER_S 1000

/* A worker and the attempts it holds. */
struct worker {
	struct cell_worker pub;
	bool over; /* announced less than it held; until it fits again */
	GArray *held; /* struct slot, sorted */
};

struct slot {
	uint64_t job;
	uint32_t task;
};

struct job {
	struct cell_job pub;
	uint32_t pending; /* tasks in TASK_PENDING */
	uint32_t held; /* tasks assigned or stopping */
	bool given_up; /* expired: no task starts again */
	uint64_t replaces; /* a service's older job, or 0 */
};

/* An idempotency key; kept while its job is active and a while after. */
struct key {
	char *team;
	char *key;
	uint8_t digest[CELL_DIGEST_LEN];
	uint64_t job;
	int64_t ended_ms; /* of the job; -1: active */
};

/* A configuration that was accepted. */
struct version {
	uint64_t version;
	char *digest;
	char *author;
};

struct cell {
	struct cell_watch watch; /* no function is NULL */
	void *watch_arg;
	int64_t time_ms;
	uint64_t last_epoch;
	uint64_t last_job;

	uint64_t config_version;
	char *base;
	GArray *overlays; /* struct cell_overlay */
	struct config *config;
	GArray *history; /* struct version; the last is in force */

	GPtrArray *entries; /* struct cell_entry by id - 1, NULL if gone */
	GPtrArray *workers; /* struct worker by id - 1 */
	GHashTable *worker_names; /* name to struct worker */
	GTree *jobs; /* id to struct job */
	GHashTable *keys; /* set of struct key, by team and key */
	GHashTable *job_keys; /* job id to its struct key */
	GQueue ended_jobs; /* struct job by end time */
	GQueue ended_keys; /* struct key by end time */
	uint64_t pending_jobs; /* jobs with a pending task */
};

typedef void
apply_fn(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res);

apply_fn apply_config, apply_entry, apply_entry_gone, apply_worker,
    apply_worker_state, apply_submit, apply_start, apply_end, apply_cancel,
    apply_expire, apply_preempt;

/* Fills a result that is not "accepted"; message is taken over. */
void result_refuse(struct cell_result *res, enum outcome outcome,
    const char *reason, char *message);

/* cell.c */
struct worker *find_worker(const struct cell *c, uint32_t id);
struct job *find_job(const struct cell *c, uint64_t id);
struct cell_entry *find_entry(const struct cell *c, uint32_t id);
void add_worker(struct cell *c, struct worker *w);
void add_job(struct cell *c, struct job *j);
void add_key(struct cell *c, struct key *k);
void key_free(struct key *k);
void job_free(struct job *j);
void entry_free(struct cell_entry *e);
struct cell_overlay *overlay_add(GArray *overlays);
GArray *overlays_new(void);
GArray *overlays_copy(const GArray *from);
void worker_clear(struct cell_worker *w);
struct worker *worker_new(void);

/* tasks.c */
bool task_held(enum cell_task_state state);
/* The one way to change a task's state: keeps all counts. */
void
task_set(struct cell *c, struct job *j, uint32_t i, enum cell_task_state state);
/* Books an attempt on its worker, or takes it away. */
void worker_hold(struct worker *w, const struct job *j, uint32_t task);
void worker_release(struct worker *w, const struct job *j, uint32_t task);
/* Ends the assigned attempt of a task. */
void end_attempt(struct cell *c, struct job *j, uint32_t i, enum cell_end how,
    GBytes *result);
void end_all_lost(struct cell *c, struct worker *w);
/* Orders the stop of a task's attempt, once. */
void stop_task(struct cell *c, struct job *j, uint32_t i);

/* jobs.c */
struct job *job_new(struct cell *c, const struct cell_spec *spec);
/* Gives up the pending tasks from index first on; tells the watch. */
void withdraw_from(struct cell *c, struct job *j, uint32_t first,
    enum cell_task_state (*state)(const struct cell_task *t));
enum cell_task_state cancelled_state(const struct cell_task *t);
enum cell_task_state expired_state(const struct cell_task *t);
/* Cancels a job; false if it has ended or was cancelled before. */
bool cancel_job(struct cell *c, struct job *j);
/* Ends the job if all its tasks have ended. */
void job_settle(struct cell *c, struct job *j);
void sweep(struct cell *c);

/* configure.c */
struct config *parse_texts(
    const char *base, const GArray *overlays, char **faults, char **digest);
/* A task of a service's newer job was assigned: an older one may stop. */
void retire_older(struct cell *c, struct job *j);

/* spec.c */
void spec_put(msgpack_packer *pk, const struct cell_spec *s);
void spec_get(struct reader *r, struct cell_spec *s);
bool spec_equal_but_tasks(const struct cell_spec *a, const struct cell_spec *b);

/* command.c */
void overlays_put(msgpack_packer *pk, const GArray *overlays);
GArray *overlays_get(struct reader *r);
void entry_put(msgpack_packer *pk, const struct cell_entry *e);
void entry_get(struct reader *r, struct cell_entry *e);
void worker_put(msgpack_packer *pk, const struct cell_worker *w);
void worker_get(struct reader *r, struct cell_worker *w);

#endif
