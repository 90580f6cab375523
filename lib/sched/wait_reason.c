/* Reasons why jobs wait; clients rely on their names. */
#include "table.h"

static const char *const reason_names[SCHED_REASON_COUNT] = {
	[SCHED_WAIT_TURN] = "turn",
	[SCHED_WAIT_ROOM] = "room",
	[SCHED_WAIT_GANG] = "gang-room",
	[SCHED_WAIT_QUOTA] = "quota",
	[SCHED_WAIT_RESERVED] = "reserved",
	[SCHED_NEVER_FITS] = "never-fits",
	[SCHED_NO_WORKER] = "no-worker",
};

const char *
sched_reason_name(enum sched_reason reason)
{
	g_assert(reason < SCHED_REASON_COUNT);
	return reason_names[reason];
}

/* The first resource that does not fit; NULL if all fit. */
static const char *
first_lacking(const struct resources *need, const struct resources *have)
{
	if (need->millicpus > have->millicpus)
		return "millicpus";
	if (need->memory > have->memory)
		return "memory";
	if (need->accelerators > have->accelerators)
		return "accelerators";
	return NULL;
}

/* The fraction of the need that is covered, for the scarcest resource; 1: all
 * of it. */
static double
covered_fraction(const struct resources *need, const struct resources *have)
{
	double least = 1;

	if (need->millicpus > 0)
		least = MIN(
		    least, (double)have->millicpus / (double)need->millicpus);
	if (need->memory > 0)
		least = MIN(least, (double)have->memory / (double)need->memory);
	if (need->accelerators > 0)
		least = MIN(least,
		    (double)have->accelerators / (double)need->accelerators);
	return least;
}

/* The allowed worker that covers the largest fraction of the resources of a
 * task of the job: if empty is set, with the whole capacity of any worker, else
 * with what is available on a usable one. */
static const struct worker *
closest(const struct sched *s, const struct job *job, bool empty)
{
	const struct worker *best = NULL;
	double most = -1;

	for (guint i = 0; i < s->workers->len; i++) {
		const struct worker *w = s->workers->pdata[i];
		double fraction;

		if (w == NULL || !worker_allowed(w, job->spec.data_centers) ||
		    (!empty && !worker_usable(w)))
			continue;
		fraction = covered_fraction(&job->spec.resources,
		    empty ? &w->spec.capacity : &w->avail);
		if (fraction <= most)
			continue;
		most = fraction;
		best = w;
	}
	return best;
}

static void
explain_infeasible(const struct sched *s, const struct job *job,
    struct sched_wait_reason *info)
{
	const struct worker *w = closest(s, job, true);

	if (w == NULL) {
		info->reason = SCHED_NO_WORKER;
		return;
	}
	info->reason = SCHED_NEVER_FITS;
	info->largest = w->spec.capacity;
	info->resource = first_lacking(&job->spec.resources, &w->spec.capacity);
	if (info->resource == NULL)
		info->resource = "workers";
}

/* Whether another team that is within its quota has blocked jobs too. */
static bool
others_within(const struct sched *s, const struct team *team)
{
	const GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];

	for (guint i = 0; i < blocked->len; i++) {
		const struct shape *shape = blocked->pdata[i];

		if (shape->team != team &&
		    team_within_quota(s, shape->team, &shape->key.resources))
			return true;
	}
	return false;
}

/* Whether the task would fit on a worker if no capacity were held there. */
static bool
fits_without_holds(const struct sched *s, const struct job *job)
{
	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		for (guint j = 0; r->job != job && j < r->holds->len; j++) {
			const struct hold *h = r->holds->pdata[j];
			const struct worker *w = h->worker;

			if (worker_usable(w) && w->free_slots > 0 &&
			    worker_allowed(w, job->spec.data_centers) &&
			    resources_fit(&job->spec.resources, &w->free))
				return true;
		}
	}
	return false;
}

static void
explain_blocked(const struct sched *s, const struct job *job,
    struct sched_wait_reason *info)
{
	const struct worker *w = closest(s, job, false);

	info->reason = SCHED_WAIT_ROOM;
	if (w != NULL) {
		info->largest = w->avail;
		info->resource = first_lacking(&job->spec.resources, &w->avail);
		if (info->resource == NULL && w->avail_slots <= 0)
			info->resource = "slots";
	}
	if (fits_without_holds(s, job))
		info->reason = SCHED_WAIT_RESERVED;
	else if (job->spec.kind == KIND_GANG && info->resource == NULL)
		info->reason = SCHED_WAIT_GANG;
	else if (!team_within_quota(
		     s, job->shape->team, &job->spec.resources) &&
	    others_within(s, job->shape->team))
		info->reason = SCHED_WAIT_QUOTA;
}

bool
sched_wait_reason(struct sched *s, uint64_t id, struct sched_wait_reason *info)
{
	const struct job *job = job_get(s, id);

	if (job == NULL || job->waiting == 0)
		return false;
	*info = (struct sched_wait_reason){ .reason = SCHED_WAIT_TURN };
	if (job->shape->state == SHAPE_INFEASIBLE)
		explain_infeasible(s, job, info);
	else if (job->shape->state == SHAPE_BLOCKED &&
	    shape_head(job->shape, s->now_ms) == job)
		explain_blocked(s, job, info);
	return true;
}
