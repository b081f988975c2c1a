/** @file rate_bucket.c  See rate_bucket.h. */
#include "tenants/rate_bucket.h"

#include <math.h>

#define MS_PER_S 1000.0

static double tokens_at(const hs_rate_bucket *bucket, const hs_rate_limit *limit, uint64_t now_ms) {
    double passed_ms = now_ms > bucket->at_ms ? (double)(now_ms - bucket->at_ms) : 0;
    return fmin(bucket->tokens + passed_ms / MS_PER_S * limit->rate_per_s, limit->capacity);
}

hs_rate_bucket hs_rate_bucket_new(const hs_rate_limit *limit, uint64_t age_ms, uint64_t now_ms) {
    double tokens = fmin((double)age_ms / MS_PER_S * limit->rate_per_s, limit->capacity);
    return (hs_rate_bucket){.tokens = tokens, .at_ms = now_ms};
}

bool hs_rate_bucket_take(hs_rate_bucket *bucket, const hs_rate_limit *limit, uint64_t now_ms) {
    bucket->tokens = tokens_at(bucket, limit, now_ms);
    bucket->at_ms = now_ms;
    if (bucket->tokens < 1)
        return false;
    bucket->tokens -= 1;
    return true;
}

uint64_t hs_rate_bucket_schedule_retry(hs_rate_bucket *bucket, const hs_rate_limit *limit,
                                       uint64_t now_ms) {
    if (limit->rate_per_s <= 0)
        return HS_MAX_RATE_RETRY_AFTER_MS;
    double missing = fmax(1 - tokens_at(bucket, limit, now_ms), 0);
    double first_ms = (double)now_ms + missing / limit->rate_per_s * MS_PER_S;
    double next_ms = (double)bucket->last_retry_ms + MS_PER_S / limit->rate_per_s;
    double latest_ms = (double)(now_ms + HS_MAX_RATE_RETRY_AFTER_MS);
    bucket->last_retry_ms = (uint64_t)fmin(fmax(first_ms, next_ms), latest_ms);
    return bucket->last_retry_ms - now_ms;
}

bool hs_rate_bucket_is_full(const hs_rate_bucket *bucket, const hs_rate_limit *limit,
                            uint64_t now_ms) {
    return tokens_at(bucket, limit, now_ms) >= limit->capacity;
}
