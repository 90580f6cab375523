/* Seeded inputs for the placement benchmark: workers, teams and arrivals. */
#ifndef SCHED_LOAD_H
#define SCHED_LOAD_H

#include "sched.h"

/* The size and mixture of an input. */
struct load_spec {
	const char *name;
	uint32_t workers;
	uint32_t running; /* tasks at the offered load */
	double starts_per_s;
	int64_t duration_ms;
	double offered; /* part of the capacity that the load asks for */
	uint32_t teams;
	uint32_t burst; /* short tasks that arrive within one second */
	uint64_t seed;
};

/* A job, when it arrives and how long its tasks really run. */
struct load_job {
	struct sched_job spec;
	uint32_t count;
	int64_t runtime_ms; /* 0: runs to the end (services) */
};

struct load {
	struct load_spec spec;
	GArray *workers; /* struct sched_worker */
	GArray *quotas; /* struct resources, by team */
	GArray *jobs; /* struct load_job by arrival; id is the index + 1 */
	struct resources total;
};

void load_make(struct load *load, const struct load_spec *spec);
void load_clear(struct load *load);

#endif
