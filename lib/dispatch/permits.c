/* Queries to the policy service: which workers may run a step, until when. */
#include "impl.h"

#define QUERY_TIMEOUT_FACTOR 3 /* times the declared duration of a query */
#define QUERY_TIMEOUT_BASE_MS 400 /* added for network and a short queue */
#define QUERY_RETRY_MS 100 /* before a failed query is repeated */
#define PROCESS_BACKOFF_MS 400 /* no query by a process whose query failed */
#define PERMIT_MARGIN_MS 300 /* a permit is not used so near its expiry */
#define QUERY_OVERHEAD_MS 150 /* network and a placement round */
/* Interval of checks whether more queries are useful for a step that has some
 * in flight; an answer causes a check at once. */
#define QUERY_REVIEW_MS 50
/* How often a step is queried for before it is ready: predecessors may run much
 * longer than expected, and permits expire after a few seconds. */
#define QUERIES_AHEAD_MAX 2
#define LEARN_INTERVAL_MS 100 /* of checks which workers a gang may use */
/* Then a step may use one of the reserve. Sooner, the gangs that wait where the
 * policy service is the bottleneck leave none to short urgent steps. */
#define RESERVE_WAIT_MS 5000
#define SHORT_QUERY_WORKERS 10 /* that a query for single tasks names */
/* The reserve is kept for so long after a brief query was wanted. A new leader
 * learns of them in its first round, which asks for urgent steps first. */
#define RESERVE_UNUSED_MS 10000

guint
step_permits_hash(gconstpointer p)
{
	const struct step_permits *s = p;

	return (guint)(s->job ^ s->job >> 32) * 31 + s->occurrence * 31 +
	    s->step;
}

gboolean
step_permits_equal(gconstpointer a, gconstpointer b)
{
	const struct step_permits *x = a;
	const struct step_permits *y = b;

	return x->job == y->job && x->occurrence == y->occurrence &&
	    x->step == y->step;
}

static void
permit_free(void *arg)
{
	struct permit *p = arg;

	g_free(p->text);
	g_free(p);
}

static void
step_query_free(void *arg)
{
	struct step_query *q = arg;

	g_array_unref(q->workers);
	g_free(q);
}

void
step_permits_free(void *arg)
{
	struct step_permits *s = arg;

	g_hash_table_unref(s->permits);
	g_hash_table_unref(s->denied);
	g_ptr_array_unref(s->queries);
	g_hash_table_unref(s->queried);
	g_clear_pointer(&s->retries, g_array_unref);
	g_clear_pointer(&s->failed_on, g_hash_table_unref);
	g_free(s);
}

struct step_permits *
step_permits_find(const struct dispatch *d, const struct flow_job *job,
    uint32_t occurrence, uint32_t step)
{
	struct step_permits key = {
		.job = job->id, .occurrence = occurrence, .step = step
	};

	return g_hash_table_lookup(d->step_permits, &key);
}

struct step_permits *
step_permits_get(struct dispatch *d, const struct flow_job *job,
    uint32_t occurrence, uint32_t step)
{
	struct step_permits *s = step_permits_find(d, job, occurrence, step);

	if (s != NULL)
		return s;
	s = g_new0(struct step_permits, 1);
	s->job = job->id;
	s->occurrence = occurrence;
	s->step = step;
	s->permits = g_hash_table_new_full(NULL, NULL, NULL, permit_free);
	s->denied = g_hash_table_new(NULL, NULL);
	s->queries = g_ptr_array_new_with_free_func(step_query_free);
	s->queried = g_hash_table_new(NULL, NULL);
	g_hash_table_add(d->step_permits, s);
	return s;
}

struct step_permits *
step_permits_copy(const struct step_permits *s)
{
	struct step_permits *out = g_memdup2(s, sizeof(*s));

	if (out->retries != NULL)
		g_array_ref(out->retries);
	if (out->failed_on != NULL)
		g_hash_table_ref(out->failed_on);
	g_hash_table_ref(out->permits);
	g_hash_table_ref(out->denied);
	g_ptr_array_ref(out->queries);
	g_hash_table_ref(out->queried);
	return out;
}

