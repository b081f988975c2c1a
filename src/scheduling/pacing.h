/**
 * @file pacing.h
 * How many batch items an engine may run, and up to how many it may start, now. Pure.
 *
 * Batch fills an engine that has no online requests. As soon as one is noticed, all but a few
 * items step aside, and no new one starts beside it, since an item's prefill makes a step far
 * longer than its decoding does. Full batch returns once the engine has been free of online
 * requests for a hold time, since counters that paused for a moment tend to come back.
 */
#ifndef HS_SCHEDULING_PACING_H
#define HS_SCHEDULING_PACING_H

#include <stdint.h>

typedef struct {
    uint32_t max_batch;     /**< Items on an engine without online requests. */
    uint32_t beside_online; /**< Items that stay beside online requests: the knob of the desks. */
    uint32_t start_beside;  /**< Items up to which new ones start beside online requests. */
    uint32_t idle_hold_ms;
    uint32_t start_interval_ms; /**< At most one item starts in such a time; 0: no limit. */
} hs_pacing_settings;

typedef struct {
    uint32_t online;          /**< Online requests now on the engine. */
    uint64_t online_ended_ms; /**< When the last of them ended; 0: never any. */
} hs_pacing_view;

typedef struct {
    uint32_t running; /**< Items above it must step aside. */
    uint32_t start;   /**< New items start while fewer than this run. */
} hs_pacing_limits;

hs_pacing_limits hs_pacing_limits_of(const hs_pacing_settings *settings, const hs_pacing_view *view,
                                     uint64_t now_ms);

/**
 * Items that may start now, the last one having started at @p last_start_ms (0: never). Items that
 * return together would prefill together, and an online request that comes then would wait.
 */
uint32_t hs_pacing_starts(const hs_pacing_settings *settings, uint64_t last_start_ms,
                          uint64_t now_ms);

#endif
