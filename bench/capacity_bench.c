/*
 * Measures what processes of each role (leader, follower, entry) use under a
 * steady load. Starts real processes with fakeworker workers on this machine
 * and reads the counters of every process. --sweep varies one size at a time
 * and fits a line to each cost.
 */
#include <math.h>
#include <stdio.h>

#include "bench_cell.h"

#define SIZE_COUNT 3 /* sizes measured of each variable */
#define BASE_INDEX 1 /* of the size that is used while another one varies */

static const char *const role_names[ROLE_COUNT] = { "leader", "follower",
	"entry" };
static const char *const quantity_names[Q_COUNT] = { "cpu_ms/s", "rss_MB",
	"in_KB/s", "out_KB/s", "frames_KB/s", "packets/s", "syncs/s",
	"log_KB/s" };

/* Sizes that --sweep varies. */
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
	double size[SIZE_COUNT]; /* see BASE_INDEX */
	double target; /* size that the costs are extrapolated to */
};

static const struct range ranges[VAR_COUNT] = {
	[VAR_WORKERS] = { "workers", { 150, 250, 400 }, 430 },
	[VAR_RUNNING] = { "running", { 200, 800, 1500 }, 2600 },
	[VAR_STARTS] = { "starts/s", { 5, 20, 60 }, 76 },
	[VAR_TEAMS] = { "teams", { 10, 40, 130 }, 130 },
	[VAR_CONFIG_CHANGES] = { "changes/s", { 0.5, 0, 2 }, 310.0 / 86400 },
	[VAR_ENTRIES] = { "entries", { 2, 4, 8 }, 4 },
};

static void
set_size(struct bench_load *load, enum variable v, double size)
{
	switch (v) {
	case VAR_WORKERS:
		load->workers = (int)size;
		break;
	case VAR_RUNNING:
		load->running = (int)size;
		break;
	case VAR_STARTS:
		load->starts_per_s = (int)size;
		break;
	case VAR_TEAMS:
		load->teams = (int)size;
		break;
	case VAR_CONFIG_CHANGES:
		load->config_changes_per_s = size;
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
			printf(" %12.2f", costs->max[r][q]);
		printf("\n");
	}
	printf("starts %.1f/s\n", costs->starts_per_s);
	fflush(stdout);
}

static struct costs
measure(const struct bench_load *load)
{
	struct bench_cell *c = bench_cell_new(load);
	struct costs costs = bench_cell_run(c);

	bench_cell_free(c);
	return costs;
}

struct line {
	double slope;
	double intercept;
	double residual; /* root mean square */
};

