/* Automatic membership: bootstrap, joining, lost disks and lost VMs. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib/gstdio.h>

#include "proc.h"
#include "replica.h"

#define NODES 6
#define AWAIT_LIMIT_MS 30000 /* generous: exceeded only by a fault */
#define TICK_MS 20

struct cluster;

struct node {
	struct cluster *cluster;
	struct event_base *base;
	char *name;
	char *dir;
	struct replica *replica; /* NULL: not running */
	uint64_t id;
	uint64_t cell_id;
	bool formed;
	bool isolated; /* no messages to or from other nodes */
	bool frozen; /* its events are handled when it wakes */
	GHashTable *proposed; /* log index to letter, while it leads */
	GString *state; /* applied commands, one letter each */
	int failures;
	int depositions;
};

struct cluster {
	struct node node[NODES];
	int disk_losses; /* configured on each node */
	GQueue in_flight; /* struct delivery */
};

/* A message in flight. */
struct delivery {
	GList link; /* in in_flight */
	struct cluster *cluster;
	uint64_t from;
	uint64_t to;
	GBytes *bytes;
};

static struct node *
find_node(struct cluster *c, uint64_t id)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL && c->node[i].id == id)
			return &c->node[i];
	return NULL;
}

static void
delivery_free(void *arg)
{
	struct delivery *d = arg;

	g_bytes_unref(d->bytes);
	g_free(d);
}

static void
deliver(evutil_socket_t fd, short what, void *arg)
{
	struct delivery *d = arg;
	struct node *to = find_node(d->cluster, d->to);
	struct node *from = find_node(d->cluster, d->from);
	gsize len;
	const void *data = g_bytes_get_data(d->bytes, &len);

	g_queue_unlink(&d->cluster->in_flight, &d->link);
	if (to != NULL && from != NULL && !to->isolated && !from->isolated)
		replica_receive(to->replica, d->from, data, len);
	delivery_free(d);
}

static void
on_send(void *arg, uint64_t to, GBytes *message)
{
	struct node *n = arg;
	struct node *receiver = find_node(n->cluster, to);
	struct delivery *d;
	struct timeval soon = { .tv_usec = 200 };

	if (receiver == NULL)
		return;
	d = g_new0(struct delivery, 1);
	*d = (struct delivery){ .link.data = d,
		.cluster = n->cluster,
		.from = n->id,
		.to = to,
		.bytes = g_bytes_ref(message) };
	g_queue_push_tail_link(&n->cluster->in_flight, &d->link);
	event_base_once(receiver->base, -1, EV_TIMEOUT, deliver, d, &soon);
}

static bool
on_apply(void *arg, uint64_t index, const void *data, size_t len, GError **err)
{
	struct node *n = arg;
	gpointer letter =
	    g_hash_table_lookup(n->proposed, GUINT_TO_POINTER(index));

	if (letter != NULL)
		g_assert_cmpint(
		    *(const char *)data, ==, GPOINTER_TO_INT(letter));
	g_string_append_len(n->state, data, (gssize)len);
	return true;
}

static void
on_deposed(void *arg)
{
	struct node *n = arg;

	g_hash_table_remove_all(n->proposed);
	n->depositions++;
}

static GBytes *
on_snapshot(void *arg)
{
	struct node *n = arg;

	return g_bytes_new(n->state->str, n->state->len);
}

static bool
on_restore(void *arg, GBytes *state, GError **err)
{
	struct node *n = arg;
	gsize len;
	const char *data = g_bytes_get_data(state, &len);

	g_string_truncate(n->state, 0);
	g_string_append_len(n->state, data, (gssize)len);
	return true;
}

static void
on_updated(void *arg)
{
	struct node *n = arg;

	if (!replica_leads(n->replica))
		g_hash_table_remove_all(n->proposed);
}

static void
on_read_done(void *arg, uint64_t context, bool ok)
{
}

static void
on_identity_changed(
    void *arg, uint64_t replica_id, uint64_t cell_id, bool formed)
{
	struct node *n = arg;

	n->id = replica_id;
	n->cell_id = cell_id;
	n->formed = formed;
}

