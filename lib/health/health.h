/*
 * Finds workers that fail what they start, and jobs that fail wherever they
 * run. A failure counts against a worker only if its job is not known to fail
 * on other workers too: a worker is set aside for failures of jobs that
 * succeeded elsewhere, or of several jobs that failed nowhere else. After
 * a wait it is probed: it gets one task at a time until enough succeed. Reads
 * no clock: the caller passes the time.
 */
#ifndef HEALTH_H
#define HEALTH_H

#include "base.h"

enum health_state {
	HEALTH_GOOD,
	HEALTH_SET_ASIDE, /* gets no tasks until probing starts */
	HEALTH_PROBING /* gets one task at a time */
};

struct health_limits {
	int64_t probe_ms; /* from setting aside to the first probe */
	int64_t probe_max_ms; /* limit of that wait, which doubles each time */
	size_t max_jobs; /* jobs kept; the least recently used is evicted */
};

/* A worker's new state. */
struct health_change {
	uint32_t worker;
	enum health_state state;
};

extern const struct health_limits health_defaults;

struct health;

struct health *health_new(const struct health_limits *limits);
void health_free(struct health *h);

/*
 * Records that an attempt of a job ended on a worker. name_hash is a hash of
 * team and job name. ok is true if the attempt completed, false if it failed.
 * Must not be called for ends that say nothing about the task or the worker,
 * i.e. stops and lost workers. Appends a struct health_change to changes for
 * each worker whose state changed.
 */
void health_attempt_ended(struct health *h, uint32_t worker, uint64_t name_hash,
    bool ok, int64_t now_ms, GArray *changes);

/* Starts probing workers whose wait is over; appends to changes likewise. */
void health_tick(struct health *h, int64_t now_ms, GArray *changes);

enum health_state health_state(const struct health *h, uint32_t worker);

/* Drops all records of a worker, for one that has restarted. */
void health_remove_worker(struct health *h, uint32_t worker);

/* Whether a job has failed on so many workers since its last success that the
 * job itself is at fault. */
bool health_bad_job(const struct health *h, uint64_t name_hash);

/* Returns "good", "set-aside" or "probing". */
const char *health_state_name(enum health_state state);

#endif
