#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bench_cell.h"
#include "bench_sockets.h"
#include "httppool.h"
#include "proc.h"

#define REQUEST_TIMEOUT_MS 9000
#define WAIT_TIMEOUT_MS 60000 /* of all waits for a state of the cell */
#define TICK_US 50000 /* period of the load timer and of polls */
#define WARM_UP_MS 2000 /* of load before the first sample */
#define WORKER_PORT 20000
#define WORKER_PROCESSES 12 /* one rack each */
#define DATA_CENTERS 6
#define SOCKET_READ_TICKS 4 /* ticks between reads of the socket counts */
#define TASK_RUN_MS 1000 /* run time of the tasks submitted as load */
#define TASKS_PER_SERVICE 10
#define TASKS_PER_LONG_JOB 20
#define URGENT_JOB_INTERVAL 10 /* one job in this many is urgent */
#define TASK_MILLICPUS 100
#define TASK_MEMORY (64LL << 20)
#define WORKER_MILLICPUS 64000

struct bench_cell {
	struct bench_load load;
	char *dir;
	char *programs; /* folder of the running program */
	char *replica_list; /* value of --replicas */
	GPtrArray *procs; /* struct proc: replicas, entries, workers */
	int daemons; /* number of replicas and entries, which come first in
			procs */
	struct event_base *base;
	struct pool *pool;
	int version; /* of the last configuration sent */
	int submitted; /* number of jobs */
	int in_flight; /* requests without an answer */
	int rejected; /* jobs not accepted */
	double jobs_due; /* jobs to submit by now */
	double changes_due; /* configuration changes to send by now */
	bool changing; /* a configuration change is in flight */
	int64_t end_ms; /* of the load */
	struct sample *socket_samples; /* updated under load; may be NULL */
	int ticks;
};

/* Counters of one process at one time. */
struct sample {
	double cpu_ms;
	double rss_mb;
	double frames_kb;
	double syncs;
	double log_kb;
	double starts;
	double reply_kb; /* size of the metrics reply itself */
	bool leads; /* the process is the leader */
	char *text; /* the metrics reply */
	GHashTable *sockets; /* as sockets_of() returns them */
};

/* The loopback address of process n, from 1; each process has its own. */
static char *
address_of(int n, int port)
{
	return g_strdup_printf(
	    "127.50.%d.%d:%d", (int)(getpid() % 250) + 1, n, port);
}

static struct proc *
proc_at(struct bench_cell *c, int i)
{
	return c->procs->pdata[i];
}

struct answer {
	struct event_base *base;
	int status;
	json_t *body;
};

static void
on_answer(void *arg, int status, json_t *body)
{
	struct answer *a = arg;

	a->status = status;
	a->body = json_incref(body);
	event_base_loopbreak(a->base);
}

/* Sends a request to process i and waits for the answer. */
static json_t *
send_request(
    struct bench_cell *c, int i, const struct pool_request *r, int *status)
{
	struct answer a = { c->base, -1, NULL };

	pool_send(c->pool, proc_at(c, i)->address, r, on_answer, &a);
	while (a.status < 0)
		event_base_loop(c->base, EVLOOP_ONCE);
	*status = a.status;
	return a.body;
}

static json_t *
get(struct bench_cell *c, int i, const char *path, int *status)
{
	struct pool_request r = { "GET", path, NULL, NULL };

	return send_request(c, i, &r, status);
}

static int
first_entry(const struct bench_cell *c)
{
	return c->load.replicas;
}

/* Waits until process i answers 200 to path. */
static void
await_status(struct bench_cell *c, int i, const char *path)
{
	int status = 0;

	for (int64_t end = mono_ms() + WAIT_TIMEOUT_MS; mono_ms() < end;) {
		json_decref(get(c, i, path, &status));
		if (status == 200)
			return;
		g_usleep(TICK_US);
	}
	g_error("capacity_bench: %s answered %d to %s; logs are in %s",
	    proc_at(c, i)->name, status, path, c->dir);
}

/* Waits until key (in the object outer, if any) in /v1/status is >= want. */
static void
await_number(struct bench_cell *c, const char *outer, const char *key, int want)
{
	int got = -1;

	for (int64_t end = mono_ms() + WAIT_TIMEOUT_MS; mono_ms() < end;) {
		int status;
		json_t *body = get(c, first_entry(c), "/v1/status", &status);
		json_t *from =
		    outer != NULL ? json_object_get(body, outer) : body;

		got = (int)json_integer_value(json_object_get(from, key));
		json_decref(body);
		if (got >= want)
			return;
		g_usleep(TICK_US);
	}
	g_error("capacity_bench: %s is %d, expected %d; logs are in %s", key,
	    got, want, c->dir);
}

