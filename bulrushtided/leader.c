/* Start and end of leadership, proposals, callbacks and periodic work. */
#include <string.h>

#include "leader_impl.h"

#define LEARN_KINDS_MAX 4096 /* job kinds with learnt sizes and run times */

int64_t
leader_now(const struct leader *l)
{
	int64_t now = mono_ms() + l->clock_offset_ms;
	int64_t last = cell_time_ms(l->cell);

	return now > last ? now : last;
}

/* Says whether replicas can apply an encoded command: one that they can't read
 * would end all of them, at each start again. */
static bool
is_readable(GBytes *bytes)
{
	struct cell_cmd copy;
	GError *err = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	if (cell_cmd_decode(data, len, &copy, &err)) {
		cell_cmd_clear(&copy);
		return true;
	}
	log_error("leader", "withheld a command: %s", err->message);
	g_error_free(err);
	return false;
}

uint64_t
leader_propose(struct leader *l, struct cell_cmd *cmd)
{
	GBytes *bytes;
	uint64_t index = 0;

	if (!l->active)
		return 0;
	cmd->at_ms = leader_now(l);
	bytes = cell_cmd_encode(cmd);
	if (is_readable(bytes))
		index = replica_propose(l->node->replica, bytes);
	g_bytes_unref(bytes);
	return index;
}

struct waiter *
leader_propose_wait(struct leader *l, struct cell_cmd *cmd,
    void (*fn)(struct leader *, struct waiter *, const struct cell_result *))
{
	uint64_t index = leader_propose(l, cmd);
	struct waiter *w;

	if (index == 0)
		return NULL;
	w = g_new0(struct waiter, 1);
	w->index = index;
	w->fn = fn;
	g_hash_table_insert(l->waiters, &w->index, w);
	return w;
}

struct config *
leader_config(const struct leader *l)
{
	return cell_config(l->cell);
}

uint32_t
leader_intern_name(GHashTable *names, const char *name)
{
	const char *key = name == NULL ? "" : name;
	gpointer found = g_hash_table_lookup(names, key);
	uint32_t handle;

	if (found != NULL)
		return GPOINTER_TO_UINT(found);
	handle = g_hash_table_size(names) + 1;
	g_hash_table_insert(names, g_strdup(key), GUINT_TO_POINTER(handle));
	return handle;
}

static void
on_config_changed(void *arg)
{
	struct leader *l = arg;
	struct config *c = leader_config(l);

	sched_set_policy(l->sched,
	    c->policy.favour == FAVOUR_PACKING ? &sched_policy_packing
					       : &sched_policy_waiting);
	for (guint i = 0; i < c->teams->len; i++) {
		const struct config_team *t = c->teams->pdata[i];

		sched_team_set(l->sched,
		    leader_intern_name(l->team_handles, t->name), t->weight,
		    &t->quota);
	}
	l->dirty = true;
	clients_push_config(l);
}

static void
on_job_ended(void *arg, const struct cell_job *job)
{
	struct leader *l = arg;

	g_hash_table_remove(l->deadlines, &job->id);
	g_hash_table_remove(l->traces, &job->id);
	sched_job_remove(l->sched, job->id);
	orders_job_ended(l, job->id);
	requests_job_ended(l, job->id);
}

static void
on_withdrawn(void *arg, const struct cell_job *job)
{
	struct leader *l = arg;

	sched_job_remove(l->sched, job->id);
}

static bool
load_entry(void *arg, const struct cell_entry *e)
{
	workers_entry_changed(arg, e->id, false);
	return true;
}

static GHashTable *
handle_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
start_leading(struct leader *l)
{
	static struct cell_watch watch;

	log_info("leader", "became leader in term %" G_GUINT64_FORMAT,
	    replica_term(l->node->replica));
	l->active = true;
	l->term = replica_term(l->node->replica);
	l->clock_offset_ms = cell_time_ms(l->cell) - mono_ms();
	l->rng.state = random_id();
	l->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	l->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	l->attempts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->waiters =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->deadlines =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	l->traces =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->reads_queued = g_ptr_array_new_with_free_func(read_wait_free);
	l->team_handles = handle_table_new();
	l->rack_handles = handle_table_new();
	l->data_center_handles = handle_table_new();
	l->sched = sched_new(&sched_policy_waiting);
	l->learn = learn_new(LEARN_KINDS_MAX);
	l->health = health_new(&health_defaults);
	l->stalled = g_array_new(FALSE, FALSE, sizeof(struct stalled));
	watch = (struct cell_watch){ .config_changed = on_config_changed,
		.entry_changed = workers_entry_changed,
		.worker_changed = workers_changed,
		.job_ended = on_job_ended };
	orders_set_callbacks(&watch);
	watch.withdrawn = on_withdrawn;
	cell_each_entry(l->cell, load_entry, l);
	workers_load(l);
	on_config_changed(l);
	orders_load(l);
	cell_set_watch(l->cell, &watch, l);
	l->node->counters.leaderships->value++;
}

