/**
 * @file retry_after.h
 * Computes the Retry-After time of refused requests from observed rates. Pure functions; times are
 * in ms.
 */
#ifndef HS_ONLINE_RETRY_AFTER_H
#define HS_ONLINE_RETRY_AFTER_H

#include <stdint.h>

/**
 * Returns the expected remaining time of an absence that has lasted @p absent_ms: up to the length
 * of the previous one, @p last_ms (0: there was none), and after that as long again as it has
 * lasted.
 */
uint64_t hs_retry_after_absence_ms(uint64_t absent_ms, uint64_t last_ms);

/**
 * Returns the expected time until @p excess units have drained, at the rate of @p drained units in
 * @p observed_ms. Returns @p unknown_ms if either is 0.
 */
uint64_t hs_retry_after_drain_ms(uint64_t excess, uint64_t drained, uint64_t observed_ms,
                                 uint64_t unknown_ms);

/**
 * Returns the time to send to one caller: between @p expected_ms and twice that, at least
 * HS_RETRY_AFTER_MIN_MS. The time is spread by @p caller, a hash of the request's identity, so that
 * callers refused together do not return together.
 */
uint64_t hs_retry_after_spread_ms(uint64_t expected_ms, uint64_t caller);

/** Shortest Retry-After: about the time of a new connection and a round trip. */
#define HS_RETRY_AFTER_MIN_MS 20

#endif
