/* Leading, proposing, and what the agreed state tells. */
#include <time.h>

#include "impl.h"

#define ROUND_GAP_MS 8 /* between placement rounds */
#define ROUND_SHARE 5 /* a round's time, at most one in so many is spent */
#define ROUND_GAP_MOST_MS 200 /* under it a short task is in time still */
#define FORGET_EVERY_MS 5000 /* far below the time that ends are kept */
#define CONFIRM_MS 80 /* between confirmations of leadership */

int64_t
boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

const char *
run_name(const struct flow_run *of)
{
	static char text[64];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x.%u.%u.%u/%u",
	    of->job, of->occurrence, of->step, of->index, of->number);
	return text;
}

static int64_t
wall_ms(void)
{
	return g_get_real_time() / 1000;
}

uint64_t
dispatch_propose(struct dispatch *d, struct flow_cmd *cmd)
{
	GBytes *bytes;
	uint64_t index;

	if (!d->active)
		return 0;
	cmd->at_ms = MAX(wall_ms(), flow_time_ms(d->conf.flow));
	bytes = flow_cmd_encode(cmd);
	index = d->ops->propose(d->arg, bytes);
	g_bytes_unref(bytes);
	return index;
}

static void
wait_free(void *arg)
{
	struct wait *w = arg;

	if (w->starts != NULL)
		g_array_unref(w->starts);
	g_free(w);
}

struct wait *
dispatch_propose_wait(struct dispatch *d, struct flow_cmd *cmd,
    void (*fn)(struct dispatch *, struct wait *, enum flow_apply_result))
{
	uint64_t index = dispatch_propose(d, cmd);
	struct wait *w;

	if (index == 0)
		return NULL;
	w = g_new0(struct wait, 1);
	w->index = index;
	w->fn = fn;
	g_hash_table_insert(d->waits, &w->index, w);
	return w;
}

bool
dispatch_may_act(const struct dispatch *d)
{
	return d->active && !d->fenced && boot_ms() < d->authority_ms;
}

void
dispatch_dirty(struct dispatch *d)
{
	struct timeval tv = { 0 };
	int64_t gap;

	if (d->round_due || !d->active)
		return;
	d->round_due = true;
	gap = MAX(ROUND_GAP_MS, d->round_took_us * ROUND_SHARE / 1000);
	gap = MAX(gap - (mono_ms() - d->rounded_ms), 0);
	tv.tv_usec = MIN(gap, ROUND_GAP_MOST_MS) * 1000;
	event_add(d->round, &tv);
}

static void
on_round(evutil_socket_t fd, short what, void *arg)
{
	struct dispatch *d = arg;
	int64_t began_us = mono_us();

	d->round_due = false;
	d->rounded_ms = began_us / 1000;
	if (!dispatch_may_act(d))
		return;
	round_run(d, d->rounded_ms);
	d->round_took_us = mono_us() - began_us;
	timer_add(d->meter.round, d->round_took_us / 1000);
}

static void
confirm(struct dispatch *d, int64_t now)
{
	if (d->confirming && now - d->context_sent_ms < AUTHORITY_MS)
		return;
	if (now - d->context_sent_ms < CONFIRM_MS &&
	    g_queue_is_empty(&d->reads))
		return;
	d->context_sent_ms = now;
	d->confirming = d->ops->confirm(d->arg, ++d->context);
}

void
dispatch_confirmed(struct dispatch *d, uint64_t context, bool ok)
{
	if (!d->active || context != d->context)
		return;
	d->confirming = false;
	if (ok) {
		bool before = dispatch_may_act(d);

		d->authority_ms = d->context_sent_ms + AUTHORITY_MS;
		if (!before)
			dispatch_dirty(d);
	}
	asks_confirmed(d, ok);
}

static void
open_round(struct dispatch *d, const struct flow_job *job)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_OCCURRENCE,
		.u.round = job->id };
	int64_t due = job->spec.start_at_ms +
	    job->occurrences_created * job->spec.interval_ms;

	if (job->spec.repeat_count == 0 ||
	    job->occurrences_created >= job->spec.repeat_count ||
	    wall_ms() < due)
		return;
	(void)dispatch_propose(d, &cmd);
}

static void
open_due(void *arg, const struct flow_job *job)
{
	open_round(arg, job);
}

static void
sweep(struct dispatch *d, int64_t now)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_PRUNE };

	if (now - d->swept_ms < FORGET_EVERY_MS)
		return;
	d->swept_ms = now;
	cmd.u.prune_before_ms = flow_time_ms(d->conf.flow) - d->conf.retain_ms;
	(void)dispatch_propose(d, &cmd);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct dispatch *d = arg;
	int64_t now = mono_ms();

	if (!d->active)
		return;
	confirm(d, boot_ms());
	holders_scan(d, now);
	runs_scan(d, now);
	permits_scan(d, now);
	asks_scan(d, now);
	flow_each_active_job(d->conf.flow, open_due, d);
	sweep(d, now);
	d->meter.running->value = g_hash_table_size(d->runs);
	d->meter.workers->value = g_hash_table_size(d->holders);
	dispatch_dirty(d);
}

