/*
 * HTTP on libevent's evhttp: a server with a route table and bounds, whose
 * handlers may answer later, and a client that keeps one connection a peer.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <event2/event.h>
#include <event2/http.h>

#include "base.h"

#define HTTP_BODY_MAX (1024 * 1024) /* bytes of a request body */
#define HTTP_HEADERS_MAX (8 * 1024) /* bytes of all headers */
#define HTTP_CONNECTIONS_MAX 2048 /* open at a time on one listener */
#define HTTP_IDLE_S 75 /* idle seconds before we close */
#define HTTP_PARAMS_MAX 3

/* One request being served. Answer it exactly once, now or later. */
struct http_request {
	struct evhttp_request *ev;
	enum evhttp_cmd_type method;
	char *path;
	char *param[HTTP_PARAMS_MAX]; /* what the pattern's '*' matched */
	const void *body;
	size_t body_len;
	int64_t arrived_ms;
	const struct http_route *route;
	struct httpd *server;
};

#define HTTP_ANY_PATH "**" /* a pattern that every path matches */

typedef void http_handler(void *arg, struct http_request *req);

struct http_route {
	enum evhttp_cmd_type method;
	const char *pattern; /* "/v1/tasks/'*'/'*'/end", '*' one segment */
	http_handler *handler;
};

struct httpd;

/* Listens on "IP:PORT" and serves count routes. */
struct httpd *httpd_new(struct event_base *base, const char *address,
    const struct http_route *routes, size_t count, void *arg, GError **err);
/* From now on answers ask the caller to close the connection. */
void httpd_close_kept(struct httpd *h);
/* Takes no new connection. */
void httpd_stop_accepting(struct httpd *h);
/* Requests taken and not yet answered. */
int httpd_pending(const struct httpd *h);
void httpd_free(struct httpd *h);

/* Returns a header or query value; NULL if absent. Query values are owned. */
const char *http_header(const struct http_request *req, const char *name);
char *http_query(const struct http_request *req, const char *key);

/* Adds a header to the answer to come. */
void
http_set_header(struct http_request *req, const char *name, const char *value);

/*
 * Answers with a JSON body that the call takes over, and Retry-After if
 * retry_after_s is above 0; then frees the request.
 */
void
http_reply(struct http_request *req, int status, char *json, int retry_after_s);
/* The same with another content type. */
void http_reply_text(
    struct http_request *req, int status, const char *type, char *text);

/* The same with a body of any bytes, which are copied. */
void http_reply_bytes(struct http_request *req, int status, const char *type,
    const void *body, size_t len);

struct http_stats {
	uint64_t bytes_in; /* bodies and headers, without TCP/IP headers */
	uint64_t bytes_out;
	uint64_t requests;
	uint64_t refused; /* over a bound */
};
const struct http_stats *http_stats(void);

/* A peer that requests are sent to, one after another. */
struct http_peer;

/* What http_answer's why says when nothing can have reached the peer. */
#define HTTP_NO_CONNECTION "no connection"

/*
 * Gets the answer: status 0 means none came (why says so), and the request
 * may or may not have been taken. body is valid during the call only.
 */
typedef void http_answer(
    void *arg, int status, const void *body, size_t len, const char *why);

struct http_peer *
http_peer_new(struct event_base *base, const char *address, GError **err);
/* Answers what is outstanding with status 0, then frees the peer. */
void http_peer_free(struct http_peer *p);
/* headers: name, value, ..., NULL; may be NULL. */
void http_send(struct http_peer *p, enum evhttp_cmd_type method,
    const char *path, const char *const *headers, const void *body, size_t len,
    int timeout_ms, http_answer *answer, void *arg);
/* The content type of the answer that is being given; "" if it has none. */
const char *http_peer_type(const struct http_peer *p);
int http_peer_outstanding(const struct http_peer *p);

#endif
