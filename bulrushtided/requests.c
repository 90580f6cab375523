/* Requests forwarded by processes: proposals, reads and waits for jobs. */
#include <string.h>

#include "api.h"
#include "leader_impl.h"

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503
#define RETRY_AFTER_S 1

void
read_wait_free(void *arg)
{
	struct read_wait *r = arg;

	shape_clear_message(proto_shape(FRAME_REQUEST), &r->request);
	g_free(r);
}

/*
 * This leader has not proposed the request, but an earlier one may have. So
 * the sender sends it again or answers that the result is unknown.
 */
static void
reply_retry(struct leader *l, uint64_t client, uint64_t request)
{
	client_reply(l, client, request, REPLY_RETRY, NULL, 0);
}

/* Rejects a request that certainly has no effect. */
static void
reply_not_run(
    struct leader *l, uint64_t client, uint64_t request, const char *message)
{
	client_reply(l, client, request, HTTP_UNAVAILABLE,
	    api_reply(OUT_NOT_RUN, "unavailable", message), RETRY_AFTER_S);
}

static uint32_t
http_status(const struct cell_result *result)
{
	switch (result->outcome) {
	case OUT_ACCEPTED:
		return HTTP_OK;
	case OUT_CONFLICT:
		return HTTP_CONFLICT;
	case OUT_NOT_RUN:
		return HTTP_UNAVAILABLE;
	default:
		return HTTP_BAD_REQUEST;
	}
}

/* Answers with the result's outcome, reason and message. */
static void
reply_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	client_reply(l, w->client, w->request, http_status(result),
	    api_reply(result->outcome, result->reason, result->message),
	    result->outcome == OUT_NOT_RUN ? RETRY_AFTER_S : 0);
}

static char *
job_json(struct leader *l, const struct cell_job *job)
{
	char *message = NULL;
	const char *reason = NULL;
	char *json;

	if (job->state == JOB_ACTIVE)
		reason = orders_wait_reason(l, job->id, &message);
	json = api_job(l->cell, job, reason, message);
	g_free(message);
	return json;
}

static void
reply_job(struct leader *l, uint64_t client, uint64_t request, uint64_t id)
{
	const struct cell_job *job = cell_job(l->cell, id);

	if (job == NULL) {
		client_reply(l, client, request, HTTP_NOT_FOUND,
		    api_reply(OUT_INVALID, "no-such-job",
			"no job with this id is stored"),
		    0);
		return;
	}
	client_reply(l, client, request,
	    job->state == JOB_ENDED ? HTTP_OK : HTTP_ACCEPTED, job_json(l, job),
	    0);
}

/* Replies at once if the job has ended, otherwise when it does. */
static void
wait_job(struct leader *l, uint64_t client, uint64_t request, uint64_t id,
    int64_t wait_ms)
{
	const struct cell_job *job = cell_job(l->cell, id);
	const struct client *c = client_by_serial(l, client);
	struct job_wait *w;

	if (job == NULL || job->state == JOB_ENDED || wait_ms <= 0 ||
	    c == NULL || c->draining) {
		reply_job(l, client, request, id);
		return;
	}
	w = g_new0(struct job_wait, 1);
	*w = (struct job_wait){ .client = client,
		.request = request,
		.job = id,
		.due_ms = mono_ms() + wait_ms };
	g_queue_push_tail(&l->job_waits, w);
}

/* Stores the request's trace context for the job's later spans. */
static void
record_trace(struct leader *l, const struct waiter *w, uint64_t job)
{
	const struct cell_job *j = cell_job(l->cell, job);
	uint64_t *key;

	if (!w->trace.sampled || j == NULL || j->state == JOB_ENDED ||
	    g_hash_table_size(l->traces) >= TRACE_SPANS)
		return;
	key = g_new(uint64_t, 1);
	*key = job;
	g_hash_table_insert(
	    l->traces, key, g_memdup2(&w->trace, sizeof(w->trace)));
}

