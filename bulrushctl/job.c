#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define KEY_MAX 200 /* bytes of an Idempotency-Key header */
#define WAIT_MAX_MS (600 * 1000) /* upper limit of wait_ms at an entry */

/* Option values, set by GLib's parser. */
static struct {
	char *key;
	gint64 wait_ms;
	char *team;
	char *prefix;
} opt;

static const GOptionEntry submit_options[] = {
	{ "key", 0, 0, G_OPTION_ARG_STRING, &opt.key,
	    "Idempotency-Key header (default: random)", "KEY" },
	{ "wait-ms", 0, 0, G_OPTION_ARG_INT64, &opt.wait_ms,
	    "wait up to N ms for the job to end", "N" },
	{ .long_name = NULL },
};

static const GOptionEntry get_options[] = {
	{ "wait-ms", 0, 0, G_OPTION_ARG_INT64, &opt.wait_ms,
	    "wait up to N ms for the job to end", "N" },
	{ .long_name = NULL },
};

static const GOptionEntry cancel_options[] = {
	{ "team", 0, 0, G_OPTION_ARG_STRING, &opt.team,
	    "cancel jobs of this team; needs --prefix", "TEAM" },
	{ "prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix,
	    "cancel jobs whose names have this prefix", "PREFIX" },
	{ .long_name = NULL },
};

/*
 * Sends a request about a job and prints its reply. The reply to a submission
 * gets the trace id, with which "bulrushctl trace" shows its spans.
 */
static enum ctl_exit
job_call(struct ctl *ctl, const struct request *req)
{
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, req, &reply);

	if (reply.body != NULL && req->key != NULL)
		json_object_set_new(reply.body, "trace",
		    json_string(client_trace_id(ctl->client)));
	if (reply.body != NULL && ctl->json)
		print_json(reply.body);
	else if (reply.body != NULL &&
	    json_object_get(reply.body, "job") != NULL)
		print_object(reply.body);
	reply_clear(&reply);
	return code;
}

static bool
check_wait_ms(void)
{
	if (opt.wait_ms >= 0 && opt.wait_ms <= WAIT_MAX_MS)
		return true;
	ctl_error("--wait-ms: invalid value %" G_GINT64_FORMAT
		  ", must be from 0 to %d",
	    opt.wait_ms, WAIT_MAX_MS);
	return false;
}

/* Appends the query parameter wait_ms, if set, to a path that it frees. */
static char *
append_wait_ms(char *path)
{
	char *s;

	if (opt.wait_ms == 0)
		return path;
	s = g_strdup_printf("%s?wait_ms=%" G_GINT64_FORMAT, path, opt.wait_ms);
	g_free(path);
	return s;
}

char *
ctl_read_object(const char *file)
{
	json_error_t err;
	json_t *body = strcmp(file, "-") == 0
	    ? json_loadf(stdin, JSON_REJECT_DUPLICATES, &err)
	    : json_load_file(file, JSON_REJECT_DUPLICATES, &err);
	char *text;

	if (!json_is_object(body)) {
		if (body != NULL)
			ctl_error("%s: not a JSON object", file);
		else
			ctl_error("%s:%d: %s", file, err.line, err.text);
		json_decref(body);
		return NULL;
	}
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Returns the --key value or a random key; NULL after printing an error. */
static char *
submit_key(void)
{
	if (opt.key == NULL)
		return g_strdup_printf("ctl-%016" G_GINT64_MODIFIER
				       "x%016" G_GINT64_MODIFIER "x",
		    random_id(), random_id());
	for (const char *s = opt.key; *s != '\0'; s++) {
		if (!g_ascii_isgraph(*s))
			*opt.key = '\0';
	}
	if (*opt.key != '\0' && strlen(opt.key) <= KEY_MAX)
		return g_strdup(opt.key);
	ctl_error(
	    "--key: must be 1 to %d printable ASCII characters without spaces",
	    KEY_MAX);
	return NULL;
}

static enum ctl_exit
run_submit(struct ctl *ctl, int argc, char **argv)
{
	char *key = check_wait_ms() ? submit_key() : NULL;
	char *body;
	char *path;
	enum ctl_exit code;

	if (key == NULL)
		return EXIT_USAGE;
	body = ctl_read_object(argv[0]);
	if (body == NULL) {
		g_free(key);
		return EXIT_FAILED;
	}
	path = append_wait_ms(g_strdup("/v1/jobs"));
	code = job_call(ctl,
	    &(struct request){ .method = EVHTTP_REQ_POST,
		.path = path,
		.key = key,
		.body = body,
		.wait_ms = opt.wait_ms });
	if (code == EXIT_UNKNOWN)
		ctl_error(
		    "it is safe to send the same request again with --key=%s",
		    key);
	g_free(path);
	free(body);
	g_free(key);
	return code;
}

static enum ctl_exit
run_get(struct ctl *ctl, int argc, char **argv)
{
	char *path;
	enum ctl_exit code;

	if (!check_wait_ms())
		return EXIT_USAGE;
	path = append_wait_ms(ctl_path("/v1/jobs/", argv[0]));
	code = job_call(ctl,
	    &(struct request){ .method = EVHTTP_REQ_GET,
		.path = path,
		.wait_ms = opt.wait_ms });
	g_free(path);
	return code;
}

/* Sends a cancellation and prints its reply. */
static enum ctl_exit
cancel_call(struct ctl *ctl, const struct request *req)
{
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, req, &reply);

	if (reply.body != NULL && ctl->json)
		print_json(reply.body);
	else if (code == EXIT_OK)
		print_object(reply.body);
	reply_clear(&reply);
	return code;
}

static enum ctl_exit
cancel_by_prefix(struct ctl *ctl)
{
	json_t *body =
	    json_pack("{s:s,s:s}", "team", opt.team, "name_prefix", opt.prefix);
	char *text = json_dumps(body, JSON_COMPACT);
	enum ctl_exit code = cancel_call(ctl,
	    &(struct request){ .method = EVHTTP_REQ_POST,
		.path = "/v1/jobs/cancel",
		.body = text,
		.cancels = true });

	free(text);
	json_decref(body);
	return code;
}

static enum ctl_exit
cancel_one(struct ctl *ctl, const char *job)
{
	char *path = ctl_path("/v1/jobs/", job);
	enum ctl_exit code = cancel_call(ctl,
	    &(struct request){
		.method = EVHTTP_REQ_DELETE, .path = path, .cancels = true });

	g_free(path);
	return code;
}

static enum ctl_exit
run_cancel(struct ctl *ctl, int argc, char **argv)
{
	if (argc == 1 && opt.team == NULL && opt.prefix == NULL)
		return cancel_one(ctl, argv[0]);
	if (argc == 0 && opt.team != NULL && opt.prefix != NULL)
		return cancel_by_prefix(ctl);
	ctl_error("usage: bulrushctl cancel JOB | --team=TEAM --prefix=PREFIX");
	return EXIT_USAGE;
}

const struct command command_submit = {
	.name = "submit",
	.args = "FILE|-",
	.summary = "submit a job",
	.min_args = 1,
	.max_args = 1,
	.options = submit_options,
	.run = run_submit,
};

const struct command command_get = {
	.name = "get",
	.args = "JOB",
	.summary = "show a job",
	.min_args = 1,
	.max_args = 1,
	.options = get_options,
	.run = run_get,
};

const struct command command_cancel = {
	.name = "cancel",
	.args = "JOB | --team=TEAM --prefix=PREFIX",
	.summary = "cancel a job or a team's jobs",
	.max_args = 1,
	.options = cancel_options,
	.run = run_cancel,
};
