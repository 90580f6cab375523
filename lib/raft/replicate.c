/*
 * Replication: the leader's stream of entries to each member, heartbeat
 * rounds, commit by count, reads; and the follower's side of it.
 */
#include <string.h>

#include "core.h"

/* Room that an entry takes in a message besides its data. */
#define ENTRY_OVERHEAD 16

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
	g_free(p->window);
	snap_unref(p->snap);
}

void
peer_stream(struct peer *p)
{
	snap_unref(p->snap);
	p->snap = NULL;
	p->state = PEER_REPLICATE;
	p->next = p->match + 1;
	p->window_count = 0;
}

/* Starts optimistically: the first rejection tells where the log ends. */
static void
peer_init(struct raft *r, struct peer *p, const struct raft_member *member)
{
	*p = (struct peer){
		.id = member->id,
		.state = PEER_REPLICATE,
		.next = log_last(&r->log) + 1,
		.heard = r->now,
		.beat = true,
		.window = g_new0(uint64_t, r->inflight_max),
	};
}

void
peers_update(struct raft *r)
{
	const struct raft_members *m = members_now(r);
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
append_local(struct raft *r, enum raft_entry_type type, GBytes *data)
{
	struct raft_entry *e =
	    raft_entry_new(log_last(&r->log) + 1, r->term, type, data);
	struct raft_members m;

	log_append(&r->log, e);
	if (type == RAFT_MEMBERS &&
	    raft_members_decode(
		g_bytes_get_data(data, NULL), g_bytes_get_size(data), &m))
		members_set(r, e->index, &m);
	raft_entry_unref(e);
}

/* Asks all members for an answer that shows this leader still leads. */
static void
start_round(struct raft *r)
{
	int i;

	r->round++;
	r->read_wanted = false;
	for (i = 0; i < r->peer_count; i++)
		r->peers[i].beat = true;
}

void
leader_start(struct raft *r)
{
	GBytes *none = g_bytes_new(NULL, 0);

	r->peer_count = 0;
	r->beat_elapsed = 0;
	r->transfer = RAFT_NONE;
	r->term_start = log_last(&r->log) + 1;
	peers_update(r);
	start_round(r);
	append_local(r, RAFT_NOOP, none);
	g_bytes_unref(none);
}

void
leader_stop(struct raft *r)
{
	const struct read *read;
	guint i;
	int k;

	for (i = 0; i < r->reads->len; i++) {
		read = &g_array_index(r->reads, struct read, i);
		g_array_append_val(r->reads_failed, read->context);
	}
	g_array_set_size(r->reads, 0);
	for (k = 0; k < r->peer_count; k++)
		peer_clear(&r->peers[k]);
	r->peer_count = 0;
	r->read_wanted = false;
	r->transfer = RAFT_NONE;
}

static bool
peer_recent(const struct raft *r, const struct peer *p)
{
	return p->id == r->id ||
	    r->now - p->heard < (uint64_t)r->election_ticks;
}

/* Says whether a quorum answered within an election timeout. */
static bool
quorum_recent(const struct raft *r)
{
	int i, n = 0;

	for (i = 0; i < r->peer_count; i++)
		n += !r->peers[i].learner && peer_recent(r, &r->peers[i]);
	return n >= members_quorum(members_now(r));
}

void
leader_tick(struct raft *r)
{
	if (r->transfer != RAFT_NONE &&
	    r->now - r->transfer_at >= (uint64_t)r->election_ticks)
		r->transfer = RAFT_NONE;
	if (!quorum_recent(r)) {
		become_follower(r, r->term, RAFT_NONE);
		return;
	}
	if (++r->beat_elapsed < r->heartbeat_ticks)
		return;
	r->beat_elapsed = 0;
	start_round(r);
}

static void
send_heartbeat(struct raft *r, struct peer *p)
{
	struct raft_msg *m = msg_to(r, RAFT_MSG_APPEND, p->id);

	/* Where the log before next is gone, index 0 always agrees. */
	m->index = p->next - 1;
	if (p->state == PEER_SNAPSHOT ||
	    !log_term(&r->log, m->index, &m->log_term))
		m->index = m->log_term = 0;
	m->commit = r->commit;
	m->context = r->round;
	msg_send(r, m);
}

/* Sends one batch from next to at most last. */
static void
send_entries(struct raft *r, struct peer *p, uint64_t last)
{
	struct raft_msg *m = msg_to(r, RAFT_MSG_APPEND, p->id);
	struct raft_entry *e;
	size_t bytes = 0;

	m->index = p->next - 1;
	log_term(&r->log, m->index, &m->log_term);
	m->commit = r->commit;
	m->context = r->round;
	m->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	while (p->next <= last) {
		e = log_at(&r->log, p->next);
		bytes += g_bytes_get_size(e->data) + ENTRY_OVERHEAD;
		if (m->entries->len > 0 && bytes > r->append_max)
			break;
		g_ptr_array_add(m->entries, raft_entry_ref(e));
		p->next++;
	}
	p->window[(p->window_first + p->window_count++) % r->inflight_max] =
	    p->next - 1;
	msg_send(r, m);
}

/*
 * A learner gets committed entries only. With a longer log than any voter it
 * could refuse the votes that a candidate needs which counts it as promoted,
 * and can't campaign itself.
 */
static uint64_t
last_for(const struct raft *r, const struct peer *p)
{
	return p->learner ? r->commit : log_last(&r->log);
}

static void
peer_flush(struct raft *r, struct peer *p)
{
	uint64_t last = last_for(r, p);
	bool sent = false;

	if (p->state == PEER_SNAPSHOT || p->next <= r->log.base)
		sent = peer_send_chunk(r, p);
	while (p->state == PEER_REPLICATE && p->next <= last &&
	    p->next > r->log.base && p->window_count < r->inflight_max) {
		send_entries(r, p, last);
		sent = true;
	}
	if (p->beat && !sent)
		send_heartbeat(r, p);
	p->beat = false;
}

/* Sorts from the highest down; the arrays are short. */
static void
sort_down(uint64_t *v, int n)
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

/* Confirms the reads whose round a quorum has answered. */
static void
confirm_reads(struct raft *r)
{
	uint64_t rounds[RAFT_MEMBERS_MAX];
	uint64_t confirmed;
	guint done = 0;
	int i, n = 0;

	if (r->reads->len == 0 || !raft_settled(r))
		return;
	for (i = 0; i < r->peer_count; i++)
		if (!r->peers[i].learner)
			rounds[n++] = r->peers[i].id == r->id
			    ? r->round
			    : r->peers[i].round;
	sort_down(rounds, n);
	confirmed = rounds[members_quorum(members_now(r)) - 1];
	while (done < r->reads->len) {
		struct read *read = &g_array_index(r->reads, struct read, done);

		if (read->round > confirmed)
			break;
		g_array_append_val(r->reads_done, read->context);
		done++;
	}
	if (done > 0)
		g_array_remove_range(r->reads, 0, done);
}

void
leader_flush(struct raft *r)
{
	int i;

	if (r->role != RAFT_LEADER)
		return;
	if (r->read_wanted)
		start_round(r);
	for (i = 0; i < r->peer_count; i++)
		if (r->peers[i].id != r->id)
			peer_flush(r, &r->peers[i]);
	confirm_reads(r);
}

bool
raft_read(struct raft *r, uint64_t context)
{
	struct read read = { .context = context, .round = r->round + 1 };

	if (r->role != RAFT_LEADER)
		return false;
	r->read_wanted = true;
	g_array_append_val(r->reads, read);
	return true;
}

void
commit_to(struct raft *r, uint64_t index)
{
	if (index <= r->commit)
		return;
	g_assert(index <= log_last(&r->log));
	r->commit = index;
}

void
commit_by_count(struct raft *r)
{
	uint64_t match[RAFT_MEMBERS_MAX], index, term;
	const struct peer *p;
	int i, n = 0;

	for (i = 0; i < r->peer_count; i++) {
		p = &r->peers[i];
		if (!p->learner)
			match[n++] = p->id == r->id ? r->log.stored : p->match;
	}
	sort_down(match, n);
	index = match[members_quorum(members_now(r)) - 1];
	if (index <= r->commit)
		return;
	/* An earlier term's entry may be on a quorum and yet be replaced. */
	if (!log_term(&r->log, index, &term) || term != r->term)
		return;
	commit_to(r, index);
	if (members_voter(members_now(r), r->id) ||
	    members_index(r) > r->commit)
		return;
	/* Removed: tell the others of the commit, then step down. */
	start_round(r);
	leader_flush(r);
	become_follower(r, r->term, RAFT_NONE);
}

void
transfer_check(struct raft *r, const struct peer *p)
{
	if (r->transfer != p->id || p->match != log_last(&r->log))
		return;
	msg_send(r, msg_to(r, RAFT_MSG_TIMEOUT_NOW, p->id));
}

bool
raft_transfer(struct raft *r, uint64_t to)
{
	if (r->role != RAFT_LEADER || !members_voter(members_now(r), to))
		return false;
	if (to == r->id)
		return true;
	r->transfer = to;
	r->transfer_at = r->now;
	transfer_check(r, peer_find(r, to));
	return true;
}

/* Goes back to where the follower's log may agree with ours. */
static void
append_rejected(struct raft *r, struct peer *p, const struct raft_msg *m)
{
	uint64_t index, term;

	if (m->index <= p->match || p->state == PEER_SNAPSHOT)
		return;
	index = MIN(MIN(m->hint, m->index - 1), log_last(&r->log));
	while (index > p->match && log_term(&r->log, index, &term) &&
	    term > m->log_term)
		index--;
	p->next = MAX(index, p->match) + 1;
	p->state = PEER_PROBE;
	p->window_count = 0;
	p->beat = true;
}

static void
append_accepted(struct raft *r, struct peer *p, const struct raft_msg *m)
{
	if (m->index > log_last(&r->log))
		return;
	while (p->window_count > 0 && p->window[p->window_first] <= m->index) {
		p->window_first = (p->window_first + 1) % r->inflight_max;
		p->window_count--;
	}
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->state == PEER_PROBE && m->index + 1 >= p->next)
		peer_stream(p);
	if (p->state == PEER_SNAPSHOT && p->match >= r->log.base)
		peer_stream(p);
	transfer_check(r, p);
	commit_by_count(r);
}

