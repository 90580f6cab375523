/* The processes, the proxy and the stand-in workers of a test cell. */
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <jansson.h>

#include "httpd.h"
#include "stepcell.h"

#define HEARTBEAT_MS 500
#define LEASE_MAX_MS 6000 /* that a worker grants */
#define GRACE_S 4 /* of graceful stops */
#define CALL_TIMEOUT_MS 4000
#define PEER_PORT "7998" /* the same on all addresses, as on the platform */
#define READY_PORT "7999"
#define METRICS_PORT "7996"
#define CONTROL_PORT "7997" /* the same on all nodes */
#define LOG_TAIL_BYTES 4000
#define FIRST_MILLICPUS 1000 /* of a task of a job's first step ... */
#define SECOND_MILLICPUS 500 /* ... and of its second */

/* One run on a stand-in worker. */
struct run {
	char *task;
	int64_t number;
	int64_t millicpus;
	int64_t due_ms; /* when it is done */
};

struct cell_worker {
	struct cell *cell;
	char *name;
	char *address;
	char *listen; /* behind the proxy */
	struct httpd *server; /* NULL: crashed */
	int incarnation;
	int64_t restart_ms; /* after a crash */
	bool keeps_name; /* at the next restart */
	int64_t clock_zero_ms; /* mono_ms() at which its clock was 0 */
	int64_t millicpus; /* capacity that it reports ... */
	int64_t former_millicpus; /* ... and the one before it shrank ... */
	int64_t shrunk_ms; /* ... at this time */
	int64_t started_ms;
	int64_t lease_until_ms; /* mono_ms() of this process */
	int64_t fence;
	int64_t last_end_number;
	int64_t excused; /* ends up to this number, see excuse_ends() */
	int64_t heartbeat_seq;
	GArray *runs; /* struct run */
	GPtrArray *ends; /* json_t rows */
	GHashTable *ended; /* task to its highest run that has ended here */
};

const char cell_config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"jobs.example\","
    "\"pathPrefix\":\"/q/\",\"service\":\"desk\",\"timeoutMs\":3000,"
    "\"maxAttempts\":2,\"slackFactor\":2,\"targetLatencyMs\":500}],"
    "\"services\":[{\"name\":\"desk\"}]}";

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct cell *c = arg;

	c->answered = true;
	c->status = status;
	g_free(c->body);
	c->body = g_strndup(body == NULL ? "" : body, len);
	g_free(c->location);
	c->location = g_strdup(
	    c->peer == NULL ? "" : http_peer_header(c->peer, "Location"));
}

static void
run_loop(struct cell *c)
{
	struct timeval tv = { .tv_usec = 10000 };

	event_base_loopexit(c->base, &tv);
	event_base_dispatch(c->base);
}

static void
ignore_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
}

static void worker_listen(struct cell_worker *w);

/* Starts the workers again whose time it is. */
static void
restart_workers(struct cell *c)
{
	for (int i = 0; i < WORKERS; i++) {
		struct cell_worker *w = c->worker[i];

		if (w->server != NULL || mono_ms() < w->restart_ms)
			continue;
		if (!w->keeps_name) {
			g_free(w->name);
			w->name =
			    g_strdup_printf("w%d.%d", i, ++w->incarnation);
		}
		w->keeps_name = false;
		w->started_ms = g_get_real_time() / 1000;
		w->clock_zero_ms = mono_ms();
		w->lease_until_ms = 0;
		w->fence = 0;
		w->last_end_number = w->excused = 0;
		w->heartbeat_seq = 0;
		worker_listen(w);
		c->heartbeat_ms = 0;
	}
}

