/*
 * Explains what a submission would come to now, by asking the functions that
 * admission and placement use. They get a copy of the tables that they extend,
 * and a round whose placement is only tried, so nothing changes: no command is
 * proposed, no query sent, no refusal recorded.
 */
#include <jansson.h>

#include "admit.h"
#include "auth.h"
#include "impl.h"

#define LISTED_WORKERS_MAX 20 /* in one step */
/* Keeps the answer below REQUEST_FORWARD_MAX_BYTES: a listed worker takes about
 * 200 bytes. */
#define LISTED_STEPS_MAX 6
#define MB (INT64_C(1024) * 1024)

/* Why a worker gets no task of a step. */
enum reason {
	REASON_CHOSEN,
	REASON_NOT_NEEDED, /* would do, but others are preferred */
	REASON_POOL,
	REASON_LEAVING,
	REASON_DRAINING,
	REASON_SILENT,
	REASON_EXCLUDED,
	REASON_PROBING,
	REASON_LABEL,
	REASON_RESERVED,
	REASON_APART,
	REASON_RESOURCES,
	REASON_SLOW,
	REASON_MAX_PER_WORKER,
	REASON_PERMIT_DENIED,
	REASON_PERMIT_UNKNOWN,
	REASON_PERMIT_EXPIRED,
	REASON_CAP,
	REASON_GANG, /* has room for members, but not all members have */
	REASON_COUNT
};

static const char *const reason_names[REASON_COUNT] = {
	[REASON_CHOSEN] = "chosen",
	[REASON_NOT_NEEDED] = "not-needed",
	[REASON_POOL] = "pool",
	[REASON_LEAVING] = "leaving",
	[REASON_DRAINING] = "draining",
	[REASON_SILENT] = "silent",
	[REASON_EXCLUDED] = "excluded",
	[REASON_PROBING] = "probing",
	[REASON_LABEL] = "label",
	[REASON_RESERVED] = "reserved",
	[REASON_APART] = "apart",
	[REASON_RESOURCES] = "resources",
	[REASON_SLOW] = "slow",
	[REASON_MAX_PER_WORKER] = "max-per-worker",
	[REASON_PERMIT_DENIED] = "permit-denied",
	[REASON_PERMIT_UNKNOWN] = "permit-unknown",
	[REASON_PERMIT_EXPIRED] = "permit-expired",
	[REASON_CAP] = "cap",
	[REASON_GANG] = "gang",
};

static const enum reason state_reasons[] = {
	[HOLDER_LEAVING] = REASON_LEAVING,
	[HOLDER_DRAINING] = REASON_DRAINING,
	[HOLDER_SILENT] = REASON_SILENT,
	[HOLDER_EXCLUDED] = REASON_EXCLUDED,
};

static const enum reason round_reasons[] = {
	[CANDIDATE_NO_LABEL] = REASON_LABEL,
	[CANDIDATE_RESERVED] = REASON_RESERVED,
	[CANDIDATE_APART] = REASON_APART,
};

static const enum reason plan_reasons[] = {
	[PLAN_NO_RESOURCES] = REASON_RESOURCES,
	[PLAN_TOO_SLOW] = REASON_SLOW,
	[PLAN_TASK_LIMIT] = REASON_PROBING,
	[PLAN_MAX_PER_WORKER] = REASON_MAX_PER_WORKER,
};

static const enum reason permit_reasons[] = {
	[PLAN_PERMIT_DENIED] = REASON_PERMIT_DENIED,
	[PLAN_PERMIT_UNKNOWN] = REASON_PERMIT_UNKNOWN,
	[PLAN_PERMIT_EXPIRING] = REASON_PERMIT_EXPIRED,
};

/* An explanation while it is made. */
struct explanation {
	struct dispatch d; /* with copies of the tables that are extended */
	struct round rd;
	const struct explain_request *request;
	json_t *steps;
	guint omitted; /* steps that are not listed */
	bool waits; /* a step that is ready would not start at once */
	int64_t start_ms; /* from now, of the last step to start; -1: unknown */
	int64_t end_ms; /* of the last of these steps to end; -1: unknown */
};

