/*
 * Tests of a cell of real processes under faults. In each case jobs run while
 * processes are killed, suspended or cut off; the checker then verifies the
 * records of workers and callers.
 */
#include <string.h>

#include "cluster.h"

#define JOBS 24
#define SHORT_RUN_MS 100
#define LONG_RUN_MS 1200
#define SLOTS 6 /* of a worker; same as in flags */

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

/* JOBS jobs, of which those with an even index are idempotent. */
struct job_set {
	struct cluster *c;
	const char *name; /* prefix of the keys */
	int64_t run_ms;
	uint64_t job[JOBS];
};

static char *
job_key(const struct job_set *s, int i)
{
	return g_strdup_printf("%s-%d", s->name, i);
}

static void
submit_jobs(struct job_set *s, int from, int to)
{
	for (int i = from; i < to; i++) {
		char *key = job_key(s, i);
		json_t *spec = cluster_batch_spec(key, s->run_ms, i % 2 == 0);

		s->job[i] = cluster_submit(s->c, key, spec);
		json_decref(spec);
		g_free(key);
	}
}

/*
 * Waits until all jobs are done. With unknown_allowed, the outcome of those
 * that are not idempotent may be unknown.
 */
static void
await_jobs(struct job_set *s, bool unknown_allowed)
{
	for (int i = 0; i < JOBS; i++) {
		char *key = job_key(s, i);
		enum outcome outcome = cluster_await_job(s->c, key, s->job[i]);
		bool allowed = unknown_allowed && i % 2 == 1;

		if (outcome != OUT_DONE && !(allowed && outcome == OUT_UNKNOWN))
			g_error(
			    "job %s ended as %s", key, outcome_name(outcome));
		g_free(key);
	}
}

/* Checks that the cell works after the fault, and the records; frees it. */
static void
check_recovery(struct cluster *c)
{
	struct job_set jobs = { c, "after", SHORT_RUN_MS, { 0 } };

	submit_jobs(&jobs, 0, JOBS);
	await_jobs(&jobs, false);
	cluster_check_records(c);
	cluster_free(c);
}

static void
test_no_fault(void)
{
	check_recovery(cluster_new(&conf));
}

static void
test_leader_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "leader", SHORT_RUN_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_signal(c, leader, SIGKILL);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, false);
	cluster_restart(c, leader);
	check_recovery(c);
	g_free(leader);
}

/*
 * A leader that resumes after another one was elected must not act on its old
 * state.
 */
static void
test_leader_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "leader-paused", LONG_RUN_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_signal(c, leader, SIGSTOP);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	g_assert_cmpstr(cluster_leader(c), !=, leader);
	cluster_signal(c, leader, SIGCONT);
	check_recovery(c);
	g_free(leader);
}

/*
 * An entry resumes after its grant from the leader has expired and its workers
 * were moved to another entry.
 */
static void
test_entry_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "entry-paused", LONG_RUN_MS, { 0 } };

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_signal(c, "e0", SIGSTOP);
	cluster_await_log(c, cluster_leader(c), "entry e0 removed");
	cluster_signal(c, "e0", SIGCONT);
	cluster_await_ready(c, "e0", 200);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	check_recovery(c);
}

static void
test_entry_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "entry", LONG_RUN_MS, { 0 } };

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_signal(c, "e0", SIGKILL);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	cluster_restart(c, "e0");
	cluster_await_ready(c, "e0", 200);
	check_recovery(c);
}

static void
test_worker_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "worker", LONG_RUN_MS, { 0 } };

	submit_jobs(&jobs, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGKILL);
	await_jobs(&jobs, true);
	cluster_restart(c, "w0");
	check_recovery(c);
}

static void
test_worker_paused(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "paused", LONG_RUN_MS, { 0 } };

	submit_jobs(&jobs, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGSTOP);
	await_jobs(&jobs, true);
	cluster_signal(c, "w0", SIGCONT);
	cluster_await_event(c, "w0", "lease-out", 1);
	cluster_await_event(c, "w0", "epoch", 2);
	check_recovery(c);
}

static void
test_entry_cut(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "cut", LONG_RUN_MS, { 0 } };
	json_t *spec = cluster_batch_spec("refused", SHORT_RUN_MS, false);
	const char *outcome;
	json_t *body;
	int status;

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_isolate(c, "e0");
	/* The isolated entry is out of date and rejects the job as not run. */
	cluster_await_ready(c, "e0", 503);
	body =
	    cluster_http(c, "e0", "POST", "/v1/jobs", "refused", spec, &status);
	outcome = json_string_value(json_object_get(body, "outcome"));
	g_assert_cmpint(status, ==, 503);
	g_assert_cmpstr(outcome, ==, "not-run");
	json_decref(body);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	cluster_heal(c);
	cluster_await_ready(c, "e0", 200);
	json_decref(spec);
	check_recovery(c);
}

