#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "walfile.h"

/* State of the recovery: the log according to the segments read so far. */
struct replay {
	struct wal *w;
	struct wal_image *image;
	struct synced_marker marker;
	uint64_t first_seq;
	uint64_t last_seq;
	GPtrArray *entries; /* consecutive; may start before the snapshot */
	uint64_t next_index; /* one past the last entry */
	struct segment_header last_header; /* of the newest segment read */
};

static bool
corrupt(GError **err, const char *path, uint64_t offset, const char *why)
{
	g_set_error(err, BT_ERROR, ERR_CORRUPT,
	    "wal: %s: offset %" PRIu64 ": %s", path, offset, why);
	return false;
}

/* Finds the lowest and highest segment number; removes temporary files. */
static bool
scan_dir(struct wal *w, uint64_t *low, uint64_t *high, GError **err)
{
	GDir *dir = g_dir_open(w->dir, 0, err);
	const char *name;

	if (dir == NULL)
		return false;
	*low = *high = 0;
	while ((name = g_dir_read_name(dir)) != NULL) {
		uint64_t seq;

		if (g_str_has_suffix(name, ".tmp")) {
			(void)unlinkat(w->dir_fd, name, 0);
			continue;
		}
		if (!g_str_has_prefix(name, "log-"))
			continue;
		seq = strtoull(name + strlen("log-"), NULL, 16);
		*low = *low == 0 ? seq : MIN(*low, seq);
		*high = MAX(*high, seq);
	}
	g_dir_close(dir);
	return true;
}

/* Reads a file in the directory. *out is NULL if it does not exist. */
static bool
read_in_dir(struct wal *w, const char *name, GBytes **out, GError **err)
{
	GError *e = NULL;
	char *path = g_strdup_printf("%s/%s", w->dir, name);

	*out = file_read(path, &e);
	g_free(path);
	if (e == NULL)
		return true;
	g_propagate_error(err, e);
	return false;
}

static bool
read_identity(struct replay *p, GError **err)
{
	struct wal *w = p->w;
	GBytes *bytes;
	GByteArray *b;
	char *path;
	size_t len;
	bool ok;

	if (!read_in_dir(w, "identity", &bytes, err))
		return false;
	path = g_strdup_printf("%s/identity", w->dir);
	if (bytes != NULL) {
		const uint8_t *data = g_bytes_get_data(bytes, &len);

		ok = decode_identity(data, len, &p->image->identity);
		if (!ok)
			corrupt(err, path, 0,
			    "identity is malformed or has a bad checksum");
		g_bytes_unref(bytes);
	} else if (p->last_seq > 0) {
		ok = corrupt(err, path, 0,
		    "identity file is missing but the log exists");
	} else {
		/* Written before the first segment, so that a log without an
		 * identity is always an error. */
		b = encode_identity(&p->image->identity);
		ok = file_replace(w, "identity", b, err);
		g_byte_array_unref(b);
	}
	g_free(path);
	return ok;
}

static bool
read_snapshot(struct replay *p, GError **err)
{
	GBytes *bytes;
	char *path;
	size_t len;
	const uint8_t *data;

	if (!read_in_dir(p->w, "snapshot", &bytes, err))
		return false;
	if (bytes == NULL)
		return true;
	data = g_bytes_get_data(bytes, &len);
	p->image->snapshot = decode_snapshot(data, len);
	g_bytes_unref(bytes);
	if (p->image->snapshot != NULL)
		return true;
	path = g_strdup_printf("%s/snapshot", p->w->dir);
	corrupt(err, path, 0, "snapshot is malformed or has a bad checksum");
	g_free(path);
	return false;
}

/* Opens the marker file, creating it if missing, and reads the marker. */
static bool
read_marker(struct replay *p, GError **err)
{
	struct wal *w = p->w;
	char *path = g_strdup_printf("%s/synced", w->dir);
	uint8_t buf[MARKER_BYTES] = { 0 };
	ssize_t n;

	w->marker_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (w->marker_fd < 0) {
		file_error(err, "open", path);
		g_free(path);
		return false;
	}
	n = pread(w->marker_fd, buf, sizeof(buf), 0);
	(void)get_synced_marker(buf, n < 0 ? 0 : (size_t)n, &p->marker);
	g_free(path);
	return true;
}

/* Adds an entry, replacing all from its index on. False if it has a gap. */
static bool
replay_entry(struct replay *p, struct raft_entry *e)
{
	GPtrArray *list = p->entries;
	const struct raft_entry *first;

	if (e->index == 0 || e->index > p->next_index) {
		raft_entry_unref(e);
		return false;
	}
	first = list->len > 0 ? list->pdata[0] : NULL;
	if (first != NULL && e->index <= first->index)
		g_ptr_array_set_size(list, 0);
	else if (first != NULL)
		g_ptr_array_set_size(list, (int)(e->index - first->index));
	p->next_index = e->index + 1;
	g_ptr_array_add(list, e);
	return true;
}

