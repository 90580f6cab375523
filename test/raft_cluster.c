#include <string.h>

#include "raft_cluster.h"

/* Bytes; large enough for snapshots of several chunks. */
#define SNAPSHOT_PADDING_MAX 150

/* What an entry with this index and term must contain on every replica. */
struct content {
	uint64_t index;
	uint64_t term;
	uint64_t prev_term;
	uint64_t hash;
};

/* The leader of a term. */
struct term_leader {
	uint64_t term;
	uint64_t id;
	uint64_t incarnation;
};

static void
print_node(const struct node *n)
{
	GString *text = g_string_new(NULL);
	const struct raft_members *m;
	int i;

	if (n->r == NULL) {
		g_string_append(text, "down");
	} else {
		g_string_append_printf(text,
		    "role %d term %" G_GUINT64_FORMAT " vote %" G_GUINT64_FORMAT
		    " leader %" G_GUINT64_FORMAT " log %" G_GUINT64_FORMAT
		    "..%" G_GUINT64_FORMAT " commit %" G_GUINT64_FORMAT
		    " members",
		    raft_role(n->r), raft_term(n->r), n->r->vote,
		    raft_leader(n->r), raft_first_index(n->r),
		    raft_last_index(n->r), raft_commit_index(n->r));
		m = raft_members(n->r);
		for (i = 0; i < m->count; i++)
			g_string_append_printf(text, " %" G_GUINT64_FORMAT "%s",
			    m->member[i].id, m->member[i].learner ? "l" : "");
	}
	g_printerr("replica %" G_GUINT64_FORMAT ": %s\n", n->id, text->str);
	g_string_free(text, TRUE);
}

void
cluster_fail(const struct cluster *c, const char *what)
{
	int i;

	for (i = 0; i < NODES; i++)
		print_node(&c->node[i]);
	g_error("%s; replay: RAFT_SEED=%" G_GUINT64_FORMAT
		" RAFT_SCHEDULES=1 (step %" G_GUINT64_FORMAT ")",
	    what, c->seed, c->step);
}

static void
check(const struct cluster *c, bool holds, const char *what)
{
	if (!holds)
		cluster_fail(c, what);
}

static guint
content_hash(gconstpointer p)
{
	const struct content *k = p;

	return (guint)(k->index * 31 + k->term);
}

static gboolean
content_equal(gconstpointer a, gconstpointer b)
{
	const struct content *x = a, *y = b;

	return x->index == y->index && x->term == y->term;
}

static uint64_t
entry_hash(const struct raft_entry *e)
{
	return hash64(
		   g_bytes_get_data(e->data, NULL), g_bytes_get_size(e->data)) +
	    e->type;
}

static uint64_t
applied_hash_next(uint64_t hash, const struct raft_entry *e)
{
	uint64_t parts[] = { hash, e->index, e->term, entry_hash(e) };

	return hash64(parts, sizeof(parts));
}

/*
 * Log matching property: entries with the same index and term have the same
 * content and the same predecessor. Only entries that were sent or synced are
 * checked: a sole voter that crashes before may win the same term again and
 * append other entries.
 */
static void
check_entry(struct cluster *c, const struct raft_entry *e, uint64_t prev_term)
{
	struct content k = { e->index, e->term, prev_term, entry_hash(e) };
	const struct content *old = g_hash_table_lookup(c->entries, &k);

	if (old == NULL) {
		g_hash_table_add(c->entries, g_memdup2(&k, sizeof(k)));
		return;
	}
	check(c, old->hash == k.hash, "log matching: contents differ");
	check(c, old->prev_term == prev_term,
	    "log matching: predecessors differ");
}

static void
check_message(struct cluster *c, const struct raft_msg *m)
{
	uint64_t prev_term = m->log_term;
	const struct raft_entry *e;
	guint i;

	for (i = 0; m->entries != NULL && i < m->entries->len; i++) {
		e = m->entries->pdata[i];
		check_entry(c, e, prev_term);
		prev_term = e->term;
	}
}

static struct committed_entry *
committed_at(const struct cluster *c, uint64_t index)
{
	return &g_array_index(c->committed, struct committed_entry, index - 1);
}

