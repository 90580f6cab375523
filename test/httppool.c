#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "httppool.h"

/* A connection; it has at most one request at a time. */
struct conn {
	struct evhttp_connection *http;
	char *address;
	bool busy;
	pool_done_fn *done;
	void *arg;
};

struct pool {
	struct event_base *base;
	int timeout_ms;
	GPtrArray *conns; /* struct conn */
};

bool
address_split(const char *address, char **ip, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	guint64 value;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 0, UINT16_MAX, &value, NULL))
		return false;
	*ip = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)value;
	return true;
}

static void
conn_free(void *arg)
{
	struct conn *c = arg;

	evhttp_connection_free(c->http);
	g_free(c->address);
	g_free(c);
}

struct pool *
pool_new(struct event_base *base, int timeout_ms)
{
	struct pool *p = g_new0(struct pool, 1);

	p->base = base;
	p->timeout_ms = timeout_ms;
	p->conns = g_ptr_array_new_with_free_func(conn_free);
	return p;
}

void
pool_free(struct pool *p)
{
	g_ptr_array_unref(p->conns);
	g_free(p);
}

/* Returns an idle or new connection; NULL if the address is invalid. */
static struct conn *
get_conn(struct pool *p, const char *address)
{
	struct timeval tv = { p->timeout_ms / 1000,
		(p->timeout_ms % 1000) * 1000L };
	struct conn *c;
	uint16_t port;
	char *ip;

	for (guint i = 0; i < p->conns->len; i++) {
		c = p->conns->pdata[i];
		if (!c->busy && strcmp(c->address, address) == 0)
			return c;
	}
	if (!address_split(address, &ip, &port))
		return NULL;
	c = g_new0(struct conn, 1);
	c->address = g_strdup(address);
	c->http = evhttp_connection_base_new(p->base, NULL, ip, port);
	evhttp_connection_set_timeout_tv(c->http, &tv);
	g_ptr_array_add(p->conns, c);
	g_free(ip);
	return c;
}

/* Returns text that is not JSON as a JSON string. */
static json_t *
parse(const void *data, size_t len)
{
	json_t *body = json_loadb(data, len, JSON_DECODE_ANY, NULL);

	return body != NULL ? body : json_stringn(data, len);
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct conn *c = arg;
	struct evbuffer *in;
	json_t *body = NULL;
	int status = 0;

	c->busy = false;
	if (req != NULL)
		status = evhttp_request_get_response_code(req);
	if (status != 0) {
		in = evhttp_request_get_input_buffer(req);
		body = parse(evbuffer_pullup(in, -1), evbuffer_get_length(in));
	}
	c->done(c->arg, status, body);
	json_decref(body);
}

static enum evhttp_cmd_type
method_type(const char *method)
{
	if (strcmp(method, "GET") == 0)
		return EVHTTP_REQ_GET;
	if (strcmp(method, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	if (strcmp(method, "DELETE") == 0)
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_POST;
}

void
pool_send(struct pool *p, const char *address,
    const struct pool_request *request, pool_done_fn *done, void *arg)
{
	struct conn *c = get_conn(p, address);
	struct evhttp_request *req;
	struct evkeyvalq *headers;

	if (c == NULL) {
		done(arg, 0, NULL);
		return;
	}
	c->busy = true;
	c->done = done;
	c->arg = arg;
	req = evhttp_request_new(on_response, c);
	headers = evhttp_request_get_output_headers(req);
	evhttp_add_header(headers, "Host", address);
	if (request->key != NULL)
		evhttp_add_header(headers, "Idempotency-Key", request->key);
	if (request->body != NULL) {
		char *text =
		    json_dumps(request->body, JSON_COMPACT | JSON_ENCODE_ANY);

		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), text, strlen(text));
		free(text);
	}
	/* evhttp frees a failed request without calling on_response(). */
	if (evhttp_make_request(c->http, req, method_type(request->method),
		request->path) != 0) {
		c->busy = false;
		done(arg, 0, NULL);
	}
}
