#include <string.h>

#include "logs.h"
#include "mesh.h"
#include "settings.h"

#define MESH_VERSION 1
#define CHECK_MS 100 /* period of the checks of links and addresses */
/* Restores a lost link within half an election timeout. */
#define REDIAL_MS 250
/*
 * A process that starts after the SYN was sent answers the next one, which the
 * kernel sends after 1 s: a dial is repeated earlier than that. Every
 * LONG_DIAL_INTERVAL-th one waits longer, for links with a high latency.
 */
#define DIAL_TIMEOUT_MS 250
#define LONG_DIAL_TIMEOUT_MS 1000
#define LONG_DIAL_INTERVAL 4
/* An address that is no seed is removed if it does not answer for so long. */
#define PEER_EXPIRY_MS 60000
#define LINKS_MAX 512 /* beyond it those without a hello are closed */
#define PEERS_MAX 512 /* addresses to dial, besides seeds */
#define HELLO_MAX_BYTES (64 * 1024) /* names some hundred replicas */

enum mesh_frame { FRAME_HELLO = 1, FRAME_PING, FRAME_RAFT };

struct mesh_link {
	struct mesh *mesh;
	struct link *link;
	struct peer *peer; /* that was dialled; NULL: accepted link */
	struct mesh_hello hello; /* of the peer; name NULL: none yet */
	bool connected;
	int64_t last_received_ms;
	int64_t last_sent_ms;
};

/* An address to be dialled. */
struct peer {
	char *address;
	struct mesh_link *link; /* NULL: not connected */
	bool seed;
	unsigned dials; /* since the last hello */
	int64_t next_dial_ms;
	int64_t last_active_ms; /* when added, or the last frame */
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
	/* Sent in the hello. */
	uint64_t replica_id;
	uint64_t cell_id;
	bool formed;
	uint64_t leading_term;
};

#define AT(member, kind)                                  \
	{                                                 \
		kind, offsetof(struct mesh_hello, member) \
	}

static const struct field hello_fields[] = { AT(version, FIELD_U64),
	AT(name, FIELD_STR), AT(address, FIELD_STR), AT(replica, FIELD_BOOL),
	AT(replica_id, FIELD_U64), AT(cell_id, FIELD_U64),
	AT(formed, FIELD_BOOL), AT(leading_term, FIELD_U64),
	AT(replicas, FIELD_STR) };

static const struct shape hello_shape = { "mesh hello", hello_fields,
	G_N_ELEMENTS(hello_fields), sizeof(struct mesh_hello) };

/* Addresses of this process and its peers, as far as they are replicas. */
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
		.replica_id = m->replica_id,
		.cell_id = m->cell_id,
		.formed = m->formed,
		.leading_term = m->leading_term,
		.replicas = known_replicas(m) };
	GBytes *frame = shape_encode(FRAME_HELLO, &hello_shape, &hello);

	mesh_send(l, frame);
	g_bytes_unref(frame);
	g_free(hello.replicas);
}

static void
send_hello_to_all(struct mesh *m)
{
	for (guint i = 0; i < m->links->len; i++) {
		struct mesh_link *l = m->links->pdata[i];

		if (l->connected)
			send_hello(l);
	}
}

/* Removes and frees a link whose connection is down or closed. */
static void
remove_link(struct mesh_link *l, const char *why)
{
	struct mesh *m = l->mesh;

	if (l->peer != NULL) {
		l->peer->link = NULL;
		l->peer->next_dial_ms = mono_ms() + REDIAL_MS;
	}
	g_ptr_array_remove_fast(m->links, l);
	if (l->hello.name != NULL) {
		log_info("mesh",
		    "event=link-lost peer=%s dialled=%d why=\"%s\"",
		    l->hello.name, l->peer != NULL, why);
		m->ops->link_changed(m->arg, l, false);
	}
	shape_clear_message(&hello_shape, &l->hello);
	g_free(l);
}