static void
on_each_peer(void *arg, replica_peer_fn *fn, void *fn_arg)
{
	struct node *n = arg;

	for (int i = 0; i < NODES; i++) {
		struct node *peer = &n->cluster->node[i];
		struct peer_info info = { peer->name, peer->id, peer->cell_id,
			peer->formed };

		if (peer != n && peer->replica != NULL && !peer->isolated &&
		    !n->isolated)
			fn(fn_arg, &info);
	}
}

static void
on_storage_failed(void *arg)
{
	struct node *n = arg;

	n->failures++;
}

static const struct replica_ops ops = { .apply = on_apply,
	.deposed = on_deposed,
	.snapshot = on_snapshot,
	.restore = on_restore,
	.updated = on_updated,
	.read_done = on_read_done,
	.send = on_send,
	.identity_changed = on_identity_changed,
	.each_peer = on_each_peer,
	.storage_failed = on_storage_failed };

static void
node_start(struct node *n)
{
	struct replica_conf conf = { .base = n->base,
		.name = n->name,
		.data_dir = n->dir,
		.snapshot_entries = 50,
		.disk_losses = n->cluster->disk_losses,
		.output_interval_ms = 2,
		.tick_ms = TICK_MS };
	GError *err = NULL;

	n->id = n->cell_id = 0;
	n->formed = false;
	g_string_truncate(n->state, 0);
	n->replica = replica_new(&conf, &ops, n, &err);
	g_assert_no_error(err);
	replica_start(n->replica);
}

static void
node_kill(struct node *n)
{
	replica_free(g_steal_pointer(&n->replica));
}

static void
node_wipe(struct node *n)
{
	node_kill(n);
	remove_tree(n->dir);
	g_assert_cmpint(g_mkdir_with_parents(n->dir, 0700), ==, 0);
}

static void
run_loop(struct cluster *c)
{
	for (int i = 0; i < NODES; i++)
		if (!c->node[i].frozen)
			event_base_loop(c->node[i].base, EVLOOP_NONBLOCK);
	g_usleep(1000);
}

/* Logs the status of each replica when a wait times out. */
static void
log_cluster(struct cluster *c)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &c->node[i];
		char *status =
		    n->replica == NULL ? NULL : replica_status(n->replica);

		g_test_message("%s isolated=%d state=%s %s", n->name,
		    n->isolated, n->state->str,
		    status == NULL ? "not running" : status);
		g_free(status);
	}
}

#define AWAIT(c, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			if (mono_ms() >= limit)               \
				log_cluster(c);               \
			g_assert_cmpint(mono_ms(), <, limit); \
			run_loop(c);                          \
		}                                             \
	} while (0)

static struct node *
leader(struct cluster *c)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL && !c->node[i].isolated &&
		    !c->node[i].frozen && replica_leads(c->node[i].replica))
			return &c->node[i];
	return NULL;
}

/*
 * Reports whether all members vote, or all but one to have an odd number of
 * voters.
 */
static bool
has_expected_voters(int members, int voters)
{
	return voters == members ||
	    (members > 3 && members % 2 == 0 && voters == members - 1);
}

/*
 * Returns the number of members once all are connected and no promotion is
 * due, else -1. A dead member that is still in the membership counts for the
 * quorum, so the cell has not recovered from its loss.
 */
static int
stable_member_count(struct cluster *c)
{
	struct node *n = leader(c);
	char *status;
	bool stable;
	uint64_t commit = 0;
	uint64_t last = 0;
	int count = 0;
	int voters = 0;

	if (n == NULL)
		return -1;
	status = replica_status(n->replica);
	/* A membership change that is not committed may still be lost. */
	stable = sscanf(strstr(status, "\"commit\":"),
		     "\"commit\":%" SCNu64 ",\"applied\":%*u,\"last\":%" SCNu64,
		     &commit, &last) == 2 &&
	    commit == last;
	for (const char *p = status; (p = strstr(p, "\"voter\":")) != NULL;
	     p++) {
		stable &= strstr(p, "\"connected\":true") ==
		    strstr(p, "\"connected\":");
		voters += g_str_has_prefix(p, "\"voter\":true");
		count++;
	}
	g_free(status);
	return stable && has_expected_voters(count, voters) ? count : -1;
}

