#include "health.h"

#define FAILURES_KEPT 8 /* jobs a worker failed since its last success */
#define WORKERS_KEPT 4 /* workers a job failed on since its last success */
#define BAD_WORKERS 3 /* a job that failed on so many is to blame itself */
#define PROVEN_POINTS 2 /* for a job that succeeded elsewhere */
#define ALONE_POINTS 1 /* for a job that failed here only */
#define ASIDE_POINTS 6
#define PROBES_OK 2 /* successes before a worker is good again */

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
	uint64_t failed[FAILURES_KEPT]; /* different jobs, oldest first */
	unsigned failures;
	unsigned probes_ok;
	int64_t wait_ms; /* of the next setting aside */
	int64_t probe_at_ms;
};

struct job {
	uint64_t name;
	uint32_t failed[WORKERS_KEPT]; /* different workers */
	unsigned failures;
	uint32_t succeeded; /* the last worker it did well on */
	bool proven;
	GList link; /* in health.seen */
};

struct health {
	struct health_limits limits;
	GHashTable *workers; /* struct worker by id */
	GHashTable *jobs; /* struct job by name */
	GQueue seen; /* struct job.link; the last seen at the tail */
};

struct health *
health_new(const struct health_limits *limits)
{
	struct health *h = g_new0(struct health, 1);

	h->limits = *limits;
	h->workers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	h->jobs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&h->seen);
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
forget_oldest(struct health *h)
{
	struct job *oldest = h->seen.head->data;

	g_queue_unlink(&h->seen, &oldest->link);
	g_hash_table_remove(h->jobs, &oldest->name);
}

static struct job *
job_touch(struct health *h, uint64_t name)
{
	struct job *job = g_hash_table_lookup(h->jobs, &name);

	if (job != NULL) {
		g_queue_unlink(&h->seen, &job->link);
		g_queue_push_tail_link(&h->seen, &job->link);
		return job;
	}
	if (g_hash_table_size(h->jobs) >= h->limits.max_jobs)
		forget_oldest(h);
	job = g_new0(struct job, 1);
	job->name = name;
	job->link.data = job;
	g_hash_table_insert(h->jobs, &job->name, job);
	g_queue_push_tail_link(&h->seen, &job->link);
	return job;
}

bool
health_bad_job(const struct health *h, uint64_t name)
{
	const struct job *job = g_hash_table_lookup(h->jobs, &name);

	return job != NULL && job->failures >= BAD_WORKERS;
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

/* How much one job's failure says against a worker. */
static unsigned
points_of(const struct health *h, uint32_t worker, uint64_t name)
{
	const struct job *job = g_hash_table_lookup(h->jobs, &name);

	if (job == NULL || job->failures >= BAD_WORKERS)
		return 0;
	if (job->proven && job->succeeded != worker)
		return PROVEN_POINTS;
	return job->failures <= 1 ? ALONE_POINTS : 0;
}

static unsigned
points(const struct health *h, const struct worker *w, uint32_t id)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < w->failures; i++)
		sum += points_of(h, id, w->failed[i]);
	return sum;
}

static void
put_aside(struct health *h, struct worker *w, uint32_t id, int64_t now_ms,
    GArray *changes)
{
	w->probe_at_ms = now_ms + w->wait_ms;
	w->wait_ms = MIN(2 * w->wait_ms, h->limits.probe_max_ms);
	w->probes_ok = 0;
	set_state(w, id, HEALTH_SET_ASIDE, changes);
}

/* Sets a worker aside, or brings it back when its evidence has gone. */
static void
judge(struct health *h, uint32_t id, int64_t now_ms, GArray *changes)
{
	struct worker *w = worker_get(h, id);
	bool guilty;

	if (w == NULL)
		return;
	guilty = points(h, w, id) >= ASIDE_POINTS;
	if (guilty && w->state == HEALTH_GOOD)
		put_aside(h, w, id, now_ms, changes);
	else if (!guilty && w->state == HEALTH_SET_ASIDE)
		set_state(w, id, HEALTH_GOOD, changes);
}

/* Judges again all workers that a job failed on. */
static void
judge_all(
    struct health *h, const struct job *job, int64_t now_ms, GArray *changes)
{
	for (unsigned i = 0; i < job->failures; i++)
		judge(h, job->failed[i], now_ms, changes);
}

static void
succeed(struct health *h, struct worker *w, uint32_t id, struct job *job,
    int64_t now_ms, GArray *changes)
{
	job->proven = true;
	job->succeeded = id;
	w->failures = 0;
	if (w->state == HEALTH_PROBING && ++w->probes_ok >= PROBES_OK) {
		w->wait_ms = h->limits.probe_ms;
		set_state(w, id, HEALTH_GOOD, changes);
	}
	judge(h, id, now_ms, changes);
	judge_all(h, job, now_ms, changes);
	job->failures = 0;
}

/* Remembers a worker's failed job, once; the oldest makes room. */
static void
note_job(struct worker *w, uint64_t name)
{
	for (unsigned i = 0; i < w->failures; i++) {
		if (w->failed[i] == name)
			return;
	}
	if (w->failures == FAILURES_KEPT) {
		for (unsigned i = 1; i < FAILURES_KEPT; i++)
			w->failed[i - 1] = w->failed[i];
		w->failures--;
	}
	w->failed[w->failures++] = name;
}

static void
note_worker(struct job *job, uint32_t id)
{
	for (unsigned i = 0; i < job->failures; i++) {
		if (job->failed[i] == id)
			return;
	}
	if (job->failures < WORKERS_KEPT)
		job->failed[job->failures++] = id;
}

void
health_attempt_ended(struct health *h, uint32_t id, uint64_t name, bool ok,
    int64_t now_ms, GArray *changes)
{
	struct worker *w = worker_ensure(h, id);
	struct job *job = job_touch(h, name);

	if (ok) {
		succeed(h, w, id, job, now_ms, changes);
		return;
	}
	note_worker(job, id);
	note_job(w, name);
	judge_all(h, job, now_ms, changes);
	/* A probe that fails for a job to blame itself says nothing. */
	if (w->state == HEALTH_PROBING && points_of(h, id, name) > 0)
		put_aside(h, w, id, now_ms, changes);
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
