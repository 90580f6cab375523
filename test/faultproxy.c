/*
 * TCP proxy that injects faults between pairs of addresses. Commands are lines
 * on standard input or on connections to --control. The reply is one line that
 * starts with "ok COMMAND" or "error COMMAND":
 *
 *	cut NAME		forward nothing, keep connections open
 *	oneway NAME up|down	forward nothing in one direction
 *	delay NAME MS		delay every byte
 *	lose NAME PERCENT	close this share of new connections at once
 *	reset NAME		close all connections of the pair
 *	carry NAME		reconnect when the target closes a connection,
 *				and forward what it has not received
 *	heal NAME		undo all faults but carry; forward queued bytes
 *	status NAME		connections and forwarded bytes
 *
 * "up" is the direction from the connecting side to the target. NAME "*" means
 * all pairs.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "base.h"

#define RECONNECT_MS 50 /* between attempts to reach the target of "carry" */
#define OUTPUT_BYTES_MAX (4 << 20) /* unwritten bytes that stop reading */

enum direction { UP, DOWN, DIRECTIONS };

struct proxy {
	struct event_base *base;
	GPtrArray *pairs; /* struct pair */
	struct rng rng;
	gint delay_ms; /* initial value for all pairs */
	gint lose_percent; /* initial value for all pairs */
	struct evconnlistener *control;
	GPtrArray *controllers; /* struct bufferevent: command sources */
};

/* A listener and the target to which its connections are forwarded. */
struct pair {
	struct proxy *proxy;
	char *name;
	struct sockaddr_storage target;
	int target_len;
	struct evconnlistener *listener;
	GPtrArray *conns; /* struct conn */
	bool blocked[DIRECTIONS];
	int64_t delay_ms;
	uint64_t lose_percent;
	bool carry;
	uint64_t bytes[DIRECTIONS];
};

/* Bytes that must not be forwarded before a time. */
struct chunk {
	int64_t due_ms;
	struct evbuffer *bytes;
};

/* One direction of a connection. */
struct flow {
	struct conn *conn;
	enum direction dir;
	struct bufferevent *from;
	struct bufferevent *to;
	GQueue chunks; /* struct chunk */
	struct event *timer;
	bool eof; /* from has closed its sending side */
	bool eof_forwarded;
};

/* One proxied connection. */
struct conn {
	struct pair *pair;
	struct flow flow[DIRECTIONS];
	struct bufferevent *side[DIRECTIONS]; /* connecting side, target */
	bool connected; /* to the target, or connecting */
	struct event *reconnect_timer;
};

static void flow_forward(struct flow *f);

static void
chunk_free(void *arg)
{
	struct chunk *c = arg;

	evbuffer_free(c->bytes);
	g_free(c);
}

static void
conn_free(void *arg)
{
	struct conn *conn = arg;

	for (int d = 0; d < DIRECTIONS; d++) {
		g_queue_clear_full(&conn->flow[d].chunks, chunk_free);
		event_free(conn->flow[d].timer);
		bufferevent_free(conn->side[d]);
	}
	event_free(conn->reconnect_timer);
	g_free(conn);
}

static void
conn_close(struct conn *conn)
{
	g_ptr_array_remove_fast(conn->pair->conns, conn);
}

/* Stops reading if the direction is cut or the output buffer is full. */
static void
flow_set_reading(struct flow *f)
{
	size_t queued = evbuffer_get_length(bufferevent_get_output(f->to));

	if (f->conn->pair->blocked[f->dir] || queued > OUTPUT_BYTES_MAX)
		bufferevent_disable(f->from, EV_READ);
	else
		bufferevent_enable(f->from, EV_READ);
}

/* Connects to the target unless the pair is cut in either direction. */
static void
conn_connect(struct conn *conn)
{
	struct pair *p = conn->pair;

	if (conn->connected || p->blocked[UP] || p->blocked[DOWN])
		return;
	conn->connected = true;
	(void)bufferevent_socket_connect(
	    conn->side[1], (struct sockaddr *)&p->target, p->target_len);
}

/* Forwards the end of the stream after all data before it was written. */
static void
flow_forward_eof(struct flow *f)
{
	if (!f->eof || f->eof_forwarded || !g_queue_is_empty(&f->chunks) ||
	    evbuffer_get_length(bufferevent_get_output(f->to)) > 0)
		return;
	f->eof_forwarded = true;
	shutdown(bufferevent_getfd(f->to), SHUT_WR);
	if (f->conn->flow[UP].eof_forwarded &&
	    f->conn->flow[DOWN].eof_forwarded)
		conn_close(f->conn);
}

