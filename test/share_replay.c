#include <math.h>

#include "plan.h"
#include "share_replay.h"

#define ROUND_MS 10
#define TASK_MILLICPUS 1000
#define RUNTIME_MIN_MS 500
#define RUNTIME_SPREAD_MS 2000
#define SLACK_FACTOR 2
#define TARGET_MS 1000
#define TASKS_MAX 4 /* of a job */

struct job {
	struct plan_pending plan;
	int organisation;
	uint32_t waiting; /* tasks */
	uint32_t running;
	int64_t runtime_ms;
	bool tried; /* in this round */
};

struct running {
	struct job *job;
	int64_t end_ms;
};

struct organisation {
	double weight; /* jobs per second that it usually sends */
	struct resources used;
	uint32_t jobs; /* not ended */
	struct share_bucket bucket;
	bool waits; /* in the last round tasks found no room */
};

struct replay {
	const struct replay_conf *conf;
	struct replay_result result;
	struct organisation organisations[REPLAY_ORGANISATIONS];
	struct rng rng;
	GPtrArray *jobs; /* struct job, not ended */
	GArray *running;
	int64_t now_ms;
	int64_t free_millicpus;
	uint64_t serial;
	int64_t idle_ms;
};

static const struct resources per_task = { TASK_MILLICPUS, 0, 0 };

static int64_t
mean_work_ms(void)
{
	return (RUNTIME_MIN_MS + RUNTIME_SPREAD_MS / 2) * (1 + TASKS_MAX) / 2;
}

/* As unequal as 1 to 20; the one that sends the rush is as the average. */
static double
size_of(int i)
{
	return i == 0 ? REPLAY_ORGANISATIONS / 2 : i;
}

/* The weights match the usual load. */
static void
set_weights(struct replay *r)
{
	double cores = (double)r->conf->millicpus / 1000;
	double jobs_per_s =
	    r->conf->usual * cores * 1000 / (double)mean_work_ms();
	double sum = 0;

	for (int i = 0; i < REPLAY_ORGANISATIONS; i++)
		sum += size_of(i);
	for (int i = 0; i < REPLAY_ORGANISATIONS; i++)
		r->organisations[i].weight = jobs_per_s * size_of(i) / sum;
}

static double
weights(const struct replay *r)
{
	double sum = 0;

	for (int i = 0; i < REPLAY_ORGANISATIONS; i++)
		sum += r->organisations[i].jobs > 0 ? r->organisations[i].weight
						    : 0;
	return sum;
}

static struct resources
whole(const struct replay *r)
{
	return (struct resources){ r->conf->millicpus, 0, 0 };
}

static void
add_job(struct replay *r, int i)
{
	struct organisation *o = &r->organisations[i];
	struct resources all = whole(r);
	struct job *j;
	int64_t runtime_ms =
	    RUNTIME_MIN_MS + (int64_t)rng_below(&r->rng, RUNTIME_SPREAD_MS);
	uint32_t tasks = 1 + (uint32_t)rng_below(&r->rng, TASKS_MAX);

	r->result.sent[i]++;
	if (r->conf->admission &&
	    !share_bucket_take(&o->bucket, o->weight, r->now_ms) && o->waits &&
	    share_over_due(&o->used, &all, o->weight / weights(r))) {
		r->result.refused[i]++;
		return;
	}
	j = g_new0(struct job, 1);
	j->organisation = i;
	j->waiting = tasks;
	j->runtime_ms = runtime_ms;
	j->plan = (struct plan_pending){ .accepted_ms = r->now_ms,
		.objective_ms = TARGET_MS + SLACK_FACTOR * runtime_ms,
		.remaining_ms = runtime_ms,
		.serial = r->serial++ };
	o->jobs++;
	g_ptr_array_add(r->jobs, j);
}

/* Arrivals are Poisson; each organisation draws as often with the rush as
 * without it, so that the others send the same. */
static void
add_jobs(struct replay *r)
{
	for (int i = 0; i < REPLAY_ORGANISATIONS; i++) {
		double rate =
		    r->organisations[i].weight * (i == 0 ? r->conf->rush : 1);
		struct rng own = { r->conf->seed * 1000003 +
			(uint64_t)r->now_ms * 31 + (uint64_t)i };
		double p = exp(-rate * ROUND_MS / 1000);
		double left = 1;

		r->rng = own;
		(void)rng_next(&r->rng);
		for (;;) {
			left *= (double)(rng_next(&r->rng) >> 11) /
			    (double)(UINT64_C(1) << 53);
			if (left < p)
				break;
			add_job(r, i);
		}
	}
}

