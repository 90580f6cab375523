/* The agreed state of jobs made of steps, command by command. */
#include <string.h>

#include "flow.h"

/* Effects that a state told of since the last command. */
struct seen {
	GArray *started; /* struct flow_start */
	GArray *stopped; /* struct flow_start */
	int ended;
	int done;
};

static void
on_started(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct seen *seen = arg;

	g_array_append_val(seen->started, *s);
}

static void
on_stop(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct seen *seen = arg;

	g_array_append_val(seen->stopped, *s);
}

static void
on_ended(void *arg, const struct flow_job *job, const struct flow_start *s,
    enum flow_end_how how)
{
	struct seen *seen = arg;

	seen->ended++;
	seen->done += how == FLOW_END_DONE;
}

static const struct flow_watch watch = {
	.started = on_started, .ended = on_ended, .stop = on_stop
};

struct fixture {
	struct flow *flow;
	struct seen seen;
	int64_t now;
};

static enum flow_outcome
run(struct fixture *x, struct flow_cmd *cmd)
{
	enum flow_outcome outcome = FLOW_MISSING;
	GError *err = NULL;
	GBytes *bytes;
	gsize len;
	const void *data;

	cmd->at_ms = ++x->now;
	bytes = flow_cmd_encode(cmd);
	data = g_bytes_get_data(bytes, &len);
	g_array_set_size(x->seen.started, 0);
	g_array_set_size(x->seen.stopped, 0);
	x->seen.ended = x->seen.done = 0;
	g_assert_true(flow_apply(x->flow, data, len, &outcome, &err));
	g_assert_no_error(err);
	g_assert_true(flow_check(x->flow, &err));
	g_assert_no_error(err);
	g_bytes_unref(bytes);
	return outcome;
}

static void
configure(struct fixture *x, uint64_t version, uint32_t attempts)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG };
	struct flow_queue *q = flow_queue_new();
	struct flow_pool *pool = g_new0(struct flow_pool, 1);

	flow_config_init(&cmd.u.config);
	cmd.u.config.version = version;
	cmd.u.config.document = g_bytes_new_static("{}", 2);
	q->name = g_strdup("renders");
	q->host = g_strdup("jobs.example");
	q->prefix = g_strdup("/renders/");
	q->pool = g_strdup("desk");
	q->attempts = attempts;
	q->slack = 2;
	pool->name = g_strdup("desk");
	g_ptr_array_add(cmd.u.config.queues, q);
	g_ptr_array_add(cmd.u.config.pools, pool);
	(void)run(x, &cmd);
	flow_config_clear(&cmd.u.config);
}

static uint32_t
worker(struct fixture *x, const char *name, int64_t born)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER };
	struct flow_worker *w = &cmd.u.worker;

	*w = (struct flow_worker){ .name = g_strdup(name),
		.address = g_strdup("127.0.0.1:1"),
		.pool = g_strdup("desk"),
		.born_ms = born,
		.capacity = { 8000, 1 << 30, 0 } };
	g_assert_cmpint(run(x, &cmd), ==, FLOW_ACCEPTED);
	flow_worker_clear(w);
	return flow_worker_named(x->flow, name)->id;
}

static struct fixture
setup(uint32_t attempts)
{
	struct fixture x = { .flow = flow_new() };

	x.seen.started = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	x.seen.stopped = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	configure(&x, 1, attempts);
	return x;
}

/* The fixture's address is final only in the test itself. */
static void
watch_all(struct fixture *x)
{
	flow_set_watch(x->flow, &watch, &x->seen);
}

static void
teardown(struct fixture *x)
{
	flow_free(x->flow);
	g_array_unref(x->seen.started);
	g_array_unref(x->seen.stopped);
}

static struct flow_step *
add_step(struct flow_spec *spec, uint32_t count, bool gang)
{
	struct flow_step *s = flow_step_new();

	s->count = count;
	s->gang = gang;
	s->need = (struct resources){ 1000, 1 << 20, 0 };
	g_ptr_array_add(spec->steps, s);
	return s;
}

static struct flow_spec
new_spec(void)
{
	return (struct flow_spec){ .payload = g_strdup("work"),
		.steps = g_ptr_array_new_with_free_func(flow_step_free) };
}

static enum flow_outcome
submit(struct fixture *x, uint64_t job, struct flow_spec *spec)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
	enum flow_outcome outcome;

	cmd.u.submit.job = job;
	cmd.u.submit.queue = "renders";
	cmd.u.submit.spec = *spec;
	outcome = run(x, &cmd);
	flow_spec_clear(spec);
	return outcome;
}

