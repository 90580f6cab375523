/* Asks on their way: what is said of those that are given up is true. */
#include <string.h>

#include "gate.h"

#define LONG_MS 3600000 /* not over while the test runs */

struct leader {
	bool there;
	bool takes; /* or says that it can't yet */
	bool answers;
	struct gate *gate;
	int handed;
	uint64_t last;
	int answered;
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
on_hand(void *arg, const struct request *ask)
{
	struct leader *l = arg;

	if (!l->there)
		return false;
	l->handed++;
	l->last = ask->id;
	if (!l->takes)
		answer(l, ask->id, REQUEST_UNAVAILABLE);
	else if (l->answers)
		answer(l, ask->id, REQUEST_DONE);
	return true;
}

static void
on_answer(void *arg, const struct answer *a)
{
	struct leader *l = arg;

	l->answered++;
	l->result = a->result;
}

static void
ask(struct leader *l, int64_t timeout_ms)
{
	struct request in = { .op = REQUEST_SUBMIT,
		.path = (char *)"/renders/1" };

	gate_ask(l->gate, &in, timeout_ms, on_answer, l);
}

static struct leader
setup(void)
{
	struct leader l = { .there = true, .takes = true };

	return l;
}

static void
test_answered(void)
{
	struct leader l = setup();

	l.answers = true;
	l.gate = gate_new(on_hand, &l);
	ask(&l, LONG_MS);
	g_assert_cmpint(l.answered, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	g_assert_cmpuint(gate_pending(l.gate), ==, 0);
	gate_free(l.gate);
}

/* No leader at first: the ask waits for one. */
static void
test_waits(void)
{
	struct leader l = setup();

	l.there = false;
	l.gate = gate_new(on_hand, &l);
	ask(&l, LONG_MS);
	gate_scan(l.gate, mono_ms());
	g_assert_cmpint(l.answered, ==, 0);
	l.there = l.answers = true;
	gate_moved(l.gate);
	gate_scan(l.gate, mono_ms());
	g_assert_cmpuint(l.result, ==, REQUEST_DONE);
	gate_free(l.gate);
}

static void
test_never_taken(void)
{
	struct leader l = setup();

	l.there = false;
	l.gate = gate_new(on_hand, &l);
	ask(&l, 100);
	gate_scan(l.gate, mono_ms() + 200);
	g_assert_cmpint(l.answered, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNAVAILABLE);
	gate_free(l.gate);
}

/* A leader is lost with an ask; that the next one is not ready for it does
 * not tell that the first has not carried it out. */
static void
test_unclear(void)
{
	struct leader l = setup();

	l.gate = gate_new(on_hand, &l);
	ask(&l, 1000);
	g_assert_cmpint(l.handed, ==, 1);
	l.takes = false;
	gate_moved(l.gate);
	gate_scan(l.gate, mono_ms());
	g_assert_cmpint(l.handed, ==, 2);
	gate_scan(l.gate, mono_ms() + 2000);
	g_assert_cmpint(l.answered, ==, 1);
	g_assert_cmpuint(l.result, ==, REQUEST_UNKNOWN);
	gate_free(l.gate);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gate/answered", test_answered);
	g_test_add_func("/gate/waits", test_waits);
	g_test_add_func("/gate/never-taken", test_never_taken);
	g_test_add_func("/gate/unclear", test_unclear);
	return g_test_run();
}
