#include <jansson.h>
#include <string.h>

#include "api.h"

#define RESOURCES "\"resources\":{\"millicpus\":500,\"memory_bytes\":1024}"
#define WORKER "{\"name\":\"w\",\"incarnation\":1,"
#define JOB "{\"team\":\"desk\",\"name\":\"n\",\"kind\":\"batch\"," RESOURCES

static bool
job_ok(const char *body, struct cell_spec *spec)
{
	GError *err = NULL;
	bool ok = api_parse_job(body, strlen(body), spec, &err);

	g_assert_cmpint(ok, ==, err == NULL);
	if (!ok)
		g_assert_error(err, BT_ERROR, ERR_INVALID);
	g_clear_error(&err);
	return ok;
}

static void
test_job(void)
{
	struct cell_spec s;
	const char *payload;
	gsize len;

	g_assert_true(job_ok(JOB "}", &s));
	g_assert_cmpuint(s.tasks, ==, 1);
	g_assert_cmpint(s.resources.millicpus, ==, 500);
	g_assert_false(s.idempotent);
	g_assert_cmpint(s.spread, ==, SPREAD_NONE);
	g_assert_null(s.payload);
	cell_spec_clear(&s);
	g_assert_true(
	    job_ok(JOB ",\"tasks\":3,\"urgent\":true,\"idempotent\":true,"
		       "\"spread\":\"rack\",\"data_centers\":[\"salem\"],"
		       "\"deadline_ms\":5,\"runtime_ms\":7,"
		       "\"payload\": {\"price\": 19.99, \"t\":\"]}\\\"\"} }",
		&s));
	g_assert_cmpuint(s.tasks, ==, 3);
	g_assert_true(s.urgent && s.idempotent);
	g_assert_cmpint(s.spread, ==, SPREAD_RACK);
	g_assert_cmpstr(g_ptr_array_index(s.data_centers, 0), ==, "salem");
	/* The payload is not reformatted. */
	payload = g_bytes_get_data(s.payload, &len);
	g_assert_cmpmem(payload, len, "{\"price\": 19.99, \"t\":\"]}\\\"\"}",
	    strlen("{\"price\": 19.99, \"t\":\"]}\\\"\"}"));
	cell_spec_clear(&s);
}

static void
test_job_faults(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{",
		"null",
		JOB,
		JOB ",\"tasks\":0}",
		JOB ",\"tasks\":10001}",
		JOB ",\"tasks\":1.5}",
		JOB ",\"tasks\":99999999999999999999}",
		JOB ",\"urgent\":1}",
		JOB ",\"runtime_ms\":-1}",
		JOB ",\"spread\":\"row\"}",
		JOB ",\"data_centers\":[1]}",
		JOB ",\"data_centers\":\"salem\"}",
		JOB ",\"colour\":1}",
		JOB ",\"team\":\"desk\"}",
		JOB ",\"payload\":\"\xff\"}",
		JOB ",\"payload\":{\"a\":1,\"a\":2}}",
		"{\"team\":\"\",\"name\":\"n\",\"kind\":\"batch\"," RESOURCES
		"}",
		"{\"team\":\"d\\u0000\",\"name\":\"n\",\"kind\":"
		"\"batch\"," RESOURCES "}",
		"{\"team\":\"d\",\"name\":\"n\",\"kind\":\"cron\"," RESOURCES
		"}",
		"{\"team\":\"d\",\"name\":\"n\",\"kind\":\"batch\"}",
		"{\"team\":\"d\",\"name\":\"n\",\"kind\":\"batch\","
		"\"resources\":3}",
		"{\"team\":\"d\",\"name\":\"n\",\"kind\":\"batch\","
		"\"resources\":{\"millicpus\":0,\"memory_bytes\":1}}",
		"{\"team\":\"d\",\"name\":\"n\",\"kind\":\"batch\","
		"\"resources\":{\"millicpus\":1,\"memory_bytes\":1,\"gpu\":1}}",
	};
	struct cell_spec s;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		if (job_ok(bad[i], &s))
			g_error("accepted: %s", bad[i]);
	}
}

static void
test_job_limits(void)
{
	char *open_brackets = g_strnfill(40, '[');
	char *close_brackets = g_strnfill(40, ']');
	char *nested = g_strdup_printf(
	    JOB ",\"payload\":%s1%s}", open_brackets, close_brackets);
	char *letters = g_strnfill(CELL_PAYLOAD_MAX, 'x');
	char *large = g_strdup_printf(JOB ",\"payload\":\"%s\"}", letters);
	char *deepest = g_strnfill(100000, '[');
	struct cell_spec s;

	g_assert_false(job_ok(nested, &s));
	g_assert_false(job_ok(large, &s));
	g_assert_false(job_ok(deepest, &s));
	letters[CELL_NAME_MAX + 1] = '\0';
	g_free(large);
	large = g_strdup_printf("{\"team\":\"d\",\"name\":\"%s\","
				"\"kind\":\"batch\"," RESOURCES "}",
	    letters);
	g_assert_false(job_ok(large, &s));
	g_free(open_brackets);
	g_free(close_brackets);
	g_free(nested);
	g_free(letters);
	g_free(large);
	g_free(deepest);
}

