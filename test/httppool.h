/*
 * HTTP client with a connection pool (libevent) for tests and stand-ins: sends
 * JSON requests and passes the parsed responses to a callback.
 */
#ifndef HTTPPOOL_H
#define HTTPPOOL_H

#include <event2/event.h>
#include <jansson.h>

#include "base.h"

struct pool;

/*
 * Called once per request. status is 0 if there was no response. body may be
 * NULL; a body that is not JSON is passed as a JSON string. It is released
 * after the call.
 */
typedef void pool_done_fn(void *arg, int status, json_t *body);

/* timeout_ms is the limit for one request. */
struct pool *pool_new(struct event_base *base, int timeout_ms);
void pool_free(struct pool *p);

/* A request. The pool does not take ownership of the strings and the body. */
struct pool_request {
	const char *method;
	const char *path;
	const json_t *body; /* NULL: none */
	const char *key; /* Idempotency-Key; NULL: none */
};

/* Sends a request to IP:PORT; done may be called before it returns. */
void pool_send(struct pool *p, const char *address,
    const struct pool_request *request, pool_done_fn *done, void *arg);

/* Splits IP:PORT; false if address has another form. Free *ip. */
bool address_split(const char *address, char **ip, uint16_t *port);

#endif
