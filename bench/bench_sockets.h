/*
 * What the kernel counted for the TCP connections of one process: payload
 * bytes, HTTP headers included, and segments.
 */
#ifndef BENCH_SOCKETS_H
#define BENCH_SOCKETS_H

#include <sys/types.h>

#include "base.h"

/* An IPv4 header and a TCP header with the timestamp option. */
#define SEGMENT_HEADERS_BYTES 52

struct traffic {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t segments_in;
	uint64_t segments_out;
};

/* Counts of all connections of this machine by inode; NULL: refused. */
GHashTable *sockets_read(void);

/* Those of them that a process holds: inode to struct traffic. */
GHashTable *sockets_of(GHashTable *all, pid_t pid);

/*
 * Brings the counts in seen up to date with those in now, and keeps the last
 * ones of connections that have closed. Takes now over.
 */
void sockets_merge(GHashTable *seen, GHashTable *now);

/* What the connections in after carried since before. */
struct traffic sockets_since(GHashTable *before, GHashTable *after);

#endif
