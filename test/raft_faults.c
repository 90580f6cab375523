/*
 * Random schedules of faults for a simulated Raft cluster, from a seed.
 */
#include "raft_cluster.h"

#define NETWORK_MAX 200 /* messages; the oldest beyond it are lost */
#define RECOVERY_TICKS 150 /* for progress after the last fault */

/* Probabilities in one schedule, per mille. */
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
random_node(struct cluster *c)
{
	return &c->node[rng_below(&c->rng, NODES)];
}

/* Returns a random replica, more often the leader. */
static struct node *
fault_node(struct cluster *c)
{
	struct node *leader = cluster_leader(c);

	return leader != NULL && chance(c, 400) ? leader : random_node(c);
}

/*
 * Returns a random replica in the leader role, which may be one that a leader
 * of a later term has replaced; or NULL.
 */
static struct node *
random_leader(struct cluster *c)
{
	uint64_t i, first = rng_below(&c->rng, NODES);
	struct node *n;

	for (i = 0; i < NODES; i++) {
		n = &c->node[(first + i) % NODES];
		if (n->r != NULL && !n->paused &&
		    raft_role(n->r) == RAFT_LEADER)
			return n;
	}
	return NULL;
}

static bool
running(const struct node *n)
{
	return n->r != NULL && !n->paused;
}

/*
 * Returns whether a majority of the voters in m have their disks, without that
 * of one member. A member whose disk was lost no longer has a node.
 */
static bool
keeps_quorum(struct cluster *c, const struct raft_members *m, uint64_t without)
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
 * Checks keeps_quorum() for the last committed membership and for each later
 * one: as long as it is on a disk or in a message, it may still be committed.
 */
static bool
all_keep_quorum(struct cluster *c, uint64_t without)
{
	const struct raft_members *committed = &c->initial_members;
	const struct membership_proposal *p;
	guint i;

	for (i = 0; i < c->proposed_members->len; i++) {
		p = &g_array_index(
		    c->proposed_members, struct membership_proposal, i);
		if (p->index <= c->committed->len) {
			if (cluster_committed(c, p->index, p->term))
				committed = &p->members;
		} else if (!keeps_quorum(c, &p->members, without)) {
			return false;
		}
	}
	return keeps_quorum(c, committed, without);
}

/*
 * Blocks one link in one direction, isolates one replica or splits the cluster;
 * the last two are sometimes in one direction only.
 */
static void
add_partition(struct cluster *c)
{
	struct node *n = fault_node(c);
	uint64_t from = (uint64_t)(n - c->node), to = rng_below(&c->rng, NODES);
	uint64_t side =
	    chance(c, 500) ? 1U << from : rng_below(&c->rng, 1U << NODES);
	uint64_t back = chance(c, 700) ? 1000 : 0;
	int i, k;

	if (chance(c, 300)) {
		c->blocked[from][to] = from != to;
		return;
	}
	for (i = 0; i < NODES; i++)
		for (k = 0; k < NODES; k++)
			if ((side >> i & 1) != (side >> k & 1))
				c->blocked[i][k] =
				    (side >> i & 1) != 0 || chance(c, back);
}

static void
heal(struct cluster *c)
{
	int i, k;

	for (i = 0; i < NODES; i++)
		for (k = 0; k < NODES; k++)
			c->blocked[i][k] = false;
}

static void
start_first_down(struct cluster *c)
{
	struct node *n = c->node;

	while (n < c->node + NODES && n->r != NULL)
		n++;
	if (n < c->node + NODES)
		node_start(c, n);
}

static void
resume_first_paused(struct cluster *c)
{
	struct node *n = c->node;

	while (n < c->node + NODES && !n->paused)
		n++;
	if (n < c->node + NODES)
		n->paused = false;
}

static void
inject_fault(struct cluster *c)
{
	struct node *n = fault_node(c);

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
		start_first_down(c);
		break;
	case 7:
	case 8:
	case 9:
		heal(c);
		add_partition(c);
		break;
	case 10:
		add_partition(c);
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
		resume_first_paused(c);
		break;
	case 18:
		if (chance(c, 250) && all_keep_quorum(c, n->id))
			node_lose_disk(c, n);
		break;
	default:
		if (running(n) && chance(c, 300))
			raft_disable_leadership(n->r);
	}
}

static void
propose_member(struct cluster *c, struct node *leader, uint64_t id,
    bool learner, bool remove)
{
	struct membership_proposal p = {
		.term = raft_term(leader->r),
		.index = raft_propose_member(leader->r, id, learner, remove),
	};

	if (p.index == 0)
		return;
	p.members = *raft_members(leader->r);
	g_array_append_val(c->proposed_members, p);
}

