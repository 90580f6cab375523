/*
 * Entries and workers: announcements, epochs, homes and states.
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
 * An entry's new process does not know which orders the old one has sent:
 * they are void once its workers have taken a new epoch.
 */
static void
renew_epochs(struct cell *c, uint32_t entry)
{
	for (guint i = 0; i < c->workers->len; i++) {
		struct worker *w = g_ptr_array_index(c->workers, i);

		if (w->pub.home != entry || w->pub.state == WORKER_LOST)
			continue;
		w->pub.epoch = ++c->last_epoch;
		c->watch.worker(c->watch_arg, w->pub.id);
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
	c->watch.entry(c->watch_arg, e->id, false);
	if (restarted)
		renew_epochs(c, e->id);
}

void
apply_entry_gone(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	uint32_t id = cmd->u.entry_gone;

	if (find_entry(c, id) == NULL)
		return;
	for (guint i = 0; i < c->workers->len; i++) {
		struct worker *w = g_ptr_array_index(c->workers, i);

		if (w->pub.home != id)
			continue;
		w->pub.home = 0;
		c->watch.worker(c->watch_arg, w->pub.id);
	}
	c->watch.entry(c->watch_arg, id, true);
	entry_free(g_ptr_array_index(c->entries, id - 1));
	g_ptr_array_index(c->entries, id - 1) = NULL;
}

/* Says whether two announcements are of the same place and size. */
static bool
same_data(const struct cell_worker *a, const struct cell_worker *b)
{
	return strcmp(a->address, b->address) == 0 &&
	    strcmp(a->rack, b->rack) == 0 &&
	    strcmp(a->data_center, b->data_center) == 0 &&
	    resources_equal(&a->capacity, &b->capacity) &&
	    a->slots == b->slots && a->connections == b->connections;
}

static void
take_data(struct worker *w, const struct cell_worker *in)
{
	set_string(&w->pub.address, in->address);
	set_string(&w->pub.rack, in->rack);
	set_string(&w->pub.data_center, in->data_center);
	w->pub.capacity = in->capacity;
	w->pub.slots = in->slots;
	w->pub.connections = in->connections;
	w->over = !resources_fit(&w->pub.used, &w->pub.capacity) ||
	    w->pub.running > w->pub.slots;
}

static void
add_new(struct cell *c, const struct cell_worker *in)
{
	struct worker *w = worker_new();

	w->pub.name = g_strdup(in->name);
	w->pub.incarnation = in->incarnation;
	w->pub.home = in->home;
	w->pub.epoch = ++c->last_epoch;
	take_data(w, in);
	add_worker(c, w);
	c->watch.worker(c->watch_arg, w->pub.id);
}

/* A known worker announces itself again. */
static void
announce_again(
    struct cell *c, struct worker *w, const struct cell_worker *in, bool fresh)
{
	bool restarted = w->pub.incarnation != in->incarnation;
	bool back = w->pub.state == WORKER_LOST;

	if (!restarted && !back && !fresh && w->pub.home == in->home &&
	    same_data(&w->pub, in))
		return;
	if (restarted || back) {
		w->pub.incarnation = in->incarnation;
		w->pub.state = WORKER_UP;
		end_all_lost(c, w);
	}
	if (restarted || back || fresh || w->pub.home != in->home)
		w->pub.epoch = ++c->last_epoch;
	w->pub.home = in->home;
	take_data(w, in);
	c->watch.worker(c->watch_arg, w->pub.id);
}

void
apply_worker(
    struct cell *c, const struct cell_cmd *cmd, struct cell_result *res)
{
	const struct cell_worker *in = &cmd->u.announce.worker;
	struct worker *w = g_hash_table_lookup(c->worker_names, in->name);

	if (in->home != 0 && find_entry(c, in->home) == NULL) {
		result_refuse(res, OUT_CONFLICT, "unknown-entry",
		    g_strdup("the home entry has left"));
		return;
	}
	if (w == NULL) {
		add_new(c, in);
		w = g_hash_table_lookup(c->worker_names, in->name);
	} else {
		announce_again(c, w, in, cmd->u.announce.fresh);
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
		    g_strdup("no worker of this id is known"));
		return;
	}
	res->worker = w->pub.id;
	if (epoch != 0 && epoch != w->pub.epoch) {
		result_refuse(res, OUT_CONFLICT, "old-epoch",
		    g_strdup("the worker has a newer session"));
		return;
	}
	if (w->pub.state == WORKER_LOST && state != WORKER_LOST) {
		result_refuse(res, OUT_CONFLICT, "worker-lost",
		    g_strdup("a lost worker must announce itself"));
		return;
	}
	if (w->pub.state == state && w->pub.set_aside == set_aside)
		return;
	w->pub.state = state;
	w->pub.set_aside = set_aside;
	if (state == WORKER_LOST)
		end_all_lost(c, w);
	c->watch.worker(c->watch_arg, w->pub.id);
}
