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
/* Part of the rate of arrivals that is expected to last: bursts pass. With all
 * of it, replays of 1.2 times the capacity cost three times as much, as gangs
 * were refused that would have been in time. */
#define ARRIVALS_LASTING 0.5
/* Least part of the capacity that is assumed to be left by more urgent
 * arrivals: their rate is an estimate. */
#define LEFT_MIN_PERMILLE 50
/* Waiting work counts as made late if its wait is this many times what it can
 * spare. With 1, replays refused five times as many jobs under a load wave and
 * cost twice as much: the wait is estimated without preemption. */
#define DISPLACED_FACTOR 2
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
	/* Accepted work, decaying with ARRIVALS_AVERAGE_MS. */
	struct admit_amount arrivals[ADMIT_CLASSES];
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

static int
class_of(int64_t weight)
{
	gulong w = (gulong)CLAMP(weight, 2, INT32_MAX);
	guint bits = g_bit_storage(w);

	return (int)(2 * bits + (w >> (bits - 2) & 1));
}

static void
amount_add(struct admit_amount *to, const struct cost_job *job, int64_t spare)
{
	to->work += (double)job->work;
	to->cost += (double)cost_value(job);
	to->spare += (double)job->work * (double)MAX(spare, 0);
}

/* Adds work that waits. */
static void
load_add(struct admit_load *load, const struct cost_job *job, int64_t now_ms)
{
	int64_t spare = spare_ms(job, 1, now_ms);

	amount_add(spare < 0
		? &load->late
		: &load->waiting[class_of(cost_weight(job, now_ms))],
	    job, spare);
}

void
admit_load_add(
    struct admit_load *load, const struct cost_job *job, int64_t task_ms)
{
	load_add(load, job, load->now_ms);
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

	for (int i = 0; i < ADMIT_CLASSES; i++)
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
	if (!a->full && a->load.now_ms - a->changed_ms < FULL_FOR_MS)
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
	for (int i = 0; i < ADMIT_CLASSES; i++)
		a->arrivals[i].work *= keep;
	update_full(a);
	update_reached(a, elapsed_ms);
	refused_expire(&a->refused, load->now_ms);
}

/* Arrivals in cores from a class on. */
static double
arrival_rate(const struct admit *a, int from)
{
	double sum = 0;

	for (int i = from; i < ADMIT_CLASSES; i++)
		sum += a->arrivals[i].work;
	return sum * ARRIVALS_LASTING / ARRIVALS_AVERAGE_MS;
}

/* Work that waits and can be in time, from a class on. */
static double
work_from(const struct admit *a, int from)
{
	double sum = 0;

	for (int i = from; i < ADMIT_CLASSES; i++)
		sum += a->load.waiting[i].work;
	return sum;
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

/* The wait for the work that goes first: what has at least the same weight,
 * also of refused callers that return; once late, all other work that waits. */
static int64_t
wait_ms(const struct admit *a, const struct admit_request *r, int64_t spare)
{
	double own = (double)r->job.work +
	    (double)refused_work(&a->refused,
		cost_per_work(&r->job, cost_value(&r->job)), r->id);
	int class = class_of(cost_weight(&r->job, r->now_ms));
	int64_t wait = time_to_start(
	    a, own + work_from(a, class), arrival_rate(a, class + 1));

	if (spare >= 0 && wait <= spare)
		return wait;
	return time_to_start(
	    a, own + waiting_work(&a->load), arrival_rate(a, 0));
}

/*
 * The loss of accepted work that a job delays: what has less weight, if the
 * wait for what goes before it and the job is longer than it can spare. As much
 * of it as the job's work is late then, the cheapest first.
 */
static int64_t
displaced_cost(const struct admit *a, const struct cost_job *job,
    int64_t now_ms, int64_t spare)
{
	int own = class_of(cost_weight(job, now_ms));
	double ahead = work_from(a, own) + (double)job->work;
	double cheapest = -1;

	if (spare < 0)
		return 0; /* it goes after all that can be in time */
	for (int i = own - 1; i >= 0; i--) {
		const struct admit_amount *m = &a->load.waiting[i];
		double price;

		if (m->work <= 0)
			continue;
		ahead += m->work;
		price = m->cost / m->work;
		if ((double)time_to_start(a, ahead, arrival_rate(a, i + 1)) >
			DISPLACED_FACTOR * m->spare / m->work &&
		    (cheapest < 0 || price < cheapest))
			cheapest = price;
	}
	return cheapest < 0 ? 0 : (int64_t)((double)job->work * cheapest);
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
	amount_add(&a->arrivals[class_of(cost_weight(job, now_ms))], job, 0);
	/* Counts as waiting until the next round has seen it. */
	load_add(&a->load, job, now_ms);
}

static void
compare_costs(const struct admit *a, const struct admit_request *r,
    struct admit_decision *out)
{
	int64_t spare = spare_ms(&r->job, 1, r->now_ms);
	int64_t end_ms;
	int64_t return_end_ms;

	out->spare_ms = spare_ms(&r->job, COST_USEFUL_OBJECTIVES, r->now_ms);
	out->ahead_ms = wait_ms(a, r, spare);
	out->retry_ms = retry_ms(a, r, out->spare_ms);
	end_ms = r->now_ms + out->ahead_ms + r->job.remaining_ms;
	return_end_ms = r->now_ms + out->retry_ms + r->job.remaining_ms;
	out->accept_cost = cost_of_delay(&r->job, end_ms) +
	    displaced_cost(a, &r->job, r->now_ms, spare);
	out->refuse_cost = cost_of_refusal(&r->job,
	    COST_ATTEMPTS_MAX - MIN(out->attempt, COST_ATTEMPTS_MAX),
	    MAX(end_ms, return_end_ms));
	out->accept = out->ahead_ms <= out->spare_ms &&
	    out->accept_cost <= out->refuse_cost;
}

/* Sets the time of the caller's first attempt; returns which attempt it is. */
static uint32_t
set_first_attempt(const struct admit *a, struct admit_request *r)
{
	const struct refused *before = refused_find(&a->refused, r->id);

	r->job.first_ms = before == NULL ? r->now_ms : before->first_ms;
	return before == NULL ? 1 : before->attempts + 1;
}

struct admit_decision
admit_ask(const struct admit *a, const struct admit_request *request)
{
	struct admit_decision out = { .accept = true };
	struct admit_request r = *request;

	out.attempt = set_first_attempt(a, &r);
	if (a->full && !r.exempt)
		compare_costs(a, &r, &out);
	return out;
}

struct admit_decision
admit_decide(struct admit *a, const struct admit_request *request)
{
	struct admit_decision out = admit_ask(a, request);
	struct admit_request r = *request;

	(void)set_first_attempt(a, &r);
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
