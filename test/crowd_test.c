/*
 * Clients that don't behave, at one real process that forms a cell by itself:
 * bodies, heads and frames without an end, answers that nobody reads,
 * connections without a request. The settings lower the limits, so that a small
 * crowd exceeds them. While the crowd is connected and after it has left, the
 * process must live and answer ordinary callers; its memory and descriptors
 * stay under bounds that follow from the settings.
 */
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/util.h>
#include <glib/gstdio.h>

#include "proc.h"

#define CONFIG_PATH "/bulrushtide/config/replace"

/* The lowered limits. The crowds that send bytes have fewer connections than
 * CONNECTIONS_MAX, so that only the limit of bytes can stop them. */
#define CONNECTIONS_MAX 64
#define HELD_MAX_KIB 8192 /* eight of the largest bodies of callers */
/*
 * Bounds of the growth over the process in calm. A byte that is held takes up
 * to two: buffers have sizes of powers of two. A connection has its structures
 * and two buffers. The rest is for the one request that is being decoded,
 * stored or answered, with its copies, and for what the allocator keeps.
 */
#define HELD_FACTOR 2
#define CONNECTION_KIB 64
#define WORK_KIB 16384
#define MEMORY_BOUND_KIB                                                 \
	(HELD_FACTOR * HELD_MAX_KIB + CONNECTION_KIB * CONNECTIONS_MAX + \
	    WORK_KIB)
#define FD_SLACK 8 /* files of the log, a connection that is being refused */
#define FD_BOUND (CONNECTIONS_MAX + FD_SLACK)

#define BODY_MAX 1048576 /* limit of a connection at the callers' address */
#define CONTROL_BODY_MAX 4194304 /* the same at the control address */
#define PAGES_BODY_MAX 262144 /* what the users' pages permit */
#define PAGES_HEADER_MAX 16384
#define RECEIVE_BYTES 4096 /* receive buffer of those who never read */
#define SEND_BYTES 65536 /* sent at once by a member of the crowd */
#define QUIET_ROUNDS 3
#define QUIET_KIB 256 /* growth of the process in a quiet round */
#define ATTEMPT_MS 5000 /* of an ordinary caller, which then tries again */

enum place { CALLERS, CONTROL, READY, METRICS, PEER, PLACES };

/* A connection of the crowd: sends its head, then its unit again and again. */
struct member {
	int fd; /* -1: closed */
	char *head;
	size_t head_len;
	const GString *unit;
	size_t total; /* bytes to be sent */
	size_t sent;
	bool reads;
};

struct site {
	char *dir;
	char *ip;
	char *address[PLACES];
	char *config; /* the one that the process stores */
	struct proc *proc;
	GPtrArray *crowd; /* struct member */
	size_t moved; /* bytes that the crowd has sent */
	unsigned jobs; /* ids used so far */
	int calm_kib; /* memory and descriptors before the crowd ... */
	int calm_fds;
	int peak_kib; /* ... and the most since then */
	int peak_fds;
};

static bool
is_alive(const struct site *s)
{
	siginfo_t info = { 0 };

	return waitid(P_PID, (id_t)s->proc->pid, &info,
		   WEXITED | WNOHANG | WNOWAIT) == 0 &&
	    info.si_pid == 0;
}

static int
memory_kib(const struct site *s)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)s->proc->pid);
	char *text = NULL;
	const char *at = g_file_get_contents(path, &text, NULL, NULL)
	    ? strstr(text, "\nVmRSS:")
	    : NULL;
	int kib = at == NULL ? 0 : atoi(at + strlen("\nVmRSS:"));

	g_free(text);
	g_free(path);
	return kib;
}

static int
descriptors(const struct site *s)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)s->proc->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	int n = 0;

	while (dir != NULL && g_dir_read_name(dir) != NULL)
		n++;
	g_clear_pointer(&dir, g_dir_close);
	g_free(path);
	return n;
}

static void
sample(struct site *s)
{
	s->peak_kib = MAX(s->peak_kib, memory_kib(s));
	s->peak_fds = MAX(s->peak_fds, descriptors(s));
}

/* --- the crowd --- */

