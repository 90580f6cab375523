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
	struct resources available = { 1000, 1 << 20, 1 };
	struct resources request = { 1000, 1 << 20, 1 };

	g_assert_true(resources_fit(&request, &available));
	request.accelerators = 2;
	g_assert_false(resources_fit(&request, &available));
	resources_add(&available, &request, 1);
	g_assert_cmpint(available.accelerators, ==, 3);
	resources_add(&available, &request, -1);
	g_assert_cmpint(available.millicpus, ==, 1000);
}

static void
test_rng_seed(void)
{
	struct rng a = { 7 };
	struct rng b = { 7 };
	struct rng c = { 8 };

	g_assert_cmpuint(rng_next(&a), ==, rng_next(&b));
	g_assert_cmpuint(rng_next(&a), !=, rng_next(&c));
	g_assert_cmpuint(rng_below(&a, 0), ==, 0);
	g_assert_cmpuint(rng_below(&a, 3), <, 3);
}

/*
 * Headers that declare more elements or bytes than the data holds, trailing
 * bytes, empty data and too deep nesting are rejected.
 */
static void
test_pack_valid(void)
{
	static const uint8_t too_deep[] = { 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
		0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91, 0x91,
		0x91, 0x01 };

	g_assert_true(pack_valid("\x92\x01\xa1x", 4));
	g_assert_true(pack_valid("\x81\x01\xcd\x01\x02", 5));
	g_assert_true(pack_valid("\xdd\0\0\0\x01\xc0", 6));
	g_assert_false(pack_valid("\xdd\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_valid("\xdf\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_valid("\xdb\xff\xff\xff\xff\x01", 6));
	g_assert_false(pack_valid("\x92\x01", 2));
	g_assert_false(pack_valid("\x01\x01", 2));
	g_assert_false(pack_valid("", 0));
	g_assert_false(pack_valid(too_deep, sizeof(too_deep)));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/kind-names", test_kind_names);
	g_test_add_func("/base/resources-fit", test_resources_fit);
	g_test_add_func("/base/rng-seed", test_rng_seed);
	g_test_add_func("/base/pack-valid", test_pack_valid);
	return g_test_run();
}
