/* Links of processes that know one seed: finding each other, leaders. */
#include <string.h>

#include "mesh.h"
#include "proc.h"

#define NODES 4
#define AWAIT_LIMIT_MS 30000 /* a fault, not a speed */

struct node {
	struct mesh *mesh;
	char *name;
	char *address;
	int frames;
	int raft;
	int downs;
	uint64_t raft_from;
};

struct world {
	struct event_base *base;
	struct node node[NODES];
};

static void
on_raft(void *arg, uint64_t from, const void *data, size_t len)
{
	struct node *n = arg;

	n->raft++;
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

	n->downs += !up;
}

static const struct mesh_ops ops = {
	.raft = on_raft, .frame = on_frame, .link = on_link
};

static void
node_open(struct world *w, int i, bool replica)
{
	struct node *n = &w->node[i];
	struct mesh_conf conf = { .base = w->base,
		.name = n->name,
		.address = n->address,
		.replica = replica };
	GPtrArray *seeds = g_ptr_array_new();
	GError *err = NULL;

	n->mesh = mesh_new(&conf, &ops, n, &err);
	g_assert_no_error(err);
	g_ptr_array_add(seeds, w->node[0].address);
	mesh_seed(n->mesh, seeds);
	mesh_identify(n->mesh, replica ? (uint64_t)i + 1 : 0, 0, false);
	g_ptr_array_unref(seeds);
}

/* Node 0, the seed, has no disk; 1 and 2 are replicas, 3 is none. */
static struct world *
world_new(void)
{
	struct world *w = g_new0(struct world, 1);
	char *ip = loopback_ip();

	w->base = event_base_new();
	for (int i = 0; i < NODES; i++) {
		w->node[i].name = g_strdup_printf("m%d", i);
		w->node[i].address = free_address(ip);
		node_open(w, i, i == 1 || i == 2);
	}
	g_free(ip);
	return w;
}

static void
turn(struct world *w)
{
	struct timeval tv = { .tv_usec = 5000 };

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

#define AWAIT(w, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			turn(w);                              \
		}                                             \
	} while (0)

static void
world_free(struct world *w)
{
	for (int i = 0; i < NODES; i++) {
		mesh_free(w->node[i].mesh);
		g_free(w->node[i].name);
		g_free(w->node[i].address);
	}
	turn(w);
	event_base_free(w->base);
	g_free(w);
}

static void
count_replica(void *arg, struct mesh_link *l)
{
	*(int *)arg += mesh_peer(l)->replica;
}

static int
replicas_seen(struct node *n)
{
	int count = 0;

	mesh_each(n->mesh, true, count_replica, &count);
	return count;
}

/* Everyone finds both replicas through a seed that is none itself. */
static void
test_found_through_a_seed(void)
{
	struct world *w = world_new();
	GBytes *vote = g_bytes_new_static("vote", 4);

	AWAIT(w,
	    replicas_seen(&w->node[0]) == 2 &&
		replicas_seen(&w->node[1]) == 1 &&
		replicas_seen(&w->node[2]) == 1 &&
		replicas_seen(&w->node[3]) == 2);
	mesh_send_raft(w->node[1].mesh, 3, vote);
	AWAIT(w, w->node[2].raft == 1);
	g_assert_cmpuint(w->node[2].raft_from, ==, 2);
	g_bytes_unref(vote);
	world_free(w);
}

/* Of two that say they lead the one in the later term counts. */
static void
test_leader(void)
{
	static const uint8_t frame[] = { MESH_FRAME_FIRST };
	struct world *w = world_new();
	GBytes *bytes = g_bytes_new_static(frame, sizeof(frame));
	struct node *n = &w->node[3];

	AWAIT(w, replicas_seen(n) == 2);
	g_assert_null(mesh_leader(n->mesh));
	mesh_leads(w->node[1].mesh, 4);
	AWAIT(w, mesh_leader(n->mesh) != NULL);
	mesh_leads(w->node[2].mesh, 5);
	AWAIT(w, strcmp(mesh_peer(mesh_leader(n->mesh))->name, "m2") == 0);
	mesh_send(mesh_leader(n->mesh), bytes);
	AWAIT(w, w->node[2].frames == 1);
	mesh_leads(w->node[2].mesh, 0);
	AWAIT(w, strcmp(mesh_peer(mesh_leader(n->mesh))->name, "m1") == 0);
	g_bytes_unref(bytes);
	world_free(w);
}

/* One that ends and comes back at its address is found again. */
static void
test_back_again(void)
{
	struct world *w = world_new();

	AWAIT(w, replicas_seen(&w->node[3]) == 2);
	mesh_free(w->node[2].mesh);
	AWAIT(w, replicas_seen(&w->node[3]) == 1 && w->node[3].downs > 0);
	node_open(w, 2, true);
	AWAIT(w, replicas_seen(&w->node[3]) == 2);
	world_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/mesh/found-through-a-seed", test_found_through_a_seed);
	g_test_add_func("/mesh/leader", test_leader);
	g_test_add_func("/mesh/back-again", test_back_again);
	return g_test_run();
}
