#include <math.h>

#include "plan.h"

/* Cost of a doubled run time, as a fraction of a worker left free. */
#define SLOWDOWN_WEIGHT 0.6

enum plan_tier
plan_tier(const struct plan_pending *step, int64_t now_ms)
{
	int64_t end_ms = now_ms + step->remaining_ms - step->accepted_ms;

	if (step->best_effort)
		return PLAN_BEST_EFFORT;
	if (step->long_running)
		return PLAN_LONG_RUNNING;
	if (end_ms <= step->objective_ms)
		return PLAN_ON_TIME;
	if (end_ms <= step->objective_ms * PLAN_LATE_FACTOR)
		return PLAN_LATE;
	return PLAN_OVERDUE;
}

static int64_t
latest_start(const struct plan_pending *step)
{
	return step->accepted_ms + step->objective_ms - step->remaining_ms;
}

int
plan_compare(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now_ms)
{
	enum plan_tier ta = plan_tier(a, now_ms);
	enum plan_tier tb = plan_tier(b, now_ms);
	int64_t la = latest_start(a);
	int64_t lb = latest_start(b);

	if (ta != tb)
		return ta < tb ? -1 : 1;
	if (la != lb)
		return la < lb ? -1 : 1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return a->serial < b->serial ? -1 : a->serial > b->serial;
}

static int64_t
tasks_that_fit(int64_t have, int64_t each)
{
	return each <= 0 ? INT32_MAX : MAX(have, 0) / each;
}

uint32_t
plan_fit_count(
    const struct plan_worker *worker, const struct plan_request *request)
{
	int64_t n =
	    tasks_that_fit(worker->free.millicpus, request->per_task.millicpus);

	n = MIN(
	    n, tasks_that_fit(worker->free.memory, request->per_task.memory));
	n = MIN(n,
	    tasks_that_fit(
		worker->free.accelerators, request->per_task.accelerators));
	if (request->max_per_worker > 0)
		n = MIN(n,
		    (int64_t)request->max_per_worker -
			MIN(worker->step_tasks, request->max_per_worker));
	n = MIN(n, (int64_t)worker->task_limit);
	return (uint32_t)MIN(n, (int64_t)request->count);
}

static double
fraction(int64_t part, int64_t whole)
{
	return whole <= 0 ? 0 : (double)part / (double)whole;
}

/* Lower is better: the fraction of the task's dominant resource that stays
 * free, plus a penalty for a longer run time. */
static double
cost(const struct plan_worker *worker, const struct plan_request *request)
{
	const struct resources *all = &worker->capacity;
	double slowdown = worker->slowdown;
	double left;

	if (fraction(request->per_task.millicpus, all->millicpus) >=
	    fraction(request->per_task.memory, all->memory))
		left = fraction(
		    worker->free.millicpus - request->per_task.millicpus,
		    all->millicpus);
	else
		left = fraction(worker->free.memory - request->per_task.memory,
		    all->memory);
	if (request->data_rack != 0 && worker->rack != request->data_rack)
		slowdown *= request->far_factor;
	return left + (slowdown - 1) * SLOWDOWN_WEIGHT;
}

/* Subtracts a task from a worker; with sign -1 adds it back. */
static void
reserve(
    struct plan_worker *worker, const struct plan_request *request, int sign)
{
	resources_add(&worker->free, &request->per_task, -sign);
	worker->step_tasks += sign;
	worker->task_limit -= sign;
}

/* Places as many tasks as fit on the workers of one rack; 0: of any rack. */
static uint32_t
place_tasks(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t rack, uint32_t *pick)
{
	uint32_t placed = 0;

	while (placed < request->count) {
		double best_cost = 0;
		int best = -1;

		for (guint i = 0; i < count; i++) {
			double c;

			if ((rack != 0 && workers[i]->rack != rack) ||
			    plan_fit_count(workers[i], request) == 0)
				continue;
			c = cost(workers[i], request);
			if (best >= 0 && c >= best_cost)
				continue;
			best = (int)i;
			best_cost = c;
		}
		if (best < 0)
			break;
		reserve(workers[best], request, 1);
		pick[placed++] = (uint32_t)best;
	}
	return placed;
}

static void
release(struct plan_worker **workers, const struct plan_request *request,
    const uint32_t *pick, uint32_t placed)
{
	for (uint32_t i = 0; i < placed; i++)
		reserve(workers[pick[i]], request, -1);
}

/* Uses the first rack that all tasks fit on. */
static bool
place_on_one_rack(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t *pick)
{
	GHashTable *tried = g_hash_table_new(NULL, NULL);
	bool done = false;

	for (guint i = 0; !done && i < count; i++) {
		uint32_t rack = workers[i]->rack;
		uint32_t placed;

		if (rack == 0 ||
		    !g_hash_table_add(tried, GUINT_TO_POINTER(rack)))
			continue;
		placed = place_tasks(workers, count, request, rack, pick);
		done = placed == request->count;
		if (!done)
			release(workers, request, pick, placed);
	}
	g_hash_table_unref(tried);
	return done;
}

/* Says whether the workers have room for all tasks; whether the constraints
 * between the tasks can be met is left open. */