/* Each worker sends its heartbeat to one process, to another one each time. */
static void
send_heartbeats(struct cell *c)
{
	struct http_peer *peer[WORKERS] = { 0 };

	c->heartbeat_ms = mono_ms();
	for (int i = 0; i < WORKERS; i++) {
		struct cell_worker *w = c->worker[i];
		struct cell_node *n = &c->node[(w->heartbeat_seq + i) % NODES];
		char *path;
		char *body;

		if (w->server == NULL)
			continue;
		path = g_strdup_printf(
		    "/bulrushtide/instances/%s/heartbeat", w->name);
		body = g_strdup_printf(
		    "{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"z\","
		    "\"slots\":8,\"state\":\"ready\",\"capacity\":{\"cpu\":"
		    "%" G_GINT64_FORMAT
		    ",\"memMb\":4096,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
		    "\"born\":%" G_GINT64_FORMAT ",\"seq\":%" G_GINT64_FORMAT
		    "}",
		    w->address, w->millicpus, w->started_ms,
		    ++w->heartbeat_seq);

		peer[i] = http_peer_new(c->base, n->control, NULL);
		http_send(peer[i], EVHTTP_REQ_POST, path, NULL, body,
		    strlen(body), 900, ignore_answer, c);
		g_free(path);
		g_free(body);
	}
	for (int i = 0; i < 4; i++)
		run_loop(c);
	for (int i = 0; i < WORKERS; i++)
		http_peer_free(peer[i]);
}

void
cell_run_loop(struct cell *c)
{
	run_loop(c);
	restart_workers(c);
	if (mono_ms() - c->heartbeat_ms > HEARTBEAT_MS)
		send_heartbeats(c);
}

/* Callers reuse one connection per process until the process closes it. */
static struct http_peer *
caller_connection(struct cell *c, const char *address)
{
	for (int i = 0; i < NODES; i++) {
		struct cell_node *n = &c->node[i];

		if (strcmp(n->callers, address) != 0)
			continue;
		if (n->caller_conn == NULL)
			n->caller_conn = http_peer_new(c->base, address, NULL);
		return n->caller_conn;
	}
	return NULL;
}

void
cell_send(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	const char *const headers[] = { "Host", "jobs.example",
		c->key == NULL ? NULL : "Bulrushtide-Credential", c->key,
		NULL };
	struct http_peer *conn = caller_connection(c, address);

	c->answered = false;
	c->status = 0;
	c->peer_kept = conn != NULL;
	c->peer = conn != NULL ? conn : http_peer_new(c->base, address, NULL);
	http_send(c->peer, method, path, headers, body,
	    body == NULL ? 0 : strlen(body), CALL_TIMEOUT_MS, on_answer, c);
}

int
cell_await_answer(struct cell *c)
{
	int64_t limit = mono_ms() + CALL_TIMEOUT_MS + 1000;
	struct http_peer *p;

	while (!c->answered && mono_ms() < limit)
		cell_run_loop(c);
	p = g_steal_pointer(&c->peer);
	if (!c->peer_kept)
		http_peer_free(p);
	return c->status;
}

int
cell_call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	cell_send(c, address, method, path, body);
	return cell_await_answer(c);
}

int
cell_configure(struct cell *c, int i, const char *config)
{
	return cell_call(c, c->node[i].control, EVHTTP_REQ_POST,
	    "/bulrushtide/config/replace", config);
}

char *
cell_make_config(int version, int queues)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < queues; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"q%d\",\"host\":\"jobs.example\","
		    "\"pathPrefix\":\"/q%d/\",\"service\":\"desk\","
		    "\"timeoutMs\":3000,\"maxAttempts\":2,"
		    "\"slackFactor\":2,\"targetLatencyMs\":500}",
		    i == 0 ? "" : ",", i, i);
	g_string_append(text, "],\"services\":[{\"name\":\"desk\"}]}");
	return g_string_free(text, FALSE);
}

/* --- the stand-in workers --- */

