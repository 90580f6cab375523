/*
 * Tasks and attempts: changes of a task's state, and the effects of an
 * attempt's start and end.
 */
#include "internal.h"

#define SERVICE_STABLE_MS (10 * 60 * 1000) /* such a run clears failures */
/* A task is given up when its score reaches the limit: after three crashes if
 * it was the last to start on those workers, after six if others were. */
#define CRASH_SCORE_LIMIT 6
#define CRASH_SCORE_LAST 2
#define CRASH_SCORE_OTHER 1

bool
task_is_running(enum cell_task_state state)
{
	return state == TASK_ASSIGNED || state == TASK_STOPPING;
}

/* Adds a task to the counts of its job (by 1) or removes it (by -1). */
static void
count_task(struct cell *c, struct job *j, enum cell_task_state state, int by)
{
	bool had_pending = j->pending > 0;

	if (state == TASK_PENDING)
		j->pending += by;
	if (task_is_running(state))
		j->running += by;
	j->pub.active_tasks = j->pending + j->running;
	if (!had_pending && j->pending > 0)
		c->pending_jobs++;
	if (had_pending && j->pending == 0)
		c->pending_jobs--;
}

void
set_task_state(
    struct cell *c, struct job *j, uint32_t i, enum cell_task_state state)
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
	if (!task_is_running(state))
		t->ended_ms = c->time_ms;
}

static int
compare_attempts(const void *a, const void *b)
{
	const struct attempt_ref *x = a;
	const struct attempt_ref *y = b;

	if (x->job != y->job)
		return x->job < y->job ? -1 : 1;
	return (x->task > y->task) - (x->task < y->task);
}

void
worker_add_attempt(struct worker *w, const struct job *j, uint32_t task)
{
	struct attempt_ref s = { .job = j->pub.id, .task = task };
	guint at = 0;

	while (at < w->attempts->len &&
	    compare_attempts(
		&g_array_index(w->attempts, struct attempt_ref, at), &s) < 0)
		at++;
	g_array_insert_val(w->attempts, at, s);
	resources_add(&w->pub.used, &j->pub.spec.resources, 1);
	w->pub.running++;
}

void
worker_remove_attempt(struct worker *w, const struct job *j, uint32_t task)
{
	struct attempt_ref s = { .job = j->pub.id, .task = task };
	guint at = 0;

	while (at < w->attempts->len &&
	    compare_attempts(
		&g_array_index(w->attempts, struct attempt_ref, at), &s) != 0)
		at++;
	g_assert(at < w->attempts->len);
	g_array_remove_index(w->attempts, at);
	resources_add(&w->pub.used, &j->pub.spec.resources, -1);
	w->pub.running--;
	if (resources_fit(&w->pub.used, &w->pub.capacity) &&
	    w->pub.running <= w->pub.slots)
		w->over_capacity = false;
}

/*
 * A service's task may always run again: a service declares a number of
 * concurrently running tasks, not a single run of each.
 */
static bool
may_run_again(const struct job *j)
{
	return j->pub.spec.idempotent || j->pub.spec.kind == KIND_SERVICE;
}

static bool
task_is_desired(const struct job *j, uint32_t i)
{
	return !j->pub.cancelled && i < j->pub.desired_tasks;
}

/* State after the end of an attempt of a task that is to end. */
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
		return state_when_cancelled(t);
	}
}

/* State after the end of an attempt of a task that is still desired. */
static enum cell_task_state
state_if_desired(const struct cell *c, const struct job *j,
    const struct cell_task *t, enum cell_end how)
{
	bool again = may_run_again(j);

	switch (how) {
	case END_DONE:
		/* A declared service runs until it is removed. */
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
		return j->pub.gang_stopping ? TASK_STOPPED : TASK_UNKNOWN;
	default:
		if (!again)
			return TASK_UNKNOWN;
		return t->crash_score < CRASH_SCORE_LIMIT ||
			j->pub.spec.kind == KIND_SERVICE
		    ? TASK_PENDING
		    : TASK_FAILED;
	}
}

static enum cell_task_state
next_state(
    const struct cell *c, const struct job *j, uint32_t i, enum cell_end how)
{
	const struct cell_task *t = &j->pub.task[i];
	enum cell_task_state state;

	if (!task_is_desired(j, i))
		return state_if_cancelled(j, t, how);
	state = state_if_desired(c, j, t, how);
	if (state == TASK_PENDING && j->expired)
		return state_when_expired(t);
	return state;
}

