/*
 * Connects the parts of a process: the mesh (lib/mesh) keeps the links to the
 * other processes of the cell, the replica (lib/replica) keeps the log, the
 * dispatcher (lib/dispatch) schedules while this process leads, and the gate
 * (lib/gate) forwards requests of callers and workers to the leader.
 */
#include "impl.h"

#define TIMER_PERIOD_MS 25 /* pending requests, bootstrap, graceful stop */
#define STORAGE_RETRY_MS 2000 /* between attempts to reopen a failed disk */
#define BOOTSTRAP_DELAY_MS 400 /* all processes have started by then */
/* Short, as a job waits for 3 commits of 6 to 9 ms. */
#define OUTPUT_INTERVAL_MS 2
/*
 * Elections start after 400 to 800 ms without a leader: urgent jobs have less
 * than 2 s in all, and a follower answers within two disk syncs, 20 ms.
 */
#define REPLICA_TICK_MS 40
#define BOOTSTRAP_WAIT_MS 4000 /* other replicas would have joined by then */
#define TRANSFER_RETRY_MS 500 /* between attempts to transfer leadership */

/* --- replica --- */

static bool
on_apply(void *arg, uint64_t index, const void *data, size_t len, GError **err)
{
	struct cellnode *n = arg;
	enum flow_apply_result outcome;

	if (!flow_apply(n->flow, data, len, &outcome, err))
		return false;
	dispatch_applied(n->dispatch, index, outcome);
	return true;
}

static GBytes *
on_snapshot(void *arg)
{
	struct cellnode *n = arg;

	return flow_snapshot(n->flow);
}

static bool
on_restore(void *arg, GBytes *state, GError **err)
{
	struct cellnode *n = arg;

	return flow_restore(n->flow, state, err);
}

/*
 * Reports whether committed state may be served. A replica that formed the
 * cell is its only voter at first, so the loss of its disk would lose what is
 * committed. It serves once enough others vote, or if they have not joined
 * within BOOTSTRAP_WAIT_MS.
 */
static bool
may_serve(const struct cellnode *n)
{
	return !n->bootstrapped || replica_has_enough_voters(n->replica) ||
	    mono_ms() - n->started_ms > BOOTSTRAP_WAIT_MS;
}

static void
on_deposed(void *arg)
{
	struct cellnode *n = arg;

	if (!dispatch_leads(n->dispatch))
		return;
	dispatch_resign(n->dispatch);
	gate_leader_changed(n->gate);
}

/* Starts or stops dispatching with leadership and announces the term. */
static void
on_replica_updated(void *arg)
{
	struct cellnode *n = arg;
	bool leads = replica_leads(n->replica) && may_serve(n);
	uint64_t term = leads ? replica_term(n->replica) : 0;

	if (!leads || mesh_leading_term(n->mesh) != term)
		on_deposed(n);
	mesh_set_leading_term(n->mesh, term);
	if (leads && !dispatch_leads(n->dispatch)) {
		dispatch_lead(n->dispatch, term);
		gate_leader_changed(n->gate);
	}
	dispatch_batch_applied(n->dispatch);
}

static void
on_read_done(void *arg, uint64_t context, bool ok)
{
	struct cellnode *n = arg;

	dispatch_read_done(n->dispatch, context, ok);
}

static void
on_send(void *arg, uint64_t to, GBytes *message)
{
	struct cellnode *n = arg;

	mesh_send_raft(n->mesh, to, message);
}

static void
on_identity_changed(void *arg, uint64_t id, uint64_t cell, bool formed)
{
	struct cellnode *n = arg;

	mesh_set_identity(n->mesh, id, cell, formed);
}

/* Sends a caller's request to the leader; false if there is none. */
static bool
forward_request(void *arg, const struct request *req)
{
	struct cellnode *n = arg;
	struct mesh_link *l;

	if (dispatch_leads(n->dispatch)) {
		dispatch_handle_request(n->dispatch, 0, req);
		return true;
	}
	l = mesh_leader(n->mesh);
	if (l == NULL)
		return false;
	frame_send(l,
	    req->credential == NULL ? FRAME_REQUEST : FRAME_REQUEST_WITH_KEY,
	    req);
	return true;
}

struct peer_callback {
	replica_peer_fn *fn;
	void *arg;
};

