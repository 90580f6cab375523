#include <stdbool.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <glib.h>

#include "proxy.h"

#define FIRST_BYTES 256

struct proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_storage target;
	int target_len;
	char *from; /* name of the process whose connection it is about */
	char *text; /* NULL: none to look for */
	int silenced;
};

/* The two sides of a connection: accepted, to the target. */
struct conn {
	struct proxy *proxy;
	struct bufferevent *side[2];
	struct evbuffer *first; /* bytes, with the name of who connects */
	bool silent;
};

static void
conn_free(struct conn *c)
{
	bufferevent_free(c->side[0]);
	bufferevent_free(c->side[1]);
	evbuffer_free(c->first);
	g_free(c);
}

static bool
contains(struct evbuffer *buf, const char *text)
{
	return text != NULL &&
	    evbuffer_search(buf, text, strlen(text), NULL).pos >= 0;
}

/* Keeps the beginning of what the connecting side sends: its hello. */
static void
keep_first(struct conn *c, struct evbuffer *in)
{
	char bytes[FIRST_BYTES];
	ev_ssize_t n = evbuffer_copyout(in, bytes, sizeof(bytes));

	if (n > 0 && evbuffer_get_length(c->first) == 0)
		evbuffer_add(c->first, bytes, (size_t)n);
}

static void
on_read(struct bufferevent *from, void *arg)
{
	struct conn *c = arg;
	struct proxy *p = c->proxy;
	struct evbuffer *in = bufferevent_get_input(from);
	bool up = from == c->side[0];
	bool found;

	if (up)
		keep_first(c, in);
	found = up && contains(in, p->text) && contains(c->first, p->from);
	if (c->silent) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	evbuffer_add_buffer(bufferevent_get_output(c->side[up ? 1 : 0]), in);
	if (!found)
		return;
	c->silent = true;
	p->silenced++;
	g_clear_pointer(&p->text, g_free);
}

static void
on_event(struct bufferevent *side, short what, void *arg)
{
	struct conn *c = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	/* The other side of a silent connection learns nothing of it. */
	if (c->silent)
		bufferevent_disable(side, EV_READ | EV_WRITE);
	else
		conn_free(c);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct proxy *p = arg;
	struct conn *c = g_new0(struct conn, 1);

	c->proxy = p;
	c->first = evbuffer_new();
	c->side[0] = bufferevent_socket_new(p->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->side[1] = bufferevent_socket_new(
	    p->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	for (int i = 0; i < 2; i++)
		bufferevent_setcb(c->side[i], on_read, NULL, on_event, c);
	if (bufferevent_socket_connect(c->side[1],
		(struct sockaddr *)&p->target, p->target_len) != 0) {
		conn_free(c);
		return;
	}
	bufferevent_enable(c->side[0], EV_READ | EV_WRITE);
	bufferevent_enable(c->side[1], EV_READ | EV_WRITE);
}

struct proxy *
proxy_new(struct event_base *base, const char *listen, const char *target)
{
	struct proxy *p = g_new0(struct proxy, 1);
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	p->base = base;
	p->target_len = sizeof(p->target);
	if (evutil_parse_sockaddr_port(
		target, (struct sockaddr *)&p->target, &p->target_len) == 0 &&
	    evutil_parse_sockaddr_port(listen, (struct sockaddr *)&ss, &len) ==
		0)
		p->listener = evconnlistener_new_bind(base, on_accept, p,
		    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		    128, (struct sockaddr *)&ss, len);
	if (p->listener != NULL)
		return p;
	g_free(p);
	return NULL;
}

void
proxy_silence_after(struct proxy *p, const char *from, const char *text)
{
	g_free(p->from);
	p->from = g_strdup(from);
	g_free(p->text);
	p->text = g_strdup(text);
}

int
proxy_silenced(const struct proxy *p)
{
	return p->silenced;
}
