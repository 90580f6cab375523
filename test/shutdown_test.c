/*
 * Graceful stops of real processes of a cell on the platform's protocol, while
 * requests are in progress on each address: every request that a process has
 * read gets a whole answer, and the process exits with status 0.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/listener.h>
#include <event2/util.h>

#include "httpd.h"
#include "stepcell.h"
#include "tcp.h"

#define ENTRY (NODES - 1) /* has no disk */
#define GRACE_S 4
#define LONG_GRACE_S 8
#define ASK_TIMEOUT_MS 8000
/* Requests sent so long after SIGTERM are in progress when the process gives up
 * on its leader. */
#define LATE_MS 2400
#define LOSS_SLACK_MS 200 /* lossSlackMs of the platform */
#define RECEIVE_BYTES 4096 /* receive buffer of a slow reader */
#define LARGE_QUEUES 1000
#define HUGE_QUEUES 20000 /* more than the buffers of a connection hold */
#define JOB "/q/0000000000000001"
#define STEP "{\"count\":1,\"cpu\":100,\"estimatedMs\":300}"

enum place { CALLERS, CONTROL, METRICS };

/* A request of each kind that a process forwards to the leader. */
static const struct request_kind {
	const char *name;
	enum place place;
	enum evhttp_cmd_type method;
	const char *path;
	const char *body;
} kinds[] = {
	{ "job", CALLERS, EVHTTP_REQ_POST, "/q/0000000000000002",
	    "{\"spec\":\"w\",\"steps\":[" STEP "]}" },
	{ "state", CALLERS, EVHTTP_REQ_GET, JOB, NULL },
	{ "cancel", CALLERS, EVHTTP_REQ_DELETE, JOB, NULL },
	{ "count", CALLERS, EVHTTP_REQ_GET, "/q/", NULL },
	{ "heartbeat", CONTROL, EVHTTP_REQ_POST,
	    "/bulrushtide/instances/w9/heartbeat",
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"capacity\":{\"cpu\":1000,"
	    "\"memMb\":4096,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
	    "\"born\":1,\"seq\":1}" },
	{ "deregistration", CONTROL, EVHTTP_REQ_POST,
	    "/bulrushtide/instances/w9/deregister", "{}" },
	{ "configuration", CONTROL, EVHTTP_REQ_POST,
	    "/bulrushtide/config/replace", cell_config },
	{ "read of the configuration", CONTROL, EVHTTP_REQ_GET,
	    "/bulrushtide/config/read", NULL },
	{ "explanation", METRICS, EVHTTP_REQ_POST,
	    "/v1/explain?host=jobs.example&path=/q/",
	    "{\"steps\":[" STEP "]}" },
};

/* A request over a connection that the caller keeps open. */
struct ask {
	struct http_peer *peer;
	const struct request_kind *kind;
	int64_t sent_ms;
	bool done;
	bool lost; /* read, and cut off without an answer */
	int status; /* 0: no answer */
};

static const char *
address_of(const struct cell_node *n, enum place place)
{
	return place == CALLERS ? n->callers
	    : place == CONTROL  ? n->control
				: n->metrics;
}

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct ask *a = arg;

	a->done = true;
	a->status = status;
	a->lost = status == 0 && !http_not_sent(why) &&
	    mono_ms() - a->sent_ms > LOSS_SLACK_MS;
}

static void
send_ask(struct ask *a, enum evhttp_cmd_type method, const char *path,
    const char *body)
{
	static const char *const headers[] = { "Host", "jobs.example", NULL };

	a->done = a->lost = false;
	a->sent_ms = mono_ms();
	http_send(a->peer, method, path, headers, body,
	    body == NULL ? 0 : strlen(body), ASK_TIMEOUT_MS, on_answer, a);
}

static void
ask(struct ask *a)
{
	send_ask(a, a->kind->method, a->kind->path, a->kind->body);
}

