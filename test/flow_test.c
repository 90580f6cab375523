/* Tests of the replicated job state, command by command. */
#include <string.h>

#include "codec.h"
#include "flow.h"
#include "wire.h"

/* Effects that the callbacks reported for the last command. */
struct effects {
	GArray *started; /* struct flow_start */
	GArray *stopped; /* struct flow_start */
	int ended;
	int done;
};

static void
on_started(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct effects *effects = arg;

	g_array_append_val(effects->started, *s);
}

static void
on_stop(void *arg, const struct flow_job *job, const struct flow_start *s)
{
	struct effects *effects = arg;

	g_array_append_val(effects->stopped, *s);
}

static void
on_ended(void *arg, const struct flow_job *job, const struct flow_start *s,
    enum flow_end_outcome outcome)
{
	struct effects *effects = arg;

	effects->ended++;
	effects->done += outcome == FLOW_END_DONE;
}

static const struct flow_watch watch = { .run_assigned = on_started,
	.run_ended = on_ended,
	.run_stopping = on_stop };

struct fixture {
	struct flow *flow;
	struct flow *mirror; /* gets the same commands; NULL: none */
	bool learn_speeds; /* by the ends of runs */
	struct effects effects;
	int64_t now;
};

static enum flow_apply_result
apply_cmd(struct fixture *x, struct flow_cmd *cmd)
{
	enum flow_apply_result result = FLOW_NOT_FOUND;
	GError *err = NULL;
	GBytes *bytes;
	gsize len;
	const void *data;

	cmd->at_ms = ++x->now;
	bytes = flow_cmd_encode(cmd);
	data = g_bytes_get_data(bytes, &len);
	g_array_set_size(x->effects.started, 0);
	g_array_set_size(x->effects.stopped, 0);
	x->effects.ended = x->effects.done = 0;
	g_assert_true(flow_apply(x->flow, data, len, &result, &err));
	g_assert_no_error(err);
	g_assert_true(flow_check(x->flow, &err));
	g_assert_no_error(err);
	if (x->mirror != NULL) {
		enum flow_apply_result same;

		g_assert_true(flow_apply(x->mirror, data, len, &same, &err));
		g_assert_no_error(err);
		g_assert_cmpint(same, ==, result);
	}
	g_bytes_unref(bytes);
	return result;
}

static void
configure(struct fixture *x, uint64_t version, uint32_t max_failures)
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
	q->max_failures = max_failures;
	q->slack_factor = 2;
	pool->name = g_strdup("desk");
	g_ptr_array_add(cmd.u.config.queues, q);
	g_ptr_array_add(cmd.u.config.pools, pool);
	(void)apply_cmd(x, &cmd);
	flow_config_clear(&cmd.u.config);
}

static uint32_t
add_worker_at(struct fixture *x, const char *name, const char *address,
    int64_t started_ms, bool draining)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER };
	struct flow_worker *w = &cmd.u.worker;

	*w = (struct flow_worker){ .name = g_strdup(name),
		.address = g_strdup(address),
		.pool = g_strdup("desk"),
		.started_ms = started_ms,
		.capacity = { 8000, 1 << 30, 0 },
		.draining = draining };
	g_assert_cmpint(apply_cmd(x, &cmd), ==, FLOW_ACCEPTED);
	flow_worker_clear(w);
	return flow_worker_named(x->flow, name)->id;
}

static uint32_t
add_worker(struct fixture *x, const char *name, int64_t started_ms)
{
	return add_worker_at(x, name, "127.0.0.1:1", started_ms, false);
}

static void
remove_worker(struct fixture *x, uint32_t id)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER_REMOVED,
		.u.worker_id = id };

	(void)apply_cmd(x, &cmd);
}

static struct fixture
setup(uint32_t max_failures)
{
	struct fixture x = { .flow = flow_new() };

	x.effects.started =
	    g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	x.effects.stopped =
	    g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	configure(&x, 1, max_failures);
	return x;
}

/* Separate from setup(), which returns the fixture by value and so moves it. */
static void
watch_all(struct fixture *x)
{
	flow_set_watch(x->flow, &watch, &x->effects);
}

static void
teardown(struct fixture *x)
{
	flow_free(x->flow);
	g_array_unref(x->effects.started);
	g_array_unref(x->effects.stopped);
}

static struct flow_step *
add_step(struct flow_spec *spec, uint32_t count, bool gang)
{
	struct flow_step *s = flow_step_new();

	s->count = count;
	s->gang = gang;
	s->resources = (struct resources){ 1000, 1 << 20, 0 };
	g_ptr_array_add(spec->steps, s);
	return s;
}

static struct flow_spec
new_spec(void)
{
	return (struct flow_spec){ .payload = g_strdup("work"),
		.steps = g_ptr_array_new_with_free_func(flow_step_free) };
}

static enum flow_apply_result
submit_as(struct fixture *x, uint64_t job, const char *organisation,
    struct flow_spec *spec)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
	enum flow_apply_result result;

	cmd.u.submit.job = job;
	cmd.u.submit.queue = "renders";
	cmd.u.submit.organisation = (char *)organisation;
	cmd.u.submit.spec = *spec;
	result = apply_cmd(x, &cmd);
	flow_spec_clear(spec);
	return result;
}

static enum flow_apply_result
submit(struct fixture *x, uint64_t job, struct flow_spec *spec)
{
	return submit_as(x, job, NULL, spec);
}

static void
start(struct fixture *x, uint64_t job, uint32_t occurrence, uint32_t step,
    uint32_t first, uint32_t count, uint32_t number, uint32_t on)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_START };

	cmd.u.starts = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	for (uint32_t i = first; i < first + count; i++) {
		struct flow_start s = { { job, occurrence, step, i, number },
			on };

		g_array_append_val(cmd.u.starts, s);
	}
	(void)apply_cmd(x, &cmd);
	g_array_unref(cmd.u.starts);
}

static void
end(struct fixture *x, struct flow_run run, enum flow_end_outcome outcome,
    const char *checkpoint)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_END,
		.learn_speeds = x->learn_speeds };
	struct flow_end e = { run, outcome, (char *)checkpoint };

	cmd.u.ends = g_array_new(FALSE, FALSE, sizeof(struct flow_end));
	g_array_append_val(cmd.u.ends, e);
	(void)apply_cmd(x, &cmd);
	g_array_unref(cmd.u.ends);
}

static enum flow_apply_result
cancel(struct fixture *x, uint64_t job)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CANCEL, .u.cancel = job };

	return apply_cmd(x, &cmd);
}

