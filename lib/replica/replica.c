#include <string.h>

#include "replica_impl.h"

/* snapshot_entries / 10 entries before a snapshot stay for slow followers. */
#define TRAILING_DIVISOR 10

/*
 * An output pass runs without delay while passes are rare. After a burst of
 * this many they are spaced out, so that many entries share one sync and one
 * message when the load is high.
 */
#define OUTPUT_BURST 20

/* First byte of a RAFT_DATA entry: type of the rest. */
#define TAG_COMMAND 'C'
#define TAG_CELL_ID 'F' /* the cell id, 8 bytes big-endian */

/* A batch that is not synced yet. */
struct pending_batch {
	uint64_t seq;
	uint64_t index; /* last entry, or snapshot received; 0: none */
	uint64_t term;
	GPtrArray *messages; /* struct raft_msg to send after the sync */
};

/* Message from the file thread. */
struct wal_result {
	uint64_t seq; /* of the batch */
	char *error; /* NULL: synced */
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
pending_batch_free(void *arg)
{
	struct pending_batch *pending = arg;

	g_ptr_array_unref(pending->messages);
	g_free(pending);
}

static void
wal_result_free(void *arg)
{
	struct wal_result *result = arg;

	g_free(result->error);
	g_free(result);
}

void
replica_wal_done(void *arg, uint64_t seq, const GError *err)
{
	struct replica *r = arg;
	struct wal_result *result = g_new0(struct wal_result, 1);

	result->seq = seq;
	result->error = err == NULL ? NULL : g_strdup(err->message);
	mailbox_post(r->mailbox, result);
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

/* Returns the delay of the next output pass in milliseconds. */
static int64_t
output_delay(struct replica *r)
{
	int64_t now = mono_ms();
	int64_t since = now - r->scheduled_ms;

	r->scheduled_ms = now;
	r->tokens_ms =
	    MIN(r->tokens_ms + since, OUTPUT_BURST * r->output_interval_ms);
	if (r->tokens_ms >= r->output_interval_ms) {
		r->tokens_ms -= r->output_interval_ms;
		return 0;
	}
	return r->output_interval_ms;
}

void
replica_schedule_output(struct replica *r)
{
	struct timeval tv = { 0 };

	if (r->output_scheduled)
		return;
	r->output_scheduled = true;
	tv.tv_usec = output_delay(r) * 1000;
	if (tv.tv_usec == 0)
		event_active(r->output_event, 0, 0);
	else
		event_add(r->output_event, &tv);
}

/* Storage failed: stops leading and acknowledging. */
static void
storage_failed(struct replica *r, const char *reason)
{
	if (r->failed)
		return;
	log_error(
	    "replica", "storage failed, this replica steps down: %s", reason);
	r->failed = true;
	raft_disable_leadership(r->raft);
	r->ops->storage_failed(r->arg);
	replica_schedule_output(r);
}

static void
on_wal_result(void *arg, void *message)
{
	struct replica *r = arg;
	struct wal_result *result = message;

	if (result->error != NULL) {
		storage_failed(r, result->error);
		wal_result_free(result);
		return;
	}
	while (!g_queue_is_empty(&r->pending_batches)) {
		struct pending_batch *pending =
		    g_queue_peek_head(&r->pending_batches);

		if (pending->seq > result->seq)
			break;
		g_queue_pop_head(&r->pending_batches);
		if (pending->index != 0)
			raft_stored(r->raft, pending->index, pending->term);
		send_messages(r, pending->messages);
		pending_batch_free(pending);
	}
	wal_result_free(result);
	replica_schedule_output(r);
}

static GBytes *
add_tag(uint8_t tag, const void *data, size_t len)
{
	GByteArray *a = g_byte_array_sized_new((guint)len + 1);

	g_byte_array_append(a, &tag, 1);
	g_byte_array_append(a, data, (guint)len);
	return g_byte_array_free_to_bytes(a);
}

void
replica_report_identity(struct replica *r)
{
	r->ops->identity_changed(r->arg, r->identity.replica_id, r->cell_id,
	    r->has_cell_entry || r->cell_id != 0);
}

/* Sets the cell id when its entry is committed. */
static void
set_cell_id(struct replica *r, uint64_t cell_id)
{
	if (cell_id == 0 || r->cell_id == cell_id)
		return;
	r->cell_id = cell_id;
	replica_report_identity(r);
	log_info(
	    "replica", "belongs to cell %016" G_GINT64_MODIFIER "x", cell_id);
}

static void
apply_data(struct replica *r, const struct raft_entry *e)
{
	GError *err = NULL;
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	if (len == 9 && data[0] == TAG_CELL_ID) {
		set_cell_id(r, get_u64(data + 1));
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

/* Ends the owner's leadership before it sees what a later leader did. */
static void
depose_owner(struct replica *r)
{
	if (r->owner_term == 0)
		return;
	log_info("replica",
	    "deposed: led in term %" G_GUINT64_FORMAT
	    ", now in term %" G_GUINT64_FORMAT,
	    r->owner_term, raft_term(r->raft));
	r->owner_term = 0;
	r->ops->deposed(r->arg);
}

static void
apply_all(struct replica *r, GPtrArray *committed)
{
	for (guint i = 0; i < committed->len; i++) {
		struct raft_entry *e = committed->pdata[i];

		g_assert(e->index == r->applied + 1);
		if (e->term != r->owner_term)
			depose_owner(r);
		if (e->type == RAFT_DATA)
			apply_data(r, e);
		if (e->type == RAFT_MEMBERS)
			apply_members(r, e);
		r->applied = e->index;
		r->applied_term = e->term;
	}
}

/* A snapshot holds the cell id, big-endian, and the owner's state. */
static bool
restore(struct replica *r, const struct raft_snapshot *s, GError **err)
{
	GBytes *state;
	bool ok;

	if (g_bytes_get_size(s->data) < 8) {
		g_set_error_literal(err, BT_ERROR, ERR_CORRUPT,
		    "snapshot is shorter than the 8-byte cell id");
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
is_cell_entry(const struct raft_entry *e)
{
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	return e->type == RAFT_DATA && len == 9 && data[0] == TAG_CELL_ID;
}

/* Returns the cell id in the first entry that has one; 0: none has. */
static uint64_t
find_cell_entry(struct replica *r, GPtrArray *entries)
{
	for (guint i = 0;
	     !r->has_cell_entry && entries != NULL && i < entries->len; i++) {
		const struct raft_entry *e = entries->pdata[i];

		r->has_cell_entry = is_cell_entry(e);
		if (r->has_cell_entry)
			return get_u64(
			    (const uint8_t *)g_bytes_get_data(e->data, NULL) +
			    1);
	}
	return 0;
}

/*
 * Restores the cell id from the disk. With automatic membership, its entry was
 * synced by the only voter, so it is committed. Without the id, a replica that
 * was removed while it was down could not become a member again.
 */
static void
restore_cell_id(struct replica *r)
{
	uint64_t logged = find_cell_entry(r, r->image.entries);

	r->cell_id = r->identity.cell_id;
	if (r->cell_id == 0 && r->initial_members == NULL)
		r->cell_id = logged;
}

static void
write_batch(struct replica *r, struct raft_output *out,
    const struct raft_snapshot *snapshot)
{
	struct pending_batch *pending = g_new0(struct pending_batch, 1);
	struct wal_batch batch = {
		.hard_state = out->hard_state_changed ? &out->hard_state : NULL,
		.entries = out->entries,
		.snapshot = snapshot
	};

	pending->seq = batch.seq = ++r->last_batch_seq;
	if (out->entries != NULL && out->entries->len > 0) {
		struct raft_entry *last =
		    out->entries->pdata[out->entries->len - 1];

		pending->index = last->index;
		pending->term = last->term;
	} else if (out->snapshot != NULL) {
		pending->index = out->snapshot->index;
		pending->term = out->snapshot->term;
	}
	pending->messages = out->messages_after_sync == NULL
	    ? g_ptr_array_new()
	    : g_ptr_array_ref(out->messages_after_sync);
	g_queue_push_tail(&r->pending_batches, pending);
	wal_write(r->wal, &batch);
}

static void
snapshot_if_due(struct replica *r)
{
	uint64_t every = r->snapshot_entries;
	struct raft_snapshot s = { .index = r->applied,
		.term = r->applied_term,
		.members = r->applied_members };
	struct raft_output none = { 0 };
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
	raft_compact(r->raft, &s, every / TRAILING_DIVISOR);
	write_batch(r, &none, &s);
	g_bytes_unref(s.data);
	r->snapshot_index = r->applied;
	log_info("replica", "created a snapshot at entry %" G_GUINT64_FORMAT,
	    r->applied);
}

static void
report_reads(struct replica *r, const struct raft_output *out)
{
	for (guint i = 0;
	     out->reads_confirmed != NULL && i < out->reads_confirmed->len; i++)
		r->ops->read_done(r->arg,
		    g_array_index(out->reads_confirmed, uint64_t, i), true);
	for (guint i = 0;
	     out->reads_failed != NULL && i < out->reads_failed->len; i++)
		r->ops->read_done(r->arg,
		    g_array_index(out->reads_failed, uint64_t, i), false);
}

/* The first leader of a new cell chooses a random cell id. */
static void
propose_cell_id(struct replica *r)
{
	uint8_t id[8];
	GBytes *data;

	if (r->cell_id != 0 || r->cell_id_term == raft_term(r->raft) ||
	    !raft_own_term_committed(r->raft))
		return;
	put_u64(id, random_id());
	data = add_tag(TAG_CELL_ID, id, sizeof(id));
	if (raft_propose(r->raft, data) != 0)
		r->cell_id_term = raft_term(r->raft);
	g_bytes_unref(data);
	replica_schedule_output(r);
}

static void
update_owner(struct replica *r)
{
	r->owner_term = replica_leads(r) ? raft_term(r->raft) : 0;
	r->ops->updated(r->arg);
}

static void
on_output(evutil_socket_t fd, short what, void *arg)
{
	struct replica *r = arg;
	struct raft_output out;

	r->output_scheduled = false;
	if (r->raft == NULL)
		return;
	raft_take_output(r->raft, &out);
	if (raft_output_empty(&out)) {
		raft_output_clear(&out);
		update_owner(r);
		return;
	}
	send_messages(r, out.messages);
	if (out.snapshot != NULL) {
		GError *err = NULL;

		depose_owner(r);
		if (!restore(r, out.snapshot, &err))
			g_error("replica: a snapshot can't be restored: %s",
			    err->message);
		log_info("replica",
		    "restored a snapshot at entry %" G_GUINT64_FORMAT,
		    r->applied);
	}
	if (out.hard_state_changed || out.entries->len > 0 ||
	    out.snapshot != NULL || out.messages_after_sync->len > 0)
		write_batch(r, &out, out.snapshot);
	if (!r->has_cell_entry) {
		(void)find_cell_entry(r, out.entries);
		if (r->has_cell_entry)
			replica_report_identity(r);
	}
	apply_all(r, out.committed);
	report_reads(r, &out);
	propose_cell_id(r);
	snapshot_if_due(r);
	raft_output_clear(&out);
	update_owner(r);
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
	r->disk_losses = conf->disk_losses;
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
		    "--data-dir: the directory belongs to replica %s, not %s",
		    r->identity.name, conf->name);
		replica_free(r);
		return NULL;
	}
	restore_cell_id(r);
	if (r->image.truncated_bytes > 0)
		log_warn("replica",
		    "truncated a torn tail of %" G_GUINT64_FORMAT
		    " bytes from the log",
		    r->image.truncated_bytes);
	if (r->image.snapshot != NULL && !restore(r, r->image.snapshot, err)) {
		replica_free(r);
		return NULL;
	}
	r->mailbox = mailbox_new(r->base, on_wal_result, r, err);
	if (r->mailbox == NULL) {
		replica_free(r);
		return NULL;
	}
	r->output_event = event_new(r->base, -1, 0, on_output, r);
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
	mailbox_free(r->mailbox, wal_result_free);
	wal_image_clear(&r->image);
	g_queue_clear_full(&r->pending_batches, pending_batch_free);
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
		log_warn(
		    "replica", "dropped a malformed message: %s", err->message);
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
	    raft_role(r->raft) == RAFT_LEADER &&
	    raft_own_term_committed(r->raft) && r->cell_id != 0;
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
	wrapped = add_tag(TAG_COMMAND, data, len);
	index = raft_propose(r->raft, wrapped);
	g_bytes_unref(wrapped);
	replica_schedule_output(r);
	return index;
}

bool
replica_read_index(struct replica *r, uint64_t context)
{
	replica_schedule_output(r);
	return replica_leads(r) && raft_read_index(r->raft, context);
}
