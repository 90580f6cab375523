/*
 * Frames between our processes. Each is a type number and a msgpack array;
 * replicas exchange HELLO, PING and RAFT, every process keeps one session
 * with the leader, over which the rest goes.
 */
#ifndef PROTO_H
#define PROTO_H

#include "wire.h"

#define PROTO_VERSION 1

enum frame_type {
	FRAME_HELLO = 1,
	FRAME_PING,
	FRAME_RAFT, /* the bytes of raft_msg_encode() */
	FRAME_JOIN,
	FRAME_JOINED,
	FRAME_REQUEST,
	FRAME_REPLY,
	FRAME_REPORT,
	FRAME_GRANT,
	FRAME_CONFIG,
	FRAME_WORKER,
	FRAME_ORDER,
	FRAME_ORDER_RESULT,
	FRAME_WORKER_HEALTH,
	FRAME_LEAVE,
	FRAME_TARGET,
	FRAME_SPAN,
	FRAME_DIVISION,
	FRAME_TARGETS,
	FRAME_SHAPE,
	FRAME_USAGE,
	FRAME_COUNT
};

/* First frame on every connection, both ways. */
struct hello {
	uint64_t version; /* PROTO_VERSION */
	char *name;
	uint64_t node; /* replica id; 0: none yet, or no replica */
	uint64_t cell; /* 0: belongs to none yet */
	bool formed; /* the log tells of a cell, also if its id is not known */
	bool replica;
};

/* A process asks the leader for a session. */
struct join {
	char *name;
	char *address; /* of its HTTP listener */
	char *region;
	char *data_center;
	uint64_t incarnation;
	bool entry; /* takes callers and may be a home */
	uint64_t config; /* version it holds */
	uint64_t division; /* of connections that it uses */
};

struct joined {
	bool accepted; /* false: not the leader */
	char *leader; /* its name, "" when unknown */
	uint64_t term;
	uint32_t entry; /* id in the cell; 0 for a process that is no entry */
};

enum request_op {
	OP_PROPOSE, /* body: a cell command */
	OP_ANNOUNCE, /* body: a CMD_WORKER command; home is chosen */
	OP_LEAVE, /* name: worker that leaves */
	OP_END, /* body: a CMD_END command; name: its worker */
	OP_JOB, /* arg: job; wait_ms */
	OP_WORKERS,
	OP_TEAMS,
	OP_CONFIG,
	OP_STATUS,
	OP_NODES,
	OP_REPLICA_ADD, /* name */
	OP_REPLICA_REMOVE, /* name */
	OP_DRAIN, /* name of the node */
	OP_TRACE, /* name: trace id, 32 hex digits */
	OP_COUNT
};

struct request {
	uint64_t id; /* drawn by the sender; comes back in the reply */
	uint32_t op;
	uint64_t arg;
	int64_t wait_ms; /* how long the reply may be held for a job's end */
	char *name;
	GBytes *body;
	char *trace; /* traceparent; "" when none */
};

/* A reply's status when the request was not taken and should come again. */
#define REPLY_AGAIN 0

struct reply {
	uint64_t id;
	uint32_t status; /* HTTP status, or REPLY_AGAIN */
	uint32_t retry_after_s;
	GBytes *body; /* JSON */
};

/* Every REPORT_MS from each process. */
struct report {
	uint64_t seq;
	uint64_t config; /* version in force at the sender */
	uint64_t division; /* of connections, in force at the sender */
	bool draining;
};

struct grant {
	uint64_t seq; /* of the report it answers */
	int64_t grant_ms; /* counted from the report's sending */
};

struct config_push {
	uint64_t version;
	char *digest;
	char *author;
	GBytes *body; /* JSON of GET /v1/config without nodes */
	int64_t heartbeat_ms;
	int64_t suspect_ms;
	int64_t lease_ms; /* the shortest of all kinds */
};

/* A worker is homed at the receiver, or (gone) no longer. */
struct worker_push {
	uint32_t worker;
	bool gone;
	char *name;
	char *address;
	uint64_t incarnation;
	uint64_t epoch;
	bool draining;
};

enum order_type {
	ORDER_START,
	ORDER_STOP,
	ORDER_CHECKPOINT,
	ORDER_THROTTLE,
	ORDER_RESUME, /* lifts a throttle */
	ORDER_FORGET /* the attempt ended: drop what is kept of it */
};

struct order {
	uint32_t type;
	uint32_t worker;
	uint64_t epoch;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	int64_t lease_ms; /* of the attempt */
	char *trace; /* traceparent; "" when none */
};

/* What the start orders of a job have in common; sent once to a home. */
struct shape_push {
	uint64_t job;
	bool gone; /* the job has ended: drop it */
	char *name;
	int64_t millicpus;
	int64_t memory; /* bytes */
	int64_t accelerators;
	GBytes *payload;
};

enum order_outcome { ORDER_DONE, ORDER_REFUSED /* never started */ };

struct order_result {
	uint32_t type;
	uint32_t outcome;
	uint32_t worker;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
};

enum worker_health {
	HEALTH_REFENCE, /* a start order is lost on its way: a new epoch is
			   needed before anybody may say it never ran */
	HEALTH_SILENT, /* no word for suspect_ms */
	HEALTH_HEARD, /* heard again */
	HEALTH_LAPSED /* shortest lease run out; never renewed again
			 under this epoch */
};

struct health_report {
	uint32_t worker;
	uint64_t epoch;
	uint32_t health;
	int64_t silent_ms; /* since the last renewal can have been sent */
};

/* What an attempt was seen to use; sent when it has changed. */
struct usage_report {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	int64_t millicpus;
	int64_t memory; /* bytes */
};

/* One running task of a service, for calls. */
struct target_push {
	char *service;
	char *team;
	uint64_t job;
	uint32_t task;
	uint32_t worker;
	char *address; /* of the worker */
	bool gone;
	bool idempotent;
	int64_t timeout_ms;
	int64_t slots; /* of the worker */
	int64_t connections; /* of the worker */
};

/* All targets that may take calls; the receiver drops any other. */
struct targets_push {
	GArray *ids; /* uint64_t, of proto_target_id() */
};

/*
 * How a worker's connections are divided: the receiver may hold one part in
 * division of them; 0: none. It acknowledges in its reports.
 */
struct division_push {
	uint64_t division;
};

/* One span of a trace, sent to the leader, which keeps them all. */
struct span_push {
	uint64_t high;
	uint64_t low;
	uint64_t id;
	uint64_t parent;
	int64_t start_us;
	int64_t duration_us;
	char *name;
	char *node;
	char *note;
};

/* The shape of a frame type; NULL for PING, RAFT and unknown ones. */
const struct shape *proto_shape(int type);

/* Decodes a frame that has a shape into a new struct; NULL with err. */
void *proto_open(int type, const void *data, size_t len, GError **err);
/* Frees what proto_open() gave. */
void proto_close(int type, void *msg);

/* Names a target: a task on the worker that it runs on; never 0. */
uint64_t proto_target_id(uint64_t job, uint32_t task, uint32_t worker);

/* Sends a frame that is its type number only. */
void proto_send_empty(struct link *l, enum frame_type type);

/* Encodes and sends one struct as a frame. */
void proto_send(struct link *l, enum frame_type type, const void *msg);

#endif
