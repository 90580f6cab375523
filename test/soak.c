/*
 * A randomized soak of real processes: they are stopped, paused, killed,
 * restarted, get their settings changed, fill or lose their disks; links to
 * them and to workers are cut, silenced one way, delayed and reset; all of it
 * one after the other and overlapping, while jobs come in over connections
 * that callers keep open. It checks what callers and workers see: an accepted
 * job is completed, no task runs in two places or again after it has ended as
 * done, the configuration stays. A seed decides all but the timing of
 * processes.
 *
 *     soak SEED SECONDS
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "stepcell.h"

#define QUIET_MS 6000 /* after a lost disk, before a replica is lost again */
#define STEP_MS 400 /* between faults, up to three times that */
#define HEAL_MS 300 /* a fault lasts so long, and up to ... */
#define HEAL_MORE_MS 2500 /* ... so much longer */
#define DISK_BYTES 49152 /* no file grows beyond it while a disk is full */
#define DELAY_MS 700 /* a link delays by up to so much */
#define JOBS_MAX 400
#define SETTLE_MS 90000 /* all accepted jobs are completed by then */
#define LINKS (NODES + WORKERS)

struct fault {
	int64_t until_ms; /* 0: none */
	bool paused;
};

struct soak {
	struct cell *cell;
	struct rng rng;
	struct fault fault[NODES];
	int64_t link_until_ms[LINKS]; /* to nodes, then workers; 0: sound */
	int64_t lost_ms; /* when a disk was lost last */
	int jobs;
	bool accepted[JOBS_MAX];
};

static void
path_of(int job, char path[32])
{
	g_snprintf(path, 32, "/q/%016x", (unsigned)job + 1);
}

/* How many of the replicas are not at work now, or just came back empty. */
static int
losses(const struct soak *s)
{
	int n = mono_ms() - s->lost_ms < QUIET_MS;

	for (int i = 0; i < DISKS; i++)
		n += s->fault[i].until_ms != 0;
	return n;
}

static int64_t
end_of_fault(struct soak *s)
{
	return mono_ms() + HEAL_MS + (int64_t)rng_below(&s->rng, HEAL_MORE_MS);
}

static void
strike_pause(struct soak *s, int i)
{
	s->fault[i].paused = true;
	kill(s->cell->node[i].proc->pid, SIGSTOP);
}

static void
strike_stop(struct soak *s, int i)
{
	struct cell_node *n = &s->cell->node[i];

	kill(n->proc->pid, SIGTERM);
	(void)proc_wait(n->proc);
	g_clear_pointer(&n->proc, proc_free);
}

static void
strike_kill(struct soak *s, int i)
{
	cell_kill(s->cell, i);
}

static void
strike_wipe(struct soak *s, int i)
{
	cell_kill(s->cell, i);
	if (i >= DISKS)
		return;
	cell_wipe(s->cell, i);
	s->lost_ms = mono_ms();
}

/* Starts anew with a disk that takes little more. */
static void
strike_full(struct soak *s, int i)
{
	cell_kill(s->cell, i);
	s->cell->node[i].file_max = DISK_BYTES;
	cell_start(s->cell, i, false);
	s->cell->node[i].file_max = 0;
}

static void
strike_settings(struct soak *s, int i)
{
	cell_configure(s->cell, i, false, (int)rng_below(&s->rng, NODES));
	kill(s->cell->node[i].proc->pid, SIGHUP);
}

static const struct {
	const char *name;
	void (*strike)(struct soak *s, int i);
} kinds[] = {
	{ "pauses", strike_pause },
	{ "stops", strike_stop },
	{ "kills", strike_kill },
	{ "kills and wipes", strike_wipe },
	{ "fills the disk of", strike_full },
	{ "changes the settings of", strike_settings },
};

static void
strike(struct soak *s, int i)
{
	uint64_t kind = rng_below(&s->rng, G_N_ELEMENTS(kinds));

	printf("soak: %s n%d\n", kinds[kind].name, i);
	s->fault[i] = (struct fault){ .until_ms = end_of_fault(s) };
	kinds[kind].strike(s, i);
}

static void
heal(struct soak *s, int i)
{
	struct cell_node *n = &s->cell->node[i];

	if (s->fault[i].paused)
		kill(n->proc->pid, SIGCONT);
	else if (n->proc != NULL && n->proc->file_max != 0)
		cell_kill(s->cell, i);
	if (n->proc == NULL)
		cell_start(s->cell, i, false);
	s->fault[i].until_ms = 0;
}

static char *
link_name(int link)
{
	return link < NODES ? g_strdup_printf("n%d", link)
			    : g_strdup_printf("w%d", link - NODES);
}

static void
strike_link(struct soak *s, int link)
{
	static const char *const verbs[] = { "cut %s", "oneway %s up",
		"oneway %s down", "delay %s %d", "reset %s" };
	uint64_t kind = rng_below(&s->rng, G_N_ELEMENTS(verbs));
	int delay_ms = 1 + (int)rng_below(&s->rng, DELAY_MS);
	char *name = link_name(link);
	char *line = kind == 3 ? g_strdup_printf("delay %s %d", name, delay_ms)
			       : g_strdup_printf(verbs[kind], name);

	printf("soak: %s\n", line);
	cell_fault(s->cell, "%s", line);
	s->link_until_ms[link] = end_of_fault(s);
	g_free(line);
	g_free(name);
}

