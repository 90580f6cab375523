#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "walfile.h"

/* The log as the segments read so far leave it. */
struct replay {
	struct wal *w;
	struct wal_image *image;
	struct marker marker;
	uint64_t first_seq;
	uint64_t last_seq;
	GPtrArray *entries; /* consecutive, also those before the snapshot */
	uint64_t next; /* index that may be appended */
	struct segment_header header; /* of the newest segment read */
};

static bool
corrupt(GError **err, const char *path, uint64_t offset, const char *why)
{
	g_set_error(err, BT_ERROR, ERR_CORRUPT,
	    "wal: %s: offset %" PRIu64 ": %s", path, offset, why);
	return false;
}

/* Finds lowest and highest segment number; removes temporary files. */
static bool
scan_folder(struct wal *w, uint64_t *low, uint64_t *high, GError **err)
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

/* Reads a file of the folder; false on error, *out NULL if not there. */
static bool
read_named(struct wal *w, const char *name, GBytes **out, GError **err)
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

	if (!read_named(w, "identity", &bytes, err))
		return false;
	path = g_strdup_printf("%s/identity", w->dir);
	if (bytes != NULL) {
		const uint8_t *data = g_bytes_get_data(bytes, &len);

		ok = decode_identity(data, len, &p->image->identity);
		if (!ok)
			corrupt(err, path, 0, "identity fails its check");
		g_bytes_unref(bytes);
	} else if (p->last_seq > 0) {
		ok = corrupt(err, path, 0, "identity is missing");
	} else {
		/* A log without an identity can thus not come up later. */
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

	if (!read_named(p->w, "snapshot", &bytes, err))
		return false;
	if (bytes == NULL)
		return true;
	data = g_bytes_get_data(bytes, &len);
	p->image->snapshot = decode_snapshot(data, len);
	g_bytes_unref(bytes);
	if (p->image->snapshot != NULL)
		return true;
	path = g_strdup_printf("%s/snapshot", p->w->dir);
	corrupt(err, path, 0, "snapshot fails its check");
	g_free(path);
	return false;
}

/* Opens or makes the marker file and reads what it says. */
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
	(void)get_marker(buf, n < 0 ? 0 : (size_t)n, &p->marker);
	g_free(path);
	return true;
}

/* Puts an entry in its place; it replaces those from its index on. */
static bool
replay_entry(struct replay *p, struct raft_entry *e)
{
	GPtrArray *list = p->entries;
	const struct raft_entry *first;

	if (e->index == 0 || e->index > p->next) {
		raft_entry_unref(e);
		return false;
	}
	first = list->len > 0 ? list->pdata[0] : NULL;
	if (first != NULL && e->index <= first->index)
		g_ptr_array_set_size(list, 0);
	else if (first != NULL)
		g_ptr_array_set_size(list, (int)(e->index - first->index));
	p->next = e->index + 1;
	g_ptr_array_add(list, e);
	return true;
}

/* Applies a frame's records. False if one is malformed. */
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
		if (rec.is_hard) {
			p->image->hard = rec.hard;
			continue;
		}
		seg->max_index = MAX(seg->max_index, rec.entry->index);
		if (!replay_entry(p, rec.entry))
			return false;
		prev = rec.entry;
	}
	return true;
}

/* Says whether a frame begins anywhere after the offset. */
static bool
frame_after(const uint8_t *data, size_t len, uint64_t seq, uint64_t offset)
{
	uint32_t n;
	uint32_t crc;

	for (uint64_t at = offset + 1; at + FRAME_HEADER_BYTES <= len; at++) {
		if (get_frame_header(data + at, len - at, seq, at, &n, &crc))
			return true;
	}
	return false;
}

/* Returns the payload length of a whole and valid frame, else 0. */
static uint32_t
frame_check(const uint8_t *data, size_t len, uint64_t seq, uint64_t at)
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
 * Says whether bytes at the offset of a segment were acknowledged. The
 * segment's header shares its sync with the first frame.
 */
static bool
acknowledged(const struct replay *p, const uint8_t *data, size_t len,
    uint64_t seq, uint64_t offset)
{
	return seq < p->last_seq ||
	    (seq == p->marker.seq && offset < p->marker.offset) ||
	    frame_after(data, len, seq, MAX(offset, SEGMENT_HEADER_BYTES));
}

/* Checks that a header continues the log read so far. */
static bool
take_header(struct replay *p, const struct segment_header *h)
{
	uint64_t snap =
	    p->image->snapshot != NULL ? p->image->snapshot->index : 0;
	bool first = h->seq == p->first_seq;

	if (h->snap_index > snap || (first && h->last > snap) ||
	    (!first && !h->clear && h->last + 1 != p->next))
		return false;
	if (h->clear)
		g_ptr_array_set_size(p->entries, 0);
	p->next = h->last + 1;
	p->image->hard = h->hard;
	p->header = *h;
	return true;
}

