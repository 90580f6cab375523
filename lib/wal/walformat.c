#include <string.h>

#include "walformat.h"

#define CRC32C_POLY 0x82f63b78U
#define MAGIC_BYTES 8
#define VARINT_MAX_BYTES 10

/* A record starts with a tag byte: its kind, and above it the entry type. */
#define TAG_HARD_STATE 0
#define TAG_ENTRY 1
#define TAG_NEXT 2 /* entry that follows prev and has the same term */
#define TAG_KIND_MASK 0x0f
#define TAG_TYPE_SHIFT 4

static const uint8_t segment_magic[MAGIC_BYTES] = "BTLOG01";
static const uint8_t identity_magic[MAGIC_BYTES] = "BTIDN01";
static const uint8_t snapshot_magic[MAGIC_BYTES] = "BTSNP01";

/* Returns the lookup table. Filled on the first call; safe in all threads. */
static const uint32_t *
crc_table(void)
{
	static uint32_t table[256];
	static gsize ready;

	if (!g_once_init_enter(&ready))
		return table;
	for (uint32_t i = 0; i < 256; i++) {
		uint32_t c = i;

		for (int k = 0; k < 8; k++)
			c = (c & 1) ? (c >> 1) ^ CRC32C_POLY : c >> 1;
		table[i] = c;
	}
	g_once_init_leave(&ready, 1);
	return table;
}

uint32_t
crc32c(uint32_t crc, const void *data, size_t len)
{
	const uint32_t *table = crc_table();
	const uint8_t *p = data;

	crc = ~crc;
	for (size_t i = 0; i < len; i++)
		crc = table[(crc ^ p[i]) & 0xff] ^ (crc >> 8);
	return ~crc;
}

void
put_u32(GByteArray *b, uint32_t v)
{
	uint32_t le = GUINT32_TO_LE(v);

	g_byte_array_append(b, (const uint8_t *)&le, sizeof(le));
}

void
put_u64(GByteArray *b, uint64_t v)
{
	uint64_t le = GUINT64_TO_LE(v);

	g_byte_array_append(b, (const uint8_t *)&le, sizeof(le));
}

static void
put_varint(GByteArray *b, uint64_t v)
{
	uint8_t buf[VARINT_MAX_BYTES];
	guint n = 0;

	while (v >= 0x80) {
		buf[n++] = (uint8_t)(v | 0x80);
		v >>= 7;
	}
	buf[n++] = (uint8_t)v;
	g_byte_array_append(b, buf, n);
}

/* Reads len bytes. Sets bad and returns NULL if fewer are left. */
static const uint8_t *
get_bytes(struct reader *r, size_t len)
{
	const uint8_t *p = r->p;

	if (r->bad || len > (size_t)(r->end - r->p)) {
		r->bad = true;
		return NULL;
	}
	r->p += len;
	return p;
}

uint32_t
get_u32(struct reader *r)
{
	const uint8_t *p = get_bytes(r, sizeof(uint32_t));
	uint32_t le = 0;

	if (p != NULL)
		memcpy(&le, p, sizeof(le));
	return GUINT32_FROM_LE(le);
}

uint64_t
wal_get_u64(struct reader *r)
{
	const uint8_t *p = get_bytes(r, sizeof(uint64_t));
	uint64_t le = 0;

	if (p != NULL)
		memcpy(&le, p, sizeof(le));
	return GUINT64_FROM_LE(le);
}

static uint64_t
get_varint(struct reader *r)
{
	uint64_t v = 0;

	for (int i = 0; i < VARINT_MAX_BYTES; i++) {
		const uint8_t *p = get_bytes(r, 1);

		if (p == NULL)
			return 0;
		v |= (uint64_t)(*p & 0x7f) << (7 * i);
		if ((*p & 0x80) == 0)
			return v;
	}
	r->bad = true;
	return 0;
}

/* Appends the CRC of all bytes from start on. */
static void
put_crc(GByteArray *b, guint start)
{
	put_u32(b, crc32c(0, b->data + start, b->len - start));
}

/*
 * Checks the magic at the start and the CRC at the end of the data. Sets r to
 * read what is between them.
 */
