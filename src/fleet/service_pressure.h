/**
 * @file service_pressure.h
 * Estimates how loaded a service is and how long one more request would wait, from the requests
 * that run and wait on its engines. Pure functions.
 *
 * A shortage shows first in the requests that have started and not ended. Statistics of ended runs
 * show it only after the duration of a run.
 */
#ifndef HS_FLEET_SERVICE_PRESSURE_H
#define HS_FLEET_SERVICE_PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Age up to which an engine load report counts; about the duration of an online run. */
#define HS_MAX_PRESSURE_REPORT_AGE_MS 1000

/** Latest load report on an engine that is not suspected. */
typedef struct {
    uint32_t slots;
    double online; /**< Online requests of all daemons, those waiting on the engine included. */
    double batch;
    double pace;     /**< See hs_engine_pace_factor; 0: unknown, counts as 1. */
    uint64_t age_ms; /**< Age of the report; UINT64_MAX: there is none. */
} hs_pressure_sample;

/** Estimated state of a service. Engines without a recent report count as the mean engine. */
typedef struct {
    uint32_t engines;  /**< Engines that are not suspected. */
    uint32_t reported; /**< Engines among them with a recent report. */
    double slots;      /**< Slots of these engines; 0: too few reports, all fields below neutral. */
    double free_share; /**< Share of the slots without an online request, 0 to 1. */
    double slot_free_interval_ms; /**< Mean interval at which a slot becomes free if all are used;
                                     0: unknown. */
    double wait_ms; /**< Expected time until an engine starts one more online request. */
    double load;    /**< Online requests per slot as of the reports; may exceed 1. */
    double age_ms;  /**< Mean age of the reports. */
    bool is_short;  /**< Few slots are free: one more online request may not get one. */
} hs_service_pressure;

/**
 * Estimates the pressure from one sample per engine. If fewer than half of the engines have a
 * recent report, the result is neutral: during a shortage a daemon meets mostly full engines, which
 * say little about the others.
 *
 * @p run_ms: mean duration of an online run on an engine with the service's mean pace.
 */
hs_service_pressure hs_service_pressure_make(const hs_pressure_sample *samples, size_t count,
                                             double run_ms);

/** Change of a service's load over time. Zero-initialise. */
typedef struct {
    double load;          /**< Load at at_ms. */
    uint64_t at_ms;       /**< Monotonic; 0: unknown. */
    double growth_per_ms; /**< Growth of the load up to at_ms. */
} hs_pressure_trend;

/**
 * Projects @p pressure from the age of its reports to the present by the trend, and updates the
 * trend. Only growth is projected: assuming too early that a shortage is over would delay requests
 * that are still in time.
 */
void hs_service_pressure_project(hs_service_pressure *pressure, hs_pressure_trend *trend,
                                 uint64_t now_ms);

#endif
