/**
 * @file service_pressure.h
 * How loaded a service is, and how long one more request would wait, by what runs and waits at its
 * engines. Pure.
 *
 * A shortage shows first in what has begun and has not ended. The mean of runs that ended tells it
 * a run's length too late.
 */
#ifndef HS_FLEET_SERVICE_PRESSURE_H
#define HS_FLEET_SERVICE_PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An arbiter's word counts for this long, in ms: about as long as an online run takes. */
#define HS_PRESSURE_HEARD_MOST_MS 1000

/** An engine that nobody suspects, as its arbiter told it last. */
typedef struct {
    uint32_t slots;
    double online; /**< Of all daemons, those that wait there included. */
    double batch;
    double pace;     /**< See hs_engine_pace_factor; 0: not known, taken as 1. */
    uint64_t age_ms; /**< Of the arbiter's word; UINT64_MAX: there is none. */
} hs_pressure_sample;

/** What is believed of a service as a whole. Engines that were not heard count as the mean. */
typedef struct {
    uint32_t engines;  /**< Sound ones. */
    uint32_t heard;    /**< Of them, whose arbiter's word is fresh. */
    double slots;      /**< Of the sound ones; 0: too few were heard, and all below is neutral. */
    double free_share; /**< Of the slots, that online requests leave, 0 to 1. */
    double place_ms;   /**< Mean time between two places that free at full engines; 0: unknown. */
    double wait_ms;    /**< Expected until an engine begins with one more online request. */
    double load;       /**< Online requests by slot, at engines and as of words; may exceed 1. */
    double age_ms;     /**< Mean, of the words heard. */
    bool is_short;     /**< Hardly a place is left: one more online request may not find it. */
} hs_service_pressure;

/**
 * @p run_ms: mean time of an online run at an engine of the service's mean pace. Where less than
 * half of the engines were heard, nothing is short: the few that a daemon meets in a shortage are
 * the full ones, and say little of the others.
 */
hs_service_pressure hs_service_pressure_make(const hs_pressure_sample *samples, size_t count,
                                             double run_ms);

/** How a service's load changes. Zero-initialise. */
typedef struct {
    double load;          /**< As of at_ms. */
    uint64_t at_ms;       /**< 0: nothing is known. */
    double growth_per_ms; /**< Of the load, until at_ms. */
} hs_pressure_trend;

/**
 * Words tell the past: project @p pressure to now by the trend, and note it in the trend. Only
 * growth is projected: to take a shortage for over before words say so costs those who are in time.
 */
void hs_service_pressure_project(hs_service_pressure *pressure, hs_pressure_trend *trend,
                                 uint64_t now_ms);

#endif
