#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include "wire.h"

/* Has a member of each field type. */
struct sample {
	uint64_t a;
	uint32_t b;
	int64_t c;
	bool d;
	char *e;
	GBytes *f;
	GArray *g;
};

static const struct field sample_fields[] = {
	{ FIELD_U64, offsetof(struct sample, a) },
	{ FIELD_U32, offsetof(struct sample, b) },
	{ FIELD_I64, offsetof(struct sample, c) },
	{ FIELD_BOOL, offsetof(struct sample, d) },
	{ FIELD_STR, offsetof(struct sample, e) },
	{ FIELD_BYTES, offsetof(struct sample, f) },
	{ FIELD_U64S, offsetof(struct sample, g) },
};

static const struct shape sample_shape = { "sample", sample_fields,
	G_N_ELEMENTS(sample_fields), sizeof(struct sample) };

static GBytes *
encode_sample(void)
{
	uint64_t values[] = { 1, UINT64_MAX };
	struct sample in = { .a = UINT64_MAX,
		.b = 7,
		.c = -5,
		.d = true,
		.e = "text",
		.f = g_bytes_new_static("\0x", 2),
		.g = g_array_new(FALSE, FALSE, sizeof(uint64_t)) };
	GBytes *frame;

	g_array_append_vals(in.g, values, 2);
	frame = shape_encode(9, &sample_shape, &in);
	g_bytes_unref(in.f);
	g_array_unref(in.g);
	return frame;
}

static void
test_shape(void)
{
	GBytes *frame = encode_sample();
	size_t len;
	const void *data = g_bytes_get_data(frame, &len);
	struct sample out;
	GError *err = NULL;

	g_assert_cmpint(shape_frame_type(data, len), ==, 9);
	g_assert_true(shape_decode(data, len, &sample_shape, &out, &err));
	g_assert_no_error(err);
	g_assert_cmpuint(out.a, ==, UINT64_MAX);
	g_assert_cmpuint(out.b, ==, 7);
	g_assert_cmpint(out.c, ==, -5);
	g_assert_true(out.d);
	g_assert_cmpstr(out.e, ==, "text");
	g_assert_cmpuint(g_bytes_get_size(out.f), ==, 2);
	g_assert_cmpuint(g_array_index(out.g, uint64_t, 1), ==, UINT64_MAX);
	shape_clear_message(&sample_shape, &out);
	g_bytes_unref(frame);
}

/* NULL strings decode as "", NULL bytes and arrays as NULL. */
static void
test_shape_empty(void)
{
	struct sample in = { 0 };
	GBytes *frame = shape_encode(1, &sample_shape, &in);
	size_t len;
	const void *data = g_bytes_get_data(frame, &len);
	struct sample out;

	g_assert_true(shape_decode(data, len, &sample_shape, &out, NULL));
	g_assert_cmpstr(out.e, ==, "");
	g_assert_null(out.f);
	g_assert_null(out.g);
	shape_clear_message(&sample_shape, &out);
	g_bytes_unref(frame);
}

/*
 * Every truncated frame is rejected. A frame with one byte changed is either
 * rejected or decoded; sanitizer builds find invalid memory accesses.
 */
static void
test_shape_malformed(void)
{
	GBytes *frame = encode_sample();
	size_t len;
	const uint8_t *data = g_bytes_get_data(frame, &len);
	uint8_t *copy = g_memdup2(data, len);
	struct sample out;

	for (size_t cut = 0; cut < len; cut++)
		g_assert_false(
		    shape_decode(data, cut, &sample_shape, &out, NULL));
	for (size_t i = 1; i < len; i++) {
		for (int v = 0; v < 256; v++) {
			copy[i] = (uint8_t)v;
			if (shape_decode(copy, len, &sample_shape, &out, NULL))
				shape_clear_message(&sample_shape, &out);
		}
		copy[i] = data[i];
	}
	g_free(copy);
	g_bytes_unref(frame);
}

/* What the two ends of a connection have received. */
struct link_pair {
	struct event_base *base;
	int frames;
	size_t last_len;
	bool down;
};

static void
on_frame(void *arg, struct link *l, const void *data, size_t len)
{
	struct link_pair *p = arg;

	p->frames++;
	p->last_len = len;
	if (p->frames == 2)
		event_base_loopbreak(p->base);
}

static void
on_down(void *arg, struct link *l, const char *why)
{
	struct link_pair *p = arg;

	p->down = true;
	event_base_loopbreak(p->base);
}

static const struct link_ops pair_ops = { .frame = on_frame, .down = on_down };

/*
 * A frame larger than one read arrives complete; a header that declares more
 * than FRAME_MAX ends the connection.
 */
static void
test_link(void)
{
	struct link_pair p = { .base = event_base_new() };
	uint8_t too_long[] = { 0xff, 0xff, 0xff, 0xff };
	char *data = g_malloc0(100000);
	struct link *a;
	int fd[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fd), ==, 0);
	a = link_accept(p.base, fd[0], &pair_ops, &p);
	link_accept(p.base, fd[1], &pair_ops, &p);
	link_send(a, "x", 1);
	link_send(a, data, 100000);
	event_base_dispatch(p.base);
	g_assert_cmpint(p.frames, ==, 2);
	g_assert_cmpuint(p.last_len, ==, 100000);
	g_assert_cmpint(
	    write(fd[0], too_long, sizeof(too_long)), ==, sizeof(too_long));
	event_base_dispatch(p.base);
	g_assert_true(p.down);
	link_close(a);
	event_base_free(p.base);
	g_free(data);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/shape", test_shape);
	g_test_add_func("/wire/shape-empty", test_shape_empty);
	g_test_add_func("/wire/shape-malformed", test_shape_malformed);
	g_test_add_func("/wire/link", test_link);
	return g_test_run();
}
