/*
 * Measures placement rounds of lib/dispatch with 540 full workers and 1,000
 * or 10,000 waiting steps of 0, 20 and 1,000 organisations. Nothing changes
 * between the measured rounds. Sends no orders: the leadership is never
 * confirmed.
 *
 * Prints a line per number of organisations: medians and 99th percentiles in
 * ms of a round, processor time of this process.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "impl.h"

#define WORKERS 540
#define CORES 8 /* of a worker */
#define ROUNDS 300 /* measured */
#define FILL_ROUNDS 40 /* each starts 512 runs at most */

static struct flow *flow;
static struct dispatch *dispatch;
static GQueue commands = G_QUEUE_INIT;
static uint64_t proposed;
static uint64_t applied;

static uint64_t
on_propose(void *arg, GBytes *command)
{
	g_queue_push_tail(&commands, g_bytes_ref(command));
	return ++proposed;
}

static void
on_answer(void *arg, uint64_t process, const struct answer *a)
{
}

static bool
on_query_policy(
    void *arg, uint64_t process, uint64_t query, const struct agent_query *q)
{
	return false;
}

static bool
on_confirm(void *arg, uint64_t context)
{
	return false;
}

static const struct dispatch_ops ops = { .propose = on_propose,
	.answer = on_answer,
	.query_policy = on_query_policy,
	.confirm = on_confirm };

static void
apply(struct flow_cmd *cmd)
{
	GBytes *bytes;

	cmd->at_ms = g_get_real_time() / 1000;
	bytes = flow_cmd_encode(cmd);
	g_queue_push_tail(&commands, bytes);
	proposed++;
}

static void
apply_proposed(void)
{
	GBytes *bytes;

	while ((bytes = g_queue_pop_head(&commands)) != NULL) {
		enum flow_apply_result outcome;
		gsize len;
		const void *data = g_bytes_get_data(bytes, &len);

		if (!flow_apply(flow, data, len, &outcome, NULL))
			abort();
		dispatch_applied(dispatch, ++applied, outcome);
		g_bytes_unref(bytes);
	}
}

static void
configure(int organisations)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG };
	struct flow_config *c = &cmd.u.config;
	struct flow_queue *q = flow_queue_new();
	struct flow_pool *pool = g_new0(struct flow_pool, 1);

	flow_config_init(c);
	c->version = 1;
	c->document = g_bytes_new_static("{}", 2);
	*q = (struct flow_queue){ .refs = 1,
		.name = g_strdup("renders"),
		.host = g_strdup("jobs.example"),
		.prefix = g_strdup("/renders/"),
		.pool = g_strdup("desk"),
		.max_failures = 2,
		.slack_factor = 2,
		.target_ms = 600000 };
	pool->name = g_strdup("desk");
	g_ptr_array_add(c->queues, q);
	g_ptr_array_add(c->pools, pool);
	if (organisations > 0)
		c->organisations =
		    g_ptr_array_new_with_free_func(flow_organisation_free);
	for (int i = 0; i < organisations; i++) {
		struct flow_organisation *o = flow_organisation_new();

		o->name = g_strdup_printf("firm-%d", i);
		o->weight = 1 + i % 20;
		o->cap.millicpus = 1000000;
		g_ptr_array_add(c->organisations, o);
	}
	apply(&cmd);
	flow_config_clear(c);
}

static void
add_workers(void)
{
	for (int i = 0; i < WORKERS; i++) {
		struct flow_cmd cmd = { .type = FLOW_CMD_WORKER };
		struct flow_worker *w = &cmd.u.worker;

		*w = (struct flow_worker){ .name = g_strdup_printf("w%d", i),
			.address = g_strdup_printf("127.0.0.1:%d", 1 + i),
			.pool = (char *)"desk",
			.started_ms = 1,
			.capacity = { CORES * 1000, INT64_C(1) << 34, 0 } };
		apply(&cmd);
		g_free(w->name);
		g_free(w->address);
	}
}

static void
add_jobs(int organisations, int count)
{
	for (int i = 0; i < count; i++) {
		struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
		struct flow_step *s = flow_step_new();
		char name[16];

		g_snprintf(name, sizeof(name), "firm-%d",
		    organisations > 0 ? i % organisations : 0);
		s->count = 1;
		s->resources = (struct resources){ 1000, INT64_C(1) << 28, 0 };
		s->runtime_ms = 60000;
		cmd.u.submit.job = (uint64_t)i + 1;
		cmd.u.submit.queue = (char *)"renders";
		cmd.u.submit.organisation = organisations > 0 ? name : NULL;
		cmd.u.submit.spec.payload = g_strdup("work");
		cmd.u.submit.spec.steps =
		    g_ptr_array_new_with_free_func(flow_step_free);
		g_ptr_array_add(cmd.u.submit.spec.steps, s);
		apply(&cmd);
		flow_spec_clear(&cmd.u.submit.spec);
	}
}

/* As after a poll that was just answered. */
static void
mark_available(int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;

		h->polled = true;
		h->answered_ms = now;
	}
}

static void
play_round(void)
{
	int64_t now = mono_ms();

	mark_available(now);
	dispatch->round_ms = now;
	round_run(dispatch, now);
}

static double
cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void
measure(int organisations)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));

	for (int i = 0; i < ROUNDS; i++) {
		double start = cpu_ms();
		double took;

		play_round();
		took = cpu_ms() - start;
		g_array_append_val(times, took);
	}
	g_array_sort(times, by_value);
	printf("organisations=%d runs=%u waiting=%" G_GINT64_FORMAT
	       " median_ms=%.2f p99_ms=%.2f\n",
	    organisations, g_hash_table_size(dispatch->runs),
	    dispatch->meter.waiting->value,
	    g_array_index(times, double, ROUNDS / 2),
	    g_array_index(times, double, ROUNDS * 99 / 100));
	g_array_unref(times);
}

static void
bench(int organisations, int steps)
{
	struct registry *registry = registry_new();
	struct dispatch_conf conf = { .base = event_base_new(),
		.registry = registry,
		.lease_max_ms = 6000,
		.far_factor = 1,
		.retain_ms = 60000 };

	proposed = applied = 0;
	flow = conf.flow = flow_new();
	dispatch = dispatch_new(&conf, &ops, NULL);
	dispatch_lead(dispatch, 1);
	configure(organisations);
	add_workers();
	add_jobs(organisations, WORKERS * CORES + steps);
	apply_proposed();
	for (int i = 0; i < FILL_ROUNDS; i++) {
		play_round();
		apply_proposed();
	}
	measure(organisations);
	dispatch_free(dispatch);
	flow_free(flow);
	registry_free(registry);
	event_base_free(conf.base);
}

int
main(void)
{
	for (int steps = 1000; steps <= 10000; steps *= 10) {
		bench(0, steps);
		bench(20, steps);
		bench(1000, steps);
	}
	return 0;
}