bool
cluster_committed(const struct cluster *c, uint64_t index, uint64_t term)
{
	return index <= c->committed->len &&
	    committed_at(c, index)->term == term;
}

/* Applies an entry, which must be the same on every replica. */
static void
apply(struct cluster *c, struct node *n, const struct raft_entry *e)
{
	struct committed_entry entry;

	check(c, e->index == n->applied + 1, "applied out of order");
	n->applied = e->index;
	n->applied_hash = applied_hash_next(n->applied_hash, e);
	entry = (struct committed_entry){ e->term, n->applied_hash,
		raft_term(n->r) };
	if (e->index == c->committed->len + 1) {
		g_array_append_val(c->committed, entry);
		c->membership_changes += e->type == RAFT_MEMBERS;
		return;
	}
	check(c, e->index <= c->committed->len, "applied an entry after a gap");
	check(c,
	    committed_at(c, e->index)->term == e->term &&
		committed_at(c, e->index)->applied_hash == n->applied_hash,
	    "a committed entry changed");
}

/* Leader completeness property, checked when a leader is first seen. */
static void
check_leader_log(struct cluster *c, struct node *n)
{
	uint64_t i, term;

	for (i = 1; i <= c->committed->len; i++) {
		if (committed_at(c, i)->commit_term >= raft_term(n->r))
			continue;
		check(c, i <= raft_last_index(n->r),
		    "leader completeness: log too short");
		if (log_term(&n->r->log, i, &term))
			check(c, term == committed_at(c, i)->term,
			    "leader completeness: entry has another term");
	}
}

static void
check_leader(struct cluster *c, struct node *n)
{
	struct term_leader *leader;
	const struct term_leader *old;
	uint64_t term = raft_term(n->r);

	/* A sole voter leads before its vote is synced, but sends nothing. */
	if (raft_role(n->r) != RAFT_LEADER || n->disk.hard_state.term < term)
		return;
	old = g_hash_table_lookup(c->leaders, &term);
	if (old != NULL) {
		check(c, old->id == n->id && old->incarnation == n->incarnation,
		    "two leaders in a term");
		return;
	}
	leader = g_new(struct term_leader, 1);
	*leader = (struct term_leader){ term, n->id, n->incarnation };
	g_hash_table_insert(c->leaders, &leader->term, leader);
	check_leader_log(c, n);
}

static void
check_hard_state(
    struct cluster *c, struct node *n, const struct raft_hard_state *hard_state)
{
	check(c, hard_state->term >= n->hard_state.term, "the term decreased");
	check(c,
	    hard_state->term > n->hard_state.term ||
		n->hard_state.vote == RAFT_NONE ||
		n->hard_state.vote == hard_state->vote,
	    "two votes in a term");
	n->hard_state = *hard_state;
}

static void
check_reads(struct cluster *c, const struct raft_output *out)
{
	uint64_t context;
	guint i;

	for (i = 0; i < out->reads_confirmed->len; i++) {
		context = g_array_index(out->reads_confirmed, uint64_t, i);
		check(c,
		    out->read_index >=
			g_array_index(c->read_index_min, uint64_t, context - 1),
		    "a stale read was confirmed");
		c->reads++;
	}
}

static struct raft_snapshot *
snapshot_make(const struct node *n)
{
	struct raft_snapshot *s = g_new0(struct raft_snapshot, 1);
	uint8_t data[2 * sizeof(uint64_t) + SNAPSHOT_PADDING_MAX] = { 0 };

	s->index = n->applied;
	memcpy(data, &n->applied, sizeof(uint64_t));
	memcpy(data + sizeof(uint64_t), &n->applied_hash, sizeof(uint64_t));
	s->data = g_bytes_new(data,
	    2 * sizeof(uint64_t) + n->applied_hash % SNAPSHOT_PADDING_MAX);
	return s;
}

static void
snapshot_restore(
    struct cluster *c, struct node *n, const struct raft_snapshot *s)
{
	const uint8_t *data = g_bytes_get_data(s->data, NULL);

