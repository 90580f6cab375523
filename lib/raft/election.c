/*
 * Elections: pre-vote, votes, leader stickiness, leadership transfer.
 */
#include <string.h>

#include "core.h"

/* Less than a minimum election timeout, more than the time of an election. */
static int
short_timeout(const struct raft *r)
{
	return MAX(r->election_ticks * 2 / 5, 1);
}

/*
 * All replicas may have restarted, so that nobody follows a leader: the first
 * campaigns after a restart come early. If there is a leader, its followers
 * ignore them.
 */
static void
timer_reset(struct raft *r)
{
	int min = r->early_campaigns > 0 ? short_timeout(r) : r->election_ticks;
	int max = r->early_campaigns > 0 ? r->election_ticks : 2 * min;

	r->election_elapsed = 0;
	r->election_timeout =
	    min + (int)rng_below(&r->rng, (uint64_t)MAX(max - min, 1));
}

/* Returns whether it may have acknowledged a live leader before its restart. */
static bool
just_restarted(const struct raft *r)
{
	return r->restarted && r->now <= (uint64_t)r->election_ticks;
}

void
become_follower(struct raft *r, uint64_t term, uint64_t leader)
{
	if (r->role == RAFT_LEADER)
		leader_stop(r);
	if (term != r->term) {
		r->term = term;
		r->vote = RAFT_NONE;
		r->verified = 0;
		r->ack_pending = false;
		r->ack_round = 0;
		incoming_snapshot_clear(r);
	}
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
	timer_reset(r);
}

/* Records the first reply of a voter; others are ignored. */
static void
tally_add(struct raft *r, uint64_t id, bool granted, bool unanimous)
{
	struct tally *t = &r->tally;
	int i;

	for (i = 0; i < t->count; i++)
		if (t->id[i] == id)
			return;
	if (!members_is_voter(members_current(r), id) ||
	    t->count == RAFT_MEMBERS_MAX)
		return;
	t->id[t->count] = id;
	t->unanimous[t->count] = unanimous;
	t->granted[t->count++] = granted;
}

static int
tally_count(const struct raft *r, bool granted)
{
	int i, n = 0;

	for (i = 0; i < r->tally.count; i++)
		n += r->tally.granted[i] == granted;
	return n;
}

/* Returns the number of grants that count without those of all voters. */
static int
tally_count_sufficient(const struct raft *r)
{
	int i, n = 0;

	for (i = 0; i < r->tally.count; i++)
		n += r->tally.granted[i] && !r->tally.unanimous[i];
	return n;
}

/* Starts the election if the pre-vote shows that no leader is alive. */
static bool
prevote_won(struct raft *r)
{
	const struct raft_members *members = members_current(r);

	if (tally_count(r, true) == members_voters(members))
		campaign(r, CAMPAIGN_UNANIMOUS);
	else if (tally_count_sufficient(r) >= members_quorum(members) &&
	    !just_restarted(r))
		campaign(r, CAMPAIGN_VOTE);
	else
		return false;
	return true;
}

static void
become_leader(struct raft *r)
{
	r->role = RAFT_LEADER;
	r->leader = r->id;
	r->election_elapsed = 0;
	leader_start(r);
}

/* Ends the election or pre-vote if a quorum has granted or rejected it. */
static void
tally_decide(struct raft *r)
{
	int quorum = members_quorum(members_current(r));

	if (r->role == RAFT_PRECANDIDATE && prevote_won(r))
		return;
	if (r->role == RAFT_CANDIDATE && tally_count(r, true) >= quorum) {
		become_leader(r);
		return;
	}
	if (tally_count(r, false) >= quorum)
		become_follower(r, r->term, RAFT_NONE);
}

/*
 * Returns whether this replica may start an election. Apart from voters, this
 * holds for a replica that the last membership change demotes or removes, as
 * long as that change may be uncommitted: it can be the only replica whose log
 * is up to date enough for the others to vote for it.
 */
static bool
may_campaign(const struct raft *r)
{
	struct raft_members before;

	if (r->leadership_disabled)
		return false;
	if (members_is_voter(members_current(r), r->id))
		return true;
	if (members_current_index(r) <= r->commit)
		return false;
	raft_members_at(r, members_current_index(r) - 1, &before);
	return members_is_voter(&before, r->id);
}

