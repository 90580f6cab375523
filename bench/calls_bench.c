/*
 * Replays service calls on a virtual clock and compares ways to choose
 * targets, to retry and to refuse. Only the decisions are real: a target is a
 * service time drawn from a seeded generator.
 *
 * Prints one line a way and load: calls answered within their deadline, calls
 * that a target worked on in vain, and waiting times.
 */
#include <math.h>
#include <stdio.h>

#include "calls.h"

#define TARGETS 24
#define SLOTS 8 /* calls that a target serves at the same time */
#define CONNECTIONS 64 /* of a worker, shared by all entries */
#define ENTRIES 9
#define SLOW_TARGETS 2 /* take three times as long */
#define SLOW_FACTOR 3
#define BAD_TARGET 0 /* fails every call at once */
#define MEAN_MS 20.0 /* of a call on a good target */
#define DEADLINE_MS 250
#define DURATION_MS 30000
#define SEED 41
#define FAILURE_MS 1 /* until a failure is told */

/* One way to run an entry. */
struct way {
	const char *name;
	struct calls_policy policy;
};

struct event {
	int64_t at_ms;
	int entry;
	uint32_t call;
	enum calls_try_end how;
};

/* What is known of a call beside the library's tables. */
struct record {
	int64_t begun_ms;
};

struct replay {
	struct calls *calls[ENTRIES];
	GArray *records[ENTRIES]; /* struct record by call handle */
	double free_ms[TARGETS][SLOTS]; /* when each slot ends its work */
	struct rng rng;
	GArray *events; /* struct event, a heap by time */
	GArray *waits; /* int64_t, of calls answered in time */
	bool bad; /* BAD_TARGET fails what it gets */
	int64_t begun;
	int64_t in_time;
	int64_t late;
	int64_t refused;
	int64_t failed;
	int64_t tries;
};

static double
uniform(struct rng *rng)
{
	return ((double)(rng_next(rng) >> 11) + 1) / 9007199254740993.0;
}

/* Draws a time with the given mean, exponentially distributed. */
static double
exponential(struct rng *rng, double mean)
{
	return -mean * log(uniform(rng));
}

static struct event *
event_at(struct replay *r, guint i)
{
	return &g_array_index(r->events, struct event, i);
}

static void
swap(struct replay *r, guint a, guint b)
{
	struct event keep = *event_at(r, a);

	*event_at(r, a) = *event_at(r, b);
	*event_at(r, b) = keep;
}

static void
push(struct replay *r, struct event e)
{
	guint i = r->events->len;

	g_array_append_val(r->events, e);
	for (; i > 0; i = (i - 1) / 2) {
		if (event_at(r, (i - 1) / 2)->at_ms <= event_at(r, i)->at_ms)
			return;
		swap(r, i, (i - 1) / 2);
	}
}

static struct event
pop(struct replay *r)
{
	struct event first = *event_at(r, 0);
	guint i = 0;

	swap(r, 0, r->events->len - 1);
	g_array_set_size(r->events, r->events->len - 1);
	while (2 * i + 1 < r->events->len) {
		guint child = 2 * i + 1;

		if (child + 1 < r->events->len &&
		    event_at(r, child + 1)->at_ms < event_at(r, child)->at_ms)
			child++;
		if (event_at(r, i)->at_ms <= event_at(r, child)->at_ms)
			break;
		swap(r, i, child);
		i = child;
	}
	return first;
}

/* Queues a call at its target; returns when it will have been served. */
static double
serve(struct replay *r, uint64_t target, double now_ms, double mean)
{
	double *first = &r->free_ms[target][0];

	for (int i = 1; i < SLOTS; i++) {
		if (r->free_ms[target][i] < *first)
			first = &r->free_ms[target][i];
	}
	*first = MAX(*first, now_ms) + exponential(&r->rng, mean);
	return *first;
}

/* Plays the target: when and how the try ends. */
static void
send_try(struct replay *r, int entry, const struct calls_decision *step,
    int64_t now_ms)
{
	uint64_t target = step->target - 1;
	struct event e = { .entry = entry, .call = step->call };
	double mean = target <= SLOW_TARGETS ? MEAN_MS * SLOW_FACTOR : MEAN_MS;

	r->tries++;
	if (r->bad && target == BAD_TARGET) {
		e.how = CALLS_END_FAILED;
		e.at_ms = now_ms + FAILURE_MS;
	} else {
		e.how = CALLS_END_ANSWERED;
		e.at_ms = (int64_t)ceil(serve(r, target, (double)now_ms, mean));
	}
	push(r, e);
}

static void
take_step(struct replay *r, int entry, const struct calls_decision *step,
    int64_t now_ms)
{
	if (step->action == CALLS_SEND)
		send_try(r, entry, step, now_ms);
	r->refused += step->action == CALLS_REFUSE;
	r->failed += step->action == CALLS_GIVE_UP && step->reason != CALLS_OK;
}

static void
answered(struct replay *r, const struct event *e)
{
	GArray *records = r->records[e->entry];
	int64_t took =
	    e->at_ms - g_array_index(records, struct record, e->call).begun_ms;

	if (took > DEADLINE_MS) {
		r->late++;
		return;
	}
	r->in_time++;
	g_array_append_val(r->waits, took);
}

