/* Preemption: runs with time to spare are stopped for steps that have none,
 * and any run that is neither in a gang nor long-running for a long-running
 * task. */
#include "impl.h"

#define RESERVE_MS 2200 /* to stop runs, get a permit, commit a start */
#define SPARE_MARGIN_MS 2500 /* least extra spare time of a preempted run */
#define RUN_MIN_MS 600 /* a run is not preempted sooner after its start */
#define PREEMPTIONS_MAX 4 /* later runs of a task are not preempted */
/* With overload=yield. Each stop repeats work when there is least room. */
#define STOPS_MAX 2
/* Until a stopped run runs again: less would make its job as urgent as the one
 * that it was stopped for. */
#define RESTART_MS SPARE_MARGIN_MS
/* Until a step searches again after it found too few runs; meanwhile the steps
 * behind it have their turn. */
#define PREEMPT_RETRY_MS 250
/* A run that ends within this time is awaited rather than stopped; less than
 * RESERVE_MS, so that its worker is still reserved then. */
#define ENDS_SOON_MS 1500

bool
step_has_run(const struct pending_step *p, const struct flow_run *id)
{
	return id->job == p->job->id &&
	    id->occurrence == p->occurrence->number && id->step == p->step;
}

static bool
is_reserved_for(
    const struct holder *h, const struct pending_step *p, int64_t now)
{
	return h->reserved_until_ms > now && step_has_run(p, &h->reserved_for);
}

bool
preempt_reserved_for_other(
    const struct holder *h, const struct pending_step *p, int64_t now)
{
	return h->reserved_until_ms > now && !is_reserved_for(h, p, now);
}

struct flow_run
step_id(const struct pending_step *p)
{
	return (struct flow_run){ .job = p->job->id,
		.occurrence = p->occurrence->number,
		.step = p->step };
}

static void
reserve_for(struct holder *h, const struct pending_step *p, int64_t now)
{
	h->reserved_for = step_id(p);
	h->reserved_until_ms = now + RESERVE_MS;
}

/* Finds the reservation of a step; removes those that are over. */
static struct reservation *
find_reservation(struct dispatch *d, const struct pending_step *p, int64_t now)
{
	for (guint i = d->reservations->len; i > 0; i--) {
		struct reservation *r =
		    &g_array_index(d->reservations, struct reservation, i - 1);

		if (r->until_ms <= now)
			g_array_remove_index_fast(d->reservations, i - 1);
		else if (step_has_run(p, &r->step))
			return r;
	}
	return NULL;
}

void
preempt_release_workers(struct dispatch *d, const struct pending_step *p)
{
	struct reservation *r = find_reservation(d, p, d->round_ms);
	GHashTableIter iter;
	gpointer value;

	if (r == NULL)
		return;
	r->until_ms = 0;
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;

		if (is_reserved_for(h, p, d->round_ms))
			h->reserved_until_ms = 0;
	}
}

/* A run that may be stopped, with the spare time of its job. */
struct preemptible {
	struct active_run *run;
	int64_t ran_ms;
	int64_t remaining_ms;
	bool resumes; /* from a checkpoint */
	/* With overload=yield: */
	int64_t lost_ms; /* run time since that checkpoint */
	int64_t weight; /* of its job; 0: can't be in time */
	/* If it resumes; INT64_MAX if its job can't end on time: plan_compare()
	 * ranks such a job behind all that can. */
	int64_t spare_ms;
};

void
round_worker_free(void *arg)
{
	struct round_worker *w = arg;

	w->holder->in_round = NULL;
	if (w->preemptible != NULL)
		g_array_unref(w->preemptible);
	g_free(w);
}

/* The core-ms that the tasks of a job's occurrence still need on a worker. */
static int64_t
work_left(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, const struct resources *all)
{
	int64_t sum = 0;

	for (guint i = 0; i < job->spec.steps->len; i++) {
		const struct flow_step *s = flow_job_step(job, i);
		const struct flow_step_state *st = &occurrence->steps[i];
		struct resources per_task = run_resources(s);

		sum += cost_work(&per_task, st->count - st->done,
		    estimate_runtime_ms(rd->d, job, s, 0.5), all);
	}
	return sum;
}

