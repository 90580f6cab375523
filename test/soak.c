/*
 * Randomized fault injection on real processes. They are stopped, paused,
 * killed and restarted, their settings change, their disks fill up or are
 * lost. Links to them and to workers are cut, blocked in one direction,
 * delayed and reset. Workers shrink and grow, and crash under a few deadly
 * jobs; others restart under their names and are cut off soon after, while the
 * proxy carries calls for the former incarnation over. Faults follow each other
 * and overlap, while jobs are submitted over connections that callers keep open
 * and configurations add and revoke keys. The test checks what callers and
 * workers see: accepted jobs are completed, deadly ones given up, no task runs
 * in two places or again after it has ended as done, no worker is filled over
 * its capacity, the configuration is not lost, no key is accepted before it is
 * added or after the acknowledgement of its revocation, and none refused in
 * between. Callers at each process go on asking over open connections while it
 * stops: none of them is cut off without an answer, and the process exits with
 * 0. Stops overlap, and signals to stop come twice. The seed decides everything
 * but the timing of the processes.
 *
 *     soak SEED SECONDS
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "httpd.h"
#include "stepcell.h"

#define REPLICA_LOSS_GAP_MS 6000 /* from a lost disk to the next loss */
#define FAULT_GAP_MS 400 /* between faults; at most three times that */
#define FAULT_MIN_MS 300 /* shortest fault */
#define FAULT_EXTRA_MS 2500 /* longest random addition to that */
#define FULL_DISK_FILE_BYTES 49152 /* file size limit while a disk is full */
#define LINK_DELAY_MAX_MS 700
#define JOBS_MAX 400
#define DEADLY_FIRST 8 /* the first deadly job ... */
#define DEADLY_INTERVAL 40 /* ... and the distance to the next */
#define DEADLY_MAX 3
#define CAPACITY_GAP_MS 1500 /* between changes of a worker's capacity */
/* Between restarts of workers under their names. */
#define RESTART_GAP_MS 1200
#define RESTART_SALT 0x72657374 /* own random numbers for these */
#define LONG_INTERVAL 4 /* each fourth job has long tasks */
#define WORKER_SALT 0x776f726b65727331 /* own random numbers for workers */
#define KEY_CALL_GAP_MS 40 /* between calls with various keys */
#define KEY_CHANGE_GAP_MS 600 /* between configurations */
#define KEY_SALT 0x6b657973 /* own random numbers for keys */
#define JOB_KEY "job-key" /* in all versions */
#define FIRST_VERSION 8 /* cell_config has 7 */
#define COMPLETION_LIMIT_MS 90000 /* until all accepted jobs are completed */
#define LINKS (NODES + WORKERS)
#define TICK_MS 20 /* of callers and stops */
#define CALLERS 16 /* at each process, with a connection each */
#define CALL_GAP_MAX_MS 3000 /* between a caller's requests */
#define CALL_GAP_SHORT_MS 300 /* of half of the callers during a stop */
#define CALL_RECENT_JOBS 8 /* most requests are about the last ones */
#define CALL_TIMEOUT_MS 10000 /* longer than a stop takes */
#define CALL_SALT 0x63616c6c6572 /* own random numbers for callers */
#define LOSS_SLACK_MS 200 /* lossSlackMs of the platform */
#define STOP_GAP_MAX_MS 3500 /* between stops, which take about as long */
#define STOP_AGAIN_MAX_MS 3000 /* until the signal is sent once more */
#define STOP_LIMIT_MS 60000 /* fails a stop that hangs */

struct fault {
	int64_t until_ms; /* 0: none */
	bool paused;
	bool stopping; /* got SIGTERM and still runs */
	int64_t again_ms; /* of a second SIGTERM; 0: it was sent */
};

struct soak;

/* Asks a process again and again over a connection that it keeps open. */
struct caller {
	struct soak *soak;
	int node;
	bool presses; /* during a stop: asks again soon */
	struct http_peer *peer;
	int64_t next_ms; /* of the next request; 0: one is in progress */
	int64_t sent_ms;
	int job; /* that the request submits again; -1: none */
};

/* A worker that restarts under its name: it is cut off, restarts while calls
 * for it are under way, is reached for a while, and cut off again. */
