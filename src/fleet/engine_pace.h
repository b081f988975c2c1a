/**
 * @file engine_pace.h
 * How fast one engine works beside the others of its service. Pure.
 *
 * Two things are known: how long events took there in runs of all daemons, which says what its
 * machine is like, and the engine's own word of how long work takes at the moment, which changes
 * many times a second where other programs share the machine. An engine counts as the
 * service's mean where neither says clearly otherwise, so that nothing changes in the choice among
 * engines that are alike.
 */
#ifndef HS_FLEET_ENGINE_PACE_H
#define HS_FLEET_ENGINE_PACE_H

#include <stdint.h>

/** What was observed of one engine; zero-initialise. */
typedef struct {
    double events;    /**< Seen in runs, fading, as of seen_ms, */
    double events_ms; /**< and the time they took, likewise. */
    uint64_t seen_ms;
    double told_event_ms;      /**< Time of an event as the engine's arbiter told; 0: never. */
    uint64_t event_told_ms;    /**< When it did. */
    uint32_t slowdown_percent; /**< The engine's own latest word, 100: as usual; 0: none. */
    uint64_t told_ms;          /**< When it said so. */
    double words;              /**< Its words so far, up to a bound, */
    double usual_above;        /**< and by how much their mean is above as usual, as a share. */
    double unusual_ms;         /**< Time watched from words that were far from their mean on, */
    double unusual_ends;       /**< and how often the next word was another; both fade. */
} hs_engine_pace;

/** @p events more of runs there took @p took_ms. */
void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms);

/**
 * The engine said @p slowdown_percent, @p age_ms ago. 0, what no engine can mean, and what is not
 * newer than the word that is known is ignored.
 */
void hs_engine_pace_note_word(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                              uint64_t now_ms);

/** The engine's arbiter says that an event takes @p event_us there; 0: it does not know. */
void hs_engine_pace_put_event_us(hs_engine_pace *pace, uint32_t event_us, uint64_t now_ms);

/** Time of an event there by the runs that were noted; 0: too few to say. */
uint32_t hs_engine_pace_event_us(const hs_engine_pace *pace, uint64_t now_ms);

/**
 * How many times as long as at the mean engine of its service work takes there now; 1 where nothing
 * is known, and where what is known is within what engines that are alike differ by.
 * @p service_event_ms: mean time of an event over the service; 0: not known.
 */
double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms);

#endif
