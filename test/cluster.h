/*
 * A cell of real processes on its own loopback address: replicas r0..,
 * entries e0.., stand-in workers w0.. and a fault proxy between them. The
 * proxied links are FROM-TO for connections to a replica, such as "e0-r1" and
 * "r0-r2", and "w0" for all connections to worker w0. Connections to entries
 * are not proxied.
 *
 * A wait longer than AWAIT_MS (proc.h) aborts the test program.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <signal.h>

#include <jansson.h>

#include "base.h"

struct cluster;

struct cluster_conf {
	int replicas;
	int entries;
	int workers;
	const char *base; /* base YAML of configuration version 1 */
	const char *const *worker_flags; /* extra, NULL-terminated; or NULL */
};

/* Starts all processes and waits until all workers are up. */
struct cluster *cluster_new(const struct cluster_conf *conf);

/*
 * Stops the replicas and entries with SIGTERM and kills the rest. Fails the
 * test if a process had ended on its own or a stopped one does not exit with
 * 0; the temporary directory is then left for inspection.
 */
void cluster_free(struct cluster *c);

/* Sends a signal to one process; after SIGKILL waits for its exit. */
void cluster_signal(struct cluster *c, const char *name, int sig);

/* Stops one process with SIGTERM; it must exit with status 0. */
void cluster_stop(struct cluster *c, const char *name);

/* The address of a process's HTTP listener, IP:PORT. */
const char *cluster_address(struct cluster *c, const char *name);

/* Starts an exited process again with the same arguments. */
void cluster_restart(struct cluster *c, const char *name);

/* Removes the data directory of a replica that is not running. */
void cluster_delete_data(struct cluster *c, const char *name);

/*
 * Sends the fault proxy the command "VERB LINK ARG" (see faultproxy.c). LINK
 * is FROM-TO, or FROM if to is NULL; arg may be NULL.
 */
void cluster_fault(struct cluster *c, const char *verb, const char *from,
    const char *to, const char *arg);

/* Cuts all links of a process; cluster_heal() undoes all faults. */
void cluster_isolate(struct cluster *c, const char *name);
void cluster_heal(struct cluster *c);

/*
 * Sends an HTTP request to a process and returns the body, which may be NULL.
 * key is the Idempotency-Key; NULL: none. *status is 0 if there was no answer.
 */
json_t *cluster_http(struct cluster *c, const char *name, const char *method,
    const char *path, const char *key, const json_t *body, int *status);

/*
 * Returns the leading replica's name as an entry reports it, NULL if none is
 * known. The string is valid until the next call.
 */
const char *cluster_leader(struct cluster *c);

/* Waits until GET /readyz at a process returns the HTTP status. */
void cluster_await_ready(struct cluster *c, const char *name, int status);

/*
 * Waits until a worker's record (NULL: the records of all workers together)
 * has at least count events of the name.
 */
void cluster_await_event(
    struct cluster *c, const char *worker, const char *event, int count);

/* Waits until a process has logged the text after its last start. */
void cluster_await_log(struct cluster *c, const char *name, const char *text);
/* Says whether a process logs a text within a time, since its last start. */
bool cluster_logged_within(
    struct cluster *c, const char *name, const char *text, int64_t ms);

/*
 * Returns a batch job with one task, whose payload has the key as token and
 * is echoed in its result. Free with json_decref().
 */
json_t *cluster_batch_spec(const char *key, int64_t run_ms, bool idempotent);

/*
 * Submits a job to the entries in turn until one accepts it, and records that.
 * All requests have the same Idempotency-Key, so that a retry after an unclear
 * answer creates no second job. Returns the job id. An answer 4xx aborts the
 * test.
 */
uint64_t cluster_submit(struct cluster *c, const char *key, const json_t *spec);

/* Waits for a job's final outcome, records it and returns it. */
enum outcome
cluster_await_job(struct cluster *c, const char *key, uint64_t job);

/*
 * Calls a service through an entry with the key as body and records the
 * outcome.
 */
enum outcome cluster_call(struct cluster *c, const char *entry,
    const char *service, const char *key, bool idempotent);

/* Fails the test if the checker finds a violation in the records. */
void cluster_check_records(struct cluster *c);

#endif
