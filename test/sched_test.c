#include "sched.h"

#define GIB (1LL << 30)
#define CORE 1000LL /* millicpus */
#define NO_WORKER UINT32_MAX

/* A scheduler under test, the result of its last round and a virtual clock. */
struct fixture {
	struct sched *s;
	struct sched_round round;
	int64_t now_ms;
	uint64_t next_job;
};

static void
fixture_init(struct fixture *f, const struct sched_policy *policy)
{
	*f = (struct fixture){ .s = sched_new(policy), .next_job = 1 };
	sched_round_init(&f->round);
}

static void
fixture_clear(struct fixture *f)
{
	sched_check(f->s);
	sched_round_clear(&f->round);
	sched_free(f->s);
}

static struct sched_worker
make_worker(uint32_t id, int64_t cores, int64_t gib)
{
	return (struct sched_worker){
		.id = id,
		.capacity = { cores * CORE, gib * GIB, 0 },
		.slots = 8,
		.rack = id / 2,
		.data_center = id / 4,
	};
}

/* Adds workers 1 to count. */
static void
add_workers(struct fixture *f, uint32_t count, int64_t cores, int64_t gib)
{
	for (uint32_t id = 1; id <= count; id++) {
		struct sched_worker w = make_worker(id, cores, gib);

		sched_worker_set(f->s, &w);
	}
}

static struct sched_job
make_job(struct fixture *f, enum kind kind, int64_t cores, int64_t gib)
{
	return (struct sched_job){
		.id = f->next_job++,
		.team = 1,
		.kind = kind,
		.idempotent = true,
		.resources = { cores * CORE, gib * GIB, 0 },
		.runtime_ms = 1000,
		.submitted_ms = f->now_ms,
	};
}

/* Adds a job with default properties except for kind, size and task count. */
static uint64_t
add_job(struct fixture *f, enum kind kind, int64_t cores, int64_t gib,
    uint32_t count)
{
	struct sched_job job = make_job(f, kind, cores, gib);

	sched_job_add(f->s, &job, 0, count);
	return job.id;
}

static guint
decide(struct fixture *f, int64_t ms)
{
	f->now_ms += ms;
	sched_decide(f->s, f->now_ms, SIZE_MAX, &f->round);
	sched_check(f->s);
	return f->round.placements->len;
}

static const struct sched_placement *
placed(const struct fixture *f, guint i)
{
	return &g_array_index(f->round.placements, struct sched_placement, i);
}

static const struct sched_preemption *
preempted(const struct fixture *f, guint i)
{
	return &g_array_index(f->round.preemptions, struct sched_preemption, i);
}

/* The job of the only run that the last round resumes. */
static uint64_t
resumed(const struct fixture *f)
{
	g_assert_cmpuint(f->round.resumes->len, ==, 1);
	return g_array_index(f->round.resumes, struct sched_placement, 0).job;
}

/* The worker on which the last round placed a task; or NO_WORKER. */
static uint32_t
worker_of(const struct fixture *f, uint64_t job, uint32_t task)
{
	for (guint i = 0; i < f->round.placements->len; i++) {
		if (placed(f, i)->job == job && placed(f, i)->task == task)
			return placed(f, i)->worker;
	}
	return NO_WORKER;
}

static struct sched_wait_reason
wait_reason(struct fixture *f, uint64_t job)
{
	struct sched_wait_reason w;

	g_assert_true(sched_wait_reason(f->s, job, &w));
	return w;
}

static void
test_capacity_and_slots(void)
{
	struct fixture f;
	uint64_t job;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 2, 4, 8);
	decide(&f, 0);
	g_assert_cmpint(sched_next_ms(f.s), ==, -1);
	add_job(&f, KIND_BATCH, 3, 2, 4);
	g_assert_cmpuint(decide(&f, 0), ==, 2);
	g_assert_cmpuint(sched_waiting_tasks(f.s), ==, 2);
	job = add_job(&f, KIND_BATCH, 0, 0, 40);
	g_assert_cmpint(sched_next_ms(f.s), ==, 0);
	g_assert_cmpuint(decide(&f, 0), ==, 14); /* of 16 slots */
	g_assert_cmpstr(wait_reason(&f, job).resource, ==, "slots");
	fixture_clear(&f);
}

static void
test_infeasible(void)
{
	struct fixture f;
	struct sched_worker big = make_worker(9, 32, 64);
	uint64_t large;
	uint64_t gang;
	uint64_t elsewhere;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 2, 4, 8);
	large = add_job(&f, KIND_BATCH, 8, 1, 1);
	gang = add_job(&f, KIND_GANG, 2, 1, 5);
	job = make_job(&f, KIND_BATCH, 1, 1);
	job.data_centers = 1U << 5;
	elsewhere = job.id;
	sched_job_add(f.s, &job, 0, 1);
	g_assert_cmpuint(decide(&f, 0), ==, 0);
	g_assert_cmpint(wait_reason(&f, large).reason, ==, SCHED_NEVER_FITS);
	g_assert_cmpstr(wait_reason(&f, large).resource, ==, "millicpus");
	g_assert_cmpint(wait_reason(&f, large).largest.millicpus, ==, 4 * CORE);
	g_assert_cmpint(wait_reason(&f, gang).reason, ==, SCHED_NEVER_FITS);
	g_assert_cmpint(wait_reason(&f, elsewhere).reason, ==, SCHED_NO_WORKER);
	sched_worker_set(f.s, &big);
	g_assert_cmpuint(decide(&f, 0), ==, 6);
	g_assert_cmpuint(worker_of(&f, large, 0), ==, 9);
	g_assert_cmpint(wait_reason(&f, elsewhere).reason, ==, SCHED_NO_WORKER);
	sched_worker_remove(f.s, 9);
	fixture_clear(&f);
}