	memcpy(&n->applied, data, sizeof(uint64_t));
	memcpy(&n->applied_hash, data + sizeof(uint64_t), sizeof(uint64_t));
	check(c, n->applied == s->index, "snapshot of another index");
	check(c, s->index <= c->committed->len,
	    "snapshot of an entry that was not committed");
	check(c,
	    committed_at(c, s->index)->applied_hash == n->applied_hash &&
		committed_at(c, s->index)->term == s->term,
	    "snapshot differs from what was committed");
}

static void
send_all(struct cluster *c, const GPtrArray *messages)
{
	guint i;

	for (i = 0; i < messages->len; i++) {
		check_message(c, messages->pdata[i]);
		g_queue_push_tail(
		    &c->network, raft_msg_encode(messages->pdata[i]));
	}
}

static struct batch *
batch_new(struct raft_output out, bool compaction)
{
	struct batch *b = g_new0(struct batch, 1);

	b->out = out;
	b->compaction = compaction;
	return b;
}

static void
batch_free(struct batch *b)
{
	raft_output_clear(&b->out);
	g_free(b);
}

void
node_take_output(struct cluster *c, struct node *n)
{
	struct raft_output out;
	guint i;

	raft_take_output(n->r, &out);
	check_leader(c, n);
	check_hard_state(c, n, &out.hard_state);
	if (out.snapshot != NULL) {
		snapshot_restore(c, n, out.snapshot);
		c->snapshots_installed++;
	}
	for (i = 0; i < out.committed->len; i++)
		apply(c, n, out.committed->pdata[i]);
	check_reads(c, &out);
	send_all(c, out.messages);
	if (raft_output_empty(&out))
		raft_output_clear(&out);
	else
		g_queue_push_tail(&n->unsynced, batch_new(out, false));
}

static struct raft_entry *
disk_at(const struct disk *d, uint64_t index)
{
	uint64_t base = d->snapshot == NULL ? 0 : d->snapshot->index;

	if (index <= base || index > base + d->entries->len)
		return NULL;
	return d->entries->pdata[index - base - 1];
}

static void
disk_put_snapshot(struct disk *d, const struct raft_snapshot *s)
{
	uint64_t base = d->snapshot == NULL ? 0 : d->snapshot->index;
	const struct raft_entry *e = disk_at(d, s->index);

	if (e != NULL && e->term == s->term)
		g_ptr_array_remove_range(
		    d->entries, 0, (guint)(s->index - base));
	else
		g_ptr_array_set_size(d->entries, 0);
	raft_snapshot_free(d->snapshot);
	d->snapshot = snapshot_copy(s);
}

static void
disk_put_entry(struct cluster *c, struct disk *d, struct raft_entry *e)
{
	uint64_t base = d->snapshot == NULL ? 0 : d->snapshot->index;
	const struct raft_entry *prev;
	uint64_t prev_term = d->snapshot == NULL ? 0 : d->snapshot->term;

	check(c, e->index > base && e->index <= base + d->entries->len + 1,
	    "a gap in the stored log");
	prev = disk_at(d, e->index - 1);
	if (prev != NULL)
		prev_term = prev->term;
	check_entry(c, e, prev_term);
	g_ptr_array_set_size(d->entries, (gint)(e->index - base - 1));
	g_ptr_array_add(d->entries, raft_entry_ref(e));
}

/* Stores a batch with at most its first count entries. */
static void
disk_put(struct cluster *c, struct node *n, const struct batch *b, guint count)
{
	const struct raft_output *out = &b->out;
	guint i;

	if (out->snapshot != NULL)
		disk_put_snapshot(&n->disk, out->snapshot);
	if (out->hard_state_changed)
		n->disk.hard_state = out->hard_state;
	for (i = 0; out->entries != NULL && i < MIN(count, out->entries->len);
	     i++)
		disk_put_entry(c, &n->disk, out->entries->pdata[i]);
}

bool
node_sync(struct cluster *c, struct node *n)
{
	struct batch *b = g_queue_pop_head(&n->unsynced);
	const struct raft_entry *e;

	if (b == NULL)
		return false;
	disk_put(c, n, b, G_MAXUINT);
	if (!b->compaction) {
		if (b->out.entries->len > 0) {
			e = b->out.entries->pdata[b->out.entries->len - 1];
			raft_stored(n->r, e->index, e->term);
		} else if (b->out.snapshot != NULL)
			raft_stored(n->r, b->out.snapshot->index,
			    b->out.snapshot->term);
		send_all(c, b->out.messages_after_sync);
	}
	check_leader(c, n);
	batch_free(b);
	return true;
}

