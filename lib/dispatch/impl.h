/* Declarations shared by the files of lib/dispatch. */
#ifndef DISPATCH_IMPL_H
#define DISPATCH_IMPL_H

#include <string.h>

#include "cost.h"
#include "dispatch.h"
#include "httpd.h"
#include "logs.h"
#include "plan.h"
#include "share.h"

#define SCAN_MS 50 /* interval of the periodic scans */
#define ORDER_CONNECTIONS 3 /* for orders to one worker */

/* Leases. A worker's clock may be slow by this much. */
#define CLOCK_DRIFT_PERMILLE 25
#define LEASE_MS 4500 /* outlasts an election after the loss of a leader */
#define POLL_IDLE_MS 1000 /* longest wait of a poll at an idle worker */
#define POLL_BUSY_MS 600 /* ... and at a worker with assigned runs */
#define POLL_SLACK_MS 350 /* beyond the wait, before a poll times out */
#define ORDER_TIMEOUT_MS 250 /* then it is resent; an answer takes 10 ms */
#define CONTACT_MAX_AGE_MS 1400 /* no new work if the last answer is older */
/* Workers in a policy query, as assumed for a job's objective. */
#define OBJECTIVE_QUERY_WORKERS 30
/* How long leadership is certain after a confirmed heartbeat was sent:
 * below the shortest election time-out of a cellnode's replicas, 10 ticks of
 * 40 ms. */
#define LEADERSHIP_MS 350

enum run_state {
	RUN_PROPOSED, /* its resources are reserved */
	RUN_ORDERED, /* committed; the start order is or will be sent */
	RUN_ACCEPTED, /* the worker has it, or had it */
	RUN_ENDING /* its end is proposed */
};

/* A run that is assigned to a worker, or proposed to be. */
struct active_run {
	struct flow_run id;
	struct holder *holder;
	enum run_state state;
	struct resources resources;
	struct organisation *organisation; /* NULL: none */
	uint32_t suspicion; /* flow_task_suspicion() when it was assigned */
	bool long_running; /* its step is */
	bool ordered; /* has started, or may have */
	bool stopping; /* it has to be stopped */
	bool order_pending; /* an order about it is in flight */
	bool waits_turn; /* for a connection to send its start order */
	bool may_start; /* a start order that got no answer may take effect */
	/* The incarnation after that of its worker where it was stopped, and
	 * when that was accepted; 0: not yet. See successors.c. */
	uint32_t stopped_at;
	int64_t stopped_at_ms;
	int64_t stray_ms; /* when another worker last reported it as running */
	int64_t accepted_ms; /* when the worker was last known to have it */
	int64_t resend_ms; /* when to send its order again; 0: none to send */
	int tries;
	int64_t started_ms;
	/* Learnt run time multiplier of its worker, in a gang of the slowest
	 * one, relative to the mean of all workers; 1: not in effect. */
	double multiplier;
	int64_t percent; /* its last known progress ... */
	int64_t progress_ms; /* ... and when that last changed */
	uint64_t last_poll; /* serial of the last poll that reported it */
	char *checkpoint; /* the newest one reported ... */
	int64_t checkpoint_ms; /* ... and when; 0: none yet */
	char *permit;
};

/* Metrics of an organisation, or of all that have none of their own. */
struct organisation_meters {
	char *name;
	char *labels;
	struct counter *running;
	struct counter *waiting;
	struct counter *refused;
	struct counter *cap;
	struct counter *entitlement;
};

/* An organisation that has runs or waiting steps. */
struct organisation {
	char *name;
	struct resources cap; /* in the current configuration; 0: no limit */
	double weight; /* in the same; 1 if it is not there */
	guint runs; /* from the proposal of a start to its committed end */
	struct resources used; /* by these ... */
	struct resources long_running; /* ... by those that do not end ... */
	struct resources ordered; /* ... by those that may have started ... */
	struct resources stopping; /* ... and by those that are to stop */
	struct share_bucket bucket; /* of the jobs that it sends */
	struct organisation_meters *meters;
	uint64_t round; /* the last one with a waiting step of it; there: */
	struct resources claimed; /* for steps about to start */
	bool held; /* a step waits for the cap: less urgent ones don't start */
	bool lacks_room; /* a step found no room on the workers */
	guint waiting; /* steps */
	uint64_t search; /* for runs to preempt, that this is for: */
	struct resources offered; /* by runs that may be stopped */
};

