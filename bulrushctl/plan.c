#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Option values, set by GLib's parser. */
static struct {
	char *from;
} opt;

static const GOptionEntry plan_options[] = {
	{ "from", 0, 0, G_OPTION_ARG_FILENAME, &opt.from,
	    "compare with this folder instead of the cell", "DIR" },
	{ .long_name = NULL },
};

/* The teams that a change affects, each with its affected services. */
struct affected {
	GHashTable *teams; /* name to GPtrArray of service names */
	GPtrArray *order; /* team names in the order in which they were added */
};

static void
names_free(void *p)
{
	g_ptr_array_unref(p);
}

/* Adds a team and, unless NULL, a service of it. */
static void
add_affected(struct affected *a, const char *team, const char *service)
{
	GPtrArray *names = g_hash_table_lookup(a->teams, team);

	if (names == NULL) {
		names = g_ptr_array_new();
		g_hash_table_insert(a->teams, (char *)team, names);
		g_ptr_array_add(a->order, (char *)team);
	}
	if (service != NULL &&
	    !g_ptr_array_find_with_equal_func(
		names, service, g_str_equal, NULL))
		g_ptr_array_add(names, (char *)service);
}

/* Adds the services with this name and team; NULL matches any. */
static void
add_affected_services(struct affected *a, const struct config *c,
    const char *name, const char *team)
{
	for (guint i = 0; i < c->services->len; i++) {
		const struct config_service *s = c->services->pdata[i];

		if (name != NULL && strcmp(name, s->name) != 0)
			continue;
		if (team != NULL && strcmp(team, s->team) != 0)
			continue;
		add_affected(a, s->team, s->name);
	}
}

/* Adds the team with this name, or all if NULL, with all their services. */
static void
add_affected_teams(struct affected *a, const struct config *c, const char *name)
{
	for (guint i = 0; i < c->teams->len; i++) {
		const struct config_team *t = c->teams->pdata[i];

		if (name == NULL || strcmp(name, t->name) == 0)
			add_affected(a, t->name, NULL);
	}
	add_affected_services(a, c, NULL, name);
}

/* Adds what a line "SIGN KIND NAME: ..." of config_diff() affects. */
static void
add_affected_by_line(
    struct affected *a, const struct config *c, const char *line)
{
	char **words = g_strsplit(line, " ", 4);
	char *name = words[2];

	if (name != NULL)
		g_strdelimit(name, ":", '\0');
	if (g_str_has_prefix(line + 2, "policy"))
		add_affected_teams(a, c, NULL);
	else if (g_str_has_prefix(line + 2, "team "))
		add_affected_teams(a, c, name);
	else
		add_affected_services(a, c, name, NULL);
	g_strfreev(words);
}

/* Lists the teams and services that the changes affect. */
static json_t *
affected_json(
    const struct config *from, const struct config *to, const GPtrArray *lines)
{
	struct affected a = {
		.teams = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, names_free),
		.order = g_ptr_array_new(),
	};
	json_t *list = json_array();

	for (guint i = 0; i < lines->len; i++) {
		add_affected_by_line(&a, from, lines->pdata[i]);
		add_affected_by_line(&a, to, lines->pdata[i]);
	}
	for (guint i = 0; i < a.order->len; i++) {
		const char *team = a.order->pdata[i];
		const GPtrArray *names = g_hash_table_lookup(a.teams, team);
		json_t *services = json_array();

		for (guint j = 0; j < names->len; j++)
			json_array_append_new(
			    services, json_string(names->pdata[j]));
		json_array_append_new(list,
		    json_pack("{s:s,s:o}", "team", team, "services", services));
	}
	g_hash_table_unref(a.teams);
	g_ptr_array_unref(a.order);
	return list;
}

static json_t *
lines_json(const GPtrArray *lines)
{
	json_t *list = json_array();

	for (guint i = 0; i < lines->len; i++)
		json_array_append_new(list, json_string(lines->pdata[i]));
	return list;
}

static void
show_affected(const json_t *list)
{
	size_t i;
	size_t j;
	json_t *row;
	json_t *name;

	json_array_foreach(list, i, row)
	{
		json_t *services = json_object_get(row, "services");

		printf("affects team %s%s",
		    json_string_value(json_object_get(row, "team")),
		    json_array_size(services) > 0 ? ":" : "");
		json_array_foreach(services, j, name)
		    printf(" %s", json_string_value(name));
		putchar('\n');
	}
}

/* Prints the plan. The version is -1 if from is a folder. */
static void
show_plan(struct ctl *ctl, const struct config *from, const struct config *to,
    int64_t version)
{
	GPtrArray *lines = config_diff(from, to);
	json_t *affects = affected_json(from, to, lines);
	json_t *body = json_pack("{s:s,s:o,s:o}", "outcome", "done", "changes",
	    lines_json(lines), "affects", affects);

	if (version >= 0)
		json_object_set_new(body, "version", json_integer(version));
	if (ctl->json) {
		print_json(body);
	} else {
		if (version >= 0)
			printf("version %" G_GINT64_FORMAT " is in force\n",
			    version);
		for (guint i = 0; i < lines->len; i++)
			puts(lines->pdata[i]);
		show_affected(affects);
		if (lines->len == 0)
			puts("no change");
	}
	json_decref(body);
	g_ptr_array_unref(lines);
}

/* Reads the cell's current configuration; NULL after printing an error. */
static struct config *
config_from_cell(struct ctl *ctl, int64_t *version, enum ctl_exit *code)
{
	struct request req = { .method = EVHTTP_REQ_GET, .path = "/v1/config" };
	struct reply reply;
	struct config *c = NULL;
	struct dir *dir;

	*code = ctl_call(ctl, &req, &reply);
	if (*code == EXIT_OK) {
		*version = parse_config_version(reply.body);
		dir = dir_from_reply(reply.body);
		c = dir_parse_print(ctl, dir);
		dir_free(dir);
		if (c == NULL)
			*code = EXIT_FAILED;
	}
	reply_clear(&reply);
	return c;
}

static struct config *
config_from_dir(struct ctl *ctl, const char *path, enum ctl_exit *code)
{
	struct dir *dir = dir_load(path);
	struct config *c = dir == NULL ? NULL : dir_parse_print(ctl, dir);

	dir_free(dir);
	*code = c == NULL ? EXIT_FAILED : EXIT_OK;
	return c;
}

static enum ctl_exit
run_plan(struct ctl *ctl, int argc, char **argv)
{
	int64_t version = -1;
	enum ctl_exit code;
	struct config *to = config_from_dir(ctl, argv[0], &code);
	struct config *from;

	if (to == NULL)
		return code;
	from = opt.from != NULL ? config_from_dir(ctl, opt.from, &code)
				: config_from_cell(ctl, &version, &code);
	if (from != NULL)
		show_plan(ctl, from, to, version);
	config_unref(from);
	config_unref(to);
	return code;
}

const struct command command_plan = {
	.name = "plan",
	.args = "DIR",
	.summary = "show what applying a folder would change",
	.min_args = 1,
	.max_args = 1,
	.options = plan_options,
	.run = run_plan,
};
