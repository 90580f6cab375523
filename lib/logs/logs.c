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
field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	return "";
}

/* The lines that may still be written, and those that were left out. Used
 * by the event loop and, now and then, by a file thread. */
static GMutex lock;
static double allowed = LOGS_BURST;
static int64_t refilled_ms;
static uint64_t left_out;

/* Says whether a line is within the rate. */
static bool
within_rate(void)
{
	int64_t now = mono_ms();

	allowed += (double)(now - refilled_ms) * LOGS_PER_S / 1000;
	allowed = MIN(allowed, LOGS_BURST);
	refilled_ms = now;
	if (allowed < 1)
		return false;
	allowed -= 1;
	return true;
}

/* Writes a whole line if the reader has room for it, without waiting. A pipe
 * that polls as writable takes PIPE_BUF bytes at once; lines are shorter. */
static bool
put_line(const char *line, size_t len)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

static void
put_or_count(const char *line)
{
	char note[128];

	g_mutex_lock(&lock);
	if (left_out > 0 && within_rate()) {
		g_snprintf(note, sizeof(note),
		    "- warning %s logs: event=lines-left-out "
		    "count=%" G_GUINT64_FORMAT "\n",
		    node_name, left_out);
		if (put_line(note, strlen(note)))
			left_out = 0;
	}
	if (!within_rate() || !put_line(line, strlen(line)))
		left_out++;
	g_mutex_unlock(&lock);
}

static GLogWriterOutput
write_line(
    GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *date = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	const char *part = field(fields, n, "PART");
	char *line = g_strdup_printf("%s.%03dZ %s %s %s%s%.3000s\n", date,
	    g_date_time_get_microsecond(now) / 1000, level_name(level),
	    node_name, part, *part ? ": " : "", field(fields, n, "MESSAGE"));

	put_or_count(line);
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
	g_log_set_writer_func(write_line, NULL, NULL);
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

	/* In GLib a more severe level is a smaller number. */
	if (level > lowest_level)
		return;
	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_log_structured(
	    "bulrushtide", level, "PART", part, "MESSAGE", "%s", message);
	g_free(message);
}
