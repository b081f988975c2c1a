/**
 * @file demand_forecast.h
 * How many slots of a service online requests will want soon. Pure.
 *
 * For online demand that comes in waves, while items start in every slot that is free between two
 * of them. No form is assumed: a level that was reached, left and reached again is expected from
 * the shortest such gap on until the longest one is over. When it does not come by then, or never
 * came back, what is held now is expected, so that a wrong forecast costs one trough.
 */
#ifndef HS_JOBS_DEMAND_FORECAST_H
#define HS_JOBS_DEMAND_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/** Steps of 100 ms that are remembered: some tens of seconds. */
#define HS_DEMAND_STEPS 300

/** Demand of the last tens of seconds; zero-initialise. */
typedef struct {
    float online[HS_DEMAND_STEPS]; /**< Highest in each step, in slots; a ring. */
    uint64_t step;                 /**< The latest one, counted from the clock's begin; 0: none. */
    uint64_t first_step;           /**< The first one that was ever noted. */
} hs_demand_forecast;

/** What the past says; read once a pass, then asked for each item. */
typedef struct {
    double now;               /**< Slots held in the latest step. */
    double mean;              /**< Of all that is remembered. */
    double level;             /**< Slots held at the upper end of what was seen. */
    uint64_t below_ms;        /**< For how long less than that has been held; 0: it is held now. */
    uint64_t shortest_gap_ms; /**< Between two times at the upper level; both 0: none was seen. */
    uint64_t longest_gap_ms;
    bool has_failed; /**< It should have come back by now, and did not. */
} hs_demand_outlook;

/** Online requests hold @p online slots of the service at @p now_ms. Steps left out held as much
 * as the last one noted. */
void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms);

hs_demand_outlook hs_demand_forecast_read(const hs_demand_forecast *forecast);

/**
 * Slots that online requests are expected to want at one time within the next @p ahead_ms, at least
 * what they hold now.
 */
double hs_demand_outlook_expect(const hs_demand_outlook *outlook, uint64_t ahead_ms);

#endif
