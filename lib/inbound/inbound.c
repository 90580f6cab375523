#include "inbound.h"
#include "logs.h"

struct inbound {
	GList link; /* in the list of connections */
	const struct inbound_ops *ops;
	void *arg;
	size_t held; /* bytes */
	bool busy;
	bool served;
	bool closing; /* close_later() was called */
};

static struct {
	guint connections_max;
	size_t held_max;
	GQueue connections; /* struct inbound, idle longest first */
	size_t held; /* by connections ... */
	size_t closing_held; /* ... by those that are being closed ... */
	size_t requests_held; /* ... and by requests in progress */
} process = { .connections_max = INBOUND_CONNECTIONS_MAX,
	.held_max = INBOUND_HELD_MAX,
	.connections = G_QUEUE_INIT };

void
inbound_set_limits(guint connections, size_t held_bytes)
{
	process.connections_max = connections;
	process.held_max = held_bytes;
}

/* Returns the connection that has been idle longest, if possible one that has
 * had no request answered; NULL if all are busy. */
static struct inbound *
find_idle(void)
{
	struct inbound *served = NULL;

	for (GList *i = process.connections.head; i != NULL; i = i->next) {
		struct inbound *in = i->data;

		if (in->busy)
			continue;
		if (!in->served)
			return in;
		if (served == NULL)
			served = in;
	}
	return served;
}

/* Returns the connection that has been idle longest of those that hold bytes.
 */
static struct inbound *
find_holder(void)
{
	for (GList *i = process.connections.head; i != NULL; i = i->next) {
		struct inbound *in = i->data;

		if (!in->busy && !in->closing && in->held > 0)
			return in;
	}
	return NULL;
}

static void
touch(struct inbound *in)
{
	g_queue_unlink(&process.connections, &in->link);
	g_queue_push_tail_link(&process.connections, &in->link);
}

struct inbound *
inbound_add(const struct inbound_ops *ops, void *arg)
{
	struct inbound *in;

	while (process.connections.length >= process.connections_max) {
		in = find_idle();
		if (in == NULL) {
			log_info("inbound",
			    "event=connection-refused connections=%u "
			    "why=\"all have requests in progress\"",
			    process.connections.length);
			return NULL;
		}
		log_info("inbound",
		    "event=connection-closed connections=%u max=%u served=%d "
		    "held=%zu why=\"too many connections\"",
		    process.connections.length, process.connections_max,
		    in->served, in->held);
		in->ops->close(in->arg);
	}
	in = g_new0(struct inbound, 1);
	in->link.data = in;
	in->ops = ops;
	in->arg = arg;
	g_queue_push_tail_link(&process.connections, &in->link);
	return in;
}

void
inbound_remove(struct inbound *in)
{
	if (in->closing)
		process.closing_held -= in->held;
	else
		process.held -= in->held;
	g_queue_unlink(&process.connections, &in->link);
	g_free(in);
}

static size_t
total_held(void)
{
	return process.held + process.requests_held;
}

static void
close_holder(struct inbound *in)
{
	log_info("inbound",
	    "event=connection-closed held=%zu total=%zu requests=%zu max=%zu "
	    "why=\"too many bytes held\"",
	    in->held, process.held, process.requests_held, process.held_max);
	process.held -= in->held;
	process.closing_held += in->held;
	in->closing = true;
	in->ops->close_later(in->arg);
}

/* Closes the connections that have been idle longest until the others have room
 * for so many bytes more. */
static void
make_room(size_t bytes)
{
	struct inbound *in;

	while (total_held() + bytes > process.held_max &&
	    (in = find_holder()) != NULL)
		close_holder(in);
}

void
inbound_hold(struct inbound *in, ssize_t bytes)
{
	if (in->closing || bytes == 0)
		return;
	bytes = MAX(bytes, -(ssize_t)in->held);
	in->held += (size_t)bytes;
	process.held += (size_t)bytes;
	touch(in);
	if (bytes > 0)
		make_room(0);
}

void
inbound_set_busy(struct inbound *in, bool busy)
{
	in->busy = busy;
	touch(in);
}

void
inbound_set_served(struct inbound *in)
{
	in->served = true;
}

void
inbound_hold_request(ssize_t bytes)
{
	process.requests_held += (size_t)bytes;
}

bool
inbound_has_room(size_t bytes)
{
	if (total_held() + process.closing_held + bytes <= process.held_max)
		return true;
	make_room(bytes);
	return false;
}

bool
inbound_is_full(void)
{
	return process.requests_held > process.held_max;
}
