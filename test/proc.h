/*
 * Child processes of a test: started by their arguments, stopped by their
 * id, ended with the test program at the latest.
 */
#ifndef PROC_H
#define PROC_H

#include <stdio.h>
#include <sys/types.h>

#include "base.h"

#define AWAIT_MS 60000 /* bound of every wait; a fault, not a speed */
#define POLL_US 20000

struct proc {
	char *name;
	char *log; /* file for standard error */
	char *address; /* of its HTTP listener; NULL: none */
	char **argv;
	pid_t pid; /* 0: not running */
	int in; /* its standard input */
	FILE *out; /* its standard output; NULL: goes to the log */
	uint64_t file_max; /* bytes; its files can't grow beyond; 0: any */
};

/* The folder of the running test program. */
char *programs_dir(void);

/* A loopback address that no other running test program uses. */
char *loopback_ip(void);

/* IP:PORT with a free port. */
char *free_address(const char *ip);

void add_arg(GPtrArray *argv, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Takes argv over; the log goes to the folder. */
struct proc *proc_new(const char *name, const char *dir, GPtrArray *argv);

/* Starts it; one whose output is piped must say "ready" first. */
void proc_start(struct proc *p, bool piped);

/* Gives a piped one a command, a line that it answers with "ok" and the line.
 */
void proc_command(struct proc *p, const char *command);

/* Waits for its end and returns the wait status. */
int proc_wait(struct proc *p);

/* Also kills it if it runs. */
void proc_free(void *arg);

/* Removes a folder and all in it. */
void remove_tree(const char *path);

#endif
