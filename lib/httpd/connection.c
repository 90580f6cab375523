/*
 * Connections of servers, from when they are accepted. evhttp tells of one only
 * with its first complete request, so the callback that makes the bufferevent
 * of a connection is used to learn of it.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "impl.h"
#include "inbound.h"

struct connection {
	struct httpd *httpd;
	struct bufferevent *bev; /* a reference */
	struct evhttp_connection *ev; /* NULL: evhttp has not made it yet */
	struct event *attach; /* to be attached; NULL: it is */
	struct inbound *inbound; /* NULL: refused */
	struct input *input; /* NULL: the server skips no bodies */
	bool filtering; /* its input buffer is changed by the filter */
	size_t request_held; /* bytes of requests that are not complete, or
				whose answer is not read */
	bool answered; /* the last request is */
	bool unsent; /* see struct httpd */
};

static void
connection_free(void *arg)
{
	struct connection *c = arg;

	c->httpd->unsent -= c->unsent;
	if (c->inbound != NULL)
		inbound_remove(c->inbound);
	if (c->attach != NULL)
		event_free(c->attach);
	if (c->input != NULL)
		skip_input_free(c->input);
	bufferevent_decref(c->bev);
	g_free(c);
}

GHashTable *
connections_new(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, connection_free);
}

static void
hold_request(struct connection *c, ssize_t bytes)
{
	c->request_held += (size_t)bytes;
	if (c->inbound != NULL)
		inbound_hold(c->inbound, bytes);
}

static bool
is_skipping(const struct connection *c)
{
	return c->input != NULL && skip_in_progress(c->input);
}

static void
update_unsent(struct connection *c)
{
	if (!c->unsent || is_skipping(c) ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
		return;
	c->unsent = false;
	c->httpd->unsent--;
}

static void
on_input(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;
	size_t discarded;

	if (info->n_added == 0 || c->filtering)
		return;
	hold_request(c, (ssize_t)info->n_added);
	if (c->input == NULL)
		return;
	c->filtering = true;
	discarded = skip_filter(c->input, buf, info->orig_size);
	c->filtering = false;
	hold_request(c, -(ssize_t)MIN(discarded, c->request_held));
	update_unsent(c);
}

static void
on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	if (info->n_deleted > 0)
		update_unsent(c);
	if (c->inbound == NULL)
		return;
	inbound_hold(
	    c->inbound, (ssize_t)info->n_added - (ssize_t)info->n_deleted);
	if (c->answered && evbuffer_get_length(buf) == 0) {
		c->answered = false;
		/* Except what has come of the next request. */
		hold_request(c,
		    (ssize_t)evbuffer_get_length(
			bufferevent_get_input(c->bev)) -
			(ssize_t)c->request_held);
	}
}

static void
forget(struct connection *c)
{
	evbuffer_remove_cb(bufferevent_get_input(c->bev), on_input, c);
	evbuffer_remove_cb(bufferevent_get_output(c->bev), on_output, c);
	g_hash_table_remove(c->httpd->connections, c->bev);
}

static void
on_closed(struct evhttp_connection *ev, void *arg)
{
	forget(arg);
}

/* Finds the connection that evhttp has made of the bufferevent: it is the
 * argument of its callbacks, which evhttp clears when it frees it. Returns
 * false if it has freed it; c is then freed, too. */
static bool
attach(struct connection *c)
{
	bufferevent_event_cb event_cb;
	void *ev;

	if (c->attach == NULL)
		return true;
	event_free(g_steal_pointer(&c->attach));
	bufferevent_getcb(c->bev, NULL, NULL, &event_cb, &ev);
	if (event_cb == NULL) {
		forget(c);
		return false;
	}
	c->ev = ev;
	evhttp_connection_set_closecb(c->ev, on_closed, c);
	return true;
}

static void
on_attach(evutil_socket_t fd, short what, void *arg)
{
	struct connection *c = arg;

	if (attach(c) && c->inbound == NULL)
		evhttp_connection_free(c->ev);
}

static void
inbound_close(void *arg)
{
	struct connection *c = arg;

	if (attach(c))
		evhttp_connection_free(c->ev);
}

/* evhttp frees the connection when it finds its end. */
static void
inbound_close_later(void *arg)
{
	struct connection *c = arg;

	shutdown(bufferevent_getfd(c->bev), SHUT_RDWR);
}

static const struct inbound_ops inbound_ops = { .close = inbound_close,
	.close_later = inbound_close_later };

struct bufferevent *
connection_new(struct event_base *base, void *httpd)
{
	static const struct timeval now = { 0 };
	struct httpd *h = httpd;
	struct connection *c = g_new0(struct connection, 1);

	c->httpd = h;
	c->bev = bufferevent_socket_new(base, -1, 0);
	bufferevent_incref(c->bev);
	c->inbound = inbound_add(&inbound_ops, c);
	c->attach = event_new(base, -1, 0, on_attach, c);
	event_add(c->attach, &now);
	g_hash_table_insert(h->connections, c->bev, c);
	if (h->skip != NULL)
		c->input = skip_input_new(h);
	evbuffer_add_cb(bufferevent_get_input(c->bev), on_input, c);
	evbuffer_add_cb(bufferevent_get_output(c->bev), on_output, c);
	return c->bev;
}

static struct connection *
find(const struct httpd *h, struct evhttp_request *ev)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(ev);

	return conn == NULL ? NULL
			    : g_hash_table_lookup(h->connections,
				  evhttp_connection_get_bufferevent(conn));
}

size_t
connection_request_complete(struct httpd *h, struct evhttp_request *ev)
{
	struct connection *c = find(h, ev);
	size_t held;

	if (c == NULL)
		return 0;
	held = c->request_held;
	hold_request(c, -(ssize_t)held);
	inbound_hold_request((ssize_t)held);
	if (c->inbound != NULL)
		inbound_set_busy(c->inbound, true);
	return held;
}

void
connection_request_answered(
    struct httpd *h, struct evhttp_request *ev, size_t held)
{
	struct connection *c = find(h, ev);

	inbound_hold_request(-(ssize_t)held);
	if (c == NULL)
		return;
	h->unsent += !c->unsent;
	c->unsent = true;
	if (c->inbound == NULL)
		return;
	c->answered = true;
	hold_request(c, (ssize_t)held);
	inbound_set_served(c->inbound);
	inbound_set_busy(c->inbound, false);
}

bool
connection_has_input(struct httpd *h, struct evhttp_request *ev)
{
	struct connection *c = find(h, ev);

	return c != NULL &&
	    (is_skipping(c) ||
		evbuffer_get_length(bufferevent_get_input(c->bev)) > 0);
}