static void
add_daemon(struct bench_cell *c, int i, bool replica)
{
	int n = replica ? i : i - c->load.replicas;
	char *name = g_strdup_printf("%s%d", replica ? "r" : "e", n);
	char *http = address_of(i + 1, 7000);
	char *peer = address_of(i + 1, 7100);
	GPtrArray *argv = g_ptr_array_new();
	struct proc *p;

	add_arg(argv, "%s/../bulrushtided/bulrushtided", c->programs);
	add_arg(argv, "--name=%s", name);
	add_arg(argv, "--region=region-%d", n % 2);
	add_arg(argv, "--data-center=dc-%d", n % DATA_CENTERS);
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--replicas=%s", c->replica_list);
	add_arg(argv, "--role=%s", replica ? "replica" : "entry");
	add_arg(argv, "--trace-permille=10");
	if (replica) {
		add_arg(argv, "--peer=%s", peer);
		add_arg(argv, "--data-dir=%s/data-%s", c->dir, name);
	}
	p = proc_new(name, c->dir, argv);
	p->address = http;
	g_ptr_array_add(c->procs, p);
	g_free(peer);
	g_free(name);
}

/* Adds the process with the workers of one rack. */
static void
add_workers(struct bench_cell *c, int rack)
{
	int first = c->load.workers * rack / WORKER_PROCESSES;
	int count = c->load.workers * (rack + 1) / WORKER_PROCESSES - first;
	char *name = g_strdup_printf("w%d", rack);
	char *address = address_of(200 + rack, WORKER_PORT);
	GString *entries = g_string_new(NULL);
	GPtrArray *argv = g_ptr_array_new();

	for (int i = first_entry(c); i < c->daemons; i++)
		g_string_append_printf(entries, "%s%s",
		    entries->len > 0 ? "," : "", proc_at(c, i)->address);
	add_arg(argv, "%s/../test/fakeworker", c->programs);
	add_arg(argv, "--name=%s", name);
	add_arg(argv, "--address=%s", address);
	add_arg(argv, "--entry=%s", entries->str);
	add_arg(argv, "--rack=rack-%d", rack);
	add_arg(argv, "--data-center=dc-%d", rack % DATA_CENTERS);
	add_arg(argv, "--seed=%d", rack + 1);
	add_arg(argv, "--answer-ms=%d", c->load.worker_timeout_ms);
	add_arg(argv, "--count=%d", count);
	if (count > 0)
		g_ptr_array_add(c->procs, proc_new(name, c->dir, argv));
	g_string_free(entries, TRUE);
	g_free(address);
	g_free(name);
}

/* The base file; the weight of the first team changes with the version. */
static char *
base_file(const struct bench_cell *c, int version)
{
	GString *s = g_string_new("teams:\n");
	int quota = WORKER_MILLICPUS / c->load.teams * c->load.workers;
	int tasks = c->load.running / 5; /* of services */

	for (int i = 0; i < c->load.teams; i++)
		g_string_append_printf(s,
		    "  team-%d: {weight: %d, quota: {millicpus: %d}}\n", i,
		    i == 0 ? 1 + version % 7 : 1, MAX(quota, 1));
	if (tasks > 0)
		g_string_append(s, "services:\n");
	for (int i = 0; tasks > 0; i++, tasks -= TASKS_PER_SERVICE)
		g_string_append_printf(s,
		    "  service-%d: {team: team-%d, tasks: %d, resources: "
		    "{millicpus: %d, memory: %lld}}\n",
		    i, i % c->load.teams, MIN(tasks, TASKS_PER_SERVICE),
		    TASK_MILLICPUS, TASK_MEMORY);
	return g_string_free(s, FALSE);
}

static json_t *
next_config(struct bench_cell *c)
{
	char *base = base_file(c, ++c->version);
	json_t *body = json_pack("{s:i,s:s,s:s,s:{}}", "version", c->version,
	    "author", "bench", "base", base, "overlays");

	g_free(base);
	return body;
}

static void
put_config(struct bench_cell *c)
{
	json_t *body = next_config(c);
	struct pool_request r = { "PUT", "/v1/config", body, NULL };
	int status;

	json_decref(send_request(c, first_entry(c), &r, &status));
	json_decref(body);
	if (status != 200)
		g_error("capacity_bench: PUT /v1/config answered %d", status);
}

