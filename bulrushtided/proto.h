/*
 * Frames between the processes of a cell. Each is a type number and a msgpack
 * array. Replicas exchange HELLO, PING and RAFT. All other frames belong to the
 * session that every process has with the leader.
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
	FRAME_DIVISOR,
	FRAME_TARGETS,
	FRAME_START_TEMPLATE,
	FRAME_USAGE,
	FRAME_COUNT
};

/* The first frame on every connection. Between replicas each of the two sends
 * it; on a session only the process that opens it does. */
struct hello {
	uint64_t version; /* PROTO_VERSION */
	char *name;
	uint64_t replica_id; /* 0: none yet, or not a replica */
	uint64_t cell_id; /* 0: not known yet */
	bool formed; /* the log has a cell entry, even if cell_id is 0 */
	bool replica;
};

/* Requests a session with the leader. */
struct join {
	char *name;
	char *address; /* of its HTTP listener */
	char *region;
	char *data_center;
	uint64_t incarnation;
	bool entry; /* serves callers and may be the home of workers */
	uint64_t config_version; /* of its current configuration */
	uint64_t connection_divisor; /* in use, see struct divisor_push */
};

struct joined {
	bool accepted; /* false: the sender is not the leader */
	char *leader; /* name of the leader, "" if unknown */
	uint64_t term;
	uint32_t entry_id; /* in the cell; 0 if the process is not an entry */
};

enum request_op {
	OP_PROPOSE, /* body: an encoded cell command */
	OP_ANNOUNCE, /* body: a CMD_WORKER command; the leader adds the home */
	OP_LEAVE, /* name: the worker to remove */
	OP_END, /* body: a CMD_END command; name: the reporting worker */
	OP_JOB, /* job, wait_ms */
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
	uint64_t id; /* chosen by the sender; repeated in the reply */
	uint32_t op;
	uint64_t job;
	int64_t wait_ms; /* longest time to wait for the job to end */
	char *name;
	GBytes *body;
	char *trace; /* traceparent; "" if none */
};

/* Status of a reply to a request that was not accepted and is to be resent. */
#define REPLY_RETRY 0

struct reply {
	uint64_t id;
	uint32_t status; /* HTTP status, or REPLY_RETRY */
	uint32_t retry_after_s;
	GBytes *body; /* JSON */
};

/* Sent to the leader by each process every REPORT_MS. */
struct report {
	uint64_t seq;
	uint64_t config_version; /* of the sender's current configuration */
	uint64_t connection_divisor; /* that the sender uses now */
	bool draining;
};

/* Allows a process to act on the state that it received from the leader. */
struct grant {
	uint64_t seq; /* of the report that it answers */
	int64_t grant_ms; /* validity, from the sending of that report */
};

struct config_push {
	uint64_t version;
	char *digest;
	char *author;
	GBytes *body; /* the JSON of GET /v1/config without "nodes" */
	int64_t heartbeat_ms;
	int64_t suspect_ms;
	int64_t lease_ms; /* the shortest of all job kinds */
};

/* The receiver is the home of a worker, or (gone) no longer is. */
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
	ORDER_RESUME, /* ends throttling */
	ORDER_REMOVE /* the attempt has ended: remove its record */
};

struct order {
	uint32_t type;
	uint32_t worker;
	uint64_t epoch;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	int64_t lease_ms; /* of the attempt */
	char *trace; /* traceparent; "" if none */
};

/*
 * The common part of a job's start orders. Sent to a home once, before its
 * first start order of the job.
 */
struct start_template_push {
	uint64_t job;
	bool gone; /* the job has ended: remove the template */
	char *name;
	int64_t millicpus;
	int64_t memory; /* bytes */
	int64_t accelerators;
	GBytes *payload;
};

enum order_outcome {
	ORDER_DONE,
	/* To a start: the attempt has not started and can't start any more. To
	 * a stop: the worker does not know the attempt. */
	ORDER_REFUSED
};

struct order_result {
	uint32_t type;
	uint32_t outcome;
	uint32_t worker;
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
};

enum worker_health {
	HEALTH_RENEW_EPOCH, /* a start order got no answer: the worker needs a
			       new epoch before the attempt can be reported
			       as never run */
	HEALTH_SILENT, /* no heartbeat for suspect_ms */
	HEALTH_RESPONSIVE, /* heartbeats again after HEALTH_SILENT */
	HEALTH_EXPIRED, /* the shortest lease has expired; it is not renewed
			  again in this epoch */
	HEALTH_UNREACHED /* answers no request, though its heartbeats arrive;
			    its lease is not renewed again in this epoch */
};

struct health_report {
	uint32_t worker;
	uint64_t epoch;
	uint32_t health;
	int64_t silent_ms; /* no renewal was sent during these last ms */
};

/* Resource usage of an attempt; sent when it has changed by over 10%. */
struct usage_report {
	uint64_t job;
	uint32_t task;
	uint32_t attempt;
	int64_t millicpus;
	int64_t memory; /* bytes */
};

/* A running task of a service, as a target of calls. */
struct target_push {
	char *service;
	char *team;
	uint64_t job;
	uint32_t task;
	uint32_t worker;
	char *address; /* of the worker */
	bool gone;
	bool idempotent;
	int64_t timeout_ms; /* of a call */
	int64_t slots; /* of the worker */
	int64_t connections; /* of the worker, for all entries */
};

/* All targets that accept calls; the receiver removes all others. */
struct targets_push {
	GArray *ids; /* uint64_t, of proto_target_id() */
};

/*
 * The receiver may use 1/connection_divisor of the connections of each worker;
 * 0: none. Its reports acknowledge the new divisor.
 */
struct divisor_push {
	uint64_t connection_divisor;
};

/* A span of a trace, sent to the leader, which stores those of all processes.
 */
struct span_push {
	uint64_t high; /* of the trace id */
	uint64_t low;
	uint64_t id;
	uint64_t parent;
	int64_t start_us;
	int64_t duration_us;
	char *name;
	char *node;
	char *note;
};

/* Returns the fields of a frame type; NULL if it has none or is unknown. */
const struct shape *proto_shape(int type);

/*
 * Decodes a frame, whose type must have a shape, into a new struct. Returns
 * NULL with err set if it is malformed.
 */
void *proto_decode(int type, const void *data, size_t len, GError **err);
/* Frees a struct of proto_decode(). */
void proto_free(int type, void *msg);

/* Returns the id of a task on the worker that runs it; never 0. */
uint64_t proto_target_id(uint64_t job, uint32_t task, uint32_t worker);

/* Sends a frame without fields. */
void proto_send_empty(struct link *l, enum frame_type type);

/* Encodes a struct as a frame and sends it. */
void proto_send(struct link *l, enum frame_type type, const void *msg);

#endif
