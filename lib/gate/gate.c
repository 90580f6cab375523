#include "gate.h"
#include "logs.h"

#define RETRY_MS 40 /* delay after the leader could not take a request */
#define PENDING_MAX 4096 /* requests; more are dropped at once */

struct pending {
	struct request request;
	int64_t since_ms;
	int64_t deadline_ms;
	int64_t retry_ms; /* when to send again; 0: not scheduled */
	bool sent; /* to the current leader */
	bool unclear; /* an earlier leader may have carried it out */
	gate_answer_fn *fn;
	void *arg;
};

struct gate {
	gate_send_fn *send;
	void *arg;
	uint64_t last_id;
	int64_t disconnected_ms; /* since when; 0: a replica is connected */
	GHashTable *pending; /* id to struct pending */
	bool closed;
};

static void
pending_free(void *arg)
{
	struct pending *p = arg;

	request_clear(&p->request);
	g_free(p);
}

struct gate *
gate_new(gate_send_fn *send, void *arg)
{
	struct gate *g = g_new0(struct gate, 1);

	g->send = send;
	g->arg = arg;
	g->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_free);
	return g;
}

/* Whether a leader may have carried out the request. */
static bool
is_unclear(const struct pending *p)
{
	return p->sent || p->unclear;
}

static void
drop(struct pending *p, const char *why)
{
	bool unclear = is_unclear(p);
	struct answer a = { .id = p->request.id,
		.result = unclear ? REQUEST_UNKNOWN : REQUEST_UNAVAILABLE };

	log_info("gate",
	    "event=request-dropped op=%u path=%s result=%s why=\"%s\" "
	    "after_ms=%" G_GINT64_FORMAT,
	    p->request.op, p->request.path, unclear ? "unclear" : "not-taken",
	    why, mono_ms() - p->since_ms);
	a.text = g_bytes_new_static("", 0);
	p->fn(p->arg, &a);
	g_bytes_unref(a.text);
}

void
gate_close(struct gate *g)
{
	GList *all = g_hash_table_get_values(g->pending);

	g->closed = true;
	g_hash_table_steal_all(g->pending);
	for (GList *i = all; i != NULL; i = i->next) {
		drop(i->data, "stopping");
		pending_free(i->data);
	}
	g_list_free(all);
}

void
gate_free(struct gate *g)
{
	if (g == NULL)
		return;
	gate_close(g);
	g_hash_table_unref(g->pending);
	g_free(g);
}

/* Whether no leader can be expected soon. */
static bool
is_disconnected(const struct gate *g, int64_t now)
{
	return g->disconnected_ms != 0 &&
	    now - g->disconnected_ms >= GATE_RECONNECT_MS;
}

/* Sends a request to the leader; without one it stays pending. */
static void
send_request(struct gate *g, struct pending *p)
{
	p->retry_ms = 0;
	p->sent = true;
	/* The call may deliver the answer and so free p. */
	if (!g->send(g->arg, &p->request))
		p->sent = false;
}

void
gate_forward(struct gate *g, const struct request *request, int64_t timeout_ms,
    gate_answer_fn *fn, void *arg)
{
	struct pending *p = g_new0(struct pending, 1);
	const char *why = NULL;

	p->request = request_copy(request);
	p->request.id = ++g->last_id;
	p->since_ms = mono_ms();
	p->deadline_ms = p->since_ms + timeout_ms;
	p->fn = fn;
	p->arg = arg;
	if (g->closed)
		why = "stopping";
	else if (g_hash_table_size(g->pending) >= PENDING_MAX)
		why = "too many requests";
	else if (is_disconnected(g, p->since_ms))
		why = "no replica is connected";
	if (why != NULL) {
		drop(p, why);
		pending_free(p);
		return;
	}
	g_hash_table_insert(g->pending, &p->request.id, p);
	send_request(g, p);
}

void
gate_answer(struct gate *g, const struct answer *a)
{
	struct pending *p = g_hash_table_lookup(g->pending, &a->id);

	/* A late answer to a request that was dropped. */
	if (p == NULL)
		return;
	if (a->result == REQUEST_UNAVAILABLE &&
	    mono_ms() + RETRY_MS < p->deadline_ms) {
		p->sent = false;
		p->retry_ms = mono_ms() + RETRY_MS;
		return;
	}
	g_hash_table_steal(g->pending, &a->id);
	p->fn(p->arg, a);
	pending_free(p);
}

void
gate_leader_changed(struct gate *g)
{
	int64_t now = mono_ms();
	GHashTableIter iter;
	gpointer value;

	/* gate_tick() sends them: an answer that arrives within this loop
	 * would change the table that it iterates over. */
	g_hash_table_iter_init(&iter, g->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *p = value;

		p->unclear |= p->sent;
		p->sent = false;
		p->retry_ms = now;
	}
}

void
gate_tick(struct gate *g, int64_t now)
{
	bool disconnected = is_disconnected(g, now);
	GList *all = g_hash_table_get_keys(g->pending);

	for (GList *i = all; i != NULL; i = i->next) {
		struct pending *p = g_hash_table_lookup(g->pending, i->data);

		if (p == NULL)
			continue;
		if (now >= p->deadline_ms || (disconnected && !is_unclear(p))) {
			g_hash_table_steal(g->pending, &p->request.id);
			drop(p,
			    now >= p->deadline_ms ? "timeout"
						  : "no replica is connected");
			pending_free(p);
		} else if (p->retry_ms != 0 && p->retry_ms <= now) {
			send_request(g, p);
		}
	}
	g_list_free(all);
}

void
gate_set_connected(struct gate *g, bool connected, int64_t now)
{
	if (connected == (g->disconnected_ms == 0))
		return;
	g->disconnected_ms = connected ? 0 : now;
	log_info("gate", "event=replicas-%s pending=%u",
	    connected ? "connected" : "disconnected", gate_pending(g));
}

guint
gate_pending(const struct gate *g)
{
	return g_hash_table_size(g->pending);
}