/* The body of a job; with run_ms < 0 its tasks run until they are stopped. */
static json_t *
job_body(struct bench_cell *c, int tasks, int run_ms)
{
	char *team = g_strdup_printf("team-%d", c->submitted % c->load.teams);
	json_t *body = json_pack("{s:s,s:s,s:s,s:i,s:{s:i,s:I},s:b,s:{}}",
	    "team", team, "name", "bench", "kind", "batch", "tasks", tasks,
	    "resources", "millicpus", TASK_MILLICPUS, "memory_bytes",
	    (json_int_t)TASK_MEMORY, "urgent",
	    run_ms >= 0 && c->submitted % URGENT_JOB_INTERVAL == 0, "payload");

	if (run_ms >= 0)
		json_object_set_new(json_object_get(body, "payload"), "run_ms",
		    json_integer(run_ms));
	c->submitted++;
	g_free(team);
	return body;
}

static void
on_submitted(void *arg, int status, json_t *body)
{
	struct bench_cell *c = arg;

	c->in_flight--;
	if (status != 202)
		c->rejected++;
}

/* Submits a job without waiting for the answer. */
static void
submit(struct bench_cell *c, int tasks, int run_ms)
{
	json_t *body = job_body(c, tasks, run_ms);
	char *key = g_strdup_printf("key-%d", c->submitted);
	struct pool_request r = { "POST", "/v1/jobs", body, key };
	int to = first_entry(c) + c->submitted % c->load.entries;

	c->in_flight++;
	pool_send(c->pool, proc_at(c, to)->address, &r, on_submitted, c);
	json_decref(body);
	g_free(key);
}

/* Waits for the answers to all requests of submit() and change_config(). */
static void
await_answers(struct bench_cell *c)
{
	while (c->in_flight > 0)
		event_base_loop(c->base, EVLOOP_ONCE);
	if (c->rejected > 0)
		g_warning(
		    "capacity_bench: %d jobs were not accepted", c->rejected);
	c->rejected = 0;
}

static void
start_long_tasks(struct bench_cell *c)
{
	/* The services of the configuration run a fifth of the tasks. */
	int tasks = c->load.running - c->load.running / 5;

	for (; tasks > 0; tasks -= TASKS_PER_LONG_JOB) {
		submit(c, MIN(tasks, TASKS_PER_LONG_JOB), -1);
		await_answers(c);
	}
	await_number(c, NULL, "running_tasks", c->load.running);
}

/* Creates the processes without starting them. */
static void
create_procs(struct bench_cell *c)
{
	GString *replica_list = g_string_new(NULL);

	for (int i = 0; i < c->load.replicas; i++) {
		char *peer = address_of(i + 1, 7100);

		g_string_append_printf(
		    replica_list, "%sr%d@%s", i > 0 ? "," : "", i, peer);
		g_free(peer);
	}
	c->replica_list = g_string_free(replica_list, FALSE);
	c->daemons = c->load.replicas + c->load.entries;
	for (int i = 0; i < c->daemons; i++)
		add_daemon(c, i, i < c->load.replicas);
	for (int i = 0; i < WORKER_PROCESSES; i++)
		add_workers(c, i);
}

struct bench_cell *
bench_cell_new(const struct bench_load *load)
{
	struct bench_cell *c = g_new0(struct bench_cell, 1);

	c->load = *load;
	c->programs = programs_dir();
	c->dir = g_dir_make_tmp("bulrushtide-bench-XXXXXX", NULL);
	c->procs = g_ptr_array_new_with_free_func(proc_free);
	c->base = event_base_new();
	c->pool = pool_new(c->base, REQUEST_TIMEOUT_MS);
	create_procs(c);
	for (int i = 0; i < c->daemons; i++)
		proc_start(proc_at(c, i), false);
	for (int i = first_entry(c); i < c->daemons; i++)
		await_status(c, i, "/readyz");
	put_config(c);
	for (int i = c->daemons; i < (int)c->procs->len; i++)
		proc_start(proc_at(c, i), true);
	await_number(c, "workers", "up", load->workers);
	start_long_tasks(c);
	return c;
}

void
bench_cell_free(struct bench_cell *c)
{
	g_ptr_array_unref(c->procs);
	pool_free(c->pool);
	event_base_free(c->base);
	remove_tree(c->dir);
	g_free(c->replica_list);
	g_free(c->programs);
	g_free(c->dir);
	g_free(c);
}