/* A stop by SIGTERM interrupts nothing: all jobs are done, none is unknown. */
static void
test_planned_stops(void)
{
	struct cluster *c = cluster_new(&conf);
	char *leader = g_strdup(cluster_leader(c));
	const char *const names[] = { "e0", leader, "w0" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *name = g_strdup_printf("stop-%s", names[i]);
		struct job_set jobs = { c, name, LONG_RUN_MS / 2, { 0 } };

		submit_jobs(&jobs, 0, JOBS / 2);
		cluster_stop(c, names[i]);
		submit_jobs(&jobs, JOBS / 2, JOBS);
		await_jobs(&jobs, false);
		cluster_restart(c, names[i]);
		if (names[i][0] == 'e')
			cluster_await_ready(c, names[i], 200);
		g_free(name);
	}
	check_recovery(c);
	g_free(leader);
}

/* A leader that is cut off without closed connections must not act any more. */
static void
test_leader_cut(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "cut", LONG_RUN_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit_jobs(&jobs, 0, JOBS / 2);
	cluster_isolate(c, leader);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	g_assert_cmpstr(cluster_leader(c), !=, leader);
	cluster_heal(c);
	check_recovery(c);
	g_free(leader);
}

/* All replicas are killed at once: accepted jobs must be on disk. */
static void
test_all_replicas_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "all", SHORT_RUN_MS, { 0 } };
	const char *const names[] = { "r0", "r1", "r2" };

	submit_jobs(&jobs, 0, JOBS / 2);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		cluster_signal(c, names[i], SIGKILL);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		cluster_restart(c, names[i]);
	submit_jobs(&jobs, JOBS / 2, JOBS);
	await_jobs(&jobs, true);
	check_recovery(c);
}

/* The leader and a worker with running tasks are killed together. */
static void
test_leader_and_worker_killed(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "two", LONG_RUN_MS, { 0 } };
	char *leader = g_strdup(cluster_leader(c));

	submit_jobs(&jobs, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	cluster_signal(c, "w0", SIGKILL);
	cluster_signal(c, leader, SIGKILL);
	await_jobs(&jobs, true);
	cluster_restart(c, "w0");
	cluster_restart(c, leader);
	check_recovery(c);
	g_free(leader);
}

/* Orders to one worker are delayed and then arrive together. */
static void
test_orders_held(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "held", SHORT_RUN_MS, { 0 } };

	cluster_fault(c, "cut", "w0", NULL, NULL);
	submit_jobs(&jobs, 0, JOBS);
	/* All jobs but those that may be assigned to w0. */
	cluster_await_event(c, NULL, "told", JOBS - SLOTS);
	cluster_heal(c);
	await_jobs(&jobs, true);
	check_recovery(c);
}

/*
 * Start orders to one worker are delivered only after the lease on which they
 * were sent is over and all tasks have ended elsewhere.
 */
static void
test_order_past_stop(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "past", SHORT_RUN_MS, { 0 } };

	cluster_fault(c, "cut", "w0", NULL, NULL);
	submit_jobs(&jobs, 0, JOBS);
	await_jobs(&jobs, true);
	cluster_heal(c);
	check_recovery(c);
}

/* Returns the announcement of a worker's process; free with json_decref(). */
static json_t *
announcement(struct cluster *c, const char *name, json_int_t incarnation)
{
	int status = 0;
	json_t *all =
	    cluster_http(c, "e0", "GET", "/v1/workers", NULL, NULL, &status);
	json_t *list = json_object_get(all, "workers");
	json_t *found = NULL;

	g_assert_cmpint(status, ==, 200);
	for (size_t i = 0; found == NULL && i < json_array_size(list); i++) {
		json_t *w = json_array_get(list, i);

		if (strcmp(json_string_value(json_object_get(w, "name")),
			name) != 0)
			continue;
		found = json_pack("{s:s,s:I,s:O,s:O,s:O,s:i,s:i,s:i,s:i}",
		    "name", name, "incarnation", incarnation, "address",
		    json_object_get(w, "address"), "rack",
		    json_object_get(w, "rack"), "data_center",
		    json_object_get(w, "data_center"), "millicpus", 4000,
		    "memory_bytes", 1 << 30, "slots", SLOTS, "connections", 1);
	}
	g_assert_nonnull(found);
	json_decref(all);
	return found;
}

static int
post_announcement(struct cluster *c, const json_t *body)
{
	int status = 0;
	json_t *answer =
	    cluster_http(c, "e1", "POST", "/v1/workers", NULL, body, &status);

	json_decref(answer);
	return status;
}

