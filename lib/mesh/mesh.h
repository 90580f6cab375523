/*
 * Links between the processes of a cell whose members are not listed in the
 * settings. Every process listens, dials the seed addresses and every replica
 * that it hears of, and tells on each link who it is and which replicas it
 * knows. Frames of the owner go both ways on every link.
 */
#ifndef MESH_H
#define MESH_H

#include "wire.h"

#define MESH_PING_MS 400 /* a silent link is pinged so often */
#define MESH_IDLE_MS 1600 /* a link without a frame is closed: 4 pings */
#define MESH_FRAME_FIRST 16 /* frame types from here on are the owner's */

struct mesh;

/* What a process says of itself. */
struct mesh_hello {
	uint64_t version;
	char *name;
	char *address; /* that it listens on for other processes */
	bool replica;
	uint64_t node; /* replica id; 0: none yet */
	uint64_t cell; /* 0: not known yet */
	bool formed; /* its log tells of a cell */
	uint64_t term; /* in which it leads; 0: it does not */
	char *replicas; /* addresses it knows of, by commas */
};

/* One link; lives until the owner is told that it is down. */
struct mesh_link;

struct mesh_ops {
	/* A Raft message from the replica with that id. */
	void (*raft)(void *arg, uint64_t from, const void *data, size_t len);
	/* A frame of the owner; it may be answered on the same link. */
	void (*frame)(void *arg, struct mesh_link *l, int type,
	    const void *data, size_t len);
	/* A link is usable, says something new of its process, or is gone. */
	void (*link)(void *arg, struct mesh_link *l, bool up);
};

struct mesh_conf {
	struct event_base *base;
	const char *name;
	const char *address;
	const char *listen; /* where it listens for that; NULL: the same */
	bool replica;
};

struct mesh *mesh_new(const struct mesh_conf *conf, const struct mesh_ops *ops,
    void *arg, GError **err);
void mesh_free(struct mesh *m);

/* Sets the seed addresses anew (char *). */
void mesh_seed(struct mesh *m, GPtrArray *addresses);

/* What this replica says of itself from now on; told to all. */
void mesh_identify(struct mesh *m, uint64_t node, uint64_t cell, bool formed);
void mesh_leads(struct mesh *m, uint64_t term);
/* The term that was set last. */
uint64_t mesh_leads_in(const struct mesh *m);

/* Sends a Raft message; dropped when the replica is not connected. */
void mesh_send_raft(struct mesh *m, uint64_t to, GBytes *message);

/* Sends a frame whose first byte is its type. */
void mesh_send(struct mesh_link *l, GBytes *frame);

/* What the process at the other end said last. */
const struct mesh_hello *mesh_peer(const struct mesh_link *l);
/* Says whether we dialled the link. */
bool mesh_dialled(const struct mesh_link *l);

/* Calls fn for each usable link that we dialled (or that others did). */
void mesh_each(struct mesh *m, bool dialled,
    void (*fn)(void *arg, struct mesh_link *l), void *arg);

/* The dialled link to the process that leads in the highest term, or NULL. */
struct mesh_link *mesh_leader(struct mesh *m);

#endif
