/**
 * @file engine_pace.h
 * Estimates how fast one engine works relative to the mean engine of its service. Pure functions.
 *
 * There are two sources: the time between events in the runs of all daemons, which reflects the
 * engine's hardware, and the slowdown that the engine reports, which changes many times a second if
 * other programs share the machine. If neither differs clearly from the service's mean, the
 * pace is exactly 1, so that the choice among similar engines is not affected.
 */
#ifndef HS_FLEET_ENGINE_PACE_H
#define HS_FLEET_ENGINE_PACE_H

#include <stdint.h>

/** Observations of one engine; zero-initialise. All times are monotonic. */
typedef struct {
    double events;            /**< Decaying count of the events observed in runs, as of seen_ms. */
    double events_ms;         /**< Decaying sum of the time that these events took. */
    uint64_t seen_ms;         /**< Time of the latest observation. */
    double reported_event_ms; /**< Interval of events as the arbiter reported it; 0: unknown. */
    uint64_t event_reported_ms; /**< Time of that report. */
    uint32_t slowdown_percent;  /**< Latest slowdown the engine reported, 100: usual; 0: none. */
    uint64_t reported_at_ms;    /**< Time of that report. */
    double report_count;        /**< Slowdown reports so far, up to a bound. */
    double mean_excess;         /**< Mean reported slowdown less 1, as a share: 0.5 for 150 %. */
    double outlier_ms;          /**< Decaying sum of the time watched after outlier reports. */
    double outlier_ends;        /**< Decaying count of outliers that the next report ended. */
} hs_engine_pace;

/** Notes that @p events events of runs on the engine took @p took_ms. */
void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms);

/**
 * Notes that the engine reported @p slowdown_percent @p age_ms ago. Ignores a slowdown of 0 or out
 * of bounds, and a report that is not newer than the latest one.
 */
void hs_engine_pace_note_slowdown(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                                  uint64_t now_ms);

/** Sets the interval between events that the engine's arbiter reported; 0: unknown, ignored. */
void hs_engine_pace_set_reported_event_us(hs_engine_pace *pace, uint32_t event_us, uint64_t now_ms);

/** Returns the interval between events in the observed runs; 0: too few events. */
uint32_t hs_engine_pace_observed_event_us(const hs_engine_pace *pace, uint64_t now_ms);

/**
 * Returns the time that work takes on the engine now, as a multiple of the time on the mean engine
 * of its service. Returns 1 if nothing is known, or if the difference is within the variation among
 * similar engines. @p service_event_ms: mean interval between events in the service; 0: unknown.
 */
double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms);

#endif
