/* Leases of workers, on the worker's clock, and when they have ended. */
#include "impl.h"

#define LEASE_END_MARGIN_MS 60 /* beyond the computed end of a lease */

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

int64_t
holder_leases_end_ms(const struct holder *h)
{
	int64_t own_end_ms = 0;

	if (h->lease_until_ms != 0)
		own_end_ms = h->clock_at_ms + LEASE_END_MARGIN_MS +
		    lease_longest_ms(MAX(h->lease_until_ms - h->clock_ms, 0));
	return MAX(own_end_ms, h->prior_lease_ms);
}
