/*
 * What the commands of bulrushctl share: options, exit codes, exchanges with
 * a cell and output. Results go to standard output, errors to standard error
 * with the prefix "bulrushctl:".
 */
#ifndef CTL_H
#define CTL_H

#include "client.h"
#include "config.h"

enum ctl_exit {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* refused, failed or never sent */
	EXIT_USAGE = 2,
	EXIT_UNKNOWN = 3 /* may have taken effect; no certain answer came */
};

/* The options that every command takes. */
struct ctl {
	bool json;
	char *entries; /* NULL: none given */
	int64_t timeout_ms;
	struct client *client; /* made at the first call */
};

struct command {
	const char *name;
	const char *args; /* for the usage line */
	const char *summary;
	int min_args;
	int max_args;
	const GOptionEntry *options; /* NULL: none of its own */
	enum ctl_exit (*run)(struct ctl *ctl, int argc, char **argv);
};

extern const struct command command_check;
extern const struct command command_plan;
extern const struct command command_apply;
extern const struct command command_config;
extern const struct command command_submit;
extern const struct command command_get;
extern const struct command command_cancel;
extern const struct command command_status;
extern const struct command command_nodes;
extern const struct command command_workers;
extern const struct command command_teams;
extern const struct command command_trace;
extern const struct command command_drain;
extern const struct command command_replica;

/* Prints "bulrushctl: ..." with a line end to standard error. */
void ctl_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/*
 * Sends a request. EXIT_DONE with a reply whose outcome is accepted or done;
 * else the error has been told, and reply holds a body if one came.
 */
enum ctl_exit
ctl_call(struct ctl *ctl, const struct request *req, struct reply *reply);

/* GET of a path, printed by format; text by show. */
enum ctl_exit
ctl_get(struct ctl *ctl, const char *path, void (*show)(const json_t *body));

/* Joins a path and one escaped segment; caller frees. */
char *ctl_path(const char *prefix, const char *segment);

/* Prints a JSON value on one line. */
void print_json(const json_t *value);

/*
 * Prints an object as plain text: scalars as "key value" lines, those of
 * objects inside as "key.key value", then each list of objects as a table
 * under its key.
 */
void print_object(const json_t *object);

/* Prints a list of objects as an aligned table with a line of titles. */
void print_table(const json_t *list);

/* The files of a configuration folder. */
struct dir {
	GPtrArray *files; /* struct config_text: base, then overlays */
};

/* Reads DIR/base.yaml and DIR/sites/ *.yaml; NULL after telling the error. */
struct dir *dir_load(const char *path);
/* The same from the body of GET /v1/config. */
struct dir *dir_from_reply(const json_t *body);
void dir_free(struct dir *dir);
const struct config_text *dir_base(const struct dir *dir);
const struct config_text *dir_overlays(const struct dir *dir, size_t *count);
char *dir_digest(const struct dir *dir);
/* Parses the whole; NULL after adding to faults. */
struct config *dir_parse(const struct dir *dir, GPtrArray *faults);
/* Parses the whole and tells its faults by format; NULL if there are any. */
struct config *dir_check(struct ctl *ctl, const struct dir *dir);

/* The version in force, from the body of GET /v1/config. */
int64_t config_version(const json_t *body);

#endif
