/* A proxy in front of the peer port of a process. */
#ifndef REVIEW_PROXY_H
#define REVIEW_PROXY_H

#include <event2/event.h>

struct proxy;

/* Listens on one address and forwards to another; NULL if it can't. */
struct proxy *
proxy_new(struct event_base *base, const char *listen, const char *target);
/*
 * The connection of a process, by its name, on which a text is seen next, on
 * its way to the target, goes silent for good after that text: nothing is
 * forwarded on it any more, in either direction, and it isn't closed. New
 * connections work.
 */
void proxy_silence_after(struct proxy *p, const char *from, const char *text);
/* How many connections have gone silent. */
int proxy_silenced(const struct proxy *p);

#endif
