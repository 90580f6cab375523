/* Placement rounds, orders to workers and the attempts that result. */
#include <string.h>

#include "api.h"
#include "leader_impl.h"

#define ROUND_PLACEMENTS_MAX 512
#define TASK_BITS 14 /* CELL_TASKS_MAX < 2^TASK_BITS */
#define BACKOFF_FIRST_MS 200 /* after a task's first failure */
#define BACKOFF_MAX_MS 30000

static const char *const end_names[] = {
	[END_DONE] = "done",
	[END_FAILED] = "failed",
	[END_NOT_STARTED] = "not-started",
	[END_STOPPED] = "stopped",
	[END_LOST] = "lost",
};

static uint64_t
attempt_key(uint64_t job, uint32_t task)
{
	return job << TASK_BITS | task;
}

struct leader_attempt *
orders_find_attempt(const struct leader *l, uint64_t job, uint32_t task)
{
	uint64_t key = attempt_key(job, task);

	return g_hash_table_lookup(l->attempts, &key);
}

static uint64_t
data_center_mask(struct leader *l, const struct cell_spec *spec)
{
	uint64_t mask = 0;

	for (guint i = 0;
	     spec->data_centers != NULL && i < spec->data_centers->len; i++)
		mask |= UINT64_C(1)
		    << (leader_intern_name(l->data_center_handles,
			    spec->data_centers->pdata[i]) &
			   63);
	return mask;
}

static struct sched_job
make_sched_job(struct leader *l, const struct cell_job *job)
{
	const struct cell_spec *s = &job->spec;
	struct sched_job sj = { .id = job->id,
		.team = leader_intern_name(l->team_handles, s->team),
		.kind = s->kind,
		.urgent = s->urgent,
		.idempotent = s->idempotent,
		.spread = s->spread,
		.resources = s->resources,
		.runtime_ms = s->runtime_ms,
		.submitted_ms = job->submitted_ms,
		.data_centers = data_center_mask(l, s) };

	if (s->deadline_ms > 0)
		sj.deadline_ms = job->submitted_ms + s->deadline_ms;
	sj.name_hash = observe_name_hash(s);
	sj.runtime_ms = learn_runtime_ms(l->learn, sj.name_hash, s->runtime_ms);
	return sj;
}

static void
queue_tasks(struct leader *l, const struct cell_job *job, uint32_t first,
    uint32_t count)
{
	struct sched_job sj = make_sched_job(l, job);

	sched_job_add(l->sched, &sj, first, count);
	l->dirty = true;
}

/* Records a job whose pending tasks expire at its deadline. */
static void
track_deadline(struct leader *l, const struct cell_job *job)
{
	uint64_t *id;

	if (job->spec.deadline_ms == 0 ||
	    g_hash_table_contains(l->deadlines, &job->id))
		return;
	id = g_new(uint64_t, 1);
	*id = job->id;
	g_hash_table_insert(l->deadlines, id, NULL);
}

/* Exponential back-off with jitter, by the task's number of failures. */
static int64_t
backoff_ms(struct leader *l, uint32_t failures)
{
	int64_t ms = BACKOFF_FIRST_MS;

	for (uint32_t i = 1; i < failures && ms < BACKOFF_MAX_MS; i++)
		ms *= 2;
	ms = MIN(ms, BACKOFF_MAX_MS);
	return ms / 2 + (int64_t)rng_below(&l->rng, (uint64_t)ms / 2 + 1);
}

static void
on_pending(
    void *arg, const struct cell_job *job, uint32_t first, uint32_t count)
{
	struct leader *l = arg;
	const struct cell_task *t = &job->task[first];
	/* A start that a worker refused counts as a failure here. */
	uint32_t failures = t->failures + (t->attempt > 0 && !t->ran ? 1 : 0);
	struct backoff *d;

	track_deadline(l, job);
	if (failures == 0 || job->spec.kind == KIND_GANG) {
		queue_tasks(l, job, first, count);
		return;
	}
	d = g_new0(struct backoff, 1);
	*d = (struct backoff){ .job = job->id,
		.first = first,
		.count = count,
		.due_ms = mono_ms() + backoff_ms(l, failures) };
	g_queue_push_tail(&l->backoffs, d);
}

