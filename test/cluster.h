/*
 * A cell of real processes on one loopback address of its own: replicas
 * r0.., entries e0.., stand-in workers w0.., and a fault proxy on every link
 * between them. Links are named FROM-TO: "e0-r1", "r0-r2", "e1-w0" is not
 * proxied, "w0" is the way to worker w0.
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
	const char *base; /* YAML of the first configuration */
	const char *const *worker_flags; /* further ones, NULL-terminated */
};

/* Starts all and waits until the workers are up; fails the test if not. */
struct cluster *cluster_new(const struct cluster_conf *conf);

/* Kills all; fails the test if one that should run has ended. */
void cluster_free(struct cluster *c);

/* Sends a signal to one process. SIGKILL also waits for its end. */
void cluster_signal(struct cluster *c, const char *name, int sig);

/* Stops one process gracefully; it must exit 0. */
void cluster_stop(struct cluster *c, const char *name);

/* Starts an ended process again with its old arguments. */
void cluster_restart(struct cluster *c, const char *name);

/* Removes the data folder of a replica that does not run. */
void cluster_lose_disk(struct cluster *c, const char *name);

/* One fault command, as in faultproxy.c, for links whose names match. */
void cluster_fault(struct cluster *c, const char *verb, const char *from,
    const char *to, const char *arg);

/* Cuts or heals all links of a process. */
void cluster_isolate(struct cluster *c, const char *name);
void cluster_heal(struct cluster *c);

/* Sends a request to a process; returns the body (may be NULL). */
json_t *cluster_http(struct cluster *c, const char *name, const char *method,
    const char *path, const char *key, const json_t *body, int *status);

/* The name of the replica that leads, as entry e says; NULL: not known. */
const char *cluster_leader(struct cluster *c);

/* Waits until a process answers /readyz with the status. */
void cluster_await_ready(struct cluster *c, const char *name, int status);

/* Waits until the worker's record has that many of an event; NULL: all. */
void cluster_await_event(
    struct cluster *c, const char *worker, const char *event, int count);

/* Waits until a process has logged the text since its last start. */
void cluster_await_log(struct cluster *c, const char *name, const char *text);

/* A batch job of one task that answers with its key. Free the result. */
json_t *cluster_batch(const char *key, int64_t run_ms, bool idempotent);

/*
 * Submits through the entries in turn until it is accepted, sending the same
 * key again after doubtful answers, and records it. Returns the job.
 */
uint64_t cluster_submit(struct cluster *c, const char *key, const json_t *job);

/* Waits for a job's final answer and records it. Returns the outcome. */
enum outcome
cluster_await_job(struct cluster *c, const char *key, uint64_t job);

/* Calls a service through an entry and records the answer. */
enum outcome cluster_call(struct cluster *c, const char *entry,
    const char *service, const char *key, bool idempotent);

/* Fails the test if the checker finds anything in the recordings. */
void cluster_judge(struct cluster *c);

#endif
