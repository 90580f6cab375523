/*
 * Real processes of a cell that finds itself through seeds, on the platform's
 * protocol, with stand-in workers in the test: the whole path, a lost leader,
 * a lost disk, a graceful stop.
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <jansson.h>

#include "httpd.h"
#include "proc.h"

#define NODES 4 /* the last one has no disk */
#define DISKS 3
#define AWAIT_LIMIT_MS 60000 /* a fault, not a speed */
#define WORK_MS 300

struct node {
	char *ip;
	char *settings;
	char *data; /* NULL: no disk */
	char *callers;
	char *control;
	struct proc *proc;
};

/* One run on the stand-in worker. */
struct run {
	char *task;
	int64_t number;
	int64_t due_ms;
};

struct cell {
	struct event_base *base;
	char *dir;
	char *port; /* for the processes' own links */
	struct node node[NODES];
	struct httpd *worker;
	char *worker_address;
	int64_t born_ms;
	int64_t fence;
	int64_t last_end;
	GArray *runs; /* struct run */
	GPtrArray *ends; /* json_t rows */
	GHashTable *done; /* task to how often it has ended as done */
	int64_t beat_ms;
	int64_t seq;
	int status; /* of the last answer */
	char *body;
	bool answered;
};

static void
turn(struct cell *c)
{
	struct timeval tv = { .tv_usec = 10000 };

	event_base_loopexit(c->base, &tv);
	event_base_dispatch(c->base);
}

#define AWAIT(c, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			turn(c);                              \
			beat(c);                              \
		}                                             \
	} while (0)

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct cell *c = arg;

	c->answered = true;
	c->status = status;
	g_free(c->body);
	c->body = g_strndup(body == NULL ? "" : body, len);
}

static void
on_nothing(void *arg, int status, const void *body, size_t len, const char *why)
{
}

/* The worker speaks of itself to every process now and then. */
static void
beat(struct cell *c)
{
	char *body;

	if (mono_ms() - c->beat_ms < 500)
		return;
	c->beat_ms = mono_ms();
	body = g_strdup_printf("{\"service\":\"desk\",\"address\":\"%s\","
			       "\"zone\":\"z\",\"slots\":8,\"state\":\"ready\","
			       "\"capacity\":{\"cpu\":8000,\"memMb\":4096,"
			       "\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
			       "\"born\":%" G_GINT64_FORMAT
			       ",\"seq\":%" G_GINT64_FORMAT "}",
	    c->worker_address, c->born_ms, ++c->seq);
	for (int i = 0; i < NODES; i++) {
		struct http_peer *p =
		    http_peer_new(c->base, c->node[i].control, NULL);

		http_send(p, EVHTTP_REQ_POST,
		    "/bulrushtide/instances/w1/heartbeat", NULL, body,
		    strlen(body), 900, on_nothing, c);
		turn(c);
		turn(c);
		http_peer_free(p);
	}
	g_free(body);
}

static int
call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body)
{
	static const char *const headers[] = { "Host", "jobs.example", NULL };
	struct http_peer *p = http_peer_new(c->base, address, NULL);
	int64_t limit = mono_ms() + 5000;

	c->answered = false;
	http_send(p, method, path, headers, body,
	    body == NULL ? 0 : strlen(body), 4000, on_answer, c);
	while (!c->answered && mono_ms() < limit)
		turn(c);
	http_peer_free(p);
	return c->status;
}

/* --- the stand-in worker --- */

