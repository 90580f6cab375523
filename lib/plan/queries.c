/* Queries to the policy service: which workers to name in how many calls. */
#include "plan.h"

/* Job objectives allow for the time of a query with this many workers. */
#define QUERY_WORKERS_GANG 30
/* Enough for two tasks even if most of the workers are denied. */
#define QUERY_WORKERS_MIN 6
/* Capacity that a query should cover, as a multiple of the requested one. */
#define QUERY_CAPACITY_FACTOR 2.5
/* More workers are named while calls are in flight if the capacity expected
 * from these is below this multiple: answers vary by about a fifth. */
#define REFILL_CAPACITY_FACTOR 1.25
/* One process in so many is kept idle, and at most RESERVE_MAX: after a restart
 * several brief queries are needed at a time. */
#define RESERVE_PROCESSES 4
#define RESERVE_MAX 4
/* Queries ahead leave so many times the reserve, for what becomes ready. */
#define AHEAD_RESERVE_FACTOR 2
/* The expected fraction of allowed workers before any answer, and how many
 * answers it counts as. */
#define ALLOWED_FRACTION 0.4
#define ALLOWED_PRIOR 30.0
#define ALLOWED_FRACTION_MIN 0.05
/* Later answers replace earlier ones beyond this number. */
#define ALLOWED_SAMPLES_MAX 2000.0

uint32_t
plan_query_reserve(uint32_t processes)
{
	return MIN(processes / RESERVE_PROCESSES, RESERVE_MAX);
}

uint32_t
plan_query_ahead_reserve(uint32_t processes)
{
	return plan_query_reserve(processes) * AHEAD_RESERVE_FACTOR;
}

void
plan_allowed_update(struct plan_allowed *a, uint32_t asked, uint32_t allowed)
{
	a->asked += asked;
	a->allowed += MIN(allowed, asked);
	if (a->asked > ALLOWED_SAMPLES_MAX) {
		a->allowed *= ALLOWED_SAMPLES_MAX / a->asked;
		a->asked = ALLOWED_SAMPLES_MAX;
	}
}

double
plan_allowed_fraction(const struct plan_allowed *a)
{
	double fraction = (a->allowed + ALLOWED_FRACTION * ALLOWED_PRIOR) /
	    (a->asked + ALLOWED_PRIOR);

	return MAX(fraction, ALLOWED_FRACTION_MIN);
}

/* The capacity that is expected of a worker once it is asked about. */
static double
expected_capacity(const struct plan_candidate *c, double allowed_fraction)
{
	switch (c->permit) {
	case PLAN_PERMIT_VALID:
	case PLAN_PERMIT_EXPIRING:
		return c->fits;
	case PLAN_PERMIT_UNKNOWN:
		return c->fits * allowed_fraction;
	case PLAN_PERMIT_DENIED:
		break;
	}
	return 0;
}

/* The capacity of a gang that needs no further query. */
static double
capacity_without_query(const struct plan_candidate *candidates, guint count,
    double allowed_fraction)
{
	double found = 0;

	for (guint i = 0; i < count; i++)
		if (candidates[i].permit == PLAN_PERMIT_VALID ||
		    candidates[i].in_flight)
			found +=
			    expected_capacity(&candidates[i], allowed_fraction);
	return found;
}

/* A selection of workers while it is made. */
struct selection {
	uint32_t workers; /* selected so far */
	uint32_t least; /* to select, if there are so many */
	uint32_t most;
	double found; /* capacity expected with these */
	double enough;
};

/* Selects the candidates with a permit state; marks them with call 1. */
static void
select_workers(struct plan_candidate *candidates, guint count,
    enum plan_permit permit, double allowed_fraction, struct selection *s)
{
	for (guint i = 0; i < count && s->workers < s->most; i++) {
		struct plan_candidate *c = &candidates[i];

		if (s->workers >= s->least && s->found >= s->enough)
			return;
		if (c->permit != permit || c->fits == 0 || c->in_flight)
			continue;
		c->call = 1;
		s->found += expected_capacity(c, allowed_fraction);
		s->workers++;
	}
}

/* How many calls of a long query, or a further one, may be sent. */
static uint32_t
calls_beyond_reserve(const struct plan_query_limits *limits)
{
	uint32_t reserve = limits->ahead
	    ? plan_query_ahead_reserve(limits->processes)
	    : plan_query_reserve(limits->processes);

	if (limits->idle > reserve)
		return MIN(limits->idle - reserve,
		    PLAN_QUERIES_MAX - limits->in_flight);
	return limits->passed_over && limits->in_flight == 0 && !limits->ahead
	    ? MIN(limits->idle, 1)
	    : 0;
}

/* How many calls a selection is split into. */
static uint32_t
count_calls(uint32_t workers, const struct plan_query_limits *limits)
{
	uint32_t calls =
	    (workers + PLAN_SHORT_QUERY_WORKERS - 1) / PLAN_SHORT_QUERY_WORKERS;

	if (limits->saturated)
		calls = MIN(calls, 1);
	if (calls <= 1 && limits->in_flight == 0 && limits->may_use_reserve &&
	    !limits->ahead)
		return MIN(calls, limits->idle);
	return MIN(calls, calls_beyond_reserve(limits));
}

/* Assigns the selected workers to the calls in turn, so that each call names as
 * many of the preferred ones: one may fail. */
static void
split_selection(struct plan_candidate *candidates, guint count, uint32_t calls)
{
	uint32_t assigned = 0;

	for (guint i = 0; i < count; i++)
		if (candidates[i].call != 0)
			candidates[i].call =
			    calls == 0 ? 0 : assigned++ % calls + 1;
}

static bool
may_query(const struct plan_request *request,
    const struct plan_query_limits *limits, double found)
{
	if (limits->idle == 0 || limits->in_flight >= PLAN_QUERIES_MAX)
		return false;
	if (limits->in_flight == 0)
		return true;
	return request->gang && !limits->saturated && !limits->partial &&
	    !limits->ahead && found < request->count * REFILL_CAPACITY_FACTOR;
}

uint32_t
plan_select_queries(struct plan_candidate *candidates, guint count,
    const struct plan_request *request, const struct plan_query_limits *limits)
{
	double fraction = limits->allowed_fraction;
	struct selection s = { .enough =
				   request->count * QUERY_CAPACITY_FACTOR };
	uint32_t calls = 0;

	for (guint i = 0; i < count; i++)
		candidates[i].call = 0;
	if (request->gang || limits->ahead)
		s.found = capacity_without_query(candidates, count, fraction);
	if (!may_query(request, limits, s.found))
		return 0;
	/* A few more workers than needed, as calls take long compared with what
	 * each worker adds. */
	if (limits->in_flight == 0 && s.found < s.enough)
		s.least =
		    request->gang ? QUERY_WORKERS_GANG : QUERY_WORKERS_MIN;
	s.most = PLAN_CALL_WORKERS_MAX * MAX(calls_beyond_reserve(limits), 1);
	select_workers(candidates, count, PLAN_PERMIT_EXPIRING, fraction, &s);
	select_workers(candidates, count, PLAN_PERMIT_UNKNOWN, fraction, &s);
	if (!request->gang || limits->partial || s.found >= request->count)
		calls = count_calls(s.workers, limits);
	split_selection(candidates, count, calls);
	return calls;
}
