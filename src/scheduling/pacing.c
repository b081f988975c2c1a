/** @file pacing.c  See pacing.h. */
#include "scheduling/pacing.h"

uint32_t hs_pacing_limit(const hs_pacing_settings *settings, const hs_pacing_view *view,
                         uint64_t now_ms) {
    uint32_t beside = settings->beside_online < settings->max_batch ? settings->beside_online
                                                                    : settings->max_batch;
    if (view->online > 0)
        return beside;
    if (view->online_ended_ms != 0 && now_ms < view->online_ended_ms + settings->idle_hold_ms)
        return beside;
    return settings->max_batch;
}
