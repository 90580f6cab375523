/* A placement round: what waits, in order, onto the workers' free room. */
#include <math.h>

#include "impl.h"

#define PACE_LEARN 0.1 /* weight of one run in a worker's mean */
#define PACE_MOST 8.0 /* one run counts as slow by this at most */
#define STUCK_MS 1500 /* a run that makes no progress for so long is moved */
#define STUCK_SHUN_MS 2000 /* its worker gets no new work for so long */
#define PACE_FADE_MS 4000 /* what is known of a worker's pace fades */
#define BELIEF_LEAST 20 /* runs seen before a worker is judged by them */
#define MOVES_MAX 3 /* runs of one task that may be moved */
#define STARTS_MAX 512 /* in one command */
#define YIELDS_A_ROUND 6 /* claims that others may make way for in one */
#define LOAD_LINE_MS 1000 /* between log lines about the load */

static struct plan_belief *
belief_of(struct dispatch *d, const char *queue)
{
	struct plan_belief *b = g_hash_table_lookup(d->beliefs, queue);

	if (b != NULL)
		return b;
	b = g_new0(struct plan_belief, 1);
	g_hash_table_insert(d->beliefs, g_strdup(queue), b);
	return b;
}

/* What is known of a worker's pace now: it fades towards the usual. */
static double
pace_now(const struct holder *h, int64_t now)
{
	double age = (double)(now - h->pace_ms) / PACE_FADE_MS;

	return 1 + (h->pace - 1) * exp(-age);
}

/* Adds what one run showed. */
static void
pace_seen(struct holder *h, double pace, int64_t now)
{
	double known = pace_now(h, now);
	double seen = MIN(pace, PACE_MOST);

	h->pace = known + (seen - known) * PACE_LEARN;
	h->pace_ms = now;
}

void
round_learn(struct dispatch *d, const struct flow_job *job,
    const struct lrun *r, int64_t ran_ms)
{
	const struct flow_step *step = flow_job_step(job, r->of.step);
	struct plan_belief *b = belief_of(d, job->queue->name);
	double pace;

	/* One that went on from a checkpoint tells of a part only. */
	if (step->long_running || (step->checkpointing && r->of.number > 1))
		return;
	pace =
	    (double)ran_ms / (double)MAX(plan_expect(b, step->runtime_ms), 1);
	plan_learn(b, step->runtime_ms, ran_ms);
	if (step->gang && step->count > 1)
		return;
	if (b->seen > BELIEF_LEAST)
		pace_seen(r->holder, pace, mono_ms());
}

void
round_progress(struct lrun *r, int64_t percent, int64_t now)
{
	struct dispatch *d = r->holder->d;
	const struct flow_job *job = flow_job(d->conf.flow, r->of.job);
	const struct flow_step *step;

	if (r->percent_ms == 0 || percent != r->percent)
		r->percent_ms = now;
	r->percent = percent;
	if (job == NULL || flow_job_ended(job) || r->stopping ||
	    percent >= 100 || r->of.number > MOVES_MAX ||
	    now - r->percent_ms < STUCK_MS)
		return;
	step = flow_job_step(job, r->of.step);
	if (step->long_running || step->best_effort)
		return;
	log_info("dispatch",
	    "event=stop run=%s worker=%s why=stuck percent=%" G_GINT64_FORMAT
	    " still_ms=%" G_GINT64_FORMAT,
	    run_name(&r->of), r->holder->name, percent, now - r->percent_ms);
	d->meter.stops->value++;
	r->holder->shun_ms = now + STUCK_SHUN_MS;
	run_stop(r);
}

static int64_t
permit_ms(const struct flow_queue *q)
{
	return q->needs_permit ? (int64_t)(q->permit_call_ms +
				     PERMIT_WORKERS * q->permit_worker_ms)
			       : 0;
}

/* The longest chain of work of a job, or of what is open in an occurrence. */
static int64_t
chain_ms(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *round)
{
	const struct plan_belief *b = belief_of(d, job->queue->name);
	GPtrArray *steps = job->spec.steps;
	int64_t *to = g_newa(int64_t, steps->len);
	int64_t longest = 0;

	for (guint i = 0; i < steps->len; i++) {
		const struct flow_step *s = steps->pdata[i];
		bool done = round != NULL &&
		    round->steps[i].done == round->steps[i].count;

		to[i] = 0;
		for (guint k = 0; k < s->after->len; k++)
			to[i] = MAX(
			    to[i], to[g_array_index(s->after, uint32_t, k)]);
		if (!done)
			to[i] += plan_expect(b, s->runtime_ms) +
			    permit_ms(job->queue);
		longest = MAX(longest, to[i]);
	}
	return longest;
}

