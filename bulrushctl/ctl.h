/*
 * Shared by the commands of bulrushctl: options, exit codes, requests to a
 * cell and output. Results go to standard output, errors to standard error
 * with the prefix "bulrushctl:".
 */
#ifndef CTL_H
#define CTL_H

#include "client.h"
#include "config.h"

/* Exit codes. */
enum ctl_exit {
	EXIT_OK = 0,
	EXIT_FAILED = 1, /* refused, failed or never sent */
	EXIT_USAGE = 2,
	EXIT_UNKNOWN = 3 /* no conclusive answer; may have taken effect */
};

/* The values of the common options, and the HTTP client. */
struct ctl {
	bool json;
	char *entries; /* "IP:PORT[,...]"; NULL: none given */
	int64_t timeout_ms; /* of a request with its retries */
	struct client *client; /* created by the first request */
};

struct command {
	const char *name;
	const char *args; /* shown in the usage line */
	const char *summary;
	int min_args;
	int max_args;
	const GOptionEntry *options; /* NULL: only the common options */
	/* Takes the arguments after the command's name. */
	enum ctl_exit (*run)(struct ctl *ctl, int argc, char **argv);
};

extern const struct command command_check;
extern const struct command command_plan;
extern const struct command command_apply;
extern const struct command command_config;
extern const struct command command_submit;
extern const struct command command_explain;
extern const struct command command_get;
extern const struct command command_cancel;
extern const struct command command_status;
extern const struct command command_nodes;
extern const struct command command_workers;
extern const struct command command_teams;
extern const struct command command_trace;
extern const struct command command_drain;
extern const struct command command_replica;

/* Prints a line with the prefix "bulrushctl: " to standard error. */
void ctl_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/*
 * Sends a request. Returns EXIT_OK if the request succeeded (its outcome is
 * accepted or done, or the reply has none); otherwise prints the error. The
 * reply has a body unless no entry answered; free it with reply_clear().
 */
enum ctl_exit
ctl_call(struct ctl *ctl, const struct request *req, struct reply *reply);

/* Reads a path and prints the body: as JSON, or as text with show(). */
enum ctl_exit
ctl_get(struct ctl *ctl, const char *path, void (*show)(const json_t *body));

/* Appends a percent-encoded segment to a path; caller frees. */
char *ctl_path(const char *prefix, const char *segment);

/* Reads a JSON object from a file, "-": standard input. Returns its text, to be
 * freed with free(); NULL after printing an error. */
char *ctl_read_object(const char *file);

/* Prints a JSON value on one line. */
void print_json(const json_t *value);

/*
 * Prints an object as plain text: scalars as "key value" lines, those of
 * nested objects as "key.key value", then each list of objects as a table
 * under its key.
 */
void print_object(const json_t *object);

/* Prints a list of objects as an aligned table with a header line. */
void print_table(const json_t *list);

/* The files of a configuration folder. */
struct dir {
	GPtrArray *files; /* struct config_text: base, then overlays */
};

/* Reads DIR/base.yaml and DIR/sites/ *.yaml; NULL after printing an error. */
struct dir *dir_load(const char *path);
/* Returns the files in the body of GET /v1/config. */
struct dir *dir_from_reply(const json_t *body);
void dir_free(struct dir *dir);
const struct config_text *dir_base(const struct dir *dir);
const struct config_text *dir_overlays(const struct dir *dir, size_t *count);
/* Returns the config_digest() of the files; caller frees. */
char *dir_digest(const struct dir *dir);
/* Merges and checks all files; adds to faults and returns NULL if invalid. */
struct config *dir_parse(const struct dir *dir, GPtrArray *faults);
/* As dir_parse(), but prints the faults, with --format=json also as JSON. */
struct config *dir_parse_print(struct ctl *ctl, const struct dir *dir);

/*
 * Returns the current configuration version in the body of GET /v1/config, or
 * in one of its "nodes"; 0 if none was applied.
 */
int64_t parse_config_version(const json_t *body);

#endif
