/* lib/dispatch: explanations of where a job would go. */
#include <string.h>

#include <jansson.h>

#include "dispatch_test.h"
#include "stubleader.h"

#define ALLOWED_PATH "/allowed/1234567812345678"
#define OTHER_PATH "/renders/0000000000000088"
#define FILL_PATH "/renders/00000000000000f1"
#define BACKLOG_PATH "/renders/00000000000000b1"
#define FULL_MS 800 /* then jobs may be refused */

static struct stub_worker *
add_worker(struct leader *l, const char *name)
{
	struct stub_worker *w = stub_worker_new(l->base, name);

	leader_heartbeat(l, w, false);
	AWAIT(l, w->polls > 1);
	return w;
}

static struct flow_step
tasks(uint32_t count, int64_t millicpus)
{
	return (struct flow_step){ .count = count,
		.resources = { millicpus, 1 << 20, 0 },
		.runtime_ms = 60000 };
}

/* Asks for an explanation; NULL if the request failed. The caller frees it. */
static json_t *
explain(struct leader *l, const char *path, struct flow_step step)
{
	leader_request(l, REQUEST_EXPLAIN, path, leader_spec(step));
	return l->last_result == REQUEST_DONE
	    ? json_loads(l->last_text, 0, NULL)
	    : NULL;
}

static json_t *
first_step(const json_t *explanation)
{
	json_t *step = json_array_get(json_object_get(explanation, "steps"), 0);

	g_assert_nonnull(step);
	return step;
}

static json_int_t
int_of(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	g_assert_true(json_is_integer(v));
	return json_integer_value(v);
}

static const char *
string_of(const json_t *o, const char *key)
{
	return json_string_value(json_object_get(o, key));
}

/* Explains a step and asserts that so many workers are passed over for a
 * reason. */
static void
assert_reason(struct leader *l, const char *path, struct flow_step step,
    const char *reason, int count)
{
	json_t *x = explain(l, path, step);

	g_assert_nonnull(x);
	g_test_message("%s: %s", reason, l->last_text);
	g_assert_cmpint(
	    int_of(json_object_get(first_step(x), "passed_over"), reason), ==,
	    count);
	json_decref(x);
}

static bool
has_reason(struct leader *l, const char *reason)
{
	json_t *x = explain(l, JOB_PATH, tasks(1, 1000));
	bool has =
	    json_object_get(
		json_object_get(first_step(x), "passed_over"), reason) != NULL;

	json_decref(x);
	return has;
}

/* Reports a worker as one of a pool. */
static void
add_in_pool(struct leader *l, const struct stub_worker *w, const char *pool)
{
	struct flow_worker in = { .name = w->name,
		.address = w->address,
		.pool = (char *)pool,
		.started_ms = w->started_ms,
		.capacity = w->capacity };

	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&in));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

/* Guards against an answer without the reason that placement passes a worker
 * over for, of those that depend on the worker alone. */