/*
 * Replays the frames of a segment. *good is the length that is valid; less
 * than len only for a tail that was never acknowledged.
 */
static bool
replay_segment(struct replay *p, const char *path, const uint8_t *data,
    size_t len, struct segment *seg, size_t *good, GError **err)
{
	struct segment_header h;
	size_t at = SEGMENT_HEADER_BYTES;
	uint64_t want = len;
	uint32_t n;

	*good = 0;
	if (!get_segment_header(data, len, &h) || h.seq != seg->seq) {
		if (acknowledged(p, data, len, seg->seq, 0))
			return corrupt(err, path, 0, "bad segment header");
		return true;
	}
	if (!take_header(p, &h))
		return corrupt(
		    err, path, 0, "segment does not continue the log");
	for (; at < len; at += FRAME_HEADER_BYTES + n) {
		n = frame_check(data, len, seg->seq, at);
		if (n == 0)
			break;
		if (!replay_payload(p, data + at + FRAME_HEADER_BYTES, n, seg))
			return corrupt(err, path, at, "malformed record");
	}
	*good = at;
	if (seg->seq == p->marker.seq)
		want = MAX(want, p->marker.offset);
	if (at < want && acknowledged(p, data, len, seg->seq, at))
		return corrupt(
		    err, path, at, "acknowledged record fails its check");
	return true;
}

/*
 * Cuts a torn tail off and makes sure that the rest is on disk. Bytes past
 * the marker are written again: after a failed fsync of an earlier run the
 * kernel may hold them as clean although the disk has not got them.
 */
static bool
adopt_segment(struct replay *p, const char *path, const uint8_t *data,
    size_t len, size_t good, GError **err)
{
	struct wal *w = p->w;
	uint64_t synced = 0;

	w->fd = open(path, O_RDWR | O_CLOEXEC);
	if (w->fd < 0 || (good < len && ftruncate(w->fd, (off_t)good) != 0)) {
		file_error(err, "open", path);
		return false;
	}
	if (p->marker.seq == p->last_seq)
		synced = MIN(p->marker.offset, good);
	p->image->truncated += len - good;
	w->offset = good;
	w->dir_dirty = true;
	return file_write(
		   w, w->fd, path, data + synced, good - synced, synced, err) &&
	    segment_sync(w, err);
}

/* Reads one segment; the newest one becomes the one written to. */
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
	size_t good;
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
	ok = replay_segment(p, path, data, len, &seg, &good, err);
	if (ok && good == 0) {
		/* Its creation was cut short: the log ends before it. */
		p->image->truncated += len;
		ok = unlink(path) == 0;
		if (!ok)
			file_error(err, "remove", path);
	} else if (ok) {
		g_array_append_val(w->segments, seg);
		if (seq == p->last_seq)
			ok = adopt_segment(p, path, data, len, good, err);
	}
	g_bytes_unref(bytes);
	g_free(path);
	return ok;
}

/* Opens the newest whole segment if the one after it was cut short. */
static bool
reopen_last(struct replay *p, GError **err)
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

/* Drops entries up to the snapshot and hands the rest to the image. */
static void
hand_over(struct replay *p)
{
	struct wal *w = p->w;

	w->last = p->next - 1;
	for (guint i = 0; i < p->entries->len; i++) {
		struct raft_entry *e = p->entries->pdata[i];
		struct run run = { e->index, e->index, e->term };

		runs_add(w, &run);
		if (e->index > w->snap_index)
			g_ptr_array_add(p->image->entries, raft_entry_ref(e));
	}
}

/*
 * A snapshot that is newer than the newest segment knows of was stored just
 * before a crash: it is taken into the log now, as wal_write() would have.
 */
static bool
settle_snapshot(struct replay *p, GError **err)
{
	struct wal *w = p->w;
	const struct raft_snapshot *s = p->image->snapshot;
	bool clear;

	if (s == NULL || s->index == p->header.snap_index)
		return true;
	clear = !runs_match(w, s->index, s->term);
	if (clear)
		g_ptr_array_set_size(p->image->entries, 0);
	return segment_begin(w, clear, err) && segment_sync(w, err) &&
	    segment_prune(w, err);
}

bool
wal_recover(struct wal *w, struct wal_image *image, GError **err)
{
	struct replay p = { .w = w, .image = image, .next = 1 };
	bool ok;

	image->entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	p.entries =
	    g_ptr_array_new_with_free_func((GDestroyNotify)raft_entry_unref);
	ok = scan_folder(w, &p.first_seq, &p.last_seq, err) &&
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
	ok = ok && reopen_last(&p, err);
	if (ok) {
		hand_over(&p);
		w->hard = image->hard;
		ok = settle_snapshot(&p, err);
	}
	g_ptr_array_unref(p.entries);
	return ok;
}
