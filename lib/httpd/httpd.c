#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include "impl.h"
#include "inbound.h"

#define HTTP_SMALL_BYTES (32 * 1024) /* such a request is never refused */
#define LISTEN_BACKLOG 256
#define HEADER_EXTRA_BYTES 4 /* ": " and CRLF */
#define REQUEST_LINE_BYTES 16 /* estimate, without the path */
#define REPLY_HEAD_BYTES 100 /* estimate of the status line and headers */

static struct http_stats totals;

const struct http_stats *
http_stats(void)
{
	return &totals;
}

/* Matches a path against a pattern and sets param to copies of '*' segments. */
static bool
match(const char *pattern, const char *path, char **param)
{
	char **expected = g_strsplit(pattern, "/", -1);
	char **segment = g_strsplit(path, "/", -1);
	bool ok = g_strv_length(expected) == g_strv_length(segment);
	int n = 0;

	for (int i = 0; ok && expected[i] != NULL; i++) {
		if (strcmp(expected[i], "*") != 0)
			ok = strcmp(expected[i], segment[i]) == 0;
		else if (n < HTTP_PARAMS_MAX && segment[i][0] != '\0')
			param[n++] = g_uri_unescape_string(segment[i], NULL);
		else
			ok = false;
	}
	for (int i = 0; i < n; i++)
		ok = ok && param[i] != NULL;
	for (int i = 0; !ok && i < n; i++)
		g_clear_pointer(&param[i], g_free);
	g_strfreev(expected);
	g_strfreev(segment);
	return ok;
}

/*
 * Returns NULL if no route matches; *other_method is then whether a route
 * matches the path but not the method.
 */
static const struct http_route *
find_route(struct httpd *h, struct http_request *req, bool *other_method)
{
	*other_method = false;
	for (size_t i = 0; i < h->count; i++) {
		const struct http_route *r = &h->routes[i];

		if (strcmp(r->pattern, HTTP_ANY_PATH) != 0 &&
		    !match(r->pattern, req->path, req->param))
			continue;
		if (r->method == req->method)
			return r;
		*other_method = true;
		for (int p = 0; p < HTTP_PARAMS_MAX; p++)
			g_clear_pointer(&req->param[p], g_free);
	}
	return NULL;
}

/* Length of the body that was skipped, 0 if none was. */
static uint64_t
skipped_len(struct evhttp_request *ev)
{
	const char *text = evhttp_find_header(
	    evhttp_request_get_input_headers(ev), SKIPPED_HEADER);

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static size_t
header_bytes(struct evkeyvalq *headers)
{
	struct evkeyval *kv;
	size_t sum = 0;

	TAILQ_FOREACH(kv, headers, next)
	sum += strlen(kv->key) + strlen(kv->value) + HEADER_EXTRA_BYTES;
	return sum;
}

static void
refuse(struct http_request *req, int status, const char *outcome,
    const char *reason, const char *message)
{
	char *json = g_strdup_printf(
	    "{\"outcome\":\"%s\",\"reason\":\"%s\",\"message\":\"%s\"}",
	    outcome, reason, message);

	http_reply(req, status, json, status == 503 ? 1 : 0);
}

static void
refuse_for_room(struct http_request *req, const char *message)
{
	totals.refused++;
	http_set_header(req, "Connection", "close");
	refuse(req, 503, "not-run", "too-many-bytes", message);
}

static void
on_request(struct evhttp_request *ev, void *arg)
{
	struct httpd *h = arg;
	struct http_request *req = g_new0(struct http_request, 1);
	struct evbuffer *in = evhttp_request_get_input_buffer(ev);
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(ev));
	bool other_method;

	req->ev = ev;
	req->server = h;
	req->method = evhttp_request_get_command(ev);
	req->path = g_strdup(path == NULL ? "" : path);
	req->body_len = evbuffer_get_length(in);
	req->body = evbuffer_pullup(in, -1);
	req->skipped_len = skipped_len(ev);
	req->arrived_ms = mono_ms();
	totals.requests++;
	totals.bytes_in += req->body_len + strlen(req->path) +
	    REQUEST_LINE_BYTES +
	    header_bytes(evhttp_request_get_input_headers(ev));
	h->pending++;
	req->held = connection_request_complete(h, ev);
	if (req->held > HTTP_SMALL_BYTES && inbound_is_full()) {
		refuse_for_room(
		    req, "the requests in progress hold too many bytes");
		return;
	}
	req->route = find_route(h, req, &other_method);
	if (req->route != NULL)
		req->route->handler(h->arg, req);
	else if (other_method)
		refuse(req, 405, "invalid", "method-not-allowed",
		    "the method is not allowed for this path");
	else
		refuse(req, 404, "invalid", "no-such-path",
		    "the path does not exist");
}

