/* The dispatcher against stand-in workers: leases, lost orders, ends. */
#include <string.h>

#include "dispatch.h"
#include "stubworker.h"

#define AWAIT_LIMIT_MS 30000 /* a fault, not a speed */
#define JOB 0x1234567812345678
#define JOB_PATH "/renders/1234567812345678"

/* A leader whose commands are agreed at once, in the next turn of the loop. */
struct leader {
	struct event_base *base;
	struct flow *flow;
	struct dispatch *dispatch;
	struct registry *registry;
	GQueue commands; /* GBytes, proposed and not applied */
	uint64_t proposed;
	uint64_t applied;
	bool no_quorum; /* nothing is agreed or confirmed */
	int answers;
	uint32_t last_result;
	char *last_text;
	uint64_t asks;
};

static void
apply_next(evutil_socket_t fd, short what, void *arg)
{
	struct leader *l = arg;
	GBytes *command = g_queue_pop_head(&l->commands);
	enum flow_apply_result outcome;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(command, &len);

	g_assert_true(flow_apply(l->flow, data, len, &outcome, &err));
	g_assert_true(flow_check(l->flow, &err));
	g_assert_no_error(err);
	g_bytes_unref(command);
	dispatch_applied(l->dispatch, ++l->applied, outcome);
	dispatch_advanced(l->dispatch);
}

static uint64_t
on_propose(void *arg, GBytes *command)
{
	struct leader *l = arg;
	struct timeval now = { 0 };

	if (l->no_quorum)
		return 0;
	g_queue_push_tail(&l->commands, g_bytes_ref(command));
	event_base_once(l->base, -1, EV_TIMEOUT, apply_next, l, &now);
	return ++l->proposed;
}

static void
on_answer(void *arg, uint64_t process, const struct answer *a)
{
	struct leader *l = arg;
	gsize len;
	const char *text = g_bytes_get_data(a->text, &len);

	l->answers++;
	l->last_result = a->result;
	g_free(l->last_text);
	l->last_text = g_strndup(text, len);
}

static bool
on_consult(
    void *arg, uint64_t process, uint64_t query, const struct agent_query *q)
{
	return false;
}

static bool
on_confirm(void *arg, uint64_t context)
{
	struct leader *l = arg;

	if (l->no_quorum)
		return false;
	dispatch_confirmed(l->dispatch, context, true);
	return true;
}

static const struct dispatch_ops ops = { .propose = on_propose,
	.answer = on_answer,
	.consult = on_consult,
	.confirm = on_confirm };

static void
turn(struct leader *l)
{
	struct timeval tv = { .tv_usec = 5000 };

	event_base_loopexit(l->base, &tv);
	event_base_dispatch(l->base);
}

/* Runs the loop until the condition holds. */
#define AWAIT(l, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			turn(l);                              \
		}                                             \
	} while (0)

static void
run_for(struct leader *l, int64_t ms)
{
	int64_t until = mono_ms() + ms;

	while (mono_ms() < until)
		turn(l);
}

static void
ask(struct leader *l, enum ask_op op, const char *path, GBytes *body)
{
	struct ask a = { .id = ++l->asks,
		.op = op,
		.host = (char *)"jobs.example",
		.path = (char *)path,
		.number = (int64_t)l->asks,
		.body = body == NULL ? g_bytes_new_static("", 0) : body };
	int before = l->answers;

	dispatch_ask(l->dispatch, 0, &a);
	AWAIT(l, l->answers > before);
	g_bytes_unref(a.body);
}

static void
configure(struct leader *l)
{
	struct flow_config c;
	struct flow_queue *q = flow_queue_new();
	struct flow_pool *pool = g_new0(struct flow_pool, 1);

	flow_config_init(&c);
	c.version = 1;
	c.document = g_bytes_new_static("{}", 2);
	*q = (struct flow_queue){ .refs = 1,
		.name = g_strdup("renders"),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup("/renders/"),
		.pool = g_strdup("desk"),
		.max_failures = 2,
		.slack_factor = 2,
		.target_ms = 1000 };
	pool->name = g_strdup("desk");
	g_ptr_array_add(c.queues, q);
	g_ptr_array_add(c.pools, pool);
	ask(l, ASK_CONFIG, "", flow_config_encode(&c));
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
	flow_config_clear(&c);
}

static void
announce(struct leader *l, const struct stub_worker *w, bool draining)
{
	struct flow_worker in = { .name = w->name,
		.address = w->address,
		.pool = (char *)"desk",
		.started_ms = w->born_ms,
		.capacity = { 4000, 1 << 30, 0 },
		.draining = draining };

	ask(l, ASK_WORKER, "", flow_worker_encode(&in));
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
}