void
node_crash(struct cluster *c, struct node *n)
{
	guint complete = (guint)rng_below(&c->rng, n->unsynced.length + 1);
	struct batch *b;

	/* Any prefix of the unsynced writes may be on disk. */
	while ((b = g_queue_pop_head(&n->unsynced)) != NULL) {
		if (complete > 0)
			disk_put(c, n, b, G_MAXUINT);
		else if (rng_below(&c->rng, 2) == 0)
			disk_put(c, n, b, (guint)rng_below(&c->rng, 3));
		batch_free(b);
		if (complete-- == 0)
			break;
	}
	while ((b = g_queue_pop_head(&n->unsynced)) != NULL)
		batch_free(b);
	raft_free(n->r);
	n->r = NULL;
	n->paused = false;
}

void
node_start(struct cluster *c, struct node *n)
{
	struct raft_conf conf = {
		.id = n->id,
		.election_ticks = 6,
		.heartbeat_ticks = 2,
		.append_bytes_max = 100,
		.inflight_max = 4,
		.chunk_bytes = 40,
		.seed = rng_next(&c->rng),
		.hard_state = n->disk.hard_state,
		.snapshot = n->disk.snapshot,
		.entries = n->disk.entries,
	};

	if (n->initial_member)
		conf.members = c->initial_members;
	n->incarnation++;
	n->hard_state = n->disk.hard_state;
	n->applied = n->applied_hash = 0;
	if (n->disk.snapshot != NULL)
		snapshot_restore(c, n, n->disk.snapshot);
	n->r = raft_new(&conf);
}

static void
disk_clear(struct disk *d)
{
	raft_snapshot_free(d->snapshot);
	d->snapshot = NULL;
	d->hard_state = (struct raft_hard_state){ 0 };
	if (d->entries != NULL)
		g_ptr_array_unref(d->entries);
	d->entries = NULL;
}

static void
node_init(struct cluster *c, struct node *n, bool initial_member)
{
	n->id = c->next_id++;
	n->initial_member = initial_member;
	n->disk.entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	if (initial_member)
		c->initial_members.member[c->initial_members.count++].id =
		    n->id;
}

void
node_lose_disk(struct cluster *c, struct node *n)
{
	if (n->r != NULL)
		node_crash(c, n);
	disk_clear(&n->disk);
	node_init(c, n, false);
	node_start(c, n);
	c->disks_lost++;
}

void
node_compact(struct cluster *c, struct node *n, uint64_t trailing)
{
	struct raft_output out = { 0 };

	if (n->r->snapshot != NULL &&
	    n->applied <= n->r->snapshot->snapshot.index)
		return;
	if (n->applied == 0)
		return;
	out.snapshot = snapshot_make(n);
	raft_compact(n->r, out.snapshot, trailing);
	out.snapshot->term = n->r->snapshot->snapshot.term;
	raft_members_at(n->r, n->applied, &out.snapshot->members);
	g_queue_push_tail(&n->unsynced, batch_new(out, true));
}

struct node *
cluster_node(struct cluster *c, uint64_t id)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (c->node[i].id == id)
			return &c->node[i];
	return NULL;
}

struct node *
cluster_leader(struct cluster *c)
{
	struct node *n, *best = NULL;

	for (n = c->node; n < c->node + NODES; n++)
		if (n->r != NULL && raft_role(n->r) == RAFT_LEADER &&
		    (best == NULL || raft_term(n->r) > raft_term(best->r)))
			best = n;
	return best;
}

/*
 * Returns whether the message was delivered. If not, it is lost unless the
 * receiver is paused, which sets waits.
 */
static bool
deliver_one(struct cluster *c, GBytes *bytes, bool *waits)
{
	GError *err = NULL;
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	struct raft_msg *m = raft_msg_decode(data, size, &err);
	struct node *from, *to;
	bool done = false;

	g_assert_no_error(err);
	from = cluster_node(c, m->from);
	to = cluster_node(c, m->to);
	*waits = to != NULL && to->paused;
	if (!*waits && from != NULL && to != NULL && to->r != NULL &&
	    !c->blocked[from - c->node][to - c->node]) {
		raft_step(to->r, m);
		check_leader(c, to);
		if (rng_below(&c->rng, 4) > 0)
			node_take_output(c, to);
		done = true;
	}
	raft_msg_free(m);
	return done;
}

