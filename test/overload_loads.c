/* Loads to replay: those of docs/ORGANISATIONS-AND-LOAD.md, section 4, and a
 * day of heavy load, on a tenth of its workers. */
#include "overload_replay.h"

#define LOAD_MS 60000
#define WORKERS 35

/* 3 tasks of 9.9 cores, 1 s. */
#define URGENT(rate, is_gang)                                             \
	{                                                                 \
		.priority = 0, .tasks = 3, .millicpus = 9900,             \
		.memory_mb = 4096, .runtime_ms = 1000, .gang = (is_gang), \
		.slack_factor = 1.5, .target_ms = 250, .per_s = (rate),   \
		.until_ms = LOAD_MS                                       \
	}
/* 16 tasks of 18 cores and 36 GB, 6.2 s, at the same time. */
#define GANG(rate)                                                       \
	{                                                                \
		.priority = 1, .tasks = 16, .millicpus = 18000,          \
		.memory_mb = 36864, .runtime_ms = 6200, .gang = true,    \
		.slack_factor = 2.2, .target_ms = 1000, .per_s = (rate), \
		.until_ms = LOAD_MS                                      \
	}
/* 37 tasks of 6.9 cores, 2.2 s, that resume from checkpoints. */
#define BATCH(rate)                                                           \
	{                                                                     \
		.priority = 2, .tasks = 37, .millicpus = 6900,                \
		.memory_mb = 4096, .runtime_ms = 2200, .checkpointing = true, \
		.slack_factor = 4, .target_ms = 3000, .per_s = (rate),        \
		.until_ms = LOAD_MS                                           \
	}

static struct replay_class burst[] = { BATCH(3.4), URGENT(25, false) };
static struct replay_class behind_small[] = { BATCH(3.2), GANG(0.25) };
static struct replay_class spike[] = { URGENT(4, false), GANG(0.3), BATCH(0.8),
	BATCH(7) };
static struct replay_class mixed[] = { URGENT(3.5, false), URGENT(1.8, true),
	GANG(0.35), BATCH(1.3) };
static struct replay_class wave[] = { URGENT(4.4, false), URGENT(2.2, true),
	GANG(0.43), BATCH(1.6) };
static struct replay_class heavy[] = { URGENT(5.3, false), URGENT(2.6, true),
	GANG(0.52), BATCH(1.9) };
static struct replay_class twice[] = { URGENT(8.8, false), URGENT(4.4, true),
	GANG(0.86), BATCH(3.2) };

#define LOAD(text, list, lost)                                              \
	{                                                                   \
		.name = (text), .workers = WORKERS, .lost_workers = (lost), \
		.until_ms = LOAD_MS, .classes = (list),                     \
		.class_count = G_N_ELEMENTS(list)                           \
	}

const struct replay_load replay_loads[REPLAY_LOAD_COUNT] = {
	[REPLAY_BURST] = LOAD("a burst of urgent work", burst, 0),
	[REPLAY_BEHIND_SMALL] =
	    LOAD("gangs behind small work", behind_small, 0),
	[REPLAY_SPIKE] = LOAD("an organisation's spike", spike, 0),
	[REPLAY_LOST] = LOAD("workers lose capacity", mixed, 12),
	[REPLAY_WAVE] = LOAD("a load wave", wave, 0),
	[REPLAY_HEAVY] = LOAD("1.2 times the capacity", heavy, 0),
	[REPLAY_TWICE] = LOAD("twice the capacity", twice, 0),
};

void
replay_loads_init(void)
{
	burst[1].from_ms = 20000;
	burst[1].until_ms = 24000;
	spike[3].from_ms = 20000;
	spike[3].until_ms = 35000;
	/* Nine times what it is entitled to. */
	spike[3].entitled_permille = 1000 / 9;
	for (guint i = 0; i < G_N_ELEMENTS(wave); i++)
		wave[i].wave = 0.6;
}
