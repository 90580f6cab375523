#include <math.h>
#include <string.h>

#include "overload_replay.h"

#define STEP_MS 50
#define MB (INT64_C(1) << 20)
#define CHECKPOINT_MS 1000
#define CORES 64
#define MEMORY_MB (256 * 1024)
#define DRAIN_MS 300000 /* after the last arrival */
#define AGED_MS 30000 /* as in lib/dispatch/admission.c */
#define AGED_TURN_MS 1000
#define PREEMPTIONS_PER_STEP 6 /* as in lib/dispatch/round.c */
#define SPARE_MARGIN_MS 2500 /* as in lib/dispatch/preempt.c */
#define RUN_MIN_MS 600
#define STOPS_MAX_BEFORE 4
#define STOPS_MAX 2
#define WAVE_MS 20000

struct job;

struct task {
	struct job *job;
	int worker; /* -1: waits */
	int64_t left_ms; /* run time until its end */
	int64_t since_ms; /* of its last start */
	uint32_t stops;
	bool done;
};

struct job {
	const struct replay_class *class;
	uint64_t id;
	int64_t first_ms;
	int64_t accepted_ms; /* 0: not accepted */
	int64_t next_ms; /* of its caller's next attempt; -1: none */
	int64_t ended_ms;
	uint32_t attempts;
	uint32_t waiting; /* tasks */
	uint32_t left; /* tasks not done */
	struct task *tasks;
	struct plan_pending plan;
};

struct replay {
	const struct replay_load *load;
	const struct replay_rules *rules;
	int64_t now;
	struct plan_worker *workers;
	GPtrArray *jobs; /* struct job */
	GPtrArray *open; /* accepted and not ended */
	GPtrArray *running; /* struct task */
	struct admit *admit;
	struct job *aged;
	int64_t aged_ms;
	int preemptions_left;
	bool room; /* the last round has left much of each resource free */
	struct replay_result out;
};

static const struct resources worker_capacity = { CORES * 1000, MEMORY_MB *MB,
	0 };

static int64_t
objective_of(const struct replay_class *c)
{
	return c->target_ms +
	    (int64_t)(c->slack_factor * (double)c->runtime_ms);
}

static struct resources
task_resources(const struct replay_class *c)
{
	return (struct resources){ c->millicpus, c->memory_mb * MB, 0 };
}

static struct cost_job
cost_job_of(const struct job *j, uint32_t tasks)
{
	const struct replay_class *c = j->class;
	struct resources r = task_resources(c);

	return (struct cost_job){ .priority = c->priority,
		.entitled_permille = c->entitled_permille == 0
		    ? COST_ENTITLED_FULL
		    : c->entitled_permille,
		.first_ms = j->first_ms,
		.objective_ms = objective_of(c),
		.remaining_ms = c->runtime_ms,
		.work = cost_work(&r, tasks, c->runtime_ms, &worker_capacity) };
}

static int
by_arrival(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now)
{
	return a->serial < b->serial ? -1 : a->serial > b->serial;
}

static int
by_deadline(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now)
{
	int64_t x = a->accepted_ms + a->objective_ms;
	int64_t y = b->accepted_ms + b->objective_ms;

	return x != y ? (x < y ? -1 : 1) : by_arrival(a, b, now);
}

static int
by_priority(
    const struct plan_pending *a, const struct plan_pending *b, int64_t now)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return by_arrival(a, b, now);
}

const struct replay_rules replay_rules[REPLAY_RULES_COUNT] = {
	[REPLAY_FIRST_COME] = { "first come first served", by_arrival, false,
	    REPLAY_STOPS_NONE },
	[REPLAY_DEADLINE] = { "by deadline", by_deadline, false,
	    REPLAY_STOPS_NONE },
	[REPLAY_PRIORITY] = { "by priority alone", by_priority, false,
	    REPLAY_STOPS_NONE },
	[REPLAY_WORTH] = { "by worth per work", plan_compare, false,
	    REPLAY_STOPS_NONE },
	[REPLAY_NO_REFUSAL] = { "no refusal", plan_compare, false,
	    REPLAY_STOPS_COST },
	[REPLAY_NO_PREEMPTION] = { "no preemption", plan_compare, true,
	    REPLAY_STOPS_NONE },
	[REPLAY_BEFORE] = { "before", plan_compare_latest_start, false,
	    REPLAY_STOPS_SPARE },
	[REPLAY_YIELD] = { "yield", plan_compare, true, REPLAY_STOPS_COST },
};

