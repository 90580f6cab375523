/* bulrushctl against a scripted entry: exit codes, output, retries. */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/thread.h>
#include <glib/gstdio.h>

#include "ctl_run.h"

#define SCRIPT_MAX 8 /* answers in a script */
/* Values of struct answer's status that are no HTTP status. */
#define DROP (-1) /* close the connection without an answer */
#define HANG (-2) /* never answer */

/* How the entry answers one request. */
struct answer {
	int status; /* HTTP status, DROP or HANG */
	const char *body;
	const char *retry_after; /* header, or NULL */
};

/* One request as the entry received it. */
struct received {
	enum evhttp_cmd_type method;
	char *uri;
	char *key; /* Idempotency-Key header, or NULL */
	char *credential; /* Bulrushtide-Credential header, or NULL */
	char *body;
};

/* An entry that answers by a script, in its own thread. */
struct entry {
	struct event_base *base;
	struct evhttp *http;
	uint16_t port;
	const struct answer *script;
	int received_count;
	struct received received[SCRIPT_MAX];
	GThread *thread;
};

static void
record_request(struct entry *e, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *body = (const char *)evbuffer_pullup(in, -1);

	g_assert_cmpint(e->received_count, <, SCRIPT_MAX);
	e->received[e->received_count++] = (struct received){
		.method = evhttp_request_get_command(req),
		.uri = g_strdup(evhttp_request_get_uri(req)),
		.key = g_strdup(evhttp_find_header(
		    evhttp_request_get_input_headers(req), "Idempotency-Key")),
		.credential = g_strdup(
		    evhttp_find_header(evhttp_request_get_input_headers(req),
			"Bulrushtide-Credential")),
		.body = g_strndup(body == NULL ? "" : body, len),
	};
}

static void
drop_connection(struct evhttp_request *req)
{
	struct evhttp_connection *c = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c);

	shutdown(bufferevent_getfd(bev), SHUT_RDWR);
	evhttp_send_reply(req, 200, NULL, NULL);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct entry *e = arg;
	const struct answer *answer = &e->script[e->received_count];
	struct evbuffer *body;

	record_request(e, req);
	if (answer->status == HANG)
		return;
	if (answer->status == DROP) {
		drop_connection(req);
		return;
	}
	body = evbuffer_new();
	evbuffer_add_printf(body, "%s", answer->body);
	if (answer->retry_after != NULL)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Retry-After", answer->retry_after);
	evhttp_send_reply(req, answer->status, NULL, body);
	evbuffer_free(body);
}

static void *
entry_loop(void *arg)
{
	struct entry *e = arg;

	event_base_loop(e->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static struct entry *
entry_start(const struct answer *script)
{
	struct entry *e = g_new0(struct entry, 1);
	struct evhttp_bound_socket *s;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);

	e->script = script;
	e->base = event_base_new();
	e->http = evhttp_new(e->base);
	evhttp_set_allowed_methods(e->http, 0xffff);
	evhttp_set_gencb(e->http, on_request, e);
	s = evhttp_bind_socket_with_handle(e->http, "127.0.0.1", 0);
	g_assert_nonnull(s);
	getsockname(
	    evhttp_bound_socket_get_fd(s), (struct sockaddr *)&sin, &len);
	e->port = ntohs(sin.sin_port);
	e->thread = g_thread_new("entry", entry_loop, e);
	return e;
}

static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
	event_base_loopbreak(arg);
}

/*
 * Ends the thread; the requests that it received stay readable. The loop is
 * ended by an event, since event_base_loopbreak() has no effect if it is called
 * before the loop starts.
 */
static void
entry_stop(struct entry *e)
{
	struct timeval now = { 0 };

	event_base_once(e->base, -1, EV_TIMEOUT, on_stop, e->base, &now);
	g_thread_join(e->thread);
	evhttp_free(e->http);
	event_base_free(e->base);
}

static void
entry_free(struct entry *e)
{
	for (int i = 0; i < e->received_count; i++) {
		g_free(e->received[i].uri);
		g_free(e->received[i].key);
		g_free(e->received[i].credential);
		g_free(e->received[i].body);
	}
	g_free(e);
}