static void
start(struct fixture *x, uint64_t job, uint32_t round, uint32_t step,
    uint32_t first, uint32_t count, uint32_t number, uint32_t on)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_START };

	cmd.u.starts = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	for (uint32_t i = first; i < first + count; i++) {
		struct flow_start s = { { job, round, step, i, number }, on };

		g_array_append_val(cmd.u.starts, s);
	}
	(void)run(x, &cmd);
	g_array_unref(cmd.u.starts);
}

static void
end(struct fixture *x, struct flow_run of, enum flow_end_how how,
    const char *saved)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_END };
	struct flow_end e = { of, how, (char *)saved };

	cmd.u.ends = g_array_new(FALSE, FALSE, sizeof(struct flow_end));
	g_array_append_val(cmd.u.ends, e);
	(void)run(x, &cmd);
	g_array_unref(cmd.u.ends);
}

static enum flow_outcome
cancel(struct fixture *x, uint64_t job)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CANCEL, .u.cancel = job };

	return run(x, &cmd);
}

static const struct flow_task *
task(struct fixture *x, uint64_t job, uint32_t step, uint32_t index)
{
	struct flow_run of = { job, 0, step, index, 0 };

	return flow_task(x->flow, &of, NULL);
}

static void
test_steps_in_order(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	uint32_t first = 0;
	uint32_t w;
	const struct flow_job *job;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	(void)add_step(&spec, 2, false);
	g_array_append_val(add_step(&spec, 1, false)->after, first);
	g_assert_cmpint(submit(&x, 7, &spec), ==, FLOW_ACCEPTED);
	job = flow_job(x.flow, 7);
	g_assert_cmpuint(flow_waiting(x.flow, "renders"), ==, 1);
	g_assert_true(flow_ready(job, flow_round(job, 0), 0));
	g_assert_false(flow_ready(job, flow_round(job, 0), 1));
	start(&x, 7, 0, 0, 0, 2, 1, w);
	g_assert_cmpuint(x.seen.started->len, ==, 2);
	g_assert_cmpuint(flow_waiting(x.flow, "renders"), ==, 0);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_false(flow_ready(job, flow_round(job, 0), 1));
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_DONE, NULL);
	g_assert_true(flow_ready(job, flow_round(job, 0), 1));
	start(&x, 7, 0, 1, 0, 1, 1, w);
	end(&x, (struct flow_run){ 7, 0, 1, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(job->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

static void
test_resubmitted(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	struct flow_spec again = new_spec();
	struct flow_spec late = new_spec();

	watch_all(&x);
	(void)add_step(&spec, 1, false);
	(void)add_step(&again, 1, false);
	(void)add_step(&late, 1, false);
	g_assert_cmpint(submit(&x, 7, &spec), ==, FLOW_ACCEPTED);
	g_assert_cmpint(submit(&x, 7, &again), ==, FLOW_KNOWN);
	g_assert_cmpint(cancel(&x, 7), ==, FLOW_ACCEPTED);
	/* One that arrives again after the cancelling starts nothing. */
	g_assert_cmpint(submit(&x, 7, &late), ==, FLOW_KNOWN);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_CANCELLED);
	g_assert_cmpint(cancel(&x, 8), ==, FLOW_MISSING);
	teardown(&x);
}

/* An end that comes twice, or late, or for another run, has no effect. */
static void
test_ends_once(void)
{
	struct fixture x = setup(3);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	(void)add_step(&spec, 1, false);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 1, 1, w);
	start(&x, 7, 0, 0, 0, 1, 2, w); /* held: not started again */
	g_assert_cmpuint(x.seen.started->len, ==, 0);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_STOPPED, "cp1");
	g_assert_cmpstr(task(&x, 7, 0, 0)->saved, ==, "cp1");
	start(&x, 7, 0, 0, 0, 1, 1, w); /* numbers only rise */
	g_assert_cmpuint(x.seen.started->len, ==, 0);
	start(&x, 7, 0, 0, 0, 1, 2, w);
	g_assert_cmpuint(x.seen.started->len, ==, 1);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(x.seen.ended, ==, 0);
	g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_HELD);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_REFUSED, NULL);
	g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_PENDING);
	g_assert_cmpstr(task(&x, 7, 0, 0)->saved, ==, "cp1");
	g_assert_cmpuint(task(&x, 7, 0, 0)->failures, ==, 0);
	teardown(&x);
}

