#include <string.h>

#include "session.h"

#define DIAL_AGAIN_MS 200
#define TICK_MS 100
#define SENT_REPORTS 16 /* reports whose sending times are kept */
#define REQUESTS_MAX 4096
#define AGAIN_MS 200

/* A request without an answer yet. */
struct pending {
	struct request request;
	session_answer *answer;
	void *arg;
	int64_t due_ms;
	bool once;
	int sends; /* to a leader that may have proposed it */
	int64_t again_ms; /* when to send it again; 0: it is on its way */
};

struct session {
	struct node *node;
	const struct session_ops *ops;
	void *arg;
	struct event *timer;
	struct link *link;
	bool up; /* connected */
	bool joined; /* the other side leads and has accepted us */
	guint next; /* replica to try next */
	char *leader;
	int64_t dialled_ms;
	int64_t dial_at_ms;
	int64_t heard_ms;
	int64_t reported_ms;
	uint64_t report_seq;
	int64_t sent_ms[SENT_REPORTS]; /* by report_seq modulo */
	int64_t granted_until;
	uint64_t next_request;
	GHashTable *pending; /* request id -> struct pending */
	struct config_push config;
	bool has_config;
	uint64_t division;
};

static void
pending_free(void *arg)
{
	struct pending *p = arg;

	shape_clear(proto_shape(FRAME_REQUEST), &p->request);
	g_free(p);
}

static void
send_report(struct session *s)
{
	struct report report = { .seq = ++s->report_seq,
		.config = s->config.version,
		.division = s->division,
		.draining = s->node->draining };

	s->reported_ms = mono_ms();
	s->sent_ms[s->report_seq % SENT_REPORTS] = s->reported_ms;
	proto_send(s->link, FRAME_REPORT, &report);
}

static void
hang_up(struct session *s)
{
	if (s->link != NULL)
		link_close(g_steal_pointer(&s->link));
	s->up = s->joined = false;
	s->dial_at_ms = mono_ms() + DIAL_AGAIN_MS;
}

static void
send_request(struct session *s, struct pending *p)
{
	p->sends++;
	p->again_ms = 0;
	proto_send(s->link, FRAME_REQUEST, &p->request);
}

static void
resend_all(struct session *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *p = value;

		/* One that may be stale is given up on in the next look. */
		if (p->once && p->sends > 0)
			p->due_ms = 0;
		else
			send_request(s, p);
	}
}

static struct named_replica *
replica_at(struct session *s, guint i)
{
	return &g_array_index(s->node->conf.replicas, struct named_replica, i);
}

/* Tries the replica that is said to lead, or goes on to the next one. */
static void
redirect(struct session *s, const char *leader)
{
	guint count = s->node->conf.replicas->len;

	s->next = (s->next + 1) % count;
	for (guint i = 0; leader != NULL && i < count; i++)
		if (strcmp(replica_at(s, i)->name, leader) == 0)
			s->next = i;
	hang_up(s);
}

static void
take_joined(struct session *s, const struct joined *joined)
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
take_reply(struct session *s, const struct reply *reply)
{
	struct pending *p = g_hash_table_lookup(s->pending, &reply->id);
	size_t len = 0;
	const void *body;

	/* A late answer to a request that was given up on. */
	if (p == NULL)
		return;
	if (reply->status == REPLY_AGAIN) {
		p->sends--;
		p->again_ms = mono_ms() + AGAIN_MS;
		return;
	}
	body = reply->body == NULL ? "" : g_bytes_get_data(reply->body, &len);
	g_hash_table_steal(s->pending, &reply->id);
	p->answer(p->arg, (int)reply->status, body, len,
	    (int)reply->retry_after_s, true);
	pending_free(p);
}

/* A grant counts from the sending of the report that it answers. */
static void
take_grant(struct session *s, const struct grant *grant)
{
	int64_t until;

	if (grant->seq > s->report_seq ||
	    grant->seq + SENT_REPORTS <= s->report_seq)
		return;
	until = s->sent_ms[grant->seq % SENT_REPORTS] + grant->grant_ms;
	s->granted_until = MAX(s->granted_until, until);
}

static void
take_config(struct session *s, struct config_push *push)
{
	/* An accepted configuration never reverts. */
	if (s->has_config && push->version < s->config.version)
		return;
	if (s->has_config && push->version > s->config.version)
		log_info("session",
		    "configuration %" G_GUINT64_FORMAT " is in force",
		    push->version);
	shape_clear(proto_shape(FRAME_CONFIG), &s->config);
	s->config = *push;
	memset(push, 0, sizeof(*push));
	s->has_config = true;
	if (s->ops->config != NULL)
		s->ops->config(s->arg, &s->config);
	/* Tells the leader the version in force here. */
	if (s->joined)
		send_report(s);
}

/* One row for each frame the leader may send. */
struct frame_row {
	enum frame_type type;
	void (*take)(struct session *s, void *msg);
};

static void
row_joined(struct session *s, void *msg)
{
	take_joined(s, msg);
}

static void
row_reply(struct session *s, void *msg)
{
	take_reply(s, msg);
}

static void
row_grant(struct session *s, void *msg)
{
	take_grant(s, msg);
}

static void
row_config(struct session *s, void *msg)
{
	take_config(s, msg);
}

static void
row_worker(struct session *s, void *msg)
{
	if (s->ops->worker != NULL)
		s->ops->worker(s->arg, msg);
}

static void
row_shape(struct session *s, void *msg)
{
	if (s->ops->shape != NULL)
		s->ops->shape(s->arg, msg);
}

static void
row_order(struct session *s, void *msg)
{
	if (s->ops->order != NULL)
		s->ops->order(s->arg, msg);
}