static void
close_link(struct mesh_link *l, const char *why)
{
	link_close(l->link);
	remove_link(l, why);
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

/* Finds or adds an address; NULL if it is malformed or this process's own. */
static struct peer *
add_peer(struct mesh *m, const char *address)
{
	struct peer *p = find_peer(m, address);

	if (p != NULL || strcmp(address, m->address) == 0 ||
	    !address_valid(address, false) || m->peers->len >= PEERS_MAX)
		return p;
	p = g_new0(struct peer, 1);
	p->address = g_strdup(address);
	p->last_active_ms = mono_ms();
	g_ptr_array_add(m->peers, p);
	return p;
}

static void
add_peers(struct mesh *m, const struct mesh_hello *hello)
{
	char **list =
	    g_strsplit(hello->replicas == NULL ? "" : hello->replicas, ",", -1);

	for (int i = 0; list[i] != NULL; i++)
		(void)add_peer(m, list[i]);
	if (hello->replica)
		(void)add_peer(m, hello->address);
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
	    hello.address == NULL || !address_valid(hello.address, false) ||
	    (hello.cell_id != 0 && m->cell_id != 0 &&
		hello.cell_id != m->cell_id)) {
		log_warn("mesh",
		    "event=link-refused peer=%s cell=%016" G_GINT64_MODIFIER
		    "x own_cell=%016" G_GINT64_MODIFIER "x",
		    hello.name == NULL ? "" : hello.name, hello.cell_id,
		    m->cell_id);
		shape_clear_message(&hello_shape, &hello);
		close_link(l, "invalid hello or another cell");
		return;
	}
	shape_clear_message(&hello_shape, &l->hello);
	l->hello = hello;
	link_set_frame_max(l->link, FRAME_MAX);
	link_set_known(l->link);
	if (l->peer != NULL)
		l->peer->dials = 0;
	add_peers(m, &l->hello);
	if (first) {
		log_info("mesh", "event=link-up peer=%s dialled=%d", hello.name,
		    l->peer != NULL);
		if (l->peer == NULL)
			send_hello(l);
		/* The other peers may not know this replica yet. */
		if (hello.replica && l->peer == NULL)
			send_hello_to_all(m);
	}
	m->ops->link_changed(m->arg, l, true);
}

static void
on_frame(void *arg, struct link *link, const void *data, size_t len)
{
	struct mesh_link *l = arg;
	struct mesh *m = l->mesh;
	int type = shape_frame_type(data, len);

	l->last_received_ms = mono_ms();
	if (l->peer != NULL)
		l->peer->last_active_ms = l->last_received_ms;
	if (type == FRAME_HELLO) {
		on_hello(l, data, len);
		return;
	}
	if (l->hello.name == NULL) {
		log_warn(
		    "mesh", "event=link-refused why=\"frame before hello\"");
		close_link(l, "frame before hello");
		return;
	}
	if (type == FRAME_RAFT && l->hello.replica_id != 0)
		m->ops->raft_message(m->arg, l->hello.replica_id,
		    (const char *)data + 1, len - 1);
	else if (type >= MESH_FRAME_FIRST)
		m->ops->frame(m->arg, l, type, data, len);
}

static void
on_up(void *arg, struct link *link)
{
	struct mesh_link *l = arg;

	l->connected = true;
	l->last_received_ms = mono_ms();
	send_hello(l);
}

static void
on_down(void *arg, struct link *link, const char *why)
{
	remove_link(arg, why);
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
	l->last_received_ms = mono_ms();
	link_set_arg(link, l);
	g_ptr_array_add(m->links, l);
	return l;
}

/* Closes an accepted link whose peer has not sent its hello. */
static void
close_unknown(struct mesh *m)
{
	for (guint i = 0; i < m->links->len; i++) {
		struct mesh_link *l = m->links->pdata[i];

		if (l->peer == NULL && l->hello.name == NULL) {
			close_link(l, "closed for others");
			return;
		}
	}
}

static void
on_accept(void *arg, evutil_socket_t fd)
{
	struct mesh *m = arg;
	struct link *link;

	if (m->links->len >= LINKS_MAX)
		close_unknown(m);
	if (m->links->len >= LINKS_MAX) {
		log_warn("mesh",
		    "event=link-refused why=\"connection limit reached\"");
		evutil_closesocket(fd);
		return;
	}
	link = link_accept(m->base, fd, &link_ops, NULL);
	if (link == NULL)
		return;
	link_set_frame_max(link, HELLO_MAX_BYTES);
	add_link(m, link, NULL);
}

static void
dial(struct mesh *m, struct peer *p, int64_t now)
{
	struct link *link;

	if (p->link != NULL || now < p->next_dial_ms)
		return;
	p->next_dial_ms = now + REDIAL_MS;
	p->dials++;
	link = link_dial(m->base, p->address, &link_ops, NULL);
	if (link == NULL)
		return;
	link_set_frame_max(link, HELLO_MAX_BYTES);
	p->link = add_link(m, link, p);
}