static const struct flow_task *
task(struct fixture *x, uint64_t job, uint32_t step, uint32_t index)
{
	struct flow_run run = { job, 0, step, index, 0 };

	return flow_task(x->flow, &run, NULL);
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
	w = add_worker(&x, "w0", 1);
	(void)add_step(&spec, 2, false);
	g_array_append_val(add_step(&spec, 1, false)->after, first);
	g_assert_cmpint(submit(&x, 7, &spec), ==, FLOW_ACCEPTED);
	job = flow_job(x.flow, 7);
	g_assert_cmpuint(flow_queued_count(x.flow, "renders"), ==, 1);
	g_assert_true(flow_step_ready(job, flow_occurrence(job, 0), 0));
	g_assert_false(flow_step_ready(job, flow_occurrence(job, 0), 1));
	start(&x, 7, 0, 0, 0, 2, 1, w);
	g_assert_cmpuint(x.effects.started->len, ==, 2);
	g_assert_cmpuint(flow_queued_count(x.flow, "renders"), ==, 0);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_false(flow_step_ready(job, flow_occurrence(job, 0), 1));
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_DONE, NULL);
	g_assert_true(flow_step_ready(job, flow_occurrence(job, 0), 1));
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
	g_assert_cmpint(submit(&x, 7, &again), ==, FLOW_DUPLICATE);
	g_assert_cmpint(cancel(&x, 7), ==, FLOW_ACCEPTED);
	/* A submission repeated after the cancellation starts nothing. */
	g_assert_cmpint(submit(&x, 7, &late), ==, FLOW_DUPLICATE);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_CANCELLED);
	g_assert_cmpint(cancel(&x, 8), ==, FLOW_NOT_FOUND);
	teardown(&x);
}

/* An end that is late, repeated or of another run has no effect. */
static void
test_ends_once(void)
{
	struct fixture x = setup(3);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = add_worker(&x, "w0", 1);
	(void)add_step(&spec, 1, false);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 1, 1, w);
	start(&x, 7, 0, 0, 0, 1, 2, w); /* already assigned */
	g_assert_cmpuint(x.effects.started->len, ==, 0);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_STOPPED, "cp1");
	g_assert_cmpstr(task(&x, 7, 0, 0)->checkpoint, ==, "cp1");
	start(&x, 7, 0, 0, 0, 1, 1, w); /* run number not above the last */
	g_assert_cmpuint(x.effects.started->len, ==, 0);
	start(&x, 7, 0, 0, 0, 1, 2, w);
	g_assert_cmpuint(x.effects.started->len, ==, 1);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(x.effects.ended, ==, 0);
	g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_ASSIGNED);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_REFUSED, NULL);
	g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_PENDING);
	g_assert_cmpstr(task(&x, 7, 0, 0)->checkpoint, ==, "cp1");
	g_assert_cmpuint(task(&x, 7, 0, 0)->failures, ==, 0);
	teardown(&x);
}

/* Guards against replicas that stop at each start, as their log has an end with
 * a checkpoint that is longer than they accept. */
static void
test_long_checkpoint_in_log(void)
{
	struct fixture x = setup(3);
	struct flow_spec spec = new_spec();
	char *text = g_strnfill(FLOW_CHECKPOINT_MAX + 1, 'x');
	uint32_t w = add_worker(&x, "w0", 1);

	(void)add_step(&spec, 1, false);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 1, 1, w);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_STOPPED, text);
	g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_PENDING);
	g_assert_null(task(&x, 7, 0, 0)->checkpoint);
	g_free(text);
	teardown(&x);
}

/* Guards against figures of a configuration that overflow the integers that
 * estimates are computed in. */
static void
test_large_figures(void)
{
	struct flow_config c;
	struct flow_config out;
	struct flow_queue *q = flow_queue_new();
	GBytes *bytes;
	gsize len;
	const void *data;

	flow_config_init(&c);
	c.version = 1;
	c.document = g_bytes_new_static("{}", 2);
	q->name = g_strdup("q");
	q->host = g_strdup("h");
	q->prefix = g_strdup("/q/");
	q->pool = g_strdup("p");
	q->slack_factor = 1e300;
	q->permit_call_ms = 1e300;
	q->permit_worker_ms = -1;
	g_ptr_array_add(c.queues, q);
	bytes = flow_config_encode(&c);
	data = g_bytes_get_data(bytes, &len);
	g_assert_true(flow_config_decode(data, len, &out));
	q = out.queues->pdata[0];
	g_assert_cmpfloat(q->slack_factor, ==, FLOW_SLACK_MAX);
	g_assert_cmpfloat(q->permit_call_ms, ==, FLOW_PERMIT_MS_MAX);
	g_assert_cmpfloat(q->permit_worker_ms, ==, 0);
	g_bytes_unref(bytes);
	flow_config_clear(&c);
	flow_config_clear(&out);
}

/* Guards against a command that is too large for a frame, so that no follower
 * ever gets it. */
static void
test_ends_fit_frame(void)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_END };
	char *text = g_strnfill(FLOW_CHECKPOINT_MAX, 'x');
	struct flow_end e = { { UINT64_MAX, UINT32_MAX, FLOW_STEPS_MAX - 1,
				  FLOW_TASKS_MAX - 1, UINT32_MAX },
		FLOW_END_STOPPED, text };
	GBytes *bytes;

	cmd.u.ends = g_array_new(FALSE, FALSE, sizeof(struct flow_end));
	for (int i = 0; i < FLOW_ENDS_MAX; i++)
		g_array_append_val(cmd.u.ends, e);
	bytes = flow_cmd_encode(&cmd);
	g_assert_cmpuint(g_bytes_get_size(bytes), <, FRAME_MAX / 2);
	g_bytes_unref(bytes);
	g_array_unref(cmd.u.ends);
	g_free(text);
}