enum restart_step {
	RESTART_NONE,
	RESTART_CUT,
	RESTART_DOWN,
	RESTART_REACHED,
	RESTART_CUT_AGAIN
};

struct restart {
	enum restart_step step;
	int64_t next_ms; /* end of the step */
};

struct soak {
	struct cell *cell;
	struct rng restart_rng;
	struct restart restart[WORKERS];
	int64_t restart_ms; /* of the next restart of a worker */
	int restarts;
	struct rng rng;
	int64_t capacity_ms; /* of the next change of a worker's capacity */
	struct fault fault[NODES];
	int64_t link_until_ms[LINKS]; /* to nodes, then workers; 0: no fault */
	bool disk_lost; /* a disk was lost */
	int64_t disk_lost_ms; /* time of the last one, or of the start */
	int jobs;
	bool accepted[JOBS_MAX];
	struct rng key_rng;
	int version; /* last one whose acknowledgement has arrived */
	int proposed; /* version + 1 while that may have been stored */
	char *config; /* the document of version */
	int64_t version_ms; /* of the next one */
	int64_t key_call_ms; /* of the next call with some key */
	int refused; /* calls with a revoked key that got 401 */
	int key_faults; /* answers that no key should get */
	struct rng call_rng;
	struct caller caller[NODES][CALLERS];
	struct event *tick;
	int64_t start_ms[NODES]; /* time of the last start */
	bool answers[NODES]; /* has answered a request since then */
	int64_t stop_ms[NODES]; /* time of SIGTERM, until the node is restarted;
				   0: none */
	int64_t next_stop_ms; /* beside other faults */
	int stops;
	int64_t longest_stop_ms;
	int calls; /* answered while their process was stopping */
	int lost; /* cut off without an answer then */
	int bad_exits; /* stops that did not end with status 0 */
};

static void
job_path(int job, char path[32])
{
	g_snprintf(path, 32, "/q/%016x", (unsigned)job + 1);
}

/* Replicas with a fault, plus 1 for REPLICA_LOSS_GAP_MS after a lost disk. */
static int
lost_replicas(const struct soak *s)
{
	int n = mono_ms() - s->disk_lost_ms < REPLICA_LOSS_GAP_MS;

	for (int i = 0; i < DISKS; i++)
		n += s->fault[i].until_ms != 0;
	return n;
}

static int64_t
fault_end_ms(struct rng *rng)
{
	return mono_ms() + FAULT_MIN_MS +
	    (int64_t)rng_below(rng, FAULT_EXTRA_MS);
}

static void
pause_node(struct soak *s, int i)
{
	s->fault[i].paused = true;
	kill(s->cell->node[i].proc->pid, SIGSTOP);
}

static int64_t
random_ms(struct rng *rng, uint64_t max_ms)
{
	return mono_ms() + 1 + (int64_t)rng_below(rng, max_ms);
}

/*
 * Stops a process that has answered: before its main() runs, no program can
 * handle a signal. It goes on for a while, see watch_stops().
 */
static void
stop_node(struct soak *s, int i)
{
	if (!s->answers[i])
		return;
	kill(s->cell->node[i].proc->pid, SIGTERM);
	s->stops++;
	s->stop_ms[i] = mono_ms();
	s->fault[i].stopping = true;
	s->fault[i].again_ms = random_ms(&s->call_rng, STOP_AGAIN_MAX_MS);
}

static void
kill_node(struct soak *s, int i)
{
	cell_kill_node(s->cell, i);
}

static void
kill_and_wipe_node(struct soak *s, int i)
{
	cell_kill_node(s->cell, i);
	if (i >= DISKS)
		return;
	cell_wipe_disk(s->cell, i);
	s->disk_lost = true;
	s->disk_lost_ms = mono_ms();
}

/* Restarts with a small file size limit, so that the disk is soon full. */
static void
fill_node_disk(struct soak *s, int i)
{
	cell_kill_node(s->cell, i);
	s->cell->node[i].file_max = FULL_DISK_FILE_BYTES;
	cell_start_node(s->cell, i, false);
	s->cell->node[i].file_max = 0;
}

