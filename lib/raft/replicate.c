/*
 * Log replication: entries and heartbeats from the leader to each member,
 * commit, ReadIndex reads; and how followers handle them.
 */
#include <string.h>

#include "core.h"

/* Assumed size of an encoded entry without its data. */
#define ENTRY_OVERHEAD_BYTES 16

struct peer *
peer_find(struct raft *r, uint64_t id)
{
	int i;

	for (i = 0; i < r->peer_count; i++)
		if (r->peers[i].id == id)
			return &r->peers[i];
	return NULL;
}

static void
peer_clear(struct peer *p)
{
	g_free(p->inflight);
	shared_snapshot_unref(p->snap);
}

void
peer_start_replicate(struct peer *p)
{
	shared_snapshot_unref(p->snap);
	p->snap = NULL;
	p->state = PEER_REPLICATE;
	p->next = p->match + 1;
	p->inflight_count = 0;
}

/*
 * Assumes that the member has the whole log; if not, its first rejection has
 * the last index at which the logs may agree.
 */
static void
peer_init(struct raft *r, struct peer *p, const struct raft_member *member)
{
	*p = (struct peer){
		.id = member->id,
		.state = PEER_REPLICATE,
		.next = log_last_index(&r->log) + 1,
		.last_reply = r->now,
		.heartbeat_due = true,
		.inflight = g_new0(uint64_t, r->inflight_max),
	};
}

void
peers_update(struct raft *r)
{
	const struct raft_members *m = members_current(r);
	struct peer old[RAFT_MEMBERS_MAX];
	struct peer *p;
	int i, n = r->peer_count;

	memcpy(old, r->peers, sizeof(old));
	r->peer_count = m->count;
	for (i = 0; i < m->count; i++)
		r->peers[i].id = RAFT_NONE;
	for (i = 0; i < n; i++) {
		bool learner;

		if (!members_has(m, old[i].id, &learner))
			peer_clear(&old[i]);
	}
	for (i = 0; i < m->count; i++) {
		int k = 0;

		p = &r->peers[i];
		while (k < n && old[k].id != m->member[i].id)
			k++;
		if (k < n)
			*p = old[k];
		else
			peer_init(r, p, &m->member[i]);
		p->learner = m->member[i].learner;
	}
}

void
leader_append(struct raft *r, enum raft_entry_type type, GBytes *data)
{
	struct raft_entry *e =
	    raft_entry_new(log_last_index(&r->log) + 1, r->term, type, data);
	struct raft_members m;

	log_append(&r->log, e);
	if (type == RAFT_MEMBERS &&
	    raft_members_decode(
		g_bytes_get_data(data, NULL), g_bytes_get_size(data), &m))
		members_set(r, e->index, &m);
	raft_entry_unref(e);
}

/* Marks a heartbeat as due for all members; replies confirm the leadership. */
static void
start_heartbeat_round(struct raft *r)
{
	int i;

	r->heartbeat_round++;
	r->read_round_due = false;
	for (i = 0; i < r->peer_count; i++)
		r->peers[i].heartbeat_due = true;
}

void
leader_start(struct raft *r)
{
	GBytes *none = g_bytes_new(NULL, 0);

	r->peer_count = 0;
	r->heartbeat_elapsed = 0;
	r->transfer_to = RAFT_NONE;
	r->term_first_index = log_last_index(&r->log) + 1;
	peers_update(r);
	start_heartbeat_round(r);
	leader_append(r, RAFT_NOOP, none);
	g_bytes_unref(none);
}

void
leader_stop(struct raft *r)
{
	const struct pending_read *read;
	guint i;
	int k;

	for (i = 0; i < r->pending_reads->len; i++) {
		read = &g_array_index(r->pending_reads, struct pending_read, i);
		g_array_append_val(r->reads_failed, read->context);
	}
	g_array_set_size(r->pending_reads, 0);
	for (k = 0; k < r->peer_count; k++)
		peer_clear(&r->peers[k]);
	r->peer_count = 0;
	r->read_round_due = false;
	r->transfer_to = RAFT_NONE;
}

static bool
peer_active(const struct raft *r, const struct peer *p)
{
	return p->id == r->id ||
	    r->now - p->last_reply < (uint64_t)r->election_ticks;
}

