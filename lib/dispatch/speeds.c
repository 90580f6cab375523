/* The speeds of workers as placement uses them: derived from those in the
 * replicated state, so that a new leader has them too. */
#include <math.h>

#include "impl.h"

#define UPDATE_INTERVAL_MS 500
/* A slow worker counts as normal again below this fraction of the limit, so
 * that noise does not move it back and forth. */
#define NORMAL_AGAIN 0.85
#define MULTIPLIER_MAX_LOG2 5.0 /* 32 times as slow as the mean */
/* Fast workers are scarce while less of their capacity is free. */
#define SCARCE_FREE 0.3
#define CROSSINGS_LOGGED_MAX 10 /* per update; the rest by later ones */

static double
multiplier_of(int64_t slowdown)
{
	return exp2(CLAMP((double)slowdown / SPEED_ONE, -MULTIPLIER_MAX_LOG2,
	    MULTIPLIER_MAX_LOG2));
}

static struct speed
speed_of_holder(const struct holder *h)
{
	return speed_of(flow_speeds(h->d->conf.flow), h->address);
}

void
speeds_init_holder(struct holder *h)
{
	h->multiplier = h->d->speeds_in_effect
	    ? multiplier_of(speed_of_holder(h).slowdown)
	    : 1;
}

/* Sets the spread over all workers and whether speeds are in effect. */
static void
update_spread(struct dispatch *d)
{
	guint count = 0;
	int64_t *slowdowns = g_new(int64_t, g_hash_table_size(d->holders));
	struct speed_spread spread;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;

		if (!h->dead)
			slowdowns[count++] = speed_of_holder(h).slowdown;
	}
	spread = speed_spread(slowdowns, count);
	g_free(slowdowns);
	d->spread = multiplier_of(spread.slow - spread.fast);
	d->speeds_in_effect =
	    d->conf.uneven_workers > 0 && d->spread >= d->conf.uneven_workers;
	d->fast_multiplier =
	    d->speeds_in_effect ? multiplier_of(spread.fast) : 1;
}

/* Marks a worker as slow or normal. Returns whether that was logged. */
static bool
update_slow(struct holder *h, const struct speed *speed)
{
	double limit = h->d->conf.uneven_workers;
	double relative = h->multiplier / h->d->fast_multiplier;
	bool slow = h->d->speeds_in_effect &&
	    relative >= (h->slow ? limit * NORMAL_AGAIN : limit);

	if (slow == h->slow)
		return false;
	h->slow = slow;
	log_info("dispatch",
	    "event=speed worker=%s address=%s slow=%d multiplier=%.2f "
	    "relative=%.2f samples=%u spread=%.2f",
	    h->name, h->address, slow, h->multiplier, relative, speed->samples,
	    h->d->spread);
	return true;
}

void
speeds_update(struct dispatch *d, int64_t now)
{
	guint logged = 0;
	uint64_t slow = 0;
	GHashTableIter iter;
	gpointer value;

	d->speeds_ms = now;
	update_spread(d);
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		struct speed speed = speed_of_holder(h);

		speeds_init_holder(h);
		if (logged < CROSSINGS_LOGGED_MAX)
			logged += update_slow(h, &speed);
		slow += h->slow;
	}
	d->meter.slow_workers->value = slow;
	d->meter.speed_spread->value = (uint64_t)(d->spread * 100);
}

void
speeds_scan(struct dispatch *d, int64_t now)
{
	if (now - d->speeds_ms >= UPDATE_INTERVAL_MS)
		speeds_update(d, now);
}

/* A worker with at least this slowdown relative to the fast tenth is slow: half
 * way to the slow tenth. */
static double
slow_from(const struct dispatch *d)
{
	return sqrt(d->spread);
}

static struct fast_workers *
fast_workers(const struct round *rd, const char *pool)
{
	for (guint i = 0; i < rd->fast->len; i++) {
		struct fast_workers *f =
		    &g_array_index(rd->fast, struct fast_workers, i);

		if (strcmp(f->pool, pool) == 0)
			return f;
	}
	return NULL;
}

void
speeds_begin_round(struct round *rd)
{
	if (!rd->d->speeds_in_effect)
		return;
	rd->fast = g_array_new(FALSE, TRUE, sizeof(struct fast_workers));
	for (guint i = 0; i < rd->workers->len; i++) {
		const struct round_worker *w = rd->workers->pdata[i];
		struct fast_workers *f = fast_workers(rd, w->worker->pool);
		struct fast_workers first = { .pool = w->worker->pool };

		if (w->plan.slowdown >= slow_from(rd->d))
			continue;
		if (f == NULL) {
			g_array_append_val(rd->fast, first);
			f = &g_array_index(
			    rd->fast, struct fast_workers, rd->fast->len - 1);
		}
		resources_add(&f->free, &w->plan.free, 1);
		resources_add(&f->capacity, &w->plan.capacity, 1);
	}
}