static void
change_node_settings(struct soak *s, int i)
{
	/* Before its main() runs, no program can handle a signal. */
	CELL_AWAIT(s->cell, cell_node_answers(s->cell, i));
	cell_write_settings(s->cell, i, false, (int)rng_below(&s->rng, NODES));
	kill(s->cell->node[i].proc->pid, SIGHUP);
}

static const struct {
	const char *name;
	void (*inject)(struct soak *s, int i);
} node_faults[] = {
	{ "pauses", pause_node },
	{ "stops", stop_node },
	{ "kills", kill_node },
	{ "kills and wipes", kill_and_wipe_node },
	{ "fills the disk of", fill_node_disk },
	{ "changes the settings of", change_node_settings },
};

static void
inject_node_fault(struct soak *s, int i)
{
	uint64_t kind = rng_below(&s->rng, G_N_ELEMENTS(node_faults));

	printf("soak: %s n%d\n", node_faults[kind].name, i);
	s->fault[i] = (struct fault){ .until_ms = fault_end_ms(&s->rng) };
	node_faults[kind].inject(s, i);
}

static void
end_node_fault(struct soak *s, int i)
{
	struct cell_node *n = &s->cell->node[i];

	s->stop_ms[i] = 0;
	if (s->fault[i].paused)
		kill(n->proc->pid, SIGCONT);
	else if (n->proc != NULL && n->proc->file_max != 0)
		cell_kill_node(s->cell, i);
	if (n->proc == NULL) {
		s->start_ms[i] = mono_ms();
		s->answers[i] = false;
		cell_start_node(s->cell, i, false);
	}
	s->fault[i].until_ms = 0;
}

static char *
link_name(int link)
{
	return link < NODES ? g_strdup_printf("n%d", link)
			    : g_strdup_printf("w%d", link - NODES);
}

static void
inject_link_fault(struct soak *s, int link)
{
	static const char *const verbs[] = { "cut %s", "oneway %s up",
		"oneway %s down", "delay %s %d", "reset %s" };
	uint64_t kind = rng_below(&s->rng, G_N_ELEMENTS(verbs));
	int delay_ms = 1 + (int)rng_below(&s->rng, LINK_DELAY_MAX_MS);
	char *name = link_name(link);
	char *line = kind == 3 ? g_strdup_printf("delay %s %d", name, delay_ms)
			       : g_strdup_printf(verbs[kind], name);

	printf("soak: %s\n", line);
	cell_proxy_command(s->cell, "%s", line);
	s->link_until_ms[link] = fault_end_ms(&s->rng);
	g_free(line);
	g_free(name);
}

static void
end_link_fault(struct soak *s, int link)
{
	char *name = link_name(link);

	cell_proxy_command(s->cell, "heal %s", name);
	s->link_until_ms[link] = 0;
	g_free(name);
}

static void
end_due_faults(struct soak *s, int64_t now)
{
	for (int i = 0; i < NODES; i++)
		if (s->fault[i].until_ms != 0 && s->fault[i].until_ms <= now &&
		    !s->fault[i].stopping)
			end_node_fault(s, i);
	for (int i = 0; i < LINKS; i++)
		if (s->link_until_ms[i] != 0 && s->link_until_ms[i] <= now)
			end_link_fault(s, i);
}

static void
inject_random_fault(struct soak *s)
{
	int i = (int)rng_below(&s->rng, NODES);
	int link = (int)rng_below(&s->rng, LINKS);

	if (rng_below(&s->rng, 2) == 0) {
		if (s->link_until_ms[link] == 0)
			inject_link_fault(s, link);
		return;
	}
	if (s->fault[i].until_ms == 0 && (i >= DISKS || lost_replicas(s) == 0))
		inject_node_fault(s, i);
}

/* A random node without a fault, or -1. */
static int
healthy_node(struct soak *s, struct rng *rng)
{
	int first = (int)rng_below(rng, NODES);

	for (int k = 0; k < NODES; k++) {
		int i = (first + k) % NODES;

		if (s->fault[i].until_ms == 0)
			return i;
	}
	return -1;
}

/* --- stops --- */

