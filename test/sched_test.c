#include "sched.h"

#define GIB (1LL << 30)
#define CORE 1000LL /* millicpus */
#define NONE UINT32_MAX

/* A scheduler under test with its last round and a clock. */
struct bed {
	struct sched *s;
	struct sched_round round;
	int64_t now_ms;
	uint64_t next_job;
};

static void
bed_init(struct bed *b, const struct sched_policy *policy)
{
	*b = (struct bed){ .s = sched_new(policy), .next_job = 1 };
	sched_round_init(&b->round);
}

static void
bed_clear(struct bed *b)
{
	sched_check(b->s);
	sched_round_clear(&b->round);
	sched_free(b->s);
}

static struct sched_worker
worker_like(uint32_t id, int64_t cores, int64_t gib)
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
add_workers(struct bed *b, uint32_t count, int64_t cores, int64_t gib)
{
	for (uint32_t id = 1; id <= count; id++) {
		struct sched_worker w = worker_like(id, cores, gib);

		sched_worker_set(b->s, &w);
	}
}

static struct sched_job
job_like(struct bed *b, enum kind kind, int64_t cores, int64_t gib)
{
	return (struct sched_job){
		.id = b->next_job++,
		.team = 1,
		.kind = kind,
		.idempotent = true,
		.resources = { cores * CORE, gib * GIB, 0 },
		.runtime_ms = 1000,
		.submitted_ms = b->now_ms,
	};
}

/* Adds a job that differs from the usual only in kind, size and count. */
static uint64_t
add(struct bed *b, enum kind kind, int64_t cores, int64_t gib, uint32_t count)
{
	struct sched_job job = job_like(b, kind, cores, gib);

	sched_job_add(b->s, &job, 0, count);
	return job.id;
}

static guint
decide(struct bed *b, int64_t ms)
{
	b->now_ms += ms;
	sched_decide(b->s, b->now_ms, SIZE_MAX, &b->round);
	sched_check(b->s);
	return b->round.placements->len;
}

static const struct sched_placement *
placed(const struct bed *b, guint i)
{
	return &g_array_index(b->round.placements, struct sched_placement, i);
}

static const struct sched_preemption *
preempted(const struct bed *b, guint i)
{
	return &g_array_index(b->round.preemptions, struct sched_preemption, i);
}

/* The job of the only run whose throttle the last round lifts. */
static uint64_t
resumed(const struct bed *b)
{
	g_assert_cmpuint(b->round.resumes->len, ==, 1);
	return g_array_index(b->round.resumes, struct sched_placement, 0).job;
}

/* Where a job's task was put in the last round. */
static uint32_t
where(const struct bed *b, uint64_t job, uint32_t task)
{
	for (guint i = 0; i < b->round.placements->len; i++) {
		if (placed(b, i)->job == job && placed(b, i)->task == task)
			return placed(b, i)->worker;
	}
	return NONE;
}

static struct sched_wait_reason
why(struct bed *b, uint64_t job)
{
	struct sched_wait_reason w;

	g_assert_true(sched_wait_reason(b->s, job, &w));
	return w;
}

static void
test_capacity_and_slots(void)
{
	struct bed b;
	uint64_t job;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 2, 4, 8);
	decide(&b, 0);
	g_assert_cmpint(sched_next_ms(b.s), ==, -1);
	add(&b, KIND_BATCH, 3, 2, 4);
	g_assert_cmpuint(decide(&b, 0), ==, 2);
	g_assert_cmpuint(sched_waiting_tasks(b.s), ==, 2);
	job = add(&b, KIND_BATCH, 0, 0, 40);
	g_assert_cmpint(sched_next_ms(b.s), ==, 0);
	g_assert_cmpuint(decide(&b, 0), ==, 14); /* of 16 slots */
	g_assert_cmpstr(why(&b, job).resource, ==, "slots");
	bed_clear(&b);
}

static void
test_aside(void)
{
	struct bed b;
	struct sched_worker big = worker_like(9, 32, 64);
	uint64_t large;
	uint64_t gang;
	uint64_t elsewhere;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 2, 4, 8);
	large = add(&b, KIND_BATCH, 8, 1, 1);
	gang = add(&b, KIND_GANG, 2, 1, 5);
	job = job_like(&b, KIND_BATCH, 1, 1);
	job.data_centers = 1U << 5;
	elsewhere = job.id;
	sched_job_add(b.s, &job, 0, 1);
	g_assert_cmpuint(decide(&b, 0), ==, 0);
	g_assert_cmpint(why(&b, large).reason, ==, SCHED_NEVER_FITS);
	g_assert_cmpstr(why(&b, large).resource, ==, "millicpus");
	g_assert_cmpint(why(&b, large).largest.millicpus, ==, 4 * CORE);
	g_assert_cmpint(why(&b, gang).reason, ==, SCHED_NEVER_FITS);
	g_assert_cmpint(why(&b, elsewhere).reason, ==, SCHED_NO_WORKER);
	sched_worker_set(b.s, &big);
	g_assert_cmpuint(decide(&b, 0), ==, 6);
	g_assert_cmpuint(where(&b, large, 0), ==, 9);
	g_assert_cmpint(why(&b, elsewhere).reason, ==, SCHED_NO_WORKER);
	sched_worker_remove(b.s, 9);
	bed_clear(&b);
}

