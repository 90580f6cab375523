/* Shared by the files of the leader: leader.c, clients.c, requests.c,
 * orders.c, workers.c and reports.c. */
#ifndef LEADER_IMPL_H
#define LEADER_IMPL_H

#include "health.h"
#include "leader.h"
#include "learn.h"
#include "replica.h"
#include "sched.h"

/* A process that keeps a session with this leader. */
struct client {
	uint64_t serial; /* names it in waits that outlive it */
	struct link *link;
	char *name;
	char *address;
	char *region;
	char *data_center;
	uint64_t incarnation;
	bool entry;
	bool joined;
	uint32_t entry_id;
	bool draining;
	uint64_t config; /* version it has in force */
	GHashTable *shapes; /* jobs whose shape it has */
	uint64_t division; /* that it uses */
	uint64_t report_seq; /* newest report not yet granted */
	bool report_waits;
	int64_t heard_ms;
};

/* How long an entry may act on what it was told; kept after it is gone. */
struct lentry {
	uint32_t id;
	int64_t granted_until; /* certainly no renewal after this */
	bool gone_proposed;
	/* Part of the workers' connections that it may hold, 1 in division;
	 * 0: none. */
	uint64_t division;
	uint64_t pushed; /* the division it was told last */
};

struct lworker {
	uint32_t id;
	uint32_t home;
	uint64_t epoch;
	bool silent;
	int64_t lapsed_ms; /* when its session was over; 0: it is not */
	int64_t renewed_ms; /* no renewal was sent after this */
	bool probing; /* takes one task at a time */
	int64_t draining_ms; /* since when it leaves; 0: not */
	bool closing; /* a WORKER_STATE record is proposed */
	bool moving; /* a change of home is proposed */
};

/* An attempt that runs or may run. */
struct lattempt {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	uint32_t worker;
	bool confirmed; /* its worker has taken the start order */
	bool lost_proposed;
	int64_t assigned_us;
};

