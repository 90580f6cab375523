/*
 * What each organisation has running, and its cap in the current
 * configuration. The use follows from the active runs, which a new leader loads
 * from the replicated state, so it holds across changes of leader.
 */
#include "impl.h"

#define METERS_MAX 32 /* organisations with metrics of their own */
#define REPORT_INTERVAL_MS 5000 /* between log lines of one organisation */
/*
 * Shares decide the order only while some organisation uses so many times its
 * entitlement, and so much of all workers beyond it. Below that, use differs
 * from the entitlements by chance, for example by a gang of a small
 * organisation, and an order by shares makes urgent work late for the sake of
 * work that has time.
 */
#define CONTENDED_SHARE 1.5
#define CONTENDED_EXCESS 0.1
/* After that the others get what they are still due. */
#define CONTENDED_HOLD_MS 5000

/* Caps and weights are copied, as the next configuration frees this one. NULL:
 * the organisation is not in the configuration. */
static void
set_settings(struct organisation *o, const struct flow_organisation *c)
{
	o->cap = c == NULL ? (struct resources){ 0 } : c->cap;
	o->weight = c == NULL ? 1 : c->weight;
}

void
organisations_config_changed(struct dispatch *d)
{
	const GPtrArray *all = flow_config(d->conf.flow)->organisations;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_settings(value, NULL);
	for (guint i = 0; all != NULL && i < all->len; i++) {
		const struct flow_organisation *c = all->pdata[i];
		struct organisation *o =
		    g_hash_table_lookup(d->organisations, c->name);

		if (o != NULL)
			set_settings(o, c);
	}
}

struct organisation *
organisation_get(struct dispatch *d, const char *name)
{
	struct organisation *o;

	if (name == NULL)
		name = "";
	o = g_hash_table_lookup(d->organisations, name);
	if (o != NULL)
		return o;
	o = g_new0(struct organisation, 1);
	o->name = g_strdup(name);
	set_settings(o, flow_organisation(d->conf.flow, name));
	g_hash_table_insert(d->organisations, o->name, o);
	return o;
}

void
organisation_free(void *arg)
{
	struct organisation *o = arg;

	g_free(o->name);
	g_free(o);
}

void
organisation_add_run(struct active_run *r, const struct flow_job *job,
    const struct flow_step *step)
{
	struct organisation *o = organisation_get(
	    r->holder->d, job == NULL ? NULL : job->organisation);

	r->organisation = o;
	r->long_running = step->long_running;
	o->runs++;
	resources_add(&o->used, &r->resources, 1);
	if (r->long_running)
		resources_add(&o->long_running, &r->resources, 1);
}

void
organisation_remove_run(struct active_run *r)
{
	struct organisation *o = r->organisation;

	o->runs--;
	resources_add(&o->used, &r->resources, -1);
	if (r->long_running)
		resources_add(&o->long_running, &r->resources, -1);
	if (r->ordered)
		resources_add(&o->ordered, &r->resources, -1);
	if (r->stopping)
		resources_add(&o->stopping, &r->resources, -1);
}

void
organisation_add_order(struct active_run *r)
{
	if (!r->ordered)
		resources_add(&r->organisation->ordered, &r->resources, 1);
	r->ordered = true;
}

bool
organisation_allows_order(const struct active_run *r)
{
	struct resources sum = r->organisation->ordered;

	if (!r->ordered)
		resources_add(&sum, &r->resources, 1);
	return share_fits_cap(&sum, &r->organisation->cap);
}

struct organisation *
organisation_in_round(struct round *rd, const struct flow_job *job)
{
	struct organisation *o;

	if (flow_config(rd->d->conf.flow)->organisations == NULL)
		return NULL;
	o = organisation_get(rd->d, job->organisation);
	if (o->round != rd->number) {
		o->round = rd->number;
		o->claimed = (struct resources){ 0 };
		o->held = o->lacks_room = false;
		o->waiting = 0;
	}
	o->waiting++;
	return o;
}

uint32_t
organisation_room(
    const struct organisation *o, const struct plan_request *request)
{
	struct resources used;

	if (o == NULL)
		return request->count;
	if (o->held)
		return 0;
	used = o->used;
	resources_add(&used, &o->claimed, 1);
	return share_tasks_within_cap(
	    &used, &o->cap, &request->per_task, request->count, request->gang);
}

