/**
 * @file engine_pace.h
 * How fast one engine works beside the others of its service. Pure.
 *
 * Two things are known: how long events took there in runs of all daemons, which says what its
 * machine is like, and the engine's own word of how long work takes at the moment, which changes
 * many times a second where other programs share the machine.
 */
#ifndef HS_FLEET_ENGINE_PACE_H
#define HS_FLEET_ENGINE_PACE_H

#include <stdint.h>

/** What was observed of one engine; zero-initialise. */
typedef struct {
    double events;    /**< Seen in runs, fading, as of seen_ms, */
    double events_ms; /**< and the time they took, likewise. */
    uint64_t seen_ms;
    uint32_t slowdown_percent; /**< The engine's own latest word, 100: as usual; 0: none. */
    uint64_t told_ms;          /**< When it said so. */
} hs_engine_pace;

/** @p events more of runs there took @p took_ms. */
void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms);

/** The engine said @p slowdown_percent, @p age_ms ago. 0 and what no engine can mean is ignored. */
void hs_engine_pace_note_word(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                              uint64_t now_ms);

/**
 * How many times as long as at the mean engine of its service work takes there now; 1 where nothing
 * is known. @p service_event_ms: mean time of an event over the service; 0: not known.
 */
double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms);

#endif
