/* A heartbeat from another writer, with a service that isn't named in the
 * configuration. */
#include <stdlib.h>
#include <string.h>

#include "cell.h"

#define PATH "/lohu930/5c0e7a21d94b36f8"

static struct minion *
minion_at_work(struct cell *c)
{
	for (int i = 0; i < c->minions; i++)
		if (c->minion[i]->runs->len > 0)
			return c->minion[i];
	return NULL;
}

static void
send_foreign(struct cell *c, const struct minion *m)
{
	char *path =
	    g_strdup_printf("/bulrushtide/instances/%s/heartbeat", m->id);
	char *body = g_strdup_printf(
	    "{\"service\":\"zote77c\",\"address\":\"%.*s99:8080\","
	    "\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"
	    "\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":"
	    "16000,\"memMb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
	    "\"born\":%" G_GINT64_FORMAT ",\"currentTimeMs\":12,\"seq\":1}",
	    (int)(strrchr(c->node[0].ip, '.') - c->node[0].ip) + 1,
	    c->node[0].ip, g_get_real_time() / 1000);
	int status = cell_call(c, c->node[1].control, "control",
	    EVHTTP_REQ_POST, path, body, 1000, NULL);

	note(c, "another writer's heartbeat %s gets %d", body, status);
	g_free(path);
	g_free(body);
}

int
main(void)
{
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	struct cell *c = cell_new(false);
	int broken;

	cell_add_minions(c, 8);
	c->task_ms = 12000;
	cell_configure(c, cell_config);
	cell_run(c, 2000);
	cell_submit(c, PATH, 1, 500, 12000);
	cell_run(c, 2000);
	if (minion_at_work(c) == NULL)
		cell_give_up(c, "the task has not started");
	if (trouble)
		send_foreign(c, minion_at_work(c));
	cell_run(c, 14000);
	broken = c->twice;
	note(c, "TWICE is broken %d times", broken);
	cell_free(c);
	return broken > 0 ? 1 : 0;
}
