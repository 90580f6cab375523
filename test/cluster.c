#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "checker.h"
#include "cluster.h"
#include "httppool.h"
#include "proc.h"

#define REQUEST_TIMEOUT_MS 9000

struct cluster {
	char *dir;
	char *ip;
	char *programs; /* directory of the test program */
	GPtrArray *procs; /* struct proc */
	GPtrArray *links; /* char *, FROM-TO */
	GPtrArray *isolated; /* struct proc * */
	FILE *record; /* events of callers and of the harness */
	struct event_base *base;
	struct pool *pool;
	char *leader;
	const struct cluster_conf *conf;
	guint next_entry;
};

static struct proc *
find_proc(struct cluster *c, const char *name)
{
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];

		if (strcmp(p->name, name) == 0)
			return p;
	}
	g_error("cluster: no process %s", name);
}

/* Adds a process; takes ownership of argv. */
static struct proc *
add_proc(struct cluster *c, const char *name, GPtrArray *argv)
{
	struct proc *p = proc_new(name, c->dir, argv);

	g_ptr_array_add(c->procs, p);
	return p;
}

/* Adds a pair to the proxy's arguments; returns its listening address. */
static char *
add_link(
    struct cluster *c, GPtrArray *proxy, const char *name, const char *target)
{
	char *listen = free_address(c->ip);

	add_arg(proxy, "--pair=%s@%s=%s", name, listen, target);
	g_ptr_array_add(c->links, g_strdup(name));
	return listen;
}

/*
 * Returns the value of --replicas for one process: its proxy links to the
 * replicas, and its own address if it is one.
 */
static char *
replica_list(struct cluster *c, GPtrArray *proxy, const char *from,
    const GPtrArray *peers)
{
	GString *list = g_string_new(NULL);

	for (int i = 0; i < c->conf->replicas; i++) {
		char *to = g_strdup_printf("r%d", i);
		char *link = g_strdup_printf("%s-%s", from, to);
		char *address = strcmp(from, to) == 0
		    ? g_strdup(peers->pdata[i])
		    : add_link(c, proxy, link, peers->pdata[i]);

		g_string_append_printf(
		    list, "%s%s@%s", i > 0 ? "," : "", to, address);
		g_free(address);
		g_free(link);
		g_free(to);
	}
	return g_string_free(list, FALSE);
}

/* Adds a replica, or an entry if peer is NULL. */
static void
add_daemon(struct cluster *c, GPtrArray *proxy, const char *name,
    const char *peer, const GPtrArray *peers)
{
	char *list = replica_list(c, proxy, name, peers);
	char *http = free_address(c->ip);
	GPtrArray *argv = g_ptr_array_new();
	struct proc *p;

	add_arg(argv, "%s/../bulrushtided/bulrushtided", c->programs);
	add_arg(argv, "--name=%s", name);
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--replicas=%s", list);
	add_arg(argv, "--role=%s", peer != NULL ? "replica" : "entry");
	if (peer != NULL) {
		add_arg(argv, "--peer=%s", peer);
		add_arg(argv, "--data-dir=%s/data-%s", c->dir, name);
		/* Low, so that every test takes and sends snapshots. */
		add_arg(argv, "--snapshot-entries=100");
	}
	p = add_proc(c, name, argv);
	p->address = http;
	g_free(list);
}

static void
add_worker(struct cluster *c, GPtrArray *proxy, int i)
{
	char *name = g_strdup_printf("w%d", i);
	char *address = free_address(c->ip);
	char *announce = add_link(c, proxy, name, address);
	GPtrArray *argv = g_ptr_array_new();
	const char *const *flag = c->conf->worker_flags;
	GString *entries = g_string_new(NULL);

	for (int k = 0; k < c->conf->entries; k++) {
		char *entry = g_strdup_printf("e%d", k);

		g_string_append_printf(entries, "%s%s", k > 0 ? "," : "",
		    find_proc(c, entry)->address);
		g_free(entry);
	}
	add_arg(argv, "%s/fakeworker", c->programs);
	add_arg(argv, "--name=%s", name);
	add_arg(argv, "--address=%s", address);
	add_arg(argv, "--announce=%s", announce);
	add_arg(argv, "--entry=%s", entries->str);
	add_arg(argv, "--rack=rack-%d", i % 2);
	add_arg(argv, "--seed=%d", i + 1);
	add_arg(argv, "--record=%s/%s.record", c->dir, name);
	for (; flag != NULL && *flag != NULL; flag++)
		add_arg(argv, "%s", *flag);
	add_proc(c, name, argv)->address = address;
	g_string_free(entries, TRUE);
	g_free(announce);
	g_free(name);
}

