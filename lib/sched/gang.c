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

/* Lists the workers with room; false if they can't take the whole gang. */
static bool
gather(struct sched *s, const struct job *job, GArray *parts)
{
	uint64_t sum = 0;

	for (guint i = 0; i < s->workers->len; i++) {
		struct part part = { .worker = s->workers->pdata[i] };

		if (part.worker == NULL)
			continue;
		part.tasks = room_for(job, part.worker);
		if (part.tasks == 0)
			continue;
		sum += part.tasks;
		g_array_append_val(parts, part);
	}
	return sum >= job->waiting;
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
