/*
 * Tests with real processes of a cell that use the platform's protocol and
 * discover each other through seeds: job submission to completion, lost disks,
 * graceful stops.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "stepcell.h"
#include "tcp.h"

#define JOB(n) "/q/000000000000000" n

static void
test_whole_path(void)
{
	struct cell *c = cell_new();

	CELL_AWAIT(c, cell_submit(c, 3, JOB("1")));
	g_assert_true(cell_submit(c, 0, JOB("1"))); /* duplicate */
	CELL_AWAIT(c, cell_state_is(c, 1, JOB("1"), "completed"));
	cell_assert_done_once(c, 3);
	g_assert_cmpint(
	    cell_call(c, c->node[2].callers, EVHTTP_REQ_GET, "/q/", NULL), ==,
	    200);
	g_assert_cmpstr(c->body, ==, "{\"waiting\":0}");
	g_assert_cmpint(
	    cell_call(c, c->node[2].callers, EVHTTP_REQ_GET, JOB("f"), NULL),
	    ==, 410);
	g_assert_cmpint(cell_call(c, c->node[2].callers, EVHTTP_REQ_GET,
			    "/none/0000000000000001", NULL),
	    ==, 404);
	g_assert_cmpint(cell_call(c, c->node[2].control, EVHTTP_REQ_POST,
			    "/bulrushtide/config/replace", "{\"version\":9}"),
	    ==, 400);
	cell_free(c);
}

#define EXPLAIN "/v1/explain?host=jobs.example&path=/q/"

static int
call_explain(struct cell *c, int node, const char *path, const char *body)
{
	return cell_call(c, c->node[node].metrics, EVHTTP_REQ_POST, path, body);
}

/* Guards against an explanation that depends on which process is asked, that
 * submits the job, or that hides what is wrong with the request. */
static void
test_explain(void)
{
	static const char job[] = "{\"steps\":[{\"count\":2,\"cpu\":1000}]}";
	struct cell *c = cell_new();

	CELL_AWAIT(c, cell_submit(c, 3, JOB("1")));
	CELL_AWAIT(c, cell_state_is(c, 1, JOB("1"), "completed"));
	for (int i = 0; i < NODES; i++) {
		g_assert_cmpint(
		    call_explain(c, i, EXPLAIN "0000000000000002", job), ==,
		    200);
		g_assert_nonnull(strstr(c->body, "\"outcome\":\"accepted\""));
		g_assert_nonnull(strstr(c->body, "\"placed\":2"));
	}
	g_assert_cmpint(
	    cell_call(c, c->node[0].callers, EVHTTP_REQ_GET, JOB("2"), NULL),
	    ==, 410);
	g_assert_cmpint(call_explain(c, 0, "/v1/explain?host=h", job), ==, 400);
	g_assert_nonnull(strstr(c->body, "path: missing"));
	g_assert_cmpint(
	    call_explain(c, 0, EXPLAIN, "{\"steps\":[{},{\"cpu\":-1}]}"), ==,
	    400);
	g_assert_nonnull(strstr(c->body, "steps[1]"));
	g_assert_cmpint(
	    call_explain(c, 0, "/v1/explain?host=h&path=/none/", job), ==, 404);
	g_assert_nonnull(strstr(c->body, "no such queue"));
	for (int i = 1; i < NODES; i++)
		cell_kill_node(c, i);
	CELL_AWAIT(c, call_explain(c, 0, EXPLAIN, job) == 503);
	cell_free(c);
}

#define LARGE_QUEUES 1000 /* a document of 160 KB */
#define QUEUES_NEAR_LIMIT 25000 /* a document of nearly 4 MiB */

/* Calls the control address of a node, following one redirect. */
static int
call_control(struct cell *c, int node, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	int status = cell_call(c, c->node[node].control, method, path, body);
	char *address;
	size_t len;

	if (status != 307)
		return status;
	g_assert_true(g_str_has_prefix(c->location, "http://"));
	g_assert_true(g_str_has_suffix(c->location, path));
	len = strlen(c->location) - strlen("http://") - strlen(path);
	address = g_strndup(c->location + strlen("http://"), len);
	status = cell_call(c, address, method, path, body);
	g_free(address);
	return status;
}

static int
read_config(struct cell *c, int node)
{
	return call_control(
	    c, node, EVHTTP_REQ_GET, "/bulrushtide/config/read", NULL);
}

/* A large configuration is accepted by an entry. Only the leader sends it to
 * readers: all others redirect there rather than use their own links. */
