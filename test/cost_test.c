/* Tests of the cost of delay, refusal and stops. */
#include "cost.h"

#define GIB (INT64_C(1) << 30)

static const struct resources workers = { 350 * 64000, 350 * 256 * GIB, 0 };

/* A short urgent job: 3 tasks of 9.9 cores and 1 s. */
static struct cost_job
urgent(void)
{
	return (struct cost_job){ .priority = 0,
		.entitled_permille = COST_ENTITLED_FULL,
		.first_ms = 1000,
		.objective_ms = 1750,
		.remaining_ms = 1000,
		.work = 29700 };
}

/* A gang of 16 tasks of 18 cores and 6.2 s. */
static struct cost_job
gang(void)
{
	return (struct cost_job){ .priority = 1,
		.entitled_permille = COST_ENTITLED_FULL,
		.first_ms = 1000,
		.objective_ms = 14640,
		.remaining_ms = 6200,
		.work = 1785600 };
}

/* Guards against a delay that costs nothing although the caller misses its
 * objective, or that costs more although the result was of no use before. */
static void
test_delay(void)
{
	struct cost_job job = urgent();
	int64_t in_time = cost_of_delay(&job, 1000 + 1750);
	int64_t late = cost_of_delay(&job, 1000 + 1751);
	int64_t still_late = cost_of_delay(&job, 1000 + 3 * 1750);
	int64_t useless = cost_of_delay(&job, 1000 + 3 * 1750 + 1);

	g_assert_cmpint(in_time, ==, 0);
	g_assert_cmpint(late, >, useless / 2);
	g_assert_cmpint(late, ==, still_late);
	g_assert_cmpint(still_late, <, useless);
	g_assert_cmpint(useless, ==, cost_value(&job));
	g_assert_cmpint(cost_of_delay(&job, 1000000), ==, useless);
}

/* Guards against work of a lower priority, or beyond the entitlement of its
 * organisation, that counts as much as other work. */
static void
test_value(void)
{
	struct cost_job job = urgent();
	int64_t most = cost_value(&job);

	job.priority = 1;
	g_assert_cmpint(cost_value(&job), <, most);
	job.priority = 1000;
	g_assert_cmpint(cost_value(&job), >, 0);
	job = urgent();
	job.entitled_permille = 250;
	g_assert_cmpint(cost_value(&job), ==, most / 4);
	job.entitled_permille = 4000;
	g_assert_cmpint(cost_value(&job), ==, most);
}

/* Guards against tasks that need much memory and few cores, or accelerators,
 * and seem to need no room. */
static void
test_work(void)
{
	struct resources cores = { 16000, GIB, 0 };
	struct resources memory = { 1000, 64 * GIB, 0 };
	struct resources device = { 1000, GIB, 1 };
	struct resources with_devices = { 64000, 256 * GIB, 4 };

	g_assert_cmpint(cost_work(&cores, 2, 1000, &workers), ==, 32000);
	g_assert_cmpint(cost_work(&memory, 1, 1000, &workers), ==, 16000);
	g_assert_cmpint(cost_work(&device, 1, 1000, &with_devices), ==, 16000);
	g_assert_cmpint(
	    cost_work(&cores, 1, 1000, &(struct resources){ 0 }), ==, 16000);
}

/* Guards against a refusal that seems free because the caller may return, and
 * against one of the last attempt that seems to leave it a chance. */
static void
test_refusal(void)
{
	struct cost_job job = urgent();
	int64_t back_in_time = 2000;
	int64_t last = cost_of_refusal(&job, 0, back_in_time);

	g_assert_cmpint(last, ==, cost_value(&job));
	for (uint32_t left = 1; left < COST_ATTEMPTS_MAX; left++) {
		int64_t cost = cost_of_refusal(&job, left, back_in_time);

		g_assert_cmpint(cost, <, last);
		g_assert_cmpint(cost, >, 0);
		g_assert_cmpint(
		    cost, <, cost_of_refusal(&job, left, 1000 + 2 * 1750));
		last = cost;
	}
}

/* Guards against stops that seem free: of a run whose job has little time to
 * spare, or that has much to repeat. */
static void
test_stop(void)
{
	struct cost_job job = gang();
	struct cost_stop stop = { .restart_ms = 500 };
	int64_t late = cost_of_delay(&job, 1000 + 14640 + 1);
	int64_t now_ms = 1000 + 14640 - 6200 - 1000;
	int64_t early = cost_of_stop(&job, 1000, &stop);
	int64_t cost;

	g_assert_cmpint(early, >, 0);
	g_assert_cmpint(early, <, late / 10);
	stop.lost_ms = 2000;
	cost = cost_of_stop(&job, now_ms, &stop);
	g_assert_cmpint(cost, ==, late);
	/* It is late anyway: only the repeated work counts. */
	now_ms += 2000;
	g_assert_cmpint(cost_of_stop(&job, now_ms, &stop), ==, 0);
	stop.lost_work = 36000;
	stop.price = 1000;
	g_assert_cmpint(cost_of_stop(&job, now_ms, &stop), ==, 36000);
	/* And then it is of no use any more. */
	now_ms = 1000 + 3 * 14640 - 6200 - 1000;
	g_assert_cmpint(cost_of_stop(&job, now_ms, &stop), >, 36000);
}

/* Guards against runs that are stopped for a job that has time to wait for
 * room, and against one that is late without having asked for any. */
static void
test_waiting(void)
{
	struct cost_job job = urgent();
	int64_t late = cost_of_delay(&job, 1000 + 1751);

	g_assert_cmpint(cost_of_waiting(&job, 1000), ==, 0);
	g_assert_cmpint(cost_of_waiting(&job, 1000 + 375), ==, late / 2);
	g_assert_cmpint(cost_of_waiting(&job, 1000 + 750), ==, late);
	g_assert_cmpint(cost_of_waiting(&job, 9000), ==, late);
}

/* Guards against large jobs that are preferred to many small ones that the
 * same room would serve. */
static void
test_per_work(void)
{
	struct cost_job small = urgent();
	struct cost_job large = gang();

	g_assert_cmpint(cost_per_work(&small, cost_value(&small)), >,
	    10 * cost_per_work(&large, cost_value(&large)));
	small.work = 0;
	g_assert_cmpint(cost_per_work(&small, cost_value(&small)), >, 0);
}

/* Guards against a job that needs much room and goes before one that needs
 * little and costs as much when late, or against work with much time that goes
 * before work of the same kind without any. */
static void
test_weight(void)
{
	struct cost_job small = urgent();
	struct cost_job large = gang();
	struct cost_job other = gang();

	g_assert_cmpint(
	    cost_weight(&small, 1000), >, cost_weight(&large, 1000));
	other.first_ms = -5000;
	g_assert_cmpint(
	    cost_weight(&other, 1000), >, cost_weight(&large, 1000));
	/* It has just become late: it is of use for long. */
	other.first_ms = 1000 - 14640;
	g_assert_cmpint(cost_weight(&other, 1000), <,
	    cost_per_work(&other, cost_value(&other)));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cost/delay", test_delay);
	g_test_add_func("/cost/value", test_value);
	g_test_add_func("/cost/work", test_work);
	g_test_add_func("/cost/refusal", test_refusal);
	g_test_add_func("/cost/stop", test_stop);
	g_test_add_func("/cost/waiting", test_waiting);
	g_test_add_func("/cost/per-work", test_per_work);
	g_test_add_func("/cost/weight", test_weight);
	return g_test_run();
}
