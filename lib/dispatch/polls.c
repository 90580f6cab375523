/* Polls of workers: they renew the lease and report runs and ends. */
#include "impl.h"

#define POLL_RETRY_MS 150 /* after a poll without an answer */
#define POLL_EXPIRED_MS 1000 /* between polls of a worker without a lease */
/* A worker can't have numbered more ends than this, plus one for each
 * millisecond since its start. */
#define ENDS_AT_START_MAX 1000000
#define STRAYS_STOPPED_MAX 64 /* unassigned runs to stop for each poll */

static enum flow_end_outcome
end_outcome(enum agent_outcome outcome)
{
	if (outcome == AGENT_DONE)
		return FLOW_END_DONE;
	return outcome == AGENT_FAILED ? FLOW_END_FAILED : FLOW_END_STOPPED;
}

/* How much a failure of a run counts against its worker. r: NULL if the run is
 * not known any more. */
static double
end_weight(struct dispatch *d, const struct agent_end *e,
    const struct active_run *r, int64_t now)
{
	const struct flow_job *job = flow_job(d->conf.flow, e->id.job);
	const struct flow_task *task = flow_task(d->conf.flow, &e->id, NULL);

	if (task == NULL)
		return plan_failure_weight(0);
	if (r != NULL && !flow_job_ended(job) &&
	    flow_job_step(job, e->id.step)->long_running)
		return retry_record_end(
		    d, job, r, e->outcome == AGENT_FAILED, now);
	return plan_failure_weight(task->failures > 0 ? 1 : 0);
}

/* Updates the failure record of a worker from a run that ended there. */
static void
record_outcome(struct holder *h, const struct agent_end *e,
    const struct active_run *r, int64_t now)
{
	enum plan_failure_state before = plan_failure_state(&h->failures, now);
	enum plan_failure_state after;
	double weight;

	if (e->outcome != AGENT_DONE && e->outcome != AGENT_FAILED)
		return;
	weight = end_weight(h->d, e, r, now);
	if (e->outcome == AGENT_FAILED)
		h->d->meter.failed->value++;
	if (e->outcome == AGENT_FAILED && weight > 0)
		h->failed_ms = now;
	plan_failure_update(
	    &h->failures, e->outcome == AGENT_DONE, weight, now);
	after = plan_failure_state(&h->failures, now);
	if (after == PLAN_EXCLUDED && before != PLAN_EXCLUDED)
		log_info("dispatch",
		    "event=worker-excluded worker=%s for_ms=%" G_GINT64_FORMAT
		    " failures=%.1f",
		    h->name, h->failures.excluded_until_ms - now,
		    h->failures.score);
}

static void
ends_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	struct holder *h = holder_find(d, p->holder);

	if (h == NULL)
		return;
	h->ends_pending = false;
	h->acked = MAX(h->acked, p->number);
	holder_poll(h, mono_ms());
}

static bool
fits_checkpoint(const char *checkpoint)
{
	return checkpoint == NULL || strlen(checkpoint) <= FLOW_CHECKPOINT_MAX;
}

/* The checkpoint of an ended run. In place of one that is too long, the last
 * one that was kept: the task then repeats some work. */
static char *
end_checkpoint(const struct active_run *r, const struct agent_end *e)
{
	if (fits_checkpoint(e->checkpoint))
		return e->checkpoint;
	log_warn("dispatch",
	    "event=checkpoint-dropped run=%s worker=%s bytes=%zu max=%d "
	    "kept=%d",
	    run_name(&e->id), r->holder->name, strlen(e->checkpoint),
	    FLOW_CHECKPOINT_MAX, r->checkpoint != NULL);
	r->holder->d->meter.checkpoints_dropped->value++;
	return r->checkpoint;
}

static gint
compare_ends(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const struct agent_end *)a)->number;
	uint64_t y = ((const struct agent_end *)b)->number;

	return x < y ? -1 : x > y;
}

/* A worker answers at once while it lists ends that are not acknowledged, so
 * one that never will be must not lead to polls without a pause. */
static void
poll_later(struct holder *h, int64_t now)
{
	h->poll_due_ms = now + POLL_RETRY_MS;
}

/* A number that is too high would make all later ends count as known, and have
 * the worker forget them. */
static bool
is_plausible(struct holder *h, const struct agent_end *e)
{
	int64_t age_ms = g_get_real_time() / 1000 - h->started_ms;

	if (e->number <= ENDS_AT_START_MAX + (uint64_t)MAX(age_ms, 0))
		return true;
	if (h->ignored_end != e->number)
		log_warn("dispatch",
		    "event=end-ignored run=%s worker=%s "
		    "number=%" G_GUINT64_FORMAT
		    " why=\"higher than the worker can have counted\"",
		    run_name(&e->id), h->name, e->number);
	h->ignored_end = e->number;
	return false;
}

/* Proposes new ends, as many as fit into a command; the poll after they are
 * durable acknowledges them. */
