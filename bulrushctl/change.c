#include <stdio.h>
#include <string.h>

#include "ctl.h"

#define POLL_MS 100 /* interval at which apply --wait reads the versions */

/* Option values, set by GLib's parser. */
static struct {
	char *author;
	gboolean wait;
	gint64 if_version;
} opt = { .if_version = -1 };

static const GOptionEntry apply_options[] = {
	{ "author", 0, 0, G_OPTION_ARG_STRING, &opt.author,
	    "author of the change (default: the user name)", "NAME" },
	{ "wait", 0, 0, G_OPTION_ARG_NONE, &opt.wait,
	    "wait until every connected node has the new version", NULL },
	{ "if-version", 0, 0, G_OPTION_ARG_INT64, &opt.if_version,
	    "apply only if this is the current version", "N" },
	{ .long_name = NULL },
};

int64_t
parse_config_version(const json_t *body)
{
	return json_integer_value(json_object_get(body, "version"));
}

static enum ctl_exit
run_check(struct ctl *ctl, int argc, char **argv)
{
	struct dir *dir = dir_load(argv[0]);
	struct config *c = dir == NULL ? NULL : dir_parse_print(ctl, dir);
	char *digest;
	json_t *body;

	if (c == NULL) {
		dir_free(dir);
		return EXIT_FAILED;
	}
	digest = dir_digest(dir);
	body = json_pack("{s:s,s:i,s:i,s:i,s:s}", "outcome", "done", "sites",
	    (int)dir->files->len - 1, "teams", (int)c->teams->len, "services",
	    (int)c->services->len, "digest", digest);
	if (ctl->json)
		print_json(body);
	else
		print_object(body);
	json_decref(body);
	g_free(digest);
	config_unref(c);
	dir_free(dir);
	return EXIT_OK;
}

/* The progress of apply. */
struct progress {
	int64_t version;
	bool unchanged; /* it is the current version already: not sent */
	size_t nodes; /* connected nodes that have the version; 0: no --wait */
};

/* Prints the result of apply. */
static void
show_applied(struct ctl *ctl, const struct progress *p, const char *digest)
{
	const char *state = p->unchanged ? "unchanged" : "accepted";
	json_t *body =
	    json_pack("{s:s,s:s,s:I,s:s}", "outcome", "done", "state", state,
		"version", (json_int_t)p->version, "digest", digest);

	if (p->nodes > 0)
		json_object_set_new(
		    body, "nodes", json_integer((json_int_t)p->nodes));
	if (ctl->json)
		print_json(body);
	else
		printf("version %" G_GINT64_FORMAT " %s accepted%s\n",
		    p->version, p->unchanged ? "was" : "is",
		    p->unchanged ? " before" : "");
	if (!ctl->json && p->nodes > 0)
		printf("in force at all %zu connected nodes\n", p->nodes);
	json_decref(body);
}

/* The body of PUT /v1/config. */
static char *
put_body(const struct dir *dir, int64_t version)
{
	json_t *overlays = json_object();
	const struct config_text *base = dir_base(dir);
	json_t *body;
	char *text;

	for (guint i = 1; i < dir->files->len; i++) {
		const struct config_text *t = dir->files->pdata[i];

		json_object_set_new(
		    overlays, t->name, json_stringn(t->text, t->len));
	}
	body = json_pack("{s:I,s:s,s:o,s:o}", "version", (json_int_t)version,
	    "author", opt.author == NULL ? g_get_user_name() : opt.author,
	    "base", json_stringn(base->text, base->len), "overlays", overlays);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Prints the current version, its author and its digest after a conflict. */
static void
print_current_version(const struct reply *reply)
{
	ctl_error("current version is %" G_GINT64_FORMAT ", by %s, digest %s",
	    parse_config_version(reply->body), reply_string(reply, "author"),
	    reply_string(reply, "digest"));
}

/*
 * Sends the files as the given version. A conflict with a version of the same
 * digest is no failure: the same configuration was applied by another request.
 */
static enum ctl_exit
put_config(
    struct ctl *ctl, const struct dir *dir, const char *digest, int64_t version)
{
	char *body = put_body(dir, version);
	struct request req = {
		.method = EVHTTP_REQ_PUT, .path = "/v1/config", .body = body
	};
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, &req, &reply);
	bool same = strcmp(reply_string(&reply, "digest"), digest) == 0;

	if (code == EXIT_FAILED && reply.status == 409 && same)
		code = EXIT_OK;
	if (code == EXIT_FAILED && reply.status == 409)
		print_current_version(&reply);
	if (code == EXIT_UNKNOWN)
		ctl_error("it is safe to run apply again");
	if (code == EXIT_FAILED && ctl->json && reply.body != NULL)
		print_json(reply.body);
	reply_clear(&reply);
	free(body);
	return code;
}

