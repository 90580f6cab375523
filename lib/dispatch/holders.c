/* Workers: looks that renew their lease and show what ended, and lapses. */
#include "impl.h"

#define LOOK_AGAIN_MS 150 /* after a look without an answer */
#define LOOK_IDLE_MS 1000 /* between looks at a worker that has lapsed */
#define LAPSE_MARGIN_MS 60 /* beyond the computed end of a lease */
#define FOREIGN_MARGIN_MS 400 /* for an earlier leader's last orders */
#define GONE_MS 8000 /* silent and holding nothing: its record is dropped */

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

/* The longest that a span on a worker's clock can last on ours. */
static int64_t
stretched(int64_t ms)
{
	return ms + ms * DRIFT_PERMILLE / 1000;
}

static void
holder_take(struct holder *h, const struct flow_worker *w)
{
	if (h->address == NULL || strcmp(h->address, w->address) != 0) {
		http_peer_free(h->look);
		h->look = NULL;
		for (int i = 0; i < ORDER_LINES; i++) {
			http_peer_free(h->line[i]);
			h->line[i] = NULL;
		}
	}
	g_free(h->name);
	g_free(h->address);
	h->name = g_strdup(w->name);
	h->address = g_strdup(w->address);
	h->born_ms = w->started_ms;
}

static struct holder *
holder_new(struct dispatch *d, const struct flow_worker *w)
{
	struct holder *h = g_new0(struct holder, 1);

	h->d = d;
	h->id = w->id;
	h->pace = 1;
	h->beat_ms = mono_ms();
	h->runs = g_ptr_array_new();
	holder_take(h, w);
	g_hash_table_insert(d->holders, GUINT_TO_POINTER(h->id), h);
	return h;
}

void
holder_free(void *arg)
{
	struct holder *h = arg;
	GPtrArray *runs = h->runs;

	http_peer_free(h->look);
	for (int i = 0; i < ORDER_LINES; i++)
		http_peer_free(h->line[i]);
	for (guint i = 0; i < runs->len; i++)
		run_free(runs->pdata[i]);
	g_ptr_array_unref(runs);
	g_free(h->name);
	g_free(h->address);
	g_free(h);
}

/* An earlier leader may have renewed its lease just before we took over. */
static void
load_holder(void *arg, const struct flow_worker *w)
{
	struct dispatch *d = arg;
	struct holder *h = holder_new(d, w);

	h->foreign_ms =
	    d->led_ms + stretched(d->conf.lease_max_ms) + FOREIGN_MARGIN_MS;
}

void
holders_load(struct dispatch *d)
{
	flow_each_worker(d->conf.flow, load_holder, d);
}

/* A life at the same address that was born earlier has ended. */
static void
bury_older(struct dispatch *d, const struct flow_worker *w)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;

		if (h->id != w->id && h->born_ms < w->started_ms &&
		    strcmp(h->address, w->address) == 0)
			holder_dead(h, "a later life has its address");
		else if (h->id != w->id && h->born_ms < w->started_ms &&
		    strcmp(h->name, w->name) == 0)
			holder_dead(h, "a later life has its name");
	}
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
		(void)holder_new(d, w);
	else
		holder_take(h, w);
	log_info("dispatch",
	    "event=worker id=%u worker=%s address=%s born=%" G_GINT64_FORMAT
	    " pool=%s draining=%d",
	    w->id, w->name, w->address, w->started_ms, w->pool, w->draining);
	bury_older(d, w);
	dispatch_dirty(d);
}

void
holder_clock(struct holder *h, int64_t clock_ms, int64_t now)
{
	h->clock_ms = clock_ms;
	h->clock_at_ms = now;
}

int64_t
holder_grant(struct holder *h, int64_t now)
{
	int64_t clock_ms = h->clock_ms + (now - h->clock_at_ms);

	if (h->clock_at_ms == 0)
		return 0;
	/* A silent worker's lease has to end some time, whatever is sent. */
	if (h->silent)
		return h->granted_ms > clock_ms ? h->granted_ms : 0;
	h->granted_ms = MAX(h->granted_ms, clock_ms + lease_ms(h->d));
	return h->granted_ms;
}

/* When every lease of this life is over for certain, by our clock. */
static int64_t
lapse_ms(const struct holder *h)
{
	int64_t own = 0;

	if (h->granted_ms != 0)
		own = h->clock_at_ms + LAPSE_MARGIN_MS +
		    stretched(MAX(h->granted_ms - h->clock_ms, 0));
	return MAX(own, h->foreign_ms);
}