/* Starts to connect; sending fails with EAGAIN until that is done. */
static int
dial(const char *address, int receive_bytes)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len),
	    ==, 0);
	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		    sizeof(receive_bytes));
	if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

/* Adds count connections. Takes over head; unit must outlive the crowd. */
static void
join(struct site *s, enum place to, int count, char *head, const GString *unit,
    size_t total, bool reads)
{
	for (int i = 0; i < count; i++) {
		struct member *m = g_new0(struct member, 1);

		m->fd = dial(s->address[to], reads ? 0 : RECEIVE_BYTES);
		m->head = g_strdup(head);
		m->head_len = strlen(head);
		m->unit = unit;
		m->total = total;
		m->reads = reads;
		g_ptr_array_add(s->crowd, m);
	}
	g_free(head);
}

static void
member_free(void *arg)
{
	struct member *m = arg;

	if (m->fd >= 0)
		close(m->fd);
	g_free(m->head);
	g_free(m);
}

static void
member_close(struct member *m)
{
	close(m->fd);
	m->fd = -1;
}

/* What is sent next, up to the end of the head or the unit. */
static const char *
next_bytes(const struct member *m, size_t *len)
{
	size_t at;

	if (m->sent < m->head_len) {
		*len = MIN(m->head_len, m->total) - m->sent;
		return m->head + m->sent;
	}
	at = (m->sent - m->head_len) % m->unit->len;
	*len = MIN(m->unit->len - at, m->total - m->sent);
	return m->unit->str + at;
}

/* Sends what the connection takes; the number of bytes. */
static size_t
member_send(struct member *m)
{
	size_t before = m->sent;

	while (m->sent < m->total && m->sent - before < SEND_BYTES) {
		size_t len;
		const char *bytes = next_bytes(m, &len);
		ssize_t n =
		    send(m->fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			member_close(m);
		if (n < 0)
			break;
		m->sent += (size_t)n;
	}
	return m->sent - before;
}

static void
member_receive(struct member *m)
{
	char buf[SEND_BYTES];
	ssize_t n = recv(m->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN))
		member_close(m);
}

/* Lets the crowd send what the process takes now, and measures the process.
 * Returns the number of bytes sent. */
static size_t
run_crowd(struct site *s)
{
	size_t moved = 0;

	for (guint i = 0; i < s->crowd->len; i++) {
		struct member *m = s->crowd->pdata[i];

		if (m->fd >= 0)
			moved += member_send(m);
		if (m->fd >= 0 && m->reads)
			member_receive(m);
	}
	sample(s);
	s->moved += moved;
	return moved;
}

/* --- ordinary callers --- */

/* Receives until the process closes the connection; false if it goes on. */
static bool
receive_all(int fd, GString *in)
{
	char buf[SEND_BYTES];
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(in, buf, n);
	return n == 0 || errno != EAGAIN;
}

/* Sends a request on a new connection, beside the crowd. Returns the status of
 * the answer, 0 if there was none, and sets in to the whole answer. */
static int
call(struct site *s, enum place to, const GString *request, GString *in)
{
	int64_t limit = mono_ms() + ATTEMPT_MS;
	struct member m = { .fd = dial(s->address[to], 0),
		.head = (char *)"",
		.unit = request,
		.total = request->len };
	int status = 0;

	g_string_truncate(in, 0);
	while (m.fd >= 0 && mono_ms() < limit && is_alive(s)) {
		(void)member_send(&m);
		if (m.fd >= 0 && receive_all(m.fd, in))
			member_close(&m);
		if (run_crowd(s) == 0)
			g_usleep(1000);
	}
	if (m.fd >= 0)
		member_close(&m);
	if (g_str_has_prefix(in->str, "HTTP/1.1 "))
		status = atoi(in->str + strlen("HTTP/1.1 "));
	return status;
}

/* Fails the test unless the request gets 200 and a body with that end. An
 * ordinary caller tries again after 429, 5xx or no answer. Frees the request.
 * Does nothing once the test has failed, so that a hang is met only once. */
