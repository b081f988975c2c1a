/** @file demand_forecast.c  See demand_forecast.h. */
#include "jobs/demand_forecast.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/** Length of a step of the past, in ms: a pass of the scheduler. */
#define STEP_MS 100
/** The upper level is this quantile, held for a tenth of the time: a single spike makes no wave. */
#define LEVEL_QUANTILE 0.9
/** Share of the upper level from which it counts as held. */
#define HELD_SHARE 0.8
/** Steps shorter than this below the upper level are chance, not a trough. */
#define GAP_LEAST_STEPS 3
/** The forecast has failed when the level stays away for this many times the longest gap. */
#define GAP_LATE_SHARE 1.25

static float *at(hs_demand_forecast *forecast, uint64_t step) {
    return &forecast->online[step % HS_DEMAND_STEPS];
}

void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms) {
    uint64_t step = now_ms / STEP_MS;
    if (forecast->step == 0 || step >= forecast->step + HS_DEMAND_STEPS) {
        forecast->first_step = step;
        forecast->step = step;
        *at(forecast, step) = 0;
    }
    float held = *at(forecast, forecast->step);
    while (forecast->step < step) {
        forecast->step++;
        *at(forecast, forecast->step) = forecast->step < step ? held : 0;
    }
    *at(forecast, forecast->step) = fmaxf(*at(forecast, forecast->step), (float)online);
}

/** Steps that are remembered, the oldest first; how many. */
static size_t unroll(const hs_demand_forecast *forecast, float *steps) {
    if (forecast->step == 0)
        return 0;
    size_t count = MIN(forecast->step - forecast->first_step + 1, (uint64_t)HS_DEMAND_STEPS);
    for (size_t index = 0; index < count; index++)
        steps[index] = forecast->online[(forecast->step - count + 1 + index) % HS_DEMAND_STEPS];
    return count;
}

static int ascending(const void *first, const void *second) {
    float one = *(const float *)first;
    float other = *(const float *)second;
    return (one > other) - (one < other);
}

static double quantile(const float *steps, size_t count, double share) {
    float sorted[HS_DEMAND_STEPS];
    memcpy(sorted, steps, count * sizeof *steps);
    qsort(sorted, count, sizeof *sorted, ascending);
    return sorted[MIN((size_t)((double)count * share), count - 1)];
}

/** The upper level was left and held again @p steps later. */
static void note_gap(hs_demand_outlook *outlook, size_t steps) {
    uint64_t gap_ms = steps * STEP_MS;
    if (steps < GAP_LEAST_STEPS)
        return;
    if (outlook->longest_gap_ms == 0 || gap_ms < outlook->shortest_gap_ms)
        outlook->shortest_gap_ms = gap_ms;
    outlook->longest_gap_ms = MAX(outlook->longest_gap_ms, gap_ms);
}

hs_demand_outlook hs_demand_forecast_read(const hs_demand_forecast *forecast) {
    float steps[HS_DEMAND_STEPS];
    hs_demand_outlook outlook = {0};
    size_t count = unroll(forecast, steps);
    if (count == 0)
        return outlook;
    outlook.now = steps[count - 1];
    outlook.level = quantile(steps, count, LEVEL_QUANTILE);
    for (size_t index = 0; index < count; index++)
        outlook.mean += steps[index] / (double)count;
    bool was_held = false;
    size_t below = 0;
    for (size_t index = 0; index < count; index++) {
        if (steps[index] < outlook.level * HELD_SHARE) {
            below++;
            continue;
        }
        if (was_held)
            note_gap(&outlook, below);
        was_held = true;
        below = 0;
    }
    outlook.below_ms = below * STEP_MS;
    outlook.has_failed = outlook.longest_gap_ms > 0 &&
                         (double)outlook.below_ms > (double)outlook.longest_gap_ms * GAP_LATE_SHARE;
    return outlook;
}

double hs_demand_outlook_expect(const hs_demand_outlook *outlook, uint64_t ahead_ms) {
    bool is_over_before = outlook->below_ms + ahead_ms < outlook->shortest_gap_ms;
    if (outlook->longest_gap_ms == 0 || outlook->has_failed || is_over_before)
        return outlook->now;
    return fmax(outlook->now, outlook->level);
}
