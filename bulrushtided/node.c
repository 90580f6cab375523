#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <sys/resource.h>

#include "home.h"
#include "leader.h"
#include "node.h"
#include "peers.h"
#include "replica.h"
#include "services.h"
#include "session.h"
#include "web.h"

struct event *
node_timer(
    struct node *node, int64_t period_ms, event_callback_fn fn, void *arg)
{
	struct timeval tv = { period_ms / 1000, (period_ms % 1000) * 1000 };
	struct event *ev = event_new(node->base, -1, EV_PERSIST, fn, arg);

	event_add(ev, &tv);
	return ev;
}

static void
counters_new(struct node_counters *c)
{
	struct registry *r = registry_new();

	*c = (struct node_counters){ .registry = r };
	c->jobs_accepted = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_jobs_accepted_total", "", "Jobs made durable.");
	c->requests_not_run =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_requests_not_run_total",
		"", "Requests refused before they had any effect.");
	c->starts = counter_new(r, COUNTER_TOTAL, "bulrushtide_starts_total",
	    "", "Attempts assigned to workers.");
	c->restarts =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_restarts_total", "",
		"Attempts after a task's first one.");
	c->attempts_lost =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_attempts_lost_total", "",
		"Attempts that ended with their worker's lease.");
	c->commands_applied =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_commands_applied_total",
		"", "Commands applied to the agreed state.");
	c->leaderships =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_leaderships_total", "",
		"Times this replica became the leader.");
	c->jobs_stalled =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_jobs_stalled", "",
		"Jobs that wait or run past their bound.");
	c->workers_set_aside =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_workers_set_aside", "",
		"Workers that fail what they start.");
	c->tasks_pending = counter_new(r, COUNTER_GAUGE,
	    "bulrushtide_tasks_pending", "", "Tasks that wait for a worker.");
	c->tasks_running =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_tasks_running", "",
		"Attempts assigned to workers now.");
	c->wal_bytes =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_log_written_bytes_total",
		"", "Bytes written to the log files.");
	c->wal_fsyncs = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_log_syncs_total", "", "Syncs of the log files.");
	c->cpu_us =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_cpu_seconds_total", "",
		"Processor time of this process.");
	c->cpu_us->scale = 1e-6;
	c->rss_bytes =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_resident_memory_bytes",
		"", "Resident memory of this process.");
	c->net_in = counter_new(r, COUNTER_TOTAL,
	    "bulrushtide_received_bytes_total", "",
	    "Bytes of frames and HTTP received, without TCP/IP headers.");
	c->net_out =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_sent_bytes_total", "",
		"Bytes of frames and HTTP sent, without TCP/IP headers.");
	c->wait_urgent = timer_new(r, "bulrushtide_wait_seconds",
	    "kind=\"urgent\"", "Time from acceptance to the first start.");
	c->wait_kind[KIND_SERVICE] = timer_new(r, "bulrushtide_wait_seconds",
	    "kind=\"service\"", "Time from acceptance to the first start.");
	c->wait_kind[KIND_BATCH] = timer_new(r, "bulrushtide_wait_seconds",
	    "kind=\"batch\"", "Time from acceptance to the first start.");
	c->wait_kind[KIND_GANG] = timer_new(r, "bulrushtide_wait_seconds",
	    "kind=\"gang\"", "Time from acceptance to the first start.");
}

static int64_t
resident_bytes(void)
{
	long pages = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f == NULL)
		return 0;
	if (fscanf(f, "%*s %ld", &pages) != 1)
		pages = 0;
	fclose(f);
	return (int64_t)pages * sysconf(_SC_PAGESIZE);
}

void
node_update_counters(struct node *node)
{
	struct node_counters *c = &node->counters;
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	c->cpu_us->value =
	    (ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) * INT64_C(1000000) +
	    ru.ru_utime.tv_usec + ru.ru_stime.tv_usec;
	c->rss_bytes->value = resident_bytes();
	if (node->replica != NULL) {
		struct wal_stats stats = replica_wal_stats(node->replica);

		c->wal_bytes->value = (int64_t)stats.bytes;
		c->wal_fsyncs->value = (int64_t)stats.fsyncs;
	}
	c->net_in->value =
	    (int64_t)(link_stats()->bytes_in + http_stats()->bytes_in);
	c->net_out->value =
	    (int64_t)(link_stats()->bytes_out + http_stats()->bytes_out);
}

