#include "proto.h"

static const struct field hello_fields[] = {
	{ FIELD_U64, offsetof(struct hello, version) },
	{ FIELD_STR, offsetof(struct hello, name) },
	{ FIELD_U64, offsetof(struct hello, replica_id) },
	{ FIELD_U64, offsetof(struct hello, cell_id) },
	{ FIELD_BOOL, offsetof(struct hello, formed) },
	{ FIELD_BOOL, offsetof(struct hello, replica) },
};

static const struct field join_fields[] = {
	{ FIELD_STR, offsetof(struct join, name) },
	{ FIELD_STR, offsetof(struct join, address) },
	{ FIELD_STR, offsetof(struct join, region) },
	{ FIELD_STR, offsetof(struct join, data_center) },
	{ FIELD_U64, offsetof(struct join, incarnation) },
	{ FIELD_BOOL, offsetof(struct join, entry) },
	{ FIELD_U64, offsetof(struct join, config_version) },
	{ FIELD_U64, offsetof(struct join, connection_divisor) },
};

static const struct field joined_fields[] = {
	{ FIELD_BOOL, offsetof(struct joined, accepted) },
	{ FIELD_STR, offsetof(struct joined, leader) },
	{ FIELD_U64, offsetof(struct joined, term) },
	{ FIELD_U32, offsetof(struct joined, entry_id) },
};

static const struct field request_fields[] = {
	{ FIELD_U64, offsetof(struct request, id) },
	{ FIELD_U32, offsetof(struct request, op) },
	{ FIELD_U64, offsetof(struct request, job) },
	{ FIELD_I64, offsetof(struct request, wait_ms) },
	{ FIELD_STR, offsetof(struct request, name) },
	{ FIELD_BYTES, offsetof(struct request, body) },
	{ FIELD_STR, offsetof(struct request, trace) },
};

static const struct field reply_fields[] = {
	{ FIELD_U64, offsetof(struct reply, id) },
	{ FIELD_U32, offsetof(struct reply, status) },
	{ FIELD_U32, offsetof(struct reply, retry_after_s) },
	{ FIELD_BYTES, offsetof(struct reply, body) },
};

static const struct field report_fields[] = {
	{ FIELD_U64, offsetof(struct report, seq) },
	{ FIELD_U64, offsetof(struct report, config_version) },
	{ FIELD_U64, offsetof(struct report, connection_divisor) },
	{ FIELD_BOOL, offsetof(struct report, draining) },
};

static const struct field grant_fields[] = {
	{ FIELD_U64, offsetof(struct grant, seq) },
	{ FIELD_I64, offsetof(struct grant, grant_ms) },
};

static const struct field config_push_fields[] = {
	{ FIELD_U64, offsetof(struct config_push, version) },
	{ FIELD_STR, offsetof(struct config_push, digest) },
	{ FIELD_STR, offsetof(struct config_push, author) },
	{ FIELD_BYTES, offsetof(struct config_push, body) },
	{ FIELD_I64, offsetof(struct config_push, heartbeat_ms) },
	{ FIELD_I64, offsetof(struct config_push, suspect_ms) },
	{ FIELD_I64, offsetof(struct config_push, lease_ms) },
};

static const struct field worker_push_fields[] = {
	{ FIELD_U32, offsetof(struct worker_push, worker) },
	{ FIELD_BOOL, offsetof(struct worker_push, gone) },
	{ FIELD_STR, offsetof(struct worker_push, name) },
	{ FIELD_STR, offsetof(struct worker_push, address) },
	{ FIELD_U64, offsetof(struct worker_push, incarnation) },
	{ FIELD_U64, offsetof(struct worker_push, epoch) },
	{ FIELD_BOOL, offsetof(struct worker_push, draining) },
};

static const struct field order_fields[] = {
	{ FIELD_U32, offsetof(struct order, type) },
	{ FIELD_U32, offsetof(struct order, worker) },
	{ FIELD_U64, offsetof(struct order, epoch) },
	{ FIELD_U64, offsetof(struct order, job) },
	{ FIELD_U32, offsetof(struct order, task) },
	{ FIELD_U32, offsetof(struct order, attempt) },
	{ FIELD_I64, offsetof(struct order, lease_ms) },
	{ FIELD_STR, offsetof(struct order, trace) },
};

static const struct field order_result_fields[] = {
	{ FIELD_U32, offsetof(struct order_result, type) },
	{ FIELD_U32, offsetof(struct order_result, outcome) },
	{ FIELD_U32, offsetof(struct order_result, worker) },
	{ FIELD_U64, offsetof(struct order_result, job) },
	{ FIELD_U32, offsetof(struct order_result, task) },
	{ FIELD_U32, offsetof(struct order_result, attempt) },
};

static const struct field health_report_fields[] = {
	{ FIELD_U32, offsetof(struct health_report, worker) },
	{ FIELD_U64, offsetof(struct health_report, epoch) },
	{ FIELD_U32, offsetof(struct health_report, health) },
	{ FIELD_I64, offsetof(struct health_report, silent_ms) },
};

