/*
 * Simulates service calls on a virtual clock to compare policies of load
 * balancing, retries and refusal. The decisions are those of lib/calls; targets
 * are simulated by service times from a seeded generator.
 *
 * Prints a line per policy and load: percentages of calls answered in time,
 * answered late (wasted work), refused and failed; tries per call; median and
 * 99th percentile in ms of the time until an answer in time.
 */
#include <math.h>
#include <stdio.h>

#include "calls.h"

#define TARGETS 24
#define SLOTS 8 /* calls that a target serves at the same time */
#define CONNECTIONS 64 /* of a worker, shared by all entries */
#define ENTRIES 9
#define SLOW_TARGETS 2 /* need SLOW_FACTOR times as long */
#define SLOW_FACTOR 3
#define BAD_TARGET 0 /* fails every call after FAILURE_MS */
#define MEAN_MS 20.0 /* service time of a normal target */
#define DEADLINE_MS 250
#define DURATION_MS 30000
#define SEED 41
#define FAILURE_MS 1 /* until the entry learns of a failure */

/* A policy to compare. */
struct variant {
	const char *name;
	struct calls_policy policy;
};

struct event {
	int64_t at_ms;
	int entry;
	uint32_t call;
	enum calls_try_end end;
};

/* The bench's own data of a call. */
struct record {
	int64_t begun_ms;
};

