/* An open membership: founding, joining, lost disks and lost VMs. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib/gstdio.h>

#include "proc.h"
#include "replica.h"

#define NODES 6
#define AWAIT_LIMIT_MS 30000 /* a fault, not a speed */
#define TICK_MS 20

struct world;

struct node {
	struct world *world;
	char *name;
	char *dir;
	struct replica *replica; /* NULL: it does not run */
	uint64_t id;
	uint64_t cell;
	bool formed;
	bool cut; /* from all others */
	GString *state; /* the commands applied, one letter each */
	int failures;
};

struct world {
	struct event_base *base;
	struct node node[NODES];
};

/* A message on its way. */
struct delivery {
	struct world *world;
	uint64_t from;
	uint64_t to;
	GBytes *bytes;
};

static struct node *
find(struct world *w, uint64_t id)
{
	for (int i = 0; i < NODES; i++)
		if (w->node[i].replica != NULL && w->node[i].id == id)
			return &w->node[i];
	return NULL;
}

static void
deliver(evutil_socket_t fd, short what, void *arg)
{
	struct delivery *d = arg;
	struct node *to = find(d->world, d->to);
	struct node *from = find(d->world, d->from);
	gsize len;
	const void *data = g_bytes_get_data(d->bytes, &len);

	if (to != NULL && from != NULL && !to->cut && !from->cut)
		replica_receive(to->replica, d->from, data, len);
	g_bytes_unref(d->bytes);
	g_free(d);
}

static void
on_send(void *arg, uint64_t to, GBytes *message)
{
	struct node *n = arg;
	struct delivery *d = g_new0(struct delivery, 1);
	struct timeval soon = { .tv_usec = 200 };

	*d = (struct delivery){ n->world, n->id, to, g_bytes_ref(message) };
	event_base_once(n->world->base, -1, EV_TIMEOUT, deliver, d, &soon);
}

static bool
on_apply(void *arg, uint64_t index, const void *data, size_t len, GError **err)
{
	struct node *n = arg;

	g_string_append_len(n->state, data, (gssize)len);
	return true;
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
on_advanced(void *arg)
{
}

static void
on_read(void *arg, uint64_t context, bool ok)
{
}

static void
on_identify(void *arg, uint64_t id, uint64_t cell, bool formed)
{
	struct node *n = arg;

	n->id = id;
	n->cell = cell;
	n->formed = formed;
}

static void
on_each_peer(void *arg, replica_peer_fn *fn, void *fn_arg)
{
	struct node *n = arg;

	for (int i = 0; i < NODES; i++) {
		struct node *peer = &n->world->node[i];
		struct peer_info info = { peer->name, peer->id, peer->cell,
			peer->formed };

		if (peer != n && peer->replica != NULL && !peer->cut && !n->cut)
			fn(fn_arg, &info);
	}
}

static void
on_failed(void *arg)
{
	struct node *n = arg;

	n->failures++;
}

static const struct replica_ops ops = { .apply = on_apply,
	.snapshot = on_snapshot,
	.restore = on_restore,
	.updated = on_advanced,
	.read_done = on_read,
	.send = on_send,
	.identity_changed = on_identify,
	.each_peer = on_each_peer,
	.storage_failed = on_failed };

static void
node_start(struct node *n)
{
	struct replica_conf conf = { .base = n->world->base,
		.name = n->name,
		.data_dir = n->dir,
		.snapshot_entries = 50,
		.output_interval_ms = 2,
		.tick_ms = TICK_MS };
	GError *err = NULL;

	n->id = n->cell = 0;
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
turn(struct world *w)
{
	struct timeval tv = { .tv_usec = 5000 };

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

/* Shows what each replica believes, for a wait that comes to nothing. */
static void
show(struct world *w)
{
	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->node[i];
		char *status =
		    n->replica == NULL ? NULL : replica_status(n->replica);

		g_test_message("%s cut=%d state=%s %s", n->name, n->cut,
		    n->state->str, status == NULL ? "not running" : status);
		g_free(status);
	}
}

#define AWAIT(w, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			if (mono_ms() >= limit)               \
				show(w);                      \
			g_assert_cmpint(mono_ms(), <, limit); \
			turn(w);                              \
		}                                             \
	} while (0)

static struct node *
leader(struct world *w)
{
	for (int i = 0; i < NODES; i++)
		if (w->node[i].replica != NULL && !w->node[i].cut &&
		    replica_leads(w->node[i].replica))
			return &w->node[i];
	return NULL;
}

