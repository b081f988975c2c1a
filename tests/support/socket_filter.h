/**
 * @file socket_filter.h
 * Packet loss at the sockets of a process that this one has started: the kernel drops packets
 * before they are received. Sockets that are opened later are not affected, except for connections
 * accepted by an affected listener.
 */
#ifndef TESTS_SUPPORT_SOCKET_FILTER_H
#define TESTS_SUPPORT_SOCKET_FILTER_H

#include <stdint.h>
#include <sys/types.h>

/** All ports of senders. */
#define SOCKET_FILTER_ANY_PORT 0

/**
 * Drops the datagrams that arrive at the UDP port of a process from @p from_port, or from all ports
 * (SOCKET_FILTER_ANY_PORT). Returns the number of affected sockets.
 */
int socket_filter_drop_datagrams(pid_t pid, uint16_t port, uint16_t from_port);

/**
 * Drops what arrives at a process for its TCP port, over open connections too. Returns the number
 * of affected sockets.
 */
int socket_filter_drop_connections(pid_t pid, uint16_t port);

/** Ends the losses at the TCP and UDP port of a process. */
void socket_filter_clear(pid_t pid, uint16_t port);

#endif
