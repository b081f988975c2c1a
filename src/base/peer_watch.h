/**
 * @file peer_watch.h
 * Whether the other end of a connection has left.
 *
 * A peer that closed its connection and one that ended only its sending side look the same until
 * something is written to it. Both count as having left: to look away from an end costs an engine's
 * work each time, and the documented interfaces name no caller that ends one side alone.
 */
#ifndef HS_BASE_PEER_WATCH_H
#define HS_BASE_PEER_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/** Whether the peer of @p descriptor has left, as far as the kernel knows; -1: it has not. */
bool hs_peer_has_left(int descriptor);

/** Sleep for @p milliseconds, or until the peer has left. True: it has. */
bool hs_peer_leaves_within(int descriptor, uint32_t milliseconds);

#endif
