/* Workers on the leader: homes, silence, leases that have run out. */
#include <string.h>

#include "leader_impl.h"

#define EVICT_MS 3000 /* calls to a leaving worker's services end first */
#define MOVES_MAX 8 /* homes that move in one look */

struct lworker *
workers_find(const struct leader *l, uint32_t id)
{
	return g_hash_table_lookup(l->workers, GUINT_TO_POINTER(id));
}

/* Mirrors a worker into the placement tables. */
static void
mirror(struct leader *l, const struct cell_worker *w, const struct lworker *lw)
{
	struct sched_worker sw = { .id = w->id,
		.capacity = w->capacity,
		.slots = w->slots,
		.rack = leader_handle(l->racks, w->rack),
		.data_center = leader_handle(l->data_centers, w->data_center) };

	/* One more than it runs: a probe. */
	if (lw->probing)
		sw.slots = MIN(w->slots, w->running + 1);
	if (w->state == WORKER_DRAINING)
		sw.flags |= SCHED_DRAINING;
	if (w->set_aside)
		sw.flags |= SCHED_EXCLUDED;
	if (lw->silent || lw->lapsed_ms != 0 ||
	    client_by_entry(l, w->home) == NULL || w->state == WORKER_LOST)
		sw.flags |= SCHED_SUSPECT;
	sched_worker_set(l->sched, &sw);
	l->dirty = true;
}

void
workers_mirror(struct leader *l, uint32_t id)
{
	const struct cell_worker *w = cell_worker(l->cell, id);
	struct lworker *lw = workers_find(l, id);

	if (w != NULL && lw != NULL)
		mirror(l, w, lw);
}

void
workers_refresh(struct leader *l, uint32_t id)
{
	const struct lworker *lw = workers_find(l, id);

	if (lw != NULL && lw->probing)
		workers_mirror(l, id);
}

static void
push(struct leader *l, uint32_t entry, const struct cell_worker *w, bool gone)
{
	struct client *c = client_by_entry(l, entry);
	struct worker_push p = { .worker = w->id,
		.gone = gone,
		.name = w->name,
		.address = w->address,
		.incarnation = w->incarnation,
		.epoch = w->epoch,
		.draining = w->state == WORKER_DRAINING };

	if (c == NULL)
		return;
	proto_send(c->link, FRAME_WORKER, &p);
	if (!gone)
		orders_resend(l, c, w->id);
}

static struct lworker *
note(struct leader *l, const struct cell_worker *w)
{
	struct lworker *lw = g_new0(struct lworker, 1);

	lw->id = w->id;
	lw->home = w->home;
	lw->epoch = w->epoch;
	g_hash_table_insert(l->workers, GUINT_TO_POINTER(w->id), lw);
	return lw;
}

void
workers_changed(void *arg, uint32_t worker)
{
	struct leader *l = arg;
	const struct cell_worker *w = cell_worker(l->cell, worker);
	struct lworker *lw = workers_find(l, worker);
	uint32_t old = lw == NULL ? 0 : lw->home;

	if (w == NULL)
		return;
	if (lw == NULL)
		lw = note(l, w);
	if (old != 0 && old != w->home)
		push(l, old, w, true);
	if (lw->epoch != w->epoch) {
		/* A new session: what was known of the old one is void. */
		lw->epoch = w->epoch;
		lw->silent = false;
		lw->lapsed_ms = 0;
		lw->closing = false;
	}
	lw->moving = false;
	if (w->state != WORKER_DRAINING)
		lw->draining_ms = 0;
	else if (lw->draining_ms == 0)
		lw->draining_ms = mono_ms();
	lw->home = w->home;
	mirror(l, w, lw);
	if (w->state != WORKER_UP)
		targets_worker(l, w);
	if (w->state == WORKER_LOST)
		push(l, w->home, w, true);
	else
		push(l, w->home, w, false);
}

void
workers_entry_changed(void *arg, uint32_t entry, bool gone)
{
	struct leader *l = arg;
	struct lentry *e =
	    g_hash_table_lookup(l->entries, GUINT_TO_POINTER(entry));
	struct client *c = client_by_entry(l, entry);
	struct joined again = { .accepted = false,
		.leader = l->node->conf.name };

	if (gone) {
		log_info("leader", "entry %s is gone: its grant has run out",
		    cell_entry(l->cell, entry)->name);
		g_hash_table_remove(l->entries, GUINT_TO_POINTER(entry));
		targets_divide(l);
		if (c == NULL)
			return;
		/* It was only late: it has to join anew. */
		c->joined = false;
		c->entry_id = 0;
		proto_send(c->link, FRAME_JOINED, &again);
		return;
	}
	if (e == NULL) {
		e = g_new0(struct lentry, 1);
		e->id = entry;
		/* Until it says which part it holds it may hold all. */
		e->division = 1;
		g_hash_table_insert(l->entries, GUINT_TO_POINTER(entry), e);
	}
	/* An earlier leader, or an earlier process of the entry, may have had
	 * a grant until just now. */
	e->granted_until =
	    MAX(e->granted_until, mono_ms() + with_drift(GRANT_MS) + REPORT_MS);
	e->gone_proposed = false;
}

