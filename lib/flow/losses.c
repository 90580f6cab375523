/*
 * Workers that were lost with their runs. If a later incarnation follows, the
 * worker has crashed, and any task that ran there may have caused it. A task is
 * given up once several workers have crashed under it; those crashes then no
 * longer count against the tasks that ran beside it.
 */
#include "internal.h"

#define LOSS_KEEP_MS (60 * 1000) /* if no later incarnation follows */
#define CRASH_KEEP_MS (10 * 60 * 1000)
/* A long-running task that has run for this time didn't cause the crash. */
#define STABLE_MS (30 * 1000)

struct lost_run {
	struct flow_run id;
	uint32_t weight; /* if the worker has crashed */
};

/* An incarnation of a worker that was lost, and the runs it took with it. */
struct loss {
	char *name;
	char *address;
	char *vm;
	int64_t started_ms; /* of the incarnation */
	int64_t at_ms; /* cell time */
	enum loss_state state;
	GArray *runs; /* struct lost_run */
};

static void
loss_free(void *arg)
{
	struct loss *loss = arg;

	g_free(loss->name);
	g_free(loss->address);
	g_free(loss->vm);
	g_array_unref(loss->runs);
	g_free(loss);
}

GPtrArray *
losses_new(void)
{
	return g_ptr_array_new_with_free_func(loss_free);
}

static bool
is_incarnation(const struct loss *loss, const struct flow_worker *w)
{
	return loss->started_ms == w->started_ms &&
	    g_strcmp0(loss->name, w->name) == 0;
}

static struct loss *
find_loss(const struct flow *f, const struct flow_worker *w)
{
	for (guint i = 0; i < f->losses->len; i++)
		if (is_incarnation(f->losses->pdata[i], w))
			return f->losses->pdata[i];
	return NULL;
}

static struct loss *
get_loss(struct flow *f, const struct flow_worker *w)
{
	struct loss *loss = find_loss(f, w);

	if (loss != NULL)
		return loss;
	loss = g_new0(struct loss, 1);
	loss->name = g_strdup(w->name);
	loss->address = g_strdup(w->address);
	loss->vm = g_strdup(w->vm);
	loss->started_ms = w->started_ms;
	loss->at_ms = f->time_ms;
	loss->runs = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	g_ptr_array_add(f->losses, loss);
	return loss;
}

static const struct lost_run *
lost_run(const struct loss *loss, guint i)
{
	return &g_array_index(loss->runs, struct lost_run, i);
}

/* Says whether too many workers have crashed under a task. */
static bool
is_cause(const struct flow_task *task)
{
	return task->state != FLOW_DONE &&
	    (task->crash_weight >= FLOW_CRASH_WEIGHT_MAX ||
		task->crashes + task->explained_crashes >= FLOW_CRASHES_MAX);
}

/* Adds the loss to the counts of one of its tasks (by 1) or removes it. */
static void
count_loss(
    struct flow *f, const struct loss *loss, const struct lost_run *run, int by)
{
	struct flow_task *task =
	    (struct flow_task *)flow_task(f, &run->id, NULL);

	if (task == NULL)
		return;
	if (loss->state == LOSS_CRASHED) {
		task->crashes += (uint32_t)by;
		task->crash_weight += (uint32_t)by * run->weight;
	} else if (loss->state == LOSS_EXPLAINED) {
		task->explained_crashes += (uint32_t)by;
	} else {
		task->lost_runs += (uint32_t)by;
	}
	if (by > 0 && loss->state == LOSS_CRASHED && is_cause(task))
		g_array_append_val(f->causes, run->id.job);
}

static void
count_all(struct flow *f, const struct loss *loss, int by)
{
	for (guint i = 0; i < loss->runs->len; i++)
		count_loss(f, loss, lost_run(loss, i), by);
}

static void
remove_loss(struct flow *f, guint i)
{
	count_all(f, f->losses->pdata[i], -1);
	g_ptr_array_remove_index(f->losses, i);
}

static void
report_crash(struct flow *f, const struct flow_run *run)
{
	const struct flow_task *task = flow_task(f, run, NULL);

	if (task != NULL && f->watch.run_crashed != NULL)
		f->watch.run_crashed(f->watch_arg, run, task);
}

