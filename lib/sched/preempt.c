/*
 * Preemption of batch work: runs are throttled first, and stopped at a
 * checkpoint if the capacity is still needed after throttle_ms.
 */
#include "table.h"

#define VICTIM_SCAN_MAX 64 /* runs tried in a search for victims */
#define HOLDS_PER_ROUND 16 /* new ones; spreads a burst over rounds */
#define HOLDS_MAX 256 /* concurrent preempting holds */
#define VICTIM_TIMEOUT_MS 10000 /* until other victims are chosen */

/* A worker and the run time that preemption on it would lose. */
struct cost {
	struct worker *worker;
	int64_t lost_ms;
};

bool
run_preemptible(const struct run *run)
{
	return run->iter != NULL && !run->stopping && run->hold == NULL;
}

/* Whether a run may be preempted. If reclaim is set, its team must be over its
 * quota. */
static bool
eligible(const struct sched *s, const struct run *run, bool reclaim)
{
	struct resources none = { 0 };

	return run_preemptible(run) &&
	    (!reclaim || !team_within_quota(s, run->team, &none));
}

static gint
by_lost_time(gconstpointer a, gconstpointer b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;

	return (x->effective_start_ms < y->effective_start_ms) -
	    (x->effective_start_ms > y->effective_start_ms);
}

/* Lists the eligible runs of a worker, those that lose least run time first. */
static GPtrArray *
victims_of(const struct sched *s, const struct worker *w, bool reclaim)
{
	GPtrArray *victims = g_ptr_array_new();

	for (guint i = 0; i < w->runs->len; i++) {
		if (eligible(s, w->runs->pdata[i], reclaim))
			g_ptr_array_add(victims, w->runs->pdata[i]);
	}
	g_ptr_array_sort(victims, by_lost_time);
	return victims;
}

/* Capacity of a worker for a new hold, with that of runs being preempted. */
static void
expected_capacity(
    const struct worker *w, struct resources *avail, int64_t *slots)
{
	*avail = w->backfill;
	*slots = w->backfill_slots;
	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];

		if (!run->stopping && run->hold == NULL)
			continue;
		resources_add(avail, &run->resources, 1);
		(*slots)++;
	}
}

static bool
fits(const struct resources *avail, int64_t slots, const struct resources *need)
{
	return slots > 0 && resources_fit(need, avail);
}

/*
 * The run time lost if need is freed on w by preemption; -1 if it can't be.
 * Run time that a job lost before is added, so that it is not always the same
 * job that is stopped.
 */
static int64_t
cost_of(const struct sched *s, const struct worker *w,
    const struct resources *need, bool reclaim)
{
	GPtrArray *victims = victims_of(s, w, reclaim);
	struct resources avail;
	int64_t slots;
	int64_t lost = 0;
	guint i = 0;

	expected_capacity(w, &avail, &slots);
	for (; i < victims->len && !fits(&avail, slots, need); i++) {
		const struct run *run = victims->pdata[i];

		resources_add(&avail, &run->resources, 1);
		slots++;
		lost += s->now_ms - run->effective_start_ms;
	}
	g_ptr_array_unref(victims);
	return fits(&avail, slots, need) ? lost : -1;
}

/* Whether a worker has a hold of a reservation that allows no backfill and does
 * not preempt. */
static bool
held_strictly(const struct worker *w)
{
	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];

		if (h->reservation->no_backfill && !h->reservation->preempt)
			return true;
	}
	return false;
}

/* Whether a job may have a hold on a worker. If apart is set, all tasks of a
 * job that is to be spread must not end up in one rack or data centre. */
static bool
may_hold(const struct sched *s, const struct worker *w, const struct job *job,
    bool apart)
{
	return worker_usable(w) && !(apart && job_in_one_domain(s, job, w)) &&
	    worker_allowed(w, job->spec.data_centers) &&
	    (job->spec.kind != KIND_SERVICE || w->holds->len == 0);
}

/* A worker where preemptions already free more capacity than is held. */
static struct worker *
find_surplus(const struct sched *s, const struct job *job, bool apart)
{
	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		for (guint j = 0; r->preempt && j < r->holds->len; j++) {
			const struct hold *h = r->holds->pdata[j];
			struct resources avail;
			int64_t slots;

			expected_capacity(h->worker, &avail, &slots);
			if (may_hold(s, h->worker, job, apart) &&
			    !held_strictly(h->worker) &&
			    fits(&avail, slots, &job->spec.resources))
				return h->worker;
		}
	}
	return NULL;
}

/*
 * Walks the preemptible runs from the newest effective start. Preemption on a
 * worker costs at least the lost time of its newest run, so the walk ends once
 * that exceeds the best cost.
 */
