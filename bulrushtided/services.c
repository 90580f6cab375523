#include <string.h>

#include "api.h"
#include "calls.h"
#include "services.h"
#include "session.h"

#define TIMEOUT_MAX_MS 60000
#define TIMEOUT_DEFAULT_MS 5000
#define TICK_MS 20
#define HOP_MS 3 /* one way to a worker in the same region */
#define IDLE_PEERS_MAX 8 /* kept connections to one worker */

/* A worker that targets run on. */
struct callee {
	uint32_t id;
	char *address;
	int64_t slots;
	int64_t connections;
	GQueue idle; /* struct http_peer */
};

/* A running task that takes calls. */
struct target {
	uint64_t id; /* job and task */
	uint32_t worker;
	char *name; /* JOB.TASK */
};

struct service {
	uint32_t handle;
	uint32_t team;
	bool idempotent;
	int64_t timeout_ms;
};

/* One call of a caller. */
struct call {
	struct services *owner;
	struct http_request *req;
	uint32_t handle;
	bool idempotent;
	bool sent; /* a try may have reached a target */
	int64_t deadline_ms;
	struct http_peer *peer; /* of the try that is on its way */
	uint32_t worker;
	struct trace_context trace;
	uint64_t parent;
	int64_t start_us;
};

struct services {
	struct node *node;
	struct event *timer;
	bool ticking;
	struct calls *calls;
	uint64_t division;
	GHashTable *services; /* name -> struct service */
	GHashTable *teams; /* name -> handle */
	GHashTable *targets; /* id -> struct target */
	GHashTable *callees; /* worker -> struct callee */
	GHashTable *open; /* call handle -> struct call */
};

static void
target_free(void *arg)
{
	struct target *t = arg;

	g_free(t->name);
	g_free(t);
}

static void
callee_free(void *arg)
{
	struct callee *c = arg;
	struct http_peer *p;

	while ((p = g_queue_pop_head(&c->idle)) != NULL)
		http_peer_free(p);
	g_free(c->address);
	g_free(c);
}

/* This entry's part of an amount that all entries share. */
static int64_t
part(const struct services *s, int64_t whole)
{
	return s->division == 0 ? 0 : whole / (int64_t)s->division;
}

static struct service *
note_service(struct services *s, const struct target_push *push)
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
note_callee(struct services *s, const struct target_push *push)
{
	struct callee *c =
	    g_hash_table_lookup(s->callees, GUINT_TO_POINTER(push->worker));

	if (c != NULL && strcmp(c->address, push->address) != 0) {
		g_hash_table_remove(s->callees, GUINT_TO_POINTER(push->worker));
		c = NULL;
	}
	if (c == NULL) {
		c = g_new0(struct callee, 1);
		c->id = push->worker;
		c->address = g_strdup(push->address);
		g_queue_init(&c->idle);
		g_hash_table_insert(s->callees, GUINT_TO_POINTER(c->id), c);
	}
	c->slots = push->slots;
	c->connections = push->connections;
	calls_worker_set(s->calls, c->id, part(s, c->connections));
}

static void drive(struct services *s);
static void tick(struct services *s);

void
services_target(struct services *s, const struct target_push *push)
{
	uint64_t id = proto_target_id(push->job, push->task, push->worker);
	struct target *t;
	struct calls_target ct;

	if (push->gone) {
		calls_target_remove(s->calls, id);
		g_hash_table_remove(s->targets, &id);
		return;
	}
	note_callee(s, push);
	t = g_new0(struct target, 1);
	t->id = id;
	t->worker = push->worker;
	t->name =
	    g_strdup_printf("%" G_GUINT64_FORMAT ".%u", push->job, push->task);
	g_hash_table_replace(s->targets, &t->id, t);
	ct = (struct calls_target){ .id = id,
		.service = note_service(s, push)->handle,
		.worker = push->worker,
		.slots = MAX(1, part(s, push->slots)) };
	calls_target_set(s->calls, &ct);
	drive(s);
}

