/*
 * What the leading replica does: it takes requests from entries, decides
 * where tasks run, and keeps every worker under one lease and one fence. All
 * that takes effect outside follows a committed command of the agreed state.
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <event2/event.h>

#include "agent.h"
#include "counter.h"
#include "flow.h"

struct dispatch;

/* What an entry asks the leader for. */
enum ask_op {
	ASK_SUBMIT, /* host, path; body: a job's spec */
	ASK_STATE, /* host, path */
	ASK_CANCEL, /* host, path */
	ASK_COUNT, /* host, path: jobs of the queue that wait */
	ASK_WORKER, /* body: a worker, as it tells of itself; number: its seq */
	ASK_WORKER_LEFT, /* path: its name */
	ASK_CONFIG, /* body: a configuration */
	ASK_CONFIG_READ,
	ASK_OP_COUNT
};

enum ask_result {
	ASK_DONE, /* text tells what was asked for */
	ASK_NO_QUEUE,
	ASK_NO_JOB,
	ASK_REFUSED, /* it has not run and never will; come back later */
	ASK_INVALID, /* text tells the fault */
	ASK_UNAVAILABLE, /* nothing has been done: no leader, or unsure */
	ASK_UNCLEAR /* it may have been done */
};

struct ask {
	uint64_t id; /* chosen by the sender, comes back with the answer */
	uint32_t op;
	char *host;
	char *path;
	int64_t number;
	GBytes *body;
};

struct answer {
	uint64_t id;
	uint32_t result;
	int64_t retry_ms; /* when to come back; 0: not told */
	GBytes *text;
};

struct dispatch_conf {
	struct event_base *base;
	struct flow *flow;
	const struct agent_ops *agent;
	struct registry *registry;
	int64_t lease_max_ms; /* the longest lease that a worker grants */
	double far; /* how many times as long work takes far from its data */
	int64_t retain_ms; /* records of ended jobs are kept so long */
};

struct dispatch_ops {
	/* Proposes a command; 0 if this replica does not lead. */
	uint64_t (*propose)(void *arg, GBytes *command);
	/* Answers an ask of the process with that serial (0: this one). */
	void (*answer)(void *arg, uint64_t process, const struct answer *a);
	/* Has a process ask the policy service; false if it is gone. */
	bool (*consult)(void *arg, uint64_t process, uint64_t query,
	    const struct agent_query *q);
	/* Starts a confirmation that this replica leads. */
	bool (*confirm)(void *arg, uint64_t context);
};

struct dispatch *dispatch_new(const struct dispatch_conf *conf,
    const struct dispatch_ops *ops, void *arg);
void dispatch_free(struct dispatch *d);

/* This replica leads from now on, in this term, or no longer. */
void dispatch_lead(struct dispatch *d, uint64_t term);
void dispatch_resign(struct dispatch *d);
bool dispatch_leads(const struct dispatch *d);

/* A command at a log position was applied. */
void dispatch_applied(
    struct dispatch *d, uint64_t index, enum flow_apply_result outcome);
/* After a batch of applied commands. */
void dispatch_advanced(struct dispatch *d);
/* A confirmation that was asked for is there, or is not to be had. */
void dispatch_confirmed(struct dispatch *d, uint64_t context, bool ok);

/* Takes an ask over (copies what it needs). */
void dispatch_ask(struct dispatch *d, uint64_t process, const struct ask *ask);

/* A process can be told to consult the policy service, or is gone. */
void dispatch_process(struct dispatch *d, uint64_t process, bool up);
/* What the policy service said; NULL: no answer. */
void dispatch_permits(struct dispatch *d, uint64_t process, uint64_t query,
    const struct agent_permits *permits);

#endif
