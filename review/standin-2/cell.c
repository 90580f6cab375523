/* Processes, stand-in workers and calls of a review case. */
#include "cell.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#define TICK_MS 5
#define CALL_TIMEOUT_MS 3000
#define READY_LIMIT_MS 30000
#define ENDS_LISTED_MAX 500

struct cell_poll {
	struct http_request *req;
	int64_t until_ms;
};

bool
cell_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

static void
note(struct cell *c, const char *format, va_list ap)
{
	char *line = g_strdup_vprintf(format, ap);

	fprintf(c->record, "%8.3f %s\n",
	    (double)(mono_ms() - c->zero_ms) / 1000, line);
	fflush(c->record);
	g_free(line);
}

void
cell_note(struct cell *c, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	note(c, format, ap);
	va_end(ap);
}

void
cell_break(struct cell *c, const char *format, ...)
{
	char *marked = g_strconcat("BROKEN ", format, NULL);
	va_list ap;

	va_start(ap, format);
	note(c, marked, ap);
	va_end(ap);
	g_free(marked);
	c->broken = true;
}

/* --- the stand-in workers --- */

static struct cell_run *
find_run(const struct cell_worker *w, const char *task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct cell_run *r =
		    &g_array_index(w->runs, struct cell_run, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

struct cell_worker *
cell_running_elsewhere(const struct cell_worker *w, const char *task)
{
	for (guint i = 0; i < w->cell->workers->len; i++) {
		struct cell_worker *other = w->cell->workers->pdata[i];

		if (other != w && other->server != NULL &&
		    find_run(other, task) != NULL)
			return other;
	}
	return NULL;
}

int
cell_done(const struct cell *c, const char *task)
{
	int n = 0;

	for (guint i = 0; i < c->ends->len; i++) {
		const struct cell_end *e =
		    &g_array_index(c->ends, struct cell_end, i);

		n += strcmp(e->task, task) == 0 && strcmp(e->how, "done") == 0;
	}
	return n;
}

static int64_t
highest_of(const struct cell_worker *w, const char *task)
{
	int64_t *n = g_hash_table_lookup(w->highest, task);

	return n == NULL ? 0 : *n;
}

static void
raise_highest(struct cell_worker *w, const char *task, int64_t run)
{
	if (highest_of(w, task) < run)
		g_hash_table_replace(
		    w->highest, g_strdup(task), g_memdup2(&run, sizeof(run)));
}

static void
end_run(struct cell_worker *w, guint at, const char *how)
{
	struct cell_run *r = &g_array_index(w->runs, struct cell_run, at);
	struct cell_end e = { .task = r->task,
		.number = r->number,
		.how = g_strdup(how),
		.worker = w->number,
		.at_ms = mono_ms() };

	g_ptr_array_add(w->listed,
	    json_pack("[IsIss]", (json_int_t)++w->last_end, r->task,
		(json_int_t)r->number, how, ""));
	raise_highest(w, r->task, r->number);
	cell_note(w->cell,
	    "%s end %s run %" G_GINT64_FORMAT " %s number %" G_GINT64_FORMAT,
	    w->id, r->task, r->number, how, w->last_end);
	g_array_append_val(w->cell->ends, e);
	g_array_remove_index(w->runs, at);
}

static void
end_due_runs(struct cell_worker *w)
{
	int64_t now = mono_ms();

	for (guint i = w->runs->len; i > 0; i--) {
		struct cell_run *r =
		    &g_array_index(w->runs, struct cell_run, i - 1);

		if (now >= w->lease_until_ms)
			end_run(w, i - 1, "lapsed");
		else if (r->stop_ms != 0 && now >= r->stop_ms)
			end_run(w, i - 1, "stopped");
		else if (r->stop_ms == 0 && now >= r->due_ms)
			end_run(w, i - 1, "done");
	}
}

static int64_t
clock_of(const struct cell_worker *w)
{
	return mono_ms() - w->clock_zero_ms;
}

static void
reply_json(struct http_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);

	http_reply(req, status, g_strdup(text), 0);
	free(text);
	json_decref(o);
}

static void
reply_clock(struct cell_worker *w, struct http_request *req, const char *reason)
{
	json_t *o = json_pack("{sI}", "currentTimeMs", (json_int_t)clock_of(w));

	if (reason != NULL)
		json_object_set_new(o, "reason", json_string(reason));
	reply_json(req, reason == NULL ? 200 : 409, o);
}

static int64_t
get_int(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Reads an order; answers it and returns NULL if it is for another
 * incarnation or its fence is too low. */
static json_t *
read_order(struct cell_worker *w, struct http_request *req)
{
	const char *expected =
	    http_header(req, "Bulrushtide-Expected-Instance");
	json_t *o;

	if (expected != NULL && strcmp(expected, w->id) != 0) {
		http_reply(req, 421, g_strdup("{}"), 0);
		return NULL;
	}
	o = json_loadb(req->body, req->body_len, 0, NULL);
	if (o == NULL) {
		http_reply(req, 400, g_strdup("{}"), 0);
		return NULL;
	}
	end_due_runs(w);
	if (get_int(o, "fencingToken") < w->fence) {
		json_decref(o);
		reply_clock(w, req, "fence");
		return NULL;
	}
	w->fence = get_int(o, "fencingToken");
	return o;
}

/* The lease never shortens, and is maxHoldMs long at most. */
static void
extend_lease(struct cell_worker *w, const json_t *o)
{
	int64_t until;

	if (json_object_get(o, "deadlineMs") == NULL)
		return;
	until = MIN(get_int(o, "deadlineMs") + w->clock_zero_ms,
	    mono_ms() + CELL_LEASE_MAX_MS);
	w->lease_until_ms = MAX(w->lease_until_ms, until);
}

/* Carries out a start; NULL if it is done, else the reason why not. */
static const char *
start(struct cell_worker *w, const json_t *o, bool late)
{
	const char *task = json_string_value(json_object_get(o, "task"));
	int64_t number = get_int(o, "run");
	struct cell_run r = { .number = number };

	end_due_runs(w);
	if (get_int(o, "deadlineMs") <= clock_of(w))
		return "late";
	extend_lease(w, o);
	if (find_run(w, task) != NULL && find_run(w, task)->number == number)
		return NULL;
	if (number <= highest_of(w, task) || find_run(w, task) != NULL)
		return "old";
	r.task = g_strdup(task);
	r.started_ms = mono_ms();
	r.due_ms = r.started_ms + w->cell->task_ms;
	cell_note(w->cell, "%s start %s run %" G_GINT64_FORMAT "%s", w->id,
	    task, number, late ? " (carried out late)" : "");
	if (w->cell->started != NULL)
		w->cell->started(w, task, number, late);
	g_array_append_val(w->runs, r);
	return NULL;
}

/* A start order without an answer, to be carried out later. */
struct late_start {
	struct cell_worker *worker;
	json_t *order;
	int64_t born_ms;
};

static void
start_late(evutil_socket_t fd, short what, void *arg)
{
	struct late_start *l = arg;
	struct cell_worker *w = l->worker;

	if (w->server != NULL && w->born_ms == l->born_ms &&
	    get_int(l->order, "fencingToken") >= w->fence)
		(void)start(w, l->order, true);
	json_decref(l->order);
	g_free(l);
}

static void
on_start(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	const char *task;
	int64_t late_ms = 0;

	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	if (w->cell->late != NULL)
		late_ms = w->cell->late(w, task, get_int(o, "run"));
	if (late_ms > 0) {
		struct late_start *l = g_new0(struct late_start, 1);
		struct timeval tv = { late_ms / 1000, late_ms % 1000 * 1000 };

		*l = (struct late_start){ w, o, w->born_ms };
		cell_note(w->cell,
		    "%s leaves the start of %s run %" G_GINT64_FORMAT
		    " without an answer",
		    w->id, task, get_int(o, "run"));
		event_base_once(
		    w->cell->base, -1, EV_TIMEOUT, start_late, l, &tv);
		/* The caller's time-out ends the connection. */
		return;
	}
	reply_clock(w, req, start(w, o, false));
	json_decref(o);
}

static void
on_stop(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	const char *task;
	int64_t number;
	struct cell_run *r;

	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	number = get_int(o, "run");
	r = find_run(w, task);
	cell_note(w->cell, "%s stop %s run %" G_GINT64_FORMAT "%s", w->id, task,
	    number, r == NULL ? " (not there)" : "");
	if (r != NULL && r->number <= number && r->stop_ms == 0)
		r->stop_ms = mono_ms() + CELL_STOP_MS / 2;
	else if (r == NULL)
		raise_highest(w, task, number);
	json_decref(o);
	reply_clock(w, req, NULL);
}

static void
answer_poll(struct cell_worker *w, struct http_request *req)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (guint i = 0; i < w->runs->len; i++) {
		struct cell_run *r =
		    &g_array_index(w->runs, struct cell_run, i);
		int64_t ran_ms = mono_ms() - r->started_ms;

		json_array_append_new(running,
		    json_pack("[sIsii]", r->task, (json_int_t)r->number, "",
			(int)MIN(ran_ms * 100 / w->cell->task_ms, 99), 1000));
	}
	for (guint i = 0; i < w->listed->len && i < ENDS_LISTED_MAX; i++)
		json_array_append(ended, w->listed->pdata[i]);
	reply_json(req, 200,
	    json_pack("{sIsIsoso}", "currentTimeMs", (json_int_t)clock_of(w),
		"born", (json_int_t)w->born_ms, "running", running, "endedRuns",
		ended));
}

/* Ends up to the cursor are forgotten. */
static void
acknowledge(struct cell_worker *w, int64_t cursor)
{
	while (w->listed->len > 0 &&
	    json_integer_value(json_array_get(w->listed->pdata[0], 0)) <=
		cursor) {
		cell_note(w->cell, "%s end number %lld is acknowledged", w->id,
		    (long long)json_integer_value(
			json_array_get(w->listed->pdata[0], 0)));
		g_ptr_array_remove_index(w->listed, 0);
	}
}

static void
on_hold(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	struct cell_poll *p;

	if (o == NULL)
		return;
	extend_lease(w, o);
	acknowledge(w, get_int(o, "ackCursor"));
	if (w->listed->len > 0 || get_int(o, "waitMs") == 0) {
		answer_poll(w, req);
	} else {
		p = g_new0(struct cell_poll, 1);
		p->req = req;
		p->until_ms = mono_ms() + MIN(get_int(o, "waitMs"), 2000);
		g_ptr_array_add(w->polls, p);
	}
	json_decref(o);
}

static void
answer_due_polls(struct cell_worker *w)
{
	for (guint i = w->polls->len; i > 0; i--) {
		struct cell_poll *p = w->polls->pdata[i - 1];

		if (w->listed->len == 0 && mono_ms() < p->until_ms)
			continue;
		answer_poll(w, p->req);
		g_ptr_array_remove_index(w->polls, i - 1);
	}
}

static const struct http_route worker_routes[] = {
	{ EVHTTP_REQ_POST, "/bulrushtide/run-start", on_start },
	{ EVHTTP_REQ_POST, "/bulrushtide/run-stop", on_stop },
	{ EVHTTP_REQ_POST, "/bulrushtide/hold", on_hold },
};

struct heartbeat {
	struct cell_worker *worker;
	struct http_peer *peer;
	bool draining;
};

static void
free_peer(evutil_socket_t fd, short what, void *arg)
{
	http_peer_free(arg);
}

static void
on_heartbeat_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	static const struct timeval now = { 0 };
	struct heartbeat *h = arg;
	struct cell_worker *w = h->worker;

	if (status / 100 != 2)
		w->heartbeat_ms = 0; /* the next node is called */
	if (status / 100 == 2 && h->draining && w->drain_acked_ms == 0) {
		w->drain_acked_ms = mono_ms();
		cell_note(w->cell, "%s draining is acknowledged", w->id);
	}
	event_base_once(
	    w->cell->base, -1, EV_TIMEOUT, free_peer, h->peer, &now);
	g_free(h);
}

