#include <string.h>

#include "raft_cluster.h"

#define SCHEDULES 2000
#define STEPS 2500
#define ELECTION_TICKS 10 /* minimum election timeout of make_conf() */
#define HEARTBEAT_BYTES_MAX 40

static GPtrArray *sent; /* struct raft_msg, from the last output */

static void
message_free(void *m)
{
	raft_msg_free(m);
}

static struct raft_conf
make_conf(uint64_t id, int voters)
{
	struct raft_conf conf = {
		.id = id,
		.election_ticks = ELECTION_TICKS,
		.heartbeat_ticks = 1,
		.append_bytes_max = 1000,
		.inflight_max = 3,
		.chunk_bytes = 10,
		.seed = id,
	};

	for (conf.members.count = 0; conf.members.count < voters;
	     conf.members.count++)
		conf.members.member[conf.members.count].id =
		    (uint64_t)conf.members.count + 1;
	return conf;
}

static struct raft *
new_raft(uint64_t id, int voters)
{
	struct raft_conf conf = make_conf(id, voters);

	return raft_new(&conf);
}

static void
collect(GPtrArray **messages)
{
	g_ptr_array_extend_and_steal(sent, *messages);
	*messages = NULL;
}

/* Takes the output without storing it; moves the messages to sent. */
static struct raft_output
take_output(struct raft *r)
{
	struct raft_output out;

	g_ptr_array_set_size(sent, 0);
	raft_take_output(r, &out);
	collect(&out.messages);
	collect(&out.messages_after_sync);
	return out;
}

/* Takes the output, stores it and takes the output after that. */
static void
take_and_store(struct raft *r)
{
	struct raft_output out = take_output(r);
	const struct raft_entry *e;

	if (out.entries->len > 0) {
		e = out.entries->pdata[out.entries->len - 1];
		raft_stored(r, e->index, e->term);
	}
	raft_output_clear(&out);
	raft_take_output(r, &out);
	collect(&out.messages);
	collect(&out.messages_after_sync);
	raft_output_clear(&out);
}

/* Returns the last message in sent of this type and receiver. */
static const struct raft_msg *
last_sent(enum raft_msg_type type, uint64_t to)
{
	const struct raft_msg *m;
	guint i;

	for (i = sent->len; i-- > 0;) {
		m = sent->pdata[i];
		if (m->type == type && m->to == to)
			return m;
	}
	return NULL;
}

static void
step_reply(struct raft *r, enum raft_msg_type type, uint64_t from,
    uint64_t term, uint64_t index, uint64_t context)
{
	struct raft_msg m = {
		.type = type,
		.from = from,
		.to = r->id,
		.term = term,
		.index = index,
		.context = context,
	};

	raft_step(r, &m);
}

/* Sends r an append with count entries of one term. */
static void
step_append(struct raft *r, uint64_t from, uint64_t term, uint64_t index,
    uint64_t log_term, int count)
{
	struct raft_msg *m = raft_msg_new(RAFT_MSG_APPEND);
	int i;

	m->from = from;
	m->to = r->id;
	m->term = term;
	m->index = index;
	m->log_term = log_term;
	m->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	for (i = 1; i <= count; i++)
		g_ptr_array_add(m->entries,
		    raft_entry_new(index + (uint64_t)i, term, RAFT_NOOP, NULL));
	raft_step(r, m);
	raft_msg_free(m);
}

/* Sends r a vote request; returns whether it was granted. */
static bool
send_vote_request(struct raft *r, const struct raft_msg *m)
{
	const struct raft_msg *reply;

	raft_step(r, m);
	take_and_store(r);
	reply = last_sent(RAFT_MSG_VOTE_REPLY, m->from);
	return reply != NULL && !reply->reject && reply->term == m->term;
}

static bool
request_vote(struct raft *r, uint64_t from, uint64_t term, uint64_t index,
    uint64_t log_term, bool leader_transfer)
{
	struct raft_msg m = {
		.type = RAFT_MSG_VOTE,
		.from = from,
		.to = r->id,
		.term = term,
		.index = index,
		.log_term = log_term,
		.leader_transfer = leader_transfer,
	};

	return send_vote_request(r, &m);
}

/* Elects replica 1 of three with the vote of replica 2. */
static void
elect(struct raft *r)
{
	raft_campaign(r);
	take_and_store(r);
	step_reply(r, RAFT_MSG_PREVOTE_REPLY, 2, raft_term(r) + 1, 0, 0);
	take_and_store(r);
	step_reply(r, RAFT_MSG_VOTE_REPLY, 2, raft_term(r), 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_LEADER);
	take_and_store(r);
}

static uint64_t
propose(struct raft *r)
{
	GBytes *data = g_bytes_new("x", 1);
	uint64_t index = raft_propose(r, data);

	g_bytes_unref(data);
	return index;
}

static void
tick(struct raft *r, int count)
{
	while (count-- > 0)
		raft_tick(r);
}