static void
send_not_leader(struct leader *l, struct client *c)
{
	struct joined joined = { .accepted = false,
		.leader = (char *)replica_leader_name(l->node->replica) };

	c->joined = false;
	proto_send(c->link, FRAME_JOINED, &joined);
}

static void
stop_leading(struct leader *l)
{
	log_info("leader", "no longer leader");
	l->active = false;
	cell_set_watch(l->cell, NULL, NULL);
	for (guint i = 0; i < l->clients->len; i++)
		send_not_leader(l, l->clients->pdata[i]);
	g_clear_pointer(&l->entries, g_hash_table_unref);
	g_clear_pointer(&l->workers, g_hash_table_unref);
	g_clear_pointer(&l->attempts, g_hash_table_unref);
	g_clear_pointer(&l->waiters, g_hash_table_unref);
	g_clear_pointer(&l->traces, g_hash_table_unref);
	g_clear_pointer(&l->deadlines, g_hash_table_unref);
	g_clear_pointer(&l->reads_queued, g_ptr_array_unref);
	g_clear_pointer(&l->reads_in_flight, g_ptr_array_unref);
	g_clear_pointer(&l->team_handles, g_hash_table_unref);
	g_clear_pointer(&l->rack_handles, g_hash_table_unref);
	g_clear_pointer(&l->data_center_handles, g_hash_table_unref);
	g_queue_clear_full(&l->job_waits, g_free);
	g_queue_clear_full(&l->backoffs, g_free);
	sched_free(g_steal_pointer(&l->sched));
	learn_free(g_steal_pointer(&l->learn));
	health_free(g_steal_pointer(&l->health));
	g_clear_pointer(&l->stalled, g_array_unref);
}

void
leader_applied(void *arg, uint64_t index, struct cell_result *result)
{
	struct leader *l = arg;
	struct waiter *w;

	if (!l->active)
		return;
	w = g_hash_table_lookup(l->waiters, &index);
	if (w == NULL)
		return;
	g_hash_table_steal(l->waiters, &index);
	tracer_end_span(l->node->tracer, &w->trace, w->trace_parent, "commit",
	    w->proposed_us, outcome_name(result->outcome), false);
	w->fn(l, w, result);
	g_free(w);
}

void
leader_deposed(struct leader *l)
{
	if (l->active)
		stop_leading(l);
}

void
leader_replica_updated(void *arg)
{
	struct leader *l = arg;
	bool leads = replica_leads(l->node->replica);

	if (!leads || replica_term(l->node->replica) != l->term)
		leader_deposed(l);
	if (!l->active && leads)
		start_leading(l);
	if (!l->active)
		return;
	if (l->dirty)
		orders_run_round(l);
	requests_start_reads(l);
}

void
leader_read_done(void *arg, uint64_t context, bool ok)
{
	struct leader *l = arg;

	if (!l->active || context != l->read_context)
		return;
	requests_read_done(l, ok);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct leader *l = arg;
	int64_t now = mono_ms();

	if (!l->active)
		return;
	clients_scan(l, now);
	workers_scan(l, now);
	orders_scan(l, now);
	requests_scan(l, now);
	observe_scan(l, now);
	if (l->dirty || orders_round_due(l))
		orders_run_round(l);
}

struct leader *
leader_new(struct node *node)
{
	struct leader *l = g_new0(struct leader, 1);

	l->node = node;
	l->cell = node->cell;
	l->clients = g_ptr_array_new_with_free_func(client_free);
	g_queue_init(&l->job_waits);
	g_queue_init(&l->backoffs);
	l->timer = node_timer(node, SCAN_MS, on_timer, l);
	return l;
}

void
leader_free(struct leader *l)
{
	if (l == NULL)
		return;
	if (l->active)
		stop_leading(l);
	event_free(l->timer);
	g_ptr_array_unref(l->clients);
	g_free(l);
}
