/*
 * Reading and writing of compact msgpack arrays. Integers are unsigned or
 * signed as msgpack has them; strings and bytes may be nil.
 */
#ifndef CODEC_H
#define CODEC_H

#include <msgpack.h>

#include "base.h"

#define CODEC_AMOUNT_MAX (INT64_C(1) << 50) /* keeps sums from wrapping */
#define CODEC_NO_LIMIT SIZE_MAX

/* A place in a decoded array. Once a read fails, ok stays false. */
struct reader {
	const msgpack_object *p;
	uint32_t left;
	bool ok;
};

/* Decodes one array that fills data; r reads its elements. */
bool
codec_open(msgpack_unpacked *u, const void *data, size_t len, struct reader *r);
/* Closes what codec_open() made; safe after its failure too. */
void codec_close(msgpack_unpacked *u);
/* Says whether all was read without a fault and nothing is left. */
bool codec_done(const struct reader *r);

uint64_t get_u64(struct reader *r);
uint64_t get_below(struct reader *r, uint64_t below);
int64_t get_i64(struct reader *r);
int64_t get_amount(struct reader *r);
double get_double(struct reader *r);
bool get_bool(struct reader *r);
char *get_str(struct reader *r, size_t max);
/* An array of strings, none of them nil; never NULL. */
GPtrArray *get_strs(struct reader *r, size_t max, uint32_t most);
GBytes *get_bytes(struct reader *r, size_t max);
void get_raw(struct reader *r, uint8_t *to, size_t len);
struct reader get_array(struct reader *r);
void get_resources(struct reader *r, struct resources *to);

void put_bool(msgpack_packer *pk, bool value);
void put_str(msgpack_packer *pk, const char *s);
void put_strs(msgpack_packer *pk, const GPtrArray *strs); /* NULL: none */
void put_raw(msgpack_packer *pk, const void *data, size_t len);
void put_bytes(msgpack_packer *pk, GBytes *bytes);
void put_resources(msgpack_packer *pk, const struct resources *r);

/* Moves a buffer's bytes out; the buffer is then empty. */
GBytes *codec_take(msgpack_sbuffer *buf);

#endif
