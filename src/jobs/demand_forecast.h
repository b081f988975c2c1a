/**
 * @file demand_forecast.h
 * Forecast of the slots of a service that online requests will need soon.
 *
 * If online demand comes in waves, items would otherwise fill all free slots between two waves and
 * be preempted when the next one starts. The forecast assumes no shape: after demand has left its
 * high level and returned to it at least once, the return is expected from the shortest observed
 * gap on until the longest gap is clearly exceeded. Otherwise current demand is the forecast, so
 * that a wrong forecast costs at most one gap. Pure functions; the caller synchronises access.
 */
#ifndef HS_JOBS_DEMAND_FORECAST_H
#define HS_JOBS_DEMAND_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/** Length of the history in steps of 100 ms. */
#define HS_DEMAND_STEPS 300

/** Demand history of one service; zero-initialise. */
typedef struct {
    float online[HS_DEMAND_STEPS]; /**< Ring buffer: maximum slots in use during each step. */
    uint64_t step;                 /**< Number of the latest step since clock start; 0: none. */
    uint64_t first_step;           /**< Number of the oldest recorded step. */
} hs_demand_forecast;

/** Summary of the demand history. */
typedef struct {
    double current;           /**< Slots in use in the latest step. */
    double mean;              /**< Mean slots in use over the history. */
    double high_level;        /**< High level: upper quantile of the slots in use. */
    uint64_t below_high_ms;   /**< Time since demand left the high level; 0: it is there now. */
    uint64_t shortest_gap_ms; /**< Shortest time below the high level; 0: no gap was observed. */
    uint64_t longest_gap_ms;  /**< Longest time below the high level; 0: no gap was observed. */
    bool has_failed;          /**< Demand has not returned although it is overdue. */
} hs_demand_outlook;

/**
 * Records that online requests use @p online slots of the service at @p now_ms. Steps skipped since
 * the previous call are filled with the value recorded last.
 */
void hs_demand_forecast_note(hs_demand_forecast *forecast, double online, uint64_t now_ms);

hs_demand_outlook hs_demand_forecast_read(const hs_demand_forecast *forecast);

/**
 * Returns the maximum number of slots that online requests are expected to need at a time within
 * the next @p ahead_ms; never less than they use now.
 */
double hs_demand_outlook_expect(const hs_demand_outlook *outlook, uint64_t ahead_ms);

#endif
