/*
 * One process of a cell: its settings, its event loop and its modules. Each
 * module owns its sockets and state. All run on the one event loop and call
 * each other's public functions.
 */
#ifndef NODE_H
#define NODE_H

#include <event2/event.h>

#include "base.h"
#include "counter.h"
#include "httpd.h"
#include "logs.h"
#include "proto.h"
#include "stop.h"
#include "trace.h"

/* Intervals and timeouts between the processes of a cell, in milliseconds. */
#define REPORT_MS 500 /* between reports of a process to the leader */
/* Validity of the leader's grant to a process to act on the state it received,
 * from the sending of the report that the grant answers. */
#define GRANT_MS 2500
#define LINK_IDLE_MS 3000 /* without a received frame */
#define DIAL_TIMEOUT_MS 1000
#define SCAN_MS 250 /* between periodic scans of tables */
#define REHOME_MAX_MS 3000 /* wait for workers to get another home */
/* Lower bound of a graceful stop: load balancers need this long to see that
 * /readyz fails. */
#define DRAIN_MIN_MS 1000

/* Between output passes of a replica under load: keeps the leader near 2% of a
 * core at the target size (docs/CAPACITY.md). */
#define REPLICA_OUTPUT_INTERVAL_MS 20
/* Elections start after 1 to 2 s without a leader, so that a short pause of the
 * leader causes none. */
#define REPLICA_TICK_MS 100

#define TRACE_SPANS 4096 /* stored spans of a process */

/* Tolerated clock drift between two machines, per thousand. */
#define DRIFT_PERMILLE 10

/* A replica of the --replicas setting. */
struct replica_endpoint {
	char *name;
	char *address; /* "IP:PORT" of its peer listener */
};

struct node_conf {
	char *name;
	char *region;
	char *data_center;
	char *http_address;
	char *peer_address; /* NULL: no listener for peers */
	char *data_dir; /* replicas only */
	bool entry;
	bool replica;
	GArray *replicas; /* struct replica_endpoint */
	uint64_t snapshot_entries; /* applied between two snapshots */
	int trace_permille; /* share of requests without traceparent to trace */
	int64_t grace_ms; /* longest duration of a graceful stop */
};

struct replica;
struct leader;
struct session;
struct home;
struct services;
struct web;
struct peers;
struct cell;

/* The metrics of a process, updated by several modules. */
struct node_counters {
	struct registry *registry;
	struct counter *jobs_accepted;
	struct counter *requests_not_run;
	struct counter *starts;
	struct counter *restarts;
	struct counter *attempts_lost;
	struct counter *commands_applied;
	struct counter *leaderships;
	struct counter *jobs_stalled;
	struct counter *workers_set_aside;
	struct counter *tasks_pending;
	struct counter *tasks_running;
	struct counter *wal_bytes;
	struct counter *wal_fsyncs;
	struct counter *packing;
	struct counter *cpu_us;
	struct counter *rss_bytes;
	struct counter *net_in;
	struct counter *net_out;
	struct timer *wait_urgent;
	struct timer *wait_kind[KIND_COUNT];
};

struct node {
	struct node_conf conf;
	struct event_base *base;
	uint64_t incarnation;
	struct node_counters counters;
	struct tracer *tracer;
	struct peers *peers; /* replicas only */
	struct replica *replica; /* replicas only */
	struct cell *cell; /* replicas only: the replicated state */
	struct leader *leader; /* replicas only */
	struct session *session;
	struct home *home; /* entries only */
	struct services *services; /* entries only */
	struct web *web;
	bool draining;
	struct stop stop;
	int64_t transfer_due_ms; /* time of the next leadership transfer */
	struct event *stop_timer;
	bool storage_failed; /* reported by /healthz */
};

/*
 * Upper bound of the local time that passes while another machine, whose clock
 * may be slower, measures ms.
 */
static inline int64_t
with_drift(int64_t ms)
{
	return ms + ms * DRIFT_PERMILLE / 1000 + 1;
}

/*
 * Creates a node with the modules that conf requires and takes ownership of
 * conf. Returns NULL with err set if a module can't be created.
 */
struct node *node_new(const struct node_conf *conf, GError **err);
/* Runs the event loop until a graceful stop is complete. */
void node_run(struct node *node);
void node_free(struct node *node);

/*
 * Starts the graceful stop: transfers leadership, waits until the workers have
 * other homes and the requests are answered, then ends the event loop. After
 * most of the grace period it refuses the requests that are left.
 */
void node_drain(struct node *node);

/* Updates the metrics of CPU time, memory, log writes and network bytes. */
void node_update_counters(struct node *node);

/* Adds a periodic timer to the node's event loop; free it with event_free(). */
struct event *node_timer(
    struct node *node, int64_t period_ms, event_callback_fn fn, void *arg);

#endif
