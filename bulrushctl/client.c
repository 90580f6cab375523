#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>

#include "client.h"

#define ATTEMPT_MS 2000 /* for one entry to answer */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
#define GRACE_MS 50 /* between the connection's timeout and the attempt's */
#define BODY_MAX (64 << 20) /* bytes of a reply */

struct address {
	char *host;
	uint16_t port;
};

struct client {
	struct event_base *base;
	GArray *entries; /* struct address */
	guint next; /* the entry to try first */
	int64_t timeout_ms;
	char trace[33];
	struct rng rng;
};

/* How one exchange with one entry ended. */
enum exchange_end { EXCHANGE_LOST, EXCHANGE_NOT_SENT, EXCHANGE_WHOLE };

struct exchange {
	struct event_base *base;
	enum exchange_end end;
	struct reply *reply;
};

/* One call's progress over several exchanges. */
struct call {
	const struct request *req;
	int64_t deadline_ms;
	bool lost; /* an earlier request may have run */
	bool refused; /* reply holds a refusal that a retry may change */
	int64_t retry_after_ms;
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
	bool good = list[0] != NULL;

	for (size_t i = 0; good && list[i] != NULL; i++) {
		struct address a = { 0 };

		good = address_parse(list[i], &a);
		if (good)
			g_array_append_val(c->entries, a);
		else
			g_free(a.host);
	}
	g_strfreev(list);
	if (!good)
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "--entry: found %s, allowed IP:PORT[,IP:PORT...]", entries);
	return good;
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
	g_snprintf(c->trace, sizeof(c->trace),
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
client_trace(const struct client *c)
{
	return c->trace;
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

/* An answer counts only if it is a whole JSON object. */
static void
take_reply(struct exchange *x, struct evhttp_request *req)
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
	x->end = EXCHANGE_WHOLE;
}

/* A request of code 0 is one whose connection was never made. */
static void
on_reply(struct evhttp_request *req, void *arg)
{
	struct exchange *x = arg;

	if (req != NULL && evhttp_request_get_response_code(req) == 0)
		x->end = EXCHANGE_NOT_SENT;
	else if (req != NULL)
		take_reply(x, req);
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
	    "00-%s-%016" G_GINT64_MODIFIER "x-01", c->trace, random_id());

	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "traceparent", parent);
	if (req->key != NULL)
		evhttp_add_header(headers, "Idempotency-Key", req->key);
	if (req->body != NULL) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(http), req->body,
		    strlen(req->body));
	}
	g_free(parent);
	g_free(host);
}

/* Sends the request once to one entry and waits for its end. */
static enum exchange_end
exchange(struct client *c, const struct request *req, const struct address *to,
    int64_t limit_ms, struct reply *reply)
{
	struct exchange x = { .base = c->base, .reply = reply };
	struct timeval limit = to_timeval(limit_ms);
	struct timeval hard = to_timeval(limit_ms + GRACE_MS);
	struct event *timer = evtimer_new(c->base, on_timeout, &x);
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(c->base, NULL, to->host, to->port);
	struct evhttp_request *http = evhttp_request_new(on_reply, &x);

	if (timer == NULL || conn == NULL || http == NULL)
		g_error("client: out of memory");
	evhttp_connection_set_timeout_tv(conn, &limit);
	evhttp_connection_set_max_body_size(conn, BODY_MAX);
	add_headers(c, req, to, http);
	evtimer_add(timer, &hard);
	if (evhttp_make_request(conn, http, req->method, req->path) == 0)
		event_base_dispatch(c->base);
	else
		x.end = EXCHANGE_NOT_SENT;
	event_free(timer);
	evhttp_connection_free(conn);
	return x.end;
}

/* Says whether the reply settles the call; notes what else it says. */
static bool
settles(struct call *call, struct reply *reply)
{
	if (reply->status >= 500 &&
	    strcmp(reply_string(reply, "outcome"), "unknown") == 0) {
		call->lost = true;
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

/* Tries each entry once; true if an answer settles the call. */
static bool
try_entries(struct client *c, struct call *call, struct reply *reply)
{
	for (guint i = 0; i < c->entries->len; i++) {
		int64_t left = call->deadline_ms - mono_ms();
		const struct address *to =
		    &g_array_index(c->entries, struct address, c->next);
		struct reply got = { .retry_after_ms = -1 };
		enum exchange_end end;

		if (left <= 0)
			return false;
		end = exchange(c, call->req, to,
		    MIN(left, ATTEMPT_MS + call->req->hold_ms), &got);
		if (end == EXCHANGE_LOST)
			call->lost = true;
		if (end == EXCHANGE_WHOLE) {
			reply_clear(reply);
			*reply = got;
			if (settles(call, reply))
				return true;
		}
		c->next = (c->next + 1) % c->entries->len;
	}
	return false;
}

/* Waits before the next round; false if the deadline comes first. */
static bool
pause_round(struct client *c, struct call *call)
{
	int64_t jitter = (int64_t)rng_below(&c->rng, call->backoff_ms / 2 + 1);
	int64_t wait = MAX(call->backoff_ms + jitter, call->retry_after_ms);

	if (mono_ms() + wait >= call->deadline_ms)
		return false;
	client_sleep(c, wait);
	call->backoff_ms = MIN(call->backoff_ms * 2, BACKOFF_MAX_MS);
	call->retry_after_ms = -1;
	return true;
}

enum call_end
client_call(struct client *c, const struct request *req, struct reply *reply)
{
	struct call call = { .req = req,
		.deadline_ms = mono_ms() + c->timeout_ms + req->hold_ms,
		.retry_after_ms = -1,
		.backoff_ms = BACKOFF_MIN_MS };

	*reply = (struct reply){ .retry_after_ms = -1 };
	do {
		if (try_entries(c, &call, reply))
			return CALL_ANSWERED;
	} while (pause_round(c, &call));
	if (call.refused && !call.lost)
		return CALL_ANSWERED;
	reply_clear(reply);
	return call.lost ? CALL_UNKNOWN : CALL_NOT_SENT;
}
