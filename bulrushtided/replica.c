#include <string.h>

#include "mailbox.h"
#include "peers.h"
#include "replica.h"
#include "wal.h"

#define TICK_MS 100
#define ELECTION_TICKS 10
#define HEARTBEAT_TICKS 2
#define APPEND_MAX (256 * 1024)
#define INFLIGHT_MAX 16
#define CHUNK_BYTES (128 * 1024)
#define SNAPSHOT_ENTRIES 10000 /* applied since the last snapshot */
#define KEEP_ENTRIES 1000 /* for followers that lag */
#define FORM_ALL_MS 1500 /* wait this long for all named replicas */

/*
 * A round of storing and sending runs at once while rounds are rare. Beyond
 * a burst they are spaced out, so that many entries share one sync and one
 * message when the load is high.
 */
#define PUMP_BURST 20
#define PUMP_REFILL_MS 25 /* one more round at once for each */
#define PUMP_GAP_MS 20 /* between rounds once the burst is used up */

/* What an entry of type RAFT_DATA holds, by its first byte. */
#define TAG_COMMAND 'C'
#define TAG_FORM 'F' /* the cell's id, 8 bytes big-endian */

/* Messages that wait for a batch to be synced. */
struct ticket {
	uint64_t number;
	uint64_t index; /* last entry in the batch; 0: none */
	uint64_t term;
	GPtrArray *late;
};

/* From the file thread. */
struct synced {
	uint64_t ticket;
	char *failed; /* NULL: synced */
};

struct replica {
	struct node *node;
	const struct replica_ops *ops;
	void *arg;
	struct wal *wal;
	struct wal_image image;
	struct wal_identity identity;
	struct mailbox *mailbox;
	struct raft *raft; /* NULL: not formed or joined yet */
	struct cell *cell;
	uint64_t cell_id;
	uint64_t applied;
	uint64_t applied_term;
	struct raft_members applied_members;
	uint64_t snapshot_index;
	uint64_t next_ticket;
	GQueue tickets; /* struct ticket, in order */
	struct event *tick;
	struct event *pump;
	bool pump_due;
	int64_t pumped_ms;
	int64_t tokens_ms; /* rounds at once, in PUMP_REFILL_MS each */
	bool has_form; /* the log holds a cell's first record */
	int64_t opened_ms;
	bool forming; /* the form record is proposed */
	bool led;
};

static void
put_u64(uint8_t *p, uint64_t v)
{
	for (int i = 7; i >= 0; i--, v >>= 8)
		p[i] = (uint8_t)v;
}

static uint64_t
get_u64(const uint8_t *p)
{
	uint64_t v = 0;

	for (int i = 0; i < 8; i++)
		v = v << 8 | p[i];
	return v;
}

/*
 * A replica id carries its name's hash in the upper half, so that a disk
 * that comes back empty is known to replace the old one of that name.
 */
static uint64_t
replica_id(const char *name, uint32_t nonce)
{
	return hash64(name, strlen(name)) << 32 | nonce;
}

static bool
same_name(uint64_t id, const char *name)
{
	return id >> 32 == replica_id(name, 0) >> 32;
}

static void
ticket_free(void *arg)
{
	struct ticket *t = arg;

	g_ptr_array_unref(t->late);
	g_free(t);
}

static void
synced_free(void *arg)
{
	struct synced *s = arg;

	g_free(s->failed);
	g_free(s);
}

static void
on_wal_done(void *arg, uint64_t ticket, const GError *err)
{
	struct replica *r = arg;
	struct synced *s = g_new0(struct synced, 1);

	s->ticket = ticket;
	s->failed = err == NULL ? NULL : g_strdup(err->message);
	mailbox_post(r->mailbox, s);
}

static void
send_messages(struct replica *r, GPtrArray *messages)
{
	for (guint i = 0; i < messages->len; i++) {
		struct raft_msg *m = messages->pdata[i];
		GBytes *bytes = raft_msg_encode(m);

		peers_send_raft(r->node->peers, m->to, bytes);
		g_bytes_unref(bytes);
	}
}

