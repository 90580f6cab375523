#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

#include "tcp.h"

int
tcp_dial(const char *address)
{
	return tcp_dial_small(address, 0);
}

int
tcp_dial_small(const char *address, int receive_bytes)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		    sizeof(receive_bytes));
	g_assert_cmpint(
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len),
	    ==, 0);
	if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
tcp_received(int fd, GString *in, const char *text)
{
	char buf[4096];
	ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n > 0)
		g_string_append_len(in, buf, n);
	return strstr(in->str, text) != NULL;
}
