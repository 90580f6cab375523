/* Workers: polls that renew their lease and report their runs, lease expiry. */
#include "impl.h"
#include "settings.h"

#define POLL_RETRY_MS 150 /* after a poll without an answer */
#define POLL_EXPIRED_MS 1000 /* between polls of a worker without a lease */
#define LEASE_END_MARGIN_MS 60 /* beyond the computed end of a lease */
#define PRIOR_LEASE_MARGIN_MS 400 /* for an earlier leader's last orders */
/* Before a draining worker may leave: time to stop a run and to learn of its
 * end. */
#define EVACUATE_MS 700
#define REMOVE_AFTER_MS 8000 /* after the last heartbeat, without a lease */
/* A worker can't have numbered more ends than this, plus one for each
 * millisecond since its start. */
#define ENDS_AT_START_MAX 1000000
#define STRAYS_STOPPED_MAX 64 /* unassigned runs to stop for each poll */

struct holder *
holder_find(const struct dispatch *d, uint32_t id)
{
	return g_hash_table_lookup(d->holders, GUINT_TO_POINTER(id));
}

static int64_t
lease_ms(const struct dispatch *d)
{
	return MIN(LEASE_MS, d->conf.lease_max_ms);
}

/* The longest time on our clock that a span on a worker's clock can take. */
static int64_t
longest_local_ms(int64_t ms)
{
	return ms + ms * CLOCK_DRIFT_PERMILLE / 1000;
}

struct holder *
holder_latest_at(const struct dispatch *d, const char *address)
{
	return g_hash_table_lookup(d->addresses, address);
}

static void
index_address(struct holder *h)
{
	const struct holder *latest = holder_latest_at(h->d, h->address);

	/* The key is a string of the value. */
	if (latest == NULL || latest->started_ms <= h->started_ms)
		g_hash_table_replace(h->d->addresses, h->address, h);
}

/* Removes a holder from the index; another at its address takes its place. */
static void
unindex_address(struct holder *h)
{
	struct dispatch *d = h->d;
	GHashTableIter iter;
	gpointer value;

	if (h->address == NULL || d->addresses == NULL ||
	    holder_latest_at(d, h->address) != h)
		return;
	g_hash_table_remove(d->addresses, h->address);
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *other = value;

		if (other != h && strcmp(other->address, h->address) == 0)
			index_address(other);
	}
}

/* Completes all calls under way: those not sent yet never are. */
static void
close_connections(struct holder *h)
{
	http_peer_free(g_steal_pointer(&h->poll_peer));
	for (int i = 0; i < ORDER_CONNECTIONS; i++)
		http_peer_free(g_steal_pointer(&h->order_peer[i]));
}

static void
update_address(struct holder *h, const struct flow_worker *w)
{
	unindex_address(h);
	if (h->address == NULL || strcmp(h->address, w->address) != 0)
		close_connections(h);
	g_free(h->name);
	g_free(h->address);
	h->name = g_strdup(w->name);
	h->address = g_strdup(w->address);
	h->headers[0] = h->d->conf.agent->worker_header;
	h->headers[1] = h->name;
	h->started_ms = w->started_ms;
	index_address(h);
}

/* Asks for the lists of the worker, without a lease or an acknowledgement that
 * another incarnation could take for its own. */
static char *
write_greeting(void *arg)
{
	const struct holder *h = arg;
	struct agent_poll poll = { .fence = h->d->term };

	return h->d->conf.agent->write_poll(&poll);
}

/* Says whether a report is one of this incarnation. If another one listens at
 * its address, it is over. One that doesn't say of which it is says nothing. */
static bool
is_own_report(struct holder *h, const struct agent_report *report)
{
	if (report->started_ms == h->started_ms)
		return true;
	if (report->started_ms != 0)
		holder_declare_dead(h, "another incarnation answers");
	return false;
}

static bool
accept_greeting(void *arg, int status, const void *body, size_t len)
{
	struct holder *h = arg;
	const struct agent_ops *agent = h->d->conf.agent;
	struct agent_report report;
	int64_t clock_ms = -1;
	enum agent_result result =
	    agent->read_result(status, body, len, &clock_ms);
	bool ok;

	if (holder_handle_result(h, result) || result != AGENT_ACCEPTED)
		return false;
	agent_report_init(&report);
	ok =
	    agent->read_report(body, len, &report) && is_own_report(h, &report);
	agent_report_clear(&report);
	return ok;
}

/* Calls name the worker, not its incarnation: on each connection the right one
 * has to answer before orders, leases or acknowledgements are sent. */
static struct http_peer *
connection_new(struct holder *h)
{
	struct http_peer *p = http_peer_new(h->d->conf.base, h->address, NULL);

	http_peer_set_greeting(p, &h->greeting, h->headers, h);
	return p;
}