/* A worker that may hold a lease, and the connections to it. */
struct holder {
	struct dispatch *d;
	uint32_t id;
	char *name;
	char *address;
	int64_t started_ms;
	struct http_peer *poll_peer;
	struct http_peer *order_peer[ORDER_CONNECTIONS];
	bool polling; /* a poll is in flight */
	int64_t poll_sent_ms;
	int64_t reported_ms; /* when the last poll with a report was sent */
	int64_t poll_due_ms;
	int64_t clock_ms; /* the worker's clock in its last answer ... */
	int64_t clock_at_ms; /* ... and when that came, on our clock */
	int64_t lease_until_ms; /* on the worker's clock; 0: none granted */
	int64_t prior_lease_ms; /* end of leases that earlier leaders granted */
	/* Until then it may get leases that were granted to the incarnation
	 * before; 0: there was none. */
	int64_t carried_until_ms;
	int64_t dead_ms; /* when its end became known */
	bool polled; /* has answered a poll in this term */
	bool poll_failed; /* did not answer the last poll */
	bool unreachable; /* an order could not be sent since its last answer */
	bool deregistered; /* has left, or an earlier incarnation has */
	bool fenced; /* knows a higher fence than this leader's */
	bool dead; /* this incarnation is over */
	bool succeeded; /* another incarnation has answered in its place */
	/* Of all calls to it: they name the worker, not the incarnation. */
	const char *headers[3];
	struct http_greeting greeting; /* tells the incarnation */
	bool has_strays; /* its last report listed runs not assigned to it */
	bool removing; /* its removal is proposed */
	bool lease_expired; /* it certainly runs nothing any more */
	uint32_t lost_runs; /* with that lease */
	uint64_t acked; /* ended runs up to this number are durable ... */
	uint64_t acked_sent; /* ... as the last poll says ... */
	uint64_t acked_known; /* ... and as the worker knows */
	uint64_t proposed_end; /* ended runs up to this number are proposed */
	bool ends_pending; /* that proposal isn't applied yet */
	bool slow; /* by its learnt speed, as logged */
	uint64_t polls; /* serial of the last poll */
	int64_t answered_ms; /* time of its last answer; 0: none yet */
	int64_t closed_ms; /* when it last closed a poll's connection */
	int64_t heartbeat_ms; /* time of its last heartbeat */
	int64_t heartbeat_seq;
	int64_t draining_ms; /* since when it drains; 0: it doesn't */
	struct resources used; /* by runs that are assigned or proposed */
	/* The step that the worker's free resources are reserved for until
	 * reserved_until_ms, while the runs preempted for it are ending;
	 * job 0: none. */
	struct flow_run reserved_for;
	int64_t reserved_until_ms;
	GPtrArray *runs; /* struct active_run */
	uint32_t suspects; /* of these, how many are suspected of crashes */
	struct round_worker *in_round; /* during a placement round, or NULL */
	int64_t restarted_ms; /* after a crash of the one before; 0: none */
	double slowdown; /* run time multiplier, measured ... */
	int64_t slowdown_ms; /* ... at this time */
	/* Learnt run time multiplier relative to the mean of all workers; 1
	 * while learnt speeds are not in effect. */
	double multiplier;
	int64_t excluded_until_ms; /* gets no new work until then */
	struct plan_failure_record failures;
	int64_t failed_ms; /* when a run last failed there */
	uint32_t unreadable_rows; /* in its last report */
	uint64_t ignored_end; /* number of the last end that was; 0: none */
};

/* Workers are reserved for a step until this time. */
struct reservation {
	struct flow_run step; /* job, occurrence and step only */
	int64_t until_ms;
};

/* What rounds remember of a step that waits: what the policy service has
 * answered, when what failed is tried again, and what was logged. Steps without
 * a policy service have one too. */
struct step_permits {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	GHashTable *permits; /* worker id to struct permit */
	GHashTable *denied; /* ids of workers that may not run the step */
	GPtrArray *queries; /* struct step_query: those in flight */
	GHashTable *queried; /* ids of the workers that these name */
	int64_t retry_ms; /* no new query before this time */
	int64_t review_ms; /* nor, while some are in flight, before this one */
	int64_t learn_ms; /* nor, to learn what is allowed, before this one */
	int64_t passed_over_ms; /* since when only the reserve is idle, or 0 */
	uint32_t ahead; /* how often it was queried for before it was ready */
	int64_t preempt_retry_ms; /* no search for runs to preempt before */
	bool share_wait_logged; /* that it waits for its share */
	int64_t apart_since_ms; /* when tasks began to wait for workers apart
				   from other runs; 0: they don't */
	int64_t aged_ms; /* cell time at which it last went first, or 0 */
	bool cap_wait_logged; /* that it waits for the cap */
	bool fast_wait_logged; /* that it waits for fast workers */
	/* Of a long-running step, see retries.c; NULL: none. */
	GArray *retries; /* struct retry, by the index of the task */
	GHashTable *failed_on; /* ids of workers */
};

/* A query in flight for a step. */
struct step_query {
	uint64_t query;
	uint64_t process;
	GArray *workers; /* uint32_t: ids of the workers that it names */
};

struct permit {
	char *text; /* NULL: allowed, but the permit has to be renewed */
	int64_t until_ms;
};

/* A process that can query the policy service. */
struct policy_process {
	uint64_t process;
	uint64_t query; /* in flight; 0: none */
	int64_t since_ms; /* when that was sent */
	int64_t due_ms; /* when that times out */
	int64_t backoff_until_ms; /* not used until then, after a failure */
};