/*
 * Runs against a scripted entry. If stopped is not NULL, it gets the entry with
 * the requests that it received; the caller frees it.
 */
static struct run
run_with(const char *args, const struct answer *script, struct entry **stopped)
{
	struct entry *e = entry_start(script);
	char *all = g_strdup_printf("--entry=127.0.0.1:%u %s", e->port, args);
	struct run r = run_ctl(all);

	entry_stop(e);
	g_free(all);
	if (stopped != NULL)
		*stopped = e;
	else
		entry_free(e);
	return r;
}

/* Creates a folder with a base file; free with folder_remove(). */
static char *
folder_make(const char *base)
{
	char *dir = g_dir_make_tmp("ctl-XXXXXX", NULL);
	char *file = g_build_filename(dir, "base.yaml", NULL);

	g_assert_true(g_file_set_contents(file, base, -1, NULL));
	g_free(file);
	return dir;
}

static void
folder_remove(char *dir)
{
	char *file = g_build_filename(dir, "base.yaml", NULL);

	g_unlink(file);
	g_rmdir(dir);
	g_free(file);
	g_free(dir);
}

/*
 * Runs with the folder in place of %s in args; without an entry if script is
 * NULL.
 */
static struct run
run_dir(const char *args, const char *dir, const struct answer *script,
    struct entry **stopped)
{
	char **parts = g_strsplit(args, "%s", 2);
	char *all = g_strjoin(dir, parts[0], parts[1], NULL);
	struct run r =
	    script == NULL ? run_ctl(all) : run_with(all, script, stopped);

	g_free(all);
	g_strfreev(parts);
	return r;
}

static const char job_file[] = EXAMPLES "/halvorsen/jobs/stock-check.json";

#define EXPLAIN                                                     \
	"explain --host=h --path=/p/1 " EXAMPLES "/halvorsen/jobs/" \
	"stock-check.json"

static void
test_usage(void)
{
	static const char *const bad[] = { "", "fly", "check", "get 1 2",
		"--format=xml status", "status --timeout-ms=0", "status",
		"--entry=nowhere:1 status", "--entry=127.0.0.1:0 status",
		"cancel", "cancel 1 --team=a", "replica add a",
		"replica move a@127.0.0.1:1", "submit --nope x",
		"submit --wait-ms=-1 x", "explain x", "explain --host=h x",
		"explain --host=h --path=/p/", "--nope" };

	g_unsetenv("BULRUSHTIDE_ENTRY");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct run r = run_ctl(bad[i]);

		g_assert_cmpint(r.exit, ==, 2);
		g_assert_cmpstr(r.out, ==, "");
		g_assert_true(g_str_has_prefix(r.err, "bulrushctl: "));
		run_clear(&r);
	}
}

static void
test_check(void)
{
	char *dir = folder_make("teams: {a: {weight: 0}}\nx: 1\n");
	struct run r = run_dir("check %s", dir, NULL, NULL);

	g_assert_cmpint(r.exit, ==, 1);
	assert_has(
	    r.err, "bulrushctl: base.yaml:1: teams.a.weight: found \"0\", ");
	assert_has(r.err, "bulrushctl: base.yaml:2: x: found an unknown key");
	run_clear(&r);
	r = run_dir("check --format=json %s", dir, NULL, NULL);
	assert_has(r.out, "\"key\":\"teams.a.weight\"");
	run_clear(&r);
	folder_remove(dir);
	r = run_ctl("check /nowhere");
	g_assert_cmpint(r.exit, ==, 1);
	run_clear(&r);
}

static void
test_examples(void)
{
	struct run r = run_ctl("check " EXAMPLES "/halvorsen");

	g_assert_cmpint(r.exit, ==, 0);
	assert_has(r.out, "sites     4\n");
	run_clear(&r);
	r = run_ctl("check " EXAMPLES "/stollenwerk");
	g_assert_cmpint(r.exit, ==, 0);
	assert_has(r.out, "sites     3\n");
	run_clear(&r);
}

