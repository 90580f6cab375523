/* Changes to the membership, automatic and by operators; status report. */
#include <string.h>

#include "replica_impl.h"

/*
 * Automatic membership removes a member that has not been connected for
 * REMOVE_ABSENT_MS, as its VM may be lost for good. This is longer than a
 * restart or an election takes. REPLACE_ABSENT_MS applies if another connected
 * replica can take its place. A member that comes back is added again.
 */
#define REMOVE_ABSENT_MS 5000
#define REPLACE_ABSENT_MS 1500
/* Automatic membership keeps at least this many voters. */
#define VOTERS_MIN 3

/* Returns the first member with this name and another id, or NULL. */
static const struct raft_member *
member_by_name(const struct replica *r, const char *name, uint64_t except_id)
{
	const struct raft_members *m = raft_members(r->raft);

	for (int i = 0; i < m->count; i++)
		if (m->member[i].id != except_id &&
		    replica_id_has_name(m->member[i].id, name))
			return &m->member[i];
	return NULL;
}

static const struct raft_member *
member_by_id(const struct replica *r, uint64_t id)
{
	const struct raft_members *m = raft_members(r->raft);

	for (int i = 0; i < m->count; i++)
		if (m->member[i].id == id)
			return &m->member[i];
	return NULL;
}

/* Reports whether every connected replica becomes a member. */
static bool
is_automatic(const struct replica *r)
{
	return r->initial_members == NULL;
}

/* Returns how many of the voters can lose their disks and leave a majority. */
static int
losses_tolerated(int voters)
{
	return (voters - 1) / 2;
}

static bool
are_enough(const struct replica *r, int voters)
{
	return voters >= VOTERS_MIN &&
	    losses_tolerated(voters) >= r->disk_losses;
}

bool
replica_has_enough_voters(const struct replica *r)
{
	return are_enough(r, replica_voter_count(r));
}

/*
 * Reports whether automatic membership may have one voter less. An absent
 * voter may come back with its disk, and is needed then if others have lost
 * theirs meanwhile.
 */
static bool
may_shrink(const struct replica *r, int voters)
{
	bool keeps_tolerance = r->disk_losses >= 0 ||
	    losses_tolerated(voters - 1) == losses_tolerated(voters);

	return are_enough(r, voters - 1) && keeps_tolerance;
}

/* Summary of which members are connected. */
struct connectivity {
	int voters;
	int connected_voters;
	int connected_learners;
	uint64_t absent_voter; /* absent for longest; RAFT_NONE: none */
	int64_t absent_since_ms; /* of absent_voter */
	uint64_t expired_learner; /* absent for too long; RAFT_NONE: none */
};

static bool
is_absent_for(const struct connectivity *c, int64_t limit_ms, int64_t now)
{
	return c->absent_voter != RAFT_NONE &&
	    now - c->absent_since_ms > limit_ms;
}

/*
 * Reports whether one more voter improves availability. An even number of
 * voters tolerates no more failures than one fewer, and has no quorum if the
 * network splits it in halves. So the surplus replica stays a learner until a
 * voter is absent. It is promoted before that voter is removed, so that there
 * are never fewer voters than before.
 */
static bool
needs_voter(const struct replica *r, const struct connectivity *c, int64_t now)
{
	return !is_automatic(r) || !are_enough(r, c->voters) ||
	    c->voters % 2 == 0 || c->connected_learners > 1 ||
	    is_absent_for(c, REPLACE_ABSENT_MS, now);
}

/* Arguments of update_member(). */
struct member_update {
	struct replica *replica;
	const struct connectivity *connectivity;
	int64_t now; /* ms */
};

/*
 * A connected replica whose name is a member under another id has lost its
 * disk. It becomes a learner, then the old id is removed, then the learner
 * is promoted once it has caught up. The next step depends only on the
 * membership, so a new leader can continue with it.
 */
