#include "impl.h"

/* Use from which the workers count as full, and below which they don't. Gangs
 * of 18 cores fill 84% of workers of 64. */
#define FULL_PERMILLE 800
#define NOT_FULL_PERMILLE 700
#define FULL_FOR_MS 400 /* before jobs are refused: a burst may pass */
/* Part of the capacity that work reaches on full workers, until measured. */
#define REACHED_PERMILLE 930
#define REACHED_MIN_PERMILLE 600
#define REACHED_AVERAGE_MS 2000
#define ARRIVALS_AVERAGE_MS 3000 /* several arrivals of each queue */
/* Least part of the capacity that is assumed to be left by more urgent
 * arrivals: their rate is an estimate. */
#define LEFT_MIN_PERMILLE 50
#define RETRY_MIN_MS 300
#define RETRY_MAX_MS 15000
#define SPREAD_PERCENT                                         \
	20 /* of a delay, so that callers don't return at once \
	    */
#define NEVER_MS (INT64_C(1) << 40)
#define RATE_MIN 0.001 /* cores; keeps quotients finite without workers */

struct admit {
	struct admit_load load;
	bool full;
	int64_t changed_ms; /* since when the use is on the other side */
	double reached; /* cores that work reaches on full workers */
	/* Accepted work per ms, by its time to spare on arrival. */
	struct admit_amount arrivals[ADMIT_BUCKETS];
	struct refused_table refused;
};

struct admit *
admit_new(void)
{
	struct admit *a = g_new0(struct admit, 1);

	refused_init(&a->refused);
	return a;
}

void
admit_free(struct admit *a)
{
	if (a == NULL)
		return;
	refused_clear(&a->refused);
	g_free(a);
}

static int64_t
spare_ms(const struct cost_job *job, int64_t objectives, int64_t now_ms)
{
	return job->first_ms + objectives * job->objective_ms -
	    job->remaining_ms - now_ms;
}

static int
bucket_of(int64_t spare)
{
	return (int)CLAMP(spare / ADMIT_BUCKET_MS, 0, ADMIT_BUCKETS - 1);
}

static void
amount_add(struct admit_amount *to, const struct cost_job *job)
{
	to->work += (double)job->work;
	to->cost += (double)cost_value(job);
}

void
admit_load_add(
    struct admit_load *load, const struct cost_job *job, int64_t task_ms)
{
	int64_t spare = spare_ms(job, 1, load->now_ms);

	amount_add(
	    spare < 0 ? &load->late : &load->waiting[bucket_of(spare)], job);
	load->waiting_cores += (double)job->work / (double)MAX(task_ms, 1);
}

void
admit_load_add_run(struct admit_load *load, const struct resources *resources,
    int64_t remaining_ms)
{
	load->freed[bucket_of(remaining_ms)] +=
	    (double)cost_work(resources, 1, 1000, &load->capacity) / 1000;
}

static int64_t
permille(int64_t part, int64_t whole)
{
	return whole <= 0 ? 0 : part * 1000 / whole;
}

static int64_t
used_permille(const struct admit_load *l)
{
	int64_t cpu = permille(l->used.millicpus, l->capacity.millicpus);
	int64_t memory =
	    permille(l->used.memory >> 20, l->capacity.memory >> 20);

	return MAX(MAX(cpu, memory),
	    permille(l->used.accelerators, l->capacity.accelerators));
}

static double
waiting_work(const struct admit_load *l)
{
	double sum = l->late.work;

	for (int i = 0; i < ADMIT_BUCKETS; i++)
		sum += l->waiting[i].work;
	return sum;
}

static void
update_full(struct admit *a)
{
	int64_t used = used_permille(&a->load);
	bool waits = waiting_work(&a->load) > 0;
	bool other = a->full ? used < NOT_FULL_PERMILLE || !waits
			     : used >= FULL_PERMILLE && waits;

	if (!other) {
		a->changed_ms = a->load.now_ms;
		return;
	}
	if (a->load.now_ms - a->changed_ms < FULL_FOR_MS)
		return;
	a->full = !a->full;
	a->changed_ms = a->load.now_ms;
}

static void
update_reached(struct admit *a, int64_t elapsed_ms)
{
	double all = (double)a->load.capacity.millicpus / 1000;
	double now = all * (double)used_permille(&a->load) / 1000;

	if (a->reached <= 0)
		a->reached = all * REACHED_PERMILLE / 1000;
	if (a->full)
		a->reached += (now - a->reached) * (double)elapsed_ms /
		    REACHED_AVERAGE_MS;
	a->reached = CLAMP(a->reached, all * REACHED_MIN_PERMILLE / 1000, all);
	a->reached = MAX(a->reached, RATE_MIN);
}

