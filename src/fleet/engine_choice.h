/**
 * @file engine_choice.h
 * Which engine takes a request: the lowest expected time to its first token. Pure.
 *
 * Time = prompt tokens to read there (those queued before it and its own that are not cached)
 * over the reading rate + the wait for a slot where all are taken + a little for each run beside
 * it, so that equal engines share + what a failed request costs, by how often they fail. Suspected
 * engines are taken only when no other is left.
 *
 * The engine's own pace multiplies what grows with the work there: the reading before its own, the
 * wait, the runs beside it. It does not multiply what an idle engine needs too. That difference
 * would not shrink as requests come, so that all daemons whose words are old would fill the same
 * fast engines.
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
    bool is_connected;  /**< A kept connection is there. */
    double pace;        /**< See hs_engine_pace_factor; 0: not known, taken as 1. */
    double word_age_ms; /**< Of what is believed to run there; 0: as good as exact. */
} hs_engine_candidate;

/** Speeds of a service's engines, as observed. */
typedef struct {
    double tokens_per_ms; /**< Prompt reading rate. */
    double run_ms;        /**< Mean time of a whole run. */
    double online_run_ms; /**< The same of online requests alone; 0: none ended yet. */
    double first_byte_ms; /**< Shortest time to a first byte of late; 0: none came yet. */
    double head_ms;       /**< Mean time until the head of an answer. */
    double head_deviation_ms;
    uint32_t heads;  /**< Heads that the two are of; wraps. */
    double event_ms; /**< Mean time of an event after the first of a run; 0: none came yet. */
} hs_engine_speed;

#define HS_ENGINE_NONE (-1)

/**
 * Longest pause between two tries of a held request, in ms: a place that frees early is found well
 * within an objective of 300 ms, and stays idle no longer.
 */
#define HS_HELD_PAUSE_MOST_MS 50

/** Mean time in ms of an online run; of all runs, where no online one ended yet. */
double hs_engine_speed_online_run_ms(const hs_engine_speed *speed);

/**
 * Speeds of one engine of @p pace (see hs_engine_pace_factor; 0: not known) of a service. Every
 * decision about an engine asks these; at a pace of 1 they are the service's.
 */
hs_engine_speed hs_engine_speed_at(const hs_engine_speed *service, double pace);

/** Expected ms until the first token; @p speed: of the service. */
double hs_engine_choice_cost(const hs_engine_candidate *candidate, const hs_engine_speed *speed);

/**
 * Expected ms until an engine begins with an online request, where @p online of them, this one
 * included, share its slots (batch items leave theirs) and @p queued_tokens of prompts are to be
 * read before its own. @p speed: at that engine, as for the two below.
 */
double hs_engine_choice_wait_ms(double online, uint32_t slots, double queued_tokens,
                                const hs_engine_speed *speed);

/**
 * Whether an engine begins early enough with an online request that should be begun within
 * @p most_ms: its wait and the shortest time to a first byte of late fit in, or a place is free
 * within the pause between two tries of a held request, and would stay idle for its rest. Past its
 * objective a request waits no longer there: it would make those behind it late that can still be
 * in time.
 */
bool hs_engine_choice_is_quick(double wait_ms, const hs_engine_speed *speed, uint64_t most_ms);

/**
 * Time in ms in which an engine must begin with a request, so that it is answered within its
 * @p target_ms, of which @p waited_ms are over. 0 for a kind that is less urgent than another of
 * its service: in a queue it would go before requests of that one.
 */
uint64_t hs_engine_choice_begin_ms(uint64_t target_ms, uint64_t waited_ms, bool is_less_urgent);

/**
 * Whether a request is known not to be servable: its wait and the shortest time to a first byte of
 * late end after its deadline, @p left_ms from now.
 */
bool hs_engine_choice_is_hopeless(double wait_ms, const hs_engine_speed *speed, uint64_t left_ms);

/** Index of the candidate with the lowest cost; @p first breaks ties by a turn. */
int hs_engine_choice_pick(const hs_engine_candidate *candidates, size_t count, size_t first,
                          const hs_engine_speed *speed);

/** As above for batch items: only engines that are not suspected and have a free slot. */
int hs_engine_choice_pick_spare(const hs_engine_candidate *candidates, size_t count, size_t first,
                                const hs_engine_speed *speed);

#endif