/* Adds all processes with their addresses, without starting them. */
static void
add_processes(struct cluster *c)
{
	GPtrArray *proxy = g_ptr_array_new();
	GPtrArray *peers = g_ptr_array_new_with_free_func(g_free);
	char *name;

	add_arg(proxy, "%s/faultproxy", c->programs);
	for (int i = 0; i < c->conf->replicas; i++)
		g_ptr_array_add(peers, free_address(c->ip));
	for (int i = 0; i < c->conf->replicas; i++) {
		name = g_strdup_printf("r%d", i);
		add_daemon(c, proxy, name, peers->pdata[i], peers);
		g_free(name);
	}
	for (int i = 0; i < c->conf->entries; i++) {
		name = g_strdup_printf("e%d", i);
		add_daemon(c, proxy, name, NULL, peers);
		g_free(name);
	}
	for (int i = 0; i < c->conf->workers; i++)
		add_worker(c, proxy, i);
	add_proc(c, "proxy", proxy);
	g_ptr_array_unref(peers);
}

struct answer {
	struct event_base *base;
	int status;
	json_t *body;
};

static void
on_response(void *arg, int status, json_t *body)
{
	struct answer *a = arg;

	a->status = status;
	a->body = json_incref(body);
	event_base_loopbreak(a->base);
}

json_t *
cluster_http(struct cluster *c, const char *name, const char *method,
    const char *path, const char *key, const json_t *body, int *status)
{
	struct pool_request request = { method, path, body, key };
	struct answer a = { c->base, -1, NULL };

	pool_send(
	    c->pool, find_proc(c, name)->address, &request, on_response, &a);
	if (a.status < 0)
		event_base_dispatch(c->base);
	*status = a.status;
	return a.body;
}

/*
 * Returns the next entry that is running and not isolated, as a load balancer
 * with health checks would choose.
 */
static char *
next_running_entry(struct cluster *c)
{
	for (int i = 0; i < c->conf->entries; i++) {
		char *name = g_strdup_printf(
		    "e%u", c->next_entry++ % (guint)c->conf->entries);
		struct proc *p = find_proc(c, name);

		if (p->pid != 0 && !g_ptr_array_find(c->isolated, p, NULL))
			return name;
		g_free(name);
	}
	g_error("cluster: all entries are stopped or isolated");
}

/* Sends GET to the entries in turn until one returns 200. */
static json_t *
get_from_any(struct cluster *c, const char *path)
{
	for (int64_t end = mono_ms() + AWAIT_MS; mono_ms() < end;) {
		char *entry = next_running_entry(c);
		int status;
		json_t *body =
		    cluster_http(c, entry, "GET", path, NULL, NULL, &status);

		g_free(entry);
		if (status == 200)
			return body;
		json_decref(body);
		g_usleep(POLL_US);
	}
	g_error("cluster: no entry answers %s; logs are in %s", path, c->dir);
}

const char *
cluster_leader(struct cluster *c)
{
	json_t *body = get_from_any(c, "/v1/nodes");

	g_free(c->leader);
	c->leader =
	    g_strdup(json_string_value(json_object_get(body, "leader")));
	json_decref(body);
	return c->leader;
}

void
cluster_await_ready(struct cluster *c, const char *name, int status)
{
	int got = 0;

	for (int64_t end = mono_ms() + AWAIT_MS; mono_ms() < end;) {
		json_decref(
		    cluster_http(c, name, "GET", "/readyz", NULL, NULL, &got));
		if (got == status)
			return;
		g_usleep(POLL_US);
	}
	g_error("cluster: %s answers %d to /readyz; logs are in %s", name, got,
	    c->dir);
}

static void
put_config(struct cluster *c)
{
	json_t *config = json_pack("{s:i,s:s,s:s,s:{}}", "version", 1, "author",
	    "test", "base", c->conf->base, "overlays");
	int status;
	json_t *body =
	    cluster_http(c, "e0", "PUT", "/v1/config", NULL, config, &status);
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);

	if (status != 200)
		g_error("cluster: PUT /v1/config returned %d %s", status, text);
	free(text);
	json_decref(body);
	json_decref(config);
}