static void
test_votes(void)
{
	struct raft_conf conf = make_conf(1, 3);
	struct raft *r = raft_new(&conf);

	g_assert_true(request_vote(r, 2, 1, 0, 0, false));
	g_assert_true(request_vote(r, 2, 1, 0, 0, false));
	g_assert_false(request_vote(r, 3, 1, 9, 1, false));
	raft_free(r);
	conf.hard_state = (struct raft_hard_state){ .term = 1, .vote = 2 };
	r = raft_new(&conf);
	g_assert_false(request_vote(r, 3, 1, 9, 1, false));
	step_append(r, 2, 2, 0, 0, 2);
	take_and_store(r);
	/* No vote for a shorter log or one that ends in an earlier term. */
	tick(r, ELECTION_TICKS);
	g_assert_false(request_vote(r, 3, 3, 1, 2, false));
	g_assert_false(request_vote(r, 3, 4, 9, 1, false));
	g_assert_true(request_vote(r, 3, 5, 2, 2, false));
	raft_free(r);
}

static void
test_leader_stickiness(void)
{
	struct raft *r = new_raft(1, 3);

	step_append(r, 2, 1, 0, 0, 0);
	tick(r, ELECTION_TICKS - 1);
	g_assert_false(request_vote(r, 3, 5, 9, 4, false));
	g_assert_cmpuint(raft_term(r), ==, 1);
	g_assert_cmpuint(raft_leader(r), ==, 2);
	g_assert_true(request_vote(r, 3, 5, 9, 4, true));
	raft_free(r);
	r = new_raft(1, 3);
	elect(r);
	g_assert_false(request_vote(r, 3, 5, 9, 4, false));
	g_assert_cmpint(raft_role(r), ==, RAFT_LEADER);
	raft_free(r);
}

/*
 * A learner or a replica outside the membership never campaigns; it no longer
 * reports a leader after an election timeout.
 */
static void
test_non_voter(void)
{
	struct raft_conf conf = make_conf(3, 3);
	struct raft *r;

	conf.members.member[2].learner = true;
	r = raft_new(&conf);
	step_append(r, 1, 1, 0, 0, 1);
	take_and_store(r);
	tick(r, 10 * ELECTION_TICKS);
	raft_campaign(r);
	take_and_store(r);
	g_assert_cmpuint(sent->len, ==, 0);
	g_assert_cmpuint(raft_leader(r), ==, RAFT_NONE);
	step_reply(r, RAFT_MSG_TIMEOUT_NOW, 1, 1, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_FOLLOWER);
	g_assert_true(request_vote(r, 2, 2, 1, 1, false));
	raft_free(r);
	r = new_raft(4, 3);
	tick(r, 10 * ELECTION_TICKS);
	take_and_store(r);
	g_assert_cmpuint(sent->len, ==, 0);
	raft_free(r);
}

/* Votes of replicas that are not voters do not count. */
static void
test_count_voters_only(void)
{
	struct raft *r = new_raft(1, 3);

	raft_campaign(r);
	take_and_store(r);
	step_reply(r, RAFT_MSG_PREVOTE_REPLY, 9, 1, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_PRECANDIDATE);
	step_reply(r, RAFT_MSG_PREVOTE_REPLY, 2, 1, 0, 0);
	take_and_store(r);
	step_reply(r, RAFT_MSG_VOTE_REPLY, 9, 1, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_CANDIDATE);
	step_reply(r, RAFT_MSG_VOTE_REPLY, 3, 1, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_LEADER);
	raft_free(r);
}

static void
test_check_quorum(void)
{
	struct raft *r = new_raft(1, 3);
	struct raft_output out;
	int i;

	elect(r);
	for (i = 0; i < 3 * ELECTION_TICKS; i++) {
		raft_tick(r);
		take_and_store(r);
		step_reply(r, RAFT_MSG_APPEND_REPLY, 3, 1, 0, 0);
	}
	g_assert_cmpint(raft_role(r), ==, RAFT_LEADER);
	g_assert_true(raft_read_index(r, 7));
	tick(r, ELECTION_TICKS);
	g_assert_cmpint(raft_role(r), ==, RAFT_FOLLOWER);
	g_assert_cmpuint(raft_term(r), ==, 1);
	out = take_output(r);
	g_assert_cmpuint(out.reads_failed->len, ==, 1);
	g_assert_cmpuint(g_array_index(out.reads_failed, uint64_t, 0), ==, 7);
	raft_output_clear(&out);
	g_assert_false(raft_read_index(r, 8));
	raft_free(r);
}

/* A leader commits entries of earlier terms only with one of its own term. */
static void
test_commit_own_term(void)
{
	struct raft *r = new_raft(1, 3);

	step_append(r, 2, 1, 0, 0, 2);
	take_and_store(r);
	tick(r, 2 * ELECTION_TICKS);
	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 2, 2, 0);
	g_assert_cmpuint(raft_match_index(r, 2), ==, 2);
	g_assert_cmpuint(raft_commit_index(r), ==, 0);
	g_assert_false(raft_own_term_committed(r));
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 2, 3, 0);
	g_assert_cmpuint(raft_commit_index(r), ==, 3);
	g_assert_true(raft_own_term_committed(r));
	raft_free(r);
}