static struct holder *
holder_new(struct dispatch *d, const struct flow_worker *w)
{
	struct holder *h = g_new0(struct holder, 1);

	h->d = d;
	h->id = w->id;
	h->slowdown = 1;
	h->heartbeat_ms = mono_ms();
	h->heartbeat_seq = w->seq;
	h->runs = g_ptr_array_new();
	h->greeting = (struct http_greeting){ .path = d->conf.agent->poll_path,
		.body = write_greeting,
		.accept = accept_greeting,
		.max_idle_ms = ORDER_TIMEOUT_MS };
	update_address(h, w);
	/* Nothing can have been sent there. */
	if (!address_valid(h->address, false))
		holder_declare_dead(h, "its address is invalid");
	speeds_init_holder(h);
	g_hash_table_insert(d->holders, GUINT_TO_POINTER(h->id), h);
	return h;
}

void
holder_free(void *arg)
{
	struct holder *h = arg;
	GPtrArray *runs = h->runs;

	unindex_address(h);
	close_connections(h);
	for (guint i = 0; i < runs->len; i++)
		run_free(runs->pdata[i]);
	g_ptr_array_unref(runs);
	g_free(h->name);
	g_free(h->address);
	g_free(h);
}

/* An earlier leader may have renewed the lease just before this replica became
 * the leader. */
static void
load_holder(void *arg, const struct flow_worker *w)
{
	struct dispatch *d = arg;
	struct holder *h = holder_new(d, w);

	h->prior_lease_ms = d->lead_ms +
	    longest_local_ms(d->conf.lease_max_ms) + PRIOR_LEASE_MARGIN_MS;
}

void
holders_load(struct dispatch *d)
{
	flow_each_worker(d->conf.flow, load_holder, d);
}

/* Asks a worker at once, on a new connection, whether it is still there. */
static void
check_presence(struct holder *h)
{
	http_peer_free(g_steal_pointer(&h->poll_peer));
	h->poll_due_ms = 0;
	holder_poll(h, mono_ms());
}

/*
 * Only the latest incarnation with a name can be running. Another name at the
 * address may be a false claim: who is there is asked, and the earlier one is
 * over when it doesn't answer for itself. Returns whether one has ended, or may
 * have, that wasn't about to leave.
 */
static bool
end_older_incarnations(struct dispatch *d, const struct flow_worker *w)
{
	bool crashed = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		const struct flow_worker *older =
		    flow_worker(d->conf.flow, h->id);
		bool same_address = strcmp(h->address, w->address) == 0;
		bool same_name = strcmp(h->name, w->name) == 0;

		if (h->id == w->id || h->started_ms >= w->started_ms ||
		    !(same_address || same_name))
			continue;
		crashed |= older != NULL && !older->draining;
		if (same_name)
			holder_declare_dead(
			    h, "a later incarnation has its name");
		else if (!h->dead)
			check_presence(h);
	}
	return crashed;
}

void
holder_changed(void *arg, uint32_t worker)
{
	struct dispatch *d = arg;
	const struct flow_worker *w = flow_worker(d->conf.flow, worker);
	struct holder *h = holder_find(d, worker);

	if (w == NULL) {
		while (h != NULL && h->runs->len > 0)
			run_remove(h->runs->pdata[h->runs->len - 1]);
		g_hash_table_remove(d->holders, GUINT_TO_POINTER(worker));
		return;
	}
	if (h == NULL)
		h = holder_new(d, w);
	else
		update_address(h, w);
	log_info("dispatch",
	    "event=worker id=%u worker=%s address=%s "
	    "started_ms=%" G_GINT64_FORMAT " pool=%s draining=%d",
	    w->id, w->name, w->address, w->started_ms, w->pool, w->draining);
	if (w->draining && h->draining_ms == 0)
		h->draining_ms = mono_ms();
	if (end_older_incarnations(d, w))
		h->restarted_ms = mono_ms();
	dispatch_schedule_round(d);
}

void
holder_set_clock(struct holder *h, int64_t clock_ms, int64_t now)
{
	h->clock_ms = clock_ms;
	h->clock_at_ms = now;
}

int64_t
holder_extend_lease(struct holder *h, int64_t now)
{
	int64_t clock_ms = h->clock_ms + (now - h->clock_at_ms);

	if (h->clock_at_ms == 0)
		return 0;
	/* The lease of a worker that does not answer polls must be able to
	 * expire although orders are still sent to it. */
	if (h->poll_failed)
		return h->lease_until_ms > clock_ms ? h->lease_until_ms : 0;
	h->lease_until_ms = MAX(h->lease_until_ms, clock_ms + lease_ms(h->d));
	return h->lease_until_ms;
}

/* Returns the time, on our clock, at which all leases of this incarnation have
 * certainly expired. */
