/**
 * @file stop_admission.h
 * Decides whether a request is still sent to an engine while this process stops. Pure functions.
 */
#ifndef HS_ONLINE_STOP_ADMISSION_H
#define HS_ONLINE_STOP_ADMISSION_H

#include "online/run_lengths.h"

#include <stdbool.h>
#include <stdint.h>

/** Input of the decision. */
typedef struct {
    uint64_t left_ms;         /**< Time until requests that are still open are ended. */
    uint64_t request_left_ms; /**< Time until the request's own deadline. */
    bool is_accepting;        /**< Callers may not know yet that this process stops. */
    hs_run_length_view runs;  /**< The route's requests, compared with left_ms or, when callers
                                   know, with hs_stop_admission_late_limit_ms. */
} hs_stop_admission_view;

/**
 * Returns the length that no recent request of a route may exceed for another one to be sent late
 * in a stop. @p count: of recent requests; a few do not tell how long the next one takes.
 */
uint64_t hs_stop_admission_late_limit_ms(uint64_t left_ms, uint32_t count);

/**
 * Returns whether the request is to be sent: while callers may not know of the stop, if it probably
 * ends in time; after that, only if no recent request of its route exceeds the limit.
 */
bool hs_stop_admission_may_send(const hs_stop_admission_view *view);

#endif
