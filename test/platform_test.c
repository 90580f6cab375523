/* Tests of the decoders and encoders for the platform's bodies and settings. */
#include <string.h>

#include "platform.h"

static const char job_body[] =
    "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
    "\"estimatedMs\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
    "\"memMb\":1024,\"gpu\":1,\"after\":[0],\"checkpointing\":true,"
    "\"gangScheduled\":true,\"antiAffinity\":2,\"requirements\":\"a\"}],"
    "\"new\":{}}";

static void
test_job(void)
{
	struct flow_spec spec;
	const struct flow_step *s;
	GError *err = NULL;

	g_assert_true(
	    platform_job_decode(job_body, strlen(job_body), &spec, &err));
	g_assert_no_error(err);
	g_assert_cmpstr(spec.payload, ==, "text");
	g_assert_cmpuint(spec.steps->len, ==, 2);
	s = spec.steps->pdata[0];
	g_assert_cmpuint(s->count, ==, 4);
	g_assert_cmpint(s->resources.millicpus, ==, 500);
	g_assert_cmpint(s->resources.memory, ==, 256 * 1024 * 1024);
	g_assert_cmpstr(s->data_rack, ==, "r1-3");
	s = spec.steps->pdata[1];
	g_assert_true(s->gang && s->checkpointing);
	g_assert_cmpint(s->resources.accelerators, ==, 1);
	g_assert_cmpuint(s->max_per_worker, ==, 2);
	g_assert_cmpstr(s->label, ==, "a");
	g_assert_cmpuint(g_array_index(s->after, uint32_t, 0), ==, 0);
	flow_spec_clear(&spec);
}

static void
test_bad_jobs(void)
{
	static const char *const bad[] = { "", "[]", "{", "{\"spec\":\"x\"}",
		"{\"steps\":[]}", "{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":\"4\"}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":-1}]}",
		"{\"steps\":[{\"count\":1}],\"spec\":7}", "{\"steps\":7}" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct flow_spec spec;
		GError *err = NULL;

		g_assert_false(
		    platform_job_decode(bad[i], strlen(bad[i]), &spec, &err));
		g_assert_error(err, BT_ERROR, ERR_INVALID);
		g_error_free(err);
	}
}

#define ROUTE(name, host, prefix, service, timeout)                         \
	"{\"name\":\"" name "\",\"host\":\"" host                           \
	"\",\"pathPrefix\":\"" prefix "\",\"service\":\"" service           \
	"\",\"timeoutMs\":" timeout                                         \
	",\"priority\":1,\"maxAttempts\":3,\"slackFactor\":2.2,"            \
	"\"targetLatencyMs\":1000,\"recommendation\":{\"decisionMs\":12.5," \
	"\"perWorkerMs\":0.17,\"validityMs\":2500}}"
#define CONFIG(version, routes)                        \
	"{\"version\":" version ",\"routes\":[" routes \
	"],\"services\":[{\"name\":\"s\",\"constraints\":true}]}"

static bool
decode_config(const char *body, struct flow_config *c)
{
	GError *err = NULL;
	bool ok = platform_config_decode(body, strlen(body), c, &err);

	g_assert_true(ok == (err == NULL));
	g_clear_error(&err);
	return ok;
}