static void
on_worker(void *arg, const struct worker_push *push)
{
	struct node *node = arg;

	if (node->home != NULL)
		home_update_worker(node->home, push);
}

static void
on_start_template(void *arg, const struct start_template_push *push)
{
	struct node *node = arg;

	if (node->home != NULL)
		home_update_template(node->home, push);
}

static void
on_order(void *arg, const struct order *order)
{
	struct node *node = arg;

	if (node->home != NULL)
		home_handle_order(node->home, order);
}

static void
on_target(void *arg, const struct target_push *push)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_update_target(node->services, push);
}

static void
on_target_list(void *arg, const struct targets_push *push)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_retain_targets(node->services, push);
}

static void
on_divisor(void *arg, uint64_t divisor)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_set_divisor(node->services, divisor);
}

static void
on_drain_request(void *arg)
{
	node_drain(arg);
}

static const struct session_ops session_ops = {
	.worker = on_worker,
	.start_template = on_start_template,
	.order = on_order,
	.target = on_target,
	.target_list = on_target_list,
	.divisor = on_divisor,
	.drain = on_drain_request,
};

static void
on_raft(void *arg, uint64_t from, const void *data, size_t len)
{
	struct node *node = arg;

	replica_receive(node->replica, from, data, len);
}

static void
on_session_frame(void *arg, struct link *l, const char *name, int type,
    const void *data, size_t len)
{
	struct node *node = arg;

	leader_handle_frame(node->leader, l, name, type, data, len);
}

static void
on_session_down(void *arg, struct link *l)
{
	struct node *node = arg;

	leader_link_down(node->leader, l);
}

static const struct peers_ops peers_ops = { on_raft, on_session_frame,
	on_session_down };

static bool
on_apply(void *arg, uint64_t index, const void *data, size_t len, GError **err)
{
	struct node *node = arg;
	struct cell_result result = { 0 };

	if (!cell_apply(node->cell, data, len, &result, err))
		return false;
	node->counters.commands_applied->value++;
	leader_applied(node->leader, index, &result);
	cell_result_clear(&result);
	return true;
}

static void
on_deposed(void *arg)
{
	struct node *node = arg;

	leader_deposed(node->leader);
}

static GBytes *
on_snapshot(void *arg)
{
	struct node *node = arg;

	return cell_snapshot(node->cell);
}

static bool
on_restore(void *arg, GBytes *state, GError **err)
{
	struct node *node = arg;

	return cell_restore(node->cell, state, err);
}

static void
on_updated(void *arg)
{
	struct node *node = arg;

	leader_replica_updated(node->leader);
}

static void
on_read_done(void *arg, uint64_t context, bool ok)
{
	struct node *node = arg;

	leader_read_done(node->leader, context, ok);
}

static void
on_send(void *arg, uint64_t to, GBytes *message)
{
	struct node *node = arg;

	peers_send_raft(node->peers, to, message);
}

static void
on_identity_changed(
    void *arg, uint64_t replica_id, uint64_t cell_id, bool formed)
{
	struct node *node = arg;

	peers_set_identity(node->peers, replica_id, cell_id, formed);
}

static void
on_each_peer(void *arg, replica_peer_fn *fn, void *fn_arg)
{
	struct node *node = arg;

	peers_each(node->peers, fn, fn_arg);
}

static void
on_storage_failed(void *arg)
{
	struct node *node = arg;

	node->storage_failed = true;
}

static const struct replica_ops replica_ops = { .apply = on_apply,
	.deposed = on_deposed,
	.snapshot = on_snapshot,
	.restore = on_restore,
	.updated = on_updated,
	.read_done = on_read_done,
	.send = on_send,
	.identity_changed = on_identity_changed,
	.each_peer = on_each_peer,
	.storage_failed = on_storage_failed };

static GPtrArray *
initial_member_names(const struct node_conf *conf)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < conf->replicas->len; i++)
		g_ptr_array_add(names,
		    g_strdup(g_array_index(
			conf->replicas, struct replica_endpoint, i)
				 .name));
	return names;
}

static bool
start_replica(struct node *node, GError **err)
{
	struct replica_conf conf = { .base = node->base,
		.name = node->conf.name,
		.data_dir = node->conf.data_dir,
		.snapshot_entries = node->conf.snapshot_entries,
		.output_interval_ms = REPLICA_OUTPUT_INTERVAL_MS,
		.tick_ms = REPLICA_TICK_MS,
		.initial_members = initial_member_names(&node->conf) };

	node->cell = cell_new();
	node->replica = replica_new(&conf, &replica_ops, node, err);
	g_ptr_array_unref(conf.initial_members);
	if (node->replica == NULL)
		return false;
	node->leader = leader_new(node);
	node->peers = peers_new(node, &peers_ops, node, err);
	if (node->peers == NULL)
		return false;
	replica_start(node->replica);
	return true;
}