void
admit_update(struct admit *a, const struct admit_load *load)
{
	int64_t elapsed_ms = CLAMP(load->now_ms - a->load.now_ms, 0, 1000);
	double keep =
	    1 - (double)elapsed_ms / (elapsed_ms + ARRIVALS_AVERAGE_MS);

	a->load = *load;
	for (int i = 0; i < ADMIT_BUCKETS; i++) {
		a->arrivals[i].work *= keep;
		a->arrivals[i].cost *= keep;
	}
	update_full(a);
	update_reached(a, elapsed_ms);
	refused_expire(&a->refused, load->now_ms);
}

/* Arrivals in cores that have less to spare than a bucket. */
static double
arrival_rate(const struct admit *a, int below)
{
	double sum = 0;

	for (int i = 0; i < below; i++)
		sum += a->arrivals[i].work;
	return sum / ARRIVALS_AVERAGE_MS;
}

/* How long the tasks that wait take on average. */
static double
mean_task_ms(const struct admit_load *l)
{
	return l->waiting_cores <= 0 ? 0 : waiting_work(l) / l->waiting_cores;
}

/* The work that waits now and can have started by the end of a bucket. */
struct supply {
	double free; /* cores at the beginning ... */
	double cores; /* ... and by the end of the bucket */
	double done; /* core-ms */
};

static void
supply_init(const struct admit *a, struct supply *s)
{
	double used = (double)a->load.capacity.millicpus / 1000 *
	    (double)used_permille(&a->load) / 1000;

	s->free = s->cores = MAX(a->reached - used, 0);
	s->done = 0;
}

/* Goes to the end of the next bucket; arrivals takes cores before. Returns the
 * core-ms that have started by then: those done, and half of a task on each
 * core on average; a whole one on cores that are free at the beginning. */
static double
supply_next(
    const struct admit *a, struct supply *s, int bucket, double arrivals)
{
	double left;

	s->cores += a->load.freed[bucket];
	left = MAX(s->cores - arrivals, s->cores * LEFT_MIN_PERMILLE / 1000);
	s->done += left * ADMIT_BUCKET_MS;
	return s->done + (left + s->free) * mean_task_ms(&a->load) / 2;
}

/* The time until so much work has started, with arrivals that go before it. */
static int64_t
time_to_start(const struct admit *a, double work, double arrivals)
{
	struct supply s;
	double started = 0;
	double rate = MAX(a->reached - arrivals,
	    MAX(a->reached * LEFT_MIN_PERMILLE / 1000, RATE_MIN));

	supply_init(a, &s);
	for (int i = 0; i < ADMIT_BUCKETS - 1; i++) {
		double before = started;

		started = supply_next(a, &s, i, arrivals);
		if (started >= work)
			return i * ADMIT_BUCKET_MS +
			    (int64_t)(ADMIT_BUCKET_MS * (work - before) /
				MAX(started - before, RATE_MIN));
	}
	return (ADMIT_BUCKETS - 1) * ADMIT_BUCKET_MS +
	    (int64_t)MIN((work - started) / rate, (double)NEVER_MS);
}

/* The wait for the work that goes first: what has less to spare, and the
 * refused work that costs more; once late, all other work that waits. */
static int64_t
wait_ms(const struct admit *a, const struct admit_request *r, int64_t spare)
{
	double own = (double)r->job.work +
	    (double)refused_work(&a->refused,
		cost_per_work(&r->job, cost_value(&r->job)), r->id);
	int bucket = bucket_of(spare);
	double ahead = own;
	int64_t wait;

	for (int i = 0; spare >= 0 && i <= bucket; i++)
		ahead += a->load.waiting[i].work;
	wait = time_to_start(a, ahead, arrival_rate(a, bucket));
	if (spare >= 0 && wait <= spare)
		return wait;
	return time_to_start(
	    a, own + waiting_work(&a->load), arrival_rate(a, ADMIT_BUCKETS));
}

static double
price_of(const struct admit_amount *m)
{
	return m->cost / MAX(m->work, 1);
}

/*
 * The loss of accepted work that a job in its place makes late. Work that has
 * to start by a time is compared with what the workers can start by then; what
 * exceeds it is late, and of that the work that costs least for its size.
 */
static int64_t
displaced_cost(const struct admit *a, const struct cost_job *job, int64_t spare)
{
	struct supply s;
	double demand = 0;
	double rate = 0; /* of arrivals */
	double cheapest = (double)cost_value(job) / (double)MAX(job->work, 1);
	double worst = 0;

	if (spare < 0)
		return 0; /* it goes after all that can be in time */
	supply_init(a, &s);
	/* The open bucket has no end by which its work has to start. */
	for (int i = 0; i < ADMIT_BUCKETS - 1; i++) {
		const struct admit_amount *w = &a->load.waiting[i];
		double started = supply_next(a, &s, i, 0);
		double before;
		double after;

		rate += a->arrivals[i].work / ARRIVALS_AVERAGE_MS;
		demand += w->work + rate * ADMIT_BUCKET_MS;
		if (w->work > 0)
			cheapest = MIN(cheapest, price_of(w));
		if (i < bucket_of(spare))
			continue;
		before = MAX(demand - started, 0);
		after = MAX(demand + (double)job->work - started, 0);
		worst = MAX(worst, (after - before) * cheapest);
	}
	return (int64_t)worst;
}