/* Proposes a letter and waits until the node that was leader applied it. */
static void
commit_letter(struct cluster *c, char letter)
{
	struct node *n;
	GBytes *bytes = g_bytes_new(&letter, 1);

	AWAIT(c, leader(c) != NULL);
	n = leader(c);
	g_assert_cmpuint(replica_propose(n->replica, bytes), !=, 0);
	g_bytes_unref(bytes);
	AWAIT(c, strchr(n->state->str, letter) != NULL);
}

static bool
all_have(struct cluster *c, const char *state)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL && !c->node[i].isolated &&
		    strcmp(c->node[i].state->str, state) != 0)
			return false;
	return true;
}

static struct cluster *
cluster_new_tolerant(int count, int disk_losses)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *top = g_dir_make_tmp("replica-test-XXXXXX", NULL);

	c->disk_losses = disk_losses;
	for (int i = 0; i < NODES; i++) {
		struct node *n = &c->node[i];

		n->cluster = c;
		n->name = g_strdup_printf("r%d", i);
		n->dir = g_strdup_printf("%s/%d", top, i);
		n->base = event_base_new();
		n->state = g_string_new(NULL);
		n->proposed = g_hash_table_new(NULL, NULL);
		g_assert_cmpint(g_mkdir_with_parents(n->dir, 0700), ==, 0);
	}
	for (int i = 0; i < count; i++)
		node_start(&c->node[i]);
	g_assert_true(replica_bootstrap(c->node[0].replica));
	AWAIT(c, stable_member_count(c) == count);
	g_free(top);
	return c;
}

static struct cluster *
cluster_new(int count)
{
	return cluster_new_tolerant(count, 0);
}

static void
cluster_free(struct cluster *c)
{
	char *top = g_path_get_dirname(c->node[0].dir);

	for (int i = 0; i < NODES; i++) {
		struct node *n = &c->node[i];

		if (n->replica != NULL)
			node_kill(n);
		g_free(n->name);
		g_free(n->dir);
		g_string_free(n->state, TRUE);
		g_hash_table_unref(n->proposed);
	}
	remove_tree(top);
	g_free(top);
	/* No event of a freed replica may still be pending. */
	for (int i = 0; i < 4; i++)
		run_loop(c);
	for (int i = 0; i < NODES; i++)
		event_base_free(c->node[i].base);
	/* Those still in flight are not delivered any more. The links are part
	 * of them. */
	for (GList *i = c->in_flight.head, *next; i != NULL; i = next) {
		next = i->next;
		delivery_free(i->data);
	}
	g_free(c);
}

/* One replica bootstraps the cell and the others are added. No second cell
 * can be bootstrapped. */
static void
test_bootstrap(void)
{
	struct cluster *c = cluster_new(4);

	g_assert_false(replica_bootstrap(c->node[0].replica));
	g_assert_false(replica_bootstrap(c->node[2].replica));
	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	cluster_free(c);
}

/* A replica whose disk was erased joins with a new id and gets all entries. */
static void
test_lost_disk(void)
{
	struct cluster *c = cluster_new(3);
	struct node *n;

	commit_letter(c, 'a');
	for (int i = 0; i < 2; i++) {
		n = leader(c);
		node_wipe(n);
		AWAIT(c, leader(c) != NULL);
		node_start(n);
		AWAIT(c,
		    stable_member_count(c) == 3 &&
			all_have(c, i == 0 ? "a" : "ab"));
		if (i == 0)
			commit_letter(c, 'b');
		AWAIT(c, all_have(c, "ab"));
	}
	cluster_free(c);
}

/*
 * Two VMs are lost for good and replaced, one after the other, by VMs with
 * other names. Then a disk is lost. By that time the lost VMs must no longer
 * count for the majority.
 */
