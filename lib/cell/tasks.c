/*
 * Tasks and attempts: the one place where a task's state changes, and what
 * follows from an attempt's start and end.
 */
#include "internal.h"

#define SERVICE_STABLE_MS (10 * 60 * 1000) /* a run after which all is well */

bool
task_held(enum cell_task_state state)
{
	return state == TASK_ASSIGNED || state == TASK_STOPPING;
}

/* Takes a task into the counts of its job (by 1) or out (by -1). */
static void
count_task(struct cell *c, struct job *j, enum cell_task_state state, int by)
{
	bool waited = j->pending > 0;

	if (state == TASK_PENDING)
		j->pending += by;
	if (task_held(state))
		j->held += by;
	j->pub.open = j->pending + j->held;
	if (!waited && j->pending > 0)
		c->pending_jobs++;
	if (waited && j->pending == 0)
		c->pending_jobs--;
}

void
task_set(struct cell *c, struct job *j, uint32_t i, enum cell_task_state state)
{
	struct cell_task *t = &j->pub.task[i];

	if (t->state == state)
		return;
	count_task(c, j, state, 1);
	count_task(c, j, t->state, -1);
	t->state = state;
	if (state == TASK_PENDING) {
		g_clear_pointer(&t->result, g_bytes_unref);
		t->ended_ms = 0;
		return;
	}
	if (!task_held(state))
		t->ended_ms = c->time_ms;
}

static int
compare_slots(const void *a, const void *b)
{
	const struct slot *x = a;
	const struct slot *y = b;

	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->task > y->task) - (x->task < y->task);
}

void
worker_hold(struct worker *w, const struct job *j, uint32_t task)
{
	struct slot s = { .job = j->pub.id, .task = task };
	guint at = 0;

	while (at < w->held->len &&
	    compare_slots(&g_array_index(w->held, struct slot, at), &s) < 0)
		at++;
	g_array_insert_val(w->held, at, s);
	resources_add(&w->pub.used, &j->pub.spec.resources, 1);
	w->pub.running++;
}

void
worker_release(struct worker *w, const struct job *j, uint32_t task)
{
	struct slot s = { .job = j->pub.id, .task = task };
	guint at = 0;

	while (at < w->held->len &&
	    compare_slots(&g_array_index(w->held, struct slot, at), &s) != 0)
		at++;
	g_assert(at < w->held->len);
	g_array_remove_index(w->held, at);
	resources_add(&w->pub.used, &j->pub.spec.resources, -1);
	w->pub.running--;
	if (resources_fit(&w->pub.used, &w->pub.capacity) &&
	    w->pub.running <= w->pub.slots)
		w->over = false;
}

/*
 * A service's attempt may follow another: its declaration asks for so many
 * running at a time, not for one run of a request.
 */
static bool
may_run_again(const struct job *j)
{
	return j->pub.spec.idempotent || j->pub.spec.kind == KIND_SERVICE;
}

static bool
wanted(const struct job *j, uint32_t i)
{
	return !j->pub.cancelled && i < j->pub.want;
}

/* The state after the end of an attempt of a cancelled task. */
static enum cell_task_state
state_if_cancelled(
    const struct job *j, const struct cell_task *t, enum cell_end how)
{
	switch (how) {
	case END_DONE:
		return TASK_DONE;
	case END_FAILED:
		return TASK_FAILED;
	case END_LOST:
		return may_run_again(j) ? TASK_STOPPED : TASK_UNKNOWN;
	default:
		return cancelled_state(t);
	}
}

/* The state after the end of an attempt of a task that is still wanted. */
static enum cell_task_state
state_if_wanted(const struct cell *c, const struct job *j,
    const struct cell_task *t, enum cell_end how)
{
	bool again = may_run_again(j);

	switch (how) {
	case END_DONE:
		/* A declared service is to run until it is removed. */
		return j->pub.from_config ? TASK_PENDING : TASK_DONE;
	case END_FAILED:
		if (j->pub.spec.kind == KIND_SERVICE)
			return TASK_PENDING;
		return again && t->failures <= c->config->policy.retries
		    ? TASK_PENDING
		    : TASK_FAILED;
	case END_NOT_STARTED:
		return TASK_PENDING;
	case END_STOPPED:
		if (again)
			return TASK_PENDING;
		return j->pub.regroup ? TASK_STOPPED : TASK_UNKNOWN;
	default:
		return again ? TASK_PENDING : TASK_UNKNOWN;
	}
}