/* A leader counts itself towards a quorum only after its own sync. */
static void
test_leader_storage(void)
{
	struct raft *r = new_raft(1, 1);
	struct raft_output out;

	raft_campaign(r);
	out = take_output(r);
	g_assert_cmpuint(out.entries->len, ==, 1);
	g_assert_cmpuint(raft_commit_index(r), ==, 0);
	raft_output_clear(&out);
	raft_stored(r, 1, 1);
	g_assert_cmpuint(raft_commit_index(r), ==, 1);
	raft_free(r);
	r = new_raft(1, 3);
	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, 0);
	propose(r);
	out = take_output(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 2, 0);
	g_assert_cmpuint(raft_commit_index(r), ==, 1);
	raft_output_clear(&out);
	raft_stored(r, 2, 1);
	g_assert_cmpuint(raft_commit_index(r), ==, 2);
	raft_free(r);
}

/* A follower acknowledges entries after the sync, heartbeats at once. */
static void
test_follower_storage(void)
{
	struct raft *r = new_raft(1, 3);
	struct raft_output out;

	step_append(r, 2, 1, 0, 0, 2);
	out = take_output(r);
	g_assert_null(last_sent(RAFT_MSG_APPEND_REPLY, 2));
	raft_output_clear(&out);
	step_append(r, 2, 1, 2, 1, 0);
	out = take_output(r);
	g_assert_cmpuint(last_sent(RAFT_MSG_APPEND_REPLY, 2)->index, ==, 0);
	raft_output_clear(&out);
	raft_stored(r, 2, 1);
	out = take_output(r);
	g_assert_cmpuint(last_sent(RAFT_MSG_APPEND_REPLY, 2)->index, ==, 2);
	raft_output_clear(&out);
	raft_free(r);
}

/*
 * Entries 1 and 2 are replaced and appended again before their first sync ends.
 * That sync must not count for the second write of the same index and term.
 */
static void
test_storage_aba(void)
{
	struct raft *r = new_raft(1, 3);
	struct raft_msg *m = raft_msg_new(RAFT_MSG_APPEND);
	struct raft_output out;

	step_append(r, 2, 1, 0, 0, 2);
	out = take_output(r);
	m->from = 2;
	m->to = 1;
	m->term = 3;
	m->entries = g_ptr_array_ref(out.entries);
	raft_output_clear(&out);
	step_append(r, 3, 2, 0, 0, 1);
	out = take_output(r);
	raft_output_clear(&out);
	raft_step(r, m);
	raft_msg_free(m);
	out = take_output(r);
	g_assert_cmpuint(out.entries->len, ==, 2);
	raft_output_clear(&out);
	raft_stored(r, 2, 1);
	g_assert_cmpuint(r->log.stored, ==, 0);
	raft_stored(r, 1, 2);
	g_assert_cmpuint(r->log.stored, ==, 0);
	raft_stored(r, 2, 1);
	g_assert_cmpuint(r->log.stored, ==, 2);
	raft_free(r);
}

/* Until its term is synced, a replica sends messages only after a sync. */
static void
test_send_before_sync(void)
{
	struct raft *r = new_raft(1, 1);
	struct raft_output out;

	raft_campaign(r);
	raft_take_output(r, &out);
	raft_stored(r, 1, 1);
	raft_output_clear(&out);
	raft_propose_member(r, 2, true, false);
	raft_take_output(r, &out);
	g_assert_cmpuint(out.messages->len, ==, 1);
	raft_output_clear(&out);
	raft_free(r);
	r = new_raft(1, 3);
	step_append(r, 2, 1, 0, 0, 0);
	raft_take_output(r, &out);
	g_assert_true(out.hard_state_changed);
	g_assert_cmpuint(out.messages->len, ==, 0);
	g_assert_cmpuint(out.messages_after_sync->len, ==, 1);
	raft_output_clear(&out);
	step_append(r, 2, 1, 0, 0, 0);
	raft_take_output(r, &out);
	g_assert_cmpuint(out.messages->len, ==, 0);
	raft_output_clear(&out);
	raft_free(r);
}

static void
test_reads(void)
{
	struct raft *r = new_raft(1, 3);
	struct raft_output out;
	uint64_t round;

	elect(r);
	g_assert_true(raft_read_index(r, 5));
	take_and_store(r);
	round = last_sent(RAFT_MSG_APPEND, 2)->context;
	/*
	 * The read started before an entry of the own term was committed. A
	 * reply to an earlier round commits one but does not confirm the read.
	 */
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, round - 1);
	out = take_output(r);
	g_assert_cmpuint(out.reads_confirmed->len, ==, 0);
	raft_output_clear(&out);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, round);
	out = take_output(r);
	g_assert_cmpuint(out.reads_confirmed->len, ==, 1);
	g_assert_cmpuint(out.read_index, ==, 1);
	raft_output_clear(&out);
	raft_free(r);
}