static void
test_failures(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	(void)add_step(&spec, 2, false);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 2, 1, w);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_RUNNING);
	start(&x, 7, 0, 0, 0, 1, 2, w);
	/* Ends that are nobody's fault are not counted. */
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_STOPPED, NULL);
	start(&x, 7, 0, 0, 0, 1, 3, w);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 3 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_FAILED);
	/* What runs on is told to stop, and the record stays. */
	g_assert_cmpuint(x.seen.stopped->len, ==, 1);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_STOPPED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_FAILED);
	g_assert_null(flow_job(x.flow, 7)->rounds);
	teardown(&x);
}

static void
test_gang(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	struct flow_cmd cmd = { .type = FLOW_CMD_START };
	struct flow_start mixed[2];
	uint32_t w;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	(void)add_step(&spec, 2, true);
	(void)submit(&x, 7, &spec);
	/* One member on a worker that is not there: nobody starts. */
	mixed[0] = (struct flow_start){ { 7, 0, 0, 0, 1 }, w };
	mixed[1] = (struct flow_start){ { 7, 0, 0, 1, 1 }, w + 9 };
	cmd.u.starts = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	g_array_append_vals(cmd.u.starts, mixed, 2);
	(void)run(&x, &cmd);
	g_array_unref(cmd.u.starts);
	g_assert_cmpuint(x.seen.started->len, ==, 0);
	start(&x, 7, 0, 0, 0, 2, 1, w);
	/* Both members say that the run failed: it counts once. */
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_FAILED, NULL);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_RUNNING);
	start(&x, 7, 0, 0, 0, 2, 2, w);
	/* A checkpoint of one member is valid for all. */
	end(&x, (struct flow_run){ 7, 0, 0, 1, 2 }, FLOW_END_STOPPED, "cp");
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_STOPPED, "");
	g_assert_cmpstr(task(&x, 7, 0, 0)->saved, ==, "cp");
	g_assert_cmpstr(task(&x, 7, 0, 1)->saved, ==, "cp");
	start(&x, 7, 0, 0, 0, 2, 3, w);
	/* One end as done stands for all. */
	end(&x, (struct flow_run){ 7, 0, 0, 1, 3 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(x.seen.done, ==, 2);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

/* A member's worker dies right after the gang's end, and is given up before
 * another member's end is known: nothing is left to run. */
static void
test_gang_done_late(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	(void)add_step(&spec, 3, true);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 3, 1, w);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_STOPPED, NULL);
	end(&x, (struct flow_run){ 7, 0, 0, 2, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

static void
test_lasting_and_occurrences(void)
{
	struct fixture x = setup(1);
	struct flow_spec spec = new_spec();
	struct flow_spec timed = new_spec();
	struct flow_cmd next = { .type = FLOW_CMD_ROUND, .u.round = 8 };
	uint32_t w;

	watch_all(&x);
	w = worker(&x, "w0", 1);
	add_step(&spec, 1, false)->lasting = true;
	(void)submit(&x, 7, &spec);
	for (uint32_t n = 1; n < 5; n++) {
		start(&x, 7, 0, 0, 0, 1, n, w);
		end(&x, (struct flow_run){ 7, 0, 0, 0, n },
		    n % 2 ? FLOW_END_DONE : FLOW_END_FAILED, NULL);
		g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_PENDING);
	}
	(void)add_step(&timed, 1, false);
	timed.times = 2;
	timed.first_ms = 50;
	timed.every_ms = 10;
	(void)submit(&x, 8, &timed);
	g_assert_null(flow_round(flow_job(x.flow, 8), 0));
	g_assert_cmpint(run(&x, &next), ==, FLOW_ACCEPTED);
	g_assert_cmpint(run(&x, &next), ==, FLOW_ACCEPTED);
	g_assert_cmpint(run(&x, &next), ==, FLOW_MISSING);
	g_assert_cmpint(flow_round(flow_job(x.flow, 8), 1)->due_ms, ==, 60);
	start(&x, 8, 1, 0, 0, 1, 1, w);
	end(&x, (struct flow_run){ 8, 1, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(flow_job(x.flow, 8)->state, ==, FLOW_RUNNING);
	start(&x, 8, 0, 0, 0, 1, 1, w);
	end(&x, (struct flow_run){ 8, 0, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(flow_job(x.flow, 8)->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

static void
test_config_and_route(void)
{
	struct fixture x = setup(1);
	const char *rest = NULL;

	watch_all(&x);
	configure(&x, 9, 1);
	configure(&x, 4, 1);
	g_assert_cmpuint(flow_config(x.flow)->version, ==, 9);
	g_assert_nonnull(
	    flow_route(x.flow, "jobs.example", "/renders/ab", &rest));
	g_assert_cmpstr(rest, ==, "ab");
	g_assert_null(flow_route(x.flow, "jobs.example", "/other/ab", &rest));
	g_assert_null(flow_route(x.flow, "x.example", "/renders/ab", &rest));
	teardown(&x);
}

/* Two lives under one name: the later one is what the name stands for. */
static void
test_lives(void)
{
	struct fixture x = setup(1);
	struct flow_cmd gone = { .type = FLOW_CMD_WORKER_GONE };
	uint32_t first;
	uint32_t second;

	watch_all(&x);
	first = worker(&x, "w0", 1);
	g_assert_cmpuint(worker(&x, "w0", 1), ==, first);
	second = worker(&x, "w0", 2);
	g_assert_cmpuint(second, !=, first);
	gone.u.gone = first;
	(void)run(&x, &gone);
	g_assert_cmpuint(flow_worker_named(x.flow, "w0")->id, ==, second);
	g_assert_null(flow_worker(x.flow, first));
	teardown(&x);
}

static GBytes *
copy_through_snapshot(struct flow *from, struct flow *to)
{
	GBytes *bytes = flow_snapshot(from);
	GError *err = NULL;

	g_assert_true(flow_restore(to, bytes, &err));
	g_assert_no_error(err);
	return bytes;
}

static void
random_step(struct fixture *x, struct rng *rng, uint32_t w)
{
	uint64_t job = 1 + rng_below(rng, 12);
	uint32_t index = (uint32_t)rng_below(rng, 3);
	uint32_t step = (uint32_t)rng_below(rng, 2);
	struct flow_spec spec;

	switch (rng_below(rng, 8)) {
	case 0:
		spec = new_spec();
		(void)add_step(&spec, 3, rng_below(rng, 2));
		(void)add_step(&spec, 3, false);
		(void)submit(x, job, &spec);
		break;
	case 1:
		if (rng_below(rng, 6) == 0)
			(void)cancel(x, job);
		break;
	case 2:
	case 3:
	case 4:
		start(
		    x, job, 0, step, 0, 3, 1 + (uint32_t)rng_below(rng, 9), w);
		break;
	default:
		end(x,
		    (struct flow_run){
			job, 0, step, index, 1 + (uint32_t)rng_below(rng, 9) },
		    (enum flow_end_how)rng_below(rng, FLOW_END_COUNT), "cp");
	}
}

/* Random commands keep the counts; a snapshot brings back the same state. */
static void
test_random(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fixture x = setup(3);
		struct flow *copy = flow_new();
		struct rng rng = { seed };
		GBytes *first;
		GBytes *second;
		GError *err = NULL;
		uint32_t w;

		watch_all(&x);
		w = worker(&x, "w0", 1);
		for (int i = 0; i < 600; i++)
			random_step(&x, &rng, w);
		first = copy_through_snapshot(x.flow, copy);
		g_assert_true(flow_check(copy, &err));
		g_assert_no_error(err);
		second = flow_snapshot(copy);
		g_assert_true(g_bytes_equal(first, second));
		g_bytes_unref(first);
		g_bytes_unref(second);
		flow_free(copy);
		teardown(&x);
	}
}

static void
test_garbage(void)
{
	struct flow *f = flow_new();
	enum flow_outcome outcome;
	GError *err = NULL;
	GBytes *bad = g_bytes_new_static("\x93\x03\x01\xc0", 4);

	g_assert_false(flow_apply(f, "\x93\x03\x01\xc0", 4, &outcome, &err));
	g_assert_error(err, BT_ERROR, ERR_CORRUPT);
	g_clear_error(&err);
	g_assert_false(flow_restore(f, bad, &err));
	g_assert_error(err, BT_ERROR, ERR_CORRUPT);
	g_clear_error(&err);
	g_bytes_unref(bad);
	flow_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/flow/steps-in-order", test_steps_in_order);
	g_test_add_func("/flow/resubmitted", test_resubmitted);
	g_test_add_func("/flow/ends-once", test_ends_once);
	g_test_add_func("/flow/failures", test_failures);
	g_test_add_func("/flow/gang", test_gang);
	g_test_add_func("/flow/gang-done-late", test_gang_done_late);
	g_test_add_func(
	    "/flow/lasting-and-occurrences", test_lasting_and_occurrences);
	g_test_add_func("/flow/config-and-route", test_config_and_route);
	g_test_add_func("/flow/lives", test_lives);
	g_test_add_func("/flow/random", test_random);
	g_test_add_func("/flow/garbage", test_garbage);
	return g_test_run();
}
