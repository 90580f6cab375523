/*
 * One minion of nine is cut off for about two seconds while more than 500
 * tasks end on it, so that it lists their ends in two parts.
 */
#include "../standin/cell.h"

#include <stdlib.h>
#include <string.h>

#define MINIONS 9
#define JOBS 13
#define WIDTH 48
#define TASK_MS 2500 /* of the first job's tasks */
#define STAGGER_MS 70 /* longer, of each next job's */
#define START_LIMIT_MS 2300
#define CUT_MAX_MS 2500 /* the lease is for 4.5 s */

static bool
submit(struct cell *c, int k)
{
	int task_ms = TASK_MS + k * STAGGER_MS;
	char *path = g_strdup_printf(CELL_PREFIX "5c0e7a21d94b%04x", k);
	char *body = g_strdup_printf(
	    "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":50,\"memMb\":"
	    "64,\"estimatedMs\":%d,\"requirements\":\"b\"}]}",
	    task_ms, WIDTH, task_ms);
	int status = call(c, c->node[k % CELL_NODES].front, EVHTTP_REQ_POST,
	    path, body, 3000, NULL);

	note(c, "job 5c0e7a21d94b%04x sent: %d", k, status);
	g_free(path);
	g_free(body);
	return status == 200;
}

/* When the first or the last task that runs will end. */
static int64_t
due_ms(const struct minion *m, bool last)
{
	int64_t due = 0;

	for (guint i = 0; i < m->runs->len; i++) {
		const struct run *r = m->runs->pdata[i];

		if (due == 0 || (last ? r->due_ms > due : r->due_ms < due))
			due = r->due_ms;
	}
	return due;
}

/* Cuts the minion off from shortly before the first end until the last one. */
static void
cut_over_ends(struct cell *c, struct minion *m)
{
	int64_t last = due_ms(m, true);
	int64_t begin;

	while (now_ms() < due_ms(m, false) - 100)
		cell_run(c, 5);
	begin = now_ms();
	minion_cut(m, true);
	while (now_ms() < MIN(last + 50, begin + CUT_MAX_MS))
		cell_run(c, 5);
	minion_cut(m, false);
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
	if (c->trouble)
		cut_over_ends(c, c->minion[0]);
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
