/** @file admission.c  See admission.h. */
#include "online/admission.h"

#include "fleet/engine_choice.h"
#include "online/retry_after.h"

#include <math.h>

/**
 * Share of the time left in which a place must be expected: runs differ, and what is believed is
 * some hundred ms old.
 */
#define WAIT_SHARE 0.5
/** With this share of the slots free, engines that refuse requests now can take them any moment. */
#define ROOM_SHARE 0.5
/**
 * With this share of the slots free a place counts as left over: with fewer, a place that words of
 * some 100 ms tell of would be gone.
 */
#define LEFT_SHARE 0.05

/** Time left of the objective, less what the engine needs; 0: it is over. */
static double spare_ms(const hs_admission_view *view) {
    double over_ms = (double)view->age_ms + (double)view->waited_ms + (double)view->need_ms;
    return fmax((double)view->target_ms - over_ms, 0);
}

/**
 * Places that words tell of may be gone, or at engines that are: what has waited here for longer
 * than a pause between two tries has asked engines in vain.
 */
static bool is_short(const hs_admission_view *view) {
    const hs_service_pressure *pressure = &view->pressure;
    bool waits_in_vain = view->head_waited_ms > HS_HELD_PAUSE_MOST_MS;
    bool has_room = pressure->slots <= 0 || pressure->free_share >= ROOM_SHARE;
    return pressure->is_short || (waits_in_vain && !has_room);
}

/** Callers' time-outs differ by some ms; nobody is told to come back sooner than this. */
static bool came_back(const hs_admission_view *view) {
    return view->age_ms >= HS_RETRY_AFTER_LEAST_MS;
}

/** What was late before it could be tried would be late when it comes back, too. */
static bool stands_by(const hs_admission_view *view, double spare) {
    return came_back(view) || (spare <= 0 && !view->was_tried);
}

/** Whether a place is free that no request in time waits for, so that another may take it. */
static bool is_place_left(const hs_admission_view *view) {
    return view->head_waited_ms == 0 && view->pressure.free_share >= LEFT_SHARE;
}

hs_admission_choice hs_admission_choose(const hs_admission_view *view) {
    const hs_service_pressure *pressure = &view->pressure;
    double expected_ms = fmax(pressure->wait_ms, (double)view->ahead_waited_ms);
    double spare = spare_ms(view);
    hs_admission_choice choice = {
        .verdict = HS_ADMISSION_OPEN,
        .expected_ms = (uint64_t)ceil(expected_ms),
        .hold_most_ms = (uint64_t)spare,
        .begin_ms = (uint64_t)(spare * WAIT_SHARE) + view->need_ms,
        .may_try = true,
    };
    if (!is_short(view) || view->has_run || view->target_ms == 0)
        return choice;
    bool is_in_time = spare > 0 && expected_ms <= spare * WAIT_SHARE;
    if (is_in_time)
        choice.verdict = view->is_less_urgent ? HS_ADMISSION_STAND_BY : HS_ADMISSION_IN_TIME;
    else
        choice.verdict = stands_by(view, spare) ? HS_ADMISSION_STAND_BY : HS_ADMISSION_REFUSE;
    choice.may_try = choice.verdict == HS_ADMISSION_STAND_BY ? is_place_left(view) : spare > 0;
    return choice;
}

const char *hs_admission_verdict_name(hs_admission_verdict verdict) {
    static const char *const names[] = {
        [HS_ADMISSION_OPEN] = "open",
        [HS_ADMISSION_IN_TIME] = "in_time",
        [HS_ADMISSION_STAND_BY] = "stand_by",
        [HS_ADMISSION_REFUSE] = "refuse",
    };
    return names[verdict];
}
