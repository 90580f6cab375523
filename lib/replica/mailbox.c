#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/eventfd.h>

#include "mailbox.h"

struct mailbox {
	GAsyncQueue *queue;
	int fd;
	struct event *ev;
	void (*on_message)(void *arg, void *message);
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
		m->on_message(m->arg, message);
}

struct mailbox *
mailbox_new(struct event_base *base,
    void (*on_message)(void *arg, void *message), void *arg, GError **err)
{
	int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	struct mailbox *m;

	if (fd < 0) {
		g_set_error(err, BT_ERROR, ERR_IO,
		    "can't create an eventfd: %s", strerror(errno));
		return NULL;
	}
	m = g_new0(struct mailbox, 1);
	m->queue = g_async_queue_new();
	m->fd = fd;
	m->on_message = on_message;
	m->arg = arg;
	m->ev = event_new(base, fd, EV_READ | EV_PERSIST, on_ready, m);
	event_add(m->ev, NULL);
	return m;
}

void
mailbox_post(struct mailbox *m, void *message)
{
	uint64_t wakeup = 1;

	g_async_queue_push(m->queue, message);
	/* The counter can't overflow: each wake-up resets it to 0. */
	(void)!write(m->fd, &wakeup, sizeof(wakeup));
}

void
mailbox_free(struct mailbox *m, void (*free_message)(void *message))
{
	void *message;

	if (m == NULL)
		return;
	event_free(m->ev);
	close(m->fd);
	while ((message = g_async_queue_try_pop(m->queue)) != NULL)
		free_message(message);
	g_async_queue_unref(m->queue);
	g_free(m);
}
