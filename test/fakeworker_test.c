/* Tests of the stand-in worker against the worker interface; acts as entry. */
#include <signal.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "httpd.h"
#include "httppool.h"
#include "proc.h"

#define INCARNATION "77"
#define LEASE_MS 800
#define HEARTBEAT_MS 100
#define LATE_STOP_MS 500 /* tolerance for a stop after the lease end */

/* The entry that the worker talks to. */
struct entry {
	struct event_base *base;
	struct evhttp *server;
	char *address;
	bool silent; /* does not answer heartbeats */
	int64_t epoch;
	int64_t answered_ms; /* time of the last answered heartbeat */
	int heartbeats; /* answered ones */
	json_t *last_heartbeat; /* body of the last answered one */
	GPtrArray *ends; /* json_t: bodies of the reported ends */
	int leaves; /* leave requests received */
};

struct fixture {
	char *dir;
	char *ip;
	struct entry entry;
	struct pool *pool;
	struct event *tick; /* wakes the loop so that AWAIT() checks */
	struct proc *worker;
	int status; /* of the reply to the last order */
	bool answered; /* the reply to the last order has come */
};

static void
reply(struct evhttp_request *req, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_send_reply(req, 200, NULL, NULL);
	free(text);
	json_decref(body);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct entry *e = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	json_t *body = json_loadb((const char *)evbuffer_pullup(in, -1),
	    evbuffer_get_length(in), 0, NULL);

	if (evhttp_request_get_command(req) == EVHTTP_REQ_DELETE) {
		e->leaves++;
		reply(req, json_object());
	} else if (strcmp(evhttp_request_get_uri(req), "/v1/workers") != 0) {
		g_ptr_array_add(e->ends, json_incref(body));
		reply(req, json_object());
	} else if (!e->silent) {
		e->heartbeats++;
		e->answered_ms = mono_ms();
		json_decref(e->last_heartbeat);
		e->last_heartbeat = json_incref(body);
		reply(req,
		    json_pack("{s:s,s:I,s:i,s:i}", "home", e->address, "epoch",
			(json_int_t)e->epoch, "lease_ms", LEASE_MS,
			"heartbeat_ms", HEARTBEAT_MS));
	}
	json_decref(body);
}

#define AWAIT(f, condition) AWAIT_ON_LOOP((f)->entry.base, condition)

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
}

static void
set_up(struct fixture *f, gconstpointer data)
{
	struct entry *e = &f->entry;
	struct timeval tick = { 0, POLL_US };
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *ip;
	uint16_t port;

	f->dir = g_dir_make_tmp("bulrushtide-worker-XXXXXX", NULL);
	f->ip = loopback_ip();
	e->base = event_base_new();
	e->server = evhttp_new(e->base);
	e->address = free_address(f->ip);
	e->epoch = 5;
	e->ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	evhttp_set_gencb(e->server, on_request, e);
	g_assert_true(address_split(e->address, &ip, &port));
	g_assert_cmpint(evhttp_bind_socket(e->server, ip, port), ==, 0);
	g_free(ip);
	f->tick = event_new(e->base, -1, EV_PERSIST, on_tick, NULL);
	event_add(f->tick, &tick);
	f->pool = pool_new(e->base, AWAIT_MS);
	add_arg(argv, "%s/fakeworker", programs);
	add_arg(argv, "--name=w");
	add_arg(argv, "--incarnation=" INCARNATION);
	add_arg(argv, "--entry=%s", e->address);
	add_arg(argv, "--millicpus=1000");
	add_arg(argv, "--slots=2");
	add_arg(argv, "--record=%s/w.record", f->dir);
	ip = free_address(f->ip);
	add_arg(argv, "--address=%s", ip);
	f->worker = proc_new("w", f->dir, argv);
	f->worker->address = ip;
	proc_start(f->worker, true);
	AWAIT(f, e->heartbeats >= 2);
	g_free(programs);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	proc_free(f->worker);
	pool_free(f->pool);
	evhttp_free(f->entry.server);
	event_free(f->tick);
	event_base_free(f->entry.base);
	g_ptr_array_unref(f->entry.ends);
	json_decref(f->entry.last_heartbeat);
	remove_tree(f->dir);
	g_free(f->entry.address);
	g_free(f->ip);
	g_free(f->dir);
}

static void
on_order(void *arg, int status, json_t *body)
{
	struct fixture *f = arg;

	f->status = status;
	f->answered = true;
}

/* Sends an order without waiting; takes ownership of the body. */
static void
send_order(struct fixture *f, const char *path, json_t *body)
{
	struct pool_request request = { "POST", path, body, NULL };

	g_assert_nonnull(body);
	f->answered = false;
	pool_send(f->pool, f->worker->address, &request, on_order, f);
	json_decref(body);
}

