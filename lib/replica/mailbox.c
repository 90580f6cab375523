#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/eventfd.h>

#include "mailbox.h"

struct mailbox {
	GAsyncQueue *queue;
	int fd;
	struct event *ev;
	void (*take)(void *arg, void *message);
	void *arg;
};

static void
on_ready(evutil_socket_t fd, short what, void *arg)
{
	struct mailbox *m = arg;
	uint64_t count;
	void *message;

	if (read(fd, &count, sizeof(count)) != sizeof(count))
		return;
	while ((message = g_async_queue_try_pop(m->queue)) != NULL)
		m->take(m->arg, message);
}

struct mailbox *
mailbox_new(struct event_base *base, void (*take)(void *arg, void *message),
    void *arg, GError **err)
{
	int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	struct mailbox *m;

	if (fd < 0) {
		g_set_error(err, BT_ERROR, ERR_IO, "can't make an eventfd: %s",
		    strerror(errno));
		return NULL;
	}
	m = g_new0(struct mailbox, 1);
	m->queue = g_async_queue_new();
	m->fd = fd;
	m->take = take;
	m->arg = arg;
	m->ev = event_new(base, fd, EV_READ | EV_PERSIST, on_ready, m);
	event_add(m->ev, NULL);
	return m;
}

void
mailbox_post(struct mailbox *m, void *message)
{
	uint64_t one = 1;

	g_async_queue_push(m->queue, message);
	/* The counter can't overflow: each wake-up empties it. */
	(void)!write(m->fd, &one, sizeof(one));
}

void
mailbox_free(struct mailbox *m, void (*drop)(void *message))
{
	void *message;

	if (m == NULL)
		return;
	event_free(m->ev);
	close(m->fd);
	while ((message = g_async_queue_try_pop(m->queue)) != NULL)
		drop(message);
	g_async_queue_unref(m->queue);
	g_free(m);
}
