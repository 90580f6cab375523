/* The tables, and what each command does to them. */
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
round_free(void *arg)
{
	struct flow_round *round = arg;

	g_free(round->stage);
	g_free(round);
}

/* Frees a round with the tasks of its stages, of which there are count. */
static void
round_drop(struct flow_round *round, guint count)
{
	for (guint i = 0; i < count; i++) {
		struct flow_stage *st = &round->stage[i];

		for (uint32_t t = 0; t < st->count; t++)
			g_free(st->task[t].saved);
		g_free(st->task);
	}
	round_free(round);
}

/* Drops what only a job that is not over needs. */
static void
job_slim(struct flow_job *job)
{
	for (guint i = 0; job->rounds != NULL && i < job->rounds->len; i++)
		round_drop(job->rounds->pdata[i], job->spec.steps->len);
	g_clear_pointer(&job->rounds, g_ptr_array_unref);
	flow_spec_clear(&job->spec);
}

void
job_free(void *arg)
{
	struct flow_job *job = arg;

	job_slim(job);
	flow_queue_unref(job->queue);
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
	f->names = g_hash_table_new(g_str_hash, g_str_equal);
	f->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, job_free);
	f->waiting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&f->open);
	g_queue_init(&f->ended);
	return f;
}

void
flow_clear(struct flow *f)
{
	g_queue_clear(&f->open);
	g_queue_clear(&f->ended);
	g_hash_table_remove_all(f->jobs);
	g_hash_table_remove_all(f->names);
	g_hash_table_remove_all(f->workers);
	g_hash_table_remove_all(f->waiting);
	flow_config_clear(&f->config);
	f->last_worker = 0;
	f->time_ms = 0;
}

void
flow_free(struct flow *f)
{
	if (f == NULL)
		return;
	flow_clear(f);
	g_hash_table_unref(f->jobs);
	g_hash_table_unref(f->names);
	g_hash_table_unref(f->workers);
	g_hash_table_unref(f->waiting);
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
	g_hash_table_replace(f->names, w->name, w);
}

void
waiting_add(struct flow *f, const char *queue, int by)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(f->waiting, queue)) + by;

	if (n == 0)
		g_hash_table_remove(f->waiting, queue);
	else
		g_hash_table_insert(
		    f->waiting, g_strdup(queue), GINT_TO_POINTER(n));
}

static uint32_t
rounds_wanted(const struct flow_job *job)
{
	return MAX(job->spec.times, 1);
}

/* Makes an occurrence with all tasks pending. */
struct flow_round *
round_new(const struct flow_job *job, uint32_t number)
{
	struct flow_round *round = g_new0(struct flow_round, 1);
	GPtrArray *steps = job->spec.steps;

	round->number = number;
	round->due_ms = job->spec.times == 0
	    ? job->accepted_ms
	    : job->spec.first_ms + number * job->spec.every_ms;
	round->open = steps->len;
	round->stage = g_new0(struct flow_stage, steps->len);
	for (guint i = 0; i < steps->len; i++) {
		const struct flow_step *step = steps->pdata[i];
		struct flow_stage *st = &round->stage[i];

		st->count = st->pending = step->count;
		st->task = g_new0(struct flow_task, step->count);
	}
	return round;
}

static struct flow_job *
find_job(const struct flow *f, uint64_t id)
{
	return g_hash_table_lookup(f->jobs, &id);
}

const struct flow_round *
flow_round(const struct flow_job *job, uint32_t number)
{
	for (guint i = 0; job->rounds != NULL && i < job->rounds->len; i++) {
		struct flow_round *round = job->rounds->pdata[i];

		if (round->number == number)
			return round;
	}
	return NULL;
}

static struct flow_task *
find_task(const struct flow *f, const struct flow_run *of,
    struct flow_job **job, struct flow_round **round)
{
	*job = find_job(f, of->job);
	if (*job == NULL)
		return NULL;
	*round = (struct flow_round *)flow_round(*job, of->round);
	if (*round == NULL || of->step >= (*job)->spec.steps->len ||
	    of->index >= (*round)->stage[of->step].count)
		return NULL;
	return &(*round)->stage[of->step].task[of->index];
}

