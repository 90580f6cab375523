/* Attempts on the leader: placement rounds, orders and what comes of them. */
#include <string.h>

#include "api.h"
#include "leader_impl.h"

#define ROUND_MAX 512 /* placements in one round */
#define TASK_BITS 14 /* CELL_TASKS_MAX is below 2^14 */
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

struct lattempt *
orders_find(const struct leader *l, uint64_t job, uint32_t task)
{
	uint64_t key = attempt_key(job, task);

	return g_hash_table_lookup(l->attempts, &key);
}

static uint64_t
place_mask(struct leader *l, const struct cell_spec *spec)
{
	uint64_t mask = 0;

	for (guint i = 0;
	     spec->data_centers != NULL && i < spec->data_centers->len; i++)
		mask |= UINT64_C(1) << (leader_handle(l->data_centers,
					    spec->data_centers->pdata[i]) &
			    63);
	return mask;
}

static struct sched_job
sched_spec(struct leader *l, const struct cell_job *job)
{
	const struct cell_spec *s = &job->spec;
	struct sched_job sj = { .id = job->id,
		.team = leader_handle(l->teams, s->team),
		.kind = s->kind,
		.urgent = s->urgent,
		.idempotent = s->idempotent,
		.spread = s->spread,
		.resources = s->resources,
		.runtime_ms = s->runtime_ms,
		.submitted_ms = job->submitted_ms,
		.data_centers = place_mask(l, s) };

	if (s->deadline_ms > 0)
		sj.deadline_ms = job->submitted_ms + s->deadline_ms;
	sj.name_hash = observe_name(s);
	sj.runtime_ms = learn_runtime_ms(l->learn, sj.name_hash, s->runtime_ms);
	return sj;
}

static void
offer(struct leader *l, const struct cell_job *job, uint32_t first,
    uint32_t count)
{
	struct sched_job sj = sched_spec(l, job);

	sched_job_add(l->sched, &sj, first, count);
	l->dirty = true;
}

/* Remembers a job whose waiting tasks are given up at its deadline. */
static void
note_deadline(struct leader *l, const struct cell_job *job)
{
	uint64_t *id;

	if (job->spec.deadline_ms == 0 ||
	    g_hash_table_contains(l->deadlines, &job->id))
		return;
	id = g_new(uint64_t, 1);
	*id = job->id;
	g_hash_table_insert(l->deadlines, id, NULL);
}

/* Exponential back-off with jitter, by the task's failures so far. */
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
	/* A worker that refused a start counts like a failure here. */
	uint32_t failures = t->failures + (t->attempt > 0 && !t->ran ? 1 : 0);
	struct delayed *d;

	note_deadline(l, job);
	if (failures == 0 || job->spec.kind == KIND_GANG) {
		offer(l, job, first, count);
		return;
	}
	d = g_new0(struct delayed, 1);
	*d = (struct delayed){ .job = job->id,
		.first = first,
		.count = count,
		.due_ms = mono_ms() + backoff_ms(l, failures) };
	g_queue_push_tail(&l->delays, d);
}

static struct lattempt *
note_attempt(struct leader *l, const struct cell_job *job, uint32_t task)
{
	const struct cell_task *t = &job->task[task];
	struct lattempt *a = g_new0(struct lattempt, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = attempt_key(job->id, task);
	*a = (struct lattempt){ .job = job->id,
		.task = task,
		.attempt = t->attempt,
		.worker = t->worker,
		.assigned_us = mono_us() };
	g_hash_table_insert(l->attempts, key, a);
	return a;
}

/* Records a span of the job's trace that began at start_us. */
static void
job_span(struct leader *l, uint64_t job, const char *name, int64_t start_us,
    const char *note)
{
	const struct trace_context *of = g_hash_table_lookup(l->traces, &job);
	struct trace_context ctx;
	uint64_t parent;

	if (of == NULL)
		return;
	ctx = *of;
	parent = tracer_start(&ctx);
	tracer_end(l->node->tracer, &ctx, parent, name, start_us, note, false);
}

/* Tells a home once what a job's start orders have in common. */
static void
push_shape(struct leader *l, struct client *home, const struct cell_job *job)
{
	const struct cell_spec *s = &job->spec;
	struct start_template_push push = { .job = job->id,
		.name = s->name,
		.millicpus = s->resources.millicpus,
		.memory = s->resources.memory,
		.accelerators = s->resources.accelerators,
		.payload = s->payload };
	uint64_t *key;

	if (g_hash_table_contains(home->shapes, &job->id))
		return;
	key = g_new(uint64_t, 1);
	*key = job->id;
	g_hash_table_add(home->shapes, key);
	proto_send(home->link, FRAME_START_TEMPLATE, &push);
}

void
orders_job_ended(struct leader *l, uint64_t job)
{
	struct start_template_push push = { .job = job, .gone = true };

	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->joined && g_hash_table_remove(c->shapes, &job))
			proto_send(c->link, FRAME_START_TEMPLATE, &push);
	}
}

