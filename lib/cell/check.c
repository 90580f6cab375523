/*
 * Invariants of the cell state.
 */
#include "internal.h"

/* State of a check: the first violation and totals over all jobs. */
struct check {
	const struct cell *c;
	GError **err;
	uint64_t pending_jobs;
	uint64_t ended_jobs;
	uint64_t running;
	bool ok;
};

static bool
fail(struct check *k, const char *what, uint64_t id)
{
	if (k->ok)
		g_set_error(k->err, BT_ERROR, ERR_CORRUPT,
		    "cell: invariant violated: %s (%" G_GUINT64_FORMAT ")",
		    what, id);
	k->ok = false;
	return false;
}

static bool
check_task(struct check *k, const struct job *j, uint32_t i)
{
	const struct cell_task *t = &j->pub.task[i];
	bool may_rerun =
	    j->pub.spec.idempotent || j->pub.spec.kind == KIND_SERVICE;

	if (task_is_running(t->state) != (t->worker != 0))
		return fail(k, "task state and worker disagree", j->pub.id);
	if (task_is_running(t->state) && t->attempt == 0)
		return fail(
		    k, "running task without an attempt number", j->pub.id);
	if (t->ran && t->attempt == 0)
		return fail(k, "task ran without an attempt number", j->pub.id);
	if (t->ran && !may_rerun &&
	    (t->state == TASK_PENDING || task_is_running(t->state)))
		return fail(k,
		    "task that must not run again is pending or running",
		    j->pub.id);
	if (t->ran && (t->state == TASK_CANCELLED || t->state == TASK_NOT_RUN))
		return fail(
		    k, "task that ran is recorded as never run", j->pub.id);
	if (t->state == TASK_PENDING && (t->result != NULL || t->ended_ms != 0))
		return fail(
		    k, "pending task with a result or end time", j->pub.id);
	if (t->state == TASK_PENDING && j->pub.cancelled)
		return fail(k, "pending task of a cancelled job", j->pub.id);
	if (t->state == TASK_PENDING && i >= j->pub.desired_tasks)
		return fail(
		    k, "pending task above the desired number", j->pub.id);
	return true;
}

static bool
check_job_state(struct check *k, const struct job *j)
{
	const struct cell_job *p = &j->pub;

	if (p->id == 0 || p->id > k->c->last_job)
		return fail(k, "job id out of range", p->id);
	if (p->active_tasks != j->pending + j->running)
		return fail(k, "wrong number of active tasks of a job", p->id);
	if ((p->state == JOB_ENDED) != (p->active_tasks == 0))
		return fail(k, "job state and active tasks disagree", p->id);
	if ((p->state == JOB_ENDED) == (p->outcome == OUT_ACCEPTED))
		return fail(k, "job state and outcome disagree", p->id);
	if (p->spec.tasks == 0 || p->desired_tasks > p->spec.tasks)
		return fail(k, "number of tasks of a job out of range", p->id);
	if (p->gang_stopping && (p->spec.kind != KIND_GANG || j->running == 0))
		return fail(
		    k, "gang_stopping set without a running gang", p->id);
	if (p->spec.kind == KIND_GANG && !p->gang_stopping && j->pending > 0 &&
	    j->running > 0)
		return fail(k, "gang with pending and running tasks", p->id);
	if (j->expired && j->pending > 0)
		return fail(k, "pending task of an expired job", p->id);
	return true;
}

static gboolean
check_job(gpointer id, gpointer value, gpointer data)
{
	struct check *k = data;
	struct job *j = value;
	uint32_t pending = 0;
	uint32_t running = 0;

	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		if (!check_task(k, j, i))
			return TRUE;
		pending += j->pub.task[i].state == TASK_PENDING;
		running += task_is_running(j->pub.task[i].state);
	}
	if (pending != j->pending || running != j->running)
		return !fail(k, "wrong task counts of a job", j->pub.id);
	k->running += running;
	k->pending_jobs += pending > 0;
	k->ended_jobs += j->pub.state == JOB_ENDED;
	return !check_job_state(k, j);
}

static bool
check_attempt(
    struct check *k, const struct worker *w, const struct attempt_ref *s)
{
	struct job *j = find_job(k->c, s->job);

	if (j == NULL || s->task >= j->pub.spec.tasks)
		return fail(k, "attempt of an unknown job or task", s->job);
	if (!task_is_running(j->pub.task[s->task].state) ||
	    j->pub.task[s->task].worker != w->pub.id)
		return fail(k, "ended attempt listed at a worker", s->job);
	return true;
}

static bool
check_worker(struct check *k, const struct worker *w)
{
	struct resources sum = { 0 };

	for (guint i = 0; i < w->attempts->len; i++) {
		struct attempt_ref *s =
		    &g_array_index(w->attempts, struct attempt_ref, i);

		if (!check_attempt(k, w, s))
			return false;
		resources_add(
		    &sum, &find_job(k->c, s->job)->pub.spec.resources, 1);
	}
	k->running -= w->attempts->len;
	if (!resources_equal(&sum, &w->pub.used) ||
	    w->pub.running != w->attempts->len)
		return fail(k, "wrong resource sums of a worker", w->pub.id);
	if (!w->over_capacity &&
	    (!resources_fit(&sum, &w->pub.capacity) ||
		w->pub.running > w->pub.slots))
		return fail(k, "worker over its capacity", w->pub.id);
	if (w->pub.state == WORKER_LOST && w->attempts->len > 0)
		return fail(k, "lost worker with attempts", w->pub.id);
	if (w->pub.epoch == 0 || w->pub.epoch > k->c->last_epoch)
		return fail(k, "worker epoch out of range", w->pub.id);
	if (w->pub.home != 0 && find_entry(k->c, w->pub.home) == NULL)
		return fail(k, "home of a worker is not an entry", w->pub.id);
	return true;
}

static bool
check_keys(struct check *k)
{
	const struct cell *c = k->c;
	GHashTableIter iter;
	gpointer p;
	uint64_t ended = 0;

	g_hash_table_iter_init(&iter, c->keys);
	while (g_hash_table_iter_next(&iter, &p, NULL)) {
		struct idempotency_key *key = p;
		struct job *j = find_job(c, key->job);

		if (g_hash_table_lookup(c->job_keys, &key->job) != key)
			return fail(k, "key not listed by its job", key->job);
		if (j == NULL && key->ended_ms < 0)
			return fail(k, "active key without a job", key->job);
		if (j != NULL &&
		    (key->ended_ms >= 0) != (j->pub.state == JOB_ENDED))
			return fail(
			    k, "key and job disagree about the end", key->job);
		ended += key->ended_ms >= 0;
	}
	if (ended != c->ended_keys.length)
		return fail(k, "wrong number of ended keys", ended);
	return true;
}

bool
cell_check(const struct cell *c, GError **err)
{
	struct check k = { .c = c, .err = err, .ok = true };

	g_tree_foreach(c->jobs, check_job, &k);
	for (guint i = 0; k.ok && i < c->workers->len; i++)
		check_worker(&k, g_ptr_array_index(c->workers, i));
	if (!k.ok)
		return false;
	if (k.running != 0)
		return fail(&k, "attempts not listed at a worker", k.running);
	if (k.pending_jobs != c->pending_jobs)
		return fail(&k, "wrong number of pending jobs", k.pending_jobs);
	if (k.ended_jobs != c->ended_jobs.length)
		return fail(&k, "wrong number of ended jobs", k.ended_jobs);
	return check_keys(&k);
}
