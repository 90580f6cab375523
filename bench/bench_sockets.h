/*
 * Traffic of the TCP connections of a process as counted by the kernel, read
 * with NETLINK_SOCK_DIAG.
 */
#ifndef BENCH_SOCKETS_H
#define BENCH_SOCKETS_H

#include <sys/types.h>

#include "base.h"

/* An IPv4 header and a TCP header with the timestamp option. */
#define SEGMENT_HEADERS_BYTES 52

/* Bytes are TCP payload and so include HTTP headers. */
struct traffic {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t segments_in;
	uint64_t segments_out;
};

/*
 * Reads the traffic counters of all IPv4 connections of this machine: socket
 * inode to struct traffic.
 * Aborts if the kernel does not provide them.
 */
GHashTable *sockets_read(void);

/* Returns copies of the counters of the sockets that the process has open. */
GHashTable *sockets_of(GHashTable *all, pid_t pid);

/*
 * Updates counts with those in newer; the counts of connections that have
 * closed stay as last read. Frees newer.
 */
void sockets_merge(GHashTable *counts, GHashTable *newer);

/* Returns the traffic since before, summed over the connections in after. */
struct traffic sockets_since(GHashTable *before, GHashTable *after);

#endif