static void
update_member(void *arg, const struct peer_info *peer)
{
	const struct member_update *u = arg;
	struct replica *r = u->replica;
	const char *name = peer->name;
	uint64_t id = peer->replica_id;
	const struct raft_member *member = member_by_id(r, id);
	const struct raft_member *old = member_by_name(r, name, id);
	uint64_t index = 0;

	if (id == 0 || peer->cell_id != r->cell_id)
		return;
	if (member == NULL && (old != NULL || is_automatic(r)) &&
	    raft_members(r->raft)->count < RAFT_MEMBERS_MAX)
		index = raft_propose_member(r->raft, id, true, false);
	else if (member != NULL && old != NULL && member->learner)
		index = raft_propose_member(r->raft, old->id, false, true);
	else if (member != NULL && member->learner &&
	    needs_voter(r, u->connectivity, u->now))
		index = raft_propose_member(r->raft, id, false, false);
	if (index == 0)
		return;
	log_info("replica",
	    "membership change of %s proposed at entry %" G_GUINT64_FORMAT,
	    name, index);
	replica_schedule_output(r);
}

/* Returns the time since when a member is absent; 0: it is connected. */
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

static void
propose_removal(struct replica *r, uint64_t id, int64_t limit_ms)
{
	if (raft_propose_member(r->raft, id, false, true) == 0)
		return;
	log_warn("replica",
	    "removing member %016" G_GINT64_MODIFIER
	    "x: not connected for more than %" G_GINT64_FORMAT " ms",
	    id, limit_ms);
	replica_schedule_output(r);
}

/*
 * Removes one member that has been absent for too long. An even number of
 * voters needs a smaller quorum without the absent one, so that one is removed
 * early.
 */
static void
remove_absent(struct replica *r, const struct connectivity *c, int64_t now)
{
	int64_t limit_ms =
	    c->voters % 2 == 0 ? REPLACE_ABSENT_MS : REMOVE_ABSENT_MS;

	if (c->expired_learner != RAFT_NONE) {
		propose_removal(r, c->expired_learner, REMOVE_ABSENT_MS);
		return;
	}
	if (!is_absent_for(c, limit_ms, now) || !may_shrink(r, c->voters) ||
	    c->connected_voters <= (c->voters - 1) / 2)
		return;
	propose_removal(r, c->absent_voter, limit_ms);
}

/*
 * Makes the surplus voter a learner again if the absent one that it was to
 * replace came back before it was removed.
 */
static void
demote_surplus(struct replica *r, const struct connectivity *c)
{
	const struct raft_members *m = raft_members(r->raft);
	int last = m->count - 1;

	if (c->voters % 2 != 0 || !may_shrink(r, c->voters) ||
	    c->absent_voter != RAFT_NONE || c->connected_learners > 0)
		return;
	while (m->member[last].learner ||
	    m->member[last].id == r->identity.replica_id)
		last--;
	if (raft_propose_member(r->raft, m->member[last].id, true, false) == 0)
		return;
	log_info("replica",
	    "demoting voter %016" G_GINT64_MODIFIER
	    "x to a learner: the number of voters is even",
	    m->member[last].id);
	replica_schedule_output(r);
}

/* Records since when members are absent; runs on followers, too. */
static struct connectivity
check_connectivity(struct replica *r, int64_t now)
{
	const struct raft_members *m = raft_members(r->raft);
	struct connectivity c = { .absent_voter = RAFT_NONE,
		.expired_learner = RAFT_NONE };

	for (int i = 0; i < m->count; i++) {
		int64_t since;

		since = absent_since(r, m->member[i].id, now);
		if (m->member[i].learner) {
			c.connected_learners += since == 0;
			if (since != 0 && now - since > REMOVE_ABSENT_MS)
				c.expired_learner = m->member[i].id;
			continue;
		}
		c.voters++;
		if (since == 0)
			c.connected_voters++;
		else if (c.absent_voter == RAFT_NONE ||
		    since < c.absent_since_ms) {
			c.absent_voter = m->member[i].id;
			c.absent_since_ms = since;
		}
	}
	return c;
}