const char *
permit_find_valid(const struct step_permits *s, uint32_t worker, int64_t now)
{
	struct permit *p =
	    g_hash_table_lookup(s->permits, GUINT_TO_POINTER(worker));

	return p != NULL && p->until_ms > now ? p->text : NULL;
}

bool
permit_issued(const struct step_permits *s, uint32_t worker)
{
	return g_hash_table_contains(s->permits, GUINT_TO_POINTER(worker));
}

void
permit_expire(struct dispatch *d, const struct flow_run *id, uint32_t worker)
{
	struct step_permits key = {
		.job = id->job, .occurrence = id->occurrence, .step = id->step
	};
	struct step_permits *s = g_hash_table_lookup(d->step_permits, &key);
	struct permit *p = s == NULL
	    ? NULL
	    : g_hash_table_lookup(s->permits, GUINT_TO_POINTER(worker));

	if (p != NULL)
		p->until_ms = 0;
}

static gboolean
is_of_job(gpointer key, gpointer value, gpointer arg)
{
	return ((struct step_permits *)key)->job == *(uint64_t *)arg;
}

void
permits_remove_job(struct dispatch *d, const struct flow_job *job)
{
	uint64_t id = job->id;

	g_hash_table_foreach_remove(d->step_permits, is_of_job, &id);
}

static struct policy_process *
find_process(const struct dispatch *d, uint64_t process)
{
	for (guint i = 0; i < d->policy_processes->len; i++) {
		struct policy_process *p = d->policy_processes->pdata[i];

		if (p->process == process)
			return p;
	}
	return NULL;
}

void
dispatch_process_changed(struct dispatch *d, uint64_t process, bool up)
{
	struct policy_process *p = find_process(d, process);

	if (up && p == NULL) {
		p = g_new0(struct policy_process, 1);
		p->process = process;
		g_ptr_array_add(d->policy_processes, p);
	} else if (!up && p != NULL) {
		/* permits_scan() ends a query that this process has in flight.
		 */
		g_ptr_array_remove_fast(d->policy_processes, p);
	}
}

static bool
is_idle(const struct policy_process *p, int64_t now)
{
	return p->query == 0 && p->backoff_until_ms <= now;
}

static struct policy_process *
idle_process(const struct dispatch *d, int64_t now)
{
	for (guint i = 0; i < d->policy_processes->len; i++)
		if (is_idle(d->policy_processes->pdata[i], now))
			return d->policy_processes->pdata[i];
	return NULL;
}

static uint32_t
count_idle(const struct dispatch *d, int64_t now)
{
	uint32_t idle = 0;

	for (guint i = 0; i < d->policy_processes->len; i++)
		idle += is_idle(d->policy_processes->pdata[i], now);
	return idle;
}

static struct plan_allowed *
allowed_of_queue(struct dispatch *d, const char *queue)
{
	struct plan_allowed *allowed = g_hash_table_lookup(d->allowed, queue);

	if (allowed != NULL)
		return allowed;
	allowed = g_new0(struct plan_allowed, 1);
	g_hash_table_insert(d->allowed, g_strdup(queue), allowed);
	return allowed;
}

/* How long the queue declares a query about so many workers to take. */
static int64_t
query_ms(const struct flow_queue *queue, guint workers)
{
	return (
	    int64_t)(queue->permit_call_ms + queue->permit_worker_ms * workers);
}

enum plan_permit
permit_state(const struct step_permits *s, uint32_t worker, int64_t until_ms)
{
	gpointer key = GUINT_TO_POINTER(worker);
	const struct permit *p = g_hash_table_lookup(s->permits, key);

	if (p != NULL)
		return p->until_ms > until_ms ? PLAN_PERMIT_VALID
					      : PLAN_PERMIT_EXPIRING;
	return g_hash_table_contains(s->denied, key) ? PLAN_PERMIT_DENIED
						     : PLAN_PERMIT_UNKNOWN;
}

