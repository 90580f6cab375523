/* State and functions shared by the files of the httpd library. */
#ifndef HTTPD_IMPL_H
#define HTTPD_IMPL_H

#include "httpd.h"

/* Tells on_request() the length of a body that was skipped. */
#define SKIPPED_HEADER "X-Skipped-Length"

struct evconnlistener;

struct httpd {
	struct evhttp *http;
	struct evconnlistener *listener;
	const struct http_route *routes;
	size_t count;
	void *arg;
	size_t body_max;
	const char *skip_path; /* of POST requests whose body may be skipped */
	http_skip_fn *skip;
	/* Input buffer of a connection to its state; NULL: skips no bodies. */
	GHashTable *inputs;
	int pending;
	GHashTable *connections; /* struct evhttp_connection *, open */
	bool closing; /* replies carry "Connection: close" */
};

/* skip.c: connections of a server that skips bodies. */
GHashTable *skip_inputs_new(void);
struct bufferevent *skip_connection_new(struct event_base *base, void *httpd);
void skip_connection_closed(struct httpd *h, struct evhttp_connection *conn);

#endif
