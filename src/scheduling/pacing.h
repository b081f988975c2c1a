/**
 * @file pacing.h
 * How many batch items an engine may run now. Pure.
 *
 * Batch fills an engine that has no online requests. As soon as one is noticed, all but a few
 * items step aside; full batch returns once the engine has been free of online requests for a
 * hold time, since counters that paused for a moment tend to come back.
 */
#ifndef HS_SCHEDULING_PACING_H
#define HS_SCHEDULING_PACING_H

#include <stdint.h>

typedef struct {
    uint32_t max_batch;     /**< Items on an engine without online requests. */
    uint32_t beside_online; /**< Items that stay beside online requests: the knob of the desks. */
    uint32_t idle_hold_ms;
} hs_pacing_settings;

typedef struct {
    uint32_t online;          /**< Online requests now on the engine. */
    uint64_t online_ended_ms; /**< When the last of them ended; 0: never any. */
} hs_pacing_view;

/** Batch items allowed on the engine at @p now_ms. */
uint32_t hs_pacing_limit(const hs_pacing_settings *settings, const hs_pacing_view *view,
                         uint64_t now_ms);

#endif