/* Returns whether all tasks of a stopped gang may run again. */
static bool
gang_can_restart(const struct job *j)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		enum cell_task_state s = j->pub.task[i].state;

		if (s == TASK_PENDING)
			continue;
		if (s != TASK_DONE || !j->pub.spec.idempotent || j->expired)
			return false;
	}
	return true;
}

/*
 * Called when all attempts of a stopped gang have ended: either all tasks
 * become pending again, also the finished ones, or none does.
 */
static void
finish_gang_stop(struct cell *c, struct job *j)
{
	bool restart = gang_can_restart(j);

	j->pub.gang_stopping = false;
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		struct cell_task *t = &j->pub.task[i];

		if (restart)
			set_task_state(c, j, i, TASK_PENDING);
		else if (t->state == TASK_PENDING)
			set_task_state(
			    c, j, i, t->ran ? TASK_STOPPED : TASK_NOT_RUN);
	}
	if (restart)
		c->watch.pending(c->watch_arg, &j->pub, 0, j->pub.spec.tasks);
}

/* Stops all tasks after an attempt of a gang ended without completing. */
static void
stop_gang(struct cell *c, struct job *j)
{
	j->pub.gang_stopping = true;
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
	if (j->running == 0)
		finish_gang_stop(c, j);
}

void
stop_task(struct cell *c, struct job *j, uint32_t i)
{
	if (j->pub.task[i].state != TASK_ASSIGNED)
		return;
	set_task_state(c, j, i, TASK_STOPPING);
	c->watch.stopping(c->watch_arg, &j->pub, i);
}

/*
 * Counts a failed attempt. A declared service must not end by itself, so
 * END_DONE counts too. A run of SERVICE_STABLE_MS resets a service's count.
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

	worker_remove_attempt(find_worker(c, worker), j, i);
	t->worker = 0;
	count_failure(c, j, t, how);
	t->ran = t->ran || how != END_NOT_STARTED;
	t->lost = t->lost || how == END_LOST;
	/* Set first, as next_state() depends on it. */
	if (gang && how != END_DONE)
		j->pub.gang_stopping = true;
	set_task_state(c, j, i, next_state(c, j, i, how));
	if (result != NULL &&
	    (t->state == TASK_DONE || t->state == TASK_FAILED))
		t->result = g_bytes_ref(result);
	c->watch.attempt_ended(
	    c->watch_arg, &j->pub, i, t->attempt, worker, how);
	if (j->pub.gang_stopping)
		stop_gang(c, j);
	else if (t->state == TASK_PENDING)
		c->watch.pending(c->watch_arg, &j->pub, i, 1);
	maybe_end_job(c, j);
}

static struct cell_task *
task_of(struct cell *c, const struct attempt_ref *a)
{
	struct job *j = find_job(c, a->job);

	return j == NULL || a->task >= j->pub.spec.tasks
	    ? NULL
	    : &j->pub.task[a->task];
}

static void
add_crash_scores(struct cell *c, const GArray *attempts, int64_t last_ms)
{
	for (guint i = 0; i < attempts->len; i++) {
		struct cell_task *t =
		    task_of(c, &g_array_index(attempts, struct attempt_ref, i));

		if (t != NULL)
			t->crash_score += t->started_ms == last_ms
			    ? CRASH_SCORE_LAST
			    : CRASH_SCORE_OTHER;
	}
}

static int64_t
last_start_ms(struct cell *c, const GArray *attempts)
{
	int64_t last_ms = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct cell_task *t =
		    task_of(c, &g_array_index(attempts, struct attempt_ref, i));

		if (t != NULL)
			last_ms = MAX(last_ms, t->started_ms);
	}
	return last_ms;
}

void
count_crash(struct cell *c, struct worker *w)
{
	const GArray *attempts = w->lost->len > 0 ? w->lost : w->attempts;

	add_crash_scores(c, attempts, last_start_ms(c, attempts));
	g_array_set_size(w->lost, 0);
}

