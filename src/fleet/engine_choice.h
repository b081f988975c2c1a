/**
 * @file engine_choice.h
 * Chooses the engine for a request by the expected time to the first token. Pure functions.
 *
 * The cost of an engine is the time to read the prompt tokens queued there and the uncached tokens
 * of the request, the wait for a free slot, a small penalty per concurrent run that spreads
 * requests over equal engines, the network delay, and the cost of a failure weighted by the failure
 * rate. Suspected engines are chosen only if no other engine is left.
 *
 * A request leaves its region only if the shortest expected wait in its region exceeds that of
 * another region's engine by more than the network delay to it. Other terms, such as cached prompt
 * tokens, never move a request to another region.
 *
 * The engine's pace scales only the terms that grow with the engine's load: the queued tokens, the
 * wait for a slot and the concurrent runs. The pace does not scale the terms that an idle engine
 * has too. Such a fixed advantage would not shrink as requests arrive, so all daemons with old
 * reports would fill the same fast engines.
 */
#ifndef HS_FLEET_ENGINE_CHOICE_H
#define HS_FLEET_ENGINE_CHOICE_H

#include "base/topology.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Estimated state of an engine when the choice is made. */
typedef struct {
    uint32_t slots;
    double running;         /**< Requests of all daemons on the engine, batch items included. */
    double batch;           /**< Batch items of all daemons on the engine. */
    double queued_tokens;   /**< Prompt tokens on the engine that are not read yet. */
    double uncached_tokens; /**< Tokens of this request's prompt that the engine has not cached. */
    double memory_share;    /**< Share of the engine's memory in use, 0 to 1; 0: unknown. */
    double warmup_ms;       /**< Remaining warm-up time after the engine's start; 0: as below. */
    bool needs_permit;      /**< Cold, and its arbiter limits the requests per second. */
    double failure_rate;    /**< Share of recent requests that failed on the engine, 0 to 1. */
    bool suspected;
    hs_distance distance;      /**< Between this daemon and the engine. */
    bool is_connected;         /**< This daemon has an idle connection to the engine. */
    double pace;               /**< See hs_engine_pace_factor; 0: unknown, counts as 1. */
    double load_report_age_ms; /**< Age of the engine's load report; 0: the load is exact. */
} hs_engine_candidate;

/** Observed speeds of a service's engines. */
typedef struct {
    double tokens_per_ms; /**< Prompt reading rate. */
    double run_ms;        /**< Mean duration of a run. */
    double online_run_ms; /**< Mean duration of an online run; 0: none has ended yet. */
    double first_byte_ms; /**< Shortest recent time to the first byte; 0: unknown. */
    double head_ms;       /**< Mean time to the response header. */
    double head_deviation_ms;
    uint32_t heads;  /**< Response headers in head_ms and head_deviation_ms; wraps. */
    double event_ms; /**< Mean interval between the events of a run; 0: unknown. */
} hs_engine_speed;

/**
 * Network delay in ms to an engine of another region on an open connection: one round trip. One way
 * takes 12 ms in the deployment with three regions.
 */
#define HS_MIN_REGION_DELAY_MS 24.0

/** Result of a choice without a suitable candidate. */
#define HS_ENGINE_NONE (-1)

/**
 * Longest pause in ms between two attempts of a held request to acquire a slot. A slot that becomes
 * free stays idle no longer than this.
 */
#define HS_MAX_HELD_RETRY_PAUSE_MS 50

/** Returns the mean duration of an online run in ms, or of all runs if no online run has ended. */
double hs_engine_speed_online_run_ms(const hs_engine_speed *speed);

/**
 * Returns the speeds of an engine with the given @p pace (see hs_engine_pace_factor; 0: unknown) in
 * a service. With a pace of 1 they equal the speeds of the service.
 */
hs_engine_speed hs_engine_speed_at(const hs_engine_speed *service, double pace);

/**
 * Returns the network delay in ms that the distance to the engine adds: round trips for the request
 * and, to another region, for a new connection.
 */
double hs_engine_choice_network_ms(const hs_engine_candidate *candidate);

/**
 * Returns the part of the cost in ms that is a wait for other requests: for queued prompt tokens
 * and for a free slot. @p speed: of the service.
 */
double hs_engine_choice_queue_ms(const hs_engine_candidate *candidate,
                                 const hs_engine_speed *speed);

/** Reports whether the engine is in another region than this daemon. */
bool hs_engine_choice_is_far(const hs_engine_candidate *candidate);

/** Returns the expected time in ms to the first token. @p speed: of the service. */
double hs_engine_choice_cost(const hs_engine_candidate *candidate, const hs_engine_speed *speed);

/**
 * Returns the expected time in ms until an engine starts an online request.
 *
 * @p online: online requests that share the engine's slots, this one included; batch items are
 * preempted and don't count. @p queued_tokens: prompt tokens to be read before the request's own.
 * @p speed: of this engine, as for the two predicates below.
 */
double hs_engine_choice_wait_ms(double online, uint32_t slots, double queued_tokens,
                                const hs_engine_speed *speed);

/**
 * Reports whether an engine starts an online request in time: either the wait plus the shortest
 * recent time to the first byte is at most @p limit_ms, or the wait is at most
 * HS_MAX_HELD_RETRY_PAUSE_MS, since the slot would otherwise stay idle for the rest of that pause.
 * A request past its latency objective (@p limit_ms is 0) doesn't wait longer, as it would delay
 * requests that can still meet theirs.
 */
bool hs_engine_choice_can_start_in_time(double wait_ms, const hs_engine_speed *speed,
                                        uint64_t limit_ms);

/**
 * Returns the time in ms within which an engine has to start a request that has waited
 * @p waited_ms and has a latency objective of @p target_ms. Returns 0 if the objective has passed,
 * and for requests that are less urgent than others of their service: in an engine's queue they
 * would delay the more urgent ones.
 */
uint64_t hs_engine_choice_start_limit_ms(uint64_t target_ms, uint64_t waited_ms,
                                         bool is_less_urgent);

/**
 * Reports whether a request can't be served in time: its wait plus the shortest recent time to the
 * first byte exceeds @p left_ms, the time to its deadline.
 */
bool hs_engine_choice_will_miss_deadline(double wait_ms, const hs_engine_speed *speed,
                                         uint64_t left_ms);

/**
 * Returns the index of the candidate with the lowest cost, of this daemon's region unless the
 * request leaves it, or HS_ENGINE_NONE if @p count is 0. Of candidates with equal cost, the next
 * one from index @p first on wins.
 */
int hs_engine_choice_pick(const hs_engine_candidate *candidates, size_t count, size_t first,
                          const hs_engine_speed *speed);

/**
 * Chooses an engine for a batch item: as hs_engine_choice_pick, but among the candidates that have
 * a free slot and are not suspected.
 */
int hs_engine_choice_pick_for_batch(const hs_engine_candidate *candidates, size_t count,
                                    size_t first, const hs_engine_speed *speed);

#endif