/* A step that is explained. */
struct step_view {
	struct explanation *x;
	const struct pending_step *p;
	struct round_trial trial;
	guint first_pick; /* in the round's picks */
	GPtrArray *allowed; /* struct plan_worker */
	uint32_t stops; /* runs that would be stopped for it */
	guint count[REASON_COUNT]; /* of workers */
	int64_t start_ms; /* from now; -1: unknown */
	int64_t end_ms;
};

static GHashTable *
copy_table(GHashTable *from, size_t value_bytes)
{
	GHashTable *to = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, value_bytes > 0 ? g_free : NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_hash_table_insert(to, g_strdup(key),
		    value_bytes > 0 ? g_memdup2(value, value_bytes) : value);
	return to;
}

static GHashTable *
copy_organisations(GHashTable *from)
{
	GHashTable *to = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, organisation_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct organisation *o =
		    g_memdup2(value, sizeof(struct organisation));

		o->name = g_strdup(o->name);
		g_hash_table_insert(to, o->name, o);
	}
	return to;
}

/* Copies what is known about the permits of one job. */
static GHashTable *
copy_permits(GHashTable *from, uint64_t job)
{
	GHashTable *to = g_hash_table_new_full(
	    step_permits_hash, step_permits_equal, step_permits_free, NULL);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (((const struct step_permits *)key)->job == job)
			g_hash_table_add(to, step_permits_copy(key));
	return to;
}

static void
copy_init(
    struct dispatch *copy, const struct dispatch *d, const struct flow_job *job)
{
	*copy = *d;
	copy->estimates =
	    copy_table(d->estimates, sizeof(struct plan_estimate));
	copy->racks = copy_table(d->racks, 0);
	copy->organisations = copy_organisations(d->organisations);
	copy->step_permits = copy_permits(d->step_permits, job->id);
}

static void
copy_clear(struct dispatch *copy)
{
	g_hash_table_unref(copy->estimates);
	g_hash_table_unref(copy->racks);
	g_hash_table_unref(copy->organisations);
	g_hash_table_unref(copy->step_permits);
}

/* Creates the occurrence that a job would have after its submission. */
static struct flow_occurrence *
occurrence_new(const struct flow_spec *spec, int64_t now)
{
	struct flow_occurrence *o = g_new0(struct flow_occurrence, 1);

	o->due_ms = MAX(now, spec->start_at_ms);
	o->unfinished_steps = spec->steps->len;
	o->steps = g_new0(struct flow_step_state, spec->steps->len);
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct flow_step *s = spec->steps->pdata[i];

		o->steps[i].count = o->steps[i].pending = s->count;
		o->steps[i].tasks = g_new0(struct flow_task, s->count);
	}
	return o;
}

static void
occurrence_free(struct flow_occurrence *o, guint steps)
{
	for (guint i = 0; i < steps; i++)
		g_free(o->steps[i].tasks);
	g_free(o->steps);
	g_free(o);
}

static guint
count_picks(const struct step_view *v, const struct plan_worker *w)
{
	const GPtrArray *picks = v->x->rd.picks;
	guint count = 0;

	for (guint i = v->first_pick; i < picks->len; i++)
		count += picks->pdata[i] == w;
	return count;
}

static enum reason
permit_reason(const struct step_view *v, const struct holder *h)
{
	const struct pending_step *p = v->p;
	enum plan_permit state;

	if (!p->job->queue->needs_permit)
		return REASON_NOT_NEEDED;
	state = permit_state(
	    step_permits_get(&v->x->d, p->job, p->occurrence->number, p->step),
	    h->id, v->x->rd.now);
	return state == PLAN_PERMIT_VALID ? REASON_NOT_NEEDED
					  : permit_reasons[state];
}

/* Why a worker that placement considers gets no task. */
static enum reason
reason_in_round(const struct step_view *v, const struct round_worker *w)
{
	enum plan_obstacle obstacle;
	enum reason permit;

	if (!g_ptr_array_find(v->allowed, w, NULL))
		return REASON_PROBING;
	obstacle = plan_obstacle(&w->plan, &v->trial.request);
	if (obstacle != PLAN_FITS)
		return plan_reasons[obstacle];
	permit = permit_reason(v, w->holder);
	if (permit != REASON_NOT_NEEDED)
		return permit;
	if (v->trial.over_cap > 0 && v->trial.left == 0)
		return REASON_CAP;
	return v->trial.left > 0 && v->trial.request.gang ? REASON_GANG
							  : REASON_NOT_NEEDED;
}

