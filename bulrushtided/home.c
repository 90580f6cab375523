#include <string.h>

#include "home.h"
#include "session.h"

#define ORDER_TIMEOUT_MS 2000
#define THROTTLE_PERCENT 25 /* of full speed */
#define STRAY_MS 2000 /* after a session begins, before strays are stopped */
#define RETRY_FIRST_MS 200
#define RETRY_MAX_MS 2000

/* An attempt of a homed worker and the orders for it. */
struct held {
	struct homed *worker;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	bool wanted; /* a start is ordered */
	int64_t lease_ms;
	struct trace_context trace; /* of the job's request */
	uint64_t trace_parent;
	int64_t ordered_us;
	bool started; /* the worker has taken the start order */
	bool stop; /* a stop is wanted */
	bool stopped; /* the worker has taken the stop order */
	bool busy; /* an order is on its way */
	uint64_t lost_epoch; /* a start order of it got no answer; 0: none */
	int64_t retry_ms;
	int64_t due_ms;
	int64_t millicpus; /* in use as last reported */
	int64_t memory;
	int refs; /* the table and the order on its way */
	bool forgotten;
};

struct homed {
	struct home *home;
	uint32_t id;
	char *name;
	char *address;
	uint64_t incarnation;
	uint64_t epoch;
	bool draining;
	struct http_peer *peer;
	int64_t renewed_ms; /* no renewal was sent after this */
	int64_t granted_until; /* the worker takes no order after this */
	int64_t pushed_ms; /* when the leader told of this session */
	int64_t heard_ms;
	bool silent;
	bool lapsed;
	bool told; /* the worker knows this epoch */
	bool telling; /* POST /lease is on its way */
	uint64_t telling_epoch;
	GHashTable *held; /* job and task -> struct held */
};

/* What a job's start orders have in common. */
struct order_shape {
	uint64_t job;
	struct cell_spec spec;
};

struct home {
	struct node *node;
	GHashTable *shapes; /* job -> struct order_shape */
	struct event *timer;
	GHashTable *by_id; /* worker id -> struct homed */
	GHashTable *by_name; /* not owned */
};

/* An order on its way. */
struct sending {
	struct held *held;
	enum order_type type;
	uint64_t epoch;
};

static void
held_unref(void *arg)
{
	struct held *a = arg;

	if (--a->refs == 0)
		g_free(a);
}

static void
held_drop(void *arg)
{
	struct held *a = arg;

	a->forgotten = true;
	a->worker = NULL;
	held_unref(a);
}

static void
homed_free(void *arg)
{
	struct homed *w = arg;

	/* Frees the orders on their way first: they get no answer. */
	http_peer_free(w->peer);
	g_hash_table_unref(w->held);
	g_free(w->name);
	g_free(w->address);
	g_free(w);
}

static void
report_health(struct homed *w, enum worker_health health)
{
	struct health_report report = {
		.worker = w->id, .epoch = w->epoch, .health = health
	};

	session_send(w->home->node->session, FRAME_WORKER_HEALTH, &report);
}

static void
report_result(struct held *a, enum order_type type, enum order_outcome outcome)
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

static void send_next(struct held *a);

/* The worker may count a lease from now. */
static void
extend(struct homed *w)
{
	const struct config_push *config =
	    session_config(w->home->node->session);

	w->renewed_ms = mono_ms();
	w->granted_until =
	    MAX(w->granted_until, w->renewed_ms + config->lease_ms);
}

static void
retry_later(struct held *a)
{
	a->retry_ms = a->retry_ms == 0 ? RETRY_FIRST_MS
				       : MIN(2 * a->retry_ms, RETRY_MAX_MS);
	a->due_ms = mono_ms() + a->retry_ms;
}

/*
 * Says whether no start order of ours can still take effect: one that got no
 * answer, or that an earlier home sent, may, however late, until the worker
 * has taken a newer epoch.
 */
static bool
settled(const struct held *a)
{
	return a->worker->told && a->lost_epoch < a->worker->epoch;
}

/* The worker refuses the attempt or does not know it. That is final only if
 * no earlier order is still on its way; else a new epoch has to come first. */
static void
refused(struct held *a, enum order_type type)
{
	if (settled(a)) {
		a->stopped = type == ORDER_STOP;
		report_result(a, type, ORDER_REFUSED);
		return;
	}
	if (a->lost_epoch == a->worker->epoch)
		report_health(a->worker, HEALTH_REFENCE);
	retry_later(a);
}

