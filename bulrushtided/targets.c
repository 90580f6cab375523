/* Targets of service calls: who may call whom, over how many connections. */
#include "leader_impl.h"

static void
push(struct leader *l, struct client *c, const struct cell_job *job,
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

		if (c->joined && c->entry)
			push(l, c, job, task, w, gone);
	}
}

/* Says whether calls may go to a task: confirmed, and its worker stays. */
static bool
callable(const struct leader *l, const struct cell_worker *w, uint64_t job,
    uint32_t task)
{
	const struct lattempt *a = orders_find(l, job, task);

	return w->state == WORKER_UP && a != NULL && a->confirmed;
}

struct push_all {
	GArray *ids; /* uint64_t; NULL: not wanted */
	struct leader *leader;
	struct client *client; /* NULL: all */
	const struct cell_worker *worker;
};

static bool
push_attempt(void *arg, const struct cell_job *job, uint32_t task)
{
	struct push_all *p = arg;
	bool on = callable(p->leader, p->worker, job->id, task) &&
	    job->task[task].state == TASK_ASSIGNED;

	if (job->spec.kind != KIND_SERVICE)
		return true;
	if (p->ids != NULL && p->worker->state == WORKER_UP &&
	    job->task[task].state == TASK_ASSIGNED) {
		uint64_t id = proto_target_id(job->id, task, p->worker->id);

		g_array_append_val(p->ids, id);
	}
	if (p->client == NULL)
		targets_changed(p->leader, job, task, p->worker->id, !on);
	else if (on)
		push(p->leader, p->client, job, task, p->worker, false);
	return true;
}

static bool
push_worker(void *arg, const struct cell_worker *w)
{
	struct push_all *p = arg;

	p->worker = w;
	cell_each_attempt(p->leader->cell, w->id, push_attempt, p);
	return true;
}

void
targets_push_all(struct leader *l, struct client *c)
{
	struct push_all p = { .leader = l, .client = c };
	struct targets_push all;

	/* Also those not confirmed anew: the entry may know them already. */
	p.ids = all.ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cell_each_worker(l->cell, push_worker, &p);
	proto_send(c->link, FRAME_TARGETS, &all);
	g_array_unref(all.ids);
}

void
targets_worker(struct leader *l, const struct cell_worker *w)
{
	struct push_all p = { .leader = l, .worker = w };

	cell_each_attempt(l->cell, w->id, push_attempt, &p);
}

/* The largest part that any other entry may hold; 1 in the result. */
static uint64_t
least_division(const struct leader *l, const struct lentry *but)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t least = UINT64_MAX;

	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lentry *e = value;

		if (e != but && e->division != 0)
			least = MIN(least, e->division);
	}
	return least;
}

/*
 * With n entries each may hold one part in n. A part grows only once no other
 * entry holds more than one in n, so the parts never sum to more than all.
 */
void
targets_divide(struct leader *l)
{
	uint64_t n = g_hash_table_size(l->entries);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lentry *e = value;
		struct client *c = client_by_entry(l, e->id);
		struct divisor_push push = { n };
		bool grows = e->division == 0 || e->division > n;

		if (c == NULL || e->pushed == n ||
		    (grows && least_division(l, e) < n))
			continue;
		e->pushed = n;
		/* What it may hold from now on; a smaller part holds once it
		 * is acknowledged. */
		if (grows)
			e->division = n;
		proto_send(c->link, FRAME_DIVISOR, &push);
	}
}

void
targets_divided(struct leader *l, struct client *c)
{
	struct lentry *e = c->entry_id == 0
	    ? NULL
	    : g_hash_table_lookup(l->entries, GUINT_TO_POINTER(c->entry_id));

	if (e == NULL || c->division != e->pushed || e->division == e->pushed)
		return;
	e->division = e->pushed;
	targets_divide(l);
}
