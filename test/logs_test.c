/* Tests of the log writer: the rate limit, buffering, a full pipe. */
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "logs.h"

#define NOTE "event=lines-dropped count="

/* Standard output is a pipe during a test. */
struct fixture {
	int saved;
	int read_end;
	char text[1 << 20]; /* what was read so far */
	size_t len;
};

static void
setup(struct fixture *f, gconstpointer data)
{
	int ends[2];

	g_assert_cmpint(pipe(ends), ==, 0);
	f->saved = dup(STDOUT_FILENO);
	g_assert_cmpint(dup2(ends[1], STDOUT_FILENO), ==, STDOUT_FILENO);
	close(ends[1]);
	g_assert_cmpint(fcntl(ends[0], F_SETFL, O_NONBLOCK), ==, 0);
	f->read_end = ends[0];
}

static void
teardown(struct fixture *f, gconstpointer data)
{
	logs_flush();
	g_assert_cmpint(dup2(f->saved, STDOUT_FILENO), ==, STDOUT_FILENO);
	close(f->saved);
	close(f->read_end);
}

/* Reads what is in the pipe and returns the number of lines so far. */
static int
lines(struct fixture *f)
{
	ssize_t n;
	int count = 0;

	while ((n = read(f->read_end, f->text + f->len,
		    sizeof(f->text) - 1 - f->len)) > 0)
		f->len += (size_t)n;
	f->text[f->len] = '\0';
	for (size_t i = 0; i < f->len; i++)
		count += f->text[i] == '\n';
	return count;
}

/* Lines are kept until the buffer is full or flushed; a warning, which may be
 * the last line of a process, is written at once with what was before it. */
static void
test_buffer(struct fixture *f, gconstpointer data)
{
	log_info("part", "event=first");
	g_assert_cmpint(lines(f), ==, 0);
	logs_flush();
	g_assert_cmpint(lines(f), ==, 1);
	g_assert_nonnull(strstr(f->text, " info node part: event=first\n"));
	log_info("part", "event=second");
	log_warn("part", "event=third");
	g_assert_cmpint(lines(f), ==, 3);
	g_assert_true(strstr(f->text, "event=second") <
	    strstr(f->text, " warning node part: event=third\n"));
}

/* A full pipe never blocks; the dropped lines are counted. */
static void
test_full_pipe(struct fixture *f, gconstpointer data)
{
	char *padding = g_strnfill(900, 'x');
	unsigned dropped = 0;
	int notes = 0;
	const char *note;

	for (int i = 0; i < 400; i++)
		log_info("part", "event=padded i=%d %s", i, padding);
	logs_flush();
	g_assert_cmpint(lines(f), <, 400);
	g_usleep(G_USEC_PER_SEC / 5);
	log_warn("part", "event=last");
	(void)lines(f);
	for (note = f->text; (note = strstr(note, NOTE)) != NULL; note++) {
		dropped += (unsigned)atoi(note + strlen(NOTE));
		notes++;
	}
	g_assert_cmpint(notes, >, 0);
	/* Each of the 401 lines was written or reported as dropped. */
	g_assert_cmpint(lines(f) - notes + (int)dropped, ==, 401);
	g_free(padding);
}

/* Lines beyond the rate limit are dropped and counted. */
static void
test_rate_limit(struct fixture *f, gconstpointer data)
{
	for (int i = 0; i < 2 * LOGS_BURST_LINES; i++) {
		log_info("part", "event=many");
		if (i % 100 == 0)
			(void)lines(f);
	}
	logs_flush();
	g_assert_cmpint(lines(f), <, 2 * LOGS_BURST_LINES);
	g_usleep(G_USEC_PER_SEC / 5);
	log_warn("part", "event=last");
	(void)lines(f);
	g_assert_nonnull(strstr(f->text, NOTE));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	logs_init("node", G_LOG_LEVEL_INFO);
	logs_buffer();
	g_test_add(
	    "/logs/buffer", struct fixture, NULL, setup, test_buffer, teardown);
	g_test_add("/logs/full-pipe", struct fixture, NULL, setup,
	    test_full_pipe, teardown);
	g_test_add("/logs/rate-limit", struct fixture, NULL, setup,
	    test_rate_limit, teardown);
	return g_test_run();
}