static void
send_heartbeat(struct cell_worker *w)
{
	struct cell *c = w->cell;
	struct heartbeat *h = g_new0(struct heartbeat, 1);
	char *path =
	    g_strdup_printf("/bulrushtide/instances/%s/heartbeat", w->id);
	char *body = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%" G_GINT64_FORMAT
	    ",\"memMb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-%d\"],"
	    "\"currentTimeMs\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
	    ",\"seq\":%" G_GINT64_FORMAT ",\"machine\":\"m-%d\"%s}",
	    w->service, w->address, w->draining ? "draining" : "ready", w->cpu,
	    w->number / 2 + 1, clock_of(w), w->born_ms, ++w->seq, w->number,
	    w->draining ? ",\"drainRemainingMs\":2000" : "");
	struct cell_node *n = &c->node[(w->seq + w->number) % c->nodes];

	w->heartbeat_ms = mono_ms();
	*h = (struct heartbeat){ w, http_peer_new(c->base, n->control, NULL),
		w->draining };
	http_send(h->peer, EVHTTP_REQ_POST, path, NULL, body, strlen(body),
	    1000, on_heartbeat_answer, h);
	g_free(path);
	g_free(body);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct cell *c = arg;

	for (guint i = 0; i < c->workers->len; i++) {
		struct cell_worker *w = c->workers->pdata[i];

		if (w->server == NULL)
			continue;
		end_due_runs(w);
		answer_due_polls(w);
		if (mono_ms() - w->heartbeat_ms >= CELL_HEARTBEAT_MS)
			send_heartbeat(w);
	}
}