static void
test_flags(void)
{
	struct bed b;
	struct sched_worker w = worker_like(1, 4, 8);

	bed_init(&b, &sched_policy_waiting);
	for (unsigned flag = SCHED_SUSPECT; flag <= SCHED_EXCLUDED;
	     flag <<= 1) {
		w.flags = flag;
		sched_worker_set(b.s, &w);
		add(&b, KIND_BATCH, 1, 1, 1);
		g_assert_cmpuint(decide(&b, 0), ==, 0);
		w.flags = 0;
		sched_worker_set(b.s, &w);
		g_assert_cmpuint(decide(&b, 0), ==, 1);
	}
	bed_clear(&b);
}

static void
test_tight_fit(void)
{
	struct bed b;
	struct sched_worker a = worker_like(1, 8, 32);
	struct sched_worker c = worker_like(2, 16, 32);

	bed_init(&b, &sched_policy_packing);
	sched_worker_set(b.s, &c);
	sched_worker_set(b.s, &a);
	/* The smaller one is left empty on millicpus. */
	add(&b, KIND_BATCH, 8, 16, 1);
	g_assert_cmpuint(decide(&b, 0), ==, 1);
	g_assert_cmpuint(placed(&b, 0)->worker, ==, 1);
	bed_clear(&b);
}

/* Memory is not left without millicpus when the other way is open. */
static void
test_stranding(void)
{
	struct bed b;
	struct sched_job job;

	bed_init(&b, &sched_policy_packing);
	add_workers(&b, 2, 16, 64);
	job = job_like(&b, KIND_BATCH, 8, 8);
	sched_run_restore(b.s, &job, 0, 1, 0);
	job = job_like(&b, KIND_BATCH, 2, 32);
	sched_run_restore(b.s, &job, 0, 2, 0);
	add(&b, KIND_BATCH, 2, 32, 1);
	decide(&b, 0);
	g_assert_cmpuint(placed(&b, 0)->worker, ==, 1);
	bed_clear(&b);
}

static void
test_accelerators_kept(void)
{
	struct bed b;
	struct sched_worker w = worker_like(1, 8, 32);
	uint64_t plain;
	struct sched_job job;

	bed_init(&b, &sched_policy_packing);
	w.capacity.accelerators = 2;
	sched_worker_set(b.s, &w);
	w = worker_like(2, 64, 256);
	sched_worker_set(b.s, &w);
	plain = add(&b, KIND_BATCH, 4, 16, 1);
	job = job_like(&b, KIND_BATCH, 4, 16);
	job.resources.accelerators = 1;
	sched_job_add(b.s, &job, 0, 1);
	g_assert_cmpuint(decide(&b, 0), ==, 2);
	g_assert_cmpuint(where(&b, plain, 0), ==, 2);
	g_assert_cmpuint(where(&b, job.id, 0), ==, 1);
	bed_clear(&b);
}

/* A task that failed on a worker goes to another one next, if there is one. */
static void
test_avoid(void)
{
	struct bed b;
	struct sched_job job;
	uint32_t first;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 2, 4, 8);
	job = job_like(&b, KIND_BATCH, 1, 1);
	sched_job_add(b.s, &job, 0, 1);
	decide(&b, 0);
	first = placed(&b, 0)->worker;
	for (unsigned i = 0; i < 2; i++) {
		uint32_t worker = placed(&b, 0)->worker;

		sched_run_end(b.s, job.id, 0, worker);
		sched_job_avoid(b.s, job.id, worker);
		sched_job_add(b.s, &job, 0, 1);
		g_assert_cmpuint(decide(&b, 1), ==, 1);
		g_assert_true((placed(&b, 0)->worker == first) == (i == 1));
	}
	for (uint64_t id = 100; id < 9000; id++)
		sched_job_avoid(b.s, id, 1); /* bounded: drops the oldest */
	bed_clear(&b);
}

/* Tasks of a service by data centre, rack or worker of those placed. */
static unsigned
domains(const struct bed *b, uint32_t per)
{
	unsigned seen = 0;

	for (guint i = 0; i < b->round.placements->len; i++)
		seen |= 1U << placed(b, i)->worker / per;
	return (unsigned)__builtin_popcount(seen);
}

static void
test_spread(void)
{
	static const enum spread spreads[] = { SPREAD_RACK,
		SPREAD_DATA_CENTER };

	for (unsigned i = 0; i < G_N_ELEMENTS(spreads); i++) {
		struct bed b;
		struct sched_job job;

		bed_init(&b, &sched_policy_packing);
		add_workers(&b, 15, 16, 64);
		job = job_like(&b, KIND_SERVICE, 1, 1);
		job.spread = spreads[i];
		sched_job_add(b.s, &job, 0, 4);
		g_assert_cmpuint(decide(&b, 0), ==, 4);
		g_assert_cmpuint(domains(&b, 2), ==, 4);
		g_assert_cmpuint(domains(&b, 4), ==, 4);
		/* The next ones count those that run. */
		sched_job_add(b.s, &job, 4, 4);
		g_assert_cmpuint(decide(&b, 0), ==, 4);
		g_assert_cmpuint(domains(&b, 4), ==, 4);
		bed_clear(&b);
	}
}

