/*
 * Connections between the processes of a cell when the settings do not list
 * its members. Every process listens, dials the seed addresses and all
 * replicas that it learns of, and sends a hello on each link with its identity
 * and the replicas that it knows. The user of the mesh, its owner, may send its
 * own frames in both directions on every link.
 */
#ifndef MESH_H
#define MESH_H

#include "wire.h"

#define MESH_PING_MS 400 /* a ping is sent after this time without a frame */
#define MESH_IDLE_MS 1600 /* no frame for 4 pings: the link is closed */
#define MESH_FRAME_FIRST 16 /* the lowest frame type that the owner may use */

struct mesh;

/* The identity and state that a process sends to its peers. */
struct mesh_hello {
	uint64_t version; /* of the mesh protocol */
	char *name;
	char *address; /* where it listens for other processes */
	bool replica;
	uint64_t replica_id; /* 0: none yet */
	uint64_t cell_id; /* 0: not known yet */
	bool formed; /* its log belongs to a cell that was bootstrapped */
	uint64_t leading_term; /* the term in which it leads; 0: none */
	char *replicas; /* comma-separated addresses of known replicas */
};

/* One link; valid until link_changed(up = false) returns. */
struct mesh_link;

/* Callbacks of the owner. */
struct mesh_ops {
	/* A Raft message came from the replica with the id "from". */
	void (*raft_message)(
	    void *arg, uint64_t from, const void *data, size_t len);
	/* A frame of the owner came; it may be answered on the same link. */
	void (*frame)(void *arg, struct mesh_link *l, int type,
	    const void *data, size_t len);
	/* A hello came: the link is usable, or the peer's state has changed;
	 * if up is false, the link is down. */
	void (*link_changed)(void *arg, struct mesh_link *l, bool up);
};

struct mesh_conf {
	struct event_base *base;
	const char *name;
	const char *address; /* IP:PORT that the other processes dial */
	const char *listen_address; /* to bind instead; NULL: the same */
	bool replica;
};

/* Fails if it can't listen on the address. Copies the strings in conf. */
struct mesh *mesh_new(const struct mesh_conf *conf, const struct mesh_ops *ops,
    void *arg, GError **err);
void mesh_free(struct mesh *m);

/* Replaces the seed addresses (char *). */
void mesh_set_seeds(struct mesh *m, GPtrArray *addresses);

/* Sets the identity in the hello and sends that on all links. formed: the log
 * belongs to a cell that was bootstrapped. */
void mesh_set_identity(
    struct mesh *m, uint64_t replica_id, uint64_t cell_id, bool formed);
/* Sets the term in which this process leads, 0 if it does not; sends it. */
void mesh_set_leading_term(struct mesh *m, uint64_t term);
uint64_t mesh_leading_term(const struct mesh *m);

/* Sends a Raft message; drops it if the replica is not connected. */
void mesh_send_raft(struct mesh *m, uint64_t to, GBytes *message);

/* Sends a frame whose first byte is its type. */
void mesh_send(struct mesh_link *l, GBytes *frame);

/* The last hello of the process at the other end. */
const struct mesh_hello *mesh_peer(const struct mesh_link *l);
/* True if this process dialled the link, false if it accepted it. */
bool mesh_dialled(const struct mesh_link *l);

/*
 * Calls fn for each usable link of one kind: those that this process dialled,
 * or those that it accepted.
 */
void mesh_each_link(struct mesh *m, bool dialled,
    void (*fn)(void *arg, struct mesh_link *l), void *arg);

/*
 * The dialled link to the process that leads in the highest term, or NULL if
 * none leads. Never this process.
 */
struct mesh_link *mesh_leader(struct mesh *m);

#endif
