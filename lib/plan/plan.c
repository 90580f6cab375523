#include <math.h>

#include "plan.h"

/* What running slower costs against a tighter fit, in shares of a worker. */
#define PACE_WEIGHT 0.6

enum plan_tier
plan_tier(const struct plan_claim *c, int64_t now_ms)
{
	int64_t end_ms = now_ms + c->left_ms - c->accepted_ms;

	if (c->filler)
		return PLAN_FILLER;
	if (end_ms <= c->objective_ms)
		return PLAN_IN_TIME;
	if (end_ms <= c->objective_ms * PLAN_LATE_TIMES)
		return PLAN_LATE;
	return PLAN_OVERDUE;
}

static int64_t
latest_start(const struct plan_claim *c)
{
	return c->accepted_ms + c->objective_ms - c->left_ms;
}

int
plan_compare(
    const struct plan_claim *a, const struct plan_claim *b, int64_t now_ms)
{
	enum plan_tier ta = plan_tier(a, now_ms);
	enum plan_tier tb = plan_tier(b, now_ms);
	int64_t la = latest_start(a);
	int64_t lb = latest_start(b);

	if (ta != tb)
		return ta < tb ? -1 : 1;
	if (la != lb)
		return la < lb ? -1 : 1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	return a->serial < b->serial ? -1 : a->serial > b->serial;
}

static int64_t
times(int64_t have, int64_t each)
{
	return each <= 0 ? INT32_MAX : MAX(have, 0) / each;
}

uint32_t
plan_fits(const struct plan_room *room, const struct plan_need *need)
{
	int64_t n = times(room->free.millicpus, need->each.millicpus);

	n = MIN(n, times(room->free.memory, need->each.memory));
	n = MIN(n, times(room->free.accelerators, need->each.accelerators));
	if (need->per_worker > 0)
		n = MIN(n,
		    (int64_t)need->per_worker -
			MIN(room->same, need->per_worker));
	n = MIN(n, (int64_t)room->most);
	return (uint32_t)MIN(n, (int64_t)need->count);
}

static double
share(int64_t part, int64_t whole)
{
	return whole <= 0 ? 0 : (double)part / (double)whole;
}

/* Lower is better: what stays free of what the task needs most of, and how
 * much longer the work takes. */
static double
cost(const struct plan_room *room, const struct plan_need *need)
{
	const struct resources *all = &room->capacity;
	double pace = room->pace;
	double left;

	if (share(need->each.millicpus, all->millicpus) >=
	    share(need->each.memory, all->memory))
		left = share(room->free.millicpus - need->each.millicpus,
		    all->millicpus);
	else
		left =
		    share(room->free.memory - need->each.memory, all->memory);
	if (need->data_rack != 0 && room->rack != need->data_rack)
		pace *= need->far;
	return left + (pace - 1) * PACE_WEIGHT;
}

static void
take(struct plan_room *room, const struct plan_need *need, int sign)
{
	resources_add(&room->free, &need->each, -sign);
	room->same += sign;
	room->most -= sign;
}

/* Places as many tasks as fit on the rooms of a rack (0: any). */
static uint32_t
place_on(struct plan_room **rooms, guint count, const struct plan_need *need,
    uint32_t rack, uint32_t *pick)
{
	uint32_t placed = 0;

	while (placed < need->count) {
		double best_cost = 0;
		int best = -1;

		for (guint i = 0; i < count; i++) {
			double c;

			if ((rack != 0 && rooms[i]->rack != rack) ||
			    plan_fits(rooms[i], need) == 0)
				continue;
			c = cost(rooms[i], need);
			if (best >= 0 && c >= best_cost)
				continue;
			best = (int)i;
			best_cost = c;
		}
		if (best < 0)
			break;
		take(rooms[best], need, 1);
		pick[placed++] = (uint32_t)best;
	}
	return placed;
}

static void
undo(struct plan_room **rooms, const struct plan_need *need,
    const uint32_t *pick, uint32_t placed)
{
	for (uint32_t i = 0; i < placed; i++)
		take(rooms[pick[i]], need, -1);
}

/* Tries each rack that could hold all tasks; the first that does is taken. */
static bool
place_on_one_rack(struct plan_room **rooms, guint count,
    const struct plan_need *need, uint32_t *pick)
{
	GHashTable *tried = g_hash_table_new(NULL, NULL);
	bool done = false;

	for (guint i = 0; !done && i < count; i++) {
		uint32_t rack = rooms[i]->rack;
		uint32_t placed;

		if (rack == 0 ||
		    !g_hash_table_add(tried, GUINT_TO_POINTER(rack)))
			continue;
		placed = place_on(rooms, count, need, rack, pick);
		done = placed == need->count;
		if (!done)
			undo(rooms, need, pick, placed);
	}
	g_hash_table_unref(tried);
	return done;
}

