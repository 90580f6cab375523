/*
 * A small pool of evhttp client connections for the stand-ins: sends JSON
 * requests and hands the parsed answers back.
 */
#ifndef HTTPPOOL_H
#define HTTPPOOL_H

#include <event2/event.h>
#include <jansson.h>

#include "base.h"

struct pool;

/*
 * status 0: no answer. body may be NULL, and is a string if it was not JSON;
 * it is freed after the call.
 */
typedef void pool_done_fn(void *arg, int status, json_t *body);

struct pool *pool_new(struct event_base *base, int timeout_ms);
void pool_free(struct pool *p);

/* A request; the strings and the body are not taken. */
struct pool_request {
	const char *method;
	const char *path;
	const json_t *body; /* NULL: none */
	const char *key; /* Idempotency-Key; NULL: none */
};

/* Sends a request to IP:PORT. */
void pool_send(struct pool *p, const char *address,
    const struct pool_request *request, pool_done_fn *done, void *arg);

/* Splits IP:PORT; false if it is none. Free *ip. */
bool address_split(const char *address, char **ip, uint16_t *port);

#endif
