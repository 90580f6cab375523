/*
 * Snapshots: sending and receiving in chunks, installation, log compaction.
 */
#include "core.h"

/* Heartbeat intervals without a reply after which a chunk is sent again. */
#define CHUNK_RESEND_HEARTBEATS 3

struct raft_snapshot *
snapshot_copy(const struct raft_snapshot *s)
{
	struct raft_snapshot *copy = g_new0(struct raft_snapshot, 1);

	*copy = *s;
	g_bytes_ref(copy->data);
	return copy;
}

void
raft_snapshot_free(struct raft_snapshot *s)
{
	if (s == NULL)
		return;
	g_bytes_unref(s->data);
	g_free(s);
}

struct shared_snapshot *
shared_snapshot_new(const struct raft_snapshot *s)
{
	struct shared_snapshot *snap = g_new0(struct shared_snapshot, 1);

	snap->snapshot = *s;
	g_bytes_ref(snap->snapshot.data);
	snap->refs = 1;
	return snap;
}

struct shared_snapshot *
shared_snapshot_ref(struct shared_snapshot *s)
{
	s->refs++;
	return s;
}

void
shared_snapshot_unref(struct shared_snapshot *s)
{
	if (s == NULL || --s->refs > 0)
		return;
	g_bytes_unref(s->snapshot.data);
	g_free(s);
}

void
incoming_snapshot_clear(struct raft *r)
{
	if (r->incoming.data != NULL)
		g_byte_array_unref(r->incoming.data);
	r->incoming = (struct incoming_snapshot){ 0 };
}

bool
peer_send_chunk(struct raft *r, struct peer *p)
{
	struct raft_msg *m;
	size_t size, n;

	/* A member that does not reply only gets heartbeats until it does. */
	if (r->now - p->last_reply >= (uint64_t)r->election_ticks)
		return false;
	if (p->state != PEER_SNAPSHOT) {
		p->state = PEER_SNAPSHOT;
		p->snap = shared_snapshot_ref(r->snapshot);
		p->offset = 0;
		p->chunk_sent = 0;
		p->inflight_count = 0;
	}
	if (p->chunk_sent != 0 &&
	    r->now - p->chunk_sent <
		(uint64_t)(CHUNK_RESEND_HEARTBEATS * r->heartbeat_ticks))
		return false;
	p->chunk_sent = r->now;
	size = g_bytes_get_size(p->snap->snapshot.data);
	n = MIN(size - p->offset, r->chunk_bytes);
	m = msg_new(r, RAFT_MSG_SNAPSHOT, p->id);
	m->index = p->snap->snapshot.index;
	m->log_term = p->snap->snapshot.term;
	m->members = p->snap->snapshot.members;
	m->context = r->heartbeat_round;
	m->offset = p->offset;
	m->total = size;
	m->chunk = g_bytes_new_from_bytes(p->snap->snapshot.data, p->offset, n);
	msg_send(r, m);
	return true;
}

void
on_snapshot_reply(struct raft *r, const struct raft_msg *m)
{
	struct peer *p = r->role == RAFT_LEADER ? peer_find(r, m->from) : NULL;

	if (p == NULL)
		return;
	p->last_reply = r->now;
	p->acked_round =
	    MAX(p->acked_round, MIN(m->context, r->heartbeat_round));
	if (p->state != PEER_SNAPSHOT || m->index != p->snap->snapshot.index ||
	    m->log_term != p->snap->snapshot.term ||
	    m->commit > log_last_index(&r->log))
		return;
	p->match = MAX(p->match, m->commit);
	if (p->match >= m->index) {
		peer_start_replicate(p);
		advance_commit(r);
		return;
	}
	if (m->hint > g_bytes_get_size(p->snap->snapshot.data) ||
	    m->hint == p->offset)
		return;
	p->offset = m->hint;
	p->chunk_sent = 0;
}

