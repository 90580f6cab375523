#include <string.h>

#include "home.h"
#include "session.h"

#define ORDER_TIMEOUT_MS 2000
/* Answer of a worker that a call isn't meant for: nothing of it was or will be
 * carried out, and it says nothing about the worker that it is meant for. */
#define HTTP_MISDIRECTED 421
#define THROTTLE_PERCENT 25 /* of full speed */
/* Attempts that the leader has not ordered are stopped only this long after the
 * start of a worker's session, as the leader's orders arrive one by one. */
#define ORPHAN_GRACE_MS 2000
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 2000

/* An attempt on a worker and the state of its orders. */
struct home_attempt {
	struct home_worker *worker;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	bool start_wanted; /* the leader has ordered the start */
	int64_t lease_ms;
	struct trace_context trace; /* of the job's request */
	uint64_t trace_parent;
	int64_t ordered_us;
	bool start_accepted; /* by the worker */
	bool stop_wanted; /* the leader has ordered the stop */
	bool stop_accepted; /* by the worker, or it does not know the attempt */
	bool in_flight; /* an order is sent and not answered yet */
	/* Epoch of the newest start order without an answer; 0: none. */
	uint64_t unanswered_epoch;
	int64_t backoff_ms; /* current delay between retries */
	int64_t next_send_ms; /* earliest time of the next retry */
	int64_t millicpus; /* in use as last reported */
	int64_t memory;
	int refs; /* by the table and by orders in flight */
	bool removed; /* from the table; worker is NULL */
};

struct home_worker {
	struct home *home;
	uint32_t id;
	char *name;
	char *address;
	uint64_t incarnation;
	uint64_t epoch;
	bool draining;
	struct http_peer *peer;
	int64_t last_renewal_ms; /* no renewal was sent after this */
	int64_t lease_end_ms; /* the worker accepts no order after this */
	int64_t session_start_ms; /* receipt of the current epoch */
	int64_t last_contact_ms; /* heartbeat, lease answer or new epoch */
	/* Since when it has answered no request; 0: it answers. */
	int64_t unreached_ms;
	bool given_up; /* unreached for too long; not renewed in this epoch */
	bool silent; /* no contact or unreached for more than suspect_ms */
	bool expired; /* its lease; not renewed again in this epoch */
	bool epoch_acked; /* the worker has acknowledged the current epoch */
	bool announcing; /* POST /lease is in flight */
	uint64_t announced_epoch; /* of that POST /lease */
	GHashTable *attempts; /* job and task -> struct home_attempt */
};

/* The common part of a job's start orders. */
struct start_template {
	uint64_t job;
	struct cell_spec spec;
};

struct home {
	struct node *node;
	GHashTable *templates; /* job -> struct start_template */
	struct event *timer;
	GHashTable *by_id; /* worker id -> struct home_worker */
	GHashTable *by_name; /* the same workers, not owned */
};

/* An order in flight. */
struct sent_order {
	struct home_attempt *attempt;
	enum order_type type;
	uint64_t epoch;
};

static void
attempt_unref(void *arg)
{
	struct home_attempt *a = arg;

	if (--a->refs == 0)
		g_free(a);
}

static void
attempt_remove(void *arg)
{
	struct home_attempt *a = arg;

	a->removed = true;
	a->worker = NULL;
	attempt_unref(a);
}

static void
worker_free(void *arg)
{
	struct home_worker *w = arg;

	/* Before the attempts: ends the orders in flight with status 0, and
	 * their callbacks use the attempts. */
	http_peer_free(w->peer);
	g_hash_table_unref(w->attempts);
	g_free(w->name);
	g_free(w->address);
	g_free(w);
}

static void
report_health(struct home_worker *w, enum worker_health health)
{
	struct health_report report = {
		.worker = w->id, .epoch = w->epoch, .health = health
	};

	session_send(w->home->node->session, FRAME_WORKER_HEALTH, &report);
}

