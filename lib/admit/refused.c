/* The jobs that were refused lately, so that a caller that returns keeps its
 * place. */
#include "impl.h"

/* After its announced return a caller is awaited for this time. Callers add
 * their own spread to a delay. */
#define RETURN_GRACE_MS 2000
/* A refused job is forgotten this long after that: a caller that returns later
 * counts as new. */
#define FORGET_MS 60000

static void
refused_free(void *arg)
{
	g_free(arg);
}

void
refused_init(struct refused_table *t)
{
	t->by_id = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, refused_free);
	g_queue_init(&t->order);
}

void
refused_clear(struct refused_table *t)
{
	g_queue_clear(&t->order);
	g_clear_pointer(&t->by_id, g_hash_table_unref);
}

struct refused *
refused_find(const struct refused_table *t, uint64_t id)
{
	return g_hash_table_lookup(t->by_id, &id);
}

static void
remove_entry(struct refused_table *t, struct refused *r)
{
	g_queue_delete_link(&t->order, r->link);
	g_hash_table_remove(t->by_id, &r->id);
}

void
refused_remove(struct refused_table *t, uint64_t id)
{
	struct refused *r = refused_find(t, id);

	if (r != NULL)
		remove_entry(t, r);
}

struct refused *
refused_get(struct refused_table *t, uint64_t id)
{
	struct refused *r = refused_find(t, id);

	if (r != NULL)
		return r;
	if (t->order.length >= ADMIT_REFUSED_MAX)
		remove_entry(t, g_queue_peek_head(&t->order));
	r = g_new0(struct refused, 1);
	r->id = id;
	g_queue_push_tail(&t->order, r);
	r->link = t->order.tail;
	g_hash_table_insert(t->by_id, &r->id, r);
	return r;
}

void
refused_expire(struct refused_table *t, int64_t now_ms)
{
	GList *next;

	for (GList *i = t->order.head; i != NULL; i = next) {
		struct refused *r = i->data;

		next = i->next;
		if (r->return_ms + RETURN_GRACE_MS < now_ms)
			r->work = 0;
		if (r->return_ms + FORGET_MS < now_ms)
			remove_entry(t, r);
	}
}

int64_t
refused_work(const struct refused_table *t, int64_t price, uint64_t except)
{
	int64_t sum = 0;

	for (const GList *i = t->order.head; i != NULL; i = i->next) {
		const struct refused *r = i->data;

		if (r->price >= price && r->id != except)
			sum += r->work;
	}
	return sum;
}
