/*
 * A cell of real processes under a steady load: replicas r0.., entries e0..,
 * and stand-in workers, many to a process.
 */
#ifndef BENCH_CELL_H
#define BENCH_CELL_H

#include <jansson.h>

#include "base.h"

struct load {
	int workers;
	int entries;
	int replicas;
	int running; /* tasks that run throughout; a fifth are services */
	int starts; /* a second */
	int tasks; /* of each job that is submitted */
	int teams;
	double config_changes; /* a second */
	int answer_ms; /* of the stand-ins; their connections close after it */
	int seconds;
};

enum role { ROLE_LEADER, ROLE_FOLLOWER, ROLE_ENTRY, ROLE_COUNT };

enum quantity {
	Q_CPU_MS, /* a second */
	Q_RSS_MB,
	Q_IN_KB, /* a second, with all headers */
	Q_OUT_KB,
	Q_FRAMES_KB, /* a second, both ways, by the process's own count */
	Q_PACKETS, /* a second, both ways */
	Q_SYNCS, /* a second */
	Q_LOG_KB, /* a second */
	Q_COUNT
};

/* Means over the processes of a role, and the largest one. */
struct costs {
	double mean[ROLE_COUNT][Q_COUNT];
	double most[ROLE_COUNT][Q_COUNT];
	double starts; /* a second, as counted */
	char *waits; /* lines of the leader's wait histograms */
};

struct bench_cell;

/* Starts all and waits until the tasks run. */
struct bench_cell *bench_cell_new(const struct load *load);
void bench_cell_free(struct bench_cell *c);

/* Applies the load for its seconds and tells what it cost. */
struct costs bench_cell_run(struct bench_cell *c);

/* Time from a configuration's sending until all processes have it. */
int64_t bench_cell_config_ms(struct bench_cell *c);

/* Kills the leader; times to the next accepted job and its first start. */
void bench_cell_fail_over(
    struct bench_cell *c, int64_t *accepted_ms, int64_t *started_ms);

/*
 * Kills a follower and starts it again; returns the time until it answers.
 * *bytes: size of its log and snapshot files.
 */
int64_t bench_cell_restart(struct bench_cell *c, int64_t *bytes);

/* Submits n jobs of one task each, which end at once, and awaits the last. */
void bench_cell_fill(struct bench_cell *c, int n);

#endif
