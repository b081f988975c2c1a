/** @file queue_priority.c  See queue_priority.h. */
#include "online/queue_priority.h"

#include <math.h>

/** Highest band; it holds all greater values. */
#define MAX_BAND 64

/** Groups slot counts by powers of two, since small differences are noise. */
static int band_of(double used_slots) {
    if (!(used_slots > 1))
        return 0;
    return 1 + (int)fmin(log2(used_slots), MAX_BAND);
}

static int compare(uint64_t one, uint64_t other) {
    return (one > other) - (one < other);
}

int hs_queue_priority_compare(const hs_queue_priority *one, const hs_queue_priority *other) {
    if (one->is_in_time != other->is_in_time)
        return one->is_in_time ? -1 : 1;
    int order = compare(one->rank, other->rank);
    if (order == 0)
        order = band_of(one->used_slots) - band_of(other->used_slots);
    if (order == 0)
        order = compare(one->deadline_ms, other->deadline_ms);
    return order != 0 ? order : compare(one->arrived_ms, other->arrived_ms);
}

bool hs_queue_priority_is_behind(const hs_queue_priority *other,
                                 const hs_queue_priority *priority) {
    bool is_known = priority->used_slots > 0;
    return is_known && other->rank >= priority->rank &&
           band_of(other->used_slots) > band_of(priority->used_slots);
}
