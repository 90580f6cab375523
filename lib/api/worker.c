/*
 * Parses bodies from workers. Unknown keys are ignored.
 */
#include <string.h>

#include "fields.h"

#define PORT_MAX 65535

/* Keys that an announcement needs, apart from name and incarnation. */
static const char *const announcement_keys[] = { "address", "rack",
	"data_center", "millicpus", "memory_bytes", "slots", "connections",
	NULL };

static const struct {
	const char *name;
	enum cell_end how;
} statuses[] = {
	{ "done", END_DONE },
	{ "failed", END_FAILED },
	{ "stopped", END_STOPPED },
};

/*
 * Parses "JOB.N" or "JOB.N/ATTEMPT". Without ATTEMPT, *attempt stays unchanged
 * and must be above 0.
 */
static bool
parse_attempt(
    const char *text, uint64_t *job, uint32_t *task, uint32_t *attempt)
{
	char **part = g_strsplit(text, "/", 3);
	guint parts = g_strv_length(part);
	guint64 number = *attempt;
	bool ok = (parts == 1 || parts == 2) &&
	    api_parse_task_id(part[0], job, task) &&
	    (parts == 1 ||
		g_ascii_string_to_unsigned(
		    part[1], 10, 1, UINT32_MAX, &number, NULL));

	g_strfreev(part);
	*attempt = (uint32_t)number;
	return ok && number > 0;
}

/* Reads an attempt from an object with task and attempt or from a string. */
static bool
read_attempt(struct object *o, const char *key, json_t *v, uint64_t *job,
    uint32_t *task, uint32_t *attempt)
{
	json_t *id = json_is_object(v) ? json_object_get(v, "task") : v;
	json_t *number = json_object_get(v, "attempt");

	*attempt = 0;
	if (json_is_integer(number) && json_integer_value(number) > 0 &&
	    json_integer_value(number) <= UINT32_MAX)
		*attempt = (uint32_t)json_integer_value(number);
	if (json_is_string(id) &&
	    parse_attempt(json_string_value(id), job, task, attempt))
		return true;
	report_fault(o, key, v, "a task \"JOB.N\" with its attempt");
	return false;
}

static void
read_running(struct object *o, struct api_worker *w)
{
	json_t *list = read_array(o, "running");
	json_t *v;
	size_t i;

	w->has_running = list != NULL;
	json_array_foreach(list, i, v)
	{
		struct api_attempt a;
		struct object in = { .json = json_is_object(v) ? v : NULL,
			.path = "running.",
			.faults = o->faults };

		if (!read_attempt(o, "running", v, &a.job, &a.task, &a.attempt))
			continue;
		a.millicpus = read_int(&in, "millicpus", 0, API_AMOUNT_MAX, -1);
		a.memory = read_int(&in, "memory_bytes", 0, API_AMOUNT_MAX, -1);
		g_array_append_val(w->running, a);
	}
}

/* Reads the keys status and result. */
static void
read_outcome(struct object *o, struct api_end *end)
{
	json_t *v = json_object_get(o->json, "status");
	const char *name = json_string_value(v);

	end->result = read_value(o, "result", CELL_RESULT_MAX);
	for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(statuses); i++) {
		if (strcmp(statuses[i].name, name) != 0)
			continue;
		end->how = statuses[i].how;
		return;
	}
	report_fault(o, "status", v, "done, failed or stopped");
}

static void
clear_end(void *p)
{
	api_end_clear(p);
}

static void
read_ended(struct object *o, struct api_worker *w)
{
	json_t *list = read_array(o, "ended");
	struct raw raw = raw_member(o->raw, "ended");
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		struct api_end end = { 0 };
		struct object in = { .json = v,
			.raw = raw_item(raw, i),
			.path = "ended.",
			.faults = o->faults };

		if (!json_is_object(v)) {
			report_fault(o, "ended", v, "an object");
			continue;
		}
		if (!read_attempt(
			o, "ended", v, &end.job, &end.task, &end.attempt))
			continue;
		read_outcome(&in, &end);
		g_array_append_val(w->ended, end);
	}
}

