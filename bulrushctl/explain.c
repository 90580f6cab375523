/* Where a job would go now, and why, without submitting it. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define KEY_VARIABLE "BULRUSHTIDE_KEY"

/* Option values, set by GLib's parser. */
static struct {
	char *host;
	char *path;
	char *key_file;
} opt;

static const GOptionEntry explain_options[] = {
	{ "host", 0, 0, G_OPTION_ARG_STRING, &opt.host,
	    "host of the submission", "HOST" },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &opt.path,
	    "path of the submission; may end without a job's id", "PATH" },
	{ "key-file", 0, 0, G_OPTION_ARG_FILENAME, &opt.key_file,
	    "file with the key (default: $" KEY_VARIABLE ")", "FILE" },
	{ .long_name = NULL },
};

static int64_t
int_of(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static const char *
string_of(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s == NULL ? "none" : s;
}

/* Prints a label and a time; null is a time that is not known. */
static void
show_ms(const char *label, const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_integer(v))
		printf("%s in %" G_GINT64_FORMAT " ms", label,
		    (gint64)json_integer_value(v));
	else
		printf("%s not known", label);
}

static void
show_passed_over(const json_t *step)
{
	json_t *reasons = json_object_get(step, "passed_over");
	const char *name;
	const json_t *count;
	const char *separator = "";

	printf("  workers considered: %" G_GINT64_FORMAT "; passed over: ",
	    int_of(step, "considered"));
	json_object_foreach(reasons, name, count)
	{
		printf("%s%" G_GINT64_FORMAT " %s", separator,
		    (gint64)json_integer_value(count), name);
		separator = ", ";
	}
	puts(*separator == '\0' ? "none" : "");
}

static void
show_step(const json_t *step)
{
	const json_t *workers = json_object_get(step, "workers");

	printf("\nstep %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT
	       " of %" G_GINT64_FORMAT " tasks would start now%s, ",
	    int_of(step, "step"), int_of(step, "placed"), int_of(step, "tasks"),
	    json_is_true(json_object_get(step, "gang")) ? " (gang)" : "");
	show_ms("start", step, "start_in_ms");
	show_ms(", end", step, "end_in_ms");
	printf("\n  waits for: %s; runs that would be stopped for it: "
	       "%" G_GINT64_FORMAT "\n",
	    string_of(step, "waits_for"), int_of(step, "would_stop"));
	show_passed_over(step);
	if (json_array_size(workers) > 0)
		print_table(workers);
	if (int_of(step, "workers_omitted") > 0)
		printf("  and %" G_GINT64_FORMAT " more workers\n",
		    int_of(step, "workers_omitted"));
}

static void
show_explanation(const json_t *body)
{
	const json_t *expected = json_object_get(body, "expected");
	bool accepted =
	    strcmp(string_of(body, "outcome"), outcome_name(OUT_ACCEPTED)) == 0;
	size_t i;
	const json_t *step;

	printf("%s%s\n", string_of(body, "outcome"),
	    accepted && json_is_true(json_object_get(body, "waits"))
		? ", waiting"
		: "");
	printf("queue %s, pool %s, organisation %s, key %s\n",
	    string_of(body, "queue"), string_of(body, "pool"),
	    string_of(body, "organisation"), string_of(body, "key"));
	if (json_object_get(body, "job_state") != NULL)
		printf("the job is known already: %s\n",
		    string_of(body, "job_state"));
	show_ms("expected start", expected, "start_in_ms");
	show_ms(", end", expected, "end_in_ms");
	printf(" (objective %" G_GINT64_FORMAT
	       " ms; last placement round %" G_GINT64_FORMAT " ms ago)\n",
	    int_of(expected, "objective_ms"),
	    int_of(expected, "last_round_age_ms"));
	json_array_foreach(json_object_get(body, "steps"), i, step)
	    show_step(step);
	if (int_of(body, "steps_omitted") > 0)
		printf("\n%" G_GINT64_FORMAT " more steps are ready\n",
		    int_of(body, "steps_omitted"));
}

/* Reads the key; sets *key to NULL if there is none. False after printing an
 * error. */
static bool
read_key(char **key)
{
	GError *err = NULL;

	*key = NULL;
	if (opt.key_file == NULL)
		*key = g_strdup(g_getenv(KEY_VARIABLE));
	else if (!g_file_get_contents(opt.key_file, key, NULL, &err)) {
		ctl_error("--key-file: %s", err->message);
		g_error_free(err);
		return false;
	}
	if (*key != NULL && *g_strstrip(*key) == '\0')
		g_clear_pointer(key, g_free);
	return true;
}

static char *
explain_path(void)
{
	char *host = ctl_path("/v1/explain?host=", opt.host);
	char *with_path = g_strconcat(host, "&path=", NULL);
	char *out = ctl_path(with_path, opt.path);

	g_free(host);
	g_free(with_path);
	return out;
}

static enum ctl_exit
call_explain(struct ctl *ctl, const char *key, const char *text)
{
	char *path = explain_path();
	struct request req = { .method = EVHTTP_REQ_POST,
		.path = path,
		.credential = key,
		.body = text };
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, &req, &reply);

	if (reply.body != NULL && ctl->json)
		print_json(reply.body);
	else if (json_object_get(reply.body, "queue") != NULL)
		show_explanation(reply.body);
	reply_clear(&reply);
	g_free(path);
	return code;
}

static enum ctl_exit
run_explain(struct ctl *ctl, int argc, char **argv)
{
	enum ctl_exit code = EXIT_FAILED;
	char *key;
	char *text;

	if (opt.host == NULL || opt.path == NULL) {
		ctl_error("--host and --path of the submission are needed");
		return EXIT_USAGE;
	}
	if (!read_key(&key))
		return EXIT_FAILED;
	text = ctl_read_object(argv[0]);
	if (text != NULL)
		code = call_explain(ctl, key, text);
	free(text);
	g_free(key);
	return code;
}

const struct command command_explain = {
	.name = "explain",
	.args = "FILE",
	.summary = "show where a job would go now, without submitting it",
	.min_args = 1,
	.max_args = 1,
	.options = explain_options,
	.run = run_explain,
};
