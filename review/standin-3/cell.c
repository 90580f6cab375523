/* The processes of the cell, and calls to them. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "cell.h"
#include "minion.h"

#define TICK_MS 10
#define READY_LIMIT_MS 20000
#define FD_MAX 1024
#define PORTS_FIRST 21000 /* below the ephemeral ports */

const char cell_config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CELL_HOST
    "\",\"pathPrefix\":\"" CELL_PREFIX
    "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,"
    "\"priority\":1,\"service\":\"" CELL_SERVICE
    "\",\"maxAttempts\":3,\"slackFactor\":2.2}],\"services\":[{\"name\":"
    "\"" CELL_SERVICE
    "\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"constraints\":false,\"standby\":false}]}";

void
note(struct cell *c, const char *format, ...)
{
	va_list ap;

	(void)fprintf(
	    c->record, "%8.3f ", (double)(mono_ms() - c->start_ms) / 1000);
	va_start(ap, format);
	(void)vfprintf(c->record, format, ap);
	va_end(ap);
	(void)fputc('\n', c->record);
	(void)fflush(c->record);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct cell *c = arg;

	for (int i = 0; i < c->minions; i++)
		minion_tick(c->minion[i]);
}

void
cell_run_until(struct cell *c, int64_t until_ms)
{
	while (mono_ms() < until_ms)
		event_base_loop(c->base, EVLOOP_ONCE);
}

void
cell_run(struct cell *c, int64_t ms)
{
	cell_run_until(c, mono_ms() + ms);
}

void
cell_give_up(struct cell *c, const char *why)
{
	note(c, "the case could not run: %s", why);
	cell_free(c);
	exit(2);
}

static void
write_settings(struct cell *c, int i, bool first)
{
	struct node *n = &c->node[i];
	char *text = g_strdup_printf("[node]\nname=front-z%d\ndata-center=z%d\n"
				     "ip=%s\npeer-ports=7720,7735\n"
				     "seeds=%s,%s,%s\nfirst-start=%s\n"
				     "data-dir=%s\npolicy-service=\n"
				     "callers=%s\nready=%s\ncontrol=%s\n"
				     "metrics=%s:7735\ngrace-s=%d\n"
				     "lease-max-ms=%d\nfar-factor=2\n"
				     "retain-s=120\nuneven-workers=1.75\n"
				     "drain-ms=%d\n%s%s%s",
	    i, i, n->ip, c->node[0].control, c->node[1].control,
	    c->node[2].control, first ? "true" : "false",
	    n->data == NULL ? "" : n->data, n->front, n->ready, n->control,
	    n->ip, GRACE_S, LEASE_MAX_MS, DRAIN_MS,
	    n->proxy == NULL ? "" : "peer-listen=",
	    n->proxy == NULL ? "" : n->ip, n->proxy == NULL ? "" : ":7721\n");

	if (!g_file_set_contents(n->settings, text, -1, NULL))
		cell_give_up(c, "can't write the settings");
	g_free(text);
}

/* Runs the command of the deploy file, in the root of the repository. */
static void
exec_node(const struct cell *c, const struct node *n, int i)
{
	char *log = g_strdup_printf("%s/front-z%d.log", c->dir, i);
	char *settings =
	    g_strdup_printf("BULRUSHTIDE_SETTINGS=%s", n->settings);
	char *argv[] = { "target/platform/bulrushtide-platform", "--lost-vms=1",
		"--lost-data-centers=0", "--lost-regions=0", NULL };
	char *envp[] = { "PATH=/usr/bin:/bin", settings, NULL };
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	for (fd = STDERR_FILENO + 1; fd < FD_MAX; fd++)
		close(fd);
	execve(argv[0], argv, envp);
	_exit(127);
}

void
node_start(struct cell *c, int i, bool first)
{
	struct node *n = &c->node[i];

	write_settings(c, i, first);
	n->pid = fork();
	if (n->pid == 0)
		exec_node(c, n, i);
}

void
node_signal(struct cell *c, int i, int signal)
{
	note(c, "front-z%d gets %s", i, strsignal(signal));
	kill(c->node[i].pid, signal);
}

bool
node_ended(struct cell *c, int i)
{
	struct node *n = &c->node[i];

	if (n->pid == 0)
		return true;
	if (waitpid(n->pid, &n->status, WNOHANG) != n->pid)
		return false;
	n->pid = 0;
	if (WIFSIGNALED(n->status))
		note(c, "front-z%d is ended by signal %d (%s)", i,
		    WTERMSIG(n->status), strsignal(WTERMSIG(n->status)));
	else
		note(c, "front-z%d exits with %d", i, WEXITSTATUS(n->status));
	return true;
}

bool
node_wait(struct cell *c, int i, int64_t timeout_ms)
{
	int64_t until_ms = mono_ms() + timeout_ms;

	while (!node_ended(c, i)) {
		if (mono_ms() >= until_ms)
			return false;
		cell_run(c, TICK_MS);
	}
	return true;
}

int
cell_leader(struct cell *c)
{
	int leader = -1;
	long highest = -1;

	for (int i = 0; i < NODES; i++) {
		char *path = g_strdup_printf("%s/front-z%d.log", c->dir, i);
		char *text = NULL;
		const char *last;

		if (g_file_get_contents(path, &text, NULL, NULL) &&
		    (last = g_strrstr(text, "event=lead term=")) != NULL &&
		    strstr(last, "event=resign") == NULL &&
		    strtol(last + strlen("event=lead term="), NULL, 10) >
			highest) {
			highest =
			    strtol(last + strlen("event=lead term="), NULL, 10);
			leader = i;
		}
		g_free(text);
		g_free(path);
	}
	return leader;
}

struct answer_slot {
	bool done;
	int status;
	char *body;
};

