/** @file service_pressure.c  See service_pressure.h. */
#include "fleet/service_pressure.h"

#include <math.h>

/**
 * Share of the slots: fewer free ones are hardly found by words that are some 100 ms old, and a
 * tenth more demand takes them before the next word.
 */
#define SHORT_FREE_SHARE 0.1
/** Of the engines: where fewer were heard, what is known is of those few alone. */
#define HEARD_SHARE_LEAST 0.5
/** The trend is of this time, in ms: some words came on each engine in it. */
#define TREND_MS 200

/** Sums over the engines that were heard. */
typedef struct {
    double slots;
    double free;         /**< Slots that online requests leave; batch items leave theirs. */
    double waiting;      /**< Online requests beyond their engine's slots. */
    double freed_per_ms; /**< Places that free where all are taken. */
    double age_ms;
    uint32_t heard;
} heard_sum;

static void add_heard(heard_sum *sum, const hs_pressure_sample *sample, double run_ms) {
    double pace = sample->pace > 0 ? sample->pace : 1;
    sum->slots += sample->slots;
    sum->free += fmax(sample->slots - sample->online, 0);
    sum->waiting += fmax(sample->online - sample->slots, 0);
    sum->freed_per_ms += sample->slots / (fmax(run_ms, 1) * pace);
    sum->age_ms += (double)sample->age_ms;
    sum->heard++;
}

/** What follows from the load and the free share. */
static void expect_wait(hs_service_pressure *pressure) {
    pressure->is_short = pressure->free_share < SHORT_FREE_SHARE;
    double before = (pressure->load - 1) * pressure->slots + 1;
    pressure->wait_ms = fmax(before, 0) * pressure->place_ms;
}

hs_service_pressure hs_service_pressure_make(const hs_pressure_sample *samples, size_t count,
                                             double run_ms) {
    hs_service_pressure pressure = {.engines = (uint32_t)count, .free_share = 1};
    heard_sum sum = {0};
    for (size_t index = 0; index < count; index++)
        if (samples[index].age_ms <= HS_PRESSURE_HEARD_MOST_MS)
            add_heard(&sum, &samples[index], run_ms);
    pressure.heard = sum.heard;
    if (sum.slots <= 0 || sum.heard < HEARD_SHARE_LEAST * (double)count)
        return pressure;
    double scale = (double)count / sum.heard;
    pressure.slots = sum.slots * scale;
    pressure.free_share = sum.free / sum.slots;
    pressure.load = (sum.slots + sum.waiting - sum.free) / sum.slots;
    pressure.place_ms = 1 / (sum.freed_per_ms * scale);
    pressure.age_ms = sum.age_ms / sum.heard;
    expect_wait(&pressure);
    return pressure;
}

void hs_service_pressure_project(hs_service_pressure *pressure, hs_pressure_trend *trend,
                                 uint64_t now_ms) {
    bool is_known = pressure->slots > 0;
    uint64_t elapsed_ms = now_ms - trend->at_ms;
    if (!is_known || trend->at_ms == 0 || elapsed_ms > HS_PRESSURE_HEARD_MOST_MS) {
        *trend = (hs_pressure_trend){.load = pressure->load, .at_ms = is_known ? now_ms : 0};
        return;
    }
    if (elapsed_ms >= TREND_MS) {
        trend->growth_per_ms = (pressure->load - trend->load) / (double)elapsed_ms;
        trend->load = pressure->load;
        trend->at_ms = now_ms;
    }
    double grown = fmax(trend->growth_per_ms, 0) * pressure->age_ms;
    pressure->load += grown;
    pressure->free_share = fmin(fmax(pressure->free_share - grown, 0), 1);
    expect_wait(pressure);
}
