/* Reservations of capacity for gangs, and for tasks that starve. */
#include "table.h"

/* Held capacity is idle, so the number of reserving jobs is limited. */
#define WORKERS_PER_RESERVATION 100
#define RESERVATIONS_MIN 2 /* limit in small cells */
#define STARTS_ENOUGH 128 /* possible starts that are compared */
#define RESERVE_RETRY_MS 5000 /* for a job without enough usable workers */
#define DEFAULT_RUNTIME_MS 60000 /* estimate if the run time is unknown */

/* A possible start of a task on a worker, at the estimated time. */
struct start {
	struct worker *worker;
	int64_t at_ms;
};

int64_t
run_end_estimate(const struct run *run, int64_t now_ms)
{
	int64_t runtime = run->job->spec.runtime_ms;
	int64_t end =
	    run->started_ms + (runtime > 0 ? runtime : DEFAULT_RUNTIME_MS);

	/* A run past its estimate is expected to run for as long again. */
	return end > now_ms ? end : now_ms + (now_ms - run->started_ms);
}

void
worker_available_to_hold(const struct worker *w, const struct hold *own,
    struct resources *avail, int64_t *slots)
{
	const struct resources *r = &own->reservation->job->spec.resources;
	bool preempt = own->reservation->preempt;

	*avail = preempt ? w->backfill : w->avail;
	*slots = preempt ? w->backfill_slots : w->avail_slots;
	for (uint32_t i = 0; i < own->tasks; i++)
		resources_add(avail, r, 1);
	*slots += own->tasks;
}

uint32_t
reserved_tasks(const struct job *job)
{
	uint32_t n = 0;

	if (job->reservation == NULL)
		return 0;
	for (guint i = 0; i < job->reservation->holds->len; i++) {
		const struct hold *h = job->reservation->holds->pdata[i];

		n += h->tasks;
	}
	return n;
}

static struct reservation *
reservation_new(struct sched *s, struct job *job, bool preempt)
{
	struct reservation *r = g_new0(struct reservation, 1);

	r->job = job;
	r->holds = g_ptr_array_new_with_free_func(g_free);
	r->preempt = preempt;
	r->no_backfill = preempt;
	r->recheck = true;
	job->reservation = r;
	if (job->reserved_ms == 0)
		job->reserved_ms = s->now_ms;
	g_ptr_array_add(s->reservations, r);
	return r;
}

struct hold *
reserve_add_hold(
    struct sched *s, struct job *job, struct worker *w, uint32_t tasks)
{
	struct reservation *r = job->reservation;
	struct hold *h = g_new0(struct hold, 1);

	if (r == NULL)
		r = reservation_new(s, job, true);
	h->reservation = r;
	h->worker = w;
	h->tasks = tasks;
	h->preempt_start_ms = s->now_ms;
	g_ptr_array_add(r->holds, h);
	g_ptr_array_add(w->holds, h);
	worker_update_available(s, w, false);
	return h;
}

/* Removes a hold from its worker and makes the capacity available again. */
static void
detach(struct sched *s, struct hold *h)
{
	preempt_release_runs(s, h);
	g_ptr_array_remove(h->worker->holds, h);
	worker_update_available(s, h->worker, true);
}

void
reserve_drop(struct sched *s, struct reservation *r)
{
	for (guint i = 0; i < r->holds->len; i++)
		detach(s, r->holds->pdata[i]);
	r->job->reservation = NULL;
	g_ptr_array_remove_fast(s->reservations, r);
	g_ptr_array_unref(r->holds);
	g_free(r);
}

void
hold_drop(struct sched *s, struct hold *hold)
{
	struct reservation *r = hold->reservation;

	if (r->holds->len == 1) {
		reserve_drop(s, r);
		return;
	}
	detach(s, hold);
	g_ptr_array_remove(r->holds, hold);
}

static struct hold *
hold_on(const struct reservation *r, const struct worker *w)
{
	for (guint i = 0; i < w->holds->len; i++) {
		struct hold *h = w->holds->pdata[i];

		if (h->reservation == r)
			return h;
	}
	return NULL;
}

