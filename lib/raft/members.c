/*
 * Membership: the one in force is that of the last membership entry in the
 * log, committed or not.
 */
#include "core.h"

/* How far a learner's log may be behind when it is made a voter. */
#define CAUGHT_UP_ENTRIES 64

static const struct change *
last_change(const struct raft *r)
{
	return &g_array_index(r->changes, struct change, r->changes->len - 1);
}

const struct raft_members *
members_now(const struct raft *r)
{
	return &last_change(r)->members;
}

uint64_t
members_index(const struct raft *r)
{
	return last_change(r)->index;
}

static int
position(const struct raft_members *m, uint64_t id)
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
	int i = position(m, id);

	if (i < 0)
		return false;
	*learner = m->member[i].learner;
	return true;
}

bool
members_voter(const struct raft_members *m, uint64_t id)
{
	bool learner;

	return members_has(m, id, &learner) && !learner;
}

static int
voters(const struct raft_members *m)
{
	int i, n = 0;

	for (i = 0; i < m->count; i++)
		n += !m->member[i].learner;
	return n;
}

int
members_quorum(const struct raft_members *m)
{
	return voters(m) / 2 + 1;
}

void
members_set(struct raft *r, uint64_t index, const struct raft_members *members)
{
	struct change c = { .index = index, .members = *members };

	g_array_append_val(r->changes, c);
	if (r->role == RAFT_LEADER)
		peers_update(r);
}

void
members_rollback(struct raft *r, uint64_t index)
{
	while (r->changes->len > 1 && members_index(r) >= index)
		g_array_set_size(r->changes, r->changes->len - 1);
}

void
members_prune(struct raft *r, uint64_t index)
{
	while (r->changes->len > 1 &&
	    g_array_index(r->changes, struct change, 1).index <= index)
		g_array_remove_index(r->changes, 0);
}

void
raft_members_at(
    const struct raft *r, uint64_t index, struct raft_members *members)
{
	guint i = r->changes->len - 1;

	while (
	    i > 0 && g_array_index(r->changes, struct change, i).index > index)
		i--;
	*members = g_array_index(r->changes, struct change, i).members;
}

/* Works out the membership after a change; false if it is not allowed. */
static bool
changed(struct raft *r, uint64_t id, bool learner, bool remove,
    struct raft_members *m)
{
	int i = position(m, id);
	const struct peer *p;

	if (remove) {
		if (i < 0)
			return false;
		m->member[i] = m->member[--m->count];
		return voters(m) > 0;
	}
	if (i < 0) {
		/* A newcomer starts as learner: its log is empty. */
		if (!learner || m->count == RAFT_MEMBERS_MAX)
			return false;
		m->member[m->count++] = (struct raft_member){ id, true };
		return true;
	}
	if (m->member[i].learner == learner)
		return false;
	m->member[i].learner = learner;
	if (learner)
		return voters(m) > 0;
	p = peer_find(r, id);
	return p != NULL && p->state == PEER_REPLICATE &&
	    p->match >= r->term_start &&
	    p->match + CAUGHT_UP_ENTRIES >= log_last(&r->log) &&
	    r->now - p->heard < (uint64_t)r->election_ticks;
}

uint64_t
raft_propose_member(struct raft *r, uint64_t id, bool learner, bool remove)
{
	struct raft_members m = *members_now(r);
	GBytes *data;

	if (!raft_settled(r) || r->transfer != RAFT_NONE || id == RAFT_NONE)
		return 0;
	if (members_index(r) > r->commit)
		return 0;
	if (!changed(r, id, learner, remove, &m))
		return 0;
	data = raft_members_encode(&m);
	append_local(r, RAFT_MEMBERS, data);
	g_bytes_unref(data);
	return log_last(&r->log);
}
