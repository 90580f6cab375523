/* Placement rounds: assign pending tasks to workers, most urgent first. */
#include <math.h>

#include "impl.h"

#define SLOWDOWN_WEIGHT 0.1 /* of one run in a worker's moving average */
#define SLOWDOWN_MAX 8.0 /* limits the effect of one run */
#define STUCK_MS 1500 /* a run without progress for this time is moved */
#define STUCK_EXCLUDE_MS 2000 /* its worker gets no new work for this time */
#define SLOWDOWN_DECAY_MS 4000 /* time constant of the decay towards 1 */
#define ESTIMATE_RUNS_MIN 20 /* before an estimate is used to rate workers */
#define STUCK_RUNS_MAX 3 /* later runs of a task are not moved */
#define STARTS_MAX 512 /* in one command */
#define PREEMPTIONS_PER_ROUND 6 /* steps that a round preempts runs for */
#define PREEMPT_INTERVAL_MS 40 /* between rounds that preempt */
#define LOAD_LOG_INTERVAL_MS 1000 /* between load log lines */

static struct plan_estimate *
estimate_of_queue(struct dispatch *d, const char *queue)
{
	struct plan_estimate *estimate =
	    g_hash_table_lookup(d->estimates, queue);

	if (estimate != NULL)
		return estimate;
	estimate = g_new0(struct plan_estimate, 1);
	speeds_init_estimate(d, queue, estimate);
	g_hash_table_insert(d->estimates, g_strdup(queue), estimate);
	return estimate;
}

/* The slowdown of a worker now: old measurements decay towards 1. */
static double
slowdown_now(const struct holder *h, int64_t now)
{
	double age = (double)(now - h->slowdown_ms) / SLOWDOWN_DECAY_MS;

	return 1 + (h->slowdown - 1) * exp(-age);
}

static void
slowdown_update(struct holder *h, double slowdown, int64_t now)
{
	double current = slowdown_now(h, now);
	double measured = MIN(slowdown, SLOWDOWN_MAX);

	h->slowdown = current + (measured - current) * SLOWDOWN_WEIGHT;
	h->slowdown_ms = now;
}

void
round_record_runtime(struct dispatch *d, const struct flow_job *job,
    const struct active_run *r, int64_t ran_ms)
{
	const struct flow_step *step = flow_job_step(job, r->id.step);
	struct plan_estimate *estimate = estimate_of_queue(d, job->queue->name);
	double slowdown;

	/* A run resumed from a checkpoint took only part of the run time. */
	if (step->long_running || (step->checkpointing && r->id.number > 1))
		return;
	ran_ms = (int64_t)((double)ran_ms / r->multiplier);
	estimate->robust = d->speeds_in_effect;
	slowdown = (double)ran_ms /
	    (double)MAX(plan_estimate_ms(estimate, step->runtime_ms), 1);
	plan_estimate_update(estimate, step->runtime_ms, ran_ms);
	if (step->gang && step->count > 1)
		return;
	if (estimate->samples > ESTIMATE_RUNS_MIN)
		slowdown_update(r->holder, slowdown, mono_ms());
}

void
round_record_progress(struct active_run *r, int64_t percent, int64_t now)
{
	struct dispatch *d = r->holder->d;
	const struct flow_job *job = flow_job(d->conf.flow, r->id.job);
	const struct flow_step *step;

	if (r->progress_ms == 0 || percent != r->percent)
		r->progress_ms = now;
	r->percent = percent;
	if (job == NULL || flow_job_ended(job) || r->stopping ||
	    percent >= 100 || r->id.number > STUCK_RUNS_MAX ||
	    now - r->progress_ms < STUCK_MS)
		return;
	step = flow_job_step(job, r->id.step);
	if (step->long_running || step->best_effort)
		return;
	log_info("dispatch",
	    "event=stop run=%s worker=%s why=stuck percent=%" G_GINT64_FORMAT
	    " unchanged_ms=%" G_GINT64_FORMAT,
	    run_name(&r->id), r->holder->name, percent, now - r->progress_ms);
	d->meter.stops->value++;
	r->holder->excluded_until_ms = now + STUCK_EXCLUDE_MS;
	run_stop(r);
}

