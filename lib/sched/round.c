/* One round of decisions. */
#include <math.h>

#include "table.h"

#define GANG_RETRY_MS 100 /* between searches for a gang's room */
#define PREEMPT_RETRY_MS 50 /* between searches for victims */
#define SWEEP_MS 50 /* between looks for shapes that starve */
#define RECLAIM_RETRY_MS 500 /* the same, for borrowed room */
#define SWEEP_WAKE 16 /* shapes, for a search for victims */
#define NEEDS_LOOK 64 /* jobs of a shape that room is made for */

/* The place of a shape in the order of a round; least first. */
enum class {
	CLASS_URGENT, /* these three within the team's quota */
	CLASS_PRESSED,
	CLASS_WITHIN,
	CLASS_URGENT_OVER, /* and these with borrowed room */
	CLASS_PRESSED_OVER,
	CLASS_OVER
};

struct turn {
	struct shape *shape;
	enum class class;
	double share; /* of what the team is entitled to */
	double size; /* of a task; larger ones first */
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
	s->by_key =
	    g_hash_table_new_full(shape_hash, shape_equal, NULL, shape_free);
	for (unsigned i = 0; i < SHAPE_STATES; i++)
		s->shapes[i] = g_ptr_array_new();
	s->reservations = g_ptr_array_new();
	s->preemptible = g_sequence_new(NULL);
	s->rack_tasks = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	s->center_tasks = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	return s;
}

void
sched_free(struct sched *s)
{
	while (s->reservations->len > 0)
		reserve_drop(s, s->reservations->pdata[0]);
	for (guint i = 0; i < s->workers->len; i++)
		sched_worker_remove(s, i);
	g_hash_table_unref(s->by_key);
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
	g_array_unref(s->center_tasks);
	index_clear(&s->index);
	g_free(s);
}

/* Has all shapes tried again. */
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
first_class(const struct sched *s, const struct job *job)
{
	return s->policy->fair && job->spec.urgent &&
	    team_within_fixed(s, job->shape->team, &job->spec.resources);
}

static int64_t
waited(const struct sched *s, const struct job *job)
{
	return s->now_ms - job->spec.submitted_ms;
}

static struct turn
turn_of(const struct sched *s, struct shape *shape)
{
	const struct job *job = shape_head(shape, s->now_ms);
	struct turn turn = {
		.shape = shape,
		.submitted_ms = job->spec.submitted_ms,
		.job = job->spec.id,
	};
	bool within;

	if (!s->policy->fair)
		return turn;
	turn.share = team_ratio(s, shape->team);
	if (s->policy->share_step > 0)
		turn.share = floor(turn.share / s->policy->share_step);
	if (s->policy->large_first)
		turn.size = dominant_part(&shape->key.resources, &s->total);
	if (first_class(s, job))
		return turn;
	within = waited(s, job) >= s->policy->fair_ms &&
	    team_within(s, shape->team, &job->spec.resources);
	if (job->spec.urgent)
		turn.class = CLASS_URGENT_OVER;
	else if (job_pressed(job, s->now_ms))
		turn.class = within ? CLASS_PRESSED : CLASS_PRESSED_OVER;
	else
		turn.class = within ? CLASS_WITHIN : CLASS_OVER;
	return turn;
}

static bool
turn_before(const struct turn *a, const struct turn *b)
{
	if (a->class != b->class)
		return a->class < b->class;
	if (a->share != b->share)
		return a->share < b->share;
	if (a->size != b->size)
		return a->size > b->size;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms;
	return a->job < b->job;
}

/* A binary heap of turns, the next one at index 0. */
static void
heap_down(GArray *heap, guint at)
{
	struct turn *turns = (struct turn *)(void *)heap->data;

	for (;;) {
		guint least = at;

		for (guint kid = 2 * at + 1; kid <= 2 * at + 2; kid++) {
			if (kid < heap->len &&
			    turn_before(&turns[kid], &turns[least]))
				least = kid;
		}
		if (least == at)
			return;
		struct turn moved = turns[at];

		turns[at] = turns[least];
		turns[least] = moved;
		at = least;
	}
}

