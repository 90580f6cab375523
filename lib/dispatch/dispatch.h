/*
 * The scheduler that runs on the leading replica. It handles the requests that
 * entries (the processes that accept them) forward, places tasks, and controls
 * each worker under a lease and a fencing token. Start orders,
 * acknowledgements and answers that depend on a command are sent only after it
 * is committed.
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <event2/event.h>

#include "agent.h"
#include "counter.h"
#include "flow.h"

struct dispatch;

/* Operations, with the members of struct request that each uses. */
enum request_op {
	/* Calls of callers use credential too. */
	REQUEST_SUBMIT, /* host, path; body: the job's spec */
	REQUEST_STATE, /* host, path */
	REQUEST_CANCEL, /* host, path */
	REQUEST_COUNT, /* host, path: how many jobs of the queue wait */
	REQUEST_WORKER, /* a heartbeat; body: the worker; seq */
	REQUEST_WORKER_LEFT, /* path: the name of the worker */
	REQUEST_CONFIG, /* body: a configuration */
	REQUEST_CONFIG_READ,
	/* host, path, credential; body: a job's spec. Answered with JSON. */
	REQUEST_EXPLAIN,
	REQUEST_OP_COUNT
};

/*
 * The largest configuration that entries pass on, to the leader or to readers;
 * their links may be a hundredth of the leader's.
 */
#define REQUEST_FORWARD_MAX_BYTES (32 * 1024)

enum request_result {
	REQUEST_DONE, /* text: the requested data */
	REQUEST_NO_QUEUE,
	REQUEST_NO_JOB,
	REQUEST_REFUSED, /* not carried out and never will be; retry later */
	REQUEST_INVALID, /* text: what is wrong */
	REQUEST_UNAVAILABLE, /* not carried out: no confirmed leader */
	REQUEST_UNKNOWN, /* may have been carried out */
	/* The data is too large to be sent on by another process: to be
	 * requested at the one that leads. */
	REQUEST_AT_LEADER,
	REQUEST_UNAUTHENTICATED, /* not carried out: no valid key */
	REQUEST_FORBIDDEN /* not carried out: another organisation's job */
};

struct request {
	uint64_t id; /* chosen by the sender, repeated in the answer */
	uint32_t op;
	char *host;
	char *path;
	int64_t seq;
	GBytes *body;
	char *credential; /* key of the caller's organisation; NULL: none */
};

/* Copies a request; absent texts other than the credential, and an absent body,
 * become empty. */
struct request request_copy(const struct request *in);
void request_clear(struct request *r);

struct answer {
	uint64_t id;
	uint32_t result;
	int64_t retry_ms; /* delay before a retry; 0: not stated */
	GBytes *text;
};

struct dispatch_conf {
	struct event_base *base;
	struct flow *flow;
	const struct agent_ops *agent;
	struct registry *registry;
	int64_t lease_max_ms; /* the longest lease that a worker accepts */
	double far_factor; /* run time multiplier off the rack of the data */
	/* Learnt speeds of workers take effect if the slow tenth of them takes
	 * at least so many times as long as the fast tenth; 0: not learnt. */
	double uneven_workers;
	/* How long a worker that drains stays at least; 0: not known. */
	int64_t drain_ms;
	int64_t retain_ms; /* how long records of ended jobs are kept */
	/* Query the policy service for steps that can't start yet. */
	bool queries_ahead;
	/* Under overload, refuse, delay and stop what costs callers least. */
	bool yield_under_overload;
};

/*
 * Callbacks of the owner. A process is named by its serial; 0 is this one.
 */
struct dispatch_ops {
	/* Proposes a command; returns its log index, 0 if not leading. */
	uint64_t (*propose)(void *arg, GBytes *command);
	/* Sends an answer to the process that sent the request. */
	void (*answer)(void *arg, uint64_t process, const struct answer *a);
	/* Makes a process query the policy service; false if that process
	 * is not connected. */
	bool (*query_policy)(void *arg, uint64_t process, uint64_t query,
	    const struct agent_query *q);
	/* Starts to confirm with a quorum that this replica leads; the result
	 * comes by dispatch_read_done(). */
	bool (*confirm)(void *arg, uint64_t context);
};

struct dispatch *dispatch_new(const struct dispatch_conf *conf,
    const struct dispatch_ops *ops, void *arg);
void dispatch_free(struct dispatch *d);

/* This replica became the leader of a term, or lost leadership. */
void dispatch_lead(struct dispatch *d, uint64_t term);
void dispatch_resign(struct dispatch *d);
bool dispatch_leads(const struct dispatch *d);

/* To be called after the command at a log index was applied. */
void dispatch_applied(
    struct dispatch *d, uint64_t index, enum flow_apply_result outcome);
/* To be called after each batch of applied commands. */
void dispatch_batch_applied(struct dispatch *d);
/* The result of ops->confirm; ok: a quorum confirmed leadership. */
void dispatch_read_done(struct dispatch *d, uint64_t context, bool ok);

/* Handles a request and answers by ops->answer; copies what it needs. */
void dispatch_handle_request(
    struct dispatch *d, uint64_t process, const struct request *req);

/* Reports that a policy process, one that can query the policy service, has
 * connected (up) or disconnected. */
void dispatch_process_changed(struct dispatch *d, uint64_t process, bool up);
/* The answer to a query sent by ops->query_policy; NULL: none came. */
void dispatch_permits_received(struct dispatch *d, uint64_t process,
    uint64_t query, const struct agent_permits *permits);

#endif