/* Sends an order and returns the HTTP status of the reply. */
static int
order(struct fixture *f, const char *path, json_t *body)
{
	send_order(f, path, body);
	AWAIT(f, f->answered);
	return f->status;
}

/* Returns a start order; run_ms below 0: until it is stopped. */
static json_t *
start(const char *task, int epoch, int lease_ms, int run_ms)
{
	json_t *body =
	    json_pack("{s:i,s:s,s:i,s:i,s:s,s:{s:i,s:i},s:i,s:{s:s,s:b}}",
		"job", 1, "task", task, "attempt", 1, "epoch", epoch, "name",
		"n", "resources", "millicpus", 400, "memory_bytes", 10,
		"lease_ms", lease_ms, "payload", "result", "r", "echo", 0);

	if (run_ms >= 0)
		json_object_set_new(json_object_get(body, "payload"), "run_ms",
		    json_integer(run_ms));
	return body;
}

/* Returns a number from the first recorded event of a name, or -1. */
static int64_t
recorded(struct fixture *f, const char *event, const char *key)
{
	char *path = g_strdup_printf("%s/w.record", f->dir);
	char *text = NULL;
	char **lines;
	int64_t value = -1;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; value < 0 && lines[i] != NULL; i++) {
		json_t *line = json_loads(lines[i], 0, NULL);
		const char *name =
		    json_string_value(json_object_get(line, "event"));

		if (g_strcmp0(name, event) == 0)
			value = json_integer_value(json_object_get(line, key));
		json_decref(line);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return value;
}

/* Returns a string from the first reported end. */
static const char *
end_text(struct fixture *f, const char *key)
{
	return json_string_value(json_object_get(f->entry.ends->pdata[0], key));
}

static void
test_orders(struct fixture *f, gconstpointer data)
{
	/* A repeated start order does not run or report the task again. */
	g_assert_cmpint(order(f, "/tasks", start("1.0", 5, 500, 0)), ==, 200);
	AWAIT(f, f->entry.ends->len > 0);
	g_assert_cmpstr(end_text(f, "status"), ==, "done");
	g_assert_cmpstr(end_text(f, "result"), ==, "r");
	g_assert_cmpint(order(f, "/tasks", start("1.0", 5, 500, 0)), ==, 200);
	/* A third task exceeds the slots and the resources. */
	g_assert_cmpint(order(f, "/tasks", start("2.0", 5, 500, -1)), ==, 200);
	g_assert_cmpint(order(f, "/tasks", start("3.0", 5, 500, -1)), ==, 200);
	g_assert_cmpint(order(f, "/tasks", start("4.0", 5, 500, -1)), ==, 503);
	/* Orders of an old epoch, also after a newer one was set. */
	g_assert_cmpint(order(f, "/tasks", start("5.0", 4, 500, 0)), ==, 409);
	f->entry.epoch = 7;
	g_assert_cmpint(order(f, "/lease",
			    json_pack("{s:i,s:s,s:i}", "epoch", 7, "home",
				f->entry.address, "lease_ms", LEASE_MS)),
	    ==, 200);
	g_assert_cmpint(
	    order(f, "/tasks/2.0/1/stop", json_pack("{s:i}", "epoch", 5)), ==,
	    409);
	g_assert_cmpint(
	    order(f, "/tasks/2.0/1/stop", json_pack("{s:i}", "epoch", 7)), ==,
	    200);
	g_assert_cmpint(
	    order(f, "/tasks/9.0/1/stop", json_pack("{s:i}", "epoch", 7)), ==,
	    404);
	AWAIT(f, f->entry.ends->len > 1);
	g_assert_cmpuint(f->entry.ends->len, ==, 2);
	g_assert_cmpint(recorded(f, "lease-out", "ms"), ==, -1);
}

/*
 * If heartbeats are not answered, the lease ends LEASE_MS after the last
 * answered one was sent.
 */
static void
test_lease_runs_out(struct fixture *f, gconstpointer data)
{
	int64_t renewed;

	g_assert_cmpint(
	    order(f, "/tasks", start("1.0", 5, LEASE_MS, -1)), ==, 200);
	f->entry.silent = true;
	renewed = f->entry.answered_ms;
	AWAIT(f, f->entry.ends->len > 0);
	g_assert_cmpint(
	    recorded(f, "lease-out", "bound_ms"), <=, renewed + LEASE_MS);
	/* A later stop is allowed only if the process was suspended. */
	g_assert_true(recorded(f, "woke", "ms") > 0 ||
	    recorded(f, "lease-out", "ms") <=
		recorded(f, "lease-out", "bound_ms") + LATE_STOP_MS);
}

/*
 * A worker that was suspended past the end of its lease stops its task before
 * it handles an order.
 */
