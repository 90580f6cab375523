/*
 * What each organisation may use of the cell: caps on what it has running,
 * shares of the workers while not all work fits, and the rate of the jobs that
 * it sends. Decisions only: reads no clock and does no I/O.
 */
#ifndef SHARE_H
#define SHARE_H

#include "base.h"

/* Says whether an organisation that uses so much is within its cap; an amount
 * of 0 in the cap is no limit. */
bool share_fits_cap(const struct resources *used, const struct resources *cap);

/*
 * How many of count tasks can start beside what the organisation uses without
 * exceeding its cap; for a gang all of them or 0. None while it uses more than
 * its cap in any resource, whether the tasks need that resource or not.
 */
uint32_t share_tasks_within_cap(const struct resources *used,
    const struct resources *cap, const struct resources *per_task,
    uint32_t count, bool gang);

/* Says whether a step can start once nothing else of its organisation runs: all
 * its tasks if they are a gang, otherwise one of them. */
bool share_can_ever_fit(const struct resources *cap,
    const struct resources *per_task, uint32_t count, bool gang);

/* The largest of the shares that part has of whole, by resource. A resource of
 * which whole has nothing does not count. */
double
share_dominant(const struct resources *part, const struct resources *whole);

/* Says whether an organisation uses all of its entitlement, a share of whole,
 * or more. */
bool share_over_due(const struct resources *used, const struct resources *whole,
    double entitlement);

/*
 * The order of a placement round: in turns, within each of them by urgency. In
 * turn 0 each step gets so many tasks as its organisation is due, until its use
 * reaches the entitlement; at least one, and a gang as a whole. In each
 * following turn the limit is twice as high, and in the last there is none, so
 * that no capacity stays idle. Without the turns between, an organisation that
 * is a task or two above a small entitlement would compete for what is left
 * with one that sends many times its own.
 */
#define SHARE_TURNS 4

uint32_t share_tasks_due(const struct resources *used,
    const struct resources *whole, double entitlement, uint32_t turn,
    const struct resources *per_task, uint32_t count, bool gang);

/* An organisation, and whether it is within its entitlement. */
struct share_side {
	const void *organisation;
	bool within;
};

/*
 * Says whether a run may be stopped for a more urgent step; victim_has_time: it
 * ends on time all the same. Organisations get their entitlement at the cost of
 * those above theirs; one above its own takes nothing from those within.
 */
bool share_may_preempt(const struct share_side *urgent,
    const struct share_side *victim, bool victim_has_time);

/* The jobs that an organisation has sent lately, against its weight in jobs per
 * second. Zeroed: none. */
struct share_bucket {
	bool started;
	double tokens; /* jobs that it may send at once */
	double rate; /* of all jobs that it sends, per second, averaged */
	int64_t updated_ms; /* time that tokens is valid for */
	int64_t promised_ms; /* latest time that a retry was asked for */
};

/* Counts a job; says whether it is within the weight. */
bool share_bucket_take(struct share_bucket *b, double weight, int64_t now_ms);
/* How long the caller of a refused job should wait: until the rate allows one
 * more job than the retries that were asked for before. */
int64_t
share_bucket_retry_ms(struct share_bucket *b, double weight, int64_t now_ms);
/* Says whether a bucket is as a new one. */
bool
share_bucket_full(const struct share_bucket *b, double weight, int64_t now_ms);

#endif
