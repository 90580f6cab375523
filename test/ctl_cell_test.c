/* bulrushctl against one process, both entry and replica, and one worker. */
#include <signal.h>
#include <string.h>

#include "ctl_run.h"
#include "proc.h"

#define JOBS EXAMPLES "/halvorsen/jobs/"

struct fixture {
	char *dir;
	struct proc *node;
	struct proc *worker;
};

static GPtrArray *
node_args(const char *dir, const char *ip, const char *programs)
{
	GPtrArray *argv = g_ptr_array_new();
	char *http = free_address(ip);
	char *peer = free_address(ip);

	g_setenv("BULRUSHTIDE_ENTRY", http, TRUE);
	add_arg(argv, "%s/../bulrushtided/bulrushtided", programs);
	add_arg(argv, "--name=n1");
	add_arg(argv, "--data-center=tacoma");
	add_arg(argv, "--http=%s", http);
	add_arg(argv, "--peer=%s", peer);
	add_arg(argv, "--replicas=n1@%s", peer);
	add_arg(argv, "--data-dir=%s/data", dir);
	g_free(http);
	g_free(peer);
	return argv;
}

static GPtrArray *
worker_args(const char *dir, const char *ip, const char *programs)
{
	GPtrArray *argv = g_ptr_array_new();
	char *address = free_address(ip);

	add_arg(argv, "%s/fakeworker", programs);
	add_arg(argv, "--name=w1");
	add_arg(argv, "--address=%s", address);
	add_arg(argv, "--entry=%s", g_getenv("BULRUSHTIDE_ENTRY"));
	add_arg(argv, "--data-center=tacoma");
	add_arg(argv, "--millicpus=256000");
	add_arg(argv, "--memory=1099511627776");
	add_arg(argv, "--slots=64");
	add_arg(argv, "--record=%s/w1.record", dir);
	g_free(address);
	return argv;
}

static void
set_up(struct fixture *f, const void *arg)
{
	char *programs = programs_dir();
	char *ip = loopback_ip();

	f->dir = g_dir_make_tmp("ctl-XXXXXX", NULL);
	f->node = proc_new("n1", f->dir, node_args(f->dir, ip, programs));
	f->worker = proc_new("w1", f->dir, worker_args(f->dir, ip, programs));
	proc_start(f->node, false);
	g_free(ip);
	g_free(programs);
}

static void
tear_down(struct fixture *f, const void *arg)
{
	proc_free(f->worker);
	proc_free(f->node);
	remove_tree(f->dir);
	g_free(f->dir);
}

/* Checks the exit code and that the outputs contain out and err. */
static void
expect(const char *args, int exit, const char *out, const char *err)
{
	struct run r = run_ctl(args);

	if (r.exit != exit)
		g_error("%s: exit %d: %s%s", args, r.exit, r.out, r.err);
	assert_has(r.out, out);
	assert_has(r.err, err);
	run_clear(&r);
}

static void
check_configs(void)
{
	expect("--timeout-ms=60000 apply --wait --author=ann " EXAMPLES
	       "/halvorsen",
	    0, "in force at all 1 connected nodes", "");
	expect("apply " EXAMPLES "/halvorsen", 0, "version 1 was accepted", "");
	expect("plan " EXAMPLES "/halvorsen", 0, "no change", "");
	expect("apply --if-version=0 " EXAMPLES "/stollenwerk", 1, "",
	    "current version is 1, by ann");
	expect("config", 0, "author   ann\n", "");
	expect("teams", 0, "order-desk", "");
	expect("nodes", 0, "\nn1 ", "");
}

/* A submission prints its trace id, with which its spans can be read. */
static void
check_trace(void)
{
	struct run r = run_ctl(
	    "--format=json submit --wait-ms=60000 " JOBS "stock-check.json");
	const char *id = strstr(r.out, "\"trace\":\"");
	char *args;

	g_assert_nonnull(id);
	args = g_strdup_printf("trace %.32s", id + strlen("\"trace\":\""));
	expect(args, 0, "n1", "");
	run_clear(&r);
	g_free(args);
}

static void
check_jobs(struct fixture *f)
{
	proc_start(f->worker, true);
	check_trace();
	expect("submit --key=k1 --wait-ms=60000 " JOBS "stock-check.json", 0,
	    "412", "");
	expect("submit --key=k1 " JOBS "stock-check.json", 0, "job ", "");
	expect("workers", 0, "\nw1 ", "");
	expect("get 999999", 1, "", "invalid");
	expect("cancel --team=allocation --prefix=advent", 0, "", "");
	expect("trace 0123456789abcdef0123456789abcdef", 1, "", "invalid");
}

/* Every example job is accepted with its organisation's configuration. */
static void
check_example_jobs(const char *organisation)
{
	char *apply =
	    g_strdup_printf("apply --wait %s/%s", EXAMPLES, organisation);
	char *path = g_build_filename(EXAMPLES, organisation, "jobs", NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	expect(apply, 0, "in force at all 1 connected nodes", "");
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *submit = g_strdup_printf("submit %s/%s", path, name);

		expect(submit, 0, "outcome  accepted", "");
		g_free(submit);
	}
	g_dir_close(dir);
	g_free(path);
	g_free(apply);
}

static void
check_drain(struct fixture *f)
{
	expect("drain nobody", 1, "", "invalid");
	expect("drain n1", 0, "draining n1", "");
	g_assert_cmpint(proc_wait(f->node), ==, 0);
	expect("--timeout-ms=200 status", 1, "", "could be reached");
}

static void
test_cell(struct fixture *f, const void *arg)
{
	check_configs();
	check_jobs(f);
	check_example_jobs("halvorsen");
	check_example_jobs("stollenwerk");
	expect("cancel --team=render --prefix=stud-", 0, "jobs     1", "");
	check_drain(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add(
	    "/ctl/cell", struct fixture, NULL, set_up, test_cell, tear_down);
	return g_test_run();
}
