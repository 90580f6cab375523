/*
 * One minion of six is cut off for less than two seconds while more than 500
 * tasks end on it, so that it lists their ends in two parts.
 */
#include "../standin/cell.h"

#include <stdlib.h>
#include <string.h>

#define MINIONS 6
#define JOBS 13
#define WIDTH 48
#define TASK_MS 1600
#define START_LIMIT_MS 6000

static bool
submit(struct cell *c, int k)
{
	char *path = g_strdup_printf(CELL_PREFIX "5c0e7a21d94b%04x", k);
	char *body = g_strdup_printf(
	    "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":50,\"memMb\":"
	    "64,\"estimatedMs\":%d,\"requirements\":\"b\"}]}",
	    TASK_MS, WIDTH, TASK_MS);
	int status = call(c, c->node[k % CELL_NODES].front, EVHTTP_REQ_POST,
	    path, body, 3000, NULL);

	note(c, "job 5c0e7a21d94b%04x sent: %d", k, status);
	g_free(path);
	g_free(body);
	return status == 200;
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	int64_t limit;
	int accepted = 0;
	int twice = 0;
	int starts = 0;

	for (int i = 0; i < MINIONS; i++)
		(void)minion_add(c, i == 0 ? "b" : "a", 32000, 65536);
	cell_start(c);
	for (int k = 0; k < JOBS; k++)
		accepted += submit(c, k);
	limit = now_ms() + START_LIMIT_MS;
	while (minion_running(c->minion[0]) < JOBS * WIDTH - 20 &&
	    now_ms() < limit)
		cell_run(c, 5);
	note(c, "%d tasks run on %s", minion_running(c->minion[0]),
	    c->minion[0]->id);
	if (c->trouble) {
		minion_cut(c->minion[0], true);
		cell_run(c, TASK_MS + 100);
		minion_cut(c->minion[0], false);
	}
	cell_run(c, FINISH_S * 1000);
	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct task_seen *t = value;

		starts += t->starts;
		if (t->starts_after_done == 0 || !t->done_acked)
			continue;
		twice++;
		note(c,
		    "TWICE: %s was started %d times after an end done that "
		    "was taken note of",
		    (const char *)key, t->starts_after_done);
	}
	(void)printf(
	    "accepted jobs: %d of %d; tasks: %u; starts: %d; most ends "
	    "waiting at once: %d; tasks started after they were done: %d\n",
	    accepted, JOBS, g_hash_table_size(c->tasks), starts,
	    c->ends_in_list_max, twice);
	return cell_finish(c, twice > 0);
}