static double
entitlement(const struct dispatch *d, const struct organisation *o)
{
	return d->weights > 0 ? o->weight / d->weights : 0;
}

static bool
is_far_above(const struct dispatch *d, const struct organisation *o)
{
	double due = entitlement(d, o);

	return share_over_due(&o->used, &d->available,
	    MAX(CONTENDED_SHARE * due, due + CONTENDED_EXCESS));
}

void
organisations_prepare(struct round *rd)
{
	struct dispatch *d = rd->d;
	GHashTableIter iter;
	gpointer value;

	/* Without organisations a round costs nothing more. */
	if (g_hash_table_size(d->organisations) == 0)
		return;
	d->available = (struct resources){ 0 };
	for (guint i = 0; i < rd->workers->len; i++) {
		const struct plan_worker *w = rd->workers->pdata[i];

		resources_add(&d->available, &w->capacity, 1);
	}
	/* Shares are of processor and memory only. */
	d->available.accelerators = 0;
	d->weights = 0;
	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *o = value;

		if (o->runs > 0 || o->round == rd->number)
			d->weights += o->weight;
	}
	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *o = value;

		if (o->runs > 0 && is_far_above(d, o))
			d->contended_until_ms = rd->now + CONTENDED_HOLD_MS;
	}
}

/* Says whether shares decide the order. */
static bool
is_contended(const struct round *rd)
{
	return rd->now < rd->d->contended_until_ms;
}

uint32_t
organisation_due(
    const struct round *rd, const struct pending_step *p, uint32_t turn)
{
	const struct flow_step *step = flow_job_step(p->job, p->step);
	const struct organisation *o = p->organisation;
	struct resources per_task = run_resources(step);

	if (o == NULL || step->long_running || turn == SHARE_TURNS - 1 ||
	    !is_contended(rd))
		return UINT32_MAX;
	/* It uses what no other work needs, its organisation's or not. */
	if (step->best_effort)
		return 0;
	return share_tasks_due(&o->used, &rd->d->available,
	    entitlement(rd->d, o), turn, &per_task, step->count, step->gang);
}

/* Logs that a step waits for the cap or the share of its organisation. */
static void
log_wait(const struct round *rd, const struct pending_step *p, const char *why)
{
	const struct organisation *o = p->organisation;

	log_info("dispatch",
	    "event=wait why=%s job=%016" G_GINT64_MODIFIER
	    "x occurrence=%u step=%u organisation=%s held=%d"
	    " used_millicpus=%" G_GINT64_FORMAT
	    " cap_millicpus=%" G_GINT64_FORMAT " used_memory=%" G_GINT64_FORMAT
	    " cap_memory=%" G_GINT64_FORMAT
	    " used_accelerators=%" G_GINT64_FORMAT
	    " cap_accelerators=%" G_GINT64_FORMAT
	    " share=%.4f entitlement=%.4f",
	    why, p->job->id, p->occurrence->number, p->step, o->name, o->held,
	    o->used.millicpus, o->cap.millicpus, o->used.memory, o->cap.memory,
	    o->used.accelerators, o->cap.accelerators,
	    share_dominant(&o->used, &rd->d->available), entitlement(rd->d, o));
}

static struct step_permits *
state_of(const struct round *rd, const struct pending_step *p)
{
	return step_permits_get(rd->d, p->job, p->occurrence->number, p->step);
}

void
organisation_step_waits(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, bool placeable)
{
	struct organisation *o = p->organisation;

	if (!state_of(rd, p)->cap_wait_logged)
		log_wait(rd, p, "cap");
	state_of(rd, p)->cap_wait_logged = true;
	/* Beside the long-running tasks it would never fit, however long the
	 * other work was held back. */
	if (placeable &&
	    share_tasks_within_cap(&o->long_running, &o->cap,
		&request->per_task, request->gang ? request->count : 1,
		request->gang) > 0)
		o->held = true;
}

void
organisation_lacks_room(struct round *rd, const struct pending_step *p)
{
	struct organisation *o = p->organisation;

	if (o == NULL || p->plan.best_effort)
		return;
	o->lacks_room = true;
	if (!p->tried || state_of(rd, p)->share_wait_logged ||
	    !share_over_due(&o->used, &rd->d->available, entitlement(rd->d, o)))
		return;
	state_of(rd, p)->share_wait_logged = true;
	log_wait(rd, p, "share");
}