static int64_t
permit_ms(const struct flow_queue *q)
{
	return q->needs_permit
	    ? (int64_t)(q->permit_call_ms +
		  OBJECTIVE_QUERY_WORKERS * q->permit_worker_ms)
	    : 0;
}

/* The estimated run time of the longest chain of dependent steps of a job, or
 * of the steps that an occurrence still has to do, on fast workers. */
static int64_t
critical_path_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	const struct plan_estimate *estimate =
	    estimate_of_queue(d, job->queue->name);
	double multiplier = occurrence == NULL ? 1 : d->fast_multiplier;
	GPtrArray *steps = job->spec.steps;
	int64_t *path_ms = g_newa(int64_t, steps->len);
	int64_t longest = 0;

	for (guint i = 0; i < steps->len; i++) {
		const struct flow_step *s = steps->pdata[i];
		bool done = occurrence != NULL &&
		    occurrence->steps[i].done == occurrence->steps[i].count;

		path_ms[i] = 0;
		for (guint k = 0; k < s->after->len; k++)
			path_ms[i] = MAX(path_ms[i],
			    path_ms[g_array_index(s->after, uint32_t, k)]);
		if (!done)
			path_ms[i] += (int64_t)(multiplier *
					  (double)plan_estimate_ms(
					      estimate, s->runtime_ms)) +
			    permit_ms(job->queue);
		longest = MAX(longest, path_ms[i]);
	}
	return longest;
}

int64_t
round_objective_ms(struct dispatch *d, const struct flow_job *job)
{
	if (job->spec.steps == NULL)
		return 0;
	return job->queue->target_ms +
	    (int64_t)(job->queue->slack_factor *
		(double)critical_path_ms(d, job, NULL));
}

int64_t
round_runtime_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_step *step, double quantile)
{
	return (int64_t)(d->fast_multiplier *
	    (double)plan_estimate_quantile_ms(
		estimate_of_queue(d, job->queue->name), step->runtime_ms,
		quantile));
}

int64_t
round_critical_path_ms(struct dispatch *d, const struct flow_job *job)
{
	return critical_path_ms(d, job, NULL);
}

int64_t
round_run_remaining_ms(
    struct dispatch *d, const struct flow_job *job, const struct active_run *r)
{
	const struct plan_estimate *estimate =
	    estimate_of_queue(d, job->queue->name);
	/* A start that is proposed has no start time yet. */
	int64_t ran_ms = r->started_ms == 0 ? 0 : mono_ms() - r->started_ms;
	int64_t runtime_ms = plan_estimate_quantile_ms(estimate,
	    flow_job_step(job, r->id.step)->runtime_ms,
	    d->speeds_in_effect ? PLAN_QUANTILE_HIGH : 0.5);

	runtime_ms = (int64_t)((double)runtime_ms * r->multiplier);
	/* A run that exceeds most others may take several times as long. */
	if (d->speeds_in_effect && ran_ms > runtime_ms)
		return ran_ms;
	return MAX(runtime_ms - ran_ms, 0);
}

struct plan_pending
round_urgency(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	return (struct plan_pending){ .accepted_ms = occurrence->due_ms,
		.objective_ms = round_objective_ms(d, job),
		.remaining_ms = critical_path_ms(d, job, occurrence),
		.priority = job->queue->priority };
}

static uint32_t
rack_number(struct dispatch *d, const char *rack)
{
	gpointer known;

	if (rack == NULL || *rack == '\0')
		return 0;
	known = g_hash_table_lookup(d->racks, rack);
	if (known == NULL) {
		known = GUINT_TO_POINTER(g_hash_table_size(d->racks) + 1);
		g_hash_table_insert(d->racks, g_strdup(rack), known);
	}
	return GPOINTER_TO_UINT(known);
}

static int
by_free_descending(gconstpointer a, gconstpointer b)
{
	const struct plan_worker *x = *(struct plan_worker *const *)a;
	const struct plan_worker *y = *(struct plan_worker *const *)b;

	return x->free.millicpus > y->free.millicpus
	    ? -1
	    : x->free.millicpus < y->free.millicpus;
}

void
round_sort_workers(GPtrArray *workers)
{
	g_ptr_array_sort(workers, by_free_descending);
}

