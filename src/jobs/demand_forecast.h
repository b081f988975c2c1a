/**
 * @file demand_forecast.h
 * How many slots of a service online requests will want within the next run of an item. Pure.
 *
 * Nothing is assumed of the form of the demand. Where the forecast was wrong of late it says what
 * is there now, so that a wrong one costs no more than one trough.
 */
#ifndef HS_JOBS_DEMAND_FORECAST_H
#define HS_JOBS_DEMAND_FORECAST_H

#include <stdint.h>

/** Steps of 100 ms that are remembered: some tens of seconds. */
#define HS_DEMAND_STEPS 300

/** Demand of the last tens of seconds; zero-initialise. */
typedef struct {
    float online[HS_DEMAND_STEPS]; /**< Highest in each step, in slots; a ring. */
    uint64_t step;                 /**< The latest one, counted from the clock's begin; 0: none. */
} hs_demand_forecast;

/** Online requests hold @p online slots of the service at @p now_ms. */
void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms);

/**
 * Slots that online requests are expected to want at one time within the next @p ahead_ms, at least
 * what they hold now.
 */
double hs_demand_forecast_expect(const hs_demand_forecast *forecast, uint64_t ahead_ms,
                                 uint64_t now_ms);

#endif
