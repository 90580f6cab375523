#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "httpd.h"

struct call {
	struct http_peer *peer;
	http_answer *answer;
	void *arg;
	const char *why; /* reason to report if there is no response */
};

struct http_peer {
	struct evhttp_connection *conn; /* NULL before the first request */
	struct event_base *base;
	char *host; /* Host header: IP:PORT */
	char *ip;
	uint16_t port;
	GQueue calls; /* struct call, outstanding */
	bool freed;
	bool in_callback;
	struct evhttp_request *response; /* during the call of its answer */
};

static struct evhttp_connection *
connection(struct http_peer *p)
{
	if (p->conn != NULL)
		return p->conn;
	p->conn = evhttp_connection_base_new(p->base, NULL, p->ip, p->port);
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

/* Frees the peer. evhttp drops outstanding requests without a callback. */
static void
destroy(evutil_socket_t fd, short what, void *arg)
{
	struct http_peer *p = arg;

	if (p->conn != NULL)
		evhttp_connection_free(p->conn);
	g_queue_clear_full(&p->calls, g_free);
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

		c->answer(c->arg, 0, NULL, 0, "cancelled");
	}
	/* During a callback evhttp still uses the connection. */
	if (p->in_callback)
		event_base_once(p->base, -1, EV_TIMEOUT, destroy, p, NULL);
	else
		destroy(-1, 0, p);
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
	g_queue_remove(&p->calls, c);
	p->in_callback = true;
	p->response = ev;
	c->answer(c->arg, status, len == 0 ? NULL : evbuffer_pullup(in, -1),
	    len, status != 0 ? NULL : c->why);
	p->in_callback = false;
	p->response = NULL;
	g_free(c);
}

void
http_send(struct http_peer *p, enum evhttp_cmd_type method, const char *path,
    const char *const *headers, const void *body, size_t len, int timeout_ms,
    http_answer *answer, void *arg)
{
	struct call *c = g_new0(struct call, 1);
	struct timeval tv = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
	struct evhttp_connection *conn = connection(p);
	struct evhttp_request *ev = evhttp_request_new(on_response, c);
	struct evkeyvalq *out = evhttp_request_get_output_headers(ev);

	c->peer = p;
	c->answer = answer;
	c->arg = arg;
	c->why = HTTP_NO_CONNECTION;
	evhttp_request_set_error_cb(ev, on_error);
	evhttp_connection_set_timeout_tv(conn, &tv);
	for (int i = 0; headers != NULL && headers[i] != NULL; i += 2)
		evhttp_add_header(out, headers[i], headers[i + 1]);
	if (evhttp_find_header(out, "Host") == NULL)
		evhttp_add_header(out, "Host", p->host);
	if (len > 0) {
		evhttp_add_header(out, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(ev), body, len);
	}
	g_queue_push_tail(&p->calls, c);
	/* On failure evhttp has already called on_response(). */
	(void)evhttp_make_request(conn, ev, method, path);
}
