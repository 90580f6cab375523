#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "proc.h"

#define LINE_MAX_BYTES 512
#define PORT_FIRST 20000
#define PORT_END 32000
#define FD_MAX 256 /* test programs open fewer descriptors */

char *
programs_dir(void)
{
	char *exe = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(exe);

	g_free(exe);
	return dir;
}

char *
loopback_ip(void)
{
	unsigned pid = (unsigned)getpid();

	return g_strdup_printf("127.%u.%u.%u", 1 + (pid >> 16) % 250,
	    pid >> 8 & 0xff, 1 + (pid & 0xff) % 254);
}

/* Whether a socket can be bound to the address now. */
static bool
can_bind(const char *ip, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	inet_pton(AF_INET, ip, &sa.sin_addr);
	ok = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	close(fd);
	return ok;
}

char *
free_address(const char *ip)
{
	/*
	 * Each port is returned once, and all are below the ephemeral ports,
	 * which outgoing connections use.
	 */
	static int next = PORT_FIRST;

	while (next < PORT_END && !can_bind(ip, next))
		next++;
	g_assert_cmpint(next, <, PORT_END);
	return g_strdup_printf("%s:%d", ip, next++);
}

void
add_arg(GPtrArray *argv, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	g_ptr_array_add(argv, g_strdup_vprintf(format, ap));
	va_end(ap);
}

struct proc *
proc_new(const char *name, const char *dir, GPtrArray *argv)
{
	struct proc *p = g_new0(struct proc, 1);

	g_ptr_array_add(argv, NULL);
	p->name = g_strdup(name);
	p->log = g_strdup_printf("%s/%s.log", dir, name);
	p->argv = (char **)g_ptr_array_free(argv, FALSE);
	return p;
}

/*
 * In the child: sets the standard streams, has the kernel kill it when the
 * parent exits, and executes the program.
 */
static void
exec_child(struct proc *p, int in, int out)
{
	int log = open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (p->file_max != 0) {
		struct rlimit limit = { p->file_max, p->file_max };

		setrlimit(RLIMIT_FSIZE, &limit);
		/* write() fails with EFBIG then. */
		signal(SIGXFSZ, SIG_IGN);
	}
	dup2(in, STDIN_FILENO);
	dup2(p->out != NULL ? out : log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	for (int fd = STDERR_FILENO + 1; fd < FD_MAX; fd++)
		close(fd);
	execv(p->argv[0], p->argv);
	_exit(127);
}

void
proc_start(struct proc *p, bool piped)
{
	char line[LINE_MAX_BYTES];
	int in[2];
	int out[2];

	g_assert_cmpint(pipe2(in, O_CLOEXEC), ==, 0);
	g_assert_cmpint(pipe2(out, O_CLOEXEC), ==, 0);
	p->out = piped ? fdopen(out[0], "r") : NULL;
	p->pid = fork();
	if (p->pid == 0)
		exec_child(p, in[0], out[1]);
	close(in[0]);
	close(out[1]);
	p->in = in[1];
	if (!piped) {
		close(out[0]);
		return;
	}
	g_assert_nonnull(fgets(line, sizeof(line), p->out));
	g_assert_cmpstr(line, ==, "ready\n");
}

void
proc_command(struct proc *p, const char *command)
{
	char *line = g_strdup_printf("%s\n", command);
	char *expected = g_strdup_printf("ok %s", line);
	char reply[LINE_MAX_BYTES];

	g_assert_cmpint(write(p->in, line, strlen(line)), >, 0);
	g_assert_nonnull(fgets(reply, sizeof(reply), p->out));
	g_assert_cmpstr(reply, ==, expected);
	g_free(expected);
	g_free(line);
}

static void
forget(struct proc *p)
{
	p->pid = 0;
	close(p->in);
	g_clear_pointer(&p->out, fclose);
}

bool
proc_ended(struct proc *p, int *status)
{
	if (waitpid(p->pid, status, WNOHANG) != p->pid)
		return false;
	forget(p);
	return true;
}

int
proc_wait(struct proc *p)
{
	int status = -1;

	for (int64_t end = mono_ms() + AWAIT_MS; mono_ms() < end;) {
		if (proc_ended(p, &status))
			return status;
		g_usleep(POLL_US);
	}
	forget(p);
	return -1;
}

void
proc_free(void *arg)
{
	struct proc *p = arg;

	if (p->pid != 0) {
		kill(p->pid, SIGKILL);
		proc_wait(p);
	}
	g_strfreev(p->argv);
	g_free(p->address);
	g_free(p->name);
	g_free(p->log);
	g_free(p);
}

void
remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
		g_free(child);
	}
	g_clear_pointer(&dir, g_dir_close);
	(void)remove(path);
}
