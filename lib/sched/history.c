/*
 * Failures and preemptions of jobs. Kept separately from struct job, which is
 * freed between the end of an attempt and its retry, when no task of the job
 * waits or runs.
 */
#include "table.h"

#define HISTORY_JOBS 4096 /* the record created first is dropped */

static void
drop_oldest(struct sched *s)
{
	struct history *oldest = g_queue_pop_head(&s->history_order);
	struct job *job = job_get(s, oldest->job);

	if (job != NULL)
		job->history = NULL;
	g_hash_table_remove(s->history, &oldest->job);
}

struct history *
history_ensure(struct sched *s, uint64_t id)
{
	struct history *h = g_hash_table_lookup(s->history, &id);
	struct job *job = job_get(s, id);

	if (h == NULL) {
		if (s->history_order.length >= HISTORY_JOBS)
			drop_oldest(s);
		h = g_new0(struct history, 1);
		h->job = id;
		g_hash_table_insert(s->history, &h->job, h);
		g_queue_push_tail(&s->history_order, h);
	}
	if (job != NULL)
		job->history = h;
	return h;
}

void
sched_job_avoid(struct sched *s, uint64_t id, uint32_t worker)
{
	struct history *h = history_ensure(s, id);

	if (history_avoids(h, worker))
		return;
	h->avoid[h->avoid_count % AVOID_MAX] = worker;
	h->avoid_count++;
}

bool
history_avoids(const struct history *h, uint32_t worker)
{
	if (h == NULL)
		return false;
	for (uint32_t i = 0; i < MIN(h->avoid_count, AVOID_MAX); i++) {
		if (h->avoid[i] == worker)
			return true;
	}
	return false;
}
