/**
 * @file caller_age.h
 * Estimates how long ago a caller first sent a request, from the timeout it states.
 *
 * Each attempt of a caller has its own request id, and nothing marks it as a retry. But the stated
 * timeout is the time the caller has left, so its difference from the longest recent timeout on
 * the route is the time already spent. A caller that states a short timeout from the start is
 * taken for a returning one, which has no effect while slots are free.
 */
#ifndef HS_ONLINE_CALLER_AGE_H
#define HS_ONLINE_CALLER_AGE_H

#include <stdint.h>

/** Timeouts that callers of one route state. Zero-initialise. */
typedef struct {
    uint64_t longest_ms; /**< Longest recent timeout, decaying; 0: none was stated. */
} hs_caller_age;

/**
 * Records a caller's timeout and returns how much of the caller's time has passed, in ms. Returns 0
 * if the caller stated no timeout (@p timeout_ms is 0) or the longest one. Not thread-safe.
 */
uint64_t hs_caller_age_note(hs_caller_age *age, uint64_t timeout_ms);

typedef struct hs_caller_ages hs_caller_ages;

/** Timeouts of all routes. Thread-safe. */
hs_caller_ages *hs_caller_ages_new(void);
void hs_caller_ages_free(hs_caller_ages *ages);

/** Like hs_caller_age_note, for the route with this name. */
uint64_t hs_caller_ages_note(hs_caller_ages *ages, const char *route, uint64_t timeout_ms);

#endif
