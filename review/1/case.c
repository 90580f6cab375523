/*
 * The leader is frozen for 1.2 s again and again while callers submit jobs at
 * its address; these wait for minions of kind b, which are full. Short jobs go
 * on at the other processes. Each job that was answered with 200 is asked for
 * afterwards.
 */
#include "../standin/cell.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MINIONS 12
#define MINIONS_B 2 /* of kind b */
#define CALLERS 16
#define ROUNDS 12
#define STORM_MS 80
#define FREEZE_MS 1200
#define LAST_ROUND_MS 80000 /* no round begins later */
#define CALM_MS 5500 /* catchUpS, and the time until a job is visible */
#define SHORT_JOB_INTERVAL_MS 40
#define SHORT_JOB                                                              \
	"{\"spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":128," \
	"\"estimatedMs\":100,\"requirements\":\"a\"}]}"
#define WAITING_JOB                                                          \
	"{\"spec\":\"1000\",\"steps\":[{\"count\":2,\"cpu\":2500,\"memMb\":" \
	"1024,"                                                              \
	"\"estimatedMs\":1000,\"requirements\":\"b\"}]}"
#define FILLING_JOB                                                   \
	"{\"spec\":\"180000\",\"steps\":[{\"count\":32,\"cpu\":2000," \
	"\"memMb\":"                                                  \
	"1024,\"estimatedMs\":180000,\"requirements\":\"b\"}]}"

struct caller {
	struct storm *storm;
	uint64_t id;
};

struct storm {
	struct cell *c;
	int node;
	bool over;
	int open;
	uint64_t next_id;
	GArray *accepted; /* uint64_t */
	int refused;
	int unanswered;
	int64_t thawed_ms;
	int accepted_after_thaw;
};

static void submit(struct caller *k);

static void
on_submit_answer(struct answer *a, void *arg)
{
	struct caller *k = arg;
	struct storm *s = k->storm;

	s->open--;
	if (a->status == 200) {
		g_array_append_val(s->accepted, k->id);
		if (s->thawed_ms != 0 && a->answered_ms >= s->thawed_ms) {
			s->accepted_after_thaw++;
			note(s->c,
			    "job %016" G_GINT64_MODIFIER
			    "x: 200 after the thaw, %d ms after it was sent",
			    k->id, (int)(a->answered_ms - a->sent_ms));
		}
	} else if (a->status == 0) {
		s->unanswered++;
	} else {
		s->refused++;
	}
	answer_free(a);
	if (s->over)
		g_free(k);
	else
		submit(k);
}

static void
submit(struct caller *k)
{
	struct storm *s = k->storm;
	char *path;

	k->id = s->next_id++;
	path = g_strdup_printf(CELL_PREFIX "%016" G_GINT64_MODIFIER "x", k->id);
	s->open++;
	(void)call_send(s->c, s->c->node[s->node].front, EVHTTP_REQ_POST, path,
	    WAITING_JOB, 3000, on_submit_answer, k);
	g_free(path);
}

static void
ignore_answer(struct answer *a, void *arg)
{
	answer_free(a);
}

/* Lets the time pass while short jobs are submitted at other processes. */
static void
pass(struct storm *s, int64_t ms)
{
	static uint64_t serial;
	int64_t end = now_ms() + ms;

	while (now_ms() < end) {
		int node = (int)(serial % CELL_NODES);
		char *path = g_strdup_printf(
		    CELL_PREFIX "77%014" G_GINT64_MODIFIER "x", serial++);

		if (node != s->node)
			(void)call_send(s->c, s->c->node[node].front,
			    EVHTTP_REQ_POST, path, SHORT_JOB, 3000,
			    ignore_answer, NULL);
		g_free(path);
		cell_run(s->c, SHORT_JOB_INTERVAL_MS);
	}
}

/* Asks for each accepted job; returns how many are not known. */
static int
count_lost(struct storm *s)
{
	int lost = 0;

	for (guint i = 0; i < s->accepted->len; i++) {
		char *id = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
		    g_array_index(s->accepted, uint64_t, i));
		char *state = job_state(s->c, id);

		if (strcmp(state, "410") == 0) {
			lost++;
			note(s->c,
			    "LOST: job %s was accepted and is answered "
			    "410",
			    id);
		}
		g_free(state);
		g_free(id);
	}
	return lost;
}

static int
play_round(struct cell *c, int round)
{
	struct storm s = { .c = c,
		.node = cell_leader(c),
		.next_id =
		    UINT64_C(0x5c0e7a2100000000) + ((uint64_t)round << 20),
		.accepted = g_array_new(FALSE, FALSE, sizeof(uint64_t)) };
	int lost;

	if (s.node < 0)
		give_up(c, "no process leads");
	for (int i = 0; i < CALLERS; i++) {
		struct caller *k = g_new0(struct caller, 1);

		k->storm = &s;
		submit(k);
	}
	pass(&s, STORM_MS);
	if (c->trouble)
		node_signal(c, s.node, SIGSTOP);
	s.over = true;
	pass(&s, FREEZE_MS);
	if (c->trouble) {
		s.thawed_ms = now_ms();
		node_signal(c, s.node, SIGCONT);
	}
	while (s.open > 0)
		cell_run(c, 20);
	pass(&s, CALM_MS);
	lost = count_lost(&s);
	note(c,
	    "round %d: process %d, accepted %u, after the thaw %d, "
	    "refused %d, without an answer %d, lost %d",
	    round, s.node, s.accepted->len, s.accepted_after_thaw, s.refused,
	    s.unanswered, lost);
	(void)printf("round %d: accepted %u, of these after the thaw %d, lost "
		     "%d\n",
	    round, s.accepted->len, s.accepted_after_thaw, lost);
	g_array_unref(s.accepted);
	return lost;
}

int
main(int argc, char **argv)
{
	struct cell *c = cell_new(argc, argv);
	int lost = 0;

	for (int i = 0; i < MINIONS; i++)
		(void)minion_add(c, i < MINIONS_B ? "b" : "a", 32000, 65536);
	cell_start(c);
	if (call(c, c->node[4].front, EVHTTP_REQ_POST,
		CELL_PREFIX "00000000000000b1", FILLING_JOB, 3000, NULL) != 200)
		give_up(c, "the job that fills the minions is not accepted");
	cell_run(c, 1000);
	for (int round = 0; round < ROUNDS &&
	     now_ms() - c->begin_ms < LAST_ROUND_MS && lost == 0;
	     round++)
		lost += play_round(c, round);
	return cell_finish(c, lost > 0);
}