struct simulation {
	struct calls *calls[ENTRIES];
	GArray *records[ENTRIES]; /* struct record by call handle */
	double free_ms[TARGETS][SLOTS]; /* when each slot becomes free */
	struct rng rng;
	GArray *events; /* struct event, a binary min-heap by time */
	GArray *times_ms; /* int64_t, latencies of calls answered in time */
	bool bad; /* BAD_TARGET fails its calls */
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

/* Draws from an exponential distribution. */
static double
exponential(struct rng *rng, double mean)
{
	return -mean * log(uniform(rng));
}

static struct event *
event_at(struct simulation *sim, guint i)
{
	return &g_array_index(sim->events, struct event, i);
}

static void
swap(struct simulation *sim, guint a, guint b)
{
	struct event saved = *event_at(sim, a);

	*event_at(sim, a) = *event_at(sim, b);
	*event_at(sim, b) = saved;
}

static void
push(struct simulation *sim, struct event e)
{
	guint i = sim->events->len;

	g_array_append_val(sim->events, e);
	for (; i > 0; i = (i - 1) / 2) {
		if (event_at(sim, (i - 1) / 2)->at_ms <=
		    event_at(sim, i)->at_ms)
			return;
		swap(sim, i, (i - 1) / 2);
	}
}

static struct event
pop(struct simulation *sim)
{
	struct event first = *event_at(sim, 0);
	guint i = 0;

	swap(sim, 0, sim->events->len - 1);
	g_array_set_size(sim->events, sim->events->len - 1);
	while (2 * i + 1 < sim->events->len) {
		guint child = 2 * i + 1;

		if (child + 1 < sim->events->len &&
		    event_at(sim, child + 1)->at_ms <
			event_at(sim, child)->at_ms)
			child++;
		if (event_at(sim, i)->at_ms <= event_at(sim, child)->at_ms)
			break;
		swap(sim, i, child);
		i = child;
	}
	return first;
}

/* Queues a call at its target; returns the time of the answer. */
static double
serve(struct simulation *sim, uint64_t target, double now_ms, double mean)
{
	double *first = &sim->free_ms[target][0];

	for (int i = 1; i < SLOTS; i++) {
		if (sim->free_ms[target][i] < *first)
			first = &sim->free_ms[target][i];
	}
	*first = MAX(*first, now_ms) + exponential(&sim->rng, mean);
	return *first;
}

/* Simulates the target: schedules the end of the try. */
static void
send_try(struct simulation *sim, int entry,
    const struct calls_decision *decision, int64_t now_ms)
{
	uint64_t target = decision->target - 1;
	struct event e = { .entry = entry, .call = decision->call };
	double mean = target <= SLOW_TARGETS ? MEAN_MS * SLOW_FACTOR : MEAN_MS;

	sim->tries++;
	if (sim->bad && target == BAD_TARGET) {
		e.end = CALLS_END_FAILED;
		e.at_ms = now_ms + FAILURE_MS;
	} else {
		e.end = CALLS_END_ANSWERED;
		e.at_ms =
		    (int64_t)ceil(serve(sim, target, (double)now_ms, mean));
	}
	push(sim, e);
}

static void
apply_decision(struct simulation *sim, int entry,
    const struct calls_decision *decision, int64_t now_ms)
{
	if (decision->action == CALLS_SEND)
		send_try(sim, entry, decision, now_ms);
	sim->refused += decision->action == CALLS_REFUSE;
	sim->failed +=
	    decision->action == CALLS_GIVE_UP && decision->reason != CALLS_OK;
}

static void
answered(struct simulation *sim, const struct event *e)
{
	GArray *records = sim->records[e->entry];
	int64_t took =
	    e->at_ms - g_array_index(records, struct record, e->call).begun_ms;

	if (took > DEADLINE_MS) {
		sim->late++;
		return;
	}
	sim->in_time++;
	g_array_append_val(sim->times_ms, took);
}

static void
handle_event(struct simulation *sim, const struct event *e)
{
	struct calls *calls = sim->calls[e->entry];
	struct calls_decision decision;

	if (e->end == CALLS_END_ANSWERED)
		answered(sim, e);
	decision = calls_try_ended(calls, e->call, e->end, e->at_ms);
	apply_decision(sim, e->entry, &decision, e->at_ms);
	while (calls_next(calls, e->at_ms, &decision))
		apply_decision(sim, e->entry, &decision, e->at_ms);
}

static void
new_call(struct simulation *sim, int64_t now_ms)
{
	int entry = (int)rng_below(&sim->rng, ENTRIES);
	GArray *records = sim->records[entry];
	struct calls_request request = { .idempotent = true,
		.deadline_ms = now_ms + DEADLINE_MS };
	struct calls_decision decision =
	    calls_begin(sim->calls[entry], &request, now_ms);

	sim->begun++;
	if (decision.call >= records->len)
		g_array_set_size(records, decision.call + 1);
	g_array_index(records, struct record, decision.call).begun_ms = now_ms;
	apply_decision(sim, entry, &decision, now_ms);
}

static void
set_up(struct simulation *sim, const struct variant *variant)
{
	for (int e = 0; e < ENTRIES; e++) {
		sim->calls[e] = calls_new(&variant->policy, SEED + (uint64_t)e);
		sim->records[e] =
		    g_array_new(FALSE, TRUE, sizeof(struct record));
		for (uint32_t i = 0; i < TARGETS; i++) {
			struct calls_target t = { i + 1, 0, i, SLOTS };

			calls_worker_set(
			    sim->calls[e], i, CONNECTIONS / ENTRIES);
			calls_target_set(sim->calls[e], &t);
		}
	}
}

static void
tear_down(struct simulation *sim)
{
	for (int e = 0; e < ENTRIES; e++) {
		calls_free(sim->calls[e]);
		g_array_unref(sim->records[e]);
	}
	g_array_unref(sim->events);
	g_array_unref(sim->times_ms);
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
simulate(const struct variant *variant, bool bad, double load)
{
	/* Calls per ms that load all targets fully, except a bad one. */
	double full = SLOTS *
	    (TARGETS - bad - SLOW_TARGETS +
		(double)SLOW_TARGETS / SLOW_FACTOR) /
	    MEAN_MS;
	struct simulation sim = { .rng = { SEED },
		.bad = bad,
		.events = g_array_new(FALSE, FALSE, sizeof(struct event)),
		.times_ms = g_array_new(FALSE, FALSE, sizeof(int64_t)) };
	double arrival = 0;

	set_up(&sim, variant);
	while (arrival < DURATION_MS || sim.events->len > 0) {
		struct event e;

		if (arrival < DURATION_MS &&
		    (sim.events->len == 0 ||
			(int64_t)arrival <= event_at(&sim, 0)->at_ms)) {
			new_call(&sim, (int64_t)arrival);
			arrival += exponential(&sim.rng, 1 / (full * load));
			continue;
		}
		e = pop(&sim);
		handle_event(&sim, &e);
	}
	g_array_sort(sim.times_ms, by_value);
	printf("%-12s %3s %4.2f  %6.2f%%  %6.2f%%  %6.2f%%  %6.2f%%  %5.2f  "
	       "%4d  %4d\n",
	    variant->name, bad ? "yes" : "no", load,
	    100.0 * (double)sim.in_time / (double)sim.begun,
	    100.0 * (double)sim.late / (double)sim.begun,
	    100.0 * (double)sim.refused / (double)sim.begun,
	    100.0 * (double)sim.failed / (double)sim.begun,
	    (double)sim.tries / (double)sim.begun,
	    (int)percentile(sim.times_ms, 0.5),
	    (int)percentile(sim.times_ms, 0.99));
	tear_down(&sim);
}

int
main(void)
{
	static const double loads[] = { 0.5, 0.8, 1.0, 1.5, 2.0, 3.0 };
	struct variant variants[] = {
		{ "default", calls_default_policy },
		{ "round-robin", calls_default_policy },
		{ "no-eject", calls_default_policy },
		{ "margin-0", calls_default_policy },
		{ "plain", calls_default_policy },
	};

	variants[1].policy.balancer = &calls_round_robin;
	variants[2].policy.eject_after = 0;
	variants[3].policy.margin_deviations = 0;
	/* No retry budget, no early refusal, no ejection, a long queue. */
	variants[4].policy.balancer = &calls_round_robin;
	variants[4].policy.bound_retries = false;
	variants[4].policy.early_refusal = false;
	variants[4].policy.eject_after = 0;
	variants[4].policy.queue_max = 100000;
	printf(
	    "policy       bad load  in-time     late  refused   failed  tries  "
	    " p50   p99\n");
	for (size_t v = 0; v < G_N_ELEMENTS(variants); v++) {
		for (size_t i = 0; i < 2 * G_N_ELEMENTS(loads); i++)
			simulate(&variants[v], i < G_N_ELEMENTS(loads),
			    loads[i % G_N_ELEMENTS(loads)]);
	}
	return 0;
}
