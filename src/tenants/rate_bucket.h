/**
 * @file rate_bucket.h
 * A token bucket that limits requests by rate and burst. Pure; times in ms of one clock.
 */
#ifndef HS_TENANTS_RATE_BUCKET_H
#define HS_TENANTS_RATE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** At most rate_per_s * t + capacity requests are admitted in any t seconds. */
typedef struct {
    double rate_per_s;
    double capacity;
} hs_rate_limit;

typedef struct {
    double tokens; /**< Tokens as of at_ms. */
    uint64_t at_ms;
    uint64_t last_retry_ms; /**< Latest retry time given to a refused caller. */
} hs_rate_bucket;

/** Returns a bucket with the tokens accrued in @p age_ms, at most its capacity. */
hs_rate_bucket hs_rate_bucket_new(const hs_rate_limit *limit, uint64_t age_ms, uint64_t now_ms);

/** Takes a token. Returns false if there is none. */
bool hs_rate_bucket_take(hs_rate_bucket *bucket, const hs_rate_limit *limit, uint64_t now_ms);

/**
 * Returns the time in ms from now after which a caller that is refused now should retry. Callers
 * refused one after the other get times one token apart, so that each finds a token. At most
 * HS_MAX_RATE_RETRY_AFTER_MS.
 */
uint64_t hs_rate_bucket_schedule_retry(hs_rate_bucket *bucket, const hs_rate_limit *limit,
                                       uint64_t now_ms);

/** Longest retry time given to callers, the default time for which callers retry. */
#define HS_MAX_RATE_RETRY_AFTER_MS 5000

/** Reports whether the bucket is full, so that a new bucket is equivalent. */
bool hs_rate_bucket_is_full(const hs_rate_bucket *bucket, const hs_rate_limit *limit,
                            uint64_t now_ms);

#endif