static void
take_event(struct replay *r, const struct event *e)
{
	struct calls *calls = r->calls[e->entry];
	struct calls_decision step;

	if (e->how == CALLS_END_ANSWERED)
		answered(r, e);
	step = calls_try_ended(calls, e->call, e->how, e->at_ms);
	take_step(r, e->entry, &step, e->at_ms);
	while (calls_next(calls, e->at_ms, &step))
		take_step(r, e->entry, &step, e->at_ms);
}

static void
new_call(struct replay *r, int64_t now_ms)
{
	int entry = (int)rng_below(&r->rng, ENTRIES);
	GArray *records = r->records[entry];
	struct calls_request request = { .idempotent = true,
		.deadline_ms = now_ms + DEADLINE_MS };
	struct calls_decision step =
	    calls_begin(r->calls[entry], &request, now_ms);

	r->begun++;
	if (step.call >= records->len)
		g_array_set_size(records, step.call + 1);
	g_array_index(records, struct record, step.call).begun_ms = now_ms;
	take_step(r, entry, &step, now_ms);
}

static void
set_up(struct replay *r, const struct way *way)
{
	for (int e = 0; e < ENTRIES; e++) {
		r->calls[e] = calls_new(&way->policy, SEED + (uint64_t)e);
		r->records[e] = g_array_new(FALSE, TRUE, sizeof(struct record));
		for (uint32_t i = 0; i < TARGETS; i++) {
			struct calls_target t = { i + 1, 0, i, SLOTS };

			calls_worker_set(r->calls[e], i, CONNECTIONS / ENTRIES);
			calls_target_set(r->calls[e], &t);
		}
	}
}

static void
tear_down(struct replay *r)
{
	for (int e = 0; e < ENTRIES; e++) {
		calls_free(r->calls[e]);
		g_array_unref(r->records[e]);
	}
	g_array_unref(r->events);
	g_array_unref(r->waits);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t
percentile(GArray *sorted, double part)
{
	if (sorted->len == 0)
		return 0;
	return g_array_index(
	    sorted, int64_t, (guint)(part * (sorted->len - 1)));
}

static void
replay(const struct way *way, bool bad, double load)
{
	/* Calls a millisecond that the good targets can just serve. */
	double full = SLOTS *
	    (TARGETS - bad - SLOW_TARGETS +
		(double)SLOW_TARGETS / SLOW_FACTOR) /
	    MEAN_MS;
	struct replay r = { .rng = { SEED },
		.bad = bad,
		.events = g_array_new(FALSE, FALSE, sizeof(struct event)),
		.waits = g_array_new(FALSE, FALSE, sizeof(int64_t)) };
	double arrival = 0;

	set_up(&r, way);
	while (arrival < DURATION_MS || r.events->len > 0) {
		struct event e;

		if (arrival < DURATION_MS &&
		    (r.events->len == 0 ||
			(int64_t)arrival <= event_at(&r, 0)->at_ms)) {
			new_call(&r, (int64_t)arrival);
			arrival += exponential(&r.rng, 1 / (full * load));
			continue;
		}
		e = pop(&r);
		take_event(&r, &e);
	}
	g_array_sort(r.waits, by_value);
	printf("%-12s %3s %4.2f  %6.2f%%  %6.2f%%  %6.2f%%  %6.2f%%  %5.2f  "
	       "%4d  %4d\n",
	    way->name, bad ? "yes" : "no", load,
	    100.0 * (double)r.in_time / (double)r.begun,
	    100.0 * (double)r.late / (double)r.begun,
	    100.0 * (double)r.refused / (double)r.begun,
	    100.0 * (double)r.failed / (double)r.begun,
	    (double)r.tries / (double)r.begun, (int)percentile(r.waits, 0.5),
	    (int)percentile(r.waits, 0.99));
	tear_down(&r);
}

int
main(void)
{
	static const double loads[] = { 0.5, 0.8, 1.0, 1.5, 2.0, 3.0 };
	struct way ways[] = {
		{ "default", calls_default_policy },
		{ "round-robin", calls_default_policy },
		{ "no-eject", calls_default_policy },
		{ "margin-0", calls_default_policy },
		{ "plain", calls_default_policy },
	};

	ways[1].policy.balancer = &calls_round_robin;
	ways[2].policy.eject_after = 0;
	ways[3].policy.margin_deviations = 0;
	/* No budget, no early refusal, no ejection, a long queue. */
	ways[4].policy.balancer = &calls_round_robin;
	ways[4].policy.bound_retries = false;
	ways[4].policy.early_refusal = false;
	ways[4].policy.eject_after = 0;
	ways[4].policy.queue_max = 100000;
	printf(
	    "way          bad load  in-time     late  refused   failed  tries  "
	    " p50   p99\n");
	for (size_t w = 0; w < G_N_ELEMENTS(ways); w++) {
		for (size_t i = 0; i < 2 * G_N_ELEMENTS(loads); i++)
			replay(&ways[w], i < G_N_ELEMENTS(loads),
			    loads[i % G_N_ELEMENTS(loads)]);
	}
	return 0;
}