/* Returns how long the next round has to wait, in milliseconds. */
static int64_t
pump_delay(struct replica *r)
{
	int64_t now = mono_ms();
	int64_t since = now - r->pumped_ms;

	r->pumped_ms = now;
	r->tokens_ms = MIN(r->tokens_ms + since, PUMP_BURST * PUMP_REFILL_MS);
	if (r->tokens_ms >= PUMP_REFILL_MS) {
		r->tokens_ms -= PUMP_REFILL_MS;
		return 0;
	}
	return PUMP_GAP_MS;
}

/* Asks for a round at the end of this turn of the loop, or a little later. */
static void
schedule(struct replica *r)
{
	struct timeval tv = { 0 };

	if (r->pump_due)
		return;
	r->pump_due = true;
	tv.tv_usec = pump_delay(r) * 1000;
	if (tv.tv_usec == 0)
		event_active(r->pump, 0, 0);
	else
		event_add(r->pump, &tv);
}

/* Storage is gone: nothing more is acknowledged and nothing led. */
static void
fail(struct replica *r, const char *why)
{
	if (r->node->failed)
		return;
	log_error(
	    "replica", "storage failed, this replica steps down: %s", why);
	r->node->failed = true;
	raft_disable(r->raft);
	schedule(r);
}

static void
take_synced(void *arg, void *message)
{
	struct replica *r = arg;
	struct synced *s = message;

	if (s->failed != NULL) {
		fail(r, s->failed);
		synced_free(s);
		return;
	}
	while (!g_queue_is_empty(&r->tickets)) {
		struct ticket *t = g_queue_peek_head(&r->tickets);

		if (t->number > s->ticket)
			break;
		g_queue_pop_head(&r->tickets);
		if (t->index != 0)
			raft_stored(r->raft, t->index, t->term);
		send_messages(r, t->late);
		ticket_free(t);
	}
	synced_free(s);
	schedule(r);
}

static GBytes *
tagged(uint8_t tag, const void *data, size_t len)
{
	GByteArray *a = g_byte_array_sized_new((guint)len + 1);

	g_byte_array_append(a, &tag, 1);
	g_byte_array_append(a, data, (guint)len);
	return g_byte_array_free_to_bytes(a);
}

/* Says who this replica is; formed as soon as its log tells of a cell. */
static void
identify(struct replica *r)
{
	peers_identify(r->node->peers, r->identity.node, r->cell_id,
	    r->has_form || r->cell_id != 0);
}

/* Takes over the cell's id once it is agreed. */
static void
set_cell(struct replica *r, uint64_t cell)
{
	if (cell == 0 || r->cell_id == cell)
		return;
	r->cell_id = cell;
	identify(r);
	log_info("replica", "belongs to cell %016" G_GINT64_MODIFIER "x", cell);
}

static void
apply_data(struct replica *r, const struct raft_entry *e)
{
	struct cell_result result = { 0 };
	GError *err = NULL;
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	if (len == 9 && data[0] == TAG_FORM) {
		set_cell(r, get_u64(data + 1));
		return;
	}
	if (len == 0 || data[0] != TAG_COMMAND ||
	    !cell_apply(r->cell, data + 1, len - 1, &result, &err))
		g_error("replica: entry %" G_GUINT64_FORMAT
			" can't be applied: %s",
		    e->index, err == NULL ? "unknown tag" : err->message);
	r->node->counters.commits->value++;
	r->ops->applied(r->arg, e->index, &result);
	cell_result_clear(&result);
}

static void
apply_members(struct replica *r, const struct raft_entry *e)
{
	size_t len;
	const void *data = g_bytes_get_data(e->data, &len);

	if (!raft_members_decode(data, len, &r->applied_members))
		g_error("replica: a membership entry can't be decoded");
}