/* At most inflight_max appends are sent without a reply. */
static void
test_inflight_window(void)
{
	struct raft *r = new_raft(1, 3);
	uint64_t i;

	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, 0);
	for (i = 0; i < 10; i++) {
		propose(r);
		take_and_store(r);
		g_assert_cmpint(
		    last_sent(RAFT_MSG_APPEND, 2) != NULL, ==, i < 3);
	}
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 2, 0);
	take_and_store(r);
	/* The entries that had to wait are sent in one message. */
	g_assert_cmpuint(last_sent(RAFT_MSG_APPEND, 2)->entries->len, ==, 7);
	raft_free(r);
}

static void
test_prevote(void)
{
	struct cluster *c = cluster_new(1, 3);
	uint64_t term;
	int i;

	cluster_elect(c, &c->node[0]);
	term = raft_term(c->node[0].r);
	for (i = 0; i < NODES; i++)
		c->blocked[2][i] = c->blocked[i][2] = true;
	cluster_ticks(c, 100);
	g_assert_cmpuint(raft_term(c->node[2].r), ==, term);
	memset(c->blocked, 0, sizeof(c->blocked));
	cluster_ticks(c, 20);
	g_assert_true(cluster_leader(c) == &c->node[0]);
	g_assert_cmpuint(raft_term(c->node[0].r), ==, term);
	cluster_free(c);
}

static bool
has_member(const struct node *n, uint64_t id, bool learner)
{
	bool is_learner;

	return members_has(raft_members(n->r), id, &is_learner) &&
	    is_learner == learner;
}

static void
test_members(void)
{
	struct cluster *c = cluster_new(1, 3);
	struct node *n = &c->node[0], *other = &c->node[1];
	uint64_t index;

	/* No change before an entry of the own term is committed. */
	raft_campaign(n->r);
	while (raft_role(n->r) != RAFT_LEADER) {
		node_take_output(c, n);
		while (node_sync(c, n))
			;
		cluster_deliver(c, 0, false);
		node_take_output(c, other);
		while (node_sync(c, other))
			;
	}
	g_assert_cmpuint(raft_propose_member(n->r, 4, true, false), ==, 0);
	cluster_quiesce(c);
	/* New members are added as learners, one change at a time. */
	g_assert_cmpuint(raft_propose_member(n->r, 4, false, false), ==, 0);
	index = raft_propose_member(n->r, 4, true, false);
	g_assert_cmpuint(index, ==, raft_last_index(n->r));
	g_assert_true(has_member(n, 4, true));
	g_assert_cmpuint(raft_propose_member(n->r, 5, true, false), ==, 0);
	/* A learner is promoted only once it has caught up. */
	cluster_quiesce(c);
	c->node[3].paused = true;
	g_assert_cmpuint(raft_propose_member(n->r, 5, true, false), >, 0);
	c->node[4].paused = true;
	cluster_quiesce(c);
	g_assert_cmpuint(raft_propose_member(n->r, 5, false, false), ==, 0);
	c->node[4].paused = c->node[3].paused = false;
	cluster_ticks(c, 10);
	g_assert_cmpuint(raft_propose_member(n->r, 5, false, false), >, 0);
	cluster_quiesce(c);
	g_assert_true(has_member(other, 5, false));
	/*
	 * Unknown members and changes without effect are refused. A leader
	 * that is removed steps down once that is committed.
	 */
	g_assert_cmpuint(raft_propose_member(n->r, 9, false, true), ==, 0);
	g_assert_cmpuint(raft_propose_member(n->r, 2, false, false), ==, 0);
	g_assert_cmpuint(raft_propose_member(n->r, 1, false, true), >, 0);
	g_assert_cmpint(raft_role(n->r), ==, RAFT_LEADER);
	cluster_quiesce(c);
	g_assert_cmpint(raft_role(n->r), ==, RAFT_FOLLOWER);
	g_assert_cmpuint(
	    raft_commit_index(other->r), ==, raft_commit_index(n->r));
	cluster_ticks(c, 50);
	g_assert_nonnull(cluster_leader(c));
	g_assert_true(cluster_leader(c) != n);
	cluster_free(c);
}

/* A membership change is undone if another leader replaces its entry. */
static void
test_members_rollback(void)
{
	struct raft *r = new_raft(1, 3);

	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, 0);
	g_assert_cmpuint(raft_propose_member(r, 3, false, true), ==, 2);
	g_assert_cmpint(raft_members(r)->count, ==, 2);
	step_append(r, 2, 2, 1, 1, 1);
	g_assert_cmpint(raft_members(r)->count, ==, 3);
	raft_free(r);
}