static int64_t
leases_end_ms(const struct holder *h)
{
	int64_t own_end_ms = 0;

	if (h->lease_until_ms != 0)
		own_end_ms = h->clock_at_ms + LEASE_END_MARGIN_MS +
		    longest_local_ms(MAX(h->lease_until_ms - h->clock_ms, 0));
	return MAX(own_end_ms, h->prior_lease_ms);
}

struct http_peer *
holder_order_connection(struct holder *h)
{
	int best = 0;

	for (int i = 0; i < ORDER_CONNECTIONS; i++) {
		if (h->order_peer[i] == NULL)
			h->order_peer[i] = connection_new(h);
		if (http_peer_outstanding(h->order_peer[i]) == 0)
			return h->order_peer[i];
		if (http_peer_outstanding(h->order_peer[i]) <
		    http_peer_outstanding(h->order_peer[best]))
			best = i;
	}
	return h->order_peer[best];
}

/* How many runs of other jobs are on the worker of a run. */
static uint32_t
runs_beside(const struct active_run *r)
{
	uint32_t count = 0;

	for (guint i = 0; i < r->holder->runs->len; i++) {
		const struct active_run *other = r->holder->runs->pdata[i];

		count += other->id.job != r->id.job;
	}
	return count;
}

/* Proposes the end of the runs of an incarnation that is over, of as many as
 * fit into a command; returns of how many. */
static uint32_t
end_all_runs(struct holder *h, const char *why)
{
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	GPtrArray *ended = g_ptr_array_new();
	uint32_t count;

	for (guint i = 0; i < h->runs->len && ends->len < FLOW_ENDS_MAX; i++) {
		struct active_run *r = h->runs->pdata[i];
		struct flow_end e = { .id = r->id,
			.outcome = run_lost_outcome(r),
			.checkpoint = r->checkpoint };

		if (r->state == RUN_ENDING || r->state == RUN_PROPOSED)
			continue;
		h->d->meter.lost->value++;
		log_warn("dispatch",
		    "event=run-lost run=%s worker=%s id=%u why=\"%s\" "
		    "beside=%u since_answer_ms=%" G_GINT64_FORMAT
		    " lease_over_ms=%" G_GINT64_FORMAT,
		    run_name(&r->id), h->name, h->id, why, runs_beside(r),
		    h->answered_ms == 0 ? -1 : mono_ms() - h->answered_ms,
		    mono_ms() - leases_end_ms(h));
		g_array_append_val(ends, e);
		g_ptr_array_add(ended, r);
	}
	if (ends->len > 0 && runs_end(h->d, ends) != 0)
		for (guint i = 0; i < ended->len; i++)
			((struct active_run *)ended->pdata[i])->state =
			    RUN_ENDING;
	count = ends->len;
	g_array_unref(ends);
	g_ptr_array_unref(ended);
	return count;
}

static guint
orders_outstanding(const struct holder *h)
{
	guint count = 0;

	for (int i = 0; i < ORDER_CONNECTIONS; i++)
		if (h->order_peer[i] != NULL)
			count += (guint)http_peer_outstanding(h->order_peer[i]);
	return count;
}

void
holder_declare_dead(struct holder *h, const char *why)
{
	if (!h->dead) {
		log_warn("dispatch",
		    "event=worker-dead worker=%s id=%u address=%s why=\"%s\" "
		    "lost_runs=%u polling=%d orders=%u",
		    h->name, h->id, h->address, why, h->lost_runs, h->polling,
		    orders_outstanding(h));
		h->dead = true;
		close_connections(h);
	}
	(void)end_all_runs(h, why);
}

static void
note_fenced(struct holder *h)
{
	if (!h->d->fenced)
		log_warn("dispatch",
		    "event=fenced worker=%s fence=%" G_GUINT64_FORMAT
		    " why=\"it knows the fence of a later leader\"",
		    h->name, h->d->term);
	h->d->fenced = true;
}

bool
holder_handle_result(struct holder *h, enum agent_result result)
{
	if (result == AGENT_FENCED)
		note_fenced(h);
	else if (result == AGENT_OTHER_INCARNATION)
		holder_declare_dead(h, "another incarnation answers");
	return result == AGENT_FENCED || result == AGENT_OTHER_INCARNATION;
}

enum holder_state
holder_state(const struct holder *h, int64_t now)
{
	const struct flow_worker *w = flow_worker(h->d->conf.flow, h->id);

	if (w == NULL || h->deregistered || h->dead || h->removing)
		return HOLDER_LEAVING;
	if (w->draining)
		return HOLDER_DRAINING;
	if (!h->polled || h->unreachable ||
	    now - h->answered_ms > CONTACT_MAX_AGE_MS)
		return HOLDER_SILENT;
	if (h->has_strays || now < h->excluded_until_ms ||
	    plan_failure_state(&h->failures, now) == PLAN_EXCLUDED)
		return HOLDER_EXCLUDED;
	return HOLDER_AVAILABLE;
}

