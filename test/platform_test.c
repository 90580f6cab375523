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

/* Guards against two routes for one host, written in different case, and prefix
 * of which the later takes the place of the earlier. */
static void
test_hosts_differ_in_case(void)
{
	struct flow_config c;

	g_assert_false(decode_config(
	    CONFIG("7",
		ROUTE("r", "nony24.example", "/a/", "s", "3000") "," ROUTE(
		    "q", "Nony24.example", "/a/", "s", "3000")),
	    &c));
	g_assert_true(decode_config(
	    CONFIG("7",
		ROUTE("r", "nony24.example", "/a/", "s", "3000") "," ROUTE(
		    "q", "Nony24.example", "/b/", "s", "3000")),
	    &c));
	flow_config_clear(&c);
}

/* --- organisations --- */

#define TENANTS(list)                                                  \
	"{\"version\":7,\"tenants\":" list ",\"routes\":[" ROUTE(      \
	    "r", "h", "/a/", "s", "3000") "],\"services\":[{\"name\":" \
					  "\"s\"}]}"

static char *
config_error(const char *body)
{
	struct flow_config c;
	GError *err = NULL;
	char *message;

	g_assert_false(platform_config_decode(body, strlen(body), &c, &err));
	g_assert_error(err, BT_ERROR, ERR_INVALID);
	message = g_strdup(err->message);
	g_error_free(err);
	return message;
}

static void
test_organisations(void)
{
	static const char body[] =
	    TENANTS("[{\"name\":\"blue\",\"apiKeys\":[\"k1\",\"k2\",\"k1\"],"
		    "\"weight\":2.5,\"cap\":{\"cpu\":64000,\"memMb\":1024,"
		    "\"gpu\":3,\"new\":1},\"new\":[]},"
		    "{\"name\":\"red\"},"
		    "{\"name\":\"Blue\",\"apiKeys\":[],\"weight\":0,"
		    "\"cap\":{}},"
		    "{\"name\":\"green\",\"apiKeys\":null,\"weight\":null,"
		    "\"cap\":null}]");
	struct flow_config c;
	const struct flow_organisation *o;

	g_assert_true(decode_config(body, &c));
	g_assert_cmpuint(c.organisations->len, ==, 4);
	o = c.organisations->pdata[0];
	g_assert_cmpstr(o->name, ==, "blue");
	g_assert_cmpstr(o->keys->pdata[0], ==, "k1");
	g_assert_cmpstr(o->keys->pdata[1], ==, "k2");
	g_assert_cmpfloat(o->weight, ==, 2.5);
	g_assert_cmpint(o->cap.millicpus, ==, 64000);
	g_assert_cmpint(o->cap.memory, ==, 1024 * 1024 * 1024);
	g_assert_cmpint(o->cap.accelerators, ==, 3);
	o = c.organisations->pdata[1];
	g_assert_cmpuint(o->keys->len, ==, 0);
	g_assert_cmpfloat(o->weight, ==, 1);
	g_assert_cmpint(o->cap.millicpus, ==, 0);
	o = c.organisations->pdata[2];
	g_assert_cmpfloat(o->weight, ==, 0);
	o = c.organisations->pdata[3];
	g_assert_cmpfloat(o->weight, ==, 1);
	flow_config_clear(&c);
}

/* Guards against a document without organisations that demands keys, and an
 * empty list that demands none. */
static void
test_no_organisations(void)
{
	struct flow_config c;

	g_assert_true(
	    decode_config(CONFIG("7", ROUTE("r", "h", "/a/", "s", "9")), &c));
	g_assert_null(c.organisations);
	g_assert_false(((struct flow_queue *)c.queues->pdata[0])->public);
	flow_config_clear(&c);
	g_assert_true(decode_config(TENANTS("[]"), &c));
	g_assert_nonnull(c.organisations);
	g_assert_cmpuint(c.organisations->len, ==, 0);
	flow_config_clear(&c);
}

/* Guards against an invalid document that is accepted, and against a message
 * from which the operator can't tell what to correct. */