static void
heap_order(GArray *heap)
{
	for (guint i = heap->len / 2; i > 0; i--)
		heap_down(heap, i - 1);
}

static void
heap_build(struct sched *s, GArray *heap)
{
	const GPtrArray *ready = s->shapes[SHAPE_READY];

	for (guint i = 0; i < ready->len; i++) {
		struct turn turn = turn_of(s, ready->pdata[i]);

		g_array_append_val(heap, turn);
	}
	heap_order(heap);
}

static void
heap_pop(GArray *heap)
{
	g_array_index(heap, struct turn, 0) =
	    g_array_index(heap, struct turn, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	heap_down(heap, 0);
}

/* Whether a worker may have room for a shape's next task. */
static bool
may_fit(
    const struct sched *s, const struct worker *w, const struct shape *shape)
{
	const struct resources *need = &shape->key.resources;
	const struct job *job;

	if (w->avail_slots > 0 && resources_fit(need, &w->avail))
		return true;
	if (w->holds->len == 0 || w->spare_slots <= 0 ||
	    !resources_fit(need, &w->spare))
		return false;
	job = shape_head(shape, s->now_ms);
	return backfill_allowed(s, w, job, job->spec.urgent);
}

/* Whether some changed worker may have room for a shape's next task. */
static bool
fits_changed(const struct sched *s, const struct shape *shape)
{
	for (guint i = 0; i < s->changed->len; i++) {
		if (may_fit(s, s->changed->pdata[i], shape))
			return true;
	}
	return false;
}

/* Tries blocked shapes again that changed workers may have room for. */
static void
wake_changed(struct sched *s)
{
	GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];

	if (s->changed->len > DIRTY_MAX) {
		wake_all(s);
		return;
	}
	if (s->changed->len == 0 && !s->stale)
		return;
	s->stale = false;
	for (guint i = blocked->len; i > 0; i--) {
		struct shape *shape = blocked->pdata[i - 1];

		if (!fits_changed(s, shape) && !shape->stale)
			continue;
		if (shape->key.kind == KIND_GANG &&
		    s->now_ms < shape->retry_ms) {
			shape->stale = s->stale = true;
			continue;
		}
		shape->stale = false;
		shape_set_state(s, shape, SHAPE_READY);
		shape->woken = s->round;
	}
}

/* Sets a shape aside, with nothing kept for its jobs. */
static void
set_aside(struct sched *s, struct shape *shape)
{
	shape_set_state(s, shape, SHAPE_ASIDE);
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r = s->reservations->pdata[i - 1];

		if (r->job->shape == shape)
			reserve_drop(s, r);
	}
}

/* Sorts shapes out anew after the set of workers changed. */
static void
resort(struct sched *s)
{
	if (!s->classes_changed)
		return;
	s->classes_changed = false;
	for (unsigned state = 0; state < SHAPE_STATES; state++) {
		GPtrArray *list = s->shapes[state];

		for (guint i = list->len; i > 0; i--) {
			struct shape *shape = list->pdata[i - 1];
			bool fits = shape_ever_fits(s, shape);

			if (!fits && state != SHAPE_ASIDE)
				set_aside(s, shape);
			else if (fits && state == SHAPE_ASIDE)
				shape_wake(s, shape);
		}
	}
}

/* Whether a shape has neither room nor progress for long. */
static bool
starves(const struct sched *s, const struct shape *shape, const struct job *job)
{
	int64_t since = MAX(job->spec.submitted_ms, shape->placed_ms);
	bool gang = job->spec.kind == KIND_GANG;

	return s->policy->reserve && job->reservation == NULL &&
	    s->now_ms >= shape->reserve_ms &&
	    s->now_ms - since >=
	    (gang ? s->policy->gang_ms : s->policy->starved_ms);
}

