/**
 * @file connection_guard.h
 * Detection of TCP connections that stop responding without being closed: the kernel's timeouts,
 * its connection state, and counters of lost connections.
 *
 * Timeouts and counters are global to the process. All functions are thread-safe.
 */
#ifndef HS_HTTP_CONNECTION_GUARD_H
#define HS_HTTP_CONNECTION_GUARD_H

#include <stdbool.h>
#include <stdint.h>

/** The kind of peer at the other end of a connection. */
typedef enum {
    HS_CONNECTION_CALLER,
    HS_CONNECTION_DAEMON,
    HS_CONNECTION_ENGINE,
    HS_CONNECTION_STORE,
    HS_CONNECTION_KINDS
} hs_connection_kind;

/** Timeouts in ms; 0: no timeout. */
typedef struct {
    /** Time without a packet from the peer's kernel after which a connection is ended, by kind. */
    uint32_t kernel_timeout_ms[HS_CONNECTION_KINDS];
    /** Time for which a repeatable request may stay unacknowledged on a reused connection. */
    uint32_t repeat_unacknowledged_ms;
    /** The same for a request that must not run twice. */
    uint32_t once_unacknowledged_ms;
    /** Idle time up to which a connection is reused for a request that must not run twice. */
    uint32_t once_idle_ms;
} hs_connection_timeouts;

/** Returns the name of a kind, for logs and metrics. */
const char *hs_connection_kind_name(hs_connection_kind kind);

/** Sets the timeouts of connections opened later. Until the first call all are 0. */
void hs_connection_timeouts_set(const hs_connection_timeouts *timeouts);
hs_connection_timeouts hs_connection_timeouts_get(void);

/** Sets the kernel's timeouts of a TCP connection, unless the timeout of its kind is 0. */
void hs_connection_set_timeouts(int descriptor, hs_connection_kind kind);

/**
 * Whether bytes are in flight and the last acknowledgement is at least @p limit_ms old. The kernel
 * of a peer that reads slowly still acknowledges. Returns false if the state cannot be read.
 */
bool hs_connection_is_unacknowledged(int descriptor, uint32_t limit_ms);

/**
 * Extends the timeout of a stalled connection: the peer reads no bytes, but its kernel responded
 * within the timeout. Without the extension the kernel ends the connection even though the peer's
 * kernel responds. Called repeatedly during the stall. The extended timeout stays in force, since
 * the kernel does not restart its count when the peer reads again. @p open_ms: upper bound of the
 * time since the peer last read bytes.
 */
void hs_connection_extend_timeout(int descriptor, hs_connection_kind kind, uint64_t open_ms);

/** Whether the kernel closed the connection after unanswered retransmissions or probes. */
bool hs_connection_has_timed_out(int descriptor);

/**
 * Logs and counts a lost connection. @p age_ms: time since it was opened. @p noticed_by: "kernel",
 * "unacknowledged" or "timeout".
 */
void hs_connection_note_loss(hs_connection_kind kind, uint64_t age_ms, const char *noticed_by);

/** Returns the number of connections of a kind lost since the start of the process. */
uint64_t hs_connection_loss_count(hs_connection_kind kind);

/**
 * Returns the idle time in ms from which a connection is not reused for a request that must not run
 * twice; UINT32_MAX: no limit. What silences one connection, such as a failed network path or a
 * restarted NAT device, often silences others: those that were idle when the last loss was noticed
 * are not reused. @p once_idle_ms: see hs_connection_timeouts. @p lost_ms: monotonic time of the
 * last loss; 0: none.
 */
uint32_t hs_connection_max_idle_ms(uint32_t once_idle_ms, uint64_t lost_ms, uint64_t now_ms);

/** The same for connections of @p kind at this time. */
uint32_t hs_connection_current_max_idle_ms(hs_connection_kind kind);

#endif
