/* Tests that requests reach a leader, and that a dropped one is answered
 * REQUEST_UNAVAILABLE only if no leader can have carried it out. */
#include <string.h>

#include "gate.h"

#define LONG_MS 3600000 /* does not expire while the test runs */

/* A stand-in for the leader and its caller. */
struct leader {
	bool reachable;
	bool accepts; /* false: answers REQUEST_UNAVAILABLE */
	bool answers; /* at once, with REQUEST_DONE */
	struct gate *gate;
	int requests;
	uint64_t last;
	char *credential; /* of the last request */
	int answers_received;
	uint32_t result;
};

static void
answer(struct leader *l, uint64_t id, enum request_result result)
{
	struct answer a = {
		.id = id, .result = result, .text = g_bytes_new_static("", 0)
	};

	gate_answer(l->gate, &a);
	g_bytes_unref(a.text);
}

static bool
on_send(void *arg, const struct request *request)
{
	struct leader *l = arg;

	if (!l->reachable)
		return false;
	l->requests++;
	l->last = request->id;
	g_free(l->credential);
	l->credential = g_strdup(request->credential);
	if (!l->accepts)
		answer(l, request->id, REQUEST_UNAVAILABLE);
	else if (l->answers)
		answer(l, request->id, REQUEST_DONE);
	return true;
}

static void
on_answer(void *arg, const struct answer *a)
{
	struct leader *l = arg;

	l->answers_received++;
	l->result = a->result;
}

static void
forward(struct leader *l, int64_t timeout_ms)
{
	struct request in = { .op = REQUEST_SUBMIT,
		.path = (char *)"/renders/1" };

	gate_forward(l->gate, &in, timeout_ms, on_answer, l);
}

static struct leader
setup(void)
{
	struct leader l = { .reachable = true, .accepts = true };

	return l;
}