/* A proposed command, with what to do once it is applied. */
struct proposal {
	uint64_t index;
	uint64_t process;
	uint64_t request;
	uint64_t job;
	uint32_t holder; /* id of the worker that reported the ended runs */
	uint64_t number; /* highest number (agent_end) of those runs */
	char *worker; /* name in a heartbeat, or NULL ... */
	int64_t started_ms; /* ... the start of its incarnation ... */
	int64_t seq; /* ... and the number of the heartbeat */
	int64_t received_ms;
	GArray *starts; /* struct flow_start that were proposed, or NULL */
	void (*fn)(struct dispatch *d, struct proposal *p,
	    enum flow_apply_result outcome);
};

struct meters {
	struct counter *accepted;
	struct counter *refused;
	struct counter *refused_by_cap;
	struct counter *unauthenticated;
	struct counter *used_permille;
	struct counter *refused_remembered;
	struct counter *starts;
	struct counter *stops;
	struct counter *lost;
	struct counter *failed;
	struct counter *checkpoints_dropped;
	struct counter *resends;
	struct counter *polls;
	struct counter *policy_queries;
	struct counter *policy_queries_ahead;
	struct counter *running;
	struct counter *waiting;
	struct counter *workers;
	struct counter *slow_workers;
	struct counter *speed_spread;
	struct timer *start_delay;
	struct timer *commit;
	struct timer *policy_query;
	struct timer *round;
};

/* Tables live as long as this replica leads, unless noted. */
struct dispatch {
	struct dispatch_conf conf;
	const struct dispatch_ops *ops;
	void *arg;
	struct event *timer;
	struct event *round_event;
	bool round_scheduled;
	struct meters meter;
	bool active; /* this replica leads */
	bool speeds_in_effect; /* learnt speeds; see speeds.c */
	uint64_t term;
	int64_t lead_ms; /* when leadership began */
	GHashTable *holders; /* worker id to struct holder */
	GHashTable *addresses; /* to the struct holder started last there */
	/* Name of a worker to int64_t time until which a call for an
	 * incarnation that is over may reach the next one. */
	GHashTable *carried;
	GHashTable *runs; /* set of struct active_run, by task */
	GHashTable *organisations; /* name to struct organisation */
	/* Until then shares decide the order. */
	int64_t contended_until_ms;
	GHashTable *step_permits; /* set of struct step_permits, by step */
	GHashTable *proposals; /* log index to struct proposal */
	/* struct policy_process; not cleared when leadership is lost */
	GPtrArray *policy_processes;
	uint64_t last_query;
	GQueue reads; /* struct pending_read, until leadership is confirmed */
	GQueue state_requests; /* struct state_request */
	uint64_t context; /* of the last confirmation requested */
	int64_t context_sent_ms; /* boot clock */
	bool confirming;
	/* Until this time of the boot clock leadership is certain. */
	int64_t leader_until_ms;
	GHashTable *started_jobs; /* ids of open jobs that have run */
	GHashTable *estimates; /* queue name to struct plan_estimate */
	double fast_multiplier; /* of the fast tenth; 1: not in effect */
	double spread; /* of the slow tenth relative to the fast one */
	int64_t speeds_ms; /* when the speeds were last updated */
	GHashTable *allowed; /* queue name to struct plan_allowed */
	GHashTable *racks; /* rack name to number */
	GArray *reservations; /* struct reservation, most of them not over */
	int64_t ahead_ms; /* when steps to query ahead for were last sought */
	int64_t brief_query_ms; /* when a brief query was last wanted */
	/* The next two are used only with the setting overload=yield. */
	GHashTable *admits; /* pool name to struct admit */
	GHashTable *job_rates; /* organisation to struct job_rate */
	struct flow_run aged_step; /* goes first, see mark_aged() */
	int64_t aged_ms; /* since when */
	int64_t preempt_ms; /* when runs were last considered to preempt */
	int64_t round_ms; /* start of the last placement round ... */
	int64_t round_duration_us; /* ... and how long it took */
	uint64_t rounds; /* since the last load log line */
	int64_t rounds_us; /* time that these took */
	int64_t removed_ms; /* when old job records were last removed */
	int64_t load_logged_ms;
	guint shared_workers; /* that isolated runs share, as logged */
	uint64_t last_round; /* number of the last placement round */
	struct resources available; /* capacity of its workers ... */
	double weights; /* ... and of the organisations that had work then */
	uint64_t last_search; /* for runs to preempt */
	GPtrArray *organisation_meters; /* kept when leadership is lost */
	int64_t organisations_logged_ms;
};

