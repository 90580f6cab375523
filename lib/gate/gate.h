/*
 * Forwards requests to the leader. Keeps them across changes of leader, sends
 * them again to each new leader and drops them at their timeout. A dropped
 * request is answered REQUEST_UNAVAILABLE, i.e. not carried out, only if no
 * leader can have accepted it; else REQUEST_UNKNOWN. While no replica has been
 * connected for GATE_RECONNECT_MS, no leader is near: requests that none can
 * have accepted are dropped at once.
 */
#ifndef GATE_H
#define GATE_H

#include "dispatch.h"

/* Time to restore links that were reset. */
#define GATE_RECONNECT_MS 500

struct gate;

/* Sends a request to the leader; returns false if there is none. May cause a
 * call of gate_answer() before it returns. */
typedef bool gate_send_fn(void *arg, const struct request *request);
/* Receives the answer to a request; valid during the call only. */
typedef void gate_answer_fn(void *arg, const struct answer *a);

struct gate *gate_new(gate_send_fn *send, void *arg);
/* Answers all pending requests as if they had timed out, and later ones at
 * once. */
void gate_close(struct gate *g);
/* Closes the gate first. */
void gate_free(struct gate *g);
/* Copies and forwards a request. Calls fn exactly once, after timeout_ms at the
 * latest, possibly before it returns. */
void gate_forward(struct gate *g, const struct request *request,
    int64_t timeout_ms, gate_answer_fn *fn, void *arg);
/* Passes an answer from the leader on to the caller of gate_forward(). */
void gate_answer(struct gate *g, const struct answer *a);
/* To be called when the leader changes or the link to it is lost: the pending
 * requests are sent again. */
void gate_leader_changed(struct gate *g);
/* Tells whether a replica is connected; initially one is. now: mono_ms(). */
void gate_set_connected(struct gate *g, bool connected, int64_t now);
/* Resends requests after their retry delay and drops those timed out; now:
 * mono_ms(). */
void gate_tick(struct gate *g, int64_t now);
/* The number of unanswered requests. */
guint gate_pending(const struct gate *g);

#endif