/* Exponential gaps between arrivals at a rate that may rise and fall. */
static void
add_arrivals(struct replay *p, const struct replay_class *c, struct rng *rng)
{
	double t = (double)c->from_ms;
	double most = c->per_s * (1 + c->wave) / 1000;

	while (true) {
		double u = ((double)rng_below(rng, 1000000) + 1) / 1000001;
		double keep = ((double)rng_below(rng, 1000000)) / 1000000;
		struct job *j;

		t -= log(u) / most;
		if (t >= (double)c->until_ms)
			return;
		if (keep * (1 + c->wave) >
		    1 + c->wave * sin(2 * G_PI * t / WAVE_MS))
			continue;
		j = g_new0(struct job, 1);
		j->class = c;
		j->first_ms = j->next_ms = (int64_t)t + 1;
		g_ptr_array_add(p->jobs, j);
	}
}

static gint
by_first(gconstpointer a, gconstpointer b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	return x->first_ms < y->first_ms ? -1 : x->first_ms > y->first_ms;
}

static void
job_free(void *arg)
{
	struct job *j = arg;

	g_free(j->tasks);
	g_free(j);
}

static bool
is_lost(const struct replay *p, uint32_t worker)
{
	return worker < p->load->lost_workers &&
	    p->now >= p->load->until_ms / 3 &&
	    p->now < p->load->until_ms * 2 / 3;
}

static struct plan_request
request_of(const struct job *j)
{
	return (struct plan_request){ .count = j->waiting,
		.per_task = task_resources(j->class),
		.gang = j->class->gang,
		.far_factor = 1 };
}

static void
accept_job(struct replay *p, struct job *j)
{
	const struct replay_class *c = j->class;

	j->accepted_ms = p->now;
	j->next_ms = -1;
	j->waiting = j->left = c->tasks;
	j->tasks = g_new0(struct task, c->tasks);
	for (uint32_t i = 0; i < c->tasks; i++)
		j->tasks[i] = (struct task){
			.job = j, .worker = -1, .left_ms = c->runtime_ms
		};
	j->plan = (struct plan_pending){ .accepted_ms = j->first_ms,
		.objective_ms = objective_of(c),
		.remaining_ms = c->runtime_ms,
		.priority = c->priority,
		.serial = j->id };
	g_ptr_array_add(p->open, j);
}

/* Says whether three tenths of each resource are free. */
static bool
has_room(const struct replay *p)
{
	struct resources free = { 0 };
	struct resources all = { 0 };

	for (uint32_t i = 0; i < p->load->workers; i++) {
		if (is_lost(p, i))
			continue;
		resources_add(&free, &p->workers[i].free, 1);
		resources_add(&all, &worker_capacity, 1);
	}
	return free.millicpus * 10 > all.millicpus * 3 &&
	    free.memory / 3 > all.memory / 10;
}

/* A call of a job's caller. */
static void
call(struct replay *p, struct job *j)
{
	struct admit_request r = { .id = j->id,
		.now_ms = p->now,
		.job = cost_job_of(j, j->class->tasks) };
	struct admit_decision d = { .accept = true };
	int64_t retry_s;

	j->attempts++;
	if (p->rules->refuse)
		d = admit_decide(p->admit, &r);
	if (d.accept) {
		accept_job(p, j);
		return;
	}
	p->out.refusals++;
	if (p->room)
		p->out.refusals_with_room++;
	retry_s = (d.retry_ms + 999) / 1000;
	j->next_ms =
	    j->attempts >= COST_ATTEMPTS_MAX ? -1 : p->now + retry_s * 1000;
}

static void
start_task(struct replay *p, struct task *t, int worker)
{
	t->worker = worker;
	t->since_ms = p->now;
	t->job->waiting--;
	g_ptr_array_add(p->running, t);
}

/* Takes a running task off its worker. */
static void
leave_worker(struct replay *p, struct task *t)
{
	struct resources r = task_resources(t->job->class);

	resources_add(&p->workers[t->worker].free, &r, 1);
	t->worker = -1;
	g_ptr_array_remove_fast(p->running, t);
}

static int64_t
since_checkpoint(const struct replay *p, const struct task *t)
{
	return t->job->class->checkpointing
	    ? (p->now - t->since_ms) % CHECKPOINT_MS
	    : p->now - t->since_ms;
}