void
services_sync(struct services *s, const struct targets_push *push)
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
services_division(struct services *s, uint64_t division)
{
	GHashTableIter iter;
	gpointer value;

	s->division = division;
	g_hash_table_iter_init(&iter, s->callees);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct callee *c = value;

		calls_worker_set(s->calls, c->id, part(s, c->connections));
	}
	drive(s);
}

static void
end_call(struct call *c, int status)
{
	char note[TRACE_NOTE_MAX];

	g_snprintf(note, sizeof(note), "%d %s", status, c->req->path);
	tracer_end(c->owner->node->tracer, &c->trace, c->parent, "call",
	    c->start_us, note, status >= 500);
	g_hash_table_remove(c->owner->open, GUINT_TO_POINTER(c->handle));
}

static int
seconds(int64_t ms)
{
	return (int)MAX(1, (ms + 999) / 1000);
}

/* The final answer of a call that was never sent to a target. */
static void
not_run(struct call *c, enum calls_reason reason, int64_t retry_after_ms)
{
	struct http_request *req = c->req;

	c->owner->node->counters.jobs_not_run->value++;
	end_call(c, 503);
	http_reply(req, 503,
	    api_reply(OUT_NOT_RUN, calls_reason_name(reason),
		"the call was not sent to a target"),
	    seconds(retry_after_ms));
}

static void
give_up(struct call *c, enum calls_reason reason)
{
	struct http_request *req = c->req;

	if (!c->sent) {
		not_run(c, reason, 0);
		return;
	}
	end_call(c, 502);
	http_reply(req, 502,
	    api_reply(OUT_UNKNOWN, calls_reason_name(reason),
		"a target may have taken the call and did not answer"),
	    0);
}

/* Keeps a connection that answered for the next call. */
static void
put_peer(struct services *s, uint32_t worker, struct http_peer *peer, bool ok)
{
	struct callee *c =
	    g_hash_table_lookup(s->callees, GUINT_TO_POINTER(worker));

	if (ok && c != NULL && c->idle.length < IDLE_PEERS_MAX)
		g_queue_push_head(&c->idle, peer);
	else
		http_peer_free(peer);
}

/*
 * A kept connection may be closed by the worker as we write: a call that is
 * not idempotent takes a new one, so that this is not an unknown outcome.
 */
static struct http_peer *
take_peer(struct callee *c, struct call *call)
{
	struct http_peer *peer = NULL;

	if (call->idempotent)
		peer = g_queue_pop_head(&c->idle);
	if (peer == NULL)
		peer = http_peer_new(call->owner->node->base, c->address, NULL);
	return peer;
}

static void act(struct services *s, const struct calls_decision *step);

/* Says whether a worker's answer means that the task did not get the call. */
static bool
refused(int status, const void *body, size_t len)
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
	enum calls_try_end how = CALLS_END_ANSWERED;
	struct calls_decision step;

	if (status == 0 && g_strcmp0(why, HTTP_NO_CONNECTION) == 0)
		how = CALLS_END_NOT_SENT;
	else if (status == 0)
		how = CALLS_END_UNKNOWN;
	else if (refused(status, body, len))
		how = CALLS_END_NOT_SENT;
	if (how == CALLS_END_UNKNOWN)
		c->sent = true;
	step = calls_try_ended(s->calls, c->handle, how, mono_ms());
	if (how == CALLS_END_ANSWERED) {
		const char *type = http_peer_content_type(peer);

		end_call(c, status);
		http_reply_bytes(req, status,
		    *type == '\0' ? "application/json" : type, body, len);
	} else {
		act(s, &step);
	}
	put_peer(s, worker, peer, status != 0);
	drive(s);
}