static struct leader_attempt *
add_attempt(struct leader *l, const struct cell_job *job, uint32_t task)
{
	const struct cell_task *t = &job->task[task];
	struct leader_attempt *a = g_new0(struct leader_attempt, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = attempt_key(job->id, task);
	*a = (struct leader_attempt){ .job = job->id,
		.task = task,
		.attempt = t->attempt,
		.worker = t->worker,
		.assigned_us = mono_us() };
	g_hash_table_insert(l->attempts, key, a);
	return a;
}

/* Adds a span from start_us to now to the job's trace. */
static void
record_span(struct leader *l, uint64_t job, const char *name, int64_t start_us,
    const char *note)
{
	const struct trace_context *job_trace =
	    g_hash_table_lookup(l->traces, &job);
	struct trace_context ctx;
	uint64_t parent;

	if (job_trace == NULL)
		return;
	ctx = *job_trace;
	parent = tracer_start_span(&ctx);
	tracer_end_span(
	    l->node->tracer, &ctx, parent, name, start_us, note, false);
}

/* Sends a home, once, the start template of a job: the part that is the same in
 * all its start orders. */
static void
send_start_template(
    struct leader *l, struct client *home, const struct cell_job *job)
{
	const struct cell_spec *s = &job->spec;
	struct start_template_push push = { .job = job->id,
		.name = s->name,
		.millicpus = s->resources.millicpus,
		.memory = s->resources.memory,
		.accelerators = s->resources.accelerators,
		.payload = s->payload };
	uint64_t *key;

	if (g_hash_table_contains(home->known_templates, &job->id))
		return;
	key = g_new(uint64_t, 1);
	*key = job->id;
	g_hash_table_add(home->known_templates, key);
	proto_send(home->link, FRAME_START_TEMPLATE, &push);
}

void
orders_job_ended(struct leader *l, uint64_t job)
{
	struct start_template_push push = { .job = job, .gone = true };

	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->joined && g_hash_table_remove(c->known_templates, &job))
			proto_send(c->link, FRAME_START_TEMPLATE, &push);
	}
}

/* Sends an order to the worker's home, if that is connected. */
static void
send_order(struct leader *l, const struct cell_job *job, uint32_t task,
    uint32_t worker, uint32_t attempt, enum order_type type)
{
	const struct cell_worker *w = cell_worker(l->cell, worker);
	struct client *home = w == NULL ? NULL : client_by_entry(l, w->home);
	const struct trace_context *trace =
	    g_hash_table_lookup(l->traces, &job->id);
	char header[TRACE_HEADER_LEN + 1] = "";
	struct order order = { .type = type,
		.trace = header,
		.worker = worker,
		.job = job->id,
		.task = task,
		.attempt = attempt };

	if (home == NULL)
		return;
	order.epoch = w->epoch;
	if (type == ORDER_START) {
		order.lease_ms = job->task[task].lease_ms;
		send_start_template(l, home, job);
		if (trace != NULL)
			trace_format(trace, header);
	}
	proto_send(home->link, FRAME_ORDER, &order);
}

static void
record_start(struct leader *l, const struct cell_job *job, uint32_t task)
{
	int64_t wait = leader_now(l) - job->submitted_ms;

	l->node->counters.starts->value++;
	if (job->task[task].attempt > 1) {
		l->node->counters.restarts->value++;
		return;
	}
	timer_add(l->node->counters.wait_kind[job->spec.kind], wait);
	if (job->spec.urgent)
		timer_add(l->node->counters.wait_urgent, wait);
}

static void
on_assigned(void *arg, const struct cell_job *job, uint32_t task)
{
	struct leader *l = arg;
	struct leader_attempt *a = add_attempt(l, job, task);

	record_start(l, job, task);
	workers_update_sched_probing(l, a->worker);
	record_span(l, job->id, "place",
	    mono_us() - (leader_now(l) - job->submitted_ms) * 1000,
	    cell_worker(l->cell, a->worker)->name);
	send_order(l, job, task, a->worker, a->attempt, ORDER_START);
}

