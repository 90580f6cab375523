/* Admission of jobs under overload: supplies lib/admit with the load that the
 * placement rounds see, and with what a new job needs. Only used with the
 * setting overload=yield. */
#include "admit.h"
#include "impl.h"

#define RATE_AVERAGE_MS 10000 /* of an organisation's jobs */
/* A run beyond its estimate is expected to take a quarter of its time more:
 * some tasks take several times as long as others. */
#define OVERRUN_DIVISOR 4
/* Accepted jobs of one organisation. */
struct job_rate {
	double jobs; /* decays with RATE_AVERAGE_MS */
	int64_t updated_ms;
};

static struct admit *
admit_of_pool(struct dispatch *d, const char *pool)
{
	struct admit *a = g_hash_table_lookup(d->admits, pool);

	if (a != NULL)
		return a;
	a = admit_new();
	g_hash_table_insert(d->admits, g_strdup(pool), a);
	return a;
}

static void
admit_destroy(void *arg)
{
	admit_free(arg);
}

void
admission_lead(struct dispatch *d)
{
	d->admits = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, admit_destroy);
	d->job_rates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
admission_resign(struct dispatch *d)
{
	g_clear_pointer(&d->admits, g_hash_table_unref);
	g_clear_pointer(&d->job_rates, g_hash_table_unref);
}

static double
rate_decayed(const struct job_rate *r, int64_t now)
{
	int64_t age = MAX(now - r->updated_ms, 0);

	return r->jobs * RATE_AVERAGE_MS / (double)(RATE_AVERAGE_MS + age);
}

static void
count_job(struct dispatch *d, const char *organisation, int64_t now)
{
	struct job_rate *r;

	if (organisation == NULL)
		return;
	r = g_hash_table_lookup(d->job_rates, organisation);
	if (r == NULL) {
		r = g_new0(struct job_rate, 1);
		g_hash_table_insert(d->job_rates, g_strdup(organisation), r);
	}
	r->jobs = rate_decayed(r, now) + 1;
	r->updated_ms = now;
}

/* The part of a job's value that counts: its organisation's entitlement as a
 * part of the jobs that it has sent lately. */
static uint32_t
entitled_permille(
    const struct dispatch *d, const char *organisation, int64_t now)
{
	const struct flow_organisation *o =
	    flow_organisation(d->conf.flow, organisation);
	const struct job_rate *r = organisation == NULL
	    ? NULL
	    : g_hash_table_lookup(d->job_rates, organisation);
	double sent;

	if (o == NULL || r == NULL)
		return COST_ENTITLED_FULL;
	sent = rate_decayed(r, now) * 1000 / RATE_AVERAGE_MS;
	if (sent <= o->weight)
		return COST_ENTITLED_FULL;
	return (uint32_t)(o->weight / sent * COST_ENTITLED_FULL);
}

struct cost_job
admission_cost_job(
    const struct round *rd, const struct pending_step *p, int64_t work)
{
	return (struct cost_job){ .priority = p->plan.priority,
		.entitled_permille = entitled_permille(
		    rd->d, p->job->organisation, rd->cell_now),
		.first_ms = p->plan.accepted_ms,
		.objective_ms = p->plan.objective_ms,
		.remaining_ms = p->plan.remaining_ms,
		.work = work };
}

/* The load of one pool. */
static struct admit_load *
load_of_pool(GHashTable *loads, const struct round *rd, const char *pool)
{
	struct admit_load *l = g_hash_table_lookup(loads, pool);

	if (l != NULL)
		return l;
	l = g_new0(struct admit_load, 1);
	l->now_ms = rd->cell_now;
	g_hash_table_insert(loads, (gpointer)pool, l);
	return l;
}

static void
add_workers(const struct round *rd, GHashTable *loads)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rd->d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;
		const struct flow_worker *w =
		    flow_worker(rd->d->conf.flow, h->id);
		struct admit_load *l;

		if (!holder_available(h, rd->now))
			continue;
		l = load_of_pool(loads, rd, w->pool);
		resources_add(&l->capacity, &w->capacity, 1);
		resources_add(&l->used, &h->used, 1);
	}
}

/* The time that a run still takes; one that has exceeded its estimate is
 * expected to take some more of the time that it has run. */
static int64_t
run_remaining_ms(
    struct round *rd, const struct flow_job *job, const struct active_run *r)
{
	int64_t remaining = estimate_run_remaining_ms(rd->d, job, r);

	if (r->started_ms == 0)
		return remaining;
	return MAX(remaining, (rd->now - r->started_ms) / OVERRUN_DIVISOR);
}

static void
add_runs(struct round *rd, GHashTable *loads)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, rd->d->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct active_run *r = key;
		const struct flow_job *job =
		    flow_job(rd->d->conf.flow, r->id.job);
		struct admit_load *l;

		if (job == NULL || job->spec.steps == NULL ||
		    flow_job_step(job, r->id.step)->long_running ||
		    !holder_available(r->holder, rd->now))
			continue;
		l = load_of_pool(loads, rd, job->queue->pool);
		admit_load_add_run(
		    l, &r->resources, run_remaining_ms(rd, job, r));
	}
}

static void
add_waiting(struct round *rd, GHashTable *loads)
{
	for (guint i = 0; i < rd->pending->len; i++) {
		struct pending_step *p =
		    &g_array_index(rd->pending, struct pending_step, i);
		const struct flow_step *step = flow_job_step(p->job, p->step);
		struct admit_load *l =
		    load_of_pool(loads, rd, p->job->queue->pool);
		struct resources per_task = run_resources(step);
		int64_t task_ms = estimate_runtime_ms(rd->d, p->job, step, 0.5);
		struct cost_job job;

		if (step->best_effort || step->long_running)
			continue;
		job = admission_cost_job(rd, p,
		    cost_work(&per_task, p->occurrence->steps[p->step].pending,
			task_ms, &l->capacity));
		admit_load_add(l, &job, task_ms);
	}
}