static void
collect_workers(struct round *rd)
{
	struct dispatch *d = rd->d;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		struct round_worker *w;
		uint32_t task_limit;

		if (!holder_available(h, rd->now))
			continue;
		task_limit = holder_task_limit(h, rd->now);
		if (task_limit == 0)
			continue;
		w = g_new0(struct round_worker, 1);
		w->holder = h;
		w->worker = flow_worker(d->conf.flow, h->id);
		w->plan.worker = h->id;
		w->plan.capacity = w->plan.free = w->worker->capacity;
		resources_add(&w->plan.free, &h->used, -1);
		w->plan.rack = rack_number(d, w->worker->rack);
		w->plan.slowdown = d->speeds_in_effect
		    ? MAX(h->multiplier / d->fast_multiplier, 1)
		    : slowdown_now(h, rd->now);
		w->plan.task_limit = task_limit;
		h->in_round = w;
		g_ptr_array_add(rd->workers, w);
	}
	round_sort_workers(rd->workers);
}

/* Says whether a task is pending and its start isn't proposed already. */
static bool
task_waits(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step, uint32_t index)
{
	const struct flow_task *task = &occurrence->steps[step].tasks[index];
	struct flow_run id = { job->id, occurrence->number, step, index, 0 };

	return task->state == FLOW_PENDING &&
	    !apart_holds_back(rd, flow_job_step(job, step), task) &&
	    run_find(rd->d, &id) == NULL;
}

/* A gang starts once no member of its last run is left and none is held back.
 * Its starts are proposed together: one member stands for all. */
static bool
gang_waits(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step)
{
	const struct flow_step_state *st = &occurrence->steps[step];

	if (st->pending < st->count ||
	    !task_waits(rd, job, occurrence, step, 0))
		return false;
	for (uint32_t i = 0; i < st->count; i++)
		if (apart_holds_back(
			rd, flow_job_step(job, step), &st->tasks[i]))
			return false;
	return true;
}

struct pending_step
round_pending_step(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step,
    const struct plan_pending *urgency)
{
	const struct flow_step *s = flow_job_step(job, step);
	struct pending_step p = { .plan = *urgency,
		.job = job,
		.occurrence = occurrence,
		.step = step,
		.organisation = organisation_in_round(rd, job) };

	p.plan.best_effort = s->best_effort;
	p.plan.long_running = s->long_running;
	p.plan.serial = rd->serial++;
	return p;
}

static void
add_pending_step(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step,
    const struct plan_pending *urgency)
{
	const struct flow_step_state *st = &occurrence->steps[step];
	const struct flow_step *s = flow_job_step(job, step);
	struct pending_step p;

	if (st->pending == 0 || !flow_step_ready(job, occurrence, step))
		return;
	if (s->gang && !gang_waits(rd, job, occurrence, step))
		return;
	p = round_pending_step(rd, job, occurrence, step, urgency);
	g_array_append_val(rd->pending, p);
}

static bool
has_pending_step(
    const struct flow_job *job, const struct flow_occurrence *occurrence)
{
	for (guint s = 0; s < job->spec.steps->len; s++)
		if (occurrence->steps[s].pending > 0 &&
		    flow_step_ready(job, occurrence, s))
			return true;
	return false;
}

static void
add_pending_steps(void *arg, const struct flow_job *job)
{
	struct round *rd = arg;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const struct flow_occurrence *occurrence =
		    job->occurrences->pdata[i];
		struct plan_pending urgency;

		if (occurrence->due_ms > rd->cell_now)
			continue;
		ahead_add_steps(rd, job, occurrence);
		if (!has_pending_step(job, occurrence))
			continue;
		urgency = round_urgency(rd->d, job, occurrence);
		for (guint s = 0; s < job->spec.steps->len; s++)
			add_pending_step(rd, job, occurrence, s, &urgency);
	}
}

static bool
has_label(const struct flow_worker *w, const char *label)
{
	if (label == NULL)
		return true;
	for (guint i = 0; i < w->labels->len; i++)
		if (strcmp(w->labels->pdata[i], label) == 0)
			return true;
	return false;
}

/* How many tasks of an occurrence's step are assigned to a worker. */
static uint32_t
count_step_tasks(const struct holder *h, const struct pending_step *p)
{
	uint32_t count = 0;

	for (guint i = 0; i < h->runs->len; i++) {
		const struct active_run *r = h->runs->pdata[i];

		count += r->id.job == p->job->id &&
		    r->id.occurrence == p->occurrence->number &&
		    r->id.step == p->step;
	}
	return count;
}