static void
test_bad_organisations(void)
{
	static const struct {
		const char *body;
		const char *field; /* that the message begins with */
	} bad[] = {
		{ TENANTS("{}"), "tenants: " },
		{ TENANTS("7"), "tenants: " },
		{ TENANTS("[7]"), "tenants[0]: " },
		{ TENANTS("[{\"name\":\"a\"},[]]"), "tenants[1]: " },
		{ TENANTS("[null]"), "tenants[0]: " },
		{ TENANTS("[{}]"), "tenants[0].name: " },
		{ TENANTS("[{\"name\":\"\"}]"), "tenants[0].name: " },
		{ TENANTS("[{\"name\":null}]"), "tenants[0].name: " },
		{ TENANTS("[{\"name\":5}]"), "tenants[0].name: " },
		{ TENANTS("[{\"name\":\"a\"},{\"name\":\"b\"},"
			  "{\"name\":\"a\"}]"),
		    "tenants[2].name: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":\"k\"}]"),
		    "tenants[0].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":{}}]"),
		    "tenants[0].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"k\",5]}]"),
		    "tenants[0].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":[null]}]"),
		    "tenants[0].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
		    "tenants[0].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
			  "{\"name\":\"b\",\"apiKeys\":[\"j\",\"k\"]}]"),
		    "tenants[1].apiKeys: " },
		{ TENANTS("[{\"name\":\"a\",\"weight\":-0.1}]"),
		    "tenants[0].weight: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"weight\":\"1\"}]"),
		    "tenants[0].weight: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"weight\":true}]"),
		    "tenants[0].weight: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":4}]"), "tenants[0].cap: " },
		{ TENANTS("[{\"name\":\"a\",\"cap\":[]}]"),
		    "tenants[0].cap: " },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"cpu\":-1}}]"),
		    "tenants[0].cap.cpu: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"cpu\":\"1\"}}]"),
		    "tenants[0].cap.cpu: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"memMb\":-1}}]"),
		    "tenants[0].cap.memMb: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"memMb\":[]}}]"),
		    "tenants[0].cap.memMb: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"gpu\":-0.5}}]"),
		    "tenants[0].cap.gpu: must be a number of at least 0" },
		{ TENANTS("[{\"name\":\"a\",\"cap\":{\"gpu\":false}}]"),
		    "tenants[0].cap.gpu: must be a number of at least 0" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *message = config_error(bad[i].body);

		if (!g_str_has_prefix(message, bad[i].field))
			g_error("%s: got \"%s\"", bad[i].body, message);
		g_free(message);
	}
}

#define PUBLIC_ROUTE(value)                                                  \
	"{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"service\":" \
	"\"s\",\"timeoutMs\":9,\"public\":" value "}"

static void
test_public_route(void)
{
	struct flow_config c;

	g_assert_true(decode_config(CONFIG("7", PUBLIC_ROUTE("true")), &c));
	g_assert_true(((struct flow_queue *)c.queues->pdata[0])->public);
	flow_config_clear(&c);
	g_assert_true(decode_config(CONFIG("7", PUBLIC_ROUTE("false")), &c));
	g_assert_false(((struct flow_queue *)c.queues->pdata[0])->public);
	flow_config_clear(&c);
	g_assert_false(decode_config(CONFIG("7", PUBLIC_ROUTE("1")), &c));
	g_assert_false(decode_config(CONFIG("7", PUBLIC_ROUTE("\"yes\"")), &c));
}

/* Messages go to the log and to the answer. Guards against one that repeats a
 * key of the document. */
static void
test_errors_without_keys(void)
{
	static const char *const bad[] = {
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"hidden\" 5]}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[5 \"hidden\"]}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[hidden]}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"hidden]}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"hidden\\x\"]}]"),
		TENANTS("[{\"hidden\":1,\"hidden\":2}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"hidden\",5]}]"),
		TENANTS("[{\"name\":\"a\",\"apiKeys\":[\"hidden\"]},"
			"{\"name\":\"b\",\"apiKeys\":[\"hidden\"]}]"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *message = config_error(bad[i]);

		if (strstr(message, "hidden") != NULL)
			g_error("%s: got \"%s\"", bad[i], message);
		g_free(message);
	}
}

/* A document with an organisation that has this many keys of len bytes. */
static char *
config_of_keys(int count, int len)
{
	GString *list = g_string_new("[{\"name\":\"a\",\"apiKeys\":[");
	char *body;

	for (int i = 0; i < count; i++)
		g_string_append_printf(
		    list, "%s\"%0*d\"", i == 0 ? "" : ",", len, i);
	g_string_append(list, "]}]");
	body = g_strdup_printf("{\"version\":7,\"tenants\":%s,\"routes\":[],"
			       "\"services\":[]}",
	    list->str);
	g_string_free(list, TRUE);
	return body;
}

/* Guards against a document that its decoder accepts and the leader refuses,
 * so that the operator is not told which field is wrong. */
