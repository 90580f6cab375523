#include <string.h>

#include "peers.h"

#define PING_INTERVAL_MS 1000
#define REDIAL_DELAY_MS 300
#define HELLO_TIMEOUT_MS 5000 /* for the hello on an accepted connection */
#define SESSIONS_MAX 64 /* connections that are not of replicas */

/* A known replica, other than this one. */
struct peer {
	struct peers *peers;
	char *name;
	char *address; /* NULL: not configured, only accepted */
	struct conn *conn;
	int64_t next_dial_ms;
};

/* A connection, dialled or accepted. */
struct conn {
	struct peers *peers;
	struct link *link;
	struct peer *peer; /* NULL: a session, or not known yet */
	char *name; /* of the hello; NULL before it is received */
	bool dialled;
	bool replica;
	uint64_t replica_id;
	uint64_t cell_id;
	bool formed;
	int64_t last_frame_ms;
};

struct peers {
	struct node *node;
	const struct peers_ops *ops;
	void *arg;
	struct listener *listener;
	struct event *timer;
	GPtrArray *peers; /* struct peer */
	GPtrArray *conns; /* struct conn */
	uint64_t replica_id;
	uint64_t cell_id;
	bool formed;
	int64_t last_ping_ms;
};

static void
send_hello(struct conn *c)
{
	struct peers *p = c->peers;
	struct hello hello = { .version = PROTO_VERSION,
		.name = p->node->conf.name,
		.replica_id = p->replica_id,
		.cell_id = p->cell_id,
		.formed = p->formed,
		.replica = true };

	proto_send(c->link, FRAME_HELLO, &hello);
}

static void
conn_free(void *arg)
{
	struct conn *c = arg;

	g_free(c->name);
	g_free(c);
}

/* Removes a connection whose link is closed. */
static void
remove_conn(struct conn *c)
{
	struct peers *p = c->peers;

	if (c->peer != NULL && c->peer->conn == c) {
		c->peer->conn = NULL;
		c->peer->next_dial_ms = mono_ms() + REDIAL_DELAY_MS;
	}
	if (c->name != NULL && !c->replica)
		p->ops->down(p->arg, c->link);
	g_ptr_array_remove_fast(p->conns, c);
}

static void
close_conn(struct conn *c)
{
	link_close(c->link);
	remove_conn(c);
}

static struct peer *
find_peer(struct peers *p, const char *name)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct peer *peer = p->peers->pdata[i];

		if (strcmp(peer->name, name) == 0)
			return peer;
	}
	return NULL;
}

static struct peer *
add_peer(struct peers *p, const char *name, const char *address)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->peers = p;
	peer->name = g_strdup(name);
	peer->address = g_strdup(address);
	g_ptr_array_add(p->peers, peer);
	return peer;
}

/*
 * Binds a connection to its replica. If there are two, both sides keep the one
 * that the replica with the smaller name dialled. Returns false if c has to be
 * closed.
 */
static bool
resolve_duplicate(struct conn *c, struct peer *peer)
{
	bool dialled_wins = strcmp(c->peers->node->conf.name, peer->name) < 0;
	struct conn *old = peer->conn;

	if (old == c)
		return true;
	if (old != NULL && old->name != NULL && old->dialled != c->dialled &&
	    c->dialled != dialled_wins)
		return false;
	peer->conn = c;
	c->peer = peer;
	if (old != NULL) {
		old->peer = NULL;
		close_conn(old);
	}
	return true;
}

static void
on_replica_hello(struct conn *c)
{
	struct peers *p = c->peers;
	struct peer *peer = find_peer(p, c->name);

	if (peer == NULL)
		peer = add_peer(p, c->name, NULL);
	if (!resolve_duplicate(c, peer)) {
		close_conn(c);
		return;
	}
	log_debug("peers", "%s is connected", c->name);
}

