#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "httpd.h"
#include "logs.h"

#define CLIENT_IDLE_S 30 /* of a connection with a greeting */

struct call {
	struct http_peer *peer;
	http_answer *answer;
	void *arg;
	const char *why; /* reason to report if there is no response */
	/* While it waits for the connection: */
	struct evhttp_request *ev;
	enum evhttp_cmd_type method;
	char *path;
	int timeout_ms;
};

struct http_peer {
	struct evhttp_connection *conn; /* NULL before the first request */
	struct event_base *base;
	char *host; /* Host header: IP:PORT */
	char *ip;
	uint16_t port;
	GQueue calls; /* struct call, outstanding */
	/* Of a peer with a greeting: */
	const struct http_greeting *greeting;
	void *greeting_arg;
	const char *const *greeting_headers;
	GQueue waiting; /* struct call, of the outstanding ones: not sent yet */
	bool busy; /* a request is in flight, or its callbacks run */
	bool closed; /* the connection, since the greeting was sent */
	int64_t give_up_ms; /* when the greeting in flight times out */
	bool greeted; /* the greeting was accepted on this connection ... */
	int64_t responded_ms; /* ... and when the last response came */
	const char *why; /* it was not */
	bool freed;
	bool in_callback;
	struct evhttp_request *response; /* during the call of its answer */
};

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	struct http_peer *p = arg;

	p->closed = true;
	p->greeted = false;
}

static struct evhttp_connection *
connection(struct http_peer *p)
{
	if (p->conn != NULL)
		return p->conn;
	p->conn = evhttp_connection_base_new(p->base, NULL, p->ip, p->port);
	evhttp_connection_set_closecb(p->conn, on_closed, p);
	evhttp_connection_set_max_headers_size(p->conn, HTTP_HEADERS_MAX);
	evhttp_connection_set_max_body_size(p->conn, HTTP_ANSWER_MAX);
	return p->conn;
}

struct http_peer *
http_peer_new(struct event_base *base, const char *address, GError **err)
{
	const char *colon = strrchr(address, ':');
	struct http_peer *p;
	guint64 port = 0;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "address \"%s\" is not of the form IP:PORT", address);
		return NULL;
	}
	p = g_new0(struct http_peer, 1);
	p->base = base;
	p->host = g_strdup(address);
	p->ip = address[0] == '['
	    ? g_strndup(address + 1, (gsize)(colon - address) - 2)
	    : g_strndup(address, (gsize)(colon - address));
	p->port = (uint16_t)port;
	return p;
}

static void
call_free(void *arg)
{
	struct call *c = arg;

	if (c->ev != NULL)
		evhttp_request_free(c->ev);
	g_free(c->path);
	g_free(c);
}

/* Frees the peer. evhttp drops outstanding requests without a callback. */
static void
destroy(evutil_socket_t fd, short what, void *arg)
{
	struct http_peer *p = arg;

	if (p->conn != NULL)
		evhttp_connection_free(p->conn);
	g_queue_clear(&p->waiting);
	g_queue_clear_full(&p->calls, call_free);
	g_free(p->host);
	g_free(p->ip);
	g_free(p);
}

void
http_peer_free(struct http_peer *p)
{
	if (p == NULL || p->freed)
		return;
	p->freed = true;
	for (GList *i = p->calls.head; i != NULL; i = i->next) {
		struct call *c = i->data;

		c->answer(c->arg, 0, NULL, 0,
		    c->ev != NULL ? HTTP_NOT_GREETED : HTTP_CANCELLED);
	}
	/* During a callback evhttp still uses the connection. */
	if (p->in_callback)
		event_base_once(p->base, -1, EV_TIMEOUT, destroy, p, NULL);
	else
		destroy(-1, 0, p);
}

bool
http_not_sent(const char *why)
{
	return g_strcmp0(why, HTTP_NO_CONNECTION) == 0 ||
	    g_strcmp0(why, HTTP_CONNECT_TIMEOUT) == 0 ||
	    g_strcmp0(why, HTTP_NOT_GREETED) == 0;
}

int
http_peer_outstanding(const struct http_peer *p)
{
	return (int)p->calls.length;
}

const char *
http_peer_header(const struct http_peer *p, const char *name)
{
	const char *value = p->response == NULL
	    ? NULL
	    : evhttp_find_header(
		  evhttp_request_get_input_headers(p->response), name);

	return value == NULL ? "" : value;
}

static const char *
error_reason(enum evhttp_request_error error)
{
	switch (error) {
	case EVREQ_HTTP_TIMEOUT:
		return HTTP_TIMEOUT;
	case EVREQ_HTTP_EOF:
		return "connection closed";
	case EVREQ_HTTP_INVALID_HEADER:
		return "malformed response";
	case EVREQ_HTTP_DATA_TOO_LONG:
		return "response too long";
	default:
		return "connection lost";
	}
}

static void
on_error(enum evhttp_request_error error, void *arg)
{
	struct call *c = arg;

	c->why = error_reason(error);
}

static void finish_exchange(struct http_peer *p);

static void
on_response(struct evhttp_request *ev, void *arg)
{
	struct call *c = arg;
	struct http_peer *p = c->peer;
	int status = ev == NULL ? 0 : evhttp_request_get_response_code(ev);
	struct evbuffer *in =
	    ev == NULL ? NULL : evhttp_request_get_input_buffer(ev);
	size_t len = in == NULL ? 0 : evbuffer_get_length(in);

	/* http_peer_free() has called answer; destroy() frees c. */
	if (p->freed)
		return;
	p->greeted = p->greeted && status != 0;
	g_queue_remove(&p->calls, c);
	p->in_callback = true;
	p->response = ev;
	c->answer(c->arg, status, len == 0 ? NULL : evbuffer_pullup(in, -1),
	    len, status != 0 ? NULL : c->why);
	p->in_callback = false;
	p->response = NULL;
	call_free(c);
	finish_exchange(p);
}

