/**
 * @file warmup_budget.h
 * The budget of requests to one cold engine, kept by the engine's arbiter, and the arbiter's share
 * of the engine's limit. Pure functions; times in ms of one monotonic clock. The caller
 * synchronises access.
 *
 * Permits are granted evenly over time instead of as a number per second, so that no interval of
 * one second has more than its part, wherever it begins. A request reaches the engine up to
 * HS_WARMUP_PERMIT_VALID_MS and the delay of the network after its permit was granted, so the
 * arrivals of one second have permits of a little more than one second.
 */
#ifndef HS_FLEET_WARMUP_BUDGET_H
#define HS_FLEET_WARMUP_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Time in ms from the request for a permit within which the permit must be used. Covers the wait
 * for the answer (30 ms for items) and a new connection.
 */
#define HS_WARMUP_PERMIT_VALID_MS 200

/** Longest time in ms in which a message between daemons, or to an engine, arrives. */
#define HS_WARMUP_MAX_DELAY_MS 300

/**
 * Time in ms in which daemons learn that a member joined or is alive again, and their views of a
 * network partition may differ: several rounds of probes.
 */
#define HS_WARMUP_LEARN_MS 2000

/**
 * Time in ms for which a new arbiter grants nothing. Requests with permits of its predecessor may
 * arrive for that long, and no interval of one second may have those of both.
 */
#define HS_WARMUP_SETTLE_MS                                                                        \
    (1000 + HS_WARMUP_PERMIT_VALID_MS + HS_WARMUP_MAX_DELAY_MS + HS_WARMUP_LEARN_MS)

/** Budget of one engine. Zero-initialise: it begins empty. */
typedef struct {
    double permits;         /**< Permits available at filled_ms. */
    uint64_t filled_ms;     /**< 0: not used yet. */
    uint64_t last_retry_ms; /**< Latest time that was given to a daemon for its next request. */
} hs_warmup_budget;

/** Decision on a request for a permit. */
typedef struct {
    bool is_granted;
    uint32_t retry_ms; /**< Denied: time until a permit may be available; at least 1. */
} hs_warmup_verdict;

/**
 * Decides on a request for a permit. @p per_s: this arbiter's share of the engine's limit. @p
 * open_ms: nothing is granted before this time, and the budget is empty then.
 */
hs_warmup_verdict hs_warmup_budget_request(hs_warmup_budget *budget, double per_s, uint64_t open_ms,
                                           uint64_t now_ms);

/** Members known to an arbiter, itself included. */
typedef struct {
    uint32_t live;  /**< Not even suspected. */
    uint32_t known; /**< Live now or lately; those that left as planned don't count. */
} hs_warmup_members;

/**
 * This arbiter's share of each engine's limit. A decrease applies at once, an increase only after
 * it has lasted for HS_WARMUP_SETTLE_MS: until then daemons on the other side of a partition that
 * has ended may still use their share. Zero-initialise.
 */
typedef struct {
    double share;       /**< 0 to 1. */
    double lowest;      /**< Lowest ratio since higher_since_ms. */
    uint64_t higher_ms; /**< Since when the ratio exceeds the share; 0: it doesn't. */
    bool is_known;      /**< The share was set. */
} hs_warmup_share;

/** Updates the share by the members known now, and returns it. */
double hs_warmup_share_update(hs_warmup_share *share, const hs_warmup_members *members,
                              uint64_t now_ms);

/** Detects that the process was suspended, and when grants may begin. Zero-initialise. */
typedef struct {
    uint64_t running_ms; /**< Last time the process was known to run. */
    uint64_t open_ms;    /**< Nothing is granted before this time. */
} hs_warmup_clock;

/**
 * Longest time in ms between two calls of hs_warmup_clock_note for a process that is running. Other
 * daemons take over no sooner than after this time and HS_WARMUP_SETTLE_MS.
 */
#define HS_WARMUP_MAX_PAUSE_MS 1000

/**
 * Records that the process runs now. After its start, or a pause that was too long, nothing is
 * granted for HS_WARMUP_SETTLE_MS. To be called at intervals and before each decision.
 */
void hs_warmup_clock_note(hs_warmup_clock *clock, uint64_t now_ms);

/** Starts the settle time again, since other daemons took this one for dead. */
void hs_warmup_clock_restart(hs_warmup_clock *clock, uint64_t now_ms);

#endif
