#include <string.h>

#include "logs.h"
#include "mesh.h"
#include "settings.h"

#define MESH_VERSION 1
#define SCAN_MS 100 /* between looks at links and addresses */
#define DIAL_AGAIN_MS 250 /* a lost link is back within half an election */
#define DIAL_MS 1000 /* a connection attempt is given up */
#define FORGET_MS 60000 /* an address that is no seed and gives no answer */
#define LINKS_MAX 512 /* accepted */

enum mesh_frame { FRAME_HELLO = 1, FRAME_PING, FRAME_RAFT };

struct mesh_link {
	struct mesh *mesh;
	struct link *link;
	struct peer *peer; /* dialled: the address it belongs to */
	struct mesh_hello hello; /* name NULL: not said yet */
	bool connected;
	int64_t heard_ms;
	int64_t sent_ms;
};

/* An address that is dialled. */
struct peer {
	char *address;
	struct mesh_link *l; /* NULL: not connected */
	bool seed;
	int64_t dial_at_ms;
	int64_t seen_ms;
};

struct mesh {
	struct event_base *base;
	char *name;
	char *address;
	bool replica;
	const struct mesh_ops *ops;
	void *arg;
	struct listener *listener;
	struct event *timer;
	GPtrArray *peers; /* struct peer */
	GPtrArray *links; /* struct mesh_link */
	uint64_t node;
	uint64_t cell;
	bool formed;
	uint64_t term;
};

#define AT(member, kind)                                  \
	{                                                 \
		kind, offsetof(struct mesh_hello, member) \
	}

static const struct field hello_fields[] = { AT(version, FIELD_U64),
	AT(name, FIELD_STR), AT(address, FIELD_STR), AT(replica, FIELD_BOOL),
	AT(node, FIELD_U64), AT(cell, FIELD_U64), AT(formed, FIELD_BOOL),
	AT(term, FIELD_U64), AT(replicas, FIELD_STR) };

static const struct shape hello_shape = { "mesh hello", hello_fields,
	G_N_ELEMENTS(hello_fields), sizeof(struct mesh_hello) };

/* Addresses of the replicas that are known to run. */
static char *
known_replicas(const struct mesh *m)
{
	GString *out = g_string_new(m->replica ? m->address : "");

	for (guint i = 0; i < m->links->len; i++) {
		const struct mesh_link *l = m->links->pdata[i];

		if (l->hello.name == NULL || !l->hello.replica ||
		    strstr(out->str, l->hello.address) != NULL)
			continue;
		g_string_append_printf(
		    out, "%s%s", out->len > 0 ? "," : "", l->hello.address);
	}
	return g_string_free(out, FALSE);
}

static void
send_hello(struct mesh_link *l)
{
	struct mesh *m = l->mesh;
	struct mesh_hello hello = { .version = MESH_VERSION,
		.name = m->name,
		.address = m->address,
		.replica = m->replica,
		.node = m->node,
		.cell = m->cell,
		.formed = m->formed,
		.term = m->term,
		.replicas = known_replicas(m) };
	GBytes *frame = shape_encode(FRAME_HELLO, &hello_shape, &hello);

	mesh_send(l, frame);
	g_bytes_unref(frame);
	g_free(hello.replicas);
}

static void
tell_all(struct mesh *m)
{
	for (guint i = 0; i < m->links->len; i++) {
		struct mesh_link *l = m->links->pdata[i];

		if (l->connected)
			send_hello(l);
	}
}

/* Forgets a link that has ended or is being closed. */
static void
drop(struct mesh_link *l, const char *why)
{
	struct mesh *m = l->mesh;

	if (l->peer != NULL) {
		l->peer->l = NULL;
		l->peer->dial_at_ms = mono_ms() + DIAL_AGAIN_MS;
	}
	g_ptr_array_remove_fast(m->links, l);
	if (l->hello.name != NULL) {
		log_info("mesh",
		    "event=link-lost peer=%s dialled=%d why=\"%s\"",
		    l->hello.name, l->peer != NULL, why);
		m->ops->link(m->arg, l, false);
	}
	shape_clear(&hello_shape, &l->hello);
	g_free(l);
}

static void
close_link(struct mesh_link *l, const char *why)
{
	link_close(l->link);
	drop(l, why);
}

static struct peer *
find_peer(struct mesh *m, const char *address)
{
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (strcmp(p->address, address) == 0)
			return p;
	}
	return NULL;
}

static struct peer *
learn(struct mesh *m, const char *address)
{
	struct peer *p = find_peer(m, address);

	if (p != NULL || strcmp(address, m->address) == 0 ||
	    !address_parse(address, false))
		return p;
	p = g_new0(struct peer, 1);
	p->address = g_strdup(address);
	p->seen_ms = mono_ms();
	g_ptr_array_add(m->peers, p);
	return p;
}

