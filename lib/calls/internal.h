/* Internal data structures of the calls library. */
#ifndef CALLS_INTERNAL_H
#define CALLS_INTERNAL_H

#include "calls.h"

#define NO_INDEX UINT32_MAX

struct target {
	struct calls_target config; /* as passed to calls_target_set() */
	bool removed;
	int64_t open; /* tries in flight */
	int64_t failures; /* in a row */
	int64_t ejections; /* in a row, without an answer between them */
	int64_t probe_at_ms; /* if ejected: gets no call before */
	bool ejected;
	bool probing; /* ejected; its probe is in flight */
};

struct service {
	GArray *targets; /* uint32_t index, in order of arrival */
	GQueue waiting; /* call handles, by GUINT_TO_POINTER() */
	uint32_t next_target; /* position of round robin */
	int64_t mean_us; /* moving average of the time of answered tries */
	int64_t deviation_us; /* average absolute difference to the mean */
};

struct call {
	bool used;
	bool waiting;
	struct calls_request request;
	uint32_t target; /* index, or NO_INDEX */
	uint32_t avoid; /* target of the last try, or NO_INDEX */
	int64_t tries; /* ended and in flight */
	bool reached; /* an ended try may have reached a target */
	int64_t sent_ms;
};

struct worker {
	int64_t share; /* connections that this entry may hold */
	int64_t open; /* tries in flight */
};

struct calls {
	struct calls_policy policy;
	struct rng rng;
	GArray *targets; /* struct target; removed ones are reused */
	GHashTable *target_ids; /* id to index + 1 */
	GArray *services; /* struct service by handle */
	GArray *workers; /* struct worker by handle */
	GArray *budgets; /* struct calls_budget by team */
	GArray *calls; /* struct call by handle */
	GArray *free_calls; /* uint32_t */
	uint32_t next_service; /* where calls_next() continues */
};

struct target *target_at(const struct calls *c, uint32_t index);
struct worker *worker_at(const struct calls *c, uint32_t worker);
struct service *service_at(const struct calls *c, uint32_t service);

/* Returns the index of the target to send a call to, preferably not avoid;
 * NO_INDEX if none is usable now. */
uint32_t choose_target(
    struct calls *c, struct service *s, uint32_t avoid, int64_t now_ms);
/* Update a target's failures and ejection after a try. */
void target_answered(struct target *t);
void target_failed(struct calls *c, struct target *t, int64_t now_ms);

#endif
