/*
 * A cell of real processes that find each other through seeds, on loopback
 * addresses of their own, with stand-in workers in the test's process and a
 * proxy before each of them. The workers check what must hold: no task on two
 * of them, no order of a lower fence, nothing run again that has ended as done.
 */
#ifndef STEPCELL_H
#define STEPCELL_H

#include <event2/event.h>
#include <event2/http.h>

#include "proc.h"

#define NODES 4
#define DISKS 3 /* the last node has none */
#define WORKERS 3
#define WORK_MS 300 /* a task runs so long */
#define AWAIT_LIMIT_MS 60000 /* a fault, not a speed */

struct cell_node {
	char *ip;
	char *settings;
	char *data; /* NULL: no disk */
	char *callers;
	char *control;
	char *listen; /* for peers, behind the proxy */
	struct http_peer *kept; /* callers' open connection */
	uint64_t file_max; /* of its next start: its disk is full then */
	struct proc *proc; /* NULL: it does not run */
};

struct cell_worker;

struct cell {
	struct event_base *base;
	char *dir;
	struct proc *proxy; /* before each process and worker */
	struct cell_node node[NODES];
	struct cell_worker *worker[WORKERS];
	GHashTable *done; /* task to how often it has ended as done */
	int64_t beat_ms;
	int status; /* of the last answer */
	char *body;
	bool answered;
};

/* The configuration that cell_new() puts in force. */
extern const char cell_config[];

struct cell *cell_new(void);
void cell_free(struct cell *c);

/* Runs the loop for a moment; the workers speak of themselves meanwhile. */
void cell_turn(struct cell *c);

/* Calls a process and waits for the answer; 0: none came. */
int cell_call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body);

void cell_start(struct cell *c, int node, bool first);
/* Writes the settings file of a node; its seeds are the first and this one. */
void cell_configure(struct cell *c, int node, bool first, int seed);
/* Commands the proxy: pairs n0 to n3 lead to processes, w0 to w2 to workers. */
void cell_fault(struct cell *c, const char *format, ...) G_GNUC_PRINTF(2, 3);
void cell_kill(struct cell *c, int node);
void cell_wipe(struct cell *c, int node); /* its disk; it does not run */
bool cell_ready(struct cell *c, int node);

/* Hands in a job of two tasks and one after them. */
bool cell_accepted(struct cell *c, int node, const char *path);
bool
cell_state_is(struct cell *c, int node, const char *path, const char *state);

/* Every one of so many tasks has ended as done exactly once. */
void cell_assert_once(struct cell *c, guint tasks);

#define CELL_AWAIT(c, condition)                              \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			cell_turn(c);                         \
		}                                             \
	} while (0)

#endif
