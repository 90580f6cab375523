/* The stand-in worker's scripted tasks: orders, leases, calls and ends. */
#include <inttypes.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "fakeworker.h"

#define KEY_PRINT_MAX 64 /* bytes of a call's body in the record */
#define REPORT_RETRY_BASE_MS 100 /* doubled with each failed report */
#define REPORT_RETRY_MAX_MS 5000
/* If no callback ran for so long, the process was paused. */
#define PAUSE_MS 300
#define LEASE_CHECK_MS 1000 /* between checks if no lease expires before */

#define HTTP_CONFLICT 409
#define HTTP_MISDIRECTED 421
#define HTTP_UNAVAILABLE 503

static void report_end(struct attempt *a);

static void
set_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	event_add(timer, &tv);
}

void
attempt_free(void *arg)
{
	struct attempt *a = arg;

	event_free(a->timer);
	json_decref(a->payload);
	json_decref(a->result);
	g_free(a->key);
	g_free(a->task);
	g_free(a);
}

/* Frees the resources and starts to report the end. */
static void
end_attempt(struct attempt *a, const char *event, const char *status,
    json_t *result, int64_t bound_ms)
{
	struct fakeworker *w = a->w;

	event_del(a->timer);
	a->state = ATTEMPT_ENDED;
	a->status = status;
	a->result = result;
	w->running--;
	resources_add(&w->used, &a->resources, -1);
	/* The time is that of the last lease check, when the end was decided:
	 * the process may be paused before the record is written. */
	record(w, event, "{s:s,s:I,s:s,s:I,s:I}", "task", a->task, "attempt",
	    (json_int_t)a->number, "status", status, "bound_ms",
	    (json_int_t)bound_ms, "ms", (json_int_t)w->leases_checked_ms);
	report_end(a);
}

void
check_leases(struct fakeworker *w)
{
	int64_t now = mono_ms();
	int64_t next = now + LEASE_CHECK_MS;
	GHashTableIter it;
	void *value;

	if (now - w->leases_checked_ms > PAUSE_MS)
		record(w, "woke", "{s:I,s:I}", "asleep_since",
		    (json_int_t)w->leases_checked_ms, "ms", (json_int_t)now);
	w->leases_checked_ms = now;
	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;

		if (a->state != ATTEMPT_RUNNING)
			continue;
		if (a->lease_end_ms <= now)
			end_attempt(a, "lease-out", "stopped", json_null(),
			    a->lease_end_ms);
		else
			next = MIN(next, a->lease_end_ms);
	}
	if (next != w->lease_timer_ms) {
		w->lease_timer_ms = next;
		set_timer(w->lease_timer, next - now);
	}
}

void
renew_leases(struct fakeworker *w, int64_t from_ms)
{
	GHashTableIter it;
	void *value;

	check_leases(w);
	w->renewed_ms = MAX(w->renewed_ms, from_ms);
	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;

		a->lease_end_ms =
		    MAX(a->lease_end_ms, w->renewed_ms + a->lease_ms);
	}
	check_leases(w);
}

static void
on_report_answer(void *arg, int status, json_t *body)
{
	struct attempt *a = arg;
	struct fakeworker *w = a->w;
	int64_t wait_ms = REPORT_RETRY_BASE_MS << MIN(a->report_tries, 8);

	check_leases(w);
	if (status == 200) {
		a->state = ATTEMPT_REPORTED;
		record(w, "told", "{s:s,s:I}", "task", a->task, "attempt",
		    (json_int_t)a->number);
		return;
	}
	a->report_tries++;
	wait_ms = MIN(wait_ms, REPORT_RETRY_MAX_MS);
	set_timer(a->timer,
	    wait_ms / 2 + (int64_t)rng_below(&w->rng, (uint64_t)wait_ms));
}

/* Reports the end to the home entry and, every other try, to one in turn. */
static void
report_end(struct attempt *a)
{
	struct fakeworker *w = a->w;
	bool to_home = w->home != NULL && a->report_tries % 2 == 0;
	const char *to = to_home ? w->home : pick_entry(w);
	char *path =
	    g_strdup_printf("/v1/tasks/%s/%" PRId64 "/end", a->task, a->number);
	json_t *body =
	    json_pack("{s:s,s:I,s:s,s:O}", "worker", w->name, "epoch",
		(json_int_t)w->epoch, "status", a->status, "result", a->result);

	pool_send(w->pool, to,
	    &(struct pool_request){
		.method = "POST", .path = path, .body = body },
	    on_report_answer, a);
	json_decref(body);
	g_free(path);
}