static struct step_query *
find_query(const struct step_permits *s, uint64_t query)
{
	for (guint i = 0; i < s->queries->len; i++) {
		struct step_query *q = s->queries->pdata[i];

		if (q->query == query)
			return q;
	}
	return NULL;
}

static void
remove_query(struct step_permits *s, uint64_t query)
{
	struct step_query *q = find_query(s, query);

	if (q == NULL)
		return;
	for (guint i = 0; i < q->workers->len; i++)
		g_hash_table_remove(s->queried,
		    GUINT_TO_POINTER(g_array_index(q->workers, uint32_t, i)));
	g_ptr_array_remove_fast(s->queries, q);
	s->review_ms = 0;
}

/* Takes workers. */
static void
add_query(
    struct step_permits *s, uint64_t query, uint64_t process, GArray *workers)
{
	struct step_query *q = g_new0(struct step_query, 1);

	*q = (struct step_query){
		.query = query, .process = process, .workers = workers
	};
	for (guint i = 0; i < workers->len; i++)
		g_hash_table_add(s->queried,
		    GUINT_TO_POINTER(g_array_index(workers, uint32_t, i)));
	g_ptr_array_add(s->queries, q);
}

/* Sends a query about workers (ids, taken) by an idle process. */
static void
send_query(struct dispatch *d, struct step_permits *s, struct policy_process *p,
    const struct flow_queue *queue, GArray *workers, bool ahead, int64_t now)
{
	GPtrArray *names = g_ptr_array_new();
	struct agent_query q = {
		.job = s->job, .occurrence = s->occurrence, .step = s->step
	};
	uint64_t query = ++d->last_query;

	for (guint i = 0; i < workers->len; i++)
		g_ptr_array_add(names,
		    holder_find(d, g_array_index(workers, uint32_t, i))->name);
	g_ptr_array_add(names, NULL);
	q.workers = (char **)names->pdata;
	add_query(s, query, p->process, workers);
	p->query = query;
	p->since_ms = now;
	p->due_ms = now + QUERY_TIMEOUT_BASE_MS +
	    QUERY_TIMEOUT_FACTOR * query_ms(queue, workers->len);
	if (!d->ops->query_policy(d->arg, p->process, query, &q)) {
		p->query = 0;
		p->backoff_until_ms = now + PROCESS_BACKOFF_MS;
		remove_query(s, query);
	} else {
		d->meter.policy_queries->value++;
		d->meter.policy_queries_ahead->value += ahead;
		log_info("dispatch",
		    "event=consult query=%" G_GUINT64_FORMAT
		    " step=%016" G_GINT64_MODIFIER
		    "x.%u.%u workers=%u process=%" G_GUINT64_FORMAT
		    " concurrent=%u ahead=%d",
		    query, s->job, s->occurrence, s->step, names->len - 1,
		    p->process, s->queries->len, ahead);
	}
	g_ptr_array_unref(names);
}

/* Sends the selected candidates in so many calls. */
static void
send_queries(struct dispatch *d, struct step_permits *s, GPtrArray *workers,
    const struct plan_candidate *candidates, uint32_t calls, bool ahead,
    int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;

	for (uint32_t call = 1; call <= calls; call++) {
		struct policy_process *p = idle_process(d, now);
		GArray *ids;

		if (p == NULL)
			return;
		ids = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		for (guint i = 0; i < workers->len; i++) {
			const struct plan_worker *w = workers->pdata[i];

			if (candidates[i].call == call)
				g_array_append_val(ids, w->worker);
		}
		send_query(d, s, p, queue, ids, ahead, now);
	}
}

