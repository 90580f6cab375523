/* Why a job waits, in stable words. */
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

/* The first resource that does not fit; NULL if all do. */
static const char *
lacking(const struct resources *need, const struct resources *have)
{
	if (need->millicpus > have->millicpus)
		return "millicpus";
	if (need->memory > have->memory)
		return "memory";
	if (need->accelerators > have->accelerators)
		return "accelerators";
	return NULL;
}

/* The smallest part of the need that some resource covers; 1: all fits. */
static double
covered(const struct resources *need, const struct resources *have)
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

/* The worker that comes closest; ever: as if it were empty. */
static const struct worker *
closest(const struct sched *s, const struct job *job, bool ever)
{
	const struct worker *best = NULL;
	double most = -1;

	for (guint i = 0; i < s->workers->len; i++) {
		const struct worker *w = s->workers->pdata[i];
		double part;

		if (w == NULL || !worker_allowed(w, job->spec.data_centers) ||
		    (!ever && !worker_usable(w)))
			continue;
		part = covered(
		    &job->spec.resources, ever ? &w->spec.capacity : &w->avail);
		if (part <= most)
			continue;
		most = part;
		best = w;
	}
	return best;
}

static void
why_aside(const struct sched *s, const struct job *job, struct sched_why *why)
{
	const struct worker *w = closest(s, job, true);

	if (w == NULL) {
		why->reason = SCHED_NO_WORKER;
		return;
	}
	why->reason = SCHED_NEVER_FITS;
	why->largest = w->spec.capacity;
	why->resource = lacking(&job->spec.resources, &w->spec.capacity);
	if (why->resource == NULL)
		why->resource = "workers";
}

/* Whether a team within its share waits for room too. */
static bool
others_within(const struct sched *s, const struct team *team)
{
	const GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];

	for (guint i = 0; i < blocked->len; i++) {
		const struct shape *shape = blocked->pdata[i];

		if (shape->team != team &&
		    team_within(s, shape->team, &shape->key.resources))
			return true;
	}
	return false;
}

/* Whether some worker has the room, but holds it for a reservation. */
static bool
held_room(const struct sched *s, const struct job *job)
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
why_blocked(const struct sched *s, const struct job *job, struct sched_why *why)
{
	const struct worker *w = closest(s, job, false);

	why->reason = SCHED_WAIT_ROOM;
	if (w != NULL) {
		why->largest = w->avail;
		why->resource = lacking(&job->spec.resources, &w->avail);
		if (why->resource == NULL && w->avail_slots <= 0)
			why->resource = "slots";
	}
	if (held_room(s, job))
		why->reason = SCHED_WAIT_RESERVED;
	else if (job->spec.kind == KIND_GANG && why->resource == NULL)
		why->reason = SCHED_WAIT_GANG;
	else if (!team_within(s, job->shape->team, &job->spec.resources) &&
	    others_within(s, job->shape->team))
		why->reason = SCHED_WAIT_QUOTA;
}

bool
sched_why(struct sched *s, uint64_t id, struct sched_why *why)
{
	const struct job *job = job_get(s, id);

	if (job == NULL || job->waiting == 0)
		return false;
	*why = (struct sched_why){ .reason = SCHED_WAIT_TURN };
	if (job->shape->state == SHAPE_ASIDE)
		why_aside(s, job, why);
	else if (job->shape->state == SHAPE_BLOCKED &&
	    shape_head(job->shape, s->now_ms) == job)
		why_blocked(s, job, why);
	return true;
}
