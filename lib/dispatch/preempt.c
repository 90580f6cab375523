/* Preemption: runs with time to spare are stopped for steps that have none,
 * and any run that is neither in a gang nor long-running for a long-running
 * task. */
#include "impl.h"

#define RESERVE_MS 2200 /* to stop runs, get a permit, commit a start */
#define SPARE_MARGIN_MS 2500 /* least extra spare time of a preempted run */
#define RUN_MIN_MS 600 /* a run is not preempted sooner after its start */
#define PREEMPTIONS_MAX 4 /* later runs of a task are not preempted */
/* Until a step searches again after it found too few runs; meanwhile the steps
 * behind it have their turn. */
#define PREEMPT_RETRY_MS 250
/* A run that ends within this time is awaited rather than stopped; less than
 * RESERVE_MS, so that its worker is still reserved then. */
#define ENDS_SOON_MS 1500

static bool
is_of_step(const struct flow_run *id, const struct pending_step *p)
{
	return id->job == p->job->id &&
	    id->occurrence == p->occurrence->number && id->step == p->step;
}

static bool
is_reserved_for(
    const struct holder *h, const struct pending_step *p, int64_t now)
{
	return h->reserved_until_ms > now && is_of_step(&h->reserved_for, p);
}

bool
preempt_reserved_for_other(
    const struct holder *h, const struct pending_step *p, int64_t now)
{
	return h->reserved_until_ms > now && !is_reserved_for(h, p, now);
}

static struct flow_run
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
		else if (is_of_step(&r->step, p))
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

static int64_t
spare_ms(const struct plan_pending *plan, int64_t now)
{
	return plan->accepted_ms + plan->objective_ms - plan->remaining_ms -
	    now;
}

/* A run that may be stopped, with the spare time of its job. */
struct preemptible {
	struct active_run *run;
	int64_t ran_ms;
	int64_t remaining_ms;
	bool resumes; /* from a checkpoint */
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
	out->remaining_ms = round_run_remaining_ms(rd->d, job, r);
	out->resumes = step->checkpointing;
	/* The spare time of other runs is not needed. */
	if (!out->resumes)
		return true;
	urgency = round_urgency(rd->d, job, occurrence);
	out->spare_ms = plan_tier(&urgency, rd->cell_now) > PLAN_ON_TIME
	    ? INT64_MAX
	    : spare_ms(&urgency, rd->cell_now);
	return true;
}

static const GArray *
preemptible_on(struct round *rd, struct round_worker *w)
{
	if (w->preemptible != NULL)
		return w->preemptible;
	w->preemptible = g_array_new(FALSE, TRUE, sizeof(struct preemptible));
	for (guint i = 0; i < w->holder->runs->len; i++) {
		struct preemptible entry;

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
	if (entry->run->stopping || entry->run->id.job == p->job->id)
		return false;
	if (p->plan.long_running)
		return true;
	return entry->resumes && entry->run->id.number <= PREEMPTIONS_MAX &&
	    entry->ran_ms >= RUN_MIN_MS &&
	    organisation_may_preempt(
		rd, p, entry->run, entry->spare_ms > least_spare_ms);
}

/* The runs on a worker that may be stopped for a step. */
static GArray *
victims_on(
    struct round *rd, struct round_worker *w, const struct pending_step *p)
{
	const GArray *preemptible = preemptible_on(rd, w);
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
	int64_t least =
	    MAX(spare_ms(&p->plan, rd->cell_now), 0) + SPARE_MARGIN_MS;

	for (guint i = 0; i < preemptible->len; i++) {
		const struct preemptible *entry =
		    &g_array_index(preemptible, struct preemptible, i);
		struct plan_victim v = { .run = entry->run,
			.resources = entry->run->resources,
			.lost_ms = entry->resumes ? 0 : entry->ran_ms,
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

/* Queries the policy service about workers not known to be allowed, as if all
 * their resources were free. */
static void
query_unknown(struct round *rd, const struct plan_request *request,
    GPtrArray *workers, struct step_permits *permits)
{
	GPtrArray *unknown = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < workers->len; i++) {
		struct plan_worker *w = workers->pdata[i];
		struct plan_worker *copy;

		if (permit_issued(permits, w->worker))
			continue;
		copy = g_memdup2(w, sizeof(*w));
		copy->free = copy->capacity;
		g_ptr_array_add(unknown, copy);
	}
	permits_query(rd->d, permits, request, unknown, true, rd->now);
	g_ptr_array_unref(unknown);
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
		query_unknown(rd, request, workers, permits);
}

bool
preempt_has_reservation(struct round *rd, const struct pending_step *p)
{
	return find_reservation(rd->d, p, rd->now) != NULL;
}

bool
preempt_may_search(struct round *rd, const struct pending_step *p)
{
	return rd->preemptions_left > 0 &&
	    state_of(rd, p)->preempt_retry_ms <= rd->now &&
	    !preempt_has_reservation(rd, p);
}

void
preempt_for_step(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, GPtrArray *workers,
    struct step_permits *permits)
{
	struct plan_preemption *preemptions;
	struct plan_worker *copies;
	guint count = 0;
	uint32_t fit;

	rd->preemptions_left--;
	rd->d->last_search++;
	rd->d->preempt_ms = rd->now;
	preemptions = g_new0(struct plan_preemption, workers->len + 1);
	copies = g_new0(struct plan_worker, workers->len + 1);
	for (guint i = 0; i < workers->len; i++) {
		struct round_worker *w = workers->pdata[i];

		if (permits != NULL && !permit_issued(permits, w->plan.worker))
			continue;
		copies[count] = w->plan;
		preemptions[count].worker = &copies[count];
		preemptions[count].victims = victims_on(rd, w, p);
		count++;
	}
	fit = plan_preempt(preemptions, count, request);
	if (fit == request->count || (p->plan.long_running && fit > 0))
		preempt_selected(rd, p, request, preemptions, count, permits);
	else
		retry_later(rd, p, request, workers, permits);
	for (guint i = 0; i < count; i++)
		g_array_unref(preemptions[i].victims);
	g_free(preemptions);
	g_free(copies);
}