static void
test_many_and_long_keys(void)
{
	struct flow_config in;
	struct flow_config out;
	char *many = config_of_keys(2000, 20);
	char *max = config_of_keys(1, 1024);
	char *too_long = config_of_keys(1, 1025);
	const char *const good[] = { many, max };
	char *message = config_error(too_long);

	g_assert_true(g_str_has_prefix(message, "tenants[0].apiKeys: "));
	for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
		GBytes *bytes;
		const void *data;
		gsize len;

		g_assert_true(decode_config(good[i], &in));
		bytes = flow_config_encode(&in);
		data = g_bytes_get_data(bytes, &len);
		g_assert_true(flow_config_decode(data, len, &out));
		flow_config_clear(&in);
		flow_config_clear(&out);
		g_bytes_unref(bytes);
	}
	g_free(message);
	g_free(many);
	g_free(max);
	g_free(too_long);
}

/* A cap above what can be counted is no limit in practice; it is not negative
 * and is a number, so the document is valid. Guards against its refusal, and
 * against a cap below 1 that is rounded to 0, which means no limit. */
static void
test_extreme_caps(void)
{
	static const char body[] =
	    TENANTS("[{\"name\":\"a\",\"cap\":{\"cpu\":1e300,"
		    "\"memMb\":9223372036854775807,\"gpu\":1125899906842625}},"
		    "{\"name\":\"b\",\"cap\":{\"cpu\":0.5,\"memMb\":0.5,"
		    "\"gpu\":0.5}}]");
	struct flow_config in;
	struct flow_config out;
	const struct flow_organisation *o;
	GBytes *bytes;
	gsize len;
	const void *data;

	g_assert_true(decode_config(body, &in));
	bytes = flow_config_encode(&in);
	data = g_bytes_get_data(bytes, &len);
	g_assert_true(flow_config_decode(data, len, &out));
	o = out.organisations->pdata[0];
	g_assert_cmpint(o->cap.millicpus, ==, INT64_C(1) << 50);
	g_assert_cmpint(o->cap.memory, ==, INT64_C(1) << 50);
	g_assert_cmpint(o->cap.accelerators, ==, INT64_C(1) << 50);
	o = out.organisations->pdata[1];
	g_assert_cmpint(o->cap.millicpus, ==, 1);
	g_assert_cmpint(o->cap.memory, ==, 1024 * 1024);
	g_assert_cmpint(o->cap.accelerators, ==, 1);
	flow_config_clear(&in);
	flow_config_clear(&out);
	g_bytes_unref(bytes);
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

/* Returns a JSON text of so many nested arrays. */
static char *
nested_arrays(size_t depth)
{
	char *open = g_strnfill(depth, '[');
	char *close = g_strnfill(depth, ']');
	char *text = g_strconcat(open, close, NULL);

	g_free(open);
	g_free(close);
	return text;
}

/* Guards against heartbeats of another writer, with numbers or ports out of
 * range or nested deeply, that end a process or name a worker to use. */
static void
test_odd_heartbeats(void)
{
	static const struct {
		const char *from;
		const char *to;
	} changes[] = {
		{ "10.0.0.9:8080", "10.0.0.9:65536" },
		{ "10.0.0.9:8080", "10.0.0.9:-1" },
		{ "10.0.0.9:8080", "10.0.0.9:99999999999999999999" },
		{ "10.0.0.9:8080", "10.0.0.9" },
		{ "10.0.0.9:8080", "worker.example:8080" },
		{ "\"cpu\":16000", "\"cpu\":1e30" },
		{ "\"cpu\":16000", "\"cpu\":1e999" },
		{ "\"cpu\":16000", "\"cpu\":99999999999999999999" },
		{ "\"memMb\":32768", "\"memMb\":9007199254740993" },
		{ "\"cpu\":16000", "\"cpu\":-1" },
		{ "\"born\":99", "\"born\":9223372036854775807" },
		{ "\"seq\":4", "\"seq\":1e300" },
	};
	static const char good[] = "{" WORKER ",\"seq\":4,\"state\":\"ready\"}";
	char *nested = nested_arrays(100000);
	char *body = g_strconcat(
	    "{" WORKER ",\"seq\":4,\"state\":\"ready\",\"x\":", nested, "}",
	    NULL);
	struct flow_worker w;
	int64_t seq;

	g_assert_true(
	    platform_worker_decode(good, strlen(good), "i-1", &w, &seq, NULL));
	flow_worker_clear(&w);
	g_assert_false(
	    platform_worker_decode(body, strlen(body), "i-1", &w, &seq, NULL));
	g_free(body);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		GString *text = g_string_new(good);

		g_assert_cmpuint(
		    g_string_replace(text, changes[i].from, changes[i].to, 1),
		    ==, 1);
		g_assert_false(platform_worker_decode(
		    text->str, text->len, "i-1", &w, &seq, NULL));
		g_string_free(text, TRUE);
	}
	g_free(nested);
}

