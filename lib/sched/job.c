/* Jobs with waiting or running tasks. */
#include "table.h"

struct job *
job_get(const struct sched *s, uint64_t id)
{
	return g_hash_table_lookup(s->jobs, &id);
}

bool
job_spreads(const struct job *job)
{
	return job->spec.spread != SPREAD_NONE;
}

static bool
same_domain(
    const struct job *job, const struct worker *a, const struct worker *b)
{
	return job->spec.spread == SPREAD_RACK
	    ? a->spec.rack == b->spec.rack
	    : a->spec.data_center == b->spec.data_center;
}

bool
job_in_one_domain(
    const struct sched *s, const struct job *job, const struct worker *w)
{
	const struct reservation *r = job->reservation;

	if (!job_spreads(job) || (job->workers->len == 0 && r == NULL))
		return false;
	for (guint i = 0; i < job->workers->len; i++) {
		uint32_t id = g_array_index(job->workers, uint32_t, i);

		if (!same_domain(job, sched_worker_get(s, id), w))
			return false;
	}
	for (guint i = 0; r != NULL && i < r->holds->len; i++) {
		const struct hold *h = r->holds->pdata[i];

		if (!same_domain(job, h->worker, w))
			return false;
	}
	return true;
}

struct job *
job_ensure(struct sched *s, const struct sched_job *spec)
{
	struct job *job = job_get(s, spec->id);

	if (job != NULL)
		return job;
	job = g_new0(struct job, 1);
	job->spec = *spec;
	job->ranges = g_array_new(FALSE, FALSE, sizeof(struct range));
	job->workers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	job->history = g_hash_table_lookup(s->history, &spec->id);
	g_hash_table_insert(s->jobs, &job->spec.id, job);
	return job;
}

void
sched_job_free(void *data)
{
	struct job *job = data;

	g_array_unref(job->ranges);
	g_array_unref(job->workers);
	g_free(job);
}

void
job_free_if_idle(struct sched *s, struct job *job)
{
	if (job->waiting > 0 || job->running > 0)
		return;
	g_hash_table_remove(s->jobs, &job->spec.id);
}

void
job_add_worker(struct job *job, uint32_t worker)
{
	if (job_spreads(job))
		g_array_append_val(job->workers, worker);
}

void
job_remove_worker(struct job *job, uint32_t worker)
{
	for (guint i = 0; i < job->workers->len; i++) {
		if (g_array_index(job->workers, uint32_t, i) != worker)
			continue;
		g_array_remove_index_fast(job->workers, i);
		return;
	}
}

/* Whether a task of the range is already waiting. */
static bool
overlaps(const struct job *job, uint32_t first, uint32_t count)
{
	for (guint i = 0; i < job->ranges->len; i++) {
		const struct range *r =
		    &g_array_index(job->ranges, struct range, i);

		if (first < r->first + r->count && r->first < first + count)
			return true;
	}
	return false;
}

void
sched_job_add(struct sched *s, const struct sched_job *spec, uint32_t first,
    uint32_t count)
{
	struct job *job = job_ensure(s, spec);
	struct range range = { first, count };

	if (count == 0) {
		job_free_if_idle(s, job);
		return;
	}
	g_assert(!overlaps(job, first, count));
	/* The reservation does not fit another number or size of tasks. */
	if (job->reservation != NULL &&
	    (spec->kind == KIND_GANG ||
		!resources_equal(&spec->resources, &job->spec.resources)))
		reserve_drop(s, job->reservation);
	if (job->shape != NULL)
		shape_remove_job(s, job);
	/* Running tasks keep the capacity that they were granted. */
	job->spec = *spec;
	g_array_append_val(job->ranges, range);
	job->waiting += count;
	s->waiting += count;
	shape_add_job(s, job);
}

uint32_t
job_take_task(struct sched *s, struct job *job)
{
	struct range *r = &g_array_index(job->ranges, struct range, 0);
	uint32_t task = r->first;

	g_assert(job->waiting > 0);
	r->first++;
	r->count--;
	if (r->count == 0)
		g_array_remove_index(job->ranges, 0);
	job->waiting--;
	s->waiting--;
	job->shape->tasks--;
	return task;
}

void
sched_job_remove(struct sched *s, uint64_t id)
{
	struct job *job = job_get(s, id);

	if (job == NULL || job->waiting == 0)
		return;
	if (job->reservation != NULL)
		reserve_drop(s, job->reservation);
	shape_remove_job(s, job);
	s->waiting -= job->waiting;
	job->waiting = 0;
	g_array_set_size(job->ranges, 0);
	job_free_if_idle(s, job);
}

size_t
sched_waiting_tasks(const struct sched *s)
{
	return s->waiting;
}