/* Opens a connection for requests of a kind. */
static void
open_ask(struct cell *c, struct ask *a, const struct cell_node *n,
    const struct request_kind *kind)
{
	*a = (struct ask){ .kind = kind,
		.peer =
		    http_peer_new(c->base, address_of(n, kind->place), NULL) };
	send_ask(a, EVHTTP_REQ_GET, "/none", NULL);
	CELL_AWAIT(c, a->done);
	g_assert_cmpint(a->status, !=, 0);
}

/* Fails the test if the request got no answer. */
static void
check_ask(struct cell *c, struct ask *a)
{
	CELL_AWAIT(c, a->done);
	g_test_message("%s: %s, status %d", a->kind->name,
	    a->lost ? "cut off" : "answered, or not read", a->status);
	if (a->lost)
		g_test_fail_printf(
		    "%s: cut off without an answer", a->kind->name);
	http_peer_free(a->peer);
}

static void
run_until(struct cell *c, int64_t until_ms)
{
	while (mono_ms() < until_ms)
		cell_run_loop(c);
}

/* Sends SIGTERM; returns the time. */
static int64_t
terminate(struct cell *c, int i)
{
	kill(c->node[i].proc->pid, SIGTERM);
	return mono_ms();
}

/* Waits until the process has ended; fails the test if its status isn't 0. */
static void
check_exit(struct cell *c, int i)
{
	int status = -1;
	char *log;

	CELL_AWAIT(c, cell_node_ended(c, i, &status));
	if (status == 0)
		return;
	log = cell_read_log(c, i);
	g_test_fail_printf("n%d ended with wait status %d: %s", i, status, log);
	g_free(log);
}

/* The node that leads, by its log. */
static int
leader(struct cell *c)
{
	static const char leads[] = "event=lead term=";
	int found = -1;
	long term = -1;

	for (int i = 0; i < NODES; i++) {
		char *log = cell_read_log(c, i);
		const char *at = g_strrstr(log, leads);

		if (at != NULL && strstr(at, "event=resign") == NULL &&
		    strtol(at + strlen(leads), NULL, 10) > term) {
			term = strtol(at + strlen(leads), NULL, 10);
			found = i;
		}
		g_free(log);
	}
	return found;
}

/* No leader answers from then on. */
static void
suspend_replicas(struct cell *c)
{
	for (int i = 0; i < DISKS; i++)
		kill(c->node[i].proc->pid, SIGSTOP);
}

/*
 * A cell whose entry has got SIGTERM and then a request of each kind, which
 * are in progress when it gives up on the leader.
 */
static struct cell *
stop_with_requests(struct ask asks[])
{
	struct cell *c = cell_new();
	int64_t start_ms;

	CELL_AWAIT(c, cell_submit_long(c, ENTRY, JOB));
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		open_ask(c, &asks[i], &c->node[ENTRY], &kinds[i]);
	start_ms = terminate(c, ENTRY);
	run_until(c, start_ms + LATE_MS);
	suspend_replicas(c);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		ask(&asks[i]);
	return c;
}

/* A process that stops with requests in progress crashes on its way out. */
static void
test_crash_with_requests(void)
{
	struct ask asks[G_N_ELEMENTS(kinds)];
	struct cell *c = stop_with_requests(asks);

	check_exit(c, ENTRY);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		http_peer_free(asks[i].peer);
	cell_free(c);
}

/* A process that stops cuts off requests in progress without an answer. */
static void
test_requests_cut(void)
{
	struct ask asks[G_N_ELEMENTS(kinds)];
	struct cell *c = stop_with_requests(asks);

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		check_ask(c, &asks[i]);
	check_exit(c, ENTRY);
	cell_free(c);
}

static void
on_policy_connection(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	int *connections = arg;

	/* Left open: the query gets no answer. */
	(*connections)++;
}

static struct evconnlistener *
policy_listen(struct event_base *base, const char *address, int *connections)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	g_assert_cmpint(
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len),
	    ==, 0);
	return evconnlistener_new_bind(base, on_policy_connection, connections,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&ss, len);
}

/*
 * A process that stops while it queries the policy service, for itself or for
 * the leader, crashes on its way out.
 */
