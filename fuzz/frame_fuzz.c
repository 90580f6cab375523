/*
 * Fuzzes the decoders of bytes from peers and from the log. The first byte
 * selects the decoder. What decodes must encode to bytes that decode again and
 * then encode to the same bytes.
 */
#include <stdlib.h>

#include "cell.h"
#include "fuzz.h"
#include "proto.h"
#include "raft.h"

static GBytes *
reencode_raft(const void *data, size_t len)
{
	struct raft_msg *m = raft_msg_decode(data, len, NULL);
	GBytes *b = m == NULL ? NULL : raft_msg_encode(m);

	if (m != NULL)
		raft_msg_free(m);
	return b;
}

static GBytes *
reencode_members(const void *data, size_t len)
{
	struct raft_members m = { 0 };

	return raft_members_decode(data, len, &m) ? raft_members_encode(&m)
						  : NULL;
}

static GBytes *
reencode_cmd(const void *data, size_t len)
{
	struct cell_cmd cmd = { 0 };
	GBytes *b;

	if (!cell_cmd_decode(data, len, &cmd, NULL))
		return NULL;
	b = cell_cmd_encode(&cmd);
	cell_cmd_clear(&cmd);
	return b;
}

static GBytes *
reencode_frame(const void *data, size_t len)
{
	int type = shape_frame_type(data, len);
	const struct shape *shape = type < 0 ? NULL : proto_shape(type);
	GBytes *b = NULL;
	void *msg;

	if (shape == NULL)
		return NULL;
	msg = g_malloc0(shape->size);
	if (shape_decode(data, len, shape, msg, NULL)) {
		b = shape_encode(type, shape, msg);
		shape_clear_message(shape, msg);
	}
	g_free(msg);
	return b;
}

/* Restores a snapshot, which checks its invariants, and writes it again. */
static GBytes *
reencode_snapshot(const void *data, size_t len)
{
	struct cell *c = cell_new();
	GBytes *in = g_bytes_new_static(data, len);
	GBytes *b = NULL;

	if (cell_restore(c, in, NULL))
		b = cell_snapshot(c);
	g_bytes_unref(in);
	cell_free(c);
	return b;
}

static GBytes *(*const reencoders[])(const void *, size_t) = {
	reencode_frame,
	reencode_raft,
	reencode_cmd,
	reencode_members,
	reencode_snapshot,
};

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *(*fn)(const void *, size_t);
	GBytes *first;
	GBytes *second;

	if (size == 0)
		return 0;
	fn = reencoders[data[0] % G_N_ELEMENTS(reencoders)];
	first = fn(data + 1, size - 1);
	if (first == NULL)
		return 0;
	second = fn(g_bytes_get_data(first, NULL), g_bytes_get_size(first));
	g_assert_nonnull(second);
	g_assert_true(g_bytes_equal(first, second));
	g_bytes_unref(first);
	g_bytes_unref(second);
	return 0;
}