static void
test_plan(void)
{
	char *from = folder_make("teams: {a: {}}\n");
	char *to = folder_make(
	    "teams: {a: {weight: 2}}\nservices: {s: {team: a, resources: "
	    "{millicpus: 1, memory: 1}}}\n");
	char *args = g_strdup_printf("plan --from %s %s", from, to);
	struct run r = run_ctl(args);

	g_assert_cmpint(r.exit, ==, 0);
	assert_has(r.out, "~ team a: weight 1 -> 2\n+ service s: team a");
	assert_has(r.out, "\naffects team a: s\n");
	run_clear(&r);
	r = run_dir("plan %s", to,
	    (struct answer[]){ { .status = 200,
		.body =
		    "{\"version\":4,\"base\":\"teams: {a: {weight: 2}}\","
		    "\"overlays\":{\"x\":\"services: {s: {team: a, resources: "
		    "{millicpus: 1, memory: 1}}}\"}}" } },
	    NULL);
	g_assert_cmpstr(r.out, ==, "version 4 is in force\nno change\n");
	run_clear(&r);
	g_free(args);
	folder_remove(from);
	folder_remove(to);
}

#define VERSION_4 "{\"version\":4,\"base\":\"\",\"overlays\":{}}"
#define VERSION_5_NODES(n)                                         \
	"{\"version\":5,\"base\":\"\",\"overlays\":{},\"nodes\":[" \
	"{\"name\":\"a\",\"version\":5},{\"name\":\"b\",\"version\":" #n "}]}"

/*
 * If the answer to the change is lost, the client must send the same version
 * and body again, not a new version, and accept the answer to that.
 */
static void
test_apply_lost(void)
{
	static const struct answer script[] = {
		{ .status = 200, .body = VERSION_4 }, { .status = DROP },
		{ .status = 202,
		    .body = "{\"outcome\":\"accepted\",\"version\":5}" },
		{ .status = 200, .body = VERSION_5_NODES(4) },
		{ .status = 200, .body = VERSION_5_NODES(5) }
	};
	char *dir = folder_make("teams: {a: {}}\n");
	struct entry *e;
	struct run r = run_dir("apply --wait --author=ann %s", dir, script, &e);

	g_assert_cmpint(r.exit, ==, 0);
	g_assert_cmpstr(r.out, ==,
	    "version 5 is accepted\nin force at all 2 connected nodes\n");
	g_assert_cmpint(e->received_count, ==, 5);
	g_assert_cmpint(e->received[1].method, ==, EVHTTP_REQ_PUT);
	g_assert_cmpstr(e->received[1].body, ==,
	    "{\"version\":5,\"author\":\"ann\",\"base\":\"teams: {a: {}}\\n\","
	    "\"overlays\":{}}");
	g_assert_cmpstr(e->received[2].body, ==, e->received[1].body);
	run_clear(&r);
	entry_free(e);
	folder_remove(dir);
}

static void
test_apply_conflict(void)
{
	static const struct answer script[] = { { .status = 200,
						    .body = VERSION_4 },
		{ .status = 409,
		    .body = "{\"outcome\":\"conflict\",\"reason\":\"version\","
			    "\"version\":5,\"author\":\"bob\",\"digest\":"
			    "\"d1\"}" } };
	char *dir = folder_make("teams: {a: {}}\n");
	struct entry *e;
	struct run r = run_dir("apply %s", dir, script, NULL);

	g_assert_cmpint(r.exit, ==, 1);
	assert_has(r.err, "current version is 5, by bob, digest d1");
	run_clear(&r);
	r = run_dir("apply --if-version=3 %s", dir, script, &e);
	g_assert_cmpint(r.exit, ==, 1);
	g_assert_cmpint(e->received_count, ==, 1);
	run_clear(&r);
	entry_free(e);
	folder_remove(dir);
}

/* A folder that is the current configuration already is not sent. */
static void
test_apply_same(void)
{
	char *dir = folder_make("teams: {a: {}}\n");
	struct entry *e;
	struct run r = run_dir("apply %s", dir,
	    (struct answer[]){ { .status = 200,
		.body = "{\"version\":4,\"base\":\"teams: {a: {}}\\n\"}" } },
	    &e);

	g_assert_cmpint(r.exit, ==, 0);
	g_assert_cmpint(e->received_count, ==, 1);
	assert_has(r.out, "version 4 was accepted before");
	run_clear(&r);
	entry_free(e);
	folder_remove(dir);
}

