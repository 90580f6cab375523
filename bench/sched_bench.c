/*
 * Placement decisions replayed on tables: the policies in use beside first
 * fit, best fit and round robin, on equal seeded inputs.
 *
 * usage: sched_bench [-p POLICY] [-s N] [SCENARIO...]; N is added to the seeds
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "sched_replay.h"

#define GIB (1LL << 30)
#define CORE 1000LL /* millicpus */
#define GROWTH_ROUNDS 2000

static const struct load_spec scenarios[] = {
	{ "today", 50, 300, 9, 1800000, 0.85, 15, 0, 1 },
	{ "target", 430, 2600, 76, 300000, 0.85, 130, 0, 2 },
	{ "busy", 430, 2600, 76, 300000, 1.00, 130, 0, 7 },
	{ "full", 430, 2600, 76, 300000, 1.10, 130, 0, 3 },
	{ "burst", 430, 1300, 38, 120000, 0.45, 130, 6000, 4 },
	{ "tenfold", 4300, 26000, 760, 150000, 0.85, 1300, 0, 5 },
	{ "tenfold-full", 4300, 26000, 760, 150000, 1.10, 1300, 0, 6 },
};

static const struct sched_policy *const policies[] = { &sched_waiting,
	&sched_packing, &sched_first_fit, &sched_best_fit, &sched_round_robin };

static void
print_decisions(struct replay_result *r, const char *name)
{
	printf("  %-11s %7.0f %7.0f %8.0f %9.0f |", name,
	    samples_quantile(&r->round_us, 0.5),
	    samples_quantile(&r->round_us, 0.99),
	    samples_quantile(&r->round_us, 1.0),
	    (double)r->placements / r->decide_s);
}

static void
print_outcome(struct replay_result *r)
{
	printf(" %6.0f %7.0f | %6.0f %7.0f | %6.0f %7.0f |",
	    samples_quantile(&r->urgent_ms, 0.5),
	    samples_quantile(&r->urgent_ms, 0.99),
	    samples_quantile(&r->wait_ms[KIND_BATCH], 0.5),
	    samples_quantile(&r->wait_ms[KIND_BATCH], 0.99),
	    samples_quantile(&r->wait_ms[KIND_GANG], 0.5),
	    samples_quantile(&r->wait_ms[KIND_GANG], 0.99));
	printf(" %5.1f %5.1f |", 100 * r->cpu, 100 * r->memory);
	printf(" %5.1f %5.1f %5.1f | %6.0f %5llu %5llu | %7.0f %6llu\n",
	    100 * r->packing, 100 * r->stranded, 100 * r->shortfall, r->lost_s,
	    (unsigned long long)r->stops, (unsigned long long)r->throttles,
	    r->waiting_mean, (unsigned long long)r->waiting);
	fflush(stdout);
}

static void
run_scenario(const struct load_spec *spec, const char *policy)
{
	struct load load;

	load_make(&load, spec);
	printf("%s: %u workers, %u teams, %u jobs in %lld s, load %.0f%%, "
	       "seed %llu\n",
	    spec->name, spec->workers, spec->teams, load.jobs->len,
	    (long long)spec->duration_ms / 1000, 100 * spec->offered,
	    (unsigned long long)spec->seed);
	printf(
	    "  policy      round us p50    p99      max  placed/s |"
	    " urgent ms p50 p99 | batch ms p50 p99 | gang ms p50 p99 |"
	    " cpu%% mem%% | used%% strand%% short%% | lost s stops throttles |"
	    " waiting mean, end\n");
	for (unsigned i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct replay_result result;

		if (policy != NULL && strcmp(policy, policies[i]->name) != 0)
			continue;
		replay(&load, policies[i], &result);
		print_decisions(&result, policies[i]->name);
		print_outcome(&result);
		replay_result_clear(&result);
	}
	load_clear(&load);
}

/* A job of the growth measure; its shape is told by number. */
static struct sched_job
shaped_job(uint64_t id, unsigned shape)
{
	return (struct sched_job){
		.id = id,
		.team = shape % 100,
		.kind = KIND_BATCH,
		.resources = { CORE + shape / 100, GIB, 0 },
		.runtime_ms = 1000,
	};
}

/* Rounds in a full cell, each with one end and one start. */
static void
run_growth(uint32_t workers, unsigned jobs, unsigned shapes)
{
	struct sched *s = sched_new(&sched_waiting);
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
		struct sched_job job = shaped_job(id, i % shapes);

		sched_job_add(s, &job, 0, 1);
	}
	sched_decide(s, 1, SIZE_MAX, &round);
	g_array_append_vals(
	    running, round.placements->data, round.placements->len);
	for (unsigned i = 0; i < GROWTH_ROUNDS; i++, id++) {
		struct sched_job job = shaped_job(id, i % shapes);
		struct sched_placement p =
		    g_array_index(running, struct sched_placement, i);
		int64_t begin;

		sched_job_add(s, &job, 0, 1);
		sched_end(s, p.job, p.task, p.worker);
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
wanted(int count, char **names, const char *name)
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
	uint64_t more = 0;
	int option;

	while ((option = getopt(argc, argv, "p:s:")) != -1) {
		if (option == 'p')
			policy = optarg;
		else if (option == 's')
			more = strtoull(optarg, NULL, 10);
		else
			return 2;
	}
	for (unsigned i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		struct load_spec spec = scenarios[i];

		spec.seed += more;
		if (wanted(argc - optind, argv + optind, spec.name))
			run_scenario(&spec, policy);
	}
	if (wanted(argc - optind, argv + optind, "growth"))
		run_all_growth();
	return 0;
}
