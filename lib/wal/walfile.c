#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "walfile.h"

#define FILE_MODE 0600

const struct file_ops file_ops_system = {
	.pwrite = pwrite,
	.fdatasync = fdatasync,
	.fsync = fsync,
	.rename = rename,
};

char *
segment_path(const struct wal *w, uint64_t seq)
{
	return g_strdup_printf("%s/log-%016" PRIx64, w->dir, seq);
}

void
file_error(GError **err, const char *what, const char *path)
{
	g_set_error(err, BT_ERROR, ERR_IO, "wal: %s %s: %s", what, path,
	    g_strerror(errno));
}

/* Counts an attempted sync. */
static void
count_sync(struct wal *w)
{
	g_mutex_lock(&w->stats_lock);
	w->stats.fsyncs++;
	g_mutex_unlock(&w->stats_lock);
}

GBytes *
file_read(const char *path, GError **err)
{
	GByteArray *b;
	struct stat st;
	ssize_t n = 1;
	size_t have = 0;
	int fd = open(path, O_RDONLY | O_CLOEXEC);

	if (fd < 0 && errno == ENOENT)
		return NULL;
	if (fd < 0 || fstat(fd, &st) != 0) {
		file_error(err, "open", path);
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	b = g_byte_array_new();
	g_byte_array_set_size(b, (guint)st.st_size);
	while (have < (size_t)st.st_size && n > 0) {
		n = read(fd, b->data + have, (size_t)st.st_size - have);
		if (n < 0 && errno == EINTR)
			n = 1;
		else if (n > 0)
			have += (size_t)n;
	}
	close(fd);
	if (have < (size_t)st.st_size) {
		file_error(err, "read", path);
		g_byte_array_unref(b);
		return NULL;
	}
	return g_byte_array_free_to_bytes(b);
}

bool
file_write(struct wal *w, int fd, const char *path, const uint8_t *data,
    size_t len, uint64_t offset, GError **err)
{
	while (len > 0) {
		ssize_t n = w->conf.ops->pwrite(fd, data, len, (off_t)offset);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			file_error(err, "write", path);
			return false;
		}
		data += n;
		len -= (size_t)n;
		offset += (uint64_t)n;
	}
	return true;
}

bool
dir_sync(struct wal *w, GError **err)
{
	count_sync(w);
	if (w->conf.ops->fsync(w->dir_fd) == 0)
		return true;
	file_error(err, "fsync", w->dir);
	return false;
}

/* Writes and syncs the temporary file. */
static bool
write_temporary(
    struct wal *w, const char *tmp, const GByteArray *content, GError **err)
{
	int fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	bool ok;

	if (fd < 0) {
		file_error(err, "create", tmp);
		return false;
	}
	ok = file_write(w, fd, tmp, content->data, content->len, 0, err);
	if (ok) {
		count_sync(w);
		ok = w->conf.ops->fsync(fd) == 0;
		if (!ok)
			file_error(err, "fsync", tmp);
	}
	close(fd);
	return ok;
}

bool
file_replace(
    struct wal *w, const char *name, const GByteArray *content, GError **err)
{
	char *path = g_strdup_printf("%s/%s", w->dir, name);
	char *tmp = g_strdup_printf("%s.tmp", path);
	bool ok = write_temporary(w, tmp, content, err);

	if (ok && w->conf.ops->rename(tmp, path) != 0) {
		file_error(err, "rename", tmp);
		ok = false;
	}
	ok = ok && dir_sync(w, err);
	g_free(tmp);
	g_free(path);
	return ok;
}

bool
segment_create(struct wal *w, bool discard_earlier, GError **err)
{
	struct segment seg = { .seq = 1 };
	struct segment_header h;
	GByteArray *b;
	char *path;
	bool ok;

	if (w->segments->len > 0)
		seg.seq = g_array_index(
			      w->segments, struct segment, w->segments->len - 1)
			      .seq +
		    1;
	if (discard_earlier) {
		g_array_set_size(w->term_ranges, 0);
		w->last_index = w->snap_index;
	}
	h = (struct segment_header){ seg.seq, w->hard_state, w->snap_index,
		w->snap_term, w->last_index, discard_earlier };
	path = segment_path(w, seg.seq);
	if (w->fd >= 0)
		close(w->fd);
	w->fd = open(path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	b = g_byte_array_new();
	put_segment_header(b, &h);
	if (w->fd < 0)
		file_error(err, "create", path);
	ok = w->fd >= 0 && file_write(w, w->fd, path, b->data, b->len, 0, err);
	w->offset = b->len;
	w->dir_dirty = true;
	g_array_append_val(w->segments, seg);
	g_byte_array_unref(b);
	g_free(path);
	return ok;
}

/*
 * Stores the synced length. The marker itself is not synced: an outdated one
 * is harmless, as recovery also checks the frames after it.
 */
static void
write_marker(struct wal *w)
{
	struct synced_marker m = { .offset = w->offset };
	GByteArray *b = g_byte_array_new();

	m.seq = g_array_index(w->segments, struct segment, w->segments->len - 1)
		    .seq;
	put_synced_marker(b, &m);
	(void)file_write(w, w->marker_fd, "synced", b->data, b->len, 0, NULL);
	g_byte_array_unref(b);
}

bool
segment_sync(struct wal *w, GError **err)
{
	count_sync(w);
	if (w->conf.ops->fdatasync(w->fd) != 0) {
		file_error(err, "fdatasync", w->dir);
		return false;
	}
	if (w->dir_dirty && !dir_sync(w, err))
		return false;
	w->dir_dirty = false;
	write_marker(w);
	return true;
}

bool
segment_prune(struct wal *w, GError **err)
{
	/* Each removal is synced before the next, so that a crash leaves no
	 * gap in the sequence. */
	while (w->segments->len > 1) {
		struct segment *s =
		    &g_array_index(w->segments, struct segment, 0);
		char *path;
		int rc;

		if (s->max_index > w->snap_index && w->term_ranges->len > 0)
			return true;
		path = segment_path(w, s->seq);
		rc = unlink(path);
		if (rc != 0)
			file_error(err, "remove", path);
		g_free(path);
		if (rc != 0 || !dir_sync(w, err))
			return false;
		g_array_remove_index(w->segments, 0);
	}
	return true;
}

void
term_ranges_add(struct wal *w, const struct term_range *range)
{
	while (w->term_ranges->len > 0) {
		struct term_range *tail = &g_array_index(
		    w->term_ranges, struct term_range, w->term_ranges->len - 1);

		if (tail->first < range->first) {
			tail->last = MIN(tail->last, range->first - 1);
			break;
		}
		g_array_set_size(w->term_ranges, w->term_ranges->len - 1);
	}
	if (w->term_ranges->len > 0) {
		struct term_range *tail = &g_array_index(
		    w->term_ranges, struct term_range, w->term_ranges->len - 1);

		if (tail->term == range->term &&
		    tail->last + 1 == range->first) {
			tail->last = range->last;
			w->last_index = range->last;
			return;
		}
	}
	g_array_append_val(w->term_ranges, *range);
	w->last_index = range->last;
}

bool
term_ranges_match(const struct wal *w, uint64_t index, uint64_t term)
{
	for (guint i = 0; i < w->term_ranges->len; i++) {
		const struct term_range *range =
		    &g_array_index(w->term_ranges, struct term_range, i);

		if (index >= range->first && index <= range->last)
			return range->term == term;
	}
	return false;
}