static void
check_stop(struct soak *s, int i, int status)
{
	int64_t took_ms = mono_ms() - s->stop_ms[i];

	s->fault[i].stopping = false;
	s->longest_stop_ms = MAX(s->longest_stop_ms, took_ms);
	if (status == 0)
		return;
	s->bad_exits++;
	printf("soak: n%d ends with wait status %d, %" G_GINT64_FORMAT
	       " ms after SIGTERM\n",
	    i, status, took_ms);
}

/* Stops a node, also while others are stopping. */
static void
stop_random_node(struct soak *s)
{
	int i = healthy_node(s, &s->call_rng);

	s->next_stop_ms = random_ms(&s->call_rng, STOP_GAP_MAX_MS);
	/* With a lost disk, the others are needed. */
	if (i < 0 ||
	    (s->disk_lost && mono_ms() - s->disk_lost_ms < REPLICA_LOSS_GAP_MS))
		return;
	printf("soak: stops n%d in turn\n", i);
	s->fault[i] = (struct fault){ .until_ms = fault_end_ms(&s->call_rng) };
	stop_node(s, i);
}

static void
watch_stops(struct soak *s)
{
	for (int i = 0; i < NODES; i++) {
		struct fault *f = &s->fault[i];
		int status;

		if (!f->stopping)
			continue;
		if (cell_node_ended(s->cell, i, &status))
			check_stop(s, i, status);
		else if (f->again_ms != 0 && mono_ms() >= f->again_ms) {
			kill(s->cell->node[i].proc->pid, SIGTERM);
			f->again_ms = 0;
		}
	}
}

static bool
is_deadly(int job)
{
	int n = job - DEADLY_FIRST;

	return n >= 0 && n % DEADLY_INTERVAL == 0 &&
	    n / DEADLY_INTERVAL < DEADLY_MAX;
}

/* Shrinks a random worker to two thirds or a third, or lets it grow again. */
static void
change_capacity(struct soak *s)
{
	int i = (int)rng_below(&s->cell->rng, WORKERS);
	int64_t thirds = 1 + (int64_t)rng_below(&s->cell->rng, 3);

	s->capacity_ms = mono_ms() + CAPACITY_GAP_MS;
	printf("soak: w%d has %d of 3 parts of its capacity\n", i, (int)thirds);
	cell_set_millicpus(s->cell, i, WORKER_MILLICPUS * thirds / 3);
}

/* Begins the next step of a worker's restart. */
static void
continue_restart(struct soak *s, int i)
{
	static const int64_t max_ms[] = { [RESTART_CUT] = 400,
		[RESTART_DOWN] = 900,
		[RESTART_REACHED] = 2500,
		[RESTART_CUT_AGAIN] = 7500 };
	struct restart *r = &s->restart[i];

	r->step = (enum restart_step)((r->step + 1) % (RESTART_CUT_AGAIN + 1));
	if (r->step != RESTART_NONE)
		r->next_ms = mono_ms() + 100 +
		    (int64_t)rng_below(
			&s->restart_rng, (uint64_t)max_ms[r->step]);
	if (r->step == RESTART_DOWN) {
		printf("soak: w%d restarts under its name\n", i);
		cell_restart_worker(s->cell, i, 100);
		s->restarts++;
	} else {
		cell_proxy_command(s->cell, "%s w%d",
		    r->step == RESTART_CUT || r->step == RESTART_CUT_AGAIN
			? "cut"
			: "heal",
		    i);
	}
}

static void
restart_workers(struct soak *s)
{
	int next = (int)rng_below(&s->restart_rng, WORKERS);

	for (int i = 0; i < WORKERS; i++)
		if (s->restart[i].step != RESTART_NONE &&
		    mono_ms() >= s->restart[i].next_ms)
			continue_restart(s, i);
	if (mono_ms() < s->restart_ms || s->restart[next].step != RESTART_NONE)
		return;
	s->restart_ms = mono_ms() + RESTART_GAP_MS;
	continue_restart(s, next);
}

static bool
is_long(int job)
{
	return job % LONG_INTERVAL == 0;
}

static void
submit_job(struct soak *s)
{
	bool (*submit)(struct cell *, int, const char *) = cell_submit;
	int i = healthy_node(s, &s->rng);
	char path[32];

	if (i < 0 || s->jobs == JOBS_MAX)
		return;
	job_path(s->jobs, path);
	if (is_deadly(s->jobs))
		submit = cell_submit_deadly;
	else if (is_long(s->jobs))
		submit = cell_submit_long;
	s->accepted[s->jobs] = submit(s->cell, i, path);
	s->jobs++;
}

