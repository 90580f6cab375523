/*
 * Fuzzes the readers of what callers, operators, workers and the policy service
 * send; the first byte selects the reader. What a reader accepts, and the
 * leader accepts from the entry that has read it, replicas must be able to
 * apply: a command with it is decoded again.
 */
#include "fields.h"
#include "flow.h"
#include "fuzz.h"
#include "platform.h"

/* Encodes a command as the leader does and decodes it as replicas do. */
static void
check_command(const struct flow_cmd *cmd)
{
	struct flow_cmd copy;
	GError *err = NULL;
	GBytes *bytes = flow_cmd_encode(cmd);
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	g_assert_true(flow_cmd_decode(data, len, &copy, &err));
	g_assert_no_error(err);
	flow_cmd_clear(&copy);
	g_bytes_unref(bytes);
}

static void
job(const void *body, size_t len)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_SUBMIT };
	struct flow_spec spec;
	GBytes *bytes;
	gsize size;
	const void *data;

	if (!platform_job_decode(body, len, &spec, NULL))
		return;
	bytes = flow_spec_encode(&spec);
	flow_spec_clear(&spec);
	data = g_bytes_get_data(bytes, &size);
	if (flow_spec_decode(data, size, &cmd.u.submit.spec)) {
		cmd.u.submit.queue = g_strdup("q");
		check_command(&cmd);
		flow_cmd_clear(&cmd);
	}
	g_bytes_unref(bytes);
}

static void
worker(const void *body, size_t len)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_WORKER };
	struct flow_worker w;
	GBytes *bytes;
	gsize size;
	const void *data;
	int64_t seq;

	if (!platform_worker_decode(body, len, "w", &w, &seq, NULL))
		return;
	bytes = flow_worker_encode(&w);
	flow_worker_clear(&w);
	data = g_bytes_get_data(bytes, &size);
	if (flow_worker_decode(data, size, &cmd.u.worker)) {
		check_command(&cmd);
		flow_cmd_clear(&cmd);
	}
	g_bytes_unref(bytes);
}

static void
config(const void *body, size_t len)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_CONFIG };
	struct flow_config c;
	GBytes *bytes;
	gsize size;
	const void *data;

	if (!platform_config_decode(body, len, &c, NULL))
		return;
	bytes = flow_config_encode(&c);
	flow_config_clear(&c);
	data = g_bytes_get_data(bytes, &size);
	if (flow_config_decode(data, size, &cmd.u.config)) {
		cmd.encoded_config = bytes;
		check_command(&cmd);
		flow_config_clear(&cmd.u.config);
	}
	g_bytes_unref(bytes);
}

static void
report(const void *body, size_t len)
{
	struct agent_report r;

	agent_report_init(&r);
	if (platform_agent.read_report(body, len, &r)) {
		g_assert_cmpint(r.clock_ms, >=, 0);
		g_assert_cmpint(r.clock_ms, <=, TIME_MAX_MS);
		for (guint i = 0; i < r.running->len; i++) {
			const struct agent_running *a =
			    &g_array_index(r.running, struct agent_running, i);

			g_assert_cmpuint(a->id.number, >, 0);
			g_assert_cmpint(a->percent, >=, 0);
			g_assert_cmpint(a->percent, <=, 100);
		}
		for (guint i = 0; i < r.ends->len; i++)
			g_assert_cmpuint(
			    g_array_index(r.ends, struct agent_end, i).number,
			    >, 0);
	}
	agent_report_clear(&r);
}

static void
permits(const void *body, size_t len)
{
	struct agent_permits p;

	agent_permits_init(&p);
	if (platform_agent.read_permits(body, len, &p))
		for (guint i = 0; i < p.allowed->len; i++)
			g_assert_nonnull(
			    g_array_index(p.allowed, struct agent_permit, i)
				.permit);
	agent_permits_clear(&p);
}

static void
result(const void *body, size_t len)
{
	int64_t clock_ms = 7;

	(void)platform_agent.read_result(200, body, len, &clock_ms);
	g_assert_cmpint(clock_ms, <=, TIME_MAX_MS);
	(void)platform_agent.read_result(409, body, len, &clock_ms);
}

static void (*const readers[])(
    const void *, size_t) = { job, worker, config, report, permits, result };

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size > 0)
		readers[data[0] % G_N_ELEMENTS(readers)](data + 1, size - 1);
	return 0;
}
