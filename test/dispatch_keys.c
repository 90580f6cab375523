/* lib/dispatch with organisations whose keys identify their calls. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

#define OPEN_PATH "/open/00000000000000aa"
#define OPEN_JOB 0xaa
#define BLUE_PATH "/renders/00000000000000b1"
#define BLUE_JOB 0xb1
#define SUSPENDED_MS 700 /* a leader has been replaced by then */

/* The operations of callers. */
static const enum request_op ops[] = { REQUEST_SUBMIT, REQUEST_STATE,
	REQUEST_CANCEL, REQUEST_COUNT };

static struct flow_step
one_task(void)
{
	return (struct flow_step){ .count = 1,
		.resources = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000 };
}

/* Sends a request of a caller and returns its result. */
static uint32_t
call(struct leader *l, const char *key, enum request_op op, const char *path)
{
	l->key = key;
	leader_request(
	    l, op, path, op == REQUEST_SUBMIT ? leader_spec(one_task()) : NULL);
	l->key = NULL;
	return l->last_result;
}

/* Calls with each operation; all must have this result. */
static void
assert_all(struct leader *l, const char *key, enum request_result expected)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++)
		g_assert_cmpuint(
		    call(l, key, ops[i],
			ops[i] == REQUEST_COUNT ? "/renders/" : JOB_PATH),
		    ==, expected);
}

static void
add_organisation(struct flow_config *c, const char *name, const char *key)
{
	struct flow_organisation *o = flow_organisation_new();

	o->name = g_strdup(name);
	o->weight = 1;
	if (key != NULL)
		g_ptr_array_add(o->keys, g_strdup(key));
	g_ptr_array_add(c->organisations, o);
}

/*
 * Encodes the next version of the configuration, with a public queue and the
 * organisations "blue" and "red"; a key that is NULL is left out. Without keys
 * the list of organisations is empty.
 */
static GBytes *
next_config(struct leader *l, const char *blue, const char *red)
{
	struct flow_config c = *flow_config(l->flow);
	struct flow_queue *q = flow_queue_new();
	GBytes *bytes;

	c.version++;
	q->name = g_strdup("open");
	q->host = g_strdup("jobs.example");
	q->prefix = g_strdup("/open/");
	q->pool = g_strdup("desk");
	q->public = true;
	c.queues =
	    g_ptr_array_new_with_free_func((GDestroyNotify)flow_queue_unref);
	g_ptr_array_add(c.queues, flow_config(l->flow)->queues->pdata[0]);
	((struct flow_queue *)c.queues->pdata[0])->refs++;
	g_ptr_array_add(c.queues, q);
	c.organisations =
	    g_ptr_array_new_with_free_func(flow_organisation_free);
	if (blue != NULL || red != NULL) {
		add_organisation(&c, "blue", blue);
		add_organisation(&c, "red", red);
	}
	bytes = flow_config_encode(&c);
	g_ptr_array_unref(c.queues);
	g_ptr_array_unref(c.organisations);
	return bytes;
}

static void
set_keys(struct leader *l, const char *blue, const char *red)
{
	leader_request(l, REQUEST_CONFIG, "", next_config(l, blue, red));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

static struct leader *
leader_with_keys(void)
{
	struct leader *l = leader_new();

	set_keys(l, "blue-1", "red-1");
	return l;
}

/* Guards against a call that is carried out without a key or with an unknown
 * one, and against a proposal on its behalf. */
static void
test_required(void)
{
	struct leader *l = leader_with_keys();
	uint64_t proposed = l->proposed;

	assert_all(l, NULL, REQUEST_UNAUTHENTICATED);
	assert_all(l, "", REQUEST_UNAUTHENTICATED);
	assert_all(l, "blue-2", REQUEST_UNAUTHENTICATED);
	assert_all(l, "blue", REQUEST_UNAUTHENTICATED);
	g_assert_cmpuint(l->proposed, ==, proposed);
	g_assert_null(flow_job(l->flow, JOB));
	/* No queue: the key isn't looked at. */
	g_assert_cmpuint(
	    call(l, NULL, REQUEST_STATE, "/none/1"), ==, REQUEST_NO_QUEUE);
	assert_all(l, "blue-1", REQUEST_DONE);
	g_assert_cmpstr(flow_job(l->flow, JOB)->organisation, ==, "blue");
	/* A job that nobody submitted, and a path that names none. */
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_STATE, "/renders/0000000000000099"), ==,
	    REQUEST_NO_JOB);
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_STATE, "/renders/x"), ==, REQUEST_NO_JOB);
	leader_free(l);
}

/* Guards against a configuration without organisations that asks for keys or
 * that gives a job an owner. */
static void
test_none_configured(void)
{
	struct leader *l = leader_new();

	assert_all(l, "blue-1", REQUEST_DONE);
	assert_all(l, NULL, REQUEST_DONE);
	g_assert_null(flow_job(l->flow, JOB)->organisation);
	leader_free(l);
}