static void
test_replaced_vms(void)
{
	struct cluster *c = cluster_new(4);

	commit_letter(c, 'a');
	node_start(&c->node[4]);
	AWAIT(c, stable_member_count(c) == 5);
	node_wipe(&c->node[1]);
	AWAIT(c, stable_member_count(c) == 4);
	node_wipe(&c->node[0]);
	AWAIT(c, leader(c) != NULL);
	node_start(&c->node[5]);
	AWAIT(c, stable_member_count(c) == 4 && all_have(c, "a"));
	node_wipe(&c->node[2]);
	AWAIT(c, leader(c) != NULL);
	commit_letter(c, 'b');
	node_start(&c->node[2]);
	AWAIT(c, stable_member_count(c) == 4 && all_have(c, "ab"));
	cluster_free(c);
}

static bool
is_voter(struct cluster *c, const struct node *n)
{
	struct node *l = leader(c);
	char *status = replica_status(l->replica);
	char *voter_json = g_strdup_printf(
	    "\"id\":\"%016" G_GINT64_MODIFIER "x\",\"voter\":true", n->id);
	bool found = strstr(status, voter_json) != NULL;

	g_free(voter_json);
	g_free(status);
	return found;
}

/* Returns a running node that is a voter, or one that is not. */
static struct node *
find_member(struct cluster *c, bool voting)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL &&
		    is_voter(c, &c->node[i]) == voting)
			return &c->node[i];
	g_assert_not_reached();
}

/* A member that was isolated and removed becomes a member again when it is
 * back, both a voter and a learner. */
static void
test_removed_and_back(void)
{
	struct cluster *c = cluster_new(4);

	commit_letter(c, 'a');
	for (int voting = 0; voting < 2; voting++) {
		struct node *n = find_member(c, voting);

		n->isolated = true;
		AWAIT(c,
		    leader(c) != NULL && leader(c) != n &&
			stable_member_count(c) == 3);
		commit_letter(c, voting ? 'c' : 'b');
		n->isolated = false;
		AWAIT(c,
		    stable_member_count(c) == 4 &&
			all_have(c, voting ? "abc" : "ab"));
	}
	cluster_free(c);
}

/* Guards against a cell that never takes back the replica that formed it, if
 * that replica was removed while it was down. */
static void
test_founder_removed_and_restarted(void)
{
	struct cluster *c = cluster_new(4);

	commit_letter(c, 'a');
	node_kill(&c->node[0]);
	AWAIT(c, leader(c) != NULL && stable_member_count(c) == 3);
	node_start(&c->node[0]);
	AWAIT(c, stable_member_count(c) == 4 && all_have(c, "a"));
	cluster_free(c);
}

/* Kills that many voters and, if learner is set, all learners. */
static void
kill_nodes(struct cluster *c, int voters, bool learner)
{
	bool is_voting[NODES];

	for (int i = 0; i < NODES; i++)
		is_voting[i] =
		    c->node[i].replica != NULL && is_voter(c, &c->node[i]);
	for (int i = 0; i < NODES; i++) {
		if (c->node[i].replica == NULL)
			continue;
		if (is_voting[i] ? voters-- > 0 : learner)
			node_kill(&c->node[i]);
	}
}

/* Four replicas, three of them voters. After the loss of two voters, the
 * others can neither commit anything nor remove the lost ones. */
static void
test_quorum_lost(void)
{
	struct cluster *c = cluster_new(4);
	GBytes *bytes = g_bytes_new_static("x", 1);
	int64_t until;

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	kill_nodes(c, 2, false);
	/* longer than the 5 s after which an absent member is removed */
	until = mono_ms() + 7000;
	while (mono_ms() < until) {
		struct node *n = leader(c);

		if (n != NULL)
			(void)replica_propose(n->replica, bytes);
		run_loop(c);
	}
	g_assert_true(all_have(c, "a"));
	for (int i = 0; i < 4; i++)
		if (c->node[i].replica == NULL)
			node_start(&c->node[i]);
	AWAIT(c, stable_member_count(c) == 4);
	commit_letter(c, 'b');
	g_bytes_unref(bytes);
	cluster_free(c);
}

