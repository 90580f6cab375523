#include <string.h>

#include "codec.h"
#include "speed.h"

/*
 * Weights are in eighths of a sample. One sample's weight of "normal" keeps a
 * first sample from deciding alone; the bound lets a speed that has changed be
 * learnt again within some dozen samples.
 */
#define WEIGHT_SAMPLE 8
#define WEIGHT_PRIOR 8
#define WEIGHT_MAX 96
/* Declared run times are off by e^0.9, the work of the tasks of a step by less
 * than 30%: the variances differ by a factor of about ten. */
#define WEIGHT_DECLARED 1
#define QUEUE_SAMPLES_MIN 8 /* before a queue's mean is compared with */
#define QUEUE_SAMPLES_MAX 64 /* the weight of a queue's mean */
/* Few tasks take several times as long as the rest. One such task is not to
 * decide the speed of its worker. */
#define DEVIATION_MAX (SPEED_ONE * 3 / 2)
#define QUEUE_DEVIATION_MAX (SPEED_ONE * 3)

/* Mean absolute deviation before there are samples, and their number that it
 * counts as: that of a normal distribution whose logarithms (base e) have a
 * standard deviation of 0.5. */
#define PRIOR_DEVIATION (SPEED_ONE * 58 / 100)
#define PRIOR_SAMPLES 3

/* A running mean, by name. */
struct mean {
	char *name;
	int64_t value;
	int64_t deviation; /* mean absolute one */
	uint32_t weight;
	uint32_t samples;
	int64_t updated_ms;
	GList *link; /* in order */
};

/* Means by name, at most max of them. */
struct means {
	GHashTable *by_name; /* to struct mean */
	GQueue order; /* struct mean, the one updated longest ago first */
	int64_t sum; /* of the values */
	guint max;
};

struct speed_table {
	/*
	 * A worker's slowdown is its value less the mean of all values. The
	 * tasks of a step end in the order of their run times, so each is
	 * compared with shorter ones on average and all values rise slowly.
	 */
	struct means workers;
	struct means queues; /* of log(run time / declared) less slowdown */
	struct means works; /* by queue, of log(run time) less slowdown */
};

static void
mean_free(void *arg)
{
	struct mean *m = arg;

	g_free(m->name);
	g_free(m);
}

static void
means_init(struct means *all, guint max)
{
	all->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, mean_free);
	g_queue_init(&all->order);
	all->max = max;
}

static void
means_clear(struct means *all)
{
	g_queue_clear(&all->order);
	g_hash_table_remove_all(all->by_name);
	all->sum = 0;
}

static void
drop_oldest(struct means *all)
{
	struct mean *m = g_queue_pop_head(&all->order);

	all->sum -= m->value;
	g_hash_table_remove(all->by_name, m->name);
}

static struct mean *
mean_find(const struct means *all, const char *name)
{
	return g_hash_table_lookup(all->by_name, name);
}

/* Adds a mean and drops the oldest if there are too many then; owns m. */
static void
mean_insert(struct means *all, struct mean *m)
{
	g_queue_push_tail(&all->order, m);
	m->link = all->order.tail;
	g_hash_table_insert(all->by_name, m->name, m);
	all->sum += m->value;
	if (all->order.length > all->max)
		drop_oldest(all);
}

static struct mean *
mean_get(struct means *all, const char *name, int64_t value, uint32_t weight)
{
	struct mean *m = mean_find(all, name);

	if (m != NULL)
		return m;
	m = g_new0(struct mean, 1);
	m->name = g_strdup(name);
	m->value = value;
	m->deviation = PRIOR_DEVIATION;
	m->weight = weight;
	mean_insert(all, m);
	return m;
}