static void
apply_all(struct replica *r, GPtrArray *committed)
{
	for (guint i = 0; i < committed->len; i++) {
		struct raft_entry *e = committed->pdata[i];

		g_assert(e->index == r->applied + 1);
		if (e->type == RAFT_DATA)
			apply_data(r, e);
		if (e->type == RAFT_MEMBERS)
			apply_members(r, e);
		r->applied = e->index;
		r->applied_term = e->term;
	}
}

/* A snapshot is the cell's id and the cell's state. */
static bool
restore(struct replica *r, const struct raft_snapshot *s, GError **err)
{
	GBytes *state;
	bool ok;

	if (g_bytes_get_size(s->data) < 8) {
		g_set_error_literal(
		    err, BT_ERROR, ERR_CORRUPT, "the snapshot is too short");
		return false;
	}
	state =
	    g_bytes_new_from_bytes(s->data, 8, g_bytes_get_size(s->data) - 8);
	ok = cell_restore(r->cell, state, err);
	g_bytes_unref(state);
	if (!ok)
		return false;
	r->cell_id = get_u64(g_bytes_get_data(s->data, NULL));
	r->applied = s->index;
	r->applied_term = s->term;
	r->applied_members = s->members;
	r->snapshot_index = s->index;
	return true;
}

static bool
is_form(const struct raft_entry *e)
{
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	return e->type == RAFT_DATA && len == 9 && data[0] == TAG_FORM;
}

static void
note_form(struct replica *r, GPtrArray *entries)
{
	for (guint i = 0; !r->has_form && entries != NULL && i < entries->len;
	     i++)
		r->has_form = is_form(entries->pdata[i]);
}

static void
write_batch(struct replica *r, struct raft_out *out,
    const struct raft_snapshot *snapshot)
{
	struct ticket *t = g_new0(struct ticket, 1);
	struct wal_batch batch = { .hard =
				       out->hard_changed ? &out->hard : NULL,
		.entries = out->entries,
		.snapshot = snapshot };

	t->number = batch.ticket = ++r->next_ticket;
	if (out->entries != NULL && out->entries->len > 0) {
		struct raft_entry *last =
		    out->entries->pdata[out->entries->len - 1];

		t->index = last->index;
		t->term = last->term;
	} else if (out->snapshot != NULL) {
		t->index = out->snapshot->index;
		t->term = out->snapshot->term;
	}
	t->late =
	    out->late == NULL ? g_ptr_array_new() : g_ptr_array_ref(out->late);
	g_queue_push_tail(&r->tickets, t);
	wal_write(r->wal, &batch);
}

static void
maybe_snapshot(struct replica *r)
{
	struct raft_snapshot s = { .index = r->applied,
		.term = r->applied_term,
		.members = r->applied_members };
	struct raft_out none = { 0 };
	GBytes *state;
	GByteArray *data;
	uint8_t id[8];
	size_t len;
	const void *p;

	if (r->applied - r->snapshot_index < SNAPSHOT_ENTRIES)
		return;
	state = cell_snapshot(r->cell);
	p = g_bytes_get_data(state, &len);
	data = g_byte_array_sized_new((guint)len + 8);
	put_u64(id, r->cell_id);
	g_byte_array_append(data, id, 8);
	g_byte_array_append(data, p, (guint)len);
	g_bytes_unref(state);
	s.data = g_byte_array_free_to_bytes(data);
	raft_compact(r->raft, &s, KEEP_ENTRIES);
	write_batch(r, &none, &s);
	g_bytes_unref(s.data);
	r->snapshot_index = r->applied;
	log_info("replica", "took a snapshot at entry %" G_GUINT64_FORMAT,
	    r->applied);
}

static void
answer_reads(struct replica *r, const struct raft_out *out)
{
	for (guint i = 0; out->reads != NULL && i < out->reads->len; i++)
		r->ops->read(
		    r->arg, g_array_index(out->reads, uint64_t, i), true);
	for (guint i = 0;
	     out->reads_failed != NULL && i < out->reads_failed->len; i++)
		r->ops->read(r->arg,
		    g_array_index(out->reads_failed, uint64_t, i), false);
}

