/* Invalid requests to the HTTP listener of a real daemon: it answers 4xx or 503
 * with a stable reason, stores nothing and continues to serve. */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proc.h"
#include "tcp.h"

#define BIG_BODY (1200 * 1024) /* bytes; above the limit of a body */
#define BIG_HEADER (16 * 1024) /* bytes; above the limit of all headers */
#define POLLS_MAX 3000
#define POLL_US 20000

static struct proc *daemon_proc;
static char *dir;

static int
dial(void)
{
	struct timeval tv = { 30, 0 };
	int fd = tcp_dial(daemon_proc->address);

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	return fd;
}

/* Sends raw bytes and returns what the daemon sends until it closes. */
static char *
send_raw(const char *text, size_t len)
{
	GString *reply = g_string_new(NULL);
	char buf[4096];
	int fd = dial();
	ssize_t n;

	if (fd < 0)
		return g_string_free(reply, FALSE);
	/* The daemon may close before it has read all of a long request. */
	for (size_t done = 0; done < len; done += (size_t)n) {
		n = send(fd, text + done, len - done, MSG_NOSIGNAL);
		if (n <= 0)
			break;
	}
	shutdown(fd, SHUT_WR);
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(reply, buf, n);
	close(fd);
	return g_string_free(reply, FALSE);
}

static char *
http_request(
    const char *method, const char *path, const char *key, const char *body)
{
	char *text = g_strdup_printf(
	    "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s%s%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path,
	    key == NULL ? "" : "Idempotency-Key: ", key == NULL ? "" : key,
	    key == NULL ? "" : "\r\n", strlen(body), body);
	char *reply = send_raw(text, strlen(text));

	g_free(text);
	return reply;
}

static int
status_of(const char *reply)
{
	if (!g_str_has_prefix(reply, "HTTP/1.1 "))
		return 0;
	return (int)g_ascii_strtoll(reply + strlen("HTTP/1.1 "), NULL, 10);
}

static void
await_status(const char *path, int status)
{
	for (int i = 0; i < POLLS_MAX; i++) {
		char *reply = http_request("GET", path, NULL, "");
		int got = status_of(reply);

		g_free(reply);
		if (got == status)
			return;
		g_usleep(POLL_US);
	}
	g_error("web_test: %s does not answer %d", path, status);
}

struct invalid_request {
	const char *method;
	const char *path;
	const char *key;
	const char *body;
	int status;
	const char *reason;
};

#define JOB(rest) "{\"team\":\"t\",\"name\":\"n\",\"kind\":\"batch\"," rest "}"
#define RESOURCES "\"resources\":{\"millicpus\":1,\"memory_bytes\":1}"

static const struct invalid_request invalid_requests[] = {
	{ "POST", "/v1/jobs", "k", "{", 400, "invalid-body" },
	{ "POST", "/v1/jobs", "k", "", 400, "invalid-body" },
	{ "POST", "/v1/jobs", "k", "[]", 400, "invalid-body" },
	{ "POST", "/v1/jobs", "k", JOB(RESOURCES ",\"extra\":1"), 400,
	    "invalid-body" },
	{ "POST", "/v1/jobs", "k", JOB(RESOURCES ",\"tasks\":0"), 400,
	    "invalid-body" },
	{ "POST", "/v1/jobs", "k",
	    JOB("\"resources\":{\"millicpus\":0,\"memory_bytes\":1}"), 400,
	    "invalid-body" },
	{ "POST", "/v1/jobs", "k", JOB(RESOURCES ",\"tasks\":1e99"), 400,
	    "invalid-body" },
	{ "POST", "/v1/jobs", NULL, JOB(RESOURCES), 400, "invalid-key" },
	{ "POST", "/v1/jobs?wait_ms=-1", "k", JOB(RESOURCES), 400,
	    "invalid-query" },
	{ "GET", "/v1/jobs/x", NULL, "", 404, "no-such-job" },
	{ "GET", "/v1/jobs/99", NULL, "", 404, "no-such-job" },
	{ "DELETE", "/v1/jobs/99", NULL, "", 404, "unknown-job" },
	{ "DELETE", "/v1/jobs", NULL, "", 405, "method-not-allowed" },
	{ "GET", "/nothing", NULL, "", 404, "no-such-path" },
	{ "PUT", "/v1/config", NULL, "{\"version\":1,\"base\":\"a: [\"}", 400,
	    "invalid" },
	{ "PUT", "/v1/config", NULL, "{\"version\":2,\"base\":\"\"}", 409,
	    "version" },
	{ "POST", "/v1/workers", NULL, "{\"name\":\"\"}", 400, "invalid-body" },
	{ "POST", "/v1/tasks/1/1/end", NULL,
	    "{\"worker\":\"w\",\"epoch\":1,\"status\":\"done\"}", 400,
	    "invalid-path" },
	{ "POST", "/v1/services/none/call", NULL, "x", 503, "no-target" },
	{ "GET", "/v1/trace/zz", NULL, "", 404, "no-such-trace" },
	{ "POST", "/v1/nodes/none/drain", NULL, "", 404, "no-such-node" },
	{ "POST", "/v1/replicas", NULL, "{\"action\":\"grow\"}", 400,
	    "invalid-body" },
};

