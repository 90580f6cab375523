#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>

#include "client.h"

#define ATTEMPT_TIMEOUT_MS 2000 /* for one entry, plus wait_ms */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
#define TIMER_GRACE_MS 50 /* from the connection's timeout to the timer's */
#define BODY_MAX (64 << 20) /* bytes of a reply's body */

struct address {
	char *host;
	uint16_t port;
};

struct client {
	struct event_base *base;
	GArray *entries; /* struct address */
	guint next; /* the entry to try first */
	int64_t timeout_ms;
	char trace_id[33]; /* 32 hex digits */
	struct rng rng;
};

/* The result of one exchange with one entry. */
enum exchange_result {
	EXCHANGE_LOST, /* no complete answer; the request may have run */
	EXCHANGE_NOT_SENT, /* could not connect */
	EXCHANGE_COMPLETE
};

struct exchange {
	struct event_base *base;
	enum exchange_result result;
	struct reply *reply;
};

/* The state of one client_call() over its exchanges. */
struct call {
	const struct request *req;
	int64_t deadline_ms;
	bool maybe_run; /* an exchange was lost or its outcome is unknown */
	bool refused; /* got 503 with Retry-After; a retry may succeed */
	int64_t retry_after_ms; /* shortest of this pass; -1: none */
	int64_t backoff_ms;
};

static void
address_clear(void *p)
{
	struct address *a = p;

	g_free(a->host);
}

static bool
address_parse(const char *text, struct address *a)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	const char *colon = strrchr(text, ':');
	bool brackets = *text == '[';

	if (colon == NULL || colon == text ||
	    evutil_parse_sockaddr_port(text, (struct sockaddr *)&ss, &len) != 0)
		return false;
	a->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	a->host = g_strndup(text + brackets, colon - text - 2 * brackets);
	return a->port != 0;
}

static bool
parse_entries(struct client *c, const char *entries, GError **err)
{
	char **list = g_strsplit(entries, ",", -1);
	bool ok = list[0] != NULL;

	for (size_t i = 0; ok && list[i] != NULL; i++) {
		struct address a = { 0 };

		ok = address_parse(list[i], &a);
		if (ok)
			g_array_append_val(c->entries, a);
		else
			g_free(a.host);
	}
	g_strfreev(list);
	if (!ok)
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "--entry: invalid value \"%s\", must be "
		    "IP:PORT[,IP:PORT...]",
		    entries);
	return ok;
}

struct client *
client_new(const char *entries, int64_t timeout_ms, GError **err)
{
	struct client *c = g_new0(struct client, 1);

	c->base = event_base_new();
	if (c->base == NULL)
		g_error("client: no event base");
	c->entries = g_array_new(FALSE, FALSE, sizeof(struct address));
	g_array_set_clear_func(c->entries, address_clear);
	c->timeout_ms = timeout_ms;
	c->rng.state = random_id();
	g_snprintf(c->trace_id, sizeof(c->trace_id),
	    "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", random_id(),
	    random_id());
	if (parse_entries(c, entries, err))
		return c;
	client_free(c);
	return NULL;
}

void
client_free(struct client *c)
{
	if (c == NULL)
		return;
	g_array_unref(c->entries);
	event_base_free(c->base);
	g_free(c);
}

const char *
client_trace_id(const struct client *c)
{
	return c->trace_id;
}

void
reply_clear(struct reply *reply)
{
	json_decref(reply->body);
	*reply = (struct reply){ 0 };
}

const char *
reply_string(const struct reply *reply, const char *key)
{
	const char *s = json_string_value(json_object_get(reply->body, key));

	return s == NULL ? "" : s;
}

static struct timeval
to_timeval(int64_t ms)
{
	return (struct timeval){ ms / 1000, ms % 1000 * 1000 };
}

void
client_sleep(struct client *c, int64_t ms)
{
	struct timeval tv = to_timeval(ms);

	event_base_loopexit(c->base, &tv);
	event_base_loop(c->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

static int64_t
parse_retry_after(struct evhttp_request *req)
{
	const char *s = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Retry-After");

	if (s == NULL || !g_ascii_isdigit(*s))
		return -1;
	return (int64_t)MIN(g_ascii_strtoull(s, NULL, 10), 86400) * 1000;
}

/* Accepts an answer only if its body is a complete JSON object. */
static void
read_reply(struct exchange *x, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *text = (const char *)evbuffer_pullup(in, -1);
	json_t *body = len == 0 ? NULL : json_loadb(text, len, 0, NULL);

	if (!json_is_object(body)) {
		json_decref(body);
		return;
	}
	x->reply->status = evhttp_request_get_response_code(req);
	x->reply->body = body;
	x->reply->retry_after_ms = parse_retry_after(req);
	x->result = EXCHANGE_COMPLETE;
}

/* libevent sets response code 0 if the connection could not be made. */
static void
on_reply(struct evhttp_request *req, void *arg)
{
	struct exchange *x = arg;

	if (req != NULL && evhttp_request_get_response_code(req) == 0)
		x->result = EXCHANGE_NOT_SENT;
	else if (req != NULL)
		read_reply(x, req);
	event_base_loopbreak(x->base);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct exchange *x = arg;

	event_base_loopbreak(x->base);
}

static void
add_headers(const struct client *c, const struct request *req,
    const struct address *to, struct evhttp_request *http)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
	char *host = g_strdup_printf("%s:%u", to->host, to->port);
	char *parent = g_strdup_printf(
	    "00-%s-%016" G_GINT64_MODIFIER "x-01", c->trace_id, random_id());

	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "traceparent", parent);
	if (req->key != NULL)
		evhttp_add_header(headers, "Idempotency-Key", req->key);
	if (req->credential != NULL)
		evhttp_add_header(
		    headers, "Bulrushtide-Credential", req->credential);
	if (req->body != NULL) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(http), req->body,
		    strlen(req->body));
	}
	g_free(parent);
	g_free(host);
}

