/* State and functions shared by the files of the flow library. */
#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include <string.h>

#include "auth.h"
#include "codec.h"
#include "flow.h"

struct flow {
	struct flow_watch watch;
	void *watch_arg;
	int64_t time_ms;
	struct flow_config config;
	struct routes *routes; /* of config; NULL: none */
	struct auth *auth; /* keys of config; NULL: no organisations */
	/* Name to struct flow_organisation of config. */
	GHashTable *organisations;
	uint32_t last_worker_id;
	GHashTable *workers; /* id to struct flow_worker */
	GHashTable *workers_by_name; /* name to its newest incarnation */
	GHashTable *jobs; /* id to struct flow_job */
	GQueue active; /* struct flow_job, not ended or with runs to stop */
	GQueue ended; /* struct flow_job, without runs, oldest first */
	GHashTable *queued_counts; /* queue name to jobs in FLOW_QUEUED */
	GPtrArray *losses; /* struct loss, oldest first */
	GArray *causes; /* uint64_t: jobs for losses_judge() to give up */
	struct speed_table *speeds;
};

/* spec.c: X_put() encodes, X_get() decodes and sets r->ok */
void spec_put(msgpack_packer *pk, const struct flow_spec *s);
void spec_get(struct reader *r, struct flow_spec *s);
void queue_put(msgpack_packer *pk, const struct flow_queue *q);
struct flow_queue *queue_get(struct reader *r);
void config_put(msgpack_packer *pk, const struct flow_config *c);
void config_get(struct reader *r, struct flow_config *c);
void worker_put(msgpack_packer *pk, const struct flow_worker *w);
void worker_get(struct reader *r, struct flow_worker *w);

/* command.c */
void run_put(msgpack_packer *pk, const struct flow_run *run);
void run_get(struct reader *r, struct flow_run *run);

/* losses.c */
enum loss_state {
	LOSS_UNKNOWN, /* the worker may have crashed, or is only silent */
	LOSS_CRASHED, /* a later incarnation has followed */
	LOSS_EXPLAINED, /* the same, and a job was given up as the cause */
	LOSS_STATE_COUNT
};

GPtrArray *losses_new(void);
/* Records that a run was lost with its worker. */
void losses_add(struct flow *f, const struct flow_worker *w,
    const struct flow_job *job, const struct flow_task *task,
    const struct flow_end *end);
/* Marks the earlier incarnations of a new one as crashed. */
void losses_note_incarnation(struct flow *f, const struct flow_worker *w);
/* Forgets what was lost with a worker that has not restarted. */
void losses_clear(struct flow *f, const struct flow_worker *w);
/* Gives up the jobs with too many crashes. */
void losses_judge(struct flow *f);
void losses_prune(struct flow *f);
void losses_put(msgpack_packer *pk, const struct flow *f);
void losses_get(struct flow *f, struct reader *r);
/* How many losses in a state include the task. */
uint32_t losses_count(
    const struct flow *f, const struct flow_run *run, enum loss_state state);

/* speeds.c */
/* Learns from a run that ends as done; to be called while it is assigned. */
void speeds_learn(struct flow *f, const struct flow_job *job,
    struct flow_step_state *st, const struct flow_run *run);
void speeds_prune(struct flow *f);
/* Says whether there is anything to write. */
bool speeds_any(const struct flow *f);
void speeds_put(msgpack_packer *pk, const struct flow *f);
/* To be called after the jobs were read. */
void speeds_get(struct flow *f, struct reader *r);

/*
 * routes.c: index of queues, which must outlive it. routes_find() returns the
 * queue with the longest prefix of the path, NULL if there is none, and sets
 * *rest to what follows the prefix. Both lookups accept NULL for no index.
 */
struct routes *routes_new(const GPtrArray *queues);
void routes_free(struct routes *r);
const struct flow_queue *routes_find(const struct routes *r, const char *host,
    const char *path, const char **rest);
const struct flow_queue *routes_named(const struct routes *r, const char *name);

/* flow.c */
/* Builds the indexes of a new configuration. */
void config_index(struct flow *f);
void job_free(void *arg);
void occurrence_free(void *arg);
struct flow_occurrence *
occurrence_new(const struct flow_job *job, uint32_t number);
void worker_add(struct flow *f, struct flow_worker *w);
/* Compares the ids of two struct flow_worker. */
gint worker_compare(gconstpointer a, gconstpointer b);
void queued_add(struct flow *f, const char *queue, int by);
/* Ends a job as failed, after crashes of its workers. */
void job_give_up(struct flow *f, struct flow_job *job);

#endif
