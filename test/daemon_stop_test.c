/*
 * Graceful stops of real processes of bulrushtided with requests in progress:
 * each request that a process has read gets a whole answer, and the process
 * exits with status 0.
 */
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "proc.h"
#include "tcp.h"

#define GRACE_S "3"
#define RECEIVE_LIMIT_S 30
#define SIGNAL_US 500
#define SIGPIPE_BIT (UINT64_C(1) << (SIGPIPE - 1))

/* A request without an answer yet, on a connection of its own. */
struct ask {
	const char *what;
	int fd;
};

static struct ask
ask(const char *address, const char *method, const char *path, const char *body)
{
	struct ask a = { .what = path, .fd = tcp_dial(address) };
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: x\r\n"
				     "Request-Timeout-Ms: 60000\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);

	g_assert_cmpint(a.fd, >=, 0);
	g_assert_cmpint(send(a.fd, text, strlen(text), MSG_NOSIGNAL), ==,
	    (ssize_t)strlen(text));
	g_free(text);
	return a;
}

/* Receives until the process closes the connection; fails the test unless that
 * is a whole answer with this status. */
static void
check_ask(struct ask a, int status)
{
	struct timeval limit = { .tv_sec = RECEIVE_LIMIT_S };
	char *start = g_strdup_printf("HTTP/1.1 %d ", status);
	GString *in = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	setsockopt(a.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while ((n = recv(a.fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(in, buf, n);
	close(a.fd);
	g_test_message("%s: %s", a.what, in->str);
	if (!g_str_has_prefix(in->str, start) ||
	    !g_str_has_suffix(in->str, "}"))
		g_test_fail_printf("%s: no whole answer with status %d: %s",
		    a.what, status, in->str);
	g_string_free(in, TRUE);
	g_free(start);
}

/* An entry whose only replica is at an address where nobody answers. */
struct lone_entry {
	char *dir;
	struct proc *proc;
	int silent; /* listens for the replica */
};

/* A socket that is bound and listens: connections to it get no answer. */
static int
listen_silently(char **address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, len), ==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sin, &len), ==, 0);
	*address = g_strdup_printf("127.0.0.1:%d", ntohs(sin.sin_port));
	return fd;
}

static struct lone_entry
lone_entry_start(void)
{
	struct lone_entry e = { .dir = g_dir_make_tmp(
				    "daemon-stop-XXXXXX", NULL) };
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *ip = loopback_ip();
	char *http = free_address(ip);
	char *replica;

	e.silent = listen_silently(&replica);
	add_arg(argv, "%s/../bulrushtided/bulrushtided", programs);
	add_arg(argv, "--name=one");
	add_arg(argv, "--role=entry");
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--replicas=r@%s", replica);
	e.proc = proc_new("one", e.dir, argv);
	e.proc->address = http;
	/* An earlier version without this setting ignores the variable. */
	g_setenv("BULRUSHTIDE_GRACE_S", GRACE_S, TRUE);
	proc_start(e.proc, false);
	g_unsetenv("BULRUSHTIDE_GRACE_S");
	g_free(replica);
	g_free(programs);
	g_free(ip);
	return e;
}

static void
lone_entry_free(struct lone_entry *e)
{
	proc_free(e->proc);
	close(e->silent);
	remove_tree(e->dir);
	g_free(e->dir);
}

static void
await_listening(const char *address)
{
	int64_t limit_ms = mono_ms() + AWAIT_MS;
	int fd;

	while ((fd = tcp_dial(address)) < 0 && mono_ms() < limit_ms)
		g_usleep(POLL_US);
	g_assert_cmpint(fd, >=, 0);
	close(fd);
}

/* A process that stops without a leader cuts off the requests that wait for
 * one. */
static void
test_requests_cut(void)
{
	static const struct {
		const char *method;
		const char *path;
		const char *body;
		int status;
	} kinds[] = {
		{ "GET", "/v1/jobs/1?wait_ms=60000", "", 503 },
		{ "DELETE", "/v1/jobs/1", "", 503 },
		{ "PUT", "/v1/config", "{\"version\":1,\"base\":\"\"}", 503 },
		{ "POST", "/v1/nodes/one/drain", "", 503 },
		{ "POST", "/v1/tasks/1.1/1/end",
		    "{\"worker\":\"w\",\"epoch\":1,\"status\":\"done\"}", 503 },
		{ "GET", "/v1/config", "", 503 },
	};
	struct lone_entry e = lone_entry_start();
	struct ask asks[G_N_ELEMENTS(kinds)];

	await_listening(e.proc->address);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		asks[i] = ask(e.proc->address, kinds[i].method, kinds[i].path,
		    kinds[i].body);
	kill(e.proc->pid, SIGTERM);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		check_ask(asks[i], kinds[i].status);
	g_assert_cmpint(proc_wait(e.proc), ==, 0);
	lone_entry_free(&e);
}

/* A process that stops cuts off a call that its worker has not answered. */
static void
test_call_cut(void)
{
	static const char *const flags[] = { "--millicpus=4000", NULL };
	/* The worker answers a call after 11 s. */
	static const struct cluster_conf conf = { .replicas = 1,
		.entries = 2,
		.workers = 1,
		.base = "teams:\n"
			"  team: {weight: 1}\n"
			"services:\n"
			"  desk:\n"
			"    team: team\n"
			"    tasks: 1\n"
			"    resources: {millicpus: 3000, memory: 1MiB}\n"
			"    call_timeout_ms: 60000\n"
			"    payload: '{\"call_ms\": 11000}'\n",
		.worker_flags = flags };
	struct cluster *c;
	struct ask a;

	g_setenv("BULRUSHTIDE_GRACE_S", GRACE_S, TRUE);
	c = cluster_new(&conf);
	g_unsetenv("BULRUSHTIDE_GRACE_S");
	while (cluster_call(c, "e0", "desk", "first", false) == OUT_NOT_RUN)
		g_usleep(POLL_US);
	a = ask(
	    cluster_address(c, "e0"), "POST", "/v1/services/desk/call", "2");
	cluster_await_event(c, "w0", "call", 2);
	cluster_signal(c, "e0", SIGTERM);
	check_ask(a, 502);
	cluster_stop(c, "e0");
	cluster_free(c);
}

/* Whether the program has begun: it ignores SIGPIPE early. */
static bool
has_begun(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *at = g_file_get_contents(path, &text, NULL, NULL)
	    ? strstr(text, "\nSigIgn:")
	    : NULL;
	bool begun = at != NULL &&
	    (strtoull(at + strlen("\nSigIgn:"), NULL, 16) & SIGPIPE_BIT) != 0;

	g_free(text);
	g_free(path);
	return begun;
}

/* A signal that comes while a process starts ends it with another status. */
static void
test_signal_at_start(void)
{
	struct lone_entry e = lone_entry_start();
	int64_t limit_ms = mono_ms() + AWAIT_MS;

	while (!has_begun(e.proc->pid) && mono_ms() < limit_ms)
		;
	kill(e.proc->pid, SIGTERM);
	g_assert_cmpint(proc_wait(e.proc), ==, 0);
	lone_entry_free(&e);
}

/* A signal that comes while a process that stops frees what it has ends it
 * with another status. */
static void
test_signal_at_exit(void)
{
	struct lone_entry e = lone_entry_start();
	int64_t limit_ms = mono_ms() + AWAIT_MS;
	int status = -1;

	await_listening(e.proc->address);
	while (mono_ms() < limit_ms && !proc_ended(e.proc, &status)) {
		kill(e.proc->pid, SIGTERM);
		g_usleep(SIGNAL_US);
	}
	g_assert_cmpint(status, ==, 0);
	lone_entry_free(&e);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/daemon-stop/requests-cut", test_requests_cut);
	g_test_add_func("/daemon-stop/call-cut", test_call_cut);
	g_test_add_func("/daemon-stop/signal-at-start", test_signal_at_start);
	g_test_add_func("/daemon-stop/signal-at-exit", test_signal_at_exit);
	return g_test_run();
}