static enum cell_task_state
next_state(
    const struct cell *c, const struct job *j, uint32_t i, enum cell_end how)
{
	const struct cell_task *t = &j->pub.task[i];
	enum cell_task_state state;

	if (!wanted(j, i))
		return state_if_cancelled(j, t, how);
	state = state_if_wanted(c, j, t, how);
	if (state == TASK_PENDING && j->given_up)
		return expired_state(t);
	return state;
}

/* Says whether all tasks of a stopped gang may wait again. */
static bool
gang_restarts(const struct job *j)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		enum cell_task_state s = j->pub.task[i].state;

		if (s == TASK_PENDING)
			continue;
		if (s != TASK_DONE || !j->pub.spec.idempotent || j->given_up)
			return false;
	}
	return true;
}

/*
 * All attempts of a stopped gang have ended: the whole gang waits again, also
 * its finished tasks, or none of it does.
 */
static void
gang_settle(struct cell *c, struct job *j)
{
	bool again = gang_restarts(j);

	j->pub.regroup = false;
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		struct cell_task *t = &j->pub.task[i];

		if (again)
			task_set(c, j, i, TASK_PENDING);
		else if (t->state == TASK_PENDING)
			task_set(c, j, i, t->ran ? TASK_STOPPED : TASK_NOT_RUN);
	}
	if (again)
		c->watch.pending(c->watch_arg, &j->pub, 0, j->pub.spec.tasks);
}

/* An attempt of a gang has ended otherwise than done. */
static void
gang_broken(struct cell *c, struct job *j)
{
	j->pub.regroup = true;
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
	if (j->held == 0)
		gang_settle(c, j);
}

void
stop_task(struct cell *c, struct job *j, uint32_t i)
{
	if (j->pub.task[i].state != TASK_ASSIGNED)
		return;
	task_set(c, j, i, TASK_STOPPING);
	c->watch.stop(c->watch_arg, &j->pub, i);
}

/*
 * Counts a failed attempt. A declared service is not to end, so any end of its
 * own counts; one that ran long enough starts the count anew.
 */
static void
count_failure(
    struct cell *c, const struct job *j, struct cell_task *t, enum cell_end how)
{
	if (j->pub.spec.kind == KIND_SERVICE &&
	    c->time_ms - t->started_ms >= SERVICE_STABLE_MS)
		t->failures = 0;
	if (how == END_FAILED || (how == END_DONE && j->pub.from_config))
		t->failures++;
}

void
end_attempt(struct cell *c, struct job *j, uint32_t i, enum cell_end how,
    GBytes *result)
{
	struct cell_task *t = &j->pub.task[i];
	uint32_t worker = t->worker;
	bool gang = j->pub.spec.kind == KIND_GANG && !j->pub.cancelled;

	worker_release(find_worker(c, worker), j, i);
	t->worker = 0;
	count_failure(c, j, t, how);
	t->ran = t->ran || how != END_NOT_STARTED;
	t->lost = t->lost || how == END_LOST;
	/* Set before the state is chosen: what a gang's stop leads to. */
	if (gang && how != END_DONE)
		j->pub.regroup = true;
	task_set(c, j, i, next_state(c, j, i, how));
	if (result != NULL &&
	    (t->state == TASK_DONE || t->state == TASK_FAILED))
		t->result = g_bytes_ref(result);
	c->watch.ended(c->watch_arg, &j->pub, i, t->attempt, worker, how);
	if (j->pub.regroup)
		gang_broken(c, j);
	else if (t->state == TASK_PENDING)
		c->watch.pending(c->watch_arg, &j->pub, i, 1);
	job_settle(c, j);
}

void
end_all_lost(struct cell *c, struct worker *w)
{
	while (w->held->len > 0) {
		struct slot s = g_array_index(w->held, struct slot, 0);

		end_attempt(c, find_job(c, s.job), s.task, END_LOST, NULL);
	}
}

void
apply_end(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct job *j = find_job(c, cmd->u.end.job);
	uint32_t i = cmd->u.end.task;
	const struct cell_task *t;

	if (j == NULL || i >= j->pub.spec.tasks)
		return;
	t = &j->pub.task[i];
	if (!task_held(t->state) || t->attempt != cmd->u.end.attempt ||
	    t->worker != cmd->u.end.worker)
		return;
	end_attempt(c, j, i, cmd->u.end.how, cmd->u.end.result);
	res->count = 1;
}

/*
 * Says whether a task may be stopped and started again: idempotent batch work
 * for room, and a service's task when its worker leaves.
 */
