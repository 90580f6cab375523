/*
 * Applies commands to a cell, each with a two-byte length before it. After any
 * input the invariants must hold and a snapshot must restore the same state.
 */
#include "cell.h"
#include "fuzz.h"

#define LEN_BYTES 2

static void
check_state(const struct cell *c)
{
	struct cell *copy = cell_new();
	GBytes *one = cell_snapshot(c);
	GBytes *two;
	GError *err = NULL;

	(void)cell_check(c, &err);
	g_assert_no_error(err);
	(void)cell_restore(copy, one, &err);
	g_assert_no_error(err);
	two = cell_snapshot(copy);
	g_assert_true(g_bytes_equal(one, two));
	g_bytes_unref(one);
	g_bytes_unref(two);
	cell_free(copy);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cell *c = cell_new();

	while (size > LEN_BYTES) {
		struct cell_result result = { 0 };
		size_t len = (size_t)data[0] << 8 | data[1];

		data += LEN_BYTES;
		size -= LEN_BYTES;
		len = MIN(len, size);
		if (cell_apply(c, data, len, &result, NULL))
			cell_result_clear(&result);
		data += len;
		size -= len;
	}
	check_state(c);
	cell_free(c);
	return 0;
}