const struct flow_task *
flow_task(const struct flow *f, const struct flow_run *of,
    const struct flow_job **job)
{
	struct flow_round *round;
	struct flow_job *found;
	struct flow_task *task = find_task(f, of, &found, &round);

	if (job != NULL)
		*job = found;
	return task;
}

bool
flow_ready(
    const struct flow_job *job, const struct flow_round *round, uint32_t step)
{
	const struct flow_step *s = flow_step_of(job, step);

	for (guint i = 0; i < s->after->len; i++) {
		const struct flow_stage *st =
		    &round->stage[g_array_index(s->after, uint32_t, i)];

		if (st->done < st->count)
			return false;
	}
	return true;
}

static void
tell_changed(struct flow *f, const struct flow_job *job)
{
	if (f->watch.changed != NULL)
		f->watch.changed(f->watch_arg, job);
}

/* Moves a job that needs nothing any more to those that have ended. */
static void
settle(struct flow *f, struct flow_job *job)
{
	if (!flow_over(job) || job->held > 0 || job->rounds == NULL)
		return;
	job_slim(job);
	g_queue_remove(&f->open, job);
	g_queue_push_tail(&f->ended, job);
}

/* Tells of each task of an occurrence that is held. */
static void
each_held(const struct flow_job *job, const struct flow_round *round,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg)
{
	for (guint i = 0; i < job->spec.steps->len; i++) {
		const struct flow_stage *st = &round->stage[i];

		for (uint32_t t = 0; st->held > 0 && t < st->count; t++) {
			struct flow_start s = { .of = { job->id, round->number,
						    i, t, st->task[t].run },
				.worker = st->task[t].worker };

			if (st->task[t].state == FLOW_HELD)
				fn(arg, job, &s);
		}
	}
}

/* Ends a job; runs that are still held are told to stop. */
static void
end_job(struct flow *f, struct flow_job *job, enum flow_job_state state)
{
	if (job->state == FLOW_QUEUED)
		waiting_add(f, job->queue->name, -1);
	job->state = state;
	job->ended_ms = f->time_ms;
	for (guint i = 0; f->watch.stop != NULL && i < job->rounds->len; i++)
		each_held(
		    job, job->rounds->pdata[i], f->watch.stop, f->watch_arg);
	tell_changed(f, job);
	settle(f, job);
}

static enum flow_outcome
apply_config(struct flow *f, struct flow_cmd *cmd)
{
	if (cmd->u.config.version <= f->config.version)
		return FLOW_OLD;
	flow_config_clear(&f->config);
	f->config = cmd->u.config;
	cmd->u.config = (struct flow_config){ 0 };
	if (f->watch.config != NULL)
		f->watch.config(f->watch_arg);
	return FLOW_ACCEPTED;
}

static enum flow_outcome
apply_worker(struct flow *f, struct flow_cmd *cmd)
{
	const struct flow_worker *in = &cmd->u.worker;
	struct flow_worker *w = g_hash_table_lookup(f->names, in->name);

	if (w != NULL && w->born_ms != in->born_ms)
		w = NULL;
	if (w == NULL) {
		w = g_new0(struct flow_worker, 1);
		flow_worker_copy(w, in);
		w->id = ++f->last_worker;
		worker_add(f, w);
	} else {
		uint32_t id = w->id;

		g_hash_table_remove(f->names, w->name);
		flow_worker_clear(w);
		flow_worker_copy(w, in);
		w->id = id;
		g_hash_table_replace(f->names, w->name, w);
	}
	if (f->watch.worker != NULL)
		f->watch.worker(f->watch_arg, w->id);
	return FLOW_ACCEPTED;
}

static enum flow_outcome
apply_gone(struct flow *f, struct flow_cmd *cmd)
{
	gpointer key = GUINT_TO_POINTER(cmd->u.gone);
	struct flow_worker *w = g_hash_table_lookup(f->workers, key);

	if (w == NULL)
		return FLOW_MISSING;
	/* A newer life may go by the same name. */
	if (g_hash_table_lookup(f->names, w->name) == w)
		g_hash_table_remove(f->names, w->name);
	g_hash_table_remove(f->workers, key);
	if (f->watch.worker != NULL)
		f->watch.worker(f->watch_arg, cmd->u.gone);
	return FLOW_ACCEPTED;
}

