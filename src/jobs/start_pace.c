/** @file start_pace.c  See start_pace.h. */
#include "jobs/start_pace.h"

#include <glib.h>
#include <math.h>

/** Minimum mean number of starts in a pass, so that recovery is always detected. */
#define MIN_STARTS_PER_PASS 0.2
/** Minimum share of the capacity that is used: three successful passes restore the full share. */
#define MIN_STARTED_SHARE (1.0 / 64)
/** Factor by which the share grows after a successful pass: growth is faster than decrease. */
#define GROWTH_FACTOR 4.0
/** Growth of the free slots since the last failure from which all capacity is used again. */
#define MORE_CAPACITY_FACTOR 1.5

void hs_start_throttle_record(hs_start_throttle *throttle, bool has_succeeded) {
    throttle->succeeded += has_succeeded;
    throttle->failed += !has_succeeded;
}

/** Adapts the share of the capacity that is used to the results since the last pass. */
static void update_share(hs_start_throttle *throttle, double free_slots) {
    double share = 1 - throttle->withheld_share;
    if (throttle->failed > throttle->succeeded) {
        share = fmax(share / 2, MIN_STARTED_SHARE);
        throttle->failure_free_slots = free_slots;
    } else if (throttle->succeeded > 0) {
        share = share * GROWTH_FACTOR;
    }
    throttle->withheld_share = 1 - fmin(share, 1);
    throttle->succeeded = 0;
    throttle->failed = 0;
}

uint32_t hs_start_throttle_begin_pass(hs_start_throttle *throttle, uint32_t capacity,
                                      double free_slots) {
    update_share(throttle, free_slots);
    if (throttle->withheld_share > 0 &&
        free_slots > throttle->failure_free_slots * MORE_CAPACITY_FACTOR + 1)
        throttle->withheld_share = 0;
    if (throttle->withheld_share <= 0 || capacity == 0) {
        throttle->fractional_starts = 0;
        return capacity;
    }
    double starts = fmax(capacity * (1 - throttle->withheld_share), MIN_STARTS_PER_PASS);
    throttle->fractional_starts = fmin(throttle->fractional_starts, 1) + starts;
    uint32_t allowed = MIN((uint32_t)throttle->fractional_starts, capacity);
    throttle->fractional_starts -= allowed;
    return allowed;
}
