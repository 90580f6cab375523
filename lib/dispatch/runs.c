/* Runs: start and stop orders, and how a run's end gets agreed. */
#include "impl.h"

#define AGAIN_MS 60 /* before an order is sent again */
#define AGAIN_MAX_MS 800 /* a worker that is back gets it within a second */
#define SHUN_MS 1500 /* a worker that says it is unwell rests so long */

guint
run_hash(gconstpointer p)
{
	const struct lrun *r = p;

	return (guint)(r->of.job ^ r->of.job >> 32) * 31 +
	    (r->of.occurrence * 31 + r->of.step) * 31 + r->of.index;
}

gboolean
run_equal(gconstpointer a, gconstpointer b)
{
	const struct flow_run *x = &((const struct lrun *)a)->of;
	const struct flow_run *y = &((const struct lrun *)b)->of;

	return x->job == y->job && x->occurrence == y->occurrence &&
	    x->step == y->step && x->index == y->index;
}

/* Finds what is known of a task's present run, whatever its number. */
struct lrun *
run_find(const struct dispatch *d, const struct flow_run *of)
{
	struct lrun key = { .of = *of };

	return g_hash_table_lookup(d->runs, &key);
}

struct lrun *
run_add(struct dispatch *d, struct holder *h, const struct flow_run *of,
    const struct resources *need)
{
	struct lrun *r = g_new0(struct lrun, 1);

	r->of = *of;
	r->holder = h;
	r->need = *need;
	g_hash_table_add(d->runs, r);
	g_ptr_array_add(h->runs, r);
	resources_add(&h->used, need, 1);
	return r;
}

void
run_free(void *arg)
{
	struct lrun *r = arg;

	g_free(r->saved);
	g_free(r->permit);
	g_free(r);
}

void
run_remove(struct lrun *r)
{
	struct holder *h = r->holder;

	resources_add(&h->used, &r->need, -1);
	g_hash_table_remove(h->d->runs, r);
	g_ptr_array_remove_fast(h->runs, r);
	run_free(r);
}

void
run_begun(struct dispatch *d, const struct flow_run *of)
{
	if (!g_hash_table_contains(d->begun, &of->job))
		g_hash_table_add(
		    d->begun, g_memdup2(&of->job, sizeof(of->job)));
}

/* An order in flight; it may outlive the run and the leadership. */
struct order {
	struct dispatch *d;
	uint64_t term;
	uint32_t worker;
	struct flow_run of;
	bool stop;
	bool stray;
};

/* Returns the run that an order was about, if it still is the same. */
static struct lrun *
order_run(const struct order *o)
{
	struct lrun *r;

	if (!o->d->active || o->d->term != o->term)
		return NULL;
	r = run_find(o->d, &o->of);
	if (r == NULL || r->of.number != o->of.number ||
	    r->holder->id != o->worker)
		return NULL;
	return r;
}

static void
schedule_again(struct lrun *r)
{
	int64_t wait = MIN((int64_t)AGAIN_MS << MIN(r->tries, 5), AGAIN_MAX_MS);

	r->tries++;
	r->again_ms = mono_ms() + wait;
}

uint64_t
runs_end(struct dispatch *d, GArray *ends)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_END, .u.ends = ends };

	return dispatch_propose(d, &cmd);
}

void
run_end(struct lrun *r, enum flow_end_outcome how, const char *why)
{
	struct dispatch *d = r->holder->d;
	GArray *ends = g_array_new(FALSE, TRUE, sizeof(struct flow_end));
	struct flow_end e = {
		.id = r->of, .outcome = how, .checkpoint = r->saved
	};

	if (r->state == RUN_ENDING) {
		g_array_unref(ends);
		return;
	}
	g_array_append_val(ends, e);
	if (runs_end(d, ends) != 0)
		r->state = RUN_ENDING;
	log_info("dispatch", "event=run-over run=%s worker=%s why=%s",
	    run_name(&r->of), r->holder->name, why);
	g_array_unref(ends);
}

/* The worker refused a start: it never ran, unless an earlier order did. */
static void
refused(struct lrun *r, enum agent_verdict v)
{
	struct holder *h = r->holder;

	if (v == AGENT_UNWELL)
		h->shun_ms = mono_ms() + SHUN_MS;
	if (v == AGENT_NO_PERMIT)
		permit_void(h->d, &r->of, h->id);
	/* An unanswered order may still start it: a stop rules that out. */
	if (r->unsure) {
		run_stop(r);
		return;
	}
	run_end(r, FLOW_END_REFUSED, agent_verdict_name(v));
}