static void
test_failures(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = add_worker(&x, "w0", 1);
	(void)add_step(&spec, 2, false);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 2, 1, w);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_RUNNING);
	start(&x, 7, 0, 0, 0, 1, 2, w);
	/* An end by a stop order does not count as a failure. */
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_STOPPED, NULL);
	start(&x, 7, 0, 0, 0, 1, 3, w);
	end(&x, (struct flow_run){ 7, 0, 0, 0, 3 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_FAILED);
	/* The other run must stop, and the job's record stays. */
	g_assert_cmpuint(x.effects.stopped->len, ==, 1);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_STOPPED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_FAILED);
	g_assert_null(flow_job(x.flow, 7)->occurrences);
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
	w = add_worker(&x, "w0", 1);
	(void)add_step(&spec, 2, true);
	(void)submit(&x, 7, &spec);
	/* One member is on an unknown worker: no member starts. */
	mixed[0] = (struct flow_start){ { 7, 0, 0, 0, 1 }, w };
	mixed[1] = (struct flow_start){ { 7, 0, 0, 1, 1 }, w + 9 };
	cmd.u.starts = g_array_new(FALSE, FALSE, sizeof(struct flow_start));
	g_array_append_vals(cmd.u.starts, mixed, 2);
	(void)apply_cmd(&x, &cmd);
	g_array_unref(cmd.u.starts);
	g_assert_cmpuint(x.effects.started->len, ==, 0);
	start(&x, 7, 0, 0, 0, 2, 1, w);
	/* Both members report that the run failed: it counts once. */
	end(&x, (struct flow_run){ 7, 0, 0, 0, 1 }, FLOW_END_FAILED, NULL);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_FAILED, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_RUNNING);
	start(&x, 7, 0, 0, 0, 2, 2, w);
	/* A checkpoint of one gang member is valid for all. */
	end(&x, (struct flow_run){ 7, 0, 0, 1, 2 }, FLOW_END_STOPPED, "cp");
	end(&x, (struct flow_run){ 7, 0, 0, 0, 2 }, FLOW_END_STOPPED, "");
	g_assert_cmpstr(task(&x, 7, 0, 0)->checkpoint, ==, "cp");
	g_assert_cmpstr(task(&x, 7, 0, 1)->checkpoint, ==, "cp");
	start(&x, 7, 0, 0, 0, 2, 3, w);
	/* If the run of one gang member is done, all members are done. */
	end(&x, (struct flow_run){ 7, 0, 0, 1, 3 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(x.effects.done, ==, 2);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

/*
 * A gang has finished, but the worker of one member dies before it reports
 * this. The log then has that member's end as stopped first, and another
 * member's end as done after it. All tasks must be done: one that stayed
 * pending would never start, as a gang starts only as a whole.
 */
static void
test_gang_done_late(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();
	uint32_t w;

	watch_all(&x);
	w = add_worker(&x, "w0", 1);
	(void)add_step(&spec, 3, true);
	(void)submit(&x, 7, &spec);
	start(&x, 7, 0, 0, 0, 3, 1, w);
	end(&x, (struct flow_run){ 7, 0, 0, 1, 1 }, FLOW_END_STOPPED, NULL);
	end(&x, (struct flow_run){ 7, 0, 0, 2, 1 }, FLOW_END_DONE, NULL);
	g_assert_cmpint(flow_job(x.flow, 7)->state, ==, FLOW_COMPLETED);
	teardown(&x);
}

static void
test_long_running_and_occurrences(void)
{
	struct fixture x = setup(1);
	struct flow_spec spec = new_spec();
	struct flow_spec repeated = new_spec();
	struct flow_cmd next = { .type = FLOW_CMD_OCCURRENCE,
		.u.occurrence_job = 8 };
	uint32_t w;

	watch_all(&x);
	w = add_worker(&x, "w0", 1);
	add_step(&spec, 1, false)->long_running = true;
	(void)submit(&x, 7, &spec);
	for (uint32_t n = 1; n < 5; n++) {
		start(&x, 7, 0, 0, 0, 1, n, w);
		end(&x, (struct flow_run){ 7, 0, 0, 0, n },
		    n % 2 ? FLOW_END_DONE : FLOW_END_FAILED, NULL);
		g_assert_cmpint(task(&x, 7, 0, 0)->state, ==, FLOW_PENDING);
	}
	(void)add_step(&repeated, 1, false);
	repeated.repeat_count = 2;
	repeated.start_at_ms = 50;
	repeated.interval_ms = 10;
	(void)submit(&x, 8, &repeated);
	g_assert_null(flow_occurrence(flow_job(x.flow, 8), 0));
	g_assert_cmpint(apply_cmd(&x, &next), ==, FLOW_ACCEPTED);
	g_assert_cmpint(apply_cmd(&x, &next), ==, FLOW_ACCEPTED);
	g_assert_cmpint(apply_cmd(&x, &next), ==, FLOW_NOT_FOUND);
	g_assert_cmpint(
	    flow_occurrence(flow_job(x.flow, 8), 1)->due_ms, ==, 60);
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

static struct flow_config
make_config(uint64_t version, guint queues)
{
	struct flow_config c;
	GString *document = g_string_new("[");

	flow_config_init(&c);
	c.version = version;
	for (guint i = 0; i < queues; i++) {
		struct flow_queue *q = flow_queue_new();

		q->name = g_strdup_printf("r-%08x", i * 2654435761U);
		q->host = g_strdup("jobs.example");
		q->prefix = g_strdup_printf("/%08x/", i * 2246822519U);
		q->pool = g_strdup("desk");
		g_ptr_array_add(c.queues, q);
		g_string_append_printf(document,
		    "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\","
		    "\"kind\":\"unsafe\",\"timeoutMs\":3000,\"priority\":1,"
		    "\"service\":\"desk\",\"maxAttempts\":3},",
		    q->name, q->host, q->prefix);
	}
	c.document = g_string_free_to_bytes(document);
	return c;
}

static const struct flow_queue *
scan_for_route(const GPtrArray *queues, const char *host, const char *path)
{
	const struct flow_queue *best = NULL;

	for (guint i = 0; i < queues->len; i++) {
		const struct flow_queue *q = queues->pdata[i];

		if (g_ascii_strcasecmp(q->host, host) == 0 &&
		    g_str_has_prefix(path, q->prefix) &&
		    (best == NULL || strlen(q->prefix) > strlen(best->prefix)))
			best = q;
	}
	return best;
}

/* A string of up to max letters 'a' and 'b'. */
static char *
random_text(GRand *rand, int max)
{
	int len = g_rand_int_range(rand, 0, max + 1);
	char *text = g_malloc0((gsize)len + 1);

	for (int i = 0; i < len; i++)
		text[i] = (char)g_rand_int_range(rand, 'a', 'c');
	return text;
}

/* The index finds the same queue as a search of all, for overlapping prefixes,
 * and follows changes of the configuration. */
static void
test_routes(void)
{
	struct fixture x = setup(1);
	GRand *rand = g_rand_new_with_seed(7);

	for (uint64_t version = 2; version <= 201; version++) {
		struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG };
		struct flow_config *c = &cmd.u.config;
		GHashTable *seen = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);

		flow_config_init(c);
		c->version = version;
		c->document = g_bytes_new_static("{}", 2);
		for (int i = 0; i < 30; i++) {
			struct flow_queue *q = flow_queue_new();

			q->host = g_strdup(g_rand_boolean(rand) ? "x" : "Y");
			q->prefix = random_text(rand, 6);
			q->name = g_strdup_printf("q%d", i);
			q->pool = g_strdup("p");
			if (g_hash_table_add(seen,
				g_strconcat(q->host, " ", q->prefix, NULL)))
				g_ptr_array_add(c->queues, q);
			else
				flow_queue_unref(q);
		}
		g_hash_table_unref(seen);
		g_assert_cmpint(apply_cmd(&x, &cmd), ==, FLOW_ACCEPTED);
		flow_cmd_clear(&cmd);
		for (int i = 0; i < 50; i++) {
			const char *host = g_rand_boolean(rand) ? "X" : "y";
			char *path = random_text(rand, 9);
			const char *rest = NULL;
			const struct flow_queue *expected = scan_for_route(
			    flow_config(x.flow)->queues, host, path);

			g_assert_true(
			    flow_route(x.flow, host, path, &rest) == expected);
			if (expected != NULL)
				g_assert_cmpstr(
				    rest, ==, path + strlen(expected->prefix));
			g_free(path);
		}
	}
	g_rand_free(rand);
	teardown(&x);
}

/*
 * A configuration of 1,000 queues must not take seconds on the links of 2
 * Mbit/s that it is forwarded over; there it timed out and was sent again and
 * again.
 */
static void
test_large_config_encoding(void)
{
	struct flow_config in = make_config(3, 1000);
	struct flow_config out;
	GBytes *encoded = flow_config_encode(&in);
	gsize len;
	const void *data;

	data = g_bytes_get_data(encoded, &len);
	g_assert_cmpuint(len, <, 50000); /* 0.2 s at 2 Mbit/s */
	g_assert_true(flow_config_decode(data, len, &out));
	g_assert_true(g_bytes_equal(in.document, out.document));
	g_assert_cmpuint(out.queues->len, ==, 1000);
	flow_config_clear(&out);
	g_assert_false(flow_config_decode(data, len - 1, &out));
	g_bytes_unref(encoded);
	flow_config_clear(&in);
}

/*
 * The largest configuration must not delay what the leader sends for longer
 * than an election timeout.
 */
static void
test_large_config_command(void)
{
	const gsize max = 200000000 / 8 * 4 / 10 / 7; /* 0.4 s to 7 replicas */
	struct flow_cmd in = { .type = FLOW_CMD_CONFIG,
		.u.config = make_config(3, 28000) };
	struct flow_cmd out;
	GBytes *encoded = flow_cmd_encode(&in);
	GBytes *again;
	gsize len;
	const void *data = g_bytes_get_data(encoded, &len);
	GError *err = NULL;

	g_assert_cmpuint(g_bytes_get_size(in.u.config.document), >,
	    FLOW_DOCUMENT_MAX * 9 / 10);
	g_assert_cmpuint(len, <, max);
	g_assert_true(flow_cmd_decode(data, len, &out, &err));
	g_assert_no_error(err);
	g_assert_true(
	    g_bytes_equal(in.u.config.document, out.u.config.document));
	g_assert_cmpuint(out.u.config.queues->len, ==, 28000);
	/* The same from a configuration that is encoded already. */
	in.encoded_config = flow_config_encode(&in.u.config);
	again = flow_cmd_encode(&in);
	g_assert_true(g_bytes_equal(again, encoded));
	g_bytes_unref(again);
	g_bytes_unref(in.encoded_config);
	flow_cmd_clear(&in);
	flow_cmd_clear(&out);
	g_bytes_unref(encoded);
}

/* Logs of earlier versions contain configurations that aren't compressed. */
static void
test_plain_config_command(void)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	struct flow_cmd out;
	GError *err = NULL;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, FLOW_CMD_CONFIG);
	msgpack_pack_int(&pk, 5); /* time */
	msgpack_pack_array(&pk, 4);
	msgpack_pack_int(&pk, 7); /* version */
	msgpack_pack_bin_with_body(&pk, "{}", 2);
	msgpack_pack_array(&pk, 0); /* queues */
	msgpack_pack_array(&pk, 0); /* pools */
	g_assert_true(flow_cmd_decode(buf.data, buf.size, &out, &err));
	g_assert_no_error(err);
	g_assert_cmpuint(out.u.config.version, ==, 7);
	flow_cmd_clear(&out);
	msgpack_sbuffer_destroy(&buf);
}

