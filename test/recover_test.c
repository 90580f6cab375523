/*
 * Tests of a cell of real processes after lost disks and restarts, and with
 * concurrent or many configuration changes.
 */
#include <string.h>

#include "cluster.h"

#define JOBS 8
#define RUN_MS 100
#define CHANGES 300
#define POLLS_MAX 3000
#define POLL_INTERVAL_US 20000

static const char base[] =
    "policy:\n"
    "  heartbeat_ms: 200\n"
    "  suspect_ms: 800\n"
    "  lease_ms: {service: 4000, batch: 2000, gang: 2000}\n"
    "teams:\n"
    "  team: {weight: 1}\n";

static const char base_longer[] =
    "policy:\n"
    "  heartbeat_ms: 200\n"
    "  suspect_ms: 800\n"
    "  lease_ms: {service: 8000, batch: 8000, gang: 8000}\n"
    "teams:\n"
    "  team: {weight: 1}\n";

static const char *const flags[] = { "--millicpus=8000", NULL };

static const struct cluster_conf conf = { .replicas = 3,
	.entries = 2,
	.workers = 2,
	.base = base,
	.worker_flags = flags };

/* Submits JOBS jobs and checks that all are done. */
static void
run_jobs(struct cluster *c, const char *name)
{
	uint64_t job[JOBS];

	for (int i = 0; i < 2 * JOBS; i++) {
		char *key = g_strdup_printf("%s-%d", name, i % JOBS);
		json_t *spec = cluster_batch_spec(key, RUN_MS, true);

		if (i < JOBS)
			job[i] = cluster_submit(c, key, spec);
		else
			g_assert_cmpint(
			    cluster_await_job(c, key, job[i - JOBS]), ==,
			    OUT_DONE);
		json_decref(spec);
		g_free(key);
	}
}

/*
 * Returns a number from entry e0's /v1/status: key of the object part, or of
 * the top level if part is NULL. -1: there is none.
 */
static json_int_t
status_number(struct cluster *c, const char *part, const char *key)
{
	int status = 0;
	json_t *body =
	    cluster_http(c, "e0", "GET", "/v1/status", NULL, NULL, &status);
	const json_t *in = part == NULL ? body : json_object_get(body, part);
	const json_t *n = json_object_get(in, key);
	json_int_t value = json_is_integer(n) ? json_integer_value(n) : -1;

	json_decref(body);
	return value;
}

static void
await_status_number(
    struct cluster *c, const char *part, const char *key, json_int_t want)
{
	json_int_t value = -1;

	for (int i = 0; i < POLLS_MAX && value != want; i++) {
		value = status_number(c, part, key);
		if (value != want)
			g_usleep(POLL_INTERVAL_US);
	}
	g_assert_cmpint(value, ==, want);
}

/*
 * Whether the members are three connected voters and, if the process is a
 * replica, include it.
 */
static bool
all_voters_connected(const json_t *status, const char *name)
{
	const json_t *members =
	    json_object_get(json_object_get(status, "replica"), "members");
	bool found = name[0] != 'r';
	size_t connected = 0;
	size_t i;
	json_t *m;

	json_array_foreach(members, i, m)
	{
		connected += json_is_true(json_object_get(m, "voter")) &&
		    json_is_true(json_object_get(m, "connected"));
		found |=
		    g_strcmp0(json_string_value(json_object_get(m, "name")),
			name) == 0;
	}
	return found && connected == 3 && json_array_size(members) == 3;
}

static void
await_voters(struct cluster *c, const char *name)
{
	bool ok = false;

	for (int i = 0; i < POLLS_MAX && !ok; i++) {
		int status = 0;
		json_t *body = cluster_http(
		    c, "e0", "GET", "/v1/status", NULL, NULL, &status);

		ok = all_voters_connected(body, name);
		json_decref(body);
		if (!ok)
			g_usleep(POLL_INTERVAL_US);
	}
	g_assert_true(ok);
}

/* Returns a replica that is not the leader. */
static char *
follower(struct cluster *c)
{
	const char *leader = cluster_leader(c);

	return g_strdup(g_strcmp0(leader, "r0") == 0 ? "r1" : "r0");
}

/*
 * A replica with an empty disk joins as a learner and becomes a voter. Right
 * after that the cell must tolerate the loss of a second replica.
 */