/* Writes the chunks that are due and sets the timer for the next one. */
static void
flow_forward(struct flow *f)
{
	struct pair *p = f->conn->pair;
	struct chunk *c;

	while (!p->blocked[f->dir] &&
	    (c = g_queue_peek_head(&f->chunks)) != NULL) {
		int64_t wait = c->due_ms - mono_ms();

		if (wait > 0) {
			struct timeval tv = { wait / 1000,
				(wait % 1000) * 1000 };

			event_add(f->timer, &tv);
			return;
		}
		p->bytes[f->dir] += evbuffer_get_length(c->bytes);
		bufferevent_write_buffer(f->to, c->bytes);
		chunk_free(g_queue_pop_head(&f->chunks));
	}
	if (!p->blocked[f->dir])
		flow_forward_eof(f);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	flow_forward(arg);
}

/* Returns the flow that reads from this side. */
static struct flow *
flow_from(struct conn *conn, const struct bufferevent *bev)
{
	return &conn->flow[bev == conn->side[0] ? UP : DOWN];
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct conn *conn = arg;
	struct flow *f = flow_from(conn, bev);
	struct chunk *c = g_new(struct chunk, 1);

	c->due_ms = mono_ms() + conn->pair->delay_ms;
	c->bytes = evbuffer_new();
	bufferevent_read_buffer(bev, c->bytes);
	g_queue_push_tail(&f->chunks, c);
	flow_set_reading(f);
	flow_forward(f);
}

/* The output buffer of a side is empty: resume reading from its peer. */
static void
on_write(struct bufferevent *bev, void *arg)
{
	struct conn *conn = arg;
	struct flow *f = &conn->flow[bev == conn->side[0] ? DOWN : UP];

	flow_set_reading(f);
	flow_forward_eof(f);
}

static void on_event(struct bufferevent *bev, short what, void *arg);

static void
on_reconnect(evutil_socket_t fd, short what, void *arg)
{
	struct conn *conn = arg;

	conn->connected = false;
	conn_connect(conn);
}

