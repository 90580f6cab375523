/*
 * Estimates resource use and run times per kind of job, from usage reports and
 * ended attempts. A kind is identified by the hash of team and job name. Usage
 * reports lag and cover only part of a run. A grant is therefore lowered below
 * the declared amount only after many reports from several attempts, but
 * raised on the first report. Reads no clock and does no I/O; memory is bounded
 * by the number of kinds.
 */
#ifndef LEARN_H
#define LEARN_H

#include "base.h"

/* A usage report of one attempt. */
struct learn_report {
	uint64_t name_hash; /* of team and job name */
	uint64_t attempt; /* any hash that is stable for an attempt */
	struct resources declared;
	struct resources granted;
	struct resources used;
	int64_t ran_ms; /* from the attempt's start to the report */
};

/* Bounds of grants, in percent of the declared amounts. */
struct learn_bounds {
	int64_t min_percent;
	int64_t max_percent;
};

struct learn;

/* Keeps up to max_kinds kinds and evicts the least recently used. */
struct learn *learn_new(size_t max_kinds);
void learn_free(struct learn *l);

/* Adds a usage report. */
void learn_record_usage(struct learn *l, const struct learn_report *report);

/* Adds the run time of an attempt that ran to its end. */
void learn_record_runtime(struct learn *l, uint64_t name_hash, int64_t ran_ms);

/*
 * Returns the resources to grant a task of the kind: the declared ones or more
 * until there are enough reports to lower them. Accelerators are always
 * granted as declared.
 */
struct resources learn_estimate_grant(const struct learn *l, uint64_t name_hash,
    const struct resources *declared, const struct learn_bounds *bounds);

/* Returns a run time that most tasks of the kind do not exceed; declared_ms if
 * too few attempts have ended. */
int64_t learn_runtime_ms(
    const struct learn *l, uint64_t name_hash, int64_t declared_ms);

size_t learn_kind_count(const struct learn *l);

#endif
