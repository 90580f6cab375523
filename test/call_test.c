/* Service calls through a real entry to tasks of stand-in workers. */
#include <string.h>

#include "cluster.h"

#define CALLS 40
#define POLLS_MAX 2000 /* for a change to take effect */
#define POLL_MS 20

#define BASE(timeout)                                            \
	"policy:\n"                                              \
	"  heartbeat_ms: 200\n"                                  \
	"  suspect_ms: 800\n"                                    \
	"  lease_ms: {service: 4000, batch: 2000, gang: 2000}\n" \
	"teams:\n"                                               \
	"  team: {weight: 1}\n"                                  \
	"services:\n"                                            \
	"  desk:\n"                                              \
	"    team: team\n"                                       \
	"    tasks: 2\n"                                         \
	"    resources: {millicpus: 3000, memory: 1MiB}\n"       \
	"    call_timeout_ms: " timeout "\n"

static const char *const flags[] = { "--millicpus=4000", NULL };

static const struct cluster_conf conf = { .replicas = 1,
	.entries = 1,
	.workers = 2,
	.base = BASE("5"),
	.worker_flags = flags };

/* Calls the service; returns whether it answers with this status and reason
 * (any if NULL). */
static bool
call(struct cluster *c, int status, const char *reason)
{
	json_t *body = json_pack("{s:i}", "article", 144);
	int got = 0;
	json_t *reply = cluster_http(
	    c, "e0", "POST", "/v1/services/desk/call", NULL, body, &got);
	const char *got_reason =
	    json_string_value(json_object_get(reply, "reason"));
	bool ok = got == status &&
	    (reason == NULL || g_strcmp0(got_reason, reason) == 0);

	json_decref(reply);
	json_decref(body);
	return ok;
}

static void
await_reply(struct cluster *c, int status, const char *reason)
{
	for (int i = 0; i < POLLS_MAX; i++) {
		if (call(c, status, reason))
			return;
		g_usleep(POLL_MS * 1000);
	}
	g_error("call_test: no reply %d %s", status, reason);
}

static void
set_base(struct cluster *c, const char *base)
{
	json_t *body = json_pack("{s:i,s:s}", "version", 2, "base", base);
	int status = 0;
	json_t *reply =
	    cluster_http(c, "e0", "PUT", "/v1/config", NULL, body, &status);

	g_assert_cmpint(status, ==, 200);
	json_decref(reply);
	json_decref(body);
}

/* Calls whose timeout is too short for an answer are refused, and don't count
 * as failures of the targets: later calls still reach both targets. */
static void
test_short_timeouts(void)
{
	struct cluster *c = cluster_new(&conf);

	cluster_await_event(c, NULL, "start", 2);
	await_reply(c, 503, "deadline");
	for (int i = 0; i < CALLS; i++)
		g_assert_true(call(c, 503, "deadline"));
	set_base(c, BASE("5000"));
	await_reply(c, 200, NULL);
	for (int i = 0; i < CALLS; i++)
		g_assert_true(call(c, 200, NULL));
	cluster_await_event(c, "w0", "call", 1);
	cluster_await_event(c, "w1", "call", 1);
	cluster_free(c);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call/short-timeouts", test_short_timeouts);
	return g_test_run();
}