static void
await_workers(struct cluster *c)
{
	json_int_t up = -1;

	for (int64_t end = mono_ms() + AWAIT_MS; mono_ms() < end;) {
		json_t *body = get_from_any(c, "/v1/status");

		up = json_integer_value(
		    json_object_get(json_object_get(body, "workers"), "up"));
		json_decref(body);
		if (up == c->conf->workers)
			return;
		g_usleep(POLL_US);
	}
	g_error("cluster: %d of %d workers are up; logs are in %s", (int)up,
	    c->conf->workers, c->dir);
}

struct cluster *
cluster_new(const struct cluster_conf *conf)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *path;

	c->conf = conf;
	c->programs = programs_dir();
	c->ip = loopback_ip();
	c->dir = g_dir_make_tmp("bulrushtide-cluster-XXXXXX", NULL);
	c->procs = g_ptr_array_new_with_free_func(proc_free);
	c->links = g_ptr_array_new_with_free_func(g_free);
	c->isolated = g_ptr_array_new();
	c->base = event_base_new();
	c->pool = pool_new(c->base, REQUEST_TIMEOUT_MS);
	path = g_strdup_printf("%s/callers.record", c->dir);
	c->record = fopen(path, "ae");
	g_free(path);
	add_processes(c);
	proc_start(find_proc(c, "proxy"), true);
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];

		if (p->name[0] == 'r' || p->name[0] == 'e')
			proc_start(p, false);
	}
	for (int i = 0; i < conf->entries; i++) {
		char *name = g_strdup_printf("e%d", i);

		cluster_await_ready(c, name, 200);
		g_free(name);
	}
	put_config(c);
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];

		if (p->name[0] == 'w')
			proc_start(p, true);
	}
	await_workers(c);
	return c;
}

static bool
is_daemon(const struct proc *p)
{
	return p->name[0] == 'r' || p->name[0] == 'e';
}

void
cluster_free(struct cluster *c)
{
	bool ok = !g_test_failed();

	/* pid is 0 for processes that the test ended; the rest must run. */
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];

		if (p->pid == 0 || waitpid(p->pid, NULL, WNOHANG) == 0)
			continue;
		g_test_message(
		    "%s exited unexpectedly; logs are in %s", p->name, c->dir);
		p->pid = 0;
		ok = false;
	}
	/* All daemons stop at the same time. */
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];

		if (p->pid != 0 && is_daemon(p))
			kill(p->pid, SIGTERM);
	}
	for (guint i = 0; i < c->procs->len; i++) {
		struct proc *p = c->procs->pdata[i];
		int status;

		if (p->pid == 0 || !is_daemon(p))
			continue;
		status = proc_wait(p);
		ok = ok && status == 0;
		if (status != 0)
			g_test_message("%s exited with wait status %d; logs "
				       "are in %s",
			    p->name, status, c->dir);
	}
	g_ptr_array_unref(c->procs);
	fclose(c->record);
	pool_free(c->pool);
	event_base_free(c->base);
	if (ok)
		remove_tree(c->dir);
	else
		g_test_fail();
	g_ptr_array_unref(c->links);
	g_ptr_array_unref(c->isolated);
	g_free(c->leader);
	g_free(c->programs);
	g_free(c->ip);
	g_free(c->dir);
	g_free(c);
}

void
cluster_stop(struct cluster *c, const char *name)
{
	struct proc *p = find_proc(c, name);
	int status;

	g_assert_cmpint(kill(p->pid, SIGTERM), ==, 0);
	status = proc_wait(p);
	if (status != 0)
		g_error(
		    "cluster: %s exited with wait status %d; logs are in %s",
		    name, status, c->dir);
}

const char *
cluster_address(struct cluster *c, const char *name)
{
	return find_proc(c, name)->address;
}

/* Writes an event of a caller; takes ownership of the object. */
static void
record_event(struct cluster *c, const char *event, json_t *line)
{
	g_assert_nonnull(line);
	json_object_set_new(line, "event", json_string(event));
	json_object_set_new(line, "ms", json_integer(mono_ms()));
	json_dumpf(line, c->record, JSON_COMPACT);
	fputc('\n', c->record);
	fflush(c->record);
	json_decref(line);
}

void
cluster_signal(struct cluster *c, const char *name, int sig)
{
	struct proc *p = find_proc(c, name);

	g_assert_cmpint(kill(p->pid, sig), ==, 0);
	if (sig != SIGKILL)
		return;
	proc_wait(p);
	if (name[0] == 'w')
		record_event(c, "killed", json_pack("{s:s}", "worker", name));
}

