/* Scheduling rounds. */
#include <math.h>

#include "share.h"
#include "table.h"

#define GANG_RETRY_MS 100 /* between searches for a gang */
#define PREEMPT_RETRY_MS 50 /* between searches for victims */
#define CHECK_MS 50 /* between checks of blocked shapes */
/* Between searches for victims among teams over their quota. */
#define RECLAIM_RETRY_MS 500
#define CHECK_WAKE_MAX 16 /* shapes made ready per check to preempt */
#define PREEMPT_JOBS_MAX 64 /* jobs per queue that may preempt at once */

/* Placement priority of a shape in a round, highest first. */
enum priority {
	PRIORITY_URGENT, /* these three: team within its quota */
	PRIORITY_DEADLINE,
	PRIORITY_WITHIN_QUOTA,
	PRIORITY_URGENT_OVER, /* these three: team over its quota */
	PRIORITY_DEADLINE_OVER,
	PRIORITY_OVER_QUOTA
};

/* A shape in the heap of a round. */
struct entry {
	struct shape *shape;
	enum priority priority;
	double share; /* team's use relative to its quota */
	double size; /* dominant share of a task; larger first */
	int64_t submitted_ms;
	uint64_t job;
};

void
sched_round_init(struct sched_round *round)
{
	round->placements =
	    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
	round->preemptions =
	    g_array_new(FALSE, FALSE, sizeof(struct sched_preemption));
	round->resumes =
	    g_array_new(FALSE, FALSE, sizeof(struct sched_placement));
}

void
sched_round_clear(struct sched_round *round)
{
	g_array_unref(round->placements);
	g_array_unref(round->preemptions);
	g_array_unref(round->resumes);
	*round = (struct sched_round){ 0 };
}

struct sched *
sched_new(const struct sched_policy *policy)
{
	struct sched *s = g_new0(struct sched, 1);

	s->policy = policy;
	s->workers = g_ptr_array_new();
	s->classes = g_array_new(FALSE, FALSE, sizeof(struct worker_class));
	index_init(&s->index);
	s->dirty = g_ptr_array_new();
	s->changed = g_ptr_array_new();
	s->throttled = g_ptr_array_new();
	s->teams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->jobs = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, sched_job_free);
	s->history =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&s->history_order);
	s->shapes_by_key =
	    g_hash_table_new_full(shape_hash, shape_equal, NULL, shape_free);
	for (unsigned i = 0; i < SHAPE_STATES; i++)
		s->shapes[i] = g_ptr_array_new();
	s->reservations = g_ptr_array_new();
	s->preemptible = g_sequence_new(NULL);
	s->rack_tasks = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	s->data_center_tasks = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return s;
}

void
sched_free(struct sched *s)
{
	while (s->reservations->len > 0)
		reserve_drop(s, s->reservations->pdata[0]);
	for (guint i = 0; i < s->workers->len; i++)
		sched_worker_remove(s, i);
	g_hash_table_unref(s->shapes_by_key);
	g_hash_table_unref(s->jobs);
	g_hash_table_unref(s->teams);
	g_sequence_free(s->preemptible);
	g_queue_clear(&s->history_order);
	g_hash_table_unref(s->history);
	for (unsigned i = 0; i < SHAPE_STATES; i++)
		g_ptr_array_unref(s->shapes[i]);
	g_ptr_array_unref(s->reservations);
	g_ptr_array_unref(s->workers);
	g_ptr_array_unref(s->dirty);
	g_ptr_array_unref(s->changed);
	g_ptr_array_unref(s->throttled);
	g_array_unref(s->classes);
	g_array_unref(s->rack_tasks);
	g_array_unref(s->data_center_tasks);
	index_clear(&s->index);
	g_free(s);
}

/* Makes all blocked shapes ready. */
static void
wake_all(struct sched *s)
{
	while (s->shapes[SHAPE_BLOCKED]->len > 0)
		shape_wake(s, s->shapes[SHAPE_BLOCKED]->pdata[0]);
}