void
campaign(struct raft *r, enum campaign kind)
{
	bool prevote = kind == CAMPAIGN_PREVOTE;
	const struct raft_members *members = members_current(r);
	struct raft_msg *m;
	int i;

	if (prevote && r->early_campaigns > 0)
		r->early_campaigns--;
	timer_reset(r);
	if (!may_campaign(r))
		return;
	r->role = prevote ? RAFT_PRECANDIDATE : RAFT_CANDIDATE;
	r->leader = RAFT_NONE;
	if (!prevote) {
		become_follower(r, r->term + 1, RAFT_NONE);
		r->role = RAFT_CANDIDATE;
		r->vote = r->id;
	}
	memset(&r->tally, 0, sizeof(r->tally));
	tally_add(r, r->id, true, prevote && just_restarted(r));
	for (i = 0; i < members->count; i++) {
		if (members->member[i].learner ||
		    members->member[i].id == r->id)
			continue;
		m = msg_new(r, prevote ? RAFT_MSG_PREVOTE : RAFT_MSG_VOTE,
		    members->member[i].id);
		m->term = r->term + (prevote ? 1 : 0);
		m->index = log_last_index(&r->log);
		m->log_term = log_last_term(&r->log);
		m->leader_transfer = kind == CAMPAIGN_TRANSFER;
		m->unanimous = kind == CAMPAIGN_UNANIMOUS;
		msg_send_after_sync(r, m);
	}
	tally_decide(r);
}

bool
leader_alive(const struct raft *r)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader != RAFT_NONE &&
	    r->election_elapsed < r->election_ticks;
}

/*
 * Returns whether the sender's log is at least as up to date as this one, so
 * that it has all entries of this one that may be committed.
 */
static bool
up_to_date(const struct raft *r, const struct raft_msg *m)
{
	uint64_t term = log_last_term(&r->log);

	if (m->log_term != term)
		return m->log_term > term;
	return m->index >= log_last_index(&r->log);
}

bool
ignores_vote(const struct raft *r, const struct raft_msg *m)
{
	if (m->leader_transfer)
		return false;
	if (just_restarted(r) && !m->unanimous)
		return true;
	return m->term > r->term && leader_alive(r);
}

/* Leaves the candidate the time to win before this replica campaigns. */
static void
yield_campaign(struct raft *r)
{
	r->election_timeout =
	    MAX(r->election_timeout, r->election_elapsed + short_timeout(r));
}

/* This replica's log has more than the candidate's, so that it may win where
 * the candidate can't. */
static void
hasten_campaign(struct raft *r)
{
	r->election_timeout = MIN(r->election_timeout, r->election_elapsed + 1);
}

void
on_prevote(struct raft *r, const struct raft_msg *m)
{
	struct raft_msg *reply;

	if (m->term > r->term && leader_alive(r))
		return;
	reply = msg_new(r, RAFT_MSG_PREVOTE_REPLY, m->from);
	reply->reject = m->term <= r->term || !up_to_date(r, m);
	/* A grant carries the requested term; the replica's does not change. */
	if (!reply->reject) {
		reply->term = m->term;
		reply->unanimous = just_restarted(r);
		yield_campaign(r);
	} else if (m->term > r->term) {
		hasten_campaign(r);
	}
	msg_send_after_sync(r, reply);
}

void
on_vote(struct raft *r, const struct raft_msg *m)
{
	struct raft_msg *reply = msg_new(r, RAFT_MSG_VOTE_REPLY, m->from);
	bool may_vote = r->vote == RAFT_NONE && r->leader == RAFT_NONE;

	reply->reject = !(may_vote || r->vote == m->from) || !up_to_date(r, m);
	if (!reply->reject) {
		r->vote = m->from;
		timer_reset(r);
	}
	msg_send_after_sync(r, reply);
}

void
on_vote_reply(struct raft *r, const struct raft_msg *m)
{
	enum raft_role role =
	    m->type == RAFT_MSG_VOTE_REPLY ? RAFT_CANDIDATE : RAFT_PRECANDIDATE;

	if (r->role != role)
		return;
	tally_add(r, m->from, !m->reject, m->unanimous);
	tally_decide(r);
}

void
on_timeout_now(struct raft *r, const struct raft_msg *m)
{
	if (r->role == RAFT_FOLLOWER && r->leader == m->from)
		campaign(r, CAMPAIGN_TRANSFER);
}

void
election_tick(struct raft *r)
{
	if (++r->election_elapsed < r->election_timeout)
		return;
	r->leader = RAFT_NONE;
	campaign(r, CAMPAIGN_PREVOTE);
}

void
raft_campaign(struct raft *r)
{
	if (r->role != RAFT_LEADER)
		campaign(r, CAMPAIGN_PREVOTE);
}