void
cluster_delete_data(struct cluster *c, const char *name)
{
	char *path = g_strdup_printf("%s/data-%s", c->dir, name);

	g_assert_cmpint(find_proc(c, name)->pid, ==, 0);
	remove_tree(path);
	g_free(path);
}

void
cluster_restart(struct cluster *c, const char *name)
{
	proc_start(find_proc(c, name), name[0] == 'w');
}

void
cluster_fault(struct cluster *c, const char *verb, const char *from,
    const char *to, const char *arg)
{
	char *line = to != NULL
	    ? g_strdup_printf("%s %s-%s%s%s", verb, from, to,
		  arg != NULL ? " " : "", arg != NULL ? arg : "")
	    : g_strdup_printf("%s %s%s%s", verb, from, arg != NULL ? " " : "",
		  arg != NULL ? arg : "");

	proc_command(find_proc(c, "proxy"), line);
	g_free(line);
}

void
cluster_isolate(struct cluster *c, const char *name)
{
	g_ptr_array_add(c->isolated, find_proc(c, name));
	for (guint i = 0; i < c->links->len; i++) {
		const char *link = c->links->pdata[i];
		char **end = g_strsplit(link, "-", 2);

		if (strcmp(end[0], name) == 0 || g_strcmp0(end[1], name) == 0)
			cluster_fault(c, "cut", link, NULL, NULL);
		g_strfreev(end);
	}
}

void
cluster_heal(struct cluster *c)
{
	g_ptr_array_set_size(c->isolated, 0);
	proc_command(find_proc(c, "proxy"), "heal *");
}

/* Returns how often the text occurs in a worker's record. */
static int
count_in_record(struct cluster *c, const char *worker, const char *text)
{
	char *path = g_strdup_printf("%s/%s.record", c->dir, worker);
	char *content = NULL;
	int n = 0;

	if (g_file_get_contents(path, &content, NULL, NULL)) {
		for (const char *s = content; (s = strstr(s, text)) != NULL;
		     s++)
			n++;
	}
	g_free(content);
	g_free(path);
	return n;
}

void
cluster_await_event(
    struct cluster *c, const char *worker, const char *event, int count)
{
	char *word = g_strdup_printf("\"event\":\"%s\"", event);
	int recorded = -1;

	for (int64_t end = mono_ms() + AWAIT_MS;
	     recorded < count && mono_ms() < end; g_usleep(POLL_US)) {
		recorded = 0;
		for (guint i = 0; i < c->procs->len; i++) {
			const struct proc *p = c->procs->pdata[i];

			if (worker == NULL || strcmp(worker, p->name) == 0)
				recorded += count_in_record(c, p->name, word);
		}
	}
	if (recorded < count)
		g_error("cluster: %s has %d of %d events %s; logs are in %s",
		    worker != NULL ? worker : "all", recorded, count, event,
		    c->dir);
	g_free(word);
}

bool
cluster_logged_within(
    struct cluster *c, const char *name, const char *text, int64_t ms)
{
	const struct proc *p = find_proc(c, name);
	bool found = false;

	for (int64_t end = mono_ms() + ms; !found && mono_ms() < end;
	     g_usleep(POLL_US)) {
		char *log = NULL;
		const char *last;

		if (!g_file_get_contents(p->log, &log, NULL, NULL))
			continue;
		last = g_strrstr(log, " serves on ");
		found = last != NULL && strstr(last, text) != NULL;
		g_free(log);
	}
	return found;
}

void
cluster_await_log(struct cluster *c, const char *name, const char *text)
{
	if (!cluster_logged_within(c, name, text, AWAIT_MS))
		g_error("cluster: %s has not logged \"%s\"; logs are in %s",
		    name, text, c->dir);
}

json_t *
cluster_batch_spec(const char *key, int64_t run_ms, bool idempotent)
{
	return json_pack(
	    "{s:s,s:s,s:s,s:i,s:{s:i,s:i},s:I,s:b,s:{s:s,s:I,s:b}}", "team",
	    "team", "name", key, "kind", "batch", "tasks", 1, "resources",
	    "millicpus", 500, "memory_bytes", 1 << 20, "runtime_ms",
	    (json_int_t)run_ms, "idempotent", idempotent, "payload", "token",
	    key, "run_ms", (json_int_t)run_ms, "echo", 1);
}

