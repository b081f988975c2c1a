/**
 * @file route.h
 * The choice of an engine for one request. Pure: this is the line that picks an engine.
 *
 * Two engines that should hold the prompt's prefix and two random ones are compared by load;
 * another zone costs and a likely cached prefix saves as much as some requests in flight.
 */
#ifndef HS_ROUTING_ROUTE_H
#define HS_ROUTING_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *engine_id;
    uint32_t online_in_flight; /**< Best knowledge of online requests on the engine. */
    bool same_zone;
    bool holds_model;
    bool available;         /**< Not leaving, not ejected, not tried already, below its limit. */
    uint64_t prefix_weight; /**< Hash of prefix and engine: the highest two are affine. */
} hs_route_candidate;

/** Reason code of a choice, for logs and `explain`. */
typedef enum {
    HS_ROUTE_NONE,         /**< No candidate is available. */
    HS_ROUTE_ONLY_ONE,     /**< One candidate is available. */
    HS_ROUTE_PREFIX,       /**< Affine to the prefix and not too loaded. */
    HS_ROUTE_LEAST_LOADED, /**< Lowest score of those compared. */
} hs_route_reason;

typedef struct {
    int index; /**< Into the candidates; -1 with HS_ROUTE_NONE. */
    hs_route_reason reason;
    double score;
    uint32_t available_count;
} hs_route_choice;

/** Choose one of @p count candidates. */
hs_route_choice hs_route_pick(const hs_route_candidate *candidates, uint32_t count, GRand *random);

const char *hs_route_reason_name(hs_route_reason reason);

#endif