static void
test_large_config(void)
{
	struct cell *c = cell_new();
	char *config = cell_make_config(20, LARGE_QUEUES);
	int redirected = 0;

	CELL_AWAIT(c,
	    call_control(c, 3, EVHTTP_REQ_POST, "/bulrushtide/config/replace",
		config) == 200);
	for (int i = 0; i < NODES; i++) {
		CELL_AWAIT(c, read_config(c, i) == 200);
		g_assert_cmpstr(c->body, ==, config);
		redirected += cell_call(c, c->node[i].control, EVHTTP_REQ_GET,
				  "/bulrushtide/config/read", NULL) == 307;
	}
	g_assert_cmpint(redirected, ==, NODES - 1);
	g_free(config);
	cell_free(c);
}

/* A document of nearly the permitted size is accepted and read back whole. */
static void
test_config_near_limit(void)
{
	struct cell *c = cell_new();
	char *config = cell_make_config(20, QUEUES_NEAR_LIMIT);

	CELL_AWAIT(c,
	    call_control(c, 3, EVHTTP_REQ_POST, "/bulrushtide/config/replace",
		config) == 200);
	for (int i = 0; i < NODES; i++) {
		CELL_AWAIT(c, read_config(c, i) == 200);
		g_assert_true(strcmp(c->body, config) == 0);
	}
	g_free(config);
	cell_free(c);
}

/* Sends the text while the cell keeps running. */
static void
send_text(struct cell *c, int fd, const char *text)
{
	size_t left = strlen(text);

	while (left > 0) {
		ssize_t n = send(fd, text, left, MSG_DONTWAIT | MSG_NOSIGNAL);

		g_assert_true(n > 0 || errno == EAGAIN);
		if (n > 0) {
			text += n;
			left -= (size_t)n;
		}
		cell_run_loop(c);
	}
}

/*
 * An entry redirects a large configuration to the leader before it receives
 * the body, which would occupy its link for seconds. The connection stays
 * usable if the body comes all the same.
 */
static void
test_config_slow_entry(void)
{
	struct cell *c = cell_new();
	char *config = cell_make_config(20, LARGE_QUEUES);
	char *head = g_strdup_printf("POST /bulrushtide/config/replace "
				     "HTTP/1.1\r\nHost: x\r\n"
				     "Content-Length: %zu\r\n\r\n",
	    strlen(config));
	GString *in = g_string_new(NULL);
	int fd;

	CELL_AWAIT(c, cell_node_ready(c, 3));
	fd = tcp_dial(c->node[3].control);
	g_assert_cmpint(fd, >=, 0);
	send_text(c, fd, head);
	CELL_AWAIT(c, tcp_received(fd, in, "\r\n\r\n"));
	g_assert_true(g_str_has_prefix(in->str, "HTTP/1.1 307 "));
	g_assert_nonnull(strstr(in->str, "Location: http://"));
	send_text(c, fd, config);
	g_string_truncate(in, 0);
	send_text(
	    c, fd, "GET /bulrushtide/config/read HTTP/1.1\r\nHost: x\r\n\r\n");
	CELL_AWAIT(c, tcp_received(fd, in, cell_config));
	g_assert_true(g_str_has_prefix(in->str, "HTTP/1.1 200 "));
	close(fd);
	g_string_free(in, TRUE);
	g_free(head);
	g_free(config);
	cell_free(c);
}

/* Each node with a disk in turn is killed and loses its disk. */
static void
test_lost_disks(void)
{
	struct cell *c = cell_new();
	guint jobs = 0;

	for (int i = 0; i < DISKS; i++) {
		char *path = g_strdup_printf("/q/000000000000000%d", i + 1);

		CELL_AWAIT(c, cell_submit(c, 3, path));
		jobs++;
		cell_kill_node(c, i);
		cell_wipe_disk(c, i);
		cell_start_node(c, i, false);
		CELL_AWAIT(c, cell_node_ready(c, i));
		CELL_AWAIT(c, cell_state_is(c, i, path, "completed"));
		CELL_AWAIT(c,
		    cell_call(c, c->node[i].control, EVHTTP_REQ_GET,
			"/bulrushtide/config/read", NULL) == 200);
		g_assert_cmpstr(c->body, ==, cell_config);
		/* Let the empty replica catch up before the next loss. */
		for (int64_t until = mono_ms() + 3000; mono_ms() < until;) {
			cell_run_loop(c);
		}
		g_free(path);
	}
	cell_assert_done_once(c, jobs * 3);
	cell_free(c);
}

