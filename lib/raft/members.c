/*
 * Membership. The current one is that of the last RAFT_MEMBERS entry in the
 * log, committed or not.
 */
#include "core.h"

/* Entries that a learner may be behind when it is promoted to voter. */
#define PROMOTE_MAX_LAG 64

static const struct membership *
current_membership(const struct raft *r)
{
	return &g_array_index(
	    r->memberships, struct membership, r->memberships->len - 1);
}

const struct raft_members *
members_current(const struct raft *r)
{
	return &current_membership(r)->members;
}

uint64_t
members_current_index(const struct raft *r)
{
	return current_membership(r)->index;
}

static int
member_position(const struct raft_members *m, uint64_t id)
{
	int i;

	for (i = 0; i < m->count; i++)
		if (m->member[i].id == id)
			return i;
	return -1;
}

bool
members_has(const struct raft_members *m, uint64_t id, bool *learner)
{
	int i = member_position(m, id);

	if (i < 0)
		return false;
	*learner = m->member[i].learner;
	return true;
}

bool
members_is_voter(const struct raft_members *m, uint64_t id)
{
	bool learner;

	return members_has(m, id, &learner) && !learner;
}

int
members_voters(const struct raft_members *m)
{
	int i, n = 0;

	for (i = 0; i < m->count; i++)
		n += !m->member[i].learner;
	return n;
}

int
members_quorum(const struct raft_members *m)
{
	return members_voters(m) / 2 + 1;
}

void
members_set(struct raft *r, uint64_t index, const struct raft_members *members)
{
	struct membership c = { .index = index, .members = *members };

	g_array_append_val(r->memberships, c);
	if (r->role == RAFT_LEADER)
		peers_update(r);
}

void
members_rollback(struct raft *r, uint64_t index)
{
	while (r->memberships->len > 1 && members_current_index(r) >= index)
		g_array_set_size(r->memberships, r->memberships->len - 1);
}

void
members_prune(struct raft *r, uint64_t index)
{
	while (r->memberships->len > 1 &&
	    g_array_index(r->memberships, struct membership, 1).index <= index)
		g_array_remove_index(r->memberships, 0);
}

void
raft_members_at(
    const struct raft *r, uint64_t index, struct raft_members *members)
{
	guint i = r->memberships->len - 1;

	while (i > 0 &&
	    g_array_index(r->memberships, struct membership, i).index > index)
		i--;
	*members = g_array_index(r->memberships, struct membership, i).members;
}

/* Applies a change to m; returns false if it is not allowed. */
static bool
apply_change(struct raft *r, uint64_t id, bool learner, bool remove,
    struct raft_members *m)
{
	int i = member_position(m, id);
	const struct peer *p;

	if (remove) {
		if (i < 0)
			return false;
		m->member[i] = m->member[--m->count];
		return members_voters(m) > 0;
	}
	if (i < 0) {
		/* A new member starts as a learner, as its log is empty. */
		if (!learner || m->count == RAFT_MEMBERS_MAX)
			return false;
		m->member[m->count++] = (struct raft_member){ id, true };
		return true;
	}
	if (m->member[i].learner == learner)
		return false;
	m->member[i].learner = learner;
	if (learner)
		return members_voters(m) > 0;
	p = peer_find(r, id);
	return p != NULL && p->state == PEER_REPLICATE &&
	    p->match >= r->term_first_index &&
	    p->match + PROMOTE_MAX_LAG >= log_last_index(&r->log) &&
	    r->now - p->last_reply < (uint64_t)r->election_ticks;
}

uint64_t
raft_propose_member(struct raft *r, uint64_t id, bool learner, bool remove)
{
	struct raft_members m = *members_current(r);
	GBytes *data;

	if (!raft_own_term_committed(r) || r->transfer_to != RAFT_NONE ||
	    id == RAFT_NONE)
		return 0;
	if (members_current_index(r) > r->commit)
		return 0;
	if (!apply_change(r, id, learner, remove, &m))
		return 0;
	data = raft_members_encode(&m);
	leader_append(r, RAFT_MEMBERS, data);
	g_bytes_unref(data);
	return log_last_index(&r->log);
}