static void
test_flags(void)
{
	struct fixture f;
	struct sched_worker w = make_worker(1, 4, 8);

	fixture_init(&f, &sched_policy_waiting);
	for (unsigned flag = SCHED_SUSPECT; flag <= SCHED_SET_ASIDE;
	     flag <<= 1) {
		w.flags = flag;
		sched_worker_set(f.s, &w);
		add_job(&f, KIND_BATCH, 1, 1, 1);
		g_assert_cmpuint(decide(&f, 0), ==, 0);
		w.flags = 0;
		sched_worker_set(f.s, &w);
		g_assert_cmpuint(decide(&f, 0), ==, 1);
	}
	fixture_clear(&f);
}

static void
test_tight_fit(void)
{
	struct fixture f;
	struct sched_worker a = make_worker(1, 8, 32);
	struct sched_worker c = make_worker(2, 16, 32);

	fixture_init(&f, &sched_policy_packing);
	sched_worker_set(f.s, &c);
	sched_worker_set(f.s, &a);
	/* The smaller one has no millicpus left over. */
	add_job(&f, KIND_BATCH, 8, 16, 1);
	g_assert_cmpuint(decide(&f, 0), ==, 1);
	g_assert_cmpuint(placed(&f, 0)->worker, ==, 1);
	fixture_clear(&f);
}

/* A task goes where it strands no memory without millicpus. */
static void
test_stranding(void)
{
	struct fixture f;
	struct sched_job job;

	fixture_init(&f, &sched_policy_packing);
	add_workers(&f, 2, 16, 64);
	job = make_job(&f, KIND_BATCH, 8, 8);
	sched_run_restore(f.s, &job, 0, 1, 0);
	job = make_job(&f, KIND_BATCH, 2, 32);
	sched_run_restore(f.s, &job, 0, 2, 0);
	add_job(&f, KIND_BATCH, 2, 32, 1);
	decide(&f, 0);
	g_assert_cmpuint(placed(&f, 0)->worker, ==, 1);
	fixture_clear(&f);
}

static void
test_accelerators_last(void)
{
	struct fixture f;
	struct sched_worker w = make_worker(1, 8, 32);
	uint64_t plain;
	struct sched_job job;

	fixture_init(&f, &sched_policy_packing);
	w.capacity.accelerators = 2;
	sched_worker_set(f.s, &w);
	w = make_worker(2, 64, 256);
	sched_worker_set(f.s, &w);
	plain = add_job(&f, KIND_BATCH, 4, 16, 1);
	job = make_job(&f, KIND_BATCH, 4, 16);
	job.resources.accelerators = 1;
	sched_job_add(f.s, &job, 0, 1);
	g_assert_cmpuint(decide(&f, 0), ==, 2);
	g_assert_cmpuint(worker_of(&f, plain, 0), ==, 2);
	g_assert_cmpuint(worker_of(&f, job.id, 0), ==, 1);
	fixture_clear(&f);
}

/* The retry of a failed task prefers workers where it has not failed. */
static void
test_avoid(void)
{
	struct fixture f;
	struct sched_job job;
	uint32_t first;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 2, 4, 8);
	job = make_job(&f, KIND_BATCH, 1, 1);
	sched_job_add(f.s, &job, 0, 1);
	decide(&f, 0);
	first = placed(&f, 0)->worker;
	for (unsigned i = 0; i < 2; i++) {
		uint32_t worker = placed(&f, 0)->worker;

		sched_run_end(f.s, job.id, 0, worker);
		sched_job_avoid(f.s, job.id, worker);
		sched_job_add(f.s, &job, 0, 1);
		g_assert_cmpuint(decide(&f, 1), ==, 1);
		g_assert_true((placed(&f, 0)->worker == first) == (i == 1));
	}
	for (uint64_t id = 100; id < 9000; id++)
		sched_job_avoid(f.s, id, 1); /* bounded: drops the oldest */
	fixture_clear(&f);
}

/* The number of domains, each of per workers, that got placements. */
static unsigned
domains(const struct fixture *f, uint32_t per)
{
	unsigned seen = 0;

	for (guint i = 0; i < f->round.placements->len; i++)
		seen |= 1U << placed(f, i)->worker / per;
	return (unsigned)__builtin_popcount(seen);
}

static void
test_spread(void)
{
	static const enum spread spreads[] = { SPREAD_RACK,
		SPREAD_DATA_CENTER };

	for (unsigned i = 0; i < G_N_ELEMENTS(spreads); i++) {
		struct fixture f;
		struct sched_job job;

		fixture_init(&f, &sched_policy_packing);
		add_workers(&f, 15, 16, 64);
		job = make_job(&f, KIND_SERVICE, 1, 1);
		job.spread = spreads[i];
		sched_job_add(f.s, &job, 0, 4);
		g_assert_cmpuint(decide(&f, 0), ==, 4);
		g_assert_cmpuint(domains(&f, 2), ==, 4);
		g_assert_cmpuint(domains(&f, 4), ==, 4);
		/* Tasks added later are spread together with running ones. */
		sched_job_add(f.s, &job, 4, 4);
		g_assert_cmpuint(decide(&f, 0), ==, 4);
		g_assert_cmpuint(domains(&f, 4), ==, 4);
		fixture_clear(&f);
	}
}