void
sched_set_policy(struct sched *s, const struct sched_policy *policy)
{
	s->policy = policy;
	while (s->reservations->len > 0)
		reserve_drop(s, s->reservations->pdata[0]);
	wake_all(s);
}

static bool
urgent_within_quota(const struct sched *s, const struct job *job)
{
	return s->policy->fair && job->spec.urgent &&
	    team_within_quota_nonpreemptible(
		s, job->shape->team, &job->spec.resources);
}

static int64_t
waited_ms(const struct sched *s, const struct job *job)
{
	return s->now_ms - job->spec.submitted_ms;
}

static struct entry
entry_of(const struct sched *s, struct shape *shape)
{
	const struct job *job = shape_head(shape, s->now_ms);
	struct entry entry = {
		.shape = shape,
		.submitted_ms = job->spec.submitted_ms,
		.job = job->spec.id,
	};
	bool within;

	if (!s->policy->fair)
		return entry;
	entry.share = team_usage_ratio(s, shape->team);
	if (s->policy->share_step > 0)
		entry.share = floor(entry.share / s->policy->share_step);
	if (s->policy->large_first)
		entry.size = share_dominant(&shape->key.resources, &s->total);
	if (urgent_within_quota(s, job))
		return entry;
	within = waited_ms(s, job) >= s->policy->quota_after_ms &&
	    team_within_quota(s, shape->team, &job->spec.resources);
	if (job->spec.urgent)
		entry.priority = PRIORITY_URGENT_OVER;
	else if (job_deadline_near(job, s->now_ms))
		entry.priority =
		    within ? PRIORITY_DEADLINE : PRIORITY_DEADLINE_OVER;
	else
		entry.priority =
		    within ? PRIORITY_WITHIN_QUOTA : PRIORITY_OVER_QUOTA;
	return entry;
}

static bool
entry_before(const struct entry *a, const struct entry *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->share != b->share)
		return a->share < b->share;
	if (a->size != b->size)
		return a->size > b->size;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms;
	return a->job < b->job;
}

/* The entries form a binary heap with the next one at index 0. */
static void
heap_sift_down(GArray *heap, guint at)
{
	struct entry *entries = (struct entry *)(void *)heap->data;

	for (;;) {
		guint least = at;

		for (guint child = 2 * at + 1; child <= 2 * at + 2; child++) {
			if (child < heap->len &&
			    entry_before(&entries[child], &entries[least]))
				least = child;
		}
		if (least == at)
			return;
		struct entry moved = entries[at];

		entries[at] = entries[least];
		entries[least] = moved;
		at = least;
	}
}

static void
heapify(GArray *heap)
{
	for (guint i = heap->len / 2; i > 0; i--)
		heap_sift_down(heap, i - 1);
}

static void
heap_build(struct sched *s, GArray *heap)
{
	const GPtrArray *ready = s->shapes[SHAPE_READY];

	for (guint i = 0; i < ready->len; i++) {
		struct entry entry = entry_of(s, ready->pdata[i]);

		g_array_append_val(heap, entry);
	}
	heapify(heap);
}

