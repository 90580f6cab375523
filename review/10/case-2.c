/*
 * Minions crash while start orders are on their way to them, and are back under
 * their ids.
 */
#include "../standin-2/cell.h"

#include <stdlib.h>
#include <string.h>

#define WORKERS 7 /* one at a time crashes: below a share of 0.15 */
#define TASK_MS 3000
#define CRASHES 14
#define DOWN_MIN_MS 1000
#define DOWN_STEP_MS 100 /* longer from crash to crash */
#define FIRST_HEARTBEAT_MS 500 /* a third of heartbeatMs */
#define BETWEEN_MS 4500

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

static const char job[] = "{\"spec\":\"allocate\",\"steps\":[{\"count\":12,"
			  "\"cpu\":6000,\"memMb\":1024,\"estimatedMs\":3000}]}";

static bool armed; /* the minion that gets the next start order crashes */
static struct cell_worker *crashing;
static int64_t back_ms;

static void
on_started(struct cell_worker *w, const char *task, int64_t run, bool late)
{
	struct cell_worker *other = cell_running_elsewhere(w, task);

	if (other != NULL)
		cell_break(w->cell,
		    "TWICE: %s starts run %" G_GINT64_FORMAT
		    " of %s, which is at work on %s, which is up",
		    w->id, run, task, other->id);
}

/* The orders that a minion crashes under get no answer and have no effect. */
static int64_t
crash_at_start(struct cell_worker *w, const char *task, int64_t run)
{
	if (armed && crashing == NULL)
		crashing = w;
	return armed && w == crashing ? 1 : 0;
}

static void
revive(struct cell *c)
{
	if (crashing == NULL || crashing->server != NULL || mono_ms() < back_ms)
		return;
	cell_revive_worker(crashing, FIRST_HEARTBEAT_MS);
	crashing = NULL;
}

static bool
play(struct cell *c)
{
	c->task_ms = TASK_MS;
	c->started = on_started;
	c->late = crash_at_start;
	for (int i = 0; i < CRASHES; i++) {
		char *path = g_strdup_printf("/lohu930/5c0e7a21d94b3%03x", i);
		int64_t end = mono_ms() + BETWEEN_MS;

		armed = cell_trouble();
		if (!cell_submit(c, "nony24.example", path, job))
			return false;
		g_free(path);
		armed = false;
		if (crashing != NULL) {
			cell_crash_worker(crashing);
			back_ms = mono_ms() + DOWN_MIN_MS + i * DOWN_STEP_MS;
		}
		while (mono_ms() < end) {
			cell_run_for(c, 10);
			revive(c);
		}
	}
	cell_run_for(c, 2 * TASK_MS);
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
