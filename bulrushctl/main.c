/*
 * bulrushctl: checks and applies configurations, submits, shows and cancels
 * jobs, shows a cell's state and manages its nodes, over the HTTP interface of
 * its entries.
 */
#include <locale.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define TIMEOUT_DEFAULT_MS 10000

static const struct command *const commands[] = {
	&command_check,
	&command_plan,
	&command_apply,
	&command_config,
	&command_submit,
	&command_explain,
	&command_get,
	&command_cancel,
	&command_status,
	&command_nodes,
	&command_workers,
	&command_teams,
	&command_trace,
	&command_drain,
	&command_replica,
};

/* Values of the common options, set by GLib's parser. */
static struct {
	char *format;
	char *entry;
	gint64 timeout_ms;
	gboolean version;
} common = { .timeout_ms = TIMEOUT_DEFAULT_MS };

static const GOptionEntry common_options[] = {
	{ "format", 0, 0, G_OPTION_ARG_STRING, &common.format,
	    "text (default) or json", "FORMAT" },
	{ "entry", 0, 0, G_OPTION_ARG_STRING, &common.entry,
	    "entries to try in order (default: $BULRUSHTIDE_ENTRY)",
	    "IP:PORT[,...]" },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT64, &common.timeout_ms,
	    "time limit of a request with its retries (default 10000)", "N" },
	{ "version", 0, 0, G_OPTION_ARG_NONE, &common.version,
	    "print the version", NULL },
	{ .long_name = NULL },
};

void
ctl_error(const char *format, ...)
{
	va_list ap;
	char *s;

	va_start(ap, format);
	s = g_strdup_vprintf(format, ap);
	va_end(ap);
	fflush(stdout);
	fprintf(stderr, "bulrushctl: %s\n", s);
	g_free(s);
}

char *
ctl_path(const char *prefix, const char *segment)
{
	char *escaped = g_uri_escape_string(segment, NULL, FALSE);
	char *path = g_strconcat(prefix, escaped, NULL);

	g_free(escaped);
	return path;
}

/* Returns the exit code for the status and outcome of a reply. */
static enum ctl_exit
reply_exit_code(const struct request *req, const struct reply *reply)
{
	const char *outcome = reply_string(reply, "outcome");

	if (strcmp(outcome, outcome_name(OUT_UNKNOWN)) == 0)
		return EXIT_UNKNOWN;
	if (reply->status >= 300)
		return EXIT_FAILED;
	if (strcmp(outcome, outcome_name(OUT_ACCEPTED)) == 0 ||
	    strcmp(outcome, outcome_name(OUT_DONE)) == 0 || *outcome == '\0')
		return EXIT_OK;
	if (req->cancels && strcmp(outcome, outcome_name(OUT_CANCELLED)) == 0)
		return EXIT_OK;
	return EXIT_FAILED;
}

/* Prints an unsuccessful reply: outcome, reason, message, when to retry. */
static void
print_failure(const struct reply *reply)
{
	const char *outcome = reply_string(reply, "outcome");
	const char *reason = reply_string(reply, "reason");
	char **lines = g_strsplit(reply_string(reply, "message"), "\n", -1);

	ctl_error("%s%s%s%s%s%s", *outcome == '\0' ? "refused" : outcome,
	    *reason == '\0' ? "" : " (", reason, *reason == '\0' ? "" : ")",
	    lines[0] == NULL ? "" : ": ", lines[0] == NULL ? "" : lines[0]);
	for (size_t i = 1; lines[0] != NULL && lines[i] != NULL; i++) {
		if (*lines[i] != '\0')
			ctl_error("%s", lines[i]);
	}
	if (reply->retry_after_ms >= 0)
		ctl_error("retry after %" G_GINT64_FORMAT " s",
		    reply->retry_after_ms / 1000);
	g_strfreev(lines);
}

static bool
open_client(struct ctl *ctl)
{
	GError *err = NULL;

	if (ctl->client != NULL)
		return true;
	if (ctl->entries == NULL) {
		ctl_error("no entry address: set --entry=IP:PORT or "
			  "BULRUSHTIDE_ENTRY");
		return false;
	}
	ctl->client = client_new(ctl->entries, ctl->timeout_ms, &err);
	if (ctl->client != NULL)
		return true;
	ctl_error("%s", err->message);
	g_error_free(err);
	return false;
}

/* An unanswered read has failed; an unanswered change may have taken effect. */
static enum ctl_exit
print_no_answer(const struct ctl *ctl, const struct request *req)
{
	bool read = req->method == EVHTTP_REQ_GET;

	ctl_error("%s: no conclusive answer within %" G_GINT64_FORMAT " ms",
	    read ? "failed" : "unknown", ctl->timeout_ms + req->wait_ms);
	return read ? EXIT_FAILED : EXIT_UNKNOWN;
}

enum ctl_exit
ctl_call(struct ctl *ctl, const struct request *req, struct reply *reply)
{
	enum ctl_exit code;

	*reply = (struct reply){ .retry_after_ms = -1 };
	if (!open_client(ctl))
		return EXIT_USAGE;
	switch (client_call(ctl->client, req, reply)) {
	case CALL_NOT_SENT:
		ctl_error(
		    "not-run: no entry of %s could be reached", ctl->entries);
		return EXIT_FAILED;
	case CALL_UNKNOWN:
		return print_no_answer(ctl, req);
	case CALL_ANSWERED:
		break;
	}
	code = reply_exit_code(req, reply);
	if (code != EXIT_OK)
		print_failure(reply);
	return code;
}