/* Says whether all members vote, or one is kept back to have an odd number. */
static bool
is_settled(int members, int voters)
{
	return voters == members ||
	    (members > 3 && members % 2 == 0 && voters == members - 1);
}

/*
 * How many members there are once all of them run and nobody else waits to
 * vote; -1 before that. A dead member that is still counted is a loss that
 * has not been made good.
 */
static int
members(struct world *w)
{
	struct node *n = leader(w);
	char *status;
	bool settled;
	uint64_t commit = 0;
	uint64_t last = 0;
	int count = 0;
	int voters = 0;

	if (n == NULL)
		return -1;
	status = replica_status(n->replica);
	/* A change that is not agreed yet may still be lost. */
	settled =
	    sscanf(strstr(status, "\"commit\":"),
		"\"commit\":%" SCNu64 ",\"applied\":%*u,\"last\":%" SCNu64,
		&commit, &last) == 2 &&
	    commit == last;
	for (const char *p = status; (p = strstr(p, "\"voter\":")) != NULL;
	     p++) {
		settled &= strstr(p, "\"connected\":true") ==
		    strstr(p, "\"connected\":");
		voters += g_str_has_prefix(p, "\"voter\":true");
		count++;
	}
	g_free(status);
	return settled && is_settled(count, voters) ? count : -1;
}

/* Commands a letter and waits until every node that runs has it. */
static void
command(struct world *w, char letter)
{
	struct node *n;
	GBytes *bytes = g_bytes_new(&letter, 1);

	AWAIT(w, leader(w) != NULL);
	n = leader(w);
	g_assert_cmpuint(replica_propose(n->replica, bytes), !=, 0);
	g_bytes_unref(bytes);
	AWAIT(w, strchr(n->state->str, letter) != NULL);
}

static bool
all_have(struct world *w, const char *state)
{
	for (int i = 0; i < NODES; i++)
		if (w->node[i].replica != NULL && !w->node[i].cut &&
		    strcmp(w->node[i].state->str, state) != 0)
			return false;
	return true;
}

static struct world *
world_new(int count)
{
	struct world *w = g_new0(struct world, 1);
	char *top = g_dir_make_tmp("replica-test-XXXXXX", NULL);

	w->base = event_base_new();
	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->node[i];

		n->world = w;
		n->name = g_strdup_printf("r%d", i);
		n->dir = g_strdup_printf("%s/%d", top, i);
		n->state = g_string_new(NULL);
		g_assert_cmpint(g_mkdir_with_parents(n->dir, 0700), ==, 0);
	}
	for (int i = 0; i < count; i++)
		node_start(&w->node[i]);
	g_assert_true(replica_bootstrap(w->node[0].replica));
	AWAIT(w, members(w) == count);
	g_free(top);
	return w;
}

static void
world_free(struct world *w)
{
	char *top = g_path_get_dirname(w->node[0].dir);

	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->node[i];

		if (n->replica != NULL)
			node_kill(n);
		g_free(n->name);
		g_free(n->dir);
		g_string_free(n->state, TRUE);
	}
	remove_tree(top);
	g_free(top);
	/* Messages on their way are freed by their delivery. */
	for (int i = 0; i < 4; i++)
		turn(w);
	event_base_free(w->base);
	g_free(w);
}

/* One founds, all others are added; nobody founds a second cell. */
static void
test_founding(void)
{
	struct world *w = world_new(4);

	g_assert_false(replica_bootstrap(w->node[0].replica));
	g_assert_false(replica_bootstrap(w->node[2].replica));
	command(w, 'a');
	AWAIT(w, all_have(w, "a"));
	world_free(w);
}

/* A disk comes back empty: its replica joins anew and gets everything. */
static void
test_lost_disk(void)
{
	struct world *w = world_new(3);
	struct node *n;

	command(w, 'a');
	for (int i = 0; i < 2; i++) {
		n = leader(w);
		node_wipe(n);
		AWAIT(w, leader(w) != NULL);
		node_start(n);
		AWAIT(w, members(w) == 3 && all_have(w, i == 0 ? "a" : "ab"));
		if (i == 0)
			command(w, 'b');
		AWAIT(w, all_have(w, "ab"));
	}
	world_free(w);
}

/*
 * VMs that are gone for good are replaced by others with other names, one
 * after the other, and then a disk is lost: the dead must not count for the
 * majority by then.
 */
