#include <string.h>

#include "replica_impl.h"

#define KEEP_PART 10 /* of the entries, kept for followers that lag */

/*
 * A round of storing and sending runs at once while rounds are rare. Beyond
 * a burst they are spaced out, so that many entries share one sync and one
 * message when the load is high.
 */
#define PUMP_BURST 20

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

void
replica_wal_done(void *arg, uint64_t ticket, const GError *err)
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

		r->ops->send(r->arg, m->to, bytes);
		g_bytes_unref(bytes);
	}
}

/* Returns how long the next round has to wait, in milliseconds. */
static int64_t
pump_delay(struct replica *r)
{
	int64_t now = mono_ms();
	int64_t since = now - r->scheduled_ms;

	r->scheduled_ms = now;
	r->tokens_ms =
	    MIN(r->tokens_ms + since, PUMP_BURST * r->output_interval_ms);
	if (r->tokens_ms >= r->output_interval_ms) {
		r->tokens_ms -= r->output_interval_ms;
		return 0;
	}
	return r->output_interval_ms;
}

/* Asks for a round at the end of this turn of the loop, or a little later. */
void
replica_schedule_output(struct replica *r)
{
	struct timeval tv = { 0 };

	if (r->output_scheduled)
		return;
	r->output_scheduled = true;
	tv.tv_usec = pump_delay(r) * 1000;
	if (tv.tv_usec == 0)
		event_active(r->output_event, 0, 0);
	else
		event_add(r->output_event, &tv);
}

/* Storage is gone: nothing more is acknowledged and nothing led. */
static void
fail(struct replica *r, const char *why)
{
	if (r->failed)
		return;
	log_error(
	    "replica", "storage failed, this replica steps down: %s", why);
	r->failed = true;
	raft_disable(r->raft);
	r->ops->storage_failed(r->arg);
	replica_schedule_output(r);
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
	while (!g_queue_is_empty(&r->pending_batches)) {
		struct ticket *t = g_queue_peek_head(&r->pending_batches);

		if (t->number > s->ticket)
			break;
		g_queue_pop_head(&r->pending_batches);
		if (t->index != 0)
			raft_stored(r->raft, t->index, t->term);
		send_messages(r, t->late);
		ticket_free(t);
	}
	synced_free(s);
	replica_schedule_output(r);
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
void
replica_report_identity(struct replica *r)
{
	r->ops->identity_changed(r->arg, r->identity.replica_id, r->cell_id,
	    r->has_cell_entry || r->cell_id != 0);
}

/* Takes over the cell's id once it is agreed. */
static void
set_cell(struct replica *r, uint64_t cell)
{
	if (cell == 0 || r->cell_id == cell)
		return;
	r->cell_id = cell;
	replica_report_identity(r);
	log_info("replica", "belongs to cell %016" G_GINT64_MODIFIER "x", cell);
}

static void
apply_data(struct replica *r, const struct raft_entry *e)
{
	GError *err = NULL;
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	if (len == 9 && data[0] == TAG_FORM) {
		set_cell(r, get_u64(data + 1));
		return;
	}
	if (len == 0 || data[0] != TAG_COMMAND ||
	    !r->ops->apply(r->arg, e->index, data + 1, len - 1, &err))
		g_error("replica: entry %" G_GUINT64_FORMAT
			" can't be applied: %s",
		    e->index, err == NULL ? "unknown tag" : err->message);
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

/* A snapshot is the cell's id and the state machine's state. */
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
	ok = r->ops->restore(r->arg, state, err);
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
	for (guint i = 0;
	     !r->has_cell_entry && entries != NULL && i < entries->len; i++)
		r->has_cell_entry = is_form(entries->pdata[i]);
}

static void
write_batch(struct replica *r, struct raft_out *out,
    const struct raft_snapshot *snapshot)
{
	struct ticket *t = g_new0(struct ticket, 1);
	struct wal_batch batch = { .hard_state =
				       out->hard_changed ? &out->hard : NULL,
		.entries = out->entries,
		.snapshot = snapshot };

	t->number = batch.seq = ++r->last_batch_seq;
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
	g_queue_push_tail(&r->pending_batches, t);
	wal_write(r->wal, &batch);
}

static void
maybe_snapshot(struct replica *r)
{
	uint64_t every = r->snapshot_entries;
	struct raft_snapshot s = { .index = r->applied,
		.term = r->applied_term,
		.members = r->applied_members };
	struct raft_out none = { 0 };
	GBytes *state;
	GByteArray *data;
	uint8_t id[8];
	size_t len;
	const void *p;

	if (r->applied - r->snapshot_index < every)
		return;
	state = r->ops->snapshot(r->arg);
	p = g_bytes_get_data(state, &len);
	data = g_byte_array_sized_new((guint)len + 8);
	put_u64(id, r->cell_id);
	g_byte_array_append(data, id, 8);
	g_byte_array_append(data, p, (guint)len);
	g_bytes_unref(state);
	s.data = g_byte_array_free_to_bytes(data);
	raft_compact(r->raft, &s, every / KEEP_PART);
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
		r->ops->read_done(
		    r->arg, g_array_index(out->reads, uint64_t, i), true);
	for (guint i = 0;
	     out->reads_failed != NULL && i < out->reads_failed->len; i++)
		r->ops->read_done(r->arg,
		    g_array_index(out->reads_failed, uint64_t, i), false);
}

/* The first leader of a fresh cell draws the cell's id. */
static void
maybe_form(struct replica *r)
{
	uint8_t id[8];
	GBytes *data;

	if (r->cell_id != 0 || r->cell_id_proposed || !raft_settled(r->raft))
		return;
	put_u64(id, random_id());
	data = tagged(TAG_FORM, id, sizeof(id));
	r->cell_id_proposed = raft_propose(r->raft, data) != 0;
	g_bytes_unref(data);
	replica_schedule_output(r);
}

static void
on_pump(evutil_socket_t fd, short what, void *arg)
{
	struct replica *r = arg;
	struct raft_out out;

	r->output_scheduled = false;
	if (r->raft == NULL)
		return;
	raft_take(r->raft, &out);
	if (raft_out_empty(&out)) {
		raft_out_clear(&out);
		r->ops->updated(r->arg);
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
	if (!r->has_cell_entry) {
		note_form(r, out.entries);
		if (r->has_cell_entry)
			replica_report_identity(r);
	}
	apply_all(r, out.committed);
	answer_reads(r, &out);
	maybe_form(r);
	maybe_snapshot(r);
	raft_out_clear(&out);
	r->ops->updated(r->arg);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct replica *r = arg;

	if (r->raft == NULL) {
		replica_bootstrap_or_join(r);
		return;
	}
	raft_tick(r->raft);
	replica_update_members(r);
	replica_schedule_output(r);
}

struct replica *
replica_new(const struct replica_conf *conf, const struct replica_ops *ops,
    void *arg, GError **err)
{
	struct replica *r = g_new0(struct replica, 1);

	r->base = conf->base;
	r->name = g_strdup(conf->name);
	r->snapshot_entries = conf->snapshot_entries;
	r->output_interval_ms = conf->output_interval_ms;
	r->tick_ms = conf->tick_ms;
	if (conf->initial_members != NULL)
		r->initial_members = g_ptr_array_ref(conf->initial_members);
	r->absent_since =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	r->ops = ops;
	r->arg = arg;
	r->opened_ms = mono_ms();
	g_queue_init(&r->pending_batches);
	r->wal = wal_open(conf->data_dir, &r->image, err);
	if (r->wal == NULL) {
		replica_free(r);
		return NULL;
	}
	r->identity = r->image.identity;
	if (r->identity.replica_id != 0 &&
	    strcmp(r->identity.name, conf->name) != 0) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "--data-dir: the folder belongs to replica %s, not %s",
		    r->identity.name, conf->name);
		replica_free(r);
		return NULL;
	}
	r->cell_id = r->identity.cell_id;
	note_form(r, r->image.entries);
	if (r->image.truncated_bytes > 0)
		log_warn("replica",
		    "cut a torn tail of %" G_GUINT64_FORMAT
		    " bytes off the log",
		    r->image.truncated_bytes);
	if (r->image.snapshot != NULL && !restore(r, r->image.snapshot, err)) {
		replica_free(r);
		return NULL;
	}
	r->mailbox = mailbox_new(r->base, take_synced, r, err);
	if (r->mailbox == NULL) {
		replica_free(r);
		return NULL;
	}
	r->output_event = event_new(r->base, -1, 0, on_pump, r);
	return r;
}

