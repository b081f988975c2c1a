/**
 * @file connection_plan.h
 * How many connections each listener may have, so that descriptors never run out: without one, no
 * listener could even say so. A pure function.
 */
#ifndef HS_HTTP_CONNECTION_PLAN_H
#define HS_HTTP_CONNECTION_PLAN_H

#include <stdint.h>

/** Connections open at one time. */
typedef struct {
    uint32_t front; /**< Callers; each may need others to an engine as well. */
    uint32_t peers; /**< Other daemons. */
    uint32_t other; /**< Each of the others: readiness, resolving, metrics. */
} hs_connection_plan;

/**
 * @p descriptors: that the process may have open. @p per_request: of them, what one caller's
 * request needs, its connection and what goes out to an engine.
 */
hs_connection_plan hs_connection_plan_make(uint32_t descriptors, uint32_t per_request);

#endif
