/* Workers: choice of home, health reports, expired leases and draining. */
#include <string.h>

#include "leader_impl.h"

/* Calls in progress to a draining worker end before its service tasks. */
#define EVICT_DELAY_MS 3000
#define HOME_MOVES_MAX 8 /* workers that change homes in one scan */

struct leader_worker *
workers_find(const struct leader *l, uint32_t id)
{
	return g_hash_table_lookup(l->workers, GUINT_TO_POINTER(id));
}

/* Copies a worker's state to the scheduler. */
static void
update_sched(struct leader *l, const struct cell_worker *w,
    const struct leader_worker *lw)
{
	struct sched_worker sw = { .id = w->id,
		.capacity = w->capacity,
		.slots = w->slots,
		.rack = leader_intern_name(l->rack_handles, w->rack),
		.data_center = leader_intern_name(
		    l->data_center_handles, w->data_center) };

	/* A probing worker gets one task more than it runs. */
	if (lw->probing)
		sw.slots = MIN(w->slots, w->running + 1);
	if (w->state == WORKER_DRAINING)
		sw.flags |= SCHED_DRAINING;
	if (w->set_aside)
		sw.flags |= SCHED_SET_ASIDE;
	if (lw->silent || lw->session_expired_ms != 0 ||
	    client_by_entry(l, w->home) == NULL || w->state == WORKER_LOST)
		sw.flags |= SCHED_SUSPECT;
	sched_worker_set(l->sched, &sw);
	l->dirty = true;
}

void
workers_update_sched(struct leader *l, uint32_t id)
{
	const struct cell_worker *w = cell_worker(l->cell, id);
	struct leader_worker *lw = workers_find(l, id);

	if (w != NULL && lw != NULL)
		update_sched(l, w, lw);
}

void
workers_update_sched_probing(struct leader *l, uint32_t id)
{
	const struct leader_worker *lw = workers_find(l, id);

	if (lw != NULL && lw->probing)
		workers_update_sched(l, id);
}

static void
send_worker(
    struct leader *l, uint32_t entry, const struct cell_worker *w, bool removed)
{
	struct client *c = client_by_entry(l, entry);
	struct worker_push p = { .worker = w->id,
		.gone = removed,
		.name = w->name,
		.address = w->address,
		.incarnation = w->incarnation,
		.epoch = w->epoch,
		.draining = w->state == WORKER_DRAINING };

	if (c == NULL)
		return;
	proto_send(c->link, FRAME_WORKER, &p);
	if (!removed)
		orders_resend(l, c, w->id);
}

static struct leader_worker *
add_worker(struct leader *l, const struct cell_worker *w)
{
	struct leader_worker *lw = g_new0(struct leader_worker, 1);

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
	struct leader_worker *lw = workers_find(l, worker);
	uint32_t old = lw == NULL ? 0 : lw->home;

	if (w == NULL)
		return;
	if (lw == NULL)
		lw = add_worker(l, w);
	if (old != 0 && old != w->home)
		send_worker(l, old, w, true);
	if (lw->epoch != w->epoch) {
		/* A new session: the state of the old one does not apply. */
		lw->epoch = w->epoch;
		lw->silent = lw->unreached = false;
		lw->session_expired_ms = 0;
		lw->loss_proposed = false;
	}
	lw->update_proposed = false;
	if (w->state != WORKER_DRAINING)
		lw->draining_since_ms = 0;
	else if (lw->draining_since_ms == 0)
		lw->draining_since_ms = mono_ms();
	lw->home = w->home;
	update_sched(l, w, lw);
	if (w->state != WORKER_UP)
		targets_worker_changed(l, w);
	if (w->state == WORKER_LOST)
		send_worker(l, w->home, w, true);
	else
		send_worker(l, w->home, w, false);
}

void
workers_entry_changed(void *arg, uint32_t entry, bool removed)
{
	struct leader *l = arg;
	struct leader_entry *e =
	    g_hash_table_lookup(l->entries, GUINT_TO_POINTER(entry));
	struct client *c = client_by_entry(l, entry);
	struct joined rejoin = { .accepted = false,
		.leader = l->node->conf.name };

	if (removed) {
		log_info("leader", "entry %s removed: its grant has expired",
		    cell_entry(l->cell, entry)->name);
		g_hash_table_remove(l->entries, GUINT_TO_POINTER(entry));
		targets_send_divisors(l);
		if (c == NULL)
			return;
		/* Its process still runs, but was too slow: it has to join
		 * again. */
		c->joined = false;
		c->entry_id = 0;
		proto_send(c->link, FRAME_JOINED, &rejoin);
		return;
	}
	if (e == NULL) {
		e = g_new0(struct leader_entry, 1);
		e->id = entry;
		/* Until it reports its divisor it may use all connections. */
		e->divisor = 1;
		g_hash_table_insert(l->entries, GUINT_TO_POINTER(entry), e);
	}
	/* A grant of an earlier leader, or of an earlier process of the entry,
	 * may have been valid until now. */
	e->grant_until_ms = MAX(
	    e->grant_until_ms, mono_ms() + with_drift(GRANT_MS) + REPORT_MS);
	e->removal_proposed = false;
}

