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

/* The same for every membership that may come into force anywhere. */
static bool
all_survive(struct cluster *c, uint64_t without)
{
	const struct node *n;
	guint i;

	for (n = c->node; n < c->node + SLOTS; n++) {
		if (n->r == NULL)
			return false;
		for (i = 0; n->id != without && i < n->r->changes->len; i++)
			if (g_array_index(n->r->changes, struct change, i)
				    .members.count > 0 &&
			    !survives(c,
				&g_array_index(n->r->changes, struct change, i)
				     .members,
				without))
				return false;
	}
	return true;
}

static void
cut_some(struct cluster *c)
{
	uint64_t from = rng_below(&c->rng, SLOTS);
	uint64_t to = rng_below(&c->rng, SLOTS);
	int i;

	if (chance(c, 500)) {
		c->cut[from][to] = from != to;
		return;
	}
	/* Cut one off wholly, or in one direction only. */
	for (i = 0; i < SLOTS; i++) {
		c->cut[from][i] = (uint64_t)i != from;
		c->cut[i][from] = (uint64_t)i != from && chance(c, 700);
	}
}

static void
heal(struct cluster *c)
{
	int i, k;

	for (i = 0; i < SLOTS; i++)
		for (k = 0; k < SLOTS; k++)
			c->cut[i][k] = false;
}

static void
inject(struct cluster *c)
{
	struct node *n = any_node(c);

	switch (rng_below(&c->rng, 10)) {
	case 0:
	case 1:
		if (n->r != NULL)
			node_crash(c, n);
		break;
	case 2:
	case 3:
	case 4:
		if (n->r == NULL)
			node_start(c, n);
		break;
	case 5:
		cut_some(c);
		break;
	case 6:
		heal(c);
		break;
	case 7:
		n->paused = n->r != NULL && !n->paused;
		break;
	case 8:
		if (all_survive(c, n->id))
			node_lose(c, n);
		break;
	default:
		if (awake(n) && chance(c, 300))
			raft_disable(n->r);
	}
}

/* Proposes a change of members that a careful operator might. */
static void
change_members(struct cluster *c, struct node *leader)
{
	const struct raft_members *m = raft_members(leader->r);
	struct raft_members after = *m;
	struct node *n = any_node(c);
	bool learner;
	int i;

	for (i = 0; i < m->count; i++)
		if (cluster_node(c, m->member[i].id) == NULL) {
			raft_propose_member(
			    leader->r, m->member[i].id, false, true);
			return;
		}
	if (!members_has(m, n->id, &learner)) {
		raft_propose_member(leader->r, n->id, true, false);
		return;
	}
	if (learner) {
		raft_propose_member(leader->r, n->id, false, false);
		return;
	}
	for (i = 0; i < after.count; i++)
		if (after.member[i].id == n->id)
			after.member[i].learner = true;
	if (survives(c, &after, RAFT_NONE))
		raft_propose_member(
		    leader->r, n->id, chance(c, 300), chance(c, 700));
}

static void
administer(struct cluster *c)
{
	struct node *leader = cluster_leader(c);
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
		if (leader != NULL && awake(leader))
			raft_transfer(leader->r, n->id);
		break;
	default:
		if (leader != NULL && awake(leader))
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

/* One step of one replica's own: clock, disk, proposals and reads. */
static void
local(struct cluster *c, const struct rates *rates)
{
	struct node *n = any_node(c);

	if (!awake(n))
		return;
	if (chance(c, rates->sync)) {
		node_sync(c, n);
	} else if (chance(c, 700)) {
		raft_tick(n->r);
	} else if (chance(c, 300)) {
		cluster_read(c, n);
	} else {
		n = cluster_leader(c);
		if (n == NULL || !awake(n))
			return;
		cluster_propose(c, n);
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
		.fault = rng_below(&c->rng, 25),
		.admin = rng_below(&c->rng, 40),
		.sync = 200 + rng_below(&c->rng, 500),
	};

	for (c->step = 0; c->step < (uint64_t)steps; c->step++) {
		if (chance(c, rates.fault))
			inject(c);
		else if (chance(c, rates.admin))
			administer(c);
		else if (chance(c, 550))
			message(c, &rates);
		else
			local(c, &rates);
	}
	require_progress(c);
	require_agreement(c);
}