#define TASK "\"5c0e7a21d94b36f8.0.1.17\""

static bool
read_report(const char *text, struct agent_report *r)
{
	agent_report_init(r);
	return platform_agent.read_report(text, strlen(text), r);
}

/* Guards against one odd row among the runs of a worker that hides the others,
 * so that these are taken for lost, or that is taken for another run. */
static void
test_odd_rows(void)
{
	static const char *const running[] = { "[" TASK ",4294967297,\"\",1]",
		"[" TASK ",0,\"\",1]", "[" TASK ",-1,\"\",1]",
		"[" TASK ",1e300,\"\",1]", "[" TASK ",\"1\",\"\",1]",
		"[7,1,\"\",1]", "[\"x\",1,\"\",1]", "[]", "{}", "null", "1",
		"[\"+c0e7a21d94b36f8.0.1.17\",1,\"\",1]",
		"[\"5c0e7a21d94b36f8.0.1.99999999999\",1,\"\",1]",
		"[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]" };
	static const char *const ends[] = { "[0," TASK ",1,\"done\",\"\"]",
		"[-5," TASK ",1,\"done\",\"\"]",
		"[1e300," TASK ",1,\"done\",\"\"]",
		"[2," TASK ",4294967297,\"done\",\"\"]",
		"[2," TASK ",1,\"melted\",\"\"]", "[2," TASK ",1,7,\"\"]",
		"[2,null,1,\"done\",\"\"]", "[]", "7", "null" };
	struct agent_report r;

	for (size_t i = 0; i < G_N_ELEMENTS(running); i++) {
		char *text = g_strdup_printf(
		    "{\"currentTimeMs\":1,\"endedRuns\":[],\"running\":[%s,"
		    "[" TASK ",2,\"\",1e308,-1e308]]}",
		    running[i]);

		g_assert_true(read_report(text, &r));
		g_assert_cmpuint(r.running->len, ==, 1);
		g_assert_cmpuint(r.unreadable, ==, 1);
		g_assert_cmpint(
		    g_array_index(r.running, struct agent_running, 0).percent,
		    ==, 100);
		agent_report_clear(&r);
		g_free(text);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		char *text = g_strdup_printf(
		    "{\"currentTimeMs\":1,\"running\":[],\"endedRuns\":[%s,"
		    "[9," TASK ",1,\"done\",\"\"]]}",
		    ends[i]);

		g_assert_true(read_report(text, &r));
		g_assert_cmpuint(r.ends->len, ==, 1);
		g_assert_cmpuint(r.unreadable, ==, 1);
		agent_report_clear(&r);
		g_free(text);
	}
}

/* Guards against an answer without its lists, or with a clock out of range,
 * that is taken for the report of a worker on which nothing runs. */
static void
test_odd_reports(void)
{
	static const char *const bad[] = { "{\"currentTimeMs\":1}",
		"{\"currentTimeMs\":1,\"running\":[]}",
		"{\"currentTimeMs\":1,\"running\":{},\"endedRuns\":[]}",
		"{\"currentTimeMs\":9223372036854775807,\"running\":[],"
		"\"endedRuns\":[]}",
		"{\"currentTimeMs\":1,\"born\":9223372036854775807,"
		"\"running\":[],\"endedRuns\":[]}" };
	char *nested = nested_arrays(100000);
	char *text = g_strdup_printf(
	    "{\"currentTimeMs\":1,\"running\":%s,\"endedRuns\":[]}", nested);
	struct agent_report r;

	g_assert_false(read_report(text, &r));
	agent_report_clear(&r);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_false(read_report(bad[i], &r));
		agent_report_clear(&r);
	}
	g_free(text);
	g_free(nested);
}

/* Guards against an odd row of the policy service that hides the permits for
 * other workers. */
