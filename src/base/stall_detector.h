/**
 * @file stall_detector.h
 * Detects stalls of the process: times for which it was stopped or starved, or the machine was
 * suspended, after which cached state may be stale. A thread with a short period calls
 * hs_stall_detector_check in each round. Thread-safe between hs_stall_detector_init and
 * hs_stall_detector_clear.
 */
#ifndef HS_BASE_STALL_DETECTOR_H
#define HS_BASE_STALL_DETECTOR_H

#include <glib.h>
#include <stdint.h>

/**
 * Number of buckets in the histogram of stall lengths. The first ends at twice
 * HS_MIN_STALL_MS, each further one at twice the one before; the last has no upper bound.
 */
#define HS_STALL_BUCKET_COUNT 6
/** Minimum time between two checks, in ms, that counts as a stall. */
#define HS_MIN_STALL_MS 1000

/** Zero-initialise before hs_stall_detector_init. The lock protects the other fields. */
typedef struct {
    GMutex lock;
    uint64_t last_check_ms; /**< 0: no check yet. */
    uint64_t suspended_ms;  /**< hs_clock_suspended_ms at the last check. */
    uint64_t last_stall_ms; /**< Time of the last check that detected a stall; 0: none. */
    uint64_t counts[HS_STALL_BUCKET_COUNT]; /**< Stalls by length. */
} hs_stall_detector;

void hs_stall_detector_init(hs_stall_detector *watch);
void hs_stall_detector_clear(hs_stall_detector *watch);

/** Checks the time since the last check; logs and counts a stall. */
void hs_stall_detector_check(hs_stall_detector *watch);

/** Returns the time of hs_clock_monotonic_ms at which the last stall was detected; 0: none. */
uint64_t hs_stall_detector_get_last_stall_ms(hs_stall_detector *watch);

/** Returns the metrics in text format. Free with g_free. */
char *hs_stall_detector_describe(hs_stall_detector *watch);

#endif
