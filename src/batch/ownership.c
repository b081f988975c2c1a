/** @file ownership.c  See ownership.h. */
#include "batch/ownership.h"

#define MAX_LOSSES 6
#define LOSS_RESET_MS 60000

static uint64_t get_claim_wait_ms(const hs_ownership_settings *settings,
                                  const hs_ownership_history *history, uint64_t now_ms) {
    bool losses_expired =
        history->loss_count == 0 || now_ms > history->last_loss_ms + LOSS_RESET_MS;
    uint32_t doublings = losses_expired ? 0 : history->loss_count;
    return (uint64_t)settings->settle_ms << doublings;
}

hs_ownership_action hs_ownership_decide(const hs_ownership_settings *settings,
                                        const hs_ownership_view *view,
                                        hs_ownership_history *history, uint64_t now_ms) {
    bool should_claim =
        !view->self_owns && view->self_is_first && !view->owner_is_known && !view->self_is_leaving;
    bool should_release = view->self_owns && (!view->self_is_first || view->self_is_leaving);
    if (!should_claim)
        history->claimable_since_ms = 0;
    else if (history->claimable_since_ms == 0)
        history->claimable_since_ms = now_ms;
    if (!should_release)
        history->releasable_since_ms = 0;
    else if (history->releasable_since_ms == 0)
        history->releasable_since_ms = now_ms;
    if (should_release && view->self_is_leaving)
        return HS_OWNERSHIP_RELEASE;
    if (should_release && now_ms >= history->releasable_since_ms + settings->handover_ms)
        return HS_OWNERSHIP_RELEASE;
    if (should_claim &&
        now_ms >= history->claimable_since_ms + get_claim_wait_ms(settings, history, now_ms))
        return HS_OWNERSHIP_CLAIM;
    return HS_OWNERSHIP_KEEP;
}

void hs_ownership_note_loss(hs_ownership_history *history, uint64_t now_ms) {
    if (now_ms > history->last_loss_ms + LOSS_RESET_MS)
        history->loss_count = 0;
    if (history->loss_count < MAX_LOSSES)
        history->loss_count++;
    history->last_loss_ms = now_ms;
}
