/* Requests that entries forward for callers, workers and operators. */
#include <stdlib.h>

#include "auth.h"
#include "impl.h"
#include "settings.h"

#define JOB_ID_DIGITS 16 /* hexadecimal */
#define RETRY_MS 1000 /* suggested if no better estimate exists */

/*
 * How long the answer about a running job is delayed in case the job ends.
 * Callers tend to send the request just after the last task has ended, which is
 * known here only after a poll and a commit. After the answer "running" they
 * would repeat it much later.
 */
#define STATE_DELAY_MS 150

/* A request for the state of a running job, answered when the job ends, at
 * due_ms at the latest. */
struct state_request {
	uint64_t process;
	struct request request;
	uint64_t job;
	int64_t due_ms;
};

/* A read that is answered once leadership has been confirmed again. */
struct pending_read {
	uint64_t process;
	uint64_t request;
	uint64_t context; /* of the first confirmation that suffices */
};

struct request
request_copy(const struct request *in)
{
	struct request out = *in;

	out.host = g_strdup(in->host == NULL ? "" : in->host);
	out.path = g_strdup(in->path == NULL ? "" : in->path);
	out.body = in->body == NULL ? g_bytes_new_static("", 0)
				    : g_bytes_ref(in->body);
	out.credential = g_strdup(in->credential);
	return out;
}

void
request_clear(struct request *r)
{
	g_free(r->host);
	g_free(r->path);
	g_bytes_unref(r->body);
	g_free(r->credential);
}

static void
reply(struct dispatch *d, uint64_t process, uint64_t id,
    enum request_result result, const void *text, size_t len, int64_t retry_ms)
{
	struct answer a = { .id = id,
		.result = result,
		.retry_ms = retry_ms,
		.text = g_bytes_new(text, len) };

	d->ops->answer(d->arg, process, &a);
	g_bytes_unref(a.text);
}

static void
reply_text(struct dispatch *d, uint64_t process, const struct request *req,
    enum request_result result, const char *text)
{
	reply(d, process, req->id, result, text, strlen(text), 0);
}

static bool
parse_job(const char *text, uint64_t *id)
{
	if (strlen(text) != JOB_ID_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != JOB_ID_DIGITS)
		return false;
	*id = g_ascii_strtoull(text, NULL, 16);
	return true;
}

/* The organisation whose key a request carries, or NULL. */
static const struct flow_organisation *
organisation_of(const struct dispatch *d, const struct request *req)
{
	return flow_organisation_of_key(d->conf.flow, req->credential);
}

/* What logs show of the key of a request. */
static const char *
fingerprint(const struct request *req, char text[AUTH_FINGERPRINT_DIGITS + 1])
{
	if (req->credential == NULL)
		return "none";
	auth_fingerprint(req->credential, text);
	return text;
}

/*
 * Says whether a request may use a queue: it carries the key of an
 * organisation in the current configuration, or needs none. Checked for each
 * request by the leader, whose state is current, so a revoked key works
 * nowhere once its revocation is acknowledged.
 */
static bool
is_authenticated(
    struct dispatch *d, const struct request *req, const struct flow_queue *q)
{
	char text[AUTH_FINGERPRINT_DIGITS + 1];

	if (flow_config(d->conf.flow)->organisations == NULL || q->public ||
	    organisation_of(d, req) != NULL)
		return true;
	d->meter.unauthenticated->value++;
	log_info("dispatch",
	    "event=unauthenticated op=%u path=%s key=%s "
	    "version=%" G_GUINT64_FORMAT,
	    req->op, req->path, fingerprint(req, text),
	    flow_config(d->conf.flow)->version);
	return false;
}

/* Finds the queue of a request. If there is none, or the request may not use
 * it, it answers the request and returns NULL. */
static const struct flow_queue *
find_queue(struct dispatch *d, uint64_t process, const struct request *req,
    const char **rest)
{
	const struct flow_queue *q =
	    flow_route(d->conf.flow, req->host, req->path, rest);

	if (q == NULL) {
		if (flow_config(d->conf.flow)->version == 0)
			reply_text(d, process, req, REQUEST_UNAVAILABLE,
			    "no configuration yet");
		else
			reply_text(d, process, req, REQUEST_NO_QUEUE, "");
		return NULL;
	}
	if (is_authenticated(d, req, q))
		return q;
	reply_text(d, process, req, REQUEST_UNAUTHENTICATED, "");
	return NULL;
}

/* Says whether a request may see and change a job: its organisation submitted
 * it, or the job has none. */
