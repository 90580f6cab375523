#include <stdio.h>

#include <glib/gstdio.h>

#include "checker.h"

#define LINES_MAX 12

/* A record and the rule that it violates; NULL: none. */
struct sample {
	const char *name;
	const char *rule;
	const char *line[LINES_MAX];
};

/* Events; test_sample() replaces ' by ". */
#define ANNOUNCE(W)                                                     \
	"{'event':'announce','ms':0,'worker':'" W "','millicpus':1000," \
	"'memory_bytes':1000,'accelerators':1,'slots':2}"
#define START(W, MS, TASK, ATTEMPT, CPU)                               \
	"{'event':'start','ms':" #MS ",'worker':'" W "','task':'" TASK \
	"','attempt':" #ATTEMPT ",'millicpus':" #CPU                   \
	",'memory_bytes':10,'accelerators':0,"                         \
	"'payload':{'token':'k','echo':true}}"
#define END(EVENT, W, MS, TASK, ATTEMPT, STATUS)                           \
	"{'event':'" EVENT "','ms':" #MS ",'worker':'" W "','task':'" TASK \
	"','attempt':" #ATTEMPT ",'status':'" STATUS "','bound_ms':100}"
#define ACCEPTED(JOB, IDEMPOTENT)                          \
	"{'event':'accepted','ms':1,'key':'k','job':" #JOB \
	",'idempotent':" #IDEMPOTENT "}"
#define ANSWER(MS, OUTCOME, ATTEMPT, TOKEN)                                    \
	"{'event':'answer','ms':" #MS ",'key':'k','job':1,'outcome':'" OUTCOME \
	"','results':[{'task':0,'attempt':" #ATTEMPT ",'status':'done',"       \
	"'result':{'task':'1.0','payload':{'token':'" TOKEN "'}}}]}"
#define CALL(MS) \
	"{'event':'call','ms':" #MS ",'worker':'a','task':'9.0','key':'c'}"
#define CALLED(OUTCOME, KEY, IDEMPOTENT)                               \
	"{'event':'called','ms':3,'key':'c','idempotent':" #IDEMPOTENT \
	",'outcome':'" OUTCOME "','answer_key':'" KEY "'}"

