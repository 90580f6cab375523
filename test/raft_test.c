#include <stdlib.h>
#include <string.h>

#include "raft_cluster.h"

#define SCHEDULES 2000
#define STEPS 2500

static uint64_t
env_number(const char *name, uint64_t otherwise)
{
	const char *value = g_getenv(name);

	return value == NULL ? otherwise : g_ascii_strtoull(value, NULL, 10);
}

/* Seeded schedules; RAFT_SEED and RAFT_SCHEDULES replay any of them. */
static void
test_schedules(void)
{
	uint64_t first = env_number("RAFT_SEED", 1), seed;
	uint64_t count = env_number("RAFT_SCHEDULES", SCHEDULES);
	uint64_t reads = 0, installs = 0, changes = 0, lost = 0, terms = 0,
		 commits = 0;
	struct cluster *c;

	g_test_message("RAFT_SEED=%" G_GUINT64_FORMAT
		       " RAFT_SCHEDULES=%" G_GUINT64_FORMAT,
	    first, count);
	for (seed = first; seed < first + count; seed++) {
		c = cluster_new(seed, 3 + (int)(seed % 3));
		cluster_schedule(c, STEPS);
		reads += c->reads;
		installs += c->installs;
		changes += c->changes;
		lost += c->lost;
		commits += c->facts->len;
		terms += g_hash_table_size(c->leaders);
		cluster_free(c);
	}
	g_test_message("leaders %" G_GUINT64_FORMAT
		       ", commits %" G_GUINT64_FORMAT
		       ", reads %" G_GUINT64_FORMAT
		       ", snapshots installed %" G_GUINT64_FORMAT
		       ", membership changes %" G_GUINT64_FORMAT
		       ", disks lost %" G_GUINT64_FORMAT,
	    terms, commits, reads, installs, changes, lost);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/schedules", test_schedules);
	return g_test_run();
}