/* All nodes stop gracefully in turn: exit status 0, no job is lost. */
static void
test_graceful_stops(void)
{
	struct cell *c = cell_new();

	for (int i = 0; i < NODES; i++) {
		char *path = g_strdup_printf("/q/00000000000000a%d", i);

		CELL_AWAIT(c, cell_submit(c, i, path));
		kill(c->node[i].proc->pid, SIGTERM);
		g_assert_cmpint(proc_wait(c->node[i].proc), ==, 0);
		g_clear_pointer(&c->node[i].proc, proc_free);
		cell_start_node(c, i, false);
		CELL_AWAIT(c, cell_node_ready(c, i));
		CELL_AWAIT(
		    c, cell_state_is(c, (i + 1) % NODES, path, "completed"));
		g_free(path);
	}
	cell_assert_done_once(c, NODES * 3);
	cell_free(c);
}

/*
 * A reload signal that comes while a process starts doesn't end it. The start
 * waits for its settings, which it reads from a FIFO.
 */
static void
test_early_reload(void)
{
	struct cell *c = cell_new();
	char *settings;
	int fd;

	cell_kill_node(c, NODES - 1);
	fd = cell_start_held(c, NODES - 1, &settings);
	kill(c->node[NODES - 1].proc->pid, SIGHUP);
	cell_release_start(c, NODES - 1, fd, settings);
	CELL_AWAIT(c, cell_node_ready(c, NODES - 1));
	cell_free(c);
}

/* --- keys of organisations --- */

#define COMMIT_DELAY_MS 100 /* of each link, so that a commit takes 200 ms */
#define KEY_ROUNDS 2

/* A configuration of organisation "blue" with the keys of a list that ends with
 * NULL, and of "red" with "red-key". */
static char *
key_config(int version, const char *const *keys)
{
	GString *list = g_string_new(NULL);
	char *text;

	for (int i = 0; keys[i] != NULL; i++)
		g_string_append_printf(
		    list, "%s\"%s\"", i == 0 ? "" : ",", keys[i]);
	text = g_strdup_printf(
	    "{\"version\":%d,\"routes\":[{\"name\":\"q\","
	    "\"host\":\"jobs.example\",\"pathPrefix\":\"/q/\","
	    "\"service\":\"desk\",\"timeoutMs\":3000,\"maxAttempts\":2,"
	    "\"slackFactor\":2,\"targetLatencyMs\":500}],"
	    "\"services\":[{\"name\":\"desk\"}],\"tenants\":["
	    "{\"name\":\"blue\",\"apiKeys\":[%s]},"
	    "{\"name\":\"red\",\"apiKeys\":[\"red-key\"]}]}",
	    version, list->str);
	g_string_free(list, TRUE);
	return text;
}

/* Stores the configuration with up to two keys of "blue" at some node. */
static void
set_blue_keys(
    struct cell *c, int node, int version, const char *one, const char *two)
{
	const char *const keys[] = { one, one == NULL ? NULL : two, NULL };
	char *config = key_config(version, keys);

	CELL_AWAIT(c, cell_configure(c, node, config) == 200);
	g_free(config);
}

/* Counts the waiting jobs with a key; the HTTP status. */
static int
call_with(struct cell *c, int node, const char *key)
{
	int status;

	c->key = key;
	status =
	    cell_call(c, c->node[node].callers, EVHTTP_REQ_GET, "/q/", NULL);
	c->key = NULL;
	return status;
}

/* Says whether a call with a revoked key got 401; it must not get 200. While
 * there is no leader it gets neither. */
static bool
is_refused(struct cell *c, int node, const char *key)
{
	int status = call_with(c, node, key);

	if (status == 200) {
		cell_print_logs(c);
		g_error("n%d accepts the revoked key %s", node, key);
	}
	return status == 401;
}

static void
assert_refused_everywhere(struct cell *c, const char *key)
{
	for (int i = 0; i < NODES; i++)
		CELL_AWAIT(c, is_refused(c, i, key));
}

/* The node that has logged the proposal of a version, or -1. */
static int
proposer(const struct cell *c, int version)
{
	char *line =
	    g_strdup_printf("event=config-proposed version=%d ", version);
	int found = -1;

	for (int i = 0; i < DISKS; i++) {
		char *text = cell_read_log(c, i);

		if (strstr(text, line) != NULL)
			found = i;
		g_free(text);
	}
	g_free(line);
	return found;
}

/*
 * The leader is killed between proposing the revocation of a key and
 * acknowledging it. Guards against a next leader that accepts the key after it
 * has acknowledged the repeated request, and against a first acknowledgement of
 * a version that is lost.
 */
