/**
 * @file retry_after.h
 * When a caller that is refused should come back, worked out from what is observed. Pure.
 */
#ifndef HS_ONLINE_RETRY_AFTER_H
#define HS_ONLINE_RETRY_AFTER_H

#include <stdint.h>

/**
 * Expected rest of an absence, in ms, that has lasted @p absent_ms so far when the one before
 * lasted @p last_ms (0: none was seen): up to the length of the last one, and beyond it as long
 * again as it has lasted.
 */
uint64_t hs_retry_after_absence_ms(uint64_t absent_ms, uint64_t last_ms);

/**
 * Expected time in ms until @p excess units have drained, where @p drained units did within the
 * @p observed_ms before. 0 drained or observed: not known, answers @p unknown_ms.
 */
uint64_t hs_retry_after_drain_ms(uint64_t excess, uint64_t drained, uint64_t observed_ms,
                                 uint64_t unknown_ms);

/**
 * The time to tell one caller, in ms: from @p expected_ms up to twice that, evenly over callers by
 * @p caller, a hash of what names the caller's request, so that callers who were refused together
 * do not return together. At least HS_RETRY_AFTER_LEAST_MS.
 */
uint64_t hs_retry_after_spread_ms(uint64_t expected_ms, uint64_t caller);

/** Least time to tell, in ms: a new connection and a request's way there and back take as long. */
#define HS_RETRY_AFTER_LEAST_MS 20

#endif
