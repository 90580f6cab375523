#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
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

/*
 * Writes a line without blocking; false if standard output can't accept it.
 * A pipe that polls as writable accepts PIPE_BUF bytes; lines are shorter.
 */
static bool
write_line(const char *line, size_t len)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

static void
write_or_drop(const char *line)
{
	char note[128];

	g_mutex_lock(&lock);
	if (dropped > 0 && take_token()) {
		g_snprintf(note, sizeof(note),
		    "- warning %s logs: event=lines-dropped "
		    "count=%" G_GUINT64_FORMAT "\n",
		    node_name, dropped);
		if (write_line(note, strlen(note)))
			dropped = 0;
	}
	if (!take_token() || !write_line(line, strlen(line)))
		dropped++;
	g_mutex_unlock(&lock);
}

static GLogWriterOutput
write_message(
    GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *date = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	const char *part = field_value(fields, n, "PART");
	char *line = g_strdup_printf("%s.%03dZ %s %s %s%s%.3000s\n", date,
	    g_date_time_get_microsecond(now) / 1000, level_name(level),
	    node_name, part, *part ? ": " : "",
	    field_value(fields, n, "MESSAGE"));

	write_or_drop(line);
	g_free(line);
	g_free(date);
	g_date_time_unref(now);
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
	if (level > lowest_level)
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_log_structured(
	    "bulrushtide", level, "PART", part, "MESSAGE", "%s", message);
	g_free(message);
}
