/* The policy service: which workers may run a step, and until when. */
#include "impl.h"

#define QUERY_TIMES 3 /* the time that a query should take is given to it */
#define QUERY_LEAST_MS 400 /* beyond that: links, a short queue there */
#define AGAIN_MS 100 /* before a step is asked for again after a failure */
#define REST_MS 400 /* a process whose query failed asks no more so long */
#define MARGIN_MS 300 /* a permit is not used so near its end */
#define ANSWER_MS 150 /* links and a round, beyond what a query takes */

guint
permit_hash(gconstpointer p)
{
	const struct permit_set *s = p;

	return (guint)(s->job ^ s->job >> 32) * 31 + s->round * 31 + s->step;
}

gboolean
permit_equal(gconstpointer a, gconstpointer b)
{
	const struct permit_set *x = a;
	const struct permit_set *y = b;

	return x->job == y->job && x->round == y->round && x->step == y->step;
}

static void
permit_free(void *arg)
{
	struct permit *p = arg;

	g_free(p->text);
	g_free(p);
}

void
permit_set_free(void *arg)
{
	struct permit_set *s = arg;

	g_hash_table_unref(s->permits);
	g_hash_table_unref(s->barred);
	g_array_unref(s->asking);
	g_free(s);
}

struct permit_set *
permits_of(struct dispatch *d, const struct flow_job *job, uint32_t round,
    uint32_t step)
{
	struct permit_set key = {
		.job = job->id, .round = round, .step = step
	};
	struct permit_set *s = g_hash_table_lookup(d->sets, &key);

	if (s != NULL)
		return s;
	s = g_new0(struct permit_set, 1);
	*s = key;
	s->permits = g_hash_table_new_full(NULL, NULL, NULL, permit_free);
	s->barred = g_hash_table_new(NULL, NULL);
	s->asking = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_add(d->sets, s);
	return s;
}

const char *
permit_for(const struct permit_set *s, uint32_t worker, int64_t now)
{
	struct permit *p =
	    g_hash_table_lookup(s->permits, GUINT_TO_POINTER(worker));

	return p != NULL && p->until_ms > now ? p->text : NULL;
}

bool
permit_known(const struct permit_set *s, uint32_t worker)
{
	return g_hash_table_contains(s->permits, GUINT_TO_POINTER(worker));
}

void
permit_void(struct dispatch *d, const struct flow_run *of, uint32_t worker)
{
	struct permit_set key = {
		.job = of->job, .round = of->occurrence, .step = of->step
	};
	struct permit_set *s = g_hash_table_lookup(d->sets, &key);
	struct permit *p = s == NULL
	    ? NULL
	    : g_hash_table_lookup(s->permits, GUINT_TO_POINTER(worker));

	if (p != NULL)
		p->until_ms = 0;
}

static gboolean
of_job(gpointer key, gpointer value, gpointer arg)
{
	return ((struct permit_set *)key)->job == *(uint64_t *)arg;
}

void
permits_forget(struct dispatch *d, const struct flow_job *job)
{
	uint64_t id = job->id;

	g_hash_table_foreach_remove(d->sets, of_job, &id);
}

static struct adviser *
adviser_of(const struct dispatch *d, uint64_t process)
{
	for (guint i = 0; i < d->advisers->len; i++) {
		struct adviser *a = d->advisers->pdata[i];

		if (a->process == process)
			return a;
	}
	return NULL;
}

void
dispatch_process(struct dispatch *d, uint64_t process, bool up)
{
	struct adviser *a = adviser_of(d, process);

	if (up && a == NULL) {
		a = g_new0(struct adviser, 1);
		a->process = process;
		g_ptr_array_add(d->advisers, a);
	} else if (!up && a != NULL) {
		/* A query that it had is given up in the next look. */
		g_ptr_array_remove_fast(d->advisers, a);
	}
}

static struct adviser *
idle_adviser(const struct dispatch *d, int64_t now)
{
	for (guint i = 0; i < d->advisers->len; i++) {
		struct adviser *a = d->advisers->pdata[i];

		if (a->query == 0 && a->rest_ms <= now)
			return a;
	}
	return NULL;
}

static int
by_free(gconstpointer a, gconstpointer b)
{
	const struct plan_room *x = *(struct plan_room *const *)a;
	const struct plan_room *y = *(struct plan_room *const *)b;

	return x->free.millicpus > y->free.millicpus
	    ? -1
	    : x->free.millicpus < y->free.millicpus;
}

/* How long a query with so many workers should take there. */
static int64_t
query_ms(const struct flow_queue *queue, guint workers)
{
	return (
	    int64_t)(queue->permit_call_ms + queue->permit_worker_ms * workers);
}

static enum plan_permit
permit_state(const struct permit_set *s, uint32_t worker, int64_t until_ms)
{
	gpointer key = GUINT_TO_POINTER(worker);
	const struct permit *p = g_hash_table_lookup(s->permits, key);

	if (p != NULL)
		return p->until_ms > until_ms ? PLAN_PERMIT_HOLDS
					      : PLAN_PERMIT_ENDS;
	return g_hash_table_contains(s->barred, key) ? PLAN_PERMIT_NONE
						     : PLAN_PERMIT_UNKNOWN;
}