enum ctl_exit
ctl_get(struct ctl *ctl, const char *path, void (*show)(const json_t *body))
{
	struct request req = { .method = EVHTTP_REQ_GET, .path = path };
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, &req, &reply);

	if (reply.body != NULL && ctl->json)
		print_json(reply.body);
	else if (code == EXIT_OK)
		show(reply.body);
	reply_clear(&reply);
	return code;
}

static const struct command *
find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i]->name, name) == 0)
			return commands[i];
	}
	return NULL;
}

/* The list of commands for the help text; caller frees. */
static char *
command_list(void)
{
	GString *s = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(
		    s, "  %-8s %s\n", commands[i]->name, commands[i]->summary);
	g_string_append(
	    s, "\nSee bulrushctl COMMAND --help for the options of a command.");
	return g_string_free(s, FALSE);
}

/* Parses options and removes them from argv; false after printing an error. */
static bool
parse_options(GOptionContext *ctx, int *argc, char ***argv)
{
	GError *err = NULL;

	if (g_option_context_parse(ctx, argc, argv, &err))
		return true;
	ctl_error("%s", err->message);
	g_error_free(err);
	return false;
}

/* Parses the options before the command's name. */
static bool
parse_leading(int *argc, char ***argv)
{
	GOptionContext *ctx = g_option_context_new("COMMAND [ARGUMENT...]");
	char *list = command_list();
	bool ok;

	g_option_context_add_main_entries(ctx, common_options, NULL);
	g_option_context_set_strict_posix(ctx, TRUE);
	g_option_context_set_description(ctx, list);
	ok = parse_options(ctx, argc, argv);
	g_option_context_free(ctx);
	g_free(list);
	return ok;
}

/* Parses the options after the command's name and checks its arguments. */
static bool
parse_command(const struct command *cmd, int *argc, char ***argv)
{
	GOptionContext *ctx = g_option_context_new(cmd->args);
	char *name = g_strconcat("bulrushctl ", cmd->name, NULL);
	bool ok;

	g_option_context_add_main_entries(ctx, common_options, NULL);
	if (cmd->options != NULL)
		g_option_context_add_main_entries(ctx, cmd->options, NULL);
	g_option_context_set_summary(ctx, cmd->summary);
	g_set_prgname(name);
	ok = parse_options(ctx, argc, argv);
	if (ok && *argc > 1 && strcmp((*argv)[1], "--") == 0) {
		(*argv)++;
		(*argc)--;
	}
	if (ok && (*argc - 1 < cmd->min_args || *argc - 1 > cmd->max_args)) {
		ctl_error("usage: %s %s", name, cmd->args);
		ok = false;
	}
	g_option_context_free(ctx);
	g_free(name);
	return ok;
}

/* Checks and copies the common options; false after printing an error. */
static bool
set_common_options(struct ctl *ctl)
{
	const char *format = common.format == NULL ? "text" : common.format;
	const char *entry = common.entry;

	ctl->json = strcmp(format, "json") == 0;
	if (!ctl->json && strcmp(format, "text") != 0) {
		ctl_error(
		    "--format: invalid value \"%s\", must be text or json",
		    format);
		return false;
	}
	if (common.timeout_ms < 1 || common.timeout_ms > INT32_MAX) {
		ctl_error("--timeout-ms: invalid value %" G_GINT64_FORMAT
			  ", must be from 1 to %d",
		    common.timeout_ms, INT32_MAX);
		return false;
	}
	if (entry == NULL)
		entry = g_getenv("BULRUSHTIDE_ENTRY");
	ctl->entries = g_strdup(entry);
	ctl->timeout_ms = common.timeout_ms;
	return true;
}

static enum ctl_exit
run(int argc, char **argv)
{
	struct ctl ctl = { 0 };
	const struct command *cmd;
	enum ctl_exit code;

	if (!parse_leading(&argc, &argv))
		return EXIT_USAGE;
	if (common.version) {
		puts("bulrushctl " BULRUSHTIDE_VERSION);
		return EXIT_OK;
	}
	if (argc < 2) {
		ctl_error(
		    "usage: bulrushctl COMMAND [ARGUMENT...]; see --help");
		return EXIT_USAGE;
	}
	cmd = find_command(argv[1]);
	if (cmd == NULL) {
		ctl_error("unknown command: %s; see --help", argv[1]);
		return EXIT_USAGE;
	}
	argv++;
	argc--;
	if (!parse_command(cmd, &argc, &argv) || !set_common_options(&ctl))
		return EXIT_USAGE;
	code = cmd->run(&ctl, argc - 1, argv + 1);
	client_free(ctl.client);
	g_free(ctl.entries);
	return code;
}

int
main(int argc, char **argv)
{
	enum ctl_exit code;

	setlocale(LC_CTYPE, "");
	signal(SIGPIPE, SIG_IGN);
	code = run(argc, argv);
	if (fflush(stdout) != 0) {
		ctl_error("can't write standard output");
		code = code == EXIT_OK ? EXIT_FAILED : code;
	}
	g_free(common.format);
	g_free(common.entry);
	return code;
}
