#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base.h"

#define FNV_OFFSET 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

static const char *const kind_names[KIND_COUNT] = {
	[KIND_SERVICE] = "service",
	[KIND_BATCH] = "batch",
	[KIND_GANG] = "gang",
};

static const char *const outcome_names[OUT_COUNT] = {
	[OUT_ACCEPTED] = "accepted",
	[OUT_DONE] = "done",
	[OUT_FAILED] = "failed",
	[OUT_CANCELLED] = "cancelled",
	[OUT_NOT_RUN] = "not-run",
	[OUT_UNKNOWN] = "unknown",
	[OUT_CONFLICT] = "conflict",
	[OUT_INVALID] = "invalid",
};

GQuark
bt_error_quark(void)
{
	return g_quark_from_static_string("bulrushtide");
}

int64_t
mono_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
mono_ms(void)
{
	return mono_us() / 1000;
}

/* The splitmix64 finalizer. */
static uint64_t
mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
hash64(const void *data, size_t len)
{
	const uint8_t *p = data;
	uint64_t h = FNV_OFFSET;

	for (size_t i = 0; i < len; i++)
		h = (h ^ p[i]) * FNV_PRIME;
	return mix(h);
}

uint64_t
random_id(void)
{
	uint64_t id = 0;

	while (id == 0) {
		if (getrandom(&id, sizeof(id), 0) != sizeof(id) &&
		    errno != EINTR)
			g_error("base: getrandom failed: %s", strerror(errno));
	}
	return id;
}

uint64_t
rng_next(struct rng *rng)
{
	rng->state += 0x9e3779b97f4a7c15ULL;
	return mix(rng->state);
}

uint64_t
rng_below(struct rng *rng, uint64_t limit)
{
	if (limit == 0)
		return 0;
	return rng_next(rng) % limit;
}

const char *
kind_name(enum kind kind)
{
	g_assert(kind < KIND_COUNT);
	return kind_names[kind];
}

const char *
outcome_name(enum outcome outcome)
{
	g_assert(outcome < OUT_COUNT);
	return outcome_names[outcome];
}

bool
kind_parse(const char *name, enum kind *kind)
{
	for (int i = 0; i < KIND_COUNT; i++) {
		if (strcmp(name, kind_names[i]) != 0)
			continue;
		*kind = i;
		return true;
	}
	return false;
}

bool
resources_fit(
    const struct resources *request, const struct resources *available)
{
	return request->millicpus <= available->millicpus &&
	    request->memory <= available->memory &&
	    request->accelerators <= available->accelerators;
}

void
resources_add(struct resources *sum, const struct resources *amount, int sign)
{
	sum->millicpus += sign * amount->millicpus;
	sum->memory += sign * amount->memory;
	sum->accelerators += sign * amount->accelerators;
}

bool
resources_equal(const struct resources *a, const struct resources *b)
{
	return a->millicpus == b->millicpus && a->memory == b->memory &&
	    a->accelerators == b->accelerators;
}

void
hold_signals(sigset_t *before)
{
	sigset_t held;

	sigemptyset(&held);
	sigaddset(&held, SIGTERM);
	sigaddset(&held, SIGINT);
	sigaddset(&held, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &held, before);
}