static void
on_start_refused(void *arg, const struct cell_start *start)
{
	struct leader *l = arg;
	const struct cell_job *job = cell_job(l->cell, start->job);

	sched_run_end(l->sched, start->job, start->task, start->worker);
	l->dirty = true;
	if (job != NULL && start->task < job->spec.tasks &&
	    job->task[start->task].state == TASK_PENDING)
		queue_tasks(l, job, start->task, 1);
}

static void
on_stopping(void *arg, const struct cell_job *job, uint32_t task)
{
	struct leader *l = arg;
	const struct cell_task *t = &job->task[task];

	targets_changed(l, job, task, t->worker, true);
	send_order(l, job, task, t->worker, t->attempt, ORDER_STOP);
}

static void
on_attempt_ended(void *arg, const struct cell_job *job, uint32_t task,
    uint32_t attempt, uint32_t worker, enum cell_end how)
{
	struct leader *l = arg;
	uint64_t key = attempt_key(job->id, task);

	const struct leader_attempt *a = g_hash_table_lookup(l->attempts, &key);

	if (how == END_LOST)
		l->node->counters.attempts_lost->value++;
	if (how == END_FAILED || how == END_NOT_STARTED)
		sched_job_avoid(l->sched, job->id, worker);
	if (a != NULL) {
		record_span(l, job->id, "task", a->assigned_us, end_names[how]);
		observe_attempt_ended(l, job, a, how);
	}
	sched_run_end(l->sched, job->id, task, worker);
	g_hash_table_remove(l->attempts, &key);
	targets_changed(l, job, task, worker, true);
	workers_update_sched_probing(l, worker);
	send_order(l, job, task, worker, attempt, ORDER_REMOVE);
	l->dirty = true;
}

void
orders_set_callbacks(struct cell_watch *watch)
{
	watch->pending = on_pending;
	watch->assigned = on_assigned;
	watch->start_refused = on_start_refused;
	watch->stopping = on_stopping;
	watch->attempt_ended = on_attempt_ended;
}

static bool
has_attempt(enum cell_task_state state)
{
	return state == TASK_ASSIGNED || state == TASK_STOPPING;
}

/* Loads a job's ranges of pending tasks and its attempts. */
static bool
load_job(void *arg, const struct cell_job *job)
{
	struct leader *l = arg;
	struct sched_job sj;
	uint32_t first = 0;

	if (job->state != JOB_ACTIVE)
		return true;
	track_deadline(l, job);
	/* While a gang is being stopped none of its tasks is placed: the
	 * callback cell_watch.pending reports them all once its attempts have
	 * ended. */
	bool placeable = !job->gang_stopping;

	sj = make_sched_job(l, job);
	for (uint32_t i = 0; i <= job->spec.tasks; i++) {
		bool pending =
		    i < job->spec.tasks && job->task[i].state == TASK_PENDING;

		if (pending)
			continue;
		if (i > first && placeable)
			sched_job_add(l->sched, &sj, first, i - first);
		first = i + 1;
		if (i == job->spec.tasks || !has_attempt(job->task[i].state))
			continue;
		add_attempt(l, job, i);
		sched_run_restore(l->sched, &sj, i, job->task[i].worker,
		    job->task[i].started_ms);
	}
	return true;
}

void
orders_load(struct leader *l)
{
	cell_each_job(l->cell, load_job, l);
	l->dirty = true;
}

struct resend {
	struct leader *leader;
	struct client *client;
};

static bool
resend_one(void *arg, const struct cell_job *job, uint32_t task)
{
	struct resend *r = arg;
	const struct cell_task *t = &job->task[task];

	send_order(r->leader, job, task, t->worker, t->attempt, ORDER_START);
	if (t->state == TASK_STOPPING)
		send_order(
		    r->leader, job, task, t->worker, t->attempt, ORDER_STOP);
	return true;
}

