#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Sends a change and prints its reply as JSON, or done as text. */
static enum ctl_exit
send_change(struct ctl *ctl, const struct request *req, const char *done)
{
	struct reply reply;
	enum ctl_exit code = ctl_call(ctl, req, &reply);

	if (reply.body != NULL && ctl->json)
		print_json(reply.body);
	else if (code == EXIT_OK)
		puts(done);
	reply_clear(&reply);
	return code;
}

static enum ctl_exit
run_drain(struct ctl *ctl, int argc, char **argv)
{
	char *node = ctl_path("/v1/nodes/", argv[0]);
	char *path = g_strconcat(node, "/drain", NULL);
	char *done = g_strconcat("draining ", argv[0], NULL);
	struct request req = {
		.method = EVHTTP_REQ_POST, .path = path, .body = "{}"
	};
	enum ctl_exit code = send_change(ctl, &req, done);

	g_free(done);
	g_free(path);
	g_free(node);
	return code;
}

static enum ctl_exit
send_replica(
    struct ctl *ctl, const char *action, const char *name, const char *address)
{
	json_t *body = json_pack("{s:s,s:s,s:s*}", "action", action, "name",
	    name, "address", address);
	char *text = json_dumps(body, JSON_COMPACT);
	char *done = g_strdup_printf("%s replica %s", action, name);
	struct request req = {
		.method = EVHTTP_REQ_POST, .path = "/v1/replicas", .body = text
	};
	enum ctl_exit code = send_change(ctl, &req, done);

	g_free(done);
	free(text);
	json_decref(body);
	return code;
}

static enum ctl_exit
run_replica(struct ctl *ctl, int argc, char **argv)
{
	char *at = strchr(argv[1], '@');
	enum ctl_exit code = EXIT_USAGE;

	if (strcmp(argv[0], "remove") == 0 && at == NULL)
		return send_replica(ctl, "remove", argv[1], NULL);
	if (strcmp(argv[0], "add") == 0 && at != NULL && at != argv[1]) {
		char *name = g_strndup(argv[1], at - argv[1]);

		code = send_replica(ctl, "add", name, at + 1);
		g_free(name);
		return code;
	}
	ctl_error("usage: bulrushctl replica add NAME@IP:PORT | remove NAME");
	return code;
}

const struct command command_drain = {
	.name = "drain",
	.args = "NODE",
	.summary = "stop a node gracefully",
	.min_args = 1,
	.max_args = 1,
	.run = run_drain,
};

const struct command command_replica = {
	.name = "replica",
	.args = "add NAME@IP:PORT | remove NAME",
	.summary = "add or remove a replica",
	.min_args = 2,
	.max_args = 2,
	.run = run_replica,
};