/* Connects to the target again, which has closed the connection. */
static void
conn_carry_over(struct conn *conn)
{
	struct timeval tv = { .tv_usec = RECONNECT_MS * 1000 };
	struct bufferevent *target = bufferevent_socket_new(
	    conn->pair->proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);

	(void)evbuffer_add_buffer(bufferevent_get_output(target),
	    bufferevent_get_output(conn->side[1]));
	bufferevent_free(conn->side[1]);
	conn->side[1] = conn->flow[UP].to = conn->flow[DOWN].from = target;
	g_queue_clear_full(&conn->flow[DOWN].chunks, chunk_free);
	g_queue_init(&conn->flow[DOWN].chunks);
	conn->flow[DOWN].eof = false;
	bufferevent_setcb(target, on_read, on_write, on_event, conn);
	flow_set_reading(&conn->flow[DOWN]);
	event_add(conn->reconnect_timer, &tv);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *conn = arg;
	struct flow *f = flow_from(conn, bev);

	if (conn->pair->carry && bev == conn->side[1] &&
	    !conn->flow[UP].eof_forwarded &&
	    (what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) != 0) {
		conn_carry_over(conn);
		return;
	}
	if ((what & BEV_EVENT_ERROR) != 0) {
		conn_close(conn);
		return;
	}
	if ((what & BEV_EVENT_EOF) != 0) {
		f->eof = true;
		flow_forward(f);
	}
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	struct pair *p = arg;
	struct conn *conn;

	if (rng_below(&p->proxy->rng, 100) < p->lose_percent) {
		evutil_closesocket(fd);
		return;
	}
	conn = g_new0(struct conn, 1);
	conn->pair = p;
	conn->side[0] =
	    bufferevent_socket_new(p->proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->side[1] =
	    bufferevent_socket_new(p->proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (int d = 0; d < DIRECTIONS; d++) {
		struct flow *f = &conn->flow[d];

		f->conn = conn;
		f->dir = d;
		f->from = conn->side[d];
		f->to = conn->side[1 - d];
		g_queue_init(&f->chunks);
		f->timer = event_new(p->proxy->base, -1, 0, on_timer, f);
		bufferevent_setcb(
		    conn->side[d], on_read, on_write, on_event, conn);
	}
	conn->reconnect_timer =
	    event_new(p->proxy->base, -1, 0, on_reconnect, conn);
	g_ptr_array_add(p->conns, conn);
	flow_set_reading(&conn->flow[UP]);
	flow_set_reading(&conn->flow[DOWN]);
	conn_connect(conn);
}

/* Applies changes of blocked to the pair's connections. */
static void
pair_update(struct pair *p)
{
	GPtrArray *conns = g_ptr_array_new();

	/* Iterates over a copy, as forwarding may close connections. */
	g_ptr_array_extend(conns, p->conns, NULL, NULL);
	for (guint i = 0; i < conns->len; i++) {
		struct conn *conn = conns->pdata[i];

		conn_connect(conn);
		flow_set_reading(&conn->flow[UP]);
		flow_set_reading(&conn->flow[DOWN]);
		flow_forward(&conn->flow[UP]);
		if (g_ptr_array_find(p->conns, conn, NULL))
			flow_forward(&conn->flow[DOWN]);
	}
	g_ptr_array_unref(conns);
}

/* A control command on a listener and its target; run returns false if its
 * argument is invalid. */
struct command {
	const char *name;
	bool (*run)(struct pair *p, const char *arg);
};

static bool
do_cut(struct pair *p, const char *arg)
{
	p->blocked[UP] = p->blocked[DOWN] = true;
	pair_update(p);
	return true;
}

static bool
do_oneway(struct pair *p, const char *arg)
{
	if (g_strcmp0(arg, "up") != 0 && g_strcmp0(arg, "down") != 0)
		return false;
	p->blocked[strcmp(arg, "up") == 0 ? UP : DOWN] = true;
	pair_update(p);
	return true;
}

static bool
parse_number(const char *arg, guint64 max, guint64 *value)
{
	return arg != NULL &&
	    g_ascii_string_to_unsigned(arg, 10, 0, max, value, NULL);
}

static bool
do_delay(struct pair *p, const char *arg)
{
	guint64 ms;

	if (!parse_number(arg, G_MAXINT32, &ms))
		return false;
	p->delay_ms = (int64_t)ms;
	return true;
}

static bool
do_lose(struct pair *p, const char *arg)
{
	guint64 percent;

	if (!parse_number(arg, 100, &percent))
		return false;
	p->lose_percent = percent;
	return true;
}

static bool
do_reset(struct pair *p, const char *arg)
{
	g_ptr_array_set_size(p->conns, 0);
	return true;
}

static bool
do_carry(struct pair *p, const char *arg)
{
	p->carry = true;
	return true;
}

static bool
do_heal(struct pair *p, const char *arg)
{
	p->blocked[UP] = p->blocked[DOWN] = false;
	p->delay_ms = 0;
	p->lose_percent = 0;
	pair_update(p);
	return true;
}

static bool
do_status(struct pair *p, const char *arg)
{
	return true;
}

static const struct command commands[] = {
	{ "cut", do_cut },
	{ "oneway", do_oneway },
	{ "delay", do_delay },
	{ "lose", do_lose },
	{ "reset", do_reset },
	{ "carry", do_carry },
	{ "heal", do_heal },
	{ "status", do_status },
};

static const struct command *
command_named(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (g_strcmp0(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

/* Runs a command line; returns the reply without a newline. */
static char *
run_line(struct proxy *x, const char *line)
{
	char **word = g_strsplit(line, " ", 3);
	const struct command *c = command_named(word[0]);
	const char *name = c != NULL ? word[1] : NULL;
	GString *out = g_string_new(NULL);
	bool ok = false;

	for (guint i = 0; name != NULL && i < x->pairs->len; i++) {
		struct pair *p = x->pairs->pdata[i];

		if (strcmp(name, "*") != 0 && strcmp(name, p->name) != 0)
			continue;
		ok = c->run(p, word[2]);
		if (ok && c->run == do_status)
			g_string_append_printf(out,
			    " %s connections %u up %" PRIu64 " down %" PRIu64,
			    p->name, p->conns->len, p->bytes[UP],
			    p->bytes[DOWN]);
	}
	g_string_prepend(out, line);
	g_string_prepend(out, ok ? "ok " : "error ");
	g_strfreev(word);
	return g_string_free(out, FALSE);
}

static void
on_line(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	char *line;

	while ((line = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF)) != NULL) {
		char *reply = run_line(arg, line);

		if (bufferevent_getfd(bev) == STDIN_FILENO) {
			puts(reply);
			fflush(stdout);
		} else {
			evbuffer_add_printf(
			    bufferevent_get_output(bev), "%s\n", reply);
		}
		g_free(reply);
		free(line);
	}
}

static void
on_control_event(struct bufferevent *bev, short what, void *arg)
{
	struct proxy *x = arg;

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	/* The end of standard input means that the parent has exited. */
	if (bufferevent_getfd(bev) == STDIN_FILENO)
		event_base_loopbreak(x->base);
	else
		g_ptr_array_remove_fast(x->controllers, bev);
}

static void
add_controller(struct proxy *x, evutil_socket_t fd, int options)
{
	struct bufferevent *bev = bufferevent_socket_new(x->base, fd, options);

	bufferevent_setcb(bev, on_line, NULL, on_control_event, x);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_ptr_array_add(x->controllers, bev);
}

static void
on_control(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *from, int len, void *arg)
{
	add_controller(arg, fd, BEV_OPT_CLOSE_ON_FREE);
}

/* Listens on IP:PORT; NULL on failure. */
static struct evconnlistener *
listen_on(
    struct proxy *x, const char *address, evconnlistener_cb on_new, void *arg)
{
	struct sockaddr_storage sa;
	struct evconnlistener *listener;
	int len = sizeof(sa);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&sa, &len) !=
	    0) {
		g_printerr("faultproxy: invalid address %s, must be IP:PORT\n",
		    address);
		return NULL;
	}
	listener = evconnlistener_new_bind(x->base, on_new, arg,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&sa, len);
	if (listener == NULL)
		g_printerr("faultproxy: can't listen on %s\n", address);
	return listener;
}

static void
pair_free(void *arg)
{
	struct pair *p = arg;

	g_ptr_array_unref(p->conns);
	if (p->listener != NULL)
		evconnlistener_free(p->listener);
	g_free(p->name);
	g_free(p);
}

/* Adds a pair [NAME@]LISTEN=TARGET; the default name is its index. */
static bool
add_pair(struct proxy *x, const char *text)
{
	struct pair *p = g_new0(struct pair, 1);
	const char *at = strchr(text, '@');
	char **addresses = g_strsplit(at != NULL ? at + 1 : text, "=", 2);

	p->proxy = x;
	p->name = at != NULL ? g_strndup(text, (gsize)(at - text))
			     : g_strdup_printf("%u", x->pairs->len);
	p->conns = g_ptr_array_new_with_free_func(conn_free);
	p->delay_ms = x->delay_ms;
	p->lose_percent = (uint64_t)x->lose_percent;
	p->target_len = sizeof(p->target);
	if (g_strv_length(addresses) == 2 &&
	    evutil_parse_sockaddr_port(addresses[1],
		(struct sockaddr *)&p->target, &p->target_len) == 0)
		p->listener = listen_on(x, addresses[0], on_accept, p);
	else
		g_printerr(
		    "faultproxy: --pair=%s: must be [NAME@]LISTEN=TARGET\n",
		    text);
	g_strfreev(addresses);
	g_ptr_array_add(x->pairs, p);
	return p->listener != NULL;
}

static void
on_term(evutil_socket_t fd, short what, void *arg)
{
	event_base_loopbreak(arg);
}

/* Serves until SIGTERM or the end of standard input. */
static bool
serve(struct proxy *x, char **pairs, const char *control)
{
	struct event *term = evsignal_new(x->base, SIGTERM, on_term, x->base);
	bool ok = true;

	event_add(term, NULL);
	for (int i = 0; ok && pairs != NULL && pairs[i] != NULL; i++)
		ok = add_pair(x, pairs[i]);
	if (ok && control != NULL) {
		x->control = listen_on(x, control, on_control, x);
		ok = x->control != NULL;
	}
	if (ok) {
		evutil_make_socket_nonblocking(STDIN_FILENO);
		add_controller(x, STDIN_FILENO, 0);
		puts("ready");
		fflush(stdout);
		event_base_dispatch(x->base);
	}
	event_free(term);
	return ok;
}

int
main(int argc, char **argv)
{
	struct proxy x = { 0 };
	char **pairs = NULL;
	char *control = NULL;
	gint64 seed = 1;
	GOptionEntry options[] = {
		{ .long_name = "pair",
		    .arg = G_OPTION_ARG_STRING_ARRAY,
		    .arg_data = &pairs },
		{ .long_name = "control",
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &control },
		{ .long_name = "seed",
		    .arg = G_OPTION_ARG_INT64,
		    .arg_data = &seed },
		{ .long_name = "delay-ms",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &x.delay_ms },
		{ .long_name = "lose",
		    .arg = G_OPTION_ARG_INT,
		    .arg_data = &x.lose_percent },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *err = NULL;
	bool ok;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		g_printerr("faultproxy: %s\n", err->message);
		return 2;
	}
	x.base = event_base_new();
	x.rng.state = (uint64_t)seed;
	x.pairs = g_ptr_array_new_with_free_func(pair_free);
	x.controllers =
	    g_ptr_array_new_with_free_func((GDestroyNotify)bufferevent_free);
	ok = serve(&x, pairs, control);
	g_ptr_array_unref(x.controllers);
	g_ptr_array_unref(x.pairs);
	if (x.control != NULL)
		evconnlistener_free(x.control);
	event_base_free(x.base);
	g_option_context_free(context);
	g_strfreev(pairs);
	g_free(control);
	return ok ? 0 : 1;
}
