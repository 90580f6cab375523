/* The daemon: reads the settings and runs one node. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"
#include "settings.h"

#define REPLICAS_MAX 9 /* in --replicas */
#define MS_PER_S 1000

static const char *
check_role(const char *value)
{
	if (strcmp(value, "entry") == 0 || strcmp(value, "replica") == 0 ||
	    strcmp(value, "entry,replica") == 0 ||
	    strcmp(value, "replica,entry") == 0)
		return NULL;
	return "entry, replica or entry,replica";
}

static const char *
check_level(const char *value)
{
	GLogLevelFlags level;

	if (logs_parse_level(value, &level))
		return NULL;
	return "debug, info, warning or error";
}

static const char *
check_permille(const char *value)
{
	if (g_ascii_string_to_unsigned(value, 10, 0, 1000, NULL, NULL))
		return NULL;
	return "a whole number from 0 to 1000";
}

static const char *
check_grace(const char *value)
{
	if (g_ascii_string_to_unsigned(value, 10, 1, 600, NULL, NULL))
		return NULL;
	return "a whole number from 1 to 600";
}

static const char *
check_snapshot_entries(const char *value)
{
	if (g_ascii_string_to_unsigned(value, 10, 50, 1000000, NULL, NULL))
		return NULL;
	return "a whole number from 50 to 1000000";
}

/* Parses NAME@IP:PORT,... into out, if not NULL. Returns false if the list is
 * malformed, names a replica twice or does not have 1 to REPLICAS_MAX. */
static bool
split_replicas(const char *value, GArray *out)
{
	char **parts = g_strsplit(value, ",", -1);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (int i = 0; parts[i] != NULL; i++) {
		char *at = strchr(parts[i], '@');
		struct replica_endpoint r;

		if (at == NULL || !address_valid(at + 1, false)) {
			ok = false;
			break;
		}
		*at = '\0';
		if (check_name(parts[i]) != NULL ||
		    !g_hash_table_add(names, parts[i])) {
			ok = false;
			break;
		}
		if (out == NULL)
			continue;
		r.name = g_strdup(parts[i]);
		r.address = g_strdup(at + 1);
		g_array_append_val(out, r);
	}
	ok = ok && g_hash_table_size(names) > 0 &&
	    g_hash_table_size(names) <= REPLICAS_MAX;
	g_hash_table_unref(names);
	g_strfreev(parts);
	return ok;
}

static const char *
check_replicas(const char *value)
{
	if (split_replicas(value, NULL))
		return NULL;
	return "NAME@IP:PORT,... with 1 to 9 distinct names";
}

static const struct setting setting_table[] = {
	{ "name", "NAME", NULL, true, check_name,
	    "This process's name, unique in the cell" },
	{ "region", "NAME", "local", false, check_name, "Region of this VM" },
	{ "data-center", "NAME", "local", false, check_name,
	    "Data centre of this VM" },
	{ "role", "ROLE", "entry,replica", false, check_role,
	    "entry, replica or entry,replica" },
	{ "http", "IP:PORT", NULL, true, check_address,
	    "Listen address for HTTP" },
	{ "peer", "IP:PORT", NULL, false, check_address,
	    "Listen address for other processes (replicas)" },
	{ "replicas", "LIST", NULL, true, check_replicas,
	    "NAME@IP:PORT,... of all replicas" },
	{ "data-dir", "DIR", NULL, false, NULL,
	    "Directory of the log (replicas)" },
	{ "snapshot-entries", "N", "10000", false, check_snapshot_entries,
	    "Log entries between two snapshots (replicas)" },
	{ "trace-permille", "N", "1000", false, check_permille,
	    "Requests per 1000 that are traced if they have no traceparent" },
	{ "grace-s", "N", "10", false, check_grace,
	    "Longest duration of a graceful stop in seconds" },
	{ "log-level", "LEVEL", "info", false, check_level,
	    "debug, info, warning or error" },
};