int64_t
round_objective_ms(struct dispatch *d, const struct flow_job *job)
{
	if (job->spec.steps == NULL)
		return 0;
	return job->queue->target_ms +
	    (int64_t)(job->queue->slack_factor *
		(double)chain_ms(d, job, NULL));
}

struct plan_claim
round_standing(struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *round)
{
	return (struct plan_claim){ .accepted_ms = round->due_ms,
		.objective_ms = round_objective_ms(d, job),
		.left_ms = chain_ms(d, job, round),
		.priority = job->queue->priority };
}

static uint32_t
rack_number(struct dispatch *d, const char *rack)
{
	gpointer known;

	if (rack == NULL || *rack == '\0')
		return 0;
	known = g_hash_table_lookup(d->racks, rack);
	if (known == NULL) {
		known = GUINT_TO_POINTER(g_hash_table_size(d->racks) + 1);
		g_hash_table_insert(d->racks, g_strdup(rack), known);
	}
	return GPOINTER_TO_UINT(known);
}

static void
collect_rooms(struct round *rd)
{
	struct dispatch *d = rd->d;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		struct place *p;
		uint32_t most;

		if (!holder_open(h, rd->now))
			continue;
		most = holder_most(h, rd->now);
		if (most == 0)
			continue;
		p = g_new0(struct place, 1);
		p->holder = h;
		p->worker = flow_worker(d->conf.flow, h->id);
		p->room.worker = h->id;
		p->room.capacity = p->room.free = p->worker->capacity;
		resources_add(&p->room.free, &h->used, -1);
		p->room.rack = rack_number(d, p->worker->rack);
		p->room.pace = pace_now(h, rd->now);
		p->room.most = most;
		g_ptr_array_add(rd->rooms, p);
	}
}

/* Says whether a task waits and is not proposed already. */
static bool
waits(const struct dispatch *d, const struct flow_job *job,
    const struct flow_occurrence *round, uint32_t step, uint32_t index)
{
	struct flow_run of = { job->id, round->number, step, index, 0 };

	return round->steps[step].tasks[index].state == FLOW_PENDING &&
	    run_find(d, &of) == NULL;
}

static void
claim_step(struct round *rd, const struct flow_job *job,
    const struct flow_occurrence *round, uint32_t step,
    const struct plan_claim *standing)
{
	const struct flow_step_state *st = &round->steps[step];
	const struct flow_step *s = flow_job_step(job, step);
	struct claim c = { .job = job, .round = round, .step = step };

	if (st->pending == 0 || !flow_step_ready(job, round, step))
		return;
	/* A gang starts anew once all of its last run has ended. */
	if (s->gang &&
	    (st->pending < st->count || !waits(rd->d, job, round, step, 0)))
		return;
	c.plan = *standing;
	c.plan.filler = s->best_effort;
	c.plan.serial = rd->serial++;
	g_array_append_val(rd->claims, c);
}

static void
claim_job(void *arg, const struct flow_job *job)
{
	struct round *rd = arg;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const struct flow_occurrence *round =
		    job->occurrences->pdata[i];
		struct plan_claim standing;

		if (round->due_ms > rd->cell_now ||
		    round->unfinished_steps == 0)
			continue;
		standing = round_standing(rd->d, job, round);
		for (guint s = 0; s < job->spec.steps->len; s++)
			claim_step(rd, job, round, s, &standing);
	}
}

static gint
by_turn(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct claim *x = a;
	const struct claim *y = b;
	const struct round *rd = arg;

	return plan_compare(&x->plan, &y->plan, rd->cell_now);
}

static bool
has_label(const struct flow_worker *w, const char *label)
{
	if (label == NULL)
		return true;
	for (guint i = 0; i < w->labels->len; i++)
		if (strcmp(w->labels->pdata[i], label) == 0)
			return true;
	return false;
}

/* How many tasks of an occurrence's step a worker holds. */
static uint32_t
held_there(const struct holder *h, const struct claim *c)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->runs->len; i++) {
		const struct lrun *r = h->runs->pdata[i];

		n += r->of.job == c->job->id &&
		    r->of.occurrence == c->round->number &&
		    r->of.step == c->step;
	}
	return n;
}

/* Says whether one more failure of a task that waits ends its job. */
static bool
last_attempt(const struct claim *c)
{
	const struct flow_step_state *st = &c->round->steps[c->step];

	for (uint32_t i = 0; i < st->count; i++)
		if (st->tasks[i].state == FLOW_PENDING &&
		    st->tasks[i].failures + 1 >= c->job->queue->max_failures)
			return true;
	return false;
}

static bool
on_trial(const struct plan_room *room)
{
	return room->most <= 1;
}

/*
 * Leaves workers on trial out, for what must not fail there: a gang, which
 * one of them breaks, and a job's last attempt. Not if most are on trial.
 */
