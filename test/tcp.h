/* TCP connections on which a test sends and receives raw bytes. */
#ifndef TCP_H
#define TCP_H

#include "base.h"

/* Connects to "IP:PORT"; returns -1 if that fails. The caller closes it. */
int tcp_dial(const char *address);
/* The same with a receive buffer of so many bytes. */
int tcp_dial_small(const char *address, int receive_bytes);
/* Appends what has arrived, without waiting; true if in contains the text. */
bool tcp_received(int fd, GString *in, const char *text);

#endif
