#include "health.h"

#define WORKER_FAILURES_MAX 8 /* failed jobs kept for a worker */
#define JOB_FAILURES_MAX 4 /* workers kept that a job failed on */
#define BAD_JOB_WORKERS 3 /* job at fault if it failed on so many */
#define SUCCEEDED_ELSEWHERE_POINTS 2 /* the job succeeded on another worker */
#define FAILED_HERE_ONLY_POINTS 1 /* the job failed on no other worker */
#define SET_ASIDE_POINTS 6
#define PROBE_SUCCESSES 2 /* needed before a worker is good again */

const struct health_limits health_defaults = {
	.probe_ms = 30000,
	.probe_max_ms = 600000,
	.max_jobs = 4096,
};

static const char *const state_names[] = {
	[HEALTH_GOOD] = "good",
	[HEALTH_SET_ASIDE] = "set-aside",
	[HEALTH_PROBING] = "probing",
};

struct worker {
	enum health_state state;
	/* Distinct jobs that failed since the last success, oldest first. */
	uint64_t failed[WORKER_FAILURES_MAX];
	unsigned failures;
	unsigned probe_successes;
	int64_t wait_ms; /* from the next setting aside to its probe */
	int64_t probe_at_ms;
};

struct job {
	uint64_t name_hash;
	/* Distinct workers it failed on since its last success. */
	uint32_t failed[JOB_FAILURES_MAX];
	unsigned failures;
	uint32_t succeeded_on; /* the last worker that it succeeded on */
	bool has_succeeded;
	GList link; /* in health.lru */
};

struct health {
	struct health_limits limits;
	GHashTable *workers; /* struct worker by id */
	GHashTable *jobs; /* struct job by name_hash */
	GQueue lru; /* struct job.link; the most recent at the tail */
};

struct health *
health_new(const struct health_limits *limits)
{
	struct health *h = g_new0(struct health, 1);

	h->limits = *limits;
	h->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&h->lru);
	return h;
}

void
health_free(struct health *h)
{
	g_hash_table_unref(h->workers);
	g_hash_table_unref(h->jobs);
	g_free(h);
}

const char *
health_state_name(enum health_state state)
{
	return state_names[state];
}

static struct worker *
worker_get(const struct health *h, uint32_t id)
{
	return g_hash_table_lookup(h->workers, GUINT_TO_POINTER(id));
}

static struct worker *
worker_ensure(struct health *h, uint32_t id)
{
	struct worker *w = worker_get(h, id);

	if (w != NULL)
		return w;
	w = g_new0(struct worker, 1);
	w->wait_ms = h->limits.probe_ms;
	g_hash_table_insert(h->workers, GUINT_TO_POINTER(id), w);
	return w;
}

static void
evict_oldest(struct health *h)
{
	struct job *oldest = h->lru.head->data;

	g_queue_unlink(&h->lru, &oldest->link);
	g_hash_table_remove(h->jobs, &oldest->name_hash);
}

/* Returns a job, created if new, as the most recently used one. */
static struct job *
job_get(struct health *h, uint64_t name_hash)
{
	struct job *job = g_hash_table_lookup(h->jobs, &name_hash);

	if (job != NULL) {
		g_queue_unlink(&h->lru, &job->link);
		g_queue_push_tail_link(&h->lru, &job->link);
		return job;
	}
	if (g_hash_table_size(h->jobs) >= h->limits.max_jobs)
		evict_oldest(h);
	job = g_new0(struct job, 1);
	job->name_hash = name_hash;
	job->link.data = job;
	g_hash_table_insert(h->jobs, &job->name_hash, job);
	g_queue_push_tail_link(&h->lru, &job->link);
	return job;
}

bool
health_bad_job(const struct health *h, uint64_t name_hash)
{
	const struct job *job = g_hash_table_lookup(h->jobs, &name_hash);

	return job != NULL && job->failures >= BAD_JOB_WORKERS;
}

enum health_state
health_state(const struct health *h, uint32_t id)
{
	const struct worker *w = worker_get(h, id);

	return w != NULL ? w->state : HEALTH_GOOD;
}

void
health_remove_worker(struct health *h, uint32_t id)
{
	g_hash_table_remove(h->workers, GUINT_TO_POINTER(id));
}

static void
set_state(
    struct worker *w, uint32_t id, enum health_state state, GArray *changes)
{
	struct health_change change = { id, state };

	if (w->state == state)
		return;
	w->state = state;
	g_array_append_val(changes, change);
}

