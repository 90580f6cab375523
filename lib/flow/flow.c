/* The tables of the state and the commands that change them. */
#include "internal.h"

static const char *const state_names[] = {
	[FLOW_QUEUED] = "queued",
	[FLOW_RUNNING] = "running",
	[FLOW_COMPLETED] = "completed",
	[FLOW_FAILED] = "failed",
	[FLOW_CANCELLED] = "cancelled",
};

const char *
flow_state_name(enum flow_job_state state)
{
	return state_names[state];
}

void
occurrence_free(void *arg)
{
	struct flow_occurrence *occ = arg;

	g_free(occ->steps);
	g_free(occ);
}

/* Frees an occurrence with the tasks of its count steps. */
static void
occurrence_destroy(struct flow_occurrence *occ, guint count)
{
	for (guint i = 0; i < count; i++) {
		struct flow_step_state *st = &occ->steps[i];

		for (uint32_t t = 0; t < st->count; t++)
			g_free(st->tasks[t].checkpoint);
		g_free(st->tasks);
	}
	occurrence_free(occ);
}

/* Frees the occurrences and the spec, which an ended job doesn't need. */
static void
job_free_work(struct flow_job *job)
{
	for (guint i = 0; job->occurrences != NULL && i < job->occurrences->len;
	     i++)
		occurrence_destroy(
		    job->occurrences->pdata[i], job->spec.steps->len);
	g_clear_pointer(&job->occurrences, g_ptr_array_unref);
	flow_spec_clear(&job->spec);
}

void
job_free(void *arg)
{
	struct flow_job *job = arg;

	job_free_work(job);
	flow_queue_unref(job->queue);
	g_free(job->organisation);
	g_free(job);
}

static void
worker_free(void *arg)
{
	flow_worker_clear(arg);
	g_free(arg);
}

struct flow *
flow_new(void)
{
	struct flow *f = g_new0(struct flow, 1);

	f->workers = g_hash_table_new_full(NULL, NULL, NULL, worker_free);
	f->workers_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	f->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, job_free);
	f->queued_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->losses = losses_new();
	f->causes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	f->speeds = speed_new();
	f->organisations = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&f->active);
	g_queue_init(&f->ended);
	return f;
}

void
flow_clear(struct flow *f)
{
	g_queue_clear(&f->active);
	g_queue_clear(&f->ended);
	g_ptr_array_set_size(f->losses, 0);
	g_array_set_size(f->causes, 0);
	speed_clear(f->speeds);
	g_hash_table_remove_all(f->jobs);
	g_hash_table_remove_all(f->workers_by_name);
	g_hash_table_remove_all(f->workers);
	g_hash_table_remove_all(f->queued_counts);
	g_clear_pointer(&f->routes, routes_free);
	g_clear_pointer(&f->auth, auth_free);
	g_hash_table_remove_all(f->organisations);
	flow_config_clear(&f->config);
	f->last_worker_id = 0;
	f->time_ms = 0;
}

void
flow_free(struct flow *f)
{
	if (f == NULL)
		return;
	flow_clear(f);
	g_hash_table_unref(f->jobs);
	g_hash_table_unref(f->workers_by_name);
	g_hash_table_unref(f->workers);
	g_hash_table_unref(f->queued_counts);
	g_ptr_array_unref(f->losses);
	g_array_unref(f->causes);
	speed_free(f->speeds);
	g_hash_table_unref(f->organisations);
	g_free(f);
}

void
flow_set_watch(struct flow *f, const struct flow_watch *w, void *arg)
{
	f->watch = w == NULL ? (struct flow_watch){ 0 } : *w;
	f->watch_arg = arg;
}

void
worker_add(struct flow *f, struct flow_worker *w)
{
	g_hash_table_insert(f->workers, GUINT_TO_POINTER(w->id), w);
	g_hash_table_replace(f->workers_by_name, w->name, w);
}

