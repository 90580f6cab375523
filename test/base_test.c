#include "base.h"
#include "pack.h"

static void
test_kind_names(void)
{
	enum kind kind;

	for (int i = 0; i < KIND_COUNT; i++) {
		g_assert_true(kind_parse(kind_name(i), &kind));
		g_assert_cmpint(kind, ==, i);
	}
	g_assert_false(kind_parse("cron", &kind));
}

static void
test_resources_fit(void)
{
	struct resources have = { 1000, 1 << 20, 1 };
	struct resources need = { 1000, 1 << 20, 1 };

	g_assert_true(resources_fit(&need, &have));
	need.accelerators = 2;
	g_assert_false(resources_fit(&need, &have));
	resources_add(&have, &need, 1);
	g_assert_cmpint(have.accelerators, ==, 3);
	resources_add(&have, &need, -1);
	g_assert_cmpint(have.millicpus, ==, 1000);
}

static void
test_rng_repeats(void)
{
	struct rng a = { 7 };
	struct rng b = { 7 };
	struct rng c = { 8 };

	g_assert_cmpuint(rng_next(&a), ==, rng_next(&b));
	g_assert_cmpuint(rng_next(&a), !=, rng_next(&c));
	g_assert_cmpuint(rng_below(&a, 0), ==, 0);
	g_assert_cmpuint(rng_below(&a, 3), <, 3);
}

/* A header that claims more than there is must not pass. */
static void
test_pack_sane(void)
{
	static const uint8_t deep[] = { 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
		0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
		0x91, 0x01 };

	g_assert_true(pack_sane("\x92\x01\xa1x", 4));
	g_assert_true(pack_sane("\x81\x01\xcd\x01\x02", 5));
	g_assert_true(pack_sane("\xdd\0\0\0\x01\xc0", 6));
	g_assert_false(pack_sane("\xdd\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_sane("\xdf\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_sane("\xdb\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_sane("\x92\x01", 2));
	g_assert_false(pack_sane("\x01\x01", 2));
	g_assert_false(pack_sane("", 0));
	g_assert_false(pack_sane(deep, sizeof(deep)));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/kind-names", test_kind_names);
	g_test_add_func("/base/resources-fit", test_resources_fit);
	g_test_add_func("/base/rng-repeats", test_rng_repeats);
	g_test_add_func("/base/pack-sane", test_pack_sane);
	return g_test_run();
}