/* Metrics show the pool that is used most. */
static void
update_meters(struct dispatch *d)
{
	GHashTableIter iter;
	gpointer value;

	d->meter.used_permille->value = 0;
	d->meter.refused_remembered->value = 0;
	g_hash_table_iter_init(&iter, d->admits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		d->meter.used_permille->value = MAX(
		    d->meter.used_permille->value, admit_used_permille(value));
		d->meter.refused_remembered->value +=
		    admit_refused_count(value);
	}
}

void
admission_update(struct round *rd)
{
	GHashTable *loads =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer pool;
	gpointer load;

	add_workers(rd, loads);
	add_runs(rd, loads);
	add_waiting(rd, loads);
	g_hash_table_iter_init(&iter, loads);
	while (g_hash_table_iter_next(&iter, &pool, &load))
		admit_update(admit_of_pool(rd->d, pool), load);
	g_hash_table_unref(loads);
	update_meters(rd->d);
}

/* Says whether a known worker of the pool is large enough for a task. */
static bool
fits_some_worker(struct dispatch *d, const struct flow_step *step,
    const struct flow_queue *q)
{
	struct resources need = run_resources(step);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct flow_worker *w = flow_worker(
		    d->conf.flow, ((const struct holder *)value)->id);

		if (w != NULL && strcmp(w->pool, q->pool) == 0 &&
		    resources_fit(&need, &w->capacity))
			return true;
	}
	return false;
}

/* Says whether a job is accepted whatever the load: it does not compete for
 * the capacity of the next seconds, or waits for a worker to come. */
static bool
is_exempt(struct dispatch *d, const struct flow_spec *spec,
    const struct flow_queue *q)
{
	if (spec->repeat_count > 0)
		return true;
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct flow_step *s = spec->steps->pdata[i];

		if (s->long_running || s->best_effort ||
		    !fits_some_worker(d, s, q))
			return true;
	}
	return false;
}

static int64_t
work_of(struct dispatch *d, const struct flow_job *job,
    const struct resources *capacity)
{
	int64_t sum = 0;

	for (guint i = 0; i < job->spec.steps->len; i++) {
		const struct flow_step *s = job->spec.steps->pdata[i];
		struct resources per_task = run_resources(s);

		sum += cost_work(&per_task, s->count,
		    estimate_runtime_ms(d, job, s, 0.5), capacity);
	}
	return sum;
}

static void
log_refusal(const struct flow_job *job, const struct admit *a,
    const struct admit_decision *out)
{
	log_info("dispatch",
	    "event=refused why=overload job=%016" G_GINT64_MODIFIER
	    "x queue=%s retry_ms=%" G_GINT64_FORMAT
	    " ahead_ms=%" G_GINT64_FORMAT " spare_ms=%" G_GINT64_FORMAT
	    " attempt=%u accept_cost=%" G_GINT64_FORMAT
	    " refuse_cost=%" G_GINT64_FORMAT " used_permille=%" G_GINT64_FORMAT,
	    job->id, job->queue->name, out->retry_ms, out->ahead_ms,
	    out->spare_ms, out->attempt, out->accept_cost, out->refuse_cost,
	    admit_used_permille(a));
}

static struct admit_request
request_for(struct dispatch *d, const struct admit *a,
    const struct flow_job *job, const char *organisation)
{
	int64_t now = MAX(g_get_real_time() / 1000, flow_time_ms(d->conf.flow));
	struct resources capacity = admit_capacity(a);

	return (struct admit_request){ .id = job->id,
		.now_ms = now,
		.exempt = is_exempt(d, &job->spec, job->queue),
		.job = { .priority = job->queue->priority,
		    .entitled_permille =
			entitled_permille(d, organisation, now),
		    .objective_ms = estimate_objective_ms(d, job),
		    .remaining_ms = estimate_critical_path_ms(d, job),
		    .work = work_of(d, job, &capacity) } };
}

uint32_t
admission_ask(struct dispatch *d, const struct flow_queue *q, uint64_t id,
    const struct flow_spec *spec, const char *organisation,
    struct admit_decision *out)
{
	struct flow_job job = {
		.id = id, .queue = (struct flow_queue *)q, .spec = *spec
	};
	const struct admit *a = g_hash_table_lookup(d->admits, q->pool);
	struct admit_request r;

	/* A pool without load so far is not full. */
	*out = (struct admit_decision){ .accept = true };
	if (a == NULL)
		return COST_ENTITLED_FULL;
	r = request_for(d, a, &job, organisation);
	*out = admit_ask(a, &r);
	return r.job.entitled_permille;
}

int64_t
admission_retry_ms(struct dispatch *d, const struct flow_queue *q, uint64_t id,
    const struct flow_spec *spec, const char *organisation)
{
	/* The job as it would be if it were accepted; only read. */
	struct flow_job job = {
		.id = id, .queue = (struct flow_queue *)q, .spec = *spec
	};
	struct admit *a = admit_of_pool(d, q->pool);
	struct admit_request r = request_for(d, a, &job, organisation);
	struct admit_decision out = admit_decide(a, &r);

	count_job(d, organisation, r.now_ms);
	if (out.accept)
		return 0;
	d->meter.refused->value++;
	log_refusal(&job, a, &out);
	return out.retry_ms;
}
