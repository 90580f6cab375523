/* Index of workers by available capacity. */
#include <math.h>

#include "table.h"

void
index_init(struct index *ix)
{
	for (unsigned i = 0; i < INDEX_BUCKETS; i++)
		ix->buckets[i] = g_ptr_array_new();
	ix->largest.millicpus = 1;
	ix->largest.memory = 1;
}

void
index_clear(struct index *ix)
{
	for (unsigned i = 0; i < INDEX_BUCKETS; i++)
		g_ptr_array_unref(ix->buckets[i]);
}

/*
 * Steps are narrower for small amounts: in a full cell most workers have
 * little capacity left, and those with too little for a task should not share
 * a bucket with those that have enough.
 */
static unsigned
step_of(int64_t amount, int64_t largest)
{
	double fraction = (double)MAX(amount, 0) / (double)largest;

	return (unsigned)MIN(INDEX_STEPS * sqrt(fraction), INDEX_STEPS - 1);
}

static uint32_t
bucket_of(unsigned acc, unsigned cpu, unsigned memory)
{
	return (acc * INDEX_STEPS + cpu) * INDEX_STEPS + memory;
}

void
index_remove(struct index *ix, struct worker *w)
{
	uint32_t bucket = w->bucket;
	GPtrArray *members;

	if (bucket == NO_BUCKET)
		return;
	members = ix->buckets[bucket];
	g_ptr_array_remove_index_fast(members, w->bucket_pos);
	if (w->bucket_pos < members->len) {
		struct worker *moved = members->pdata[w->bucket_pos];

		moved->bucket_pos = w->bucket_pos;
	}
	w->bucket = NO_BUCKET;
	if (members->len == 0)
		ix->occupied[bucket / (INDEX_STEPS * INDEX_STEPS)][bucket /
		    INDEX_STEPS % INDEX_STEPS] &= ~(1U << bucket % INDEX_STEPS);
}

void
index_insert(struct index *ix, struct worker *w)
{
	unsigned acc = w->avail.accelerators > 0;
	unsigned cpu = step_of(w->avail.millicpus, ix->largest.millicpus);
	unsigned memory = step_of(w->avail.memory, ix->largest.memory);

	w->bucket = bucket_of(acc, cpu, memory);
	w->bucket_pos = ix->buckets[w->bucket]->len;
	g_ptr_array_add(ix->buckets[w->bucket], w);
	ix->occupied[acc][cpu] |= 1U << memory;
}

/* Visits the workers of one bucket; true when enough are found. */
static bool
walk_bucket(
    const GPtrArray *members, unsigned enough, index_visit *fn, void *arg)
{
	for (guint i = 0; i < members->len; i++) {
		if (fn(arg, members->pdata[i]) >= enough)
			return true;
	}
	return false;
}

/* Visits buckets by the sum of the steps left over, tightest fits first. */
static bool
walk_layer(const struct index *ix, unsigned acc, const struct resources *need,
    unsigned enough, index_visit *fn, void *arg)
{
	unsigned cpu = step_of(need->millicpus, ix->largest.millicpus);
	unsigned memory = step_of(need->memory, ix->largest.memory);
	unsigned last = 2 * (INDEX_STEPS - 1) - cpu - memory;

	for (unsigned slack = 0; slack <= last; slack++) {
		unsigned from = slack > INDEX_STEPS - 1 - memory
		    ? slack - (INDEX_STEPS - 1 - memory)
		    : 0;
		unsigned to = MIN(slack, INDEX_STEPS - 1 - cpu);

		for (unsigned c = from; c <= to; c++) {
			unsigned m = memory + slack - c;

			if (!(ix->occupied[acc][cpu + c] & 1U << m))
				continue;
			if (walk_bucket(ix->buckets[bucket_of(acc, cpu + c, m)],
				enough, fn, arg))
				return true;
		}
	}
	return false;
}

void
index_walk(const struct index *ix, const struct resources *need,
    unsigned enough, index_visit *fn, void *arg)
{
	/* Tasks without accelerators use such workers last. */
	if (need->accelerators == 0 && walk_layer(ix, 0, need, enough, fn, arg))
		return;
	walk_layer(ix, 1, need, enough, fn, arg);
}
