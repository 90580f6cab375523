/* Placement of one step: which tasks start where, and what is done for those
 * that find no room. */
#include "impl.h"

/* Reserves resources for a task; its start is proposed at the round's end. */
static void
reserve(struct round *rd, const struct pending_step *p, uint32_t index,
    uint32_t number, uint32_t worker, const char *permit)
{
	struct flow_start s = { .id = { p->job->id, p->occurrence->number,
				    p->step, index, number },
		.worker = worker };
	struct active_run *r = run_add(rd->d, holder_find(rd->d, worker), &s.id,
	    flow_job_step(p->job, p->step));

	r->permit = g_strdup(permit);
	g_array_append_val(rd->starts, s);
}

/* All members of a gang get the same run number, above all earlier ones. */
static uint32_t
next_run_number(const struct flow_step_state *st, bool gang, uint32_t index)
{
	uint32_t number = st->tasks[index].last_run;

	for (uint32_t i = 0; gang && i < st->count; i++)
		number = MAX(number, st->tasks[i].last_run);
	return number + 1;
}

/* Says whether a task is one of those to place now: a gang is placed as a
 * whole, other tasks with those that want the same separation. */
static bool
is_to_place(const struct round *rd, const struct pending_step *p,
    uint32_t index, enum separation wanted)
{
	const struct flow_task *task =
	    &p->occurrence->steps[p->step].tasks[index];

	return task_waits(rd, p->job, p->occurrence, p->step, index) &&
	    (flow_job_step(p->job, p->step)->gang ||
		apart_wanted(task) == wanted);
}

/* A gang ends with its slowest member. Its starts are those from first on. */
static void
use_slowest(const struct round *rd, guint first)
{
	double slowest = 0;

	for (int pass = 0; pass < 2; pass++)
		for (guint i = first; i < rd->starts->len; i++) {
			struct active_run *r = run_find(rd->d,
			    &g_array_index(rd->starts, struct flow_start, i)
				 .id);

			slowest = MAX(slowest, r->multiplier);
			r->multiplier = slowest;
		}
}

/* Places the tasks of a step that fit; returns how many. */
static uint32_t
place_tasks(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted, GPtrArray *workers,
    const struct step_permits *permits)
{
	const struct flow_step_state *st = &p->occurrence->steps[p->step];
	uint32_t *pick = g_new(uint32_t, request->count);
	uint32_t placed = plan_place(
	    (struct plan_worker **)workers->pdata, workers->len, request, pick);
	uint32_t done = 0;

	for (uint32_t i = 0; rd->picks != NULL && i < placed; i++)
		g_ptr_array_add(rd->picks, workers->pdata[pick[i]]);
	for (uint32_t i = 0;
	     rd->picks == NULL && done < placed && i < st->count; i++) {
		struct plan_worker *w = workers->pdata[pick[done]];

		if (!is_to_place(rd, p, i, wanted))
			continue;
		reserve(rd, p, i, next_run_number(st, request->gang, i),
		    w->worker,
		    permits == NULL
			? NULL
			: permit_find_valid(permits, w->worker, rd->now));
		done++;
	}
	if (done > 0 && request->gang && rd->d->speeds_in_effect)
		use_slowest(rd, rd->starts->len - done);
	g_free(pick);
	return placed;
}

static void
place_apart(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted,
    struct apartness apart, const struct step_permits *permits)
{
	GPtrArray *workers = permits == NULL
	    ? candidates_allowed(rd, p, apart)
	    : candidates_permitted(rd, p, permits, apart);

	if (workers->len > 0)
		request->count -=
		    place_tasks(rd, p, request, wanted, workers, permits);
	g_ptr_array_unref(workers);
}

/* Places the waiting tasks that want a separation; after a while also with
 * less. Returns how many are left over. */
static uint32_t
place_separate(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted,
    const struct step_permits *permits)
{
	enum separation least =
	    rd->isolating ? SEPARATE_NONE : SEPARATE_ISOLATED;
	bool suspects = wanted > SEPARATE_ISOLATED;
	bool failed = retry_has_failed(rd, p);
	uint32_t count = request->count;

	for (int s = wanted; s >= (int)least && request->count > 0; s--) {
		struct apartness apart = { .from = (enum separation)s,
			.avoid_restarted = suspects,
			.avoid_failed = failed };

		if (s != (int)wanted &&
		    !apart_may_relax(rd, p, wanted, (enum separation)s))
			break;
		if (suspects || failed)
			place_apart(rd, p, request, wanted, apart, permits);
		apart.avoid_restarted = apart.avoid_failed = false;
		if (request->count > 0)
			place_apart(rd, p, request, wanted, apart, permits);
	}
	if (count > 0 && request->count == 0)
		apart_stop_waiting(rd, p);
	return request->count;
}

/* Says whether other runs may be preempted for a step: if it can still end on
 * time, is long-running, or was passed over for too long. */
static bool
is_urgent(const struct round *rd, const struct pending_step *p)
{
	return p->plan.aged ||
	    plan_tier(&p->plan, rd->cell_now) <= PLAN_ON_TIME;
}

/* Queries the policy service and preempts runs for tasks of a step that could
 * not be placed. */
