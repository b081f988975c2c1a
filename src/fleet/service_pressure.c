/** @file service_pressure.c  See service_pressure.h. */
#include "fleet/service_pressure.h"

#include <math.h>

/**
 * Share of free slots below which a service is short. Fewer free slots are hard to find by reports
 * that are some 100 ms old, and a small rise in demand uses them up before the next report.
 */
#define SHORTAGE_FREE_SHARE 0.1
/** Share of engines with a recent report below which nothing is concluded about the service. */
#define MIN_REPORTED_SHARE 0.5
/** Interval over which the trend is measured; covers several reports per engine. */
#define TREND_MS 200

/** Sums over the engines with a recent report. */
typedef struct {
    double slots;
    double free;         /**< Slots without an online request; batch items can be preempted. */
    double waiting;      /**< Online requests in excess of their engine's slots. */
    double freed_per_ms; /**< Rate at which slots become free if all are used. */
    double age_ms;
    uint32_t reported;
} report_sum;

static void add_sample(report_sum *sum, const hs_pressure_sample *sample, double run_ms) {
    double pace = sample->pace > 0 ? sample->pace : 1;
    sum->slots += sample->slots;
    sum->free += fmax(sample->slots - sample->online, 0);
    sum->waiting += fmax(sample->online - sample->slots, 0);
    sum->freed_per_ms += sample->slots / (fmax(run_ms, 1) * pace);
    sum->age_ms += (double)sample->age_ms;
    sum->reported++;
}

/** Derives is_short and wait_ms from the load and the free share. */
static void update_shortage(hs_service_pressure *pressure) {
    pressure->is_short = pressure->free_share < SHORTAGE_FREE_SHARE;
    double queue_position = (pressure->load - 1) * pressure->slots + 1;
    pressure->wait_ms = fmax(queue_position, 0) * pressure->slot_free_interval_ms;
}

hs_service_pressure hs_service_pressure_make(const hs_pressure_sample *samples, size_t count,
                                             double run_ms) {
    hs_service_pressure pressure = {.engines = (uint32_t)count, .free_share = 1};
    report_sum sum = {0};
    for (size_t index = 0; index < count; index++)
        if (samples[index].age_ms <= HS_MAX_PRESSURE_REPORT_AGE_MS)
            add_sample(&sum, &samples[index], run_ms);
    pressure.reported = sum.reported;
    if (sum.slots <= 0 || sum.reported < MIN_REPORTED_SHARE * (double)count)
        return pressure;
    double scale = (double)count / sum.reported;
    pressure.slots = sum.slots * scale;
    pressure.free_share = sum.free / sum.slots;
    pressure.load = (sum.slots + sum.waiting - sum.free) / sum.slots;
    pressure.slot_free_interval_ms = 1 / (sum.freed_per_ms * scale);
    pressure.age_ms = sum.age_ms / sum.reported;
    update_shortage(&pressure);
    return pressure;
}

void hs_service_pressure_project(hs_service_pressure *pressure, hs_pressure_trend *trend,
                                 uint64_t now_ms) {
    bool has_load = pressure->slots > 0;
    uint64_t elapsed_ms = now_ms - trend->at_ms;
    if (!has_load || trend->at_ms == 0 || elapsed_ms > HS_MAX_PRESSURE_REPORT_AGE_MS) {
        *trend = (hs_pressure_trend){.load = pressure->load, .at_ms = has_load ? now_ms : 0};
        return;
    }
    if (elapsed_ms >= TREND_MS) {
        trend->growth_per_ms = (pressure->load - trend->load) / (double)elapsed_ms;
        trend->load = pressure->load;
        trend->at_ms = now_ms;
    }
    double growth = fmax(trend->growth_per_ms, 0) * pressure->age_ms;
    pressure->load += growth;
    pressure->free_share = fmin(fmax(pressure->free_share - growth, 0), 1);
    update_shortage(pressure);
}