static void
on_submit_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	const struct cell_job *j = cell_job(l->cell, result->job);

	log_info("leader",
	    "event=submitted job=%" G_GUINT64_FORMAT
	    " name=%s outcome=%s client=%" G_GUINT64_FORMAT,
	    result->job, j == NULL ? "" : j->spec.name,
	    outcome_name(result->outcome), w->client);
	if (result->outcome != OUT_ACCEPTED) {
		l->node->counters.requests_not_run->value++;
		reply_result(l, w, result);
		return;
	}
	l->node->counters.jobs_accepted->value++;
	record_trace(l, w, result->job);
	if (w->wait_ms > 0) {
		wait_job(l, w->client, w->request, result->job, w->wait_ms);
		return;
	}
	client_reply(l, w->client, w->request, HTTP_ACCEPTED,
	    g_strdup_printf(
		"{\"outcome\":\"accepted\",\"job\":%" G_GUINT64_FORMAT "}",
		result->job),
	    0);
}

static void
on_config_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	if (result->outcome == OUT_INVALID) {
		reply_result(l, w, result);
		return;
	}
	client_reply(l, w->client, w->request, http_status(result),
	    reports_config_reply(result), 0);
}

static void
on_announce_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	const struct cell_worker *worker = cell_worker(l->cell, result->worker);
	const struct cell_entry *home;

	if (result->outcome != OUT_ACCEPTED || worker == NULL) {
		reply_result(l, w, result);
		return;
	}
	home = cell_entry(l->cell, worker->home);
	if (home == NULL) {
		reply_not_run(l, w->client, w->request,
		    "no entry is available as the home");
		return;
	}
	client_reply(l, w->client, w->request, HTTP_OK,
	    reports_announce_reply(l, worker, home), 0);
}

static void
on_cancel_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	const struct cell_job *job;

	if (result->outcome != OUT_ACCEPTED) {
		client_reply(l, w->client, w->request, HTTP_NOT_FOUND,
		    api_reply(result->outcome, result->reason, result->message),
		    0);
		return;
	}
	job = result->job == 0 ? NULL : cell_job(l->cell, result->job);
	if (job != NULL) {
		client_reply(
		    l, w->client, w->request, HTTP_OK, job_json(l, job), 0);
		return;
	}
	client_reply(l, w->client, w->request, HTTP_OK,
	    g_strdup_printf(
		"{\"outcome\":\"cancelled\",\"jobs\":%" G_GUINT64_FORMAT "}",
		result->count),
	    0);
}

/* Proposes a command; fn answers the request with its result. */
static void
propose(struct leader *l, struct client *c, const struct request *req,
    struct cell_cmd *cmd,
    void (*fn)(struct leader *, struct waiter *, const struct cell_result *))
{
	struct waiter *w = leader_propose_wait(l, cmd, fn);

	if (w == NULL) {
		reply_retry(l, c->serial, req->id);
		return;
	}
	w->client = c->serial;
	w->request = req->id;
	w->wait_ms = req->wait_ms;
	w->proposed_us = mono_us();
	if (trace_parse(req->trace, &w->trace))
		w->trace_parent = tracer_start_span(&w->trace);
}

static void
handle_propose(struct leader *l, struct client *c, const struct request *req,
    struct cell_cmd *cmd)
{
	switch (cmd->type) {
	case CMD_SUBMIT:
		propose(l, c, req, cmd, on_submit_result);
		return;
	case CMD_CONFIG:
		propose(l, c, req, cmd, on_config_result);
		return;
	case CMD_CANCEL:
		propose(l, c, req, cmd, on_cancel_result);
		return;
	default:
		reply_not_run(l, c->serial, req->id, "unknown kind of request");
	}
}

/*
 * A worker keeps its home while the home is connected and not draining, unless
 * the home gets no heartbeats from it and it announced itself through another
 * entry. It gets a new epoch in any case: the reply renews its lease, and the
 * home has to count the lease from then on as well, which it does when it
 * receives the new epoch.
 */
static void
handle_announce(struct leader *l, struct client *c, const struct request *req,
    struct cell_cmd *cmd)
{
	struct cell_worker *w = &cmd->u.announce.worker;
	const struct cell_worker *known = cell_worker_named(l->cell, w->name);
	struct leader_worker *lw =
	    known == NULL ? NULL : workers_find(l, known->id);
	bool live = known != NULL && known->home != 0 &&
	    client_by_entry(l, known->home) != NULL &&
	    !client_by_entry(l, known->home)->draining;

