#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "codec.h"
#include "pack.h"

bool
codec_open(msgpack_unpacked *u, const void *data, size_t len, struct reader *r)
{
	size_t off = 0;

	msgpack_unpacked_init(u);
	*r = (struct reader){ .ok = false };
	if (!pack_valid(data, len))
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

/* Returns the next element; NULL, with r->ok cleared, if not of type. */
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

bool
codec_next_is_array(const struct reader *r)
{
	return r->ok && r->left > 0 && r->p->type == MSGPACK_OBJECT_ARRAY;
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
get_below(struct reader *r, uint64_t limit)
{
	uint64_t v = get_u64(r);

	if (v < limit)
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

double
get_double(struct reader *r)
{
	if (r->ok && r->left > 0 &&
	    (r->p->type == MSGPACK_OBJECT_FLOAT32 ||
		r->p->type == MSGPACK_OBJECT_FLOAT64)) {
		double v = r->p->via.f64;

		r->left--;
		r->p++;
		return v;
	}
	return (double)get_i64(r);
}

bool
get_bool(struct reader *r)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BOOLEAN);

	return o != NULL && o->via.boolean;
}

char *
get_str(struct reader *r, size_t max_len)
{
	const msgpack_object *o;

	if (next_is_nil(r))
		return NULL;
	o = next(r, MSGPACK_OBJECT_STR);
	if (o == NULL)
		return NULL;
	/* msgpack-c sets no pointer for an empty string. */
	if (o->via.str.size == 0)
		return g_strdup("");
	if (o->via.str.size > max_len ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		r->ok = false;
		return NULL;
	}
	return g_strndup(o->via.str.ptr, o->via.str.size);
}

GPtrArray *
get_strs(struct reader *r, size_t max_len, uint32_t max_count)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	struct reader in = get_array(r);

	in.ok = in.ok && in.left <= max_count;
	while (in.ok && in.left > 0) {
		char *s = get_str(&in, max_len);

		in.ok = in.ok && s != NULL;
		g_ptr_array_add(out, s);
	}
	r->ok = r->ok && in.ok;
	return out;
}

GBytes *
get_bytes(struct reader *r, size_t max_len)
{
	const msgpack_object *o;

	if (next_is_nil(r))
		return NULL;
	o = next(r, MSGPACK_OBJECT_BIN);
	if (o == NULL)
		return NULL;
	if (o->via.bin.size > max_len) {
		r->ok = false;
		return NULL;
	}
	return g_bytes_new(o->via.bin.ptr, o->via.bin.size);
}

void
get_raw(struct reader *r, uint8_t *out, size_t len)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BIN);

	if (o == NULL)
		return;
	if (o->via.bin.size != len) {
		r->ok = false;
		return;
	}
	memcpy(out, o->via.bin.ptr, len);
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
get_resources(struct reader *r, struct resources *out)
{
	out->millicpus = get_amount(r);
	out->memory = get_amount(r);
	out->accelerators = get_amount(r);
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
put_strs(msgpack_packer *pk, const GPtrArray *strs)
{
	guint n = strs == NULL ? 0 : strs->len;

	msgpack_pack_array(pk, n);
	for (guint i = 0; i < n; i++)
		put_str(pk, strs->pdata[i]);
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
codec_take_buffer(msgpack_sbuffer *buf)
{
	size_t len = buf->size;
	char *data = msgpack_sbuffer_release(buf);

	return g_bytes_new_with_free_func(data, len, free, data);
}

#define INFLATE_FACTOR 8 /* first estimate of the content's size */

GBytes *
codec_deflate(GBytes *bytes)
{
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	uLongf out_len = compressBound(len);
	Bytef *out = g_malloc(out_len);

	/* Fails only for lack of memory or of room in out. */
	g_assert(compress(out, &out_len, data, len) == Z_OK);
	return g_bytes_new_take(g_realloc(out, out_len), out_len);
}

GBytes *
codec_inflate(const void *data, size_t len, size_t max_len)
{
	size_t size = MIN(len * INFLATE_FACTOR, max_len);

	while (size > 0) {
		uLongf out_len = size;
		Bytef *out = g_malloc(size);
		int result = uncompress(out, &out_len, data, len);

		if (result == Z_OK)
			return g_bytes_new_take(out, out_len);
		g_free(out);
		if (result != Z_BUF_ERROR || size == max_len)
			return NULL;
		size = MIN(size * 2, max_len);
	}
	return NULL;
}