void
on_append_reply(struct raft *r, const struct raft_msg *m)
{
	struct peer *p = r->role == RAFT_LEADER ? peer_find(r, m->from) : NULL;

	if (p == NULL)
		return;
	p->heard = r->now;
	p->round = MAX(p->round, MIN(m->context, r->round));
	if (m->reject)
		append_rejected(r, p, m);
	else
		append_accepted(r, p, m);
}

/* Says whether the entries follow on the message's index in order. */
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

/* Appends an entry of the leader, replacing what conflicts with it. */
static void
take_entry(struct raft *r, struct raft_entry *e)
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
	struct raft_msg *reply = msg_to(r, RAFT_MSG_APPEND_REPLY, m->from);
	uint64_t hint = MIN(log_last(&r->log), m->index - 1), term = 0;

	/* Entries of a later term than the leader's there can't agree. */
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
	struct raft_msg *reply = msg_to(r, RAFT_MSG_APPEND_REPLY, to);

	reply->index = MIN(r->verified, r->log.stored);
	reply->context = round;
	msg_send(r, reply);
}

void
ack_stored(struct raft *r)
{
	if (r->role != RAFT_FOLLOWER || r->leader == RAFT_NONE || !r->ack_due)
		return;
	r->ack_due = r->verified > r->log.stored;
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
			take_entry(r, m->entries->pdata[i]);
		end += n;
		commit_to(r, MIN(m->commit, end));
	}
	/* What is committed agrees with every later leader's log. */
	r->verified = MAX(r->verified, MAX(end, r->commit));
	r->ack_due = r->verified > r->log.stored;
	r->ack_round = MAX(r->ack_round, m->context);
	/* A heartbeat is answered at once, however slow the disk is. */
	if (n == 0 || !r->ack_due)
		send_ack(r, m->from, m->context);
}