static void
test_crash_with_policy_query(void)
{
	static const char config[] =
	    "{\"version\":8,\"routes\":[{\"name\":\"q\",\"host\":"
	    "\"jobs.example\",\"pathPrefix\":\"/q/\",\"service\":\"desk\","
	    "\"timeoutMs\":3000,\"maxAttempts\":2,\"slackFactor\":2,"
	    "\"targetLatencyMs\":500,\"recommendation\":{\"decisionMs\":5,"
	    "\"perWorkerMs\":1,\"validityMs\":2000}}],"
	    "\"services\":[{\"name\":\"desk\"}]}";
	char *ip = loopback_ip();
	char *address = free_address(ip);
	struct cell *c = cell_new_with(GRACE_S, address);
	int connections = 0;
	struct evconnlistener *l =
	    policy_listen(c->base, address, &connections);

	CELL_AWAIT(c, cell_configure(c, ENTRY, config) == 200);
	for (int i = 0; i < 2 * NODES; i++) {
		char *path = g_strdup_printf("/q/00000000000000a%d", i);

		CELL_AWAIT(c, cell_submit(c, ENTRY, path));
		g_free(path);
	}
	CELL_AWAIT(c, connections >= NODES);
	for (int i = 0; i < NODES; i++)
		(void)terminate(c, i);
	for (int i = 0; i < NODES; i++)
		check_exit(c, i);
	evconnlistener_free(l);
	cell_free(c);
	g_free(address);
	g_free(ip);
}

static void
send_request(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
	    (ssize_t)strlen(text));
}

/* Receives until the other side closes the connection. */
static void
receive_all(int fd, GString *in)
{
	struct timeval limit = { .tv_sec = ASK_TIMEOUT_MS / 1000 };
	char buf[RECEIVE_BYTES];
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(in, buf, n);
}

/* Asks for the configuration and receives only the beginning of the answer. -1
 * if it is an error. */
static int
read_slowly(struct cell *c, int node, GString *in)
{
	int fd = tcp_dial_small(c->node[node].control, RECEIVE_BYTES);

	g_string_truncate(in, 0);
	send_request(
	    fd, "GET /bulrushtide/config/read HTTP/1.1\r\nHost: x\r\n\r\n");
	CELL_AWAIT(c, tcp_received(fd, in, "\r\n\r\n"));
	if (g_str_has_prefix(in->str, "HTTP/1.1 200 "))
		return fd;
	g_test_message("n%d: %.200s", node, in->str);
	close(fd);
	return -1;
}

/* A process closes a connection before the last byte of an answer has left, as
 * the caller reads slowly. */
static void
test_answer_truncated(void)
{
	struct cell *c = cell_new_with(LONG_GRACE_S, NULL);
	char *config = cell_make_config(8, HUGE_QUEUES);
	GString *in = g_string_new(NULL);
	int64_t start_ms;
	int node;
	int fd;

	CELL_AWAIT(c,
	    (node = leader(c)) >= 0 && cell_configure(c, node, config) == 200);
	CELL_AWAIT(
	    c, (node = leader(c)) >= 0 && (fd = read_slowly(c, node, in)) >= 0);
	start_ms = terminate(c, node);
	run_until(c, start_ms + GRACE_S * 1000);
	receive_all(fd, in);
	if (!g_str_has_suffix(in->str, config))
		g_test_fail_printf("%zu bytes of an answer of more than %zu",
		    in->len, strlen(config));
	close(fd);
	check_exit(c, node);
	g_string_free(in, TRUE);
	g_free(config);
	cell_free(c);
}

/*
 * A process that stops resets the connection of an operator that it has
 * redirected, while the operator still sends the configuration.
 */
