/*
 * Public interface: creation, message dispatch, clock and output.
 */
#include "core.h"

/* Campaigns with a short timeout after a restart. */
#define EARLY_CAMPAIGNS 4

static void
message_free(void *m)
{
	raft_msg_free(m);
}

static GPtrArray *
messages_new(void)
{
	return g_ptr_array_new_with_free_func(message_free);
}

static GArray *
contexts_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

/* Restores the state loaded from disk. */
static void
load(struct raft *r, const struct raft_conf *conf)
{
	struct raft_members members;
	struct raft_entry *e;
	uint64_t base = 0, base_term = 0;
	guint i;

	members = conf->members;
	if (conf->snapshot != NULL) {
		r->snapshot = shared_snapshot_new(conf->snapshot);
		base = conf->snapshot->index;
		base_term = conf->snapshot->term;
		members = conf->snapshot->members;
	}
	log_init(&r->log, base, base_term);
	members_set(r, base, &members);
	for (i = 0; conf->entries != NULL && i < conf->entries->len; i++) {
		e = conf->entries->pdata[i];
		if (e->index <= base)
			continue;
		log_append(&r->log, e);
		if (e->type != RAFT_MEMBERS)
			continue;
		if (!raft_members_decode(g_bytes_get_data(e->data, NULL),
			g_bytes_get_size(e->data), &members))
			g_error("raft: stored membership is malformed");
		members_set(r, e->index, &members);
	}
	r->log.submitted = r->log.stored = log_last_index(&r->log);
	r->commit = r->delivered = base;
	r->prev_hard_state = conf->hard_state;
	r->term = conf->hard_state.term;
	r->vote = conf->hard_state.vote;
	if (log_last_term(&r->log) > r->term) {
		r->term = log_last_term(&r->log);
		r->vote = RAFT_NONE;
	}
	r->synced_term = conf->hard_state.term;
	r->restarted = r->term != 0;
	r->early_campaigns = r->restarted ? EARLY_CAMPAIGNS : 0;
}

struct raft *
raft_new(const struct raft_conf *conf)
{
	struct raft *r = g_new0(struct raft, 1);

	g_assert(conf->id != RAFT_NONE && conf->election_ticks > 0);
	r->id = conf->id;
	r->election_ticks = conf->election_ticks;
	r->heartbeat_ticks = MAX(conf->heartbeat_ticks, 1);
	r->append_bytes_max = MAX(conf->append_bytes_max, 1);
	r->inflight_max = MAX(conf->inflight_max, 1);
	r->chunk_bytes = MAX(conf->chunk_bytes, 1);
	r->rng.state = conf->seed;
	r->now = 1;
	r->memberships = g_array_new(FALSE, FALSE, sizeof(struct membership));
	r->pending_reads =
	    g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	r->messages = messages_new();
	r->messages_after_sync = messages_new();
	r->reads_confirmed = contexts_new();
	r->reads_failed = contexts_new();
	load(r, conf);
	become_follower(r, r->term, RAFT_NONE);
	return r;
}

void
raft_free(struct raft *r)
{
	if (r == NULL)
		return;
	if (r->role == RAFT_LEADER)
		leader_stop(r);
	incoming_snapshot_clear(r);
	log_clear(&r->log);
	shared_snapshot_unref(r->snapshot);
	shared_snapshot_unref(r->installed);
	g_array_unref(r->memberships);
	g_array_unref(r->pending_reads);
	g_array_unref(r->reads_confirmed);
	g_array_unref(r->reads_failed);
	g_ptr_array_unref(r->messages);
	g_ptr_array_unref(r->messages_after_sync);
	g_free(r);
}

struct raft_msg *
msg_new(const struct raft *r, enum raft_msg_type type, uint64_t to)
{
	struct raft_msg *m = raft_msg_new(type);

	m->from = r->id;
	m->to = to;
	m->term = r->term;
	return m;
}

