/*
 * A small deployment for the cases: the daemon's processes, started with the
 * command and the settings template of the deploy file, and stand-ins for
 * minions and clients in this process. All addresses are loopback addresses.
 */
#ifndef REVIEW_CELL_H
#define REVIEW_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include <sys/types.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#define CELL_DISKS 3 /* processes with a disk */
#define CELL_NODES 6
#define CELL_MINIONS_MAX 48
#define CELL_SERVICE "template-forge"
#define CELL_HOST "jobs.example"
#define CELL_PREFIX "/proofs/"

/* Bounds of a small deployment, as the pages give them. */
#define MAX_HOLD_MS 6000
#define DRAIN_MS 2000
#define CANCEL_MS 3000
#define VISIBLE_MS 3000
#define FINISH_S 14
#define LIST_MAX 500 /* ended runs in one answer of a minion */

struct node {
	char *ip;
	char *settings;
	char *data; /* NULL: no disk */
	char *log;
	char *front;
	char *control;
	char *ready;
	char *metrics;
	pid_t pid; /* 0: not running */
	bool stopped; /* by SIGSTOP */
	int own_ends; /* how often it has ended without a signal of ours */
	int64_t restart_ms; /* 0: it is not to be restarted */
};

struct run {
	char *task;
	int64_t number;
	int64_t due_ms;
	int64_t fails_ms; /* 0: it doesn't */
};

struct end {
	int64_t number; /* N in the list of ended runs */
	char *task;
	int64_t run;
	const char *how;
};

struct cell;

struct minion {
	struct cell *cell;
	char *id;
	char *address;
	const char *kind;
	char *rack;
	int64_t cpu;
	int64_t mem_mb;
	int64_t born;
	int64_t seq;
	int64_t next_beat_ms;
	int beat_node; /* the next process that gets a heartbeat */
	bool up;
	bool cut; /* no byte gets through to it, or from it */
	bool draining;
	bool drain_acked;
	int64_t drain_ms; /* when it has begun to drain; 0: it hasn't */
	size_t checkpoint_len;
	struct evhttp *server;
	int64_t fence;
	int64_t clock_base_ms;
	int64_t lease_until_ms; /* on its clock */
	int64_t last_end;
	int64_t acked;
	GPtrArray *runs; /* struct run */
	GPtrArray *ends; /* struct end, not acknowledged */
	GHashTable *highest; /* task to highest run that ended or was stopped */
	struct evhttp_request *poll; /* waits for an end */
	int64_t poll_due_ms;
};

/* What minions have seen of a task. */
struct task_seen {
	int starts;
	int running; /* now */
	int64_t done_ms; /* of the first end done; 0: none */
	bool done_acked; /* that end was taken note of */
	int starts_after_done;
	int64_t first_start_ms;
	int64_t last_start_ms;
	bool overlapped; /* two runs at the same time */
};

struct cell {
	struct event_base *base;
	char *dir;
	FILE *record;
	int64_t begin_ms;
	bool trouble;
	unsigned octet; /* third octet of all addresses */
	struct node node[CELL_NODES];
	struct minion *minion[CELL_MINIONS_MAX];
	int minions;
	GHashTable *tasks; /* task to struct task_seen */
	struct event *timer;
	bool beats; /* minions send heartbeats */
	int ends_in_list_max;
};

int64_t now_ms(void);
void note(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Exits with status 2: the case could not run. */
G_NORETURN void give_up(struct cell *c, const char *why);

/* Reads --record FILE and --trouble 0|1. */
struct cell *cell_new(int argc, char **argv);
/* Starts processes and minions, sends the first configuration and waits until
 * jobs can be served. */
void cell_start(struct cell *c);
/* Ends all processes; returns the exit status. */
int cell_finish(struct cell *c, bool broken);
void cell_run(struct cell *c, int64_t ms);

struct minion *
minion_add(struct cell *c, const char *kind, int64_t cpu, int64_t mem_mb);
/* Starts it, or starts it again under the id that it had. */
void minion_start(struct minion *m);
/* Its planned end. */
void minion_stop(struct minion *m);
/* Bytes that are sent while it is cut off are lost. */
void minion_cut(struct minion *m, bool cut);
int minion_running(const struct minion *m);

void node_signal(struct cell *c, int i, int signal);
/* Kills a process and empties its disk; it is started again after a time. */
void node_wipe(struct cell *c, int i, int64_t down_ms);
/* Starts all processes for the first time. */
void cell_start_nodes(struct cell *c);
/* Sends the first configuration once; returns the status. */
int cell_configure(struct cell *c, int node);
/* The process that says it leads, by its own metrics; -1: none. */
int cell_leader(struct cell *c);
struct task_seen *task_seen(struct cell *c, const char *task);

/* A call and its answer. */
struct answer {
	bool done;
	int status; /* 0: no answer */
	char *body;
	int64_t sent_ms;
	int64_t answered_ms;
};

typedef void answer_fn(struct answer *a, void *arg);

/* Sends a call on a connection of its own; fn may be NULL. Free the answer with
 * answer_free() once it is done. */
struct answer *call_send(struct cell *c, const char *address,
    enum evhttp_cmd_type method, const char *path, const char *body,
    int timeout_ms, answer_fn *fn, void *arg);
/* The same, and waits for the answer; returns the status. body_out may be NULL;
 * free it. */
int call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body, int timeout_ms, char **body_out);
void answer_free(struct answer *a);

/* Asks for the state of a job at any process that runs; "": no answer, "410":
 * not known. Free the result. */
char *job_state(struct cell *c, const char *id);

#endif
