/*
 * What each organisation has running, and its cap in the current
 * configuration. The use follows from the active runs, which a new leader loads
 * from the replicated state, so it holds across changes of leader.
 */
#include "impl.h"
#include "share.h"

/* Caps and weights are copied, as the next configuration frees this one. */
static void
read_settings(const struct dispatch *d, struct organisation *o)
{
	const struct flow_organisation *c =
	    flow_organisation(d->conf.flow, o->name);

	o->cap = c == NULL ? (struct resources){ 0 } : c->cap;
}

void
organisations_config_changed(struct dispatch *d)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		read_settings(d, value);
}

struct organisation *
organisation_get(struct dispatch *d, const char *name)
{
	struct organisation *o;

	if (name == NULL)
		return NULL;
	o = g_hash_table_lookup(d->organisations, name);
	if (o != NULL)
		return o;
	o = g_new0(struct organisation, 1);
	o->name = g_strdup(name);
	read_settings(d, o);
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
	if (o == NULL)
		return;
	o->runs++;
	resources_add(&o->used, &r->resources, 1);
	if (r->long_running)
		resources_add(&o->long_running, &r->resources, 1);
}

void
organisation_remove_run(struct active_run *r)
{
	struct organisation *o = r->organisation;

	if (o == NULL)
		return;
	o->runs--;
	resources_add(&o->used, &r->resources, -1);
	if (r->long_running)
		resources_add(&o->long_running, &r->resources, -1);
	if (r->ordered)
		resources_add(&o->ordered, &r->resources, -1);
}

void
organisation_add_order(struct active_run *r)
{
	if (r->organisation != NULL && !r->ordered)
		resources_add(&r->organisation->ordered, &r->resources, 1);
	r->ordered = true;
}

bool
organisation_allows_order(const struct active_run *r)
{
	struct resources sum;

	if (r->organisation == NULL)
		return true;
	sum = r->organisation->ordered;
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
	if (o != NULL && o->round != rd->number) {
		o->round = rd->number;
		o->claimed = (struct resources){ 0 };
		o->held = false;
	}
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

/* Logs once for each step that it waits for the cap. */
static void
log_wait(struct round *rd, const struct pending_step *p,
    const struct plan_request *request)
{
	const struct organisation *o = p->organisation;
	struct step_permits *state =
	    step_permits_get(rd->d, p->job, p->occurrence->number, p->step);

	if (state->cap_wait_logged)
		return;
	state->cap_wait_logged = true;
	log_info("dispatch",
	    "event=wait why=cap job=%016" G_GINT64_MODIFIER
	    "x occurrence=%u step=%u organisation=%s tasks=%u gang=%d held=%d"
	    " used_millicpus=%" G_GINT64_FORMAT
	    " cap_millicpus=%" G_GINT64_FORMAT " used_memory=%" G_GINT64_FORMAT
	    " cap_memory=%" G_GINT64_FORMAT
	    " used_accelerators=%" G_GINT64_FORMAT
	    " cap_accelerators=%" G_GINT64_FORMAT,
	    p->job->id, p->occurrence->number, p->step, o->name, request->count,
	    request->gang, o->held, o->used.millicpus, o->cap.millicpus,
	    o->used.memory, o->cap.memory, o->used.accelerators,
	    o->cap.accelerators);
}

void
organisation_step_waits(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, bool placeable)
{
	struct organisation *o = p->organisation;

	log_wait(rd, p, request);
	/* Beside the long-running tasks it would never fit, however long the
	 * other work was held back. */
	if (placeable &&
	    share_tasks_within_cap(&o->long_running, &o->cap,
		&request->per_task, request->gang ? request->count : 1,
		request->gang) > 0)
		o->held = true;
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

/* Removes the entries that have neither runs nor, in the last round, waiting
 * steps. */
void
organisations_remove_unused(struct dispatch *d, uint64_t round)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *o = value;

		if (o->runs == 0 && o->round != round)
			g_hash_table_iter_remove(&iter);
	}
}