static void
learn_all(struct mesh *m, const struct mesh_hello *hello)
{
	char **list =
	    g_strsplit(hello->replicas == NULL ? "" : hello->replicas, ",", -1);

	for (int i = 0; list[i] != NULL; i++)
		(void)learn(m, list[i]);
	if (hello->replica)
		(void)learn(m, hello->address);
	g_strfreev(list);
}

static void
on_hello(struct mesh_link *l, const void *data, size_t len)
{
	struct mesh *m = l->mesh;
	struct mesh_hello hello;
	bool first = l->hello.name == NULL;

	if (!shape_decode(data, len, &hello_shape, &hello, NULL))
		hello = (struct mesh_hello){ 0 };
	if (hello.version != MESH_VERSION || hello.name == NULL ||
	    hello.address == NULL || !address_parse(hello.address, false) ||
	    (hello.cell != 0 && m->cell != 0 && hello.cell != m->cell)) {
		log_warn("mesh",
		    "event=link-refused peer=%s cell=%016" G_GINT64_MODIFIER
		    "x ours=%016" G_GINT64_MODIFIER "x",
		    hello.name == NULL ? "" : hello.name, hello.cell, m->cell);
		shape_clear(&hello_shape, &hello);
		close_link(l, "faulty hello or another cell");
		return;
	}
	shape_clear(&hello_shape, &l->hello);
	l->hello = hello;
	learn_all(m, &l->hello);
	if (first) {
		log_info("mesh", "event=link-up peer=%s dialled=%d", hello.name,
		    l->peer != NULL);
		if (l->peer == NULL)
			send_hello(l);
		/* The others may not know this replica yet. */
		if (hello.replica && l->peer == NULL)
			tell_all(m);
	}
	m->ops->link(m->arg, l, true);
}

static void
on_frame(void *arg, struct link *link, const void *data, size_t len)
{
	struct mesh_link *l = arg;
	struct mesh *m = l->mesh;
	int type = shape_type(data, len);

	l->heard_ms = mono_ms();
	if (l->peer != NULL)
		l->peer->seen_ms = l->heard_ms;
	if (type == FRAME_HELLO) {
		on_hello(l, data, len);
		return;
	}
	if (l->hello.name == NULL) {
		log_warn("mesh", "event=link-refused why=\"no hello\"");
		close_link(l, "a frame before the hello");
		return;
	}
	if (type == FRAME_RAFT && l->hello.node != 0)
		m->ops->raft(
		    m->arg, l->hello.node, (const char *)data + 1, len - 1);
	else if (type >= MESH_FRAME_FIRST)
		m->ops->frame(m->arg, l, type, data, len);
}

static void
on_up(void *arg, struct link *link)
{
	struct mesh_link *l = arg;

	l->connected = true;
	l->heard_ms = mono_ms();
	send_hello(l);
}

static void
on_down(void *arg, struct link *link, const char *why)
{
	drop(arg, why);
}

static const struct link_ops link_ops = { on_up, on_frame, on_down };

static struct mesh_link *
add_link(struct mesh *m, struct link *link, struct peer *peer)
{
	struct mesh_link *l = g_new0(struct mesh_link, 1);

	l->mesh = m;
	l->link = link;
	l->peer = peer;
	l->connected = peer == NULL;
	l->heard_ms = mono_ms();
	link_set_arg(link, l);
	g_ptr_array_add(m->links, l);
	return l;
}

static void
on_accept(void *arg, evutil_socket_t fd)
{
	struct mesh *m = arg;

	if (m->links->len >= LINKS_MAX) {
		log_warn("mesh", "event=link-refused why=\"over the bound\"");
		evutil_closesocket(fd);
		return;
	}
	add_link(m, link_accept(m->base, fd, &link_ops, NULL), NULL);
}

static void
dial(struct mesh *m, struct peer *p, int64_t now)
{
	struct link *link;

	if (p->l != NULL || now < p->dial_at_ms)
		return;
	p->dial_at_ms = now + DIAL_AGAIN_MS;
	link = link_dial(m->base, p->address, &link_ops, NULL);
	if (link != NULL)
		p->l = add_link(m, link, p);
}

/* Closes links that have been silent too long; pings the others. */
static void
scan_links(struct mesh *m, int64_t now)
{
	static const uint8_t ping = FRAME_PING;

	for (guint i = m->links->len; i > 0; i--) {
		struct mesh_link *l = m->links->pdata[i - 1];
		int64_t bound = l->connected ? MESH_IDLE_MS : DIAL_MS;

		if (now - l->heard_ms > bound) {
			close_link(l, "silent");
			/* The owner may have closed others meanwhile. */
			i = MIN(i, m->links->len + 1);
			continue;
		}
		/* The hello goes first: an accepted link waits for theirs. */
		if (l->hello.name == NULL || now - l->sent_ms < MESH_PING_MS)
			continue;
		l->sent_ms = now;
		link_send(l->link, &ping, sizeof(ping));
	}
}

static void
peer_free(void *arg)
{
	struct peer *p = arg;

	g_free(p->address);
	g_free(p);
}