/* --- organisations --- */

static void
assert_digest(GBytes *bytes, const char *expected)
{
	char *digest = g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, bytes);

	g_assert_cmpstr(digest, ==, expected);
	g_free(digest);
	g_bytes_unref(bytes);
}

/*
 * The encodings of the last version without organisations (commit 222205d), as
 * SHA-256. Guards against logs and snapshots that this version can't read while
 * no organisation is configured.
 */
static void
test_earlier_encodings(void)
{
	struct fixture x = setup(2);
	struct flow_config config = make_config(3, 2);
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT, .at_ms = 5 };
	struct flow_spec spec = new_spec();
	uint32_t w = add_worker(&x, "w0", 1);

	assert_digest(flow_config_encode(&config),
	    "0dfbc5170935d7be16dc783c47c784073bf6d94f0320d860efcd6d3b54423354");
	flow_config_clear(&config);
	cmd.u.submit.job = 7;
	cmd.u.submit.queue = "renders";
	cmd.u.submit.spec = new_spec();
	add_step(&cmd.u.submit.spec, 2, true)->label = g_strdup("a");
	assert_digest(flow_cmd_encode(&cmd),
	    "9aa74b425805f95c63d7bff8dfa320c04312b9ecbca90b9ff8697e5936448659");
	flow_spec_clear(&cmd.u.submit.spec);
	(void)add_step(&spec, 2, false);
	(void)submit(&x, 7, &spec);
	spec = new_spec();
	(void)add_step(&spec, 1, false);
	(void)submit(&x, 8, &spec);
	start(&x, 7, 0, 0, 0, 1, 1, w);
	g_assert_cmpint(cancel(&x, 8), ==, FLOW_ACCEPTED);
	assert_digest(flow_snapshot(x.flow),
	    "8bd3d284fa947488a8c44c69885a87a5c7fb6b653368e4660f6f4f88fa241870");
	teardown(&x);
}

/* A name stands for the newer of two incarnations of a worker. */
static void
test_incarnations(void)
{
	struct fixture x = setup(1);
	uint32_t first;
	uint32_t second;

	watch_all(&x);
	first = add_worker(&x, "w0", 1);
	g_assert_cmpuint(add_worker(&x, "w0", 1), ==, first);
	second = add_worker(&x, "w0", 2);
	g_assert_cmpuint(second, !=, first);
	remove_worker(&x, first);
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
add_organisation(struct flow_config *c, const char *name, double weight,
    struct resources cap, const char *const *keys)
{
	struct flow_organisation *o = flow_organisation_new();

	o->name = g_strdup(name);
	o->weight = weight;
	o->cap = cap;
	for (int i = 0; keys[i] != NULL; i++)
		g_ptr_array_add(o->keys, g_strdup(keys[i]));
	g_ptr_array_add(c->organisations, o);
}

/* A configuration with two queues, the second public, and organisations; blue
 * is one key of "blue". */
static struct flow_config
config_with_organisations(uint64_t version, const char *blue)
{
	const char *const blue_keys[] = { blue, "blue-\xc3\xa9", NULL };
	const char *const red_keys[] = { NULL };
	struct flow_config c = make_config(version, 2);

	((struct flow_queue *)c.queues->pdata[1])->public = true;
	c.organisations =
	    g_ptr_array_new_with_free_func(flow_organisation_free);
	add_organisation(&c, "blue", 2.5,
	    (struct resources){ 64000, INT64_C(1) << 40, 3 }, blue_keys);
	add_organisation(&c, "red", 0, (struct resources){ 0 }, red_keys);
	return c;
}

static void
assert_organisations(const struct flow_config *c)
{
	const struct flow_organisation *o;

	g_assert_cmpuint(c->organisations->len, ==, 2);
	o = c->organisations->pdata[0];
	g_assert_cmpstr(o->name, ==, "blue");
	g_assert_cmpfloat(o->weight, ==, 2.5);
	g_assert_cmpint(o->cap.millicpus, ==, 64000);
	g_assert_cmpint(o->cap.memory, ==, INT64_C(1) << 40);
	g_assert_cmpint(o->cap.accelerators, ==, 3);
	g_assert_cmpuint(o->keys->len, ==, 2);
	g_assert_cmpstr(o->keys->pdata[1], ==, "blue-\xc3\xa9");
	o = c->organisations->pdata[1];
	g_assert_cmpstr(o->name, ==, "red");
	g_assert_cmpfloat(o->weight, ==, 0);
	g_assert_cmpuint(o->keys->len, ==, 0);
	g_assert_false(((struct flow_queue *)c->queues->pdata[0])->public);
	g_assert_true(((struct flow_queue *)c->queues->pdata[1])->public);
}

/* Guards against members of a configuration that get lost between an entry and
 * the leader or in the log, and against an empty list that is read as none. */
static void
test_organisations_encoded(void)
{
	struct flow_cmd in = { .type = FLOW_CMD_CONFIG,
		.u.config = config_with_organisations(3, "blue-1") };
	struct flow_cmd out;
	struct flow_config c;
	GBytes *bytes = flow_config_encode(&in.u.config);
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	g_assert_true(flow_config_decode(data, len, &c));
	assert_organisations(&c);
	flow_config_clear(&c);
	g_bytes_unref(bytes);
	bytes = flow_cmd_encode(&in);
	data = g_bytes_get_data(bytes, &len);
	g_assert_true(flow_cmd_decode(data, len, &out, &err));
	g_assert_no_error(err);
	assert_organisations(&out.u.config);
	flow_cmd_clear(&out);
	g_bytes_unref(bytes);
	g_ptr_array_set_size(in.u.config.organisations, 0);
	bytes = flow_config_encode(&in.u.config);
	data = g_bytes_get_data(bytes, &len);
	g_assert_true(flow_config_decode(data, len, &c));
	g_assert_nonnull(c.organisations);
	g_assert_cmpuint(c.organisations->len, ==, 0);
	flow_config_clear(&c);
	g_bytes_unref(bytes);
	flow_cmd_clear(&in);
}

static void
set_organisations(struct fixture *x, uint64_t version, const char *blue)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG,
		.u.config = config_with_organisations(version, blue) };

	(void)apply_cmd(x, &cmd);
	flow_cmd_clear(&cmd);
}