static void
test_answered(void)
{
	struct leader l = setup();

	l.answers = true;
	l.gate = gate_new(on_send, &l);
	forward(&l, LONG_MS);
	g_assert_cmpint(l.answers_received, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	g_assert_cmpuint(gate_pending(l.gate), ==, 0);
	gate_free(l.gate);
}

/* Without a leader, a request waits for one. */
static void
test_waits_for_leader(void)
{
	struct leader l = setup();

	l.reachable = false;
	l.gate = gate_new(on_send, &l);
	forward(&l, LONG_MS);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpint(l.answers_received, ==, 0);
	l.reachable = l.answers = true;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	gate_free(l.gate);
}

static void
test_never_sent(void)
{
	struct leader l = setup();

	l.reachable = false;
	l.gate = gate_new(on_send, &l);
	forward(&l, 100);
	gate_tick(l.gate, mono_ms() + 200);
	g_assert_cmpint(l.answers_received, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNAVAILABLE);
	gate_free(l.gate);
}

/* A leader that got a request is lost. The next one answers that it is
 * unavailable, but the first may have carried the request out. */
static void
test_unclear(void)
{
	struct leader l = setup();

	l.gate = gate_new(on_send, &l);
	forward(&l, 1000);
	g_assert_cmpint(l.requests, ==, 1);
	l.accepts = false;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpint(l.requests, ==, 2);
	gate_tick(l.gate, mono_ms() + 2000);
	g_assert_cmpint(l.answers_received, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNKNOWN);
	gate_free(l.gate);
}

/* All replicas lose power: what waits for them and what comes afterwards is
 * refused before its timeout, and served again once they are back. */
static void
test_replicas_lost(void)
{
	struct leader l = setup();
	int64_t now = mono_ms();

	l.reachable = false;
	l.gate = gate_new(on_send, &l);
	gate_set_connected(l.gate, false, now);
	forward(&l, LONG_MS);
	gate_tick(l.gate, now + GATE_RECONNECT_MS - 1);
	g_assert_cmpint(l.answers_received, ==, 0);
	gate_tick(l.gate, now + GATE_RECONNECT_MS);
	g_assert_cmpint(l.answers_received, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNAVAILABLE);
	gate_set_connected(l.gate, true, now);
	gate_set_connected(l.gate, false, now - GATE_RECONNECT_MS);
	forward(&l, LONG_MS);
	g_assert_cmpint(l.answers_received, ==, 2);
	gate_set_connected(l.gate, true, now);
	forward(&l, LONG_MS);
	gate_tick(l.gate, now + LONG_MS / 2);
	g_assert_cmpint(l.answers_received, ==, 2);
	l.reachable = l.answers = true;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpint(l.answers_received, ==, 3);
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	gate_free(l.gate);
}

/* A request that a lost leader may have carried out waits for the next one,
 * which can tell. */
static void
test_replicas_lost_unclear(void)
{
	struct leader l = setup();
	int64_t now = mono_ms();

	l.gate = gate_new(on_send, &l);
	forward(&l, LONG_MS);
	l.reachable = false;
	gate_leader_changed(l.gate);
	gate_set_connected(l.gate, false, now);
	gate_tick(l.gate, now + 2 * GATE_RECONNECT_MS);
	g_assert_cmpint(l.answers_received, ==, 0);
	gate_set_connected(l.gate, true, now + 2 * GATE_RECONNECT_MS);
	l.reachable = l.answers = true;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	gate_free(l.gate);
}

/* A request waits for a leader, is refused by one and lost with the next: it
 * has its own copy of the key each time. Guards against a call with a valid key
 * that is answered 401 because a leader was lost, and against one without a key
 * that gets the key of another. */
static void
test_credential_kept(void)
{
	struct leader l = setup();
	char key[] = "key-1";
	struct request in = { .op = REQUEST_SUBMIT,
		.path = (char *)"/renders/1",
		.credential = key };

	l.reachable = false;
	l.gate = gate_new(on_send, &l);
	gate_forward(l.gate, &in, LONG_MS, on_answer, &l);
	memset(key, 'x', sizeof(key) - 1);
	l.reachable = true;
	l.accepts = false;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpstr(l.credential, ==, "key-1");
	l.accepts = true;
	gate_tick(l.gate, mono_ms() + 1000);
	g_assert_cmpint(l.requests, ==, 2);
	g_assert_cmpstr(l.credential, ==, "key-1");
	l.answers = true;
	gate_leader_changed(l.gate);
	gate_tick(l.gate, mono_ms());
	g_assert_cmpint(l.requests, ==, 3);
	g_assert_cmpstr(l.credential, ==, "key-1");
	g_assert_cmpint(l.answers_received, ==, 1);
	forward(&l, LONG_MS);
	g_assert_cmpint(l.requests, ==, 4);
	g_assert_null(l.credential);
	gate_free(l.gate);
	g_free(l.credential);
}

/* The refusal of a key is final. Guards against a gate that sends the request
 * again until it times out, as with a leader that is unavailable. */
static void
test_unauthenticated(void)
{
	struct leader l = setup();

	l.gate = gate_new(on_send, &l);
	forward(&l, LONG_MS);
	answer(&l, l.last, REQUEST_UNAUTHENTICATED);
	g_assert_cmpint(l.answers_received, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNAUTHENTICATED);
	forward(&l, LONG_MS);
	answer(&l, l.last, REQUEST_FORBIDDEN);
	g_assert_cmpint(l.answers_received, ==, 2);
	g_assert_cmpuint(l.result, ==, REQUEST_FORBIDDEN);
	g_assert_cmpuint(gate_pending(l.gate), ==, 0);
	gate_free(l.gate);
}

/* Guards against a process that stops without an answer to the requests that
 * it forwards: those in progress, and those that still arrive. */
static void
test_closed(void)
{
	struct leader l = setup();

	l.gate = gate_new(on_send, &l);
	forward(&l, LONG_MS);
	l.reachable = false;
	forward(&l, LONG_MS);
	g_assert_cmpint(l.answers_received, ==, 0);
	gate_close(l.gate);
	g_assert_cmpint(l.answers_received, ==, 2);
	l.reachable = true;
	forward(&l, LONG_MS);
	g_assert_cmpint(l.answers_received, ==, 3);
	g_assert_cmpuint(l.result, ==, REQUEST_UNAVAILABLE);
	g_assert_cmpint(l.requests, ==, 1);
	g_assert_cmpuint(gate_pending(l.gate), ==, 0);
	gate_free(l.gate);
	g_free(l.credential);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gate/answered", test_answered);
	g_test_add_func("/gate/waits-for-leader", test_waits_for_leader);
	g_test_add_func("/gate/never-sent", test_never_sent);
	g_test_add_func("/gate/unclear", test_unclear);
	g_test_add_func("/gate/replicas-lost", test_replicas_lost);
	g_test_add_func(
	    "/gate/replicas-lost-unclear", test_replicas_lost_unclear);
	g_test_add_func("/gate/credential-kept", test_credential_kept);
	g_test_add_func("/gate/unauthenticated", test_unauthenticated);
	g_test_add_func("/gate/closed", test_closed);
	return g_test_run();
}
