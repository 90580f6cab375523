#include <math.h>

#include "learn.h"

#define BUCKETS 48 /* of a histogram */
#define USAGE_BASE_PERCENT 2.0 /* of declared: top of the first bucket */
#define RUNTIME_BASE_MS 50.0 /* top of the first bucket */
#define USAGE_GROWTH 1.15 /* from one bucket's top to the next */
#define RUNTIME_GROWTH 1.4
#define SAMPLES_MAX 1024 /* in a histogram; then its counts are halved */
#define WARMUP_MS 1000 /* earlier reports show startup, not the work */
/* A task that uses this much of its grant may be limited by it; its demand is
 * taken to be larger than its use by CAPPED_FACTOR. */
#define CAPPED_USE_PERCENT 95
#define CAPPED_FACTOR 1.25
/* Needed before a grant is lowered below the declared amount. */
#define LOWER_MIN_REPORTS 30
#define LOWER_MIN_ATTEMPTS 5
#define RUNTIME_MIN_SAMPLES 3
#define CPU_QUANTILE 0.95
#define MEMORY_QUANTILE 0.99 /* out of memory kills a task */
#define RUNTIME_QUANTILE 0.9

/* Counts of samples by size. Halving the counts ages old samples out. */
struct histogram {
	uint16_t counts[BUCKETS];
	uint32_t total;
};

struct entry {
	uint64_t name_hash;
	uint64_t attempts; /* bitmap of attempt hashes modulo 64 */
	uint32_t reports; /* counted up to LOWER_MIN_REPORTS */
	struct histogram millicpus; /* percent of declared */
	struct histogram memory;
	struct histogram runtime; /* ms */
	GList link; /* in learn.lru */
};

struct learn {
	GHashTable *entries; /* struct entry by name_hash */
	GQueue lru; /* struct entry.link; the most recent at the tail */
	size_t max_kinds;
};

struct learn *
learn_new(size_t max_kinds)
{
	struct learn *l = g_new0(struct learn, 1);

	l->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->max_kinds = MAX(max_kinds, 1);
	g_queue_init(&l->lru);
	return l;
}

void
learn_free(struct learn *l)
{
	g_hash_table_unref(l->entries);
	g_free(l);
}

size_t
learn_kind_count(const struct learn *l)
{
	return g_hash_table_size(l->entries);
}

static void
evict_oldest(struct learn *l)
{
	struct entry *oldest = l->lru.head->data;

	g_queue_unlink(&l->lru, &oldest->link);
	g_hash_table_remove(l->entries, &oldest->name_hash);
}

/* Returns a kind's entry, created if new, as the most recently used one. */
static struct entry *
get_entry(struct learn *l, uint64_t name_hash)
{
	struct entry *e = g_hash_table_lookup(l->entries, &name_hash);

	if (e != NULL) {
		g_queue_unlink(&l->lru, &e->link);
		g_queue_push_tail_link(&l->lru, &e->link);
		return e;
	}
	if (learn_kind_count(l) >= l->max_kinds)
		evict_oldest(l);
	e = g_new0(struct entry, 1);
	e->name_hash = name_hash;
	e->link.data = e;
	g_hash_table_insert(l->entries, &e->name_hash, e);
	g_queue_push_tail_link(&l->lru, &e->link);
	return e;
}

static void
halve(struct histogram *h)
{
	h->total = 0;
	for (unsigned i = 0; i < BUCKETS; i++) {
		h->counts[i] /= 2;
		h->total += h->counts[i];
	}
}

static void
add(struct histogram *h, double value, double base, double growth)
{
	double bucket =
	    value <= base ? 0 : ceil(log(value / base) / log(growth));

	h->counts[(unsigned)MIN(bucket, BUCKETS - 1)]++;
	h->total++;
	if (h->total >= SAMPLES_MAX)
		halve(h);
}

/* Returns the upper bound of the bucket that holds the quantile. */
static double
quantile(const struct histogram *h, double q, double base, double growth)
{
	double rank = q * h->total;
	double sum = 0;
	unsigned i = 0;

	for (; i < BUCKETS - 1; i++) {
		sum += h->counts[i];
		if (sum >= rank)
			break;
	}
	return base * pow(growth, i);
}

static void
add_usage(struct histogram *h, int64_t declared, int64_t granted, int64_t used)
{
	double demand = (double)used;

	if (declared <= 0)
		return;
	if (used * 100 >= granted * CAPPED_USE_PERCENT)
		demand *= CAPPED_FACTOR;
	add(h, 100 * demand / (double)declared, USAGE_BASE_PERCENT,
	    USAGE_GROWTH);
}

void
learn_record_usage(struct learn *l, const struct learn_report *report)
{
	struct entry *e;

	if (report->ran_ms < WARMUP_MS)
		return;
	e = get_entry(l, report->name_hash);
	e->attempts |= 1ULL << (report->attempt % 64);
	e->reports = MIN(e->reports + 1, LOWER_MIN_REPORTS);
	add_usage(&e->millicpus, report->declared.millicpus,
	    report->granted.millicpus, report->used.millicpus);
	add_usage(&e->memory, report->declared.memory, report->granted.memory,
	    report->used.memory);
}

void
learn_record_runtime(struct learn *l, uint64_t name_hash, int64_t ran_ms)
{
	add(&get_entry(l, name_hash)->runtime, (double)ran_ms, RUNTIME_BASE_MS,
	    RUNTIME_GROWTH);
}

static bool
may_lower(const struct entry *e)
{
	return e->reports >= LOWER_MIN_REPORTS &&
	    __builtin_popcountll(e->attempts) >= LOWER_MIN_ATTEMPTS;
}

static int64_t
grant(const struct entry *e, const struct histogram *h, double q,
    int64_t declared, const struct learn_bounds *bounds)
{
	double percent;

	if (declared <= 0 || h->total == 0)
		return declared;
	percent = quantile(h, q, USAGE_BASE_PERCENT, USAGE_GROWTH);
	if (percent < 100 && !may_lower(e))
		return declared;
	percent = CLAMP(
	    percent, (double)bounds->min_percent, (double)bounds->max_percent);
	return MAX((int64_t)((double)declared * percent / 100), 1);
}

struct resources
learn_estimate_grant(const struct learn *l, uint64_t name_hash,
    const struct resources *declared, const struct learn_bounds *bounds)
{
	const struct entry *e = g_hash_table_lookup(l->entries, &name_hash);
	struct resources out = *declared;

	if (e == NULL)
		return out;
	out.millicpus =
	    grant(e, &e->millicpus, CPU_QUANTILE, declared->millicpus, bounds);
	out.memory =
	    grant(e, &e->memory, MEMORY_QUANTILE, declared->memory, bounds);
	return out;
}

int64_t
learn_runtime_ms(const struct learn *l, uint64_t name_hash, int64_t declared_ms)
{
	const struct entry *e = g_hash_table_lookup(l->entries, &name_hash);

	if (e == NULL || e->runtime.total < RUNTIME_MIN_SAMPLES)
		return declared_ms;
	return (int64_t)quantile(
	    &e->runtime, RUNTIME_QUANTILE, RUNTIME_BASE_MS, RUNTIME_GROWTH);
}
