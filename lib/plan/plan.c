#include <math.h>

#include "plan.h"

/* Cost of a doubled run time, as a fraction of a worker left free. */
#define SLOWDOWN_WEIGHT 0.6
/* The same for a task that would be late there: it outweighs what is left. */
#define LATE_SLOWDOWN_WEIGHT 2.0
#define LATE_COST 2.0
#define SCARCE_COST 1.0 /* of using a fast worker while these are scarce */
/* Costs within the same step count as equal when workers are sorted. */
#define SPEED_COST_STEP 0.25
/* Learnt speeds are off by up to this factor: closer ones count as equal. */
#define LIKE_SPEED 1.15

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

int64_t
plan_spare_ms(const struct plan_pending *step, int64_t now_ms)
{
	return latest_start(step) - now_ms;
}

int
plan_compare_latest_start(
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

/* The run time multiplier of a task on a worker. */
static double
slowdown_on(
    const struct plan_worker *worker, const struct plan_request *request)
{
	return request->data_rack != 0 && worker->rack != request->data_rack
	    ? worker->slowdown * request->far_factor
	    : worker->slowdown;
}

static bool
by_end(const struct plan_request *request)
{
	return request->runtime_ms > 0;
}

static bool
is_slow(const struct plan_worker *worker, const struct plan_request *request)
{
	return worker->slowdown >= request->slow_from;
}

/* Says whether a task may end too late with a run time multiplier. */
static bool
is_late_with(double slowdown, const struct plan_request *request)
{
	return (double)request->runtime_high_ms * slowdown >
	    (double)(request->runtime_ms + request->spare_ms);
}

static bool
is_late(const struct plan_worker *worker, const struct plan_request *request)
{
	return is_late_with(slowdown_on(worker, request), request);
}

bool
plan_waits_for_fast(const struct plan_request *request)
{
	return by_end(request) && request->gang && request->fast_suffice &&
	    !is_late_with(1, request);
}

static int64_t
tasks_in_free(
    const struct plan_worker *worker, const struct plan_request *request)
{
	int64_t n =
	    tasks_that_fit(worker->free.millicpus, request->per_task.millicpus);

	n = MIN(
	    n, tasks_that_fit(worker->free.memory, request->per_task.memory));
	return MIN(n,
	    tasks_that_fit(
		worker->free.accelerators, request->per_task.accelerators));
}

static bool
is_too_slow(
    const struct plan_worker *worker, const struct plan_request *request)
{
	return by_end(request) && plan_waits_for_fast(request) &&
	    is_slow(worker, request) && is_late(worker, request);
}

uint32_t
plan_fit_count(
    const struct plan_worker *worker, const struct plan_request *request)
{
	int64_t n = tasks_in_free(worker, request);

	if (request->max_per_worker > 0)
		n = MIN(n,
		    (int64_t)request->max_per_worker -
			MIN(worker->step_tasks, request->max_per_worker));
	n = MIN(n, (int64_t)worker->task_limit);
	if (is_too_slow(worker, request))
		return 0;
	return (uint32_t)MIN(n, (int64_t)request->count);
}

enum plan_obstacle
plan_obstacle(
    const struct plan_worker *worker, const struct plan_request *request)
{
	if (plan_fit_count(worker, request) > 0)
		return PLAN_FITS;
	if (tasks_in_free(worker, request) == 0)
		return PLAN_NO_RESOURCES;
	if (is_too_slow(worker, request))
		return PLAN_TOO_SLOW;
	return worker->task_limit == 0 ? PLAN_TASK_LIMIT : PLAN_MAX_PER_WORKER;
}

static double
fraction(int64_t part, int64_t whole)
{
	return whole <= 0 ? 0 : (double)part / (double)whole;
}

/* The fraction of the task's dominant resource that stays free. */
static double
left_free(const struct plan_worker *worker, const struct plan_request *request)
{
	const struct resources *all = &worker->capacity;

	if (fraction(request->per_task.millicpus, all->millicpus) >=
	    fraction(request->per_task.memory, all->memory))
		return fraction(
		    worker->free.millicpus - request->per_task.millicpus,
		    all->millicpus);
	return fraction(
	    worker->free.memory - request->per_task.memory, all->memory);
}

/* The cost of a worker's speed for a task; lower is better. Work that is late
 * anywhere leaves scarce fast workers to work that is not. */
static double
speed_cost(const struct plan_worker *worker, const struct plan_request *request)
{
	double longer = slowdown_on(worker, request) - 1;

	if (by_end(request) && request->spare_ms >= 0 &&
	    is_late(worker, request))
		return LATE_COST + longer * LATE_SLOWDOWN_WEIGHT;
	if (by_end(request) && request->fast_scarce)
		return is_slow(worker, request) ? 0 : SCARCE_COST;
	return longer * SLOWDOWN_WEIGHT;
}

/* The workers that tasks are placed on. */
struct scope {
	uint32_t rack; /* 0: any */
	double min_slowdown; /* used only with max_slowdown */
	double max_slowdown; /* 0: any */
};

static bool
in_scope(const struct scope *scope, const struct plan_worker *worker,
    const struct plan_request *request)
{
	double slowdown;

	if (scope->rack != 0 && worker->rack != scope->rack)
		return false;
	if (scope->max_slowdown == 0)
		return true;
	slowdown = slowdown_on(worker, request);
	return slowdown >= scope->min_slowdown &&
	    slowdown <= scope->max_slowdown;
}

/* Lower is better. The members of a gang that are faster than its slowest one
 * gain nothing, so workers of its speed are preferred. */
static double
cost(const struct scope *scope, const struct plan_worker *worker,
    const struct plan_request *request)
{
	double left = left_free(worker, request);

	if (scope->max_slowdown > 0)
		return left +
		    (scope->max_slowdown / slowdown_on(worker, request) - 1) *
		    SLOWDOWN_WEIGHT;
	return left + speed_cost(worker, request);
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

/* Places as many tasks as fit on the workers in scope. */
static uint32_t
place_tasks(struct plan_worker **workers, guint count,
    const struct plan_request *request, const struct scope *scope,
    uint32_t *pick)
{
	uint32_t placed = 0;

	while (placed < request->count) {
		double best_cost = 0;
		int best = -1;

		for (guint i = 0; i < count; i++) {
			double c;

			if (!in_scope(scope, workers[i], request) ||
			    plan_fit_count(workers[i], request) == 0)
				continue;
			c = cost(scope, workers[i], request);
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

/* Uses the first rack that all tasks fit on, on the workers in scope. */
static bool
place_on_one_rack(struct plan_worker **workers, guint count,
    const struct plan_request *request, const struct scope *scope,
    uint32_t *pick)
{
	GHashTable *tried = g_hash_table_new(NULL, NULL);
	bool done = false;

	for (guint i = 0; !done && i < count; i++) {
		struct scope on_rack = *scope;
		uint32_t placed;

		on_rack.rack = workers[i]->rack;
		if (on_rack.rack == 0 ||
		    !g_hash_table_add(tried, GUINT_TO_POINTER(on_rack.rack)))
			continue;
		placed = place_tasks(workers, count, request, &on_rack, pick);
		done = placed == request->count;
		if (!done)
			release(workers, request, pick, placed);
	}
	g_hash_table_unref(tried);
	return done;
}

/* Says whether the workers in scope have room for all tasks; whether the
 * constraints between the tasks can be met is left open. */
static bool
all_fit(struct plan_worker **workers, guint count,
    const struct plan_request *request, const struct scope *scope)
{
	uint32_t fit = 0;

	for (guint i = 0; i < count && fit < request->count; i++)
		if (in_scope(scope, workers[i], request))
			fit += plan_fit_count(workers[i], request);
	return fit >= request->count;
}

/* The scope of a gang that prefers slow workers, as fast ones are scarce and
 * it has time; max_slowdown 0 if it doesn't fit there or has none. */
static struct scope
slow_scope(struct plan_worker **workers, guint count,
    const struct plan_request *request)
{
	struct scope scope = { .min_slowdown = request->slow_from };

	for (guint i = 0; request->fast_scarce && i < count; i++) {
		double slowdown = slowdown_on(workers[i], request);

		if (request->spare_ms < 0 || !is_late_with(slowdown, request))
			scope.max_slowdown = MAX(scope.max_slowdown, slowdown);
	}
	if (scope.max_slowdown < scope.min_slowdown ||
	    !all_fit(workers, count, request, &scope))
		scope.max_slowdown = 0;
	return scope;
}

/* The scope with which a gang that fits ends earliest: the fastest workers that
 * hold it. */
static struct scope
earliest_scope(struct plan_worker **workers, guint count,
    const struct plan_request *request)
{
	struct scope scope = { .max_slowdown = LIKE_SPEED };
	double slowest = 0;

	for (guint i = 0; i < count; i++)
		slowest = MAX(slowest, slowdown_on(workers[i], request));
	while (scope.max_slowdown < slowest &&
	    !all_fit(workers, count, request, &scope))
		scope.max_slowdown *= LIKE_SPEED;
	return scope;
}

/* Places a gang that fits on workers of similar speed. If its members are to
 * share a rack, they may be slower there by as much as they would be apart. */
static uint32_t
place_gang_by_end(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t *pick)
{
	struct scope scope = slow_scope(workers, count, request);
	struct scope rack;

	if (scope.max_slowdown == 0)
		scope = earliest_scope(workers, count, request);
	rack = scope;
	rack.max_slowdown *= MAX(request->far_factor, 1);
	if (request->colocated &&
	    place_on_one_rack(workers, count, request, &rack, pick))
		return request->count;
	return place_tasks(workers, count, request, &scope, pick);
}

uint32_t
plan_place(struct plan_worker **workers, guint count,
    const struct plan_request *request, uint32_t *pick)
{
	const struct scope any = { 0 };
	uint32_t placed;

	if (request->gang && !all_fit(workers, count, request, &any))
		return 0;
	if (request->gang && by_end(request))
		placed = place_gang_by_end(workers, count, request, pick);
	else if (request->colocated &&
	    place_on_one_rack(workers, count, request, &any, pick))
		placed = request->count;
	else
		placed = place_tasks(workers, count, request, &any, pick);
	if (request->gang && placed < request->count) {
		release(workers, request, pick, placed);
		return 0;
	}
	return placed;
}

static gint
by_speed(gconstpointer a, gconstpointer b, gpointer arg)
{
	double x = speed_cost(*(struct plan_worker *const *)a, arg);
	double y = speed_cost(*(struct plan_worker *const *)b, arg);
	/* Learnt speeds differ a little: only clear differences count. */
	int64_t steps = (int64_t)floor(x / SPEED_COST_STEP) -
	    (int64_t)floor(y / SPEED_COST_STEP);

	return steps < 0 ? -1 : steps > 0;
}

void
plan_sort_by_speed(struct plan_worker **workers, guint count,
    const struct plan_request *request)
{
	/* g_qsort_with_data() is stable. */
	if (by_end(request))
		g_qsort_with_data(workers, (gint)count, sizeof(gpointer),
		    by_speed, (gpointer)request);
}

/* Of the logarithms of run times, of the errors of declared ones and of those
 * of estimates, before there are samples: +-65%. */
#define PRIOR_VARIANCE 0.25
#define PRIOR_SAMPLES 3.0 /* samples that a prior variance counts as */
#define ROBUST_DEVIATIONS 2.5 /* standard deviations that count at most */
#define VARIANCE_MIN 0.01
#define WEIGHT_MIN 0.02 /* weight of a new sample after many */

static void
move_average(double *average, double sample, double weight)
{
	*average += (sample - *average) * weight;
}

/* The variance of a normal distribution with a mean absolute deviation. */
static double
variance_of_deviation(double deviation)
{
	return MAX(deviation * deviation * G_PI / 2, VARIANCE_MIN);
}

void
plan_estimate_init(struct plan_estimate *e, const struct plan_history *history)
{
	*e = (struct plan_estimate){ .samples = history->samples,
		.log_mean = history->log_mean,
		.log_variance = variance_of_deviation(history->log_deviation),
		.error_mean = history->error_mean,
		.error_variance =
		    variance_of_deviation(history->error_deviation) };
	e->residual_variance = MIN(e->log_variance, e->error_variance);
}

/* A sample's deviation from a mean as it counts. */
static double
limited(const struct plan_estimate *e, double deviation, double variance)
{
	double limit = ROBUST_DEVIATIONS * sqrt(MAX(variance, VARIANCE_MIN));

	return e->robust ? CLAMP(deviation, -limit, limit) : deviation;
}

/* Moves a mean and the variance about it by a sample. */
static void
add_sample(const struct plan_estimate *e, double *mean, double *variance,
    double sample)
{
	double weight = MAX(1.0 / e->samples, WEIGHT_MIN);

	sample = *mean + limited(e, sample - *mean, *variance);
	move_average(mean, sample, weight);
	weight = MAX(1.0 / (e->samples + PRIOR_SAMPLES), WEIGHT_MIN);
	move_average(variance, (sample - *mean) * (sample - *mean), weight);
}

void
plan_estimate_update(
    struct plan_estimate *e, int64_t declared_ms, int64_t actual_ms)
{
	double log_actual = log((double)MAX(actual_ms, 1));
	double error = log_actual - log((double)MAX(declared_ms, 1));
	double residual =
	    log_actual - log((double)MAX(plan_estimate_ms(e, declared_ms), 1));
	double weight;

	e->samples++;
	if (e->samples == 1) {
		e->log_mean = log_actual;
		e->error_mean = error;
		e->log_variance = PRIOR_VARIANCE;
		e->error_variance = PRIOR_VARIANCE;
		e->residual_variance = PRIOR_VARIANCE;
		return;
	}
	residual = limited(e, residual, e->residual_variance);
	weight = MAX(1.0 / (e->samples + PRIOR_SAMPLES), WEIGHT_MIN);
	move_average(&e->residual_variance, residual * residual, weight);
	add_sample(e, &e->log_mean, &e->log_variance, log_actual);
	add_sample(e, &e->error_mean, &e->error_variance, error);
}

/* Of a declared run time's weight against that of the kind of task: the means
 * are weighted by the inverse of their variances. */
static double
declared_weight(const struct plan_estimate *e)
{
	return e->log_variance / MAX(e->log_variance + e->error_variance, 1e-6);
}

int64_t
plan_estimate_ms(const struct plan_estimate *e, int64_t declared_ms)
{
	double corrected;

	if (e->samples == 0)
		return declared_ms;
	if (declared_ms <= 0)
		return (int64_t)exp(e->log_mean);
	corrected = log((double)declared_ms) + e->error_mean;
	return (int64_t)exp(
	    e->log_mean + (corrected - e->log_mean) * declared_weight(e));
}

/* The deviate that a quantile of the normal distribution has; off by less than
 * 0.0005 (Abramowitz and Stegun, 26.2.23). */
static double
normal_deviate(double quantile)
{
	double tail = CLAMP(MIN(quantile, 1 - quantile), 1e-9, 0.5);
	double t = sqrt(-2 * log(tail));
	double z = t -
	    (2.515517 + t * (0.802853 + t * 0.010328)) /
		(1 + t * (1.432788 + t * (0.189269 + t * 0.001308)));

	return quantile < 0.5 ? -z : z;
}

int64_t
plan_estimate_quantile_ms(
    const struct plan_estimate *e, int64_t declared_ms, double quantile)
{
	int64_t median_ms = plan_estimate_ms(e, declared_ms);
	double variance =
	    e->samples == 0 ? PRIOR_VARIANCE : e->residual_variance;

	if (quantile == 0.5)
		return median_ms;
	return (int64_t)((double)median_ms *
	    exp(normal_deviate(quantile) * sqrt(variance)));
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
