/*
 * The interface to the protocol of workers and of the policy service. An
 * adapter encodes the requests and decodes the answers; all other code works
 * on the types declared here.
 */
#ifndef AGENT_H
#define AGENT_H

#include "flow.h"

/* An order to start a run. Until the lease expires the worker may keep all its
 * runs going; the time is on the worker's own clock. */
struct agent_start {
	struct flow_run id;
	const char *payload;
	int64_t lease_until_ms;
	uint64_t fence; /* the leader's term; workers reject lower ones */
	const char *checkpoint; /* to resume from; NULL: none */
	const char *permit; /* issued by the policy service; NULL: none */
};

/* A long poll that renews the lease of a worker. */
struct agent_poll {
	int64_t lease_until_ms; /* 0: no lease, worker's clock not known yet */
	uint64_t fence;
	uint64_t acked; /* ended runs up to this number are durable */
	int wait_ms; /* longest delay; a run that ends is reported at once */
};

/* The worker's answer to an order. */
enum agent_result {
	AGENT_ACCEPTED,
	AGENT_FENCED, /* the worker knows a higher fence */
	AGENT_ENDED, /* this run, or a later one, has ended or was stopped */
	AGENT_ORDER_EXPIRED, /* the lease in the order has expired */
	AGENT_NO_RESOURCES,
	AGENT_NO_PERMIT, /* the permit is missing or has expired */
	AGENT_OTHER_INCARNATION, /* from another incarnation of the worker */
	AGENT_UNHEALTHY, /* the worker is unhealthy and has done nothing */
	AGENT_INVALID,
	AGENT_UNREACHABLE, /* no connection: the order was not sent */
	AGENT_UNKNOWN /* no usable answer: the order may still take effect */
};

/* How a run ended. */
enum agent_outcome {
	AGENT_DONE,
	AGENT_FAILED,
	AGENT_STOPPED,
	AGENT_LEASE_EXPIRED,
	AGENT_GANG_BROKEN, /* another member of the gang has ended */
	AGENT_GANG_INCOMPLETE /* other members of the gang did not start */
};

struct agent_running {
	struct flow_run id;
	char *checkpoint; /* the newest; "": none */
	int64_t percent; /* progress; 100 once a long-running task is ready */
	int64_t load; /* long-running task: latency in ms; else millicpus */
};

struct agent_end {
	uint64_t number; /* serial of the end, per incarnation of the worker */
	struct flow_run id;
	enum agent_outcome outcome;
	char *checkpoint;
};

/* The answer to a poll. */
struct agent_report {
	int64_t clock_ms; /* the worker's clock */
	int64_t started_ms; /* wall time of the incarnation's start; 0: none */
	GArray *running; /* struct agent_running */
	GArray *ends; /* struct agent_end */
	/* The worker may have more ends to list, once these are acknowledged: a
	 * run that is not listed may have ended. */
	bool ends_cut;
	uint32_t unreadable; /* rows of both lists that name no run */
};

/* Query to the policy service: which of these workers may run a step? */
struct agent_query {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	char **workers; /* names, NULL-terminated */
};

struct agent_permit {
	char *worker;
	char *permit;
};

/* The policy service's answer; workers not listed are denied. */
struct agent_permits {
	int64_t valid_ms; /* 0: not stated */
	GArray *allowed; /* struct agent_permit */
};

/*
 * The adapter. write_* functions return a request body that the caller frees;
 * read_* functions decode an answer and return false if it is malformed.
 */
struct agent_ops {
	const char *worker_header; /* carries the name of the worker */
	const char *start_path;
	char *(*write_start)(const struct agent_start *order);
	const char *stop_path;
	char *(*write_stop)(const struct flow_run *id, uint64_t fence);
	const char *poll_path;
	char *(*write_poll)(const struct agent_poll *poll);
	const char *query_path;
	char *(*write_query)(const struct agent_query *query);
	/* status 0: no answer. Leaves clock_ms unchanged if it is missing. */
	enum agent_result (*read_result)(
	    int status, const void *body, size_t len, int64_t *clock_ms);
	bool (*read_report)(
	    const void *body, size_t len, struct agent_report *out);
	bool (*read_permits)(
	    const void *body, size_t len, struct agent_permits *out);
};

void agent_report_init(struct agent_report *r);
void agent_report_clear(struct agent_report *r);
void agent_permits_init(struct agent_permits *p);
void agent_permits_clear(struct agent_permits *p);
/* The names that log lines use. */
const char *agent_result_name(enum agent_result result);
const char *agent_outcome_name(enum agent_outcome outcome);

#endif
