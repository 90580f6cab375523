/* Tests of the precedence and the checks of a program's settings. */
#include <string.h>

#include "settings.h"

static const struct setting table[] = {
	{ .name = "name",
	    .arg = "NAME",
	    .required = true,
	    .check = check_name },
	{ .name = "http", .arg = "IP:PORT", .check = check_address },
	{ .name = "log-level", .arg = "LEVEL", .fallback = "info" },
};

static struct settings *
read_args(GError **err, char *a, char *b)
{
	char *argv[] = { "test", a, b, NULL };
	int argc = a == NULL ? 1 : b == NULL ? 2 : 3;

	return settings_read(
	    table, G_N_ELEMENTS(table), argc, argv, "test", err);
}

/* A flag overrides the environment variable. */
static void
test_precedence(void)
{
	GError *err = NULL;
	struct settings *s;

	g_setenv("BULRUSHTIDE_NAME", "from-env", TRUE);
	s = read_args(&err, NULL, NULL);
	g_assert_no_error(err);
	g_assert_cmpstr(settings_get(s, "name"), ==, "from-env");
	g_assert_cmpstr(settings_get(s, "log-level"), ==, "info");
	g_assert_null(settings_get(s, "http"));
	settings_free(s);
	s = read_args(&err, "--name=from-flag", NULL);
	g_assert_cmpstr(settings_get(s, "name"), ==, "from-flag");
	settings_free(s);
	g_unsetenv("BULRUSHTIDE_NAME");
}

/* All invalid and missing settings are reported in one error. */
static void
test_invalid_settings(void)
{
	GError *err = NULL;

	g_assert_null(read_args(&err, "--http=host:1", NULL));
	g_assert_error(err, BT_ERROR, ERR_INVALID);
	g_assert_nonnull(strstr(err->message, "--name (BULRUSHTIDE_NAME)"));
	g_assert_nonnull(strstr(err->message, "invalid value \"host:1\""));
	g_clear_error(&err);
	g_assert_null(read_args(&err, "--name=A B", "stray"));
	g_assert_nonnull(err);
	g_clear_error(&err);
}

static void
test_addresses(void)
{
	g_assert_true(address_valid("127.0.0.1:80", false));
	g_assert_true(address_valid("[::1]:80", false));
	g_assert_true(address_valid("127.0.0.1:0", true));
	g_assert_false(address_valid("127.0.0.1:0", false));
	g_assert_false(address_valid("127.0.0.1:65536", false));
	g_assert_false(address_valid("localhost:80", false));
	g_assert_false(address_valid("127.0.0.1", false));
	g_assert_false(address_valid("", false));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/precedence", test_precedence);
	g_test_add_func("/settings/invalid", test_invalid_settings);
	g_test_add_func("/settings/addresses", test_addresses);
	return g_test_run();
}
