/* Tests of the admission of jobs under overload. */
#include "overload_replay.h"

#define GIB (INT64_C(1) << 30)
#define ROUND_MS 50
#define JOB_WORK 100000 /* of the jobs that wait */

/* 10 workers of 64 cores, with runs that end within the next two seconds. */
static struct admit_load
load_at(int64_t now_ms, int64_t used_permille)
{
	int64_t used = 640 * used_permille;
	struct admit_load l = { .now_ms = now_ms,
		.capacity = { 640000, 2560 * GIB, 0 },
		.used = { used, 2560 * GIB * used_permille / 2000, 0 } };
	struct resources run = { used / 8, GIB, 0 };

	for (int64_t t = 0; t < 8; t++)
		admit_load_add_run(&l, &run, t * ADMIT_BUCKET_MS);
	return l;
}

static struct admit_request
request_of(uint64_t id, int64_t now_ms, int64_t work)
{
	return (struct admit_request){ .id = id,
		.now_ms = now_ms,
		.job = { .priority = 1,
		    .entitled_permille = COST_ENTITLED_FULL,
		    .objective_ms = 4000,
		    .remaining_ms = 1000,
		    .work = work } };
}

/* Lets a load last for a time; jobs of so much work together wait. */
static int64_t
run_load(struct admit *a, int64_t from_ms, int64_t for_ms,
    int64_t used_permille, int64_t work)
{
	for (int64_t t = from_ms; t < from_ms + for_ms; t += ROUND_MS) {
		struct admit_load load = load_at(t, used_permille);
		struct cost_job job = request_of(1, t, JOB_WORK).job;

		job.first_ms = t;
		for (int64_t i = 0; i < work; i += JOB_WORK)
			admit_load_add(&load, &job, 1000);
		admit_update(a, &load);
	}
	return from_ms + for_ms;
}

/* Guards against refusals while workers have room, or just after they have
 * become full: a burst may pass. */
static void
test_room(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 690, 100000000);
	struct admit_request r = request_of(7, now, 100000);

	g_assert_true(admit_decide(a, &r).accept);
	now = run_load(a, now, 200, 1000, 100000000);
	r = request_of(8, now, 100000);
	g_assert_true(admit_decide(a, &r).accept);
	now = run_load(a, now, 2000, 1000, 100000000);
	r = request_of(9, now, 100000);
	g_assert_false(admit_decide(a, &r).accept);
	/* And room again: nothing waits any more. */
	now = run_load(a, now, 1000, 900, 0);
	r = request_of(10, now, 100000);
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

/* Guards against refusals of work that would be in time although the workers
 * are full: the queue ahead of it is short. */
static void
test_short_queue(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 100000);
	struct admit_request r = request_of(7, now, 10000);
	struct admit_decision out = admit_decide(a, &r);

	g_assert_true(admit_saturated(a));
	g_assert_true(out.accept);
	g_assert_cmpint(out.ahead_ms, <, 1000);
	admit_free(a);
}

/* Guards against a caller that returns at the announced time and finds that
 * later ones were served before it, and against one that returns for ever. */
static void
test_return(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_request first = request_of(7, now, 100000);
	struct admit_decision out = admit_decide(a, &first);
	int64_t back = now + out.retry_ms;

	g_assert_false(out.accept);
	g_assert_cmpint(out.attempt, ==, 1);
	/* The objective counts from the first attempt. */
	g_assert_cmpint(out.retry_ms, <=, 3 * 4000 - 1000);
	(void)run_load(a, now, out.retry_ms, 950, 100000);
	first.now_ms = back;
	out = admit_decide(a, &first);
	g_assert_true(out.accept);
	g_assert_cmpint(out.attempt, ==, 2);
	g_assert_cmpuint(admit_refused_count(a), ==, 0);
	admit_free(a);
}

/* Guards against callers that all return at the same time, and against a
 * delay that differs when the same decision is made twice. */
static void
test_spread(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	int64_t least = INT64_MAX;
	int64_t most = 0;

	for (uint64_t id = 1; id <= 50; id++) {
		struct admit_request r = request_of(id, now, 1000000);
		struct admit_decision out = admit_decide(a, &r);

		g_assert_false(out.accept);
		least = MIN(least, out.retry_ms);
		most = MAX(most, out.retry_ms);
	}
	g_assert_cmpint(most - least, >, 500);
	admit_free(a);
}

