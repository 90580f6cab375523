/* Gangs: all waiting tasks at once, or none. */
#include "table.h"

/* Tasks of the job that one worker can take now. */
struct part {
	struct worker *worker;
	uint32_t tasks;
};

static struct hold *
own_hold(const struct job *job, const struct worker *w)
{
	for (guint i = 0; i < w->holds->len; i++) {
		struct hold *h = w->holds->pdata[i];

		if (h->reservation->job == job)
			return h;
	}
	return NULL;
}

static uint32_t
room_for(const struct job *job, const struct worker *w)
{
	struct resources room = w->avail;
	int64_t slots = w->avail_slots;
	const struct hold *h;

	if (!worker_usable(w) || !worker_allowed(w, job->spec.data_centers))
		return 0;
	h = w->holds->len > 0 ? own_hold(job, w) : NULL;
	if (h != NULL)
		hold_room(w, h, &room, &slots);
	if (slots <= 0)
		return 0;
	return resources_count(&room, &job->spec.resources,
	    (uint32_t)MIN(slots, (int64_t)job->waiting));
}

/* The most tasks first: a gang close together, and the rest left whole. */
static gint
by_tasks(gconstpointer a, gconstpointer b)
{
	const struct part *x = a;
	const struct part *y = b;

	if (x->tasks != y->tasks)
		return x->tasks > y->tasks ? -1 : 1;
	return x->worker->spec.id < y->worker->spec.id ? -1 : 1;
}

/* The parts found so far, and how many tasks they take. */
struct search {
	const struct job *job;
	GArray *parts;
	uint32_t tasks;
};

static unsigned
visit(void *arg, struct worker *w)
{
	struct search *q = arg;
	struct part part = { .worker = w, .tasks = room_for(q->job, w) };

	if (part.tasks > 0) {
		q->tasks += part.tasks;
		g_array_append_val(q->parts, part);
	}
	return q->tasks;
}

static unsigned
visit_other(void *arg, struct worker *w)
{
	struct search *q = arg;

	/* Those with a hold of the job are listed already. */
	if (w->holds->len > 0 && own_hold(q->job, w) != NULL)
		return q->tasks;
	return visit(q, w);
}

/* Workers that hold room for the job and that the index does not show. */
static void
visit_held(struct search *q)
{
	const struct reservation *r = q->job->reservation;

	for (guint i = 0; r != NULL && i < r->holds->len; i++) {
		const struct hold *h = r->holds->pdata[i];

		visit(q, h->worker);
	}
}

/* Lists workers with room; false if they can't take the whole gang. */
static bool
gather(struct sched *s, const struct job *job, GArray *parts)
{
	struct search q = { .job = job, .parts = parts };

	visit_held(&q);
	index_walk(
	    &s->index, &job->spec.resources, job->waiting, visit_other, &q);
	return q.tasks >= job->waiting;
}

bool
gang_place(struct sched *s, struct job *job, struct sched_round *out)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct part));
	bool whole = gather(s, job, parts);
	uint32_t left = job->waiting;

	if (whole && job->reservation != NULL)
		reserve_drop(s, job->reservation);
	if (whole)
		g_array_sort(parts, by_tasks);
	for (guint i = 0; whole && left > 0; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);
		uint32_t n = MIN(part->tasks, left);

		left -= n;
		for (; n > 0; n--)
			place_commit(s, job, part->worker, out);
	}
	g_array_unref(parts);
	return whole;
}