/* The value of a metric in a reply to /metrics; 0 if it is not there. */
static double
metric_value(const char *text, const char *name)
{
	char *line = g_strdup_printf("\n%s ", name);
	const char *at = strstr(text, line);
	double value = at != NULL ? g_ascii_strtod(at + strlen(line), NULL) : 0;

	g_free(line);
	return value;
}

/* Index of the leader according to the first entry; -1: unknown. */
static int
leader_index(struct bench_cell *c)
{
	int status;
	json_t *body = get(c, first_entry(c), "/v1/nodes", &status);
	const char *name = json_string_value(json_object_get(body, "leader"));
	int found = -1;

	for (int i = 0; name != NULL && i < c->load.replicas; i++)
		if (strcmp(proc_at(c, i)->name, name) == 0)
			found = i;
	json_decref(body);
	return found;
}

static void
read_metrics(struct bench_cell *c, int i, struct sample *s)
{
	int status;
	json_t *body = get(c, i, "/metrics", &status);
	const char *text = json_string_value(body);

	if (status != 200 || text == NULL)
		g_error("capacity_bench: %s answered %d to /metrics; logs are "
			"in %s",
		    proc_at(c, i)->name, status, c->dir);
	s->cpu_ms = metric_value(text, "bulrushtide_cpu_seconds_total") * 1e3;
	s->rss_mb =
	    metric_value(text, "bulrushtide_resident_memory_bytes") / 1e6;
	s->frames_kb = (metric_value(text, "bulrushtide_received_bytes_total") +
			   metric_value(text, "bulrushtide_sent_bytes_total")) /
	    1e3;
	s->syncs = metric_value(text, "bulrushtide_log_syncs_total");
	s->log_kb =
	    metric_value(text, "bulrushtide_log_written_bytes_total") / 1e3;
	s->starts = metric_value(text, "bulrushtide_starts_total");
	s->reply_kb = (double)strlen(text) / 1e3;
	s->text = g_strdup(text);
	json_decref(body);
}

/* Updates the socket counts of all daemons. */
static void
read_sockets(struct bench_cell *c, struct sample *samples)
{
	GHashTable *all = sockets_read();

	for (int i = 0; i < c->daemons; i++) {
		GHashTable *now = sockets_of(all, proc_at(c, i)->pid);

		if (samples[i].sockets == NULL)
			samples[i].sockets = now;
		else
			sockets_merge(samples[i].sockets, now);
	}
	g_hash_table_unref(all);
}

/*
 * Samples all daemons. The connections used for sampling are closed before
 * the sockets are read (before the load) or opened after that (after the
 * load), so that their traffic is not counted.
 */
static void
sample_all(struct bench_cell *c, struct sample *samples, bool before)
{
	struct pool *load_pool = c->pool;
	int leader;

	if (!before)
		read_sockets(c, samples);
	c->pool = pool_new(c->base, REQUEST_TIMEOUT_MS);
	leader = leader_index(c);
	for (int i = 0; i < c->daemons; i++)
		read_metrics(c, i, &samples[i]);
	if (leader >= 0)
		samples[leader].leads = true;
	pool_free(c->pool);
	c->pool = load_pool;
	g_usleep(TICK_US);
	if (before)
		read_sockets(c, samples);
}

static void
samples_free(struct bench_cell *c, struct sample *samples)
{
	for (int i = 0; i < c->daemons; i++) {
		g_free(samples[i].text);
		g_hash_table_unref(samples[i].sockets);
	}
	g_free(samples);
}

static void
on_config_changed(void *arg, int status, json_t *body)
{
	struct bench_cell *c = arg;

	c->changing = false;
	c->in_flight--;
	if (status != 200)
		g_warning("capacity_bench: PUT /v1/config answered %d", status);
}

static void
change_config(struct bench_cell *c)
{
	json_t *body = next_config(c);
	struct pool_request r = { "PUT", "/v1/config", body, NULL };

	c->changing = true;
	c->in_flight++;
	pool_send(c->pool, proc_at(c, first_entry(c))->address, &r,
	    on_config_changed, c);
	json_decref(body);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bench_cell *c = arg;
	double tick_s = TICK_US / 1e6;

	c->jobs_due += tick_s * c->load.starts_per_s / c->load.tasks_per_job;
	c->changes_due += tick_s * c->load.config_changes_per_s;
	for (; c->jobs_due >= 1; c->jobs_due--)
		submit(c, c->load.tasks_per_job, TASK_RUN_MS);
	if (c->changes_due >= 1 && !c->changing) {
		c->changes_due--;
		change_config(c);
	}
	if (c->socket_samples != NULL && c->ticks++ % SOCKET_READ_TICKS == 0)
		read_sockets(c, c->socket_samples);
	if (mono_ms() >= c->end_ms)
		event_base_loopbreak(c->base);
}