/* Guards against short urgent work that is refused together with large work
 * although it needs hardly any room. */
static void
test_small_first(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 8000000);
	struct admit_request large = request_of(7, now, 1800000);
	struct admit_request small = request_of(8, now, 3000);

	g_assert_false(admit_decide(a, &large).accept);
	small.job.priority = 0;
	g_assert_true(admit_decide(a, &small).accept);
	admit_free(a);
}

/* Guards against a job that is accepted because little waits before it,
 * although no run ends in its time. */
static void
test_long_runs(void)
{
	struct admit *a = admit_new();
	int64_t now = 1000;
	struct admit_request r;
	struct admit_decision out;

	for (; now < 6000; now += ROUND_MS) {
		struct resources run = { 640000, GIB, 0 };
		struct cost_job job = request_of(1, now, 1000).job;
		struct admit_load load = { .now_ms = now,
			.capacity = { 640000, 2560 * GIB, 0 },
			.used = run };

		job.first_ms = now;
		admit_load_add(&load, &job, 1000);
		admit_load_add_run(&load, &run, 60000);
		admit_update(a, &load);
	}
	r = request_of(7, now, 1000);
	out = admit_decide(a, &r);
	g_assert_false(out.accept);
	g_assert_cmpint(out.ahead_ms, >, 10000);
	admit_free(a);
}

/* Guards against refusals of what no load of the next seconds concerns. */
static void
test_exempt(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_request r = request_of(7, now, 1000000);

	r.exempt = true;
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

/* Guards against a table that grows with the number of refused callers. */
static void
test_bounded(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 200000000);

	for (uint64_t id = 1; id <= 2 * ADMIT_REFUSED_MAX; id++) {
		struct admit_request r = request_of(id, now, 10 * JOB_WORK);

		g_assert_false(admit_decide(a, &r).accept);
	}
	g_assert_cmpuint(admit_refused_count(a), ==, ADMIT_REFUSED_MAX);
	(void)run_load(a, now + 200000, 100, 500, 0);
	g_assert_cmpuint(admit_refused_count(a), ==, 0);
	admit_free(a);
}

/* Guards against quotients without workers. */
static void
test_no_workers(void)
{
	struct admit *a = admit_new();
	int64_t now = run_load(a, 1000, 5000, 950, 20000000);
	struct admit_load none = { .now_ms = now };
	struct admit_request r = request_of(7, now, 1000000);

	admit_update(a, &none);
	(void)admit_decide(a, &r);
	none.now_ms = now + 1000;
	admit_update(a, &none);
	r = request_of(8, now + 1000, 1000000);
	g_assert_true(admit_decide(a, &r).accept);
	admit_free(a);
}

/* Differences below a hundredth of the value of all jobs are those of a few
 * jobs, which differ with the seed. */
#define MARGIN(r) ((r).value / 100)
#define SEEDS 2
/* The platform reports the states of jobs for two minutes. */
#define WAIT_MAX_MS 120000

static void
add_result(struct replay_result *sum, const struct replay_result *r)
{
	sum->cost += r->cost;
	sum->value += r->value;
	sum->jobs += r->jobs;
	sum->in_time += r->in_time;
	sum->late += r->late;
	sum->useless += r->useless;
	sum->given_up += r->given_up;
	sum->refusals += r->refusals;
	sum->refusals_with_room += r->refusals_with_room;
	sum->stops += r->stops;
	sum->unfinished += r->unfinished;
	sum->most_stops = MAX(sum->most_stops, r->most_stops);
	sum->longest_wait_ms = MAX(sum->longest_wait_ms, r->longest_wait_ms);
	for (int i = 0; i < 3; i++) {
		sum->priority_in_time[i] += r->priority_in_time[i];
		sum->priority_jobs[i] += r->priority_jobs[i];
	}
}