static struct run *
find_run(const struct cell_worker *w, const char *task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *r = &g_array_index(w->runs, struct run, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
end_run(struct cell_worker *w, guint at, const char *outcome)
{
	struct run *r = &g_array_index(w->runs, struct run, at);

	g_ptr_array_add(w->ends,
	    json_pack("[IsIss]", (json_int_t)++w->last_end_number, r->task,
		(json_int_t)r->number, outcome, ""));
	g_hash_table_insert(w->ended, r->task, GINT_TO_POINTER((int)r->number));
	g_array_remove_index(w->runs, at);
}

/* Reports whether that run or a later one of the task has ended here. */
static bool
has_ended(const struct cell_worker *w, const char *task, int64_t number)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(w->ended, task)) >= number;
}

/* The lease has expired: tasks that were done here may run again, as their ends
 * weren't acknowledged before. */
static void
excuse_ends(struct cell_worker *w)
{
	for (guint i = 0; i < w->ends->len; i++) {
		const json_t *end = w->ends->pdata[i];
		const char *task = json_string_value(json_array_get(end, 1));
		const char *how = json_string_value(json_array_get(end, 3));

		if (json_integer_value(json_array_get(end, 0)) <= w->excused ||
		    strcmp(how, "done") != 0)
			continue;
		g_hash_table_add(w->cell->excused, g_strdup(task));
	}
	w->excused = w->last_end_number;
}

/* Ends runs whose time is over, and all runs once the lease has expired. */
static void
end_due_runs(struct cell_worker *w)
{
	int64_t now = mono_ms();
	GHashTable *done = w->cell->done;

	for (guint i = w->runs->len; i > 0; i--) {
		struct run *r = &g_array_index(w->runs, struct run, i - 1);
		int times;

		if (r->due_ms > MIN(now, w->lease_until_ms)) {
			if (now >= w->lease_until_ms)
				end_run(w, i - 1, "lapsed");
			continue;
		}
		times = GPOINTER_TO_INT(g_hash_table_lookup(done, r->task));
		if (!g_hash_table_remove(w->cell->excused, r->task))
			times++;
		g_hash_table_insert(
		    done, g_strdup(r->task), GINT_TO_POINTER(times));
		end_run(w, i - 1, "done");
	}
	if (now >= w->lease_until_ms)
		excuse_ends(w);
}

static void
answer(struct http_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, 0);

	http_reply(req, status, g_strdup(text), 0);
	free(text);
	json_decref(o);
}

static json_int_t
clock_ms(const struct cell_worker *w)
{
	return mono_ms() - w->clock_zero_ms;
}

static void
answer_clock(const struct cell_worker *w, struct http_request *req)
{
	answer(req, 200, json_pack("{sI}", "currentTimeMs", clock_ms(w)));
}

static void
refuse(
    const struct cell_worker *w, struct http_request *req, const char *reason)
{
	answer(req, 409,
	    json_pack(
		"{sIss}", "currentTimeMs", clock_ms(w), "reason", reason));
}

/* Reads an order; refuses it and returns NULL if it is for an earlier
 * incarnation or its fence is too low. */
static json_t *
read_order(struct cell_worker *w, struct http_request *req)
{
	json_t *o;
	json_t *deadline;
	int64_t fence;

	if (g_strcmp0(http_header(req, "Bulrushtide-Expected-Instance"),
		w->name) != 0) {
		http_reply(req, 421, g_strdup("{}"), 0);
		return NULL;
	}
	o = json_loadb(req->body, req->body_len, 0, NULL);
	deadline = json_object_get(o, "deadlineMs");
	g_assert_nonnull(o);
	end_due_runs(w);
	fence = json_integer_value(json_object_get(o, "fencingToken"));
	if (fence < w->fence) {
		json_decref(o);
		refuse(w, req, "fence");
		return NULL;
	}
	w->fence = fence;
	if (deadline != NULL)
		w->lease_until_ms = MAX(w->lease_until_ms,
		    mono_ms() +
			MIN(json_integer_value(deadline) - clock_ms(w),
			    LEASE_MAX_MS));
	return o;
}

static void
clear_runs(struct cell_worker *w)
{
	for (guint i = 0; i < w->runs->len; i++)
		g_free(g_array_index(w->runs, struct run, i).task);
	g_array_set_size(w->runs, 0);
}