/* dispatch.c */
int64_t boot_ms(void); /* also advances while the VM is suspended */
/* Returns the log index, 0 if not leading. */
uint64_t dispatch_propose(struct dispatch *d, struct flow_cmd *cmd);
/* Proposes a command and calls fn once it is applied; NULL if not leading. */
struct proposal *dispatch_propose_then(struct dispatch *d, struct flow_cmd *cmd,
    void (*fn)(struct dispatch *, struct proposal *, enum flow_apply_result));
/* Says whether orders may be sent: leadership is certain. */
bool dispatch_may_act(const struct dispatch *d);
/* Leadership is not certain until a confirmation that is requested from now on.
 */
void dispatch_doubt_leadership(struct dispatch *d);
void dispatch_schedule_round(struct dispatch *d);
/* A run as logs name it: JOB.OCCURRENCE.STEP.INDEX/NUMBER; static storage. */
const char *run_name(const struct flow_run *id);

/* runs.c */
/* Finds the active run of a task, whatever its run number. */
struct active_run *
run_find(const struct dispatch *d, const struct flow_run *id);
struct active_run *run_add(struct dispatch *d, struct holder *h,
    const struct flow_run *id, const struct flow_step *step);
/* What a task of the step takes from its worker's capacity. */
struct resources run_resources(const struct flow_step *step);
void run_remove(struct active_run *r);
void run_start(struct active_run *r); /* sends the start order */
void run_stop(struct active_run *r); /* sends a stop order */
/* Sets when to send the next order about a run, later after each try. */
void run_schedule_resend(struct active_run *r);
/* Records that a worker has accepted a run: REQUEST_COUNT no longer counts its
 * job as waiting. */
void run_mark_started(struct dispatch *d, const struct flow_run *id);
/* Sends a stop order for a run of another, earlier incarnation. */
void run_stop_at(struct active_run *r, struct holder *successor);
/* Stops a run on a worker that the replicated state doesn't assign to it. */
void run_stop_unassigned(struct holder *h, const struct flow_run *id);
/* How a run ends that is lost with its worker. */
enum flow_end_outcome run_lost_outcome(const struct active_run *r);
/* Proposes the ends (struct flow_end) of runs; returns the log index or 0. */
uint64_t runs_end(struct dispatch *d, GArray *ends);
void
run_end(struct active_run *r, enum flow_end_outcome outcome, const char *why);
void runs_scan(struct dispatch *d, int64_t now);
guint run_hash(gconstpointer p);
gboolean run_equal(gconstpointer a, gconstpointer b);
void run_free(void *arg);

/* holders.c */
struct holder *holder_find(const struct dispatch *d, uint32_t id);
void holders_load(struct dispatch *d);
void holder_changed(void *arg, uint32_t worker);
void holder_free(void *arg);
void holders_scan(struct dispatch *d, int64_t now);
/* Marks the incarnation as over and proposes the end of its runs. */
void holder_declare_dead(struct holder *h, const char *why);
/* Asks a worker at once, on a new connection, whether it is still there. */
void holder_check_presence(struct holder *h);
/* Returns the worker that started last at the address, or NULL. */
struct holder *holder_latest_at(const struct dispatch *d, const char *address);
/* Whether a worker may get new work. */
enum holder_state {
	HOLDER_AVAILABLE,
	HOLDER_LEAVING, /* its incarnation is over, or about to be */
	HOLDER_DRAINING,
	HOLDER_SILENT, /* has not answered lately */
	HOLDER_EXCLUDED /* for a time, after failures or faults */
};
enum holder_state holder_state(const struct holder *h, int64_t now);
/* Says whether the worker may get new work. */
bool holder_available(const struct holder *h, int64_t now);
/* Returns how many tasks the worker may get now, whatever its resources. */
uint32_t holder_task_limit(const struct holder *h, int64_t now);
/*
 * Returns a new connection. Calls name the worker, not its incarnation: on each
 * connection the right one has to answer a greeting before orders, leases or
 * acknowledgements are sent.
 */
struct http_peer *holder_connect(struct holder *h);
/* Returns the connection that has the fewest orders in flight. */
struct http_peer *holder_order_connection(struct holder *h);
/* Says whether a report is one of this incarnation. If another one listens at
 * its address, it is over. One that doesn't say of which it is says nothing. */
bool holder_is_own_report(struct holder *h, const struct agent_report *report);
/* Handles results that concern the worker rather than the order: a higher
 * fence or another incarnation. Returns false for all other results. */
bool holder_handle_result(struct holder *h, enum agent_result result);

/* successors.c */
/* Says whether a run of an incarnation that is over may start, or be running,
 * at the next one; has it stopped there. */
bool successor_may_run(struct active_run *r, int64_t now);
/* Handles the answer of an incarnation to a stop order for a run of an earlier
 * one. successor: NULL if its record has been removed. */
void successor_answered(
    struct active_run *r, struct holder *successor, enum agent_result result);
/* Says whether h is a later incarnation of a worker that is over. */
bool holder_succeeds(const struct holder *h, const struct holder *over);