static const struct sample samples[] = {
	{ "clean", NULL,
	    { ANNOUNCE("a"), ACCEPTED(1, false), START("a", 2, "1.0", 1, 900),
		END("end", "a", 9, "1.0", 1, "done"),
		START("a", 9, "2.0", 1, 900), ANSWER(10, "done", 1, "k"),
		CALL(1), CALLED("done", "c", false) } },
	{ "rerun-after-end", NULL,
	    { ANNOUNCE("a"), ANNOUNCE("b"), ACCEPTED(1, true),
		START("a", 2, "1.0", 1, 1), END("stop", "a", 3, "1.0", 1, "x"),
		START("b", 3, "1.0", 2, 1),
		END("end", "b", 4, "1.0", 2, "done"),
		ANSWER(5, "done", 2, "k") } },
	{ "killed-and-rerun", NULL,
	    { ANNOUNCE("a"), ANNOUNCE("b"), START("a", 2, "1.0", 1, 1),
		"{'event':'killed','ms':4,'worker':'a'}",
		START("b", 4, "1.0", 2, 1) } },
	{ "suspended-past-lease", NULL,
	    { ANNOUNCE("a"), ANNOUNCE("b"), START("a", 2, "1.0", 1, 1),
		"{'event':'woke','ms':900,'worker':'a','asleep_since':50}",
		END("lease-out", "a", 900, "1.0", 1, "stopped"),
		START("b", 200, "1.0", 2, 1) } },
	{ "idempotent-call-twice", NULL,
	    { CALL(1), CALL(2), CALLED("done", "c", true) } },
	{ "overlap-two-workers", "overlap",
	    { ANNOUNCE("a"), ANNOUNCE("b"), START("a", 2, "1.0", 1, 1),
		START("b", 8, "1.0", 2, 1),
		END("end", "a", 9, "1.0", 1, "done") } },
	{ "overlap-never-ended", "overlap",
	    { ANNOUNCE("a"), ANNOUNCE("b"), START("a", 2, "1.0", 1, 1),
		START("b", 8000, "1.0", 2, 1) } },
	{ "overlap-spans-short-one", "overlap",
	    { ANNOUNCE("a"), ANNOUNCE("b"), START("a", 2, "1.0", 1, 1),
		END("end", "a", 3, "1.0", 1, "done"),
		START("b", 4, "1.0", 2, 1), START("a", 5, "1.0", 3, 1) } },
	{ "running-past-lease", "late-stop",
	    { ANNOUNCE("a"), START("a", 2, "1.0", 1, 1),
		END("lease-out", "a", 900, "1.0", 1, "stopped") } },
	{ "too-many-millicpus", "over-allocation",
	    { ANNOUNCE("a"), START("a", 2, "1.0", 1, 600),
		START("a", 3, "2.0", 1, 600) } },
	{ "too-many-tasks", "over-allocation",
	    { ANNOUNCE("a"), START("a", 2, "1.0", 1, 1),
		START("a", 3, "2.0", 1, 1), START("a", 4, "3.0", 1, 1) } },
	{ "order-without-capacity", "over-allocation",
	    { "{'event':'refuse','ms':1,'worker':'a','reason':'resources',"
	      "'task':'1.0'}" } },
	{ "second-run", "second-run",
	    { ANNOUNCE("a"), ACCEPTED(1, false), START("a", 2, "1.0", 1, 1),
		END("stop", "a", 3, "1.0", 1, "stopped"),
		START("a", 4, "1.0", 2, 1),
		END("end", "a", 5, "1.0", 2, "done"),
		ANSWER(6, "done", 2, "k") } },
	{ "key-accepted-twice", "second-run",
	    { ACCEPTED(1, true), ACCEPTED(2, true),
		"{'event':'answer','ms':5,'key':'k','outcome':'unknown'}" } },
	{ "call-twice", "second-run",
	    { CALL(1), CALL(2), CALLED("unknown", "", false) } },
	{ "not-run-ran", "not-run-ran",
	    { ANNOUNCE("a"), START("a", 2, "1.0", 1, 1),
		"{'event':'refused','ms':5,'key':'k','outcome':'not-run'}" } },
	{ "not-run-job-ran", "not-run-ran",
	    { ANNOUNCE("a"), ACCEPTED(1, true), START("a", 9, "1.0", 1, 1),
		"{'event':'answer','ms':5,'key':'k','outcome':'not-run'}" } },
	{ "not-run-call-ran", "not-run-ran",
	    { CALL(1), CALLED("not-run", "", false) } },
	{ "lost", "lost", { ACCEPTED(1, true) } },
	{ "foreign-result", "foreign-answer",
	    { ANNOUNCE("a"), ACCEPTED(1, true), START("a", 2, "1.0", 1, 1),
		END("end", "a", 9, "1.0", 1, "done"),
		ANSWER(10, "done", 1, "other") } },
	{ "foreign-call", "foreign-answer",
	    { CALL(1), CALLED("done", "d", true) } },
	{ "done-but-never-ended", "false-report",
	    { ANNOUNCE("a"), ACCEPTED(1, true), START("a", 2, "1.0", 1, 1),
		ANSWER(10, "done", 1, "k") } },
	{ "done-by-another-attempt", "false-report",
	    { ANNOUNCE("a"), ACCEPTED(1, true), START("a", 2, "1.0", 1, 1),
		END("end", "a", 9, "1.0", 1, "done"),
		ANSWER(10, "done", 2, "k") } },
	{ "done-without-results", "false-report",
	    { ACCEPTED(1, true),
		"{'event':'answer','ms':5,'key':'k','outcome':'done'}" } },
	{ "starts-after-answer", "false-report",
	    { ANNOUNCE("a"), ACCEPTED(1, true), START("a", 9, "1.0", 1, 1),
		"{'event':'answer','ms':5,'key':'k','outcome':'cancelled'}" } },
	{ "two-answers", "false-report",
	    { ACCEPTED(1, true),
		"{'event':'answer','ms':5,'key':'k','outcome':'unknown'}",
		"{'event':'answer','ms':6,'key':'k','outcome':'failed'}" } },
};

static void
test_sample(const void *data)
{
	const struct sample *s = data;
	struct checker *c = checker_new();
	GError *err = NULL;
	GPtrArray *violations;

	for (int i = 0; i < LINES_MAX && s->line[i] != NULL; i++) {
		char *line = g_strdelimit(g_strdup(s->line[i]), "'", '"');

		checker_line(c, line, &err);
		g_assert_no_error(err);
		g_free(line);
	}
	violations = checker_violations(c);
	for (guint i = 0; i < violations->len; i++) {
		const char *violation = violations->pdata[i];

		g_test_message("%s", violation);
		g_assert_nonnull(s->rule);
		g_assert_true(g_str_has_prefix(violation, s->rule));
	}
	g_assert_cmpint(violations->len > 0, ==, s->rule != NULL);
	g_ptr_array_unref(violations);
	checker_free(c);
}

/* The last line may be truncated, as of a killed worker; no other line may. */
static void
test_file(void)
{
	struct checker *c = checker_new();
	GError *err = NULL;
	char *path;
	int fd = g_file_open_tmp("bulrushtide-checker-XXXXXX", &path, NULL);

	g_assert_true(g_close(fd, NULL));
	g_assert_true(g_file_set_contents(
	    path, "{\"event\":\"left\",\"ms\":1}\n{\"ev", -1, NULL));
	g_assert_true(checker_read(c, path, &err));
	g_assert_true(g_file_set_contents(path, "{\"ev\n{}\n", -1, NULL));
	g_assert_false(checker_read(c, path, &err));
	g_assert_error(err, BT_ERROR, ERR_INVALID);
	g_clear_error(&err);
	g_assert_cmpint(remove(path), ==, 0);
	g_free(path);
	checker_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
		char *name = g_strdup_printf("/checker/%s", samples[i].name);

		g_test_add_data_func(name, &samples[i], test_sample);
		g_free(name);
	}
	g_test_add_func("/checker/file", test_file);
	return g_test_run();
}