static void
stop_task(struct replay *p, struct task *t)
{
	t->left_ms -= p->now - t->since_ms - since_checkpoint(p, t);
	leave_worker(p, t);
	t->job->waiting++;
	t->stops++;
	p->out.stops++;
	p->out.most_stops = MAX(p->out.most_stops, t->stops);
}

static void
end_job(struct replay *p, struct job *j)
{
	int64_t took = p->now - j->first_ms;
	int64_t objective = objective_of(j->class);

	j->ended_ms = p->now;
	p->out.longest_wait_ms =
	    MAX(p->out.longest_wait_ms, p->now - j->accepted_ms);
	if (took <= objective) {
		p->out.in_time++;
		p->out.priority_in_time[j->class->priority]++;
	} else if (took <= COST_USEFUL_OBJECTIVES * objective) {
		p->out.late++;
	} else {
		p->out.useless++;
	}
	g_ptr_array_remove(p->open, j);
}

static void
end_tasks(struct replay *p)
{
	for (guint i = p->running->len; i > 0; i--) {
		struct task *t = p->running->pdata[i - 1];

		if (is_lost(p, (uint32_t)t->worker)) {
			struct job *j = t->job;

			/* A gang that loses a member starts again. */
			stop_task(p, t);
			p->out.stops--;
			t->stops--;
			for (uint32_t k = 0;
			     j->class->gang && k < j->class->tasks; k++)
				if (j->tasks[k].worker >= 0) {
					stop_task(p, &j->tasks[k]);
					p->out.stops--;
					j->tasks[k].stops--;
				}
			i = p->running->len + 1;
			continue;
		}
		if (p->now - t->since_ms < t->left_ms)
			continue;
		leave_worker(p, t);
		t->done = true;
		if (--t->job->left == 0)
			end_job(p, t->job);
	}
}

static void
place(struct replay *p, struct job *j)
{
	struct plan_request request = request_of(j);
	GPtrArray *workers = g_ptr_array_new();
	uint32_t *pick = g_new(uint32_t, request.count);
	uint32_t placed;
	uint32_t next = 0;

	for (uint32_t i = 0; i < p->load->workers; i++)
		if (!is_lost(p, i))
			g_ptr_array_add(workers, &p->workers[i]);
	placed = plan_place((struct plan_worker **)workers->pdata, workers->len,
	    &request, pick);
	for (uint32_t i = 0; i < j->class->tasks && next < placed; i++) {
		struct task *t = &j->tasks[i];
		const struct plan_worker *w;

		if (t->done || t->worker >= 0)
			continue;
		w = workers->pdata[pick[next++]];
		start_task(p, t, (int)w->worker);
	}
	g_free(pick);
	g_ptr_array_unref(workers);
}

static int64_t
spare_ms(const struct job *j, int64_t now)
{
	return j->plan.accepted_ms + j->plan.objective_ms -
	    j->plan.remaining_ms - now;
}

/* The rules of lib/dispatch/preempt.c. */
static bool
may_stop(const struct replay *p, const struct task *t, const struct job *j)
{
	int64_t least = MAX(spare_ms(j, p->now), 0) + SPARE_MARGIN_MS;
	bool late = plan_tier(&t->job->plan, p->now) > PLAN_ON_TIME;

	if (!t->job->class->checkpointing || t->job->class->gang || t->job == j)
		return false;
	if (!late && spare_ms(t->job, p->now) <= least)
		return false;
	if (p->rules->preemption == REPLAY_STOPS_COST && !late) {
		struct cost_job victim = cost_job_of(t->job, t->job->left);
		struct cost_job own = cost_job_of(j, j->waiting);

		if (cost_weight(&victim, p->now) >= cost_weight(&own, p->now))
			return false;
	}
	return p->rules->preemption == REPLAY_STOPS_COST
	    ? t->stops < STOPS_MAX
	    : t->stops < STOPS_MAX_BEFORE && p->now - t->since_ms >= RUN_MIN_MS;
}

static void
add_victims(struct replay *p, const struct job *j, struct plan_preemption *out)
{
	for (guint i = 0; i < p->running->len; i++) {
		struct task *t = p->running->pdata[i];
		struct plan_victim v = { .run = t,
			.resources = task_resources(t->job->class) };

		if (!may_stop(p, t, j))
			continue;
		if (p->rules->preemption == REPLAY_STOPS_COST)
			v.lost_ms = since_checkpoint(p, t);
		g_array_append_val(out[t->worker].victims, v);
	}
}

