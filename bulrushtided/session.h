/*
 * A process's session with the leader: it finds the leader, reports to it,
 * passes requests on and knows until when it may act on what it was told.
 */
#ifndef SESSION_H
#define SESSION_H

#include "node.h"

/*
 * Gets the answer to a request. status 0: none came in time; sent tells
 * whether the request may have reached a leader.
 */
typedef void session_answer(void *arg, int status, const void *body, size_t len,
    int retry_after_s, bool sent);

struct session_ops {
	void (*worker)(void *arg, const struct worker_push *push);
	void (*shape)(void *arg, const struct shape_push *push);
	void (*order)(void *arg, const struct order *order);
	void (*config)(void *arg, const struct config_push *push);
	void (*target)(void *arg, const struct target_push *push);
	void (*targets)(void *arg, const struct targets_push *push);
	void (*division)(void *arg, uint64_t division);
	/* The leader asks this process to drain. */
	void (*leave)(void *arg);
};

/* A request to pass on; strings and body are copied. */
struct session_call {
	enum request_op op;
	uint64_t arg;
	int64_t wait_ms; /* how long the leader may hold the answer */
	int64_t timeout_ms; /* from now to giving up, on top of wait_ms */
	const char *name;
	GBytes *body;
	const char *trace;
	bool once; /* not sent again to another leader: it may be stale */
};

struct session *
session_new(struct node *node, const struct session_ops *ops, void *arg);
void session_free(struct session *s);

/* Passes a request on; sent again when the leader changes. */
void session_request(struct session *s, const struct session_call *call,
    session_answer *answer, void *arg);

/* Says whether this process may act on what it was told. */
bool session_granted(const struct session *s);

/* Reports a worker's health or an order's result; lost without a session,
 * as the leader sends everything anew to a new session. */
void session_send(struct session *s, enum frame_type type, const void *msg);

/* Reports at once that this process drains. */
void session_drain(struct session *s);

/* Returns the configuration held. */
const struct config_push *session_config(const struct session *s);

#endif
