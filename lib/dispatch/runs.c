/* Runs: start and stop orders, and proposals that a run has ended. */
#include "impl.h"

#define RESEND_MIN_MS 60 /* before an order is sent again */
#define RESEND_MAX_MS 800 /* a worker that is back gets it within 1 s */
/* A run that was there for less when its worker was last heard of had just
 * started. */
#define START_MS 1000
/* Start orders on a connection. One that is queued there can't be withdrawn,
 * and each of those before it may take ORDER_TIMEOUT_MS. */
#define QUEUED_STARTS_MAX 4
#define UNHEALTHY_EXCLUDE_MS 1500 /* no new work for an unhealthy worker */

guint
run_hash(gconstpointer p)
{
	const struct active_run *r = p;

	return (guint)(r->id.job ^ r->id.job >> 32) * 31 +
	    (r->id.occurrence * 31 + r->id.step) * 31 + r->id.index;
}

gboolean
run_equal(gconstpointer a, gconstpointer b)
{
	const struct flow_run *x = &((const struct active_run *)a)->id;
	const struct flow_run *y = &((const struct active_run *)b)->id;

	return x->job == y->job && x->occurrence == y->occurrence &&
	    x->step == y->step && x->index == y->index;
}

struct active_run *
run_find(const struct dispatch *d, const struct flow_run *id)
{
	struct active_run key = { .id = *id };

	return g_hash_table_lookup(d->runs, &key);
}

struct resources
run_resources(const struct flow_step *step)
{
	struct resources r = step->resources;

	/* It uses the processor time that the other runs leave. */
	if (step->best_effort)
		r.millicpus = 0;
	return r;
}

struct active_run *
run_add(struct dispatch *d, struct holder *h, const struct flow_run *id,
    const struct flow_step *step)
{
	struct active_run *r = g_new0(struct active_run, 1);
	const struct flow_job *job = flow_job(d->conf.flow, id->job);
	const struct flow_task *task = flow_task(d->conf.flow, id, NULL);

	r->suspicion = task == NULL ? 0 : flow_task_suspicion(task);
	r->id = *id;
	r->holder = h;
	r->resources = run_resources(step);
	r->multiplier = h->multiplier;
	g_hash_table_add(d->runs, r);
	g_ptr_array_add(h->runs, r);
	h->suspects += r->suspicion > 0;
	resources_add(&h->used, &r->resources, 1);
	organisation_add_run(r, job, step);
	return r;
}

void
run_free(void *arg)
{
	struct active_run *r = arg;

	g_free(r->checkpoint);
	g_free(r->permit);
	g_free(r);
}

void
run_remove(struct active_run *r)
{
	struct holder *h = r->holder;

	resources_add(&h->used, &r->resources, -1);
	organisation_remove_run(r);
	g_hash_table_remove(h->d->runs, r);
	g_ptr_array_remove_fast(h->runs, r);
	h->suspects -= r->suspicion > 0;
	run_free(r);
}

void
run_mark_started(struct dispatch *d, const struct flow_run *id)
{
	if (flow_job(d->conf.flow, id->job) != NULL &&
	    !g_hash_table_contains(d->started_jobs, &id->job))
		g_hash_table_add(
		    d->started_jobs, g_memdup2(&id->job, sizeof(id->job)));
}

/* An order in flight; it may outlive the run and the leadership. */
struct order {
	struct dispatch *d;
	uint64_t term;
	uint32_t worker; /* that the run is assigned to */
	uint32_t to; /* that the order goes to */
	struct flow_run id;
	bool stop;
	bool unassigned;
};

/* Returns the run of an order, or NULL if it is no longer active there. */
static struct active_run *
order_run(const struct order *o)
{
	struct active_run *r;

	if (!o->d->active || o->d->term != o->term)
		return NULL;
	r = run_find(o->d, &o->id);
	if (r == NULL || r->id.number != o->id.number ||
	    r->holder->id != o->worker)
		return NULL;
	return r;
}

