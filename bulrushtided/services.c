#include <string.h>

#include "api.h"
#include "calls.h"
#include "services.h"
#include "session.h"

#define TIMEOUT_MAX_MS 60000 /* of Request-Timeout-Ms */
#define TIMEOUT_DEFAULT_MS 5000 /* of services without call_timeout_ms */
#define TICK_MS 20
#define HOP_MS 3 /* one-way latency to a worker in the same region */
#define IDLE_PEERS_MAX 8 /* idle connections kept open to a worker */

/* A worker that runs targets. */
struct target_worker {
	uint32_t id;
	char *address;
	int64_t slots;
	int64_t connections;
	GQueue idle; /* struct http_peer */
};

/* A running task that accepts calls. */
struct target {
	uint64_t id; /* of proto_target_id() */
	uint32_t worker;
	char *name; /* JOB.TASK */
};

struct service {
	uint32_t handle;
	uint32_t team;
	bool idempotent;
	int64_t timeout_ms;
};

/* A call of a caller. */
struct call {
	struct services *owner;
	struct http_request *req;
	uint32_t handle; /* in lib/calls */
	bool idempotent;
	bool maybe_received; /* a target may have received a try */
	int64_t deadline_ms;
	struct http_peer *peer; /* of the try in flight */
	uint32_t worker; /* of the newest try */
	struct trace_context trace;
	uint64_t parent;
	int64_t start_us;
};

struct services {
	struct node *node;
	struct event *timer;
	bool timer_armed;
	struct calls *calls;
	uint64_t divisor;
	GHashTable *services; /* name -> struct service */
	GHashTable *teams; /* name -> handle */
	GHashTable *targets; /* id -> struct target */
	GHashTable *workers; /* worker -> struct target_worker */
	GHashTable *open; /* call handle -> struct call */
	bool refusing; /* see services_refuse() */
};

static void
target_free(void *arg)
{
	struct target *t = arg;

	g_free(t->name);
	g_free(t);
}

static void
worker_free(void *arg)
{
	struct target_worker *w = arg;
	struct http_peer *p;

	while ((p = g_queue_pop_head(&w->idle)) != NULL)
		http_peer_free(p);
	g_free(w->address);
	g_free(w);
}

/* Returns this entry's share of a limit that all entries share. */
static int64_t
share(const struct services *s, int64_t total)
{
	return s->divisor == 0 ? 0 : total / (int64_t)s->divisor;
}

static struct service *
update_service(struct services *s, const struct target_push *push)
{
	struct service *v = g_hash_table_lookup(s->services, push->service);
	gpointer team = g_hash_table_lookup(s->teams, push->team);

	if (team == NULL) {
		team = GUINT_TO_POINTER(g_hash_table_size(s->teams) + 1);
		g_hash_table_insert(s->teams, g_strdup(push->team), team);
	}
	if (v == NULL) {
		v = g_new0(struct service, 1);
		v->handle = g_hash_table_size(s->services) + 1;
		g_hash_table_insert(s->services, g_strdup(push->service), v);
	}
	v->team = GPOINTER_TO_UINT(team);
	v->idempotent = push->idempotent;
	v->timeout_ms =
	    push->timeout_ms > 0 ? push->timeout_ms : TIMEOUT_DEFAULT_MS;
	return v;
}

static void
update_worker(struct services *s, const struct target_push *push)
{
	struct target_worker *w =
	    g_hash_table_lookup(s->workers, GUINT_TO_POINTER(push->worker));

	if (w != NULL && strcmp(w->address, push->address) != 0) {
		g_hash_table_remove(s->workers, GUINT_TO_POINTER(push->worker));
		w = NULL;
	}
	if (w == NULL) {
		w = g_new0(struct target_worker, 1);
		w->id = push->worker;
		w->address = g_strdup(push->address);
		g_queue_init(&w->idle);
		g_hash_table_insert(s->workers, GUINT_TO_POINTER(w->id), w);
	}
	w->slots = push->slots;
	w->connections = push->connections;
	calls_worker_set(s->calls, w->id, share(s, w->connections));
}

static void dispatch(struct services *s);
static void arm_timer(struct services *s);

