/*
 * HTTP exchanges with a cell's entries. Every request that bulrushctl sends
 * may be sent again: reads, and changes that carry a key, a version or a
 * name that makes them idempotent. So a lost answer leads to the same
 * request through another entry, until a deadline.
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
	const char *key; /* Idempotency-Key, or NULL */
	const char *body; /* JSON text, or NULL */
	int64_t hold_ms; /* how long the entry may hold its reply */
	bool cancels; /* the outcome "cancelled" is what is asked for */
};

/* A whole answer. */
struct reply {
	int status;
	json_t *body; /* an object */
	int64_t retry_after_ms; /* -1: none told */
};

enum call_end {
	CALL_ANSWERED, /* reply is filled in */
	CALL_NOT_SENT, /* no entry could be reached: it did not run */
	CALL_UNKNOWN /* sent, and no certain answer came in time */
};

/* Entries as "IP:PORT[,IP:PORT...]"; NULL with an error if one is faulty. */
struct client *
client_new(const char *entries, int64_t timeout_ms, GError **err);
void client_free(struct client *c);

/* Sends until a certain answer comes or the deadline passes. */
enum call_end
client_call(struct client *c, const struct request *req, struct reply *reply);
void reply_clear(struct reply *reply);

/* A string of the reply's body, or "". */
const char *reply_string(const struct reply *reply, const char *key);

/* The id that the requests of this process carry in traceparent. */
const char *client_trace(const struct client *c);

/* Waits without sending. */
void client_sleep(struct client *c, int64_t ms);

#endif
