/* What entries ask for on behalf of callers, workers and operators. */
#include <stdlib.h>

#include "impl.h"

#define JOB_DIGITS 16 /* of a job's id, hexadecimal */
#define RETRY_MS 1000 /* told if nothing better is known */

/*
 * An answer about a job at work is held so long in case the job ends: callers
 * ask when its last task has just ended, which takes a look and a commit to
 * be known here, and would come back much later.
 */
#define STATE_HOLD_MS 150

/* A caller that gets a job's state when it ends, or at the bound. */
struct watcher {
	uint64_t process;
	uint64_t ask;
	uint64_t job;
	int64_t due_ms;
};

/* A read that waits until leadership is confirmed anew. */
struct pending_read {
	uint64_t process;
	uint64_t ask;
	uint64_t context; /* the first confirmation that counts */
};

static void
reply(struct dispatch *d, uint64_t process, uint64_t ask,
    enum ask_result result, const void *text, size_t len, int64_t retry_ms)
{
	struct answer a = { .id = ask,
		.result = result,
		.retry_ms = retry_ms,
		.text = g_bytes_new(text, len) };

	d->ops->answer(d->arg, process, &a);
	g_bytes_unref(a.text);
}

static void
reply_text(struct dispatch *d, uint64_t process, const struct ask *ask,
    enum ask_result result, const char *text)
{
	reply(d, process, ask->id, result, text, strlen(text), 0);
}

/* Reads a job's id; false if it isn't 16 hexadecimal digits. */
static bool
parse_job(const char *text, uint64_t *id)
{
	if (strlen(text) != JOB_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != JOB_DIGITS)
		return false;
	*id = g_ascii_strtoull(text, NULL, 16);
	return true;
}

/* Finds queue and job of an ask; answers it and returns NULL if it can't. */
static const struct flow_queue *
route(
    struct dispatch *d, uint64_t process, const struct ask *ask, uint64_t *job)
{
	const char *rest = NULL;
	const struct flow_queue *q =
	    flow_route(d->conf.flow, ask->host, ask->path, &rest);

	if (q == NULL) {
		if (flow_config(d->conf.flow)->version == 0)
			reply_text(d, process, ask, ASK_UNAVAILABLE,
			    "no configuration yet");
		else
			reply_text(d, process, ask, ASK_NO_QUEUE, "");
		return NULL;
	}
	if (!parse_job(rest, job)) {
		reply_text(d, process, ask, ASK_NO_JOB, "");
		return NULL;
	}
	return q;
}

static void
submit_applied(
    struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	struct ask ask = { .id = w->ask };

	timer_add(d->meter.commit, mono_ms() - w->began_ms);
	if (outcome == FLOW_NOT_FOUND) {
		reply_text(d, w->process, &ask, ASK_NO_QUEUE, "");
		return;
	}
	if (outcome == FLOW_ACCEPTED)
		d->meter.accepted->value++;
	log_info("dispatch",
	    "event=accepted job=%016" G_GINT64_MODIFIER
	    "x outcome=%s commit_ms=%" G_GINT64_FORMAT,
	    w->job, outcome == FLOW_ACCEPTED ? "new" : "known",
	    mono_ms() - w->began_ms);
	reply_text(d, w->process, &ask, ASK_DONE, "");
}

static bool
spec_valid(const struct flow_spec *spec)
{
	for (guint i = 0; i < spec->steps->len; i++) {
		const struct flow_step *s = spec->steps->pdata[i];

		if (s->count == 0)
			return false;
	}
	return spec->payload != NULL && spec->steps->len > 0;
}

