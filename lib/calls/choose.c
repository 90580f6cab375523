/* Load balancing over targets, and ejection of failing ones. */
#include "internal.h"

/* Limit of ejected targets of a service, so that some stay in use. */
#define EJECTED_MAX_PERCENT 50
#define EJECTIONS_MAX 16 /* bounds the shift in probe_wait_ms() */

static bool
less_loaded(int64_t a_open, int64_t a_slots, int64_t b_open, int64_t b_slots)
{
	return a_open * b_slots < b_open * a_slots;
}

static bool
always_prefer(int64_t a_open, int64_t a_slots, int64_t b_open, int64_t b_slots)
{
	return true;
}

const struct calls_balancer calls_two_choices = {
	.name = "two-choices",
	.prefer = less_loaded,
};

const struct calls_balancer calls_random = {
	.name = "random",
	.prefer = always_prefer,
};

const struct calls_balancer calls_round_robin = {
	.name = "round-robin",
	.prefer = always_prefer,
	.sequential = true,
};

static bool
usable(const struct calls *c, const struct target *t, int64_t now_ms)
{
	const struct worker *w = worker_at(c, t->config.worker);

	if (t->removed || w->open >= w->share || t->open >= t->config.slots)
		return false;
	return !t->ejected || (!t->probing && now_ms >= t->probe_at_ms);
}

/* Returns the first usable target at or after a position, skipping two. */
static uint32_t
usable_from(const struct calls *c, const struct service *s, uint32_t from,
    uint32_t avoid, uint32_t other, int64_t now_ms)
{
	for (guint i = 0; i < s->targets->len; i++) {
		uint32_t index = g_array_index(
		    s->targets, uint32_t, (from + i) % s->targets->len);

		if (index != avoid && index != other &&
		    usable(c, target_at(c, index), now_ms))
			return index;
	}
	return NO_INDEX;
}

/* Returns an ejected target that is due for a probe, or NO_INDEX. */
static uint32_t
due_probe(const struct calls *c, const struct service *s, int64_t now_ms)
{
	for (guint i = 0; i < s->targets->len; i++) {
		uint32_t index = g_array_index(s->targets, uint32_t, i);
		struct target *t = target_at(c, index);

		if (t->ejected && usable(c, t, now_ms))
			return index;
	}
	return NO_INDEX;
}

static uint32_t
pick_target(struct calls *c, struct service *s, uint32_t avoid, int64_t now_ms)
{
	const struct calls_balancer *balancer = c->policy.balancer;
	uint32_t n = s->targets->len;
	uint32_t first, second;
	struct target *a, *b;

	if (balancer->sequential)
		return usable_from(
		    c, s, s->next_target++ % n, avoid, NO_INDEX, now_ms);
	first = usable_from(
	    c, s, (uint32_t)rng_below(&c->rng, n), avoid, NO_INDEX, now_ms);
	if (first == NO_INDEX)
		return NO_INDEX;
	second = usable_from(
	    c, s, (uint32_t)rng_below(&c->rng, n), avoid, first, now_ms);
	if (second == NO_INDEX)
		return first;
	a = target_at(c, first);
	b = target_at(c, second);
	return balancer->prefer(
		   b->open, b->config.slots, a->open, a->config.slots)
	    ? second
	    : first;
}

uint32_t
choose_target(
    struct calls *c, struct service *s, uint32_t avoid, int64_t now_ms)
{
	uint32_t index;

	if (s->targets->len == 0)
		return NO_INDEX;
	index = due_probe(c, s, now_ms);
	if (index == NO_INDEX || index == avoid)
		index = pick_target(c, s, avoid, now_ms);
	if (index == NO_INDEX && avoid != NO_INDEX)
		index = pick_target(c, s, NO_INDEX, now_ms);
	return index;
}

void
target_answered(struct target *t)
{
	t->failures = 0;
	t->ejections = 0;
	t->ejected = false;
	t->probing = false;
}

static bool
may_eject(const struct calls *c, const struct target *t)
{
	const struct service *s = service_at(c, t->config.service);
	int64_t ejected = 1;

	for (guint i = 0; i < s->targets->len; i++)
		ejected += target_at(c, g_array_index(s->targets, uint32_t, i))
			       ->ejected;
	return ejected * 100 <= (int64_t)s->targets->len * EJECTED_MAX_PERCENT;
}

/* Exponential back-off until the next probe; half of the wait is jitter. */
static int64_t
probe_wait_ms(struct calls *c, const struct target *t)
{
	int64_t wait = c->policy.probe_min_ms
	    << MIN(t->ejections, EJECTIONS_MAX);

	wait = MIN(wait, c->policy.probe_max_ms);
	return wait / 2 + (int64_t)rng_below(&c->rng, (uint64_t)wait / 2 + 1);
}

void
target_failed(struct calls *c, struct target *t, int64_t now_ms)
{
	t->failures++;
	if (t->ejected) {
		/* Only a failed probe extends the wait. */
		if (!t->probing)
			return;
	} else if (c->policy.eject_after == 0 ||
	    t->failures < c->policy.eject_after || !may_eject(c, t)) {
		return;
	}
	t->ejected = true;
	t->probing = false;
	t->probe_at_ms = now_ms + probe_wait_ms(c, t);
	t->ejections++;
}
