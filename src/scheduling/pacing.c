/** @file pacing.c  See pacing.h. */
#include "scheduling/pacing.h"

#include <stdbool.h>

static uint32_t min_u32(uint32_t left, uint32_t right) {
    return left < right ? left : right;
}

hs_pacing_limits hs_pacing_compute_limits(const hs_pacing_settings *settings,
                                          const hs_pacing_view *view, uint64_t now_ms) {
    bool held =
        view->online_ended_ms != 0 && now_ms < view->online_ended_ms + settings->idle_hold_ms;
    if (view->online == 0 && !held)
        return (hs_pacing_limits){.running = settings->max_batch, .start = settings->max_batch};
    uint32_t running = min_u32(settings->max_beside_online, settings->max_batch);
    return (hs_pacing_limits){.running = running,
                              .start = min_u32(settings->max_start_beside_online, running)};
}

uint32_t hs_pacing_allowed_start_count(const hs_pacing_settings *settings, uint64_t last_start_ms,
                                       uint64_t now_ms) {
    if (settings->start_interval_ms == 0)
        return UINT32_MAX;
    return now_ms >= last_start_ms + settings->start_interval_ms ? 1 : 0;
}