static void
end_job(struct replay *r, struct job *j)
{
	if (r->now_ms - j->plan.accepted_ms <= j->plan.objective_ms)
		r->result.in_time[j->organisation]++;
	r->organisations[j->organisation].jobs--;
	g_ptr_array_remove_fast(r->jobs, j);
}

static void
end_runs(struct replay *r)
{
	for (guint i = r->running->len; i > 0; i--) {
		struct running *run =
		    &g_array_index(r->running, struct running, i - 1);
		struct job *j = run->job;

		if (run->end_ms > r->now_ms)
			continue;
		g_array_remove_index_fast(r->running, i - 1);
		r->free_millicpus += TASK_MILLICPUS;
		resources_add(
		    &r->organisations[j->organisation].used, &per_task, -1);
		if (--j->running == 0 && j->waiting == 0)
			end_job(r, j);
	}
}

static void
start_task(struct replay *r, struct job *j)
{
	struct organisation *o = &r->organisations[j->organisation];
	struct running run = { j, r->now_ms + j->runtime_ms };

	j->waiting--;
	j->running++;
	r->free_millicpus -= TASK_MILLICPUS;
	resources_add(&o->used, &per_task, 1);
	r->result.cap_exceeded |= !share_fits_cap(&o->used, &r->conf->cap);
	r->result.longest_wait_ms =
	    MAX(r->result.longest_wait_ms, r->now_ms - j->plan.accepted_ms);
	g_array_append_val(r->running, run);
}

/* Starts up to limit tasks of a job. */
static void
place(struct replay *r, struct job *j, uint32_t limit)
{
	struct organisation *o = &r->organisations[j->organisation];
	uint32_t room = share_tasks_within_cap(
	    &o->used, &r->conf->cap, &per_task, j->waiting, false);

	room = MIN(room, limit);
	while (room-- > 0 && r->free_millicpus >= TASK_MILLICPUS)
		start_task(r, j);
}

static gint
by_urgency(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;
	const struct replay *r = arg;

	return plan_compare_latest_start(&x->plan, &y->plan, r->now_ms);
}

static void
turn(struct replay *r, uint32_t number)
{
	struct resources all = whole(r);
	double sum = weights(r);

	for (guint i = 0; i < r->jobs->len; i++) {
		struct job *j = r->jobs->pdata[i];
		struct organisation *o = &r->organisations[j->organisation];

		if (j->waiting > 0)
			place(r, j,
			    share_tasks_due(&o->used, &all, o->weight / sum,
				number, &per_task, j->waiting, false));
	}
}

static void
play_round(struct replay *r)
{
	bool waits = false;

	for (int i = 0; i < REPLAY_ORGANISATIONS; i++)
		r->organisations[i].waits = false;
	g_ptr_array_sort_with_data(r->jobs, by_urgency, r);
	for (uint32_t n = r->conf->shares ? 0 : SHARE_TURNS - 1;
	     n < SHARE_TURNS; n++)
		turn(r, n);
	for (guint i = 0; i < r->jobs->len; i++) {
		struct job *j = r->jobs->pdata[i];
		struct organisation *o = &r->organisations[j->organisation];

		o->waits |= share_tasks_within_cap(&o->used, &r->conf->cap,
				&per_task, j->waiting, false) > 0;
		waits |= o->waits;
	}
	r->idle_ms +=
	    waits && r->free_millicpus >= TASK_MILLICPUS ? ROUND_MS : 0;
}

struct replay_result
replay_run(const struct replay_conf *conf)
{
	struct replay r = { .conf = conf,
		.free_millicpus = conf->millicpus,
		.jobs = g_ptr_array_new_with_free_func(g_free),
		.running = g_array_new(FALSE, FALSE, sizeof(struct running)) };
	/* All work has ended by then unless some of it is passed over. */
	int64_t end_ms = conf->duration_ms * 12;

	set_weights(&r);
	for (; r.now_ms < end_ms; r.now_ms += ROUND_MS) {
		end_runs(&r);
		if (r.now_ms < conf->duration_ms)
			add_jobs(&r);
		else if (r.jobs->len == 0)
			break;
		play_round(&r);
	}
	r.result.unfinished = r.jobs->len;
	r.result.idle_share = (double)r.idle_ms / (double)conf->duration_ms;
	g_ptr_array_unref(r.jobs);
	g_array_unref(r.running);
	return r.result;
}

double
replay_in_time(const struct replay_result *r, int first)
{
	double sent = 0;
	double in_time = 0;

	for (int i = first; i < REPLAY_ORGANISATIONS; i++) {
		sent += r->sent[i];
		in_time += r->in_time[i];
	}
	return sent > 0 ? in_time / sent : 1;
}
