/*
 * Service calls at an entry: which target gets a call, which call waits,
 * which is refused at once and which is sent again. Pure: time, seed and ends
 * of calls come in, verdicts come out. No sockets.
 *
 * A call waits in a queue of its service only while it can still be answered
 * before its deadline; one that can't is refused before anything is sent. An
 * idempotent call that failed is sent elsewhere while the team's retry budget
 * lasts. A target that fails several times in a row gets no calls but a probe
 * now and then.
 */
#ifndef CALLS_H
#define CALLS_H

#include "base.h"

/* A running task of a service. */
struct calls_target {
	uint64_t id; /* the caller's; not 0 */
	uint32_t service; /* small handles */
	uint32_t worker;
	int64_t slots; /* calls that it serves at the same time */
};

/* How a target is chosen; the baselines are such tables. */
struct calls_balancer {
	const char *name;
	/* Says whether a is to be taken before b. */
	bool (*prefer)(
	    int64_t a_open, int64_t a_slots, int64_t b_open, int64_t b_slots);
	bool sequential; /* the next one in order; else two at random */
};

extern const struct calls_balancer calls_two_choices;
extern const struct calls_balancer calls_random;
extern const struct calls_balancer calls_round_robin;

struct calls_policy {
	const struct calls_balancer *balancer;
	bool early_refusal; /* refuse what can't meet its deadline */
	int64_t
	    margin_deviations; /* mean deviations that a call's time is taken to
		       be above the mean when it is judged too late */
	int64_t queue_max; /* calls waiting for one service */
	int64_t tries_max; /* of one idempotent call */
	bool bound_retries; /* bound retries by a token bucket for each team */
	int64_t retry_percent; /* retries earned by each first try */
	int64_t retry_burst; /* retries that may be saved up */
	int64_t eject_after; /* failures in a row; 0: never eject */
	int64_t probe_min_ms; /* first wait of an ejected target */
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
	CALLS_SEND, /* to the target */
	CALLS_WAIT, /* calls_next() tells when it may be sent */
	CALLS_REFUSE, /* never sent: "not run" */
	CALLS_GIVE_UP /* was sent and gets no further try */
};

enum calls_reason {
	CALLS_OK,
	CALLS_NO_TARGET, /* the service has none */
	CALLS_QUEUE_FULL,
	CALLS_TOO_LATE, /* the expected wait passes the deadline */
	CALLS_NO_BUDGET, /* the team's retries are used up */
	CALLS_NOT_IDEMPOTENT,
	CALLS_TRIES_USED,
	CALLS_REASON_COUNT
};

/* What is to be done with a call. */
struct calls_decision {
	enum calls_action action;
	enum calls_reason reason;
	uint32_t call; /* handle, until CALLS_REFUSE or CALLS_GIVE_UP or done */
	uint64_t target;
	int64_t retry_after_ms; /* when refused: when room may be there */
};

/* How a try ended. */
enum calls_try_end {
	CALLS_END_ANSWERED,
	CALLS_END_NOT_SENT, /* certainly nothing reached the target */
	CALLS_END_FAILED, /* the target refused or answered with a fault */
	CALLS_END_UNKNOWN /* sent, and no whole answer came */
};

struct calls;

struct calls *calls_new(const struct calls_policy *policy, uint64_t seed);
void calls_free(struct calls *c);

/* Sets how many connections to a worker this entry may hold. */
void calls_worker_set(struct calls *c, uint32_t worker, int64_t share);
/* Adds a target or changes its slots. */
void calls_target_set(struct calls *c, const struct calls_target *t);
/* No new calls; those that it has are ended as usual. */
void calls_target_remove(struct calls *c, uint64_t id);

/* A new call. */
struct calls_decision calls_begin(
    struct calls *c, const struct calls_request *request, int64_t now_ms);
/*
 * A try has ended. CALLS_END_ANSWERED frees the call (verdict CALLS_GIVE_UP,
 * reason CALLS_OK); else it is sent again, waits, or is given up.
 */
struct calls_decision calls_try_ended(
    struct calls *c, uint32_t call, enum calls_try_end how, int64_t now_ms);
/* The caller has left; frees the call. Its try, if any, counts as ended. */
void calls_abandon(struct calls *c, uint32_t call, int64_t now_ms);
/*
 * Takes the next waiting call that may be sent or must be refused; false if
 * there is none. To be called until then after an end, a change or a tick.
 */
bool calls_next(struct calls *c, int64_t now_ms, struct calls_decision *step);

/* The wait a new call of the service has to expect. */
int64_t calls_expected_wait_ms(const struct calls *c, uint32_t service);
int64_t calls_waiting(const struct calls *c, uint32_t service);
/* Tries that this entry has open to a worker. */
int64_t calls_open(const struct calls *c, uint32_t worker);
bool calls_ejected(const struct calls *c, uint64_t target);
const char *calls_reason_name(enum calls_reason reason);

/*
 * What is left of a deadline for the next hop, which takes one_way_ms to
 * reach and as long to answer; 0: nothing, refuse.
 */
int64_t calls_hop_ms(int64_t deadline_ms, int64_t now_ms, int64_t one_way_ms);

/*
 * Divides a worker's connections among entries by their demand, each at least
 * one while there are enough. held is what each entry may hold at present: a
 * share is raised only by what others have given back, so the sum of what is
 * held stays within total at every moment. The entries whose share is
 * lowered must confirm it before their held changes.
 */
void calls_shares(int64_t total, const int64_t *demand, const int64_t *held,
    size_t count, int64_t *share);

/* A token bucket for retries, in hundredths of a retry. */
struct calls_budget {
	int64_t tokens;
};

void
calls_budget_earn(struct calls_budget *b, const struct calls_policy *policy);
bool
calls_budget_spend(struct calls_budget *b, const struct calls_policy *policy);

#endif
