/*
 * Which workers fail what they start. A failure is evidence against a worker
 * only as far as its job is not known to fail elsewhere too: a worker is set
 * aside for jobs that succeeded on others, or for several different jobs that
 * failed nowhere else. It returns through a probe: one task at a time until
 * enough succeed. Pure: the caller passes the time.
 */
#ifndef HEALTH_H
#define HEALTH_H

#include "base.h"

enum health_state {
	HEALTH_GOOD,
	HEALTH_SET_ASIDE, /* takes no work until its probe is due */
	HEALTH_PROBING /* takes one task at a time */
};

struct health_limits {
	int64_t probe_ms; /* from setting aside to the first probe */
	int64_t probe_max_ms; /* the wait doubles up to this */
	size_t max_jobs; /* names kept; the one not seen for longest goes */
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
 * An attempt of a job (by hash of team and name) ended on a worker; ok: it
 * ran to its end. Only ends that tell of the task or the worker count: no
 * stops, no lost workers. Appends struct health_change to changes.
 */
void health_attempt_ended(struct health *h, uint32_t worker, uint64_t job,
    bool ok, int64_t now_ms, GArray *changes);

/* Moves workers whose wait is over to probing. */
void health_tick(struct health *h, int64_t now_ms, GArray *changes);

enum health_state health_state(const struct health *h, uint32_t worker);

/* Forgets a worker, for one that starts anew. */
void health_remove_worker(struct health *h, uint32_t worker);

/* Whether a job fails on several workers that others do well on. */
bool health_bad_job(const struct health *h, uint64_t job);

const char *health_state_name(enum health_state state);

#endif