static void
on_hello(struct conn *c, const void *data, size_t len)
{
	struct peers *p = c->peers;
	struct hello hello;
	bool first = c->name == NULL;

	if (!shape_decode(data, len, proto_shape(FRAME_HELLO), &hello, NULL) ||
	    hello.version != PROTO_VERSION || hello.name == NULL ||
	    (c->name != NULL && strcmp(c->name, hello.name) != 0)) {
		log_warn("peers", "closed a connection: invalid hello");
		close_conn(c);
		return;
	}
	if (hello.cell_id != 0 && p->cell_id != 0 &&
	    hello.cell_id != p->cell_id) {
		log_error("peers",
		    "refused %s: its data directory belongs to another cell",
		    hello.name);
		shape_clear_message(proto_shape(FRAME_HELLO), &hello);
		close_conn(c);
		return;
	}
	if (first)
		c->name = g_strdup(hello.name);
	c->replica = hello.replica;
	c->replica_id = hello.replica_id;
	c->cell_id = hello.cell_id;
	c->formed = hello.formed;
	shape_clear_message(proto_shape(FRAME_HELLO), &hello);
	if (!c->replica)
		return;
	if (first && !c->dialled)
		send_hello(c);
	on_replica_hello(c);
}

static void
on_frame(void *arg, struct link *l, const void *data, size_t len)
{
	struct conn *c = arg;
	struct peers *p = c->peers;
	int type = shape_frame_type(data, len);

	c->last_frame_ms = mono_ms();
	if (type == FRAME_HELLO) {
		on_hello(c, data, len);
		return;
	}
	if (c->name == NULL) {
		log_warn("peers",
		    "closed a connection: no hello before the first frame");
		close_conn(c);
		return;
	}
	if (type == FRAME_PING)
		return;
	if (!c->replica)
		p->ops->frame(p->arg, l, c->name, type, data, len);
	else if (type == FRAME_RAFT && c->replica_id != 0)
		p->ops->raft(
		    p->arg, c->replica_id, (const char *)data + 1, len - 1);
}

static void
on_up(void *arg, struct link *l)
{
	struct conn *c = arg;

	c->last_frame_ms = mono_ms();
	send_hello(c);
}

static void
on_down(void *arg, struct link *l, const char *why)
{
	struct conn *c = arg;

	if (c->name != NULL)
		log_debug("peers", "connection to %s closed: %s", c->name, why);
	remove_conn(c);
}

static const struct link_ops ops = { on_up, on_frame, on_down };

static struct conn *
add_conn(struct peers *p, struct link *l, bool dialled)
{
	struct conn *c = g_new0(struct conn, 1);

	c->peers = p;
	c->link = l;
	c->dialled = dialled;
	c->last_frame_ms = mono_ms();
	link_set_arg(l, c);
	g_ptr_array_add(p->conns, c);
	return c;
}

static void
on_accept(void *arg, evutil_socket_t fd)
{
	struct peers *p = arg;
	struct link *l;

	if (p->conns->len >= SESSIONS_MAX + 2 * p->peers->len) {
		log_warn("peers",
		    "refused a connection: limit of connections reached");
		evutil_closesocket(fd);
		return;
	}
	l = link_accept(p->node->base, fd, &ops, NULL);
	if (l != NULL)
		add_conn(p, l, false);
}

static void
dial(struct peer *peer, int64_t now)
{
	struct link *l;

	if (peer->conn != NULL || peer->address == NULL ||
	    now < peer->next_dial_ms)
		return;
	peer->next_dial_ms = now + REDIAL_DELAY_MS;
	l = link_dial(peer->peers->node->base, peer->address, &ops, NULL);
	if (l == NULL)
		return;
	peer->conn = add_conn(peer->peers, l, true);
	peer->conn->peer = peer;
}

/* Closes connections whose dial, hello or next frame has timed out. */
static void
close_idle(struct peers *p, int64_t now)
{
	for (guint i = p->conns->len; i > 0; i--) {
		struct conn *c = p->conns->pdata[i - 1];
		int64_t timeout_ms = c->name == NULL && c->dialled
		    ? DIAL_TIMEOUT_MS
		    : c->name == NULL ? HELLO_TIMEOUT_MS
				      : LINK_IDLE_MS;

		if (now - c->last_frame_ms > timeout_ms)
			close_conn(c);
		/* Closing one may close others: continue with the rest. */
		if (i > p->conns->len + 1)
			i = p->conns->len + 1;
	}
}

