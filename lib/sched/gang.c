/* Gang placement: all waiting tasks at once, or none. */
#include "table.h"

/* The number of tasks that one worker can take now. */
struct part {
	struct worker *worker;
	uint32_t tasks;
};

static struct hold *
find_hold(const struct job *job, const struct worker *w)
{
	for (guint i = 0; i < w->holds->len; i++) {
		struct hold *h = w->holds->pdata[i];

		if (h->reservation->job == job)
			return h;
	}
	return NULL;
}

static uint32_t
tasks_that_fit(const struct job *job, const struct worker *w)
{
	struct resources avail = w->avail;
	int64_t slots = w->avail_slots;
	const struct hold *h;

	if (!worker_usable(w) || !worker_allowed(w, job->spec.data_centers))
		return 0;
	h = w->holds->len > 0 ? find_hold(job, w) : NULL;
	if (h != NULL)
		worker_available_to_hold(w, h, &avail, &slots);
	if (slots <= 0)
		return 0;
	return resources_fit_count(&avail, &job->spec.resources,
	    (uint32_t)MIN(slots, (int64_t)job->waiting));
}

/* Workers that take most tasks first, so that a gang uses few workers and the
 * others keep large free blocks. */
static gint
by_tasks(gconstpointer a, gconstpointer b)
{
	const struct part *x = a;
	const struct part *y = b;

	if (x->tasks != y->tasks)
		return x->tasks > y->tasks ? -1 : 1;
	return x->worker->spec.id < y->worker->spec.id ? -1 : 1;
}

/* The parts found so far and the sum of their tasks. */
struct search {
	const struct job *job;
	GArray *parts;
	uint32_t tasks;
};

static unsigned
visit(void *arg, struct worker *w)
{
	struct search *q = arg;
	struct part part = { .worker = w, .tasks = tasks_that_fit(q->job, w) };

	if (part.tasks > 0) {
		q->tasks += part.tasks;
		g_array_append_val(q->parts, part);
	}
	return q->tasks;
}

static unsigned
visit_without_hold(void *arg, struct worker *w)
{
	struct search *q = arg;

	/* visit_held() has listed those with a hold of the job. */
	if (w->holds->len > 0 && find_hold(q->job, w) != NULL)
		return q->tasks;
	return visit(q, w);
}

/* Visits workers with a hold for the job: held capacity is not in the index. */
static void
visit_held(struct search *q)
{
	const struct reservation *r = q->job->reservation;

	for (guint i = 0; r != NULL && i < r->holds->len; i++) {
		const struct hold *h = r->holds->pdata[i];

		visit(q, h->worker);
	}
}

/* Lists workers that can take tasks; false if not enough for the whole gang. */
static bool
list_parts(struct sched *s, const struct job *job, GArray *parts)
{
	struct search q = { .job = job, .parts = parts };

	visit_held(&q);
	index_walk(&s->index, &job->spec.resources, job->waiting,
	    visit_without_hold, &q);
	return q.tasks >= job->waiting;
}

bool
gang_place(struct sched *s, struct job *job, struct sched_round *out)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct part));
	bool complete = list_parts(s, job, parts);
	uint32_t left = job->waiting;

	if (complete && job->reservation != NULL)
		reserve_drop(s, job->reservation);
	if (complete)
		g_array_sort(parts, by_tasks);
	for (guint i = 0; complete && left > 0; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);
		uint32_t n = MIN(part->tasks, left);

		left -= n;
		for (; n > 0; n--)
			place_commit(s, job, part->worker, out);
	}
	g_array_unref(parts);
	return complete;
}
