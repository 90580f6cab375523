/* Assigns a replica's identity: bootstraps a cell, or joins one. */
#include <string.h>

#include "replica_impl.h"

#define ELECTION_TICKS 10
#define HEARTBEAT_TICKS 2
#define APPEND_BYTES_MAX (256 * 1024) /* of entries in one message */
#define INFLIGHT_MAX 16 /* unanswered appends per replica */
#define CHUNK_BYTES (128 * 1024) /* snapshot bytes in one message */
/* Wait for all initial members; afterwards a majority is enough. */
#define BOOTSTRAP_WAIT_MS 1500

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

/* Stores and syncs the identity; must succeed before Raft starts. */
static bool
store_identity(struct replica *r, uint64_t replica_id, uint64_t cell_id)
{
	GError *err = NULL;

	r->identity.replica_id = replica_id;
	r->identity.cell_id = cell_id;
	g_strlcpy(r->identity.name, r->name, sizeof(r->identity.name));
	if (wal_set_identity(r->wal, &r->identity, &err))
		return true;
	log_error(
	    "replica", "can't store the replica identity: %s", err->message);
	g_clear_error(&err);
	r->failed = true;
	return false;
}

static struct raft_members
initial_members(const struct replica *r)
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
		.append_bytes_max = APPEND_BYTES_MAX,
		.inflight_max = INFLIGHT_MAX,
		.chunk_bytes = CHUNK_BYTES,
		.seed = random_id(),
		.hard_state = r->image.hard_state,
		.snapshot = r->image.snapshot,
		.entries = r->image.entries };

	/* Replicas that join later get the membership from the log. */
	if ((uint32_t)r->identity.replica_id == INITIAL_MEMBER_NONCE)
		conf.members = initial_members(r);
	if (r->image.snapshot == NULL)
		r->applied_members = conf.members;
	r->raft = raft_new(&conf);
	wal_start(r->wal, replica_wal_done, r);
	wal_image_clear(&r->image);
	replica_report_identity(r);
}

/* Summary of this replica and the connected ones. */
struct peer_survey {
	guint replicas; /* with this one */
	bool formed; /* one has the entry with the cell id in its log */
	uint64_t cell_id; /* 0: none knows one */
};

static void
survey_peer(void *arg, const struct peer_info *peer)
{
	struct peer_survey *survey = arg;

	survey->replicas++;
	survey->formed |= peer->formed;
	if (peer->cell_id != 0)
		survey->cell_id = peer->cell_id;
}

void
replica_bootstrap_or_join(struct replica *r)
{
	struct peer_survey survey = { .replicas = 1 };
	guint configured =
	    r->initial_members == NULL ? 0 : r->initial_members->len;
	bool timed_out = mono_ms() - r->opened_ms > BOOTSTRAP_WAIT_MS;

	if (r->failed)
		return;
	r->ops->each_peer(r->arg, survey_peer, &survey);
	if (survey.cell_id != 0) {
		/* never INITIAL_MEMBER_NONCE */
		uint32_t nonce = (uint32_t)random_id() | 2;

		if (!store_identity(
			r, replica_make_id(r->name, nonce), survey.cell_id))
			return;
		r->cell_id = survey.cell_id;
		log_info("replica", "joining an existing cell as a learner");
		replica_start_raft(r);
		return;
	}
	/* The peer's cell exists, but its id is known only once it has a
	 * leader. A new cell now would lose the entries committed there. */
	if (survey.formed) {
		if (!r->wait_logged)
			log_info("replica",
			    "waits for the cell of a connected replica to "
			    "elect a leader");
		r->wait_logged = true;
		return;
	}
	if (r->initial_members == NULL || survey.replicas <= configured / 2 ||
	    (survey.replicas < configured && !timed_out))
		return;
	if (!store_identity(
		r, replica_make_id(r->name, INITIAL_MEMBER_NONCE), 0))
		return;
	log_info("replica",
	    "bootstrapping a cell, %u of %u replicas are connected",
	    survey.replicas, configured);
	replica_start_raft(r);
}

bool
replica_bootstrap(struct replica *r)
{
	if (r->failed || r->identity.replica_id != 0 ||
	    !store_identity(
		r, replica_make_id(r->name, INITIAL_MEMBER_NONCE), 0))
		return false;
	log_info("replica", "bootstrapping a cell as its only member");
	replica_start_raft(r);
	raft_campaign(r->raft);
	replica_schedule_output(r);
	return true;
}