static struct run *
run_of(struct cell *c, const char *task)
{
	for (guint i = 0; i < c->runs->len; i++) {
		struct run *r = &g_array_index(c->runs, struct run, i);

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static void
end_due(struct cell *c)
{
	for (guint i = c->runs->len; i > 0; i--) {
		struct run *r = &g_array_index(c->runs, struct run, i - 1);
		int done;

		if (r->due_ms > mono_ms())
			continue;
		done = GPOINTER_TO_INT(g_hash_table_lookup(c->done, r->task));
		g_hash_table_insert(
		    c->done, g_strdup(r->task), GINT_TO_POINTER(done + 1));
		g_ptr_array_add(c->ends,
		    json_pack("[IsIss]", (json_int_t)++c->last_end, r->task,
			(json_int_t)r->number, "done", ""));
		g_free(r->task);
		g_array_remove_index(c->runs, i - 1);
	}
}

static void
answer(struct http_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, 0);

	http_reply(req, status, g_strdup(text), 0);
	free(text);
	json_decref(o);
}

static json_t *
order(struct cell *c, struct http_request *req)
{
	json_t *o = json_loadb(req->body, req->body_len, 0, NULL);
	int64_t fence;

	g_assert_nonnull(o);
	fence = json_integer_value(json_object_get(o, "fencingToken"));
	if (fence >= c->fence) {
		c->fence = fence;
		return o;
	}
	json_decref(o);
	answer(req, 409,
	    json_pack("{sIss}", "currentTimeMs", (json_int_t)mono_ms(),
		"reason", "fence"));
	return NULL;
}

static void
on_start(void *arg, struct http_request *req)
{
	struct cell *c = arg;
	json_t *o = order(c, req);
	const char *task;
	struct run r;

	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	if (run_of(c, task) == NULL) {
		r.task = g_strdup(task);
		r.number = json_integer_value(json_object_get(o, "run"));
		r.due_ms = mono_ms() + WORK_MS;
		g_array_append_val(c->runs, r);
	}
	json_decref(o);
	answer(req, 200,
	    json_pack("{sI}", "currentTimeMs", (json_int_t)mono_ms()));
}

static void
on_stop(void *arg, struct http_request *req)
{
	json_t *o = order(arg, req);

	if (o == NULL)
		return;
	json_decref(o);
	answer(req, 200,
	    json_pack("{sI}", "currentTimeMs", (json_int_t)mono_ms()));
}

static void
on_look(void *arg, struct http_request *req)
{
	struct cell *c = arg;
	json_t *o = order(c, req);
	json_t *running = json_array();
	json_t *ended = json_array();
	json_int_t taken;

	if (o == NULL) {
		json_decref(running);
		json_decref(ended);
		return;
	}
	end_due(c);
	taken = json_integer_value(json_object_get(o, "ackCursor"));
	json_decref(o);
	while (c->ends->len > 0 &&
	    json_integer_value(json_array_get(c->ends->pdata[0], 0)) <= taken)
		g_ptr_array_remove_index(c->ends, 0);
	for (guint i = 0; i < c->runs->len; i++) {
		struct run *r = &g_array_index(c->runs, struct run, i);

		json_array_append_new(running,
		    json_pack("[sIsi]", r->task, (json_int_t)r->number, "",
			(int)(mono_ms() % 90)));
	}
	for (guint i = 0; i < c->ends->len; i++)
		json_array_append(ended, c->ends->pdata[i]);
	answer(req, 200,
	    json_pack("{sIsIsoso}", "currentTimeMs", (json_int_t)mono_ms(),
		"born", (json_int_t)c->born_ms, "running", running, "endedRuns",
		ended));
}

static const struct http_route worker_routes[] = {
	{ EVHTTP_REQ_POST, "/bulrushtide/run-start", on_start },
	{ EVHTTP_REQ_POST, "/bulrushtide/run-stop", on_stop },
	{ EVHTTP_REQ_POST, "/bulrushtide/hold", on_look },
};

/* --- the cell --- */

static void
node_start(struct cell *c, int i, bool first)
{
	struct node *n = &c->node[i];
	GPtrArray *argv = g_ptr_array_new();
	char *dir = programs_dir();
	char *name = g_strdup_printf("n%d", i);
	char *text = g_strdup_printf(
	    "[node]\nname=%s\ndata-center=z\nip=%s\npeer-ports=%s\n"
	    "seeds=%s:1,%s:1\nfirst-start=%s\ndata-dir=%s\n"
	    "callers=%s\ncontrol=%s\nready=%s:7999\ngrace-s=4\n"
	    "lease-max-ms=6000\nretain-s=60\n",
	    name, n->ip, c->port, c->node[0].ip, c->node[NODES - 1].ip,
	    first ? "true" : "false", n->data == NULL ? "" : n->data,
	    n->callers, n->control, n->ip);

	g_assert_true(g_file_set_contents(n->settings, text, -1, NULL));
	add_arg(argv, "%s/../platform/bulrushtide-platform", dir);
	add_arg(argv, "--settings=%s", n->settings);
	n->proc = proc_new(name, c->dir, argv);
	proc_start(n->proc, false);
	g_free(name);
	g_free(dir);
	g_free(text);
}

static void
node_kill(struct cell *c, int i)
{
	kill(c->node[i].proc->pid, SIGKILL);
	(void)proc_wait(c->node[i].proc);
	g_clear_pointer(&c->node[i].proc, proc_free);
}

static bool
ready(struct cell *c, int i)
{
	char *address = g_strdup_printf("%s:7999", c->node[i].ip);
	int status =
	    call(c, address, EVHTTP_REQ_GET, "/bulrushtide/ready", NULL);

	g_free(address);
	return status == 200;
}

#define CONFIG(version)                                                  \
	"{\"version\":" version ",\"routes\":[{\"name\":\"q\",\"host\":" \
	"\"jobs.example\",\"pathPrefix\":\"/q/\",\"service\":\"desk\","  \
	"\"timeoutMs\":3000,\"maxAttempts\":2,\"slackFactor\":2,"        \
	"\"targetLatencyMs\":500}],\"services\":[{\"name\":\"desk\"}]}"

/* An address of its own for each process; the peer port is the same on all. */
static char *
node_ip(int i)
{
	unsigned pid = (unsigned)getpid();

	return g_strdup_printf(
	    "127.%d.%u.%u", 251 + i, pid >> 8 & 0xff, 1 + (pid & 0xff) % 254);
}

static struct cell *
cell_new(void)
{
	struct cell *c = g_new0(struct cell, 1);
	GError *err = NULL;

	c->base = event_base_new();
	c->dir = g_dir_make_tmp("cellnode-test-XXXXXX", NULL);
	c->born_ms = g_get_real_time() / 1000;
	c->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	c->ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	c->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < NODES; i++) {
		struct node *n = &c->node[i];

		n->ip = node_ip(i);
		n->callers = free_address(n->ip);
		n->control = free_address(n->ip);
		n->settings = g_strdup_printf("%s/n%d.conf", c->dir, i);
		if (i >= DISKS)
			continue;
		n->data = g_strdup_printf("%s/data%d", c->dir, i);
		g_assert_cmpint(g_mkdir(n->data, 0700), ==, 0);
	}
	/* One port that is free on every address, as on the platform. */
	c->port = g_strdup("7998");
	c->worker_address = free_address(c->node[0].ip);
	c->worker = httpd_new(c->base, c->worker_address, worker_routes,
	    G_N_ELEMENTS(worker_routes), c, &err);
	g_assert_no_error(err);
	for (int i = 0; i < NODES; i++)
		node_start(c, i, true);
	for (int i = 0; i < NODES; i++)
		AWAIT(c, ready(c, i));
	AWAIT(c,
	    call(c, c->node[3].control, EVHTTP_REQ_POST,
		"/bulrushtide/config/replace", CONFIG("7")) == 200);
	return c;
}

