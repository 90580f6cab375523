/*
 * Parses bodies from callers: jobs and cancellations by name prefix.
 */
#include "fields.h"

static const char *const job_keys[] = { "team", "name", "kind", "tasks",
	"resources", "runtime_ms", "urgent", "deadline_ms", "idempotent",
	"spread", "data_centers", "payload", NULL };
static const char *const resource_keys[] = { "millicpus", "memory_bytes",
	"accelerators", NULL };
static const char *const cancel_keys[] = { "team", "name_prefix", NULL };

static void
read_resources(struct object *parent, struct resources *r)
{
	struct object o = read_object(parent, "resources", "resources.");

	if (!has_key(parent, "resources")) {
		report_fault(parent, "resources", NULL,
		    "an object with millicpus and memory_bytes");
		return;
	}
	if (o.json == NULL)
		return;
	report_unknown_keys(&o, resource_keys);
	r->millicpus = require_int(&o, "millicpus", 1, API_AMOUNT_MAX);
	r->memory = require_int(&o, "memory_bytes", 1, API_AMOUNT_MAX);
	r->accelerators = read_int(&o, "accelerators", 0, API_AMOUNT_MAX, 0);
}

static void
read_kind(struct object *o, enum kind *kind)
{
	json_t *v = json_object_get(o->json, "kind");

	if (!json_is_string(v) || !kind_parse(json_string_value(v), kind))
		report_fault(o, "kind", v, "service, batch or gang");
}

static void
read_spread(struct object *o, enum spread *spread)
{
	json_t *v = json_object_get(o->json, "spread");

	*spread = SPREAD_NONE;
	if (!has_key(o, "spread"))
		return;
	if (!json_is_string(v) || !spread_parse(json_string_value(v), spread))
		report_fault(o, "spread", v, "none, rack or data-center");
}

static GPtrArray *
read_data_centers(struct object *o)
{
	json_t *list = read_array(o, "data_centers");
	GPtrArray *names;
	json_t *v;
	size_t i;

	if (list == NULL)
		return NULL;
	names = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach(list, i, v)
	{
		if (json_is_string(v) && json_string_length(v) >= 1 &&
		    json_string_length(v) <= CONFIG_NAME_MAX)
			g_ptr_array_add(names, g_strdup(json_string_value(v)));
		else
			report_fault(o, "data_centers", v,
			    "names of 1 to %d bytes", CONFIG_NAME_MAX);
	}
	return names;
}

bool
api_parse_job(
    const void *body, size_t len, struct cell_spec *spec, GError **err)
{
	struct body b;
	struct object *o = &b.root;

	*spec = (struct cell_spec){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	report_unknown_keys(o, job_keys);
	spec->team = require_string(o, "team", CONFIG_NAME_MAX);
	spec->name = require_string(o, "name", CELL_NAME_MAX);
	read_kind(o, &spec->kind);
	spec->tasks = (uint32_t)read_int(o, "tasks", 1, CELL_TASKS_MAX, 1);
	read_resources(o, &spec->resources);
	spec->runtime_ms = read_int(o, "runtime_ms", 1, API_AMOUNT_MAX, 0);
	spec->urgent = read_bool(o, "urgent");
	spec->deadline_ms = read_int(o, "deadline_ms", 1, API_AMOUNT_MAX, 0);
	spec->idempotent = read_bool(o, "idempotent");
	read_spread(o, &spec->spread);
	spec->data_centers = read_data_centers(o);
	spec->payload = read_value(o, "payload", CELL_PAYLOAD_MAX);
	if (body_close(&b, err))
		return true;
	cell_spec_clear(spec);
	return false;
}

bool
api_parse_cancel(
    const void *body, size_t len, struct api_cancel *cancel, GError **err)
{
	struct body b;
	struct object *o = &b.root;

	*cancel = (struct api_cancel){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	report_unknown_keys(o, cancel_keys);
	cancel->team = require_string(o, "team", CONFIG_NAME_MAX);
	cancel->name_prefix = require_string(o, "name_prefix", CELL_NAME_MAX);
	if (body_close(&b, err))
		return true;
	api_cancel_clear(cancel);
	return false;
}

void
api_cancel_clear(struct api_cancel *cancel)
{
	g_free(cancel->team);
	g_free(cancel->name_prefix);
	*cancel = (struct api_cancel){ 0 };
}