/* Ends that were not acknowledged may be unknown: their tasks may run again. */
static void
forget_ends(struct cell_worker *w)
{
	for (guint i = 0; i < w->ends->len; i++) {
		const char *task =
		    json_string_value(json_array_get(w->ends->pdata[i], 1));

		g_hash_table_remove(w->cell->done, task);
		g_hash_table_remove(w->cell->excused, task);
	}
	g_ptr_array_set_size(w->ends, 0);
	g_hash_table_remove_all(w->ended);
}

/* Counts a crash under each task that runs on the worker. */
static void
count_crashes(struct cell_worker *w)
{
	struct cell *c = w->cell;

	for (guint i = 0; i < w->runs->len; i++) {
		const char *task = g_array_index(w->runs, struct run, i).task;
		int crashes = 1 +
		    GPOINTER_TO_INT(
			g_hash_table_lookup(c->crashed_under, task));

		g_hash_table_insert(
		    c->crashed_under, g_strdup(task), GINT_TO_POINTER(crashes));
		if (crashes >= CRASHES_GIVEN_UP)
			g_hash_table_add(c->may_fail,
			    g_strdup_printf(
				"/q/%.*s", (int)strcspn(task, "."), task));
	}
}

static void
crash(evutil_socket_t fd, short what, void *arg)
{
	struct cell_worker *w = arg;

	if (w->server == NULL)
		return;
	httpd_free(g_steal_pointer(&w->server));
	w->cell->crashes++;
	count_crashes(w);
	clear_runs(w);
	forget_ends(w);
	w->restart_ms = mono_ms() + WORKER_DOWN_MIN_MS +
	    (int64_t)rng_below(&w->cell->rng, WORKER_DOWN_EXTRA_MS);
}

void
cell_restart_worker(struct cell *c, int i, int64_t down_ms)
{
	struct cell_worker *w = c->worker[i];

	if (w->server == NULL)
		return;
	crash(-1, 0, w);
	w->keeps_name = true;
	w->restart_ms = mono_ms() + down_ms;
}

/* Crashes the worker, once the callback of its server has returned. */
static void
start_deadly(struct cell_worker *w, const char *task)
{
	GHashTable *deadly = w->cell->deadly;
	struct timeval now = { 0 };
	int starts = 1 + GPOINTER_TO_INT(g_hash_table_lookup(deadly, task));

	if (starts > DEADLY_STARTS_MAX)
		g_error("task %s crashes workers and starts again on %s", task,
		    w->name);
	g_hash_table_insert(deadly, g_strdup(task), GINT_TO_POINTER(starts));
	event_base_once(w->cell->base, -1, EV_TIMEOUT, crash, w, &now);
}

/* What a task takes, by its step: see cell_submit(). */
static int64_t
task_millicpus(const char *task)
{
	char **part = g_strsplit(task, ".", -1);
	int64_t millicpus =
	    strcmp(part[2], "0") == 0 ? FIRST_MILLICPUS : SECOND_MILLICPUS;

	g_strfreev(part);
	return millicpus;
}

static void
check_capacity(const struct cell_worker *w, const struct run *r)
{
	int64_t sum = r->millicpus;
	int64_t limit = mono_ms() - w->shrunk_ms < CAPACITY_GRACE_MS
	    ? MAX(w->millicpus, w->former_millicpus)
	    : w->millicpus;

	for (guint i = 0; i < w->runs->len; i++)
		sum += g_array_index(w->runs, struct run, i).millicpus;
	if (sum > limit)
		g_error("task %s brings %s to %" G_GINT64_FORMAT
			" of %" G_GINT64_FORMAT " millicpus",
		    r->task, w->name, sum, limit);
}