static void
test_all_faults_at_once(void)
{
	static const char body[] = "{\"team\":7,\"kind\":\"cron\","
				   "\"tasks\":-2,\"colour\":\"red\"}";
	struct cell_spec s;
	GError *err = NULL;

	g_assert_false(api_parse_job(body, strlen(body), &s, &err));
	g_assert_nonnull(strstr(err->message, "team: found 7"));
	g_assert_nonnull(strstr(err->message, "name: found nothing"));
	g_assert_nonnull(strstr(err->message, "kind: found \"cron\""));
	g_assert_nonnull(strstr(err->message,
	    "tasks: found -2, allowed a whole number from 1 to 10000"));
	g_assert_nonnull(strstr(err->message, "colour: found \"red\""));
	g_assert_nonnull(strstr(err->message, "resources: found nothing"));
	g_error_free(err);
}

static bool
worker_ok(const char *body, struct api_worker *w)
{
	return api_parse_worker(body, strlen(body), w, NULL);
}

static void
test_worker(void)
{
	struct api_worker w;
	struct api_attempt *a;
	struct api_end *e;

	g_assert_true(worker_ok(
	    "{\"name\":\"w1\",\"address\":\"10.0.0.1:90\",\"incarnation\":5,"
	    "\"rack\":\"r\",\"data_center\":\"salem\",\"millicpus\":64000,"
	    "\"memory_bytes\":9,\"accelerators\":1,\"slots\":8,"
	    "\"connections\":64,\"colour\":\"red\",\"epoch\":4,"
	    "\"running\":[{\"task\":\"7.2\",\"attempt\":3,\"millicpus\":10},"
	    "\"8.0/2\"],\"ended\":[{\"task\":\"9.1\",\"attempt\":1,"
	    "\"status\":\"done\",\"result\": {\"n\": 1.10}}]}",
	    &w));
	g_assert_true(w.complete && w.has_running);
	g_assert_cmpuint(w.worker.incarnation, ==, 5);
	g_assert_cmpint(w.worker.capacity.millicpus, ==, 64000);
	g_assert_cmpuint(w.epoch, ==, 4);
	a = &g_array_index(w.running, struct api_attempt, 0);
	g_assert_cmpuint(a->job, ==, 7);
	g_assert_cmpuint(a->task, ==, 2);
	g_assert_cmpuint(a->attempt, ==, 3);
	g_assert_cmpint(a->millicpus, ==, 10);
	g_assert_cmpint(a->memory, ==, -1);
	g_assert_cmpuint(a[1].attempt, ==, 2);
	e = &g_array_index(w.ended, struct api_end, 0);
	g_assert_cmpint(e->how, ==, END_DONE);
	g_assert_cmpmem(g_bytes_get_data(e->result, NULL),
	    g_bytes_get_size(e->result), "{\"n\": 1.10}", 11);
	api_worker_clear(&w);
	/* Only the required keys; here the incarnation is a string. */
	g_assert_true(worker_ok("{\"name\":\"w1\",\"incarnation\":\"a\"}", &w));
	g_assert_false(w.complete || w.has_running);
	g_assert_cmpuint(w.worker.incarnation, ==, hash64("a", 1));
	api_worker_clear(&w);
}

static void
test_worker_faults(void)
{
	static const char *const bad[] = {
		"{}",
		"{\"name\":\"w\"}",
		"{\"name\":\"w\",\"incarnation\":-1}",
		WORKER "\"address\":\"host\"}",
		WORKER "\"address\":\"h:70000\"}",
		WORKER "\"slots\":-1}",
		WORKER "\"running\":{}}",
		WORKER "\"running\":[\"7.1\"]}",
		WORKER "\"running\":[\"7/1\"]}",
		WORKER "\"running\":[null]}",
		WORKER "\"ended\":[{\"task\":\"7.1\",\"attempt\":1,"
		       "\"status\":\"gone\"}]}",
		WORKER "\"ended\":[1]}",
	};
	struct api_worker w;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		if (worker_ok(bad[i], &w))
			g_error("accepted: %s", bad[i]);
	}
}

