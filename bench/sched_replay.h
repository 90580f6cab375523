/* Replays an input through one policy on a virtual clock. */
#ifndef SCHED_REPLAY_H
#define SCHED_REPLAY_H

#include "sched_load.h"

/* Sorted samples with a few quantiles. */
struct samples {
	GArray *values; /* double */
};

struct replay_result {
	struct samples round_us; /* processor time of sched_decide */
	struct samples wait_ms[KIND_COUNT]; /* without the urgent */
	struct samples urgent_ms;
	uint64_t placements;
	uint64_t rounds;
	double decide_s; /* processor time in all rounds */
	double packing; /* dominant resource used, mean over time */
	double cpu; /* millicpus used */
	double memory;
	double stranded; /* free capacity that no task can use */
	double shortfall; /* largest mean shortfall of a team's share */
	double lost_s; /* run time of stopped tasks */
	uint64_t stops;
	uint64_t throttles;
	uint64_t waiting; /* tasks at the end */
	double waiting_mean;
};

void samples_init(struct samples *s);
void samples_clear(struct samples *s);
void samples_add(struct samples *s, double value);
/* The value below which part q of the samples lie; 0 without samples. */
double samples_quantile(struct samples *s, double q);

void replay(const struct load *load, const struct sched_policy *policy,
    struct replay_result *result);
void replay_result_clear(struct replay_result *result);

#endif