/* A task that starts here must not run elsewhere or have ended as done. */
static void
check_start(const struct cell_worker *w, const char *task)
{
	for (int i = 0; i < WORKERS; i++) {
		struct cell_worker *other = w->cell->worker[i];

		end_due_runs(other);
		if (other != w && find_run(other, task) != NULL)
			g_error("task %s runs on %s and starts on %s", task,
			    other->name, w->name);
	}
	if (g_hash_table_contains(w->cell->done, task) &&
	    !g_hash_table_contains(w->cell->excused, task))
		g_error("task %s has ended as done and starts on %s", task,
		    w->name);
}

static void
on_start(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	const char *task;
	struct run r;

	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	r.number = json_integer_value(json_object_get(o, "run"));
	if (has_ended(w, task, r.number)) {
		json_decref(o);
		refuse(w, req, "old");
		return;
	}
	if (find_run(w, task) == NULL) {
		check_start(w, task);
		r.task = g_strdup(task);
		r.millicpus = task_millicpus(task);
		r.due_ms = mono_ms() +
		    (strcmp(json_string_value(json_object_get(o, "spec")),
			 "long") == 0
			    ? LONG_TASK_MS
			    : TASK_MS);
		check_capacity(w, &r);
		g_array_append_val(w->runs, r);
		if (strcmp(json_string_value(json_object_get(o, "spec")),
			"deadly") == 0)
			start_deadly(w, task);
	}
	json_decref(o);
	answer_clock(w, req);
}

static void
on_stop(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	const char *task;
	int64_t number;

	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	number = json_integer_value(json_object_get(o, "run"));
	/* A start order that arrives after its stop order must be refused. */
	if (find_run(w, task) == NULL && !has_ended(w, task, number))
		g_hash_table_insert(
		    w->ended, g_strdup(task), GINT_TO_POINTER((int)number));
	for (guint i = w->runs->len; i > 0; i--)
		if (strcmp(g_array_index(w->runs, struct run, i - 1).task,
			task) == 0)
			end_run(w, i - 1, "stopped");
	json_decref(o);
	answer_clock(w, req);
}

static void
on_poll(void *arg, struct http_request *req)
{
	struct cell_worker *w = arg;
	json_t *o = read_order(w, req);
	json_t *running;
	json_t *ended;
	json_int_t acked;

	if (o == NULL)
		return;
	running = json_array();
	ended = json_array();
	acked = json_integer_value(json_object_get(o, "ackCursor"));
	json_decref(o);
	while (w->ends->len > 0 &&
	    json_integer_value(json_array_get(w->ends->pdata[0], 0)) <= acked)
		g_ptr_array_remove_index(w->ends, 0);
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *r = &g_array_index(w->runs, struct run, i);

		json_array_append_new(running,
		    json_pack("[sIsi]", r->task, (json_int_t)r->number, "",
			(int)(mono_ms() % 90)));
	}
	for (guint i = 0; i < w->ends->len; i++)
		json_array_append(ended, w->ends->pdata[i]);
	answer(req, 200,
	    json_pack("{sIsIsoso}", "currentTimeMs", clock_ms(w), "born",
		(json_int_t)w->started_ms, "running", running, "endedRuns",
		ended));
}

static const struct http_route worker_routes[] = {
	{ EVHTTP_REQ_POST, "/bulrushtide/run-start", on_start },
	{ EVHTTP_REQ_POST, "/bulrushtide/run-stop", on_stop },
	{ EVHTTP_REQ_POST, "/bulrushtide/hold", on_poll },
};

static void
worker_listen(struct cell_worker *w)
{
	GError *err = NULL;

	w->server = httpd_new(w->cell->base, w->listen, worker_routes,
	    G_N_ELEMENTS(worker_routes), w, &err);
	g_assert_no_error(err);
}

static struct cell_worker *
worker_new(struct cell *c, int i)
{
	struct cell_worker *w = g_new0(struct cell_worker, 1);

	w->cell = c;
	w->millicpus = WORKER_MILLICPUS;
	w->name = g_strdup_printf("w%d", i);
	w->address = free_address(c->node[i].ip);
	w->started_ms = g_get_real_time() / 1000;
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	w->ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	w->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->listen = free_address(c->node[i].ip);
	worker_listen(w);
	return w;
}