static void
apply_load(struct bench_cell *c, int64_t ms)
{
	struct timeval tick = { 0, TICK_US };
	struct event *timer = event_new(c->base, -1, EV_PERSIST, on_tick, c);

	c->end_ms = mono_ms() + ms;
	event_add(timer, &tick);
	event_base_dispatch(c->base);
	event_free(timer);
}

/* Costs of one process between two samples, s seconds apart. */
static void
cost_of(const struct sample *before, const struct sample *after, double s,
    double out[Q_COUNT])
{
	struct traffic t = sockets_since(before->sockets, after->sockets);

	out[Q_CPU_MS] = (after->cpu_ms - before->cpu_ms) / s;
	out[Q_RSS_MB] = after->rss_mb;
	out[Q_IN_KB] =
	    (double)(t.bytes_in + t.segments_in * SEGMENT_HEADERS_BYTES) / 1e3 /
	    s;
	out[Q_OUT_KB] =
	    (double)(t.bytes_out + t.segments_out * SEGMENT_HEADERS_BYTES) /
	    1e3 / s;
	out[Q_FRAMES_KB] =
	    (after->frames_kb - before->frames_kb - before->reply_kb) / s;
	out[Q_PACKETS] = (double)(t.segments_in + t.segments_out) / s;
	out[Q_SYNCS] = (after->syncs - before->syncs) / s;
	out[Q_LOG_KB] = (after->log_kb - before->log_kb) / s;
}

static enum role
role_of(const struct bench_cell *c, int i, const struct sample *s)
{
	if (i >= c->load.replicas)
		return ROLE_ENTRY;
	return s->leads ? ROLE_LEADER : ROLE_FOLLOWER;
}

/*
 * The lines of the wait histograms in a reply to /metrics, without buckets
 * whose cumulative count is 0 or that of the line before.
 */
static char *
histogram_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	GString *out = g_string_new(NULL);
	const char *previous = " 0";

	for (int i = 0; lines[i] != NULL; i++) {
		const char *value = strrchr(lines[i], ' ');

		if (!g_str_has_prefix(lines[i], "bulrushtide_wait_seconds") ||
		    value == NULL)
			continue;
		if (strcmp(value, previous) != 0 && strcmp(value, " 0") != 0)
			g_string_append_printf(out, "  %s\n", lines[i]);
		previous = value;
	}
	g_strfreev(lines);
	return g_string_free(out, FALSE);
}

static void
aggregate_costs(struct bench_cell *c, const struct sample *before,
    const struct sample *after, double s, struct costs *costs)
{
	int count[ROLE_COUNT] = { 0 };

	for (int i = 0; i < c->daemons; i++) {
		enum role role = role_of(c, i, &after[i]);
		double cost[Q_COUNT];

		cost_of(&before[i], &after[i], s, cost);
		count[role]++;
		for (int q = 0; q < Q_COUNT; q++) {
			costs->mean[role][q] += cost[q];
			costs->max[role][q] = MAX(costs->max[role][q], cost[q]);
		}
		costs->starts_per_s += (after[i].starts - before[i].starts) / s;
		if (role == ROLE_LEADER)
			costs->wait_histograms = histogram_lines(after[i].text);
	}
	for (int r = 0; r < ROLE_COUNT; r++)
		for (int q = 0; q < Q_COUNT; q++)
			costs->mean[r][q] /= MAX(count[r], 1);
}

struct costs
bench_cell_run(struct bench_cell *c)
{
	struct costs costs = { 0 };
	struct sample *before = g_new0(struct sample, c->daemons);
	struct sample *after = g_new0(struct sample, c->daemons);
	int64_t start;
	double s;

	apply_load(c, WARM_UP_MS);
	sample_all(c, before, true);
	c->socket_samples = after;
	start = mono_us();
	apply_load(c, c->load.seconds * INT64_C(1000));
	s = (double)(mono_us() - start) / 1e6;
	c->socket_samples = NULL;
	sample_all(c, after, false);
	aggregate_costs(c, before, after, s, &costs);
	await_answers(c);
	samples_free(c, before);
	samples_free(c, after);
	return costs;
}

