/* The processes, the minions and the calls of a case. */
#include "cell.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <glib/gstdio.h>
#include <netinet/in.h>

#define PROGRAM "target/platform/bulrushtide-platform"
#define TEMPLATE "deploy/settings.in"
#define FRONT_PORT 8161
#define CONTROL_PORT 8166
#define READY_PORT 8167
#define PEER_PORT 7720
#define METRICS_PORT 7735
#define MINION_PORT 8080
#define TICK_MS 5
#define BEAT_MS 1500
#define BEAT_TIMEOUT_MS 1000 /* then the next process is called */
#define RESTART_MS 500 /* a process that has ended is started again */
#define START_LIMIT_MS 25000
#define CASE_LIMIT_S 118 /* then it could not run, and its processes end */
#define BODY_MAX (4 << 20)
#define LASTING_MS 300000 /* a run that has more to go lasts */
#define FAILS_MARK "fails="

int64_t
now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int64_t
wall_ms(void)
{
	return g_get_real_time() / 1000;
}

void
note(struct cell *c, const char *format, ...)
{
	va_list ap;
	int64_t t = now_ms() - c->begin_ms;

	(void)fprintf(
	    c->record, "%3d.%03d s  ", (int)(t / 1000), (int)(t % 1000));
	va_start(ap, format);
	(void)vfprintf(c->record, format, ap);
	va_end(ap);
	(void)fputc('\n', c->record);
}

static void
kill_all(struct cell *c)
{
	for (int i = 0; i < CELL_NODES; i++) {
		struct node *n = &c->node[i];

		if (n->pid == 0)
			continue;
		(void)kill(n->pid, SIGKILL);
		(void)waitpid(n->pid, NULL, 0);
		n->pid = 0;
	}
}

static void
remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
		g_free(child);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)g_remove(path);
}

/* The logs of the processes are kept only on request. */
static void
clean_up(struct cell *c)
{
	kill_all(c);
	if (g_getenv("KEEP_LOGS") == NULL)
		remove_tree(c->dir);
	else
		(void)printf("logs: %s\n", c->dir);
	(void)fflush(c->record);
}

G_NORETURN void
give_up(struct cell *c, const char *why)
{
	note(c, "the case could not run: %s", why);
	(void)fprintf(stderr, "the case could not run: %s\n", why);
	clean_up(c);
	exit(2);
}

int
cell_finish(struct cell *c, bool broken)
{
	note(c, "%s", broken ? "BROKEN" : "held");
	(void)printf("%s\n", broken ? "the rule was broken" : "the rule held");
	clean_up(c);
	return broken ? 1 : 0;
}

void
cell_run(struct cell *c, int64_t ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	(void)event_base_loopexit(c->base, &tv);
	(void)event_base_dispatch(c->base);
}

/* --- calls --- */

struct call_state {
	struct answer *answer;
	struct evhttp_connection *conn;
	struct event_base *base;
	answer_fn *fn;
	void *arg;
};

static void
free_conn(evutil_socket_t fd, short what, void *arg)
{
	evhttp_connection_free(arg);
}

static void
on_call_answer(struct evhttp_request *req, void *arg)
{
	struct call_state *s = arg;
	struct answer *a = s->answer;
	struct evbuffer *in;
	size_t len;
	struct timeval zero = { 0 };

	a->done = true;
	a->answered_ms = now_ms();
	a->status = req == NULL ? 0 : evhttp_request_get_response_code(req);
	in = req == NULL ? NULL : evhttp_request_get_input_buffer(req);
	len = in == NULL ? 0 : evbuffer_get_length(in);
	a->body = g_malloc0(len + 1);
	if (len > 0)
		(void)evbuffer_copyout(in, a->body, len);
	(void)event_base_once(
	    s->base, -1, EV_TIMEOUT, free_conn, s->conn, &zero);
	if (s->fn != NULL)
		s->fn(a, s->arg);
	g_free(s);
}

