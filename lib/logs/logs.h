/*
 * Logging on standard output through GLib's structured logging. A message is
 * one line, "TIME LEVEL NODE PART: " and "event=NAME key=value ..." or a
 * sentence. Writing never blocks: a line that exceeds the rate limit, or that
 * standard output can't accept at once, is dropped, and a later line,
 * event=lines-dropped, reports the number of dropped lines.
 */
#ifndef LOGS_H
#define LOGS_H

#include <glib.h>

/*
 * Rate limit (token bucket). An urgent start writes three lines; the system is
 * designed for 76 urgent starts per second, with bursts of twice as many.
 */
#define LOGS_LINES_PER_S 1500
#define LOGS_BURST_LINES 6000

/* Sets the node name and the least severe level that is written. */
void logs_init(const char *node, GLogLevelFlags lowest);

/*
 * Collects lines below level "warning" and writes them together when 4 KB are
 * full or at logs_flush(), which the caller then calls every few milliseconds
 * and before it ends. Otherwise each line costs two system calls, and a leader
 * writes 1,500 lines a second.
 */
void logs_buffer(void);
void logs_flush(void);

/* Sets *level from "debug", "info", "warning" or "error"; FALSE if other. */
gboolean logs_parse_level(const char *name, GLogLevelFlags *level);

/* Writes a line for a part of the program ("raft", "entry", ...). */
void logs_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#define log_debug(part, ...) logs_write(G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define log_info(part, ...) logs_write(G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_warn(part, ...) logs_write(G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_error(part, ...) logs_write(G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

#endif
