/*
 * One process: its settings, its event loop and its parts. Each part owns its
 * sockets and state; they call each other's narrow functions on one loop.
 */
#ifndef NODE_H
#define NODE_H

#include <event2/event.h>

#include "base.h"
#include "counter.h"
#include "httpd.h"
#include "logs.h"
#include "proto.h"
#include "trace.h"

/* Times between our processes, in milliseconds. */
#define REPORT_MS 500 /* a process reports to the leader */
#define GRANT_MS 2500 /* a process may act on what it knows */
#define LINK_IDLE_MS 3000 /* a connection without a frame is closed */
#define DIAL_MS 1000 /* a connection attempt is given up */
#define SCAN_MS 250 /* periodic checks of tables */
#define DRAIN_MS 10000 /* a graceful stop takes at most this long */
#define HAND_OVER_MS 3000 /* workers get another home within this */
#define DRAIN_LEAST_MS 1000 /* the balancer sees /readyz before we stop */

/* Between rounds of a replica under load: keeps the leader near 2% of a core
 * at the target size (docs/CAPACITY.md). */
#define ROUND_GAP_MS 20
#define REPLICA_TICK_MS 100 /* an election after 1 to 2 s: survives a pause */

#define TRACE_SPANS 4096 /* kept in each process */

/* Clock drift allowed between two machines, in thousandths. */
#define DRIFT_PERMILLE 10

/* A replica as the settings name it. */
struct named_replica {
	char *name;
	char *address;
};

struct node_conf {
	char *name;
	char *region;
	char *data_center;
	char *http_address;
	char *peer_address; /* NULL: none */
	char *data_dir; /* replicas only */
	bool entry;
	bool replica;
	GArray *replicas; /* struct named_replica */
	uint64_t snapshot_entries; /* applied from one snapshot to the next */
	int trace_permille; /* of requests without a traceparent */
};

struct replica;
struct leader;
struct session;
struct home;
struct services;
struct web;
struct peers;
struct cell;

/* Counters that parts share. */
struct node_counters {
	struct registry *registry;
	struct counter *jobs_accepted;
	struct counter *jobs_not_run;
	struct counter *starts;
	struct counter *restarts;
	struct counter *lost;
	struct counter *commits;
	struct counter *elections;
	struct counter *stalled;
	struct counter *set_aside;
	struct counter *pending;
	struct counter *running;
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
	struct cell *cell; /* replicas only: the agreed state */
	struct leader *leader; /* replicas only */
	struct session *session;
	struct home *home; /* entries only */
	struct services *services; /* entries only */
	struct web *web;
	bool draining;
	bool stopped; /* takes no connection */
	int64_t drain_until;
	int64_t hand_over_ms; /* when to hand leadership over next */
	struct event *drain_timer;
	bool failed; /* storage failed: serves nothing */
};

/* How long an allowance of ms may last on a machine whose clock is slow. */
static inline int64_t
with_drift(int64_t ms)
{
	return ms + ms * DRIFT_PERMILLE / 1000 + 1;
}

/* Opens all parts; takes conf over. NULL with err if one can't be. */
struct node *node_new(const struct node_conf *conf, GError **err);
/* Runs until a graceful stop is over. */
void node_run(struct node *node);
void node_free(struct node *node);

/* Starts the graceful stop: no new work, hands over, then ends the loop. */
void node_drain(struct node *node);

/* Brings the counters of the process's own cost up to date. */
void node_update_counters(struct node *node);

/* Makes a periodic timer on the node's loop. */
struct event *node_timer(
    struct node *node, int64_t period_ms, event_callback_fn fn, void *arg);

#endif