void
losses_add(struct flow *f, const struct flow_worker *w,
    const struct flow_job *job, const struct flow_task *task,
    const struct flow_end *end)
{
	struct lost_run run = { .id = end->id,
		.weight = end->outcome == FLOW_END_LOST_AT_START
		    ? FLOW_CRASH_WEIGHT_AT_START
		    : FLOW_CRASH_WEIGHT_LATER };
	struct loss *loss;

	/* Runs on a draining worker end with it. */
	if (w == NULL || w->draining || flow_job_ended(job))
		return;
	if (flow_job_step(job, run.id.step)->long_running &&
	    f->time_ms - task->assigned_ms >= STABLE_MS)
		return;
	loss = get_loss(f, w);
	g_array_append_val(loss->runs, run);
	count_loss(f, loss, &run, 1);
	if (loss->state != LOSS_UNKNOWN)
		report_crash(f, &run.id);
}

static void
set_state(struct flow *f, struct loss *loss, enum loss_state state)
{
	count_all(f, loss, -1);
	loss->state = state;
	count_all(f, loss, 1);
}

static void
mark_crashed(struct flow *f, struct loss *loss)
{
	set_state(f, loss, LOSS_CRASHED);
	for (guint i = 0; i < loss->runs->len; i++)
		report_crash(f, &lost_run(loss, i)->id);
}

/* Says whether an incarnation was followed by w, at its place or as w. */
static bool
is_followed_by(const char *name, const char *address, const char *vm,
    int64_t started_ms, const struct flow_worker *w)
{
	if (started_ms >= w->started_ms)
		return false;
	return g_strcmp0(name, w->name) == 0 ||
	    g_strcmp0(address, w->address) == 0 ||
	    (vm != NULL && *vm != '\0' && g_strcmp0(vm, w->vm) == 0);
}

void
losses_note_incarnation(struct flow *f, const struct flow_worker *w)
{
	GList *earlier = NULL; /* in the same order on every replica */
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_worker *o = value;

		if (!o->draining &&
		    is_followed_by(o->name, o->address, NULL, o->started_ms, w))
			earlier = g_list_insert_sorted(
			    earlier, value, worker_compare);
	}
	/* Their runs have not been reported as lost yet. */
	for (GList *i = earlier; i != NULL; i = i->next)
		(void)get_loss(f, i->data);
	g_list_free(earlier);
	for (guint i = 0; i < f->losses->len; i++) {
		struct loss *loss = f->losses->pdata[i];

		if (loss->state == LOSS_UNKNOWN &&
		    is_followed_by(loss->name, loss->address, loss->vm,
			loss->started_ms, w))
			mark_crashed(f, loss);
	}
}

void
losses_clear(struct flow *f, const struct flow_worker *w)
{
	for (guint i = f->losses->len; i > 0; i--) {
		const struct loss *loss = f->losses->pdata[i - 1];

		if (loss->state == LOSS_UNKNOWN && is_incarnation(loss, w))
			remove_loss(f, i - 1);
	}
}

bool
flow_worker_in_doubt(const struct flow *f, uint32_t worker)
{
	const struct flow_worker *w = flow_worker(f, worker);
	const struct loss *loss = w == NULL ? NULL : find_loss(f, w);

	return loss != NULL && loss->state == LOSS_UNKNOWN;
}

static bool
has_job(const struct loss *loss, uint64_t job)
{
	for (guint i = 0; i < loss->runs->len; i++)
		if (lost_run(loss, i)->id.job == job)
			return true;
	return false;
}

static bool
is_unfinished(const struct flow_job *job, const struct flow_task *task)
{
	return task != NULL && !flow_job_ended(job) && task->state != FLOW_DONE;
}

