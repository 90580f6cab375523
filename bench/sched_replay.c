#include <math.h>
#include <time.h>

#include "sched_replay.h"

#define TICK_MS 10 /* between rounds, while there is work */
#define SAMPLE_MS 1000 /* between samples of utilisation and shares */
#define WARMUP_DIVISOR 3 /* the first duration / 3 is not measured */
#define STOP_MS 200 /* duration of a checkpoint and stop */
#define MIN_USABLE 0.03 /* smallest free fraction that a task can use */

enum task_state { TASK_WAITS, TASK_RUNS, TASK_ENDED };

struct task {
	enum task_state state;
	uint32_t worker;
	uint32_t starts; /* number of the current start, to ignore ends of
			    earlier ones */
	int64_t started_ms;
};

/* The end of a task's run, by itself or after a stop. */
struct end {
	int64_t at_ms;
	uint64_t job;
	uint32_t task;
	uint32_t starts;
	bool stopped;
};

/* Use of a worker, counted independently of the scheduler's tables. */
struct usage {
	struct resources used;
	int64_t slots;
};

struct replay_state {
	const struct load *load;
	struct sched *sched;
	struct sched_round round;
	struct replay_result *result;
	struct task **tasks; /* by job index */
	GArray *ends; /* struct end, a binary heap */
	struct usage *workers;
	double *shortfall; /* sums by team */
	int64_t *waiting_millicpus; /* of waiting tasks, by team */
	int64_t *waiting_memory;
	guint next_job; /* index of the next job to arrive */
	int64_t now_ms;
	int64_t measure_from_ms;
	int64_t samples;
};

void
samples_init(struct samples *s)
{
	s->values = g_array_new(FALSE, FALSE, sizeof(double));
}

void
samples_clear(struct samples *s)
{
	g_array_unref(s->values);
}