/* Applies the records of a frame. False if one is malformed. */
static bool
replay_payload(
    struct replay *p, const uint8_t *data, size_t len, struct segment *seg)
{
	struct reader r = { data, data + len, false };
	const struct raft_entry *prev = NULL;
	struct record rec;

	while (r.p < r.end) {
		if (!get_record(&r, prev, &rec))
			return false;
		if (rec.is_hard_state) {
			p->image->hard_state = rec.hard_state;
			continue;
		}
		seg->max_index = MAX(seg->max_index, rec.entry->index);
		if (!replay_entry(p, rec.entry))
			return false;
		prev = rec.entry;
	}
	return true;
}

/* Reports whether a frame header is found anywhere after the offset. */
static bool
has_later_frame(const uint8_t *data, size_t len, uint64_t seq, uint64_t offset)
{
	uint32_t n;
	uint32_t crc;

	for (uint64_t at = offset + 1; at + FRAME_HEADER_BYTES <= len; at++) {
		if (get_frame_header(data + at, len - at, seq, at, &n, &crc))
			return true;
	}
	return false;
}

/* Returns the payload length of a complete, valid frame; 0: not valid. */
static uint32_t
check_frame(const uint8_t *data, size_t len, uint64_t seq, uint64_t at)
{
	uint32_t n;
	uint32_t crc;

	if (!get_frame_header(data + at, len - at, seq, at, &n, &crc) ||
	    n > len - at - FRAME_HEADER_BYTES ||
	    crc32c(0, data + at + FRAME_HEADER_BYTES, n) != crc)
		return 0;
	return n;
}

/*
 * Reports whether the bytes at this offset of a segment were acknowledged.
 * The segment header is synced together with the first frame, so a frame
 * counts as proof for the header only if it is not the first.
 */
static bool
is_acknowledged(const struct replay *p, const uint8_t *data, size_t len,
    uint64_t seq, uint64_t offset)
{
	return seq < p->last_seq ||
	    (seq == p->marker.seq && offset < p->marker.offset) ||
	    has_later_frame(data, len, seq, MAX(offset, SEGMENT_HEADER_BYTES));
}

/* Checks that a segment header matches the log read so far; applies it. */
static bool
apply_header(struct replay *p, const struct segment_header *h)
{
	uint64_t snap =
	    p->image->snapshot != NULL ? p->image->snapshot->index : 0;
	bool first = h->seq == p->first_seq;

	if (h->snap_index > snap || (first && h->last_index > snap) ||
	    (!first && !h->discard_earlier &&
		h->last_index + 1 != p->next_index))
		return false;
	if (h->discard_earlier)
		g_ptr_array_set_size(p->entries, 0);
	p->next_index = h->last_index + 1;
	p->image->hard_state = h->hard_state;
	p->last_header = *h;
	return true;
}

/*
 * Replays the frames of a segment. Returns the length of the valid part in
 * *valid_len; the rest, if any, is a tail that was never acknowledged.
 */
static bool
replay_segment(struct replay *p, const char *path, const uint8_t *data,
    size_t len, struct segment *seg, size_t *valid_len, GError **err)
{
	struct segment_header h;
	size_t at = SEGMENT_HEADER_BYTES;
	uint64_t expected_len = len;
	uint32_t n;

	*valid_len = 0;
	if (!get_segment_header(data, len, &h) || h.seq != seg->seq) {
		if (is_acknowledged(p, data, len, seg->seq, 0))
			return corrupt(err, path, 0, "bad segment header");
		return true;
	}
	if (!apply_header(p, &h))
		return corrupt(err, path, 0,
		    "segment header does not match the log before it");
	for (; at < len; at += FRAME_HEADER_BYTES + n) {
		n = check_frame(data, len, seg->seq, at);
		if (n == 0)
			break;
		if (!replay_payload(p, data + at + FRAME_HEADER_BYTES, n, seg))
			return corrupt(err, path, at, "malformed record");
	}
	*valid_len = at;
	if (seg->seq == p->marker.seq)
		expected_len = MAX(expected_len, p->marker.offset);
	if (at < expected_len && is_acknowledged(p, data, len, seg->seq, at))
		return corrupt(
		    err, path, at, "acknowledged record is damaged or missing");
	return true;
}

/*
 * Opens the newest segment for writing, truncates a torn tail and syncs the
 * rest. Bytes past the marker are written again: if fsync failed in an
 * earlier process, the kernel may have marked their pages clean although
 * they never reached the disk.
 */