static void
test_lost_disk(void)
{
	struct cluster *c = cluster_new(&conf);
	char *first = follower(c);
	char *leader;

	run_jobs(c, "before");
	cluster_signal(c, first, SIGKILL);
	cluster_delete_data(c, first);
	run_jobs(c, "without");
	cluster_restart(c, first);
	await_voters(c, first);
	leader = g_strdup(cluster_leader(c));
	cluster_signal(c, leader, SIGKILL);
	run_jobs(c, "after");
	cluster_restart(c, leader);
	run_jobs(c, "again");
	cluster_check_records(c);
	cluster_free(c);
	g_free(leader);
	g_free(first);
}

static json_t *
put_config(struct cluster *c, const char *entry, int version,
    const char *author, const char *extra, int *status)
{
	char *text = g_strconcat(base, extra, NULL);
	json_t *body = json_pack("{s:i,s:s,s:s}", "version", version, "author",
	    author, "base", text);
	json_t *reply =
	    cluster_http(c, entry, "PUT", "/v1/config", NULL, body, status);

	json_decref(body);
	g_free(text);
	return reply;
}

/*
 * Of two changes with the same version one succeeds; the other gets 409 with
 * the author and the digest of the first. A resend of the first succeeds again.
 * The change is still there after all replicas were killed.
 */
static void
test_operators_race(void)
{
	struct cluster *c = cluster_new(&conf);
	int status_ann = 0;
	int status_bob = 0;
	int status_resend = 0;
	json_t *a =
	    put_config(c, "e0", 2, "ann", "  x: {weight: 1}\n", &status_ann);
	json_t *b =
	    put_config(c, "e1", 2, "bob", "  y: {weight: 1}\n", &status_bob);
	json_t *r =
	    put_config(c, "e1", 2, "ann", "  x: {weight: 1}\n", &status_resend);

	g_assert_cmpint(status_ann, ==, 200);
	g_assert_cmpint(status_bob, ==, 409);
	g_assert_cmpint(status_resend, ==, 200);
	g_assert_cmpstr(
	    json_string_value(json_object_get(b, "author")), ==, "ann");
	g_assert_cmpstr(json_string_value(json_object_get(b, "digest")), ==,
	    json_string_value(json_object_get(a, "digest")));
	json_decref(a);
	json_decref(b);
	json_decref(r);
	for (int i = 0; i < 3; i++) {
		char name[] = { 'r', (char)('0' + i), '\0' };

		cluster_signal(c, name, SIGKILL);
	}
	for (int i = 0; i < 3; i++) {
		char name[] = { 'r', (char)('0' + i), '\0' };

		cluster_restart(c, name);
	}
	await_status_number(c, NULL, "config_version", 2);
	cluster_free(c);
}

/*
 * A replica that missed a change connects to one with an empty disk while the
 * third is down. The two must not bootstrap a second cell, which would lack the
 * change.
 */
static void
test_no_second_cell(void)
{
	struct cluster *c = cluster_new(&conf);
	char *behind = follower(c);
	const char *emptied = strcmp(behind, "r0") == 0 ? "r1" : "r0";
	int status = 0;

	cluster_signal(c, behind, SIGKILL);
	json_decref(
	    put_config(c, "e0", 2, "op", "  x: {weight: 1}\n", &status));
	g_assert_cmpint(status, ==, 200);
	for (int i = 0; i < 3; i++) {
		char name[] = { 'r', (char)('0' + i), '\0' };

		if (strcmp(name, behind) != 0)
			cluster_signal(c, name, SIGKILL);
	}
	cluster_delete_data(c, emptied);
	cluster_restart(c, behind);
	cluster_restart(c, emptied);
	cluster_await_log(c, emptied, "waits for the cell");
	cluster_restart(c, "r2");
	await_status_number(c, NULL, "config_version", 2);
	await_voters(c, emptied);
	cluster_free(c);
	g_free(behind);
}

/*
 * The lease time is shortened while attempts run with longer leases. Those of a
 * paused worker must not be started elsewhere before their own leases end.
 */
