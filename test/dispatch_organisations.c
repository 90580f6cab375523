/* lib/dispatch with organisations: caps on what they have running, shares of
 * the workers, and the rate of their jobs. */
#include <string.h>

#include "counter.h"
#include "dispatch_test.h"
#include "stubleader.h"

#define GANG 0x77
#define GANG_PATH "/renders/0000000000000077"
#define OTHER_PATH "/renders/0000000000000088"

static const char *const small_paths[] = { "/renders/0000000000003000",
	"/renders/0000000000003001", "/renders/0000000000003002",
	"/renders/0000000000003003" };

static const struct flow_run gang_member = { GANG, 0, 0, 0, 1 };

static struct flow_organisation *
organisation_new(const char *name, struct resources cap)
{
	struct flow_organisation *o = flow_organisation_new();

	o->name = g_strdup(name);
	o->weight = 1;
	o->cap = cap;
	g_ptr_array_add(o->keys, g_strdup_printf("key-of-%s", name));
	return o;
}

/* The next version of the configuration: "acme" has the cap, "other" none. */
static GBytes *
next_config(struct leader *l, struct resources cap)
{
	struct flow_config c = *flow_config(l->flow);
	GBytes *bytes;

	c.version++;
	c.organisations =
	    g_ptr_array_new_with_free_func(flow_organisation_free);
	g_ptr_array_add(c.organisations, organisation_new("acme", cap));
	g_ptr_array_add(c.organisations,
	    organisation_new("other", (struct resources){ 0 }));
	bytes = flow_config_encode(&c);
	g_ptr_array_unref(c.organisations);
	return bytes;
}

static void
set_cap(struct leader *l, struct resources cap)
{
	leader_request(l, REQUEST_CONFIG, "", next_config(l, cap));
	g_assert_cmpuint(l->last_result, ==, REQUEST_DONE);
}

static void
set_cap_millicpus(struct leader *l, int64_t millicpus)
{
	set_cap(l, (struct resources){ .millicpus = millicpus });
}

static struct leader *
leader_with_cap(int64_t millicpus)
{
	struct leader *l = leader_new();

	set_cap_millicpus(l, millicpus);
	return l;
}

static struct stub_worker *
add_worker(struct leader *l, const char *name)
{
	struct stub_worker *w = stub_worker_new(l->base, name);

	leader_heartbeat(l, w, false);
	AWAIT(l, w->polls > 1);
	return w;
}

/* Sends a request with the key of an organisation; takes body. */
static void
send_as(struct leader *l, const char *organisation, enum request_op op,
    const char *path, GBytes *body)
{
	char *key = g_strdup_printf("key-of-%s", organisation);
	struct request a = { .id = ++l->requests,
		.op = op,
		.host = (char *)"jobs.example",
		.path = (char *)path,
		.body = body,
		.credential = key };

	l->awaited = a.id;
	dispatch_handle_request(l->dispatch, 0, &a);
	g_bytes_unref(body);
	g_free(key);
}

static uint32_t
request_as(struct leader *l, const char *organisation, enum request_op op,
    const char *path, GBytes *body)
{
	int before = l->answers;

	send_as(l, organisation, op, path, body);
	AWAIT(l, l->answers > before);
	return l->last_result;
}

/* Submits a job of one step. */
static uint32_t
submit(struct leader *l, const char *organisation, const char *path,
    struct flow_step step)
{
	return request_as(
	    l, organisation, REQUEST_SUBMIT, path, leader_spec(step));
}

static struct flow_step
tasks(uint32_t count, int64_t millicpus)
{
	return (struct flow_step){ .count = count,
		.resources = { millicpus, 1 << 20, 0 },
		.runtime_ms = 60000 };
}

/* Urgent, so that it goes before tasks(). */
static struct flow_step
gang(uint32_t count, int64_t millicpus)
{
	return (struct flow_step){ .count = count,
		.resources = { millicpus, 1 << 20, 0 },
		.runtime_ms = 1500,
		.gang = true };
}

static void
submit_accepted(struct leader *l, const char *organisation, const char *path,
    struct flow_step step)
{
	g_assert_cmpuint(submit(l, organisation, path, step), ==, REQUEST_DONE);
}