static void
test_reasons(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	struct flow_step labelled = tasks(1, 1000);

	labelled.label = g_strdup("gpu"); /* leader_spec() takes it */
	assert_reason(l, JOB_PATH, tasks(1, 99000), "resources", 2);
	assert_reason(l, JOB_PATH, tasks(1, 1000), "not-needed", 1);
	assert_reason(l, JOB_PATH, labelled, "label", 2);
	assert_reason(l, ALLOWED_PATH, tasks(1, 1000), "permit-unknown", 2);
	add_in_pool(l, b, "other");
	assert_reason(l, JOB_PATH, tasks(1, 1000), "pool", 1);
	add_in_pool(l, b, "desk");
	leader_heartbeat(l, b, true);
	assert_reason(l, JOB_PATH, tasks(1, 1000), "draining", 1);
	a->unresponsive = true;
	AWAIT(l, has_reason(l, "silent"));
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a limit of tasks per worker that is taken for a lack of
 * resources: of three tasks two are placed, and both workers are in use. */
static void
test_max_per_worker(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	struct flow_step step = tasks(3, 1000);
	json_t *x;

	step.max_per_worker = 1;
	x = explain(l, JOB_PATH, step);
	g_assert_cmpint(int_of(first_step(x), "placed"), ==, 2);
	json_decref(x);
	leader_submit_step(l, JOB_PATH, step);
	AWAIT(l, a->running->len + b->running->len == 2);
	assert_reason(l, JOB_PATH, step, "max-per-worker", 2);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against a worker that fails what it starts being shown as one that the
 * job would get. */
static void
test_excluded(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	json_t *x;

	a->fail_runs = 20;
	leader_submit(l, OTHER_PATH, 8, 1000);
	AWAIT(l, flow_job(l->flow, 0x88)->state == FLOW_FAILED);
	x = explain(l, JOB_PATH, tasks(1, 1000));
	g_assert_cmpint(int_of(first_step(x), "placed"), ==, 0);
	g_assert_cmpint(
	    int_of(json_object_get(first_step(x), "passed_over"), "excluded"),
	    ==, 1);
	json_decref(x);
	a->fail_runs = 0;
	leader_submit(l, FILL_PATH, 4, 1000);
	AWAIT(l, a->running->len == 1);
	g_assert_true(has_reason(l, "probing"));
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against an answer that doesn't say which runs would be stopped for the
 * step, and against the workers of another step's reservation as free. */
static void
test_reserved(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step resumable = tasks(4, 1000);
	struct flow_step gang = tasks(2, 1500);
	json_t *x;

	resumable.checkpointing = true;
	gang.gang = true;
	gang.runtime_ms = 1500;
	leader_submit_step(l, FILL_PATH, resumable);
	AWAIT(l, a->running->len == 4);
	stub_worker_complete_progress(a);
	leader_run_for(l, 800); /* runs are not stopped at their start */
	x = explain(l, OTHER_PATH, gang);
	g_assert_cmpint(int_of(first_step(x), "would_stop"), ==, 3);
	json_decref(x);
	g_assert_cmpint(a->stops, ==, 0);
	l->hold_commands = true; /* so that the gang does not start */
	leader_send(l, REQUEST_SUBMIT, OTHER_PATH, leader_spec(gang));
	leader_apply(l);
	AWAIT(l, a->stops == 3);
	g_assert_true(has_reason(l, "reserved"));
	leader_release_commands(l);
	stub_worker_free(a);
	leader_free(l);
}

/* Adds a queue whose jobs may be late on slow workers, but not on fast ones. */
static void
add_tight_queue(struct leader *l)
{
	struct flow_config c = *flow_config(l->flow);
	struct flow_queue *q = flow_queue_new();

	c.version++;
	c.queues = g_ptr_array_copy(c.queues, NULL, NULL);
	*q = (struct flow_queue){ .refs = 1,
		.name = g_strdup("tight"),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup("/tight/"),
		.pool = g_strdup("desk"),
		.slack_factor = 2,
		.target_ms = 0 };
	g_ptr_array_add(c.queues, q);
	leader_request(l, REQUEST_CONFIG, "", flow_config_encode(&c));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
	g_ptr_array_set_free_func(c.queues, NULL);
	g_ptr_array_unref(c.queues);
	flow_queue_unref(q);
}

/* Guards against a slow worker that is shown as too small: a gang waits for
 * fast workers, which are full. */
static void
test_slow(void)
{
	struct leader *l = leader_new_uneven(1.5);
	struct stub_worker *workers[3];
	struct flow_step gang = tasks(2, 1000);
	json_t *x;

	run_uneven(l, workers);
	add_tight_queue(l);
	leader_run_for(l, 700); /* until the speeds are in effect */
	leader_submit(l, FILL_PATH, 2, 4000);
	AWAIT(l, workers[0]->running->len + workers[1]->running->len == 2);
	gang.gang = true;
	gang.runtime_ms = 2000;
	x = explain(l, "/tight/", gang);
	g_test_message("%s", l->last_text);
	g_assert_cmpstr(
	    string_of(first_step(x), "waits_for"), ==, "fast-workers");
	g_assert_cmpint(
	    int_of(json_object_get(first_step(x), "passed_over"), "slow"), ==,
	    1);
	json_decref(x);
	for (int i = 0; i < 3; i++)
		stub_worker_free(workers[i]);
	leader_free(l);
}

/* Guards against a refused permit that is shown as not asked for, and against
 * a permit that is known but not used. */
static void
test_permits(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	int queries;

	l->policy_connected = true;
	dispatch_process_changed(l->dispatch, 7, true);
	leader_submit_step(l, ALLOWED_PATH, tasks(1, 1000));
	AWAIT(l, l->calls->len == 1);
	leader_deny(l, l->calls->pdata[0]);
	queries = l->queries;
	assert_reason(l, ALLOWED_PATH, tasks(1, 1000), "permit-denied", 1);
	g_assert_cmpint(l->queries, ==, queries);
	stub_worker_free(a);
	leader_free(l);
}

/* Returns a configuration with one organisation that has the key "secret". */
static GBytes *
config_with_cap(struct leader *l, int64_t millicpus)
{
	struct flow_config c = *flow_config(l->flow);
	struct flow_organisation *o = flow_organisation_new();
	GBytes *bytes;

	c.version++;
	o->name = g_strdup("acme");
	o->weight = 1;
	o->cap.millicpus = millicpus;
	g_ptr_array_add(o->keys, g_strdup("secret"));
	c.organisations =
	    g_ptr_array_new_with_free_func(flow_organisation_free);
	g_ptr_array_add(c.organisations, o);
	bytes = flow_config_encode(&c);
	g_ptr_array_unref(c.organisations);
	return bytes;
}

/* Guards against answers that differ from what the key and the cap would give a
 * submission, and against an answer that shows the key. */
static void
test_organisation(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	json_t *x;

	leader_request(l, REQUEST_CONFIG, "", config_with_cap(l, 2000));
	x = explain(l, JOB_PATH, tasks(1, 1000));
	g_assert_cmpstr(string_of(x, "reason"), ==, "key");
	g_assert_cmpint(int_of(x, "status"), ==, 401);
	g_assert_cmpint(int_of(first_step(x), "placed"), ==, 1);
	json_decref(x);
	l->key = "wrong";
	g_assert_null(explain(l, JOB_PATH, tasks(1, 1000)));
	g_assert_cmpuint(l->last_result, ==, REQUEST_UNAUTHENTICATED);
	l->key = "secret";
	x = explain(l, JOB_PATH, tasks(1, 3000));
	g_assert_cmpstr(string_of(x, "reason"), ==, "task-above-cap");
	json_decref(x);
	x = explain(l, JOB_PATH, tasks(4, 1000));
	g_assert_cmpstr(string_of(x, "outcome"), ==, "accepted");
	g_assert_cmpstr(string_of(x, "organisation"), ==, "acme");
	g_assert_cmpint(int_of(first_step(x), "placed"), ==, 2);
	g_assert_cmpint(int_of(first_step(x), "over_cap"), ==, 2);
	g_assert_cmpstr(string_of(first_step(x), "waits_for"), ==, "cap");
	g_assert_null(strstr(l->last_text, "secret"));
	json_decref(x);
	leader_submit(l, OTHER_PATH, 2, 1000);
	AWAIT(l, a->running->len == 2);
	assert_reason(l, JOB_PATH, tasks(1, 1000), "cap", 1);
	l->key = NULL;
	x = explain(l, OTHER_PATH, tasks(1, 1000));
	g_assert_null(json_object_get(x, "job_state"));
	json_decref(x);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against a gang that is shown as placed in part. */
static void
test_gang(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step gang = tasks(5, 1000);
	json_t *x;

	gang.gang = true;
	x = explain(l, JOB_PATH, gang);
	g_assert_cmpint(int_of(first_step(x), "placed"), ==, 0);
	g_assert_cmpint(
	    int_of(json_object_get(first_step(x), "passed_over"), "gang"), ==,
	    1);
	json_decref(x);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against an estimate that ignores the runs that have to end first. */
static void
test_waiting(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	json_t *x;
	const json_t *expected;

	leader_submit(l, FILL_PATH, 4, 1000);
	AWAIT(l, a->running->len == 4);
	x = explain(l, JOB_PATH, tasks(1, 1000));
	expected = json_object_get(x, "expected");
	g_assert_true(json_is_true(json_object_get(x, "waits")));
	g_assert_cmpstr(string_of(first_step(x), "waits_for"), ==, "resources");
	g_assert_cmpint(int_of(expected, "start_in_ms"), >, 30000);
	g_assert_cmpint(int_of(expected, "start_in_ms"), <=, 60000);
	g_assert_cmpint(int_of(expected, "end_in_ms"), >=,
	    int_of(expected, "start_in_ms") + 30000);
	json_decref(x);
	stub_worker_free(a);
	leader_free(l);
}

/* Returns how many tasks the explanation puts on a worker. */
static json_int_t
tasks_on(const json_t *explanation, const char *name)
{
	json_t *workers = json_object_get(first_step(explanation), "workers");
	size_t i;
	const json_t *w;

	json_array_foreach(workers, i,
	    w) if (strcmp(string_of(w, "worker"), name) == 0) return int_of(w,
	    "tasks");
	return 0;
}

/* Guards against a second logic of placement: the submission then gets the
 * workers that the explanation has listed. */
static void
test_as_submitted(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	json_int_t on_a;
	json_int_t on_b;
	json_t *x;

	leader_submit(l, OTHER_PATH, 1, 1500);
	AWAIT(l, a->running->len + b->running->len == 1);
	x = explain(l, JOB_PATH, tasks(5, 1000));
	on_a = tasks_on(x, "a") + a->running->len;
	on_b = tasks_on(x, "b") + b->running->len;
	g_assert_cmpint(on_a + on_b, ==, 6);
	json_decref(x);
	leader_submit(l, JOB_PATH, 5, 1000);
	AWAIT(l, a->running->len + b->running->len == 6);
	g_assert_cmpint((json_int_t)a->running->len, ==, on_a);
	g_assert_cmpint((json_int_t)b->running->len, ==, on_b);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* Guards against an explanation with an effect: a command, a query to the
 * policy service, a run number, a refusal that is remembered or counted. The
 * job is refused the first time that it is submitted, with the retry time that
 * was explained for a first attempt. */
static void
test_changes_nothing(void)
{
	struct leader *l = leader_new_yielding();
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step urgent = tasks(1, 1000);
	uint64_t proposed;
	char *before;
	char *after;
	int queries;
	json_t *x;

	urgent.runtime_ms = 500;
	l->policy_connected = true;
	dispatch_process_changed(l->dispatch, 7, true);
	leader_submit(l, FILL_PATH, 4, 1000);
	AWAIT(l, a->running->len == 4);
	leader_submit(l, BACKLOG_PATH, 10, 1000);
	leader_run_for(l, FULL_MS);
	stub_worker_complete_progress(a);
	proposed = l->proposed;
	queries = l->queries;
	before = registry_render(l->registry);
	for (int i = 0; i < 10; i++) {
		x = explain(l, JOB_PATH, urgent);
		g_assert_cmpstr(string_of(x, "reason"), ==, "overload");
		json_decref(x);
		json_decref(explain(l, ALLOWED_PATH, tasks(3, 1000)));
		json_decref(explain(l, BACKLOG_PATH, tasks(10, 1000)));
	}
	/* The event loop has not run since, so nothing else has counted. */
	after = registry_render(l->registry);
	g_assert_cmpstr(after, ==, before);
	leader_run_for(l, 200);
	g_assert_cmpuint(l->proposed, ==, proposed);
	g_assert_cmpint(l->queries, ==, queries);
	g_assert_null(flow_job(l->flow, JOB));
	g_assert_cmpint(a->stops, ==, 0);
	x = explain(l, JOB_PATH, urgent);
	leader_request(l, REQUEST_SUBMIT, JOB_PATH, leader_spec(urgent));
	g_assert_cmpuint(l->last_result, ==, REQUEST_REFUSED);
	g_assert_cmpint(ABS(l->last_retry_ms - int_of(x, "retry_ms")), <, 500);
	json_decref(x);
	g_free(before);
	g_free(after);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against requests that can't be explained and get no clear answer. */
static void
test_invalid(void)
{
	struct leader *l = leader_new();
	json_t *x;

	g_assert_null(explain(l, "/nowhere/1", tasks(1, 1000)));
	g_assert_cmpuint(l->last_result, ==, REQUEST_NO_QUEUE);
	g_assert_null(explain(l, "/renders/xyz", tasks(1, 1000)));
	g_assert_cmpuint(l->last_result, ==, REQUEST_INVALID);
	leader_request(
	    l, REQUEST_EXPLAIN, JOB_PATH, g_bytes_new_static("x", 1));
	g_assert_cmpuint(l->last_result, ==, REQUEST_INVALID);
	x = explain(l, "/renders/", tasks(1, 1000));
	g_assert_cmpstr(string_of(first_step(x), "waits_for"), ==, "resources");
	g_assert_true(json_is_null(
	    json_object_get(json_object_get(x, "expected"), "start_in_ms")));
	json_decref(x);
	leader_free(l);
}

void
explain_tests_add(void)
{
	g_test_add_func("/dispatch/explain-reasons", test_reasons);
	g_test_add_func(
	    "/dispatch/explain-max-per-worker", test_max_per_worker);
	g_test_add_func("/dispatch/explain-excluded", test_excluded);
	g_test_add_func("/dispatch/explain-reserved", test_reserved);
	g_test_add_func("/dispatch/explain-slow", test_slow);
	g_test_add_func("/dispatch/explain-permits", test_permits);
	g_test_add_func("/dispatch/explain-organisation", test_organisation);
	g_test_add_func("/dispatch/explain-gang", test_gang);
	g_test_add_func("/dispatch/explain-waiting", test_waiting);
	g_test_add_func("/dispatch/explain-as-submitted", test_as_submitted);
	g_test_add_func(
	    "/dispatch/explain-changes-nothing", test_changes_nothing);
	g_test_add_func("/dispatch/explain-invalid", test_invalid);
}