static const char *
holder_of(const struct flow *f, const char *key)
{
	const struct flow_organisation *o = flow_organisation_of_key(f, key);

	return o == NULL ? NULL : o->name;
}

/* Guards against an index of keys that is not that of the current
 * configuration: after a new version, a stale one, and one without
 * organisations. */
static void
test_keys(void)
{
	struct fixture x = setup(1);

	g_assert_null(holder_of(x.flow, "blue-1"));
	set_organisations(&x, 5, "blue-1");
	g_assert_cmpstr(holder_of(x.flow, "blue-1"), ==, "blue");
	g_assert_null(holder_of(x.flow, "blue-2"));
	g_assert_null(holder_of(x.flow, NULL));
	g_assert_null(holder_of(x.flow, ""));
	set_organisations(&x, 6, "blue-2");
	g_assert_null(holder_of(x.flow, "blue-1"));
	g_assert_cmpstr(holder_of(x.flow, "blue-2"), ==, "blue");
	set_organisations(&x, 5, "blue-1");
	set_organisations(&x, 6, "blue-1");
	g_assert_null(holder_of(x.flow, "blue-1"));
	g_assert_cmpstr(holder_of(x.flow, "blue-2"), ==, "blue");
	g_assert_nonnull(flow_organisation(x.flow, "red"));
	g_assert_null(flow_organisation(x.flow, "green"));
	g_assert_null(flow_organisation(x.flow, NULL));
	configure(&x, 7, 1);
	g_assert_null(flow_config(x.flow)->organisations);
	g_assert_null(holder_of(x.flow, "blue-2"));
	g_assert_null(flow_organisation(x.flow, "red"));
	teardown(&x);
}

/* Guards against a replica that starts from a snapshot and knows no keys, old
 * keys, or not whose jobs they are, also after the jobs have ended. */
static void
test_organisations_in_snapshot(void)
{
	struct fixture x = setup(2);
	struct flow *copy = flow_new();
	struct flow_spec spec;
	GBytes *first;
	GBytes *second;

	for (uint64_t job = 7; job < 10; job++) {
		spec = new_spec();
		(void)add_step(&spec, 2, false);
		(void)submit_as(&x, job, job == 9 ? NULL : "blue", &spec);
	}
	g_assert_cmpint(cancel(&x, 8), ==, FLOW_ACCEPTED);
	set_organisations(&x, 5, "blue-1");
	set_organisations(&x, 6, "blue-2");
	first = copy_through_snapshot(x.flow, copy);
	assert_organisations(flow_config(copy));
	g_assert_null(holder_of(copy, "blue-1"));
	g_assert_cmpstr(holder_of(copy, "blue-2"), ==, "blue");
	g_assert_cmpstr(flow_job(copy, 7)->organisation, ==, "blue");
	g_assert_true(flow_job_ended(flow_job(copy, 8)));
	g_assert_cmpstr(flow_job(copy, 8)->organisation, ==, "blue");
	g_assert_null(flow_job(copy, 9)->organisation);
	second = flow_snapshot(copy);
	g_assert_true(g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	flow_free(copy);
	teardown(&x);
}

/* A job keeps the organisation that submitted it first. Guards against one that
 * takes over a job by submitting it again. */
static void
test_resubmitted_by_other(void)
{
	struct fixture x = setup(2);
	struct flow_spec spec = new_spec();

	(void)add_step(&spec, 1, false);
	g_assert_cmpint(submit_as(&x, 7, "blue", &spec), ==, FLOW_ACCEPTED);
	spec = new_spec();
	(void)add_step(&spec, 1, false);
	g_assert_cmpint(submit_as(&x, 7, "red", &spec), ==, FLOW_DUPLICATE);
	g_assert_cmpstr(flow_job(x.flow, 7)->organisation, ==, "blue");
	teardown(&x);
}

/* Guards against a key or name that is nil in a damaged log, which must be
 * refused rather than crash the replica. */
static void
test_organisations_malformed(void)
{
	for (int bad = 0; bad < 4; bad++) {
		msgpack_sbuffer buf;
		msgpack_packer pk;
		struct flow_config c;

		msgpack_sbuffer_init(&buf);
		msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
		msgpack_pack_array(&pk, 1); /* frame */
		msgpack_pack_array(&pk, 5);
		msgpack_pack_int(&pk, 7); /* version */
		msgpack_pack_bin_with_body(&pk, "{}", 2);
		msgpack_pack_array(&pk, 0); /* queues */
		msgpack_pack_array(&pk, 0); /* pools */
		msgpack_pack_array(&pk, 1); /* organisations */
		msgpack_pack_array(&pk, bad == 1 ? 5 : 6);
		put_str(&pk, bad == 2 ? NULL : "blue");
		msgpack_pack_double(&pk, 1);
		put_resources(&pk, &(struct resources){ 0 });
		if (bad != 1) {
			msgpack_pack_array(&pk, 1);
			put_str(&pk, bad == 3 ? NULL : "k");
		}
		g_assert_true(
		    flow_config_decode(buf.data, buf.size, &c) == (bad == 0));
		flow_config_clear(&c);
		msgpack_sbuffer_destroy(&buf);
	}
}

#define CRASHES_AT_START 3 /* that are the limit for a task */
#define DEADLY 0xdead
#define INNOCENT 0x1000

/* A cell with workers that crash: w<N> is at address N. */
struct crash_cell {
	struct fixture x;
	int64_t incarnations; /* so far, of all workers */
};

static void
submit_single(struct fixture *x, uint64_t job, uint32_t count, bool gang,
    bool long_running)
{
	struct flow_spec spec = new_spec();

	add_step(&spec, count, gang)->long_running = long_running;
	g_assert_cmpint(submit(x, job, &spec), ==, FLOW_ACCEPTED);
}

/* Announces the next incarnation of the worker at an address. */
static uint32_t
announce(struct crash_cell *c, uint32_t address)
{
	char *name = g_strdup_printf(
	    "w%u-%" G_GINT64_FORMAT, address, ++c->incarnations);
	char *text = g_strdup_printf("127.0.0.1:%u", address);
	uint32_t id = add_worker_at(&c->x, name, text, c->incarnations, false);

	g_free(name);
	g_free(text);
	return id;
}

static void
start_one(struct crash_cell *c, uint64_t job, uint32_t index, uint32_t on)
{
	start(&c->x, job, 0, 0, index, 1,
	    task(&c->x, job, 0, index)->last_run + 1, on);
}

/* The leader has given up the task's run, as its worker was lost. */
static void
lose_run(struct crash_cell *c, uint64_t job, uint32_t index,
    enum flow_end_outcome outcome)
{
	end(&c->x,
	    (struct flow_run){
		job, 0, 0, index, task(&c->x, job, 0, index)->last_run },
	    outcome, NULL);
}

static void
lose(struct crash_cell *c, uint64_t job, uint32_t index)
{
	lose_run(c, job, index, FLOW_END_LOST_AT_START);
}

static enum flow_job_state
state(struct crash_cell *c, uint64_t job)
{
	return flow_job(c->x.flow, job)->state;
}

/* A task is given up after three workers have crashed under it; the tasks that
 * ran beside it aren't suspected any more then. */
static void
test_crashes(void)
{
	struct crash_cell c = { .x = setup(2) };
	const uint32_t crashes = CRASHES_AT_START;

	submit_single(&c.x, DEADLY, 1, false, false);
	submit_single(&c.x, INNOCENT, crashes, false, false);
	for (uint32_t i = 1; i <= crashes; i++) {
		uint32_t on = announce(&c, i);

		g_assert_cmpint(state(&c, DEADLY), <=, FLOW_RUNNING);
		start_one(&c, DEADLY, 0, on);
		start_one(&c, INNOCENT, i - 1, on);
		(void)announce(&c, i);
		lose(&c, INNOCENT, i - 1);
		if (i < crashes)
			g_assert_cmpuint(
			    task(&c.x, INNOCENT, 0, i - 1)->crashes, ==, 1);
		lose(&c, DEADLY, 0);
	}
	g_assert_cmpint(state(&c, DEADLY), ==, FLOW_FAILED);
	g_assert_cmpint(state(&c, INNOCENT), ==, FLOW_RUNNING);
	for (uint32_t i = 0; i < crashes; i++)
		g_assert_cmpuint(task(&c.x, INNOCENT, 0, i)->crashes, ==, 0);
	teardown(&c.x);
}

/* A task that had run for a while when its workers crashed is less suspect. It
 * is given up all the same, before it is started a sixth time. */
static void
test_crashes_later(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, DEADLY, 1, false, false);
	for (uint32_t i = 1; i <= FLOW_CRASHES_MAX; i++) {
		g_assert_cmpint(state(&c, DEADLY), <=, FLOW_RUNNING);
		start_one(&c, DEADLY, 0, announce(&c, i));
		(void)announce(&c, i);
		lose_run(&c, DEADLY, 0, FLOW_END_LOST_LATER);
	}
	g_assert_cmpint(state(&c, DEADLY), ==, FLOW_FAILED);
	teardown(&c.x);
}