struct http_peer *
holder_line(struct holder *h)
{
	int best = 0;

	for (int i = 0; i < ORDER_LINES; i++) {
		if (h->line[i] == NULL)
			h->line[i] =
			    http_peer_new(h->d->conf.base, h->address, NULL);
		if (http_peer_outstanding(h->line[i]) == 0)
			return h->line[i];
		if (http_peer_outstanding(h->line[i]) <
		    http_peer_outstanding(h->line[best]))
			best = i;
	}
	return h->line[best];
}

/* Proposes the end of all that a life held which is over. */
static void
end_all(struct holder *h, const char *why)
{
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));

	for (guint i = 0; i < h->runs->len; i++) {
		struct lrun *r = h->runs->pdata[i];
		struct flow_end e = { .id = r->of,
			.outcome = FLOW_END_STOPPED,
			.checkpoint = r->saved };

		if (r->state == RUN_ENDING || r->state == RUN_PROPOSED)
			continue;
		h->d->meter.lost->value++;
		log_warn("dispatch",
		    "event=run-lost run=%s worker=%s why=\"%s\" "
		    "silent_ms=%" G_GINT64_FORMAT,
		    run_name(&r->of), h->name, why,
		    h->heard_ms == 0 ? -1 : mono_ms() - h->heard_ms);
		g_array_append_val(ends, e);
	}
	if (ends->len > 0 && runs_end(h->d, ends) != 0)
		for (guint i = 0; i < h->runs->len; i++) {
			struct lrun *r = h->runs->pdata[i];

			if (r->state != RUN_PROPOSED)
				r->state = RUN_ENDING;
		}
	g_array_unref(ends);
}

void
holder_dead(struct holder *h, const char *why)
{
	if (!h->dead)
		log_warn("dispatch",
		    "event=worker-dead worker=%s address=%s why=\"%s\"",
		    h->name, h->address, why);
	h->dead = true;
	end_all(h, why);
}

static void
fenced(struct holder *h)
{
	if (!h->d->fenced)
		log_warn("dispatch",
		    "event=fenced worker=%s fence=%" G_GUINT64_FORMAT
		    " why=\"a later leader has spoken to it\"",
		    h->name, h->d->term);
	h->d->fenced = true;
}

bool
holder_told(struct holder *h, enum agent_verdict v)
{
	if (v == AGENT_FENCED)
		fenced(h);
	else if (v == AGENT_OTHER_LIFE)
		holder_dead(h, "another life answers");
	return v == AGENT_FENCED || v == AGENT_OTHER_LIFE;
}

bool
holder_open(const struct holder *h, int64_t now)
{
	const struct flow_worker *w = flow_worker(h->d->conf.flow, h->id);

	if (w == NULL || w->draining || h->left || h->dead || h->closing ||
	    !h->held || now < h->shun_ms || now - h->heard_ms > STALE_MS)
		return false;
	return plan_trust(&h->doubt, now) != PLAN_SHUNNED;
}

uint32_t
holder_most(const struct holder *h, int64_t now)
{
	uint32_t trials = 0;

	if (plan_trust(&h->doubt, now) == PLAN_TRUSTED)
		return UINT32_MAX;
	for (guint i = 0; i < h->runs->len; i++) {
		const struct lrun *r = h->runs->pdata[i];

		trials += r->started_ms == 0 || r->started_ms > h->failed_ms;
	}
	return trials > 0 ? 0 : 1;
}

static enum flow_end_outcome
how_of(enum agent_how how)
{
	if (how == AGENT_DONE)
		return FLOW_END_DONE;
	return how == AGENT_FAILED ? FLOW_END_FAILED : FLOW_END_STOPPED;
}

/* Notes what an end says of its worker. */
static void
judge(struct holder *h, const struct agent_end *e, int64_t now)
{
	const struct flow_task *task = flow_task(h->d->conf.flow, &e->of, NULL);
	enum plan_trust before = plan_trust(&h->doubt, now);
	enum plan_trust after;

	if (e->how != AGENT_DONE && e->how != AGENT_FAILED)
		return;
	if (e->how == AGENT_FAILED) {
		h->d->meter.failed->value++;
		h->failed_ms = now;
	}
	plan_doubt_ended(&h->doubt, e->how == AGENT_DONE,
	    task != NULL && task->failures > 0, now);
	after = plan_trust(&h->doubt, now);
	if (after == PLAN_SHUNNED && before != PLAN_SHUNNED)
		log_info("dispatch",
		    "event=worker-shunned worker=%s for_ms=%" G_GINT64_FORMAT
		    " failures=%.1f",
		    h->name, h->doubt.until_ms - now, h->doubt.failures);
}