/* Sends one order to the home of its worker, if that is connected. */
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
		push_shape(l, home, job);
		if (trace != NULL)
			trace_format(trace, header);
	}
	proto_send(home->link, FRAME_ORDER, &order);
}

static void
count_wait(struct leader *l, const struct cell_job *job, uint32_t task)
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
	struct lattempt *a = note_attempt(l, job, task);

	count_wait(l, job, task);
	workers_refresh(l, a->worker);
	job_span(l, job->id, "place",
	    mono_us() - (leader_now(l) - job->submitted_ms) * 1000,
	    cell_worker(l->cell, a->worker)->name);
	send_order(l, job, task, a->worker, a->attempt, ORDER_START);
}

static void
on_refused(void *arg, const struct cell_start *start)
{
	struct leader *l = arg;
	const struct cell_job *job = cell_job(l->cell, start->job);

	sched_run_end(l->sched, start->job, start->task, start->worker);
	l->dirty = true;
	if (job != NULL && start->task < job->spec.tasks &&
	    job->task[start->task].state == TASK_PENDING)
		offer(l, job, start->task, 1);
}

static void
on_stop(void *arg, const struct cell_job *job, uint32_t task)
{
	struct leader *l = arg;
	const struct cell_task *t = &job->task[task];

	targets_changed(l, job, task, t->worker, true);
	send_order(l, job, task, t->worker, t->attempt, ORDER_STOP);
}

static void
on_ended(void *arg, const struct cell_job *job, uint32_t task, uint32_t attempt,
    uint32_t worker, enum cell_end how)
{
	struct leader *l = arg;
	uint64_t key = attempt_key(job->id, task);

	const struct lattempt *a = g_hash_table_lookup(l->attempts, &key);

	if (how == END_LOST)
		l->node->counters.attempts_lost->value++;
	if (how == END_FAILED || how == END_NOT_STARTED)
		sched_job_avoid(l->sched, job->id, worker);
	if (a != NULL) {
		job_span(l, job->id, "task", a->assigned_us, end_names[how]);
		observe_ended(l, job, a, how);
	}
	sched_run_end(l->sched, job->id, task, worker);
	g_hash_table_remove(l->attempts, &key);
	targets_changed(l, job, task, worker, true);
	workers_refresh(l, worker);
	send_order(l, job, task, worker, attempt, ORDER_REMOVE);
	l->dirty = true;
}

void
orders_watch(struct cell_watch *watch)
{
	watch->pending = on_pending;
	watch->assigned = on_assigned;
	watch->start_refused = on_refused;
	watch->stopping = on_stop;
	watch->attempt_ended = on_ended;
}

static bool
held(enum cell_task_state state)
{
	return state == TASK_ASSIGNED || state == TASK_STOPPING;
}

