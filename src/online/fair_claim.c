/** @file fair_claim.c  See fair_claim.h. */
#include "online/fair_claim.h"

#include <math.h>

/** Groups within this ratio of use are equal: a band's width. */
#define BAND_RATIO 2
/** Slots in the lowest band. */
#define BAND_LEAST 1

/** 0 for those that hold least. Order by the smallest difference would be order by its noise. */
static int band_of(double used_slots) {
    if (!(used_slots > BAND_LEAST))
        return 0;
    return 1 + (int)floor(fmin(log(used_slots / BAND_LEAST) / log(BAND_RATIO), INT16_MAX));
}

static int compare(uint64_t one, uint64_t other) {
    return (one > other) - (one < other);
}

int hs_fair_claim_compare(const hs_fair_claim *one, const hs_fair_claim *other) {
    if (one->is_in_time != other->is_in_time)
        return one->is_in_time ? -1 : 1;
    int order = band_of(one->used_slots) - band_of(other->used_slots);
    if (order == 0)
        order = compare(one->rank, other->rank);
    if (order == 0)
        order = compare(one->deadline_ms, other->deadline_ms);
    return order != 0 ? order : compare(one->arrived_ms, other->arrived_ms);
}