static void
ends_applied(struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	struct holder *h = holder_find(d, w->holder);

	if (h == NULL)
		return;
	h->ends_due = false;
	h->taken = MAX(h->taken, w->number);
	holder_look(h, mono_ms());
}

/* Proposes the ends that are new; the next look tells that they are kept. */
static void
take_ends(struct holder *h, const struct agent_report *report, int64_t now)
{
	struct dispatch *d = h->d;
	struct flow_cmd cmd = { .type = FLOW_CMD_END };
	struct wait *w;
	uint64_t last = h->proposed;

	cmd.u.ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	for (guint i = 0; i < report->ends->len; i++) {
		struct agent_end *e =
		    &g_array_index(report->ends, struct agent_end, i);
		struct flow_end end = { .id = e->of,
			.outcome = how_of(e->how),
			.checkpoint = e->saved };
		struct lrun *r = run_find(d, &e->of);

		if (r != NULL && r->of.number == e->of.number && r->holder == h)
			r->seen = h->looks;
		run_begun(d, &e->of);
		if (e->number <= h->proposed)
			continue;
		last = MAX(last, e->number);
		judge(h, e, now);
		log_info("dispatch",
		    "event=end run=%s worker=%s number=%" G_GUINT64_FORMAT
		    " how=%s known=%d ran_ms=%" G_GINT64_FORMAT,
		    run_name(&e->of), h->name, e->number,
		    agent_how_name(e->how), r != NULL,
		    r == NULL ? 0 : now - r->started_ms);
		/* Says nothing of a run on another worker. */
		if (r != NULL && r->holder == h &&
		    r->of.number == e->of.number) {
			g_array_append_val(cmd.u.ends, end);
			r->state = RUN_ENDING;
		}
	}
	if (last > h->proposed) {
		w = dispatch_propose_wait(d, &cmd, ends_applied);
		if (w != NULL) {
			w->holder = h->id;
			w->number = last;
			h->proposed = last;
			h->ends_due = true;
		}
	}
	g_array_unref(cmd.u.ends);
}

static void
take_running(struct holder *h, const struct agent_report *report, int64_t now)
{
	for (guint i = 0; i < report->running->len; i++) {
		struct agent_running *a =
		    &g_array_index(report->running, struct agent_running, i);
		struct lrun *r = run_find(h->d, &a->of);

		if (r == NULL || r->holder != h ||
		    r->of.number != a->of.number) {
			run_stop_stray(h, &a->of);
			continue;
		}
		r->seen = h->looks;
		run_begun(h->d, &r->of);
		if (r->state == RUN_ORDERED) {
			r->state = RUN_TAKEN;
			r->taken_ms = now;
		}
		if (a->saved != NULL && *a->saved != '\0') {
			g_free(r->saved);
			r->saved = g_strdup(a->saved);
		}
		round_progress(r, a->percent, now);
	}
}

/*
 * A run that the worker had before this look was sent, and that the look
 * shows neither as running nor as ended, is gone. One that an earlier leader
 * ordered, and that is not there, is ordered again.
 */
static void
take_missing(struct holder *h, int64_t now)
{
	for (guint i = h->runs->len; i > 0; i--) {
		struct lrun *r = h->runs->pdata[i - 1];

		if (r->seen == h->looks || r->state == RUN_ENDING ||
		    r->state == RUN_PROPOSED)
			continue;
		if (r->state == RUN_TAKEN && r->taken_ms < h->look_sent_ms)
			run_end(r, FLOW_END_STOPPED, "not-there");
		else if (r->state == RUN_ORDERED && !r->calling &&
		    r->again_ms == 0)
			r->again_ms = now;
	}
}

static void
take_report(struct holder *h, const struct agent_report *report, int64_t now)
{
	bool first = !h->held;

	if (report->born_ms != 0 && report->born_ms != h->born_ms) {
		if (report->born_ms > h->born_ms)
			holder_dead(h, "a look was answered by a later life");
		return;
	}
	holder_clock(h, report->clock_ms, now);
	h->held = true;
	h->silent = false;
	h->lapsed = false;
	h->heard_ms = now;
	if (first)
		log_info("dispatch",
		    "event=worker-held worker=%s running=%u ends=%u", h->name,
		    report->running->len, report->ends->len);
	take_ends(h, report, now);
	take_running(h, report, now);
	take_missing(h, now);
	if (first)
		dispatch_dirty(h->d);
}