/* Whether room may be taken from others for a blocked shape now. */
static bool
may_preempt(
    const struct sched *s, const struct shape *shape, const struct job *job)
{
	if (!s->policy->preempt || s->now_ms < shape->preempt_ms)
		return false;
	if (first_class(s, job))
		return true;
	return (job->reservation == NULL || !job->reservation->preempt) &&
	    waited(s, job) >= s->policy->reclaim_ms &&
	    team_within(s, shape->team, &job->spec.resources);
}

/* Of two starving shapes: the one within quota, then the older one. */
static bool
starves_first(const struct turn *a, const struct turn *b)
{
	if (b->shape == NULL)
		return true;
	if ((a->class > CLASS_WITHIN) != (b->class > CLASS_WITHIN))
		return a->class <= CLASS_WITHIN;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms;
	return a->job < b->job;
}

/*
 * Wakes blocked shapes that only time has changed something for. Of those
 * that starve only the first may reserve, so that later ones can't take what
 * it waits for.
 */
static void
sweep(struct sched *s)
{
	const GPtrArray *blocked = s->shapes[SHAPE_BLOCKED];
	struct turn first = { 0 };
	unsigned woken = 0;

	if (s->now_ms < s->sweep_ms)
		return;
	s->sweep_ms = s->now_ms + SWEEP_MS;
	for (guint i = blocked->len; i > 0; i--) {
		struct shape *shape = blocked->pdata[i - 1];
		struct job *job = shape_head(shape, s->now_ms);

		if (starves(s, shape, job)) {
			struct turn turn = turn_of(s, shape);

			if (starves_first(&turn, &first))
				first = turn;
		}
		if (woken < SWEEP_WAKE && may_preempt(s, shape, job)) {
			shape_wake(s, shape);
			woken++;
		}
	}
	s->starving = first.job;
	if (first.shape != NULL)
		shape_wake(s, first.shape);
}

/* Starts what the room of its own reservation has become free for. */
static void
use_reserved(struct sched *s, struct reservation *r, struct sched_round *out)
{
	struct job *job = r->job;
	struct shape_key key = job->shape->key;
	uint64_t id = job->spec.id;
	struct shape *shape;

	r->check = false;
	if (job->spec.kind == KIND_GANG) {
		if (!gang_place(s, job, out))
			return;
	} else {
		struct worker *w = place_held(job);

		if (w == NULL)
			return;
		while (w != NULL) {
			place_commit(s, job, w, out);
			job = job_get(s, id);
			w = job != NULL && job->reservation != NULL
			    ? place_held(job)
			    : NULL;
		}
	}
	shape = g_hash_table_lookup(s->by_key, &key);
	if (shape != NULL && shape->state == SHAPE_BLOCKED)
		shape_wake(s, shape);
}

static void
use_all_reserved(struct sched *s, size_t limit, struct sched_round *out)
{
	for (guint i = s->reservations->len; i > 0; i--) {
		struct reservation *r;

		if (out->placements->len >= limit)
			return;
		/* A job's last task takes its reservation with it. */
		if (i > s->reservations->len)
			continue;
		r = s->reservations->pdata[i - 1];
		if (r->check)
			use_reserved(s, r, out);
	}
}

/* Makes room for the waiting tasks of a queue's first jobs. */
static void
preempt_queue(struct sched *s, GSequence *queue, struct sched_round *out)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue);

	for (unsigned i = 0; i < NEEDS_LOOK; i++) {
		struct job *job;

		if (g_sequence_iter_is_end(iter))
			return;
		job = g_sequence_get(iter);
		if (!first_class(s, job))
			return;
		while (preempt_for(s, job, false, out))
			;
		iter = g_sequence_iter_next(iter);
	}
}

/* What can be done for a shape whose head has no room. */
static void
make_room(struct sched *s, struct shape *shape, struct job *job,
    struct sched_round *out)
{
	if (s->policy->reserve && job->spec.kind == KIND_GANG &&
	    waited(s, job) >= s->policy->gang_ms)
		reserve_make(s, job);
	if (may_preempt(s, shape, job)) {
		bool urgent = first_class(s, job);

		shape->preempt_ms =
		    s->now_ms + (urgent ? PREEMPT_RETRY_MS : RECLAIM_RETRY_MS);
		if (!urgent) {
			preempt_for(s, job, true, out);
		} else {
			preempt_queue(s, shape->dated, out);
			preempt_queue(s, shape->plain, out);
			if (preempt_spread(s))
				shape->preempt_ms = s->now_ms;
		}
	}
	if (starves(s, shape, job))
		reserve_make(s, job);
}

