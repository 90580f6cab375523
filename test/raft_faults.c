/*
 * Seeded schedules of faults for a cluster of Raft cores.
 */
#include "raft_cluster.h"

#define WIRE_MAX 200 /* messages; the oldest are lost beyond */
#define CALM_TICKS 150 /* within which progress is due without faults */

/* How often things go wrong in one schedule, in parts of 1000. */
struct rates {
	uint64_t drop;
	uint64_t duplicate;
	uint64_t reorder;
	uint64_t fault;
	uint64_t admin;
	uint64_t sync;
};

static bool
chance(struct cluster *c, uint64_t per_mille)
{
	return rng_below(&c->rng, 1000) < per_mille;
}

static struct node *
any_node(struct cluster *c)
{
	return &c->node[rng_below(&c->rng, SLOTS)];
}

/* Any replica, with a bias to the one that leads. */
static struct node *
victim(struct cluster *c)
{
	struct node *leader = cluster_leader(c);

	return leader != NULL && chance(c, 400) ? leader : any_node(c);
}

/* A replica that thinks it leads, also one that was replaced; or NULL. */
static struct node *
any_leader(struct cluster *c)
{
	uint64_t i, first = rng_below(&c->rng, SLOTS);
	struct node *n;

	for (i = 0; i < SLOTS; i++) {
		n = &c->node[(first + i) % SLOTS];
		if (n->r != NULL && !n->paused &&
		    raft_role(n->r) == RAFT_LEADER)
			return n;
	}
	return NULL;
}

static bool
awake(const struct node *n)
{
	return n->r != NULL && !n->paused;
}

/* Says whether a majority would still have its disks without one of them. */
static bool
survives(struct cluster *c, const struct raft_members *m, uint64_t without)
{
	int i, have = 0, voters = 0;

	for (i = 0; i < m->count; i++) {
		if (m->member[i].learner)
			continue;
		voters++;
		have += m->member[i].id != without &&
		    cluster_node(c, m->member[i].id) != NULL;
	}
	return have > voters / 2;
}

/*
 * The same for the last committed membership and for each that may still be
 * committed, be it only on a disk or in a message on the way.
 */
static bool
all_survive(struct cluster *c, uint64_t without)
{
	const struct raft_members *committed = &c->founders;
	const struct proposal *p;
	guint i;

	for (i = 0; i < c->proposed->len; i++) {
		p = &g_array_index(c->proposed, struct proposal, i);
		if (p->index <= c->facts->len) {
			if (cluster_committed(c, p->index, p->term))
				committed = &p->members;
		} else if (!survives(c, &p->members, without)) {
			return false;
		}
	}
	return survives(c, committed, without);
}

/* Cuts one direction, one replica off, or the cluster in two. */
static void
cut_some(struct cluster *c)
{
	struct node *n = victim(c);
	uint64_t from = (uint64_t)(n - c->node), to = rng_below(&c->rng, SLOTS);
	uint64_t side =
	    chance(c, 500) ? 1U << from : rng_below(&c->rng, 1U << SLOTS);
	uint64_t back = chance(c, 700) ? 1000 : 0;
	int i, k;

	if (chance(c, 300)) {
		c->cut[from][to] = from != to;
		return;
	}
	for (i = 0; i < SLOTS; i++)
		for (k = 0; k < SLOTS; k++)
			if ((side >> i & 1) != (side >> k & 1))
				c->cut[i][k] =
				    (side >> i & 1) != 0 || chance(c, back);
}

static void
heal(struct cluster *c)
{
	int i, k;

	for (i = 0; i < SLOTS; i++)
		for (k = 0; k < SLOTS; k++)
			c->cut[i][k] = false;
}

/* Starts or wakes the first replica in line that is down or paused. */
static void
start_any(struct cluster *c)
{
	struct node *n = c->node;

	while (n < c->node + SLOTS && n->r != NULL)
		n++;
	if (n < c->node + SLOTS)
		node_start(c, n);
}

static void
wake_any(struct cluster *c)
{
	struct node *n = c->node;

	while (n < c->node + SLOTS && !n->paused)
		n++;
	if (n < c->node + SLOTS)
		n->paused = false;
}

static void
inject(struct cluster *c)
{
	struct node *n = victim(c);

	switch (rng_below(&c->rng, 20)) {
	case 0:
	case 1:
		if (n->r != NULL)
			node_crash(c, n);
		break;
	case 2:
	case 3:
	case 4:
	case 5:
	case 6:
		start_any(c);
		break;
	case 7:
	case 8:
	case 9:
		heal(c);
		cut_some(c);
		break;
	case 10:
		cut_some(c);
		break;
	case 11:
	case 12:
		heal(c);
		break;
	case 13:
	case 14:
		n->paused = n->r != NULL;
		break;
	case 15:
	case 16:
	case 17:
		wake_any(c);
		break;
	case 18:
		if (chance(c, 250) && all_survive(c, n->id))
			node_lose(c, n);
		break;
	default:
		if (awake(n) && chance(c, 300))
			raft_disable(n->r);
	}
}

static void
propose_member(struct cluster *c, struct node *leader, uint64_t id,
    bool learner, bool remove)
{
	struct proposal p = {
		.term = raft_term(leader->r),
		.index = raft_propose_member(leader->r, id, learner, remove),
	};

	if (p.index == 0)
		return;
	p.members = *raft_members(leader->r);
	g_array_append_val(c->proposed, p);
}