static void
report_result(
    struct home_attempt *a, enum order_type type, enum order_outcome outcome)
{
	struct order_result result = { .type = type,
		.outcome = outcome,
		.worker = a->worker->id,
		.job = a->job,
		.task = a->task,
		.attempt = a->attempt };

	session_send(
	    a->worker->home->node->session, FRAME_ORDER_RESULT, &result);
}

static void send_next(struct home_attempt *a);

/* Extends the recorded lease: the worker may count its lease from now. */
static void
extend_lease(struct home_worker *w)
{
	const struct config_push *config =
	    session_config(w->home->node->session);

	w->last_renewal_ms = mono_ms();
	w->lease_end_ms =
	    MAX(w->lease_end_ms, w->last_renewal_ms + config->lease_ms);
}

/* Records whether the worker has answered a request; status 0: it has not. Its
 * heartbeats may arrive although requests to it do not. */
static void
record_reached(struct home_worker *w, int status)
{
	if (status != 0 && status != HTTP_MISDIRECTED)
		w->unreached_ms = 0;
	else if (w->unreached_ms == 0)
		w->unreached_ms = mono_ms();
}

static bool
unreached_for(const struct home_worker *w, int64_t ms, int64_t now)
{
	return w->unreached_ms != 0 && now - w->unreached_ms > ms;
}

/* Sends a call to the worker; the headers say which incarnation it is meant
 * for, as another one may listen at the address by now. */
static void
call_worker(struct home_worker *w, const char *path, const char *trace,
    const void *body, size_t len, http_answer *answer, void *arg)
{
	char *name = g_uri_escape_string(w->name, NULL, FALSE);
	char *incarnation =
	    g_strdup_printf("%" G_GUINT64_FORMAT, w->incarnation);
	const char *headers[] = { "Worker-Name", name, "Worker-Incarnation",
		incarnation, *trace == '\0' ? NULL : "traceparent", trace,
		NULL };

	http_send(w->peer, EVHTTP_REQ_POST, path, headers, body, len,
	    ORDER_TIMEOUT_MS, answer, arg);
	g_free(name);
	g_free(incarnation);
}

static void
back_off(struct home_attempt *a)
{
	a->backoff_ms = a->backoff_ms == 0
	    ? BACKOFF_MIN_MS
	    : MIN(2 * a->backoff_ms, BACKOFF_MAX_MS);
	a->next_send_ms = mono_ms() + a->backoff_ms;
}

/*
 * Reports whether no start order in flight can take effect any more. An order
 * without an answer, or one that an earlier home sent, can do so at any later
 * time until the worker has acknowledged a newer epoch.
 */
static bool
start_ruled_out(const struct home_attempt *a)
{
	return a->worker->epoch_acked && a->unanswered_epoch < a->worker->epoch;
}

/* Handles a worker's answer that it refuses the attempt or does not know it.
 * The answer is final only if no earlier start order can take effect any more;
 * else the worker needs a new epoch first. */
static void
handle_refusal(struct home_attempt *a, enum order_type type)
{
	if (start_ruled_out(a)) {
		a->stop_accepted = type == ORDER_STOP;
		report_result(a, type, ORDER_REFUSED);
		return;
	}
	if (a->unanswered_epoch == a->worker->epoch)
		report_health(a->worker, HEALTH_RENEW_EPOCH);
	back_off(a);
}