static bool
repair_segment(struct replay *p, const char *path, const uint8_t *data,
    size_t len, size_t valid_len, GError **err)
{
	struct wal *w = p->w;
	uint64_t synced = 0;

	w->fd = open(path, O_RDWR | O_CLOEXEC);
	if (w->fd < 0 ||
	    (valid_len < len && ftruncate(w->fd, (off_t)valid_len) != 0)) {
		file_error(err, "open", path);
		return false;
	}
	if (p->marker.seq == p->last_seq)
		synced = MIN(p->marker.offset, valid_len);
	p->image->truncated_bytes += len - valid_len;
	w->offset = valid_len;
	w->dir_dirty = true;
	return file_write(w, w->fd, path, data + synced, valid_len - synced,
		   synced, err) &&
	    segment_sync(w, err);
}

/* Reads one segment; the newest is opened for writing. */
static bool
read_segment(struct replay *p, uint64_t seq, GError **err)
{
	struct wal *w = p->w;
	struct segment seg = { .seq = seq };
	GError *e = NULL;
	char *path = segment_path(w, seq);
	GBytes *bytes = file_read(path, &e);
	const uint8_t *data;
	size_t len;
	size_t valid_len;
	bool ok;

	if (bytes == NULL) {
		if (e != NULL)
			g_propagate_error(err, e);
		else
			corrupt(err, path, 0, "segment is missing");
		g_free(path);
		return false;
	}
	data = g_bytes_get_data(bytes, &len);
	ok = replay_segment(p, path, data, len, &seg, &valid_len, err);
	if (ok && valid_len == 0) {
		/* Its creation was interrupted: the log ends before it. */
		p->image->truncated_bytes += len;
		ok = unlink(path) == 0;
		if (!ok)
			file_error(err, "remove", path);
	} else if (ok) {
		g_array_append_val(w->segments, seg);
		if (seq == p->last_seq)
			ok = repair_segment(p, path, data, len, valid_len, err);
	}
	g_bytes_unref(bytes);
	g_free(path);
	return ok;
}

/* Opens the newest complete segment if the one after it was removed. */
static bool
reopen_newest(struct replay *p, GError **err)
{
	struct wal *w = p->w;
	char *path;

	if (w->fd >= 0 || w->segments->len == 0)
		return true;
	p->last_seq =
	    g_array_index(w->segments, struct segment, w->segments->len - 1)
		.seq;
	path = segment_path(w, p->last_seq);
	w->fd = open(path, O_RDWR | O_CLOEXEC);
	if (w->fd < 0)
		file_error(err, "open", path);
	else
		w->offset = (uint64_t)lseek(w->fd, 0, SEEK_END);
	g_free(path);
	return w->fd >= 0;
}

/* Builds the term ranges; copies entries after the snapshot to the image. */
static void
fill_image(struct replay *p)
{
	struct wal *w = p->w;

	w->last_index = p->next_index - 1;
	for (guint i = 0; i < p->entries->len; i++) {
		struct raft_entry *e = p->entries->pdata[i];
		struct term_range range = { e->index, e->index, e->term };

		term_ranges_add(w, &range);
		if (e->index > w->snap_index)
			g_ptr_array_add(p->image->entries, raft_entry_ref(e));
	}
}

/*
 * Starts a segment for a snapshot that is newer than the one in the newest
 * segment header. A crash between storing a snapshot and creating its segment
 * leaves this state.
 */
static bool
apply_newer_snapshot(struct replay *p, GError **err)
{
	struct wal *w = p->w;
	const struct raft_snapshot *s = p->image->snapshot;
	bool discard_earlier;

	if (s == NULL || s->index == p->last_header.snap_index)
		return true;
	discard_earlier = !term_ranges_match(w, s->index, s->term);
	if (discard_earlier)
		g_ptr_array_set_size(p->image->entries, 0);
	return segment_create(w, discard_earlier, err) &&
	    segment_sync(w, err) && segment_prune(w, err);
}

bool
wal_recover(struct wal *w, struct wal_image *image, GError **err)
{
	struct replay p = { .w = w, .image = image, .next_index = 1 };
	bool ok;

	image->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	p.entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	ok = scan_dir(w, &p.first_seq, &p.last_seq, err) &&
	    read_identity(&p, err) && read_snapshot(&p, err) &&
	    read_marker(&p, err);
	if (ok && p.marker.seq > p.last_seq) {
		char *path = segment_path(w, p.marker.seq);

		ok = corrupt(err, path, 0, "segment is missing");
		g_free(path);
	}
	if (ok && image->snapshot != NULL) {
		w->snap_index = image->snapshot->index;
		w->snap_term = image->snapshot->term;
	}
	for (uint64_t seq = p.first_seq; ok && seq > 0 && seq <= p.last_seq;
	     seq++)
		ok = read_segment(&p, seq, err);
	ok = ok && reopen_newest(&p, err);
	if (ok) {
		fill_image(&p);
		w->hard_state = image->hard_state;
		ok = apply_newer_snapshot(&p, err);
	}
	g_ptr_array_unref(p.entries);
	return ok;
}