/*
 * Returns the names of the nodes that are behind a version, or "cell" if only
 * the cell's own version is behind; NULL if none is. Caller frees.
 */
static char *
nodes_behind(const json_t *body, int64_t version)
{
	GString *s = g_string_new(NULL);
	size_t i;
	json_t *node;

	json_array_foreach(json_object_get(body, "nodes"), i, node)
	{
		const char *name =
		    json_string_value(json_object_get(node, "name"));

		if (parse_config_version(node) < version)
			g_string_append_printf(
			    s, " %s", name == NULL ? "?" : name);
	}
	if (parse_config_version(body) < version && s->len == 0)
		g_string_append(s, " cell");
	return g_string_free(s, s->len == 0);
}

/* Waits until every connected node has the version. */
static enum ctl_exit
wait_for_nodes(struct ctl *ctl, struct progress *p)
{
	int64_t deadline = mono_ms() + ctl->timeout_ms;
	struct request req = { .method = EVHTTP_REQ_GET, .path = "/v1/config" };
	struct reply reply;
	char *behind = NULL;
	enum ctl_exit code;

	for (;;) {
		code = ctl_call(ctl, &req, &reply);
		g_free(behind);
		behind = code == EXIT_OK ? nodes_behind(reply.body, p->version)
					 : g_strdup(" cell");
		p->nodes =
		    json_array_size(json_object_get(reply.body, "nodes"));
		reply_clear(&reply);
		if (code != EXIT_OK || behind == NULL ||
		    mono_ms() + POLL_MS >= deadline)
			break;
		client_sleep(ctl->client, POLL_MS);
	}
	if (behind != NULL) {
		ctl_error("version %" G_GINT64_FORMAT
			  " is accepted but not yet current at:%s",
		    p->version, behind);
		code = EXIT_FAILED;
	}
	g_free(behind);
	return code;
}

/* False after printing an error if --if-version is not the current version. */
static bool
check_if_version(const struct reply *reply)
{
	if (opt.if_version < 0 ||
	    opt.if_version == parse_config_version(reply->body))
		return true;
	ctl_error("conflict: --if-version=%" G_GINT64_FORMAT, opt.if_version);
	print_current_version(reply);
	return false;
}

/* Returns true if the cell's current configuration has this digest. */
static bool
same_digest(const struct reply *reply, const char *digest)
{
	struct dir *dir = dir_from_reply(reply->body);
	char *current = dir_digest(dir);
	bool same = strcmp(current, digest) == 0;

	g_free(current);
	dir_free(dir);
	return same && parse_config_version(reply->body) > 0;
}

static enum ctl_exit
apply(struct ctl *ctl, const struct dir *dir, const char *digest)
{
	struct request req = { .method = EVHTTP_REQ_GET, .path = "/v1/config" };
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, &req, &reply);
	struct progress p = { .version = parse_config_version(reply.body) };

	if (code == EXIT_OK) {
		p.unchanged = same_digest(&reply, digest);
		if (!p.unchanged && !check_if_version(&reply))
			code = EXIT_FAILED;
	}
	reply_clear(&reply);
	if (code != EXIT_OK)
		return code;
	if (!p.unchanged) {
		p.version++;
		code = put_config(ctl, dir, digest, p.version);
	}
	if (code == EXIT_OK && opt.wait)
		code = wait_for_nodes(ctl, &p);
	if (code == EXIT_OK)
		show_applied(ctl, &p, digest);
	return code;
}

static enum ctl_exit
run_apply(struct ctl *ctl, int argc, char **argv)
{
	struct dir *dir = dir_load(argv[0]);
	struct config *c = dir == NULL ? NULL : dir_parse_print(ctl, dir);
	enum ctl_exit code = EXIT_FAILED;
	char *digest;

	if (c != NULL) {
		digest = dir_digest(dir);
		code = apply(ctl, dir, digest);
		g_free(digest);
	}
	config_unref(c);
	dir_free(dir);
	return code;
}

/* Prints all but the files' contents, which only --format=json shows. */
static void
show_config(const json_t *body)
{
	json_t *brief = json_copy((json_t *)body);

	json_object_del(brief, "base");
	json_object_del(brief, "overlays");
	print_object(brief);
	json_decref(brief);
}

static enum ctl_exit
run_config(struct ctl *ctl, int argc, char **argv)
{
	return ctl_get(ctl, "/v1/config", show_config);
}

const struct command command_check = {
	.name = "check",
	.args = "DIR",
	.summary = "check a configuration folder",
	.min_args = 1,
	.max_args = 1,
	.run = run_check,
};

const struct command command_apply = {
	.name = "apply",
	.args = "DIR",
	.summary = "apply a configuration folder",
	.min_args = 1,
	.max_args = 1,
	.options = apply_options,
	.run = run_apply,
};

const struct command command_config = {
	.name = "config",
	.args = "",
	.summary = "show the current configuration",
	.run = run_config,
};