static enum reason
reason_of(const struct step_view *v, struct holder *h)
{
	const struct apartness apart = { .from = apart_least(&v->x->rd, v->p) };
	const struct flow_worker *w = flow_worker(v->x->d.conf.flow, h->id);
	enum holder_state state = holder_state(h, v->x->rd.now);
	enum candidate_obstacle obstacle = w == NULL
	    ? CANDIDATE_ALLOWED
	    : candidate_obstacle(&v->x->rd, v->p, apart, h, w);

	if (obstacle == CANDIDATE_OTHER_POOL)
		return REASON_POOL;
	if (state != HOLDER_AVAILABLE)
		return state_reasons[state];
	if (h->in_round == NULL)
		return REASON_PROBING;
	if (obstacle != CANDIDATE_ALLOWED)
		return round_reasons[obstacle];
	if (count_picks(v, &h->in_round->plan) > 0)
		return REASON_CHOSEN;
	return reason_in_round(v, h->in_round);
}

static void
count_reasons(struct step_view *v)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->x->d.holders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		v->count[reason_of(v, value)]++;
}

/* A run that ends, and what it leaves to its worker. */
struct coming_end {
	int64_t remaining_ms;
	const struct resources *resources;
	struct plan_worker *worker;
};

static gint
by_remaining(gconstpointer a, gconstpointer b)
{
	const struct coming_end *x = a;
	const struct coming_end *y = b;

	return x->remaining_ms < y->remaining_ms
	    ? -1
	    : x->remaining_ms > y->remaining_ms;
}

static void
add_coming_ends(struct explanation *x, GPtrArray *workers, GArray *ends)
{
	for (guint i = 0; i < workers->len; i++) {
		struct round_worker *w = workers->pdata[i];

		for (guint k = 0; k < w->holder->runs->len; k++) {
			const struct active_run *r = w->holder->runs->pdata[k];
			const struct flow_job *job =
			    flow_job(x->d.conf.flow, r->id.job);
			struct coming_end end = { .resources = &r->resources,
				.worker = &w->plan };

			if (job == NULL || job->spec.steps == NULL ||
			    r->long_running)
				continue;
			end.remaining_ms =
			    estimate_run_remaining_ms(&x->d, job, r);
			g_array_append_val(ends, end);
		}
	}
	g_array_sort(ends, by_remaining);
}

/*
 * The time until the runs of the allowed workers have left room for so many of
 * the tasks, if nothing else takes it; -1 if they never do. Leaves the workers'
 * free resources as they were.
 */
static int64_t
room_in_ms(const struct step_view *v, uint32_t need)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct coming_end));
	int64_t in_ms = -1;
	uint64_t fit = 0;
	guint used = 0;

	for (guint i = 0; i < v->allowed->len; i++)
		fit += plan_fit_count(v->allowed->pdata[i], &v->trial.request);
	add_coming_ends(v->x, v->allowed, ends);
	for (; fit < need && used < ends->len; used++) {
		struct coming_end *e =
		    &g_array_index(ends, struct coming_end, used);

		fit -= plan_fit_count(e->worker, &v->trial.request);
		resources_add(&e->worker->free, e->resources, 1);
		fit += plan_fit_count(e->worker, &v->trial.request);
		in_ms = e->remaining_ms;
	}
	if (fit < need)
		in_ms = -1;
	else if (used == 0)
		in_ms = 0;
	while (used-- > 0) {
		struct coming_end *e =
		    &g_array_index(ends, struct coming_end, used);

		resources_add(&e->worker->free, e->resources, -1);
	}
	g_array_unref(ends);
	return in_ms;
}

static bool
waits_for_permit(const struct step_view *v)
{
	return v->trial.left > 0 &&
	    v->count[REASON_PERMIT_UNKNOWN] + v->count[REASON_PERMIT_EXPIRED] >
	    0;
}

/* The slowdown of the slowest chosen worker. */
static double
slowest(const struct step_view *v)
{
	const GPtrArray *picks = v->x->rd.picks;
	double slowdown = 1;

	for (guint i = v->first_pick; i < picks->len; i++)
		slowdown = MAX(slowdown,
		    ((const struct plan_worker *)picks->pdata[i])->slowdown);
	return slowdown;
}

/* Sets when the first task of a step, or its gang, starts and when the last
 * one ends. */