static void
on_order_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct sent_order *s = arg;
	struct home_attempt *a = s->attempt;

	a->in_flight = false;
	if (a->removed) {
		attempt_unref(a);
		g_free(s);
		return;
	}
	record_reached(a->worker, status);
	if (status == 200 && s->type == ORDER_START) {
		a->start_accepted = true;
		/* The worker counts the lease from its acceptance. */
		extend_lease(a->worker);
		tracer_end_span(a->worker->home->node->tracer, &a->trace,
		    a->trace_parent, "home", a->ordered_us, a->worker->name,
		    false);
		report_result(a, ORDER_START, ORDER_DONE);
	} else if (status == 200 && s->type == ORDER_STOP) {
		a->stop_accepted = true;
	} else if ((status == 503 && s->type == ORDER_START) ||
	    (status == 404 && s->type == ORDER_STOP)) {
		handle_refusal(a, s->type);
	} else {
		if (status == 0 && s->type == ORDER_START)
			a->unanswered_epoch = s->epoch;
		back_off(a);
	}
	if (status == 200) {
		a->backoff_ms = 0;
		send_next(a);
	}
	attempt_unref(a);
	g_free(s);
}

static void
post_order(struct home_attempt *a, enum order_type type, const char *path,
    GBytes *body)
{
	struct sent_order *s = g_new0(struct sent_order, 1);
	char trace[TRACE_HEADER_LEN + 1];
	size_t len = 0;
	const void *data = body == NULL ? NULL : g_bytes_get_data(body, &len);

	s->attempt = a;
	s->type = type;
	s->epoch = a->worker->epoch;
	a->refs++;
	a->in_flight = true;
	trace_format(&a->trace, trace);
	call_worker(a->worker, path, trace, data, len, on_order_answer, s);
}

static char *
attempt_path(const struct home_attempt *a, const char *verb)
{
	return g_strdup_printf("/tasks/%" G_GUINT64_FORMAT ".%u/%u/%s", a->job,
	    a->task, a->attempt, verb);
}

static GBytes *
epoch_body(const struct home_worker *w)
{
	char *text =
	    g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch);

	return g_bytes_new_take(text, strlen(text));
}

/* Sends the start order, if the job's template has been received. */
static void
post_start(struct home_attempt *a)
{
	struct home_worker *w = a->worker;
	const struct start_template *template =
	    g_hash_table_lookup(w->home->templates, &a->job);
	char *text;
	GBytes *body;

	if (template == NULL)
		return;
	text = api_start_order(&template->spec, a->job, a->task, a->attempt,
	    w->epoch, a->lease_ms);
	body = g_bytes_new_take(text, strlen(text));
	post_order(a, ORDER_START, "/tasks", body);
	g_bytes_unref(body);
}

/* Sends the next order for the attempt, one at a time. Orders are sent only
 * under the leader's grant and before the worker's lease has expired. */
static void
send_next(struct home_attempt *a)
{
	struct home_worker *w = a->worker;
	char *path;
	GBytes *body;

	if (a->in_flight || w->expired ||
	    !session_has_grant(w->home->node->session))
		return;
	if (a->stop_wanted && !a->stop_accepted) {
		path = attempt_path(a, "stop");
		body = epoch_body(w);
		post_order(a, ORDER_STOP, path, body);
		g_bytes_unref(body);
		g_free(path);
		return;
	}
	if (!a->start_accepted && !a->stop_wanted && a->start_wanted)
		post_start(a);
}

static void
on_lease_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct home_worker *w = arg;

	w->announcing = false;
	record_reached(w, status);
	if (w->announced_epoch != w->epoch || status == HTTP_MISDIRECTED)
		return;
	/* Extends the lease whatever the status: even without an answer the
	 * worker may have accepted the lease just before the time-out. */
	extend_lease(w);
	if (status != 200)
		return;
	w->epoch_acked = true;
	w->last_contact_ms = mono_ms();
}

/* Sends a worker its new epoch and home, as it may not know this entry yet. */
static void
announce_lease(struct home_worker *w)
{
	struct node *node = w->home->node;
	const struct config_push *config = session_config(node->session);
	char *text;

	if (w->announcing || w->expired || !session_has_grant(node->session))
		return;
	w->announcing = true;
	w->announced_epoch = w->epoch;
	text = g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT
			       ",\"home\":\"%s\",\"lease_ms\":%" G_GINT64_FORMAT
			       ",\"heartbeat_ms\":%" G_GINT64_FORMAT "}",
	    w->epoch, node->conf.http_address, config->lease_ms,
	    config->heartbeat_ms);
	call_worker(w, "/lease", "", text, strlen(text), on_lease_answer, w);
	g_free(text);
}

