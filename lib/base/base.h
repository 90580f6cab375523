/*
 * Types and helpers used by all libraries and programs: errors, workload
 * kinds, request outcomes, resource amounts, the monotonic clock, hashing
 * and random numbers.
 */
#ifndef BASE_H
#define BASE_H

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define BULRUSHTIDE_VERSION "0.1.0"

/* GError domain of the project; its codes are enum error_code. */
#define BT_ERROR bt_error_quark()

enum error_code {
	ERR_INVALID, /* input that breaks a documented rule */
	ERR_IO, /* file or socket operation failed */
	ERR_CORRUPT, /* stored or received data failed its check */
	ERR_CONFLICT, /* a conflicting change came first */
	ERR_LIMIT, /* a limit is reached */
	ERR_UNAVAILABLE /* no leader, no quorum or stale state */
};

/* Kind of a workload. */
enum kind { KIND_SERVICE, KIND_BATCH, KIND_GANG, KIND_COUNT };

/* Outcome of a request as given in replies; see docs/INTERFACE.md. */
enum outcome {
	OUT_ACCEPTED,
	OUT_DONE,
	OUT_FAILED,
	OUT_CANCELLED,
	OUT_NOT_RUN,
	OUT_UNKNOWN,
	OUT_CONFLICT,
	OUT_INVALID,
	OUT_COUNT
};

/* Amounts of a worker's resources, also as requested by tasks. */
struct resources {
	int64_t millicpus; /* thousandths of a CPU core */
	int64_t memory; /* bytes */
	int64_t accelerators; /* devices */
};

/* Seeded pseudo-random generator (splitmix64). */
struct rng {
	uint64_t state;
};

GQuark bt_error_quark(void);

/* Return the time of CLOCK_MONOTONIC in ms and in us. */
int64_t mono_ms(void);
int64_t mono_us(void);

/* Returns the 64-bit FNV-1a hash of data after the splitmix64 finalizer. */
uint64_t hash64(const void *data, size_t len);

/* Returns a random nonzero id from getrandom(2); aborts if that fails. */
uint64_t random_id(void);

uint64_t rng_next(struct rng *rng);

/* Returns a value in [0, limit); 0 if limit is 0. */
uint64_t rng_below(struct rng *rng, uint64_t limit);

/* Return the names that replies and files use for a workload kind ("service")
 * and for an outcome ("not-run"). */
const char *kind_name(enum kind kind);
const char *outcome_name(enum outcome outcome);

/* Sets *kind from the name of a workload kind; false if the name is unknown. */
bool kind_parse(const char *name, enum kind *kind);

/* Returns whether no amount of request exceeds that of available. */
bool resources_fit(
    const struct resources *request, const struct resources *available);

/* Adds amount to sum if sign is 1, subtracts it if sign is -1. */
void
resources_add(struct resources *sum, const struct resources *amount, int sign);

bool resources_equal(const struct resources *a, const struct resources *b);

/*
 * Holds back SIGTERM, SIGINT and SIGHUP, for the calling thread and those that
 * it starts. Sets before, if not NULL, to the former mask.
 */
void hold_signals(sigset_t *before);

#endif
