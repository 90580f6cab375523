/*
 * Connections between our processes: frames with a four-byte big-endian
 * length over TCP, and a codec that turns plain structs into msgpack arrays
 * by a table of fields.
 */
#ifndef WIRE_H
#define WIRE_H

#include <event2/event.h>

#include "base.h"

#define FRAME_MAX (8 * 1024 * 1024) /* bytes of one frame */
#define LINK_QUEUE_MAX (32 * 1024 * 1024) /* unsent bytes before it closes */

/* One connection. Both sides may send frames at any time. */
struct link;

struct link_ops {
	/* The connection is made (dialled ones only). */
	void (*up)(void *arg, struct link *l);
	/* A whole frame came in. */
	void (*frame)(void *arg, struct link *l, const void *data, size_t len);
	/* The connection has ended; the link is freed after the call. */
	void (*down)(void *arg, struct link *l, const char *why);
};

struct listener;

/* Starts a connection to "IP:PORT"; NULL if the address is malformed. */
struct link *link_dial(struct event_base *base, const char *address,
    const struct link_ops *ops, void *arg);
/* Takes over an accepted socket. */
struct link *link_accept(struct event_base *base, evutil_socket_t fd,
    const struct link_ops *ops, void *arg);
void link_set_arg(struct link *l, void *arg);
void *link_arg(const struct link *l);
void link_send(struct link *l, const void *data, size_t len);
void link_send_bytes(struct link *l, GBytes *bytes);
/* Closes without calling down. Safe inside the link's own callbacks. */
void link_close(struct link *l);

struct link_stats {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_in; /* frame bytes with their lengths */
	uint64_t bytes_out;
};

/* The sums over all links of this process. */
const struct link_stats *link_stats(void);

/* Listens on "IP:PORT"; accepted sockets go to fn. */
struct listener *listener_new(struct event_base *base, const char *address,
    void (*fn)(void *arg, evutil_socket_t fd), void *arg, GError **err);
void listener_free(struct listener *l);

/* Field types of a shape; the member's C type is given behind each. */
enum field_type {
	FIELD_U64, /* uint64_t */
	FIELD_U32, /* uint32_t */
	FIELD_I64, /* int64_t */
	FIELD_BOOL, /* bool */
	FIELD_STR, /* char *, NULL and "" are alike, owned */
	FIELD_BYTES, /* GBytes *, NULL when empty */
	FIELD_U64S /* GArray * of uint64_t, NULL when empty */
};

struct field {
	enum field_type type;
	size_t offset;
};

/* How a struct is written: its fields in order. */
struct shape {
	const char *name;
	const struct field *field;
	size_t count;
	size_t size; /* of the struct */
};

/* Returns a frame: the number of its type, then the fields. */
GBytes *shape_encode(uint8_t type, const struct shape *shape, const void *in);
/* Fills a zeroed struct; ERR_CORRUPT if the frame does not match. */
bool shape_decode(const void *data, size_t len, const struct shape *shape,
    void *out, GError **err);
/* Returns the frame's type number, or -1. */
int shape_type(const void *data, size_t len);
/* Frees what decode made inside the struct. */
void shape_clear(const struct shape *shape, void *out);

#endif