/* Guards against an empty list that counts as none: no key is valid. */
static void
test_empty_list(void)
{
	struct leader *l = leader_new();

	set_keys(l, NULL, NULL);
	g_assert_nonnull(flow_config(l->flow)->organisations);
	assert_all(l, NULL, REQUEST_UNAUTHENTICATED);
	assert_all(l, "blue-1", REQUEST_UNAUTHENTICATED);
	leader_free(l);
}

/* Guards against a public queue that asks for a key, a job that gets an owner
 * without a valid key, and a job of an organisation that is reached without its
 * key by way of the public queue. */
static void
test_public_queue(void)
{
	struct leader *l = leader_with_keys();

	g_assert_cmpuint(
	    call(l, NULL, REQUEST_SUBMIT, OPEN_PATH), ==, REQUEST_DONE);
	g_assert_null(flow_job(l->flow, OPEN_JOB)->organisation);
	g_assert_cmpuint(
	    call(l, NULL, REQUEST_STATE, OPEN_PATH), ==, REQUEST_DONE);
	g_assert_cmpuint(
	    call(l, NULL, REQUEST_COUNT, "/open/"), ==, REQUEST_DONE);
	g_assert_cmpuint(
	    call(l, "unknown", REQUEST_SUBMIT, "/open/00000000000000ab"), ==,
	    REQUEST_DONE);
	g_assert_null(flow_job(l->flow, 0xab)->organisation);
	g_assert_cmpuint(
	    call(l, "red-1", REQUEST_SUBMIT, "/open/00000000000000ac"), ==,
	    REQUEST_DONE);
	g_assert_cmpstr(flow_job(l->flow, 0xac)->organisation, ==, "red");
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	g_assert_cmpuint(call(l, NULL, REQUEST_STATE, "/open/00000000000000b1"),
	    ==, REQUEST_FORBIDDEN);
	g_assert_cmpuint(
	    call(l, NULL, REQUEST_CANCEL, "/open/00000000000000b1"), ==,
	    REQUEST_FORBIDDEN);
	g_assert_false(flow_job_ended(flow_job(l->flow, BLUE_JOB)));
	g_assert_cmpuint(
	    call(l, NULL, REQUEST_CANCEL, OPEN_PATH), ==, REQUEST_DONE);
	leader_free(l);
}

/* Guards against an organisation that sees, repeats or cancels the job of
 * another one. */
static void
test_other_organisation(void)
{
	struct leader *l = leader_with_keys();
	uint64_t proposed;

	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	proposed = l->proposed;
	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++)
		if (ops[i] != REQUEST_COUNT)
			g_assert_cmpuint(call(l, "red-1", ops[i], BLUE_PATH),
			    ==, REQUEST_FORBIDDEN);
	g_assert_cmpuint(l->proposed, ==, proposed);
	g_assert_cmpint(flow_job(l->flow, BLUE_JOB)->state, ==, FLOW_QUEUED);
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_CANCEL, BLUE_PATH), ==, REQUEST_DONE);
	/* The record of the ended job stays the organisation's. */
	g_assert_cmpuint(
	    call(l, "red-1", REQUEST_STATE, BLUE_PATH), ==, REQUEST_FORBIDDEN);
	leader_free(l);
}

/* Guards against jobs that an organisation loses with the key that submitted
 * them, and against jobs from before there were organisations that nobody can
 * reach any more. */
static void
test_rotated(void)
{
	struct leader *l = leader_new();

	g_assert_cmpuint(
	    call(l, NULL, REQUEST_SUBMIT, JOB_PATH), ==, REQUEST_DONE);
	set_keys(l, "blue-1", "red-1");
	g_assert_cmpuint(
	    call(l, "red-1", REQUEST_STATE, JOB_PATH), ==, REQUEST_DONE);
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	set_keys(l, "blue-2", "red-1");
	g_assert_cmpuint(
	    call(l, "blue-2", REQUEST_STATE, BLUE_PATH), ==, REQUEST_DONE);
	g_assert_cmpuint(call(l, "blue-1", REQUEST_STATE, BLUE_PATH), ==,
	    REQUEST_UNAUTHENTICATED);
	/* The key passes to another organisation, the job doesn't. */
	set_keys(l, "blue-2", "blue-1");
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_STATE, BLUE_PATH), ==, REQUEST_FORBIDDEN);
	leader_free(l);
}

/* Guards against a key that still works after its revocation, and against an
 * earlier version of the configuration that restores it. */
static void
test_revoked(void)
{
	struct leader *l = leader_with_keys();
	GBytes *earlier = next_config(l, "blue-1", "red-1");

	set_keys(l, "blue-1", "red-1");
	assert_all(l, "blue-1", REQUEST_DONE);
	set_keys(l, NULL, "red-1");
	assert_all(l, "blue-1", REQUEST_UNAUTHENTICATED);
	leader_request(l, REQUEST_CONFIG, "", earlier);
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	assert_all(l, "blue-1", REQUEST_UNAUTHENTICATED);
	g_assert_cmpuint(
	    call(l, "red-1", REQUEST_COUNT, "/renders/"), ==, REQUEST_DONE);
	set_keys(l, "blue-2", "red-1");
	assert_all(l, "blue-1", REQUEST_UNAUTHENTICATED);
	assert_all(l, "blue-2", REQUEST_DONE);
	leader_free(l);
}