static void
test_gang_all_or_none(void)
{
	struct fixture f;
	struct sched_job small;
	uint64_t gang;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 3, 4, 8);
	small = make_job(&f, KIND_BATCH, 2, 1);
	sched_run_restore(f.s, &small, 0, 3, 0);
	gang = add_job(&f, KIND_GANG, 4, 4, 3);
	g_assert_cmpuint(decide(&f, 1), ==, 0);
	g_assert_cmpint(wait_reason(&f, gang).reason, ==, SCHED_WAIT_ROOM);
	sched_run_end(f.s, small.id, 0, 3);
	g_assert_cmpuint(decide(&f, 1), ==, 3);
	for (guint i = 0; i < 3; i++)
		g_assert_cmpuint(placed(&f, i)->job, ==, gang);
	fixture_clear(&f);
}

/* A worker of a reservation is lost: the gang reserves again and starts. */
static void
test_reservation_loses_worker(void)
{
	struct fixture f;
	struct sched_job small;
	struct sched_worker w = make_worker(2, 4, 8);

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 3, 4, 8);
	small = make_job(&f, KIND_BATCH, 4, 1);
	sched_run_restore(f.s, &small, 0, 1, 0);
	sched_run_restore(f.s, &small, 1, 2, 0);
	sched_run_restore(f.s, &small, 2, 3, 0);
	add_job(&f, KIND_GANG, 4, 4, 2);
	decide(&f, 1);
	w.flags = SCHED_SUSPECT;
	sched_worker_set(f.s, &w);
	sched_run_end(f.s, small.id, 0, 1);
	decide(&f, 200);
	sched_run_end(f.s, small.id, 2, 3);
	g_assert_cmpuint(decide(&f, 1), ==, 2);
	fixture_clear(&f);
}

/* Two gangs that each need most workers start one after the other and do not
 * block each other by partial reservations. */
static void
test_two_gangs(void)
{
	struct fixture f;
	uint64_t gangs[2];
	uint32_t at[4];
	unsigned done = 0;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 4, 4, 8);
	add_job(&f, KIND_BATCH, 4, 4, 4);
	g_assert_cmpuint(decide(&f, 0), ==, 4);
	for (uint32_t i = 0; i < 4; i++)
		at[i] = worker_of(&f, 1, i);
	gangs[0] = add_job(&f, KIND_GANG, 4, 4, 3);
	gangs[1] = add_job(&f, KIND_GANG, 4, 4, 3);
	g_assert_cmpuint(decide(&f, 1), ==, 0);
	for (uint32_t i = 0; i < 4; i++)
		sched_run_end(f.s, 1, i, at[i]);
	for (unsigned step = 0; step < 8; step++) {
		guint n = decide(&f, 200);
		uint64_t job;

		if (n == 0)
			continue;
		g_assert_cmpuint(n, ==, 3);
		job = placed(&f, 0)->job;
		g_assert_true(job == gangs[0] || job == gangs[1]);
		done++;
		for (guint i = 0; i < n; i++)
			sched_run_end(f.s, job, placed(&f, i)->task,
			    placed(&f, i)->worker);
	}
	g_assert_cmpuint(done, ==, 2);
	fixture_clear(&f);
}

/* Ends the running placements whose end time has come. */
static void
end_due(struct fixture *f, GArray *running, const GArray *ends)
{
	for (guint i = 0; i < running->len; i++) {
		const struct sched_placement *p =
		    &g_array_index(running, struct sched_placement, i);

		if (g_array_index(ends, int64_t, i) <= f->now_ms)
			sched_run_end(f->s, p->job, p->task, p->worker);
	}
}

/* A continuous stream of batch jobs. */
struct stream {
	int64_t cores;
	uint32_t tasks; /* every 500 ms */
	int64_t runtime_ms; /* actual; declared as 1000 */
	bool urgent;
	bool distinct_shapes; /* no two jobs have the same shape */
};

static void
add_stream(struct fixture *f, const struct stream *stream, unsigned step)
{
	struct sched_job job = make_job(f, KIND_BATCH, stream->cores, 1);

	job.urgent = stream->urgent;
	if (stream->distinct_shapes) {
		job.resources.memory += step;
		job.team = 2 + step % 20;
	}
	sched_job_add(f->s, &job, 0, stream->tasks);
}

/*
 * Returns how long a gang waits that needs three of four workers during a
 * stream. Its team uses the fourth already, so that other teams have smaller
 * shares.
 */
static int64_t
gang_wait(const struct stream *stream)
{
	struct fixture f;
	uint64_t gang = 0;
	GArray *running =
	    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t added_ms = 0;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 4, 4, 8);
	add_job(&f, KIND_SERVICE, 4, 4, 1);
	for (unsigned step = 0;
	     step < 400 && (gang == 0 || worker_of(&f, gang, 0) == NO_WORKER);
	     step++) {
		int64_t end_ms = f.now_ms + 500 + stream->runtime_ms;

		if (step == 20) {
			gang = add_job(&f, KIND_GANG, 4, 4, 3);
			added_ms = f.now_ms;
		}
		add_stream(&f, stream, step);
		decide(&f, 500);
		g_array_append_vals(
		    running, f.round.placements->data, f.round.placements->len);
		while (ends->len < running->len)
			g_array_append_val(ends, end_ms);
		end_due(&f, running, ends);
	}
	g_array_unref(running);
	g_array_unref(ends);
	added_ms = f.now_ms - added_ms;
	fixture_clear(&f);
	return added_ms;
}

