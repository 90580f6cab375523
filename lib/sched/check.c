/* Checks the invariants of the tables. */
#include "table.h"

static void
check_worker(const struct worker *w)
{
	struct resources used = { 0 };
	struct resources sum = w->free;
	struct resources none = { 0 };

	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];

		g_assert(run->worker == w->spec.id);
		g_assert(
		    worker_find_run(w, run->job->spec.id, run->task) == run);
		resources_add(&used, &run->resources, 1);
	}
	resources_add(&sum, &used, 1);
	g_assert(resources_equal(&sum, &w->spec.capacity));
	g_assert(w->free_slots + w->runs->len == w->spec.slots);
	if (w->overcommitted)
		return;
	g_assert(resources_fit(&used, &w->spec.capacity));
	g_assert(resources_fit(&none, &w->free));
	g_assert(w->free_slots >= 0);
}

static void
check_index(const struct index *ix, const struct worker *w)
{
	if (w->bucket == NO_BUCKET) {
		g_assert(!worker_usable(w) || w->avail_slots <= 0 ||
		    w->avail.millicpus < 0 || w->avail.memory < 0 ||
		    w->avail.accelerators < 0);
		return;
	}
	g_assert(ix->buckets[w->bucket]->pdata[w->bucket_pos] == w);
}

static size_t
check_shape(const struct shape *shape)
{
	GSequence *queues[] = { shape->age_queue, shape->deadline_queue };
	uint64_t tasks = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(queues); i++) {
		GSequenceIter *iter = g_sequence_get_begin_iter(queues[i]);

		for (; !g_sequence_iter_is_end(iter);
		     iter = g_sequence_iter_next(iter)) {
			const struct job *job = g_sequence_get(iter);

			g_assert(job->shape == shape && job->waiting > 0);
			g_assert(reserved_tasks(job) <= job->waiting);
			tasks += job->waiting;
		}
	}
	g_assert(tasks == shape->tasks && tasks > 0);
	return tasks;
}

static void
check_teams(const struct sched *s)
{
	GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	gpointer team;

	for (guint i = 0; i < s->workers->len; i++) {
		const struct worker *w = s->workers->pdata[i];

		for (guint j = 0; w != NULL && j < w->runs->len; j++) {
			const struct run *run = w->runs->pdata[j];
			struct resources *sum =
			    g_hash_table_lookup(sums, run->team);

			if (sum == NULL) {
				sum = g_new0(struct resources, 1);
				g_hash_table_insert(sums, run->team, sum);
			}
			resources_add(sum, &run->resources, 1);
		}
	}
	g_hash_table_iter_init(&iter, s->teams);
	while (g_hash_table_iter_next(&iter, NULL, &team)) {
		const struct resources *sum = g_hash_table_lookup(sums, team);
		struct resources none = { 0 };

		g_assert(resources_equal(
		    &((struct team *)team)->used, sum != NULL ? sum : &none));
	}
	g_hash_table_unref(sums);
}

void
sched_check(const struct sched *s)
{
	size_t waiting = 0;

	for (guint i = 0; i < s->workers->len; i++) {
		if (s->workers->pdata[i] == NULL)
			continue;
		check_worker(s->workers->pdata[i]);
		check_index(&s->index, s->workers->pdata[i]);
	}
	for (unsigned state = 0; state < SHAPE_STATES; state++) {
		const GPtrArray *list = s->shapes[state];

		for (guint i = 0; i < list->len; i++) {
			const struct shape *shape = list->pdata[i];

			g_assert(shape->state == state && shape->pos == i);
			waiting += check_shape(shape);
		}
	}
	g_assert(waiting == s->waiting);
	check_teams(s);
}
