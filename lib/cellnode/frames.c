/* How frames between the processes of a cell are written. */
#include "impl.h"

#define AT(type, member, kind)                      \
	{                                           \
		kind, offsetof(struct type, member) \
	}

static const struct field ask_fields[] = { AT(request, id, FIELD_U64),
	AT(request, op, FIELD_U32), AT(request, host, FIELD_STR),
	AT(request, path, FIELD_STR), AT(request, seq, FIELD_I64),
	AT(request, body, FIELD_BYTES) };

static const struct field answer_fields[] = { AT(answer, id, FIELD_U64),
	AT(answer, result, FIELD_U32), AT(answer, retry_ms, FIELD_I64),
	AT(answer, text, FIELD_BYTES) };

static const struct field consult_fields[] = { AT(consult, query, FIELD_U64),
	AT(consult, job, FIELD_U64), AT(consult, round, FIELD_U32),
	AT(consult, step, FIELD_U32), AT(consult, workers, FIELD_STR) };

static const struct field permits_fields[] = { AT(permits, query, FIELD_U64),
	AT(permits, answered, FIELD_BOOL), AT(permits, valid_ms, FIELD_I64),
	AT(permits, rows, FIELD_STR) };

static const struct shape shapes[] = {
	[FRAME_ASK - MESH_FRAME_FIRST] = { "ask", ask_fields,
	    G_N_ELEMENTS(ask_fields), sizeof(struct request) },
	[FRAME_ANSWER - MESH_FRAME_FIRST] = { "answer", answer_fields,
	    G_N_ELEMENTS(answer_fields), sizeof(struct answer) },
	[FRAME_CONSULT - MESH_FRAME_FIRST] = { "consult", consult_fields,
	    G_N_ELEMENTS(consult_fields), sizeof(struct consult) },
	[FRAME_PERMITS - MESH_FRAME_FIRST] = { "permits", permits_fields,
	    G_N_ELEMENTS(permits_fields), sizeof(struct permits) },
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
