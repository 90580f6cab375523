/*
 * Child processes of a test. They are killed when the test program exits.
 */
#ifndef PROC_H
#define PROC_H

#include <stdio.h>
#include <sys/types.h>

#include "base.h"

#define AWAIT_MS 60000 /* limit of every wait; only a hang reaches it */
/* Runs an event loop, which has a timer, until the condition holds. */
#define AWAIT_ON_LOOP(base, condition)                      \
	do {                                                \
		int64_t end_ms = mono_ms() + AWAIT_MS;      \
		while (!(condition) && mono_ms() < end_ms)  \
			event_base_loop(base, EVLOOP_ONCE); \
		g_assert_true(condition);                   \
	} while (0)
#define POLL_US 20000 /* between two checks of a condition */

struct proc {
	char *name;
	char *log; /* path of the file for standard error */
	char *address; /* IP:PORT of its HTTP listener; NULL: none */
	char **argv;
	pid_t pid; /* 0: not running */
	int in; /* pipe to its standard input */
	FILE *out; /* its standard output; NULL: goes to the log */
	uint64_t file_max; /* file size limit in bytes; 0: none */
};

/* Returns the directory of the running test program. Free the result. */
char *programs_dir(void);

/*
 * Returns a loopback address derived from the process id, so that test
 * programs that run at the same time use different ones. Free the result.
 */
char *loopback_ip(void);

/* Returns IP:PORT with a free port. Free the result. */
char *free_address(const char *ip);

/* Appends a formatted argument. */
void add_arg(GPtrArray *argv, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Takes ownership of argv; the log is DIR/NAME.log. */
struct proc *proc_new(const char *name, const char *dir, GPtrArray *argv);

/*
 * Starts the process. With piped, its standard output is connected to p->out
 * and the first line must be "ready".
 */
void proc_start(struct proc *p, bool piped);

/* Writes a line to a piped process, which must answer "ok LINE". */
void proc_command(struct proc *p, const char *command);

/* Waits for the exit and returns the wait status; -1 after AWAIT_MS. */
int proc_wait(struct proc *p);

/* Says whether the process has exited, and sets the wait status if so. */
bool proc_ended(struct proc *p, int *status);

/* Kills the process if it is running; takes a struct proc. */
void proc_free(void *arg);

/* Removes a directory and its contents, or a file. */
void remove_tree(const char *path);

#endif