/* Says whether one more failure of a waiting task fails its job. */
static bool
last_attempt(const struct pending_step *p)
{
	const struct flow_step_state *st = &p->occurrence->steps[p->step];

	for (uint32_t i = 0; i < st->count; i++)
		if (st->tasks[i].state == FLOW_PENDING &&
		    st->tasks[i].failures + 1 >= p->job->queue->max_failures)
			return true;
	return false;
}

static bool
is_probing(const struct plan_worker *w)
{
	return w->task_limit <= 1;
}

/*
 * Drops probing workers, for work that should not fail there: gangs, which one
 * failed member ends, and last attempts. Keeps them if they are the majority.
 */
static void
drop_probing(GPtrArray *workers)
{
	guint probing = 0;

	for (guint i = 0; i < workers->len; i++)
		probing += is_probing(workers->pdata[i]);
	if (probing * 2 > workers->len)
		return;
	for (guint i = workers->len; i > 0; i--)
		if (is_probing(workers->pdata[i - 1]))
			g_ptr_array_remove_index_fast(workers, i - 1);
}

enum round_obstacle
round_obstacle(const struct round *rd, const struct pending_step *p,
    struct apartness apart, struct holder *h, const struct flow_worker *w)
{
	if (strcmp(w->pool, p->job->queue->pool) != 0)
		return ROUND_OTHER_POOL;
	if (!has_label(w, flow_job_step(p->job, p->step)->label))
		return ROUND_NO_LABEL;
	if (preempt_reserved_for_other(h, p, rd->now))
		return ROUND_RESERVED;
	return apart_allows(h, p->job->id, apart, rd->now) ? ROUND_ALLOWED
							   : ROUND_APART;
}

/* Adds a worker if the step's constraints, its queue and the separation from
 * other runs allow it. */
static void
add_if_allowed(struct round *rd, const struct pending_step *p,
    struct apartness apart, struct round_worker *w, GPtrArray *out)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);

	if (round_obstacle(rd, p, apart, w->holder, w->worker) != ROUND_ALLOWED)
		return;
	w->plan.step_tasks =
	    step->max_per_worker == 0 ? 0 : count_step_tasks(w->holder, p);
	g_ptr_array_add(out, w);
}

static void
drop_unsuitable(const struct pending_step *p, GPtrArray *workers)
{
	if (flow_job_step(p->job, p->step)->gang || last_attempt(p))
		drop_probing(workers);
}

GPtrArray *
round_allowed_workers(
    struct round *rd, const struct pending_step *p, struct apartness apart)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < rd->workers->len; i++)
		add_if_allowed(rd, p, apart, rd->workers->pdata[i], out);
	drop_unsuitable(p, out);
	return out;
}

/* The allowed workers that there is a valid permit for. Goes through the
 * permits, as there are far fewer of them than workers. */
static GPtrArray *
permitted_workers(struct round *rd, const struct pending_step *p,
    const struct step_permits *permits, struct apartness apart)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, permits->permits);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct permit *permit = value;
		const struct holder *h;

		if (permit->until_ms <= rd->now)
			continue;
		h = holder_find(rd->d, GPOINTER_TO_UINT(id));
		if (h != NULL && h->in_round != NULL)
			add_if_allowed(rd, p, apart, h->in_round, out);
	}
	drop_unsuitable(p, out);
	return out;
}

/* Reserves resources for a task; its start is proposed at the round's end. */
static void
reserve(struct round *rd, const struct pending_step *p, uint32_t index,
    uint32_t number, uint32_t worker, const char *permit)
{
	struct flow_start s = { .id = { p->job->id, p->occurrence->number,
				    p->step, index, number },
		.worker = worker };
	struct active_run *r = run_add(rd->d, holder_find(rd->d, worker), &s.id,
	    flow_job_step(p->job, p->step));

	r->permit = g_strdup(permit);
	g_array_append_val(rd->starts, s);
}