void
services_update_target(struct services *s, const struct target_push *push)
{
	uint64_t id = proto_target_id(push->job, push->task, push->worker);
	struct target *t;
	struct calls_target ct;

	if (push->gone) {
		calls_target_remove(s->calls, id);
		g_hash_table_remove(s->targets, &id);
		return;
	}
	update_worker(s, push);
	t = g_new0(struct target, 1);
	t->id = id;
	t->worker = push->worker;
	t->name =
	    g_strdup_printf("%" G_GUINT64_FORMAT ".%u", push->job, push->task);
	g_hash_table_replace(s->targets, &t->id, t);
	ct = (struct calls_target){ .id = id,
		.service = update_service(s, push)->handle,
		.worker = push->worker,
		.slots = MAX(1, share(s, push->slots)) };
	calls_target_set(s->calls, &ct);
	dispatch(s);
}

void
services_retain_targets(struct services *s, const struct targets_push *push)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct target *t = value;
		bool known = false;

		for (guint i = 0; push->ids != NULL && i < push->ids->len; i++)
			known |= g_array_index(push->ids, uint64_t, i) == t->id;
		if (known)
			continue;
		calls_target_remove(s->calls, t->id);
		g_hash_table_iter_remove(&iter);
	}
}

void
services_set_divisor(struct services *s, uint64_t divisor)
{
	GHashTableIter iter;
	gpointer value;

	s->divisor = divisor;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target_worker *w = value;

		calls_worker_set(s->calls, w->id, share(s, w->connections));
	}
	dispatch(s);
}

static void
end_call(struct call *c, int status)
{
	char note[TRACE_NOTE_MAX];

	g_snprintf(note, sizeof(note), "%d %s", status, c->req->path);
	tracer_end_span(c->owner->node->tracer, &c->trace, c->parent, "call",
	    c->start_us, note, status >= 500);
	g_hash_table_remove(c->owner->open, GUINT_TO_POINTER(c->handle));
}

static int
retry_after_s(int64_t ms)
{
	return (int)MAX(1, (ms + 999) / 1000);
}

/* Ends a call that no target has received. */
static void
reply_not_run(struct call *c, enum calls_reason reason, int64_t retry_after_ms)
{
	struct http_request *req = c->req;

	c->owner->node->counters.requests_not_run->value++;
	end_call(c, 503);
	http_reply(req, 503,
	    api_reply(OUT_NOT_RUN, calls_reason_name(reason),
		"the call was not sent to a target"),
	    retry_after_s(retry_after_ms));
}

/* Ends a call whose tries have failed. */
static void
reply_failed(struct call *c, enum calls_reason reason)
{
	struct http_request *req = c->req;

	if (!c->maybe_received) {
		reply_not_run(c, reason, 0);
		return;
	}
	end_call(c, 502);
	http_reply(req, 502,
	    api_reply(OUT_UNKNOWN, calls_reason_name(reason),
		"a target may have received the call but did not answer"),
	    0);
}

static void
reply_stopping(struct http_request *req, bool maybe_received)
{
	if (maybe_received)
		http_reply(req, 502,
		    api_reply(OUT_UNKNOWN, "draining",
			"this process is stopping; a target may have received "
			"the call but did not answer"),
		    0);
	else
		http_reply(req, 503,
		    api_reply(OUT_NOT_RUN, "draining",
			"this process is stopping; the call was not sent to a "
			"target"),
		    1);
}

/* Ends a call as this process stops. */
static void
refuse_call(struct call *c)
{
	struct http_request *req = c->req;
	bool maybe_received = c->maybe_received;

	log_info("services", "event=call-dropped path=%s result=%s", req->path,
	    maybe_received ? "unclear" : "not-sent");
	end_call(c, maybe_received ? 502 : 503);
	reply_stopping(req, maybe_received);
}

/* Keeps a connection open for the next call if its last try was answered. */
static void
release_peer(
    struct services *s, uint32_t worker, struct http_peer *peer, bool ok)
{
	struct target_worker *w =
	    g_hash_table_lookup(s->workers, GUINT_TO_POINTER(worker));