/* Forgets changed workers that are full by now. */
static void
drop_full(struct sched *s)
{
	guint kept = 0;

	for (guint i = 0; i < s->changed->len; i++) {
		struct worker *w = s->changed->pdata[i];

		if (MAX(w->avail_slots, w->spare_slots) > 0)
			s->changed->pdata[kept++] = w;
	}
	g_ptr_array_set_size(s->changed, (gint)kept);
}

/*
 * Takes off the heap what was woken for room that others have got by now.
 * Most of what wakes for a freed place loses it to the first in order.
 */
static void
heap_filter(struct sched *s, GArray *heap)
{
	struct turn *turns = (struct turn *)(void *)heap->data;
	guint kept = 0;

	drop_full(s);
	for (guint i = 0; i < heap->len; i++) {
		struct shape *shape = turns[i].shape;

		if (shape->woken != s->round || shape->key.kind == KIND_GANG ||
		    fits_changed(s, shape))
			turns[kept++] = turns[i];
		else
			shape_set_state(s, shape, SHAPE_BLOCKED);
	}
	g_array_set_size(heap, kept);
	heap_order(heap);
}

/* Places a shape's next task or gang; false if it has no room. */
static bool
place_next(struct sched *s, struct shape *shape, struct sched_round *out)
{
	struct job *job = shape_head(shape, s->now_ms);
	struct worker *w;

	if (job->spec.kind == KIND_GANG) {
		if (gang_place(s, job, out))
			return true;
		shape->retry_ms = s->now_ms + GANG_RETRY_MS;
	} else {
		w = place_find(s, shape, job, first_class(s, job));
		if (w != NULL) {
			place_commit(s, job, w, out);
			return true;
		}
	}
	make_room(s, shape, job, out);
	return false;
}

static void
run_turns(struct sched *s, GArray *heap, size_t limit, struct sched_round *out)
{
	bool filter = false; /* room has gone since the last time */

	while (heap->len > 0 && out->placements->len < limit) {
		struct turn *top = &g_array_index(heap, struct turn, 0);
		struct shape *shape = top->shape;
		struct shape_key key = shape->key;

		if (!place_next(s, shape, out)) {
			shape_set_state(s, shape, SHAPE_BLOCKED);
			heap_pop(heap);
			if (filter && shape->woken == s->round)
				heap_filter(s, heap);
			filter = false;
			continue;
		}
		filter = true;
		/* The last task takes its shape with it. */
		if (g_hash_table_lookup(s->by_key, &key) == NULL) {
			heap_pop(heap);
			continue;
		}
		/* A team's share only grows, so the rest stays in order. */
		*top = turn_of(s, shape);
		heap_down(heap, 0);
	}
}

/* Takes over the list of changed workers; a new one starts. */
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
	s->round_needs = 0;
	resort(s);
	reserve_age(s);
	use_all_reserved(s, limit, out);
	preempt_escalate(s, out);
	take_changed(s);
	wake_changed(s);
	sweep(s);
	heap = g_array_new(FALSE, FALSE, sizeof(struct turn));
	heap_build(s, heap);
	run_turns(s, heap, limit, out);
	g_array_unref(heap);
	preempt_resume(s, out);
	g_ptr_array_set_size(s->changed, 0);
}

int64_t
sched_next_ms(const struct sched *s)
{
	if (s->shapes[SHAPE_READY]->len > 0 || s->dirty->len > 0)
		return s->now_ms;
	if (s->shapes[SHAPE_BLOCKED]->len > 0 || s->throttled->len > 0)
		return s->now_ms + SWEEP_MS;
	return -1;
}
