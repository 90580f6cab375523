/*
 * Logs through GLib's structured logging: one line a message on standard
 * output, "TIME LEVEL NODE PART: event=NAME key=value ..." or a sentence.
 * Levels below the set one are dropped. Writing never waits: a line that the
 * reader has no room for, or that is over the rate, is counted, and a line
 * says how many were left out.
 */
#ifndef LOGS_H
#define LOGS_H

#include <glib.h>

/* Lines a second on average, and at once. An urgent start is three lines;
 * the size that decides the design has 76 of them a second, bursts twice. */
#define LOGS_PER_S 1500
#define LOGS_BURST 6000

/* Sets the node's name and the lowest level shown (debug to error). */
void logs_init(const char *node, GLogLevelFlags lowest);

/* Looks a level up by name: "debug", "info", "warning", "error". */
gboolean logs_parse_level(const char *name, GLogLevelFlags *level);

/* Writes one line for a part ("raft", "entry", ...). */
void logs_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#define log_debug(part, ...) logs_write(G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define log_info(part, ...) logs_write(G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_warn(part, ...) logs_write(G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define log_error(part, ...) logs_write(G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

#endif
