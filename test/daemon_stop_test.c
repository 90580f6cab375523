/*
 * Graceful stops of real processes of bulrushtided with requests in progress:
 * each request that a process has read gets a whole answer, and the process
 * exits with status 0.
 */
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "proc.h"
#include "tcp.h"

#define GRACE_S "3"
#define RECEIVE_LIMIT_S 30
#define SIGNAL_US 500
#define SIGPIPE_BIT (UINT64_C(1) << (SIGPIPE - 1))

/* An entry whose only replica is at an address where nobody answers. */
struct lone_entry {
	char *dir;
	struct proc *proc;
	int silent; /* listens for the replica */
};

/* A socket that is bound and listens: connections to it get no answer. */
static int
listen_silently(char **address)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, len), ==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sin, &len), ==, 0);
	*address = g_strdup_printf("127.0.0.1:%d", ntohs(sin.sin_port));
	return fd;
}

static struct lone_entry
lone_entry_start(void)
{
	struct lone_entry e = { .dir = g_dir_make_tmp(
				    "daemon-stop-XXXXXX", NULL) };
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *ip = loopback_ip();
	char *http = free_address(ip);
	char *replica;

	e.silent = listen_silently(&replica);
	add_arg(argv, "%s/../bulrushtided/bulrushtided", programs);
	add_arg(argv, "--name=one");
	add_arg(argv, "--role=entry");
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--replicas=r@%s", replica);
	e.proc = proc_new("one", e.dir, argv);
	e.proc->address = http;
	/* An earlier version without this setting ignores the variable. */
	g_setenv("BULRUSHTIDE_GRACE_S", GRACE_S, TRUE);
	proc_start(e.proc, false);
	g_unsetenv("BULRUSHTIDE_GRACE_S");
	g_free(replica);
	g_free(programs);
	g_free(ip);
	return e;
}

static void
lone_entry_free(struct lone_entry *e)
{
	proc_free(e->proc);
	close(e->silent);
	remove_tree(e->dir);
	g_free(e->dir);
}

static void
await_listening(const char *address)
{
	int64_t limit_ms = mono_ms() + AWAIT_MS;
	int fd;

	while ((fd = tcp_dial(address)) < 0 && mono_ms() < limit_ms)
		g_usleep(POLL_US);
	g_assert_cmpint(fd, >=, 0);
	close(fd);
}

/* Whether the program has begun: it ignores SIGPIPE early. */
static bool
has_begun(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *at = g_file_get_contents(path, &text, NULL, NULL)
	    ? strstr(text, "\nSigIgn:")
	    : NULL;
	bool begun = at != NULL &&
	    (strtoull(at + strlen("\nSigIgn:"), NULL, 16) & SIGPIPE_BIT) != 0;

	g_free(text);
	g_free(path);
	return begun;
}

/* A signal that comes while a process starts ends it with another status. */
static void
test_signal_at_start(void)
{
	struct lone_entry e = lone_entry_start();
	int64_t limit_ms = mono_ms() + AWAIT_MS;

	while (!has_begun(e.proc->pid) && mono_ms() < limit_ms)
		;
	kill(e.proc->pid, SIGTERM);
	g_assert_cmpint(proc_wait(e.proc), ==, 0);
	lone_entry_free(&e);
}

/* A signal that comes while a process that stops frees what it has ends it
 * with another status. */
static void
test_signal_at_exit(void)
{
	struct lone_entry e = lone_entry_start();
	int64_t limit_ms = mono_ms() + AWAIT_MS;
	int status = -1;

	await_listening(e.proc->address);
	while (mono_ms() < limit_ms && !proc_ended(e.proc, &status)) {
		kill(e.proc->pid, SIGTERM);
		g_usleep(SIGNAL_US);
	}
	g_assert_cmpint(status, ==, 0);
	lone_entry_free(&e);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/daemon-stop/signal-at-start", test_signal_at_start);
	g_test_add_func("/daemon-stop/signal-at-exit", test_signal_at_exit);
	return g_test_run();
}