static const struct flow_queue *
queue_named(const struct flow *f, const char *name)
{
	GPtrArray *queues = f->config.queues;

	for (guint i = 0; queues != NULL && i < queues->len; i++) {
		const struct flow_queue *q = queues->pdata[i];

		if (strcmp(q->name, name) == 0)
			return q;
	}
	return NULL;
}

static enum flow_outcome
apply_submit(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_queue *q =
	    (struct flow_queue *)queue_named(f, cmd->u.submit.queue);
	struct flow_job *job = find_job(f, cmd->u.submit.job);

	if (job != NULL)
		return FLOW_KNOWN;
	if (q == NULL)
		return FLOW_MISSING;
	job = g_new0(struct flow_job, 1);
	job->id = cmd->u.submit.job;
	job->queue = q;
	q->refs++;
	job->spec = cmd->u.submit.spec;
	cmd->u.submit.spec = (struct flow_spec){ 0 };
	job->accepted_ms = f->time_ms;
	job->rounds = g_ptr_array_new();
	if (job->spec.times == 0) {
		g_ptr_array_add(job->rounds, round_new(job, 0));
		job->opened = 1;
	}
	g_hash_table_insert(f->jobs, &job->id, job);
	g_queue_push_tail(&f->open, job);
	waiting_add(f, q->name, 1);
	tell_changed(f, job);
	return FLOW_ACCEPTED;
}

static enum flow_outcome
apply_round(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job = find_job(f, cmd->u.round);

	if (job == NULL || flow_over(job) || job->opened >= rounds_wanted(job))
		return FLOW_MISSING;
	g_ptr_array_add(job->rounds, round_new(job, job->opened++));
	tell_changed(f, job);
	return FLOW_ACCEPTED;
}

static bool
start_valid(struct flow *f, const struct flow_start *s)
{
	struct flow_job *job;
	struct flow_round *round;
	struct flow_task *task = find_task(f, &s->of, &job, &round);

	return task != NULL && !flow_over(job) && task->state == FLOW_PENDING &&
	    s->of.run > task->run &&
	    g_hash_table_contains(f->workers, GUINT_TO_POINTER(s->worker));
}

static void
start_one(struct flow *f, const struct flow_start *s)
{
	struct flow_job *job;
	struct flow_round *round;
	struct flow_task *task = find_task(f, &s->of, &job, &round);
	struct flow_stage *st;

	g_assert(task != NULL);
	st = &round->stage[s->of.step];
	task->state = FLOW_HELD;
	task->run = s->of.run;
	task->worker = s->worker;
	task->held_ms = f->time_ms;
	st->pending--;
	st->held++;
	round->held++;
	job->held++;
	if (job->state == FLOW_QUEUED) {
		job->state = FLOW_RUNNING;
		waiting_add(f, job->queue->name, -1);
	}
	if (f->watch.started != NULL)
		f->watch.started(f->watch_arg, job, s);
}

static bool
same_step(const struct flow_start *a, const struct flow_start *b)
{
	return a->of.job == b->of.job && a->of.round == b->of.round &&
	    a->of.step == b->of.step;
}

/* Starts of one step stand together; a gang's are taken all or none. */
static enum flow_outcome
apply_start(struct flow *f, struct flow_cmd *cmd)
{
	const struct flow_start *s = (struct flow_start *)cmd->u.starts->data;
	guint n = cmd->u.starts->len;

	for (guint i = 0, end; i < n; i = end) {
		struct flow_job *job = find_job(f, s[i].of.job);
		bool all = true;

		for (end = i; end < n && same_step(&s[i], &s[end]); end++)
			all &= start_valid(f, &s[end]);
		if (!all && job != NULL && !flow_over(job) &&
		    flow_step_of(job, s[i].of.step)->gang)
			continue;
		for (guint k = i; k < end; k++)
			if (all || start_valid(f, &s[k]))
				start_one(f, &s[k]);
	}
	return FLOW_ACCEPTED;
}