static void
estimate_times(struct step_view *v)
{
	const struct flow_step *s = flow_job_step(v->p->job, v->p->step);
	const struct round_trial *t = &v->trial;
	int64_t last_ms = 0;

	v->start_ms = v->end_ms = -1;
	if (t->over_cap == 0 && t->left > 0) {
		v->start_ms = room_in_ms(v, s->gang ? t->left : 1);
		last_ms = room_in_ms(v, t->left);
	}
	if (t->over_cap == 0 && waits_for_permit(v) && v->start_ms >= 0) {
		int64_t permit_ms = permits_ready_ms(v->p->job->queue, s->gang);

		v->start_ms = MAX(v->start_ms, permit_ms);
		last_ms = last_ms < 0 ? -1 : MAX(last_ms, permit_ms);
	}
	if (t->left + t->over_cap < t->tasks)
		v->start_ms = 0;
	if (v->start_ms < 0 || last_ms < 0 || t->over_cap > 0 ||
	    s->long_running)
		return;
	v->end_ms = last_ms +
	    (int64_t)(slowest(v) *
		(double)estimate_runtime_ms(&v->x->d, v->p->job, s, 0.5));
}

static json_t *
ms_json(int64_t ms)
{
	return ms < 0 ? json_null() : json_integer(ms);
}

static json_t *
worker_json(const struct step_view *v, const struct plan_worker *plan)
{
	/* plan is the first member. */
	const struct round_worker *w = (const struct round_worker *)plan;
	struct resources free = plan->capacity;

	resources_add(&free, &w->holder->used, -1);
	return json_pack("{s:s,s:i,s:I,s:I,s:I,s:f,s:s,s:I}", "worker",
	    w->worker->name, "tasks", (int)count_picks(v, plan),
	    "free_millicpus", (json_int_t)free.millicpus, "free_memory_mb",
	    (json_int_t)(free.memory / MB), "free_accelerators",
	    (json_int_t)free.accelerators, "slowdown", plan->slowdown, "rack",
	    w->worker->rack == NULL ? "" : w->worker->rack, "report_age_ms",
	    (json_int_t)(v->x->rd.now - w->holder->answered_ms));
}

/* Lists the chosen workers, up to a bound. */
static void
list_workers(const struct step_view *v, json_t *out)
{
	const GPtrArray *picks = v->x->rd.picks;
	json_t *list = json_array();
	guint omitted = 0;

	for (guint i = v->first_pick; i < picks->len; i++) {
		guint before = v->first_pick;

		while (picks->pdata[before] != picks->pdata[i])
			before++;
		if (before < i)
			continue;
		if (json_array_size(list) < LISTED_WORKERS_MAX)
			json_array_append_new(
			    list, worker_json(v, picks->pdata[i]));
		else
			omitted++;
	}
	json_object_set_new(out, "workers", list);
	json_object_set_new(
	    out, "workers_omitted", json_integer((json_int_t)omitted));
}

static const char *
waits_for(const struct step_view *v)
{
	if (v->trial.over_cap > 0)
		return "cap";
	if (v->trial.left == 0)
		return "nothing";
	if (waits_for_permit(v))
		return "permit";
	return v->count[REASON_SLOW] > 0 ? "fast-workers" : "resources";
}

static json_t *
reasons_json(const struct step_view *v)
{
	json_t *o = json_object();

	for (int i = REASON_CHOSEN + 1; i < REASON_COUNT; i++)
		if (v->count[i] > 0)
			json_object_set_new(o, reason_names[i],
			    json_integer((json_int_t)v->count[i]));
	return o;
}

static json_t *
step_json(const struct step_view *v)
{
	const struct round_trial *t = &v->trial;
	json_t *o = json_pack("{s:i,s:i,s:i,s:b,s:i,s:i,s:s,s:i,s:o,s:o,s:i}",
	    "occurrence", (int)v->p->occurrence->number, "step",
	    (int)v->p->step, "tasks", (int)t->tasks, "gang", t->request.gang,
	    "placed", (int)(t->tasks - t->left - t->over_cap), "over_cap",
	    (int)t->over_cap, "waits_for", waits_for(v), "would_stop",
	    (int)v->stops, "start_in_ms", ms_json(v->start_ms), "end_in_ms",
	    ms_json(v->end_ms), "considered",
	    (int)g_hash_table_size(v->x->d.holders));

	json_object_set_new(o, "passed_over", reasons_json(v));
	list_workers(v, o);
	return o;
}