static void
handle_ends(struct holder *h, const struct agent_report *report, int64_t now)
{
	struct dispatch *d = h->d;
	struct flow_cmd cmd = { .type = FLOW_CMD_END };
	struct proposal *p;
	uint64_t last = h->proposed_end;

	cmd.u.ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	g_array_sort(report->ends, compare_ends);
	for (guint i = 0; i < report->ends->len; i++) {
		struct agent_end *e =
		    &g_array_index(report->ends, struct agent_end, i);
		struct flow_end end = { .id = e->id,
			.outcome = end_outcome(e->outcome) };
		struct active_run *r = run_find(d, &e->id);
		/* An order for an earlier incarnation may have started it. */
		bool assigned = r != NULL && r->id.number == e->id.number &&
		    (r->holder == h || holder_succeeds(h, r->holder));

		if (!is_plausible(h, e)) {
			poll_later(h, now);
			continue;
		}
		if (assigned)
			r->last_poll = h->polls;
		run_mark_started(d, &e->id);
		if (e->number <= h->proposed_end ||
		    cmd.u.ends->len == FLOW_ENDS_MAX)
			continue;
		last = e->number;
		record_outcome(h, e, assigned ? r : NULL, now);
		log_info("dispatch",
		    "event=end run=%s worker=%s number=%" G_GUINT64_FORMAT
		    " how=%s known=%d ran_ms=%" G_GINT64_FORMAT,
		    run_name(&e->id), h->name, e->number,
		    agent_outcome_name(e->outcome), r != NULL,
		    r == NULL ? 0 : now - r->started_ms);
		/* A run on another worker is not affected. */
		if (assigned) {
			end.checkpoint = end_checkpoint(r, e);
			g_array_append_val(cmd.u.ends, end);
			r->state = RUN_ENDING;
		}
	}
	if (last > h->proposed_end) {
		p = dispatch_propose_then(d, &cmd, ends_applied);
		if (p != NULL) {
			p->holder = h->id;
			p->number = last;
			h->proposed_end = last;
			h->ends_pending = true;
		}
	}
	g_array_unref(cmd.u.ends);
}

static void
handle_running(struct holder *h, const struct agent_report *report, int64_t now)
{
	uint32_t strays = 0;

	h->has_strays = false;
	for (guint i = 0; i < report->running->len; i++) {
		struct agent_running *a =
		    &g_array_index(report->running, struct agent_running, i);
		struct active_run *r = run_find(h->d, &a->id);

		if (r == NULL || r->holder != h ||
		    r->id.number != a->id.number) {
			h->has_strays = true;
			if (r != NULL && r->id.number == a->id.number)
				r->stray_ms = now;
			if (++strays <= STRAYS_STOPPED_MAX)
				run_stop_unassigned(h, &a->id);
			continue;
		}
		r->last_poll = h->polls;
		run_mark_started(h->d, &r->id);
		if (r->state == RUN_ORDERED) {
			r->state = RUN_ACCEPTED;
			r->accepted_ms = now;
		}
		if (a->checkpoint != NULL && *a->checkpoint != '\0' &&
		    fits_checkpoint(a->checkpoint)) {
			if (g_strcmp0(r->checkpoint, a->checkpoint) != 0)
				r->checkpoint_ms = now;
			g_free(r->checkpoint);
			r->checkpoint = g_strdup(a->checkpoint);
		}
		estimate_record_progress(r, a->percent, now);
	}
}

/*
 * To be called with complete lists only. A run that the worker had before this
 * poll was sent, but that it reports neither as running nor as ended, is lost.
 * A run that an earlier leader ordered, and that the worker does not have, is
 * ordered again.
 */
static void
handle_missing(struct holder *h, int64_t now)
{
	for (guint i = h->runs->len; i > 0; i--) {
		struct active_run *r = h->runs->pdata[i - 1];

		if (r->last_poll == h->polls || r->state == RUN_ENDING ||
		    r->state == RUN_PROPOSED)
			continue;
		if (r->state == RUN_ACCEPTED &&
		    r->accepted_ms < h->poll_sent_ms)
			run_end(r, FLOW_END_STOPPED, "not-there");
		else if (r->state == RUN_ORDERED && !r->order_pending &&
		    r->resend_ms == 0)
			r->resend_ms = now;
	}
}

/* A worker that has lost runs and answers again hasn't crashed. */
static void
note_back(struct holder *h)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER_BACK,
		.u.worker_id = h->id };

	if (flow_worker_in_doubt(h->d->conf.flow, h->id))
		(void)dispatch_propose(h->d, &cmd);
}