static void
ask_submit(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
	uint64_t job;
	const struct flow_queue *q = route(d, process, ask, &job);
	gsize len;
	const void *data;
	struct wait *w;

	if (q == NULL)
		return;
	if (flow_job(d->conf.flow, job) != NULL) {
		reply_text(d, process, ask, ASK_DONE, "");
		return;
	}
	data = g_bytes_get_data(ask->body, &len);
	if (!flow_spec_decode(data, len, &cmd.u.submit.spec) ||
	    !spec_valid(&cmd.u.submit.spec)) {
		flow_spec_clear(&cmd.u.submit.spec);
		reply_text(d, process, ask, ASK_INVALID, "malformed job");
		return;
	}
	cmd.u.submit.job = job;
	cmd.u.submit.queue = q->name;
	w = dispatch_propose_wait(d, &cmd, submit_applied);
	flow_spec_clear(&cmd.u.submit.spec);
	if (w == NULL) {
		reply_text(d, process, ask, ASK_UNAVAILABLE, "not leading");
		return;
	}
	w->process = process;
	w->ask = ask->id;
	w->job = job;
	w->began_ms = mono_ms();
}

static void
watch_job(
    struct dispatch *d, uint64_t process, const struct ask *ask, uint64_t job)
{
	struct watcher *w = g_new0(struct watcher, 1);

	*w = (struct watcher){ .process = process,
		.ask = ask->id,
		.job = job,
		.due_ms = mono_ms() + STATE_HOLD_MS };
	g_queue_push_tail(&d->watchers, w);
}

static void
ask_state(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	uint64_t id;
	const struct flow_job *job;

	if (route(d, process, ask, &id) == NULL)
		return;
	job = flow_job(d->conf.flow, id);
	if (job == NULL)
		reply_text(d, process, ask, ASK_NO_JOB, "");
	else if (job->state != FLOW_RUNNING)
		reply_text(
		    d, process, ask, ASK_DONE, flow_state_name(job->state));
	else
		watch_job(d, process, ask, id);
}

static void
tell_watcher(struct dispatch *d, struct watcher *w)
{
	const struct flow_job *job = flow_job(d->conf.flow, w->job);
	struct ask ask = { .id = w->ask };

	if (job == NULL)
		reply_text(d, w->process, &ask, ASK_NO_JOB, "");
	else
		reply_text(
		    d, w->process, &ask, ASK_DONE, flow_state_name(job->state));
	g_free(w);
}

void
asks_job_over(struct dispatch *d, const struct flow_job *job)
{
	GList *next;

	for (GList *i = d->watchers.head; i != NULL; i = next) {
		struct watcher *w = i->data;

		next = i->next;
		if (w->job != job->id)
			continue;
		g_queue_delete_link(&d->watchers, i);
		tell_watcher(d, w);
	}
}

/* All are held for as long: the first is due first. */
void
asks_scan(struct dispatch *d, int64_t now)
{
	struct watcher *w;

	while (
	    (w = g_queue_peek_head(&d->watchers)) != NULL && w->due_ms <= now)
		tell_watcher(d, g_queue_pop_head(&d->watchers));
}

static void
cancel_applied(
    struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	struct ask ask = { .id = w->ask };

	log_info("dispatch", "event=cancelled job=%016" G_GINT64_MODIFIER "x",
	    w->job);
	reply_text(d, w->process, &ask,
	    outcome == FLOW_NOT_FOUND ? ASK_NO_JOB : ASK_DONE, "");
}

static void
ask_cancel(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CANCEL };
	const struct flow_job *job;
	struct wait *w;
	uint64_t id;

	if (route(d, process, ask, &id) == NULL)
		return;
	job = flow_job(d->conf.flow, id);
	if (job == NULL || flow_job_ended(job)) {
		reply_text(
		    d, process, ask, job == NULL ? ASK_NO_JOB : ASK_DONE, "");
		return;
	}
	cmd.u.cancel = id;
	w = dispatch_propose_wait(d, &cmd, cancel_applied);
	if (w == NULL) {
		reply_text(d, process, ask, ASK_UNAVAILABLE, "not leading");
		return;
	}
	w->process = process;
	w->ask = ask->id;
	w->job = id;
}

/* Jobs of a queue that count as running, though no worker has begun them. */
struct unbegun {
	const struct dispatch *d;
	const struct flow_queue *queue;
	uint32_t count;
};

static void
count_unbegun(void *arg, const struct flow_job *job)
{
	struct unbegun *u = arg;

	u->count += job->state == FLOW_RUNNING &&
	    strcmp(job->queue->name, u->queue->name) == 0 &&
	    !g_hash_table_contains(u->d->begun, &job->id);
}

