/** @file admission.c  See admission.h. */
#include "online/admission.h"

#include "fleet/engine_choice.h"
#include "online/retry_after.h"

#include <math.h>

/**
 * The expected wait must not exceed this part of the time left: run times vary, and engine load
 * reports are up to a few hundred ms old.
 */
#define MAX_WAIT_RATIO 0.5
/** With at least this part of the slots free, a request that waits is no sign of a shortage. */
#define AMPLE_FREE_RATIO 0.5
/**
 * With at least this part of the slots free, a best-effort request may take one. With fewer, the
 * slot is probably gone already, since engine load reports lag behind.
 */
#define SPARE_FREE_RATIO 0.05

/** Returns the time left of the objective minus the engine's time to first byte, 0 if none. */
static double spare_ms(const hs_admission_view *view) {
    double used_ms =
        (double)view->age_ms + (double)view->waited_ms + (double)view->min_first_byte_ms;
    return fmax((double)view->target_ms - used_ms, 0);
}

/**
 * Reported free slots may be taken already, or belong to engines that are gone. So a service also
 * counts as short if a request has waited longer than the longest pause between two attempts.
 */
static bool is_short(const hs_admission_view *view) {
    const hs_service_pressure *pressure = &view->pressure;
    bool is_head_overdue = view->head_waited_ms > HS_MAX_HELD_RETRY_PAUSE_MS;
    bool has_ample_slots = pressure->slots <= 0 || pressure->free_share >= AMPLE_FREE_RATIO;
    return pressure->is_short || (is_head_overdue && !has_ample_slots);
}

/** Ignores smaller ages: timeouts vary by a few ms, and no caller is sent a shorter retry time. */
static bool is_returning_caller(const hs_admission_view *view) {
    return view->age_ms >= HS_RETRY_AFTER_MIN_MS;
}

/** Includes requests that were late before their first attempt: a later retry would be late too. */
static bool is_best_effort(const hs_admission_view *view, double spare) {
    return is_returning_caller(view) || (spare <= 0 && !view->was_tried);
}

/** Whether a slot is free that no request in time waits for. */
static bool has_spare_slot(const hs_admission_view *view) {
    return view->head_waited_ms == 0 && view->pressure.free_share >= SPARE_FREE_RATIO;
}

hs_admission_choice hs_admission_choose(const hs_admission_view *view) {
    const hs_service_pressure *pressure = &view->pressure;
    double expected_ms = fmax(pressure->wait_ms, (double)view->ahead_waited_ms);
    double spare = spare_ms(view);
    hs_admission_choice choice = {
        .verdict = HS_ADMISSION_OPEN,
        .expected_ms = (uint64_t)ceil(expected_ms),
        .max_hold_ms = (uint64_t)spare,
        .begin_ms = (uint64_t)(spare * MAX_WAIT_RATIO) + view->min_first_byte_ms,
        .may_try = true,
    };
    if (!is_short(view) || view->may_have_run || view->target_ms == 0)
        return choice;
    bool is_in_time = spare > 0 && expected_ms <= spare * MAX_WAIT_RATIO;
    if (is_in_time)
        choice.verdict = view->is_less_urgent ? HS_ADMISSION_BEST_EFFORT : HS_ADMISSION_IN_TIME;
    else
        choice.verdict =
            is_best_effort(view, spare) ? HS_ADMISSION_BEST_EFFORT : HS_ADMISSION_REFUSE;
    choice.may_try = choice.verdict == HS_ADMISSION_BEST_EFFORT ? has_spare_slot(view) : spare > 0;
    return choice;
}

const char *hs_admission_verdict_name(hs_admission_verdict verdict) {
    static const char *const names[] = {
        [HS_ADMISSION_OPEN] = "open",
        [HS_ADMISSION_IN_TIME] = "in_time",
        [HS_ADMISSION_BEST_EFFORT] = "stand_by",
        [HS_ADMISSION_REFUSE] = "refuse",
    };
    return names[verdict];
}
