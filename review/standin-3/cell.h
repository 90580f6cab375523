/*
 * A small deployment for the cases of this review: the platform's daemon, as
 * the deploy file runs it, on four VMs with a disk and one without, and
 * stand-ins for the operator, callers and workers, as PROTOCOL.md has them.
 */
#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

#include <stdio.h>
#include <sys/types.h>

#include <event2/event.h>
#include <event2/http.h>

#include <jansson.h>

#include "proxy.h"
#include "web.h"

#define NODES 5
#define DISKS 4
#define MINIONS_MAX 24

#define HEARTBEAT_MS 1500
#define LEASE_MAX_MS 6000 /* maxHoldMs */
#define STOP_MS 50 /* stopTimeoutMs is 200 */
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define GRACE_S 6

struct node {
	char ip[16];
	char front[24];
	char ready[24];
	char control[24];
	char *settings;
	char *data; /* NULL: no disk */
	struct proxy *proxy; /* in front of its peer port; NULL: none */
	pid_t pid; /* 0: not running */
	int status; /* of the last exit, as from waitpid() */
};

struct cell;
struct minion;

/* What a minion does with an order to start. */
enum start_fate {
	START_NOW,
	START_LATE /* no answer; carried out after late_ms */
};

struct run {
	char *task;
	int64_t number;
	int64_t start_ms;
	int64_t due_ms; /* when it ends as done */
	int64_t stopped_ms; /* when it ends as stopped; 0: no stop order */
};

struct minion {
	struct cell *cell;
	char id[24];
	char address[24];
	const char *service;
	struct web_server *server; /* NULL: down */
	int64_t born;
	int64_t clock_zero_ms;
	int64_t lease_until_ms; /* on its own clock */
	int64_t fence;
	int64_t seq;
	int64_t last_end;
	bool beats; /* sends heartbeats */
	bool draining;
	int64_t drain_acked_ms; /* mono; 0: not acknowledged yet */
	int64_t next_beat_ms;
	int beat_node; /* whose turn it is */
	GPtrArray *runs; /* struct run */
	GPtrArray *ends; /* json_t rows */
	GHashTable *ended; /* task to its highest run that is over here */
	struct evhttp_request *poll; /* waits for an end */
	int64_t poll_due_ms;
	GPtrArray *late; /* struct late_order */
	/* Decides about an order to start; NULL: START_NOW. */
	enum start_fate (*fate)(struct minion *m, const char *task);
	int64_t late_ms;
};

struct cell {
	struct event_base *base;
	struct event *timer;
	char *dir;
	FILE *record;
	int64_t start_ms;
	struct node node[NODES];
	struct minion *minion[MINIONS_MAX];
	int minions;
	int64_t task_ms; /* run time of a task */
	GHashTable *done; /* tasks that have ended as done, and ... */
	GHashTable *noted; /* ... those whose end was acknowledged */
	int twice; /* starts beside another run, or after an end as done */
	/* Called after a task has started; NULL: nothing. */
	void (*on_start)(struct minion *m, const struct run *r);
};

/* Starts the processes and waits until all are ready; exits with 2 if they
 * aren't in time. With proxied, each has a proxy in front of its peer port. */
struct cell *cell_new(bool proxied);
/* A configuration with a queue at CELL_HOST and CELL_PREFIX, without policy
 * service; its minions are of CELL_SERVICE. */
#define CELL_HOST "nony24.example"
#define CELL_PREFIX "/lohu930/"
#define CELL_SERVICE "huvo11a"
extern const char cell_config[];
/* Adds minions with the ids i-7f3a91c0 and on. */
void cell_add_minions(struct cell *c, int count);
/* Submits a job of one step with so many tasks; gives up if it isn't
 * accepted. */
void cell_submit(
    struct cell *c, const char *path, int tasks, int cpu, int64_t estimated_ms);
/* Ends all processes. */
void cell_free(struct cell *c);
/* Writes a line of the record. */
void note(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Runs the loop until mono_ms() reaches a time. */
void cell_run_until(struct cell *c, int64_t until_ms);
void cell_run(struct cell *c, int64_t ms);
/* Ends the process with 2: the case could not run. */
G_NORETURN void cell_give_up(struct cell *c, const char *why);

/* Sends a call and waits for its answer; the status, 0: no answer. *body, if
 * not NULL, gets the body. */
int cell_call(struct cell *c, const char *address, const char *host,
    enum evhttp_cmd_type method, const char *path, const char *body,
    int timeout_ms, char **answer);
/* Submits a configuration until it is acknowledged. */
void cell_configure(struct cell *c, const char *config);

void node_start(struct cell *c, int i, bool first);
void node_signal(struct cell *c, int i, int signal);
/* Notes the exit if the process has ended; returns whether it has. */
bool node_ended(struct cell *c, int i);
/* Waits for the end of a process; false if that takes longer. */
bool node_wait(struct cell *c, int i, int64_t timeout_ms);
/* The node that leads, by the logs; -1: not known. */
int cell_leader(struct cell *c);

struct minion *minion_new(struct cell *c, const char *id, const char *service);
/* Says that it is about to leave. */
void minion_drain(struct minion *m);
/* It runs nothing any more, and knows nothing when it is back under its id. */
void minion_crash(struct minion *m);
void minion_restart(struct minion *m);
struct run *minion_find_run(const struct minion *m, const char *task);

#endif
