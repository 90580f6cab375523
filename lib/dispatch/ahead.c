/* Queries ahead: the policy service is queried for steps whose predecessors are
 * about to end, so that their permits are valid when they become ready. */
#include "impl.h"

#define AHEAD_INTERVAL_MS 50 /* between rounds that seek such steps */

void
ahead_init(struct round *rd)
{
	rd->ahead = g_array_new(FALSE, TRUE, sizeof(struct pending_step));
	rd->look_ahead = rd->now - rd->d->ahead_ms >= AHEAD_INTERVAL_MS &&
	    permits_can_look_ahead(rd->d, rd->now);
	if (rd->look_ahead)
		rd->d->ahead_ms = rd->now;
}

/* Says whether all tasks of a step have ended or are expected to end within a
 * time. */
static bool
step_ends_within(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step, int64_t within_ms)
{
	const struct flow_step_state *st = &occurrence->steps[step];

	if (st->pending > 0 || flow_job_step(job, step)->long_running)
		return false;
	for (uint32_t i = 0; st->done < st->count && i < st->count; i++) {
		struct flow_run id = { job->id, occurrence->number, step, i,
			0 };
		const struct active_run *r;

		if (st->tasks[i].state == FLOW_DONE)
			continue;
		r = run_find(rd->d, &id);
		if (r == NULL || r->stopping ||
		    estimate_run_remaining_ms(rd->d, job, r) > within_ms)
			return false;
	}
	return true;
}

static bool
ready_soon(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step)
{
	const struct flow_step *s = flow_job_step(job, step);
	const struct flow_step_state *st = &occurrence->steps[step];
	int64_t within_ms = permits_ready_ms(job->queue, s->gang);

	if (st->pending < st->count || flow_step_ready(job, occurrence, step))
		return false;
	for (guint i = 0; i < s->after->len; i++)
		if (!step_ends_within(rd, job, occurrence,
			g_array_index(s->after, uint32_t, i), within_ms))
			return false;
	return true;
}

void
ahead_add_steps(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	if (!rd->look_ahead || !job->queue->needs_permit ||
	    flow_job_ended(job) || occurrence->assigned == 0)
		return;
	for (guint i = 0; i < job->spec.steps->len; i++) {
		struct pending_step p = { .job = job,
			.occurrence = occurrence,
			.step = i,
			.ahead = true };

		if (!ready_soon(rd, job, occurrence, i))
			continue;
		p.plan = estimate_urgency(rd->d, job, occurrence);
		g_array_append_val(rd->ahead, p);
	}
}

static bool
is_predecessor(const struct pending_step *p, const struct flow_run *id)
{
	const GArray *after = flow_job_step(p->job, p->step)->after;

	if (id->job != p->job->id || id->occurrence != p->occurrence->number)
		return false;
	for (guint i = 0; i < after->len; i++)
		if (g_array_index(after, uint32_t, i) == id->step)
			return true;
	return false;
}

/* The worker with the resources that are free once the step is ready. */
static struct plan_worker *
worker_when_ready(const struct round_worker *w, const struct pending_step *p)
{
	struct plan_worker *out = g_memdup2(&w->plan, sizeof(w->plan));

	for (guint i = 0; i < w->holder->runs->len; i++) {
		const struct active_run *r = w->holder->runs->pdata[i];

		if (is_predecessor(p, &r->id))
			resources_add(&out->free, &r->resources, 1);
	}
	return out;
}

void
ahead_query(struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	struct step_permits *permits =
	    step_permits_get(rd->d, p->job, p->occurrence->number, p->step);
	GPtrArray *allowed;
	GPtrArray *workers;

	if (request->count == 0 ||
	    !permits_can_query_ahead(rd->d, permits, rd->now))
		return;
	allowed = candidates_allowed(
	    rd, p, (struct apartness){ .from = SEPARATE_ISOLATED });
	workers = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < allowed->len; i++)
		g_ptr_array_add(
		    workers, worker_when_ready(allowed->pdata[i], p));
	candidates_sort(workers);
	plan_sort_by_speed(
	    (struct plan_worker **)workers->pdata, workers->len, request);
	permits_query_ahead(rd->d, permits, request, workers, rd->now);
	g_ptr_array_unref(workers);
	g_ptr_array_unref(allowed);
}