static bool
is_owner(const struct dispatch *d, const struct request *req,
    const struct flow_job *job)
{
	const struct flow_organisation *o;

	if (job->organisation == NULL ||
	    flow_config(d->conf.flow)->organisations == NULL)
		return true;
	o = organisation_of(d, req);
	return o != NULL && strcmp(o->name, job->organisation) == 0;
}

/*
 * Finds the queue and the id of the job that a request is about, and the job
 * if it is known. If the path names no job, or the job is another
 * organisation's, it answers the request and returns NULL.
 */
static const struct flow_queue *
find_job(struct dispatch *d, uint64_t process, const struct request *req,
    uint64_t *id, const struct flow_job **job)
{
	const char *rest = NULL;
	const struct flow_queue *q = find_queue(d, process, req, &rest);
	const struct flow_organisation *o;
	char text[AUTH_FINGERPRINT_DIGITS + 1];

	*job = NULL;
	if (q == NULL)
		return NULL;
	if (!parse_job(rest, id)) {
		reply_text(d, process, req, REQUEST_NO_JOB, "");
		return NULL;
	}
	*job = flow_job(d->conf.flow, *id);
	if (*job == NULL || is_owner(d, req, *job))
		return q;
	o = organisation_of(d, req);
	log_info("dispatch",
	    "event=forbidden job=%016" G_GINT64_MODIFIER
	    "x op=%u organisation=\"%s\" key=%s owner=\"%s\"",
	    *id, req->op, o == NULL ? "" : o->name, fingerprint(req, text),
	    (*job)->organisation);
	reply_text(d, process, req, REQUEST_FORBIDDEN, "");
	return NULL;
}

static void
submit_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	struct request req = { .id = p->request };

	timer_add(d->meter.commit, mono_ms() - p->received_ms);
	if (outcome == FLOW_NOT_FOUND) {
		reply_text(d, p->process, &req, REQUEST_NO_QUEUE, "");
		return;
	}
	if (outcome == FLOW_ACCEPTED)
		d->meter.accepted->value++;
	log_info("dispatch",
	    "event=accepted job=%016" G_GINT64_MODIFIER
	    "x outcome=%s commit_ms=%" G_GINT64_FORMAT,
	    p->job, outcome == FLOW_ACCEPTED ? "new" : "known",
	    mono_ms() - p->received_ms);
	reply_text(d, p->process, &req, REQUEST_DONE, "");
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
find_submit(gpointer key, gpointer value, gpointer arg)
{
	const struct proposal *p = value;
	struct proposal *out = arg;

	if (p->fn == submit_applied && p->job == out->job)
		out->index = p->index;
}

/* Says whether the job is proposed already, by a request that was sent again:
 * it may be committed, so it can't be refused any more. */
static bool
submit_proposed(struct dispatch *d, uint64_t job)
{
	struct proposal found = { .job = job };

	g_hash_table_foreach(d->proposals, find_submit, &found);
	return found.index != 0;
}

/* Refuses a job that can't start under the cap of its organisation. Says
 * whether it did. */
static bool
refuse_misfit(struct dispatch *d, uint64_t process, const struct request *req,
    const struct flow_organisation *owner, const struct flow_cmd *cmd)
{
	uint32_t step = 0;
	const char *why = owner == NULL
	    ? NULL
	    : organisation_misfit(owner, &cmd->u.submit.spec, &step);

	if (why == NULL || submit_proposed(d, cmd->u.submit.job))
		return false;
	d->meter.refused_by_cap->value++;
	log_info("dispatch",
	    "event=refused why=%s path=%s organisation=%s step=%u"
	    " cap_millicpus=%" G_GINT64_FORMAT " cap_memory=%" G_GINT64_FORMAT
	    " cap_accelerators=%" G_GINT64_FORMAT,
	    why, req->path, owner->name, step, owner->cap.millicpus,
	    owner->cap.memory, owner->cap.accelerators);
	reply(d, process, req->id, REQUEST_REFUSED, why, strlen(why),
	    RETRY_CAP_MS);
	return true;
}

/* Refuses a job if that costs callers less than to accept it. */
static bool
refuse(struct dispatch *d, uint64_t process, const struct request *req,
    const struct flow_queue *q, const struct flow_cmd *cmd)
{
	int64_t retry_ms;

	if (!d->conf.yield_under_overload ||
	    submit_proposed(d, cmd->u.submit.job))
		return false;
	retry_ms = admission_retry_ms(d, q, cmd->u.submit.job,
	    &cmd->u.submit.spec, cmd->u.submit.organisation);
	if (retry_ms > 0)
		reply(d, process, req->id, REQUEST_REFUSED, "", 0, retry_ms);
	return retry_ms > 0;
}

