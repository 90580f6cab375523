/* Leadership, proposals, and reactions to changes of the replicated state. */
#include <time.h>

#include "impl.h"

#define ROUND_INTERVAL_MIN_MS 8 /* between placement rounds */
#define ROUND_TIME_SHARE 5 /* rounds take at most 1/5 of the time */
#define ROUND_INTERVAL_MAX_MS 200 /* with it short tasks still end on time */
#define REMOVE_INTERVAL_MS 5000 /* far below the retention of ended jobs */
#define CONFIRM_INTERVAL_MS 80 /* between confirmations of leadership */

int64_t
boot_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

const char *
run_name(const struct flow_run *id)
{
	static char text[64];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x.%u.%u.%u/%u",
	    id->job, id->occurrence, id->step, id->index, id->number);
	return text;
}

static int64_t
wall_ms(void)
{
	return g_get_real_time() / 1000;
}

/*
 * Says whether replicas can apply an encoded command: one that they can't read
 * would end all of them, at each start again. An encoded configuration was
 * read when it was received.
 */
static bool
is_readable(const struct flow_cmd *cmd, GBytes *bytes)
{
	struct flow_cmd copy;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	if (cmd->type == FLOW_CMD_CONFIG && cmd->encoded_config != NULL)
		return true;
	if (flow_cmd_decode(data, len, &copy, &err)) {
		flow_cmd_clear(&copy);
		return true;
	}
	log_error("dispatch",
	    "event=command-withheld type=%d bytes=%zu why=\"%s\"", cmd->type,
	    (size_t)len, err->message);
	g_error_free(err);
	return false;
}

uint64_t
dispatch_propose(struct dispatch *d, struct flow_cmd *cmd)
{
	GBytes *bytes;
	uint64_t index = 0;

	if (!d->active)
		return 0;
	cmd->at_ms = MAX(wall_ms(), flow_time_ms(d->conf.flow));
	cmd->learn_speeds =
	    cmd->type == FLOW_CMD_END && d->conf.uneven_workers > 0;
	bytes = flow_cmd_encode(cmd);
	if (is_readable(cmd, bytes))
		index = d->ops->propose(d->arg, bytes);
	g_bytes_unref(bytes);
	return index;
}

static void
proposal_free(void *arg)
{
	struct proposal *p = arg;

	if (p->starts != NULL)
		g_array_unref(p->starts);
	g_free(p->worker);
	g_free(p);
}

struct proposal *
dispatch_propose_then(struct dispatch *d, struct flow_cmd *cmd,
    void (*fn)(struct dispatch *, struct proposal *, enum flow_apply_result))
{
	uint64_t index = dispatch_propose(d, cmd);
	struct proposal *p;

	if (index == 0)
		return NULL;
	p = g_new0(struct proposal, 1);
	p->index = index;
	p->fn = fn;
	g_hash_table_insert(d->proposals, &p->index, p);
	return p;
}

bool
dispatch_may_act(const struct dispatch *d)
{
	return d->active && boot_ms() < d->leader_until_ms;
}

void
dispatch_doubt_leadership(struct dispatch *d)
{
	d->leader_until_ms = 0;
	/* The answer to a request under way is ignored. */
	d->context++;
	d->confirming = false;
	d->context_sent_ms = 0;
}

void
dispatch_schedule_round(struct dispatch *d)
{
	struct timeval tv = { 0 };
	int64_t delay_ms;

	if (d->round_scheduled || !d->active)
		return;
	d->round_scheduled = true;
	delay_ms = MAX(ROUND_INTERVAL_MIN_MS,
	    d->round_duration_us * ROUND_TIME_SHARE / 1000);
	delay_ms = MAX(delay_ms - (mono_ms() - d->round_ms), 0);
	tv.tv_usec = MIN(delay_ms, ROUND_INTERVAL_MAX_MS) * 1000;
	event_add(d->round_event, &tv);
}

static void
on_round(evutil_socket_t fd, short what, void *arg)
{
	struct dispatch *d = arg;
	int64_t start_us = mono_us();

	d->round_scheduled = false;
	d->round_ms = start_us / 1000;
	if (!dispatch_may_act(d))
		return;
	round_run(d, d->round_ms);
	d->round_duration_us = mono_us() - start_us;
	d->rounds++;
	d->rounds_us += d->round_duration_us;
	timer_add(d->meter.round, d->round_duration_us / 1000);
}

static void
confirm(struct dispatch *d, int64_t now)
{
	if (d->confirming && now - d->context_sent_ms < LEADERSHIP_MS)
		return;
	if (now - d->context_sent_ms < CONFIRM_INTERVAL_MS &&
	    g_queue_is_empty(&d->reads))
		return;
	d->context_sent_ms = now;
	d->confirming = d->ops->confirm(d->arg, ++d->context);
}