/* All members of a gang get the same run number, above all earlier ones. */
static uint32_t
next_run_number(const struct flow_step_state *st, bool gang, uint32_t index)
{
	uint32_t number = st->tasks[index].last_run;

	for (uint32_t i = 0; gang && i < st->count; i++)
		number = MAX(number, st->tasks[i].last_run);
	return number + 1;
}

/* Says whether a task is one of those to place now: a gang is placed as a
 * whole, other tasks with those that want the same separation. */
static bool
is_to_place(const struct round *rd, const struct pending_step *p,
    uint32_t index, enum separation wanted)
{
	const struct flow_task *task =
	    &p->occurrence->steps[p->step].tasks[index];

	return task_waits(rd, p->job, p->occurrence, p->step, index) &&
	    (flow_job_step(p->job, p->step)->gang ||
		apart_wanted(task) == wanted);
}

/* A gang ends with its slowest member. Its starts are those from first on. */
static void
use_slowest(const struct round *rd, guint first)
{
	double slowest = 0;

	for (int pass = 0; pass < 2; pass++)
		for (guint i = first; i < rd->starts->len; i++) {
			struct active_run *r = run_find(rd->d,
			    &g_array_index(rd->starts, struct flow_start, i)
				 .id);

			slowest = MAX(slowest, r->multiplier);
			r->multiplier = slowest;
		}
}

/* Places the tasks of a step that fit; returns how many. */
static uint32_t
place_tasks(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted, GPtrArray *workers,
    const struct step_permits *permits)
{
	const struct flow_step_state *st = &p->occurrence->steps[p->step];
	uint32_t *pick = g_new(uint32_t, request->count);
	uint32_t placed = plan_place(
	    (struct plan_worker **)workers->pdata, workers->len, request, pick);
	uint32_t done = 0;

	for (uint32_t i = 0; rd->picks != NULL && i < placed; i++)
		g_ptr_array_add(rd->picks, workers->pdata[pick[i]]);
	for (uint32_t i = 0;
	     rd->picks == NULL && done < placed && i < st->count; i++) {
		struct plan_worker *w = workers->pdata[pick[done]];

		if (!is_to_place(rd, p, i, wanted))
			continue;
		reserve(rd, p, i, next_run_number(st, request->gang, i),
		    w->worker,
		    permits == NULL
			? NULL
			: permit_find_valid(permits, w->worker, rd->now));
		done++;
	}
	if (done > 0 && request->gang && rd->d->speeds_in_effect)
		use_slowest(rd, rd->starts->len - done);
	g_free(pick);
	return placed;
}

static void
place_apart(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted,
    struct apartness apart, const struct step_permits *permits)
{
	GPtrArray *workers = permits == NULL
	    ? round_allowed_workers(rd, p, apart)
	    : permitted_workers(rd, p, permits, apart);

	if (workers->len > 0)
		request->count -=
		    place_tasks(rd, p, request, wanted, workers, permits);
	g_ptr_array_unref(workers);
}

/* Places the waiting tasks that want a separation; after a while also with
 * less. Returns how many are left over. */
static uint32_t
place_separate(struct round *rd, const struct pending_step *p,
    struct plan_request *request, enum separation wanted,
    const struct step_permits *permits)
{
	bool suspects = wanted != SEPARATE_ISOLATED;
	bool waited = request->count > 0 && suspects;

	for (int s = wanted; s >= SEPARATE_ISOLATED && request->count > 0;
	     s--) {
		struct apartness apart = { .from = (enum separation)s,
			.avoid_restarted = suspects };

		if (s != (int)wanted && !apart_may_relax(rd, p, wanted))
			break;
		if (suspects)
			place_apart(rd, p, request, wanted, apart, permits);
		apart.avoid_restarted = false;
		if (request->count > 0)
			place_apart(rd, p, request, wanted, apart, permits);
	}
	if (waited && request->count == 0)
		apart_stop_waiting(rd, p);
	return request->count;
}

/* Counts the waiting tasks by the separation that they want; those of a gang
 * count for its most suspected member. Returns how many there are. */