	/* With a new epoch its lease would not expire. */
	if (lw != NULL && lw->unreached && known->state != WORKER_LOST &&
	    known->incarnation == w->incarnation) {
		reply_not_run(l, c->serial, req->id,
		    "the worker answers no request: its lease has to expire");
		return;
	}
	cmd->u.announce.new_epoch = true;
	if (live && lw != NULL && lw->silent && c->entry_id != 0 &&
	    c->entry_id != known->home && !c->draining)
		w->home = c->entry_id;
	else if (live)
		w->home = known->home;
	else
		w->home = workers_choose_home(l, w->name, w->data_center, 0);
	if (w->home == 0) {
		reply_not_run(
		    l, c->serial, req->id, "no entry is available as the home");
		return;
	}
	propose(l, c, req, cmd, on_announce_result);
}

/* The end is durable. The reply has no body, as ends are frequent. */
static void
on_end_result(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	if (result->outcome == OUT_ACCEPTED)
		client_reply(l, w->client, w->request, HTTP_OK, NULL, 0);
	else
		reply_result(l, w, result);
}

static void
handle_end(struct leader *l, struct client *c, const struct request *req,
    struct cell_cmd *cmd)
{
	const struct cell_worker *w =
	    req->name == NULL ? NULL : cell_worker_named(l->cell, req->name);

	if (w == NULL) {
		client_reply(l, c->serial, req->id, HTTP_OK,
		    api_reply(OUT_ACCEPTED, NULL, NULL), 0);
		return;
	}
	cmd->u.end.worker = w->id;
	propose(l, c, req, cmd, on_end_result);
}

static void
handle_leave(struct leader *l, struct client *c, const struct request *req)
{
	const struct cell_worker *w =
	    req->name == NULL ? NULL : cell_worker_named(l->cell, req->name);
	struct cell_cmd cmd = { .type = CMD_WORKER_STATE };

	if (w == NULL) {
		client_reply(l, c->serial, req->id, HTTP_NOT_FOUND,
		    api_reply(OUT_INVALID, "no-such-worker",
			"no worker with this name is known"),
		    0);
		return;
	}
	cmd.u.worker_state.worker = w->id;
	cmd.u.worker_state.state = WORKER_DRAINING;
	cmd.u.worker_state.set_aside = w->set_aside;
	propose(l, c, req, &cmd, reply_result);
}

static void
handle_replica(struct leader *l, struct client *c, const struct request *req)
{
	struct replica *r = l->node->replica;
	const char *name = req->name == NULL ? "" : req->name;
	const char *error = req->op == OP_REPLICA_ADD
	    ? replica_add_member(r, name)
	    : replica_remove_member(r, name);

	if (error != NULL) {
		client_reply(l, c->serial, req->id, HTTP_CONFLICT,
		    api_reply(OUT_CONFLICT, "membership", error), 0);
		return;
	}
	client_reply(l, c->serial, req->id, HTTP_ACCEPTED,
	    api_reply(OUT_ACCEPTED, NULL, NULL), 0);
}

/* Sends a node the request to drain over its session. */
static void
handle_drain(struct leader *l, struct client *c, const struct request *req)
{
	struct client *node =
	    req->name == NULL ? NULL : client_by_name(l, req->name);

	if (node == NULL) {
		client_reply(l, c->serial, req->id, HTTP_NOT_FOUND,
		    api_reply(OUT_INVALID, "no-such-node",
			"no node with this name is connected"),
		    0);
		return;
	}
	client_reply(l, c->serial, req->id, HTTP_ACCEPTED,
	    api_reply(OUT_ACCEPTED, NULL, NULL), 0);
	proto_send_empty(node->link, FRAME_LEAVE);
}

/* Spans are not replicated state, so leadership need not be confirmed. */
static void
handle_trace(struct leader *l, struct client *c, const struct request *req)
{
	char *json = reports_trace(l, req->name);

	if (json != NULL)
		client_reply(l, c->serial, req->id, HTTP_OK, json, 0);
	else
		client_reply(l, c->serial, req->id, HTTP_NOT_FOUND,
		    api_reply(OUT_INVALID, "no-such-trace",
			"no span of this trace is stored"),
		    0);
}

/* Queues a read for the next confirmation of leadership. */
static void
handle_read(struct leader *l, struct client *c, const struct request *req)
{
	struct read_wait *r = g_new0(struct read_wait, 1);

	r->client = c->serial;
	r->request = (struct request){ .id = req->id,
		.op = req->op,
		.job = req->job,
		.wait_ms = req->wait_ms };
	g_ptr_array_add(l->reads_queued, r);
	requests_start_reads(l);
}