static void
test_gang_whole(void)
{
	struct bed b;
	struct sched_job small;
	uint64_t gang;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 3, 4, 8);
	small = job_like(&b, KIND_BATCH, 2, 1);
	sched_run_restore(b.s, &small, 0, 3, 0);
	gang = add(&b, KIND_GANG, 4, 4, 3);
	g_assert_cmpuint(decide(&b, 1), ==, 0);
	g_assert_cmpint(why(&b, gang).reason, ==, SCHED_WAIT_ROOM);
	sched_run_end(b.s, small.id, 0, 3);
	g_assert_cmpuint(decide(&b, 1), ==, 3);
	for (guint i = 0; i < 3; i++)
		g_assert_cmpuint(placed(&b, i)->job, ==, gang);
	bed_clear(&b);
}

/* A worker of a reservation is lost: the gang reserves anew and starts. */
static void
test_reservation_loses_worker(void)
{
	struct bed b;
	struct sched_job small;
	struct sched_worker w = worker_like(2, 4, 8);

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 3, 4, 8);
	small = job_like(&b, KIND_BATCH, 4, 1);
	sched_run_restore(b.s, &small, 0, 1, 0);
	sched_run_restore(b.s, &small, 1, 2, 0);
	sched_run_restore(b.s, &small, 2, 3, 0);
	add(&b, KIND_GANG, 4, 4, 2);
	decide(&b, 1);
	w.flags = SCHED_SUSPECT;
	sched_worker_set(b.s, &w);
	sched_run_end(b.s, small.id, 0, 1);
	decide(&b, 200);
	sched_run_end(b.s, small.id, 2, 3);
	g_assert_cmpuint(decide(&b, 1), ==, 2);
	bed_clear(&b);
}

/* Two gangs that each need most workers: one after the other, no halves. */
static void
test_two_gangs(void)
{
	struct bed b;
	uint64_t gangs[2];
	uint32_t at[4];
	unsigned done = 0;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 4, 4, 8);
	add(&b, KIND_BATCH, 4, 4, 4);
	g_assert_cmpuint(decide(&b, 0), ==, 4);
	for (uint32_t i = 0; i < 4; i++)
		at[i] = where(&b, 1, i);
	gangs[0] = add(&b, KIND_GANG, 4, 4, 3);
	gangs[1] = add(&b, KIND_GANG, 4, 4, 3);
	g_assert_cmpuint(decide(&b, 1), ==, 0);
	for (uint32_t i = 0; i < 4; i++)
		sched_run_end(b.s, 1, i, at[i]);
	for (unsigned turn = 0; turn < 8; turn++) {
		guint n = decide(&b, 200);
		uint64_t job;

		if (n == 0)
			continue;
		g_assert_cmpuint(n, ==, 3);
		job = placed(&b, 0)->job;
		g_assert_true(job == gangs[0] || job == gangs[1]);
		done++;
		for (guint i = 0; i < n; i++)
			sched_run_end(b.s, job, placed(&b, i)->task,
			    placed(&b, i)->worker);
	}
	g_assert_cmpuint(done, ==, 2);
	bed_clear(&b);
}

/* Ends those of the running placements that are due, oldest first. */
static void
end_due(struct bed *b, GArray *running, const GArray *ends)
{
	for (guint i = 0; i < running->len; i++) {
		const struct sched_placement *p =
		    &g_array_index(running, struct sched_placement, i);

		if (g_array_index(ends, int64_t, i) <= b->now_ms)
			sched_run_end(b->s, p->job, p->task, p->worker);
	}
}

/* An endless stream of batch work, and how long it really runs. */
struct stream {
	int64_t cores;
	uint32_t tasks; /* every 500 ms */
	int64_t runtime_ms; /* declared as 1000 */
	bool urgent;
	bool unlike; /* each job has a shape of its own */
};

static void
add_stream(struct bed *b, const struct stream *stream, unsigned turn)
{
	struct sched_job job = job_like(b, KIND_BATCH, stream->cores, 1);

	job.urgent = stream->urgent;
	if (stream->unlike) {
		job.resources.memory += turn;
		job.team = 2 + turn % 20;
	}
	sched_job_add(b->s, &job, 0, stream->tasks);
}

/*
 * How long a gang waits that needs all but one of four workers, amid a stream.
 * Its team has the last one already: others' shares are less.
 */
