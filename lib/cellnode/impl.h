/* Shared by the files of the cellnode library. */
#ifndef CELLNODE_IMPL_H
#define CELLNODE_IMPL_H

#include <string.h>

#include "cellnode.h"
#include "httpd.h"
#include "logs.h"
#include "mesh.h"
#include "replica.h"

enum frame_type {
	FRAME_ASK = MESH_FRAME_FIRST,
	FRAME_ANSWER,
	FRAME_CONSULT, /* ask the policy service and tell us */
	FRAME_PERMITS,
	FRAME_FOUND /* found the cell */
};

struct consult {
	uint64_t query;
	uint64_t job;
	uint32_t round;
	uint32_t step;
	char *workers; /* names, by newlines */
};

struct permits {
	uint64_t query;
	bool answered;
	int64_t valid_ms;
	char *rows; /* worker, tab, permit, newline */
};

struct adviser_client;

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
	struct adviser_client *adviser;
	const struct agent_ops *agent;
	struct event *timer;
	GHashTable *processes; /* accepted link to its serial */
	uint64_t last_process;
	int64_t started_ms;
	bool found_sent;
	bool founded; /* this process has founded the cell */
	bool failed; /* storage has failed: no replica until it is reopened */
	int64_t reopen_ms; /* when to try that */
	char *data_dir;
	uint64_t snapshot_entries;
	bool draining;
	int64_t hand_over_ms; /* when to hand leadership over next */
};

/* frames.c */
const struct shape *frame_shape(enum frame_type type);
void frame_send(struct mesh_link *l, enum frame_type type, const void *msg);

/* advise.c */
struct adviser_client *adviser_new(struct event_base *base, const char *address,
    const struct agent_ops *agent);
void adviser_free(struct adviser_client *c);
/* Consults the policy service; permits are NULL if there was no answer. */
void adviser_ask(struct adviser_client *c, const struct agent_query *q,
    void (*fn)(void *arg, uint64_t query, const struct agent_permits *permits),
    void *arg, uint64_t query);

#endif
