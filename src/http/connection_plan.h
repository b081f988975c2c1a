/**
 * @file connection_plan.h
 * Computes the connection limit of each listener from the descriptor limit of the process. Without
 * a free descriptor a listener cannot accept a connection, not even to refuse a request. Pure
 * function.
 */
#ifndef HS_HTTP_CONNECTION_PLAN_H
#define HS_HTTP_CONNECTION_PLAN_H

#include <stdint.h>

/** Maximum numbers of open connections. */
typedef struct {
    uint32_t front; /**< The front listener. Each caller may also need connections to engines. */
    uint32_t peers; /**< The listener for other daemons. */
    uint32_t other; /**< Each of the listeners for readiness, resolving and metrics. */
} hs_connection_plan;

/**
 * Divides the descriptors among the listeners. @p descriptors: descriptor limit of the process.
 * @p per_request: descriptors that one caller's request needs, for its own connection and for those
 * to engines.
 */
hs_connection_plan hs_connection_plan_make(uint32_t descriptors, uint32_t per_request);

#endif
