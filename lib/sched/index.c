/* The index of workers by what is available on them. */
#include <math.h>

#include "table.h"

void
index_init(struct index *ix)
{
	for (unsigned i = 0; i < CELLS; i++)
		ix->cells[i] = g_ptr_array_new();
	ix->most.millicpus = 1;
	ix->most.memory = 1;
}

void
index_clear(struct index *ix)
{
	for (unsigned i = 0; i < CELLS; i++)
		g_ptr_array_unref(ix->cells[i]);
}

/*
 * Steps are narrow for small amounts: in a full cell most workers have little
 * left, and those with too little should not share a cell with the others.
 */
static unsigned
step_of(int64_t amount, int64_t most)
{
	double part = (double)MAX(amount, 0) / (double)most;

	return (unsigned)MIN(GRID * sqrt(part), GRID - 1);
}

static uint32_t
cell_of(unsigned acc, unsigned cpu, unsigned memory)
{
	return (acc * GRID + cpu) * GRID + memory;
}

void
index_drop(struct index *ix, struct worker *w)
{
	uint32_t cell = w->cell;
	GPtrArray *members;

	if (cell == NO_CELL)
		return;
	members = ix->cells[cell];
	g_ptr_array_remove_index_fast(members, w->cell_pos);
	if (w->cell_pos < members->len) {
		struct worker *moved = members->pdata[w->cell_pos];

		moved->cell_pos = w->cell_pos;
	}
	w->cell = NO_CELL;
	if (members->len == 0)
		ix->occupied[cell / (GRID * GRID)][cell / GRID % GRID] &=
		    ~(1U << cell % GRID);
}

void
index_put(struct index *ix, struct worker *w)
{
	unsigned acc = w->avail.accelerators > 0;
	unsigned cpu = step_of(w->avail.millicpus, ix->most.millicpus);
	unsigned memory = step_of(w->avail.memory, ix->most.memory);

	w->cell = cell_of(acc, cpu, memory);
	w->cell_pos = ix->cells[w->cell]->len;
	g_ptr_array_add(ix->cells[w->cell], w);
	ix->occupied[acc][cpu] |= 1U << memory;
}

/* Visits the workers of one cell; true when enough are found. */
static bool
walk_cell(const GPtrArray *members, unsigned enough, index_visit *fn, void *arg)
{
	for (guint i = 0; i < members->len; i++) {
		if (fn(arg, members->pdata[i]) >= enough)
			return true;
	}
	return false;
}

/* Cells in the order of the steps left over, so that tight fits come first. */
static bool
walk_layer(const struct index *ix, unsigned acc, const struct resources *need,
    unsigned enough, index_visit *fn, void *arg)
{
	unsigned cpu = step_of(need->millicpus, ix->most.millicpus);
	unsigned memory = step_of(need->memory, ix->most.memory);
	unsigned last = 2 * (GRID - 1) - cpu - memory;

	for (unsigned left = 0; left <= last; left++) {
		unsigned from =
		    left > GRID - 1 - memory ? left - (GRID - 1 - memory) : 0;
		unsigned to = MIN(left, GRID - 1 - cpu);

		for (unsigned c = from; c <= to; c++) {
			unsigned m = memory + left - c;

			if (!(ix->occupied[acc][cpu + c] & 1U << m))
				continue;
			if (walk_cell(ix->cells[cell_of(acc, cpu + c, m)],
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
	/* Accelerators stay free for those that need them. */
	if (need->accelerators == 0 && walk_layer(ix, 0, need, enough, fn, arg))
		return;
	walk_layer(ix, 1, need, enough, fn, arg);
}
