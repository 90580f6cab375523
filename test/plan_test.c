/* Order, placement, making room and beliefs, each on the load it answers. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "plan.h"

#define GIB (INT64_C(1) << 30)

static struct plan_room
room(uint32_t worker, int64_t cores, uint32_t rack)
{
	return (struct plan_room){ .worker = worker,
		.free = { cores * 1000, 128 * GIB, 0 },
		.capacity = { 64000, 128 * GIB, 0 },
		.rack = rack,
		.pace = 1,
		.most = UINT32_MAX };
}

static struct plan_need
need(uint32_t count, int64_t cores, bool gang)
{
	return (struct plan_need){ .count = count,
		.each = { cores * 1000, GIB, 0 },
		.gang = gang,
		.far = 1 };
}

/* Work that can still be in time goes first, the most pressing before all;
 * what is late yields to it, what earns nothing any more comes last. */
static void
test_order(void)
{
	struct plan_claim urgent = { .accepted_ms = 1000,
		.objective_ms = 1750,
		.left_ms = 1000,
		.serial = 3 };
	struct plan_claim lax = { .accepted_ms = 0,
		.objective_ms = 16000,
		.left_ms = 3400,
		.serial = 1 };
	struct plan_claim late = { .accepted_ms = 0,
		.objective_ms = 1500,
		.left_ms = 1000,
		.serial = 0 };
	struct plan_claim overdue = { .accepted_ms = 0,
		.objective_ms = 500,
		.left_ms = 1000,
		.serial = 2 };

	g_assert_cmpint(plan_tier(&urgent, 1200), ==, PLAN_IN_TIME);
	g_assert_cmpint(plan_tier(&late, 1200), ==, PLAN_LATE);
	g_assert_cmpint(plan_tier(&overdue, 1200), ==, PLAN_OVERDUE);
	g_assert_cmpint(plan_compare(&urgent, &lax, 1200), <, 0);
	g_assert_cmpint(plan_compare(&lax, &late, 1200), <, 0);
	g_assert_cmpint(plan_compare(&late, &overdue, 1200), <, 0);
	g_assert_cmpint(plan_compare(&overdue, &late, 1200), >, 0);
}

/* Small tasks go where they fit tightest, so that large gaps stay whole. */
static void
test_tightest(void)
{
	struct plan_room a = room(1, 64, 1);
	struct plan_room b = room(2, 8, 1);
	struct plan_room *rooms[] = { &a, &b };
	struct plan_need n = need(2, 4, false);
	uint32_t pick[2];

	g_assert_cmpuint(plan_place(rooms, 2, &n, pick), ==, 2);
	g_assert_cmpuint(pick[0], ==, 1);
	g_assert_cmpuint(pick[1], ==, 1);
	g_assert_cmpint(b.free.millicpus, ==, 0);
	g_assert_cmpint(a.free.millicpus, ==, 64000);
}

static void
test_gang(void)
{
	struct plan_room a = room(1, 40, 1);
	struct plan_room b = room(2, 20, 2);
	struct plan_room *rooms[] = { &a, &b };
	struct plan_need n = need(4, 18, true);
	uint32_t pick[4];

	g_assert_cmpuint(plan_place(rooms, 2, &n, pick), ==, 0);
	g_assert_cmpint(a.free.millicpus, ==, 40000);
	g_assert_cmpint(b.free.millicpus, ==, 20000);
	n.count = 3;
	g_assert_cmpuint(plan_place(rooms, 2, &n, pick), ==, 3);
}

/* A gang that wants one rack gets one that holds it, if there is any. */
static void
test_colocated(void)
{
	struct plan_room a = room(1, 20, 1);
	struct plan_room b = room(2, 40, 2);
	struct plan_room c = room(3, 20, 1);
	struct plan_room *rooms[] = { &a, &b, &c };
	struct plan_need n = need(2, 18, true);
	uint32_t pick[3];

	n.colocated = true;
	g_assert_cmpuint(plan_place(rooms, 3, &n, pick), ==, 2);
	g_assert_cmpuint(rooms[pick[0]]->rack, ==, rooms[pick[1]]->rack);
	a = room(1, 20, 1);
	b = room(2, 20, 2);
	c = room(3, 20, 3);
	n.count = 3;
	g_assert_cmpuint(plan_place(rooms, 3, &n, pick), ==, 3);
}