/* Replies with the offset of the next chunk and the last stored index. */
static void
reply_chunk(struct raft *r, const struct raft_msg *m, uint64_t next_offset)
{
	struct raft_msg *reply = msg_new(r, RAFT_MSG_SNAPSHOT_REPLY, m->from);

	reply->index = m->index;
	reply->log_term = m->log_term;
	reply->hint = next_offset;
	reply->context = m->context;
	if (r->verified >= m->index)
		reply->commit = MIN(r->verified, r->log.stored);
	msg_send(r, reply);
}

static void
install_snapshot(struct raft *r)
{
	struct raft_snapshot s = {
		.index = r->incoming.index,
		.term = r->incoming.log_term,
		.members = r->incoming.members,
	};

	s.data = g_byte_array_free_to_bytes(r->incoming.data);
	r->incoming.data = NULL;
	incoming_snapshot_clear(r);
	shared_snapshot_unref(r->snapshot);
	r->snapshot = shared_snapshot_new(&s);
	g_bytes_unref(s.data);
	shared_snapshot_unref(r->installed);
	r->installed = shared_snapshot_ref(r->snapshot);
	log_reset(&r->log, s.index, s.term);
	g_array_set_size(r->memberships, 0);
	members_set(r, s.index, &s.members);
	r->commit = r->delivered = r->verified = s.index;
	r->ack_pending = false;
	/* Until this snapshot is synced, all messages wait for a sync. */
	r->synced_term = 0;
}

/*
 * Adds a chunk to the snapshot being received, or starts a new one. Returns the
 * offset of the next chunk.
 */
static uint64_t
receive_chunk(struct raft *r, const struct raft_msg *m)
{
	struct incoming_snapshot *in = &r->incoming;
	size_t size = m->chunk == NULL ? 0 : g_bytes_get_size(m->chunk);

	if (in->data == NULL || in->from != m->from || in->term != m->term ||
	    in->index != m->index || in->log_term != m->log_term ||
	    in->total != m->total) {
		if (m->offset != 0)
			return 0;
		incoming_snapshot_clear(r);
		*in = (struct incoming_snapshot){
			.from = m->from,
			.term = m->term,
			.index = m->index,
			.log_term = m->log_term,
			.total = m->total,
			.members = m->members,
			.data = g_byte_array_new(),
		};
	}
	if (m->offset == in->data->len && size <= in->total - m->offset &&
	    size > 0)
		g_byte_array_append(
		    in->data, g_bytes_get_data(m->chunk, NULL), (guint)size);
	return in->data->len;
}

void
on_snapshot(struct raft *r, const struct raft_msg *m)
{
	uint64_t term, next_offset;

	if (m->members.count == 0 || m->log_term > m->term)
		return;
	if (m->index <= r->commit) {
		r->verified = MAX(r->verified, r->commit);
		reply_chunk(r, m, m->total);
		return;
	}
	if (log_term(&r->log, m->index, &term) && term == m->log_term) {
		/* The log has these entries; only their commit is new. */
		r->verified = MAX(r->verified, m->index);
		r->ack_pending = r->verified > r->log.stored;
		commit_to(r, m->index);
		reply_chunk(r, m, m->total);
		return;
	}
	next_offset = receive_chunk(r, m);
	if (r->incoming.data != NULL && next_offset == m->total)
		install_snapshot(r);
	reply_chunk(r, m, next_offset);
}

void
raft_compact(
    struct raft *r, const struct raft_snapshot *snapshot, uint64_t trailing)
{
	struct raft_snapshot s = *snapshot;

	if (r->snapshot != NULL && s.index <= r->snapshot->snapshot.index)
		return;
	if (s.index > r->delivered || !log_term(&r->log, s.index, &s.term))
		return;
	raft_members_at(r, s.index, &s.members);
	shared_snapshot_unref(r->snapshot);
	r->snapshot = shared_snapshot_new(&s);
	members_prune(r, s.index);
	if (s.index > trailing)
		log_compact(&r->log, s.index - trailing);
}
