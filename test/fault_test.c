/* Faults of real processes, each judged by the recordings. */
#include <string.h>

#include "cluster.h"

#define JOBS 24
#define SHORT_MS 100
#define LONG_MS 1200
#define SLOTS 6 /* of a worker, as in flags */

#define BASE                                                     \
	"policy:\n"                                              \
	"  heartbeat_ms: 200\n"                                  \
	"  suspect_ms: 800\n"                                    \
	"  lease_ms: {service: 4000, batch: 2000, gang: 2000}\n" \
	"teams:\n"                                               \
	"  team: {weight: 1}\n"

static const char base[] = BASE;
static const char base_with_service[] =
    BASE "services:\n"
	 "  desk:\n"
	 "    team: team\n"
	 "    tasks: 4\n"
	 "    resources: {millicpus: 3000, memory: 1MiB}\n"
	 "    spread: none\n"
	 "    call_timeout_ms: 1000\n";

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

/* The leader sleeps while another one leads, and wakes: it must not act on
 * what it knew. */
static void
test_leader_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "sleep", LONG_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit(&w, 0, JOBS / 2);
	cluster_signal(c, leader, SIGSTOP);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	g_assert_cmpstr(cluster_leader(c), !=, leader);
	cluster_signal(c, leader, SIGCONT);
	finish(c);
	g_free(leader);
}

/* An entry sleeps past its grant, loses its workers, and wakes. */
static void
test_entry_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "nap", LONG_MS, { 0 } };

	submit(&w, 0, JOBS / 2);
	cluster_signal(c, "e0", SIGSTOP);
	cluster_await_log(c, cluster_leader(c), "entry e0 is gone");
	cluster_signal(c, "e0", SIGCONT);
	cluster_await_ready(c, "e0", 200);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	finish(c);
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

/* Planned stops cut nothing: every job is done, none is unknown. */
static void
test_planned_stops(void)
{
	struct cluster *c = cluster_new(&conf);
	char *leader = g_strdup(cluster_leader(c));
	const char *const order[] = { "e0", leader, "w0" };

	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		char *name = g_strdup_printf("stop-%s", order[i]);
		struct wave w = { c, name, LONG_MS / 2, { 0 } };

		submit(&w, 0, JOBS / 2);
		cluster_stop(c, order[i]);
		submit(&w, JOBS / 2, JOBS);
		await_all(&w, false);
		cluster_restart(c, order[i]);
		if (order[i][0] == 'e')
			cluster_await_ready(c, order[i], 200);
		g_free(name);
	}
	finish(c);
	g_free(leader);
}

/* The leader is cut off in silence; the old one must not act meanwhile. */
static void
test_leader_cut(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "cut", LONG_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit(&w, 0, JOBS / 2);
	cluster_isolate(c, leader);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	g_assert_cmpstr(cluster_leader(c), !=, leader);
	cluster_heal(c);
	finish(c);
	g_free(leader);
}

/* The whole control side ends at once: what was accepted is on disk. */
static void
test_all_replicas_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "all", SHORT_MS, { 0 } };
	const char *const names[] = { "r0", "r1", "r2" };

	submit(&w, 0, JOBS / 2);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		cluster_signal(c, names[i], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		cluster_restart(c, names[i]);
	submit(&w, JOBS / 2, JOBS);
	await_all(&w, true);
	finish(c);
}

/* Leader and a busy worker are lost together. */
static void
test_leader_and_worker_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "two", LONG_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit(&w, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGKILL);
	cluster_signal(c, leader, SIGKILL);
	await_all(&w, true);
	cluster_restart(c, "w0");
	cluster_restart(c, leader);
	finish(c);
	g_free(leader);
}

/* Orders to one worker are held for a while and then all arrive. */
static void
test_orders_held(void)
{
	struct cluster *c = cluster_new(&conf);
	struct wave w = { c, "held", SHORT_MS, { 0 } };

	cluster_fault(c, "cut", "w0", NULL, NULL);
	submit(&w, 0, JOBS);
	/* All but what w0 has slots for. */
	cluster_await_event(c, NULL, "told", JOBS - SLOTS);
	cluster_heal(c);
	await_all(&w, true);
	finish(c);
}

/* Calls of a service while a worker of it is killed. */
static void
test_calls(void)
{
	struct cluster_conf with = conf;
	struct cluster *c;
	int done = 0;

	with.base = base_with_service;
	c = cluster_new(&with);
	cluster_await_event(c, NULL, "start", 4);
	for (int i = 0; i < 4 * JOBS; i++) {
		char *key = g_strdup_printf("call-%d", i);
		enum outcome o = cluster_call(
		    c, i % 2 == 0 ? "e0" : "e1", "desk", key, false);

		done += o == OUT_DONE;
		if (i == JOBS)
			cluster_signal(c, "w0", SIGKILL);
		g_free(key);
	}
	/* Three of four tasks still serve. */
	g_assert_cmpint(done, >=, 2 * JOBS);
	cluster_restart(c, "w0");
	finish(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fault/none", test_no_fault);
	g_test_add_func("/fault/leader-killed", test_leader_killed);
	g_test_add_func("/fault/leader-paused", test_leader_paused);
	g_test_add_func("/fault/entry-paused", test_entry_paused);
	g_test_add_func("/fault/entry-killed", test_entry_killed);
	g_test_add_func("/fault/worker-killed", test_worker_killed);
	g_test_add_func("/fault/worker-paused", test_worker_paused);
	g_test_add_func("/fault/entry-cut", test_entry_cut);
	g_test_add_func("/fault/planned-stops", test_planned_stops);
	g_test_add_func("/fault/leader-cut", test_leader_cut);
	g_test_add_func("/fault/all-replicas-killed", test_all_replicas_killed);
	g_test_add_func(
	    "/fault/leader-and-worker-killed", test_leader_and_worker_killed);
	g_test_add_func("/fault/orders-held", test_orders_held);
	g_test_add_func("/fault/calls", test_calls);
	return g_test_run();
}
