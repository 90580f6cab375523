/* Fair shares of teams: weighted dominant resource relative to the quota. */
#include "share.h"
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
	s->weight_sum++;
	g_hash_table_insert(s->teams, GUINT_TO_POINTER(id), t);
	return t;
}

void
sched_team_set(
    struct sched *s, uint32_t id, int64_t weight, const struct resources *quota)
{
	struct team *t = team_get(s, id);

	s->weight_sum += MAX(weight, 1) - t->weight;
	t->weight = MAX(weight, 1);
	t->quota = *quota;
}

static bool
within(int64_t amount, int64_t quota)
{
	return quota == 0 || amount <= quota;
}

/* Whether a team would be within its quota if it used sum. */
static bool
sum_within_quota(
    const struct sched *s, const struct team *t, const struct resources *sum)
{
	struct resources none = { 0 };

	/* Without a quota a team is entitled to its weight's share of all. */
	if (resources_equal(&t->quota, &none))
		return share_dominant(sum, &s->total) * (double)s->weight_sum <=
		    (double)t->weight;
	return within(sum->millicpus, t->quota.millicpus) &&
	    within(sum->memory, t->quota.memory) &&
	    within(sum->accelerators, t->quota.accelerators);
}

bool
team_within_quota(
    const struct sched *s, const struct team *t, const struct resources *more)
{
	struct resources sum = t->used;

	resources_add(&sum, more, 1);
	return sum_within_quota(s, t, &sum);
}

bool
team_within_quota_nonpreemptible(
    const struct sched *s, const struct team *t, const struct resources *more)
{
	struct resources sum = t->used;

	resources_add(&sum, &t->preemptible, -1);
	resources_add(&sum, more, 1);
	return sum_within_quota(s, t, &sum);
}

double
team_usage_ratio(const struct sched *s, const struct team *t)
{
	struct resources none = { 0 };
	double ratio;

	if (resources_equal(&t->quota, &none))
		return share_dominant(&t->used, &s->total) *
		    (double)s->weight_sum / (double)t->weight;
	ratio = share_dominant(&t->used, &t->quota);
	/* Use beyond the quota is weighted. */
	return ratio <= 1 ? ratio : 1 + (ratio - 1) / (double)t->weight;
}

double
sched_team_share(const struct sched *s, uint32_t id)
{
	const struct team *t =
	    g_hash_table_lookup(s->teams, GUINT_TO_POINTER(id));

	return t != NULL ? share_dominant(&t->used, &s->total) : 0;
}
