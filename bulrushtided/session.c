#include <string.h>

#include "session.h"

#define REDIAL_DELAY_MS 200
#define TICK_MS 100
#define SENT_REPORTS 16 /* newest reports whose sending time is recorded */
#define REQUESTS_MAX 4096 /* without an answer, at a time */
#define RESEND_DELAY_MS 200 /* after REPLY_RETRY */

/* A request without an answer yet. */
struct pending_request {
	struct request request;
	session_answer *answer;
	void *arg;
	int64_t deadline_ms;
	bool once;
	int sends; /* that a leader may have proposed */
	int64_t resend_ms; /* time of the next send; 0: none is due */
};

struct session {
	struct node *node;
	const struct session_ops *ops;
	void *arg;
	struct event *timer;
	struct link *link;
	bool connected;
	bool joined; /* the other side leads and has accepted the session */
	guint next_replica; /* index of the one to dial next */
	char *leader;
	int64_t dial_start_ms;
	int64_t next_dial_ms;
	int64_t last_frame_ms;
	int64_t last_report_ms;
	uint64_t report_seq;
	int64_t report_sent_ms[SENT_REPORTS]; /* at report_seq % SENT_REPORTS */
	int64_t grant_end_ms;
	uint64_t next_request;
	GHashTable *pending; /* request id -> struct pending_request */
	bool refusing; /* see session_refuse() */
	struct config_push config;
	bool has_config;
	uint64_t connection_divisor;
};

static void
pending_free(void *arg)
{
	struct pending_request *p = arg;

	shape_clear_message(proto_shape(FRAME_REQUEST), &p->request);
	g_free(p);
}

static void
send_report(struct session *s)
{
	struct report report = { .seq = ++s->report_seq,
		.config_version = s->config.version,
		.connection_divisor = s->connection_divisor,
		.draining = s->node->draining };

	s->last_report_ms = mono_ms();
	s->report_sent_ms[s->report_seq % SENT_REPORTS] = s->last_report_ms;
	proto_send(s->link, FRAME_REPORT, &report);
}

static void
disconnect(struct session *s)
{
	if (s->link != NULL)
		link_close(g_steal_pointer(&s->link));
	s->connected = s->joined = false;
	s->next_dial_ms = mono_ms() + REDIAL_DELAY_MS;
}

static void
send_request(struct session *s, struct pending_request *p)
{
	p->sends++;
	p->resend_ms = 0;
	proto_send(s->link, FRAME_REQUEST, &p->request);
}

static void
resend_all(struct session *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_request *p = value;

		/* The request may be stale, so it is not resent and times out
		 * in the next tick. */
		if (p->once && p->sends > 0)
			p->deadline_ms = 0;
		else
			send_request(s, p);
	}
}

static struct replica_endpoint *
replica_at(struct session *s, guint i)
{
	return &g_array_index(
	    s->node->conf.replicas, struct replica_endpoint, i);
}

/* Disconnects. The next dial goes to the named leader, or to the next replica
 * if leader is NULL or unknown. */
static void
redirect(struct session *s, const char *leader)
{
	guint count = s->node->conf.replicas->len;

	s->next_replica = (s->next_replica + 1) % count;
	for (guint i = 0; leader != NULL && i < count; i++)
		if (strcmp(replica_at(s, i)->name, leader) == 0)
			s->next_replica = i;
	disconnect(s);
}

static void
handle_joined(struct session *s, const struct joined *joined)
{
	if (!joined->accepted) {
		redirect(s,
		    joined->leader != NULL && *joined->leader != '\0'
			? joined->leader
			: NULL);
		return;
	}
	if (!s->joined)
		log_info("session", "joined the leader %s", joined->leader);
	s->joined = true;
	g_free(s->leader);
	s->leader = g_strdup(joined->leader);
	send_report(s);
	resend_all(s);
}

static void
handle_reply(struct session *s, const struct reply *reply)
{
	struct pending_request *p = g_hash_table_lookup(s->pending, &reply->id);
	size_t len = 0;
	const void *body;

	/* A late answer to a request that has timed out. */
	if (p == NULL)
		return;
	if (reply->status == REPLY_RETRY) {
		p->sends--;
		p->resend_ms = mono_ms() + RESEND_DELAY_MS;
		return;
	}
	body = reply->body == NULL ? "" : g_bytes_get_data(reply->body, &len);
	g_hash_table_steal(s->pending, &reply->id);
	p->answer(p->arg, (int)reply->status, body, len,
	    (int)reply->retry_after_s, true);
	pending_free(p);
}