void
orders_resend(struct leader *l, struct client *c, uint32_t worker)
{
	struct resend r = { l, c };

	cell_each_attempt(l->cell, worker, resend_one, &r);
}

static void
propose_end(struct leader *l, const struct leader_attempt *a, enum cell_end how)
{
	struct cell_cmd cmd = { .type = CMD_END };

	cmd.u.end.job = a->job;
	cmd.u.end.task = a->task;
	cmd.u.end.attempt = a->attempt;
	cmd.u.end.worker = a->worker;
	cmd.u.end.how = how;
	(void)leader_propose(l, &cmd);
}

/* A worker has accepted a start order: a service task accepts calls now. */
static void
confirm(struct leader *l, struct leader_attempt *a)
{
	const struct cell_job *job = cell_job(l->cell, a->job);
	const struct cell_worker *w = cell_worker(l->cell, a->worker);
	const struct leader_worker *lw = workers_find(l, a->worker);

	if (a->confirmed || job == NULL || w == NULL)
		return;
	/* After the session has expired the attempt stays unconfirmed, so that
	 * its lease counts from the expiry and not from the last renewal. */
	if (lw != NULL && lw->session_expired_ms != 0)
		return;
	a->confirmed = true;
	if (job->task[a->task].state == TASK_ASSIGNED && w->state == WORKER_UP)
		targets_changed(l, job, a->task, a->worker, false);
}

void
orders_result(struct leader *l, const struct order_result *result)
{
	struct leader_attempt *a =
	    orders_find_attempt(l, result->job, result->task);

	if (a == NULL || a->attempt != result->attempt ||
	    a->worker != result->worker)
		return;
	if (result->type == ORDER_STOP) {
		/* The worker does not know the attempt. It may have run under
		 * an earlier leader, which this leader has no record of. */
		propose_end(l, a, a->confirmed ? END_STOPPED : END_NOT_STARTED);
		return;
	}
	if (result->outcome == ORDER_DONE)
		confirm(l, a);
	else if (!a->confirmed)
		propose_end(l, a, END_NOT_STARTED);
}

void
orders_attempt_lost(struct leader *l, const struct cell_job *job, uint32_t task)
{
	struct leader_attempt *a = orders_find_attempt(l, job->id, task);

	if (a == NULL || a->lost_proposed)
		return;
	a->lost_proposed = true;
	propose_end(l, a, END_LOST);
}

/* Proposes placements in one command; a gang has a command of its own. */
static void
propose_starts(
    struct leader *l, const struct sched_placement *p, guint count, bool gang)
{
	struct cell_cmd cmd = { .type = CMD_START };

	cmd.u.start.all_or_none = gang;
	cmd.u.start.starts =
	    g_array_sized_new(FALSE, FALSE, sizeof(struct cell_start), count);
	for (guint i = 0; i < count; i++) {
		struct cell_start s = { p[i].job, p[i].task, p[i].worker };

		g_array_append_val(cmd.u.start.starts, s);
	}
	(void)leader_propose(l, &cmd);
	g_array_unref(cmd.u.start.starts);
}

static bool
is_gang(struct leader *l, uint64_t job)
{
	const struct cell_job *j = cell_job(l->cell, job);

	return j != NULL && j->spec.kind == KIND_GANG;
}

static void
propose_preempt(struct leader *l, const struct sched_preemption *p)
{
	const struct cell_job *job = cell_job(l->cell, p->job);
	struct cell_cmd cmd = { .type = CMD_PREEMPT };

	if (job == NULL || p->task >= job->spec.tasks ||
	    job->task[p->task].state != TASK_ASSIGNED)
		return;
	if (p->action == SCHED_THROTTLE) {
		send_order(l, job, p->task, p->worker,
		    job->task[p->task].attempt, ORDER_THROTTLE);
		return;
	}
	send_order(l, job, p->task, p->worker, job->task[p->task].attempt,
	    ORDER_CHECKPOINT);
	cmd.u.preempt.job = p->job;
	cmd.u.preempt.task = p->task;
	cmd.u.preempt.attempt = job->task[p->task].attempt;
	(void)leader_propose(l, &cmd);
}