static void
test_end(void)
{
	static const char body[] = "{\"worker\":\"w1\",\"epoch\":3,"
				   "\"status\":\"failed\",\"result\":null}";
	struct api_end e;
	GError *err = NULL;

	g_assert_true(api_parse_end(body, strlen(body), &e, &err));
	g_assert_no_error(err);
	g_assert_cmpstr(e.worker, ==, "w1");
	g_assert_cmpuint(e.epoch, ==, 3);
	g_assert_cmpint(e.how, ==, END_FAILED);
	g_assert_cmpmem(g_bytes_get_data(e.result, NULL),
	    g_bytes_get_size(e.result), "null", 4);
	api_end_clear(&e);
	g_assert_false(api_parse_end("{}", 2, &e, &err));
	g_clear_error(&err);
}

static void
test_config(void)
{
	static const char body[] = "{\"version\":3,\"base\":\"teams: {}\\n\","
				   "\"overlays\":{\"b\":\"x: 1\",\"a\":\"\"}}";
	static const char bad[] = "{\"version\":0,\"overlays\":{\"a\":1},"
				  "\"note\":1}";
	struct api_config c;
	GError *err = NULL;

	g_assert_true(api_parse_config(body, strlen(body), &c, &err));
	g_assert_cmpuint(c.version, ==, 3);
	g_assert_cmpstr(c.author, ==, "");
	g_assert_cmpuint(c.overlays->len, ==, 2);
	g_assert_cmpstr(
	    g_array_index(c.overlays, struct cell_overlay, 0).site, ==, "a");
	api_config_clear(&c);
	g_assert_false(api_parse_config(bad, strlen(bad), &c, &err));
	g_assert_nonnull(strstr(err->message, "version: found 0"));
	g_assert_nonnull(strstr(err->message, "base: found nothing"));
	g_assert_nonnull(strstr(err->message, "overlays.a: found 1"));
	g_assert_nonnull(strstr(err->message, "note: found 1"));
	g_error_free(err);
}

static void
test_cancel(void)
{
	static const char body[] =
	    "{\"team\":\"desk\",\"name_prefix\":\"night-\"}";
	struct api_cancel c;
	GError *err = NULL;

	g_assert_true(api_parse_cancel(body, strlen(body), &c, &err));
	g_assert_cmpstr(c.name_prefix, ==, "night-");
	api_cancel_clear(&c);
	g_assert_false(api_parse_cancel("{}", 2, &c, &err));
	g_clear_error(&err);
}

static void
test_ids(void)
{
	static const char *const bad[] = { "", "1", "1.", ".1", "1.2.3", "a.1",
		"-1.0", "1.4294967296", "1 .2" };
	uint64_t job;
	uint32_t task;

	g_assert_true(api_parse_task_id("18446744073709551615.7", &job, &task));
	g_assert_cmpuint(job, ==, UINT64_MAX);
	g_assert_cmpuint(task, ==, 7);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(api_parse_task_id(bad[i], &job, &task));
	g_assert_false(api_parse_u64("+1", &job));
	g_assert_false(api_parse_u64("18446744073709551616", &job));
}

/* Parses a reply and frees its text. */
static json_t *
parsed(char *text)
{
	json_t *json = json_loads(text, JSON_REJECT_DUPLICATES, NULL);

	g_assert_nonnull(json);
	g_free(text);
	return json;
}

static void
assert_key(json_t *json, const char *key, const char *value)
{
	g_assert_cmpstr(
	    json_string_value(json_object_get(json, key)), ==, value);
}

static void
apply(struct cell *c, const struct cell_cmd *cmd)
{
	GBytes *bytes = cell_cmd_encode(cmd);
	struct cell_result res;

	g_assert_true(cell_apply(c, g_bytes_get_data(bytes, NULL),
	    g_bytes_get_size(bytes), &res, NULL));
	g_assert_cmpint(res.outcome, ==, OUT_ACCEPTED);
	cell_result_clear(&res);
	g_bytes_unref(bytes);
}

/* A cell in which task 0 of job 1 is assigned and task 1 waits. */
static struct cell *
cell_with_job(void)
{
	struct cell *c = cell_new();
	struct cell_cmd config = { .type = CMD_CONFIG,
		.u.config = {
		    1, "ann \"a\"", "teams: {desk: {weight: 2}}\n", NULL } };
	struct cell_cmd worker = { .type = CMD_WORKER,
		.u.announce.worker = { .name = "w1",
		    .address = "10.0.0.1:90",
		    .rack = "r",
		    .data_center = "salem",
		    .capacity = { 1000, 4096, 0 },
		    .slots = 8 } };
	struct cell_cmd submit = { .type = CMD_SUBMIT };
	struct cell_cmd start = { .type = CMD_START };
	struct cell_start one = { 1, 0, 1 };

	apply(c, &config);
	apply(c, &worker);
	g_assert_true(job_ok(JOB ",\"tasks\":2,\"payload\":{\"p\":1.10}}",
	    &submit.u.submit.spec));
	apply(c, &submit);
	cell_spec_clear(&submit.u.submit.spec);
	start.u.start.starts =
	    g_array_new(FALSE, FALSE, sizeof(struct cell_start));
	g_array_append_val(start.u.start.starts, one);
	apply(c, &start);
	g_array_unref(start.u.start.starts);
	return c;
}