static uint32_t
count_waiting(const struct round *rd, const struct pending_step *p,
    uint32_t count[SEPARATE_ALL + 1])
{
	enum separation most = SEPARATE_ISOLATED;
	uint32_t sum = 0;

	for (uint32_t i = 0; i < p->occurrence->steps[p->step].count; i++) {
		enum separation wanted;

		if (!task_waits(rd, p->job, p->occurrence, p->step, i))
			continue;
		wanted = apart_wanted(&p->occurrence->steps[p->step].tasks[i]);
		most = MAX(most, wanted);
		count[wanted]++;
		sum++;
	}
	if (flow_job_step(p->job, p->step)->gang) {
		memset(count, 0, sizeof(uint32_t) * (SEPARATE_ALL + 1));
		count[most] = sum;
	}
	return sum;
}

/* Says whether other runs may be preempted for a step: if it can still end on
 * time, is long-running, or was passed over for too long. */
static bool
is_urgent(const struct round *rd, const struct pending_step *p)
{
	return p->plan.aged ||
	    plan_tier(&p->plan, rd->cell_now) <= PLAN_ON_TIME;
}

/* Queries the policy service and preempts runs for tasks of a step that could
 * not be placed. */
static void
make_room(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, struct step_permits *permits)
{
	bool query =
	    permits != NULL && permits_can_query(rd->d, permits, rd->now);
	bool preempt = !flow_job_step(p->job, p->step)->best_effort &&
	    is_urgent(rd, p) && preempt_may_search(rd, p);
	GPtrArray *workers;

	speeds_log_wait(rd, p, request);
	if (!query && !preempt)
		return;
	workers = round_allowed_workers(
	    rd, p, (struct apartness){ .from = SEPARATE_ISOLATED });
	plan_sort_by_speed(
	    (struct plan_worker **)workers->pdata, workers->len, request);
	if (query) {
		permits_query(rd->d, permits, request, workers, false, rd->now);
		if (request->gang)
			permits_learn(
			    rd->d, permits, request, workers, rd->now);
	}
	if (preempt)
		preempt_for_step(rd, p, request, workers, permits);
	g_ptr_array_unref(workers);
}

/* Says whether the workers would have room for a step if nothing else ran. */
static bool
is_placeable(const struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);
	uint32_t need = request->gang ? request->count : 1;
	uint32_t fit = 0;

	for (guint i = 0; i < rd->workers->len && fit < need; i++) {
		const struct round_worker *w = rd->workers->pdata[i];
		struct plan_worker empty = w->plan;

		empty.free = empty.capacity;
		empty.step_tasks = 0;
		empty.task_limit = request->count;
		if (strcmp(w->worker->pool, p->job->queue->pool) == 0 &&
		    has_label(w->worker, step->label))
			fit += plan_fit_count(&empty, request);
	}
	return fit >= need;
}

/* Keeps room under the cap for tasks that are about to start. */
static void
claim_room(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, const struct step_permits *permits)
{
	if (p->organisation != NULL &&
	    ((permits != NULL && permits->queries->len > 0) ||
		preempt_has_reservation(rd, p)))
		organisation_claim(p->organisation, request);
}

static struct plan_request
request_of(struct round *rd, const struct pending_step *p)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);

	return (struct plan_request){ .per_task = run_resources(step),
		.gang = step->gang,
		.colocated = step->colocated,
		.data_rack = rack_number(rd->d, step->data_rack),
		.far_factor = rd->d->conf.far_factor,
		.max_per_worker = step->max_per_worker };
}

static struct step_permits *
permits_of(struct round *rd, const struct pending_step *p)
{
	return p->job->queue->needs_permit
	    ? step_permits_get(rd->d, p->job, p->occurrence->number, p->step)
	    : NULL;
}

/* Places the waiting tasks that the cap has room for, and at most due. Returns
 * how many of them are left over; over_cap: how many tasks the cap has no room
 * for. */
static uint32_t
place_waiting(struct round *rd, const struct pending_step *p,
    struct plan_request *request, const uint32_t waiting[SEPARATE_ALL + 1],
    uint32_t due, const struct step_permits *permits, uint32_t *over_cap)
{
	uint32_t room = organisation_room(p->organisation, request);
	uint32_t left = 0;

	*over_cap = request->count - room;
	room = MIN(room, due);
	for (int s = SEPARATE_ISOLATED; s <= SEPARATE_ALL; s++) {
		request->count = MIN(waiting[s], room);
		room -= request->count;
		left +=
		    place_separate(rd, p, request, (enum separation)s, permits);
	}
	return left;
}

