/*
 * Shared by the files of the leader: leader.c, clients.c, requests.c,
 * orders.c, workers.c, targets.c, observe.c and reports.c.
 */
#ifndef LEADER_IMPL_H
#define LEADER_IMPL_H

#include "health.h"
#include "leader.h"
#include "learn.h"
#include "replica.h"
#include "sched.h"

/* A process with a session to this leader. */
struct client {
	uint64_t serial; /* unique; a waiting request refers to it by this */
	struct link *link;
	char *name;
	char *address;
	char *region;
	char *data_center;
	uint64_t incarnation;
	bool is_entry;
	bool joined;
	uint32_t entry_id; /* 0 if not joined or not an entry */
	bool draining;
	uint64_t config_version; /* current at the process */
	GHashTable *known_templates; /* jobs whose start template it has */
	uint64_t divisor; /* of connections, in use at the process */
	uint64_t report_seq; /* of the latest report */
	bool grant_pending; /* that report is not answered yet */
	int64_t last_frame_ms;
};

/* An entry of the cell, also while it has no session. */
struct leader_entry {
	uint32_t id;
	int64_t grant_until_ms; /* its grant has certainly expired after this */
	bool removal_proposed;
	uint64_t divisor; /* may use 1/divisor of each worker's connections;
			     0: none */
	uint64_t sent_divisor; /* the last one sent to it */
};

struct leader_worker {
	uint32_t id;
	uint32_t home;
	uint64_t epoch;
	bool silent; /* its home got no heartbeat for suspect_ms */
	bool unreached; /* its home waits for its lease to expire */
	int64_t session_expired_ms; /* end of its session, may be in the future;
				       0: none known */
	int64_t last_renewal_ms; /* no lease renewal was sent after this */
	bool probing; /* HEALTH_PROBING: gets one free slot */
	int64_t draining_since_ms; /* 0: not draining */
	bool loss_proposed; /* a CMD_WORKER_STATE with WORKER_LOST */
	bool update_proposed; /* a CMD_WORKER with a new home or epoch */
};

/* An attempt that runs or may run. */
struct leader_attempt {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	uint32_t worker;
	bool confirmed; /* the worker has accepted the start order */
	bool lost_proposed;
	int64_t assigned_us;
};

/* A proposed command whose result is awaited. */
struct waiter {
	uint64_t index; /* in the log */
	uint64_t client; /* serial; 0: none */
	uint64_t request;
	uint32_t op;
	int64_t wait_ms;
	struct trace_context trace;
	uint64_t trace_parent;
	int64_t proposed_us;
	void (*fn)(struct leader *l, struct waiter *w,
	    const struct cell_result *result);
};

/* A request that waits for a job to end. */
struct job_wait {
	uint64_t client;
	uint64_t request;
	uint64_t job;
	int64_t due_ms;
};

/* Tasks in retry back-off; they are queued for placement at due_ms. */
struct backoff {
	uint64_t job;
	uint32_t first;
	uint32_t count;
	int64_t due_ms;
};

/* A read request that waits until leadership is confirmed. */
struct read_wait {
	uint64_t client;
	struct request request;
};

/* A job that has waited or run longer than its limit. */
struct stalled {
	uint64_t job;
	const char *reason;
	int64_t duration_ms; /* time spent waiting or running */
};

struct leader {
	struct node *node;
	struct cell *cell; /* the replica's */
	struct event *timer;
	bool active;
	uint64_t term;
	int64_t clock_offset_ms; /* cell time minus monotonic time */
	struct rng rng;
	uint64_t next_serial;
	GPtrArray *clients; /* struct client */
	GHashTable *entries; /* entry id -> struct leader_entry */
	GHashTable *workers; /* worker id -> struct leader_worker */
	GHashTable *attempts; /* job and task -> struct leader_attempt */
	GHashTable *waiters; /* log index -> struct waiter */
	GQueue job_waits; /* struct job_wait */
	GQueue backoffs; /* struct backoff */
	GHashTable *traces; /* job id -> struct trace_context */
	GHashTable *deadlines; /* job id -> whether CMD_EXPIRE is proposed */
	GPtrArray *reads_queued; /* struct read_wait, for the next read index */
	GPtrArray *reads_in_flight; /* struct read_wait; NULL: none */
	uint64_t read_context;
	bool grants_due;
	struct sched *sched;
	struct learn *learn;
	struct health *health;
	GArray *stalled; /* struct stalled, found by the last observe_scan() */
	int64_t observe_scan_ms; /* when that ran */
	bool rebalance_homes; /* an entry joined: workers may change homes */
	bool dirty; /* a change since the last round may allow placements */
	GHashTable *team_handles; /* name -> handle */
	GHashTable *rack_handles;
	GHashTable *data_center_handles;
	GPtrArray *data_center_names; /* by handle */
};

/* leader.c */
/* Current cell time in milliseconds; never before that of the last command. */
int64_t leader_now(const struct leader *l);
/* Timestamps, encodes and proposes cmd. Returns its log index; 0 if this
 * replica does not lead. */
uint64_t leader_propose(struct leader *l, struct cell_cmd *cmd);
/* The same, and calls fn with the result once cmd is applied. */
struct waiter *leader_propose_wait(struct leader *l, struct cell_cmd *cmd,
    void (*fn)(struct leader *, struct waiter *, const struct cell_result *));
struct config *leader_config(const struct leader *l);
/* Returns the handle of a name; assigns the next one, from 1, to a new name.
 * NULL is the same as "". */
uint32_t leader_intern_name(GHashTable *names, const char *name);

/*
 * The *_scan() functions do periodic work while the replica leads. They are
 * called every SCAN_MS; now is monotonic time in milliseconds.
 */