static const struct field target_push_fields[] = {
	{ FIELD_STR, offsetof(struct target_push, service) },
	{ FIELD_STR, offsetof(struct target_push, team) },
	{ FIELD_U64, offsetof(struct target_push, job) },
	{ FIELD_U32, offsetof(struct target_push, task) },
	{ FIELD_U32, offsetof(struct target_push, worker) },
	{ FIELD_STR, offsetof(struct target_push, address) },
	{ FIELD_BOOL, offsetof(struct target_push, gone) },
	{ FIELD_BOOL, offsetof(struct target_push, idempotent) },
	{ FIELD_I64, offsetof(struct target_push, timeout_ms) },
	{ FIELD_I64, offsetof(struct target_push, slots) },
	{ FIELD_I64, offsetof(struct target_push, connections) },
};

static const struct field span_push_fields[] = {
	{ FIELD_U64, offsetof(struct span_push, high) },
	{ FIELD_U64, offsetof(struct span_push, low) },
	{ FIELD_U64, offsetof(struct span_push, id) },
	{ FIELD_U64, offsetof(struct span_push, parent) },
	{ FIELD_I64, offsetof(struct span_push, start_us) },
	{ FIELD_I64, offsetof(struct span_push, duration_us) },
	{ FIELD_STR, offsetof(struct span_push, name) },
	{ FIELD_STR, offsetof(struct span_push, node) },
	{ FIELD_STR, offsetof(struct span_push, note) },
};

static const struct field divisor_push_fields[] = {
	{ FIELD_U64, offsetof(struct divisor_push, connection_divisor) },
};

static const struct field targets_push_fields[] = {
	{ FIELD_U64S, offsetof(struct targets_push, ids) },
};

static const struct field start_template_push_fields[] = {
	{ FIELD_U64, offsetof(struct start_template_push, job) },
	{ FIELD_BOOL, offsetof(struct start_template_push, gone) },
	{ FIELD_STR, offsetof(struct start_template_push, name) },
	{ FIELD_I64, offsetof(struct start_template_push, millicpus) },
	{ FIELD_I64, offsetof(struct start_template_push, memory) },
	{ FIELD_I64, offsetof(struct start_template_push, accelerators) },
	{ FIELD_BYTES, offsetof(struct start_template_push, payload) },
};

static const struct field usage_report_fields[] = {
	{ FIELD_U64, offsetof(struct usage_report, job) },
	{ FIELD_U32, offsetof(struct usage_report, task) },
	{ FIELD_U32, offsetof(struct usage_report, attempt) },
	{ FIELD_I64, offsetof(struct usage_report, millicpus) },
	{ FIELD_I64, offsetof(struct usage_report, memory) },
};

/* The shape of struct s, from the table s_fields. */
#define SHAPE(s)                                                           \
	{                                                                  \
#s, s##_fields, G_N_ELEMENTS(s##_fields), sizeof(struct s) \
	}

static const struct shape shapes[FRAME_COUNT] = {
	[FRAME_HELLO] = SHAPE(hello),
	[FRAME_JOIN] = SHAPE(join),
	[FRAME_JOINED] = SHAPE(joined),
	[FRAME_REQUEST] = SHAPE(request),
	[FRAME_REPLY] = SHAPE(reply),
	[FRAME_REPORT] = SHAPE(report),
	[FRAME_GRANT] = SHAPE(grant),
	[FRAME_CONFIG] = SHAPE(config_push),
	[FRAME_WORKER] = SHAPE(worker_push),
	[FRAME_ORDER] = SHAPE(order),
	[FRAME_ORDER_RESULT] = SHAPE(order_result),
	[FRAME_WORKER_HEALTH] = SHAPE(health_report),
	[FRAME_TARGET] = SHAPE(target_push),
	[FRAME_SPAN] = SHAPE(span_push),
	[FRAME_DIVISOR] = SHAPE(divisor_push),
	[FRAME_TARGETS] = SHAPE(targets_push),
	[FRAME_START_TEMPLATE] = SHAPE(start_template_push),
	[FRAME_USAGE] = SHAPE(usage_report),
};

const struct shape *
proto_shape(int type)
{
	if (type < 0 || type >= FRAME_COUNT || shapes[type].count == 0)
		return NULL;
	return &shapes[type];
}

void *
proto_decode(int type, const void *data, size_t len, GError **err)
{
	const struct shape *shape = proto_shape(type);
	void *msg = g_malloc0(shape->size);

	if (shape_decode(data, len, shape, msg, err))
		return msg;
	g_free(msg);
	return NULL;
}

void
proto_free(int type, void *msg)
{
	shape_clear_message(proto_shape(type), msg);
	g_free(msg);
}

uint64_t
proto_target_id(uint64_t job, uint32_t task, uint32_t worker)
{
	uint64_t parts[] = { job, task, worker };

	return hash64(parts, sizeof(parts)) | 1;
}

void
proto_send_empty(struct link *l, enum frame_type type)
{
	uint8_t byte = (uint8_t)type;

	link_send(l, &byte, sizeof(byte));
}

void
proto_send(struct link *l, enum frame_type type, const void *msg)
{
	GBytes *frame = shape_encode(type, &shapes[type], msg);

	link_send_bytes(l, frame);
	g_bytes_unref(frame);
}