static void
drop_trials(GPtrArray *rooms)
{
	guint trials = 0;

	for (guint i = 0; i < rooms->len; i++)
		trials += on_trial(rooms->pdata[i]);
	if (trials * 2 > rooms->len)
		return;
	for (guint i = rooms->len; i > 0; i--)
		if (on_trial(rooms->pdata[i - 1]))
			g_ptr_array_remove_index_fast(rooms, i - 1);
}

/* The rooms that the step's declaration and queue allow. */
static GPtrArray *
allowed_rooms(
    struct round *rd, const struct claim *c, const struct flow_step *step)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < rd->rooms->len; i++) {
		struct place *p = rd->rooms->pdata[i];

		if (strcmp(p->worker->pool, c->job->queue->pool) != 0 ||
		    !has_label(p->worker, step->label) ||
		    yield_kept(p->holder, c, rd->now))
			continue;
		p->room.same =
		    step->max_per_worker == 0 ? 0 : held_there(p->holder, c);
		g_ptr_array_add(out, p);
	}
	if (step->gang || last_attempt(c))
		drop_trials(out);
	return out;
}

static GPtrArray *
permitted(const struct permit_set *set, GPtrArray *rooms, int64_t now)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < rooms->len; i++) {
		struct plan_room *room = rooms->pdata[i];

		if (permit_for(set, room->worker, now) != NULL)
			g_ptr_array_add(out, room);
	}
	return out;
}

/* Reserves a task's room; the start is proposed with the round's others. */
static void
reserve(struct round *rd, const struct claim *c, uint32_t index, uint32_t run,
    uint32_t worker, const char *permit)
{
	struct flow_start s = { .id = { c->job->id, c->round->number, c->step,
				    index, run },
		.worker = worker };
	struct lrun *r = run_add(rd->d, holder_find(rd->d, worker), &s.id,
	    &flow_job_step(c->job, c->step)->need);

	r->permit = g_strdup(permit);
	g_array_append_val(rd->starts, s);
}

/* All members of a gang get the same number, above all that were used. */
static uint32_t
next_run(const struct flow_step_state *st, bool gang, uint32_t index)
{
	uint32_t run = st->tasks[index].last_run;

	for (uint32_t i = 0; gang && i < st->count; i++)
		run = MAX(run, st->tasks[i].last_run);
	return run + 1;
}

/* Places what fits of a claim; returns how many tasks. */
static uint32_t
place(struct round *rd, const struct claim *c, struct plan_need *need,
    GPtrArray *rooms, const struct permit_set *set)
{
	const struct flow_step_state *st = &c->round->steps[c->step];
	uint32_t *pick = g_new(uint32_t, need->count);
	uint32_t placed = plan_place(
	    (struct plan_room **)rooms->pdata, rooms->len, need, pick);
	uint32_t done = 0;

	for (uint32_t i = 0; done < placed && i < st->count; i++) {
		struct plan_room *room = rooms->pdata[pick[done]];

		if (!waits(rd->d, c->job, c->round, c->step, i))
			continue;
		reserve(rd, c, i, next_run(st, need->gang, i), room->worker,
		    set == NULL ? NULL
				: permit_for(set, room->worker, rd->now));
		done++;
	}
	g_free(pick);
	return placed;
}

static uint32_t
count_waiting(const struct round *rd, const struct claim *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->round->steps[c->step].count; i++)
		n += waits(rd->d, c->job, c->round, c->step, i);
	return n;
}

/* Says whether stopping other work for a claim is worth it. */
static bool
pressing(const struct round *rd, const struct claim *c)
{
	return plan_tier(&c->plan, rd->cell_now) == PLAN_IN_TIME;
}

static void
serve_claim(struct round *rd, const struct claim *c)
{
	const struct flow_step *step = flow_job_step(c->job, c->step);
	struct plan_need need = { .count = count_waiting(rd, c),
		.each = step->need,
		.gang = step->gang,
		.colocated = step->colocated,
		.data_rack = rack_number(rd->d, step->data_rack),
		.far = rd->d->conf.far,
		.per_worker = step->max_per_worker };
	struct permit_set *set = NULL;
	GPtrArray *rooms;
	GPtrArray *ready;
	uint32_t placed = 0;

	if (need.count == 0 ||
	    (!resources_fit(&need.each, &rd->most) && !pressing(rd, c)))
		return;
	if (step->best_effort)
		need.each.millicpus = 0;
	rooms = allowed_rooms(rd, c, step);
	ready = g_ptr_array_ref(rooms);
	if (c->job->queue->needs_permit) {
		set = permits_of(rd->d, c->job, c->round->number, c->step);
		g_ptr_array_unref(ready);
		ready = permitted(set, rooms, rd->now);
	}
	if (ready->len > 0)
		placed = place(rd, c, &need, ready, set);
	need.count -= placed;
	if (need.count == 0)
		yield_done(rd->d, c);
	else if (set != NULL)
		permits_want(rd->d, set, &need, rooms, false, rd->now);
	if (need.count > 0 && !step->best_effort && pressing(rd, c))
		yield_for(rd, c, &need, rooms, set);
	g_ptr_array_unref(ready);
	g_ptr_array_unref(rooms);
}