static void
ask_count(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	const char *rest = NULL;
	const struct flow_queue *q =
	    flow_route(d->conf.flow, ask->host, ask->path, &rest);
	struct unbegun u = { .d = d, .queue = q };
	char number[16];

	if (q == NULL || *rest != '\0') {
		uint64_t id;

		/* Not a queue's own path: the usual answers hold. */
		if (route(d, process, ask, &id) != NULL)
			reply_text(d, process, ask, ASK_NO_JOB, "");
		return;
	}
	flow_each_active_job(d->conf.flow, count_unbegun, &u);
	g_snprintf(number, sizeof(number), "%u",
	    flow_queued_count(d->conf.flow, q->name) + u.count);
	reply_text(d, process, ask, ASK_DONE, number);
}

static void
worker_applied(
    struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	struct ask ask = { .id = w->ask };

	reply_text(d, w->process, &ask, ASK_DONE, "");
}

static bool
same_text(const char *a, const char *b)
{
	return g_strcmp0(a == NULL ? "" : a, b == NULL ? "" : b) == 0;
}

static bool
same_worker(const struct flow_worker *a, const struct flow_worker *b)
{
	if (a->started_ms != b->started_ms || a->draining != b->draining ||
	    !same_text(a->address, b->address) ||
	    !same_text(a->pool, b->pool) ||
	    !same_text(a->data_center, b->data_center) ||
	    !same_text(a->rack, b->rack) || !same_text(a->vm, b->vm) ||
	    !resources_equal(&a->capacity, &b->capacity) ||
	    a->labels->len != b->labels->len)
		return false;
	for (guint i = 0; i < a->labels->len; i++)
		if (strcmp(a->labels->pdata[i], b->labels->pdata[i]) != 0)
			return false;
	return true;
}

static void
propose_worker(struct dispatch *d, uint64_t process, const struct ask *ask,
    const struct flow_worker *in)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER, .u.worker = *in };
	struct wait *w = dispatch_propose_wait(d, &cmd, worker_applied);

	if (w == NULL) {
		reply_text(d, process, ask, ASK_UNAVAILABLE, "not leading");
		return;
	}
	w->process = process;
	w->ask = ask->id;
}

/* What a scan for a later life at the same address looks for and finds. */
struct later {
	const struct flow_worker *than;
	bool found;
};

static void
find_later(void *arg, const struct flow_worker *w)
{
	struct later *l = arg;

	l->found |= w->started_ms > l->than->started_ms &&
	    strcmp(w->address, l->than->address) == 0;
}

static void
take_worker(struct dispatch *d, uint64_t process, const struct ask *ask,
    struct flow_worker *in)
{
	const struct flow_worker *known =
	    flow_worker_named(d->conf.flow, in->name);
	struct holder *h = known == NULL ? NULL : holder_find(d, known->id);
	struct later later = { .than = in };

	flow_each_worker(d->conf.flow, find_later, &later);
	if (later.found ||
	    (known != NULL && known->started_ms > in->started_ms)) {
		log_info("dispatch",
		    "event=word-of-an-earlier-life worker=%s "
		    "born=%" G_GINT64_FORMAT,
		    in->name, in->started_ms);
		reply_text(d, process, ask, ASK_DONE, "");
		return;
	}
	if (h != NULL && known->started_ms == in->started_ms) {
		if (ask->number < h->beat_seq) {
			reply_text(d, process, ask, ASK_DONE, "");
			return;
		}
		h->beat_seq = ask->number;
		h->beat_ms = mono_ms();
		/* One that leaves does not come back in the same life. */
		in->draining |= known->draining;
		if (same_worker(known, in) && !h->closing) {
			reply_text(d, process, ask, ASK_DONE, "");
			return;
		}
	}
	propose_worker(d, process, ask, in);
}

static void
ask_worker(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	struct flow_worker in = { 0 };
	gsize len;
	const void *data = g_bytes_get_data(ask->body, &len);

	if (!flow_worker_decode(data, len, &in)) {
		reply_text(d, process, ask, ASK_INVALID, "malformed worker");
		return;
	}
	take_worker(d, process, ask, &in);
	flow_worker_clear(&in);
}

