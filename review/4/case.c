/*
 * One job of eight tasks that last, each of which fails soon after each of its
 * starts, beside short jobs, on 48 minions that are nearly empty.
 */
#include "../standin/cell.h"

#include <string.h>

#define MINIONS 48
#define JOBS 30
#define INTERVAL_MS 300
#define LASTING_ID "00000000000000aa"
#define LASTING_TASKS 8
#define BEFORE_MS 6000 /* from the lasting job to the others */
#define WATCH_MS 3500 /* at the end */

static char *
job_id(int k)
{
	return g_strdup_printf("5c0e7a21d94b%04x", k);
}

static bool
submit(struct cell *c, int k)
{
	static const char body[] =
	    "{\"spec\":\"800\",\"steps\":[{\"count\":2,\"cpu\":2500,\"memMb\":"
	    "1024,\"estimatedMs\":800}]}";
	char *id = job_id(k);
	char *path = g_strconcat(CELL_PREFIX, id, NULL);
	int status = call(c, c->node[k % CELL_NODES].front, EVHTTP_REQ_POST,
	    path, body, 3000, NULL);

	note(c, "job %s sent: %d", id, status);
	g_free(path);
	g_free(id);
	return status == 200;
}

/* Whether a minion has ever started a task of the job. */
static bool
has_started(struct cell *c, const char *id)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (g_str_has_prefix(key, id))
			return true;
	return false;
}

static int
tasks_running(const struct cell *c)
{
	int sum = 0;

	for (int i = 0; i < c->minions; i++)
		sum += minion_running(c->minion[i]);
	return sum;
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	char *lasting = NULL;
	bool waits[JOBS] = { false };
	int64_t limit;
	int waiting = 0;
	int most = 0;

	for (int i = 0; i < MINIONS; i++)
		(void)minion_add(c, i % 2 == 0 ? "a" : "b", 32000, 65536);
	cell_start(c);
	lasting = g_strdup_printf(
	    "{\"spec\":\"600000%s\",\"steps\":[{\"count\":%d,\"cpu\":1000,"
	    "\"memMb\":512,\"estimatedMs\":320,\"longRunning\":true}]}",
	    c->trouble ? " fails=100" : "", LASTING_TASKS);
	if (call(c, c->node[3].front, EVHTTP_REQ_POST, CELL_PREFIX LASTING_ID,
		lasting, 3000, NULL) != 200)
		give_up(c, "the lasting job is not accepted");
	g_free(lasting);
	cell_run(c, BEFORE_MS);
	for (int k = 0; k < JOBS; k++) {
		waits[k] = submit(c, k);
		cell_run(c, INTERVAL_MS);
	}
	cell_run(c, FINISH_S * 1000);
	/* For more than 3 s: what waits, and how much is in use. */
	limit = now_ms() + WATCH_MS;
	while (now_ms() < limit) {
		most = MAX(most, tasks_running(c));
		cell_run(c, 20);
	}
	for (int k = 0; k < JOBS; k++) {
		char *id = job_id(k);
		char *state = job_state(c, id);

		waits[k] = waits[k] && !has_started(c, id) &&
		    strcmp(state, "queued") == 0;
		waiting += waits[k];
		note(c, "job %s is \"%s\"%s", id, state,
		    waits[k] ? ", and no task of it was ever started" : "");
		g_free(state);
		g_free(id);
	}
	note(c, "tasks running in the last %d ms: %d at most", WATCH_MS, most);
	(void)printf("jobs of which nothing was started %d s after the last "
		     "was handed in: %d of %d; tasks that ran in the last "
		     "%.1f s: %d at most, on %d minions of 32 cores\n",
	    FINISH_S, waiting, JOBS, WATCH_MS / 1000.0, most, MINIONS);
	return cell_finish(c, waiting > 0 && most < MINIONS);
}
