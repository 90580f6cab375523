#include <string.h>

#include "peers.h"

#define PING_MS 1000
#define DIAL_AGAIN_MS 300
#define HELLO_MS 5000 /* a new connection must say hello within this */
#define SESSIONS_MAX 64 /* links that are not replicas */

/* A replica we know of. */
struct peer {
	struct peers *peers;
	char *name;
	char *address; /* NULL: it dials us */
	struct conn *conn;
	int64_t dial_at_ms;
};

/* One link, dialled or accepted. */
struct conn {
	struct peers *peers;
	struct link *link;
	struct peer *peer; /* NULL: a session, or not yet known */
	char *name; /* from the hello; NULL before it */
	bool dialled;
	bool replica;
	uint64_t node;
	uint64_t cell;
	bool formed;
	int64_t heard_ms;
};

struct peers {
	struct node *node;
	const struct peers_ops *ops;
	void *arg;
	struct listener *listener;
	struct event *timer;
	GPtrArray *peers; /* struct peer */
	GPtrArray *conns; /* struct conn */
	uint64_t id;
	uint64_t cell;
	bool formed;
	int64_t pinged_ms;
};

static void
send_hello(struct conn *c)
{
	struct peers *p = c->peers;
	struct hello hello = { .version = PROTO_VERSION,
		.name = p->node->conf.name,
		.node = p->id,
		.cell = p->cell,
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

/* Forgets a connection whose link has ended or is being closed. */
static void
drop(struct conn *c)
{
	struct peers *p = c->peers;

	if (c->peer != NULL && c->peer->conn == c) {
		c->peer->conn = NULL;
		c->peer->dial_at_ms = mono_ms() + DIAL_AGAIN_MS;
	}
	if (c->name != NULL && !c->replica)
		p->ops->down(p->arg, c->link);
	g_ptr_array_remove_fast(p->conns, c);
}

static void
close_conn(struct conn *c)
{
	link_close(c->link);
	drop(c);
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
 * Of two links to one replica both sides keep the one that the smaller name
 * dialled. Returns whether the new one stays.
 */
static bool
settle(struct conn *c, struct peer *peer)
{
	bool ours = strcmp(c->peers->node->conf.name, peer->name) < 0;
	struct conn *old = peer->conn;

	if (old == c)
		return true;
	if (old != NULL && old->name != NULL && old->dialled != c->dialled &&
	    c->dialled != ours)
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
replica_hello(struct conn *c)
{
	struct peers *p = c->peers;
	struct peer *peer = find_peer(p, c->name);

	if (peer == NULL)
		peer = add_peer(p, c->name, NULL);
	if (!settle(c, peer)) {
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
		log_warn("peers", "closed a connection with a faulty hello");
		close_conn(c);
		return;
	}
	if (hello.cell != 0 && p->cell != 0 && hello.cell != p->cell) {
		log_error("peers", "refused %s: its folder is of another cell",
		    hello.name);
		shape_clear(proto_shape(FRAME_HELLO), &hello);
		close_conn(c);
		return;
	}
	if (first)
		c->name = g_strdup(hello.name);
	c->replica = hello.replica;
	c->node = hello.node;
	c->cell = hello.cell;
	c->formed = hello.formed;
	shape_clear(proto_shape(FRAME_HELLO), &hello);
	if (!c->replica)
		return;
	if (first && !c->dialled)
		send_hello(c);
	replica_hello(c);
}

static void
on_frame(void *arg, struct link *l, const void *data, size_t len)
{
	struct conn *c = arg;
	struct peers *p = c->peers;
	int type = shape_type(data, len);

	c->heard_ms = mono_ms();
	if (type == FRAME_HELLO) {
		on_hello(c, data, len);
		return;
	}
	if (c->name == NULL) {
		log_warn("peers", "closed a connection without a hello");
		close_conn(c);
		return;
	}
	if (type == FRAME_PING)
		return;
	if (!c->replica)
		p->ops->frame(p->arg, l, c->name, type, data, len);
	else if (type == FRAME_RAFT && c->node != 0)
		p->ops->raft(p->arg, c->node, (const char *)data + 1, len - 1);
}

static void
on_up(void *arg, struct link *l)
{
	struct conn *c = arg;

	c->heard_ms = mono_ms();
	send_hello(c);
}

static void
on_down(void *arg, struct link *l, const char *why)
{
	struct conn *c = arg;

	if (c->name != NULL)
		log_debug("peers", "link to %s ended: %s", c->name, why);
	drop(c);
}

static const struct link_ops ops = { on_up, on_frame, on_down };

static struct conn *
add_conn(struct peers *p, struct link *l, bool dialled)
{
	struct conn *c = g_new0(struct conn, 1);

	c->peers = p;
	c->link = l;
	c->dialled = dialled;
	c->heard_ms = mono_ms();
	link_set_arg(l, c);
	g_ptr_array_add(p->conns, c);
	return c;
}

static void
on_accept(void *arg, evutil_socket_t fd)
{
	struct peers *p = arg;

	if (p->conns->len >= SESSIONS_MAX + 2 * p->peers->len) {
		log_warn("peers", "refused a connection over the bound");
		evutil_closesocket(fd);
		return;
	}
	add_conn(p, link_accept(p->node->base, fd, &ops, NULL), false);
}

static void
dial(struct peer *peer, int64_t now)
{
	struct link *l;

	if (peer->conn != NULL || peer->address == NULL ||
	    now < peer->dial_at_ms)
		return;
	peer->dial_at_ms = now + DIAL_AGAIN_MS;
	l = link_dial(peer->peers->node->base, peer->address, &ops, NULL);
	if (l == NULL)
		return;
	peer->conn = add_conn(peer->peers, l, true);
	peer->conn->peer = peer;
}

/* Closes links that have been silent too long, or never said hello. */
static void
close_idle(struct peers *p, int64_t now)
{
	for (guint i = p->conns->len; i > 0; i--) {
		struct conn *c = p->conns->pdata[i - 1];
		int64_t bound = c->name == NULL && c->dialled ? DIAL_MS
		    : c->name == NULL                         ? HELLO_MS
							      : LINK_IDLE_MS;

		if (now - c->heard_ms > bound)
			close_conn(c);
		/* Closing may have closed others: start from what is left. */
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
	if (now - p->pinged_ms < PING_MS)
		return;
	p->pinged_ms = now;
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
		struct named_replica *r = &g_array_index(
		    node->conf.replicas, struct named_replica, i);

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
peers_identify(struct peers *p, uint64_t node, uint64_t cell, bool formed)
{
	p->id = node;
	p->cell = cell;
	p->formed = formed;
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = p->conns->pdata[i];

		if (c->name != NULL && c->replica)
			send_hello(c);
	}
}

static struct conn *
find_node(const struct peers *p, uint64_t node)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct peer *peer = p->peers->pdata[i];

		if (peer->conn != NULL && peer->conn->name != NULL &&
		    peer->conn->node == node)
			return peer->conn;
	}
	return NULL;
}

void
peers_send_raft(struct peers *p, uint64_t to, GBytes *message)
{
	struct conn *c = find_node(p, to);
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
		info.replica_id = peer->conn->node;
		info.cell_id = peer->conn->cell;
		info.formed = peer->conn->formed;
		fn(arg, &info);
	}
}

const char *
peers_name(const struct peers *p, uint64_t node)
{
	struct conn *c = find_node(p, node);

	return c == NULL ? NULL : c->name;
}
