/* Waiting jobs grouped by shape, in order within each shape. */
#include <string.h>

#include "table.h"

#define DEADLINE_SLACK_MS 5000 /* margin before the latest start */

guint
shape_hash(const void *key)
{
	return (guint)hash64(key, sizeof(struct shape_key));
}

gboolean
shape_equal(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct shape_key)) == 0;
}

static struct shape_key
key_of(const struct job *job)
{
	struct shape_key key;

	memset(&key, 0, sizeof(key));
	key.resources = job->spec.resources;
	key.data_centers = job->spec.data_centers;
	key.team = job->spec.team;
	key.kind = job->spec.kind;
	key.spread = job->spec.spread;
	key.urgent = job->spec.urgent;
	if (job->spec.kind == KIND_GANG)
		key.gang_tasks = job->waiting;
	return key;
}

static gint
compare_int64(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static gint
by_age(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = a;
	const struct job *y = b;

	if (x->spec.submitted_ms != y->spec.submitted_ms)
		return compare_int64(
		    x->spec.submitted_ms, y->spec.submitted_ms);
	return compare_int64((int64_t)x->spec.id, (int64_t)y->spec.id);
}

static gint
by_deadline(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = a;
	const struct job *y = b;

	if (x->spec.deadline_ms != y->spec.deadline_ms)
		return compare_int64(x->spec.deadline_ms, y->spec.deadline_ms);
	return by_age(a, b, arg);
}

static void
list_remove(struct sched *s, struct shape *shape)
{
	GPtrArray *list = s->shapes[shape->state];

	g_ptr_array_remove_index_fast(list, shape->pos);
	if (shape->pos < list->len) {
		struct shape *moved = list->pdata[shape->pos];

		moved->pos = shape->pos;
	}
}

static void
list_add(struct sched *s, struct shape *shape, enum shape_state state)
{
	shape->state = state;
	shape->pos = s->shapes[state]->len;
	g_ptr_array_add(s->shapes[state], shape);
}

void
shape_set_state(struct sched *s, struct shape *shape, enum shape_state state)
{
	if (shape->state == state)
		return;
	list_remove(s, shape);
	list_add(s, shape, state);
}

bool
shape_feasible(const struct sched *s, const struct shape *shape)
{
	uint64_t need = MAX(shape->key.gang_tasks, 1);

	return workers_max_tasks(s, &shape->key, need) >= need;
}

static struct shape *
shape_new(struct sched *s, const struct shape_key *key)
{
	struct shape *shape = g_new0(struct shape, 1);

	shape->key = *key;
	shape->team = team_get(s, key->team);
	shape->age_queue = g_sequence_new(NULL);
	shape->deadline_queue = g_sequence_new(NULL);
	g_hash_table_insert(s->shapes_by_key, &shape->key, shape);
	list_add(s, shape,
	    shape_feasible(s, shape) ? SHAPE_READY : SHAPE_INFEASIBLE);
	return shape;
}

void
shape_free(void *data)
{
	struct shape *shape = data;

	g_sequence_free(shape->age_queue);
	g_sequence_free(shape->deadline_queue);
	g_free(shape);
}

static struct job *
first_of(GSequence *queue)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue);

	return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

static void
find_heads(struct shape *shape)
{
	shape->age_head = first_of(shape->age_queue);
	shape->deadline_head = first_of(shape->deadline_queue);
}

void
shape_add_job(struct sched *s, struct job *job)
{
	struct shape_key key = key_of(job);
	struct shape *shape = g_hash_table_lookup(s->shapes_by_key, &key);

	if (shape == NULL)
		shape = shape_new(s, &key);
	job->shape = shape;
	shape->tasks += job->waiting;
	if (job->spec.deadline_ms != 0)
		job->iter = g_sequence_insert_sorted(
		    shape->deadline_queue, job, by_deadline, NULL);
	else
		job->iter = g_sequence_insert_sorted(
		    shape->age_queue, job, by_age, NULL);
	find_heads(shape);
	/* The new head may fit where the last one did not: its run time may be
	 * short enough for backfill, or it may be allowed to preempt. */
	if (shape->state == SHAPE_BLOCKED &&
	    shape_head(shape, s->now_ms) == job)
		shape_wake(s, shape);
}

void
shape_wake(struct sched *s, struct shape *shape)
{
	shape->woken_round = 0;
	shape->gang_retry_ms = 0;
	shape_set_state(s, shape, SHAPE_READY);
}

void
shape_remove_job(struct sched *s, struct job *job)
{
	struct shape *shape = job->shape;

	shape->tasks -= job->waiting;
	g_sequence_remove(job->iter);
	job->iter = NULL;
	job->shape = NULL;
	find_heads(shape);
	if (shape->age_head != NULL || shape->deadline_head != NULL)
		return;
	list_remove(s, shape);
	g_hash_table_remove(s->shapes_by_key, &shape->key);
}

bool
job_deadline_near(const struct job *job, int64_t now_ms)
{
	int64_t latest_start_ms =
	    job->spec.deadline_ms - 2 * job->spec.runtime_ms;

	return job->spec.deadline_ms != 0 &&
	    now_ms + DEADLINE_SLACK_MS >= latest_start_ms;
}

struct job *
shape_head(const struct shape *shape, int64_t now_ms)
{
	struct job *with_deadline = shape->deadline_head;
	struct job *without_deadline = shape->age_head;

	if (with_deadline == NULL)
		return without_deadline;
	if (without_deadline == NULL ||
	    job_deadline_near(with_deadline, now_ms))
		return with_deadline;
	return by_age(with_deadline, without_deadline, NULL) < 0
	    ? with_deadline
	    : without_deadline;
}