static int64_t
gang_wait(const struct stream *stream)
{
	struct bed b;
	uint64_t gang = 0;
	GArray *running =
	    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t added_ms = 0;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 4, 4, 8);
	add(&b, KIND_SERVICE, 4, 4, 1);
	for (unsigned turn = 0;
	     turn < 400 && (gang == 0 || where(&b, gang, 0) == NONE); turn++) {
		int64_t end_ms = b.now_ms + 500 + stream->runtime_ms;

		if (turn == 20) {
			gang = add(&b, KIND_GANG, 4, 4, 3);
			added_ms = b.now_ms;
		}
		add_stream(&b, stream, turn);
		decide(&b, 500);
		g_array_append_vals(
		    running, b.round.placements->data, b.round.placements->len);
		while (ends->len < running->len)
			g_array_append_val(ends, end_ms);
		end_due(&b, running, ends);
	}
	g_array_unref(running);
	g_array_unref(ends);
	added_ms = b.now_ms - added_ms;
	bed_clear(&b);
	return added_ms;
}

/*
 * Small tasks that run four times as long as declared, urgent ones, and large
 * ones that starve and reserve too: the gang starts within the strict bound,
 * the run time, and for the last what came before it.
 */
static void
test_gang_amid_stream(void)
{
	int64_t bound = sched_policy_waiting.strict_after_ms + 4000 + 1000;
	struct stream small = { 1, 4, 4000, false, false };
	struct stream urgent = { 1, 4, 4000, true, false };
	struct stream large = { 4, 2, 2000, false, true };

	g_assert_cmpint(gang_wait(&small), <=, bound);
	g_assert_cmpint(gang_wait(&urgent), <=, bound);
	g_assert_cmpint(gang_wait(&large), <=, 10000 + bound);
}

/* Short work may use the room that a gang waits for; long work may not. */
static void
test_backfill(void)
{
	struct bed b;
	struct sched_job job;
	uint64_t brief;
	uint64_t lengthy;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 2, 4, 8);
	job = job_like(&b, KIND_BATCH, 4, 1);
	job.runtime_ms = 8000;
	sched_run_restore(b.s, &job, 0, 1, 0);
	add(&b, KIND_GANG, 4, 4, 2);
	g_assert_cmpuint(decide(&b, 1), ==, 0);
	job = job_like(&b, KIND_BATCH, 2, 1);
	job.runtime_ms = 60000;
	lengthy = job.id;
	sched_job_add(b.s, &job, 0, 1);
	job = job_like(&b, KIND_BATCH, 1, 1);
	job.runtime_ms = 1000;
	brief = job.id;
	sched_job_add(b.s, &job, 0, 1);
	g_assert_cmpuint(decide(&b, 1), ==, 1);
	g_assert_cmpuint(where(&b, brief, 0), ==, 2);
	g_assert_cmpint(why(&b, lengthy).reason, ==, SCHED_WAIT_RESERVED);
	sched_run_end(b.s, brief, 0, 2);
	/* Past the bound not even that. */
	decide(&b, sched_policy_waiting.strict_after_ms);
	add(&b, KIND_BATCH, 1, 1, 1);
	g_assert_cmpuint(decide(&b, 1), ==, 0);
	bed_clear(&b);
}

static void
test_order(void)
{
	struct bed b;
	struct sched_job job;
	uint64_t plain;
	uint64_t dated;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 1, 4, 8);
	plain = add(&b, KIND_BATCH, 4, 1, 1);
	job = job_like(&b, KIND_BATCH, 4, 1);
	job.deadline_ms = 10000;
	dated = job.id;
	sched_job_add(b.s, &job, 0, 1);
	job = job_like(&b, KIND_BATCH, 4, 1);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 1);
	g_assert_cmpuint(decide(&b, 1), ==, 1);
	g_assert_cmpuint(placed(&b, 0)->job, ==, job.id);
	sched_run_end(b.s, job.id, 0, 1);
	decide(&b, 5000); /* the deadline comes near */
	g_assert_cmpuint(placed(&b, 0)->job, ==, dated);
	sched_run_end(b.s, dated, 0, 1);
	decide(&b, 1);
	g_assert_cmpuint(placed(&b, 0)->job, ==, plain);
	bed_clear(&b);
}

/* Teams of weight 1 and 3 share what both want; one alone borrows all. */
static void
test_fair_share(void)
{
	struct bed b;
	struct resources quota = { 0 };
	unsigned of_team[3] = { 0 };

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 4, 4, 8);
	sched_team_set(b.s, 1, 1, &quota);
	sched_team_set(b.s, 2, 3, &quota);
	for (uint32_t i = 0; i < 32; i++) {
		struct sched_job job = job_like(&b, KIND_BATCH, 1, 1);

		job.team = i < 16 ? 1 : 2;
		sched_job_add(b.s, &job, 0, 1);
	}
	g_assert_cmpuint(decide(&b, 0), ==, 16);
	for (guint i = 0; i < 16; i++)
		of_team[placed(&b, i)->job <= 16 ? 1 : 2]++;
	g_assert_cmpuint(of_team[1], ==, 4);
	g_assert_cmpuint(of_team[2], ==, 12);
	g_assert_cmpfloat(sched_team_share(b.s, 2), ==, 0.75);
	for (guint i = 0; i < 16; i++)
		sched_run_end(
		    b.s, placed(&b, i)->job, 0, placed(&b, i)->worker);
	g_assert_cmpuint(decide(&b, 0), ==, 16); /* 12 of team 1: borrowed */
	bed_clear(&b);
}