static struct cost
find_cheapest(
    const struct sched *s, const struct job *job, bool reclaim, bool apart)
{
	struct cost best = { .lost_ms = INT64_MAX };
	unsigned tried = 0;
	GSequenceIter *iter;

	best.worker = find_surplus(s, job, apart);
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
		if (s->now_ms - run->effective_start_ms >= best.lost_ms ||
		    tried++ >= VICTIM_SCAN_MAX)
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
add_preemption(struct run *run, uint64_t for_job,
    enum sched_preempt_action action, struct sched_round *out)
{
	struct sched_preemption p = {
		.job = run->job->spec.id,
		.task = run->task,
		.worker = run->worker,
		.action = action,
		.for_job = for_job,
	};

	g_array_append_val(out->preemptions, p);
}

/* Throttles the runs on the hold's worker that have to end. */
static void
throttle_victims(
    struct sched *s, struct hold *hold, bool reclaim, struct sched_round *out)
{
	GPtrArray *victims = victims_of(s, hold->worker, reclaim);
	struct resources none = { 0 };
	struct resources avail;
	int64_t slots;

	expected_capacity(hold->worker, &avail, &slots);
	for (guint i = 0; i < victims->len; i++) {
		struct run *run = victims->pdata[i];

		/* avail excludes the hold already. */
		if (slots >= 0 && resources_fit(&none, &avail))
			break;
		resources_add(&avail, &run->resources, 1);
		slots++;
		run->hold = hold;
		/* It may still be throttled for a hold that was dropped. */
		if (run->throttled)
			continue;
		run->throttled = true;
		g_ptr_array_add(s->throttled, run);
		add_preemption(
		    run, hold->reservation->job->spec.id, SCHED_THROTTLE, out);
	}
	g_ptr_array_unref(victims);
}

static guint
preempting_holds(const struct sched *s)
{
	guint n = 0;

	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		n += r->preempt ? r->holds->len : 0;
	}
	return n;
}

/* Starts preemption for the reservation that a gang already has. */
static bool
preempt_gang(
    struct sched *s, struct job *job, bool reclaim, struct sched_round *out)
{
	struct reservation *r = job->reservation;

	if (r == NULL || r->preempt)
		return false;
	r->preempt = true;
	r->no_backfill = true;
	for (guint i = 0; i < r->holds->len; i++) {
		struct hold *h = r->holds->pdata[i];

		h->preempt_start_ms = s->now_ms;
		worker_update_available(s, h->worker, false);
		throttle_victims(s, h, reclaim, out);
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
	if (reserved_tasks(job) >= job->waiting ||
	    preempting_holds(s) >= HOLDS_MAX ||
	    s->round_preempt_holds >= HOLDS_PER_ROUND)
		return false;
	best = find_cheapest(s, job, reclaim, true);
	if (best.worker == NULL)
		best = find_cheapest(s, job, reclaim, false);
	if (best.worker == NULL)
		return false;
	s->round_preempt_holds++;
	throttle_victims(
	    s, reserve_add_hold(s, job, best.worker, 1), reclaim, out);
	return true;
}

/* Stops as many throttled runs of a hold as it still needs. */
static void
stop_throttled(struct sched *s, struct hold *hold, struct sched_round *out)
{
	struct worker *w = hold->worker;
	GPtrArray *victims = g_ptr_array_new();
	struct resources none = { 0 };
	struct resources avail = w->backfill;
	int64_t slots = w->backfill_slots;

	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->hold == hold && !run->stopping)
			g_ptr_array_add(victims, run);
		else if (run->stopping) {
			resources_add(&avail, &run->resources, 1);
			slots++;
		}
	}
	g_ptr_array_sort(victims, by_lost_time);
	for (guint i = 0; i < victims->len; i++) {
		struct run *run = victims->pdata[i];

		if (slots >= 0 && resources_fit(&none, &avail)) {
			run->hold = NULL;
			continue;
		}
		resources_add(&avail, &run->resources, 1);
		slots++;
		run->stopping = true;
		add_preemption(run, hold->reservation->job->spec.id,
		    SCHED_CHECKPOINT_STOP, out);
	}
	hold->stops_ordered = true;
	g_ptr_array_unref(victims);
}

/* Whether the victims of a hold did not end in time, so that its job is tried
 * on other workers. Never for gangs. */
static bool
hold_timed_out(const struct sched *s, const struct hold *hold)
{
	return hold->reservation->job->spec.kind != KIND_GANG &&
	    s->now_ms - hold->preempt_start_ms >= VICTIM_TIMEOUT_MS;
}

static void
escalate(struct sched *s, struct hold *hold, struct sched_round *out)
{
	if (hold_timed_out(s, hold)) {
		shape_wake(s, hold->reservation->job->shape);
		hold_drop(s, hold);
		return;
	}
	if (!hold->stops_ordered &&
	    s->now_ms - hold->preempt_start_ms >= s->policy->throttle_ms)
		stop_throttled(s, hold, out);
}

void
preempt_escalate(struct sched *s, struct sched_round *out)
{
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r = s->reservations->pdata[i - 1];

		if (!r->preempt)
			continue;
		/* Dropping the last hold frees its reservation. */
		for (guint j = r->holds->len; j > 0; j--)
			escalate(s, r->holds->pdata[j - 1], out);
	}
}

bool
preempt_limit_reached(const struct sched *s)
{
	return s->round_preempt_holds >= HOLDS_PER_ROUND;
}

void
preempt_release_runs(struct sched *s, const struct hold *hold)
{
	for (guint i = 0; i < hold->worker->runs->len; i++) {
		struct run *run = hold->worker->runs->pdata[i];

		if (run->hold == hold)
			run->hold = NULL;
	}
}

void
preempt_resume_runs(struct sched *s, struct sched_round *out)
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
