#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

#define NAME_MAX_LEN 63
#define ENV_PREFIX "BULRUSHTIDE_"

struct settings {
	GHashTable *values; /* setting name (char *) to value (char *) */
};

static char *
env_name(const char *name)
{
	char *upper = g_ascii_strup(name, -1);
	char *env = g_strconcat(ENV_PREFIX, upper, NULL);

	g_strdelimit(env, "-", '_');
	g_free(upper);
	return env;
}

/* Parses argv into flags: one string for each setting, NULL if not given. */
static bool
read_flags(const struct setting *table, size_t count, int argc, char **argv,
    const char *summary, char **flags, GError **err)
{
	GOptionEntry *entries = g_new0(GOptionEntry, count + 2);
	gboolean version = FALSE;
	GOptionContext *ctx = g_option_context_new(NULL);
	char **copy = g_new0(char *, argc + 1);
	bool ok;

	for (int i = 0; i < argc; i++)
		copy[i] = g_strdup(argv[i]);
	for (size_t i = 0; i < count; i++) {
		entries[i] = (GOptionEntry){ .long_name = table[i].name,
			.arg = G_OPTION_ARG_STRING,
			.arg_data = &flags[i],
			.description = table[i].help,
			.arg_description = table[i].arg };
	}
	entries[count] = (GOptionEntry){ .long_name = "version",
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &version,
		.description = "Print the version and exit" };
	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse_strv(ctx, &copy, err);
	if (ok && version) {
		printf("%s %s\n", g_get_prgname(), BULRUSHTIDE_VERSION);
		exit(0);
	}
	if (ok && copy[0] != NULL && copy[1] != NULL) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "unexpected argument \"%s\": only flags are allowed",
		    copy[1]);
		ok = false;
	}
	g_strfreev(copy);
	g_option_context_free(ctx);
	g_free(entries);
	return ok;
}

/* Stores the value of a setting; adds a line to errors if it is invalid. */
static void
store_setting(
    struct settings *s, const struct setting *t, char *flag, GString *errors)
{
	char *env = env_name(t->name);
	const char *value = flag;
	const char *allowed;

	if (value == NULL)
		value = g_getenv(env);
	if (value == NULL)
		value = t->fallback;
	if (value == NULL && t->required) {
		g_string_append_printf(errors,
		    "--%s (%s): required, but not set; must be %s\n", t->name,
		    env, t->arg);
	}
	if (value != NULL) {
		allowed = t->check == NULL ? NULL : t->check(value);
		if (allowed != NULL)
			g_string_append_printf(errors,
			    "--%s (%s): invalid value \"%s\", must be %s\n",
			    t->name, env, value, allowed);
		g_hash_table_insert(
		    s->values, g_strdup(t->name), g_strdup(value));
	}
	g_free(env);
}

struct settings *
settings_read(const struct setting *table, size_t count, int argc, char **argv,
    const char *summary, GError **err)
{
	struct settings *s = g_new0(struct settings, 1);
	char **flags = g_new0(char *, count);
	GString *errors = g_string_new(NULL);
	bool ok;

	s->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ok = read_flags(table, count, argc, argv, summary, flags, err);
	for (size_t i = 0; ok && i < count; i++)
		store_setting(s, &table[i], flags[i], errors);
	if (ok && errors->len > 0) {
		g_string_truncate(errors, errors->len - 1);
		g_set_error_literal(err, BT_ERROR, ERR_INVALID, errors->str);
		ok = false;
	}
	for (size_t i = 0; i < count; i++)
		g_free(flags[i]);
	g_free(flags);
	g_string_free(errors, TRUE);
	if (ok)
		return s;
	settings_free(s);
	return NULL;
}

void
settings_free(struct settings *s)
{
	if (s == NULL)
		return;
	g_hash_table_unref(s->values);
	g_free(s);
}

const char *
settings_get(const struct settings *s, const char *name)
{
	return g_hash_table_lookup(s->values, name);
}

const char *
check_name(const char *value)
{
	static const char allowed[] =
	    "1 to 63 of lower-case letters, digits, '-', '.' and '_'";
	size_t len = strlen(value);

	if (len == 0 || len > NAME_MAX_LEN)
		return allowed;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_islower(value[i]) && !g_ascii_isdigit(value[i]) &&
		    strchr("-._", value[i]) == NULL)
			return allowed;
	return NULL;
}

bool
address_valid(const char *text, bool zero_port)
{
	const char *colon = strrchr(text, ':');
	char ip[INET6_ADDRSTRLEN + 2];
	unsigned char bytes[16];
	guint64 port;
	size_t len;

	if (colon == NULL)
		return false;
	len = (size_t)(colon - text);
	if (len >= sizeof(ip) ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, zero_port ? 0 : 1, 65535, &port, NULL))
		return false;
	memcpy(ip, text, len);
	ip[len] = '\0';
	if (len > 2 && ip[0] == '[' && ip[len - 1] == ']') {
		ip[len - 1] = '\0';
		return inet_pton(AF_INET6, ip + 1, bytes) == 1;
	}
	return inet_pton(AF_INET, ip, bytes) == 1;
}

const char *
check_address(const char *value)
{
	if (address_valid(value, false))
		return NULL;
	return "IP:PORT with a port from 1 to 65535 ([IP]:PORT for IPv6)";
}
