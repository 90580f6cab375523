/* Queries to the policy service: which workers may run a step, until when. */
#include "impl.h"

#define QUERY_TIMEOUT_FACTOR 3 /* times the declared duration of a query */
#define QUERY_TIMEOUT_BASE_MS 400 /* added for network and a short queue */
#define QUERY_RETRY_MS 100 /* before a failed query is repeated */
#define PROCESS_BACKOFF_MS 400 /* no query by a process whose query failed */
#define PERMIT_MARGIN_MS 300 /* a permit is not used so near its expiry */
#define QUERY_OVERHEAD_MS 150 /* network and a placement round */

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

void
step_permits_free(void *arg)
{
	struct step_permits *s = arg;

	g_hash_table_unref(s->permits);
	g_hash_table_unref(s->denied);
	g_array_unref(s->queried);
	g_free(s);
}

struct step_permits *
step_permits_get(struct dispatch *d, const struct flow_job *job,
    uint32_t occurrence, uint32_t step)
{
	struct step_permits key = {
		.job = job->id, .occurrence = occurrence, .step = step
	};
	struct step_permits *s = g_hash_table_lookup(d->step_permits, &key);

	if (s != NULL)
		return s;
	s = g_new0(struct step_permits, 1);
	*s = key;
	s->permits = g_hash_table_new_full(NULL, NULL, NULL, permit_free);
	s->denied = g_hash_table_new(NULL, NULL);
	s->queried = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_add(d->step_permits, s);
	return s;
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

static struct policy_process *
idle_process(const struct dispatch *d, int64_t now)
{
	for (guint i = 0; i < d->policy_processes->len; i++) {
		struct policy_process *p = d->policy_processes->pdata[i];

		if (p->query == 0 && p->backoff_until_ms <= now)
			return p;
	}
	return NULL;
}

/* How long the queue declares a query about so many workers to take. */
static int64_t
query_ms(const struct flow_queue *queue, guint workers)
{
	return (
	    int64_t)(queue->permit_call_ms + queue->permit_worker_ms * workers);
}

static enum plan_permit
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

static void
send_query(struct dispatch *d, struct step_permits *s, struct policy_process *p,
    const struct flow_queue *queue, GPtrArray *names, int64_t now)
{
	struct agent_query q = { .job = s->job,
		.occurrence = s->occurrence,
		.step = s->step,
		.workers = (char **)names->pdata };
	uint64_t query = ++d->last_query;

	if (!d->ops->query_policy(d->arg, p->process, query, &q)) {
		p->backoff_until_ms = now + PROCESS_BACKOFF_MS;
		return;
	}
	p->query = s->query = query;
	p->since_ms = now;
	p->due_ms = now + QUERY_TIMEOUT_BASE_MS +
	    QUERY_TIMEOUT_FACTOR * query_ms(queue, names->len);
	d->meter.policy_queries->value++;
	log_info("dispatch",
	    "event=consult query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER
	    "x.%u.%u workers=%u process=%" G_GUINT64_FORMAT,
	    query, s->job, s->occurrence, s->step, names->len - 1, p->process);
}

/* Queries the policy service about the candidates that were selected. */
static void
query_selected(struct dispatch *d, struct step_permits *s,
    struct policy_process *p, GPtrArray *workers,
    const struct plan_candidate *candidates, int64_t now)
{
	GPtrArray *names = g_ptr_array_new();

	g_array_set_size(s->queried, 0);
	for (guint i = 0; i < workers->len; i++) {
		uint32_t id = ((struct plan_worker *)workers->pdata[i])->worker;

		if (!candidates[i].selected)
			continue;
		g_ptr_array_add(names, holder_find(d, id)->name);
		g_array_append_val(s->queried, id);
	}
	g_ptr_array_add(names, NULL);
	send_query(d, s, p, flow_job(d->conf.flow, s->job)->queue, names, now);
	g_ptr_array_unref(names);
}

/* Returns a process that could send a query for the step now, or NULL. */
static struct policy_process *
process_for_query(
    const struct dispatch *d, const struct step_permits *s, int64_t now)
{
	return s->query != 0 || now < s->retry_ms ? NULL : idle_process(d, now);
}

bool
permits_can_query(
    const struct dispatch *d, const struct step_permits *s, int64_t now)
{
	return process_for_query(d, s, now) != NULL;
}

void
permits_query(struct dispatch *d, struct step_permits *s,
    const struct plan_request *request, GPtrArray *workers, bool partial,
    int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;
	struct policy_process *process = process_for_query(d, s, now);
	struct plan_candidate *candidates;
	/* The members of a gang start together, after the answer: their permits
	 * have to be valid then. */
	int64_t until_ms = now +
	    (request->gang ? query_ms(queue, OBJECTIVE_QUERY_WORKERS) +
			QUERY_OVERHEAD_MS
			   : 0);

	if (process == NULL)
		return;
	candidates = g_new0(struct plan_candidate, workers->len + 1);
	for (guint i = 0; i < workers->len; i++) {
		const struct plan_worker *worker = workers->pdata[i];

		candidates[i].fits = plan_fit_count(worker, request);
		candidates[i].permit =
		    permit_state(s, worker->worker, until_ms);
	}
	if (plan_select_query_workers(
		candidates, workers->len, request, partial) > 0)
		query_selected(d, s, process, workers, candidates, now);
	g_free(candidates);
}

static struct step_permits *
permits_of_query(const struct dispatch *d, uint64_t query)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->step_permits);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (((struct step_permits *)key)->query == query)
			return key;
	return NULL;
}