static void
on_answer(void *arg, int status, const char *body, size_t len, bool sent)
{
	struct answer_slot *s = arg;

	s->done = true;
	s->status = status;
	s->body = g_strndup(body, len);
}

int
cell_call(struct cell *c, const char *address, const char *host,
    enum evhttp_cmd_type method, const char *path, const char *body,
    int timeout_ms, char **answer)
{
	const char *const headers[] = { "Host", host, NULL };
	struct answer_slot slot = { 0 };
	struct web_peer *p = web_peer_new(c->base, address);

	web_send(p, method, path, headers, body, timeout_ms, on_answer, &slot);
	while (!slot.done)
		event_base_loop(c->base, EVLOOP_ONCE);
	web_peer_free(p);
	if (answer != NULL)
		*answer = slot.body;
	else
		g_free(slot.body);
	return slot.status;
}

void
cell_configure(struct cell *c, const char *config)
{
	int64_t until_ms = mono_ms() + READY_LIMIT_MS;

	for (int i = 0; mono_ms() < until_ms; i = (i + 1) % NODES) {
		int status =
		    cell_call(c, c->node[i].control, "control", EVHTTP_REQ_POST,
			"/bulrushtide/config/replace", config, 1000, NULL);

		if (status == 200) {
			note(c, "the configuration is acknowledged");
			return;
		}
		cell_run(c, 200);
	}
	cell_give_up(c, "the configuration is not acknowledged");
}

void
cell_add_minions(struct cell *c, int count)
{
	for (int i = 0; i < count; i++) {
		char *id = g_strdup_printf("i-7f3a91c%d", i);

		(void)minion_new(c, id, CELL_SERVICE);
		g_free(id);
	}
}

void
cell_submit(
    struct cell *c, const char *path, int tasks, int cpu, int64_t estimated_ms)
{
	char *body = g_strdup_printf(
	    "{\"spec\":\"s\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
	    "\"memMb\":256,\"estimatedMs\":%" G_GINT64_FORMAT "}]}",
	    tasks, cpu, estimated_ms);
	int status = cell_call(c, c->node[3].front, CELL_HOST, EVHTTP_REQ_POST,
	    path, body, 3000, NULL);

	note(c, "POST %s %s gets %d", path, body, status);
	g_free(body);
	if (status != 200)
		cell_give_up(c, "the job isn't accepted");
}

static void
await_ready(struct cell *c, int i)
{
	int64_t until_ms = mono_ms() + READY_LIMIT_MS;

	while (cell_call(c, c->node[i].ready, "ready", EVHTTP_REQ_GET,
		   "/bulrushtide/ready", NULL, 1000, NULL) != 200) {
		if (mono_ms() >= until_ms)
			cell_give_up(c, "a process isn't ready");
		cell_run(c, 100);
	}
}

static void
start_proxy(struct cell *c, struct node *n)
{
	char *listen = g_strdup_printf("%s:7720", n->ip);
	char *target = g_strdup_printf("%s:7721", n->ip);

	n->proxy = proxy_new(c->base, listen, target);
	if (n->proxy == NULL)
		cell_give_up(c, "can't listen on a peer port");
	g_free(listen);
	g_free(target);
}

static void
node_init(struct cell *c, int i)
{
	struct node *n = &c->node[i];
	unsigned pid = (unsigned)getpid();
	int ports = PORTS_FIRST + (int)(pid % 1000) * 4;

	/* A loopback address for each VM; the ports are the same on all. */
	g_snprintf(n->ip, sizeof(n->ip), "127.%u.%u.%d", 10 + pid / 250 % 200,
	    1 + pid % 250, 10 + i);
	g_snprintf(n->front, sizeof(n->front), "%s:%d", n->ip, ports);
	g_snprintf(n->ready, sizeof(n->ready), "%s:%d", n->ip, ports + 1);
	g_snprintf(n->control, sizeof(n->control), "%s:%d", n->ip, ports + 2);
	n->settings = g_strdup_printf("%s/front-z%d.conf", c->dir, i);
	if (i >= DISKS)
		return;
	n->data = g_strdup_printf("%s/data%d", c->dir, i);
	if (g_mkdir(n->data, 0700) != 0)
		cell_give_up(c, "can't make a data folder");
}

struct cell *
cell_new(bool proxied)
{
	static const struct timeval tick = { .tv_usec = TICK_MS * 1000 };
	struct cell *c = g_new0(struct cell, 1);
	const char *record = g_getenv("RECORD");
	const char *dir = g_getenv("CASE_DIR");

	(void)signal(SIGPIPE, SIG_IGN);
	c->start_ms = mono_ms();
	c->record = fopen(record == NULL ? "/dev/stdout" : record, "w");
	c->dir =
	    dir != NULL ? g_strdup(dir) : g_dir_make_tmp("review-XXXXXX", NULL);
	if (c->record == NULL || c->dir == NULL)
		exit(2);
	c->base = event_base_new();
	c->task_ms = 1000;
	c->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->noted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < NODES; i++)
		node_init(c, i);
	c->timer = event_new(c->base, -1, EV_PERSIST, on_tick, c);
	event_add(c->timer, &tick);
	for (int i = 0; proxied && i < NODES; i++)
		start_proxy(c, &c->node[i]);
	for (int i = 0; i < NODES; i++)
		node_start(c, i, true);
	for (int i = 0; i < NODES; i++)
		await_ready(c, i);
	note(c, "%d processes are ready, %d with a disk", NODES, DISKS);
	return c;
}

void
cell_free(struct cell *c)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].pid != 0) {
			kill(c->node[i].pid, SIGKILL);
			(void)waitpid(c->node[i].pid, NULL, 0);
		}
	(void)fclose(c->record);
}