struct httpd *
httpd_new(struct event_base *base, const char *address,
    const struct http_route *routes, size_t count, void *arg, GError **err)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct evconnlistener *listener;
	struct httpd *h;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len)) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "address \"%s\" is not of the form IP:PORT", address);
		return NULL;
	}
	h = g_new0(struct httpd, 1);
	h->routes = routes;
	h->count = count;
	h->arg = arg;
	h->connections = connections_new();
	h->http = evhttp_new(base);
	g_assert(h->http != NULL);
	httpd_set_body_max(h, HTTP_BODY_MAX);
	httpd_set_headers_max(h, HTTP_HEADERS_MAX);
	evhttp_set_timeout(h->http, HTTP_IDLE_S);
	evhttp_set_allowed_methods(h->http,
	    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
		EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
	evhttp_set_gencb(h->http, on_request, h);
	evhttp_set_bevcb(h->http, connection_new, h);
	listener = evconnlistener_new_bind(base, NULL, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&ss, len);
	h->listener =
	    listener == NULL ? NULL : evhttp_bind_listener(h->http, listener);
	if (h->listener == NULL) {
		g_set_error(err, BT_ERROR, ERR_IO, "can't listen on %s: %s",
		    address, strerror(errno));
		if (listener != NULL)
			evconnlistener_free(listener);
		evhttp_free(h->http);
		g_hash_table_unref(h->connections);
		g_free(h);
		return NULL;
	}
	return h;
}

void
httpd_set_body_max(struct httpd *h, size_t bytes)
{
	h->body_max = bytes;
	evhttp_set_max_body_size(h->http, (ev_ssize_t)bytes);
}

void
httpd_set_headers_max(struct httpd *h, size_t bytes)
{
	h->headers_max = bytes;
	evhttp_set_max_headers_size(h->http, (ev_ssize_t)bytes);
}

void
httpd_skip_bodies(struct httpd *h, const char *path, http_skip_fn *fn)
{
	h->skip_path = path;
	h->skip = fn;
}

void
httpd_close_keepalive(struct httpd *h)
{
	h->closing = true;
}

void
httpd_stop_accepting(struct httpd *h)
{
	if (h->listener != NULL)
		evhttp_del_accept_socket(
		    h->http, g_steal_pointer(&h->listener));
}

int
httpd_pending(const struct httpd *h)
{
	return h->pending + h->unsent;
}

void
httpd_free(struct httpd *h)
{
	if (h == NULL)
		return;
	evhttp_free(h->http);
	g_hash_table_unref(h->connections);
	g_free(h);
}

const char *
http_header(const struct http_request *req, const char *name)
{
	return evhttp_find_header(
	    evhttp_request_get_input_headers(req->ev), name);
}

char *
http_query(const struct http_request *req, const char *key)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req->ev));
	struct evkeyvalq pairs;
	char *value;

	if (query == NULL)
		return NULL;
	if (evhttp_parse_query_str(query, &pairs) != 0)
		return NULL;
	value = g_strdup(evhttp_find_header(&pairs, key));
	evhttp_clear_headers(&pairs);
	return value;
}

void
http_set_header(struct http_request *req, const char *name, const char *value)
{
	evhttp_add_header(
	    evhttp_request_get_output_headers(req->ev), name, value);
}

static void
request_free(struct http_request *req)
{
	req->server->pending--;
	for (int i = 0; i < HTTP_PARAMS_MAX; i++)
		g_free(req->param[i]);
	g_free(req->path);
	g_free(req);
}

static void
send_reply(struct http_request *req, int status, const char *type,
    const void *body, size_t len, int retry_after_s)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req->ev);
	struct evbuffer *out = evbuffer_new();
	char seconds[24];

	evhttp_add_header(headers, "Content-Type", type);
	if (retry_after_s > 0) {
		g_snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
		evhttp_add_header(headers, "Retry-After", seconds);
	}
	/* Closing with input unread would reset the connection, and the answer
	 * might be lost. */
	if (req->server->closing && !connection_has_input(req->server, req->ev))
		evhttp_add_header(headers, "Connection", "close");
	evbuffer_add(out, body, len);
	totals.bytes_out += len + REPLY_HEAD_BYTES;
	connection_request_answered(req->server, req->ev, req->held);
	/* If the caller has disconnected, evhttp frees req->ev here. */
	evhttp_send_reply(req->ev, status, NULL, out);
	evbuffer_free(out);
	request_free(req);
}

/* Says whether an answer can be held until it is read; else refuses the
 * request, if it only reads. */
static bool
check_room(struct http_request *req, size_t len)
{
	/* Other requests may have had an effect. */
	if (req->method != EVHTTP_REQ_GET || len <= HTTP_SMALL_BYTES ||
	    inbound_has_room(len))
		return true;
	refuse_for_room(req, "answers that are not read hold too many bytes");
	return false;
}

void
http_reply(struct http_request *req, int status, char *json, int retry_after_s)
{
	if (!check_room(req, strlen(json))) {
		g_free(json);
		return;
	}
	send_reply(
	    req, status, "application/json", json, strlen(json), retry_after_s);
	g_free(json);
}

void
http_reply_text(
    struct http_request *req, int status, const char *type, char *text)
{
	if (check_room(req, strlen(text)))
		send_reply(req, status, type, text, strlen(text), 0);
	g_free(text);
}

void
http_reply_bytes(struct http_request *req, int status, const char *type,
    const void *body, size_t len)
{
	if (check_room(req, len))
		send_reply(req, status, type, body, len, 0);
}
