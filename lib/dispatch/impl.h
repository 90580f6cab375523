/* Shared by the files of the dispatch library. */
#ifndef DISPATCH_IMPL_H
#define DISPATCH_IMPL_H

#include <string.h>

#include "dispatch.h"
#include "httpd.h"
#include "logs.h"
#include "plan.h"

#define SCAN_MS 50 /* periodic look at leases, queries and occurrences */
#define ORDER_LINES 3 /* connections for orders to one worker */

/* Leases, in ms. A worker's clock may be this much slow, in thousandths. */
#define DRIFT_PERMILLE 25
#define LEASE_MS 4500 /* outlives an election after a lost leader */
#define LOOK_WAIT_MS 1000 /* a look that shows no end is answered by then */
#define LOOK_BUSY_MS 600 /* so does one at a worker that runs something */
#define LOOK_SLACK_MS 350 /* beyond that it counts as unanswered */
#define ORDER_MS 250 /* an answer takes 10 ms; then it is sent again */
#define PERMIT_WORKERS 30 /* that an objective counts a query with */
#define STALE_MS 1400 /* no new work without an answer for so long */
/* Leadership holds so long after a confirmed round was sent: below the least
 * election time of a cellnode's replicas, 10 ticks of 40 ms. */
#define AUTHORITY_MS 350

enum run_state {
	RUN_PROPOSED, /* its room is reserved */
	RUN_ORDERED, /* committed; the start order is out or due */
	RUN_TAKEN, /* the worker has it, or had it */
	RUN_ENDING /* its end is proposed */
};

/* A run that is held, or about to be. */
struct lrun {
	struct flow_run of;
	struct holder *holder;
	enum run_state state;
	struct resources need;
	bool stopping; /* a stop is wanted */
	bool calling; /* an order about it is unanswered */
	bool unsure; /* a start order went unanswered */
	int64_t taken_ms; /* when the worker is known to have had it */
	int64_t again_ms; /* when to send its order again; 0: not due */
	int tries;
	int64_t started_ms;
	int64_t percent; /* of its work, as seen last ... */
	int64_t percent_ms; /* ... and since when it is that */
	uint64_t seen; /* serial of the last look that showed it */
	char *saved; /* newest checkpoint seen */
	char *permit;
};

/* A worker as the holder of a lease of ours, and our session with it. */
struct holder {
	struct dispatch *d;
	uint32_t id;
	char *name;
	char *address;
	int64_t born_ms;
	struct http_peer *look;
	struct http_peer *line[ORDER_LINES];
	bool looking;
	int64_t look_sent_ms;
	int64_t look_due_ms;
	int64_t clock_ms; /* its clock as it told last ... */
	int64_t clock_at_ms; /* ... and when that came in, by ours */
	int64_t granted_ms; /* end of its lease on its clock; 0: none by us */
	int64_t foreign_ms; /* an earlier leader's lease may last until then */
	bool held; /* has answered a look in this term */
	bool silent; /* did not answer the last look */
	bool left; /* has said goodbye */
	bool dead; /* this life is over */
	bool closing; /* its removal is proposed */
	bool lapsed; /* holds nothing, for certain */
	uint64_t taken; /* ends up to this number are durable */
	uint64_t proposed; /* ends up to this number are proposed */
	bool ends_due; /* that proposal isn't applied yet */
	uint64_t looks; /* serial of the last look */
	int64_t heard_ms; /* when it answered last; 0: not yet */
	int64_t beat_ms; /* when it spoke of itself last */
	int64_t beat_seq;
	struct resources used; /* by runs that are held or reserved */
	/* Kept free for one step until then, while runs that make way for it
	 * are stopping; job 0: none. */
	struct flow_run hold;
	int64_t hold_ms;
	GPtrArray *runs; /* struct lrun */
	double pace; /* learnt: how many times as long work takes here ... */
	int64_t pace_ms; /* ... when that was learnt */
	int64_t shun_ms; /* takes no new work until then */
	struct plan_doubt doubt;
	int64_t failed_ms; /* when a run failed there last */
};

/* A step that needs the policy service's word on workers. */
struct permit_set {
	uint64_t job;
	uint32_t round;
	uint32_t step;
	GHashTable *permits; /* worker id to struct permit */
	GHashTable *barred; /* ids of workers that are not allowed */
	GArray *asking; /* uint32_t: ids in the query in flight */
	uint64_t query; /* in flight; 0: none */
	int64_t again_ms; /* not to be asked for before */
};

