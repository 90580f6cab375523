/*
 * What each organisation may use of the cell: caps on what it has running.
 * Decisions only: reads no clock and does no I/O.
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

#endif