static void
ask(struct site *s, enum place to, GString *request, const char *end)
{
	int64_t limit = mono_ms() + AWAIT_MS;
	GString *in = g_string_new(NULL);
	bool ok = g_test_failed();
	bool final = false;

	while (!ok && !final && mono_ms() < limit && is_alive(s)) {
		int status = call(s, to, request, in);

		ok = status == 200 && g_str_has_suffix(in->str, end);
		final = status >= 400 && status < 500 && status != 429;
		if (!ok)
			g_usleep(POLL_US);
	}
	if (!ok)
		g_test_fail_printf("%s: no answer to %.40s: %.200s",
		    is_alive(s) ? "alive" : "the process has ended",
		    request->str, in->str);
	g_string_free(in, TRUE);
	g_string_free(request, TRUE);
}

/* Makes a request of an ordinary caller with additional headers. */
static GString *
make_request(
    const char *method, const char *path, const char *headers, const char *body)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\n"
	    "%sContent-Length: %zu\r\n\r\n",
	    method, path, headers, strlen(body));
	g_string_append(out, body);
	return out;
}

static const char job[] =
    "{\"spec\":\"w\",\"steps\":[{\"count\":1,\"cpu\":1000}]}";

static void
ask_submit(struct site *s, const char *headers, const char *body)
{
	char *path = g_strdup_printf("/q/%016x", ++s->jobs);

	ask(s, CALLERS, make_request("POST", path, headers, body), "{}");
	g_free(path);
}

static void
ask_config(struct site *s, const char *headers)
{
	ask(s, CONTROL,
	    make_request("GET", "/bulrushtide/config/read", headers, ""),
	    s->config);
}

/* One ordinary request at each address for HTTP. */
static void
ask_all(struct site *s)
{
	ask_submit(s, "", job);
	ask_config(s, "");
	ask(s, READY, make_request("GET", "/bulrushtide/ready", "", ""), "{}");
	ask(s, METRICS, make_request("GET", "/metrics", "", ""), "\n");
}

/* --- the process --- */

/* Pads a JSON object to len bytes with a field that nobody reads. */
static GString *
pad(const char *object, size_t len)
{
	GString *out = g_string_new("{\"note\":\"");

	while (out->len + strlen("\",") + strlen(object) - 1 < len)
		g_string_append_c(out, 'x');
	g_string_append(out, "\",");
	return g_string_append(out, object + 1);
}

/* Stores a configuration of len bytes. */
static void
configure(struct site *s, int version, size_t len)
{
	char *config = g_strdup_printf(
	    "{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":"
	    "\"jobs.example\",\"pathPrefix\":\"/q/\",\"service\":\"desk\","
	    "\"timeoutMs\":3000,\"maxAttempts\":2}],\"services\":[{"
	    "\"name\":\"desk\"}]}",
	    version);

	g_free(s->config);
	s->config = g_string_free(pad(config, len), FALSE);
	g_free(config);
	ask(s, CONTROL, make_request("POST", CONFIG_PATH, "", s->config), "{}");
}

/* Has AddressSanitizer return freed memory, so that the process's memory shows
 * what it holds. */
static void
set_sanitizer_options(void)
{
	const char *old = g_getenv("ASAN_OPTIONS");
	char *all = g_strdup_printf("%s%squarantine_size_mb=0:"
				    "thread_local_quarantine_size_kb=0:"
				    "allocator_release_to_os_interval_ms=10",
	    old == NULL ? "" : old, old == NULL ? "" : ":");

	g_setenv("ASAN_OPTIONS", all, TRUE);
	g_free(all);
}

static void
start(struct site *s, const char *limits)
{
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *path = g_strdup_printf("%s/n0.conf", s->dir);
	const char *port = strrchr(s->address[PEER], ':') + 1;
	char *text = g_strdup_printf(
	    "[node]\nname=n0\ndata-center=z\nip=%s\npeer-ports=%s\n"
	    "seeds=%s:1\nfirst-start=true\ndata-dir=%s/data\ncallers=%s\n"
	    "control=%s\nready=%s\nmetrics=%s\ngrace-s=4\nretain-s=60\n%s",
	    s->ip, port, s->ip, s->dir, s->address[CALLERS],
	    s->address[CONTROL], s->address[READY], s->address[METRICS],
	    limits);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	add_arg(argv, "%s/../platform/bulrushtide-platform", programs);
	add_arg(argv, "--settings=%s", path);
	s->proc = proc_new("n0", s->dir, argv);
	proc_start(s->proc, false);
	g_free(text);
	g_free(path);
	g_free(programs);
}