static void
test_paused(struct fixture *f, gconstpointer data)
{
	int64_t suspended_ms;

	g_assert_cmpint(
	    order(f, "/tasks", start("1.0", 5, LEASE_MS, -1)), ==, 200);
	g_assert_cmpint(kill(f->worker->pid, SIGSTOP), ==, 0);
	suspended_ms = mono_ms();
	send_order(f, "/tasks", start("2.0", 5, LEASE_MS, -1));
	AWAIT(f, mono_ms() > suspended_ms + LEASE_MS + 400);
	g_assert_cmpint(kill(f->worker->pid, SIGCONT), ==, 0);
	AWAIT(f, f->answered);
	g_assert_cmpint(f->status, ==, 409);
	g_assert_cmpint(
	    recorded(f, "lease-out", "bound_ms"), <=, suspended_ms + LEASE_MS);
	g_assert_cmpint(
	    recorded(f, "woke", "ms"), <=, recorded(f, "lease-out", "ms"));
	g_assert_cmpint(
	    recorded(f, "lease-out", "ms"), <=, recorded(f, "refuse", "ms"));
}

static void
on_call(void *arg, int status, const void *body, size_t len, const char *why)
{
	on_order(arg, status, NULL);
}

/* Sends an order that is meant for a worker and incarnation; returns the HTTP
 * status of the reply. */
static int
order_for(struct fixture *f, const char *name, const char *incarnation,
    const char *path, json_t *body)
{
	const char *headers[] = { "Worker-Name", name, "Worker-Incarnation",
		incarnation, NULL };
	struct http_peer *peer =
	    http_peer_new(f->entry.base, f->worker->address, NULL);
	char *text = json_dumps(body, JSON_COMPACT);

	g_assert_nonnull(text);
	f->answered = false;
	http_send(peer, EVHTTP_REQ_POST, path, headers, text, strlen(text),
	    AWAIT_MS, on_call, f);
	AWAIT(f, f->answered);
	http_peer_free(peer);
	free(text);
	json_decref(body);
	return f->status;
}

/*
 * Orders for another worker at this address, and for an earlier incarnation of
 * this one, have no effect, whatever their epoch.
 */
static void
test_misdirected(struct fixture *f, gconstpointer data)
{
	static const char *const other[][2] = { { "v", INCARNATION },
		{ "w", "76" } };

	g_assert_cmpint(order(f, "/tasks", start("1.0", 5, 5000, -1)), ==, 200);
	for (size_t i = 0; i < G_N_ELEMENTS(other); i++) {
		const char *name = other[i][0];
		const char *incarnation = other[i][1];

		g_assert_cmpint(order_for(f, name, incarnation, "/tasks",
				    start("2.0", 9, 5000, -1)),
		    ==, 421);
		g_assert_cmpint(
		    order_for(f, name, incarnation, "/lease",
			json_pack("{s:i,s:s,s:i}", "epoch", 9, "home",
			    "127.0.0.1:1", "lease_ms", LEASE_MS)),
		    ==, 421);
		g_assert_cmpint(
		    order_for(f, name, incarnation, "/tasks/1.0/1/stop",
			json_pack("{s:i}", "epoch", 9)),
		    ==, 421);
	}
	/* It still has its epoch and its task. */
	g_assert_cmpint(
	    order_for(f, "w", INCARNATION, "/tasks", start("3.0", 5, 5000, -1)),
	    ==, 200);
	g_assert_cmpint(order_for(f, "%77", INCARNATION, "/tasks/1.0/1/stop",
			    json_pack("{s:i}", "epoch", 5)),
	    ==, 200);
	AWAIT(f, f->entry.ends->len > 0);
	g_assert_cmpstr(end_text(f, "status"), ==, "stopped");
}

/* A leaving worker finishes its batch tasks and reports them before exit. */
static void
test_leave(struct fixture *f, gconstpointer data)
{
	int status = -1;

	g_assert_cmpint(
	    order(f, "/tasks", start("1.0", 5, 2000, 600)), ==, 200);
	g_assert_cmpint(kill(f->worker->pid, SIGTERM), ==, 0);
	AWAIT(f, f->entry.leaves > 0);
	g_assert_cmpint(order(f, "/tasks", start("2.0", 5, 500, 0)), ==, 503);
	AWAIT(f, f->entry.ends->len > 0);
	g_assert_cmpstr(end_text(f, "status"), ==, "done");
	/*
	 * The worker needs replies to both requests before it exits, and
	 * proc_wait() does not run the event loop that sends them.
	 */
	AWAIT(f, recorded(f, "told", "ms") > 0);
	AWAIT(f, recorded(f, "left", "ms") > 0);
	status = proc_wait(f->worker);
	g_assert_cmpint(status, ==, 0);
}

static void
add(const char *path, void (*test)(struct fixture *, gconstpointer))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/fakeworker/orders", test_orders);
	add("/fakeworker/lease-runs-out", test_lease_runs_out);
	add("/fakeworker/paused", test_paused);
	add("/fakeworker/misdirected", test_misdirected);
	add("/fakeworker/leave", test_leave);
	return g_test_run();
}