/* clients.c */
struct client *client_by_serial(struct leader *l, uint64_t serial);
struct client *client_by_entry(struct leader *l, uint32_t entry);
struct client *client_by_name(struct leader *l, const char *name);
void clients_push_config(struct leader *l);
/* Answers the reports that are not answered yet with a grant: the process may
 * act on its data for GRANT_MS. Only to be called once a quorum has confirmed
 * that this replica leads. */
void clients_send_grants(struct leader *l);
void clients_scan(struct leader *l, int64_t now);
void client_free(void *arg);
/* Sends the reply to a request if its client is still there. Takes ownership
 * of json; NULL gives an empty body, which means accepted. */
void client_reply(struct leader *l, uint64_t serial, uint64_t request,
    uint32_t status, char *json, uint32_t retry_after_s);

/* requests.c */
void
requests_handle(struct leader *l, struct client *c, const struct request *req);
/* Requests a read index for the queued reads and for the grants that reports
 * wait for, unless a read index request is in flight or neither waits. */
void requests_start_reads(struct leader *l);
/* Answers the reads in flight and the reports that wait for a grant. ok:
 * whether leadership was confirmed; if not, the reads are to be resent, and no
 * grants are sent. */
void requests_read_done(struct leader *l, bool ok);
/* Answers the requests that wait for this job. */
void requests_job_ended(struct leader *l, uint64_t job);
/* Answers a draining process's waits with the current state of their jobs. */
void requests_answer_waits(struct leader *l, const struct client *c);
void requests_scan(struct leader *l, int64_t now);
void read_wait_free(void *arg);

/* orders.c */
/* Loads the tasks and attempts of all active jobs from the cell. */
void orders_load(struct leader *l);
/* Sets the callbacks of watch that orders.c implements. */
void orders_set_callbacks(struct cell_watch *watch);
/* Runs a placement round and carries out its decisions. */
void orders_run_round(struct leader *l);
/* Reports whether a round is due although nothing has changed. */
bool orders_round_due(const struct leader *l);
void orders_scan(struct leader *l, int64_t now);
/* Sends the orders of a worker's attempts to c, its home, which is new to the
 * worker or has reconnected. */
void orders_resend(struct leader *l, struct client *c, uint32_t worker);
void orders_result(struct leader *l, const struct order_result *result);
/* Proposes the end of an attempt whose lease has certainly expired. */
void orders_attempt_lost(
    struct leader *l, const struct cell_job *job, uint32_t task);
struct leader_attempt *
orders_find_attempt(const struct leader *l, uint64_t job, uint32_t task);
/* Removes the ended job's start template from all homes. */
void orders_job_ended(struct leader *l, uint64_t job);
/* Returns why a job waits, as a stable word and a message (free with
 * g_free()); NULL if it has no waiting tasks. */
const char *orders_wait_reason(struct leader *l, uint64_t job, char **message);

/* workers.c */
void workers_load(struct leader *l);
/* Callbacks of struct cell_watch. */
void workers_changed(void *arg, uint32_t worker);
void workers_entry_changed(void *arg, uint32_t entry, bool removed);
/* An entry's session began or ended: the scheduler may use its workers, or they
 * are SCHED_SUSPECT. */
void workers_home_link_changed(struct leader *l, uint32_t entry);
/* Sends an entry that has joined all workers whose home it is. */
void workers_push_all(struct leader *l, struct client *c);
void workers_health_reported(
    struct leader *l, struct client *c, const struct health_report *report);
void workers_scan(struct leader *l, int64_t now);
/* Chooses a home for a worker, other than the entry avoid. Returns 0 if no
 * entry is available. */
uint32_t workers_choose_home(struct leader *l, const char *name,
    const char *data_center, uint32_t avoid);
/* Copies a worker's state to the scheduler. */
void workers_update_sched(struct leader *l, uint32_t id);
/* The same, but only if the worker is probing, since its slots then follow its
 * number of running tasks. */
void workers_update_sched_probing(struct leader *l, uint32_t id);
/* Moves all workers away from an entry that drains. */
void workers_drain_home(struct leader *l, uint32_t entry);
struct leader_worker *workers_find(const struct leader *l, uint32_t id);

/* targets.c */
/* Updates the entries' shares of the workers' connections after the number of
 * entries or a share has changed. */
void targets_send_divisors(struct leader *l);
/* An entry has reported the divisor that it uses. */
void targets_divisor_acked(struct leader *l, struct client *c);
/* Notifies all entries that a service's task accepts calls, or (gone) that it
 * no longer does. */
void targets_changed(struct leader *l, const struct cell_job *job,
    uint32_t task, uint32_t worker, bool gone);
/* Sends all targets to an entry that has joined. */
void targets_push_all(struct leader *l, struct client *c);
/* Sends all entries the targets of a worker whose state has changed. */
void targets_worker_changed(struct leader *l, const struct cell_worker *w);

/* observe.c */
/* Hash of team and job name, the key for lib/learn and lib/health. */
uint64_t observe_name_hash(const struct cell_spec *spec);
void observe_attempt_ended(struct leader *l, const struct cell_job *job,
    const struct leader_attempt *a, enum cell_end how);
void observe_usage(struct leader *l, const struct usage_report *report);
/* Finds stalled jobs and workers whose probe is due. */
void observe_scan(struct leader *l, int64_t now);

/* reports.c: JSON bodies of replies; free with g_free(). */
char *reports_status(struct leader *l);
char *reports_nodes(struct leader *l);
char *reports_config(struct leader *l);
/* NULL if the id is malformed or no span of the trace is stored. */
char *reports_trace(struct leader *l, const char *id);
char *reports_config_reply(const struct cell_result *result);
char *reports_announce_reply(struct leader *l, const struct cell_worker *worker,
    const struct cell_entry *home);

#endif