struct node *
node_new(const struct node_conf *conf, GError **err)
{
	struct node *node = g_new0(struct node, 1);

	node->conf = *conf;
	node->base = event_base_new();
	g_assert(node->base != NULL);
	node->incarnation = random_id();
	counters_new(&node->counters);
	node->tracer =
	    tracer_new(conf->name, TRACE_SPANS, conf->trace_permille);
	if (conf->entry)
		node->home = home_new(node);
	if (conf->entry)
		node->services = services_new(node);
	node->session = session_new(node, &session_ops, node);
	node->web = web_new(node, err);
	if (node->web == NULL || (conf->replica && !start_replica(node, err))) {
		node_free(node);
		return NULL;
	}
	log_info("node", "%s serves on %s", conf->name, conf->http_address);
	return node;
}

void
node_run(struct node *node)
{
	event_base_dispatch(node->base);
}

/* Whether workers are homed here that may still get another home: after
 * REHOME_MAX_MS no other entry is expected to take them. */
static bool
is_home(const struct node *node)
{
	return node->home != NULL && home_worker_count(node->home) > 0 &&
	    mono_ms() - node->stop.started_ms < REHOME_MAX_MS;
}

static void
refuse_requests(struct node *node)
{
	session_refuse(node->session);
	if (node->services != NULL)
		services_refuse(node->services);
}

static void
log_step(const struct node *node, int pending)
{
	log_info("node",
	    "event=%s pending=%d calls=%u after_ms=%" G_GINT64_FORMAT,
	    stop_step_name(node->stop.step), pending,
	    node->services == NULL ? 0 : services_open_calls(node->services),
	    mono_ms() - node->stop.started_ms);
}

static void
on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	struct node *node = arg;
	int pending = web_pending(node->web);
	enum stop_step before = node->stop.step;
	enum stop_step step =
	    stop_next(&node->stop, pending, is_home(node), mono_ms());

	/* Repeated, as a transfer may fail and another replica that stops too
	 * may transfer leadership back. */
	if (node->replica != NULL && mono_ms() >= node->transfer_due_ms) {
		node->transfer_due_ms = mono_ms() + DRAIN_MIN_MS;
		(void)replica_transfer_leadership(node->replica);
	}
	if (step == before)
		return;
	log_step(node, pending);
	if (step == STOP_END)
		event_base_loopbreak(node->base);
	else
		web_stop(node->web);
	if (step == STOP_REFUSE)
		refuse_requests(node);
}

void
node_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	node->stop = stop_begin(DRAIN_MIN_MS, node->conf.grace_ms, mono_ms());
	log_step(node, web_pending(node->web));
	web_drain(node->web);
	session_send_report(node->session);
	node->stop_timer = node_timer(node, STOP_CHECK_MS, on_stop_timer, node);
}

static void
conf_clear(struct node_conf *conf)
{
	g_free(conf->name);
	g_free(conf->region);
	g_free(conf->data_center);
	g_free(conf->http_address);
	g_free(conf->peer_address);
	g_free(conf->data_dir);
	for (guint i = 0; i < conf->replicas->len; i++) {
		struct replica_endpoint *r =
		    &g_array_index(conf->replicas, struct replica_endpoint, i);

		g_free(r->name);
		g_free(r->address);
	}
	g_array_unref(conf->replicas);
}

/*
 * Frees each part before those that its callbacks use: calls to workers use the
 * session, the session's answers to requests the HTTP server, connections of
 * peers the leader, and it the replica.
 */
void
node_free(struct node *node)
{
	if (node->stop_timer != NULL)
		event_free(node->stop_timer);
	services_free(node->services);
	home_free(node->home);
	session_free(node->session);
	web_free(node->web);
	peers_free(node->peers);
	leader_free(node->leader);
	replica_free(node->replica);
	cell_free(node->cell);
	tracer_free(node->tracer);
	registry_free(node->counters.registry);
	/* Runs the deferred callbacks that free closed connections. */
	event_base_loop(node->base, EVLOOP_NONBLOCK);
	event_base_free(node->base);
	conf_clear(&node->conf);
	g_free(node);
}