static uint64_t
read_incarnation(struct object *o)
{
	json_t *v = json_object_get(o->json, "incarnation");

	if (json_is_integer(v) && json_integer_value(v) >= 0)
		return (uint64_t)json_integer_value(v);
	if (json_is_string(v) && json_string_length(v) > 0)
		return hash64(json_string_value(v), json_string_length(v));
	report_fault(o, "incarnation", v, "a whole number or a string");
	return 0;
}

/* Checks for IP:PORT; any text before the last colon is accepted as IP. */
static bool
is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	guint64 port;

	return colon != NULL && colon != text &&
	    g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL);
}

static char *
read_address(struct object *o)
{
	char *text = read_string(o, "address", CELL_NAME_MAX);

	if (text != NULL && !is_address(text))
		report_fault(o, "address", json_object_get(o->json, "address"),
		    "IP:PORT");
	return text;
}

static bool
is_complete(const struct object *o)
{
	for (const char *const *key = announcement_keys; *key != NULL; key++) {
		if (!has_key(o, *key))
			return false;
	}
	return true;
}

bool
api_parse_worker(
    const void *body, size_t len, struct api_worker *w, GError **err)
{
	struct cell_worker *to = &w->worker;
	struct body b;
	struct object *o = &b.root;

	*w = (struct api_worker){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	w->running = g_array_new(FALSE, FALSE, sizeof(struct api_attempt));
	w->ended = g_array_new(FALSE, FALSE, sizeof(struct api_end));
	g_array_set_clear_func(w->ended, clear_end);
	to->name = require_string(o, "name", CELL_NAME_MAX);
	to->incarnation = read_incarnation(o);
	to->address = read_address(o);
	to->rack = read_string(o, "rack", CELL_NAME_MAX);
	to->data_center = read_string(o, "data_center", CELL_NAME_MAX);
	to->capacity.millicpus = read_int(o, "millicpus", 0, API_AMOUNT_MAX, 0);
	to->capacity.memory = read_int(o, "memory_bytes", 0, API_AMOUNT_MAX, 0);
	to->capacity.accelerators =
	    read_int(o, "accelerators", 0, API_AMOUNT_MAX, 0);
	to->slots = read_int(o, "slots", 0, API_AMOUNT_MAX, 0);
	to->connections = read_int(o, "connections", 0, API_AMOUNT_MAX, 0);
	w->complete = is_complete(o);
	w->epoch = (uint64_t)read_int(o, "epoch", 0, INT64_MAX, 0);
	read_running(o, w);
	read_ended(o, w);
	if (body_close(&b, err))
		return true;
	api_worker_clear(w);
	return false;
}

void
api_worker_clear(struct api_worker *w)
{
	g_free(w->worker.name);
	g_free(w->worker.address);
	g_free(w->worker.rack);
	g_free(w->worker.data_center);
	if (w->running != NULL)
		g_array_unref(w->running);
	if (w->ended != NULL)
		g_array_unref(w->ended);
	*w = (struct api_worker){ 0 };
}

bool
api_parse_end(const void *body, size_t len, struct api_end *end, GError **err)
{
	struct body b;
	struct object *o = &b.root;

	*end = (struct api_end){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	end->worker = require_string(o, "worker", CELL_NAME_MAX);
	end->epoch = (uint64_t)read_int(o, "epoch", 0, INT64_MAX, 0);
	read_outcome(o, end);
	if (body_close(&b, err))
		return true;
	api_end_clear(end);
	return false;
}

void
api_end_clear(struct api_end *end)
{
	g_free(end->worker);
	if (end->result != NULL)
		g_bytes_unref(end->result);
	*end = (struct api_end){ 0 };
}
