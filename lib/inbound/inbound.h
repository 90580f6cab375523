/*
 * The connections that others have opened to this process, at all of its
 * addresses, and what they make it hold: bytes received that are not handled
 * yet, and bytes to be sent that are not read. Their number and their bytes
 * have one limit each for the whole process. Beyond it connections are closed
 * that have no request in progress: those that have been idle longest.
 */
#ifndef INBOUND_H
#define INBOUND_H

#include "base.h"

#define INBOUND_CONNECTIONS_MAX 2048
#define INBOUND_HELD_MAX (32 * 1024 * 1024) /* bytes */

struct inbound;

/* How to close a connection; arg as in inbound_add(). */
struct inbound_ops {
	/* Frees it at once, and so calls inbound_remove(). */
	void (*close)(void *arg);
	/* The same, but later: one of its callbacks may be running. */
	void (*close_later)(void *arg);
};

/* Sets the limits of the process, before it listens. */
void inbound_set_limits(guint connections, size_t held_bytes);
/* Adds a connection, and closes another one if there are too many. Returns NULL
 * if all others have requests in progress. */
struct inbound *inbound_add(const struct inbound_ops *ops, void *arg);
void inbound_remove(struct inbound *in);
/* Counts bytes that the connection makes the process hold, or no longer does;
 * may close connections. */
void inbound_hold(struct inbound *in, ssize_t bytes);
/* A request is in progress: the connection is not closed. */
void inbound_set_busy(struct inbound *in, bool busy);
/* The connection has had a request answered: others are closed first. */
void inbound_set_served(struct inbound *in);
/* Counts bytes of requests in progress, whose connection may have ended. */
void inbound_hold_request(ssize_t bytes);
/* Says whether the requests in progress alone hold more than the limit. */
bool inbound_is_full(void);
/* Says whether so many bytes more can be held now. If not, it closes
 * connections, so that later they can. */
bool inbound_has_room(size_t bytes);

#endif
