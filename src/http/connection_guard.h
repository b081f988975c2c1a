/**
 * @file connection_guard.h
 * Connections that go silent without an end: what the kernel tells of them, and their count.
 *
 * Bounds, counts and log lines are the process's, as the log is; all functions are safe from any
 * thread.
 */
#ifndef HS_HTTP_CONNECTION_GUARD_H
#define HS_HTTP_CONNECTION_GUARD_H

#include <stdbool.h>
#include <stdint.h>

/** Whom a connection leads to, or comes from. */
typedef enum {
    HS_CONNECTION_CALLER,
    HS_CONNECTION_DAEMON,
    HS_CONNECTION_ENGINE,
    HS_CONNECTION_STORE,
    HS_CONNECTION_KINDS
} hs_connection_kind;

/** Times in ms; 0: not bounded. */
typedef struct {
    /** Without a sign of the other side's kernel, after which the own one ends a connection. */
    uint32_t kernel_ms[HS_CONNECTION_KINDS];
    /** A request that may be repeated stays unacknowledged on a kept connection. */
    uint32_t repeat_unacknowledged_ms;
    /** The same for one that may run once. */
    uint32_t once_unacknowledged_ms;
    /** Idle time up to which a kept connection gets a request that may run once. */
    uint32_t once_idle_ms;
} hs_connection_bounds;

/** Name of a kind, for logs and metrics. */
const char *hs_connection_kind_name(hs_connection_kind kind);

/** Set the bounds of connections from now on; before the first one, all are 0. */
void hs_connection_bounds_set(const hs_connection_bounds *bounds);
hs_connection_bounds hs_connection_bounds_get(void);

/** Let the kernel end a silent TCP connection within its kind's bound. */
void hs_connection_guard(int descriptor, hs_connection_kind kind);

/**
 * Whether bytes are on their way and none was acknowledged for @p limit_ms. A peer that is slow to
 * read acknowledges; false where the kernel does not tell.
 */
bool hs_connection_is_unacknowledged(int descriptor, uint32_t limit_ms);

/**
 * Keep a stalled connection: its other side takes no bytes, but its kernel gave a sign within the
 * bound. Without this the kernel ends it after the bound, whatever signs come. To be called
 * repeatedly while it is stalled. The kernel goes on counting that time when the other side takes
 * bytes again, so that the wider bound stays. @p open_ms: at least the time for which nothing may
 * have been taken.
 */
void hs_connection_keep_stalled(int descriptor, hs_connection_kind kind, uint64_t open_ms);

/** Whether the kernel gave the connection up after it sent again or probed in vain. */
bool hs_connection_has_timed_out(int descriptor);

/**
 * Log and count one lost connection. @p age_ms: since it was opened. @p noticed_by: "kernel",
 * "unacknowledged" or "timeout".
 */
void hs_connection_note_loss(hs_connection_kind kind, uint64_t age_ms, const char *noticed_by);

/** Lost connections of a kind so far. */
uint64_t hs_connection_losses(hs_connection_kind kind);

#endif
