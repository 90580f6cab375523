/*
 * What a cell costs in each role: starts real processes with stand-in workers
 * on this machine, applies a steady load and reads every process's counters.
 * --sweep varies one size at a time and fits a line to each cost.
 */
#include <math.h>
#include <stdio.h>

#include "bench_cell.h"

#define SIZES 3 /* of each variable */

static const char *const role_names[ROLE_COUNT] = { "leader", "follower",
	"entry" };
static const char *const quantity_names[Q_COUNT] = { "cpu_ms/s", "rss_MB",
	"in_KB/s", "out_KB/s", "frames_KB/s", "packets/s", "syncs/s",
	"log_KB/s" };

enum variable {
	VAR_WORKERS,
	VAR_RUNNING,
	VAR_STARTS,
	VAR_TEAMS,
	VAR_CONFIG_CHANGES,
	VAR_ENTRIES,
	VAR_COUNT
};

struct range {
	const char *name;
	double size[SIZES]; /* the one at BASE is that of the base run */
	double target;
};

#define BASE 1

static const struct range ranges[VAR_COUNT] = {
	[VAR_WORKERS] = { "workers", { 150, 250, 400 }, 430 },
	[VAR_RUNNING] = { "running", { 200, 800, 1500 }, 2600 },
	[VAR_STARTS] = { "starts/s", { 5, 20, 60 }, 76 },
	[VAR_TEAMS] = { "teams", { 10, 40, 130 }, 130 },
	[VAR_CONFIG_CHANGES] = { "changes/s", { 0.5, 0, 2 }, 310.0 / 86400 },
	[VAR_ENTRIES] = { "entries", { 2, 4, 8 }, 4 },
};

static void
set_size(struct load *load, enum variable v, double size)
{
	switch (v) {
	case VAR_WORKERS:
		load->workers = (int)size;
		break;
	case VAR_RUNNING:
		load->running = (int)size;
		break;
	case VAR_STARTS:
		load->starts = (int)size;
		break;
	case VAR_TEAMS:
		load->teams = (int)size;
		break;
	case VAR_CONFIG_CHANGES:
		load->config_changes = size;
		break;
	case VAR_ENTRIES:
		load->entries = (int)size;
		break;
	case VAR_COUNT:
		break;
	}
}

static void
print_costs(const struct costs *costs)
{
	printf("%-9s", "role");
	for (int q = 0; q < Q_COUNT; q++)
		printf(" %12s", quantity_names[q]);
	printf("\n");
	for (int r = 0; r < ROLE_COUNT; r++) {
		printf("%-9s", role_names[r]);
		for (int q = 0; q < Q_COUNT; q++)
			printf(" %12.2f", costs->mean[r][q]);
		printf("\n%-9s", "  largest");
		for (int q = 0; q < Q_COUNT; q++)
			printf(" %12.2f", costs->most[r][q]);
		printf("\n");
	}
	printf("starts %.1f/s\n", costs->starts);
	fflush(stdout);
}

static struct costs
measure(const struct load *load)
{
	struct bench_cell *c = bench_cell_new(load);
	struct costs costs = bench_cell_run(c);

	bench_cell_free(c);
	return costs;
}

struct line {
	double slope;
	double intercept;
	double residual; /* root of the mean square */
};

