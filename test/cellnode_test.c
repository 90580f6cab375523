/*
 * Tests with real processes of a cell that use the platform's protocol and
 * discover each other through seeds: job submission to completion, lost disks,
 * graceful stops.
 */
#include <signal.h>
#include <string.h>

#include "stepcell.h"

#define JOB(n) "/q/000000000000000" n

static void
test_whole_path(void)
{
	struct cell *c = cell_new();

	CELL_AWAIT(c, cell_submit(c, 3, JOB("1")));
	g_assert_true(cell_submit(c, 0, JOB("1"))); /* duplicate */
	CELL_AWAIT(c, cell_state_is(c, 1, JOB("1"), "completed"));
	cell_assert_done_once(c, 3);
	g_assert_cmpint(
	    cell_call(c, c->node[2].callers, EVHTTP_REQ_GET, "/q/", NULL), ==,
	    200);
	g_assert_cmpstr(c->body, ==, "{\"waiting\":0}");
	g_assert_cmpint(
	    cell_call(c, c->node[2].callers, EVHTTP_REQ_GET, JOB("f"), NULL),
	    ==, 410);
	g_assert_cmpint(cell_call(c, c->node[2].callers, EVHTTP_REQ_GET,
			    "/none/0000000000000001", NULL),
	    ==, 404);
	g_assert_cmpint(cell_call(c, c->node[2].control, EVHTTP_REQ_POST,
			    "/bulrushtide/config/replace", "{\"version\":9}"),
	    ==, 400);
	cell_free(c);
}

/* Each node with a disk in turn is killed and loses its disk. */
static void
test_lost_disks(void)
{
	struct cell *c = cell_new();
	guint jobs = 0;

	for (int i = 0; i < DISKS; i++) {
		char *path = g_strdup_printf("/q/000000000000000%d", i + 1);

		CELL_AWAIT(c, cell_submit(c, 3, path));
		jobs++;
		cell_kill_node(c, i);
		cell_wipe_disk(c, i);
		cell_start_node(c, i, false);
		CELL_AWAIT(c, cell_node_ready(c, i));
		CELL_AWAIT(c, cell_state_is(c, i, path, "completed"));
		CELL_AWAIT(c,
		    cell_call(c, c->node[i].control, EVHTTP_REQ_GET,
			"/bulrushtide/config/read", NULL) == 200);
		g_assert_cmpstr(c->body, ==, cell_config);
		/* Let the empty replica catch up before the next loss. */
		for (int64_t until = mono_ms() + 3000; mono_ms() < until;) {
			cell_run_loop(c);
		}
		g_free(path);
	}
	cell_assert_done_once(c, jobs * 3);
	cell_free(c);
}

/* All nodes stop gracefully in turn: exit status 0, no job is lost. */
static void
test_graceful_stops(void)
{
	struct cell *c = cell_new();

	for (int i = 0; i < NODES; i++) {
		char *path = g_strdup_printf("/q/00000000000000a%d", i);

		CELL_AWAIT(c, cell_submit(c, i, path));
		kill(c->node[i].proc->pid, SIGTERM);
		g_assert_cmpint(proc_wait(c->node[i].proc), ==, 0);
		g_clear_pointer(&c->node[i].proc, proc_free);
		cell_start_node(c, i, false);
		CELL_AWAIT(c, cell_node_ready(c, i));
		CELL_AWAIT(
		    c, cell_state_is(c, (i + 1) % NODES, path, "completed"));
		g_free(path);
	}
	cell_assert_done_once(c, NODES * 3);
	cell_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cellnode/whole-path", test_whole_path);
	g_test_add_func("/cellnode/losses", test_lost_disks);
	g_test_add_func("/cellnode/stops", test_graceful_stops);
	return g_test_run();
}
