#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>

#include "web.h"

#define BODY_MAX (8 * 1024 * 1024)

struct web_server {
	struct evhttp *http;
	web_handler *handler;
	void *arg;
};

struct web_peer {
	struct event_base *base;
	struct evhttp_connection *conn;
	char *host;
	bool freed;
	int callbacks; /* in progress */
};

struct exchange {
	struct web_peer *peer;
	web_answer *answer;
	void *arg;
	bool sent;
};

int64_t
mono_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Splits IP:PORT. */
static char *
split(const char *address, uint16_t *port)
{
	const char *colon = strrchr(address, ':');

	*port = (uint16_t)strtol(colon + 1, NULL, 10);
	return g_strndup(address, (gsize)(colon - address));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct web_server *s = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	s->handler(s->arg, req,
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)),
	    (const char *)evbuffer_pullup(in, -1), len);
}

struct web_server *
web_server_new(struct event_base *base, const char *address,
    web_handler *handler, void *arg)
{
	struct web_server *s = g_new0(struct web_server, 1);
	uint16_t port;
	char *ip = split(address, &port);
	bool bound;

	s->handler = handler;
	s->arg = arg;
	s->http = evhttp_new(base);
	evhttp_set_max_body_size(s->http, BODY_MAX);
	evhttp_set_gencb(s->http, on_request, s);
	bound = evhttp_bind_socket(s->http, ip, port) == 0;
	g_free(ip);
	if (bound)
		return s;
	web_server_free(s);
	return NULL;
}

void
web_server_free(struct web_server *s)
{
	evhttp_free(s->http);
	g_free(s);
}

const char *
web_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

void
web_reply(struct evhttp_request *req, int status, char *json)
{
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evbuffer_add(out, json, strlen(json));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	g_free(json);
}

struct web_peer *
web_peer_new(struct event_base *base, const char *address)
{
	struct web_peer *p = g_new0(struct web_peer, 1);
	uint16_t port;
	char *ip = split(address, &port);

	p->base = base;
	p->host = g_strdup(address);
	p->conn = evhttp_connection_base_new(base, NULL, ip, port);
	evhttp_connection_set_max_body_size(p->conn, BODY_MAX);
	g_free(ip);
	return p;
}

static void
destroy(evutil_socket_t fd, short what, void *arg)
{
	struct web_peer *p = arg;

	evhttp_connection_free(p->conn);
	g_free(p->host);
	g_free(p);
}

void
web_peer_free(struct web_peer *p)
{
	p->freed = true;
	/* During a callback evhttp still uses the connection. */
	if (p->callbacks > 0)
		event_base_once(p->base, -1, EV_TIMEOUT, destroy, p, NULL);
	else
		destroy(-1, 0, p);
}

static void
on_error(enum evhttp_request_error error, void *arg)
{
	struct exchange *x = arg;

	x->sent = true;
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct exchange *x = arg;
	struct web_peer *p = x->peer;
	int status = req == NULL ? 0 : evhttp_request_get_response_code(req);
	struct evbuffer *in =
	    req == NULL ? NULL : evhttp_request_get_input_buffer(req);
	size_t len = in == NULL ? 0 : evbuffer_get_length(in);
	const char *body =
	    len == 0 ? "" : (const char *)evbuffer_pullup(in, -1);

	if (!p->freed) {
		p->callbacks++;
		x->answer(x->arg, status, body, len, status != 0 || x->sent);
		p->callbacks--;
	}
	g_free(x);
}

void
web_send(struct web_peer *p, enum evhttp_cmd_type method, const char *path,
    const char *const *headers, const char *body, int timeout_ms,
    web_answer *answer, void *arg)
{
	struct timeval tv = { timeout_ms / 1000, (timeout_ms % 1000) * 1000 };
	struct exchange *x = g_new0(struct exchange, 1);
	struct evhttp_request *req = evhttp_request_new(on_response, x);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	*x = (struct exchange){ .peer = p, .answer = answer, .arg = arg };
	evhttp_request_set_error_cb(req, on_error);
	for (int i = 0; headers != NULL && headers[i] != NULL; i += 2)
		evhttp_add_header(out, headers[i], headers[i + 1]);
	if (evhttp_find_header(out, "Host") == NULL)
		evhttp_add_header(out, "Host", p->host);
	if (body != NULL) {
		evhttp_add_header(out, "Content-Type", "application/json");
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, strlen(body));
	}
	evhttp_connection_set_timeout_tv(p->conn, &tv);
	/* On failure evhttp has already called on_response(). */
	(void)evhttp_make_request(p->conn, req, method, path);
}