/* Linear least-squares fit. */
static struct line
fit(const double x[SIZE_COUNT], const double y[SIZE_COUNT])
{
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	double squares = 0;
	struct line l;

	for (int i = 0; i < SIZE_COUNT; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	l.slope = (SIZE_COUNT * sxy - sx * sy) / (SIZE_COUNT * sxx - sx * sx);
	l.intercept = (sy - l.slope * sx) / SIZE_COUNT;
	for (int i = 0; i < SIZE_COUNT; i++)
		squares += pow(y[i] - l.intercept - l.slope * x[i], 2);
	l.residual = sqrt(squares / SIZE_COUNT);
	return l;
}

/*
 * Prints the fits of one variable and adds to at_target what each quantity
 * changes from the base size to the target size.
 */
static void
print_fits(const struct range *range, const struct costs costs[SIZE_COUNT],
    double at_target[ROLE_COUNT][Q_COUNT])
{
	printf("\n%-9s %-12s %12s %12s %10s   values at %g %g %g\n",
	    range->name, "quantity", "slope", "intercept", "residual",
	    range->size[0], range->size[1], range->size[2]);
	for (int r = 0; r < ROLE_COUNT; r++)
		for (int q = 0; q < Q_COUNT; q++) {
			double y[SIZE_COUNT];
			struct line l;

			for (int i = 0; i < SIZE_COUNT; i++)
				y[i] = costs[i].mean[r][q];
			l = fit(range->size, y);
			at_target[r][q] +=
			    l.slope * (range->target - range->size[BASE_INDEX]);
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
sweep(struct bench_load load)
{
	double at_target[ROLE_COUNT][Q_COUNT];
	struct costs base;

	for (int v = 0; v < VAR_COUNT; v++)
		set_size(&load, v, ranges[v].size[BASE_INDEX]);
	base = measure(&load);
	printf("base\n");
	print_costs(&base);
	for (int r = 0; r < ROLE_COUNT; r++)
		for (int q = 0; q < Q_COUNT; q++)
			at_target[r][q] = base.mean[r][q];
	for (int v = 0; v < VAR_COUNT; v++) {
		struct costs costs[SIZE_COUNT];

		for (int i = 0; i < SIZE_COUNT; i++) {
			struct bench_load varied = load;

			set_size(&varied, v, ranges[v].size[i]);
			costs[i] = i == BASE_INDEX ? base : measure(&varied);
			if (i != BASE_INDEX)
				g_free(costs[i].wait_histograms);
		}
		print_fits(&ranges[v], costs, at_target);
	}
	g_free(base.wait_histograms);
	print_target(at_target);
}

/*
 * Measures one run, then the time of a configuration change and of a leader
 * fail-over.
 */
static void
run_once(const struct bench_load *load)
{
	struct bench_cell *c = bench_cell_new(load);
	struct costs costs = bench_cell_run(c);
	int64_t accepted;
	int64_t started;

	print_costs(&costs);
	printf("wait histograms of the leader since its start\n%s",
	    costs.wait_histograms);
	g_free(costs.wait_histograms);
	printf("configuration applied by all processes after %d ms\n",
	    (int)bench_cell_config_ms(c));
	fflush(stdout);
	bench_cell_fail_over(c, &accepted, &started);
	printf("leader killed: next job accepted after %d ms, its task "
	       "started after %d ms\n",
	    (int)accepted, (int)started);
	bench_cell_free(c);
}

/* Measures the restart time of a replica as its log grows. */
static void
run_restarts(const struct bench_load *load)
{
	static const int jobs[] = { 1000, 4000, 7300 };
	struct bench_cell *c = bench_cell_new(load);
	int jobs_run = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		int64_t bytes;
		int64_t ms;

		bench_cell_run_jobs(c, jobs[i] - jobs_run);
		jobs_run = jobs[i];
		ms = bench_cell_restart(c, &bytes);
		printf(
		    "%d jobs: %d KB of log and snapshot, restarted in %d ms\n",
		    jobs_run, (int)(bytes / 1000), (int)ms);
		fflush(stdout);
	}
	bench_cell_free(c);
}

int
main(int argc, char **argv)
{
	struct bench_load load = { .workers = 430,
		.entries = 4,
		.replicas = 3,
		.running = 2600,
		.starts_per_s = 76,
		.tasks_per_job = 10,
		.teams = 130,
		.config_changes_per_s = 310.0 / 86400,
		.worker_timeout_ms = 1000,
		.seconds = 10 };
	gboolean sweep_sizes = FALSE;
	gboolean restarts = FALSE;
	GOptionEntry options[] = {
		{ "workers", 0, 0, G_OPTION_ARG_INT, &load.workers, "Workers",
		    "N" },
		{ "entries", 0, 0, G_OPTION_ARG_INT, &load.entries, "Entries",
		    "N" },
		{ "replicas", 0, 0, G_OPTION_ARG_INT, &load.replicas,
		    "Replicas", "N" },
		{ "running", 0, 0, G_OPTION_ARG_INT, &load.running,
		    "Long-running tasks", "N" },
		{ "starts", 0, 0, G_OPTION_ARG_INT, &load.starts_per_s,
		    "Task starts per second", "N" },
		{ "tasks", 0, 0, G_OPTION_ARG_INT, &load.tasks_per_job,
		    "Tasks per job", "N" },
		{ "teams", 0, 0, G_OPTION_ARG_INT, &load.teams, "Teams", "N" },
		{ "config-changes", 0, 0, G_OPTION_ARG_DOUBLE,
		    &load.config_changes_per_s,
		    "Configuration changes per second", "X" },
		{ "answer-ms", 0, 0, G_OPTION_ARG_INT, &load.worker_timeout_ms,
		    "Time-out of requests and idle connections of a worker, in "
		    "ms",
		    "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds,
		    "Length of the measurement, in s", "N" },
		{ "sweep", 0, 0, G_OPTION_ARG_NONE, &sweep_sizes,
		    "Measure several sizes and fit lines", NULL },
		{ "restarts", 0, 0, G_OPTION_ARG_NONE, &restarts,
		    "Measure restart time by log length", NULL },
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
	if (sweep_sizes)
		sweep(load);
	else if (restarts)
		run_restarts(&load);
	else
		run_once(&load);
	return 0;
}