/* Moves a mean by a sample's deviation from it. */
static void
mean_add(struct means *all, struct mean *m, int64_t deviation, uint32_t weight,
    uint32_t max_weight, int64_t at_ms)
{
	int64_t by;

	m->weight = MIN(m->weight + weight, max_weight);
	by = deviation * weight / MAX(m->weight, 1);
	m->value += by;
	all->sum += by;
	m->deviation += (ABS(deviation) - m->deviation) * weight /
	    (m->weight + PRIOR_SAMPLES);
	m->samples++;
	m->updated_ms = at_ms;
	g_queue_unlink(&all->order, m->link);
	g_queue_push_tail_link(&all->order, m->link);
}

struct speed_table *
speed_new(void)
{
	struct speed_table *t = g_new0(struct speed_table, 1);

	means_init(&t->workers, SPEED_WORKERS_MAX);
	means_init(&t->queues, SPEED_QUEUES_MAX);
	means_init(&t->works, SPEED_QUEUES_MAX);
	return t;
}

void
speed_clear(struct speed_table *t)
{
	means_clear(&t->workers);
	means_clear(&t->queues);
	means_clear(&t->works);
}

void
speed_free(struct speed_table *t)
{
	if (t == NULL)
		return;
	speed_clear(t);
	g_hash_table_unref(t->workers.by_name);
	g_hash_table_unref(t->queues.by_name);
	g_hash_table_unref(t->works.by_name);
	g_free(t);
}

bool
speed_is_empty(const struct speed_table *t)
{
	return t->workers.order.length == 0 && t->queues.order.length == 0 &&
	    t->works.order.length == 0;
}

static int64_t
mean_of_values(const struct means *all)
{
	return all->order.length == 0 ? 0 : all->sum / all->order.length;
}

struct speed
speed_of(const struct speed_table *t, const char *address)
{
	const struct mean *m = mean_find(&t->workers, address);

	if (m == NULL)
		return (struct speed){ 0 };
	return (
	    struct speed){ .slowdown = m->value - mean_of_values(&t->workers),
		.samples = m->samples };
}

int64_t
speed_log2(int64_t value)
{
	uint64_t x = (uint64_t)MAX(value, 1);
	int whole = 63 - __builtin_clzll(x);
	int64_t out = whole;

	/* x is in [1, 2), in steps of 2^-31. Squaring it doubles its logarithm,
	 * which yields one bit each time. */
	x = whole <= 31 ? x << (31 - whole) : x >> (whole - 31);
	for (int bit = 0; bit < 16; bit++) {
		x = x * x >> 31;
		out = out * 2 + (int64_t)(x >> 32);
		x >>= x >> 32;
	}
	return out;
}

/*
 * Moves a worker's speed by a run whose work is expected to be work. The more
 * runs that is known from, the more it counts.
 */
static void
learn(struct speed_table *t, const struct speed_run *run, int64_t work,
    uint32_t weight)
{
	struct mean *m = mean_get(&t->workers, run->address,
	    mean_of_values(&t->workers), WEIGHT_PRIOR);
	int64_t deviation = speed_log2(run->ran_ms) - work -
	    (m->value - mean_of_values(&t->workers));

	mean_add(&t->workers, m,
	    CLAMP(deviation, -DEVIATION_MAX, DEVIATION_MAX), weight, WEIGHT_MAX,
	    run->at_ms);
}

/* Adds the work of a run to that of its step's other tasks. */
static void
peers_add(struct speed_peers *peers, int64_t work)
{
	if (peers->count > 0) {
		int64_t mean = peers->sum / peers->count;

		work = CLAMP(work, mean - DEVIATION_MAX, mean + DEVIATION_MAX);
	}
	peers->sum += work;
	peers->count++;
}

/* Adds a value to the mean of a queue. */
static void
queue_add(struct means *all, const struct speed_run *run, int64_t value)
{
	struct mean *m = mean_get(all, run->queue, value, 0);
	int64_t deviation = value - m->value;

	mean_add(all, m,
	    CLAMP(deviation, -QUEUE_DEVIATION_MAX, QUEUE_DEVIATION_MAX), 1,
	    QUEUE_SAMPLES_MAX, run->at_ms);
}

static void
queue_learn(struct speed_table *t, const struct speed_run *run, int64_t work)
{
	queue_add(&t->queues, run, work - speed_log2(run->declared_ms));
	queue_add(&t->works, run, work);
}