/* Borrowed room comes back to a team within its quota. */
static void
test_reclaim(void)
{
	struct bed b;
	struct resources quota = { 8 * CORE, 0, 0 };
	struct sched_job job;
	unsigned stops = 0;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 4, 4, 8);
	sched_team_set(b.s, 1, 1, &quota);
	sched_team_set(b.s, 2, 1, &quota);
	add(&b, KIND_BATCH, 4, 4, 4);
	g_assert_cmpuint(decide(&b, 0), ==, 4);
	job = job_like(&b, KIND_BATCH, 4, 4);
	job.team = 2;
	sched_job_add(b.s, &job, 0, 3);
	g_assert_cmpuint(decide(&b, 10), ==, 0);
	g_assert_cmpuint(b.round.preemptions->len, ==, 0);
	for (unsigned turn = 0; turn < 200; turn++) {
		decide(&b, 100);
		for (guint i = 0; i < b.round.preemptions->len; i++) {
			const struct sched_preemption *p = preempted(&b, i);

			if (p->action != SCHED_CHECKPOINT_STOP)
				continue;
			stops++;
			g_assert_cmpuint(p->job, ==, 1);
			sched_run_end(b.s, p->job, p->task, p->worker);
		}
	}
	g_assert_cmpuint(stops, ==, 2); /* up to the quota, no more */
	g_assert_cmpfloat(sched_team_share(b.s, 2), ==, 0.5);
	bed_clear(&b);
}

/* Fills workers 1 to 3: not idempotent, old and new batch. */
static void
fill_for_preemption(struct bed *b)
{
	struct sched_job job = job_like(b, KIND_BATCH, 4, 4);

	add_workers(b, 3, 4, 8);
	job.idempotent = false;
	sched_run_restore(b->s, &job, 0, 1, 900);
	job = job_like(b, KIND_BATCH, 4, 4);
	sched_run_restore(b->s, &job, 0, 2, 0);
	job = job_like(b, KIND_BATCH, 4, 4);
	sched_run_restore(b->s, &job, 0, 3, 500);
	b->now_ms = 1000;
}

static void
test_preempt(void)
{
	struct bed b;
	struct sched_job job;
	uint64_t thief;

	bed_init(&b, &sched_policy_waiting);
	fill_for_preemption(&b);
	job = job_like(&b, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 1);
	decide(&b, 0);
	g_assert_cmpuint(b.round.preemptions->len, ==, 1);
	g_assert_cmpint(sched_next_ms(b.s), >, b.now_ms);
	g_assert_cmpint(preempted(&b, 0)->action, ==, SCHED_THROTTLE);
	g_assert_cmpuint(preempted(&b, 0)->worker, ==, 3); /* least lost */
	g_assert_cmpuint(preempted(&b, 0)->for_job, ==, job.id);
	decide(&b, sched_policy_waiting.throttle_ms);
	g_assert_cmpuint(b.round.preemptions->len, ==, 1);
	g_assert_cmpint(preempted(&b, 0)->action, ==, SCHED_CHECKPOINT_STOP);
	/* Not twice for the same need, however long the stop takes. */
	for (unsigned i = 0; i < 20; i++) {
		decide(&b, 100);
		g_assert_cmpuint(b.round.preemptions->len, ==, 0);
	}
	/* The room is kept from work of the same size that came before. */
	thief = add(&b, KIND_BATCH, 3, 3, 1);
	sched_run_end(b.s, 3, 0, 3);
	decide(&b, 1);
	g_assert_cmpuint(where(&b, job.id, 0), ==, 3);
	g_assert_cmpuint(where(&b, thief, 0), ==, NONE);
	bed_clear(&b);
}

/* What was stopped before and restarted counts with all its lost work. */
static void
test_preempt_in_turn(void)
{
	struct bed b;
	struct sched_job victim;
	struct sched_job other;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 1, 4, 8);
	victim = job_like(&b, KIND_BATCH, 4, 4);
	sched_run_restore(b.s, &victim, 0, 1, 0);
	b.now_ms = 4000;
	job = job_like(&b, KIND_BATCH, 4, 4);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 1);
	decide(&b, 0);
	decide(&b, sched_policy_waiting.throttle_ms);
	g_assert_cmpuint(preempted(&b, 0)->job, ==, victim.id);
	sched_run_end(b.s, victim.id, 0, 1);
	sched_job_add(b.s, &victim, 0, 1);
	decide(&b, 1);
	add_workers(&b, 2, 4, 8);
	other = job_like(&b, KIND_BATCH, 4, 4);
	sched_run_restore(b.s, &other, 0, 2, b.now_ms - 1000);
	sched_run_end(b.s, job.id, 0, where(&b, job.id, 0));
	g_assert_cmpuint(decide(&b, 1), ==, 1); /* the victim, newest now */
	job.id = b.next_job++;
	sched_job_add(b.s, &job, 0, 1);
	decide(&b, 1);
	g_assert_cmpuint(preempted(&b, 0)->job, ==, other.id);
	bed_clear(&b);
}

