/* Asks on their way to the leader. */
#include "gate.h"
#include "logs.h"

#define AGAIN_MS 40 /* before an ask that the leader could not take yet */
#define PENDING_MAX 4096 /* asks in flight; more are turned away at once */

struct pending {
	struct request ask;
	int64_t due_ms;
	int64_t again_ms; /* 0: with the leader, or waiting for one */
	bool sent; /* with the present leader */
	bool unclear; /* an earlier leader may have carried it out */
	gate_answer_fn *fn;
	void *arg;
};

struct gate {
	gate_hand_fn *hand;
	void *arg;
	uint64_t last_id;
	GHashTable *pending; /* id to struct pending */
};

static void
pending_free(void *arg)
{
	struct pending *p = arg;

	g_free(p->ask.host);
	g_free(p->ask.path);
	g_bytes_unref(p->ask.body);
	g_free(p);
}

struct gate *
gate_new(gate_hand_fn *hand, void *arg)
{
	struct gate *g = g_new0(struct gate, 1);

	g->hand = hand;
	g->arg = arg;
	g->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_free);
	return g;
}

static void
give_up(struct pending *p)
{
	bool unclear = p->sent || p->unclear;
	struct answer a = { .id = p->ask.id,
		.result = unclear ? REQUEST_UNKNOWN : REQUEST_UNAVAILABLE };

	log_info("gate", "event=ask-given-up op=%u path=%s result=%s",
	    p->ask.op, p->ask.path, unclear ? "unclear" : "not-taken");
	a.text = g_bytes_new_static("", 0);
	p->fn(p->arg, &a);
	g_bytes_unref(a.text);
}

void
gate_free(struct gate *g)
{
	GHashTableIter iter;
	gpointer value;

	if (g == NULL)
		return;
	g_hash_table_iter_init(&iter, g->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		give_up(value);
	g_hash_table_unref(g->pending);
	g_free(g);
}

/* Hands an ask to whoever leads; it waits if nobody does. */
static void
pass_on(struct gate *g, struct pending *p)
{
	p->again_ms = 0;
	p->sent = true;
	/* May answer, and so free p, within the call. */
	if (!g->hand(g->arg, &p->ask))
		p->sent = false;
}

void
gate_ask(struct gate *g, const struct request *ask, int64_t timeout_ms,
    gate_answer_fn *fn, void *arg)
{
	struct pending *p = g_new0(struct pending, 1);

	p->ask = (struct request){ .id = ++g->last_id,
		.op = ask->op,
		.host = g_strdup(ask->host == NULL ? "" : ask->host),
		.path = g_strdup(ask->path == NULL ? "" : ask->path),
		.seq = ask->seq,
		.body = ask->body == NULL ? g_bytes_new_static("", 0)
					  : g_bytes_ref(ask->body) };
	p->due_ms = mono_ms() + timeout_ms;
	p->fn = fn;
	p->arg = arg;
	if (g_hash_table_size(g->pending) >= PENDING_MAX) {
		give_up(p);
		pending_free(p);
		return;
	}
	g_hash_table_insert(g->pending, &p->ask.id, p);
	pass_on(g, p);
}

void
gate_answer(struct gate *g, const struct answer *a)
{
	struct pending *p = g_hash_table_lookup(g->pending, &a->id);

	/* A late answer to an ask that was given up. */
	if (p == NULL)
		return;
	if (a->result == REQUEST_UNAVAILABLE &&
	    mono_ms() + AGAIN_MS < p->due_ms) {
		p->sent = false;
		p->again_ms = mono_ms() + AGAIN_MS;
		return;
	}
	g_hash_table_steal(g->pending, &a->id);
	p->fn(p->arg, a);
	pending_free(p);
}

void
gate_moved(struct gate *g)
{
	int64_t now = mono_ms();
	GHashTableIter iter;
	gpointer value;

	/* Sent in the next scan: an answer within the loop would change the
	 * table under it. */
	g_hash_table_iter_init(&iter, g->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *p = value;

		p->unclear |= p->sent;
		p->sent = false;
		p->again_ms = now;
	}
}

void
gate_scan(struct gate *g, int64_t now)
{
	GList *all = g_hash_table_get_keys(g->pending);

	for (GList *i = all; i != NULL; i = i->next) {
		struct pending *p = g_hash_table_lookup(g->pending, i->data);

		if (p == NULL)
			continue;
		if (now >= p->due_ms) {
			g_hash_table_steal(g->pending, &p->ask.id);
			give_up(p);
			pending_free(p);
		} else if (p->again_ms != 0 && p->again_ms <= now) {
			pass_on(g, p);
		}
	}
	g_list_free(all);
}

guint
gate_pending(const struct gate *g)
{
	return g_hash_table_size(g->pending);
}