/* Decodes a command, since the leader sets its own timestamp in it. */
static void
handle_command(struct leader *l, struct client *c, const struct request *req)
{
	struct cell_cmd cmd = { 0 };
	GError *err = NULL;
	size_t len = 0;
	const void *data =
	    req->body == NULL ? NULL : g_bytes_get_data(req->body, &len);

	if (!cell_cmd_decode(data, len, &cmd, &err)) {
		log_warn("leader", "dropped a command from %s: %s", c->name,
		    err->message);
		g_clear_error(&err);
		reply_not_run(
		    l, c->serial, req->id, "the command is malformed");
		return;
	}
	if (req->op == OP_ANNOUNCE && cmd.type == CMD_WORKER)
		handle_announce(l, c, req, &cmd);
	else if (req->op == OP_END && cmd.type == CMD_END)
		handle_end(l, c, req, &cmd);
	else
		handle_propose(l, c, req, &cmd);
	cell_cmd_clear(&cmd);
}

void
requests_handle(struct leader *l, struct client *c, const struct request *req)
{
	switch (req->op) {
	case OP_PROPOSE:
	case OP_ANNOUNCE:
	case OP_END:
		handle_command(l, c, req);
		return;
	case OP_LEAVE:
		handle_leave(l, c, req);
		return;
	case OP_REPLICA_ADD:
	case OP_REPLICA_REMOVE:
		handle_replica(l, c, req);
		return;
	case OP_DRAIN:
		handle_drain(l, c, req);
		return;
	case OP_TRACE:
		handle_trace(l, c, req);
		return;
	default:
		handle_read(l, c, req);
	}
}

/* One read index serves all reads and grants queued before it. */
void
requests_start_reads(struct leader *l)
{
	if (l->reads_in_flight != NULL ||
	    (l->reads_queued->len == 0 && !l->grants_due))
		return;
	if (!replica_read_index(l->node->replica, ++l->read_context))
		return;
	l->reads_in_flight = l->reads_queued;
	l->reads_queued = g_ptr_array_new_with_free_func(read_wait_free);
	l->grants_due = false;
}

static void
answer_read(struct leader *l, const struct read_wait *r)
{
	const struct request *req = &r->request;
	char *json;

	switch (req->op) {
	case OP_JOB:
		wait_job(l, r->client, req->id, req->job, req->wait_ms);
		return;
	case OP_WORKERS:
		json = api_workers(l->cell);
		break;
	case OP_TEAMS:
		json = api_teams(l->cell);
		break;
	case OP_CONFIG:
		json = reports_config(l);
		break;
	case OP_NODES:
		json = reports_nodes(l);
		break;
	case OP_STATUS:
		json = reports_status(l);
		break;
	default:
		reply_not_run(l, r->client, req->id, "unknown kind of request");
		return;
	}
	client_reply(l, r->client, req->id, HTTP_OK, json, 0);
}

void
requests_read_done(struct leader *l, bool ok)
{
	GPtrArray *reads = g_steal_pointer(&l->reads_in_flight);

	for (guint i = 0; reads != NULL && i < reads->len; i++) {
		const struct read_wait *r = reads->pdata[i];

		if (ok)
			answer_read(l, r);
		else
			reply_retry(l, r->client, r->request.id);
	}
	if (reads != NULL)
		g_ptr_array_unref(reads);
	if (ok)
		clients_send_grants(l);
}

/* Answers the waits that match, each with its job's current state. */
static void
answer_waits(struct leader *l,
    bool (*match)(const struct job_wait *w, const void *key), const void *key)
{
	GList *next;

	for (GList *i = l->job_waits.head; i != NULL; i = next) {
		struct job_wait *w = i->data;

		next = i->next;
		if (!match(w, key))
			continue;
		g_queue_delete_link(&l->job_waits, i);
		reply_job(l, w->client, w->request, w->job);
		g_free(w);
	}
}

static bool
job_matches(const struct job_wait *w, const void *key)
{
	return w->job == *(const uint64_t *)key;
}

static bool
client_matches(const struct job_wait *w, const void *key)
{
	return w->client == *(const uint64_t *)key;
}

static bool
is_due(const struct job_wait *w, const void *key)
{
	return w->due_ms <= *(const int64_t *)key;
}

void
requests_job_ended(struct leader *l, uint64_t job)
{
	answer_waits(l, job_matches, &job);
}

void
requests_answer_waits(struct leader *l, const struct client *c)
{
	answer_waits(l, client_matches, &c->serial);
}

void
requests_scan(struct leader *l, int64_t now)
{
	answer_waits(l, is_due, &now);
}
