/*
 * A cell of real processes that discover each other through seeds. Each has
 * its own loopback address. Stand-in workers run in the test's process, and a
 * proxy is in front of each process and worker. The workers refuse orders with
 * a lower fence and fail the test if a task runs on two of them, starts again
 * after it has ended as done, starts too often after it has crashed workers, or
 * brings a worker over its capacity. A worker crashes under a deadly task and
 * returns under another name. Each incarnation has a clock of its own.
 */
#ifndef STEPCELL_H
#define STEPCELL_H

#include <event2/event.h>
#include <event2/http.h>

#include "proc.h"

#define NODES 4
#define DISKS 3 /* the last node has no disk */
#define WORKERS 3
#define WORKER_MILLICPUS 3000
#define TASK_MS 300 /* run time of a task */
#define LONG_TASK_MS 4000 /* and of one of a long job */
/* A worker that has crashed returns after 0.2 s to 3 s. */
#define WORKER_DOWN_MIN_MS 200
#define WORKER_DOWN_EXTRA_MS 2800
/* A task may be started twice more after three workers have crashed under it.
 */
#define DEADLY_STARTS_MAX 5
/* Starts may fill a worker as before it shrank for this time: contact time of
 * the platform, and one heartbeat. */
#define CAPACITY_GRACE_MS 3500
#define AWAIT_LIMIT_MS 60000 /* fails a hung test; no speed requirement */

struct cell_node {
	char *ip;
	char *settings;
	char *data; /* NULL: no disk */
	char *callers;
	char *control;
	char *metrics;
	char *listen; /* for peers, behind the proxy */
	struct http_peer *caller_conn; /* kept open between calls */
	uint64_t file_max; /* file size limit of its next start; 0: none */
	struct proc *proc; /* NULL: not running */
};

struct cell_worker;

struct cell {
	struct event_base *base;
	char *dir;
	struct proc *proxy; /* in front of each process and worker */
	struct cell_node node[NODES];
	struct cell_worker *worker[WORKERS];
	GHashTable *done; /* task name to number of ends as done */
	/* Names of done tasks that may run once more: a lease lapsed before
	 * their end was acknowledged. */
	GHashTable *excused;
	GHashTable *deadly; /* name of a deadly task to number of starts */
	/* Paths of jobs with a task under which two workers have crashed: they
	 * may be given up. */
	GHashTable *may_fail;
	GHashTable *crashed_under; /* name of a task to number of crashes */
	int crashes; /* of workers */
	struct rng rng; /* how long workers are down */
	int64_t heartbeat_ms; /* time of the last heartbeats */
	int status; /* of the last answer */
	char *body;
	char *location; /* header of the last answer; "": none */
	struct http_peer *peer; /* of the call in progress; NULL: none */
	bool peer_kept; /* peer is a caller_conn */
	bool answered;
	const char *key; /* of the calls from now on; NULL: none */
	int grace_s; /* of graceful stops */
	const char *policy; /* address of the policy service; NULL: none */
};

/* A task under which so many workers have crashed may be given up. */
#define CRASHES_GIVEN_UP 2

/* The configuration that cell_new() stores. */
extern const char cell_config[];

struct cell *cell_new(void);
/* The same with other settings: the grace period of stops, in seconds, and the
 * address of the policy service; NULL: none. The address must stay valid. */
struct cell *cell_new_with(int grace_s, const char *policy);
void cell_free(struct cell *c);

/* Runs the event loop for 10 ms and sends due heartbeats of the workers. */
void cell_run_loop(struct cell *c);

/* Calls a process and returns the HTTP status of the answer; 0: no answer. */
int cell_call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body);

/* The same in two parts, for one call at a time. */
void cell_send(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body);
int cell_await_answer(struct cell *c);

/* Stores a configuration at a node's control address; the HTTP status. */
int cell_configure(struct cell *c, int node, const char *config);

/* A configuration with so many queues. Free the result. */
char *cell_make_config(int version, int queues);

/* The log of a node so far. Free the result. */
char *cell_read_log(const struct cell *c, int node);

/* Writes the settings of a node and runs its program. */
void cell_start_node(struct cell *c, int node, bool first);
/* Runs the program of a node with the settings that are there. */
void cell_run_program(struct cell *c, int node);
/* Runs the program of a node, which waits for its settings: returns the file
 * that cell_release_start() writes them to. */
int cell_start_held(struct cell *c, int node, char **settings);
void cell_release_start(struct cell *c, int node, int fd, char *settings);
/* Writes the settings file of a node; its seeds are node 0 and node seed. */
void cell_write_settings(struct cell *c, int node, bool first, int seed);
/* Sends a command to the proxy: n0 to n3 are processes, w0 to w2 workers. */
void
cell_proxy_command(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Crashes a worker, which returns under its name after down_ms. */
void cell_restart_worker(struct cell *c, int worker, int64_t down_ms);
void cell_kill_node(struct cell *c, int node);
/* Empties the disk of a node that is not running. */
void cell_wipe_disk(struct cell *c, int node);
/* Says whether a node's process has ended, and sets its wait status. */
bool cell_node_ended(struct cell *c, int node, int *status);
bool cell_node_ready(struct cell *c, int node);
/* Reports whether a node answers, be it ready or not. */
bool cell_node_answers(struct cell *c, int node);
/* Prints the state of each process and the end of its log. */
void cell_print_logs(struct cell *c);
/* Prints the condition and the logs and aborts. */
G_NORETURN void cell_await_failed(
    struct cell *c, const char *condition, const char *file, int line);

/* The body that submits a job: tasks of the spec "w" take TASK_MS, of "long"
 * LONG_TASK_MS, of "deadly" crash their workers. Free the result. */
char *cell_job_body(const char *spec);
/* Submits a job: a step of two tasks, then one of one; true if accepted. */
bool cell_submit(struct cell *c, int node, const char *path);
/* Submits a job with two tasks that crash the workers that start them. */
bool cell_submit_deadly(struct cell *c, int node, const char *path);
/* Submits a job whose tasks take LONG_TASK_MS. */
bool cell_submit_long(struct cell *c, int node, const char *path);
/* Changes what a worker reports as its capacity. */
void cell_set_millicpus(struct cell *c, int worker, int64_t millicpus);
bool
cell_state_is(struct cell *c, int node, const char *path, const char *state);

/* Asserts that this number of tasks has ended as done, each exactly once. */
void cell_assert_done_once(struct cell *c, guint tasks);

#define CELL_AWAIT(c, condition)                                        \
	do {                                                            \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;             \
                                                                        \
		while (!(condition)) {                                  \
			if (mono_ms() >= limit)                         \
				cell_await_failed(                      \
				    c, #condition, __FILE__, __LINE__); \
			cell_run_loop(c);                               \
		}                                                       \
	} while (0)

#endif
