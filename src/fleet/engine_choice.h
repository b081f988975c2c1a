/**
 * @file engine_choice.h
 * Which engine takes a request: the lowest expected time to its first token. Pure.
 *
 * Time = prompt tokens to read there (those queued before it and its own that are not cached)
 * over the reading rate + the wait for a slot where all are taken + a little for each run beside
 * it, so that equal engines share + what a failed request costs, by how often they fail. Suspected
 * engines are taken only when no other is left.
 */
#ifndef HS_FLEET_ENGINE_CHOICE_H
#define HS_FLEET_ENGINE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What is believed of an engine at the moment of the choice. */
typedef struct {
    uint32_t slots;
    double running;         /**< Requests there of all daemons, batch included. */
    double batch;           /**< Batch items there of all daemons. */
    double queued_tokens;   /**< Prompt tokens there not read yet. */
    double uncached_tokens; /**< Of this prompt. */
    double memory_share;    /**< Of its memory taken; 0 where unknown. */
    double warmup_ms;       /**< How long it is slow from its start. */
    double failure_rate;    /**< Share of requests of late that failed there, 0 to 1. */
    bool suspected;
    bool same_zone;
    bool is_connected; /**< A kept connection is there. */
} hs_engine_candidate;

/** Speeds of a service's engines, as observed. */
typedef struct {
    double tokens_per_ms; /**< Prompt reading rate. */
    double run_ms;        /**< Mean time of a whole run. */
    double head_ms;       /**< Mean time until the head of an answer. */
    double head_deviation_ms;
    uint32_t heads; /**< Heads that the two are of; wraps. */
} hs_engine_speed;

#define HS_ENGINE_NONE (-1)

/** Expected ms until the first token. */
double hs_engine_choice_cost(const hs_engine_candidate *candidate, const hs_engine_speed *speed);

/** Index of the candidate with the lowest cost; @p first breaks ties by a turn. */
int hs_engine_choice_pick(const hs_engine_candidate *candidates, size_t count, size_t first,
                          const hs_engine_speed *speed);

/** As above for batch items: only engines that are not suspected and have a free slot. */
int hs_engine_choice_pick_spare(const hs_engine_candidate *candidates, size_t count, size_t first,
                                const hs_engine_speed *speed);

#endif