/*
 * Three streams: small tasks that run four times as long as declared, urgent
 * tasks, and large tasks that starve and reserve too. The gang must start
 * within the time until its reservation ends backfill plus a run time; for the
 * last stream, plus the time for earlier reservations.
 */
static void
test_gang_during_stream(void)
{
	int64_t bound = sched_policy_waiting.no_backfill_after_ms + 4000 + 1000;
	struct stream small = { 1, 4, 4000, false, false };
	struct stream urgent = { 1, 4, 4000, true, false };
	struct stream large = { 4, 2, 2000, false, true };

	g_assert_cmpint(gang_wait(&small), <=, bound);
	g_assert_cmpint(gang_wait(&urgent), <=, bound);
	g_assert_cmpint(gang_wait(&large), <=, 10000 + bound);
}

/* Short tasks may backfill capacity reserved for a gang; long ones may not. */
static void
test_backfill(void)
{
	struct fixture f;
	struct sched_job job;
	uint64_t short_job;
	uint64_t long_job;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 2, 4, 8);
	job = make_job(&f, KIND_BATCH, 4, 1);
	job.runtime_ms = 8000;
	sched_run_restore(f.s, &job, 0, 1, 0);
	add_job(&f, KIND_GANG, 4, 4, 2);
	g_assert_cmpuint(decide(&f, 1), ==, 0);
	job = make_job(&f, KIND_BATCH, 2, 1);
	job.runtime_ms = 60000;
	long_job = job.id;
	sched_job_add(f.s, &job, 0, 1);
	job = make_job(&f, KIND_BATCH, 1, 1);
	job.runtime_ms = 1000;
	short_job = job.id;
	sched_job_add(f.s, &job, 0, 1);
	g_assert_cmpuint(decide(&f, 1), ==, 1);
	g_assert_cmpuint(worker_of(&f, short_job, 0), ==, 2);
	g_assert_cmpint(
	    wait_reason(&f, long_job).reason, ==, SCHED_WAIT_RESERVED);
	sched_run_end(f.s, short_job, 0, 2);
	/* The reservation allows no backfill any more. */
	decide(&f, sched_policy_waiting.no_backfill_after_ms);
	add_job(&f, KIND_BATCH, 1, 1, 1);
	g_assert_cmpuint(decide(&f, 1), ==, 0);
	fixture_clear(&f);
}

static void
test_order(void)
{
	struct fixture f;
	struct sched_job job;
	uint64_t no_deadline;
	uint64_t with_deadline;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 1, 4, 8);
	no_deadline = add_job(&f, KIND_BATCH, 4, 1, 1);
	job = make_job(&f, KIND_BATCH, 4, 1);
	job.deadline_ms = 10000;
	with_deadline = job.id;
	sched_job_add(f.s, &job, 0, 1);
	job = make_job(&f, KIND_BATCH, 4, 1);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 1);
	g_assert_cmpuint(decide(&f, 1), ==, 1);
	g_assert_cmpuint(placed(&f, 0)->job, ==, job.id);
	sched_run_end(f.s, job.id, 0, 1);
	decide(&f, 5000); /* now near the deadline */
	g_assert_cmpuint(placed(&f, 0)->job, ==, with_deadline);
	sched_run_end(f.s, with_deadline, 0, 1);
	decide(&f, 1);
	g_assert_cmpuint(placed(&f, 0)->job, ==, no_deadline);
	fixture_clear(&f);
}

/* Teams of weight 1 and 3 get shares by weight while both have waiting jobs;
 * one alone may use all capacity. */
static void
test_fair_share(void)
{
	struct fixture f;
	struct resources quota = { 0 };
	unsigned of_team[3] = { 0 };

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 4, 4, 8);
	sched_team_set(f.s, 1, 1, &quota);
	sched_team_set(f.s, 2, 3, &quota);
	for (uint32_t i = 0; i < 32; i++) {
		struct sched_job job = make_job(&f, KIND_BATCH, 1, 1);

		job.team = i < 16 ? 1 : 2;
		sched_job_add(f.s, &job, 0, 1);
	}
	g_assert_cmpuint(decide(&f, 0), ==, 16);
	for (guint i = 0; i < 16; i++)
		of_team[placed(&f, i)->job <= 16 ? 1 : 2]++;
	g_assert_cmpuint(of_team[1], ==, 4);
	g_assert_cmpuint(of_team[2], ==, 12);
	g_assert_cmpfloat(sched_team_share(f.s, 2), ==, 0.75);
	for (guint i = 0; i < 16; i++)
		sched_run_end(
		    f.s, placed(&f, i)->job, 0, placed(&f, i)->worker);
	g_assert_cmpuint(
	    decide(&f, 0), ==, 16); /* 12 of team 1, above its share */
	fixture_clear(&f);
}

