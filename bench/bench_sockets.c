#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/in.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>

#include "bench_sockets.h"

#define REPLY_BYTES (64 * 1024)
#define ALL_STATES 0xfffU /* bit mask of TCP states */

struct dump_request {
	struct nlmsghdr header;
	struct inet_diag_req_v2 body;
};

static bool
send_dump_request(int fd)
{
	struct dump_request r = {
		.header = { .nlmsg_len = sizeof(r),
		    .nlmsg_type = SOCK_DIAG_BY_FAMILY,
		    .nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP },
		.body = { .sdiag_family = AF_INET,
		    .sdiag_protocol = IPPROTO_TCP,
		    .idiag_ext = 1U << (INET_DIAG_INFO - 1),
		    .idiag_states = ALL_STATES },
	};

	return send(fd, &r, sizeof(r), 0) == (ssize_t)sizeof(r);
}

static gpointer
inode_key(unsigned long inode)
{
	return GSIZE_TO_POINTER(inode);
}

static void
add_info(GHashTable *all, unsigned inode, const struct rtattr *attr)
{
	struct tcp_info info = { 0 };
	struct traffic *t;

	memcpy(&info, RTA_DATA(attr), MIN(sizeof(info), RTA_PAYLOAD(attr)));
	t = g_new0(struct traffic, 1);
	t->bytes_in = info.tcpi_bytes_received;
	t->bytes_out = info.tcpi_bytes_acked;
	t->segments_in = info.tcpi_segs_in;
	t->segments_out = info.tcpi_segs_out;
	g_hash_table_insert(all, inode_key(inode), t);
}

static void
add_socket(GHashTable *all, const struct nlmsghdr *h)
{
	const struct inet_diag_msg *msg = NLMSG_DATA(h);
	const struct rtattr *attr = (const struct rtattr *)(msg + 1);
	int left = (int)(h->nlmsg_len - NLMSG_LENGTH(sizeof(*msg)));

	for (; RTA_OK(attr, left); attr = RTA_NEXT(attr, left))
		if (attr->rta_type == INET_DIAG_INFO)
			add_info(all, msg->idiag_inode, attr);
}

/* Adds the sockets of one datagram; false: there are no more. */
static bool
add_reply(GHashTable *all, const void *data, size_t len)
{
	const struct nlmsghdr *h = data;

	for (; NLMSG_OK(h, len); h = NLMSG_NEXT(h, len)) {
		if (h->nlmsg_type == NLMSG_DONE || h->nlmsg_type == NLMSG_ERROR)
			return false;
		if (h->nlmsg_type == SOCK_DIAG_BY_FAMILY)
			add_socket(all, h);
	}
	return true;
}

GHashTable *
sockets_read(void)
{
	GHashTable *all = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	char *reply = g_malloc(REPLY_BYTES);
	int fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	ssize_t n;

	if (fd < 0 || !send_dump_request(fd))
		g_error("capacity_bench: NETLINK_SOCK_DIAG is not available");
	do
		n = recv(fd, reply, REPLY_BYTES, 0);
	while (n > 0 && add_reply(all, reply, (size_t)n));
	close(fd);
	g_free(reply);
	return all;
}

static unsigned long
inode_of(const char *dir, const char *name)
{
	char *path = g_build_filename(dir, name, NULL);
	char *target = g_file_read_link(path, NULL);
	unsigned long inode = 0;

	if (target != NULL && g_str_has_prefix(target, "socket:["))
		inode = strtoul(target + strlen("socket:["), NULL, 10);
	g_free(target);
	g_free(path);
	return inode;
}

GHashTable *
sockets_of(GHashTable *all, pid_t pid)
{
	GHashTable *own = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		unsigned long inode = inode_of(path, name);
		const struct traffic *t =
		    g_hash_table_lookup(all, inode_key(inode));

		if (inode != 0 && t != NULL)
			g_hash_table_insert(
			    own, inode_key(inode), g_memdup2(t, sizeof(*t)));
	}
	g_clear_pointer(&dir, g_dir_close);
	g_free(path);
	return own;
}

void
sockets_merge(GHashTable *counts, GHashTable *newer)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, newer);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_hash_table_iter_steal(&iter);
		g_hash_table_insert(counts, key, value);
	}
	g_hash_table_unref(newer);
}

struct traffic
sockets_since(GHashTable *before, GHashTable *after)
{
	const struct traffic none = { 0 };
	struct traffic sum = { 0 };
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, after);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct traffic *now = value;
		const struct traffic *old = g_hash_table_lookup(before, key);

		if (old == NULL)
			old = &none;
		sum.bytes_in += now->bytes_in - old->bytes_in;
		sum.bytes_out += now->bytes_out - old->bytes_out;
		sum.segments_in += now->segments_in - old->segments_in;
		sum.segments_out += now->segments_out - old->segments_out;
	}
	return sum;
}
