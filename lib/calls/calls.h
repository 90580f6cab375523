/*
 * Load balancing of service calls at an entry: which target gets a call, which
 * call waits, which is refused and which is retried. Does no I/O and reads no
 * clock: the caller passes the time, the seed and how each try ended, and
 * carries out the decisions that are returned.
 *
 * A call waits in its service's queue only as long as it can still be answered
 * before its deadline; otherwise it is refused without being sent. An
 * idempotent call that failed is sent to another target while the team's retry
 * budget lasts. A target that fails several times in a row is ejected: it gets
 * no calls but a probe after a back-off.
 */
#ifndef CALLS_H
#define CALLS_H

#include "base.h"

/* A running task of a service. */
struct calls_target {
	uint64_t id; /* chosen by the caller; not 0 */
	uint32_t service; /* handle; indexes a table, so keep it small */
	uint32_t worker; /* likewise */
	int64_t slots; /* calls that it serves at the same time */
};

/* A load balancing policy. */
struct calls_balancer {
	const char *name;
	/* Whether target a is preferred to b; open: tries in flight. */
	bool (*prefer)(
	    int64_t a_open, int64_t a_slots, int64_t b_open, int64_t b_slots);
	bool sequential; /* in order; else compares two at random */
};

extern const struct calls_balancer calls_two_choices;
/* For comparison in benchmarks. */
extern const struct calls_balancer calls_random;
extern const struct calls_balancer calls_round_robin;

struct calls_policy {
	const struct calls_balancer *balancer;
	bool early_refusal; /* refuse calls that would miss their deadline */
	/* Early refusal expects an answer to take the mean time plus this many
	 * mean deviations. */
	int64_t margin_deviations;
	int64_t queue_max; /* calls waiting for one service */
	int64_t tries_max; /* of one call, the first included */
	bool bound_retries; /* by a token bucket for each team */
	int64_t retry_percent; /* retries earned per 100 calls */
	int64_t retry_burst; /* size of the token bucket, in retries */
	int64_t eject_after; /* failures in a row; 0: never eject */
	int64_t probe_min_ms; /* first back-off of an ejected target */
	int64_t probe_max_ms;
};

extern const struct calls_policy calls_default_policy;

struct calls_request {
	uint32_t service;
	uint32_t team;
	bool idempotent;
	int64_t deadline_ms; /* on the clock of now_ms */
};

enum calls_action {
	CALLS_SEND, /* send it to the target */
	CALLS_WAIT, /* calls_next() will decide on it */
	CALLS_REFUSE, /* end it: it reached no target and did not run */
	CALLS_GIVE_UP /* end it: it may have reached a target; no more tries */
};

enum calls_reason {
	CALLS_OK,
	CALLS_NO_TARGET, /* the service has no target */
	CALLS_QUEUE_FULL,
	CALLS_TOO_LATE, /* it would miss its deadline */
	CALLS_NO_BUDGET, /* the team's retry budget is used up */
	CALLS_NOT_IDEMPOTENT,
	CALLS_TRIES_USED,
	CALLS_REASON_COUNT
};

/* What the caller has to do with a call. */
struct calls_decision {
	enum calls_action action;
	enum calls_reason reason; /* of CALLS_REFUSE and CALLS_GIVE_UP */
	uint32_t call; /* handle; invalid after those two actions */
	uint64_t target; /* id, for CALLS_SEND */
	int64_t retry_after_ms; /* expected wait, if refused */
};

/* How a try ended. */
enum calls_try_end {
	CALLS_END_ANSWERED,
	CALLS_END_NOT_SENT, /* certainly nothing reached the target */
	CALLS_END_FAILED, /* the target refused it or answered with an error */
	CALLS_END_UNKNOWN /* sent, but no complete answer was received */
};

struct calls;

struct calls *calls_new(const struct calls_policy *policy, uint64_t seed);
void calls_free(struct calls *c);

/* Sets how many connections to a worker this entry may hold. */
void calls_worker_set(struct calls *c, uint32_t worker, int64_t share);
/* Adds a target or changes its slots. */
void calls_target_set(struct calls *c, const struct calls_target *t);
/* Removes a target. Its tries in flight still end by calls_try_ended(). */
void calls_target_remove(struct calls *c, uint64_t id);

/* Accepts a new call. */
struct calls_decision calls_begin(
    struct calls *c, const struct calls_request *request, int64_t now_ms);
/*
 * To be called when a try has ended. CALLS_END_ANSWERED frees the call (action
 * CALLS_GIVE_UP, reason CALLS_OK); otherwise it is retried, waits or is ended.
 */
struct calls_decision calls_try_ended(
    struct calls *c, uint32_t call, enum calls_try_end end, int64_t now_ms);
/* Frees a call whose caller has disconnected, and ends its try, if any. */
void calls_abandon(struct calls *c, uint32_t call, int64_t now_ms);
/*
 * Decides on the next waiting call that can be sent or has to be refused;
 * returns false if there is none. To be called until it returns false after
 * the end of a try, after a change of targets or workers and on each tick.
 */
bool
calls_next(struct calls *c, int64_t now_ms, struct calls_decision *decision);

/* How long a new call of the service would wait. */
int64_t calls_expected_wait_ms(const struct calls *c, uint32_t service);
/* The number of calls that wait. */
int64_t calls_waiting(const struct calls *c, uint32_t service);
/* The number of tries in flight from this entry to a worker. */
int64_t calls_open_count(const struct calls *c, uint32_t worker);
bool calls_ejected(const struct calls *c, uint64_t target);
const char *calls_reason_name(enum calls_reason reason);

/*
 * The timeout to send with a call to the next hop: what is left until the
 * deadline less one_way_ms for each direction; 0 if nothing is left and the
 * call has to be refused.
 */
int64_t
calls_hop_timeout_ms(int64_t deadline_ms, int64_t now_ms, int64_t one_way_ms);

/*
 * Divides a worker's connections among entries by their demand, with at least
 * one each if there are enough. held is what each entry may hold at present.
 * Shares are raised only by what other entries have released, so that the sum
 * of held never exceeds total. An entry whose share is lowered has to confirm
 * that before its held is changed.
 */
void calls_compute_shares(int64_t total, const int64_t *demand,
    const int64_t *held, size_t count, int64_t *share);

/* A token bucket for retries, in hundredths of a retry. */
struct calls_budget {
	int64_t tokens;
};

/* Adds the tokens that a new call earns. */
void
calls_budget_earn(struct calls_budget *b, const struct calls_policy *policy);
/* Takes the tokens of a retry; returns false if there are too few. */
bool
calls_budget_spend(struct calls_budget *b, const struct calls_policy *policy);

#endif
