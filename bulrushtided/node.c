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
	c->jobs_not_run =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_requests_not_run_total",
		"", "Requests refused before they had any effect.");
	c->starts = counter_new(r, COUNTER_TOTAL, "bulrushtide_starts_total",
	    "", "Attempts assigned to workers.");
	c->restarts =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_restarts_total", "",
		"Attempts after a task's first one.");
	c->lost =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_attempts_lost_total", "",
		"Attempts that ended with their worker's lease.");
	c->commits =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_commands_applied_total",
		"", "Commands applied to the agreed state.");
	c->elections =
	    counter_new(r, COUNTER_TOTAL, "bulrushtide_leaderships_total", "",
		"Times this replica became the leader.");
	c->stalled = counter_new(r, COUNTER_GAUGE, "bulrushtide_jobs_stalled",
	    "", "Jobs that wait or run past their bound.");
	c->set_aside =
	    counter_new(r, COUNTER_GAUGE, "bulrushtide_workers_set_aside", "",
		"Workers that fail what they start.");
	c->pending = counter_new(r, COUNTER_GAUGE, "bulrushtide_tasks_pending",
	    "", "Tasks that wait for a worker.");
	c->running = counter_new(r, COUNTER_GAUGE, "bulrushtide_tasks_running",
	    "", "Attempts assigned to workers now.");
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
		home_worker(node->home, push);
}

static void
on_shape(void *arg, const struct shape_push *push)
{
	struct node *node = arg;

	if (node->home != NULL)
		home_shape(node->home, push);
}

static void
on_order(void *arg, const struct order *order)
{
	struct node *node = arg;

	if (node->home != NULL)
		home_order(node->home, order);
}

static void
on_target(void *arg, const struct target_push *push)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_target(node->services, push);
}

static void
on_targets(void *arg, const struct targets_push *push)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_sync(node->services, push);
}

static void
on_division(void *arg, uint64_t division)
{
	struct node *node = arg;

	if (node->services != NULL)
		services_division(node->services, division);
}

static void
on_leave(void *arg)
{
	node_drain(arg);
}

static const struct session_ops session_ops = {
	.worker = on_worker,
	.shape = on_shape,
	.order = on_order,
	.target = on_target,
	.targets = on_targets,
	.division = on_division,
	.leave = on_leave,
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

	leader_frame(node->leader, l, name, type, data, len);
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
	node->counters.commits->value++;
	leader_applied(node->leader, index, &result);
	cell_result_clear(&result);
	return true;
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
on_advanced(void *arg)
{
	struct node *node = arg;

	leader_advanced(node->leader);
}

static void
on_read(void *arg, uint64_t context, bool ok)
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
on_identify(void *arg, uint64_t id, uint64_t cell, bool formed)
{
	struct node *node = arg;

	peers_identify(node->peers, id, cell, formed);
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

	node->failed = true;
}

static const struct replica_ops replica_ops = { .apply = on_apply,
	.snapshot = on_snapshot,
	.restore = on_restore,
	.updated = on_advanced,
	.read_done = on_read,
	.send = on_send,
	.identity_changed = on_identify,
	.each_peer = on_each_peer,
	.storage_failed = on_storage_failed };

static GPtrArray *
founder_names(const struct node_conf *conf)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < conf->replicas->len; i++)
		g_ptr_array_add(names,
		    g_strdup(
			g_array_index(conf->replicas, struct named_replica, i)
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
		.output_interval_ms = ROUND_GAP_MS,
		.tick_ms = REPLICA_TICK_MS,
		.initial_members = founder_names(&node->conf) };

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

/*
 * Says whether the graceful stop may end: requests are answered and workers
 * have another home, or nobody can take them over.
 */
static bool
drained(struct node *node, int64_t since_ms)
{
	guint homed = node->home == NULL ? 0 : home_count(node->home);
	guint calls =
	    node->services == NULL ? 0 : services_open(node->services);

	if (since_ms < DRAIN_LEAST_MS || web_pending(node->web) > 0 ||
	    calls > 0)
		return false;
	return homed == 0 || since_ms >= HAND_OVER_MS;
}

/* Ends the loop once nothing is in flight, or at the bound. */
static void
on_drain(evutil_socket_t fd, short what, void *arg)
{
	struct node *node = arg;
	int64_t since_ms = mono_ms() - node->drain_until + DRAIN_MS;

	/* Again now and then: a transfer may fail, and another replica that
	 * stops too may hand leadership back. */
	if (node->replica != NULL && mono_ms() >= node->hand_over_ms) {
		node->hand_over_ms = mono_ms() + DRAIN_LEAST_MS;
		(void)replica_transfer_leadership(node->replica);
	}
	/* The balancer has seen /readyz by now. What is already accepted is
	 * answered in the next look. */
	if (since_ms >= DRAIN_LEAST_MS && !node->stopped) {
		node->stopped = true;
		web_stop(node->web);
		return;
	}
	if (drained(node, since_ms)) {
		log_info("node", "has drained and stops");
		event_base_loopbreak(node->base);
	} else if (since_ms >= DRAIN_MS) {
		log_warn("node",
		    "stops at its bound with %d requests unanswered",
		    web_pending(node->web));
		event_base_loopbreak(node->base);
	}
}

void
node_drain(struct node *node)
{
	if (node->draining)
		return;
	log_info("node", "drains: takes no new work");
	node->draining = true;
	web_drain(node->web);
	node->drain_until = mono_ms() + DRAIN_MS;
	session_drain(node->session);
	node->drain_timer = node_timer(node, SCAN_MS / 2, on_drain, node);
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
		struct named_replica *r =
		    &g_array_index(conf->replicas, struct named_replica, i);

		g_free(r->name);
		g_free(r->address);
	}
	g_array_unref(conf->replicas);
}

void
node_free(struct node *node)
{
	if (node->drain_timer != NULL)
		event_free(node->drain_timer);
	web_free(node->web);
	services_free(node->services);
	home_free(node->home);
	session_free(node->session);
	peers_free(node->peers);
	leader_free(node->leader);
	replica_free(node->replica);
	cell_free(node->cell);
	tracer_free(node->tracer);
	registry_free(node->counters.registry);
	/* Closed connections are freed by calls that the loop still owes. */
	event_base_loop(node->base, EVLOOP_NONBLOCK);
	event_base_free(node->base);
	conf_clear(&node->conf);
	g_free(node);
}