static void
on_order_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct sending *s = arg;
	struct held *a = s->held;

	a->busy = false;
	if (a->forgotten) {
		held_unref(a);
		g_free(s);
		return;
	}
	if (status == 200 && s->type == ORDER_START) {
		a->started = true;
		/* Its lease may count from when the worker took it. */
		extend(a->worker);
		tracer_end(a->worker->home->node->tracer, &a->trace,
		    a->trace_parent, "home", a->ordered_us, a->worker->name,
		    false);
		report_result(a, ORDER_START, ORDER_DONE);
	} else if (status == 200 && s->type == ORDER_STOP) {
		a->stopped = true;
	} else if ((status == 503 && s->type == ORDER_START) ||
	    (status == 404 && s->type == ORDER_STOP)) {
		refused(a, s->type);
	} else {
		if (status == 0 && s->type == ORDER_START)
			a->lost_epoch = s->epoch;
		retry_later(a);
	}
	if (status == 200) {
		a->retry_ms = 0;
		send_next(a);
	}
	held_unref(a);
	g_free(s);
}

static void
post(struct held *a, enum order_type type, const char *path, GBytes *body)
{
	struct sending *s = g_new0(struct sending, 1);
	char trace[TRACE_HEADER_LEN + 1];
	const char *headers[] = { "traceparent", trace, NULL };
	size_t len = 0;
	const void *data = body == NULL ? NULL : g_bytes_get_data(body, &len);

	s->held = a;
	s->type = type;
	s->epoch = a->worker->epoch;
	a->refs++;
	a->busy = true;
	trace_format(&a->trace, trace);
	http_send(a->worker->peer, EVHTTP_REQ_POST, path,
	    *trace == '\0' ? NULL : headers, data, len, ORDER_TIMEOUT_MS,
	    on_order_answer, s);
}

static char *
attempt_path(const struct held *a, const char *verb)
{
	return g_strdup_printf("/tasks/%" G_GUINT64_FORMAT ".%u/%u/%s", a->job,
	    a->task, a->attempt, verb);
}

static GBytes *
epoch_body(const struct homed *w)
{
	char *text =
	    g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch);

	return g_bytes_new_take(text, strlen(text));
}

/* Renders a start order from the job's shape. */
static void
post_start(struct held *a)
{
	struct homed *w = a->worker;
	const struct order_shape *shape =
	    g_hash_table_lookup(w->home->shapes, &a->job);
	char *text;
	GBytes *body;

	if (shape == NULL)
		return;
	text = api_start_order(
	    &shape->spec, a->job, a->task, a->attempt, w->epoch, a->lease_ms);
	body = g_bytes_new_take(text, strlen(text));
	post(a, ORDER_START, "/tasks", body);
	g_bytes_unref(body);
}

/* Sends the order that the attempt needs now, one at a time. Orders go out
 * only under a grant and on a session that has not lapsed. */
static void
send_next(struct held *a)
{
	struct homed *w = a->worker;
	char *path;
	GBytes *body;

	if (a->busy || w->lapsed || !session_granted(w->home->node->session))
		return;
	if (a->stop && !a->stopped) {
		path = attempt_path(a, "stop");
		body = epoch_body(w);
		post(a, ORDER_STOP, path, body);
		g_bytes_unref(body);
		g_free(path);
		return;
	}
	if (!a->started && !a->stop && a->wanted)
		post_start(a);
}

/* Tells a worker its new epoch and home; it may not know this entry yet. */
static void
on_told(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct homed *w = arg;

	w->telling = false;
	if (w->telling_epoch != w->epoch)
		return;
	/* Counted from the answer: the worker may have taken it until now. */
	extend(w);
	if (status != 200)
		return;
	w->told = true;
	w->heard_ms = mono_ms();
}

static void
tell(struct homed *w)
{
	struct node *node = w->home->node;
	const struct config_push *config = session_config(node->session);
	char *text;

	if (w->telling || w->lapsed || !session_granted(node->session))
		return;
	w->telling = true;
	w->telling_epoch = w->epoch;
	text = g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT
			       ",\"home\":\"%s\",\"lease_ms\":%" G_GINT64_FORMAT
			       ",\"heartbeat_ms\":%" G_GINT64_FORMAT "}",
	    w->epoch, node->conf.http_address, config->lease_ms,
	    config->heartbeat_ms);
	http_send(w->peer, EVHTTP_REQ_POST, "/lease", NULL, text, strlen(text),
	    ORDER_TIMEOUT_MS, on_told, w);
	g_free(text);
}

static struct homed *
add_worker(struct home *h, const struct worker_push *push)
{
	struct homed *w;
	GError *err = NULL;
	struct http_peer *peer =
	    http_peer_new(h->node->base, push->address, &err);

	if (peer == NULL) {
		log_warn("home", "worker %s: %s", push->name, err->message);
		g_clear_error(&err);
		return NULL;
	}
	w = g_new0(struct homed, 1);
	w->home = h;
	w->id = push->worker;
	w->name = g_strdup(push->name);
	w->address = g_strdup(push->address);
	w->peer = peer;
	w->held = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, held_drop);
	g_hash_table_insert(h->by_id, GUINT_TO_POINTER(w->id), w);
	g_hash_table_insert(h->by_name, w->name, w);
	return w;
}