static void
worker_free(struct cell_worker *w)
{
	if (w->server != NULL)
		httpd_free(w->server);
	clear_runs(w);
	g_array_unref(w->runs);
	g_ptr_array_unref(w->ends);
	g_hash_table_unref(w->ended);
	g_free(w->name);
	g_free(w->address);
	g_free(w->listen);
	g_free(w);
}

/* --- the processes --- */

void
cell_write_settings(struct cell *c, int i, bool first, int seed)
{
	struct cell_node *n = &c->node[i];
	char *text = g_strdup_printf(
	    "[node]\nname=n%d\ndata-center=z\nip=%s\npeer-ports=%s\n"
	    "peer-listen=%s\nseeds=%s:1,%s:1\nfirst-start=%s\ndata-dir=%s\n"
	    "callers=%s\ncontrol=%s\nready=%s:%s\nmetrics=%s\ngrace-s=%d\n"
	    "lease-max-ms=" G_STRINGIFY(LEASE_MAX_MS) "\nretain-s=60\n"
						      "policy-service=%s\n",
	    i, n->ip, PEER_PORT, n->listen, c->node[0].ip, c->node[seed].ip,
	    first ? "true" : "false", n->data == NULL ? "" : n->data,
	    n->callers, n->control, n->ip, READY_PORT, n->metrics, c->grace_s,
	    c->policy == NULL ? "" : c->policy);

	g_assert_true(g_file_set_contents(n->settings, text, -1, NULL));
	g_free(text);
}

void
cell_run_program(struct cell *c, int i)
{
	struct cell_node *n = &c->node[i];
	GPtrArray *argv = g_ptr_array_new();
	char *dir = programs_dir();
	char *name = g_strdup_printf("n%d", i);

	add_arg(argv, "%s/../platform/bulrushtide-platform", dir);
	add_arg(argv, "--settings=%s", n->settings);
	add_arg(argv, "--lost-vms=1");
	n->proc = proc_new(name, c->dir, argv);
	n->proc->file_max = n->file_max;
	proc_start(n->proc, false);
	g_free(name);
	g_free(dir);
}