/* Refuses a job that its organisation sends beyond its weight while work waits
 * for capacity. Says whether it did. */
static bool
refuse_over_entitlement(struct dispatch *d, uint64_t process,
    const struct request *req, const struct flow_organisation *owner,
    const struct flow_queue *q, const struct flow_cmd *cmd)
{
	int64_t retry_ms;

	if (owner == NULL || submit_proposed(d, cmd->u.submit.job))
		return false;
	retry_ms = organisation_refuse_ms(
	    d, owner->name, req->path, q, &cmd->u.submit.spec);
	if (retry_ms == 0)
		return false;
	d->meter.refused->value++;
	reply(d, process, req->id, REQUEST_REFUSED, "over-entitlement",
	    strlen("over-entitlement"), retry_ms);
	return true;
}

static void
handle_submit(struct dispatch *d, uint64_t process, const struct request *req)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
	uint64_t job;
	const struct flow_job *known;
	const struct flow_queue *q = find_job(d, process, req, &job, &known);
	const struct flow_organisation *owner;
	gsize len;
	const void *data;
	struct proposal *p;

	/* A request that was answered may not exist any more. */
	if (q == NULL)
		return;
	owner = organisation_of(d, req);
	if (known != NULL) {
		reply_text(d, process, req, REQUEST_DONE, "");
		return;
	}
	data = g_bytes_get_data(req->body, &len);
	if (!flow_spec_decode(data, len, &cmd.u.submit.spec) ||
	    !spec_valid(&cmd.u.submit.spec)) {
		flow_spec_clear(&cmd.u.submit.spec);
		reply_text(d, process, req, REQUEST_INVALID, "malformed job");
		return;
	}
	cmd.u.submit.job = job;
	cmd.u.submit.queue = q->name;
	cmd.u.submit.organisation = owner == NULL ? NULL : owner->name;
	if (refuse_misfit(d, process, req, owner, &cmd) ||
	    refuse_over_entitlement(d, process, req, owner, q, &cmd) ||
	    refuse(d, process, req, q, &cmd)) {
		flow_spec_clear(&cmd.u.submit.spec);
		return;
	}
	p = dispatch_propose_then(d, &cmd, submit_applied);
	flow_spec_clear(&cmd.u.submit.spec);
	if (p == NULL) {
		reply_text(d, process, req, REQUEST_UNAVAILABLE, "not leading");
		return;
	}
	p->process = process;
	p->request = req->id;
	p->job = job;
	p->received_ms = mono_ms();
}

/* Fills in what a request to explain is about. If the path names no queue, or
 * its key is not valid for it, it answers the request and returns false. A
 * request without a key is explained all the same. */
static bool
explain_target(struct dispatch *d, uint64_t process, const struct request *req,
    struct explain_request *out)
{
	const char *rest = NULL;

	out->queue = flow_route(d->conf.flow, req->host, req->path, &rest);
	if (out->queue == NULL || req->credential != NULL)
		out->queue = find_queue(d, process, req, &rest);
	if (out->queue == NULL)
		return false;
	out->owner = organisation_of(d, req);
	out->unauthenticated = out->owner == NULL && !out->queue->public &&
	    flow_config(d->conf.flow)->organisations != NULL;
	if (*rest == '\0')
		return true;
	if (!parse_job(rest, &out->id)) {
		reply_text(d, process, req, REQUEST_INVALID,
		    "path: the job's id must be 16 hexadecimal digits");
		return false;
	}
	out->known = flow_job(d->conf.flow, out->id);
	out->proposed = submit_proposed(d, out->id);
	if (out->known == NULL || is_owner(d, req, out->known))
		return true;
	if (!out->unauthenticated) {
		reply_text(d, process, req, REQUEST_FORBIDDEN, "");
		return false;
	}
	out->known = NULL; /* not shown without its organisation's key */
	out->id = 0;
	return true;
}