/* Notes what the process takes in calm, after some ordinary requests. */
static void
measure_calm(struct site *s)
{
	for (int i = 0; i < QUIET_ROUNDS; i++)
		ask_all(s);
	s->peak_kib = s->calm_kib = memory_kib(s);
	s->peak_fds = s->calm_fds = descriptors(s);
}

static struct site *
site_new(const char *limits, size_t config_len)
{
	struct site *s = g_new0(struct site, 1);
	char *data;

	s->dir = g_dir_make_tmp("crowd-XXXXXX", NULL);
	data = g_strdup_printf("%s/data", s->dir);
	g_assert_cmpint(g_mkdir(data, 0700), ==, 0);
	g_free(data);
	s->ip = loopback_ip();
	for (int i = 0; i < PLACES; i++)
		s->address[i] = free_address(s->ip);
	s->crowd = g_ptr_array_new_with_free_func(member_free);
	start(s, limits);
	configure(s, 7, config_len);
	measure_calm(s);
	return s;
}

static struct site *
site_with_limits(size_t config_len)
{
	char *limits = g_strdup_printf("connections-max=%d\nheld-max-kib=%d\n",
	    CONNECTIONS_MAX, HELD_MAX_KIB);
	struct site *s = site_new(limits, config_len);

	g_free(limits);
	return s;
}

/* Stops the process, which must not have been damaged. */
static void
site_free(struct site *s)
{
	int status;

	kill(s->proc->pid, SIGTERM);
	status = proc_wait(s->proc);
	if (status != 0)
		g_test_fail_printf("wait status %d", status);
	proc_free(s->proc);
	g_ptr_array_unref(s->crowd);
	for (int i = 0; i < PLACES; i++)
		g_free(s->address[i]);
	remove_tree(s->dir);
	g_free(s->config);
	g_free(s->dir);
	g_free(s->ip);
	g_free(s);
}

/* Runs the crowd, with ordinary requests beside it, until it can't send any
 * more and the process has received what was sent. */
static void
settle(struct site *s)
{
	int quiet = 0;

	while (quiet < QUIET_ROUNDS && is_alive(s) && !g_test_failed()) {
		size_t moved = s->moved;
		int kib = s->peak_kib;

		while (run_crowd(s) > 0)
			continue;
		ask_all(s);
		quiet = s->moved == moved && s->peak_kib - kib <= QUIET_KIB
		    ? quiet + 1
		    : 0;
	}
}

/* The crowd leaves; its connections must not stay open. */
static void
disperse(struct site *s)
{
	int64_t limit = mono_ms() + AWAIT_MS;

	g_ptr_array_set_size(s->crowd, 0);
	for (int i = 0; i < QUIET_ROUNDS; i++)
		ask_all(s);
	while (descriptors(s) > s->calm_fds + FD_SLACK && mono_ms() < limit)
		g_usleep(POLL_US);
	if (descriptors(s) > s->calm_fds + FD_SLACK)
		g_test_fail_printf("%d descriptors after the crowd, %d before",
		    descriptors(s), s->calm_fds);
}

static void
check_bounds(const struct site *s)
{
	int kib = s->peak_kib - s->calm_kib;
	int fds = s->peak_fds - s->calm_fds;

	g_test_message("in calm %d KiB, %d descriptors; crowd sent %zu KiB; "
		       "growth %d KiB of %d, %d descriptors of %d; "
		       "now %d KiB, %d descriptors",
	    s->calm_kib, s->calm_fds, s->moved / 1024, kib, MEMORY_BOUND_KIB,
	    fds, FD_BOUND, memory_kib(s), descriptors(s));
	if (kib > MEMORY_BOUND_KIB)
		g_test_fail_printf("memory grew by %d KiB, bound %d KiB", kib,
		    MEMORY_BOUND_KIB);
	if (fds > FD_BOUND)
		g_test_fail_printf(
		    "%d descriptors more, bound %d", fds, FD_BOUND);
	if (!is_alive(s))
		g_test_fail_printf("the process has ended");
}

