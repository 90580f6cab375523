/*
 * Orders that got no answer when the incarnation of their worker ended. A call
 * names the worker only, so what lies between may carry it over to the next
 * incarnation, which carries it out.
 */
#include <string.h>

#include "impl.h"

bool
holder_succeeds(const struct holder *h, const struct holder *over)
{
	return over->dead && h != over && h->started_ms > over->started_ms &&
	    strcmp(h->name, over->name) == 0;
}

/* Returns the latest incarnation after one that is over, or NULL. */
static struct holder *
find_successor(const struct holder *over)
{
	struct holder *latest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, over->d->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder *h = value;

		if (!h->dead && !h->fenced && holder_succeeds(h, over) &&
		    (latest == NULL || h->started_ms > latest->started_ms))
			latest = h;
	}
	return latest;
}

/* Says whether all that a call for an incarnation that is over can have started
 * when it ended has lost its lease. */
static bool
have_leases_ended(const struct holder *over, int64_t now)
{
	return now - over->dead_ms >
	    lease_longest_ms(over->d->conf.lease_max_ms);
}

/* Says whether the worker has accepted the stop order and, in a report asked
 * for after that, doesn't list the run as running. */
static bool
has_stopped_at(const struct active_run *r, const struct holder *h)
{
	return r->stopped_at == h->id && r->stopped_at_ms != 0 &&
	    h->reported_ms > r->stopped_at_ms && r->stray_ms != h->answered_ms;
}

bool
successor_may_run(struct active_run *r, int64_t now)
{
	const struct holder *over = r->holder;
	struct holder *h;

	if (!over->dead || !r->may_start)
		return false;
	h = find_successor(over);
	if (h == NULL)
		return over->succeeded && !have_leases_ended(over, now);
	if (has_stopped_at(r, h) ||
	    (h->lease_expired && (h->polled || have_leases_ended(over, now))))
		return false;
	if (r->stopped_at != h->id) {
		r->stopped_at = h->id;
		r->stopped_at_ms = 0;
		r->resend_ms = 0;
	}
	if (r->stopped_at_ms == 0 && !r->order_pending && now >= r->resend_ms)
		run_stop_at(r, h);
	return true;
}

void
successor_answered(
    struct active_run *r, struct holder *successor, enum agent_result result)
{
	if (successor == NULL || successor->id != r->stopped_at)
		return;
	if (result == AGENT_ACCEPTED || result == AGENT_ENDED) {
		r->stopped_at_ms = mono_ms();
		log_info("dispatch",
		    "event=stopped-at-successor run=%s worker=%s id=%u "
		    "successor=%u",
		    run_name(&r->id), successor->name, r->holder->id,
		    successor->id);
		return;
	}
	run_schedule_resend(r);
	(void)holder_handle_result(successor, result);
}