/* A grant is valid from the sending of the report that it answers. */
static void
handle_grant(struct session *s, const struct grant *grant)
{
	int64_t until;

	if (grant->seq > s->report_seq ||
	    grant->seq + SENT_REPORTS <= s->report_seq)
		return;
	until = s->report_sent_ms[grant->seq % SENT_REPORTS] + grant->grant_ms;
	s->grant_end_ms = MAX(s->grant_end_ms, until);
}

static void
handle_config(struct session *s, struct config_push *push)
{
	/* An accepted configuration never reverts. */
	if (s->has_config && push->version < s->config.version)
		return;
	if (s->has_config && push->version > s->config.version)
		log_info("session",
		    "configuration version %" G_GUINT64_FORMAT " is current",
		    push->version);
	shape_clear_message(proto_shape(FRAME_CONFIG), &s->config);
	s->config = *push;
	memset(push, 0, sizeof(*push));
	s->has_config = true;
	if (s->ops->config != NULL)
		s->ops->config(s->arg, &s->config);
	/* Reports the new version to the leader. */
	if (s->joined)
		send_report(s);
}

/* The handler of a frame type that the leader may send. */
struct frame_handler {
	enum frame_type type;
	void (*handle)(struct session *s, void *msg);
};

static void
on_joined(struct session *s, void *msg)
{
	handle_joined(s, msg);
}

static void
on_reply(struct session *s, void *msg)
{
	handle_reply(s, msg);
}

static void
on_grant(struct session *s, void *msg)
{
	handle_grant(s, msg);
}

static void
on_config(struct session *s, void *msg)
{
	handle_config(s, msg);
}

static void
on_worker(struct session *s, void *msg)
{
	if (s->ops->worker != NULL)
		s->ops->worker(s->arg, msg);
}

static void
on_start_template(struct session *s, void *msg)
{
	if (s->ops->start_template != NULL)
		s->ops->start_template(s->arg, msg);
}

static void
on_order(struct session *s, void *msg)
{
	if (s->ops->order != NULL)
		s->ops->order(s->arg, msg);
}

static void
on_target(struct session *s, void *msg)
{
	if (s->ops->target != NULL)
		s->ops->target(s->arg, msg);
}

static void
on_target_list(struct session *s, void *msg)
{
	if (s->ops->target_list != NULL)
		s->ops->target_list(s->arg, msg);
}

static void
on_divisor(struct session *s, void *msg)
{
	const struct divisor_push *push = msg;

	s->connection_divisor = push->connection_divisor;
	if (s->ops->divisor != NULL)
		s->ops->divisor(s->arg, push->connection_divisor);
	/* The leader raises the shares of other entries only after this
	 * acknowledgement. */
	send_report(s);
}

static const struct frame_handler handlers[] = {
	{ FRAME_JOINED, on_joined },
	{ FRAME_REPLY, on_reply },
	{ FRAME_GRANT, on_grant },
	{ FRAME_CONFIG, on_config },
	{ FRAME_WORKER, on_worker },
	{ FRAME_START_TEMPLATE, on_start_template },
	{ FRAME_ORDER, on_order },
	{ FRAME_TARGET, on_target },
	{ FRAME_TARGETS, on_target_list },
	{ FRAME_DIVISOR, on_divisor },
};

static void
on_frame(void *arg, struct link *l, const void *data, size_t len)
{
	struct session *s = arg;
	int type = shape_frame_type(data, len);
	GError *err = NULL;
	void *msg;

	s->last_frame_ms = mono_ms();
	if (type == FRAME_LEAVE) {
		s->ops->drain(s->arg);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if ((int)handlers[i].type != type)
			continue;
		msg = proto_decode(type, data, len, &err);
		if (msg == NULL) {
			log_warn("session", "dropped malformed frame: %s",
			    err->message);
			g_clear_error(&err);
			return;
		}
		handlers[i].handle(s, msg);
		proto_free(type, msg);
		return;
	}
}

static void
on_up(void *arg, struct link *l)
{
	struct session *s = arg;
	struct node_conf *c = &s->node->conf;
	struct hello hello = { .version = PROTO_VERSION, .name = c->name };
	struct join join = { .name = c->name,
		.address = c->http_address,
		.region = c->region,
		.data_center = c->data_center,
		.incarnation = s->node->incarnation,
		.entry = c->entry && !s->node->draining,
		.config_version = s->config.version,
		.connection_divisor = s->connection_divisor };

	s->connected = true;
	s->last_frame_ms = mono_ms();
	proto_send(l, FRAME_HELLO, &hello);
	proto_send(l, FRAME_JOIN, &join);
}

static void
on_down(void *arg, struct link *l, const char *why)
{
	struct session *s = arg;

	if (s->joined)
		log_info("session", "disconnected from the leader: %s", why);
	s->link = NULL;
	s->connected = s->joined = false;
	s->next_replica = (s->next_replica + 1) % s->node->conf.replicas->len;
	s->next_dial_ms = mono_ms() + REDIAL_DELAY_MS;
}