struct round_trial
round_try(struct round *rd, const struct pending_step *p)
{
	uint32_t waiting[SEPARATE_ALL + 1] = { 0 };
	struct round_trial out = { .request = request_of(rd, p) };

	out.request.count = out.tasks = count_waiting(rd, p, waiting);
	if (out.tasks == 0)
		return out;
	speeds_describe_step(rd, p, &out.request);
	out.left = place_waiting(rd, p, &out.request, waiting, UINT32_MAX,
	    permits_of(rd, p), &out.over_cap);
	out.may_preempt = out.left > 0 &&
	    !flow_job_step(p->job, p->step)->best_effort && is_urgent(rd, p);
	out.request.count =
	    out.left + out.over_cap > 0 ? out.left + out.over_cap : out.tasks;
	return out;
}

static void
place_step(struct round *rd, struct pending_step *p, uint32_t due)
{
	struct plan_request request = request_of(rd, p);
	struct step_permits *permits;
	uint32_t waiting[SEPARATE_ALL + 1] = { 0 };
	uint32_t left;
	uint32_t over_cap;

	if (p->ahead) {
		request.count = count_waiting(rd, p, waiting);
		speeds_describe_step(rd, p, &request);
		ahead_query(rd, p, &request);
		return;
	}
	p->tried = true;
	if (!resources_fit(&request.per_task, &rd->largest_free) &&
	    !is_urgent(rd, p)) {
		organisation_lacks_room(rd, p);
		return;
	}
	request.count = count_waiting(rd, p, waiting);
	if (request.count == 0)
		return;
	p->tried = due >= request.count;
	speeds_describe_step(rd, p, &request);
	permits = permits_of(rd, p);
	left = place_waiting(rd, p, &request, waiting, due, permits, &over_cap);
	if (left == 0) {
		preempt_release_workers(rd->d, p);
		request.count = over_cap;
		if (over_cap > 0)
			organisation_step_waits(rd, p, &request,
			    p->organisation->held ||
				is_placeable(rd, p, &request));
		return;
	}
	request.count = left;
	organisation_lacks_room(rd, p);
	make_room(rd, p, &request, permits);
	claim_room(rd, p, &request, permits);
}

/* Places the steps in their order, as far as a turn of the round allows. */
static void
place_turn(struct round *rd, uint32_t turn)
{
	for (guint i = 0; i < rd->pending->len && rd->starts->len < STARTS_MAX;
	     i++) {
		struct pending_step *p =
		    &g_array_index(rd->pending, struct pending_step, i);
		uint32_t due = p->tried ? 0 : organisation_due(rd, p, turn);

		p->turn = turn;
		if (due > 0)
			place_step(rd, p, due);
	}
}

static void
find_largest_free(struct round *rd)
{
	for (guint i = 0; i < rd->workers->len; i++) {
		const struct plan_worker *w = rd->workers->pdata[i];

		rd->largest_free.millicpus =
		    MAX(rd->largest_free.millicpus, w->free.millicpus);
		rd->largest_free.memory =
		    MAX(rd->largest_free.memory, w->free.memory);
		rd->largest_free.accelerators =
		    MAX(rd->largest_free.accelerators, w->free.accelerators);
	}
}

/* Releases the resources of starts that the replicated state rejected. */
static void
starts_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	for (guint i = 0; i < p->starts->len; i++) {
		const struct flow_start *s =
		    &g_array_index(p->starts, struct flow_start, i);
		struct active_run *r = run_find(d, &s->id);

		if (r != NULL && r->state == RUN_PROPOSED &&
		    r->id.number == s->id.number)
			run_remove(r);
	}
}

static void
propose_starts(struct round *rd)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_START,
		.u.starts = rd->starts };
	struct proposal *p;

	if (rd->starts->len == 0)
		return;
	p = dispatch_propose_then(rd->d, &cmd, starts_applied);
	if (p != NULL) {
		p->starts = g_array_ref(rd->starts);
		return;
	}
	for (guint i = 0; i < rd->starts->len; i++) {
		struct active_run *r = run_find(
		    rd->d, &g_array_index(rd->starts, struct flow_start, i).id);

		if (r != NULL)
			run_remove(r);
	}
}