/* Its connections are reset; what it held and knew is gone. */
void
cell_crash_worker(struct cell_worker *w)
{
	cell_note(w->cell, "%s crashes", w->id);
	httpd_free(w->server);
	w->server = NULL;
	g_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->listed, 0);
	g_ptr_array_set_size(w->polls, 0);
	g_hash_table_remove_all(w->highest);
}

void
cell_revive_worker(struct cell_worker *w, int64_t heartbeat_in_ms)
{
	GError *err = NULL;

	w->born_ms = g_get_real_time() / 1000;
	w->clock_zero_ms = mono_ms();
	w->seq = 0;
	w->fence = 0;
	w->lease_until_ms = 0;
	w->last_end = 0;
	w->heartbeat_ms = mono_ms() + heartbeat_in_ms - CELL_HEARTBEAT_MS;
	w->server = httpd_new(w->cell->base, w->address, worker_routes,
	    G_N_ELEMENTS(worker_routes), w, &err);
	if (w->server == NULL)
		g_error("worker: %s", err->message);
	cell_note(w->cell, "%s is back under its id", w->id);
}

static struct cell_worker *
worker_new(struct cell *c, int number, const char *service)
{
	struct cell_worker *w = g_new0(struct cell_worker, 1);
	GError *err = NULL;

	w->cell = c;
	w->number = number;
	w->id = g_strdup_printf("i-7f3a91c%d", number);
	w->address = free_address(c->node[0].ip);
	w->service = g_strdup(service);
	w->born_ms = g_get_real_time() / 1000 - 1000;
	w->clock_zero_ms = mono_ms() - 1000;
	w->cpu = c->cpu;
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct cell_run));
	w->listed = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	w->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->polls = g_ptr_array_new_with_free_func(g_free);
	w->server = httpd_new(c->base, w->address, worker_routes,
	    G_N_ELEMENTS(worker_routes), w, &err);
	if (w->server == NULL)
		g_error("worker: %s", err->message);
	return w;
}