static void
make_room(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, struct step_permits *permits)
{
	bool query =
	    permits != NULL && permits_can_query(rd->d, permits, rd->now);
	bool preempt = !flow_job_step(p->job, p->step)->best_effort &&
	    is_urgent(rd, p) && preempt_may_search(rd, p);
	GPtrArray *workers;

	speeds_log_wait(rd, p, request);
	if (!query && !preempt)
		return;
	workers = candidates_allowed(
	    rd, p, (struct apartness){ .from = apart_least(rd, p) });
	plan_sort_by_speed(
	    (struct plan_worker **)workers->pdata, workers->len, request);
	if (query) {
		permits_query(rd->d, permits, request, workers, false, rd->now);
		if (request->gang)
			permits_learn(
			    rd->d, permits, request, workers, rd->now);
	}
	if (preempt)
		preempt_for_step(rd, p, request, workers, permits);
	g_ptr_array_unref(workers);
}

/* Says whether the workers would have room for a step if nothing else ran. */
static bool
is_placeable(const struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);
	uint32_t need = request->gang ? request->count : 1;
	uint32_t fit = 0;

	for (guint i = 0; i < rd->workers->len && fit < need; i++) {
		const struct round_worker *w = rd->workers->pdata[i];
		struct plan_worker empty = w->plan;

		empty.free = empty.capacity;
		empty.step_tasks = 0;
		empty.task_limit = request->count;
		if (strcmp(w->worker->pool, p->job->queue->pool) == 0 &&
		    has_label(w->worker, step->label))
			fit += plan_fit_count(&empty, request);
	}
	return fit >= need;
}

/* Keeps room under the cap for tasks that are about to start. */
static void
claim_room(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, const struct step_permits *permits)
{
	if (p->organisation != NULL &&
	    ((permits != NULL && permits->queries->len > 0) ||
		preempt_has_reservation(rd, p)))
		organisation_claim(p->organisation, request);
}

static struct plan_request
request_of(struct round *rd, const struct pending_step *p)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);

	return (struct plan_request){ .per_task = run_resources(step),
		.gang = step->gang,
		.colocated = step->colocated,
		.data_rack = rack_number(rd->d, step->data_rack),
		.far_factor = rd->d->conf.far_factor,
		.max_per_worker = step->max_per_worker };
}

static struct step_permits *
permits_of(struct round *rd, const struct pending_step *p)
{
	return p->job->queue->needs_permit
	    ? step_permits_get(rd->d, p->job, p->occurrence->number, p->step)
	    : NULL;
}

/* Places the waiting tasks that the cap has room for, and at most due. Returns
 * how many of them are left over; over_cap: how many tasks the cap has no room
 * for. */
static uint32_t
place_waiting(struct round *rd, const struct pending_step *p,
    struct plan_request *request, const uint32_t waiting[SEPARATE_ALL + 1],
    uint32_t due, const struct step_permits *permits, uint32_t *over_cap)
{
	uint32_t room = organisation_room(p->organisation, request);
	uint32_t left = 0;

	*over_cap = request->count - room;
	room = MIN(room, due);
	for (int s = SEPARATE_ISOLATED; s <= SEPARATE_ALL; s++) {
		request->count = MIN(waiting[s], room);
		room -= request->count;
		left +=
		    place_separate(rd, p, request, (enum separation)s, permits);
	}
	return left;
}

struct round_trial
place_try(struct round *rd, const struct pending_step *p)
{
	uint32_t waiting[SEPARATE_ALL + 1] = { 0 };
	struct round_trial out = { .request = request_of(rd, p) };

	out.request.count = out.tasks = count_waiting(rd, p, waiting);
	if (out.tasks == 0)
		return out;
	speeds_describe_step(rd, p, &out.request);
	out.left = place_waiting(rd, p, &out.request, waiting, UINT32_MAX,
	    permits_of(rd, p), &out.over_cap);
	out.may_preempt = out.left > 0 &&
	    !flow_job_step(p->job, p->step)->best_effort && is_urgent(rd, p);
	out.request.count =
	    out.left + out.over_cap > 0 ? out.left + out.over_cap : out.tasks;
	return out;
}

void
place_step(struct round *rd, struct pending_step *p, uint32_t due)
{
	struct plan_request request = request_of(rd, p);
	struct step_permits *permits;
	uint32_t waiting[SEPARATE_ALL + 1] = { 0 };
	uint32_t left;
	uint32_t over_cap;

	if (p->ahead) {
		request.count = count_waiting(rd, p, waiting);
		speeds_describe_step(rd, p, &request);
		ahead_query(rd, p, &request);
		return;
	}
	p->tried = true;
	if (!resources_fit(&request.per_task, &rd->largest_free) &&
	    !is_urgent(rd, p)) {
		organisation_lacks_room(rd, p);
		return;
	}
	request.count = count_waiting(rd, p, waiting);
	if (request.count == 0)
		return;
	p->tried = due >= request.count;
	speeds_describe_step(rd, p, &request);
	permits = permits_of(rd, p);
	left = place_waiting(rd, p, &request, waiting, due, permits, &over_cap);
	if (left == 0) {
		preempt_release_workers(rd->d, p);
		request.count = over_cap;
		if (over_cap > 0)
			organisation_step_waits(rd, p, &request,
			    p->organisation->held ||
				is_placeable(rd, p, &request));
		return;
	}
	request.count = left;
	organisation_lacks_room(rd, p);
	make_room(rd, p, &request, permits);
	claim_room(rd, p, &request, permits);
}
