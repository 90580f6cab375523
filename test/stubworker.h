/*
 * A worker in the test's own process and loop, for tests of the dispatcher:
 * it holds runs under a fence and a lease, lists ends until they are taken,
 * and misbehaves on request. It speaks a plain text form of the orders.
 */
#ifndef STUBWORKER_H
#define STUBWORKER_H

#include "agent.h"
#include "httpd.h"

struct stub_run {
	struct flow_run of;
	int64_t percent;
};

struct stub_worker {
	struct event_base *base;
	struct httpd *server;
	char *name;
	char *address;
	int64_t born_ms;
	uint64_t fence;
	int64_t until_ms; /* its lease; of this process's steady clock */
	uint64_t taken;
	uint64_t last_end;
	GArray *running; /* struct stub_run */
	GArray *ends; /* struct agent_end, not taken yet */
	GPtrArray *unanswered; /* struct http_request, held for good */
	struct http_request *look; /* that waits for an end */
	struct event *look_timer;
	/* Faults. */
	bool mute; /* takes nothing and answers nothing */
	int swallow; /* so many start orders are kept back without an answer */
	GArray *kept; /* struct flow_run: those orders */
	int fail; /* so many runs fail as soon as they start */
	int refuse; /* so many start orders are refused for want of room */
	/* What was seen. */
	int starts;
	int stops;
	int looks;
	uint64_t most_taken;
};

extern const struct agent_ops stub_agent;

struct stub_worker *stub_worker_new(struct event_base *base, const char *name);
void stub_worker_free(struct stub_worker *w);

/* Stops listening, as if it had crashed. */
void stub_worker_crash(struct stub_worker *w);

/* Ends a run that is there. */
void stub_worker_end(
    struct stub_worker *w, const struct flow_run *of, enum agent_outcome how);
/* Carries out the start orders that were kept back; returns how many run. */
int stub_worker_carry_out(struct stub_worker *w);
bool stub_worker_runs(const struct stub_worker *w, const struct flow_run *of);

#endif