struct cell_worker *
cell_add_worker(struct cell *c, const char *service)
{
	struct cell_worker *w = worker_new(c, (int)c->workers->len, service);

	g_ptr_array_add(c->workers, w);
	return w;
}

/* --- calls --- */

struct client_call {
	bool answered;
	int status;
	char *body;
};

static void
on_call_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct client_call *call = arg;

	call->answered = true;
	call->status = status;
	call->body = g_strndup(body == NULL ? "" : body, len);
}

static void
run_loop(struct cell *c, int64_t ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	event_base_loopexit(c->base, &tv);
	event_base_dispatch(c->base);
}

void
cell_run_for(struct cell *c, int64_t ms)
{
	int64_t end = mono_ms() + ms;

	while (mono_ms() < end)
		run_loop(c, MIN(end - mono_ms(), 20) + 1);
}

int
cell_call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *host, const char *path, const char *body, char **answer)
{
	const char *const headers[] = { "Host", host, "Bulrushtide-Deadline-Ms",
		"3000", NULL };
	struct client_call call = { 0 };
	struct http_peer *p = http_peer_new(c->base, address, NULL);
	int64_t limit = mono_ms() + CALL_TIMEOUT_MS + 500;

	http_send(p, method, path, host == NULL ? NULL : headers, body,
	    body == NULL ? 0 : strlen(body), CALL_TIMEOUT_MS, on_call_answer,
	    &call);
	while (!call.answered && mono_ms() < limit)
		run_loop(c, 5);
	http_peer_free(p);
	if (answer != NULL)
		*answer = call.body;
	else
		g_free(call.body);
	return call.status;
}