struct permit {
	char *text; /* NULL: allowed, but the permit has to be renewed */
	int64_t until_ms;
};

/* A process that can consult the policy service. */
struct adviser {
	uint64_t process;
	uint64_t query; /* in flight; 0: none */
	int64_t since_ms;
	int64_t due_ms; /* no answer is expected after that */
	int64_t rest_ms; /* not used until then, after a failure */
};

/* What to do once a log position is applied. */
struct wait {
	uint64_t index;
	uint64_t process;
	uint64_t ask;
	uint64_t job;
	uint32_t holder; /* whose ends were proposed */
	uint64_t number; /* of the last of these ends */
	int64_t began_ms;
	GArray *starts; /* struct flow_start that were proposed, or NULL */
	void (*fn)(
	    struct dispatch *d, struct wait *w, enum flow_apply_result outcome);
};

struct meters {
	struct counter *accepted;
	struct counter *refused;
	struct counter *starts;
	struct counter *stops;
	struct counter *lost;
	struct counter *failed;
	struct counter *resends;
	struct counter *looks;
	struct counter *consults;
	struct counter *running;
	struct counter *waiting;
	struct counter *workers;
	struct timer *wait;
	struct timer *commit;
	struct timer *consult;
	struct timer *round;
};

struct dispatch {
	struct dispatch_conf conf;
	const struct dispatch_ops *ops;
	void *arg;
	struct event *timer;
	struct event *round;
	bool round_due;
	struct meters meter;
	bool active;
	uint64_t term;
	bool fenced; /* a worker knows a higher term */
	int64_t led_ms; /* when leadership began */
	GHashTable *holders; /* worker id to struct holder */
	GHashTable *runs; /* struct lrun, a set by task */
	GHashTable *sets; /* struct permit_set, a set by step */
	GHashTable *waits; /* log index to struct wait */
	GPtrArray *advisers; /* struct adviser; kept when not leading */
	uint64_t last_query;
	GQueue reads; /* struct pending_read, until leadership is confirmed */
	GQueue
	    watchers; /* struct watcher: callers that ask for a job's state */
	uint64_t context; /* of the last confirmation asked for */
	int64_t context_sent_ms; /* boot clock */
	bool confirming;
	int64_t authority_ms; /* boot clock: leadership holds until then */
	GHashTable *begun; /* ids of open jobs that a worker has begun */
	GHashTable *beliefs; /* queue name to struct plan_belief */
	GHashTable *racks; /* names to numbers */
	int64_t kept_ms; /* no worker is kept for a step beyond that */
	int64_t rounded_ms;
	int64_t round_took_us;
	int64_t swept_ms;
	int64_t load_ms; /* when the load was logged last */
};

/* dispatch.c */
int64_t boot_ms(void); /* also counts time that the VM was suspended */
uint64_t dispatch_propose(struct dispatch *d, struct flow_cmd *cmd);
/* Proposes and notes what is to be done then; NULL: not leading. */
struct wait *dispatch_propose_wait(struct dispatch *d, struct flow_cmd *cmd,
    void (*fn)(struct dispatch *, struct wait *, enum flow_apply_result));
/* Says whether orders may go out: leadership is confirmed. */
bool dispatch_may_act(const struct dispatch *d);
/* Asks for a placement round soon. */
void dispatch_dirty(struct dispatch *d);
/* A task as logs name it: JOB.ROUND.STEP.INDEX/RUN; static storage. */
const char *run_name(const struct flow_run *of);

/* runs.c */
struct lrun *run_find(const struct dispatch *d, const struct flow_run *of);
struct lrun *run_add(struct dispatch *d, struct holder *h,
    const struct flow_run *of, const struct resources *need);
void run_remove(struct lrun *r);
void run_start(struct lrun *r); /* sends the start order */
void run_stop(struct lrun *r); /* sends a stop order */
/* Notes that a worker has taken a run: its job waits no longer. */
void run_begun(struct dispatch *d, const struct flow_run *of);
/* Sends a stop of a run that the agreed state does not know there. */
void run_stop_stray(struct holder *h, const struct flow_run *of);
/* Proposes that runs have ended; how is given in each. */
uint64_t runs_end(struct dispatch *d, GArray *ends);
void run_end(struct lrun *r, enum flow_end_outcome how, const char *why);
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
/* The life has ended: nothing of it runs any more. */
void holder_dead(struct holder *h, const char *why);
/* Says whether new work may go there. */
bool holder_open(const struct holder *h, int64_t now);
/* How many tasks it may take now, whatever its room. */
uint32_t holder_most(const struct holder *h, int64_t now);
/*
 * The end of a lease that is sent now, on the worker's clock; noted. Not later
 * than before for a worker that is silent; 0: there is none to be had.
 */
