/*
 * HTTP client for a cell's entries, with retries. Every request of bulrushctl
 * is idempotent: it is a read, or a change made idempotent by a key, a version
 * or a name. So after a lost answer the client sends the same request through
 * another entry, until a deadline.
 */
#ifndef CLIENT_H
#define CLIENT_H

#include <event2/http.h>
#include <jansson.h>

#include "base.h"

struct client;

struct request {
	enum evhttp_cmd_type method;
	const char *path;
	const char *key; /* Idempotency-Key header, or NULL */
	const char *credential; /* key of the caller, or NULL */
	const char *body; /* JSON text, or NULL */
	int64_t wait_ms; /* how long the entry may delay its reply */
	bool cancels; /* the outcome "cancelled" counts as success */
};

/* A complete answer of an entry. */
struct reply {
	int status;
	json_t *body; /* a JSON object; NULL if no answer came */
	int64_t retry_after_ms; /* -1: no Retry-After header */
};

enum call_result {
	CALL_ANSWERED, /* reply is filled in */
	CALL_NOT_SENT, /* no entry could be reached: the request did not run */
	CALL_UNKNOWN /* sent, but no conclusive answer before the deadline */
};

/*
 * Takes the entries as "IP:PORT[,IP:PORT...]". Returns NULL and sets err if an
 * address is invalid. The timeout is that of each client_call().
 */
struct client *
client_new(const char *entries, int64_t timeout_ms, GError **err);
void client_free(struct client *c);

/*
 * Sends the request to the entries in turn until one gives a conclusive answer
 * or timeout_ms plus the request's wait_ms have passed. If entries only refused
 * until then (503 with Retry-After), the reply is the last refusal. Fills reply
 * in only with CALL_ANSWERED; free it with reply_clear().
 */
enum call_result
client_call(struct client *c, const struct request *req, struct reply *reply);
void reply_clear(struct reply *reply);

/* Returns a string member of the reply's body; "" if there is none. */
const char *reply_string(const struct reply *reply, const char *key);

/* The trace id that all requests of this process send in traceparent. */
const char *client_trace_id(const struct client *c);

/* Blocks for this time while the event loop runs. */
void client_sleep(struct client *c, int64_t ms);

#endif