static uint32_t
count_stops(const struct step_view *v)
{
	const struct pending_step *p = v->p;
	struct plan_request request = v->trial.request;

	if (!v->trial.may_preempt)
		return 0;
	request.count = v->trial.left;
	return preempt_try(&v->x->rd, p, &request, v->allowed,
	    p->job->queue->needs_permit ? step_permits_get(&v->x->d, p->job,
					      p->occurrence->number, p->step)
					: NULL);
}

static void
explain_step(struct explanation *x, const struct pending_step *p)
{
	struct step_view v = { .x = x, .p = p, .first_pick = x->rd.picks->len };

	v.trial = place_try(&x->rd, p);
	if (v.trial.tasks == 0)
		return; /* all of them run, or are about to */
	v.allowed = candidates_allowed(
	    &x->rd, p, (struct apartness){ .from = apart_least(&x->rd, p) });
	count_reasons(&v);
	v.stops = count_stops(&v);
	estimate_times(&v);
	x->waits |= v.trial.left + v.trial.over_cap > 0;
	x->end_ms =
	    v.end_ms < 0 || x->end_ms < 0 ? -1 : MAX(x->end_ms, v.end_ms);
	x->start_ms = v.start_ms < 0 || x->start_ms < 0
	    ? -1
	    : MAX(x->start_ms, v.start_ms);
	if (json_array_size(x->steps) < LISTED_STEPS_MAX)
		json_array_append_new(x->steps, step_json(&v));
	else
		x->omitted++;
	g_ptr_array_unref(v.allowed);
}

static void
explain_occurrence(struct explanation *x, const struct flow_job *job,
    const struct flow_occurrence *occurrence)
{
	struct plan_pending urgency;

	if (occurrence->due_ms > x->rd.cell_now)
		return;
	urgency = estimate_urgency(&x->d, job, occurrence);
	for (guint i = 0; i < job->spec.steps->len; i++) {
		struct pending_step p;

		if (occurrence->steps[i].pending == 0 ||
		    !flow_step_ready(job, occurrence, i))
			continue;
		p = pending_step_of(&x->rd, job, occurrence, i, &urgency);
		explain_step(x, &p);
	}
}

/* Explains the steps of a job that are ready. Returns when it would end, from
 * now; -1: not known. */
static int64_t
explain_steps(struct explanation *x, const struct flow_job *job,
    const GPtrArray *occurrences)
{
	int64_t end_ms = -1;

	for (guint i = 0; i < occurrences->len; i++) {
		const struct flow_occurrence *o = occurrences->pdata[i];

		explain_occurrence(x, job, o);
		if (x->start_ms < 0 || x->end_ms < 0)
			return -1;
		x->start_ms = MAX(x->start_ms, o->due_ms - x->rd.cell_now);
		end_ms = MAX(MAX(end_ms, x->end_ms),
		    x->start_ms + estimate_urgency(&x->d, job, o).remaining_ms);
	}
	if (occurrences->len == 0)
		x->start_ms = -1;
	return end_ms;
}

static void
set_refused(json_t *out, const char *reason, int status, int64_t retry_ms,
    const char *message)
{
	json_object_set_new(out, "outcome", json_string("refused"));
	json_object_set_new(out, "reason", json_string(reason));
	json_object_set_new(out, "message", json_string(message));
	json_object_set_new(out, "status", json_integer(status));
	if (retry_ms > 0)
		json_object_set_new(
		    out, "retry_ms", json_integer((json_int_t)retry_ms));
}

/* Refuses as a submission would be under overload. */
static void
ask_admission(struct explanation *x, json_t *out)
{
	const struct explain_request *r = x->request;
	const char *organisation = r->owner == NULL ? NULL : r->owner->name;
	struct admit_decision decision;
	uint32_t entitled;

	if (!x->d.conf.yield_under_overload || r->proposed || r->known != NULL)
		return;
	entitled = admission_ask(
	    &x->d, r->queue, r->id, r->spec, organisation, &decision);
	json_object_set_new(out, "admission",
	    json_pack("{s:i,s:I,s:I,s:I,s:I}", "entitled_permille",
		(int)entitled, "ahead_ms", (json_int_t)decision.ahead_ms,
		"spare_ms", (json_int_t)decision.spare_ms, "accept_cost",
		(json_int_t)decision.accept_cost, "refuse_cost",
		(json_int_t)decision.refuse_cost));
	if (!decision.accept)
		set_refused(out,
		    entitled < COST_ENTITLED_FULL ? "entitlement" : "overload",
		    503, decision.retry_ms,
		    "no capacity in time; the work that it would delay costs "
		    "more than a retry");
}