static void
handle_explain(struct dispatch *d, uint64_t process, const struct request *req)
{
	char key[AUTH_FINGERPRINT_DIGITS + 1];
	struct explain_request r = { .fingerprint = fingerprint(req, key) };
	struct flow_spec spec = { 0 };
	gsize len;
	const void *data;
	char *text;

	if (!explain_target(d, process, req, &r))
		return;
	data = g_bytes_get_data(req->body, &len);
	if (!flow_spec_decode(data, len, &spec) || !spec_valid(&spec)) {
		flow_spec_clear(&spec);
		reply_text(d, process, req, REQUEST_INVALID, "malformed job");
		return;
	}
	r.spec = &spec;
	text = explain_job(d, &r);
	flow_spec_clear(&spec);
	reply_text(d, process, req, REQUEST_DONE, text);
	free(text);
}

static void
add_state_request(struct dispatch *d, uint64_t process,
    const struct request *req, uint64_t job)
{
	struct state_request *r = g_new0(struct state_request, 1);

	*r = (struct state_request){ .process = process,
		.request = request_copy(req),
		.job = job,
		.due_ms = mono_ms() + STATE_DELAY_MS };
	g_queue_push_tail(&d->state_requests, r);
}

static void
reply_state(struct dispatch *d, uint64_t process, const struct request *req,
    const struct flow_job *job)
{
	if (job == NULL)
		reply_text(d, process, req, REQUEST_NO_JOB, "");
	else
		reply_text(
		    d, process, req, REQUEST_DONE, flow_state_name(job->state));
}

static void
handle_state(struct dispatch *d, uint64_t process, const struct request *req)
{
	uint64_t id;
	const struct flow_job *job;

	if (find_job(d, process, req, &id, &job) == NULL)
		return;
	if (job != NULL && job->state == FLOW_RUNNING)
		add_state_request(d, process, req, id);
	else
		reply_state(d, process, req, job);
}

static void
state_request_free(void *arg)
{
	struct state_request *r = arg;

	request_clear(&r->request);
	g_free(r);
}

/* Answers a delayed request as if it came now: its key may have been revoked
 * during the delay, or this leader replaced. */
static void
answer_state_request(struct dispatch *d, struct state_request *r)
{
	const struct flow_job *job;
	uint64_t id;

	if (!dispatch_may_act(d))
		reply_text(d, r->process, &r->request, REQUEST_UNAVAILABLE,
		    "not leading");
	else if (find_job(d, r->process, &r->request, &id, &job) != NULL)
		reply_state(d, r->process, &r->request, job);
	state_request_free(r);
}

void
state_requests_job_ended(struct dispatch *d, const struct flow_job *job)
{
	GList *next;

	for (GList *i = d->state_requests.head; i != NULL; i = next) {
		struct state_request *r = i->data;

		next = i->next;
		if (r->job != job->id)
			continue;
		g_queue_delete_link(&d->state_requests, i);
		answer_state_request(d, r);
	}
}

/* All are delayed equally long, so the queue is in order of due_ms. */
void
state_requests_scan(struct dispatch *d, int64_t now)
{
	struct state_request *r;

	while ((r = g_queue_peek_head(&d->state_requests)) != NULL &&
	    r->due_ms <= now)
		answer_state_request(d, g_queue_pop_head(&d->state_requests));
}

static void
cancel_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	struct request req = { .id = p->request };

	log_info("dispatch", "event=cancelled job=%016" G_GINT64_MODIFIER "x",
	    p->job);
	reply_text(d, p->process, &req,
	    outcome == FLOW_NOT_FOUND ? REQUEST_NO_JOB : REQUEST_DONE, "");
}

static void
handle_cancel(struct dispatch *d, uint64_t process, const struct request *req)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CANCEL };
	const struct flow_job *job;
	struct proposal *p;
	uint64_t id;

	if (find_job(d, process, req, &id, &job) == NULL)
		return;
	if (job == NULL || flow_job_ended(job)) {
		reply_text(d, process, req,
		    job == NULL ? REQUEST_NO_JOB : REQUEST_DONE, "");
		return;
	}
	cmd.u.cancel = id;
	p = dispatch_propose_then(d, &cmd, cancel_applied);
	if (p == NULL) {
		reply_text(d, process, req, REQUEST_UNAVAILABLE, "not leading");
		return;
	}
	p->process = process;
	p->request = req->id;
	p->job = id;
}

/* Counts the jobs of a queue that are in state running although no worker has
 * started any of their runs. */
struct not_started {
	const struct dispatch *d;
	const struct flow_queue *queue;
	uint32_t count;
};

static void
count_not_started(void *arg, const struct flow_job *job)
{
	struct not_started *c = arg;

	c->count += job->state == FLOW_RUNNING &&
	    strcmp(job->queue->name, c->queue->name) == 0 &&
	    !g_hash_table_contains(c->d->started_jobs, &job->id);
}

