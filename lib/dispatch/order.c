/* The order in which waiting steps get capacity: their weights by what callers
 * lose, and turns for those that were passed over for long. */
#include "impl.h"

/* Overdue steps wait so long behind all work that can be of use. */
#define AGED_MS 30000
#define AGED_TURN_MS 1000
/* The longest turn: to query the policy service, stop runs and start. A step
 * may fit on no worker, or wait for the cap of its organisation. */
#define AGED_TURN_MAX_MS 5000

/* The capacity of each pool, as the work of a task counts by the resource that
 * it takes most of. */
static GHashTable *
pool_capacities(const struct round *rd)
{
	GHashTable *out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < rd->workers->len; i++) {
		const struct round_worker *w = rd->workers->pdata[i];
		struct resources *sum =
		    g_hash_table_lookup(out, w->worker->pool);

		if (sum == NULL) {
			sum = g_new0(struct resources, 1);
			g_hash_table_insert(out, w->worker->pool, sum);
		}
		resources_add(sum, &w->plan.capacity, 1);
	}
	return out;
}

static void
set_weights(struct round *rd)
{
	const struct resources none = { 0 };
	GHashTable *capacities = pool_capacities(rd);

	for (guint i = 0; i < rd->pending->len; i++) {
		struct pending_step *p =
		    &g_array_index(rd->pending, struct pending_step, i);
		const struct flow_step *step = flow_job_step(p->job, p->step);
		const struct resources *all =
		    g_hash_table_lookup(capacities, p->job->queue->pool);
		struct resources per_task = run_resources(step);
		struct cost_job job;

		if (step->best_effort || step->long_running)
			continue;
		job = admission_cost_job(rd, p,
		    cost_work(&per_task, p->occurrence->steps[p->step].pending,
			estimate_runtime_ms(rd->d, p->job, step, 0.5),
			all == NULL ? &none : all));
		p->plan.weight = cost_weight(&job, rd->cell_now);
	}
	g_hash_table_unref(capacities);
}

/* How long a step can't be of use any more. */
static int64_t
useless_for_ms(const struct round *rd, const struct pending_step *p)
{
	if (p->plan.best_effort || p->plan.long_running)
		return 0;
	return rd->cell_now + p->plan.remaining_ms - p->plan.accepted_ms -
	    PLAN_LATE_FACTOR * p->plan.objective_ms;
}

/* Has the step whose turn it is go first; false if it doesn't wait any more. */
static bool
mark_turn(struct round *rd)
{
	for (guint i = 0; i < rd->pending->len; i++) {
		struct pending_step *p =
		    &g_array_index(rd->pending, struct pending_step, i);

		if (!step_has_run(p, &rd->d->aged_step))
			continue;
		p->plan.aged = true;
		return true;
	}
	return false;
}

/* When a step was accepted, or last went first if that was later. */
static int64_t
passed_over_since(const struct round *rd, const struct pending_step *p)
{
	const struct step_permits *s =
	    step_permits_find(rd->d, p->job, p->occurrence->number, p->step);

	return s == NULL ? p->plan.accepted_ms
			 : MAX(p->plan.accepted_ms, s->aged_ms);
}

/* The overdue step that was passed over for longest, or NULL. */
static struct pending_step *
choose_aged(const struct round *rd)
{
	struct pending_step *longest = NULL;
	int64_t longest_since_ms = INT64_MAX;

	for (guint i = 0; i < rd->pending->len; i++) {
		struct pending_step *p =
		    &g_array_index(rd->pending, struct pending_step, i);
		int64_t since_ms;

		if (useless_for_ms(rd, p) <= AGED_MS)
			continue;
		since_ms = passed_over_since(rd, p);
		if (since_ms >= longest_since_ms)
			continue;
		longest = p;
		longest_since_ms = since_ms;
	}
	return longest;
}

/*
 * One step goes first that has been overdue for AGED_MS, until it is placed or
 * AGED_TURN_MAX_MS are over; the next one AGED_TURN_MS after it at the
 * earliest. So each gets its turn, also beside steps that can't be placed, and
 * the turns take little from work that can be in time.
 */
static void
mark_aged(struct round *rd)
{
	struct dispatch *d = rd->d;
	struct pending_step *p;

	if (rd->now - d->aged_ms < AGED_TURN_MAX_MS && mark_turn(rd))
		return;
	if (rd->now - d->aged_ms < AGED_TURN_MS)
		return;
	p = choose_aged(rd);
	if (p == NULL)
		return;
	p->plan.aged = true;
	step_permits_get(d, p->job, p->occurrence->number, p->step)->aged_ms =
	    rd->cell_now;
	d->aged_step = step_id(p);
	d->aged_ms = rd->now;
	log_info("dispatch",
	    "event=aged job=%016" G_GINT64_MODIFIER
	    "x step=%u overdue_ms=%" G_GINT64_FORMAT,
	    p->job->id, p->step, useless_for_ms(rd, p));
}

static gint
by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct pending_step *x = a;
	const struct pending_step *y = b;
	const struct round *rd = arg;

	return plan_compare(&x->plan, &y->plan, rd->cell_now);
}

void
order_steps(struct round *rd)
{
	set_weights(rd);
	mark_aged(rd);
	g_array_sort_with_data(rd->pending, by_urgency, rd);
}
