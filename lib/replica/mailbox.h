/* Messages from other threads to the event loop. */
#ifndef MAILBOX_H
#define MAILBOX_H

#include <event2/event.h>

#include "base.h"

struct mailbox;

/* Calls take on the loop for every message, in the order of posting. */
struct mailbox *mailbox_new(struct event_base *base,
    void (*take)(void *arg, void *message), void *arg, GError **err);
/* Posts a message from any thread. */
void mailbox_post(struct mailbox *m, void *message);
/* Frees the mailbox; messages not yet taken are dropped with drop. */
void mailbox_free(struct mailbox *m, void (*drop)(void *message));

#endif