/* Ends the run that started first; all report full progress, so that none is
 * stopped as stuck. */
static void
end_first(struct stub_worker *w)
{
	struct flow_run id = g_array_index(w->running, struct stub_run, 0).id;

	stub_worker_end(w, &id, AGENT_DONE);
}

static void
complete_progress(struct stub_worker *w)
{
	for (guint i = 0; i < w->running->len; i++)
		g_array_index(w->running, struct stub_run, i).percent = 100;
}

/* Lets the leader run and checks that no more than so many tasks run on both
 * workers. */
static void
run_and_check(struct leader *l, const struct stub_worker *a,
    const struct stub_worker *b, guint most, int64_t ms)
{
	int64_t until = mono_ms() + ms;

	while (mono_ms() < until) {
		g_assert_cmpuint(a->running->len + b->running->len, <=, most);
		leader_run(l);
	}
}

/* An organisation has tasks on two workers that each have room for more: it
 * exceeded its cap on measured days, as nothing counted them together. */
static void
test_over_workers(void)
{
	struct leader *l = leader_with_cap(5000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");

	submit_accepted(l, "acme", JOB_PATH, tasks(9, 1000));
	AWAIT(l, a->running->len + b->running->len == 5);
	run_and_check(l, a, b, 5, 400);
	end_first(a);
	AWAIT(l, a->running->len + b->running->len == 5);
	run_and_check(l, a, b, 5, 400);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* The cap of one organisation doesn't hold back another, nor a job that was
 * submitted without a key. */
static void
test_other_organisations(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");

	leader_submit(l, OTHER_PATH, 2, 1000);
	set_cap_millicpus(l, 1000);
	submit_accepted(l, "acme", JOB_PATH, tasks(9, 1000));
	submit_accepted(
	    l, "other", "/renders/0000000000000099", tasks(9, 1000));
	AWAIT(l, a->running->len + b->running->len == 8);
	g_assert_cmpuint(flow_job(l->flow, JOB)->assigned, ==, 1);
	g_assert_cmpuint(flow_job(l->flow, 0x99)->assigned, ==, 5);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* The leader is lost after it committed starts whose orders got no answer. The
 * next one counts them before it places anything. */
static void
test_takeover(void)
{
	struct leader *l = leader_with_cap(2000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");

	a->hold_starts = b->hold_starts = 1000;
	submit_accepted(l, "acme", JOB_PATH, tasks(6, 1000));
	AWAIT(l, a->starts + b->starts >= 2);
	dispatch_resign(l->dispatch);
	a->hold_starts = b->hold_starts = 0;
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, a->running->len + b->running->len == 2);
	run_and_check(l, a, b, 2, 600);
	g_assert_cmpuint(flow_job(l->flow, JOB)->assigned, ==, 2);
	g_assert_cmpint(a->stops + b->stops, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* The cap is lowered below what runs: that runs on, and nothing starts until
 * it fits. */
static void
test_lowered(void)
{
	struct leader *l = leader_with_cap(4000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");

	submit_accepted(l, "acme", JOB_PATH, tasks(8, 1000));
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
	set_cap_millicpus(l, 2000);
	end_first(a);
	run_and_check(l, a, b, 3, 300);
	g_assert_cmpuint(a->running->len, ==, 3);
	end_first(a);
	run_and_check(l, a, b, 2, 300);
	end_first(a);
	AWAIT(l, a->running->len + b->running->len == 2);
	run_and_check(l, a, b, 2, 300);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* The cap is lowered between the decision to start runs and their orders: those
 * that don't fit any more are not ordered. */
static void
test_lowered_before_order(void)
{
	struct leader *l = leader_with_cap(4000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	GBytes *lowered = next_config(l, (struct resources){ 1000, 0, 0 });
	uint64_t proposed;

	l->hold_commands = true;
	send_as(
	    l, "acme", REQUEST_SUBMIT, JOB_PATH, leader_spec(tasks(3, 1000)));
	leader_send(l, REQUEST_CONFIG, "", lowered);
	leader_apply(l);
	proposed = l->proposed;
	AWAIT(l, l->proposed > proposed);
	leader_release_commands(l);
	AWAIT(l, a->running->len + b->running->len == 1);
	run_and_check(l, a, b, 1, 400);
	g_assert_cmpint(a->starts + b->starts, ==, 1);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A worker falls silent: its runs may go on until its lease is over, and count
 * as long. */
static void
test_silent_worker(void)
{
	struct leader *l = leader_with_cap(2000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b;
	int64_t lease_until_ms;

	submit_accepted(l, "acme", JOB_PATH, tasks(6, 1000));
	AWAIT(l, a->running->len == 2);
	b = add_worker(l, "b");
	lease_until_ms = a->lease_until_ms;
	a->unresponsive = true;
	AWAIT(l, b->starts > 0);
	g_assert_cmpint(mono_ms(), >, lease_until_ms);
	AWAIT(l, b->running->len == 2);
	leader_run_for(l, 300);
	g_assert_cmpuint(b->running->len, ==, 2);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A gang that fits under the cap by itself waits behind small tasks of its
 * organisation. These don't take each core that becomes free, or the gang would
 * never start. */
static void
test_gang_turn(void)
{
	struct leader *l = leader_with_cap(4000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");

	for (int i = 0; i < 4; i++)
		submit_accepted(l, "acme", small_paths[i], tasks(1, 1000));
	AWAIT(l, a->running->len + b->running->len == 4);
	complete_progress(a);
	complete_progress(b);
	submit_accepted(l, "acme", JOB_PATH, tasks(40, 1000));
	submit_accepted(l, "acme", GANG_PATH, gang(3, 1000));
	/* Cancelled, as runs that end change the estimated run time, and with
	 * it the order. */
	for (guint left = 3; left >= 1; left--) {
		g_assert_cmpuint(
		    request_as(l, "acme", REQUEST_CANCEL, small_paths[left],
			g_bytes_new_static("", 0)),
		    ==, REQUEST_DONE);
		AWAIT(l, (guint)(a->stops + b->stops) == 4 - left);
		if (left > 1)
			run_and_check(l, a, b, left, 200);
	}
	AWAIT(l,
	    stub_worker_runs(a, &gang_member) ||
		stub_worker_runs(b, &gang_member));
	AWAIT(l, a->running->len + b->running->len == 4);
	g_assert_cmpint(a->stops + b->stops, ==, 3);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A gang that doesn't fit beside a long-running task of its organisation would
 * wait for ever: it doesn't hold back what fits. */
static void
test_gang_beside_service(void)
{
	struct leader *l = leader_with_cap(3000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	struct flow_step service = tasks(1, 1000);

	service.long_running = true;
	submit_accepted(l, "acme", OTHER_PATH, service);
	AWAIT(l, a->running->len + b->running->len == 1);
	submit_accepted(l, "acme", GANG_PATH, gang(3, 1000));
	submit_accepted(l, "acme", JOB_PATH, tasks(9, 1000));
	/* Before the gang can't be on time and goes behind the others. */
	leader_run_for(l, 1000);
	g_assert_cmpuint(a->running->len + b->running->len, ==, 3);
	g_assert_cmpuint(flow_job(l->flow, JOB)->assigned, ==, 2);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* While the policy service is queried for a gang, the tasks of its organisation
 * don't take the room that the gang waited for. */
static void
test_gang_permit(void)
{
	struct leader *l = leader_with_cap(4000);
	struct stub_worker *a = add_worker(l, "a");
	struct stub_worker *b = add_worker(l, "b");
	struct stub_worker *c = add_worker(l, "c");

	submit_accepted(l, "acme", OTHER_PATH, tasks(1, 2000));
	submit_accepted(l, "acme", JOB_PATH, tasks(40, 2000));
	AWAIT(l, a->running->len + b->running->len + c->running->len == 2);
	l->policy_connected = true;
	dispatch_process_changed(l->dispatch, 1, true);
	submit_accepted(l, "acme", "/allowed/0000000000000077", gang(2, 1000));
	leader_run_for(l, 200);
	/* Blocked by the cap: its permits would expire before it can start. */
	g_assert_cmpint(l->queries, ==, 0);
	g_assert_cmpuint(request_as(l, "acme", REQUEST_CANCEL, OTHER_PATH,
			     g_bytes_new_static("", 0)),
	    ==, REQUEST_DONE);
	AWAIT(l, l->queries > 0);
	/* Its answer is awaited for 430 ms. */
	leader_run_for(l, 300);
	g_assert_cmpuint(flow_job(l->flow, JOB)->assigned, ==, 1);
	stub_worker_free(a);
	stub_worker_free(b);
	stub_worker_free(c);
	leader_free(l);
}

/* A step that waits for its cap has no use for the resources of others: it
 * stops no runs and reserves no workers. */
static void
test_no_preemption(void)
{
	struct leader *l = leader_with_cap(3000);
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step resumable = tasks(3, 1000);

	resumable.checkpointing = true;
	submit_accepted(l, "acme", JOB_PATH, tasks(1, 1000));
	AWAIT(l, a->running->len == 1);
	submit_accepted(l, "other", OTHER_PATH, resumable);
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
	submit_accepted(l, "acme", GANG_PATH, gang(3, 1000));
	leader_run_for(l, 1500);
	g_assert_cmpint(a->stops, ==, 0);
	g_assert_cmpuint(a->running->len, ==, 4);
	stub_worker_free(a);
	leader_free(l);
}

/* A job that can't start under the cap, ever, is refused at once rather than
 * accepted and never finished. */
static void
test_never_fits(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = add_worker(l, "a");
	char *metrics;

	set_cap(l, (struct resources){ 3000, 8 << 20, 0 });
	g_assert_cmpuint(
	    submit(l, "acme", GANG_PATH, gang(4, 1000)), ==, REQUEST_REFUSED);
	g_assert_cmpint(l->last_retry_ms, >, 0);
	g_assert_cmpstr(l->last_text, ==, "gang-above-cap");
	g_assert_cmpuint(
	    submit(l, "acme", GANG_PATH, tasks(1, 3001)), ==, REQUEST_REFUSED);
	g_assert_cmpstr(l->last_text, ==, "task-above-cap");
	g_assert_cmpuint(submit(l, "acme", GANG_PATH,
			     (struct flow_step){
				 .count = 1, .resources = { 1, 9 << 20, 0 } }),
	    ==, REQUEST_REFUSED);
	g_assert_null(flow_job(l->flow, GANG));
	/* Refusals for the cap were shown as refusals for overload. */
	metrics = registry_render(l->registry);
	g_assert_nonnull(strstr(
	    metrics, "bulrushtide_step_jobs_refused_total{why=\"cap\"} 3"));
	g_free(metrics);
	submit_accepted(l, "other", GANG_PATH, gang(4, 1000));
	submit_accepted(l, "acme", JOB_PATH, tasks(4, 1000));
	AWAIT(l, a->running->len == 4);
	stub_worker_free(a);
	leader_free(l);
}

/* Guards against the answer "has not run" for a job whose first request is
 * being committed, when its sender has sent it again after the cap was lowered
 * below what the job needs. */
static void
test_lowered_before_commit(void)
{
	struct leader *l = leader_with_cap(4000);
	struct stub_worker *a = add_worker(l, "a");

	l->hold_commands = true;
	leader_send(l, REQUEST_CONFIG, "",
	    next_config(l, (struct resources){ 1000, 0, 0 }));
	send_as(
	    l, "acme", REQUEST_SUBMIT, JOB_PATH, leader_spec(tasks(1, 2000)));
	leader_apply(l);
	l->last_result = REQUEST_OP_COUNT;
	send_as(
	    l, "acme", REQUEST_SUBMIT, JOB_PATH, leader_spec(tasks(1, 2000)));
	g_assert_cmpuint(l->last_result, ==, REQUEST_OP_COUNT);
	leader_release_commands(l);
	AWAIT(l, l->last_result == REQUEST_DONE);
	g_assert_nonnull(flow_job(l->flow, JOB));
	/* A job that is not known is refused under this cap. */
	g_assert_cmpuint(
	    submit(l, "acme", OTHER_PATH, tasks(1, 2000)), ==, REQUEST_REFUSED);
	stub_worker_free(a);
	leader_free(l);
}

static guint
assigned(const struct leader *l, uint64_t job)
{
	return flow_job(l->flow, job)->assigned;
}

/* All workers are full of one organisation, which has more work waiting that is
 * as urgent. Another gets half of what becomes free until it has its half, not
 * only what is left. */
static void
test_share_order(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");

	submit_accepted(l, "acme", JOB_PATH, tasks(40, 1000));
	AWAIT(l, a->running->len == 4);
	submit_accepted(l, "other", OTHER_PATH, tasks(40, 1000));
	for (int i = 0; i < 2; i++) {
		complete_progress(a);
		end_first(a);
		leader_run_for(l, 100);
	}
	g_assert_cmpuint(assigned(l, 0x88), ==, 2);
	g_assert_cmpuint(assigned(l, JOB), ==, 2);
	for (int i = 0; i < 6; i++) {
		complete_progress(a);
		end_first(a);
		leader_run_for(l, 100);
		g_assert_cmpuint(assigned(l, JOB), >=, 2);
	}
	g_assert_cmpuint(assigned(l, 0x88), ==, 2);
	stub_worker_free(a);
	leader_free(l);
}

/* What others leave idle is used, and returned within seconds: runs above the
 * entitlement of their organisation that can resume are stopped, although their
 * own job has no time to spare; no more than the other is due. */
static void
test_share_preemption(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step resumable = tasks(8, 1000);
	struct flow_step urgent = tasks(8, 1000);

	/* On time for 2 s, so with less spare time than is asked for. */
	resumable.runtime_ms = 1000;
	resumable.checkpointing = true;
	urgent.runtime_ms = 3000;
	submit_accepted(l, "acme", JOB_PATH, resumable);
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
	leader_run_for(l, 700);
	submit_accepted(l, "other", OTHER_PATH, urgent);
	AWAIT(l, assigned(l, 0x88) == 2);
	leader_run_for(l, 1000);
	g_assert_cmpuint(assigned(l, 0x88), ==, 2);
	g_assert_cmpuint(assigned(l, JOB), ==, 2);
	g_assert_cmpint(a->stops, ==, 2);
	stub_worker_free(a);
	leader_free(l);
}

/* A gang that is larger than what the other has above its entitlement takes
 * nothing of that: both would take the rest from each other in turn. */
static void
test_share_surplus(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step resumable = tasks(8, 1000);

	resumable.runtime_ms = 1000;
	resumable.checkpointing = true;
	submit_accepted(l, "acme", JOB_PATH, resumable);
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
	leader_run_for(l, 700);
	submit_accepted(l, "other", GANG_PATH, gang(3, 1000));
	leader_run_for(l, 1000);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/* A run of an organisation within its entitlement is not stopped for one that
 * has its own already, however urgent its step. */
static void
test_share_kept(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");
	struct flow_step resumable = tasks(2, 1000);

	resumable.runtime_ms = 60000;
	resumable.checkpointing = true;
	submit_accepted(l, "acme", JOB_PATH, resumable);
	submit_accepted(l, "other", OTHER_PATH, tasks(2, 1000));
	AWAIT(l, a->running->len == 4);
	complete_progress(a);
	leader_run_for(l, 700);
	submit_accepted(l, "other", GANG_PATH, gang(2, 1000));
	leader_run_for(l, 1000);
	g_assert_cmpint(a->stops, ==, 0);
	stub_worker_free(a);
	leader_free(l);
}

/* Sends jobs of one task until one is refused, or so many. */
static int
send_until_refused(struct leader *l, const char *organisation, int most)
{
	for (int i = 0; i < most; i++) {
		char *path = g_strdup_printf("/renders/%016x", 0x1000 + i);
		uint32_t result = submit(l, organisation, path, tasks(1, 1000));

		g_free(path);
		if (result == REQUEST_REFUSED)
			return i;
		g_assert_cmpuint(result, ==, REQUEST_DONE);
	}
	return most;
}

/* An organisation of weight 1 floods full workers: what it sends beyond a job
 * per second is refused at once, with a delay; nothing of another is. */
static void
test_refused_over_weight(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");

	submit_accepted(l, "acme", JOB_PATH, tasks(40, 1000));
	AWAIT(l, a->running->len == 4);
	leader_run_for(l, 100);
	g_assert_cmpint(send_until_refused(l, "acme", 40), <, 15);
	g_assert_cmpstr(l->last_text, ==, "over-entitlement");
	g_assert_cmpint(l->last_retry_ms, >, 0);
	submit_accepted(l, "other", OTHER_PATH, tasks(1, 1000));
	stub_worker_free(a);
	leader_free(l);
}

/* While capacity is free, nothing is refused, however fast it is sent; not even
 * while a task that is too large for what is free waits. */
static void
test_not_refused_with_room(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");

	a->capacity.millicpus = 50000;
	leader_heartbeat(l, a, false);
	submit_accepted(l, "other", OTHER_PATH, tasks(1, 1000));
	submit_accepted(l, "acme", JOB_PATH, tasks(2, 26000));
	AWAIT(l, a->running->len == 2);
	g_assert_cmpint(send_until_refused(l, "acme", 20), ==, 20);
	stub_worker_free(a);
	leader_free(l);
}

/* Metrics are kept for 32 organisations by name at most, as names come from the
 * configuration. */
static void
test_metrics_bounded(void)
{
	struct leader *l = leader_with_cap(0);
	struct stub_worker *a = add_worker(l, "a");
	struct flow_config c = *flow_config(l->flow);
	GBytes *bytes;
	char *text;
	int lines = 0;

	c.version++;
	c.organisations =
	    g_ptr_array_new_with_free_func(flow_organisation_free);
	for (int i = 0; i < 40; i++) {
		char *name = g_strdup_printf("firm-%d", i);

		g_ptr_array_add(c.organisations,
		    organisation_new(name, (struct resources){ 0 }));
		g_free(name);
	}
	bytes = flow_config_encode(&c);
	g_ptr_array_unref(c.organisations);
	leader_request(l, REQUEST_CONFIG, "", bytes);
	for (int i = 0; i < 40; i++) {
		char *name = g_strdup_printf("firm-%d", i);
		char *path = g_strdup_printf("/renders/%016x", 0x2000 + i);

		submit_accepted(l, name, path, tasks(1, 1000));
		g_free(name);
		g_free(path);
	}
	leader_run_for(l, 2200);
	text = registry_render(l->registry);
	for (const char *s = text;
	     (s = strstr(s, "\nbulrushtide_organisation_waiting{")) != NULL;
	     s++)
		lines++;
	g_assert_cmpint(lines, ==, 33);
	g_assert_nonnull(strstr(text, "waiting{organisation=\"other\"} 8\n"));
	g_assert_null(
	    strstr(strstr(text, "# TYPE bulrushtide_organisation_waiting") + 1,
		"# TYPE bulrushtide_organisation_waiting"));
	g_free(text);
	stub_worker_free(a);
	leader_free(l);
}

void
organisation_tests_add(void)
{
	g_test_add_func("/dispatch/share-order", test_share_order);
	g_test_add_func("/dispatch/share-preemption", test_share_preemption);
	g_test_add_func("/dispatch/share-surplus", test_share_surplus);
	g_test_add_func("/dispatch/share-kept", test_share_kept);
	g_test_add_func(
	    "/dispatch/refused-over-weight", test_refused_over_weight);
	g_test_add_func(
	    "/dispatch/not-refused-with-room", test_not_refused_with_room);
	g_test_add_func("/dispatch/organisation-metrics", test_metrics_bounded);
	g_test_add_func("/dispatch/cap-over-workers", test_over_workers);
	g_test_add_func(
	    "/dispatch/cap-other-organisations", test_other_organisations);
	g_test_add_func("/dispatch/cap-takeover", test_takeover);
	g_test_add_func("/dispatch/cap-lowered", test_lowered);
	g_test_add_func(
	    "/dispatch/cap-lowered-before-order", test_lowered_before_order);
	g_test_add_func(
	    "/dispatch/cap-lowered-before-commit", test_lowered_before_commit);
	g_test_add_func("/dispatch/cap-silent-worker", test_silent_worker);
	g_test_add_func("/dispatch/cap-gang-turn", test_gang_turn);
	g_test_add_func(
	    "/dispatch/cap-gang-beside-service", test_gang_beside_service);
	g_test_add_func("/dispatch/cap-gang-permit", test_gang_permit);
	g_test_add_func("/dispatch/cap-no-preemption", test_no_preemption);
	g_test_add_func("/dispatch/cap-never-fits", test_never_fits);
}
