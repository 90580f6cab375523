#include <string.h>

#include <msgpack.h>

#include "pack.h"
#include "wire.h"

/* Encodes, decodes and frees one type of field. */
struct field_ops {
	void (*put)(msgpack_packer *pk, const void *in);
	bool (*get)(const msgpack_object *o, void *out);
	void (*clear)(void *out);
};

static void
put_u64(msgpack_packer *pk, const void *in)
{
	msgpack_pack_uint64(pk, *(const uint64_t *)in);
}

static bool
get_u64(const msgpack_object *o, void *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*(uint64_t *)out = o->via.u64;
	return true;
}

static void
put_u32(msgpack_packer *pk, const void *in)
{
	msgpack_pack_uint32(pk, *(const uint32_t *)in);
}

static bool
get_u32(const msgpack_object *o, void *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > UINT32_MAX)
		return false;
	*(uint32_t *)out = (uint32_t)o->via.u64;
	return true;
}

static void
put_i64(msgpack_packer *pk, const void *in)
{
	msgpack_pack_int64(pk, *(const int64_t *)in);
}

static bool
get_i64(const msgpack_object *o, void *out)
{
	bool positive = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;

	if (!positive && o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	if (positive && o->via.u64 > INT64_MAX)
		return false;
	*(int64_t *)out = o->via.i64;
	return true;
}

static void
put_bool(msgpack_packer *pk, const void *in)
{
	if (*(const bool *)in)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static bool
get_bool(const msgpack_object *o, void *out)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*(bool *)out = o->via.boolean;
	return true;
}

static void
put_str(msgpack_packer *pk, const void *in)
{
	const char *s = *(char *const *)in;
	size_t len = s == NULL ? 0 : strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s == NULL ? "" : s, len);
}

static bool
get_str(const msgpack_object *o, void *out)
{
	size_t len = o->via.str.size;
	const char *text;

	if (o->type != MSGPACK_OBJECT_STR)
		return false;
	/* msgpack-c sets no pointer for an empty string. */
	text = len == 0 ? "" : o->via.str.ptr;
	if (memchr(text, '\0', len) != NULL)
		return false;
	*(char **)out = g_strndup(text, len);
	return true;
}

static void
clear_str(void *out)
{
	g_free(*(char **)out);
}

static void
put_bytes(msgpack_packer *pk, const void *in)
{
	GBytes *b = *(GBytes *const *)in;
	size_t len = 0;
	const void *data = b == NULL ? NULL : g_bytes_get_data(b, &len);

	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, data == NULL ? "" : data, len);
}

static bool
get_bytes(const msgpack_object *o, void *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	if (o->via.bin.size > 0)
		*(GBytes **)out = g_bytes_new(o->via.bin.ptr, o->via.bin.size);
	return true;
}

static void
clear_bytes(void *out)
{
	g_bytes_unref(*(GBytes **)out);
}

static void
put_u64s(msgpack_packer *pk, const void *in)
{
	const GArray *a = *(GArray *const *)in;
	size_t len = a == NULL ? 0 : a->len;

	msgpack_pack_array(pk, len);
	for (size_t i = 0; i < len; i++)
		msgpack_pack_uint64(pk, g_array_index(a, uint64_t, i));
}

static bool
get_u64s(const msgpack_object *o, void *out)
{
	GArray *a;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	if (o->via.array.size == 0)
		return true;
	a = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	*(GArray **)out = a;
	for (size_t i = 0; i < o->via.array.size; i++) {
		uint64_t v;

		if (!get_u64(&o->via.array.ptr[i], &v))
			return false;
		g_array_append_val(a, v);
	}
	return true;
}

static void
clear_u64s(void *out)
{
	g_array_unref(*(GArray **)out);
}

static const struct field_ops ops[] = {
	[FIELD_U64] = { put_u64, get_u64, NULL },
	[FIELD_U32] = { put_u32, get_u32, NULL },
	[FIELD_I64] = { put_i64, get_i64, NULL },
	[FIELD_BOOL] = { put_bool, get_bool, NULL },
	[FIELD_STR] = { put_str, get_str, clear_str },
	[FIELD_BYTES] = { put_bytes, get_bytes, clear_bytes },
	[FIELD_U64S] = { put_u64s, get_u64s, clear_u64s },
};

GBytes *
shape_encode(uint8_t type, const struct shape *shape, const void *in)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	GBytes *bytes;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_sbuffer_write(&buf, (const char *)&type, 1);
	msgpack_pack_array(&pk, shape->count);
	for (size_t i = 0; i < shape->count; i++) {
		const struct field *f = &shape->field[i];

		ops[f->type].put(&pk, (const char *)in + f->offset);
	}
	bytes = g_bytes_new(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return bytes;
}

static bool
decode_fields(const msgpack_object *o, const struct shape *shape, void *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != shape->count)
		return false;
	for (size_t i = 0; i < shape->count; i++) {
		const struct field *f = &shape->field[i];

		if (!ops[f->type].get(
			&o->via.array.ptr[i], (char *)out + f->offset))
			return false;
	}
	return true;
}

bool
shape_decode(const void *data, size_t len, const struct shape *shape, void *out,
    GError **err)
{
	msgpack_unpacked u;
	size_t off = 1;
	bool ok;

	memset(out, 0, shape->size);
	msgpack_unpacked_init(&u);
	ok = len > 1 && pack_valid((const char *)data + 1, len - 1) &&
	    msgpack_unpack_next(&u, data, len, &off) ==
		MSGPACK_UNPACK_SUCCESS &&
	    off == len && decode_fields(&u.data, shape, out);
	msgpack_unpacked_destroy(&u);
	if (ok)
		return true;
	shape_clear_message(shape, out);
	g_set_error(err, BT_ERROR, ERR_CORRUPT,
	    "malformed %s message of %zu bytes", shape->name, len);
	return false;
}

int
shape_frame_type(const void *data, size_t len)
{
	if (len == 0)
		return -1;
	return *(const uint8_t *)data;
}

void
shape_clear_message(const struct shape *shape, void *out)
{
	for (size_t i = 0; i < shape->count; i++) {
		const struct field *f = &shape->field[i];
		char *member = (char *)out + f->offset;

		if (ops[f->type].clear == NULL || *(void **)member == NULL)
			continue;
		ops[f->type].clear(member);
		*(void **)member = NULL;
	}
}
