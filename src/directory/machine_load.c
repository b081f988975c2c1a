/** @file machine_load.c  See machine_load.h. */
#include "directory/machine_load.h"

#include <math.h>

/** Weight of the latest pause: of some twelve a second, a mean over about a second. */
#define LATE_WEIGHT 0.08
/** Longer ones are stops of the whole process, in ms, and say nothing of its processor. */
#define LATE_MOST_MS 500.0
/** Pauses end so late on an idle machine too, in ms: a timer's own inexactness. */
#define LATE_USUAL_MS 2.0
/** Late by this much, in ms, a request is held up at each of its steps for a tenth of an objective
 * of half a second: half of the machine counts as taken. */
#define LATE_HALF_MS 12.0
/** Steps in which it is told, in percent. */
#define STEP_PERCENT 25
/** A step is told when the load lies this far within it, in percent, and */
#define STEP_MARGIN_PERCENT 8.0
/** not sooner than this after the one before, in ms. */
#define STEP_LEAST_MS 2000

void hs_machine_load_note(hs_machine_load *load, double late_ms) {
    if (late_ms > LATE_MOST_MS)
        return;
    load->late_ms += (fmax(late_ms, 0) - load->late_ms) * LATE_WEIGHT;
}

uint32_t hs_machine_load_taken_percent(hs_machine_load *load, uint64_t now_ms) {
    double late_ms = fmax(load->late_ms - LATE_USUAL_MS, 0);
    double taken = fmax(100 * late_ms / (late_ms + LATE_HALF_MS), load->memory_percent);
    double away = fabs(taken - load->told_percent);
    bool is_due = load->told_ms == 0 || now_ms >= load->told_ms + STEP_LEAST_MS;
    if (!is_due || away < STEP_PERCENT / 2.0 + STEP_MARGIN_PERCENT)
        return load->told_percent;
    load->told_percent = (uint32_t)lround(taken / STEP_PERCENT) * STEP_PERCENT;
    load->told_ms = now_ms;
    return load->told_percent;
}
