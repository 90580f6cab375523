/*
 * A randomized soak of real processes: they are stopped, paused, killed,
 * restarted and lose their disks, one after the other and overlapping, while
 * jobs come in. It checks what callers and workers see: an accepted job is
 * completed, no task runs in two places or again after it has ended as done,
 * the configuration stays. A seed decides all but the timing of processes.
 *
 *     soak SEED SECONDS
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "stepcell.h"

#define QUIET_MS                                                     \
	6000 /* after a lost disk, before the next loss of a replica \
	      */
#define STEP_MS 400 /* between faults, up to three times that */
#define JOBS_MAX 400
#define SETTLE_MS 90000 /* all accepted jobs are completed by then */

struct fault {
	int64_t until_ms; /* 0: none */
	bool paused;
};

struct soak {
	struct cell *cell;
	struct rng rng;
	struct fault fault[NODES];
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

static void
strike(struct soak *s, int i)
{
	struct cell *c = s->cell;
	struct fault *f = &s->fault[i];
	uint64_t kind = rng_below(&s->rng, 4);

	f->until_ms = mono_ms() + 300 + (int64_t)rng_below(&s->rng, 2500);
	f->paused = kind == 0;
	printf("soak: %s n%d\n",
	    kind == 0       ? "pauses"
		: kind == 1 ? "stops"
		: kind == 2 ? "kills"
			    : "kills and wipes",
	    i);
	if (kind == 0) {
		kill(c->node[i].proc->pid, SIGSTOP);
		return;
	}
	if (kind == 1) {
		kill(c->node[i].proc->pid, SIGTERM);
		(void)proc_wait(c->node[i].proc);
		g_clear_pointer(&c->node[i].proc, proc_free);
		return;
	}
	cell_kill(c, i);
	if (kind == 3 && i < DISKS) {
		cell_wipe(c, i);
		s->lost_ms = mono_ms();
	}
}

static void
heal(struct soak *s, int i)
{
	struct fault *f = &s->fault[i];

	if (f->paused)
		kill(s->cell->node[i].proc->pid, SIGCONT);
	else
		cell_start(s->cell, i, false);
	f->until_ms = 0;
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
		int64_t now = mono_ms();

		for (int i = 0; i < NODES; i++)
			if (s->fault[i].until_ms != 0 &&
			    s->fault[i].until_ms <= now)
				heal(s, i);
		if (now >= next_ms) {
			int i = (int)rng_below(&s->rng, NODES);

			if (s->fault[i].until_ms == 0 &&
			    (i >= DISKS || losses(s) == 0))
				strike(s, i);
			next_ms = now + STEP_MS +
			    (int64_t)rng_below(&s->rng, 2 * STEP_MS);
		}
		hand_in(s);
		cell_turn(s->cell);
	}
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
		if (s.fault[i].until_ms != 0)
			heal(&s, i);
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