/* The job of a run, as lib/cost describes it. */
static struct cost_job
job_of_run(const struct round *rd, const struct active_run *r,
    const struct flow_job *job, const struct plan_pending *urgency)
{
	const struct flow_occurrence *occurrence =
	    flow_occurrence(job, r->id.occurrence);
	const struct resources *all =
	    &flow_worker(rd->d->conf.flow, r->holder->id)->capacity;
	struct pending_step p = { .plan = *urgency, .job = job };

	return admission_cost_job(rd, &p, work_left(rd, job, occurrence, all));
}

static int64_t
since_checkpoint(const struct round *rd, const struct active_run *r)
{
	return rd->now - MAX(r->started_ms, r->checkpoint_ms);
}

/* Says whether a run may be preempted at all, and describes it. */
static bool
can_preempt(struct round *rd, struct active_run *r, struct preemptible *out)
{
	const struct flow_job *job;
	const struct flow_occurrence *occurrence;
	const struct flow_step *step;
	struct plan_pending urgency;

	if (r->state != RUN_ACCEPTED || r->stopping)
		return false;
	job = flow_job(rd->d->conf.flow, r->id.job);
	if (job == NULL || flow_job_ended(job))
		return false;
	step = flow_job_step(job, r->id.step);
	occurrence = flow_occurrence(job, r->id.occurrence);
	if (step->gang || step->long_running || occurrence == NULL)
		return false;
	out->run = r;
	out->ran_ms = rd->now - r->started_ms;
	out->remaining_ms = estimate_run_remaining_ms(rd->d, job, r);
	out->resumes = step->checkpointing;
	/* The spare time of other runs is not needed. */
	if (!out->resumes)
		return true;
	urgency = estimate_urgency(rd->d, job, occurrence);
	out->spare_ms = plan_tier(&urgency, rd->cell_now) > PLAN_ON_TIME
	    ? INT64_MAX
	    : plan_spare_ms(&urgency, rd->cell_now);
	if (rd->d->conf.yield_under_overload) {
		struct cost_job cost = job_of_run(rd, r, job, &urgency);

		out->lost_ms = since_checkpoint(rd, r);
		if (out->spare_ms != INT64_MAX)
			out->weight = cost_weight(&cost, rd->cell_now);
	}
	return true;
}

static const GArray *
preemptible_on(struct round *rd, struct round_worker *w)
{
	if (w->preemptible != NULL)
		return w->preemptible;
	w->preemptible = g_array_new(FALSE, TRUE, sizeof(struct preemptible));
	for (guint i = 0; i < w->holder->runs->len; i++) {
		struct preemptible entry = { 0 };

		if (can_preempt(rd, w->holder->runs->pdata[i], &entry))
			g_array_append_val(w->preemptible, entry);
	}
	return w->preemptible;
}

/* Says whether a run may be stopped for a step that needs runs with at least
 * so much spare time. */
static bool
may_preempt(struct round *rd, const struct preemptible *entry,
    const struct pending_step *p, int64_t least_spare_ms)
{
	bool yields = rd->d->conf.yield_under_overload;

	if (entry->run->stopping || entry->run->id.job == p->job->id)
		return false;
	if (p->plan.long_running)
		return true;
	if (!entry->resumes ||
	    !organisation_may_preempt(
		rd, p, entry->run, entry->spare_ms > least_spare_ms))
		return false;
	if (yields)
		return entry->run->id.number <= STOPS_MAX &&
		    (p->plan.aged || entry->weight < p->plan.weight);
	return entry->run->id.number <= PREEMPTIONS_MAX &&
	    entry->ran_ms >= RUN_MIN_MS;
}

/* The runs on a worker that may be stopped for a step. */
static GArray *
victims_on(
    struct round *rd, struct round_worker *w, const struct pending_step *p)
{
	const GArray *preemptible = preemptible_on(rd, w);
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
	int64_t least =
	    MAX(plan_spare_ms(&p->plan, rd->cell_now), 0) + SPARE_MARGIN_MS;