/* Runs are lost before it is known that their worker has crashed: its lease
 * had expired, and its record was removed, when it came back. */
static void
test_crash_known_late(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, DEADLY, 1, false, false);
	for (uint32_t i = 1; i <= CRASHES_AT_START; i++) {
		uint32_t on = announce(&c, i);

		start_one(&c, DEADLY, 0, on);
		lose(&c, DEADLY, 0);
		remove_worker(&c.x, on);
		g_assert_cmpuint(task(&c.x, DEADLY, 0, 0)->lost_runs, ==, i);
	}
	for (uint32_t i = 1; i < CRASHES_AT_START; i++) {
		(void)announce(&c, i);
		g_assert_cmpuint(task(&c.x, DEADLY, 0, 0)->crashes, ==, i);
		g_assert_cmpint(state(&c, DEADLY), ==, FLOW_RUNNING);
	}
	(void)announce(&c, CRASHES_AT_START);
	g_assert_cmpint(state(&c, DEADLY), ==, FLOW_FAILED);
	teardown(&c.x);
}

/* A worker that lost runs and answers again has not crashed; nor has one that
 * restarts after that, under what it ran before. */
static void
test_silence_is_no_crash(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, INNOCENT, 1, false, false);
	for (uint32_t i = 1; i <= 2 * CRASHES_AT_START; i++) {
		uint32_t on = announce(&c, i);
		struct flow_cmd back = { .type = FLOW_CMD_WORKER_BACK,
			.u.worker_id = on };

		start_one(&c, INNOCENT, 0, on);
		lose(&c, INNOCENT, 0);
		g_assert_true(flow_worker_in_doubt(c.x.flow, on));
		g_assert_cmpint(apply_cmd(&c.x, &back), ==, FLOW_ACCEPTED);
		g_assert_false(flow_worker_in_doubt(c.x.flow, on));
		(void)announce(&c, i);
		g_assert_cmpuint(
		    flow_task_suspicion(task(&c.x, INNOCENT, 0, 0)), ==, 0);
	}
	g_assert_cmpint(state(&c, INNOCENT), ==, FLOW_RUNNING);
	teardown(&c.x);
}

/* A worker that drains takes its runs with it when it leaves; another one may
 * follow at its address. */
static void
test_draining_is_no_crash(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, INNOCENT, 1, false, false);
	for (uint32_t i = 1; i <= 2 * CRASHES_AT_START; i++) {
		char *name = g_strdup_printf("d%u", i);
		uint32_t on = add_worker_at(
		    &c.x, name, "127.0.0.1:9", ++c.incarnations, false);

		start_one(&c, INNOCENT, 0, on);
		(void)add_worker_at(
		    &c.x, name, "127.0.0.1:9", c.incarnations, true);
		lose(&c, INNOCENT, 0);
		g_free(name);
	}
	g_assert_cmpuint(
	    flow_task_suspicion(task(&c.x, INNOCENT, 0, 0)), ==, 0);
	g_assert_cmpint(state(&c, INNOCENT), ==, FLOW_RUNNING);
	teardown(&c.x);
}

/* The crashes of a gang count for the members that ran on those workers: three
 * crashes under three members are no reason to give it up. */
static void
test_gang_crashes(void)
{
	struct crash_cell c = { .x = setup(2) };
	uint32_t first = announce(&c, 1);

	submit_single(&c.x, INNOCENT, 3, true, false);
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t on = announce(&c, 2 + i);
		struct flow_cmd cmd = { .type = FLOW_CMD_START };

		cmd.u.starts =
		    g_array_new(FALSE, FALSE, sizeof(struct flow_start));
		for (uint32_t k = 0; k < 3; k++) {
			struct flow_start s = { { INNOCENT, 0, 0, k, i + 1 },
				k == i ? on : first };

			g_array_append_val(cmd.u.starts, s);
		}
		(void)apply_cmd(&c.x, &cmd);
		g_array_unref(cmd.u.starts);
		(void)announce(&c, 2 + i);
		lose(&c, INNOCENT, i);
		for (uint32_t k = 0; k < 3; k++)
			end(&c.x, (struct flow_run){ INNOCENT, 0, 0, k, i + 1 },
			    FLOW_END_STOPPED, NULL);
		g_assert_cmpuint(task(&c.x, INNOCENT, 0, i)->crashes, ==, 1);
	}
	g_assert_cmpint(state(&c, INNOCENT), ==, FLOW_RUNNING);
	teardown(&c.x);
}

/* A long-running task that has run for a while didn't crash its worker. One
 * that crashes workers at its start is given up like any other. */