static void
test_config(void)
{
	static const char good[] =
	    CONFIG("7", ROUTE("r", "h", "/a/", "s", "3000"));
	static const char *const bad[] = {
		"{\"version\":7,\"routes\":[",
		CONFIG("0", ROUTE("r", "h", "/a/", "s", "3000")),
		CONFIG("\"7\"", ROUTE("r", "h", "/a/", "s", "3000")),
		CONFIG("7", ROUTE("r", "h", "/a/", "s", "0")),
		CONFIG("7", ROUTE("r", "h", "/a/", "none", "3000")),
		CONFIG("7",
		    ROUTE("r", "h", "/a/", "s", "3000") "," ROUTE(
			"q", "h", "/a/", "s", "3000")),
		"{\"version\":7,\"routes\":[]}",
		"{\"version\":7,\"services\":[]}",
	};
	struct flow_config c;
	const struct flow_queue *q;

	g_assert_true(decode_config(good, &c));
	g_assert_cmpuint(c.version, ==, 7);
	g_assert_cmpmem(g_bytes_get_data(c.document, NULL),
	    g_bytes_get_size(c.document), good, strlen(good));
	q = c.queues->pdata[0];
	g_assert_cmpstr(q->pool, ==, "s");
	g_assert_cmpuint(q->max_failures, ==, 3);
	g_assert_true(q->needs_permit);
	g_assert_cmpint(q->permit_valid_ms, ==, 2500);
	flow_config_clear(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(decode_config(bad[i], &c));
}

#define WORKER                                                                \
	"\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","     \
	"\"slots\":8,\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}," \
	"\"labels\":[\"a\",\"r1-3\"],\"currentTimeMs\":5,\"born\":99"

static void
test_worker(void)
{
	static const char good[] =
	    "{" WORKER ",\"seq\":4,\"state\":\"draining\"}";
	static const char *const bad[] = { "{}", "\xff\xfe",
		"{" WORKER ",\"seq\":4,\"state\":\"asleep\"}",
		"{" WORKER ",\"state\":\"ready\"}",
		"{" WORKER ",\"seq\":\"4\",\"state\":\"ready\"}",
		"{\"service\":7,\"state\":\"ready\",\"seq\":1}" };
	struct flow_worker w;
	GError *err = NULL;
	int64_t seq;

	g_assert_true(
	    platform_worker_decode(good, strlen(good), "i-1", &w, &seq, &err));
	g_assert_cmpint(seq, ==, 4);
	g_assert_true(w.draining);
	g_assert_cmpint(w.started_ms, ==, 99);
	g_assert_cmpstr(w.rack, ==, "r1-3");
	g_assert_cmpint(w.capacity.millicpus, ==, 16000);
	flow_worker_clear(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_false(platform_worker_decode(
		    bad[i], strlen(bad[i]), "i-1", &w, &seq, &err));
		g_assert_error(err, BT_ERROR, ERR_INVALID);
		g_clear_error(&err);
	}
}

static void
test_orders(void)
{
	struct agent_start s = { .id = { 0x5c0e7a21d94b36f8, 0, 1, 17, 2 },
		.payload = "text",
		.lease_until_ms = 486000,
		.fence = 7,
		.checkpoint = "cp" };
	struct agent_poll poll = { .fence = 7, .acked = 57, .wait_ms = 1000 };
	char *text = platform_agent.write_start(&s);

	g_assert_nonnull(strstr(text, "\"task\":\"5c0e7a21d94b36f8.0.1.17\""));
	g_assert_nonnull(strstr(text, "\"run\":2"));
	g_assert_nonnull(strstr(text, "\"checkpoint\":\"cp\""));
	g_assert_null(strstr(text, "ticket"));
	g_free(text);
	text = platform_agent.write_poll(&poll);
	g_assert_null(strstr(text, "deadlineMs"));
	g_assert_nonnull(strstr(text, "\"ackCursor\":57"));
	g_free(text);
}

static enum agent_result
read_result(int status, const char *body, int64_t *clock_ms)
{
	return platform_agent.read_result(status, body, strlen(body), clock_ms);
}

static void
test_answers(void)
{
	static const char rows[] =
	    "{\"currentTimeMs\":482113,\"born\":99,\"running\":"
	    "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"cp\",41,900]],\"endedRuns\":"
	    "[[58,\"5c0e7a21d94b36f8.3.1.9\",1,\"broken\",\"\"]]}";
	static const char foreign[] =
	    "{\"currentTimeMs\":1,\"running\":[[\"x\",2,\"\",1]]}";
	struct agent_report r;
	const struct agent_end *e;
	int64_t clock_ms = -1;

	g_assert_cmpint(read_result(200, "{\"currentTimeMs\":5}", &clock_ms),
	    ==, AGENT_ACCEPTED);
	g_assert_cmpint(clock_ms, ==, 5);
	g_assert_cmpint(
	    read_result(
		409, "{\"currentTimeMs\":6,\"reason\":\"old\"}", &clock_ms),
	    ==, AGENT_ENDED);
	g_assert_cmpint(read_result(409, "{\"reason\":\"odd\"}", &clock_ms), ==,
	    AGENT_UNKNOWN);
	g_assert_cmpint(
	    read_result(421, "", &clock_ms), ==, AGENT_OTHER_INCARNATION);
	g_assert_cmpint(read_result(503, "", &clock_ms), ==, AGENT_UNHEALTHY);
	g_assert_cmpint(read_result(0, "", &clock_ms), ==, AGENT_UNKNOWN);
	g_assert_cmpint(read_result(200, "{", &clock_ms), ==, AGENT_UNKNOWN);
	agent_report_init(&r);
	g_assert_true(platform_agent.read_report(rows, strlen(rows), &r));
	g_assert_cmpint(r.started_ms, ==, 99);
	g_assert_cmpuint(r.running->len, ==, 1);
	e = &g_array_index(r.ends, struct agent_end, 0);
	g_assert_cmpuint(e->number, ==, 58);
	g_assert_cmpuint(e->id.occurrence, ==, 3);
	g_assert_cmpint(e->outcome, ==, AGENT_GANG_BROKEN);
	agent_report_clear(&r);
	agent_report_init(&r);
	g_assert_false(
	    platform_agent.read_report(foreign, strlen(foreign), &r));
	agent_report_clear(&r);
}

static bool
read_settings(const char *text, struct platform_settings *s)
{
	GError *err = NULL;
	bool ok = platform_settings_parse(text, s, &err);

	g_assert_true(ok == (err == NULL));
	g_clear_error(&err);
	return ok;
}

#define NODE "[node]\nname=n1\ndata-center=z\nip=127.0.0.1\n"

static void
test_settings(void)
{
	struct platform_settings s;

	g_assert_true(read_settings(NODE
	    "peer-ports=7720,7735\nseeds=10.1.0.1:81,10.1.0.2:81\n"
	    "first-start=true\ndata-dir=/data\ncallers=127.0.0.1:80\n"
	    "lease-max-ms=6000\nunknown=1\npeer-listen=127.0.0.2:9\n",
	    &s));
	g_assert_cmpstr(s.node.peer_address, ==, "127.0.0.1:7720");
	g_assert_cmpstr(s.node.listen_address, ==, "127.0.0.2:9");
	g_assert_cmpuint(s.node.seeds->len, ==, 2);
	g_assert_cmpstr(s.node.seeds->pdata[1], ==, "10.1.0.2:7720");
	g_assert_true(s.node.first_start);
	g_assert_null(s.control_address);
	platform_settings_clear(&s);
	g_assert_true(
	    read_settings(NODE "peer-ports=7720,7735\ndata-dir=\n", &s));
	g_assert_null(s.node.data_dir);
	/* Disabled unless the settings enable it. */
	g_assert_cmpfloat(s.node.dispatch.uneven_workers, ==, 0);
	platform_settings_clear(&s);
	g_assert_true(
	    read_settings(NODE "peer-ports=1,2\nuneven-workers=1.75\n", &s));
	g_assert_cmpfloat(s.node.dispatch.uneven_workers, ==, 1.75);
	platform_settings_clear(&s);
	g_assert_false(read_settings(NODE, &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\ncallers=here\n", &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\nlease-max-ms=-4\n", &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\nfirst-start=7\n", &s));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/job", test_job);
	g_test_add_func("/platform/bad-jobs", test_bad_jobs);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/worker", test_worker);
	g_test_add_func("/platform/orders", test_orders);
	g_test_add_func("/platform/answers", test_answers);
	g_test_add_func("/platform/settings", test_settings);
	return g_test_run();
}