	if (ok && w != NULL && w->idle.length < IDLE_PEERS_MAX)
		g_queue_push_head(&w->idle, peer);
	else
		http_peer_free(peer);
}

/*
 * Returns an idle or new connection. The worker may close an idle one just when
 * a call is written to it, which leaves the outcome unknown. So calls that are
 * not idempotent always use a new connection.
 */
static struct http_peer *
acquire_peer(struct target_worker *w, struct call *call)
{
	struct http_peer *peer = NULL;

	if (call->idempotent)
		peer = g_queue_pop_head(&w->idle);
	if (peer == NULL)
		peer = http_peer_new(call->owner->node->base, w->address, NULL);
	return peer;
}

static void execute(struct services *s, const struct calls_decision *decision);

/* Reports whether a worker's answer says that the task did not get the call. */
static bool
call_refused(int status, const void *body, size_t len)
{
	if (status == 503)
		return true;
	return (status == 404 || status == 409) && len > 0 &&
	    g_strstr_len(body, (gssize)len, "\"not-run\"") != NULL;
}

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct call *c = arg;
	struct services *s = c->owner;
	struct http_request *req = c->req;
	struct http_peer *peer = g_steal_pointer(&c->peer);
	uint32_t worker = c->worker;
	enum calls_try_end outcome = CALLS_END_ANSWERED;
	struct calls_decision decision;

	if (status == 0 && g_strcmp0(why, HTTP_NO_CONNECTION) == 0)
		outcome = CALLS_END_NOT_SENT;
	else if (status == 0)
		outcome = CALLS_END_UNKNOWN;
	else if (call_refused(status, body, len))
		outcome = CALLS_END_NOT_SENT;
	if (outcome == CALLS_END_UNKNOWN)
		c->maybe_received = true;
	/* services_refuse() frees the peer. */
	if (s->refusing) {
		refuse_call(c);
		return;
	}
	decision = calls_try_ended(s->calls, c->handle, outcome, mono_ms());
	if (outcome == CALLS_END_ANSWERED) {
		const char *type = http_peer_header(peer, "Content-Type");

		end_call(c, status);
		http_reply_bytes(req, status,
		    *type == '\0' ? "application/json" : type, body, len);
	} else {
		execute(s, &decision);
	}
	release_peer(s, worker, peer, status != 0);
	dispatch(s);
}

static void
send_call(struct services *s, struct call *c, uint64_t target)
{
	const struct target *t = g_hash_table_lookup(s->targets, &target);
	struct target_worker *w = t == NULL
	    ? NULL
	    : g_hash_table_lookup(s->workers, GUINT_TO_POINTER(t->worker));
	int64_t timeout_ms =
	    calls_hop_timeout_ms(c->deadline_ms, mono_ms(), HOP_MS);
	char trace[TRACE_HEADER_LEN + 1];
	char timeout[24];
	const char *headers[] = { "Request-Timeout-Ms", timeout, "traceparent",
		trace, NULL };
	struct calls_decision decision;
	char *path;

	if (w == NULL || timeout_ms <= 0 ||
	    (c->peer = acquire_peer(w, c)) == NULL) {
		decision = calls_try_ended(
		    s->calls, c->handle, CALLS_END_NOT_SENT, mono_ms());
		execute(s, &decision);
		return;
	}
	c->worker = t->worker;
	trace_format(&c->trace, trace);
	g_snprintf(timeout, sizeof(timeout), "%" G_GINT64_FORMAT, timeout_ms);
	path = g_strdup_printf("/tasks/%s/call", t->name);
	http_send(c->peer, EVHTTP_REQ_POST, path, headers, c->req->body,
	    c->req->body_len, (int)timeout_ms, on_answer, c);
	g_free(path);
}

/* Executes one decision of lib/calls. */
static void
execute(struct services *s, const struct calls_decision *decision)
{
	struct call *c =
	    g_hash_table_lookup(s->open, GUINT_TO_POINTER(decision->call));

	if (c == NULL)
		return;
	switch (decision->action) {
	case CALLS_SEND:
		send_call(s, c, decision->target);
		return;
	case CALLS_WAIT:
		return;
	case CALLS_REFUSE:
		if (c->maybe_received)
			reply_failed(c, decision->reason);
		else
			reply_not_run(
			    c, decision->reason, decision->retry_after_ms);
		return;
	case CALLS_GIVE_UP:
		reply_failed(c, decision->reason);
		return;
	}
}