int64_t holder_grant(struct holder *h, int64_t now);
void holder_clock(struct holder *h, int64_t clock_ms, int64_t now);
/* The connection with the fewest unanswered orders. */
struct http_peer *holder_line(struct holder *h);
/* Sends the next look as soon as it may be. */
void holder_look(struct holder *h, int64_t now);
/* Takes what an answer tells of the worker itself, a higher fence or another
 * life; false: it tells of what was asked for. */
bool holder_told(struct holder *h, enum agent_verdict v);

/* permits.c */
struct permit_set *permits_of(struct dispatch *d, const struct flow_job *job,
    uint32_t round, uint32_t step);
/* The permit for a worker that holds for a while, or NULL. */
const char *
permit_for(const struct permit_set *s, uint32_t worker, int64_t now);
/* The permit was refused by the worker. */
void
permit_void(struct dispatch *d, const struct flow_run *of, uint32_t worker);
/*
 * Asks about workers that have room (struct plan_room *), if it may help. With
 * learn it asks also if their room does not suffice, to know more of them.
 */
void permits_want(struct dispatch *d, struct permit_set *s,
    const struct plan_need *need, GPtrArray *rooms, bool learn, int64_t now);
/* Says whether a worker is known to be allowed, its permit valid or not. */
bool permit_known(const struct permit_set *s, uint32_t worker);
void permits_forget(struct dispatch *d, const struct flow_job *job);
void permits_scan(struct dispatch *d, int64_t now);
void permit_set_free(void *arg);
guint permit_hash(gconstpointer p);
gboolean permit_equal(gconstpointer a, gconstpointer b);

/* A claim with what it is about. */
struct claim {
	struct plan_claim plan;
	const struct flow_job *job;
	const struct flow_occurrence *round;
	uint32_t step;
};

/* A worker's room, with what else the round needs of it. */
struct place {
	struct plan_room room; /* first: plans see this part only */
	struct holder *holder;
	const struct flow_worker *worker;
	GArray *yields; /* struct yield, or NULL: not looked at yet */
};

/* What a placement round works on. */
struct round {
	struct dispatch *d;
	int64_t now; /* monotonic */
	int64_t cell_now; /* of the agreed state's clock */
	GPtrArray *rooms; /* struct place */
	int yields_left; /* claims that others may still make way for */
	GArray *claims; /* struct claim */
	GArray *starts; /* struct flow_start */
	struct resources most; /* largest free amounts of any one room */
	uint64_t serial;
};

/* round.c */
void round_run(struct dispatch *d, int64_t now);
/* Learns from a run that ended as done. */
void round_learn(struct dispatch *d, const struct flow_job *job,
    const struct lrun *r, int64_t ran_ms);
/* Notes a run's progress; one that stands still is moved. */
void round_progress(struct lrun *r, int64_t percent, int64_t now);
/* The objective of a job from acceptance to its end, in ms. */
int64_t round_objective_ms(struct dispatch *d, const struct flow_job *job);

/* How a job stands against its objective, from an occurrence's open steps. */
struct plan_claim round_standing(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *round);

/* yield.c */
void place_free(void *arg);
/*
 * Has runs with time to spare make way for a claim that has none; the rooms
 * are kept for it meanwhile. rooms: struct plan_room * that it may use.
 */
void yield_for(struct round *rd, const struct claim *c,
    const struct plan_need *need, GPtrArray *rooms, struct permit_set *set);
/* Says whether a worker is kept for another step. */
bool yield_kept(const struct holder *h, const struct claim *c, int64_t now);
void yield_done(struct dispatch *d, const struct claim *c);

/* asks.c */
void asks_take(struct dispatch *d, uint64_t process, const struct ask *ask);
void asks_confirmed(struct dispatch *d, bool ok);
void asks_drop(struct dispatch *d);
/* Answers those who wait for a job that is over now. */
void asks_job_over(struct dispatch *d, const struct flow_job *job);
void asks_scan(struct dispatch *d, int64_t now);

#endif