static void
heap_pop(GArray *heap)
{
	g_array_index(heap, struct entry, 0) =
	    g_array_index(heap, struct entry, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	heap_sift_down(heap, 0);
}

/* Whether a shape's next task may fit on a worker. */
static bool
may_fit(
    const struct sched *s, const struct worker *w, const struct shape *shape)
{
	const struct resources *need = &shape->key.resources;
	const struct job *job;

	if (w->avail_slots > 0 && resources_fit(need, &w->avail))
		return true;
	if (w->holds->len == 0 || w->backfill_slots <= 0 ||
	    !resources_fit(need, &w->backfill))
		return false;
	job = shape_head(shape, s->now_ms);
	return backfill_allowed(s, w, job, job->spec.urgent);
}

/* Whether a shape's next task may fit on a changed worker. */
static bool
may_fit_changed(const struct sched *s, const struct shape *shape)
{
	for (guint i = 0; i < s->changed->len; i++) {
		if (may_fit(s, s->changed->pdata[i], shape))
			return true;
	}
	return false;
}

/* Makes blocked shapes ready that may fit on changed workers. */
static void
wake_changed(struct sched *s)
{
	GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];

	if (s->changed->len > CHANGED_MAX) {
		wake_all(s);
		return;
	}
	if (s->changed->len == 0 && !s->stale)
		return;
	s->stale = false;
	for (guint i = blocked->len; i > 0; i--) {
		struct shape *shape = blocked->pdata[i - 1];

		if (!may_fit_changed(s, shape) && !shape->stale)
			continue;
		if (shape->key.kind == KIND_GANG &&
		    s->now_ms < shape->gang_retry_ms) {
			shape->stale = s->stale = true;
			continue;
		}
		shape->stale = false;
		shape_set_state(s, shape, SHAPE_READY);
		shape->woken_round = s->round;
	}
}

/* Marks a shape infeasible and drops the reservations of its jobs. */
static void
mark_infeasible(struct sched *s, struct shape *shape)
{
	shape_set_state(s, shape, SHAPE_INFEASIBLE);
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r = s->reservations->pdata[i - 1];

		if (r->job->shape == shape)
			reserve_drop(s, r);
	}
}

/* Checks the feasibility of all shapes after the set of workers changed. */
static void
update_feasibility(struct sched *s)
{
	if (!s->classes_changed)
		return;
	s->classes_changed = false;
	for (unsigned state = 0; state < SHAPE_STATES; state++) {
		GPtrArray *list = s->shapes[state];

		for (guint i = list->len; i > 0; i--) {
			struct shape *shape = list->pdata[i - 1];
			bool fits = shape_feasible(s, shape);

			if (!fits && state != SHAPE_INFEASIBLE)
				mark_infeasible(s, shape);
			else if (fits && state == SHAPE_INFEASIBLE)
				shape_wake(s, shape);
		}
	}
}

/* Whether a shape has had no placement for long and may reserve. */
static bool
starves(const struct sched *s, const struct shape *shape, const struct job *job)
{
	int64_t since = MAX(job->spec.submitted_ms, shape->placed_ms);
	bool gang = job->spec.kind == KIND_GANG;

	return s->policy->reserve && job->reservation == NULL &&
	    s->now_ms >= shape->reserve_retry_ms &&
	    s->now_ms - since >= (gang ? s->policy->gang_reserve_after_ms
				       : s->policy->reserve_after_ms);
}

/* Whether a blocked shape may preempt others now. */
static bool
may_preempt(
    const struct sched *s, const struct shape *shape, const struct job *job)
{
	if (!s->policy->preempt || s->now_ms < shape->preempt_retry_ms)
		return false;
	if (urgent_within_quota(s, job))
		return true;
	return (job->reservation == NULL || !job->reservation->preempt) &&
	    waited_ms(s, job) >= s->policy->reclaim_after_ms &&
	    team_within_quota(s, shape->team, &job->spec.resources);
}

/* Order of starving shapes: those within quota first, then by age. */
static bool
starves_first(const struct entry *a, const struct entry *b)
{
	if (b->shape == NULL)
		return true;
	if ((a->priority > PRIORITY_WITHIN_QUOTA) !=
	    (b->priority > PRIORITY_WITHIN_QUOTA))
		return a->priority <= PRIORITY_WITHIN_QUOTA;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms;
	return a->job < b->job;
}

/*
 * Makes blocked shapes ready for which time alone has changed something. Of
 * the starving ones only the first may reserve, so that later ones can't take
 * the capacity that it waits for.
 */