/* Guards against a next leader that checks keys or owners against less than
 * its predecessor did. */
static void
test_takeover(void)
{
	struct leader *l = leader_with_keys();

	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	set_keys(l, "blue-2", "red-1");
	dispatch_resign(l->dispatch);
	g_assert_cmpuint(call(l, "blue-1", REQUEST_STATE, BLUE_PATH), ==,
	    REQUEST_UNAVAILABLE);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, call(l, "blue-2", REQUEST_STATE, BLUE_PATH) == REQUEST_DONE);
	assert_all(l, "blue-1", REQUEST_UNAUTHENTICATED);
	g_assert_cmpuint(
	    call(l, "red-1", REQUEST_STATE, BLUE_PATH), ==, REQUEST_FORBIDDEN);
	leader_free(l);
}

/* Guards against a leader that was replaced and still accepts a key that its
 * successor has revoked: without confirmed leadership it accepts none. */
static void
test_unconfirmed(void)
{
	struct leader *l = leader_with_keys();

	l->unconfirmed = true;
	leader_run_for(l, SUSPENDED_MS);
	assert_all(l, "blue-1", REQUEST_UNAVAILABLE);
	leader_free(l);
}

/* Sends a request for the state of a running job, whose answer is delayed. */
static void
send_state(struct leader *l, const char *key)
{
	int before = l->answers;

	l->awaited = l->requests + 1;
	l->key = key;
	leader_send(l, REQUEST_STATE, BLUE_PATH, NULL);
	l->key = NULL;
	g_assert_cmpint(l->answers, ==, before);
}

static struct stub_worker *
run_job(struct leader *l)
{
	struct stub_worker *w = stub_worker_new(l->base, "a");

	leader_heartbeat(l, w, false);
	g_assert_cmpuint(
	    call(l, "blue-1", REQUEST_SUBMIT, BLUE_PATH), ==, REQUEST_DONE);
	AWAIT(l, w->running->len == 1);
	return w;
}

/* The key is revoked while the answer about the running job is delayed. Guards
 * against a 200 to a revoked key after the acknowledgement. */
static void
test_revoked_before_state(void)
{
	struct leader *l = leader_with_keys();
	struct stub_worker *w = run_job(l);
	int before = l->answers;

	send_state(l, "blue-1");
	leader_send(l, REQUEST_CONFIG, "", next_config(l, "blue-2", "red-1"));
	AWAIT(l, l->answers > before);
	g_assert_cmpuint(l->last_result, ==, REQUEST_UNAUTHENTICATED);
	/* The same when the job ends within the delay. */
	before = l->answers;
	send_state(l, "blue-2");
	leader_send(l, REQUEST_CONFIG, "", next_config(l, "blue-3", "red-1"));
	stub_worker_end(
	    w, &(struct flow_run){ BLUE_JOB, 0, 0, 0, 1 }, AGENT_DONE);
	AWAIT(l, l->answers > before);
	g_assert_cmpuint(l->last_result, ==, REQUEST_UNAUTHENTICATED);
	stub_worker_free(w);
	leader_free(l);
}

/* The leader is suspended while the answer about the running job is delayed;
 * its successor may have revoked the key meanwhile. Guards against a 200 from
 * the state as it was before. */
static void
test_suspended_before_state(void)
{
	struct leader *l = leader_with_keys();
	struct stub_worker *w = run_job(l);
	int before = l->answers;

	send_state(l, "blue-1");
	l->unconfirmed = true;
	g_usleep((gulong)SUSPENDED_MS * 1000);
	AWAIT(l, l->answers > before);
	g_assert_cmpuint(l->last_result, ==, REQUEST_UNAVAILABLE);
	stub_worker_free(w);
	leader_free(l);
}

void
key_tests_add(void)
{
	g_test_add_func("/dispatch/key-required", test_required);
	g_test_add_func("/dispatch/key-none-configured", test_none_configured);
	g_test_add_func("/dispatch/key-empty-list", test_empty_list);
	g_test_add_func("/dispatch/key-public-queue", test_public_queue);
	g_test_add_func(
	    "/dispatch/key-other-organisation", test_other_organisation);
	g_test_add_func("/dispatch/key-rotated", test_rotated);
	g_test_add_func("/dispatch/key-revoked", test_revoked);
	g_test_add_func("/dispatch/key-takeover", test_takeover);
	g_test_add_func("/dispatch/key-unconfirmed", test_unconfirmed);
	g_test_add_func(
	    "/dispatch/key-revoked-before-state", test_revoked_before_state);
	g_test_add_func("/dispatch/key-suspended-before-state",
	    test_suspended_before_state);
}
