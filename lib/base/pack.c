#include <stdint.h>

#include "pack.h"

struct cursor {
	const uint8_t *p;
	size_t left; /* bytes */
};

static bool
skip(struct cursor *c, uint64_t n)
{
	if (n > c->left)
		return false;
	c->p += n;
	c->left -= n;
	return true;
}

/* Reads a big-endian length of 1, 2 or 4 bytes. */
static bool
read_length(struct cursor *c, int bytes, uint64_t *value)
{
	const uint8_t *p = c->p;

	if (!skip(c, (uint64_t)bytes))
		return false;
	*value = 0;
	for (int i = 0; i < bytes; i++)
		*value = *value << 8 | p[i];
	return true;
}

/*
 * Skips a string, binary or extension: a length of the given number of
 * bytes, extra bytes (the type of an extension) and the content.
 */
static bool
skip_sized(struct cursor *c, int bytes, uint64_t extra)
{
	uint64_t n;

	return read_length(c, bytes, &n) && skip(c, n + extra);
}

/*
 * Enters an array or map of n values. Each value takes at least one byte, so
 * n can't exceed the bytes left.
 */
static bool
enter_container(struct cursor *c, uint64_t n, uint64_t *todo, int *depth)
{
	if (n > c->left || *depth + 1 >= PACK_DEPTH_MAX)
		return false;
	todo[++*depth] = n;
	return true;
}

/* Enters an array (values_per_entry 1) or a map (2) with a length field. */
static bool
enter_sized(struct cursor *c, int bytes, int values_per_entry, uint64_t *todo,
    int *depth)
{
	uint64_t n;

	return read_length(c, bytes, &n) &&
	    enter_container(c, n * (uint64_t)values_per_entry, todo, depth);
}

/* Skips one scalar value, or enters an array or map after its header. */
static bool
read_value(struct cursor *c, uint64_t *todo, int *depth)
{
	uint8_t tag;

	if (c->left == 0)
		return false;
	tag = *c->p;
	skip(c, 1);
	if (tag <= 0x7f || tag >= 0xe0) /* small integer */
		return true;
	if (tag <= 0x8f) /* small map */
		return enter_container(
		    c, 2 * (uint64_t)(tag & 0x0f), todo, depth);
	if (tag <= 0x9f) /* small array */
		return enter_container(c, tag & 0x0f, todo, depth);
	if (tag <= 0xbf) /* short string */
		return skip(c, tag & 0x1f);
	switch (tag) {
	case 0xc0: /* nil */
	case 0xc2: /* false */
	case 0xc3: /* true */
		return true;
	case 0xc4: /* binary */
	case 0xd9: /* string */
		return skip_sized(c, 1, 0);
	case 0xc5:
	case 0xda:
		return skip_sized(c, 2, 0);
	case 0xc6:
	case 0xdb:
		return skip_sized(c, 4, 0);
	case 0xc7: /* extension */
		return skip_sized(c, 1, 1);
	case 0xc8:
		return skip_sized(c, 2, 1);
	case 0xc9:
		return skip_sized(c, 4, 1);
	case 0xca: /* float */
		return skip(c, 4);
	case 0xcb:
		return skip(c, 8);
	case 0xcc: /* unsigned, then signed integers */
	case 0xcd:
	case 0xce:
	case 0xcf:
		return skip(c, UINT64_C(1) << (tag - 0xcc));
	case 0xd0:
	case 0xd1:
	case 0xd2:
	case 0xd3:
		return skip(c, UINT64_C(1) << (tag - 0xd0));
	case 0xd4: /* fixed extensions */
	case 0xd5:
	case 0xd6:
	case 0xd7:
	case 0xd8:
		return skip(c, 1 + (UINT64_C(1) << (tag - 0xd4)));
	case 0xdc: /* array */
		return enter_sized(c, 2, 1, todo, depth);
	case 0xdd:
		return enter_sized(c, 4, 1, todo, depth);
	case 0xde: /* map */
		return enter_sized(c, 2, 2, todo, depth);
	case 0xdf:
		return enter_sized(c, 4, 2, todo, depth);
	default:
		return false;
	}
}

bool
pack_valid(const void *data, size_t len)
{
	struct cursor c = { data, len };
	uint64_t todo[PACK_DEPTH_MAX] = { 1 }; /* values left per level */
	int depth = 0;

	for (;;) {
		while (depth >= 0 && todo[depth] == 0)
			depth--;
		if (depth < 0)
			return c.left == 0;
		todo[depth]--;
		if (!read_value(&c, todo, &depth))
			return false;
	}
}