void
dispatch_read_done(struct dispatch *d, uint64_t context, bool ok)
{
	if (!d->active || context != d->context)
		return;
	d->confirming = false;
	if (ok) {
		bool could_act = dispatch_may_act(d);

		d->leader_until_ms = d->context_sent_ms + LEADERSHIP_MS;
		if (!could_act)
			dispatch_schedule_round(d);
	}
	requests_read_done(d, ok);
}

static void
open_next_occurrence(struct dispatch *d, const struct flow_job *job)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_OCCURRENCE,
		.u.occurrence_job = job->id };
	int64_t due_ms = job->spec.start_at_ms +
	    job->occurrences_created * job->spec.interval_ms;

	if (job->spec.repeat_count == 0 ||
	    job->occurrences_created >= job->spec.repeat_count ||
	    wall_ms() < due_ms)
		return;
	(void)dispatch_propose(d, &cmd);
}

static void
on_open_job(void *arg, const struct flow_job *job)
{
	open_next_occurrence(arg, job);
}

static void
remove_old_jobs(struct dispatch *d, int64_t now)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_PRUNE };

	if (now - d->removed_ms < REMOVE_INTERVAL_MS)
		return;
	d->removed_ms = now;
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
	/* A suspended leader has had no answers from its workers, so their
	 * leases would all seem to have expired. If it was replaced meanwhile,
	 * the new leader decides that. */
	if (dispatch_may_act(d))
		holders_scan(d, now);
	speeds_scan(d, now);
	runs_scan(d, now);
	permits_scan(d, now);
	state_requests_scan(d, now);
	flow_each_active_job(d->conf.flow, on_open_job, d);
	remove_old_jobs(d, now);
	d->meter.running->value = g_hash_table_size(d->runs);
	d->meter.workers->value = g_hash_table_size(d->holders);
	dispatch_schedule_round(d);
}

static void
on_job_changed(void *arg, const struct flow_job *job)
{
	struct dispatch *d = arg;

	if (flow_job_ended(job) && job->ended_ms == flow_time_ms(d->conf.flow))
		log_info("dispatch",
		    "event=job-over job=%016" G_GINT64_MODIFIER
		    "x queue=%s state=%s after_ms=%" G_GINT64_FORMAT
		    " objective_ms=%" G_GINT64_FORMAT,
		    job->id, job->queue->name, flow_state_name(job->state),
		    job->ended_ms - job->accepted_ms,
		    estimate_objective_ms(d, job));
	if (flow_job_ended(job)) {
		permits_remove_job(d, job);
		state_requests_job_ended(d, job);
		g_hash_table_remove(d->started_jobs, &job->id);
	}
	dispatch_schedule_round(d);
}

static void
on_run_started(
    void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct active_run *r = run_find(d, &s->id);

	/* Missing only if an earlier leader proposed the start. */
	if (r == NULL) {
		struct holder *h = holder_find(d, s->worker);

		if (h == NULL)
			return;
		r = run_add(d, h, &s->id, flow_job_step(job, s->id.step));
		r->may_start = true;
		organisation_add_order(r);
	}
	r->state = RUN_ORDERED;
	r->started_ms = mono_ms();
	d->meter.starts->value++;
	if (s->id.number == 1 && s->id.index == 0 && s->id.step == 0)
		timer_add(d->meter.start_delay,
		    flow_time_ms(d->conf.flow) - job->accepted_ms);
	log_info("dispatch",
	    "event=start run=%s worker=%s id=%u queue=%s "
	    "waited_ms=%" G_GINT64_FORMAT " fence=%" G_GUINT64_FORMAT
	    " multiplier=%.2f",
	    run_name(&s->id), r->holder->name, s->worker, job->queue->name,
	    flow_time_ms(d->conf.flow) - job->accepted_ms, d->term,
	    r->multiplier);
	run_start(r);
}

/*
 * Stops the other members of a gang that has lost one. Members that wait for
 * it to start would occupy their resources until they time out.
 */
static void
stop_gang(
    struct dispatch *d, const struct flow_job *job, const struct flow_run *lost)
{
	uint32_t count = flow_job_step(job, lost->step)->count;

	for (uint32_t i = 0; i < count; i++) {
		struct flow_run id = *lost;
		struct active_run *r;

		id.index = i;
		r = run_find(d, &id);
		if (r == NULL || r->id.number != lost->number || r->stopping ||
		    r->state == RUN_ENDING)
			continue;
		log_info("dispatch",
		    "event=stop run=%s worker=%s why=gang-incomplete member=%u",
		    run_name(&r->id), r->holder->name, lost->index);
		d->meter.stops->value++;
		run_stop(r);
	}
}