void
run_schedule_resend(struct active_run *r)
{
	int64_t wait_ms =
	    MIN((int64_t)RESEND_MIN_MS << MIN(r->tries, 5), RESEND_MAX_MS);

	r->tries++;
	r->resend_ms = mono_ms() + wait_ms;
}

enum flow_end_outcome
run_lost_outcome(const struct active_run *r)
{
	const struct holder *h = r->holder;
	const struct dispatch *d = h->d;
	const struct flow_task *task = flow_task(d->conf.flow, &r->id, NULL);
	/* When its worker was last heard of, by this leader. */
	int64_t last_ms = MAX(MAX(h->answered_ms, h->closed_ms), d->lead_ms);
	int64_t heard_ms = flow_time_ms(d->conf.flow) - (mono_ms() - last_ms);

	if (r->state == RUN_ORDERED && !r->may_start && !r->order_pending)
		return FLOW_END_REFUSED;
	return task != NULL && heard_ms - task->assigned_ms < START_MS
	    ? FLOW_END_LOST_AT_START
	    : FLOW_END_LOST_LATER;
}

uint64_t
runs_end(struct dispatch *d, GArray *ends)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_END, .u.ends = ends };

	return dispatch_propose(d, &cmd);
}

void
run_end(struct active_run *r, enum flow_end_outcome outcome, const char *why)
{
	struct dispatch *d = r->holder->d;
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	struct flow_end e = {
		.id = r->id, .outcome = outcome, .checkpoint = r->checkpoint
	};

	if (r->state == RUN_ENDING) {
		g_array_unref(ends);
		return;
	}
	g_array_append_val(ends, e);
	if (runs_end(d, ends) != 0)
		r->state = RUN_ENDING;
	log_info("dispatch", "event=run-over run=%s worker=%s id=%u why=%s",
	    run_name(&r->id), r->holder->name, r->holder->id, why);
	g_array_unref(ends);
}

/* The worker refused the start order: the run has not started, unless by an
 * earlier order. */
static void
start_refused(struct active_run *r, enum agent_result result)
{
	struct holder *h = r->holder;

	if (result == AGENT_UNHEALTHY)
		h->excluded_until_ms = mono_ms() + UNHEALTHY_EXCLUDE_MS;
	if (result == AGENT_NO_PERMIT)
		permit_expire(h->d, &r->id, h->id);
	/* An order without an answer may still start it. Once the worker has
	 * accepted a stop order that is ruled out. */
	if (r->may_start) {
		run_stop(r);
		return;
	}
	run_end(r, FLOW_END_REFUSED, agent_result_name(result));
}

static void
start_answered(struct active_run *r, enum agent_result result)
{
	switch (result) {
	case AGENT_ACCEPTED:
		run_mark_started(r->holder->d, &r->id);
		r->state = MAX(r->state, RUN_ACCEPTED);
		r->accepted_ms = mono_ms();
		r->tries = 0;
		if (r->stopping)
			run_stop(r);
		break;
	case AGENT_ENDED:
		/* The next poll reports how it ended. If it doesn't report the
		 * run at all the run is lost. */
		r->state = MAX(r->state, RUN_ACCEPTED);
		r->accepted_ms = mono_ms();
		break;
	case AGENT_UNREACHABLE:
		r->holder->unreachable = true;
		if (r->may_start)
			run_schedule_resend(r);
		else
			start_refused(r, result);
		break;
	case AGENT_UNKNOWN:
		r->may_start = true;
		run_schedule_resend(r);
		break;
	default:
		start_refused(r, result);
	}
}

static void
stop_answered(struct active_run *r, enum agent_result result)
{
	switch (result) {
	case AGENT_ACCEPTED:
	case AGENT_ENDED:
		/* No start of this run can take effect any more. */
		r->state = MAX(r->state, RUN_ACCEPTED);
		r->accepted_ms = mono_ms();
		r->tries = 0;
		r->resend_ms = 0;
		break;
	default:
		run_schedule_resend(r);
	}
}