static void
test_key_leader_killed(void)
{
	struct cell *c = cell_new();

	for (int round = 0; round < KEY_ROUNDS; round++) {
		int version = 10 + 10 * round;
		char *key = g_strdup_printf("blue-key-%d", round);
		const char *const keys[] = { "kept-key", NULL };
		char *config = key_config(version + 1, keys);
		int leader;
		int status;

		set_blue_keys(c, 3, version, "kept-key", key);
		g_assert_cmpint(call_with(c, 3, key), ==, 200);
		for (int i = 0; i < DISKS; i++)
			cell_proxy_command(
			    c, "delay n%d %d", i, COMMIT_DELAY_MS);
		cell_send(c, c->node[3].control, EVHTTP_REQ_POST,
		    "/bulrushtide/config/replace", config);
		CELL_AWAIT(
		    c, (leader = proposer(c, version + 1)) >= 0 || c->answered);
		g_assert_false(c->answered);
		cell_kill_node(c, leader);
		status = cell_await_answer(c);
		g_test_message("n%d killed, first answer %d", leader, status);
		if (status == 200)
			CELL_AWAIT(c, is_refused(c, 3, key));
		for (int i = 0; i < DISKS; i++)
			cell_proxy_command(c, "heal n%d", i);
		CELL_AWAIT(c, cell_configure(c, 3, config) == 200);
		for (int i = 0; i < NODES; i++)
			CELL_AWAIT(c, i == leader || is_refused(c, i, key));
		cell_start_node(c, leader, false);
		assert_refused_everywhere(c, key);
		for (int i = 0; i < NODES; i++)
			CELL_AWAIT(c, call_with(c, i, "kept-key") == 200);
		g_free(config);
		g_free(key);
	}
	cell_free(c);
}

/*
 * All processes are killed right after the revocation of a key was
 * acknowledged. Guards against a process that accepts keys before it has
 * applied what is committed, and against an acknowledgement of what is not on
 * the disks.
 */
static void
test_key_all_killed(void)
{
	struct cell *c = cell_new();

	set_blue_keys(c, 3, 10, "kept-key", "blue-key");
	CELL_AWAIT(c, call_with(c, 0, "blue-key") == 200);
	set_blue_keys(c, 3, 11, "kept-key", NULL);
	for (int i = 0; i < NODES; i++)
		cell_kill_node(c, i);
	for (int i = 0; i < NODES; i++)
		cell_start_node(c, i, false);
	assert_refused_everywhere(c, "blue-key");
	for (int i = 0; i < NODES; i++)
		CELL_AWAIT(c, call_with(c, i, "kept-key") == 200);
	cell_free(c);
}

/*
 * Each process in turn, the leader among them, is suspended while a key is
 * revoked. Calls that wait at it on a connection from before are answered when
 * it goes on: with 401, or without effect while it looks for the leader. Guards
 * against a process that accepts keys by its state of before.
 */
static void
test_key_process_paused(void)
{
	struct cell *c = cell_new();

	for (int i = 0; i < NODES; i++) {
		char *key = g_strdup_printf("blue-key-%d", i);
		int other = (i + 1) % NODES;
		int status;

		set_blue_keys(c, other, 10 + 2 * i, "kept-key", key);
		g_assert_cmpint(call_with(c, i, key), ==, 200);
		kill(c->node[i].proc->pid, SIGSTOP);
		set_blue_keys(c, other, 11 + 2 * i, "kept-key", NULL);
		c->key = key;
		cell_send(c, c->node[i].callers, EVHTTP_REQ_GET, "/q/", NULL);
		c->key = NULL;
		cell_run_loop(c);
		g_assert_false(c->answered);
		kill(c->node[i].proc->pid, SIGCONT);
		status = cell_await_answer(c);
		g_assert_cmpint(status, !=, 200);
		g_assert_cmpint(status, !=, 403);
		assert_refused_everywhere(c, key);
		CELL_AWAIT(c, call_with(c, i, "kept-key") == 200);
		g_free(key);
	}
	cell_free(c);
}

/*
 * A key works at every process from the acknowledgement of the version that
 * adds it, and not before. Guards against a process that checks keys against
 * an earlier version, and against calls without a key or to the job of another
 * organisation that are carried out.
 */
