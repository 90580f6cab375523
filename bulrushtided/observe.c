/* What the leader learns from attempts: run times, sizes, workers that fail
 * what they start, and jobs that stall. */
#include <string.h>

#include "leader_impl.h"

#define LOOK_MS 2000 /* between two looks for stalled jobs */
#define STALLED_LISTED 32 /* told in the status; the metric counts all */
#define OVERDUE_FACTOR 4 /* of the expected run time */
#define OVERDUE_LEAST_MS 60000

uint64_t
observe_name(const struct cell_spec *spec)
{
	char *key = g_strconcat(spec->team, "/", spec->name, NULL);
	uint64_t h = hash64(key, strlen(key));

	g_free(key);
	return h;
}

/* Proposes that a worker is set aside, or that it takes work again. */
static void
set_aside(struct leader *l, uint32_t worker, bool aside)
{
	const struct cell_worker *w = cell_worker(l->cell, worker);
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };

	if (w == NULL || w->state == WORKER_LOST || w->set_aside == aside)
		return;
	cmd.u.worker_state.worker = worker;
	cmd.u.worker_state.epoch = w->epoch;
	cmd.u.worker_state.state = w->state;
	cmd.u.worker_state.set_aside = aside;
	(void)leader_propose(l, &cmd);
}

static void
take_changes(struct leader *l, GArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct health_change *c =
		    &g_array_index(changes, struct health_change, i);
		const struct cell_worker *w = cell_worker(l->cell, c->worker);
		struct lworker *lw = workers_find(l, c->worker);

		if (w == NULL || lw == NULL)
			continue;
		log_info("leader", "worker %s is %s", w->name,
		    health_state_name(c->state));
		lw->probing = c->state == HEALTH_PROBING;
		set_aside(l, c->worker, c->state == HEALTH_ASIDE);
		workers_mirror(l, c->worker);
	}
	g_array_set_size(changes, 0);
}

void
observe_ended(struct leader *l, const struct cell_job *job,
    const struct lattempt *a, enum cell_end how)
{
	uint64_t name = observe_name(&job->spec);
	GArray *changes;

	if (how == END_DONE && job->spec.kind != KIND_SERVICE)
		learn_runtime(
		    l->learn, name, (mono_us() - a->assigned_us) / 1000);
	if (how != END_DONE && how != END_FAILED)
		return;
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	health_ended(
	    l->health, a->worker, name, how == END_DONE, mono_ms(), changes);
	take_changes(l, changes);
	g_array_unref(changes);
}

void
observe_usage(struct leader *l, const struct usage_report *report)
{
	const struct lattempt *a = orders_find(l, report->job, report->task);
	const struct cell_job *job = cell_job(l->cell, report->job);
	struct learn_report r;

	if (a == NULL || job == NULL || a->attempt != report->attempt)
		return;
	r = (struct learn_report){ .name_hash = observe_name(&job->spec),
		.attempt =
		    report->job << 32 | report->task << 8 | report->attempt,
		.declared = job->spec.resources,
		.granted = job->spec.resources,
		.used = { report->millicpus, report->memory,
		    job->spec.resources.accelerators },
		.ran_ms = (mono_us() - a->assigned_us) / 1000 };
	learn_usage(l->learn, &r);
}

static int64_t
waiting_bound(const struct leader *l, const struct cell_spec *spec)
{
	const struct config_policy *p = &leader_config(l)->policy;

	return spec->urgent ? p->stalled_urgent_ms : p->stalled_ms[spec->kind];
}

/* Returns why a job is past its bound, or NULL. */
static const char *
stall(struct leader *l, const struct cell_job *job, int64_t *since_ms)
{
	int64_t now = leader_now(l);
	char *message = NULL;
	const char *why;
	int64_t bound;

	*since_ms = now - job->submitted_ms;
	why = orders_why(l, job->id, &message);
	g_free(message);
	if (why != NULL)
		return *since_ms > waiting_bound(l, &job->spec) ? why : NULL;
	if (job->spec.kind == KIND_SERVICE)
		return NULL;
	bound = learn_runtime_ms(
	    l->learn, observe_name(&job->spec), job->spec.runtime_ms);
	for (uint32_t i = 0; bound > 0 && i < job->spec.tasks; i++) {
		const struct cell_task *t = &job->task[i];

		if (t->state != TASK_ASSIGNED)
			continue;
		*since_ms = now - t->started_ms;
		if (*since_ms > OVERDUE_FACTOR * bound + OVERDUE_LEAST_MS)
			return "overdue";
	}
	return NULL;
}

struct look {
	struct leader *leader;
	int64_t count;
};

static bool
look_at(void *arg, const struct cell_job *job)
{
	struct look *look = arg;
	struct leader *l = look->leader;
	struct stalled s = { .job = job->id };

	if (job->state != JOB_ACTIVE)
		return true;
	s.reason = stall(l, job, &s.since_ms);
	if (s.reason == NULL)
		return true;
	look->count++;
	if (s.since_ms < waiting_bound(l, &job->spec) + 2 * LOOK_MS)
		log_warn("leader",
		    "job %" G_GUINT64_FORMAT
		    " (%s of %s) is past its bound: %s",
		    job->id, job->spec.name, job->spec.team, s.reason);
	if (l->stalled->len < STALLED_LISTED)
		g_array_append_val(l->stalled, s);
	return true;
}

static bool
count_aside(void *arg, const struct cell_worker *w)
{
	int64_t *n = arg;

	*n += w->set_aside;
	return true;
}

/* A worker set aside under an earlier leader has no history here: it takes
 * work again and is judged anew. */
static bool
release_unknown(void *arg, const struct cell_worker *w)
{
	struct leader *l = arg;

	if (w->set_aside && health_state(l->health, w->id) == HEALTH_GOOD)
		set_aside(l, w->id, false);
	return true;
}

void
observe_scan(struct leader *l, int64_t now)
{
	struct look look = { l, 0 };
	GArray *changes;

	if (now - l->looked_ms < LOOK_MS)
		return;
	l->looked_ms = now;
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	health_tick(l->health, now, changes);
	take_changes(l, changes);
	g_array_unref(changes);
	cell_each_worker(l->cell, release_unknown, l);
	g_array_set_size(l->stalled, 0);
	cell_each_job(l->cell, look_at, &look);
	l->node->counters.jobs_stalled->value = look.count;
	l->node->counters.workers_set_aside->value = 0;
	cell_each_worker(
	    l->cell, count_aside, &l->node->counters.workers_set_aside->value);
}