struct answer *
call_send(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body, int timeout_ms, answer_fn *fn,
    void *arg)
{
	struct call_state *s = g_new0(struct call_state, 1);
	struct answer *a = g_new0(struct answer, 1);
	struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	const char *colon = strchr(address, ':');
	char *ip = g_strndup(address, (gsize)(colon - address));
	struct evhttp_request *req = evhttp_request_new(on_call_answer, s);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char deadline[16];

	*s = (struct call_state){
		.answer = a, .base = c->base, .fn = fn, .arg = arg
	};
	s->conn = evhttp_connection_base_new(
	    c->base, NULL, ip, (uint16_t)strtoul(colon + 1, NULL, 10));
	g_free(ip);
	evhttp_connection_set_timeout_tv(s->conn, &tv);
	(void)g_snprintf(deadline, sizeof(deadline), "%d", timeout_ms);
	evhttp_add_header(out, "Host", CELL_HOST);
	evhttp_add_header(out, "Bulrushtide-Deadline-Ms", deadline);
	if (body != NULL) {
		evhttp_add_header(out, "Content-Type", "application/json");
		(void)evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, strlen(body));
	}
	a->sent_ms = now_ms();
	(void)evhttp_make_request(s->conn, req, method, path);
	return a;
}

void
answer_free(struct answer *a)
{
	g_free(a->body);
	g_free(a);
}

int
call(struct cell *c, const char *address, enum evhttp_cmd_type method,
    const char *path, const char *body, int timeout_ms, char **body_out)
{
	struct answer *a =
	    call_send(c, address, method, path, body, timeout_ms, NULL, NULL);
	int status;

	while (!a->done)
		cell_run(c, 2);
	status = a->status;
	if (body_out != NULL)
		*body_out = g_steal_pointer(&a->body);
	answer_free(a);
	return status;
}

char *
job_state(struct cell *c, const char *id)
{
	char *path = g_strconcat(CELL_PREFIX, id, NULL);
	char *state = NULL;

	for (int i = 0; state == NULL && i < CELL_NODES; i++) {
		char *body = NULL;
		int status;
		json_t *o;

		if (c->node[i].pid == 0 || c->node[i].stopped)
			continue;
		status = call(c, c->node[i].front, EVHTTP_REQ_GET, path, NULL,
		    3000, &body);
		if (status == 410) {
			state = g_strdup("410");
		} else if (status == 200) {
			o = json_loads(body, 0, NULL);
			state = g_strdup(
			    json_string_value(json_object_get(o, "state")));
			json_decref(o);
		}
		g_free(body);
	}
	g_free(path);
	return state == NULL ? g_strdup("") : state;
}

/* --- processes --- */

static char *
replace(char *text, const char *key, const char *value)
{
	char *mark = g_strdup_printf("{{%s}}", key);
	char **part = g_strsplit(text, mark, -1);
	char *out = g_strjoinv(value, part);

	g_strfreev(part);
	g_free(mark);
	g_free(text);
	return out;
}

/* Fills in the template of the deploy file. */
static void
write_settings(struct cell *c, int i, bool first)
{
	struct node *n = &c->node[i];
	char *text = NULL;
	char *name = g_strdup_printf("front-%d", i);
	char *seeds = g_strjoin(",", c->node[0].control, c->node[1].control,
	    c->node[2].control, NULL);
	const char *const values[][2] = { { "nodeName", name },
		{ "zone", i % 2 == 0 ? "kochi-a" : "kochi-b" }, { "ip", n->ip },
		{ "internalPorts", "7720,7735" }, { "internalPorts.1", "7735" },
		{ "seeds", seeds }, { "bootstrap", first ? "true" : "false" },
		{ "dataDir", n->data == NULL ? "" : n->data },
		{ "recommendation", "" }, { "listen.front", n->front },
		{ "listen.ready", n->ready }, { "listen.control", n->control },
		{ "bounds.graceS", "6" },
		{ "bounds.maxHoldMs", G_STRINGIFY(MAX_HOLD_MS) },
		{ "bounds.farFactor", "3" }, { "bounds.status_s", "120" },
		{ "bounds.drainMs", "2000" } };

	if (!g_file_get_contents(TEMPLATE, &text, NULL, NULL))
		give_up(c, "no settings template: run it in the repository");
	for (size_t k = 0; k < G_N_ELEMENTS(values); k++)
		text = replace(text, values[k][0], values[k][1]);
	if (strstr(text, "{{") != NULL ||
	    !g_file_set_contents(n->settings, text, -1, NULL))
		give_up(c, "the settings template can't be filled in");
	g_free(text);
	g_free(name);
	g_free(seeds);
}

