/*
 * Two minions are replaced in turn under the ids that they had. The process
 * that gets their deregistrations first is frozen and passes them on when it
 * wakes, while the next incarnations are at work.
 */
#include "../standin/cell.h"

#include <signal.h>
#include <string.h>

#define MINIONS 6
#define MINIONS_B 2 /* of kind b; the last ones */
#define NEXT 4 /* the process that is called after the frozen one */
#define SERVE_MS (DRAIN_MS + 200) /* drained minions go on for a little */
#define CALL_MS 1000 /* without an answer the next process is called */
#define DOWN_MS 2000 /* until a minion starts again */
#define FREEZE_MS 6000
#define JOBS 4

static int
submit(struct cell *c, int k)
{
	static const char body[] =
	    "{\"spec\":\"800\",\"steps\":[{\"count\":2,\"cpu\":2500,\"memMb\":"
	    "1024,\"estimatedMs\":800,\"requirements\":\"b\"}]}";
	char *path = g_strdup_printf(CELL_PREFIX "5c0e7a21d94b%04x", k);
	int status = call(
	    c, c->node[NEXT].front, EVHTTP_REQ_POST, path, body, 3000, NULL);

	note(c, "job 5c0e7a21d94b%04x sent: %d", k, status);
	g_free(path);
	return status;
}

static char *
state_of(struct cell *c, int k)
{
	char *id = g_strdup_printf("5c0e7a21d94b%04x", k);
	char *state = job_state(c, id);

	note(c, "job %s is \"%s\"", id, state);
	g_free(id);
	return state;
}

/* The end of a minion that has drained: it calls one process after the other
 * until one answers. */
static void
leave(struct minion *m, int frozen)
{
	struct cell *c = m->cell;
	char *path =
	    g_strdup_printf("/bulrushtide/instances/%s/deregister", m->id);
	int status = call(c, c->node[frozen].control, EVHTTP_REQ_POST, path,
	    NULL, CALL_MS, NULL);

	note(c, "%s deregisters at process %d: %d", m->id, frozen, status);
	if (status != 200) {
		status = call(c, c->node[NEXT].control, EVHTTP_REQ_POST, path,
		    NULL, CALL_MS, NULL);
		note(
		    c, "%s deregisters at process %d: %d", m->id, NEXT, status);
	}
	g_free(path);
	minion_stop(m);
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	struct minion *b[MINIONS_B];
	int64_t start_ms[MINIONS_B];
	int64_t thaw_ms;
	int frozen;
	char *state;
	int waiting = 0;

	for (int i = 0; i < MINIONS; i++)
		(void)minion_add(
		    c, i < MINIONS - MINIONS_B ? "a" : "b", 32000, 65536);
	for (int i = 0; i < MINIONS_B; i++)
		b[i] = c->minion[MINIONS - MINIONS_B + i];
	cell_start(c);
	(void)submit(c, 0);
	cell_run(c, 4000);
	state = state_of(c, 0);
	if (strcmp(state, "completed") != 0)
		give_up(c, "the first job is not completed");
	g_free(state);
	for (int i = 0; i < MINIONS_B; i++) {
		b[i]->draining = true;
		b[i]->next_beat_ms = 0;
		b[i]->beat_node = NEXT;
		note(c, "%s drains", b[i]->id);
	}
	cell_run(c, SERVE_MS);
	/* One of the core that doesn't lead. */
	frozen = (cell_leader(c) + 1) % CELL_DISKS;
	if (c->trouble)
		node_signal(c, frozen, SIGSTOP);
	thaw_ms = now_ms() + FREEZE_MS;
	for (int i = 0; i < MINIONS_B; i++) {
		if (!b[i]->drain_acked)
			give_up(c, "a minion's draining is not acknowledged");
		leave(b[i], frozen);
		start_ms[i] = now_ms() + DOWN_MS;
	}
	for (int i = 0; i < MINIONS_B; i++) {
		while (now_ms() < start_ms[i])
			cell_run(c, 10);
		b[i]->beat_node = NEXT;
		minion_start(b[i]);
	}
	while (now_ms() < thaw_ms)
		cell_run(c, 10);
	if (c->trouble)
		node_signal(c, frozen, SIGCONT);
	cell_run(c, 5000);
	for (int k = 1; k <= JOBS; k++)
		(void)submit(c, k);
	cell_run(c, FINISH_S * 1000);
	for (int k = 1; k <= JOBS; k++) {
		state = state_of(c, k);
		waiting += strcmp(state, "queued") == 0;
		g_free(state);
	}
	note(c,
	    "tasks on the two minions now: %d and %d of 32 cores each are "
	    "free",
	    minion_running(b[0]), minion_running(b[1]));
	(void)printf("accepted jobs that wait %d s after they were handed in, "
		     "with both minions ready and empty: %d of %d\n",
	    FINISH_S, waiting, JOBS);
	return cell_finish(c, waiting > 0);
}