static bool
all_fit(struct plan_worker **workers, guint count,
    const struct plan_request *request)
{
	uint32_t fit = 0;

	for (guint i = 0; i < count && fit < request->count; i++)
		fit += plan_fit_count(workers[i], request);
	return fit >= request->count;
}

uint32_t
plan_place(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t *pick)
{
	uint32_t placed;

	if (request->gang && !all_fit(workers, count, request))
		return 0;
	if (request->colocated &&
	    place_on_one_rack(workers, count, request, pick))
		return request->count;
	placed = place_tasks(workers, count, request, 0, pick);
	if (request->gang && placed < request->count) {
		release(workers, request, pick, placed);
		return 0;
	}
	return placed;
}

#define PRIOR_LOG_VARIANCE 0.25 /* of run times, before samples: +-65% */
#define PRIOR_ERROR_VARIANCE 0.25 /* of declared run times: +-65% */
#define PRIOR_SAMPLES 3.0 /* samples that a prior variance counts as */
#define WEIGHT_MIN 0.02 /* weight of a new sample after many */

static void
move_average(double *average, double sample, double weight)
{
	*average += (sample - *average) * weight;
}

void
plan_estimate_update(
    struct plan_estimate *e, int64_t declared_ms, int64_t actual_ms)
{
	double log_actual = log((double)MAX(actual_ms, 1));
	double error = log_actual - log((double)MAX(declared_ms, 1));
	double weight;

	e->samples++;
	if (e->samples == 1) {
		e->log_mean = log_actual;
		e->error_mean = error;
		e->log_variance = PRIOR_LOG_VARIANCE;
		e->error_variance = PRIOR_ERROR_VARIANCE;
		return;
	}
	weight = MAX(1.0 / e->samples, WEIGHT_MIN);
	move_average(&e->log_mean, log_actual, weight);
	move_average(&e->error_mean, error, weight);
	weight = MAX(1.0 / (e->samples + PRIOR_SAMPLES), WEIGHT_MIN);
	move_average(&e->log_variance,
	    (log_actual - e->log_mean) * (log_actual - e->log_mean), weight);
	move_average(&e->error_variance,
	    (error - e->error_mean) * (error - e->error_mean), weight);
}

int64_t
plan_estimate_ms(const struct plan_estimate *e, int64_t declared_ms)
{
	double corrected;
	double weight;

	if (e->samples == 0)
		return declared_ms;
	if (declared_ms <= 0)
		return (int64_t)exp(e->log_mean);
	corrected = log((double)declared_ms) + e->error_mean;
	/* The mean of both, weighted by the inverse of their variances. */
	weight =
	    e->log_variance / MAX(e->log_variance + e->error_variance, 1e-6);
	return (int64_t)exp(e->log_mean + (corrected - e->log_mean) * weight);
}

/* The cost of stopping a run, in millicpus; lost run time adds to it. */
static int64_t
victim_cost(const struct plan_victim *v)
{
	if (v->ends_soon)
		return 0;
	return v->resources.millicpus +
	    v->resources.millicpus * v->lost_ms / 1000;
}

/* Orders by the run time that stopping a run loses. */
static gint
by_loss(gconstpointer a, gconstpointer b)
{
	const struct plan_victim *x = a;
	const struct plan_victim *y = b;

	if (x->ends_soon != y->ends_soon)
		return x->ends_soon ? -1 : 1;
	return x->lost_ms < y->lost_ms ? -1 : x->lost_ms > y->lost_ms;
}

/* Returns the cost of the runs to stop to fit one more task; below 0 if it
 * can't fit. With apply, marks the victims and reserves the task. */
static int64_t
preempt_one(
    struct plan_preemption *p, const struct plan_request *request, bool apply)
{
	struct plan_worker worker = *p->worker;
	int64_t stopped = 0;

	for (guint i = 0; plan_fit_count(&worker, request) == 0; i++) {
		struct plan_victim *v;

		if (i == p->victims->len)
			return -1;
		v = &g_array_index(p->victims, struct plan_victim, i);
		if (v->chosen)
			continue;
		resources_add(&worker.free, &v->resources, 1);
		stopped += victim_cost(v);
		v->chosen = apply;
	}
	if (apply) {
		*p->worker = worker;
		reserve(p->worker, request, 1);
		p->tasks++;
	}
	return stopped;
}

uint32_t
plan_preempt(struct plan_preemption *preemptions, guint count,
    const struct plan_request *request)
{
	for (guint i = 0; i < count; i++)
		g_array_sort(preemptions[i].victims, by_loss);
	for (uint32_t placed = 0; placed < request->count; placed++) {
		int64_t min_stopped = -1;
		guint best = 0;

		for (guint i = 0; i < count; i++) {
			int64_t stopped =
			    preempt_one(&preemptions[i], request, false);

			if (stopped < 0 ||
			    (min_stopped >= 0 && stopped >= min_stopped))
				continue;
			min_stopped = stopped;
			best = i;
		}
		if (min_stopped < 0)
			return placed;
		(void)preempt_one(&preemptions[best], request, true);
	}
	return request->count;
}
