/* State and functions shared by the files of the flow library. */
#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include <string.h>

#include "codec.h"
#include "flow.h"

struct flow {
	struct flow_watch watch;
	void *watch_arg;
	int64_t time_ms;
	struct flow_config config;
	struct routes *routes; /* of config; NULL: none */
	uint32_t last_worker_id;
	GHashTable *workers; /* id to struct flow_worker */
	GHashTable *workers_by_name; /* name to its newest incarnation */
	GHashTable *jobs; /* id to struct flow_job */
	GQueue active; /* struct flow_job, not ended or with runs to stop */
	GQueue ended; /* struct flow_job, without runs, oldest first */
	GHashTable *queued_counts; /* queue name to jobs in FLOW_QUEUED */
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
void job_free(void *arg);
void occurrence_free(void *arg);
struct flow_occurrence *
occurrence_new(const struct flow_job *job, uint32_t number);
void worker_add(struct flow *f, struct flow_worker *w);
void queued_add(struct flow *f, const char *queue, int by);

#endif
