#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "inbound.h"
#include "wire.h"

#define LENGTH_BYTES 4
#define LISTEN_BACKLOG 128

struct link {
	struct bufferevent *bev;
	const struct link_ops *ops;
	void *arg;
	bool in_callback;
	bool closed; /* freed when the callback returns */
	uint32_t frame_max;
	struct inbound *inbound; /* NULL: a link that was dialled */
};

struct listener {
	struct evconnlistener *ev;
	void (*fn)(void *arg, evutil_socket_t fd);
	void *arg;
};

static struct link_stats totals;

const struct link_stats *
link_stats(void)
{
	return &totals;
}

static void
destroy(struct link *l)
{
	if (l->inbound != NULL)
		inbound_remove(g_steal_pointer(&l->inbound));
	if (l->bev != NULL)
		bufferevent_free(l->bev);
	g_free(l);
}

/* Reports the end of the link to its owner; the caller then frees it. */
static void
fail(struct link *l, const char *why)
{
	if (l->closed)
		return;
	l->closed = true;
	l->ops->down(l->arg, l, why);
}

/* Delivers one complete frame; false if there is none or the link ended. */
static bool
deliver_frame(struct link *l)
{
	struct evbuffer *in = bufferevent_get_input(l->bev);
	uint32_t len;

	if (evbuffer_copyout(in, &len, sizeof(len)) < LENGTH_BYTES)
		return false;
	len = ntohl(len);
	if (len > l->frame_max) {
		fail(l, "frame exceeds the size limit");
		return false;
	}
	if (evbuffer_get_length(in) < LENGTH_BYTES + (size_t)len)
		return false;
	evbuffer_drain(in, LENGTH_BYTES);
	totals.frames_in++;
	totals.bytes_in += LENGTH_BYTES + len;
	l->ops->frame(l->arg, l, evbuffer_pullup(in, len), len);
	if (!l->closed)
		evbuffer_drain(in, len);
	return !l->closed;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct link *l = arg;

	l->in_callback = true;
	while (deliver_frame(l))
		continue;
	l->in_callback = false;
	if (l->closed)
		destroy(l);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;
	int one = 1;

	l->in_callback = true;
	if (what & BEV_EVENT_CONNECTED) {
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY,
		    &one, sizeof(one));
		if (l->ops->up != NULL)
			l->ops->up(l->arg, l);
	} else if (what & BEV_EVENT_EOF) {
		fail(l, "connection closed by peer");
	} else {
		fail(l, evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	}
	l->in_callback = false;
	if (l->closed)
		destroy(l);
}

static struct link *
link_new(struct event_base *base, evutil_socket_t fd,
    const struct link_ops *ops, void *arg)
{
	struct link *l = g_new0(struct link, 1);

	l->ops = ops;
	l->arg = arg;
	l->frame_max = FRAME_MAX;
	l->bev = bufferevent_socket_new(
	    base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	g_assert(l->bev != NULL);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	return l;
}

struct link *
link_dial(struct event_base *base, const char *address,
    const struct link_ops *ops, void *arg)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct link *l;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len))
		return NULL;
	l = link_new(base, -1, ops, arg);
	if (bufferevent_socket_connect(l->bev, (struct sockaddr *)&ss, len) ==
	    0)
		return l;
	destroy(l);
	return NULL;
}

/* The event loop then reports the end to the owner. */
static void
shut_down(void *arg)
{
	struct link *l = arg;

	shutdown(bufferevent_getfd(l->bev), SHUT_RDWR);
}

/* Not to be called within a callback of the link. */
static void
inbound_close(void *arg)
{
	struct link *l = arg;

	fail(l, "closed for others");
	destroy(l);
}

static const struct inbound_ops inbound_ops = { .close = inbound_close,
	.close_later = shut_down };

static void
on_buffered(
    struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct link *l = arg;

	if (l->inbound != NULL)
		inbound_hold(l->inbound,
		    (ssize_t)info->n_added - (ssize_t)info->n_deleted);
}

struct link *
link_accept(struct event_base *base, evutil_socket_t fd,
    const struct link_ops *ops, void *arg)
{
	struct link *l;
	int one = 1;

	evutil_make_socket_nonblocking(fd);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	l = link_new(base, fd, ops, arg);
	l->inbound = inbound_add(&inbound_ops, l);
	if (l->inbound == NULL) {
		destroy(l);
		return NULL;
	}
	evbuffer_add_cb(bufferevent_get_input(l->bev), on_buffered, l);
	evbuffer_add_cb(bufferevent_get_output(l->bev), on_buffered, l);
	return l;
}

void
link_set_frame_max(struct link *l, uint32_t bytes)
{
	l->frame_max = bytes;
}

void
link_set_known(struct link *l)
{
	if (l->inbound != NULL)
		inbound_set_served(l->inbound);
}

void
link_set_arg(struct link *l, void *arg)
{
	l->arg = arg;
}

void *
link_arg(const struct link *l)
{
	return l->arg;
}

void
link_send(struct link *l, const void *data, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(l->bev);
	uint32_t length = htonl((uint32_t)len);

	g_assert(len <= FRAME_MAX);
	if (l->closed)
		return;
	if (evbuffer_get_length(out) > LINK_QUEUE_MAX) {
		/* The peer does not read. */
		shut_down(l);
		return;
	}
	totals.frames_out++;
	totals.bytes_out += LENGTH_BYTES + len;
	evbuffer_add(out, &length, LENGTH_BYTES);
	evbuffer_add(out, data, len);
}

void
link_send_bytes(struct link *l, GBytes *bytes)
{
	size_t len;
	const void *data = g_bytes_get_data(bytes, &len);

	link_send(l, data, len);
}

void
link_close(struct link *l)
{
	if (l->closed)
		return;
	l->closed = true;
	if (!l->in_callback)
		destroy(l);
}

static void
on_accept(struct evconnlistener *ev, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct listener *l = arg;

	l->fn(l->arg, fd);
}

struct listener *
listener_new(struct event_base *base, const char *address,
    void (*fn)(void *arg, evutil_socket_t fd), void *arg, GError **err)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct listener *l;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len)) {
		g_set_error(err, BT_ERROR, ERR_INVALID,
		    "address \"%s\" is not of the form IP:PORT", address);
		return NULL;
	}
	l = g_new0(struct listener, 1);
	l->fn = fn;
	l->arg = arg;
	l->ev = evconnlistener_new_bind(base, on_accept, l,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&ss, len);
	if (l->ev != NULL)
		return l;
	g_set_error(err, BT_ERROR, ERR_IO, "can't listen on %s: %s", address,
	    strerror(errno));
	g_free(l);
	return NULL;
}

void
listener_free(struct listener *l)
{
	if (l == NULL)
		return;
	evconnlistener_free(l->ev);
	g_free(l);
}
