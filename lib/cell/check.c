/*
 * The invariants of the tables.
 */
#include "internal.h"

/* What a walk over the tables has found. */
struct check {
	const struct cell *c;
	GError **err;
	uint64_t pending_jobs;
	uint64_t ended_jobs;
	uint64_t held;
	bool ok;
};

static bool
broken(struct check *k, const char *what, uint64_t id)
{
	if (k->ok)
		g_set_error(k->err, BT_ERROR, ERR_CORRUPT,
		    "cell: invariant: %s (%" G_GUINT64_FORMAT ")", what, id);
	k->ok = false;
	return false;
}

static bool
check_task(struct check *k, const struct job *j, uint32_t i)
{
	const struct cell_task *t = &j->pub.task[i];
	bool again = j->pub.spec.idempotent || j->pub.spec.kind == KIND_SERVICE;

	if (task_held(t->state) != (t->worker != 0))
		return broken(k, "a worker without an attempt", j->pub.id);
	if (task_held(t->state) && t->attempt == 0)
		return broken(k, "an attempt without a number", j->pub.id);
	if (t->ran && t->attempt == 0)
		return broken(k, "a task ran without attempt", j->pub.id);
	if (t->ran && !again &&
	    (t->state == TASK_PENDING || task_held(t->state)))
		return broken(k, "a second run of a task", j->pub.id);
	if (t->ran && (t->state == TASK_CANCELLED || t->state == TASK_NOT_RUN))
		return broken(k, "a run that is denied", j->pub.id);
	if (t->state == TASK_PENDING && (t->result != NULL || t->ended_ms != 0))
		return broken(k, "a result of a pending task", j->pub.id);
	if (t->state == TASK_PENDING && j->pub.cancelled)
		return broken(k, "a cancelled task waits", j->pub.id);
	if (t->state == TASK_PENDING && i >= j->pub.want)
		return broken(k, "an unwanted task waits", j->pub.id);
	return true;
}

static bool
check_job_state(struct check *k, const struct job *j)
{
	const struct cell_job *p = &j->pub;

	if (p->id == 0 || p->id > k->c->last_job)
		return broken(k, "a job's id", p->id);
	if (p->open != j->pending + j->held)
		return broken(k, "a job's open count", p->id);
	if ((p->state == JOB_ENDED) != (p->open == 0))
		return broken(k, "a job's state", p->id);
	if ((p->state == JOB_ENDED) == (p->outcome == OUT_ACCEPTED))
		return broken(k, "a job's outcome", p->id);
	if (p->spec.tasks == 0 || p->want > p->spec.tasks)
		return broken(k, "a job's number of tasks", p->id);
	if (p->regroup && (p->spec.kind != KIND_GANG || j->held == 0))
		return broken(k, "a gang that is not being stopped", p->id);
	if (p->spec.kind == KIND_GANG && !p->regroup && j->pending > 0 &&
	    j->held > 0)
		return broken(k, "a gang that is started in part", p->id);
	if (j->given_up && j->pending > 0)
		return broken(k, "a task waits that was given up", p->id);
	return true;
}

static gboolean
check_job(gpointer id, gpointer value, gpointer data)
{
	struct check *k = data;
	struct job *j = value;
	uint32_t pending = 0;
	uint32_t held = 0;

	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		if (!check_task(k, j, i))
			return TRUE;
		pending += j->pub.task[i].state == TASK_PENDING;
		held += task_held(j->pub.task[i].state);
	}
	if (pending != j->pending || held != j->held)
		return !broken(k, "a job's counts", j->pub.id);
	k->held += held;
	k->pending_jobs += pending > 0;
	k->ended_jobs += j->pub.state == JOB_ENDED;
	return !check_job_state(k, j);
}

static bool
check_slot(struct check *k, const struct worker *w, const struct slot *s)
{
	struct job *j = find_job(k->c, s->job);

	if (j == NULL || s->task >= j->pub.spec.tasks)
		return broken(k, "an attempt of no task", s->job);
	if (!task_held(j->pub.task[s->task].state) ||
	    j->pub.task[s->task].worker != w->pub.id)
		return broken(k, "an attempt that has ended", s->job);
	return true;
}

static bool
check_worker(struct check *k, const struct worker *w)
{
	struct resources sum = { 0 };

	for (guint i = 0; i < w->held->len; i++) {
		struct slot *s = &g_array_index(w->held, struct slot, i);

		if (!check_slot(k, w, s))
			return false;
		resources_add(
		    &sum, &find_job(k->c, s->job)->pub.spec.resources, 1);
	}
	k->held -= w->held->len;
	if (!resources_equal(&sum, &w->pub.used) ||
	    w->pub.running != w->held->len)
		return broken(k, "a worker's sums", w->pub.id);
	if (!w->over &&
	    (!resources_fit(&sum, &w->pub.capacity) ||
		w->pub.running > w->pub.slots))
		return broken(k, "a worker above its capacity", w->pub.id);
	if (w->pub.state == WORKER_LOST && w->held->len > 0)
		return broken(k, "attempts on a lost worker", w->pub.id);
	if (w->pub.epoch == 0 || w->pub.epoch > k->c->last_epoch)
		return broken(k, "a worker's epoch", w->pub.id);
	if (w->pub.home != 0 && find_entry(k->c, w->pub.home) == NULL)
		return broken(k, "a worker's home", w->pub.id);
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
		struct key *key = p;
		struct job *j = find_job(c, key->job);

		if (g_hash_table_lookup(c->job_keys, &key->job) != key)
			return broken(k, "a key's job", key->job);
		if (j == NULL && key->ended_ms < 0)
			return broken(k, "a key without a job", key->job);
		if (j != NULL &&
		    (key->ended_ms >= 0) != (j->pub.state == JOB_ENDED))
			return broken(k, "a key's end", key->job);
		ended += key->ended_ms >= 0;
	}
	if (ended != c->ended_keys.length)
		return broken(k, "the number of ended keys", ended);
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
	if (k.held != 0)
		return broken(&k, "attempts without a worker", k.held);
	if (k.pending_jobs != c->pending_jobs)
		return broken(&k, "the number of pending jobs", k.pending_jobs);
	if (k.ended_jobs != c->ended_jobs.length)
		return broken(&k, "the number of ended jobs", k.ended_jobs);
	return check_keys(&k);
}
