/*
 * The session of a process with the leader: finds the leader, reports to it,
 * forwards requests and tracks the leader's grant. The process may act on the
 * state it received only while the grant is valid.
 */
#ifndef SESSION_H
#define SESSION_H

#include "node.h"

/*
 * Receives the answer to a request: an HTTP status and a JSON body, which is
 * valid during the call only. status 0: no answer came in time; sent then
 * says whether the request may have reached a leader. retry_after_s: 0 if none.
 */
typedef void session_answer(void *arg, int status, const void *body, size_t len,
    int retry_after_s, bool sent);

/* Handlers of the leader's messages. All but drain may be NULL. */
struct session_ops {
	void (*worker)(void *arg, const struct worker_push *push);
	void (*start_template)(
	    void *arg, const struct start_template_push *push);
	void (*order)(void *arg, const struct order *order);
	void (*config)(void *arg, const struct config_push *push);
	void (*target)(void *arg, const struct target_push *push);
	void (*target_list)(void *arg, const struct targets_push *push);
	void (*divisor)(void *arg, uint64_t divisor);
	/* The leader requests a graceful stop of this process. */
	void (*drain)(void *arg);
};

/* A request to the leader; strings are copied, body is referenced. Members that
 * the operation doesn't use are zero. */
struct session_request {
	enum request_op op;
	uint64_t job;
	int64_t wait_ms; /* longest time that the leader waits for a job */
	int64_t timeout_ms; /* for the answer, in addition to wait_ms */
	const char *name;
	GBytes *body;
	const char *trace; /* traceparent */
	bool once; /* not resent to another leader, as it may be stale then */
};

struct session *
session_new(struct node *node, const struct session_ops *ops, void *arg);
/* Refuses the requests first. */
void session_free(struct session *s);
/* Answers all requests as if they had timed out, and later ones at once. */
void session_refuse(struct session *s);

/*
 * Sends a request to the leader, and again if the leader changes. Calls answer
 * once.
 */
void session_send_request(struct session *s,
    const struct session_request *request, session_answer *answer, void *arg);

/* Reports whether the process has a configuration and a valid grant. */
bool session_has_grant(const struct session *s);

/*
 * Sends a frame to the leader, such as a worker's health or an order's result.
 * Dropped without a session: the leader resends its state to a new session.
 */
void session_send(struct session *s, enum frame_type type, const void *msg);

/* Sends a report at once, such as when the process starts to drain. */
void session_send_report(struct session *s);

/* Returns the current configuration; all zero before the first one. */
const struct config_push *session_config(const struct session *s);

#endif