static void
scan_peers(struct mesh *m, int64_t now)
{
	for (guint i = m->peers->len; i > 0; i--) {
		struct peer *p = m->peers->pdata[i - 1];

		if (!p->seed && p->l == NULL && now - p->seen_ms > FORGET_MS) {
			g_ptr_array_remove_index_fast(m->peers, i - 1);
			continue;
		}
		/* A process without state is dialled as a seed only. */
		if (p->l != NULL && p->l->hello.name != NULL && !p->seed &&
		    !p->l->hello.replica)
			p->seen_ms = MIN(p->seen_ms, now - FORGET_MS);
		dial(m, p, now);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct mesh *m = arg;
	int64_t now = mono_ms();

	scan_links(m, now);
	scan_peers(m, now);
}

struct mesh *
mesh_new(const struct mesh_conf *conf, const struct mesh_ops *ops, void *arg,
    GError **err)
{
	struct timeval tv = { .tv_usec = SCAN_MS * 1000 };
	struct mesh *m = g_new0(struct mesh, 1);

	m->base = conf->base;
	m->name = g_strdup(conf->name);
	m->address = g_strdup(conf->address);
	m->replica = conf->replica;
	m->ops = ops;
	m->arg = arg;
	m->peers = g_ptr_array_new_with_free_func(peer_free);
	m->links = g_ptr_array_new();
	m->listener = listener_new(m->base,
	    conf->listen == NULL ? conf->address : conf->listen, on_accept, m,
	    err);
	if (m->listener == NULL) {
		mesh_free(m);
		return NULL;
	}
	m->timer = event_new(m->base, -1, EV_PERSIST, on_timer, m);
	event_add(m->timer, &tv);
	return m;
}

void
mesh_free(struct mesh *m)
{
	if (m == NULL)
		return;
	while (m->links->len > 0)
		close_link(m->links->pdata[m->links->len - 1], "stopping");
	if (m->listener != NULL)
		listener_free(m->listener);
	if (m->timer != NULL)
		event_free(m->timer);
	g_ptr_array_unref(m->links);
	g_ptr_array_unref(m->peers);
	g_free(m->name);
	g_free(m->address);
	g_free(m);
}

void
mesh_seed(struct mesh *m, GPtrArray *addresses)
{
	for (guint i = 0; i < m->peers->len; i++)
		((struct peer *)m->peers->pdata[i])->seed = false;
	for (guint i = 0; i < addresses->len; i++) {
		struct peer *p = learn(m, addresses->pdata[i]);

		if (p != NULL)
			p->seed = true;
	}
}

void
mesh_identify(struct mesh *m, uint64_t node, uint64_t cell, bool formed)
{
	m->node = node;
	m->cell = cell;
	m->formed = formed;
	tell_all(m);
}

void
mesh_leads(struct mesh *m, uint64_t term)
{
	if (m->term == term)
		return;
	m->term = term;
	tell_all(m);
}

uint64_t
mesh_leads_in(const struct mesh *m)
{
	return m->term;
}

static struct mesh_link *
find_node(const struct mesh *m, uint64_t node)
{
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->l != NULL && p->l->hello.name != NULL &&
		    p->l->hello.node == node)
			return p->l;
	}
	return NULL;
}

void
mesh_send_raft(struct mesh *m, uint64_t to, GBytes *message)
{
	struct mesh_link *l = find_node(m, to);
	uint8_t type = FRAME_RAFT;
	GByteArray *frame;
	size_t len;
	const void *data;

	if (l == NULL)
		return;
	data = g_bytes_get_data(message, &len);
	frame = g_byte_array_sized_new((guint)len + 1);
	g_byte_array_append(frame, &type, 1);
	g_byte_array_append(frame, data, (guint)len);
	l->sent_ms = mono_ms();
	link_send(l->link, frame->data, frame->len);
	g_byte_array_unref(frame);
}

void
mesh_send(struct mesh_link *l, GBytes *frame)
{
	l->sent_ms = mono_ms();
	link_send_bytes(l->link, frame);
}

const struct mesh_hello *
mesh_peer(const struct mesh_link *l)
{
	return &l->hello;
}

bool
mesh_dialled(const struct mesh_link *l)
{
	return l->peer != NULL;
}

void
mesh_each(struct mesh *m, bool dialled,
    void (*fn)(void *arg, struct mesh_link *l), void *arg)
{
	for (guint i = 0; i < m->links->len; i++) {
		struct mesh_link *l = m->links->pdata[i];

		if (l->hello.name != NULL && (l->peer != NULL) == dialled)
			fn(arg, l);
	}
}

struct mesh_link *
mesh_leader(struct mesh *m)
{
	struct mesh_link *best = NULL;

	for (guint i = 0; i < m->links->len; i++) {
		struct mesh_link *l = m->links->pdata[i];

		if (l->peer == NULL || l->hello.name == NULL ||
		    l->hello.term == 0)
			continue;
		if (best == NULL || l->hello.term > best->hello.term)
			best = l;
	}
	return best;
}