static void
on_changed(void *arg, const struct flow_job *job)
{
	struct dispatch *d = arg;

	if (flow_job_ended(job)) {
		log_info("dispatch",
		    "event=job-over job=%016" G_GINT64_MODIFIER
		    "x queue=%s state=%s after_ms=%" G_GINT64_FORMAT
		    " objective_ms=%" G_GINT64_FORMAT,
		    job->id, job->queue->name, flow_state_name(job->state),
		    job->ended_ms - job->accepted_ms,
		    round_objective_ms(d, job));
		permits_forget(d, job);
		asks_job_over(d, job);
		g_hash_table_remove(d->begun, &job->id);
	}
	dispatch_dirty(d);
}

static void
on_started(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct lrun *r = run_find(d, &s->id);

	/* Reserved here, unless an earlier leader proposed it. */
	if (r == NULL) {
		struct holder *h = holder_find(d, s->worker);

		if (h == NULL)
			return;
		r = run_add(
		    d, h, &s->id, &flow_job_step(job, s->id.step)->need);
		r->unsure = true;
	}
	r->state = RUN_ORDERED;
	r->started_ms = mono_ms();
	d->meter.starts->value++;
	if (s->id.number == 1 && s->id.index == 0 && s->id.step == 0)
		timer_add(d->meter.wait,
		    flow_time_ms(d->conf.flow) - job->accepted_ms);
	log_info("dispatch",
	    "event=start run=%s worker=%s queue=%s waited_ms=%" G_GINT64_FORMAT
	    " fence=%" G_GUINT64_FORMAT,
	    run_name(&s->id), r->holder->name, job->queue->name,
	    flow_time_ms(d->conf.flow) - job->accepted_ms, d->term);
	run_start(r);
}

/*
 * Stops the other members of a gang that has lost one. Those that wait for it
 * to start would hold their room until they give up.
 */
static void
stop_gang(
    struct dispatch *d, const struct flow_job *job, const struct flow_run *lost)
{
	uint32_t count = flow_job_step(job, lost->step)->count;

	for (uint32_t i = 0; i < count; i++) {
		struct flow_run of = *lost;
		struct lrun *r;

		of.index = i;
		r = run_find(d, &of);
		if (r == NULL || r->of.number != lost->number || r->stopping ||
		    r->state == RUN_ENDING)
			continue;
		log_info("dispatch",
		    "event=stop run=%s worker=%s why=gang-incomplete member=%u",
		    run_name(&r->of), r->holder->name, lost->index);
		d->meter.stops->value++;
		run_stop(r);
	}
}

static void
on_ended(void *arg, const struct flow_job *job, const struct flow_start *s,
    enum flow_end_outcome how)
{
	struct dispatch *d = arg;
	struct lrun *r = run_find(d, &s->id);

	if (r == NULL)
		return;
	if (how == FLOW_END_DONE)
		round_learn(d, job, r, mono_ms() - r->started_ms);
	run_remove(r);
	if (how != FLOW_END_DONE && flow_job_step(job, s->id.step)->gang)
		stop_gang(d, job, &s->id);
}

static void
on_stop(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct lrun *r = run_find(d, &s->id);

	if (r == NULL)
		return;
	d->meter.stops->value++;
	log_info("dispatch", "event=stop run=%s worker=%s why=job-%s",
	    run_name(&s->id), r->holder->name, flow_state_name(job->state));
	run_stop(r);
}

static void
on_config(void *arg)
{
	struct dispatch *d = arg;

	log_info("dispatch", "event=config-in-force version=%" G_GUINT64_FORMAT,
	    flow_config(d->conf.flow)->version);
	dispatch_dirty(d);
}

static const struct flow_watch watch = { .config_changed = on_config,
	.worker_changed = holder_changed,
	.job_changed = on_changed,
	.run_assigned = on_started,
	.run_ended = on_ended,
	.run_stopping = on_stop };

/* A run that an earlier leader started: it runs, or its order was lost. */
static void
load_run(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct holder *h = holder_find(d, s->worker);
	struct lrun *r;

	if (h == NULL) {
		log_error("dispatch", "event=run-without-worker run=%s",
		    run_name(&s->id));
		return;
	}
	r = run_add(d, h, &s->id, &flow_job_step(job, s->id.step)->need);
	r->state = RUN_ORDERED;
	r->unsure = true;
	r->stopping = flow_job_ended(job);
	r->started_ms = mono_ms();
}

