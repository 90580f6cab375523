/* Declarations shared by the files of lib/admit. */
#ifndef ADMIT_IMPL_H
#define ADMIT_IMPL_H

#include "admit.h"

/* A job that was refused. */
struct refused {
	uint64_t id;
	int64_t first_ms; /* of its caller's first attempt */
	int64_t return_ms; /* when its caller is expected back */
	uint32_t attempts;
	int64_t price; /* cost per work */
	int64_t work;
	GList *link; /* in the order of refusal */
};

/* Refused jobs by id, the oldest first out. */
struct refused_table {
	GHashTable *by_id;
	GQueue order;
};

void refused_init(struct refused_table *t);
void refused_clear(struct refused_table *t);
struct refused *refused_find(const struct refused_table *t, uint64_t id);
/* Finds a job or adds it. */
struct refused *refused_get(struct refused_table *t, uint64_t id);
void refused_remove(struct refused_table *t, uint64_t id);
/* Removes jobs whose callers did not return. */
void refused_expire(struct refused_table *t, int64_t now_ms);
/* The work of the jobs still expected back that cost at least price per work.
 */
int64_t
refused_work(const struct refused_table *t, int64_t price, uint64_t except);

#endif