/* Takes a held run off its worker; the task's new state is given. */
static void
release(struct flow *f, struct flow_job *job, struct flow_round *round,
    const struct flow_run *of, enum flow_task_state state,
    enum flow_end_how how)
{
	struct flow_stage *st = &round->stage[of->step];
	struct flow_task *task = &st->task[of->index];
	struct flow_start was = { .of = *of, .worker = task->worker };

	task->state = state;
	task->worker = 0;
	st->held--;
	round->held--;
	job->held--;
	if (state == FLOW_DONE)
		st->done++;
	else
		st->pending++;
	if (f->watch.ended != NULL)
		f->watch.ended(f->watch_arg, job, &was, how);
}

/*
 * A gang ends as done together: one such end stands for all members, also for
 * one that was given up meanwhile, as its worker died right after that end.
 */
static void
gang_done(struct flow *f, struct flow_job *job, struct flow_round *round,
    const struct flow_run *of)
{
	struct flow_stage *st = &round->stage[of->step];

	for (uint32_t i = 0; i < st->count; i++) {
		struct flow_task *task = &st->task[i];
		struct flow_run member = *of;

		member.index = i;
		if (task->run != of->run)
			continue;
		if (task->state == FLOW_HELD) {
			release(
			    f, job, round, &member, FLOW_DONE, FLOW_END_DONE);
		} else if (task->state == FLOW_PENDING) {
			task->state = FLOW_DONE;
			st->pending--;
			st->done++;
		}
	}
}

static void
round_done(struct flow *f, struct flow_job *job, struct flow_round *round)
{
	if (round->open > 0 || round->held > 0)
		return;
	g_ptr_array_remove(job->rounds, round);
	round_drop(round, job->spec.steps->len);
	job->closed++;
	if (!flow_over(job) && job->closed == rounds_wanted(job))
		end_job(f, job, FLOW_COMPLETED);
}

/*
 * Counts a failed run of a task, or of a gang, whose members share a count;
 * a gang's run counts once, however many of its members say so.
 */
static uint32_t
count_failure(struct flow_stage *st, bool gang, const struct flow_run *of)
{
	struct flow_task *task = &st->task[gang ? 0 : of->index];

	if (gang && st->failed_run == of->run)
		return task->failures;
	st->failed_run = of->run;
	return ++task->failures;
}

/* Gives all members of a gang the checkpoint that one of them ended with. */
static void
keep_saved(struct flow_stage *st, bool gang, const struct flow_end *e)
{
	if (e->saved == NULL || *e->saved == '\0')
		return;
	for (uint32_t i = 0; i < st->count; i++) {
		if (!gang && i != e->of.index)
			continue;
		g_free(st->task[i].saved);
		st->task[i].saved = g_strdup(e->saved);
	}
}

static void
end_done(struct flow *f, struct flow_job *job, struct flow_round *round,
    const struct flow_run *of)
{
	struct flow_stage *st = &round->stage[of->step];

	if (flow_step_of(job, of->step)->gang)
		gang_done(f, job, round, of);
	else
		release(f, job, round, of, FLOW_DONE, FLOW_END_DONE);
	if (st->done == st->count)
		round->open--;
	tell_changed(f, job);
	round_done(f, job, round);
}

static void
end_one(struct flow *f, const struct flow_end *e)
{
	struct flow_job *job;
	struct flow_round *round;
	struct flow_task *task = find_task(f, &e->of, &job, &round);
	const struct flow_step *step;
	struct flow_stage *st;
	uint32_t failures = 0;

	if (task == NULL || task->state != FLOW_HELD || task->run != e->of.run)
		return;
	step = flow_step_of(job, e->of.step);
	st = &round->stage[e->of.step];
	if (e->how == FLOW_END_DONE && !step->lasting) {
		end_done(f, job, round, &e->of);
		settle(f, job);
		return;
	}
	keep_saved(st, step->gang, e);
	if (e->how == FLOW_END_FAILED && !step->lasting)
		failures = count_failure(st, step->gang, &e->of);
	release(f, job, round, &e->of, FLOW_PENDING, e->how);
	if (!flow_over(job) && failures >= MAX(job->queue->attempts, 1))
		end_job(f, job, FLOW_FAILED);
	else
		tell_changed(f, job);
	settle(f, job);
}