static void
test_invalid_requests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_requests); i++) {
		const struct invalid_request *b = &invalid_requests[i];
		char *reply = http_request(b->method, b->path, b->key, b->body);

		if (status_of(reply) != b->status ||
		    strstr(reply, b->reason) == NULL)
			g_error("web_test: case %zu, wanted %d %s, got %s", i,
			    b->status, b->reason, reply);
		g_free(reply);
	}
}

/* Requests over a limit or malformed so that the HTTP server itself rejects
 * them. */
static void
test_limits(void)
{
	char *big = g_strnfill(BIG_BODY, 'x');
	char *reply = http_request("POST", "/v1/jobs", "k", big);
	char *text;
	int status = status_of(reply);

	g_assert_true(status == 413 || status == 400 || status == 0);
	g_free(reply);
	big[BIG_HEADER] = '\0';
	text = g_strdup_printf("GET /healthz HTTP/1.1\r\nX: %s\r\n\r\n", big);
	reply = send_raw(text, strlen(text));
	g_assert_cmpint(status_of(reply), !=, 200);
	g_free(reply);
	g_free(text);
	g_free(big);
	reply = send_raw("\0\1\2\3 nonsense\r\n\r\n", 17);
	g_assert_cmpint(status_of(reply), !=, 200);
	g_free(reply);
	reply = send_raw(
	    "POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 47);
	g_assert_cmpint(status_of(reply), !=, 200);
	g_free(reply);
}

/* After the invalid requests nothing is stored and valid ones are served. */
static void
test_still_serves(void)
{
	char *reply = http_request("GET", "/v1/status", NULL, "");

	g_assert_cmpint(status_of(reply), ==, 200);
	g_assert_nonnull(strstr(reply, "\"pending_jobs\":0"));
	g_assert_nonnull(strstr(reply, "\"config_version\":0"));
	g_free(reply);
	reply = http_request("POST", "/v1/jobs", "k", JOB(RESOURCES));
	g_assert_cmpint(status_of(reply), ==, 202);
	g_free(reply);
	reply = http_request(
	    "POST", "/v1/jobs", "k", JOB(RESOURCES ",\"tasks\":2"));
	g_assert_cmpint(status_of(reply), ==, 409);
	g_free(reply);
	reply = http_request("GET", "/metrics", NULL, "");
	g_assert_nonnull(strstr(reply, "bulrushtide_tasks_pending"));
	g_free(reply);
}

static void
start_daemon(void)
{
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *ip = loopback_ip();
	char *http = free_address(ip);
	char *peer = free_address(ip);

	dir = g_dir_make_tmp("bulrushtide-web-XXXXXX", NULL);
	add_arg(argv, "%s/../bulrushtided/bulrushtided", programs);
	add_arg(argv, "--name=one");
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--peer=%s", peer);
	add_arg(argv, "--replicas=one@%s", peer);
	add_arg(argv, "--data-dir=%s/data", dir);
	daemon_proc = proc_new("one", dir, argv);
	daemon_proc->address = http;
	proc_start(daemon_proc, false);
	await_status("/readyz", 200);
	g_free(programs);
	g_free(ip);
	g_free(peer);
}

int
main(int argc, char **argv)
{
	int failed;

	g_test_init(&argc, &argv, NULL);
	start_daemon();
	g_test_add_func("/web/invalid-requests", test_invalid_requests);
	g_test_add_func("/web/limits", test_limits);
	g_test_add_func("/web/still-serves", test_still_serves);
	failed = g_test_run();
	kill(daemon_proc->pid, SIGTERM);
	g_assert_cmpint(proc_wait(daemon_proc), ==, 0);
	proc_free(daemon_proc);
	if (failed == 0)
		remove_tree(dir);
	g_free(dir);
	return failed;
}