/* Adds the stop of a run to the stops of its job. */
static void
add_stop(const struct replay *p, GHashTable *stops, const struct task *t)
{
	struct resources r = task_resources(t->job->class);
	int64_t lost = since_checkpoint(p, t);
	struct cost_stop *s = g_hash_table_lookup(stops, t->job);

	if (s == NULL) {
		struct cost_job job = cost_job_of(t->job, t->job->left);

		s = g_new0(struct cost_stop, 1);
		s->restart_ms = SPARE_MARGIN_MS;
		s->price = cost_per_work(&job, cost_value(&job));
		g_hash_table_insert(stops, t->job, s);
	}
	s->lost_ms = MAX(s->lost_ms, lost);
	s->lost_work += cost_work(&r, 1, lost, &worker_capacity);
}

static int64_t
cost_of_chosen(const struct replay *p, struct plan_preemption *all)
{
	GHashTable *stops = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	int64_t sum = 0;

	for (uint32_t i = 0; i < p->load->workers; i++)
		for (guint k = 0; k < all[i].victims->len; k++) {
			const struct plan_victim *v = &g_array_index(
			    all[i].victims, struct plan_victim, k);

			if (v->chosen)
				add_stop(p, stops, v->run);
		}
	g_hash_table_iter_init(&iter, stops);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct job *j = key;
		struct cost_job job = cost_job_of(j, j->left);

		sum += cost_of_stop(&job, p->now, value);
	}
	g_hash_table_unref(stops);
	return sum;
}

static void
stop_chosen(struct replay *p, struct plan_preemption *all)
{
	for (uint32_t i = 0; i < p->load->workers; i++)
		for (guint k = 0; k < all[i].victims->len; k++) {
			struct plan_victim *v = &g_array_index(
			    all[i].victims, struct plan_victim, k);

			if (v->chosen)
				stop_task(p, v->run);
		}
}

static void
preempt(struct replay *p, struct job *j)
{
	uint32_t n = p->load->workers;
	struct plan_preemption *all = g_new0(struct plan_preemption, n + 1);
	struct plan_worker *copies =
	    g_memdup2(p->workers, n * sizeof(struct plan_worker));
	struct plan_request request = request_of(j);
	struct cost_job job = cost_job_of(j, j->waiting);

	for (uint32_t i = 0; i < n; i++) {
		if (is_lost(p, i))
			copies[i].task_limit = 0;
		all[i].worker = &copies[i];
		all[i].victims =
		    g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
	}
	add_victims(p, j, all);
	if (plan_preempt(all, n, &request) == request.count) {
		bool worth =
		    p->rules->preemption == REPLAY_STOPS_SPARE || j->plan.aged;

		if (worth ||
		    cost_of_chosen(p, all) < cost_of_waiting(&job, p->now)) {
			stop_chosen(p, all);
			place(p, j);
		}
	}
	for (uint32_t i = 0; i < n; i++)
		g_array_unref(all[i].victims);
	g_free(all);
	g_free(copies);
}

static gint
by_rules(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct replay *p = arg;

	return p->rules->compare(&(*(struct job *const *)a)->plan,
	    &(*(struct job *const *)b)->plan, p->now);
}

static void
mark_aged(struct replay *p)
{
	struct job *oldest = NULL;

	if (p->aged != NULL && p->aged->waiting > 0)
		return;
	if (p->aged != NULL)
		p->aged->plan.aged = false;
	p->aged = NULL;
	for (guint i = 0; i < p->open->len; i++) {
		struct job *j = p->open->pdata[i];

		if (j->waiting > 0 &&
		    p->now + j->plan.remaining_ms - j->first_ms -
			    PLAN_LATE_FACTOR * j->plan.objective_ms >
			AGED_MS &&
		    (oldest == NULL || j->first_ms < oldest->first_ms))
			oldest = j;
	}
	if (oldest == NULL || p->now - p->aged_ms < AGED_TURN_MS)
		return;
	p->aged = oldest;
	oldest->plan.aged = true;
	p->aged_ms = p->now;
}

