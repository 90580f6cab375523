/* State and functions shared by the files of the httpd library. */
#ifndef HTTPD_IMPL_H
#define HTTPD_IMPL_H

#include "httpd.h"

/* Tells on_request() the length of a body that was skipped. */
#define SKIPPED_HEADER "X-Skipped-Length"

struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

struct httpd {
	struct evhttp *http;
	struct evconnlistener *listener;
	const struct http_route *routes;
	size_t count;
	void *arg;
	size_t body_max;
	size_t headers_max;
	const char *skip_path; /* of POST requests whose body may be skipped */
	http_skip_fn *skip;
	/* Input buffer of a connection to its state; NULL: skips no bodies. */
	GHashTable *inputs;
	int pending;
	/* struct bufferevent * to struct connection */
	GHashTable *connections;
	bool closing; /* replies carry "Connection: close" */
};

/* connection.c */
GHashTable *connections_new(void);
struct bufferevent *connection_new(struct event_base *base, void *httpd);
void connection_on_input(
    struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg);
void connection_on_output(
    struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg);
/* A request was received. Returns the bytes that it holds, until it is answered
 * and the answer was read or the connection has ended. */
size_t connection_request_complete(struct httpd *h, struct evhttp_request *ev);
/* To be called before the answer is sent. */
void connection_request_answered(
    struct httpd *h, struct evhttp_request *ev, size_t held);
/* Bytes of a body that were received and skipped. */
void
connection_discarded(struct httpd *h, struct bufferevent *bev, size_t bytes);

/* skip.c: connections of a server that skips bodies. */
GHashTable *skip_inputs_new(void);
void skip_connection_new(struct httpd *h, struct bufferevent *bev);
void skip_connection_closed(struct httpd *h, struct bufferevent *bev);
/* Says whether the filter is changing the input that it has been given. */
bool skip_is_filtering(const struct httpd *h, const struct evbuffer *buf);

#endif
