/* Seeded workloads for the placement benchmark: workers, teams and jobs. */
#ifndef SCHED_LOAD_H
#define SCHED_LOAD_H

#include "sched.h"

/* Parameters of a workload. */
struct load_spec {
	const char *name;
	uint32_t workers;
	uint32_t running; /* mean number of running tasks */
	double starts_per_s;
	int64_t duration_ms;
	double offered; /* load as a fraction of the capacity */
	uint32_t teams;
	uint32_t burst; /* extra short tasks that arrive within 1 s */
	uint64_t seed;
};

/* A job with its arrival (spec.submitted_ms) and actual run time. */
struct load_job {
	struct sched_job spec;
	uint32_t count;
	int64_t runtime_ms; /* actual; 0: until the replay ends (services) */
};

struct load {
	struct load_spec spec;
	GArray *workers; /* struct sched_worker */
	GArray *quotas; /* struct resources, by team */
	GArray *jobs; /* struct load_job by arrival; id is the index + 1 */
	struct resources total; /* capacity */
};

void load_make(struct load *load, const struct load_spec *spec);
void load_clear(struct load *load);

#endif
