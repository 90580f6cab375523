/*
 * Byte layout of a replica's files. Integers are little-endian or varints;
 * every unit carries a CRC-32C.
 *
 * A segment is a header and then frames. A frame holds the records of one
 * fsync: length, check of the frame's place and length, check of the payload.
 * A frame is written only after the frame before it is synced, so a valid
 * frame header proves that all bytes before it were synced.
 */
#ifndef WALFORMAT_H
#define WALFORMAT_H

#include "wal.h"

#define SEGMENT_HEADER_BYTES 68
#define FRAME_HEADER_BYTES 12
#define MARKER_BYTES 20

/* The state of the log where a segment begins. */
struct segment_header {
	uint64_t seq; /* segments count from 1 without gaps */
	struct raft_hard_state hard;
	uint64_t snap_index; /* newest snapshot; 0: none */
	uint64_t snap_term;
	uint64_t last; /* index of the last entry before this segment */
	bool clear; /* the entries before this segment are void */
};

/* How far a segment is known to be synced; never ahead of the disk. */
struct marker {
	uint64_t seq;
	uint64_t offset;
};

/* Entries of one term with consecutive indexes. */
struct run {
	uint64_t first;
	uint64_t last;
	uint64_t term;
};

/* Bounds-checked reading; bad is set by the first read past the end. */
struct reader {
	const uint8_t *p;
	const uint8_t *end;
	bool bad;
};

/* One decoded record: a term and vote, or an entry (owned by the taker). */
struct record {
	bool is_hard;
	struct raft_hard_state hard;
	struct raft_entry *entry;
};

uint32_t crc32c(uint32_t crc, const void *data, size_t len);

void put_u32(GByteArray *b, uint32_t v);
void put_u64(GByteArray *b, uint64_t v);
uint32_t get_u32(struct reader *r);
uint64_t wal_get_u64(struct reader *r);

void put_segment_header(GByteArray *b, const struct segment_header *h);
bool
get_segment_header(const uint8_t *data, size_t len, struct segment_header *h);

/* Adds the header that a payload at this place needs. */
void put_frame_header(GByteArray *b, uint64_t seq, uint64_t offset,
    const uint8_t *payload, size_t len);
/* Checks place and length; says what length and check the payload has. */
bool get_frame_header(const uint8_t *data, size_t len, uint64_t seq,
    uint64_t offset, uint32_t *payload_len, uint32_t *payload_crc);

void put_hard(GByteArray *b, const struct raft_hard_state *hard);
/* Adds an entry; prev is the one before it in the same payload or NULL. */
void put_entry(
    GByteArray *b, const struct raft_entry *e, const struct raft_entry *prev);
/* Reads one record; prev as above. Returns false on a malformed one. */
bool
get_record(struct reader *r, const struct raft_entry *prev, struct record *rec);

void put_marker(GByteArray *b, const struct marker *m);
bool get_marker(const uint8_t *data, size_t len, struct marker *m);

GByteArray *encode_identity(const struct wal_identity *id);
bool decode_identity(const uint8_t *data, size_t len, struct wal_identity *id);
GByteArray *encode_snapshot(const struct raft_snapshot *s);
struct raft_snapshot *decode_snapshot(const uint8_t *data, size_t len);

#endif