static void
submit(struct leader *l, const char *path, uint32_t count, int64_t millicpus)
{
	struct flow_spec spec = { .payload = g_strdup("work"),
		.steps = g_ptr_array_new_with_free_func(flow_step_free) };
	struct flow_step *s = flow_step_new();

	s->count = count;
	s->need = (struct resources){ millicpus, 1 << 20, 0 };
	s->runtime_ms = 60000;
	g_ptr_array_add(spec.steps, s);
	ask(l, ASK_SUBMIT, path, flow_spec_encode(&spec));
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
	flow_spec_clear(&spec);
}

/* A job of one step that goes on from checkpoints, or of one gang. */
static void
submit_step(struct leader *l, const char *path, struct flow_step in)
{
	struct flow_spec spec = { .payload = g_strdup("work"),
		.steps = g_ptr_array_new_with_free_func(flow_step_free) };
	struct flow_step *s = flow_step_new();

	in.after = s->after;
	*s = in;
	g_ptr_array_add(spec.steps, s);
	ask(l, ASK_SUBMIT, path, flow_spec_encode(&spec));
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
	flow_spec_clear(&spec);
}

static struct leader *
leader_new(void)
{
	struct leader *l = g_new0(struct leader, 1);
	struct dispatch_conf conf = { .agent = &stub_agent,
		.lease_max_ms = 6000,
		.far = 1,
		.retain_ms = 60000 };

	l->base = event_base_new();
	l->flow = flow_new();
	l->registry = registry_new();
	g_queue_init(&l->commands);
	conf.base = l->base;
	conf.flow = l->flow;
	conf.registry = l->registry;
	l->dispatch = dispatch_new(&conf, &ops, l);
	dispatch_lead(l->dispatch, 1);
	configure(l);
	return l;
}

static void
leader_free(struct leader *l)
{
	dispatch_free(l->dispatch);
	run_for(l, 20);
	g_queue_clear_full(&l->commands, (GDestroyNotify)g_bytes_unref);
	flow_free(l->flow);
	registry_free(l->registry);
	event_base_free(l->base);
	g_free(l->last_text);
	g_free(l);
}

static const struct flow_run first_run = { JOB, 0, 0, 0, 1 };
static const struct flow_run second_run = { JOB, 0, 0, 0, 2 };

static const struct flow_task *
task(struct leader *l)
{
	return flow_task(l->flow, &first_run, NULL);
}

/* A worker that crashes: its run is given up once its lease is over, not
 * before, and starts elsewhere. Looks at it must not renew what it has. */
static void
test_lapse(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");
	int64_t until_ms;

	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	AWAIT(l, a->until_ms > 0);
	until_ms = a->until_ms;
	stub_worker_crash(a);
	announce(l, b, false);
	AWAIT(l, stub_worker_runs(b, &second_run));
	g_assert_cmpint(mono_ms(), >, until_ms);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A start order without an answer is sent again and runs once. */
static void
test_lost_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->swallow = 1;
	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	g_assert_cmpint(a->starts, ==, 2);
	g_assert_cmpint(stub_worker_carry_out(a), ==, 0);
	stub_worker_end(a, &first_run, AGENT_DONE);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* An order without an answer and then a refusal: the first may still be
 * carried out, so nothing starts elsewhere before a stop rules that out. */
static void
test_refused_after_lost(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->swallow = 1;
	a->refuse = 1;
	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts == 2);
	AWAIT(l, a->stops > 0 || task(l)->last_run > 1);
	g_assert_cmpint(a->stops, >, 0);
	g_assert_cmpuint(a->kept->len, ==, 0);
	AWAIT(l, stub_worker_runs(a, &second_run));
	stub_worker_free(a);
	leader_free(l);
}