static void
test_redirect_reset(void)
{
	struct cell *c = cell_new();
	char *config = cell_make_config(8, LARGE_QUEUES);
	char *head = g_strdup_printf("POST /bulrushtide/config/replace "
				     "HTTP/1.1\r\nHost: x\r\n"
				     "Content-Length: %zu\r\n\r\n",
	    strlen(config));
	GString *in = g_string_new(NULL);
	size_t sent = 0;
	int fd;

	(void)terminate(c, ENTRY);
	CELL_AWAIT(c, !cell_node_ready(c, ENTRY));
	fd = tcp_dial(c->node[ENTRY].control);
	send_request(fd, head);
	CELL_AWAIT(c, tcp_received(fd, in, "\r\n\r\n"));
	g_assert_true(g_str_has_prefix(in->str, "HTTP/1.1 307 "));
	while (sent < strlen(config)) {
		ssize_t n = send(fd, config + sent,
		    MIN(strlen(config) - sent, RECEIVE_BYTES), MSG_NOSIGNAL);

		if (n < 0) {
			g_test_fail_printf("connection lost after %zu bytes "
					   "of the body",
			    sent);
			break;
		}
		sent += (size_t)n;
		cell_run_loop(c);
	}
	close(fd);
	check_exit(c, ENTRY);
	g_string_free(in, TRUE);
	g_free(head);
	g_free(config);
	cell_free(c);
}

/* A signal that comes while a process that stops frees what it has ends it
 * with another status. */
static void
test_signal_at_exit(void)
{
	struct cell *c = cell_new();
	int64_t limit_ms = terminate(c, 0) + AWAIT_LIMIT_MS;
	int status = -1;

	while (mono_ms() < limit_ms && !cell_node_ended(c, 0, &status)) {
		kill(c->node[0].proc->pid, SIGTERM);
		kill(c->node[0].proc->pid, SIGHUP);
		g_usleep(500);
	}
	g_assert_cmpint(status, ==, 0);
	cell_free(c);
}

/* A stop signal that comes while a process starts ends it with another status.
 * The start waits for its settings, which it reads from a FIFO. */
static void
test_signal_at_start(void)
{
	struct cell *c = cell_new();
	char *settings;
	int fd;

	cell_kill_node(c, ENTRY);
	fd = cell_start_held(c, ENTRY, &settings);
	(void)terminate(c, ENTRY);
	cell_release_start(c, ENTRY, fd, settings);
	check_exit(c, ENTRY);
	cell_free(c);
}

#define CALLS_IN_TURN 40
#define CALL_FIRST_MS 2000
#define CALL_GAP_MS 30
#define LEADER_STOP_MS 2700

/*
 * Requests that wait for the leader are cut off when first their process stops
 * and then the leader.
 */
static void
test_cut_by_stops_in_turn(void)
{
	static const struct request_kind *const state = &kinds[1];
	struct cell *c = cell_new();
	struct ask asks[CALLS_IN_TURN];
	int64_t start_ms;
	int node;

	CELL_AWAIT(c, (node = leader(c)) >= 0 && node != ENTRY);
	CELL_AWAIT(c, cell_submit_long(c, ENTRY, JOB));
	for (int i = 0; i < CALLS_IN_TURN; i++)
		open_ask(c, &asks[i], &c->node[ENTRY], state);
	start_ms = terminate(c, ENTRY);
	for (int i = 0; i < CALLS_IN_TURN; i++) {
		int64_t at_ms = start_ms + CALL_FIRST_MS + i * CALL_GAP_MS;

		if (at_ms - CALL_GAP_MS < start_ms + LEADER_STOP_MS &&
		    at_ms >= start_ms + LEADER_STOP_MS)
			(void)terminate(c, node);
		run_until(c, at_ms);
		ask(&asks[i]);
	}
	for (int i = 0; i < CALLS_IN_TURN; i++)
		check_ask(c, &asks[i]);
	check_exit(c, ENTRY);
	check_exit(c, node);
	cell_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/shutdown/crash-with-requests", test_crash_with_requests);
	g_test_add_func(
	    "/shutdown/crash-with-policy-query", test_crash_with_policy_query);
	g_test_add_func("/shutdown/requests-cut", test_requests_cut);
	g_test_add_func(
	    "/shutdown/cut-by-stops-in-turn", test_cut_by_stops_in_turn);
	g_test_add_func("/shutdown/answer-truncated", test_answer_truncated);
	g_test_add_func("/shutdown/redirect-reset", test_redirect_reset);
	g_test_add_func("/shutdown/signal-at-exit", test_signal_at_exit);
	g_test_add_func("/shutdown/signal-at-start", test_signal_at_start);
	return g_test_run();
}
