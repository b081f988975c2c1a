/** @file demand_forecast.c  See demand_forecast.h. */
#include "jobs/demand_forecast.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/** Length of a history step in ms; equals the interval of scheduler passes. */
#define STEP_MS 100
/** Quantile of the demand that is the high level; a single spike does not reach it. */
#define LEVEL_QUANTILE 0.9
/** Share of the high level from which demand counts as being at that level. */
#define HIGH_LEVEL_SHARE 0.8
/** Shorter times below the high level are noise, not gaps. */
#define MIN_GAP_STEPS 3
/** The forecast has failed once a gap exceeds the longest observed one by this factor. */
#define MAX_GAP_OVERRUN 1.25

static float *step_at(hs_demand_forecast *forecast, uint64_t step) {
    return &forecast->online[step % HS_DEMAND_STEPS];
}

void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms) {
    uint64_t step = now_ms / STEP_MS;
    if (forecast->step == 0 || step >= forecast->step + HS_DEMAND_STEPS) {
        forecast->first_step = step;
        forecast->step = step;
        *step_at(forecast, step) = 0;
    }
    float last = *step_at(forecast, forecast->step);
    while (forecast->step < step) {
        forecast->step++;
        *step_at(forecast, forecast->step) = forecast->step < step ? last : 0;
    }
    *step_at(forecast, forecast->step) = fmaxf(*step_at(forecast, forecast->step), (float)online);
}

/** Copies the recorded steps to @p steps, oldest first; returns their number. */
static size_t copy_steps(const hs_demand_forecast *forecast, float *steps) {
    if (forecast->step == 0)
        return 0;
    size_t count = MIN(forecast->step - forecast->first_step + 1, (uint64_t)HS_DEMAND_STEPS);
    for (size_t index = 0; index < count; index++)
        steps[index] = forecast->online[(forecast->step - count + 1 + index) % HS_DEMAND_STEPS];
    return count;
}

static int ascending(const void *first, const void *second) {
    float left = *(const float *)first;
    float right = *(const float *)second;
    return (left > right) - (left < right);
}

static double quantile_of(const float *steps, size_t count, double share) {
    float sorted[HS_DEMAND_STEPS];
    memcpy(sorted, steps, count * sizeof *steps);
    qsort(sorted, count, sizeof *sorted, ascending);
    return sorted[MIN((size_t)((double)count * share), count - 1)];
}

/** Records that demand returned to the high level after @p steps below it. */
static void note_gap(hs_demand_outlook *outlook, size_t steps) {
    uint64_t gap_ms = steps * STEP_MS;
    if (steps < MIN_GAP_STEPS)
        return;
    if (outlook->longest_gap_ms == 0 || gap_ms < outlook->shortest_gap_ms)
        outlook->shortest_gap_ms = gap_ms;
    outlook->longest_gap_ms = MAX(outlook->longest_gap_ms, gap_ms);
}

hs_demand_outlook hs_demand_forecast_read(const hs_demand_forecast *forecast) {
    float steps[HS_DEMAND_STEPS];
    hs_demand_outlook outlook = {0};
    size_t count = copy_steps(forecast, steps);
    if (count == 0)
        return outlook;
    outlook.current = steps[count - 1];
    outlook.high_level = quantile_of(steps, count, LEVEL_QUANTILE);
    for (size_t index = 0; index < count; index++)
        outlook.mean += steps[index] / (double)count;
    bool was_high = false;
    size_t below = 0;
    for (size_t index = 0; index < count; index++) {
        if (steps[index] < outlook.high_level * HIGH_LEVEL_SHARE) {
            below++;
            continue;
        }
        if (was_high)
            note_gap(&outlook, below);
        was_high = true;
        below = 0;
    }
    outlook.below_high_ms = below * STEP_MS;
    outlook.has_failed =
        outlook.longest_gap_ms > 0 &&
        (double)outlook.below_high_ms > (double)outlook.longest_gap_ms * MAX_GAP_OVERRUN;
    return outlook;
}

double hs_demand_outlook_expect(const hs_demand_outlook *outlook, uint64_t ahead_ms) {
    bool ends_before_gap = outlook->below_high_ms + ahead_ms < outlook->shortest_gap_ms;
    if (outlook->longest_gap_ms == 0 || outlook->has_failed || ends_before_gap)
        return outlook->current;
    return fmax(outlook->current, outlook->high_level);
}
