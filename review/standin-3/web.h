/* HTTP on libevent, as little of it as the stand-ins need. */
#ifndef REVIEW_WEB_H
#define REVIEW_WEB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

#include <glib.h>

/* CLOCK_MONOTONIC */
int64_t mono_ms(void);

struct web_server;

/* Answers a request by web_reply(), during the call or later, or never. */
typedef void web_handler(void *arg, struct evhttp_request *req,
    const char *path, const char *body, size_t len);

/* Listens on IP:PORT; NULL if it can't. */
struct web_server *web_server_new(struct event_base *base, const char *address,
    web_handler *handler, void *arg);
void web_server_free(struct web_server *s);
const char *web_header(struct evhttp_request *req, const char *name);
/* Takes json. */
void web_reply(struct evhttp_request *req, int status, char *json);

/* A connection that is kept open between requests. */
struct web_peer;

/* Status 0: no answer; sent is then whether the peer may have read the
 * request. */
typedef void
web_answer(void *arg, int status, const char *body, size_t len, bool sent);

struct web_peer *web_peer_new(struct event_base *base, const char *address);
/* Drops the requests in progress. May be called in a web_answer. */
void web_peer_free(struct web_peer *p);
/* headers: name, value, ..., NULL; or NULL. */
void web_send(struct web_peer *p, enum evhttp_cmd_type method, const char *path,
    const char *const *headers, const char *body, int timeout_ms,
    web_answer *answer, void *arg);

#endif
