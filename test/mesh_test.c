/* Tests of discovery through one seed, and of the choice of the leader. */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

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

#define SYN_RETRY_MS 1000 /* first retransmission of a SYN by the kernel */
#define POWER_ON_MS 300 /* less than that after the first dial */
#define POWER_ON_ROUNDS 5
#define BACKLOG_SOCKETS 4 /* more than a backlog of 0 holds */

static struct sockaddr_in
socket_address(const char *address)
{
	struct sockaddr_in sa;
	int len = sizeof(sa);

	g_assert_cmpint(
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len),
	    ==, 0);
	return sa;
}

static int
socket_new(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* Accepts what is queued; returns whether there was a connection. */
static bool
accept_all(int listener)
{
	bool any = false;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		close(fd);
		any = true;
	}
	return any;
}

/*
 * A node dials an address that answers no SYN, as its backlog is full, until
 * POWER_ON_MS have passed. Returns the time to the connection.
 */
static int64_t
dial_silent_address(void)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *ip = loopback_ip();
	char *address = free_address(ip);
	struct sockaddr_in sa = socket_address(address);
	int listener = socket_new();
	int full[BACKLOG_SOCKETS];
	int64_t start_ms;
	int64_t elapsed_ms;

	g_assert_cmpint(
	    bind(listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(listener, 0), ==, 0);
	for (int i = 0; i < BACKLOG_SOCKETS; i++) {
		full[i] = socket_new();
		(void)connect(full[i], (struct sockaddr *)&sa, sizeof(sa));
	}
	c->base = event_base_new();
	c->node[0].address = address;
	c->node[1].name = g_strdup("m1");
	c->node[1].address = free_address(ip);
	node_open(c, 1, true);
	start_ms = mono_ms();
	while (mono_ms() - start_ms < POWER_ON_MS)
		run_loop(c);
	for (int i = 0; i < BACKLOG_SOCKETS; i++)
		close(full[i]);
	(void)accept_all(listener);
	AWAIT(c, accept_all(listener));
	elapsed_ms = mono_ms() - start_ms;
	close(listener);
	cluster_free(c);
	g_free(ip);
	return elapsed_ms;
}

/*
 * After a loss of power the processes start one after the other. The first
 * reach the last soon after that one's start and don't wait for the kernel.
 */
static void
test_power_on(void)
{
	int64_t best_ms = INT64_MAX;

	/* A busy machine may delay a round. */
	for (int i = 0; i < POWER_ON_ROUNDS && best_ms >= SYN_RETRY_MS; i++)
		best_ms = MIN(best_ms, dial_silent_address());
	g_assert_cmpint(best_ms, <, SYN_RETRY_MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mesh/discovery-by-seed", test_discovery_by_seed);
	g_test_add_func("/mesh/leader", test_leader);
	g_test_add_func("/mesh/reconnect", test_reconnect);
	g_test_add_func("/mesh/power-on", test_power_on);
	return g_test_run();
}
