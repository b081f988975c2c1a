/** @file connection_plan.c  See connection_plan.h. */
#include "http/connection_plan.h"

#include <glib.h>

/** Divisor for the descriptors reserved for idle connections to engines, the store and logs. */
#define RESERVED_DIVISOR 4
/** Divisor for the connections of other daemons, which make one call each; at most some from each
 * of 360 daemons. */
#define PEERS_DIVISOR 8
#define MIN_PEER_CONNECTIONS 16
#define MAX_PEER_CONNECTIONS 1024
/** Divisor for the connections of each other listener. */
#define OTHER_DIVISOR 32
#define MIN_OTHER_CONNECTIONS 8
#define MAX_OTHER_CONNECTIONS 128
/** Listeners for readiness, resolving and metrics. */
#define OTHER_LISTENERS 3
/** Callers' connections allowed even if the descriptor limit is too low for them. */
#define MIN_FRONT_CONNECTIONS 8
/** Bounds the memory of connections, as each has a thread: with some 60 kB each, 120 MB. */
#define MAX_FRONT_CONNECTIONS 2048

hs_connection_plan hs_connection_plan_make(uint32_t descriptors, uint32_t per_request) {
    hs_connection_plan plan = {
        .peers = CLAMP(descriptors / PEERS_DIVISOR, MIN_PEER_CONNECTIONS, MAX_PEER_CONNECTIONS),
        .other = CLAMP(descriptors / OTHER_DIVISOR, MIN_OTHER_CONNECTIONS, MAX_OTHER_CONNECTIONS),
    };
    uint32_t reserved = descriptors / RESERVED_DIVISOR + plan.peers + OTHER_LISTENERS * plan.other;
    uint32_t available = descriptors > reserved ? descriptors - reserved : 0;
    plan.front = CLAMP(available / per_request, MIN_FRONT_CONNECTIONS, MAX_FRONT_CONNECTIONS);
    return plan;
}
