/* Recovery of a cell of real processes: lost disks, restarts, racing
 * operators, many changes while a process is down. */
#include <string.h>

#include "cluster.h"

#define WAVE 8
#define RUN_MS 100
#define CHANGES 300
#define TRIES_MAX 3000
#define TRY_US 20000

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

/* Submits a wave; none of it may be lost. */
static void
wave(struct cluster *c, const char *name)
{
	uint64_t job[WAVE];

	for (int i = 0; i < 2 * WAVE; i++) {
		char *key = g_strdup_printf("%s-%d", name, i % WAVE);
		json_t *spec = cluster_batch(key, RUN_MS, true);

		if (i < WAVE)
			job[i] = cluster_submit(c, key, spec);
		else
			g_assert_cmpint(
			    cluster_await_job(c, key, job[i - WAVE]), ==,
			    OUT_DONE);
		json_decref(spec);
		g_free(key);
	}
}

/* A number in the status that an entry gives, by its path; -1: none. */
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
await_number(
    struct cluster *c, const char *part, const char *key, json_int_t want)
{
	json_int_t have = -1;

	for (int i = 0; i < TRIES_MAX && have != want; i++) {
		have = status_number(c, part, key);
		if (have != want)
			g_usleep(TRY_US);
	}
	g_assert_cmpint(have, ==, want);
}

/* Three voters, all connected, this one among them if it is a replica. */
static bool
whole(const json_t *status, const char *name)
{
	const json_t *members =
	    json_object_get(json_object_get(status, "replica"), "members");
	bool found = name[0] != 'r';
	size_t good = 0;
	size_t i;
	json_t *m;

	json_array_foreach(members, i, m)
	{
		good += json_is_true(json_object_get(m, "voter")) &&
		    json_is_true(json_object_get(m, "connected"));
		found |=
		    g_strcmp0(json_string_value(json_object_get(m, "name")),
			name) == 0;
	}
	return found && good == 3 && json_array_size(members) == 3;
}

static void
await_voters(struct cluster *c, const char *name)
{
	bool ok = false;

	for (int i = 0; i < TRIES_MAX && !ok; i++) {
		int status = 0;
		json_t *body = cluster_http(
		    c, "e0", "GET", "/v1/status", NULL, NULL, &status);

		ok = whole(body, name);
		json_decref(body);
		if (!ok)
			g_usleep(TRY_US);
	}
	g_assert_true(ok);
}

/* Some replica that does not lead. */
static char *
follower(struct cluster *c)
{
	const char *leader = cluster_leader(c);

	return g_strdup(g_strcmp0(leader, "r0") == 0 ? "r1" : "r0");
}

/* An emptied disk comes back as a learner, is made a voter, and a second
 * replica may be lost right after. */
