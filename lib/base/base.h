/*
 * Types and helpers that all parts share: resources, kinds of work,
 * outcomes, monotonic time, a seeded generator and errors.
 */
#ifndef BASE_H
#define BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define BULRUSHTIDE_VERSION "0.1.0"

/* The error domain of all parts; the code is an enum error_code. */
#define BT_ERROR bt_error_quark()

enum error_code {
	ERR_INVALID, /* input that breaks a stated rule */
	ERR_IO, /* a file or socket operation failed */
	ERR_CORRUPT, /* stored data that fails its check */
	ERR_CONFLICT, /* another change came first */
	ERR_LIMIT, /* a stated bound is reached */
	ERR_UNAVAILABLE /* no leader, no quorum or out of date */
};

/* Workload kinds. */
enum kind { KIND_SERVICE, KIND_BATCH, KIND_GANG, KIND_COUNT };

/* What a reply says of a request, as in docs/INTERFACE.md. */
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

/* An amount of a worker's resources. */
struct resources {
	int64_t millicpus; /* thousandths of a core */
	int64_t memory; /* bytes */
	int64_t accelerators;
};

/* A small generator for seeded choices (splitmix64). */
struct rng {
	uint64_t state;
};

GQuark bt_error_quark(void);

/* Milliseconds of the monotonic clock. */
int64_t mono_ms(void);

/* Microseconds of the monotonic clock. */
int64_t mono_us(void);

/* Returns a 64-bit FNV-1a hash of the bytes, well mixed. */
uint64_t hash64(const void *data, size_t len);

/* Returns a random id from the kernel's generator; never 0. */
uint64_t random_id(void);

/* Returns the next value of a seeded generator. */
uint64_t rng_next(struct rng *rng);

/* Returns a value from 0 to below - 1; 0 if below is 0. */
uint64_t rng_below(struct rng *rng, uint64_t below);

/* Returns the names that replies and files use ("service", "not-run"). */
const char *kind_name(enum kind kind);
const char *outcome_name(enum outcome outcome);

/* Looks a kind up by name; false if there is none of that name. */
bool kind_parse(const char *name, enum kind *kind);

/* Says whether each amount of need is within have. */
bool resources_fit(const struct resources *need, const struct resources *have);

/* Adds the amounts, or takes them away with sign -1. */
void
resources_add(struct resources *sum, const struct resources *part, int sign);

/* Says whether the amounts are equal. */
bool resources_equal(const struct resources *a, const struct resources *b);

#endif