/* Deterministic, so that a repeated decision gives the same delay. */
static int64_t
spread_ms(uint64_t id, int64_t delay_ms)
{
	return (int64_t)(hash64(&id, sizeof(id)) %
	    (uint64_t)(delay_ms * SPREAD_PERCENT / 100 + 1));
}

/* When the caller should return: once the work ahead and that of the callers
 * refused before it is done, but while a result is of use. */
static int64_t
retry_ms(const struct admit *a, const struct admit_request *r, int64_t useful)
{
	double ahead = waiting_work(&a->load) +
	    (double)refused_work(&a->refused, 0, r->id);
	int64_t delay = time_to_start(a, ahead, 0);

	delay += delay * SPREAD_PERCENT / 100;
	delay = CLAMP(delay, RETRY_MIN_MS, RETRY_MAX_MS);
	/* Half the time: so it can still wait or return again, and delays are
	 * rounded up to seconds for the wire. */
	if (useful > 2 * RETRY_MIN_MS)
		delay = MIN(delay, useful / 2);
	return MAX(delay - spread_ms(r->id, delay), RETRY_MIN_MS);
}

static void
record_refusal(struct admit *a, const struct admit_request *r,
    const struct cost_job *job, const struct admit_decision *out)
{
	struct refused *entry = refused_get(&a->refused, r->id);

	entry->first_ms = job->first_ms;
	entry->attempts = out->attempt;
	entry->return_ms = r->now_ms + out->retry_ms;
	entry->price = cost_per_work(job, cost_value(job));
	/* A caller that has used its attempts is not expected back. */
	entry->work = out->attempt >= COST_ATTEMPTS_MAX ? 0 : job->work;
}

static void
record_arrival(struct admit *a, const struct cost_job *job, int64_t now_ms)
{
	int64_t spare = spare_ms(job, 1, now_ms);

	amount_add(&a->arrivals[bucket_of(spare)], job);
	/* Counts as waiting until the next round has seen it. */
	amount_add(
	    spare < 0 ? &a->load.late : &a->load.waiting[bucket_of(spare)],
	    job);
}

static void
compare_costs(
    struct admit *a, const struct admit_request *r, struct admit_decision *out)
{
	int64_t spare = spare_ms(&r->job, 1, r->now_ms);
	int64_t end_ms;
	int64_t return_end_ms;

	out->spare_ms = spare_ms(&r->job, COST_USEFUL_OBJECTIVES, r->now_ms);
	out->ahead_ms = wait_ms(a, r, spare);
	out->retry_ms = retry_ms(a, r, out->spare_ms);
	end_ms = r->now_ms + out->ahead_ms + r->job.remaining_ms;
	return_end_ms = r->now_ms + out->retry_ms + r->job.remaining_ms;
	out->accept_cost =
	    cost_of_delay(&r->job, end_ms) + displaced_cost(a, &r->job, spare);
	out->refuse_cost = cost_of_refusal(&r->job,
	    COST_ATTEMPTS_MAX - MIN(out->attempt, COST_ATTEMPTS_MAX),
	    MAX(end_ms, return_end_ms));
	out->accept = out->ahead_ms <= out->spare_ms &&
	    out->accept_cost <= out->refuse_cost;
}

struct admit_decision
admit_decide(struct admit *a, const struct admit_request *request)
{
	struct admit_decision out = { .accept = true, .attempt = 1 };
	struct admit_request r = *request;
	const struct refused *before = refused_find(&a->refused, r.id);

	r.job.first_ms = r.now_ms;
	if (before != NULL) {
		r.job.first_ms = before->first_ms;
		out.attempt = before->attempts + 1;
	}
	if (a->full && !r.exempt)
		compare_costs(a, &r, &out);
	if (out.accept) {
		refused_remove(&a->refused, r.id);
		record_arrival(a, &r.job, r.now_ms);
	} else {
		record_refusal(a, &r, &r.job, &out);
	}
	return out;
}

int64_t
admit_used_permille(const struct admit *a)
{
	return used_permille(&a->load);
}

bool
admit_saturated(const struct admit *a)
{
	return a->full;
}

uint32_t
admit_refused_count(const struct admit *a)
{
	return a->refused.order.length;
}

struct resources
admit_capacity(const struct admit *a)
{
	return a->load.capacity;
}
