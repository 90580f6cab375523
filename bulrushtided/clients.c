/* Sessions of processes with the leader: joining, reports and grants. */
#include <string.h>

#include "api.h"
#include "leader_impl.h"

void
client_free(void *arg)
{
	struct client *c = arg;

	g_hash_table_unref(c->known_templates);
	g_free(c->name);
	g_free(c->address);
	g_free(c->region);
	g_free(c->data_center);
	g_free(c);
}

static struct client *
client_by_link(struct leader *l, const struct link *link)
{
	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->link == link)
			return c;
	}
	return NULL;
}

struct client *
client_by_serial(struct leader *l, uint64_t serial)
{
	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->serial == serial)
			return c;
	}
	return NULL;
}

struct client *
client_by_entry(struct leader *l, uint32_t entry)
{
	for (guint i = 0; entry != 0 && i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->joined && c->entry_id == entry)
			return c;
	}
	return NULL;
}

struct client *
client_by_name(struct leader *l, const char *name)
{
	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (c->joined && strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

void
client_reply(struct leader *l, uint64_t serial, uint64_t request,
    uint32_t status, char *json, uint32_t retry_after_s)
{
	struct client *c = client_by_serial(l, serial);
	struct reply reply = {
		.id = request, .status = status, .retry_after_s = retry_after_s
	};

	if (c == NULL) {
		g_free(json);
		return;
	}
	if (json != NULL)
		reply.body = g_bytes_new_take(json, strlen(json));
	proto_send(c->link, FRAME_REPLY, &reply);
	if (reply.body != NULL)
		g_bytes_unref(reply.body);
}

static void
push_config(struct leader *l, struct client *c, GBytes *body)
{
	const struct config_policy *p = &leader_config(l)->policy;
	struct config_push push = { .version = cell_config_version(l->cell),
		.digest = (char *)cell_config_digest(l->cell),
		.author = (char *)cell_config_author(l->cell),
		.body = body,
		.heartbeat_ms = p->heartbeat_ms,
		.suspect_ms = p->suspect_ms,
		.lease_ms = config_shortest_lease(leader_config(l)) };

	proto_send(c->link, FRAME_CONFIG, &push);
}

void
clients_push_config(struct leader *l)
{
	char *text = api_config(l->cell);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];

		if (!c->joined)
			continue;
		push_config(l, c, body);
		/* A service's call timeout may have changed. */
		if (c->is_entry)
			targets_push_all(l, c);
	}
	g_bytes_unref(body);
}

/* Accepts a join. If the process is an entry, the cell has it by now. */
static void
complete_join(struct leader *l, struct client *c)
{
	const struct cell_entry *e =
	    c->is_entry ? cell_entry_named(l->cell, c->name) : NULL;
	struct joined joined = {
		.accepted = true, .leader = l->node->conf.name, .term = l->term
	};
	char *text = api_config(l->cell);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	c->joined = true;
	g_hash_table_remove_all(c->known_templates);
	c->entry_id = e == NULL ? 0 : e->id;
	joined.entry_id = c->entry_id;
	proto_send(c->link, FRAME_JOINED, &joined);
	push_config(l, c, body);
	g_bytes_unref(body);
	if (e != NULL) {
		struct leader_entry *le =
		    g_hash_table_lookup(l->entries, GUINT_TO_POINTER(e->id));

		le->divisor = le->sent_divisor = c->divisor;
		workers_push_all(l, c);
		targets_push_all(l, c);
		targets_send_divisors(l);
		l->rebalance_homes = true;
	}
	log_info(
	    "leader", "%s %s joined", c->is_entry ? "entry" : "node", c->name);
}

static void
entry_applied(
    struct leader *l, struct waiter *w, const struct cell_result *result)
{
	struct client *c = client_by_serial(l, w->client);

	if (c != NULL && !c->joined && result->outcome == OUT_ACCEPTED)
		complete_join(l, c);
}

static void
propose_entry(struct leader *l, struct client *c)
{
	struct cell_cmd cmd = { .type = CMD_ENTRY };
	struct waiter *w;

	cmd.u.entry = (struct cell_entry){ .name = c->name,
		.address = c->address,
		.region = c->region,
		.data_center = c->data_center,
		.incarnation = c->incarnation };
	w = leader_propose_wait(l, &cmd, entry_applied);
	if (w != NULL)
		w->client = c->serial;
}

/* Ends older sessions of the same name; their links stay open. */
static void
detach_older(struct leader *l, const struct client *c)
{
	for (guint i = 0; i < l->clients->len; i++) {
		struct client *old = l->clients->pdata[i];

		if (old == c || strcmp(old->name, c->name) != 0)
			continue;
		if (old->incarnation != c->incarnation)
			log_warn("leader", "%s joins with a new incarnation",
			    c->name);
		old->joined = false;
		old->entry_id = 0;
	}
}

static void
handle_join(struct leader *l, struct client *c, struct join *join)
{
	const struct cell_entry *e = cell_entry_named(l->cell, c->name);

	g_free(c->address);
	g_free(c->region);
	g_free(c->data_center);
	c->address = g_strdup(join->address);
	c->region = g_strdup(join->region);
	c->data_center = g_strdup(join->data_center);
	c->incarnation = join->incarnation;
	c->is_entry = join->entry;
	c->config_version = join->config_version;
	c->divisor = join->connection_divisor;
	if (!l->active) {
		struct joined joined = { .accepted = false,
			.leader =
			    (char *)replica_leader_name(l->node->replica) };

		proto_send(c->link, FRAME_JOINED, &joined);
		return;
	}
	detach_older(l, c);
	if (!c->is_entry ||
	    (e != NULL && e->incarnation == c->incarnation &&
		g_strcmp0(e->address, c->address) == 0))
		complete_join(l, c);
	else
		propose_entry(l, c);
}