/* Drops the holds that a reservation has on a worker; for a gang, which needs
 * all its holds, the whole reservation. */
static void
drop_holds_on(struct sched *s, struct reservation *r, const struct worker *w)
{
	unsigned count = 0;

	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];

		count += h->reservation == r;
	}
	if (count == 0)
		return;
	shape_wake(s, r->job->shape);
	if (r->job->spec.kind == KIND_GANG) {
		reserve_drop(s, r);
		return;
	}
	/* Dropping the last hold frees the reservation. */
	for (; count > 0; count--)
		hold_drop(s, hold_on(r, w));
}

void
reserve_drop_worker(struct sched *s, struct worker *w)
{
	for (guint i = s->reservations->len; i > 0; i--)
		drop_holds_on(s, s->reservations->pdata[i - 1], w);
}

void
reserve_end_backfill(struct sched *s)
{
	for (guint i = 0; i < s->reservations->len; i++) {
		struct reservation *r = s->reservations->pdata[i];

		if (r->no_backfill ||
		    s->now_ms - r->job->reserved_ms <
			s->policy->no_backfill_after_ms)
			continue;
		r->no_backfill = true;
		for (guint j = 0; j < r->holds->len; j++) {
			const struct hold *h = r->holds->pdata[j];

			worker_update_available(s, h->worker, false);
		}
	}
}

bool
backfill_allowed(const struct sched *s, const struct worker *w,
    const struct job *job, bool urgent)
{
	int64_t runtime = job->spec.runtime_ms;

	if (w->no_backfill_holds > 0 || job->spec.kind == KIND_SERVICE)
		return false;
	if (urgent)
		return true;
	if (runtime == 0)
		return false;
	for (guint i = 0; i < w->holds->len; i++) {
		const struct hold *h = w->holds->pdata[i];

		if (s->now_ms + runtime > h->reservation->start_ms)
			return false;
	}
	return true;
}

static gint
by_end_estimate(gconstpointer a, gconstpointer b, gpointer now)
{
	int64_t x = run_end_estimate(*(struct run *const *)a, *(int64_t *)now);
	int64_t y = run_end_estimate(*(struct run *const *)b, *(int64_t *)now);

	return (x > y) - (x < y);
}

/*
 * How many tasks, at most max, a worker could take once all its runs but
 * services have ended. Capacity that is held for other jobs counts only if
 * ignore_holds is set.
 */
static uint32_t
tasks_after_runs(const struct worker *w, const struct job *job,
    bool ignore_holds, uint32_t max)
{
	struct resources avail = w->spec.capacity;
	int64_t slots = w->spec.slots - w->service_slots;

	if (!worker_usable(w) || !worker_allowed(w, job->spec.data_centers))
		return 0;
	resources_add(&avail, &w->service_used, -1);
	if (!ignore_holds) {
		resources_add(&avail, &w->avail, 1);
		resources_add(&avail, &w->free, -1);
		slots += w->avail_slots - w->free_slots;
	}
	if (slots <= 0)
		return 0;
	return resources_fit_count(
	    &avail, &job->spec.resources, (uint32_t)MIN(slots, (int64_t)max));
}

/* Lists the earliest starts of up to n tasks on a worker. */
static void
list_starts(struct sched *s, struct worker *w, const struct job *job,
    uint32_t n, GArray *starts)
{
	GPtrArray *runs = g_ptr_array_sized_new(w->runs->len);
	struct resources avail = w->avail;
	int64_t slots = w->avail_slots;
	struct start start = { .worker = w, .at_ms = s->now_ms };
	uint32_t listed = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const struct run *run = w->runs->pdata[i];

		if (!run->service)
			g_ptr_array_add(runs, w->runs->pdata[i]);
	}
	g_ptr_array_sort_with_data(runs, by_end_estimate, &s->now_ms);
	for (guint i = 0; listed < n; i++) {
		uint32_t fit = slots <= 0
		    ? 0
		    : resources_fit_count(&avail, &job->spec.resources,
			  (uint32_t)MIN(slots, (int64_t)n));

		for (; listed < fit; listed++)
			g_array_append_val(starts, start);
		if (i >= runs->len)
			break;
		resources_add(
		    &avail, &((struct run *)runs->pdata[i])->resources, 1);
		slots++;
		start.at_ms = run_end_estimate(runs->pdata[i], s->now_ms);
	}
	g_ptr_array_unref(runs);
}

