/* Targets of service calls, and the entries' shares of the connections to
 * workers. */
#include "leader_impl.h"

static void
send_target(struct leader *l, struct client *c, const struct cell_job *job,
    uint32_t task, const struct cell_worker *w, bool gone)
{
	const struct config *config = leader_config(l);
	struct target_push t = { .service = job->spec.name,
		.team = job->spec.team,
		.job = job->id,
		.task = task,
		.worker = w->id,
		.address = w->address,
		.gone = gone,
		.idempotent = job->spec.idempotent,
		.slots = w->slots,
		.connections = w->connections };

	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *s = config->services->pdata[i];

		if (g_strcmp0(s->name, job->spec.name) == 0)
			t.timeout_ms = s->call_timeout_ms;
	}
	proto_send(c->link, FRAME_TARGET, &t);
}

void
targets_changed(struct leader *l, const struct cell_job *job, uint32_t task,
    uint32_t worker, bool gone)
{
	const struct cell_worker *w = cell_worker(l->cell, worker);

	if (job->spec.kind != KIND_SERVICE || w == NULL)
		return;
	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->joined && c->is_entry)
			send_target(l, c, job, task, w, gone);
	}
}

/* Reports whether a task may be called: it is confirmed and its worker is
 * neither draining nor lost. */
static bool
is_callable(const struct leader *l, const struct cell_worker *w, uint64_t job,
    uint32_t task)
{
	const struct leader_attempt *a = orders_find_attempt(l, job, task);

	return w->state == WORKER_UP && a != NULL && a->confirmed;
}

struct send_arg {
	GArray *ids; /* uint64_t, target ids; NULL: not collected */
	struct leader *leader;
	struct client *client; /* NULL: all */
	const struct cell_worker *worker;
};

static bool
send_attempt_target(void *arg, const struct cell_job *job, uint32_t task)
{
	struct send_arg *p = arg;
	bool takes_calls = is_callable(p->leader, p->worker, job->id, task) &&
	    job->task[task].state == TASK_ASSIGNED;

	if (job->spec.kind != KIND_SERVICE)
		return true;
	if (p->ids != NULL && p->worker->state == WORKER_UP &&
	    job->task[task].state == TASK_ASSIGNED) {
		uint64_t id = proto_target_id(job->id, task, p->worker->id);

		g_array_append_val(p->ids, id);
	}
	if (p->client == NULL)
		targets_changed(
		    p->leader, job, task, p->worker->id, !takes_calls);
	else if (takes_calls)
		send_target(p->leader, p->client, job, task, p->worker, false);
	return true;
}

static bool
send_worker_targets(void *arg, const struct cell_worker *w)
{
	struct send_arg *p = arg;

	p->worker = w;
	cell_each_attempt(p->leader->cell, w->id, send_attempt_target, p);
	return true;
}

void
targets_push_all(struct leader *l, struct client *c)
{
	struct send_arg p = { .leader = l, .client = c };
	struct targets_push all;

	/* The ids include targets that no worker has confirmed to this leader
	 * yet, since the entry may have them from an earlier leader. */
	p.ids = all.ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cell_each_worker(l->cell, send_worker_targets, &p);
	proto_send(c->link, FRAME_TARGETS, &all);
	g_array_unref(all.ids);
}

void
targets_worker_changed(struct leader *l, const struct cell_worker *w)
{
	struct send_arg p = { .leader = l, .worker = w };

	cell_each_attempt(l->cell, w->id, send_attempt_target, &p);
}

/* The smallest divisor of any other entry, that is, the largest share. */
static uint64_t
least_divisor(const struct leader *l, const struct leader_entry *except)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t least = UINT64_MAX;

	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct leader_entry *e = value;

		if (e != except && e->divisor != 0)
			least = MIN(least, e->divisor);
	}
	return least;
}

/*
 * With n entries each may use 1/n of a worker's connections. A share grows only
 * once no other entry has more than 1/n, so the shares never add up to more
 * than all connections.
 */
void
targets_send_divisors(struct leader *l)
{
	uint64_t n = g_hash_table_size(l->entries);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leader_entry *e = value;
		struct client *c = client_by_entry(l, e->id);
		struct divisor_push push = { n };
		bool grows = e->divisor == 0 || e->divisor > n;

		if (c == NULL || e->sent_divisor == n ||
		    (grows && least_divisor(l, e) < n))
			continue;
		e->sent_divisor = n;
		/* A larger share counts from now on, a smaller one once the
		 * entry has acknowledged it. */
		if (grows)
			e->divisor = n;
		proto_send(c->link, FRAME_DIVISOR, &push);
	}
}

void
targets_divisor_acked(struct leader *l, struct client *c)
{
	struct leader_entry *e = c->entry_id == 0
	    ? NULL
	    : g_hash_table_lookup(l->entries, GUINT_TO_POINTER(c->entry_id));

	if (e == NULL || c->divisor != e->sent_divisor ||
	    e->divisor == e->sent_divisor)
		return;
	e->divisor = e->sent_divisor;
	targets_send_divisors(l);
}
