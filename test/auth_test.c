/* Tests of the key index. */
#include <string.h>

#include "auth.h"

#define MANY_OWNERS 500
#define KEYS_EACH 4

/* Asserts who holds a key. */
static void
assert_owner(const struct auth *a, const char *key, guint owner)
{
	guint found = owner + 1;

	g_assert_true(auth_find(a, key, &found));
	g_assert_cmpuint(found, ==, owner);
}

/* Asserts that nobody holds a key; *owner is left as it was. */
static void
assert_unknown(const struct auth *a, const char *key)
{
	guint found = 77;

	g_assert_false(auth_find(a, key, &found));
	g_assert_cmpuint(found, ==, 77);
}

/* Guards against a key that is accepted for another owner, or that is accepted
 * because it resembles a known one. */
static void
test_find(void)
{
	struct auth *a = auth_new();

	g_assert_true(auth_add(a, "key-1", 0));
	g_assert_true(auth_add(a, "key-2", 0));
	g_assert_true(auth_add(a, "key-3", 5));
	assert_owner(a, "key-1", 0);
	assert_owner(a, "key-2", 0);
	assert_owner(a, "key-3", 5);
	assert_unknown(a, "key-4");
	assert_unknown(a, "key-");
	assert_unknown(a, "key-11");
	assert_unknown(a, "KEY-1");
	assert_unknown(a, " key-1");
	assert_unknown(a, "");
	auth_free(a);
}

/* Guards against an empty index, as of an empty list of organisations, that
 * accepts a key. */
static void
test_empty(void)
{
	struct auth *a = auth_new();

	assert_unknown(a, "");
	assert_unknown(a, "key");
	auth_free(a);
	auth_free(NULL);
}

/* Guards against a key of two owners: the first keeps it. */
static void
test_second_owner(void)
{
	struct auth *a = auth_new();

	g_assert_true(auth_add(a, "key", 1));
	g_assert_false(auth_add(a, "key", 2));
	assert_owner(a, "key", 1);
	g_assert_true(auth_add(a, "key", 1));
	assert_owner(a, "key", 1);
	auth_free(a);
}

static char *
key_of(guint owner, guint number)
{
	return g_strdup_printf("bt_%08x_%u", owner * 2654435761U, number);
}

/* Guards against entries that are lost or mixed up in a large index. */
static void
test_many(void)
{
	struct auth *a = auth_new();

	for (guint i = 0; i < MANY_OWNERS * KEYS_EACH; i++) {
		char *key = key_of(i / KEYS_EACH, i % KEYS_EACH);

		g_assert_true(auth_add(a, key, i / KEYS_EACH));
		g_free(key);
	}
	for (guint i = 0; i < MANY_OWNERS * KEYS_EACH; i++) {
		char *key = key_of(i / KEYS_EACH, i % KEYS_EACH);
		char *other = key_of(i / KEYS_EACH, KEYS_EACH);

		assert_owner(a, key, i / KEYS_EACH);
		assert_unknown(a, other);
		g_free(other);
		g_free(key);
	}
	auth_free(a);
}

/* Guards against keys that are only compared up to some length. */
static void
test_long_keys(void)
{
	struct auth *a = auth_new();
	char *one = g_strnfill(1000, 'k');
	char *two = g_strnfill(1000, 'k');

	two[999] = 'l';
	g_assert_true(auth_add(a, one, 0));
	g_assert_true(auth_add(a, two, 1));
	assert_owner(a, one, 0);
	assert_owner(a, two, 1);
	g_free(one);
	g_free(two);
	auth_free(a);
}

/* The first digits of SHA-256; FIPS 180-4 has the values of "abc" and "".
 * Guards against a fingerprint that operators can't compute themselves or that
 * has parts of the key. */
static void
test_fingerprint(void)
{
	char out[AUTH_FINGERPRINT_DIGITS + 1];

	auth_fingerprint("abc", out);
	g_assert_cmpstr(out, ==, "ba7816bf");
	auth_fingerprint("", out);
	g_assert_cmpstr(out, ==, "e3b0c442");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/auth/find", test_find);
	g_test_add_func("/auth/empty", test_empty);
	g_test_add_func("/auth/second-owner", test_second_owner);
	g_test_add_func("/auth/many", test_many);
	g_test_add_func("/auth/long-keys", test_long_keys);
	g_test_add_func("/auth/fingerprint", test_fingerprint);
	return g_test_run();
}
