/* Placement rounds: assign pending tasks to workers, most urgent first. */
#include "impl.h"

#define STARTS_MAX 512 /* in one command */
#define PREEMPTIONS_PER_ROUND 6 /* steps that a round preempts runs for */
#define PREEMPT_INTERVAL_MS 40 /* between rounds that preempt */
#define LOAD_LOG_INTERVAL_MS 1000 /* between load log lines */

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
	candidates_collect(rd);
	apart_limit_isolation(rd);
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
	pending_collect(&rd);
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
