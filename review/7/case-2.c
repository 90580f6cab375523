/*
 * A deployment that has to bear the loss of two disks: two machines with disks
 * lose power for a while; meanwhile two others lose their disks. Then all are
 * back. What was acknowledged has to be there, and the service.
 */
#include "../standin-2/cell.h"

#include <stdlib.h>
#include <string.h>

#define NODES 7
#define DISKS 6
/* Two machines are without power for 9.5 s at most. */
#define OUTAGE_MS 8200
#define WIPED_DOWN_MS 800
#define LAST_BACK_MS 200
#define RECOVERY_MS 15000 /* recoveryS */
#define JUDGED_REQUESTS 8

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

static const char job[] = "{\"spec\":\"allocate\",\"steps\":[{\"count\":2,"
			  "\"cpu\":6000,\"memMb\":1024,\"estimatedMs\":1000}]}";

/* The two losses overlap; afterwards all machines run. */
static void
lose(struct cell *c)
{
	cell_kill_node(c, 4);
	cell_kill_node(c, 5);
	cell_run_for(c, OUTAGE_MS);
	if (!cell_submit(c, "nony24.example", "/lohu930/00000000000000a1", job))
		cell_note(c, "no job was accepted during the outage");
	cell_kill_node(c, 0);
	cell_kill_node(c, 1);
	cell_wipe_disk(c, 0);
	cell_wipe_disk(c, 1);
	cell_run_for(c, WIPED_DOWN_MS);
	cell_restart_node(c, 0);
	cell_restart_node(c, 1);
	cell_run_for(c, LAST_BACK_MS);
	cell_restart_node(c, 4);
	cell_restart_node(c, 5);
}

/* RECOVER: less than a quarter of the requests is served. LOST: the
 * acknowledged configuration and an accepted job are gone or don't come. */
static void
judge(struct cell *c)
{
	int served = 0;
	int read = 0;
	char *state;

	for (int i = 0; i < JUDGED_REQUESTS; i++) {
		struct cell_node *n = &c->node[i % c->nodes];
		char *path = g_strdup_printf("/lohu930/00000000000000b%d", i);
		int status = cell_call(c, n->front, EVHTTP_REQ_POST,
		    "nony24.example", path, job, NULL);

		cell_note(
		    c, "client POST %s at %s -> %d", path, n->name, status);
		served += status / 100 == 2;
		g_free(path);
	}
	for (int i = 0; i < c->nodes; i++) {
		char *document = NULL;

		read += cell_read_config(c, i, &document) == 200 &&
		    strcmp(document, config) == 0;
		g_free(document);
	}
	state = cell_state(c, "nony24.example", "/lohu930/5c0e7a21d94b36f8");
	if (served * 4 < JUDGED_REQUESTS)
		cell_break(c, "RECOVER: %d of %d requests are served", served,
		    JUDGED_REQUESTS);
	if (read == 0)
		cell_break(c,
		    "LOST: the acknowledged configuration is read "
		    "back at no machine");
	if (strcmp(state, "completed") != 0)
		cell_break(
		    c, "LOST: the state of an accepted job is \"%s\"", state);
	g_free(state);
}

static bool
play(struct cell *c)
{
	if (!cell_submit(c, "nony24.example", "/lohu930/5c0e7a21d94b36f8", job))
		return false;
	cell_run_for(c, 4000);
	if (cell_trouble())
		lose(c);
	else
		cell_run_for(c, OUTAGE_MS);
	cell_run_for(c, RECOVERY_MS + 1000);
	judge(c);
	return true;
}

int
main(int argc, char **argv)
{
	struct cell_conf conf = { .nodes = NODES,
		.disks = DISKS,
		.workers = 3,
		.service = "huvo11a",
		.config = config };

	return cell_main(argc, argv, &conf, play);
}