static void
send_call(struct services *s, struct call *c, uint64_t target)
{
	const struct target *t = g_hash_table_lookup(s->targets, &target);
	struct callee *callee = t == NULL
	    ? NULL
	    : g_hash_table_lookup(s->callees, GUINT_TO_POINTER(t->worker));
	int64_t left = calls_hop_ms(c->deadline_ms, mono_ms(), HOP_MS);
	char trace[TRACE_HEADER_LEN + 1];
	char timeout[24];
	const char *headers[] = { "Request-Timeout-Ms", timeout, "traceparent",
		trace, NULL };
	struct calls_decision step;
	char *path;

	if (callee == NULL || left <= 0 ||
	    (c->peer = take_peer(callee, c)) == NULL) {
		step = calls_try_ended(
		    s->calls, c->handle, CALLS_END_NOT_SENT, mono_ms());
		act(s, &step);
		return;
	}
	c->worker = t->worker;
	trace_format(&c->trace, trace);
	g_snprintf(timeout, sizeof(timeout), "%" G_GINT64_FORMAT, left);
	path = g_strdup_printf("/tasks/%s/call", t->name);
	http_send(c->peer, EVHTTP_REQ_POST, path, headers, c->req->body,
	    c->req->body_len, (int)left, on_answer, c);
	g_free(path);
}

/* Carries out one decision. */
static void
act(struct services *s, const struct calls_decision *step)
{
	struct call *c =
	    g_hash_table_lookup(s->open, GUINT_TO_POINTER(step->call));

	if (c == NULL)
		return;
	switch (step->action) {
	case CALLS_SEND:
		send_call(s, c, step->target);
		return;
	case CALLS_WAIT:
		return;
	case CALLS_REFUSE:
		if (c->sent)
			give_up(c, step->reason);
		else
			not_run(c, step->reason, step->retry_after_ms);
		return;
	case CALLS_GIVE_UP:
		give_up(c, step->reason);
		return;
	}
}

static void
drive(struct services *s)
{
	struct calls_decision step;

	while (calls_next(s->calls, mono_ms(), &step))
		act(s, &step);
}

/* The time a caller gives the call, within the service's own bound. */
static int64_t
timeout_of(const struct service *v, struct http_request *req)
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
	struct calls_decision step;
	struct call *c;
	int64_t now = mono_ms();

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
		.deadline_ms = now + timeout_of(v, req),
		.start_us = mono_us() };
	c->trace =
	    tracer_open(s->node->tracer, http_header(req, "traceparent"));
	c->parent = tracer_start(&c->trace);
	request = (struct calls_request){ .service = v->handle,
		.team = v->team,
		.idempotent = v->idempotent,
		/* A call that can't come back in time is not sent: a target
		 * would be blamed for it. */
		.deadline_ms = c->deadline_ms - 2 * HOP_MS };
	step = calls_begin(s->calls, &request, now);
	c->handle = step.call;
	g_hash_table_insert(s->open, GUINT_TO_POINTER(c->handle), c);
	act(s, &step);
	tick(s);
}

guint
services_open(const struct services *s)
{
	return g_hash_table_size(s->open);
}

/* Waiting calls are looked at again soon; none needs no timer. */
static void
tick(struct services *s)
{
	static const struct timeval tv = { 0, TICK_MS * 1000 };

	if (s->ticking || g_hash_table_size(s->open) == 0)
		return;
	s->ticking = true;
	event_add(s->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct services *s = arg;

	s->ticking = false;
	drive(s);
	tick(s);
}

static void
call_free(void *arg)
{
	struct call *c = arg;

	/* Only at the end of the process is a try still on its way. */
	g_free(c);
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
	s->callees = g_hash_table_new_full(NULL, NULL, NULL, callee_free);
	s->open = g_hash_table_new_full(NULL, NULL, NULL, call_free);
	s->timer = event_new(node->base, -1, 0, on_timer, s);
	return s;
}

void
services_free(struct services *s)
{
	if (s == NULL)
		return;
	event_free(s->timer);
	g_hash_table_unref(s->open);
	g_hash_table_unref(s->callees);
	g_hash_table_unref(s->targets);
	g_hash_table_unref(s->teams);
	g_hash_table_unref(s->services);
	calls_free(s->calls);
	g_free(s);
}