/* Returns whether a quorum replied within the minimum election timeout. */
static bool
quorum_active(const struct raft *r)
{
	int i, n = 0;

	for (i = 0; i < r->peer_count; i++)
		n += !r->peers[i].learner && peer_active(r, &r->peers[i]);
	return n >= members_quorum(members_current(r));
}

void
leader_tick(struct raft *r)
{
	if (r->transfer_to != RAFT_NONE &&
	    r->now - r->transfer_start >= (uint64_t)r->election_ticks)
		r->transfer_to = RAFT_NONE;
	if (!quorum_active(r)) {
		become_follower(r, r->term, RAFT_NONE);
		return;
	}
	if (++r->heartbeat_elapsed < r->heartbeat_ticks)
		return;
	r->heartbeat_elapsed = 0;
	start_heartbeat_round(r);
}

static void
send_heartbeat(struct raft *r, struct peer *p)
{
	struct raft_msg *m = msg_new(r, RAFT_MSG_APPEND, p->id);

	/* If the previous entry is compacted: index 0 matches every log. */
	m->index = p->next - 1;
	if (p->state == PEER_SNAPSHOT ||
	    !log_term(&r->log, m->index, &m->log_term))
		m->index = m->log_term = 0;
	m->commit = r->commit;
	m->context = r->heartbeat_round;
	msg_send(r, m);
}

/* Sends one message with entries from next up to at most last. */
static void
send_entries(struct raft *r, struct peer *p, uint64_t last)
{
	struct raft_msg *m = msg_new(r, RAFT_MSG_APPEND, p->id);
	struct raft_entry *e;
	size_t bytes = 0;

	m->index = p->next - 1;
	log_term(&r->log, m->index, &m->log_term);
	m->commit = r->commit;
	m->context = r->heartbeat_round;
	m->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	while (p->next <= last) {
		e = log_entry(&r->log, p->next);
		bytes += g_bytes_get_size(e->data) + ENTRY_OVERHEAD_BYTES;
		if (m->entries->len > 0 && bytes > r->append_bytes_max)
			break;
		g_ptr_array_add(m->entries, raft_entry_ref(e));
		p->next++;
	}
	p->inflight[(p->inflight_first + p->inflight_count++) %
	    r->inflight_max] = p->next - 1;
	msg_send(r, m);
}

/*
 * Returns the last index to send. A learner gets committed entries only: with a
 * longer log than any voter, it could refuse its vote to a candidate that
 * counts it as promoted and needs that vote, and could not campaign itself.
 */
static uint64_t
last_to_send(const struct raft *r, const struct peer *p)
{
	return p->learner ? r->commit : log_last_index(&r->log);
}

static void
peer_send(struct raft *r, struct peer *p)
{
	uint64_t last = last_to_send(r, p);
	bool sent = false;

	if (p->state == PEER_SNAPSHOT || p->next <= r->log.base)
		sent = peer_send_chunk(r, p);
	while (p->state == PEER_REPLICATE && p->next <= last &&
	    p->next > r->log.base && p->inflight_count < r->inflight_max) {
		send_entries(r, p, last);
		sent = true;
	}
	if (p->heartbeat_due && !sent)
		send_heartbeat(r, p);
	p->heartbeat_due = false;
}

/* Insertion sort, as there are at most RAFT_MEMBERS_MAX values. */
static void
sort_descending(uint64_t *v, int n)
{
	uint64_t x;
	int i, k;

	for (i = 1; i < n; i++) {
		x = v[i];
		for (k = i; k > 0 && v[k - 1] < x; k--)
			v[k] = v[k - 1];
		v[k] = x;
	}
}

/* Confirms the reads whose heartbeat round a quorum has replied to. */
static void
confirm_reads(struct raft *r)
{
	uint64_t rounds[RAFT_MEMBERS_MAX];
	uint64_t confirmed;
	guint done = 0;
	int i, n = 0;

	if (r->pending_reads->len == 0 || !raft_own_term_committed(r))
		return;
	for (i = 0; i < r->peer_count; i++)
		if (!r->peers[i].learner)
			rounds[n++] = r->peers[i].id == r->id
			    ? r->heartbeat_round
			    : r->peers[i].acked_round;
	sort_descending(rounds, n);
	confirmed = rounds[members_quorum(members_current(r)) - 1];
	while (done < r->pending_reads->len) {
		struct pending_read *read =
		    &g_array_index(r->pending_reads, struct pending_read, done);

		if (read->heartbeat_round > confirmed)
			break;
		g_array_append_val(r->reads_confirmed, read->context);
		done++;
	}
	if (done > 0)
		g_array_remove_range(r->pending_reads, 0, done);
}