static bool
preemptible(const struct cell *c, const struct job *j, uint32_t i)
{
	const struct cell_worker *w = cell_worker(c, j->pub.task[i].worker);

	if (j->pub.spec.kind == KIND_SERVICE)
		return w != NULL && w->state == WORKER_DRAINING;
	return j->pub.spec.kind == KIND_BATCH && j->pub.spec.idempotent;
}

void
apply_preempt(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct job *j = find_job(c, cmd->u.preempt.job);
	uint32_t i = cmd->u.preempt.task;

	if (j == NULL || i >= j->pub.spec.tasks ||
	    j->pub.task[i].state != TASK_ASSIGNED ||
	    j->pub.task[i].attempt != cmd->u.preempt.attempt) {
		result_refuse(res, OUT_CONFLICT, "not-assigned",
		    g_strdup("the attempt is not the task's running one"));
		return;
	}
	if (!preemptible(c, j, i)) {
		result_refuse(res, OUT_INVALID, "not-preemptible",
		    g_strdup("only idempotent batch tasks give way"));
		return;
	}
	stop_task(c, j, i);
	res->count = 1;
}

static bool
has_room(const struct worker *w, const struct resources *need)
{
	struct resources sum = w->pub.used;

	resources_add(&sum, need, 1);
	return resources_fit(&sum, &w->pub.capacity) &&
	    w->pub.running < w->pub.slots;
}

static bool
may_start(const struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);
	struct worker *w = find_worker(c, s->worker);

	if (j == NULL || w == NULL || s->task >= j->pub.spec.tasks)
		return false;
	if (j->pub.task[s->task].state != TASK_PENDING || j->pub.regroup)
		return false;
	if (j->pub.task[s->task].ran && !may_run_again(j))
		return false;
	return w->pub.state == WORKER_UP && !w->pub.set_aside &&
	    has_room(w, &j->pub.spec.resources);
}

/* Books the task's next attempt; the watch is not told yet. */
static void
book_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);
	struct cell_task *t = &j->pub.task[s->task];

	worker_hold(find_worker(c, s->worker), j, s->task);
	task_set(c, j, s->task, TASK_ASSIGNED);
	t->worker = s->worker;
	t->attempt++;
}

/* Takes back what book_start() did. */
static void
unbook_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);
	struct cell_task *t = &j->pub.task[s->task];

	worker_release(find_worker(c, s->worker), j, s->task);
	task_set(c, j, s->task, TASK_PENDING);
	t->worker = 0;
	t->attempt--;
}

static void
confirm_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);

	j->pub.task[s->task].started_ms = c->time_ms;
	/* It holds for the attempt whatever the configuration says later. */
	j->pub.task[s->task].lease_ms =
	    c->config->policy.lease_ms[j->pub.spec.kind];
	c->watch.assigned(c->watch_arg, &j->pub, s->task);
	if (j->replaces != 0)
		retire_older(c, j);
}

/* Books all starts or none of them; returns whether it did. */
static bool
book_all(struct cell *c, const GArray *starts)
{
	guint n = 0;
	bool ok = true;

	for (; ok && n < starts->len; n += ok) {
		struct cell_start *s =
		    &g_array_index(starts, struct cell_start, n);

		ok = may_start(c, s);
		if (ok)
			book_start(c, s);
	}
	/* A gang must be whole. */
	for (guint i = 0; ok && i < starts->len; i++) {
		struct job *j = find_job(
		    c, g_array_index(starts, struct cell_start, i).job);

		ok = j->pub.spec.kind != KIND_GANG || j->pending == 0;
	}
	while (!ok && n > 0)
		unbook_start(c, &g_array_index(starts, struct cell_start, --n));
	return ok;
}

/* Says whether a start needs no other one beside it. */
static bool
stands_alone(const struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);

	return j != NULL &&
	    (j->pub.spec.kind != KIND_GANG || j->pub.spec.tasks == 1);
}

void
apply_start(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const GArray *starts = cmd->u.start.starts;
	bool together = cmd->u.start.all_or_none;
	bool booked = together && book_all(c, starts);

	for (guint i = 0; i < starts->len; i++) {
		struct cell_start *s =
		    &g_array_index(starts, struct cell_start, i);

		if (!together) {
			booked = stands_alone(c, s) && may_start(c, s);
			if (booked)
				book_start(c, s);
		}
		if (!booked) {
			c->watch.refused(c->watch_arg, s);
			continue;
		}
		confirm_start(c, s);
		res->count++;
	}
	if (res->count == 0 && starts->len > 0)
		result_refuse(res, OUT_NOT_RUN, "refused",
		    g_strdup("no start was possible any more"));
}
