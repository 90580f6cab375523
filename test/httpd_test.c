#include <string.h>

#include "httpd.h"

struct bench {
	struct event_base *base;
	struct http_request *held;
	int status;
	char *body;
};

static void
echo(void *arg, struct http_request *req)
{
	char *times = http_query(req, "n");

	http_reply(req, 200,
	    g_strdup_printf("%s/%s/%s/%.*s", req->param[0], req->param[1],
		times == NULL ? "-" : times, (int)req->body_len,
		(const char *)req->body),
	    0);
	g_free(times);
}

static void
hold(void *arg, struct http_request *req)
{
	struct bench *b = arg;

	b->held = req;
	event_base_loopbreak(b->base);
}

static const struct http_route routes[] = {
	{ EVHTTP_REQ_POST, "/a/*/b/*", echo },
	{ EVHTTP_REQ_GET, "/hold", hold },
};

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct bench *b = arg;

	b->status = status;
	g_free(b->body);
	b->body = g_strndup(body == NULL ? "" : body, len);
	event_base_loopbreak(b->base);
}

/* Finds a free port by letting the kernel choose one. */
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
	struct bench b = { .base = event_base_new() };
	char *at = free_address();
	GError *err = NULL;
	struct httpd *h =
	    httpd_new(b.base, at, routes, G_N_ELEMENTS(routes), &b, &err);
	struct http_peer *p = http_peer_new(b.base, at, &err);

	g_assert_no_error(err);
	http_send(p, EVHTTP_REQ_POST, "/a/1%2F2/b/x?n=3", NULL, "hey", 3, 5000,
	    on_answer, &b);
	event_base_dispatch(b.base);
	g_assert_cmpint(b.status, ==, 200);
	g_assert_cmpstr(b.body, ==, "1/2/x/3/hey");
	http_send(
	    p, EVHTTP_REQ_GET, "/a/1/b/x", NULL, NULL, 0, 5000, on_answer, &b);
	event_base_dispatch(b.base);
	g_assert_cmpint(b.status, ==, 405);
	http_send(
	    p, EVHTTP_REQ_GET, "/none", NULL, NULL, 0, 5000, on_answer, &b);
	event_base_dispatch(b.base);
	g_assert_cmpint(b.status, ==, 404);
	http_peer_free(p);
	httpd_free(h);
	event_base_free(b.base);
	g_free(b.body);
	g_free(at);
}

/* A caller that has gone away does not hurt the later answer. */
static void
test_caller_gone(void)
{
	struct bench b = { .base = event_base_new() };
	char *at = free_address();
	struct httpd *h =
	    httpd_new(b.base, at, routes, G_N_ELEMENTS(routes), &b, NULL);
	struct http_peer *p = http_peer_new(b.base, at, NULL);

	http_send(
	    p, EVHTTP_REQ_GET, "/hold", NULL, NULL, 0, 60000, on_answer, &b);
	event_base_dispatch(b.base);
	g_assert_nonnull(b.held);
	g_assert_cmpint(httpd_pending(h), ==, 1);
	http_peer_free(p);
	event_base_loop(b.base, EVLOOP_NONBLOCK);
	http_reply(b.held, 200, g_strdup("{}"), 0);
	event_base_loop(b.base, EVLOOP_NONBLOCK);
	g_assert_cmpint(httpd_pending(h), ==, 0);
	httpd_free(h);
	event_base_free(b.base);
	g_free(b.body);
	g_free(at);
}

/* A peer that is not there gives status 0 and a reason. */
static void
test_no_peer(void)
{
	struct bench b = { .base = event_base_new(), .status = -1 };
	char *at = free_address();
	struct http_peer *p = http_peer_new(b.base, at, NULL);

	http_send(p, EVHTTP_REQ_GET, "/", NULL, NULL, 0, 5000, on_answer, &b);
	event_base_dispatch(b.base);
	g_assert_cmpint(b.status, ==, 0);
	http_peer_free(p);
	event_base_loop(b.base, EVLOOP_NONBLOCK);
	event_base_free(b.base);
	g_free(b.body);
	g_free(at);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpd/serve", test_serve);
	g_test_add_func("/httpd/caller-gone", test_caller_gone);
	g_test_add_func("/httpd/no-peer", test_no_peer);
	return g_test_run();
}
