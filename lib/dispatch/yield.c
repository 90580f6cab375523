/* Runs with time to spare make way for claims that have none. */
#include "impl.h"

#define KEEP_MS 2200 /* a room is kept free: a stop, a permit and a commit */
#define SPARE_MS 2500 /* a run that makes way must have so much more time */
#define SETTLED_MS 600 /* a run is not stopped sooner after its start */
#define YIELDS_MAX 4 /* runs of one task that may make way */

static bool
keeps(const struct holder *h, const struct claim *c, int64_t now)
{
	return h->hold_ms > now && h->hold.job == c->job->id &&
	    h->hold.occurrence == c->round->number && h->hold.step == c->step;
}

bool
yield_kept(const struct holder *h, const struct claim *c, int64_t now)
{
	return h->hold_ms > now && !keeps(h, c, now);
}

static void
keep(struct holder *h, const struct claim *c, int64_t now)
{
	h->hold = (struct flow_run){ .job = c->job->id,
		.occurrence = c->round->number,
		.step = c->step };
	h->hold_ms = h->d->kept_ms = now + KEEP_MS;
}

/* Gives rooms free again that were kept for a claim. */
void
yield_done(struct dispatch *d, const struct claim *c)
{
	GHashTableIter iter;
	gpointer value;

	if (d->kept_ms <= d->rounded_ms)
		return;
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;

		if (keeps(h, c, d->rounded_ms))
			h->hold_ms = 0;
	}
}

static bool
kept_any(const struct dispatch *d, const struct claim *c, int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (d->kept_ms <= now)
		return false;
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (keeps(value, c, now))
			return true;
	return false;
}

static int64_t
spare_ms(const struct plan_claim *p, int64_t now)
{
	return p->accepted_ms + p->objective_ms - p->left_ms - now;
}

/* A run that goes on from a checkpoint, and how pressed its job is. */
struct yield {
	struct lrun *run;
	int64_t spare_ms; /* INT64_MAX: it can't be in time any more */
};

void
place_free(void *arg)
{
	struct place *p = arg;

	if (p->yields != NULL)
		g_array_unref(p->yields);
	g_free(p);
}

/* Says whether a run may make way for any claim, and what it has to spare. */
static bool
can_yield(struct round *rd, struct lrun *r, struct yield *y)
{
	const struct flow_job *job;
	const struct flow_occurrence *round;
	const struct flow_step *step;
	struct plan_claim p;

	if (r->state != RUN_TAKEN || r->stopping || r->of.number > YIELDS_MAX ||
	    rd->now - r->started_ms < SETTLED_MS)
		return false;
	job = flow_job(rd->d->conf.flow, r->of.job);
	if (job == NULL || flow_job_ended(job))
		return false;
	step = flow_job_step(job, r->of.step);
	round = flow_occurrence(job, r->of.occurrence);
	if (!step->checkpointing || step->gang || step->long_running ||
	    round == NULL)
		return false;
	p = round_standing(rd->d, job, round);
	y->run = r;
	y->spare_ms = plan_tier(&p, rd->cell_now) > PLAN_IN_TIME
	    ? INT64_MAX
	    : spare_ms(&p, rd->cell_now);
	return true;
}

static const GArray *
yields_on(struct round *rd, struct place *p)
{
	if (p->yields != NULL)
		return p->yields;
	p->yields = g_array_new(FALSE, TRUE, sizeof(struct yield));
	for (guint i = 0; i < p->holder->runs->len; i++) {
		struct yield y;

		if (can_yield(rd, p->holder->runs->pdata[i], &y))
			g_array_append_val(p->yields, y);
	}
	return p->yields;
}

/* The runs on a worker that have more time to spare than a claim has. */
static GArray *
victims_on(struct round *rd, struct place *p, const struct claim *c)
{
	const GArray *yields = yields_on(rd, p);
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct plan_victim));
	int64_t least = MAX(spare_ms(&c->plan, rd->cell_now), 0) + SPARE_MS;

	for (guint i = 0; i < yields->len; i++) {
		const struct yield *y = &g_array_index(yields, struct yield, i);
		struct plan_victim v = { .run = y->run, .need = y->run->need };

		if (y->spare_ms > least && !y->run->stopping &&
		    y->run->of.job != c->job->id)
			g_array_append_val(out, v);
	}
	return out;
}

static void
stop_chosen(const struct plan_site *site, const struct claim *c)
{
	for (guint i = 0; i < site->victims->len; i++) {
		struct plan_victim *v =
		    &g_array_index(site->victims, struct plan_victim, i);
		struct lrun *r = v->run;

		if (!v->chosen)
			continue;
		log_info("dispatch",
		    "event=stop run=%s worker=%s why=makes-way "
		    "for=%016" G_GINT64_MODIFIER "x",
		    run_name(&r->of), r->holder->name, c->job->id);
		r->holder->d->meter.stops->value++;
		run_stop(r);
	}
}

/* Stops what was chosen and keeps the rooms; renews what permits lack. */
static void
carry_out(struct round *rd, const struct claim *c, const struct plan_need *need,
    struct plan_site *sites, guint count, struct permit_set *set)
{
	GPtrArray *rooms = g_ptr_array_new();

	for (guint i = 0; i < count; i++) {
		struct plan_site *s = &sites[i];

		if (s->tasks == 0)
			continue;
		stop_chosen(s, c);
		keep(holder_find(rd->d, s->room->worker), c, rd->now);
		/* What will be free there, for the tasks that go there. */
		resources_add(&s->room->free, &need->each, (int)s->tasks);
		g_ptr_array_add(rooms, s->room);
	}
	if (set != NULL)
		permits_want(rd->d, set, need, rooms, false, rd->now);
	g_ptr_array_unref(rooms);
}

/* Asks about workers that aren't known yet, whatever is free on them now. */
static void
learn_more(struct round *rd, const struct plan_need *need, GPtrArray *rooms,
    struct permit_set *set)
{
	GPtrArray *unknown = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < rooms->len; i++) {
		struct plan_room *room = rooms->pdata[i];
		struct plan_room *copy;

		if (permit_known(set, room->worker))
			continue;
		copy = g_memdup2(room, sizeof(*room));
		copy->free = copy->capacity;
		g_ptr_array_add(unknown, copy);
	}
	permits_want(rd->d, set, need, unknown, true, rd->now);
	g_ptr_array_unref(unknown);
}

void
yield_for(struct round *rd, const struct claim *c, const struct plan_need *need,
    GPtrArray *rooms, struct permit_set *set)
{
	struct plan_site *sites;
	struct plan_room *copies;
	guint count = 0;

	if (rd->yields_left == 0 || kept_any(rd->d, c, rd->now))
		return;
	rd->yields_left--;
	sites = g_new0(struct plan_site, rooms->len + 1);
	copies = g_new0(struct plan_room, rooms->len + 1);
	for (guint i = 0; i < rooms->len; i++) {
		struct place *p = rooms->pdata[i];

		if (set != NULL && !permit_known(set, p->room.worker))
			continue;
		copies[count] = p->room;
		sites[count].room = &copies[count];
		sites[count].victims = victims_on(rd, p, c);
		count++;
	}
	if (plan_make_room(sites, count, need))
		carry_out(rd, c, need, sites, count, set);
	else if (set != NULL)
		learn_more(rd, need, rooms, set);
	for (guint i = 0; i < count; i++)
		g_array_unref(sites[i].victims);
	g_free(sites);
	g_free(copies);
}
