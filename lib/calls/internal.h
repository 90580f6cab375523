/*
 * Tables that the files of the calls library share.
 */
#ifndef CALLS_INTERNAL_H
#define CALLS_INTERNAL_H

#include "calls.h"

#define NONE UINT32_MAX /* no index */

struct target {
	struct calls_target pub;
	bool removed;
	int64_t open; /* tries that it has */
	int64_t failures; /* in a row */
	int64_t ejections; /* in a row */
	int64_t probe_at_ms; /* when ejected: no call before */
	bool ejected;
	bool probing; /* ejected, and has the one try that may end it */
};

struct service {
	GArray *targets; /* uint32_t index, in order of arrival */
	GQueue waiting; /* call handle as pointer */
	uint32_t turn; /* of round robin */
	int64_t mean_us; /* smoothed time of an answered try */
};

struct call {
	bool used;
	bool waiting;
	struct calls_request request;
	uint32_t target; /* index, or NONE */
	uint32_t avoid; /* where the last try failed, or NONE */
	int64_t tries; /* ended or open */
	bool reached; /* an ended try may have reached a target */
	int64_t sent_ms;
};

struct worker {
	int64_t share;
	int64_t open;
};

struct calls {
	struct calls_policy policy;
	struct rng rng;
	GArray *targets; /* struct target; places of removed ones are reused */
	GHashTable *target_ids; /* id to index + 1 */
	GArray *services; /* struct service by handle */
	GArray *workers; /* struct worker by handle */
	GArray *budgets; /* struct calls_budget by team */
	GArray *calls; /* struct call by handle */
	GArray *free_calls; /* uint32_t */
	uint32_t next_service; /* where calls_next() goes on */
};

struct target *target_at(const struct calls *c, uint32_t index);
struct worker *worker_at(const struct calls *c, uint32_t worker);
struct service *service_at(const struct calls *c, uint32_t service);

/* Returns the index of the target for a try, or NONE. */
uint32_t choose_target(
    struct calls *c, struct service *s, uint32_t avoid, int64_t now_ms);
/* Counts a try's end into the target's record. */
void target_answered(struct target *t);
void target_failed(struct calls *c, struct target *t, int64_t now_ms);

#endif