/* Handles an answer of the worker that the run is assigned to. */
static void
order_answered(const struct order *o, struct active_run *r,
    enum agent_result result, int64_t clock_ms)
{
	struct holder *h = r->holder;
	int64_t now = mono_ms();

	if (clock_ms >= 0 && !holder_is_own_clock(h, clock_ms, now)) {
		log_warn("dispatch",
		    "event=other-clock run=%s worker=%s id=%u "
		    "clock_ms=%" G_GINT64_FORMAT " last_ms=%" G_GINT64_FORMAT
		    " since_ms=%" G_GINT64_FORMAT,
		    run_name(&o->id), h->name, h->id, clock_ms, h->clock_ms,
		    now - h->clock_at_ms);
		holder_check_presence(h);
		result = AGENT_UNKNOWN;
	} else if (clock_ms >= 0) {
		holder_set_clock(h, clock_ms, now);
	}
	if (!holder_handle_result(h, result))
		(o->stop ? stop_answered : start_answered)(r, result);
}

/* Sends the next start order that waits for a connection to the worker. */
static void
send_waiting(struct holder *h)
{
	for (guint i = 0; i < h->runs->len; i++) {
		struct active_run *r = h->runs->pdata[i];

		if (!r->waits_turn || r->state != RUN_ORDERED || r->stopping)
			continue;
		run_start(r);
		return;
	}
}

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct order *o = arg;
	struct active_run *r = order_run(o);
	struct holder *to;
	int64_t clock_ms = -1;
	enum agent_result result =
	    o->d->conf.agent->read_result(status, body, len, &clock_ms);

	if (status == 0 && http_not_sent(why))
		result = AGENT_UNREACHABLE;
	if (result != AGENT_ACCEPTED && o->d->active)
		log_info("dispatch",
		    "event=order-answer order=%s run=%s worker=%u result=%s "
		    "status=%d why=\"%s\"",
		    o->stop ? "stop" : "start", run_name(&o->id), o->to,
		    agent_result_name(result), status, why == NULL ? "" : why);
	if (r != NULL && !o->unassigned) {
		r->order_pending = false;
		if (o->to == o->worker)
			order_answered(o, r, result, clock_ms);
		else
			successor_answered(r, holder_find(o->d, o->to), result);
	}
	/* Without an answer the next scan does it: the connection may be going
	 * away. */
	to = status != 0 && o->d->active && o->d->term == o->term
	    ? holder_find(o->d, o->to)
	    : NULL;
	if (to != NULL && !to->dead)
		send_waiting(to);
	g_free(o);
}

static void
send_order(struct holder *h, const struct flow_run *id, uint32_t assigned,
    bool stop, bool unassigned, char *body)
{
	struct dispatch *d = h->d;
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){ .d = d,
		.term = d->term,
		.worker = assigned,
		.to = h->id,
		.id = *id,
		.stop = stop,
		.unassigned = unassigned };
	http_send(holder_order_connection(h), EVHTTP_REQ_POST,
	    stop ? d->conf.agent->stop_path : d->conf.agent->start_path,
	    h->headers, body, strlen(body), ORDER_TIMEOUT_MS, on_answer, o);
	g_free(body);
}

/* Says whether a run fits on its worker now, beside all that is there or may
 * be. Its capacity may have shrunk since the start was decided. */
static bool
run_fits(const struct active_run *r)
{
	const struct holder *h = r->holder;
	const struct flow_worker *w = flow_worker(h->d->conf.flow, h->id);
	struct resources load = r->resources;

	for (guint i = 0; i < h->runs->len; i++) {
		const struct active_run *other = h->runs->pdata[i];

		if (other != r &&
		    (other->state >= RUN_ACCEPTED || other->may_start ||
			other->order_pending))
			resources_add(&load, &other->resources, 1);
	}
	return w != NULL && resources_fit(&load, &w->capacity);
}