static gint
by_start_time(gconstpointer a, gconstpointer b)
{
	const struct start *x = a;
	const struct start *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return (x->worker->spec.id > y->worker->spec.id) -
	    (x->worker->spec.id < y->worker->spec.id);
}

/* Turns the first n starts into holds, one per worker. */
static void
hold_starts(struct sched *s, struct job *job, GArray *starts, uint32_t n)
{
	struct reservation *r = reservation_new(s, job, false);

	for (uint32_t i = 0; i < n; i++) {
		const struct start *start =
		    &g_array_index(starts, struct start, i);
		struct hold *h = hold_on(r, start->worker);

		r->start_ms = MAX(r->start_ms, start->at_ms);
		if (h == NULL) {
			reserve_add_hold(s, job, start->worker, 1);
			continue;
		}
		h->tasks++;
		worker_update_available(s, h->worker, false);
	}
}

static guint
reserved_jobs(const struct sched *s)
{
	guint n = 0;

	for (guint i = 0; i < s->reservations->len; i++) {
		const struct reservation *r = s->reservations->pdata[i];

		n += !r->preempt;
	}
	return n;
}

/*
 * Delays the next attempt to reserve if the usable workers could not hold the
 * job even without other reservations, so that it does not keep other jobs
 * from reserving.
 */
static void
delay_if_too_large(struct sched *s, const struct job *job, uint32_t n)
{
	uint64_t sum = 0;

	for (guint i = 0; i < s->workers->len && sum < n; i++) {
		if (s->workers->pdata[i] != NULL)
			sum += tasks_after_runs(
			    s->workers->pdata[i], job, true, n);
	}
	if (sum < n)
		job->shape->reserve_retry_ms = s->now_ms + RESERVE_RETRY_MS;
}

static guint
reservations_max(const struct sched *s)
{
	return MAX(RESERVATIONS_MIN, s->workers->len / WORKERS_PER_RESERVATION);
}

/* Lists possible starts of tasks of the job, worker by worker, until there are
 * enough to choose from. If apart is set, skips workers on which all tasks of a
 * job that is to be spread would be in one domain. */
static void
list_all_starts(struct sched *s, const struct job *job, uint32_t n, bool apart,
    GArray *starts)
{
	for (guint i = 0; i < s->workers->len; i++) {
		guint at = (s->cursor + i) % s->workers->len;
		struct worker *w = s->workers->pdata[at];
		uint32_t most = 0;

		if (w != NULL && !(apart && job_in_one_domain(s, job, w)))
			most = tasks_after_runs(w, job, false, n);
		if (most > 0)
			list_starts(s, w, job, most, starts);
		if (starts->len >= MAX(STARTS_ENOUGH, 4 * n))
			break;
	}
}

bool
reserve_job(struct sched *s, struct job *job)
{
	uint32_t n = job->spec.kind == KIND_GANG ? job->waiting : 1;
	GArray *starts;
	bool enough;

	if (job->reservation != NULL)
		return true;
	if (s->now_ms < job->shape->reserve_retry_ms)
		return false;
	if (reserved_jobs(s) >= reservations_max(s) ||
	    (s->starving != 0 && s->starving != job->spec.id))
		return false;
	starts = g_array_new(FALSE, FALSE, sizeof(struct start));
	list_all_starts(s, job, n, true, starts);
	if (starts->len < n) {
		g_array_set_size(starts, 0);
		list_all_starts(s, job, n, false, starts);
	}
	/* The next reservation starts at other workers. */
	s->cursor += STARTS_ENOUGH / 2;
	enough = starts->len >= n;
	if (enough) {
		g_array_sort(starts, by_start_time);
		hold_starts(s, job, starts, n);
	} else {
		delay_if_too_large(s, job, n);
	}
	g_array_unref(starts);
	return enough;
}