static void
send_query(struct dispatch *d, struct permit_set *s, struct adviser *a,
    const struct flow_queue *queue, GPtrArray *names, int64_t now)
{
	struct agent_query q = { .job = s->job,
		.round = s->round,
		.step = s->step,
		.workers = (char **)names->pdata };
	uint64_t query = ++d->last_query;

	if (!d->ops->consult(d->arg, a->process, query, &q)) {
		a->rest_ms = now + REST_MS;
		return;
	}
	a->query = s->query = query;
	a->since_ms = now;
	a->due_ms =
	    now + QUERY_LEAST_MS + QUERY_TIMES * query_ms(queue, names->len);
	d->meter.consults->value++;
	log_info("dispatch",
	    "event=consult query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER
	    "x.%u.%u workers=%u process=%" G_GUINT64_FORMAT,
	    query, s->job, s->round, s->step, names->len - 1, a->process);
}

/* Asks about the workers that were chosen among rooms. */
static void
query_chosen(struct dispatch *d, struct permit_set *s, struct adviser *a,
    GPtrArray *rooms, const struct plan_candidate *all, int64_t now)
{
	GPtrArray *names = g_ptr_array_new();

	g_array_set_size(s->asking, 0);
	for (guint i = 0; i < rooms->len; i++) {
		uint32_t id = ((struct plan_room *)rooms->pdata[i])->worker;

		if (!all[i].named)
			continue;
		g_ptr_array_add(names, holder_find(d, id)->name);
		g_array_append_val(s->asking, id);
	}
	g_ptr_array_add(names, NULL);
	send_query(d, s, a, flow_job(d->conf.flow, s->job)->queue, names, now);
	g_ptr_array_unref(names);
}

void
permits_want(struct dispatch *d, struct permit_set *s,
    const struct plan_need *need, GPtrArray *rooms, bool learn, int64_t now)
{
	const struct flow_queue *queue = flow_job(d->conf.flow, s->job)->queue;
	struct adviser *a = idle_adviser(d, now);
	struct plan_candidate *all;
	/* A gang's members start together, once the answer is in. */
	int64_t until_ms = now +
	    (need->gang ? query_ms(queue, PERMIT_WORKERS) + ANSWER_MS : 0);

	if (s->query != 0 || now < s->again_ms || a == NULL)
		return;
	g_ptr_array_sort(rooms, by_free);
	all = g_new0(struct plan_candidate, rooms->len + 1);
	for (guint i = 0; i < rooms->len; i++) {
		const struct plan_room *room = rooms->pdata[i];

		all[i].fits = plan_fits(room, need);
		all[i].permit = permit_state(s, room->worker, until_ms);
	}
	if (plan_query(all, rooms->len, need, learn) > 0)
		query_chosen(d, s, a, rooms, all, now);
	g_free(all);
}

static struct permit_set *
set_of_query(const struct dispatch *d, uint64_t query)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->sets);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (((struct permit_set *)key)->query == query)
			return key;
	return NULL;
}

static void
query_failed(struct dispatch *d, uint64_t query, int64_t now)
{
	struct permit_set *s = set_of_query(d, query);

	log_info(
	    "dispatch", "event=consult-failed query=%" G_GUINT64_FORMAT, query);
	if (s == NULL)
		return;
	s->query = 0;
	s->again_ms = now + AGAIN_MS;
}

static void
keep_permit(struct dispatch *d, struct permit_set *s,
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

/* Workers that were asked about and not allowed won't be: it never changes. */
static void
bar_others(struct permit_set *s)
{
	for (guint i = 0; i < s->asking->len; i++) {
		gpointer key =
		    GUINT_TO_POINTER(g_array_index(s->asking, uint32_t, i));

		if (!g_hash_table_contains(s->permits, key))
			g_hash_table_add(s->barred, key);
	}
}

void
dispatch_permits(struct dispatch *d, uint64_t process, uint64_t query,
    const struct agent_permits *permits)
{
	struct adviser *a = adviser_of(d, process);
	int64_t now = mono_ms();
	struct permit_set *s;
	const struct flow_job *job;
	int64_t valid;

	if (a != NULL && a->query == query) {
		a->query = 0;
		timer_add(d->meter.consult, now - a->since_ms);
		if (permits == NULL)
			a->rest_ms = now + REST_MS;
	}
	if (!d->active)
		return;
	dispatch_dirty(d);
	if (permits == NULL) {
		query_failed(d, query, now);
		return;
	}
	s = set_of_query(d, query);
	job = s == NULL ? NULL : flow_job(d->conf.flow, s->job);
	if (job == NULL)
		return;
	s->query = 0;
	valid = permits->valid_ms > 0 ? permits->valid_ms
				      : job->queue->permit_valid_ms;
	for (guint i = 0; i < permits->good->len; i++)
		keep_permit(d, s,
		    &g_array_index(permits->good, struct agent_permit, i),
		    now + valid - MARGIN_MS);
	bar_others(s);
	log_info("dispatch",
	    "event=permits query=%" G_GUINT64_FORMAT
	    " step=%016" G_GINT64_MODIFIER
	    "x.%u.%u asked=%u good=%u valid_ms=%" G_GINT64_FORMAT,
	    query, s->job, s->round, s->step, s->asking->len,
	    permits->good->len, valid);
}

/* Gives up queries that nobody will answer any more. */
void
permits_scan(struct dispatch *d, int64_t now)
{
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < d->advisers->len; i++) {
		struct adviser *a = d->advisers->pdata[i];

		if (a->query != 0 && now > a->due_ms) {
			a->query = 0;
			a->rest_ms = now + REST_MS;
		}
	}
	g_hash_table_iter_init(&iter, d->sets);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct permit_set *s = key;
		bool alive = s->query == 0;

		for (guint i = 0; !alive && i < d->advisers->len; i++)
			alive =
			    ((struct adviser *)d->advisers->pdata[i])->query ==
			    s->query;
		if (!alive) {
			s->query = 0;
			s->again_ms = now + AGAIN_MS;
		}
	}
}
