/* Observations of attempts: run times, resource use, workers on which tasks
 * fail, and stalled jobs. */
#include <string.h>

#include "leader_impl.h"

#define SCAN_INTERVAL_MS 2000 /* for stalled jobs and due probes */
#define STALLED_LISTED_MAX 32 /* in the status; the metric counts all */
#define OVERDUE_FACTOR 4 /* of the expected run time */
#define OVERDUE_MARGIN_MS 60000

uint64_t
observe_name_hash(const struct cell_spec *spec)
{
	char *key = g_strconcat(spec->team, "/", spec->name, NULL);
	uint64_t h = hash64(key, strlen(key));

	g_free(key);
	return h;
}

/* Proposes to exclude a worker from new tasks, or to readmit it. */
static void
propose_set_aside(struct leader *l, uint32_t worker, bool value)
{
	const struct cell_worker *w = cell_worker(l->cell, worker);
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };

	if (w == NULL || w->state == WORKER_LOST || w->set_aside == value)
		return;
	cmd.u.worker_state.worker = worker;
	cmd.u.worker_state.epoch = w->epoch;
	cmd.u.worker_state.state = w->state;
	cmd.u.worker_state.set_aside = value;
	(void)leader_propose(l, &cmd);
}

static void
apply_changes(struct leader *l, GArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct health_change *c =
		    &g_array_index(changes, struct health_change, i);
		const struct cell_worker *w = cell_worker(l->cell, c->worker);
		struct leader_worker *lw = workers_find(l, c->worker);

		if (w == NULL || lw == NULL)
			continue;
		log_info("leader", "worker %s is %s", w->name,
		    health_state_name(c->state));
		lw->probing = c->state == HEALTH_PROBING;
		propose_set_aside(l, c->worker, c->state == HEALTH_SET_ASIDE);
		workers_update_sched(l, c->worker);
	}
	g_array_set_size(changes, 0);
}

void
observe_attempt_ended(struct leader *l, const struct cell_job *job,
    const struct leader_attempt *a, enum cell_end how)
{
	uint64_t name = observe_name_hash(&job->spec);
	GArray *changes;

	if (how == END_DONE && job->spec.kind != KIND_SERVICE)
		learn_record_runtime(
		    l->learn, name, (mono_us() - a->assigned_us) / 1000);
	if (how != END_DONE && how != END_FAILED)
		return;
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	health_attempt_ended(
	    l->health, a->worker, name, how == END_DONE, mono_ms(), changes);
	apply_changes(l, changes);
	g_array_unref(changes);
}

void
observe_usage(struct leader *l, const struct usage_report *report)
{
	const struct leader_attempt *a =
	    orders_find_attempt(l, report->job, report->task);
	const struct cell_job *job = cell_job(l->cell, report->job);
	struct learn_report r;

	if (a == NULL || job == NULL || a->attempt != report->attempt)
		return;
	r = (struct learn_report){ .name_hash = observe_name_hash(&job->spec),
		.attempt =
		    report->job << 32 | report->task << 8 | report->attempt,
		.declared = job->spec.resources,
		.granted = job->spec.resources,
		.used = { report->millicpus, report->memory,
		    job->spec.resources.accelerators },
		.ran_ms = (mono_us() - a->assigned_us) / 1000 };
	learn_record_usage(l->learn, &r);
}

static int64_t
waiting_limit_ms(const struct leader *l, const struct cell_spec *spec)
{
	const struct config_policy *p = &leader_config(l)->policy;

	return spec->urgent ? p->stalled_urgent_ms : p->stalled_ms[spec->kind];
}

/* Returns why a job has exceeded its limit, or NULL. */
static const char *
stall_reason(struct leader *l, const struct cell_job *job, int64_t *duration_ms)
{
	int64_t now = leader_now(l);
	char *message = NULL;
	const char *reason;
	int64_t expected_ms;

	*duration_ms = now - job->submitted_ms;
	reason = orders_wait_reason(l, job->id, &message);
	g_free(message);
	if (reason != NULL)
		return *duration_ms > waiting_limit_ms(l, &job->spec) ? reason
								      : NULL;
	if (job->spec.kind == KIND_SERVICE)
		return NULL;
	expected_ms = learn_runtime_ms(
	    l->learn, observe_name_hash(&job->spec), job->spec.runtime_ms);
	for (uint32_t i = 0; expected_ms > 0 && i < job->spec.tasks; i++) {
		const struct cell_task *t = &job->task[i];

		if (t->state != TASK_ASSIGNED)
			continue;
		*duration_ms = now - t->started_ms;
		if (*duration_ms >
		    OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS)
			return "overdue";
	}
	return NULL;
}

struct scan {
	struct leader *leader;
	int64_t count;
};

static bool
check_stalled(void *arg, const struct cell_job *job)
{
	struct scan *scan = arg;
	struct leader *l = scan->leader;
	struct stalled s = { .job = job->id };

	if (job->state != JOB_ACTIVE)
		return true;
	s.reason = stall_reason(l, job, &s.duration_ms);
	if (s.reason == NULL)
		return true;
	scan->count++;
	/* Logs a waiting job only in the first scans past its limit. */
	if (s.duration_ms <
	    waiting_limit_ms(l, &job->spec) + 2 * SCAN_INTERVAL_MS)
		log_warn("leader",
		    "job %" G_GUINT64_FORMAT " (%s of %s) is stalled: %s",
		    job->id, job->spec.name, job->spec.team, s.reason);
	if (l->stalled->len < STALLED_LISTED_MAX)
		g_array_append_val(l->stalled, s);
	return true;
}

static bool
count_set_aside(void *arg, const struct cell_worker *w)
{
	int64_t *n = arg;

	*n += w->set_aside;
	return true;
}

/* Readmits a worker that an earlier leader set aside: this one has no failure
 * record of it and starts a new one. */
static bool
reset_set_aside(void *arg, const struct cell_worker *w)
{
	struct leader *l = arg;

	if (w->set_aside && health_state(l->health, w->id) == HEALTH_GOOD)
		propose_set_aside(l, w->id, false);
	return true;
}

void
observe_scan(struct leader *l, int64_t now)
{
	struct scan scan = { l, 0 };
	GArray *changes;

	if (now - l->observe_scan_ms < SCAN_INTERVAL_MS)
		return;
	l->observe_scan_ms = now;
	changes = g_array_new(FALSE, FALSE, sizeof(struct health_change));
	health_tick(l->health, now, changes);
	apply_changes(l, changes);
	g_array_unref(changes);
	cell_each_worker(l->cell, reset_set_aside, l);
	g_array_set_size(l->stalled, 0);
	cell_each_job(l->cell, check_stalled, &scan);
	l->node->counters.jobs_stalled->value = scan.count;
	l->node->counters.workers_set_aside->value = 0;
	cell_each_worker(l->cell, count_set_aside,
	    &l->node->counters.workers_set_aside->value);
}
