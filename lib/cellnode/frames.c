/* Layout of the frames between the processes of a cell. */
#include "impl.h"

#define AT(type, member, kind)                      \
	{                                           \
		kind, offsetof(struct type, member) \
	}

static const struct field request_fields[] = { AT(request, id, FIELD_U64),
	AT(request, op, FIELD_U32), AT(request, host, FIELD_STR),
	AT(request, path, FIELD_STR), AT(request, seq, FIELD_I64),
	AT(request, body, FIELD_BYTES) };

static const struct field request_with_key_fields[] = { AT(request, id,
							    FIELD_U64),
	AT(request, op, FIELD_U32), AT(request, host, FIELD_STR),
	AT(request, path, FIELD_STR), AT(request, seq, FIELD_I64),
	AT(request, body, FIELD_BYTES), AT(request, credential, FIELD_STR) };

static const struct field answer_fields[] = { AT(answer, id, FIELD_U64),
	AT(answer, result, FIELD_U32), AT(answer, retry_ms, FIELD_I64),
	AT(answer, text, FIELD_BYTES) };

static const struct field query_fields[] = { AT(policy_query, query, FIELD_U64),
	AT(policy_query, job, FIELD_U64),
	AT(policy_query, occurrence, FIELD_U32),
	AT(policy_query, step, FIELD_U32),
	AT(policy_query, workers, FIELD_STR) };

static const struct field permits_fields[] = { AT(policy_permits, query,
						   FIELD_U64),
	AT(policy_permits, answered, FIELD_BOOL),
	AT(policy_permits, valid_ms, FIELD_I64),
	AT(policy_permits, rows, FIELD_STR) };

static const struct shape shapes[] = {
	[FRAME_REQUEST - MESH_FRAME_FIRST] = { "ask", request_fields,
	    G_N_ELEMENTS(request_fields), sizeof(struct request) },
	[FRAME_ANSWER - MESH_FRAME_FIRST] = { "answer", answer_fields,
	    G_N_ELEMENTS(answer_fields), sizeof(struct answer) },
	[FRAME_POLICY_QUERY - MESH_FRAME_FIRST] = { "consult", query_fields,
	    G_N_ELEMENTS(query_fields), sizeof(struct policy_query) },
	[FRAME_POLICY_PERMITS - MESH_FRAME_FIRST] = { "permits", permits_fields,
	    G_N_ELEMENTS(permits_fields), sizeof(struct policy_permits) },
	/* Earlier versions ignore it: the request times out as unknown. */
	[FRAME_REQUEST_WITH_KEY - MESH_FRAME_FIRST] = { "keyed request",
	    request_with_key_fields, G_N_ELEMENTS(request_with_key_fields),
	    sizeof(struct request) },
};

const struct shape *
frame_shape(enum frame_type type)
{
	return &shapes[type - MESH_FRAME_FIRST];
}

void
frame_send(struct mesh_link *l, enum frame_type type, const void *msg)
{
	GBytes *frame = shape_encode((uint8_t)type, frame_shape(type), msg);

	mesh_send(l, frame);
	g_bytes_unref(frame);
}