gint
worker_compare(gconstpointer a, gconstpointer b)
{
	const struct flow_worker *x = a;
	const struct flow_worker *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

void
queued_add(struct flow *f, const char *queue, int by)
{
	int n =
	    GPOINTER_TO_INT(g_hash_table_lookup(f->queued_counts, queue)) + by;

	if (n == 0)
		g_hash_table_remove(f->queued_counts, queue);
	else
		g_hash_table_insert(
		    f->queued_counts, g_strdup(queue), GINT_TO_POINTER(n));
}

static uint32_t
occurrences_wanted(const struct flow_job *job)
{
	return MAX(job->spec.repeat_count, 1);
}

/* Creates an occurrence with all tasks pending. */
struct flow_occurrence *
occurrence_new(const struct flow_job *job, uint32_t number)
{
	struct flow_occurrence *occ = g_new0(struct flow_occurrence, 1);
	GPtrArray *steps = job->spec.steps;

	occ->number = number;
	occ->due_ms = job->spec.repeat_count == 0
	    ? job->accepted_ms
	    : job->spec.start_at_ms + number * job->spec.interval_ms;
	occ->unfinished_steps = steps->len;
	occ->steps = g_new0(struct flow_step_state, steps->len);
	for (guint i = 0; i < steps->len; i++) {
		const struct flow_step *step = steps->pdata[i];
		struct flow_step_state *st = &occ->steps[i];

		st->count = st->pending = step->count;
		st->tasks = g_new0(struct flow_task, step->count);
	}
	return occ;
}

static struct flow_job *
find_job(const struct flow *f, uint64_t id)
{
	return g_hash_table_lookup(f->jobs, &id);
}

const struct flow_occurrence *
flow_occurrence(const struct flow_job *job, uint32_t number)
{
	for (guint i = 0; job->occurrences != NULL && i < job->occurrences->len;
	     i++) {
		struct flow_occurrence *occ = job->occurrences->pdata[i];

		if (occ->number == number)
			return occ;
	}
	return NULL;
}

static struct flow_task *
find_task(const struct flow *f, const struct flow_run *run,
    struct flow_job **job, struct flow_occurrence **occ)
{
	*job = find_job(f, run->job);
	if (*job == NULL)
		return NULL;
	*occ = (struct flow_occurrence *)flow_occurrence(*job, run->occurrence);
	if (*occ == NULL || run->step >= (*job)->spec.steps->len ||
	    run->index >= (*occ)->steps[run->step].count)
		return NULL;
	return &(*occ)->steps[run->step].tasks[run->index];
}

const struct flow_task *
flow_task(const struct flow *f, const struct flow_run *run,
    const struct flow_job **job)
{
	struct flow_occurrence *occ;
	struct flow_job *found;
	struct flow_task *task = find_task(f, run, &found, &occ);

	if (job != NULL)
		*job = found;
	return task;
}

bool
flow_step_ready(const struct flow_job *job, const struct flow_occurrence *occ,
    uint32_t step)
{
	const struct flow_step *s = flow_job_step(job, step);

	for (guint i = 0; i < s->after->len; i++) {
		const struct flow_step_state *st =
		    &occ->steps[g_array_index(s->after, uint32_t, i)];

		if (st->done < st->count)
			return false;
	}
	return true;
}

static void
notify_changed(struct flow *f, const struct flow_job *job)
{
	if (f->watch.job_changed != NULL)
		f->watch.job_changed(f->watch_arg, job);
}

/* Moves an ended job to the ended list once no run of it is assigned. */
static void
retire_job(struct flow *f, struct flow_job *job)
{
	if (!flow_job_ended(job) || job->assigned > 0 ||
	    job->occurrences == NULL)
		return;
	job_free_work(job);
	g_queue_remove(&f->active, job);
	g_queue_push_tail(&f->ended, job);
}

/* Calls fn for each assigned run of an occurrence. */
static void
each_assigned(const struct flow_job *job, const struct flow_occurrence *occ,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg)
{
	for (guint i = 0; i < job->spec.steps->len; i++) {
		const struct flow_step_state *st = &occ->steps[i];

		for (uint32_t t = 0; st->assigned > 0 && t < st->count; t++) {
			struct flow_start s = { .id = { job->id, occ->number, i,
						    t, st->tasks[t].last_run },
				.worker = st->tasks[t].worker };

			if (st->tasks[t].state == FLOW_ASSIGNED)
				fn(arg, job, &s);
		}
	}
}

/* Ends a job; reports its assigned runs as to be stopped. */
static void
end_job(struct flow *f, struct flow_job *job, enum flow_job_state state)
{
	if (job->state == FLOW_QUEUED)
		queued_add(f, job->queue->name, -1);
	job->state = state;
	job->ended_ms = f->time_ms;
	for (guint i = 0;
	     f->watch.run_stopping != NULL && i < job->occurrences->len; i++)
		each_assigned(job, job->occurrences->pdata[i],
		    f->watch.run_stopping, f->watch_arg);
	notify_changed(f, job);
	retire_job(f, job);
}

void
config_index(struct flow *f)
{
	const GPtrArray *organisations = f->config.organisations;

	routes_free(f->routes);
	f->routes = routes_new(f->config.queues);
	auth_free(f->auth);
	f->auth = organisations == NULL ? NULL : auth_new();
	g_hash_table_remove_all(f->organisations);
	for (guint i = 0; organisations != NULL && i < organisations->len;
	     i++) {
		struct flow_organisation *o = organisations->pdata[i];

		g_hash_table_insert(f->organisations, o->name, o);
		for (guint k = 0; k < o->keys->len; k++)
			(void)auth_add(f->auth, o->keys->pdata[k], i);
	}
}

static enum flow_apply_result
apply_config(struct flow *f, struct flow_cmd *cmd)
{
	if (cmd->u.config.version <= f->config.version)
		return FLOW_STALE;
	flow_config_clear(&f->config);
	f->config = cmd->u.config;
	cmd->u.config = (struct flow_config){ 0 };
	config_index(f);
	if (f->watch.config_changed != NULL)
		f->watch.config_changed(f->watch_arg);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_worker(struct flow *f, struct flow_cmd *cmd)
{
	const struct flow_worker *in = &cmd->u.worker;
	struct flow_worker *w =
	    g_hash_table_lookup(f->workers_by_name, in->name);

	if (w != NULL && w->started_ms != in->started_ms)
		w = NULL;
	if (w == NULL) {
		w = g_new0(struct flow_worker, 1);
		flow_worker_copy(w, in);
		w->id = ++f->last_worker_id;
		losses_note_incarnation(f, w);
		worker_add(f, w);
	} else {
		uint32_t id = w->id;

		g_hash_table_remove(f->workers_by_name, w->name);
		flow_worker_clear(w);
		flow_worker_copy(w, in);
		w->id = id;
		g_hash_table_replace(f->workers_by_name, w->name, w);
	}
	if (f->watch.worker_changed != NULL)
		f->watch.worker_changed(f->watch_arg, w->id);
	losses_judge(f);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_worker_back(struct flow *f, struct flow_cmd *cmd)
{
	const struct flow_worker *w = flow_worker(f, cmd->u.worker_id);

	if (w == NULL)
		return FLOW_NOT_FOUND;
	losses_clear(f, w);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_worker_removed(struct flow *f, struct flow_cmd *cmd)
{
	gpointer key = GUINT_TO_POINTER(cmd->u.worker_id);
	struct flow_worker *w = g_hash_table_lookup(f->workers, key);

	if (w == NULL)
		return FLOW_NOT_FOUND;
	/* The name may already stand for a newer incarnation. */
	if (g_hash_table_lookup(f->workers_by_name, w->name) == w)
		g_hash_table_remove(f->workers_by_name, w->name);
	g_hash_table_remove(f->workers, key);
	if (f->watch.worker_changed != NULL)
		f->watch.worker_changed(f->watch_arg, cmd->u.worker_id);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_submit(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_queue *q =
	    (struct flow_queue *)routes_named(f->routes, cmd->u.submit.queue);
	struct flow_job *job = find_job(f, cmd->u.submit.job);

	if (job != NULL)
		return FLOW_DUPLICATE;
	if (q == NULL)
		return FLOW_NOT_FOUND;
	job = g_new0(struct flow_job, 1);
	job->id = cmd->u.submit.job;
	job->queue = q;
	q->refs++;
	job->organisation = g_steal_pointer(&cmd->u.submit.organisation);
	job->spec = cmd->u.submit.spec;
	cmd->u.submit.spec = (struct flow_spec){ 0 };
	job->accepted_ms = f->time_ms;
	job->occurrences = g_ptr_array_new();
	if (job->spec.repeat_count == 0) {
		g_ptr_array_add(job->occurrences, occurrence_new(job, 0));
		job->occurrences_created = 1;
	}
	g_hash_table_insert(f->jobs, &job->id, job);
	g_queue_push_tail(&f->active, job);
	queued_add(f, q->name, 1);
	notify_changed(f, job);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_occurrence(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job = find_job(f, cmd->u.occurrence_job);

	if (job == NULL || flow_job_ended(job) ||
	    job->occurrences_created >= occurrences_wanted(job))
		return FLOW_NOT_FOUND;
	g_ptr_array_add(
	    job->occurrences, occurrence_new(job, job->occurrences_created++));
	notify_changed(f, job);
	return FLOW_ACCEPTED;
}

static bool
start_valid(struct flow *f, const struct flow_start *s)
{
	struct flow_job *job;
	struct flow_occurrence *occ;
	struct flow_task *task = find_task(f, &s->id, &job, &occ);

	return task != NULL && !flow_job_ended(job) &&
	    task->state == FLOW_PENDING && s->id.number > task->last_run &&
	    g_hash_table_contains(f->workers, GUINT_TO_POINTER(s->worker));
}

static void
start_run(struct flow *f, const struct flow_start *s)
{
	struct flow_job *job;
	struct flow_occurrence *occ;
	struct flow_task *task = find_task(f, &s->id, &job, &occ);
	struct flow_step_state *st;

	g_assert(task != NULL);
	st = &occ->steps[s->id.step];
	task->state = FLOW_ASSIGNED;
	task->last_run = s->id.number;
	task->worker = s->worker;
	task->assigned_ms = f->time_ms;
	st->pending--;
	st->assigned++;
	occ->assigned++;
	job->assigned++;
	if (job->state == FLOW_QUEUED) {
		job->state = FLOW_RUNNING;
		queued_add(f, job->queue->name, -1);
	}
	if (f->watch.run_assigned != NULL)
		f->watch.run_assigned(f->watch_arg, job, s);
}

static bool
same_step(const struct flow_start *a, const struct flow_start *b)
{
	return a->id.job == b->id.job && a->id.occurrence == b->id.occurrence &&
	    a->id.step == b->id.step;
}

/*
 * Starts of the same step are adjacent in the command. Those of a gang are
 * applied all or none.
 */
static enum flow_apply_result
apply_start(struct flow *f, struct flow_cmd *cmd)
{
	const struct flow_start *s = (struct flow_start *)cmd->u.starts->data;
	guint n = cmd->u.starts->len;

	for (guint i = 0, end; i < n; i = end) {
		struct flow_job *job = find_job(f, s[i].id.job);
		bool all = true;

		for (end = i; end < n && same_step(&s[i], &s[end]); end++)
			all &= start_valid(f, &s[end]);
		if (!all && job != NULL && !flow_job_ended(job) &&
		    flow_job_step(job, s[i].id.step)->gang)
			continue;
		for (guint k = i; k < end; k++)
			if (all || start_valid(f, &s[k]))
				start_run(f, &s[k]);
	}
	return FLOW_ACCEPTED;
}

/* Removes an assigned run from its worker; state is the task's new state. */
static void
unassign(struct flow *f, struct flow_job *job, struct flow_occurrence *occ,
    const struct flow_run *run, enum flow_task_state state,
    enum flow_end_outcome outcome)
{
	struct flow_step_state *st = &occ->steps[run->step];
	struct flow_task *task = &st->tasks[run->index];
	struct flow_start start = { .id = *run, .worker = task->worker };

	task->state = state;
	task->worker = 0;
	st->assigned--;
	occ->assigned--;
	job->assigned--;
	if (state == FLOW_DONE)
		st->done++;
	else
		st->pending++;
	if (f->watch.run_ended != NULL)
		f->watch.run_ended(f->watch_arg, job, &start, outcome);
}

/*
 * A gang finishes as a whole: if one member is done, all members of that run
 * are done. That includes a member whose run was ended as lost because its
 * worker died right after the gang had finished.
 */
static void
finish_gang(struct flow *f, struct flow_job *job, struct flow_occurrence *occ,
    const struct flow_run *run)
{
	struct flow_step_state *st = &occ->steps[run->step];

	for (uint32_t i = 0; i < st->count; i++) {
		struct flow_task *task = &st->tasks[i];
		struct flow_run member = *run;

		member.index = i;
		if (task->last_run != run->number)
			continue;
		if (task->state == FLOW_ASSIGNED) {
			unassign(
			    f, job, occ, &member, FLOW_DONE, FLOW_END_DONE);
		} else if (task->state == FLOW_PENDING) {
			task->state = FLOW_DONE;
			st->pending--;
			st->done++;
		}
	}
}

static void
finish_occurrence(
    struct flow *f, struct flow_job *job, struct flow_occurrence *occ)
{
	if (occ->unfinished_steps > 0 || occ->assigned > 0)
		return;
	g_ptr_array_remove(job->occurrences, occ);
	occurrence_destroy(occ, job->spec.steps->len);
	job->occurrences_done++;
	if (!flow_job_ended(job) &&
	    job->occurrences_done == occurrences_wanted(job))
		end_job(f, job, FLOW_COMPLETED);
}

/*
 * Counts a failed run and returns the failures so far. The members of a gang
 * share the count in task 0, and a gang's run counts once, however many of
 * its members report the failure.
 */
static uint32_t
count_failure(struct flow_step_state *st, bool gang, const struct flow_run *run)
{
	struct flow_task *task = &st->tasks[gang ? 0 : run->index];

	if (gang && st->last_failed_run == run->number)
		return task->failures;
	st->last_failed_run = run->number;
	return ++task->failures;
}

/* Stores the checkpoint of an ended run, in a gang for all members. */
static void
store_checkpoint(
    struct flow_step_state *st, bool gang, const struct flow_end *e)
{
	if (e->checkpoint == NULL || *e->checkpoint == '\0')
		return;
	for (uint32_t i = 0; i < st->count; i++) {
		if (!gang && i != e->id.index)
			continue;
		g_free(st->tasks[i].checkpoint);
		st->tasks[i].checkpoint = g_strdup(e->checkpoint);
	}
}

static void
finish_task(struct flow *f, struct flow_job *job, struct flow_occurrence *occ,
    const struct flow_run *run)
{
	struct flow_step_state *st = &occ->steps[run->step];

	if (flow_job_step(job, run->step)->gang)
		finish_gang(f, job, occ, run);
	else
		unassign(f, job, occ, run, FLOW_DONE, FLOW_END_DONE);
	if (st->done == st->count)
		occ->unfinished_steps--;
	notify_changed(f, job);
	finish_occurrence(f, job, occ);
}

static void
end_run(struct flow *f, const struct flow_end *e, bool learn_speeds)
{
	struct flow_job *job;
	struct flow_occurrence *occ;
	struct flow_task *task = find_task(f, &e->id, &job, &occ);
	const struct flow_step *step;
	struct flow_step_state *st;
	uint32_t failures = 0;

	if (task == NULL || task->state != FLOW_ASSIGNED ||
	    task->last_run != e->id.number)
		return;
	step = flow_job_step(job, e->id.step);
	st = &occ->steps[e->id.step];
	if (e->outcome == FLOW_END_DONE && !step->long_running) {
		if (learn_speeds)
			speeds_learn(f, job, st, &e->id);
		finish_task(f, job, occ, &e->id);
		retire_job(f, job);
		return;
	}
	store_checkpoint(st, step->gang, e);
	if (e->outcome == FLOW_END_LOST_AT_START ||
	    e->outcome == FLOW_END_LOST_LATER)
		losses_add(f, flow_worker(f, task->worker), job, task, e);
	if (e->outcome == FLOW_END_FAILED && !step->long_running)
		failures = count_failure(st, step->gang, &e->id);
	unassign(f, job, occ, &e->id, FLOW_PENDING, e->outcome);
	if (!flow_job_ended(job) &&
	    failures >= MAX(job->queue->max_failures, 1))
		end_job(f, job, FLOW_FAILED);
	else
		notify_changed(f, job);
	retire_job(f, job);
}

static enum flow_apply_result
apply_end(struct flow *f, struct flow_cmd *cmd)
{
	for (guint i = 0; i < cmd->u.ends->len; i++)
		end_run(f, &g_array_index(cmd->u.ends, struct flow_end, i),
		    cmd->learn_speeds);
	losses_judge(f);
	return FLOW_ACCEPTED;
}

void
job_give_up(struct flow *f, struct flow_job *job)
{
	end_job(f, job, FLOW_FAILED);
}

static enum flow_apply_result
apply_cancel(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job = find_job(f, cmd->u.cancel);

	if (job == NULL)
		return FLOW_NOT_FOUND;
	if (flow_job_ended(job))
		return FLOW_DUPLICATE;
	end_job(f, job, FLOW_CANCELLED);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result
apply_prune(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job;

	while ((job = g_queue_peek_head(&f->ended)) != NULL &&
	    job->ended_ms < cmd->u.prune_before_ms) {
		g_queue_pop_head(&f->ended);
		g_hash_table_remove(f->jobs, &job->id);
	}
	losses_prune(f);
	speeds_prune(f);
	return FLOW_ACCEPTED;
}

static enum flow_apply_result (*const apply[FLOW_CMD_COUNT])(
    struct flow *f, struct flow_cmd *cmd) = {
	[FLOW_CMD_CONFIG] = apply_config,
	[FLOW_CMD_WORKER] = apply_worker,
	[FLOW_CMD_WORKER_REMOVED] = apply_worker_removed,
	[FLOW_CMD_SUBMIT] = apply_submit,
	[FLOW_CMD_START] = apply_start,
	[FLOW_CMD_END] = apply_end,
	[FLOW_CMD_CANCEL] = apply_cancel,
	[FLOW_CMD_OCCURRENCE] = apply_occurrence,
	[FLOW_CMD_PRUNE] = apply_prune,
	[FLOW_CMD_WORKER_BACK] = apply_worker_back,
};

bool
flow_apply(struct flow *f, const void *data, size_t len,
    enum flow_apply_result *result, GError **err)
{
	struct flow_cmd cmd;

	if (!flow_cmd_decode(data, len, &cmd, err))
		return false;
	f->time_ms = MAX(f->time_ms, cmd.at_ms);
	*result = apply[cmd.type](f, &cmd);
	flow_cmd_clear(&cmd);
	return true;
}

int64_t
flow_time_ms(const struct flow *f)
{
	return f->time_ms;
}

const struct flow_config *
flow_config(const struct flow *f)
{
	return &f->config;
}

const struct speed_table *
flow_speeds(const struct flow *f)
{
	return f->speeds;
}

const struct flow_queue *
flow_route(
    const struct flow *f, const char *host, const char *path, const char **rest)
{
	return routes_find(f->routes, host, path, rest);
}

const struct flow_organisation *
flow_organisation(const struct flow *f, const char *name)
{
	return name == NULL ? NULL
			    : g_hash_table_lookup(f->organisations, name);
}

const struct flow_organisation *
flow_organisation_of_key(const struct flow *f, const char *key)
{
	guint owner;

	if (f->auth == NULL || key == NULL || !auth_find(f->auth, key, &owner))
		return NULL;
	return f->config.organisations->pdata[owner];
}

const struct flow_worker *
flow_worker(const struct flow *f, uint32_t id)
{
	return g_hash_table_lookup(f->workers, GUINT_TO_POINTER(id));
}

const struct flow_worker *
flow_worker_named(const struct flow *f, const char *name)
{
	return g_hash_table_lookup(f->workers_by_name, name);
}

void
flow_each_worker(const struct flow *f,
    void (*fn)(void *arg, const struct flow_worker *), void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(arg, value);
}

const struct flow_job *
flow_job(const struct flow *f, uint64_t id)
{
	return find_job(f, id);
}

void
flow_each_active_job(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *), void *arg)
{
	for (GList *i = f->active.head; i != NULL; i = i->next)
		if (!flow_job_ended(i->data))
			fn(arg, i->data);
}

void
flow_each_assigned(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg)
{
	for (GList *i = f->active.head; i != NULL; i = i->next) {
		struct flow_job *job = i->data;

		for (guint k = 0;
		     job->assigned > 0 && k < job->occurrences->len; k++)
			each_assigned(job, job->occurrences->pdata[k], fn, arg);
	}
}

uint32_t
flow_queued_count(const struct flow *f, const char *queue)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(f->queued_counts, queue));
}