/* The result of an attempt that has finished. */
static json_t *
scripted_result(const struct attempt *a)
{
	json_t *result = json_object_get(a->payload, "result");

	if (json_is_true(json_object_get(a->payload, "echo")))
		return json_pack("{s:s,s:I,s:O}", "task", a->task, "attempt",
		    (json_int_t)a->number, "payload", a->payload);
	return result != NULL ? json_incref(result) : json_null();
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct attempt *a = arg;

	check_leases(a->w);
	if (a->state == ATTEMPT_ENDED) {
		report_end(a);
		return;
	}
	if (a->state == ATTEMPT_RUNNING)
		end_attempt(a, "end", a->fails ? "failed" : "done",
		    scripted_result(a), 0);
}

json_t *
running_json(struct fakeworker *w)
{
	int64_t now = mono_ms();
	json_t *list = json_array();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;
		int64_t percent = w->conf->usage_percent;
		json_int_t cpu;
		json_int_t memory;

		if (a->state != ATTEMPT_RUNNING)
			continue;
		if (now - a->started_ms < w->conf->usage_delay_ms)
			percent = 0;
		cpu = a->resources.millicpus * percent / 100;
		memory = a->resources.memory / 100 * percent;
		json_array_append_new(list,
		    json_pack("{s:s,s:I,s:I,s:I}", "task", a->task, "attempt",
			(json_int_t)a->number, "millicpus", cpu, "memory_bytes",
			memory));
	}
	return list;
}

void
stop_services(struct fakeworker *w)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;

		if (a->state == ATTEMPT_RUNNING && a->run_ms < 0)
			end_attempt(a, "stop", "stopped", json_null(), 0);
	}
}

bool
all_ends_reported(struct fakeworker *w)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct attempt *)value)->state != ATTEMPT_REPORTED)
			return false;
	}
	return true;
}

static void
answer(struct evhttp_request *req, int status, const char *reason)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);

	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	evbuffer_add_printf(out, "{\"reason\":\"%s\"}", reason);
	evhttp_send_reply(req, status, NULL, NULL);
}

/* Refuses an order or call and records the reason. */
static void
refuse(struct fakeworker *w, struct evhttp_request *req, int status,
    const char *reason, const char *task, int64_t attempt, int64_t epoch)
{
	record(w, "refuse", "{s:s,s:s,s:I,s:I,s:I}", "reason", reason, "task",
	    task, "attempt", (json_int_t)attempt, "epoch", (json_int_t)epoch,
	    "held_epoch", (json_int_t)w->epoch);
	answer(req, status, reason);
}

/* Returns an order's payload, which is JSON or a string of JSON text. */
static json_t *
read_payload(json_t *order)
{
	json_t *payload = json_object_get(order, "payload");

	if (json_is_string(payload))
		payload = json_loads(
		    json_string_value(payload), JSON_DECODE_ANY, NULL);
	else
		json_incref(payload);
	return payload != NULL ? payload : json_null();
}

static int64_t
int_or(const json_t *object, const char *key, int64_t otherwise)
{
	const json_t *v = json_object_get(object, key);

	return json_is_integer(v) ? json_integer_value(v) : otherwise;
}

static struct attempt *
attempt_new(struct fakeworker *w, const char *task, int64_t number)
{
	struct attempt *a = g_new0(struct attempt, 1);

	a->w = w;
	a->key = g_strdup_printf("%s/%" PRId64, task, number);
	a->task = g_strdup(task);
	a->number = number;
	a->timer = event_new(w->base, -1, 0, on_timer, a);
	g_hash_table_insert(w->attempts, a->key, a);
	return a;
}

static void
run_attempt(struct fakeworker *w, const char *task, int64_t number,
    json_t *order, const struct resources *need, int64_t lease_ms)
{
	struct attempt *a = attempt_new(w, task, number);
	const char *exit_word;

	a->resources = *need;
	a->lease_ms = lease_ms;
	a->started_ms = mono_ms();
	a->lease_end_ms = w->renewed_ms + lease_ms;
	a->payload = read_payload(order);
	a->run_ms = int_or(a->payload, "run_ms", -1);
	a->call_ms = int_or(a->payload, "call_ms", 0);
	exit_word = json_string_value(json_object_get(a->payload, "exit"));
	a->fails = w->conf->fail_tasks ||
	    (exit_word != NULL && strcmp(exit_word, "failed") == 0);
	w->running++;
	resources_add(&w->used, need, 1);
	record(w, "start", "{s:s,s:I,s:I,s:I,s:I,s:I,s:O}", "task", task,
	    "attempt", (json_int_t)number, "epoch",
	    (json_int_t)int_or(order, "epoch", 0), "millicpus",
	    (json_int_t)need->millicpus, "memory_bytes",
	    (json_int_t)need->memory, "accelerators",
	    (json_int_t)need->accelerators, "payload", a->payload);
	if (w->conf->fail_tasks)
		set_timer(a->timer, 0);
	else if (a->run_ms >= 0)
		set_timer(a->timer, a->run_ms);
	check_leases(w);
}

