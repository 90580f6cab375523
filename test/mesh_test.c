/* Tests of discovery through one seed, and of the choice of the leader. */
#include <string.h>

#include "mesh.h"
#include "proc.h"

#define NODES 4
#define AWAIT_LIMIT_MS 30000 /* not exceeded on a slow machine */

struct node {
	struct mesh *mesh;
	char *name;
	char *address;
	int frames;
	int raft_messages;
	int links_lost;
	uint64_t raft_from;
};

struct cluster {
	struct event_base *base;
	struct node node[NODES];
};

static void
on_raft(void *arg, uint64_t from, const void *data, size_t len)
{
	struct node *n = arg;

	n->raft_messages++;
	n->raft_from = from;
	g_assert_cmpmem(data, len, "vote", 4);
}

static void
on_frame(void *arg, struct mesh_link *l, int type, const void *data, size_t len)
{
	struct node *n = arg;

	g_assert_cmpint(type, ==, MESH_FRAME_FIRST);
	n->frames++;
}

static void
on_link(void *arg, struct mesh_link *l, bool up)
{
	struct node *n = arg;

	n->links_lost += !up;
}

static const struct mesh_ops ops = {
	.raft_message = on_raft, .frame = on_frame, .link_changed = on_link
};

static void
node_open(struct cluster *c, int i, bool replica)
{
	struct node *n = &c->node[i];
	struct mesh_conf conf = { .base = c->base,
		.name = n->name,
		.address = n->address,
		.replica = replica };
	GPtrArray *seeds = g_ptr_array_new();
	GError *err = NULL;

	n->mesh = mesh_new(&conf, &ops, n, &err);
	g_assert_no_error(err);
	g_ptr_array_add(seeds, c->node[0].address);
	mesh_set_seeds(n->mesh, seeds);
	mesh_set_identity(n->mesh, replica ? (uint64_t)i + 1 : 0, 0, false);
	g_ptr_array_unref(seeds);
}

/* Node 0 is the only seed. Nodes 1 and 2 are replicas, 0 and 3 are not. */
static struct cluster *
cluster_new(void)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *ip = loopback_ip();

	c->base = event_base_new();
	for (int i = 0; i < NODES; i++) {
		c->node[i].name = g_strdup_printf("m%d", i);
		c->node[i].address = free_address(ip);
		node_open(c, i, i == 1 || i == 2);
	}
	g_free(ip);
	return c;
}

static void
run_loop(struct cluster *c)
{
	struct timeval tv = { .tv_usec = 5000 };

	event_base_loopexit(c->base, &tv);
	event_base_dispatch(c->base);
}

#define AWAIT(c, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			run_loop(c);                          \
		}                                             \
	} while (0)

static void
cluster_free(struct cluster *c)
{
	for (int i = 0; i < NODES; i++) {
		mesh_free(c->node[i].mesh);
		g_free(c->node[i].name);
		g_free(c->node[i].address);
	}
	run_loop(c);
	event_base_free(c->base);
	g_free(c);
}

static void
count_replica(void *arg, struct mesh_link *l)
{
	*(int *)arg += mesh_peer(l)->replica;
}

static int
replica_links(struct node *n)
{
	int count = 0;

	mesh_each_link(n->mesh, true, count_replica, &count);
	return count;
}

/* All nodes find the replicas through a seed that is no replica itself. */
static void
test_discovery_by_seed(void)
{
	struct cluster *c = cluster_new();
	GBytes *vote = g_bytes_new_static("vote", 4);

	AWAIT(c,
	    replica_links(&c->node[0]) == 2 &&
		replica_links(&c->node[1]) == 1 &&
		replica_links(&c->node[2]) == 1 &&
		replica_links(&c->node[3]) == 2);
	mesh_send_raft(c->node[1].mesh, 3, vote);
	AWAIT(c, c->node[2].raft_messages == 1);
	g_assert_cmpuint(c->node[2].raft_from, ==, 2);
	g_bytes_unref(vote);
	cluster_free(c);
}

/*
 * If two processes announce that they lead, because a deposed leader has not
 * yet seen the new term, mesh_leader() returns the one in the higher term.
 */
static void
test_leader(void)
{
	static const uint8_t frame[] = { MESH_FRAME_FIRST };
	struct cluster *c = cluster_new();
	GBytes *bytes = g_bytes_new_static(frame, sizeof(frame));
	struct node *n = &c->node[3];

	AWAIT(c, replica_links(n) == 2);
	g_assert_null(mesh_leader(n->mesh));
	mesh_set_leading_term(c->node[1].mesh, 4);
	AWAIT(c, mesh_leader(n->mesh) != NULL);
	mesh_set_leading_term(c->node[2].mesh, 5);
	AWAIT(c, strcmp(mesh_peer(mesh_leader(n->mesh))->name, "m2") == 0);
	mesh_send(mesh_leader(n->mesh), bytes);
	AWAIT(c, c->node[2].frames == 1);
	mesh_set_leading_term(c->node[2].mesh, 0);
	AWAIT(c, strcmp(mesh_peer(mesh_leader(n->mesh))->name, "m1") == 0);
	g_bytes_unref(bytes);
	cluster_free(c);
}

/* A process that restarts at the same address is connected again. */
static void
test_reconnect(void)
{
	struct cluster *c = cluster_new();

	AWAIT(c, replica_links(&c->node[3]) == 2);
	mesh_free(c->node[2].mesh);
	AWAIT(c, replica_links(&c->node[3]) == 1 && c->node[3].links_lost > 0);
	node_open(c, 2, true);
	AWAIT(c, replica_links(&c->node[3]) == 2);
	cluster_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mesh/discovery-by-seed", test_discovery_by_seed);
	g_test_add_func("/mesh/leader", test_leader);
	g_test_add_func("/mesh/reconnect", test_reconnect);
	return g_test_run();
}
