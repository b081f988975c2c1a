/** @file item_estimate.c  See item_estimate.h. */
#include "jobs/item_estimate.h"

#include <math.h>

/** Weight of the latest item in the exponential means: about the last ten items count. */
#define SAMPLE_WEIGHT 0.1
/** Minimum share of its expected events that an item is assumed to have left. */
#define MIN_REMAINING_SHARE 0.05

static void update_mean(double *value, double sample) {
    *value += (sample - *value) * (*value > 0 ? SAMPLE_WEIGHT : 1.0);
}

void hs_item_pace_note(hs_item_pace *pace, uint32_t tokens, uint64_t events, uint64_t run_events,
                       uint64_t run_ms) {
    if (tokens > 0 && events > 0)
        update_mean(&pace->events_per_token, (double)events / tokens);
    if (run_events > 0 && run_ms > 0)
        update_mean(&pace->ms_per_event, (double)run_ms / (double)run_events);
}

uint64_t hs_item_pace_remaining_ms(const hs_item_pace *pace, uint32_t tokens, uint64_t events) {
    double expected = pace->events_per_token * tokens;
    double remaining = fmax(expected - (double)events, expected * MIN_REMAINING_SHARE);
    return (uint64_t)(remaining * pace->ms_per_event);
}