static void
finish(struct site *s)
{
	settle(s);
	disperse(s);
	check_bounds(s);
	site_free(s);
}

/* --- the cases --- */

static char *
post_head(const char *path, const char *headers)
{
	return g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: jobs.example\r\n%s\r\n", path, headers);
}

/* A chunk of a body. */
static GString *
make_chunk(void)
{
	GString *out = g_string_new("1000\r\n");

	while (out->len < strlen("1000\r\n") + 0x1000)
		g_string_append_c(out, 'x');
	return g_string_append(out, "\r\n");
}

/* Guards against a body that is received although its announced length is far
 * over the limit of a connection. */
static void
test_announced_bodies(void)
{
	static const char length[] = "Content-Length: 4294967296\r\n";
	struct site *s = site_with_limits(0);
	GString *unit = g_string_new("xxxxxxxxxxxxxxxx");

	join(s, CALLERS, 24, post_head("/q/00000000000000ff", length), unit,
	    2 * BODY_MAX, false);
	join(s, CONTROL, 12, post_head(CONFIG_PATH, length), unit,
	    2 * CONTROL_BODY_MAX, false);
	join(s, CONTROL, 12,
	    post_head("/bulrushtide/instances/w/heartbeat", length), unit,
	    2 * CONTROL_BODY_MAX, false);
	finish(s);
	g_string_free(unit, TRUE);
}

/* Guards against many bodies that don't end, each within the limit of its
 * connection, in sum far over the limit of the process. */
static void
test_unfinished_bodies(void)
{
	static const char chunked[] = "Transfer-Encoding: chunked\r\n";
	struct site *s = site_with_limits(0);
	GString *unit = make_chunk();

	for (enum place to = CALLERS; to <= METRICS; to++) {
		bool control = to == CONTROL;
		const char *path = control ? CONFIG_PATH : "/v1/explain";
		size_t total = control ? 3 * BODY_MAX : BODY_MAX * 3 / 4;

		join(s, to, 7, post_head(path, chunked), unit, total, false);
		join(s, to, 7,
		    post_head(path,
			control ? "Content-Length: 4194304\r\n"
				: "Content-Length: 1048576\r\n"),
		    unit, total, false);
	}
	finish(s);
	g_string_free(unit, TRUE);
}

/* Guards against heads that don't end, in many short lines, on more connections
 * than permitted. */
static void
test_unfinished_heads(void)
{
	struct site *s = site_with_limits(0);
	GString *unit = g_string_new("a:b\r\n");

	for (enum place to = CALLERS; to <= METRICS; to++)
		join(s, to, 40, g_strdup("GET / HTTP/1.1\r\n"), unit, 8000,
		    false);
	finish(s);
	g_string_free(unit, TRUE);
}

/* Guards against answers that pile up because their callers don't read. */
static void
test_unread_answers(void)
{
	struct site *s = site_with_limits(2 * BODY_MAX);
	GString *config = g_string_new(
	    "GET /bulrushtide/config/read HTTP/1.1\r\nHost: x\r\n\r\n");
	GString *metrics =
	    g_string_new("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");

	join(s, CONTROL, 40, g_strdup(""), config, 100 * config->len, false);
	join(s, METRICS, 20, g_strdup(""), metrics, 1000 * metrics->len, false);
	finish(s);
	g_string_free(config, TRUE);
	g_string_free(metrics, TRUE);
}

/* Guards against connections without a request that take all descriptors. */
static void
test_silent_connections(void)
{
	struct site *s = site_with_limits(0);

	for (enum place to = CALLERS; to < PLACES; to++)
		join(s, to, 40, g_strdup(""), NULL, 0, true);
	finish(s);
}

/* Guards against frames of the largest size that don't end, by strangers that
 * have not said who they are. */