void
speed_update(struct speed_table *t, const struct speed_run *run,
    struct speed_peers *peers)
{
	const struct mean *queue = mean_find(&t->queues, run->queue);
	int64_t work;

	if (peers->count > 0)
		learn(t, run, peers->sum / peers->count,
		    WEIGHT_SAMPLE * peers->count / (peers->count + 1));
	else if (queue != NULL && queue->samples >= QUEUE_SAMPLES_MIN)
		learn(t, run, speed_log2(run->declared_ms) + queue->value,
		    WEIGHT_DECLARED);
	work = speed_log2(run->ran_ms) - speed_of(t, run->address).slowdown;
	peers_add(peers, work);
	queue_learn(t, run, work);
}

void
speed_add_gang(
    struct speed_table *t, const struct speed_run *run, int64_t slowdown)
{
	queue_learn(t, run, speed_log2(run->ran_ms) - slowdown);
}

struct speed_work
speed_work_of(const struct speed_table *t, const char *queue)
{
	const struct mean *error = mean_find(&t->queues, queue);
	const struct mean *work = mean_find(&t->works, queue);

	if (error == NULL || work == NULL)
		return (struct speed_work){ 0 };
	return (struct speed_work){ .mean = work->value,
		.deviation = work->deviation,
		.error_mean = error->value,
		.error_deviation = error->deviation,
		.samples = work->samples };
}

static void
means_prune(struct means *all, int64_t before_ms)
{
	struct mean *m;

	while ((m = g_queue_peek_head(&all->order)) != NULL &&
	    m->updated_ms < before_ms)
		drop_oldest(all);
}

void
speed_prune(struct speed_table *t, int64_t before_ms)
{
	means_prune(&t->workers, before_ms);
	means_prune(&t->queues, before_ms);
	means_prune(&t->works, before_ms);
}

static void
means_put(msgpack_packer *pk, const struct means *all)
{
	msgpack_pack_array(pk, all->order.length * 6);
	for (GList *i = all->order.head; i != NULL; i = i->next) {
		const struct mean *m = i->data;

		put_str(pk, m->name);
		msgpack_pack_int64(pk, m->value);
		msgpack_pack_int64(pk, m->deviation);
		msgpack_pack_uint32(pk, m->weight);
		msgpack_pack_uint32(pk, m->samples);
		msgpack_pack_int64(pk, m->updated_ms);
	}
}

static void
means_get(struct reader *r, struct means *all)
{
	struct reader a = get_array(r);

	while (a.ok && a.left > 0) {
		struct mean *m = g_new0(struct mean, 1);

		m->name = get_str(&a, CODEC_NO_LIMIT);
		m->value = get_i64(&a);
		m->deviation = get_amount(&a);
		m->weight = (uint32_t)get_u64(&a);
		m->samples = (uint32_t)get_u64(&a);
		m->updated_ms = get_i64(&a);
		a.ok = a.ok && m->name != NULL &&
		    mean_find(all, m->name) == NULL &&
		    ABS(m->value) < CODEC_AMOUNT_MAX;
		if (a.ok)
			mean_insert(all, m);
		else
			mean_free(m);
	}
	r->ok = r->ok && a.ok;
}

void
speed_put(msgpack_packer *pk, const struct speed_table *t)
{
	means_put(pk, &t->workers);
	means_put(pk, &t->queues);
	means_put(pk, &t->works);
}

void
speed_get(struct reader *r, struct speed_table *t)
{
	speed_clear(t);
	means_get(r, &t->workers);
	means_get(r, &t->queues);
	means_get(r, &t->works);
}

static int
by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

struct speed_spread
speed_spread(int64_t *slowdowns, guint count)
{
	if (count == 0)
		return (struct speed_spread){ 0 };
	qsort(slowdowns, count, sizeof(*slowdowns), by_value);
	return (struct speed_spread){ .fast = slowdowns[count / 10],
		.slow = slowdowns[count - 1 - count / 10] };
}
