/*
 * First start. One of three machines with a disk is frozen before it has
 * joined; the one that acknowledges the first configuration loses its disk.
 * Afterwards all machines are back.
 */
#include "../standin/cell.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define FROZEN 1
#define FIRST 0 /* the first seed; the operator calls it first */
#define JOIN_MS 150 /* after their start; none has joined by then */
#define FREEZE_MS 6000
#define DOWN_MS 1500
#define LIMIT_MS 15000
#define RECOVERY_MS 12000
#define READ_MS 10000 /* how long the operator reads back */

/* Reads the configuration back at all processes in turn. */
static bool
read_back(struct cell *c, int64_t for_ms)
{
	int64_t limit = now_ms() + for_ms;

	for (int i = 0; now_ms() < limit; i = (i + 1) % CELL_NODES) {
		char *body = NULL;
		int status = call(c, c->node[i].control, EVHTTP_REQ_GET,
		    "/bulrushtide/config/read", NULL, 1000, &body);
		bool ok = status == 200 && strstr(body, "\"version\":7");

		g_free(body);
		if (ok) {
			note(c, "process %d answers with version 7", i);
			return true;
		}
		note(c, "process %d answers the read with %d", i, status);
		cell_run(c, 300);
	}
	return false;
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	int64_t limit;
	int64_t thaw_ms;
	bool known;

	cell_start_nodes(c);
	cell_run(c, JOIN_MS);
	if (c->trouble)
		node_signal(c, FROZEN, SIGSTOP);
	thaw_ms = now_ms() + FREEZE_MS;
	limit = now_ms() + LIMIT_MS;
	while (cell_configure(c, FIRST) != 200) {
		if (now_ms() > limit)
			give_up(c, "the configuration is not accepted");
		cell_run(c, 50);
	}
	note(c, "process %d acknowledges version 7", FIRST);
	if (c->trouble)
		node_wipe(c, FIRST, DOWN_MS);
	while (now_ms() < thaw_ms)
		cell_run(c, 10);
	if (c->trouble)
		node_signal(c, FROZEN, SIGCONT);
	note(c, "all machines are back");
	cell_run(c, RECOVERY_MS);
	known = read_back(c, READ_MS);
	(void)printf("configuration that was acknowledged is read back: %s\n",
	    known ? "yes" : "no");
	return cell_finish(c, !known);
}