bool
permits_can_query(
    const struct dispatch *d, const struct step_permits *s, int64_t now)
{
	return s->queries->len < PLAN_QUERIES_MAX && now >= s->retry_ms &&
	    (s->queries->len == 0 || now >= s->review_ms) &&
	    idle_process(d, now) != NULL;
}

/* What is known about the workers that a query may name. */
static struct plan_candidate *
query_candidates(const struct step_permits *s,
    const struct plan_request *request, const GPtrArray *workers,
    int64_t until_ms)
{
	struct plan_candidate *candidates =
	    g_new0(struct plan_candidate, workers->len + 1);

	for (guint i = 0; i < workers->len; i++) {
		const struct plan_worker *w = workers->pdata[i];

		candidates[i].fits = plan_fit_count(w, request);
		candidates[i].permit = permit_state(s, w->worker, until_ms);
		candidates[i].in_flight = g_hash_table_contains(
		    s->queried, GUINT_TO_POINTER(w->worker));
	}
	return candidates;
}

int64_t
permits_ready_ms(const struct flow_queue *queue, bool gang)
{
	return QUERY_OVERHEAD_MS +
	    query_ms(
		queue, gang ? OBJECTIVE_QUERY_WORKERS : SHORT_QUERY_WORKERS);
}

/* Says whether a step has waited for more than the reserve long enough. */
static bool
is_passed_over(
    struct step_permits *s, const struct plan_query_limits *limits, int64_t now)
{
	if (limits->idle > plan_query_reserve(limits->processes))
		s->passed_over_ms = 0;
	else if (s->passed_over_ms == 0)
		s->passed_over_ms = now;
	return s->passed_over_ms != 0 &&
	    now - s->passed_over_ms > RESERVE_WAIT_MS;
}

static bool
is_brief(const struct flow_queue *queue)
{
	return query_ms(queue, SHORT_QUERY_WORKERS) <= PLAN_BRIEF_QUERY_MS;
}

/* Says whether brief queries were wanted lately. */
static bool
needs_reserve(const struct dispatch *d, int64_t now)
{
	return d->brief_query_ms != 0 &&
	    now - d->brief_query_ms <= RESERVE_UNUSED_MS;
}

/*
 * Sends the queries that are useful now; limits has partial and ahead set.
 * Permits that are valid after until_ms need no query. Returns the number of
 * calls.
 */
static uint32_t
query_step(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers,
    struct plan_query_limits limits, int64_t until_ms, int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;
	struct plan_candidate *candidates;
	uint32_t calls;

	if (!permits_can_query(d, s, now))
		return 0;
	limits.processes = d->policy_processes->len;
	limits.idle = count_idle(d, now);
	limits.in_flight = s->queries->len;
	limits.saturated = !limits.ahead && limits.idle * 2 <= limits.processes;
	if (is_brief(queue))
		d->brief_query_ms = now;
	limits.may_use_reserve = is_brief(queue) || !needs_reserve(d, now);
	limits.allowed_fraction =
	    plan_allowed_fraction(allowed_of_queue(d, queue->name));
	if (!limits.ahead)
		limits.passed_over = is_passed_over(s, &limits, now);
	candidates = query_candidates(s, request, workers, until_ms);
	calls = plan_select_queries(candidates, workers->len, request, &limits);
	send_queries(d, s, workers, candidates, calls, limits.ahead, now);
	s->review_ms = now + QUERY_REVIEW_MS;
	if (calls > 0)
		s->passed_over_ms = 0;
	g_free(candidates);
	return calls;
}

/* The members of a gang start together, after the answer: their permits have to
 * be valid then. */
static int64_t
needed_until_ms(const struct dispatch *d, const struct step_permits *s,
    const struct plan_request *request, int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;

	return request->gang ? now + permits_ready_ms(queue, true) : now;
}

void
permits_query(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, bool partial,
    int64_t now)
{
	(void)query_step(d, s, request, workers,
	    (struct plan_query_limits){ .partial = partial },
	    needed_until_ms(d, s, request, now), now);
}

