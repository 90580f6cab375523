/*
 * Replays a load on simulated workers with a choice of rules for order,
 * admission and preemption, and sums the cost to callers. The decisions are
 * those of lib/plan, lib/cost and lib/admit; time advances in fixed steps.
 */
#ifndef OVERLOAD_REPLAY_H
#define OVERLOAD_REPLAY_H

#include "admit.h"
#include "plan.h"

/* Work that arrives at a rate. */
struct replay_class {
	uint32_t priority;
	uint32_t tasks;
	uint32_t entitled_permille; /* 0: all */
	bool gang;
	bool checkpointing; /* once a second */
	int64_t millicpus; /* per task */
	int64_t memory_mb;
	int64_t runtime_ms;
	double slack_factor;
	int64_t target_ms;
	double per_s; /* arrivals per second ... */
	int64_t from_ms; /* ... in this time */
	int64_t until_ms;
	double wave; /* amplitude of the rate, with a period of 20 s */
};

struct replay_load {
	const char *name;
	uint32_t workers; /* of 64 cores and 256 GB */
	uint32_t lost_workers; /* that give no room in the middle third */
	int64_t until_ms; /* end of the arrivals */
	const struct replay_class *classes;
	guint class_count;
	uint64_t seed;
};

enum replay_preemption {
	REPLAY_STOPS_NONE,
	REPLAY_STOPS_SPARE,
	REPLAY_STOPS_COST
};

/* Rules to compare. */
struct replay_rules {
	const char *name;
	int (*compare)(const struct plan_pending *a,
	    const struct plan_pending *b, int64_t now_ms);
	bool refuse;
	enum replay_preemption preemption;
};

struct replay_result {
	int64_t cost; /* to callers, in units of COST_UNIT / 1000 */
	int64_t value; /* of all jobs, in the same unit */
	uint32_t jobs;
	uint32_t in_time;
	uint32_t late; /* but of use */
	uint32_t useless; /* accepted, and ended too late */
	uint32_t given_up; /* never accepted */
	uint32_t refusals;
	uint32_t stops;
	uint32_t most_stops; /* of one task */
	uint32_t unfinished; /* accepted, and not ended long after the load */
	int64_t longest_wait_ms; /* from the acceptance of a job to its end */
	uint32_t refusals_with_room;
	uint32_t priority_in_time[3];
	uint32_t priority_jobs[3];
};

enum replay_rules_kind {
	REPLAY_FIRST_COME,
	REPLAY_DEADLINE,
	REPLAY_PRIORITY,
	REPLAY_WORTH,
	REPLAY_NO_REFUSAL,
	REPLAY_NO_PREEMPTION,
	REPLAY_BEFORE,
	REPLAY_YIELD,
	REPLAY_RULES_COUNT
};

extern const struct replay_rules replay_rules[REPLAY_RULES_COUNT];

enum replay_load_kind {
	REPLAY_BURST,
	REPLAY_BEHIND_SMALL,
	REPLAY_SPIKE,
	REPLAY_LOST,
	REPLAY_WAVE,
	REPLAY_HEAVY,
	REPLAY_TWICE,
	REPLAY_LOAD_COUNT
};

/* overload_loads.c */
extern const struct replay_load replay_loads[REPLAY_LOAD_COUNT];
void replay_loads_init(void); /* completes them; to be called once */

struct replay_result
replay_run(const struct replay_load *load, const struct replay_rules *rules);

#endif