static struct home_worker *
add_worker(struct home *h, const struct worker_push *push)
{
	struct home_worker *w;
	GError *err = NULL;
	struct http_peer *peer =
	    http_peer_new(h->node->base, push->address, &err);

	if (peer == NULL) {
		log_warn("home", "worker %s: %s", push->name, err->message);
		g_clear_error(&err);
		return NULL;
	}
	w = g_new0(struct home_worker, 1);
	w->home = h;
	w->id = push->worker;
	w->name = g_strdup(push->name);
	w->address = g_strdup(push->address);
	w->peer = peer;
	w->attempts = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, attempt_remove);
	g_hash_table_insert(h->by_id, GUINT_TO_POINTER(w->id), w);
	g_hash_table_insert(h->by_name, w->name, w);
	return w;
}

static void
remove_worker(struct home *h, uint32_t id)
{
	struct home_worker *w =
	    g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(id));

	if (w == NULL)
		return;
	g_hash_table_remove(h->by_name, w->name);
	g_hash_table_remove(h->by_id, GUINT_TO_POINTER(id));
}

void
home_update_worker(struct home *h, const struct worker_push *push)
{
	struct home_worker *w =
	    g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(push->worker));
	int64_t now = mono_ms();

	if (push->gone) {
		remove_worker(h, push->worker);
		return;
	}
	/* What is queued for an earlier incarnation must not reach this one. */
	if (w != NULL &&
	    (strcmp(w->address, push->address) != 0 ||
		w->incarnation != push->incarnation)) {
		remove_worker(h, push->worker);
		w = NULL;
	}
	if (w == NULL)
		w = add_worker(h, push);
	if (w == NULL)
		return;
	w->draining = push->draining;
	if (w->epoch == push->epoch) {
		/* The push comes from a new leader, which needs the worker's
		 * health. */
		if (w->given_up)
			report_health(w, HEALTH_UNREACHED);
		if (w->expired)
			report_health(w, HEALTH_EXPIRED);
		else if (w->silent)
			report_health(w, HEALTH_SILENT);
		return;
	}
	w->incarnation = push->incarnation;
	w->epoch = push->epoch;
	w->silent = w->expired = w->epoch_acked = false;
	w->unreached_ms = 0;
	w->given_up = false;
	w->last_contact_ms = w->session_start_ms = now;
	/* An earlier home may have renewed the lease until now. */
	extend_lease(w);
	announce_lease(w);
}

static uint64_t
attempt_key(uint64_t job, uint32_t task)
{
	return job << 14 | task;
}

static struct home_attempt *
add_attempt(struct home_worker *w, const struct order *order)
{
	struct home_attempt *a = g_new0(struct home_attempt, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = attempt_key(order->job, order->task);
	a->worker = w;
	a->job = order->job;
	a->task = order->task;
	a->attempt = order->attempt;
	a->refs = 1;
	a->ordered_us = mono_us();
	if (trace_parse(order->trace, &a->trace))
		a->trace_parent = tracer_start_span(&a->trace);
	g_hash_table_replace(w->attempts, key, a);
	return a;
}

/* Sends a checkpoint order (percent < 0) or a throttle order. Not retried. */
static void
post_order_once(
    struct home_attempt *a, enum order_type type, const char *verb, int percent)
{
	char *path = attempt_path(a, verb);
	char *text = percent < 0
	    ? g_strdup_printf(
		  "{\"epoch\":%" G_GUINT64_FORMAT "}", a->worker->epoch)
	    : g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT
			      ",\"percent\":%d}",
		  a->worker->epoch, percent);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	post_order(a, type, path, body);
	g_bytes_unref(body);
	g_free(path);
}