	for (guint i = 0; i < preemptible->len; i++) {
		const struct preemptible *entry =
		    &g_array_index(preemptible, struct preemptible, i);
		struct plan_victim v = { .run = entry->run,
			.resources = entry->run->resources,
			.lost_ms =
			    entry->resumes ? entry->lost_ms : entry->ran_ms,
			.ends_soon = p->plan.long_running &&
			    entry->remaining_ms < ENDS_SOON_MS };

		if (may_preempt(rd, entry, p, least))
			g_array_append_val(out, v);
	}
	return out;
}

static void
stop_selected(
    const struct plan_preemption *preemption, const struct pending_step *p)
{
	for (guint i = 0; i < preemption->victims->len; i++) {
		struct plan_victim *v =
		    &g_array_index(preemption->victims, struct plan_victim, i);
		struct active_run *r = v->run;

		if (!v->chosen || v->ends_soon)
			continue;
		log_info("dispatch",
		    "event=stop run=%s worker=%s why=preempted "
		    "for=%016" G_GINT64_MODIFIER "x",
		    run_name(&r->id), r->holder->name, p->job->id);
		r->holder->d->meter.stops->value++;
		run_stop(r);
	}
}

/* Stops the selected runs, reserves their workers, renews expired permits. */
static void
preempt_selected(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, struct plan_preemption *preemptions,
    guint count, struct step_permits *permits)
{
	GPtrArray *workers = g_ptr_array_new();
	struct reservation reservation = { .step = step_id(p),
		.until_ms = rd->now + RESERVE_MS };

	g_array_append_val(rd->d->reservations, reservation);
	for (guint i = 0; i < count; i++) {
		struct plan_preemption *s = &preemptions[i];

		if (s->tasks == 0)
			continue;
		stop_selected(s, p);
		reserve_for(holder_find(rd->d, s->worker->worker), p, rd->now);
		/* What the step's tasks will use once the runs have stopped. */
		resources_add(
		    &s->worker->free, &request->per_task, (int)s->tasks);
		g_ptr_array_add(workers, s->worker);
	}
	if (permits != NULL)
		permits_query(rd->d, permits, request, workers, false, rd->now);
	g_ptr_array_unref(workers);
}

static struct step_permits *
state_of(const struct round *rd, const struct pending_step *p)
{
	return step_permits_get(rd->d, p->job, p->occurrence->number, p->step);
}

/* Meanwhile the policy service may allow more workers. */
static void
retry_later(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, GPtrArray *workers,
    struct step_permits *permits)
{
	state_of(rd, p)->preempt_retry_ms = rd->now + PREEMPT_RETRY_MS;
	if (permits != NULL)
		permits_query_unknown(
		    rd->d, permits, request, workers, rd->now);
}

bool
preempt_has_reservation(struct round *rd, const struct pending_step *p)
{
	return find_reservation(rd->d, p, rd->now) != NULL;
}

/* The stops of one job's runs. */
struct job_stops {
	struct cost_job job;
	struct cost_stop stop;
};

/* Adds a run to the stops of its job: the job is late once, whatever number of
 * its runs is stopped. */
static void
add_stop(struct round *rd, GHashTable *stops, const struct active_run *r)
{
	const struct flow_job *job = flow_job(rd->d->conf.flow, r->id.job);
	const struct resources *all =
	    &flow_worker(rd->d->conf.flow, r->holder->id)->capacity;
	struct job_stops *s = g_hash_table_lookup(stops, job);
	int64_t lost_ms = since_checkpoint(rd, r);

	if (s == NULL) {
		struct plan_pending urgency = estimate_urgency(
		    rd->d, job, flow_occurrence(job, r->id.occurrence));

		s = g_new0(struct job_stops, 1);
		s->job = job_of_run(rd, r, job, &urgency);
		s->stop.restart_ms = RESTART_MS;
		s->stop.price = cost_per_work(&s->job, cost_value(&s->job));
		g_hash_table_insert(stops, (gpointer)job, s);
	}
	s->stop.lost_ms = MAX(s->stop.lost_ms, lost_ms);
	s->stop.lost_work += cost_work(&r->resources, 1, lost_ms, all);
}

/* What callers lose by the stops of the selected runs. */
static int64_t
cost_of_selected(
    struct round *rd, const struct plan_preemption *preemptions, guint count)
{
	GHashTable *stops = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	gpointer value;
	int64_t sum = 0;

