#include <stdarg.h>
#include <stdio.h>
#include <string.h>

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

static GLogWriterOutput
write_line(
    GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	GDateTime *now = g_date_time_new_now_utc();
	char *date = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");
	const char *part = field(fields, n, "PART");

	fprintf(stderr, "%s.%03dZ %s %s %s%s%s\n", date,
	    g_date_time_get_microsecond(now) / 1000, level_name(level),
	    node_name, part, *part ? ": " : "", field(fields, n, "MESSAGE"));
	g_free(date);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void
logs_init(const char *node, GLogLevelFlags lowest)
{
	g_strlcpy(node_name, node, sizeof(node_name));
	lowest_level = lowest;
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