static void
test_long_running_crashes(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, INNOCENT, 1, false, true);
	submit_single(&c.x, DEADLY, 1, false, true);
	for (uint32_t i = 1; i <= CRASHES_AT_START; i++) {
		start_one(&c, INNOCENT, 0, announce(&c, i));
		c.x.now += 60000;
		(void)announce(&c, i);
		lose(&c, INNOCENT, 0);
		start_one(&c, DEADLY, 0, announce(&c, i));
		(void)announce(&c, i);
		lose(&c, DEADLY, 0);
	}
	g_assert_cmpint(state(&c, INNOCENT), ==, FLOW_RUNNING);
	g_assert_cmpint(state(&c, DEADLY), ==, FLOW_FAILED);
	teardown(&c.x);
}

/* Counts outlive the replica that counted them. */
static void
test_crashes_in_snapshot(void)
{
	struct crash_cell c = { .x = setup(2) };

	submit_single(&c.x, DEADLY, 1, false, false);
	for (uint32_t i = 1; i <= CRASHES_AT_START; i++) {
		struct flow *copy = flow_new();

		start_one(&c, DEADLY, 0, announce(&c, i));
		g_bytes_unref(copy_through_snapshot(c.x.flow, copy));
		flow_free(c.x.flow);
		c.x.flow = copy;
		(void)announce(&c, i);
		lose(&c, DEADLY, 0);
	}
	g_assert_cmpint(state(&c, DEADLY), ==, FLOW_FAILED);
	teardown(&c.x);
}

/* A snapshot of a version that didn't record lost workers: format 1, without
 * the list of losses at its end. */
static void
test_earlier_snapshot(void)
{
	struct fixture x = setup(2);
	struct flow *copy = flow_new();
	GBytes *bytes;
	GError *err = NULL;
	gsize len;
	uint8_t *data;

	submit_single(&x, INNOCENT, 2, false, false);
	data = g_bytes_unref_to_data(flow_snapshot(x.flow), &len);
	g_assert_cmpuint(data[0], ==, 0x97); /* array of 7 */
	g_assert_cmpuint(data[1], ==, 2);
	g_assert_cmpuint(data[len - 1], ==, 0x90); /* empty array */
	data[0] = 0x96;
	data[1] = 1;
	bytes = g_bytes_new_take(data, len - 1);
	g_assert_true(flow_restore(copy, bytes, &err));
	g_assert_no_error(err);
	g_assert_nonnull(flow_job(copy, INNOCENT));
	g_bytes_unref(bytes);
	flow_free(copy);
	teardown(&x);
}

static void
assert_same_state(const struct flow *a, const struct flow *b)
{
	GBytes *first = flow_snapshot(a);
	GBytes *second = flow_snapshot(b);

	g_assert_true(g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
}

/* Starts and ends the tasks of a job of one step, which take ran_ms each. */
static void
run_single(struct fixture *x, uint64_t job, uint32_t count, bool gang,
    const uint32_t *workers, const int64_t *ran_ms)
{
	submit_single(x, job, count, gang, false);
	for (uint32_t i = 0; i < count; i++) {
		struct flow_run run = { job, 0, 0, i, 1 };

		start(x, job, 0, 0, i, 1, 1, workers[i]);
		x->now += ran_ms[i] - 1;
		end(x, run, FLOW_END_DONE, NULL);
	}
}

static int64_t
slowdown_at(const struct fixture *x, const char *address)
{
	return speed_of(flow_speeds(x->flow), address).slowdown;
}

/* Speeds belong to addresses: a worker that has restarted under a new name, or
 * was removed, would otherwise count as normal again. */
static void
test_speeds(void)
{
	struct fixture x = setup(2);
	uint32_t w[4];
	const int64_t ran_ms[] = { 1000, 1000, 1000, 2500 };
	struct flow_run resumed = { 90, 0, 0, 0, 2 };
	struct flow_spec spec = new_spec();
	uint32_t samples;

	x.learn_speeds = true;
	for (int i = 0; i < 4; i++) {
		char *address = g_strdup_printf("127.0.0.1:%d", i);

		w[i] = add_worker_at(&x, address, address, 1, false);
		g_free(address);
	}
	for (uint64_t job = 1; job <= 10; job++)
		run_single(&x, job, 4, false, w, ran_ms);
	g_assert_cmpint(
	    slowdown_at(&x, "127.0.0.1:3") - slowdown_at(&x, "127.0.0.1:0"), >,
	    SPEED_ONE);
	remove_worker(&x, w[3]);
	w[3] = add_worker_at(&x, "other", "127.0.0.1:3", 2, false);
	g_assert_cmpint(
	    slowdown_at(&x, "127.0.0.1:3") - slowdown_at(&x, "127.0.0.1:0"), >,
	    SPEED_ONE);
	/* A resumed run took only part of the time. */
	samples = speed_of(flow_speeds(x.flow), "127.0.0.1:3").samples;
	add_step(&spec, 1, false)->checkpointing = true;
	(void)submit(&x, 90, &spec);
	start(&x, 90, 0, 0, 0, 1, 2, w[3]);
	end(&x, resumed, FLOW_END_DONE, NULL);
	g_assert_cmpuint(
	    speed_of(flow_speeds(x.flow), "127.0.0.1:3").samples, ==, samples);
	teardown(&x);
}

/* The members of a gang end together, so they say nothing about one worker, but
 * about the run times of their queue. */
static void
test_speeds_gang(void)
{
	struct fixture x = setup(2);
	struct flow_run run = { 7, 0, 0, 1, 1 };
	uint32_t w;

	x.learn_speeds = true;
	w = add_worker(&x, "w0", 1);
	submit_single(&x, 7, 3, true, false);
	start(&x, 7, 0, 0, 0, 3, 1, w);
	x.now += 1000;
	end(&x, run, FLOW_END_DONE, NULL);
	g_assert_cmpuint(
	    speed_of(flow_speeds(x.flow), "127.0.0.1:1").samples, ==, 0);
	g_assert_cmpuint(
	    speed_work_of(flow_speeds(x.flow), "renders").samples, ==, 1);
	g_assert_cmpint(speed_work_of(flow_speeds(x.flow), "renders").mean, ==,
	    speed_log2(1001));
	teardown(&x);
}

/* Replicas of the previous version read snapshots of format 2 only: a state
 * without speeds has to be written as such, also once they were dropped. */
static void
test_speeds_snapshot_format(void)
{
	struct fixture x = setup(2);
	struct flow *copy = flow_new();
	struct flow_cmd prune = { .type = FLOW_CMD_PRUNE };
	const int64_t ran_ms[] = { 1000 };
	uint32_t w = add_worker(&x, "w0", 1);
	GBytes *bytes;

	run_single(&x, 1, 1, false, &w, ran_ms);
	bytes = flow_snapshot(x.flow);
	g_assert_cmpint(((uint8_t *)g_bytes_get_data(bytes, NULL))[1], ==, 2);
	g_bytes_unref(bytes);
	x.learn_speeds = true;
	run_single(&x, 2, 1, false, &w, ran_ms);
	bytes = copy_through_snapshot(x.flow, copy);
	g_assert_cmpint(
	    ((uint8_t *)g_bytes_get_data(bytes, NULL))[0], ==, 0x98);
	g_assert_cmpint(((uint8_t *)g_bytes_get_data(bytes, NULL))[1], ==, 3);
	g_bytes_unref(bytes);
	assert_same_state(x.flow, copy);
	x.now += 2 * 60 * 60 * 1000;
	(void)apply_cmd(&x, &prune);
	bytes = flow_snapshot(x.flow);
	g_assert_cmpint(((uint8_t *)g_bytes_get_data(bytes, NULL))[1], ==, 2);
	g_bytes_unref(bytes);
	flow_free(copy);
	teardown(&x);
}

/* A command without learnt speeds is encoded as before, so that replicas of the
 * previous version read it; one with them has one element more, which these
 * reject as malformed. */
static void
test_speeds_command(void)
{
	struct flow_end e = { { 7, 0, 0, 0, 1 }, FLOW_END_DONE, NULL };
	struct flow_cmd cmd = { .type = FLOW_CMD_END };
	struct flow_cmd out;
	GBytes *plain;
	GBytes *learning;

	cmd.u.ends = g_array_new(FALSE, FALSE, sizeof(struct flow_end));
	g_array_append_val(cmd.u.ends, e);
	plain = flow_cmd_encode(&cmd);
	cmd.learn_speeds = true;
	learning = flow_cmd_encode(&cmd);
	g_assert_cmpuint(
	    g_bytes_get_size(learning), ==, g_bytes_get_size(plain) + 1);
	g_assert_cmpint(
	    ((uint8_t *)g_bytes_get_data(plain, NULL))[3], ==, 0x97);
	g_assert_true(flow_cmd_decode(g_bytes_get_data(learning, NULL),
	    g_bytes_get_size(learning), &out, NULL));
	g_assert_true(out.learn_speeds);
	g_assert_cmpuint(out.u.ends->len, ==, 1);
	flow_cmd_clear(&out);
	g_assert_true(flow_cmd_decode(g_bytes_get_data(plain, NULL),
	    g_bytes_get_size(plain), &out, NULL));
	g_assert_false(out.learn_speeds);
	flow_cmd_clear(&out);
	g_bytes_unref(plain);
	g_bytes_unref(learning);
	g_array_unref(cmd.u.ends);
}

static void
random_step(struct fixture *x, struct rng *rng, uint32_t *w)
{
	struct flow_cmd back = { .type = FLOW_CMD_WORKER_BACK,
		.u.worker_id = *w };
	uint64_t job = 1 + rng_below(rng, 12);
	uint32_t index = (uint32_t)rng_below(rng, 3);
	uint32_t step = (uint32_t)rng_below(rng, 2);
	struct flow_spec spec;

	switch (rng_below(rng, 9)) {
	case 8:
		if (rng_below(rng, 8) == 0)
			*w = add_worker_at(x, rng_below(rng, 2) ? "w0" : "w1",
			    rng_below(rng, 2) ? "127.0.0.1:1" : "127.0.0.1:2",
			    x->now, false);
		else
			(void)apply_cmd(x, &back);
		break;
	case 0:
		spec = new_spec();
		(void)add_step(&spec, 3, rng_below(rng, 2));
		(void)add_step(&spec, 3, false);
		(void)submit_as(x, job, job % 2 == 0 ? NULL : "blue", &spec);
		break;
	case 1:
		if (rng_below(rng, 6) == 0)
			(void)cancel(x, job);
		break;
	case 2:
	case 3:
	case 4:
		start(
		    x, job, 0, step, 0, 3, 1 + (uint32_t)rng_below(rng, 9), *w);
		break;
	default:
		end(x,
		    (struct flow_run){
			job, 0, step, index, 1 + (uint32_t)rng_below(rng, 9) },
		    (enum flow_end_outcome)rng_below(rng, FLOW_END_COUNT),
		    "cp");
	}
}

/* Random commands keep the counts right. A replica that was restored from a
 * snapshot half-way has the same state in the end. */
static void
test_random(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct fixture x = setup(3);
		struct flow *copy = flow_new();
		struct rng rng = { seed };
		GError *err = NULL;
		uint32_t w;

		watch_all(&x);
		x.learn_speeds = seed % 2;
		w = add_worker(&x, "w0", 1);
		for (int i = 0; i < 600; i++) {
			if (i == 300) {
				x.mirror = flow_new();
				g_bytes_unref(
				    copy_through_snapshot(x.flow, x.mirror));
			}
			random_step(&x, &rng, &w);
		}
		assert_same_state(x.flow, x.mirror);
		g_bytes_unref(copy_through_snapshot(x.flow, copy));
		g_assert_true(flow_check(copy, &err));
		g_assert_no_error(err);
		assert_same_state(x.flow, copy);
		flow_free(copy);
		flow_free(x.mirror);
		teardown(&x);
	}
}