static struct replay_result
replay(enum replay_load_kind kind, enum replay_rules_kind rules)
{
	struct replay_result sum = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct replay_load load = replay_loads[kind];
		struct replay_result r;

		load.seed = seed;
		r = replay_run(&load, &replay_rules[rules]);
		add_result(&sum, &r);
	}
	g_test_message("%s, %s: cost=%" G_GINT64_FORMAT
		       " jobs=%u in_time=%u late=%u useless=%u never=%u "
		       "refusals=%u stops=%u longest_ms=%" G_GINT64_FORMAT,
	    replay_loads[kind].name, replay_rules[rules].name, sum.cost,
	    sum.jobs, sum.in_time, sum.late, sum.useless, sum.given_up,
	    sum.refusals, sum.stops, sum.longest_wait_ms);
	return sum;
}

/* What holds under every load: an accepted job is finished, and soon enough
 * that its caller still learns of it; none is stopped again and again; hardly
 * any job is refused while there is room. */
static void
check_bounds(const struct replay_result *r)
{
	g_assert_cmpuint(r->unfinished, ==, 0);
	g_assert_cmpint(r->longest_wait_ms, <, WAIT_MAX_MS);
	g_assert_cmpuint(r->most_stops, <=, 2);
	g_assert_cmpuint(r->refusals_with_room * 100, <=, r->refusals + 100);
}

/* Guards against rules that cost callers more than simpler ones, or than those
 * before, under the load that they are made for. */
static struct replay_result
check_load(enum replay_load_kind kind)
{
	struct replay_result yields = replay(kind, REPLAY_YIELD);
	struct replay_result before = replay(kind, REPLAY_BEFORE);

	check_bounds(&yields);
	for (int i = 0; i < REPLAY_RULES_COUNT; i++) {
		struct replay_result other;

		if (i == REPLAY_YIELD || i == REPLAY_BEFORE)
			continue;
		other = replay(kind, i);
		if (i <= REPLAY_PRIORITY)
			g_assert_cmpint(
			    yields.cost, <=, other.cost + MARGIN(other));
	}
	g_assert_cmpint(yields.cost, <=, before.cost + MARGIN(before));
	/* A hundredth: which jobs are too late differs, and so their number. */
	g_assert_cmpuint(
	    yields.useless, <=, before.useless + yields.jobs / 100);
	/* Nearly all short urgent work is in time: it needs little room. */
	g_assert_cmpuint(
	    yields.priority_in_time[0] * 100, >=, yields.priority_jobs[0] * 98);
	return yields;
}

/* Guards against urgent work that waits for, or is refused with, the work that
 * fills the workers. */
static void
test_replay_burst(void)
{
	struct replay_result r = check_load(REPLAY_BURST);

	g_assert_cmpuint(r.refusals, ==, 0);
	g_assert_cmpuint(r.late + r.useless, ==, 0);
}

/* Guards against gangs that starve because small tasks take each free core. */
static void
test_replay_behind_small(void)
{
	struct replay_result r = check_load(REPLAY_BEHIND_SMALL);

	g_assert_cmpuint(r.useless + r.given_up, ==, 0);
}

/* Guards against an organisation that slows down others by what it sends
 * beyond its entitlement. */
static void
test_replay_spike(void)
{
	struct replay_result r = check_load(REPLAY_SPIKE);

	g_assert_cmpuint(
	    r.priority_in_time[1] * 100, >=, r.priority_jobs[1] * 95);
}

/* Guards against refusals, and against late work, beyond what the loss of a
 * third of the workers makes necessary. */
static void
test_replay_lost(void)
{
	struct replay_result r = check_load(REPLAY_LOST);

	g_assert_cmpuint(r.given_up + r.useless, ==, 0);
}

/* Guards against refusals at the crest of a wave whose trough has room. */
static void
test_replay_wave(void)
{
	struct replay_result r = check_load(REPLAY_WAVE);

	g_assert_cmpuint(r.given_up * 100, <=, r.jobs);
	g_assert_cmpuint(r.useless * 100, <=, r.jobs);
}

static void
test_replay_heavy(void)
{
	(void)check_load(REPLAY_HEAVY);
}

/* Guards against accepted work that helps nobody when callers want far more
 * than the workers can do. */
