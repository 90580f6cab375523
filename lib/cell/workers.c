/*
 * Entries and workers: announcements, epochs, home entries and states.
 */
#include "internal.h"

static void
set_string(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

/*
 * Gives the workers of a restarted entry new epochs. The new process does not
 * know which orders the old one has sent; a new epoch makes them invalid.
 */
static void
renew_epochs(struct cell *c, uint32_t entry)
{
	for (guint i = 0; i < c->workers->len; i++) {
		struct worker *w = g_ptr_array_index(c->workers, i);

		if (w->pub.home != entry || w->pub.state == WORKER_LOST)
			continue;
		w->pub.epoch = ++c->last_epoch;
		c->watch.worker_changed(c->watch_arg, w->pub.id);
	}
}

void
apply_entry(struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const struct cell_entry *in = &cmd->u.entry;
	const struct cell_entry *known = cell_entry_named(c, in->name);
	bool restarted = known != NULL && known->incarnation != in->incarnation;
	struct cell_entry *e;

	if (known != NULL) {
		e = find_entry(c, known->id);
	} else {
		e = g_new0(struct cell_entry, 1);
		g_ptr_array_add(c->entries, e);
		e->id = c->entries->len;
	}
	set_string(&e->name, in->name);
	set_string(&e->address, in->address);
	set_string(&e->region, in->region);
	set_string(&e->data_center, in->data_center);
	e->incarnation = in->incarnation;
	c->watch.entry_changed(c->watch_arg, e->id, false);
	if (restarted)
		renew_epochs(c, e->id);
}

void
apply_entry_removed(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	uint32_t id = cmd->u.entry_removed;

	if (find_entry(c, id) == NULL)
		return;
	for (guint i = 0; i < c->workers->len; i++) {
		struct worker *w = g_ptr_array_index(c->workers, i);

		if (w->pub.home != id)
			continue;
		w->pub.home = 0;
		c->watch.worker_changed(c->watch_arg, w->pub.id);
	}
	c->watch.entry_changed(c->watch_arg, id, true);
	entry_free(g_ptr_array_index(c->entries, id - 1));
	g_ptr_array_index(c->entries, id - 1) = NULL;
}

/* Returns whether two announcements have the same location and capacity. */
static bool
same_announcement(const struct cell_worker *a, const struct cell_worker *b)
{
	return strcmp(a->address, b->address) == 0 &&
	    strcmp(a->rack, b->rack) == 0 &&
	    strcmp(a->data_center, b->data_center) == 0 &&
	    resources_equal(&a->capacity, &b->capacity) &&
	    a->slots == b->slots && a->connections == b->connections;
}

static void
set_announced(struct worker *w, const struct cell_worker *in)
{
	set_string(&w->pub.address, in->address);
	set_string(&w->pub.rack, in->rack);
	set_string(&w->pub.data_center, in->data_center);
	w->pub.capacity = in->capacity;
	w->pub.slots = in->slots;
	w->pub.connections = in->connections;
	w->over_capacity = !resources_fit(&w->pub.used, &w->pub.capacity) ||
	    w->pub.running > w->pub.slots;
}

static bool
is_earlier(const struct worker *w, uint64_t incarnation)
{
	for (guint i = 0; i < w->earlier->len; i++)
		if (g_array_index(w->earlier, uint64_t, i) == incarnation)
			return true;
	return false;
}

static void
set_incarnation(struct worker *w, uint64_t incarnation)
{
	if (w->pub.incarnation == incarnation)
		return;
	if (w->earlier->len == EARLIER_INCARNATIONS_MAX)
		g_array_remove_index(w->earlier, 0);
	g_array_append_val(w->earlier, w->pub.incarnation);
	w->pub.incarnation = incarnation;
}

static void
announce_new(struct cell *c, const struct cell_worker *in)
{
	struct worker *w = worker_new();

	w->pub.name = g_strdup(in->name);
	w->pub.incarnation = in->incarnation;
	w->pub.home = in->home;
	w->pub.epoch = ++c->last_epoch;
	set_announced(w, in);
	add_worker(c, w);
	c->watch.worker_changed(c->watch_arg, w->pub.id);
}

static void
announce_known(struct cell *c, struct worker *w, const struct cell_worker *in,
    bool new_epoch)
{
	bool restarted = w->pub.incarnation != in->incarnation;
	bool was_lost = w->pub.state == WORKER_LOST;

	if (!restarted && !was_lost && !new_epoch && w->pub.home == in->home &&
	    same_announcement(&w->pub, in))
		return;
	/* A draining worker takes along what it runs when it leaves. */
	if (restarted && w->pub.state != WORKER_DRAINING)
		count_crash(c, w);
	if (restarted || was_lost) {
		g_array_set_size(w->lost, 0);
		set_incarnation(w, in->incarnation);
		w->pub.state = WORKER_UP;
		end_lost_attempts(c, w);
	}
	if (restarted || was_lost || new_epoch || w->pub.home != in->home)
		w->pub.epoch = ++c->last_epoch;
	w->pub.home = in->home;
	set_announced(w, in);
	c->watch.worker_changed(c->watch_arg, w->pub.id);
}

void
apply_worker(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const struct cell_worker *in = &cmd->u.announce.worker;
	struct worker *w = g_hash_table_lookup(c->worker_names, in->name);

	if (in->home != 0 && find_entry(c, in->home) == NULL) {
		result_refuse(res, OUT_CONFLICT, "unknown-entry",
		    g_strdup("the home entry was removed or is unknown"));
		return;
	}
	/* The network may deliver it after that of the running process. */
	if (w != NULL && is_earlier(w, in->incarnation)) {
		result_refuse(res, OUT_CONFLICT, "earlier-incarnation",
		    g_strdup("a newer process of this worker has announced "
			     "itself"));
		return;
	}
	if (w == NULL) {
		announce_new(c, in);
		w = g_hash_table_lookup(c->worker_names, in->name);
	} else {
		announce_known(c, w, in, cmd->u.announce.new_epoch);
	}
	res->worker = w->pub.id;
}

void
apply_worker_state(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	struct worker *w = find_worker(c, cmd->u.worker_state.worker);
	uint64_t epoch = cmd->u.worker_state.epoch;
	enum cell_worker_state state = cmd->u.worker_state.state;
	bool set_aside = cmd->u.worker_state.set_aside;

	if (w == NULL) {
		result_refuse(res, OUT_INVALID, "unknown-worker",
		    g_strdup("no worker has this id"));
		return;
	}
	res->worker = w->pub.id;
	if (epoch != 0 && epoch != w->pub.epoch) {
		result_refuse(res, OUT_CONFLICT, "old-epoch",
		    g_strdup("the epoch is not the worker's current one"));
		return;
	}
	if (w->pub.state == WORKER_LOST && state != WORKER_LOST) {
		result_refuse(res, OUT_CONFLICT, "worker-lost",
		    g_strdup("a lost worker must announce itself first"));
		return;
	}
	if (w->pub.state == state && w->pub.set_aside == set_aside)
		return;
	w->pub.state = state;
	w->pub.set_aside = set_aside;
	if (state == WORKER_LOST) {
		g_array_append_vals(
		    w->lost, w->attempts->data, w->attempts->len);
		end_lost_attempts(c, w);
	}
	c->watch.worker_changed(c->watch_arg, w->pub.id);
}
