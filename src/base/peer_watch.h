/**
 * @file peer_watch.h
 * Detection of a disconnect by the peer of a socket. Thread-safe.
 *
 * A peer that shut down only its sending side cannot be distinguished from one that closed the
 * connection, so both count as disconnected.
 */
#ifndef HS_BASE_PEER_WATCH_H
#define HS_BASE_PEER_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/** Returns whether the kernel has seen the peer disconnect; false if @p descriptor is -1. */
bool hs_peer_has_disconnected(int descriptor);

/** Waits up to @p timeout_ms for the peer to disconnect. Returns whether the peer did. */
bool hs_peer_wait_for_disconnect(int descriptor, uint32_t timeout_ms);

#endif