/* The reason to refuse an order to start, or NULL. */
static const char *
start_refusal(
    struct fakeworker *w, const struct resources *need, int64_t lease_ms)
{
	struct resources have = { w->conf->millicpus, w->conf->memory,
		w->conf->accelerators };

	resources_add(&have, &w->used, -1);
	if (w->leaving)
		return "leaving";
	if (w->running >= w->conf->slots)
		return "slots";
	if (!resources_fit(need, &have))
		return "resources";
	if (w->conf->fail_starts)
		return "broken";
	return NULL;
}

static void
start_order(struct fakeworker *w, struct evhttp_request *req, json_t *order)
{
	json_t *res = json_object_get(order, "resources");
	struct resources need = { int_or(res, "millicpus", 0),
		int_or(res, "memory_bytes", 0),
		int_or(res, "accelerators", 0) };
	const char *task = json_string_value(json_object_get(order, "task"));
	int64_t number = int_or(order, "attempt", 0);
	int64_t epoch = int_or(order, "epoch", 0);
	int64_t lease_ms = int_or(order, "lease_ms", 0);
	const char *reason;
	char *key;
	bool known;

	if (task == NULL || number == 0 || lease_ms <= 0) {
		answer(req, 400, "invalid");
		return;
	}
	if (w->epoch == 0 || !accept_epoch(w, epoch, NULL)) {
		refuse(w, req, HTTP_CONFLICT, "epoch", task, number, epoch);
		return;
	}
	key = g_strdup_printf("%s/%" PRId64, task, number);
	known = g_hash_table_contains(w->attempts, key);
	g_free(key);
	if (known) {
		answer(req, 200, "known");
		return;
	}
	if (w->renewed_ms + MIN(lease_ms, w->lease_ms) <= mono_ms()) {
		refuse(w, req, HTTP_CONFLICT, "lease", task, number, epoch);
		return;
	}
	reason = start_refusal(w, &need, lease_ms);
	if (reason != NULL) {
		refuse(w, req,
		    strcmp(reason, "broken") == 0 ? 500 : HTTP_UNAVAILABLE,
		    reason, task, number, epoch);
		return;
	}
	run_attempt(w, task, number, order, &need, lease_ms);
	answer(req, 200, "started");
}

static void
lease_order(struct fakeworker *w, struct evhttp_request *req, json_t *order)
{
	const char *home = json_string_value(json_object_get(order, "home"));
	int64_t epoch = int_or(order, "epoch", 0);
	int64_t lease_ms = int_or(order, "lease_ms", 0);

	if (epoch <= 0 || home == NULL || lease_ms <= 0) {
		answer(req, 400, "invalid");
		return;
	}
	if (!accept_epoch(w, epoch, home)) {
		refuse(w, req, HTTP_CONFLICT, "epoch", "", 0, epoch);
		return;
	}
	/* The order sets epoch and home only: it can't renew the lease, as its
	 * delay in the network is unknown. The heartbeat sent now does. */
	set_timer(w->heartbeat_timer, 0);
	answer(req, 200, "taken");
}

/* Stops an attempt; false if this worker has none of that number. */
static bool
stop_order(struct fakeworker *w, const char *task, int64_t number)
{
	char *key = g_strdup_printf("%s/%" PRId64, task, number);
	struct attempt *a = g_hash_table_lookup(w->attempts, key);

	g_free(key);
	if (a != NULL && a->state == ATTEMPT_RUNNING)
		end_attempt(a, "stop", "stopped", json_null(), 0);
	return a != NULL;
}

/* A call that is answered after the scripted time. */
struct call {
	struct fakeworker *w;
	struct evhttp_request *req;
	struct event *timer;
	char *task;
};

static void
finish_call(struct call *c)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(c->req);

	c->w->calls--;
	evbuffer_add_printf(out, "%s\n", c->task);
	evbuffer_add_buffer(out, evhttp_request_get_input_buffer(c->req));
	evhttp_send_reply(c->req, 200, NULL, NULL);
	if (c->timer != NULL)
		event_free(c->timer);
	g_free(c->task);
	g_free(c);
}

static void
on_call_timer(evutil_socket_t fd, short what, void *arg)
{
	finish_call(arg);
}

