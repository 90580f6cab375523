#include "inbound.h"

#define CONNECTIONS 3
#define HELD_MAX 100

/* A connection of the tests. */
struct conn {
	struct inbound *in; /* NULL: closed */
	bool closing;
};

static void
close_now(void *arg)
{
	struct conn *c = arg;

	inbound_remove(g_steal_pointer(&c->in));
}

static void
close_later(void *arg)
{
	struct conn *c = arg;

	c->closing = true;
}

static const struct inbound_ops ops = { .close = close_now,
	.close_later = close_later };

static void
open_all(struct conn conn[CONNECTIONS])
{
	inbound_set_limits(CONNECTIONS, HELD_MAX);
	for (int i = 0; i < CONNECTIONS; i++) {
		conn[i].in = inbound_add(&ops, &conn[i]);
		g_assert_nonnull(conn[i].in);
	}
}

static void
close_all(struct conn conn[CONNECTIONS])
{
	for (int i = 0; i < CONNECTIONS; i++)
		if (conn[i].in != NULL)
			close_now(&conn[i]);
}

/* Guards against connections without a request that keep others out. */
static void
test_idle_closed(void)
{
	struct conn conn[CONNECTIONS] = { 0 };
	struct conn more = { 0 };

	open_all(conn);
	inbound_hold(conn[0].in, 1);
	inbound_set_served(conn[1].in);
	more.in = inbound_add(&ops, &more);
	g_assert_nonnull(more.in);
	g_assert_null(conn[2].in);
	close_now(&more);
	close_all(conn);
}

/* Guards against requests in progress that are cut off for new connections. */
static void
test_busy_kept(void)
{
	struct conn conn[CONNECTIONS] = { 0 };
	struct conn more = { 0 };

	open_all(conn);
	for (int i = 0; i < CONNECTIONS; i++)
		inbound_set_busy(conn[i].in, true);
	g_assert_null(inbound_add(&ops, &more));
	inbound_hold(conn[0].in, 2 * HELD_MAX);
	g_assert_false(conn[0].closing);
	close_all(conn);
}

/* Guards against many connections that together hold more than the process
 * may, and against a large request that is cut off for many small idle ones. */
static void
test_holder_closed(void)
{
	struct conn conn[CONNECTIONS] = { 0 };

	open_all(conn);
	inbound_hold(conn[0].in, HELD_MAX / 4);
	inbound_hold(conn[1].in, HELD_MAX / 2);
	g_assert_true(inbound_has_room(HELD_MAX / 4));
	inbound_hold(conn[1].in, HELD_MAX / 2);
	g_assert_true(conn[0].closing);
	g_assert_false(conn[1].closing || conn[2].closing);
	g_assert_false(inbound_is_full());
	close_now(&conn[0]);
	inbound_hold(conn[1].in, -HELD_MAX / 2);
	g_assert_true(inbound_has_room(HELD_MAX / 2));
	close_all(conn);
}

/* Guards against requests that are held after their connections have ended. */
static void
test_requests(void)
{
	inbound_set_limits(CONNECTIONS, HELD_MAX);
	inbound_hold_request(HELD_MAX);
	g_assert_false(inbound_is_full());
	inbound_hold_request(1);
	g_assert_true(inbound_is_full());
	inbound_hold_request(-(HELD_MAX + 1));
	g_assert_true(inbound_has_room(HELD_MAX));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/inbound/idle-closed", test_idle_closed);
	g_test_add_func("/inbound/busy-kept", test_busy_kept);
	g_test_add_func("/inbound/holder-closed", test_holder_closed);
	g_test_add_func("/inbound/requests", test_requests);
	return g_test_run();
}