static int64_t
link_timeout_ms(const struct mesh_link *l)
{
	if (l->connected)
		return MESH_IDLE_MS;
	return l->peer->dials % LONG_DIAL_INTERVAL == 0 ? LONG_DIAL_TIMEOUT_MS
							: DIAL_TIMEOUT_MS;
}

static void
time_out(struct mesh_link *l, int64_t now)
{
	struct peer *redial = l->connected ? NULL : l->peer;

	close_link(l, "timed out");
	if (redial != NULL)
		redial->next_dial_ms = now;
}

/* Closes links without a frame for too long and pings idle ones. */
static void
check_links(struct mesh *m, int64_t now)
{
	static const uint8_t ping = FRAME_PING;

	for (guint i = m->links->len; i > 0; i--) {
		struct mesh_link *l = m->links->pdata[i - 1];

		if (now - l->last_received_ms > link_timeout_ms(l)) {
			time_out(l, now);
			/* The callback may have removed other links. */
			i = MIN(i, m->links->len + 1);
			continue;
		}
		/* An accepted link sends its hello only after the peer's, and
		 * a ping before the hello would be refused. */
		if (l->hello.name == NULL ||
		    now - l->last_sent_ms < MESH_PING_MS)
			continue;
		l->last_sent_ms = now;
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
check_peers(struct mesh *m, int64_t now)
{
	for (guint i = m->peers->len; i > 0; i--) {
		struct peer *p = m->peers->pdata[i - 1];

		if (!p->seed && p->link == NULL &&
		    now - p->last_active_ms > PEER_EXPIRY_MS) {
			g_ptr_array_remove_index_fast(m->peers, i - 1);
			continue;
		}
		/* A process that is no replica is dialled only as a seed: its
		 * address expires as soon as the link is down. */
		if (p->link != NULL && p->link->hello.name != NULL &&
		    !p->seed && !p->link->hello.replica)
			p->last_active_ms =
			    MIN(p->last_active_ms, now - PEER_EXPIRY_MS);
		dial(m, p, now);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct mesh *m = arg;
	int64_t now = mono_ms();

	check_links(m, now);
	check_peers(m, now);
}

struct mesh *
mesh_new(const struct mesh_conf *conf, const struct mesh_ops *ops, void *arg,
    GError **err)
{
	struct timeval tv = { .tv_usec = CHECK_MS * 1000 };
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
	    conf->listen_address == NULL ? conf->address : conf->listen_address,
	    on_accept, m, err);
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
mesh_set_seeds(struct mesh *m, GPtrArray *addresses)
{
	for (guint i = 0; i < m->peers->len; i++)
		((struct peer *)m->peers->pdata[i])->seed = false;
	for (guint i = 0; i < addresses->len; i++) {
		struct peer *p = add_peer(m, addresses->pdata[i]);

		if (p != NULL)
			p->seed = true;
	}
}

void
mesh_set_identity(
    struct mesh *m, uint64_t replica_id, uint64_t cell_id, bool formed)
{
	m->replica_id = replica_id;
	m->cell_id = cell_id;
	m->formed = formed;
	send_hello_to_all(m);
}

void
mesh_set_leading_term(struct mesh *m, uint64_t term)
{
	if (m->leading_term == term)
		return;
	m->leading_term = term;
	send_hello_to_all(m);
}

uint64_t
mesh_leading_term(const struct mesh *m)
{
	return m->leading_term;
}

static struct mesh_link *
find_replica(const struct mesh *m, uint64_t replica_id)
{
	for (guint i = 0; i < m->peers->len; i++) {
		struct peer *p = m->peers->pdata[i];

		if (p->link != NULL && p->link->hello.name != NULL &&
		    p->link->hello.replica_id == replica_id)
			return p->link;
	}
	return NULL;
}

void
mesh_send_raft(struct mesh *m, uint64_t to, GBytes *message)
{
	struct mesh_link *l = find_replica(m, to);
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
	l->last_sent_ms = mono_ms();
	link_send(l->link, frame->data, frame->len);
	g_byte_array_unref(frame);
}

void
mesh_send(struct mesh_link *l, GBytes *frame)
{
	l->last_sent_ms = mono_ms();
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
mesh_each_link(struct mesh *m, bool dialled,
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
		    l->hello.leading_term == 0)
			continue;
		if (best == NULL ||
		    l->hello.leading_term > best->hello.leading_term)
			best = l;
	}
	return best;
}