static bool
load_worker(void *arg, const struct cell_worker *w)
{
	struct leader *l = arg;

	mirror(l, w, note(l, w));
	return true;
}

void
workers_load(struct leader *l)
{
	cell_each_worker(l->cell, load_worker, l);
}

struct homed {
	struct leader *leader;
	uint32_t entry;
};

static bool
mirror_homed(void *arg, const struct cell_worker *w)
{
	struct homed *h = arg;
	struct lworker *lw = workers_find(h->leader, w->id);

	if (w->home == h->entry && lw != NULL)
		mirror(h->leader, w, lw);
	return true;
}

void
workers_home_link(struct leader *l, uint32_t entry)
{
	struct homed h = { l, entry };

	if (entry != 0)
		cell_each_worker(l->cell, mirror_homed, &h);
}

static bool
push_homed(void *arg, const struct cell_worker *w)
{
	struct homed *p = arg;

	if (w->home == p->entry && w->state != WORKER_LOST)
		push(p->leader, p->entry, w, false);
	return true;
}

void
workers_push_all(struct leader *l, struct client *c)
{
	struct homed p = { l, c->entry_id };

	workers_home_link(l, c->entry_id);
	cell_each_worker(l->cell, push_homed, &p);
}

/* Rendezvous hashing: each worker ranks the entries by its own hash. */
static uint64_t
rank(const char *worker, const char *entry)
{
	char *both = g_strconcat(worker, "\n", entry, NULL);
	uint64_t h = hash64(both, strlen(both));

	g_free(both);
	return h;
}

uint32_t
workers_choose_home(
    struct leader *l, const char *name, const char *data_center, uint32_t avoid)
{
	const struct client *best = NULL;
	bool best_near = false;
	uint64_t best_rank = 0;

	for (guint i = 0; i < l->clients->len; i++) {
		const struct client *c = l->clients->pdata[i];
		bool near = g_strcmp0(c->data_center, data_center) == 0;
		uint64_t r;

		if (!c->joined || c->entry_id == 0 || c->draining ||
		    c->entry_id == avoid)
			continue;
		r = rank(name, c->name);
		if (best != NULL &&
		    (near != best_near ? best_near : r <= best_rank))
			continue;
		best = c;
		best_near = near;
		best_rank = r;
	}
	return best == NULL ? 0 : best->entry_id;
}

/* Proposes another home for a worker; it gets a new epoch with it. */
static void
move(struct leader *l, const struct cell_worker *w, struct lworker *lw,
    uint32_t avoid)
{
	struct cell_cmd cmd = { .type = CMD_WORKER };
	uint32_t home = workers_choose_home(l, w->name, w->data_center, avoid);

	if (home == 0 || home == w->home || lw->moving)
		return;
	cmd.u.announce.worker = *w;
	cmd.u.announce.worker.home = home;
	lw->moving = leader_propose(l, &cmd) != 0;
}

static bool
leave_one(void *arg, const struct cell_worker *w)
{
	struct homed *leave = arg;
	struct lworker *lw = workers_find(leave->leader, w->id);

	if (w->home == leave->entry && lw != NULL && w->state != WORKER_LOST)
		move(leave->leader, w, lw, leave->entry);
	return true;
}

void
workers_leave_home(struct leader *l, uint32_t entry)
{
	struct homed leave = { l, entry };

	cell_each_worker(l->cell, leave_one, &leave);
}

/* Gives a worker a new epoch at its home: older orders are void with it. */
static void
refence(struct leader *l, const struct cell_worker *w, struct lworker *lw)
{
	struct cell_cmd cmd = { .type = CMD_WORKER };

	if (lw->moving || lw->lapsed_ms != 0)
		return;
	cmd.u.announce.worker = *w;
	cmd.u.announce.new_epoch = true;
	lw->moving = leader_propose(l, &cmd) != 0;
}

void
workers_health(
    struct leader *l, struct client *c, const struct health_report *report)
{
	struct lworker *lw = workers_find(l, report->worker);
	const struct cell_worker *w = cell_worker(l->cell, report->worker);