/*
 * Sends the request once to one entry and waits for the result. The timer ends
 * an exchange that the connection's own timeout has not ended.
 */
static enum exchange_result
exchange(struct client *c, const struct request *req, const struct address *to,
    int64_t timeout_ms, struct reply *reply)
{
	struct exchange x = { .base = c->base, .reply = reply };
	struct timeval timeout = to_timeval(timeout_ms);
	struct timeval timer_timeout = to_timeval(timeout_ms + TIMER_GRACE_MS);
	struct event *timer = evtimer_new(c->base, on_timeout, &x);
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(c->base, NULL, to->host, to->port);
	struct evhttp_request *http = evhttp_request_new(on_reply, &x);

	if (timer == NULL || conn == NULL || http == NULL)
		g_error("client: out of memory");
	evhttp_connection_set_timeout_tv(conn, &timeout);
	evhttp_connection_set_max_body_size(conn, BODY_MAX);
	add_headers(c, req, to, http);
	evtimer_add(timer, &timer_timeout);
	if (evhttp_make_request(conn, http, req->method, req->path) == 0)
		event_base_dispatch(c->base);
	else
		x.result = EXCHANGE_NOT_SENT;
	event_free(timer);
	evhttp_connection_free(conn);
	return x.result;
}

/*
 * Returns true if the reply ends the call. Otherwise another try may give a
 * better one: records that the outcome is unknown, or when to retry.
 */
static bool
is_conclusive(struct call *call, struct reply *reply)
{
	if (reply->status >= 500 &&
	    strcmp(reply_string(reply, "outcome"), "unknown") == 0) {
		call->maybe_run = true;
		return false;
	}
	if (reply->status != 503 || reply->retry_after_ms < 0)
		return true;
	call->refused = true;
	if (call->retry_after_ms < 0 ||
	    reply->retry_after_ms < call->retry_after_ms)
		call->retry_after_ms = reply->retry_after_ms;
	return false;
}

/* One pass over the entries; true if a reply ends the call. */
static bool
try_entries(struct client *c, struct call *call, struct reply *reply)
{
	for (guint i = 0; i < c->entries->len; i++) {
		int64_t remaining_ms = call->deadline_ms - mono_ms();
		const struct address *to =
		    &g_array_index(c->entries, struct address, c->next);
		struct reply got = { .retry_after_ms = -1 };
		enum exchange_result result;

		if (remaining_ms <= 0)
			return false;
		result = exchange(c, call->req, to,
		    MIN(remaining_ms, ATTEMPT_TIMEOUT_MS + call->req->wait_ms),
		    &got);
		if (result == EXCHANGE_LOST)
			call->maybe_run = true;
		if (result == EXCHANGE_COMPLETE) {
			reply_clear(reply);
			*reply = got;
			if (is_conclusive(call, reply))
				return true;
		}
		c->next = (c->next + 1) % c->entries->len;
	}
	return false;
}

/* Waits before the next pass; false if the wait would pass the deadline. */
static bool
back_off(struct client *c, struct call *call)
{
	int64_t jitter_ms =
	    (int64_t)rng_below(&c->rng, call->backoff_ms / 2 + 1);
	int64_t wait_ms =
	    MAX(call->backoff_ms + jitter_ms, call->retry_after_ms);

	if (mono_ms() + wait_ms >= call->deadline_ms)
		return false;
	client_sleep(c, wait_ms);
	call->backoff_ms = MIN(call->backoff_ms * 2, BACKOFF_MAX_MS);
	call->retry_after_ms = -1;
	return true;
}

enum call_result
client_call(struct client *c, const struct request *req, struct reply *reply)
{
	struct call call = { .req = req,
		.deadline_ms = mono_ms() + c->timeout_ms + req->wait_ms,
		.retry_after_ms = -1,
		.backoff_ms = BACKOFF_MIN_MS };

	*reply = (struct reply){ .retry_after_ms = -1 };
	do {
		if (try_entries(c, &call, reply))
			return CALL_ANSWERED;
	} while (back_off(c, &call));
	if (call.refused && !call.maybe_run)
		return CALL_ANSWERED;
	reply_clear(reply);
	return call.maybe_run ? CALL_UNKNOWN : CALL_NOT_SENT;
}
