/* Separation of the tasks that are suspected of having crashed workers. */
#include <string.h>

#include "impl.h"

/* Suspicion from which a run shares its worker with no run of another job that
 * is suspected as much, and is isolated if there is room. */
#define ISOLATED_SUSPICION 2
#define ISOLATION_MS 30000 /* a run that has run for so long is cleared */
/* Suspects avoid workers that crashed within this time. */
#define RESTART_AVOID_MS 20000
/*
 * Isolated runs keep at most this share of a pool's capacity from others, or
 * one worker. A step has to start if the pool has room for it twice over and
 * less than half is in use, so a quarter is left for it.
 */
#define ISOLATED_SHARE 0.25
/* How long a suspected task waits for a worker apart from other suspects, an
 * isolated one for a worker of its own, and any task for a worker without
 * isolated runs. */
#define APART_WAIT_MS 300
#define ALONE_WAIT_MS 1500
#define ISOLATION_WAIT_MS 1500
/* A task that may have crashed too many workers waits until that is known, but
 * not longer than this since its last start; after FLOW_CRASHES_MAX losses
 * until their records are removed. */
#define SUSPECT_WAIT_MS 15000

enum separation
apart_wanted(const struct flow_task *task)
{
	uint32_t suspicion = flow_task_suspicion(task);

	if (suspicion >= ISOLATED_SUSPICION)
		return SEPARATE_ALL;
	return suspicion > 0 ? SEPARATE_SUSPECTS : SEPARATE_ISOLATED;
}

static bool
is_isolated(const struct active_run *r, int64_t now)
{
	return r->suspicion >= ISOLATED_SUSPICION &&
	    (r->started_ms == 0 || now - r->started_ms < ISOLATION_MS);
}

/* A worker with isolated runs, in a round. */
struct isolating {
	struct round_worker *worker;
	int64_t started_ms; /* of the latest of these runs */
};

/* Pools together, and in them the latest starts first. */
static int
compare_isolating(gconstpointer a, gconstpointer b)
{
	const struct isolating *x = a;
	const struct isolating *y = b;
	int order = strcmp(x->worker->worker->pool, y->worker->worker->pool);

	if (order != 0)
		return order;
	return (x->started_ms < y->started_ms) -
	    (x->started_ms > y->started_ms);
}

static void
collect_isolating(struct round *rd, GArray *out)
{
	for (guint i = 0; i < rd->workers->len; i++) {
		struct isolating e = { .worker = rd->workers->pdata[i] };
		const struct holder *h = e.worker->holder;

		for (guint j = 0; h->suspects > 0 && j < h->runs->len; j++) {
			const struct active_run *r = h->runs->pdata[j];

			if (is_isolated(r, rd->now))
				e.started_ms = MAX(e.started_ms,
				    r->started_ms == 0 ? rd->now
						       : r->started_ms);
		}
		if (e.started_ms != 0)
			g_array_append_val(out, e);
	}
}

static int64_t
pool_millicpus(const struct round *rd, const char *pool)
{
	int64_t sum = 0;

	for (guint i = 0; i < rd->workers->len; i++) {
		const struct round_worker *w = rd->workers->pdata[i];

		if (strcmp(w->worker->pool, pool) == 0)
			sum += w->plan.capacity.millicpus;
	}
	return sum;
}

/* Logs the number of workers that isolated runs have to share, if it changes.
 */
static void
log_shared(struct dispatch *d, guint isolating, guint shared)
{
	if (shared == d->shared_workers)
		return;
	d->shared_workers = shared;
	log_info("dispatch", "event=isolation-limited workers=%u shared=%u",
	    isolating, shared);
}

void
apart_limit_isolation(struct round *rd)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct isolating));
	const char *pool = NULL;
	int64_t kept = 0;
	int64_t limit = 0;
	guint shared = 0;

	collect_isolating(rd, all);
	g_array_sort(all, compare_isolating);
	for (guint i = 0; i < all->len; i++) {
		struct round_worker *w =
		    g_array_index(all, struct isolating, i).worker;

		if (pool == NULL || strcmp(pool, w->worker->pool) != 0) {
			pool = w->worker->pool;
			kept = 0;
			limit = (int64_t)(ISOLATED_SHARE *
			    (double)pool_millicpus(rd, pool));
		}
		w->shared =
		    kept > 0 && kept + w->plan.capacity.millicpus > limit;
		kept += w->shared ? 0 : w->plan.capacity.millicpus;
		shared += w->shared;
	}
	rd->isolating = all->len > shared;
	log_shared(rd->d, all->len, shared);
	g_array_unref(all);
}

static bool
has_restarted(const struct holder *h, int64_t now)
{
	return h->restarted_ms != 0 && now - h->restarted_ms < RESTART_AVOID_MS;
}

bool
apart_allows(
    const struct holder *h, uint64_t job, struct apartness apart, int64_t now)
{
	bool shared = apart.from == SEPARATE_NONE ||
	    (h->in_round != NULL && h->in_round->shared);

	if (apart.avoid_restarted && has_restarted(h, now))
		return false;
	if (apart.from != SEPARATE_ALL && h->suspects == 0)
		return true;
	for (guint i = 0; i < h->runs->len; i++) {
		const struct active_run *r = h->runs->pdata[i];

		if (r->id.job == job)
			continue;
		if (apart.from == SEPARATE_ALL ||
		    (apart.from == SEPARATE_SUSPECTS && r->suspicion > 0) ||
		    (!shared && is_isolated(r, now)))
			return false;
	}
	return true;
}

bool
apart_holds_back(const struct round *rd, const struct flow_step *step,
    const struct flow_task *task)
{
	/* A long-running task has to be at work again within seconds. */
	if (step->long_running || !flow_task_may_be_given_up(task))
		return false;
	return rd->cell_now - task->assigned_ms < SUSPECT_WAIT_MS ||
	    flow_task_suspicion(task) + task->explained_crashes >=
	    FLOW_CRASHES_MAX;
}

bool
apart_may_relax(struct round *rd, const struct pending_step *p,
    enum separation wanted, enum separation less)
{
	struct step_permits *state =
	    step_permits_get(rd->d, p->job, p->occurrence->number, p->step);
	int64_t wait_ms =
	    wanted == SEPARATE_ALL ? ALONE_WAIT_MS : APART_WAIT_MS;

	if (less == SEPARATE_NONE)
		wait_ms = ISOLATION_WAIT_MS;
	if (state->apart_since_ms == 0)
		state->apart_since_ms = rd->now;
	return rd->now - state->apart_since_ms >= wait_ms;
}

enum separation
apart_least(const struct round *rd, const struct pending_step *p)
{
	const struct step_permits *state =
	    step_permits_find(rd->d, p->job, p->occurrence->number, p->step);

	return state != NULL && state->apart_since_ms != 0 &&
		rd->now - state->apart_since_ms >= ISOLATION_WAIT_MS
	    ? SEPARATE_NONE
	    : SEPARATE_ISOLATED;
}

void
apart_stop_waiting(const struct round *rd, const struct pending_step *p)
{
	struct step_permits *state =
	    step_permits_find(rd->d, p->job, p->occurrence->number, p->step);

	if (state != NULL)
		state->apart_since_ms = 0;
}