static void
test_apply_unknown(void)
{
	static const struct answer script[] = { { .status = 200,
						    .body = VERSION_4 },
		{ .status = HANG }, { .status = HANG } };
	char *dir = folder_make("teams: {a: {}}\n");
	struct run r = run_dir("--timeout-ms=2500 apply %s", dir, script, NULL);

	g_assert_cmpint(r.exit, ==, 3);
	assert_has(r.err, "unknown");
	run_clear(&r);
	folder_remove(dir);
}

#define ACCEPTED "{\"outcome\":\"accepted\",\"job\":7}"

static struct run
run_submit(
    const char *options, const struct answer *script, struct entry **stopped)
{
	char *args = g_strdup_printf("submit %s %s", options, job_file);
	struct run r = run_with(args, script, stopped);

	g_free(args);
	return r;
}

/*
 * Every retry must carry the same key, or a job could be accepted twice: after
 * a lost answer, a refusal, an unknown outcome and a body that is not JSON.
 */
static void
test_submit_resend(void)
{
	static const struct answer script[] = { { .status = DROP },
		{ .status = 503,
		    .body = "{\"outcome\":\"not-run\"}",
		    .retry_after = "0" },
		{ .status = 504, .body = "{\"outcome\":\"unknown\"}" },
		{ .status = 502, .body = "no JSON" },
		{ .status = 202, .body = ACCEPTED } };
	struct entry *e;
	struct run r = run_submit("--wait-ms=50", script, &e);

	g_assert_cmpint(r.exit, ==, 0);
	assert_has(r.out, "job      7\n");
	g_assert_cmpint(e->received_count, ==, 5);
	g_assert_nonnull(e->received[0].key);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpstr(e->received[i].uri, ==, "/v1/jobs?wait_ms=50");
		g_assert_cmpstr(e->received[i].key, ==, e->received[0].key);
		g_assert_cmpstr(e->received[i].body, ==, e->received[0].body);
	}
	run_clear(&r);
	entry_free(e);
}

/* Scripted answers, with the exit code and error message expected. */
static const struct exit_case {
	const char *args;
	struct answer answer;
	int exit;
	const char *err;
} exit_cases[] = {
	{ "get 7",
	    { .status = 200, .body = "{\"outcome\":\"done\",\"job\":7}" }, 0,
	    "" },
	{ "get 7",
	    { .status = 200, .body = "{\"outcome\":\"failed\",\"job\":7}" }, 1,
	    "bulrushctl: failed" },
	{ "get 7",
	    { .status = 200, .body = "{\"outcome\":\"unknown\",\"job\":7}" }, 3,
	    "bulrushctl: unknown" },
	{ "get 7",
	    { .status = 404,
		.body = "{\"outcome\":\"invalid\",\"reason\":\"no-job\","
			"\"message\":\"there is no job 7\"}" },
	    1, "bulrushctl: invalid (no-job): there is no job 7\n" },
	{ "get 7",
	    { .status = 400,
		.body = "{\"outcome\":\"invalid\",\"message\":\"a\\nb\"}" },
	    1, "bulrushctl: invalid: a\nbulrushctl: b\n" },
	{ "get 7 --timeout-ms=1000", { .status = HANG }, 1,
	    "failed: no conclusive answer" },
	{ "cancel 7",
	    { .status = 200, .body = "{\"outcome\":\"cancelled\",\"job\":7}" },
	    0, "" },
	{ "cancel 7 --timeout-ms=1000", { .status = HANG }, 3, "unknown" },
	{ "drain e1", { .status = 503, .body = "{\"outcome\":\"not-run\"}" }, 1,
	    "bulrushctl: not-run" },
	{ "drain e1",
	    { .status = 503,
		.body = "{\"outcome\":\"not-run\"}",
		.retry_after = "3600" },
	    1, "retry after 3600 s" },
	{ EXPLAIN,
	    { .status = 200,
		.body = "{\"outcome\":\"accepted\",\"queue\":\"q\"}" },
	    0, "" },
	{ EXPLAIN,
	    { .status = 200,
		.body = "{\"outcome\":\"refused\",\"reason\":\"key\","
			"\"message\":\"a call needs a valid key\"}" },
	    1, "bulrushctl: refused (key): a call needs a valid key\n" },
	{ EXPLAIN,
	    { .status = 404,
		.body = "{\"outcome\":\"not-run\",\"message\":\"no queue\"}" },
	    1, "bulrushctl: not-run: no queue\n" },
	{ EXPLAIN " --timeout-ms=1000", { .status = HANG }, 3, "unknown" },
	{ "drain e1", { .status = 202, .body = "{\"outcome\":\"accepted\"}" },
	    0, "" },
};