bool
cluster_deliver(struct cluster *c, guint first, bool duplicate)
{
	GList *l = g_queue_peek_nth_link(&c->network, first);
	GList *next;
	GBytes *bytes;
	bool waits, done = false;

	for (; l != NULL && !done; l = next) {
		next = l->next;
		bytes = g_bytes_ref(l->data);
		done = deliver_one(c, bytes, &waits);
		if (!waits && !(done && duplicate)) {
			g_bytes_unref(l->data);
			g_queue_delete_link(&c->network, l);
		}
		g_bytes_unref(bytes);
	}
	return done;
}

/* Returns the highest commit index of any replica. */
static uint64_t
known_commit(const struct cluster *c)
{
	uint64_t commit = c->committed->len;
	int i;

	for (i = 0; i < NODES; i++)
		if (c->node[i].r != NULL)
			commit = MAX(commit, raft_commit_index(c->node[i].r));
	return commit;
}

bool
cluster_read(struct cluster *c, struct node *n)
{
	uint64_t commit = known_commit(c);

	g_array_append_val(c->read_index_min, commit);
	return raft_read_index(n->r, c->read_index_min->len);
}

uint64_t
cluster_propose(struct cluster *c, struct node *n)
{
	uint64_t value = ++c->next_value;
	GBytes *data = g_bytes_new(&value, sizeof(value));
	uint64_t index = raft_propose(n->r, data);

	g_bytes_unref(data);
	return index;
}

void
cluster_quiesce(struct cluster *c)
{
	struct node *n;
	bool progress = true;

	while (progress) {
		progress = cluster_deliver(c, 0, false);
		for (n = c->node; n < c->node + NODES; n++) {
			if (n->r == NULL || n->paused)
				continue;
			node_take_output(c, n);
			while (node_sync(c, n)) {
				progress = true;
				node_take_output(c, n);
			}
		}
	}
}

void
cluster_ticks(struct cluster *c, int ticks)
{
	struct node *n;

	while (ticks-- > 0) {
		for (n = c->node; n < c->node + NODES; n++)
			if (n->r != NULL && !n->paused)
				raft_tick(n->r);
		cluster_quiesce(c);
	}
}

void
cluster_elect(struct cluster *c, struct node *n)
{
	raft_campaign(n->r);
	cluster_quiesce(c);
	cluster_ticks(c, 2);
	if (raft_role(n->r) != RAFT_LEADER || !raft_own_term_committed(n->r))
		cluster_fail(c, "the chosen node was not elected");
}

struct cluster *
cluster_new(uint64_t seed, int initial_members)
{
	struct cluster *c = g_new0(struct cluster, 1);
	int i;

	c->seed = c->rng.state = seed;
	c->next_id = 1;
	c->committed =
	    g_array_new(FALSE, FALSE, sizeof(struct committed_entry));
	c->proposed_members =
	    g_array_new(FALSE, FALSE, sizeof(struct membership_proposal));
	c->read_index_min = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->entries =
	    g_hash_table_new_full(content_hash, content_equal, g_free, NULL);
	c->leaders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&c->network);
	for (i = 0; i < NODES; i++)
		node_init(c, &c->node[i], i < initial_members);
	for (i = 0; i < NODES; i++)
		node_start(c, &c->node[i]);
	return c;
}

void
cluster_free(struct cluster *c)
{
	GBytes *bytes;
	int i;

	for (i = 0; i < NODES; i++) {
		if (c->node[i].r != NULL)
			node_crash(c, &c->node[i]);
		disk_clear(&c->node[i].disk);
	}
	while ((bytes = g_queue_pop_head(&c->network)) != NULL)
		g_bytes_unref(bytes);
	g_array_unref(c->committed);
	g_array_unref(c->read_index_min);
	g_array_unref(c->proposed_members);
	g_hash_table_unref(c->entries);
	g_hash_table_unref(c->leaders);
	g_free(c);
}