static void
on_run_ended(void *arg, const struct flow_job *job, const struct flow_start *s,
    enum flow_end_outcome outcome)
{
	struct dispatch *d = arg;
	struct active_run *r = run_find(d, &s->id);

	if (r == NULL)
		return;
	if (outcome == FLOW_END_DONE)
		estimate_record_runtime(d, job, r, mono_ms() - r->started_ms);
	run_remove(r);
	if (outcome != FLOW_END_DONE && flow_job_step(job, s->id.step)->gang)
		stop_gang(d, job, &s->id);
}

static void
on_run_stop(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct active_run *r = run_find(d, &s->id);

	if (r == NULL)
		return;
	d->meter.stops->value++;
	log_info("dispatch", "event=stop run=%s worker=%s why=job-%s",
	    run_name(&s->id), r->holder->name, flow_state_name(job->state));
	run_stop(r);
}

static void
on_run_crashed(
    void *arg, const struct flow_run *run, const struct flow_task *task)
{
	log_warn("dispatch",
	    "event=worker-crashed run=%s crashes=%u explained=%u weight=%u "
	    "max_weight=%d",
	    run_name(run), task->crashes, task->explained_crashes,
	    task->crash_weight, FLOW_CRASH_WEIGHT_MAX);
}

static void
on_config(void *arg)
{
	struct dispatch *d = arg;

	log_info("dispatch", "event=config-applied version=%" G_GUINT64_FORMAT,
	    flow_config(d->conf.flow)->version);
	organisations_config_changed(d);
	dispatch_schedule_round(d);
}

static const struct flow_watch watch_callbacks = { .config_changed = on_config,
	.worker_changed = holder_changed,
	.job_changed = on_job_changed,
	.run_assigned = on_run_started,
	.run_ended = on_run_ended,
	.run_crashed = on_run_crashed,
	.run_stopping = on_run_stop };

/* Adds a run that an earlier leader committed; whether the worker ever got its
 * start order is not known. */
static void
load_run(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct dispatch *d = arg;
	struct holder *h = holder_find(d, s->worker);
	struct active_run *r;

	if (h == NULL) {
		log_error("dispatch", "event=run-without-worker run=%s",
		    run_name(&s->id));
		return;
	}
	r = run_add(d, h, &s->id, flow_job_step(job, s->id.step));
	r->state = RUN_ORDERED;
	r->may_start = true;
	organisation_add_order(r);
	r->started_ms = mono_ms();
	/* The earlier leader may not have sent the stop order. */
	if (flow_job_ended(job))
		run_stop(r);
}

void
dispatch_lead(struct dispatch *d, uint64_t term)
{
	if (d->active)
		return;
	log_info("dispatch", "event=lead term=%" G_GUINT64_FORMAT, term);
	d->active = true;
	d->term = term;
	d->lead_ms = mono_ms();
	d->confirming = false;
	d->leader_until_ms = 0;
	d->context_sent_ms = 0;
	d->holders = g_hash_table_new_full(NULL, NULL, NULL, holder_free);
	d->addresses = g_hash_table_new(g_str_hash, g_str_equal);
	d->carried =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->runs = g_hash_table_new(run_hash, run_equal);
	d->organisations = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, organisation_free);
	d->step_permits = g_hash_table_new_full(
	    step_permits_hash, step_permits_equal, NULL, step_permits_free);
	d->proposals = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, proposal_free);
	d->started_jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	d->estimates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->allowed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->racks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->reservations = g_array_new(FALSE, FALSE, sizeof(struct reservation));
	d->aged_step = (struct flow_run){ 0 };
	d->aged_ms = 0;
	d->brief_query_ms = 0;
	admission_lead(d);
	for (guint i = 0; i < d->policy_processes->len; i++)
		((struct policy_process *)d->policy_processes->pdata[i])
		    ->query = 0;
	flow_set_watch(d->conf.flow, &watch_callbacks, d);
	holders_load(d);
	speeds_update(d, d->lead_ms);
	flow_each_assigned(d->conf.flow, load_run, d);
	confirm(d, boot_ms());
}

void
dispatch_resign(struct dispatch *d)
{
	if (!d->active)
		return;
	log_info("dispatch",
	    "event=resign term=%" G_GUINT64_FORMAT " proposals=%u", d->term,
	    g_hash_table_size(d->proposals));
	d->active = false;
	flow_set_watch(d->conf.flow, NULL, NULL);
	requests_drop(d);
	g_clear_pointer(&d->proposals, g_hash_table_unref);
	/* Before the holders, which would look for the next at each address. */
	g_clear_pointer(&d->addresses, g_hash_table_unref);
	g_clear_pointer(&d->carried, g_hash_table_unref);
	g_clear_pointer(&d->holders, g_hash_table_unref);
	g_clear_pointer(&d->runs, g_hash_table_unref);
	g_clear_pointer(&d->organisations, g_hash_table_unref);
	g_clear_pointer(&d->step_permits, g_hash_table_unref);
	g_clear_pointer(&d->started_jobs, g_hash_table_unref);
	g_clear_pointer(&d->estimates, g_hash_table_unref);
	g_clear_pointer(&d->allowed, g_hash_table_unref);
	g_clear_pointer(&d->racks, g_hash_table_unref);
	g_clear_pointer(&d->reservations, g_array_unref);
	admission_resign(d);
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
	struct proposal *p;

	if (!d->active)
		return;
	p = g_hash_table_lookup(d->proposals, &index);
	if (p == NULL)
		return;
	g_hash_table_steal(d->proposals, &index);
	p->fn(d, p, outcome);
	proposal_free(p);
}