static void
report_peer(void *arg, struct mesh_link *l)
{
	struct peer_callback *w = arg;
	const struct mesh_hello *h = mesh_peer(l);
	struct peer_info info = { .name = h->name,
		.replica_id = h->replica_id,
		.cell_id = h->cell_id,
		.formed = h->formed };

	if (h->replica)
		w->fn(w->arg, &info);
}

static void
on_each_peer(void *arg, replica_peer_fn *fn, void *fn_arg)
{
	struct cellnode *n = arg;
	struct peer_callback w = { fn, fn_arg };

	mesh_each_link(n->mesh, true, report_peer, &w);
}

static void
on_storage_failed(void *arg)
{
	struct cellnode *n = arg;

	n->storage_failed = true;
	n->next_reopen_ms = mono_ms() + STORAGE_RETRY_MS;
}

static const struct replica_ops replica_ops = { .apply = on_apply,
	.deposed = on_deposed,
	.snapshot = on_snapshot,
	.restore = on_restore,
	.updated = on_replica_updated,
	.read_done = on_read_done,
	.send = on_send,
	.identity_changed = on_identity_changed,
	.each_peer = on_each_peer,
	.storage_failed = on_storage_failed };

/* --- links to processes --- */

static uint64_t
process_of_link(const struct cellnode *n, struct mesh_link *l)
{
	gpointer found = g_hash_table_lookup(n->processes, l);

	return found == NULL ? 0 : *(uint64_t *)found;
}

static struct mesh_link *
link_of_process(const struct cellnode *n, uint64_t process)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, n->processes);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (*(uint64_t *)value == process)
			return key;
	return NULL;
}

static void
update_process(struct cellnode *n, struct mesh_link *l, bool up)
{
	uint64_t process = process_of_link(n, l);

	if (up && process == 0) {
		uint64_t *number = g_new(uint64_t, 1);

		*number = ++n->last_process_number;
		g_hash_table_insert(n->processes, l, number);
		dispatch_process_changed(n->dispatch, *number, true);
	} else if (!up && process != 0) {
		dispatch_process_changed(n->dispatch, process, false);
		g_hash_table_remove(n->processes, l);
	}
}

static void
on_link(void *arg, struct mesh_link *l, bool up)
{
	struct cellnode *n = arg;

	if (!mesh_dialled(l)) {
		update_process(n, l, up);
		return;
	}
	/* The leader may have changed. */
	if (!up || mesh_peer(l)->leading_term != 0)
		gate_leader_changed(n->gate);
}

static void
on_raft(void *arg, uint64_t from, const void *data, size_t len)
{
	struct cellnode *n = arg;

	if (n->replica != NULL)
		replica_receive(n->replica, from, data, len);
}

/* --- the policy service --- */

/* A policy query for the leader at the other end of a link. */
struct remote_query {
	struct cellnode *node;
	char *leader;
};

static struct mesh_link *
leader_link(struct cellnode *n, const char *name)
{
	struct mesh_link *l = mesh_leader(n->mesh);

	return l != NULL && strcmp(mesh_peer(l)->name, name) == 0 ? l : NULL;
}

static void
send_permits(void *arg, uint64_t query, const struct agent_permits *permits)
{
	struct remote_query *c = arg;
	struct mesh_link *l = leader_link(c->node, c->leader);
	GString *rows = g_string_new(NULL);
	struct policy_permits msg = { .query = query,
		.answered = permits != NULL };

	for (guint i = 0; permits != NULL && i < permits->allowed->len; i++) {
		const struct agent_permit *p =
		    &g_array_index(permits->allowed, struct agent_permit, i);

		g_string_append_printf(rows, "%s\t%s\n", p->worker, p->permit);
	}
	if (permits != NULL)
		msg.valid_ms = permits->valid_ms;
	msg.rows = rows->str;
	if (l != NULL)
		frame_send(l, FRAME_POLICY_PERMITS, &msg);
	g_string_free(rows, TRUE);
	g_free(c->leader);
	g_free(c);
}

static void
handle_policy_query(
    struct cellnode *n, struct mesh_link *l, const struct policy_query *msg)
{
	struct remote_query *c = g_new0(struct remote_query, 1);
	char **workers =
	    g_strsplit(msg->workers == NULL ? "" : msg->workers, "\n", -1);
	struct agent_query q = { .job = msg->job,
		.occurrence = msg->occurrence,
		.step = msg->step,
		.workers = workers };