static void
cell_free(struct cell *c)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &c->node[i];

		if (n->proc != NULL)
			node_kill(c, i);
		g_free(n->ip);
		g_free(n->settings);
		g_free(n->data);
		g_free(n->callers);
		g_free(n->control);
	}
	httpd_free(c->worker);
	turn(c);
	event_base_free(c->base);
	for (guint i = 0; i < c->runs->len; i++)
		g_free(g_array_index(c->runs, struct run, i).task);
	g_array_unref(c->runs);
	g_ptr_array_unref(c->ends);
	g_hash_table_unref(c->done);
	remove_tree(c->dir);
	g_free(c->dir);
	g_free(c->port);
	g_free(c->worker_address);
	g_free(c->body);
	g_free(c);
}

static bool
accepted(struct cell *c, int i, const char *path)
{
	return call(c, c->node[i].callers, EVHTTP_REQ_POST, path,
		   "{\"spec\":\"w\",\"steps\":[{\"count\":2,\"cpu\":1000,"
		   "\"estimatedMs\":300},{\"count\":1,\"cpu\":500,"
		   "\"after\":[0],\"estimatedMs\":300}]}") == 200;
}

static bool
state_is(struct cell *c, int i, const char *path, const char *state)
{
	char *want = g_strdup_printf("{\"state\":\"%s\"}", state);
	bool same =
	    call(c, c->node[i].callers, EVHTTP_REQ_GET, path, NULL) == 200 &&
	    strcmp(c->body, want) == 0;

	g_free(want);
	return same;
}

