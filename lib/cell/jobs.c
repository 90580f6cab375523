/*
 * Jobs: submission, cancellation, expiry, end and retention.
 */
#include "internal.h"

struct job *
job_new(struct cell *c, const struct cell_spec *spec)
{
	struct job *j = g_new0(struct job, 1);

	j->pub.id = ++c->last_job;
	cell_spec_copy(&j->pub.spec, spec);
	j->pub.outcome = OUT_ACCEPTED;
	j->pub.desired_tasks = spec->tasks;
	j->pub.active_tasks = spec->tasks;
	j->pending = spec->tasks;
	j->pub.submitted_ms = c->time_ms;
	j->pub.task = g_new0(struct cell_task, spec->tasks);
	c->pending_jobs += j->pending > 0;
	add_job(c, j);
	return j;
}

enum cell_task_state
state_when_cancelled(const struct cell_task *t)
{
	return t->ran ? TASK_STOPPED : TASK_CANCELLED;
}

enum cell_task_state
state_when_expired(const struct cell_task *t)
{
	if (!t->ran)
		return TASK_NOT_RUN;
	return t->lost || t->failures == 0 ? TASK_UNKNOWN : TASK_FAILED;
}

void
withdraw_pending(struct cell *c, struct job *j, uint32_t first,
    enum cell_task_state (*state)(const struct cell_task *t))
{
	bool any = false;

	for (uint32_t i = first; i < j->pub.spec.tasks; i++) {
		struct cell_task *t = &j->pub.task[i];

		if (t->state != TASK_PENDING)
			continue;
		set_task_state(c, j, i, state(t));
		any = true;
	}
	if (!any)
		return;
	c->watch.withdrawn(c->watch_arg, &j->pub);
	for (uint32_t i = 0; i < first; i++) {
		if (j->pub.task[i].state == TASK_PENDING)
			c->watch.pending(c->watch_arg, &j->pub, i, 1);
	}
}

static bool
any_task(const struct job *j, enum cell_task_state state)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		if (j->pub.task[i].state == state)
			return true;
	}
	return false;
}

static bool
all_tasks(const struct job *j, enum cell_task_state state)
{
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++) {
		if (j->pub.task[i].state != state)
			return false;
	}
	return true;
}

static enum outcome
job_outcome(const struct job *j)
{
	if (all_tasks(j, TASK_DONE))
		return OUT_DONE;
	if (j->pub.cancelled)
		return OUT_CANCELLED;
	if (any_task(j, TASK_UNKNOWN))
		return OUT_UNKNOWN;
	if (all_tasks(j, TASK_NOT_RUN))
		return OUT_NOT_RUN;
	return OUT_FAILED;
}

void
maybe_end_job(struct cell *c, struct job *j)
{
	struct idempotency_key *k;

	if (j->pub.active_tasks > 0 || j->pub.state == JOB_ENDED)
		return;
	j->pub.state = JOB_ENDED;
	j->pub.outcome = job_outcome(j);
	j->pub.ended_ms = c->time_ms;
	g_queue_push_tail(&c->ended_jobs, j);
	k = g_hash_table_lookup(c->job_keys, &j->pub.id);
	if (k != NULL) {
		k->ended_ms = c->time_ms;
		g_queue_push_tail(&c->ended_keys, k);
	}
	c->watch.job_ended(c->watch_arg, &j->pub);
}

bool
cancel_job(struct cell *c, struct job *j)
{
	if (j->pub.state == JOB_ENDED || j->pub.cancelled)
		return false;
	j->pub.cancelled = true;
	j->pub.gang_stopping = false;
	withdraw_pending(c, j, 0, state_when_cancelled);
	for (uint32_t i = 0; i < j->pub.spec.tasks; i++)
		stop_task(c, j, i);
	maybe_end_job(c, j);
	return true;
}

/* Selects jobs to cancel by team and name prefix; counts them. */
struct cancel_filter {
	struct cell *c;
	const char *team;
	const char *prefix;
	uint64_t count;
};

static gboolean
cancel_matching(gpointer id, gpointer value, gpointer data)
{
	struct cancel_filter *filter = data;
	struct job *j = value;

	if (j->pub.from_config || strcmp(j->pub.spec.team, filter->team) != 0 ||
	    !g_str_has_prefix(j->pub.spec.name, filter->prefix))
		return FALSE;
	filter->count += cancel_job(filter->c, j);
	return FALSE;
}

static void
cancel_by_prefix(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct cancel_filter filter = { .c = c,
		.team = cmd->u.cancel.team,
		.prefix = cmd->u.cancel.prefix };

	if (filter.prefix == NULL)
		filter.prefix = "";
	g_tree_foreach(c->jobs, cancel_matching, &filter);
	res->count = filter.count;
}

void
apply_cancel(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct job *j;

	if (cmd->u.cancel.job == 0) {
		cancel_by_prefix(c, cmd, res);
		return;
	}
	j = find_job(c, cmd->u.cancel.job);
	if (j == NULL) {
		result_refuse(res, OUT_INVALID, "unknown-job",
		    g_strdup("no job has this id, or its record was removed"));
		return;
	}
	res->job = j->pub.id;
	if (j->pub.from_config) {
		result_refuse(res, OUT_INVALID, "declared-service",
		    g_strdup("the service is declared in the configuration"));
		return;
	}
	res->count = cancel_job(c, j);
}