/* Completes a call that was not sent. */
static void
fail_unsent(struct http_peer *p, struct call *c)
{
	g_queue_remove(&p->calls, c);
	c->answer(c->arg, 0, NULL, 0, p->why);
	call_free(c);
}

static void
on_greeting_error(enum evhttp_request_error error, void *arg)
{
	struct http_peer *p = arg;

	p->why = HTTP_NOT_GREETED;
}

static void
on_greeting_response(struct evhttp_request *ev, void *arg)
{
	struct http_peer *p = arg;
	int status = ev == NULL ? 0 : evhttp_request_get_response_code(ev);
	struct evbuffer *in =
	    ev == NULL ? NULL : evhttp_request_get_input_buffer(ev);
	size_t len = in == NULL ? 0 : evbuffer_get_length(in);
	guint unsent;

	if (p->freed)
		return;
	if (status != 0)
		p->why = HTTP_NOT_GREETED;
	else if (strcmp(p->why, HTTP_NO_CONNECTION) == 0 &&
	    mono_ms() >= p->give_up_ms)
		p->why = HTTP_CONNECT_TIMEOUT;
	p->in_callback = true;
	p->greeted = p->greeting->accept(p->greeting_arg, status,
	    len == 0 ? NULL : evbuffer_pullup(in, -1), len);
	if (p->greeted && p->closed) {
		log_warn(
		    "httpd", "event=connection-not-kept address=%s", p->host);
		p->greeted = false;
	}
	/* Not those that the callbacks queue. */
	unsent = p->greeted ? 0 : p->waiting.length;
	for (; unsent > 0 && !p->freed; unsent--)
		fail_unsent(p, g_queue_pop_head(&p->waiting));
	p->in_callback = false;
	finish_exchange(p);
}

static void
add_content(const struct http_peer *p, struct evhttp_request *ev,
    const char *const *headers, const void *body, size_t len)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(ev);

	for (int i = 0; headers != NULL && headers[i] != NULL; i += 2)
		evhttp_add_header(out, headers[i], headers[i + 1]);
	if (evhttp_find_header(out, "Host") == NULL)
		evhttp_add_header(out, "Host", p->host);
	if (len > 0) {
		evhttp_add_header(out, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(ev), body, len);
	}
}

static void
make_request(struct http_peer *p, struct evhttp_request *ev,
    enum evhttp_cmd_type method, const char *path, int timeout_ms)
{
	struct timeval tv = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
	struct evhttp_connection *conn = connection(p);

	evhttp_connection_set_timeout_tv(conn, &tv);
	/* On failure evhttp has already called the callback of ev. */
	(void)evhttp_make_request(conn, ev, method, path);
}

static void
send_greeting(struct http_peer *p, int timeout_ms)
{
	struct evhttp_request *ev = evhttp_request_new(on_greeting_response, p);
	char *body = p->greeting->body(p->greeting_arg);

	p->busy = true;
	p->closed = false;
	p->why = HTTP_NO_CONNECTION;
	p->give_up_ms = mono_ms() + timeout_ms;
	evhttp_request_set_error_cb(ev, on_greeting_error);
	add_content(p, ev, p->greeting_headers, body, strlen(body));
	g_free(body);
	make_request(p, ev, EVHTTP_REQ_POST, p->greeting->path, timeout_ms);
}

/* Sends the next call that waits, or the greeting before it. */
static void
send_next(struct http_peer *p)
{
	struct call *c = g_queue_peek_head(&p->waiting);

	if (p->freed || p->busy || c == NULL)
		return;
	if (!p->greeted ||
	    mono_ms() - p->responded_ms > p->greeting->max_idle_ms) {
		send_greeting(p, c->timeout_ms);
		return;
	}
	p->busy = true;
	g_queue_pop_head(&p->waiting);
	make_request(
	    p, g_steal_pointer(&c->ev), c->method, c->path, c->timeout_ms);
}

/* Sends what waits; else keeps the connection open for it. */
static void
finish_exchange(struct http_peer *p)
{
	static const struct timeval idle = { .tv_sec = CLIENT_IDLE_S };

	p->busy = false;
	p->responded_ms = mono_ms();
	if (p->freed || p->greeting == NULL)
		return;
	/* The time-out of the last request would close it. */
	evhttp_connection_set_timeout_tv(p->conn, &idle);
	send_next(p);
}

void
http_peer_set_greeting(struct http_peer *p, const struct http_greeting *g,
    const char *const *headers, void *arg)
{
	p->greeting = g;
	p->greeting_headers = headers;
	p->greeting_arg = arg;
}

void
http_send(struct http_peer *p, enum evhttp_cmd_type method, const char *path,
    const char *const *headers, const void *body, size_t len, int timeout_ms,
    http_answer *answer, void *arg)
{
	struct call *c = g_new0(struct call, 1);
	struct evhttp_request *ev = evhttp_request_new(on_response, c);

	c->peer = p;
	c->answer = answer;
	c->arg = arg;
	c->why = HTTP_NO_CONNECTION;
	evhttp_request_set_error_cb(ev, on_error);
	add_content(p, ev, headers, body, len);
	g_queue_push_tail(&p->calls, c);
	if (p->greeting == NULL) {
		make_request(p, ev, method, path, timeout_ms);
		return;
	}
	c->ev = ev;
	c->method = method;
	c->path = g_strdup(path);
	c->timeout_ms = timeout_ms;
	g_queue_push_tail(&p->waiting, c);
	send_next(p);
}
