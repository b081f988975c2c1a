/** @file retry_after.c  See retry_after.h. */
#include "online/retry_after.h"

#include <glib.h>

uint64_t hs_retry_after_absence_ms(uint64_t absent_ms, uint64_t last_ms) {
    return absent_ms < last_ms ? last_ms - absent_ms : absent_ms;
}

uint64_t hs_retry_after_drain_ms(uint64_t excess, uint64_t drained, uint64_t observed_ms,
                                 uint64_t unknown_ms) {
    if (drained == 0 || observed_ms == 0)
        return unknown_ms;
    double each_ms = (double)observed_ms / (double)drained;
    return (uint64_t)(each_ms * (double)excess);
}

uint64_t hs_retry_after_spread_ms(uint64_t expected_ms, uint64_t caller) {
    uint64_t base_ms = MAX(expected_ms, HS_RETRY_AFTER_MIN_MS);
    return base_ms + caller % base_ms;
}