int
cell_start_held(struct cell *c, int i, char **settings)
{
	struct cell_node *n = &c->node[i];
	int fd;

	cell_write_settings(c, i, false, 1);
	g_assert_true(g_file_get_contents(n->settings, settings, NULL, NULL));
	g_assert_cmpint(unlink(n->settings), ==, 0);
	g_assert_cmpint(mkfifo(n->settings, 0600), ==, 0);
	cell_run_program(c, i);
	/* Succeeds once the program has opened the FIFO. */
	CELL_AWAIT(c,
	    (fd = open(n->settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0);
	return fd;
}

void
cell_release_start(struct cell *c, int i, int fd, char *settings)
{
	/* Replaces the FIFO by a file. */
	cell_write_settings(c, i, false, 1);
	g_assert_cmpint(write(fd, settings, strlen(settings)), ==,
	    (ssize_t)strlen(settings));
	close(fd);
	g_free(settings);
}

void
cell_start_node(struct cell *c, int i, bool first)
{
	cell_write_settings(c, i, first, NODES - 1);
	cell_run_program(c, i);
}

/* Starts the proxy on the announced addresses of processes and workers. */
static void
start_proxy(struct cell *c)
{
	GPtrArray *argv = g_ptr_array_new();
	char *dir = programs_dir();

	add_arg(argv, "%s/faultproxy", dir);
	for (int i = 0; i < NODES; i++)
		add_arg(argv, "--pair=n%d@%s:%s=%s", i, c->node[i].ip,
		    PEER_PORT, c->node[i].listen);
	for (int i = 0; i < WORKERS; i++)
		add_arg(argv, "--pair=w%d@%s=%s", i, c->worker[i]->address,
		    c->worker[i]->listen);
	c->proxy = proc_new("proxy", c->dir, argv);
	proc_start(c->proxy, true);
	g_free(dir);
}

void
cell_proxy_command(struct cell *c, const char *format, ...)
{
	va_list ap;
	char *line;

	va_start(ap, format);
	line = g_strdup_vprintf(format, ap);
	va_end(ap);
	proc_command(c->proxy, line);
	g_free(line);
}

void
cell_kill_node(struct cell *c, int i)
{
	kill(c->node[i].proc->pid, SIGKILL);
	(void)proc_wait(c->node[i].proc);
	g_clear_pointer(&c->node[i].proc, proc_free);
}

bool
cell_node_ended(struct cell *c, int i, int *status)
{
	if (!proc_ended(c->node[i].proc, status))
		return false;
	g_clear_pointer(&c->node[i].proc, proc_free);
	return true;
}

void
cell_wipe_disk(struct cell *c, int i)
{
	remove_tree(c->node[i].data);
	g_assert_cmpint(g_mkdir(c->node[i].data, 0700), ==, 0);
}

static int
call_ready(struct cell *c, int i)
{
	char *address = g_strdup_printf("%s:%s", c->node[i].ip, READY_PORT);
	int status =
	    cell_call(c, address, EVHTTP_REQ_GET, "/bulrushtide/ready", NULL);

	g_free(address);
	return status;
}

bool
cell_node_ready(struct cell *c, int i)
{
	return call_ready(c, i) == 200;
}

bool
cell_node_answers(struct cell *c, int i)
{
	return call_ready(c, i) != 0;
}

/* The last LOG_TAIL_BYTES of a text. */
static const char *
tail(const char *text, gsize len)
{
	return len <= LOG_TAIL_BYTES ? text : text + len - LOG_TAIL_BYTES;
}

static const char *
process_state(const struct proc *p)
{
	siginfo_t info = { 0 };

	if (p == NULL)
		return "not started";
	if (waitid(P_PID, (id_t)p->pid, &info, WEXITED | WNOHANG | WNOWAIT) !=
		0 ||
	    info.si_pid == 0)
		return "running";
	return info.si_code == CLD_EXITED ? "exited" : "ended by a signal";
}

char *
cell_read_log(const struct cell *c, int i)
{
	char *path = g_strdup_printf("%s/n%d.log", c->dir, i);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("no log");
	g_free(path);
	return text;
}

void
cell_print_logs(struct cell *c)
{
	for (int i = 0; i < NODES; i++) {
		char *text = cell_read_log(c, i);

		printf("--- n%d: %s\n%s\n", i, process_state(c->node[i].proc),
		    tail(text, strlen(text)));
		g_free(text);
	}
	(void)fflush(stdout);
}

void
cell_await_failed(
    struct cell *c, const char *condition, const char *file, int line)
{
	printf("%s:%d: not within %d ms: %s\n", file, line, AWAIT_LIMIT_MS,
	    condition);
	cell_print_logs(c);
	abort();
}

/* A separate loopback address for each process. */
static char *
node_ip(int i)
{
	unsigned pid = (unsigned)getpid();

	return g_strdup_printf(
	    "127.%d.%u.%u", 251 + i, pid >> 8 & 0xff, 1 + (pid & 0xff) % 254);
}

struct cell *
cell_new_with(int grace_s, const char *policy)
{
	struct cell *c = g_new0(struct cell, 1);

	c->grace_s = grace_s;
	c->policy = policy;
	c->base = event_base_new();
	c->dir = g_dir_make_tmp("stepcell-XXXXXX", NULL);
	c->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->excused =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->deadly =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->may_fail =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->crashed_under =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < NODES; i++) {
		struct cell_node *n = &c->node[i];

		n->ip = node_ip(i);
		n->callers = free_address(n->ip);
		n->control = g_strdup_printf("%s:%s", n->ip, CONTROL_PORT);
		n->metrics = g_strdup_printf("%s:%s", n->ip, METRICS_PORT);
		n->listen = free_address(n->ip);
		n->settings = g_strdup_printf("%s/n%d.conf", c->dir, i);
		if (i >= DISKS)
			continue;
		n->data = g_strdup_printf("%s/data%d", c->dir, i);
		g_assert_cmpint(g_mkdir(n->data, 0700), ==, 0);
	}
	for (int i = 0; i < WORKERS; i++)
		c->worker[i] = worker_new(c, i);
	start_proxy(c);
	for (int i = 0; i < NODES; i++)
		cell_start_node(c, i, true);
	for (int i = 0; i < NODES; i++)
		CELL_AWAIT(c, cell_node_ready(c, i));
	CELL_AWAIT(c, cell_configure(c, 3, cell_config) == 200);
	return c;
}

struct cell *
cell_new(void)
{
	return cell_new_with(GRACE_S, NULL);
}

void
cell_free(struct cell *c)
{
	for (int i = 0; i < NODES; i++) {
		struct cell_node *n = &c->node[i];

		if (n->proc != NULL)
			cell_kill_node(c, i);
		http_peer_free(n->caller_conn);
		g_free(n->listen);
		g_free(n->ip);
		g_free(n->settings);
		g_free(n->data);
		g_free(n->callers);
		g_free(n->control);
		g_free(n->metrics);
	}
	proc_free(c->proxy);
	for (int i = 0; i < WORKERS; i++)
		worker_free(c->worker[i]);
	run_loop(c);
	event_base_free(c->base);
	g_hash_table_unref(c->done);
	g_hash_table_unref(c->excused);
	g_hash_table_unref(c->deadly);
	g_hash_table_unref(c->may_fail);
	g_hash_table_unref(c->crashed_under);
	remove_tree(c->dir);
	g_free(c->dir);
	g_free(c->body);
	g_free(c->location);
	g_free(c);
}

char *
cell_job_body(const char *spec)
{
	return g_strdup_printf(
	    "{\"spec\":\"%s\",\"steps\":[{\"count\":2,\"cpu\":%d,"
	    "\"estimatedMs\":300},{\"count\":1,\"cpu\":%d,"
	    "\"after\":[0],\"estimatedMs\":300}]}",
	    spec, FIRST_MILLICPUS, SECOND_MILLICPUS);
}

static bool
submit(struct cell *c, int i, const char *path, const char *spec)
{
	char *body = cell_job_body(spec);
	bool accepted = cell_call(c, c->node[i].callers, EVHTTP_REQ_POST, path,
			    body) == 200;

	g_free(body);
	return accepted;
}

bool
cell_submit(struct cell *c, int i, const char *path)
{
	return submit(c, i, path, "w");
}

bool
cell_submit_deadly(struct cell *c, int i, const char *path)
{
	return submit(c, i, path, "deadly");
}

bool
cell_submit_long(struct cell *c, int i, const char *path)
{
	return submit(c, i, path, "long");
}

void
cell_set_millicpus(struct cell *c, int i, int64_t millicpus)
{
	struct cell_worker *w = c->worker[i];

	if (millicpus < w->millicpus) {
		w->former_millicpus = w->millicpus;
		w->shrunk_ms = mono_ms();
	}
	w->millicpus = millicpus;
}

bool
cell_state_is(struct cell *c, int i, const char *path, const char *state)
{
	char *want = g_strdup_printf("{\"state\":\"%s\"}", state);
	bool same = cell_call(c, c->node[i].callers, EVHTTP_REQ_GET, path,
			NULL) == 200 &&
	    strcmp(c->body, want) == 0;

	g_free(want);
	return same;
}

void
cell_assert_done_once(struct cell *c, guint tasks)
{
	GHashTableIter iter;
	gpointer value;

	g_assert_cmpuint(g_hash_table_size(c->done), ==, tasks);
	g_hash_table_iter_init(&iter, c->done);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_assert_cmpint(GPOINTER_TO_INT(value), ==, 1);
}