/* Learners are sent committed entries only. */
static void
test_learner_committed(void)
{
	struct raft_conf conf = make_conf(1, 3);
	struct raft *r;
	uint64_t last;

	conf.members.member[2].learner = true;
	r = raft_new(&conf);
	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, 0);
	take_and_store(r);
	g_assert_cmpuint(raft_commit_index(r), ==, 1);
	g_assert_nonnull(last_sent(RAFT_MSG_APPEND, 3)->entries);
	last = propose(r);
	take_and_store(r);
	g_assert_nonnull(last_sent(RAFT_MSG_APPEND, 2));
	g_assert_null(last_sent(RAFT_MSG_APPEND, 3));
	step_reply(r, RAFT_MSG_APPEND_REPLY, 3, 1, 1, 0);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, last, 0);
	take_and_store(r);
	g_assert_cmpuint(last_sent(RAFT_MSG_APPEND, 3)->entries->len, ==, 1);
	raft_free(r);
}

/*
 * A leader that has appended its own demotion, not yet committed, may have the
 * only log that is up to date enough to win an election. If it could not
 * campaign, the cluster could stay without a leader (as in schedule seed 108).
 */
static void
test_demoted_may_lead(void)
{
	struct raft *r = new_raft(1, 3);

	elect(r);
	step_reply(r, RAFT_MSG_APPEND_REPLY, 2, 1, 1, 0);
	g_assert_cmpuint(raft_propose_member(r, 1, true, false), ==, 2);
	take_and_store(r);
	tick(r, ELECTION_TICKS);
	g_assert_cmpint(raft_role(r), ==, RAFT_FOLLOWER);
	raft_campaign(r);
	take_and_store(r);
	step_reply(r, RAFT_MSG_PREVOTE_REPLY, 2, 2, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_PRECANDIDATE);
	step_reply(r, RAFT_MSG_PREVOTE_REPLY, 3, 2, 0, 0);
	g_assert_cmpint(raft_role(r), ==, RAFT_CANDIDATE);
	raft_free(r);
}

static void
test_transfer(void)
{
	struct cluster *c = cluster_new(1, 3);
	struct node *n = &c->node[0];

	cluster_elect(c, n);
	g_assert_false(raft_transfer_leadership(n->r, 4));
	c->node[1].paused = true;
	cluster_propose(c, n);
	cluster_quiesce(c);
	g_assert_true(raft_transfer_leadership(n->r, 2));
	g_assert_cmpuint(cluster_propose(c, n), ==, 0);
	g_assert_cmpuint(raft_propose_member(n->r, 4, true, false), ==, 0);
	/* The transfer is abandoned after an election timeout. */
	cluster_ticks(c, 8);
	g_assert_cmpuint(cluster_propose(c, n), >, 0);
	g_assert_true(raft_transfer_leadership(n->r, 3));
	cluster_quiesce(c);
	g_assert_true(cluster_leader(c) == &c->node[2]);
	cluster_free(c);
}

static void
test_disable(void)
{
	struct cluster *c = cluster_new(1, 3);

	cluster_elect(c, &c->node[0]);
	raft_disable_leadership(c->node[0].r);
	g_assert_cmpint(raft_role(c->node[0].r), ==, RAFT_FOLLOWER);
	raft_campaign(c->node[0].r);
	cluster_ticks(c, 60);
	g_assert_nonnull(cluster_leader(c));
	g_assert_true(cluster_leader(c) != &c->node[0]);
	g_assert_cmpuint(c->node[0].applied, ==, cluster_leader(c)->applied);
	cluster_free(c);
}

/*
 * Compaction keeps the trailing entries. Snapshots beyond the applied index or
 * older than the last one have no effect.
 */
static void
test_compact(void)
{
	struct cluster *c = cluster_new(1, 3);
	struct raft_snapshot s = { .data = g_bytes_new("s", 1) };
	struct node *n = &c->node[0];
	int i;

	cluster_elect(c, n);
	for (i = 0; i < 9; i++)
		cluster_propose(c, n);
	s.index = 10;
	raft_compact(n->r, &s, 0);
	g_assert_cmpuint(raft_first_index(n->r), ==, 1);
	cluster_quiesce(c);
	node_compact(c, n, 4);
	g_assert_cmpuint(raft_first_index(n->r), ==, 7);
	s.index = 8;
	raft_compact(n->r, &s, 0);
	g_assert_cmpuint(raft_first_index(n->r), ==, 7);
	g_bytes_unref(s.data);
	cluster_free(c);
}

/* A snapshot contains the membership as of its index, not a later one. */
static void
test_snapshot_members(void)
{
	struct cluster *c = cluster_new(1, 3);
	struct node *n = &c->node[0];

	cluster_elect(c, n);
	g_assert_cmpuint(raft_propose_member(n->r, 4, true, false), >, 0);
	node_compact(c, n, 0);
	g_assert_cmpint(n->r->snapshot->snapshot.members.count, ==, 3);
	cluster_quiesce(c);
	node_compact(c, n, 0);
	g_assert_cmpint(n->r->snapshot->snapshot.members.count, ==, 4);
	cluster_free(c);
}

