/**
 * @file limit_model.h
 * Simulates tenants' rate limits over many daemons to compare strategies of enforcing them, with
 * load waves, one tenant above its mean load, and daemons that are killed or disconnected. Runs are
 * reproducible by seed.
 */
#ifndef TOOLS_LIMITS_LIMIT_MODEL_H
#define TOOLS_LIMITS_LIMIT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    LIMIT_WAY_SHARES, /**< Each daemon has an equal share and what others report as unused. */
    LIMIT_WAY_LEASES, /**< The limit owner grants allowances that expire. */
    LIMIT_WAY_ASK,    /**< The limit owner decides each request (src/tenants/limit_book). */
    LIMIT_WAY_COUNT,
} limit_way;

/** A fault; times in ms from the start of the run. */
typedef struct {
    uint64_t at_ms;
    uint64_t for_ms;
    enum {
        LIMIT_KILL,
        LIMIT_CUT /**< The daemon reaches engines but no other daemon. */
    } kind;
    double share; /**< Probability (0 to 1) of each daemon to be affected. */
} limit_fault;

typedef struct {
    limit_way way;
    uint32_t daemons;
    uint32_t tenants;
    double requests_per_s; /**< Mean of all tenants together. */
    double limit_share;    /**< A tenant's limit divided by its mean load. */
    bool is_square;      /**< Cycles of 0.391 times the mean for 3.6 s and 1.91 times for 2.4 s. */
    uint32_t hot_tenant; /**< Index by size, 0 the largest; its load is multiplied by hot_share from
                            8 s on. */
    double hot_share;    /**< 1: no hot tenant. */
    uint64_t hot_ms;
    uint64_t length_ms;
    const limit_fault *faults;
    uint32_t fault_count;
    uint32_t seed;
} limit_case;

typedef struct {
    /** Largest ratio of passed to allowed requests in any 5 s, over all tenants. */
    double worst_window;
    double refused_share; /**< Refused share of the requests within their tenant's limit. */
    uint64_t requests;
    double datagrams_per_s; /**< Sent and received, mean per daemon. */
} limit_outcome;

limit_outcome limit_model_run(const limit_case *scenario);

/** Returns the name for output; static. */
const char *limit_strategy_name(limit_way way);

#endif