/* The first leader of a fresh cell draws the cell's id. */
static void
maybe_form(struct replica *r)
{
	uint8_t id[8];
	GBytes *data;

	if (r->cell_id != 0 || r->forming || !raft_settled(r->raft))
		return;
	put_u64(id, random_id());
	data = tagged(TAG_FORM, id, sizeof(id));
	r->forming = raft_propose(r->raft, data) != 0;
	g_bytes_unref(data);
	schedule(r);
}

/* Stores the identity, which is synced before the replica takes part. */
static bool
store_identity(struct replica *r, uint64_t node, uint64_t cell)
{
	GError *err = NULL;

	r->identity.node = node;
	r->identity.cell = cell;
	g_strlcpy(
	    r->identity.name, r->node->conf.name, sizeof(r->identity.name));
	if (wal_set_identity(r->wal, &r->identity, &err))
		return true;
	log_error("replica", "can't store the identity: %s", err->message);
	g_clear_error(&err);
	r->node->failed = true;
	return false;
}

static struct raft_members
founders(struct replica *r)
{
	struct raft_members m = { 0 };
	GArray *named = r->node->conf.replicas;

	for (guint i = 0; i < named->len; i++) {
		struct named_replica *n =
		    &g_array_index(named, struct named_replica, i);

		m.member[m.count++] =
		    (struct raft_member){ .id = replica_id(n->name, 1) };
	}
	return m;
}

static void
start_raft(struct replica *r)
{
	struct raft_conf conf = { .id = r->identity.node,
		.election_ticks = ELECTION_TICKS,
		.heartbeat_ticks = HEARTBEAT_TICKS,
		.append_max = APPEND_MAX,
		.inflight_max = INFLIGHT_MAX,
		.chunk_bytes = CHUNK_BYTES,
		.seed = random_id(),
		.hard = r->image.hard,
		.snapshot = r->image.snapshot,
		.entries = r->image.entries };

	/* Only a founder takes the named replicas for the membership. */
	if ((uint32_t)r->identity.node == 1)
		conf.members = founders(r);
	if (r->image.snapshot == NULL)
		r->applied_members = conf.members;
	r->raft = raft_new(&conf);
	wal_start(r->wal, on_wal_done, r);
	wal_image_clear(&r->image);
	identify(r);
}

/* What the connected replicas say of themselves. */
struct census {
	guint seen;
	bool formed; /* one holds a cell's first record */
	uint64_t cell;
};

static void
count_peer(void *arg, const struct peer_info *peer)
{
	struct census *c = arg;

	c->seen++;
	c->formed |= peer->formed;
	if (peer->cell != 0)
		c->cell = peer->cell;
}

/*
 * An empty replica joins the cell that it hears of under a new identity. It
 * founds one when no replica has heard of a cell and a majority is there.
 */
static void
maybe_found(struct replica *r)
{
	struct census c = { .seen = 1 };
	guint named = r->node->conf.replicas->len;
	bool waited = mono_ms() - r->opened_ms > FORM_ALL_MS;

	if (r->node->failed)
		return;
	peers_each(r->node->peers, count_peer, &c);
	if (c.cell != 0) {
		uint32_t nonce = (uint32_t)random_id() | 2;

		if (!store_identity(
			r, replica_id(r->node->conf.name, nonce), c.cell))
			return;
		r->cell_id = c.cell;
		log_info("replica", "joins an existing cell as a learner");
		start_raft(r);
		return;
	}
	/* A replica of a cell will know the cell's id once it has a leader:
	 * to found another one now would lose what that cell has agreed. */
	if (c.formed)
		return;
	if (c.seen <= named / 2 || (c.seen < named && !waited))
		return;
	if (!store_identity(r, replica_id(r->node->conf.name, 1), 0))
		return;
	log_info(
	    "replica", "founds a cell with %u of %u replicas", c.seen, named);
	start_raft(r);
}

