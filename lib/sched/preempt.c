/* Room taken from batch work: throttle first, stop where it is still needed. */
#include "table.h"

#define LOOK_MAX 64 /* workers whose victims are compared */
#define NEEDS_A_ROUND 16 /* new ones; a burst is spread over rounds */
#define NEEDS_MAX 256 /* tasks that room is being made for */
#define GIVE_UP_MS 10000 /* for a victim to end before another is sought */

/* What it would cost to make room on a worker. */
struct cost {
	struct worker *worker;
	int64_t lost_ms;
};

bool
run_preemptible(const struct run *run)
{
	return run->iter != NULL && !run->stopping && run->hold == NULL;
}

/* Whether a run may be stopped for this kind of need. */
static bool
eligible(const struct sched *s, const struct run *run, bool reclaim)
{
	struct resources none = { 0 };

	return run_preemptible(run) &&
	    (!reclaim || !team_within(s, run->team, &none));
}

static gint
newest_first(gconstpointer a, gconstpointer b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;

	return (x->worth_ms < y->worth_ms) - (x->worth_ms > y->worth_ms);
}

/* Lists the eligible runs of a worker, least lost work first. */
static GPtrArray *
victims_of(const struct sched *s, const struct worker *w, bool reclaim)
{
	GPtrArray *victims = g_ptr_array_new();

	for (guint i = 0; i < w->runs->len; i++) {
		if (eligible(s, w->runs->pdata[i], reclaim))
			g_ptr_array_add(victims, w->runs->pdata[i]);
	}
	g_ptr_array_sort(victims, newest_first);
	return victims;
}

/* Room on a worker for a new need, with what is about to come free. */
static void
coming_room(const struct worker *w, struct resources *room, int64_t *slots)
{
	*room = w->spare;
	*slots = w->spare_slots;
	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];

		if (!run->stopping && run->hold == NULL)
			continue;
		resources_add(room, &run->resources, 1);
		(*slots)++;
	}
}

static bool
fits(const struct resources *room, int64_t slots, const struct resources *need)
{
	return slots > 0 && resources_fit(need, room);
}

/*
 * The lost run time if room for need is made on w; -1 if it can't be. What a
 * job lost before counts again, so that it is not always the same that is
 * stopped.
 */
static int64_t
cost_of(const struct sched *s, const struct worker *w,
    const struct resources *need, bool reclaim)
{
	GPtrArray *victims = victims_of(s, w, reclaim);
	struct resources room;
	int64_t slots;
	int64_t lost = 0;
	guint i = 0;

	coming_room(w, &room, &slots);
	for (; i < victims->len && !fits(&room, slots, need); i++) {
		const struct run *run = victims->pdata[i];

		resources_add(&room, &run->resources, 1);
		slots++;
		lost += s->now_ms - run->worth_ms;
	}
	g_ptr_array_unref(victims);
	return fits(&room, slots, need) ? lost : -1;
}

/* Whether some gang's reservation on a worker takes no one else. */
static bool
held_strictly(const struct worker *w)
{
	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];

		if (h->reservation->strict && !h->reservation->preempt)
			return true;
	}
	return false;
}

/* apart: not where all tasks of a job that spreads would be together. */
static bool
may_hold(const struct sched *s, const struct worker *w, const struct job *job,
    bool apart)
{
	return worker_usable(w) && !(apart && job_gathers(s, job, w)) &&
	    worker_allowed(w, job->spec.data_centers) &&
	    (job->spec.kind != KIND_SERVICE || w->holds->len == 0);
}

/* A worker where more room is about to come free than is needed so far. */
static struct worker *
surplus(const struct sched *s, const struct job *job, bool apart)
{
	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		for (guint j = 0; r->preempt && j < r->holds->len; j++) {
			const struct hold *h = r->holds->pdata[j];
			struct resources room;
			int64_t slots;

			coming_room(h->worker, &room, &slots);
			if (may_hold(s, h->worker, job, apart) &&
			    !held_strictly(h->worker) &&
			    fits(&room, slots, &job->spec.resources))
				return h->worker;
		}
	}
	return NULL;
}

/*
 * Walks the preemptible runs from the newest on. A worker costs at least the
 * run time of its newest one, so the walk ends once that exceeds the best.
 */
static struct cost
cheapest(const struct sched *s, const struct job *job, bool reclaim, bool apart)
{
	struct cost best = { .lost_ms = INT64_MAX };
	unsigned looked = 0;
	GSequenceIter *iter;

	best.worker = surplus(s, job, apart);
	if (best.worker != NULL)
		return best;
	iter = g_sequence_get_end_iter(s->preemptible);
	while (!g_sequence_iter_is_begin(iter)) {
		const struct run *run;
		struct worker *w;
		int64_t lost;

		iter = g_sequence_iter_prev(iter);
		run = g_sequence_get(iter);
		w = sched_worker_get(s, run->worker);
		if (s->now_ms - run->worth_ms >= best.lost_ms ||
		    looked++ >= LOOK_MAX)
			break;
		if (!eligible(s, run, reclaim) || !may_hold(s, w, job, apart) ||
		    held_strictly(w))
			continue;
		lost = cost_of(s, w, &job->spec.resources, reclaim);
		if (lost >= 0 && lost < best.lost_ms)
			best = (struct cost){ w, lost };
	}
	return best;
}

static void
order(struct run *run, uint64_t for_job, enum sched_preempt_how how,
    struct sched_round *out)
{
	struct sched_preemption p = {
		.job = run->job->spec.id,
		.task = run->task,
		.worker = run->worker,
		.how = how,
		.for_job = for_job,
	};