void
apply_expire(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct job *j = find_job(c, cmd->u.expire);

	if (j == NULL || j->pub.state == JOB_ENDED || j->pub.from_config)
		return;
	res->job = j->pub.id;
	res->count = j->pending;
	j->expired = true;
	withdraw_pending(c, j, 0, state_when_expired);
	maybe_end_job(c, j);
}

/* Refuses an invalid spec; false if it is valid. */
static bool
refuse_spec(
    const struct cell *c, const struct cell_spec *s, struct cell_result *res)
{
	const struct resources *r = &s->resources;
	const char *reason = NULL;
	const char *message = NULL;

	if (s->tasks == 0) {
		reason = "no-tasks";
		message = "a job must have at least one task";
	} else if (r->millicpus == 0 && r->memory == 0 &&
	    r->accelerators == 0) {
		reason = "no-resources";
		message = "a task must request at least one resource";
	} else if (c->config->teams->len > 0 &&
	    config_team(c->config, s->team) == NULL) {
		reason = "unknown-team";
		message = "the current configuration has no such team";
	}
	if (reason != NULL)
		result_refuse(res, OUT_INVALID, reason, g_strdup(message));
	return reason != NULL;
}

/* Answers a request whose key is in use; false if the key is new. */
static bool
answer_repeated_request(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct idempotency_key probe = { .team = cmd->u.submit.spec.team,
		.key = cmd->u.submit.key };
	struct idempotency_key *k;

	if (probe.key == NULL)
		return false;
	k = g_hash_table_lookup(c->keys, &probe);
	if (k == NULL)
		return false;
	res->job = k->job;
	if (memcmp(k->digest, cmd->u.submit.digest, CELL_DIGEST_LEN) != 0)
		result_refuse(res, OUT_CONFLICT, "key-in-use",
		    g_strdup("the key was used with a different request body"));
	return true;
}

static void
store_key(struct cell *c, const struct cell_cmd *cmd, uint64_t job)
{
	struct idempotency_key *k;

	if (cmd->u.submit.key == NULL)
		return;
	k = g_new0(struct idempotency_key, 1);
	k->team = g_strdup(cmd->u.submit.spec.team);
	k->key = g_strdup(cmd->u.submit.key);
	memcpy(k->digest, cmd->u.submit.digest, CELL_DIGEST_LEN);
	k->job = job;
	k->ended_ms = -1;
	add_idempotency_key(c, k);
}

void
apply_submit(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const struct cell_spec *spec = &cmd->u.submit.spec;
	struct job *j;

	if (answer_repeated_request(c, cmd, res))
		return;
	if (refuse_spec(c, spec, res))
		return;
	/* The key is not stored: the caller may repeat the request later. */
	if (c->pending_jobs >= (uint64_t)c->config->policy.pending_max) {
		result_refuse(res, OUT_NOT_RUN, "queue-full",
		    g_strdup(
			"the number of pending jobs has reached pending_max"));
		return;
	}
	j = job_new(c, spec);
	store_key(c, cmd, j->pub.id);
	res->job = j->pub.id;
	c->watch.pending(c->watch_arg, &j->pub, 0, spec->tasks);
}

static bool
retention_passed(const struct cell *c, int64_t since_ms, int64_t retention_s)
{
	return (c->time_ms - since_ms) / MS_PER_S >= retention_s;
}

struct relink {
	uint64_t from;
	uint64_t to;
};

static gboolean
relink_job(gpointer id, gpointer value, gpointer data)
{
	struct relink *r = data;
	struct job *j = value;

	if (j->replaces == r->from)
		j->replaces = r->to;
	return FALSE;
}

static void
remove_job(struct cell *c, struct job *j)
{
	struct relink r = { .from = j->pub.id, .to = j->replaces };

	/* A newer job must still find the job that this one replaces. */
	if (j->pub.from_config)
		g_tree_foreach(c->jobs, relink_job, &r);
	c->watch.job_removed(c->watch_arg, j->pub.id);
	g_tree_remove(c->jobs, &j->pub.id);
}

void
apply_retention(struct cell *c)
{
	const struct config_policy *p = &c->config->policy;
	struct idempotency_key *k;
	struct job *j;

	while ((j = g_queue_peek_head(&c->ended_jobs)) != NULL &&
	    retention_passed(c, j->pub.ended_ms, p->job_retention_s)) {
		g_queue_pop_head(&c->ended_jobs);
		remove_job(c, j);
	}
	while ((k = g_queue_peek_head(&c->ended_keys)) != NULL &&
	    retention_passed(c, k->ended_ms, p->key_retention_s)) {
		g_queue_pop_head(&c->ended_keys);
		g_hash_table_remove(c->job_keys, &k->job);
		g_hash_table_remove(c->keys, k);
	}
}