bool
permits_can_look_ahead(const struct dispatch *d, int64_t now)
{
	return d->conf.queries_ahead &&
	    count_idle(d, now) >
	    plan_query_ahead_reserve(d->policy_processes->len);
}

bool
permits_can_query_ahead(
    const struct dispatch *d, const struct step_permits *s, int64_t now)
{
	/* Earlier steps of the round may have taken the processes to spare. */
	return s->ahead < QUERIES_AHEAD_MAX && s->queries->len == 0 &&
	    permits_can_look_ahead(d, now) && permits_can_query(d, s, now);
}

void
permits_query_ahead(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;

	if (permits_can_query_ahead(d, s, now) &&
	    query_step(d, s, request, workers,
		(struct plan_query_limits){ .ahead = true },
		now + permits_ready_ms(queue, request->gang), now) > 0)
		s->ahead++;
}

/* Copies of workers as if all their resources were free; without those that a
 * permit was issued for, if except is not NULL. */
static GPtrArray *
empty_workers(const GPtrArray *workers, const struct step_permits *except)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < workers->len; i++) {
		const struct plan_worker *w = workers->pdata[i];
		struct plan_worker *copy;

		if (except != NULL && permit_issued(except, w->worker))
			continue;
		copy = g_memdup2(w, sizeof(*w));
		copy->free = copy->capacity;
		g_ptr_array_add(out, copy);
	}
	return out;
}

void
permits_query_unknown(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now)
{
	GPtrArray *unknown = empty_workers(workers, s);

	permits_query(d, s, request, unknown, true, now);
	g_ptr_array_unref(unknown);
}

void
permits_learn(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, int64_t now)
{
	GPtrArray *empty;

	if (now < s->learn_ms || s->queries->len > 0 ||
	    !permits_can_look_ahead(d, now))
		return;
	s->learn_ms = now + LEARN_INTERVAL_MS;
	empty = empty_workers(workers, NULL);
	/* One task each, as later few of the allowed workers will have room. */
	for (guint i = 0; i < empty->len; i++)
		((struct plan_worker *)empty->pdata[i])->task_limit = 1;
	/* Permits need not be valid. */
	(void)query_step(d, s, request, empty,
	    (struct plan_query_limits){ .partial = true, .ahead = true },
	    INT64_MIN, now);
	g_ptr_array_unref(empty);
}

/* Finds the step of a query in flight, and the query. */
static struct step_permits *
permits_of_query(
    const struct dispatch *d, uint64_t query, struct step_query **out)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->step_permits);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		*out = find_query(key, query);
		if (*out != NULL)
			return key;
	}
	return NULL;
}

/* The queries of the step that are still in flight go on. */
static void
query_failed(struct step_permits *s, uint64_t query, int64_t now)
{
	log_info("dispatch",
	    "event=consult-failed query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER "x.%u.%u concurrent=%u",
	    query, s->job, s->occurrence, s->step, s->queries->len - 1);
	remove_query(s, query);
	s->retry_ms = now + QUERY_RETRY_MS;
}

/* Returns the worker of that name that a query is about: not a later
 * incarnation, for which its permit isn't valid. 0: none. */
static uint32_t
queried_worker(
    const struct dispatch *d, const struct step_query *q, const char *name)
{
	for (guint i = 0; i < q->workers->len; i++) {
		uint32_t id = g_array_index(q->workers, uint32_t, i);
		const struct holder *h = holder_find(d, id);

		if (h != NULL && !h->dead && strcmp(h->name, name) == 0)
			return id;
	}
	return 0;
}

static void
add_permit(struct dispatch *d, struct step_permits *s,
    const struct step_query *q, const struct agent_permit *in, int64_t until_ms)
{
	uint32_t worker = queried_worker(d, q, in->worker);
	struct permit *p;

	if (worker == 0)
		return;
	p = g_new0(struct permit, 1);
	p->text = g_strdup(in->permit);
	p->until_ms = until_ms;
	g_hash_table_insert(s->permits, GUINT_TO_POINTER(worker), p);
}

