/** @file read_times.c  See read_times.h. */
#include "store/read_times.h"

#include <glib.h>

/** Weight of a response time that is shorter than the recent one. */
#define FALL_WEIGHT 0.2
/** Multiple of the recent response time after which a read is sent again. */
#define REPEAT_FACTOR 2.0
/** The same if little time is left. */
#define LEAST_REPEAT_FACTOR 1.25
/** A read on a used connection is sent again after this part of its time. */
#define USED_TIME_DIVISOR 2
/** Multiple of the recent response time for a read and its repetition. */
#define LIMIT_FACTOR 3.0
#define MAX_DOUBLINGS 8

void hs_read_times_note(hs_read_times *times, uint64_t took_ms) {
    double change_ms = (double)took_ms - times->recent_ms;
    times->recent_ms += change_ms > 0 ? change_ms : change_ms * FALL_WEIGHT;
}

uint64_t hs_read_times_repeat_ms(const hs_read_times *times, bool is_used, uint64_t left_ms) {
    uint64_t repeat_ms = (uint64_t)CLAMP(times->recent_ms * REPEAT_FACTOR, HS_READ_MIN_REPEAT_MS,
                                         HS_READ_MAX_REPEAT_MS);
    uint64_t least_ms = (uint64_t)(times->recent_ms * LEAST_REPEAT_FACTOR);
    return is_used ? MIN(repeat_ms, MAX(left_ms / USED_TIME_DIVISOR, least_ms)) : repeat_ms;
}

uint64_t hs_read_times_limit_ms(const hs_read_times *times, uint64_t usual_ms, uint32_t attempt) {
    uint64_t first_ms = MAX((uint64_t)(times->recent_ms * LIMIT_FACTOR), usual_ms);
    return MIN(first_ms << MIN(attempt, MAX_DOUBLINGS), MAX(usual_ms, HS_READ_MAX_LIMIT_MS));
}