static void
ignore_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct cell *c = arg;

	cell_note(c, "  answer %d", status);
}

void
cell_post(
    struct cell *c, const char *address, const char *path, const char *body)
{
	/* Freed with the process. */
	struct http_peer *p = http_peer_new(c->base, address, NULL);

	cell_note(c, "POST %s %s", path, body);
	http_send(p, EVHTTP_REQ_POST, path, NULL, body, strlen(body),
	    CALL_TIMEOUT_MS, ignore_answer, c);
}

bool
cell_submit(
    struct cell *c, const char *host, const char *path, const char *body)
{
	for (int i = 0; i < 2 * c->nodes; i++) {
		struct cell_node *n = &c->node[i % c->nodes];
		int status = cell_call(
		    c, n->front, EVHTTP_REQ_POST, host, path, body, NULL);

		cell_note(
		    c, "client POST %s at %s -> %d", path, n->name, status);
		if (status / 100 == 2)
			return true;
		cell_run_for(c, 200);
	}
	return false;
}

char *
cell_state(struct cell *c, const char *host, const char *path)
{
	char *body = NULL;
	int status = cell_call(c, c->node[c->nodes - 1].front, EVHTTP_REQ_GET,
	    host, path, NULL, &body);
	json_t *o = json_loads(body == NULL ? "" : body, 0, NULL);
	char *state = g_strdup(json_string_value(json_object_get(o, "state")));

	cell_note(c, "client GET %s -> %d %s", path, status, body);
	json_decref(o);
	g_free(body);
	return state == NULL ? g_strdup(status == 410 ? "410" : "") : state;
}

/* --- the processes --- */

static char *
replace(char *text, const char *name, const char *value)
{
	char *mark = g_strdup_printf("{{%s}}", name);
	char **parts = g_strsplit(text, mark, -1);
	char *out = g_strjoinv(value, parts);

	g_strfreev(parts);
	g_free(mark);
	g_free(text);
	return out;
}

/* Ports are the same on all machines. */
enum port { PORT_FRONT, PORT_READY, PORT_CONTROL, PORT_PEER, PORT_METRICS };

static const char *
port(struct cell *c, enum port which)
{
	if (c->port[which] == NULL) {
		char *address = free_address(c->node[0].ip);

		c->port[which] = g_strdup(strrchr(address, ':') + 1);
		g_free(address);
	}
	return c->port[which];
}

