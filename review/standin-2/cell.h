/*
 * A small deployment for the cases of this review: processes of the project,
 * run as the deploy file says, with stand-in workers, clients and an operator
 * in this process. The workers follow PROTOCOL.md: fence, lease, incarnation,
 * lists of runs and ends, long polls. All that is sent, answered and run is
 * written to a record.
 */
#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "../../lib/httpd/httpd.h"
#include "../../test/proc.h"

#define CELL_NODES_MAX 8

/* As on the sheet of a small deployment. */
#define CELL_LEASE_MAX_MS 6000
#define CELL_STOP_MS 200
#define CELL_HEARTBEAT_MS 1500
#define CELL_DRAIN_MS 2000

enum case_result { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

struct cell_node {
	char *name;
	char *ip;
	char *settings;
	char *data; /* NULL: no disk */
	char *front;
	char *ready;
	char *control;
	struct proc *proc;
};

/* A run on a worker. */
struct cell_run {
	char *task;
	int64_t number;
	int64_t started_ms;
	int64_t due_ms; /* when it ends as done */
	int64_t stop_ms; /* when a stop takes effect; 0: none */
	int64_t late_ms; /* carried out late: its order came at this time */
};

struct cell_worker;

/* An end on a worker, for the judge. */
struct cell_end {
	char *task;
	int64_t number;
	char *how;
	int worker;
	int64_t at_ms;
};

struct cell {
	struct event_base *base;
	struct event *tick;
	char *root; /* of the repository */
	char *dir; /* temporary */
	FILE *record;
	int64_t zero_ms;
	struct cell_node node[CELL_NODES_MAX];
	char *port[5]; /* by enum port */
	int nodes;
	int disks; /* the others have none */
	GPtrArray *workers; /* struct cell_worker */
	GArray *ends; /* struct cell_end, all since the start */
	int64_t cpu; /* of workers */
	int64_t task_ms; /* duration of tasks */
	bool broken; /* set by a judge, with a line in the record */
	/* Decides whether a start order gets no answer and is carried out
	 * after so many ms; 0: it is answered at once. NULL: always. */
	int64_t (*late)(struct cell_worker *w, const char *task, int64_t run);
	/* Called for each start that a worker has begun. */
	void (*started)(
	    struct cell_worker *w, const char *task, int64_t run, bool late);
};

struct cell_worker {
	struct cell *cell;
	int number;
	char *id;
	char *address;
	char *service;
	struct httpd *server; /* NULL: down */
	int64_t born_ms; /* wall time */
	int64_t clock_zero_ms; /* of its clock, on ours */
	int64_t seq;
	int64_t heartbeat_ms; /* when the last was sent */
	bool draining;
	int64_t drain_acked_ms; /* when that was acknowledged; 0: not yet */
	int64_t fence;
	int64_t lease_until_ms; /* on our clock */
	int64_t last_end;
	int64_t cpu;
	GArray *runs; /* struct cell_run */
	GPtrArray *listed; /* json_t rows of endedRuns */
	GHashTable *highest; /* task to highest run stopped or ended here */
	GPtrArray *polls; /* struct cell_poll that wait */
};

struct cell_conf {
	int nodes;
	int disks;
	int workers;
	const char *service; /* of the workers */
	int64_t cpu; /* of each, in thousandths of a core; 0: 32 cores */
	const char *config;
};

/*
 * The main function of a case: reads the arguments ROOT FOLDER, starts the
 * cell, stores the configuration, awaits that all nodes are ready, plays the
 * case, ends all processes and returns the exit status. play() returns false if
 * the case could not run.
 */
int cell_main(int argc, char **argv, const struct cell_conf *conf,
    bool (*play)(struct cell *c));

void cell_note(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Records that a rule is broken. */
void cell_break(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
void cell_run_for(struct cell *c, int64_t ms);
/* One call; returns the status, 0 without an answer. *answer: the body, to be
 * freed, if not NULL. */
int cell_call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *host, const char *path, const char *body, char **answer);
/* Sends a call and does not wait. */
void cell_post(
    struct cell *c, const char *address, const char *path, const char *body);
/* Repeats a POST at the nodes in turn as PROTOCOL.md says; true for 2xx. */
bool cell_submit(
    struct cell *c, const char *host, const char *path, const char *body);
/* The state that a GET returns; "" without one. Free it. */
char *cell_state(struct cell *c, const char *host, const char *path);

/* Finds a run of a task on another worker than w that is at work there. */
struct cell_worker *
cell_running_elsewhere(const struct cell_worker *w, const char *task);
/* Adds a worker of a service; it sends heartbeats from now on. */
struct cell_worker *cell_add_worker(struct cell *c, const char *service);
/* Ends a worker at once, with all that runs there. */
void cell_crash_worker(struct cell_worker *w);
/* Starts it again under the id and the address that it had. Its first heartbeat
 * comes after that time. */
void cell_revive_worker(struct cell_worker *w, int64_t heartbeat_in_ms);
/* How often a task has ended as done. */
int cell_done(const struct cell *c, const char *task);
/* Kills a process and doesn't start it again, as when its machine loses
 * power. */
void cell_kill_node(struct cell *c, int node);
/* Starts it again with the disk as it is. */
void cell_restart_node(struct cell *c, int node);
/* Empties the disk of a node that is down. */
void cell_wipe_disk(struct cell *c, int node);
/* Reads the configuration back at a node; returns the status. */
int cell_read_config(struct cell *c, int node, char **document);
bool cell_trouble(void); /* not TROUBLE=0 */
char *cell_log(const struct cell *c, int node);

#endif