static void
test_wishes(void)
{
	struct plan_room a = room(1, 64, 1);
	struct plan_room b = room(2, 64, 2);
	struct plan_room *rooms[] = { &a, &b };
	struct plan_need n = need(3, 1, false);
	uint32_t pick[3];

	n.per_worker = 1;
	g_assert_cmpuint(plan_place(rooms, 2, &n, pick), ==, 2);
	g_assert_cmpuint(pick[0], !=, pick[1]);
	a = room(1, 64, 1);
	b = room(2, 60, 2);
	n = need(1, 1, false);
	n.data_rack = 1;
	n.far = 2;
	g_assert_cmpuint(plan_place(rooms, 2, &n, pick), ==, 1);
	g_assert_cmpuint(pick[0], ==, 0);
}

/* A gang among small tasks with time to spare: as little as possible is
 * stopped, and nothing where room is free. */
static void
test_make_room(void)
{
	struct plan_room a = room(1, 10, 1);
	struct plan_room b = room(2, 2, 2);
	struct plan_site sites[2] = { { .room = &a }, { .room = &b } };
	struct plan_need n = need(2, 18, true);
	guint chosen = 0;

	for (int s = 0; s < 2; s++) {
		sites[s].victims =
		    g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
		for (int i = 0; i < 6; i++) {
			struct plan_victim v = { .need = { 4000, GIB, 0 } };

			g_array_append_val(sites[s].victims, v);
		}
	}
	g_assert_true(plan_make_room(sites, 2, &n));
	g_assert_cmpuint(sites[0].tasks + sites[1].tasks, ==, 2);
	for (int s = 0; s < 2; s++)
		for (guint i = 0; i < sites[s].victims->len; i++)
			chosen += g_array_index(
			    sites[s].victims, struct plan_victim, i)
				      .chosen;
	/* 10 + 8 for one; then 4 or 16 more for the other. */
	g_assert_cmpuint(chosen, <=, 6);
	n.count = 9;
	g_assert_false(plan_make_room(sites, 2, &n));
	g_array_unref(sites[0].victims);
	g_array_unref(sites[1].victims);
}

/* A normal deviate, from twelve uniform ones. */
static double
normal(struct rng *rng)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += (double)rng_below(rng, 1000000) / 1e6;
	return sum;
}

/* Estimates that say little are trusted little, good ones much. */
static void
test_belief(void)
{
	struct plan_belief rough = { 0 };
	struct plan_belief good = { 0 };
	struct rng rng = { 5 };

	g_assert_cmpint(plan_expect(&rough, 700), ==, 700);
	for (int i = 0; i < 400; i++) {
		double real = 6200 * exp(0.5 * normal(&rng));

		plan_learn(&rough, (int64_t)(real * exp(0.9 * normal(&rng))),
		    (int64_t)real);
		plan_learn(&good, (int64_t)(real * exp(0.1 * normal(&rng))),
		    (int64_t)real);
	}
	g_assert_cmpint(plan_expect(&rough, 600), >, 2500);
	g_assert_cmpint(plan_expect(&good, 600), <, 900);
	g_assert_cmpint(plan_expect(&good, 0), >, 4000);
	g_assert_cmpint(plan_expect(&good, 0), <, 9000);
}

static struct plan_candidate
candidate(uint32_t fits, enum plan_permit permit)
{
	return (struct plan_candidate){ .fits = fits, .permit = permit };
}

/* A gang whose permits are of several ages: those that hold count, and those
 * that end before the others are there are asked for again. */