void
dispatch_lead(struct dispatch *d, uint64_t term)
{
	if (d->active)
		return;
	log_info("dispatch", "event=lead term=%" G_GUINT64_FORMAT, term);
	d->active = true;
	d->term = term;
	d->fenced = false;
	d->led_ms = mono_ms();
	d->confirming = false;
	d->authority_ms = 0;
	d->context_sent_ms = 0;
	d->holders = g_hash_table_new_full(NULL, NULL, NULL, holder_free);
	d->runs = g_hash_table_new(run_hash, run_equal);
	d->sets = g_hash_table_new_full(
	    permit_hash, permit_equal, NULL, permit_set_free);
	d->waits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, wait_free);
	d->begun =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	d->beliefs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < d->advisers->len; i++)
		((struct adviser *)d->advisers->pdata[i])->query = 0;
	flow_set_watch(d->conf.flow, &watch, d);
	holders_load(d);
	flow_each_assigned(d->conf.flow, load_run, d);
	confirm(d, boot_ms());
}

void
dispatch_resign(struct dispatch *d)
{
	if (!d->active)
		return;
	log_info("dispatch", "event=resign term=%" G_GUINT64_FORMAT, d->term);
	d->active = false;
	flow_set_watch(d->conf.flow, NULL, NULL);
	asks_drop(d);
	g_clear_pointer(&d->waits, g_hash_table_unref);
	g_clear_pointer(&d->holders, g_hash_table_unref);
	g_clear_pointer(&d->runs, g_hash_table_unref);
	g_clear_pointer(&d->sets, g_hash_table_unref);
	g_clear_pointer(&d->begun, g_hash_table_unref);
	g_clear_pointer(&d->beliefs, g_hash_table_unref);
	g_clear_pointer(&d->racks, g_hash_table_unref);
}

bool
dispatch_leads(const struct dispatch *d)
{
	return d->active;
}

void
dispatch_applied(
    struct dispatch *d, uint64_t index, enum flow_apply_result outcome)
{
	struct wait *w;

	if (!d->active)
		return;
	w = g_hash_table_lookup(d->waits, &index);
	if (w == NULL)
		return;
	g_hash_table_steal(d->waits, &index);
	w->fn(d, w, outcome);
	wait_free(w);
}

void
dispatch_advanced(struct dispatch *d)
{
	if (d->active && !g_queue_is_empty(&d->reads))
		confirm(d, boot_ms());
}

void
dispatch_ask(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	asks_take(d, process, ask);
}

static void
meters_new(struct meters *m, struct registry *r)
{
	m->accepted = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_jobs_accepted_total", "", "Jobs made durable.");
	m->refused =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_step_jobs_refused_total",
		"", "Jobs refused before they had any effect.");
	m->starts = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_starts_total", "", "Runs assigned to workers.");
	m->stops = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_stops_total",
	    "", "Runs told to stop.");
	m->lost = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_lost_total",
	    "", "Runs that ended with their worker or its lease.");
	m->failed = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_failed_total", "", "Runs that ended as failed.");
	m->resends = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_order_resends_total", "",
	    "Orders sent again for want of an answer.");
	m->looks = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_looks_total",
	    "", "Looks at workers.");
	m->consults =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_step_consults_total", "",
		"Calls to the policy service.");
	m->running = counter_new(r, COUNTER_GAUGE, "bulrushtide_step_running",
	    "", "Runs held or reserved now.");
	m->waiting = counter_new(r, COUNTER_GAUGE, "bulrushtide_step_waiting",
	    "", "Steps that wait for room or a permit.");
	m->workers = counter_new(
	    r, COUNTER_GAUGE, "bulrushtide_step_workers", "", "Workers known.");
	m->wait = timer_new(r, "bulrushtide_step_wait_seconds", "",
	    "Time from a job's acceptance to its first start.");
	m->commit = timer_new(r, "bulrushtide_step_commit_seconds", "",
	    "Time from the arrival of a job to its durable acceptance.");
	m->consult = timer_new(r, "bulrushtide_step_consult_seconds", "",
	    "Time that a call to the policy service took.");
	m->round = timer_new(r, "bulrushtide_step_round_seconds", "",
	    "Time that a placement round took.");
}

static void
adviser_free(void *arg)
{
	g_free(arg);
}

struct dispatch *
dispatch_new(
    const struct dispatch_conf *conf, const struct dispatch_ops *ops, void *arg)
{
	struct timeval tv = { .tv_usec = SCAN_MS * 1000 };
	struct dispatch *d = g_new0(struct dispatch, 1);

	d->conf = *conf;
	d->ops = ops;
	d->arg = arg;
	d->advisers = g_ptr_array_new_with_free_func(adviser_free);
	g_queue_init(&d->reads);
	g_queue_init(&d->watchers);
	meters_new(&d->meter, conf->registry);
	d->timer = event_new(conf->base, -1, EV_PERSIST, on_timer, d);
	event_add(d->timer, &tv);
	d->round = event_new(conf->base, -1, 0, on_round, d);
	return d;
}

void
dispatch_free(struct dispatch *d)
{
	if (d == NULL)
		return;
	dispatch_resign(d);
	event_free(d->timer);
	event_free(d->round);
	g_ptr_array_unref(d->advisers);
	g_free(d);
}
