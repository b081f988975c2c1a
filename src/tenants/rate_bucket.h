/**
 * @file rate_bucket.h
 * A token bucket: requests at a rate, and some at one time. Pure; times in ms of one clock.
 */
#ifndef HS_TENANTS_RATE_BUCKET_H
#define HS_TENANTS_RATE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** How many requests may pass: in any time t at most rate x t + capacity. */
typedef struct {
    double rate_per_s;
    double capacity;
} hs_rate_limit;

typedef struct {
    double tokens;
    uint64_t at_ms;       /**< As of when. */
    uint64_t promised_ms; /**< The last time at which a refused caller was told to return. */
} hs_rate_bucket;

/** A bucket that holds what came in for @p age_ms, at most its capacity. */
hs_rate_bucket hs_rate_bucket_new(const hs_rate_limit *limit, uint64_t age_ms, uint64_t now_ms);

/** Take a token; false: there is none. */
bool hs_rate_bucket_take(hs_rate_bucket *bucket, const hs_rate_limit *limit, uint64_t now_ms);

/**
 * When a caller that was refused now should return, in ms from now: callers refused one after the
 * other are told times one token apart, so that each finds a token. At most
 * HS_RATE_RETURN_MOST_MS, where nobody can be told better.
 */
uint64_t hs_rate_bucket_promise(hs_rate_bucket *bucket, const hs_rate_limit *limit,
                                uint64_t now_ms);

/** Longest time in ms after which a caller is told to return: the default of callers' patience. */
#define HS_RATE_RETURN_MOST_MS 5000

/** Whether the bucket is full: forgetting it loses nothing. */
bool hs_rate_bucket_is_full(const hs_rate_bucket *bucket, const hs_rate_limit *limit,
                            uint64_t now_ms);

#endif