/*
 * An announcement of a worker's earlier process arrives while the next one
 * runs tasks: it is refused, and they run on.
 */
static void
test_late_announcement(void)
{
	struct cluster *c = cluster_new(&conf);
	struct job_set jobs = { c, "late", LONG_RUN_MS, { 0 } };
	json_t *earlier = announcement(c, "w0", 1);

	cluster_signal(c, "w0", SIGKILL);
	g_assert_cmpint(post_announcement(c, earlier), ==, 200);
	cluster_restart(c, "w0");
	submit_jobs(&jobs, 0, JOBS);
	cluster_await_event(c, "w0", "start", 1);
	g_assert_cmpint(post_announcement(c, earlier), ==, 409);
	await_jobs(&jobs, false);
	json_decref(earlier);
	check_recovery(c);
}

/* Longer than a silent link to a leader is kept (LINK_IDLE_MS). */
#define ANSWER_LOSS_MS 5000
#define ANSWER_LOSSES 3
#define ANSWER_LOSS_TRIES 9

/* Kills a leader once it has committed a job, or has not seen it for long. */
struct killer {
	struct cluster *cluster;
	const char *leader;
	char *committed; /* its log line */
	bool seen; /* result */
};

static gpointer
kill_once_committed(gpointer arg)
{
	struct killer *k = arg;

	k->seen = cluster_logged_within(
	    k->cluster, k->leader, k->committed, ANSWER_LOSS_MS);
	cluster_signal(k->cluster, k->leader, SIGKILL);
	return NULL;
}

/* Loses a leader's answer to a submission, and the leader. Says whether it had
 * committed the job before; if not, "not run" is a true answer. */
static bool
lose_answer(struct cluster *c, const char *key)
{
	json_t *spec = cluster_batch_spec(key, LONG_RUN_MS, false);
	char *leader = g_strdup(cluster_leader(c));
	struct killer killer = { .cluster = c,
		.leader = leader,
		.committed = g_strdup_printf("name=%s outcome=accepted", key) };
	GThread *thread;
	json_t *body;
	json_int_t job;
	int status = 0;

	cluster_fault(c, "oneway", "e0", leader, "down");
	thread = g_thread_new("killer", kill_once_committed, &killer);
	body = cluster_http(c, "e0", "POST", "/v1/jobs", key, spec, &status);
	g_thread_join(thread);
	cluster_heal(c);
	if (killer.seen)
		g_assert_cmpint(status, !=, 503);
	job = json_integer_value(json_object_get(body, "job"));
	if (status == 202)
		g_assert_cmpint(
		    (json_int_t)cluster_submit(c, key, spec), ==, job);
	else
		job = (json_int_t)cluster_submit(c, key, spec);
	g_assert_cmpint(cluster_await_job(c, key, (uint64_t)job), ==, OUT_DONE);
	cluster_restart(c, leader);
	json_decref(body);
	json_decref(spec);
	g_free(killer.committed);
	g_free(leader);
	return killer.seen;
}

/*
 * The leader accepts a job, its answer is lost and it is killed. The entry
 * does not report the job as not run; the same key names the same job.
 */
static void
test_answer_lost(void)
{
	struct cluster *c = cluster_new(&conf);
	int lost = 0;

	for (int i = 0; lost < ANSWER_LOSSES; i++) {
		char *key = g_strdup_printf("answer-%d", i);

		g_assert_cmpint(i, <, ANSWER_LOSS_TRIES);
		lost += lose_answer(c, key);
		g_free(key);
	}
	check_recovery(c);
}

/* Calls to a service, one of whose workers is killed. */
static void
test_calls(void)
{
	struct cluster_conf service_conf = conf;
	struct cluster *c;
	int done = 0;

	service_conf.base = base_with_service;
	c = cluster_new(&service_conf);
	cluster_await_event(c, NULL, "start", 4);
	for (int i = 0; i < 4 * JOBS; i++) {
		char *key = g_strdup_printf("call-%d", i);
		enum outcome outcome = cluster_call(
		    c, i % 2 == 0 ? "e0" : "e1", "desk", key, false);

		done += outcome == OUT_DONE;
		if (i == JOBS)
			cluster_signal(c, "w0", SIGKILL);
		g_free(key);
	}
	/* Three of four tasks still answer calls. */
	g_assert_cmpint(done, >=, 2 * JOBS);
	cluster_restart(c, "w0");
	check_recovery(c);
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
	g_test_add_func("/fault/order-past-stop", test_order_past_stop);
	g_test_add_func("/fault/late-announcement", test_late_announcement);
	g_test_add_func("/fault/answer-lost", test_answer_lost);
	g_test_add_func("/fault/calls", test_calls);
	return g_test_run();
}