uint32_t
plan_place(struct plan_room **rooms, guint count, const struct plan_need *need,
    uint32_t *pick)
{
	uint32_t placed;

	if (need->colocated && place_on_one_rack(rooms, count, need, pick))
		return need->count;
	placed = place_on(rooms, count, need, 0, pick);
	if (need->gang && placed < need->count) {
		undo(rooms, need, pick, placed);
		return 0;
	}
	return placed;
}

#define PRIOR_SPREAD 0.25 /* variance before anything is learnt: +-65% */
#define PRIOR_ERROR 0.25 /* the same for estimates */
#define PRIOR_WEIGHT 3.0 /* observations that the priors count for */
#define LEARN_LEAST 0.02 /* weight of a new observation once many are seen */

static void
smooth(double *value, double seen, double weight)
{
	*value += (seen - *value) * weight;
}

void
plan_learn(struct plan_belief *b, int64_t estimate_ms, int64_t real_ms)
{
	double real = log((double)MAX(real_ms, 1));
	double error = real - log((double)MAX(estimate_ms, 1));
	double weight;

	b->seen++;
	if (b->seen == 1) {
		b->mean = real;
		b->bias = error;
		b->spread = PRIOR_SPREAD;
		b->error = PRIOR_ERROR;
		return;
	}
	weight = MAX(1.0 / b->seen, LEARN_LEAST);
	smooth(&b->mean, real, weight);
	smooth(&b->bias, error, weight);
	weight = MAX(1.0 / (b->seen + PRIOR_WEIGHT), LEARN_LEAST);
	smooth(&b->spread, (real - b->mean) * (real - b->mean), weight);
	smooth(&b->error, (error - b->bias) * (error - b->bias), weight);
}

int64_t
plan_expect(const struct plan_belief *b, int64_t estimate_ms)
{
	double by_estimate;
	double trust;

	if (b->seen == 0)
		return estimate_ms;
	if (estimate_ms <= 0)
		return (int64_t)exp(b->mean);
	by_estimate = log((double)estimate_ms) + b->bias;
	/* The mean of both, weighted by how sure each is. */
	trust = b->spread / MAX(b->spread + b->error, 1e-6);
	return (int64_t)exp(b->mean + (by_estimate - b->mean) * trust);
}

/* What stopping enough for one more task takes, in thousandths of a core;
 * below 0 if it can't be had. With mark the victims are chosen. */
static int64_t
clear_one(struct plan_site *s, const struct plan_need *need, bool mark)
{
	struct plan_room room = *s->room;
	int64_t stopped = 0;

	for (guint i = 0; plan_fits(&room, need) == 0; i++) {
		struct plan_victim *v;

		if (i == s->victims->len)
			return -1;
		v = &g_array_index(s->victims, struct plan_victim, i);
		if (v->chosen)
			continue;
		resources_add(&room.free, &v->need, 1);
		stopped += v->need.millicpus;
		v->chosen = mark;
	}
	if (mark) {
		*s->room = room;
		take(s->room, need, 1);
		s->tasks++;
	}
	return stopped;
}

bool
plan_make_room(
    struct plan_site *sites, guint count, const struct plan_need *need)
{
	for (uint32_t placed = 0; placed < need->count; placed++) {
		int64_t least = -1;
		guint best = 0;

		for (guint i = 0; i < count; i++) {
			int64_t c = clear_one(&sites[i], need, false);

			if (c < 0 || (least >= 0 && c >= least))
				continue;
			least = c;
			best = i;
		}
		if (least < 0)
			return false;
		(void)clear_one(&sites[best], need, true);
	}
	return true;
}

#define QUERY_MOST 100 /* the policy service takes so many in one query */
#define QUERY_GANG 30 /* a gang's query names as many as objectives count */
#define QUERY_LEAST 6 /* two tasks are covered though most are refused */
#define GOOD_SHARE 0.4 /* of the workers that aren't known yet are allowed */
#define SPARE 2.5 /* times the room needed that a query looks for */

uint32_t
plan_query(struct plan_candidate *all, guint count,
    const struct plan_need *need, bool learn)
{
	uint32_t least = need->gang ? QUERY_GANG : QUERY_LEAST;
	uint32_t named = 0;
	double found = 0;

	for (guint i = 0; i < count && named < QUERY_MOST; i++) {
		struct plan_candidate *c = &all[i];

		if (named >= least && found >= need->count * SPARE)
			break;
		if (c->fits == 0 || c->permit == PLAN_PERMIT_NONE)
			continue;
		if (c->permit == PLAN_PERMIT_HOLDS) {
			found += need->gang ? c->fits : 0;
			continue;
		}
		found += c->permit == PLAN_PERMIT_ENDS ? c->fits
						       : c->fits * GOOD_SHARE;
		c->named = true;
		named++;
	}
	if (need->gang && !learn && found < need->count)
		return 0;
	return named;
}