/* Returns the first member of that name, or NULL. */
static const struct raft_member *
member_named(const struct replica *r, const char *name, uint64_t but)
{
	const struct raft_members *m = raft_members(r->raft);

	for (int i = 0; i < m->count; i++)
		if (m->member[i].id != but && same_name(m->member[i].id, name))
			return &m->member[i];
	return NULL;
}

static const struct raft_member *
member_with(const struct replica *r, uint64_t id)
{
	const struct raft_members *m = raft_members(r->raft);

	for (int i = 0; i < m->count; i++)
		if (m->member[i].id == id)
			return &m->member[i];
	return NULL;
}

/*
 * A connected replica whose name is a member under another id has lost its
 * disk. It becomes a learner, then the old id is removed, then the learner
 * is promoted once it has caught up: each step is seen from the membership
 * alone, so any leader can go on with it.
 */
static void
tend_member(void *arg, const struct peer_info *peer)
{
	struct replica *r = arg;
	const char *name = peer->name;
	uint64_t node = peer->node;
	const struct raft_member *mine = member_with(r, node);
	const struct raft_member *old = member_named(r, name, node);
	uint64_t index = 0;

	if (node == 0 || peer->cell != r->cell_id)
		return;
	if (mine == NULL && old != NULL)
		index = raft_propose_member(r->raft, node, true, false);
	else if (mine != NULL && old != NULL && mine->learner)
		index = raft_propose_member(r->raft, old->id, false, true);
	else if (mine != NULL && mine->learner)
		index = raft_propose_member(r->raft, node, false, false);
	if (index == 0)
		return;
	log_info("replica",
	    "membership of %s changes at entry %" G_GUINT64_FORMAT, name,
	    index);
	schedule(r);
}

static void
tend_members(struct replica *r)
{
	if (replica_leads(r))
		peers_each(r->node->peers, tend_member, r);
}

static void
on_pump(evutil_socket_t fd, short what, void *arg)
{
	struct replica *r = arg;
	struct raft_out out;

	r->pump_due = false;
	if (r->raft == NULL)
		return;
	raft_take(r->raft, &out);
	if (raft_out_empty(&out)) {
		raft_out_clear(&out);
		r->ops->advanced(r->arg);
		return;
	}
	send_messages(r, out.early);
	if (out.snapshot != NULL) {
		GError *err = NULL;

		if (!restore(r, out.snapshot, &err))
			g_error("replica: a snapshot can't be restored: %s",
			    err->message);
		log_info("replica",
		    "restored a snapshot at entry %" G_GUINT64_FORMAT,
		    r->applied);
	}
	if (out.hard_changed || out.entries->len > 0 || out.snapshot != NULL ||
	    out.late->len > 0)
		write_batch(r, &out, out.snapshot);
	if (!r->has_form) {
		note_form(r, out.entries);
		if (r->has_form)
			identify(r);
	}
	apply_all(r, out.committed);
	answer_reads(r, &out);
	maybe_form(r);
	maybe_snapshot(r);
	raft_out_clear(&out);
	r->ops->advanced(r->arg);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct replica *r = arg;
	struct wal_stats stats = wal_stats(r->wal);

	r->node->counters.wal_bytes->value = (int64_t)stats.bytes;
	r->node->counters.wal_fsyncs->value = (int64_t)stats.fsyncs;
	if (r->raft == NULL) {
		maybe_found(r);
		return;
	}
	raft_tick(r->raft);
	tend_members(r);
	schedule(r);
}

struct replica *
replica_new(
    struct node *node, const struct replica_ops *ops, void *arg, GError **err)
{
	struct replica *r = g_new0(struct replica, 1);