/* Sends r a chunk of "0123456789"; returns the next offset in its reply. */
static uint64_t
step_chunk(struct raft *r, uint64_t index, uint64_t offset, size_t size)
{
	struct raft_msg *m = raft_msg_new(RAFT_MSG_SNAPSHOT);
	const struct raft_msg *reply;
	const GPtrArray *queue;

	m->from = 2;
	m->to = 1;
	m->term = m->log_term = 1;
	m->index = index;
	m->offset = offset;
	m->total = 10;
	m->chunk = g_bytes_new(&"0123456789"[offset], size);
	m->members = make_conf(1, 3).members;
	raft_step(r, m);
	raft_msg_free(m);
	queue =
	    r->synced_term == r->term ? r->messages : r->messages_after_sync;
	reply = queue->pdata[queue->len - 1];
	g_assert_cmpint(reply->type, ==, RAFT_MSG_SNAPSHOT_REPLY);
	return reply->hint;
}

static void
test_snapshot_chunks(void)
{
	struct raft *r = new_raft(1, 3);
	struct raft_output out;

	step_append(r, 2, 1, 0, 0, 1);
	take_and_store(r);
	g_assert_cmpuint(r->synced_term, ==, 1);
	g_assert_cmpuint(step_chunk(r, 20, 4, 4), ==, 0);
	g_assert_cmpuint(step_chunk(r, 20, 0, 4), ==, 4);
	g_assert_cmpuint(step_chunk(r, 20, 8, 2), ==, 4);
	g_assert_cmpuint(step_chunk(r, 20, 0, 4), ==, 4);
	g_assert_cmpuint(step_chunk(r, 20, 4, 6), ==, 10);
	out = take_output(r);
	g_assert_nonnull(out.snapshot);
	g_assert_cmpuint(out.snapshot->index, ==, 20);
	g_assert_cmpmem(g_bytes_get_data(out.snapshot->data, NULL),
	    g_bytes_get_size(out.snapshot->data), "0123456789", 10);
	g_assert_cmpuint(raft_first_index(r), ==, 21);
	raft_output_clear(&out);
	/*
	 * Until the snapshot is synced, all messages wait for a sync, although
	 * the term was synced before.
	 */
	step_append(r, 2, 1, 20, 1, 0);
	g_assert_cmpuint(r->messages->len, ==, 0);
	raft_stored(r, 20, 1);
	step_append(r, 2, 1, 20, 1, 0);
	g_assert_cmpuint(r->messages->len, ==, 1);
	/* Chunks of different snapshots are not combined. */
	g_assert_cmpuint(step_chunk(r, 30, 0, 4), ==, 4);
	g_assert_cmpuint(step_chunk(r, 31, 4, 6), ==, 0);
	g_assert_cmpuint(raft_commit_index(r), ==, 20);
	raft_free(r);
}

static bool
request_unanimous_vote(struct raft *r, uint64_t from, uint64_t term)
{
	struct raft_msg m = { .type = RAFT_MSG_VOTE,
		.from = from,
		.to = r->id,
		.term = term,
		.index = 9,
		.log_term = 4,
		.unanimous = true };

	return send_vote_request(r, &m);
}

/*
 * A replica may have acknowledged a leader just before it restarts, so it does
 * not help to elect another one within a minimum election timeout, unless all
 * voters say that there is no leader.
 */
static void
test_restarted_voter(void)
{
	struct raft_conf conf = make_conf(1, 3);
	struct raft *r;

	conf.hard_state = (struct raft_hard_state){ .term = 3 };
	r = raft_new(&conf);
	tick(r, ELECTION_TICKS - 1);
	g_assert_false(request_vote(r, 3, 5, 9, 4, false));
	g_assert_cmpuint(raft_term(r), ==, 3);
	tick(r, 1);
	g_assert_true(request_vote(r, 3, 5, 9, 4, false));
	raft_free(r);
	r = raft_new(&conf);
	g_assert_true(request_unanimous_vote(r, 3, 5));
	raft_free(r);
	/* A live leader goes before the grants. */
	r = raft_new(&conf);
	step_append(r, 2, 3, 0, 0, 1);
	take_and_store(r);
	g_assert_false(request_unanimous_vote(r, 3, 5));
	raft_free(r);
}

#define RESTARTS 200

/* Once a restarted replica has heard a leader, it follows it for a minimum
 * election timeout, however early it would have campaigned. */
static void
test_restarted_follower(void)
{
	struct raft_conf conf = make_conf(1, 3);

	conf.hard_state = (struct raft_hard_state){ .term = 3 };
	for (conf.seed = 1; conf.seed <= RESTARTS; conf.seed++) {
		struct raft *r = raft_new(&conf);

		for (int i = 0; i < 2 * ELECTION_TICKS; i++) {
			step_append(r, 2, 3, 0, 0, 0);
			tick(r, 1);
		}
		step_append(r, 2, 3, 0, 0, 0);
		take_and_store(r);
		tick(r, ELECTION_TICKS - 1);
		g_assert_cmpuint(raft_leader(r), ==, 2);
		g_assert_false(request_vote(r, 3, 5, 9, 4, false));
		raft_free(r);
	}
}

