#include <stdlib.h>
#include <string.h>

#include "codec.h"

#define DEPTH_MAX 16 /* arrays within arrays */

/* What a msgpack lead byte announces. */
struct item {
	size_t head; /* bytes of the lead and its length field */
	size_t body; /* bytes that follow */
	size_t count; /* elements, if an array */
	bool array;
};

static size_t
big_endian(const uint8_t *p, size_t len)
{
	size_t v = 0;

	for (size_t i = 0; i < len; i++)
		v = v << 8 | p[i];
	return v;
}

/* Reads a length field of the given width; false if data is too short. */
static bool
wide_item(const uint8_t *p, size_t len, size_t width, struct item *it)
{
	if (len < 1 + width)
		return false;
	it->head = 1 + width;
	it->body = big_endian(p + 1, width);
	return true;
}

/* Only the types that this project writes are known. */
static bool
read_item(const uint8_t *p, size_t len, struct item *it)
{
	uint8_t b = p[0];

	*it = (struct item){ .head = 1 };
	if (b <= 0x7f || b >= 0xe0 || b == 0xc0 || b == 0xc2 || b == 0xc3)
		return true;
	if (b >= 0xa0 && b <= 0xbf) {
		it->body = b & 0x1f;
		return true;
	}
	if (b >= 0x90 && b <= 0x9f) {
		it->array = true;
		it->count = b & 0x0f;
		return true;
	}
	if (b >= 0xc4 && b <= 0xc6)
		return wide_item(p, len, (size_t)1 << (b - 0xc4), it);
	if (b >= 0xd9 && b <= 0xdb)
		return wide_item(p, len, (size_t)1 << (b - 0xd9), it);
	if (b >= 0xcc && b <= 0xd3) {
		it->body = (size_t)1 << ((b - 0xcc) & 3);
		return true;
	}
	if (b != 0xdc && b != 0xdd)
		return false;
	if (!wide_item(p, len, b == 0xdc ? 2 : 4, it))
		return false;
	it->array = true;
	it->count = it->body;
	it->body = 0;
	return true;
}

/*
 * Checks lengths and depth before the library reads the data: it allocates
 * what a length field claims, however short the data is.
 */
static bool
lengths_ok(const uint8_t *p, size_t len)
{
	size_t open[DEPTH_MAX];
	int depth = 0;
	size_t off = 0;

	do {
		struct item it;

		if (off >= len || !read_item(p + off, len - off, &it) ||
		    it.body > len - off - it.head ||
		    it.count > len - off - it.head)
			return false;
		off += it.head + it.body;
		if (depth > 0)
			open[depth - 1]--;
		if (it.array) {
			if (depth == DEPTH_MAX)
				return false;
			open[depth++] = it.count;
		}
		while (depth > 0 && open[depth - 1] == 0)
			depth--;
	} while (depth > 0);
	return off == len;
}

bool
codec_open(msgpack_unpacked *u, const void *data, size_t len, struct reader *r)
{
	size_t off = 0;

	msgpack_unpacked_init(u);
	*r = (struct reader){ .ok = false };
	if (len == 0 || !lengths_ok(data, len))
		return false;
	if (msgpack_unpack_next(u, data, len, &off) != MSGPACK_UNPACK_SUCCESS)
		return false;
	if (u->data.type != MSGPACK_OBJECT_ARRAY)
		return false;
	r->p = u->data.via.array.ptr;
	r->left = u->data.via.array.size;
	r->ok = true;
	return true;
}

void
codec_close(msgpack_unpacked *u)
{
	msgpack_unpacked_destroy(u);
}

bool
codec_done(const struct reader *r)
{
	return r->ok && r->left == 0;
}

/* The next element if it has the type, else NULL and the reader fails. */
static const msgpack_object *
next(struct reader *r, msgpack_object_type type)
{
	if (!r->ok || r->left == 0 || r->p->type != type) {
		r->ok = false;
		return NULL;
	}
	r->left--;
	return r->p++;
}

static bool
next_is_nil(struct reader *r)
{
	if (!r->ok || r->left == 0 || r->p->type != MSGPACK_OBJECT_NIL)
		return false;
	r->left--;
	r->p++;
	return true;
}

uint64_t
get_u64(struct reader *r)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o == NULL ? 0 : o->via.u64;
}

uint64_t
get_below(struct reader *r, uint64_t below)
{
	uint64_t v = get_u64(r);

	if (v < below)
		return v;
	r->ok = false;
	return 0;
}

int64_t
get_i64(struct reader *r)
{
	const msgpack_object *o;

	if (r->ok && r->left > 0 &&
	    r->p->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		o = next(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);
		return o->via.i64;
	}
	return (int64_t)get_below(r, (uint64_t)INT64_MAX + 1);
}

int64_t
get_amount(struct reader *r)
{
	return (int64_t)get_below(r, CODEC_AMOUNT_MAX + 1);
}

bool
get_bool(struct reader *r)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BOOLEAN);

	return o != NULL && o->via.boolean;
}

char *
get_str(struct reader *r, size_t max)
{
	const msgpack_object *o;

	if (next_is_nil(r))
		return NULL;
	o = next(r, MSGPACK_OBJECT_STR);
	if (o == NULL)
		return NULL;
	/* The library gives no pointer with an empty string. */
	if (o->via.str.size == 0)
		return g_strdup("");
	if (o->via.str.size > max ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		r->ok = false;
		return NULL;
	}
	return g_strndup(o->via.str.ptr, o->via.str.size);
}

GBytes *
get_bytes(struct reader *r, size_t max)
{
	const msgpack_object *o;

	if (next_is_nil(r))
		return NULL;
	o = next(r, MSGPACK_OBJECT_BIN);
	if (o == NULL)
		return NULL;
	if (o->via.bin.size > max) {
		r->ok = false;
		return NULL;
	}
	return g_bytes_new(o->via.bin.ptr, o->via.bin.size);
}

void
get_raw(struct reader *r, uint8_t *to, size_t len)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BIN);

	if (o == NULL)
		return;
	if (o->via.bin.size != len) {
		r->ok = false;
		return;
	}
	memcpy(to, o->via.bin.ptr, len);
}

struct reader
get_array(struct reader *r)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_ARRAY);

	if (o == NULL)
		return (struct reader){ .ok = false };
	return (struct reader){
		.p = o->via.array.ptr, .left = o->via.array.size, .ok = true
	};
}

void
get_resources(struct reader *r, struct resources *to)
{
	to->millicpus = get_amount(r);
	to->memory = get_amount(r);
	to->accelerators = get_amount(r);
}

void
put_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

void
put_str(msgpack_packer *pk, const char *s)
{
	if (s == NULL) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_str_with_body(pk, s, strlen(s));
}

void
put_raw(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin_with_body(pk, data, len);
}

void
put_bytes(msgpack_packer *pk, GBytes *bytes)
{
	gsize len;
	const void *data;

	if (bytes == NULL) {
		msgpack_pack_nil(pk);
		return;
	}
	data = g_bytes_get_data(bytes, &len);
	put_raw(pk, data == NULL ? "" : data, len);
}

void
put_resources(msgpack_packer *pk, const struct resources *r)
{
	msgpack_pack_int64(pk, r->millicpus);
	msgpack_pack_int64(pk, r->memory);
	msgpack_pack_int64(pk, r->accelerators);
}

GBytes *
codec_take(msgpack_sbuffer *buf)
{
	size_t len = buf->size;
	char *data = msgpack_sbuffer_release(buf);

	return g_bytes_new_with_free_func(data, len, free, data);
}