static void
remove_worker(struct home *h, uint32_t id)
{
	struct homed *w = g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(id));

	if (w == NULL)
		return;
	g_hash_table_remove(h->by_name, w->name);
	g_hash_table_remove(h->by_id, GUINT_TO_POINTER(id));
}

void
home_worker(struct home *h, const struct worker_push *push)
{
	struct homed *w =
	    g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(push->worker));
	int64_t now = mono_ms();

	if (push->gone) {
		remove_worker(h, push->worker);
		return;
	}
	if (w != NULL && strcmp(w->address, push->address) != 0) {
		remove_worker(h, push->worker);
		w = NULL;
	}
	if (w == NULL)
		w = add_worker(h, push);
	if (w == NULL)
		return;
	w->draining = push->draining;
	if (w->epoch == push->epoch && w->incarnation == push->incarnation) {
		/* A new leader: it has to learn what we know of the worker. */
		if (w->lapsed)
			report_health(w, HEALTH_LAPSED);
		else if (w->silent)
			report_health(w, HEALTH_SILENT);
		return;
	}
	if (w->incarnation != push->incarnation)
		g_hash_table_remove_all(w->held);
	w->incarnation = push->incarnation;
	w->epoch = push->epoch;
	w->silent = w->lapsed = w->told = false;
	w->heard_ms = w->pushed_ms = now;
	/* An earlier home may have renewed it until now. */
	extend(w);
	tell(w);
}

static uint64_t
held_key(uint64_t job, uint32_t task)
{
	return job << 14 | task;
}

static struct held *
add_held(struct homed *w, const struct order *order)
{
	struct held *a = g_new0(struct held, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = held_key(order->job, order->task);
	a->worker = w;
	a->job = order->job;
	a->task = order->task;
	a->attempt = order->attempt;
	a->refs = 1;
	a->ordered_us = mono_us();
	if (trace_parse(order->trace, &a->trace))
		a->trace_parent = tracer_start(&a->trace);
	g_hash_table_replace(w->held, key, a);
	return a;
}

/* Orders a checkpoint, or a speed in percent of full; sent once. */
static void
post_speed(struct held *a, enum order_type type, const char *verb, int percent)
{
	char *path = attempt_path(a, verb);
	char *text = percent < 0
	    ? g_strdup_printf(
		  "{\"epoch\":%" G_GUINT64_FORMAT "}", a->worker->epoch)
	    : g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT
			      ",\"percent\":%d}",
		  a->worker->epoch, percent);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	post(a, type, path, body);
	g_bytes_unref(body);
	g_free(path);
}

static void
shape_free(void *arg)
{
	struct order_shape *s = arg;

	cell_spec_clear(&s->spec);
	g_free(s);
}

void
home_shape(struct home *h, const struct shape_push *push)
{
	struct order_shape *s;

	if (push->gone) {
		g_hash_table_remove(h->shapes, &push->job);
		return;
	}
	s = g_new0(struct order_shape, 1);
	s->job = push->job;
	s->spec.name = g_strdup(push->name);
	s->spec.resources = (struct resources){ push->millicpus, push->memory,
		push->accelerators };
	s->spec.payload =
	    push->payload == NULL ? NULL : g_bytes_ref(push->payload);
	g_hash_table_replace(h->shapes, &s->job, s);
}

void
home_order(struct home *h, const struct order *order)
{
	struct homed *w =
	    g_hash_table_lookup(h->by_id, GUINT_TO_POINTER(order->worker));
	uint64_t key = held_key(order->job, order->task);
	struct held *a = w == NULL ? NULL : g_hash_table_lookup(w->held, &key);

	if (w == NULL || (a != NULL && order->attempt < a->attempt))
		return;
	if (order->type == ORDER_FORGET) {
		g_hash_table_remove(w->held, &key);
		return;
	}
	if (a == NULL || a->attempt != order->attempt)
		a = add_held(w, order);
	if (order->type == ORDER_START) {
		a->wanted = true;
		a->lease_ms = order->lease_ms;
		if (a->started)
			report_result(a, ORDER_START, ORDER_DONE);
	}
	if (order->type == ORDER_STOP)
		a->stop = true;
	if (order->type == ORDER_CHECKPOINT)
		post_speed(a, order->type, "checkpoint", -1);
	else if (order->type == ORDER_THROTTLE)
		post_speed(a, order->type, "throttle", THROTTLE_PERCENT);
	else if (order->type == ORDER_RESUME)
		post_speed(a, order->type, "throttle", 100);
	else
		send_next(a);
}