/*
 * A team within its quota amid an endless stream of another's work that can't
 * be stopped: each of its tasks waits no longer than the bounds and a run.
 */
static void
test_team_within_quota(void)
{
	static const struct sched_policy *const policies[] = {
		&sched_policy_waiting, &sched_policy_packing
	};

	for (unsigned i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct bed b;
		struct resources quota = { 8 * CORE, 16 * GIB, 0 };
		GArray *running =
		    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
		GArray *ends = g_array_new(FALSE, FALSE, sizeof(int64_t));
		struct sched_job large;
		int64_t bound = policies[i]->quota_after_ms +
		    policies[i]->reserve_after_ms +
		    policies[i]->strict_after_ms + 6000;
		unsigned started = 0;

		bed_init(&b, policies[i]);
		add_workers(&b, 4, 4, 8);
		sched_team_set(b.s, 1, 1, &quota);
		sched_team_set(b.s, 2, 1, &quota);
		large.id = 0;
		while (b.now_ms < 300000) {
			struct sched_job small = job_like(&b, KIND_BATCH, 1, 1);
			int64_t end_ms;

			small.idempotent = false;
			sched_job_add(b.s, &small, 0, 4);
			if (large.id == 0) {
				large = job_like(&b, KIND_BATCH, 4, 8);
				large.team = 2;
				sched_job_add(b.s, &large, 0, 1);
			}
			decide(&b, 500);
			end_ms = b.now_ms + 4000;
			g_array_append_vals(running, b.round.placements->data,
			    b.round.placements->len);
			while (ends->len < running->len)
				g_array_append_val(ends, end_ms);
			g_assert_cmpint(
			    b.now_ms - large.submitted_ms, <=, bound);
			if (where(&b, large.id, 0) != NONE) {
				large.id = 0;
				started++;
			}
			end_due(&b, running, ends);
		}
		g_assert_cmpuint(started, >=, 300000 / bound);
		g_array_unref(running);
		g_array_unref(ends);
		bed_clear(&b);
	}
}

/* Room that comes from elsewhere in time: nothing is stopped. */
static void
test_preempt_resume(void)
{
	struct bed b;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	fill_for_preemption(&b);
	job = job_like(&b, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 1);
	decide(&b, 0);
	sched_run_end(b.s, 1, 0, 1);
	g_assert_cmpuint(decide(&b, 10), ==, 1);
	g_assert_cmpuint(placed(&b, 0)->worker, ==, 1);
	g_assert_cmpuint(b.round.preemptions->len, ==, 0);
	g_assert_cmpuint(resumed(&b), ==, 3);
	bed_clear(&b);
}

/* A cancelled job's need goes with it. */
static void
test_preempt_cancelled(void)
{
	struct bed b;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	fill_for_preemption(&b);
	job = job_like(&b, KIND_BATCH, 2, 2);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 2);
	decide(&b, 0);
	g_assert_cmpuint(b.round.preemptions->len, ==, 1);
	sched_job_remove(b.s, job.id);
	g_assert_cmpuint(sched_waiting_tasks(b.s), ==, 0);
	decide(&b, 1000);
	g_assert_cmpuint(resumed(&b), ==, 3);
	bed_clear(&b);
}

/* Room that is made for a service is not all made in one rack. */
static void
test_preempt_spread(void)
{
	struct bed b;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 4, 4, 8);
	for (uint32_t worker = 1; worker <= 4; worker++) {
		job = job_like(&b, KIND_BATCH, 4, 4);
		/* The least work is lost in one rack, workers 2 and 3. */
		sched_run_restore(
		    b.s, &job, 0, worker, worker / 2 == 1 ? 900 : 100);
	}
	b.now_ms = 1000;
	job = job_like(&b, KIND_SERVICE, 4, 4);
	job.urgent = true;
	job.spread = SPREAD_RACK;
	sched_job_add(b.s, &job, 0, 2);
	decide(&b, 0);
	g_assert_cmpuint(b.round.preemptions->len, ==, 2);
	g_assert_cmpuint(
	    preempted(&b, 0)->worker / 2, !=, preempted(&b, 1)->worker / 2);
	bed_clear(&b);
}

/* A burst of urgent work spreads its needs over rounds, all in the end. */
static void
test_urgent_burst(void)
{
	struct bed b;
	struct sched_job job;
	unsigned throttled = 0;

	bed_init(&b, &sched_policy_packing); /* its throttles last for 300 ms */
	add_workers(&b, 60, 4, 8);
	add(&b, KIND_BATCH, 4, 4, 60);
	g_assert_cmpuint(decide(&b, 0), ==, 60);
	for (unsigned i = 0; i < 50; i++) {
		job = job_like(&b, KIND_BATCH, 4, 4);
		job.urgent = true;
		sched_job_add(b.s, &job, 0, 1);
	}
	for (unsigned i = 0; i < 5; i++) {
		decide(&b, 50);
		g_assert_cmpuint(b.round.preemptions->len, <=, 16);
		throttled += b.round.preemptions->len;
	}
	g_assert_cmpuint(throttled, ==, 50);
	bed_clear(&b);
}