/* Logs the use of the workers and the pending steps. */
static void
log_load(struct round *rd)
{
	struct dispatch *d = rd->d;
	struct resources used = { 0 };
	struct resources all = { 0 };
	guint tiers[PLAN_BEST_EFFORT + 1] = { 0 };
	GHashTableIter iter;
	gpointer value;

	if (rd->now - d->load_logged_ms < LOAD_LOG_INTERVAL_MS)
		return;
	d->load_logged_ms = rd->now;
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;

		if (!holder_available(h, rd->now))
			continue;
		resources_add(&used, &h->used, 1);
		resources_add(
		    &all, &flow_worker(d->conf.flow, h->id)->capacity, 1);
	}
	for (guint i = 0; i < rd->pending->len; i++)
		tiers[plan_tier(
		    &g_array_index(rd->pending, struct pending_step, i).plan,
		    rd->cell_now)]++;
	log_info("dispatch",
	    "event=load workers=%u runs=%u cores_used=%" G_GINT64_FORMAT
	    " cores=%" G_GINT64_FORMAT " memory_used_mb=%" G_GINT64_FORMAT
	    " memory_mb=%" G_GINT64_FORMAT
	    " waiting_long_running=%u waiting_in_time=%u waiting_late=%u"
	    " waiting_overdue=%u rounds=%" G_GUINT64_FORMAT
	    " rounds_ms=%" G_GINT64_FORMAT " speed_spread=%.2f"
	    " speeds_in_effect=%d",
	    g_hash_table_size(d->holders), g_hash_table_size(d->runs),
	    used.millicpus / 1000, all.millicpus / 1000, used.memory >> 20,
	    all.memory >> 20, tiers[PLAN_LONG_RUNNING], tiers[PLAN_ON_TIME],
	    tiers[PLAN_LATE], tiers[PLAN_OVERDUE], d->rounds,
	    d->rounds_us / 1000, d->spread, d->speeds_in_effect);
	d->rounds = 0;
	d->rounds_us = 0;
	organisations_report(d, rd->now);
	organisations_remove_unused(d, rd->number);
}

void
round_init(struct round *rd, struct dispatch *d, int64_t now)
{
	*rd = (struct round){ .d = d,
		.now = now,
		.number = d->last_round,
		.cell_now =
		    MAX(g_get_real_time() / 1000, flow_time_ms(d->conf.flow)),
		.workers = g_ptr_array_new_with_free_func(round_worker_free),
		.preemptions_left = now - d->preempt_ms < PREEMPT_INTERVAL_MS
		    ? 0
		    : PREEMPTIONS_PER_ROUND,
		.pending =
		    g_array_new(FALSE, TRUE, sizeof(struct pending_step)),
		.starts = g_array_new(FALSE, TRUE, sizeof(struct flow_start)) };
}

void
round_collect(struct round *rd)
{
	collect_workers(rd);
	find_largest_free(rd);
	speeds_begin_round(rd);
	organisations_prepare(rd);
}

void
round_clear(struct round *rd)
{
	g_ptr_array_unref(rd->workers);
	if (rd->fast != NULL)
		g_array_unref(rd->fast);
	if (rd->ahead != NULL)
		g_array_unref(rd->ahead);
	if (rd->picks != NULL)
		g_ptr_array_unref(rd->picks);
	g_array_unref(rd->pending);
	g_array_unref(rd->starts);
}

void
round_run(struct dispatch *d, int64_t now)
{
	struct round rd;
	uint32_t turns =
	    flow_config(d->conf.flow)->organisations == NULL ? 1 : SHARE_TURNS;

	d->last_round++;
	round_init(&rd, d, now);
	ahead_init(&rd);
	flow_each_active_job(d->conf.flow, add_pending_steps, &rd);
	d->meter.waiting->value = rd.pending->len;
	if (d->conf.yield_under_overload)
		admission_update(&rd);
	if (rd.pending->len + rd.ahead->len > 0) {
		round_collect(&rd);
		order_steps(&rd);
	}
	for (uint32_t turn = 0; turn < turns; turn++)
		place_turn(&rd, turn);
	for (guint i = 0; i < rd.ahead->len; i++)
		place_step(
		    &rd, &g_array_index(rd.ahead, struct pending_step, i), 0);
	propose_starts(&rd);
	log_load(&rd);
	round_clear(&rd);
}