void
dispatch_batch_applied(struct dispatch *d)
{
	if (d->active && !g_queue_is_empty(&d->reads))
		confirm(d, boot_ms());
}

void
dispatch_handle_request(
    struct dispatch *d, uint64_t process, const struct request *req)
{
	requests_handle(d, process, req);
}

static void
meters_new(struct meters *m, struct registry *r)
{
	m->accepted = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_jobs_accepted_total", "", "Jobs made durable.");
	m->refused =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_step_jobs_refused_total",
		"why=\"overload\"", "Jobs refused before they had any effect.");
	m->refused_by_cap =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_step_jobs_refused_total",
		"why=\"cap\"", "Jobs refused before they had any effect.");
	m->unauthenticated = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_unauthenticated_total", "",
	    "Calls without a valid key.");
	m->used_permille =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_step_used_permille", "",
		"Use of the fullest pool, with overload=yield.");
	m->refused_remembered =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_step_refused_remembered",
		"", "Refused jobs whose callers may return.");
	m->starts = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_starts_total", "", "Runs assigned to workers.");
	m->stops = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_stops_total",
	    "", "Runs told to stop.");
	m->lost = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_lost_total",
	    "", "Runs that ended with their worker or its lease.");
	m->failed = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_failed_total", "", "Runs that ended as failed.");
	m->checkpoints_dropped = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_checkpoints_dropped_total", "",
	    "Ends with a checkpoint that was too long to keep.");
	m->resends = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_order_resends_total", "",
	    "Orders sent again for want of an answer.");
	m->polls = counter_new(r, COUNTER_TOTAL, "bulrushtide_step_looks_total",
	    "", "Looks at workers.");
	m->policy_queries =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_step_consults_total", "",
		"Calls to the policy service.");
	m->policy_queries_ahead = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_step_consults_ahead_total", "",
	    "Of these, calls for steps that could not start yet.");
	m->running = counter_new(r, COUNTER_GAUGE, "bulrushtide_step_running",
	    "", "Runs held or reserved now.");
	m->waiting = counter_new(r, COUNTER_GAUGE, "bulrushtide_step_waiting",
	    "", "Steps that wait for room or a permit.");
	m->workers = counter_new(
	    r, COUNTER_GAUGE, "bulrushtide_step_workers", "", "Workers known.");
	m->slow_workers =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_step_slow_workers", "",
		"Workers whose learnt speed counts as slow.");
	m->speed_spread = counter_new(r, COUNTER_GAUGE,
	    "bulrushtide_step_speed_spread_percent", "",
	    "Run time on slow workers relative to fast ones.");
	m->start_delay = timer_new(r, "bulrushtide_step_wait_seconds", "",
	    "Time from a job's acceptance to its first start.");
	m->commit = timer_new(r, "bulrushtide_step_commit_seconds", "",
	    "Time from the arrival of a job to its durable acceptance.");
	m->policy_query = timer_new(r, "bulrushtide_step_consult_seconds", "",
	    "Time that a call to the policy service took.");
	m->round = timer_new(r, "bulrushtide_step_round_seconds", "",
	    "Time that a placement round took.");
}

static void
policy_process_free(void *arg)
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
	d->policy_processes =
	    g_ptr_array_new_with_free_func(policy_process_free);
	d->organisation_meters =
	    g_ptr_array_new_with_free_func(organisation_meters_free);
	g_queue_init(&d->reads);
	g_queue_init(&d->state_requests);
	meters_new(&d->meter, conf->registry);
	d->timer = event_new(conf->base, -1, EV_PERSIST, on_timer, d);
	event_add(d->timer, &tv);
	d->round_event = event_new(conf->base, -1, 0, on_round, d);
	return d;
}

void
dispatch_free(struct dispatch *d)
{
	if (d == NULL)
		return;
	dispatch_resign(d);
	event_free(d->timer);
	event_free(d->round_event);
	g_ptr_array_unref(d->policy_processes);
	g_ptr_array_unref(d->organisation_meters);
	g_free(d);
}