/* How much a job's failure counts against a worker. */
static unsigned
job_points(const struct health *h, uint32_t worker, uint64_t name_hash)
{
	const struct job *job = g_hash_table_lookup(h->jobs, &name_hash);

	if (job == NULL || job->failures >= BAD_JOB_WORKERS)
		return 0;
	if (job->has_succeeded && job->succeeded_on != worker)
		return SUCCEEDED_ELSEWHERE_POINTS;
	return job->failures <= 1 ? FAILED_HERE_ONLY_POINTS : 0;
}

static unsigned
worker_points(const struct health *h, const struct worker *w, uint32_t id)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < w->failures; i++)
		sum += job_points(h, id, w->failed[i]);
	return sum;
}

static void
set_aside(struct health *h, struct worker *w, uint32_t id, int64_t now_ms,
    GArray *changes)
{
	w->probe_at_ms = now_ms + w->wait_ms;
	w->wait_ms = MIN(2 * w->wait_ms, h->limits.probe_max_ms);
	w->probe_successes = 0;
	set_state(w, id, HEALTH_SET_ASIDE, changes);
}

/* Sets a worker aside, or makes it good if its failures no longer count. */
static void
update_worker(struct health *h, uint32_t id, int64_t now_ms, GArray *changes)
{
	struct worker *w = worker_get(h, id);
	bool failing;

	if (w == NULL)
		return;
	failing = worker_points(h, w, id) >= SET_ASIDE_POINTS;
	if (failing && w->state == HEALTH_GOOD)
		set_aside(h, w, id, now_ms, changes);
	else if (!failing && w->state == HEALTH_SET_ASIDE)
		set_state(w, id, HEALTH_GOOD, changes);
}

/* Updates the workers that a job failed on: its points have changed. */
static void
update_workers(
    struct health *h, const struct job *job, int64_t now_ms, GArray *changes)
{
	for (unsigned i = 0; i < job->failures; i++)
		update_worker(h, job->failed[i], now_ms, changes);
}

static void
record_success(struct health *h, struct worker *w, uint32_t id, struct job *job,
    int64_t now_ms, GArray *changes)
{
	job->has_succeeded = true;
	job->succeeded_on = id;
	w->failures = 0;
	if (w->state == HEALTH_PROBING &&
	    ++w->probe_successes >= PROBE_SUCCESSES) {
		w->wait_ms = h->limits.probe_ms;
		set_state(w, id, HEALTH_GOOD, changes);
	}
	update_worker(h, id, now_ms, changes);
	update_workers(h, job, now_ms, changes);
	job->failures = 0;
}

/* Adds a job once; drops the oldest if there are too many. */
static void
add_failed_job(struct worker *w, uint64_t name_hash)
{
	for (unsigned i = 0; i < w->failures; i++) {
		if (w->failed[i] == name_hash)
			return;
	}
	if (w->failures == WORKER_FAILURES_MAX) {
		for (unsigned i = 1; i < WORKER_FAILURES_MAX; i++)
			w->failed[i - 1] = w->failed[i];
		w->failures--;
	}
	w->failed[w->failures++] = name_hash;
}

static void
add_failed_worker(struct job *job, uint32_t id)
{
	for (unsigned i = 0; i < job->failures; i++) {
		if (job->failed[i] == id)
			return;
	}
	if (job->failures < JOB_FAILURES_MAX)
		job->failed[job->failures++] = id;
}

void
health_attempt_ended(struct health *h, uint32_t id, uint64_t name_hash, bool ok,
    int64_t now_ms, GArray *changes)
{
	struct worker *w = worker_ensure(h, id);
	struct job *job = job_get(h, name_hash);

	if (ok) {
		record_success(h, w, id, job, now_ms, changes);
		return;
	}
	add_failed_worker(job, id);
	add_failed_job(w, name_hash);
	update_workers(h, job, now_ms, changes);
	/* A failed probe doesn't count if the job itself is at fault. */
	if (w->state == HEALTH_PROBING && job_points(h, id, name_hash) > 0)
		set_aside(h, w, id, now_ms, changes);
}

void
health_tick(struct health *h, int64_t now_ms, GArray *changes)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, h->workers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct worker *w = value;

		if (w->state == HEALTH_SET_ASIDE && now_ms >= w->probe_at_ms)
			set_state(
			    w, GPOINTER_TO_UINT(id), HEALTH_PROBING, changes);
	}
}