static void
query_failed(struct dispatch *d, uint64_t query, int64_t now)
{
	struct step_permits *s = permits_of_query(d, query);

	log_info(
	    "dispatch", "event=consult-failed query=%" G_GUINT64_FORMAT, query);
	if (s == NULL)
		return;
	s->query = 0;
	s->retry_ms = now + QUERY_RETRY_MS;
}

static void
add_permit(struct dispatch *d, struct step_permits *s,
    const struct agent_permit *in, int64_t until_ms)
{
	const struct flow_worker *w =
	    flow_worker_named(d->conf.flow, in->worker);
	struct permit *p;

	if (w == NULL)
		return;
	p = g_new0(struct permit, 1);
	p->text = g_strdup(in->permit);
	p->until_ms = until_ms;
	g_hash_table_insert(s->permits, GUINT_TO_POINTER(w->id), p);
}

/* Marks the workers of a query that got no permit as denied. An answer of the
 * policy service about a step and worker never changes. */
static void
deny_others(struct step_permits *s)
{
	for (guint i = 0; i < s->queried->len; i++) {
		gpointer key =
		    GUINT_TO_POINTER(g_array_index(s->queried, uint32_t, i));

		if (!g_hash_table_contains(s->permits, key))
			g_hash_table_add(s->denied, key);
	}
}

void
dispatch_permits_received(struct dispatch *d, uint64_t process, uint64_t query,
    const struct agent_permits *permits)
{
	struct policy_process *p = find_process(d, process);
	int64_t now = mono_ms();
	struct step_permits *s;
	const struct flow_job *job;
	int64_t valid_ms;

	if (p != NULL && p->query == query) {
		p->query = 0;
		timer_add(d->meter.policy_query, now - p->since_ms);
		if (permits == NULL)
			p->backoff_until_ms = now + PROCESS_BACKOFF_MS;
	}
	if (!d->active)
		return;
	dispatch_schedule_round(d);
	if (permits == NULL) {
		query_failed(d, query, now);
		return;
	}
	s = permits_of_query(d, query);
	job = s == NULL ? NULL : flow_job(d->conf.flow, s->job);
	if (job == NULL)
		return;
	s->query = 0;
	valid_ms = permits->valid_ms > 0 ? permits->valid_ms
					 : job->queue->permit_valid_ms;
	for (guint i = 0; i < permits->allowed->len; i++)
		add_permit(d, s,
		    &g_array_index(permits->allowed, struct agent_permit, i),
		    now + valid_ms - PERMIT_MARGIN_MS);
	deny_others(s);
	log_info("dispatch",
	    "event=permits query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER
	    "x.%u.%u queried=%u allowed=%u valid_ms=%" G_GINT64_FORMAT,
	    query, s->job, s->occurrence, s->step, s->queried->len,
	    permits->allowed->len, valid_ms);
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
		bool keep = s->query == 0;

		for (guint i = 0; !keep && i < d->policy_processes->len; i++)
			keep = ((struct policy_process *)
				       d->policy_processes->pdata[i])
				   ->query == s->query;
		if (!keep) {
			s->query = 0;
			s->retry_ms = now + QUERY_RETRY_MS;
		}
	}
}