/* leases.c */
/* Says whether an answer with this clock can be one of the incarnation. */
bool holder_is_own_clock(const struct holder *h, int64_t clock_ms, int64_t now);
/*
 * Returns and records the end, on the worker's clock, of a lease that is sent
 * now; 0: none can be granted. If the last poll failed the lease is not
 * extended.
 */
int64_t holder_extend_lease(struct holder *h, int64_t now);
void holder_set_clock(struct holder *h, int64_t clock_ms, int64_t now);
/* Returns the time, on our clock, at which all leases of this incarnation have
 * certainly expired. */
int64_t holder_leases_end_ms(const struct holder *h);
/* The longest time on our clock that a span on a worker's clock can take. */
int64_t lease_longest_ms(int64_t ms);

/* polls.c */
/* Sends the next poll if it is due and none is in flight. */
void holder_poll(struct holder *h, int64_t now);

/* speeds.c */
struct round;
struct pending_step;
/* Updates the multipliers of all workers from the replicated state. */
void speeds_update(struct dispatch *d, int64_t now);
/* The same if it is due. */
void speeds_scan(struct dispatch *d, int64_t now);
/* Sets the multiplier of a new worker from its address. */
void speeds_init_holder(struct holder *h);
/* Starts the estimate of a queue from what earlier leaders have learnt. */
void speeds_init_estimate(
    struct dispatch *d, const char *queue, struct plan_estimate *estimate);
/* Sums up the fast workers of each pool for a round. */
void speeds_begin_round(struct round *rd);
/* Logs once that a gang waits for fast workers, if it does. */
void speeds_log_wait(const struct round *rd, const struct pending_step *p,
    const struct plan_request *request);
/* Sets what placement by expected end needs, if speeds are in effect. */
void speeds_describe_step(const struct round *rd, const struct pending_step *p,
    struct plan_request *request);

/* permits.c */
/* Returns NULL if nothing was recorded about the step yet. */
struct step_permits *step_permits_find(const struct dispatch *d,
    const struct flow_job *job, uint32_t occurrence, uint32_t step);
struct step_permits *step_permits_get(struct dispatch *d,
    const struct flow_job *job, uint32_t occurrence, uint32_t step);
/* A copy that shares the tables, which must not be changed through it. */
struct step_permits *step_permits_copy(const struct step_permits *s);
enum plan_permit
permit_state(const struct step_permits *s, uint32_t worker, int64_t until_ms);
/* The permit for a worker, or NULL if there is none or it expires soon. */
const char *
permit_find_valid(const struct step_permits *s, uint32_t worker, int64_t now);
/* Marks a permit that the worker has rejected as to be renewed. */
void
permit_expire(struct dispatch *d, const struct flow_run *id, uint32_t worker);
/* Says whether queries for the step could be sent now. */
bool permits_can_query(
    const struct dispatch *d, const struct step_permits *s, int64_t now);
/*
 * Queries the policy service about workers (struct plan_worker) with enough
 * free resources, in order, if that can help to place the step; by several
 * processes at a time if there are many workers to name. If partial is
 * set, it queries even if they don't suffice for the step, so that more
 * workers become known.
 */
void permits_query(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, bool partial,
    int64_t now);
/*
 * Queries for a step that is not ready yet; workers: those with the resources
 * that they will have then. Does so a limited number of times.
 */
void permits_query_ahead(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now);
bool permits_can_query_ahead(
    const struct dispatch *d, const struct step_permits *s, int64_t now);
/* Says whether there are processes to spare for queries ahead. */
bool permits_can_look_ahead(const struct dispatch *d, int64_t now);
/* How long a query for a step takes until its permits can be used. */
int64_t permits_ready_ms(const struct flow_queue *queue, bool gang);
/*
 * Queries about workers not known to be allowed, as if all their resources were
 * free, for a step that runs may be preempted for.
 */
void permits_query_unknown(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now);
/* Queries ahead for a gang that doesn't fit now, until enough workers are known
 * to be allowed. */
void permits_learn(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now);
/* Says whether a permit was issued for a worker, even if it has expired. */
bool permit_issued(const struct step_permits *s, uint32_t worker);
void permits_remove_job(struct dispatch *d, const struct flow_job *job);
void permits_scan(struct dispatch *d, int64_t now);
void step_permits_free(void *arg);
guint step_permits_hash(gconstpointer p);
gboolean step_permits_equal(gconstpointer a, gconstpointer b);

/* A step with tasks that could start now. */
struct pending_step {
	struct plan_pending plan;
	const struct flow_job *job;
	const struct flow_occurrence *occurrence;
	uint32_t step;
	struct organisation *organisation; /* NULL: there are none */
	uint32_t turn; /* of the round, see share_tasks_due() */
	bool tried; /* all that fits is placed, in this round */
	bool ahead; /* it will only be ready soon: query, don't place */
};