/* Sets whether a submission would be accepted, and if not why. */
static void
set_outcome(struct explanation *x, json_t *out)
{
	const struct explain_request *r = x->request;
	uint32_t step = 0;
	const char *misfit = r->owner == NULL || r->known != NULL
	    ? NULL
	    : organisation_misfit(r->owner, r->spec, &step);

	json_object_set_new(out, "outcome", json_string("accepted"));
	if (r->unauthenticated) {
		set_refused(out, "key", 401, 0, "a call needs a valid key");
	} else if (misfit != NULL) {
		set_refused(out, misfit, 503, RETRY_CAP_MS,
		    "a step can never fit under the cap of the organisation");
		json_object_set_new(
		    out, "refused_step", json_integer((json_int_t)step));
	} else {
		ask_admission(x, out);
	}
}

static void
set_request(const struct explain_request *r, json_t *out)
{
	json_object_set_new(out, "queue", json_string(r->queue->name));
	json_object_set_new(out, "pool", json_string(r->queue->pool));
	json_object_set_new(out, "organisation",
	    r->owner == NULL ? json_null() : json_string(r->owner->name));
	json_object_set_new(out, "key", json_string(r->fingerprint));
	if (r->known != NULL)
		json_object_set_new(out, "job_state",
		    json_string(flow_state_name(r->known->state)));
}

static void
set_estimate(
    struct explanation *x, json_t *out, int64_t objective_ms, int64_t end_ms)
{
	const struct dispatch *d = &x->d;

	json_object_set_new(out, "waits", json_boolean(x->waits));
	json_object_set_new(out, "expected",
	    json_pack("{s:o,s:o,s:I,s:o}", "start_in_ms", ms_json(x->start_ms),
		"end_in_ms", ms_json(end_ms), "objective_ms",
		(json_int_t)objective_ms, "last_round_age_ms",
		ms_json(d->round_ms == 0 ? -1 : x->rd.now - d->round_ms)));
	json_object_set_new(out, "steps", json_incref(x->steps));
	json_object_set_new(
	    out, "steps_omitted", json_integer((json_int_t)x->omitted));
}

/* Those of a job that is known, or the first one of a new job. */
static GPtrArray *
occurrences_of(const struct flow_job *known, struct flow_occurrence *first)
{
	GPtrArray *out;

	if (known != NULL && known->occurrences != NULL)
		return g_ptr_array_ref(known->occurrences);
	out = g_ptr_array_new();
	if (known == NULL)
		g_ptr_array_add(out, first);
	return out;
}

char *
explain_job(struct dispatch *d, const struct explain_request *r)
{
	struct flow_job new_job = { .id = r->id,
		.queue = (struct flow_queue *)r->queue,
		.organisation = r->owner == NULL ? NULL : r->owner->name,
		.spec = *r->spec };
	const struct flow_job *job = r->known == NULL ? &new_job : r->known;
	struct explanation x = { .request = r, .steps = json_array() };
	GPtrArray *occurrences;
	struct flow_occurrence *first;
	json_t *out = json_object();
	int64_t end_ms = -1;
	char *text;

	copy_init(&x.d, d, job);
	round_init(&x.rd, &x.d, mono_ms());
	/* The claims of the last round stay, but not those of the job. */
	x.rd.number += r->known != NULL;
	x.rd.picks = g_ptr_array_new();
	round_collect(&x.rd);
	first = occurrence_new(r->spec, x.rd.cell_now);
	occurrences = occurrences_of(r->known, first);
	set_outcome(&x, out);
	set_request(r, out);
	end_ms = explain_steps(&x, job, occurrences);
	set_estimate(&x, out, estimate_objective_ms(&x.d, job), end_ms);
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	json_decref(x.steps);
	g_ptr_array_unref(occurrences);
	occurrence_free(first, r->spec->steps->len);
	round_clear(&x.rd);
	copy_clear(&x.d);
	return text;
}