/* What lib/dispatch/admission.c reports of a round. */
static void
update_admission(struct replay *p, GPtrArray *waiting)
{
	struct admit_load load = { .now_ms = p->now };

	for (uint32_t i = 0; i < p->load->workers; i++) {
		if (is_lost(p, i))
			continue;
		resources_add(&load.capacity, &worker_capacity, 1);
		resources_add(&load.used, &worker_capacity, 1);
		resources_add(&load.used, &p->workers[i].free, -1);
	}
	for (guint i = 0; i < p->running->len; i++) {
		const struct task *t = p->running->pdata[i];
		struct resources r = task_resources(t->job->class);

		admit_load_add_run(
		    &load, &r, t->left_ms - (p->now - t->since_ms));
	}
	for (guint i = 0; i < waiting->len; i++) {
		struct job *j = waiting->pdata[i];
		struct cost_job job = cost_job_of(j, j->waiting);

		j->plan.weight = cost_weight(&job, p->now);
		admit_load_add(&load, &job, j->class->runtime_ms);
	}
	admit_update(p->admit, &load);
	mark_aged(p);
}

static void
run_round(struct replay *p)
{
	GPtrArray *waiting = g_ptr_array_new();

	for (guint i = 0; i < p->open->len; i++) {
		struct job *j = p->open->pdata[i];

		if (j->waiting > 0 &&
		    (!j->class->gang || j->waiting == j->left))
			g_ptr_array_add(waiting, j);
	}
	update_admission(p, waiting);
	g_ptr_array_sort_with_data(waiting, by_rules, p);
	p->preemptions_left = PREEMPTIONS_PER_STEP;
	for (guint i = 0; i < waiting->len; i++) {
		struct job *j = waiting->pdata[i];

		place(p, j);
		if (j->waiting == 0 ||
		    p->rules->preemption == REPLAY_STOPS_NONE ||
		    p->preemptions_left == 0 ||
		    (!j->plan.aged &&
			plan_tier(&j->plan, p->now) > PLAN_ON_TIME))
			continue;
		p->preemptions_left--;
		preempt(p, j);
	}
	p->room = has_room(p);
	g_ptr_array_unref(waiting);
}

static void
sum_up(struct replay *p)
{
	int64_t cost = 0;
	int64_t value = 0;

	for (guint i = 0; i < p->jobs->len; i++) {
		const struct job *j = p->jobs->pdata[i];
		struct cost_job job = cost_job_of(j, 1);

		p->out.jobs++;
		p->out.priority_jobs[j->class->priority]++;
		p->out.given_up += j->accepted_ms == 0;
		p->out.unfinished += j->accepted_ms != 0 && j->ended_ms == 0;
		value += cost_value(&job);
		cost += j->ended_ms == 0 ? cost_value(&job)
					 : cost_of_delay(&job, j->ended_ms);
	}
	p->out.cost = cost * 1000 / COST_UNIT;
	p->out.value = value * 1000 / COST_UNIT;
}

static void
init(struct replay *p)
{
	struct rng rng = { .state = p->load->seed };

	p->jobs = g_ptr_array_new_with_free_func(job_free);
	p->open = g_ptr_array_new();
	p->running = g_ptr_array_new();
	p->admit = admit_new();
	g_assert(p->load->workers > 0);
	p->workers = g_new0(struct plan_worker, p->load->workers);
	for (uint32_t i = 0; i < p->load->workers; i++)
		p->workers[i] = (struct plan_worker){ .worker = i,
			.free = worker_capacity,
			.capacity = worker_capacity,
			.slowdown = 1,
			.task_limit = UINT32_MAX };
	for (guint i = 0; i < p->load->class_count; i++)
		add_arrivals(p, &p->load->classes[i], &rng);
	g_ptr_array_sort(p->jobs, by_first);
	for (guint i = 0; i < p->jobs->len; i++)
		((struct job *)p->jobs->pdata[i])->id = i + 1;
}

struct replay_result
replay_run(const struct replay_load *load, const struct replay_rules *rules)
{
	struct replay p = { .load = load, .rules = rules };

	init(&p);
	for (p.now = STEP_MS; p.now < load->until_ms ||
	     (p.open->len > 0 && p.now < load->until_ms + DRAIN_MS);
	     p.now += STEP_MS) {
		end_tasks(&p);
		for (guint i = 0; i < p.jobs->len; i++) {
			struct job *j = p.jobs->pdata[i];

			if (j->next_ms >= 0 && j->next_ms <= p.now)
				call(&p, j);
		}
		run_round(&p);
	}
	sum_up(&p);
	admit_free(p.admit);
	g_ptr_array_unref(p.running);
	g_ptr_array_unref(p.open);
	g_ptr_array_unref(p.jobs);
	g_free(p.workers);
	return p.out;
}