	g_array_append_val(out->preemptions, p);
}

/* Throttles what has to end on the hold's worker. */
static void
take_room(
    struct sched *s, struct hold *hold, bool reclaim, struct sched_round *out)
{
	GPtrArray *victims = victims_of(s, hold->worker, reclaim);
	struct resources none = { 0 };
	struct resources room;
	int64_t slots;

	coming_room(hold->worker, &room, &slots);
	for (guint i = 0; i < victims->len; i++) {
		struct run *run = victims->pdata[i];

		/* The hold itself is counted off the room already. */
		if (slots >= 0 && resources_fit(&none, &room))
			break;
		resources_add(&room, &run->resources, 1);
		slots++;
		run->hold = hold;
		/* It may be throttled still for a need that has gone. */
		if (run->throttled)
			continue;
		run->throttled = true;
		g_ptr_array_add(s->throttled, run);
		order(
		    run, hold->reservation->job->spec.id, SCHED_THROTTLE, out);
	}
	g_ptr_array_unref(victims);
}

static guint
needs(const struct sched *s)
{
	guint n = 0;

	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		n += r->preempt ? r->holds->len : 0;
	}
	return n;
}

/* Takes the room that a gang's reservation still lacks. */
static bool
preempt_gang(
    struct sched *s, struct job *job, bool reclaim, struct sched_round *out)
{
	struct reservation *r = job->reservation;

	if (r == NULL || r->preempt)
		return false;
	r->preempt = true;
	r->strict = true;
	for (guint i = 0; i < r->holds->len; i++) {
		struct hold *h = r->holds->pdata[i];

		h->since_ms = s->now_ms;
		worker_refresh(s, h->worker, false);
		take_room(s, h, reclaim, out);
	}
	return true;
}

bool
preempt_for(
    struct sched *s, struct job *job, bool reclaim, struct sched_round *out)
{
	struct cost best;

	if (job->spec.kind == KIND_GANG)
		return preempt_gang(s, job, reclaim, out);
	if (job->reservation != NULL && !job->reservation->preempt)
		reserve_drop(s, job->reservation);
	if (reserved_tasks(job) >= job->waiting || needs(s) >= NEEDS_MAX ||
	    s->round_needs >= NEEDS_A_ROUND)
		return false;
	best = cheapest(s, job, reclaim, true);
	if (best.worker == NULL)
		best = cheapest(s, job, reclaim, false);
	if (best.worker == NULL)
		return false;
	s->round_needs++;
	take_room(s, reserve_hold(s, job, best.worker, 1), reclaim, out);
	return true;
}

/* Stops what a hold still needs of its throttled runs. */
static void
stop_throttled(struct sched *s, struct hold *hold, struct sched_round *out)
{
	struct worker *w = hold->worker;
	GPtrArray *victims = g_ptr_array_new();
	struct resources none = { 0 };
	struct resources room = w->spare;
	int64_t slots = w->spare_slots;

	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->hold == hold && !run->stopping)
			g_ptr_array_add(victims, run);
		else if (run->stopping) {
			resources_add(&room, &run->resources, 1);
			slots++;
		}
	}
	g_ptr_array_sort(victims, newest_first);
	for (guint i = 0; i < victims->len; i++) {
		struct run *run = victims->pdata[i];

		if (slots >= 0 && resources_fit(&none, &room)) {
			run->hold = NULL;
			continue;
		}
		resources_add(&room, &run->resources, 1);
		slots++;
		run->stopping = true;
		order(run, hold->reservation->job->spec.id,
		    SCHED_CHECKPOINT_STOP, out);
	}
	hold->stops_ordered = true;
	g_ptr_array_unref(victims);
}

/* A hold whose victims do not end; its job looks for room elsewhere. */
static bool
given_up(const struct sched *s, const struct hold *hold)
{
	return hold->reservation->job->spec.kind != KIND_GANG &&
	    s->now_ms - hold->since_ms >= GIVE_UP_MS;
}

static void
escalate(struct sched *s, struct hold *hold, struct sched_round *out)
{
	if (given_up(s, hold)) {
		shape_wake(s, hold->reservation->job->shape);
		hold_drop(s, hold);
		return;
	}
	if (!hold->stops_ordered &&
	    s->now_ms - hold->since_ms >= s->policy->throttle_ms)
		stop_throttled(s, hold, out);
}

void
preempt_escalate(struct sched *s, struct sched_round *out)
{
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r = s->reservations->pdata[i - 1];

		if (!r->preempt)
			continue;
		/* The last hold takes its reservation with it. */
		for (guint j = r->holds->len; j > 0; j--)
			escalate(s, r->holds->pdata[j - 1], out);
	}
}

bool
preempt_spread(const struct sched *s)
{
	return s->round_needs >= NEEDS_A_ROUND;
}

void
preempt_forget(struct sched *s, const struct hold *hold)
{
	for (guint i = 0; i < hold->worker->runs->len; i++) {
		struct run *run = hold->worker->runs->pdata[i];

		if (run->hold == hold)
			run->hold = NULL;
	}
}

void
preempt_resume(struct sched *s, struct sched_round *out)
{
	for (guint i = s->throttled->len; i > 0; i--) {
		struct run *run = s->throttled->pdata[i - 1];
		struct sched_placement p = {
			.job = run->job->spec.id,
			.task = run->task,
			.worker = run->worker,
		};

		if (run->hold != NULL || run->stopping)
			continue;
		run->throttled = false;
		g_ptr_array_remove_index_fast(s->throttled, i - 1);
		g_array_append_val(out->resumes, p);
	}
}