static bool
is_scarce(const struct fast_workers *f)
{
	return f == NULL ||
	    (double)f->free.millicpus <
	    SCARCE_FREE * (double)f->capacity.millicpus ||
	    (double)f->free.memory < SCARCE_FREE * (double)f->capacity.memory;
}

/* Says whether the policy service has denied a step a worker. */
static bool
is_denied(const struct step_permits *permits, uint32_t worker)
{
	return permits != NULL &&
	    permit_state(permits, worker, 0) == PLAN_PERMIT_DENIED;
}

/* Says whether the fast workers of a step's pool, if empty, hold all its tasks;
 * without those that the policy service has denied it. */
static bool
fast_suffice(const struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	const struct flow_step_state *st = &p->occurrence->steps[p->step];
	const struct step_permits *permits =
	    step_permits_find(rd->d, p->job, p->occurrence->number, p->step);
	struct plan_request all = *request;
	uint32_t fit = 0;

	all.count = st->count;
	for (guint i = 0; i < rd->workers->len && fit < all.count; i++) {
		const struct round_worker *w = rd->workers->pdata[i];
		struct plan_worker empty = w->plan;

		if (w->plan.slowdown >= slow_from(rd->d) ||
		    strcmp(w->worker->pool, p->job->queue->pool) != 0 ||
		    is_denied(permits, w->plan.worker))
			continue;
		empty.free = empty.capacity;
		empty.step_tasks = 0;
		fit += plan_fit_count(&empty, &all);
	}
	return fit >= all.count;
}

void
speeds_describe_step(const struct round *rd, const struct pending_step *p,
    struct plan_request *request)
{
	const struct plan_pending *plan = &p->plan;
	const struct flow_step *step = flow_job_step(p->job, p->step);

	if (rd->fast == NULL || plan->long_running)
		return;
	request->runtime_ms = estimate_runtime_ms(rd->d, p->job, step, 0.5);
	request->runtime_high_ms =
	    estimate_runtime_ms(rd->d, p->job, step, PLAN_QUANTILE_HIGH);
	request->slow_from = slow_from(rd->d);
	request->fast_scarce = is_scarce(fast_workers(rd, p->job->queue->pool));
	/* The step's share of what its job can spare; best-effort work is due
	 * at no time. */
	request->spare_ms = plan->best_effort
	    ? -1
	    : (int64_t)((double)plan_spare_ms(plan, rd->cell_now) *
		  (double)request->runtime_ms /
		  (double)MAX(plan->remaining_ms, 1));
	/* Looked up only where it matters. */
	request->fast_suffice = true;
	request->fast_suffice =
	    plan_waits_for_fast(request) && fast_suffice(rd, p, request);
}

void
speeds_log_wait(const struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	struct step_permits *s;

	if (!plan_waits_for_fast(request))
		return;
	s = step_permits_get(rd->d, p->job, p->occurrence->number, p->step);
	if (s->fast_wait_logged)
		return;
	s->fast_wait_logged = true;
	log_info("dispatch",
	    "event=gang-waits-for-fast step=%016" G_GINT64_MODIFIER
	    "x.%u.%u tasks=%u runtime_ms=%" G_GINT64_FORMAT
	    " runtime_high_ms=%" G_GINT64_FORMAT " spare_ms=%" G_GINT64_FORMAT
	    " slow_from=%.2f fast_scarce=%d",
	    p->job->id, p->occurrence->number, p->step, request->count,
	    request->runtime_ms, request->runtime_high_ms, request->spare_ms,
	    request->slow_from, request->fast_scarce);
}

static double
natural_log(int64_t log2_steps)
{
	return (double)log2_steps / SPEED_ONE * G_LN2;
}

void
speeds_init_estimate(
    struct dispatch *d, const char *queue, struct plan_estimate *estimate)
{
	struct speed_work work =
	    speed_work_of(flow_speeds(d->conf.flow), queue);
	struct plan_history history = { .samples = work.samples,
		.log_mean = natural_log(work.mean),
		.log_deviation = natural_log(work.deviation),
		.error_mean = natural_log(work.error_mean),
		.error_deviation = natural_log(work.error_deviation) };

	if (d->speeds_in_effect && work.samples > 0)
		plan_estimate_init(estimate, &history);
}