void
msg_send_after_sync(struct raft *r, struct raft_msg *m)
{
	g_ptr_array_add(r->messages_after_sync, m);
}

void
msg_send(struct raft *r, struct raft_msg *m)
{
	bool synced = r->synced_term == r->term;

	g_ptr_array_add(synced ? r->messages : r->messages_after_sync, m);
}

/* Replies to a message of an earlier term, to report the current one. */
static void
reply_stale(struct raft *r, const struct raft_msg *m)
{
	/* Types without a reply are 0, which is RAFT_MSG_PREVOTE. */
	static const enum raft_msg_type reply_type[RAFT_MSG_COUNT] = {
		[RAFT_MSG_VOTE] = RAFT_MSG_VOTE_REPLY,
		[RAFT_MSG_APPEND] = RAFT_MSG_APPEND_REPLY,
		[RAFT_MSG_SNAPSHOT] = RAFT_MSG_APPEND_REPLY,
	};
	struct raft_msg *reply;

	if (reply_type[m->type] == RAFT_MSG_PREVOTE)
		return;
	reply = msg_new(r, reply_type[m->type], m->from);
	reply->reject = true;
	reply->index = m->index;
	msg_send_after_sync(r, reply);
}

/*
 * Follows the sender as the leader of this term. Returns false if another
 * leader is known.
 */
static bool
follow(struct raft *r, uint64_t leader)
{
	if (r->role == RAFT_LEADER)
		return false;
	if (r->leader != RAFT_NONE && r->leader != leader)
		return false;
	/* Before the election timeout is chosen. */
	r->early_campaigns = 0;
	if (r->role != RAFT_FOLLOWER || r->leader != leader)
		become_follower(r, r->term, leader);
	r->election_elapsed = 0;
	return true;
}

static bool
from_leader(const struct raft_msg *m)
{
	return m->type == RAFT_MSG_APPEND || m->type == RAFT_MSG_SNAPSHOT;
}

/* Handlers for messages whose term is the current one. */
static void (*const handlers[RAFT_MSG_COUNT])(
    struct raft *, const struct raft_msg *) = {
	[RAFT_MSG_PREVOTE] = on_prevote,
	[RAFT_MSG_PREVOTE_REPLY] = on_vote_reply,
	[RAFT_MSG_VOTE] = on_vote,
	[RAFT_MSG_VOTE_REPLY] = on_vote_reply,
	[RAFT_MSG_APPEND] = on_append,
	[RAFT_MSG_APPEND_REPLY] = on_append_reply,
	[RAFT_MSG_SNAPSHOT] = on_snapshot,
	[RAFT_MSG_SNAPSHOT_REPLY] = on_snapshot_reply,
	[RAFT_MSG_TIMEOUT_NOW] = on_timeout_now,
};

void
raft_step(struct raft *r, const struct raft_msg *m)
{
	bool prevote_granted = m->type == RAFT_MSG_PREVOTE_REPLY && !m->reject;

	if (m->to != r->id || m->from == RAFT_NONE || m->from == r->id)
		return;
	if (m->type == RAFT_MSG_PREVOTE) {
		on_prevote(r, m);
		return;
	}
	if (prevote_granted) {
		/* It carries the term of the election that would follow. */
		if (m->term == r->term + 1)
			on_vote_reply(r, m);
		return;
	}
	if (m->type == RAFT_MSG_VOTE && ignores_vote(r, m))
		return;
	if (m->term > r->term)
		become_follower(r, m->term, RAFT_NONE);
	if (m->term < r->term) {
		reply_stale(r, m);
		return;
	}
	if (from_leader(m) && !follow(r, m->from))
		return;
	handlers[m->type](r, m);
}

void
raft_tick(struct raft *r)
{
	r->now++;
	if (r->role == RAFT_LEADER)
		leader_tick(r);
	else
		election_tick(r);
}

uint64_t
raft_propose(struct raft *r, GBytes *data)
{
	if (r->role != RAFT_LEADER || r->transfer_to != RAFT_NONE)
		return 0;
	leader_append(r, RAFT_DATA, data);
	return log_last_index(&r->log);
}