	if (lw == NULL || w == NULL || lw->epoch != report->epoch ||
	    lw->home != c->entry_id)
		return;
	if (report->health == HEALTH_RENEW_EPOCH) {
		refence(l, w, lw);
		return;
	}
	if (report->health == HEALTH_EXPIRED && lw->lapsed_ms == 0) {
		lw->lapsed_ms = mono_ms();
		lw->renewed_ms = lw->lapsed_ms - report->silent_ms;
	}
	lw->silent = report->health != HEALTH_RESPONSIVE;
	if (report->health != HEALTH_RESPONSIVE)
		log_info("leader", "worker %s is %s", w->name,
		    report->health == HEALTH_SILENT ? "silent"
						    : "past its lease");
	mirror(l, w, lw);
}

/* Frees what a lapsed worker held, each kind when its lease is over. */
struct lapse {
	struct leader *leader;
	const struct lworker *worker;
	int64_t now;
	int held;
};

static bool
lapse_one(void *arg, const struct cell_job *job, uint32_t task)
{
	struct lapse *lapse = arg;
	const struct lattempt *a = orders_find(lapse->leader, job->id, task);
	/* A start that is not confirmed may have been taken until the lapse,
	 * and its lease counted from there. */
	int64_t from = a != NULL && a->confirmed ? lapse->worker->renewed_ms
						 : lapse->worker->lapsed_ms;

	if (lapse->now >= from + with_drift(job->task[task].lease_ms))
		orders_lost(lapse->leader, job, task);
	lapse->held++;
	return true;
}

static void
scan_lapsed(struct leader *l, struct lworker *lw, int64_t now)
{
	struct lapse lapse = { l, lw, now, 0 };
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };
	const struct cell_worker *w = cell_worker(l->cell, lw->id);

	if (w == NULL || w->state == WORKER_LOST)
		return;
	cell_each_attempt(l->cell, lw->id, lapse_one, &lapse);
	/* Its session is over on its own clock too, however slow that is. */
	if (lapse.held > 0 || lw->closing ||
	    now < lw->lapsed_ms +
		    with_drift(config_shortest_lease(leader_config(l))) -
		    config_shortest_lease(leader_config(l)))
		return;
	cmd.u.worker_state.worker = lw->id;
	cmd.u.worker_state.epoch = lw->epoch;
	cmd.u.worker_state.state = WORKER_LOST;
	lw->closing = leader_propose(l, &cmd) != 0;
}

/* A worker without a home gets one; until then its lease runs out. */
static void
scan_homeless(struct leader *l, struct lworker *lw, int64_t now)
{
	const struct cell_worker *w = cell_worker(l->cell, lw->id);

	if (w == NULL || w->state == WORKER_LOST || w->home != 0)
		return;
	move(l, w, lw, 0);
	if (lw->moving || lw->lapsed_ms != 0)
		return;
	/* Its home may have renewed it until its own grant ended. */
	lw->renewed_ms = now + with_drift(GRANT_MS);
	lw->lapsed_ms = lw->renewed_ms +
	    with_drift(config_shortest_lease(leader_config(l)));
}

/* Moves one service task at a time off a worker that leaves, once calls that
 * were on their way to it have been answered. */
static bool
evict_one(void *arg, const struct cell_job *job, uint32_t task)
{
	struct leader *l = arg;
	struct cell_cmd cmd = { .type = CMD_PREEMPT };

	if (job->spec.kind != KIND_SERVICE)
		return true;
	if (job->task[task].state != TASK_ASSIGNED)
		return false;
	cmd.u.preempt.job = job->id;
	cmd.u.preempt.task = task;
	cmd.u.preempt.attempt = job->task[task].attempt;
	(void)leader_propose(l, &cmd);
	return false;
}

static void
scan_draining(struct leader *l, const struct lworker *lw, int64_t now)
{
	if (now - lw->draining_ms >= EVICT_MS)
		cell_each_attempt(l->cell, lw->id, evict_one, l);
}

/* After an entry has joined, a few homes at a time move to where rendezvous
 * hashing puts them now. */
static void
rebalance(struct leader *l)
{
	GHashTableIter iter;
	gpointer value;
	int moves = 0;

	g_hash_table_iter_init(&iter, l->workers);
	while (
	    moves < MOVES_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lworker *lw = value;
		const struct cell_worker *w = cell_worker(l->cell, lw->id);

		if (w == NULL || w->state != WORKER_UP || lw->silent ||
		    lw->moving || lw->lapsed_ms != 0)
			continue;
		move(l, w, lw, 0);
		moves += lw->moving;
	}
	l->rebalance = moves > 0;
}

void
workers_scan(struct leader *l, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lworker *lw = value;

		if (lw->home == 0)
			scan_homeless(l, lw, now);
		if (lw->draining_ms != 0)
			scan_draining(l, lw, now);
		if (lw->lapsed_ms != 0 && now >= lw->lapsed_ms)
			scan_lapsed(l, lw, now);
	}
	if (l->rebalance)
		rebalance(l);
}