static void
handle_report(struct holder *h, const struct agent_report *report, int64_t now)
{
	bool first = !h->polled;

	if (!holder_is_own_report(h, report))
		return;
	holder_set_clock(h, report->clock_ms, now);
	if (h->lost_runs > 0)
		log_info("dispatch",
		    "event=worker-back worker=%s silent_ms=%" G_GINT64_FORMAT
		    " lost_runs=%u",
		    h->name, now - h->answered_ms, h->lost_runs);
	if (first || h->lease_expired)
		note_back(h);
	h->polled = true;
	h->reported_ms = h->poll_sent_ms;
	h->acked_known = MAX(h->acked_known, h->acked_sent);
	h->poll_failed = false;
	h->unreachable = false;
	h->lease_expired = false;
	h->lost_runs = 0;
	h->answered_ms = now;
	if (first)
		log_info("dispatch",
		    "event=worker-connected worker=%s id=%u running=%u ends=%u",
		    h->name, h->id, report->running->len, report->ends->len);
	if (report->unreadable != h->unreadable_rows)
		log_warn("dispatch",
		    "event=rows-unreadable worker=%s rows=%u running=%u "
		    "ends=%u",
		    h->name, report->unreadable, report->running->len,
		    report->ends->len);
	h->unreadable_rows = report->unreadable;
	if (report->unreadable > 0)
		poll_later(h, now);
	handle_ends(h, report, now);
	handle_running(h, report, now);
	if (report->ends_cut)
		log_info("dispatch",
		    "event=ends-cut worker=%s ends=%u acked=%" G_GUINT64_FORMAT,
		    h->name, report->ends->len, h->acked);
	else
		handle_missing(h, now);
	if (first)
		dispatch_schedule_round(h->d);
}

/* A poll in flight; it may outlive the worker's record and the leadership. */
struct pending_poll {
	struct dispatch *d;
	uint64_t term;
	uint32_t worker;
};

static void
on_poll_answer(
    void *arg, int status, const void *body, size_t len, const char *why)
{
	struct pending_poll *pending = arg;
	struct dispatch *d = pending->d;
	struct holder *h = d->active && d->term == pending->term
	    ? holder_find(d, pending->worker)
	    : NULL;
	int64_t now = mono_ms();
	int64_t clock_ms = -1;
	enum agent_result result;

	g_free(pending);
	if (h == NULL)
		return;
	h->polling = false;
	result = d->conf.agent->read_result(status, body, len, &clock_ms);
	if (result == AGENT_ACCEPTED) {
		struct agent_report report;

		agent_report_init(&report);
		if (d->conf.agent->read_report(body, len, &report)) {
			h->poll_due_ms = now;
			handle_report(h, &report, now);
		} else {
			log_warn("dispatch",
			    "event=poll-malformed worker=%s bytes=%zu", h->name,
			    len);
			h->poll_due_ms = now + POLL_RETRY_MS;
		}
		agent_report_clear(&report);
		holder_poll(h, now);
		return;
	}
	if (status == 0 && g_strcmp0(why, HTTP_TIMEOUT) != 0 &&
	    g_strcmp0(why, HTTP_CANCELLED) != 0 && !http_not_sent(why))
		h->closed_ms = now;
	h->poll_failed = true;
	h->poll_due_ms =
	    now + (h->lease_expired ? POLL_EXPIRED_MS : POLL_RETRY_MS);
	log_info("dispatch",
	    "event=poll-failed worker=%s id=%u result=%s status=%d "
	    "why=\"%s\" since_answer_ms=%" G_GINT64_FORMAT,
	    h->name, h->id, agent_result_name(result), status,
	    why == NULL ? "" : why,
	    h->answered_ms == 0 ? -1 : now - h->answered_ms);
	if (!holder_handle_result(h, result) && h->deregistered &&
	    h->draining_ms != 0 && h->answered_ms != 0 && why != NULL &&
	    strcmp(why, HTTP_NO_CONNECTION) == 0)
		holder_declare_dead(h, "deregistered and not reachable");
}

void
holder_poll(struct holder *h, int64_t now)
{
	struct dispatch *d = h->d;
	struct agent_poll poll = { .fence = d->term };
	struct pending_poll *pending;
	char *body;

	if (h->polling || h->ends_pending || h->dead || h->fenced ||
	    now < h->poll_due_ms || !dispatch_may_act(d))
		return;
	if (h->poll_peer == NULL)
		h->poll_peer = holder_connect(h);
	if (h->polled) {
		poll.lease_until_ms = holder_extend_lease(h, now);
		poll.wait_ms = h->runs->len > 0 ? POLL_BUSY_MS : POLL_IDLE_MS;
	}
	/* Only as often as needed: if the poll is carried over to the next
	 * incarnation, that one forgets ends of its own. */
	if (h->acked > h->acked_known)
		poll.acked = h->acked;
	h->acked_sent = poll.acked;
	pending = g_new0(struct pending_poll, 1);
	*pending =
	    (struct pending_poll){ .d = d, .term = d->term, .worker = h->id };
	h->polling = true;
	h->poll_sent_ms = now;
	h->polls++;
	d->meter.polls->value++;
	body = d->conf.agent->write_poll(&poll);
	http_send(h->poll_peer, EVHTTP_REQ_POST, d->conf.agent->poll_path,
	    h->headers, body, strlen(body), poll.wait_ms + POLL_SLACK_MS,
	    on_poll_answer, pending);
	g_free(body);
}