static const struct link_ops ops = { on_up, on_frame, on_down };

static void
dial(struct session *s, int64_t now)
{
	s->link = link_dial(
	    s->node->base, replica_at(s, s->next_replica)->address, &ops, s);
	s->dial_start_ms = now;
	if (s->link == NULL)
		redirect(s, NULL);
}

static void
resend_due(struct session *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_request *p = value;

		if (p->resend_ms != 0 && p->resend_ms <= now)
			send_request(s, p);
	}
}

/* Answers the requests whose deadline is over. */
static void
time_out_requests(struct session *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *timed_out = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_request *p = value;

		if (p->deadline_ms > now)
			continue;
		g_ptr_array_add(timed_out, p);
		g_hash_table_iter_steal(&iter);
	}
	for (guint i = 0; i < timed_out->len; i++) {
		struct pending_request *p = timed_out->pdata[i];

		log_info("session",
		    "event=request-dropped op=%u name=%s sends=%d stopping=%d",
		    p->request.op,
		    p->request.name == NULL ? "" : p->request.name, p->sends,
		    s->refusing);
		p->answer(p->arg, 0, NULL, 0, 1, p->sends > 0);
		pending_free(p);
	}
	g_ptr_array_unref(timed_out);
}

void
session_refuse(struct session *s)
{
	s->refusing = true;
	time_out_requests(s, INT64_MAX);
}

static void
push_span(void *arg, const struct span *span)
{
	struct session *s = arg;
	struct span_push push = { .high = span->high,
		.low = span->low,
		.id = span->id,
		.parent = span->parent,
		.start_us = span->start_us,
		.duration_us = span->duration_us,
		.name = (char *)span->name,
		.node = (char *)span->node,
		.note = (char *)span->note };

	/* The leader's own spans are already stored there. */
	if (strcmp(s->leader, s->node->conf.name) != 0)
		proto_send(s->link, FRAME_SPAN, &push);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;
	int64_t now = mono_ms();

	if (s->link == NULL && now >= s->next_dial_ms)
		dial(s, now);
	else if (s->link != NULL && !s->connected &&
	    now - s->dial_start_ms > DIAL_TIMEOUT_MS)
		redirect(s, NULL);
	else if (s->connected && now - s->last_frame_ms > LINK_IDLE_MS)
		redirect(s, NULL);
	if (s->joined && now - s->last_report_ms >= REPORT_MS) {
		send_report(s);
		tracer_drain(s->node->tracer, push_span, s);
	}
	if (s->joined)
		resend_due(s, now);
	time_out_requests(s, now);
}

struct session *
session_new(struct node *node, const struct session_ops *sops, void *arg)
{
	struct session *s = g_new0(struct session, 1);

	s->node = node;
	s->ops = sops;
	s->arg = arg;
	s->leader = g_strdup("");
	s->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_free);
	s->timer = node_timer(node, TICK_MS, on_timer, s);
	return s;
}

void
session_free(struct session *s)
{
	if (s == NULL)
		return;
	session_refuse(s);
	disconnect(s);
	event_free(s->timer);
	g_hash_table_unref(s->pending);
	shape_clear_message(proto_shape(FRAME_CONFIG), &s->config);
	g_free(s->leader);
	g_free(s);
}

void
session_send_request(struct session *s, const struct session_request *request,
    session_answer *answer, void *arg)
{
	struct pending_request *p;

	if (s->refusing || g_hash_table_size(s->pending) >= REQUESTS_MAX) {
		answer(arg, 0, NULL, 0, 1, false);
		return;
	}
	p = g_new0(struct pending_request, 1);
	p->request = (struct request){ .id = ++s->next_request,
		.op = request->op,
		.job = request->job,
		.wait_ms = request->wait_ms,
		.name = g_strdup(request->name),
		.body =
		    request->body == NULL ? NULL : g_bytes_ref(request->body),
		.trace = g_strdup(request->trace) };
	p->once = request->once;
	p->answer = answer;
	p->arg = arg;
	p->deadline_ms = mono_ms() + request->wait_ms + request->timeout_ms;
	g_hash_table_insert(s->pending, &p->request.id, p);
	if (!s->joined)
		return;
	send_request(s, p);
}

bool
session_has_grant(const struct session *s)
{
	return s->has_config && mono_ms() < s->grant_end_ms;
}

void
session_send(struct session *s, enum frame_type type, const void *msg)
{
	if (s->joined)
		proto_send(s->link, type, msg);
}

void
session_send_report(struct session *s)
{
	if (s->joined)
		send_report(s);
}

const struct config_push *
session_config(const struct session *s)
{
	return &s->config;
}