static bool
check_crc(
    const uint8_t *data, size_t len, const uint8_t *magic, struct reader *r)
{
	struct reader tail;

	if (len < MAGIC_BYTES + sizeof(uint32_t) ||
	    memcmp(data, magic, MAGIC_BYTES) != 0)
		return false;
	tail =
	    (struct reader){ data + len - sizeof(uint32_t), data + len, false };
	*r = (struct reader){ data + MAGIC_BYTES, tail.p, false };
	return get_u32(&tail) == crc32c(0, data, len - sizeof(uint32_t));
}

void
put_segment_header(GByteArray *b, const struct segment_header *h)
{
	guint start = b->len;

	g_byte_array_append(b, segment_magic, MAGIC_BYTES);
	put_u64(b, h->seq);
	put_u64(b, h->hard_state.term);
	put_u64(b, h->hard_state.vote);
	put_u64(b, h->snap_index);
	put_u64(b, h->snap_term);
	put_u64(b, h->last_index);
	put_u64(b, h->discard_earlier);
	put_crc(b, start);
}

bool
get_segment_header(const uint8_t *data, size_t len, struct segment_header *h)
{
	struct reader r;

	if (len < SEGMENT_HEADER_BYTES ||
	    !check_crc(data, SEGMENT_HEADER_BYTES, segment_magic, &r))
		return false;
	h->seq = wal_get_u64(&r);
	h->hard_state.term = wal_get_u64(&r);
	h->hard_state.vote = wal_get_u64(&r);
	h->snap_index = wal_get_u64(&r);
	h->snap_term = wal_get_u64(&r);
	h->last_index = wal_get_u64(&r);
	h->discard_earlier = wal_get_u64(&r) != 0;
	return true;
}

/* CRC of a frame's position, so that moved or stale frames are rejected. */
static uint32_t
position_crc(uint64_t seq, uint64_t offset, uint32_t len)
{
	uint64_t position[3] = { GUINT64_TO_LE(seq), GUINT64_TO_LE(offset),
		GUINT64_TO_LE((uint64_t)len) };

	return crc32c(0, position, sizeof(position));
}

void
put_frame_header(GByteArray *b, uint64_t seq, uint64_t offset,
    const uint8_t *payload, size_t len)
{
	put_u32(b, (uint32_t)len);
	put_u32(b, position_crc(seq, offset, (uint32_t)len));
	put_u32(b, crc32c(0, payload, len));
}

bool
get_frame_header(const uint8_t *data, size_t len, uint64_t seq, uint64_t offset,
    uint32_t *payload_len, uint32_t *payload_crc)
{
	struct reader r = { data, data + len, false };
	uint32_t crc;

	*payload_len = get_u32(&r);
	crc = get_u32(&r);
	*payload_crc = get_u32(&r);
	return !r.bad && *payload_len > 0 &&
	    crc == position_crc(seq, offset, *payload_len);
}

void
put_hard_state(GByteArray *b, const struct raft_hard_state *hard_state)
{
	uint8_t tag = TAG_HARD_STATE;

	g_byte_array_append(b, &tag, 1);
	put_varint(b, hard_state->term);
	put_varint(b, hard_state->vote);
}

void
put_entry(
    GByteArray *b, const struct raft_entry *e, const struct raft_entry *prev)
{
	bool next = prev != NULL && e->index == prev->index + 1 &&
	    e->term == prev->term;
	uint8_t tag = (uint8_t)((next ? TAG_NEXT : TAG_ENTRY) |
	    (e->type << TAG_TYPE_SHIFT));
	size_t len;
	const uint8_t *data = g_bytes_get_data(e->data, &len);

	g_byte_array_append(b, &tag, 1);
	if (!next) {
		put_varint(b, e->index);
		put_varint(b, e->term);
	}
	put_varint(b, len);
	if (len > 0)
		g_byte_array_append(b, data, (guint)len);
}