/* Sends or refuses the waiting calls that lib/calls can decide on now. */
static void
dispatch(struct services *s)
{
	struct calls_decision decision;

	while (calls_next(s->calls, mono_ms(), &decision))
		execute(s, &decision);
}

/* Returns the caller's timeout, limited to that of the service. */
static int64_t
call_timeout_ms(const struct service *v, struct http_request *req)
{
	const char *text = http_header(req, "Request-Timeout-Ms");
	guint64 ms;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 1, TIMEOUT_MAX_MS, &ms, NULL))
		return v->timeout_ms;
	return MIN((int64_t)ms, v->timeout_ms);
}

void
services_call(struct services *s, struct http_request *req)
{
	const struct service *v =
	    g_hash_table_lookup(s->services, req->param[0]);
	struct calls_request request;
	struct calls_decision decision;
	struct call *c;
	int64_t now = mono_ms();

	if (s->refusing) {
		reply_stopping(req, false);
		return;
	}
	if (v == NULL) {
		http_reply(req, 503,
		    api_reply(OUT_NOT_RUN, "no-target",
			"no task of this service runs"),
		    1);
		return;
	}
	c = g_new0(struct call, 1);
	*c = (struct call){ .owner = s,
		.req = req,
		.idempotent = v->idempotent,
		.deadline_ms = now + call_timeout_ms(v, req),
		.start_us = mono_us() };
	c->trace = tracer_make_context(
	    s->node->tracer, http_header(req, "traceparent"));
	c->parent = tracer_start_span(&c->trace);
	request = (struct calls_request){ .service = v->handle,
		.team = v->team,
		.idempotent = v->idempotent,
		/* A call that can't be answered in time is not sent: it would
		 * count as a failure of the target. */
		.deadline_ms = c->deadline_ms - 2 * HOP_MS };
	decision = calls_begin(s->calls, &request, now);
	c->handle = decision.call;
	g_hash_table_insert(s->open, GUINT_TO_POINTER(c->handle), c);
	execute(s, &decision);
	arm_timer(s);
}

void
services_refuse(struct services *s)
{
	GList *open = g_hash_table_get_values(s->open);

	s->refusing = true;
	for (GList *i = open; i != NULL; i = i->next) {
		struct call *c = i->data;

		/* A try in flight ends by this, and the call with it. */
		if (c->peer != NULL)
			http_peer_free(c->peer);
		else
			refuse_call(c);
	}
	g_list_free(open);
}

guint
services_open_calls(const struct services *s)
{
	return g_hash_table_size(s->open);
}

/* Starts the timer that checks waiting calls again, if there are calls. */
static void
arm_timer(struct services *s)
{
	static const struct timeval tv = { 0, TICK_MS * 1000 };

	if (s->timer_armed || g_hash_table_size(s->open) == 0)
		return;
	s->timer_armed = true;
	event_add(s->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct services *s = arg;

	s->timer_armed = false;
	dispatch(s);
	arm_timer(s);
}

struct services *
services_new(struct node *node)
{
	struct services *s = g_new0(struct services, 1);

	s->node = node;
	s->calls = calls_new(&calls_default_policy, node->incarnation);
	s->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->targets = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, target_free);
	s->workers = g_hash_table_new_full(NULL, NULL, NULL, worker_free);
	s->open = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->timer = event_new(node->base, -1, 0, on_timer, s);
	return s;
}

void
services_free(struct services *s)
{
	if (s == NULL)
		return;
	services_refuse(s);
	event_free(s->timer);
	g_hash_table_unref(s->open);
	g_hash_table_unref(s->workers);
	g_hash_table_unref(s->targets);
	g_hash_table_unref(s->teams);
	g_hash_table_unref(s->services);
	calls_free(s->calls);
	g_free(s);
}
