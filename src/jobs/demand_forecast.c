/** @file demand_forecast.c  See demand_forecast.h. */
#include "jobs/demand_forecast.h"

#define STEP_MS 100

void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms) {
    forecast->step = now_ms / STEP_MS;
    forecast->online[forecast->step % HS_DEMAND_STEPS] = (float)online;
}

double hs_demand_forecast_expect(const hs_demand_forecast *forecast, uint64_t ahead_ms,
                                 uint64_t now_ms) {
    (void)ahead_ms;
    (void)now_ms;
    return forecast->online[forecast->step % HS_DEMAND_STEPS];
}