	r->node = node;
	r->ops = ops;
	r->arg = arg;
	r->opened_ms = mono_ms();
	g_queue_init(&r->tickets);
	r->cell = cell_new();
	r->wal = wal_open(node->conf.data_dir, &r->image, err);
	if (r->wal == NULL) {
		replica_free(r);
		return NULL;
	}
	r->identity = r->image.identity;
	if (r->identity.node != 0 &&
	    strcmp(r->identity.name, node->conf.name) != 0) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "--data-dir: the folder belongs to replica %s, not %s",
		    r->identity.name, node->conf.name);
		replica_free(r);
		return NULL;
	}
	r->cell_id = r->identity.cell;
	note_form(r, r->image.entries);
	if (r->image.truncated > 0)
		log_warn("replica",
		    "cut a torn tail of %" G_GUINT64_FORMAT
		    " bytes off the log",
		    r->image.truncated);
	if (r->image.snapshot != NULL && !restore(r, r->image.snapshot, err)) {
		replica_free(r);
		return NULL;
	}
	r->mailbox = mailbox_new(node->base, take_synced, r, err);
	if (r->mailbox == NULL) {
		replica_free(r);
		return NULL;
	}
	r->pump = event_new(node->base, -1, 0, on_pump, r);
	return r;
}

void
replica_start(struct replica *r)
{
	identify(r);
	if (r->identity.node != 0)
		start_raft(r);
	r->tick = node_timer(r->node, TICK_MS, on_tick, r);
}

void
replica_free(struct replica *r)
{
	if (r == NULL)
		return;
	if (r->tick != NULL)
		event_free(r->tick);
	if (r->pump != NULL)
		event_free(r->pump);
	if (r->wal != NULL)
		wal_close(r->wal);
	mailbox_free(r->mailbox, synced_free);
	wal_image_clear(&r->image);
	g_queue_clear_full(&r->tickets, ticket_free);
	if (r->raft != NULL)
		raft_free(r->raft);
	cell_free(r->cell);
	g_free(r);
}

void
replica_message(struct replica *r, uint64_t from, const void *data, size_t len)
{
	struct raft_msg *m;
	GError *err = NULL;

	if (r->raft == NULL)
		return;
	m = raft_msg_decode(data, len, &err);
	if (m == NULL) {
		log_warn("replica", "dropped a message: %s", err->message);
		g_clear_error(&err);
		return;
	}
	if (m->from == from && m->to == r->identity.node) {
		raft_step(r->raft, m);
		schedule(r);
	}
	raft_msg_free(m);
}

struct cell *
replica_cell(const struct replica *r)
{
	return r->cell;
}

bool
replica_leads(const struct replica *r)
{
	return r->raft != NULL && !r->node->failed &&
	    raft_role(r->raft) == RAFT_LEADER && raft_settled(r->raft) &&
	    r->cell_id != 0;
}

uint64_t
replica_term(const struct replica *r)
{
	return r->raft == NULL ? 0 : raft_term(r->raft);
}

const char *
replica_leader_name(const struct replica *r)
{
	uint64_t id = r->raft == NULL ? 0 : raft_leader(r->raft);
	const char *name;

	if (id == RAFT_NONE)
		return "";
	if (id == r->identity.node)
		return r->node->conf.name;
	name = peers_name(r->node->peers, id);
	return name == NULL ? "" : name;
}

uint64_t
replica_propose(struct replica *r, GBytes *command)
{
	size_t len;
	const void *data = g_bytes_get_data(command, &len);
	GBytes *wrapped;
	uint64_t index;

	if (!replica_leads(r))
		return 0;
	wrapped = tagged(TAG_COMMAND, data, len);
	index = raft_propose(r->raft, wrapped);
	g_bytes_unref(wrapped);
	schedule(r);
	return index;
}

bool
replica_read(struct replica *r, uint64_t context)
{
	schedule(r);
	return replica_leads(r) && raft_read(r->raft, context);
}

/* The connected replica of a name. */
struct wanted {
	const char *name;
	uint64_t node;
};

static void
match_name(void *arg, const struct peer_info *peer)
{
	struct wanted *w = arg;

	if (strcmp(peer->name, w->name) == 0)
		w->node = peer->node;
}

