/*
 * Replays load on one set of workers for tests of lib/share: organisations of
 * unequal size send jobs of one step each, at random times; rounds place their
 * tasks in the order of lib/plan and lib/share.
 */
#ifndef SHARE_REPLAY_H
#define SHARE_REPLAY_H

#include "share.h"

#define REPLAY_ORGANISATIONS 21 /* the first one sends the rush */

struct replay_conf {
	uint64_t seed;
	int64_t millicpus; /* of the workers together */
	double usual; /* load of all organisations, as a share of millicpus */
	double rush; /* factor of the load of organisation 0 */
	int64_t duration_ms;
	bool shares; /* false: the order of lib/plan alone */
	bool admission; /* jobs beyond the weight are refused */
	struct resources cap; /* of each organisation */
};

struct replay_result {
	uint32_t sent[REPLAY_ORGANISATIONS];
	uint32_t refused[REPLAY_ORGANISATIONS];
	uint32_t in_time[REPLAY_ORGANISATIONS];
	uint32_t unfinished; /* when all load had ended for long enough */
	int64_t longest_wait_ms; /* of a task, within its entitlement or not */
	bool cap_exceeded;
	double idle_share; /* of the time, while tasks that fit were waiting */
};

struct replay_result replay_run(const struct replay_conf *conf);

/* In time of all jobs that the organisations from first on sent. */
double replay_in_time(const struct replay_result *r, int first);

#endif
