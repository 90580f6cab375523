#include <math.h>

#include "sched_load.h"

#define GIB (1LL << 30)
#define CORE 1000LL /* millicpus */
#define SIZES_PER_TEAM 3
#define BURST_RUNTIME_MS 1000
#define BURST_DIVISOR 2 /* the burst arrives at duration / BURST_DIVISOR */

/* Task sizes before scaling to the offered load. */
static const struct {
	int64_t cores;
	int64_t gib;
} sizes[] = { { 2, 4 }, { 4, 4 }, { 8, 8 }, { 16, 8 }, { 4, 16 }, { 2, 24 },
	{ 8, 32 }, { 1, 32 }, { 12, 24 }, { 6, 12 }, { 24, 16 }, { 16, 64 } };

static double
uniform(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / (double)(1ULL << 53);
}

static double
exponential(struct rng *rng, double mean)
{
	return -mean * log(1 - uniform(rng));
}

/* A log-normal factor with median 1; deviation is that of its logarithm. */
static double
lognormal(struct rng *rng, double deviation)
{
	double u = 1 - uniform(rng);
	double v = uniform(rng);

	return exp(deviation * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

/* Models the workers of two users: half have 64 cores, half 32; one in ten has
 * accelerators. */
static void
make_workers(struct load *load)
{
	for (uint32_t i = 0; i < load->spec.workers; i++) {
		bool wide = i % 2 == 0;
		struct sched_worker w = {
			.id = i,
			.capacity = { (wide ? 64 : 32) * CORE, 128 * GIB,
			    i % 10 == 9 ? 4 : 0 },
			.slots = 8,
			.rack = i / 7,
			.data_center = i / 7 % 6,
		};

		resources_add(&load->total, &w.capacity, 1);
		g_array_append_val(load->workers, w);
	}
}

/* Quotas decrease with the team's number and add up to the capacity. */
static void
make_teams(struct load *load)
{
	double sum = 0;

	for (uint32_t i = 0; i < load->spec.teams; i++)
		sum += 1 / sqrt(i + 1);
	for (uint32_t i = 0; i < load->spec.teams; i++) {
		double part = 1 / sqrt(i + 1) / sum;
		struct resources quota = {
			(int64_t)((double)load->total.millicpus * part),
			(int64_t)((double)load->total.memory * part),
			0,
		};

		g_array_append_val(load->quotas, quota);
	}
}

/* The factor on task sizes at which running tasks use the offered load. */
static double
size_factor(const struct load *load)
{
	double cores = 0;
	double gib = 0;
	double tasks = load->spec.running;

	for (unsigned i = 0; i < G_N_ELEMENTS(sizes); i++) {
		cores += (double)sizes[i].cores / G_N_ELEMENTS(sizes);
		gib += (double)sizes[i].gib / G_N_ELEMENTS(sizes);
	}
	return load->spec.offered /
	    MAX(tasks * cores * CORE / (double)load->total.millicpus,
		tasks * gib * GIB / (double)load->total.memory);
}

static struct resources
size_of(uint32_t team, uint32_t variant, double factor)
{
	unsigned i = (team * 5 + variant * 7) % G_N_ELEMENTS(sizes);
	double cores = MAX((double)sizes[i].cores * factor, 0.25);
	double gib = MAX((double)sizes[i].gib * factor, 0.25);

	return (struct resources){
		.millicpus = (int64_t)(cores * 4) * CORE / 4,
		.memory = (int64_t)(gib * 4) * GIB / 4,
	};
}

static void
add_job(struct load *load, struct load_job *job)
{
	job->spec.id = load->jobs->len + 1;
	g_array_append_val(load->jobs, *job);
}

/* A fifth of the running tasks are services, submitted at the start. */
static void
make_services(struct load *load, struct rng *rng, double factor)
{
	uint32_t left = load->spec.running / 5;

	while (left > 0) {
		uint32_t team = (uint32_t)rng_below(rng, load->spec.teams);
		uint32_t most = 2 + (uint32_t)rng_below(rng, 7);
		uint32_t count = MIN(left, most);
		struct load_job job = {
			.spec = {
				.team = team,
				.kind = KIND_SERVICE,
				.spread = rng_below(rng, 2) == 0 ?
				    SPREAD_RACK :
				    SPREAD_DATA_CENTER,
				.idempotent = true,
				.resources = size_of(team, 0, factor),
				.name_hash = team,
			},
			.count = count,
		};

		left -= count;
		add_job(load, &job);
	}
}

/* A batch job, gang or short-lived service with random size and run time. */
static struct load_job
make_batch(struct load *load, struct rng *rng, double factor, double mean_ms)
{
	/* Teams with larger quotas submit more. */
	double u = uniform(rng);
	uint32_t team = (uint32_t)(u * u * load->spec.teams);
	uint32_t variant = (uint32_t)rng_below(rng, SIZES_PER_TEAM);
	bool gang = rng_below(rng, 100) == 0;
	bool service = !gang && rng_below(rng, 200) == 0;
	bool urgent = !gang && !service && rng_below(rng, 10) == 0;
	/* exp(0.32) is the mean of lognormal(rng, 0.8). */
	double runtime = mean_ms * lognormal(rng, 0.8) / exp(0.32);
	struct load_job job = {
		.spec = {
			.team = team,
			.kind = gang ? KIND_GANG :
			    service  ? KIND_SERVICE :
				       KIND_BATCH,
			.spread = service ? SPREAD_DATA_CENTER : SPREAD_NONE,
			.urgent = urgent,
			.idempotent = rng_below(rng, 4) != 0,
			.resources = size_of(team, variant, factor),
			.name_hash = (uint64_t)team << 8 | variant,
		},
		.count = gang ? 4 + (uint32_t)rng_below(rng, 13) :
		    urgent    ? 1 :
				1 + (uint32_t)rng_below(rng, 4),
		.runtime_ms = MAX((int64_t)runtime, 100),
	};

	if (variant == 2 && rng_below(rng, 12) == 0)
		job.spec.resources.accelerators = 1;
	/* Declared run times are often far from the actual ones; one in five
	 * is missing. */
	if (rng_below(rng, 5) != 0)
		job.spec.runtime_ms =
		    (int64_t)((double)job.runtime_ms * lognormal(rng, 0.7));
	return job;
}

static void
make_burst(struct load *load, struct rng *rng, int64_t at_ms)
{
	for (uint32_t i = 0; i < load->spec.burst; i++) {
		struct load_job job = {
			.spec = {
				.team = (uint32_t)rng_below(
				    rng, load->spec.teams),
				.kind = KIND_BATCH,
				.idempotent = true,
				.resources = { 500, GIB / 2, 0 },
				.runtime_ms = BURST_RUNTIME_MS,
				.submitted_ms = at_ms +
				    1000 * (int64_t)i / load->spec.burst,
			},
			.count = 1,
			.runtime_ms = BURST_RUNTIME_MS,
		};

		add_job(load, &job);
	}
}

static gint
by_arrival(gconstpointer a, gconstpointer b)
{
	const struct load_job *x = a;
	const struct load_job *y = b;

	if (x->spec.submitted_ms != y->spec.submitted_ms)
		return x->spec.submitted_ms < y->spec.submitted_ms ? -1 : 1;
	return x->spec.id < y->spec.id ? -1 : 1;
}

void
load_make(struct load *load, const struct load_spec *spec)
{
	struct rng rng = { spec->seed };
	/* 0.8 of the running tasks are not services. */
	double mean_ms = 1000 * 0.8 * spec->running / spec->starts_per_s;
	double at_ms = 0;
	double factor;
	double tasks_per_job = 0;

	*load = (struct load){ .spec = *spec };
	load->workers = g_array_new(FALSE, FALSE, sizeof(struct sched_worker));
	load->quotas = g_array_new(FALSE, FALSE, sizeof(struct resources));
	load->jobs = g_array_new(FALSE, FALSE, sizeof(struct load_job));
	make_workers(load);
	make_teams(load);
	factor = size_factor(load);
	make_services(load, &rng, factor);
	/* Mean tasks of a job: gangs 10, urgent jobs 1, other jobs 2.5. */
	tasks_per_job = 0.01 * 10 + 0.99 * (0.1 * 1 + 0.9 * 2.5);
	while (at_ms < (double)spec->duration_ms) {
		struct load_job job = make_batch(load, &rng, factor, mean_ms);

		at_ms += exponential(
		    &rng, 1000 * tasks_per_job / spec->starts_per_s);
		job.spec.submitted_ms = (int64_t)at_ms;
		add_job(load, &job);
	}
	make_burst(load, &rng, spec->duration_ms / BURST_DIVISOR);
	g_array_sort(load->jobs, by_arrival);
	for (guint i = 0; i < load->jobs->len; i++)
		g_array_index(load->jobs, struct load_job, i).spec.id = i + 1;
}

void
load_clear(struct load *load)
{
	g_array_unref(load->workers);
	g_array_unref(load->quotas);
	g_array_unref(load->jobs);
}
