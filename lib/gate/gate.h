/*
 * Asks on their way to the leader: kept over changes of leader, sent anew to
 * each, and given up when their time is over. What is said of one that was
 * given up is true: it counts as not carried out only if no leader had it.
 */
#ifndef GATE_H
#define GATE_H

#include "dispatch.h"

struct gate;

/* Hands an ask to the leader; false: there is none. The answer may come by
 * gate_answer() within the call. */
typedef bool gate_hand_fn(void *arg, const struct request *ask);
/* Gets the answer to an ask; valid during the call only. */
typedef void gate_answer_fn(void *arg, const struct answer *a);

struct gate *gate_new(gate_hand_fn *hand, void *arg);
void gate_free(struct gate *g);
/* Answers by fn, once, within the time or at its end. */
void gate_ask(struct gate *g, const struct request *ask, int64_t timeout_ms,
    gate_answer_fn *fn, void *arg);
void gate_answer(struct gate *g, const struct answer *a);
/* The leader is another one, or its link has ended: asks are sent anew. */
void gate_moved(struct gate *g);
/* Sends what is due and gives up what is overdue; now: mono_ms(). */
void gate_scan(struct gate *g, int64_t now);
guint gate_pending(const struct gate *g);

#endif