/* Proposes a change of members that a careful operator might. */
static void
change_members(struct cluster *c, struct node *leader)
{
	struct raft_members m = *raft_members(leader->r);
	struct node *n = any_node(c);
	bool learner;
	int i;

	for (i = 0; i < m.count; i++)
		if (cluster_node(c, m.member[i].id) == NULL) {
			propose_member(c, leader, m.member[i].id, false, true);
			return;
		}
	if (!members_has(&m, n->id, &learner)) {
		propose_member(c, leader, n->id, true, false);
		return;
	}
	if (learner) {
		propose_member(c, leader, n->id, false, false);
		return;
	}
	for (i = 0; i < m.count; i++)
		m.member[i].learner |= m.member[i].id == n->id;
	if (survives(c, &m, RAFT_NONE))
		propose_member(
		    c, leader, n->id, chance(c, 500), chance(c, 500));
}

static void
administer(struct cluster *c)
{
	struct node *leader = any_leader(c);
	struct node *n = any_node(c);

	switch (rng_below(&c->rng, 6)) {
	case 0:
		if (awake(n))
			node_compact(c, n, rng_below(&c->rng, 20));
		break;
	case 1:
		if (awake(n))
			raft_campaign(n->r);
		break;
	case 2:
		if (leader != NULL)
			raft_transfer(leader->r, n->id);
		break;
	default:
		if (leader != NULL)
			change_members(c, leader);
	}
}

static void
message(struct cluster *c, const struct rates *rates)
{
	guint first = 0;

	while (c->wire.length > WIRE_MAX)
		g_bytes_unref(g_queue_pop_head(&c->wire));
	if (c->wire.length == 0)
		return;
	if (chance(c, rates->reorder))
		first = (guint)rng_below(&c->rng, c->wire.length);
	if (chance(c, rates->drop))
		g_bytes_unref(g_queue_pop_nth(&c->wire, first));
	else
		cluster_deliver(c, first, chance(c, rates->duplicate));
}

/* One fsync, for any number of the batches that wait. */
static void
sync_some(struct cluster *c, struct node *n)
{
	guint i, most = n->unsynced.length;
	guint count = 1 + (guint)rng_below(&c->rng, 2 * (most + 1));

	for (i = 0; i < MIN(count, most); i++)
		node_sync(c, n);
}

/* One step of one replica's own: clock, disk, proposals and reads. */
static void
local(struct cluster *c, const struct rates *rates)
{
	struct node *n = any_node(c);

	if (chance(c, 200)) {
		n = any_leader(c);
		if (n == NULL)
			return;
		if (chance(c, 500))
			cluster_read(c, n);
		else
			cluster_propose(c, n);
	} else if (!awake(n)) {
		return;
	} else if (chance(c, rates->sync)) {
		sync_some(c, n);
	} else {
		raft_tick(n->r);
	}
	if (chance(c, 800))
		node_take(c, n);
}

/* Without faults, a leader must come up, commit and confirm a read. */
static void
require_progress(struct cluster *c)
{
	struct node *n, *leader = NULL;
	uint64_t index = 0, reads = c->reads;
	int tick;

	heal(c);
	for (n = c->node; n < c->node + SLOTS; n++) {
		n->paused = false;
		if (n->r != NULL && n->r->disabled)
			node_crash(c, n);
		if (n->r == NULL)
			node_start(c, n);
	}
	for (tick = 0; tick < CALM_TICKS; tick++) {
		cluster_ticks(c, 1);
		n = cluster_leader(c);
		if (n != leader || index == 0) {
			leader = n;
			reads = c->reads;
			index = n == NULL ? 0 : cluster_propose(c, n);
			if (n != NULL)
				cluster_read(c, n);
		} else if (index <= raft_commit(n->r) && c->reads > reads)
			return;
	}
	cluster_broken(c, "no progress after the faults stopped");
}

/* Says whether all members hold what the leader committed. */
static bool
agreed(struct cluster *c)
{
	const struct node *leader = cluster_leader(c), *n;
	const struct raft_members *m;
	int i;

	if (leader == NULL || !raft_settled(leader->r))
		return false;
	m = raft_members(leader->r);
	for (i = 0; i < m->count; i++) {
		n = cluster_node(c, m->member[i].id);
		if (n != NULL && n->applied != leader->applied)
			return false;
	}
	return true;
}

static void
require_agreement(struct cluster *c)
{
	int tick;

	for (tick = 0; tick < CALM_TICKS && !agreed(c); tick++)
		cluster_ticks(c, 1);
	if (!agreed(c))
		cluster_broken(c, "a member stays behind");
}

void
cluster_schedule(struct cluster *c, int steps)
{
	struct rates rates = {
		.drop = rng_below(&c->rng, 150),
		.duplicate = rng_below(&c->rng, 100),
		.reorder = rng_below(&c->rng, 500),
		.fault = rng_below(&c->rng, 1 + rng_below(&c->rng, 60)),
		.admin = rng_below(&c->rng, 80),
		.sync = 100 + rng_below(&c->rng, 500),
	};

	cluster_elect(c, &c->node[0]);
	for (c->step = 0; c->step < (uint64_t)steps; c->step++) {
		if (chance(c, rates.fault))
			inject(c);
		else if (chance(c, rates.admin))
			administer(c);
		else if (chance(c, 480))
			message(c, &rates);
		else
			local(c, &rates);
	}
	require_progress(c);
	require_agreement(c);
}
