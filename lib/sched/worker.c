/* The table of workers and the attempts that hold room on them. */
#include "table.h"

struct worker *
sched_worker_get(const struct sched *s, uint32_t id)
{
	return id < s->workers->len ? s->workers->pdata[id] : NULL;
}

bool
worker_usable(const struct worker *w)
{
	return w->spec.flags == 0;
}

bool
worker_allowed(const struct worker *w, uint64_t data_centers)
{
	if (data_centers == 0)
		return true;
	return w->spec.data_center < 64 &&
	    (data_centers >> w->spec.data_center & 1) != 0;
}

uint32_t
resources_count(
    const struct resources *have, const struct resources *need, uint32_t max)
{
	int64_t n = max;

	if (need->millicpus > 0)
		n = MIN(n, have->millicpus / need->millicpus);
	if (need->memory > 0)
		n = MIN(n, have->memory / need->memory);
	if (need->accelerators > 0)
		n = MIN(n, have->accelerators / need->accelerators);
	return n > 0 ? (uint32_t)n : 0;
}

/* The amounts of a hold, all its tasks together. */
static struct resources
hold_amount(const struct hold *h)
{
	const struct resources *r = &h->reservation->job->spec.resources;

	return (struct resources){
		.millicpus = r->millicpus * h->tasks,
		.memory = r->memory * h->tasks,
		.accelerators = r->accelerators * h->tasks,
	};
}

/* Counts the holds off what is free. */
static void
count_holds(struct worker *w)
{
	w->avail = w->spare = w->free;
	w->avail_slots = w->spare_slots = w->free_slots;
	w->strict_holds = 0;
	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];
		struct resources amount = hold_amount(h);

		resources_add(&w->avail, &amount, -1);
		w->avail_slots -= h->tasks;
		if (h->reservation->strict)
			w->strict_holds++;
		if (!h->reservation->preempt)
			continue;
		resources_add(&w->spare, &amount, -1);
		w->spare_slots -= h->tasks;
	}
}

static bool
has_room(const struct worker *w)
{
	return worker_usable(w) && w->avail_slots > 0 &&
	    w->avail.millicpus >= 0 && w->avail.memory >= 0 &&
	    w->avail.accelerators >= 0;
}

void
worker_refresh(struct sched *s, struct worker *w, bool grown)
{
	index_drop(&s->index, w);
	count_holds(w);
	if (has_room(w))
		index_put(&s->index, w);
	if (!grown)
		return;
	for (guint i = 0; i < w->holds->len; i++) {
		struct hold *h = w->holds->pdata[i];

		h->reservation->check = true;
	}
	if (w->dirty)
		return;
	w->dirty = true;
	g_ptr_array_add(s->dirty, w);
}

/* Adds a worker to the class of its like, or takes it away with sign -1. */
static void
classify(struct sched *s, const struct sched_worker *spec, int sign)
{
	struct worker_class new = {
		.capacity = spec->capacity,
		.slots = spec->slots,
		.data_center = spec->data_center,
		.count = 1,
	};

	resources_add(&s->total, &spec->capacity, sign);
	s->classes_changed = true;
	for (guint i = 0; i < s->classes->len; i++) {
		struct worker_class *c =
		    &g_array_index(s->classes, struct worker_class, i);

		if (c->data_center != spec->data_center ||
		    c->slots != spec->slots ||
		    !resources_equal(&c->capacity, &spec->capacity))
			continue;
		c->count += sign;
		if (c->count == 0)
			g_array_remove_index_fast(s->classes, i);
		return;
	}
	g_assert(sign > 0);
	g_array_append_val(s->classes, new);
}

uint64_t
workers_ever_hold(
    const struct sched *s, const struct shape_key *key, uint64_t max)
{
	uint64_t n = 0;

	for (guint i = 0; i < s->classes->len && n < max; i++) {
		const struct worker_class *c =
		    &g_array_index(s->classes, struct worker_class, i);
		struct worker w = { .spec.data_center = c->data_center };

		if (!worker_allowed(&w, key->data_centers))
			continue;
		n += (uint64_t)c->count *
		    resources_count(
			&c->capacity, &key->resources, (uint32_t)c->slots);
	}
	return n;
}

/* Widens the steps of the index to the largest worker. */
static void
fit_steps(struct sched *s, const struct resources *capacity)
{
	struct index *ix = &s->index;

	if (capacity->millicpus <= ix->most.millicpus &&
	    capacity->memory <= ix->most.memory)
		return;
	for (guint i = 0; i < s->workers->len; i++) {
		if (s->workers->pdata[i] != NULL)
			index_drop(ix, s->workers->pdata[i]);
	}
	ix->most.millicpus = MAX(capacity->millicpus, ix->most.millicpus);
	ix->most.memory = MAX(capacity->memory, ix->most.memory);
	for (guint i = 0; i < s->workers->len; i++) {
		if (s->workers->pdata[i] != NULL)
			worker_refresh(s, s->workers->pdata[i], false);
	}
}

/* Grows the counters that spreading uses. */
static void
fit_domains(struct sched *s, const struct sched_worker *spec)
{
	if (spec->rack >= s->rack_tasks->len)
		g_array_set_size(s->rack_tasks, spec->rack + 1);
	if (spec->data_center >= s->center_tasks->len)
		g_array_set_size(s->center_tasks, spec->data_center + 1);
}

static void
run_free(void *data)
{
	g_free(data);
}

static struct worker *
worker_new(struct sched *s, const struct sched_worker *spec)
{
	struct worker *w = g_new0(struct worker, 1);

	w->spec.id = spec->id;
	w->cell = NO_CELL;
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->holds = g_ptr_array_new();
	if (spec->id >= s->workers->len)
		g_ptr_array_set_size(s->workers, (gint)spec->id + 1);
	s->workers->pdata[spec->id] = w;
	return w;
}

