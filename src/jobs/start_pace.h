/**
 * @file start_pace.h
 * Limits how many of the items for which a daemon estimates free capacity it starts in one pass.
 *
 * Estimates lag behind by some hundred ms, and free slots of a service are not free on each engine.
 * While online demand fills the engines, arbiters would reject the started items, or preempt them
 * soon, in each pass of each owner. If more starts fail than succeed, the share of the capacity
 * that is used is halved, down to one start in several passes; if more succeed, the share is
 * multiplied by four. If the estimated free slots clearly exceed those at the last failure, all of
 * them are used. Pure functions; the caller synchronises access.
 */
#ifndef HS_JOBS_START_PACE_H
#define HS_JOBS_START_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** State of one throttle; zero-initialise. */
typedef struct {
    double withheld_share;     /**< Share of the capacity that is not used: 0 to below 1. */
    double fractional_starts;  /**< Fraction of a start carried over from earlier passes. */
    double failure_free_slots; /**< Estimated free slots of the service at the last failure. */
    uint32_t succeeded;        /**< Starts that succeeded since the last pass. */
    uint32_t failed;           /**< Starts that failed since the last pass. */
} hs_start_throttle;

/** Records the result of a start. */
void hs_start_throttle_record(hs_start_throttle *throttle, bool has_succeeded);

/**
 * Begins a pass. Returns how many of @p capacity items may start, given @p free_slots estimated
 * for the service; all of them unless starts have failed recently.
 */
uint32_t hs_start_throttle_begin_pass(hs_start_throttle *throttle, uint32_t capacity,
                                      double free_slots);

#endif