/* A worker that may get work in a placement round. */
struct round_worker {
	struct plan_worker plan; /* first: lib/plan gets a pointer to it */
	struct holder *holder;
	const struct flow_worker *worker;
	bool shared; /* isolated runs there are not kept from others */
	GArray *preemptible; /* struct preemptible; NULL: not computed yet */
};

/* The fast workers of a pool. */
struct fast_workers {
	const char *pool;
	struct resources free;
	struct resources capacity;
};

/* A placement round. */
struct round {
	struct dispatch *d;
	int64_t now; /* monotonic */
	int64_t cell_now; /* cell time, see flow.h */
	GPtrArray *workers; /* struct round_worker, by free millicpus */
	int preemptions_left; /* steps that runs may still be preempted for */
	GArray *pending; /* struct pending_step */
	bool look_ahead; /* whether steps that will be ready are sought */
	GArray *ahead; /* struct pending_step: those found */
	GArray *starts; /* struct flow_start */
	struct resources largest_free; /* per resource, over all workers */
	bool isolating; /* isolated runs keep others from some workers */
	GArray *fast; /* struct fast_workers, if learnt speeds are in effect */
	uint64_t serial; /* of the next pending step */
	uint64_t number; /* of this round */
	/* struct plan_worker: if not NULL, the placement is only tried, the
	 * workers chosen for tasks are added here, and nothing is recorded. */
	GPtrArray *picks;
};

/* What came of trying to place a step. */
struct round_trial {
	struct plan_request request; /* for the tasks left, or all of them */
	uint32_t tasks; /* that wait */
	uint32_t over_cap; /* of these, those that the cap has no room for */
	uint32_t left; /* of the others, those that no worker has room for */
	bool may_preempt; /* runs may be stopped for it */
};

/* Why a worker that may get work gets none of a step. */
enum candidate_obstacle {
	CANDIDATE_ALLOWED,
	CANDIDATE_OTHER_POOL,
	CANDIDATE_NO_LABEL,
	CANDIDATE_RESERVED, /* for another step */
	CANDIDATE_APART /* from the runs there, which may crash workers */
};

/*
 * How far a run is kept from those of other jobs. If a worker crashes, all
 * that ran there are suspects; the cause is found sooner, and with fewer
 * innocent runs lost, if suspects don't meet again.
 */
enum separation {
	SEPARATE_NONE,
	SEPARATE_ISOLATED, /* from isolated runs */
	SEPARATE_SUSPECTS, /* from all suspected runs */
	SEPARATE_ALL /* from all runs */
};

/* Which workers a task may be placed on. */
struct apartness {
	enum separation from;
	bool avoid_restarted; /* not on workers that have crashed lately */
	bool avoid_failed; /* not on workers on which the step has failed */
};

/* apart.c */
/* The separation that is tried first for a task. */
enum separation apart_wanted(const struct flow_task *task);
/* Limits in a round how much of each pool is kept from others by isolated runs.
 */
void apart_limit_isolation(struct round *rd);
/* Says whether a worker and its runs allow one of the job there. */
bool apart_allows(
    const struct holder *h, uint64_t job, struct apartness apart, int64_t now);
/* Says whether a task waits until it is known whether workers have crashed
 * under it. */
bool apart_holds_back(const struct round *rd, const struct flow_step *step,
    const struct flow_task *task);
/* Says whether a step may be placed with less separation than wanted, as it
 * has waited long enough for that. */
bool apart_may_relax(struct round *rd, const struct pending_step *p,
    enum separation wanted, enum separation less);
/* The least separation that a step may be placed with now. */
enum separation
apart_least(const struct round *rd, const struct pending_step *p);
/* Ends that waiting time. */
void apart_stop_waiting(const struct round *rd, const struct pending_step *p);

/* retries.c */
/* Records that a run of a long-running task has ended by itself. Returns how
 * much a failure counts against its worker. */
double retry_record_end(struct dispatch *d, const struct flow_job *job,
    const struct active_run *r, bool failed, int64_t now);
/* Says whether a task is not to be started again yet. */
bool retry_waits(const struct dispatch *d, const struct flow_job *job,
    uint32_t occurrence, uint32_t step, uint32_t index, int64_t now);
/* Says whether runs of a long-running step have failed early since one of them
 * has lasted: on any worker, on this one. */
bool retry_has_failed(const struct round *rd, const struct pending_step *p);
bool retry_has_failed_on(const struct round *rd, const struct pending_step *p,
    const struct holder *h);

/* round.c */
void round_run(struct dispatch *d, int64_t now);
/* Starts a round that round_clear() ends, and collects its workers. */
void round_init(struct round *rd, struct dispatch *d, int64_t now);
void round_collect(struct round *rd);
void round_clear(struct round *rd);

/* pending.c */
/* Adds the steps with tasks that could start now. */
void pending_collect(struct round *rd);
/* A step of an occurrence, as a round would place it. */
struct pending_step pending_step_of(struct round *rd,
    const struct flow_job *job, const struct flow_occurrence *occurrence,
    uint32_t step, const struct plan_pending *urgency);