/* Gives up a run that doesn't fit any more. */
static void
run_withdraw(struct active_run *r, const char *why)
{
	if (!r->may_start) {
		run_end(r, FLOW_END_REFUSED, why);
		return;
	}
	log_info("dispatch", "event=stop run=%s worker=%s why=%s",
	    run_name(&r->id), r->holder->name, why);
	r->holder->d->meter.stops->value++;
	run_stop(r);
}

void
run_start(struct active_run *r)
{
	struct holder *h = r->holder;
	struct dispatch *d = h->d;
	int64_t now = mono_ms();
	const struct flow_job *job = flow_job(d->conf.flow, r->id.job);
	const struct flow_task *task = flow_task(d->conf.flow, &r->id, NULL);
	struct agent_start order = {
		.id = r->id, .fence = d->term, .permit = r->permit
	};

	if (r->order_pending || task == NULL || h->dead || h->fenced)
		return;
	if (!h->polled || !dispatch_may_act(d)) {
		r->resend_ms = now + RESEND_MIN_MS;
		return;
	}
	if (http_peer_outstanding(holder_order_connection(h)) >=
	    QUEUED_STARTS_MAX) {
		r->waits_turn = true;
		r->resend_ms = now;
		return;
	}
	r->waits_turn = false;
	if (!run_fits(r)) {
		run_withdraw(r, "capacity-shrunk");
		return;
	}
	if (!organisation_allows_order(r)) {
		run_withdraw(r, "cap-lowered");
		return;
	}
	order.payload = job->spec.payload;
	order.checkpoint = task->checkpoint;
	order.lease_until_ms = holder_extend_lease(h, now);
	if (order.lease_until_ms == 0) {
		r->resend_ms = now + RESEND_MIN_MS;
		return;
	}
	r->order_pending = true;
	r->resend_ms = 0;
	organisation_add_order(r);
	send_order(
	    h, &r->id, h->id, false, false, d->conf.agent->write_start(&order));
}

void
run_stop(struct active_run *r)
{
	struct holder *h = r->holder;
	struct dispatch *d = h->d;

	organisation_stop_run(r);
	r->stopping = true;
	if (r->state == RUN_ENDING || h->dead || h->fenced)
		return;
	/* Only one order about a run is in flight at a time. */
	if (r->order_pending || !dispatch_may_act(d)) {
		r->resend_ms = mono_ms() + RESEND_MIN_MS;
		return;
	}
	r->order_pending = true;
	r->resend_ms = 0;
	send_order(h, &r->id, h->id, true, false,
	    d->conf.agent->write_stop(&r->id, d->term));
}

void
run_stop_at(struct active_run *r, struct holder *successor)
{
	struct dispatch *d = successor->d;

	if (!dispatch_may_act(d) || successor->fenced)
		return;
	r->order_pending = true;
	r->resend_ms = 0;
	send_order(successor, &r->id, r->holder->id, true, false,
	    d->conf.agent->write_stop(&r->id, d->term));
}

void
run_stop_unassigned(struct holder *h, const struct flow_run *id)
{
	struct dispatch *d = h->d;

	if (!dispatch_may_act(d) || h->fenced)
		return;
	log_warn("dispatch", "event=stop-unassigned run=%s worker=%s",
	    run_name(id), h->name);
	send_order(
	    h, id, h->id, true, true, d->conf.agent->write_stop(id, d->term));
}

/* Sends the orders whose resend_ms has passed. */
void
runs_scan(struct dispatch *d, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runs);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		struct active_run *r = value;

		if (r->resend_ms == 0 || r->resend_ms > now ||
		    r->order_pending || r->state == RUN_ENDING ||
		    r->state == RUN_PROPOSED || r->holder->dead ||
		    r->holder->fenced)
			continue;
		d->meter.resends->value++;
		if (r->stopping)
			run_stop(r);
		else
			run_start(r);
	}
}
