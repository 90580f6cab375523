/* lib/dispatch with long-running tasks that fail soon after their starts. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

#define SERVICE 0x5e1f5e1f5e1f5e1f
#define SERVICE_PATH "/renders/5e1f5e1f5e1f5e1f"
#define SERVICE_TASKS 8
#define WORKERS 12
#define JOBS 6
#define WATCH_MS 5000
/* Two starts without a pause, then after 0.1, 0.2, 0.4, 0.8, 1.6 and 2 s. */
#define STARTS_MAX 8

static int service_starts;

static bool
is_of_service(const struct flow_run *id)
{
	if (id->job != SERVICE)
		return false;
	service_starts++;
	return true;
}

static struct stub_worker *
add_worker(struct leader *l, int number)
{
	char *name = g_strdup_printf("w%d", number);
	struct stub_worker *w = stub_worker_new(l->base, name);

	leader_heartbeat(l, w, false);
	g_free(name);
	return w;
}

/* Adds workers that fail the tasks of the service. */
static void
add_workers(struct leader *l, struct stub_worker *worker[WORKERS])
{
	for (int i = 0; i < WORKERS; i++) {
		worker[i] = add_worker(l, i);
		worker[i]->fails = is_of_service;
	}
	AWAIT(l, worker[WORKERS - 1]->polls > 1);
	service_starts = 0;
}

static void
free_workers(struct stub_worker *worker[WORKERS])
{
	for (int i = 0; i < WORKERS; i++)
		stub_worker_free(worker[i]);
}

static void
submit_service(struct leader *l, uint32_t tasks)
{
	leader_submit_step(l, SERVICE_PATH,
	    (struct flow_step){ .count = tasks,
		.resources = { 100, 1 << 20, 0 },
		.runtime_ms = 1000,
		.long_running = true });
}

static bool
has_started(struct stub_worker *worker[WORKERS], uint64_t job)
{
	struct flow_run id = { job, 0, 0, 0, 1 };

	for (int i = 0; i < WORKERS; i++)
		if (stub_worker_runs(worker[i], &id))
			return true;
	return false;
}

/* Guards against a job whose long-running tasks fail at their starts and so
 * keep the work of all others from starting. */
static void
test_failing_service(void)
{
	struct leader *l = leader_new();
	struct stub_worker *worker[WORKERS];

	add_workers(l, worker);
	submit_service(l, SERVICE_TASKS);
	leader_run_for(l, WATCH_MS);
	for (uint64_t job = 1; job <= JOBS; job++) {
		char *path =
		    g_strdup_printf("/renders/%016" G_GINT64_MODIFIER "x", job);

		leader_submit(l, path, 1, 1000);
		AWAIT(l, has_started(worker, job));
		g_free(path);
	}
	free_workers(worker);
	leader_free(l);
}

/* Guards against a task that is restarted as fast as it fails. */
static void
test_failing_service_backs_off(void)
{
	struct leader *l = leader_new();
	struct stub_worker *worker[WORKERS];

	add_workers(l, worker);
	submit_service(l, 1);
	leader_run_for(l, WATCH_MS);
	g_assert_cmpint(service_starts, >=, 3);
	g_assert_cmpint(service_starts, <=, STARTS_MAX);
	/* It goes on. */
	service_starts = 0;
	AWAIT(l, service_starts > 0);
	free_workers(worker);
	leader_free(l);
}

/* Guards against a task that stays on a worker that fails it, although the
 * worker counts as healthy and another one has room. */
static void
test_failing_service_moves(void)
{
	struct leader *l = leader_new();
	struct stub_worker *bad = add_worker(l, 0);
	struct stub_worker *good;
	struct flow_run run = { SERVICE, 0, 0, 0, 1 };

	bad->fails = is_of_service;
	AWAIT(l, bad->polls > 1);
	service_starts = 0;
	submit_service(l, 1);
	AWAIT(l, service_starts == 3);
	good = add_worker(l, 1);
	AWAIT(l, good->running->len == 1);
	run = g_array_index(good->running, struct stub_run, 0).id;
	g_assert_cmpuint(run.number, ==, service_starts + 1);
	stub_worker_free(bad);
	stub_worker_free(good);
	leader_free(l);
}

void
retry_tests_add(void)
{
	g_test_add_func("/dispatch/failing-service", test_failing_service);
	g_test_add_func("/dispatch/failing-service-backs-off",
	    test_failing_service_backs_off);
	g_test_add_func(
	    "/dispatch/failing-service-moves", test_failing_service_moves);
}