/* Ends are acknowledged only once they are agreed. */
static void
test_ends_taken_when_agreed(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	AWAIT(l, a->look != NULL);
	l->no_quorum = true;
	stub_worker_end(a, &first_run, AGENT_DONE);
	run_for(l, 300);
	g_assert_cmpuint(a->most_taken, ==, 0);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	l->no_quorum = false;
	AWAIT(l, a->most_taken == 1);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* Without a confirmed leadership no lease is renewed and nothing starts. */
static void
test_no_authority(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	int looks;

	announce(l, a, false);
	AWAIT(l, a->looks > 1);
	l->no_quorum = true;
	run_for(l, 800);
	looks = a->looks;
	run_for(l, 1500);
	g_assert_cmpint(a->looks, ==, looks);
	stub_worker_free(a);
	leader_free(l);
}

/* A new leader finds what runs, and takes the ends that were not taken. */
static void
test_takeover(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	announce(l, a, false);
	submit(l, JOB_PATH, 2, 1000);
	AWAIT(l, a->running->len == 2);
	dispatch_resign(l->dispatch);
	stub_worker_end(a, &first_run, AGENT_DONE);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, a->fence == 2 && a->most_taken == 1);
	g_assert_cmpint(a->starts, ==, 2);
	stub_worker_end(a, &(struct flow_run){ JOB, 0, 0, 1, 1 }, AGENT_DONE);
	AWAIT(l, flow_job(l->flow, JOB)->state == FLOW_COMPLETED);
	stub_worker_free(a);
	leader_free(l);
}

/* What an earlier leader committed and never ordered is ordered now. */
static void
test_takeover_before_order(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->swallow = 1000;
	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts > 0);
	dispatch_resign(l->dispatch);
	a->swallow = 0;
	g_array_set_size(a->kept, 0);
	dispatch_lead(l->dispatch, 2);
	AWAIT(l, stub_worker_runs(a, &first_run));
	stub_worker_free(a);
	leader_free(l);
}

/* A run that nobody ordered, or that was given up, is stopped. */
static void
test_stray(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_run r = { .of = { 0x99, 0, 0, 0, 3 } };

	g_array_append_val(a->running, r);
	announce(l, a, false);
	AWAIT(l, a->running->len == 0);
	stub_worker_free(a);
	leader_free(l);
}

/* A cancelled job's runs are stopped, also one whose start has no answer. */
static void
test_cancel(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	announce(l, a, false);
	submit(l, JOB_PATH, 2, 1000);
	AWAIT(l, a->running->len == 2);
	ask(l, ASK_CANCEL, JOB_PATH, NULL);
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
	AWAIT(l, a->running->len == 0);
	AWAIT(l, flow_job(l->flow, JOB)->occurrences == NULL);
	stub_worker_free(a);
	leader_free(l);
}

/* No worker gets more than it has; one that drains gets nothing. */
static void
test_room(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");

	announce(l, a, false);
	announce(l, b, true);
	submit(l, JOB_PATH, 6, 1000);
	AWAIT(l, a->running->len == 4);
	run_for(l, 400);
	g_assert_cmpuint(a->running->len, ==, 4);
	g_assert_cmpuint(b->running->len, ==, 0);
	stub_worker_end(a, &first_run, AGENT_DONE);
	AWAIT(l, a->running->len == 4);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* One member of a gang is refused: the others don't wait for it until they
 * give up, but are stopped at once, and all start again. */
static void
test_gang_refused(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct stub_worker *b = stub_worker_new(l->base, "b");

	announce(l, a, false);
	announce(l, b, false);
	a->refuse = 1;
	submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 2,
		.need = { 3000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.gang = true,
		.long_running = true /* no progress is expected of it */ });
	AWAIT(l,
	    a->running->len == 1 && b->running->len == 1 &&
		task(l)->last_run > 1);
	g_assert_cmpint(b->stops, ==, 1);
	g_assert_cmpuint(
	    g_array_index(a->running, struct stub_run, 0).of.number, ==,
	    g_array_index(b->running, struct stub_run, 0).of.number);
	stub_worker_free(a);
	stub_worker_free(b);
	leader_free(l);
}

/* A worker fails all that it starts, at once: its room, free again, must not
 * use up the attempts of what waits. */
static void
test_failing_worker(void)
{
	struct leader *l = leader_new();
	struct stub_worker *bad = stub_worker_new(l->base, "bad");
	struct stub_worker *good = stub_worker_new(l->base, "good");
	const struct flow_job *job;

	announce(l, bad, false);
	announce(l, good, false);
	bad->fail = 1000;
	submit(l, JOB_PATH, 8, 1000);
	job = flow_job(l->flow, JOB);
	while (job->state != FLOW_COMPLETED) {
		g_assert_cmpint(job->state, !=, FLOW_FAILED);
		AWAIT(l, good->running->len > 0 || flow_job_ended(job));
		while (good->running->len > 0) {
			struct flow_run of =
			    g_array_index(good->running, struct stub_run, 0).of;

			stub_worker_end(good, &of, AGENT_DONE);
		}
	}
	stub_worker_free(bad);
	stub_worker_free(good);
	leader_free(l);
}

