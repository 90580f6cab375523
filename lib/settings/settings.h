/*
 * Settings of a program from flags and environment variables. One table
 * defines names, defaults, checks and help. A flag takes precedence over the
 * environment variable, the variable over the default.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "base.h"

/* Returns NULL if the value is valid, else a phrase for what is allowed. */
typedef const char *setting_check_fn(const char *value);

struct setting {
	/* "data-dir" stands for --data-dir and BULRUSHTIDE_DATA_DIR. */
	const char *name;
	const char *arg; /* the value's name in the help, as "DIR" */
	const char *fallback; /* default value; NULL: none */
	bool required;
	setting_check_fn *check; /* NULL: any value is valid */
	const char *help;
};

/* The values by the name of the setting. */
struct settings;

/*
 * Reads the program's arguments and environment. If settings are invalid or
 * missing, returns NULL and an error with one line for each: the setting, its
 * value and what is allowed. --help and --version print and exit with 0.
 */
struct settings *settings_read(const struct setting *table, size_t count,
    int argc, char **argv, const char *summary, GError **err);
void settings_free(struct settings *s);

/* Returns a setting's value, or NULL when it has none. */
const char *settings_get(const struct settings *s, const char *name);

/* Check functions for a table. */

/* 1 to 63 of lower-case letters, digits, "-", "." and "_". */
const char *check_name(const char *value);
/* IP:PORT, or [IP]:PORT for IPv6. */
const char *check_address(const char *value);

/* True for a numeric "IP:PORT"; port 0 is valid only if zero_port is set. */
bool address_valid(const char *text, bool zero_port);

#endif