/*
 * All replicas restart: in 9 of 10 cases a leader is elected within a minimum
 * election timeout, as nobody can follow one.
 */
static void
test_all_restarted(void)
{
	int late = 0;

	for (uint64_t seed = 1; seed <= RESTARTS; seed++) {
		struct cluster *c = cluster_new(seed, 3);
		int ticks = 0;

		cluster_elect(c, &c->node[0]);
		cluster_propose(c, &c->node[0]);
		cluster_quiesce(c);
		for (int i = 0; i < 3; i++)
			node_crash(c, &c->node[i]);
		for (int i = 0; i < 3; i++)
			node_start(c, &c->node[i]);
		for (; cluster_leader(c) == NULL; ticks++)
			cluster_ticks(c, 1);
		late += ticks > c->node[0].r->election_ticks;
		cluster_free(c);
	}
	g_assert_cmpint(late, <=, RESTARTS / 10);
}

/* A leader lives on while one of its followers restarts. */
static void
test_one_restarted(void)
{
	struct cluster *c = cluster_new(1, 3);

	cluster_elect(c, &c->node[0]);
	for (int i = 1; i < 3; i++) {
		node_crash(c, &c->node[i]);
		node_start(c, &c->node[i]);
		cluster_ticks(c, 50);
	}
	g_assert_true(cluster_leader(c) == &c->node[0]);
	g_assert_cmpuint(raft_term(c->node[0].r), ==, 1);
	cluster_free(c);
}

/* Restart with log entries of a later term than the stored hard state. */
static void
test_restart_term(void)
{
	struct raft_conf conf = make_conf(1, 3);
	struct raft_entry *e = raft_entry_new(1, 4, RAFT_NOOP, NULL);
	struct raft *r;

	conf.hard_state = (struct raft_hard_state){ .term = 3, .vote = 2 };
	conf.entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	g_ptr_array_add(conf.entries, e);
	r = raft_new(&conf);
	g_assert_cmpuint(raft_term(r), ==, 4);
	raft_free(r);
	g_ptr_array_unref(conf.entries);
}

static struct raft_msg *
full_message(void)
{
	struct raft_msg *m = raft_msg_new(RAFT_MSG_SNAPSHOT);
	GBytes *data = g_bytes_new("data", 4);

	m->from = UINT64_MAX;
	m->to = 2;
	m->term = 300;
	m->index = 70000;
	m->log_term = 4;
	m->commit = 5;
	m->context = 6;
	m->hint = 7;
	m->reject = m->leader_transfer = m->unanimous = true;
	m->offset = 8;
	m->total = 1ULL << 40;
	m->chunk = g_bytes_ref(data);
	m->members = make_conf(1, 4).members;
	m->members.member[3].learner = true;
	m->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	g_ptr_array_add(m->entries, raft_entry_new(70001, 4, RAFT_DATA, data));
	g_ptr_array_add(m->entries, raft_entry_new(70002, 5, RAFT_NOOP, NULL));
	g_bytes_unref(data);
	return m;
}

static void
test_codec(void)
{
	struct raft_msg *m = full_message(), *copy;
	GBytes *bytes = raft_msg_encode(m), *again;
	const struct raft_entry *e;
	GError *err = NULL;

	copy = raft_msg_decode(
	    g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes), &err);
	g_assert_no_error(err);
	again = raft_msg_encode(copy);
	g_assert_true(g_bytes_equal(bytes, again));
	g_assert_cmpuint(copy->from, ==, UINT64_MAX);
	g_assert_cmpuint(copy->total, ==, 1ULL << 40);
	g_assert_cmpint(copy->members.count, ==, 4);
	g_assert_true(copy->members.member[3].learner);
	g_assert_true(copy->unanimous);
	e = copy->entries->pdata[1];
	g_assert_cmpuint(e->index, ==, 70002);
	g_assert_cmpuint(e->term, ==, 5);
	g_bytes_unref(bytes);
	g_bytes_unref(again);
	raft_msg_free(copy);
	raft_msg_free(m);
	m = raft_msg_new(RAFT_MSG_APPEND);
	m->from = m->to = UINT64_MAX;
	m->term = m->log_term = 9;
	m->index = m->commit = m->context = 1 << 20;
	bytes = raft_msg_encode(m);
	g_assert_cmpuint(g_bytes_get_size(bytes), <=, HEARTBEAT_BYTES_MAX);
	g_bytes_unref(bytes);
	raft_msg_free(m);
}

/* Decodes arbitrary bytes; an error is set exactly if that fails. */
static void
decode_any(const uint8_t *data, size_t len)
{
	GError *err = NULL;
	struct raft_msg *m = raft_msg_decode(data, len, &err);

	g_assert_true((m == NULL) == (err != NULL));
	g_clear_error(&err);
	raft_msg_free(m);
}

