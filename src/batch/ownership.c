/** @file ownership.c  See ownership.h. */
#include "batch/ownership.h"

#define MAX_LOSSES 6
#define QUIET_MS 60000

static uint64_t claim_wait_ms(const hs_ownership_settings *settings,
                              const hs_ownership_history *history, uint64_t now_ms) {
    bool quiet = history->losses == 0 || now_ms > history->lost_at_ms + QUIET_MS;
    uint32_t doublings = quiet ? 0 : history->losses;
    return (uint64_t)settings->settle_ms << doublings;
}

hs_ownership_action hs_ownership_decide(const hs_ownership_settings *settings,
                                        const hs_ownership_view *view,
                                        hs_ownership_history *history, uint64_t now_ms) {
    bool should_claim =
        !view->self_owns && view->self_is_first && !view->owner_is_known && !view->self_is_leaving;
    bool should_release = view->self_owns && (!view->self_is_first || view->self_is_leaving);
    if (!should_claim)
        history->first_since_ms = 0;
    else if (history->first_since_ms == 0)
        history->first_since_ms = now_ms;
    if (!should_release)
        history->not_first_since_ms = 0;
    else if (history->not_first_since_ms == 0)
        history->not_first_since_ms = now_ms;
    if (should_release && view->self_is_leaving)
        return HS_OWNERSHIP_RELEASE;
    if (should_release && now_ms >= history->not_first_since_ms + settings->handover_ms)
        return HS_OWNERSHIP_RELEASE;
    if (should_claim &&
        now_ms >= history->first_since_ms + claim_wait_ms(settings, history, now_ms))
        return HS_OWNERSHIP_CLAIM;
    return HS_OWNERSHIP_KEEP;
}

void hs_ownership_note_loss(hs_ownership_history *history, uint64_t now_ms) {
    if (now_ms > history->lost_at_ms + QUIET_MS)
        history->losses = 0;
    if (history->losses < MAX_LOSSES)
        history->losses++;
    history->lost_at_ms = now_ms;
}