static void
mark_over(struct worker *w)
{
	w->over = w->free.millicpus < 0 || w->free.memory < 0 ||
	    w->free.accelerators < 0 || w->free_slots < 0;
}

/* Whether two announcements say the same of capacity and place. */
static bool
same_class(const struct sched_worker *a, const struct sched_worker *b)
{
	return a->slots == b->slots && a->data_center == b->data_center &&
	    resources_equal(&a->capacity, &b->capacity);
}

void
sched_worker_set(struct sched *s, const struct sched_worker *spec)
{
	struct worker *w = sched_worker_get(s, spec->id);
	bool same = w != NULL && same_class(&w->spec, spec);

	if (same && w->spec.rack == spec->rack && w->spec.flags == spec->flags)
		return;
	fit_steps(s, &spec->capacity);
	fit_domains(s, spec);
	if (w == NULL)
		w = worker_new(s, spec);
	else if (!same)
		classify(s, &w->spec, -1);
	if (!same)
		classify(s, spec, 1);
	if (!same || spec->flags != 0)
		reserve_forget_worker(s, w);
	resources_add(&w->free, &w->spec.capacity, -1);
	resources_add(&w->free, &spec->capacity, 1);
	w->free_slots += spec->slots - w->spec.slots;
	w->spec = *spec;
	mark_over(w);
	worker_refresh(s, w, true);
}

void
sched_worker_remove(struct sched *s, uint32_t id)
{
	struct worker *w = sched_worker_get(s, id);

	if (w == NULL)
		return;
	reserve_forget_worker(s, w);
	while (w->runs->len > 0) {
		const struct run *run = w->runs->pdata[0];

		sched_end(s, run->job->spec.id, run->task, id);
	}
	classify(s, &w->spec, -1);
	index_drop(&s->index, w);
	if (w->dirty)
		g_ptr_array_remove_fast(s->dirty, w);
	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->holds);
	g_free(w);
	s->workers->pdata[id] = NULL;
}

struct run *
worker_run(const struct worker *w, uint64_t job, uint32_t task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->task == task && run->job->spec.id == job)
			return run;
	}
	return NULL;
}

static gint
by_worth(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct run *x = a;
	const struct run *y = b;

	return (x->worth_ms > y->worth_ms) - (x->worth_ms < y->worth_ms);
}

/* Lists a run among those that room can be taken from. */
static void
list_preemptible(struct sched *s, struct run *run)
{
	if (run->job->spec.kind != KIND_BATCH || run->job->spec.urgent ||
	    !run->job->spec.idempotent)
		return;
	run->iter =
	    g_sequence_insert_sorted(s->preemptible, run, by_worth, NULL);
}

/* Books an attempt's room, or gives it back with sign -1. */
static void
book(struct worker *w, const struct run *run, int sign)
{
	struct team *team = run->team;

	resources_add(&w->free, &run->resources, -sign);
	w->free_slots -= sign;
	resources_add(&team->used, &run->resources, sign);
	if (run->iter != NULL)
		resources_add(&team->soft, &run->resources, sign);
	if (!run->fixed)
		return;
	resources_add(&w->fixed, &run->resources, sign);
	w->fixed_slots += sign;
}

struct run *
run_start(struct sched *s, struct job *job, uint32_t task, struct worker *w,
    int64_t started_ms)
{
	struct run *run = g_new0(struct run, 1);

	run->job = job;
	run->task = task;
	run->worker = w->spec.id;
	run->resources = job->spec.resources;
	run->team = team_get(s, job->spec.team);
	run->fixed = job->spec.kind == KIND_SERVICE;
	run->started_ms = started_ms;
	run->worth_ms = started_ms;
	if (job->history != NULL)
		run->worth_ms -= job->history->lost_ms;
	g_ptr_array_add(w->runs, run);
	job->running++;
	job_started(job, w->spec.id);
	list_preemptible(s, run);
	book(w, run, 1);
	worker_refresh(s, w, false);
	return run;
}

void
sched_end(struct sched *s, uint64_t job_id, uint32_t task, uint32_t id)
{
	struct worker *w = sched_worker_get(s, id);
	struct run *run = w != NULL ? worker_run(w, job_id, task) : NULL;
	struct job *job;

	if (run == NULL)
		return;
	job = run->job;
	if (run->stopping)
		history_ensure(s, job_id)->lost_ms +=
		    MAX(s->now_ms - run->started_ms, 0);
	if (run->throttled)
		g_ptr_array_remove_fast(s->throttled, run);
	book(w, run, -1);
	if (run->iter != NULL)
		g_sequence_remove(run->iter);
	mark_over(w);
	g_ptr_array_remove_fast(w->runs, run);
	job->running--;
	job_ended(job, id);
	worker_refresh(s, w, true);
	job_release(s, job);
}

void
sched_running(struct sched *s, const struct sched_job *spec, uint32_t task,
    uint32_t id, int64_t started_ms)
{
	struct worker *w = sched_worker_get(s, id);
	struct job *job;

	if (w == NULL || worker_run(w, spec->id, task) != NULL)
		return;
	job = job_ensure(s, spec);
	run_start(s, job, task, w, started_ms);
	mark_over(w);
}

bool
sched_worker_used(const struct sched *s, uint32_t id, struct resources *used)
{
	const struct worker *w = sched_worker_get(s, id);

	if (w == NULL)
		return false;
	*used = w->spec.capacity;
	resources_add(used, &w->free, -1);
	return true;
}