/* A look in flight. */
struct look {
	struct dispatch *d;
	uint64_t term;
	uint32_t worker;
};

static void
on_look(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct look *l = arg;
	struct dispatch *d = l->d;
	struct holder *h =
	    d->active && d->term == l->term ? holder_find(d, l->worker) : NULL;
	int64_t now = mono_ms();
	int64_t clock_ms = -1;
	enum agent_verdict v;

	g_free(l);
	if (h == NULL)
		return;
	h->looking = false;
	v = d->conf.agent->verdict(status, body, len, &clock_ms);
	if (v == AGENT_TAKEN) {
		struct agent_report report;

		agent_report_init(&report);
		if (d->conf.agent->report(body, len, &report)) {
			h->look_due_ms = now;
			take_report(h, &report, now);
		} else {
			log_warn("dispatch",
			    "event=look-unreadable worker=%s bytes=%zu",
			    h->name, len);
			h->look_due_ms = now + LOOK_AGAIN_MS;
		}
		agent_report_clear(&report);
		holder_look(h, now);
		return;
	}
	h->silent = true;
	h->look_due_ms = now + (h->lapsed ? LOOK_IDLE_MS : LOOK_AGAIN_MS);
	log_info("dispatch",
	    "event=look-failed worker=%s verdict=%s status=%d why=\"%s\" "
	    "silent_ms=%" G_GINT64_FORMAT,
	    h->name, agent_verdict_name(v), status, why == NULL ? "" : why,
	    h->heard_ms == 0 ? -1 : now - h->heard_ms);
	if (!holder_told(h, v) && h->left && h->heard_ms != 0 && why != NULL &&
	    strcmp(why, HTTP_NO_CONNECTION) == 0)
		holder_dead(h, "has left and answers no longer");
}

void
holder_look(struct holder *h, int64_t now)
{
	struct dispatch *d = h->d;
	struct agent_look look = { .fence = d->term, .taken = h->taken };
	const char *headers[] = { d->conf.agent->life_header, h->name, NULL };
	struct look *l;
	char *body;

	if (h->looking || h->ends_due || h->dead || now < h->look_due_ms ||
	    !dispatch_may_act(d))
		return;
	if (h->look == NULL)
		h->look = http_peer_new(d->conf.base, h->address, NULL);
	if (h->held) {
		look.until_ms = holder_grant(h, now);
		look.wait_ms = h->runs->len > 0 ? LOOK_BUSY_MS : LOOK_WAIT_MS;
	}
	l = g_new0(struct look, 1);
	*l = (struct look){ .d = d, .term = d->term, .worker = h->id };
	h->looking = true;
	h->look_sent_ms = now;
	h->looks++;
	d->meter.looks->value++;
	body = d->conf.agent->look(&look);
	http_send(h->look, EVHTTP_REQ_POST, d->conf.agent->look_path, headers,
	    body, strlen(body), look.wait_ms + LOOK_SLACK_MS, on_look, l);
	g_free(body);
}

/* Drops the record of a worker that is gone and holds nothing. */
static void
close_holder(struct holder *h, int64_t now)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER_REMOVED,
		.u.gone = h->id };
	bool silent = h->lapsed && now - h->beat_ms > GONE_MS;

	if (h->closing || h->runs->len > 0 || !(h->dead || silent))
		return;
	h->closing = dispatch_propose(h->d, &cmd) != 0;
	log_info("dispatch", "event=worker-gone worker=%s dead=%d", h->name,
	    h->dead);
}

static void
scan_holder(struct holder *h, int64_t now)
{
	int64_t since = MAX(h->heard_ms, h->d->led_ms);
	bool silent = now - since > STALE_MS;

	if (!h->dead && now > lapse_ms(h) && silent) {
		h->lapsed = true;
		if (h->runs->len > 0)
			end_all(h, "its lease has run out");
	}
	/* Ends that could not be proposed, or runs assigned meanwhile. */
	if (h->dead && h->runs->len > 0)
		end_all(h, "its life is over");
	close_holder(h, now);
	holder_look(h, now);
}

void
holders_scan(struct dispatch *d, int64_t now)
{
	GList *all = g_hash_table_get_values(d->holders);

	for (GList *i = all; i != NULL; i = i->next)
		scan_holder(i->data, now);
	g_list_free(all);
}