/* Four replicas, three of them voters. After the loss of one voter and the
 * learner, the remaining two voters still commit. */
static void
test_quorum_kept(void)
{
	struct cluster *c = cluster_new(4);

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	kill_nodes(c, 1, true);
	commit_letter(c, 'b');
	AWAIT(c, all_have(c, "ab"));
	for (int i = 0; i < 4; i++)
		if (c->node[i].replica == NULL)
			node_start(&c->node[i]);
	AWAIT(c, stable_member_count(c) == 4 && all_have(c, "ab"));
	cluster_free(c);
}

/* The learner is promoted when a voter is lost, so that the cell survives one
 * more loss. */
static void
test_learner_promoted(void)
{
	struct cluster *c = cluster_new(4);

	commit_letter(c, 'a');
	kill_nodes(c, 1, false);
	AWAIT(c, stable_member_count(c) == 3);
	kill_nodes(c, 1, false);
	commit_letter(c, 'b');
	AWAIT(c, all_have(c, "ab"));
	cluster_free(c);
}

/* Proposes letters on a leader without letting it send them. */
static void
propose_letters(struct node *n, const char *letters)
{
	for (const char *p = letters; *p != '\0'; p++) {
		GBytes *bytes = g_bytes_new(p, 1);
		uint64_t index = replica_propose(n->replica, bytes);

		g_assert_cmpuint(index, !=, 0);
		g_hash_table_insert(
		    n->proposed, GUINT_TO_POINTER(index), GINT_TO_POINTER(*p));
		g_bytes_unref(bytes);
	}
}

/* Guards against a frozen leader that, when it wakes, takes commands of its
 * successor for those that it had proposed at the same log indices. */
static void
test_deposed_leader_proposals(void)
{
	struct cluster *c = cluster_new(3);
	struct node *n = leader(c);

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	propose_letters(n, "xyz");
	n->frozen = true;
	commit_letter(c, 'b');
	commit_letter(c, 'c');
	g_assert_cmpstr(n->state->str, ==, "a");
	n->frozen = false;
	AWAIT(c, all_have(c, "abc") && stable_member_count(c) == 3);
	g_assert_cmpint(n->depositions, ==, 1);
	cluster_free(c);
}

static void
run_for(struct cluster *c, int64_t ms)
{
	int64_t until = mono_ms() + ms;

	while (mono_ms() < until)
		run_loop(c);
}

/* Returns the nth running voter. */
static struct node *
nth_voter(struct cluster *c, int nth)
{
	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL && is_voter(c, &c->node[i]) &&
		    nth-- == 0)
			return &c->node[i];
	g_assert_not_reached();
}

/* Starts the nodes that are not running and checks that all entries are there
 * and that more can be committed. */
static void
check_recovery(struct cluster *c, const char *state)
{
	char *after = g_strconcat(state, "z", NULL);

	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica == NULL)
			node_start(&c->node[i]);
	AWAIT(c, stable_member_count(c) == NODES && all_have(c, state));
	commit_letter(c, 'z');
	AWAIT(c, all_have(c, after));
	g_free(after);
}

/*
 * Two of five voters are down for longer than an absent member may stay. Then
 * two others lose their disks, and all come back.
 */
static void
lose_two_disks_during_outage(int disk_losses, int first, int second)
{
	struct cluster *c = cluster_new_tolerant(NODES, disk_losses);
	struct node *wiped[2];

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	kill_nodes(c, 2, false);
	AWAIT(c, leader(c) != NULL);
	run_for(c, 8000);
	commit_letter(c, 'b');
	AWAIT(c, all_have(c, "ab"));
	wiped[0] = nth_voter(c, first);
	wiped[1] = nth_voter(c, second);
	node_wipe(wiped[0]);
	node_wipe(wiped[1]);
	check_recovery(c, "ab");
	cluster_free(c);
}

/* Guards against a cell that removes absent voters until those that are left
 * can't lose the disks that it has to tolerate, so that it never has a leader
 * again (review/7). */
