/* Each command of the fault proxy, seen from both ends of a connection. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "proc.h"

#define SILENCE_MS 60 /* how long nothing must come */
#define LINE_MAX_BYTES 256
#define DELAY_MS 150

struct fixture {
	char *dir;
	struct proc *proxy;
	char *listen; /* of the proxy */
	int target; /* listening socket */
	int near; /* connecting end */
	int far; /* accepted end */
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

/* What comes within the time: bytes, "" for the end, "-" for nothing. */
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
say(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), >, 0);
}

/* Sends a command and checks how its answer begins. */
static void
command(struct fixture *f, const char *line, const char *word)
{
	char answer[LINE_MAX_BYTES];

	g_assert_cmpint(
	    dprintf(f->proxy->in, "%s\n", line), ==, (int)strlen(line) + 1);
	g_assert_nonnull(fgets(answer, sizeof(answer), f->proxy->out));
	g_test_message("%s", g_strchomp(answer));
	g_assert_true(g_str_has_prefix(answer, word));
}

static void
join(struct fixture *f)
{
	f->near = open_socket(f->listen, false);
	f->far = accept(f->target, NULL, NULL);
	g_assert_cmpint(f->far, >=, 0);
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
	join(f);
	g_free(target);
	g_free(ip);
	g_free(programs);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
	close(f->near);
	close(f->far);
	close(f->target);
	proc_free(f->proxy);
	remove_tree(f->dir);
	g_free(f->listen);
	g_free(f->dir);
}

static void
test_cut(struct fixture *f, gconstpointer data)
{
	say(f->near, "one");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "one");
	command(f, "cut a", "ok cut a");
	say(f->near, "two");
	say(f->far, "three");
	g_assert_cmpstr(receive(f->far, SILENCE_MS), ==, "-");
	g_assert_cmpstr(receive(f->near, SILENCE_MS), ==, "-");
	/* An end sent meanwhile is held too. */
	shutdown(f->near, SHUT_WR);
	command(f, "heal *", "ok heal *");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "two");
	g_assert_cmpstr(receive(f->near, AWAIT_MS), ==, "three");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "");
}

static void
test_oneway(struct fixture *f, gconstpointer data)
{
	command(f, "oneway a down", "ok");
	say(f->near, "up");
	say(f->far, "down");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "up");
	g_assert_cmpstr(receive(f->near, SILENCE_MS), ==, "-");
	command(f, "heal a", "ok");
	g_assert_cmpstr(receive(f->near, AWAIT_MS), ==, "down");
}

static void
test_delay(struct fixture *f, gconstpointer data)
{
	int64_t began = mono_ms();

	command(f, "delay a 150", "ok");
	say(f->near, "late");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "late");
	g_assert_cmpint(mono_ms() - began, >=, DELAY_MS);
}

static void
test_reset_and_lose(struct fixture *f, gconstpointer data)
{
	command(f, "reset a", "ok");
	g_assert_cmpstr(receive(f->near, AWAIT_MS), ==, "");
	g_assert_cmpstr(receive(f->far, AWAIT_MS), ==, "");
	close(f->near);
	command(f, "lose a 100", "ok");
	f->near = open_socket(f->listen, false);
	g_assert_cmpstr(receive(f->near, AWAIT_MS), ==, "");
	command(f, "heal a", "ok");
	close(f->near);
	close(f->far);
	join(f);
	say(f->far, "again");
	g_assert_cmpstr(receive(f->near, AWAIT_MS), ==, "again");
}

static void
test_faulty_commands(struct fixture *f, gconstpointer data)
{
	command(f, "cut b", "error");
	command(f, "oneway a sideways", "error");
	command(f, "delay a x", "error");
	command(f, "burn a", "error");
	command(f, "status a", "ok status a a connections 1 up 0 down 0");
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
	add("/faultproxy/faulty-commands", test_faulty_commands);
	return g_test_run();
}
