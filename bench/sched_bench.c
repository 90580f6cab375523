/*
 * Benchmark of placement decisions without a cluster: compares the policies in
 * use with first fit, best fit and round robin on the same seeded workloads.
 *
 * usage: sched_bench [-p POLICY] [-n RUNS] [SCENARIO...]
 * Prints the means over RUNS seeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sched_replay.h"

#define GIB (1LL << 30)
#define CORE 1000LL /* millicpus */
#define GROWTH_ROUNDS 2000
#define SEED_STEP 10 /* between the seeds of runs */

static const struct load_spec scenarios[] = {
	{ "today", 50, 300, 9, 1800000, 0.85, 15, 0, 1 },
	{ "target", 430, 2600, 76, 300000, 0.85, 130, 0, 2 },
	{ "busy", 430, 2600, 76, 300000, 1.00, 130, 0, 7 },
	{ "full", 430, 2600, 76, 300000, 1.10, 130, 0, 3 },
	{ "burst", 430, 1300, 38, 120000, 0.45, 130, 6000, 4 },
	{ "tenfold", 4300, 26000, 760, 150000, 0.85, 1300, 0, 5 },
	{ "tenfold-full", 4300, 26000, 760, 150000, 1.10, 1300, 0, 6 },
};

static const struct sched_policy *const policies[] = { &sched_policy_waiting,
	&sched_policy_packing, &sched_policy_first_fit, &sched_policy_best_fit,
	&sched_policy_round_robin };

/* Columns of the output. */
enum column {
	ROUND_P50,
	ROUND_P99,
	ROUND_MAX,
	RATE,
	URGENT_P50,
	URGENT_P99,
	BATCH_P50,
	BATCH_P99,
	GANG_P50,
	GANG_P99,
	CPU,
	MEMORY,
	USED,
	STRANDED,
	SHORTFALL,
	LOST,
	STOPS,
	THROTTLES,
	WAITING,
	LEFT,
	COLUMNS
};

static const char *const formats[COLUMNS] = {
	[ROUND_P50] = " %5.0f",
	[ROUND_P99] = " %5.0f",
	[ROUND_MAX] = " %6.0f",
	[RATE] = " %8.0f |",
	[URGENT_P50] = " %5.0f",
	[URGENT_P99] = " %6.0f |",
	[BATCH_P50] = " %5.0f",
	[BATCH_P99] = " %6.0f |",
	[GANG_P50] = " %5.0f",
	[GANG_P99] = " %6.0f |",
	[CPU] = " %5.1f",
	[MEMORY] = " %5.1f",
	[USED] = " %5.1f",
	[STRANDED] = " %5.1f",
	[SHORTFALL] = " %5.1f |",
	[LOST] = " %6.0f",
	[STOPS] = " %4.0f",
	[THROTTLES] = " %4.0f |",
	[WAITING] = " %6.0f",
	[LEFT] = " %6.0f\n",
};

static const char header[] =
    "  policy      round us p50 p99 max  placed/s | urgent ms p50 p99 |"
    " batch ms p50 p99 | gang ms p50 p99 |"
    " cpu% mem% used% strand% short% | lost s stops throttles |"
    " waiting mean, end\n";

static void
add_result(double *sum, struct replay_result *r)
{
	struct samples *batch = &r->wait_ms[KIND_BATCH];
	struct samples *gang = &r->wait_ms[KIND_GANG];

	sum[ROUND_P50] += samples_quantile(&r->round_us, 0.5);
	sum[ROUND_P99] += samples_quantile(&r->round_us, 0.99);
	sum[ROUND_MAX] += samples_quantile(&r->round_us, 1);
	sum[RATE] += (double)r->placements / r->decide_s;
	sum[URGENT_P50] += samples_quantile(&r->urgent_ms, 0.5);
	sum[URGENT_P99] += samples_quantile(&r->urgent_ms, 0.99);
	sum[BATCH_P50] += samples_quantile(batch, 0.5);
	sum[BATCH_P99] += samples_quantile(batch, 0.99);
	sum[GANG_P50] += samples_quantile(gang, 0.5);
	sum[GANG_P99] += samples_quantile(gang, 0.99);
	sum[CPU] += 100 * r->cpu;
	sum[MEMORY] += 100 * r->memory;
	sum[USED] += 100 * r->packing;
	sum[STRANDED] += 100 * r->stranded;
	sum[SHORTFALL] += 100 * r->shortfall;
	sum[LOST] += r->lost_s;
	sum[STOPS] += (double)r->stops;
	sum[THROTTLES] += (double)r->throttles;
	sum[WAITING] += r->waiting_mean;
	sum[LEFT] += (double)r->waiting;
}

static void
print_line(const char *name, const double *sum, unsigned runs)
{
	printf("  %-11s", name);
	for (unsigned i = 0; i < COLUMNS; i++)
		printf(formats[i], sum[i] / runs);
	fflush(stdout);
}