static void
node_start(struct cell *c, int i, bool first)
{
	struct node *n = &c->node[i];
	pid_t parent = getpid();

	write_settings(c, i, first);
	n->pid = fork();
	if (n->pid < 0)
		give_up(c, "can't start a process");
	if (n->pid == 0) {
		int fd = open(
		    n->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

		/* It must not outlive the case. */
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)dup2(fd, 1);
		(void)dup2(fd, 2);
		(void)setenv("BULRUSHTIDE_SETTINGS", n->settings, 1);
		if (getppid() == parent)
			(void)execl(PROGRAM, PROGRAM, (char *)NULL);
		_exit(127);
	}
	n->stopped = false;
	n->restart_ms = 0;
	note(c, "process %d starts", i);
}

void
node_signal(struct cell *c, int i, int signal)
{
	struct node *n = &c->node[i];

	if (n->pid == 0 || kill(n->pid, signal) != 0)
		return;
	note(c, "process %d gets %s", i, strsignal(signal));
	if (signal == SIGSTOP || signal == SIGCONT)
		n->stopped = signal == SIGSTOP;
	if (signal != SIGKILL)
		return;
	(void)waitpid(n->pid, NULL, 0);
	n->pid = 0;
	n->restart_ms = now_ms() + RESTART_MS;
}

void
node_wipe(struct cell *c, int i, int64_t down_ms)
{
	struct node *n = &c->node[i];

	node_signal(c, i, SIGKILL);
	remove_tree(n->data);
	(void)g_mkdir(n->data, 0700);
	n->restart_ms = now_ms() + down_ms;
	note(c, "process %d has lost its disk", i);
}

