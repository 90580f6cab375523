/*
 * Changes of the membership that operators ask for.
 */
#include <string.h>

#include "fields.h"

static const char *const replica_keys[] = { "action", "name", "address", NULL };

bool
api_parse_replica(
    const void *body, size_t len, struct api_replica *change, GError **err)
{
	struct body b;
	struct object *o = &b.top;
	char *action;

	*change = (struct api_replica){ 0 };
	if (!body_open(&b, body, len))
		return body_close(&b, err);
	fault_unknown(o, replica_keys);
	action = need_string(o, "action", CELL_NAME_MAX);
	change->add = g_strcmp0(action, "add") == 0;
	if (action != NULL && !change->add && strcmp(action, "remove") != 0)
		fault(o, "action", json_object_get(o->json, "action"),
		    "\"add\" or \"remove\"");
	g_free(action);
	change->name = need_string(o, "name", CELL_NAME_MAX);
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
