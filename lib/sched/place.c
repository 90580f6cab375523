/* Chooses a worker for one task. */
#include <math.h>

#include "table.h"

#define CANDIDATES_MAX 64 /* workers that fit and are scored */
#define SPREAD_SCAN_MAX 512 /* workers tried before the index is used */
#define AVOID_COST 1e9 /* outweighs spread_cost() */
#define BACKFILL_SCAN_MAX 64 /* holds tried for backfill */

struct search {
	struct sched *s;
	const struct job *job;
	struct worker *best;
	double score;
	unsigned found;
	bool spread;
	double cost; /* of best: spreading and failures */
	double least; /* lower bound of the cost of any worker */
};

static bool
fits(const struct worker *w, const struct resources *avail, int64_t slots,
    const struct job *job)
{
	return slots > 0 && worker_usable(w) &&
	    resources_fit(&job->spec.resources, avail) &&
	    worker_allowed(w, job->spec.data_centers);
}

static uint32_t
tasks_in(const GArray *counts, uint32_t domain)
{
	return g_array_index(counts, uint32_t, domain);
}

/*
 * The score penalty for spreading. A task of the job in the same domain of the
 * requested kind (rack or data centre) weighs most, one in the same domain of
 * the other kind less; either outweighs any score.
 */
static double
spread_cost(const struct search *q, const struct worker *w)
{
	double rack = tasks_in(q->s->rack_tasks, w->spec.rack);
	double data_center =
	    tasks_in(q->s->data_center_tasks, w->spec.data_center);

	if (q->job->spec.spread == SPREAD_RACK)
		return rack * 1e6 + data_center * 1e2;
	return data_center * 1e6 + rack * 1e2;
}

static void
consider(struct search *q, struct worker *w, const struct resources *free,
    int64_t slots)
{
	struct sched_available avail = { *free, slots };
	double score = q->s->policy->score[q->job->spec.kind](
	    &w->spec, &avail, &q->job->spec);
	double cost = q->spread ? spread_cost(q, w) : 0;

	if (history_avoids(q->job->history, w->spec.id))
		cost += AVOID_COST;
	score -= cost;
	q->found++;
	if (q->best != NULL && score <= q->score)
		return;
	q->best = w;
	q->cost = cost;
	q->score = score;
}

static unsigned
visit(void *arg, struct worker *w)
{
	struct search *q = arg;

	if (fits(w, &w->avail, w->avail_slots, q->job))
		consider(q, w, &w->avail, w->avail_slots);
	return q->found;
}

/* Tries all workers by id, from a start, until enough fit. */
static void
scan(struct search *q, uint32_t from, unsigned enough)
{
	const GPtrArray *workers = q->s->workers;

	for (guint i = 0; i < workers->len && q->found < enough; i++) {
		guint at = (from + i) % workers->len;

		if (workers->pdata[at] != NULL)
			visit(q, workers->pdata[at]);
	}
}

static void
scan_next(struct search *q)
{
	scan(q, q->s->cursor, 1);
	if (q->best != NULL)
		q->s->cursor = q->best->spec.id + 1;
}

/* A step, coprime to count, that visits all workers and soon leaves a rack. */
static guint
stride(guint count)
{
	static const guint primes[] = { 61, 67, 71, 73, 79, 83, 89, 97 };

	for (unsigned i = 0; i < G_N_ELEMENTS(primes); i++) {
		if (count % primes[i] != 0)
			return primes[i];
	}
	return 1;
}

/*
 * Tries workers across all domains until no other can spread better than the
 * best one found. In a full cell few workers have free capacity; the index
 * then finds them.
 */
static void
scan_domains(struct search *q)
{
	const GPtrArray *workers = q->s->workers;
	guint step = stride(workers->len);
	guint at = q->s->cursor % MAX(workers->len, 1);

	for (guint i = 0; i < MIN(workers->len, SPREAD_SCAN_MAX); i++) {
		if (workers->pdata[at] != NULL)
			visit(q, workers->pdata[at]);
		at = (at + step) % workers->len;
		if (q->found >= CANDIDATES_MAX && q->cost <= q->least)
			break;
	}
	q->s->cursor = at;
	if (q->best == NULL || q->cost > q->least)
		index_walk(
		    &q->s->index, &q->job->spec.resources, UINT_MAX, visit, q);
}

/* Lower bound of the cost in any allowed data centre. */
static double
least_cost(const struct search *q)
{
	const GArray *counts = q->s->data_center_tasks;
	uint64_t allowed = q->job->spec.data_centers;
	uint32_t least = UINT32_MAX;

	for (guint i = 0; i < counts->len; i++) {
		if (allowed != 0 && (i >= 64 || (allowed >> i & 1) == 0))
			continue;
		least = MIN(least, tasks_in(counts, i));
	}
	return least * (q->job->spec.spread == SPREAD_RACK ? 1e2 : 1e6);
}