static struct line
fit(const double x[SIZES], const double y[SIZES])
{
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	double rest = 0;
	struct line l;

	for (int i = 0; i < SIZES; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	l.slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
	l.intercept = (sy - l.slope * sx) / SIZES;
	for (int i = 0; i < SIZES; i++)
		rest += pow(y[i] - l.intercept - l.slope * x[i], 2);
	l.residual = sqrt(rest / SIZES);
	return l;
}

/* Prints the fits of one variable; adds what the target needs beyond base. */
static void
print_fits(const struct range *range, const struct costs costs[SIZES],
    double at_target[ROLE_COUNT][Q_COUNT])
{
	printf("\n%-9s %-12s %12s %12s %10s   values at %g %g %g\n",
	    range->name, "quantity", "slope", "intercept", "residual",
	    range->size[0], range->size[1], range->size[2]);
	for (int r = 0; r < ROLE_COUNT; r++)
		for (int q = 0; q < Q_COUNT; q++) {
			double y[SIZES];
			struct line l;

			for (int i = 0; i < SIZES; i++)
				y[i] = costs[i].mean[r][q];
			l = fit(range->size, y);
			at_target[r][q] +=
			    l.slope * (range->target - range->size[BASE]);
			printf("%-9s %-12s %12.5f %12.3f %10.3f   %.2f %.2f "
			       "%.2f\n",
			    role_names[r], quantity_names[q], l.slope,
			    l.intercept, l.residual, y[0], y[1], y[2]);
		}
	fflush(stdout);
}

static void
print_target(double at_target[ROLE_COUNT][Q_COUNT])
{
	printf("\nat the target, by the slopes\n%-9s", "role");
	for (int q = 0; q < Q_COUNT; q++)
		printf(" %12s", quantity_names[q]);
	printf("\n");
	for (int r = 0; r < ROLE_COUNT; r++) {
		printf("%-9s", role_names[r]);
		for (int q = 0; q < Q_COUNT; q++)
			printf(" %12.2f", at_target[r][q]);
		printf("\n");
	}
}

static void
sweep(struct load load)
{
	double at_target[ROLE_COUNT][Q_COUNT];
	struct costs base;

	for (int v = 0; v < VAR_COUNT; v++)
		set_size(&load, v, ranges[v].size[BASE]);
	base = measure(&load);
	printf("base\n");
	print_costs(&base);
	for (int r = 0; r < ROLE_COUNT; r++)
		for (int q = 0; q < Q_COUNT; q++)
			at_target[r][q] = base.mean[r][q];
	for (int v = 0; v < VAR_COUNT; v++) {
		struct costs costs[SIZES];

		for (int i = 0; i < SIZES; i++) {
			struct load varied = load;

			set_size(&varied, v, ranges[v].size[i]);
			costs[i] = i == BASE ? base : measure(&varied);
			if (i != BASE)
				g_free(costs[i].waits);
		}
		print_fits(&ranges[v], costs, at_target);
	}
	g_free(base.waits);
	print_target(at_target);
}

/* One run at the sizes given, with the times of a change and a fail-over. */
static void
run_once(const struct load *load)
{
	struct bench_cell *c = bench_cell_new(load);
	struct costs costs = bench_cell_run(c);
	int64_t accepted;
	int64_t started;

	print_costs(&costs);
	printf("waits at the leader since its start\n%s", costs.waits);
	g_free(costs.waits);
	printf("a configuration is in force everywhere after %d ms\n",
	    (int)bench_cell_config_ms(c));
	fflush(stdout);
	bench_cell_fail_over(c, &accepted, &started);
	printf("leader killed: next job accepted after %d ms, its task "
	       "started after %d ms\n",
	    (int)accepted, (int)started);
	bench_cell_free(c);
}

/* Restart times of a replica as its log grows. */
static void
run_restarts(const struct load *load)
{
	static const int jobs[] = { 1000, 4000, 7300 };
	struct bench_cell *c = bench_cell_new(load);
	int filled = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		int64_t bytes;
		int64_t ms;

		bench_cell_fill(c, jobs[i] - filled);
		filled = jobs[i];
		ms = bench_cell_restart(c, &bytes);
		printf("%d jobs: %d KB of files, restarted in %d ms\n", filled,
		    (int)(bytes / 1000), (int)ms);
		fflush(stdout);
	}
	bench_cell_free(c);
}

int
main(int argc, char **argv)
{
	struct load load = { .workers = 430,
		.entries = 4,
		.replicas = 3,
		.running = 2600,
		.starts = 76,
		.tasks = 10,
		.teams = 130,
		.config_changes = 310.0 / 86400,
		.answer_ms = 1000,
		.seconds = 10 };
	gboolean all_sizes = FALSE;
	gboolean restarts = FALSE;
	GOptionEntry options[] = {
		{ "workers", 0, 0, G_OPTION_ARG_INT, &load.workers, "Stand-ins",
		    "N" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &load.entries, "Entries",
		    "N" },
		{ "replicas", 0, 0, G_OPTION_ARG_INT, &load.replicas,
		    "Replicas", "N" },
		{ "running", 0, 0, G_OPTION_ARG_INT, &load.running,
		    "Tasks that run throughout", "N" },
		{ "starts", 0, 0, G_OPTION_ARG_INT, &load.starts,
		    "Task starts a second", "N" },
		{ "tasks", 0, 0, G_OPTION_ARG_INT, &load.tasks, "Tasks a job",
		    "N" },
		{ "teams", 0, 0, G_OPTION_ARG_INT, &load.teams, "Teams", "N" },
		{ "config-changes", 0, 0, G_OPTION_ARG_DOUBLE,
		    &load.config_changes, "Changes a second", "X" },
		{ "answer-ms", 0, 0, G_OPTION_ARG_INT, &load.answer_ms,
		    "Idle time after which a stand-in closes a connection",
		    "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds,
		    "Length of the measured part", "N" },
		{ "sweep", 0, 0, G_OPTION_ARG_NONE, &all_sizes,
		    "Fit lines over several sizes", NULL },
		{ "restarts", 0, 0, G_OPTION_ARG_NONE, &restarts,
		    "Restart times against log length", NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *err = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		g_printerr("capacity_bench: %s\n", err->message);
		return 2;
	}
	g_option_context_free(context);
	if (all_sizes)
		sweep(load);
	else if (restarts)
		run_restarts(&load);
	else
		run_once(&load);
	return 0;
}