static void
test_unfinished_frames(void)
{
	struct site *s = site_with_limits(0);
	GString *unit = g_string_new_len("\x00\x7f\xff\xff", 4);

	while (unit->len < SEND_BYTES)
		g_string_append_c(unit, 'x');
	join(s, PEER, 48, g_strdup(""), unit, 2 * BODY_MAX, false);
	finish(s);
	g_string_free(unit, TRUE);
}

/* Guards against one body within the limit that takes a hundred times as much
 * when it is decoded. */
static void
test_many_values(void)
{
	struct site *s = site_with_limits(0);
	GString *unit = g_string_new(NULL);
	char *length =
	    g_strdup_printf("Content-Length: %d\r\n", CONTROL_BODY_MAX);
	char *head = post_head(CONFIG_PATH, length);
	char *start = g_strconcat(head, "{\"routes\":[", NULL);

	while (unit->len < SEND_BYTES)
		g_string_append(unit, "[],");
	join(s, CONTROL, 1, start, unit, strlen(head) + CONTROL_BODY_MAX, true);
	finish(s);
	g_string_free(unit, TRUE);
	g_free(head);
	g_free(length);
}

/* Guards against valid requests near the limit of a connection that are
 * complete all at once. */
static void
test_many_requests(void)
{
	struct site *s = site_with_limits(0);
	GString *body = pad(job, BODY_MAX - 1024);
	char *length = g_strdup_printf("Content-Length: %zu\r\n", body->len);

	for (int i = 0; i < 60; i++) {
		char *path = g_strdup_printf("/q/%016x", 0x1000 + i);
		char *head = post_head(path, length);

		/* All but the last byte. */
		join(s, CALLERS, 1, head, body, strlen(head) + body->len - 1,
		    true);
		g_free(path);
	}
	settle(s);
	for (guint i = 0; i < s->crowd->len; i++)
		((struct member *)s->crowd->pdata[i])->total++;
	finish(s);
	g_string_free(body, TRUE);
	g_free(length);
}

/* Guards against limits that refuse a body that the users' pages permit. */
static void
test_body_in_limits(void)
{
	struct site *s = site_with_limits(0);
	GString *body = pad(job, PAGES_BODY_MAX);

	g_assert_cmpuint(body->len, ==, PAGES_BODY_MAX);
	ask_submit(s, "", body->str);
	finish(s);
	g_string_free(body, TRUE);
}

/* Guards against limits that refuse headers that the users' pages permit. */
static void
test_head_in_limits(void)
{
	struct site *s = site_with_limits(0);
	GString *headers = g_string_new(NULL);
	char *value = g_strnfill(1000, 'x');

	/* The rest of the head has less than 1,000 bytes. */
	for (int i = 0; headers->len < PAGES_HEADER_MAX - 2048; i++)
		g_string_append_printf(headers, "X-Note-%d: %s\r\n", i, value);
	ask_submit(s, headers->str, job);
	ask_config(s, headers->str);
	finish(s);
	g_string_free(headers, TRUE);
	g_free(value);
}

/* Guards against limits, as they are without settings for them, that refuse a
 * configuration of the permitted size. */
static void
test_config_in_limits(void)
{
	struct site *s = site_new("", 0);

	configure(s, 8, CONTROL_BODY_MAX - 1024);
	ask_all(s);
	site_free(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	set_sanitizer_options();
	g_test_add_func("/crowd/announced-bodies", test_announced_bodies);
	g_test_add_func("/crowd/unfinished-bodies", test_unfinished_bodies);
	g_test_add_func("/crowd/unfinished-heads", test_unfinished_heads);
	g_test_add_func("/crowd/unread-answers", test_unread_answers);
	g_test_add_func("/crowd/silent-connections", test_silent_connections);
	g_test_add_func("/crowd/unfinished-frames", test_unfinished_frames);
	g_test_add_func("/crowd/many-requests", test_many_requests);
	g_test_add_func("/crowd/many-values", test_many_values);
	g_test_add_func("/crowd/body-in-limits", test_body_in_limits);
	g_test_add_func("/crowd/head-in-limits", test_head_in_limits);
	g_test_add_func("/crowd/config-in-limits", test_config_in_limits);
	return g_test_run();
}
