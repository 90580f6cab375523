/*
 * A minion whose checkpoints are longer than 4,096 bytes. Jobs were accepted
 * before and beside it; at the end each of them is asked for.
 */
#include "../standin/cell.h"

#include <stdlib.h>
#include <string.h>

#define MINIONS 6
#define JOBS 12 /* in each of two parts */
#define LONG_CHECKPOINT 5000
#define SHORT_CHECKPOINT 16
#define ASK_S 10 /* how long a job is asked for without an answer */

static char *
job_id(int k)
{
	return g_strdup_printf("5c0e7a21d94b%04x", k);
}

/* Every second job runs on the minion of kind b. */
static bool
submit(struct cell *c, int k)
{
	char *body = g_strdup_printf(
	    "{\"spec\":\"700\",\"steps\":[{\"count\":3,\"cpu\":2500,\"memMb\":"
	    "1024,\"estimatedMs\":700,\"checkpointing\":true,"
	    "\"requirements\":\"%s\"}]}",
	    k % 2 == 0 ? "a" : "b");
	char *id = job_id(k);
	char *path = g_strconcat(CELL_PREFIX, id, NULL);
	int status = call(c, c->node[k % CELL_NODES].front, EVHTTP_REQ_POST,
	    path, body, 3000, NULL);

	note(c, "job %s sent: %d", id, status);
	g_free(path);
	g_free(body);
	g_free(id);
	return status == 200;
}

/* The state of a job, asked for until there is an answer. */
static char *
ask(struct cell *c, const char *id)
{
	int64_t limit = now_ms() + ASK_S * 1000;
	char *state = job_state(c, id);

	while (*state == '\0' && now_ms() < limit) {
		g_free(state);
		cell_run(c, 200);
		state = job_state(c, id);
	}
	return state;
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	bool accepted[2 * JOBS];
	int unanswered = 0;
	int ends = 0;

	for (int i = 0; i < MINIONS; i++)
		minion_add(c, i == 0 ? "b" : "a", 32000, 65536)
		    ->checkpoint_len = SHORT_CHECKPOINT;
	cell_start(c);
	for (int k = 0; k < JOBS; k++)
		accepted[k] = submit(c, k);
	cell_run(c, 3000);
	if (c->trouble) {
		c->minion[0]->checkpoint_len = LONG_CHECKPOINT;
		note(c, "%s: checkpoints have %d bytes from now on",
		    c->minion[0]->id, LONG_CHECKPOINT);
	}
	for (int k = JOBS; k < 2 * JOBS; k++) {
		accepted[k] = submit(c, k);
		cell_run(c, 100);
	}
	cell_run(c, FINISH_S * 1000);
	for (int k = 0; k < 2 * JOBS; k++) {
		char *id = job_id(k);
		char *state =
		    accepted[k] && unanswered < 2 ? ask(c, id) : g_strdup("-");

		note(c, "job %s accepted=%d state=\"%s\"", id, accepted[k],
		    state);
		unanswered += accepted[k] &&
		    (*state == '\0' || strcmp(state, "410") == 0);
		g_free(state);
		g_free(id);
	}
	for (int i = 0; i < CELL_NODES; i++)
		ends += c->node[i].own_ends;
	note(c,
	    "accepted jobs without an answer: %d; processes that ended by "
	    "themselves: %d",
	    unanswered, ends);
	(void)printf("accepted jobs without an answer: %d (asking stopped at "
		     "2); processes that ended by themselves: %d times\n",
	    unanswered, ends);
	return cell_finish(c, unanswered > 0);
}