/* --- callers at each process --- */

/* During a stop some callers press, others leave their connections idle. */
static int64_t
next_call_ms(struct caller *k)
{
	struct soak *s = k->soak;
	bool presses = k->presses && s->stop_ms[k->node] != 0;

	return random_ms(
	    &s->call_rng, presses ? CALL_GAP_SHORT_MS : CALL_GAP_MAX_MS);
}

static void
on_call_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct caller *k = arg;
	struct soak *s = k->soak;
	int64_t after_ms = mono_ms() - k->sent_ms;

	k->next_ms = next_call_ms(k);
	if (status == 200 && k->job >= 0)
		s->accepted[k->job] = true;
	s->answers[k->node] |=
	    status != 0 && k->sent_ms >= s->start_ms[k->node];
	if (s->stop_ms[k->node] == 0)
		return;
	s->calls += status != 0;
	if (status != 0 || after_ms <= LOSS_SLACK_MS || http_not_sent(why) ||
	    strcmp(why, HTTP_TIMEOUT) == 0 || strcmp(why, HTTP_CANCELLED) == 0)
		return;
	s->lost++;
	printf("soak: n%d cuts off a request after %" G_GINT64_FORMAT
	       " ms, %" G_GINT64_FORMAT " ms after SIGTERM: %s\n",
	    k->node, after_ms, mono_ms() - s->stop_ms[k->node], why);
}

static void
send_call(struct caller *k, enum evhttp_cmd_type method, const char *path,
    const char *body)
{
	static const char *const headers[] = { "Host", "jobs.example",
		"Bulrushtide-Credential", JOB_KEY, NULL };

	k->next_ms = 0;
	k->sent_ms = mono_ms();
	http_send(k->peer, method, path, headers, body,
	    body == NULL ? 0 : strlen(body), CALL_TIMEOUT_MS, on_call_answer,
	    k);
}

/* -1: there is none yet. */
static int
recent_job(struct soak *s)
{
	uint64_t among = (uint64_t)s->jobs;

	if (rng_below(&s->call_rng, 4) != 0)
		among = MIN(among, CALL_RECENT_JOBS);
	return among == 0 ? -1
			  : s->jobs - 1 - (int)rng_below(&s->call_rng, among);
}

/* Asks for a job or how many wait, or submits a job once more. */
static void
ask(struct caller *k)
{
	struct soak *s = k->soak;
	int job = recent_job(s);
	char path[32];
	char *body;

	k->job = -1;
	if (job < 0 || rng_below(&s->call_rng, 4) == 0) {
		send_call(k, EVHTTP_REQ_GET, "/q/", NULL);
		return;
	}
	job_path(job, path);
	if (is_deadly(job) || rng_below(&s->call_rng, 4) != 0) {
		send_call(k, EVHTTP_REQ_GET, path, NULL);
		return;
	}
	k->job = job;
	body = cell_job_body(is_long(job) ? "long" : "w");
	send_call(k, EVHTTP_REQ_POST, path, body);
	g_free(body);
}

static void
run_callers(struct soak *s)
{
	for (int i = 0; i < NODES; i++)
		for (int n = 0; n < CALLERS; n++) {
			struct caller *k = &s->caller[i][n];

			if (k->next_ms != 0 && mono_ms() >= k->next_ms)
				ask(k);
		}
}

/* Runs beside all that waits for an answer. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct soak *s = arg;

	watch_stops(s);
	if (mono_ms() >= s->next_stop_ms)
		stop_random_node(s);
	run_callers(s);
}

/* Waits for the processes that are stopping. */
static void
finish_stops(struct soak *s)
{
	int64_t limit = mono_ms() + STOP_LIMIT_MS;

	s->next_stop_ms = INT64_MAX;
	for (int i = 0; i < NODES; i++) {
		while (s->fault[i].stopping && mono_ms() < limit)
			cell_run_loop(s->cell);
		if (!s->fault[i].stopping)
			continue;
		printf("soak: n%d does not end after SIGTERM\n", i);
		s->bad_exits++;
		cell_kill_node(s->cell, i);
		s->fault[i].stopping = false;
	}
}