static void
find_most(struct round *rd)
{
	for (guint i = 0; i < rd->rooms->len; i++) {
		const struct plan_room *room = rd->rooms->pdata[i];

		rd->most.millicpus =
		    MAX(rd->most.millicpus, room->free.millicpus);
		rd->most.memory = MAX(rd->most.memory, room->free.memory);
		rd->most.accelerators =
		    MAX(rd->most.accelerators, room->free.accelerators);
	}
}

/* Gives back the room of starts that the agreed state did not take. */
static void
starts_applied(
    struct dispatch *d, struct wait *w, enum flow_apply_result outcome)
{
	for (guint i = 0; i < w->starts->len; i++) {
		const struct flow_start *s =
		    &g_array_index(w->starts, struct flow_start, i);
		struct lrun *r = run_find(d, &s->id);

		if (r != NULL && r->state == RUN_PROPOSED &&
		    r->of.number == s->id.number)
			run_remove(r);
	}
}

static void
propose_starts(struct round *rd)
{
	struct flow_cmd cmd = { .type = FLOW_CMD_START,
		.u.starts = rd->starts };
	struct wait *w;

	if (rd->starts->len == 0)
		return;
	w = dispatch_propose_wait(rd->d, &cmd, starts_applied);
	if (w != NULL) {
		w->starts = g_array_ref(rd->starts);
		return;
	}
	for (guint i = 0; i < rd->starts->len; i++) {
		struct lrun *r = run_find(
		    rd->d, &g_array_index(rd->starts, struct flow_start, i).id);

		if (r != NULL)
			run_remove(r);
	}
}

/* One line a second: how full the workers are, and what waits. */
static void
log_load(struct round *rd)
{
	struct dispatch *d = rd->d;
	struct resources used = { 0 };
	struct resources all = { 0 };
	guint tiers[PLAN_FILLER + 1] = { 0 };
	GHashTableIter iter;
	gpointer value;

	if (rd->now - d->load_ms < LOAD_LINE_MS)
		return;
	d->load_ms = rd->now;
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;

		if (!holder_open(h, rd->now))
			continue;
		resources_add(&used, &h->used, 1);
		resources_add(
		    &all, &flow_worker(d->conf.flow, h->id)->capacity, 1);
	}
	for (guint i = 0; i < rd->claims->len; i++)
		tiers[plan_tier(
		    &g_array_index(rd->claims, struct claim, i).plan,
		    rd->cell_now)]++;
	log_info("dispatch",
	    "event=load workers=%u runs=%u cores_used=%" G_GINT64_FORMAT
	    " cores=%" G_GINT64_FORMAT " memory_used_mb=%" G_GINT64_FORMAT
	    " memory_mb=%" G_GINT64_FORMAT
	    " waiting_in_time=%u waiting_late=%u waiting_overdue=%u",
	    g_hash_table_size(d->holders), g_hash_table_size(d->runs),
	    used.millicpus / 1000, all.millicpus / 1000, used.memory >> 20,
	    all.memory >> 20, tiers[PLAN_IN_TIME], tiers[PLAN_LATE],
	    tiers[PLAN_OVERDUE]);
}

void
round_run(struct dispatch *d, int64_t now)
{
	struct round rd = { .d = d,
		.now = now,
		.cell_now =
		    MAX(g_get_real_time() / 1000, flow_time_ms(d->conf.flow)),
		.rooms = g_ptr_array_new_with_free_func(place_free),
		.yields_left = YIELDS_A_ROUND,
		.claims = g_array_new(FALSE, TRUE, sizeof(struct claim)),
		.starts = g_array_new(FALSE, TRUE, sizeof(struct flow_start)) };

	flow_each_active_job(d->conf.flow, claim_job, &rd);
	d->meter.waiting->value = rd.claims->len;
	if (rd.claims->len > 0) {
		collect_rooms(&rd);
		find_most(&rd);
		g_array_sort_with_data(rd.claims, by_turn, &rd);
	}
	for (guint i = 0; i < rd.claims->len && rd.starts->len < STARTS_MAX;
	     i++)
		serve_claim(&rd, &g_array_index(rd.claims, struct claim, i));
	propose_starts(&rd);
	log_load(&rd);
	g_ptr_array_unref(rd.rooms);
	g_array_unref(rd.claims);
	g_array_unref(rd.starts);
}