	c->node = n;
	c->leader = g_strdup(mesh_peer(l)->name);
	policy_client_query(n->policy, &q, send_permits, c, msg->query);
	g_strfreev(workers);
}

static void
handle_permits(
    struct cellnode *n, struct mesh_link *l, const struct policy_permits *msg)
{
	struct agent_permits permits;
	char **rows = g_strsplit(msg->rows == NULL ? "" : msg->rows, "\n", -1);

	agent_permits_init(&permits);
	permits.valid_ms = msg->valid_ms;
	for (int i = 0; rows[i] != NULL; i++) {
		char *tab = strchr(rows[i], '\t');
		struct agent_permit p;

		if (tab == NULL)
			continue;
		p.worker = g_strndup(rows[i], (gsize)(tab - rows[i]));
		p.permit = g_strdup(tab + 1);
		g_array_append_val(permits.allowed, p);
	}
	dispatch_permits_received(n->dispatch, process_of_link(n, l),
	    msg->query, msg->answered ? &permits : NULL);
	agent_permits_clear(&permits);
	g_strfreev(rows);
}

static void
on_local_permits(void *arg, uint64_t query, const struct agent_permits *permits)
{
	struct cellnode *n = arg;

	dispatch_permits_received(n->dispatch, 0, query, permits);
}

/* --- frames --- */

static void
handle_bootstrap(struct cellnode *n)
{
	if (n->first_start && n->replica != NULL)
		n->bootstrapped = replica_bootstrap(n->replica);
}

static void
handle_frame(struct cellnode *n, struct mesh_link *l, int type, void *msg)
{
	switch (type) {
	case FRAME_REQUEST:
	case FRAME_REQUEST_WITH_KEY:
		dispatch_handle_request(
		    n->dispatch, process_of_link(n, l), msg);
		break;
	case FRAME_ANSWER:
		gate_answer(n->gate, msg);
		break;
	case FRAME_POLICY_QUERY:
		handle_policy_query(n, l, msg);
		break;
	default:
		handle_permits(n, l, msg);
	}
}

/* Empty fields are left out of a frame and decoded as NULL. */
static void
fill_empty_fields(struct request *req)
{
	if (req->body == NULL)
		req->body = g_bytes_new_static("", 0);
	if (req->host == NULL)
		req->host = g_strdup("");
	if (req->path == NULL)
		req->path = g_strdup("");
}

static void
on_frame(void *arg, struct mesh_link *l, int type, const void *data, size_t len)
{
	struct cellnode *n = arg;
	union {
		struct request request;
		struct answer answer;
		struct policy_query query;
		struct policy_permits permits;
	} msg = { 0 };
	GError *err = NULL;

	if (type == FRAME_BOOTSTRAP) {
		handle_bootstrap(n);
		return;
	}
	if (type > FRAME_REQUEST_WITH_KEY)
		return;
	if (!shape_decode(data, len, frame_shape(type), &msg, &err)) {
		log_warn("cellnode", "event=frame-dropped peer=%s why=\"%s\"",
		    mesh_peer(l)->name, err->message);
		g_clear_error(&err);
		return;
	}
	if (type == FRAME_REQUEST || type == FRAME_REQUEST_WITH_KEY)
		fill_empty_fields(&msg.request);
	if (type == FRAME_ANSWER && msg.answer.text == NULL)
		msg.answer.text = g_bytes_new_static("", 0);
	handle_frame(n, l, type, &msg);
	shape_clear_message(frame_shape(type), &msg);
}

static const struct mesh_ops mesh_ops = {
	.raft_message = on_raft, .frame = on_frame, .link_changed = on_link
};

/* --- dispatch --- */

static uint64_t
on_propose(void *arg, GBytes *command)
{
	struct cellnode *n = arg;

	return replica_propose(n->replica, command);
}

static void
on_answer(void *arg, uint64_t process, const struct answer *a)
{
	struct cellnode *n = arg;
	struct mesh_link *l;

	if (process == 0) {
		gate_answer(n->gate, a);
		return;
	}
	l = link_of_process(n, process);
	if (l != NULL)
		frame_send(l, FRAME_ANSWER, a);
}