void
end_lost_attempts(struct cell *c, struct worker *w)
{
	while (w->attempts->len > 0) {
		struct attempt_ref s =
		    g_array_index(w->attempts, struct attempt_ref, 0);

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
	if (!task_is_running(t->state) || t->attempt != cmd->u.end.attempt ||
	    t->worker != cmd->u.end.worker)
		return;
	end_attempt(c, j, i, cmd->u.end.how, cmd->u.end.result);
	res->count = 1;
}

/*
 * Returns whether a task may be stopped and started again: an idempotent batch
 * task to free resources, a service's task when its worker is draining.
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
		    g_strdup("the task has no running attempt of this number"));
		return;
	}
	if (!preemptible(c, j, i)) {
		result_refuse(res, OUT_INVALID, "not-preemptible",
		    g_strdup("only idempotent batch tasks can be preempted"));
		return;
	}
	stop_task(c, j, i);
	res->count = 1;
}

static bool
has_capacity(const struct worker *w, const struct resources *request)
{
	struct resources sum = w->pub.used;

	resources_add(&sum, request, 1);
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
	if (j->pub.task[s->task].state != TASK_PENDING || j->pub.gang_stopping)
		return false;
	if (j->pub.task[s->task].ran && !may_run_again(j))
		return false;
	return w->pub.state == WORKER_UP && !w->pub.set_aside &&
	    has_capacity(w, &j->pub.spec.resources);
}

/* Assigns the task's next attempt; confirm_start() reports it. */
static void
assign_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);
	struct cell_task *t = &j->pub.task[s->task];

	worker_add_attempt(find_worker(c, s->worker), j, s->task);
	set_task_state(c, j, s->task, TASK_ASSIGNED);
	t->worker = s->worker;
	t->attempt++;
}

/* Reverts assign_start(). */
static void
undo_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);
	struct cell_task *t = &j->pub.task[s->task];

	worker_remove_attempt(find_worker(c, s->worker), j, s->task);
	set_task_state(c, j, s->task, TASK_PENDING);
	t->worker = 0;
	t->attempt--;
}

static void
confirm_start(struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);

	j->pub.task[s->task].started_ms = c->time_ms;
	/* Later changes of the configuration don't affect this attempt. */
	j->pub.task[s->task].lease_ms =
	    c->config->policy.lease_ms[j->pub.spec.kind];
	c->watch.assigned(c->watch_arg, &j->pub, s->task);
	if (j->replaces != 0)
		advance_rolling_update(c, j);
}

/* Assigns all starts or none; returns whether it did. */
static bool
assign_all(struct cell *c, const GArray *starts)
{
	guint n = 0;
	bool ok = true;

	for (; ok && n < starts->len; n += ok) {
		struct cell_start *s =
		    &g_array_index(starts, struct cell_start, n);

		ok = may_start(c, s);
		if (ok)
			assign_start(c, s);
	}
	/* A gang must start with all of its tasks. */
	for (guint i = 0; ok && i < starts->len; i++) {
		struct job *j = find_job(
		    c, g_array_index(starts, struct cell_start, i).job);

		ok = j->pub.spec.kind != KIND_GANG || j->pending == 0;
	}
	while (!ok && n > 0)
		undo_start(c, &g_array_index(starts, struct cell_start, --n));
	return ok;
}

/* Returns whether a task may start without other tasks of its job. */
static bool
can_start_alone(const struct cell *c, const struct cell_start *s)
{
	struct job *j = find_job(c, s->job);

	return j != NULL &&
	    (j->pub.spec.kind != KIND_GANG || j->pub.spec.tasks == 1);
}

void
apply_start(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const GArray *starts = cmd->u.start.starts;
	bool all_or_none = cmd->u.start.all_or_none;
	bool assigned = all_or_none && assign_all(c, starts);

	for (guint i = 0; i < starts->len; i++) {
		struct cell_start *s =
		    &g_array_index(starts, struct cell_start, i);

		if (!all_or_none) {
			assigned = can_start_alone(c, s) && may_start(c, s);
			if (assigned)
				assign_start(c, s);
		}
		if (!assigned) {
			c->watch.start_refused(c->watch_arg, s);
			continue;
		}
		confirm_start(c, s);
		res->count++;
	}
	if (res->count == 0 && starts->len > 0)
		result_refuse(res, OUT_NOT_RUN, "refused",
		    g_strdup("none of the starts is possible any more"));
}
