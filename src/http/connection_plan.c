/** @file connection_plan.c  See connection_plan.h. */
#include "http/connection_plan.h"

#include <glib.h>

/** Kept for what is no listener's: one in four, for kept connections to engines, the store, logs.
 */
#define KEPT_PARTS 4
/** Connections of other daemons: one in eight, a call each; at most some from each of 360 daemons.
 */
#define PEERS_PARTS 8
/** Their bounds, in connections: a small fleet's calls, and some three from each of 360 daemons. */
#define PEERS_LEAST 16
#define PEERS_MOST 1024 /* Connections. */
/** Each of the others: one in 32; a question each of the platform's and of callers that resolve. */
#define OTHER_PARTS 32
/** Their bounds, in connections. Chosen, not measured. */
#define OTHER_LEAST 8
#define OTHER_MOST 128 /* Connections. */
/** Readiness, resolving, metrics. */
#define OTHER_LISTENERS 3
/** Callers at least, whatever the limit: fewer would serve nobody. Chosen, not measured. */
#define FRONT_LEAST 8
/** Each has a thread: with some 60 kB a connection, a hundred and twenty megabytes. */
#define FRONT_MOST 2048

hs_connection_plan hs_connection_plan_make(uint32_t descriptors, uint32_t per_request) {
    hs_connection_plan plan = {
        .peers = CLAMP(descriptors / PEERS_PARTS, PEERS_LEAST, PEERS_MOST),
        .other = CLAMP(descriptors / OTHER_PARTS, OTHER_LEAST, OTHER_MOST),
    };
    uint32_t taken = descriptors / KEPT_PARTS + plan.peers + OTHER_LISTENERS * plan.other;
    uint32_t left = descriptors > taken ? descriptors - taken : 0;
    plan.front = CLAMP(left / per_request, FRONT_LEAST, FRONT_MOST);
    return plan;
}
