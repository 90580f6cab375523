/* The workers that a step may be placed on. */
#include "impl.h"

uint32_t
rack_number(struct dispatch *d, const char *rack)
{
	gpointer known;

	if (rack == NULL || *rack == '\0')
		return 0;
	known = g_hash_table_lookup(d->racks, rack);
	if (known == NULL) {
		known = GUINT_TO_POINTER(g_hash_table_size(d->racks) + 1);
		g_hash_table_insert(d->racks, g_strdup(rack), known);
	}
	return GPOINTER_TO_UINT(known);
}

static int
by_free_descending(gconstpointer a, gconstpointer b)
{
	const struct plan_worker *x = *(struct plan_worker *const *)a;
	const struct plan_worker *y = *(struct plan_worker *const *)b;

	return x->free.millicpus > y->free.millicpus
	    ? -1
	    : x->free.millicpus < y->free.millicpus;
}

void
candidates_sort(GPtrArray *workers)
{
	g_ptr_array_sort(workers, by_free_descending);
}

void
candidates_collect(struct round *rd)
{
	struct dispatch *d = rd->d;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		struct round_worker *w;
		uint32_t task_limit;

		if (!holder_available(h, rd->now))
			continue;
		task_limit = holder_task_limit(h, rd->now);
		if (task_limit == 0)
			continue;
		w = g_new0(struct round_worker, 1);
		w->holder = h;
		w->worker = flow_worker(d->conf.flow, h->id);
		w->plan.worker = h->id;
		w->plan.capacity = w->plan.free = w->worker->capacity;
		resources_add(&w->plan.free, &h->used, -1);
		w->plan.rack = rack_number(d, w->worker->rack);
		w->plan.slowdown = d->speeds_in_effect
		    ? MAX(h->multiplier / d->fast_multiplier, 1)
		    : estimate_slowdown(h, rd->now);
		w->plan.task_limit = task_limit;
		h->in_round = w;
		g_ptr_array_add(rd->workers, w);
	}
	candidates_sort(rd->workers);
}

bool
has_label(const struct flow_worker *w, const char *label)
{
	if (label == NULL)
		return true;
	for (guint i = 0; i < w->labels->len; i++)
		if (strcmp(w->labels->pdata[i], label) == 0)
			return true;
	return false;
}

/* How many tasks of an occurrence's step are assigned to a worker. */
static uint32_t
count_step_tasks(const struct holder *h, const struct pending_step *p)
{
	uint32_t count = 0;

	for (guint i = 0; i < h->runs->len; i++) {
		const struct active_run *r = h->runs->pdata[i];

		count += r->id.job == p->job->id &&
		    r->id.occurrence == p->occurrence->number &&
		    r->id.step == p->step;
	}
	return count;
}

/* Says whether one more failure of a waiting task fails its job. */
static bool
last_attempt(const struct pending_step *p)
{
	const struct flow_step_state *st = &p->occurrence->steps[p->step];

	for (uint32_t i = 0; i < st->count; i++)
		if (st->tasks[i].state == FLOW_PENDING &&
		    st->tasks[i].failures + 1 >= p->job->queue->max_failures)
			return true;
	return false;
}

static bool
is_probing(const struct plan_worker *w)
{
	return w->task_limit <= 1;
}

/*
 * Drops probing workers, for work that should not fail there: gangs, which one
 * failed member ends, and last attempts; and for work that has failed
 * elsewhere, whose failure would say nothing about the worker. Keeps them if
 * they are the majority.
 */
static void
drop_probing(GPtrArray *workers)
{
	guint probing = 0;

	for (guint i = 0; i < workers->len; i++)
		probing += is_probing(workers->pdata[i]);
	if (probing * 2 > workers->len)
		return;
	for (guint i = workers->len; i > 0; i--)
		if (is_probing(workers->pdata[i - 1]))
			g_ptr_array_remove_index_fast(workers, i - 1);
}

enum candidate_obstacle
candidate_obstacle(const struct round *rd, const struct pending_step *p,
    struct apartness apart, struct holder *h, const struct flow_worker *w)
{
	if (strcmp(w->pool, p->job->queue->pool) != 0)
		return CANDIDATE_OTHER_POOL;
	if (!has_label(w, flow_job_step(p->job, p->step)->label))
		return CANDIDATE_NO_LABEL;
	if (preempt_reserved_for_other(h, p, rd->now))
		return CANDIDATE_RESERVED;
	if (apart.avoid_failed && retry_has_failed_on(rd, p, h))
		return CANDIDATE_APART;
	return apart_allows(h, p->job->id, apart, rd->now) ? CANDIDATE_ALLOWED
							   : CANDIDATE_APART;
}

/* Adds a worker if the step's constraints, its queue and the separation from
 * other runs allow it. */
static void
add_if_allowed(struct round *rd, const struct pending_step *p,
    struct apartness apart, struct round_worker *w, GPtrArray *out)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);

	if (candidate_obstacle(rd, p, apart, w->holder, w->worker) !=
	    CANDIDATE_ALLOWED)
		return;
	w->plan.step_tasks =
	    step->max_per_worker == 0 ? 0 : count_step_tasks(w->holder, p);
	g_ptr_array_add(out, w);
}

static void
drop_unsuitable(
    const struct round *rd, const struct pending_step *p, GPtrArray *workers)
{
	if (flow_job_step(p->job, p->step)->gang || last_attempt(p) ||
	    retry_has_failed(rd, p))
		drop_probing(workers);
}

GPtrArray *
candidates_allowed(
    struct round *rd, const struct pending_step *p, struct apartness apart)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < rd->workers->len; i++)
		add_if_allowed(rd, p, apart, rd->workers->pdata[i], out);
	drop_unsuitable(rd, p, out);
	return out;
}

/* Goes through the permits, as there are far fewer of them than workers. */
GPtrArray *
candidates_permitted(struct round *rd, const struct pending_step *p,
    const struct step_permits *permits, struct apartness apart)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, permits->permits);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct permit *permit = value;
		const struct holder *h;

		if (permit->until_ms <= rd->now)
			continue;
		h = holder_find(rd->d, GPOINTER_TO_UINT(id));
		if (h != NULL && h->in_round != NULL)
			add_if_allowed(rd, p, apart, h->in_round, out);
	}
	drop_unsuitable(rd, p, out);
	return out;
}