static void
test_job_reply(void)
{
	struct cell *c = cell_with_job();
	struct cell_cmd end = { .type = CMD_END,
		.u.end = { .job = 1, .attempt = 1, .worker = 1 } };
	struct cell_cmd cancel = { .type = CMD_CANCEL, .u.cancel.job = 1 };
	json_t *j =
	    parsed(api_job(c, cell_job(c, 1), "room", "no room \"now\""));
	json_t *item;
	char *text;

	assert_key(j, "outcome", "accepted");
	assert_key(j, "state", "running");
	assert_key(j, "reason", "room");
	assert_key(j, "message", "no room \"now\"");
	g_assert_null(json_object_get(j, "results"));
	item = json_array_get(json_object_get(j, "tasks"), 0);
	assert_key(item, "task", "1.0");
	assert_key(item, "worker", "w1");
	json_decref(j);
	j = parsed(api_job(c, cell_job(c, 1), "room", NULL));
	assert_key(
	    j, "message", "no worker has enough free resources for a task now");
	json_decref(j);
	end.u.end.result = g_bytes_new_static("{\"n\": 1.10}", 11);
	apply(c, &end);
	g_bytes_unref(end.u.end.result);
	apply(c, &cancel);
	text = api_job(c, cell_job(c, 1), NULL, NULL);
	g_assert_nonnull(strstr(text, "\"result\":{\"n\": 1.10}"));
	j = parsed(text);
	assert_key(j, "outcome", "cancelled");
	assert_key(j, "state", "ended");
	item = json_array_get(json_object_get(j, "results"), 1);
	assert_key(item, "status", "cancelled");
	json_decref(j);
	cell_free(c);
}

static void
test_lists(void)
{
	struct cell *c = cell_with_job();
	json_t *j = parsed(api_workers(c));
	json_t *item = json_array_get(json_object_get(j, "workers"), 0);

	assert_key(item, "name", "w1");
	assert_key(item, "state", "up");
	json_decref(j);
	j = parsed(api_teams(c));
	item = json_array_get(json_object_get(j, "teams"), 0);
	assert_key(item, "name", "desk");
	g_assert_cmpint(
	    json_integer_value(json_object_get(item, "running")), ==, 1);
	json_decref(j);
	j = parsed(api_config(c));
	assert_key(j, "author", "ann \"a\"");
	assert_key(j, "base", "teams: {desk: {weight: 2}}\n");
	json_decref(j);
	j = parsed(api_start_order(&cell_job(c, 1)->spec, 1, 0,
	    cell_job(c, 1)->task[0].attempt, 9, 4000));
	assert_key(j, "task", "1.0");
	g_assert_cmpint(json_integer_value(json_object_get(j, "epoch")), ==, 9);
	g_assert_nonnull(json_object_get(j, "payload"));
	json_decref(j);
	j = parsed(api_reply(OUT_NOT_RUN, "queue-full", NULL));
	assert_key(j, "outcome", "not-run");
	assert_key(j, "message", "queue-full");
	json_decref(j);
	cell_free(c);
}

/* The parsers accept or reject a randomly damaged body; they never crash. */
static void
test_damaged(void)
{
	static const char body[] =
	    JOB ",\"data_centers\":[\"a\"],\"payload\":[{\"x\":\"\\n\"}]}";
	struct rng rng = { 5 };

	for (int i = 0; i < 20000; i++) {
		char copy[sizeof(body)];
		struct cell_spec s;
		struct api_worker w;

		memcpy(copy, body, sizeof(body));
		copy[rng_below(&rng, sizeof(body))] = (char)rng_next(&rng);
		if (api_parse_job(copy, sizeof(body) - 1, &s, NULL))
			cell_spec_clear(&s);
		if (api_parse_worker(copy, sizeof(body) - 1, &w, NULL))
			api_worker_clear(&w);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/api/job", test_job);
	g_test_add_func("/api/job-faults", test_job_faults);
	g_test_add_func("/api/job-limits", test_job_limits);
	g_test_add_func("/api/all-faults", test_all_faults_at_once);
	g_test_add_func("/api/worker", test_worker);
	g_test_add_func("/api/worker-faults", test_worker_faults);
	g_test_add_func("/api/end", test_end);
	g_test_add_func("/api/config", test_config);
	g_test_add_func("/api/cancel", test_cancel);
	g_test_add_func("/api/ids", test_ids);
	g_test_add_func("/api/job-reply", test_job_reply);
	g_test_add_func("/api/lists", test_lists);
	g_test_add_func("/api/damaged", test_damaged);
	return g_test_run();
}
