/*
 * Stand-in worker: announces itself, renews its lease by heartbeats and
 * simulates tasks. A task's payload is its script: {"run_ms": N,
 * "exit": "done"|"failed", "result": ANY, "echo": BOOL, "call_ms": N}. Without
 * run_ms the task runs until it is stopped; with echo the result contains the
 * payload; a call to the task is answered after call_ms.
 *
 * A lease starts at the moment the heartbeat that renewed it was sent. Every
 * attempt has its own lease length and is stopped as soon as that has passed
 * since the last renewal.
 */
#ifndef FAKEWORKER_H
#define FAKEWORKER_H

#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "base.h"
#include "httppool.h"

/* Settings shared by all workers of the process. */
struct fakeworker_conf {
	char *name;
	char *address; /* IP:PORT of the first worker */
	char *announced_address; /* address sent to entries; NULL: address */
	char **entries;
	char *rack;
	char *data_center;
	gint64 millicpus;
	gint64 memory;
	gint64 accelerators;
	gint slots;
	gint connections;
	gint64 seed;
	gint64 incarnation; /* 0: random */
	gboolean fail_starts; /* answers 500 to every start order */
	gboolean fail_tasks; /* every task fails immediately */
	gint usage_delay_ms; /* reported usage is 0 until then */
	gint usage_percent; /* reported usage, percent of the requested */
	gint exit_after_ms; /* exit without leaving after this time; 0: off */
	gint request_timeout_ms; /* of requests to entries */
	gint drain_ms; /* after SIGTERM, until services are stopped */
	gint count; /* workers in this process */
};

/* ATTEMPT_REPORTED: an entry has acknowledged the end. */
enum attempt_state { ATTEMPT_RUNNING, ATTEMPT_ENDED, ATTEMPT_REPORTED };

struct fakeworker;

/* An attempt of a task; kept after its end so that orders are idempotent. */
struct attempt {
	struct fakeworker *w;
	char *key; /* TASK/ATTEMPT */
	char *task;
	int64_t number;
	enum attempt_state state;
	struct resources resources;
	int64_t lease_ms;
	int64_t lease_end_ms;
	int64_t started_ms;
	int64_t run_ms; /* -1: until it is stopped */
	int64_t call_ms; /* how long a call takes */
	json_t *payload;
	bool fails; /* status at its end: failed, not done */
	struct event *timer; /* end of the run, then retries of the report */
	const char *status; /* of the end: done, failed or stopped */
	json_t *result;
	int report_tries; /* failed reports of the end */
};

struct fakeworker {
	const struct fakeworker_conf *conf;
	struct event_base *base;
	struct evhttp *server;
	struct pool *pool;
	struct rng rng;
	FILE *record;
	char *name;
	char *address;
	uint64_t incarnation;
	GHashTable *attempts; /* key -> struct attempt */
	struct resources used;
	int running; /* attempts */
	int calls; /* in progress */
	/* The session with the home entry, the one that heartbeats go to. */
	char *home; /* its address; NULL: none */
	int64_t epoch; /* 0: none */
	int64_t lease_ms;
	int64_t renewed_ms; /* start of the lease */
	int64_t heartbeat_ms; /* interval */
	int64_t heartbeat_sent_ms; /* of the heartbeat in flight */
	char *heartbeat_entry; /* its destination; NULL: none in flight */
	bool heartbeat_due; /* send the next one after the reply at once */
	guint next_entry;
	/* Heartbeats list the running attempts only when the list changed. */
	uint64_t acked_list_hash; /* of the last acknowledged list */
	uint64_t sent_list_hash; /* of the list in flight; 0: none */
	int heartbeats_without_list; /* since the acknowledged list */
	int failures; /* consecutive heartbeats without a reply of 200 */
	struct event *heartbeat_timer;
	struct event *lease_timer;
	int64_t lease_timer_ms; /* when lease_timer is due */
	int64_t leases_checked_ms; /* last run of check_leases() */
	bool leaving; /* has received SIGTERM */
	bool leave_acked; /* an entry has acknowledged the leave */
	int64_t leaving_since_ms;
};

/* Writes an event to the record; format and arguments as for json_pack(). */
void record(struct fakeworker *w, const char *event, const char *format, ...);

/*
 * Stops attempts whose lease has ended, and records "woke" if the process was
 * suspended. Every callback calls it first, so that nothing is served on a
 * lease that ended during the suspension.
 */
void check_leases(struct fakeworker *w);

/* Renews the leases of all attempts with from_ms as their start. */
void renew_leases(struct fakeworker *w, int64_t from_ms);

/*
 * Switches to the session of an epoch; false if the epoch is older than the
 * current one. home may be NULL: unchanged.
 */
bool accept_epoch(struct fakeworker *w, int64_t epoch, const char *home);

/* Sends the next heartbeat after ms. */
void schedule_heartbeat(struct fakeworker *w, int64_t ms);

/* Returns the entries in turn. */
const char *pick_entry(struct fakeworker *w);

/* HTTP callback for orders and calls; arg is the struct fakeworker. */
void serve_request(struct evhttp_request *req, void *arg);

/* Returns the running attempts and their usage, as sent in heartbeats. */
json_t *running_json(struct fakeworker *w);

/* Stops all running attempts that have no run_ms. */
void stop_services(struct fakeworker *w);

/* Whether no attempt runs and the ends of all are acknowledged. */
bool all_ends_reported(struct fakeworker *w);

/* Destroy function of fakeworker.attempts. */
void attempt_free(void *arg);

#endif