static void
test_shorter_lease(void)
{
	struct cluster_conf longer_conf = conf;
	struct cluster *c;
	uint64_t job[2 * JOBS];
	int status = 0;

	longer_conf.base = base_longer;
	c = cluster_new(&longer_conf);
	for (int i = 0; i < 2 * JOBS; i++) {
		char *key = g_strdup_printf("lease-%d", i);
		json_t *spec = cluster_batch_spec(key, 12 * RUN_MS, true);

		job[i] = cluster_submit(c, key, spec);
		json_decref(spec);
		g_free(key);
	}
	cluster_await_event(c, "w0", "start", 1);
	json_decref(put_config(c, "e0", 2, "op", "", &status));
	g_assert_cmpint(status, ==, 200);
	cluster_signal(c, "w0", SIGSTOP);
	for (int i = 0; i < 2 * JOBS; i++) {
		char *key = g_strdup_printf("lease-%d", i);

		g_assert_cmpint(
		    cluster_await_job(c, key, job[i]), ==, OUT_DONE);
		g_free(key);
	}
	cluster_signal(c, "w0", SIGCONT);
	run_jobs(c, "after");
	cluster_check_records(c);
	cluster_free(c);
}

/* Returns the version that a node has reported to the leader; -1: none. */
static json_int_t
reported_version(struct cluster *c, const char *name)
{
	int status = 0;
	json_t *body =
	    cluster_http(c, "e0", "GET", "/v1/nodes", NULL, NULL, &status);
	const json_t *nodes = json_object_get(body, "nodes");
	json_int_t version = -1;
	size_t i;
	json_t *n;

	json_array_foreach(nodes, i, n)
	{
		if (g_strcmp0(json_string_value(json_object_get(n, "name")),
			name) == 0)
			version =
			    json_integer_value(json_object_get(n, "version"));
	}
	json_decref(body);
	return version;
}

/*
 * A replica and an entry miss hundreds of changes. The entry must not serve
 * requests before it has the newest version, and no version may decrease.
 */
static void
test_many_changes(void)
{
	struct cluster *c = cluster_new(&conf);
	char *killed = follower(c);
	json_int_t version = -1;

	cluster_signal(c, killed, SIGKILL);
	cluster_signal(c, "e1", SIGKILL);
	for (int i = 2; i <= CHANGES; i++) {
		char *extra = g_strdup_printf("  t%d: {weight: 1}\n", i);
		int status = 0;

		json_decref(put_config(c, "e0", i, "op", extra, &status));
		g_assert_cmpint(status, ==, 200);
		g_free(extra);
	}
	cluster_restart(c, killed);
	cluster_restart(c, "e1");
	cluster_await_log(c, killed, "restored a snapshot");
	cluster_await_ready(c, "e1", 200);
	for (int i = 0; i < POLLS_MAX && version != CHANGES; i++) {
		json_int_t now = reported_version(c, "e1");

		/* 0 only until the first push has been acknowledged. */
		g_assert_true(now == -1 || now == 0 || now == CHANGES);
		version = now;
		g_usleep(POLL_INTERVAL_US);
	}
	g_assert_cmpint(version, ==, CHANGES);
	await_status_number(c, NULL, "config_version", CHANGES);
	run_jobs(c, "after");
	cluster_free(c);
	g_free(killed);
}

/* Each process is stopped by SIGTERM and restarted in turn; no job is lost. */
static void
test_rolling_restart(void)
{
	static const char *const names[] = { "r0", "e0", "r1", "e1", "r2" };
	struct cluster *c = cluster_new(&conf);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		uint64_t job[JOBS];

		for (int k = 0; k < JOBS; k++) {
			char *key = g_strdup_printf("roll-%s-%d", names[i], k);
			json_t *spec =
			    cluster_batch_spec(key, 5 * RUN_MS, false);

			if (k == JOBS / 2)
				cluster_stop(c, names[i]);
			job[k] = cluster_submit(c, key, spec);
			json_decref(spec);
			g_free(key);
		}
		cluster_restart(c, names[i]);
		if (names[i][0] == 'e')
			cluster_await_ready(c, names[i], 200);
		for (int k = 0; k < JOBS; k++) {
			char *key = g_strdup_printf("roll-%s-%d", names[i], k);

			/* Not idempotent, but done rather than unknown. */
			g_assert_cmpint(
			    cluster_await_job(c, key, job[k]), ==, OUT_DONE);
			g_free(key);
		}
		await_voters(c, names[i]);
	}
	cluster_check_records(c);
	cluster_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/recover/lost-disk", test_lost_disk);
	g_test_add_func("/recover/operators-race", test_operators_race);
	g_test_add_func("/recover/no-second-cell", test_no_second_cell);
	g_test_add_func("/recover/shorter-lease", test_shorter_lease);
	g_test_add_func("/recover/many-changes", test_many_changes);
	g_test_add_func("/recover/rolling-restart", test_rolling_restart);
	return g_test_run();
}