/* Says whether a task is pending and its start isn't proposed already. */
bool task_waits(const struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence, uint32_t step, uint32_t index);
/* Counts the waiting tasks by the separation that they want; those of a gang
 * count for its most suspected member. Returns how many there are. */
uint32_t count_waiting(const struct round *rd, const struct pending_step *p,
    uint32_t count[SEPARATE_ALL + 1]);

/* order.c */
/* Sorts the steps that wait, once the round's workers are known. */
void order_steps(struct round *rd);

/* candidates.c */
/* Collects the workers that may get work in a round, those with most free
 * first. */
void candidates_collect(struct round *rd);
uint32_t rack_number(struct dispatch *d, const char *rack);
bool has_label(const struct flow_worker *w, const char *label);
enum candidate_obstacle
candidate_obstacle(const struct round *rd, const struct pending_step *p,
    struct apartness apart, struct holder *h, const struct flow_worker *w);
/* Orders workers (struct plan_worker) by free millicpus. */
void candidates_sort(GPtrArray *workers);
/* The workers (struct round_worker) that the step's constraints and its queue
 * allow, those with most free first. */
GPtrArray *candidates_allowed(
    struct round *rd, const struct pending_step *p, struct apartness apart);
/* Those of them that there is a valid permit for. */
GPtrArray *candidates_permitted(struct round *rd, const struct pending_step *p,
    const struct step_permits *permits, struct apartness apart);

/* place.c */
/* Places the tasks of a step, at most so many; queries the policy service and
 * preempts runs for those that find no room. */
void place_step(struct round *rd, struct pending_step *p, uint32_t due);
/* Tries to place a step. Takes what it would get from the resources of the
 * round's workers, and adds these workers to rd->picks. */
struct round_trial place_try(struct round *rd, const struct pending_step *p);

/* estimates.c */
/* Updates the run time estimates from a run that succeeded. */
void estimate_record_runtime(struct dispatch *d, const struct flow_job *job,
    const struct active_run *r, int64_t ran_ms);
/* Records a run's progress; stops a run that makes none, so that it restarts
 * on another worker. */
void
estimate_record_progress(struct active_run *r, int64_t percent, int64_t now);
/* The slowdown of a worker now: old measurements decay towards 1. */
double estimate_slowdown(const struct holder *h, int64_t now);
/* The objective of a job from acceptance to its end, in ms. */
int64_t estimate_objective_ms(struct dispatch *d, const struct flow_job *job);
/* The run time on a fast worker that a fraction of the tasks like those of a
 * job's step doesn't exceed; quantile 0.5: the expected one. */
int64_t estimate_runtime_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_step *step, double quantile);
/* The estimated run time of the longest chain of a job's steps, in ms. */
int64_t
estimate_critical_path_ms(struct dispatch *d, const struct flow_job *job);
/* The estimated time that a run still takes, in ms; where learnt speeds are in
 * effect the time after which most such runs have ended. */
int64_t estimate_run_remaining_ms(
    struct dispatch *d, const struct flow_job *job, const struct active_run *r);
/* The urgency of an occurrence: its objective and remaining work. */
struct plan_pending estimate_urgency(struct dispatch *d,
    const struct flow_job *job, const struct flow_occurrence *occurrence);

/* ahead.c */
/* Prepares a round to find steps to query for before they are ready. */
void ahead_init(struct round *rd);
/* Adds the steps of an occurrence that are expected to be ready soon. */
void ahead_add_steps(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *occurrence);
void ahead_query(struct round *rd, const struct pending_step *p,
    const struct plan_request *request);

/* preempt.c */
/* Says whether a run is one of a step; run number and task are ignored. */
bool step_has_run(const struct pending_step *p, const struct flow_run *id);
struct flow_run step_id(const struct pending_step *p);
void round_worker_free(void *arg);
/* Says whether a search for runs to preempt for a step is due in this round. */
bool preempt_may_search(struct round *rd, const struct pending_step *p);
/*
 * Preempts runs with time to spare for a step that has none, and reserves
 * their workers for it. workers: struct plan_worker that the step may use.
 */
void preempt_for_step(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, GPtrArray *workers,
    struct step_permits *permits);
/* Returns how many runs preempt_for_step() would stop. */
uint32_t preempt_try(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, const GPtrArray *workers,
    const struct step_permits *permits);
/* Says whether a worker is reserved for another step. */
bool preempt_reserved_for_other(
    const struct holder *h, const struct pending_step *p, int64_t now);
/* Ends the reservations of workers for a step, if there are any. */
void preempt_release_workers(struct dispatch *d, const struct pending_step *p);
/* Says whether workers are reserved for a step. */
bool preempt_has_reservation(struct round *rd, const struct pending_step *p);

/* organisations.c */
/* Returns the entry of an organisation, a new one if needed. NULL names work
 * that belongs to none, which has a weight of 1 and no cap. */