void
samples_add(struct samples *s, double value)
{
	g_array_append_val(s->values, value);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double
samples_quantile(struct samples *s, double q)
{
	guint n = s->values->len;

	if (n == 0)
		return 0;
	g_array_sort(s->values, by_value);
	return g_array_index(
	    s->values, double, MIN((guint)(q * (double)n), n - 1));
}

static struct end *
end_at(GArray *ends, guint i)
{
	return &g_array_index(ends, struct end, i);
}

static void
swap_ends(GArray *ends, guint i, guint j)
{
	struct end end = *end_at(ends, i);

	*end_at(ends, i) = *end_at(ends, j);
	*end_at(ends, j) = end;
}

static void
push_end(GArray *ends, const struct end *end)
{
	guint i = ends->len;

	g_array_append_val(ends, *end);
	while (i > 0 && end_at(ends, (i - 1) / 2)->at_ms > end->at_ms) {
		swap_ends(ends, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void
pop_end(GArray *ends)
{
	guint i = 0;

	swap_ends(ends, 0, ends->len - 1);
	g_array_set_size(ends, ends->len - 1);
	for (;;) {
		guint least = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < ends->len &&
			    end_at(ends, child)->at_ms <
				end_at(ends, least)->at_ms)
				least = child;
		}
		if (least == i)
			return;
		swap_ends(ends, i, least);
		i = least;
	}
}

static const struct load_job *
job_at(const struct replay_state *r, uint64_t id)
{
	return &g_array_index(r->load->jobs, struct load_job, id - 1);
}

static void
count_waiting(struct replay_state *r, const struct load_job *job, int64_t tasks)
{
	r->waiting_millicpus[job->spec.team] +=
	    tasks * job->spec.resources.millicpus;
	r->waiting_memory[job->spec.team] += tasks * job->spec.resources.memory;
}

static void
account(struct replay_state *r, const struct load_job *job, uint32_t worker,
    int sign)
{
	struct usage *u = &r->workers[worker];
	const struct sched_worker *w =
	    &g_array_index(r->load->workers, struct sched_worker, worker);

	resources_add(&u->used, &job->spec.resources, sign);
	u->slots += sign;
	g_assert(resources_fit(&u->used, &w->capacity) && u->slots <= w->slots);
}

static void
arrive(struct replay_state *r)
{
	const struct load_job *job = job_at(r, r->next_job + 1);

	r->tasks[r->next_job] = g_new0(struct task, job->count);
	sched_job_add(r->sched, &job->spec, 0, job->count);
	count_waiting(r, job, job->count);
	r->next_job++;
}

static void
end_task(struct replay_state *r, const struct end *end)
{
	const struct load_job *job = job_at(r, end->job);
	struct task *task = &r->tasks[end->job - 1][end->task];

	if (task->state != TASK_RUNS || task->starts != end->starts)
		return;
	sched_run_end(r->sched, end->job, end->task, task->worker);
	account(r, job, task->worker, -1);
	task->state = end->stopped ? TASK_WAITS : TASK_ENDED;
	if (!end->stopped)
		return;
	r->result->lost_s += (double)(r->now_ms - task->started_ms) / 1000;
	count_waiting(r, job, 1);
	sched_job_add(r->sched, &job->spec, end->task, 1);
}

static void
record_wait(struct replay_state *r, const struct load_job *job)
{
	double ms = (double)(r->now_ms - job->spec.submitted_ms);

	if (job->spec.submitted_ms < r->measure_from_ms)
		return;
	if (job->spec.urgent)
		samples_add(&r->result->urgent_ms, ms);
	else
		samples_add(&r->result->wait_ms[job->spec.kind], ms);
}

static void
start(struct replay_state *r, const struct sched_placement *p)
{
	const struct load_job *job = job_at(r, p->job);
	struct task *task = &r->tasks[p->job - 1][p->task];
	struct end end = {
		.at_ms = r->now_ms + job->runtime_ms,
		.job = p->job,
		.task = p->task,
		.starts = task->starts + 1,
	};

	g_assert(task->state == TASK_WAITS);
	if (task->starts == 0)
		record_wait(r, job);
	task->state = TASK_RUNS;
	task->worker = p->worker;
	task->starts++;
	task->started_ms = r->now_ms;
	account(r, job, p->worker, 1);
	count_waiting(r, job, -1);
	if (job->runtime_ms > 0)
		push_end(r->ends, &end);
}

static void
stop(struct replay_state *r, const struct sched_preemption *p)
{
	struct end end = {
		.at_ms = r->now_ms + STOP_MS,
		.job = p->job,
		.task = p->task,
		.starts = r->tasks[p->job - 1][p->task].starts,
		.stopped = true,
	};

	if (p->action == SCHED_THROTTLE)
		r->result->throttles++;
	if (p->action != SCHED_CHECKPOINT_STOP)
		return;
	r->result->stops++;
	push_end(r->ends, &end);
}

static int64_t
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static void
decide(struct replay_state *r)
{
	int64_t begin = cpu_ns();
	int64_t took;

	sched_decide(r->sched, r->now_ms, SIZE_MAX, &r->round);
	took = cpu_ns() - begin;
	r->result->rounds++;
	r->result->decide_s += (double)took / 1e9;
	r->result->placements += r->round.placements->len;
	if (r->now_ms >= r->measure_from_ms)
		samples_add(&r->result->round_us, (double)took / 1e3);
	for (guint i = 0; i < r->round.placements->len; i++)
		start(r,
		    &g_array_index(
			r->round.placements, struct sched_placement, i));
	for (guint i = 0; i < r->round.preemptions->len; i++)
		stop(r,
		    &g_array_index(
			r->round.preemptions, struct sched_preemption, i));
}

/* The free fraction of a worker that no task can use. */
static double
stranded(const struct sched_worker *w, const struct usage *u)
{
	double cpu =
	    1 - (double)u->used.millicpus / (double)w->capacity.millicpus;
	double memory = 1 - (double)u->used.memory / (double)w->capacity.memory;

	if (u->slots < w->slots && MIN(cpu, memory) >= MIN_USABLE)
		return 0;
	return MAX(cpu, memory);
}

/* A team's shortfall is what its waiting tasks need beyond its share, up to its
 * quota, as a fraction of the quota. */
static void
sample_teams(struct replay_state *r)
{
	const struct resources *total = &r->load->total;

	for (uint32_t i = 0; i < r->load->spec.teams; i++) {
		const struct resources *quota =
		    &g_array_index(r->load->quotas, struct resources, i);
		double share = sched_team_share(r->sched, i);
		double entitled =
		    (double)quota->millicpus / (double)total->millicpus;
		double wanted = share +
		    MAX((double)r->waiting_millicpus[i] /
			    (double)total->millicpus,
			(double)r->waiting_memory[i] / (double)total->memory);

		r->shortfall[i] +=
		    MAX(0, MIN(entitled, wanted) - share) / entitled;
	}
}

static void
sample(struct replay_state *r)
{
	struct resources used = { 0 };
	double stranded_sum = 0;
	double cpu;
	double memory;

	for (guint i = 0; i < r->load->workers->len; i++) {
		resources_add(&used, &r->workers[i].used, 1);
		stranded_sum += stranded(
		    &g_array_index(r->load->workers, struct sched_worker, i),
		    &r->workers[i]);
	}
	r->samples++;
	cpu = (double)used.millicpus / (double)r->load->total.millicpus;
	memory = (double)used.memory / (double)r->load->total.memory;
	r->result->cpu += cpu;
	r->result->memory += memory;
	r->result->packing += MAX(cpu, memory);
	r->result->stranded += stranded_sum / r->load->workers->len;
	r->result->waiting_mean += (double)sched_waiting_tasks(r->sched);
	sample_teams(r);
}

/* Advances to the next tick and handles arrivals and ends until then. Returns
 * whether a round is needed. */
static bool
advance(struct replay_state *r)
{
	bool changed = false;

	r->now_ms += TICK_MS;
	while (r->next_job < r->load->jobs->len &&
	    job_at(r, r->next_job + 1)->spec.submitted_ms <= r->now_ms) {
		arrive(r);
		changed = true;
	}
	while (r->ends->len > 0 && end_at(r->ends, 0)->at_ms <= r->now_ms) {
		struct end end = *end_at(r->ends, 0);

		pop_end(r->ends);
		end_task(r, &end);
		changed = true;
	}
	return changed || sched_waiting_tasks(r->sched) > 0;
}

static void
finish(struct replay_state *r)
{
	struct replay_result *result = r->result;
	double n = (double)MAX(r->samples, 1);

	result->packing /= n;
	result->cpu /= n;
	result->memory /= n;
	result->stranded /= n;
	result->waiting_mean /= n;
	result->waiting = sched_waiting_tasks(r->sched);
	for (uint32_t i = 0; i < r->load->spec.teams; i++)
		result->shortfall = MAX(result->shortfall, r->shortfall[i] / n);
	for (guint i = 0; i < r->load->jobs->len; i++)
		g_free(r->tasks[i]);
	g_free(r->tasks);
	g_free(r->workers);
	g_free(r->shortfall);
	g_free(r->waiting_millicpus);
	g_free(r->waiting_memory);
	g_array_unref(r->ends);
	sched_round_clear(&r->round);
	sched_free(r->sched);
}

void
replay(const struct load *load, const struct sched_policy *policy,
    struct replay_result *result)
{
	struct replay_state r = {
		.load = load,
		.sched = sched_new(policy),
		.result = result,
		.measure_from_ms = load->spec.duration_ms / WARMUP_DIVISOR,
		.tasks = g_new0(struct task *, load->jobs->len),
		.ends = g_array_new(FALSE, FALSE, sizeof(struct end)),
		.workers = g_new0(struct usage, load->workers->len),
		.shortfall = g_new0(double, load->spec.teams),
		.waiting_millicpus = g_new0(int64_t, load->spec.teams),
		.waiting_memory = g_new0(int64_t, load->spec.teams),
	};

	*result = (struct replay_result){ 0 };
	samples_init(&result->round_us);
	samples_init(&result->urgent_ms);
	for (unsigned i = 0; i < KIND_COUNT; i++)
		samples_init(&result->wait_ms[i]);
	sched_round_init(&r.round);
	for (uint32_t i = 0; i < load->spec.teams; i++)
		sched_team_set(r.sched, i, 1,
		    &g_array_index(load->quotas, struct resources, i));
	for (guint i = 0; i < load->workers->len; i++)
		sched_worker_set(r.sched,
		    &g_array_index(load->workers, struct sched_worker, i));
	while (r.now_ms < load->spec.duration_ms) {
		if (advance(&r))
			decide(&r);
		if (r.now_ms >= r.measure_from_ms && r.now_ms % SAMPLE_MS == 0)
			sample(&r);
	}
	finish(&r);
}

void
replay_result_clear(struct replay_result *result)
{
	samples_clear(&result->round_us);
	samples_clear(&result->urgent_ms);
	for (unsigned i = 0; i < KIND_COUNT; i++)
		samples_clear(&result->wait_ms[i]);
}