static void
row_target(struct session *s, void *msg)
{
	if (s->ops->target != NULL)
		s->ops->target(s->arg, msg);
}

static void
row_targets(struct session *s, void *msg)
{
	if (s->ops->targets != NULL)
		s->ops->targets(s->arg, msg);
}

static void
row_division(struct session *s, void *msg)
{
	const struct division_push *push = msg;

	s->division = push->division;
	if (s->ops->division != NULL)
		s->ops->division(s->arg, push->division);
	/* The others' shares may grow once this one is known to hold. */
	send_report(s);
}

static const struct frame_row rows[] = {
	{ FRAME_JOINED, row_joined },
	{ FRAME_REPLY, row_reply },
	{ FRAME_GRANT, row_grant },
	{ FRAME_CONFIG, row_config },
	{ FRAME_WORKER, row_worker },
	{ FRAME_SHAPE, row_shape },
	{ FRAME_ORDER, row_order },
	{ FRAME_TARGET, row_target },
	{ FRAME_TARGETS, row_targets },
	{ FRAME_DIVISION, row_division },
};

static void
on_frame(void *arg, struct link *l, const void *data, size_t len)
{
	struct session *s = arg;
	int type = shape_type(data, len);
	GError *err = NULL;
	void *msg;

	s->heard_ms = mono_ms();
	if (type == FRAME_LEAVE) {
		s->ops->leave(s->arg);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		if ((int)rows[i].type != type)
			continue;
		msg = proto_open(type, data, len, &err);
		if (msg == NULL) {
			log_warn(
			    "session", "dropped a frame: %s", err->message);
			g_clear_error(&err);
			return;
		}
		rows[i].take(s, msg);
		proto_close(type, msg);
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
		.config = s->config.version,
		.division = s->division };

	s->up = true;
	s->heard_ms = mono_ms();
	proto_send(l, FRAME_HELLO, &hello);
	proto_send(l, FRAME_JOIN, &join);
}

static void
on_down(void *arg, struct link *l, const char *why)
{
	struct session *s = arg;

	if (s->joined)
		log_info("session", "lost the leader: %s", why);
	s->link = NULL;
	s->up = s->joined = false;
	s->next = (s->next + 1) % s->node->conf.replicas->len;
	s->dial_at_ms = mono_ms() + DIAL_AGAIN_MS;
}

static const struct link_ops ops = { on_up, on_frame, on_down };

static void
dial(struct session *s, int64_t now)
{
	s->link =
	    link_dial(s->node->base, replica_at(s, s->next)->address, &ops, s);
	s->dialled_ms = now;
	if (s->link == NULL)
		redirect(s, NULL);
}

static void
send_again(struct session *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *p = value;

		if (p->again_ms != 0 && p->again_ms <= now)
			send_request(s, p);
	}
}

static void
give_up_overdue(struct session *s, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *overdue = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *p = value;

		if (p->due_ms > now)
			continue;
		g_ptr_array_add(overdue, p);
		g_hash_table_iter_steal(&iter);
	}
	for (guint i = 0; i < overdue->len; i++) {
		struct pending *p = overdue->pdata[i];

		p->answer(p->arg, 0, NULL, 0, 1, p->sends > 0);
		pending_free(p);
	}
	g_ptr_array_unref(overdue);
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

	/* The leader's own spans are where they belong. */
	if (strcmp(s->leader, s->node->conf.name) != 0)
		proto_send(s->link, FRAME_SPAN, &push);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct session *s = arg;
	int64_t now = mono_ms();

	if (s->link == NULL && now >= s->dial_at_ms)
		dial(s, now);
	else if (s->link != NULL && !s->up && now - s->dialled_ms > DIAL_MS)
		redirect(s, NULL);
	else if (s->up && now - s->heard_ms > LINK_IDLE_MS)
		redirect(s, NULL);
	if (s->joined && now - s->reported_ms >= REPORT_MS) {
		send_report(s);
		tracer_drain(s->node->tracer, push_span, s);
	}
	if (s->joined)
		send_again(s, now);
	give_up_overdue(s, now);
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
	hang_up(s);
	event_free(s->timer);
	g_hash_table_unref(s->pending);
	shape_clear(proto_shape(FRAME_CONFIG), &s->config);
	g_free(s->leader);
	g_free(s);
}

void
session_request(struct session *s, const struct session_call *call,
    session_answer *answer, void *arg)
{
	struct pending *p;

	if (g_hash_table_size(s->pending) >= REQUESTS_MAX) {
		answer(arg, 0, NULL, 0, 1, false);
		return;
	}
	p = g_new0(struct pending, 1);
	p->request = (struct request){ .id = ++s->next_request,
		.op = call->op,
		.arg = call->arg,
		.wait_ms = call->wait_ms,
		.name = g_strdup(call->name),
		.body = call->body == NULL ? NULL : g_bytes_ref(call->body),
		.trace = g_strdup(call->trace) };
	p->once = call->once;
	p->answer = answer;
	p->arg = arg;
	p->due_ms = mono_ms() + call->wait_ms + call->timeout_ms;
	g_hash_table_insert(s->pending, &p->request.id, p);
	if (!s->joined)
		return;
	send_request(s, p);
}

bool
session_granted(const struct session *s)
{
	return s->has_config && mono_ms() < s->granted_until;
}

void
session_send(struct session *s, enum frame_type type, const void *msg)
{
	if (s->joined)
		proto_send(s->link, type, msg);
}

void
session_drain(struct session *s)
{
	if (s->joined)
		send_report(s);
}

const struct config_push *
session_config(const struct session *s)
{
	return &s->config;
}