/* A team within its quota gets capacity back from a team over its quota. */
static void
test_reclaim(void)
{
	struct fixture f;
	struct resources quota = { 8 * CORE, 0, 0 };
	struct sched_job job;
	unsigned stops = 0;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 4, 4, 8);
	sched_team_set(f.s, 1, 1, &quota);
	sched_team_set(f.s, 2, 1, &quota);
	add_job(&f, KIND_BATCH, 4, 4, 4);
	g_assert_cmpuint(decide(&f, 0), ==, 4);
	job = make_job(&f, KIND_BATCH, 4, 4);
	job.team = 2;
	sched_job_add(f.s, &job, 0, 3);
	g_assert_cmpuint(decide(&f, 10), ==, 0);
	g_assert_cmpuint(f.round.preemptions->len, ==, 0);
	for (unsigned step = 0; step < 200; step++) {
		decide(&f, 100);
		for (guint i = 0; i < f.round.preemptions->len; i++) {
			const struct sched_preemption *p = preempted(&f, i);

			if (p->action != SCHED_CHECKPOINT_STOP)
				continue;
			stops++;
			g_assert_cmpuint(p->job, ==, 1);
			sched_run_end(f.s, p->job, p->task, p->worker);
		}
	}
	g_assert_cmpuint(stops, ==, 2); /* up to the quota only */
	g_assert_cmpfloat(sched_team_share(f.s, 2), ==, 0.5);
	fixture_clear(&f);
}

/* Fills workers 1 to 3 with a job that is not idempotent, an old and a new
 * batch job. */
static void
fill_for_preemption(struct fixture *f)
{
	struct sched_job job = make_job(f, KIND_BATCH, 4, 4);

	add_workers(f, 3, 4, 8);
	job.idempotent = false;
	sched_run_restore(f->s, &job, 0, 1, 900);
	job = make_job(f, KIND_BATCH, 4, 4);
	sched_run_restore(f->s, &job, 0, 2, 0);
	job = make_job(f, KIND_BATCH, 4, 4);
	sched_run_restore(f->s, &job, 0, 3, 500);
	f->now_ms = 1000;
}

static void
test_preempt(void)
{
	struct fixture f;
	struct sched_job job;
	uint64_t competitor;

	fixture_init(&f, &sched_policy_waiting);
	fill_for_preemption(&f);
	job = make_job(&f, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 1);
	decide(&f, 0);
	g_assert_cmpuint(f.round.preemptions->len, ==, 1);
	g_assert_cmpint(sched_next_ms(f.s), >, f.now_ms);
	g_assert_cmpint(preempted(&f, 0)->action, ==, SCHED_THROTTLE);
	g_assert_cmpuint(
	    preempted(&f, 0)->worker, ==, 3); /* least run time lost */
	g_assert_cmpuint(preempted(&f, 0)->for_job, ==, job.id);
	decide(&f, sched_policy_waiting.throttle_ms);
	g_assert_cmpuint(f.round.preemptions->len, ==, 1);
	g_assert_cmpint(preempted(&f, 0)->action, ==, SCHED_CHECKPOINT_STOP);
	/* No second preemption for the same task during the stop. */
	for (unsigned i = 0; i < 20; i++) {
		decide(&f, 100);
		g_assert_cmpuint(f.round.preemptions->len, ==, 0);
	}
	/* The freed capacity is reserved for the urgent job. */
	competitor = add_job(&f, KIND_BATCH, 3, 3, 1);
	sched_run_end(f.s, 3, 0, 3);
	decide(&f, 1);
	g_assert_cmpuint(worker_of(&f, job.id, 0), ==, 3);
	g_assert_cmpuint(worker_of(&f, competitor, 0), ==, NO_WORKER);
	fixture_clear(&f);
}

/* The cost of preempting a restarted run includes the run time that its job
 * lost before, so that the same job is not always stopped. */
static void
test_preempt_lost_time(void)
{
	struct fixture f;
	struct sched_job victim;
	struct sched_job other;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 1, 4, 8);
	victim = make_job(&f, KIND_BATCH, 4, 4);
	sched_run_restore(f.s, &victim, 0, 1, 0);
	f.now_ms = 4000;
	job = make_job(&f, KIND_BATCH, 4, 4);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 1);
	decide(&f, 0);
	decide(&f, sched_policy_waiting.throttle_ms);
	g_assert_cmpuint(preempted(&f, 0)->job, ==, victim.id);
	sched_run_end(f.s, victim.id, 0, 1);
	sched_job_add(f.s, &victim, 0, 1);
	decide(&f, 1);
	add_workers(&f, 2, 4, 8);
	other = make_job(&f, KIND_BATCH, 4, 4);
	sched_run_restore(f.s, &other, 0, 2, f.now_ms - 1000);
	sched_run_end(f.s, job.id, 0, worker_of(&f, job.id, 0));
	g_assert_cmpuint(
	    decide(&f, 1), ==, 1); /* the first victim: newest run now */
	job.id = f.next_job++;
	sched_job_add(f.s, &job, 0, 1);
	decide(&f, 1);
	g_assert_cmpuint(preempted(&f, 0)->job, ==, other.id);
	fixture_clear(&f);
}

/*
 * A team within its quota competes with a continuous stream of another team's
 * work that can't be preempted: each of its tasks waits no longer than the
 * policy's bounds plus a run time.
 */