static void
start_answered(struct lrun *r, enum agent_verdict v)
{
	switch (v) {
	case AGENT_TAKEN:
		run_begun(r->holder->d, &r->of);
		r->state = MAX(r->state, RUN_TAKEN);
		r->taken_ms = mono_ms();
		r->tries = 0;
		if (r->stopping)
			run_stop(r);
		break;
	case AGENT_ENDED:
		/* The next look tells how; one that does not show it at all
		 * tells that it is gone. */
		r->state = MAX(r->state, RUN_TAKEN);
		r->taken_ms = mono_ms();
		break;
	case AGENT_UNCLEAR:
		r->unsure = true;
		schedule_again(r);
		break;
	default:
		refused(r, v);
	}
}

static void
stop_answered(struct lrun *r, enum agent_verdict v)
{
	switch (v) {
	case AGENT_TAKEN:
	case AGENT_ENDED:
		/* No start of this run can take effect any more. */
		r->state = MAX(r->state, RUN_TAKEN);
		r->taken_ms = mono_ms();
		r->tries = 0;
		r->again_ms = 0;
		break;
	default:
		schedule_again(r);
	}
}

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct order *o = arg;
	struct lrun *r = order_run(o);
	int64_t clock_ms = -1;
	enum agent_verdict v =
	    o->d->conf.agent->verdict(status, body, len, &clock_ms);

	if (v != AGENT_TAKEN && o->d->active)
		log_info("dispatch",
		    "event=order-answer order=%s run=%s worker=%u verdict=%s "
		    "status=%d why=\"%s\"",
		    o->stop ? "stop" : "start", run_name(&o->of), o->worker,
		    agent_verdict_name(v), status, why == NULL ? "" : why);
	if (r != NULL && !o->stray) {
		r->calling = false;
		if (clock_ms >= 0)
			holder_clock(r->holder, clock_ms, mono_ms());
		if (!holder_told(r->holder, v))
			(o->stop ? stop_answered : start_answered)(r, v);
	}
	g_free(o);
}

static void
send_order(struct holder *h, const struct flow_run *of, bool stop, bool stray,
    char *body)
{
	struct dispatch *d = h->d;
	const char *headers[] = { d->conf.agent->life_header, h->name, NULL };
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){ .d = d,
		.term = d->term,
		.worker = h->id,
		.of = *of,
		.stop = stop,
		.stray = stray };
	http_send(holder_line(h), EVHTTP_REQ_POST,
	    stop ? d->conf.agent->stop_path : d->conf.agent->start_path,
	    headers, body, strlen(body), ORDER_MS, on_answer, o);
	g_free(body);
}

void
run_start(struct lrun *r)
{
	struct holder *h = r->holder;
	struct dispatch *d = h->d;
	int64_t now = mono_ms();
	const struct flow_job *job = flow_job(d->conf.flow, r->of.job);
	const struct flow_task *task = flow_task(d->conf.flow, &r->of, NULL);
	struct agent_start order = {
		.of = r->of, .fence = d->term, .permit = r->permit
	};

	if (r->calling || task == NULL)
		return;
	if (!h->held || !dispatch_may_act(d)) {
		r->again_ms = now + AGAIN_MS;
		return;
	}
	order.payload = job->spec.payload;
	order.saved = task->checkpoint;
	order.until_ms = holder_grant(h, now);
	if (order.until_ms == 0) {
		r->again_ms = now + AGAIN_MS;
		return;
	}
	r->calling = true;
	r->again_ms = 0;
	send_order(h, &r->of, false, false, d->conf.agent->start(&order));
}

void
run_stop(struct lrun *r)
{
	struct holder *h = r->holder;
	struct dispatch *d = h->d;

	r->stopping = true;
	if (r->state == RUN_ENDING)
		return;
	/* An order that is on its way is answered first. */
	if (r->calling || !dispatch_may_act(d)) {
		r->again_ms = mono_ms() + AGAIN_MS;
		return;
	}
	r->calling = true;
	r->again_ms = 0;
	send_order(
	    h, &r->of, true, false, d->conf.agent->stop(&r->of, d->term));
}

void
run_stop_stray(struct holder *h, const struct flow_run *of)
{
	struct dispatch *d = h->d;

	if (!dispatch_may_act(d))
		return;
	log_warn("dispatch", "event=stop-stray run=%s worker=%s", run_name(of),
	    h->name);
	send_order(h, of, true, true, d->conf.agent->stop(of, d->term));
}

/* Sends orders again that are due. */
void
runs_scan(struct dispatch *d, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runs);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		struct lrun *r = value;

		if (r->again_ms == 0 || r->again_ms > now || r->calling ||
		    r->state == RUN_ENDING || r->state == RUN_PROPOSED)
			continue;
		d->meter.resends->value++;
		if (r->stopping)
			run_stop(r);
		else
			run_start(r);
	}
}
