#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpd.h"
#include "tcp.h"

struct fixture {
	struct event_base *base;
	struct http_request *deferred; /* not yet replied to */
	int status;
	char *body;
};

static void
echo(void *arg, struct http_request *req)
{
	char *n = http_query(req, "n");

	http_reply(req, 200,
	    g_strdup_printf("%s/%s/%s/%.*s", req->param[0], req->param[1],
		n == NULL ? "-" : n, (int)req->body_len,
		(const char *)req->body),
	    0);
	g_free(n);
}

static void
defer_reply(void *arg, struct http_request *req)
{
	struct fixture *f = arg;

	f->deferred = req;
	event_base_loopbreak(f->base);
}

#define SKIP_PATH "/upload"
#define SKIP_MIN_BYTES 8

static bool
skips(void *arg, uint64_t body_len)
{
	return body_len >= SKIP_MIN_BYTES;
}

static void
upload(void *arg, struct http_request *req)
{
	http_reply(req, 200,
	    g_strdup_printf("skipped %d, got %.*s", (int)req->skipped_len,
		(int)req->body_len, (const char *)req->body),
	    0);
}

static const struct http_route routes[] = {
	{ EVHTTP_REQ_POST, SKIP_PATH, upload },
	{ EVHTTP_REQ_POST, "/a/*/b/*", echo },
	{ EVHTTP_REQ_GET, "/hold", defer_reply },
};

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct fixture *f = arg;

	f->status = status;
	g_free(f->body);
	f->body = g_strndup(body == NULL ? "" : body, len);
	event_base_loopbreak(f->base);
}

/* Returns "127.0.0.1:PORT" with a free port chosen by the kernel. */
static char *
free_address(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, len), ==, 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	evutil_closesocket(fd);
	return g_strdup_printf("127.0.0.1:%d", ntohs(sin.sin_port));
}

static void
test_serve(void)
{
	struct fixture f = { .base = event_base_new() };
	char *address = free_address();
	GError *err = NULL;
	struct httpd *h =
	    httpd_new(f.base, address, routes, G_N_ELEMENTS(routes), &f, &err);
	struct http_peer *p = http_peer_new(f.base, address, &err);

	g_assert_no_error(err);
	http_send(p, EVHTTP_REQ_POST, "/a/1%2F2/b/x?n=3", NULL, "hey", 3, 5000,
	    on_answer, &f);
	event_base_dispatch(f.base);
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpstr(f.body, ==, "1/2/x/3/hey");
	http_send(
	    p, EVHTTP_REQ_GET, "/a/1/b/x", NULL, NULL, 0, 5000, on_answer, &f);
	event_base_dispatch(f.base);
	g_assert_cmpint(f.status, ==, 405);
	http_send(
	    p, EVHTTP_REQ_GET, "/none", NULL, NULL, 0, 5000, on_answer, &f);
	event_base_dispatch(f.base);
	g_assert_cmpint(f.status, ==, 404);
	http_peer_free(p);
	httpd_free(h);
	event_base_free(f.base);
	g_free(f.body);
	g_free(address);
}

struct skip_case {
	const char *request;
	const char *reply; /* end of the reply to it */
};

/*
 * A request is answered without its body only if the server knows where the
 * body ends; the next request on the connection is understood all the same.
 */
static const struct skip_case skip_cases[] = {
	{ "POST " SKIP_PATH " HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
	    "skipped 0, got abc" },
	{ "POST " SKIP_PATH "?n=1 HTTP/1.1\r\nHost: x\r\n"
	  "content-length: 10\r\n\r\n0123456789",
	    "skipped 10, got " },
	{ "POST " SKIP_PATH " HTTP/1.1\nContent-Length:  8\n\nGET /a b",
	    "skipped 8, got " },
	{ "POST /a/1/b/2 HTTP/1.1\r\nContent-Length: 9\r\n\r\n012345678",
	    "1/2/-/012345678" },
	{ "POST " SKIP_PATH " HTTP/1.1\r\nContent-Length: 8\r\n"
	  "Expect: 100-continue\r\n\r\n01234567",
	    "skipped 0, got 01234567" },
	{ "POST " SKIP_PATH " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "9\r\n012345678\r\n0\r\n\r\n",
	    "skipped 0, got 012345678" },
	{ "POST " SKIP_PATH " HTTP/1.1\r\nContent-Length: 8\r\n\r\n01234567",
	    "skipped 0, got 01234567" }, /* not understood since the last */
};