/* Returns a job id, which is a JSON number or string; 0: none. */
static uint64_t
job_id(const json_t *body)
{
	const json_t *id = json_object_get(body, "job");

	if (json_is_string(id))
		return g_ascii_strtoull(json_string_value(id), NULL, 10);
	return (uint64_t)json_integer_value(id);
}

uint64_t
cluster_submit(struct cluster *c, const char *key, const json_t *spec)
{
	bool idempotent = json_is_true(json_object_get(spec, "idempotent"));
	int status = 0;

	for (int64_t end = mono_ms() + AWAIT_MS; mono_ms() < end;) {
		char *entry = next_running_entry(c);
		json_t *body = cluster_http(
		    c, entry, "POST", "/v1/jobs", key, spec, &status);
		uint64_t job = job_id(body);

		json_decref(body);
		g_free(entry);
		if (status == 202 && job != 0) {
			record_event(c, "accepted",
			    json_pack("{s:s,s:I,s:b}", "key", key, "job",
				(json_int_t)job, "idempotent", idempotent));
			return job;
		}
		if (status >= 400 && status < 500)
			break;
		g_usleep(POLL_US);
	}
	g_error("cluster: job %s not accepted: status %d; logs are in %s", key,
	    status, c->dir);
}

static enum outcome
outcome_of(const json_t *body)
{
	const char *word = json_string_value(json_object_get(body, "outcome"));

	for (int i = 0; i < OUT_COUNT; i++) {
		if (g_strcmp0(outcome_name(i), word) == 0)
			return i;
	}
	return OUT_COUNT;
}

enum outcome
cluster_await_job(struct cluster *c, const char *key, uint64_t job)
{
	char *path = g_strdup_printf("/v1/jobs/%" PRIu64 "?wait_ms=2000", job);
	json_t *body = get_from_any(c, path);
	enum outcome outcome = outcome_of(body);
	json_t *results = json_object_get(body, "results");

	g_assert_cmpuint(job_id(body), ==, job);
	record_event(c, "answer",
	    json_pack("{s:s,s:I,s:s,s:O*}", "key", key, "job", (json_int_t)job,
		"outcome", outcome_name(outcome), "results", results));
	json_decref(body);
	g_free(path);
	return outcome;
}

/* Returns the key in a call's response: JSON after the line with the task. */
static char *
answer_key(const json_t *body)
{
	const char *text = json_string_value(body);
	const char *line = text != NULL ? strchr(text, '\n') : NULL;
	json_t *key =
	    line != NULL ? json_loads(line, JSON_DECODE_ANY, NULL) : NULL;
	char *copy =
	    g_strdup(json_is_string(key) ? json_string_value(key) : "");

	json_decref(key);
	return copy;
}

enum outcome
cluster_call(struct cluster *c, const char *entry, const char *service,
    const char *key, bool idempotent)
{
	char *path = g_strdup_printf("/v1/services/%s/call", service);
	json_t *request = json_string(key);
	int status;
	json_t *body =
	    cluster_http(c, entry, "POST", path, NULL, request, &status);
	enum outcome outcome = status == 200 ? OUT_DONE : outcome_of(body);
	char *returned_key = answer_key(body);

	if (status == 0)
		outcome = OUT_UNKNOWN;
	record_event(c, "called",
	    json_pack("{s:s,s:b,s:s,s:s}", "key", key, "idempotent", idempotent,
		"outcome", outcome_name(outcome), "answer_key", returned_key));
	g_free(returned_key);
	json_decref(body);
	json_decref(request);
	g_free(path);
	return outcome;
}

void
cluster_check_records(struct cluster *c)
{
	struct checker *checker = checker_new();
	GError *err = NULL;
	GDir *dir = g_dir_open(c->dir, 0, NULL);
	const char *name;
	GPtrArray *violations;

	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(c->dir, name, NULL);

		if (g_str_has_suffix(name, ".record"))
			checker_read(checker, path, &err);
		g_assert_no_error(err);
		g_free(path);
	}
	g_dir_close(dir);
	violations = checker_violations(checker);
	for (guint i = 0; i < violations->len; i++)
		g_test_message("%s", (const char *)violations->pdata[i]);
	if (violations->len > 0)
		g_test_message("records are in %s", c->dir);
	g_assert_cmpuint(violations->len, ==, 0);
	g_ptr_array_unref(violations);
	checker_free(checker);
}
