/* Faults of real processes, each judged by the recordings. */
#include <string.h>

#include "cluster.h"

#define JOBS 24
#define SHORT_MS 100
#define LONG_MS 1200

static const char base[] =
    "policy:\n"
    "  heartbeat_ms: 200\n"
    "  suspect_ms: 800\n"
    "  lease_ms: {service: 4000, batch: 2000, gang: 2000}\n"
    "teams:\n"
    "  team: {weight: 1}\n";

static const char *const flags[] = { "--millicpus=4000", "--slots=6", NULL };

static const struct cluster_conf conf = { .replicas = 3,
	.entries = 2,
	.workers = 4,
	.base = base,
	.worker_flags = flags };

/* A wave of jobs, half of them idempotent. */
struct wave {
	struct cluster *c;
	const char *name;
	int64_t run_ms;
	uint64_t job[JOBS];
};

static char *
wave_key(const struct wave *w, int i)
{
	return g_strdup_printf("%s-%d", w->name, i);
}

static void
submit(struct wave *w, int from, int to)
{
	for (int i = from; i < to; i++) {
		char *key = wave_key(w, i);
		json_t *spec = cluster_batch(key, w->run_ms, i % 2 == 0);

		w->job[i] = cluster_submit(w->c, key, spec);
		json_decref(spec);
		g_free(key);
	}
}

/* Awaits all answers: done, or unknown where that is allowed. */
static void
await_all(struct wave *w, bool unknown_allowed)
{
	for (int i = 0; i < JOBS; i++) {
		char *key = wave_key(w, i);
		enum outcome o = cluster_await_job(w->c, key, w->job[i]);
		bool allowed = unknown_allowed && i % 2 == 1;

		if (o != OUT_DONE && !(allowed && o == OUT_UNKNOWN))
			g_error("job %s ended as %s", key, outcome_name(o));
		g_free(key);
	}
}

/* After the fault everything must work again. */
static void
finish(struct cluster *c)
{
	struct wave w = { c, "after", SHORT_MS, { 0 } };

	submit(&w, 0, JOBS);
	await_all(&w, false);
	cluster_judge(c);
	cluster_free(c);
}

static void
test_no_fault(void)
{
	finish(cluster_new(&conf));
}

static void
test_leader_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "leader", SHORT_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit(&w, 0, JOBS / 2);
	cluster_signal(c, leader, SIGKILL);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, false);
	cluster_restart(c, leader);
	finish(c);
	g_free(leader);
}

static void
test_entry_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "entry", LONG_MS, { 0 } };

	submit(&w, 0, JOBS / 2);
	cluster_signal(c, "e0", SIGKILL);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	cluster_restart(c, "e0");
	cluster_await_ready(c, "e0", 200);
	finish(c);
}

static void
test_worker_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "worker", LONG_MS, { 0 } };

	submit(&w, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGKILL);
	await_all(&w, true);
	cluster_restart(c, "w0");
	finish(c);
}

static void
test_worker_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "paused", LONG_MS, { 0 } };

	submit(&w, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGSTOP);
	await_all(&w, true);
	cluster_signal(c, "w0", SIGCONT);
	cluster_await_event(c, "w0", "lease-out", 1);
	cluster_await_event(c, "w0", "epoch", 2);
	finish(c);
}

static void
test_entry_cut(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "cut", LONG_MS, { 0 } };
	json_t *spec = cluster_batch("refused", SHORT_MS, false);
	const char *outcome;
	json_t *body;
	int status;

	submit(&w, 0, JOBS / 2);
	cluster_isolate(c, "e0");
	/* Out of date: it refuses truthfully. */
	cluster_await_ready(c, "e0", 503);
	body =
	    cluster_http(c, "e0", "POST", "/v1/jobs", "refused", spec, &status);
	outcome = json_string_value(json_object_get(body, "outcome"));
	g_assert_cmpint(status, ==, 503);
	g_assert_cmpstr(outcome, ==, "not-run");
	json_decref(body);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	cluster_heal(c);
	cluster_await_ready(c, "e0", 200);
	json_decref(spec);
	finish(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fault/none", test_no_fault);
	g_test_add_func("/fault/leader-killed", test_leader_killed);
	g_test_add_func("/fault/entry-killed", test_entry_killed);
	g_test_add_func("/fault/worker-killed", test_worker_killed);
	g_test_add_func("/fault/worker-paused", test_worker_paused);
	g_test_add_func("/fault/entry-cut", test_entry_cut);
	return g_test_run();
}
