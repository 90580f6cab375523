/*
 * How workers and the policy service are spoken to. An adapter writes the
 * requests and reads the answers; everything else works on these types.
 */
#ifndef AGENT_H
#define AGENT_H

#include "flow.h"

/* A start order. */
struct agent_start {
	struct flow_run of;
	const char *payload;
	int64_t until_ms; /* lease of all that the worker runs, on its clock */
	uint64_t fence; /* the worker ignores orders of a lower one */
	const char *saved; /* checkpoint to go on from; NULL: none */
	const char *permit; /* of the policy service; NULL: none */
};

/* A look at a worker that renews its lease. */
struct agent_look {
	int64_t until_ms; /* 0: no lease, the worker's clock isn't known yet */
	uint64_t fence;
	uint64_t taken; /* ends up to this number are durable with us */
	int wait_ms; /* the worker answers at once when a run ends */
};

/* What the worker said to an order. */
enum agent_verdict {
	AGENT_TAKEN,
	AGENT_FENCED, /* it knows a higher fence */
	AGENT_ENDED, /* that run, or a later one, has ended or was stopped */
	AGENT_LATE, /* the lease in the order is over */
	AGENT_NO_ROOM,
	AGENT_NO_PERMIT, /* the permit is missing or has expired */
	AGENT_OTHER_LIFE, /* another life of the worker has answered */
	AGENT_UNWELL, /* it is not healthy and has done nothing */
	AGENT_INVALID,
	AGENT_UNCLEAR /* no answer: it may take effect, also later */
};

enum agent_how {
	AGENT_DONE,
	AGENT_FAILED,
	AGENT_STOPPED,
	AGENT_LAPSED, /* the lease ran out */
	AGENT_BROKEN, /* another member of the gang has ended */
	AGENT_ALONE /* the other members of the gang did not come */
};

struct agent_running {
	struct flow_run of;
	char *saved; /* newest checkpoint; "" when there is none */
	int64_t percent; /* of the work, or 100 once a lasting task serves */
	int64_t load; /* latency in ms of a lasting task, else millicpus */
};

struct agent_end {
	uint64_t number; /* rises within one life of the worker */
	struct flow_run of;
	enum agent_how how;
	char *saved;
};

/* What a look showed. */
struct agent_report {
	int64_t clock_ms; /* the worker's clock */
	int64_t born_ms; /* start of its life, wall time; 0: not told */
	GArray *running; /* struct agent_running */
	GArray *ends; /* struct agent_end */
};

/* Which of some workers may run a step. */
struct agent_query {
	uint64_t job;
	uint32_t round;
	uint32_t step;
	char **workers; /* names, NULL at the end */
};

struct agent_permit {
	char *worker;
	char *permit;
};

struct agent_permits {
	int64_t valid_ms; /* 0: not told */
	GArray *good; /* struct agent_permit */
};

/* Writers return a body to be freed; path is static. */
struct agent_ops {
	const char *life_header; /* names the worker that an order is for */
	const char *start_path;
	char *(*start)(const struct agent_start *order);
	const char *stop_path;
	char *(*stop)(const struct flow_run *of, uint64_t fence);
	const char *look_path;
	char *(*look)(const struct agent_look *look);
	const char *advise_path;
	char *(*advise)(const struct agent_query *query);
	/* status 0 stands for no answer; clock_ms stays if it isn't told. */
	enum agent_verdict (*verdict)(
	    int status, const void *body, size_t len, int64_t *clock_ms);
	bool (*report)(const void *body, size_t len, struct agent_report *out);
	bool (*permits)(
	    const void *body, size_t len, struct agent_permits *out);
};

void agent_report_init(struct agent_report *r);
void agent_report_clear(struct agent_report *r);
void agent_permits_init(struct agent_permits *p);
void agent_permits_clear(struct agent_permits *p);
const char *agent_verdict_name(enum agent_verdict v);
const char *agent_how_name(enum agent_how how);

#endif
