/*
 * Starts a cell of real processes, applies a steady load and measures what
 * each process uses. Replicas are named r0, r1, ..., entries e0, e1, ...; the
 * workers are fakeworker processes with many workers each.
 */
#ifndef BENCH_CELL_H
#define BENCH_CELL_H

#include <jansson.h>

#include "base.h"

/* Size of a cell and the load applied to it. */
struct bench_load {
	int workers;
	int entries;
	int replicas;
	int running; /* long-running tasks; a fifth are services */
	int starts_per_s; /* task starts */
	int tasks_per_job; /* of the jobs submitted for starts_per_s */
	int teams;
	double config_changes_per_s;
	int worker_timeout_ms; /* closes idle connections of the workers too */
	int seconds; /* length of the measured part */
};

enum role { ROLE_LEADER, ROLE_FOLLOWER, ROLE_ENTRY, ROLE_COUNT };

/* Measured quantities of a process; all but Q_RSS_MB are per second. */
enum quantity {
	Q_CPU_MS,
	Q_RSS_MB,
	Q_IN_KB, /* with IP, TCP and HTTP headers */
	Q_OUT_KB, /* likewise */
	Q_FRAMES_KB, /* received and sent, from the process's own metrics */
	Q_PACKETS, /* received and sent */
	Q_SYNCS, /* of the log */
	Q_LOG_KB, /* written to the log */
	Q_COUNT
};

/* Mean and maximum over the processes of each role. */
struct costs {
	double mean[ROLE_COUNT][Q_COUNT];
	double max[ROLE_COUNT][Q_COUNT];
	double starts_per_s; /* measured task starts */
	char *wait_histograms; /* lines of the leader's metrics; g_free() */
};

struct bench_cell;

/* Starts the processes and waits until load->running tasks run. */
struct bench_cell *bench_cell_new(const struct bench_load *load);
void bench_cell_free(struct bench_cell *c);

/* Applies the load for load.seconds and returns the measured costs. */
struct costs bench_cell_run(struct bench_cell *c);

/* Changes the configuration; returns the ms until all processes have it. */
int64_t bench_cell_config_ms(struct bench_cell *c);

/*
 * Kills the leader and starts it again. Sets the times from the kill until
 * the next job is accepted and until its task has started.
 */
void bench_cell_fail_over(
    struct bench_cell *c, int64_t *accepted_ms, int64_t *started_ms);

/*
 * Kills a follower and starts it again; returns the time in ms until it
 * answers. Sets *bytes to the size of its log and snapshot files.
 */
int64_t bench_cell_restart(struct bench_cell *c, int64_t *bytes);

/* Submits n jobs of one 1 ms task and waits for the answers to all these
 * requests, not for the jobs to end. */
void bench_cell_run_jobs(struct bench_cell *c, int n);

#endif