static void
handle_report(struct leader *l, struct client *c, const struct report *report)
{
	if (report->draining && !c->draining) {
		c->draining = true;
		log_info("leader", "%s is draining", c->name);
		requests_answer_waits(l, c);
		if (c->entry_id != 0)
			workers_drain_home(l, c->entry_id);
	}
	c->config_version = report->config_version;
	c->divisor = report->connection_divisor;
	targets_divisor_acked(l, c);
	c->report_seq = report->seq;
	c->grant_pending = true;
	l->grants_due = true;
	requests_start_reads(l);
}

/* Grants are sent only after a quorum has confirmed that this replica leads, so
 * that an old leader's grants expire before a new leader stops waiting for
 * them. */
void
clients_send_grants(struct leader *l)
{
	int64_t until = mono_ms() + with_drift(GRANT_MS);

	for (guint i = 0; i < l->clients->len; i++) {
		struct client *c = l->clients->pdata[i];
		struct grant grant = { .seq = c->report_seq,
			.grant_ms = GRANT_MS };
		struct leader_entry *e;

		if (!c->grant_pending || !c->joined)
			continue;
		c->grant_pending = false;
		e = c->entry_id == 0 ? NULL
				     : g_hash_table_lookup(l->entries,
					   GUINT_TO_POINTER(c->entry_id));
		if (e != NULL && e->removal_proposed)
			continue;
		if (e != NULL)
			e->grant_until_ms = until;
		proto_send(c->link, FRAME_GRANT, &grant);
	}
}

/* Removes the entries whose grant has certainly expired. */
void
clients_scan(struct leader *l, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leader_entry *e = value;
		struct cell_cmd cmd = { .type = CMD_ENTRY_REMOVED };

		if (now <= e->grant_until_ms || e->removal_proposed)
			continue;
		cmd.u.entry_removed = e->id;
		e->removal_proposed = leader_propose(l, &cmd) != 0;
	}
}

/* A frame type that a session may send. */
struct frame_handler {
	void (*handle)(struct leader *l, struct client *c, void *msg);
	enum frame_type type;
	bool joined_only;
};

static void
on_join(struct leader *l, struct client *c, void *msg)
{
	handle_join(l, c, msg);
}

static void
on_request(struct leader *l, struct client *c, void *msg)
{
	requests_handle(l, c, msg);
}

static void
on_report(struct leader *l, struct client *c, void *msg)
{
	handle_report(l, c, msg);
}

static void
on_order_result(struct leader *l, struct client *c, void *msg)
{
	orders_result(l, msg);
}

static void
on_worker_health(struct leader *l, struct client *c, void *msg)
{
	workers_health_reported(l, c, msg);
}

/* Copies a string of another process into a field of fixed size. */
static void
copy_truncated(char *to, size_t size, const char *from)
{
	g_strlcpy(to, from == NULL ? "" : from, size);
}

static void
on_span(struct leader *l, struct client *c, void *msg)
{
	const struct span_push *push = msg;
	struct span span = { .high = push->high,
		.low = push->low,
		.id = push->id,
		.parent = push->parent,
		.start_us = push->start_us,
		.duration_us = push->duration_us };

	copy_truncated(span.name, sizeof(span.name), push->name);
	copy_truncated(span.node, sizeof(span.node), push->node);
	copy_truncated(span.note, sizeof(span.note), push->note);
	tracer_add(l->node->tracer, &span);
}

static void
on_usage(struct leader *l, struct client *c, void *msg)
{
	observe_usage(l, msg);
}

static const struct frame_handler handlers[] = {
	{ on_join, FRAME_JOIN, false },
	{ on_request, FRAME_REQUEST, true },
	{ on_report, FRAME_REPORT, true },
	{ on_span, FRAME_SPAN, true },
	{ on_usage, FRAME_USAGE, true },
	{ on_order_result, FRAME_ORDER_RESULT, true },
	{ on_worker_health, FRAME_WORKER_HEALTH, true },
};

void
leader_handle_frame(void *arg, struct link *link, const char *name, int type,
    const void *data, size_t len)
{
	struct leader *l = arg;
	struct client *c = client_by_link(l, link);
	GError *err = NULL;
	void *msg;

	if (c == NULL) {
		c = g_new0(struct client, 1);
		c->serial = ++l->next_serial;
		c->link = link;
		c->name = g_strdup(name);
		c->known_templates = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL);
		g_ptr_array_add(l->clients, c);
	}
	c->last_frame_ms = mono_ms();
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if ((int)handlers[i].type != type)
			continue;
		if (handlers[i].joined_only && (!c->joined || !l->active))
			return;
		msg = proto_decode(type, data, len, &err);
		if (msg == NULL) {
			log_warn("leader", "dropped a frame from %s: %s", name,
			    err->message);
			g_clear_error(&err);
			return;
		}
		handlers[i].handle(l, c, msg);
		proto_free(type, msg);
		return;
	}
	log_warn(
	    "leader", "dropped a frame from %s: unknown type %d", name, type);
}

void
leader_link_down(void *arg, struct link *link)
{
	struct leader *l = arg;
	struct client *c = client_by_link(l, link);
	uint32_t entry;

	if (c == NULL)
		return;
	if (c->joined)
		log_info("leader", "session of %s ended", c->name);
	entry = c->joined ? c->entry_id : 0;
	g_ptr_array_remove_fast(l->clients, c);
	if (l->active)
		workers_home_link_changed(l, entry);
}