bool
orders_round_due(const struct leader *l)
{
	int64_t next = sched_next_ms(l->sched);

	return next >= 0 && leader_now(l) >= next;
}

/* Ends the throttling of a task that need not be stopped any more. */
static void
send_resume(struct leader *l, const struct sched_placement *p)
{
	const struct cell_job *job = cell_job(l->cell, p->job);

	if (job != NULL && p->task < job->spec.tasks &&
	    job->task[p->task].state == TASK_ASSIGNED)
		send_order(l, job, p->task, p->worker,
		    job->task[p->task].attempt, ORDER_RESUME);
}

void
orders_run_round(struct leader *l)
{
	struct sched_round round;
	const struct sched_placement *p;
	guint i = 0;

	l->dirty = false;
	sched_round_init(&round);
	sched_decide(l->sched, leader_now(l), ROUND_PLACEMENTS_MAX, &round);
	p = (const struct sched_placement *)round.placements->data;
	while (i < round.placements->len) {
		bool gang = is_gang(l, p[i].job);
		guint n = 1;

		while (i + n < round.placements->len &&
		    (gang ? p[i + n].job == p[i].job
			  : !is_gang(l, p[i + n].job)))
			n++;
		propose_starts(l, p + i, n, gang);
		i += n;
	}
	for (i = 0; i < round.preemptions->len; i++)
		propose_preempt(l,
		    &g_array_index(
			round.preemptions, struct sched_preemption, i));
	for (i = 0; i < round.resumes->len; i++)
		send_resume(l,
		    &g_array_index(round.resumes, struct sched_placement, i));
	l->dirty = round.placements->len >= ROUND_PLACEMENTS_MAX;
	sched_round_clear(&round);
}

/* Queues the tasks whose back-off is over. */
static void
scan_backoffs(struct leader *l, int64_t now)
{
	GList *next;

	for (GList *i = l->backoffs.head; i != NULL; i = next) {
		struct backoff *d = i->data;
		const struct cell_job *job = cell_job(l->cell, d->job);

		next = i->next;
		if (d->due_ms > now)
			continue;
		for (uint32_t t = d->first;
		     job != NULL && t < d->first + d->count; t++)
			if (job->task[t].state == TASK_PENDING)
				queue_tasks(l, job, t, 1);
		g_queue_delete_link(&l->backoffs, i);
		g_free(d);
	}
}

void
orders_scan(struct leader *l, int64_t now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer proposed;

	scan_backoffs(l, now);
	g_hash_table_iter_init(&iter, l->deadlines);
	while (g_hash_table_iter_next(&iter, &key, &proposed)) {
		const struct cell_job *job =
		    cell_job(l->cell, *(const uint64_t *)key);
		struct cell_cmd cmd = { .type = CMD_EXPIRE };

		if (job == NULL || proposed != NULL ||
		    leader_now(l) < job->submitted_ms + job->spec.deadline_ms)
			continue;
		cmd.u.expire = job->id;
		if (leader_propose(l, &cmd) != 0)
			g_hash_table_iter_replace(&iter, GUINT_TO_POINTER(1));
	}
	l->node->counters.tasks_pending->value =
	    (int64_t)sched_waiting_tasks(l->sched);
	l->node->counters.tasks_running->value =
	    (int64_t)g_hash_table_size(l->attempts);
}

const char *
orders_wait_reason(struct leader *l, uint64_t job, char **message)
{
	struct sched_wait_reason info;

	if (!sched_wait_reason(l->sched, job, &info))
		return NULL;
	if (info.resource != NULL)
		*message = g_strdup_printf(
		    "%s does not fit; the largest that fits is "
		    "%" G_GINT64_FORMAT " millicpus, %" G_GINT64_FORMAT
		    " bytes of memory and %" G_GINT64_FORMAT " accelerators",
		    info.resource, info.largest.millicpus, info.largest.memory,
		    info.largest.accelerators);
	return sched_reason_name(info.reason);
}
