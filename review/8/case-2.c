/*
 * Minions crash by turns, twice each, under the tasks of a job that lasts.
 */
#include "../standin-2/cell.h"

#include <stdlib.h>
#include <string.h>

#define WORKERS 8
#define ROUNDS 2
#define DOWN_MS 1000
#define BETWEEN_MS 200 /* from the return of one to the crash of the next */
#define JOBS 6
#define FINISH_MS 14000 /* finish_s */
#define NOTHING_MS 3000
#define LASTING "5c0e7a21d94b3000"

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-3hwrr6x\","
    "\"host\":\"nony24.example\",\"pathPrefix\":\"/lohu930/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,"
    "\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":3,"
    "\"slackFactor\":2.2}],\"services\":[{\"name\":\"huvo11a\","
    "\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"constraints\":false,\"standby\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static const char lasting[] =
    "{\"spec\":\"keep\",\"steps\":[{\"count\":8,\"cpu\":2000,"
    "\"memMb\":1024,\"antiAffinity\":1,\"longRunning\":true}]}";
static const char job[] = "{\"spec\":\"allocate\",\"steps\":[{\"count\":2,"
			  "\"cpu\":2000,\"memMb\":1024,\"estimatedMs\":1000}]}";

static GHashTable *started; /* set of ids of jobs */

static void
on_started(struct cell_worker *w, const char *task, int64_t run, bool late)
{
	g_hash_table_add(started, g_strndup(task, strlen(LASTING)));
}

/* One minion at a time is down. */
static void
crash_by_turns(struct cell *c)
{
	for (int i = 0; i < ROUNDS * WORKERS; i++) {
		struct cell_worker *w = c->workers->pdata[i % WORKERS];

		if (cell_trouble())
			cell_crash_worker(w);
		cell_run_for(c, DOWN_MS);
		if (cell_trouble())
			cell_revive_worker(w, 0);
		cell_run_for(c, BETWEEN_MS);
	}
}

static int
count_running(const struct cell *c)
{
	int n = 0;

	for (guint i = 0; i < c->workers->len; i++)
		n += (int)((struct cell_worker *)c->workers->pdata[i])
			 ->runs->len;
	return n;
}

static bool
play(struct cell *c)
{
	int waiting = 0;

	started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->task_ms = 1000000;
	c->started = on_started;
	if (!cell_submit(c, "nony24.example", "/lohu930/" LASTING, lasting))
		return false;
	cell_run_for(c, 3000);
	crash_by_turns(c);
	cell_run_for(c, 2000);
	for (int i = 1; i <= JOBS; i++) {
		char *path = g_strdup_printf("/lohu930/5c0e7a21d94b300%d", i);

		if (!cell_submit(c, "nony24.example", path, job))
			return false;
		g_free(path);
	}
	cell_run_for(c, FINISH_MS);
	for (int i = 1; i <= JOBS; i++) {
		char *path = g_strdup_printf("/lohu930/5c0e7a21d94b300%d", i);

		if (!g_hash_table_contains(started, path + 9))
			waiting++;
		g_free(cell_state(c, "nony24.example", path));
		g_free(path);
	}
	cell_note(c, "%d tasks of 2 cores run on %d minions of 32 cores",
	    count_running(c), WORKERS);
	if (waiting > 0)
		cell_break(c,
		    "LOST: of %d accepted jobs nothing was started for %d ms",
		    waiting, FINISH_MS);
	return true;
}

int
main(int argc, char **argv)
{
	struct cell_conf conf = { .nodes = 4,
		.disks = 3,
		.workers = WORKERS,
		.service = "huvo11a",
		.config = config };

	return cell_main(argc, argv, &conf, play);
}