static void
open_callers(struct soak *s)
{
	static const struct timeval tick = { .tv_usec = TICK_MS * 1000 };

	for (int i = 0; i < NODES; i++)
		for (int n = 0; n < CALLERS; n++)
			s->caller[i][n] = (struct caller){ .soak = s,
				.node = i,
				.presses = n % 2 == 0,
				.peer = http_peer_new(s->cell->base,
				    s->cell->node[i].callers, NULL),
				.next_ms =
				    random_ms(&s->call_rng, CALL_GAP_MAX_MS) };
	s->next_stop_ms = random_ms(&s->call_rng, STOP_GAP_MAX_MS);
	s->tick = event_new(s->cell->base, -1, EV_PERSIST, on_tick, s);
	event_add(s->tick, &tick);
}

/* Waits for the requests in progress: they may submit jobs. */
static void
close_callers(struct soak *s)
{
	event_free(s->tick);
	for (int i = 0; i < NODES; i++)
		for (int n = 0; n < CALLERS; n++) {
			struct caller *k = &s->caller[i][n];

			while (k->next_ms == 0)
				cell_run_loop(s->cell);
			http_peer_free(k->peer);
		}
}

/* --- keys --- */

/* Version N adds key-N and revokes key-(N - 2). */
static char *
key_config(int version)
{
	return g_strdup_printf(
	    "{\"version\":%d,\"routes\":[{\"name\":\"q\","
	    "\"host\":\"jobs.example\",\"pathPrefix\":\"/q/\","
	    "\"service\":\"desk\",\"timeoutMs\":3000,\"maxAttempts\":2,"
	    "\"slackFactor\":2,\"targetLatencyMs\":500}],"
	    "\"services\":[{\"name\":\"desk\"}],\"tenants\":["
	    "{\"name\":\"a\",\"apiKeys\":[\"" JOB_KEY "\"]},"
	    "{\"name\":\"b\",\"apiKeys\":[\"key-%d\",\"key-%d\"]}]}",
	    version, version, version - 1);
}

/* Sends the next version, as an operator does: the same one again until it is
 * acknowledged. Says whether it was. */
static bool
change_keys(struct soak *s, int i)
{
	char *config = key_config(s->version + 1);

	s->proposed = s->version + 1;
	if (cell_configure(s->cell, i, config) != 200) {
		g_free(config);
		return false;
	}
	s->version = s->proposed;
	g_free(s->config);
	s->config = config;
	s->version_ms = mono_ms() + KEY_CHANGE_GAP_MS;
	return true;
}

/*
 * Calls with the key of a version: the next one, whose key is unknown yet, one
 * of the last two, whose keys are valid, or an earlier one, whose key is
 * revoked. While the next one may be stored, its own key and the one that it
 * revokes are left out.
 */
static void
call_with_key(struct soak *s, int i)
{
	int age = (int)rng_below(&s->key_rng, 6) - 1;
	int number = s->version - age;
	bool valid = age == 0 || age == 1;
	char *key = g_strdup_printf("key-%d", number);
	int status;

	s->key_call_ms = mono_ms() + KEY_CALL_GAP_MS;
	if ((age == 1 || age == -1) && s->proposed > s->version) {
		g_free(key);
		return;
	}
	s->cell->key = key;
	status = cell_call(
	    s->cell, s->cell->node[i].callers, EVHTTP_REQ_GET, "/q/", NULL);
	s->cell->key = JOB_KEY;
	s->refused += status == 401;
	if (status == (valid ? 401 : 200)) {
		printf("soak: n%d answers %d to %s at version %d\n", i, status,
		    key, s->version);
		s->key_faults++;
	}
	g_free(key);
}

static void
use_keys(struct soak *s)
{
	int i = healthy_node(s, &s->rng);

	if (i < 0)
		return;
	if (mono_ms() >= s->version_ms && rng_below(&s->key_rng, 2) == 0)
		(void)change_keys(s, i);
	else if (mono_ms() >= s->key_call_ms)
		call_with_key(s, i);
}

