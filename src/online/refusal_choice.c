/** @file refusal_choice.c  See refusal_choice.h. */
#include "online/refusal_choice.h"

#include "fleet/engine_choice.h"
#include "online/retry_after.h"

#include <math.h>

/** Shortest pause between two attempts, each of which tries several engines. */
#define MIN_PAUSE_MS 15
/** The pause is the expected wait divided by this, */
#define EXPECTED_WAIT_DIVISOR 4
/** or the time waited so far divided by this, if longer. */
#define PAST_WAIT_DIVISOR 8

/** Whether half of the slots are free and no request waits, so that a refusal is only transient. */
static bool has_ample_slots(const hs_service_outlook *service) {
    return service->running < service->slots / 2.0 && service->waiting < 1;
}

/** Returns the expected wait of one more request: a slot becomes free every run_ms / slots. */
static double slot_wait_ms(const hs_service_outlook *service) {
    return (service->waiting + 1) * service->run_ms / fmax(service->slots, 1);
}

/**
 * Returns the expected time until the first zone returns: as long again as its evacuation has
 * lasted, but at least the time limit of evacuations, as none is withdrawn before it has taken
 * effect.
 */
static uint64_t evacuation_wait_ms(const hs_service_outlook *service) {
    return MAX(hs_retry_after_absence_ms(service->evacuated_ms, 0), service->evacuate_limit_ms);
}

static hs_refusal_choice estimate_wait(const hs_refusal_view *view) {
    const hs_service_outlook *service = &view->service;
    hs_refusal_choice choice = {.verdict = HS_REFUSAL_QUEUE};
    if (!service->is_known) {
        choice.verdict = HS_REFUSAL_NO_ENGINE;
        choice.expected_ms = hs_retry_after_absence_ms(view->waited_ms, 0);
    } else if (service->engines == 0 && service->evacuated > 0) {
        choice.verdict = HS_REFUSAL_EVACUATED;
        choice.expected_ms = evacuation_wait_ms(service);
    } else if (service->engines == 0) {
        choice.verdict = HS_REFUSAL_NO_ENGINE;
        choice.expected_ms =
            hs_retry_after_absence_ms(service->absent_ms, service->last_absence_ms);
    } else if (service->healthy == 0) {
        choice.verdict = HS_REFUSAL_SUSPECTED;
        choice.expected_ms = service->next_probe_in_ms;
    } else {
        choice.expected_ms = MAX((uint64_t)slot_wait_ms(service), view->drain_ms);
    }
    return choice;
}

/** Whether waiting is pointless: the service has no engine, or the wait exceeds the deadline. */
static bool is_wait_pointless(const hs_refusal_view *view, const hs_refusal_choice *choice) {
    const hs_service_outlook *service = &view->service;
    if (service->is_known && service->engines == 0)
        return true;
    if (service->healthy > 0 && has_ample_slots(service))
        return false;
    return choice->expected_ms + service->min_first_byte_ms > view->left_ms;
}

hs_refusal_choice hs_refusal_choose(const hs_refusal_view *view) {
    hs_refusal_choice choice = estimate_wait(view);
    double pause_ms = fmax((double)choice.expected_ms / EXPECTED_WAIT_DIVISOR,
                           (double)view->waited_ms / PAST_WAIT_DIVISOR);
    choice.pause_ms = (uint64_t)fmin(fmax(pause_ms, MIN_PAUSE_MS), HS_MAX_HELD_RETRY_PAUSE_MS);
    if (view->may_have_run)
        choice.pause_ms = MIN(choice.pause_ms, view->left_ms);
    if (view->left_ms == 0 || (choice.pause_ms >= view->left_ms && !view->may_have_run))
        choice.verdict = HS_REFUSAL_OVER;
    else if (view->may_have_run || !is_wait_pointless(view, &choice))
        choice.verdict = HS_REFUSAL_HOLD;
    return choice;
}

const char *hs_refusal_verdict_name(hs_refusal_verdict verdict) {
    static const char *const names[] = {
        [HS_REFUSAL_HOLD] = "hold",
        [HS_REFUSAL_NO_ENGINE] = "no_engine",
        [HS_REFUSAL_SUSPECTED] = "suspected",
        [HS_REFUSAL_QUEUE] = "queue",
        [HS_REFUSAL_OVER] = "over",
        [HS_REFUSAL_SHORT] = "short",
        [HS_REFUSAL_EVACUATED] = "zones_evacuated",
    };
    return names[verdict];
}