/* Counts the running tasks of a job by domain, or clears the counts. */
static void
count_domains(struct sched *s, const struct job *job, bool set)
{
	for (guint i = 0; i < job->workers->len; i++) {
		const struct worker *w = sched_worker_get(
		    s, g_array_index(job->workers, uint32_t, i));
		uint32_t *rack =
		    &g_array_index(s->rack_tasks, uint32_t, w->spec.rack);
		uint32_t *data_center = &g_array_index(
		    s->data_center_tasks, uint32_t, w->spec.data_center);

		*rack = set ? *rack + 1 : 0;
		*data_center = set ? *data_center + 1 : 0;
	}
}

static void
search_all(struct search *q)
{
	struct sched *s = q->s;

	if (q->spread) {
		q->least = least_cost(q);
		scan_domains(q);
		return;
	}
	switch (s->policy->scan) {
	case SCHED_SCAN_INDEX:
		index_walk(&s->index, &q->job->spec.resources, CANDIDATES_MAX,
		    visit, q);
		break;
	case SCHED_SCAN_ALL:
		scan(q, 0, UINT32_MAX);
		break;
	case SCHED_SCAN_FIRST:
		scan(q, 0, 1);
		break;
	case SCHED_SCAN_NEXT:
		scan_next(q);
		break;
	}
}

/* Tries to backfill capacity that is held for other jobs. */
static void
search_held(struct search *q, bool urgent)
{
	struct sched *s = q->s;
	unsigned tried = 0;

	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		if (r->no_backfill || r->preempt || r->job == q->job)
			continue;
		for (guint j = 0; j < r->holds->len; j++) {
			const struct hold *h = r->holds->pdata[j];
			struct worker *w = h->worker;

			if (tried++ >= BACKFILL_SCAN_MAX)
				return;
			if (fits(w, &w->backfill, w->backfill_slots, q->job) &&
			    backfill_allowed(s, w, q->job, urgent))
				consider(q, w, &w->backfill, w->backfill_slots);
		}
	}
}

/* Tries only changed workers: the shape did not fit on any other. */
static void
search_changed(struct search *q, bool urgent)
{
	struct sched *s = q->s;

	for (guint i = 0; i < s->changed->len; i++) {
		struct worker *w = s->changed->pdata[i];

		visit(q, w);
		if (w->holds->len > 0 &&
		    fits(w, &w->backfill, w->backfill_slots, q->job) &&
		    backfill_allowed(s, w, q->job, urgent))
			consider(q, w, &w->backfill, w->backfill_slots);
	}
}

struct worker *
place_find_held(const struct job *job)
{
	if (job->reservation == NULL)
		return NULL;
	for (guint i = 0; i < job->reservation->holds->len; i++) {
		const struct hold *h = job->reservation->holds->pdata[i];
		struct resources avail;
		int64_t slots;

		worker_available_to_hold(h->worker, h, &avail, &slots);
		if (fits(h->worker, &avail, slots, job))
			return h->worker;
	}
	return NULL;
}

struct worker *
place_find(struct sched *s, struct shape *shape, struct job *job, bool urgent)
{
	struct search q = { .s = s, .job = job };
	struct worker *held = place_find_held(job);

	if (held != NULL)
		return held;
	q.spread = job_spreads(job) && s->policy->fair;
	if (q.spread)
		count_domains(s, job, true);
	if (shape->woken_round == s->round) {
		search_changed(&q, urgent);
	} else {
		search_all(&q);
		if (q.best == NULL)
			search_held(&q, urgent);
	}
	if (q.spread)
		count_domains(s, job, false);
	return q.best;
}

/* The hold that a starting task replaces: one on its worker, or the last one
 * if there would be more reserved tasks than waiting ones. */
static struct hold *
hold_to_drop(const struct job *job, const struct worker *w)
{
	const GPtrArray *holds;

	if (job->reservation == NULL)
		return NULL;
	holds = job->reservation->holds;
	for (guint i = 0; i < holds->len; i++) {
		struct hold *h = holds->pdata[i];

		if (h->worker == w)
			return h;
	}
	return reserved_tasks(job) > job->waiting ? holds->pdata[holds->len - 1]
						  : NULL;
}

void
place_commit(
    struct sched *s, struct job *job, struct worker *w, struct sched_round *out)
{
	struct sched_placement p = {
		.job = job->spec.id,
		.task = job_take_task(s, job),
		.worker = w->spec.id,
	};
	struct hold *hold = hold_to_drop(job, w);

	job->shape->placed_ms = s->now_ms;
	if (hold != NULL)
		hold_drop(s, hold);
	run_start(s, job, p.task, w, s->now_ms);
	g_array_append_val(out->placements, p);
	if (job->waiting > 0)
		return;
	if (job->reservation != NULL)
		reserve_drop(s, job->reservation);
	shape_remove_job(s, job);
}