static void
test_two_disks_during_outage(void)
{
	lose_two_disks_during_outage(2, 0, 1);
	lose_two_disks_during_outage(2, 1, 3);
	lose_two_disks_during_outage(2, 2, 3);
}

/* The same where the number of losses is not known. */
static void
test_unknown_losses_during_outage(void)
{
	lose_two_disks_during_outage(-1, 0, 3);
}

/* The same when one disk is lost before the outage and one during it. */
static void
test_outage_during_disk_losses(void)
{
	struct cluster *c = cluster_new_tolerant(NODES, 2);
	struct node *down;
	struct node *wiped;

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	node_wipe(nth_voter(c, 1));
	AWAIT(c, leader(c) != NULL);
	kill_nodes(c, 1, false);
	AWAIT(c, leader(c) != NULL);
	commit_letter(c, 'b');
	AWAIT(c, all_have(c, "ab"));
	run_for(c, 8000);
	AWAIT(c, leader(c) != NULL);
	down = nth_voter(c, 0);
	wiped = nth_voter(c, 1);
	node_kill(down);
	node_wipe(wiped);
	run_for(c, 2000);
	check_recovery(c, "ab");
	cluster_free(c);
}

static int
voter_count(struct cluster *c)
{
	int count = 0;

	for (int i = 0; i < NODES; i++)
		if (c->node[i].replica != NULL)
			count = replica_voter_count(c->node[i].replica);
	return count;
}

/* Guards against a cell of three voters that has two for a moment while
 * another replica takes the place of an absent one: the loss of a disk then
 * would leave no majority. */
static void
test_replaced_before_removed(void)
{
	struct cluster *c = cluster_new_tolerant(4, 1);
	struct node *n;
	int least = 3;

	commit_letter(c, 'a');
	AWAIT(c, all_have(c, "a"));
	n = nth_voter(c, leader(c) == nth_voter(c, 0) ? 1 : 0);
	n->isolated = true;
	AWAIT(c,
	    (least = MIN(least, voter_count(c))) < 3 ||
		stable_member_count(c) == 3);
	g_assert_cmpint(least, ==, 3);
	cluster_free(c);
}

/* Guards against a cell that stays with an even number of voters, which a
 * split in halves stops, when the absent voter returns before it is removed. */
static void
test_returns_before_removal(void)
{
	struct cluster *c = cluster_new_tolerant(NODES, 2);
	struct node *n;

	commit_letter(c, 'a');
	n = nth_voter(c, leader(c) == nth_voter(c, 0) ? 1 : 0);
	n->isolated = true;
	AWAIT(c, leader(c) != NULL && voter_count(c) == 6);
	n->isolated = false;
	AWAIT(c, stable_member_count(c) == NODES && voter_count(c) == 5);
	commit_letter(c, 'b');
	AWAIT(c, all_have(c, "ab"));
	cluster_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The simulated losses are logged as warnings, which must not abort the
	 * test. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/replica/bootstrap", test_bootstrap);
	g_test_add_func("/replica/lost-disk", test_lost_disk);
	g_test_add_func("/replica/replaced-vms", test_replaced_vms);
	g_test_add_func("/replica/removed-and-back", test_removed_and_back);
	g_test_add_func("/replica/founder-removed-and-restarted",
	    test_founder_removed_and_restarted);
	g_test_add_func("/replica/quorum-lost", test_quorum_lost);
	g_test_add_func("/replica/quorum-kept", test_quorum_kept);
	g_test_add_func("/replica/learner-promoted", test_learner_promoted);
	g_test_add_func(
	    "/replica/deposed-leader-proposals", test_deposed_leader_proposals);
	g_test_add_func(
	    "/replica/two-disks-during-outage", test_two_disks_during_outage);
	g_test_add_func("/replica/unknown-losses-during-outage",
	    test_unknown_losses_during_outage);
	g_test_add_func("/replica/outage-during-disk-losses",
	    test_outage_during_disk_losses);
	g_test_add_func(
	    "/replica/replaced-before-removed", test_replaced_before_removed);
	g_test_add_func(
	    "/replica/returns-before-removal", test_returns_before_removal);
	return g_test_run();
}