bool
get_record(struct reader *r, const struct raft_entry *prev, struct record *rec)
{
	const uint8_t *tag = get_bytes(r, 1);
	const uint8_t *data;
	uint64_t index;
	uint64_t term;
	uint64_t len;
	int kind;
	int type;

	memset(rec, 0, sizeof(*rec));
	if (tag == NULL)
		return false;
	kind = *tag & TAG_KIND_MASK;
	type = *tag >> TAG_TYPE_SHIFT;
	if (kind == TAG_HARD_STATE) {
		rec->is_hard_state = true;
		rec->hard_state.term = get_varint(r);
		rec->hard_state.vote = get_varint(r);
		return !r->bad;
	}
	if (kind > TAG_NEXT || type > RAFT_MEMBERS ||
	    (kind == TAG_NEXT && prev == NULL))
		return false;
	index = kind == TAG_NEXT ? prev->index + 1 : get_varint(r);
	term = kind == TAG_NEXT ? prev->term : get_varint(r);
	len = get_varint(r);
	data = get_bytes(r, len);
	if (r->bad)
		return false;
	GBytes *bytes = g_bytes_new(data, len);
	rec->entry = raft_entry_new(index, term, type, bytes);
	g_bytes_unref(bytes);
	return true;
}

void
put_synced_marker(GByteArray *b, const struct synced_marker *m)
{
	guint start = b->len;

	put_u64(b, m->seq);
	put_u64(b, m->offset);
	put_crc(b, start);
}

bool
get_synced_marker(const uint8_t *data, size_t len, struct synced_marker *m)
{
	struct reader r = { data, data + len, false };

	m->seq = wal_get_u64(&r);
	m->offset = wal_get_u64(&r);
	if (get_u32(&r) == crc32c(0, data, MIN(len, MARKER_BYTES - 4)) &&
	    !r.bad)
		return true;
	*m = (struct synced_marker){ 0, 0 };
	return false;
}

GByteArray *
encode_identity(const struct wal_identity *id)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_append(b, identity_magic, MAGIC_BYTES);
	put_u64(b, id->replica_id);
	put_u64(b, id->cell_id);
	g_byte_array_append(b, (const uint8_t *)id->name, sizeof(id->name));
	put_crc(b, 0);
	return b;
}

bool
decode_identity(const uint8_t *data, size_t len, struct wal_identity *id)
{
	struct reader r;
	const uint8_t *name;

	if (!check_crc(data, len, identity_magic, &r))
		return false;
	id->replica_id = wal_get_u64(&r);
	id->cell_id = wal_get_u64(&r);
	name = get_bytes(&r, sizeof(id->name));
	if (name == NULL || name[sizeof(id->name) - 1] != 0)
		return false;
	memcpy(id->name, name, sizeof(id->name));
	return true;
}

GByteArray *
encode_snapshot(const struct raft_snapshot *s)
{
	GByteArray *b = g_byte_array_new();
	GBytes *members = raft_members_encode(&s->members);
	size_t len;
	const uint8_t *data = g_bytes_get_data(members, &len);

	g_byte_array_append(b, snapshot_magic, MAGIC_BYTES);
	put_u64(b, s->index);
	put_u64(b, s->term);
	put_u32(b, (uint32_t)len);
	g_byte_array_append(b, data, (guint)len);
	g_bytes_unref(members);
	data = g_bytes_get_data(s->data, &len);
	put_u64(b, len);
	if (len > 0)
		g_byte_array_append(b, data, (guint)len);
	put_crc(b, 0);
	return b;
}

struct raft_snapshot *
decode_snapshot(const uint8_t *data, size_t len)
{
	struct raft_snapshot *s;
	struct raft_members members;
	struct reader r;
	const uint8_t *part;
	uint64_t index;
	uint64_t term;
	uint64_t n;

	if (!check_crc(data, len, snapshot_magic, &r))
		return NULL;
	index = wal_get_u64(&r);
	term = wal_get_u64(&r);
	n = get_u32(&r);
	part = get_bytes(&r, n);
	if (part == NULL || !raft_members_decode(part, n, &members))
		return NULL;
	n = wal_get_u64(&r);
	part = get_bytes(&r, n);
	if (part == NULL || r.p != r.end)
		return NULL;
	s = g_new0(struct raft_snapshot, 1);
	s->index = index;
	s->term = term;
	s->members = members;
	s->data = g_bytes_new(part, n);
	return s;
}