static void
test_skip_body(void)
{
	static const size_t pieces[] = { 1, 7, 1000 }; /* bytes per packet */
	struct fixture f = { .base = event_base_new() };
	char *address = free_address();
	struct httpd *h =
	    httpd_new(f.base, address, routes, G_N_ELEMENTS(routes), &f, NULL);

	httpd_skip_bodies(h, SKIP_PATH, skips);
	for (size_t p = 0; p < G_N_ELEMENTS(pieces); p++) {
		int fd = tcp_dial(address);
		GString *in = g_string_new(NULL);

		g_assert_cmpint(fd, >=, 0);
		for (size_t i = 0; i < G_N_ELEMENTS(skip_cases); i++) {
			const struct skip_case *c = &skip_cases[i];
			size_t len = strlen(c->request);

			g_string_truncate(in, 0);
			for (size_t at = 0; at < len; at += pieces[p]) {
				size_t n = MIN(pieces[p], len - at);

				g_assert_cmpint(send(fd, c->request + at, n, 0),
				    ==, (ssize_t)n);
				event_base_loop(
				    f.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
			}
			while (!tcp_received(fd, in, c->reply))
				event_base_loop(
				    f.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		}
		close(fd);
		g_string_free(in, TRUE);
	}
	httpd_free(h);
	event_base_free(f.base);
	g_free(address);
}

/* A malformed request that announces a large body is refused, no more. */
static void
test_malformed_head(void)
{
	struct fixture f = { .base = event_base_new() };
	char *address = free_address();
	struct httpd *h =
	    httpd_new(f.base, address, routes, G_N_ELEMENTS(routes), &f, NULL);
	GString *in = g_string_new(NULL);
	int fd;

	httpd_skip_bodies(h, SKIP_PATH, skips);
	fd = tcp_dial(address);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    dprintf(fd, "POST\r\nContent-Length: 99999999\r\n\r\n"), >, 0);
	while (!tcp_received(fd, in, "HTTP/1.1 400 "))
		event_base_loop(f.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	close(fd);
	g_string_free(in, TRUE);
	httpd_free(h);
	event_base_free(f.base);
	g_free(address);
}

/* Sends a request whose reply is deferred. */
static struct http_peer *
send_held(struct fixture *f, const char *address)
{
	struct http_peer *p = http_peer_new(f->base, address, NULL);

	http_send(
	    p, EVHTTP_REQ_GET, "/hold", NULL, NULL, 0, 60000, on_answer, f);
	event_base_dispatch(f->base);
	g_assert_nonnull(f->deferred);
	return p;
}

/*
 * The caller disconnects before the deferred reply is sent. The reply is
 * dropped, and the request no longer counts as pending.
 */
static void
test_caller_disconnected(void)
{
	struct fixture f = { .base = event_base_new() };
	char *address = free_address();
	struct httpd *h =
	    httpd_new(f.base, address, routes, G_N_ELEMENTS(routes), &f, NULL);
	struct http_peer *p = send_held(&f, address);

	g_assert_cmpint(httpd_pending(h), ==, 1);
	http_peer_free(p);
	event_base_loop(f.base, EVLOOP_NONBLOCK);
	http_reply(f.deferred, 200, g_strdup("{}"), 0);
	event_base_loop(f.base, EVLOOP_NONBLOCK);
	g_assert_cmpint(httpd_pending(h), ==, 0);
	httpd_free(h);
	event_base_free(f.base);
	g_free(f.body);
	g_free(address);
}

/* Guards against an answer of any length that is kept in memory until it is
 * complete. */
static void
test_answer_too_long(void)
{
	struct fixture f = { .base = event_base_new(), .status = -1 };
	char *address = free_address();
	struct httpd *h =
	    httpd_new(f.base, address, routes, G_N_ELEMENTS(routes), &f, NULL);
	struct http_peer *p = send_held(&f, address);

	http_reply(f.deferred, 200, g_strnfill(HTTP_ANSWER_MAX + 1, 'x'), 0);
	event_base_dispatch(f.base);
	g_assert_cmpint(f.status, ==, 0);
	http_peer_free(p);
	httpd_free(h);
	event_base_free(f.base);
	g_free(f.body);
	g_free(address);
}

/* A request to an address where nobody listens ends with status 0. */
static void
test_no_listener(void)
{
	struct fixture f = { .base = event_base_new(), .status = -1 };
	char *address = free_address();
	struct http_peer *p = http_peer_new(f.base, address, NULL);

	http_send(p, EVHTTP_REQ_GET, "/", NULL, NULL, 0, 5000, on_answer, &f);
	event_base_dispatch(f.base);
	g_assert_cmpint(f.status, ==, 0);
	http_peer_free(p);
	event_base_loop(f.base, EVLOOP_NONBLOCK);
	event_base_free(f.base);
	g_free(f.body);
	g_free(address);
}

#define HELD 3 /* requests */

/* A server of which several incarnations listen at one address in turn. */
struct incarnations {
	struct event_base *base;
	char *address;
	struct httpd *server;
	int current;
	struct http_request *held; /* not replied to */
	int greetings;
	int requests; /* that the current one has got */
	int answers;
	int unsent;
};

static void
on_greeting(void *arg, struct http_request *req)
{
	struct incarnations *s = arg;

	s->greetings++;
	http_reply(req, 200, g_strdup_printf("%d", s->current), 0);
}

static void
on_held(void *arg, struct http_request *req)
{
	struct incarnations *s = arg;

	s->requests++;
	s->held = req;
}

static const struct http_route incarnation_routes[] = {
	{ EVHTTP_REQ_POST, "/greeting", on_greeting },
	{ EVHTTP_REQ_POST, "/held", on_held },
};

static void
start_incarnation(struct incarnations *s)
{
	GError *err = NULL;

	s->requests = 0;
	s->current++;
	s->server = httpd_new(s->base, s->address, incarnation_routes,
	    G_N_ELEMENTS(incarnation_routes), s, &err);
	g_assert_no_error(err);
}

static char *
greeting_body(void *arg)
{
	return g_strdup("who");
}

static bool
accept_first(void *arg, int status, const void *body, size_t len)
{
	return status == 200 && len == 1 && *(const char *)body == '1';
}

static void
count_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct incarnations *s = arg;

	s->answers++;
	s->unsent += status == 0 && http_not_sent(why);
}

/* Guards against requests that are queued for a process, and are sent to the
 * one that listens at its address after it. */
static void
test_greeting(void)
{
	static const struct http_greeting greeting = { .path = "/greeting",
		.body = greeting_body,
		.accept = accept_first,
		.max_idle_ms = 1000 };
	struct incarnations s = { .base = event_base_new(),
		.address = free_address() };
	struct http_peer *p = http_peer_new(s.base, s.address, NULL);

	http_peer_set_greeting(p, &greeting, NULL, NULL);
	start_incarnation(&s);
	for (int i = 0; i < HELD; i++)
		http_send(p, EVHTTP_REQ_POST, "/held", NULL, "x", 1, 5000,
		    count_answer, &s);
	while (s.held == NULL)
		event_base_loop(s.base, EVLOOP_ONCE);
	g_assert_cmpint(s.greetings, ==, 1);
	g_assert_cmpint(s.requests, ==, 1);
	http_reply(s.held, 200, g_strdup(""), 0);
	httpd_free(s.server);
	start_incarnation(&s);
	while (s.answers < HELD)
		event_base_loop(s.base, EVLOOP_ONCE);
	g_assert_cmpint(s.greetings, ==, 2);
	g_assert_cmpint(s.requests, ==, 0);
	g_assert_cmpint(s.unsent, ==, HELD - 1);
	http_peer_free(p);
	httpd_free(s.server);
	event_base_loop(s.base, EVLOOP_NONBLOCK);
	event_base_free(s.base);
	g_free(s.address);
}

#define FILLERS 4 /* connections that fill a backlog of 0 */

static void
keep_why(void *arg, int status, const void *body, size_t len, const char *why)
{
	const char **out = arg;

	*out = why;
}

/* Guards against a process that can't be reached for a while and is taken for
 * one that has ended. */
static void
test_connect_timeout(void)
{
	static const struct http_greeting greeting = { .path = "/greeting",
		.body = greeting_body,
		.accept = accept_first };
	struct event_base *base = event_base_new();
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int filler[FILLERS];
	const char *why = NULL;
	struct http_peer *p;
	char *address;

	g_assert_cmpint(bind(listener, (struct sockaddr *)&sin, len), ==, 0);
	g_assert_cmpint(listen(listener, 0), ==, 0);
	getsockname(listener, (struct sockaddr *)&sin, &len);
	for (int i = 0; i < FILLERS; i++) {
		filler[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(filler[i], (struct sockaddr *)&sin, len);
	}
	address = g_strdup_printf("127.0.0.1:%d", ntohs(sin.sin_port));
	p = http_peer_new(base, address, NULL);
	http_peer_set_greeting(p, &greeting, NULL, NULL);
	http_send(p, EVHTTP_REQ_GET, "/", NULL, NULL, 0, 200, keep_why, &why);
	while (why == NULL)
		event_base_loop(base, EVLOOP_ONCE);
	g_assert_cmpstr(why, ==, HTTP_CONNECT_TIMEOUT);
	g_assert_true(http_not_sent(why));
	http_peer_free(p);
	for (int i = 0; i < FILLERS; i++)
		evutil_closesocket(filler[i]);
	evutil_closesocket(listener);
	event_base_free(base);
	g_free(address);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpd/serve", test_serve);
	g_test_add_func("/httpd/skip-body", test_skip_body);
	g_test_add_func("/httpd/malformed-head", test_malformed_head);
	g_test_add_func("/httpd/caller-disconnected", test_caller_disconnected);
	g_test_add_func("/httpd/answer-too-long", test_answer_too_long);
	g_test_add_func("/httpd/no-listener", test_no_listener);
	g_test_add_func("/httpd/greeting", test_greeting);
	g_test_add_func("/httpd/connect-timeout", test_connect_timeout);
	return g_test_run();
}