static void
handle_count(struct dispatch *d, uint64_t process, const struct request *req)
{
	const char *rest = NULL;
	const struct flow_queue *q = find_queue(d, process, req, &rest);
	struct not_started c = { .d = d, .queue = q };
	char number[16];

	if (q == NULL)
		return;
	if (*rest != '\0') {
		reply_text(d, process, req, REQUEST_NO_JOB, "");
		return;
	}
	flow_each_active_job(d->conf.flow, count_not_started, &c);
	g_snprintf(number, sizeof(number), "%u",
	    flow_queued_count(d->conf.flow, q->name) + c.count);
	reply_text(d, process, req, REQUEST_DONE, number);
}

static void
worker_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	struct request req = { .id = p->request };

	reply_text(d, p->process, &req, REQUEST_DONE, "");
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
propose_worker(struct dispatch *d, uint64_t process, const struct request *req,
    const struct flow_worker *in)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER, .u.worker = *in };
	struct proposal *p = dispatch_propose_then(d, &cmd, worker_applied);

	if (p == NULL) {
		reply_text(d, process, req, REQUEST_UNAVAILABLE, "not leading");
		return;
	}
	p->process = process;
	p->request = req->id;
	p->worker = g_strdup(in->name);
	p->started_ms = in->started_ms;
	p->seq = req->seq;
}

/* Says whether a later heartbeat of a worker, or of a later incarnation, is
 * being committed. */
static bool
later_proposed(
    const struct dispatch *d, const struct flow_worker *in, int64_t seq)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->proposals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct proposal *p = value;

		if ((p->started_ms > in->started_ms ||
			(p->started_ms == in->started_ms && p->seq > seq)) &&
		    g_strcmp0(p->worker, in->name) == 0)
			return true;
	}
	return false;
}

static void
handle_heartbeat(struct dispatch *d, uint64_t process,
    const struct request *req, struct flow_worker *in)
{
	const struct flow_worker *known =
	    flow_worker_named(d->conf.flow, in->name);
	struct holder *h = known == NULL ? NULL : holder_find(d, known->id);
	const struct holder *latest = holder_latest_at(d, in->address);

	if ((latest != NULL && latest->started_ms > in->started_ms) ||
	    (known != NULL && known->started_ms > in->started_ms) ||
	    later_proposed(d, in, req->seq)) {
		log_info("dispatch",
		    "event=stale-heartbeat worker=%s "
		    "started_ms=%" G_GINT64_FORMAT,
		    in->name, in->started_ms);
		reply_text(d, process, req, REQUEST_DONE, "");
		return;
	}
	if (h != NULL && known->started_ms == in->started_ms) {
		if (req->seq < h->heartbeat_seq) {
			reply_text(d, process, req, REQUEST_DONE, "");
			return;
		}
		h->heartbeat_seq = req->seq;
		h->heartbeat_ms = mono_ms();
		if (h->deregistered && !in->draining && !known->draining) {
			log_info("dispatch",
			    "event=worker-stays worker=%s "
			    "seq=%" G_GINT64_FORMAT,
			    h->name, req->seq);
			h->deregistered = false;
		}
		/* An incarnation that has begun to drain keeps draining. */
		in->draining |= known->draining;
		if (same_worker(known, in) && !h->removing) {
			reply_text(d, process, req, REQUEST_DONE, "");
			return;
		}
	}
	in->seq = req->seq;
	propose_worker(d, process, req, in);
}

static void
handle_worker(struct dispatch *d, uint64_t process, const struct request *req)
{
	struct flow_worker in = { 0 };
	gsize len;
	const void *data = g_bytes_get_data(req->body, &len);

	if (!flow_worker_decode(data, len, &in) ||
	    !address_valid(in.address, false)) {
		flow_worker_clear(&in);
		reply_text(
		    d, process, req, REQUEST_INVALID, "malformed worker");
		return;
	}
	handle_heartbeat(d, process, req, &in);
	flow_worker_clear(&in);
}

/*
 * The call names a worker, not its incarnation, and an entry may have held it
 * up until the next one is at work under the same name. A worker that leaves
 * has said before that it drains, which is in the replicated state. Of one that
 * hasn't, it only counts until it says again that it is ready.
 */
static void
handle_worker_left(
    struct dispatch *d, uint64_t process, const struct request *req)
{
	const struct flow_worker *known =
	    flow_worker_named(d->conf.flow, req->path);
	struct holder *h = known == NULL ? NULL : holder_find(d, known->id);

