/**
 * @file route.h
 * Chooses an engine for one request. No state except the caller's random generator.
 *
 * Compares the scores of the two engines that probably have the prompt's prefix cached and of two
 * random engines. The score is the number of online requests in flight, plus a cost for another
 * zone and for a missing model, minus a bonus for a cached prefix.
 */
#ifndef HS_ROUTING_ROUTE_H
#define HS_ROUTING_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *engine_id;
    uint32_t online_in_flight; /**< Estimated online requests of all daemons. */
    bool same_zone;
    bool holds_model;
    bool available;         /**< Not leaving, ejected, excluded or full. */
    uint64_t prefix_weight; /**< Hash of prefix and engine; the two highest are affine. */
} hs_route_candidate;

/** Reason of a choice, for logs and `explain`. */
typedef enum {
    HS_ROUTE_NONE,         /**< No candidate is available. */
    HS_ROUTE_ONLY_ONE,     /**< One candidate is available. */
    HS_ROUTE_PREFIX,       /**< Lowest score, by an engine affine to the prefix. */
    HS_ROUTE_LEAST_LOADED, /**< Lowest score, by a random engine. */
} hs_route_reason;

typedef struct {
    int index; /**< Index of the candidate; -1 with HS_ROUTE_NONE. */
    hs_route_reason reason;
    double score;
    uint32_t available_count;
} hs_route_choice;

/** Chooses one of @p count candidates. */
hs_route_choice hs_route_pick(const hs_route_candidate *candidates, uint32_t count, GRand *random);

const char *hs_route_reason_name(hs_route_reason reason);

#endif
