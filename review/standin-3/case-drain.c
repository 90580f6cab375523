/* Orders to start that get no answer, on a minion that drains. */
#include <stdlib.h>
#include <string.h>

#include "cell.h"

#define MINIONS 8
#define TASKS 28
#define LATE_MS 11000 /* orders are carried out 2 to 12 s later */

static struct {
	struct minion *leaving; /* the first that gets an order */
	bool trouble;
	int broken;
} state;

/* The minion that leaves gives no answer until DRAIN_MS after its draining is
 * acknowledged. */
static enum start_fate
fate(struct minion *m, const char *task)
{
	if (state.leaving == NULL) {
		state.leaving = m;
		minion_drain(m);
	}
	if (m != state.leaving || !state.trouble)
		return START_NOW;
	return m->drain_acked_ms == 0 ||
		mono_ms() < m->drain_acked_ms + DRAIN_MS + 100
	    ? START_LATE
	    : START_NOW;
}

static void
on_start(struct minion *m, const struct run *r)
{
	int64_t after_ms = r->start_ms - m->drain_acked_ms;

	if (m->drain_acked_ms == 0 || after_ms <= DRAIN_MS)
		return;
	note(m->cell,
	    "DRAIN: %s starts on %s %" G_GINT64_FORMAT
	    " ms after the acknowledgement that it drains",
	    r->task, m->id, after_ms);
	state.broken++;
}

int
main(void)
{
	struct cell *c = cell_new(false);

	state.trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	c->on_start = on_start;
	c->task_ms = 3000;
	cell_add_minions(c, MINIONS);
	for (int i = 0; i < MINIONS; i++) {
		c->minion[i]->fate = fate;
		c->minion[i]->late_ms = LATE_MS;
	}
	cell_configure(c, cell_config);
	cell_run(c, 2000);
	cell_submit(c, "/lohu930/5c0e7a21d94b36f8", TASKS, 4000, 3000);
	cell_run(c, 15000);
	note(c, "DRAIN is broken %d times, TWICE %d times", state.broken,
	    c->twice);
	cell_free(c);
	return state.broken > 0 ? 1 : 0;
}