static void
test_codec_malformed(void)
{
	static const uint8_t huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01 };
	struct raft_msg *m = full_message();
	GBytes *bytes = raft_msg_encode(m);
	struct rng rng = { .state = 1 };
	struct raft_members members;
	uint8_t *copy;
	gsize size, i;
	int k;

	decode_any(huge, sizeof(huge));
	g_assert_false(raft_members_decode("\x92\x00\x00", 3, &members));
	g_assert_false(
	    raft_members_decode("\x94\x01\x00\x01\x00", 5, &members));
	g_assert_false(raft_members_decode("\x90", 1, &members));
	g_bytes_get_data(bytes, &size);
	for (i = 0; i < size; i++)
		g_assert_null(
		    raft_msg_decode(g_bytes_get_data(bytes, NULL), i, NULL));
	for (k = 0; k < 200000; k++) {
		copy = g_memdup2(g_bytes_get_data(bytes, NULL), size);
		for (i = 0; i <= rng_below(&rng, 4); i++)
			copy[rng_below(&rng, size)] = (uint8_t)rng_next(&rng);
		decode_any(copy, size);
		g_free(copy);
	}
	g_bytes_unref(bytes);
	raft_msg_free(m);
}

static uint64_t
env_number(const char *name, uint64_t fallback)
{
	const char *value = g_getenv(name);

	return value == NULL ? fallback : g_ascii_strtoull(value, NULL, 10);
}

/*
 * Random fault schedules, one per seed. RAFT_SEED sets the first seed and
 * RAFT_SCHEDULES the number of seeds, to replay a failure.
 */
static void
test_schedules(void)
{
	uint64_t first = env_number("RAFT_SEED", 1), seed;
	uint64_t count = env_number("RAFT_SCHEDULES", SCHEDULES);
	uint64_t reads = 0, installs = 0, changes = 0, lost = 0, terms = 0,
		 commits = 0;
	struct cluster *c;

	g_test_message("RAFT_SEED=%" G_GUINT64_FORMAT
		       " RAFT_SCHEDULES=%" G_GUINT64_FORMAT,
	    first, count);
	for (seed = first; seed < first + count; seed++) {
		c = cluster_new(seed, 3 + (int)(seed % 3));
		cluster_run_schedule(c, STEPS);
		reads += c->reads;
		installs += c->snapshots_installed;
		changes += c->membership_changes;
		lost += c->disks_lost;
		commits += c->committed->len;
		terms += g_hash_table_size(c->leaders);
		cluster_free(c);
	}
	g_test_message("leaders %" G_GUINT64_FORMAT
		       ", commits %" G_GUINT64_FORMAT
		       ", reads %" G_GUINT64_FORMAT
		       ", snapshots installed %" G_GUINT64_FORMAT
		       ", membership changes %" G_GUINT64_FORMAT
		       ", disks lost %" G_GUINT64_FORMAT,
	    terms, commits, reads, installs, changes, lost);
}

int
main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	sent = g_ptr_array_new_with_free_func(message_free);
	g_test_add_func("/raft/votes", test_votes);
	g_test_add_func("/raft/leader-stickiness", test_leader_stickiness);
	g_test_add_func("/raft/non-voter", test_non_voter);
	g_test_add_func("/raft/count-voters-only", test_count_voters_only);
	g_test_add_func("/raft/check-quorum", test_check_quorum);
	g_test_add_func("/raft/commit-own-term", test_commit_own_term);
	g_test_add_func("/raft/leader-storage", test_leader_storage);
	g_test_add_func("/raft/follower-storage", test_follower_storage);
	g_test_add_func("/raft/storage-aba", test_storage_aba);
	g_test_add_func("/raft/send-before-sync", test_send_before_sync);
	g_test_add_func("/raft/reads", test_reads);
	g_test_add_func("/raft/inflight-window", test_inflight_window);
	g_test_add_func("/raft/prevote", test_prevote);
	g_test_add_func("/raft/members", test_members);
	g_test_add_func("/raft/members-rollback", test_members_rollback);
	g_test_add_func("/raft/learner-committed", test_learner_committed);
	g_test_add_func("/raft/demoted-may-lead", test_demoted_may_lead);
	g_test_add_func("/raft/transfer", test_transfer);
	g_test_add_func("/raft/disable", test_disable);
	g_test_add_func("/raft/compact", test_compact);
	g_test_add_func("/raft/snapshot-members", test_snapshot_members);
	g_test_add_func("/raft/snapshot-chunks", test_snapshot_chunks);
	g_test_add_func("/raft/restart-term", test_restart_term);
	g_test_add_func("/raft/restarted-voter", test_restarted_voter);
	g_test_add_func("/raft/restarted-follower", test_restarted_follower);
	g_test_add_func("/raft/all-restarted", test_all_restarted);
	g_test_add_func("/raft/one-restarted", test_one_restarted);
	g_test_add_func("/raft/codec", test_codec);
	g_test_add_func("/raft/codec-malformed", test_codec_malformed);
	g_test_add_func("/raft/schedules", test_schedules);
	result = g_test_run();
	g_ptr_array_unref(sent);
	return result;
}