const char *
replica_add(struct replica *r, const char *name)
{
	struct wanted w = { .name = name };

	if (!replica_leads(r))
		return "this replica does not lead";
	if (member_named(r, name, 0) != NULL)
		return "a replica of that name is a member";
	if (raft_members(r->raft)->count >= RAFT_MEMBERS_MAX)
		return "the membership is at its bound";
	peers_each(r->node->peers, match_name, &w);
	if (w.node == 0)
		return "no replica of that name is connected: start it first";
	if (raft_propose_member(r->raft, w.node, true, false) == 0)
		return "another membership change is in flight";
	schedule(r);
	return NULL;
}

const char *
replica_remove(struct replica *r, const char *name)
{
	const struct raft_member *m;

	if (!replica_leads(r))
		return "this replica does not lead";
	m = member_named(r, name, 0);
	if (m == NULL)
		return "no replica of that name is a member";
	if (raft_propose_member(r->raft, m->id, false, true) == 0)
		return "another membership change is in flight";
	schedule(r);
	return NULL;
}

bool
replica_hand_over(struct replica *r)
{
	const struct raft_members *m;
	uint64_t best = RAFT_NONE;
	uint64_t match = 0;

	if (r->raft == NULL || raft_role(r->raft) != RAFT_LEADER)
		return false;
	m = raft_members(r->raft);
	for (int i = 0; i < m->count; i++) {
		uint64_t id = m->member[i].id;
		uint64_t at = raft_match(r->raft, id);

		if (id == r->identity.node || m->member[i].learner ||
		    peers_name(r->node->peers, id) == NULL || at < match)
			continue;
		best = id;
		match = at;
	}
	if (best == RAFT_NONE || !raft_transfer(r->raft, best))
		return false;
	schedule(r);
	return true;
}

static const char *const role_names[] = {
	[RAFT_FOLLOWER] = "follower",
	[RAFT_PRECANDIDATE] = "candidate",
	[RAFT_CANDIDATE] = "candidate",
	[RAFT_LEADER] = "leader",
};

/* One JSON object a member: who it is, whether it votes, how far it is. */
static void
append_member(
    const struct replica *r, GString *out, const struct raft_member *m)
{
	bool self = m->id == r->identity.node;
	const char *name =
	    self ? r->node->conf.name : peers_name(r->node->peers, m->id);
	uint64_t at =
	    self ? raft_last_index(r->raft) : raft_match(r->raft, m->id);

	g_string_append_printf(out,
	    "%s{\"name\":\"%s\",\"id\":\"%016" G_GINT64_MODIFIER
	    "x\",\"voter\":%s,\"connected\":%s,\"stored\":%" G_GUINT64_FORMAT
	    "}",
	    out->len > 0 ? "," : "", name == NULL ? "" : name, m->id,
	    m->learner ? "false" : "true", name == NULL ? "false" : "true", at);
}

static char *
members_json(const struct replica *r)
{
	const struct raft_members *m = raft_members(r->raft);
	GString *out = g_string_new(NULL);

	for (int i = 0; i < m->count; i++)
		append_member(r, out, &m->member[i]);
	return g_string_free(out, FALSE);
}

char *
replica_status(const struct replica *r)
{
	char *members;
	char *json;

	if (r->raft == NULL)
		return g_strdup("\"role\":\"waiting\"");
	members = members_json(r);
	json = g_strdup_printf(
	    "\"role\":\"%s\",\"term\":%" G_GUINT64_FORMAT
	    ",\"commit\":%" G_GUINT64_FORMAT ",\"applied\":%" G_GUINT64_FORMAT
	    ",\"last\":%" G_GUINT64_FORMAT ",\"first\":%" G_GUINT64_FORMAT
	    ",\"leader\":\"%s\",\"members\":[%s]",
	    role_names[raft_role(r->raft)], raft_term(r->raft),
	    raft_commit(r->raft), r->applied, raft_last_index(r->raft),
	    raft_first_index(r->raft), replica_leader_name(r), members);
	g_free(members);
	return json;
}