static void
ask_worker_left(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	const struct flow_worker *known =
	    flow_worker_named(d->conf.flow, ask->path);
	struct holder *h = known == NULL ? NULL : holder_find(d, known->id);
	struct flow_worker w;

	if (h == NULL) {
		reply_text(d, process, ask, ASK_DONE, "");
		return;
	}
	log_info("dispatch", "event=worker-left worker=%s", h->name);
	h->left = true;
	flow_worker_copy(&w, known);
	w.draining = true;
	propose_worker(d, process, ask, &w);
	flow_worker_clear(&w);
}

static void
config_applied(
    struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	struct ask ask = { .id = w->ask };

	reply_text(d, w->process, &ask, ASK_DONE, "");
}

static void
ask_config(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG };
	gsize len;
	const void *data = g_bytes_get_data(ask->body, &len);
	struct wait *w;

	if (!flow_config_decode(data, len, &cmd.u.config)) {
		reply_text(
		    d, process, ask, ASK_INVALID, "malformed configuration");
		return;
	}
	if (cmd.u.config.version <= flow_config(d->conf.flow)->version) {
		flow_config_clear(&cmd.u.config);
		reply_text(d, process, ask, ASK_DONE, "");
		return;
	}
	log_info("dispatch",
	    "event=config-proposed version=%" G_GUINT64_FORMAT
	    " over=%" G_GUINT64_FORMAT " bytes=%zu",
	    cmd.u.config.version, flow_config(d->conf.flow)->version,
	    (size_t)len);
	w = dispatch_propose_wait(d, &cmd, config_applied);
	flow_config_clear(&cmd.u.config);
	if (w == NULL) {
		reply_text(d, process, ask, ASK_UNAVAILABLE, "not leading");
		return;
	}
	w->process = process;
	w->ask = ask->id;
}

static void
ask_config_read(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	struct pending_read *r = g_new0(struct pending_read, 1);

	*r = (struct pending_read){
		.process = process, .ask = ask->id, .context = d->context + 1
	};
	g_queue_push_tail(&d->reads, r);
	dispatch_advanced(d);
}

void
asks_confirmed(struct dispatch *d, bool ok)
{
	const struct flow_config *c = flow_config(d->conf.flow);
	struct pending_read *r;

	while ((r = g_queue_peek_head(&d->reads)) != NULL &&
	    (!ok || r->context <= d->context)) {
		g_queue_pop_head(&d->reads);
		if (!ok || c->version == 0)
			reply(d, r->process, r->ask, ASK_UNAVAILABLE, "", 0,
			    RETRY_MS);
		else
			reply(d, r->process, r->ask, ASK_DONE,
			    g_bytes_get_data(c->document, NULL),
			    g_bytes_get_size(c->document), 0);
		g_free(r);
	}
}

void
asks_drop(struct dispatch *d)
{
	g_queue_clear_full(&d->reads, g_free);
	g_queue_clear_full(&d->watchers, g_free);
}

static void (*const rows[ASK_OP_COUNT])(
    struct dispatch *d, uint64_t process, const struct ask *ask) = {
	[ASK_SUBMIT] = ask_submit,
	[ASK_STATE] = ask_state,
	[ASK_CANCEL] = ask_cancel,
	[ASK_COUNT] = ask_count,
	[ASK_WORKER] = ask_worker,
	[ASK_WORKER_LEFT] = ask_worker_left,
	[ASK_CONFIG] = ask_config,
	[ASK_CONFIG_READ] = ask_config_read,
};

void
asks_take(struct dispatch *d, uint64_t process, const struct ask *ask)
{
	if (ask->op >= ASK_OP_COUNT || ask->host == NULL || ask->path == NULL ||
	    ask->body == NULL) {
		reply_text(d, process, ask, ASK_INVALID, "malformed ask");
		return;
	}
	if (!dispatch_may_act(d)) {
		reply_text(d, process, ask, ASK_UNAVAILABLE, "not leading");
		return;
	}
	rows[ask->op](d, process, ask);
}
