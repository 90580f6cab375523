/* Workers and their incarnations: connections, what ends them, what they may
 * get. */
#include "impl.h"
#include "settings.h"

#define PRIOR_LEASE_MARGIN_MS 400 /* for an earlier leader's last orders */
/* Before a draining worker may leave: time to stop a run and to learn of its
 * end. */
#define EVACUATE_MS 700
#define REMOVE_AFTER_MS 8000 /* after the last heartbeat, without a lease */
/* Calls for an incarnation that is over may reach the next one for so long. */
#define CARRIED_MAX_MS 12000

struct holder *
holder_find(const struct dispatch *d, uint32_t id)
{
	return g_hash_table_lookup(d->holders, GUINT_TO_POINTER(id));
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

bool
holder_is_own_report(struct holder *h, const struct agent_report *report)
{
	if (report->started_ms == h->started_ms)
		return true;
	if (report->started_ms != 0) {
		h->succeeded = true;
		holder_declare_dead(h, "another incarnation answers");
	}
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
	ok = agent->read_report(body, len, &report) &&
	    holder_is_own_report(h, &report);
	agent_report_clear(&report);
	return ok;
}

struct http_peer *
holder_connect(struct holder *h)
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
	    lease_longest_ms(d->conf.lease_max_ms) + PRIOR_LEASE_MARGIN_MS;
}

void
holders_load(struct dispatch *d)
{
	flow_each_worker(d->conf.flow, load_holder, d);
}

void
holder_check_presence(struct holder *h)
{
	http_peer_free(g_steal_pointer(&h->poll_peer));
	h->poll_due_ms = 0;
	holder_poll(h, mono_ms());
}

/* Notes until when calls for an incarnation that is over may be carried. */
static void
note_over(const struct holder *h)
{
	int64_t *until_ms = g_new(int64_t, 1);

	*until_ms = mono_ms() + CARRIED_MAX_MS;
	g_hash_table_replace(h->d->carried, g_strdup(h->name), until_ms);
}

static gboolean
is_past(gpointer key, gpointer until_ms, gpointer now)
{
	return *(const int64_t *)until_ms < *(const int64_t *)now;
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
			holder_check_presence(h);
	}
	return crashed;
}

void
holder_changed(void *arg, uint32_t worker)
{
	struct dispatch *d = arg;
	const struct flow_worker *w = flow_worker(d->conf.flow, worker);
	struct holder *h = holder_find(d, worker);
	const int64_t *carried;

	if (w == NULL) {
		if (h != NULL)
			note_over(h);
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
	carried = g_hash_table_lookup(d->carried, h->name);
	if (!h->polled && carried != NULL)
		h->carried_until_ms = *carried;
	dispatch_schedule_round(d);
}

struct http_peer *
holder_order_connection(struct holder *h)
{
	int best = 0;

	for (int i = 0; i < ORDER_CONNECTIONS; i++) {
		if (h->order_peer[i] == NULL)
			h->order_peer[i] = holder_connect(h);
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

		if (r->state == RUN_ENDING || r->state == RUN_PROPOSED ||
		    successor_may_run(r, mono_ms()))
			continue;
		h->d->meter.lost->value++;
		log_warn("dispatch",
		    "event=run-lost run=%s worker=%s id=%u why=\"%s\" "
		    "beside=%u since_answer_ms=%" G_GINT64_FORMAT
		    " lease_over_ms=%" G_GINT64_FORMAT,
		    run_name(&r->id), h->name, h->id, why, runs_beside(r),
		    h->answered_ms == 0 ? -1 : mono_ms() - h->answered_ms,
		    mono_ms() - holder_leases_end_ms(h));
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
		h->dead_ms = mono_ms();
		note_over(h);
		close_connections(h);
	}
	(void)end_all_runs(h, why);
}

/* The worker knows a higher fence: that of a later leader of this cell, in
 * which case leadership is not confirmed any more, or that of another cell. It
 * is not called again in this term. */
static void
note_fenced(struct holder *h)
{
	if (h->fenced)
		return;
	log_warn("dispatch",
	    "event=fenced worker=%s id=%u fence=%" G_GUINT64_FORMAT
	    " why=\"it knows a higher fence\"",
	    h->name, h->id, h->d->term);
	h->fenced = true;
	dispatch_doubt_leadership(h->d);
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
	if (h->fenced || h->has_strays || now < h->excluded_until_ms ||
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

	if (!h->dead && now > holder_leases_end_ms(h) && no_answer) {
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

	g_hash_table_foreach_remove(d->carried, is_past, &now);
	for (GList *i = all; i != NULL; i = i->next)
		scan_holder(i->data, now);
	g_list_free(all);
}