static void
template_free(void *arg)
{
	struct start_template *s = arg;

	cell_spec_clear(&s->spec);
	g_free(s);
}

void
home_update_template(struct home *h, const struct start_template_push *push)
{
	struct start_template *s;

	if (push->gone) {
		g_hash_table_remove(h->templates, &push->job);
		return;
	}
	s = g_new0(struct start_template, 1);
	s->job = push->job;
	s->spec.name = g_strdup(push->name);
	s->spec.resources = (struct resources){ push->millicpus, push->memory,
		push->accelerators };
	s->spec.payload =
	    push->payload == NULL ? NULL : g_bytes_ref(push->payload);
	g_hash_table_replace(h->templates, &s->job, s);
}

void
home_handle_order(struct home *h, const struct order *order)
{
	struct home_worker *w =
	    g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(order->worker));
	uint64_t key = attempt_key(order->job, order->task);
	struct home_attempt *a =
	    w == NULL ? NULL : g_hash_table_lookup(w->attempts, &key);

	if (w == NULL || (a != NULL && order->attempt < a->attempt))
		return;
	if (order->type == ORDER_REMOVE) {
		g_hash_table_remove(w->attempts, &key);
		return;
	}
	if (a == NULL || a->attempt != order->attempt)
		a = add_attempt(w, order);
	if (order->type == ORDER_START) {
		a->start_wanted = true;
		a->lease_ms = order->lease_ms;
		if (a->start_accepted)
			report_result(a, ORDER_START, ORDER_DONE);
	}
	if (order->type == ORDER_STOP)
		a->stop_wanted = true;
	if (order->type == ORDER_CHECKPOINT)
		post_order_once(a, order->type, "checkpoint", -1);
	else if (order->type == ORDER_THROTTLE)
		post_order_once(a, order->type, "throttle", THROTTLE_PERCENT);
	else if (order->type == ORDER_RESUME)
		post_order_once(a, order->type, "throttle", 100);
	else
		send_next(a);
}

/* Reports whether the usage differs from the reported one by over 10%. */
static bool
usage_changed(int64_t reported, int64_t current)
{
	int64_t difference =
	    current > reported ? current - reported : reported - current;

	return difference * 10 > reported;
}

static void
on_orphan_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	/* The stop is not retried here: the next heartbeat shows whether the
	 * attempt still runs. */
}

/* Stops an attempt that the leader has not assigned or has ended. */
static void
stop_orphan(struct home_worker *w, const struct api_attempt *r)
{
	char *path;
	char *text;

	/* The leader may not have sent all orders of the session yet. */
	if (mono_ms() - w->session_start_ms < ORPHAN_GRACE_MS)
		return;
	log_warn("home",
	    "stopping unassigned attempt on worker %s: %" G_GUINT64_FORMAT
	    ".%u/%u",
	    w->name, r->job, r->task, r->attempt);
	path = g_strdup_printf("/tasks/%" G_GUINT64_FORMAT ".%u/%u/stop",
	    r->job, r->task, r->attempt);
	text = g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch);
	call_worker(w, path, "", text, strlen(text), on_orphan_answer, NULL);
	g_free(text);
	g_free(path);
}

/* Handles the list of running attempts: reports the usage that has changed and
 * stops unassigned attempts. */
static void
handle_running(struct home_worker *w, const struct api_worker *heartbeat)
{
	for (guint i = 0;
	     heartbeat->running != NULL && i < heartbeat->running->len; i++) {
		const struct api_attempt *r =
		    &g_array_index(heartbeat->running, struct api_attempt, i);
		uint64_t key = attempt_key(r->job, r->task);
		struct home_attempt *a = g_hash_table_lookup(w->attempts, &key);
		struct usage_report report = { r->job, r->task, r->attempt,
			r->millicpus, r->memory };

		if (a == NULL || a->attempt != r->attempt)
			stop_orphan(w, r);
		if (a == NULL || a->attempt != r->attempt || r->millicpus < 0 ||
		    r->memory < 0 ||
		    (!usage_changed(a->millicpus, r->millicpus) &&
			!usage_changed(a->memory, r->memory)))
			continue;
		a->millicpus = r->millicpus;
		a->memory = r->memory;
		session_send(w->home->node->session, FRAME_USAGE, &report);
	}
}