static void
test_lost_disk(void)
{
	struct cluster *c = cluster_new(&conf);
	char *first = follower(c);
	char *leader;

	wave(c, "before");
	cluster_signal(c, first, SIGKILL);
	cluster_lose_disk(c, first);
	wave(c, "without");
	cluster_restart(c, first);
	await_voters(c, first);
	leader = g_strdup(cluster_leader(c));
	cluster_signal(c, leader, SIGKILL);
	wave(c, "after");
	cluster_restart(c, leader);
	wave(c, "again");
	cluster_judge(c);
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

/* Two changes with equal numbers: one wins, the other is told whose; the
 * winner's resend gets its first answer; a kill of all reverts nothing. */
static void
test_operators_race(void)
{
	struct cluster *c = cluster_new(&conf);
	int one = 0;
	int two = 0;
	int again = 0;
	json_t *a = put_config(c, "e0", 2, "ann", "  x: {weight: 1}\n", &one);
	json_t *b = put_config(c, "e1", 2, "bob", "  y: {weight: 1}\n", &two);
	json_t *r = put_config(c, "e1", 2, "ann", "  x: {weight: 1}\n", &again);

	g_assert_cmpint(one, ==, 200);
	g_assert_cmpint(two, ==, 409);
	g_assert_cmpint(again, ==, 200);
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
	await_number(c, NULL, "config_version", 2);
	cluster_free(c);
}

/*
 * A replica that missed a change meets one whose disk is empty, while the
 * others are down: they must not found a cell of their own, in which the
 * change was never made.
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
	cluster_lose_disk(c, emptied);
	cluster_restart(c, behind);
	cluster_restart(c, emptied);
	cluster_await_log(c, emptied, "waits for the cell");
	cluster_restart(c, "r2");
	await_number(c, NULL, "config_version", 2);
	await_voters(c, emptied);
	cluster_free(c);
	g_free(behind);
}

/*
 * Leases are made shorter while attempts run under longer ones: those that a
 * paused worker holds must not start elsewhere before their own leases end.
 */
static void
test_shorter_lease(void)
{
	struct cluster_conf longer = conf;
	struct cluster *c;
	uint64_t job[2 * WAVE];
	int status = 0;

	longer.base = base_longer;
	c = cluster_new(&longer);
	for (int i = 0; i < 2 * WAVE; i++) {
		char *key = g_strdup_printf("lease-%d", i);
		json_t *spec = cluster_batch(key, 12 * RUN_MS, true);

		job[i] = cluster_submit(c, key, spec);
		json_decref(spec);
		g_free(key);
	}
	cluster_await_event(c, "w0", "start", 1);
	json_decref(put_config(c, "e0", 2, "op", "", &status));
	g_assert_cmpint(status, ==, 200);
	cluster_signal(c, "w0", SIGSTOP);
	for (int i = 0; i < 2 * WAVE; i++) {
		char *key = g_strdup_printf("lease-%d", i);

		g_assert_cmpint(
		    cluster_await_job(c, key, job[i]), ==, OUT_DONE);
		g_free(key);
	}
	cluster_signal(c, "w0", SIGCONT);
	wave(c, "after");
	cluster_judge(c);
	cluster_free(c);
}

/* The version in force at a node, as the leader was told; -1: not known. */
static json_int_t
version_at(struct cluster *c, const char *name)
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

/* A replica and an entry miss hundreds of changes; the entry takes no request
 * before it has caught up, and no version ever goes back. */
static void
test_many_changes(void)
{
	struct cluster *c = cluster_new(&conf);
	char *down = follower(c);
	json_int_t version = -1;

	cluster_signal(c, down, SIGKILL);
	cluster_signal(c, "e1", SIGKILL);
	for (int i = 2; i <= CHANGES; i++) {
		char *extra = g_strdup_printf("  t%d: {weight: 1}\n", i);
		int status = 0;

		json_decref(put_config(c, "e0", i, "op", extra, &status));
		g_assert_cmpint(status, ==, 200);
		g_free(extra);
	}
	cluster_restart(c, down);
	cluster_restart(c, "e1");
	cluster_await_log(c, down, "restored a snapshot");
	cluster_await_ready(c, "e1", 200);
	for (int i = 0; i < TRIES_MAX && version != CHANGES; i++) {
		json_int_t now = version_at(c, "e1");

		/* 0 only until the first push has been acknowledged. */
		g_assert_true(now == -1 || now == 0 || now == CHANGES);
		version = now;
		g_usleep(TRY_US);
	}
	g_assert_cmpint(version, ==, CHANGES);
	await_number(c, NULL, "config_version", CHANGES);
	wave(c, "after");
	cluster_free(c);
	g_free(down);
}

/* Every process is stopped and started in turn; nothing is lost. */
static void
test_rolling_restart(void)
{
	static const char *const names[] = { "r0", "e0", "r1", "e1", "r2" };
	struct cluster *c = cluster_new(&conf);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		uint64_t job[WAVE];

		for (int k = 0; k < WAVE; k++) {
			char *key = g_strdup_printf("roll-%s-%d", names[i], k);
			json_t *spec = cluster_batch(key, 5 * RUN_MS, false);

			if (k == WAVE / 2)
				cluster_stop(c, names[i]);
			job[k] = cluster_submit(c, key, spec);
			json_decref(spec);
			g_free(key);
		}
		cluster_restart(c, names[i]);
		if (names[i][0] == 'e')
			cluster_await_ready(c, names[i], 200);
		for (int k = 0; k < WAVE; k++) {
			char *key = g_strdup_printf("roll-%s-%d", names[i], k);

			/* Not idempotent: done, and not merely unknown. */
			g_assert_cmpint(
			    cluster_await_job(c, key, job[k]), ==, OUT_DONE);
			g_free(key);
		}
		await_voters(c, names[i]);
	}
	cluster_judge(c);
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