/* The platform restarts a process that has ended. */
static void
watch_processes(struct cell *c)
{
	for (int i = 0; i < CELL_NODES; i++) {
		struct node *n = &c->node[i];
		int status;

		if (n->pid != 0 &&
		    waitpid(n->pid, &status, WNOHANG) == n->pid) {
			n->pid = 0;
			n->own_ends++;
			n->restart_ms = now_ms() + RESTART_MS;
			note(c, "process %d ended by itself: %s %d", i,
			    WIFSIGNALED(status) ? "signal" : "status",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
		}
		if (n->pid == 0 && n->restart_ms != 0 &&
		    now_ms() >= n->restart_ms)
			node_start(c, i, false);
	}
}

/* Reads a figure of the log: the process that said last that it leads. */
int
cell_leader(struct cell *c)
{
	int leader = -1;
	unsigned long long best = 0;

	for (int i = 0; i < CELL_DISKS; i++) {
		char *text = NULL;
		const char *at = NULL;
		const char *next;
		unsigned long long term;

		if (c->node[i].pid == 0 ||
		    !g_file_get_contents(c->node[i].log, &text, NULL, NULL))
			continue;
		for (next = text;
		     (next = strstr(next, "event=lead term=")) != NULL; next++)
			at = next;
		if (at != NULL && strstr(at, "event=resign") == NULL) {
			term =
			    strtoull(at + strlen("event=lead term="), NULL, 10);
			if (term > best) {
				best = term;
				leader = i;
			}
		}
		g_free(text);
	}
	return leader;
}

static bool
is_free(const char *ip, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	(void)inet_pton(AF_INET, ip, &sa.sin_addr);
	ok = fd >= 0 && bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	if (fd >= 0)
		(void)close(fd);
	return ok;
}

/* Each process has an address of its own, as on machines of its own. */
static void
choose_addresses(struct cell *c)
{
	for (unsigned k = 0; k < 250; k++) {
		bool ok = true;

		c->octet = ((unsigned)getpid() + k) % 250 + 1;
		for (int i = 0; ok && i < CELL_NODES + 2; i++) {
			char *ip =
			    g_strdup_printf("127.77.%u.%d", c->octet, i + 1);

			ok = is_free(ip, FRONT_PORT) &&
			    is_free(ip, CONTROL_PORT) &&
			    is_free(ip, PEER_PORT) && is_free(ip, MINION_PORT);
			g_free(ip);
		}
		if (ok)
			return;
	}
	give_up(c, "no free loopback addresses");
}

static char *
at_port(const char *ip, int port)
{
	return g_strdup_printf("%s:%d", ip, port);
}

static void on_tick(evutil_socket_t fd, short what, void *arg);

/* The processes end with this one. */
static void
on_limit(int signal)
{
	_exit(2);
}

struct cell *
cell_new(int argc, char **argv)
{
	struct cell *c = g_new0(struct cell, 1);
	struct timeval tv = { .tv_usec = TICK_MS * 1000 };
	const char *path = "record.txt";

	c->trouble = true;
	for (int i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--record") == 0)
			path = argv[i + 1];
		else if (strcmp(argv[i], "--trouble") == 0)
			c->trouble = strcmp(argv[i + 1], "0") != 0;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	(void)signal(SIGALRM, on_limit);
	(void)alarm(CASE_LIMIT_S);
	c->begin_ms = now_ms();
	c->record = fopen(path, "we");
	if (c->record == NULL) {
		perror(path);
		exit(2);
	}
	c->dir = g_dir_make_tmp("review-XXXXXX", NULL);
	c->base = event_base_new();
	c->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	choose_addresses(c);
	for (int i = 0; i < CELL_NODES; i++) {
		struct node *n = &c->node[i];

		n->ip = g_strdup_printf("127.77.%u.%d", c->octet, i + 1);
		n->front = at_port(n->ip, FRONT_PORT);
		n->control = at_port(n->ip, CONTROL_PORT);
		n->ready = at_port(n->ip, READY_PORT);
		n->metrics = at_port(n->ip, METRICS_PORT);
		n->settings = g_strdup_printf("%s/node%d.conf", c->dir, i);
		n->log = g_strdup_printf("%s/node%d.log", c->dir, i);
		if (i >= CELL_DISKS)
			continue;
		n->data = g_strdup_printf("%s/data%d", c->dir, i);
		(void)g_mkdir(n->data, 0700);
	}
	c->timer = event_new(c->base, -1, EV_PERSIST, on_tick, c);
	(void)event_add(c->timer, &tv);
	note(c, "trouble: %s", c->trouble ? "yes" : "no");
	return c;
}

static bool
all_ready(struct cell *c)
{
	for (int i = 0; i < CELL_NODES; i++)
		if (call(c, c->node[i].ready, EVHTTP_REQ_GET,
			"/bulrushtide/ready", NULL, 500, NULL) != 200)
			return false;
	return true;
}

static bool
workers_known(struct cell *c)
{
	for (int i = 0; i < c->minions; i++)
		if (c->minion[i]->fence == 0)
			return false;
	return true;
}

void
cell_start_nodes(struct cell *c)
{
	if (access(PROGRAM, X_OK) != 0)
		give_up(c, PROGRAM " is not built");
	for (int i = 0; i < CELL_NODES; i++)
		node_start(c, i, true);
}

int
cell_configure(struct cell *c, int node)
{
	static const char config[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"r-proofs\",\"host\":"
	    "\"" CELL_HOST "\",\"pathPrefix\":\"" CELL_PREFIX
	    "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":"
	    "1200,\"priority\":1,\"service\":\"" CELL_SERVICE
	    "\",\"maxAttempts\":4,\"slackFactor\":2.2}],\"services\":[{"
	    "\"name\":\"" CELL_SERVICE
	    "\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
	    "\"tls\":false,\"constraints\":false,\"standby\":false}],"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

	return call(c, c->node[node].control, EVHTTP_REQ_POST,
	    "/bulrushtide/config/replace", config, 1000, NULL);
}

void
cell_start(struct cell *c)
{
	int64_t limit = now_ms() + START_LIMIT_MS;

	cell_start_nodes(c);
	while (cell_configure(c, CELL_NODES - 1) != 200) {
		if (now_ms() > limit)
			give_up(c, "the configuration is not accepted");
		cell_run(c, 100);
	}
	note(c, "configuration 7 is acknowledged");
	for (int i = 0; i < c->minions; i++)
		minion_start(c->minion[i]);
	while (!all_ready(c) || !workers_known(c)) {
		if (now_ms() > limit)
			give_up(c, "the cell does not become ready");
		cell_run(c, 100);
	}
	/* All replicas have joined by then. */
	cell_run(c, 4000);
	note(c, "the cell is ready; process %d leads", cell_leader(c));
}

/* --- minions --- */

struct task_seen *
task_seen(struct cell *c, const char *task)
{
	struct task_seen *t = g_hash_table_lookup(c->tasks, task);

	if (t != NULL)
		return t;
	t = g_new0(struct task_seen, 1);
	g_hash_table_insert(c->tasks, g_strdup(task), t);
	return t;
}

static int64_t
minion_clock(const struct minion *m)
{
	return now_ms() - m->clock_base_ms;
}

static void
run_free(void *arg)
{
	struct run *r = arg;

	g_free(r->task);
	g_free(r);
}

static void
end_free(void *arg)
{
	struct end *e = arg;

	g_free(e->task);
	g_free(e);
}

static struct run *
find_run(const struct minion *m, const char *task)
{
	for (guint i = 0; i < m->runs->len; i++) {
		struct run *r = m->runs->pdata[i];

		if (strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

int
minion_running(const struct minion *m)
{
	return (int)m->runs->len;
}

static void
set_highest(struct minion *m, const char *task, int64_t run)
{
	int64_t known =
	    (int64_t)GPOINTER_TO_SIZE(g_hash_table_lookup(m->highest, task));

	g_hash_table_insert(m->highest, g_strdup(task),
	    GSIZE_TO_POINTER((gsize)MAX(known, run)));
}

static void
end_run(struct minion *m, struct run *r, const char *how)
{
	struct end *e = g_new0(struct end, 1);
	struct task_seen *t = task_seen(m->cell, r->task);

	*e = (struct end){ .number = ++m->last_end,
		.task = g_strdup(r->task),
		.run = r->number,
		.how = how };
	g_ptr_array_add(m->ends, e);
	set_highest(m, r->task, r->number);
	t->running--;
	if (strcmp(how, "done") == 0 && t->done_ms == 0)
		t->done_ms = now_ms();
	note(m->cell,
	    "%s ends %s run %" G_GINT64_FORMAT ": %s (N=%" G_GINT64_FORMAT ")",
	    m->id, r->task, r->number, how, e->number);
	g_ptr_array_remove_fast(m->runs, r);
}

static char *
checkpoint_text(const struct minion *m)
{
	char *text = g_malloc(m->checkpoint_len + 1);

	memset(text, '7', m->checkpoint_len);
	text[m->checkpoint_len] = '\0';
	return text;
}

static void
reply_json(struct evhttp_request *req, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	(void)evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(o);
}

static void
reply_clock(struct minion *m, struct evhttp_request *req)
{
	reply_json(req, 200,
	    json_pack("{sI}", "currentTimeMs", (json_int_t)minion_clock(m)));
}

static void
reply_reason(struct minion *m, struct evhttp_request *req, const char *reason)
{
	reply_json(req, 409,
	    json_pack("{sIss}", "currentTimeMs", (json_int_t)minion_clock(m),
		"reason", reason));
}

/* Of a task that lasts: at work. Of any other it rises all the time. */
static int
percent(const struct run *r)
{
	return r->due_ms - now_ms() > LASTING_MS ? 100
						 : (int)(now_ms() / 100 % 90);
}

static void
answer_poll(struct minion *m)
{
	struct evhttp_request *req = m->poll;
	json_t *running = json_array();
	json_t *ended = json_array();
	char *saved = checkpoint_text(m);

	m->poll = NULL;
	for (guint i = 0; i < m->runs->len; i++) {
		const struct run *r = m->runs->pdata[i];

		(void)json_array_append_new(running,
		    json_pack("[sIsii]", r->task, (json_int_t)r->number,
			m->checkpoint_len == 0 ? "" : saved, percent(r), 100));
	}
	for (guint i = 0; i < m->ends->len && i < LIST_MAX; i++) {
		const struct end *e = m->ends->pdata[i];

		(void)json_array_append_new(ended,
		    json_pack("[IsIss]", (json_int_t)e->number, e->task,
			(json_int_t)e->run, e->how,
			m->checkpoint_len == 0 ? "" : saved));
	}
	m->cell->ends_in_list_max =
	    MAX(m->cell->ends_in_list_max, (int)m->ends->len);
	if (m->ends->len > 0)
		note(m->cell, "%s lists %u of %u ends, %u running", m->id,
		    MIN(m->ends->len, (guint)LIST_MAX), m->ends->len,
		    m->runs->len);
	g_free(saved);
	reply_json(req, 200,
	    json_pack("{sIsIsoso}", "currentTimeMs",
		(json_int_t)minion_clock(m), "born", (json_int_t)m->born,
		"running", running, "endedRuns", ended));
}

static void
take_lease(struct minion *m, const json_t *o)
{
	const json_t *deadline = json_object_get(o, "deadlineMs");
	int64_t until;

	if (deadline == NULL)
		return;
	until =
	    MIN(json_integer_value(deadline), minion_clock(m) + MAX_HOLD_MS);
	m->lease_until_ms = MAX(m->lease_until_ms, until);
}

/* Reads the body of an order; answers it and returns NULL if it is for another
 * incarnation or has a lower fence. A cut minion gets nothing. */
static json_t *
read_order(struct minion *m, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *expected =
	    evhttp_find_header(evhttp_request_get_input_headers(req),
		"Bulrushtide-Expected-Instance");
	json_t *o;
	int64_t fence;

	if (expected != NULL && strcmp(expected, m->id) != 0) {
		evhttp_send_reply(req, 421, NULL, NULL);
		return NULL;
	}
	o = json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
	if (o == NULL) {
		evhttp_send_reply(req, 400, NULL, NULL);
		return NULL;
	}
	fence = json_integer_value(json_object_get(o, "fencingToken"));
	if (fence < m->fence) {
		json_decref(o);
		reply_reason(m, req, "fence");
		return NULL;
	}
	m->fence = fence;
	return o;
}

/* The spec says how long a task runs, and after what time it fails. */
static void
start_run(struct minion *m, const json_t *o, const char *task, int64_t number)
{
	const char *spec = json_string_value(json_object_get(o, "spec"));
	struct task_seen *t = task_seen(m->cell, task);
	struct run *r = g_new0(struct run, 1);
	const char *fails = strstr(spec, FAILS_MARK);

	r->task = g_strdup(task);
	r->number = number;
	r->due_ms = now_ms() + strtoll(spec, NULL, 10);
	if (fails != NULL)
		r->fails_ms =
		    now_ms() + strtoll(fails + strlen(FAILS_MARK), NULL, 10);
	g_ptr_array_add(m->runs, r);
	t->starts++;
	t->overlapped |= t->running > 0;
	t->running++;
	t->starts_after_done += t->done_ms != 0;
	t->last_start_ms = now_ms();
	if (t->first_start_ms == 0)
		t->first_start_ms = t->last_start_ms;
	note(m->cell, "%s starts %s run %" G_GINT64_FORMAT "%s", m->id, task,
	    number,
	    t->done_ms != 0      ? " AFTER IT HAD ENDED DONE"
		: t->running > 1 ? " WHILE ANOTHER RUN OF IT IS ACTIVE"
				 : "");
}

static void
on_start(struct evhttp_request *req, void *arg)
{
	struct minion *m = arg;
	json_t *o;
	const char *task;
	int64_t number;
	int64_t highest;

	if (m->cut || !m->up)
		return;
	o = read_order(m, req);
	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	number = json_integer_value(json_object_get(o, "run"));
	highest =
	    (int64_t)GPOINTER_TO_SIZE(g_hash_table_lookup(m->highest, task));
	if (number <= highest) {
		take_lease(m, o);
		reply_reason(m, req, "old");
	} else if (json_integer_value(json_object_get(o, "deadlineMs")) <=
	    minion_clock(m)) {
		reply_reason(m, req, "late");
	} else {
		take_lease(m, o);
		if (find_run(m, task) == NULL)
			start_run(m, o, task, number);
		reply_clock(m, req);
	}
	json_decref(o);
}

static void
on_stop(struct evhttp_request *req, void *arg)
{
	struct minion *m = arg;
	json_t *o;
	const char *task;
	int64_t number;
	struct run *r;

	if (m->cut || !m->up)
		return;
	o = read_order(m, req);
	if (o == NULL)
		return;
	task = json_string_value(json_object_get(o, "task"));
	number = json_integer_value(json_object_get(o, "run"));
	r = find_run(m, task);
	note(m->cell, "%s is told to stop %s run %" G_GINT64_FORMAT, m->id,
	    task, number);
	if (r != NULL && r->number <= number)
		end_run(m, r, "stopped");
	else
		set_highest(m, task, number);
	json_decref(o);
	reply_clock(m, req);
}

/* Ends up to the cursor are taken note of and forgotten. */
static void
take_acks(struct minion *m, int64_t acked)
{
	while (m->ends->len > 0) {
		struct end *e = m->ends->pdata[0];

		if (e->number > acked)
			break;
		if (strcmp(e->how, "done") == 0)
			task_seen(m->cell, e->task)->done_acked = true;
		g_ptr_array_remove_index(m->ends, 0);
	}
	if (acked > m->acked)
		note(m->cell, "%s gets ackCursor %" G_GINT64_FORMAT, m->id,
		    acked);
	m->acked = MAX(m->acked, acked);
}

static void
on_hold(struct evhttp_request *req, void *arg)
{
	struct minion *m = arg;
	json_t *o;
	int64_t wait_ms;

	if (m->cut || !m->up)
		return;
	o = read_order(m, req);
	if (o == NULL)
		return;
	take_lease(m, o);
	take_acks(m, json_integer_value(json_object_get(o, "ackCursor")));
	wait_ms = json_integer_value(json_object_get(o, "waitMs"));
	json_decref(o);
	if (m->poll != NULL)
		answer_poll(m);
	m->poll = req;
	m->poll_due_ms = now_ms() + wait_ms;
	if (wait_ms == 0 || m->ends->len > 0)
		answer_poll(m);
}

static void
on_health(struct evhttp_request *req, void *arg)
{
	struct minion *m = arg;

	if (!m->cut && m->up)
		evhttp_send_reply(req, 200, NULL, NULL);
}

struct minion *
minion_add(struct cell *c, const char *kind, int64_t cpu, int64_t mem_mb)
{
	struct minion *m = g_new0(struct minion, 1);

	m->cell = c;
	m->id = g_strdup_printf("i-%08x", 0x7f3a91c2U + (unsigned)c->minions);
	m->address = g_strdup_printf(
	    "127.77.%u.%d:%d", c->octet, 100 + c->minions, MINION_PORT);
	m->kind = kind;
	m->rack = g_strdup_printf("r1-%d", c->minions / 8);
	m->cpu = cpu;
	m->mem_mb = mem_mb;
	m->beat_node = c->minions % CELL_NODES;
	m->runs = g_ptr_array_new_with_free_func(run_free);
	m->ends = g_ptr_array_new_with_free_func(end_free);
	m->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->minion[c->minions++] = m;
	return m;
}

void
minion_start(struct minion *m)
{
	char *ip = g_strndup(m->address, strcspn(m->address, ":"));

	m->born = wall_ms();
	m->clock_base_ms = now_ms() - 1000;
	m->seq = 0;
	m->fence = 0;
	m->lease_until_ms = 0;
	m->last_end = m->acked = 0;
	m->draining = m->drain_acked = false;
	m->drain_ms = 0;
	m->next_beat_ms = 0;
	m->poll = NULL;
	g_hash_table_remove_all(m->highest);
	g_ptr_array_set_size(m->runs, 0);
	g_ptr_array_set_size(m->ends, 0);
	m->server = evhttp_new(m->cell->base);
	evhttp_set_max_body_size(m->server, BODY_MAX);
	(void)evhttp_set_cb(m->server, "/bulrushtide/run-start", on_start, m);
	(void)evhttp_set_cb(m->server, "/bulrushtide/run-stop", on_stop, m);
	(void)evhttp_set_cb(m->server, "/bulrushtide/hold", on_hold, m);
	(void)evhttp_set_cb(m->server, "/health", on_health, m);
	if (evhttp_bind_socket(m->server, ip, MINION_PORT) != 0)
		give_up(m->cell, "a minion can't listen");
	g_free(ip);
	m->up = true;
	note(m->cell, "minion %s starts at %s, kind %s, born %" G_GINT64_FORMAT,
	    m->id, m->address, m->kind, m->born);
}

void
minion_stop(struct minion *m)
{
	for (guint i = 0; i < m->runs->len; i++)
		task_seen(m->cell, ((struct run *)m->runs->pdata[i])->task)
		    ->running--;
	m->up = false;
	m->poll = NULL;
	evhttp_free(m->server);
	m->server = NULL;
	note(m->cell, "minion %s ends", m->id);
}

void
minion_cut(struct minion *m, bool cut)
{
	m->cut = cut;
	/* What waits was sent before and gets no answer. */
	m->poll = NULL;
	note(m->cell,
	    "the link to %s is %s, %u running, %u ends unacknowledged", m->id,
	    cut ? "cut" : "healed", m->runs->len, m->ends->len);
}

static void
on_beat_answer(struct answer *a, void *arg)
{
	struct minion *m = arg;

	if (a->status != 200) {
		m->beat_node = (m->beat_node + 1) % CELL_NODES;
		m->next_beat_ms = 0;
	} else if (m->draining && strstr(a->body, "error") == NULL) {
		m->drain_acked = true;
	}
	answer_free(a);
}

static void
send_beat(struct minion *m)
{
	struct cell *c = m->cell;
	char *path =
	    g_strdup_printf("/bulrushtide/instances/%s/heartbeat", m->id);
	char remaining[48] = "";
	char *body;

	if (m->draining && m->drain_ms == 0)
		m->drain_ms = now_ms();
	if (m->draining)
		(void)g_snprintf(remaining, sizeof(remaining),
		    "\"drainRemainingMs\":%d,",
		    (int)MAX(m->drain_ms + DRAIN_MS - now_ms(), 0));
	body = g_strdup_printf(
	    "{\"service\":\"" CELL_SERVICE
	    "\",\"address\":\"%s\",\"zone\":\"kochi-a\",\"version\":\"v1\","
	    "\"slots\":8,\"state\":\"%s\",%s\"coldRemainingMs\":0,\"capacity\":"
	    "{"
	    "\"cpu\":%" G_GINT64_FORMAT ",\"memMb\":%" G_GINT64_FORMAT
	    ",\"gpu\":0},\"labels\":[\"%s\",\"%s\"],\"machine\":\"m-%s\","
	    "\"currentTimeMs\":"
	    "%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
	    ",\"seq\":%" G_GINT64_FORMAT "}",
	    m->address, m->draining ? "draining" : "ready", remaining, m->cpu,
	    m->mem_mb, m->kind, m->rack, m->id, minion_clock(m), m->born,
	    ++m->seq);

	m->next_beat_ms = now_ms() + BEAT_MS;
	(void)call_send(c, c->node[m->beat_node].control, EVHTTP_REQ_POST, path,
	    body, BEAT_TIMEOUT_MS, on_beat_answer, m);
	g_free(path);
	g_free(body);
}

static void
tick_minion(struct minion *m)
{
	int64_t now = now_ms();
	bool lapsed = minion_clock(m) >= m->lease_until_ms;

	if (!m->up)
		return;
	for (guint i = m->runs->len; i > 0; i--) {
		struct run *r = m->runs->pdata[i - 1];

		if (lapsed)
			end_run(m, r, "lapsed");
		else if (r->fails_ms != 0 && now >= r->fails_ms)
			end_run(m, r, "failed");
		else if (now >= r->due_ms)
			end_run(m, r, "done");
	}
	if (m->poll != NULL && (m->ends->len > 0 || now >= m->poll_due_ms))
		answer_poll(m);
	if (now >= m->next_beat_ms && !m->cut)
		send_beat(m);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct cell *c = arg;

	watch_processes(c);
	for (int i = 0; i < c->minions; i++)
		tick_minion(c->minion[i]);
}
