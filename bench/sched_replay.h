/* Replays a workload with one placement policy on a virtual clock. */
#ifndef SCHED_REPLAY_H
#define SCHED_REPLAY_H

#include "sched_load.h"

/* Samples of a measurement, for quantiles. */
struct samples {
	GArray *values; /* double */
};

struct replay_result {
	struct samples round_us; /* CPU time of sched_decide() */
	struct samples wait_ms[KIND_COUNT]; /* without urgent jobs */
	struct samples urgent_ms; /* waits of urgent jobs */
	uint64_t placements;
	uint64_t rounds;
	double decide_s; /* CPU time of all rounds */
	/* Means over time, as fractions of the capacity: */
	double packing; /* dominant resource in use */
	double cpu; /* millicpus in use */
	double memory; /* memory in use */
	double stranded; /* free capacity that no task can use */
	double shortfall; /* of the worst team, as a fraction of its quota */
	double lost_s; /* run time lost by stopped tasks */
	uint64_t stops;
	uint64_t throttles;
	uint64_t waiting; /* tasks at the end */
	double waiting_mean; /* mean number of waiting tasks */
};

void samples_init(struct samples *s);
void samples_clear(struct samples *s);
void samples_add(struct samples *s, double value);
/* The q-quantile, q from 0 to 1; 0 without samples. */
double samples_quantile(struct samples *s, double q);

void replay(const struct load *load, const struct sched_policy *policy,
    struct replay_result *result);
void replay_result_clear(struct replay_result *result);

#endif