void
replica_update_members(struct replica *r)
{
	int64_t now = mono_ms();
	struct connectivity c = check_connectivity(r, now);
	struct member_update update = {
		.replica = r, .connectivity = &c, .now = now
	};

	if (!replica_leads(r))
		return;
	if (is_automatic(r)) {
		remove_absent(r, &c, now);
		demote_surplus(r, &c);
	}
	r->ops->each_peer(r->arg, update_member, &update);
}

/* Looks up a connected replica by id or by name. */
struct peer_lookup {
	const char *name;
	uint64_t replica_id;
};

static void
match_id(void *arg, const struct peer_info *peer)
{
	struct peer_lookup *lookup = arg;

	if (peer->replica_id == lookup->replica_id)
		lookup->name = peer->name;
}

const char *
replica_peer_name(const struct replica *r, uint64_t replica_id)
{
	struct peer_lookup lookup = { .replica_id = replica_id };

	r->ops->each_peer(r->arg, match_id, &lookup);
	return lookup.name;
}

static void
match_name(void *arg, const struct peer_info *peer)
{
	struct peer_lookup *lookup = arg;

	if (strcmp(peer->name, lookup->name) == 0)
		lookup->replica_id = peer->replica_id;
}

const char *
replica_add_member(struct replica *r, const char *name)
{
	struct peer_lookup lookup = { .name = name };

	if (!replica_leads(r))
		return "this replica is not the leader";
	if (member_by_name(r, name, 0) != NULL)
		return "a replica with this name is already a member";
	if (raft_members(r->raft)->count >= RAFT_MEMBERS_MAX)
		return "the cell already has the maximum of " G_STRINGIFY(
		    RAFT_MEMBERS_MAX) " members";
	r->ops->each_peer(r->arg, match_name, &lookup);
	if (lookup.replica_id == 0)
		return "no replica with this name is connected; start it first";
	if (raft_propose_member(r->raft, lookup.replica_id, true, false) == 0)
		return "another membership change is in progress";
	replica_schedule_output(r);
	return NULL;
}

const char *
replica_remove_member(struct replica *r, const char *name)
{
	const struct raft_member *m;

	if (!replica_leads(r))
		return "this replica is not the leader";
	m = member_by_name(r, name, 0);
	if (m == NULL)
		return "no member has this name";
	if (raft_propose_member(r->raft, m->id, false, true) == 0)
		return "another membership change is in progress";
	replica_schedule_output(r);
	return NULL;
}

bool
replica_transfer_leadership(struct replica *r)
{
	const struct raft_members *m;
	uint64_t best_id = RAFT_NONE;
	uint64_t best_match = 0;

	if (r->raft == NULL || raft_role(r->raft) != RAFT_LEADER)
		return false;
	m = raft_members(r->raft);
	for (int i = 0; i < m->count; i++) {
		uint64_t id = m->member[i].id;
		uint64_t match = raft_match_index(r->raft, id);

		if (id == r->identity.replica_id || m->member[i].learner ||
		    replica_peer_name(r, id) == NULL || match < best_match)
			continue;
		best_id = id;
		best_match = match;
	}
	if (best_id == RAFT_NONE || !raft_transfer_leadership(r->raft, best_id))
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

/* Appends a member as a JSON object; "stored" is its last log index. */
static void
append_member(
    const struct replica *r, GString *out, const struct raft_member *m)
{
	bool self = m->id == r->identity.replica_id;
	const char *name = self ? r->name : replica_peer_name(r, m->id);
	uint64_t stored =
	    self ? raft_last_index(r->raft) : raft_match_index(r->raft, m->id);

	g_string_append_printf(out,
	    "%s{\"name\":\"%s\",\"id\":\"%016" G_GINT64_MODIFIER
	    "x\",\"voter\":%s,\"connected\":%s,\"stored\":%" G_GUINT64_FORMAT
	    "}",
	    out->len > 0 ? "," : "", name == NULL ? "" : name, m->id,
	    m->learner ? "false" : "true", name == NULL ? "false" : "true",
	    stored);
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
	    raft_commit_index(r->raft), r->applied, raft_last_index(r->raft),
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