/* A proposal whose result somebody waits for. */
struct waiter {
	uint64_t index;
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

/* Tasks that wait out a back-off before they are offered again. */
struct delayed {
	uint64_t job;
	uint32_t first;
	uint32_t count;
	int64_t due_ms;
};

/* A read that waits for the confirmation of leadership. */
struct read_wait {
	uint64_t client;
	struct request request;
};

/* A job that waits or runs past its bound. */
struct stalled {
	uint64_t job;
	const char *reason;
	int64_t since_ms; /* waiting or running for so long */
};

struct leader {
	struct node *node;
	struct cell *cell; /* the replica's */
	struct event *timer;
	bool active;
	uint64_t term;
	int64_t offset_ms; /* cell time less monotonic time */
	struct rng rng;
	uint64_t next_serial;
	GPtrArray *clients; /* struct client */
	GHashTable *entries; /* entry id -> struct lentry */
	GHashTable *workers; /* worker id -> struct lworker */
	GHashTable *attempts; /* job and task -> struct lattempt */
	GHashTable *waiters; /* log index -> struct waiter */
	GQueue job_waits; /* struct job_wait */
	GQueue delays; /* struct delayed */
	GHashTable *traces; /* job id -> struct trace_context */
	GHashTable *deadlines; /* job id -> expire proposed */
	GPtrArray *reads_next; /* struct read_wait, for the next round */
	GPtrArray *reads_now; /* in flight, or NULL */
	uint64_t read_context;
	bool grants_due;
	struct sched *sched;
	struct learn *learn;
	struct health *health;
	GArray *stalled; /* struct stalled, of the last look */
	int64_t looked_ms;
	bool rebalance; /* an entry joined: homes may be better elsewhere */
	bool dirty; /* something changed that a placement round may use */
	GHashTable *teams; /* names to handles */
	GHashTable *racks;
	GHashTable *data_centers;
	GPtrArray *places; /* data centre names by handle */
};

/* leader.c */
int64_t leader_now(const struct leader *l); /* cell time */
/* Stamps, encodes and proposes; 0 if this replica leads no longer. */
uint64_t leader_propose(struct leader *l, struct cell_cmd *cmd);
/* The same, and calls fn with the result once it is applied. */
struct waiter *leader_propose_wait(struct leader *l, struct cell_cmd *cmd,
    void (*fn)(struct leader *, struct waiter *, const struct cell_result *));
struct config *leader_config(const struct leader *l);
uint32_t leader_handle(GHashTable *names, const char *name);

/* clients.c */
struct client *client_by_serial(struct leader *l, uint64_t serial);
struct client *client_by_entry(struct leader *l, uint32_t entry);
struct client *client_by_name(struct leader *l, const char *name);
void clients_push_config(struct leader *l);
void clients_send_grants(struct leader *l);
void clients_scan(struct leader *l, int64_t now);
void client_free(void *arg);
/* Takes json over; NULL stands for a plain "accepted". */
void client_reply(struct leader *l, uint64_t serial, uint64_t request,
    uint32_t status, char *json, uint32_t retry_after_s);

/* requests.c */
void
requests_take(struct leader *l, struct client *c, const struct request *req);
void requests_read_round(struct leader *l);
void requests_read_done(struct leader *l, bool ok);
void requests_job_ended(struct leader *l, uint64_t job);
/* Answers a draining process's waits with the jobs as they are. */
void requests_flush(struct leader *l, const struct client *c);
void requests_scan(struct leader *l, int64_t now);
void read_wait_free(void *arg);

/* orders.c */
void orders_load(struct leader *l);
void orders_watch(struct cell_watch *watch);
void orders_round(struct leader *l);
/* Says whether a round is due although nothing has changed. */
bool orders_due(const struct leader *l);
void orders_scan(struct leader *l, int64_t now);
void orders_resend(struct leader *l, struct client *c, uint32_t worker);
void orders_result(struct leader *l, const struct order_result *result);
void orders_lost(struct leader *l, const struct cell_job *job, uint32_t task);
struct lattempt *
orders_find(const struct leader *l, uint64_t job, uint32_t task);
/* A job has ended: its shape is of no more use to the homes. */
void orders_job_ended(struct leader *l, uint64_t job);
/* Says why a job waits: a stable word and a sentence (to be freed). */
const char *orders_why(struct leader *l, uint64_t job, char **message);

/* workers.c */
void workers_load(struct leader *l);
void workers_changed(void *arg, uint32_t worker);
void workers_entry_changed(void *arg, uint32_t entry, bool gone);
/* An entry's session came or went: its workers may or may not get work. */
void workers_home_link(struct leader *l, uint32_t entry);
void workers_push_all(struct leader *l, struct client *c);
void workers_health(
    struct leader *l, struct client *c, const struct health_report *report);
void workers_scan(struct leader *l, int64_t now);
/* Chooses a worker's home; 0 if no entry can be one. */
uint32_t workers_choose_home(struct leader *l, const char *name,
    const char *data_center, uint32_t avoid);
/* Mirrors a worker into the placement tables anew. */
void workers_mirror(struct leader *l, uint32_t id);
/* The same for one that is probed, after what it runs has changed. */
void workers_refresh(struct leader *l, uint32_t id);
/* Moves all workers away from an entry that drains. */
void workers_leave_home(struct leader *l, uint32_t entry);
struct lworker *workers_find(const struct leader *l, uint32_t id);

/* targets.c */
/* Divides the workers' connections anew among the entries. */
void targets_divide(struct leader *l);
/* An entry said which division it uses. */
void targets_divided(struct leader *l, struct client *c);
/* A service's task runs, or no longer takes calls. */
void targets_changed(struct leader *l, const struct cell_job *job,
    uint32_t task, uint32_t worker, bool gone);
/* Sends all targets to an entry that has joined. */
void targets_push_all(struct leader *l, struct client *c);
/* A worker's tasks take calls or, when it leaves, no longer. */
void targets_worker(struct leader *l, const struct cell_worker *w);

/* observe.c */
uint64_t observe_name(const struct cell_spec *spec);
/* An attempt has ended on a worker. */
void observe_ended(struct leader *l, const struct cell_job *job,
    const struct lattempt *a, enum cell_end how);
void observe_usage(struct leader *l, const struct usage_report *report);
/* Looks for jobs past their bounds and workers whose probe is due. */
void observe_scan(struct leader *l, int64_t now);

/* reports.c */
char *reports_status(struct leader *l);
char *reports_nodes(struct leader *l);
char *reports_config(struct leader *l);
/* NULL if the id is malformed. */
char *reports_trace(struct leader *l, const char *id);
char *reports_config_reply(const struct cell_result *result);
char *reports_announced(struct leader *l, const struct cell_worker *worker,
    const struct cell_entry *home);

#endif