static void
test_query_gang(void)
{
	struct plan_need five = need(5, 27, true);
	struct plan_candidate ages[] = { candidate(2, PLAN_PERMIT_HOLDS),
		candidate(2, PLAN_PERMIT_NONE), candidate(2, PLAN_PERMIT_ENDS),
		candidate(1, PLAN_PERMIT_ENDS),
		candidate(0, PLAN_PERMIT_ENDS) };
	struct plan_candidate few[] = { candidate(2, PLAN_PERMIT_HOLDS),
		candidate(2, PLAN_PERMIT_NONE),
		candidate(2, PLAN_PERMIT_UNKNOWN) };
	struct plan_candidate none[] = { candidate(2, PLAN_PERMIT_HOLDS),
		candidate(9, PLAN_PERMIT_NONE) };

	g_assert_cmpuint(plan_query(ages, 5, &five, false), ==, 2);
	g_assert_true(ages[2].named && ages[3].named);
	g_assert_false(ages[0].named || ages[1].named || ages[4].named);
	/* More have to be known before all members can start. */
	g_assert_cmpuint(plan_query(few, 3, &five, false), ==, 0);
	few[2].named = false;
	g_assert_cmpuint(plan_query(few, 3, &five, true), ==, 1);
	g_assert_cmpuint(plan_query(none, 2, &five, true), ==, 0);
}

/* Single tasks ask for some more room than they need, and for no more. */
static void
test_query_single(void)
{
	struct plan_need two = need(2, 6, false);
	struct plan_candidate all[40];
	uint32_t named;

	for (guint i = 0; i < 40; i++)
		all[i] = candidate(1, PLAN_PERMIT_UNKNOWN);
	named = plan_query(all, 40, &two, false);
	g_assert_cmpuint(named, >=, 10);
	g_assert_cmpuint(named, <, 20);
}

/* A worker that fails what it starts is on trial at once and shunned after
 * the second failure; one success and time bring it back. */
static void
test_doubt(void)
{
	struct plan_doubt d = { 0 };
	struct plan_room r = room(1, 60, 0);
	struct plan_need n = need(9, 10, false);

	g_assert_cmpint(plan_trust(&d, 0), ==, PLAN_TRUSTED);
	plan_doubt_ended(&d, false, false, 1000);
	g_assert_cmpint(plan_trust(&d, 1000), ==, PLAN_ON_TRIAL);
	g_assert_cmpint(plan_trust(&d, 1000 + 10000), ==, PLAN_TRUSTED);
	plan_doubt_ended(&d, true, false, 1100);
	g_assert_cmpint(plan_trust(&d, 1100), ==, PLAN_TRUSTED);
	plan_doubt_ended(&d, false, false, 1200);
	plan_doubt_ended(&d, false, false, 1300);
	g_assert_cmpint(plan_trust(&d, 1300), ==, PLAN_SHUNNED);
	/* It fails its trials: the waits get longer, up to a bound. */
	for (int i = 0; i < 9; i++)
		plan_doubt_ended(&d, false, false, d.until_ms);
	g_assert_cmpint(d.wait_ms, >, 1000);
	g_assert_cmpint(d.wait_ms, <, 3000);
	g_assert_cmpint(plan_trust(&d, d.until_ms), ==, PLAN_ON_TRIAL);
	/* On trial it takes one task, whatever its room. */
	r.most = 1;
	g_assert_cmpuint(plan_fits(&r, &n), ==, 1);
	r.most = UINT32_MAX;
	g_assert_cmpuint(plan_fits(&r, &n), ==, 6);
}

/* A job that fails wherever it runs does not have a worker shunned by two. */
static void
test_doubt_of_job(void)
{
	struct plan_doubt d = { 0 };

	plan_doubt_ended(&d, false, false, 1000);
	plan_doubt_ended(&d, false, true, 1000);
	g_assert_cmpint(plan_trust(&d, 1000), ==, PLAN_ON_TRIAL);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plan/order", test_order);
	g_test_add_func("/plan/tightest", test_tightest);
	g_test_add_func("/plan/gang", test_gang);
	g_test_add_func("/plan/colocated", test_colocated);
	g_test_add_func("/plan/wishes", test_wishes);
	g_test_add_func("/plan/make-room", test_make_room);
	g_test_add_func("/plan/query-gang", test_query_gang);
	g_test_add_func("/plan/query-single", test_query_single);
	g_test_add_func("/plan/doubt", test_doubt);
	g_test_add_func("/plan/doubt-of-job", test_doubt_of_job);
	g_test_add_func("/plan/belief", test_belief);
	return g_test_run();
}