	for (guint i = 0; i < count; i++) {
		const GArray *victims = preemptions[i].victims;

		for (guint k = 0; k < victims->len; k++) {
			const struct plan_victim *v =
			    &g_array_index(victims, struct plan_victim, k);

			if (v->chosen && !v->ends_soon)
				add_stop(rd, stops, v->run);
		}
	}
	g_hash_table_iter_init(&iter, stops);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_stops *s = value;

		sum += cost_of_stop(&s->job, rd->cell_now, &s->stop);
	}
	g_hash_table_unref(stops);
	return sum;
}

/* Says whether the step's job would lose more by waiting than the selected
 * stops cost. A long-running task and an aged step have to get their turn. */
static bool
is_worth_stops(struct round *rd, const struct pending_step *p,
    const struct plan_preemption *preemptions, guint count)
{
	struct cost_job job = admission_cost_job(rd, p, 0);
	int64_t gain;
	int64_t cost;

	if (!rd->d->conf.yield_under_overload || p->plan.long_running ||
	    p->plan.aged)
		return true;
	gain = cost_of_waiting(&job, rd->cell_now);
	cost = cost_of_selected(rd, preemptions, count);
	if (gain <= cost)
		return false;
	if (rd->picks == NULL)
		log_info("dispatch",
		    "event=preempt for=%016" G_GINT64_MODIFIER
		    "x gain=%" G_GINT64_FORMAT " cost=%" G_GINT64_FORMAT,
		    p->job->id, gain, cost);
	return true;
}

bool
preempt_may_search(struct round *rd, const struct pending_step *p)
{
	return rd->preemptions_left > 0 &&
	    state_of(rd, p)->preempt_retry_ms <= rd->now &&
	    !preempt_has_reservation(rd, p);
}

/* The runs selected for a step. */
struct selection {
	struct plan_preemption *preemptions;
	struct plan_worker *copies; /* of the workers */
	guint count; /* of both */
	bool worth; /* the step has room then, and that is worth the stops */
};

static struct selection
select_runs(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, const GPtrArray *workers,
    const struct step_permits *permits)
{
	struct selection s = { .preemptions = g_new0(
				   struct plan_preemption, workers->len + 1),
		.copies = g_new0(struct plan_worker, workers->len + 1) };
	uint32_t fit;

	rd->d->last_search++;
	for (guint i = 0; i < workers->len; i++) {
		struct round_worker *w = workers->pdata[i];

		if (permits != NULL && !permit_issued(permits, w->plan.worker))
			continue;
		s.copies[s.count] = w->plan;
		s.preemptions[s.count].worker = &s.copies[s.count];
		s.preemptions[s.count].victims = victims_on(rd, w, p);
		s.count++;
	}
	fit = plan_preempt(s.preemptions, s.count, request);
	s.worth =
	    (fit == request->count || (p->plan.long_running && fit > 0)) &&
	    is_worth_stops(rd, p, s.preemptions, s.count);
	return s;
}

static void
selection_clear(struct selection *s)
{
	for (guint i = 0; i < s->count; i++)
		g_array_unref(s->preemptions[i].victims);
	g_free(s->preemptions);
	g_free(s->copies);
}

void
preempt_for_step(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, GPtrArray *workers,
    struct step_permits *permits)
{
	struct selection s;

	rd->preemptions_left--;
	rd->d->preempt_ms = rd->now;
	s = select_runs(rd, p, request, workers, permits);
	if (s.worth)
		preempt_selected(
		    rd, p, request, s.preemptions, s.count, permits);
	else
		retry_later(rd, p, request, workers, permits);
	selection_clear(&s);
}

uint32_t
preempt_try(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, const GPtrArray *workers,
    const struct step_permits *permits)
{
	struct selection s = select_runs(rd, p, request, workers, permits);
	uint32_t stops = 0;

	for (guint i = 0; s.worth && i < s.count; i++) {
		const GArray *victims = s.preemptions[i].victims;

		for (guint k = 0; k < victims->len; k++) {
			const struct plan_victim *v =
			    &g_array_index(victims, struct plan_victim, k);

			stops += v->chosen && !v->ends_soon;
		}
	}
	selection_clear(&s);
	return stops;
}