static void
test_team_within_quota(void)
{
	static const struct sched_policy *const policies[] = {
		&sched_policy_waiting, &sched_policy_packing
	};

	for (unsigned i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct fixture f;
		struct resources quota = { 8 * CORE, 16 * GIB, 0 };
		GArray *running =
		    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
		GArray *ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
		struct sched_job large;
		int64_t bound = policies[i]->quota_after_ms +
		    policies[i]->reserve_after_ms +
		    policies[i]->no_backfill_after_ms + 6000;
		unsigned started = 0;

		fixture_init(&f, policies[i]);
		add_workers(&f, 4, 4, 8);
		sched_team_set(f.s, 1, 1, &quota);
		sched_team_set(f.s, 2, 1, &quota);
		large.id = 0;
		while (f.now_ms < 300000) {
			struct sched_job small = make_job(&f, KIND_BATCH, 1, 1);
			int64_t end_ms;

			small.idempotent = false;
			sched_job_add(f.s, &small, 0, 4);
			if (large.id == 0) {
				large = make_job(&f, KIND_BATCH, 4, 8);
				large.team = 2;
				sched_job_add(f.s, &large, 0, 1);
			}
			decide(&f, 500);
			end_ms = f.now_ms + 4000;
			g_array_append_vals(running, f.round.placements->data,
			    f.round.placements->len);
			while (ends->len < running->len)
				g_array_append_val(ends, end_ms);
			g_assert_cmpint(
			    f.now_ms - large.submitted_ms, <=, bound);
			if (worker_of(&f, large.id, 0) != NO_WORKER) {
				large.id = 0;
				started++;
			}
			end_due(&f, running, ends);
		}
		g_assert_cmpuint(started, >=, 300000 / bound);
		g_array_unref(running);
		g_array_unref(ends);
		fixture_clear(&f);
	}
}

/* Capacity becomes free elsewhere in time: the throttled run resumes. */
static void
test_preempt_resume(void)
{
	struct fixture f;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	fill_for_preemption(&f);
	job = make_job(&f, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 1);
	decide(&f, 0);
	sched_run_end(f.s, 1, 0, 1);
	g_assert_cmpuint(decide(&f, 10), ==, 1);
	g_assert_cmpuint(placed(&f, 0)->worker, ==, 1);
	g_assert_cmpuint(f.round.preemptions->len, ==, 0);
	g_assert_cmpuint(resumed(&f), ==, 3);
	fixture_clear(&f);
}

/* Cancelling an urgent job cancels the preemption for it. */
static void
test_preempt_cancelled(void)
{
	struct fixture f;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	fill_for_preemption(&f);
	job = make_job(&f, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 2);
	decide(&f, 0);
	g_assert_cmpuint(f.round.preemptions->len, ==, 1);
	sched_job_remove(f.s, job.id);
	g_assert_cmpuint(sched_waiting_tasks(f.s), ==, 0);
	decide(&f, 1000);
	g_assert_cmpuint(resumed(&f), ==, 3);
	fixture_clear(&f);
}

/* Preemption for a spread service frees workers in different racks. */
static void
test_preempt_spread(void)
{
	struct fixture f;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 4, 4, 8);
	for (uint32_t worker = 1; worker <= 4; worker++) {
		job = make_job(&f, KIND_BATCH, 4, 4);
		/* The least work is lost in one rack, workers 2 and 3. */
		sched_run_restore(
		    f.s, &job, 0, worker, worker / 2 == 1 ? 900 : 100);
	}
	f.now_ms = 1000;
	job = make_job(&f, KIND_SERVICE, 4, 4);
	job.urgent = true;
	job.spread = SPREAD_RACK;
	sched_job_add(f.s, &job, 0, 2);
	decide(&f, 0);
	g_assert_cmpuint(f.round.preemptions->len, ==, 2);
	g_assert_cmpuint(
	    preempted(&f, 0)->worker / 2, !=, preempted(&f, 1)->worker / 2);
	fixture_clear(&f);
}

/* A burst of urgent jobs preempts over several rounds, in the end for all. */
static void
test_urgent_burst(void)
{
	struct fixture f;
	struct sched_job job;
	unsigned throttled = 0;

	fixture_init(
	    &f, &sched_policy_packing); /* its throttles last for 300 ms */
	add_workers(&f, 60, 4, 8);
	add_job(&f, KIND_BATCH, 4, 4, 60);
	g_assert_cmpuint(decide(&f, 0), ==, 60);
	for (unsigned i = 0; i < 50; i++) {
		job = make_job(&f, KIND_BATCH, 4, 4);
		job.urgent = true;
		sched_job_add(f.s, &job, 0, 1);
	}
	for (unsigned i = 0; i < 5; i++) {
		decide(&f, 50);
		g_assert_cmpuint(f.round.preemptions->len, <=, 16);
		throttled += f.round.preemptions->len;
	}
	g_assert_cmpuint(throttled, ==, 50);
	fixture_clear(&f);
}

static void
test_urgent_gang(void)
{
	struct fixture f;
	struct sched_job job;

	fixture_init(&f, &sched_policy_waiting);
	fill_for_preemption(&f);
	job = make_job(&f, KIND_GANG, 4, 4);
	job.urgent = true;
	sched_job_add(f.s, &job, 0, 2);
	decide(&f, 0);
	decide(&f, sched_policy_waiting.throttle_ms);
	for (guint i = 0; i < f.round.preemptions->len; i++)
		sched_run_end(
		    f.s, preempted(&f, i)->job, 0, preempted(&f, i)->worker);
	sched_run_end(f.s, 1, 0, 1);
	decide(&f, 1);
	g_assert_cmpuint(f.round.placements->len, ==, 2);
	fixture_clear(&f);
}