/*
 * Proposes a random membership change that does not lose the quorum. Members
 * whose disks are lost are removed first.
 */
static void
change_members(struct cluster *c, struct node *leader)
{
	struct raft_members m = *raft_members(leader->r);
	struct node *n = random_node(c);
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
	if (keeps_quorum(c, &m, RAFT_NONE))
		propose_member(
		    c, leader, n->id, chance(c, 500), chance(c, 500));
}

static void
admin_action(struct cluster *c)
{
	struct node *leader = random_leader(c);
	struct node *n = random_node(c);

	switch (rng_below(&c->rng, 6)) {
	case 0:
		if (running(n))
			node_compact(c, n, rng_below(&c->rng, 20));
		break;
	case 1:
		if (running(n))
			raft_campaign(n->r);
		break;
	case 2:
		if (leader != NULL)
			raft_transfer_leadership(leader->r, n->id);
		break;
	default:
		if (leader != NULL)
			change_members(c, leader);
	}
}

static void
step_network(struct cluster *c, const struct rates *rates)
{
	guint first = 0;

	while (c->network.length > NETWORK_MAX)
		g_bytes_unref(g_queue_pop_head(&c->network));
	if (c->network.length == 0)
		return;
	if (chance(c, rates->reorder))
		first = (guint)rng_below(&c->rng, c->network.length);
	if (chance(c, rates->drop))
		g_bytes_unref(g_queue_pop_nth(&c->network, first));
	else
		cluster_deliver(c, first, chance(c, rates->duplicate));
}

/* Syncs any number of the oldest batches, like one fsync. */
static void
sync_some(struct cluster *c, struct node *n)
{
	guint i, most = n->unsynced.length;
	guint count = 1 + (guint)rng_below(&c->rng, 2 * (most + 1));

	for (i = 0; i < MIN(count, most); i++)
		node_sync(c, n);
}

/* Lets a replica tick, sync, propose or read. */
static void
step_node(struct cluster *c, const struct rates *rates)
{
	struct node *n = random_node(c);

	if (chance(c, 200)) {
		n = random_leader(c);
		if (n == NULL)
			return;
		if (chance(c, 500))
			cluster_read(c, n);
		else
			cluster_propose(c, n);
	} else if (!running(n)) {
		return;
	} else if (chance(c, rates->sync)) {
		sync_some(c, n);
	} else {
		raft_tick(n->r);
	}
	if (chance(c, 800))
		node_take_output(c, n);
}

/*
 * Without faults, a leader must be elected, commit an entry and confirm a read
 * within RECOVERY_TICKS.
 */
static void
require_progress(struct cluster *c)
{
	struct node *n, *leader = NULL;
	uint64_t index = 0, reads = c->reads;
	int tick;

	heal(c);
	for (n = c->node; n < c->node + NODES; n++) {
		n->paused = false;
		if (n->r != NULL && n->r->leadership_disabled)
			node_crash(c, n);
		if (n->r == NULL)
			node_start(c, n);
	}
	for (tick = 0; tick < RECOVERY_TICKS; tick++) {
		cluster_ticks(c, 1);
		n = cluster_leader(c);
		if (n != leader || index == 0) {
			leader = n;
			reads = c->reads;
			index = n == NULL ? 0 : cluster_propose(c, n);
			if (n != NULL)
				cluster_read(c, n);
		} else if (index <= raft_commit_index(n->r) && c->reads > reads)
			return;
	}
	cluster_fail(c, "no progress after the faults stopped");
}

/* Returns whether all members have applied as much as the leader. */
static bool
members_agree(struct cluster *c)
{
	const struct node *leader = cluster_leader(c), *n;
	const struct raft_members *m;
	int i;

	if (leader == NULL || !raft_own_term_committed(leader->r))
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

	for (tick = 0; tick < RECOVERY_TICKS && !members_agree(c); tick++)
		cluster_ticks(c, 1);
	if (!members_agree(c))
		cluster_fail(c, "a member did not catch up with the leader");
}

void
cluster_run_schedule(struct cluster *c, int steps)
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
			inject_fault(c);
		else if (chance(c, rates.admin))
			admin_action(c);
		else if (chance(c, 480))
			step_network(c, &rates);
		else
			step_node(c, &rates);
	}
	require_progress(c);
	require_agreement(c);
}
