/* Two processes get SIGTERM in turn, the second one leads, while callers ask
 * the first one for the state of a job. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "cell.h"

#define STOPPED 4 /* the process that is stopped */
#define CALLERS 50
#define FIRST_MS 2350 /* the first caller asks so long after the SIGTERM */
#define INTERVAL_MS 50 /* and the others one after the other */
#define GAP_MS 4650 /* between the two signals */
#define LOSS_SLACK_MS 200

#define PATH "/lohu930/5c0e7a21d94b36f8"

struct caller {
	struct cell *cell;
	struct web_peer *conn; /* kept open */
	int64_t sent_ms;
	int number;
	int answers;
};

static struct caller callers[CALLERS];
static int lost; /* requests, as LOST has it */

static const char *const headers[] = { "Host", CELL_HOST,
	"Bulrushtide-Deadline-Ms", "3000", NULL };

static void
on_answer(void *arg, int status, const char *body, size_t len, bool sent)
{
	struct caller *k = arg;

	int64_t after_ms = mono_ms() - k->sent_ms;
	/* A connection that was not there has read no request. */
	bool is_lost = status == 0 && sent && after_ms > LOSS_SLACK_MS;

	note(k->cell,
	    "caller %d gets %d %.*s%s after %" G_GINT64_FORMAT " ms%s",
	    k->number, status, (int)len, body,
	    status != 0 ? ""
		: sent  ? "connection ended"
			: "no connection",
	    after_ms, is_lost ? ": LOST" : "");
	k->answers += status != 0;
	lost += is_lost;
}

static void
ask(struct caller *k)
{
	k->sent_ms = mono_ms();
	web_send(
	    k->conn, EVHTTP_REQ_GET, PATH, headers, NULL, 3000, on_answer, k);
}

/* Each caller asks once, over the connection that it keeps. */
static void
ask_before(struct cell *c)
{
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){ .cell = c, .number = i };
		callers[i].conn = web_peer_new(c->base, c->node[STOPPED].front);
		ask(&callers[i]);
	}
	cell_run(c, 1000);
	for (int i = 0; i < CALLERS; i++)
		if (callers[i].answers != 1)
			cell_give_up(c, "a caller got no answer before");
}

/* Sends the signals and the requests at their times. */
static void
stop_in_turn(struct cell *c, bool trouble)
{
	int64_t start_ms = mono_ms();
	int leader = cell_leader(c);
	bool second = false;

	if (leader < 0)
		cell_give_up(c, "no leader is known");
	if (trouble)
		node_signal(c, STOPPED, SIGTERM);
	for (int i = 0; i < CALLERS; i++) {
		int64_t at_ms = FIRST_MS + i * INTERVAL_MS;

		if (trouble && !second && at_ms >= GAP_MS) {
			cell_run_until(c, start_ms + GAP_MS);
			node_signal(c, leader, SIGTERM);
			second = true;
		}
		cell_run_until(c, start_ms + at_ms);
		if (!node_ended(c, STOPPED))
			ask(&callers[i]);
	}
	cell_run_until(c, start_ms + GRACE_S * 1000);
	if (!node_ended(c, STOPPED) && trouble)
		note(c, "front-z%d has not ended within graceS", STOPPED);
}

int
main(void)
{
	struct cell *c = cell_new(false);
	const struct node *n = &c->node[STOPPED];
	bool crashed;

	c->task_ms = 20000;
	cell_add_minions(c, 8);
	cell_configure(c, cell_config);
	cell_run(c, 2000);
	cell_submit(c, PATH, 1, 500, 20000);
	ask_before(c);
	stop_in_turn(c, g_strcmp0(g_getenv("TROUBLE"), "0") != 0);
	crashed = n->pid == 0 &&
	    (WIFSIGNALED(n->status) || WEXITSTATUS(n->status) != 0);
	note(c, "%d requests are LOST; front-z%d has %s", lost, STOPPED,
	    crashed           ? "crashed"
		: n->pid != 0 ? "not ended"
			      : "ended in order");
	cell_free(c);
	return lost > 0 || crashed ? 1 : 0;
}