/* A large task gets a reservation during a stream of small ones. */
static void
test_large_batch(void)
{
	struct fixture f;
	uint64_t large;
	uint64_t at[2]; /* the running jobs, each for two steps */
	unsigned step = 0;

	fixture_init(&f, &sched_policy_waiting);
	add_workers(&f, 1, 4, 8);
	at[0] = add_job(&f, KIND_BATCH, 2, 2, 1);
	at[1] = add_job(&f, KIND_BATCH, 2, 2, 1);
	decide(&f, 0);
	large = add_job(&f, KIND_BATCH, 4, 4, 1);
	for (; step < 100; step++) {
		sched_run_end(f.s, at[step % 2], 0, 1);
		add_job(&f, KIND_BATCH, 2, 2, 1);
		decide(&f, 500);
		if (worker_of(&f, large, 0) != NO_WORKER)
			break;
		if (f.round.placements->len > 0)
			at[step % 2] = placed(&f, 0)->job;
	}
	g_assert_cmpuint(step, <, 100);
	fixture_clear(&f);
}

enum task_state { TASK_WAITS, TASK_RUNS, TASK_ENDED };

struct model_job {
	struct sched_job spec;
	uint32_t count;
	enum task_state state[16];
	uint32_t worker[16];
	int64_t end_ms[16]; /* of a running task */
};

/* A simple model of the tables that the scheduler is compared with. */
struct model {
	struct fixture fixture;
	struct rng rng;
	GArray *jobs; /* struct model_job; job id is the index + 1 */
	struct sched_worker workers[24];
	size_t waiting;
};

static struct model_job *
model_job(struct model *m, uint64_t id)
{
	return &g_array_index(m->jobs, struct model_job, id - 1);
}

static void
model_add(struct model *m)
{
	struct model_job j = { .count = 1 + (uint32_t)rng_below(&m->rng, 8) };
	static const enum kind kinds[] = { KIND_BATCH, KIND_BATCH, KIND_BATCH,
		KIND_GANG, KIND_SERVICE };

	j.spec = make_job(&m->fixture, kinds[rng_below(&m->rng, 5)],
	    1 + (int64_t)rng_below(&m->rng, 6),
	    1 + (int64_t)rng_below(&m->rng, 12));
	j.spec.team = 1 + (uint32_t)rng_below(&m->rng, 5);
	j.spec.urgent = rng_below(&m->rng, 8) == 0;
	j.spec.idempotent = rng_below(&m->rng, 4) != 0;
	j.spec.runtime_ms = (int64_t)rng_below(&m->rng, 4000);
	j.spec.spread = (enum spread)rng_below(&m->rng, 3);
	if (rng_below(&m->rng, 4) == 0)
		j.spec.deadline_ms = m->fixture.now_ms + 10000;
	if (rng_below(&m->rng, 6) == 0)
		j.spec.data_centers = 1U << rng_below(&m->rng, 6);
	m->waiting += j.count;
	sched_job_add(m->fixture.s, &j.spec, 0, j.count);
	g_array_append_val(m->jobs, j);
}

static void
model_end(struct model *m, uint64_t id, uint32_t task, bool again)
{
	struct model_job *j = model_job(m, id);

	g_assert_cmpint(j->state[task], ==, TASK_RUNS);
	sched_run_end(m->fixture.s, id, task, j->worker[task]);
	j->state[task] = again ? TASK_WAITS : TASK_ENDED;
	if (!again)
		return;
	m->waiting++;
	sched_job_add(m->fixture.s, &j->spec, task, 1);
}

/* Ends the tasks whose end time has come; or, given a worker, returns all its
 * tasks to waiting. */
static void
model_end_some(struct model *m, uint32_t worker)
{
	for (uint64_t id = 1; id <= m->jobs->len; id++) {
		struct model_job *j = model_job(m, id);

		for (uint32_t i = 0; i < j->count; i++) {
			if (j->state[i] != TASK_RUNS)
				continue;
			if (worker != NO_WORKER && j->worker[i] == worker)
				model_end(m, id, i, true);
			else if (worker == NO_WORKER &&
			    j->end_ms[i] <= m->fixture.now_ms)
				model_end(m, id, i, false);
		}
	}
}

static void
model_cancel(struct model *m)
{
	uint64_t id = 1 + rng_below(&m->rng, m->jobs->len);
	struct model_job *j = model_job(m, id);

	sched_job_remove(m->fixture.s, id);
	for (uint32_t i = 0; i < j->count; i++) {
		if (j->state[i] != TASK_WAITS)
			continue;
		j->state[i] = TASK_ENDED;
		m->waiting--;
	}
}

/* Changes a worker's flags, or replaces it and loses its runs. */
static void
model_worker(struct model *m)
{
	uint32_t i = (uint32_t)rng_below(&m->rng, G_N_ELEMENTS(m->workers));
	struct sched_worker *w = &m->workers[i];

	w->flags = w->flags != 0 ? 0 : 1U << rng_below(&m->rng, 3);
	if (rng_below(&m->rng, 3) == 0) {
		model_end_some(m, w->id);
		sched_worker_remove(m->fixture.s, w->id);
		w->flags = 0;
	}
	sched_worker_set(m->fixture.s, w);
}

/* Runs a round and applies it to the model; a gang's waiting tasks must start
 * together. */