	if (h != NULL) {
		log_info("dispatch", "event=worker-left worker=%s draining=%d",
		    h->name, known->draining);
		h->deregistered = true;
	}
	reply_text(d, process, req, REQUEST_DONE, "");
}

static void
config_applied(
    struct dispatch *d, struct proposal *p, enum flow_apply_result outcome)
{
	struct request req = { .id = p->request };

	reply_text(d, p->process, &req, REQUEST_DONE, "");
}

static void
handle_config(struct dispatch *d, uint64_t process, const struct request *req)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG,
		.encoded_config = req->body };
	gsize len;
	const void *data = g_bytes_get_data(req->body, &len);
	struct proposal *p;

	if (!flow_config_decode(data, len, &cmd.u.config)) {
		reply_text(d, process, req, REQUEST_INVALID,
		    "malformed configuration");
		return;
	}
	if (cmd.u.config.version <= flow_config(d->conf.flow)->version) {
		flow_config_clear(&cmd.u.config);
		reply_text(d, process, req, REQUEST_DONE, "");
		return;
	}
	log_info("dispatch",
	    "event=config-proposed version=%" G_GUINT64_FORMAT
	    " previous=%" G_GUINT64_FORMAT " bytes=%zu",
	    cmd.u.config.version, flow_config(d->conf.flow)->version,
	    (size_t)len);
	p = dispatch_propose_then(d, &cmd, config_applied);
	flow_config_clear(&cmd.u.config);
	if (p == NULL) {
		reply_text(d, process, req, REQUEST_UNAVAILABLE, "not leading");
		return;
	}
	p->process = process;
	p->request = req->id;
}

static void
handle_config_read(
    struct dispatch *d, uint64_t process, const struct request *req)
{
	struct pending_read *r = g_new0(struct pending_read, 1);

	*r = (struct pending_read){ .process = process,
		.request = req->id,
		.context = d->context + 1 };
	g_queue_push_tail(&d->reads, r);
	dispatch_batch_applied(d);
}

static void
answer_config_read(struct dispatch *d, const struct pending_read *r)
{
	const struct flow_config *c = flow_config(d->conf.flow);
	gsize len;
	const void *document = g_bytes_get_data(c->document, &len);

	if (r->process != 0 && len > REQUEST_FORWARD_MAX_BYTES)
		reply(d, r->process, r->request, REQUEST_AT_LEADER, "", 0, 0);
	else
		reply(
		    d, r->process, r->request, REQUEST_DONE, document, len, 0);
}

void
requests_read_done(struct dispatch *d, bool ok)
{
	const struct flow_config *c = flow_config(d->conf.flow);
	struct pending_read *r;

	while ((r = g_queue_peek_head(&d->reads)) != NULL &&
	    (!ok || r->context <= d->context)) {
		g_queue_pop_head(&d->reads);
		if (!ok || c->version == 0)
			reply(d, r->process, r->request, REQUEST_UNAVAILABLE,
			    "", 0, RETRY_MS);
		else
			answer_config_read(d, r);
		g_free(r);
	}
}

void
requests_drop(struct dispatch *d)
{
	g_queue_clear_full(&d->reads, g_free);
	g_queue_clear_full(&d->state_requests, state_request_free);
}

static void (*const handlers[REQUEST_OP_COUNT])(
    struct dispatch *d, uint64_t process, const struct request *req) = {
	[REQUEST_SUBMIT] = handle_submit,
	[REQUEST_STATE] = handle_state,
	[REQUEST_CANCEL] = handle_cancel,
	[REQUEST_COUNT] = handle_count,
	[REQUEST_WORKER] = handle_worker,
	[REQUEST_WORKER_LEFT] = handle_worker_left,
	[REQUEST_CONFIG] = handle_config,
	[REQUEST_CONFIG_READ] = handle_config_read,
	[REQUEST_EXPLAIN] = handle_explain,
};

void
requests_handle(struct dispatch *d, uint64_t process, const struct request *req)
{
	if (req->op >= REQUEST_OP_COUNT || req->host == NULL ||
	    req->path == NULL || req->body == NULL) {
		reply_text(
		    d, process, req, REQUEST_INVALID, "malformed request");
		return;
	}
	if (!dispatch_may_act(d)) {
		reply_text(d, process, req, REQUEST_UNAVAILABLE, "not leading");
		return;
	}
	handlers[req->op](d, process, req);
}