void
organisation_stop_run(struct active_run *r)
{
	if (!r->stopping)
		resources_add(&r->organisation->stopping, &r->resources, 1);
}

/* Says whether an organisation is above its entitlement without the runs that
 * are to stop or were offered before in this search. */
static bool
has_surplus(const struct round *rd, struct organisation *o)
{
	struct resources rest = o->used;

	if (o->search != rd->d->last_search) {
		o->search = rd->d->last_search;
		o->offered = (struct resources){ 0 };
	}
	resources_add(&rest, &o->stopping, -1);
	resources_add(&rest, &o->offered, -1);
	return share_dominant(&rest, &rd->d->available) > entitlement(rd->d, o);
}

bool
organisation_may_preempt(struct round *rd, const struct pending_step *p,
    struct active_run *r, bool has_time)
{
	struct share_side urgent = { p->organisation, p->turn == 0 };
	struct share_side victim = { r->organisation, true };

	if (p->organisation == NULL)
		return has_time;
	/* Without turns the entitlement is compared here. */
	if (!is_contended(rd))
		urgent.within = !share_over_due(&p->organisation->used,
		    &rd->d->available, entitlement(rd->d, p->organisation));
	victim.within = !has_surplus(rd, r->organisation);
	if (!share_may_preempt(&urgent, &victim, has_time))
		return false;
	resources_add(&r->organisation->offered, &r->resources, 1);
	return true;
}

void
organisation_claim(struct organisation *o, const struct plan_request *request)
{
	int tasks = request->gang ? (int)request->count : 1;

	resources_add(&o->claimed, &request->per_task, tasks);
}

const char *
organisation_misfit(const struct flow_organisation *o,
    const struct flow_spec *spec, uint32_t *step)
{
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct flow_step *s = spec->steps->pdata[i];
		struct resources per_task = run_resources(s);

		*step = i;
		if (!share_can_ever_fit(&o->cap, &per_task, s->count, s->gang))
			return s->gang ? "gang-above-cap" : "task-above-cap";
	}
	return NULL;
}

/* Says whether the free resources suffice for a step: for one task of it, or
 * for a whole gang. */
static bool
has_room(const struct dispatch *d, const struct flow_queue *queue,
    const struct flow_step *step)
{
	struct plan_request request = { .count = step->gang ? step->count : 1,
		.per_task = run_resources(step) };
	uint32_t fit = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (fit < request.count &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;
		const struct flow_worker *w = flow_worker(d->conf.flow, h->id);
		struct plan_worker worker = { .task_limit = UINT32_MAX };

		if (!holder_available(h, mono_ms()) ||
		    strcmp(w->pool, queue->pool) != 0)
			continue;
		worker.free = w->capacity;
		resources_add(&worker.free, &h->used, -1);
		fit += plan_fit_count(&worker, &request);
	}
	return fit >= request.count;
}

int64_t
organisation_refuse_ms(struct dispatch *d, const char *name, const char *path,
    const struct flow_queue *queue, const struct flow_spec *spec)
{
	struct organisation *o = organisation_get(d, name);
	int64_t now = mono_ms();
	int64_t retry_ms;

	if (share_bucket_take(&o->bucket, o->weight, now) ||
	    o->round != d->last_round || !o->lacks_room ||
	    !share_over_due(&o->used, &d->available, entitlement(d, o)))
		return 0;
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct flow_step *step = spec->steps->pdata[i];

		if (step->after->len == 0 && has_room(d, queue, step))
			return 0;
	}
	if (o->meters != NULL)
		o->meters->refused->value++;
	retry_ms = share_bucket_retry_ms(&o->bucket, o->weight, now);
	log_info("dispatch",
	    "event=refused why=over-entitlement path=%s organisation=%s"
	    " rate=%.2f weight=%g share=%.4f entitlement=%.4f waiting=%u"
	    " retry_ms=%" G_GINT64_FORMAT,
	    path, o->name, o->bucket.rate, o->weight,
	    share_dominant(&o->used, &d->available), entitlement(d, o),
	    o->waiting, retry_ms);
	return retry_ms;
}

static struct counter *
meter_new(struct dispatch *d, const struct organisation_meters *m,
    enum counter_type type, const char *name, const char *help)
{
	return counter_new(d->conf.registry, type, name, m->labels, help);
}