static bool
load_worker(void *arg, const struct cell_worker *w)
{
	struct leader *l = arg;

	update_sched(l, w, add_worker(l, w));
	return true;
}

void
workers_load(struct leader *l)
{
	cell_each_worker(l->cell, load_worker, l);
}

struct home_arg {
	struct leader *leader;
	uint32_t entry;
};

static bool
update_sched_if_home(void *arg, const struct cell_worker *w)
{
	struct home_arg *h = arg;
	struct leader_worker *lw = workers_find(h->leader, w->id);

	if (w->home == h->entry && lw != NULL)
		update_sched(h->leader, w, lw);
	return true;
}

void
workers_home_link_changed(struct leader *l, uint32_t entry)
{
	struct home_arg h = { l, entry };

	if (entry != 0)
		cell_each_worker(l->cell, update_sched_if_home, &h);
}

static bool
send_if_home(void *arg, const struct cell_worker *w)
{
	struct home_arg *p = arg;

	if (w->home == p->entry && w->state != WORKER_LOST)
		send_worker(p->leader, p->entry, w, false);
	return true;
}

void
workers_push_all(struct leader *l, struct client *c)
{
	struct home_arg p = { l, c->entry_id };

	workers_home_link_changed(l, c->entry_id);
	cell_each_worker(l->cell, send_if_home, &p);
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

/* Proposes another home for a worker, which also gives it a new epoch. */
static void
propose_move(struct leader *l, const struct cell_worker *w,
    struct leader_worker *lw, uint32_t avoid)
{
	struct cell_cmd cmd = { .type = CMD_WORKER };
	uint32_t home = workers_choose_home(l, w->name, w->data_center, avoid);

	if (home == 0 || home == w->home || lw->update_proposed)
		return;
	cmd.u.announce.worker = *w;
	cmd.u.announce.worker.home = home;
	lw->update_proposed = leader_propose(l, &cmd) != 0;
}

static bool
move_if_home(void *arg, const struct cell_worker *w)
{
	struct home_arg *from = arg;
	struct leader_worker *lw = workers_find(from->leader, w->id);

	if (w->home == from->entry && lw != NULL && w->state != WORKER_LOST)
		propose_move(from->leader, w, lw, from->entry);
	return true;
}

void
workers_drain_home(struct leader *l, uint32_t entry)
{
	struct home_arg from = { l, entry };

	cell_each_worker(l->cell, move_if_home, &from);
}

/* Proposes a new epoch for a worker at its home, so that the worker refuses
 * orders of older epochs. */
static void
renew_epoch(
    struct leader *l, const struct cell_worker *w, struct leader_worker *lw)
{
	struct cell_cmd cmd = { .type = CMD_WORKER };

	if (lw->update_proposed || lw->session_expired_ms != 0)
		return;
	cmd.u.announce.worker = *w;
	cmd.u.announce.new_epoch = true;
	lw->update_proposed = leader_propose(l, &cmd) != 0;
}

static const char *const health_names[] = {
	[HEALTH_RENEW_EPOCH] = "needs a new epoch",
	[HEALTH_SILENT] = "no heartbeat, or answers no request",
	[HEALTH_RESPONSIVE] = "responsive",
	[HEALTH_EXPIRED] = "lease expired",
	[HEALTH_UNREACHED] = "answers no request; its lease is left to expire",
};

void
workers_health_reported(
    struct leader *l, struct client *c, const struct health_report *report)
{
	struct leader_worker *lw = workers_find(l, report->worker);
	const struct cell_worker *w = cell_worker(l->cell, report->worker);

	if (lw == NULL || w == NULL || lw->epoch != report->epoch ||
	    lw->home != c->entry_id ||
	    report->health >= G_N_ELEMENTS(health_names))
		return;
	if (report->health == HEALTH_RENEW_EPOCH) {
		renew_epoch(l, w, lw);
		return;
	}
	if (report->health == HEALTH_EXPIRED && lw->session_expired_ms == 0) {
		lw->session_expired_ms = mono_ms();
		lw->last_renewal_ms =
		    lw->session_expired_ms - report->silent_ms;
	}
	lw->unreached |= report->health == HEALTH_UNREACHED;
	lw->silent = report->health != HEALTH_RESPONSIVE;
	if (report->health != HEALTH_RESPONSIVE)
		log_info("leader", "worker %s: %s", w->name,
		    health_names[report->health]);
	update_sched(l, w, lw);
}

/* Ends the attempts of a worker whose session has expired, each once the lease
 * of its own kind has expired too. */
struct expiry {
	struct leader *leader;
	const struct leader_worker *worker;
	int64_t now;
	int attempts;
};

static bool
expire_attempt(void *arg, const struct cell_job *job, uint32_t task)
{
	struct expiry *expiry = arg;
	const struct leader_attempt *a =
	    orders_find_attempt(expiry->leader, job->id, task);
	/* The worker may have accepted an unconfirmed start until its session
	 * expired, with a lease that counts from then. */
	int64_t from = a != NULL && a->confirmed
	    ? expiry->worker->last_renewal_ms
	    : expiry->worker->session_expired_ms;

	if (expiry->now >= from + with_drift(job->task[task].lease_ms))
		orders_attempt_lost(expiry->leader, job, task);
	expiry->attempts++;
	return true;
}

static void
scan_expired(struct leader *l, struct leader_worker *lw, int64_t now)
{
	struct expiry expiry = { l, lw, now, 0 };
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };
	const struct cell_worker *w = cell_worker(l->cell, lw->id);

	if (w == NULL || w->state == WORKER_LOST)
		return;
	cell_each_attempt(l->cell, lw->id, expire_attempt, &expiry);
	/* Waits until the session has expired by the worker's clock as well,
	 * which may be slow by the allowed drift. */
	if (expiry.attempts > 0 || lw->loss_proposed ||
	    now < lw->session_expired_ms +
		    with_drift(config_shortest_lease(leader_config(l))) -
		    config_shortest_lease(leader_config(l)))
		return;
	cmd.u.worker_state.worker = lw->id;
	cmd.u.worker_state.epoch = lw->epoch;
	cmd.u.worker_state.state = WORKER_LOST;
	lw->loss_proposed = leader_propose(l, &cmd) != 0;
}

