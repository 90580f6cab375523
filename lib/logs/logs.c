#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base.h"
#include "logs.h"

struct level {
	const char *name;
	GLogLevelFlags flag;
};

static const struct level levels[] = {
	{ "debug", G_LOG_LEVEL_DEBUG },
	{ "info", G_LOG_LEVEL_INFO },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "error", G_LOG_LEVEL_CRITICAL },
};

#define NOTE_INTERVAL_MS 100 /* between reports of dropped lines */

static char node_name[64] = "-";
static GLogLevelFlags lowest_level = G_LOG_LEVEL_INFO;

static const char *
level_name(GLogLevelFlags flag)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++)
		if (levels[i].flag & flag)
			return levels[i].name;
	return "error";
}

static const char *
field_value(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	return "";
}

/*
 * Token bucket of the rate limit and count of dropped lines. Messages come
 * from the event loop and occasionally from a file thread (lib/wal).
 */
static GMutex lock;
static double tokens = LOGS_BURST_LINES;
static int64_t refilled_ms;
static uint64_t dropped;

/* Takes a token for one line; false if the rate limit is reached. */
static bool
take_token(void)
{
	int64_t now = mono_ms();

	tokens += (double)(now - refilled_ms) * LOGS_LINES_PER_S / 1000;
	tokens = MIN(tokens, LOGS_BURST_LINES);
	refilled_ms = now;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

/* Takes a token, or counts the line as dropped. */
static bool
admit(void)
{
	bool admitted;

	g_mutex_lock(&lock);
	admitted = take_token();
	if (!admitted)
		dropped++;
	g_mutex_unlock(&lock);
	return admitted;
}

/* Lines that are not written yet. A pipe that polls as writable accepts
 * PIPE_BUF bytes. */
static char buffer[PIPE_BUF + 1]; /* with a terminating NUL */
static size_t buffered; /* bytes */
static uint64_t buffered_lines; /* that count as dropped if it is dropped */
static bool buffering;
static int64_t noted_ms; /* when dropped lines were last reported */

/* Writes the buffer without blocking; drops it if standard output can't accept
 * it. */
static void
write_buffer(void)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (buffered == 0)
		return;
	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDOUT_FILENO, buffer, buffered) != (ssize_t)buffered)
		dropped += buffered_lines;
	buffered = 0;
	buffered_lines = 0;
}

/* Lines are shorter than the buffer. count: how many lines are lost with it. */
static void
append_line(const char *line, uint64_t count)
{
	size_t len = strlen(line);

	if (buffered + len > PIPE_BUF)
		write_buffer();
	g_strlcpy(buffer + buffered, line, sizeof(buffer) - buffered);
	buffered += len;
	buffered_lines += count;
}

/* Reports the dropped lines, not too often as each report takes the place of a
 * line. */
static void
note_dropped(void)
{
	int64_t now = mono_ms();
	uint64_t count = dropped;
	char note[128];

	if (dropped == 0 || now - noted_ms < NOTE_INTERVAL_MS || !take_token())
		return;
	noted_ms = now;
	dropped = 0;
	g_snprintf(note, sizeof(note),
	    "- warning %s logs: event=lines-dropped "
	    "count=%" G_GUINT64_FORMAT "\n",
	    node_name, count);
	append_line(note, count);
}

static void
write_or_drop(const char *line, bool flush)
{
	g_mutex_lock(&lock);
	note_dropped();
	append_line(line, 1);
	if (flush || !buffering)
		write_buffer();
	g_mutex_unlock(&lock);
}

void
logs_buffer(void)
{
	buffering = true;
}

void
logs_flush(void)
{
	g_mutex_lock(&lock);
	write_buffer();
	g_mutex_unlock(&lock);
}

static GLogWriterOutput
write_message(
    GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	int64_t now_us = g_get_real_time();
	time_t now_s = (time_t)(now_us / G_USEC_PER_SEC);
	struct tm tm;
	char date[32];
	const char *part = field_value(fields, n, "PART");
	char *line;

	/* logs_write() has already taken a token for its lines. */
	if (*part == '\0' && !admit())
		return G_LOG_WRITER_HANDLED;
	gmtime_r(&now_s, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	line = g_strdup_printf("%s.%03dZ %s %s %s%s%.3000s\n", date,
	    (int)(now_us % G_USEC_PER_SEC / 1000), level_name(level), node_name,
	    part, *part ? ": " : "", field_value(fields, n, "MESSAGE"));
	write_or_drop(line, level <= G_LOG_LEVEL_WARNING);
	g_free(line);
	return G_LOG_WRITER_HANDLED;
}

void
logs_init(const char *node, GLogLevelFlags lowest)
{
	g_strlcpy(node_name, node, sizeof(node_name));
	lowest_level = lowest;
	refilled_ms = mono_ms();
	g_log_set_writer_func(write_message, NULL, NULL);
}

gboolean
logs_parse_level(const char *name, GLogLevelFlags *level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(name, levels[i].name) != 0)
			continue;
		*level = levels[i].flag;
		return TRUE;
	}
	return FALSE;
}

void
logs_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
{
	va_list ap;
	char *message;

	/* In GLib more severe levels have smaller numbers. */
	if (level > lowest_level || !admit())
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_log_structured(
	    "bulrushtide", level, "PART", part, "MESSAGE", "%s", message);
	g_free(message);
}
