/* lib/dispatch and what workers report of their runs. */
#include <string.h>

#include "dispatch_test.h"
#include "stubleader.h"

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };
static const struct flow_run second_run = { JOB, 0, 0, 0, 2 };

static void
set_checkpoint(struct stub_worker *w, const char *checkpoint)
{
	g_free(w->checkpoint);
	w->checkpoint = g_strdup(checkpoint);
}

/* Guards against replicas that can't apply an end that was committed, as its
 * checkpoint is longer than they accept. */
static void
test_checkpoint_too_long(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	char *text = g_strnfill(FLOW_CHECKPOINT_MAX + 1, 'x');
	const struct flow_task *task;

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	set_checkpoint(a, "short");
	AWAIT(l, a->polls > 2);
	set_checkpoint(a, text);
	stub_worker_end(a, &first_run, AGENT_STOPPED);
	AWAIT(l, stub_worker_runs(a, &second_run));
	task = flow_task(l->flow, &second_run, NULL);
	g_assert_cmpstr(task->checkpoint, ==, "short");
	g_assert_cmpuint(a->max_acked, ==, 1);
	text[FLOW_CHECKPOINT_MAX] = '\0';
	set_checkpoint(a, text);
	stub_worker_end(a, &second_run, AGENT_STOPPED);
	AWAIT(l, a->max_acked == 2);
	g_assert_cmpstr(task->checkpoint, ==, text);
	g_free(text);
	stub_worker_free(a);
	leader_free(l);
}

#define POLL_PAUSE_MS 100 /* the least, after a report with odd rows */
#define TASKS (2 * STUB_ENDS_MAX + 1)

/* Guards against runs that are taken for lost and started again, after they
 * have ended as done, when a worker has more ends to list than fit into one
 * answer. */
static void
test_ends_cut(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, TASKS, 100);
	AWAIT(l, a->running->len == TASKS);
	/* They end while no answer gets through. */
	AWAIT(l, a->poll != NULL);
	a->unresponsive = true;
	g_ptr_array_add(a->unanswered, g_steal_pointer(&a->poll));
	leader_run_for(l, 300);
	for (uint32_t i = 0; i < TASKS; i++) {
		struct flow_run id = { JOB, 0, 0, i, 1 };

		stub_worker_end(a, &id, AGENT_DONE);
	}
	a->unresponsive = false;
	AWAIT(l, a->max_acked == TASKS);
	g_assert_cmpint(a->starts, ==, TASKS);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against an end with a number that is too large, after which no end of
 * the worker is taken note of, all are forgotten by it, or it is polled without
 * a pause. */
static void
test_odd_end_number(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct agent_end odd = { .number = UINT64_C(1) << 62,
		.id = { 0x77, 0, 0, 0, 1 },
		.outcome = AGENT_DONE };
	int64_t begin_ms;
	int polls;

	leader_heartbeat(l, a, false);
	g_array_append_val(a->ends, odd);
	AWAIT(l, a->polls > 2);
	begin_ms = mono_ms();
	polls = a->polls;
	leader_run_for(l, 1000);
	g_assert_cmpint(
	    a->polls - polls, <=, (mono_ms() - begin_ms) / POLL_PAUSE_MS + 1);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	odd = (struct agent_end){
		.number = ++a->last_end, .id = first_run, .outcome = AGENT_DONE
	};
	g_array_remove_index(a->running, 0);
	g_array_prepend_val(a->ends, odd);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	AWAIT(l, a->max_acked > 0);
	g_assert_cmpuint(a->max_acked, ==, 1);
	g_assert_cmpint(a->starts, ==, 1);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against an entry with a port out of range, new or in the log of an
 * earlier version, that ends each replica that leads. */
static void
test_odd_address(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_worker odd = { .name = (char *)"odd",
		.address = (char *)"10.0.0.1:99999",
		.pool = (char *)"desk",
		.started_ms = a->started_ms,
		.capacity = { 4000, 1 << 30, 0 } };
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER, .u.worker = odd };
	enum flow_apply_result outcome;
	GBytes *bytes = flow_cmd_encode(&cmd);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	leader_request(l, REQUEST_WORKER, "", flow_worker_encode(&odd));
	g_assert_cmpuint(l->last_result, ==, REQUEST_INVALID);
	g_assert_null(flow_worker_named(l->flow, "odd"));
	dispatch_resign(l->dispatch);
	g_assert_true(flow_apply(l->flow, data, len, &outcome, NULL));
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, flow_worker_named(l->flow, "odd") == NULL);
	leader_heartbeat(l, a, false);
	leader_submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	g_bytes_unref(bytes);
	stub_worker_free(a);
	leader_free(l);
}

void
report_tests_add(void)
{
	g_test_add_func(
	    "/dispatch/checkpoint-too-long", test_checkpoint_too_long);
	g_test_add_func("/dispatch/ends-cut", test_ends_cut);
	g_test_add_func("/dispatch/odd-end-number", test_odd_end_number);
	g_test_add_func("/dispatch/odd-address", test_odd_address);
}
