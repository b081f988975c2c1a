/**
 * @file listener_probe.h
 * Whether a listener of the own process takes connections: found out by being its caller. Only
 * that sees all of it: a full queue, a limit that is reached, descriptors or threads that lack.
 */
#ifndef HS_HTTP_LISTENER_PROBE_H
#define HS_HTTP_LISTENER_PROBE_H

#include "http/client_connection.h"
#include "http/listener.h"

/**
 * Connect to @p listener at an IPv4 address and port and wait for its answer.
 * HS_STEP_COMPLETE: it took the connection. Otherwise how that failed: HS_STEP_DEADLINE, at
 * @p deadline, or HS_STEP_CUT, without an own descriptor or thread. One probe at a time.
 */
hs_step hs_listener_probe(hs_listener *listener, uint32_t address, uint16_t port,
                          hs_deadline deadline);

#endif