static void
test_odd_permits(void)
{
	static const char text[] =
	    "{\"good\":[[\"i-1\",7],[\"i-2\",\"t\"],[],null,[8,\"t\"]]}";
	struct agent_permits p;

	agent_permits_init(&p);
	g_assert_true(platform_agent.read_permits(text, strlen(text), &p));
	g_assert_cmpuint(p.allowed->len, ==, 1);
	g_assert_cmpstr(
	    g_array_index(p.allowed, struct agent_permit, 0).worker, ==, "i-2");
	agent_permits_clear(&p);
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

/* Reads a report with so many ends; returns whether it may have been cut. */
static bool
is_cut(int ends)
{
	GString *text = g_string_new("{\"currentTimeMs\":1,\"endedRuns\":[");
	struct agent_report r;
	bool cut;

	for (int i = 0; i < ends; i++)
		g_string_append_printf(text,
		    "%s[%d,\"5c0e7a21d94b36f8.0.0.%d\",1,\"done\",\"\"]",
		    i == 0 ? "" : ",", i + 1, i);
	g_string_append(text, "],\"running\":[]}");
	agent_report_init(&r);
	g_assert_true(platform_agent.read_report(text->str, text->len, &r));
	g_assert_cmpint((int)r.ends->len, ==, ends);
	cut = r.ends_cut;
	agent_report_clear(&r);
	g_string_free(text, TRUE);
	return cut;
}

/* Guards against a list of ends that is taken for complete although a worker
 * lists 500 at a time. */
static void
test_ends_cut(void)
{
	g_assert_false(is_cut(0));
	g_assert_false(is_cut(499));
	g_assert_true(is_cut(500));
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
	g_assert_false(s.node.dispatch.yield_under_overload);
	platform_settings_clear(&s);
	g_assert_true(read_settings(
	    NODE "peer-ports=7720,7735\ndata-dir=\noverload=yield\n", &s));
	g_assert_null(s.node.data_dir);
	g_assert_true(s.node.dispatch.yield_under_overload);
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
	/* A gang on workers of infinite or undefined slowdown hung the leader.
	 */
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\nfar-factor=nan\n", &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\nuneven-workers=inf\n", &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\noverload=maybe\n", &s));
	g_assert_false(
	    read_settings(NODE "peer-ports=1,2\nfirst-start=7\n", &s));
}

/* Guards against voters that are given up for losses which the platform did
 * not state. */
static void
test_tolerated_losses(void)
{
	g_assert_cmpint(platform_disk_losses("2", "0", "0"), ==, 2);
	g_assert_cmpint(platform_disk_losses("0", NULL, NULL), ==, 0);
	g_assert_cmpint(platform_disk_losses("1000000", NULL, NULL), ==, 100);
	g_assert_cmpint(platform_disk_losses(NULL, NULL, NULL), ==, -1);
	g_assert_cmpint(platform_disk_losses("", "", ""), ==, -1);
	g_assert_cmpint(platform_disk_losses("1", "1", "0"), ==, -1);
	g_assert_cmpint(platform_disk_losses("1", "0", "1"), ==, -1);
	g_assert_null(platform_check_count("2"));
	g_assert_null(platform_check_count(""));
	g_assert_nonnull(platform_check_count("-1"));
	g_assert_nonnull(platform_check_count("1.5"));
	g_assert_nonnull(platform_check_count("{{faultTolerance.machines}}"));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/job", test_job);
	g_test_add_func("/platform/bad-jobs", test_bad_jobs);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func(
	    "/platform/hosts-differ-in-case", test_hosts_differ_in_case);
	g_test_add_func("/platform/organisations", test_organisations);
	g_test_add_func("/platform/no-organisations", test_no_organisations);
	g_test_add_func("/platform/bad-organisations", test_bad_organisations);
	g_test_add_func("/platform/public-route", test_public_route);
	g_test_add_func(
	    "/platform/errors-without-keys", test_errors_without_keys);
	g_test_add_func(
	    "/platform/many-and-long-keys", test_many_and_long_keys);
	g_test_add_func("/platform/extreme-caps", test_extreme_caps);
	g_test_add_func("/platform/worker", test_worker);
	g_test_add_func("/platform/orders", test_orders);
	g_test_add_func("/platform/answers", test_answers);
	g_test_add_func("/platform/ends-cut", test_ends_cut);
	g_test_add_func("/platform/odd-heartbeats", test_odd_heartbeats);
	g_test_add_func("/platform/odd-rows", test_odd_rows);
	g_test_add_func("/platform/odd-reports", test_odd_reports);
	g_test_add_func("/platform/odd-permits", test_odd_permits);
	g_test_add_func("/platform/settings", test_settings);
	g_test_add_func("/platform/tolerated-losses", test_tolerated_losses);
	return g_test_run();
}