static void
test_key_added(void)
{
	struct cell *c = cell_new();

	for (int i = 0; i < NODES; i++)
		g_assert_cmpint(call_with(c, i, NULL), ==, 200);
	set_blue_keys(c, 3, 10, NULL, NULL);
	for (int i = 0; i < NODES; i++) {
		char *key = g_strdup_printf("blue-key-%d", i);

		g_assert_cmpint(call_with(c, i, key), ==, 401);
		g_assert_cmpint(call_with(c, i, NULL), ==, 401);
		set_blue_keys(c, i, 11 + i, key, NULL);
		for (int k = 0; k < NODES; k++)
			g_assert_cmpint(
			    call_with(c, (i + k) % NODES, key), ==, 200);
		g_free(key);
	}
	c->key = "blue-key-3";
	g_assert_true(cell_submit(c, 0, JOB("1")));
	c->key = "red-key";
	g_assert_cmpint(
	    cell_call(c, c->node[2].callers, EVHTTP_REQ_GET, JOB("1"), NULL),
	    ==, 403);
	g_assert_cmpint(
	    cell_call(c, c->node[3].callers, EVHTTP_REQ_DELETE, JOB("1"), NULL),
	    ==, 403);
	g_assert_false(cell_submit(c, 1, JOB("1")));
	g_assert_cmpint(c->status, ==, 403);
	g_assert_cmpint(
	    cell_call(c, c->node[1].callers, EVHTTP_REQ_GET, "/none/", NULL),
	    ==, 404);
	c->key = NULL;
	g_assert_false(cell_submit(c, 0, JOB("2")));
	g_assert_cmpint(c->status, ==, 401);
	c->key = "blue-key-3";
	CELL_AWAIT(c, cell_state_is(c, 1, JOB("1"), "completed"));
	cell_assert_done_once(c, 3);
	cell_free(c);
}

/* Guards against keys in the logs, whichever way a call or a configuration
 * with them fails, and against a refused call without a line about it. */
static void
test_key_not_logged(void)
{
	static const char line[] = "event=unauthenticated op=3 path=/q/ key=";
	struct cell *c = cell_new();
	char fingerprint[9];
	char *digest = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, "unknown-secret", -1);
	int lines = 0;

	g_strlcpy(fingerprint, digest, sizeof(fingerprint));
	set_blue_keys(c, 3, 10, "blue-secret", NULL);
	g_assert_cmpint(call_with(c, 3, "blue-secret"), ==, 200);
	g_assert_cmpint(call_with(c, 3, "unknown-secret"), ==, 401);
	c->key = "blue-secret";
	g_assert_true(cell_submit(c, 0, JOB("1")));
	c->key = "red-key";
	g_assert_false(cell_submit(c, 0, JOB("1")));
	c->key = NULL;
	g_assert_cmpint(
	    cell_configure(c, 1, "{\"tenants\":[{\"apiKeys\":[5 \"a-secret\"]"),
	    ==, 400);
	g_assert_null(strstr(c->body, "secret"));
	g_assert_cmpint(
	    cell_configure(c, 1,
		"{\"version\":11,\"routes\":[],\"services\":[],\"tenants\":["
		"{\"name\":\"a\",\"apiKeys\":[\"a-secret\"]},"
		"{\"name\":\"b\",\"apiKeys\":[\"a-secret\"]}]}"),
	    ==, 400);
	g_assert_nonnull(strstr(c->body, "tenants[1].apiKeys: "));
	g_assert_null(strstr(c->body, "secret"));
	/* The lines of a process are written within 25 ms. */
	for (int64_t until = mono_ms() + 300; mono_ms() < until;)
		cell_run_loop(c);
	for (int i = 0; i < NODES; i++) {
		char *text = cell_read_log(c, i);
		const char *found = strstr(text, line);

		g_assert_null(strstr(text, "secret"));
		g_assert_null(strstr(text, "red-key"));
		lines += found != NULL &&
		    g_str_has_prefix(found + strlen(line), fingerprint);
		g_free(text);
	}
	g_assert_cmpint(lines, ==, 1);
	g_free(digest);
	cell_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A process may close a connection that a test still writes to. */
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/cellnode/whole-path", test_whole_path);
	g_test_add_func("/cellnode/explain", test_explain);
	g_test_add_func("/cellnode/large-config", test_large_config);
	g_test_add_func("/cellnode/config-near-limit", test_config_near_limit);
	g_test_add_func("/cellnode/config-slow-entry", test_config_slow_entry);
	g_test_add_func("/cellnode/losses", test_lost_disks);
	g_test_add_func("/cellnode/stops", test_graceful_stops);
	g_test_add_func("/cellnode/early-reload", test_early_reload);
	g_test_add_func("/cellnode/key-leader-killed", test_key_leader_killed);
	g_test_add_func("/cellnode/key-all-killed", test_key_all_killed);
	g_test_add_func(
	    "/cellnode/key-process-paused", test_key_process_paused);
	g_test_add_func("/cellnode/key-added", test_key_added);
	g_test_add_func("/cellnode/key-not-logged", test_key_not_logged);
	return g_test_run();
}
