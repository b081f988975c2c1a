/**
 * @file pacing.h
 * Limits for the batch items that run and start on one engine. Pure functions.
 *
 * An engine without online requests runs up to max_batch items. Online requests reduce the limit to
 * max_beside_online, and the limit for starts further, since the prefill of a new item delays a
 * decoding step more than a running item does. The full limit applies again after the engine had
 * no online requests for idle_hold_ms, so that short pauses between requests cause no preemptions.
 */
#ifndef HS_SCHEDULING_PACING_H
#define HS_SCHEDULING_PACING_H

#include <stdint.h>

typedef struct {
    uint32_t max_batch;               /**< Maximum items without online requests. */
    uint32_t max_beside_online;       /**< Maximum running items beside online requests. */
    uint32_t max_start_beside_online; /**< Running items below which new ones start. */
    uint32_t idle_hold_ms;            /**< Time without online requests before full batch. */
    uint32_t start_interval_ms;       /**< Minimum time between two starts; 0: none. */
} hs_pacing_settings;

typedef struct {
    uint32_t online;          /**< Online requests on the engine. */
    uint64_t online_ended_ms; /**< Time at which the last request ended; 0: never. */
} hs_pacing_view;

typedef struct {
    uint32_t running; /**< Running items above this limit are preempted. */
    uint32_t start;   /**< New items start while fewer than this number run. */
} hs_pacing_limits;

hs_pacing_limits hs_pacing_compute_limits(const hs_pacing_settings *settings,
                                          const hs_pacing_view *view, uint64_t now_ms);

/**
 * Returns the number of items that may start after a start at @p last_start_ms (0: none). The
 * interval spreads the prefills of items, since simultaneous prefills delay online requests.
 */
uint32_t hs_pacing_allowed_start_count(const hs_pacing_settings *settings, uint64_t last_start_ms,
                                       uint64_t now_ms);

#endif