/* A job whose start is agreed but has reached no worker still waits. */
static void
test_count_unbegun(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	a->swallow = 2;
	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, a->starts > 0);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	ask(l, ASK_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "1");
	AWAIT(l, stub_worker_runs(a, &first_run));
	run_for(l, 100);
	ask(l, ASK_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "0");
	stub_worker_free(a);
	leader_free(l);
}

/* Work with time to spare makes way for a gang that has none, and goes on
 * when there is room again. */
static void
test_makes_way(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_run member = { 0x77, 0, 0, 0, 1 };

	announce(l, a, false);
	submit_step(l, JOB_PATH,
	    (struct flow_step){ .count = 4,
		.need = { 1000, 1 << 20, 0 },
		.runtime_ms = 60000,
		.checkpointing = true });
	AWAIT(l, a->running->len == 4);
	submit_step(l, "/renders/0000000000000077",
	    (struct flow_step){ .count = 2,
		.need = { 1500, 1 << 20, 0 },
		.runtime_ms = 1500,
		.gang = true });
	AWAIT(l, stub_worker_runs(a, &member));
	g_assert_cmpint(a->stops, ==, 3);
	g_assert_cmpuint(a->running->len, ==, 3);
	stub_worker_end(a, &member, AGENT_DONE);
	member.index = 1;
	stub_worker_end(a, &member, AGENT_DONE);
	AWAIT(l, a->running->len == 4);
	g_assert_cmpint(flow_job(l->flow, JOB)->state, ==, FLOW_RUNNING);
	stub_worker_free(a);
	leader_free(l);
}

/* Word of an earlier life that comes after the next one's has no effect. */
static void
test_earlier_life(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");
	struct flow_worker old = { .name = (char *)"a",
		.address = a->address,
		.pool = (char *)"desk",
		.started_ms = a->born_ms - 1000,
		.capacity = { 64000, 1 << 30, 0 } };

	announce(l, a, false);
	ask(l, ASK_WORKER, "", flow_worker_encode(&old));
	g_assert_cmpuint(l->last_result, ==, ASK_DONE);
	g_assert_cmpint(
	    flow_worker_named(l->flow, "a")->started_ms, ==, a->born_ms);
	stub_worker_free(a);
	leader_free(l);
}

/* A caller that asks when the job has just ended hears of the end at once. */
static void
test_state_held(void)
{
	struct leader *l = leader_new();
	struct stub_worker *a = stub_worker_new(l->base, "a");

	announce(l, a, false);
	submit(l, JOB_PATH, 1, 1000);
	AWAIT(l, stub_worker_runs(a, &first_run));
	ask(l, ASK_STATE, JOB_PATH, NULL);
	g_assert_cmpstr(l->last_text, ==, "running");
	AWAIT(l, a->look != NULL);
	stub_worker_end(a, &first_run, AGENT_DONE);
	ask(l, ASK_STATE, JOB_PATH, NULL);
	g_assert_cmpstr(l->last_text, ==, "completed");
	ask(l, ASK_STATE, "/renders/00000000000000ff", NULL);
	g_assert_cmpuint(l->last_result, ==, ASK_NO_JOB);
	ask(l, ASK_STATE, "/nowhere/00000000000000ff", NULL);
	g_assert_cmpuint(l->last_result, ==, ASK_NO_QUEUE);
	ask(l, ASK_COUNT, "/renders/", NULL);
	g_assert_cmpstr(l->last_text, ==, "0");
	stub_worker_free(a);
	leader_free(l);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The faults played here are logged as warnings. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/dispatch/lapse", test_lapse);
	g_test_add_func("/dispatch/lost-order", test_lost_order);
	g_test_add_func(
	    "/dispatch/refused-after-lost", test_refused_after_lost);
	g_test_add_func(
	    "/dispatch/ends-taken-when-agreed", test_ends_taken_when_agreed);
	g_test_add_func("/dispatch/no-authority", test_no_authority);
	g_test_add_func("/dispatch/takeover", test_takeover);
	g_test_add_func(
	    "/dispatch/takeover-before-order", test_takeover_before_order);
	g_test_add_func("/dispatch/stray", test_stray);
	g_test_add_func("/dispatch/cancel", test_cancel);
	g_test_add_func("/dispatch/room", test_room);
	g_test_add_func("/dispatch/gang-refused", test_gang_refused);
	g_test_add_func("/dispatch/failing-worker", test_failing_worker);
	g_test_add_func("/dispatch/count-unbegun", test_count_unbegun);
	g_test_add_func("/dispatch/makes-way", test_makes_way);
	g_test_add_func("/dispatch/earlier-life", test_earlier_life);
	g_test_add_func("/dispatch/state-held", test_state_held);
	return g_test_run();
}
