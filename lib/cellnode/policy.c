/*
 * Calls to the policy service. They are sent one at a time, as the service
 * handles one at a time per VM.
 */
#include "impl.h"

#define CALL_TIMEOUT_MS 3500 /* the service may be slow, its queue is short */

struct policy_client {
	struct http_peer *peer;
	const struct agent_ops *agent;
};

struct call {
	struct policy_client *client;
	uint64_t query;
	void (*fn)(
	    void *arg, uint64_t query, const struct agent_permits *permits);
	void *arg;
};

struct policy_client *
policy_client_new(
    struct event_base *base, const char *address, const struct agent_ops *agent)
{
	struct policy_client *c = g_new0(struct policy_client, 1);
	GError *err = NULL;

	c->agent = agent;
	if (address == NULL || *address == '\0')
		return c;
	c->peer = http_peer_new(base, address, &err);
	if (c->peer == NULL) {
		log_error("advise", "event=no-policy-service why=\"%s\"",
		    err->message);
		g_clear_error(&err);
	}
	return c;
}

void
policy_client_free(struct policy_client *c)
{
	if (c == NULL)
		return;
	http_peer_free(c->peer);
	g_free(c);
}

static void
on_answer(void *arg, int status, const void *body, size_t len, const char *why)
{
	struct call *call = arg;
	struct agent_permits permits;
	bool ok;

	agent_permits_init(&permits);
	ok = status == 200 &&
	    call->client->agent->read_permits(body, len, &permits);
	if (!ok)
		log_info("advise",
		    "event=policy-call-failed query=%" G_GUINT64_FORMAT
		    " status=%d why=\"%s\"",
		    call->query, status, why == NULL ? "" : why);
	call->fn(call->arg, call->query, ok ? &permits : NULL);
	agent_permits_clear(&permits);
	g_free(call);
}

void
policy_client_query(struct policy_client *c, const struct agent_query *q,
    void (*fn)(void *arg, uint64_t query, const struct agent_permits *permits),
    void *arg, uint64_t query)
{
	struct call *call;
	char *body;

	if (c->peer == NULL) {
		fn(arg, query, NULL);
		return;
	}
	call = g_new0(struct call, 1);
	*call =
	    (struct call){ .client = c, .query = query, .fn = fn, .arg = arg };
	body = c->agent->write_query(q);
	http_send(c->peer, EVHTTP_REQ_POST, c->agent->query_path, NULL, body,
	    strlen(body), CALL_TIMEOUT_MS, on_answer, call);
	g_free(body);
}
