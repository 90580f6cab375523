/* Types and functions shared by the files of the cellnode library. */
#ifndef CELLNODE_IMPL_H
#define CELLNODE_IMPL_H

#include <string.h>

#include "cellnode.h"
#include "httpd.h"
#include "logs.h"
#include "mesh.h"
#include "replica.h"

enum frame_type {
	FRAME_REQUEST = MESH_FRAME_FIRST,
	FRAME_ANSWER,
	FRAME_POLICY_QUERY, /* from the leader: query the policy service */
	FRAME_POLICY_PERMITS, /* the answer to FRAME_POLICY_QUERY */
	FRAME_BOOTSTRAP, /* to one replica: form the new cell */
	FRAME_REQUEST_WITH_KEY /* a FRAME_REQUEST with a credential */
};

struct policy_query {
	uint64_t query;
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	char *workers; /* names, separated by newlines */
};

struct policy_permits {
	uint64_t query;
	bool answered; /* false: the policy service did not answer */
	int64_t valid_ms;
	char *rows; /* one line for each: worker, tab, permit */
};

struct policy_client;

struct cellnode {
	struct event_base *base;
	char *name;
	char *address;
	bool first_start;
	GPtrArray *seeds;
	struct mesh *mesh;
	struct replica *replica; /* NULL: no disk */
	struct flow *flow;
	struct dispatch *dispatch;
	struct gate *gate;
	struct policy_client *policy;
	const struct agent_ops *agent;
	struct event *timer;
	GHashTable *processes; /* accepted link to its number, from 1 */
	uint64_t last_process_number;
	int64_t started_ms;
	bool bootstrap_done; /* the cell is formed here, ordered, or exists */
	bool bootstrapped; /* this process formed the cell */
	bool storage_failed; /* no replica until it is reopened */
	int64_t next_reopen_ms; /* time of the next attempt */
	char *data_dir;
	uint64_t snapshot_entries;
	int disk_losses;
	bool draining;
	int64_t next_transfer_ms; /* of leadership, while draining */
};

/* frames.c */
const struct shape *frame_shape(enum frame_type type);
void frame_send(struct mesh_link *l, enum frame_type type, const void *msg);

/* policy.c */
/* Without an address every query fails at once. */
struct policy_client *policy_client_new(struct event_base *base,
    const char *address, const struct agent_ops *agent);
void policy_client_free(struct policy_client *c);
/*
 * Queries the policy service and calls fn with the given query number. permits
 * is NULL if there was no valid answer.
 */
void policy_client_query(struct policy_client *c, const struct agent_query *q,
    void (*fn)(void *arg, uint64_t query, const struct agent_permits *permits),
    void *arg, uint64_t query);

#endif
