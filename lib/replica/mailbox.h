/* Passes messages from other threads to the event loop. */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <event2/event.h>

#include "base.h"

struct mailbox;

/* Calls on_message on the loop for each message, in the order of posting. */
struct mailbox *mailbox_new(struct event_base *base,
    void (*on_message)(void *arg, void *message), void *arg, GError **err);
/* Posts a message; may be called by any thread. */
void mailbox_post(struct mailbox *m, void *message);
/* Frees the mailbox and, with free_message, the messages still queued. */
void mailbox_free(struct mailbox *m, void (*free_message)(void *message));

#endif