static void
check_blocked(struct sched *s)
{
	const GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];
	struct entry first = { 0 };
	unsigned woken = 0;

	if (s->now_ms < s->next_check_ms)
		return;
	s->next_check_ms = s->now_ms + CHECK_MS;
	for (guint i = blocked->len; i > 0; i--) {
		struct shape *shape = blocked->pdata[i - 1];
		struct job *job = shape_head(shape, s->now_ms);

		if (starves(s, shape, job)) {
			struct entry entry = entry_of(s, shape);

			if (starves_first(&entry, &first))
				first = entry;
		}
		if (woken < CHECK_WAKE_MAX && may_preempt(s, shape, job)) {
			shape_wake(s, shape);
			woken++;
		}
	}
	s->starving = first.job;
	if (first.shape != NULL)
		shape_wake(s, first.shape);
}

/* Places the tasks of a reservation whose capacity has become free. */
static void
place_reserved(struct sched *s, struct reservation *r, struct sched_round *out)
{
	struct job *job = r->job;
	struct shape_key key = job->shape->key;
	uint64_t id = job->spec.id;
	struct shape *shape;

	r->recheck = false;
	if (job->spec.kind == KIND_GANG) {
		if (!gang_place(s, job, out))
			return;
	} else {
		struct worker *w = place_find_held(job);

		if (w == NULL)
			return;
		while (w != NULL) {
			place_commit(s, job, w, out);
			job = job_get(s, id);
			w = job != NULL && job->reservation != NULL
			    ? place_find_held(job)
			    : NULL;
		}
	}
	shape = g_hash_table_lookup(s->shapes_by_key, &key);
	if (shape != NULL && shape->state == SHAPE_BLOCKED)
		shape_wake(s, shape);
}

static void
place_all_reserved(struct sched *s, size_t limit, struct sched_round *out)
{
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r;

		if (out->placements->len >= limit)
			return;
		/* Placing a job's last task frees its reservation. */
		if (i > s->reservations->len)
			continue;
		r = s->reservations->pdata[i - 1];
		if (r->recheck)
			place_reserved(s, r, out);
	}
}

/* Preempts for the waiting tasks of a queue's first jobs. */
static void
preempt_queue(struct sched *s, GSequence *queue, struct sched_round *out)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue);

	for (unsigned i = 0; i < PREEMPT_JOBS_MAX; i++) {
		struct job *job;

		if (g_sequence_iter_is_end(iter))
			return;
		job = g_sequence_get(iter);
		if (!urgent_within_quota(s, job))
			return;
		while (preempt_for(s, job, false, out))
			;
		iter = g_sequence_iter_next(iter);
	}
}

/* Reserves or preempts for a shape whose head does not fit. */
static void
reserve_or_preempt(struct sched *s, struct shape *shape, struct job *job,
    struct sched_round *out)
{
	if (s->policy->reserve && job->spec.kind == KIND_GANG &&
	    waited_ms(s, job) >= s->policy->gang_reserve_after_ms)
		reserve_job(s, job);
	if (may_preempt(s, shape, job)) {
		bool urgent = urgent_within_quota(s, job);

		shape->preempt_retry_ms =
		    s->now_ms + (urgent ? PREEMPT_RETRY_MS : RECLAIM_RETRY_MS);
		if (!urgent) {
			preempt_for(s, job, true, out);
		} else {
			preempt_queue(s, shape->deadline_queue, out);
			preempt_queue(s, shape->age_queue, out);
			if (preempt_limit_reached(s))
				shape->preempt_retry_ms = s->now_ms;
		}
	}
	if (starves(s, shape, job))
		reserve_job(s, job);
}

/* Drops changed workers without free slots from the list. */
static void
drop_full(struct sched *s)
{
	guint kept = 0;

	for (guint i = 0; i < s->changed->len; i++) {
		struct worker *w = s->changed->pdata[i];

		if (MAX(w->avail_slots, w->backfill_slots) > 0)
			s->changed->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->changed, (gint)kept);
}

/*
 * Removes from the heap shapes that were made ready for capacity that has been
 * used since. Most shapes that wake for one freed slot lose it to the first.
 */
