#include <math.h>

#include "learn.h"

#define STEPS 48 /* of a histogram */
#define USAGE_BASE 2.0 /* percent of declared: top of the first step */
#define RUNTIME_BASE 50.0 /* ms: top of the first step */
#define USAGE_GROWTH 1.15 /* from one step to the next */
#define RUNTIME_GROWTH 1.4
#define COUNT_MAX 1024 /* samples in a histogram before it is halved */
#define WARMUP_MS 1000 /* earlier reports show the start, not the work */
#define CAPPED_PERCENT 95 /* of the grant: the task may want more */
#define CAPPED_FACTOR 1.25
#define LOWER_REPORTS 30 /* needed before a grant is below the declared */
#define LOWER_ATTEMPTS 5
#define RUNTIMES_MIN 3
#define CPU_QUANTILE 0.95
#define MEMORY_QUANTILE 0.99 /* a task that lacks memory dies */
#define RUNTIME_QUANTILE 0.9

/* Counts of samples by size; old ones fade as it is halved. */
struct histogram {
	uint16_t counts[STEPS];
	uint32_t total;
};

struct entry {
	uint64_t name_hash;
	uint64_t attempts; /* a bit for each of 64 classes of attempts */
	uint32_t reports;
	struct histogram millicpus; /* percent of declared */
	struct histogram memory;
	struct histogram runtime; /* ms */
	GList link; /* in learn.seen */
};

struct learn {
	GHashTable *entries; /* struct entry by name_hash */
	GQueue seen; /* struct entry.link; the last seen at the tail */
	size_t max_names;
};

struct learn *
learn_new(size_t max_names)
{
	struct learn *l = g_new0(struct learn, 1);

	l->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	l->max_names = MAX(max_names, 1);
	g_queue_init(&l->seen);
	return l;
}

void
learn_free(struct learn *l)
{
	g_hash_table_unref(l->entries);
	g_free(l);
}

size_t
learn_kinds(const struct learn *l)
{
	return g_hash_table_size(l->entries);
}

static void
forget_oldest(struct learn *l)
{
	struct entry *oldest = l->seen.head->data;

	g_queue_unlink(&l->seen, &oldest->link);
	g_hash_table_remove(l->entries, &oldest->name_hash);
}

static struct entry *
touch(struct learn *l, uint64_t name_hash)
{
	struct entry *e = g_hash_table_lookup(l->entries, &name_hash);

	if (e != NULL) {
		g_queue_unlink(&l->seen, &e->link);
		g_queue_push_tail_link(&l->seen, &e->link);
		return e;
	}
	if (learn_kinds(l) >= l->max_names)
		forget_oldest(l);
	e = g_new0(struct entry, 1);
	e->name_hash = name_hash;
	e->link.data = e;
	g_hash_table_insert(l->entries, &e->name_hash, e);
	g_queue_push_tail_link(&l->seen, &e->link);
	return e;
}

static void
halve(struct histogram *h)
{
	h->total = 0;
	for (unsigned i = 0; i < STEPS; i++) {
		h->counts[i] /= 2;
		h->total += h->counts[i];
	}
}

static void
add(struct histogram *h, double value, double base, double growth)
{
	double step = value <= base ? 0 : ceil(log(value / base) / log(growth));

	h->counts[(unsigned)MIN(step, STEPS - 1)]++;
	h->total++;
	if (h->total >= COUNT_MAX)
		halve(h);
}

/* The top of the step that holds the quantile. */
static double
quantile(const struct histogram *h, double q, double base, double growth)
{
	double want = q * h->total;
	double sum = 0;
	unsigned i = 0;

	for (; i < STEPS - 1; i++) {
		sum += h->counts[i];
		if (sum >= want)
			break;
	}
	return base * pow(growth, i);
}

/* Counts one resource; a task held at its grant may want more than it uses. */
static void
add_usage(struct histogram *h, int64_t declared, int64_t granted, int64_t used)
{
	double wanted = (double)used;

	if (declared <= 0)
		return;
	if (used * 100 >= granted * CAPPED_PERCENT)
		wanted *= CAPPED_FACTOR;
	add(h, 100 * wanted / (double)declared, USAGE_BASE, USAGE_GROWTH);
}

void
learn_usage(struct learn *l, const struct learn_report *report)
{
	struct entry *e;

	if (report->ran_ms < WARMUP_MS)
		return;
	e = touch(l, report->name_hash);
	e->attempts |= 1ULL << (report->attempt % 64);
	e->reports = MIN(e->reports + 1, LOWER_REPORTS);
	add_usage(&e->millicpus, report->declared.millicpus,
	    report->granted.millicpus, report->used.millicpus);
	add_usage(&e->memory, report->declared.memory, report->granted.memory,
	    report->used.memory);
}

void
learn_runtime(struct learn *l, uint64_t name_hash, int64_t ran_ms)
{
	add(&touch(l, name_hash)->runtime, (double)ran_ms, RUNTIME_BASE,
	    RUNTIME_GROWTH);
}

static bool
may_lower(const struct entry *e)
{
	return e->reports >= LOWER_REPORTS &&
	    __builtin_popcountll(e->attempts) >= LOWER_ATTEMPTS;
}

static int64_t
grant(const struct entry *e, const struct histogram *h, double q,
    int64_t declared, const struct learn_bounds *bounds)
{
	double percent;

	if (declared <= 0 || h->total == 0)
		return declared;
	percent = quantile(h, q, USAGE_BASE, USAGE_GROWTH);
	if (percent < 100 && !may_lower(e))
		return declared;
	percent = CLAMP(
	    percent, (double)bounds->min_percent, (double)bounds->max_percent);
	return MAX((int64_t)((double)declared * percent / 100), 1);
}

struct resources
learn_grant(const struct learn *l, uint64_t name_hash,
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

	if (e == NULL || e->runtime.total < RUNTIMES_MIN)
		return declared_ms;
	return (int64_t)quantile(
	    &e->runtime, RUNTIME_QUANTILE, RUNTIME_BASE, RUNTIME_GROWTH);
}
