/* State and functions shared by the files of the httpd library. */
#ifndef HTTPD_IMPL_H
#define HTTPD_IMPL_H

#include "httpd.h"

/* Tells on_request() the length of a body that was skipped. */
#define SKIPPED_HEADER "X-Skipped-Length"

struct evbuffer;

struct httpd {
	struct evhttp *http;
	struct evhttp_bound_socket *listener; /* NULL: closed */
	const struct http_route *routes;
	size_t count;
	void *arg;
	size_t body_max;
	size_t headers_max;
	const char *skip_path; /* of POST requests whose body may be skipped */
	http_skip_fn *skip;
	int pending; /* requests without a reply */
	int unsent; /* connections whose last answer has not left whole, or
		       that still receive a body to be discarded */
	/* struct bufferevent * to struct connection */
	GHashTable *connections;
	bool closing; /* replies carry "Connection: close" */
};

/* connection.c */
GHashTable *connections_new(void);
struct bufferevent *connection_new(struct event_base *base, void *httpd);
/* A request was received. Returns the bytes that it holds, until it is answered
 * and the answer was read or the connection has ended. */
size_t connection_request_complete(struct httpd *h, struct evhttp_request *ev);
/* To be called before the answer is sent. */
void connection_request_answered(
    struct httpd *h, struct evhttp_request *ev, size_t held);
/* Says whether more has been received than the request, or is about to be: the
 * rest of a body that is skipped, or another request. */
bool connection_has_input(struct httpd *h, struct evhttp_request *ev);

/* skip.c: the input of a connection of a server that skips bodies. */
struct input;
struct input *skip_input_new(struct httpd *h);
void skip_input_free(struct input *in);
/* Says whether the rest of a body is still to be received and discarded. */
bool skip_in_progress(const struct input *in);
/* Filters what has been added to the input buffer after passed_len bytes.
 * Returns how many bytes of a skipped body it has discarded. */
size_t skip_filter(struct input *in, struct evbuffer *buf, size_t passed_len);

#endif
