#include <stdio.h>

#include "ctl.h"

/* Prints the list under a key as a table; an empty list prints nothing. */
static void
show_list(const json_t *body, const char *key)
{
	const json_t *list = json_object_get(body, key);

	if (json_array_size(list) > 0)
		print_table(list);
}

static void
show_nodes(const json_t *body)
{
	show_list(body, "nodes");
}

static void
show_workers(const json_t *body)
{
	show_list(body, "workers");
}

static void
show_teams(const json_t *body)
{
	show_list(body, "teams");
}

static enum ctl_exit
run_status(struct ctl *ctl, int argc, char **argv)
{
	return ctl_get(ctl, "/v1/status", print_object);
}

static enum ctl_exit
run_nodes(struct ctl *ctl, int argc, char **argv)
{
	return ctl_get(ctl, "/v1/nodes", show_nodes);
}

static enum ctl_exit
run_workers(struct ctl *ctl, int argc, char **argv)
{
	return ctl_get(ctl, "/v1/workers", show_workers);
}

static enum ctl_exit
run_teams(struct ctl *ctl, int argc, char **argv)
{
	return ctl_get(ctl, "/v1/teams", show_teams);
}

const struct command command_status = {
	.name = "status",
	.args = "",
	.summary = "show the cell's state",
	.run = run_status,
};

const struct command command_nodes = {
	.name = "nodes",
	.args = "",
	.summary = "list entries and replicas",
	.run = run_nodes,
};

const struct command command_workers = {
	.name = "workers",
	.args = "",
	.summary = "list workers",
	.run = run_workers,
};

const struct command command_teams = {
	.name = "teams",
	.args = "",
	.summary = "list teams, their quotas and shares",
	.run = run_teams,
};
