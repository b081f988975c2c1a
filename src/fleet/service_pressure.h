/**
 * @file service_pressure.h
 * How hard a service is pressed, by what is under way at its engines. Pure.
 *
 * A shortage shows first in what has begun and has not ended. The mean of runs that ended tells it
 * a run's length too late.
 */
#ifndef HS_FLEET_SERVICE_PRESSURE_H
#define HS_FLEET_SERVICE_PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An engine that nobody suspects, as its arbiter told it last. */
typedef struct {
    uint32_t slots;
    double online; /**< Of all daemons, those that wait there included. */
    double batch;
    double pace;     /**< See hs_engine_pace_factor. */
    uint64_t age_ms; /**< Of the arbiter's word; UINT64_MAX: there is none. */
} hs_pressure_sample;

/** What is believed of a service as a whole. */
typedef struct {
    uint32_t engines;  /**< Sound ones. */
    uint32_t heard;    /**< Of them, whose arbiter's word is fresh. */
    double free_share; /**< Of the heard ones' slots, that online requests leave, 0 to 1. */
    double wait_ms;    /**< Expected until an engine begins with one more online request. */
    bool is_short;     /**< One more online request is expected to wait for a slot. */
} hs_service_pressure;

/** @p run_ms: mean time of an online run at an engine of the service's mean pace. */
hs_service_pressure hs_service_pressure_make(const hs_pressure_sample *samples, size_t count,
                                             double run_ms);

#endif