static struct organisation_meters *
meters_new(struct dispatch *d, const char *name)
{
	struct organisation_meters *m = g_new0(struct organisation_meters, 1);
	char *escaped = g_strescape(name, NULL);

	m->name = g_strdup(name);
	m->labels = g_strdup_printf("organisation=\"%s\"", escaped);
	g_free(escaped);
	m->running = meter_new(d, m, COUNTER_GAUGE,
	    "bulrushtide_organisation_running_millicpus",
	    "Processor that the organisation has running.");
	m->waiting = meter_new(d, m, COUNTER_GAUGE,
	    "bulrushtide_organisation_waiting", "Its steps that wait.");
	m->refused = meter_new(d, m, COUNTER_TOTAL,
	    "bulrushtide_organisation_refused_total",
	    "Its jobs refused as beyond its weight.");
	m->cap = meter_new(d, m, COUNTER_GAUGE,
	    "bulrushtide_organisation_cap_millicpus",
	    "Its cap on processor; 0: none.");
	m->entitlement = meter_new(d, m, COUNTER_GAUGE,
	    "bulrushtide_organisation_entitlement",
	    "Its share of the workers while all are used.");
	m->entitlement->scale = 1e-6;
	g_ptr_array_add(d->organisation_meters, m);
	return m;
}

void
organisation_meters_free(void *arg)
{
	struct organisation_meters *m = arg;

	g_free(m->name);
	g_free(m->labels);
	g_free(m);
}

static struct organisation_meters *
find_meters(const struct dispatch *d, const char *name)
{
	for (guint i = 0; i < d->organisation_meters->len; i++) {
		struct organisation_meters *m =
		    d->organisation_meters->pdata[i];

		if (strcmp(m->name, name) == 0)
			return m;
	}
	return NULL;
}

/* The first METERS_MAX organisations have metrics of their own, the others
 * share those named "other". */
static struct organisation_meters *
meters_of(struct dispatch *d, const char *name)
{
	struct organisation_meters *m = find_meters(d, name);

	if (m == NULL && d->organisation_meters->len >= METERS_MAX) {
		name = "other";
		m = find_meters(d, name);
	}
	return m == NULL ? meters_new(d, name) : m;
}

static void
log_load(const struct dispatch *d, const struct organisation *o)
{
	log_info("dispatch",
	    "event=organisation-load organisation=%s runs=%u waiting=%u"
	    " millicpus=%" G_GINT64_FORMAT " memory=%" G_GINT64_FORMAT
	    " share=%.4f entitlement=%.4f weight=%g held=%d lacks_room=%d",
	    o->name, o->runs, o->waiting, o->used.millicpus, o->used.memory,
	    share_dominant(&o->used, &d->available), entitlement(d, o),
	    o->weight, o->held, o->lacks_room);
}

static void
add_to_meters(const struct dispatch *d, const struct organisation *o)
{
	struct organisation_meters *m = o->meters;

	m->running->value += o->used.millicpus;
	m->waiting->value += o->waiting;
	m->cap->value += o->cap.millicpus;
	m->entitlement->value += (int64_t)(entitlement(d, o) * 1e6);
}

static void
clear_gauges(struct dispatch *d)
{
	for (guint i = 0; i < d->organisation_meters->len; i++) {
		struct organisation_meters *m =
		    d->organisation_meters->pdata[i];

		m->running->value = m->waiting->value = 0;
		m->cap->value = m->entitlement->value = 0;
	}
}

void
organisations_report(struct dispatch *d, int64_t now)
{
	bool log = now - d->organisations_logged_ms >= REPORT_INTERVAL_MS;
	GHashTableIter iter;
	gpointer value;

	if (flow_config(d->conf.flow)->organisations == NULL)
		return;
	if (log)
		d->organisations_logged_ms = now;
	clear_gauges(d);
	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct organisation *o = value;

		if (o->round != d->last_round) {
			o->waiting = 0;
			o->held = o->lacks_room = false;
		}
		if (o->meters == NULL)
			o->meters = meters_of(d, o->name);
		add_to_meters(d, o);
		if (log)
			log_load(d, o);
	}
}

/* Removes the entries that have neither runs nor, in the last round, waiting
 * steps, and that differ in no other way from new ones. */
void
organisations_remove_unused(struct dispatch *d, uint64_t round)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *o = value;

		if (o->runs == 0 && o->round != round &&
		    share_bucket_full(&o->bucket, o->weight, mono_ms()))
			g_hash_table_iter_remove(&iter);
	}
}
