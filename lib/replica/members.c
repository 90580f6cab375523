/* Membership of the replicas, as operators see and change it. */
#include <string.h>

#include "replica_impl.h"

/*
 * An open membership drops a member that was not connected for so long, as
 * its VM may be gone for good: longer than a restart or an election. One that
 * comes back is added again. It is dropped sooner when another replica is
 * there to take its place.
 */
#define ABSENT_MS 5000
#define ABSENT_REPLACED_MS 1500
/* An open membership does not shrink below this, unless another replica is
 * there to take the place. */
#define VOTERS_LEAST 3

/* Returns the first member of that name, or NULL. */
static const struct raft_member *
member_named(const struct replica *r, const char *name, uint64_t but)
{
	const struct raft_members *m = raft_members(r->raft);

	for (int i = 0; i < m->count; i++)
		if (m->member[i].id != but &&
		    replica_id_has_name(m->member[i].id, name))
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

/* Says whether every connected replica is to be a member. */
static bool
is_open(const struct replica *r)
{
	return r->initial_members == NULL;
}

/*
 * Says whether one more voter helps. An even number of voters bears no more
 * losses than one less, and stands still when it is cut in halves: the one
 * that is over stays a learner, and steps in when a voter is dropped.
 */
static bool
wants_voter(const struct replica *r)
{
	const struct raft_members *m = raft_members(r->raft);
	int voters = 0;
	int learners = 0;

	for (int i = 0; i < m->count; i++) {
		if (!m->member[i].learner)
			voters++;
		else if (replica_peer_name(r, m->member[i].id) != NULL)
			learners++;
	}
	return !is_open(r) || voters < VOTERS_LEAST || voters % 2 == 0 ||
	    learners > 1;
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
	uint64_t node = peer->replica_id;
	const struct raft_member *mine = member_with(r, node);
	const struct raft_member *old = member_named(r, name, node);
	uint64_t index = 0;

	if (node == 0 || peer->cell_id != r->cell_id)
		return;
	if (mine == NULL && (old != NULL || is_open(r)) &&
	    raft_members(r->raft)->count < RAFT_MEMBERS_MAX)
		index = raft_propose_member(r->raft, node, true, false);
	else if (mine != NULL && old != NULL && mine->learner)
		index = raft_propose_member(r->raft, old->id, false, true);
	else if (mine != NULL && mine->learner && wants_voter(r))
		index = raft_propose_member(r->raft, node, false, false);
	if (index == 0)
		return;
	log_info("replica",
	    "membership of %s changes at entry %" G_GUINT64_FORMAT, name,
	    index);
	replica_schedule_output(r);
}

/* Which members are connected. */
struct absence {
	int voters;
	int present; /* voters */
	uint64_t longest; /* voter away for longest; RAFT_NONE: nobody is */
	int64_t since_ms; /* since when it is */
	uint64_t
	    learner; /* one that has been away for too long, or RAFT_NONE */
};

struct newcomers {
	const struct replica *replica;
	bool any;
};

/* Returns since when a member is not connected; 0: it is. */
static int64_t
absent_since(struct replica *r, uint64_t id, int64_t now)
{
	int64_t *since = g_hash_table_lookup(r->absent_since, &id);

	if (id == r->identity.replica_id || replica_peer_name(r, id) != NULL) {
		g_hash_table_remove(r->absent_since, &id);
		return 0;
	}
	if (since != NULL)
		return *since;
	since = g_new(int64_t, 1);
	*since = now;
	g_hash_table_insert(r->absent_since, g_memdup2(&id, sizeof(id)), since);
	return now;
}

/* Finds whether a connected replica is no voter yet. */
static void
find_newcomer(void *arg, const struct peer_info *peer)
{
	struct newcomers *n = arg;
	const struct raft_member *m = member_with(n->replica, peer->replica_id);

	n->any |= peer->replica_id != 0 &&
	    peer->cell_id == n->replica->cell_id && (m == NULL || m->learner);
}

static void
drop(struct replica *r, uint64_t id, int64_t bound)
{
	if (raft_propose_member(r->raft, id, false, true) == 0)
		return;
	log_warn("replica",
	    "drops member %016" G_GINT64_MODIFIER
	    "x: not connected for over %" G_GINT64_FORMAT " ms",
	    id, bound);
	replica_schedule_output(r);
}

/* Removes one member that has been away for too long. */
static void
drop_absent(struct replica *r, const struct absence *a, int64_t now)
{
	struct newcomers n = { .replica = r };
	int64_t bound;

	if (a->learner != RAFT_NONE) {
		drop(r, a->learner, ABSENT_MS);
		return;
	}
	r->ops->each_peer(r->arg, find_newcomer, &n);
	bound = n.any ? ABSENT_REPLACED_MS : ABSENT_MS;
	if (a->longest == RAFT_NONE || now - a->since_ms <= bound ||
	    a->voters < VOTERS_LEAST + (n.any ? 0 : 1) ||
	    a->present <= (a->voters - 1) / 2)
		return;
	drop(r, a->longest, bound);
}

/* Notes which members are connected, also while another replica leads. */
static struct absence
look_around(struct replica *r, int64_t now)
{
	const struct raft_members *m = raft_members(r->raft);
	struct absence a = { .longest = RAFT_NONE, .learner = RAFT_NONE };

	for (int i = 0; i < m->count; i++) {
		int64_t since;

		since = absent_since(r, m->member[i].id, now);
		if (m->member[i].learner) {
			if (since != 0 && now - since > ABSENT_MS)
				a.learner = m->member[i].id;
			continue;
		}
		a.voters++;
		if (since == 0)
			a.present++;
		else if (a.longest == RAFT_NONE || since < a.since_ms) {
			a.longest = m->member[i].id;
			a.since_ms = since;
		}
	}
	return a;
}

void
replica_update_members(struct replica *r)
{
	int64_t now = mono_ms();
	struct absence a = look_around(r, now);

	if (!replica_leads(r))
		return;
	if (is_open(r))
		drop_absent(r, &a, now);
	r->ops->each_peer(r->arg, tend_member, r);
}

/* The connected replica of a name. */
struct wanted {
	const char *name;
	uint64_t node;
};

static void
match_node(void *arg, const struct peer_info *peer)
{
	struct wanted *w = arg;

	if (peer->replica_id == w->node)
		w->name = peer->name;
}

const char *
replica_peer_name(const struct replica *r, uint64_t node)
{
	struct wanted w = { .node = node };

	r->ops->each_peer(r->arg, match_node, &w);
	return w.name;
}

static void
match_name(void *arg, const struct peer_info *peer)
{
	struct wanted *w = arg;

	if (strcmp(peer->name, w->name) == 0)
		w->node = peer->replica_id;
}

const char *
replica_add_member(struct replica *r, const char *name)
{
	struct wanted w = { .name = name };

	if (!replica_leads(r))
		return "this replica does not lead";
	if (member_named(r, name, 0) != NULL)
		return "a replica of that name is a member";
	if (raft_members(r->raft)->count >= RAFT_MEMBERS_MAX)
		return "the membership is at its bound";
	r->ops->each_peer(r->arg, match_name, &w);
	if (w.node == 0)
		return "no replica of that name is connected: start it first";
	if (raft_propose_member(r->raft, w.node, true, false) == 0)
		return "another membership change is in flight";
	replica_schedule_output(r);
	return NULL;
}

const char *
replica_remove_member(struct replica *r, const char *name)
{
	const struct raft_member *m;

	if (!replica_leads(r))
		return "this replica does not lead";
	m = member_named(r, name, 0);
	if (m == NULL)
		return "no replica of that name is a member";
	if (raft_propose_member(r->raft, m->id, false, true) == 0)
		return "another membership change is in flight";
	replica_schedule_output(r);
	return NULL;
}

bool
replica_transfer_leadership(struct replica *r)
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

		if (id == r->identity.replica_id || m->member[i].learner ||
		    replica_peer_name(r, id) == NULL || at < match)
			continue;
		best = id;
		match = at;
	}
	if (best == RAFT_NONE || !raft_transfer(r->raft, best))
		return false;
	replica_schedule_output(r);
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
	bool self = m->id == r->identity.replica_id;
	const char *name = self ? r->name : replica_peer_name(r, m->id);
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

int
replica_voter_count(const struct replica *r)
{
	const struct raft_members *m;
	int voters = 0;

	if (r->raft == NULL)
		return 0;
	m = raft_members(r->raft);
	for (int i = 0; i < m->count; i++)
		voters += !m->member[i].learner;
	return voters;
}