static void
test_answers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(exit_cases); i++) {
		struct answer script[SCRIPT_MAX];
		struct run r;

		for (int j = 0; j < SCRIPT_MAX; j++)
			script[j] = exit_cases[i].answer;
		r = run_with(exit_cases[i].args, script, NULL);
		g_assert_cmpint(r.exit, ==, exit_cases[i].exit);
		assert_has(r.err, exit_cases[i].err);
		run_clear(&r);
	}
}

/* Guards against a key that is not sent, or sent with a line end, and against
 * parameters that are not escaped. */
static void
test_explain(void)
{
	static const struct answer answer = { .status = 200,
		.body = "{\"outcome\":\"accepted\",\"queue\":\"q\","
			"\"expected\":{\"start_in_ms\":7},"
			"\"steps\":[{\"step\":0,\"tasks\":2,\"placed\":1,"
			"\"passed_over\":{\"label\":3},"
			"\"workers\":[{\"worker\":\"w1\"}]}]}" };
	struct answer script[] = { answer, answer };
	struct entry *e;
	struct run r;

	g_setenv("BULRUSHTIDE_KEY", "secret\n", TRUE);
	r = run_with(EXPLAIN, script, &e);
	g_unsetenv("BULRUSHTIDE_KEY");
	g_assert_cmpint(r.exit, ==, 0);
	g_assert_cmpstr(
	    e->received[0].uri, ==, "/v1/explain?host=h&path=%2Fp%2F1");
	g_assert_cmpstr(e->received[0].credential, ==, "secret");
	assert_has(r.out, "expected start in 7 ms");
	assert_has(r.out, "step 0: 1 of 2 tasks");
	assert_has(r.out, "passed over: 3 label\n");
	assert_has(r.out, "w1");
	run_clear(&r);
	entry_free(e);
}

/* If a job may have been accepted, the error names the key to retry with. */
static void
test_submit_unknown(void)
{
	struct run r = run_submit("--key=k1 --timeout-ms=1000",
	    (struct answer[]){ { .status = HANG } }, NULL);

	g_assert_cmpint(r.exit, ==, 3);
	assert_has(r.err, "--key=k1");
	run_clear(&r);
}

/* If no entry can be reached, the request has certainly not run. */
static void
test_unreachable(void)
{
	struct entry *e = entry_start(NULL);
	char *args = g_strdup_printf(
	    "--entry=127.0.0.1:%u --timeout-ms=300 drain a", e->port);
	struct run r;

	entry_stop(e);
	r = run_ctl(args);
	g_assert_cmpint(r.exit, ==, 1);
	assert_has(r.err, "not-run");
	run_clear(&r);
	entry_free(e);
	g_free(args);
}

/* If the first entry cannot be reached, the next one gets the request. */
static void
test_second_entry(void)
{
	struct entry *stopped = entry_start(NULL);
	struct entry *e = entry_start(
	    (struct answer[]){ { .status = 202, .body = ACCEPTED } });
	char *args = g_strdup_printf("--entry=127.0.0.1:%u,127.0.0.1:%u "
				     "submit %s",
	    stopped->port, e->port, job_file);
	struct run r;

	entry_stop(stopped);
	r = run_ctl(args);
	entry_stop(e);
	g_assert_cmpint(r.exit, ==, 0);
	g_assert_cmpint(e->received_count, ==, 1);
	run_clear(&r);
	entry_free(e);
	entry_free(stopped);
	g_free(args);
}