static void
heal_link(struct soak *s, int link)
{
	char *name = link_name(link);

	cell_fault(s->cell, "heal %s", name);
	s->link_until_ms[link] = 0;
	g_free(name);
}

static void
heal_due(struct soak *s, int64_t now)
{
	for (int i = 0; i < NODES; i++)
		if (s->fault[i].until_ms != 0 && s->fault[i].until_ms <= now)
			heal(s, i);
	for (int i = 0; i < LINKS; i++)
		if (s->link_until_ms[i] != 0 && s->link_until_ms[i] <= now)
			heal_link(s, i);
}

static void
strike_some(struct soak *s)
{
	int i = (int)rng_below(&s->rng, NODES);
	int link = (int)rng_below(&s->rng, LINKS);

	if (rng_below(&s->rng, 2) == 0) {
		if (s->link_until_ms[link] == 0)
			strike_link(s, link);
		return;
	}
	if (s->fault[i].until_ms == 0 && (i >= DISKS || losses(s) == 0))
		strike(s, i);
}

/* A node that no fault has struck, or -1. */
static int
sound_node(struct soak *s)
{
	int first = (int)rng_below(&s->rng, NODES);

	for (int k = 0; k < NODES; k++) {
		int i = (first + k) % NODES;

		if (s->fault[i].until_ms == 0)
			return i;
	}
	return -1;
}

static void
hand_in(struct soak *s)
{
	int i = sound_node(s);
	char path[32];

	if (i < 0 || s->jobs == JOBS_MAX)
		return;
	path_of(s->jobs, path);
	s->accepted[s->jobs++] = cell_accepted(s->cell, i, path);
}

static void
play(struct soak *s, int64_t until_ms)
{
	int64_t next_ms = 0;

	while (mono_ms() < until_ms) {
		heal_due(s, mono_ms());
		if (mono_ms() >= next_ms) {
			strike_some(s);
			next_ms = mono_ms() + STEP_MS +
			    (int64_t)rng_below(&s->rng, 2 * STEP_MS);
		}
		hand_in(s);
		cell_turn(s->cell);
	}
	heal_due(s, INT64_MAX);
}

/* Every job whose handing in was answered with yes is completed. */
static bool
check_jobs(struct soak *s)
{
	int64_t limit = mono_ms() + SETTLE_MS;

	for (int i = 0; i < s->jobs; i++) {
		char path[32];

		path_of(i, path);
		while (s->accepted[i] &&
		    !cell_state_is(s->cell, 0, path, "completed")) {
			if (mono_ms() > limit) {
				printf("soak: job %s was accepted and is %s\n",
				    path, s->cell->body);
				return false;
			}
			cell_turn(s->cell);
		}
	}
	return true;
}

static bool
check_once(struct soak *s)
{
	GHashTableIter iter;
	gpointer task;
	gpointer times;

	g_hash_table_iter_init(&iter, s->cell->done);
	while (g_hash_table_iter_next(&iter, &task, &times)) {
		if (GPOINTER_TO_INT(times) == 1)
			continue;
		printf("soak: task %s has ended as done %d times\n",
		    (char *)task, GPOINTER_TO_INT(times));
		return false;
	}
	return true;
}

static bool
check_config(struct soak *s)
{
	for (int i = 0; i < NODES; i++) {
		CELL_AWAIT(s->cell,
		    cell_call(s->cell, s->cell->node[i].control, EVHTTP_REQ_GET,
			"/bulrushtide/config/read", NULL) == 200);
		if (strcmp(s->cell->body, cell_config) == 0)
			continue;
		printf("soak: n%d reads back %s\n", i, s->cell->body);
		return false;
	}
	return true;
}

int
main(int argc, char **argv)
{
	struct soak s = { 0 };
	uint64_t seed = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 1;
	int64_t seconds = argc > 2 ? g_ascii_strtoll(argv[2], NULL, 10) : 10;
	int yes = 0;
	bool ok;

	setvbuf(stdout, NULL, _IOLBF, 0);
	s.rng.state = seed;
	s.lost_ms = mono_ms();
	s.cell = cell_new();
	play(&s, mono_ms() + seconds * 1000);
	for (int i = 0; i < NODES; i++)
		CELL_AWAIT(s.cell, cell_ready(s.cell, i));
	ok = check_jobs(&s) && check_once(&s) && check_config(&s);
	for (int i = 0; i < s.jobs; i++)
		yes += s.accepted[i];
	printf("soak: seed %" G_GUINT64_FORMAT ": %s, %d of %d jobs accepted, "
	       "%u tasks done\n",
	    seed, ok ? "passed" : "FAILED", yes, s.jobs,
	    g_hash_table_size(s.cell->done));
	if (!ok) {
		printf("soak: logs in %s\n", s.cell->dir);
		return 1;
	}
	cell_free(s.cell);
	return 0;
}
