#include <string.h>
#include <sys/wait.h>

#include "ctl_run.h"

struct run
run_ctl(const char *args)
{
	char *line = g_strconcat(BULRUSHCTL " ", args, NULL);
	char **argv = g_strsplit(line, " ", -1);
	struct run r = { 0 };
	GError *err = NULL;
	int status;

	g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &r.out,
	    &r.err, &status, &err);
	g_assert_no_error(err);
	g_assert_true(WIFEXITED(status));
	r.exit = WEXITSTATUS(status);
	g_test_message("%s: exit %d: %s%s", args, r.exit, r.out, r.err);
	g_strfreev(argv);
	g_free(line);
	return r;
}

void
run_clear(struct run *r)
{
	g_free(r->out);
	g_free(r->err);
}

void
assert_has(const char *text, const char *part)
{
	if (strstr(text, part) == NULL)
		g_error("expected: %s\nfound: %s", part, text);
}
