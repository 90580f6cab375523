/* How a replica gets its identity: founding a cell, or joining one. */
#include <string.h>

#include "replica_impl.h"

#define ELECTION_TICKS 10
#define HEARTBEAT_TICKS 2
#define APPEND_MAX (256 * 1024) /* bytes of entries in one message */
#define INFLIGHT_MAX 16
#define CHUNK_BYTES (128 * 1024) /* of a snapshot in one message */
#define FORM_ALL_MS 1500 /* wait this long for all named replicas */

uint64_t
replica_id_of(const char *name, uint32_t nonce)
{
	return hash64(name, strlen(name)) << 32 | nonce;
}

bool
replica_same_name(uint64_t id, const char *name)
{
	return id >> 32 == replica_id_of(name, 0) >> 32;
}

/* Stores the identity, which is synced before the replica takes part. */
static bool
store_identity(struct replica *r, uint64_t node, uint64_t cell)
{
	GError *err = NULL;

	r->identity.node = node;
	r->identity.cell = cell;
	g_strlcpy(r->identity.name, r->name, sizeof(r->identity.name));
	if (wal_set_identity(r->wal, &r->identity, &err))
		return true;
	log_error("replica", "can't store the identity: %s", err->message);
	g_clear_error(&err);
	r->failed = true;
	return false;
}

static struct raft_members
founders(const struct replica *r)
{
	struct raft_members m = { 0 };

	if (r->founders == NULL)
		m.member[m.count++] =
		    (struct raft_member){ .id = r->identity.node };
	for (guint i = 0; r->founders != NULL && i < r->founders->len; i++)
		m.member[m.count++] = (struct raft_member){
			.id =
			    replica_id_of(r->founders->pdata[i], FOUNDER_NONCE)
		};
	return m;
}

void
replica_start_raft(struct replica *r)
{
	struct raft_conf conf = { .id = r->identity.node,
		.election_ticks = ELECTION_TICKS,
		.heartbeat_ticks = HEARTBEAT_TICKS,
		.append_bytes_max = APPEND_MAX,
		.inflight_max = INFLIGHT_MAX,
		.chunk_bytes = CHUNK_BYTES,
		.seed = random_id(),
		.hard_state = r->image.hard,
		.snapshot = r->image.snapshot,
		.entries = r->image.entries };

	/* Only a founder takes the named replicas for the membership. */
	if ((uint32_t)r->identity.node == FOUNDER_NONCE)
		conf.members = founders(r);
	if (r->image.snapshot == NULL)
		r->applied_members = conf.members;
	r->raft = raft_new(&conf);
	wal_start(r->wal, replica_wal_done, r);
	wal_image_clear(&r->image);
	replica_identify(r);
}

/* What the connected replicas say of themselves. */
struct census {
	guint seen;
	bool formed; /* one holds a cell's first record */
	uint64_t cell;
};

static void
count_peer(void *arg, const struct peer_info *peer)
{
	struct census *c = arg;

	c->seen++;
	c->formed |= peer->formed;
	if (peer->cell != 0)
		c->cell = peer->cell;
}

void
replica_found(struct replica *r)
{
	struct census c = { .seen = 1 };
	guint named = r->founders == NULL ? 0 : r->founders->len;
	bool waited = mono_ms() - r->opened_ms > FORM_ALL_MS;

	if (r->failed)
		return;
	r->ops->each_peer(r->arg, count_peer, &c);
	if (c.cell != 0) {
		uint32_t nonce = (uint32_t)random_id() | 2;

		if (!store_identity(r, replica_id_of(r->name, nonce), c.cell))
			return;
		r->cell_id = c.cell;
		log_info("replica", "joins an existing cell as a learner");
		replica_start_raft(r);
		return;
	}
	/* A replica of a cell will know the cell's id once it has a leader:
	 * to found another one now would lose what that cell has agreed. */
	if (c.formed) {
		if (!r->waits)
			log_info("replica",
			    "waits for the cell of a connected replica");
		r->waits = true;
		return;
	}
	if (r->founders == NULL || c.seen <= named / 2 ||
	    (c.seen < named && !waited))
		return;
	if (!store_identity(r, replica_id_of(r->name, FOUNDER_NONCE), 0))
		return;
	log_info(
	    "replica", "founds a cell with %u of %u replicas", c.seen, named);
	replica_start_raft(r);
}

bool
replica_found_alone(struct replica *r)
{
	if (r->failed || r->identity.node != 0 ||
	    !store_identity(r, replica_id_of(r->name, FOUNDER_NONCE), 0))
		return false;
	log_info("replica", "founds a cell");
	replica_start_raft(r);
	raft_campaign(r->raft);
	replica_schedule(r);
	return true;
}