void
raft_disable_leadership(struct raft *r)
{
	r->leadership_disabled = true;
	if (r->role != RAFT_FOLLOWER)
		become_follower(r, r->term, RAFT_NONE);
}

void
raft_stored(struct raft *r, uint64_t index, uint64_t term)
{
	uint64_t hard_term = log_mark_stored(&r->log, index, term);

	r->synced_term = MAX(r->synced_term, hard_term);
	if (r->role == RAFT_LEADER)
		advance_commit(r);
	else
		send_pending_ack(r);
}

static GPtrArray *
take_committed(struct raft *r)
{
	GPtrArray *out =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);

	while (r->delivered < r->commit)
		g_ptr_array_add(
		    out, raft_entry_ref(log_entry(&r->log, ++r->delivered)));
	return out;
}

void
raft_take_output(struct raft *r, struct raft_output *out)
{
	leader_send(r);
	*out = (struct raft_output){
		.hard_state = { .term = r->term, .vote = r->vote },
		.entries = log_submit(&r->log, r->term, r->installed != NULL),
		.messages = r->messages,
		.messages_after_sync = r->messages_after_sync,
		.committed = take_committed(r),
		.reads_confirmed = r->reads_confirmed,
		.read_index = r->commit,
		.reads_failed = r->reads_failed,
	};
	out->hard_state_changed = r->prev_hard_state.term != r->term ||
	    r->prev_hard_state.vote != r->vote;
	r->prev_hard_state = out->hard_state;
	if (r->installed != NULL)
		out->snapshot = snapshot_copy(&r->installed->snapshot);
	shared_snapshot_unref(r->installed);
	r->installed = NULL;
	r->messages = messages_new();
	r->messages_after_sync = messages_new();
	r->reads_confirmed = contexts_new();
	r->reads_failed = contexts_new();
}

void
raft_output_clear(struct raft_output *out)
{
	g_clear_pointer(&out->entries, g_ptr_array_unref);
	g_clear_pointer(&out->messages, g_ptr_array_unref);
	g_clear_pointer(&out->messages_after_sync, g_ptr_array_unref);
	g_clear_pointer(&out->committed, g_ptr_array_unref);
	g_clear_pointer(&out->reads_confirmed, g_array_unref);
	g_clear_pointer(&out->reads_failed, g_array_unref);
	raft_snapshot_free(out->snapshot);
	*out = (struct raft_output){ 0 };
}

bool
raft_output_empty(const struct raft_output *out)
{
	return !out->hard_state_changed && out->entries->len == 0 &&
	    out->messages->len == 0 && out->messages_after_sync->len == 0 &&
	    out->committed->len == 0 && out->snapshot == NULL &&
	    out->reads_confirmed->len == 0 && out->reads_failed->len == 0;
}

enum raft_role
raft_role(const struct raft *r)
{
	return r->role;
}

uint64_t
raft_term(const struct raft *r)
{
	return r->term;
}

uint64_t
raft_leader(const struct raft *r)
{
	return r->leader;
}

uint64_t
raft_last_index(const struct raft *r)
{
	return log_last_index(&r->log);
}

uint64_t
raft_first_index(const struct raft *r)
{
	return r->log.base + 1;
}

uint64_t
raft_commit_index(const struct raft *r)
{
	return r->commit;
}

bool
raft_own_term_committed(const struct raft *r)
{
	return r->role == RAFT_LEADER && r->commit >= r->term_first_index;
}

const struct raft_members *
raft_members(const struct raft *r)
{
	return members_current(r);
}

uint64_t
raft_match_index(const struct raft *r, uint64_t id)
{
	int i;

	if (r->role != RAFT_LEADER)
		return 0;
	if (id == r->id)
		return r->log.stored;
	for (i = 0; i < r->peer_count; i++)
		if (r->peers[i].id == id)
			return r->peers[i].match;
	return 0;
}
