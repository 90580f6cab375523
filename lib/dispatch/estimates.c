/* Estimates of run times, and what follows from them: objectives, remaining
 * work, slow workers, runs that make no progress. */
#include <math.h>

#include "impl.h"

#define SLOWDOWN_WEIGHT 0.1 /* of one run in a worker's moving average */
#define SLOWDOWN_MAX 8.0 /* limits the effect of one run */
#define STUCK_MS 1500 /* a run without progress for this time is moved */
#define STUCK_EXCLUDE_MS 2000 /* its worker gets no new work for this time */
#define SLOWDOWN_DECAY_MS 4000 /* time constant of the decay towards 1 */
#define ESTIMATE_RUNS_MIN 20 /* before an estimate is used to rate workers */
#define STUCK_RUNS_MAX 3 /* later runs of a task are not moved */

static struct plan_estimate *
estimate_of_queue(struct dispatch *d, const char *queue)
{
	struct plan_estimate *estimate =
	    g_hash_table_lookup(d->estimates, queue);

	if (estimate != NULL)
		return estimate;
	estimate = g_new0(struct plan_estimate, 1);
	speeds_init_estimate(d, queue, estimate);
	g_hash_table_insert(d->estimates, g_strdup(queue), estimate);
	return estimate;
}

double
estimate_slowdown(const struct holder *h, int64_t now)
{
	double age = (double)(now - h->slowdown_ms) / SLOWDOWN_DECAY_MS;

	return 1 + (h->slowdown - 1) * exp(-age);
}

static void
slowdown_update(struct holder *h, double slowdown, int64_t now)
{
	double current = estimate_slowdown(h, now);
	double measured = MIN(slowdown, SLOWDOWN_MAX);

	h->slowdown = current + (measured - current) * SLOWDOWN_WEIGHT;
	h->slowdown_ms = now;
}

void
estimate_record_runtime(struct dispatch *d, const struct flow_job *job,
    const struct active_run *r, int64_t ran_ms)
{
	const struct flow_step *step = flow_job_step(job, r->id.step);
	struct plan_estimate *estimate = estimate_of_queue(d, job->queue->name);
	double slowdown;

	/* A run resumed from a checkpoint took only part of the run time. */
	if (step->long_running || (step->checkpointing && r->id.number > 1))
		return;
	ran_ms = (int64_t)((double)ran_ms / r->multiplier);
	estimate->robust = d->speeds_in_effect;
	slowdown = (double)ran_ms /
	    (double)MAX(plan_estimate_ms(estimate, step->runtime_ms), 1);
	plan_estimate_update(estimate, step->runtime_ms, ran_ms);
	if (step->gang && step->count > 1)
		return;
	if (estimate->samples > ESTIMATE_RUNS_MIN)
		slowdown_update(r->holder, slowdown, mono_ms());
}

void
estimate_record_progress(struct active_run *r, int64_t percent, int64_t now)
{
	struct dispatch *d = r->holder->d;
	const struct flow_job *job = flow_job(d->conf.flow, r->id.job);
	const struct flow_step *step;

	if (r->progress_ms == 0 || percent != r->percent)
		r->progress_ms = now;
	r->percent = percent;
	if (job == NULL || flow_job_ended(job) || r->stopping ||
	    percent >= 100 || r->id.number > STUCK_RUNS_MAX ||
	    now - r->progress_ms < STUCK_MS)
		return;
	step = flow_job_step(job, r->id.step);
	if (step->long_running || step->best_effort)
		return;
	log_info("dispatch",
	    "event=stop run=%s worker=%s why=stuck percent=%" G_GINT64_FORMAT
	    " unchanged_ms=%" G_GINT64_FORMAT,
	    run_name(&r->id), r->holder->name, percent, now - r->progress_ms);
	d->meter.stops->value++;
	r->holder->excluded_until_ms = now + STUCK_EXCLUDE_MS;
	run_stop(r);
}

static int64_t
permit_ms(const struct flow_queue *q)
{
	return q->needs_permit
	    ? (int64_t)(q->permit_call_ms +
		  OBJECTIVE_QUERY_WORKERS * q->permit_worker_ms)
	    : 0;
}

/* The estimated run time of the longest chain of dependent steps of a job, or
 * of the steps that an occurrence still has to do, on fast workers. */
static int64_t
critical_path_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	const struct plan_estimate *estimate =
	    estimate_of_queue(d, job->queue->name);
	double multiplier = occurrence == NULL ? 1 : d->fast_multiplier;
	GPtrArray *steps = job->spec.steps;
	int64_t *path_ms = g_newa(int64_t, steps->len);
	int64_t longest = 0;

	for (guint i = 0; i < steps->len; i++) {
		const struct flow_step *s = steps->pdata[i];
		bool done = occurrence != NULL &&
		    occurrence->steps[i].done == occurrence->steps[i].count;

		path_ms[i] = 0;
		for (guint k = 0; k < s->after->len; k++)
			path_ms[i] = MAX(path_ms[i],
			    path_ms[g_array_index(s->after, uint32_t, k)]);
		if (!done)
			path_ms[i] += (int64_t)(multiplier *
					  (double)plan_estimate_ms(
					      estimate, s->runtime_ms)) +
			    permit_ms(job->queue);
		longest = MAX(longest, path_ms[i]);
	}
	return longest;
}

int64_t
estimate_objective_ms(struct dispatch *d, const struct flow_job *job)
{
	if (job->spec.steps == NULL)
		return 0;
	return job->queue->target_ms +
	    (int64_t)(job->queue->slack_factor *
		(double)critical_path_ms(d, job, NULL));
}

int64_t
estimate_runtime_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_step *step, double quantile)
{
	return (int64_t)(d->fast_multiplier *
	    (double)plan_estimate_quantile_ms(
		estimate_of_queue(d, job->queue->name), step->runtime_ms,
		quantile));
}

int64_t
estimate_critical_path_ms(struct dispatch *d, const struct flow_job *job)
{
	return critical_path_ms(d, job, NULL);
}

int64_t
estimate_run_remaining_ms(
    struct dispatch *d, const struct flow_job *job, const struct active_run *r)
{
	const struct plan_estimate *estimate =
	    estimate_of_queue(d, job->queue->name);
	/* A start that is proposed has no start time yet. */
	int64_t ran_ms = r->started_ms == 0 ? 0 : mono_ms() - r->started_ms;
	int64_t runtime_ms = plan_estimate_quantile_ms(estimate,
	    flow_job_step(job, r->id.step)->runtime_ms,
	    d->speeds_in_effect ? PLAN_QUANTILE_HIGH : 0.5);

	runtime_ms = (int64_t)((double)runtime_ms * r->multiplier);
	/* A run that exceeds most others may take several times as long. */
	if (d->speeds_in_effect && ran_ms > runtime_ms)
		return ran_ms;
	return MAX(runtime_ms - ran_ms, 0);
}

struct plan_pending
estimate_urgency(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	return (struct plan_pending){ .accepted_ms = occurrence->due_ms,
		.objective_ms = estimate_objective_ms(d, job),
		.remaining_ms = critical_path_ms(d, job, occurrence),
		.priority = job->queue->priority };
}
