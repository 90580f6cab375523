/* Leases of workers, on the worker's clock, and when they have ended. */
#include "impl.h"

#define LEASE_END_MARGIN_MS 60 /* beyond the computed end of a lease */
/* By so much answers may overtake each other, and clocks of machines that were
 * suspended may differ. */
#define CLOCK_SLACK_MS 1500

static int64_t
lease_ms(const struct dispatch *d)
{
	return MIN(LEASE_MS, d->conf.lease_max_ms);
}

int64_t
lease_longest_ms(int64_t ms)
{
	return ms + ms * CLOCK_DRIFT_PERMILLE / 1000;
}

void
holder_set_clock(struct holder *h, int64_t clock_ms, int64_t now)
{
	h->clock_ms = clock_ms;
	h->clock_at_ms = now;
}

bool
holder_is_own_clock(const struct holder *h, int64_t clock_ms, int64_t now)
{
	int64_t latest_ms =
	    h->clock_ms + lease_longest_ms(now - h->clock_at_ms);

	return h->clock_at_ms == 0 ||
	    (clock_ms >= h->clock_ms - CLOCK_SLACK_MS &&
		clock_ms <= latest_ms + CLOCK_SLACK_MS);
}

int64_t
holder_extend_lease(struct holder *h, int64_t now)
{
	int64_t clock_ms = h->clock_ms + (now - h->clock_at_ms);

	if (h->clock_at_ms == 0)
		return 0;
	/* The lease of a worker that does not answer polls must be able to
	 * expire although orders are still sent to it. */
	if (h->poll_failed)
		return h->lease_until_ms > clock_ms ? h->lease_until_ms : 0;
	h->lease_until_ms = MAX(h->lease_until_ms, clock_ms + lease_ms(h->d));
	return h->lease_until_ms;
}

/* Returns the end of leases that were granted to the incarnation before and
 * that a proxy may have carried over while the worker could be reached. */
static int64_t
carried_leases_end_ms(const struct holder *h)
{
	int64_t reached_ms = h->answered_ms + CONTACT_MAX_AGE_MS;

	if (h->carried_until_ms == 0 || h->answered_ms == 0)
		return 0;
	return MIN(reached_ms, h->carried_until_ms) + LEASE_END_MARGIN_MS +
	    lease_longest_ms(h->d->conf.lease_max_ms);
}

int64_t
holder_leases_end_ms(const struct holder *h)
{
	int64_t own_end_ms = carried_leases_end_ms(h);

	if (h->lease_until_ms != 0)
		own_end_ms = MAX(own_end_ms,
		    h->clock_at_ms + LEASE_END_MARGIN_MS +
			lease_longest_ms(
			    MAX(h->lease_until_ms - h->clock_ms, 0)));
	return MAX(own_end_ms, h->prior_lease_ms);
}
