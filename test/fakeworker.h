/*
 * Stand-in worker: announces itself, keeps its lease and runs scripted tasks.
 * A task's payload says what it does: {"run_ms": N, "exit": "done"|"failed",
 * "result": ANY, "echo": BOOL, "call_ms": N}; without run_ms it runs until it
 * is stopped.
 *
 * The lease counts from the moment a heartbeat was sent. Every attempt has
 * its own lease length and is stopped at once when that has run out since
 * the last renewal.
 */
#ifndef FAKEWORKER_H
#define FAKEWORKER_H

#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "base.h"
#include "httppool.h"

/* Settings that all workers of the process share. */
struct plan {
	char *name;
	char *address; /* IP:PORT of the first worker */
	char *announced; /* address told to entries; NULL: the same */
	char **entries;
	char *rack;
	char *data_center;
	gint64 millicpus;
	gint64 memory;
	gint64 accelerators;
	gint slots;
	gint connections;
	gint64 seed;
	gint64 incarnation; /* 0: drawn from the seed */
	gboolean fail_starts; /* answers 500 to every start order */
	gboolean fail_tasks; /* every task ends as failed at once */
	gint lag_ms; /* an attempt's use is told this much later */
	gint lie_usage; /* per cent of the real use that is told */
	gint vanish_ms; /* exits without a word after this; 0: never */
	gint answer_ms; /* how long an answer is waited for */
	gint drain_ms; /* after SIGTERM: how long services may go on */
	gint count; /* workers in this process */
};

enum attempt_state { ATTEMPT_RUNNING, ATTEMPT_ENDED, ATTEMPT_TOLD };

struct fakeworker;

/* One (task, attempt); kept after its end, so that orders stay idempotent. */
struct attempt {
	struct fakeworker *w;
	char *key; /* TASK/ATTEMPT */
	char *task;
	int64_t number;
	enum attempt_state state;
	struct resources held;
	int64_t lease_ms;
	int64_t deadline_ms; /* of its lease */
	int64_t started_ms;
	int64_t run_ms; /* -1: until it is stopped */
	int64_t call_ms;
	json_t *payload;
	bool fails;
	struct event *timer; /* end of the run, later repeats of the end */
	const char *status; /* once ended */
	json_t *result;
	int tries; /* of telling the end */
};

struct fakeworker {
	const struct plan *plan;
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
	int running;
	int calls;
	/* The session with the home entry. */
	char *home; /* NULL: none */
	int64_t epoch; /* 0: none */
	int64_t lease_ms;
	int64_t renewed_ms; /* the lease counts from here */
	int64_t heartbeat_ms;
	int64_t sent_ms; /* of the heartbeat in flight */
	char *asked; /* entry that it went to; NULL: none in flight */
	bool ask_again; /* another one is due when the answer is here */
	guint next_entry;
	uint64_t listed; /* hash of the attempts in the last answered list */
	uint64_t listing; /* of the list on its way; 0: none */
	int unlisted; /* heartbeats since without a list */
	int failures; /* heartbeats in a row without an answer of 200 */
	struct event *beat;
	struct event *lease_timer;
	int64_t lease_due_ms;
	int64_t seen_ms; /* when leases were last looked at */
	bool leaving;
	bool left; /* the entry has taken the leave */
	int64_t leaving_since_ms;
};

/* Writes one event to the record: "event" and keys as for json_pack(). */
void record(struct fakeworker *w, const char *event, const char *format, ...);

/*
 * Stops what has outlived its lease, and records it if the process slept;
 * first thing in every callback.
 */
void check_leases(struct fakeworker *w);

/* The lease holds anew from the moment given. */
void renew(struct fakeworker *w, int64_t from_ms);

/* Takes a newer session; false if the epoch is older than the one held. */
bool take_epoch(struct fakeworker *w, int64_t epoch, const char *home);

/* Sends a heartbeat soon. */
void beat_after(struct fakeworker *w, int64_t ms);

/* An entry to try: entries in turn. */
const char *any_entry(struct fakeworker *w);

/* Serves orders and calls. */
void serve(struct evhttp_request *req, void *arg);

/* What runs, as a heartbeat tells it. */
json_t *running_json(struct fakeworker *w);

/* Ends all running attempts that have no end of their own. */
void stop_services(struct fakeworker *w);

/* Says whether nothing runs and every end was taken. */
bool all_told(struct fakeworker *w);

void attempt_free(void *arg);

#endif
