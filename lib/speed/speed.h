/*
 * Learnt speeds of workers, from the run times of the tasks that end there. A
 * worker's slowdown is the logarithm (base 2) of its run time multiplier
 * relative to the mean of all workers, in steps of 1 / SPEED_ONE. Part of a
 * replicated state machine: integers only, no clock, no I/O.
 */
#ifndef SPEED_H
#define SPEED_H

#include "base.h"

struct msgpack_packer;
struct reader; /* of codec.h */

#define SPEED_ONE 65536 /* a doubled run time */
#define SPEED_WORKERS_MAX 4096 /* addresses; the oldest is dropped */
#define SPEED_QUEUES_MAX 512

/* Work of the tasks of one step that have ended: the logarithms of their run
 * times less the slowdowns of their workers. */
struct speed_peers {
	int64_t sum;
	uint32_t count;
};

/* A run that ended as done. */
struct speed_run {
	const char *address; /* of its worker */
	const char *queue;
	int64_t declared_ms; /* the caller's estimate; 0: none */
	int64_t ran_ms;
	int64_t at_ms; /* when it ended, cell time */
};

struct speed {
	int64_t slowdown; /* 0: as the mean of all workers */
	uint32_t samples;
};

/* Run times of the tasks of a queue on a normal worker, as logarithms. */
struct speed_work {
	int64_t mean;
	int64_t deviation; /* mean absolute one */
	int64_t error_mean; /* of the run time less the declared one */
	int64_t error_deviation;
	uint32_t samples;
};

struct speed_table;

struct speed_table *speed_new(void);
void speed_free(struct speed_table *t);
void speed_clear(struct speed_table *t);
bool speed_is_empty(const struct speed_table *t);

/* Adds a run, also to the peers of its step. */
void speed_update(struct speed_table *t, const struct speed_run *run,
    struct speed_peers *peers);
/* Adds a gang: its members end together, as the slowest of its workers, whose
 * slowdown is given, lets them; the address is not used. */
void speed_add_gang(
    struct speed_table *t, const struct speed_run *run, int64_t slowdown);
/* Returns what was learnt of a queue; no samples: nothing. */
struct speed_work speed_work_of(const struct speed_table *t, const char *queue);
/* Returns the speed of the worker at an address; without samples it counts as
 * normal. */
struct speed speed_of(const struct speed_table *t, const char *address);
/* Drops what was last updated before a time. */
void speed_prune(struct speed_table *t, int64_t before_ms);

#define SPEED_FIELDS 3 /* elements that speed_put() adds to an array */
void speed_put(struct msgpack_packer *pk, const struct speed_table *t);
/* Replaces the table; sets r->ok. */
void speed_get(struct reader *r, struct speed_table *t);

/* Returns the logarithm of a value of at least 1, in steps of 1 / SPEED_ONE. */
int64_t speed_log2(int64_t value);

/* The slowdowns that a tenth of the workers is below, and above. */
struct speed_spread {
	int64_t fast;
	int64_t slow;
};

/* Sorts the slowdowns. */
struct speed_spread speed_spread(int64_t *slowdowns, guint count);

#endif
