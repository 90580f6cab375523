/*
 * Sizes and run times learnt by kind of job. A kind is the hash of team and
 * job name. Usage reports lag and cover part of a run, so a grant is lowered
 * only on many reports of several attempts, and is raised on the first.
 * Pure: no clock, no I/O; memory is bounded by the number of kinds kept.
 */
#ifndef LEARN_H
#define LEARN_H

#include "base.h"

/* A report about one attempt. */
struct learn_report {
	uint64_t name_hash; /* of team and job name */
	uint64_t attempt; /* tells attempts apart; any stable hash */
	struct resources declared;
	struct resources granted;
	struct resources used;
	int64_t ran_ms; /* when it was taken, since the attempt's start */
};

/* Bounds on grants, in percent of what was declared. */
struct learn_bounds {
	int64_t min_percent;
	int64_t max_percent;
};

struct learn;

/* Keeps up to max_names kinds; the one not seen for longest goes first. */
struct learn *learn_new(size_t max_names);
void learn_free(struct learn *l);

void learn_usage(struct learn *l, const struct learn_report *report);

/* An attempt ran to its end in so long. */
void learn_runtime(struct learn *l, uint64_t name_hash, int64_t ran_ms);

/*
 * What to grant a task of the kind. Accelerators are granted as declared.
 * Without enough reports the grant is what was declared, or more.
 */
struct resources learn_grant(const struct learn *l, uint64_t name_hash,
    const struct resources *declared, const struct learn_bounds *bounds);

/* How long a task of the kind should run; declared_ms if too few ended. */
int64_t learn_runtime_ms(
    const struct learn *l, uint64_t name_hash, int64_t declared_ms);

size_t learn_kinds(const struct learn *l);

#endif
