/* Tests of the fault proxy's commands, observed at both peers. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "proc.h"

#define QUIET_MS 60 /* how long nothing must arrive */
#define LINE_MAX_BYTES 256
#define DELAY_MS 150 /* as in the command of test_delay() */

struct fixture {
	char *dir;
	struct proc *proxy;
	char *listen; /* address of the proxy's listener */
	int target; /* listening socket */
	int client; /* connected to the proxy */
	int server; /* accepted from the proxy */
};

static int
open_socket(const char *address, bool listening)
{
	struct sockaddr_storage sa;
	int len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int rc;

	g_assert_cmpint(
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len),
	    ==, 0);
	if (listening)
		rc = bind(fd, (struct sockaddr *)&sa, (socklen_t)len) |
		    listen(fd, 8);
	else
		rc = connect(fd, (struct sockaddr *)&sa, (socklen_t)len);
	g_assert_cmpint(rc, ==, 0);
	return fd;
}

/* Returns what arrives within ms: text, "" for the end, "-" for nothing. */
static const char *
receive(int fd, int ms)
{
	static char buf[LINE_MAX_BYTES];
	struct pollfd p = { fd, POLLIN, 0 };
	ssize_t n;

	if (poll(&p, 1, ms) == 0)
		return "-";
	n = recv(fd, buf, sizeof(buf) - 1, 0);
	buf[n > 0 ? n : 0] = '\0';
	return buf;
}

static void
send_text(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), >, 0);
}

/* Sends a command and checks the beginning of the reply. */
static void
check_command(struct fixture *f, const char *line, const char *prefix)
{
	char reply[LINE_MAX_BYTES];

	g_assert_cmpint(
	    dprintf(f->proxy->in, "%s\n", line), ==, (int)strlen(line) + 1);
	g_assert_nonnull(fgets(reply, sizeof(reply), f->proxy->out));
	g_test_message("%s", g_strchomp(reply));
	g_assert_true(g_str_has_prefix(reply, prefix));
}

static void
connect_pair(struct fixture *f)
{
	f->client = open_socket(f->listen, false);
	f->server = accept(f->target, NULL, NULL);
	g_assert_cmpint(f->server, >=, 0);
}

static void
set_up(struct fixture *f, gconstpointer data)
{
	GPtrArray *argv = g_ptr_array_new();
	char *programs = programs_dir();
	char *ip = loopback_ip();
	char *target = free_address(ip);

	f->dir = g_dir_make_tmp("bulrushtide-proxy-XXXXXX", NULL);
	f->listen = free_address(ip);
	f->target = open_socket(target, true);
	add_arg(argv, "%s/faultproxy", programs);
	add_arg(argv, "--pair=a@%s=%s", f->listen, target);
	f->proxy = proc_new("proxy", f->dir, argv);
	proc_start(f->proxy, true);
	connect_pair(f);
	g_free(target);
	g_free(ip);
	g_free(programs);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	close(f->client);
	close(f->server);
	close(f->target);
	proc_free(f->proxy);
	remove_tree(f->dir);
	g_free(f->listen);
	g_free(f->dir);
}

static void
test_cut(struct fixture *f, gconstpointer data)
{
	send_text(f->client, "one");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "one");
	check_command(f, "cut a", "ok cut a");
	send_text(f->client, "two");
	send_text(f->server, "three");
	g_assert_cmpstr(receive(f->server, QUIET_MS), ==, "-");
	g_assert_cmpstr(receive(f->client, QUIET_MS), ==, "-");
	/* The end of the stream is held back as well. */
	shutdown(f->client, SHUT_WR);
	check_command(f, "heal *", "ok heal *");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "two");
	g_assert_cmpstr(receive(f->client, AWAIT_MS), ==, "three");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "");
}

static void
test_oneway(struct fixture *f, gconstpointer data)
{
	check_command(f, "oneway a down", "ok");
	send_text(f->client, "up");
	send_text(f->server, "down");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "up");
	g_assert_cmpstr(receive(f->client, QUIET_MS), ==, "-");
	check_command(f, "heal a", "ok");
	g_assert_cmpstr(receive(f->client, AWAIT_MS), ==, "down");
}

static void
test_delay(struct fixture *f, gconstpointer data)
{
	int64_t start_ms = mono_ms();

	check_command(f, "delay a 150", "ok");
	send_text(f->client, "late");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "late");
	g_assert_cmpint(mono_ms() - start_ms, >=, DELAY_MS);
}

static void
test_reset_and_lose(struct fixture *f, gconstpointer data)
{
	check_command(f, "reset a", "ok");
	g_assert_cmpstr(receive(f->client, AWAIT_MS), ==, "");
	g_assert_cmpstr(receive(f->server, AWAIT_MS), ==, "");
	close(f->client);
	check_command(f, "lose a 100", "ok");
	f->client = open_socket(f->listen, false);
	g_assert_cmpstr(receive(f->client, AWAIT_MS), ==, "");
	check_command(f, "heal a", "ok");
	close(f->client);
	close(f->server);
	connect_pair(f);
	send_text(f->server, "again");
	g_assert_cmpstr(receive(f->client, AWAIT_MS), ==, "again");
}

static void
test_invalid_commands(struct fixture *f, gconstpointer data)
{
	check_command(f, "cut b", "error");
	check_command(f, "oneway a sideways", "error");
	check_command(f, "delay a x", "error");
	check_command(f, "burn a", "error");
	check_command(f, "status a", "ok status a a connections 1 up 0 down 0");
}

static void
add(const char *path, void (*test)(struct fixture *, gconstpointer))
{
	g_test_add(path, struct fixture, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/faultproxy/cut", test_cut);
	add("/faultproxy/oneway", test_oneway);
	add("/faultproxy/delay", test_delay);
	add("/faultproxy/reset-and-lose", test_reset_and_lose);
	add("/faultproxy/invalid-commands", test_invalid_commands);
	return g_test_run();
}