/* Gives a worker without a home a new one. If there is none its session will
 * expire. */
static void
scan_without_home(struct leader *l, struct leader_worker *lw, int64_t now)
{
	const struct cell_worker *w = cell_worker(l->cell, lw->id);

	if (w == NULL || w->state == WORKER_LOST || w->home != 0)
		return;
	propose_move(l, w, lw, 0);
	if (lw->update_proposed || lw->session_expired_ms != 0)
		return;
	/* Its home may have renewed the lease until its grant expired. */
	lw->last_renewal_ms = now + with_drift(GRANT_MS);
	lw->session_expired_ms = lw->last_renewal_ms +
	    with_drift(config_shortest_lease(leader_config(l)));
}

/* Preempts the first service task of a draining worker unless it is already
 * stopping, so that these tasks move to other workers one at a time. */
static bool
evict_service_task(void *arg, const struct cell_job *job, uint32_t task)
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
scan_draining(struct leader *l, const struct leader_worker *lw, int64_t now)
{
	if (now - lw->draining_since_ms >= EVICT_DELAY_MS)
		cell_each_attempt(l->cell, lw->id, evict_service_task, l);
}

/* After an entry has joined, moves a few workers at a time to the homes that
 * rendezvous hashing selects now. */
static void
rebalance(struct leader *l)
{
	GHashTableIter iter;
	gpointer value;
	int moves = 0;

	g_hash_table_iter_init(&iter, l->workers);
	while (moves < HOME_MOVES_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leader_worker *lw = value;
		const struct cell_worker *w = cell_worker(l->cell, lw->id);

		if (w == NULL || w->state != WORKER_UP || lw->silent ||
		    lw->update_proposed || lw->session_expired_ms != 0)
			continue;
		propose_move(l, w, lw, 0);
		moves += lw->update_proposed;
	}
	l->rebalance_homes = moves > 0;
}

void
workers_scan(struct leader *l, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leader_worker *lw = value;

		if (lw->home == 0)
			scan_without_home(l, lw, now);
		if (lw->draining_since_ms != 0)
			scan_draining(l, lw, now);
		if (lw->session_expired_ms != 0 &&
		    now >= lw->session_expired_ms)
			scan_expired(l, lw, now);
	}
	if (l->rebalance_homes)
		rebalance(l);
}