static void
model_round(struct model *m)
{
	struct fixture *f = &m->fixture;

	decide(f, 1 + (int64_t)rng_below(&m->rng, 200));
	for (guint i = 0; i < f->round.placements->len; i++) {
		const struct sched_placement *p = placed(f, i);
		struct model_job *j = model_job(m, p->job);

		g_assert_cmpint(j->state[p->task], ==, TASK_WAITS);
		j->state[p->task] = TASK_RUNS;
		j->worker[p->task] = p->worker;
		j->end_ms[p->task] =
		    f->now_ms + (int64_t)rng_below(&m->rng, 5000);
		m->waiting--;
		g_assert_cmpint(m->workers[p->worker].flags, ==, 0);
	}
	for (guint i = 0; i < f->round.placements->len; i++) {
		const struct model_job *j = model_job(m, placed(f, i)->job);

		for (uint32_t k = 0; j->spec.kind == KIND_GANG && k < j->count;
		     k++)
			g_assert_cmpint(j->state[k], !=, TASK_WAITS);
	}
	for (guint i = 0; i < f->round.preemptions->len; i++) {
		struct sched_preemption p = *preempted(f, i);
		const struct model_job *j = model_job(m, p.job);

		g_assert_true(j->spec.kind == KIND_BATCH &&
		    j->spec.idempotent && !j->spec.urgent);
		if (p.action == SCHED_CHECKPOINT_STOP)
			model_end(m, p.job, p.task, true);
	}
	g_assert_cmpuint(m->waiting, ==, sched_waiting_tasks(f->s));
}

static void
model_init(struct model *m, uint64_t seed, const struct sched_policy *policy)
{
	*m = (struct model){ .rng = { seed } };
	fixture_init(&m->fixture, policy);
	m->jobs = g_array_new(FALSE, FALSE, sizeof(struct model_job));
	for (uint32_t i = 0; i < G_N_ELEMENTS(m->workers); i++) {
		m->workers[i] = make_worker(i, 4 + 4 * (i % 3), 16);
		sched_worker_set(m->fixture.s, &m->workers[i]);
	}
	for (uint32_t team = 1; team < 5; team++) {
		struct resources quota = { 30 * CORE, 60 * GIB, 0 };

		sched_team_set(m->fixture.s, team, team, &quota);
	}
}

/* Without further changes all feasible jobs must start and end. */
static void
model_drain(struct model *m)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(m->workers); i++) {
		m->workers[i].flags = 0;
		sched_worker_set(m->fixture.s, &m->workers[i]);
	}
	for (unsigned step = 0; step < 5000 && m->waiting > 0; step++) {
		model_round(m);
		model_end_some(m, NO_WORKER);
	}
	for (uint64_t id = 1; id <= m->jobs->len; id++) {
		struct sched_wait_reason w;

		if (sched_wait_reason(m->fixture.s, id, &w))
			g_assert_cmpint(w.reason, >=, SCHED_NEVER_FITS);
	}
}

static void
test_random(void)
{
	static const struct sched_policy *const policies[] = {
		&sched_policy_waiting, &sched_policy_packing,
		&sched_policy_best_fit
	};

	for (uint64_t seed = 1; seed <= 12; seed++) {
		struct model m;

		model_init(&m, seed, policies[seed % 3]);
		for (unsigned step = 0; step < 400; step++) {
			if (rng_below(&m.rng, 2) == 0)
				model_add(&m);
			if (rng_below(&m.rng, 20) == 0 && m.jobs->len > 0)
				model_cancel(&m);
			if (rng_below(&m.rng, 10) == 0)
				model_worker(&m);
			model_end_some(&m, NO_WORKER);
			model_round(&m);
		}
		model_drain(&m);
		g_array_unref(m.jobs);
		fixture_clear(&m.fixture);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/capacity-and-slots", test_capacity_and_slots);
	g_test_add_func("/sched/infeasible", test_infeasible);
	g_test_add_func("/sched/flags", test_flags);
	g_test_add_func("/sched/tight-fit", test_tight_fit);
	g_test_add_func("/sched/stranding", test_stranding);
	g_test_add_func("/sched/accelerators-last", test_accelerators_last);
	g_test_add_func("/sched/avoid", test_avoid);
	g_test_add_func("/sched/spread", test_spread);
	g_test_add_func("/sched/gang-all-or-none", test_gang_all_or_none);
	g_test_add_func(
	    "/sched/reservation-loses-worker", test_reservation_loses_worker);
	g_test_add_func("/sched/two-gangs", test_two_gangs);
	g_test_add_func("/sched/gang-during-stream", test_gang_during_stream);
	g_test_add_func("/sched/backfill", test_backfill);
	g_test_add_func("/sched/order", test_order);
	g_test_add_func("/sched/fair-share", test_fair_share);
	g_test_add_func("/sched/reclaim", test_reclaim);
	g_test_add_func("/sched/preempt", test_preempt);
	g_test_add_func("/sched/preempt-lost-time", test_preempt_lost_time);
	g_test_add_func("/sched/team-within-quota", test_team_within_quota);
	g_test_add_func("/sched/preempt-resume", test_preempt_resume);
	g_test_add_func("/sched/preempt-cancelled", test_preempt_cancelled);
	g_test_add_func("/sched/preempt-spread", test_preempt_spread);
	g_test_add_func("/sched/urgent-burst", test_urgent_burst);
	g_test_add_func("/sched/urgent-gang", test_urgent_gang);
	g_test_add_func("/sched/large-batch", test_large_batch);
	g_test_add_func("/sched/random", test_random);
	return g_test_run();
}