static void
test_urgent_gang(void)
{
	struct bed b;
	struct sched_job job;

	bed_init(&b, &sched_policy_waiting);
	fill_for_preemption(&b);
	job = job_like(&b, KIND_GANG, 4, 4);
	job.urgent = true;
	sched_job_add(b.s, &job, 0, 2);
	decide(&b, 0);
	decide(&b, sched_policy_waiting.throttle_ms);
	for (guint i = 0; i < b.round.preemptions->len; i++)
		sched_run_end(
		    b.s, preempted(&b, i)->job, 0, preempted(&b, i)->worker);
	sched_run_end(b.s, 1, 0, 1);
	decide(&b, 1);
	g_assert_cmpuint(b.round.placements->len, ==, 2);
	bed_clear(&b);
}

/* A large task amid a stream of small ones is reserved for. */
static void
test_large_batch(void)
{
	struct bed b;
	uint64_t large;
	uint64_t at[2]; /* the jobs that run, each for two turns */
	unsigned turn = 0;

	bed_init(&b, &sched_policy_waiting);
	add_workers(&b, 1, 4, 8);
	at[0] = add(&b, KIND_BATCH, 2, 2, 1);
	at[1] = add(&b, KIND_BATCH, 2, 2, 1);
	decide(&b, 0);
	large = add(&b, KIND_BATCH, 4, 4, 1);
	for (; turn < 100; turn++) {
		sched_run_end(b.s, at[turn % 2], 0, 1);
		add(&b, KIND_BATCH, 2, 2, 1);
		decide(&b, 500);
		if (where(&b, large, 0) != NONE)
			break;
		if (b.round.placements->len > 0)
			at[turn % 2] = placed(&b, 0)->job;
	}
	g_assert_cmpuint(turn, <, 100);
	bed_clear(&b);
}

enum task_state { TASK_WAITS, TASK_RUNS, TASK_ENDED };

struct model_job {
	struct sched_job spec;
	uint32_t count;
	enum task_state state[16];
	uint32_t worker[16];
	int64_t end_ms[16]; /* of a running task */
};

/* What the scheduler must agree with. */
struct model {
	struct bed bed;
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

	j.spec = job_like(&m->bed, kinds[rng_below(&m->rng, 5)],
	    1 + (int64_t)rng_below(&m->rng, 6),
	    1 + (int64_t)rng_below(&m->rng, 12));
	j.spec.team = 1 + (uint32_t)rng_below(&m->rng, 5);
	j.spec.urgent = rng_below(&m->rng, 8) == 0;
	j.spec.idempotent = rng_below(&m->rng, 4) != 0;
	j.spec.runtime_ms = (int64_t)rng_below(&m->rng, 4000);
	j.spec.spread = (enum spread)rng_below(&m->rng, 3);
	if (rng_below(&m->rng, 4) == 0)
		j.spec.deadline_ms = m->bed.now_ms + 10000;
	if (rng_below(&m->rng, 6) == 0)
		j.spec.data_centers = 1U << rng_below(&m->rng, 6);
	m->waiting += j.count;
	sched_job_add(m->bed.s, &j.spec, 0, j.count);
	g_array_append_val(m->jobs, j);
}

static void
model_end(struct model *m, uint64_t id, uint32_t task, bool again)
{
	struct model_job *j = model_job(m, id);

	g_assert_cmpint(j->state[task], ==, TASK_RUNS);
	sched_run_end(m->bed.s, id, task, j->worker[task]);
	j->state[task] = again ? TASK_WAITS : TASK_ENDED;
	if (!again)
		return;
	m->waiting++;
	sched_job_add(m->bed.s, &j->spec, task, 1);
}

/* Ends the tasks that are due, or those of one worker to wait again. */
static void
model_end_some(struct model *m, uint32_t worker)
{
	for (uint64_t id = 1; id <= m->jobs->len; id++) {
		struct model_job *j = model_job(m, id);

		for (uint32_t i = 0; i < j->count; i++) {
			if (j->state[i] != TASK_RUNS)
				continue;
			if (worker != NONE && j->worker[i] == worker)
				model_end(m, id, i, true);
			else if (worker == NONE &&
			    j->end_ms[i] <= m->bed.now_ms)
				model_end(m, id, i, false);
		}
	}
}

static void
model_cancel(struct model *m)
{
	uint64_t id = 1 + rng_below(&m->rng, m->jobs->len);
	struct model_job *j = model_job(m, id);

	sched_job_remove(m->bed.s, id);
	for (uint32_t i = 0; i < j->count; i++) {
		if (j->state[i] != TASK_WAITS)
			continue;
		j->state[i] = TASK_ENDED;
		m->waiting--;
	}
}

