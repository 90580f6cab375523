/*
 * Decisions about waiting work, without clock or I/O: in which order steps
 * get their turn, and which workers take their tasks.
 */
#ifndef PLAN_H
#define PLAN_H

#include "base.h"

/* How a step that waits stands against its job's objective. */
enum plan_tier {
	PLAN_IN_TIME, /* can end within the objective */
	PLAN_LATE, /* can still end while a late end is of use */
	PLAN_OVERDUE, /* of no use in time any more: it only has to end */
	PLAN_FILLER /* takes what is left */
};

/* A step of a job that could start now. */
struct plan_claim {
	int64_t accepted_ms;
	int64_t objective_ms; /* from acceptance to the end */
	int64_t left_ms; /* estimated work from here to the job's end */
	uint32_t priority; /* 0 is the most urgent */
	bool filler;
	uint64_t serial; /* of acceptance; settles ties */
};

#define PLAN_LATE_TIMES 3 /* objectives after which an end is of no use */

enum plan_tier plan_tier(const struct plan_claim *c, int64_t now_ms);

/*
 * Orders by tier, then by the time by which a claim must start; below 0 if a
 * goes first. Answers bursts of urgent small jobs beside large gangs: work
 * that can't be in time any more yields to work that can.
 */
int plan_compare(
    const struct plan_claim *a, const struct plan_claim *b, int64_t now_ms);

/*
 * What is believed of the run times of one kind of task. Estimates of callers
 * are rough, and how rough differs by kind: a real time is taken for
 * log-normal, and so is an estimate's error.
 */
struct plan_belief {
	uint32_t seen;
	double mean; /* of the logarithm of real times in ms */
	double spread; /* its variance */
	double bias; /* mean of log(real / estimate) */
	double error; /* its variance */
};

void plan_learn(struct plan_belief *b, int64_t estimate_ms, int64_t real_ms);
/* The run time to expect of a task with this estimate (0: none). */
int64_t plan_expect(const struct plan_belief *b, int64_t estimate_ms);

/* What a worker offers. */
struct plan_room {
	uint32_t worker;
	struct resources free;
	struct resources capacity;
	uint32_t rack;
	double pace; /* how many times as long work takes here; 1: usual */
	uint32_t same; /* tasks of the step that it has already */
	uint32_t most; /* tasks that it may take now, however much room */
};

/* How far a worker is believed to do what it starts. */
enum plan_trust {
	PLAN_TRUSTED,
	PLAN_ON_TRIAL, /* takes one task at a time until one is done */
	PLAN_SHUNNED /* takes none for a while */
};

/*
 * What a worker's failures say against it. Answers workers that fail all or
 * much of what they start, while their reports are good: as they fail at once
 * their room is free again at once, and draws in most of what waits, so that
 * tasks use up their attempts there.
 */
struct plan_doubt {
	double failures; /* faded, and halved by each success */
	int64_t at_ms; /* when that was */
	int64_t wait_ms; /* how long it was shunned last */
	int64_t until_ms; /* shunned until then */
};

/* A run ended there by itself. elsewhere: the task has failed before, so that
 * it may be to blame. */
void plan_doubt_ended(
    struct plan_doubt *d, bool done, bool elsewhere, int64_t now_ms);
enum plan_trust plan_trust(const struct plan_doubt *d, int64_t now_ms);

struct plan_need {
	uint32_t count; /* tasks to place */
	struct resources each;
	bool gang; /* all or none */
	bool colocated; /* on one rack if possible */
	uint32_t data_rack; /* 0: none */
	double far; /* how many times as long off that rack */
	uint32_t per_worker; /* 0: any number */
};

/*
 * Chooses a room for each task: the tightest fit among the quick ones, so
 * that large gaps stay whole for large tasks. Takes what it chose out of the
 * rooms' free amounts. pick gets indexes into rooms; returns how many were
 * placed (all or 0 for a gang).
 */
uint32_t plan_place(struct plan_room **rooms, guint count,
    const struct plan_need *need, uint32_t *pick);

/* A run that could be stopped and go on later from its checkpoint. */
struct plan_victim {
	void *run; /* the caller's */
	struct resources need;
	bool chosen;
};

/* A room with the runs on it that may be stopped. */
struct plan_site {
	struct plan_room *room;
	GArray *victims; /* struct plan_victim */
	uint32_t tasks; /* how many of the claim's tasks are to go there */
};

/*
 * Chooses runs to stop so that a claim fits, at the least processors stopped.
 * Answers a gang that waits among small tasks with time to spare: without it
 * gaps large enough for its members never come up. Marks the victims and the
 * sites' tasks; false if even all victims don't make enough room.
 */
bool plan_make_room(
    struct plan_site *sites, guint count, const struct plan_need *need);

/* What is known of a worker's permit for a step. */
enum plan_permit {
	PLAN_PERMIT_UNKNOWN, /* not asked about yet */
	PLAN_PERMIT_ENDS, /* allowed; the permit ends before an answer is in */
	PLAN_PERMIT_HOLDS, /* allowed, beyond the answer */
	PLAN_PERMIT_NONE /* not allowed */
};

/* A worker that a query to the policy service might name. */
struct plan_candidate {
	uint32_t fits; /* tasks of the step that have room there */
	enum plan_permit permit;
	bool named; /* chosen */
};

/*
 * Chooses the workers that a query names, from the front, until the room that
 * is allowed or may be is plenty. For a gang the permits that hold count:
 * their room needs no query, and its members start at once. Without them a
 * gang with permits of several ages asks for none of them. With learn a query
 * is worth it even if the room can't suffice. Returns how many were named;
 * 0: a query would not help.
 */
uint32_t plan_query(struct plan_candidate *all, guint count,
    const struct plan_need *need, bool learn);

/* How many tasks of a size fit into a room. */
uint32_t plan_fits(const struct plan_room *room, const struct plan_need *need);

#endif