bool
holder_available(const struct holder *h, int64_t now)
{
	return holder_state(h, now) == HOLDER_AVAILABLE;
}

uint32_t
holder_task_limit(const struct holder *h, int64_t now)
{
	uint32_t since_failure = 0;

	if (plan_failure_state(&h->failures, now) == PLAN_HEALTHY)
		return UINT32_MAX;
	for (guint i = 0; i < h->runs->len; i++) {
		const struct active_run *r = h->runs->pdata[i];

		since_failure +=
		    r->started_ms == 0 || r->started_ms > h->failed_ms;
	}
	return since_failure > 0 ? 0 : 1;
}

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
		bool assigned =
		    r != NULL && r->holder == h && r->id.number == e->id.number;

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

	if (!is_own_report(h, report))
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
	struct agent_poll poll = { .fence = d->term, .acked = h->acked };
	struct pending_poll *pending;
	char *body;

	if (h->polling || h->ends_pending || h->dead || now < h->poll_due_ms ||
	    !dispatch_may_act(d))
		return;
	if (h->poll_peer == NULL)
		h->poll_peer = connection_new(h);
	if (h->polled) {
		poll.lease_until_ms = holder_extend_lease(h, now);
		poll.wait_ms = h->runs->len > 0 ? POLL_BUSY_MS : POLL_IDLE_MS;
	}
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

/* Proposes to remove a worker without runs if its incarnation is over, or if
 * its lease has expired and its last heartbeat is older than REMOVE_AFTER_MS.
 */
static void
maybe_remove(struct holder *h, int64_t now)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER_REMOVED,
		.u.worker_id = h->id };
	bool no_heartbeat =
	    h->lease_expired && now - h->heartbeat_ms > REMOVE_AFTER_MS;

	if (h->removing || h->runs->len > 0 || !(h->dead || no_heartbeat))
		return;
	h->removing = dispatch_propose(h->d, &cmd) != 0;
	log_info("dispatch", "event=worker-removed worker=%s id=%u dead=%d",
	    h->name, h->id, h->dead);
}

/* Says whether a run would be cut off by its worker's leaving, and resumes from
 * a checkpoint if it is stopped before. */
static bool
is_to_evacuate(const struct active_run *r)
{
	const struct flow_job *job =
	    flow_job(r->holder->d->conf.flow, r->id.job);
	const struct flow_step *step;

	if (r->state != RUN_ACCEPTED || r->stopping || job == NULL ||
	    flow_job_ended(job))
		return false;
	step = flow_job_step(job, r->id.step);
	return step->checkpointing && !step->gang && !step->long_running &&
	    estimate_run_remaining_ms(r->holder->d, job, r) > EVACUATE_MS;
}

/*
 * Stops the runs that resume elsewhere shortly before a draining worker may
 * leave. Otherwise their work since the last checkpoint is lost, and a run that
 * ends just as the worker leaves is not known to have ended: its task would run
 * twice.
 */
static void
evacuate(struct holder *h, int64_t now)
{
	const struct dispatch *d = h->d;

	if (d->conf.drain_ms == 0 || h->draining_ms == 0 || h->dead ||
	    now < h->draining_ms + d->conf.drain_ms - EVACUATE_MS)
		return;
	for (guint i = 0; i < h->runs->len; i++) {
		struct active_run *r = h->runs->pdata[i];

		if (!is_to_evacuate(r))
			continue;
		log_info("dispatch",
		    "event=stop run=%s worker=%s why=worker-leaves "
		    "draining_ms=%" G_GINT64_FORMAT,
		    run_name(&r->id), h->name, now - h->draining_ms);
		d->meter.stops->value++;
		run_stop(r);
	}
}

static void
scan_holder(struct holder *h, int64_t now)
{
	int64_t since = MAX(h->answered_ms, h->d->lead_ms);
	bool no_answer = now - since > CONTACT_MAX_AGE_MS;

	if (!h->dead && now > leases_end_ms(h) && no_answer) {
		h->lease_expired = true;
		if (h->runs->len > 0)
			h->lost_runs +=
			    end_all_runs(h, "its lease has expired");
	}
	/* Repeats this for ends that could not be proposed, and runs assigned
	 * since. */
	if (h->dead && h->runs->len > 0)
		(void)end_all_runs(h, "its incarnation is over");
	evacuate(h, now);
	maybe_remove(h, now);
	holder_poll(h, now);
}

void
holders_scan(struct dispatch *d, int64_t now)
{
	GList *all = g_hash_table_get_values(d->holders);

	for (GList *i = all; i != NULL; i = i->next)
		scan_holder(i->data, now);
	g_list_free(all);
}