/* The running attempt of a task, or NULL. */
static struct attempt *
running_attempt(struct fakeworker *w, const char *task)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, w->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct attempt *a = value;

		if (a->state == ATTEMPT_RUNNING && strcmp(a->task, task) == 0)
			return a;
	}
	return NULL;
}

/*
 * The key of a call in the record: the value of a JSON string, else the start
 * of the body; "." replaces special characters.
 */
static char *
call_key(const void *data, size_t len)
{
	json_t *body = json_loadb(data, len, JSON_DECODE_ANY, NULL);
	char *key = json_is_string(body)
	    ? g_strdup(json_string_value(body))
	    : g_strndup(data, MIN(len, KEY_PRINT_MAX));

	json_decref(body);
	return g_strcanon(key,
	    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_",
	    '.');
}

/* Answers with the task's id in the first line, followed by the body. */
static void
serve_call(struct fakeworker *w, struct evhttp_request *req, const char *task)
{
	struct attempt *a = running_attempt(w, task);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char *key;
	struct call *c;

	if (a == NULL) {
		refuse(w, req, 404, "no-task", task, 0, 0);
		return;
	}
	if (w->calls >= w->conf->connections) {
		refuse(w, req, HTTP_UNAVAILABLE, "connections", task, 0, 0);
		return;
	}
	key = call_key(evbuffer_pullup(in, -1), evbuffer_get_length(in));
	record(w, "call", "{s:s,s:I,s:s}", "task", task, "attempt",
	    (json_int_t)a->number, "key", key);
	g_free(key);
	w->calls++;
	c = g_new0(struct call, 1);
	*c = (struct call){ w, req, NULL, g_strdup(task) };
	if (a->call_ms == 0) {
		finish_call(c);
		return;
	}
	c->timer = event_new(w->base, -1, 0, on_call_timer, c);
	set_timer(c->timer, a->call_ms);
}

/* Serves /tasks/ID/call and /tasks/ID/ATTEMPT/VERB. */
static void
task_order(
    struct fakeworker *w, struct evhttp_request *req, char **part, json_t *body)
{
	guint n = g_strv_length(part);
	int64_t epoch = int_or(body, "epoch", w->epoch);
	int64_t number;

	if (n == 4 && strcmp(part[3], "call") == 0) {
		serve_call(w, req, part[2]);
		return;
	}
	if (n != 5) {
		answer(req, 404, "no-such-path");
		return;
	}
	number = g_ascii_strtoll(part[3], NULL, 10);
	if (!accept_epoch(w, epoch, NULL)) {
		refuse(w, req, HTTP_CONFLICT, "epoch", part[2], number, epoch);
		return;
	}
	if (strcmp(part[4], "stop") != 0) {
		record(w, part[4], "{s:s,s:I}", "task", part[2], "attempt",
		    (json_int_t)number);
		answer(req, 200, part[4]);
	} else if (stop_order(w, part[2], number)) {
		answer(req, 200, "stopped");
	} else {
		refuse(w, req, 404, "no-task", part[2], number, epoch);
	}
}

/* Whether a call is meant for this worker and incarnation. Entries of the
 * version before don't say it. */
static bool
is_for(const struct fakeworker *w, struct evhttp_request *req)
{
	const struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	const char *text = evhttp_find_header(in, "Worker-Name");
	const char *incarnation = evhttp_find_header(in, "Worker-Incarnation");
	char *name = text == NULL ? NULL : g_uri_unescape_string(text, NULL);
	bool other = (text != NULL && g_strcmp0(name, w->name) != 0) ||
	    (incarnation != NULL &&
		g_ascii_strtoull(incarnation, NULL, 10) != w->incarnation);

	g_free(name);
	return !other;
}

void
serve_request(struct evhttp_request *req, void *arg)
{
	struct fakeworker *w = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	char **part = g_strsplit(path, "/", -1);
	json_t *body;

	check_leases(w);
	body = json_loadb((const char *)evbuffer_pullup(in, -1),
	    evbuffer_get_length(in), 0, NULL);
	if (!is_for(w, req))
		refuse(w, req, HTTP_MISDIRECTED, "other-incarnation", path, 0,
		    int_or(body, "epoch", 0));
	else if (strcmp(path, "/tasks") == 0)
		start_order(w, req, body);
	else if (strcmp(path, "/lease") == 0)
		lease_order(w, req, body);
	else if (g_str_has_prefix(path, "/tasks/"))
		task_order(w, req, part, body);
	else
		answer(req, 404, "no-such-path");
	json_decref(body);
	g_strfreev(part);
}