/* Mirrors one job of the agreed state: runs of waiting tasks, attempts. */
static bool
load_job(void *arg, const struct cell_job *job)
{
	struct leader *l = arg;
	struct sched_job sj;
	uint32_t first = 0;

	if (job->state != JOB_ACTIVE)
		return true;
	note_deadline(l, job);
	/* A gang that is being stopped waits again as a whole, later. */
	bool offered = !job->gang_stopping;

	sj = sched_spec(l, job);
	for (uint32_t i = 0; i <= job->spec.tasks; i++) {
		bool pending =
		    i < job->spec.tasks && job->task[i].state == TASK_PENDING;

		if (pending)
			continue;
		if (i > first && offered)
			sched_job_add(l->sched, &sj, first, i - first);
		first = i + 1;
		if (i == job->spec.tasks || !held(job->task[i].state))
			continue;
		note_attempt(l, job, i);
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

/* The orders that a worker's new home, or a home again connected, needs. */
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
propose_end(struct leader *l, const struct lattempt *a, enum cell_end how)
{
	struct cell_cmd cmd = { .type = CMD_END };

	cmd.u.end.job = a->job;
	cmd.u.end.task = a->task;
	cmd.u.end.attempt = a->attempt;
	cmd.u.end.worker = a->worker;
	cmd.u.end.how = how;
	(void)leader_propose(l, &cmd);
}

/* A worker has taken a start order: a service's task takes calls now. */
static void
confirm(struct leader *l, struct lattempt *a)
{
	const struct cell_job *job = cell_job(l->cell, a->job);
	const struct cell_worker *w = cell_worker(l->cell, a->worker);
	const struct lworker *lw = workers_find(l, a->worker);

	if (a->confirmed || job == NULL || w == NULL)
		return;
	/* An answer after the lapse: its lease counts from the lapse, not from
	 * the last renewal before it. */
	if (lw != NULL && lw->lapsed_ms != 0)
		return;
	a->confirmed = true;
	if (job->task[a->task].state == TASK_ASSIGNED && w->state == WORKER_UP)
		targets_changed(l, job, a->task, a->worker, false);
}

void
orders_result(struct leader *l, const struct order_result *result)
{
	struct lattempt *a = orders_find(l, result->job, result->task);

	if (a == NULL || a->attempt != result->attempt ||
	    a->worker != result->worker)
		return;
	if (result->type == ORDER_STOP) {
		/* The worker does not know the attempt. It may have run under
		 * an earlier leader, of which we know nothing. */
		propose_end(l, a, a->confirmed ? END_STOPPED : END_NOT_STARTED);
		return;
	}
	if (result->outcome == ORDER_DONE)
		confirm(l, a);
	else if (!a->confirmed)
		propose_end(l, a, END_NOT_STARTED);
}

/* An attempt whose lease has certainly run out. */
void
orders_lost(struct leader *l, const struct cell_job *job, uint32_t task)
{
	struct lattempt *a = orders_find(l, job->id, task);

	if (a == NULL || a->lost_proposed)
		return;
	a->lost_proposed = true;
	propose_end(l, a, END_LOST);
}

/* Proposes a run of placements: a gang's in a record of their own. */
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
orders_due(const struct leader *l)
{
	int64_t next = sched_next_ms(l->sched);

	return next >= 0 && leader_now(l) >= next;
}

/* Lifts the throttle of a task whose room is no longer asked for. */
static void
resume(struct leader *l, const struct sched_placement *p)
{
	const struct cell_job *job = cell_job(l->cell, p->job);

	if (job != NULL && p->task < job->spec.tasks &&
	    job->task[p->task].state == TASK_ASSIGNED)
		send_order(l, job, p->task, p->worker,
		    job->task[p->task].attempt, ORDER_RESUME);
}

void
orders_round(struct leader *l)
{
	struct sched_round round;
	const struct sched_placement *p;
	guint i = 0;

	l->dirty = false;
	sched_round_init(&round);
	sched_decide(l->sched, leader_now(l), ROUND_MAX, &round);
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
		resume(l,
		    &g_array_index(round.resumes, struct sched_placement, i));
	l->dirty = round.placements->len >= ROUND_MAX;
	sched_round_clear(&round);
}

/* Offers the tasks again whose back-off is over. */
static void
scan_delays(struct leader *l, int64_t now)
{
	GList *next;

	for (GList *i = l->delays.head; i != NULL; i = next) {
		struct delayed *d = i->data;
		const struct cell_job *job = cell_job(l->cell, d->job);

		next = i->next;
		if (d->due_ms > now)
			continue;
		for (uint32_t t = d->first;
		     job != NULL && t < d->first + d->count; t++)
			if (job->task[t].state == TASK_PENDING)
				offer(l, job, t, 1);
		g_queue_delete_link(&l->delays, i);
		g_free(d);
	}
}

void
orders_scan(struct leader *l, int64_t now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer proposed;

	scan_delays(l, now);
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
orders_why(struct leader *l, uint64_t job, char **message)
{
	struct sched_wait_reason why;

	if (!sched_wait_reason(l->sched, job, &why))
		return NULL;
	if (why.resource != NULL)
		*message = g_strdup_printf(
		    "%s does not fit; the largest that fits is "
		    "%" G_GINT64_FORMAT " millicpus, %" G_GINT64_FORMAT
		    " bytes of memory and %" G_GINT64_FORMAT " accelerators",
		    why.resource, why.largest.millicpus, why.largest.memory,
		    why.largest.accelerators);
	return sched_reason_name(why.reason);
}