void
losses_judge(struct flow *f)
{
	for (guint n = 0; n < f->causes->len; n++) {
		uint64_t id = g_array_index(f->causes, uint64_t, n);
		struct flow_job *job = (struct flow_job *)flow_job(f, id);

		if (job == NULL || flow_job_ended(job))
			continue;
		for (guint i = 0; i < f->losses->len; i++) {
			struct loss *loss = f->losses->pdata[i];

			if (loss->state == LOSS_CRASHED && has_job(loss, id))
				set_state(f, loss, LOSS_EXPLAINED);
		}
		job_give_up(f, job);
	}
	g_array_set_size(f->causes, 0);
}

/* Says whether no task of a loss can be started again. */
static bool
is_settled(const struct flow *f, const struct loss *loss)
{
	for (guint i = 0; i < loss->runs->len; i++) {
		const struct flow_job *job = NULL;
		const struct flow_task *task =
		    flow_task(f, &lost_run(loss, i)->id, &job);

		if (is_unfinished(job, task))
			return false;
	}
	return true;
}

void
losses_prune(struct flow *f)
{
	for (guint i = f->losses->len; i > 0; i--) {
		const struct loss *loss = f->losses->pdata[i - 1];
		int64_t age_ms = f->time_ms - loss->at_ms;

		if (age_ms >= (loss->state == LOSS_UNKNOWN ? LOSS_KEEP_MS
							   : CRASH_KEEP_MS) ||
		    (age_ms >= LOSS_KEEP_MS && is_settled(f, loss)))
			remove_loss(f, i - 1);
	}
}

void
losses_put(msgpack_packer *pk, const struct flow *f)
{
	msgpack_pack_array(pk, f->losses->len);
	for (guint i = 0; i < f->losses->len; i++) {
		const struct loss *loss = f->losses->pdata[i];

		msgpack_pack_array(pk, 7);
		put_str(pk, loss->name);
		put_str(pk, loss->address);
		put_str(pk, loss->vm);
		msgpack_pack_int64(pk, loss->started_ms);
		msgpack_pack_int64(pk, loss->at_ms);
		msgpack_pack_uint8(pk, (uint8_t)loss->state);
		msgpack_pack_array(pk, loss->runs->len * 6);
		for (guint k = 0; k < loss->runs->len; k++) {
			run_put(pk, &lost_run(loss, k)->id);
			msgpack_pack_uint32(pk, lost_run(loss, k)->weight);
		}
	}
}

static void
loss_get(struct flow *f, struct reader *r)
{
	struct loss *loss = g_new0(struct loss, 1);
	struct reader a = get_array(r);
	struct reader runs;

	loss->runs = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	loss->name = get_str(&a, FLOW_TEXT_MAX);
	loss->address = get_str(&a, FLOW_TEXT_MAX);
	loss->vm = get_str(&a, FLOW_TEXT_MAX);
	loss->started_ms = get_i64(&a);
	loss->at_ms = get_i64(&a);
	loss->state = (enum loss_state)get_below(&a, LOSS_STATE_COUNT);
	runs = get_array(&a);
	while (runs.ok && runs.left > 0) {
		struct lost_run run;

		run_get(&runs, &run.id);
		run.weight = (uint32_t)get_u64(&runs);
		g_array_append_val(loss->runs, run);
	}
	r->ok = r->ok && runs.ok && codec_done(&a);
	g_ptr_array_add(f->losses, loss);
	if (r->ok)
		count_all(f, loss, 1);
}

void
losses_get(struct flow *f, struct reader *r)
{
	struct reader list = get_array(r);

	while (list.ok && list.left > 0)
		loss_get(f, &list);
	r->ok = r->ok && list.ok;
	/* Judged before the snapshot was taken. */
	g_array_set_size(f->causes, 0);
}

static bool
same_task(const struct flow_run *a, const struct flow_run *b)
{
	return a->job == b->job && a->occurrence == b->occurrence &&
	    a->step == b->step && a->index == b->index;
}

uint32_t
losses_count(
    const struct flow *f, const struct flow_run *run, enum loss_state state)
{
	uint32_t count = 0;

	for (guint i = 0; i < f->losses->len; i++) {
		const struct loss *loss = f->losses->pdata[i];

		for (guint k = 0; loss->state == state && k < loss->runs->len;
		     k++)
			count += same_task(&lost_run(loss, k)->id, run);
	}
	return count;
}
