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
replica_make_id(const char *name, uint32_t nonce)
{
	return hash64(name, strlen(name)) << 32 | nonce;
}

bool
replica_id_has_name(uint64_t id, const char *name)
{
	return id >> 32 == replica_make_id(name, 0) >> 32;
}

/* Stores the identity, which is synced before the replica takes part. */
static bool
store_identity(struct replica *r, uint64_t node, uint64_t cell)
{
	GError *err = NULL;

	r->identity.replica_id = node;
	r->identity.cell_id = cell;
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

	if (r->initial_members == NULL)
		m.member[m.count++] =
		    (struct raft_member){ .id = r->identity.replica_id };
	for (guint i = 0;
	     r->initial_members != NULL && i < r->initial_members->len; i++)
		m.member[m.count++] = (struct raft_member){
			.id = replica_make_id(
			    r->initial_members->pdata[i], INITIAL_MEMBER_NONCE)
		};
	return m;
}

void
replica_start_raft(struct replica *r)
{
	struct raft_conf conf = { .id = r->identity.replica_id,
		.election_ticks = ELECTION_TICKS,
		.heartbeat_ticks = HEARTBEAT_TICKS,
		.append_max = APPEND_MAX,
		.inflight_max = INFLIGHT_MAX,
		.chunk_bytes = CHUNK_BYTES,
		.seed = random_id(),
		.hard = r->image.hard_state,
		.snapshot = r->image.snapshot,
		.entries = r->image.entries };

	/* Only a founder takes the named replicas for the membership. */
	if ((uint32_t)r->identity.replica_id == INITIAL_MEMBER_NONCE)
		conf.members = founders(r);
	if (r->image.snapshot == NULL)
		r->applied_members = conf.members;
	r->raft = raft_new(&conf);
	wal_start(r->wal, replica_wal_done, r);
	wal_image_clear(&r->image);
	replica_report_identity(r);
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
	if (peer->cell_id != 0)
		c->cell = peer->cell_id;
}

void
replica_bootstrap_or_join(struct replica *r)
{
	struct census c = { .seen = 1 };
	guint named = r->initial_members == NULL ? 0 : r->initial_members->len;
	bool waited = mono_ms() - r->opened_ms > FORM_ALL_MS;

	if (r->failed)
		return;
	r->ops->each_peer(r->arg, count_peer, &c);
	if (c.cell != 0) {
		uint32_t nonce = (uint32_t)random_id() | 2;

		if (!store_identity(r, replica_make_id(r->name, nonce), c.cell))
			return;
		r->cell_id = c.cell;
		log_info("replica", "joins an existing cell as a learner");
		replica_start_raft(r);
		return;
	}
	/* A replica of a cell will know the cell's id once it has a leader:
	 * to found another one now would lose what that cell has agreed. */
	if (c.formed) {
		if (!r->wait_logged)
			log_info("replica",
			    "waits for the cell of a connected replica");
		r->wait_logged = true;
		return;
	}
	if (r->initial_members == NULL || c.seen <= named / 2 ||
	    (c.seen < named && !waited))
		return;
	if (!store_identity(
		r, replica_make_id(r->name, INITIAL_MEMBER_NONCE), 0))
		return;
	log_info(
	    "replica", "founds a cell with %u of %u replicas", c.seen, named);
	replica_start_raft(r);
}

bool
replica_bootstrap(struct replica *r)
{
	if (r->failed || r->identity.replica_id != 0 ||
	    !store_identity(
		r, replica_make_id(r->name, INITIAL_MEMBER_NONCE), 0))
		return false;
	log_info("replica", "founds a cell");
	replica_start_raft(r);
	raft_campaign(r->raft);
	replica_schedule_output(r);
	return true;
}