/* Fills in the template of the deploy file as the platform does. */
static void
write_settings(struct cell *c, struct cell_node *n, bool first)
{
	char *template = g_strdup_printf("%s/deploy/settings.in", c->root);
	char *seeds = g_strdup_printf("%s,%s,%s", c->node[0].control,
	    c->node[1].control, c->node[2].control);
	char *ports =
	    g_strdup_printf("%s,%s", port(c, PORT_PEER), port(c, PORT_METRICS));
	char *text = NULL;

	if (!g_file_get_contents(template, &text, NULL, NULL))
		g_error("no deploy/settings.in");
	text = replace(text, "nodeName", n->name);
	text = replace(text, "zone", "z1");
	text = replace(text, "ip", n->ip);
	text = replace(text, "internalPorts", ports);
	text = replace(text, "internalPorts.1", port(c, PORT_METRICS));
	text = replace(text, "seeds", seeds);
	text = replace(text, "bootstrap", first ? "true" : "false");
	text = replace(text, "dataDir", n->data == NULL ? "" : n->data);
	text = replace(text, "recommendation", "");
	text = replace(text, "listen.front", n->front);
	text = replace(text, "listen.ready", n->ready);
	text = replace(text, "listen.control", n->control);
	text = replace(text, "bounds.graceS", "6");
	text = replace(text, "bounds.maxHoldMs", "6000");
	text = replace(text, "farFactor", "2");
	text = replace(text, "bounds.farFactor", "2");
	text = replace(text, "bounds.status_s", "120");
	text = replace(text, "bounds.drainMs", "2000");
	if (!g_file_set_contents(n->settings, text, -1, NULL))
		g_error("can't write the settings");
	g_free(text);
	g_free(ports);
	g_free(seeds);
	g_free(template);
}

static void
start_node(struct cell *c, struct cell_node *n)
{
	GPtrArray *argv = g_ptr_array_new();

	add_arg(argv, "%s/target/platform/bulrushtide-platform", c->root);
	g_setenv("BULRUSHTIDE_SETTINGS", n->settings, TRUE);
	n->proc = proc_new(n->name, c->dir, argv);
	proc_start(n->proc, false);
	g_unsetenv("BULRUSHTIDE_SETTINGS");
}

static void
init_node(struct cell *c, int i)
{
	struct cell_node *n = &c->node[i];
	unsigned pid = (unsigned)getpid();

	n->name = g_strdup_printf("front-z1-%d", i + 1);
	n->ip = g_strdup_printf(
	    "127.%u.%u.%d", 10 + (pid >> 8) % 200, pid & 0xff, i + 1);
	n->settings = g_strdup_printf("%s/%s.conf", c->dir, n->name);
	if (i < c->disks) {
		n->data = g_strdup_printf("%s/data-%d", c->dir, i);
		if (g_mkdir(n->data, 0700) != 0)
			g_error("can't make %s", n->data);
	}
	n->front = g_strdup_printf("%s:%s", n->ip, port(c, PORT_FRONT));
	n->ready = g_strdup_printf("%s:%s", n->ip, port(c, PORT_READY));
	n->control = g_strdup_printf("%s:%s", n->ip, port(c, PORT_CONTROL));
}

static bool
all_ready(struct cell *c)
{
	for (int i = 0; i < c->nodes; i++)
		if (cell_call(c, c->node[i].ready, EVHTTP_REQ_GET, NULL,
			"/bulrushtide/ready", NULL, NULL) != 200)
			return false;
	return true;
}

static bool
start_cell(struct cell *c, const struct cell_conf *conf)
{
	const char *config = conf->config;
	int64_t limit = mono_ms() + READY_LIMIT_MS;

	for (int i = 0; i < c->nodes; i++) {
		write_settings(c, &c->node[i], true);
		start_node(c, &c->node[i]);
	}
	while (!all_ready(c)) {
		if (mono_ms() > limit)
			return false;
		cell_run_for(c, 100);
	}
	/* Three replicas vote by then. */
	cell_run_for(c, 2000);
	while (cell_call(c, c->node[0].control, EVHTTP_REQ_POST, NULL,
		   "/bulrushtide/config/replace", config, NULL) != 200) {
		if (mono_ms() > limit)
			return false;
		cell_run_for(c, 100);
	}
	cell_note(c, "operator: configuration is acknowledged: %s", config);
	return true;
}