struct organisation *organisation_get(struct dispatch *d, const char *name);
void organisation_free(void *arg);
/* Takes caps from the configuration that was just applied. */
void organisations_config_changed(struct dispatch *d);
void organisations_remove_unused(struct dispatch *d, uint64_t round);
/* Count a run, that it has started or may have, and that it is over. */
void organisation_add_run(struct active_run *r, const struct flow_job *job,
    const struct flow_step *step);
void organisation_add_order(struct active_run *r);
void organisation_remove_run(struct active_run *r);
/* Says whether a run fits under the cap of its organisation beside all runs
 * that have started or may have. */
bool organisation_allows_order(const struct active_run *r);
/* The organisation of a job with a waiting step; NULL if there are none in the
 * configuration. */
struct organisation *
organisation_in_round(struct round *rd, const struct flow_job *job);
/* How many of the requested tasks may start under the cap. */
uint32_t organisation_room(
    const struct organisation *o, const struct plan_request *request);
/* Prepares the shares of a round, once its steps and workers are known. */
void organisations_prepare(struct round *rd);
/* How many tasks of a step may start in a turn of the round. */
uint32_t organisation_due(
    const struct round *rd, const struct pending_step *p, uint32_t turn);
/* Records that tasks of a step found no room on the workers. */
void organisation_lacks_room(struct round *rd, const struct pending_step *p);
/*
 * Says whether a run may be stopped for an on-time step; has_time: it still
 * ends on time. In one search no more runs are offered than the organisation
 * has above its entitlement.
 */
bool organisation_may_preempt(struct round *rd, const struct pending_step *p,
    struct active_run *r, bool has_time);
/* Counts that a run is to stop. */
void organisation_stop_run(struct active_run *r);
/* Counts a job that an organisation sends. Returns the delay after which to
 * retry if it is to be refused, else 0. path: for the log. */
int64_t
organisation_refuse_ms(struct dispatch *d, const char *name, const char *path,
    const struct flow_queue *queue, const struct flow_spec *spec);
/* Updates the metrics and logs the load of each organisation. */
void organisations_report(struct dispatch *d, int64_t now);
void organisation_meters_free(void *arg);
/* Records that tasks of a step wait for the cap. placeable: the workers would
 * have room for them if nothing else ran. */
void organisation_step_waits(struct round *rd, const struct pending_step *p,
    const struct plan_request *request, bool placeable);
/*
 * Keeps room under the cap for a step that is about to start. Otherwise less
 * urgent work takes it while the policy service is queried, or while preempted
 * runs end, and the step has to start over.
 */
void
organisation_claim(struct organisation *o, const struct plan_request *request);
/* Why a job can never start under the cap, and which step; NULL if it can. */
const char *organisation_misfit(const struct flow_organisation *o,
    const struct flow_spec *spec, uint32_t *step);

/* admission.c */
void admission_lead(struct dispatch *d);
void admission_resign(struct dispatch *d);
/* Records the load that a round has found. */
void admission_update(struct round *rd);
/* What lib/cost needs to know about the job of a step that waits for work. */
struct cost_job admission_cost_job(
    const struct round *rd, const struct pending_step *p, int64_t work);
/* Decides on a job that is not known yet; returns 0 to accept it, or the time
 * after which its caller should return. */
int64_t admission_retry_ms(struct dispatch *d, const struct flow_queue *q,
    uint64_t id, const struct flow_spec *spec, const char *organisation);

struct admit_decision;
/* The same without recording anything; out: what it rests on. Returns the part
 * of the job's value that its organisation is entitled to, in permille. */
uint32_t admission_ask(struct dispatch *d, const struct flow_queue *q,
    uint64_t id, const struct flow_spec *spec, const char *organisation,
    struct admit_decision *out);

/* explain.c */
/* A job to explain. */
struct explain_request {
	const struct flow_queue *queue;
	uint64_t id; /* 0: not named */
	const struct flow_job *known; /* NULL: not accepted yet */
	bool proposed; /* its submission is, so it can't be refused */
	bool unauthenticated; /* it would be refused for its key */
	const struct flow_spec *spec;
	const struct flow_organisation *owner; /* NULL: none */
	const char *fingerprint; /* of its key */
};
/* Says in JSON what a submission would come to now. Changes nothing. */
char *explain_job(struct dispatch *d, const struct explain_request *r);

/* requests.c */
/* To a job that doesn't fit under a cap: until an operator raises that. */
#define RETRY_CAP_MS 5000
void requests_handle(
    struct dispatch *d, uint64_t process, const struct request *req);
/* Answers the reads that waited for a confirmation of leadership. */
void requests_read_done(struct dispatch *d, bool ok);
void requests_drop(struct dispatch *d);
/* Answers the state requests for a job that has ended. */
void state_requests_job_ended(struct dispatch *d, const struct flow_job *job);
/* Answers the state requests that have waited long enough. */
void state_requests_scan(struct dispatch *d, int64_t now);

#endif