void
leader_send(struct raft *r)
{
	int i;

	if (r->role != RAFT_LEADER)
		return;
	if (r->read_round_due)
		start_heartbeat_round(r);
	for (i = 0; i < r->peer_count; i++)
		if (r->peers[i].id != r->id)
			peer_send(r, &r->peers[i]);
	confirm_reads(r);
}

bool
raft_read_index(struct raft *r, uint64_t context)
{
	struct pending_read read = { .context = context,
		.heartbeat_round = r->heartbeat_round + 1 };

	if (r->role != RAFT_LEADER)
		return false;
	r->read_round_due = true;
	g_array_append_val(r->pending_reads, read);
	return true;
}

void
commit_to(struct raft *r, uint64_t index)
{
	if (index <= r->commit)
		return;
	g_assert(index <= log_last_index(&r->log));
	r->commit = index;
}

void
advance_commit(struct raft *r)
{
	uint64_t match[RAFT_MEMBERS_MAX], index, term;
	const struct peer *p;
	int i, n = 0;

	for (i = 0; i < r->peer_count; i++) {
		p = &r->peers[i];
		if (!p->learner)
			match[n++] = p->id == r->id ? r->log.stored : p->match;
	}
	sort_descending(match, n);
	index = match[members_quorum(members_current(r)) - 1];
	if (index <= r->commit)
		return;
	/*
	 * An entry of an earlier term may be on a quorum and still be replaced
	 * (figure 8 of the Raft paper).
	 */
	if (!log_term(&r->log, index, &term) || term != r->term)
		return;
	commit_to(r, index);
	if (members_is_voter(members_current(r), r->id) ||
	    members_current_index(r) > r->commit)
		return;
	/* No longer a voter: send the commit index, then step down. */
	start_heartbeat_round(r);
	leader_send(r);
	become_follower(r, r->term, RAFT_NONE);
}

void
try_transfer(struct raft *r, const struct peer *p)
{
	if (r->transfer_to != p->id || p->match != log_last_index(&r->log))
		return;
	msg_send(r, msg_new(r, RAFT_MSG_TIMEOUT_NOW, p->id));
}

bool
raft_transfer_leadership(struct raft *r, uint64_t to)
{
	if (r->role != RAFT_LEADER || !members_is_voter(members_current(r), to))
		return false;
	if (to == r->id)
		return true;
	r->transfer_to = to;
	r->transfer_start = r->now;
	try_transfer(r, peer_find(r, to));
	return true;
}

/* Sets next to after the last index at which the logs may agree. */
static void
append_rejected(struct raft *r, struct peer *p, const struct raft_msg *m)
{
	uint64_t index, term;

	if (m->index <= p->match || p->state == PEER_SNAPSHOT)
		return;
	index = MIN(MIN(m->hint, m->index - 1), log_last_index(&r->log));
	while (index > p->match && log_term(&r->log, index, &term) &&
	    term > m->log_term)
		index--;
	p->next = MAX(index, p->match) + 1;
	p->state = PEER_PROBE;
	p->inflight_count = 0;
	p->heartbeat_due = true;
}

static void
append_accepted(struct raft *r, struct peer *p, const struct raft_msg *m)
{
	if (m->index > log_last_index(&r->log))
		return;
	while (p->inflight_count > 0 &&
	    p->inflight[p->inflight_first] <= m->index) {
		p->inflight_first = (p->inflight_first + 1) % r->inflight_max;
		p->inflight_count--;
	}
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->state == PEER_PROBE && m->index + 1 >= p->next)
		peer_start_replicate(p);
	if (p->state == PEER_SNAPSHOT && p->match >= r->log.base)
		peer_start_replicate(p);
	try_transfer(r, p);
	advance_commit(r);
}

