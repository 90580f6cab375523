/* An order without an answer is carried out by the next life of its minion,
 * after its task has ended. */
#include <stdlib.h>
#include <string.h>

#include "cell.h"

#define MINIONS 8
#define LATE_MS 6000 /* orders are carried out 2 to 12 s later */

static struct {
	struct minion *first; /* that gets an order; gives no answer to it */
	bool trouble;
} state;

static enum start_fate
fate(struct minion *m, const char *task)
{
	if (state.first != NULL)
		return START_NOW;
	state.first = m;
	return state.trouble ? START_LATE : START_NOW;
}

int
main(void)
{
	struct cell *c = cell_new(false);
	struct minion *m;
	int broken;

	state.trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	c->task_ms = 600;
	cell_add_minions(c, MINIONS);
	for (int i = 0; i < MINIONS; i++) {
		c->minion[i]->fate = fate;
		c->minion[i]->late_ms = LATE_MS;
	}
	cell_configure(c, cell_config);
	cell_run(c, 3000);
	cell_submit(c, "/lohu930/5c0e7a21d94b36f8", 1, 4000, 600);
	cell_run(c, 2000);
	m = state.first;
	if (m == NULL)
		cell_give_up(c, "no minion got an order");
	minion_crash(m);
	cell_run(c, 2500);
	minion_restart(m);
	cell_run(c, 6000);
	broken = c->twice;
	note(c, "TWICE is broken %d times", broken);
	cell_free(c);
	return broken > 0 ? 1 : 0;
}