static bool
on_policy_query(
    void *arg, uint64_t process, uint64_t query, const struct agent_query *q)
{
	struct cellnode *n = arg;
	struct policy_query msg = { .query = query,
		.job = q->job,
		.occurrence = q->occurrence,
		.step = q->step };
	struct mesh_link *l;

	if (process == 0) {
		policy_client_query(n->policy, q, on_local_permits, n, query);
		return true;
	}
	l = link_of_process(n, process);
	if (l == NULL)
		return false;
	msg.workers = g_strjoinv("\n", q->workers);
	frame_send(l, FRAME_POLICY_QUERY, &msg);
	g_free(msg.workers);
	return true;
}

static bool
on_confirm(void *arg, uint64_t context)
{
	struct cellnode *n = arg;

	return replica_read_index(n->replica, context);
}

static const struct dispatch_ops dispatch_ops = { .propose = on_propose,
	.answer = on_answer,
	.query_policy = on_policy_query,
	.confirm = on_confirm };

/* --- bootstrap and stop --- */

/* What the first seed knows of the other replicas before the bootstrap. */
struct peer_survey {
	struct mesh_link *first; /* replica with the lowest name */
	bool formed; /* one of them belongs to a cell already */
};

static void
survey_peer(void *arg, struct mesh_link *l)
{
	struct peer_survey *s = arg;
	const struct mesh_hello *h = mesh_peer(l);

	if (!h->replica)
		return;
	s->formed |= h->formed || h->cell_id != 0 || h->replica_id != 0;
	if (s->first == NULL || strcmp(h->name, mesh_peer(s->first)->name) < 0)
		s->first = l;
}

/*
 * At the first start of the whole system all processes have the same seeds.
 * The first seed forms the cell or, if it has no disk, orders
 * exactly one replica to do so.
 */
static void
maybe_bootstrap(struct cellnode *n)
{
	static const uint8_t type = FRAME_BOOTSTRAP;
	struct peer_survey s = { 0 };
	GBytes *frame;

	if (!n->first_start || n->bootstrap_done || n->seeds->len == 0 ||
	    strcmp(n->seeds->pdata[0], n->address) != 0)
		return;
	mesh_each_link(n->mesh, true, survey_peer, &s);
	mesh_each_link(n->mesh, false, survey_peer, &s);
	if (s.formed) {
		n->bootstrap_done = true;
		return;
	}
	if (n->replica != NULL) {
		n->bootstrap_done = true;
		n->bootstrapped = replica_bootstrap(n->replica);
		return;
	}
	if (s.first == NULL || mono_ms() - n->started_ms < BOOTSTRAP_DELAY_MS)
		return;
	n->bootstrap_done = true;
	frame = g_bytes_new_static(&type, sizeof(type));
	mesh_send(s.first, frame);
	g_bytes_unref(frame);
}

static bool
open_replica(struct cellnode *n, GError **err)
{
	struct replica_conf conf = { .base = n->base,
		.name = n->name,
		.data_dir = n->data_dir,
		.snapshot_entries = n->snapshot_entries,
		.disk_losses = n->disk_losses,
		.output_interval_ms = OUTPUT_INTERVAL_MS,
		.tick_ms = REPLICA_TICK_MS };

	flow_clear(n->flow);
	n->replica = replica_new(&conf, &replica_ops, n, err);
	return n->replica != NULL;
}

/*
 * Reads the log back after a disk failure, once the disk works. Until then the
 * process only forwards requests.
 */
static void
reopen_storage(struct cellnode *n, int64_t now)
{
	GError *err = NULL;

	if (!n->storage_failed || now < n->next_reopen_ms)
		return;
	n->next_reopen_ms = now + STORAGE_RETRY_MS;
	dispatch_resign(n->dispatch);
	mesh_set_leading_term(n->mesh, 0);
	replica_free(g_steal_pointer(&n->replica));
	if (!open_replica(n, &err)) {
		log_warn(
		    "cellnode", "event=disk-unusable why=\"%s\"", err->message);
		g_clear_error(&err);
		return;
	}
	log_info("cellnode", "event=disk-reopened");
	n->storage_failed = false;
	replica_start(n->replica);
}

static void
find_replica(void *arg, struct mesh_link *l)
{
	bool *found = arg;

	*found |= mesh_peer(l)->replica;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct cellnode *n = arg;
	int64_t now = mono_ms();
	bool connected = dispatch_leads(n->dispatch);

	reopen_storage(n, now);
	maybe_bootstrap(n);
	mesh_each_link(n->mesh, true, find_replica, &connected);
	gate_set_connected(n->gate, connected, now);
	gate_tick(n->gate, now);
	logs_flush();
	if (!n->draining || n->replica == NULL || now < n->next_transfer_ms)
		return;
	n->next_transfer_ms = now + TRANSFER_RETRY_MS;
	(void)replica_transfer_leadership(n->replica);
}