static void
test_malformed(void)
{
	struct flow *f = flow_new();
	enum flow_apply_result result;
	GError *err = NULL;
	GBytes *bad = g_bytes_new_static("\x93\x03\x01\xc0", 4);

	g_assert_false(flow_apply(f, "\x93\x03\x01\xc0", 4, &result, &err));
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
	g_test_add_func(
	    "/flow/long-checkpoint-in-log", test_long_checkpoint_in_log);
	g_test_add_func("/flow/ends-fit-frame", test_ends_fit_frame);
	g_test_add_func("/flow/large-figures", test_large_figures);
	g_test_add_func("/flow/failures", test_failures);
	g_test_add_func("/flow/gang", test_gang);
	g_test_add_func("/flow/gang-done-late", test_gang_done_late);
	g_test_add_func("/flow/long-running-and-occurrences",
	    test_long_running_and_occurrences);
	g_test_add_func("/flow/config-and-route", test_config_and_route);
	g_test_add_func("/flow/routes", test_routes);
	g_test_add_func(
	    "/flow/large-config-encoding", test_large_config_encoding);
	g_test_add_func(
	    "/flow/large-config-command", test_large_config_command);
	g_test_add_func(
	    "/flow/plain-config-command", test_plain_config_command);
	g_test_add_func("/flow/earlier-encodings", test_earlier_encodings);
	g_test_add_func(
	    "/flow/organisations-encoded", test_organisations_encoded);
	g_test_add_func("/flow/keys", test_keys);
	g_test_add_func(
	    "/flow/organisations-in-snapshot", test_organisations_in_snapshot);
	g_test_add_func(
	    "/flow/resubmitted-by-other", test_resubmitted_by_other);
	g_test_add_func(
	    "/flow/organisations-malformed", test_organisations_malformed);
	g_test_add_func("/flow/incarnations", test_incarnations);
	g_test_add_func("/flow/crashes", test_crashes);
	g_test_add_func("/flow/crashes-later", test_crashes_later);
	g_test_add_func("/flow/crash-known-late", test_crash_known_late);
	g_test_add_func("/flow/silence-is-no-crash", test_silence_is_no_crash);
	g_test_add_func(
	    "/flow/draining-is-no-crash", test_draining_is_no_crash);
	g_test_add_func("/flow/gang-crashes", test_gang_crashes);
	g_test_add_func(
	    "/flow/long-running-crashes", test_long_running_crashes);
	g_test_add_func("/flow/crashes-in-snapshot", test_crashes_in_snapshot);
	g_test_add_func("/flow/earlier-snapshot", test_earlier_snapshot);
	g_test_add_func("/flow/speeds", test_speeds);
	g_test_add_func("/flow/speeds-gang", test_speeds_gang);
	g_test_add_func(
	    "/flow/speeds-snapshot-format", test_speeds_snapshot_format);
	g_test_add_func("/flow/speeds-command", test_speeds_command);
	g_test_add_func("/flow/random", test_random);
	g_test_add_func("/flow/malformed", test_malformed);
	return g_test_run();
}