/* Changes a worker's flags, or loses it with all it runs. */
static void
model_worker(struct model *m)
{
	uint32_t i = (uint32_t)rng_below(&m->rng, G_N_ELEMENTS(m->workers));
	struct sched_worker *w = &m->workers[i];

	w->flags = w->flags != 0 ? 0 : 1U << rng_below(&m->rng, 3);
	if (rng_below(&m->rng, 3) == 0) {
		model_end_some(m, w->id);
		sched_worker_remove(m->bed.s, w->id);
		w->flags = 0;
	}
	sched_worker_set(m->bed.s, w);
}

/* Takes a round's placements over; a gang's waiting tasks start as one. */
static void
model_round(struct model *m)
{
	struct bed *b = &m->bed;

	decide(b, 1 + (int64_t)rng_below(&m->rng, 200));
	for (guint i = 0; i < b->round.placements->len; i++) {
		const struct sched_placement *p = placed(b, i);
		struct model_job *j = model_job(m, p->job);

		g_assert_cmpint(j->state[p->task], ==, TASK_WAITS);
		j->state[p->task] = TASK_RUNS;
		j->worker[p->task] = p->worker;
		j->end_ms[p->task] =
		    b->now_ms + (int64_t)rng_below(&m->rng, 5000);
		m->waiting--;
		g_assert_cmpint(m->workers[p->worker].flags, ==, 0);
	}
	for (guint i = 0; i < b->round.placements->len; i++) {
		const struct model_job *j = model_job(m, placed(b, i)->job);

		for (uint32_t k = 0; j->spec.kind == KIND_GANG && k < j->count;
		     k++)
			g_assert_cmpint(j->state[k], !=, TASK_WAITS);
	}
	for (guint i = 0; i < b->round.preemptions->len; i++) {
		struct sched_preemption p = *preempted(b, i);
		const struct model_job *j = model_job(m, p.job);

		g_assert_true(j->spec.kind == KIND_BATCH &&
		    j->spec.idempotent && !j->spec.urgent);
		if (p.action == SCHED_CHECKPOINT_STOP)
			model_end(m, p.job, p.task, true);
	}
	g_assert_cmpuint(m->waiting, ==, sched_waiting_tasks(b->s));
}

static void
model_init(struct model *m, uint64_t seed, const struct sched_policy *policy)
{
	*m = (struct model){ .rng = { seed } };
	bed_init(&m->bed, policy);
	m->jobs = g_array_new(FALSE, FALSE, sizeof(struct model_job));
	for (uint32_t i = 0; i < G_N_ELEMENTS(m->workers); i++) {
		m->workers[i] = worker_like(i, 4 + 4 * (i % 3), 16);
		sched_worker_set(m->bed.s, &m->workers[i]);
	}
	for (uint32_t team = 1; team < 5; team++) {
		struct resources quota = { 30 * CORE, 60 * GIB, 0 };

		sched_team_set(m->bed.s, team, team, &quota);
	}
}

/* With no more changes all that can ever fit starts and ends. */
static void
model_drain(struct model *m)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(m->workers); i++) {
		m->workers[i].flags = 0;
		sched_worker_set(m->bed.s, &m->workers[i]);
	}
	for (unsigned turn = 0; turn < 5000 && m->waiting > 0; turn++) {
		model_round(m);
		model_end_some(m, NONE);
	}
	for (uint64_t id = 1; id <= m->jobs->len; id++) {
		struct sched_wait_reason w;

		if (sched_wait_reason(m->bed.s, id, &w))
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
		for (unsigned turn = 0; turn < 400; turn++) {
			if (rng_below(&m.rng, 2) == 0)
				model_add(&m);
			if (rng_below(&m.rng, 20) == 0 && m.jobs->len > 0)
				model_cancel(&m);
			if (rng_below(&m.rng, 10) == 0)
				model_worker(&m);
			model_end_some(&m, NONE);
			model_round(&m);
		}
		model_drain(&m);
		g_array_unref(m.jobs);
		bed_clear(&m.bed);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/capacity-and-slots", test_capacity_and_slots);
	g_test_add_func("/sched/aside", test_aside);
	g_test_add_func("/sched/flags", test_flags);
	g_test_add_func("/sched/tight-fit", test_tight_fit);
	g_test_add_func("/sched/stranding", test_stranding);
	g_test_add_func("/sched/accelerators-kept", test_accelerators_kept);
	g_test_add_func("/sched/avoid", test_avoid);
	g_test_add_func("/sched/spread", test_spread);
	g_test_add_func("/sched/gang-whole", test_gang_whole);
	g_test_add_func(
	    "/sched/reservation-loses-worker", test_reservation_loses_worker);
	g_test_add_func("/sched/two-gangs", test_two_gangs);
	g_test_add_func("/sched/gang-amid-stream", test_gang_amid_stream);
	g_test_add_func("/sched/backfill", test_backfill);
	g_test_add_func("/sched/order", test_order);
	g_test_add_func("/sched/fair-share", test_fair_share);
	g_test_add_func("/sched/reclaim", test_reclaim);
	g_test_add_func("/sched/preempt", test_preempt);
	g_test_add_func("/sched/preempt-in-turn", test_preempt_in_turn);
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
