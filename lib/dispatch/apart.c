/* Separation of the tasks that are suspected of having crashed workers. */
#include "impl.h"

/* Suspicion from which a run shares its worker with no run of another job that
 * is suspected as much, and is isolated if there is room. */
#define ISOLATED_SUSPICION 2
#define ISOLATION_MS 30000 /* a run that has run for so long is cleared */
/* Suspects avoid workers that crashed within this time. */
#define RESTART_AVOID_MS 20000
/* How long a suspected task waits for a worker apart from other suspects, and
 * an isolated one for a worker of its own. */
#define APART_WAIT_MS 300
#define ALONE_WAIT_MS 1500
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

static bool
has_restarted(const struct holder *h, int64_t now)
{
	return h->restarted_ms != 0 && now - h->restarted_ms < RESTART_AVOID_MS;
}

bool
apart_allows(
    const struct holder *h, uint64_t job, struct apartness apart, int64_t now)
{
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
		    is_isolated(r, now))
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
apart_may_relax(
    struct round *rd, const struct pending_step *p, enum separation wanted)
{
	struct step_permits *state =
	    step_permits_get(rd->d, p->job, p->occurrence->number, p->step);

	if (state->apart_until_ms == 0)
		state->apart_until_ms = rd->now +
		    (wanted == SEPARATE_ALL ? ALONE_WAIT_MS : APART_WAIT_MS);
	return rd->now >= state->apart_until_ms;
}

void
apart_stop_waiting(struct round *rd, const struct pending_step *p)
{
	step_permits_get(rd->d, p->job, p->occurrence->number, p->step)
	    ->apart_until_ms = 0;
}