/* Returns whether every listed process has the version last sent. */
static bool
config_applied(struct bench_cell *c)
{
	int status;
	json_t *body = get(c, first_entry(c), "/v1/config", &status);
	json_t *nodes = json_object_get(body, "nodes");
	bool all = json_array_size(nodes) >= (size_t)c->load.entries;

	for (size_t i = 0; i < json_array_size(nodes); i++)
		all &= json_integer_value(json_object_get(
			   json_array_get(nodes, i), "version")) == c->version;
	json_decref(body);
	return all;
}

int64_t
bench_cell_config_ms(struct bench_cell *c)
{
	int64_t start = mono_ms();

	put_config(c);
	while (!config_applied(c) && mono_ms() < start + WAIT_TIMEOUT_MS)
		g_usleep(TICK_US / 10);
	return mono_ms() - start;
}

/* Submits one job, resent with the same key until accepted; returns its id. */
static json_int_t
submit_until_accepted(struct bench_cell *c)
{
	json_t *body = job_body(c, 1, TASK_RUN_MS);
	char *key = g_strdup_printf("key-%d", c->submitted);
	struct pool_request r = { "POST", "/v1/jobs", body, key };
	json_int_t job = 0;
	int status = 0;

	for (int64_t end = mono_ms() + WAIT_TIMEOUT_MS;
	     status != 202 && mono_ms() < end;) {
		json_t *answer = send_request(c,
		    first_entry(c) + c->submitted % c->load.entries, &r,
		    &status);

		job = json_integer_value(json_object_get(answer, "job"));
		json_decref(answer);
		if (status != 202)
			g_usleep(TICK_US / 10);
	}
	json_decref(body);
	g_free(key);
	return job;
}

/* Waits until the job is no longer pending. */
static void
await_start(struct bench_cell *c, json_int_t job)
{
	char *path = g_strdup_printf("/v1/jobs/%lld", (long long)job);

	for (int64_t end = mono_ms() + WAIT_TIMEOUT_MS; mono_ms() < end;) {
		int status;
		json_t *body = get(c, first_entry(c), path, &status);
		const char *state =
		    json_string_value(json_object_get(body, "state"));
		bool started = state != NULL && strcmp(state, "pending") != 0;

		json_decref(body);
		if (started)
			break;
		g_usleep(TICK_US / 10);
	}
	g_free(path);
}

void
bench_cell_fail_over(
    struct bench_cell *c, int64_t *accepted_ms, int64_t *started_ms)
{
	struct proc *p;
	int64_t start;
	json_int_t job;
	int old_leader = leader_index(c);

	if (old_leader < 0)
		g_error("capacity_bench: no leader");
	p = proc_at(c, old_leader);
	start = mono_ms();
	kill(p->pid, SIGKILL);
	proc_wait(p);
	job = submit_until_accepted(c);
	*accepted_ms = mono_ms() - start;
	await_start(c, job);
	*started_ms = mono_ms() - start;
	proc_start(p, false);
	await_status(c, old_leader, "/healthz");
}

static int64_t
folder_bytes(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	int64_t bytes = 0;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);
		struct stat st;

		if (stat(child, &st) == 0 && S_ISREG(st.st_mode))
			bytes += st.st_size;
		g_free(child);
	}
	g_clear_pointer(&dir, g_dir_close);
	return bytes;
}

int64_t
bench_cell_restart(struct bench_cell *c, int64_t *bytes)
{
	int i = leader_index(c) == 0 ? 1 : 0;
	struct proc *p = proc_at(c, i);
	char *data = g_strdup_printf("%s/data-%s", c->dir, p->name);
	int64_t start;

	kill(p->pid, SIGKILL);
	proc_wait(p);
	*bytes = folder_bytes(data);
	start = mono_ms();
	proc_start(p, false);
	for (int status = 0; status != 200;) {
		json_decref(get(c, i, "/healthz", &status));
		g_usleep(1000);
	}
	g_free(data);
	return mono_ms() - start;
}

void
bench_cell_run_jobs(struct bench_cell *c, int n)
{
	const int in_flight_max = 64;

	for (int i = 0; i < n; i++) {
		submit(c, 1, 1);
		while (c->in_flight >= in_flight_max)
			event_base_loop(c->base, EVLOOP_ONCE);
	}
	await_answers(c);
}
