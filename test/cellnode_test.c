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

#define LARGE_QUEUES 1000 /* a document of 160 KB */
#define QUEUES_NEAR_LIMIT 25000 /* a document of nearly 4 MiB */

static char *
make_config(int version, int queues)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < queues; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"q%d\",\"host\":\"jobs.example\","
		    "\"pathPrefix\":\"/q%d/\",\"service\":\"desk\","
		    "\"timeoutMs\":3000,\"maxAttempts\":2,"
		    "\"slackFactor\":2,\"targetLatencyMs\":500}",
		    i == 0 ? "" : ",", i, i);
	g_string_append(text, "],\"services\":[{\"name\":\"desk\"}]}");
	return g_string_free(text, FALSE);
}

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
	char *config = make_config(20, LARGE_QUEUES);
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
	char *config = make_config(20, QUEUES_NEAR_LIMIT);

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
	char *config = make_config(20, LARGE_QUEUES);
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
	struct cell_node *n = &c->node[NODES - 1];
	char *settings = NULL;
	int fd;

	cell_kill_node(c, NODES - 1);
	cell_write_settings(c, NODES - 1, false, 1);
	g_assert_true(g_file_get_contents(n->settings, &settings, NULL, NULL));
	g_assert_cmpint(unlink(n->settings), ==, 0);
	g_assert_cmpint(mkfifo(n->settings, 0600), ==, 0);
	cell_run_program(c, NODES - 1);
	/* Succeeds once the program has opened the FIFO. */
	CELL_AWAIT(c,
	    (fd = open(n->settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0);
	kill(n->proc->pid, SIGHUP);
	cell_write_settings(c, NODES - 1, false, 1);
	g_assert_cmpint(write(fd, settings, strlen(settings)), ==,
	    (ssize_t)strlen(settings));
	close(fd);
	CELL_AWAIT(c, cell_node_ready(c, NODES - 1));
	g_free(settings);
	cell_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A process may close a connection that a test still writes to. */
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/cellnode/whole-path", test_whole_path);
	g_test_add_func("/cellnode/large-config", test_large_config);
	g_test_add_func("/cellnode/config-near-limit", test_config_near_limit);
	g_test_add_func("/cellnode/config-slow-entry", test_config_slow_entry);
	g_test_add_func("/cellnode/losses", test_lost_disks);
	g_test_add_func("/cellnode/stops", test_graceful_stops);
	g_test_add_func("/cellnode/early-reload", test_early_reload);
	return g_test_run();
}
