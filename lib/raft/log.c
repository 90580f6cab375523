/*
 * The log in memory, and how much of it is on disk.
 */
#include "core.h"

static void
entry_free(void *e)
{
	raft_entry_unref(e);
}

void
log_init(struct log *l, uint64_t base, uint64_t base_term)
{
	*l = (struct log){
		.entries = g_ptr_array_new_with_free_func(entry_free),
		.writes = g_array_new(FALSE, FALSE, sizeof(struct log_write)),
		.base = base,
		.base_term = base_term,
		.submitted = base,
		.stored = base,
	};
}

void
log_clear(struct log *l)
{
	g_ptr_array_unref(l->entries);
	g_array_unref(l->writes);
}

uint64_t
log_last_index(const struct log *l)
{
	return l->base + l->entries->len;
}

struct raft_entry *
log_entry(const struct log *l, uint64_t index)
{
	if (index <= l->base || index > log_last_index(l))
		return NULL;
	return l->entries->pdata[index - l->base - 1];
}

bool
log_term(const struct log *l, uint64_t index, uint64_t *term)
{
	const struct raft_entry *e;

	if (index == l->base) {
		*term = l->base_term;
		return true;
	}
	e = log_entry(l, index);
	if (e == NULL)
		return false;
	*term = e->term;
	return true;
}

uint64_t
log_last_term(const struct log *l)
{
	uint64_t term = 0;

	log_term(l, log_last_index(l), &term);
	return term;
}

void
log_append(struct log *l, struct raft_entry *e)
{
	g_assert(e->index == log_last_index(l) + 1);
	g_ptr_array_add(l->entries, raft_entry_ref(e));
}

/* Records that the entries from index on differ from those on disk. */
static void
writes_invalidate(struct log *l, uint64_t index)
{
	struct log_write *w;
	guint i;

	for (i = 0; i < l->writes->len; i++) {
		w = &g_array_index(l->writes, struct log_write, i);
		w->last_valid = MIN(w->last_valid, index - 1);
	}
	l->submitted = MIN(l->submitted, index - 1);
	l->stored = MIN(l->stored, index - 1);
}

void
log_truncate(struct log *l, uint64_t index)
{
	if (index > log_last_index(l))
		return;
	g_assert(index > l->base);
	g_ptr_array_set_size(l->entries, (gint)(index - l->base - 1));
	writes_invalidate(l, index);
}

void
log_reset(struct log *l, uint64_t base, uint64_t base_term)
{
	guint i;

	g_ptr_array_set_size(l->entries, 0);
	writes_invalidate(l, 1);
	/* Earlier writes lack the snapshot: their sync must not count. */
	for (i = 0; i < l->writes->len; i++)
		g_array_index(l->writes, struct log_write, i).hard_term = 0;
	l->base = base;
	l->base_term = base_term;
	l->submitted = base;
	l->stored = base;
}

void
log_compact(struct log *l, uint64_t index)
{
	uint64_t term;

	if (index <= l->base || !log_term(l, index, &term))
		return;
	g_ptr_array_remove_range(l->entries, 0, (guint)(index - l->base));
	l->base = index;
	l->base_term = term;
}

GPtrArray *
log_submit(struct log *l, uint64_t hard_term, bool snapshot)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(entry_free);
	uint64_t i, last = log_last_index(l);
	struct log_write w;

	for (i = l->submitted + 1; i <= last; i++)
		g_ptr_array_add(out, raft_entry_ref(log_entry(l, i)));
	if (out->len == 0 && !snapshot)
		return out;
	l->submitted = last;
	w = (struct log_write){
		.index = last,
		.term = log_last_term(l),
		.hard_term = hard_term,
		.last_valid = last,
	};
	g_array_append_val(l->writes, w);
	return out;
}

uint64_t
log_mark_stored(struct log *l, uint64_t index, uint64_t term)
{
	struct log_write *w;
	uint64_t hard_term;
	guint i;

	for (i = 0; i < l->writes->len; i++) {
		w = &g_array_index(l->writes, struct log_write, i);
		if (w->index == index && w->term == term)
			break;
	}
	if (i == l->writes->len)
		return 0;
	/*
	 * last_valid, not index: the entry may have been replaced and appended
	 * again since, and the later write is not synced yet.
	 */
	l->stored = MAX(l->stored, w->last_valid);
	hard_term = w->hard_term;
	g_array_remove_range(l->writes, 0, i + 1);
	return hard_term;
}