static void
test_bodies(void)
{
	static const struct answer ok[] = { { .status = 202,
	    .body = "{\"outcome\":\"accepted\"}" } };
	static const struct {
		const char *args;
		const char *uri;
		const char *body;
	} cases[] = {
		{ "replica add r4@127.0.0.1:5", "/v1/replicas",
		    "{\"action\":\"add\",\"name\":\"r4\",\"address\":"
		    "\"127.0.0.1:5\"}" },
		{ "replica remove r4", "/v1/replicas",
		    "{\"action\":\"remove\",\"name\":\"r4\"}" },
		{ "drain a/b", "/v1/nodes/a%2Fb/drain", "{}" },
		{ "cancel --team=t --prefix=x-", "/v1/jobs/cancel",
		    "{\"team\":\"t\",\"name_prefix\":\"x-\"}" },
		{ "cancel 9", "/v1/jobs/9", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct entry *e;
		struct run r = run_with(cases[i].args, ok, &e);

		g_assert_cmpint(r.exit, ==, 0);
		g_assert_cmpstr(e->received[0].uri, ==, cases[i].uri);
		g_assert_cmpstr(e->received[0].body, ==, cases[i].body);
		run_clear(&r);
		entry_free(e);
	}
}

static void
test_tables(void)
{
	static const struct answer script[] = { { .status = 200,
	    .body = "{\"nodes\":[{\"name\":\"entry-1\",\"version\":3},"
		    "{\"name\":\"r\",\"version\":12,\"x\":null}]}" } };
	struct run r = run_with("nodes", script, NULL);

	g_assert_cmpstr(r.out, ==,
	    "NAME     VERSION  X\n"
	    "entry-1  3        -\n"
	    "r        12       -\n");
	run_clear(&r);
	r = run_with("status",
	    (struct answer[]){ { .status = 200,
		.body = "{\"leader\":\"r1\",\"used\":{\"cores\":2},"
			"\"rows\":[{\"a\":{\"b\":1},\"name\":\"x\"}]}" } },
	    NULL);
	g_assert_cmpstr(r.out, ==,
	    "leader      r1\nused.cores  2\n\nrows:\nNAME  A.B\nx     1\n");
	run_clear(&r);
	r = run_with("--format=json nodes", script, NULL);
	assert_has(r.out, script[0].body);
	run_clear(&r);
}

/* Spans are shown as a tree by parent, in order of their start times. */
static void
test_trace(void)
{
	struct run r = run_with("trace 12",
	    (struct answer[]){ { .status = 200,
		.body = "{\"spans\":[{\"span\":\"b\",\"parent\":\"a\","
			"\"name\":\"commit\",\"node\":\"r1\",\"note\":\"\","
			"\"start_us\":3500,\"duration_us\":250},"
			"{\"span\":\"a\",\"parent\":\"x\",\"name\":\"entry\","
			"\"node\":\"e1\",\"note\":\"202\",\"start_us\":2000,"
			"\"duration_us\":3000}]}" } },
	    NULL);

	g_assert_cmpstr(r.out, ==,
	    "START_MS  DURATION_MS  NODE  SPAN      NOTE\n"
	    "0.000     3.000        e1    entry     202\n"
	    "1.500     0.250        r1      commit  -\n");
	run_clear(&r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	evthread_use_pthreads();
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/ctl/usage", test_usage);
	g_test_add_func("/ctl/check", test_check);
	g_test_add_func("/ctl/examples", test_examples);
	g_test_add_func("/ctl/plan", test_plan);
	g_test_add_func("/ctl/apply-lost", test_apply_lost);
	g_test_add_func("/ctl/apply-conflict", test_apply_conflict);
	g_test_add_func("/ctl/apply-same", test_apply_same);
	g_test_add_func("/ctl/apply-unknown", test_apply_unknown);
	g_test_add_func("/ctl/submit-resend", test_submit_resend);
	g_test_add_func("/ctl/submit-unknown", test_submit_unknown);
	g_test_add_func("/ctl/answers", test_answers);
	g_test_add_func("/ctl/explain", test_explain);
	g_test_add_func("/ctl/unreachable", test_unreachable);
	g_test_add_func("/ctl/second-entry", test_second_entry);
	g_test_add_func("/ctl/bodies", test_bodies);
	g_test_add_func("/ctl/tables", test_tables);
	g_test_add_func("/ctl/trace", test_trace);
	return g_test_run();
}