/* Every task of every job has ended as done exactly once. */
static void
assert_once(struct cell *c, guint tasks)
{
	GHashTableIter iter;
	gpointer value;

	g_assert_cmpuint(g_hash_table_size(c->done), ==, tasks);
	g_hash_table_iter_init(&iter, c->done);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_assert_cmpint(GPOINTER_TO_INT(value), ==, 1);
}

#define JOB(n) "/q/000000000000000" n

static void
test_whole_path(void)
{
	struct cell *c = cell_new();

	AWAIT(c, accepted(c, 3, JOB("1")));
	g_assert_true(accepted(c, 0, JOB("1"))); /* the same again */
	AWAIT(c, state_is(c, 1, JOB("1"), "completed"));
	assert_once(c, 3);
	g_assert_cmpint(
	    call(c, c->node[2].callers, EVHTTP_REQ_GET, "/q/", NULL), ==, 200);
	g_assert_cmpstr(c->body, ==, "{\"waiting\":0}");
	g_assert_cmpint(
	    call(c, c->node[2].callers, EVHTTP_REQ_GET, JOB("f"), NULL), ==,
	    410);
	g_assert_cmpint(call(c, c->node[2].callers, EVHTTP_REQ_GET,
			    "/none/0000000000000001", NULL),
	    ==, 404);
	g_assert_cmpint(call(c, c->node[2].control, EVHTTP_REQ_POST,
			    "/bulrushtide/config/replace", "{\"version\":9}"),
	    ==, 400);
	cell_free(c);
}

/* Every disk machine is killed and, one after the other, loses its disk. */
static void
test_losses(void)
{
	struct cell *c = cell_new();
	guint jobs = 0;

	for (int i = 0; i < DISKS; i++) {
		char *path = g_strdup_printf("/q/000000000000000%d", i + 1);

		AWAIT(c, accepted(c, 3, path));
		jobs++;
		node_kill(c, i);
		remove_tree(c->node[i].data);
		g_assert_cmpint(g_mkdir(c->node[i].data, 0700), ==, 0);
		node_start(c, i, false);
		AWAIT(c, ready(c, i));
		AWAIT(c, state_is(c, i, path, "completed"));
		AWAIT(c,
		    call(c, c->node[i].control, EVHTTP_REQ_GET,
			"/bulrushtide/config/read", NULL) == 200);
		g_assert_cmpstr(c->body, ==, CONFIG("7"));
		/* The next loss may come once this one is made good. */
		for (int64_t until = mono_ms() + 3000; mono_ms() < until;) {
			turn(c);
			beat(c);
		}
		g_free(path);
	}
	assert_once(c, jobs * 3);
	cell_free(c);
}

/* Graceful stops of all, one after the other: exit 0, nothing is lost. */
static void
test_stops(void)
{
	struct cell *c = cell_new();

	for (int i = 0; i < NODES; i++) {
		char *path = g_strdup_printf("/q/00000000000000a%d", i);

		AWAIT(c, accepted(c, i, path));
		kill(c->node[i].proc->pid, SIGTERM);
		g_assert_cmpint(proc_wait(c->node[i].proc), ==, 0);
		g_clear_pointer(&c->node[i].proc, proc_free);
		node_start(c, i, false);
		AWAIT(c, ready(c, i));
		AWAIT(c, state_is(c, (i + 1) % NODES, path, "completed"));
		g_free(path);
	}
	assert_once(c, NODES * 3);
	cell_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cellnode/whole-path", test_whole_path);
	g_test_add_func("/cellnode/losses", test_losses);
	g_test_add_func("/cellnode/stops", test_stops);
	return g_test_run();
}