void
cellnode_drain(struct cellnode *n)
{
	if (n->draining)
		return;
	log_info("cellnode", "event=drain leads=%d pending=%u",
	    dispatch_leads(n->dispatch), gate_pending(n->gate));
	n->draining = true;
}

bool
cellnode_ready(struct cellnode *n)
{
	return !n->draining &&
	    (dispatch_leads(n->dispatch) || mesh_leader(n->mesh) != NULL);
}

const char *
cellnode_leader_address(struct cellnode *n)
{
	/* While this process leads, a deposed leader may still claim to. */
	struct mesh_link *l =
	    dispatch_leads(n->dispatch) ? NULL : mesh_leader(n->mesh);

	return l == NULL ? NULL : mesh_peer(l)->address;
}

void
cellnode_refuse_requests(struct cellnode *n)
{
	gate_close(n->gate);
}

void
cellnode_request(struct cellnode *n, const struct request *req,
    int64_t timeout_ms, gate_answer_fn *fn, void *arg)
{
	gate_forward(n->gate, req, timeout_ms, fn, arg);
}

static GPtrArray *
copy_list(GPtrArray *list)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < list->len; i++)
		g_ptr_array_add(copy, g_strdup(list->pdata[i]));
	return copy;
}

void
cellnode_set_seeds(struct cellnode *n, GPtrArray *seeds)
{
	g_ptr_array_unref(n->seeds);
	n->seeds = copy_list(seeds);
	mesh_set_seeds(n->mesh, n->seeds);
}

struct cellnode *
cellnode_new(struct event_base *base, const struct cellnode_conf *conf,
    struct registry *registry, GError **err)
{
	struct timeval tv = { .tv_usec = TIMER_PERIOD_MS * 1000 };
	struct cellnode *n = g_new0(struct cellnode, 1);
	struct dispatch_conf dc = conf->dispatch;
	struct mesh_conf mc = { .base = base,
		.name = conf->name,
		.address = conf->peer_address,
		.listen_address = conf->listen_address,
		.replica = conf->data_dir != NULL };

	n->base = base;
	n->name = g_strdup(conf->name);
	n->address = g_strdup(conf->peer_address);
	n->first_start = conf->first_start;
	n->data_dir = g_strdup(conf->data_dir);
	n->snapshot_entries = conf->snapshot_entries;
	n->disk_losses = conf->disk_losses;
	n->seeds = copy_list(conf->seeds);
	n->started_ms = mono_ms();
	n->flow = flow_new();
	n->agent = dc.agent;
	dc.base = base;
	dc.flow = n->flow;
	dc.registry = registry;
	n->processes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	n->gate = gate_new(forward_request, n);
	n->policy = policy_client_new(base, conf->policy_address, dc.agent);
	n->dispatch = dispatch_new(&dc, &dispatch_ops, n);
	dispatch_process_changed(n->dispatch, 0, true);
	n->mesh = mesh_new(&mc, &mesh_ops, n, err);
	if (n->mesh == NULL || (mc.replica && !open_replica(n, err))) {
		cellnode_free(n);
		return NULL;
	}
	mesh_set_seeds(n->mesh, n->seeds);
	if (n->replica != NULL)
		replica_start(n->replica);
	n->timer = event_new(base, -1, EV_PERSIST, on_timer, n);
	event_add(n->timer, &tv);
	return n;
}

/*
 * Frees each part before those that its callbacks use: the policy client's use
 * the mesh and the dispatcher, the mesh's the dispatcher, the replica and the
 * gate, the gate's what the owner has passed with its requests.
 */
void
cellnode_free(struct cellnode *n)
{
	if (n == NULL)
		return;
	if (n->timer != NULL)
		event_free(n->timer);
	/* Ends calls to workers, whose callbacks use all other parts. */
	dispatch_resign(n->dispatch);
	policy_client_free(n->policy);
	mesh_free(n->mesh);
	dispatch_free(n->dispatch);
	replica_free(n->replica);
	gate_free(n->gate);
	flow_free(n->flow);
	g_hash_table_unref(n->processes);
	g_ptr_array_unref(n->seeds);
	g_free(n->name);
	g_free(n->address);
	g_free(n->data_dir);
	g_free(n);
}