/*
 * Marks the workers of a query that got no permit as denied. An answer of the
 * policy service about a step and worker never changes. Returns how many of
 * them were not known before.
 */
static uint32_t
deny_others(struct step_permits *s, const struct step_query *q)
{
	uint32_t denied = 0;

	for (guint i = 0; i < q->workers->len; i++) {
		gpointer key =
		    GUINT_TO_POINTER(g_array_index(q->workers, uint32_t, i));

		if (!g_hash_table_contains(s->permits, key))
			denied += g_hash_table_add(s->denied, key);
	}
	return denied;
}

/* Records the answer to a query for a step of the job. */
static void
query_answered(struct dispatch *d, struct step_permits *s, struct step_query *q,
    const struct flow_job *job, const struct agent_permits *permits,
    int64_t now)
{
	guint known = g_hash_table_size(s->permits);
	int64_t valid_ms = permits->valid_ms > 0 ? permits->valid_ms
						 : job->queue->permit_valid_ms;
	uint32_t allowed;
	uint32_t denied;

	for (guint i = 0; i < permits->allowed->len; i++)
		add_permit(d, s, q,
		    &g_array_index(permits->allowed, struct agent_permit, i),
		    now + valid_ms - PERMIT_MARGIN_MS);
	allowed = g_hash_table_size(s->permits) - known;
	denied = deny_others(s, q);
	plan_allowed_update(
	    allowed_of_queue(d, job->queue->name), allowed + denied, allowed);
	log_info("dispatch",
	    "event=permits query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER
	    "x.%u.%u queried=%u allowed=%u valid_ms=%" G_GINT64_FORMAT
	    " concurrent=%u",
	    q->query, s->job, s->occurrence, s->step, q->workers->len,
	    permits->allowed->len, valid_ms, s->queries->len - 1);
	remove_query(s, q->query);
}

void
dispatch_permits_received(struct dispatch *d, uint64_t process, uint64_t query,
    const struct agent_permits *permits)
{
	struct policy_process *p = find_process(d, process);
	int64_t now = mono_ms();
	struct step_permits *s;
	struct step_query *q = NULL;
	const struct flow_job *job;

	if (p != NULL && p->query == query) {
		p->query = 0;
		timer_add(d->meter.policy_query, now - p->since_ms);
		if (permits == NULL)
			p->backoff_until_ms = now + PROCESS_BACKOFF_MS;
	}
	if (!d->active)
		return;
	dispatch_schedule_round(d);
	/* None if the query has timed out or its job has ended. */
	s = permits_of_query(d, query, &q);
	if (s == NULL)
		return;
	job = flow_job(d->conf.flow, s->job);
	if (permits == NULL || job == NULL)
		query_failed(s, query, now);
	else
		query_answered(d, s, q, job, permits, now);
}

/* Says whether the process that sent a query may still answer it. */
static bool
is_awaited(const struct dispatch *d, const struct step_query *q)
{
	const struct policy_process *p = find_process(d, q->process);

	return p != NULL && p->query == q->query;
}

/* Ends queries that timed out or whose process has disconnected. */
void
permits_scan(struct dispatch *d, int64_t now)
{
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < d->policy_processes->len; i++) {
		struct policy_process *p = d->policy_processes->pdata[i];

		if (p->query != 0 && now > p->due_ms) {
			p->query = 0;
			p->backoff_until_ms = now + PROCESS_BACKOFF_MS;
		}
	}
	g_hash_table_iter_init(&iter, d->step_permits);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct step_permits *s = key;

		for (guint i = s->queries->len; i > 0; i--) {
			const struct step_query *q = s->queries->pdata[i - 1];

			if (!is_awaited(d, q))
				query_failed(s, q->query, now);
		}
	}
}
