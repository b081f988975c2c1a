/** @file refusal_choice.c  Held or refused; see refusal_choice.h. */
#include "online/refusal_choice.h"

#include "fleet/engine_choice.h"
#include "online/retry_after.h"

#include <math.h>

/** Shortest pause between two tries in ms: a try asks each engine of the service once. */
#define PAUSE_LEAST_MS 15
/** A wait is looked at this often before it is expected to end. */
#define PAUSE_PARTS 4
/** The longer a request has waited in vain, the less often engines are asked: by this part of it.
 */
#define PAUSE_WAITED_PARTS 8

/** Half of the places free and nothing waiting: the engines that refused can take it any moment. */
static bool has_room(const hs_service_outlook *service) {
    return service->running < service->slots / 2.0 && service->waiting < 1;
}

/** Expected ms until a place frees for one more: one frees each run_ms / slots. */
static double place_wait_ms(const hs_service_outlook *service) {
    return (service->waiting + 1) * service->run_ms / fmax(service->slots, 1);
}

static hs_refusal_choice expect(const hs_refusal_view *view) {
    const hs_service_outlook *service = &view->service;
    hs_refusal_choice choice = {.verdict = HS_REFUSAL_QUEUE};
    if (!service->is_known) {
        choice.verdict = HS_REFUSAL_NO_ENGINE;
        choice.expected_ms = hs_retry_after_absence_ms(view->waited_ms, 0);
    } else if (service->engines == 0) {
        choice.verdict = HS_REFUSAL_NO_ENGINE;
        choice.expected_ms =
            hs_retry_after_absence_ms(service->absent_ms, service->last_absence_ms);
    } else if (service->sound == 0) {
        choice.verdict = HS_REFUSAL_SUSPECTED;
        choice.expected_ms = service->return_ms;
    } else {
        choice.expected_ms = MAX((uint64_t)place_wait_ms(service), view->drain_ms);
    }
    return choice;
}

/** Engines that were never there cannot be waited for. */
static bool is_hopeless(const hs_refusal_view *view, const hs_refusal_choice *choice) {
    const hs_service_outlook *service = &view->service;
    if (service->is_known && service->engines == 0)
        return true;
    if (service->sound > 0 && has_room(service))
        return false;
    return choice->expected_ms + service->need_ms > view->left_ms;
}

hs_refusal_choice hs_refusal_choose(const hs_refusal_view *view) {
    hs_refusal_choice choice = expect(view);
    double pause_ms = fmax((double)choice.expected_ms / PAUSE_PARTS,
                           (double)view->waited_ms / PAUSE_WAITED_PARTS);
    choice.pause_ms = (uint64_t)fmin(fmax(pause_ms, PAUSE_LEAST_MS), HS_HELD_PAUSE_MOST_MS);
    if (choice.pause_ms >= view->left_ms)
        choice.verdict = HS_REFUSAL_OVER;
    else if (view->has_run || !is_hopeless(view, &choice))
        choice.verdict = HS_REFUSAL_HOLD;
    return choice;
}

const char *hs_refusal_verdict_name(hs_refusal_verdict verdict) {
    static const char *const names[] = {
        [HS_REFUSAL_HOLD] = "hold",           [HS_REFUSAL_NO_ENGINE] = "no_engine",
        [HS_REFUSAL_SUSPECTED] = "suspected", [HS_REFUSAL_QUEUE] = "queue",
        [HS_REFUSAL_OVER] = "over",           [HS_REFUSAL_SHORT] = "short",
    };
    return names[verdict];
}
