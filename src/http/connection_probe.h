/**
 * @file connection_probe.h
 * Checks whether a listener of this process accepts connections, by sending it a request. The check
 * covers a full listen queue, the connection limit, and a lack of descriptors or threads.
 */
#ifndef HS_HTTP_CONNECTION_PROBE_H
#define HS_HTTP_CONNECTION_PROBE_H

#include "http/client_connection.h"
#include "http/listener.h"

/** The address and the request of a probe. */
typedef struct {
    uint32_t address; /**< IPv4, host order. */
    uint16_t port;
    const char *target;    /**< Path to request. Any response status is a success. */
    hs_listener *listener; /**< Answers the probe without its handler; NULL: the handler answers. */
} hs_connection_probe;

/**
 * Connects and waits for a complete response. Returns HS_STEP_COMPLETE if the listener accepted the
 * connection and responded. Otherwise the result is how the probe failed: HS_STEP_DEADLINE at
 * @p deadline, HS_STEP_CUT for example without a free descriptor or thread. Only one probe of a
 * listener may run at a time.
 */
hs_step hs_connection_probe_run(const hs_connection_probe *probe, hs_deadline deadline);

#endif