static void
ping_all(struct peers *p)
{
	static const uint8_t ping = FRAME_PING;

	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = p->conns->pdata[i];

		if (c->name != NULL && c->replica)
			link_send(c->link, &ping, sizeof(ping));
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct peers *p = arg;
	int64_t now = mono_ms();

	close_idle(p, now);
	for (guint i = 0; i < p->peers->len; i++)
		dial(p->peers->pdata[i], now);
	if (now - p->last_ping_ms < PING_INTERVAL_MS)
		return;
	p->last_ping_ms = now;
	ping_all(p);
}

static void
peer_free(void *arg)
{
	struct peer *peer = arg;

	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

struct peers *
peers_new(
    struct node *node, const struct peers_ops *pops, void *arg, GError **err)
{
	struct peers *p = g_new0(struct peers, 1);

	p->node = node;
	p->ops = pops;
	p->arg = arg;
	p->peers = g_ptr_array_new_with_free_func(peer_free);
	p->conns = g_ptr_array_new_with_free_func(conn_free);
	for (guint i = 0; i < node->conf.replicas->len; i++) {
		struct replica_endpoint *r = &g_array_index(
		    node->conf.replicas, struct replica_endpoint, i);

		if (strcmp(r->name, node->conf.name) != 0)
			add_peer(p, r->name, r->address);
	}
	p->listener = listener_new(
	    node->base, node->conf.peer_address, on_accept, p, err);
	if (p->listener == NULL) {
		peers_free(p);
		return NULL;
	}
	p->timer = node_timer(node, SCAN_MS, on_timer, p);
	return p;
}

void
peers_free(struct peers *p)
{
	if (p == NULL)
		return;
	while (p->conns->len > 0)
		close_conn(p->conns->pdata[p->conns->len - 1]);
	listener_free(p->listener);
	if (p->timer != NULL)
		event_free(p->timer);
	g_ptr_array_unref(p->conns);
	g_ptr_array_unref(p->peers);
	g_free(p);
}

void
peers_set_identity(
    struct peers *p, uint64_t replica_id, uint64_t cell_id, bool formed)
{
	p->replica_id = replica_id;
	p->cell_id = cell_id;
	p->formed = formed;
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = p->conns->pdata[i];

		if (c->name != NULL && c->replica)
			send_hello(c);
	}
}

static struct conn *
find_replica(const struct peers *p, uint64_t replica_id)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct peer *peer = p->peers->pdata[i];

		if (peer->conn != NULL && peer->conn->name != NULL &&
		    peer->conn->replica_id == replica_id)
			return peer->conn;
	}
	return NULL;
}

void
peers_send_raft(struct peers *p, uint64_t to, GBytes *message)
{
	struct conn *c = find_replica(p, to);
	GByteArray *frame;
	uint8_t type = FRAME_RAFT;
	size_t len;
	const void *data;

	if (c == NULL)
		return;
	data = g_bytes_get_data(message, &len);
	frame = g_byte_array_sized_new((guint)len + 1);
	g_byte_array_append(frame, &type, 1);
	g_byte_array_append(frame, data, (guint)len);
	link_send(c->link, frame->data, frame->len);
	g_byte_array_unref(frame);
}

void
peers_each(struct peers *p, void (*fn)(void *arg, const struct peer_info *peer),
    void *arg)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct peer *peer = p->peers->pdata[i];
		struct peer_info info = { .name = peer->name };

		if (peer->conn == NULL || peer->conn->name == NULL)
			continue;
		info.replica_id = peer->conn->replica_id;
		info.cell_id = peer->conn->cell_id;
		info.formed = peer->conn->formed;
		fn(arg, &info);
	}
}

const char *
peers_name(const struct peers *p, uint64_t replica_id)
{
	struct conn *c = find_replica(p, replica_id);

	return c == NULL ? NULL : c->name;
}
