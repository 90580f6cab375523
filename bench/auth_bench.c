/*
 * Measures one key check (lib/auth) with few and with many keys. Prints a line
 * for each: the fastest, the median and the slowest of several passes, in
 * nanoseconds of processor time per check, for keys that are known and for keys
 * that are not. The fastest pass is the one that other programs disturbed
 * least.
 */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "auth.h"

#define KEYS_MAX 2000
#define CHECKS 100000 /* in one pass */
#define PASSES 21
#define KEY_FORMAT "bt_live_%08x%08x%08x%08x" /* 40 bytes */
#define SEED 41

/* Processor time, so that the load of other programs hardly counts. */
static double
cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

/* Checks the keys in turn and returns the nanoseconds that one check took. */
static double
run_pass(const struct auth *a, char **keys, guint count, bool known)
{
	double start_ns = cpu_ns();
	guint owner;

	for (guint i = 0; i < CHECKS; i++)
		if (auth_find(a, keys[i % count], &owner) != known)
			g_error("a key was not checked correctly");
	return (cpu_ns() - start_ns) / CHECKS;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void
measure(const struct auth *a, char **keys, guint count, bool known)
{
	double ns[PASSES];

	for (int i = 0; i < PASSES; i++)
		ns[i] = run_pass(a, keys, count, known);
	qsort(ns, PASSES, sizeof(ns[0]), compare);
	printf("  %5u %-8s %6.0f %6.0f %6.0f\n", count,
	    known ? "known" : "unknown", ns[0], ns[PASSES / 2], ns[PASSES - 1]);
}

static char *
random_key(struct rng *rng)
{
	return g_strdup_printf(KEY_FORMAT, (unsigned)rng_next(rng),
	    (unsigned)rng_next(rng), (unsigned)rng_next(rng),
	    (unsigned)rng_next(rng));
}

/* Half of the keys are in the index. */
static void
run(guint count)
{
	struct rng rng = { SEED };
	struct auth *a = auth_new();
	char *known[KEYS_MAX];
	char *unknown[KEYS_MAX];

	for (guint i = 0; i < count; i++) {
		known[i] = random_key(&rng);
		unknown[i] = random_key(&rng);
		if (!auth_add(a, known[i], i))
			g_error("two keys are equal");
	}
	measure(a, known, count, true);
	measure(a, unknown, count, false);
	for (guint i = 0; i < count; i++) {
		g_free(known[i]);
		g_free(unknown[i]);
	}
	auth_free(a);
}

int
main(void)
{
	printf("   keys          | ns a check: fastest, median, slowest of %d "
	       "passes\n",
	    PASSES);
	run(20);
	run(KEYS_MAX);
	return 0;
}
