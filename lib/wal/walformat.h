/*
 * Byte layout of a replica's files. Integers are little-endian or varints.
 * Every file, segment header, frame and marker has a CRC-32C.
 *
 * A segment is a header followed by frames. A frame holds the records of one
 * sync after a header with the payload length, a CRC of the frame's position
 * and length, and a CRC of the payload. A frame is written only after the
 * frame before it is synced, so a valid frame header proves that all bytes
 * before it were synced.
 */
#ifndef WALFORMAT_H
#define WALFORMAT_H

#include "wal.h"

#define SEGMENT_HEADER_BYTES 68
#define FRAME_HEADER_BYTES 12
#define MARKER_BYTES 20

/* State of the log at the start of a segment. */
struct segment_header {
	uint64_t seq; /* counts from 1 without gaps */
	struct raft_hard_state hard_state;
	uint64_t snap_index; /* newest snapshot; 0: none */
	uint64_t snap_term;
	uint64_t last_index; /* last entry before this segment */
	bool discard_earlier; /* entries in earlier segments are dropped */
};

/*
 * Length up to which a segment is synced. May be less than what is on disk,
 * never more.
 */
struct synced_marker {
	uint64_t seq;
	uint64_t offset;
};

/* Entries with consecutive indexes and the same term. */
struct term_range {
	uint64_t first;
	uint64_t last;
	uint64_t term;
};

/* Bounds-checked reader; bad is set by the first read that fails. */
struct reader {
	const uint8_t *p;
	const uint8_t *end;
	bool bad;
};

/* A decoded record: either a hard state or an entry owned by the caller. */
struct record {
	bool is_hard_state;
	struct raft_hard_state hard_state;
	struct raft_entry *entry;
};

/* Continues a CRC-32C; start with crc 0. */
uint32_t crc32c(uint32_t crc, const void *data, size_t len);

void put_u32(GByteArray *b, uint32_t v);
void put_u64(GByteArray *b, uint64_t v);
uint32_t get_u32(struct reader *r);
uint64_t wal_get_u64(struct reader *r);

void put_segment_header(GByteArray *b, const struct segment_header *h);
bool
get_segment_header(const uint8_t *data, size_t len, struct segment_header *h);

/* Appends the header of a frame at this offset of segment seq. */
void put_frame_header(GByteArray *b, uint64_t seq, uint64_t offset,
    const uint8_t *payload, size_t len);
/*
 * Checks that a frame header belongs to this offset of segment seq and
 * returns the length and CRC of the payload, which is not checked.
 */
bool get_frame_header(const uint8_t *data, size_t len, uint64_t seq,
    uint64_t offset, uint32_t *payload_len, uint32_t *payload_crc);

void put_hard_state(GByteArray *b, const struct raft_hard_state *hard_state);
/* Appends an entry; prev is the one before it in the payload or NULL. */
void put_entry(
    GByteArray *b, const struct raft_entry *e, const struct raft_entry *prev);
/*
 * Reads one record; prev is the last entry read from the payload or NULL.
 * Returns false if the record is malformed.
 */
bool
get_record(struct reader *r, const struct raft_entry *prev, struct record *rec);

void put_synced_marker(GByteArray *b, const struct synced_marker *m);
/* Returns false, with m set to 0, if the CRC does not match. */
bool
get_synced_marker(const uint8_t *data, size_t len, struct synced_marker *m);

GByteArray *encode_identity(const struct wal_identity *id);
bool decode_identity(const uint8_t *data, size_t len, struct wal_identity *id);
GByteArray *encode_snapshot(const struct raft_snapshot *s);
/* Returns NULL if the data is malformed. */
struct raft_snapshot *decode_snapshot(const uint8_t *data, size_t len);

#endif
