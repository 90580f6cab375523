/*
 * Bytes from a peer or from the log through every decoder. The first byte
 * says which; what decodes must encode to bytes that decode and encode to the
 * same again.
 */
#include <stdlib.h>

#include "cell.h"
#include "fuzz.h"
#include "proto.h"
#include "raft.h"

static GBytes *
raft_again(const void *data, size_t len)
{
	struct raft_msg *m = raft_msg_decode(data, len, NULL);
	GBytes *b = m == NULL ? NULL : raft_msg_encode(m);

	if (m != NULL)
		raft_msg_free(m);
	return b;
}

static GBytes *
members_again(const void *data, size_t len)
{
	struct raft_members m = { 0 };

	return raft_members_decode(data, len, &m) ? raft_members_encode(&m)
						  : NULL;
}

static GBytes *
cmd_again(const void *data, size_t len)
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
frame_again(const void *data, size_t len)
{
	int type = shape_type(data, len);
	const struct shape *shape = type < 0 ? NULL : proto_shape(type);
	GBytes *b = NULL;
	void *msg;

	if (shape == NULL)
		return NULL;
	msg = g_malloc0(shape->size);
	if (shape_decode(data, len, shape, msg, NULL)) {
		b = shape_encode(type, shape, msg);
		shape_clear(shape, msg);
	}
	g_free(msg);
	return b;
}

/* A state from bytes: it holds its invariants and is written the same. */
static GBytes *
snapshot_again(const void *data, size_t len)
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

static GBytes *(*const again[])(const void *, size_t) = {
	frame_again,
	raft_again,
	cmd_again,
	members_again,
	snapshot_again,
};

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *(*fn)(const void *, size_t);
	GBytes *one;
	GBytes *two;

	if (size == 0)
		return 0;
	fn = again[data[0] % G_N_ELEMENTS(again)];
	one = fn(data + 1, size - 1);
	if (one == NULL)
		return 0;
	two = fn(g_bytes_get_data(one, NULL), g_bytes_get_size(one));
	g_assert_nonnull(two);
	g_assert_true(g_bytes_equal(one, two));
	g_bytes_unref(one);
	g_bytes_unref(two);
	return 0;
}