static enum flow_outcome
apply_end(struct flow *f, struct flow_cmd *cmd)
{
	for (guint i = 0; i < cmd->u.ends->len; i++)
		end_one(f, &g_array_index(cmd->u.ends, struct flow_end, i));
	return FLOW_ACCEPTED;
}

static enum flow_outcome
apply_cancel(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job = find_job(f, cmd->u.cancel);

	if (job == NULL)
		return FLOW_MISSING;
	if (flow_over(job))
		return FLOW_KNOWN;
	end_job(f, job, FLOW_CANCELLED);
	return FLOW_ACCEPTED;
}

static enum flow_outcome
apply_forget(struct flow *f, struct flow_cmd *cmd)
{
	struct flow_job *job;

	while ((job = g_queue_peek_head(&f->ended)) != NULL &&
	    job->ended_ms < cmd->u.forget_ms) {
		g_queue_pop_head(&f->ended);
		g_hash_table_remove(f->jobs, &job->id);
	}
	return FLOW_ACCEPTED;
}

static enum flow_outcome (*const apply[FLOW_CMD_COUNT])(
    struct flow *f, struct flow_cmd *cmd) = {
	[FLOW_CMD_CONFIG] = apply_config,
	[FLOW_CMD_WORKER] = apply_worker,
	[FLOW_CMD_WORKER_GONE] = apply_gone,
	[FLOW_CMD_SUBMIT] = apply_submit,
	[FLOW_CMD_START] = apply_start,
	[FLOW_CMD_END] = apply_end,
	[FLOW_CMD_CANCEL] = apply_cancel,
	[FLOW_CMD_ROUND] = apply_round,
	[FLOW_CMD_FORGET] = apply_forget,
};

bool
flow_apply(struct flow *f, const void *data, size_t len,
    enum flow_outcome *outcome, GError **err)
{
	struct flow_cmd cmd;

	if (!flow_cmd_decode(data, len, &cmd, err))
		return false;
	f->time_ms = MAX(f->time_ms, cmd.at_ms);
	*outcome = apply[cmd.type](f, &cmd);
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

const struct flow_queue *
flow_route(
    const struct flow *f, const char *host, const char *path, const char **rest)
{
	GPtrArray *queues = f->config.queues;
	const struct flow_queue *best = NULL;
	size_t longest = 0;

	for (guint i = 0; queues != NULL && i < queues->len; i++) {
		const struct flow_queue *q = queues->pdata[i];
		size_t len = strlen(q->prefix);

		if (g_ascii_strcasecmp(q->host, host) != 0 ||
		    strncmp(path, q->prefix, len) != 0 ||
		    (best != NULL && len < longest))
			continue;
		best = q;
		longest = len;
	}
	if (best != NULL)
		*rest = path + longest;
	return best;
}

const struct flow_worker *
flow_worker(const struct flow *f, uint32_t id)
{
	return g_hash_table_lookup(f->workers, GUINT_TO_POINTER(id));
}

const struct flow_worker *
flow_worker_named(const struct flow *f, const char *name)
{
	return g_hash_table_lookup(f->names, name);
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
flow_each_open(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *), void *arg)
{
	for (GList *i = f->open.head; i != NULL; i = i->next)
		if (!flow_over(i->data))
			fn(arg, i->data);
}

void
flow_each_held(const struct flow *f,
    void (*fn)(void *arg, const struct flow_job *, const struct flow_start *),
    void *arg)
{
	for (GList *i = f->open.head; i != NULL; i = i->next) {
		struct flow_job *job = i->data;

		for (guint k = 0; job->held > 0 && k < job->rounds->len; k++)
			each_held(job, job->rounds->pdata[k], fn, arg);
	}
}

uint32_t
flow_waiting(const struct flow *f, const char *queue)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(f->waiting, queue));
}