static void
test_replaced(void)
{
	struct world *w = world_new(4);

	command(w, 'a');
	node_start(&w->node[4]);
	AWAIT(w, members(w) == 5);
	node_wipe(&w->node[1]);
	AWAIT(w, members(w) == 4);
	node_wipe(&w->node[0]);
	AWAIT(w, leader(w) != NULL);
	node_start(&w->node[5]);
	AWAIT(w, members(w) == 4 && all_have(w, "a"));
	node_wipe(&w->node[2]);
	AWAIT(w, leader(w) != NULL);
	command(w, 'b');
	node_start(&w->node[2]);
	AWAIT(w, members(w) == 4 && all_have(w, "ab"));
	world_free(w);
}

static bool
votes(struct world *w, const struct node *n)
{
	struct node *l = leader(w);
	char *status = replica_status(l->replica);
	char *mine = g_strdup_printf(
	    "\"id\":\"%016" G_GINT64_MODIFIER "x\",\"voter\":true", n->id);
	bool found = strstr(status, mine) != NULL;

	g_free(mine);
	g_free(status);
	return found;
}

/* One that votes, or the one that doesn't. */
static struct node *
find_member(struct world *w, bool voting)
{
	for (int i = 0; i < NODES; i++)
		if (w->node[i].replica != NULL &&
		    votes(w, &w->node[i]) == voting)
			return &w->node[i];
	g_assert_not_reached();
}

/* One that was cut off and dropped is a member again when it is back, whether
 * it votes or not. */
static void
test_dropped_and_back(void)
{
	struct world *w = world_new(4);

	command(w, 'a');
	for (int voting = 0; voting < 2; voting++) {
		struct node *n = find_member(w, voting);

		n->cut = true;
		AWAIT(
		    w, leader(w) != NULL && leader(w) != n && members(w) == 3);
		command(w, voting ? 'c' : 'b');
		n->cut = false;
		AWAIT(w, members(w) == 4 && all_have(w, voting ? "abc" : "ab"));
	}
	world_free(w);
}

/* Kills so many nodes that vote, or the one that doesn't. */
static void
kill_some(struct world *w, int voting, bool spare)
{
	bool vote[NODES];

	for (int i = 0; i < NODES; i++)
		vote[i] = w->node[i].replica != NULL && votes(w, &w->node[i]);
	for (int i = 0; i < NODES; i++) {
		if (w->node[i].replica == NULL)
			continue;
		if (vote[i] ? voting-- > 0 : spare)
			node_kill(&w->node[i]);
	}
}

/* Of four replicas, the half that has one voter can neither agree on
 * anything nor drop the others. */
static void
test_half(void)
{
	struct world *w = world_new(4);
	GBytes *bytes = g_bytes_new_static("x", 1);
	int64_t until;

	command(w, 'a');
	AWAIT(w, all_have(w, "a"));
	kill_some(w, 2, false);
	until = mono_ms() + 7000;
	while (mono_ms() < until) {
		struct node *n = leader(w);

		if (n != NULL)
			(void)replica_propose(n->replica, bytes);
		turn(w);
	}
	g_assert_true(all_have(w, "a"));
	for (int i = 0; i < 4; i++)
		if (w->node[i].replica == NULL)
			node_start(&w->node[i]);
	AWAIT(w, members(w) == 4);
	command(w, 'b');
	g_bytes_unref(bytes);
	world_free(w);
}

/* Four replicas are cut in halves: the half with two voters goes on. */
static void
test_half_goes_on(void)
{
	struct world *w = world_new(4);

	command(w, 'a');
	AWAIT(w, all_have(w, "a"));
	kill_some(w, 1, true);
	command(w, 'b');
	AWAIT(w, all_have(w, "ab"));
	for (int i = 0; i < 4; i++)
		if (w->node[i].replica == NULL)
			node_start(&w->node[i]);
	AWAIT(w, members(w) == 4 && all_have(w, "ab"));
	world_free(w);
}

/* The replica that does not vote takes the place of a voter that is gone, so
 * that one more may go. */
static void
test_steps_in(void)
{
	struct world *w = world_new(4);

	command(w, 'a');
	kill_some(w, 1, false);
	AWAIT(w, members(w) == 3);
	kill_some(w, 1, false);
	command(w, 'b');
	AWAIT(w, all_have(w, "ab"));
	world_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The losses played here are logged as warnings. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/replica/founding", test_founding);
	g_test_add_func("/replica/lost-disk", test_lost_disk);
	g_test_add_func("/replica/replaced", test_replaced);
	g_test_add_func("/replica/dropped-and-back", test_dropped_and_back);
	g_test_add_func("/replica/half", test_half);
	g_test_add_func("/replica/half-goes-on", test_half_goes_on);
	g_test_add_func("/replica/steps-in", test_steps_in);
	return g_test_run();
}
