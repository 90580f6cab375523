/* The speeds of workers as placement uses them: derived from those in the
 * replicated state, so that a new leader has them too. */
#include <math.h>

#include "impl.h"

#define UPDATE_INTERVAL_MS 500
/* A slow worker counts as normal again below this fraction of the limit, so
 * that noise does not move it back and forth. */
#define NORMAL_AGAIN 0.85
#define CROSSINGS_LOGGED_MAX 10 /* per update; the rest by later ones */

static double
multiplier_of(int64_t slowdown)
{
	return exp2((double)slowdown / SPEED_ONE);
}

static struct speed
speed_of_holder(const struct holder *h)
{
	return speed_of(flow_speeds(h->d->conf.flow), h->address);
}

/* Sets the spread over all workers and whether speeds are in effect. */
static void
update_spread(struct dispatch *d)
{
	guint count = 0;
	int64_t *slowdowns = g_new(int64_t, g_hash_table_size(d->holders));
	struct speed_spread spread;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct holder *h = value;

		if (!h->dead)
			slowdowns[count++] = speed_of_holder(h).slowdown;
	}
	spread = speed_spread(slowdowns, count);
	g_free(slowdowns);
	d->spread = multiplier_of(spread.slow - spread.fast);
	d->speeds_in_effect =
	    d->conf.uneven_workers > 0 && d->spread >= d->conf.uneven_workers;
	d->fast_multiplier =
	    d->speeds_in_effect ? multiplier_of(spread.fast) : 1;
}

/* Marks a worker as slow or normal. Returns whether that was logged. */
static bool
update_slow(struct holder *h, const struct speed *speed)
{
	double limit = h->d->conf.uneven_workers;
	double relative = h->multiplier / h->d->fast_multiplier;
	bool slow = h->d->speeds_in_effect &&
	    relative >= (h->slow ? limit * NORMAL_AGAIN : limit);

	if (slow == h->slow)
		return false;
	h->slow = slow;
	log_info("dispatch",
	    "event=speed worker=%s address=%s slow=%d multiplier=%.2f "
	    "relative=%.2f samples=%u spread=%.2f",
	    h->name, h->address, slow, h->multiplier, relative, speed->samples,
	    h->d->spread);
	return true;
}

void
speeds_update(struct dispatch *d, int64_t now)
{
	guint logged = 0;
	uint64_t slow = 0;
	GHashTableIter iter;
	gpointer value;

	d->speeds_ms = now;
	update_spread(d);
	g_hash_table_iter_init(&iter, d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;
		struct speed speed = speed_of_holder(h);

		h->multiplier =
		    d->speeds_in_effect ? multiplier_of(speed.slowdown) : 1;
		if (logged < CROSSINGS_LOGGED_MAX)
			logged += update_slow(h, &speed);
		slow += h->slow;
	}
	d->meter.slow_workers->value = slow;
	d->meter.speed_spread->value = (uint64_t)(d->spread * 100);
}

void
speeds_scan(struct dispatch *d, int64_t now)
{
	if (now - d->speeds_ms >= UPDATE_INTERVAL_MS)
		speeds_update(d, now);
}