char *
home_handle_heartbeat(struct home *h, const struct api_worker *heartbeat)
{
	struct home_worker *w = heartbeat->worker.name == NULL
	    ? NULL
	    : g_hash_table_lookup(h->by_name, heartbeat->worker.name);
	const struct config_push *config = session_config(h->node->session);
	int64_t now = mono_ms();

	if (w == NULL || w->expired || w->given_up ||
	    w->incarnation != heartbeat->worker.incarnation ||
	    (heartbeat->epoch != 0 && heartbeat->epoch != w->epoch) ||
	    !session_has_grant(h->node->session))
		return NULL;
	w->last_contact_ms = now;
	extend_lease(w);
	w->epoch_acked |= heartbeat->epoch == w->epoch;
	handle_running(w, heartbeat);
	if (w->silent && w->unreached_ms == 0) {
		w->silent = false;
		report_health(w, HEALTH_RESPONSIVE);
	}
	return g_strdup_printf("{\"outcome\":\"accepted\",\"home\":\"%s\","
			       "\"incarnation\":\"%" G_GUINT64_FORMAT
			       "\",\"epoch\":%" G_GUINT64_FORMAT
			       ",\"lease_ms\":%" G_GINT64_FORMAT
			       ",\"heartbeat_ms\":%" G_GINT64_FORMAT "}",
	    h->node->conf.http_address, w->incarnation, w->epoch,
	    config->lease_ms, config->heartbeat_ms);
}

guint
home_worker_count(const struct home *h)
{
	return g_hash_table_size(h->by_id);
}

/* Reports a silent worker and an expired lease. Once the shortest lease has
 * expired it is never renewed in this epoch: the leader relies on that. */
static void
check_worker(struct home_worker *w, int64_t now)
{
	const struct config_push *c = session_config(w->home->node->session);

	if (!w->silent &&
	    (now - w->last_contact_ms > c->suspect_ms ||
		unreached_for(w, c->suspect_ms, now))) {
		w->silent = true;
		report_health(w, HEALTH_SILENT);
	}
	/* The start orders that it does not answer would wait for ever: its
	 * lease has to expire. */
	if (!w->given_up && unreached_for(w, c->lease_ms, now)) {
		w->given_up = true;
		report_health(w, HEALTH_UNREACHED);
	}
	if (!w->epoch_acked && !w->silent)
		announce_lease(w);
	if (w->expired || w->announcing || now < w->lease_end_ms)
		return;
	w->expired = true;
	report_health(w, HEALTH_EXPIRED);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct home *h = arg;
	int64_t now = mono_ms();
	GHashTableIter iter;
	GHashTableIter inner;
	gpointer value;

	g_hash_table_iter_init(&iter, h->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct home_worker *w = value;

		check_worker(w, now);
		g_hash_table_iter_init(&inner, w->attempts);
		while (g_hash_table_iter_next(&inner, NULL, &value)) {
			struct home_attempt *a = value;

			if (a->next_send_ms <= now)
				send_next(a);
		}
	}
}

struct home *
home_new(struct node *node)
{
	struct home *h = g_new0(struct home, 1);

	h->node = node;
	h->by_id = g_hash_table_new_full(NULL, NULL, NULL, worker_free);
	h->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	h->templates = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, template_free);
	h->timer = node_timer(node, SCAN_MS, on_timer, h);
	return h;
}

void
home_free(struct home *h)
{
	if (h == NULL)
		return;
	event_free(h->timer);
	g_hash_table_unref(h->by_name);
	g_hash_table_unref(h->by_id);
	g_hash_table_unref(h->templates);
	g_free(h);
}
