/*
 * Settings of a program: one table gives the flags, the environment
 * variables, the checks and the help. A flag goes before its variable, a
 * variable before the default.
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "base.h"

/* Checks a value; returns NULL, or what is allowed as a short phrase. */
typedef const char *setting_check_fn(const char *value);

struct setting {
	const char *name; /* "data-dir": --data-dir, BULRUSHTIDE_DATA_DIR */
	const char *arg; /* shown in help: "DIR" */
	const char *fallback; /* NULL: none */
	bool required;
	setting_check_fn *check; /* NULL: any text */
	const char *help;
};

/* The values by setting name; flags first, then variables, then defaults. */
struct settings;

/*
 * Reads the program's arguments and environment. On faults returns NULL and
 * err with one line for each fault: the setting, the value, what is allowed.
 * --help and --version print and exit 0.
 */
struct settings *settings_read(const struct setting *table, size_t count,
    int argc, char **argv, const char *summary, GError **err);
void settings_free(struct settings *s);

/* Returns a setting's value, or NULL when it has none. */
const char *settings_get(const struct settings *s, const char *name);

/* Checks for the tables. */
const char *check_name(const char *value); /* letters, digits, -._ */
const char *check_address(const char *value); /* IP:PORT */

/* Parses "IP:PORT" with a port from 1 (or 0 if allowed) to 65535. */
bool address_parse(const char *text, bool zero_port);

#endif
