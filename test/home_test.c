/*
 * Tests of an entry's calls to its workers (bulrushtided/home.c). The test acts
 * as the session with the leader and as the worker at one address.
 */
#include <string.h>

#include "home.h"
#include "proc.h"
#include "session.h"

#define LEASE_MS 3000
#define ORPHAN_MS 2100 /* after which tasks not known are stopped */

static const struct config_push config = {
	.heartbeat_ms = 50, .suspect_ms = 1000, .lease_ms = LEASE_MS
};

/* A call that the worker has received. */
struct received {
	char *path;
	char *name; /* of the worker it is meant for; NULL: not stated */
	char *incarnation; /* the same */
};

struct session {
	GArray *results; /* struct order_result */
	GArray *health; /* struct health_report */
};

struct fixture {
	struct session session;
	struct node node;
	struct event *tick; /* wakes the loop so that AWAIT() checks */
	struct httpd *server;
	char *address;
	const char *incarnation; /* of the worker; NULL: refuses no call */
	int start_status; /* answer to a start order; 0: none */
	int stop_status;
	bool running; /* its heartbeats list a task that isn't the leader's */
	GPtrArray *held; /* struct http_request without an answer */
	GPtrArray *calls; /* struct received */
};

const struct config_push *
session_config(const struct session *s)
{
	return &config;
}

bool
session_has_grant(const struct session *s)
{
	return true;
}

void
session_send(struct session *s, enum frame_type type, const void *msg)
{
	if (type == FRAME_ORDER_RESULT)
		g_array_append_vals(s->results, msg, 1);
	if (type == FRAME_WORKER_HEALTH)
		g_array_append_vals(s->health, msg, 1);
}

struct event *
node_timer(
    struct node *node, int64_t period_ms, event_callback_fn fn, void *arg)
{
	struct event *ev = event_new(node->base, -1, EV_PERSIST, fn, arg);
	struct timeval tv = { 0, POLL_US };

	event_add(ev, &tv);
	return ev;
}

static void
received_free(void *arg)
{
	struct received *r = arg;

	g_free(r->path);
	g_free(r->name);
	g_free(r->incarnation);
	g_free(r);
}

/* Serves a call as a worker that checks for whom it is meant. */
static void
serve(void *arg, struct http_request *req)
{
	struct fixture *f = arg;
	struct received *r = g_new0(struct received, 1);
	int status = 200;

	r->path = g_strdup(req->path);
	r->name = g_strdup(http_header(req, "Worker-Name"));
	r->incarnation = g_strdup(http_header(req, "Worker-Incarnation"));
	g_ptr_array_add(f->calls, r);
	if (strcmp(r->path, "/tasks") == 0)
		status = f->start_status;
	else if (g_str_has_suffix(r->path, "/stop"))
		status = f->stop_status;
	if (f->incarnation != NULL && r->incarnation != NULL &&
	    strcmp(r->incarnation, f->incarnation) != 0)
		status = 421;
	if (status == 0)
		g_ptr_array_add(f->held, req);
	else
		http_reply(req, status, g_strdup("{}"), 0);
}

static const struct http_route routes[] = {
	{ EVHTTP_REQ_POST, HTTP_ANY_PATH, serve },
};

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
}

#define AWAIT(f, condition) AWAIT_ON_LOOP((f)->node.base, condition)

/* The worker's record has this incarnation and epoch. */
static void
push_worker(struct fixture *f, uint64_t incarnation, uint64_t epoch)
{
	struct worker_push push = { .worker = 1,
		.name = "w 1",
		.address = f->address,
		.incarnation = incarnation,
		.epoch = epoch };

	home_update_worker(f->node.home, &push);
}

static void
push_order(struct fixture *f, enum order_type type, uint32_t task)
{
	struct order order = { .type = type,
		.worker = 1,
		.job = 7,
		.task = task,
		.attempt = 1,
		.lease_ms = LEASE_MS,
		.trace = "" };

	home_handle_order(f->node.home, &order);
}

/* A heartbeat of the worker; returns whether it renews the lease. */
static bool
heartbeat(struct fixture *f, uint64_t incarnation, uint64_t epoch)
{
	struct api_attempt foreign = { .job = 8, .attempt = 9 };
	struct api_worker body = { .epoch = epoch,
		.running = g_array_new(FALSE, FALSE, sizeof(foreign)),
		.worker = { .name = "w 1", .incarnation = incarnation } };
	char *reply;
	bool renewed;

	if (f->running)
		g_array_append_val(body.running, foreign);
	reply = home_handle_heartbeat(f->node.home, &body);
	renewed = reply != NULL;
	g_array_unref(body.running);
	g_free(reply);
	return renewed;
}

/* The number of calls received whose path ends so. */
static int
count(const struct fixture *f, const char *suffix)
{
	int n = 0;

	for (guint i = 0; i < f->calls->len; i++) {
		const struct received *r = f->calls->pdata[i];

		n += g_str_has_suffix(r->path, suffix);
	}
	return n;
}

/* Whether the entry has reported this about the worker's health. */
static bool
reported(const struct fixture *f, enum worker_health health)
{
	for (guint i = 0; i < f->session.health->len; i++)
		if (g_array_index(f->session.health, struct health_report, i)
			.health == health)
			return true;
	return false;
}

