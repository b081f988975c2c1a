/**
 * @file warmup_state.h
 * Whether an engine is cold: for a time after its start or after the end of an evacuation it can
 * handle only a few requests per second. Pure functions; times in ms of one monotonic clock. The
 * caller synchronises access.
 *
 * The engine's answers are its own current report and replace everything else. Its entry in the
 * store is read with a delay, so an entry that reports a warm engine ends neither a cold phase that
 * an answer reported nor one that follows an evacuation which ended after the entry was written.
 */
#ifndef HS_FLEET_WARMUP_STATE_H
#define HS_FLEET_WARMUP_STATE_H

#include "heathsail/fleet.h"

#include <stdbool.h>
#include <stdint.h>

/** Warm-up of a service's engines. If either field is 0, its engines are never cold. */
typedef struct {
    uint32_t warmup_ms; /**< Duration of the cold phase. */
    double per_s;       /**< Requests per second that a cold engine can handle. */
} hs_warmup_limit;

/** Source of the latest end of the cold phase. */
typedef enum {
    HS_COLD_NOT,
    HS_COLD_ENTRY,       /**< The engine's entry in the store. */
    HS_COLD_ANSWER,      /**< A response of the engine. */
    HS_COLD_EVACUATION,  /**< The end of an evacuation of the engine's zone. */
    HS_COLD_ARBITER,     /**< The engine's arbiter denied a permit that was not requested. */
    HS_COLD_UNREACHABLE, /**< It could not be reached, and may have started anew since. */
    HS_COLD_CLOSED,      /**< It closed a connection, and may have started anew since. */
    HS_COLD_REASON_COUNT,
} hs_cold_reason;

/** Ends of the cold phase by source; 0: not cold by this source. Zero-initialise. */
typedef struct {
    uint64_t until_ms[HS_COLD_REASON_COUNT];
    uint64_t evacuated_ms; /**< When the last evacuation ended; 0: never. */
    uint64_t lost_ms; /**< When the engine last was unreachable or closed a connection; 0: never. */
} hs_warmup_state;

/**
 * Time in ms from a write of an entry until the entry is read, at most. An entry read sooner after
 * the end of an evacuation may have been written before it.
 */
#define HS_WARMUP_MAX_ENTRY_DELAY_MS 2000

/** Time in ms for which an unrequested denial of the arbiter applies. Arbiters repeat it. */
#define HS_WARMUP_ARBITER_VALID_MS 1000

/** Returns the limit of a service of the configuration; none if @p service is NULL. */
hs_warmup_limit hs_warmup_limit_of(const hs_fleet_service *service);

/** Whether the service's engines are cold after a start. */
bool hs_warmup_limit_is_set(const hs_warmup_limit *limit);

/** Stores the remaining cold time @p left_ms of the engine's entry, read at @p read_ms. */
void hs_warmup_state_note_entry(hs_warmup_state *state, uint32_t left_ms, uint64_t read_ms);

/** Stores the remaining cold time that came with an answer of the engine; 0: it is warm. */
void hs_warmup_state_note_answer(hs_warmup_state *state, uint32_t left_ms, uint64_t now_ms);

/**
 * Records that an evacuation of the engine's zone ended. The engine is cold until @p until_ms
 * unless an answer, or an entry written after @p now_ms, says otherwise.
 */
void hs_warmup_state_note_evacuated(hs_warmup_state *state, uint64_t now_ms, uint64_t until_ms);

/**
 * Records a sign that the engine may have restarted, which its entry does not report yet. @p
 * reason: HS_COLD_UNREACHABLE, or HS_COLD_CLOSED if it closed a connection on which a response was
 * expected, or an idle one before its keep-alive time: the only sign of a restart that takes less
 * time than the interval between two requests. The engine counts as cold until @p until_ms unless
 * an answer, or an entry written after @p now_ms, says otherwise.
 */
void hs_warmup_state_note_lost(hs_warmup_state *state, hs_cold_reason reason, uint64_t now_ms,
                               uint64_t until_ms);

/** Records that the engine's arbiter denied a permit that this daemon did not request. */
void hs_warmup_state_note_denial(hs_warmup_state *state, uint64_t now_ms);

/** Returns the source with the latest end of the cold phase, or HS_COLD_NOT if all have passed. */
hs_cold_reason hs_warmup_state_reason(const hs_warmup_state *state, uint64_t now_ms);

/** Whether the engine is cold and its service has a limit for cold engines. */
bool hs_warmup_state_is_cold(const hs_warmup_state *state, const hs_warmup_limit *limit,
                             uint64_t now_ms);

/** Time in ms until the cold phase ends; 0: the engine is warm. */
uint64_t hs_warmup_state_left_ms(const hs_warmup_state *state, uint64_t now_ms);

/**
 * Slots of a cold engine that the limit keeps in use by runs of @p run_ms, rounded, at most @p
 * slots.
 */
uint32_t hs_warmup_limit_slots(const hs_warmup_limit *limit, uint32_t slots, double run_ms);

/** Name of a reason, for logs. */
const char *hs_cold_reason_name(hs_cold_reason reason);

#endif