static void
test_replay_twice(void)
{
	struct replay_result r = check_load(REPLAY_TWICE);

	/* The promise of an acceptance holds for 96 of 100 jobs. */
	g_assert_cmpuint(r.useless * 25, <=, r.jobs);
}

/* A class of random size and urgency. */
static struct replay_class
random_class(struct rng *rng)
{
	bool gang = rng_below(rng, 3) == 0;

	return (struct replay_class){ .priority = (uint32_t)rng_below(rng, 3),
		.tasks = 1 + (uint32_t)rng_below(rng, gang ? 16 : 40),
		.millicpus = 500 + (int64_t)rng_below(rng, 18000),
		.memory_mb = 512 + (int64_t)rng_below(rng, 40000),
		.runtime_ms = 200 + (int64_t)rng_below(rng, 6000),
		.gang = gang,
		.checkpointing = rng_below(rng, 2) == 0,
		.slack_factor = 1.2 + (double)rng_below(rng, 30) / 10,
		.target_ms = 250 + (int64_t)rng_below(rng, 3000),
		.until_ms = 40000,
		.wave = (double)rng_below(rng, 8) / 10 };
}

/* Guards against loads that nobody thought of: under none of them is the sum
 * of the costs above that of serving first what came first by more than a
 * tenth, and a hundredth of the value of all jobs; nothing starves. */
static void
test_random(void)
{
	for (uint64_t seed = 1; seed <= 15; seed++) {
		struct rng rng = { .state = seed * 7919 };
		struct replay_class classes[4];
		struct replay_load load = { .name = "random",
			.workers = 12,
			.until_ms = 40000,
			.classes = classes,
			.class_count = G_N_ELEMENTS(classes),
			.seed = seed };
		/* Of the capacity, asked for by all classes together. */
		double part = 0.5 + (double)rng_below(&rng, 150) / 100;
		struct replay_result r;
		struct replay_result first;

		load.lost_workers = (uint32_t)rng_below(&rng, 5);
		for (guint i = 0; i < load.class_count; i++) {
			struct replay_class *c = &classes[i];
			double work;

			*c = random_class(&rng);
			work = (double)(c->tasks * c->runtime_ms) *
			    MAX((double)c->millicpus / 64000,
				(double)c->memory_mb / 262144) /
			    1000;
			c->per_s = part * load.workers / 4 / work;
		}
		r = replay_run(&load, &replay_rules[REPLAY_YIELD]);
		first = replay_run(&load, &replay_rules[REPLAY_FIRST_COME]);
		g_test_message(
		    "seed=%u part=%.2f jobs=%u cost=%" G_GINT64_FORMAT
		    " first_come=%" G_GINT64_FORMAT
		    " refusals=%u useless=%u first_useless=%u "
		    "longest_ms=%" G_GINT64_FORMAT,
		    (guint)seed, part, r.jobs, r.cost, first.cost, r.refusals,
		    r.useless, first.useless, r.longest_wait_ms);
		check_bounds(&r);
		g_assert_cmpint(
		    r.cost, <=, first.cost * 11 / 10 + MARGIN(first));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	replay_loads_init();
	g_test_add_func("/admit/room", test_room);
	g_test_add_func("/admit/short-queue", test_short_queue);
	g_test_add_func("/admit/return", test_return);
	g_test_add_func("/admit/spread", test_spread);
	g_test_add_func("/admit/small-first", test_small_first);
	g_test_add_func("/admit/long-runs", test_long_runs);
	g_test_add_func("/admit/exempt", test_exempt);
	g_test_add_func("/admit/bounded", test_bounded);
	g_test_add_func("/admit/no-workers", test_no_workers);
	g_test_add_func("/admit/replay-burst", test_replay_burst);
	g_test_add_func("/admit/replay-behind-small", test_replay_behind_small);
	g_test_add_func("/admit/replay-spike", test_replay_spike);
	g_test_add_func("/admit/replay-lost", test_replay_lost);
	g_test_add_func("/admit/replay-wave", test_replay_wave);
	g_test_add_func("/admit/replay-heavy", test_replay_heavy);
	g_test_add_func("/admit/replay-twice", test_replay_twice);
	g_test_add_func("/admit/random", test_random);
	return g_test_run();
}