static void
set_up(struct fixture *f, gconstpointer data)
{
	struct start_template_push template = { .job = 7, .name = "job" };
	struct timeval tick = { 0, POLL_US };
	char *ip = loopback_ip();

	f->session.results =
	    g_array_new(FALSE, FALSE, sizeof(struct order_result));
	f->session.health =
	    g_array_new(FALSE, FALSE, sizeof(struct health_report));
	f->held = g_ptr_array_new();
	f->calls = g_ptr_array_new_with_free_func(received_free);
	f->start_status = f->stop_status = 200;
	f->node.base = event_base_new();
	f->node.session = &f->session;
	f->node.conf.http_address = "127.0.0.1:1";
	f->node.tracer = tracer_new("e0", 1, 0);
	f->address = free_address(ip);
	f->server = httpd_new(
	    f->node.base, f->address, routes, G_N_ELEMENTS(routes), f, NULL);
	g_assert_nonnull(f->server);
	f->tick = event_new(f->node.base, -1, EV_PERSIST, on_tick, NULL);
	event_add(f->tick, &tick);
	f->node.home = home_new(&f->node);
	home_update_template(f->node.home, &template);
	push_worker(f, 1, 1);
	g_free(ip);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	home_free(f->node.home);
	for (guint i = 0; i < f->held->len; i++)
		http_reply(f->held->pdata[i], 200, g_strdup("{}"), 0);
	httpd_free(f->server);
	event_free(f->tick);
	tracer_free(f->node.tracer);
	event_base_free(f->node.base);
	g_ptr_array_unref(f->held);
	g_ptr_array_unref(f->calls);
	g_array_unref(f->session.results);
	g_array_unref(f->session.health);
	g_free(f->address);
}

/*
 * Guards against orders that wait behind one without an answer and reach the
 * worker's next incarnation, before its new epoch does.
 */
static void
test_queued_orders(struct fixture *f, gconstpointer data)
{
	f->start_status = 0;
	for (uint32_t task = 0; task < 3; task++)
		push_order(f, ORDER_START, task);
	AWAIT(f, f->held->len == 1);
	f->start_status = 200;
	push_worker(f, 2, 2);
	AWAIT(f, count(f, "/lease") == 2);
	g_assert_cmpint(count(f, "/tasks"), ==, 1);
}

/* The number of refusals of orders reported to the leader. */
static int
refusals(const struct fixture *f)
{
	int n = 0;

	for (guint i = 0; i < f->session.results->len; i++)
		n += g_array_index(f->session.results, struct order_result, i)
			 .outcome == ORDER_REFUSED;
	return n;
}

/* All calls say for which worker and incarnation they are meant. */
static void
test_recipient(struct fixture *f, gconstpointer data)
{
	static const enum order_type types[] = { ORDER_START, ORDER_CHECKPOINT,
		ORDER_THROTTLE, ORDER_STOP };
	int64_t start_ms = mono_ms();

	for (size_t i = 0; i < G_N_ELEMENTS(types); i++)
		push_order(f, types[i], 0);
	AWAIT(f, f->calls->len == 1 + G_N_ELEMENTS(types));
	/* The stop of a task that isn't the leader's, too. */
	AWAIT(f, heartbeat(f, 1, 1) && mono_ms() > start_ms + ORPHAN_MS);
	f->running = true;
	g_assert_true(heartbeat(f, 1, 1));
	AWAIT(f, count(f, "/9/stop") == 1);
	for (guint i = 0; i < f->calls->len; i++) {
		const struct received *r = f->calls->pdata[i];

		g_assert_cmpstr(r->name, ==, "w%201");
		g_assert_cmpstr(r->incarnation, ==, "1");
	}
}

/*
 * The worker has restarted at its address and not announced itself yet. It
 * doesn't know the task: that isn't proof that the task has never run.
 */
static void
test_stop_at_next(struct fixture *f, gconstpointer data)
{
	push_order(f, ORDER_START, 0);
	AWAIT(f, f->session.results->len == 1);
	f->incarnation = "2";
	f->stop_status = 404;
	push_order(f, ORDER_STOP, 0);
	AWAIT(f, count(f, "/stop") > 1 || refusals(f) > 0);
	g_assert_cmpint(refusals(f), ==, 0);
	/* From the incarnation that was ordered it is. */
	f->incarnation = "1";
	AWAIT(f, refusals(f) == 1);
}

/* A start order that the next incarnation gets isn't one without an answer,
 * which could be carried out later. */
static void
test_start_at_next(struct fixture *f, gconstpointer data)
{
	f->incarnation = "2";
	push_order(f, ORDER_START, 0);
	AWAIT(f, count(f, "/tasks") > 1);
	g_assert_cmpint(f->session.results->len, ==, 0);
	f->incarnation = "1";
	f->start_status = 503;
	AWAIT(f, refusals(f) == 1);
	g_assert_false(reported(f, HEALTH_RENEW_EPOCH));
}

/* The next incarnation's answers aren't those of the one that the calls are
 * for: no epoch is taken for acknowledged, nor the worker for reached. */
static void
test_lease_at_next(struct fixture *f, gconstpointer data)
{
	AWAIT(f, count(f, "/lease") == 1);
	f->incarnation = "2";
	push_worker(f, 1, 2);
	AWAIT(f, count(f, "/lease") > 3);
	AWAIT(f, !heartbeat(f, 1, 2) || reported(f, HEALTH_UNREACHED));
	g_assert_true(reported(f, HEALTH_UNREACHED));
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
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	add("/home/queued-orders", test_queued_orders);
	add("/home/recipient", test_recipient);
	add("/home/stop-at-next", test_stop_at_next);
	add("/home/start-at-next", test_start_at_next);
	add("/home/lease-at-next", test_lease_at_next);
	return g_test_run();
}
