/**
 * @file connection_probe.h
 * Whether a listener of the own process takes connections: found out by being its caller. Only
 * that sees all of it: a full queue, a limit that is reached, descriptors or threads that lack.
 */
#ifndef HS_HTTP_CONNECTION_PROBE_H
#define HS_HTTP_CONNECTION_PROBE_H

#include "http/client_connection.h"
#include "http/listener.h"

/** Where to connect, and what to ask there. */
typedef struct {
    uint32_t address; /**< IPv4, host order. */
    uint16_t port;
    const char *target;    /**< A path that any daemon answers, whatever the status. */
    hs_listener *listener; /**< Answers the probe past its handler; NULL: it has a path for it. */
} hs_connection_probe;

/**
 * Connect and wait for a whole answer. HS_STEP_COMPLETE: the connection was taken. Otherwise how
 * that failed: HS_STEP_DEADLINE, at @p deadline, or HS_STEP_CUT, without an own descriptor or
 * thread. One probe of a listener at a time.
 */
hs_step hs_connection_probe_run(const hs_connection_probe *probe, hs_deadline deadline);

#endif
