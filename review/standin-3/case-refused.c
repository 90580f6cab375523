/* The answer to a job is lost with its connection while the job's route is
 * removed. */
#include <stdlib.h>
#include <string.h>

#include "cell.h"

#define SPEC "spec-of-the-job-whose-answer-is-lost"
#define PATH "/lohu930/5c0e7a21d94b36f8"

#define SERVICES                                                            \
	"],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\"," \
	"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"                \
	"\"constraints\":false,\"standby\":false}]}"
#define ROUTE(name, prefix)                                                   \
	"{\"name\":\"" name                                                   \
	"\",\"host\":\"nony24.example\",\"pathPrefix\":\"" prefix             \
	"\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000," \
	"\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":3,"           \
	"\"slackFactor\":2.2}"

static const char with_route[] = "{\"version\":7,\"routes\":[" ROUTE(
    "r-1", "/pule252/") "," ROUTE("r-2", "/lohu930/") SERVICES;
static const char without_route[] =
    "{\"version\":9,\"routes\":[" ROUTE("r-1", "/pule252/") SERVICES;

struct caller {
	struct cell *cell;
	bool answered;
	int status;
};

static void
on_answer(void *arg, int status, const char *body, size_t len, bool sent)
{
	struct caller *k = arg;

	k->answered = true;
	k->status = status;
	note(k->cell, "the POST gets %d", status);
}

static int starts;

static void
on_start(struct minion *m, const struct run *r)
{
	starts++;
}

int
main(void)
{
	static const char *const headers[] = { "Host", CELL_HOST,
		"Bulrushtide-Deadline-Ms", "3000", NULL };
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	struct cell *c = cell_new(true);
	struct caller k = { .cell = c };
	struct web_peer *p = web_peer_new(c->base, c->node[4].front);
	const char *body = "{\"spec\":\"" SPEC "\",\"steps\":[{\"count\":1,"
			   "\"cpu\":500,\"memMb\":256,\"estimatedMs\":900}]}";
	bool broken;

	c->on_start = on_start;
	for (int i = 0; i < 4; i++) {
		char *id = g_strdup_printf("i-7f3a91c%d", i);

		(void)minion_new(c, id, "huvo11a");
		g_free(id);
	}
	cell_configure(c, with_route);
	cell_run(c, 2000);
	for (int i = 0; trouble && i < NODES; i++)
		proxy_silence_after(c->node[i].proxy, "front-z4", SPEC);
	note(c, "POST " PATH " to front-z4");
	web_send(p, EVHTTP_REQ_POST, PATH, headers, body, 3000, on_answer, &k);
	cell_run(c, 300);
	for (int i = 0; i < NODES; i++)
		if (proxy_silenced(c->node[i].proxy) > 0)
			note(c,
			    "the connection from front-z4 to front-z%d has "
			    "gone silent",
			    i);
	note(c, "the operator removes the route");
	cell_configure(c, without_route);
	while (!k.answered)
		cell_run(c, 10);
	cell_run(c, 2000);
	broken = starts > 0 &&
	    (k.status == 404 || k.status == 429 || k.status == 503);
	note(c, "the job's tasks have started %d times; REFUSED is %s", starts,
	    broken ? "broken" : "kept");
	cell_free(c);
	return broken ? 1 : 0;
}