void
cell_kill_node(struct cell *c, int i)
{
	cell_note(c, "%s loses power", c->node[i].name);
	kill(c->node[i].proc->pid, SIGKILL);
	(void)proc_wait(c->node[i].proc);
	g_clear_pointer(&c->node[i].proc, proc_free);
}

void
cell_restart_node(struct cell *c, int i)
{
	cell_note(c, "%s starts again", c->node[i].name);
	write_settings(c, &c->node[i], false);
	start_node(c, &c->node[i]);
}

void
cell_wipe_disk(struct cell *c, int i)
{
	cell_note(c, "%s loses its disk", c->node[i].name);
	remove_tree(c->node[i].data);
	if (g_mkdir(c->node[i].data, 0700) != 0)
		g_error("can't make %s", c->node[i].data);
}

int
cell_read_config(struct cell *c, int i, char **document)
{
	int status = cell_call(c, c->node[i].control, EVHTTP_REQ_GET, NULL,
	    "/bulrushtide/config/read", NULL, document);

	cell_note(
	    c, "operator GET config/read at %s -> %d", c->node[i].name, status);
	return status;
}

/* Ends the processes. What else there is ends with this process. */
static void
cell_free(struct cell *c)
{
	const char *keep = g_getenv("KEEP_LOGS");

	for (int i = 0; i < c->nodes; i++)
		if (c->node[i].proc != NULL) {
			kill(c->node[i].proc->pid, SIGKILL);
			(void)proc_wait(c->node[i].proc);
		}
	if (keep != NULL)
		fprintf(stderr, "logs: %s\n", c->dir);
	else
		remove_tree(c->dir);
	fclose(c->record);
}

static struct cell *
cell_new(const char *root, const char *folder, const struct cell_conf *conf)
{
	struct timeval tv = { .tv_usec = TICK_MS * 1000 };
	struct cell *c = g_new0(struct cell, 1);
	char *record = g_strdup_printf("%s/record.txt", folder);

	signal(SIGPIPE, SIG_IGN);
	c->base = event_base_new();
	c->root = g_strdup(root);
	c->nodes = conf->nodes;
	c->disks = conf->disks;
	c->dir = g_dir_make_tmp("review-XXXXXX", NULL);
	c->record = fopen(record, "w");
	g_free(record);
	if (c->dir == NULL || c->record == NULL)
		g_error("can't write the record or the temporary folder");
	c->zero_ms = mono_ms();
	c->task_ms = 1000;
	c->cpu = conf->cpu == 0 ? 32000 : conf->cpu;
	c->ends = g_array_new(FALSE, TRUE, sizeof(struct cell_end));
	c->workers = g_ptr_array_new();
	for (int i = 0; i < c->nodes; i++)
		init_node(c, i);
	c->tick = event_new(c->base, -1, EV_PERSIST, on_tick, c);
	event_add(c->tick, &tv);
	if (!start_cell(c, conf)) {
		cell_note(c, "the cell did not start");
		cell_free(c);
		return NULL;
	}
	for (int i = 0; i < conf->workers; i++)
		(void)cell_add_worker(c, conf->service);
	if (conf->workers > 0)
		cell_run_for(c, 2500); /* heartbeats, first polls */
	return c;
}

char *
cell_log(const struct cell *c, int node)
{
	char *text = NULL;

	if (!g_file_get_contents(c->node[node].proc->log, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

int
cell_main(int argc, char **argv, const struct cell_conf *conf,
    bool (*play)(struct cell *c))
{
	struct cell *c;
	int result;

	if (argc != 3)
		return CASE_NOT_RUN;
	c = cell_new(argv[1], argv[2], conf);
	if (c == NULL)
		return CASE_NOT_RUN;
	if (play(c))
		result = c->broken ? CASE_BROKEN : CASE_HELD;
	else
		result = CASE_NOT_RUN;
	cell_note(c, "result: %s",
	    result == CASE_BROKEN     ? "the rule is broken"
		: result == CASE_HELD ? "the rule held"
				      : "the case could not run");
	cell_free(c);
	return result;
}
