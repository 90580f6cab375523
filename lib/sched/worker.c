/* The table of workers and of the attempts that run on them. */
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
resources_fit_count(
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

/* The resources of all tasks of a hold. */
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

/* Recomputes avail and backfill from what is free and the holds. */
static void
subtract_holds(struct worker *w)
{
	w->avail = w->backfill = w->free;
	w->avail_slots = w->backfill_slots = w->free_slots;
	w->no_backfill_holds = 0;
	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];
		struct resources amount = hold_amount(h);

		resources_add(&w->avail, &amount, -1);
		w->avail_slots -= h->tasks;
		if (h->reservation->no_backfill)
			w->no_backfill_holds++;
		if (!h->reservation->preempt)
			continue;
		resources_add(&w->backfill, &amount, -1);
		w->backfill_slots -= h->tasks;
	}
}

static bool
has_available(const struct worker *w)
{
	return worker_usable(w) && w->avail_slots > 0 &&
	    w->avail.millicpus >= 0 && w->avail.memory >= 0 &&
	    w->avail.accelerators >= 0;
}

void
worker_update_available(struct sched *s, struct worker *w, bool grown)
{
	index_remove(&s->index, w);
	subtract_holds(w);
	if (has_available(w))
		index_insert(&s->index, w);
	if (!grown)
		return;
	for (guint i = 0; i < w->holds->len; i++) {
		struct hold *h = w->holds->pdata[i];

		h->reservation->recheck = true;
	}
	if (w->dirty)
		return;
	w->dirty = true;
	g_ptr_array_add(s->dirty, w);
}

/* Adds a worker to its class, or removes it if sign is -1. */
static void
class_add(struct sched *s, const struct sched_worker *spec, int sign)
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
workers_max_tasks(
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
		    resources_fit_count(
			&c->capacity, &key->resources, (uint32_t)c->slots);
	}
	return n;
}

/* Rescales the steps of the index if a worker is larger than all others. */
static void
rescale_index(struct sched *s, const struct resources *capacity)
{
	struct index *ix = &s->index;

	if (capacity->millicpus <= ix->largest.millicpus &&
	    capacity->memory <= ix->largest.memory)
		return;
	for (guint i = 0; i < s->workers->len; i++) {
		if (s->workers->pdata[i] != NULL)
			index_remove(ix, s->workers->pdata[i]);
	}
	ix->largest.millicpus = MAX(capacity->millicpus, ix->largest.millicpus);
	ix->largest.memory = MAX(capacity->memory, ix->largest.memory);
	for (guint i = 0; i < s->workers->len; i++) {
		if (s->workers->pdata[i] != NULL)
			worker_update_available(s, s->workers->pdata[i], false);
	}
}

/* Grows the per-domain counters that spreading uses. */
static void
grow_domains(struct sched *s, const struct sched_worker *spec)
{
	if (spec->rack >= s->rack_tasks->len)
		g_array_set_size(s->rack_tasks, spec->rack + 1);
	if (spec->data_center >= s->data_center_tasks->len)
		g_array_set_size(s->data_center_tasks, spec->data_center + 1);
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
	w->bucket = NO_BUCKET;
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->holds = g_ptr_array_new();
	if (spec->id >= s->workers->len)
		g_ptr_array_set_size(s->workers, (gint)spec->id + 1);
	s->workers->pdata[spec->id] = w;
	return w;
}

static void
update_overcommitted(struct worker *w)
{
	w->overcommitted = w->free.millicpus < 0 || w->free.memory < 0 ||
	    w->free.accelerators < 0 || w->free_slots < 0;
}

/* Whether two workers have equal capacity, slots and data centre. */
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
	rescale_index(s, &spec->capacity);
	grow_domains(s, spec);
	if (w == NULL)
		w = worker_new(s, spec);
	else if (!same)
		class_add(s, &w->spec, -1);
	if (!same)
		class_add(s, spec, 1);
	if (!same || spec->flags != 0)
		reserve_drop_worker(s, w);
	resources_add(&w->free, &w->spec.capacity, -1);
	resources_add(&w->free, &spec->capacity, 1);
	w->free_slots += spec->slots - w->spec.slots;
	w->spec = *spec;
	update_overcommitted(w);
	worker_update_available(s, w, true);
}