/* Checks the settings that depend on each other. */
static bool
check_combination(
    const struct settings *s, const struct node_conf *conf, GError **err)
{
	GString *errors = g_string_new(NULL);
	bool named = false;

	for (guint i = 0; i < conf->replicas->len; i++)
		named |= strcmp(g_array_index(
				    conf->replicas, struct replica_endpoint, i)
				    .name,
			     conf->name) == 0;
	if (conf->replica && conf->peer_address == NULL)
		g_string_append(errors,
		    "--peer (BULRUSHTIDE_PEER): not set, but required for a "
		    "replica\n");
	if (conf->replica && conf->data_dir == NULL)
		g_string_append(errors,
		    "--data-dir (BULRUSHTIDE_DATA_DIR): not set, but required "
		    "for a replica\n");
	if (conf->replica && !named)
		g_string_append_printf(errors,
		    "--replicas (BULRUSHTIDE_REPLICAS): does not name this "
		    "replica, %s\n",
		    conf->name);
	if (errors->len > 0) {
		g_string_truncate(errors, errors->len - 1);
		g_set_error_literal(err, BT_ERROR, ERR_INVALID, errors->str);
	}
	g_string_free(errors, TRUE);
	return *err == NULL;
}

static struct node_conf
read_conf(const struct settings *s)
{
	const char *role = settings_get(s, "role");
	struct node_conf conf = { .name = g_strdup(settings_get(s, "name")),
		.region = g_strdup(settings_get(s, "region")),
		.data_center = g_strdup(settings_get(s, "data-center")),
		.http_address = g_strdup(settings_get(s, "http")),
		.peer_address = g_strdup(settings_get(s, "peer")),
		.data_dir = g_strdup(settings_get(s, "data-dir")),
		.entry = strstr(role, "entry") != NULL,
		.replica = strstr(role, "replica") != NULL,
		.replicas =
		    g_array_new(FALSE, TRUE, sizeof(struct replica_endpoint)) };

	conf.snapshot_entries =
	    g_ascii_strtoull(settings_get(s, "snapshot-entries"), NULL, 10);
	conf.trace_permille =
	    (int)strtol(settings_get(s, "trace-permille"), NULL, 10);
	conf.grace_ms = strtol(settings_get(s, "grace-s"), NULL, 10) * MS_PER_S;
	(void)split_replicas(settings_get(s, "replicas"), conf.replicas);
	return conf;
}

static int
usage_error(GError *err)
{
	fprintf(stderr, "bulrushtided: %s\n", err->message);
	g_error_free(err);
	return 2;
}

static void
on_signal(evutil_socket_t signal, short what, void *arg)
{
	node_drain(arg);
}

int
main(int argc, char **argv)
{
	GError *err = NULL;
	GLogLevelFlags level = G_LOG_LEVEL_INFO;
	struct settings *s;
	struct node_conf conf;
	struct node *node;
	struct event *term;
	struct event *interrupt;
	sigset_t before;

	/* Until they are handled. */
	hold_signals(&before);
	g_set_prgname("bulrushtided");
	s = settings_read(setting_table, G_N_ELEMENTS(setting_table), argc,
	    argv, "Runs one process of a bulrushtide cell.", &err);
	if (s == NULL)
		return usage_error(err);
	conf = read_conf(s);
	(void)logs_parse_level(settings_get(s, "log-level"), &level);
	if (!check_combination(s, &conf, &err))
		return usage_error(err);
	settings_free(s);
	logs_init(conf.name, level);
	signal(SIGPIPE, SIG_IGN);
	node = node_new(&conf, &err);
	if (node == NULL) {
		fprintf(stderr, "bulrushtided: %s\n", err->message);
		g_error_free(err);
		return 1;
	}
	term = evsignal_new(node->base, SIGTERM, on_signal, node);
	interrupt = evsignal_new(node->base, SIGINT, on_signal, node);
	event_add(term, NULL);
	event_add(interrupt, NULL);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	node_run(node);
	/* Without a handler one would end the process while it frees its parts.
	 */
	hold_signals(NULL);
	event_free(term);
	event_free(interrupt);
	node_free(node);
	return 0;
}
