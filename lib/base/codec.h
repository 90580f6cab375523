/*
 * Encoding and decoding of records as msgpack arrays of positional fields.
 * Strings and byte strings may be nil, which stands for NULL.
 */
#ifndef CODEC_H
#define CODEC_H

#include <msgpack.h>

#include "base.h"

#define CODEC_AMOUNT_MAX (INT64_C(1) << 50) /* sums stay within int64_t */
#define CODEC_NO_LIMIT SIZE_MAX /* as max_len of get_str(), get_bytes() */

/*
 * Read position in a decoded array. A failed read clears ok, and every later
 * read fails too, so that a caller may check once at the end.
 */
struct reader {
	const msgpack_object *p; /* next element */
	uint32_t left; /* elements */
	bool ok;
};

/*
 * Decodes data, which must be exactly one msgpack array, and sets r to its
 * first element. u holds the decoded elements; call codec_close() on it also
 * after a failure.
 */
bool
codec_open(msgpack_unpacked *u, const void *data, size_t len, struct reader *r);
void codec_close(msgpack_unpacked *u);
/* Returns whether no read has failed and no elements are left. */
bool codec_done(const struct reader *r);

/* Returns whether the next element is an array. */
bool codec_next_is_array(const struct reader *r);

/*
 * Each get function reads the next element. If that is missing, of another
 * type or out of range, r->ok becomes false and the result is 0, false or
 * NULL. Strings, arrays and GBytes returned are copies that the caller frees.
 */
uint64_t get_u64(struct reader *r);
uint64_t get_below(struct reader *r, uint64_t limit); /* 0 to limit - 1 */
int64_t get_i64(struct reader *r);
int64_t get_amount(struct reader *r); /* 0 to CODEC_AMOUNT_MAX */
double get_double(struct reader *r); /* a float or an integer */
bool get_bool(struct reader *r);
/* At most max_len bytes without NUL; NULL for nil. */
char *get_str(struct reader *r, size_t max_len);
/* An array of at most max_count strings, none of them nil; never NULL. */
GPtrArray *get_strs(struct reader *r, size_t max_len, uint32_t max_count);
/* At most max_len bytes; NULL for nil. */
GBytes *get_bytes(struct reader *r, size_t max_len);
/* A byte string of exactly len bytes; leaves out unchanged on failure. */
void get_raw(struct reader *r, uint8_t *out, size_t len);
/* Returns a reader of a nested array, its ok false on failure. */
struct reader get_array(struct reader *r);
void get_resources(struct reader *r, struct resources *out);

void put_bool(msgpack_packer *pk, bool value);
void put_str(msgpack_packer *pk, const char *s);
void put_strs(msgpack_packer *pk, const GPtrArray *strs); /* NULL: empty */
void put_raw(msgpack_packer *pk, const void *data, size_t len);
void put_bytes(msgpack_packer *pk, GBytes *bytes);
void put_resources(msgpack_packer *pk, const struct resources *r);

/* Compresses into a zlib stream, which begins with CODEC_ZLIB_BYTE. */
#define CODEC_ZLIB_BYTE 0x78
GBytes *codec_deflate(GBytes *bytes);
/* Returns the content of a zlib stream, NULL if it is malformed or longer than
 * max_len. */
GBytes *codec_inflate(const void *data, size_t len, size_t max_len);

/* Moves the contents of buf into a new GBytes and leaves buf empty. */
GBytes *codec_take_buffer(msgpack_sbuffer *buf);

#endif