void
replica_start(struct replica *r)
{
	struct timeval tv = { .tv_usec = r->tick_ms * 1000 };

	replica_report_identity(r);
	if (r->identity.replica_id != 0)
		replica_start_raft(r);
	r->tick_timer = event_new(r->base, -1, EV_PERSIST, on_tick, r);
	event_add(r->tick_timer, &tv);
}

void
replica_free(struct replica *r)
{
	if (r == NULL)
		return;
	if (r->tick_timer != NULL)
		event_free(r->tick_timer);
	if (r->output_event != NULL)
		event_free(r->output_event);
	if (r->wal != NULL)
		wal_close(r->wal);
	mailbox_free(r->mailbox, synced_free);
	wal_image_clear(&r->image);
	g_queue_clear_full(&r->pending_batches, ticket_free);
	if (r->raft != NULL)
		raft_free(r->raft);
	if (r->initial_members != NULL)
		g_ptr_array_unref(r->initial_members);
	g_hash_table_unref(r->absent_since);
	g_free(r->name);
	g_free(r);
}

void
replica_receive(struct replica *r, uint64_t from, const void *data, size_t len)
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
	if (m->from == from && m->to == r->identity.replica_id) {
		raft_step(r->raft, m);
		replica_schedule_output(r);
	}
	raft_msg_free(m);
}

struct wal_stats
replica_wal_stats(const struct replica *r)
{
	return wal_stats(r->wal);
}

bool
replica_leads(const struct replica *r)
{
	return r->raft != NULL && !r->failed &&
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
	if (id == r->identity.replica_id)
		return r->name;
	name = replica_peer_name(r, id);
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
	replica_schedule_output(r);
	return index;
}

bool
replica_read_index(struct replica *r, uint64_t context)
{
	replica_schedule_output(r);
	return replica_leads(r) && raft_read(r->raft, context);
}
