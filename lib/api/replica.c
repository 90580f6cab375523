/*
 * Parses changes of the replica membership.
 */
#include <string.h>

#include "fields.h"

static const char *const replica_keys[] = { "action", "name", "address", NULL };

bool
api_parse_replica(
    const void *body, size_t len, struct api_replica *change, GError **err)
{
	struct body b;
	struct object *o = &b.root;
	char *action;

	*change = (struct api_replica){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	report_unknown_keys(o, replica_keys);
	action = require_string(o, "action", CELL_NAME_MAX);
	change->add = g_strcmp0(action, "add") == 0;
	if (action != NULL && !change->add && strcmp(action, "remove") != 0)
		report_fault(o, "action", json_object_get(o->json, "action"),
		    "\"add\" or \"remove\"");
	g_free(action);
	change->name = require_string(o, "name", CELL_NAME_MAX);
	if (body_close(&b, err))
		return true;
	api_replica_clear(change);
	return false;
}

void
api_replica_clear(struct api_replica *change)
{
	g_free(change->name);
	*change = (struct api_replica){ 0 };
}