static void
inject_faults(struct soak *s, int64_t until_ms)
{
	int64_t next_ms = 0;

	while (mono_ms() < until_ms) {
		end_due_faults(s, mono_ms());
		if (mono_ms() >= next_ms) {
			inject_random_fault(s);
			next_ms = mono_ms() + FAULT_GAP_MS +
			    (int64_t)rng_below(&s->rng, 2 * FAULT_GAP_MS);
		}
		if (mono_ms() >= s->capacity_ms)
			change_capacity(s);
		restart_workers(s);
		submit_job(s);
		use_keys(s);
		cell_run_loop(s->cell);
	}
	finish_stops(s);
	end_due_faults(s, INT64_MAX);
	cell_proxy_command(s->cell, "heal *");
	close_callers(s);
	for (int i = 0; i < WORKERS; i++)
		cell_set_millicpus(s->cell, i, WORKER_MILLICPUS);
}

/* Says whether a job has ended as it must: completed, or failed if it is deadly
 * or two workers have crashed under one of its tasks. */
static bool
has_ended(struct soak *s, int job, const char *path)
{
	return (!is_deadly(job) &&
		   cell_state_is(s->cell, 0, path, "completed")) ||
	    ((is_deadly(job) ||
		 g_hash_table_contains(s->cell->may_fail, path)) &&
		cell_state_is(s->cell, 0, path, "failed"));
}

/* Checks how every job whose submission was accepted has ended. */
static bool
check_jobs(struct soak *s)
{
	int64_t limit = mono_ms() + COMPLETION_LIMIT_MS;

	for (int i = 0; i < s->jobs; i++) {
		char path[32];

		job_path(i, path);
		while (s->accepted[i] && !has_ended(s, i, path)) {
			if (mono_ms() > limit) {
				printf("soak: job %s was accepted and is %s\n",
				    path, s->cell->body);
				return false;
			}
			cell_run_loop(s->cell);
		}
	}
	return true;
}

static bool
check_done_once(struct soak *s)
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
		if (strcmp(s->cell->body, s->config) == 0)
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
	int accepted = 0;
	bool ok;

	setvbuf(stdout, NULL, _IOLBF, 0);
	s.rng.state = seed;
	s.disk_lost_ms = mono_ms();
	s.cell = cell_new();
	s.cell->rng.state = seed ^ WORKER_SALT;
	s.key_rng.state = seed ^ KEY_SALT;
	s.restart_rng.state = seed ^ RESTART_SALT;
	s.call_rng.state = seed ^ CALL_SALT;
	for (int i = 0; i < WORKERS; i++)
		cell_proxy_command(s.cell, "carry w%d", i);
	s.version = FIRST_VERSION - 1;
	s.cell->key = JOB_KEY;
	CELL_AWAIT(s.cell, change_keys(&s, 0));
	open_callers(&s);
	inject_faults(&s, mono_ms() + seconds * 1000);
	for (int i = 0; i < NODES; i++)
		CELL_AWAIT(s.cell, cell_node_ready(s.cell, i));
	CELL_AWAIT(s.cell, change_keys(&s, 0));
	ok = s.key_faults == 0 && s.lost == 0 && s.bad_exits == 0 &&
	    check_jobs(&s) && check_done_once(&s) && check_config(&s);
	for (int i = 0; i < s.jobs; i++)
		accepted += s.accepted[i];
	printf("soak: seed %" G_GUINT64_FORMAT ": %s, %d of %d jobs accepted, "
	       "%u tasks done, %d crashes of workers, %d restarts under their "
	       "names, %d versions, "
	       "%d keys refused, %d stops, the longest of %" G_GINT64_FORMAT
	       " ms, %d calls answered during them, %d cut off\n",
	    seed, ok ? "passed" : "FAILED", accepted, s.jobs,
	    g_hash_table_size(s.cell->done), s.cell->crashes, s.restarts,
	    s.version - FIRST_VERSION + 1, s.refused, s.stops,
	    s.longest_stop_ms, s.calls, s.lost);
	g_free(s.config);
	if (!ok) {
		cell_print_logs(s.cell);
		printf("soak: logs in %s\n", s.cell->dir);
		return 1;
	}
	cell_free(s.cell);
	return 0;
}
