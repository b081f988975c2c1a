/**
 * @file caller_age.h
 * How long ago a caller first asked, told by what is left of its time.
 *
 * Each try of a caller has an id of its own, and nothing says that it was refused before. But the
 * time-out it states is what is left of its time: against the longest that callers of the route
 * state of late, it tells how much is over. A caller with less time from the start looks like one
 * that comes back; where a place is free that changes nothing.
 */
#ifndef HS_ONLINE_CALLER_AGE_H
#define HS_ONLINE_CALLER_AGE_H

#include <stdint.h>

/** What callers of one route state. Zero-initialise. */
typedef struct {
    uint64_t longest_ms; /**< Longest time-out of late; 0: none was stated. */
} hs_caller_age;

/**
 * Note a caller's time-out and answer how much of its time is over, in ms. 0: it stated none, or
 * the longest. Pure but for @p age.
 */
uint64_t hs_caller_age_note(hs_caller_age *age, uint64_t timeout_ms);

typedef struct hs_caller_ages hs_caller_ages;

/** Ages by route; shared by threads. */
hs_caller_ages *hs_caller_ages_new(void);
void hs_caller_ages_free(hs_caller_ages *ages);

/** As hs_caller_age_note for a route by its name. */
uint64_t hs_caller_ages_note(hs_caller_ages *ages, const char *route, uint64_t timeout_ms);

#endif
