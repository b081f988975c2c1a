/** @file item_estimate.c  See item_estimate.h. */
#include "jobs/item_estimate.h"

#include <math.h>

/** Weight of the latest item in the means, of 1: a mean over some ten items. */
#define WEIGHT 0.1
/** Share of its expected events that an item is always taken to have before it. */
#define LEAST_SHARE 0.05

static void blend(double *value, double sample) {
    *value += (sample - *value) * (*value > 0 ? WEIGHT : 1.0);
}

void hs_item_pace_note(hs_item_pace *pace, uint32_t tokens, uint64_t events, uint64_t run_events,
                       uint64_t run_ms) {
    if (tokens > 0 && events > 0)
        blend(&pace->events_per_token, (double)events / tokens);
    if (run_events > 0 && run_ms > 0)
        blend(&pace->ms_per_event, (double)run_ms / (double)run_events);
}

uint64_t hs_item_pace_remaining_ms(const hs_item_pace *pace, uint32_t tokens, uint64_t events) {
    double expected = pace->events_per_token * tokens;
    double rest = fmax(expected - (double)events, expected * LEAST_SHARE);
    return (uint64_t)(rest * pace->ms_per_event);
}