void
sched_worker_remove(struct sched *s, uint32_t id)
{
	struct worker *w = sched_worker_get(s, id);

	if (w == NULL)
		return;
	reserve_drop_worker(s, w);
	while (w->runs->len > 0) {
		const struct run *run = w->runs->pdata[0];

		sched_run_end(s, run->job->spec.id, run->task, id);
	}
	class_add(s, &w->spec, -1);
	index_remove(&s->index, w);
	if (w->dirty)
		g_ptr_array_remove_fast(s->dirty, w);
	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->holds);
	g_free(w);
	s->workers->pdata[id] = NULL;
}

struct run *
worker_find_run(const struct worker *w, uint64_t job, uint32_t task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct run *run = w->runs->pdata[i];

		if (run->task == task && run->job->spec.id == job)
			return run;
	}
	return NULL;
}

static gint
by_effective_start(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct run *x = a;
	const struct run *y = b;

	return (x->effective_start_ms > y->effective_start_ms) -
	    (x->effective_start_ms < y->effective_start_ms);
}

/* Lists a run in sched.preemptible if its job allows preemption. */
static void
add_preemptible(struct sched *s, struct run *run)
{
	if (run->job->spec.kind != KIND_BATCH || run->job->spec.urgent ||
	    !run->job->spec.idempotent)
		return;
	run->iter = g_sequence_insert_sorted(
	    s->preemptible, run, by_effective_start, NULL);
}

/* Adds a run's resources to what is in use, or subtracts them if sign is -1. */
static void
account(struct worker *w, const struct run *run, int sign)
{
	struct team *team = run->team;

	resources_add(&w->free, &run->resources, -sign);
	w->free_slots -= sign;
	resources_add(&team->used, &run->resources, sign);
	if (run->iter != NULL)
		resources_add(&team->preemptible, &run->resources, sign);
	if (!run->service)
		return;
	resources_add(&w->service_used, &run->resources, sign);
	w->service_slots += sign;
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
	run->service = job->spec.kind == KIND_SERVICE;
	run->started_ms = started_ms;
	run->effective_start_ms = started_ms;
	if (job->history != NULL)
		run->effective_start_ms -= job->history->lost_ms;
	g_ptr_array_add(w->runs, run);
	job->running++;
	job_add_worker(job, w->spec.id);
	add_preemptible(s, run);
	account(w, run, 1);
	worker_update_available(s, w, false);
	return run;
}

void
sched_run_end(struct sched *s, uint64_t job_id, uint32_t task, uint32_t id)
{
	struct worker *w = sched_worker_get(s, id);
	struct run *run = w != NULL ? worker_find_run(w, job_id, task) : NULL;
	struct job *job;

	if (run == NULL)
		return;
	job = run->job;
	if (run->stopping)
		history_ensure(s, job_id)->lost_ms +=
		    MAX(s->now_ms - run->started_ms, 0);
	if (run->throttled)
		g_ptr_array_remove_fast(s->throttled, run);
	account(w, run, -1);
	if (run->iter != NULL)
		g_sequence_remove(run->iter);
	update_overcommitted(w);
	g_ptr_array_remove_fast(w->runs, run);
	job->running--;
	job_remove_worker(job, id);
	worker_update_available(s, w, true);
	job_free_if_idle(s, job);
}

void
sched_run_restore(struct sched *s, const struct sched_job *spec, uint32_t task,
    uint32_t id, int64_t started_ms)
{
	struct worker *w = sched_worker_get(s, id);
	struct job *job;

	if (w == NULL || worker_find_run(w, spec->id, task) != NULL)
		return;
	job = job_ensure(s, spec);
	run_start(s, job, task, w, started_ms);
	update_overcommitted(w);
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