/* Runs a scenario with several seeds and prints the means. */
static void
run_scenario(const struct load_spec *spec, const char *policy, unsigned runs)
{
	double sums[G_N_ELEMENTS(policies)][COLUMNS] = { { 0 } };

	printf("%s: %u workers, %u teams, %lld s, load %.0f%%, seed %llu, "
	       "mean of %u\n%s",
	    spec->name, spec->workers, spec->teams,
	    (long long)spec->duration_ms / 1000, 100 * spec->offered,
	    (unsigned long long)spec->seed, runs, header);
	for (unsigned run = 0; run < runs; run++) {
		struct load_spec seeded = *spec;
		struct load load;

		seeded.seed += (uint64_t)SEED_STEP * run;
		load_make(&load, &seeded);
		for (unsigned i = 0; i < G_N_ELEMENTS(policies); i++) {
			struct replay_result result;

			if (policy != NULL &&
			    strcmp(policy, policies[i]->name) != 0)
				continue;
			replay(&load, policies[i], &result);
			add_result(sums[i], &result);
			replay_result_clear(&result);
		}
		load_clear(&load);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (sums[i][RATE] > 0)
			print_line(policies[i]->name, sums[i], runs);
	}
}

/* A job of the growth scenario; equal shape numbers give equal shapes. */
static struct sched_job
job_of_shape(uint64_t id, unsigned shape)
{
	return (struct sched_job){
		.id = id,
		.team = shape % 100,
		.kind = KIND_BATCH,
		.resources = { CORE + shape / 100, GIB, 0 },
		.runtime_ms = 1000,
	};
}

/* Measures the time of rounds in a full cell, each with one end and one
 * arrival. */
static void
run_growth(uint32_t workers, unsigned jobs, unsigned shapes)
{
	struct sched *s = sched_new(&sched_policy_waiting);
	struct sched_round round;
	struct samples us;
	GArray *running;
	uint64_t id = 1;

	sched_round_init(&round);
	samples_init(&us);
	running = g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
	for (uint32_t i = 0; i < workers; i++) {
		struct sched_worker w = {
			.id = i,
			.capacity = { 8 * CORE, 64 * GIB, 0 },
			.slots = 8,
			.rack = i / 7,
			.data_center = i / 70 % 6,
		};

		sched_worker_set(s, &w);
	}
	for (unsigned i = 0; i < 8 * workers + jobs; i++, id++) {
		struct sched_job job = job_of_shape(id, i % shapes);

		sched_job_add(s, &job, 0, 1);
	}
	sched_decide(s, 1, SIZE_MAX, &round);
	g_array_append_vals(
	    running, round.placements->data, round.placements->len);
	for (unsigned i = 0; i < GROWTH_ROUNDS; i++, id++) {
		struct sched_job job = job_of_shape(id, i % shapes);
		struct sched_placement p =
		    g_array_index(running, struct sched_placement, i);
		int64_t begin;

		sched_job_add(s, &job, 0, 1);
		sched_run_end(s, p.job, p.task, p.worker);
		begin = mono_us();
		sched_decide(s, 2 + i / 100, SIZE_MAX, &round);
		samples_add(&us, (double)(mono_us() - begin));
		g_array_append_vals(
		    running, round.placements->data, round.placements->len);
	}
	printf("  %6u %8u %7u | %7.0f %7.0f %7.0f\n", workers, jobs, shapes,
	    samples_quantile(&us, 0.5), samples_quantile(&us, 0.99),
	    samples_quantile(&us, 1));
	g_array_unref(running);
	samples_clear(&us);
	sched_round_clear(&round);
	sched_free(s);
}

/* The growth scenario: round time by workers, waiting jobs and shapes. */
static void
run_all_growth(void)
{
	static const uint32_t workers[] = { 50, 430, 4300 };
	static const unsigned jobs[] = { 1000, 10000, 100000 };
	static const unsigned shapes[] = { 10, 100, 1000, 5000 };

	printf("growth: full cell, one end and one arrival a round\n"
	       "  workers waiting shapes | round us p50 p99 max\n");
	for (unsigned i = 0; i < G_N_ELEMENTS(workers); i++)
		run_growth(workers[i], 10000, 1000);
	for (unsigned i = 0; i < G_N_ELEMENTS(jobs); i++)
		run_growth(430, jobs[i], 1000);
	for (unsigned i = 0; i < G_N_ELEMENTS(shapes); i++)
		run_growth(430, 10000, shapes[i]);
}

static bool
selected(int count, char **names, const char *name)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return count == 0;
}

int
main(int argc, char **argv)
{
	const char *policy = NULL;
	unsigned runs = 1;
	int option;

	while ((option = getopt(argc, argv, "p:n:")) != -1) {
		if (option == 'p')
			policy = optarg;
		else if (option == 'n')
			runs = (unsigned)strtoul(optarg, NULL, 10);
		else
			return 2;
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		const struct load_spec *spec = &scenarios[i];

		if (selected(argc - optind, argv + optind, spec->name))
			run_scenario(spec, policy, MAX(runs, 1));
	}
	if (selected(argc - optind, argv + optind, "growth"))
		run_all_growth();
	return 0;
}
