/* Shares of teams: weighted dominant resource against quota. */
#include "table.h"

struct team *
team_get(struct sched *s, uint32_t id)
{
	struct team *t = g_hash_table_lookup(s->teams, GUINT_TO_POINTER(id));

	if (t != NULL)
		return t;
	t = g_new0(struct team, 1);
	t->id = id;
	t->weight = 1;
	s->weights++;
	g_hash_table_insert(s->teams, GUINT_TO_POINTER(id), t);
	return t;
}

void
sched_team_set(
    struct sched *s, uint32_t id, int64_t weight, const struct resources *quota)
{
	struct team *t = team_get(s, id);

	s->weights += MAX(weight, 1) - t->weight;
	t->weight = MAX(weight, 1);
	t->quota = *quota;
}

static double
ratio(int64_t part, int64_t whole)
{
	return whole > 0 ? (double)part / (double)whole : 0;
}

double
dominant_part(const struct resources *part, const struct resources *whole)
{
	double share = ratio(part->millicpus, whole->millicpus);

	share = MAX(share, ratio(part->memory, whole->memory));
	return MAX(share, ratio(part->accelerators, whole->accelerators));
}

static bool
below(int64_t amount, int64_t quota)
{
	return quota == 0 || amount <= quota;
}

/* Whether a team that uses so much is within its quota. */
static bool
entitled(
    const struct sched *s, const struct team *t, const struct resources *sum)
{
	struct resources none = { 0 };

	/* Without a quota a team is entitled to its weight's part of all. */
	if (resources_equal(&t->quota, &none))
		return dominant_part(sum, &s->total) * (double)s->weights <=
		    (double)t->weight;
	return below(sum->millicpus, t->quota.millicpus) &&
	    below(sum->memory, t->quota.memory) &&
	    below(sum->accelerators, t->quota.accelerators);
}

bool
team_within(
    const struct sched *s, const struct team *t, const struct resources *more)
{
	struct resources sum = t->used;

	resources_add(&sum, more, 1);
	return entitled(s, t, &sum);
}

bool
team_within_fixed(
    const struct sched *s, const struct team *t, const struct resources *more)
{
	struct resources sum = t->used;

	resources_add(&sum, &t->soft, -1);
	resources_add(&sum, more, 1);
	return entitled(s, t, &sum);
}

double
team_ratio(const struct sched *s, const struct team *t)
{
	struct resources none = { 0 };
	double ratio;

	if (resources_equal(&t->quota, &none))
		return dominant_part(&t->used, &s->total) * (double)s->weights /
		    (double)t->weight;
	ratio = dominant_part(&t->used, &t->quota);
	/* What is borrowed counts by weight. */
	return ratio <= 1 ? ratio : 1 + (ratio - 1) / (double)t->weight;
}

double
sched_team_share(const struct sched *s, uint32_t id)
{
	const struct team *t =
	    g_hash_table_lookup(s->teams, GUINT_TO_POINTER(id));

	return t != NULL ? dominant_part(&t->used, &s->total) : 0;
}