void
on_append_reply(struct raft *r, const struct raft_msg *m)
{
	struct peer *p = r->role == RAFT_LEADER ? peer_find(r, m->from) : NULL;

	if (p == NULL)
		return;
	p->last_reply = r->now;
	p->acked_round =
	    MAX(p->acked_round, MIN(m->context, r->heartbeat_round));
	if (m->reject)
		append_rejected(r, p, m);
	else
		append_accepted(r, p, m);
}

/*
 * Returns whether the entries follow the index of the message without a gap,
 * with terms that neither decrease nor exceed its term, and all memberships
 * decode.
 */
static bool
entries_valid(const struct raft_msg *m)
{
	uint64_t index = m->index, term = m->log_term;
	const struct raft_entry *e;
	struct raft_members members;
	guint i;

	for (i = 0; m->entries != NULL && i < m->entries->len; i++) {
		e = m->entries->pdata[i];
		if (e->index != ++index || e->term < term || e->term > m->term)
			return false;
		term = e->term;
		if (e->type == RAFT_MEMBERS &&
		    !raft_members_decode(g_bytes_get_data(e->data, NULL),
			g_bytes_get_size(e->data), &members))
			return false;
	}
	return true;
}

/* Appends an entry from the leader, in place of any conflicting ones. */
static void
append_received(struct raft *r, struct raft_entry *e)
{
	struct raft_members members;
	uint64_t term;

	if (log_term(&r->log, e->index, &term)) {
		if (term == e->term)
			return;
		if (e->index <= r->commit)
			g_error("raft: entry %" G_GUINT64_FORMAT
				" conflicts with a committed one",
			    e->index);
		log_truncate(&r->log, e->index);
		members_rollback(r, e->index);
	}
	log_append(&r->log, e);
	if (e->type == RAFT_MEMBERS &&
	    raft_members_decode(g_bytes_get_data(e->data, NULL),
		g_bytes_get_size(e->data), &members))
		members_set(r, e->index, &members);
}

static void
reject_append(struct raft *r, const struct raft_msg *m)
{
	struct raft_msg *reply = msg_new(r, RAFT_MSG_APPEND_REPLY, m->from);
	uint64_t hint = MIN(log_last_index(&r->log), m->index - 1), term = 0;

	/* Entries of a later term than the leader's entry cannot match. */
	while (hint > r->commit && log_term(&r->log, hint, &term) &&
	    term > m->log_term)
		hint--;
	log_term(&r->log, hint, &term);
	reply->reject = true;
	reply->index = m->index;
	reply->hint = hint;
	reply->log_term = term;
	reply->context = m->context;
	msg_send(r, reply);
}

static void
send_ack(struct raft *r, uint64_t to, uint64_t round)
{
	struct raft_msg *reply = msg_new(r, RAFT_MSG_APPEND_REPLY, to);

	reply->index = MIN(r->verified, r->log.stored);
	reply->context = round;
	msg_send(r, reply);
}

void
send_pending_ack(struct raft *r)
{
	if (r->role != RAFT_FOLLOWER || r->leader == RAFT_NONE ||
	    !r->ack_pending)
		return;
	r->ack_pending = r->verified > r->log.stored;
	send_ack(r, r->leader, r->ack_round);
}

void
on_append(struct raft *r, const struct raft_msg *m)
{
	uint64_t term, end = m->index;
	guint i, n = m->entries == NULL ? 0 : m->entries->len;

	if (!entries_valid(m))
		return;
	if (m->index >= r->log.base) {
		if (!log_term(&r->log, m->index, &term) ||
		    term != m->log_term) {
			reject_append(r, m);
			return;
		}
		for (i = 0; i < n; i++)
			append_received(r, m->entries->pdata[i]);
		end += n;
		commit_to(r, MIN(m->commit, end));
	}
	/* Every later leader has all committed entries. */
	r->verified = MAX(r->verified, MAX(end, r->commit));
	r->ack_pending = r->verified > r->log.stored;
	r->ack_round = MAX(r->ack_round, m->context);
	/* Heartbeats are acknowledged without waiting for a slow disk. */
	if (n == 0 || !r->ack_pending)
		send_ack(r, m->from, m->context);
}
