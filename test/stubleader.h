/*
 * A leader without followers for tests of lib/dispatch: a proposed command is
 * applied in the next iteration of the event loop.
 */
#ifndef STUBLEADER_H
#define STUBLEADER_H

#include "dispatch.h"
#include "stubworker.h"

#define AWAIT_LIMIT_MS 30000 /* only a fault takes that long */
#define JOB 0x1234567812345678
#define JOB_PATH "/renders/1234567812345678"

/* A call that a policy process was told to make. */
struct stub_call {
	uint64_t process;
	uint64_t query;
	uint64_t job;
	uint32_t step;
	char **workers; /* names */
};

struct leader {
	struct event_base *base;
	struct flow *flow;
	struct dispatch *dispatch;
	struct registry *registry;
	GQueue commands; /* GBytes, proposed and not applied yet */
	uint64_t proposed;
	uint64_t applied;
	bool no_quorum; /* nothing is committed or confirmed */
	bool unconfirmed; /* leadership is not confirmed */
	int64_t ran_ms; /* end of the last leader_run() ... */
	int64_t stalled_ms; /* ... and the longest time between two of them */
	uint64_t context; /* of the last confirmation requested */
	bool hold_commands; /* commands wait for leader_apply() */
	uint64_t awaited; /* id of the last leader_request() ... */
	int answers; /* ... answers to such requests */
	uint32_t last_result;
	int64_t last_retry_ms;
	char *last_text;
	uint64_t requests;
	const char *key; /* of the requests sent from now on; NULL: none */
	struct request *sending; /* until it is answered, as in lib/gate */
	int queries; /* to the policy service */
	bool policy_connected; /* the policy processes take calls */
	GPtrArray *calls; /* struct stub_call, those not answered yet */
};

/* Runs the loop until the condition holds. */
#define AWAIT(l, condition)                                   \
	do {                                                  \
		int64_t limit = mono_ms() + AWAIT_LIMIT_MS;   \
                                                              \
		while (!(condition)) {                        \
			g_assert_cmpint(mono_ms(), <, limit); \
			leader_run(l);                        \
		}                                             \
	} while (0)

/* Returns a leader of term 1 with the queues "renders" (two attempts) and
 * "allowed" (needs permits) of the pool "desk". */
struct leader *leader_new(void);
/* The same with a setting for how long a draining worker stays. */
struct leader *leader_new_draining(int64_t drain_ms);
/* The same with a setting for uneven workers. */
struct leader *leader_new_uneven(double uneven_workers);
/* The same with the setting overload=yield. */
struct leader *leader_new_yielding(void);
void leader_free(struct leader *l);

void leader_run(struct leader *l); /* runs the loop for 5 ms */
void leader_run_for(struct leader *l, int64_t ms);
/* Answers a call: all of its workers are allowed for so long, or none is, or
 * the call fails. */
void leader_allow(struct leader *l, struct stub_call *call, int64_t valid_ms);
void leader_deny(struct leader *l, struct stub_call *call);
void leader_fail_call(struct leader *l, struct stub_call *call);
/* Applies the oldest of the commands that hold_commands kept. */
void leader_apply(struct leader *l);
/* Applies all of them and those proposed from now on. */
void leader_release_commands(struct leader *l);

/* Sends a request; leader_request() awaits the answer. Takes body. */
void leader_send(
    struct leader *l, enum request_op op, const char *path, GBytes *body);
/* As lib/gate does, sends the request again if a leader has not carried it out
 * because its leadership is not confirmed yet. */
void leader_request(
    struct leader *l, enum request_op op, const char *path, GBytes *body);
GBytes *leader_worker(const struct stub_worker *w, bool draining);
void
leader_heartbeat(struct leader *l, const struct stub_worker *w, bool draining);
/* Changes the capacity of a worker, which reports it. */
void leader_set_millicpus(
    struct leader *l, struct stub_worker *w, int64_t millicpus);
/* Encodes a job with one step, which depends on no other step. */
GBytes *leader_spec(struct flow_step values);
/* Encodes a job with two steps; the second depends on the first. */
GBytes *leader_spec_chain(struct flow_step first, struct flow_step second);
void leader_submit(
    struct leader *l, const char *path, uint32_t count, int64_t millicpus);
void
leader_submit_step(struct leader *l, const char *path, struct flow_step values);

#endif