/* Says whether a figure moved by more than a tenth. */
static bool
moved(int64_t from, int64_t to)
{
	int64_t by = to > from ? to - from : from - to;

	return by * 10 > from;
}

static void
on_stray_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	/* The next heartbeat shows whether it still runs. */
}

/* An attempt that the leader holds to be over must not go on. */
static void
stop_stray(struct homed *w, const struct api_attempt *r)
{
	char *path;
	char *text;

	/* Until then the leader may not have told of all attempts. */
	if (mono_ms() - w->pushed_ms < STRAY_MS)
		return;
	log_warn("home", "worker %s still runs %" G_GUINT64_FORMAT ".%u/%u",
	    w->name, r->job, r->task, r->attempt);
	path = g_strdup_printf("/tasks/%" G_GUINT64_FORMAT ".%u/%u/stop",
	    r->job, r->task, r->attempt);
	text = g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch);
	http_send(w->peer, EVHTTP_REQ_POST, path, NULL, text, strlen(text),
	    ORDER_TIMEOUT_MS, on_stray_answer, NULL);
	g_free(text);
	g_free(path);
}

/* Passes usage on where it has changed. */
static void
report_usage(struct homed *w, const struct api_worker *beat)
{
	for (guint i = 0; beat->running != NULL && i < beat->running->len;
	     i++) {
		const struct api_attempt *r =
		    &g_array_index(beat->running, struct api_attempt, i);
		uint64_t key = held_key(r->job, r->task);
		struct held *a = g_hash_table_lookup(w->held, &key);
		struct usage_report report = { r->job, r->task, r->attempt,
			r->millicpus, r->memory };

		if (a == NULL || a->attempt != r->attempt)
			stop_stray(w, r);
		if (a == NULL || a->attempt != r->attempt || r->millicpus < 0 ||
		    r->memory < 0 ||
		    (!moved(a->millicpus, r->millicpus) &&
			!moved(a->memory, r->memory)))
			continue;
		a->millicpus = r->millicpus;
		a->memory = r->memory;
		session_send(w->home->node->session, FRAME_USAGE, &report);
	}
}

char *
home_heartbeat(struct home *h, const struct api_worker *beat)
{
	struct homed *w = beat->worker.name == NULL
	    ? NULL
	    : g_hash_table_lookup(h->by_name, beat->worker.name);
	const struct config_push *config = session_config(h->node->session);
	int64_t now = mono_ms();

	if (w == NULL || w->lapsed ||
	    w->incarnation != beat->worker.incarnation ||
	    (beat->epoch != 0 && beat->epoch != w->epoch) ||
	    !session_granted(h->node->session))
		return NULL;
	w->heard_ms = now;
	extend(w);
	w->told |= beat->epoch == w->epoch;
	report_usage(w, beat);
	if (w->silent) {
		w->silent = false;
		report_health(w, HEALTH_HEARD);
	}
	return g_strdup_printf("{\"outcome\":\"accepted\",\"home\":\"%s\","
			       "\"epoch\":%" G_GUINT64_FORMAT
			       ",\"lease_ms\":%" G_GINT64_FORMAT
			       ",\"heartbeat_ms\":%" G_GINT64_FORMAT "}",
	    h->node->conf.http_address, w->epoch, config->lease_ms,
	    config->heartbeat_ms);
}

guint
home_count(const struct home *h)
{
	return g_hash_table_size(h->by_id);
}

/* Once the shortest lease has run out the worker is never renewed again
 * under this epoch: the leader may count on it. */
static void
check_worker(struct homed *w, int64_t now)
{
	const struct config_push *c = session_config(w->home->node->session);

	if (!w->silent && now - w->heard_ms > c->suspect_ms) {
		w->silent = true;
		report_health(w, HEALTH_SILENT);
	}
	if (!w->told && !w->silent)
		tell(w);
	if (w->lapsed || w->telling || now < w->granted_until)
		return;
	w->lapsed = true;
	report_health(w, HEALTH_LAPSED);
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
		struct homed *w = value;

		check_worker(w, now);
		g_hash_table_iter_init(&inner, w->held);
		while (g_hash_table_iter_next(&inner, NULL, &value)) {
			struct held *a = value;

			if (a->due_ms <= now)
				send_next(a);
		}
	}
}

struct home *
home_new(struct node *node)
{
	struct home *h = g_new0(struct home, 1);

	h->node = node;
	h->by_id = g_hash_table_new_full(NULL, NULL, NULL, homed_free);
	h->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	h->shapes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, shape_free);
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
	g_hash_table_unref(h->shapes);
	g_free(h);
}