static void
heap_filter(struct sched *s, GArray *heap)
{
	struct entry *entries = (struct entry *)(void *)heap->data;
	guint kept = 0;

	drop_full(s);
	for (guint i = 0; i < heap->len; i++) {
		struct shape *shape = entries[i].shape;

		if (shape->woken_round != s->round ||
		    shape->key.kind == KIND_GANG || may_fit_changed(s, shape))
			entries[kept++] = entries[i];
		else
			shape_set_state(s, shape, SHAPE_BLOCKED);
	}
	g_array_set_size(heap, kept);
	heapify(heap);
}

/* Places a shape's next task or gang; false if it does not fit. */
static bool
place_next(struct sched *s, struct shape *shape, struct sched_round *out)
{
	struct job *job = shape_head(shape, s->now_ms);
	struct worker *w;

	if (job->spec.kind == KIND_GANG) {
		if (gang_place(s, job, out))
			return true;
		shape->gang_retry_ms = s->now_ms + GANG_RETRY_MS;
	} else {
		w = place_find(s, shape, job, urgent_within_quota(s, job));
		if (w != NULL) {
			place_commit(s, job, w, out);
			return true;
		}
	}
	reserve_or_preempt(s, shape, job, out);
	return false;
}

static void
place_all(struct sched *s, GArray *heap, size_t limit, struct sched_round *out)
{
	bool filter = false; /* placed since the last shape that did not fit */

	while (heap->len > 0 && out->placements->len < limit) {
		struct entry *top = &g_array_index(heap, struct entry, 0);
		struct shape *shape = top->shape;
		struct shape_key key = shape->key;

		if (!place_next(s, shape, out)) {
			shape_set_state(s, shape, SHAPE_BLOCKED);
			heap_pop(heap);
			if (filter && shape->woken_round == s->round)
				heap_filter(s, heap);
			filter = false;
			continue;
		}
		filter = true;
		/* Placing the last task frees the shape. */
		if (g_hash_table_lookup(s->shapes_by_key, &key) == NULL) {
			heap_pop(heap);
			continue;
		}
		/* A team's share only grows, so the heap stays valid except at
		 * the top. */
		*top = entry_of(s, shape);
		heap_sift_down(heap, 0);
	}
}

/* Moves the dirty workers to the list of changed ones. */
static void
take_changed(struct sched *s)
{
	GPtrArray *changed = s->dirty;

	s->dirty = s->changed;
	s->changed = changed;
	g_ptr_array_set_size(s->dirty, 0);
	for (guint i = 0; i < changed->len; i++) {
		struct worker *w = changed->pdata[i];

		w->dirty = false;
	}
}

void
sched_decide(
    struct sched *s, int64_t now_ms, size_t limit, struct sched_round *out)
{
	GArray *heap;

	g_array_set_size(out->placements, 0);
	g_array_set_size(out->preemptions, 0);
	g_array_set_size(out->resumes, 0);
	s->now_ms = now_ms;
	s->round++;
	s->round_preempt_holds = 0;
	update_feasibility(s);
	reserve_end_backfill(s);
	place_all_reserved(s, limit, out);
	preempt_escalate(s, out);
	take_changed(s);
	wake_changed(s);
	check_blocked(s);
	heap = g_array_new(FALSE, FALSE, sizeof(struct entry));
	heap_build(s, heap);
	place_all(s, heap, limit, out);
	g_array_unref(heap);
	preempt_resume_runs(s, out);
	g_ptr_array_set_size(s->changed, 0);
}

int64_t
sched_next_ms(const struct sched *s)
{
	if (s->shapes[SHAPE_READY]->len > 0 || s->dirty->len > 0)
		return s->now_ms;
	if (s->shapes[SHAPE_BLOCKED]->len > 0 || s->throttled->len > 0)
		return s->now_ms + CHECK_MS;
	return -1;
}
