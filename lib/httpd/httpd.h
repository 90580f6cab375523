/*
 * HTTP on libevent's evhttp: a server with a route table and size limits,
 * whose handlers may reply asynchronously, and a client with one persistent
 * connection per peer. Connections of the server count against the limits of
 * lib/inbound.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <event2/event.h>
#include <event2/http.h>

#include "base.h"

/* Bytes of a request body, unless httpd_set_body_max() is called. */
#define HTTP_BODY_MAX (1024 * 1024)
/* Bytes of all headers of a message, unless httpd_set_headers_max() is called.
 */
#define HTTP_HEADERS_MAX (8 * 1024)
/* Bytes of an answer: a worker's list of 1,000 runs and 500 ends, each with a
 * checkpoint of 4 KiB, has half of it. */
#define HTTP_ANSWER_MAX (12 * 1024 * 1024)
#define HTTP_IDLE_S 75 /* the server closes connections idle for longer */
#define HTTP_PARAMS_MAX 3 /* '*' segments in a pattern */

/*
 * A request received by the server. The handler replies to it exactly once,
 * during the call or later.
 */
struct http_request {
	struct evhttp_request *ev;
	enum evhttp_cmd_type method;
	char *path;
	char *param[HTTP_PARAMS_MAX]; /* unescaped segments matched by '*' */
	const void *body;
	size_t body_len;
	uint64_t skipped_len; /* of a body that was skipped; 0: it was not */
	size_t held; /* bytes that count against the limit of lib/inbound */
	int64_t arrived_ms; /* monotonic */
	const struct http_route *route;
	struct httpd *server;
};

#define HTTP_ANY_PATH "**" /* pattern that matches every path */

typedef void http_handler(void *arg, struct http_request *req);

struct http_route {
	enum evhttp_cmd_type method;
	const char *pattern; /* '*' matches one non-empty path segment */
	http_handler *handler;
};

struct httpd;

/*
 * Listens on "IP:PORT" and passes each request to the handler of the first
 * route that matches; arg is the first argument of all handlers. Requests
 * that no route matches get status 404, or 405 if only the method differs.
 * Fails with ERR_INVALID if the address is malformed, with ERR_IO if it
 * can't listen.
 */
struct httpd *httpd_new(struct event_base *base, const char *address,
    const struct http_route *routes, size_t count, void *arg, GError **err);
/* Larger bodies are refused with status 413. Applies to new connections. */
void httpd_set_body_max(struct httpd *h, size_t bytes);
/* Longer heads get status 400. Applies to new connections. */
void httpd_set_headers_max(struct httpd *h, size_t bytes);
/* Whether to skip a body of this length, before any of it is received. */
typedef bool http_skip_fn(void *arg, uint64_t body_len);
/*
 * For POST requests to a path, calls the handler at once, without the body, if
 * fn returns true. Sets one path, before the event loop runs.
 */
void httpd_skip_bodies(struct httpd *h, const char *path, http_skip_fn *fn);
/* Makes later replies carry "Connection: close", unless more input than the
 * request has arrived. */
void httpd_close_keepalive(struct httpd *h);
/* Stops listening; connections that are open stay open. */
void httpd_stop_accepting(struct httpd *h);
/* Returns the number of requests not yet replied to, and of connections whose
 * last answer has not been passed to the system whole. */
int httpd_pending(const struct httpd *h);
void httpd_free(struct httpd *h);

/*
 * Return the value of a header or of a query parameter, NULL if absent. The
 * caller frees the value of a query parameter.
 */
const char *http_header(const struct http_request *req, const char *name);
char *http_query(const struct http_request *req, const char *key);

/* Adds a header to the reply; call it before http_reply(). */
void
http_set_header(struct http_request *req, const char *name, const char *value);

/*
 * Sends a reply with a JSON body, and with a Retry-After header if
 * retry_after_s is above 0. Frees json and the request.
 */
void
http_reply(struct http_request *req, int status, char *json, int retry_after_s);
/* Sends a reply of the given content type; frees text and the request. */
void http_reply_text(
    struct http_request *req, int status, const char *type, char *text);

/* Sends a reply with a copy of body, any bytes; frees the request. */
void http_reply_bytes(struct http_request *req, int status, const char *type,
    const void *body, size_t len);

/* Totals of all servers of this process. */
struct http_stats {
	uint64_t bytes_in; /* bodies and headers, without TCP/IP headers */
	uint64_t bytes_out; /* bodies and an estimate of the headers */
	uint64_t requests;
	uint64_t refused; /* requests beyond the limit of lib/inbound */
};
const struct http_stats *http_stats(void);

/* A server that requests are sent to, one at a time. */
struct http_peer;

/* Values of why in an http_answer: there was no connection; with a greeting,
 * there was none in time; the greeting was not accepted; the peer gave no
 * answer in time; http_peer_free() was called. */
#define HTTP_NO_CONNECTION "no connection"
#define HTTP_CONNECT_TIMEOUT "no connection in time"
#define HTTP_NOT_GREETED "greeting not accepted"
#define HTTP_TIMEOUT "timeout"
#define HTTP_CANCELLED "cancelled"

/*
 * Called once with the response to a request. Status 0 means that there was
 * none: why is the reason, and the peer may or may not have handled the
 * request. why is NULL otherwise. body is valid during the call only, and
 * NULL if empty.
 */
typedef void http_answer(
    void *arg, int status, const void *body, size_t len, const char *why);

/* Says whether the peer can't have got the request; why: as in http_answer. */
bool http_not_sent(const char *why);

/* address is "IP:PORT"; fails with ERR_INVALID if it is malformed. */
struct http_peer *
http_peer_new(struct event_base *base, const char *address, GError **err);
/*
 * Completes outstanding requests with status 0, then frees the peer. May be
 * called in an http_answer.
 */
void http_peer_free(struct http_peer *p);
/*
 * Queues a request and calls answer once it is complete, possibly before
 * http_send() returns. headers is a list name, value, ..., NULL, or NULL. A
 * non-empty body is copied and sent as application/json. timeout_ms is a
 * property of the connection: the latest value applies to all requests
 * outstanding on it. With a greeting, which has the same time, it counts for
 * this request only, and from when it is sent.
 */
void http_send(struct http_peer *p, enum evhttp_cmd_type method,
    const char *path, const char *const *headers, const void *body, size_t len,
    int timeout_ms, http_answer *answer, void *arg);
/* A header of the response, during http_answer only; "" if absent. */
const char *http_peer_header(const struct http_peer *p, const char *name);
/* Returns the number of requests not yet completed. */
int http_peer_outstanding(const struct http_peer *p);

/*
 * Checks who is at the other end of a connection. A process can't be told from
 * the one that listened at its address before by any request; but a connection
 * never outlives the process that accepted it.
 */
struct http_greeting {
	const char *path;
	/* Returns the body of a POST request, which the caller frees. */
	char *(*body)(void *arg);
	/* Says whether this is the right process. status 0: no response. */
	bool (*accept)(void *arg, int status, const void *body, size_t len);
	int max_idle_ms; /* after so long without a response it is repeated */
};

/*
 * Makes the peer send this request, with the same headers as the others, first
 * on each new connection, and again after a pause. Others are sent only once
 * it was accepted, one at a time; if it isn't, those that wait complete with
 * status 0 and HTTP_NOT_GREETED, or the reason why there was no connection.
 * To be called before http_send().
 */
void http_peer_set_greeting(struct http_peer *p, const struct http_greeting *g,
    const char *const *headers, void *arg);

#endif
