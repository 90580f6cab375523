/*
 * A stub worker that runs in the event loop of the test, for tests of
 * lib/dispatch. It obeys fence and lease, reports ended runs until they are
 * acknowledged, and injects faults on request. Orders and reports are plain
 * text.
 */
#ifndef STUBWORKER_H
#define STUBWORKER_H

#include "agent.h"
#include "httpd.h"

#define STUB_ENDS_MAX 4 /* ends in one answer; the others in later ones */

struct stub_run {
	struct flow_run id;
	int64_t percent;
	int64_t started_ms;
	int64_t stop_due_ms; /* when a stop takes effect; 0: none */
};

struct stub_worker {
	struct event_base *base;
	struct httpd *server;
	char *name;
	char *address;
	int64_t started_ms;
	struct resources capacity;
	uint64_t fence;
	int64_t clock_zero_ms; /* monotonic time at which its clock was 0 */
	int64_t lease_until_ms; /* on its clock */
	uint64_t acked;
	uint64_t last_end;
	char *checkpoint; /* of all its runs, without spaces; "": none */
	GArray *running; /* struct stub_run */
	GArray *ends; /* struct agent_end, not acknowledged yet */
	GPtrArray *unanswered; /* struct http_request, never answered */
	struct http_request *poll; /* waits for a run to end */
	struct event *poll_timer;
	/* Faults to inject. */
	bool unresponsive; /* ignores all requests */
	int hold_starts; /* how many start orders to hold without an answer */
	GArray *held_starts; /* struct flow_run: those orders */
	int fail_runs; /* how many runs fail as soon as they start */
	bool (*fails)(const struct flow_run *id); /* the same; NULL: none */
	int refuse_starts; /* how many start orders to refuse: no resources */
	/* Runs that crash the worker; NULL: none. */
	bool (*is_deadly)(const struct flow_run *id);
	int64_t deadly_after_ms; /* from their start; 0: before any answer */
	/* Shortens longer leases, and ends all runs when the lease expires; 0:
	 * does neither. */
	int64_t lease_max_ms;
	int64_t stop_ms; /* how long a stop takes */
	/* Held start orders reach the next incarnation, as if what lies between
	 * carried them over. */
	bool carried;
	int64_t run_ms; /* after which a run is done; 0: never */
	bool (*never_ends)(const struct flow_run *id); /* NULL: none */
	int64_t down_ms; /* from a crash to the restart; 0: stays down */
	/* Received so far, by this incarnation except for crashes. */
	int starts;
	int crashes;
	int64_t crashed_ms; /* time of the last crash */
	int stops;
	int polls;
	int greetings;
	uint64_t max_acked;
	uint64_t poll_acked; /* by the last poll */
};

extern const struct agent_ops stub_agent;

struct stub_worker *stub_worker_new(struct event_base *base, const char *name);
void stub_worker_free(struct stub_worker *w);

/* Closes all connections and stops listening. */
void stub_worker_crash(struct stub_worker *w);

/* Starts a crashed worker again at its address, under a new name. */
void stub_worker_restart(struct stub_worker *w);
/* The same under its name, with a new clock. */
void stub_worker_restart_under_name(struct stub_worker *w);
/* The same while its connections last, as if what lies between had connected
 * them to the next incarnation. */
void stub_worker_replace(struct stub_worker *w);
/* Takes the longest lease, as from a call that was carried over. */
void stub_worker_take_longest_lease(struct stub_worker *w);
/* Ends runs that have run for run_ms, that have stopped, or whose lease has
 * expired; restarts the worker after down_ms. Returns true if it has restarted.
 */
bool stub_worker_tick(struct stub_worker *w);

/* Ends a running run. */
void stub_worker_end(struct stub_worker *w, const struct flow_run *id,
    enum agent_outcome outcome);
/* Makes all runs report progress of 100%, so that none is stopped as stuck. */
void stub_worker_complete_progress(struct stub_worker *w);
/* Executes the held start orders; returns how many runs it started. */
int stub_worker_execute_held(struct stub_worker *w);
bool stub_worker_runs(const struct stub_worker *w, const struct flow_run *id);
/* The same for any run of its task. */
bool
stub_worker_has_task(const struct stub_worker *w, const struct flow_run *id);

#endif
