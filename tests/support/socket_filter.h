/**
 * @file socket_filter.h
 * Packet loss at the sockets of a process that this one has started: the kernel drops packets
 * before they are received. Sockets that are opened later are not affected.
 */
#ifndef TESTS_SUPPORT_SOCKET_FILTER_H
#define TESTS_SUPPORT_SOCKET_FILTER_H

#include <stdint.h>
#include <sys/types.h>

/**
 * Drops the datagrams that arrive at the UDP port of a process. Returns the number of affected
 * sockets.
 */
int socket_filter_drop_datagrams(pid_t pid, uint16_t port);

#endif
