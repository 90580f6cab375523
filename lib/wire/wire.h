/*
 * Connections between the processes of the system: frames with a four-byte
 * big-endian length over TCP, and a table-driven codec between C structs and
 * msgpack arrays.
 */
#ifndef WIRE_H
#define WIRE_H

#include <event2/event.h>

#include "base.h"

#define FRAME_MAX (8 * 1024 * 1024) /* bytes, without the length */
#define LINK_QUEUE_MAX (32 * 1024 * 1024) /* unsent bytes of one link */

/* A connection. Both sides may send frames at any time. */
struct link;

struct link_ops {
	/* A connection of link_dial() is established; may be NULL. */
	void (*up)(void *arg, struct link *l);
	/* A frame was received; data is valid during the call only. */
	void (*frame)(void *arg, struct link *l, const void *data, size_t len);
	/* The connection ended, for the reason why; l is freed afterwards. */
	void (*down)(void *arg, struct link *l, const char *why);
};

struct listener;

/*
 * Starts to connect to "IP:PORT"; the result is reported by up or down.
 * Returns NULL if the address is malformed or the attempt fails at once.
 */
struct link *link_dial(struct event_base *base, const char *address,
    const struct link_ops *ops, void *arg);
/* Makes a link of an accepted socket and takes ownership of it. It counts
 * against the limits of lib/inbound: it may end at any time. Returns NULL if it
 * is refused by these; fd is closed then. */
struct link *link_accept(struct event_base *base, evutil_socket_t fd,
    const struct link_ops *ops, void *arg);
void link_set_arg(struct link *l, void *arg);
/* Ends the link if the peer announces a longer frame. Initially FRAME_MAX. */
void link_set_frame_max(struct link *l, uint32_t bytes);
/* The peer has said who it is: others are closed before it, see lib/inbound. */
void link_set_known(struct link *l);
void *link_arg(const struct link *l);
/*
 * Queues a copy of a frame of at most FRAME_MAX bytes. If more than
 * LINK_QUEUE_MAX bytes are unsent, drops the frame and shuts the socket
 * down; the event loop then calls down.
 */
void link_send(struct link *l, const void *data, size_t len);
void link_send_bytes(struct link *l, GBytes *bytes);
/* Closes and frees the link without calling down; allowed in callbacks. */
void link_close(struct link *l);

struct link_stats {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_in; /* with the length fields */
	uint64_t bytes_out;
};

/* Returns the totals of all links of this process. */
const struct link_stats *link_stats(void);

/*
 * Listens on "IP:PORT" and passes accepted sockets to fn. Fails with
 * ERR_INVALID if the address is malformed, with ERR_IO if it can't listen.
 */
struct listener *listener_new(struct event_base *base, const char *address,
    void (*fn)(void *arg, evutil_socket_t fd), void *arg, GError **err);
void listener_free(struct listener *l);

/* Field types, each with the C type of the struct member. */
enum field_type {
	FIELD_U64, /* uint64_t */
	FIELD_U32, /* uint32_t */
	FIELD_I64, /* int64_t */
	FIELD_BOOL, /* bool */
	FIELD_STR, /* char *, owned; NULL is sent as "" */
	FIELD_BYTES, /* GBytes *, owned; NULL if empty */
	FIELD_U64S /* GArray * of uint64_t, owned; NULL if empty */
};

struct field {
	enum field_type type;
	size_t offset; /* of the struct member */
};

/* Message schema: the fields of a struct in the order of encoding. */
struct shape {
	const char *name; /* for error messages */
	const struct field *field;
	size_t count;
	size_t size; /* sizeof the struct */
};

/* Returns a frame: one byte for the message type, then the fields. */
GBytes *shape_encode(uint8_t type, const struct shape *shape, const void *in);
/*
 * Decodes a frame into the struct out, which shape_clear_message() frees. If
 * the frame does not match, fails with ERR_CORRUPT and leaves nothing to free.
 */
bool shape_decode(const void *data, size_t len, const struct shape *shape,
    void *out, GError **err);
/* Returns the message type of a frame, or -1 if the frame is empty. */
int shape_frame_type(const void *data, size_t len);
/* Frees the strings, bytes and arrays in a decoded struct. */
void shape_clear_message(const struct shape *shape, void *out);

#endif
